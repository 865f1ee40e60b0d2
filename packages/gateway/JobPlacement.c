#include "JobPlacement.h"

#include "AttemptMonitor.h"
#include "JobLog.h"

/* Part of the upstreams whose load must be known to call a service full. */
#define KNOWN_SHARE_MIN 0.5F
/* Part of the objective that a request may wait for room. */
#define WAIT_SHARE 0.4
/* A report of this age still tells that there is room. */
#define ROOM_KNOWN_TIME (25 * MICROS_PER_MS)
/* Time after which the head of a queue asks for room, if none of this host's
 * own requests ended meanwhile. */
#define POLL_TIME (20 * MICROS_PER_MS)
/* Rounds of questions for a better upstream than one that has room. */
#define ROUNDS_FOR_BEST 2

static void
begin_placing(Job *job)
{
    Job_SetAskUntil(job, 0);
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

    Job_LeaveQueue(job, true);
    job->upstream = choice->upstream;
    job->tried[job->tried_count++] = choice->upstream;
    job->sent_at = now;
    UpstreamSet_Acquire(this->upstreams, choice->upstream);
    Placement_OnSent(this->placement, choice->upstream);
    Quarantine_OnSent(this->quarantine, &job->fingerprint, choice->upstream);
    Dispatcher_Count(this, "agatecrank_placements_total", "reason",
                     Str_FromC(choice->reason));
    JobLog_Choice(job, choice, action.send.timeout);
    begin_placing(job);
    AttemptMonitor_Start(job);
    Dispatcher_PushAction(this, &action);
}

static Str
load_path(const Job *job)
{
    return RouteTable_LoadPath(
        job->table, NameTable_Name(job->owner->services, job->service));
}

bool
JobPlacement_CanProbe(const Job *job)
{
    return load_path(job).length > 0;
}

static void
push_question(const Job *job, uint32_t upstream)
{
    Dispatcher *this = job->owner;
    const UpstreamRecord *record =
        UpstreamSet_Record(this->upstreams, upstream);
    DispatchAction action = {
        .kind = DISPATCH_PROBE,
        .probe = {.address = record->address,
                  .port = record->port,
                  .instance = record->id,
                  .upstream = upstream,
                  .path = load_path(job)},
    };

    Placement_OnAsked(this->placement, upstream);
    UpstreamSet_Acquire(this->upstreams, upstream);
    Dispatcher_PushAction(this, &action);
}

/* The answer to another request's question serves this one, too. */
static void
probe(const Job *job, uint32_t upstream)
{
    if (!Placement_IsAsked(job->owner->placement, upstream)) {
        push_question(job, upstream);
    }
}

void
JobPlacement_ProbeAgain(const Job *job, uint32_t upstream)
{
    Placement *placement = job->owner->placement;

    if (UpstreamSet_Record(job->owner->upstreams, upstream) != NULL &&
        !Placement_IsAsked(placement, upstream) &&
        Placement_MayAsk(placement)) {
        push_question(job, upstream);
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
    uint32_t upstreams[PLACEMENT_ROUND_MAX];
    size_t n =
        Placement_Ask(placement, &query, PLACEMENT_OWN_DOMAIN, upstreams);

    if (n == 0) {
        n = Placement_Ask(placement, &query, PLACEMENT_OTHER_DOMAINS,
                          upstreams);
    }
    for (size_t i = 0; i < n; i++) {
        probe(job, upstreams[i]);
    }
}

/* Returns false if there is none whose load is not known. */
static bool
ask_round(Job *job, PlacementScope scope)
{
    Dispatcher *this = job->owner;
    PlacementQuery query = JobPlacement_Query(job);
    uint32_t upstreams[PLACEMENT_ROUND_MAX];
    size_t n;

    /* Without a path there is no way to ask. */
    if (!JobPlacement_CanProbe(job)) {
        return false;
    }
    n = Placement_Ask(this->placement, &query, scope, upstreams);
    for (size_t i = 0; i < n; i++) {
        job->asked[job->asked_count++] = upstreams[i];
        probe(job, upstreams[i]);
    }
    Job_SetAskUntil(job, Clock_Now(this->clock) + ASK_TIME);
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
    if (!RequestQueue_Push(Job_Queue(job), job, job->route->priority,
                           patience_of(job))) {
        Job_GiveUp(job, "overloaded");
        return;
    }
    job->queued = true;
    if (this->poll_at <= Clock_Now(this->clock)) {
        this->poll_at = Clock_Now(this->clock) + POLL_TIME;
    }
    Dispatcher_Count(this, "agatecrank_queued_total", "service",
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
bool
JobPlacement_Place(Job *job)
{
    Dispatcher *this = job->owner;
    PlacementQuery query = JobPlacement_Query(job);
    PlacementChoice choice;

    if (Placement_Choose(this->placement, &query, &choice) < 0) {
        return false;
    }
    if (choice.good && choice.room) {
        send_to(job, &choice);
    }
    else if (!RequestQueue_HasTurn(Job_Queue(job), job->route->priority)) {
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
void
JobPlacement_ServeQueue(Dispatcher *this, uint32_t service)
{
    RequestQueue *queue = g_ptr_array_index(this->queues, service);
    PlacementChoice choice;
    Job *job;

    while ((job = RequestQueue_Head(queue)) != NULL) {
        PlacementQuery query = JobPlacement_Query(job);

        if (Placement_Choose(this->placement, &query, &choice) < 0 ||
            !choice.room || choice.age < 0 || choice.age > ROOM_KNOWN_TIME) {
            return;
        }
        send_to(job, &choice);
    }
}

static void
serve_queues(Dispatcher *this)
{
    for (guint i = 0; i < this->queues->len; i++) {
        JobPlacement_ServeQueue(this, i);
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
            Job_SetAskUntil(job, 0);
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
            Job_GiveUp(job, "overloaded");
        }
    }
}

void
JobPlacement_Resume(Job *job)
{
    if (!JobPlacement_Place(job)) {
        Job_GiveUp(job, "no-upstream");
    }
}

/* Lets the jobs go on that may have waited for what is known now. */
static void
place_waiting(Dispatcher *this)
{
    GList *jobs = g_hash_table_get_keys(this->asking);

    for (GList *item = jobs; item != NULL; item = item->next) {
        JobPlacement_Resume(item->data);
    }
    g_list_free(jobs);
}

void
JobPlacement_OnProbeEnd(Dispatcher *this)
{
    place_waiting(this);
    serve_queues(this);
}

void
JobPlacement_OnTime(Dispatcher *this)
{
    expire_queued(this);
    poll_for_room(this);
    serve_queues(this);
}
