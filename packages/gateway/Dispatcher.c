#include "Dispatcher.h"

#include "AttemptMonitor.h"
#include "JobLog.h"
#include "JobPlacement.h"

/* The way from the caller and back, 8 ms each as the users' platform states, and
 * some for both ends: the caller waits no longer than it said. */
#define CALLER_MARGIN (20 * MICROS_PER_MS)
/* Mean wait that a refused caller is told; spread so that they do not come
 * back together. */
#define RETRY_AFTER_MEAN (200 * MICROS_PER_MS)
/* The way to the caller and back takes about as long. */
#define RETRY_AFTER_SOON (20 * MICROS_PER_MS)
/* A host without a configuration usually has it within this time. */
#define RETRY_AFTER_START (1 * MICROS_PER_S)
/* All requests are of one line: the gateway's callers have no shares. */
#define ONLY_LINE 0

void
Dispatcher_Count(Dispatcher *this, const char *name, const char *key,
                 Str value)
{
    CounterLabel label = {key, value};

    Counters_Add(this->counters, name, &label, 1, 1);
}

/* ---- life of a job -------------------------------------------------- */

static void
destroy_job(gpointer data)
{
    Job *job = data;

    g_hash_table_remove(job->owner->asking, job);
    DueSet_Set(job->owner->due, &job->due, -1);
    g_string_free(job->id, TRUE);
    RouteTable_Unref(job->table);
    g_free(job);
}

Dispatcher *
Dispatcher_Create(const DispatcherOptions *options, const Clock *clock,
                  Random *random, EventLog *log, EventLog *decisions,
                  Counters *counters)
{
    Dispatcher *this = g_new0(Dispatcher, 1);
    QuarantineOptions quarantine = {0};

    this->options = *options;
    this->clock = clock;
    this->random = random;
    this->log = log;
    this->decisions = decisions;
    this->counters = counters;
    this->services = NameTable_Create();
    this->domains = NameTable_Create();
    this->placement =
        Placement_Create(NameTable_Intern(this->domains, options->domain),
                         options->probes_per_s, clock, random);
    this->upstreams =
        UpstreamSet_Create(this->placement, this->services, this->domains,
                           options->outage_grace, clock, log);
    this->quarantine = Quarantine_Create(&quarantine, clock);
    this->windows =
        g_ptr_array_new_with_free_func((GDestroyNotify)RetryWindow_Destroy);
    this->queues =
        g_ptr_array_new_with_free_func((GDestroyNotify)RequestQueue_Destroy);
    this->asking = g_hash_table_new(NULL, NULL);
    this->due = DueSet_Create();
    this->jobs = g_hash_table_new_full(g_direct_hash, g_direct_equal,
                                       destroy_job, NULL);
    this->actions = g_array_new(FALSE, FALSE, sizeof(DispatchAction));
    return this;
}

void
Dispatcher_Destroy(Dispatcher *this)
{
    if (this == NULL) {
        return;
    }
    g_hash_table_destroy(this->jobs);
    g_hash_table_destroy(this->asking);
    DueSet_Destroy(this->due);
    g_array_free(this->actions, TRUE);
    g_ptr_array_free(this->windows, TRUE);
    g_ptr_array_free(this->queues, TRUE);
    RouteTable_Unref(this->routes);
    Quarantine_Destroy(this->quarantine);
    UpstreamSet_Destroy(this->upstreams);
    Placement_Destroy(this->placement);
    NameTable_Destroy(this->services);
    NameTable_Destroy(this->domains);
    g_free(this);
}

static uint32_t
service_index(Dispatcher *this, Str name)
{
    uint32_t service = NameTable_Intern(this->services, name);
    RetryWindowOptions options = {
        .window = this->options.retry_window,
        .share = this->options.retry_share,
        .extra = this->options.retry_extra,
    };

    while (this->windows->len <= service) {
        g_ptr_array_add(this->windows,
                        RetryWindow_Create(&options, this->clock));
        g_ptr_array_add(this->queues, RequestQueue_Create(this->clock));
    }
    return service;
}

void
Dispatcher_PushAction(Dispatcher *this, const DispatchAction *action)
{
    g_array_append_val(this->actions, *action);
}

static void
update_due(Job *job)
{
    Micros due = job->deadline;

    if (job->ask_until > 0) {
        due = MIN(due, job->ask_until);
    }
    if (job->watch_at > 0) {
        due = MIN(due, job->watch_at);
    }
    DueSet_Set(job->owner->due, &job->due, due);
}

void
Job_SetAskUntil(Job *job, Micros until)
{
    job->ask_until = until;
    if (until > 0) {
        g_hash_table_add(job->owner->asking, job);
    }
    else {
        g_hash_table_remove(job->owner->asking, job);
    }
    update_due(job);
}

void
Job_SetWatchAt(Job *job, Micros at)
{
    job->watch_at = at;
    update_due(job);
}

void
Job_EndAttempt(Job *job, AttemptOutcome outcome)
{
    Dispatcher *this = job->owner;

    if (job->upstream == UPSTREAM_NONE) {
        return;
    }
    Placement_OnFinished(this->placement, job->upstream, outcome);
    UpstreamSet_Release(this->upstreams, job->upstream);
    job->upstream = UPSTREAM_NONE;
    Job_SetWatchAt(job, 0);
}

void
Job_CancelAttempt(Job *job)
{
    DispatchAction cancel = {
        .kind = DISPATCH_CANCEL,
        .job = job,
        .user = job->user,
    };

    Dispatcher_PushAction(job->owner, &cancel);
    Job_EndAttempt(job, ATTEMPT_TIMEOUT);
    job->may_have_run = true;
}

RequestQueue *
Job_Queue(const Job *job)
{
    return g_ptr_array_index(job->owner->queues, job->service);
}

void
Job_LeaveQueue(Job *job, bool served)
{
    if (job->queued) {
        RequestQueue_Remove(Job_Queue(job), job, served);
        job->queued = false;
    }
}

void
Job_End(Job *job)
{
    Job_LeaveQueue(job, false);
    Job_EndAttempt(job, ATTEMPT_CANCELLED);
    g_hash_table_remove(job->owner->jobs, job);
}

void
Job_Answer(Job *job, int status, const char *reason, Micros retry_after)
{
    Dispatcher *this = job->owner;
    DispatchAction action = {
        .kind = DISPATCH_RESPOND,
        .job = job,
        .user = job->user,
        .respond = {status, reason, retry_after},
    };

    JobLog_Refusal(job, status, reason);
    Dispatcher_Count(this, "agatecrank_refusals_total", "reason",
                     Str_FromC(reason));
    Dispatcher_PushAction(this, &action);
    Job_End(job);
}

/* When to come back: soon if there is room, as upstreams that refuse at
 * random may serve the next try, and later if the service is full. */
static Micros
retry_after(const Job *job)
{
    Dispatcher *this = job->owner;
    PlacementQuery query = {.service = job->service};
    PlacementChoice choice;
    bool room =
        Placement_Choose(this->placement, &query, &choice) == 0 && choice.room;

    return Random_Jitter(this->random,
                         room ? RETRY_AFTER_SOON : RETRY_AFTER_MEAN);
}

/* Only a request that certainly did not run may be told so. */
void
Job_GiveUp(Job *job, const char *reason)
{
    if (job->may_have_run) {
        Job_Answer(job, 502, reason, 0);
        return;
    }
    Job_Answer(job, 503, reason, retry_after(job));
}

/* ---- routes and upstreams ------------------------------------------- */

int
Dispatcher_SetRoutes(Dispatcher *this, RouteTable *routes)
{
    uint64_t version = RouteTable_Version(routes);

    if (this->routes != NULL && RouteTable_Version(this->routes) >= version) {
        return ERR_CONFLICT;
    }
    RouteTable_Unref(this->routes);
    this->routes = RouteTable_Ref(routes);
    if (EventLog_Begin(this->log, LOG_LEVEL_INFO, "routes")) {
        EventLog_Int(this->log, "version", (int64_t)version);
        EventLog_Int(this->log, "routes", (int64_t)RouteTable_Count(routes));
        EventLog_End(this->log);
    }
    Counters_Set(this->counters, "agatecrank_routes_version", NULL, 0,
                 (double)version);
    return 0;
}

const RouteTable *
Dispatcher_Routes(const Dispatcher *this)
{
    return this->routes;
}

void
Dispatcher_PutUpstream(Dispatcher *this, const UpstreamEntry *entry)
{
    service_index(this, entry->service);
    UpstreamSet_Put(this->upstreams, entry);
}

void
Dispatcher_RemoveUpstream(Dispatcher *this, Str id)
{
    UpstreamSet_Remove(this->upstreams, id);
}

void
Dispatcher_RetainUpstreams(Dispatcher *this, GHashTable *ids)
{
    UpstreamSet_KeepOnly(this->upstreams, ids);
}

void
Dispatcher_SetSourceReachable(Dispatcher *this, bool reachable, Micros since)
{
    UpstreamSet_SetSource(this->upstreams, reachable, since);
}

size_t
Dispatcher_UpstreamCount(const Dispatcher *this)
{
    return UpstreamSet_Count(this->upstreams);
}

/* ---- requests ------------------------------------------------------- */

RetryWindow *
Job_Window(const Job *job)
{
    return g_ptr_array_index(job->owner->windows, job->service);
}

/* Starts another attempt, which counts against the budget of repeats.
 * Returns NULL, or why there is none: @reason if nothing more is to blame
 * than the attempt that ended. */
static const char *
repeat(Job *job, const char *reason)
{
    Micros left = job->deadline - Clock_Now(job->owner->clock);

    if ((job->may_have_run && job->route->kind != ROUTE_IDEMPOTENT) ||
        job->tried_count >= MIN(job->route->attempts_max, ATTEMPTS_MAX)) {
        return reason;
    }
    if (left < ATTEMPT_TIME_MIN) {
        return "deadline";
    }
    if (!RetryWindow_Take(Job_Window(job))) {
        return "retry-budget";
    }
    return JobPlacement_Place(job) ? NULL : reason;
}

void
Job_TryAgain(Job *job, const char *reason)
{
    const char *obstacle = repeat(job, reason);

    if (obstacle != NULL) {
        Job_GiveUp(job, obstacle);
    }
}

static Micros
job_time(const JobInfo *info, const Route *route)
{
    return info->timeout > 0
               ? MIN(info->timeout - CALLER_MARGIN, route->timeout)
               : route->timeout;
}

static Fingerprint
fingerprint_of(const JobInfo *info)
{
    uint64_t digest = Str_Hash(info->body);

    return Quarantine_Fingerprint(
        ONLY_LINE, info->method, info->path,
        (Str){(const char *)&digest, sizeof(digest)});
}

static Job *
create_job(Dispatcher *this, const JobInfo *info, void *user)
{
    Job *job = g_new0(Job, 1);

    job->owner = this;
    job->user = user;
    job->id = Str_ToString(info->id);
    job->arrived = Clock_Now(this->clock);
    job->deadline = job->arrived;
    job->upstream = UPSTREAM_NONE;
    g_hash_table_add(this->jobs, job);
    return job;
}

static void
start(Job *job, const JobInfo *info)
{
    Dispatcher *this = job->owner;
    const Route *route = job->route;

    job->deadline = job->arrived + job_time(info, route);
    update_due(job);
    job->service = service_index(
        this, Route_Pick(route, Random_Unit(this->random))->service);
    job->fingerprint = fingerprint_of(info);
    RetryWindow_OnRequest(Job_Window(job));
    if (Quarantine_Check(this->quarantine, &job->fingerprint) ==
        QUARANTINE_REFUSE) {
        Job_Answer(job, 503, "quarantined",
                   Random_Jitter(this->random, RETRY_AFTER_START));
        return;
    }
    if (!JobPlacement_Place(job)) {
        Job_GiveUp(job, "no-upstream");
    }
}

Job *
Dispatcher_Submit(Dispatcher *this, const JobInfo *info, void *user)
{
    Job *job = create_job(this, info, user);

    if (this->routes == NULL) {
        Job_Answer(job, 503, "no-configuration",
                   Random_Jitter(this->random, RETRY_AFTER_START));
        return NULL;
    }
    job->table = RouteTable_Ref(this->routes);
    job->route = RouteTable_Find(this->routes, info->host, info->path);
    if (job->route == NULL) {
        Job_Answer(job, 404, "no-route", 0);
        return NULL;
    }
    start(job, info);
    return g_hash_table_contains(this->jobs, job) ? job : NULL;
}

/* ---- ends of attempts ----------------------------------------------- */

static JobVerdict
on_answer(Job *job, const AttemptEndInfo *end)
{
    Dispatcher *this = job->owner;
    uint32_t upstream = job->upstream;

    Quarantine_OnResponse(this->quarantine, &job->fingerprint, upstream);
    job->may_have_run = true;
    if (end->status < 500) {
        Job_EndAttempt(job, ATTEMPT_OK);
        g_hash_table_remove(this->jobs, job);
        return JOB_RELAY;
    }
    Job_EndAttempt(job, ATTEMPT_ERROR);
    /* Another upstream may serve what this one failed. */
    if (repeat(job, "upstream-failed") == NULL) {
        return JOB_DISCARD;
    }
    g_hash_table_remove(this->jobs, job);
    return JOB_RELAY;
}

static JobVerdict
settle_attempt(Job *job, const AttemptEndInfo *end)
{
    Dispatcher *this = job->owner;

    switch (end->result) {
    case ATTEMPT_RESULT_RESPONSE:
        return on_answer(job, end);
    case ATTEMPT_RESULT_NOT_RUN:
        Job_EndAttempt(job, ATTEMPT_SHED);
        Job_TryAgain(job, "upstream-full");
        break;
    case ATTEMPT_RESULT_MOVED:
        Job_EndAttempt(job, ATTEMPT_CONNECTION_FAILED);
        Job_TryAgain(job, "upstream-moved");
        break;
    case ATTEMPT_RESULT_UNSENT:
        Job_EndAttempt(job, ATTEMPT_CONNECTION_FAILED);
        Job_TryAgain(job, "upstream-unreachable");
        break;
    case ATTEMPT_RESULT_BROKEN:
        Quarantine_OnUpstreamUnreachable(this->quarantine, job->upstream,
                                         &job->fingerprint, 1);
        Job_EndAttempt(job, ATTEMPT_CONNECTION_FAILED);
        job->may_have_run = true;
        Job_TryAgain(job, "upstream-broken");
        break;
    }
    return JOB_DISCARD;
}

JobVerdict
Dispatcher_OnAttemptEnd(Dispatcher *this, Job *job, const AttemptEndInfo *end)
{
    uint32_t service = job->service;
    JobVerdict verdict;

    JobLog_AttemptEnd(job, job->upstream, end);
    if (end->report != NULL) {
        Placement_OnReport(this->placement, job->upstream, end->report);
    }
    verdict = settle_attempt(job, end);
    JobPlacement_ServeQueue(this, service);
    return verdict;
}

static void
end_question(Dispatcher *this, uint32_t upstream, Str result)
{
    UpstreamSet_Release(this->upstreams, upstream);
    Dispatcher_Count(this, "agatecrank_load_questions_total", "result",
                     result);
}

void
Dispatcher_OnProbeResult(Dispatcher *this, uint32_t upstream,
                         const LoadReport *report)
{
    if (report != NULL) {
        Placement_OnReport(this->placement, upstream, report);
    }
    Placement_OnTold(this->placement, upstream, report != NULL);
    end_question(this, upstream, report != NULL ? STR("told") : STR("none"));
    JobPlacement_OnProbeEnd(this);
}

void
Dispatcher_OnProbeTimeout(Dispatcher *this, uint32_t upstream)
{
    Placement_OnSilence(this->placement, upstream);
    end_question(this, upstream, STR("silent"));
    AttemptMonitor_OnProbeTimeout(this, upstream);
    JobPlacement_OnProbeEnd(this);
}

void
Dispatcher_Stop(Dispatcher *this)
{
    this->stopping = true;
}

void
Dispatcher_OnCallerGone(Dispatcher *this, Job *job)
{
    JobLog_CallerGone(job);
    Job_End(job);
}

static void
time_out(Job *job)
{
    if (job->upstream != UPSTREAM_NONE) {
        Job_CancelAttempt(job);
    }
    if (job->may_have_run) {
        Job_Answer(job, 504, "deadline", 0);
        return;
    }
    Job_Answer(job, 503, "deadline",
               Random_Jitter(job->owner->random, RETRY_AFTER_MEAN));
}

/* Each step below moves the job's due time, or ends the job. */
static void
on_due(Job *job)
{
    Micros now = Clock_Now(job->owner->clock);

    if (job->deadline <= now) {
        time_out(job);
    }
    else if (job->ask_until > 0 && job->ask_until <= now) {
        JobPlacement_Resume(job);
    }
    else {
        AttemptMonitor_OnTime(job);
    }
}

void
Dispatcher_OnTime(Dispatcher *this)
{
    Micros now = Clock_Now(this->clock);
    DueEntry *entry;

    UpstreamSet_OnTime(this->upstreams);
    while ((entry = DueSet_First(this->due)) != NULL && entry->due <= now) {
        on_due(DUE_OWNER(entry, Job, due));
    }
    JobPlacement_OnTime(this);
}

/* Negative times mean never. */
static Micros
earlier(Micros a, Micros b)
{
    if (a < 0 || b < 0) {
        return MAX(a, b);
    }
    return MIN(a, b);
}

Micros
Dispatcher_NextTime(const Dispatcher *this)
{
    Micros next = earlier(UpstreamSet_NextTime(this->upstreams),
                          this->poll_at > 0 ? this->poll_at : -1);

    next = earlier(next, DueSet_NextTime(this->due));
    for (guint i = 0; i < this->queues->len; i++) {
        next = earlier(
            next, RequestQueue_NextTime(g_ptr_array_index(this->queues, i)));
    }
    return next;
}

bool
Dispatcher_NextAction(Dispatcher *this, DispatchAction *action)
{
    if (this->actions_taken >= this->actions->len) {
        g_array_set_size(this->actions, 0);
        this->actions_taken = 0;
        return false;
    }
    *action =
        g_array_index(this->actions, DispatchAction, this->actions_taken++);
    return true;
}

size_t
Dispatcher_OpenJobs(const Dispatcher *this)
{
    return g_hash_table_size(this->jobs);
}
