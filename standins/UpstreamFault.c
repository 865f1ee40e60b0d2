#include "UpstreamFault.h"

#include <string.h>

static bool
in_burst(const UpstreamSettings *settings, Micros uptime)
{
    Micros period = settings->burst_every_ms * MICROS_PER_MS;

    return period > 0 && uptime % period < settings->burst_ms * MICROS_PER_MS;
}

UpstreamFault
UpstreamFault_Draw(const UpstreamSettings *settings, Random *random,
                   Micros uptime)
{
    double burst_share =
        in_burst(settings, uptime) ? settings->burst_share : 0;
    const struct {
        UpstreamFault fault;
        double share;
    } faults[] = {
        {FAULT_ERROR_500, settings->fail_share},
        {FAULT_ERROR_500, burst_share},
        {FAULT_BARE_503, settings->bare_503_share},
        {FAULT_SHORT_BODY, settings->short_share},
        {FAULT_LONG_BODY, settings->long_share},
        {FAULT_LATE_RESPONSE, settings->late_share},
    };

    for (size_t i = 0; i < sizeof(faults) / sizeof(faults[0]); i++) {
        if (faults[i].share > 0 && Random_Unit(random) < faults[i].share) {
            return faults[i].fault;
        }
    }
    return FAULT_NONE;
}

/* The factor decreases linearly from settings->cold_factor to 1 over the cold
 * phase. */
static double
current_cold_factor(const UpstreamSettings *settings, Micros cold_elapsed)
{
    Micros duration = settings->cold_ms * MICROS_PER_MS;
    double remaining;

    if (duration <= 0 || cold_elapsed >= duration) {
        return 1;
    }
    remaining = 1 - (double)cold_elapsed / (double)duration;
    return 1 + (settings->cold_factor - 1) * remaining;
}

Micros
UpstreamFault_ServiceTime(const UpstreamSettings *settings, Random *random,
                          double requested_ms, Micros cold_elapsed)
{
    double ms = settings->service_ms;

    if (requested_ms >= 0) {
        ms = requested_ms;
    }
    else if (strcmp(settings->service, "fixed") != 0) {
        ms = Random_Exponential(random, ms);
    }
    ms *= settings->slow_factor * current_cold_factor(settings, cold_elapsed);
    return (Micros)(ms * (double)MICROS_PER_MS);
}
