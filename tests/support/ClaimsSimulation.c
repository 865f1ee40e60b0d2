#include "ClaimsSimulationPrivate.h"

#include <stdio.h>

/* Wall time at the start, microseconds since 1970. */
#define WALL_START_US ((Micros)1700000000 * MICROS_PER_S)

static uint32_t
find_host(const ClaimsSimulation *this, Str name)
{
    for (uint32_t i = 0; i < this->options.hosts; i++) {
        if (Str_Equal(Str_FromC(this->hosts[i].name), name)) {
            return i;
        }
    }
    return UINT32_MAX;
}

/* Messages reach any incarnation of the receiver. */
static Event *
new_message(ClaimsSimulation *this, EventKind kind, uint32_t from, uint32_t to)
{
    Event *event = ClaimsSimulation_NewEvent(this, kind, to);

    event->epoch = UINT64_MAX;
    event->from = Event_CopyText(event, Str_FromC(this->hosts[from].name));
    return event;
}

static void
fill_message(Event *event, const ClaimAction *action, size_t i)
{
    switch (event->kind) {
    case EVENT_SUBMIT:
        event->partition = action->submit.partition;
        event->claim = action->submit.claims[i];
        event->claim.host = Event_CopyText(event, event->claim.host);
        return;
    case EVENT_QUERY:
        event->query = action->query;
        event->query.from = Event_CopyText(event, event->query.from);
        return;
    default:
        event->reply = action->reply;
        event->reply.holder = Event_CopyText(event, event->reply.holder);
        event->reply.answer = Event_CopyText(event, event->reply.answer);
        return;
    }
}

static void
send_message(ClaimsSimulation *this, uint32_t from, EventKind kind,
             const ClaimAction *action, size_t i)
{
    const ClaimsSimulationOptions *options = &this->options;
    uint32_t to = find_host(this, action->host);
    int copies =
        ClaimsSimulation_Chance(this, options->message_duplicate_ratio) ? 2
                                                                        : 1;

    this->counters.messages++;
    if (to == UINT32_MAX ||
        ClaimsSimulation_Chance(this, options->message_loss_ratio)) {
        return;
    }
    while (copies-- > 0) {
        Event *event = new_message(this, kind, from, to);

        fill_message(event, action, i);
        ClaimsSimulation_Schedule(
            event, ClaimsSimulation_RandomBetween(this, options->net_min,
                                                  options->net_max));
    }
}

/* Digest that the response to this request must contain, by caller. */
static uint64_t
response_digest(const SimulatedRequest *request)
{
    return request->digest * 2 + request->caller;
}

static void
record_answer(ClaimsSimulation *this, uint64_t id, ClaimOutcome outcome,
              Str answer)
{
    static const HistoryOutcome outcomes[] = {
        [CLAIM_NOT_RUN] = HISTORY_NOT_RUN,
        [CLAIM_RAN] = HISTORY_RAN,
        [CLAIM_UNKNOWN] = HISTORY_UNKNOWN,
    };
    const OpenRequest *open = g_hash_table_lookup(this->open_requests, &id);
    uint64_t digest = 0;

    if (open == NULL) {
        return;
    }
    Str_ParseU64(answer, &digest);
    OutcomeHistory_AddAnswer(this->history, open->request.identity,
                             response_digest(&open->request),
                             outcomes[outcome], answer.length > 0, digest);
    g_hash_table_remove(this->open_requests, &id);
}

static void
dispatch(ClaimsSimulation *this, uint32_t host, uint64_t id)
{
    const OpenRequest *open = g_hash_table_lookup(this->open_requests, &id);
    Event *event = ClaimsSimulation_NewEvent(this, EVENT_AT_UPSTREAM, host);

    event->id = id;
    event->request = open->request;
    this->counters.dispatched++;
    Histogram_Add(this->dispatch_delays,
                  Clock_Now(this->clock) - open->arrived);
    ClaimsSimulation_Schedule(
        event, ClaimsSimulation_RandomBetween(this, this->options.net_min,
                                              this->options.net_max));
}

/* The request runs even if the host has crashed since the dispatch. */
static void
on_upstream_arrival(ClaimsSimulation *this, const Event *event)
{
    Event *finished =
        ClaimsSimulation_NewEvent(this, EVENT_FINISHED, event->host);
    char digest[32];

    finished->epoch = event->epoch;
    finished->id = event->id;
    finished->outcome = CLAIM_NOT_RUN;
    if (!ClaimsSimulation_Chance(this, this->options.upstream_refuse_ratio)) {
        OutcomeHistory_AddRun(this->history, event->request.identity,
                              response_digest(&event->request));
        finished->outcome = CLAIM_UNKNOWN;
        if (!ClaimsSimulation_Chance(this,
                                     this->options.upstream_break_ratio)) {
            finished->outcome = CLAIM_RAN;
            snprintf(digest, sizeof(digest), "%llu",
                     (unsigned long long)response_digest(&event->request));
            finished->bytes = Event_CopyText(finished, Str_FromC(digest));
        }
    }
    ClaimsSimulation_Schedule(finished, ClaimsSimulation_RandomBetween(
                                            this, this->options.service_min,
                                            this->options.service_max));
}

static void
perform_action(ClaimsSimulation *this, uint32_t host,
               const ClaimAction *action)
{
    switch (action->kind) {
    case CLAIM_APPEND:
        ClaimsSimulation_SendAppend(this, host, action);
        return;
    case CLAIM_SUBMIT:
        for (size_t i = 0; i < action->submit.n; i++) {
            send_message(this, host, EVENT_SUBMIT, action, i);
        }
        return;
    case CLAIM_DISPATCH:
        dispatch(this, host, action->request_id);
        return;
    case CLAIM_ANSWER:
        record_answer(this, action->request_id, action->answer.outcome,
                      action->answer.answer);
        return;
    case CLAIM_QUERY:
        send_message(this, host, EVENT_QUERY, action, 0);
        return;
    case CLAIM_REPLY:
        send_message(this, host, EVENT_REPLY, action, 0);
        return;
    }
}

static void
add_counters(ClaimsSimulationCounters *total, const ClaimsCounters *counters)
{
    total->gaps += counters->gaps;
    total->grants += counters->grants;
    total->markers += counters->markers;
    total->direct_appends += counters->direct_appends;
    total->collector_appends += counters->collector_appends;
    total->abandoned += counters->abandoned;
    total->answered += counters->answered;
}

static void
crash_host(ClaimsSimulation *this, uint32_t number)
{
    Host *host = &this->hosts[number];

    if (host->claims == NULL) {
        return;
    }
    add_counters(&this->counters, Claims_Counters(host->claims));
    Claims_Destroy(host->claims);
    host->claims = NULL;
    host->epoch++;
    memset(host->read_waiting, 0, sizeof(host->read_waiting));
    this->counters.crashes++;
    ClaimsSimulation_Schedule(
        ClaimsSimulation_NewEvent(this, EVENT_RESTART, number),
        this->options.replace_after);
}

static void
start_host(ClaimsSimulation *this, uint32_t number)
{
    Host *host = &this->hosts[number];
    ClaimsOptions options = this->options.claims;
    Str names[SIMULATION_HOSTS_MAX] = {0};

    for (uint32_t i = 0; i < this->options.hosts; i++) {
        names[i] = Str_FromC(this->hosts[i].name);
    }
    options.host = names[number];
    options.incarnation = host->epoch + 1;
    host->claims = Claims_Create(&options, this->clock);
    host->paused_until = 0;
    host->next_tick = INT64_MAX;
    host->actions_due = false;
    if (ClaimsSimulation_Chance(this, this->options.incomplete_hosts_ratio)) {
        names[ClaimsSimulation_RandomBetween(
            this, 0, this->options.hosts - 1)] = options.host;
    }
    Claims_SetHosts(host->claims, names, this->options.hosts);
    for (uint32_t p = 0; p < options.partitions; p++) {
        ClaimsSimulation_StartRead(this, number, p, 0);
    }
}

static void
pause_host(ClaimsSimulation *this, Host *host, Micros duration)
{
    host->paused_until =
        MAX(host->paused_until, Clock_Now(this->clock) + duration);
    this->counters.pauses++;
}

static void
schedule_tick(ClaimsSimulation *this, uint32_t number)
{
    Host *host = &this->hosts[number];
    Micros next = Claims_NextTick(host->claims);

    if (next >= host->next_tick || next == INT64_MAX) {
        return;
    }
    host->next_tick = next;
    ClaimsSimulation_Schedule(
        ClaimsSimulation_NewEvent(this, EVENT_TICK, number),
        next - Clock_Now(this->clock));
}

/* Performs the actions in order; the host may pause or crash before each. */
static void
perform_actions(ClaimsSimulation *this, uint32_t number)
{
    Host *host = &this->hosts[number];
    ClaimAction action;

    for (;;) {
        if (ClaimsSimulation_Chance(this, this->options.crash_ratio)) {
            crash_host(this, number);
            return;
        }
        if (ClaimsSimulation_Chance(this, this->options.pause_ratio)) {
            pause_host(this, host,
                       ClaimsSimulation_RandomBetween(
                           this, 0, this->options.pause_max));
            if (!host->actions_due) {
                host->actions_due = true;
                ClaimsSimulation_Schedule(
                    ClaimsSimulation_NewEvent(this, EVENT_ACTIONS, number),
                    host->paused_until - Clock_Now(this->clock));
            }
            return;
        }
        if (!Claims_NextAction(host->claims, &action)) {
            break;
        }
        perform_action(this, number, &action);
    }
    schedule_tick(this, number);
}

static void
begin_request(ClaimsSimulation *this, uint32_t number,
              const SimulatedRequest *request)
{
    uint64_t id = this->next_id++;
    OpenRequest *open = g_new(OpenRequest, 1);
    ClaimRequest claim_request = {
        .line = STR("member-a"),
        .caller = Str_FromC(request->caller == 0 ? "counter-7" : "counter-8"),
        .key = Str_FromC(request->key),
        .digest = request->digest,
        .deadline = Clock_Now(this->clock) + request->deadline,
    };
    ClaimState state;

    *open =
        (OpenRequest){.request = *request, .arrived = Clock_Now(this->clock)};
    g_hash_table_insert(this->open_requests, g_memdup2(&id, sizeof(id)), open);
    this->counters.sent++;
    state = Claims_Begin(this->hosts[number].claims, &claim_request, id);
    if (state.kind == CLAIM_STATE_ANSWER) {
        record_answer(this, id, state.answer.outcome, state.answer.answer);
    }
    if (state.kind == CLAIM_STATE_DISPATCH) {
        dispatch(this, number, id);
    }
    if (ClaimsSimulation_Chance(this, this->options.cancel_ratio)) {
        Event *event = ClaimsSimulation_NewEvent(this, EVENT_CANCEL, number);

        event->id = id;
        ClaimsSimulation_Schedule(
            event, ClaimsSimulation_RandomBetween(this, 0, request->deadline));
    }
}

/* A caller that disconnects gets no answer. */
static void
cancel(ClaimsSimulation *this, uint32_t number, uint64_t id)
{
    if (Claims_Cancel(this->hosts[number].claims, id) == 0) {
        g_hash_table_remove(this->open_requests, &id);
    }
}

/* Handles an event inside a host, then performs the actions of the host. */
static void
handle_in_host(ClaimsSimulation *this, Event *event)
{
    Claims *claims = this->hosts[event->host].claims;
    ClaimSubmit submit = {
        .partition = event->partition, .claims = &event->claim, .n = 1};

    switch (event->kind) {
    case EVENT_BEGIN:
        begin_request(this, event->host, &event->request);
        break;
    case EVENT_TICK:
        this->hosts[event->host].next_tick = INT64_MAX;
        Claims_OnTick(claims);
        break;
    case EVENT_ACTIONS:
        this->hosts[event->host].actions_due = false;
        break;
    case EVENT_SUBMIT:
        Claims_OnSubmit(claims, &submit);
        break;
    case EVENT_QUERY:
        Claims_OnQuery(claims, &event->query);
        break;
    case EVENT_REPLY:
        Claims_OnReply(claims, event->from, &event->reply);
        break;
    case EVENT_APPEND_RESULT:
        Claims_OnAppendResult(claims, event->id, event->code);
        break;
    case EVENT_READ_RESULT:
        ClaimsSimulation_OnReadResult(this, event);
        break;
    case EVENT_FINISHED:
        Claims_OnFinished(claims, event->id, event->outcome, event->bytes);
        record_answer(this, event->id, event->outcome, event->bytes);
        break;
    case EVENT_CANCEL:
        cancel(this, event->host, event->id);
        break;
    default:
        break;
    }
    perform_actions(this, event->host);
}

/* Handles an event outside of the hosts, which pauses do not delay. Returns
 * false for an event inside a host. */
static bool
handle_outside_hosts(ClaimsSimulation *this, const Event *event)
{
    Host *host = &this->hosts[event->host];

    switch (event->kind) {
    case EVENT_APPEND_AT_LOG:
        ClaimsSimulation_OnAppendAtLog(this, event);
        return true;
    case EVENT_READ_AT_LOG:
        if (host->claims != NULL && host->epoch == event->epoch) {
            ClaimsSimulation_OnReadAtLog(this, event);
        }
        return true;
    case EVENT_READ_TIMEOUT:
        if (host->epoch == event->epoch &&
            host->read_waiting[event->partition] &&
            host->read_id[event->partition] == event->id) {
            ClaimsSimulation_SendReadResult(this, event->host,
                                            event->partition);
        }
        return true;
    case EVENT_AT_UPSTREAM:
        on_upstream_arrival(this, event);
        return true;
    case EVENT_OUTAGE:
        this->outage = event->code != 0;
        for (uint32_t p = 0; p < this->options.claims.partitions; p++) {
            ClaimsSimulation_WakeReaders(this, p);
        }
        return true;
    case EVENT_CRASH:
        crash_host(this, event->host);
        return true;
    case EVENT_PAUSE:
        pause_host(this, host, event->duration);
        return true;
    case EVENT_RESTART:
        start_host(this, event->host);
        return true;
    default:
        return false;
    }
}

void
ClaimsSimulation_HandleEvent(void *user, uint64_t argument)
{
    Event *event = user;
    ClaimsSimulation *this = event->simulation;
    const Host *host = &this->hosts[event->host];
    Micros now = Clock_Now(this->clock);

    g_hash_table_steal(this->events, event);
    if (handle_outside_hosts(this, event)) {
        Event_Free(event);
        return;
    }
    if (host->claims == NULL ||
        (event->epoch != UINT64_MAX && event->epoch != host->epoch)) {
        Event_Free(event);
        return;
    }
    if (now < host->paused_until) {
        ClaimsSimulation_Schedule(event, host->paused_until - now);
        return;
    }
    handle_in_host(this, event);
    Event_Free(event);
}

ClaimsSimulation *
ClaimsSimulation_Create(const ClaimsSimulationOptions *options)
{
    ClaimsSimulation *this = g_new0(ClaimsSimulation, 1);

    this->options = *options;
    this->clock = Clock_CreateManual(MICROS_PER_S, WALL_START_US);
    this->queue = EventQueue_Create(this->clock);
    this->random = Random_Create(options->seed);
    this->history = OutcomeHistory_Create();
    this->dispatch_delays = Histogram_Create();
    this->events = g_hash_table_new_full(NULL, NULL, Event_Free, NULL);
    this->open_requests =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
    this->next_id = 1;
    for (uint32_t p = 0; p < options->claims.partitions; p++) {
        this->logs[p] = FakeLog_Create();
    }
    for (uint32_t i = 0; i < options->hosts; i++) {
        snprintf(this->hosts[i].name, HOST_NAME_BYTES, "entry-%u", i);
    }
    for (uint32_t i = 0; i < options->hosts; i++) {
        start_host(this, i);
    }
    return this;
}

void
ClaimsSimulation_Destroy(ClaimsSimulation *this)
{
    for (uint32_t i = 0; i < this->options.hosts; i++) {
        if (this->hosts[i].claims != NULL) {
            Claims_Destroy(this->hosts[i].claims);
        }
    }
    for (uint32_t p = 0; p < this->options.claims.partitions; p++) {
        FakeLog_Destroy(this->logs[p]);
    }
    g_hash_table_destroy(this->open_requests);
    g_hash_table_destroy(this->events);
    Histogram_Destroy(this->dispatch_delays);
    OutcomeHistory_Destroy(this->history);
    Random_Destroy(this->random);
    EventQueue_Destroy(this->queue);
    Clock_Destroy(this->clock);
    g_free(this);
}

void
ClaimsSimulation_Send(ClaimsSimulation *this, Micros delay, uint32_t host,
                      const SimulatedRequest *request)
{
    Event *event = ClaimsSimulation_NewEvent(this, EVENT_BEGIN, host);

    event->epoch = UINT64_MAX;
    event->request = *request;
    ClaimsSimulation_Schedule(event, delay);
}

bool
ClaimsSimulation_IssueKey(ClaimsSimulation *this, uint32_t host,
                          SimulatedRequest *request)
{
    uint64_t random[2] = {Random_Next(this->random),
                          Random_Next(this->random)};

    return this->hosts[host].claims != NULL &&
           Claims_IssueKey(this->hosts[host].claims, random, request->key) > 0;
}

void
ClaimsSimulation_MakeKey(ClaimsSimulation *this, Micros age,
                         SimulatedRequest *request)
{
    uint64_t random[2] = {Random_Next(this->random),
                          Random_Next(this->random)};
    uint64_t time_ms = (uint64_t)((Clock_Wall(this->clock) - age) / 1000);
    IdempotencyKey key =
        IdempotencyKey_Make(time_ms, random, (Str){NULL, 0}, 0);

    IdempotencyKey_Write(&key, request->key);
}

void
ClaimsSimulation_SetOutage(ClaimsSimulation *this, Micros delay, bool outage)
{
    Event *event = ClaimsSimulation_NewEvent(this, EVENT_OUTAGE, 0);

    event->code = outage;
    ClaimsSimulation_Schedule(event, delay);
}

void
ClaimsSimulation_Kill(ClaimsSimulation *this, Micros delay, uint32_t host)
{
    ClaimsSimulation_Schedule(
        ClaimsSimulation_NewEvent(this, EVENT_CRASH, host), delay);
}

void
ClaimsSimulation_Pause(ClaimsSimulation *this, Micros delay, uint32_t host,
                       Micros duration)
{
    Event *event = ClaimsSimulation_NewEvent(this, EVENT_PAUSE, host);

    event->duration = duration;
    ClaimsSimulation_Schedule(event, delay);
}

void
ClaimsSimulation_Run(ClaimsSimulation *this, Micros duration)
{
    EventQueue_RunUntil(this->queue, Clock_Now(this->clock) + duration);
}

const OutcomeHistory *
ClaimsSimulation_History(const ClaimsSimulation *this)
{
    return this->history;
}

ClaimsSimulationCounters
ClaimsSimulation_Counters(const ClaimsSimulation *this)
{
    ClaimsSimulationCounters total = this->counters;

    for (uint32_t i = 0; i < this->options.hosts; i++) {
        if (this->hosts[i].claims != NULL) {
            add_counters(&total, Claims_Counters(this->hosts[i].claims));
        }
    }
    return total;
}

const Histogram *
ClaimsSimulation_DispatchDelays(const ClaimsSimulation *this)
{
    return this->dispatch_delays;
}

void
ClaimsSimulation_ClearDispatchDelays(ClaimsSimulation *this)
{
    Histogram_Clear(this->dispatch_delays);
}

const Claims *
ClaimsSimulation_Host(const ClaimsSimulation *this, uint32_t host)
{
    return this->hosts[host].claims;
}
