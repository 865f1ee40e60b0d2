#include "AttemptMonitor.h"

#include "JobForward.h"
#include "JobLog.h"
#include "JobPlacement.h"

/* Part of the objective after which an upstream is probed: leaves time for two
 * probes and for another upstream to process the request. */
#define MONITOR_PERIOD_RATIO 0.25
/* With a shorter period there would be more probes than requests. */
#define MONITOR_PERIOD_MIN_US (20 * MICROS_PER_MS)

/* Outcome of trying to move an attempt to another upstream. */
typedef enum MoveResult_ {
    MOVE_NONE,    /* the attempt continues */
    MOVE_PROBING, /* other upstreams are being probed first */
    MOVE_DONE,    /* the attempt was abandoned; the job may have ended */
} MoveResult;

static Micros
monitor_period(const Job *job)
{
    return MAX((Micros)(MONITOR_PERIOD_RATIO * (double)job->route->objective),
               MONITOR_PERIOD_MIN_US);
}

/* A host that forwarded the job may be stopping, and must not end a request at
 * which an upstream works. */
static bool
may_move(const Job *job)
{
    return job->route->kind == ROUTE_IDEMPOTENT && !job->forwarded &&
           MAX(job->tried_count, job->attempts_used) < job->attempts_max;
}

/* An attempt that can't be moved is monitored, too: the upstream may have
 * crashed of it. */
void
AttemptMonitor_Start(Job *job)
{
    Micros now = Clock_Now(job->owner->clock);

    if (job->route->objective <= 0 || !JobPlacement_CanProbe(job)) {
        Job_SetMonitorAt(job, 0);
        return;
    }
    Job_SetMonitorAt(job, now + (may_move(job) ? monitor_period(job)
                                               : job->route->objective));
}

static bool
has_recent_report(const Job *job)
{
    Micros age = Placement_ReportAge(job->owner->placement, job->upstream);

    return age >= 0 && age < monitor_period(job);
}

static bool
can_retry(const Job *job, PlacementChoice *choice)
{
    Dispatcher *this = job->owner;
    PlacementQuery query = JobPlacement_Query(job);

    return job->deadline - Clock_Now(this->clock) >= ATTEMPT_TIME_MIN_US &&
           !Job_IsStale(job) &&
           !CrashGuard_Refuses(this->guard, &job->fingerprint) &&
           RetryWindow_Remaining(Job_RetryWindow(job)) >= 1 &&
           Placement_Choose(this->placement, &query, choice) == 0;
}

/* The attempt is given up only if the next one is sent at once: a host's own
 * response must not replace that of an upstream that works. */
static MoveResult
replace_attempt(Job *job, const PlacementChoice *choice, const char *reason)
{
    if (!Job_ReserveRetry(job)) {
        return MOVE_NONE;
    }
    JobLog_AttemptAbandoned(job, reason);
    Job_CancelAttempt(job);
    JobPlacement_Send(job, choice);
    return MOVE_DONE;
}

static bool
is_unreachable(const Job *job)
{
    return Placement_IsUnreachable(job->owner->placement, job->upstream);
}

/* The response will be late in any case, and most requests that take this long
 * never get one. */
static bool
is_overdue(const Job *job)
{
    return Clock_Now(job->owner->clock) - job->sent_at >=
           job->route->objective;
}

/* A request that may still be processed moves only to a nearly idle upstream:
 * while all are busy, the move would only duplicate the work. One whose upstream
 * is unreachable moves to any with capacity, once others were probed. */
static bool
is_better(const Job *job, const PlacementChoice *choice)
{
    return choice->has_capacity &&
           (choice->near_idle || (is_unreachable(job) && job->others_probed));
}

static MoveResult
move_attempt(Job *job)
{
    PlacementChoice choice;

    if (JobForward_Applies(job) || !can_retry(job, &choice)) {
        return MOVE_NONE;
    }
    if (is_better(job, &choice)) {
        return replace_attempt(
            job, &choice, is_unreachable(job) ? "upstream-lost" : "overdue");
    }
    if (job->others_probed) {
        return MOVE_NONE;
    }
    JobPlacement_ProbeOthers(job);
    return MOVE_PROBING;
}

void
AttemptMonitor_OnTime(Job *job)
{
    Micros now = Clock_Now(job->owner->clock);
    bool should_move = !job->owner->stopping && may_move(job) &&
                       (is_unreachable(job) || is_overdue(job));
    MoveResult result = should_move ? move_attempt(job) : MOVE_NONE;

    switch (result) {
    case MOVE_DONE:
        return;
    case MOVE_PROBING:
        job->others_probed = true;
        Job_SetMonitorAt(job, now + PROBE_WAIT_US);
        return;
    case MOVE_NONE:
        job->others_probed = false;
        if (is_unreachable(job)) {
            Job_ReportNoResponse(job, LOST_ATTEMPT_TIMEOUT);
        }
        Job_SetMonitorAt(job, now + monitor_period(job));
        if (!has_recent_report(job)) {
            JobPlacement_ProbeAgain(job, job->upstream);
        }
    }
}

void
AttemptMonitor_OnProbeTimeout(Dispatcher *this, uint32_t upstream)
{
    GList *jobs = Job_Sorted(this->jobs);

    for (GList *item = jobs; item != NULL; item = item->next) {
        Job *job = item->data;

        if (job->monitor_at == 0 || job->upstream != upstream) {
            continue;
        }
        if (is_unreachable(job)) {
            AttemptMonitor_OnTime(job);
        }
        else {
            JobPlacement_ProbeAgain(job, upstream);
        }
    }
    g_list_free(jobs);
}
