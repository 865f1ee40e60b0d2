#include "GatewayDaemon.h"

#include <glib.h>
#include <signal.h>
#include <unistd.h>

#include "Daemon.h"
#include "Gateway.h"
#include "KeyedSource.h"
#include "LogSink.h"
#include "PlatformDialect.h"
#include "PlatformFeed.h"
#include "StoreClient.h"

#define SERIES_MAX 512
/* A release of hundreds of upstreams fits into some seconds. */
#define STATE_LINES_PER_S 200
/* Hosts that share the extra repeats, at most; the largest site has 137. */
#define RETRY_HOSTS_MAX 200
/* The part of the shared bound that is spent: hosts see different windows. */
#define RETRY_MARGIN 0.95
/* Part of the bound on drains for which a lapsed upstream is used after the
 * store's return; the rest is for the way to it. */
#define RETURN_GRACE_SHARE 0.95
#define CONNECTIONS_MAX 32
/* The upstream may close a connection that was idle for longer. */
#define REUSE_IDLE (1 * MICROS_PER_S)
/* The platform asks every second and goes by two answers in a row. */
#define STOP_NOTICE (2500 * MICROS_PER_MS)
/* Kept of the stop time for ending the process. */
#define STOP_MARGIN (300 * MICROS_PER_MS)
#define STOP_CHECK (50 * MICROS_PER_MS)
#define STATUS_KEEP_ALIVE_S 30
/* A direct read and the pause before it take 1.2 s; with a peer's own wait a
 * host that lost the store is noticed well within 2 s. */
#define RELAY_AGE_MAX (1300 * MICROS_PER_MS)

struct GatewayDaemon_ {
    const GatewaySettings *settings;
    Clock *clock;
    LogSink *sink;
    EventLog *log;       /* what changes the process's belief */
    EventLog *decisions; /* what becomes of requests; bounded */
    Random *random;
    Counters *counters;
    Loop *loop;
    Dispatcher *dispatcher;
    Gateway *gateway;
    StoreClient *store;
    KeyedRelay *relay;
    KeyedSource *source;
    PlatformFeed *feed;
    HttpServer *readiness;
    HttpServer *metrics;
    LoopTimer *stop_timer;
    Micros stop_began;
    int exit_code;
    bool ready;
    bool stopping;
};

/* ---- readiness and metrics ------------------------------------------ */

static void
update_ready(GatewayDaemon *this)
{
    bool ready = !this->stopping && this->feed != NULL &&
                 PlatformFeed_IsComplete(this->feed);

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
answer_readiness(void *user, HttpRequest *request)
{
    GatewayDaemon *this = user;
    HeaderList *headers = HeaderList_Create();

    update_ready(this);
    HttpRequest_Respond(request, this->ready ? 200 : 503, headers, STR(""));
    HeaderList_Destroy(headers);
}

static void
answer_metrics(void *user, HttpRequest *request)
{
    GatewayDaemon *this = user;
    HeaderList *headers = HeaderList_Create();
    GString *text = g_string_new(NULL);

    Counters_Set(this->counters, "agatecrank_open_requests", NULL, 0,
                 (double)Gateway_OpenRequests(this->gateway));
    Counters_Set(this->counters, "agatecrank_upstreams", NULL, 0,
                 (double)Dispatcher_UpstreamCount(this->dispatcher));
    Counters_Set(this->counters, "agatecrank_store_calls", NULL, 0,
                 (double)KeyedSource_StoreCalls(this->source));
    Counters_Set(this->counters, "agatecrank_log_lines_lost", NULL, 0,
                 (double)(LogSink_Lost() + EventLog_Dropped(this->log) +
                          EventLog_Dropped(this->decisions)));
    Counters_Write(this->counters, text);
    HeaderList_Add(headers, STR("content-type"),
                   STR("text/plain; version=0.0.4"));
    HttpRequest_Respond(request, 200, headers, Str_FromString(text));
    g_string_free(text, TRUE);
    HeaderList_Destroy(headers);
}

static const HttpServerHandlers readiness_handlers = {
    ignore_request, ignore_body,   answer_readiness,
    ignore_request, ignore_closed,
};

static const HttpServerHandlers metrics_handlers = {
    ignore_request, ignore_body, answer_metrics, ignore_request, ignore_closed,
};

/* ---- stopping ------------------------------------------------------- */

static void
finish(GatewayDaemon *this)
{
    size_t open = Gateway_OpenRequests(this->gateway);

    this->exit_code = open > 0 ? EXIT_INTERRUPTED : EXIT_DRAINED;
    if (EventLog_Begin(this->log, LOG_LEVEL_WARN, "stopped")) {
        EventLog_Int(this->log, "interrupted_requests", (int64_t)open);
        EventLog_End(this->log);
    }
    Loop_Stop(this->loop);
}

static void
check_stop(void *user)
{
    GatewayDaemon *this = user;
    Micros passed = Clock_Now(this->clock) - this->stop_began;

    if (passed >= STOP_NOTICE) {
        Gateway_StopListening(this->gateway);
    }
    if ((passed >= STOP_NOTICE && Gateway_OpenRequests(this->gateway) == 0) ||
        passed >= this->settings->bounds.stop_time - STOP_MARGIN) {
        finish(this);
        return;
    }
    LoopTimer_Start(this->stop_timer, STOP_CHECK);
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
    /* No setting of a gateway can change while it runs. */
    if (number == SIGHUP || this->stopping) {
        return;
    }
    this->stopping = true;
    Dispatcher_Stop(this->dispatcher);
    this->stop_began = Clock_Now(this->clock);
    update_ready(this);
    Gateway_CloseKeptAlive(this->gateway);
    LoopTimer_Start(this->stop_timer, STOP_CHECK);
}

/* ---- creation ------------------------------------------------------- */

static void
on_feed(void *user)
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
    this->sink = LogSink_Create(this->clock, settings->host_id, STDOUT_FILENO);
    this->log = EventLog_Create(this->clock, (LogLevel)settings->log_level,
                                STATE_LINES_PER_S, LogSink_Write, this->sink);
    this->decisions = EventLog_Create(
        this->clock, (LogLevel)settings->log_level,
        settings->decision_lines_per_s, LogSink_Write, this->sink);
    this->counters = Counters_Create(SERIES_MAX);
    this->random = Random_Create((uint64_t)Clock_Wall(this->clock) ^
                                 Str_Hash(settings->host_id));
}

static void
create_dispatcher(GatewayDaemon *this)
{
    const GatewayBounds *bounds = &this->settings->bounds;
    /* A host does not know how many others there are, so each takes the part
     * that is safe with the most. */
    DispatcherOptions options = {
        .domain = this->settings->domain,
        .retry_window = bounds->retry_window,
        .retry_share = bounds->retry_share * RETRY_MARGIN,
        .retry_extra = bounds->retry_extra / RETRY_HOSTS_MAX,
        .probes_per_s = bounds->probes_per_s,
        .outage_grace =
            (Micros)(RETURN_GRACE_SHARE * (double)bounds->drain_time),
    };

    this->dispatcher =
        Dispatcher_Create(&options, this->clock, this->random, this->log,
                          this->decisions, this->counters);
}

static HttpServer *
create_status(GatewayDaemon *this, const Endpoint *endpoint,
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
on_direct(void *user, bool direct)
{
    GatewayDaemon *this = user;

    KeyedRelay_SetDirect(this->relay, direct);
}

static void
on_asked(void *user)
{
    GatewayDaemon *this = user;

    KeyedSource_OnAsked(this->source);
}

static int
create_feed(GatewayDaemon *this, Error *error)
{
    const GatewaySettings *settings = this->settings;
    KeyedRelayOptions relay = {
        .address = settings->relay.address,
        .port = settings->relay.port,
        .age_max = RELAY_AGE_MAX,
        .on_asked = on_asked,
        .user = this,
    };
    KeyedSourceOptions source = {
        .host = settings->host_id,
        .domain = settings->domain,
        .relay = settings->relay,
        .on_direct = on_direct,
        .user = this,
    };

    this->relay = KeyedRelay_Create(this->loop, &relay, error);
    if (this->relay == NULL) {
        return ERR_IO;
    }
    KeyedRelay_SetDirect(this->relay, true);
    this->source = KeyedSource_Create(this->loop, StoreClient_Log(this->store),
                                      &source, this->log);
    this->feed =
        PlatformFeed_Create(this->loop, KeyedSource_Log(this->source),
                            this->relay, this->dispatcher, this->random,
                            this->log, this->counters, on_feed, this);
    return 0;
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
        .reuse_idle = REUSE_IDLE,
    };

    this->gateway = Gateway_Create(this->loop, this->dispatcher,
                                   this->counters, &options, error);
    if (this->gateway == NULL) {
        return ERR_IO;
    }
    this->readiness =
        create_status(this, &settings->readiness, &readiness_handlers, error);
    this->metrics =
        create_status(this, &settings->metrics, &metrics_handlers, error);
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
        /* Sockets close first: their last handlers still use the objects. */
        Loop_Close(this->loop);
        LoopTimer_Destroy(this->stop_timer);
        KeyedRelay_Destroy(this->relay);
        PlatformFeed_Destroy(this->feed);
        KeyedSource_Destroy(this->source);
        StoreClient_Destroy(this->store);
        HttpServer_Destroy(this->metrics);
        HttpServer_Destroy(this->readiness);
        Gateway_Destroy(this->gateway);
        Dispatcher_Destroy(this->dispatcher);
        Loop_Destroy(this->loop);
    }
    Counters_Destroy(this->counters);
    Random_Destroy(this->random);
    EventLog_Destroy(this->decisions);
    EventLog_Destroy(this->log);
    LogSink_Destroy(this->sink);
    Clock_Destroy(this->clock);
    g_free(this);
}

int
GatewayDaemon_Run(GatewayDaemon *this)
{
    if (EventLog_Begin(this->log, LOG_LEVEL_WARN, "started")) {
        EventLog_C(this->log, "program_version", AGATECRANK_VERSION);
        EventLog_C(this->log, "store", this->settings->store.address);
        EventLog_Int(this->log, "caller_port", Gateway_Port(this->gateway));
        EventLog_End(this->log);
    }
    Loop_Run(this->loop);
    return this->exit_code;
}
