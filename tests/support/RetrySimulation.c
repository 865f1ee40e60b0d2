#include "RetrySimulation.h"

#include <glib.h>

#include "EventQueue.h"
#include "GatewayFixture.h"

#define NETWORK_DELAY_US (1 * MICROS_PER_MS)
#define FAILURE_DELAY_US (3 * MICROS_PER_MS)
#define TICK_US (5 * MICROS_PER_MS)
#define WORK_US (120 * MICROS_PER_MS)
#define OBJECTIVE_US (300 * MICROS_PER_MS)
#define TIMEOUT_US (1000 * MICROS_PER_MS)
#define HOST_DOWN_US (500 * MICROS_PER_MS)
#define HOSTS_MAX 1024
#define HOST_STEP 7 /* to the next host that a caller tries */
#define SERVICE_COUNT 2
#define SECOND_SERVICE_RATIO 0.3
#define RETRY_WINDOW_US (10 * MICROS_PER_S)
#define RETRY_RATIO 0.2
/* As in GatewayDaemon.c */
#define RETRY_BOUND_RATIO 0.95
#define FIXED_PART_HOSTS 200
/* As in HostRoster.c: hosts know one that joins after this time. */
#define LIST_INTERVAL_US (60 * MICROS_PER_S)
#define KNOWN_DELAY_US (66 * MICROS_PER_S)
#define UNLIMITED_SHARE 100.0

typedef struct Simulation_ Simulation;

typedef struct Host_ {
    Simulation *simulation;
    Dispatcher *dispatcher; /* NULL while it is down */
    GHashTable *requests;   /* set of open Request */
    uint32_t start_count;
    Micros paused_until;
} Host;

typedef struct Request_ {
    Host *host;
    Job *job;
    struct Attempt_ *attempt;
    uint64_t number;
    unsigned service;
    bool open; /* the caller waits */
} Request;

/* A request that was sent to an upstream. */
typedef struct Attempt_ {
    Request *request; /* NULL once the host does not wait for it */
    Simulation *simulation;
    uint64_t number;
    unsigned service; /* of the upstream */
    AttemptEndInfo end;
    bool resent;
} Attempt;

typedef struct Probe_ {
    Host *host;
    uint32_t start_count;
    uint32_t upstream;
} Probe;

struct Simulation_ {
    RetryOptions options;
    RetryResult result;
    Clock *clock;
    Random *random;
    Counters *counters;
    EventQueue *events;
    RouteTable *routes;
    RetryRule *rules[SERVICE_COUNT];
    Host hosts[HOSTS_MAX];
    unsigned host_count; /* with those that join */
    Str ids[HOSTS_MAX];
    GPtrArray *id_texts;
    GPtrArray *owned; /* Request, Attempt and Probe of the run */
};

static const LoadReport idle_report = {.slots = 4, .slowdown_percent = 100};

static void handle_actions(Host *host);

static gpointer
create_owned(Simulation *sim, size_t size)
{
    gpointer object = g_malloc0(size);

    g_ptr_array_add(sim->owned, object);
    return object;
}

/* Postpones an event of a paused host. */
static bool
postpone(const Host *host, EventHandler *handler, void *user,
         uint64_t argument)
{
    Simulation *sim = host->simulation;
    Micros wait = host->paused_until - Clock_Now(sim->clock);

    if (wait <= 0) {
        return false;
    }
    EventQueue_Add(sim->events, wait, handler, user, argument);
    return true;
}

/* ---- callers --------------------------------------------------------- */

static void
end_request(Request *request)
{
    if (request->attempt != NULL) {
        request->attempt->request = NULL;
        request->attempt = NULL;
    }
    request->open = false;
    request->job = NULL;
    g_hash_table_remove(request->host->requests, request);
}

static void
receive_request(void *user, uint64_t start_count)
{
    Request *request = user;
    Host *host = request->host;
    JobInfo info = {.id = STR("r"),
                    .method = STR("GET"),
                    .host = GATEWAY_FIXTURE_HOST,
                    .timeout = TIMEOUT_US};
    g_autofree char *path =
        g_strdup_printf("/%u/%" G_GUINT64_FORMAT,
                        host->simulation->options.split ? 0 : request->service,
                        request->number);
    Job *job;

    if (host->dispatcher == NULL || host->start_count != start_count ||
        postpone(host, receive_request, user, start_count)) {
        return;
    }
    info.path = Str_FromC(path);
    request->open = true;
    g_hash_table_add(host->requests, request);
    job = Dispatcher_Submit(host->dispatcher, &info, request);
    if (job != NULL) {
        request->job = job;
    }
    handle_actions(host);
}

static void
leave(void *user, uint64_t start_count)
{
    Request *request = user;
    Host *host = request->host;

    if (host->dispatcher == NULL || host->start_count != start_count ||
        postpone(host, leave, user, start_count) || !request->open) {
        return;
    }
    if (request->job != NULL) {
        Dispatcher_OnCallerDisconnect(host->dispatcher, request->job);
    }
    end_request(request);
    handle_actions(host);
}

static bool
is_load_paused(const Simulation *sim)
{
    Micros period = sim->options.load_time + sim->options.gap_time;

    return period > 0 &&
           Clock_Now(sim->clock) % period >= sim->options.load_time;
}

/* Callers of a host that is down go to another one. */
static Host *
choose_host(Simulation *sim)
{
    size_t first = Random_Below(sim->random, sim->host_count);

    for (unsigned i = 0; i < sim->host_count; i++) {
        Host *host = &sim->hosts[(first + i * HOST_STEP) % sim->host_count];

        if (host->dispatcher != NULL) {
            return host;
        }
    }
    return &sim->hosts[first];
}

static void
send_request(Simulation *sim)
{
    Host *host = choose_host(sim);
    Request *request = create_owned(sim, sizeof(Request));

    request->host = host;
    request->number = sim->result.requests++;
    request->service = sim->options.split
                           ? (unsigned)(request->number % SERVICE_COUNT)
                           : Random_Unit(sim->random) < SECOND_SERVICE_RATIO;
    RetryRule_OnRequest(sim->rules[request->service], Clock_Now(sim->clock));
    EventQueue_Add(sim->events, NETWORK_DELAY_US, receive_request, request,
                   host->start_count);
    EventQueue_Add(sim->events, TIMEOUT_US, leave, request, host->start_count);
}

static void
offer(void *user, uint64_t argument)
{
    Simulation *sim = user;
    double interval = MICROS_PER_S / sim->options.requests_per_s;

    if (!is_load_paused(sim)) {
        send_request(sim);
    }
    EventQueue_Add(sim->events,
                   1 + (Micros)Random_Exponential(sim->random, interval),
                   offer, sim, 0);
}

/* ---- upstreams ------------------------------------------------------- */

static void
deliver_end(void *user, uint64_t argument)
{
    Attempt *attempt = user;
    Request *request = attempt->request;
    Host *host;

    if (request == NULL ||
        postpone(request->host, deliver_end, user, argument)) {
        return;
    }
    host = request->host;
    attempt->request = NULL;
    request->attempt = NULL;
    if (GatewayFixture_EndAttempt(host->dispatcher, request->job,
                                  &attempt->end) == JOB_RELAY) {
        end_request(request);
    }
    handle_actions(host);
}

static bool
is_failing(Simulation *sim)
{
    Micros period = sim->options.fail_time + sim->options.calm_time;

    return period > 0 &&
           Clock_Now(sim->clock) % period < sim->options.fail_time &&
           Random_Unit(sim->random) < sim->options.fail_ratio;
}

/* Returns the time until the end, or -1 if there is none. */
static Micros
fail_attempt(Simulation *sim, AttemptEndInfo *end)
{
    RetryCause cause = sim->options.cause;

    if (cause == RETRY_CAUSE_MIXED) {
        cause = Random_Below(sim->random, RETRY_CAUSE_MIXED);
    }
    switch (cause) {
    case RETRY_CAUSE_REJECTED:
        end->result = ATTEMPT_RESULT_NOT_RUN;
        break;
    case RETRY_CAUSE_FAILED:
        end->result = ATTEMPT_RESULT_RESPONSE;
        end->status = 500;
        break;
    case RETRY_CAUSE_SILENT:
        return -1;
    case RETRY_CAUSE_BROKEN:
    case RETRY_CAUSE_MIXED:
        end->result = ATTEMPT_RESULT_BROKEN;
    }
    return FAILURE_DELAY_US;
}

static void
receive_attempt(void *user, uint64_t argument)
{
    Attempt *attempt = user;
    Simulation *sim = attempt->simulation;
    Micros time =
        WORK_US / 2 + (Micros)Random_Below(sim->random, (uint64_t)WORK_US);
    char id[24];

    g_snprintf(id, sizeof(id), "%" G_GUINT64_FORMAT, attempt->number);
    RetryRule_OnArrival(sim->rules[attempt->service], id,
                        Clock_Now(sim->clock));
    attempt->end = (AttemptEndInfo){.result = ATTEMPT_RESULT_RESPONSE,
                                    .status = 200,
                                    .report = &idle_report,
                                    .limit = {.kind = LIMIT_ABSENT}};
    if (is_failing(sim)) {
        time = fail_attempt(sim, &attempt->end);
    }
    if (sim->options.fault == RETRY_FAULT_UNCOUNTED && !attempt->resent &&
        attempt->end.result == ATTEMPT_RESULT_BROKEN) {
        attempt->resent = true;
        EventQueue_Add(sim->events, time, receive_attempt, attempt, 0);
        return;
    }
    if (time >= 0) {
        EventQueue_Add(sim->events, time, deliver_end, attempt, 0);
    }
}

static void
deliver_probe_end(void *user, uint64_t argument)
{
    Probe *probe = user;
    Host *host = probe->host;

    if (host->dispatcher == NULL || host->start_count != probe->start_count ||
        postpone(host, deliver_probe_end, user, argument)) {
        return;
    }
    Dispatcher_OnProbeResult(host->dispatcher, probe->upstream, PROBE_ANSWERED,
                             &idle_report);
    handle_actions(host);
}

/* ---- actions of hosts ------------------------------------------------ */

static void
start_probe(Host *host, const DispatchAction *action)
{
    Simulation *sim = host->simulation;
    Probe *probe = create_owned(sim, sizeof(Probe));

    *probe = (Probe){host, host->start_count, action->probe.upstream};
    EventQueue_Add(sim->events, 2 * NETWORK_DELAY_US, deliver_probe_end, probe,
                   0);
}

static void
send_attempt(Host *host, const DispatchAction *action)
{
    Simulation *sim = host->simulation;
    Request *request = action->user;
    Attempt *attempt = create_owned(sim, sizeof(Attempt));
    Micros delay = NETWORK_DELAY_US;

    request->job = action->job;
    request->attempt = attempt;
    attempt->request = request;
    attempt->simulation = sim;
    attempt->number = request->number;
    attempt->service = (action->send.port - 1U) % SERVICE_COUNT;
    if (Random_Unit(sim->random) < sim->options.delayed_ratio) {
        delay +=
            (Micros)Random_Below(sim->random, (uint64_t)sim->options.delay);
    }
    EventQueue_Add(sim->events, delay, receive_attempt, attempt, 0);
}

static void
cancel_attempt(Request *request)
{
    if (request->attempt != NULL) {
        request->attempt->request = NULL;
        request->attempt = NULL;
    }
}

static void
handle_actions(Host *host)
{
    DispatchAction action;

    while (Dispatcher_NextAction(host->dispatcher, &action)) {
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
            cancel_attempt(action.user);
            break;
        case DISPATCH_RESPOND:
            end_request(action.user);
            break;
        }
    }
}

static void
tick(void *user, uint64_t argument)
{
    Simulation *sim = user;
    Micros now = Clock_Now(sim->clock);

    for (unsigned i = 0; i < sim->host_count; i++) {
        Host *host = &sim->hosts[i];

        if (host->dispatcher != NULL && host->paused_until <= now) {
            Dispatcher_OnTime(host->dispatcher);
            handle_actions(host);
        }
    }
    EventQueue_Add(sim->events, TICK_US, tick, sim, 0);
}

/* ---- lives of hosts -------------------------------------------------- */

/* Returns the constant part that a host takes without regard to others. */
static double
own_extra(const Simulation *sim)
{
    switch (sim->options.fault) {
    case RETRY_FAULT_WHOLE_EXTRA:
        return sim->options.extra;
    case RETRY_FAULT_FIXED_PART:
        return sim->options.extra / FIXED_PART_HOSTS;
    case RETRY_FAULT_PART_AT_ONCE:
        return sim->options.extra * RETRY_BOUND_RATIO / sim->host_count;
    case RETRY_FAULT_NONE:
    case RETRY_FAULT_UNLIMITED:
    case RETRY_FAULT_UNCOUNTED:
        break;
    }
    return 0;
}

static bool
has_joined(const Simulation *sim)
{
    return sim->options.join_count > 0 &&
           Clock_Now(sim->clock) >= sim->options.join_time;
}

/* A host reads the list of hosts. */
static void
read_list(void *user, uint64_t index)
{
    Simulation *sim = user;
    Host *host = &sim->hosts[index];
    bool joins = index >= sim->options.host_count;
    size_t count = has_joined(sim) ? sim->host_count : sim->options.host_count;

    if (host->dispatcher != NULL) {
        Dispatcher_SetHosts(host->dispatcher, sim->ids, count,
                            joins ? sim->options.join_time + KNOWN_DELAY_US
                                  : 0);
    }
}

static void
read_list_again(void *user, uint64_t index)
{
    Simulation *sim = user;

    read_list(sim, index);
    EventQueue_Add(sim->events, LIST_INTERVAL_US, read_list_again, sim, index);
}

static void
put_upstreams(const Simulation *sim, Dispatcher *dispatcher)
{
    for (unsigned i = 0; i < sim->options.upstream_count; i++) {
        g_autofree char *id = g_strdup_printf("u-%u", i);
        UpstreamEntry entry =
            GatewayFixture_Upstream(id, (uint16_t)(i + 1), 4);

        entry.service = i % SERVICE_COUNT == 0 ? STR("desk") : STR("archive");
        Dispatcher_PutUpstream(dispatcher, &entry);
    }
}

static void
start_host(void *user, uint64_t index)
{
    Simulation *sim = user;
    Host *host = &sim->hosts[index];
    DispatcherOptions options = {
        .host = STR("h"),
        .domain = STR("a"),
        .retry_window = RETRY_WINDOW_US,
        .retry_share = sim->options.fault == RETRY_FAULT_UNLIMITED
                           ? UNLIMITED_SHARE
                           : RETRY_RATIO * RETRY_BOUND_RATIO,
        .retry_extra = own_extra(sim),
        .retry_shared_extra = sim->options.fault == RETRY_FAULT_NONE
                                  ? sim->options.extra * RETRY_BOUND_RATIO
                                  : 0,
        .probes_per_s = 60,
    };

    host->start_count++;
    host->paused_until = 0;
    host->dispatcher = Dispatcher_Create(&options, sim->clock, sim->random,
                                         NULL, NULL, sim->counters);
    Dispatcher_SetRoutes(host->dispatcher, sim->routes);
    put_upstreams(sim, host->dispatcher);
    read_list(sim, index);
}

static void
join_hosts(void *user, uint64_t argument)
{
    Simulation *sim = user;

    for (unsigned i = sim->options.host_count; i < sim->host_count; i++) {
        start_host(sim, i);
    }
}

static void
stop_host(Host *host)
{
    GList *requests = g_hash_table_get_keys(host->requests);

    Dispatcher_Destroy(host->dispatcher);
    host->dispatcher = NULL;
    for (GList *item = requests; item != NULL; item = item->next) {
        end_request(item->data);
    }
    g_list_free(requests);
}

static void
restart_host(void *user, uint64_t argument)
{
    Simulation *sim = user;
    size_t index = Random_Below(sim->random, sim->host_count);

    if (sim->hosts[index].dispatcher != NULL) {
        sim->result.restarts++;
        stop_host(&sim->hosts[index]);
        EventQueue_Add(sim->events, HOST_DOWN_US, start_host, sim, index);
    }
    EventQueue_Add(sim->events,
                   Random_Jitter(sim->random, sim->options.restart_interval),
                   restart_host, sim, 0);
}

static void
kill_hosts(void *user, uint64_t argument)
{
    Simulation *sim = user;
    unsigned count = (unsigned)(sim->options.kill_ratio * sim->host_count);

    for (unsigned i = 0; i < count; i++) {
        if (sim->hosts[i].dispatcher != NULL) {
            sim->result.restarts++;
            stop_host(&sim->hosts[i]);
            EventQueue_Add(sim->events, sim->options.kill_down, start_host,
                           sim, i);
        }
    }
}

static void
pause_host(void *user, uint64_t argument)
{
    Simulation *sim = user;
    Host *host = &sim->hosts[Random_Below(sim->random, sim->host_count)];

    host->paused_until =
        Clock_Now(sim->clock) +
        (Micros)Random_Below(sim->random, (uint64_t)sim->options.pause_time);
    EventQueue_Add(sim->events,
                   Random_Jitter(sim->random, sim->options.pause_interval),
                   pause_host, sim, 0);
}

/* ---- runs ------------------------------------------------------------ */

static void
add_route(RouteTable *table, const RetryOptions *options, unsigned service)
{
    static const RoutePart parts[] = {{{"desk", 4}, 1}, {{"archive", 7}, 1}};
    g_autofree char *prefix = g_strdup_printf("/%u/", service);
    Route route = {
        .name = Str_FromC(prefix),
        .host = GATEWAY_FIXTURE_HOST,
        .prefix = Str_FromC(prefix),
        .kind = ROUTE_IDEMPOTENT,
        .timeout = TIMEOUT_US,
        .objective = OBJECTIVE_US,
        .attempts_max = options->attempts_max,
        .parts = &parts[service],
        .part_count = options->split ? SERVICE_COUNT : 1,
    };

    g_assert_cmpint(RouteTable_Add(table, &route, NULL), ==, 0);
}

static RouteTable *
create_routes(const RetryOptions *options)
{
    CallerLimits limits = {0};
    RouteTable *table = RouteTable_Create(1, &limits);

    RouteTable_AddService(table, STR("desk"), STR("/load"));
    RouteTable_AddService(table, STR("archive"), STR("/load"));
    add_route(table, options, 0);
    if (!options->split) {
        add_route(table, options, 1);
    }
    return table;
}

static Simulation *
create_simulation(const RetryOptions *options)
{
    RetryRuleOptions limit = {RETRY_WINDOW_US, RETRY_RATIO, options->extra};
    Simulation *sim = g_new0(Simulation, 1);

    sim->options = *options;
    sim->host_count = options->host_count + options->join_count;
    g_assert_cmpuint(sim->host_count, <=, HOSTS_MAX);
    sim->clock = Clock_CreateManual(MICROS_PER_S, MICROS_PER_S);
    sim->random = Random_Create(options->seed);
    sim->counters = Counters_Create(100);
    sim->events = EventQueue_Create(sim->clock);
    sim->routes = create_routes(options);
    sim->owned = g_ptr_array_new_with_free_func(g_free);
    sim->id_texts = g_ptr_array_new_with_free_func(g_free);
    for (unsigned i = 0; i < SERVICE_COUNT; i++) {
        sim->rules[i] = RetryRule_Create(&limit);
    }
    for (unsigned i = 0; i < sim->host_count; i++) {
        sim->hosts[i].simulation = sim;
        sim->hosts[i].requests = g_hash_table_new(NULL, NULL);
        g_ptr_array_add(sim->id_texts, g_strdup_printf("h-%u", i));
        sim->ids[i] = Str_FromC(g_ptr_array_index(sim->id_texts, i));
    }
    for (unsigned i = 0; i < options->host_count; i++) {
        start_host(sim, i);
        EventQueue_Add(
            sim->events,
            (Micros)Random_Below(sim->random, (uint64_t)LIST_INTERVAL_US),
            read_list_again, sim, i);
    }
    return sim;
}

static void
destroy_simulation(Simulation *sim)
{
    for (unsigned i = 0; i < sim->host_count; i++) {
        if (sim->hosts[i].dispatcher != NULL) {
            stop_host(&sim->hosts[i]);
        }
        g_hash_table_destroy(sim->hosts[i].requests);
    }
    for (unsigned i = 0; i < SERVICE_COUNT; i++) {
        RetryRule_Destroy(sim->rules[i]);
    }
    EventQueue_Destroy(sim->events);
    RouteTable_Unref(sim->routes);
    g_ptr_array_free(sim->owned, TRUE);
    g_ptr_array_free(sim->id_texts, TRUE);
    Counters_Destroy(sim->counters);
    Random_Destroy(sim->random);
    Clock_Destroy(sim->clock);
    g_free(sim);
}

static void
judge(Simulation *sim)
{
    for (unsigned i = 0; i < SERVICE_COUNT; i++) {
        RetryRuleResult result = RetryRule_Judge(sim->rules[i]);

        sim->result.retry_count += result.retry_count;
        if (i == 0 || result.used > sim->result.worst.used) {
            sim->result.worst = result;
        }
    }
}

RetryResult
RetrySimulation_Run(const RetryOptions *options)
{
    Simulation *sim = create_simulation(options);
    RetryResult result;

    EventQueue_Add(sim->events, 0, tick, sim, 0);
    EventQueue_Add(sim->events, 0, offer, sim, 0);
    if (options->restart_interval > 0) {
        EventQueue_Add(sim->events, options->restart_interval, restart_host,
                       sim, 0);
    }
    if (options->kill_time > 0) {
        EventQueue_Add(sim->events, options->kill_time, kill_hosts, sim, 0);
    }
    if (options->join_count > 0) {
        EventQueue_Add(sim->events, options->join_time - Clock_Now(sim->clock),
                       join_hosts, sim, 0);
    }
    if (options->pause_interval > 0) {
        EventQueue_Add(sim->events, options->pause_interval, pause_host, sim,
                       0);
    }
    EventQueue_RunUntil(sim->events, options->duration);
    judge(sim);
    result = sim->result;
    destroy_simulation(sim);
    return result;
}
