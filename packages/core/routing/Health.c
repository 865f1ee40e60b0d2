#include "Health.h"

#include <glib.h>

#include "LoadEstimate.h"

/* First hold; each further one in a row is twice as long. */
#define HOLD_TIME (1 * MICROS_PER_S)
#define HOLD_DOUBLINGS 4
/* Share of recent failures above which an upstream is held. */
#define FAILURES_HELD 0.5F
/* Weight of one failure: two in a row pass FAILURES_HELD. */
#define FAILURE_WEIGHT 0.3F
/* Shedding is normal when full; seven in a row pass FAILURES_HELD. */
#define SHED_WEIGHT 0.1F
/* A drain seen in a report is believed this long without new evidence. */
#define DRAIN_MEMORY (60 * MICROS_PER_S)

static void
hold(Upstream *u, Micros now)
{
    u->held_until = now + (HOLD_TIME << MIN(u->holds, HOLD_DOUBLINGS));
    u->holds = (uint8_t)MIN(u->holds + 1, 100);
    u->flags &= (uint8_t)~UPSTREAM_TRIAL;
}

static void
clear(Upstream *u)
{
    u->holds = 0;
    u->failures = 0;
    u->latency = 0;
    u->flags &= (uint8_t) ~(UPSTREAM_TRIAL | UPSTREAM_SLOW);
}

bool
Health_IsDraining(Upstream *u, Micros now)
{
    if ((u->flags & UPSTREAM_REPORTED_DRAINING) != 0 &&
        now - u->drain_time > DRAIN_MEMORY) {
        u->flags &= (uint8_t)~UPSTREAM_REPORTED_DRAINING;
        u->ramp_start = now;
        u->held_until = now;
        u->holds = MAX(u->holds, 1);
    }
    return (u->flags &
            (UPSTREAM_LISTED_DRAINING | UPSTREAM_REPORTED_DRAINING)) != 0;
}

bool
Health_IsHeld(const Upstream *u, Micros now)
{
    return u->holds > 0 && now < u->held_until;
}

bool
Health_IsTrialDue(const Upstream *u, Micros now)
{
    return u->holds > 0 && now >= u->held_until;
}

void
Health_Suspect(Upstream *u, Micros now, Micros duration)
{
    u->holds = MAX(u->holds, 1);
    u->held_until = MAX(u->held_until, now + duration);
}

void
Health_OnSent(Upstream *u, Micros now)
{
    if (Health_IsTrialDue(u, now)) {
        /* The next trial comes later even if this one never ends. */
        u->held_until = now + (HOLD_TIME << MIN(u->holds, HOLD_DOUBLINGS));
        u->flags |= UPSTREAM_TRIAL;
    }
}

static void
on_failure(const ServiceState *service, Upstream *u, float weight,
           Micros latency, Micros now)
{
    if ((float)latency < service->typical) {
        LoadEstimate_AddPenalty(service, u, now);
    }
    u->failures += weight * (1 - u->failures);
    if ((u->flags & UPSTREAM_TRIAL) != 0 ||
        (u->failures > FAILURES_HELD && !Health_IsHeld(u, now))) {
        hold(u, now);
    }
}

static void
on_success(ServiceState *service, Upstream *u, Micros latency, Micros now)
{
    u->failures *= 1 - FAILURE_WEIGHT;
    LoadEstimate_OnLatency(service, u, latency);
    if ((u->flags & UPSTREAM_TRIAL) != 0) {
        /* Judged alone: the mean still holds the time before the hold. */
        u->latency = (float)latency;
    }
    if (LoadEstimate_IsSlow(service, u)) {
        if (!Health_IsHeld(u, now) || (u->flags & UPSTREAM_TRIAL) != 0) {
            hold(u, now);
            u->flags |= UPSTREAM_SLOW;
        }
    }
    else if ((u->flags & UPSTREAM_TRIAL) != 0) {
        clear(u);
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

/* What comes back after a drain is a new process: it starts cold. */
static void
restart_if_usable(Upstream *u, Micros now)
{
    if ((u->flags & (UPSTREAM_LISTED_DRAINING | UPSTREAM_REPORTED_DRAINING)) ==
        0) {
        clear(u);
        u->ramp_start = now;
        u->report_time = -1;
    }
}

void
Health_OnDrainReport(Upstream *u, bool draining, Micros now)
{
    if (draining) {
        u->flags |= UPSTREAM_REPORTED_DRAINING;
        u->drain_time = now;
    }
    else if ((u->flags & UPSTREAM_REPORTED_DRAINING) != 0) {
        u->flags &= (uint8_t)~UPSTREAM_REPORTED_DRAINING;
        restart_if_usable(u, now);
    }
}

void
Health_OnListed(Upstream *u, bool draining, Micros now)
{
    if (draining) {
        u->flags |= UPSTREAM_LISTED_DRAINING;
    }
    else if ((u->flags & UPSTREAM_LISTED_DRAINING) != 0) {
        u->flags &= (uint8_t)~UPSTREAM_LISTED_DRAINING;
        restart_if_usable(u, now);
    }
}
