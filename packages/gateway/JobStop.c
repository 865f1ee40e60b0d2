#include "JobStop.h"

#include "JobForward.h"
#include "JobLog.h"

/* Mean Retry-After of a host that stops; other hosts serve the caller at
 * once. */
#define RETRY_AFTER_US (20 * MICROS_PER_MS)

bool
JobStop_Fits(const Job *job)
{
    const Dispatcher *this = job->owner;
    StopRequest request = {
        .deadline = job->deadline,
        .idempotent = job->route->kind == ROUTE_IDEMPOTENT,
    };

    if (!this->stopping) {
        return true;
    }
    request.expected = WorkEstimate_Expected(this->work, job->route->name);
    return StopWindow_Fits(this->stop_window, &request);
}

const char *
JobStop_Reason(const Job *job)
{
    return job->reached_upstream ? "stopping-retry" : "stopping";
}

/* @failure: reason if the request may have been executed */
static void
reject(Job *job, const char *failure)
{
    if (AttemptLedger_MayHaveRun(&job->ledger)) {
        Job_Reject(job, 502, failure, 0);
        return;
    }
    Job_Reject(job, 503, JobStop_Reason(job),
               Random_Jitter(job->owner->random, RETRY_AFTER_US));
}

bool
JobStop_Refuse(Job *job)
{
    if (JobStop_Fits(job)) {
        return false;
    }
    reject(job, JobStop_Reason(job));
    return true;
}

/* A job that is not sent yet is refused at once rather than when its turn
 * comes. */
static void
refuse_waiting(Dispatcher *this)
{
    GList *jobs = Job_Sorted(this->jobs);

    for (GList *item = jobs; item != NULL; item = item->next) {
        Job *job = item->data;

        if (job->upstream == UPSTREAM_NONE && job->peer == NULL &&
            !job->relaying) {
            JobStop_Refuse(job);
        }
    }
    g_list_free(jobs);
}

void
Dispatcher_Stop(Dispatcher *this, Micros end)
{
    this->stopping = true;
    StopWindow_Begin(this->stop_window, end);
    refuse_waiting(this);
}

static void
interrupt(Job *job)
{
    JobLog_Interrupted(job);
    if (job->relaying) {
        return;
    }
    if (job->upstream != UPSTREAM_NONE) {
        /* The stop says nothing about the upstream. */
        job->loss_reported = true;
        Job_CancelAttempt(job);
    }
    if (job->peer != NULL) {
        JobForward_Cancel(job, "stopped");
    }
    reject(job, "stopped");
}

void
Dispatcher_Interrupt(Dispatcher *this)
{
    GList *jobs = Job_Sorted(this->jobs);

    for (GList *item = jobs; item != NULL; item = item->next) {
        interrupt(item->data);
    }
    g_list_free(jobs);
}
