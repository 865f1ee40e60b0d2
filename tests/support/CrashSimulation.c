#include "CrashSimulation.h"

#include <glib.h>
#include <string.h>

#include "CrashChannel.h"
#include "CrashUpstreams.h"
#include "EventQueue.h"
#include "GatewayFixture.h"

#define NETWORK_DELAY_US (1 * MICROS_PER_MS)
#define LOAD_PROBE_TIMEOUT_US (60 * MICROS_PER_MS)
#define CONNECT_TIMEOUT_US (150 * MICROS_PER_MS)
#define TICK_US (2 * MICROS_PER_MS)
#define OBJECTIVE_US (300 * MICROS_PER_MS)
#define ROUTE_TIMEOUT_US (1200 * MICROS_PER_MS)
/* A host is in touch if it has run, and its channel was sound, for this time;
 * a send is late if it comes this long after the third end. */
#define STABLE_US (3 * MICROS_PER_S)
#define ENDS_ALLOWED 3
#define START_US (4 * MICROS_PER_S)
#define HOST_DOWN_US (500 * MICROS_PER_MS)
#define RESPONSE_TIME_US (60 * MICROS_PER_MS)
#define CRASH_TIME_US (10 * MICROS_PER_MS)
#define REPEATED_KINDS 100
#define HOSTS_MAX 64
#define NOT_CRASHING UINT32_MAX

typedef struct Simulation_ Simulation;

typedef struct Host_ {
    Simulation *simulation;
    Dispatcher *dispatcher; /* NULL while it is down */
    GHashTable *requests;   /* set of open Request */
    Micros started;
    uint32_t index;
    uint32_t start_count;
} Host;

typedef struct Request_ {
    Host *host;
    Job *job;
    struct Attempt_ *attempt;
    uint32_t crashing; /* index, or NOT_CRASHING */
    uint32_t kind;     /* of the repeated ones, or REPEATED_KINDS */
    bool retried;
    GString *path;
} Request;

/* A request that was sent to an upstream. */
typedef struct Attempt_ {
    Request *request; /* NULL once the host does not wait for it */
    Simulation *simulation;
    char *instance; /* id that it was sent to */
    uint32_t host;
    uint32_t upstream;
    uint32_t life; /* of the upstream that runs it; 0 for none */
    uint32_t crashing;
} Attempt;

/* A crashing request, as upstreams see it. */
typedef struct Crashing_ {
    unsigned ends;
    Micros third_end; /* -1 before */
    unsigned late_sends;
} Crashing;

/* A kind of repeated requests, as callers see it. */
typedef struct Repeated_ {
    Micros refused_since; /* -1 if the last response was no refusal */
    GHashTable *hosts;    /* that refused since */
} Repeated;

struct Simulation_ {
    CrashOptions options;
    CrashResult result;
    Clock *clock;
    Random *random;
    Counters *counters;
    EventQueue *events;
    CrashUpstreams *upstreams;
    CrashChannel *channel; /* NULL if the hosts are isolated */
    RouteTable *routes;
    Host hosts[HOSTS_MAX];
    GPtrArray *attempts;    /* all of the run, owned */
    GPtrArray *host_events; /* all of the run, owned */
    Crashing *crashing;
    Repeated repeated[REPEATED_KINDS];
    unsigned next_path;
};

/* An event for one life of a host. */
typedef struct HostEvent_ {
    Host *host;
    uint32_t start_count;
    uint32_t upstream; /* index at the host */
    bool has_report;
    bool timed_out;
    bool connected;
    bool accepted;
    LoadReport report;
    Attempt *attempt;
    AttemptEndInfo end;
} HostEvent;

static void handle_actions(Host *host);

static HostEvent *
create_event(Host *host)
{
    HostEvent *event = g_new0(HostEvent, 1);

    event->host = host;
    event->start_count = host->start_count;
    g_ptr_array_add(host->simulation->host_events, event);
    return event;
}

static bool
is_current(const HostEvent *event)
{
    return event->host->dispatcher != NULL &&
           event->host->start_count == event->start_count;
}

/* ---- callers --------------------------------------------------------- */

static void
free_request(Request *request)
{
    if (request->attempt != NULL) {
        request->attempt->request = NULL;
    }
    g_hash_table_remove(request->host->requests, request);
    g_string_free(request->path, TRUE);
    g_free(request);
}

static Host *
random_host(Simulation *sim)
{
    return &sim->hosts[Random_Below(sim->random, sim->options.host_count)];
}

static void submit(Host *host, uint32_t crashing, uint32_t kind,
                   const char *path, bool retried);

static void
record_refusal(Simulation *sim, const Request *request)
{
    Repeated *repeated;

    sim->result.refused_ok++;
    if (request->kind == REPEATED_KINDS) {
        return;
    }
    repeated = &sim->repeated[request->kind];
    if (repeated->refused_since < 0) {
        repeated->refused_since = Clock_Now(sim->clock);
        g_hash_table_remove_all(repeated->hosts);
    }
    g_hash_table_add(repeated->hosts, request->host);
    sim->result.refused_ok_hosts =
        MAX(sim->result.refused_ok_hosts, g_hash_table_size(repeated->hosts));
    sim->result.refused_ok_longest =
        MAX(sim->result.refused_ok_longest,
            Clock_Now(sim->clock) - repeated->refused_since);
}

static void
record_no_refusal(Simulation *sim, const Request *request)
{
    if (request->kind < REPEATED_KINDS) {
        sim->repeated[request->kind].refused_since = -1;
    }
}

/* A caller tries once more, at another host, as it does after any failure of
 * an idempotent request. */
static void
on_failure(Request *request)
{
    Simulation *sim = request->host->simulation;

    if (request->crashing == NOT_CRASHING && !request->retried &&
        Clock_Now(sim->clock) < sim->options.duration) {
        submit(random_host(sim), NOT_CRASHING, request->kind,
               request->path->str, true);
    }
}

static void
on_host_response(Host *host, const DispatchAction *action)
{
    Request *request = action->user;
    Simulation *sim = host->simulation;

    if (request->crashing == NOT_CRASHING) {
        if (strcmp(action->respond.reason, "quarantined") == 0) {
            record_refusal(sim, request);
        }
        on_failure(request);
    }
    free_request(request);
}

static void
submit(Host *host, uint32_t crashing, uint32_t kind, const char *path,
       bool retried)
{
    JobInfo info = {.id = STR("r"),
                    .method = STR("GET"),
                    .host = GATEWAY_FIXTURE_HOST,
                    .path = Str_FromC(path),
                    .timeout = ROUTE_TIMEOUT_US};
    Request *request;
    Job *job;

    if (host->dispatcher == NULL) {
        return; /* the caller can't connect */
    }
    request = g_new0(Request, 1);
    request->host = host;
    request->crashing = crashing;
    request->kind = kind;
    request->retried = retried;
    request->path = g_string_new(path);
    g_hash_table_add(host->requests, request);
    job = Dispatcher_Submit(host->dispatcher, &info, request);
    if (job != NULL) {
        request->job = job;
    }
    handle_actions(host);
}

static void
resend_crashing(void *user, uint64_t index)
{
    Simulation *sim = user;
    g_autofree char *path = g_strdup_printf(
        "%s/crash-%u", sim->options.at_most_once ? "/once" : "/safe",
        (unsigned)index);

    submit(random_host(sim), (uint32_t)index, REPEATED_KINDS, path, false);
    if (Clock_Now(sim->clock) < sim->options.duration) {
        EventQueue_Add(
            sim->events,
            Random_Jitter(sim->random, sim->options.resend_interval),
            resend_crashing, sim, index);
    }
}

static void
offer(Simulation *sim, uint32_t kind)
{
    g_autofree char *path =
        kind < REPEATED_KINDS
            ? g_strdup_printf("/safe/kind-%u", kind)
            : g_strdup_printf("/safe/other-%u", sim->next_path++);

    sim->result.other++;
    submit(random_host(sim), NOT_CRASHING, kind, path, false);
}

static void
schedule_offer(Simulation *sim, EventHandler *handler, double rate)
{
    if (rate > 0 && Clock_Now(sim->clock) < sim->options.duration) {
        EventQueue_Add(sim->events,
                       1 + (Micros)Random_Exponential(
                               sim->random, (double)MICROS_PER_S / rate),
                       handler, sim, 0);
    }
}

static void
offer_normal(void *user, uint64_t argument)
{
    Simulation *sim = user;

    offer(sim, REPEATED_KINDS);
    schedule_offer(sim, offer_normal, sim->options.normal_per_s);
}

static void
offer_repeated(void *user, uint64_t argument)
{
    Simulation *sim = user;

    offer(sim, (uint32_t)Random_Below(sim->random, REPEATED_KINDS));
    schedule_offer(sim, offer_repeated, sim->options.repeated_per_s);
}

/* ---- responses of upstreams ------------------------------------------ */

static void
deliver_end(void *user, uint64_t argument)
{
    HostEvent *event = user;
    Attempt *attempt = event->attempt;
    Request *request = attempt->request;
    Host *host = event->host;
    JobVerdict verdict;

    if (request != NULL && is_current(event)) {
        attempt->request = NULL;
        request->attempt = NULL;
        if (event->has_report) {
            event->end.report = &event->report;
        }
        verdict = GatewayFixture_EndAttempt(host->dispatcher, request->job,
                                            &event->end);
        if (verdict == JOB_RELAY) {
            host->simulation->result.served +=
                request->crashing == NOT_CRASHING;
            record_no_refusal(host->simulation, request);
            free_request(request);
        }
        handle_actions(host);
    }
}

static void
end_attempt(Attempt *attempt, AttemptResult result, Micros delay)
{
    Simulation *sim = attempt->simulation;
    HostEvent *event = create_event(&sim->hosts[attempt->host]);

    attempt->life = 0;
    event->attempt = attempt;
    event->end.result = result;
    event->end.status = result == ATTEMPT_RESULT_RESPONSE ? 200 : 0;
    event->has_report = result == ATTEMPT_RESULT_RESPONSE;
    event->report = CrashUpstreams_Report(sim->upstreams, attempt->upstream);
    EventQueue_Add(sim->events, delay, deliver_end, event, 0);
}

static void
end_upstream(Simulation *sim, uint32_t upstream, CrashKind kind)
{
    uint32_t life = CrashUpstreams_Life(sim->upstreams, upstream);

    CrashUpstreams_End(sim->upstreams, upstream, kind);
    if (CrashUpstreams_IsSilent(sim->upstreams, upstream)) {
        return;
    }
    for (guint i = 0; i < sim->attempts->len; i++) {
        Attempt *attempt = g_ptr_array_index(sim->attempts, i);

        if (attempt->upstream == upstream && attempt->life == life) {
            end_attempt(attempt, ATTEMPT_RESULT_BROKEN, NETWORK_DELAY_US);
        }
    }
}

static void
run_crashing(Attempt *attempt)
{
    Simulation *sim = attempt->simulation;
    Crashing *crashing = &sim->crashing[attempt->crashing];

    sim->result.ends++;
    if (++crashing->ends == ENDS_ALLOWED) {
        crashing->third_end = Clock_Now(sim->clock);
    }
    end_upstream(sim, attempt->upstream, sim->options.crash);
}

static void
complete_work(void *user, uint64_t argument)
{
    Attempt *attempt = user;
    Simulation *sim = attempt->simulation;

    if (attempt->life == 0 ||
        !CrashUpstreams_IsUp(sim->upstreams, attempt->upstream) ||
        attempt->life !=
            CrashUpstreams_Life(sim->upstreams, attempt->upstream)) {
        return;
    }
    CrashUpstreams_AddRunning(sim->upstreams, attempt->upstream, -1);
    if (attempt->crashing != NOT_CRASHING) {
        run_crashing(attempt);
    }
    else {
        end_attempt(attempt,
                    Random_Unit(sim->random) < sim->options.lost_ratio
                        ? ATTEMPT_RESULT_BROKEN
                        : ATTEMPT_RESULT_RESPONSE,
                    NETWORK_DELAY_US);
    }
}

static bool
is_in_touch(const Host *host)
{
    const Simulation *sim = host->simulation;
    Micros since = host->started;

    if (sim->channel != NULL) {
        since = MAX(since, CrashChannel_SoundSince(sim->channel));
    }
    return Clock_Now(sim->clock) - since >= STABLE_US;
}

static void
record_crashing_send(const Attempt *attempt)
{
    Simulation *sim = attempt->simulation;
    Crashing *crashing = &sim->crashing[attempt->crashing];

    sim->result.sends++;
    if (crashing->third_end >= 0 &&
        Clock_Now(sim->clock) - crashing->third_end > STABLE_US &&
        is_in_touch(&sim->hosts[attempt->host])) {
        crashing->late_sends++;
        sim->result.late_sends =
            MAX(sim->result.late_sends, crashing->late_sends);
    }
}

/* A silent upstream gives no response on an open connection, and a new one
 * can't be opened. */
static void
reject_attempt(Attempt *attempt)
{
    Simulation *sim = attempt->simulation;

    if (CrashUpstreams_IsUp(sim->upstreams, attempt->upstream)) {
        end_attempt(attempt, ATTEMPT_RESULT_MOVED, NETWORK_DELAY_US);
    }
    else if (CrashUpstreams_IsClosed(sim->upstreams, attempt->upstream)) {
        end_attempt(attempt, ATTEMPT_RESULT_BROKEN, NETWORK_DELAY_US);
    }
    else if (!CrashUpstreams_IsSilent(sim->upstreams, attempt->upstream)) {
        end_attempt(attempt, ATTEMPT_RESULT_UNSENT, NETWORK_DELAY_US);
    }
    else if (Random_Below(sim->random, 2) == 0) {
        end_attempt(attempt, ATTEMPT_RESULT_UNSENT, CONNECT_TIMEOUT_US);
    }
}

static void
receive_attempt(void *user, uint64_t argument)
{
    Attempt *attempt = user;
    Simulation *sim = attempt->simulation;
    bool crashes = attempt->crashing != NOT_CRASHING;

    if (!CrashUpstreams_HasId(sim->upstreams, attempt->upstream,
                              Str_FromC(attempt->instance))) {
        reject_attempt(attempt);
        return;
    }
    attempt->life = CrashUpstreams_Life(sim->upstreams, attempt->upstream);
    CrashUpstreams_AddRunning(sim->upstreams, attempt->upstream, 1);
    if (crashes) {
        record_crashing_send(attempt);
    }
    EventQueue_Add(
        sim->events,
        Random_Jitter(sim->random, crashes ? CRASH_TIME_US : RESPONSE_TIME_US),
        complete_work, attempt, 0);
}

/* ---- actions of hosts ------------------------------------------------ */

static ProbeResult
result_of_probe(const HostEvent *event)
{
    if (event->has_report) {
        return PROBE_ANSWERED;
    }
    return event->accepted ? PROBE_ACCEPTED : PROBE_REFUSED;
}

static void
deliver_probe_end(void *user, uint64_t argument)
{
    HostEvent *event = user;

    if (is_current(event)) {
        Dispatcher *dispatcher = event->host->dispatcher;

        if (event->timed_out) {
            Dispatcher_OnProbeTimeout(dispatcher, event->upstream,
                                      event->connected);
        }
        else {
            Dispatcher_OnProbeResult(
                dispatcher, event->upstream, result_of_probe(event),
                event->has_report ? &event->report : NULL);
        }
        handle_actions(event->host);
    }
}

static void
start_probe(Host *host, const DispatchAction *action)
{
    Simulation *sim = host->simulation;
    HostEvent *event = create_event(host);
    uint32_t upstream = CrashUpstreams_AtPort(action->probe.port);

    event->upstream = action->probe.upstream;
    event->has_report =
        CrashUpstreams_HasId(sim->upstreams, upstream, action->probe.instance);
    event->report = CrashUpstreams_Report(sim->upstreams, upstream);
    event->timed_out = CrashUpstreams_IsSilent(sim->upstreams, upstream);
    event->accepted = CrashUpstreams_IsClosed(sim->upstreams, upstream);
    event->connected =
        !action->probe.new_connection && Random_Below(sim->random, 2) == 0;
    EventQueue_Add(sim->events,
                   event->timed_out ? LOAD_PROBE_TIMEOUT_US
                                    : 2 * NETWORK_DELAY_US,
                   deliver_probe_end, event, 0);
}

static void
send_attempt(Host *host, const DispatchAction *action)
{
    Simulation *sim = host->simulation;
    Request *request = action->user;
    Attempt *attempt = g_new0(Attempt, 1);

    request->job = action->job;
    request->attempt = attempt;
    attempt->request = request;
    attempt->simulation = sim;
    attempt->host = host->index;
    attempt->upstream = CrashUpstreams_AtPort(action->send.port);
    attempt->instance =
        g_strndup(action->send.instance.data, action->send.instance.length);
    attempt->crashing = request->crashing;
    g_ptr_array_add(sim->attempts, attempt);
    EventQueue_Add(sim->events, NETWORK_DELAY_US, receive_attempt, attempt, 0);
}

static void
refuse_forward(Host *host, Job *job)
{
    ForwardEndInfo end = {.result = FORWARD_NOT_RUN,
                          .status = 503,
                          .refusal = FORWARD_REFUSAL_CUT_OFF};

    GatewayFixture_EndForward(host->dispatcher, job, &end);
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
            refuse_forward(host, action.job);
            break;
        case DISPATCH_ASK:
        case DISPATCH_GRANT:
        case DISPATCH_ABORT:
            g_assert_not_reached();
        case DISPATCH_CANCEL:
            if (request->attempt != NULL) {
                request->attempt->request = NULL;
                request->attempt = NULL;
            }
            break;
        case DISPATCH_RESPOND:
            on_host_response(host, &action);
            break;
        }
    }
}

/* ---- lives of hosts and upstreams ------------------------------------ */

static void
start_host(void *user, uint64_t index)
{
    Simulation *sim = user;
    Host *host = &sim->hosts[index];
    g_autofree char *id = g_strdup_printf("host-%u", (unsigned)index);
    DispatcherOptions options = {
        .host = Str_FromC(id),
        .domain = STR("a"),
        .retry_window = 10 * MICROS_PER_S,
        .retry_share = 0.2,
        .retry_extra = 0.3,
        .probes_per_s = 60,
    };

    host->started = Clock_Now(sim->clock);
    host->start_count++;
    host->dispatcher = Dispatcher_Create(&options, sim->clock, sim->random,
                                         NULL, NULL, sim->counters);
    Dispatcher_SetRoutes(host->dispatcher, sim->routes);
    if (sim->options.knows_peers) {
        PeerInfo peers[] = {{STR("p1"), STR("a")}, {STR("p2"), STR("b")}};

        Dispatcher_SetPeers(host->dispatcher, peers, G_N_ELEMENTS(peers));
    }
    CrashUpstreams_PutAll(sim->upstreams, host->dispatcher);
    if (sim->channel != NULL) {
        CrashChannel_Attach(sim->channel, host->index,
                            Dispatcher_CrashGuard(host->dispatcher));
    }
}

static void
stop_host(Host *host)
{
    GList *requests = g_hash_table_get_keys(host->requests);

    if (host->simulation->channel != NULL) {
        CrashChannel_Detach(host->simulation->channel, host->index);
    }
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
    Host *host = random_host(sim);

    if (host->dispatcher != NULL) {
        stop_host(host);
        EventQueue_Add(sim->events, HOST_DOWN_US, start_host, sim,
                       host->index);
    }
    EventQueue_Add(sim->events,
                   Random_Jitter(sim->random, sim->options.restart_interval),
                   restart_host, sim, 0);
}

static void
fail_upstreams(void *user, uint64_t argument)
{
    Simulation *sim = user;

    for (uint32_t i = 0; i < sim->options.upstream_count; i++) {
        if (Random_Unit(sim->random) < sim->options.failure_ratio &&
            CrashUpstreams_IsUp(sim->upstreams, i)) {
            end_upstream(sim, i, CRASH_MIXED);
        }
    }
    EventQueue_Add(sim->events,
                   Random_Jitter(sim->random, sim->options.failure_interval),
                   fail_upstreams, sim, 0);
}

static void
apply_listing(void *user, const UpstreamEntry *entry, bool listed)
{
    Simulation *sim = user;

    for (unsigned i = 0; i < sim->options.host_count; i++) {
        Host *host = &sim->hosts[i];

        if (host->dispatcher == NULL) {
            continue;
        }
        if (listed) {
            Dispatcher_PutUpstream(host->dispatcher, entry);
        }
        else {
            Dispatcher_RemoveUpstream(host->dispatcher, entry->id);
        }
        handle_actions(host);
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
        if (sim->hosts[i].dispatcher != NULL && sim->channel != NULL) {
            CrashChannel_Flush(sim->channel, i);
        }
    }
    EventQueue_Add(sim->events, TICK_US, tick, sim, 0);
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
    GatewayFixture_AddRoute(table, "/once/", ROUTE_AT_MOST_ONCE, 1,
                            OBJECTIVE_US, ROUTE_TIMEOUT_US);
    return table;
}

static void
free_attempt(gpointer data)
{
    Attempt *attempt = data;

    g_free(attempt->instance);
    g_free(attempt);
}

static Simulation *
create_simulation(const CrashOptions *options)
{
    Simulation *sim = g_new0(Simulation, 1);

    g_assert_cmpuint(options->host_count, <=, HOSTS_MAX);
    sim->options = *options;
    sim->clock = Clock_CreateManual(MICROS_PER_S, MICROS_PER_S);
    sim->random = Random_Create(options->seed);
    sim->counters = Counters_Create(100);
    sim->events = EventQueue_Create(sim->clock);
    sim->upstreams = CrashUpstreams_Create(
        options->upstream_count, sim->events, sim->random, apply_listing, sim);
    CrashUpstreams_SetReplacementDelay(sim->upstreams,
                                       options->replacement_delay);
    if (!options->isolated_hosts) {
        sim->channel =
            CrashChannel_Create(options->host_count, options->channel,
                                sim->events, sim->clock, sim->random);
    }
    sim->routes = create_routes();
    sim->attempts = g_ptr_array_new_with_free_func(free_attempt);
    sim->host_events = g_ptr_array_new_with_free_func(g_free);
    sim->crashing = g_new0(Crashing, options->crashing_count);
    for (unsigned i = 0; i < options->crashing_count; i++) {
        sim->crashing[i].third_end = -1;
    }
    for (unsigned i = 0; i < REPEATED_KINDS; i++) {
        sim->repeated[i].refused_since = -1;
        sim->repeated[i].hosts = g_hash_table_new(NULL, NULL);
    }
    return sim;
}

static void
destroy_simulation(Simulation *sim)
{
    for (unsigned i = 0; i < sim->options.host_count; i++) {
        if (sim->hosts[i].dispatcher != NULL) {
            stop_host(&sim->hosts[i]);
        }
        g_hash_table_destroy(sim->hosts[i].requests);
    }
    for (unsigned i = 0; i < REPEATED_KINDS; i++) {
        g_hash_table_destroy(sim->repeated[i].hosts);
    }
    if (sim->channel != NULL) {
        CrashChannel_Destroy(sim->channel);
    }
    EventQueue_Destroy(sim->events);
    CrashUpstreams_Destroy(sim->upstreams);
    RouteTable_Unref(sim->routes);
    g_ptr_array_free(sim->attempts, TRUE);
    g_ptr_array_free(sim->host_events, TRUE);
    g_free(sim->crashing);
    Counters_Destroy(sim->counters);
    Random_Destroy(sim->random);
    Clock_Destroy(sim->clock);
    g_free(sim);
}

static void
start_load(Simulation *sim)
{
    const CrashOptions *options = &sim->options;

    for (unsigned i = 0; i < options->crashing_count; i++) {
        EventQueue_Add(
            sim->events,
            START_US + Random_Jitter(sim->random, options->resend_interval),
            resend_crashing, sim, i);
    }
    schedule_offer(sim, offer_normal, options->normal_per_s);
    schedule_offer(sim, offer_repeated, options->repeated_per_s);
    if (options->restart_interval > 0) {
        EventQueue_Add(sim->events, START_US, restart_host, sim, 0);
    }
    if (options->failure_interval > 0) {
        EventQueue_Add(sim->events, START_US, fail_upstreams, sim, 0);
    }
}

CrashResult
CrashSimulation_Run(const CrashOptions *options)
{
    Simulation *sim = create_simulation(options);
    CrashResult result;

    for (unsigned i = 0; i < options->host_count; i++) {
        sim->hosts[i].simulation = sim;
        sim->hosts[i].index = i;
        sim->hosts[i].requests = g_hash_table_new(NULL, NULL);
        start_host(sim, i);
    }
    EventQueue_Add(sim->events, 0, tick, sim, 0);
    start_load(sim);
    EventQueue_RunUntil(sim->events, options->duration + 5 * MICROS_PER_S);
    result = sim->result;
    if (sim->channel != NULL) {
        result.channel_calls = CrashChannel_CallCount(sim->channel);
        result.channel_bytes = CrashChannel_ByteCount(sim->channel);
    }
    destroy_simulation(sim);
    return result;
}
