#include "RoutingSummary.h"

#include <glib.h>

/* Each figure is the mean of the runs, or the maximum for limits. */
static const uint64_t seeds[] = {1, 2, 3};

/* Number of hosts of a run. */
#define HOSTS 20

static double
ratio(uint64_t part, uint64_t whole)
{
    return whole > 0 ? (double)part / (double)whole : 0;
}

static void
add_run(ServiceFigures *f, const ServiceResult *r, const DriverResult *run,
        double seconds, double weight)
{
    f->p50 += weight * (double)r->p50;
    f->p99 += weight * (double)r->p99;
    f->wait_p99 += weight * (double)r->wait_p99;
    f->sent += weight * ratio(r->sent, r->offered);
    f->failed += weight * ratio(r->failed, r->offered);
    f->sheds += weight * ratio(r->sheds, r->offered);
    f->affected_share += weight * r->affected_share;
    f->affected_late += weight * r->affected_late;
    f->affected_after += weight * r->affected_after;
    f->messages += weight * (double)run->slot_messages / seconds / HOSTS;
    f->probe_peak = MAX(f->probe_peak, r->probe_peak);
    f->connections = MAX(f->connections, run->connections_peak);
}

RoutingSummary
RoutingSummary_Run(DriverOptions options)
{
    RoutingSummary out = {0};
    double seconds =
        (double)(options.duration - options.warmup) / MICROS_PER_S;

    for (size_t i = 0; i < G_N_ELEMENTS(seeds); i++) {
        DriverResult r;

        options.seed = seeds[i];
        r = RoutingDriver_Run(&options);
        for (int s = 0; s < DRIVER_SERVICES; s++) {
            add_run(&out.services[s], &r.services[s], &r, seconds,
                    1.0 / G_N_ELEMENTS(seeds));
        }
    }
    return out;
}
