/*
 * Latency of routing policies in simulations of both deployments, with an
 * ideal central queue (M/M/c) and two random choices as references, and the
 * effect of slow, failing, restarted and misreporting upstreams.
 */
#include <math.h>
#include <stdio.h>

#include <glib.h>

#include "MmcQueue.h"
#include "RoutingSummary.h"

#define BASELINE_POLICY ROUTING_TWO_CHOICES

static const Deployment *const deployments[] = {&deployment_tunis,
                                                &deployment_puntarenas};

static DriverOptions
options_for(const Deployment *deployment)
{
    DriverOptions o = DriverOptions_Default(deployment);

    o.duration = 10 * MICROS_PER_S;
    return o;
}

/* The baseline of the bounds: counts of local requests in flight only, and no
 * outlier ejection. */
static void
use_baseline(DriverOptions *o)
{
    o->router.policy = BASELINE_POLICY;
    o->router.eject_outliers = false;
}

/* Opens a data file for the plots; NULL if bench/out does not exist. */
static FILE *
open_data(const char *name, const Deployment *deployment)
{
    char path[64];

    g_snprintf(path, sizeof(path), "bench/out/%s_%s.dat", name,
               deployment->name);
    return fopen(path, "w");
}

static void
close_data(FILE *out)
{
    if (out != NULL) {
        fclose(out);
    }
}

static void
print_value(const char *deployment, const char *service, const char *name,
            double value)
{
    printf("%s_%s_%s=%.4g\n", deployment, service, name, value);
}

static void
print_bound(const char *deployment, const char *service, const char *name,
            double value, double bound)
{
    print_value(deployment, service, name, value);
    printf("%s_%s_%s_bound=%.4g\n", deployment, service, name, bound);
    printf("%s_%s_%s_met=%s\n", deployment, service, name,
           value <= bound ? "yes" : "no");
}

static uint32_t
total_slots(const DriverService *service)
{
    return service->upstreams * service->slots;
}

/* Uniform load, compared with M/M/c and with two random choices. */
static void
bench_uniform(const Deployment *d)
{
    DriverOptions o = options_for(d);
    RoutingSummary base;
    RoutingSummary reports_policy = RoutingSummary_Run(o);

    use_baseline(&o);
    base = RoutingSummary_Run(o);
    for (int s = 0; s < DRIVER_SERVICES; s++) {
        const char *name = d->services[s].name;
        double mmc_p99 = MmcQueue_P99(total_slots(&d->services[s]), o.load,
                                      (double)o.mean_service_time);
        const ServiceFigures *f = &reports_policy.services[s];
        const ServiceFigures *b = &base.services[s];

        print_value(d->name, name, "mmc_p99_ms", mmc_p99 / 1e3);
        print_value(d->name, name, "uniform_p99_ms", f->p99 / 1e3);
        print_value(d->name, name, "two_choices_p99_ms", b->p99 / 1e3);
        print_bound(d->name, name, "uniform_p99_to_mmc", f->p99 / mmc_p99,
                    1.3);
        print_bound(d->name, name, "uniform_p99_to_two_choices",
                    f->p99 / b->p99, 0.7);
        /* An ideal central queue behind the same network. */
        print_value(d->name, name, "floor_p99_to_two_choices",
                    (mmc_p99 + 2.0 * (double)d->one_way) / b->p99);
        print_value(d->name, name, "uniform_wait_p99_to_two_choices",
                    f->wait_p99 / b->wait_p99);
        print_bound(d->name, name, "uniform_probe_use", f->probe_peak, 1);
    }
}

static void
bench_policies(const Deployment *d)
{
    FILE *out = open_data("routing_policies", d);

    for (int p = 0; p < ROUTING_POLICY_COUNT; p++) {
        DriverOptions o = options_for(d);
        RoutingSummary r;

        o.router.policy = (RoutingPolicy)p;
        r = RoutingSummary_Run(o);
        for (int s = 0; s < DRIVER_SERVICES; s++) {
            const ServiceFigures *f = &r.services[s];

            printf("%s_%s_%s_p99_ms=%.4g wait_p99_ms=%.4g "
                   "slot_messages_per_s_host=%.0f\n",
                   d->name, d->services[s].name,
                   RoutingPolicy_Name(o.router.policy), f->p99 / 1e3,
                   f->wait_p99 / 1e3, f->messages);
            if (out != NULL && s == 0) {
                fprintf(out, "%s %.3f %.3f %.1f\n",
                        RoutingPolicy_Name(o.router.policy), f->p99 / 1e3,
                        f->wait_p99 / 1e3, f->messages);
            }
        }
    }
    close_data(out);
}

/* Alternatives to the defaults. They have no bounds; the defaults were chosen
 * by comparison with them. */
static void
bench_variants(const Deployment *d)
{
    static const struct {
        const char *name;
        RoutingPolicy policy;
        uint32_t choices;
        bool lend_slots;
        ServiceTimes service_times;
        Micros same_domain_latency;
        bool one_domain;
        Micros bonus;
    } cases[] = {
        {"reports_two", ROUTING_REPORTS, 2, true, 0, 0, false, 0},
        {"shares_without_lending", ROUTING_SLOT_SHARES, 0, false, 0, 0, false,
         0},
        {"erlang4", ROUTING_REPORTS, 0, true, TIMES_ERLANG4, 0, false, 1000},
        {"erlang4_two_choices", ROUTING_TWO_CHOICES, 0, true, TIMES_ERLANG4, 0,
         false, 1000},
        {"near_ignored", ROUTING_REPORTS, 0, true, 0, 100, false, 0},
        {"near_preferred", ROUTING_REPORTS, 0, true, 0, 100, false, 1000},
        {"one_domain_near_ignored", ROUTING_REPORTS, 0, true, 0, 100, true, 0},
        {"one_domain_near_preferred", ROUTING_REPORTS, 0, true, 0, 100, true,
         1000},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        DriverOptions o = options_for(d);
        RoutingSummary r;

        o.router.policy = cases[i].policy;
        o.router.choices = cases[i].choices;
        o.router.lend_slots = cases[i].lend_slots;
        o.router.same_domain_bonus = cases[i].bonus;
        o.service_times = cases[i].service_times;
        o.same_domain_latency = cases[i].same_domain_latency;
        o.one_domain = cases[i].one_domain;
        r = RoutingSummary_Run(o);
        for (int s = 0; s < DRIVER_SERVICES; s++) {
            printf("%s_%s_%s_p99_ms=%.4g p50_ms=%.4g\n", d->name,
                   d->services[s].name, cases[i].name, r.services[s].p99 / 1e3,
                   r.services[s].p50 / 1e3);
        }
    }
}

/* Measures only the 2 s in which a tenth of the upstreams is slow. */
static void
bench_slow(const Deployment *d, bool shed)
{
    DriverOptions o = options_for(d);
    RoutingSummary base;
    RoutingSummary reports_policy;
    RoutingSummary recovery;

    o.shed = shed;
    o.queue_max = 6;
    o.slow_share = 0.1;
    o.fault_start = 2 * MICROS_PER_S;
    o.fault_end = 4 * MICROS_PER_S;
    o.duration = o.fault_end;
    reports_policy = RoutingSummary_Run(o);
    o.duration = 9 * MICROS_PER_S;
    recovery = RoutingSummary_Run(o);
    o.duration = o.fault_end;
    use_baseline(&o);
    base = RoutingSummary_Run(o);
    for (int s = 0; s < DRIVER_SERVICES; s++) {
        const char *name = d->services[s].name;
        double slow =
            ceil(0.1 * d->services[s].upstreams) / d->services[s].upstreams;
        const ServiceFigures *f = &reports_policy.services[s];

        if (shed) {
            print_value(d->name, name, "slow_shed_p99_ms", f->p99 / 1e3);
            print_bound(d->name, name, "slow_shed_p99_to_two_choices",
                        f->p99 / base.services[s].p99, 0.5);
            continue;
        }
        print_value(d->name, name, "slow_p99_ms", f->p99 / 1e3);
        print_bound(d->name, name, "slow_p99_to_two_choices",
                    f->p99 / base.services[s].p99, 0.5);
        print_value(d->name, name, "slow_share_after_50ms",
                    f->affected_late / slow);
        print_value(d->name, name, "slow_share_regained",
                    recovery.services[s].affected_after / slow);
        print_bound(d->name, name, "slow_probe_use", f->probe_peak, 1);
    }
}

static void
bench_failing(const Deployment *d)
{
    for (int p = 0; p < ROUTING_POLICY_COUNT; p++) {
        DriverOptions o = options_for(d);
        RoutingSummary r;

        o.router.policy = (RoutingPolicy)p;
        o.failing = 1;
        o.fault_start = 3 * MICROS_PER_S;
        o.fault_end = o.duration;
        r = RoutingSummary_Run(o);
        for (int s = 0; s < DRIVER_SERVICES; s++) {
            double affected_share =
                r.services[s].affected_share * d->services[s].upstreams;
            const char *service = d->services[s].name;

            if (o.router.policy != ROUTING_REPORTS) {
                printf("%s_%s_%s_failing_share=%.4g\n", d->name, service,
                       RoutingPolicy_Name(o.router.policy), affected_share);
                continue;
            }
            print_bound(d->name, service, "failing_share", affected_share,
                        1.5);
            print_bound(d->name, service, "failing_probe_use",
                        r.services[s].probe_peak, 1);
        }
    }
}

/* One upstream of each service reports 1000 idle slots; the reports of all
 * others are correct. */
static void
bench_false_idle_report(const Deployment *d)
{
    DriverOptions o = options_for(d);
    RoutingSummary truthful = RoutingSummary_Run(o);
    RoutingSummary r;

    o.misreporting = 1;
    o.fault_start = 2 * MICROS_PER_S;
    o.fault_end = o.duration;
    r = RoutingSummary_Run(o);
    for (int s = 0; s < DRIVER_SERVICES; s++) {
        const char *service = d->services[s].name;

        print_value(d->name, service, "lying_share",
                    r.services[s].affected_share * d->services[s].upstreams);
        print_value(d->name, service, "lying_p99_to_honest",
                    r.services[s].p99 / truthful.services[s].p99);
    }
}

static void
bench_misleading_reports(const Deployment *d, bool verify)
{
    static const struct {
        const char *name;
        ReportMode mode;
    } cases[] = {{"late", REPORTS_LATE}, {"zero", REPORTS_ZERO}};
    DriverOptions o = options_for(d);
    RoutingSummary without_reports;

    o.reports = REPORTS_NONE;
    without_reports = RoutingSummary_Run(o);
    o.router.verify_reports = verify;
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        RoutingSummary r;

        o.reports = cases[i].mode;
        r = RoutingSummary_Run(o);
        for (int s = 0; s < DRIVER_SERVICES; s++) {
            double ratio = r.services[s].p99 / without_reports.services[s].p99;
            char name[64];

            g_snprintf(name, sizeof(name), "%s_reports_p99_to_none%s",
                       cases[i].name, verify ? "" : "_unverified");
            if (verify) {
                print_bound(d->name, d->services[s].name, name, ratio, 1.15);
            }
            else {
                print_value(d->name, d->services[s].name, name, ratio);
            }
        }
    }
}

static void
bench_all_down(const Deployment *d)
{
    DriverOptions o = options_for(d);
    RoutingSummary r;

    o.down = true;
    o.fault_start = o.warmup;
    o.fault_end = o.duration;
    r = RoutingSummary_Run(o);
    for (int s = 0; s < DRIVER_SERVICES; s++) {
        const char *name = d->services[s].name;

        print_bound(d->name, name, "down_sent_to_offered", r.services[s].sent,
                    1.1);
        print_bound(d->name, name, "down_probe_use", r.services[s].probe_peak,
                    1);
    }
}

/* Upstreams that shed load when full, with different queue lengths and retry
 * budgets. */
static void
bench_shedding(const Deployment *d)
{
    static const struct {
        const char *name;
        uint32_t queue_max;
        double retry_share;
    } cases[] = {
        {"shed_at_once", 0, 0.1},
        {"shed_at_once_free_retries", 0, 10},
        {"shed_after_half_queue", 3, 0.1},
        {"shed_after_slots_queue", 6, 0.1},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        DriverOptions o = options_for(d);
        RoutingSummary r;

        o.shed = true;
        o.queue_max = cases[i].queue_max;
        o.retry_share = cases[i].retry_share;
        r = RoutingSummary_Run(o);
        for (int s = 0; s < DRIVER_SERVICES; s++) {
            const ServiceFigures *f = &r.services[s];

            printf("%s_%s_%s_p99_ms=%.4g sheds=%.4f sent=%.4f "
                   "refused=%.4f\n",
                   d->name, d->services[s].name, cases[i].name, f->p99 / 1e3,
                   f->sheds, f->sent, f->failed);
        }
    }
}

static void
bench_surge(const Deployment *d)
{
    DriverOptions o = options_for(d);
    RoutingSummary r;

    o.load = 8;
    o.shed = true;
    o.queue_max = 6;
    o.duration = 4 * MICROS_PER_S;
    r = RoutingSummary_Run(o);
    for (int s = 0; s < DRIVER_SERVICES; s++) {
        const char *name = d->services[s].name;

        print_bound(d->name, name, "surge_probe_use", r.services[s].probe_peak,
                    1);
        print_bound(d->name, name, "surge_connections",
                    r.services[s].connections, 250);
    }
}

static void
bench_cold_start(const Deployment *d)
{
    for (int ramped = 0; ramped < 2; ramped++) {
        DriverOptions o = options_for(d);
        RoutingSummary r;

        o.cold = true;
        o.fault_start = 2 * MICROS_PER_S;
        o.fault_end = 3 * MICROS_PER_S;
        o.duration = o.fault_end;
        o.router.ramp_time = ramped ? o.router.ramp_time : 1;
        r = RoutingSummary_Run(o);
        for (int s = 0; s < DRIVER_SERVICES; s++) {
            print_value(d->name, d->services[s].name,
                        ramped ? "cold_p99_ms" : "cold_unramped_p99_ms",
                        r.services[s].p99 / 1e3);
        }
    }
}

static void
bench_load(const Deployment *d)
{
    static const RoutingPolicy policies[] = {
        ROUTING_RANDOM, ROUTING_LEAST_INFLIGHT, ROUTING_TWO_CHOICES,
        ROUTING_REPORTS};
    FILE *out = open_data("routing_load", d);

    if (out == NULL) {
        return;
    }
    fprintf(out, "# load mmc random least-inflight two-choices reports\n");
    for (int percent = 50; percent <= 95; percent += 5) {
        DriverOptions o = options_for(d);

        o.load = percent / 100.0;
        fprintf(out, "%d %.3f", percent,
                MmcQueue_P99(total_slots(&d->services[0]), o.load,
                             (double)o.mean_service_time) /
                    1e3);
        for (size_t p = 0; p < G_N_ELEMENTS(policies); p++) {
            o.router.policy = policies[p];
            fprintf(out, " %.3f",
                    (double)RoutingDriver_Run(&o).services[0].p99 / 1e3);
        }
        fprintf(out, "\n");
    }
    close_data(out);
}

static void
bench_slow_queueing(const Deployment *d)
{
    bench_slow(d, false);
}

static void
bench_slow_shedding(const Deployment *d)
{
    bench_slow(d, true);
}

static void
bench_verified(const Deployment *d)
{
    bench_misleading_reports(d, true);
}

static void
bench_unverified(const Deployment *d)
{
    bench_misleading_reports(d, false);
}

/* Runs the scenarios named by the arguments, or all without arguments. */
static const struct {
    const char *name;
    void (*run)(const Deployment *deployment);
} scenarios[] = {
    {"uniform", bench_uniform},     {"policies", bench_policies},
    {"slow", bench_slow_queueing},  {"slow-shed", bench_slow_shedding},
    {"failing", bench_failing},     {"lying", bench_false_idle_report},
    {"misleading", bench_verified}, {"unverified", bench_unverified},
    {"down", bench_all_down},       {"surge", bench_surge},
    {"cold", bench_cold_start},     {"shedding", bench_shedding},
    {"variants", bench_variants},   {"load", bench_load},
};

static bool
is_selected(const char *name, int argc, char **argv)
{
    for (int i = 1; i < argc; i++) {
        if (g_str_equal(argv[i], name)) {
            return true;
        }
    }
    return argc == 1;
}

int
main(int argc, char **argv)
{
    printf("seeds=1,2,3 hosts=20 mean_service_ms=10 load=0.8\n");
    for (size_t i = 0; i < G_N_ELEMENTS(deployments); i++) {
        for (size_t k = 0; k < G_N_ELEMENTS(scenarios); k++) {
            if (is_selected(scenarios[k].name, argc, argv)) {
                scenarios[k].run(deployments[i]);
                fflush(stdout);
            }
        }
    }
    return 0;
}
