#include "GatewayDaemon.h"

#include <glib.h>
#include <signal.h>
#include <string.h>
#include <unistd.h>

#include "BalancerDaemon.h"
#include "Gateway.h"
#include "KeyedSource.h"
#include "LogSink.h"
#include "PlatformDialect.h"
#include "PlatformFeed.h"
#include "QuarantineFeed.h"
#include "StoreClient.h"

#define SERIES_MAX 512
/* A rollout that replaces hundreds of upstreams is logged within seconds. */
#define STATE_LOG_LINES_PER_S 200
/* Part of the shared retry bound that is used, because the retry windows of
 * the hosts are not aligned. */
#define RETRY_BOUND_RATIO 0.95
/* Part of the time after the withdrawal of a key in which it may be used that
 * is left unused. */
#define KEY_TIME_MARGIN_US (250 * MICROS_PER_MS)
/* Part of the drain time for which an upstream whose entry has expired is used
 * after the store is back; the rest is for the transfer of requests to it. */
#define OUTAGE_GRACE_RATIO 0.95
#define CONNECTIONS_MAX 32
#define BYTES_PER_MB 1000000
/* The upstream may close a connection that is idle for longer. */
#define REUSE_IDLE_MAX_US (1 * MICROS_PER_S)
/* Time after a stop signal for which the host still accepts connections: the
 * platform checks readiness every second and acts on two equal results in a
 * row. */
#define STOP_NOTICE_US (2500 * MICROS_PER_MS)
/* Part of the stop time that is reserved for the responses to the requests that
 * are still open and for the exit of the process. */
#define STOP_MARGIN_US (300 * MICROS_PER_MS)
/* Time in which these responses are written. */
#define STOP_RESPONSES_US (100 * MICROS_PER_MS)
#define STOP_CHECK_INTERVAL_US (50 * MICROS_PER_MS)
#define STATUS_KEEP_ALIVE_S 30

struct GatewayDaemon_ {
    const GatewaySettings *settings;
    Clock *clock;
    LogSink *log_sink;
    EventLog *log;          /* changes of the state of the host */
    EventLog *decision_log; /* decisions on requests; rate limited */
    Random *random;
    Counters *counters;
    Loop *loop;
    HostKeys *keys;
    Dispatcher *dispatcher;
    Gateway *gateway;
    StoreClient *store;
    KeyedRelay *relay;
    KeyedSource *source;
    PlatformFeed *feed;
    QuarantineFeed *quarantine;
    HttpServer *readiness;
    HttpServer *metrics;
    LoopTimer *stop_timer;
    Micros listen_end; /* after a stop signal */
    Micros stop_end;   /* requests that are open then are interrupted */
    size_t interrupted;
    int exit_code;
    bool ready;
    bool stopping;
};

/* ---- readiness and metrics ------------------------------------------ */

static void
update_ready(GatewayDaemon *this)
{
    bool ready = !this->stopping && this->feed != NULL &&
                 PlatformFeed_IsComplete(this->feed) &&
                 !Dispatcher_RejectsKeys(this->dispatcher);

    if (ready == this->ready) {
        return;
    }
    this->ready = ready;
    if (EventLog_Begin(this->log, LOG_LEVEL_WARN,
                       ready ? "ready" : "not-ready")) {
        EventLog_Int(this->log, "upstreams",
                     (int64_t)Dispatcher_UpstreamCount(this->dispatcher));
        EventLog_End(this->log);
    }
}

static void
ignore_request(void *user, HttpRequest *request)
{
}

static void
ignore_body(void *user, HttpRequest *request, Str data)
{
}

static void
ignore_closed(void *user, HttpRequest *request, bool complete)
{
}

static void
respond_readiness(void *user, HttpRequest *request)
{
    GatewayDaemon *this = user;
    HeaderList *headers = HeaderList_Create();

    update_ready(this);
    HttpRequest_Respond(request, this->ready ? 200 : 503, headers, STR(""));
    HeaderList_Destroy(headers);
}

static void
set_idle_counters(const GatewayDaemon *this)
{
    const HttpServerIdleCounts *idle = Gateway_IdleCounts(this->gateway);

    Counters_Set(this->counters, "agatecrank_idle_connections_closed", NULL, 0,
                 (double)idle->closed);
    Counters_Set(this->counters, "agatecrank_idle_connections_with_input",
                 NULL, 0, (double)idle->with_input);
}

static void
set_input_counters(const GatewayDaemon *this)
{
    HttpServerPressure pressure = Gateway_Pressure(this->gateway);

    Counters_Set(this->counters, "agatecrank_request_bytes", NULL, 0,
                 (double)Gateway_InputBytes(this->gateway));
    Counters_Set(this->counters, "agatecrank_callers_refused", NULL, 0,
                 (double)pressure.refused);
    Counters_Set(this->counters, "agatecrank_callers_closed", NULL, 0,
                 (double)pressure.closed);
}

static void
set_routes_age(const GatewayDaemon *this)
{
    Micros age = Dispatcher_RoutesAge(this->dispatcher);

    Counters_Set(this->counters, "agatecrank_routes_age_seconds", NULL, 0,
                 age >= 0 ? (double)age / (double)MICROS_PER_S : -1);
}

static void
set_excluded_counts(GatewayDaemon *this)
{
    for (int reason = ELIGIBILITY_OK + 1; reason < ELIGIBILITY_COUNT;
         reason++) {
        CounterLabel label = {"reason",
                              Str_FromC(Eligibility_ReasonName(reason))};

        Counters_Set(this->counters, "agatecrank_excluded_upstreams", &label,
                     1, Dispatcher_ExcludedCount(this->dispatcher, reason));
    }
}

static void
respond_metrics(void *user, HttpRequest *request)
{
    GatewayDaemon *this = user;
    HeaderList *headers = HeaderList_Create();
    GString *text = g_string_new(NULL);

    Counters_Set(this->counters, "agatecrank_open_requests", NULL, 0,
                 (double)Gateway_OpenRequests(this->gateway));
    Counters_Set(this->counters, "agatecrank_upstreams", NULL, 0,
                 (double)Dispatcher_UpstreamCount(this->dispatcher));
    Counters_Set(this->counters, "agatecrank_limited_upstreams", NULL, 0,
                 Dispatcher_LimitedUpstreamCount(this->dispatcher));
    set_excluded_counts(this);
    set_routes_age(this);
    Counters_Set(this->counters, "agatecrank_skipped_responses", NULL, 0,
                 (double)Gateway_SkippedResponses(this->gateway));
    Counters_Set(this->counters, "agatecrank_evacuated_domains", NULL, 0,
                 (double)Dispatcher_EvacuatedCount(this->dispatcher));
    Counters_Set(this->counters, "agatecrank_store_calls", NULL, 0,
                 (double)(KeyedSource_LogCalls(this->source) +
                          QuarantineFeed_Appends(this->quarantine)));
    set_idle_counters(this);
    set_input_counters(this);
    Counters_Set(this->counters, "agatecrank_log_lines_lost", NULL, 0,
                 (double)(LogSink_DroppedLines() +
                          EventLog_Dropped(this->log) +
                          EventLog_Dropped(this->decision_log)));
    Counters_Write(this->counters, text);
    HeaderList_Add(headers, STR("content-type"),
                   STR("text/plain; version=0.0.4"));
    HttpRequest_Respond(request, 200, headers, Str_FromString(text));
    g_string_free(text, TRUE);
    HeaderList_Destroy(headers);
}

/* Without waiting for the end of a body, which nobody needs. */
static const HttpServerHandlers readiness_handlers = {
    respond_readiness, ignore_body,   ignore_request,
    ignore_request,    ignore_closed,
};

static const HttpServerHandlers metrics_handlers = {
    respond_metrics, ignore_body,   ignore_request,
    ignore_request,  ignore_closed,
};

/* ---- stopping ------------------------------------------------------- */

static void
stop_loop(GatewayDaemon *this)
{
    this->exit_code = this->interrupted > 0 ? EXIT_INTERRUPTED : EXIT_DRAINED;
    if (EventLog_Begin(this->log, LOG_LEVEL_WARN, "stopped")) {
        EventLog_Int(this->log, "interrupted_requests",
                     (int64_t)this->interrupted);
        EventLog_End(this->log);
    }
    Loop_Stop(this->loop);
}

static void
interrupt_requests(GatewayDaemon *this)
{
    this->interrupted = Gateway_OpenRequests(this->gateway);
    Dispatcher_Interrupt(this->dispatcher);
    Gateway_RunActions(this->gateway);
}

static void
check_stop(void *user)
{
    GatewayDaemon *this = user;
    Micros now = Clock_Now(this->clock);

    if (now >= this->listen_end) {
        Gateway_StopListening(this->gateway);
    }
    if (now >= this->stop_end && this->interrupted == 0) {
        interrupt_requests(this);
    }
    if ((now >= this->listen_end &&
         Gateway_OpenRequests(this->gateway) == 0) ||
        now >= this->stop_end + STOP_RESPONSES_US) {
        stop_loop(this);
        return;
    }
    LoopTimer_Start(this->stop_timer, STOP_CHECK_INTERVAL_US);
}

static void
on_signal(void *user, int number)
{
    GatewayDaemon *this = user;

    if (EventLog_Begin(this->log, LOG_LEVEL_WARN,
                       number == SIGHUP ? "reload" : "stopping")) {
        EventLog_Int(this->log, "signal", number);
        EventLog_Int(this->log, "open_requests",
                     (int64_t)Gateway_OpenRequests(this->gateway));
        EventLog_End(this->log);
    }
    /* A gateway cannot change its settings while it runs. */
    if (number == SIGHUP || this->stopping) {
        return;
    }
    this->stopping = true;
    this->stop_end = Clock_Now(this->clock) +
                     this->settings->bounds.stop_time - STOP_MARGIN_US;
    this->listen_end = Clock_Now(this->clock) + STOP_NOTICE_US;
    update_ready(this);
    Gateway_Stop(this->gateway);
    Dispatcher_Stop(this->dispatcher, this->stop_end);
    Gateway_RunActions(this->gateway);
    LoopTimer_Start(this->stop_timer, STOP_CHECK_INTERVAL_US);
}

/* ---- creation ------------------------------------------------------- */

static void
on_feed_update(void *user)
{
    GatewayDaemon *this = user;
    const RouteTable *routes = Dispatcher_Routes(this->dispatcher);

    if (routes != NULL) {
        Gateway_SetLimits(this->gateway, RouteTable_Limits(routes));
    }
    Gateway_RunActions(this->gateway);
    update_ready(this);
}

static void
create_base(GatewayDaemon *this)
{
    const GatewaySettings *settings = this->settings;

    this->clock = Clock_CreateSystem();
    this->log_sink =
        LogSink_Create(this->clock, settings->host_id, STDOUT_FILENO);
    this->log =
        EventLog_Create(this->clock, (LogLevel)settings->log_level,
                        STATE_LOG_LINES_PER_S, LogSink_Write, this->log_sink);
    this->decision_log = EventLog_Create(
        this->clock, (LogLevel)settings->log_level,
        settings->decision_lines_per_s, LogSink_Write, this->log_sink);
    this->counters = Counters_Create(SERIES_MAX);
    this->random = Random_Create((uint64_t)Clock_Wall(this->clock) ^
                                 Str_Hash(settings->host_id));
}

static void
create_dispatcher(GatewayDaemon *this)
{
    const GatewayBounds *bounds = &this->settings->bounds;
    DispatcherOptions options = {
        .host = this->settings->host_id,
        .domain = this->settings->domain,
        .retry_window = bounds->retry_window,
        .retry_share = bounds->retry_share * RETRY_BOUND_RATIO,
        .retry_shared_extra = bounds->retry_extra * RETRY_BOUND_RATIO,
        .probes_per_s = bounds->probes_per_s,
        .outage_grace =
            (Micros)(OUTAGE_GRACE_RATIO * (double)bounds->drain_time),
        .allowance_window = bounds->allowance_window,
        .allowance_overshoot = bounds->allowance_overshoot,
        .allowance_slack = bounds->allowance_slack,
        .key_age_max = bounds->key_time > 0
                           ? MAX(bounds->key_time - KEY_TIME_MARGIN_US, 1)
                           : 0,
    };

    this->dispatcher =
        Dispatcher_Create(&options, this->clock, this->random, this->log,
                          this->decision_log, this->counters);
}

static HttpServer *
create_status_server(GatewayDaemon *this, const Endpoint *endpoint,
                     const HttpServerHandlers *handlers, Error *error)
{
    HttpServerOptions options = {
        .address = endpoint->address,
        .port = endpoint->port,
        .keep_alive_s = STATUS_KEEP_ALIVE_S,
    };

    return HttpServer_Create(this->loop, &options, handlers, this, error);
}

static void
on_hosts(void *user, const Str *ids, size_t count, Micros known_from)
{
    GatewayDaemon *this = user;

    Dispatcher_SetHosts(this->dispatcher, ids, count, known_from);
}

/* Hosts that listen for no requests of others can't be asked. */
static void
set_grantors(GatewayDaemon *this, const ListedHost *hosts, size_t count)
{
    GArray *grantors = g_array_new(FALSE, FALSE, sizeof(AllowanceHost));

    for (size_t i = 0; i < count; i++) {
        AllowanceHost host = {hosts[i].id, hosts[i].entry.link_mbps};

        if (hosts[i].entry.forward_port > 0) {
            g_array_append_val(grantors, host);
        }
    }
    Dispatcher_SetGrantors(this->dispatcher,
                           (const AllowanceHost *)grantors->data,
                           grantors->len);
    g_array_free(grantors, TRUE);
}

/* Hosts that listen for no requests of others take no part in forwarding. */
static void
on_entries(void *user, const ListedHost *hosts, size_t count)
{
    GatewayDaemon *this = user;
    const GPtrArray *known = HostKeys_Peers(this->keys);
    GArray *peers = g_array_new(FALSE, FALSE, sizeof(PeerInfo));

    HostKeys_SetPeers(this->keys, hosts, count);
    set_grantors(this, hosts, count);
    for (guint i = 0; i < known->len; i++) {
        const HostPeer *peer = g_ptr_array_index(known, i);
        PeerInfo info = {Str_FromString(peer->id),
                         Str_FromString(peer->domain)};

        g_array_append_val(peers, info);
    }
    if (Gateway_ForwardPort(this->gateway) > 0) {
        Dispatcher_SetPeers(this->dispatcher, (const PeerInfo *)peers->data,
                            peers->len);
    }
    g_array_free(peers, TRUE);
}

/* The relay listens before there is a source. */
static void
serve_hosts(void *user, Micros age_max, KeyedPageHandler *handler,
            void *handler_user)
{
    GatewayDaemon *this = user;
    KeyedPage page = {.code = ERR_UNAVAILABLE};

    if (this->source == NULL) {
        handler(handler_user, &page);
        return;
    }
    KeyedSource_ServeHosts(this->source, age_max, handler, handler_user);
}

static void
register_for(void *user, Str host, Str value, KeyedAppendHandler *handler,
             void *handler_user)
{
    GatewayDaemon *this = user;

    if (this->source == NULL) {
        handler(handler_user, ERR_UNAVAILABLE);
        return;
    }
    KeyedSource_RegisterFor(this->source, host, value, handler, handler_user);
}

static int
create_feed(GatewayDaemon *this, Error *error)
{
    const GatewaySettings *settings = this->settings;
    KeyedRelayOptions relay = {
        .address = settings->relay.address,
        .port = settings->relay.port,
        .host = settings->host_id,
        .serve_hosts = serve_hosts,
        .register_for = register_for,
        .user = this,
    };
    KeyedSourceOptions source = {
        .host = settings->host_id,
        .entry = {.domain = settings->domain,
                  .region = settings->region,
                  .link_mbps = settings->link_mbps,
                  .relay = settings->relay,
                  .forward_port = Gateway_ForwardPort(this->gateway)},
        .seeds = settings->seeds,
        .seed_count = settings->seed_count,
        .first_start = settings->first_start,
        .on_hosts = on_hosts,
        .on_entries = on_entries,
        .user = this,
    };

    memcpy(source.entry.key, HostKeys_PublicKey(this->keys), HOST_KEY_BYTES);
    this->relay = KeyedRelay_Create(this->loop, &relay, error);
    if (this->relay == NULL) {
        return ERR_IO;
    }
    this->source = KeyedSource_Create(this->loop, StoreClient_Log(this->store),
                                      &source, this->log);
    /* Created first, so that its snapshot is requested before the routes,
     * without which no request is sent. */
    this->quarantine =
        QuarantineFeed_Create(this->loop, KeyedSource_Log(this->source),
                              StoreClient_Log(this->store), this->relay,
                              Dispatcher_CrashGuard(this->dispatcher),
                              this->random, this->log, this->counters);
    this->feed =
        PlatformFeed_Create(this->loop, KeyedSource_Log(this->source),
                            this->relay, this->dispatcher, this->random,
                            this->log, this->counters, on_feed_update, this);
    return 0;
}

static void
on_gateway_update(void *user)
{
    GatewayDaemon *this = user;

    if (this->quarantine != NULL) {
        QuarantineFeed_Flush(this->quarantine);
    }
}

static void
on_stale_keys(void *user, Str host)
{
    GatewayDaemon *this = user;

    if (this->source != NULL) {
        KeyedSource_RefreshHosts(this->source, host);
    }
}

static int
create_net(GatewayDaemon *this, Error *error)
{
    const GatewaySettings *settings = this->settings;
    GatewayOptions options = {
        .address = settings->callers.address,
        .port = settings->callers.port,
        .dialect = &PLATFORM_DIALECT,
        .connections_max = CONNECTIONS_MAX,
        .memory_bytes = (size_t)settings->memory_mb * BYTES_PER_MB,
        .descriptors_max = settings->descriptors_max,
        .reuse_idle = REUSE_IDLE_MAX_US,
        .keys = this->keys,
        .log = this->log,
        .decisions = this->decision_log,
        .on_stale_keys = on_stale_keys,
        .on_update = on_gateway_update,
        .user = this,
    };

    if (settings->forward.port > 0) {
        options.forward = settings->forward;
    }
    this->gateway = Gateway_Create(this->loop, this->dispatcher,
                                   this->counters, &options, error);
    if (this->gateway == NULL) {
        return ERR_IO;
    }
    this->readiness = create_status_server(this, &settings->readiness,
                                           &readiness_handlers, error);
    this->metrics = create_status_server(this, &settings->metrics,
                                         &metrics_handlers, error);
    this->store = StoreClient_Create(this->loop, &settings->store, error);
    if (this->readiness == NULL || this->metrics == NULL ||
        this->store == NULL) {
        return ERR_IO;
    }
    return create_feed(this, error);
}

GatewayDaemon *
GatewayDaemon_Create(const GatewaySettings *settings, Error *error)
{
    GatewayDaemon *this = g_new0(GatewayDaemon, 1);

    this->settings = settings;
    create_base(this);
    this->loop = Loop_Create(this->clock, this->log, error);
    if (this->loop == NULL) {
        GatewayDaemon_Destroy(this);
        return NULL;
    }
    this->keys = HostKeys_Create(settings->host_id, this->clock, error);
    if (this->keys == NULL) {
        GatewayDaemon_Destroy(this);
        return NULL;
    }
    create_dispatcher(this);
    this->stop_timer = LoopTimer_Create(this->loop, check_stop, this);
    if (create_net(this, error) < 0 ||
        Loop_WatchSignals(this->loop, on_signal, this, error) < 0) {
        GatewayDaemon_Destroy(this);
        return NULL;
    }
    return this;
}

void
GatewayDaemon_Destroy(GatewayDaemon *this)
{
    if (this->loop != NULL) {
        /* Sockets are closed first because their handlers still use the other
         * objects. */
        Loop_Close(this->loop);
        LoopTimer_Destroy(this->stop_timer);
        KeyedRelay_Destroy(this->relay);
        PlatformFeed_Destroy(this->feed);
        QuarantineFeed_Destroy(this->quarantine);
        KeyedSource_Destroy(this->source);
        StoreClient_Destroy(this->store);
        HttpServer_Destroy(this->metrics);
        HttpServer_Destroy(this->readiness);
        Gateway_Destroy(this->gateway);
        Dispatcher_Destroy(this->dispatcher);
        HostKeys_Destroy(this->keys);
        Loop_Destroy(this->loop);
    }
    Counters_Destroy(this->counters);
    Random_Destroy(this->random);
    EventLog_Destroy(this->decision_log);
    EventLog_Destroy(this->log);
    LogSink_Destroy(this->log_sink);
    Clock_Destroy(this->clock);
    g_free(this);
}

int
GatewayDaemon_Run(GatewayDaemon *this)
{
    if (EventLog_Begin(this->log, LOG_LEVEL_WARN, "started")) {
        EventLog_CStr(this->log, "program_version", AGATECRANK_VERSION);
        EventLog_CStr(this->log, "store", this->settings->store.address);
        EventLog_Int(this->log, "caller_port", Gateway_Port(this->gateway));
        EventLog_Int(this->log, "forward_port",
                     Gateway_ForwardPort(this->gateway));
        EventLog_End(this->log);
    }
    Loop_Run(this->loop);
    return this->exit_code;
}
