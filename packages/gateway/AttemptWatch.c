#include "AttemptWatch.h"

#include "JobLog.h"
#include "JobPlacing.h"

/* Part of the objective after which an upstream is asked: enough is left then
 * to ask twice and for another upstream to do the work. */
#define WATCH_SHARE 0.25
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
    return (Micros)(WATCH_SHARE * (double)job->route->objective);
}

void
AttemptWatch_Begin(Job *job)
{
    bool may_repeat = job->route->kind == ROUTE_IDEMPOTENT &&
                      job->tried_count < job->route->attempts_max &&
                      JobPlacing_CanAsk(job);

    job->watch_at =
        may_repeat ? Clock_Now(job->owner->clock) + watch_period(job) : 0;
}

Micros
AttemptWatch_DueTime(const Job *job)
{
    return is_watched(job) ? job->watch_at : -1;
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
give_up(Job *job, AttemptOutcome outcome, const char *reason)
{
    DispatchAction cancel = {
        .kind = DISPATCH_CANCEL,
        .job = job,
        .user = job->user,
    };

    JobLog_GivenUp(job, reason);
    Quarantine_OnLost(job->owner->quarantine, job->upstream, &job->fingerprint,
                      1);
    Dispatcher_PushAction(job->owner, &cancel);
    Job_EndAttempt(job, outcome);
    job->may_have_run = true;
    Job_TryAgain(job, reason);
}

/* Its answer will be late in any case, and most that take so long never come.
 * When all upstreams are busy it is left alone, as work would only be done
 * twice. */
static bool
is_overdue(const Job *job)
{
    return Clock_Now(job->owner->clock) - job->sent_at >=
           job->route->objective;
}

/* Returns false if it has to be looked at again when others told their load. */
static bool
check_overdue(Job *job)
{
    PlacementChoice choice;

    if (!can_repeat(job, &choice)) {
        return true;
    }
    if (choice.good && choice.room) {
        give_up(job, ATTEMPT_TIMEOUT, "overdue");
        return true;
    }
    if (job->watch_asked) {
        return true;
    }
    job->watch_asked = true;
    JobPlacing_AskOthers(job);
    return false;
}

static void
check(Job *job)
{
    Micros now = Clock_Now(job->owner->clock);

    job->watch_at = now + watch_period(job);
    if (is_overdue(job) && !check_overdue(job)) {
        job->watch_at = now + ASK_TIME;
        return;
    }
    job->watch_asked = false;
    if (is_watched(job) && !heard_lately(job)) {
        JobPlacing_AskAgain(job, job->upstream);
    }
}

void
AttemptWatch_OnTime(Dispatcher *this)
{
    GList *jobs = g_hash_table_get_keys(this->jobs);
    Micros now = Clock_Now(this->clock);

    for (GList *item = jobs; item != NULL; item = item->next) {
        Job *job = item->data;

        if (is_watched(job) && job->watch_at <= now) {
            check(job);
        }
    }
    g_list_free(jobs);
}

void
AttemptWatch_OnSilence(Dispatcher *this, uint32_t upstream)
{
    bool lost = Placement_Silences(this->placement, upstream) >= SILENCES_MAX;
    PlacementChoice choice;
    GList *jobs = g_hash_table_get_keys(this->jobs);

    for (GList *item = jobs; item != NULL; item = item->next) {
        Job *job = item->data;

        if (!is_watched(job) || job->upstream != upstream) {
            continue;
        }
        if (!lost) {
            JobPlacing_AskAgain(job, upstream);
        }
        else if (can_repeat(job, &choice)) {
            give_up(job, ATTEMPT_BROKEN, "upstream-lost");
        }
    }
    g_list_free(jobs);
}
