#include "RoutingDriver.h"
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
int
main(int argc, char **argv)
{
    for (int dep = 0; dep < 2; dep++) {
        const Deployment *dp =
            dep ? &deployment_puntarenas : &deployment_tunis;
        for (int shed = 0; shed < 2; shed++)
            for (int p = 0; p < ROUTING_POLICIES + 2; p++) {
                DriverOptions o = DriverOptions_Default(dp);
                const char *n;
                o.shed = shed;
                o.duration = 7 * MICROS_PER_S;
                o.router.policy = p >= ROUTING_POLICIES ? ROUTING_REPORTS : p;
                n = RoutingPolicy_Name(o.router.policy);
                if (argc > 1 && atoi(argv[1]) && p != ROUTING_REPORTS)
                    continue;
                if (p == ROUTING_POLICIES) {
                    o.router.choices = 2;
                    n = "reports2";
                }
                if (p == ROUTING_POLICIES + 1) {
                    o.router.policy = ROUTING_SLOT_SHARES;
                    o.router.lend = false;
                    n = "shares_nolend";
                }
                for (int i = 1; i < argc; i++) {
                    if (!strcmp(argv[i], "late"))
                        o.reports = REPORTS_LATE;
                    if (!strcmp(argv[i], "zero"))
                        o.reports = REPORTS_ZERO;
                    if (!strcmp(argv[i], "none"))
                        o.reports = REPORTS_NONE;
                    if (!strcmp(argv[i], "noverify"))
                        o.router.verify_reports = false;
                    if (!strcmp(argv[i], "slow")) {
                        o.slow_share = .1;
                        o.from = 4 * MICROS_PER_S;
                        o.until = 6 * MICROS_PER_S;
                    }
                    if (!strcmp(argv[i], "slowm")) {
                        o.slow_share = .1;
                        o.from = 4 * MICROS_PER_S;
                        o.until = 6 * MICROS_PER_S;
                        o.warmup = 4 * MICROS_PER_S;
                        o.duration = 6 * MICROS_PER_S;
                    }
                    if (!strcmp(argv[i], "fail")) {
                        o.failing = 1;
                        o.from = 4 * MICROS_PER_S;
                        o.until = 60 * MICROS_PER_S;
                    }
                    if (!strncmp(argv[i], "load=", 5))
                        o.load = atof(argv[i] + 5);
                    if (!strcmp(argv[i], "nobudget"))
                        o.retry_share = 10;
                    if (!strncmp(argv[i], "near=", 5)) {
                        o.near = 100;
                        o.router.near_bonus = atof(argv[i] + 5) * 1000;
                    }
                    if (!strcmp(argv[i], "cold")) {
                        o.cold = true;
                        o.from = 4 * MICROS_PER_S;
                        o.warmup = o.from;
                        o.duration = 5 * MICROS_PER_S;
                    }
                    if (!strcmp(argv[i], "onedom"))
                        o.one_domain = true;
                    if (!strncmp(argv[i], "queue=", 6))
                        o.queue_max = atoi(argv[i] + 6);
                    if (!strcmp(argv[i], "noramp"))
                        o.router.ramp = 1;
                    if (!strncmp(argv[i], "ramp=", 5))
                        o.router.ramp = atof(argv[i] + 5) * 1e6;
                    if (!strcmp(argv[i], "drain")) {
                        o.drain = true;
                        o.from = 4 * MICROS_PER_S;
                    }
                    if (!strcmp(argv[i], "pure"))
                        o.router.outliers = false;
                    if (!strcmp(argv[i], "erl"))
                        o.times = TIMES_ERLANG4;
                    if (!strcmp(argv[i], "down")) {
                        o.down = true;
                        o.from = 4 * MICROS_PER_S;
                        o.warmup = o.from;
                        o.until = 60 * MICROS_PER_S;
                    }
                }
                if (argc > 1 && atoi(argv[1]) &&
                    o.router.policy != ROUTING_REPORTS)
                    continue;
                DriverResult r = RoutingDriver_Run(&o);
                for (int s = 0; s < 2; s++) {
                    ServiceResult *x = &r.services[s];
                    printf(
                        "%-14s shed=%d %-14s p50=%.1f p99=%.1f wait99=%.1f "
                        "sent/off=%.3f shed=%.3f fail=%.4f aff=%.4f late=%.4f "
                        "after=%.4f probe=%.2f msg/s/host=%.0f conn=%u\n",
                        dp->services[s].name, shed, n, x->p50 / 1e3,
                        x->p99 / 1e3, x->wait_p99 / 1e3,
                        (double)x->sent / x->offered,
                        (double)x->sheds / x->offered,
                        (double)x->failed / x->offered, x->affected_share,
                        x->affected_late, x->affected_after, x->probe_peak,
                        r.slot_messages / 20.0 / 5, r.connections_peak);
                }
            }
    }
}
