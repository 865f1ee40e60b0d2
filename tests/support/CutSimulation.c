#include "CutSimulation.h"

#include <glib.h>
#include <string.h>

#include "CutUpstreams.h"
#include "Dispatcher.h"
#include "EventQueue.h"
#include "GatewayFixture.h"

#define NETWORK_DELAY_US (1 * MICROS_PER_MS)
#define TICK_US (2 * MICROS_PER_MS)
#define LOAD_PROBE_TIMEOUT_US (60 * MICROS_PER_MS)
#define RETRANSMISSION_US (200 * MICROS_PER_MS)
#define OBJECTIVE_US (300 * MICROS_PER_MS)
#define CALLER_TIMEOUT_US (1000 * MICROS_PER_MS)
#define ANSWER_SLACK_US (100 * MICROS_PER_MS)
#define STABLE_US (3 * MICROS_PER_S)
#define STALL_MEAN_US (300 * MICROS_PER_MS)
/* A cut that ends during the probes is still noticed. */
#define VERDICT_TIME_US (250 * MICROS_PER_MS)
#define WINDOW_US (10 * MICROS_PER_S)
#define RETRY_RATIO 0.2
#define RETRY_EXTRA 10.0
/* Parts of one host, as GatewaySettings computes them. */
#define HOST_RETRY_SHARE (0.95 * RETRY_RATIO)
#define HOST_RETRY_EXTRA (RETRY_EXTRA / 200)
#define LEAVING_RATIO 0.02
#define IDEMPOTENT_RATIO 0.7
#define HOSTS_MAX 32
#define IDLE_MAX 4
#define REQUEST_HOST STR("a.example")

typedef struct Simulation_ Simulation;
typedef struct Leg_ Leg;

typedef struct Host_ {
    Simulation *simulation;
    Dispatcher *dispatcher;
    char id[16];
    uint32_t index;
    Micros stalled_until;
    uint8_t idle[CUT_UPSTREAMS_MAX]; /* open connections by upstream */
    GHashTable *attempts;            /* set of Attempt that wait */
    uint32_t limits;                 /* before the last cut */
    Micros refused_at; /* first refused connection of the cut, 0 for none */
    bool was_cut;
} Host;

/* A request of a caller. */
typedef struct Request_ {
    Micros arrived;
    char path[32];
    uint32_t host;
    bool idempotent;
    bool left; /* the caller has disconnected */
    int status;
    CutRuns runs;
} Request;

/* Its handling by one host. */
struct Leg_ {
    Request *request;
    Host *host;
    Job *job; /* NULL when it has ended */
    struct Attempt_ *attempt;
    struct Forward_ *out; /* open forward to a peer */
    struct Forward_ *in;  /* from a peer; NULL: from the caller */
};

typedef struct Forward_ {
    Leg *from; /* NULL once it does not wait */
    Leg *to;
    Host *peer;
    JobInfo info;
    ForwardEndInfo end;
} Forward;

typedef struct Attempt_ {
    Leg *leg; /* NULL once the host does not wait for it */
    Host *host;
    uint32_t upstream;
    Request *request;
    bool connected;
    AttemptResult result;
    LoadReport report;
    LimitNotice limit;
} Attempt;

typedef struct Probe_ {
    Host *host;
    uint32_t upstream;
    uint32_t index; /* of the upstream at the host */
    bool connected;
    bool ended;
    ProbeResult result;
    LoadReport report;
    LimitNotice limit;
} Probe;

struct Simulation_ {
    CutOptions options;
    CutResult result;
    Clock *clock;
    Random *random;
    Counters *counters;
    EventQueue *events;
    CutUpstreams *upstreams;
    RouteTable *routes;
    Host hosts[HOSTS_MAX];
    GPtrArray *requests; /* Request */
    GPtrArray *owned;
};

static void handle_actions(Host *host);
static void answer(Leg *leg, const ForwardEndInfo *end);

static gpointer
create_owned(Simulation *sim, size_t size)
{
    gpointer object = g_malloc0(size);

    g_ptr_array_add(sim->owned, object);
    return object;
}

/* ---- network --------------------------------------------------------- */

/* Returns the cut that a host was in at a time. */
static const Cut *
cut_at(const Host *host, Micros now)
{
    const Simulation *sim = host->simulation;

    for (size_t i = 0; i < sim->options.cut_count; i++) {
        const Cut *cut = &sim->options.cuts[i];

        if ((cut->hosts >> host->index & 1) != 0 && cut->begin <= now &&
            now < cut->end) {
            return cut;
        }
    }
    return NULL;
}

static const Cut *
current_cut(const Host *host)
{
    return cut_at(host, Clock_Now(host->simulation->clock));
}

/* Returns the time that a message between a host and upstreams takes. */
static Micros
path_delay(Host *host)
{
    Simulation *sim = host->simulation;
    const Cut *cut = current_cut(host);
    Micros delay = NETWORK_DELAY_US;

    if (Random_Unit(sim->random) < sim->options.lost_ratio) {
        delay += RETRANSMISSION_US;
    }
    if (cut != NULL && cut->kind == CUT_SILENT) {
        delay += cut->end - Clock_Now(sim->clock) +
                 (Micros)Random_Below(sim->random, MICROS_PER_S);
    }
    return delay;
}

static bool
is_refused(Host *host, uint32_t upstream)
{
    const Cut *cut = current_cut(host);

    if (cut != NULL && cut->kind != CUT_SILENT) {
        if (host->refused_at == 0) {
            host->refused_at = Clock_Now(host->simulation->clock);
        }
        return true;
    }
    return CutUpstreams_IsDead(host->simulation->upstreams, upstream);
}

/* Whether connections are accepted before they are closed. */
static bool
is_closed(const Host *host)
{
    const Cut *cut = current_cut(host);

    return cut != NULL && cut->kind >= CUT_CLOSED;
}

/* A host that stalls handles its timers first, then what has arrived. */
static bool
defer(Host *host, EventHandler *handler, void *user, uint64_t argument,
      bool timer)
{
    Micros wait = host->stalled_until - Clock_Now(host->simulation->clock);

    if (wait <= 0) {
        return false;
    }
    EventQueue_Add(host->simulation->events, wait + (timer ? 0 : 10), handler,
                   user, argument);
    return true;
}

static bool
take_idle(Host *host, uint32_t upstream)
{
    if (host->idle[upstream] == 0) {
        return false;
    }
    host->idle[upstream]--;
    return true;
}

static void
give_idle(Host *host, uint32_t upstream)
{
    if (host->idle[upstream] < IDLE_MAX) {
        host->idle[upstream]++;
    }
}

/* ---- answers --------------------------------------------------------- */

static void
deliver_forward_end(void *user, uint64_t argument)
{
    Forward *forward = user;
    Leg *leg = forward->from;
    Host *host;

    if (leg == NULL) {
        return;
    }
    host = leg->host;
    if (defer(host, deliver_forward_end, user, argument, false)) {
        return;
    }
    forward->from = NULL;
    leg->out = NULL;
    if (GatewayFixture_EndForward(host->dispatcher, leg->job, &forward->end) ==
        JOB_RELAY) {
        answer(leg, &forward->end);
    }
    handle_actions(host);
}

/* The leg has ended with a response. */
static void
answer(Leg *leg, const ForwardEndInfo *end)
{
    Simulation *sim = leg->host->simulation;

    leg->job = NULL;
    if (leg->in == NULL) {
        leg->request->status = leg->request->left ? 0 : end->status;
        return;
    }
    leg->in->to = NULL;
    leg->in->end = *end;
    EventQueue_Add(sim->events, NETWORK_DELAY_US, deliver_forward_end, leg->in,
                   0);
}

static ForwardRefusal
refusal_of(const char *reason)
{
    if (strcmp(reason, "cut-off") == 0) {
        return FORWARD_REFUSAL_CUT_OFF;
    }
    return strcmp(reason, "forward-limit") == 0 ? FORWARD_REFUSAL_LIMIT
                                                : FORWARD_REFUSAL_OTHER;
}

static void
on_host_response(Leg *leg, const DispatchAction *action)
{
    ForwardEndInfo end = {
        .result = action->respond.not_run ? FORWARD_NOT_RUN : FORWARD_FAILED,
        .status = action->respond.status,
        .refusal = refusal_of(action->respond.reason),
        .retry_after = action->respond.retry_after,
    };

    answer(leg, &end);
}

/* ---- attempts -------------------------------------------------------- */

static void
end_attempt(Attempt *attempt)
{
    AttemptEndInfo end = {.result = attempt->result, .status = 200};
    Leg *leg = attempt->leg;
    Host *host = attempt->host;
    ForwardEndInfo response = {.result = FORWARD_RESPONSE, .status = 200};

    attempt->leg = NULL;
    leg->attempt = NULL;
    g_hash_table_remove(host->attempts, attempt);
    if (attempt->result == ATTEMPT_RESULT_RESPONSE) {
        end.report = &attempt->report;
        end.limit = attempt->limit;
    }
    if (GatewayFixture_EndAttempt(host->dispatcher, leg->job, &end) ==
        JOB_RELAY) {
        answer(leg, &response);
    }
    handle_actions(host);
}

static void
deliver_end(void *user, uint64_t argument)
{
    Attempt *attempt = user;

    if (attempt->leg == NULL ||
        defer(attempt->host, deliver_end, user, argument, false)) {
        return;
    }
    if (attempt->result == ATTEMPT_RESULT_RESPONSE) {
        give_idle(attempt->host, attempt->upstream);
    }
    end_attempt(attempt);
}

/* Called by the upstream when it has processed the request, or has ended. */
static void
on_work_end(void *user, bool completed)
{
    Attempt *attempt = user;
    Simulation *sim = attempt->host->simulation;

    attempt->result =
        completed ? ATTEMPT_RESULT_RESPONSE : ATTEMPT_RESULT_BROKEN;
    attempt->report = CutUpstreams_Report(sim->upstreams, attempt->upstream);
    attempt->limit = CutUpstreams_Limit(sim->upstreams, attempt->upstream);
    EventQueue_Add(sim->events, path_delay(attempt->host), deliver_end,
                   attempt, 0);
}

static void
arrive(void *user, uint64_t argument)
{
    Attempt *attempt = user;

    CutUpstreams_Arrive(attempt->host->simulation->upstreams,
                        attempt->upstream, &attempt->request->runs,
                        on_work_end, attempt);
}

static void
write_request(Attempt *attempt)
{
    attempt->connected = true;
    EventQueue_Add(attempt->host->simulation->events,
                   path_delay(attempt->host), arrive, attempt, 0);
}

static void
connect_attempt(void *user, uint64_t argument)
{
    Attempt *attempt = user;

    if (attempt->leg == NULL ||
        defer(attempt->host, connect_attempt, user, argument, false)) {
        return;
    }
    if (is_refused(attempt->host, attempt->upstream)) {
        attempt->result = is_closed(attempt->host) ? ATTEMPT_RESULT_BROKEN
                                                   : ATTEMPT_RESULT_UNSENT;
        end_attempt(attempt);
        return;
    }
    write_request(attempt);
}

static void
send_attempt(Leg *leg, const DispatchAction *action)
{
    Host *host = leg->host;
    Simulation *sim = host->simulation;
    Attempt *attempt = create_owned(sim, sizeof(Attempt));

    attempt->leg = leg;
    attempt->host = host;
    attempt->request = leg->request;
    attempt->upstream = action->send.port - 1U;
    leg->job = action->job;
    leg->attempt = attempt;
    g_hash_table_add(host->attempts, attempt);
    if (take_idle(host, attempt->upstream)) {
        write_request(attempt);
        return;
    }
    EventQueue_Add(sim->events, path_delay(host) + path_delay(host),
                   connect_attempt, attempt, 0);
}

/* ---- probes ---------------------------------------------------------- */

static void
end_probe(Probe *probe)
{
    Host *host = probe->host;
    bool answered = probe->result == PROBE_ANSWERED;

    probe->ended = true;
    if (answered) {
        give_idle(host, probe->upstream);
        Dispatcher_OnProbeLimit(host->dispatcher, probe->index, probe->limit);
    }
    Dispatcher_OnProbeResult(host->dispatcher, probe->index, probe->result,
                             answered ? &probe->report : NULL);
    handle_actions(host);
}

static void
deliver_probe_end(void *user, uint64_t argument)
{
    Probe *probe = user;

    if (!probe->ended &&
        !defer(probe->host, deliver_probe_end, user, argument, false)) {
        end_probe(probe);
    }
}

static void
answer_probe(void *user, uint64_t argument)
{
    Probe *probe = user;
    Simulation *sim = probe->host->simulation;

    probe->result = CutUpstreams_IsDead(sim->upstreams, probe->upstream)
                        ? PROBE_UNCLEAR
                        : PROBE_ANSWERED;
    probe->report = CutUpstreams_Report(sim->upstreams, probe->upstream);
    probe->limit = CutUpstreams_Limit(sim->upstreams, probe->upstream);
    EventQueue_Add(sim->events, path_delay(probe->host), deliver_probe_end,
                   probe, 0);
}

static void
write_probe(Probe *probe)
{
    probe->connected = true;
    EventQueue_Add(probe->host->simulation->events, path_delay(probe->host),
                   answer_probe, probe, 0);
}

static void
connect_probe(void *user, uint64_t argument)
{
    Probe *probe = user;
    if (probe->ended ||
        defer(probe->host, connect_probe, user, argument, false)) {
        return;
    }
    if (!is_refused(probe->host, probe->upstream)) {
        write_probe(probe);
        return;
    }
    probe->result = is_closed(probe->host) ? PROBE_ACCEPTED : PROBE_REFUSED;
    end_probe(probe);
}

static void
time_out_probe(void *user, uint64_t argument)
{
    Probe *probe = user;

    if (probe->ended ||
        defer(probe->host, time_out_probe, user, argument, true)) {
        return;
    }
    probe->ended = true;
    Dispatcher_OnProbeTimeout(probe->host->dispatcher, probe->index,
                              probe->connected);
    handle_actions(probe->host);
}

static void
start_probe(Host *host, const DispatchAction *action)
{
    Simulation *sim = host->simulation;
    Probe *probe = create_owned(sim, sizeof(Probe));

    probe->host = host;
    probe->upstream = action->probe.port - 1U;
    probe->index = action->probe.upstream;
    if (!action->probe.new_connection && take_idle(host, probe->upstream)) {
        write_probe(probe);
    }
    else {
        EventQueue_Add(sim->events, path_delay(host) + path_delay(host),
                       connect_probe, probe, 0);
    }
    EventQueue_Add(sim->events, LOAD_PROBE_TIMEOUT_US, time_out_probe, probe,
                   0);
}

/* ---- forwards -------------------------------------------------------- */

static Leg *
submit(Host *host, Request *request, const JobInfo *info, Forward *in)
{
    Leg *leg = create_owned(host->simulation, sizeof(Leg));

    leg->request = request;
    leg->host = host;
    leg->in = in;
    leg->job = Dispatcher_Submit(host->dispatcher, info, leg);
    handle_actions(host);
    return leg;
}

static void
deliver_forward(void *user, uint64_t argument)
{
    Forward *forward = user;
    Leg *leg;

    if (forward->from == NULL ||
        defer(forward->peer, deliver_forward, user, argument, false)) {
        return;
    }
    leg =
        submit(forward->peer, forward->from->request, &forward->info, forward);
    forward->to = leg->job != NULL ? leg : NULL;
}

static void
disconnect(void *user, uint64_t argument)
{
    Leg *leg = user;

    if (leg->job == NULL ||
        defer(leg->host, disconnect, user, argument, false)) {
        return;
    }
    Dispatcher_OnCallerDisconnect(leg->host->dispatcher, leg->job);
    leg->job = NULL;
    if (leg->attempt != NULL) {
        g_hash_table_remove(leg->host->attempts, leg->attempt);
        leg->attempt->leg = NULL;
        leg->attempt = NULL;
    }
    if (leg->out != NULL) {
        leg->out->from = NULL;
        if (leg->out->to != NULL) {
            EventQueue_Add(leg->host->simulation->events, NETWORK_DELAY_US,
                           disconnect, leg->out->to, 0);
        }
        leg->out = NULL;
    }
    handle_actions(leg->host);
}

static JobInfo
job_info(const Request *request)
{
    return (JobInfo){
        .id = STR("r"),
        .method = STR("GET"),
        .host = REQUEST_HOST,
        .path = Str_FromC(request->path),
        .timeout = CALLER_TIMEOUT_US,
    };
}

static void
send_forward(Leg *leg, const DispatchAction *action)
{
    Simulation *sim = leg->host->simulation;
    Forward *forward = create_owned(sim, sizeof(Forward));

    sim->result.forwards++;
    sim->result.second_hops += leg->in != NULL;
    leg->job = action->job;
    leg->out = forward;
    forward->from = leg;
    forward->info = job_info(leg->request);
    forward->info.timeout = action->forward.timeout;
    forward->info.forwarded = !sim->options.second_hop;
    forward->info.attempts_max =
        sim->options.unsummed_attempts ? 0 : action->forward.attempts_max;
    for (uint32_t i = 0; i < sim->options.host_count; i++) {
        if (Str_Equal(Str_FromC(sim->hosts[i].id), action->forward.peer)) {
            forward->peer = &sim->hosts[i];
        }
    }
    g_assert_true(forward->peer != NULL && forward->peer != leg->host);
    EventQueue_Add(sim->events, NETWORK_DELAY_US, deliver_forward, forward, 0);
}

static void
cancel(Leg *leg)
{
    if (leg->attempt != NULL) {
        g_hash_table_remove(leg->host->attempts, leg->attempt);
        leg->attempt->leg = NULL;
        leg->attempt = NULL;
    }
    if (leg->out != NULL) {
        leg->out->from = NULL;
        if (leg->out->to != NULL) {
            EventQueue_Add(leg->host->simulation->events, NETWORK_DELAY_US,
                           disconnect, leg->out->to, 0);
        }
        leg->out = NULL;
    }
}

static void
handle_actions(Host *host)
{
    DispatchAction action;

    while (Dispatcher_NextAction(host->dispatcher, &action)) {
        Leg *leg = action.user;

        switch (action.kind) {
        case DISPATCH_PROBE:
            start_probe(host, &action);
            break;
        case DISPATCH_SEND:
            send_attempt(leg, &action);
            break;
        case DISPATCH_FORWARD:
            send_forward(leg, &action);
            break;
        case DISPATCH_ASK:
        case DISPATCH_GRANT:
        case DISPATCH_ABORT:
            g_assert_not_reached();
        case DISPATCH_CANCEL:
            cancel(leg);
            break;
        case DISPATCH_RESPOND:
            on_host_response(leg, &action);
            break;
        }
    }
}

/* ---- callers --------------------------------------------------------- */

static void
leave(void *user, uint64_t argument)
{
    Leg *leg = user;

    if (leg->request->status == 0) {
        leg->request->left = true;
        disconnect(leg, 0);
    }
}

static void
submit_request(void *user, uint64_t index)
{
    Simulation *sim = user;
    Request *request = g_ptr_array_index(sim->requests, index);
    Host *host = &sim->hosts[request->host];
    JobInfo info = job_info(request);
    Leg *leg;

    if (defer(host, submit_request, user, index, false)) {
        return;
    }
    leg = submit(host, request, &info, NULL);
    if (Random_Unit(sim->random) < LEAVING_RATIO) {
        EventQueue_Add(sim->events,
                       (Micros)Random_Below(sim->random, CALLER_TIMEOUT_US),
                       leave, leg, 0);
    }
}

/* Equal requests count together in the quarantine. */
static void
set_path(const Simulation *sim, Request *request)
{
    guint number = sim->options.crash_interval > 0 ? sim->requests->len : 0;

    g_snprintf(request->path, sizeof(request->path), "/%s/%u/%u",
               request->idempotent ? "safe" : "once", request->runs.service,
               number);
}

static void
offer(void *user, uint64_t argument)
{
    Simulation *sim = user;
    Request *request = g_new0(Request, 1);

    if (Clock_Now(sim->clock) >=
        sim->options.duration - CALLER_TIMEOUT_US - ANSWER_SLACK_US) {
        g_free(request);
        return;
    }
    request->arrived = Clock_Now(sim->clock);
    request->host =
        (uint32_t)Random_Below(sim->random, sim->options.host_count);
    request->idempotent = Random_Unit(sim->random) < IDEMPOTENT_RATIO;
    request->runs.service = (uint32_t)Random_Below(sim->random, CUT_SERVICES);
    set_path(sim, request);
    g_ptr_array_add(sim->requests, request);
    submit_request(sim, sim->requests->len - 1);
    EventQueue_Add(
        sim->events,
        1 + (Micros)Random_Exponential(
                sim->random, MICROS_PER_S / sim->options.requests_per_s),
        offer, sim, 0);
}

/* ---- hosts ----------------------------------------------------------- */

/* Resets the connections of a host. */
static void
reset_connections(Host *host)
{
    GList *attempts = g_hash_table_get_keys(host->attempts);

    memset(host->idle, 0, sizeof(host->idle));
    for (GList *item = attempts; item != NULL; item = item->next) {
        Attempt *attempt = item->data;

        if (attempt->connected && attempt->leg != NULL) {
            attempt->result = ATTEMPT_RESULT_BROKEN;
            EventQueue_Add(host->simulation->events, NETWORK_DELAY_US,
                           deliver_end, attempt, 0);
        }
    }
    g_list_free(attempts);
}

static void
begin_cut(void *user, uint64_t index)
{
    Simulation *sim = user;
    const Cut *cut = &sim->options.cuts[index];

    for (uint32_t i = 0; i < sim->options.host_count; i++) {
        Host *host = &sim->hosts[i];

        if ((cut->hosts >> i & 1) == 0) {
            continue;
        }
        host->limits = Dispatcher_LimitedUpstreamCount(host->dispatcher);
        host->refused_at = 0;
        if (cut->kind == CUT_RESET) {
            reset_connections(host);
        }
    }
}

static void
end_cut(void *user, uint64_t index)
{
    Simulation *sim = user;
    const Cut *cut = &sim->options.cuts[index];

    for (uint32_t i = 0; i < sim->options.host_count; i++) {
        const Host *host = &sim->hosts[i];

        sim->result.lost_limits +=
            (cut->hosts >> i & 1) != 0 &&
            Dispatcher_LimitedUpstreamCount(host->dispatcher) < host->limits;
    }
}

/* Notes when a host changes its mind. */
static void
judge_state(Host *host)
{
    CutResult *result = &host->simulation->result;
    Micros now = Clock_Now(host->simulation->clock);
    const Cut *cut = current_cut(host);
    bool is_cut = Dispatcher_IsCutOff(host->dispatcher);

    if (is_cut == host->was_cut) {
        return;
    }
    host->was_cut = is_cut;
    if (is_cut) {
        result->declared++;
        result->false_cuts +=
            cut == NULL && cut_at(host, now - VERDICT_TIME_US) == NULL;
        if (cut != NULL) {
            result->detection = MAX(result->detection,
                                    now - MAX(cut->begin, host->refused_at));
        }
        return;
    }
    for (size_t i = 0; i < host->simulation->options.cut_count; i++) {
        const Cut *past = &host->simulation->options.cuts[i];

        if ((past->hosts >> host->index & 1) != 0 && past->end <= now &&
            now - past->end < 2 * MICROS_PER_S) {
            result->restoration = MAX(result->restoration, now - past->end);
        }
    }
}

static void
tick_host(void *user, uint64_t argument)
{
    Host *host = user;
    Micros now = Clock_Now(host->simulation->clock);
    Micros next = Dispatcher_NextTime(host->dispatcher);

    if (now >= host->stalled_until && next >= 0 && next <= now) {
        Dispatcher_OnTime(host->dispatcher);
        handle_actions(host);
    }
    judge_state(host);
    EventQueue_Add(host->simulation->events, TICK_US, tick_host, host, 0);
}

static void
stall_host(void *user, uint64_t argument)
{
    Simulation *sim = user;
    Host *host =
        &sim->hosts[Random_Below(sim->random, sim->options.host_count)];

    host->stalled_until =
        Clock_Now(sim->clock) + Random_Jitter(sim->random, STALL_MEAN_US);
    EventQueue_Add(sim->events,
                   Random_Jitter(sim->random, sim->options.stall_interval),
                   stall_host, sim, 0);
}

static Str
domain_name(uint32_t index)
{
    static const char *const names[CUT_DOMAINS] = {"a", "b", "c"};

    return Str_FromC(names[index % CUT_DOMAINS]);
}

static void
set_peers(Host *host)
{
    Simulation *sim = host->simulation;
    PeerInfo peers[HOSTS_MAX];
    Str ids[HOSTS_MAX];
    size_t n = 0;

    for (uint32_t i = 0; i < sim->options.host_count; i++) {
        ids[i] = Str_FromC(sim->hosts[i].id);
        if (i != host->index) {
            peers[n++] = (PeerInfo){ids[i], domain_name(i)};
        }
    }
    Dispatcher_SetHosts(host->dispatcher, ids, sim->options.host_count, 0);
    if (!sim->options.no_forwarding) {
        Dispatcher_SetPeers(host->dispatcher, peers, n);
    }
}

static void
start_host(Simulation *sim, uint32_t index)
{
    Host *host = &sim->hosts[index];
    DispatcherOptions options = {
        .domain = domain_name(index),
        .retry_window = WINDOW_US,
        .retry_share = HOST_RETRY_SHARE,
        .retry_extra = HOST_RETRY_EXTRA,
        .probes_per_s = 60,
    };

    host->simulation = sim;
    host->index = index;
    host->attempts = g_hash_table_new(NULL, NULL);
    g_snprintf(host->id, sizeof(host->id), "host-%u", index);
    options.host = Str_FromC(host->id);
    host->dispatcher = Dispatcher_Create(&options, sim->clock, sim->random,
                                         NULL, NULL, sim->counters);
    Dispatcher_SetRoutes(host->dispatcher, sim->routes);
    for (uint32_t i = 0; i < sim->options.upstream_count; i++) {
        UpstreamEntry entry = CutUpstreams_Entry(sim->upstreams, i);

        entry.domain = domain_name(i / CUT_SERVICES);
        Dispatcher_PutUpstream(host->dispatcher, &entry);
    }
    EventQueue_Add(sim->events, (Micros)Random_Below(sim->random, TICK_US),
                   tick_host, host, 0);
}

/* ---- runs ------------------------------------------------------------ */

static RouteTable *
create_routes(uint32_t attempts_max)
{
    CallerLimits limits = {0};
    RouteTable *table = RouteTable_Create(1, &limits);

    for (uint32_t i = 0; i < CUT_SERVICES; i++) {
        for (int safe = 0; safe < 2; safe++) {
            char prefix[16];
            RoutePart part = {CutUpstreams_ServiceName(i), 1};
            Route route = {
                .name = STR("route"),
                .host = REQUEST_HOST,
                .kind = safe ? ROUTE_IDEMPOTENT : ROUTE_AT_MOST_ONCE,
                .timeout = CALLER_TIMEOUT_US,
                .objective = OBJECTIVE_US,
                .attempts_max = attempts_max,
                .parts = &part,
                .part_count = 1,
            };

            g_snprintf(prefix, sizeof(prefix), "/%s/%u/",
                       safe ? "safe" : "once", i);
            route.prefix = Str_FromC(prefix);
            g_assert_cmpint(RouteTable_Add(table, &route, NULL), ==, 0);
        }
        RouteTable_AddService(table, CutUpstreams_ServiceName(i),
                              STR("/load"));
    }
    return table;
}

static Simulation *
create_simulation(const CutOptions *options)
{
    Simulation *sim = g_new0(Simulation, 1);

    g_assert_cmpuint(options->host_count, <=, HOSTS_MAX);
    sim->options = *options;
    sim->clock = Clock_CreateManual(0, 0);
    sim->random = Random_Create(options->seed);
    sim->counters = Counters_Create(100);
    sim->events = EventQueue_Create(sim->clock);
    sim->upstreams = CutUpstreams_Create(options->upstream_count, sim->events,
                                         sim->clock, sim->random);
    sim->routes = create_routes(options->attempts_max);
    sim->requests = g_ptr_array_new_with_free_func(g_free);
    sim->owned = g_ptr_array_new_with_free_func(g_free);
    return sim;
}

static void
destroy_simulation(Simulation *sim)
{
    for (uint32_t i = 0; i < sim->options.host_count; i++) {
        Dispatcher_Destroy(sim->hosts[i].dispatcher);
        g_hash_table_destroy(sim->hosts[i].attempts);
    }
    EventQueue_Destroy(sim->events);
    CutUpstreams_Destroy(sim->upstreams);
    RouteTable_Unref(sim->routes);
    g_ptr_array_free(sim->owned, TRUE);
    g_ptr_array_free(sim->requests, TRUE);
    Counters_Destroy(sim->counters);
    Random_Destroy(sim->random);
    Clock_Destroy(sim->clock);
    g_free(sim);
}

static void
schedule_faults(Simulation *sim)
{
    const CutOptions *options = &sim->options;

    for (size_t i = 0; i < options->cut_count; i++) {
        EventQueue_Add(sim->events, options->cuts[i].begin, begin_cut, sim, i);
        EventQueue_Add(sim->events, options->cuts[i].end, end_cut, sim, i);
    }
    if (options->dead_until > 0) {
        CutUpstreams_KillService(sim->upstreams, 1, options->dead_from,
                                 options->dead_until);
    }
    if (options->crash_interval > 0) {
        CutUpstreams_StartCrashes(sim->upstreams, options->crash_interval);
    }
    if (options->stall_interval > 0) {
        EventQueue_Add(sim->events, options->stall_interval, stall_host, sim,
                       0);
    }
}

/* ---- verdicts -------------------------------------------------------- */

static void
add_to(CutShare *share, const Request *request)
{
    share->offered++;
    share->served += request->status == 200;
}

static void
judge_share(Simulation *sim, const Request *request)
{
    bool calm = true, cut_off = false, restored = false;

    for (size_t i = 0; i < sim->options.cut_count; i++) {
        const Cut *cut = &sim->options.cuts[i];
        Micros since_end = request->arrived - cut->end;

        if ((cut->hosts >> request->host & 1) == 0) {
            continue;
        }
        cut_off |= request->arrived >= cut->begin + STABLE_US &&
                   request->arrived < cut->end;
        restored |= since_end >= MICROS_PER_S && since_end < 3 * MICROS_PER_S;
        calm &= request->arrived < cut->begin - CALLER_TIMEOUT_US ||
                since_end >= STABLE_US;
    }
    if (cut_off) {
        add_to(&sim->result.cut, request);
    }
    else if (restored) {
        add_to(&sim->result.restored, request);
    }
    else if (calm) {
        add_to(&sim->result.others, request);
    }
}

static void
judge_request(Simulation *sim, const Request *request)
{
    CutResult *result = &sim->result;

    result->requests++;
    result->refused += request->status == 503;
    result->run_twice += !request->idempotent && request->runs.count > 1;
    result->refused_and_run +=
        request->status == 503 && request->runs.count > 0;
    result->excess_attempts +=
        request->runs.upstream_count > sim->options.attempts_max;
    result->unanswered += request->status == 0 && !request->left;
    if (!request->left) {
        judge_share(sim, request);
    }
}

static unsigned
read_counter(Simulation *sim, const char *name)
{
    GString *text = g_string_new(NULL);
    const char *found;
    unsigned value = 0;

    Counters_Write(sim->counters, text);
    for (found = strstr(text->str, name); found != NULL;
         found = strstr(found + 1, name)) {
        const char *end = strchr(found, '}');

        if (found[strlen(name)] == '{' && end != NULL) {
            value += (unsigned)g_ascii_strtoull(end + 1, NULL, 10);
        }
    }
    g_string_free(text, TRUE);
    return value;
}

static void
judge(Simulation *sim)
{
    for (guint i = 0; i < sim->requests->len; i++) {
        const Request *request = g_ptr_array_index(sim->requests, i);

        CutUpstreams_OnRequest(sim->upstreams, request->runs.service,
                               request->arrived);
        judge_request(sim, request);
    }
    sim->result.budget_excess = CutUpstreams_BudgetExcess(
        sim->upstreams, WINDOW_US, RETRY_RATIO, RETRY_EXTRA);
    sim->result.losses = read_counter(sim, "agatecrank_request_losses_total");
}

CutResult
CutSimulation_Run(const CutOptions *options)
{
    Simulation *sim = create_simulation(options);
    CutResult result;

    for (uint32_t i = 0; i < options->host_count; i++) {
        start_host(sim, i);
    }
    for (uint32_t i = 0; i < options->host_count; i++) {
        set_peers(&sim->hosts[i]);
    }
    schedule_faults(sim);
    EventQueue_Add(sim->events, 0, offer, sim, 0);
    EventQueue_RunUntil(sim->events, options->duration);
    judge(sim);
    result = sim->result;
    destroy_simulation(sim);
    return result;
}
