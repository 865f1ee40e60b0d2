#include "LimitSimulation.h"

#include <glib.h>
#include <string.h>

#include "GatewayFixture.h"
#include "LimitUpstreams.h"

#define NETWORK_DELAY_US (1 * MICROS_PER_MS)
#define TICK_US (2 * MICROS_PER_MS)
#define OBJECTIVE_US (300 * MICROS_PER_MS)
#define ROUTE_TIMEOUT_US (1000 * MICROS_PER_MS)
#define LOST_RATIO 0.1
#define FIRST_CHANGE_US (4 * MICROS_PER_S)
#define HOST_DOWN_US (500 * MICROS_PER_MS)
/* Hosts read the list of hosts at this interval; all know of a host that joins
 * after it. */
#define LIST_INTERVAL_US (60 * MICROS_PER_S)
#define LIST_KNOWN_US (66 * MICROS_PER_S)
#define LIST_RETRY_US (3 * MICROS_PER_S)
#define CUT_TIME_US (20 * MICROS_PER_S)
#define PATH "/safe/x"
#define HOSTS_MAX 64

typedef struct Simulation_ Simulation;

typedef struct Host_ {
    Simulation *simulation;
    Dispatcher *dispatcher; /* NULL while it is down or not yet started */
    GHashTable *requests;   /* set of open Request */
    char *id;
    uint32_t index;
    uint32_t start_count;
    Micros known_from; /* the other hosts have it in their lists */
    Micros cut_until;
} Host;

/* One attempt of a caller. */
typedef struct Request_ {
    Host *host;
    Job *job;
    struct Attempt_ *attempt;
    Micros arrived;
    bool retried;
} Request;

/* A request that was sent to an upstream. */
typedef struct Attempt_ {
    Request *request; /* NULL once the host does not wait for it */
    Simulation *simulation;
    uint32_t host;
    uint32_t upstream;
    uint32_t life; /* of the upstream that it was sent to */
    Micros work;
    AttemptResult result;
    LoadReport report;
    LimitNotice limit;
} Attempt;

typedef struct Probe_ {
    Host *host;
    uint32_t start_count;
    uint32_t index; /* of the upstream at the host */
    LoadReport report;
    LimitNotice limit;
} Probe;

struct Simulation_ {
    LimitOptions options;
    LimitResult result;
    Clock *clock;
    Random *random;
    Counters *counters;
    EventQueue *events;
    LimitUpstreams *upstreams;
    RouteTable *routes;
    Host hosts[HOSTS_MAX];
    unsigned started_hosts;
    GPtrArray *owned; /* Attempt and Probe of the run */
};

static void handle_actions(Host *host);

static gpointer
create_owned(Simulation *sim, size_t size)
{
    gpointer object = g_malloc0(size);

    g_ptr_array_add(sim->owned, object);
    return object;
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
submit(Simulation *sim, bool retried)
{
    Host *host = &sim->hosts[Random_Below(sim->random, sim->started_hosts)];
    JobInfo info = {.id = STR("r"),
                    .method = STR("GET"),
                    .host = GATEWAY_FIXTURE_HOST,
                    .path = STR(PATH),
                    .timeout = ROUTE_TIMEOUT_US};
    Request *request;
    Job *job;

    if (host->dispatcher == NULL) {
        return; /* the caller can't connect */
    }
    request = g_new0(Request, 1);
    request->host = host;
    request->arrived = Clock_Now(sim->clock);
    request->retried = retried;
    g_hash_table_add(host->requests, request);
    job = Dispatcher_Submit(host->dispatcher, &info, request);
    if (job != NULL) {
        request->job = job;
    }
    handle_actions(host);
}

static void
retry(void *user, uint64_t argument)
{
    submit(user, true);
}

/* A caller tries once more, at any host, after the time it is told. */
static void
on_host_response(Host *host, const DispatchAction *action)
{
    Simulation *sim = host->simulation;
    Request *request = action->user;
    Micros held = Clock_Now(sim->clock) - request->arrived;

    if (action->respond.status == 503) {
        sim->result.refusals++;
        sim->result.refused_with_capacity +=
            strcmp(action->respond.reason, "upstream-limits") == 0 &&
            LimitUpstreams_HasFreeSlot(sim->upstreams);
        sim->result.held_longest = MAX(sim->result.held_longest, held);
    }
    if (!request->retried &&
        action->respond.retry_after <= (ROUTE_TIMEOUT_US - held) / 3) {
        EventQueue_Add(sim->events, action->respond.retry_after, retry, sim,
                       0);
    }
    else {
        sim->result.refused++;
    }
    free_request(request);
}

static void
offer(void *user, uint64_t argument)
{
    Simulation *sim = user;

    if (Clock_Now(sim->clock) >= sim->options.duration) {
        return;
    }
    sim->result.requests++;
    submit(sim, false);
    EventQueue_Add(
        sim->events,
        1 + (Micros)Random_Exponential(
                sim->random, MICROS_PER_S / sim->options.requests_per_s),
        offer, sim, 0);
}

/* ---- upstreams ------------------------------------------------------- */

static void
deliver_end(void *user, uint64_t argument)
{
    Attempt *attempt = user;
    Simulation *sim = attempt->simulation;
    Request *request = attempt->request;
    AttemptEndInfo end = {.result = attempt->result,
                          .status = 200,
                          .report = &attempt->report,
                          .limit = attempt->limit};
    Host *host;

    if (request == NULL) {
        return;
    }
    host = request->host;
    attempt->request = NULL;
    request->attempt = NULL;
    if (sim->options.unread_limits ||
        attempt->result != ATTEMPT_RESULT_RESPONSE) {
        end.limit.kind = LIMIT_UNKNOWN;
    }
    if (GatewayFixture_EndAttempt(host->dispatcher, request->job, &end) ==
        JOB_RELAY) {
        sim->result.served++;
        if (attempt->limit.kind == LIMIT_NAMED) {
            LimitUpstreams_OnRelayed(sim->upstreams, attempt->upstream,
                                     host->index);
        }
        free_request(request);
    }
    handle_actions(host);
}

static void
end_work(void *user, uint64_t argument)
{
    Attempt *attempt = user;
    Simulation *sim = attempt->simulation;

    if (attempt->life !=
        LimitUpstreams_Life(sim->upstreams, attempt->upstream)) {
        attempt->result = ATTEMPT_RESULT_BROKEN;
    }
    else {
        LimitUpstreams_OnWorkEnd(sim->upstreams, attempt->upstream);
        attempt->result =
            sim->options.lossy && Random_Unit(sim->random) < LOST_RATIO
                ? ATTEMPT_RESULT_BROKEN
                : ATTEMPT_RESULT_RESPONSE;
    }
    attempt->report = LimitUpstreams_Report(sim->upstreams, attempt->upstream);
    attempt->limit = LimitUpstreams_Named(sim->upstreams, attempt->upstream);
    EventQueue_Add(sim->events, NETWORK_DELAY_US, deliver_end, attempt, 0);
}

static void
start_work(void *user, uint64_t argument)
{
    Attempt *attempt = user;
    Simulation *sim = attempt->simulation;

    if (attempt->life ==
        LimitUpstreams_Life(sim->upstreams, attempt->upstream)) {
        LimitUpstreams_OnWorkStart(sim->upstreams, attempt->upstream);
    }
    EventQueue_Add(sim->events, attempt->work, end_work, attempt, 0);
}

static void
receive_attempt(void *user, uint64_t argument)
{
    Attempt *attempt = user;
    Simulation *sim = attempt->simulation;
    Micros wait;

    attempt->life = LimitUpstreams_Life(sim->upstreams, attempt->upstream);
    LimitUpstreams_OnArrival(sim->upstreams, attempt->upstream, attempt->host,
                             &wait, &attempt->work);
    EventQueue_Add(sim->events, wait, start_work, attempt, 0);
}

static void
deliver_probe_end(void *user, uint64_t argument)
{
    Probe *probe = user;
    Host *host = probe->host;

    if (host->dispatcher == NULL || host->start_count != probe->start_count) {
        return;
    }
    if (!host->simulation->options.unread_limits) {
        Dispatcher_OnProbeLimit(host->dispatcher, probe->index, probe->limit);
    }
    Dispatcher_OnProbeResult(host->dispatcher, probe->index, PROBE_ANSWERED,
                             &probe->report);
    handle_actions(host);
}

/* ---- actions of hosts ------------------------------------------------ */

static void
start_probe(Host *host, const DispatchAction *action)
{
    Simulation *sim = host->simulation;
    Probe *probe = create_owned(sim, sizeof(Probe));
    uint32_t upstream = action->probe.port - 1U;

    *probe = (Probe){
        .host = host,
        .start_count = host->start_count,
        .index = action->probe.upstream,
        .report = LimitUpstreams_Report(sim->upstreams, upstream),
        .limit = LimitUpstreams_Named(sim->upstreams, upstream),
    };
    if (sim->options.silent_probes) {
        probe->limit = (LimitNotice){.kind = LIMIT_ABSENT};
    }
    EventQueue_Add(sim->events, 2 * NETWORK_DELAY_US, deliver_probe_end, probe,
                   0);
}

static void
send_attempt(Host *host, const DispatchAction *action)
{
    Simulation *sim = host->simulation;
    Request *request = action->user;
    Attempt *attempt = create_owned(sim, sizeof(Attempt));

    request->job = action->job;
    request->attempt = attempt;
    attempt->request = request;
    attempt->simulation = sim;
    attempt->host = host->index;
    attempt->upstream = action->send.port - 1U;
    EventQueue_Add(sim->events, NETWORK_DELAY_US, receive_attempt, attempt, 0);
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

static void
tick(void *user, uint64_t argument)
{
    Simulation *sim = user;

    for (unsigned i = 0; i < sim->started_hosts; i++) {
        if (sim->hosts[i].dispatcher != NULL) {
            Dispatcher_OnTime(sim->hosts[i].dispatcher);
            handle_actions(&sim->hosts[i]);
        }
    }
    EventQueue_Add(sim->events, TICK_US, tick, sim, 0);
}

/* ---- list of hosts --------------------------------------------------- */

static void
apply_list(Host *host)
{
    Simulation *sim = host->simulation;
    Str ids[HOSTS_MAX];

    for (unsigned i = 0; i < sim->started_hosts; i++) {
        ids[i] = Str_FromC(sim->hosts[i].id);
    }
    if (sim->options.isolated_hosts) {
        ids[0] = Str_FromC(host->id);
    }
    Dispatcher_SetHosts(host->dispatcher, ids,
                        sim->options.isolated_hosts ? 1 : sim->started_hosts,
                        host->known_from);
}

static void
read_list(void *user, uint64_t start_count)
{
    Host *host = user;
    Simulation *sim = host->simulation;
    bool cut = Clock_Now(sim->clock) < host->cut_until;

    if (host->start_count != start_count || host->dispatcher == NULL) {
        return;
    }
    if (!cut) {
        apply_list(host);
    }
    EventQueue_Add(sim->events, cut ? LIST_RETRY_US : LIST_INTERVAL_US,
                   read_list, host, start_count);
}

/* ---- lives of hosts and upstreams ------------------------------------ */

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
        UpstreamEntry entry = LimitUpstreams_Entry(sim->upstreams, i);

        Dispatcher_PutUpstream(host->dispatcher, &entry);
    }
    LimitUpstreams_OnHostStart(sim->upstreams, host->index);
    EventQueue_Add(sim->events, Random_Jitter(sim->random, NETWORK_DELAY_US),
                   read_list, host, host->start_count);
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
    Host *host = &sim->hosts[Random_Below(sim->random, sim->started_hosts)];

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
join_host(void *user, uint64_t argument)
{
    Simulation *sim = user;

    sim->hosts[sim->started_hosts].known_from =
        sim->options.impatient_hosts ? 0
                                     : Clock_Now(sim->clock) + LIST_KNOWN_US;
    start_host(sim, sim->started_hosts++);
}

static void
cut_host(void *user, uint64_t argument)
{
    Simulation *sim = user;
    Host *host = &sim->hosts[Random_Below(sim->random, sim->started_hosts)];

    host->cut_until =
        Clock_Now(sim->clock) + Random_Jitter(sim->random, CUT_TIME_US);
    EventQueue_Add(sim->events,
                   Random_Jitter(sim->random, sim->options.cut_interval),
                   cut_host, sim, 0);
}

static void
restart_upstream(void *user, uint64_t argument)
{
    Simulation *sim = user;
    uint32_t upstream =
        (uint32_t)Random_Below(sim->random, sim->options.upstream_count);
    UpstreamEntry entry;

    LimitUpstreams_Restart(sim->upstreams, upstream);
    entry = LimitUpstreams_Entry(sim->upstreams, upstream);
    for (unsigned i = 0; i < sim->started_hosts; i++) {
        if (sim->hosts[i].dispatcher != NULL) {
            Dispatcher_PutUpstream(sim->hosts[i].dispatcher, &entry);
            handle_actions(&sim->hosts[i]);
        }
    }
    EventQueue_Add(
        sim->events,
        Random_Jitter(sim->random, sim->options.upstream_restart_interval),
        restart_upstream, sim, 0);
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
create_simulation(const LimitOptions *options)
{
    Simulation *sim = g_new0(Simulation, 1);

    g_assert_cmpuint(options->host_count + options->extra_hosts, <=,
                     HOSTS_MAX);
    sim->options = *options;
    sim->clock = Clock_CreateManual(MICROS_PER_S, MICROS_PER_S);
    sim->random = Random_Create(options->seed);
    sim->counters = Counters_Create(100);
    sim->events = EventQueue_Create(sim->clock);
    sim->upstreams =
        LimitUpstreams_Create(options, sim->events, sim->clock, sim->random);
    sim->routes = create_routes();
    sim->owned = g_ptr_array_new_with_free_func(g_free);
    for (unsigned i = 0; i < HOSTS_MAX; i++) {
        sim->hosts[i].simulation = sim;
        sim->hosts[i].index = i;
        sim->hosts[i].id = g_strdup_printf("host-%u", i);
        sim->hosts[i].requests = g_hash_table_new(NULL, NULL);
    }
    return sim;
}

static void
destroy_simulation(Simulation *sim)
{
    for (unsigned i = 0; i < HOSTS_MAX; i++) {
        if (sim->hosts[i].dispatcher != NULL) {
            stop_host(&sim->hosts[i]);
        }
        g_hash_table_destroy(sim->hosts[i].requests);
        g_free(sim->hosts[i].id);
    }
    EventQueue_Destroy(sim->events);
    LimitUpstreams_Destroy(sim->upstreams);
    RouteTable_Unref(sim->routes);
    g_ptr_array_free(sim->owned, TRUE);
    Counters_Destroy(sim->counters);
    Random_Destroy(sim->random);
    Clock_Destroy(sim->clock);
    g_free(sim);
}

static void
schedule_changes(Simulation *sim)
{
    const LimitOptions *options = &sim->options;

    LimitUpstreams_Start(sim->upstreams);
    for (unsigned i = 0; i < options->extra_hosts; i++) {
        EventQueue_Add(sim->events,
                       FIRST_CHANGE_US +
                           (Micros)Random_Below(
                               sim->random, (uint64_t)options->duration / 2),
                       join_host, sim, 0);
    }
    if (options->restart_interval > 0) {
        EventQueue_Add(sim->events, FIRST_CHANGE_US, restart_host, sim, 0);
    }
    if (options->cut_interval > 0) {
        EventQueue_Add(sim->events, FIRST_CHANGE_US, cut_host, sim, 0);
    }
    if (options->upstream_restart_interval > 0) {
        EventQueue_Add(sim->events, FIRST_CHANGE_US, restart_upstream, sim, 0);
    }
}

LimitResult
LimitSimulation_Run(const LimitOptions *options)
{
    Simulation *sim = create_simulation(options);
    LimitResult result;

    sim->started_hosts = options->host_count;
    for (unsigned i = 0; i < options->host_count; i++) {
        start_host(sim, i);
    }
    EventQueue_Add(sim->events, 0, tick, sim, 0);
    EventQueue_Add(sim->events, 0, offer, sim, 0);
    schedule_changes(sim);
    EventQueue_RunUntil(sim->events, options->duration);
    result = sim->result;
    LimitUpstreams_Judge(sim->upstreams, &result);
    destroy_simulation(sim);
    return result;
}
