#include "LimitsModel.h"

#include <glib.h>
#include <string.h>

#define SERVICE 0
#define FAST_EXCHANGE_INTERVAL_US (50 * MICROS_PER_MS)
#define SLOW_EXCHANGE_INTERVAL_US (500 * MICROS_PER_MS)
#define FAST_ITEMS_MAX 4
#define SLOW_ITEMS_MAX 40
#define EXCHANGE_PEER_COUNT 2
#define LATE_REFUSAL_THRESHOLD_US (5 * MICROS_PER_MS)
#define BINS_MAX 4096
#define ATTEMPTS_MAX 3

typedef struct Request_ {
    uint64_t id;
    uint32_t line;
    uint32_t host;
    uint32_t caller;
    uint32_t upstream;
    uint32_t attempts;
    Micros arrived;
    Micros sent;
    Micros charge;
    Micros slot_time;
    uint32_t reported_load;
    bool measured;
} Request;

typedef struct Upstream_ {
    uint32_t load; /* running and waiting requests */
    uint32_t running;
    GQueue waiting;
} Upstream;

typedef struct Line_ {
    ModelLine load;
    bool has_arrivals;
    ModelStats stats;
    uint32_t bins[BINS_MAX];
} Line;

struct LimitsModel_ {
    ModelOptions options;
    Clock *clock;
    EventQueue *events;
    Random *random;
    Admission **hosts;
    Random **host_randoms;
    bool *timer_armed;
    GHashTable *queued; /* request id -> Request */
    Upstream *upstreams;
    Line lines[MODEL_MAX_LINES];
    Micros measured_from;
    uint64_t next_id;
    uint64_t items_sent;
};

static void run_fast_exchange(void *user, uint64_t host);
static void run_slow_exchange(void *user, uint64_t host);

static void
start_hosts(LimitsModel *this)
{
    for (uint32_t i = 0; i < this->options.hosts; i++) {
        AdmissionOptions options = {
            .mode = this->options.mode,
            .host = i,
            .hosts = this->options.hosts,
            .static_slots =
                (double)this->options.upstreams * this->options.slots,
        };

        this->host_randoms[i] =
            Random_Create(this->options.seed * 1000 + i + 1);
        this->hosts[i] =
            Admission_Create(&options, this->clock, this->host_randoms[i]);
        EventQueue_Add(
            this->events,
            (Micros)Random_Below(this->random, FAST_EXCHANGE_INTERVAL_US),
            run_fast_exchange, this, i);
        EventQueue_Add(
            this->events,
            (Micros)Random_Below(this->random, SLOW_EXCHANGE_INTERVAL_US),
            run_slow_exchange, this, i);
    }
}

LimitsModel *
LimitsModel_Create(const ModelOptions *options)
{
    LimitsModel *this = g_new0(LimitsModel, 1);

    this->options = *options;
    this->clock = Clock_CreateManual(MICROS_PER_S, 0);
    this->events = EventQueue_Create(this->clock);
    this->random = Random_Create(options->seed);
    this->hosts = g_new0(Admission *, options->hosts);
    this->host_randoms = g_new0(Random *, options->hosts);
    this->timer_armed = g_new0(bool, options->hosts);
    this->queued = g_hash_table_new(g_int64_hash, g_int64_equal);
    this->upstreams = g_new0(Upstream, options->upstreams);
    for (uint32_t i = 0; i < options->upstreams; i++) {
        g_queue_init(&this->upstreams[i].waiting);
    }
    for (uint32_t i = 0; i < MODEL_MAX_LINES; i++) {
        this->lines[i].stats.latency = Histogram_Create();
        this->lines[i].stats.decision = Histogram_Create();
        this->lines[i].stats.other_latency = Histogram_Create();
    }
    start_hosts(this);
    return this;
}

static uint64_t
random_peer(LimitsModel *this, uint64_t host)
{
    uint64_t peer = Random_Below(this->random, this->options.hosts - 1);

    return peer >= host ? peer + 1 : peer;
}

typedef struct Message_ {
    LimitsModel *model;
    Micros sent;
    size_t n;
    UsageItem items[SLOW_ITEMS_MAX];
} Message;

static void
deliver_message(void *user, uint64_t host)
{
    Message *message = user;
    Micros transit = Clock_Now(message->model->clock) - message->sent;

    for (size_t i = 0; i < message->n; i++) {
        message->items[i].age += transit;
        Admission_OnPeerUsage(message->model->hosts[host], &message->items[i]);
    }
    g_free(message);
}

static void
send_items(LimitsModel *this, uint64_t host, size_t max)
{
    UsageItem items[SLOW_ITEMS_MAX];
    size_t n = Admission_LocalUsage(this->hosts[host], items, max);

    if (n == 0 || this->options.hosts < 2) {
        return;
    }
    for (int i = 0; i < EXCHANGE_PEER_COUNT; i++) {
        uint64_t peer = random_peer(this, host);
        Message *message;

        this->items_sent += n;
        if (Random_Unit(this->random) < this->options.message_loss_ratio) {
            continue;
        }
        message = g_new(Message, 1);
        message->model = this;
        message->sent = Clock_Now(this->clock);
        message->n = n;
        memcpy(message->items, items, n * sizeof(items[0]));
        EventQueue_Add(this->events, this->options.one_way_delay,
                       deliver_message, message, peer);
    }
}

static void
run_fast_exchange(void *user, uint64_t host)
{
    LimitsModel *this = user;
    size_t items =
        this->options.items > 0 ? this->options.items : FAST_ITEMS_MAX;

    send_items(this, host, items);
    EventQueue_Add(this->events, FAST_EXCHANGE_INTERVAL_US, run_fast_exchange,
                   this, host);
}

static void
run_slow_exchange(void *user, uint64_t host)
{
    LimitsModel *this = user;

    send_items(this, host, SLOW_ITEMS_MAX);
    EventQueue_Add(this->events, SLOW_EXCHANGE_INTERVAL_US, run_slow_exchange,
                   this, host);
}

static void
free_request(gpointer data)
{
    g_free(data);
}

void
LimitsModel_Destroy(LimitsModel *this)
{
    GHashTableIter iter;
    gpointer request;

    /* Stops arrivals, timers and messages, and lets the requests in flight
     * end. */
    for (uint32_t i = 0; i < MODEL_MAX_LINES; i++) {
        this->lines[i].load.rate = 0;
    }
    this->options.message_loss_ratio = 1.0;
    EventQueue_RunUntil(this->events,
                        Clock_Now(this->clock) + 600 * MICROS_PER_S);
    g_hash_table_iter_init(&iter, this->queued);
    while (g_hash_table_iter_next(&iter, NULL, &request)) {
        free_request(request);
    }
    g_hash_table_destroy(this->queued);
    for (uint32_t i = 0; i < this->options.hosts; i++) {
        Admission_Destroy(this->hosts[i]);
        Random_Destroy(this->host_randoms[i]);
    }
    for (uint32_t i = 0; i < this->options.upstreams; i++) {
        g_queue_clear_full(&this->upstreams[i].waiting, free_request);
    }
    for (uint32_t i = 0; i < MODEL_MAX_LINES; i++) {
        Histogram_Destroy(this->lines[i].stats.latency);
        Histogram_Destroy(this->lines[i].stats.decision);
        Histogram_Destroy(this->lines[i].stats.other_latency);
    }
    g_free(this->upstreams);
    g_free(this->hosts);
    g_free(this->host_randoms);
    g_free(this->timer_armed);
    EventQueue_Destroy(this->events);
    Random_Destroy(this->random);
    Clock_Destroy(this->clock);
    g_free(this);
}

/* The less loaded of two random upstreams, by true load and without the one
 * that shed the request. */
static uint32_t
choose_upstream(LimitsModel *this, uint32_t tried)
{
    uint32_t n = this->options.upstreams;
    uint32_t a = (uint32_t)Random_Below(this->random, n);
    uint32_t b = (uint32_t)Random_Below(this->random, n);

    if (a == tried) {
        return b == tried ? (b + 1) % n : b;
    }
    if (b == tried) {
        return a;
    }
    return this->upstreams[b].load < this->upstreams[a].load ? b : a;
}

static void on_upstream_arrival(void *user, uint64_t request);

static void
dispatch(LimitsModel *this, Request *request)
{
    request->upstream = choose_upstream(
        this, request->attempts > 0 ? request->upstream : UINT32_MAX);
    request->attempts++;
    request->sent = Clock_Now(this->clock);
    this->upstreams[request->upstream].load++;
    EventQueue_Add(this->events, this->options.one_way_delay,
                   on_upstream_arrival, this, (uint64_t)(uintptr_t)request);
}

static ModelStats *
stats_of(LimitsModel *this, const Request *request)
{
    return &this->lines[request->line].stats;
}

static void
report_finish(LimitsModel *this, const Request *request,
              AdmissionOutcome outcome)
{
    AdmissionResult result = {
        .service = SERVICE,
        .line = request->line,
        .caller = request->caller,
        .cost = 1.0,
        .charge = outcome == ADMISSION_SHED ? 0 : request->charge,
        .in_flight_time = Clock_Now(this->clock) - request->sent,
        .outcome = outcome,
    };

    Admission_OnFinished(this->hosts[request->host], &result);
}

static void
count_good(LimitsModel *this, const Request *request)
{
    ModelStats *stats = stats_of(this, request);
    Micros now = Clock_Now(this->clock);
    Micros bin = (now - this->measured_from) / MODEL_BIN_US;

    if (bin >= 0 && bin < BINS_MAX) {
        this->lines[request->line].bins[bin]++;
    }
    if (!request->measured) {
        return;
    }
    stats->good++;
    stats->slot_time += (uint64_t)request->slot_time;
    Histogram_Add(stats->latency, now - request->arrived);
    stats->caller_good[request->caller > 0]++;
    if (request->caller > 0) {
        Histogram_Add(stats->other_latency, now - request->arrived);
    }
}

static void
receive_response(void *user, uint64_t argument)
{
    LimitsModel *this = user;
    Request *request = (Request *)(uintptr_t)argument;
    Micros now = Clock_Now(this->clock);

    if (!this->options.no_load_reports) {
        Admission_OnLoad(this->hosts[request->host], SERVICE,
                         request->reported_load, this->options.slots);
    }
    if (now <= request->arrived + this->options.deadline) {
        report_finish(this, request, ADMISSION_SERVED);
        count_good(this, request);
    }
    else {
        report_finish(this, request, ADMISSION_FAILED);
        if (request->measured) {
            stats_of(this, request)->wasted_slot_time +=
                (uint64_t)request->slot_time;
        }
    }
    g_free(request);
}

static void on_completion(void *user, uint64_t argument);

static void
run_request(LimitsModel *this, Upstream *upstream, Request *request)
{
    double cost = this->lines[request->line].load.cost;
    double mean = (double)this->options.service_time * (cost > 0 ? cost : 1.0);

    upstream->running++;
    request->slot_time = (Micros)Random_Exponential(this->random, mean);
    EventQueue_Add(this->events, request->slot_time, on_completion, this,
                   (uint64_t)(uintptr_t)request);
}

/* A request is cancelled at its deadline; it is then dropped before it
 * runs. */
static void
run_next(LimitsModel *this, Upstream *upstream)
{
    while (upstream->running < this->options.slots &&
           upstream->waiting.length > 0) {
        Request *request = g_queue_pop_head(&upstream->waiting);

        if (Clock_Now(this->clock) >
            request->arrived + this->options.deadline) {
            upstream->load--;
            report_finish(this, request, ADMISSION_FAILED);
            g_free(request);
            continue;
        }
        run_request(this, upstream, request);
    }
}

static void
on_completion(void *user, uint64_t argument)
{
    LimitsModel *this = user;
    Request *request = (Request *)(uintptr_t)argument;
    Upstream *upstream = &this->upstreams[request->upstream];

    upstream->running--;
    upstream->load--;
    run_next(this, upstream);
    request->reported_load = upstream->load;
    EventQueue_Add(this->events, this->options.one_way_delay, receive_response,
                   this, argument);
}

static void
receive_shed(void *user, uint64_t argument)
{
    LimitsModel *this = user;
    Request *request = (Request *)(uintptr_t)argument;

    report_finish(this, request, ADMISSION_SHED);
    if (request->attempts < ATTEMPTS_MAX) {
        dispatch(this, request);
        return;
    }
    request->sent = Clock_Now(this->clock);
    report_finish(this, request, ADMISSION_NOT_SENT);
    if (request->measured) {
        stats_of(this, request)->refused++;
    }
    g_free(request);
}

static void
on_upstream_arrival(void *user, uint64_t argument)
{
    LimitsModel *this = user;
    Request *request = (Request *)(uintptr_t)argument;
    Upstream *upstream = &this->upstreams[request->upstream];

    if (upstream->running < this->options.slots) {
        run_request(this, upstream, request);
        return;
    }
    if (upstream->waiting.length < this->options.queue) {
        g_queue_push_tail(&upstream->waiting, request);
        return;
    }
    upstream->load--;
    EventQueue_Add(this->events, this->options.one_way_delay, receive_shed,
                   this, argument);
}

static void
count_refusal(LimitsModel *this, const Request *request)
{
    ModelStats *stats = stats_of(this, request);
    Micros time = Clock_Now(this->clock) - request->arrived;

    if (request->measured) {
        stats->refused++;
        stats->late_refusals += time > LATE_REFUSAL_THRESHOLD_US;
        Histogram_Add(stats->decision, time);
    }
}

static void
apply_verdict(LimitsModel *this, Request *request,
              const AdmissionVerdict *verdict)
{
    switch (verdict->decision) {
    case ADMISSION_ADMIT:
        request->charge = verdict->charge;
        dispatch(this, request);
        break;
    case ADMISSION_QUEUE:
        g_hash_table_insert(this->queued, &request->id, request);
        break;
    case ADMISSION_REFUSE:
        count_refusal(this, request);
        g_free(request);
        break;
    }
}

static void on_queue_timer(void *user, uint64_t host);

static void
set_timer(LimitsModel *this, uint64_t host)
{
    Micros next = Admission_NextTime(this->hosts[host], SERVICE);

    if (next >= 0 && !this->timer_armed[host]) {
        this->timer_armed[host] = true;
        EventQueue_Add(this->events, MAX(next - Clock_Now(this->clock), 100),
                       on_queue_timer, this, host);
    }
}

static void
on_queue_timer(void *user, uint64_t host)
{
    LimitsModel *this = user;
    AdmissionVerdict verdict;

    this->timer_armed[host] = false;
    while (Admission_Next(this->hosts[host], SERVICE, &verdict)) {
        Request *request =
            g_hash_table_lookup(this->queued, &verdict.request_id);

        g_hash_table_remove(this->queued, &verdict.request_id);
        apply_verdict(this, request, &verdict);
    }
    set_timer(this, host);
}

static Request *
new_request(LimitsModel *this, uint32_t line)
{
    const ModelLine *load = &this->lines[line].load;
    Request *request = g_new0(Request, 1);
    uint32_t callers = MAX(load->callers, 1);
    double flood_factor = load->flood_factor > 1 ? load->flood_factor : 1;
    double pick = Random_Unit(this->random) * (callers - 1 + flood_factor);
    uint32_t hosts = load->hosts > 0 ? load->hosts : this->options.hosts;

    request->id = this->next_id++;
    request->line = line;
    request->caller =
        pick < flood_factor ? 0 : 1 + (uint32_t)(pick - flood_factor);
    request->caller = MIN(request->caller, callers - 1);
    request->host = load->sticky ? request->caller % hosts
                                 : (uint32_t)Random_Below(this->random, hosts);
    request->arrived = Clock_Now(this->clock);
    request->measured = request->arrived >= this->measured_from;
    return request;
}

static void
offer_request(LimitsModel *this, Request *request)
{
    AdmissionRequest offered = {
        .service = SERVICE,
        .line = request->line,
        .caller = request->caller,
        .request_id = request->id,
        .deadline = request->arrived + this->options.deadline,
        .cost = 1.0,
    };
    ModelStats *stats = stats_of(this, request);
    uint32_t host = request->host;
    AdmissionVerdict verdict;

    stats->offered++;
    stats->caller_offered[request->caller > 0]++;
    verdict = Admission_Offer(this->hosts[host], &offered);
    apply_verdict(this, request, &verdict);
    set_timer(this, host);
}

static void
on_arrival(void *user, uint64_t line)
{
    LimitsModel *this = user;
    double rate = this->lines[line].load.rate;

    if (rate <= 0) {
        this->lines[line].has_arrivals = false;
        return;
    }
    EventQueue_Add(
        this->events,
        (Micros)Random_Exponential(this->random, (double)MICROS_PER_S / rate),
        on_arrival, this, line);
    offer_request(this, new_request(this, (uint32_t)line));
}

void
LimitsModel_SetLine(LimitsModel *this, uint32_t line, const ModelLine *load)
{
    bool known = this->lines[line].load.weight > 0;

    for (uint32_t i = 0; i < this->options.hosts && !known; i++) {
        Admission_SetLine(this->hosts[i], SERVICE, line, load->weight);
    }
    this->lines[line].load = *load;
    if (!this->lines[line].has_arrivals && load->rate > 0) {
        this->lines[line].has_arrivals = true;
        EventQueue_Add(this->events, 0, on_arrival, this, line);
    }
}

void
LimitsModel_Run(LimitsModel *this, Micros duration)
{
    EventQueue_RunUntil(this->events, Clock_Now(this->clock) + duration);
}

void
LimitsModel_ResetStats(LimitsModel *this)
{
    this->measured_from = Clock_Now(this->clock);
    this->items_sent = 0;
    for (uint32_t i = 0; i < MODEL_MAX_LINES; i++) {
        ModelStats *stats = &this->lines[i].stats;
        ModelStats empty = {.latency = stats->latency,
                            .decision = stats->decision,
                            .other_latency = stats->other_latency};

        *stats = empty;
        Histogram_Clear(stats->latency);
        Histogram_Clear(stats->decision);
        Histogram_Clear(stats->other_latency);
        memset(this->lines[i].bins, 0, sizeof(this->lines[i].bins));
    }
}

const ModelStats *
LimitsModel_Stats(const LimitsModel *this, uint32_t line)
{
    return &this->lines[line].stats;
}

uint32_t
LimitsModel_GoodputBin(const LimitsModel *this, uint32_t line, uint32_t i)
{
    return this->lines[line].bins[i];
}

uint64_t
LimitsModel_ItemsSent(const LimitsModel *this)
{
    return this->items_sent;
}

double
LimitsModel_Capacity(const LimitsModel *this)
{
    return (double)this->options.upstreams * this->options.slots *
           (double)MICROS_PER_S / (double)this->options.service_time;
}
