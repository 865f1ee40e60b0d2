#include "UpstreamFault.h"

#include <string.h>

static bool
in_burst(const UpstreamSettings *settings, Micros up)
{
    Micros period = settings->burst_every_ms * MICROS_PER_MS;

    return period > 0 && up % period < settings->burst_ms * MICROS_PER_MS;
}

UpstreamFault
UpstreamFault_Draw(const UpstreamSettings *settings, Random *random, Micros up)
{
    double burst = in_burst(settings, up) ? settings->burst_share : 0;
    const struct {
        UpstreamFault fault;
        double share;
    } faults[] = {
        {FAULT_ERROR_500, settings->fail_share},
        {FAULT_ERROR_500, burst},
        {FAULT_BARE_503, settings->bare_503_share},
        {FAULT_SHORT_BODY, settings->short_share},
        {FAULT_LONG_BODY, settings->long_share},
        {FAULT_LATE_ANSWER, settings->late_share},
    };

    for (size_t i = 0; i < sizeof(faults) / sizeof(faults[0]); i++) {
        if (faults[i].share > 0 && Random_Unit(random) < faults[i].share) {
            return faults[i].fault;
        }
    }
    return FAULT_NONE;
}

/* The cold factor falls linearly to 1 over the cold phase. */
static double
cold_factor(const UpstreamSettings *settings, Micros since_cold)
{
    Micros cold = settings->cold_ms * MICROS_PER_MS;
    double left;

    if (cold <= 0 || since_cold >= cold) {
        return 1;
    }
    left = 1 - (double)since_cold / (double)cold;
    return 1 + (settings->cold_factor - 1) * left;
}

Micros
UpstreamFault_ServiceTime(const UpstreamSettings *settings, Random *random,
                          double wanted_ms, Micros since_cold)
{
    double ms = settings->service_ms;

    if (wanted_ms >= 0) {
        ms = wanted_ms;
    }
    else if (strcmp(settings->service, "fixed") != 0) {
        ms = Random_Exponential(random, ms);
    }
    ms *= settings->slow_factor * cold_factor(settings, since_cold);
    return (Micros)(ms * (double)MICROS_PER_MS);
}
