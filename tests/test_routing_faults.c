#include <glib.h>

#include "RoutingDriver.h"

#define SEED 7

static DriverOptions
short_run(const Deployment *deployment)
{
    DriverOptions o = DriverOptions_Default(deployment);

    o.warmup = MICROS_PER_S;
    o.duration = 5 * MICROS_PER_S;
    o.fault_start = 2 * MICROS_PER_S;
    o.fault_end = 60 * MICROS_PER_S;
    o.seed = SEED;
    return o;
}

/*
 * Guards against new requests to an upstream that has been draining for more
 * than 2 s, with every policy, also when the host list shows it as healthy.
 */
static void
test_draining_gets_nothing(void)
{
    for (int p = 0; p < ROUTING_POLICY_COUNT; p++) {
        for (int drain_listed = 0; drain_listed < 2; drain_listed++) {
            DriverOptions o = short_run(&deployment_tunis);

            o.mean_service_time = 40 * MICROS_PER_MS;
            o.drain = true;
            o.drain_listed = drain_listed;
            o.router.policy = (RoutingPolicy)p;
            g_assert_cmpuint(RoutingDriver_Run(&o).sent_while_draining, ==, 0);
        }
    }
}

/* Verifies that the check above detects a router that ignores drains. */
static void
test_injected_draining_is_caught(void)
{
    DriverOptions o = short_run(&deployment_tunis);

    o.drain = true;
    o.router.fault = ROUTER_FAULT_IGNORE_DRAINING;
    g_assert_cmpuint(RoutingDriver_Run(&o).sent_while_draining, >, 0);
}

static double
probe_peak(RoutingPolicy policy, double load, bool down, bool shed,
           RouterFault fault)
{
    DriverOptions o = short_run(&deployment_puntarenas);
    DriverResult r;

    o.router.policy = policy;
    o.router.fault = fault;
    o.unknown_hosts = 2;
    o.load = load;
    o.down = down;
    o.shed = shed;
    o.reports = REPORTS_NONE;
    /* Long service times limit the number of events of the longer run. */
    o.mean_service_time = 100 * MICROS_PER_MS;
    o.duration = 12 * MICROS_PER_S;
    r = RoutingDriver_Run(&o);
    return MAX(r.services[0].probe_peak, r.services[1].probe_peak);
}

/*
 * Guards against probes that exceed the budget of all hosts together, at ten
 * times the load (with many retries) and with every upstream down, when each
 * host does not know of two others.
 */
static void
test_probe_budget_holds(void)
{
    static const struct {
        RoutingPolicy policy;
        double load;
        bool down;
        bool probes; /* probes are required, as full upstreams do not shed */
    } cases[] = {
        {ROUTING_PROBED, 0.8, false, true},
        {ROUTING_PROBED, 8, false, true},
        {ROUTING_PROBED, 0.8, true, true},
        {ROUTING_REPORTS, 8, false, false},
        {ROUTING_REPORTS, 0.8, true, true},
        {ROUTING_SLOT_SHARES, 0.8, true, true},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        double peak = probe_peak(cases[i].policy, cases[i].load, cases[i].down,
                                 !cases[i].probes, ROUTER_FAULT_NONE);

        g_assert_cmpfloat(peak, <=, 1.0);
        g_test_message("case %zu: probe peak %.3f", i, peak);
        g_assert_true(peak > 0.1 || !cases[i].probes);
    }
}

/* Verifies that the check above detects probes that exceed the budget. */
static void
test_injected_overspend_is_caught(void)
{
    double peak = probe_peak(ROUTING_REPORTS, 0.8, false, false,
                             ROUTER_FAULT_OVERSPEND_PROBES);

    g_assert_cmpfloat(peak, >, 1.0);
}

static uint32_t
connections_peak(RoutingPolicy policy, uint32_t connections,
                 uint32_t unknown_hosts, RouterFault fault)
{
    DriverOptions o = short_run(&deployment_tunis);

    o.router.policy = policy;
    o.router.fault = fault;
    o.connections = connections;
    o.unknown_hosts = unknown_hosts;
    o.load = 1.5;
    o.duration = 2 * MICROS_PER_S;
    return RoutingDriver_Run(&o).connections_peak;
}

/*
 * Guards against more connections to one upstream than its limit, also when
 * each host does not know of two others.
 */
static void
test_connections_hold(void)
{
    static const uint32_t bounds[] = {250, 10};
    uint32_t injected;

    for (int p = 0; p < ROUTING_POLICY_COUNT; p++) {
        for (size_t i = 0; i < G_N_ELEMENTS(bounds); i++) {
            uint32_t peak = connections_peak((RoutingPolicy)p, bounds[i],
                                             2 * (i == 0), ROUTER_FAULT_NONE);

            g_assert_cmpuint(peak, <=, bounds[i]);
        }
    }
    injected = connections_peak(ROUTING_REPORTS, 250, 0,
                                ROUTER_FAULT_IGNORE_CONNECTION_LIMIT);
    g_assert_cmpuint(injected, >, 250);
}

/* Guards against an upstream that attracts traffic by failing immediately. */
static void
test_failing_draws_no_traffic(void)
{
    static const Deployment *const deployments[] = {&deployment_tunis,
                                                    &deployment_puntarenas};

    for (size_t i = 0; i < G_N_ELEMENTS(deployments); i++) {
        for (int p = 0; p < ROUTING_POLICY_COUNT; p++) {
            DriverOptions o = short_run(deployments[i]);
            DriverResult r;

            o.mean_service_time = 40 * MICROS_PER_MS;
            o.failing = 1;
            o.router.policy = (RoutingPolicy)p;
            r = RoutingDriver_Run(&o);
            g_assert_cmpfloat(r.services[0].affected_share, <=, 1.5 / 20);
            g_assert_cmpfloat(r.services[1].affected_share, <=, 1.5 / 15);
        }
    }
}

/*
 * Guards against a slow upstream that keeps its traffic for more than some
 * tens of milliseconds, and one whose traffic does not return afterwards.
 */
static void
test_slow_loses_traffic_and_returns(void)
{
    DriverOptions o = short_run(&deployment_tunis);
    DriverResult r;

    o.slow_share = 0.1;
    o.fault_end = 4 * MICROS_PER_S;
    o.duration = 9 * MICROS_PER_S;
    r = RoutingDriver_Run(&o);
    g_assert_cmpfloat(r.services[0].affected_late, <=, 0.3 * 0.1);
    g_assert_cmpfloat(r.services[0].affected_after, >=, 0.8 * 0.1);
    g_assert_cmpfloat(r.services[0].affected_after, <=, 1.2 * 0.1);
}

static Micros
p99_with(ReportMode reports)
{
    DriverOptions o = short_run(&deployment_tunis);

    o.reports = reports;
    return RoutingDriver_Run(&o).services[0].p99;
}

/*
 * Guards against herd behaviour caused by reports that are late or always
 * zero.
 */
static void
test_misleading_reports(void)
{
    double without = (double)p99_with(REPORTS_NONE);
    double late = (double)p99_with(REPORTS_LATE);
    double zero = (double)p99_with(REPORTS_ZERO);

    g_assert_cmpfloat(late, <=, 1.15 * without);
    g_assert_cmpfloat(zero, <=, 1.15 * without);
}

/*
 * Guards against an upstream that attracts traffic by falsely reporting that
 * it is idle.
 */
static void
test_misreporting_draws_no_traffic(void)
{
    DriverOptions o = short_run(&deployment_tunis);
    ServiceResult r;

    o.misreporting = 1;
    r = RoutingDriver_Run(&o).services[0];
    g_assert_cmpfloat(r.affected_share, <=, 1.5 / 20);
}

/* Guards against retry amplification when all upstreams are down. */
static void
test_everything_down(void)
{
    DriverOptions o = short_run(&deployment_tunis);
    ServiceResult r;

    o.down = true;
    o.warmup = o.fault_start;
    r = RoutingDriver_Run(&o).services[0];
    g_assert_cmpuint(r.sent * 10, <=, r.offered * 11);
    g_assert_cmpuint(r.sent, >, r.offered / 2);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_message("seed %d", SEED);
    g_test_add_func("/routing/draining", test_draining_gets_nothing);
    g_test_add_func("/routing/draining-planted",
                    test_injected_draining_is_caught);
    g_test_add_func("/routing/probes", test_probe_budget_holds);
    g_test_add_func("/routing/probes-planted",
                    test_injected_overspend_is_caught);
    g_test_add_func("/routing/connections", test_connections_hold);
    g_test_add_func("/routing/failing", test_failing_draws_no_traffic);
    g_test_add_func("/routing/slow", test_slow_loses_traffic_and_returns);
    g_test_add_func("/routing/misleading", test_misleading_reports);
    g_test_add_func("/routing/lying", test_misreporting_draws_no_traffic);
    g_test_add_func("/routing/down", test_everything_down);
    return g_test_run();
}
