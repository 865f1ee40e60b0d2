#include "NoticeSimulation.h"

#include <glib.h>
#include <string.h>

#include "Dispatcher.h"
#include "EventQueue.h"
#include "GatewayFixture.h"
#include "NoticeReader.h"

#define NETWORK_DELAY_US (1 * MICROS_PER_MS)
#define TICK_US (5 * MICROS_PER_MS)
#define OBJECTIVE_US (300 * MICROS_PER_MS)
#define ROUTE_TIMEOUT_US (1000 * MICROS_PER_MS)
#define HOST_DOWN_US (500 * MICROS_PER_MS)
#define RETURN_DELAY_US (200 * MICROS_PER_MS)
#define WORK_TIME_US (60 * MICROS_PER_MS)
#define SLOT_COUNT 6
#define FIRST_NOTICE_US (2 * MICROS_PER_S)
#define NOTICE_SPREAD_US (6 * MICROS_PER_S)
#define RULE_LEAVING_US (2 * MICROS_PER_S)
#define RULE_PAUSE_US (500 * MICROS_PER_MS)
#define RULE_PAUSE_COUNT 2
#define PAUSE_MIN_US (300 * MICROS_PER_MS)
#define PAUSE_SPREAD_US (3 * MICROS_PER_S)
#define PRESSED_TIME_US (1500 * MICROS_PER_MS)
#define FREE_TIME_US (2 * MICROS_PER_S)
#define PATH "/safe/x"
#define ATTEMPT_ID STR("r")
#define NEVER (-1)

typedef struct Simulation_ Simulation;

/* A pause that an upstream has asked a host for. */
typedef struct Pause_ {
    Micros from; /* the rule applies from then on */
    Micros to;
    unsigned arrivals;
} Pause;

/* What the rules hold against a host, for one upstream. */
typedef struct Told_ {
    Micros leaving_at;   /* it passed on that the upstream leaves, or NEVER */
    GArray *pauses;      /* Pause */
    Micros paused_until; /* as the host knows */
} Told;

typedef struct Host_ {
    Simulation *simulation;
    Dispatcher *dispatcher; /* NULL while it is down */
    NoticeReader *reader;
    GHashTable *requests; /* set of open Request */
    Told *told;           /* by upstream */
    char *id;
    uint32_t start_count;
} Host;

typedef struct Upstream_ {
    char *id;
    int64_t life;
    int64_t started; /* milliseconds by the clock of the simulation */
    uint64_t sequence;
    unsigned running;
    bool leaving;
    bool malformed;
    bool pausing; /* at times */
    bool pressed; /* turns requests away now */
} Upstream;

/* One attempt of a caller. */
typedef struct Request_ {
    Host *host;
    Job *job;
    struct Attempt_ *attempt;
    Micros arrived;
    bool sent;
} Request;

/* A request that was sent to an upstream. */
typedef struct Attempt_ {
    Request *request; /* NULL once the host does not wait for it */
    Simulation *simulation;
    Upstream *upstream;
    int64_t life;
    int status;
    Micros pause;
    LoadReport report;
    HeaderList *headers;
} Attempt;

typedef struct Probe_ {
    Host *host;
    uint32_t start_count;
    uint32_t index; /* of the upstream at the host */
    Upstream *upstream;
    int status;
    Micros pause;
    LoadReport report;
    HeaderList *headers;
} Probe;

struct Simulation_ {
    NoticeOptions options;
    NoticeResult result;
    Clock *clock;
    Random *random;
    Counters *counters;
    EventQueue *events;
    RouteTable *routes;
    Host *hosts;
    Upstream *upstreams;
    GPtrArray *owned; /* Attempt and Probe of the run */
    GPtrArray *headers;
};

static void handle_actions(Host *host);

static gpointer
create_owned(Simulation *sim, size_t size)
{
    gpointer object = g_malloc0(size);

    g_ptr_array_add(sim->owned, object);
    return object;
}

static Micros
now(const Simulation *sim)
{
    return Clock_Now(sim->clock);
}

/* ---- callers --------------------------------------------------------- */

static void
free_request(Request *request)
{
    if (request->attempt != NULL) {
        request->attempt->request = NULL;
    }
    g_hash_table_remove(request->host->requests, request);
    g_free(request);
}

static void
submit(Simulation *sim)
{
    Host *host =
        &sim->hosts[Random_Below(sim->random, sim->options.host_count)];
    JobInfo info = {.id = ATTEMPT_ID,
                    .method = STR("GET"),
                    .host = GATEWAY_FIXTURE_HOST,
                    .path = STR(PATH),
                    .timeout = ROUTE_TIMEOUT_US};
    Request *request;
    Job *job;

    if (host->dispatcher == NULL) {
        return; /* the caller can't connect */
    }
    sim->result.requests++;
    request = g_new0(Request, 1);
    request->host = host;
    request->arrived = now(sim);
    g_hash_table_add(host->requests, request);
    job = Dispatcher_Submit(host->dispatcher, &info, request);
    if (job != NULL) {
        request->job = job;
    }
    handle_actions(host);
}

static void
offer(void *user, uint64_t argument)
{
    Simulation *sim = user;

    submit(sim);
    EventQueue_Add(
        sim->events,
        1 + (Micros)Random_Exponential(
                sim->random, MICROS_PER_S / sim->options.requests_per_s),
        offer, sim, 0);
}

/* ---- upstreams ------------------------------------------------------- */

static LoadReport
report_of(const Upstream *upstream)
{
    return (LoadReport){.inflight = MIN(upstream->running, SLOT_COUNT),
                        .queue = upstream->running -
                                 MIN(upstream->running, SLOT_COUNT),
                        .slots = SLOT_COUNT,
                        .slowdown_percent = 100};
}

static void
add_malformed(Simulation *sim, HeaderList *headers)
{
    static const char *const values[] = {"yes", "1, 1", "",    "-1",
                                         "1e0", "01",   "true"};
    size_t i = Random_Below(sim->random, G_N_ELEMENTS(values) + 2);
    g_autofree char *longest = g_strnfill(8000, '1');

    if (i < G_N_ELEMENTS(values)) {
        HeaderList_Add(headers, STR("server-leaving"), Str_FromC(values[i]));
    }
    else if (i == G_N_ELEMENTS(values)) {
        HeaderList_Add(headers, STR("server-leaving"), Str_FromC(longest));
    }
    else {
        HeaderList_Add(headers, STR("server-leaving"), STR("1"));
        HeaderList_Add(headers, STR("server-leaving"), STR("0"));
    }
}

static void
add_pause(Simulation *sim, HeaderList *headers, Micros pause)
{
    static const char *const values[] = {"Fri, 04 Dec 2026 10:00:00 GMT",
                                         "-3",
                                         "inf",
                                         "nan",
                                         "1e3",
                                         "2, 5",
                                         "",
                                         "1.5s",
                                         "+4",
                                         "0x10"};
    char text[32];

    g_snprintf(text, sizeof(text), "%.3f", (double)pause / MICROS_PER_S);
    HeaderList_Add(
        headers, STR("retry-after"),
        Str_FromC(sim->options.malformed_pauses
                      ? values[Random_Below(sim->random, G_N_ELEMENTS(values))]
                      : text));
}

/* Returns the pause that a pressed upstream asks for, in milliseconds. */
static Micros
draw_pause(Simulation *sim)
{
    Micros pause =
        PAUSE_MIN_US + (Micros)Random_Below(sim->random, PAUSE_SPREAD_US);

    return pause - pause % MICROS_PER_MS;
}

static HeaderList *
headers_of(Simulation *sim, const Upstream *upstream)
{
    HeaderList *headers = HeaderList_Create();

    g_ptr_array_add(sim->headers, headers);
    HeaderList_Add(headers, sim->options.dialect->attempt_id, ATTEMPT_ID);
    if (upstream->leaving) {
        HeaderList_Add(headers, STR("server-leaving"), STR("1"));
    }
    if (upstream->malformed) {
        add_malformed(sim, headers);
    }
    return headers;
}

static Told *
told_of(const Host *host, const Upstream *upstream)
{
    return &host->told[upstream - host->simulation->upstreams];
}

/* Counts an arrival in each pause that it falls into. */
static void
judge_pauses(const Host *host, const Upstream *upstream)
{
    const Simulation *sim = host->simulation;
    GArray *pauses = told_of(host, upstream)->pauses;
    bool early = false;

    for (guint i = 0; i < pauses->len; i++) {
        Pause *pause = &g_array_index(pauses, Pause, i);

        if (now(sim) >= pause->from && now(sim) < pause->to &&
            ++pause->arrivals > RULE_PAUSE_COUNT) {
            early = true;
        }
    }
    host->simulation->result.early_sends += early;
}

static void
start_pause(Simulation *sim, Host *host, const Upstream *upstream, Micros time)
{
    Pause pause = {now(sim) + RULE_PAUSE_US, now(sim) + time, 0};

    sim->result.pauses++;
    if (!sim->options.malformed_pauses) {
        g_array_append_val(told_of(host, upstream)->pauses, pause);
    }
}

static void
judge_arrival(const Host *host, const Upstream *upstream,
              const Request *request)
{
    NoticeResult *result = &host->simulation->result;
    const Told *told = told_of(host, upstream);

    judge_pauses(host, upstream);
    result->reborn_arrivals += upstream->life > 1;
    result->malformed_arrivals += upstream->malformed;
    if (told->leaving_at != NEVER && request != NULL &&
        request->arrived > told->leaving_at + RULE_LEAVING_US) {
        result->late_arrivals++;
    }
}

static void
deliver_end(void *user, uint64_t argument)
{
    Attempt *attempt = user;
    Simulation *sim = attempt->simulation;
    Request *request = attempt->request;
    AttemptEndInfo end = {.result = ATTEMPT_RESULT_RESPONSE,
                          .status = attempt->status,
                          .report = &attempt->report,
                          .limit = {.kind = LIMIT_UNKNOWN}};
    UpstreamNotice notice;
    Host *host;
    Told *told;

    if (request == NULL) {
        return;
    }
    host = request->host;
    attempt->request = NULL;
    request->attempt = NULL;
    told = told_of(host, attempt->upstream);
    told->paused_until = MAX(told->paused_until, now(sim) + attempt->pause);
    if (attempt->status == 503) {
        end.result = ATTEMPT_RESULT_NOT_RUN;
    }
    if (attempt->life != attempt->upstream->life) {
        end.result = ATTEMPT_RESULT_BROKEN;
    }
    else if (!sim->options.unread) {
        notice =
            NoticeReader_Read(host->reader, attempt->status, attempt->headers);
        Dispatcher_OnNotice(host->dispatcher, request->job, &notice);
    }
    if (GatewayFixture_EndAttempt(host->dispatcher, request->job, &end) ==
        JOB_RELAY) {
        sim->result.served++;
        if (told->leaving_at == NEVER && attempt->upstream->leaving &&
            HeaderList_Has(attempt->headers, STR("server-leaving"))) {
            told->leaving_at = now(sim);
            sim->result.told++;
        }
        free_request(request);
    }
    handle_actions(host);
}

static void
end_work(void *user, uint64_t argument)
{
    Attempt *attempt = user;
    Upstream *upstream = attempt->upstream;

    if (attempt->life == upstream->life) {
        upstream->running--;
    }
    attempt->simulation->result.pausing_arrivals += upstream->pausing;
    attempt->status = 200;
    attempt->report = report_of(upstream);
    attempt->headers = headers_of(attempt->simulation, upstream);
    EventQueue_Add(attempt->simulation->events, NETWORK_DELAY_US, deliver_end,
                   attempt, 0);
}

static void
turn_away(Attempt *attempt, Host *host)
{
    Simulation *sim = attempt->simulation;

    attempt->status = 503;
    attempt->pause = draw_pause(sim);
    attempt->report = report_of(attempt->upstream);
    attempt->headers = headers_of(sim, attempt->upstream);
    add_pause(sim, attempt->headers, attempt->pause);
    start_pause(sim, host, attempt->upstream, attempt->pause);
    EventQueue_Add(sim->events, NETWORK_DELAY_US, deliver_end, attempt, 0);
}

static void
receive_attempt(void *user, uint64_t host)
{
    Attempt *attempt = user;
    Simulation *sim = attempt->simulation;

    /* The connection ended with the incarnation that it was opened to. */
    if (attempt->life != attempt->upstream->life) {
        EventQueue_Add(sim->events, NETWORK_DELAY_US, deliver_end, attempt, 0);
        return;
    }
    judge_arrival(&sim->hosts[host], attempt->upstream, attempt->request);
    if (attempt->upstream->pressed) {
        turn_away(attempt, &sim->hosts[host]);
        return;
    }
    attempt->upstream->running++;
    EventQueue_Add(sim->events, Random_Jitter(sim->random, WORK_TIME_US),
                   end_work, attempt, 0);
}

static void
deliver_probe_end(void *user, uint64_t argument)
{
    Probe *probe = user;
    Host *host = probe->host;

    Told *told = told_of(host, probe->upstream);

    if (host->dispatcher == NULL || host->start_count != probe->start_count) {
        return;
    }
    told->paused_until =
        MAX(told->paused_until, now(host->simulation) + probe->pause);
    if (!host->simulation->options.unread &&
        !host->simulation->options.silent_probes) {
        UpstreamNotice notice =
            NoticeReader_Read(host->reader, probe->status, probe->headers);

        Dispatcher_OnProbeNotice(host->dispatcher, probe->index, &notice);
    }
    Dispatcher_OnProbeResult(host->dispatcher, probe->index, PROBE_ANSWERED,
                             &probe->report);
    handle_actions(host);
}

/* ---- actions of hosts ------------------------------------------------ */

static void
receive_probe(void *user, uint64_t argument)
{
    Probe *probe = user;
    Simulation *sim = probe->host->simulation;

    judge_pauses(probe->host, probe->upstream);
    probe->report = report_of(probe->upstream);
    probe->headers = headers_of(sim, probe->upstream);
    probe->status = 200;
    if (probe->upstream->pressed && !sim->options.silent_probes) {
        probe->status = 503;
        probe->pause = draw_pause(sim);
        add_pause(sim, probe->headers, probe->pause);
        start_pause(sim, probe->host, probe->upstream, probe->pause);
    }
    EventQueue_Add(sim->events, NETWORK_DELAY_US, deliver_probe_end, probe, 0);
}

static void
start_probe(Host *host, const DispatchAction *action)
{
    Simulation *sim = host->simulation;
    Probe *probe = create_owned(sim, sizeof(Probe));

    probe->host = host;
    probe->start_count = host->start_count;
    probe->index = action->probe.upstream;
    probe->upstream = &sim->upstreams[action->probe.port - 1];
    EventQueue_Add(sim->events, NETWORK_DELAY_US, receive_probe, probe, 0);
}

static void
send_attempt(Host *host, const DispatchAction *action)
{
    Simulation *sim = host->simulation;
    Request *request = action->user;
    Attempt *attempt = create_owned(sim, sizeof(Attempt));

    sim->result.resent += request->sent;
    request->sent = true;
    request->job = action->job;
    request->attempt = attempt;
    attempt->request = request;
    attempt->simulation = sim;
    attempt->upstream = &sim->upstreams[action->send.port - 1];
    attempt->life = attempt->upstream->life;
    EventQueue_Add(sim->events, NETWORK_DELAY_US, receive_attempt, attempt,
                   (uint64_t)(host - sim->hosts));
}

static void
judge_refusal(const Host *host, const DispatchAction *action)
{
    Simulation *sim = host->simulation;
    const Request *request = action->user;
    Micros until = host->told[0].paused_until;

    sim->result.refused++;
    if (strcmp(action->respond.reason, "upstream-pauses") != 0) {
        return;
    }
    for (unsigned i = 1; i < sim->options.upstream_count; i++) {
        until = MIN(until, host->told[i].paused_until);
    }
    sim->result.pause_refusals++;
    sim->result.early_returns +=
        now(sim) + action->respond.retry_after < until;
    sim->result.held_longest =
        MAX(sim->result.held_longest, now(sim) - request->arrived);
}

static void
handle_actions(Host *host)
{
    DispatchAction action;
    Request *request;

    while (Dispatcher_NextAction(host->dispatcher, &action)) {
        request = action.user;
        switch (action.kind) {
        case DISPATCH_PROBE:
            start_probe(host, &action);
            break;
        case DISPATCH_SEND:
            send_attempt(host, &action);
            break;
        case DISPATCH_FORWARD:
        case DISPATCH_ASK:
        case DISPATCH_GRANT:
        case DISPATCH_ABORT:
            g_assert_not_reached();
        case DISPATCH_CANCEL:
            host->simulation->result.cut_short++;
            if (request->attempt != NULL) {
                request->attempt->request = NULL;
                request->attempt = NULL;
            }
            break;
        case DISPATCH_RESPOND:
            judge_refusal(host, &action);
            free_request(request);
            break;
        }
    }
}

static void
tick(void *user, uint64_t argument)
{
    Simulation *sim = user;

    for (unsigned i = 0; i < sim->options.host_count; i++) {
        if (sim->hosts[i].dispatcher != NULL) {
            Dispatcher_OnTime(sim->hosts[i].dispatcher);
            handle_actions(&sim->hosts[i]);
        }
    }
    EventQueue_Add(sim->events, TICK_US, tick, sim, 0);
}

/* ---- lives of hosts and upstreams ------------------------------------ */

static UpstreamEntry
entry_of(const Simulation *sim, const Upstream *upstream)
{
    UpstreamEntry entry = GatewayFixture_Upstream(
        upstream->id, (uint16_t)(upstream - sim->upstreams + 1), SLOT_COUNT);

    entry.started = upstream->started;
    entry.sequence = upstream->sequence;
    return entry;
}

static void
forget_told(Told *told)
{
    told->leaving_at = NEVER;
    told->paused_until = 0;
    g_array_set_size(told->pauses, 0);
}

static void
start_host(void *user, uint64_t index)
{
    Simulation *sim = user;
    Host *host = &sim->hosts[index];
    DispatcherOptions options = {
        .host = Str_FromC(host->id),
        .domain = STR("a"),
        .retry_window = 10 * MICROS_PER_S,
        .retry_share = 0.2,
        .retry_extra = 0.3,
        .probes_per_s = 60,
    };

    host->start_count++;
    host->dispatcher = Dispatcher_Create(&options, sim->clock, sim->random,
                                         NULL, NULL, sim->counters);
    Dispatcher_SetRoutes(host->dispatcher, sim->routes);
    for (unsigned i = 0; i < sim->options.upstream_count; i++) {
        UpstreamEntry entry = entry_of(sim, &sim->upstreams[i]);

        Dispatcher_PutUpstream(host->dispatcher, &entry);
        forget_told(&host->told[i]);
    }
}

static void
stop_host(Host *host)
{
    GList *requests = g_hash_table_get_keys(host->requests);

    Dispatcher_Destroy(host->dispatcher);
    host->dispatcher = NULL;
    for (GList *item = requests; item != NULL; item = item->next) {
        free_request(item->data);
    }
    g_list_free(requests);
}

static void
restart_host(void *user, uint64_t argument)
{
    Simulation *sim = user;
    uint64_t index = Random_Below(sim->random, sim->options.host_count);

    if (sim->hosts[index].dispatcher != NULL) {
        stop_host(&sim->hosts[index]);
        EventQueue_Add(sim->events, HOST_DOWN_US, start_host, sim, index);
    }
    EventQueue_Add(
        sim->events,
        Random_Jitter(sim->random, sim->options.host_restart_interval),
        restart_host, sim, 0);
}

static void
publish_to(Host *host, const Upstream *upstream, bool listed)
{
    UpstreamEntry entry = entry_of(host->simulation, upstream);

    if (host->dispatcher == NULL) {
        return;
    }
    if (listed) {
        Dispatcher_PutUpstream(host->dispatcher, &entry);
    }
    else {
        Dispatcher_RemoveUpstream(host->dispatcher, entry.id);
    }
    handle_actions(host);
}

static void
publish(Simulation *sim, const Upstream *upstream, bool listed)
{
    for (unsigned i = 0; i < sim->options.host_count; i++) {
        publish_to(&sim->hosts[i], upstream, listed);
    }
}

static void
read_entry(void *user, uint64_t index)
{
    Host *host = user;

    publish_to(host, &host->simulation->upstreams[index], true);
}

/* Each host reads the entry at another time. */
static void
publish_late(Simulation *sim, uint64_t index)
{
    for (unsigned i = 0; i < sim->options.host_count; i++) {
        EventQueue_Add(sim->events,
                       1 + (Micros)Random_Below(
                               sim->random, (uint64_t)sim->options.entry_lag),
                       read_entry, &sim->hosts[i], index);
    }
}

static void start_leaving(void *user, uint64_t index);

static void
relist(void *user, uint64_t index)
{
    Simulation *sim = user;

    publish(sim, &sim->upstreams[index], true);
}

static void
change_entry(void *user, uint64_t argument)
{
    Simulation *sim = user;
    uint64_t index = Random_Below(sim->random, sim->options.upstream_count);

    sim->upstreams[index].sequence++;
    if (Random_Below(sim->random, 2) == 0) {
        publish(sim, &sim->upstreams[index], false);
        EventQueue_Add(sim->events, RETURN_DELAY_US, relist, sim, index);
    }
    else {
        publish(sim, &sim->upstreams[index], true);
    }
    EventQueue_Add(sim->events,
                   Random_Jitter(sim->random, sim->options.entry_interval),
                   change_entry, sim, 0);
}

static void
restart_upstream(void *user, uint64_t index)
{
    Simulation *sim = user;
    Upstream *upstream = &sim->upstreams[index];

    upstream->life++;
    upstream->started = Clock_Wall(sim->clock) / MICROS_PER_MS;
    upstream->sequence = 1;
    upstream->running = 0;
    upstream->leaving = false;
    for (unsigned i = 0; i < sim->options.host_count; i++) {
        forget_told(told_of(&sim->hosts[i], upstream));
    }
    if (sim->options.return_time > 0) {
        EventQueue_Add(sim->events, sim->options.return_time, start_leaving,
                       sim, index);
    }
    if (sim->options.entry_lag > 0) {
        publish_late(sim, index);
    }
    else {
        publish(sim, upstream, true);
    }
}

static void
start_leaving(void *user, uint64_t index)
{
    Simulation *sim = user;

    sim->upstreams[index].leaving = true;
    if (sim->options.life_time > 0) {
        EventQueue_Add(sim->events, sim->options.life_time, restart_upstream,
                       sim, index);
    }
}

static void
change_pressed(void *user, uint64_t index)
{
    Simulation *sim = user;
    uint64_t end =
        sim->options.pausing_at_once ? sim->options.pausing_count : index + 1;
    bool pressed = !sim->upstreams[index].pressed;

    for (uint64_t i = index; i < end; i++) {
        sim->upstreams[i].pressed = pressed;
    }
    EventQueue_Add(
        sim->events,
        Random_Jitter(sim->random, pressed ? PRESSED_TIME_US : FREE_TIME_US),
        change_pressed, sim, index);
}

/* ---- runs ------------------------------------------------------------ */

static RouteTable *
create_routes(void)
{
    CallerLimits limits = {0};
    RouteTable *table = RouteTable_Create(1, &limits);

    RouteTable_AddService(table, GATEWAY_FIXTURE_SERVICE, STR("/load"));
    GatewayFixture_AddRoute(table, "/safe/", ROUTE_IDEMPOTENT, 2, OBJECTIVE_US,
                            ROUTE_TIMEOUT_US);
    return table;
}

static Simulation *
create_simulation(const NoticeOptions *options)
{
    Simulation *sim = g_new0(Simulation, 1);

    sim->options = *options;
    sim->clock = Clock_CreateManual(MICROS_PER_S, 0);
    sim->random = Random_Create(options->seed);
    sim->counters = Counters_Create(1000);
    sim->events = EventQueue_Create(sim->clock);
    sim->routes = create_routes();
    sim->owned = g_ptr_array_new_with_free_func(g_free);
    sim->headers =
        g_ptr_array_new_with_free_func((GDestroyNotify)HeaderList_Destroy);
    sim->hosts = g_new0(Host, options->host_count);
    sim->upstreams = g_new0(Upstream, options->upstream_count);
    for (unsigned i = 0; i < options->upstream_count; i++) {
        sim->upstreams[i] = (Upstream){
            .id = g_strdup_printf("u-%u", i),
            .life = 1,
            .started = 1,
            .sequence = 1,
            .malformed = i >= options->leaving_count &&
                         i < options->leaving_count + options->malformed_count,
            .pausing = i < options->pausing_count,
        };
    }
    for (unsigned i = 0; i < options->host_count; i++) {
        Host *host = &sim->hosts[i];

        host->simulation = sim;
        host->id = g_strdup_printf("host-%u", i);
        host->requests = g_hash_table_new(NULL, NULL);
        host->told = g_new0(Told, options->upstream_count);
        for (unsigned k = 0; k < options->upstream_count; k++) {
            host->told[k].pauses = g_array_new(FALSE, FALSE, sizeof(Pause));
        }
        host->reader = NoticeReader_Create(options->dialect, sim->clock, NULL,
                                           sim->counters);
    }
    return sim;
}

static void
destroy_simulation(Simulation *sim)
{
    for (unsigned i = 0; i < sim->options.host_count; i++) {
        Host *host = &sim->hosts[i];

        if (host->dispatcher != NULL) {
            stop_host(host);
        }
        NoticeReader_Destroy(host->reader);
        g_hash_table_destroy(host->requests);
        for (unsigned k = 0; k < sim->options.upstream_count; k++) {
            g_array_free(host->told[k].pauses, TRUE);
        }
        g_free(host->told);
        g_free(host->id);
    }
    for (unsigned i = 0; i < sim->options.upstream_count; i++) {
        g_free(sim->upstreams[i].id);
    }
    g_ptr_array_free(sim->owned, TRUE);
    g_ptr_array_free(sim->headers, TRUE);
    g_free(sim->hosts);
    g_free(sim->upstreams);
    RouteTable_Unref(sim->routes);
    EventQueue_Destroy(sim->events);
    Counters_Destroy(sim->counters);
    Random_Destroy(sim->random);
    Clock_Destroy(sim->clock);
    g_free(sim);
}

static void
schedule_changes(Simulation *sim)
{
    const NoticeOptions *options = &sim->options;

    for (unsigned i = 0; i < options->leaving_count; i++) {
        Micros delay = FIRST_NOTICE_US;

        if (!options->leaving_at_once) {
            delay += (Micros)Random_Below(sim->random, NOTICE_SPREAD_US);
        }
        EventQueue_Add(sim->events, delay,
                       options->return_time > 0 ? restart_upstream
                                                : start_leaving,
                       sim, i);
    }
    for (unsigned i = 0; i < options->pausing_count; i++) {
        if (i == 0 || !options->pausing_at_once) {
            EventQueue_Add(sim->events,
                           Random_Jitter(sim->random, FIRST_NOTICE_US),
                           change_pressed, sim, i);
        }
    }
    if (options->entry_interval > 0) {
        EventQueue_Add(sim->events, FIRST_NOTICE_US, change_entry, sim, 0);
    }
    if (options->host_restart_interval > 0) {
        EventQueue_Add(sim->events, FIRST_NOTICE_US, restart_host, sim, 0);
    }
}

NoticeResult
NoticeSimulation_Run(const NoticeOptions *options)
{
    Simulation *sim = create_simulation(options);
    NoticeResult result;

    for (unsigned i = 0; i < options->host_count; i++) {
        start_host(sim, i);
    }
    EventQueue_Add(sim->events, 0, tick, sim, 0);
    EventQueue_Add(sim->events, 0, offer, sim, 0);
    schedule_changes(sim);
    EventQueue_RunUntil(sim->events, MICROS_PER_S + options->duration);
    result = sim->result;
    destroy_simulation(sim);
    return result;
}
