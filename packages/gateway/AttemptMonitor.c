#include "AttemptMonitor.h"

#include "JobLog.h"
#include "JobPlacement.h"

/* Part of the objective after which an upstream is asked: enough is left then
 * to ask twice and for another upstream to do the work. */
#define WATCH_SHARE 0.25
/* Shorter ones would cost more questions than requests. */
#define WATCH_PERIOD_MIN (20 * MICROS_PER_MS)

/* What becomes of an attempt that should be somewhere else. */
typedef enum Move_ {
    MOVE_NONE,  /* it stays where it is */
    MOVE_ASKED, /* others are asked for their load first */
    MOVE_DONE,  /* the job may be over */
} Move;

static Micros
watch_period(const Job *job)
{
    return MAX((Micros)(WATCH_SHARE * (double)job->route->objective),
               WATCH_PERIOD_MIN);
}

void
AttemptMonitor_Start(Job *job)
{
    bool may_repeat = job->route->kind == ROUTE_IDEMPOTENT &&
                      job->tried_count < job->route->attempts_max &&
                      job->route->objective > 0 && JobPlacement_CanProbe(job);

    Job_SetWatchAt(job, may_repeat
                            ? Clock_Now(job->owner->clock) + watch_period(job)
                            : 0);
}

static bool
heard_lately(const Job *job)
{
    Micros age = Placement_ReportAge(job->owner->placement, job->upstream);

    return age >= 0 && age < watch_period(job);
}

static bool
can_repeat(const Job *job, PlacementChoice *choice)
{
    Dispatcher *this = job->owner;
    PlacementQuery query = JobPlacement_Query(job);

    return job->deadline - Clock_Now(this->clock) >= ATTEMPT_TIME_MIN &&
           RetryWindow_Left(Job_Window(job)) >= 1 &&
           Placement_Choose(this->placement, &query, choice) == 0;
}

static void
give_up(Job *job, const char *reason)
{
    JobLog_GivenUp(job, reason);
    Job_CancelAttempt(job);
    Job_TryAgain(job, reason);
}

static bool
is_lost(const Job *job)
{
    return Placement_IsLost(job->owner->placement, job->upstream);
}

/* Its answer will be late in any case, and most that take so long never come.
 */
static bool
is_overdue(const Job *job)
{
    return Clock_Now(job->owner->clock) - job->sent_at >=
           job->route->objective;
}

/* What may still be worked on moves to an idle upstream only: when all are
 * busy, work would only be done twice. */
static bool
is_better(const Job *job, const PlacementChoice *choice)
{
    return choice->room && (choice->good || is_lost(job));
}

static Move
move(Job *job)
{
    PlacementChoice choice;

    if (!can_repeat(job, &choice)) {
        return MOVE_NONE;
    }
    if (is_better(job, &choice)) {
        give_up(job, is_lost(job) ? "upstream-lost" : "overdue");
        return MOVE_DONE;
    }
    if (job->watch_asked) {
        return MOVE_NONE;
    }
    JobPlacement_ProbeOthers(job);
    return MOVE_ASKED;
}

void
AttemptMonitor_OnTime(Job *job)
{
    Micros now = Clock_Now(job->owner->clock);
    bool elsewhere =
        !job->owner->stopping && (is_lost(job) || is_overdue(job));
    Move moved = elsewhere ? move(job) : MOVE_NONE;

    switch (moved) {
    case MOVE_DONE:
        return;
    case MOVE_ASKED:
        job->watch_asked = true;
        Job_SetWatchAt(job, now + ASK_TIME);
        return;
    case MOVE_NONE:
        job->watch_asked = false;
        Job_SetWatchAt(job, now + watch_period(job));
        if (!heard_lately(job)) {
            JobPlacement_ProbeAgain(job, job->upstream);
        }
    }
}

void
AttemptMonitor_OnProbeTimeout(Dispatcher *this, uint32_t upstream)
{
    GList *jobs = g_hash_table_get_keys(this->jobs);

    for (GList *item = jobs; item != NULL; item = item->next) {
        Job *job = item->data;

        if (job->watch_at == 0 || job->upstream != upstream) {
            continue;
        }
        if (is_lost(job)) {
            AttemptMonitor_OnTime(job);
        }
        else {
            JobPlacement_ProbeAgain(job, upstream);
        }
    }
    g_list_free(jobs);
}
