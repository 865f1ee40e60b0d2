#include <glib.h>

#include "Router.h"

#define SEED 3
#define SERVICE 0
#define UPSTREAMS 20
#define SLOTS 6

/* Router of one host over 20 idle upstreams in 4 domains. */
typedef struct Fixture_ {
    Clock *clock;
    Random *random;
    Router *router;
} Fixture;

static void
add_upstreams(Router *router, uint32_t service, uint32_t first, uint32_t n)
{
    ServiceInfo limits = {.connections = 250, .probes = {20, 4000, 0.001}};

    Router_SetService(router, service, &limits);
    for (uint32_t u = first; u < first + n; u++) {
        UpstreamInfo info = {
            .key = u * 0x9e3779b97f4a7c15ULL + 1,
            .domain = u % 4,
            .slots = SLOTS,
        };

        Router_AddUpstream(router, service, u, &info);
    }
}

static Fixture
set_up(RoutingPolicy policy)
{
    RouterOptions options = RouterOptions_Default();
    Fixture f = {.clock = Clock_CreateManual(MICROS_PER_S, 0),
                 .random = Random_Create(SEED)};

    options.policy = policy;
    f.router = Router_Create(&options, f.clock, f.random);
    add_upstreams(f.router, SERVICE, 0, UPSTREAMS);
    return f;
}

static void
tear_down(Fixture *f)
{
    Router_Destroy(f->router);
    Random_Destroy(f->random);
    Clock_Destroy(f->clock);
}

static int
choose(Fixture *f, RouteChoice *choice)
{
    RouteQuery query = {.service = SERVICE};

    return Router_Choose(f->router, &query, choice);
}

/* Sends to @upstream and finishes 1 ms later. */
static void
run_one(Fixture *f, uint32_t upstream, AttemptOutcome outcome)
{
    Router_OnSent(f->router, upstream);
    Clock_Advance(f->clock, MICROS_PER_MS);
    Router_OnFinished(f->router, upstream, outcome, MICROS_PER_MS);
}

/* Sends @total requests that succeed; counts those to upstreams below @n. */
static uint32_t
count_below(Fixture *f, uint32_t n, uint32_t total)
{
    uint32_t count = 0;

    for (uint32_t i = 0; i < total; i++) {
        RouteChoice choice;

        g_assert_cmpint(choose(f, &choice), ==, 0);
        count += choice.upstream < n;
        run_one(f, choice.upstream, ATTEMPT_OK);
    }
    return count;
}

/*
 * Guards against a policy that the configuration accepts without an
 * implementation.
 */
static void
test_policies_by_name(void)
{
    static const char *const names[] = {
        "random", "round-robin", "least-inflight", "two-choices",
        "probed", "reports",     "slot-shares"};
    RoutingPolicy policy;

    g_assert_cmpuint(G_N_ELEMENTS(names), ==, ROUTING_POLICY_COUNT);
    for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
        Fixture f;
        RouteChoice choice;

        g_assert_cmpint(RoutingPolicy_Parse(Str_FromC(names[i]), &policy), ==,
                        0);
        f = set_up(policy);
        g_assert_cmpint(choose(&f, &choice), ==, 0);
        g_assert_cmpstr(choice.reason, ==, names[i]);
        g_assert_cmpuint(choice.candidates[0].upstream, ==, choice.upstream);
        g_assert_cmpuint(choice.candidate_count, >=, 1);
        tear_down(&f);
    }
    g_assert_cmpint(RoutingPolicy_Parse(STR("fastest"), &policy), ==,
                    ERR_INVALID);
}

static bool
is_odd(const void *user, uint32_t upstream)
{
    return upstream % 2 == 1;
}

/*
 * Guards against a request to an upstream that does not admit it or that it
 * has already tried.
 */
static void
test_filter_and_avoid(void)
{
    for (int p = 0; p < ROUTING_POLICY_COUNT; p++) {
        Fixture f = set_up((RoutingPolicy)p);
        uint32_t avoid[] = {1, 3, 5, 7, 9, 11, 13};
        RouteQuery query = {.service = SERVICE,
                            .filter = is_odd,
                            .avoid = avoid,
                            .avoid_count = G_N_ELEMENTS(avoid)};
        RouteChoice choice;

        for (int i = 0; i < 200; i++) {
            g_assert_cmpint(Router_Choose(f.router, &query, &choice), ==, 0);
            g_assert_cmpuint(choice.upstream % 2, ==, 1);
            g_assert_cmpuint(choice.upstream, >, 13);
        }
        tear_down(&f);
    }
}

/* Guards against distinct failures that return the same error. */
static void
test_error_codes(void)
{
    Fixture f = set_up(ROUTING_REPORTS);
    RouteQuery unknown = {.service = 9};
    ServiceInfo limits = {.connections = 2};
    RouteChoice choice;

    g_assert_cmpint(Router_Choose(f.router, &unknown, &choice), ==,
                    ERR_NOT_FOUND);
    Router_SetService(f.router, SERVICE, &limits);
    for (int i = 0; i < UPSTREAMS; i++) {
        g_assert_cmpint(choose(&f, &choice), ==, 0);
        Router_OnSent(f.router, choice.upstream);
    }
    g_assert_cmpint(choose(&f, &choice), ==, ERR_LIMIT);
    for (uint32_t u = 0; u < UPSTREAMS; u++) {
        Router_SetDraining(f.router, u, true);
    }
    g_assert_cmpint(choose(&f, &choice), ==, ERR_UNAVAILABLE);
    tear_down(&f);
}

/* Guards against a host list entry that ends a drain seen in a load report. */
static void
test_drain_outlives_host_list(void)
{
    Fixture f = set_up(ROUTING_REPORTS);
    LoadReport leaving = {.slots = SLOTS, .draining = true};
    LoadReport back = {.slots = SLOTS};
    ProbeRequest probe = {.service = SERVICE, .upstream = 0};
    HealthEvent event;

    Router_OnReport(f.router, 0, &leaving, 0);
    Router_SetDraining(f.router, 0, false);
    g_assert_cmpuint(count_below(&f, 1, 300), ==, 0);
    g_assert_true(Router_NextHealthEvent(f.router, &event));
    g_assert_true(event.draining);
    g_assert_cmpuint(event.upstream, ==, 0);
    Router_OnProbe(f.router, &probe, &back, 200, 300);
    /*
     * An upstream that returns from a drain is a new process and is ramped up.
     */
    g_assert_cmpuint(count_below(&f, 1, 2000), <, 50);
    Clock_Advance(f.clock, 10 * MICROS_PER_S);
    g_assert_cmpuint(count_below(&f, 1, 2000), >, 70);
    tear_down(&f);
}

/* Guards against a cold upstream that gets full traffic or none. */
static void
test_cold_ramp(void)
{
    for (int p = 0; p < ROUTING_SLOT_SHARES; p++) {
        Fixture f = set_up((RoutingPolicy)p);
        UpstreamInfo cold = {.key = 1, .slots = SLOTS, .cold = true};
        uint32_t early;

        Router_RemoveUpstream(f.router, 0);
        Router_AddUpstream(f.router, SERVICE, 0, &cold);
        early = count_below(&f, 1, 2000);
        g_assert_cmpuint(early, >, 2);
        g_assert_cmpuint(early, <, 50);
        Clock_Advance(f.clock, 10 * MICROS_PER_S);
        g_assert_cmpuint(count_below(&f, 1, 2000), >, 70);
        tear_down(&f);
    }
}

/*
 * Guards against sending all traffic to the few upstreams that look healthy
 * when most look faulty, which is more often an error of measurement.
 */
static void
test_most_ejected(void)
{
    static const struct {
        uint32_t ejected;
        bool shared;
    } cases[] = {{5, false}, {10, false}, {11, true}, {18, true}, {20, true}};

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        Fixture f = set_up(ROUTING_REPORTS);
        uint32_t to_ejected;

        for (uint32_t u = 0; u < cases[i].ejected; u++) {
            Router_Eject(f.router, u, 60 * MICROS_PER_S);
        }
        to_ejected = count_below(&f, cases[i].ejected, 2000);
        if (cases[i].shared) {
            g_assert_cmpuint(to_ejected, >=,
                             2000 * cases[i].ejected / 20 * 8 / 10);
        }
        else {
            g_assert_cmpuint(to_ejected, ==, 0);
        }
        tear_down(&f);
    }
}

/*
 * Guards against an ejected upstream that never gets a trial or stays ejected
 * after a successful one.
 */
static void
test_trial_ends_ejection(void)
{
    Fixture f = set_up(ROUTING_REPORTS);
    RouteChoice choice;
    uint32_t trials = 0;

    for (int i = 0; i < 3; i++) {
        run_one(&f, 0, ATTEMPT_ERROR);
    }
    g_assert_cmpuint(count_below(&f, 1, 300), ==, 0);
    for (int i = 0; i < 10; i++) {
        Clock_Advance(f.clock, MICROS_PER_S);
        g_assert_cmpint(choose(&f, &choice), ==, 0);
        trials += g_str_equal(choice.reason, "trial");
        run_one(&f, choice.upstream, ATTEMPT_OK);
    }
    g_assert_cmpuint(trials, ==, 1);
    g_assert_cmpuint(count_below(&f, 1, 2000), >, 70);
    tear_down(&f);
}

/* Delivers the messages of host @from to the other one, or drops them. */
static void
deliver(Router *const *routers, const uint64_t *keys, int from, bool drop)
{
    SlotMessage message;

    while (Router_NextSlotMessage(routers[from], &message)) {
        g_assert_cmpuint(message.peer, ==, keys[1 - from]);
        message.peer = keys[from];
        if (!drop) {
            Router_OnSlotMessage(routers[1 - from], &message);
        }
    }
}

/* Sends requests until no upstream is usable; returns their number. */
static uint32_t
send_all(Router *router)
{
    RouteQuery query = {.service = SERVICE};
    RouteChoice choice;
    uint32_t sent = 0;

    while (Router_Choose(router, &query, &choice) == 0) {
        Router_OnSent(router, choice.upstream);
        sent++;
    }
    return sent;
}

static void
finish_all(Router *router)
{
    for (uint32_t u = 0; u < UPSTREAMS; u++) {
        while (Router_Inflight(router, u) > 0) {
            Router_OnFinished(router, u, ATTEMPT_CANCELLED, 0);
        }
    }
}

/*
 * Guards against slots that have no owner or two, and against loans that never
 * end because the message that returns them is lost.
 */
static void
test_slot_shares(void)
{
    static const uint64_t keys[] = {71, 72};
    Fixture f[] = {set_up(ROUTING_SLOT_SHARES), set_up(ROUTING_SLOT_SHARES)};
    Router *routers[] = {f[0].router, f[1].router};
    uint32_t own;

    for (uint32_t h = 0; h < 2; h++) {
        Router_SetHosts(routers[h], keys, 2, h);
    }
    own = send_all(routers[0]);
    g_assert_cmpuint(own, ==, UPSTREAMS * SLOTS / 2);
    deliver(routers, keys, 0, false);
    deliver(routers, keys, 1, false);
    g_assert_cmpuint(send_all(routers[0]), ==, 1);
    /*
     * The last choice failed and sent a borrow request; dropping it loses no
     * slot.
     */
    deliver(routers, keys, 0, true);
    g_assert_cmpuint(send_all(routers[1]), ==, own - 1);
    finish_all(routers[1]);
    g_assert_cmpuint(send_all(routers[1]), ==, own - 1);
    finish_all(routers[1]);
    Clock_Advance(f[1].clock, 2 * MICROS_PER_S);
    g_assert_cmpuint(send_all(routers[1]), ==, own);
    tear_down(&f[0]);
    tear_down(&f[1]);
}

/* Guards against memory or work that grows with the size of a service. */
static void
test_large_service_is_bounded(void)
{
    Fixture f = set_up(ROUTING_REPORTS);
    RouteQuery query = {.service = 1};
    uint64_t keys[200];
    uint32_t subset[64];
    RouteChoice choice;
    size_t n;

    for (int h = 0; h < 200; h++) {
        keys[h] = Random_Next(f.random);
    }
    Router_SetHosts(f.router, keys, 200, 17);
    add_upstreams(f.router, 1, 1000, 2000);
    g_assert_cmpint(Router_Choose(f.router, &query, &choice), ==, 0);
    n = Router_Subset(f.router, 1, subset, G_N_ELEMENTS(subset));
    g_assert_cmpuint(n, >=, 18);
    g_assert_cmpuint(n, <=, 22);
    g_assert_cmpuint(choice.compared, <=, 22);
    g_assert_cmpuint(Router_ConnectionLimit(f.router, choice.upstream), >, 1);
    g_assert_cmpuint(Router_ConnectionLimit(f.router, choice.upstream), <=,
                     250 / 2);
    tear_down(&f);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_message("seed %d", SEED);
    g_test_add_func("/router/policies", test_policies_by_name);
    g_test_add_func("/router/filter", test_filter_and_avoid);
    g_test_add_func("/router/errors", test_error_codes);
    g_test_add_func("/router/drain", test_drain_outlives_host_list);
    g_test_add_func("/router/ramp", test_cold_ramp);
    g_test_add_func("/router/most-look-bad", test_most_ejected);
    g_test_add_func("/router/trials", test_trial_ends_ejection);
    g_test_add_func("/router/slot-shares", test_slot_shares);
    g_test_add_func("/router/bounded", test_large_service_is_bounded);
    return g_test_run();
}
