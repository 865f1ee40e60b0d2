#include "JobPlacement.h"

#include "AttemptMonitor.h"
#include "JobForward.h"
#include "JobLog.h"
#include "JobStop.h"

/* Part of the upstreams that must have a fresh report for the service to count
 * as full. */
#define FRESH_RATIO_MIN 0.5F
/* Part of the objective that a request may spend in the queue. */
#define QUEUE_WAIT_RATIO 0.4
/* Where customers compete, a request may wait until this multiple of its expected
 * work is left of the objective. */
#define QUEUE_WORK_FACTOR 1.7
/* Age up to which a report still proves spare capacity. */
#define CAPACITY_REPORT_AGE_MAX_US (25 * MICROS_PER_MS)
/* Time after which upstreams are probed for the head of a queue, if none of
 * this host's own requests ended meanwhile. */
#define QUEUE_PROBE_PERIOD_US (20 * MICROS_PER_MS)
/* Probe rounds in search of a better upstream than one that has spare
 * capacity. */
#define BETTER_PROBE_ROUNDS_MAX 2

static void
reset_probing(Job *job)
{
    Job_SetProbeDeadline(job, 0);
    job->probed_count = 0;
    job->probe_rounds = 0;
}

void
JobPlacement_Send(Job *job, const PlacementChoice *choice)
{
    Dispatcher *this = job->owner;
    const UpstreamRecord *record =
        UpstreamSet_Record(this->upstreams, choice->upstream);
    Micros now = Clock_Now(this->clock);
    DispatchAction action = {
        .kind = DISPATCH_SEND,
        .job = job,
        .user = job->user,
        .send = {.address = record->address,
                 .port = record->port,
                 .instance = record->id,
                 .timeout = job->deadline - now,
                 .caller = Job_CallerIdentity(job),
                 .idempotent = job->route->kind == ROUTE_IDEMPOTENT},
    };

    if (Job_RejectStale(job) || JobStop_Refuse(job)) {
        return;
    }
    if (!Job_UseRetry(job)) {
        Job_Abandon(job, "retry-budget");
        return;
    }
    Job_LeaveQueue(job, true);
    job->upstream = choice->upstream;
    job->tried[job->tried_count++] = choice->upstream;
    job->sent_at = now;
    action.send.attempt = AttemptLedger_Begin(&job->ledger);
    UpstreamSet_Acquire(this->upstreams, choice->upstream);
    Placement_OnSent(this->placement, choice->upstream);
    job->loss_reported = false;
    Dispatcher_Count(this, "agatecrank_placements_total", "reason",
                     Str_FromC(choice->reason));
    JobLog_Choice(job, choice, action.send.timeout);
    reset_probing(job);
    AttemptMonitor_Start(job);
    Dispatcher_PushAction(this, &action);
}

static Str
load_path(const Job *job)
{
    return RouteTable_LoadPath(
        job->table, NameTable_Name(job->owner->services, job->service));
}

void
JobPlacement_Withdraw(Job *job)
{
    Job_LeaveQueue(job, false);
    Job_SetHeldUntil(job, 0);
    reset_probing(job);
}

bool
JobPlacement_HasLoadPath(const Dispatcher *this, uint32_t service)
{
    return this->routes != NULL &&
           RouteTable_LoadPath(this->routes,
                               NameTable_Name(this->services, service))
                   .length > 0;
}

bool
JobPlacement_CanProbe(const Job *job)
{
    return load_path(job).length > 0;
}

static void
push_probe(Dispatcher *this, uint32_t upstream, Str path, bool new_connection)
{
    const UpstreamRecord *record =
        UpstreamSet_Record(this->upstreams, upstream);
    DispatchAction action = {
        .kind = DISPATCH_PROBE,
        .probe = {.address = record->address,
                  .port = record->port,
                  .instance = record->id,
                  .upstream = upstream,
                  .path = path,
                  .new_connection = new_connection},
    };

    if (upstream >= this->sent_probes->len) {
        g_array_set_size(this->sent_probes, upstream + 1);
    }
    g_array_index(this->sent_probes, SentProbe, upstream) =
        (SentProbe){Clock_Now(this->clock), new_connection};
    Placement_OnProbeSent(this->placement, upstream);
    UpstreamSet_Acquire(this->upstreams, upstream);
    Dispatcher_PushAction(this, &action);
}

/* A pending probe that was sent for another request serves this one too. */
static void
probe(const Job *job, uint32_t upstream)
{
    if (!Placement_IsProbePending(job->owner->placement, upstream)) {
        push_probe(job->owner, upstream, load_path(job), false);
    }
}

void
JobPlacement_ProbeUpstream(Dispatcher *this, uint32_t upstream)
{
    const UpstreamRecord *record =
        UpstreamSet_Record(this->upstreams, upstream);
    Str path;

    if (record == NULL || this->routes == NULL ||
        Eligibility_IsPaused(Placement_Eligibility(this->placement),
                             upstream) ||
        Placement_IsProbePending(this->placement, upstream)) {
        return;
    }
    path = RouteTable_LoadPath(
        this->routes, NameTable_Name(this->services, record->service));
    if (path.length > 0) {
        /* An open connection may have become silent by itself. */
        push_probe(this, upstream, path, true);
    }
}

void
JobPlacement_ProbeAgain(const Job *job, uint32_t upstream)
{
    Placement *placement = job->owner->placement;

    if (UpstreamSet_Record(job->owner->upstreams, upstream) != NULL &&
        !Eligibility_IsPaused(Placement_Eligibility(placement), upstream) &&
        !Placement_IsProbePending(placement, upstream) &&
        Placement_TakeSpareProbe(placement)) {
        push_probe(job->owner, upstream, load_path(job), false);
    }
}

PlacementQuery
JobPlacement_Query(const Job *job)
{
    return (PlacementQuery){
        .service = job->service,
        .avoid = job->tried,
        .avoid_count = job->tried_count,
    };
}

void
JobPlacement_ProbeOthers(const Job *job)
{
    Placement *placement = job->owner->placement;
    PlacementQuery query = JobPlacement_Query(job);
    uint32_t upstreams[PLACEMENT_PROBES_MAX];
    size_t n = Placement_SelectProbes(placement, &query, PLACEMENT_OWN_DOMAIN,
                                      upstreams);

    if (n == 0) {
        n = Placement_SelectProbes(placement, &query, PLACEMENT_OTHER_DOMAINS,
                                   upstreams);
    }
    for (size_t i = 0; i < n; i++) {
        probe(job, upstreams[i]);
    }
}

/* Returns false if there is no upstream left to probe. */
static bool
probe_round(Job *job, PlacementScope scope)
{
    Dispatcher *this = job->owner;
    PlacementQuery query = JobPlacement_Query(job);
    uint32_t upstreams[PLACEMENT_PROBES_MAX];
    size_t n;

    /* The service has no path for load probes. */
    if (!JobPlacement_CanProbe(job)) {
        return false;
    }
    n = Placement_SelectProbes(this->placement, &query, scope, upstreams);
    for (size_t i = 0; i < n; i++) {
        job->probed[job->probed_count++] = upstreams[i];
        probe(job, upstreams[i]);
    }
    Job_SetProbeDeadline(job, Clock_Now(this->clock) + PROBE_WAIT_US);
    return n > 0;
}

static bool
is_probe_pending(const Job *job)
{
    if (Clock_Now(job->owner->clock) >= job->probe_deadline) {
        return false;
    }
    for (uint32_t i = 0; i < job->probed_count; i++) {
        if (Placement_IsProbePending(job->owner->placement, job->probed[i])) {
            return true;
        }
    }
    return false;
}

/* Probes upstreams in the own failure domain and in the others in turn.
 * Returns false if there is nothing left to probe and nothing more to wait
 * for. */
static bool
continue_probing(Job *job, uint32_t rounds_max)
{
    if (is_probe_pending(job)) {
        return true;
    }
    while (job->probe_rounds < rounds_max) {
        PlacementScope scope = job->probe_rounds++ % 2 == 0
                                   ? PLACEMENT_OWN_DOMAIN
                                   : PLACEMENT_OTHER_DOMAINS;

        if (probe_round(job, scope)) {
            return true;
        }
    }
    return false;
}

/* Returns the part of the objective that may be spent in the queue; the rest is
 * needed for processing. */
static Micros
queue_part(const Job *job)
{
    Micros objective = job->route->objective;
    Micros work = WorkEstimate_Expected(job->owner->work, job->route->name);
    Micros part = (Micros)(QUEUE_WAIT_RATIO * (double)objective);

    if (RouteTable_Customers(job->table) == NULL || work == 0) {
        return part;
    }
    return MAX(part, objective - (Micros)(QUEUE_WORK_FACTOR * (double)work));
}

/* Returns the longest useful wait. */
static Micros
queue_wait_max(const Job *job)
{
    Micros waited = Clock_Now(job->owner->clock) - job->arrived;

    return MIN(queue_part(job) - waited,
               job->deadline - ATTEMPT_TIME_MIN_US - job->arrived - waited);
}

static void
enqueue(Job *job)
{
    Dispatcher *this = job->owner;
    OverloadItem item = {
        .request = job,
        .rank = job->priority,
        .work = WorkEstimate_Expected(this->work, job->route->name),
        .wait_max = queue_wait_max(job),
    };

    reset_probing(job);
    if (!OverloadQueue_Push(Job_Queue(job), &item)) {
        Job_Abandon(job, "overloaded");
        return;
    }
    job->queued = true;
    if (this->queue_probe_at <= Clock_Now(this->clock)) {
        this->queue_probe_at = Clock_Now(this->clock) + QUEUE_PROBE_PERIOD_US;
    }
    Dispatcher_Count(this, "agatecrank_queued_total", "service",
                     NameTable_Name(this->services, job->service));
}

/* A small sample of a large service does not prove that it is full, and
 * queuing the request would leave upstreams idle that were not probed. A free
 * slot is used in this case, though the upstream may slow down. */
static bool
should_use_free_slot(const PlacementChoice *choice)
{
    return choice->has_free_slot && choice->fresh_ratio < FRESH_RATIO_MIN;
}

bool
JobPlacement_Place(Job *job)
{
    Dispatcher *this = job->owner;
    PlacementQuery query = JobPlacement_Query(job);
    PlacementChoice choice;

    if (Placement_Choose(this->placement, &query, &choice) < 0) {
        /* A limit may have ended. */
        return continue_probing(job, PROBE_ROUNDS_MAX);
    }
    if (choice.near_idle && choice.has_capacity) {
        JobPlacement_Send(job, &choice);
    }
    else if (!OverloadQueue_WouldBeFirst(Job_Queue(job), job->priority)) {
        enqueue(job);
    }
    else if (continue_probing(job, choice.has_capacity
                                       ? BETTER_PROBE_ROUNDS_MAX
                                       : PROBE_ROUNDS_MAX)) {
        return true;
    }
    else if (choice.has_capacity || should_use_free_slot(&choice)) {
        JobPlacement_Send(job, &choice);
    }
    else {
        enqueue(job);
    }
    return true;
}

/* Rejects a queued job if all upstreams that it may use are paused for longer
 * than it may wait, or are evacuated. */
static bool
reject_blocked(Job *job)
{
    PlacementQuery query = JobPlacement_Query(job);
    Micros wait;

    switch (Placement_Blocked(job->owner->placement, &query, &wait)) {
    case ELIGIBILITY_PAUSED:
        if (wait < queue_wait_max(job)) {
            return false;
        }
        Job_Abandon(job, "upstream-pauses");
        return true;
    case ELIGIBILITY_EVACUATED:
        Job_Abandon(job, "evacuated");
        return true;
    case ELIGIBILITY_OK:
    case ELIGIBILITY_EJECTED:
    case ELIGIBILITY_LIMIT:
    case ELIGIBILITY_DRAINING:
    case ELIGIBILITY_LEAVING:
    case ELIGIBILITY_COUNT:
        break;
    }
    return false;
}

static void
reject_late(OverloadQueue *queue)
{
    Job *job;

    while ((job = OverloadQueue_TakeRejected(queue)) != NULL) {
        job->queued = false;
        Job_Abandon(job, "overloaded");
    }
}

void
JobPlacement_ServeQueue(Dispatcher *this, uint32_t service)
{
    OverloadQueue *queue = g_ptr_array_index(this->queues, service);
    PlacementChoice choice;
    Job *job;

    reject_late(queue);
    while ((job = OverloadQueue_Head(queue)) != NULL) {
        PlacementQuery query = JobPlacement_Query(job);

        if (Job_RefuseCrashing(job)) {
            continue;
        }
        if (Placement_Choose(this->placement, &query, &choice) < 0) {
            if (reject_blocked(job)) {
                continue;
            }
            return;
        }
        if (!choice.has_capacity || choice.age < 0 ||
            choice.age > CAPACITY_REPORT_AGE_MAX_US) {
            return;
        }
        JobPlacement_Send(job, &choice);
    }
}

static void
serve_queues(Dispatcher *this)
{
    for (guint i = 0; i < this->queues->len; i++) {
        JobPlacement_ServeQueue(this, i);
    }
}

/* Probes upstreams for the heads of the queues: this host gets no responses
 * from upstreams that only other hosts use, and would not notice their spare
 * capacity. */
static void
probe_for_capacity(Dispatcher *this)
{
    Micros now = Clock_Now(this->clock);
    bool has_waiting = false;

    if (this->queue_probe_at == 0 || this->queue_probe_at > now) {
        return;
    }
    for (guint i = 0; i < this->queues->len; i++) {
        Job *job = OverloadQueue_Head(g_ptr_array_index(this->queues, i));

        if (job != NULL) {
            has_waiting = true;
            job->probed_count = 0;
            probe_round(job, job->probe_rounds++ % 2 == 0
                                 ? PLACEMENT_OTHER_DOMAINS
                                 : PLACEMENT_OWN_DOMAIN);
            Job_SetProbeDeadline(job, 0);
        }
    }
    this->queue_probe_at = has_waiting ? now + QUEUE_PROBE_PERIOD_US : 0;
}

static const char *
placement_failure(const Job *job)
{
    PlacementQuery query = JobPlacement_Query(job);
    Micros wait;

    switch (Placement_Blocked(job->owner->placement, &query, &wait)) {
    case ELIGIBILITY_LIMIT:
        return "upstream-limits";
    case ELIGIBILITY_PAUSED:
        return "upstream-pauses";
    case ELIGIBILITY_EVACUATED:
        return "evacuated";
    case ELIGIBILITY_OK:
    case ELIGIBILITY_EJECTED:
    case ELIGIBILITY_DRAINING:
    case ELIGIBILITY_LEAVING:
    case ELIGIBILITY_COUNT:
        break;
    }
    return "no-upstream";
}

void
JobPlacement_Resume(Job *job)
{
    if (Job_RefuseCrashing(job)) {
        return;
    }
    if (JobForward_Applies(job)) {
        JobForward_Redirect(job);
    }
    else if (!JobPlacement_Place(job)) {
        Job_Abandon(job, placement_failure(job));
    }
}

/* Continues with the jobs that may have waited for the new reports. */
static void
resume_probing_jobs(Dispatcher *this)
{
    GList *jobs = Job_Sorted(this->probing);

    for (GList *item = jobs; item != NULL; item = item->next) {
        JobPlacement_Resume(item->data);
    }
    g_list_free(jobs);
}

void
JobPlacement_OnProbeEnd(Dispatcher *this)
{
    resume_probing_jobs(this);
    serve_queues(this);
}

void
JobPlacement_OnTime(Dispatcher *this)
{
    for (guint i = 0; i < this->queues->len; i++) {
        reject_late(g_ptr_array_index(this->queues, i));
    }
    probe_for_capacity(this);
    serve_queues(this);
}
