#include "Dispatcher.h"

#include <glib.h>
#include <string.h>

#include "NameTable.h"
#include "Quarantine.h"
#include "RequestQueue.h"
#include "RetryWindow.h"
#include "UpstreamSet.h"

/* Bounds the upstreams that one request can be tried on. */
#define ATTEMPTS_MAX 8
/* An answer takes a few milliseconds more than the work: no time for one. */
#define ATTEMPT_TIME_MIN (10 * MICROS_PER_MS)
/* The way back to the caller, who waits no longer than it said. */
#define CALLER_MARGIN (15 * MICROS_PER_MS)
/* Mean wait that a refused caller is told; spread so that they do not come
 * back together. */
#define RETRY_AFTER_MEAN (200 * MICROS_PER_MS)
/* Part of the upstreams whose load must be known to call a service full. */
#define KNOWN_SHARE_MIN 0.5F
/* Part of the objective that a request may wait for room. */
#define WAIT_SHARE 0.4
/* A report of this age still tells that there is room. */
#define ROOM_KNOWN_TIME (25 * MICROS_PER_MS)
/* Time after which the head of a queue asks for room, if none of this host's
 * own requests ended meanwhile. */
#define POLL_TIME (20 * MICROS_PER_MS)
/* Several times what a question and its answer take between domains. */
#define ASK_TIME (8 * MICROS_PER_MS)
/* The way to the caller and back takes about as long. */
#define RETRY_AFTER_SOON (20 * MICROS_PER_MS)
/* A host without a configuration usually has it within this time. */
#define RETRY_AFTER_START (1 * MICROS_PER_S)
/* All requests are of one line: the gateway's callers have no shares. */
#define ONLY_LINE 0

/* Rounds of questions for a better upstream than one that has room. */
#define ROUNDS_FOR_BEST 2
/* Rounds until it counts as sure that there is no room: a sample of a dozen,
 * of some hundred upstreams. */
#define ROUNDS_MAX 5

struct Job_ {
    Dispatcher *owner;
    void *user;
    GString *id;
    RouteTable *table;
    const Route *route;
    Fingerprint fingerprint;
    Micros arrived;
    Micros deadline;        /* of the final answer */
    Micros caller_deadline; /* when the caller stops to wait */
    Micros sent_at;
    Micros ask_until; /* when to stop to wait for loads, 0 if it does not */
    uint32_t asked[ROUNDS_MAX * PLACEMENT_ROUND_MAX];
    uint32_t asked_count;
    uint32_t rounds;
    uint32_t service;
    uint32_t upstream; /* of the running attempt, or UPSTREAM_NONE */
    uint32_t tried[ATTEMPTS_MAX];
    uint32_t tried_count;
    bool may_have_run;
    bool queued;
};

#define UPSTREAM_NONE UINT32_MAX

struct Dispatcher_ {
    DispatcherOptions options;
    const Clock *clock;
    Random *random;
    EventLog *log;
    EventLog *decisions;
    Counters *counters;
    NameTable *services;
    NameTable *domains;
    Placement *placement;
    UpstreamSet *upstreams;
    Quarantine *quarantine;
    RouteTable *routes;
    GPtrArray *windows; /* RetryWindow of each service */
    GPtrArray *queues;  /* RequestQueue of each service */
    Micros poll_at;     /* when the heads of the queues ask again */
    GHashTable *jobs;   /* set of Job */
    GArray *actions;
    guint actions_taken;
};

/* ---- log and counters ----------------------------------------------- */

static void
count(Dispatcher *this, const char *name, const char *key, Str value)
{
    CounterLabel label = {key, value};

    Counters_Add(this->counters, name, &label, 1, 1);
}

static Str
upstream_id(const Dispatcher *this, uint32_t index)
{
    const UpstreamRecord *record = UpstreamSet_Record(this->upstreams, index);

    return record != NULL ? record->id : STR("gone");
}

static bool
begin_line(const Job *job, LogLevel level, const char *event)
{
    EventLog *log = job->owner->decisions;

    if (!EventLog_Begin(log, level, event)) {
        return false;
    }
    EventLog_Str(log, "request", (Str){job->id->str, job->id->len});
    if (job->route != NULL) {
        EventLog_Str(log, "route", job->route->name);
        EventLog_Int(log, "version", (int64_t)RouteTable_Version(job->table));
    }
    return true;
}

static void
log_choice(const Job *job, const PlacementChoice *choice, Micros left)
{
    Dispatcher *this = job->owner;

    if (!begin_line(job, LOG_LEVEL_INFO, "route")) {
        return;
    }
    EventLog_Str(this->decisions, "service",
                 NameTable_Name(this->services, job->service));
    EventLog_Int(this->decisions, "attempt", job->tried_count);
    EventLog_Str(this->decisions, "choice",
                 upstream_id(this, choice->upstream));
    EventLog_C(this->decisions, "reason", choice->reason);
    EventLog_Real(this->decisions, "cost", choice->cost);
    EventLog_Real(this->decisions, "busy", choice->busy);
    EventLog_Int(this->decisions, "pace_percent", choice->pace_percent);
    EventLog_Int(this->decisions, "age_us", choice->age);
    EventLog_Int(this->decisions, "asked", job->asked_count);
    EventLog_Int(this->decisions, "left_ms", left / MICROS_PER_MS);
    EventLog_End(this->decisions);
}

static const char *
result_word(AttemptResult result)
{
    switch (result) {
    case ATTEMPT_RESULT_ANSWER:
        return "answer";
    case ATTEMPT_RESULT_NOT_RUN:
        return "not-run";
    case ATTEMPT_RESULT_MOVED:
        return "moved";
    case ATTEMPT_RESULT_UNSENT:
        return "unsent";
    case ATTEMPT_RESULT_BROKEN:
        return "broken";
    }
    return "unknown";
}

static void
log_attempt_end(const Job *job, uint32_t upstream, const AttemptEndInfo *end)
{
    Dispatcher *this = job->owner;
    bool good = end->result == ATTEMPT_RESULT_ANSWER && end->status < 500;

    count(this, "agatecrank_attempts_total", "result",
          Str_FromC(result_word(end->result)));
    if (!begin_line(job, good ? LOG_LEVEL_DEBUG : LOG_LEVEL_INFO, "attempt")) {
        return;
    }
    EventLog_Str(this->decisions, "upstream", upstream_id(this, upstream));
    EventLog_C(this->decisions, "result", result_word(end->result));
    EventLog_Int(this->decisions, "status", end->status);
    EventLog_Int(this->decisions, "took_ms",
                 (Clock_Now(this->clock) - job->sent_at) / MICROS_PER_MS);
    EventLog_End(this->decisions);
}

static void
log_refusal(const Job *job, int status, const char *reason)
{
    Dispatcher *this = job->owner;

    if (!begin_line(job, LOG_LEVEL_INFO, "refuse")) {
        return;
    }
    EventLog_Int(this->decisions, "status", status);
    EventLog_C(this->decisions, "reason", reason);
    EventLog_Int(this->decisions, "attempts", job->tried_count);
    EventLog_Int(this->decisions, "held_ms",
                 (Clock_Now(this->clock) - job->arrived) / MICROS_PER_MS);
    EventLog_End(this->decisions);
}

/* ---- life of a job -------------------------------------------------- */

static void
destroy_job(gpointer data)
{
    Job *job = data;

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
                         options->questions_per_s, clock, random);
    this->upstreams =
        UpstreamSet_Create(this->placement, this->services, this->domains,
                           options->return_grace, clock, log);
    this->quarantine = Quarantine_Create(&quarantine, clock);
    this->windows =
        g_ptr_array_new_with_free_func((GDestroyNotify)RetryWindow_Destroy);
    this->queues =
        g_ptr_array_new_with_free_func((GDestroyNotify)RequestQueue_Destroy);
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

static void
push_action(Dispatcher *this, const DispatchAction *action)
{
    g_array_append_val(this->actions, *action);
}

static void
end_attempt(Job *job, AttemptOutcome outcome)
{
    Dispatcher *this = job->owner;

    if (job->upstream == UPSTREAM_NONE) {
        return;
    }
    Placement_OnFinished(this->placement, job->upstream, outcome);
    UpstreamSet_Release(this->upstreams, job->upstream);
    job->upstream = UPSTREAM_NONE;
}

static RequestQueue *
queue_of(const Job *job)
{
    return g_ptr_array_index(job->owner->queues, job->service);
}

static void
leave_queue(Job *job, bool served)
{
    if (job->queued) {
        RequestQueue_Remove(queue_of(job), job, served);
        job->queued = false;
    }
}

static void
end_job(Job *job)
{
    leave_queue(job, false);
    end_attempt(job, ATTEMPT_CANCELLED);
    g_hash_table_remove(job->owner->jobs, job);
}

static Micros
spread(Dispatcher *this, Micros mean)
{
    return (Micros)((0.5 + Random_Unit(this->random)) * (double)mean);
}

static void
answer(Job *job, int status, const char *reason, Micros retry_after)
{
    Dispatcher *this = job->owner;
    DispatchAction action = {
        .kind = DISPATCH_ANSWER,
        .job = job,
        .user = job->user,
        .answer = {status, reason, retry_after},
    };

    log_refusal(job, status, reason);
    count(this, "agatecrank_refusals_total", "reason", Str_FromC(reason));
    push_action(this, &action);
    end_job(job);
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

    return spread(this, room ? RETRY_AFTER_SOON : RETRY_AFTER_MEAN);
}

/* Only a request that certainly did not run may be told so. */
static void
give_up(Job *job, const char *reason)
{
    if (job->may_have_run) {
        answer(job, 502, reason, 0);
        return;
    }
    answer(job, 503, reason, retry_after(job));
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
Dispatcher_KeepUpstreams(Dispatcher *this, GHashTable *ids)
{
    UpstreamSet_KeepOnly(this->upstreams, ids);
}

void
Dispatcher_SetSource(Dispatcher *this, bool reachable)
{
    UpstreamSet_SetSource(this->upstreams, reachable);
}

size_t
Dispatcher_UpstreamCount(const Dispatcher *this)
{
    return UpstreamSet_Count(this->upstreams);
}

/* ---- sending -------------------------------------------------------- */

static void
begin_placing(Job *job)
{
    job->ask_until = 0;
    job->asked_count = 0;
    job->rounds = 0;
}

static void
send_to(Job *job, const PlacementChoice *choice)
{
    Dispatcher *this = job->owner;
    const UpstreamRecord *record =
        UpstreamSet_Record(this->upstreams, choice->upstream);
    Micros now = Clock_Now(this->clock);
    DispatchAction action = {
        .kind = DISPATCH_SEND,
        .job = job,
        .user = job->user,
        .send = {record->address, record->port, record->id,
                 job->deadline - now, job->route->kind == ROUTE_IDEMPOTENT},
    };

    leave_queue(job, true);
    job->upstream = choice->upstream;
    job->tried[job->tried_count++] = choice->upstream;
    job->sent_at = now;
    UpstreamSet_Acquire(this->upstreams, choice->upstream);
    Placement_OnSent(this->placement, choice->upstream);
    Quarantine_OnStart(this->quarantine, &job->fingerprint, choice->upstream);
    count(this, "agatecrank_placements_total", "reason",
          Str_FromC(choice->reason));
    log_choice(job, choice, action.send.timeout);
    begin_placing(job);
    push_action(this, &action);
}

static void
ask(Job *job, uint32_t upstream)
{
    Dispatcher *this = job->owner;
    const UpstreamRecord *record =
        UpstreamSet_Record(this->upstreams, upstream);
    DispatchAction action = {.kind = DISPATCH_ASK};

    job->asked[job->asked_count++] = upstream;
    /* The answer to another request's question serves this one, too. */
    if (Placement_IsAsked(this->placement, upstream)) {
        return;
    }
    Placement_OnAsked(this->placement, upstream);
    UpstreamSet_Acquire(this->upstreams, upstream);
    action.ask.address = record->address;
    action.ask.port = record->port;
    action.ask.instance = record->id;
    action.ask.upstream = upstream;
    action.ask.path = RouteTable_LoadPath(
        job->table, NameTable_Name(this->services, record->service));
    push_action(this, &action);
}

static PlacementQuery
query_of(const Job *job)
{
    return (PlacementQuery){
        .service = job->service,
        .avoid = job->tried,
        .avoid_count = job->tried_count,
    };
}

/* Returns false if there is none whose load is not known. */
static bool
ask_round(Job *job, PlacementScope scope)
{
    Dispatcher *this = job->owner;
    PlacementQuery query = query_of(job);
    uint32_t upstreams[PLACEMENT_ROUND_MAX];
    size_t n;

    /* Without a path there is no way to ask. */
    if (RouteTable_LoadPath(job->table,
                            NameTable_Name(this->services, job->service))
            .length == 0) {
        return false;
    }
    n = Placement_Ask(this->placement, &query, scope, upstreams);
    for (size_t i = 0; i < n; i++) {
        ask(job, upstreams[i]);
    }
    job->ask_until = Clock_Now(this->clock) + ASK_TIME;
    return n > 0;
}

static bool
is_waiting(const Job *job)
{
    if (Clock_Now(job->owner->clock) >= job->ask_until) {
        return false;
    }
    for (uint32_t i = 0; i < job->asked_count; i++) {
        if (Placement_IsAsked(job->owner->placement, job->asked[i])) {
            return true;
        }
    }
    return false;
}

/* Asks in the own failure domain and in the others by turns; false if the
 * load of all that may be asked is known, or is waited for no longer. */
static bool
asks(Job *job, uint32_t rounds_max)
{
    if (is_waiting(job)) {
        return true;
    }
    while (job->rounds < rounds_max) {
        PlacementScope scope = job->rounds++ % 2 == 0
                                   ? PLACEMENT_OWN_DOMAIN
                                   : PLACEMENT_OTHER_DOMAINS;

        if (ask_round(job, scope)) {
            return true;
        }
    }
    return false;
}

/* The rest of the objective is needed for the work itself. */
static Micros
patience_of(const Job *job)
{
    Micros longest = (Micros)(WAIT_SHARE * (double)job->route->objective);
    Micros waited = Clock_Now(job->owner->clock) - job->arrived;

    return MIN(longest - waited,
               job->deadline - ATTEMPT_TIME_MIN - job->arrived - waited);
}

static void
enqueue(Job *job)
{
    Dispatcher *this = job->owner;

    begin_placing(job);
    if (!RequestQueue_Push(queue_of(job), job, job->route->priority,
                           patience_of(job))) {
        give_up(job, "overloaded");
        return;
    }
    job->queued = true;
    if (this->poll_at <= Clock_Now(this->clock)) {
        this->poll_at = Clock_Now(this->clock) + POLL_TIME;
    }
    count(this, "agatecrank_queued_total", "service",
          NameTable_Name(this->services, job->service));
}

/* A small sample of a large service does not tell that it is full: waiting
 * would leave upstreams idle that were not asked. A free slot is taken then,
 * though the upstream may slow down. */
static bool
may_be_elsewhere(const PlacementChoice *choice)
{
    return choice->slot && choice->known_share < KNOWN_SHARE_MIN;
}

/* Sends the request, asks for loads first, or lets it wait for room; false if
 * there is no upstream. */
static bool
place(Job *job)
{
    Dispatcher *this = job->owner;
    PlacementQuery query = query_of(job);
    PlacementChoice choice;

    if (Placement_Choose(this->placement, &query, &choice) < 0) {
        return false;
    }
    if (choice.good && choice.room) {
        send_to(job, &choice);
    }
    else if (!RequestQueue_HasTurn(queue_of(job), job->route->priority)) {
        enqueue(job);
    }
    else if (asks(job, choice.room ? ROUNDS_FOR_BEST : ROUNDS_MAX)) {
        return true;
    }
    else if (choice.room || may_be_elsewhere(&choice)) {
        send_to(job, &choice);
    }
    else {
        enqueue(job);
    }
    return true;
}

/* Sends what waits as long as there is room that is known to be there now. */
static void
serve_queue(Dispatcher *this, uint32_t service)
{
    RequestQueue *queue = g_ptr_array_index(this->queues, service);
    PlacementChoice choice;
    Job *job;

    while ((job = RequestQueue_Head(queue)) != NULL) {
        PlacementQuery query = query_of(job);

        if (Placement_Choose(this->placement, &query, &choice) < 0 ||
            !choice.room || choice.age < 0 || choice.age > ROOM_KNOWN_TIME) {
            return;
        }
        send_to(job, &choice);
    }
}

/* Tries again after an attempt that ended without an answer to pass on.
 * @arrived: the failed attempt counts against the budget of repeats. */
static void
try_again(Job *job, const char *reason)
{
    Dispatcher *this = job->owner;
    Micros left = job->deadline - Clock_Now(this->clock);

    if (job->may_have_run && job->route->kind != ROUTE_IDEMPOTENT) {
        give_up(job, reason);
    }
    else if (job->tried_count >= MIN(job->route->attempts_max, ATTEMPTS_MAX)) {
        give_up(job, reason);
    }
    else if (left < ATTEMPT_TIME_MIN) {
        give_up(job, "deadline");
    }
    else if (!RetryWindow_Take(
                 g_ptr_array_index(this->windows, job->service))) {
        give_up(job, "retry-budget");
    }
    else if (!place(job)) {
        give_up(job, reason);
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
    job->id = g_string_new_len(info->id.length ? info->id.data : "",
                               (gssize)info->id.length);
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
    job->service = service_index(
        this, Route_Pick(route, Random_Unit(this->random))->service);
    job->fingerprint = fingerprint_of(info);
    RetryWindow_OnRequest(g_ptr_array_index(this->windows, job->service));
    if (Quarantine_Check(this->quarantine, &job->fingerprint) ==
        QUARANTINE_REFUSE) {
        answer(job, 503, "quarantined", spread(this, RETRY_AFTER_START));
        return;
    }
    if (!place(job)) {
        give_up(job, "no-upstream");
    }
}

Job *
Dispatcher_Offer(Dispatcher *this, const JobInfo *info, void *user)
{
    Job *job = create_job(this, info, user);

    if (this->routes == NULL) {
        answer(job, 503, "no-configuration", spread(this, RETRY_AFTER_START));
        return NULL;
    }
    job->table = RouteTable_Ref(this->routes);
    job->route = RouteTable_Find(this->routes, info->host, info->path);
    if (job->route == NULL) {
        answer(job, 404, "no-route", 0);
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

    Quarantine_OnFinished(this->quarantine, &job->fingerprint, upstream);
    job->may_have_run = true;
    if (end->status < 500) {
        end_attempt(job, ATTEMPT_OK);
        g_hash_table_remove(this->jobs, job);
        return JOB_RELAY;
    }
    end_attempt(job, ATTEMPT_ERROR);
    /* Another upstream may serve what this one failed. */
    if (job->route->kind == ROUTE_IDEMPOTENT &&
        job->tried_count < MIN(job->route->attempts_max, ATTEMPTS_MAX) &&
        job->deadline - Clock_Now(this->clock) >= ATTEMPT_TIME_MIN &&
        RetryWindow_Take(g_ptr_array_index(this->windows, job->service)) &&
        place(job)) {
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
    case ATTEMPT_RESULT_ANSWER:
        return on_answer(job, end);
    case ATTEMPT_RESULT_NOT_RUN:
        end_attempt(job, ATTEMPT_SHED);
        try_again(job, "upstream-full");
        break;
    case ATTEMPT_RESULT_MOVED:
        end_attempt(job, ATTEMPT_BROKEN);
        try_again(job, "upstream-moved");
        break;
    case ATTEMPT_RESULT_UNSENT:
        end_attempt(job, ATTEMPT_BROKEN);
        try_again(job, "upstream-unreachable");
        break;
    case ATTEMPT_RESULT_BROKEN:
        Quarantine_OnLost(this->quarantine, job->upstream, &job->fingerprint,
                          1);
        end_attempt(job, ATTEMPT_BROKEN);
        job->may_have_run = true;
        try_again(job, "upstream-broken");
        break;
    }
    return JOB_DISCARD;
}

JobVerdict
Dispatcher_OnAttemptEnd(Dispatcher *this, Job *job, const AttemptEndInfo *end)
{
    uint32_t service = job->service;
    JobVerdict verdict;

    log_attempt_end(job, job->upstream, end);
    if (end->report != NULL) {
        Placement_OnReport(this->placement, job->upstream, end->report);
    }
    verdict = settle_attempt(job, end);
    serve_queue(this, service);
    return verdict;
}

static bool
is_asking(const Job *job)
{
    return job->ask_until > 0;
}

static void
serve_queues(Dispatcher *this)
{
    for (guint i = 0; i < this->queues->len; i++) {
        serve_queue(this, i);
    }
}

/* The heads of the queues ask, as nothing may come back from upstreams that
 * only other hosts use. */
static void
poll_for_room(Dispatcher *this)
{
    Micros now = Clock_Now(this->clock);
    bool waits = false;

    if (this->poll_at == 0 || this->poll_at > now) {
        return;
    }
    for (guint i = 0; i < this->queues->len; i++) {
        Job *job = RequestQueue_Head(g_ptr_array_index(this->queues, i));

        if (job != NULL) {
            waits = true;
            job->asked_count = 0;
            ask_round(job, job->rounds++ % 2 == 0 ? PLACEMENT_OTHER_DOMAINS
                                                  : PLACEMENT_OWN_DOMAIN);
            job->ask_until = 0;
        }
    }
    this->poll_at = waits ? now + POLL_TIME : 0;
}

static void
expire_queued(Dispatcher *this)
{
    for (guint i = 0; i < this->queues->len; i++) {
        Job *job;

        while ((job = RequestQueue_Expired(
                    g_ptr_array_index(this->queues, i))) != NULL) {
            job->queued = false;
            give_up(job, "overloaded");
        }
    }
}

/* Lets the jobs go on that may have waited for what is known now. */
static void
place_waiting(Dispatcher *this)
{
    GList *jobs = g_hash_table_get_keys(this->jobs);

    for (GList *item = jobs; item != NULL; item = item->next) {
        Job *job = item->data;

        if (is_asking(job) && !place(job)) {
            give_up(job, "no-upstream");
        }
    }
    g_list_free(jobs);
}

void
Dispatcher_OnLoad(Dispatcher *this, uint32_t upstream,
                  const LoadReport *report)
{
    if (report != NULL) {
        Placement_OnReport(this->placement, upstream, report);
    }
    Placement_OnTold(this->placement, upstream, report != NULL);
    UpstreamSet_Release(this->upstreams, upstream);
    count(this, "agatecrank_load_questions_total", "result",
          report != NULL ? STR("told") : STR("silent"));
    place_waiting(this);
    serve_queues(this);
}

void
Dispatcher_OnCallerGone(Dispatcher *this, Job *job)
{
    if (begin_line(job, LOG_LEVEL_INFO, "caller-gone")) {
        EventLog_Str(this->decisions, "upstream",
                     upstream_id(this, job->upstream));
        EventLog_Int(this->decisions, "held_ms",
                     (Clock_Now(this->clock) - job->arrived) / MICROS_PER_MS);
        EventLog_End(this->decisions);
    }
    count(this, "agatecrank_attempts_total", "result", STR("caller-gone"));
    end_job(job);
}

static void
time_out(Job *job)
{
    Dispatcher *this = job->owner;
    DispatchAction cancel = {
        .kind = DISPATCH_CANCEL,
        .job = job,
        .user = job->user,
    };

    if (job->upstream != UPSTREAM_NONE) {
        push_action(this, &cancel);
        end_attempt(job, ATTEMPT_TIMEOUT);
        job->may_have_run = true;
    }
    if (job->may_have_run) {
        answer(job, 504, "deadline", 0);
        return;
    }
    answer(job, 503, "deadline", spread(this, RETRY_AFTER_MEAN));
}

void
Dispatcher_OnTime(Dispatcher *this)
{
    GList *jobs = g_hash_table_get_keys(this->jobs);
    Micros now = Clock_Now(this->clock);

    UpstreamSet_OnTime(this->upstreams);
    for (GList *item = jobs; item != NULL; item = item->next) {
        Job *job = item->data;

        if (job->deadline <= now) {
            time_out(job);
        }
    }
    g_list_free(jobs);
    expire_queued(this);
    place_waiting(this);
    poll_for_room(this);
    serve_queues(this);
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
    GHashTableIter iterator;
    gpointer key;

    g_hash_table_iter_init(&iterator, this->jobs);
    while (g_hash_table_iter_next(&iterator, &key, NULL)) {
        const Job *job = key;
        Micros due = is_asking(job) ? MIN(job->ask_until, job->deadline)
                                    : job->deadline;

        next = earlier(next, due);
    }
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
