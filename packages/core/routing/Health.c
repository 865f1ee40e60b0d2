#include "Health.h"

#include <glib.h>

#include "LoadEstimate.h"

/*
 * Length of the first ejection; each consecutive one is twice as long, up to
 * EJECTION_DOUBLINGS_MAX doublings.
 */
#define EJECTION_BASE_US (1 * MICROS_PER_S)
#define EJECTION_DOUBLINGS_MAX 4
/* Weighted ratio of recent failures above which an upstream is ejected. */
#define EJECTION_FAILURE_RATIO 0.5F
/* Weight of one failure: two in a row exceed EJECTION_FAILURE_RATIO. */
#define FAILURE_WEIGHT 0.3F
/*
 * Lower weight, because a full upstream sheds load in normal operation: seven
 * sheds in a row exceed EJECTION_FAILURE_RATIO.
 */
#define SHED_WEIGHT 0.1F
/*
 * A drain seen in a load report is assumed to last this long without a new
 * one.
 */
#define DRAIN_REPORT_MAX_AGE_US (60 * MICROS_PER_S)

static void
eject(Upstream *u, Micros now)
{
    u->ejected_until =
        now + (EJECTION_BASE_US << MIN(u->ejections, EJECTION_DOUBLINGS_MAX));
    u->ejections = (uint8_t)MIN(u->ejections + 1, 100);
    u->flags &= (uint8_t)~UPSTREAM_TRIAL;
}

static void
reset_ejection(Upstream *u)
{
    u->ejections = 0;
    u->failure_ratio = 0;
    u->mean_latency = 0;
    u->flags &= (uint8_t) ~(UPSTREAM_TRIAL | UPSTREAM_SLOW);
}

bool
Health_IsDraining(Upstream *u, Micros now)
{
    if ((u->flags & UPSTREAM_REPORTED_DRAINING) != 0 &&
        now - u->drain_report_time > DRAIN_REPORT_MAX_AGE_US) {
        u->flags &= (uint8_t)~UPSTREAM_REPORTED_DRAINING;
        u->ramp_start = now;
        u->ejected_until = now;
        u->ejections = MAX(u->ejections, 1);
    }
    return (u->flags &
            (UPSTREAM_LISTED_DRAINING | UPSTREAM_REPORTED_DRAINING)) != 0;
}

bool
Health_IsEjected(const Upstream *u, Micros now)
{
    return u->ejections > 0 && now < u->ejected_until;
}

bool
Health_IsTrialDue(const Upstream *u, Micros now)
{
    return u->ejections > 0 && now >= u->ejected_until;
}

void
Health_Eject(Upstream *u, Micros now, Micros duration)
{
    u->ejections = MAX(u->ejections, 1);
    u->ejected_until = MAX(u->ejected_until, now + duration);
}

void
Health_OnSent(Upstream *u, Micros now)
{
    if (Health_IsTrialDue(u, now)) {
        /* Schedules the next trial even if this one never finishes. */
        u->ejected_until =
            now +
            (EJECTION_BASE_US << MIN(u->ejections, EJECTION_DOUBLINGS_MAX));
        u->flags |= UPSTREAM_TRIAL;
    }
}

static void
on_failure(const ServiceState *service, Upstream *u, float weight,
           Micros latency, Micros now)
{
    if ((float)latency < service->median_latency) {
        LoadEstimate_AddPenalty(service, u, now);
    }
    u->failure_ratio += weight * (1 - u->failure_ratio);
    if ((u->flags & UPSTREAM_TRIAL) != 0 ||
        (u->failure_ratio > EJECTION_FAILURE_RATIO &&
         !Health_IsEjected(u, now))) {
        eject(u, now);
    }
}

static void
on_success(ServiceState *service, Upstream *u, Micros latency, Micros now)
{
    u->failure_ratio *= 1 - FAILURE_WEIGHT;
    LoadEstimate_OnLatency(service, u, latency);
    if ((u->flags & UPSTREAM_TRIAL) != 0) {
        /*
         * A trial is judged by its own latency: the mean predates the
         * ejection.
         */
        u->mean_latency = (float)latency;
    }
    if (LoadEstimate_IsSlow(service, u)) {
        if (!Health_IsEjected(u, now) || (u->flags & UPSTREAM_TRIAL) != 0) {
            eject(u, now);
            u->flags |= UPSTREAM_SLOW;
        }
    }
    else if ((u->flags & UPSTREAM_TRIAL) != 0) {
        reset_ejection(u);
    }
}

void
Health_OnFinished(ServiceState *service, Upstream *u, AttemptOutcome outcome,
                  Micros latency, Micros now)
{
    switch (outcome) {
    case ATTEMPT_OK:
        on_success(service, u, latency, now);
        break;
    case ATTEMPT_SHED:
        on_failure(service, u, SHED_WEIGHT, latency, now);
        break;
    case ATTEMPT_ERROR:
    case ATTEMPT_CONNECTION_FAILED:
    case ATTEMPT_TIMEOUT:
        on_failure(service, u, FAILURE_WEIGHT, latency, now);
        break;
    case ATTEMPT_CANCELLED:
        u->flags &= (uint8_t)~UPSTREAM_TRIAL;
        break;
    }
}

/*
 * An upstream that returns from a drain is a new process and starts cold. Does
 * nothing while the other source of draining is still set.
 */
static void
reset_after_drain(Upstream *u, Micros now)
{
    if ((u->flags & (UPSTREAM_LISTED_DRAINING | UPSTREAM_REPORTED_DRAINING)) ==
        0) {
        reset_ejection(u);
        u->ramp_start = now;
        u->report_time = -1;
    }
}

void
Health_OnDrainReport(Upstream *u, bool draining, Micros now)
{
    if (draining) {
        u->flags |= UPSTREAM_REPORTED_DRAINING;
        u->drain_report_time = now;
    }
    else if ((u->flags & UPSTREAM_REPORTED_DRAINING) != 0) {
        u->flags &= (uint8_t)~UPSTREAM_REPORTED_DRAINING;
        reset_after_drain(u, now);
    }
}

void
Health_OnDrainListed(Upstream *u, bool draining, Micros now)
{
    if (draining) {
        u->flags |= UPSTREAM_LISTED_DRAINING;
    }
    else if ((u->flags & UPSTREAM_LISTED_DRAINING) != 0) {
        u->flags &= (uint8_t)~UPSTREAM_LISTED_DRAINING;
        reset_after_drain(u, now);
    }
}
