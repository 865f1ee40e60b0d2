#include "AttemptWatch.h"

#include "JobLog.h"
#include "JobPlacing.h"

/* Part of the objective after which an upstream is asked: enough is left then
 * to ask twice and for another upstream to do the work. */
#define WATCH_SHARE 0.25
/* Shorter ones would cost more questions than requests. */
#define WATCH_PERIOD_MIN (20 * MICROS_PER_MS)
/* One question may be lost, as a packet or to a pause of the upstream. */
#define SILENCES_MAX 2

static bool
is_watched(const Job *job)
{
    return job->watch_at > 0 && job->upstream != UPSTREAM_NONE;
}

static Micros
watch_period(const Job *job)
{
    return MAX((Micros)(WATCH_SHARE * (double)job->route->objective),
               WATCH_PERIOD_MIN);
}

void
AttemptWatch_Begin(Job *job)
{
    bool may_repeat = job->route->kind == ROUTE_IDEMPOTENT &&
                      job->tried_count < job->route->attempts_max &&
                      job->route->objective > 0 && JobPlacing_CanAsk(job);

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
    PlacementQuery query = JobPlacing_Query(job);

    return job->deadline - Clock_Now(this->clock) >= ATTEMPT_TIME_MIN &&
           RetryWindow_Left(Job_Window(job)) >= 1 &&
           Placement_Choose(this->placement, &query, choice) == 0;
}

static void
give_up(Job *job, const char *reason)
{
    DispatchAction cancel = {
        .kind = DISPATCH_CANCEL,
        .job = job,
        .user = job->user,
    };

    JobLog_GivenUp(job, reason);
    Dispatcher_PushAction(job->owner, &cancel);
    Job_EndAttempt(job, ATTEMPT_TIMEOUT);
    job->may_have_run = true;
    Job_TryAgain(job, reason);
}

static bool
is_lost(const Job *job)
{
    return Placement_Silences(job->owner->placement, job->upstream) >=
           SILENCES_MAX;
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

/* Returns false if others are asked for their load first. */
static bool
move(Job *job)
{
    PlacementChoice choice;

    if (!can_repeat(job, &choice)) {
        return true;
    }
    if (is_better(job, &choice)) {
        give_up(job, is_lost(job) ? "upstream-lost" : "overdue");
        return true;
    }
    if (job->watch_asked) {
        return true;
    }
    job->watch_asked = true;
    JobPlacing_AskOthers(job);
    return false;
}

void
AttemptWatch_OnTime(Job *job)
{
    Dispatcher *this = job->owner;
    Micros now = Clock_Now(this->clock);
    uint32_t upstream = job->upstream;

    Job_SetWatchAt(job, now + watch_period(job));
    if (!this->stopping && (is_lost(job) || is_overdue(job)) && !move(job)) {
        Job_SetWatchAt(job, now + ASK_TIME);
        return;
    }
    if (g_hash_table_contains(this->jobs, job) && job->upstream == upstream) {
        job->watch_asked = false;
        if (!heard_lately(job)) {
            JobPlacing_AskAgain(job, upstream);
        }
    }
}

void
AttemptWatch_OnSilence(Dispatcher *this, uint32_t upstream)
{
    GList *jobs = g_hash_table_get_keys(this->jobs);

    for (GList *item = jobs; item != NULL; item = item->next) {
        Job *job = item->data;

        if (!is_watched(job) || job->upstream != upstream) {
            continue;
        }
        if (is_lost(job)) {
            AttemptWatch_OnTime(job);
        }
        else {
            JobPlacing_AskAgain(job, upstream);
        }
    }
    g_list_free(jobs);
}
