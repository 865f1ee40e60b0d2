#include "Dispatcher.h"

#include "AttemptMonitor.h"
#include "HostPath.h"
#include "JobAllowance.h"
#include "JobForward.h"
#include "JobLog.h"
#include "JobPlacement.h"
#include "JobStop.h"

/* Time reserved for the network between caller and host, 8 ms each way as the
 * platform specifies, and for processing at both ends: the caller stops
 * waiting when its timeout ends. */
#define CALLER_MARGIN_US (20 * MICROS_PER_MS)
/* Mean Retry-After while a service is full; randomized so that rejected
 * callers do not return at the same time. */
#define RETRY_AFTER_FULL_US (200 * MICROS_PER_MS)
/* Mean Retry-After while there is spare capacity; the round trip to the caller
 * takes about as long. */
#define RETRY_AFTER_SOON_US (20 * MICROS_PER_MS)
/* Longest time until a part of a limit is available that is told to callers;
 * other hosts may have parts left. */
#define RETRY_AFTER_LIMITS_MAX_US (1 * MICROS_PER_S)
/* Longest Retry-After of a peer that is passed on; other hosts may serve the
 * caller sooner. */
#define RETRY_AFTER_PEER_MAX_US (1 * MICROS_PER_S)
/* Mean Retry-After of a host without a configuration, which usually arrives
 * within this time. */
#define RETRY_AFTER_STARTUP_US (1 * MICROS_PER_S)
/* Mean Retry-After while all upstreams of a service are evacuated, which lasts
 * for seconds at least. */
#define RETRY_AFTER_EVACUATED_US (1 * MICROS_PER_S)
/* Bounds of Retry-After while a request is refused because it crashes
 * upstreams. A response elsewhere may end the refusal early. */
#define RETRY_AFTER_CRASHING_MIN_US (1 * MICROS_PER_S)
#define RETRY_AFTER_CRASHING_MAX_US (60 * MICROS_PER_S)

void
Dispatcher_Count(Dispatcher *this, const char *name, const char *key,
                 Str value)
{
    CounterLabel label = {key, value};

    Counters_Add(this->counters, name, &label, 1, 1);
}

/* ---- job lifecycle -------------------------------------------------- */

static void
destroy_job(gpointer data)
{
    Job *job = data;

    g_hash_table_remove(job->owner->probing, job);
    JobAllowance_End(job);
    JobForward_End(job, PEER_UNKNOWN);
    Job_ReleaseRetry(job);
    job->owner->accepted_open -= job->forwarded;
    DueSet_Set(job->owner->due, &job->due, -1);
    g_string_free(job->id, TRUE);
    if (job->peer_customer != NULL) {
        g_string_free(job->peer_customer, TRUE);
    }
    RouteTable_Unref(job->table);
    g_free(job);
}

Dispatcher *
Dispatcher_Create(const DispatcherOptions *options, const Clock *clock,
                  Random *random, EventLog *log, EventLog *decisions,
                  Counters *counters)
{
    Dispatcher *this = g_new0(Dispatcher, 1);

    this->options = *options;
    this->clock = clock;
    this->started = Clock_Now(clock);
    this->routes_known_at = -1;
    this->random = random;
    this->log = log;
    this->decisions = decisions;
    this->counters = counters;
    this->services = NameTable_Create();
    this->domains = NameTable_Create();
    this->limits = UpstreamLimits_Create(options->host, clock, random);
    this->allowances = AllowanceClient_Create(options->host, clock, random);
    this->grantor = AllowanceGrantor_Create(clock);
    this->questions =
        g_hash_table_new_full(NULL, NULL, NULL, JobAllowance_DestroyQuestion);
    this->placement =
        Placement_Create(NameTable_Intern(this->domains, options->domain),
                         options->probes_per_s, this->limits, clock, random);
    this->upstreams =
        UpstreamSet_Create(this->placement, this->services, this->domains,
                           options->outage_grace, clock, log);
    this->guard = CrashGuard_Create(this->upstreams, options->host, clock,
                                    random, log, counters);
    this->sent_probes = g_array_new(FALSE, TRUE, sizeof(SentProbe));
    this->path = PathMonitor_Create(clock, random, log, counters);
    this->peers = PeerSet_Create(options->domain, clock, random);
    /* The bucket is full at the start. */
    this->accept_refilled_at = Clock_Now(clock) - MICROS_PER_S;
    this->retry_windows =
        g_ptr_array_new_with_free_func((GDestroyNotify)RetryWindow_Destroy);
    this->queues =
        g_ptr_array_new_with_free_func((GDestroyNotify)OverloadQueue_Destroy);
    this->work = WorkEstimate_Create();
    this->stop_window = StopWindow_Create(clock);
    this->probing = g_hash_table_new(NULL, NULL);
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
    g_hash_table_destroy(this->probing);
    DueSet_Destroy(this->due);
    g_array_free(this->actions, TRUE);
    g_ptr_array_free(this->retry_windows, TRUE);
    g_ptr_array_free(this->queues, TRUE);
    WorkEstimate_Destroy(this->work);
    StopWindow_Destroy(this->stop_window);
    RouteTable_Unref(this->routes);
    CrashGuard_Destroy(this->guard);
    PeerSet_Destroy(this->peers);
    PathMonitor_Destroy(this->path);
    g_array_free(this->sent_probes, TRUE);
    UpstreamSet_Destroy(this->upstreams);
    Placement_Destroy(this->placement);
    UpstreamLimits_Destroy(this->limits);
    AllowanceClient_Destroy(this->allowances);
    AllowanceGrantor_Destroy(this->grantor);
    g_hash_table_destroy(this->questions);
    NameTable_Destroy(this->services);
    NameTable_Destroy(this->domains);
    g_free(this);
}

/* Customers compete for a service, so what waits for it is ordered by what it
 * costs them. */
static void
set_order(const Dispatcher *this, guint service)
{
    bool has_customers =
        this->routes != NULL && RouteTable_Customers(this->routes) != NULL;

    OverloadQueue_SetOrder(g_ptr_array_index(this->queues, service),
                           has_customers ? OVERLOAD_BY_WORK
                                         : OVERLOAD_BY_ARRIVAL);
}

static uint32_t
service_index(Dispatcher *this, Str name)
{
    uint32_t service = NameTable_Intern(this->services, name);
    RetryWindowOptions options = {
        .window = this->options.retry_window,
        .share = this->options.retry_share,
        .extra = this->options.retry_extra,
        .shared_extra = this->options.retry_shared_extra,
    };

    while (this->retry_windows->len <= service) {
        RetryWindow *window =
            RetryWindow_Create(&options, this->started, this->clock);

        RetryWindow_SetHosts(window, this->host_count, this->hosts_known_from);
        g_ptr_array_add(this->retry_windows, window);
        g_ptr_array_add(this->queues, OverloadQueue_Create(this->clock));
        set_order(this, this->queues->len - 1);
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

    if (job->probe_deadline > 0) {
        due = MIN(due, job->probe_deadline);
    }
    if (job->monitor_at > 0) {
        due = MIN(due, job->monitor_at);
    }
    if (job->held_until > 0) {
        due = MIN(due, job->held_until);
    }
    DueSet_Set(job->owner->due, &job->due, due);
}

void
Job_SetHeldUntil(Job *job, Micros until)
{
    job->held_until = until;
    update_due(job);
}

void
Job_SetProbeDeadline(Job *job, Micros until)
{
    job->probe_deadline = until;
    if (until > 0) {
        g_hash_table_add(job->owner->probing, job);
    }
    else {
        g_hash_table_remove(job->owner->probing, job);
    }
    update_due(job);
}

static gint
compare_numbers(gconstpointer a, gconstpointer b)
{
    uint64_t x = ((const Job *)a)->number;
    uint64_t y = ((const Job *)b)->number;

    return x < y ? -1 : x > y;
}

GList *
Job_Sorted(GHashTable *set)
{
    return g_list_sort(g_hash_table_get_keys(set), compare_numbers);
}

void
Job_SetMonitorAt(Job *job, Micros at)
{
    job->monitor_at = at;
    update_due(job);
}

static bool
is_failure(AttemptOutcome outcome)
{
    return outcome == ATTEMPT_CONNECTION_FAILED || outcome == ATTEMPT_TIMEOUT;
}

void
Job_EndAttempt(Job *job, AttemptOutcome outcome)
{
    Dispatcher *this = job->owner;

    if (job->upstream == UPSTREAM_NONE) {
        return;
    }
    /* What was sent while this host was cut off shows nothing. */
    if (job->sent_at < this->path_back_at && is_failure(outcome)) {
        outcome = ATTEMPT_CANCELLED;
    }
    Placement_OnFinished(this->placement, job->upstream, outcome);
    UpstreamSet_Release(this->upstreams, job->upstream);
    job->upstream = UPSTREAM_NONE;
    Job_SetMonitorAt(job, 0);
}

void
Job_ReportNoResponse(Job *job, LostAttemptKind kind)
{
    Dispatcher *this = job->owner;
    const UpstreamRecord *record =
        UpstreamSet_Record(this->upstreams, job->upstream);
    LostAttempt attempt = {
        .fingerprint = job->fingerprint,
        .upstream = job->upstream,
        .sent = job->sent_at,
        .ended = Clock_Now(this->clock),
        .kind = kind,
    };

    /* One that leaves ends as planned. */
    if (job->loss_reported || record == NULL ||
        Eligibility_IsEnding(Placement_Eligibility(this->placement),
                             job->upstream) ||
        job->sent_at < this->path_back_at) {
        return;
    }
    job->loss_reported = true;
    attempt.instance = record->instance;
    CrashGuard_OnNoResponse(this->guard, &attempt);
    /* Probes that timed out in a doubt may show the path only. */
    if (Placement_IsUnreachable(this->placement, job->upstream) &&
        !PathMonitor_DoubtedSince(this->path, job->sent_at)) {
        CrashGuard_OnUnreachable(this->guard, job->upstream);
    }
}

static void
use_attempt(Job *job)
{
    job->attempts_used++;
    job->reached_upstream = true;
}

void
Job_CancelAttempt(Job *job)
{
    DispatchAction cancel = {
        .kind = DISPATCH_CANCEL,
        .job = job,
        .user = job->user,
    };

    Job_ReportNoResponse(job, LOST_ATTEMPT_TIMEOUT);
    Dispatcher_PushAction(job->owner, &cancel);
    Job_EndAttempt(job, ATTEMPT_TIMEOUT);
    AttemptLedger_Cancel(&job->ledger);
    use_attempt(job);
}

OverloadQueue *
Job_Queue(const Job *job)
{
    return g_ptr_array_index(job->owner->queues, job->service);
}

void
Job_LeaveQueue(Job *job, bool served)
{
    if (job->queued) {
        OverloadQueue_Remove(Job_Queue(job), job, served);
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

static void
cancel_open(Job *job)
{
    if (job->upstream != UPSTREAM_NONE) {
        Job_CancelAttempt(job);
    }
    if (job->peer != NULL) {
        JobForward_Cancel(job, "deadline");
    }
}

static void
note_unproven_refusal(const Job *job, int status, const char *reason)
{
    char text[8];

    g_snprintf(text, sizeof(text), "%d", status);
    Dispatcher_Count(job->owner, "agatecrank_unproven_refusals_total",
                     "status", Str_FromC(text));
    JobLog_UnprovenRefusal(job, status, reason);
}

void
Job_Reject(Job *job, int status, const char *reason, Micros retry_after)
{
    Dispatcher *this = job->owner;
    DispatchAction action = {
        .kind = DISPATCH_RESPOND,
        .job = job,
        .user = job->user,
        .respond = {AttemptLedger_Status(&job->ledger, status), reason,
                    retry_after, !AttemptLedger_MayHaveRun(&job->ledger)},
    };

    if (action.respond.status != status) {
        note_unproven_refusal(job, status, reason);
        action.respond.retry_after = 0;
    }
    JobLog_Rejection(job, action.respond.status, reason);
    cancel_open(job);
    Dispatcher_Count(this, "agatecrank_refusals_total", "reason",
                     Str_FromC(reason));
    Dispatcher_PushAction(this, &action);
    Job_End(job);
}

/* Returns the time until this host may send an upstream of the job's service a
 * request again, or somewhat more, so that rejected callers do not return at
 * the same time. */
static Micros
retry_after_limits(Dispatcher *this, Micros wait)
{
    wait = CLAMP(wait, RETRY_AFTER_FULL_US, RETRY_AFTER_LIMITS_MAX_US);
    return wait + (Micros)Random_Below(this->random, (uint64_t)wait);
}

/* Returns the time until the first upstream may be sent to again, or up to a
 * quarter more, so that rejected callers do not return at the same time. */
static Micros
retry_after_pause(Dispatcher *this, Micros wait)
{
    return wait +
           (Micros)Random_Below(this->random,
                                (uint64_t)MAX(wait / 4, RETRY_AFTER_SOON_US));
}

/* Returns a short time if there is spare capacity, as an upstream that rejects
 * requests at random may accept the next attempt, and a longer one if the
 * service is full. */
static Micros
retry_after(const Job *job)
{
    Dispatcher *this = job->owner;
    PlacementQuery query = {.service = job->service};
    PlacementChoice choice;
    Micros wait;

    if (JobForward_Applies(job)) {
        return MAX(Random_Jitter(this->random, RETRY_AFTER_FULL_US),
                   MIN(job->peer_retry_after, RETRY_AFTER_PEER_MAX_US));
    }
    if (Placement_Choose(this->placement, &query, &choice) == 0) {
        return Random_Jitter(this->random, choice.has_capacity
                                               ? RETRY_AFTER_SOON_US
                                               : RETRY_AFTER_FULL_US);
    }
    switch (Placement_Blocked(this->placement, &query, &wait)) {
    case ELIGIBILITY_LIMIT:
        return retry_after_limits(this, wait);
    case ELIGIBILITY_PAUSED:
        return retry_after_pause(this, wait);
    case ELIGIBILITY_EVACUATED:
        return Random_Jitter(this->random, RETRY_AFTER_EVACUATED_US);
    case ELIGIBILITY_OK:
    case ELIGIBILITY_EJECTED:
    case ELIGIBILITY_DRAINING:
    case ELIGIBILITY_LEAVING:
    case ELIGIBILITY_COUNT:
        break;
    }
    return Random_Jitter(this->random, RETRY_AFTER_FULL_US);
}

/* A 503 promises that the request was not executed. */
void
Job_Abandon(Job *job, const char *reason)
{
    if (AttemptLedger_MayHaveRun(&job->ledger)) {
        Job_Reject(job, 502, reason, 0);
        return;
    }
    Job_Reject(job, 503, reason, retry_after(job));
}

bool
Job_RefuseCrashing(Job *job)
{
    Dispatcher *this = job->owner;
    Micros wait = CrashGuard_RefusalTime(this->guard, &job->fingerprint);

    if (!CrashGuard_Refuses(this->guard, &job->fingerprint)) {
        return false;
    }
    if (AttemptLedger_MayHaveRun(&job->ledger)) {
        Job_Reject(job, 502, "quarantined", 0);
        return true;
    }
    Job_Reject(
        job, 503, "quarantined",
        Random_Jitter(this->random, CLAMP(wait, RETRY_AFTER_CRASHING_MIN_US,
                                          RETRY_AFTER_CRASHING_MAX_US)));
    return true;
}

/* Probes an upstream other than @watched to find out whether this host is cut
 * off: a host with few requests may not hear of any for a second. */
static void
probe_reference(Dispatcher *this, uint32_t watched)
{
    uint32_t end = UpstreamSet_IndexEnd(this->upstreams);

    Micros now = Clock_Now(this->clock);

    /* A probe that cannot be sent ends at once. */
    if (now < this->reference_at ||
        Placement_IsProbePending(this->placement, this->reference)) {
        return;
    }
    this->reference_at = now + PROBE_WAIT_US;
    for (uint32_t i = 0; i < end; i++) {
        this->reference = (this->reference + 1) % end;
        if (this->reference != watched &&
            UpstreamSet_Record(this->upstreams, this->reference) != NULL) {
            JobPlacement_ProbeUpstream(this, this->reference);
            return;
        }
    }
}

/* A host that doubts its path decides on most losses after the next response on
 * a new connection, which shows that it is not cut off. */
static bool
is_path_certain(const Dispatcher *this)
{
    return PathMonitor_State(this->path) == PATH_REACHABLE;
}

/* Counts the losses that are certain, and probes upstreams to decide on the
 * others. */
static void
settle_losses(Dispatcher *this)
{
    uint32_t upstream;
    size_t i = 0;

    CrashGuard_OnTime(this->guard, is_path_certain(this));
    if (!is_path_certain(this)) {
        return;
    }
    while (CrashGuard_NextProbe(this->guard, &i, &upstream)) {
        JobPlacement_ProbeUpstream(this, upstream);
    }
    if (CrashGuard_NeedsReference(this->guard, &upstream)) {
        probe_reference(this, upstream);
    }
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
    for (guint i = 0; i < this->queues->len; i++) {
        set_order(this, i);
    }
    if (EventLog_Begin(this->log, LOG_LEVEL_INFO, "routes")) {
        EventLog_Int(this->log, "version", (int64_t)version);
        EventLog_Int(this->log, "routes", (int64_t)RouteTable_Count(routes));
        EventLog_Int(this->log, "idle_ms",
                     RouteTable_Limits(routes)->idle_time / MICROS_PER_MS);
        EventLog_End(this->log);
    }
    Counters_Set(this->counters, "agatecrank_routes_version", NULL, 0,
                 (double)version);
    return 0;
}

void
Dispatcher_SetRoutesKnownAt(Dispatcher *this, Micros at)
{
    this->routes_known_at = at;
}

Micros
Dispatcher_RoutesAge(const Dispatcher *this)
{
    return this->routes_known_at >= 0
               ? Clock_Boot(this->clock) - this->routes_known_at
               : -1;
}

bool
Dispatcher_RejectsKeys(const Dispatcher *this)
{
    return this->options.key_age_max > 0 && this->routes != NULL &&
           RouteTable_Customers(this->routes) != NULL &&
           (this->routes_known_at < 0 ||
            Dispatcher_RoutesAge(this) > this->options.key_age_max);
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
    if (UpstreamSet_Put(this->upstreams, entry) && entry->warmup > 0) {
        Dispatcher_SetWarmup(this,
                             UpstreamSet_Find(this->upstreams, entry->id),
                             "description", entry->warmup);
    }
    CrashGuard_OnUpstreamsChanged(this->guard);
}

void
Dispatcher_RemoveUpstream(Dispatcher *this, Str id)
{
    UpstreamSet_Remove(this->upstreams, id);
    CrashGuard_OnUpstreamsChanged(this->guard);
}

void
Dispatcher_RetainUpstreams(Dispatcher *this, GHashTable *ids)
{
    UpstreamSet_RetainOnly(this->upstreams, ids);
    CrashGuard_OnUpstreamsChanged(this->guard);
}

void
Dispatcher_SetEvacuated(Dispatcher *this, Str domain, bool evacuated)
{
    if (UpstreamSet_SetEvacuated(this->upstreams, domain, evacuated)) {
        JobPlacement_OnTime(this);
    }
}

void
Dispatcher_RetainEvacuated(Dispatcher *this, GHashTable *domains)
{
    UpstreamSet_RetainEvacuated(this->upstreams, domains);
    JobPlacement_OnTime(this);
}

size_t
Dispatcher_EvacuatedCount(const Dispatcher *this)
{
    return UpstreamSet_EvacuatedCount(this->upstreams);
}

void
Dispatcher_SetSourceReachable(Dispatcher *this, bool reachable, Micros since)
{
    UpstreamSet_SetSourceReachable(this->upstreams, reachable, since);
}

uint32_t
Dispatcher_LimitedUpstreamCount(const Dispatcher *this)
{
    return UpstreamLimits_Count(this->limits);
}

uint32_t
Dispatcher_ExcludedCount(const Dispatcher *this, EligibilityReason reason)
{
    return Eligibility_Count(Placement_Eligibility(this->placement), reason);
}

size_t
Dispatcher_UpstreamCount(const Dispatcher *this)
{
    return UpstreamSet_Count(this->upstreams);
}

void
Dispatcher_SetHosts(Dispatcher *this, const Str *hosts, size_t count,
                    Micros known_from)
{
    UpstreamLimits_SetHosts(this->limits, hosts, count, known_from);
    this->host_count = count;
    this->hosts_known_from = known_from;
    for (guint i = 0; i < this->retry_windows->len; i++) {
        RetryWindow_SetHosts(g_ptr_array_index(this->retry_windows, i), count,
                             known_from);
    }
}

void
Dispatcher_SetPeers(Dispatcher *this, const PeerInfo *peers, size_t count)
{
    PeerSet_Replace(this->peers, peers, count);
}

void
Dispatcher_SetGrantors(Dispatcher *this, const AllowanceHost *hosts,
                       size_t count)
{
    AllowanceClient_SetHosts(this->allowances, hosts, count);
}

bool
Dispatcher_IsCutOff(const Dispatcher *this)
{
    return PathMonitor_State(this->path) == PATH_CUT_OFF;
}

/* ---- requests ------------------------------------------------------- */

RetryWindow *
Job_RetryWindow(const Job *job)
{
    return g_ptr_array_index(job->owner->retry_windows, job->service);
}

bool
Job_ReserveRetry(Job *job)
{
    job->retry_reserved =
        job->retry_reserved || RetryWindow_Reserve(Job_RetryWindow(job));
    return job->retry_reserved;
}

void
Job_ReleaseRetry(Job *job)
{
    if (job->retry_reserved) {
        RetryWindow_Release(Job_RetryWindow(job));
        job->retry_reserved = false;
    }
}

bool
Job_UseRetry(Job *job)
{
    if (!job->retry_reserved) {
        return true;
    }
    job->retry_reserved = false;
    return RetryWindow_UseReserved(Job_RetryWindow(job));
}

/* Starts another attempt, which counts towards the retry limit once it is
 * sent. Returns NULL on success, otherwise why no attempt was started: @reason
 * unless the deadline or the retry limit prevents it. */
static const char *
start_retry(Job *job, const char *reason)
{
    Micros remaining = job->deadline - Clock_Now(job->owner->clock);

    if (JobForward_Applies(job)) {
        return JobForward_Start(job);
    }
    if ((AttemptLedger_MayHaveRun(&job->ledger) &&
         job->route->kind != ROUTE_IDEMPOTENT) ||
        MAX(job->tried_count, job->attempts_used) >= job->attempts_max) {
        return reason;
    }
    if (remaining < ATTEMPT_TIME_MIN_US) {
        return "deadline";
    }
    if (!JobStop_Fits(job)) {
        return JobStop_Reason(job);
    }
    if (CrashGuard_Refuses(job->owner->guard, &job->fingerprint)) {
        return "quarantined";
    }
    if (!Job_ReserveRetry(job)) {
        return "retry-budget";
    }
    if (!JobPlacement_Place(job)) {
        Job_ReleaseRetry(job);
        return reason;
    }
    return NULL;
}

void
Job_Retry(Job *job, const char *reason)
{
    const char *failure = start_retry(job, reason);

    if (failure != NULL) {
        Job_Abandon(job, failure);
    }
}

CallerIdentity
Job_CallerIdentity(const Job *job)
{
    CallerIdentity caller = {
        .replaces_key = RouteTable_Customers(job->table) != NULL,
    };

    if (job->customer != NULL) {
        caller.customer = job->customer->name;
    }
    else if (job->peer_customer != NULL) {
        caller.customer = Str_FromString(job->peer_customer);
    }
    return caller;
}

bool
Job_IsStale(const Job *job)
{
    return job->customer != NULL && !job->forwarded &&
           Dispatcher_RejectsKeys(job->owner);
}

bool
Job_RejectStale(Job *job)
{
    if (!Job_IsStale(job)) {
        return false;
    }
    Job_Abandon(job, "stale-configuration");
    return true;
}

/* Returns whether the caller may use the route. If not, the job is rejected and
 * released. The peer that has forwarded a request has identified its caller. */
static bool
identify_caller(Job *job, const JobInfo *info)
{
    const CustomerTable *customers = RouteTable_Customers(job->table);

    if (customers == NULL || job->route->is_public) {
        return true;
    }
    if (job->forwarded) {
        job->peer_customer = Str_ToString(info->customer);
        job->customer = CustomerTable_ByName(customers, info->customer);
        return true;
    }
    /* The key may be one that was added since. */
    if (Dispatcher_RejectsKeys(job->owner)) {
        Job_Abandon(job, "stale-configuration");
        return false;
    }
    job->customer = CustomerTable_ByKey(customers, info->key);
    if (job->customer == NULL) {
        Job_Reject(job, 401, "unknown-key", 0);
        return false;
    }
    return true;
}

static uint32_t
priority_of(const Job *job)
{
    return job->customer != NULL && job->customer->has_priority
               ? job->customer->priority
               : job->route->priority;
}

/* The host that forwards a request keeps its deadline. */
static Micros
time_budget(const JobInfo *info, const Route *route)
{
    Micros margin = info->forwarded ? 0 : CALLER_MARGIN_US;

    return info->timeout > 0 ? MIN(info->timeout - margin, route->timeout)
                             : route->timeout;
}

static Job *
create_job(Dispatcher *this, const JobInfo *info, void *user)
{
    Job *job = g_new0(Job, 1);

    job->owner = this;
    job->user = user;
    job->id = Str_ToString(info->id);
    job->number = this->job_count++;
    job->arrived = Clock_Now(this->clock);
    job->deadline = job->arrived;
    job->upstream = UPSTREAM_NONE;
    job->forwarded = info->forwarded;
    this->accepted_open += info->forwarded;
    g_hash_table_add(this->jobs, job);
    return job;
}

static uint32_t
attempts_max(const JobInfo *info, const Route *route)
{
    uint32_t n = MIN(route->attempts_max, ATTEMPTS_MAX);

    return info->attempts_max > 0 ? MIN(n, info->attempts_max) : n;
}

static void
start_job(Job *job, const JobInfo *info)
{
    Dispatcher *this = job->owner;
    const Route *route = job->route;

    job->deadline = job->arrived + time_budget(info, route);
    job->attempts_max = attempts_max(info, route);
    update_due(job);
    job->service = service_index(
        this, Route_Pick(route, Random_Unit(this->random))->service);
    job->fingerprint =
        CrashGuard_Fingerprint(info->method, info->path, info->body);
    if (!job->forwarded) {
        RetryWindow_OnRequest(Job_RetryWindow(job));
    }
    else if (!JobForward_Admit(job)) {
        return;
    }
    if (!JobStop_Refuse(job) && JobAllowance_Admit(job)) {
        JobPlacement_Resume(job);
    }
}

Job *
Dispatcher_Submit(Dispatcher *this, const JobInfo *info, void *user)
{
    Job *job = create_job(this, info, user);

    if (this->routes == NULL) {
        Job_Reject(job, 503, "no-configuration",
                   Random_Jitter(this->random, RETRY_AFTER_STARTUP_US));
        return NULL;
    }
    job->table = RouteTable_Ref(this->routes);
    if (RouteTable_Version(job->table) < info->version_min) {
        Dispatcher_Count(this, "agatecrank_forwards_accepted_total", "result",
                         STR("older-routes"));
        Job_Reject(job, 503, "older-routes", 0);
        return NULL;
    }
    job->route = RouteTable_Find(this->routes, info->host, info->path);
    if (job->route == NULL) {
        Job_Reject(job, 404, "no-route", 0);
        return NULL;
    }
    if (!identify_caller(job, info)) {
        return NULL;
    }
    job->priority = priority_of(job);
    start_job(job, info);
    return g_hash_table_contains(this->jobs, job) ? job : NULL;
}

/* ---- attempt results ------------------------------------------------ */

void
Job_BeginRelay(Job *job)
{
    job->relaying = true;
    job->loss_reported = true;
    Job_SetMonitorAt(job, 0);
}

static JobVerdict
on_response(Job *job, const AttemptEndInfo *end)
{
    Dispatcher *this = job->owner;
    uint32_t upstream = job->upstream;

    use_attempt(job);
    if (end->status < 500) {
        WorkEstimate_Learn(this->work, job->route->name,
                           Clock_Now(this->clock) - job->sent_at);
    }
    if (end->status < 500 && end->more_follows) {
        Job_BeginRelay(job);
        return JOB_RELAY;
    }
    if (end->status < 500) {
        CrashGuard_OnSuccess(this->guard, &job->fingerprint, upstream);
        Job_EndAttempt(job, ATTEMPT_OK);
        g_hash_table_remove(this->jobs, job);
        return JOB_RELAY;
    }
    Job_EndAttempt(job, ATTEMPT_ERROR);
    /* Another upstream may succeed. */
    if (start_retry(job, "upstream-failed") == NULL) {
        return JOB_DISCARD;
    }
    if (end->more_follows) {
        Job_BeginRelay(job);
        return JOB_RELAY;
    }
    g_hash_table_remove(this->jobs, job);
    return JOB_RELAY;
}

/* Returns the result, or ATTEMPT_RESULT_BROKEN if it claims that the attempt
 * was not executed without proof for this attempt. */
static AttemptResult
believed_result(AttemptResult result, bool proven)
{
    switch (result) {
    case ATTEMPT_RESULT_NOT_RUN:
    case ATTEMPT_RESULT_UNSENT:
        return proven ? result : ATTEMPT_RESULT_BROKEN;
    case ATTEMPT_RESULT_RESPONSE:
    case ATTEMPT_RESULT_MOVED:
    case ATTEMPT_RESULT_BROKEN:
        break;
    }
    return result;
}

static JobVerdict
settle_attempt(Job *job, const AttemptEndInfo *end)
{
    bool proven = AttemptLedger_End(&job->ledger, end->attempt, end->evidence);

    switch (believed_result(end->result, proven)) {
    case ATTEMPT_RESULT_RESPONSE:
        return on_response(job, end);
    case ATTEMPT_RESULT_NOT_RUN:
        job->reached_upstream = true;
        Job_EndAttempt(job, ATTEMPT_SHED);
        Job_Retry(job, "upstream-full");
        break;
    case ATTEMPT_RESULT_MOVED:
        job->reached_upstream = true;
        job->attempts_used += !proven;
        Job_EndAttempt(job, ATTEMPT_CONNECTION_FAILED);
        Job_Retry(job, "upstream-moved");
        break;
    case ATTEMPT_RESULT_UNSENT:
        Job_EndAttempt(job, ATTEMPT_CONNECTION_FAILED);
        if (!HostPath_Hold(job)) {
            Job_Retry(job, "upstream-unreachable");
        }
        break;
    case ATTEMPT_RESULT_BROKEN:
        Job_ReportNoResponse(job, LOST_ATTEMPT_BROKEN);
        Job_EndAttempt(job, ATTEMPT_CONNECTION_FAILED);
        use_attempt(job);
        Job_Retry(job, "upstream-broken");
        break;
    }
    return JOB_DISCARD;
}

static const char *
limit_change_name(LimitChange change)
{
    switch (change) {
    case LIMIT_CHANGE_NAMED:
        return "named";
    case LIMIT_CHANGE_UPDATED:
        return "updated";
    case LIMIT_CHANGE_ENDED:
        return "ended";
    case LIMIT_CHANGE_NONE:
        break;
    }
    return "none";
}

static void
on_limit(Dispatcher *this, uint32_t upstream, LimitNotice limit,
         LimitSource source)
{
    const UpstreamRecord *record =
        UpstreamSet_Record(this->upstreams, upstream);
    LimitChange change;

    /* The upstream may have been removed while the request was processed. */
    if (record == NULL) {
        return;
    }
    change = UpstreamLimits_OnResponse(this->limits, upstream,
                                       record->instance, limit, source);
    if (change == LIMIT_CHANGE_NONE) {
        return;
    }
    Dispatcher_Count(this, "agatecrank_upstream_limit_changes_total", "change",
                     Str_FromC(limit_change_name(change)));
    if (EventLog_Begin(this->log, LOG_LEVEL_INFO, "upstream-limit")) {
        EventLog_Str(this->log, "upstream", record->id);
        EventLog_CStr(this->log, "change", limit_change_name(change));
        EventLog_CStr(this->log, "source",
                      source == LIMIT_SOURCE_PROBE ? "probe" : "request");
        EventLog_Real(this->log, "per_s",
                      UpstreamLimits_PerS(this->limits, upstream));
        EventLog_Real(this->log, "part_per_s",
                      UpstreamLimits_PartPerS(this->limits, upstream));
        EventLog_End(this->log);
    }
}

JobVerdict
Dispatcher_OnAttemptEnd(Dispatcher *this, Job *job, const AttemptEndInfo *end)
{
    uint32_t service = job->service;
    JobVerdict verdict;

    JobLog_AttemptEnd(job, job->upstream, end);
    HostPath_OnAttemptEnd(this, job, end->result);
    if (end->result == ATTEMPT_RESULT_RESPONSE ||
        end->result == ATTEMPT_RESULT_NOT_RUN) {
        CrashGuard_OnAlive(this->guard, job->upstream, job->sent_at);
    }
    if (end->report != NULL) {
        Placement_OnReport(this->placement, job->upstream, end->report);
    }
    on_limit(this, job->upstream, end->limit, LIMIT_SOURCE_REQUEST);
    verdict = settle_attempt(job, end);
    HostPath_Run(this);
    settle_losses(this);
    JobPlacement_ServeQueue(this, service);
    return verdict;
}

static AttemptOutcome
outcome_of_relay(RelayEnd end)
{
    switch (end) {
    case RELAY_COMPLETE:
        return ATTEMPT_OK;
    case RELAY_BROKEN:
        return ATTEMPT_CONNECTION_FAILED;
    case RELAY_TIMEOUT:
        return ATTEMPT_TIMEOUT;
    case RELAY_CALLER_SLOW:
        break;
    }
    return ATTEMPT_CANCELLED;
}

void
Dispatcher_OnRelayEnd(Dispatcher *this, Job *job, RelayEnd end)
{
    uint32_t service = job->service;

    JobLog_RelayEnd(job, end);
    /* After a status of 500 or more, the attempt has ended as failed. */
    if (end == RELAY_COMPLETE && job->upstream != UPSTREAM_NONE) {
        CrashGuard_OnSuccess(this->guard, &job->fingerprint, job->upstream);
    }
    Job_EndAttempt(job, outcome_of_relay(end));
    Job_End(job);
    JobPlacement_ServeQueue(this, service);
}

static void
end_probe(Dispatcher *this, uint32_t upstream, Str result)
{
    UpstreamSet_Release(this->upstreams, upstream);
    Dispatcher_Count(this, "agatecrank_load_questions_total", "result",
                     result);
}

SentProbe
Dispatcher_SentProbe(const Dispatcher *this, uint32_t upstream)
{
    return upstream < this->sent_probes->len
               ? g_array_index(this->sent_probes, SentProbe, upstream)
               : (SentProbe){0, false};
}

void
Dispatcher_OnProbeLimit(Dispatcher *this, uint32_t upstream, LimitNotice limit)
{
    /* Responses may overtake each other. */
    if (limit.kind == LIMIT_ABSENT &&
        Dispatcher_SentProbe(this, upstream).sent <
            UpstreamLimits_NamedAt(this->limits, upstream)) {
        limit.kind = LIMIT_UNKNOWN;
    }
    on_limit(this, upstream, limit, LIMIT_SOURCE_PROBE);
}

void
Dispatcher_OnProbeResult(Dispatcher *this, uint32_t upstream,
                         ProbeResult result, const LoadReport *report)
{
    Micros sent = Dispatcher_SentProbe(this, upstream).sent;

    HostPath_OnProbeResult(this, upstream, result);
    switch (result) {
    case PROBE_ANSWERED:
        CrashGuard_OnAlive(this->guard, upstream, sent);
        break;
    case PROBE_ACCEPTED:
    case PROBE_UNCLEAR:
        CrashGuard_OnProbeUnclear(this->guard, upstream, sent,
                                  result == PROBE_ACCEPTED);
        break;
    case PROBE_REFUSED:
        CrashGuard_OnProbeFailure(this->guard, upstream, sent, true);
        break;
    }
    if (report != NULL) {
        Placement_OnReport(this->placement, upstream, report);
    }
    Placement_OnProbeResult(this->placement, upstream, report != NULL);
    end_probe(this, upstream, report != NULL ? STR("told") : STR("none"));
    HostPath_Run(this);
    settle_losses(this);
    JobPlacement_OnProbeEnd(this);
}

/* An upstream that does not report its load may treat a probe as any other
 * request and respond late while it is busy. */
static bool
may_be_busy(const Dispatcher *this, uint32_t upstream, bool connected)
{
    return connected && Placement_ReportAge(this->placement, upstream) < 0;
}

void
Dispatcher_OnProbeTimeout(Dispatcher *this, uint32_t upstream, bool connected)
{
    Micros sent = Dispatcher_SentProbe(this, upstream).sent;

    HostPath_OnProbeTimeout(this, upstream, connected);
    if (may_be_busy(this, upstream, connected)) {
        CrashGuard_OnAlive(this->guard, upstream, sent);
    }
    else {
        CrashGuard_OnProbeFailure(this->guard, upstream, sent, false);
    }
    Placement_OnProbeTimeout(this->placement, upstream);
    end_probe(this, upstream, STR("silent"));
    HostPath_Run(this);
    AttemptMonitor_OnProbeTimeout(this, upstream);
    settle_losses(this);
    JobPlacement_OnProbeEnd(this);
}

void
Dispatcher_OnCallerDisconnect(Dispatcher *this, Job *job)
{
    JobLog_CallerDisconnect(job);
    Job_ReportNoResponse(job, LOST_ATTEMPT_CANCELLED);
    Job_End(job);
}

/* The owner tells how the relay ended. */
static void
abort_relay(Job *job)
{
    DispatchAction abort = {
        .kind = DISPATCH_ABORT,
        .job = job,
        .user = job->user,
    };

    DueSet_Set(job->owner->due, &job->due, -1);
    Dispatcher_PushAction(job->owner, &abort);
}

static void
time_out(Job *job)
{
    cancel_open(job);
    if (AttemptLedger_MayHaveRun(&job->ledger)) {
        Job_Reject(job, 504, "deadline", 0);
        return;
    }
    Job_Reject(job, 503, "deadline",
               Random_Jitter(job->owner->random, RETRY_AFTER_FULL_US));
}

/* Each branch reschedules the job or ends it. */
static void
on_due(Job *job)
{
    Micros now = Clock_Now(job->owner->clock);

    if (job->deadline <= now && job->relaying) {
        abort_relay(job);
    }
    else if (job->deadline <= now) {
        time_out(job);
    }
    else if (job->held_until > 0 && job->held_until <= now) {
        HostPath_EndHold(job);
    }
    else if (job->probe_deadline > 0 && job->probe_deadline <= now) {
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
    CrashGuard_OnUpstreamsChanged(this->guard);
    HostPath_Run(this);
    settle_losses(this);
    while ((entry = DueSet_First(this->due)) != NULL && entry->due <= now) {
        on_due(DUE_OWNER(entry, Job, due));
    }
    JobPlacement_OnTime(this);
}

/* Returns the earlier time; negative times mean never. */
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
    Micros next =
        earlier(UpstreamSet_NextTime(this->upstreams),
                this->queue_probe_at > 0 ? this->queue_probe_at : -1);

    if (is_path_certain(this)) {
        next = earlier(next, CrashGuard_NextTime(this->guard));
    }
    next = earlier(next, DueSet_NextTime(this->due));
    next = earlier(next, PathMonitor_NextTime(this->path));
    for (guint i = 0; i < this->queues->len; i++) {
        next = earlier(
            next, OverloadQueue_NextTime(g_ptr_array_index(this->queues, i)));
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

CrashGuard *
Dispatcher_CrashGuard(Dispatcher *this)
{
    return this->guard;
}

size_t
Dispatcher_OpenJobs(const Dispatcher *this)
{
    return g_hash_table_size(this->jobs);
}
