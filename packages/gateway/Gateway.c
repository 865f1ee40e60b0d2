#include "Gateway.h"

#include <glib.h>

#include "NoticeReader.h"

/* Responses up to this size are buffered until they are complete, so that a
 * truncated one can be fetched again; larger ones are relayed as they
 * arrive. */
#define RESPONSE_BUFFER_MAX_BYTES (256 * 1024)
/* Bytes buffered for a slow caller above which reading from the upstream
 * pauses. */
#define RELAY_BUFFER_MAX_BYTES (128 * 1024)
#define UPSTREAM_IDLE_TIMEOUT_S 8
/* Fifty times the usual connection time between failure domains. Nothing was
 * sent by then, so the request can go to another upstream. */
#define UPSTREAM_CONNECT_TIMEOUT_US (150 * MICROS_PER_MS)
/* Interval of TCP keep-alive probes. An unresponsive connection is detected
 * within three of them. */
#define UPSTREAM_KEEP_ALIVE_S 1
/* Even an upstream on a slow machine replies within this time. */
#define LOAD_PROBE_TIMEOUT_US (60 * MICROS_PER_MS)
/* Applies until the first configuration arrives. */
#define CALLER_IDLE_DEFAULT_S 15
/* Request bodies are buffered in memory until they are complete. */
#define BODY_MAX_BYTES (64 * 1024 * 1024)

struct Gateway_ {
    Loop *loop;
    Dispatcher *dispatcher;
    Counters *counters;
    GatewayOptions options;
    HttpServer *server;
    HttpClient *client;
    NoticeReader *notices;
    LoopTimer *timer;
    Micros timer_at;
    bool running_actions;
};

/* A caller's request and the attempt to serve it. */
typedef struct Exchange_ {
    Gateway *gateway;
    HttpRequest *request; /* NULL after the caller has disconnected */
    Job *job;             /* NULL once the response is decided */
    HttpCall *call;       /* NULL without an open attempt */
    GByteArray *body;
    HeaderList *response_headers;
    GByteArray *response;
    int response_status;
    Micros received_at;
    bool relaying;
    bool paused;
} Exchange;

static Exchange *
create_exchange(Gateway *this, HttpRequest *request)
{
    Exchange *exchange = g_new0(Exchange, 1);

    exchange->gateway = this;
    exchange->request = request;
    exchange->body = g_byte_array_new();
    exchange->response = g_byte_array_new();
    exchange->received_at = Clock_Now(Loop_Clock(this->loop));
    HttpRequest_SetData(request, exchange);
    return exchange;
}

static void
destroy_exchange(Exchange *exchange)
{
    g_byte_array_free(exchange->body, TRUE);
    g_byte_array_free(exchange->response, TRUE);
    HeaderList_Destroy(exchange->response_headers);
    g_free(exchange);
}

static void
cancel_call(Exchange *exchange)
{
    if (exchange->call != NULL) {
        HttpCall_Cancel(exchange->call);
        exchange->call = NULL;
    }
}

static void
reset_response(Exchange *exchange)
{
    g_byte_array_set_size(exchange->response, 0);
    HeaderList_Destroy(exchange->response_headers);
    exchange->response_headers = NULL;
    exchange->response_status = 0;
}

static void
record_response(const Exchange *exchange, int status)
{
    Gateway *this = exchange->gateway;
    char text[8];
    CounterLabel label = {"status", {text, 0}};

    g_snprintf(text, sizeof(text), "%d", status);
    label.value = Str_FromC(text);
    Counters_Add(this->counters, "agatecrank_answers_total", &label, 1, 1);
    Counters_Observe(this->counters, "agatecrank_request_seconds", NULL, 0,
                     Clock_Now(Loop_Clock(this->loop)) -
                         exchange->received_at);
}

/* ---- responses to callers ------------------------------------------- */

static void
add_retry_after(HeaderList *headers, Micros time)
{
    char text[32];

    g_snprintf(text, sizeof(text), "%.3f", (double)time / MICROS_PER_S);
    HeaderList_Add(headers, STR("retry-after"), Str_FromC(text));
}

static void
respond_to_caller(Exchange *exchange, const DispatchAction *action)
{
    const Dialect *dialect = exchange->gateway->options.dialect;
    HeaderList *headers = HeaderList_Create();
    char *body;

    exchange->job = NULL;
    if (exchange->request != NULL) {
        HeaderList_Add(headers, STR("content-type"), STR("application/json"));
        HeaderList_Add(headers, dialect->attempt_id,
                       HeaderList_Get(HttpRequest_Headers(exchange->request),
                                      dialect->attempt_id));
        if (action->respond.retry_after > 0) {
            add_retry_after(headers, action->respond.retry_after);
        }
        body = g_strdup_printf("{\"reason\":\"%s\"}", action->respond.reason);
        HttpRequest_Respond(exchange->request, action->respond.status, headers,
                            Str_FromC(body));
        record_response(exchange, action->respond.status);
        g_free(body);
    }
    HeaderList_Destroy(headers);
}

/* Relays the response as far as it has arrived; unless @complete is set, the
 * rest follows. */
static void
relay(Exchange *exchange, bool complete)
{
    HeaderList *headers = HeaderList_Create();
    Str body = Str_FromBytes(exchange->response);
    int64_t length = HeaderList_ContentLength(exchange->response_headers);

    HeaderList_CopyEndToEnd(exchange->response_headers, headers);
    exchange->job = NULL;
    if (complete &&
        !Str_Equal(HttpRequest_Method(exchange->request), STR("HEAD"))) {
        length = (int64_t)body.length;
    }
    HttpRequest_StartResponse(exchange->request, exchange->response_status,
                              headers, length);
    HttpRequest_Write(exchange->request, body);
    if (complete) {
        HttpRequest_Finish(exchange->request);
    }
    g_byte_array_set_size(exchange->response, 0);
    record_response(exchange, exchange->response_status);
    HeaderList_Destroy(headers);
}

/* ---- attempts ------------------------------------------------------- */

static bool
implies_not_run(int status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

/* A response is not relayed if its status implies that the request was not
 * executed but the upstream's own statement of that is missing, or if it is
 * not marked as generated by the upstream. */
static AttemptResult
classify_response(const Exchange *exchange)
{
    const Dialect *dialect = exchange->gateway->options.dialect;
    const HeaderList *headers = exchange->response_headers;
    int status = exchange->response_status;
    Str sent = HeaderList_Get(HttpRequest_Headers(exchange->request),
                              dialect->attempt_id);

    if (status == 421) {
        return ATTEMPT_RESULT_MOVED;
    }
    if (HeaderList_Has(headers, dialect->not_run)) {
        return ATTEMPT_RESULT_NOT_RUN;
    }
    if (implies_not_run(status) ||
        !Str_Equal(HeaderList_Get(headers, dialect->attempt_id), sent) ||
        (status < 300 && !HeaderList_Has(headers, dialect->signature))) {
        return ATTEMPT_RESULT_BROKEN;
    }
    return ATTEMPT_RESULT_RESPONSE;
}

static void
log_invalid_limit(const Gateway *this, Str text)
{
    Counters_Add(this->counters, "agatecrank_bad_limits_total", NULL, 0, 1);
    if (EventLog_Begin(this->options.log, LOG_LEVEL_WARN, "bad-limit")) {
        EventLog_Str(this->options.log, "text", text);
        EventLog_End(this->options.log);
    }
}

static LimitNotice
read_limit(const Gateway *this, const HeaderList *headers)
{
    const Dialect *dialect = this->options.dialect;
    LimitNotice limit = {.kind = LIMIT_ABSENT};

    for (size_t i = 0; i < DIALECT_LIMITS_MAX && dialect->limits[i].length > 0;
         i++) {
        if (!HeaderList_Has(headers, dialect->limits[i])) {
            continue;
        }
        limit.kind = LIMIT_NAMED;
        if (dialect->parse_limit(HeaderList_Get(headers, dialect->limits[i]),
                                 &limit.per_s) < 0) {
            log_invalid_limit(this,
                              HeaderList_Get(headers, dialect->limits[i]));
            limit.kind = LIMIT_UNKNOWN;
        }
        return limit;
    }
    return limit;
}

/* A broken response or one of another upstream says nothing. One that was
 * generated without executing the request may lack the limit. */
static LimitNotice
limit_of_response(const Exchange *exchange, AttemptResult result)
{
    LimitNotice limit = {.kind = LIMIT_UNKNOWN};

    switch (result) {
    case ATTEMPT_RESULT_RESPONSE:
        return read_limit(exchange->gateway, exchange->response_headers);
    case ATTEMPT_RESULT_NOT_RUN:
        limit = read_limit(exchange->gateway, exchange->response_headers);
        if (limit.kind == LIMIT_ABSENT) {
            limit.kind = LIMIT_UNKNOWN;
        }
        break;
    case ATTEMPT_RESULT_MOVED:
    case ATTEMPT_RESULT_UNSENT:
    case ATTEMPT_RESULT_BROKEN:
        break;
    }
    return limit;
}

static JobVerdict
report_attempt_end(Exchange *exchange, AttemptResult result)
{
    Gateway *this = exchange->gateway;
    const Dialect *dialect = this->options.dialect;
    AttemptEndInfo end = {.result = result,
                          .status = exchange->response_status};
    LoadReport report;

    if (exchange->response_headers != NULL &&
        dialect->parse_load(
            HeaderList_Get(exchange->response_headers, dialect->load),
            &report) == 0) {
        end.report = &report;
    }
    end.limit = limit_of_response(exchange, result);
    return Dispatcher_OnAttemptEnd(this->dispatcher, exchange->job, &end);
}

static void
on_call_headers(void *user, HttpCall *call, int status,
                const HeaderList *headers)
{
    Exchange *exchange = user;
    Gateway *this = exchange->gateway;

    if (exchange->job != NULL &&
        NoticeReader_IsOwn(
            this->notices, status, headers,
            HeaderList_Get(HttpRequest_Headers(exchange->request),
                           this->options.dialect->attempt_id))) {
        UpstreamNotice notice =
            NoticeReader_Read(this->notices, status, headers);

        Dispatcher_OnNotice(this->dispatcher, exchange->job, &notice);
    }
    reset_response(exchange);
    exchange->response_status = status;
    exchange->response_headers = HeaderList_Create();
    HeaderList_CopyAll(headers, exchange->response_headers);
}

static void
relay_data(Exchange *exchange, Str data)
{
    HttpRequest_Write(exchange->request, data);
    if (!exchange->paused &&
        HttpRequest_Buffered(exchange->request) > RELAY_BUFFER_MAX_BYTES) {
        exchange->paused = true;
        HttpCall_PauseResponse(exchange->call, true);
    }
}

static void
on_call_data(void *user, HttpCall *call, Str data)
{
    Exchange *exchange = user;

    if (exchange->relaying) {
        relay_data(exchange, data);
        return;
    }
    g_byte_array_append(exchange->response, (const guint8 *)data.data,
                        (guint)data.length);
    if (exchange->response->len <= RESPONSE_BUFFER_MAX_BYTES ||
        classify_response(exchange) != ATTEMPT_RESULT_RESPONSE) {
        return;
    }
    if (report_attempt_end(exchange, ATTEMPT_RESULT_RESPONSE) == JOB_RELAY) {
        exchange->relaying = true;
        relay(exchange, false);
        return;
    }
    cancel_call(exchange);
    reset_response(exchange);
    Gateway_RunActions(exchange->gateway);
}

static void
on_call_drained(void *user, HttpCall *call)
{
}

static void
finish_attempt(Exchange *exchange, AttemptResult result)
{
    Gateway *this = exchange->gateway;

    exchange->call = NULL;
    if (exchange->job == NULL) {
        return;
    }
    if (report_attempt_end(exchange, result) == JOB_RELAY) {
        relay(exchange, true);
    }
    else {
        reset_response(exchange);
    }
    Gateway_RunActions(this);
}

static void
on_call_complete(void *user, HttpCall *call)
{
    Exchange *exchange = user;

    if (exchange->relaying) {
        exchange->call = NULL;
        HttpRequest_Finish(exchange->request);
        return;
    }
    finish_attempt(exchange, classify_response(exchange));
}

static void
on_call_failed(void *user, HttpCall *call, HttpCallFailure failure,
               bool maybe_sent, const Error *error)
{
    Exchange *exchange = user;

    if (exchange->relaying) {
        exchange->call = NULL;
        HttpRequest_Abort(exchange->request);
        return;
    }
    finish_attempt(exchange,
                   maybe_sent ? ATTEMPT_RESULT_BROKEN : ATTEMPT_RESULT_UNSENT);
}

static const HttpCallHandlers call_handlers = {
    on_call_headers,  on_call_data,   on_call_drained,
    on_call_complete, on_call_failed,
};

static HeaderList *
headers_for_upstream(const Exchange *exchange, const DispatchAction *action)
{
    const Dialect *dialect = exchange->gateway->options.dialect;
    HeaderList *headers = HeaderList_Create();
    char text[24];

    HeaderList_CopyEndToEnd(HttpRequest_Headers(exchange->request), headers);
    HeaderList_Remove(headers, STR("expect"));
    g_snprintf(text, sizeof(text), "%" G_GINT64_FORMAT,
               MAX(action->send.timeout / MICROS_PER_MS, 1));
    HeaderList_Set(headers, dialect->timeout_ms, Str_FromC(text));
    HeaderList_Set(headers, dialect->instance, action->send.instance);
    return headers;
}

static void
send_request(Exchange *exchange, const DispatchAction *action)
{
    Gateway *this = exchange->gateway;
    const Dialect *dialect = this->options.dialect;
    HeaderList *headers = headers_for_upstream(exchange, action);
    HttpCallSpec spec = {
        .address = action->send.address,
        .port = action->send.port,
        .method = HttpRequest_Method(exchange->request),
        .path = HttpRequest_Path(exchange->request),
        .headers = headers,
        .content_length = (int64_t)exchange->body->len,
        .body = Str_FromBytes(exchange->body),
        .idle_max = action->send.idempotent ? 0 : this->options.reuse_idle,
        .match_name = dialect->attempt_id,
        .match_value = HeaderList_Get(HttpRequest_Headers(exchange->request),
                                      dialect->attempt_id),
    };

    reset_response(exchange);
    exchange->job = action->job;
    exchange->call =
        HttpClient_Start(this->client, &spec, &call_handlers, exchange, NULL);
    HeaderList_Destroy(headers);
    if (exchange->call == NULL) {
        report_attempt_end(exchange, ATTEMPT_RESULT_UNSENT);
    }
}

/* ---- load probes ---------------------------------------------------- */

typedef struct Probe_ {
    Gateway *gateway;
    HttpCall *call;
    LoopTimer *timer;
    GString *instance;
    LoadReport report;
    LimitNotice limit;
    uint32_t upstream;
    ProbeResult result;
    bool has_report;
    bool new_connection;
    bool connected;
    bool timed_out; /* no response within LOAD_PROBE_TIMEOUT_US */
} Probe;

static void
end_probe(Probe *probe)
{
    Gateway *this = probe->gateway;

    if (probe->timed_out) {
        Dispatcher_OnProbeTimeout(this->dispatcher, probe->upstream,
                                  probe->connected);
    }
    else {
        Dispatcher_OnProbeLimit(this->dispatcher, probe->upstream,
                                probe->limit);
        Dispatcher_OnProbeResult(this->dispatcher, probe->upstream,
                                 probe->result,
                                 probe->has_report ? &probe->report : NULL);
    }
    LoopTimer_Destroy(probe->timer);
    g_string_free(probe->instance, TRUE);
    g_free(probe);
    Gateway_RunActions(this);
}

/* Another upstream uses the address of one that has ended. One that is leaving
 * may not tell its id. */
static ProbeResult
result_of_instance(Str id, Str expected)
{
    if (id.length == 0) {
        return PROBE_ANSWERED;
    }
    return Str_Equal(id, expected) ? PROBE_ANSWERED : PROBE_REFUSED;
}

/* The status is ignored: healthy upstreams may report themselves as unhealthy,
 * and the reverse. */
static void
on_probe_headers(void *user, HttpCall *call, int status,
                 const HeaderList *headers)
{
    Probe *probe = user;
    const Dialect *dialect = probe->gateway->options.dialect;
    Str instance = Str_FromString(probe->instance);
    UpstreamNotice notice;

    probe->result = result_of_instance(
        HeaderList_Get(headers, dialect->instance_id), instance);
    if (!Str_Equal(HeaderList_Get(headers, dialect->instance_id), instance)) {
        return;
    }
    probe->has_report =
        dialect->parse_load(HeaderList_Get(headers, dialect->load),
                            &probe->report) == 0;
    probe->limit = read_limit(probe->gateway, headers);
    notice = NoticeReader_Read(probe->gateway->notices, status, headers);
    Dispatcher_OnProbeNotice(probe->gateway->dispatcher, probe->upstream,
                             &notice);
}

static void
on_probe_data(void *user, HttpCall *call, Str data)
{
}

static void
on_probe_complete(void *user, HttpCall *call)
{
    end_probe(user);
}

static void
on_probe_failed(void *user, HttpCall *call, HttpCallFailure failure,
                bool maybe_sent, const Error *error)
{
    Probe *probe = user;

    probe->has_report = false;
    probe->limit.kind = LIMIT_UNKNOWN;
    probe->result = PROBE_UNCLEAR;
    if (!maybe_sent) {
        probe->result = PROBE_REFUSED;
    }
    else if (probe->new_connection) {
        probe->result = PROBE_ACCEPTED;
    }
    end_probe(probe);
}

static void
on_probe_timeout(void *user)
{
    Probe *probe = user;

    probe->connected = HttpCall_MaybeSent(probe->call);
    HttpCall_Cancel(probe->call);
    probe->timed_out = true;
    end_probe(probe);
}

static const HttpCallHandlers probe_handlers = {
    on_probe_headers,  on_probe_data,   on_call_drained,
    on_probe_complete, on_probe_failed,
};

static void
start_probe(Gateway *this, const DispatchAction *action)
{
    HttpCallSpec spec = {
        .address = action->probe.address,
        .port = action->probe.port,
        .method = STR("GET"),
        .path = action->probe.path,
        .new_connection = action->probe.new_connection,
    };
    Probe *probe = g_new0(Probe, 1);

    probe->gateway = this;
    probe->upstream = action->probe.upstream;
    probe->new_connection = action->probe.new_connection;
    probe->result = PROBE_UNCLEAR;
    probe->instance = Str_ToString(action->probe.instance);
    probe->timer = LoopTimer_Create(this->loop, on_probe_timeout, probe);
    probe->call =
        HttpClient_Start(this->client, &spec, &probe_handlers, probe, NULL);
    if (probe->call == NULL) {
        end_probe(probe);
        return;
    }
    LoopTimer_Start(probe->timer, LOAD_PROBE_TIMEOUT_US);
}

static void
run_action(Gateway *this, const DispatchAction *action)
{
    Exchange *exchange = action->user;

    switch (action->kind) {
    case DISPATCH_PROBE:
        start_probe(this, action);
        break;
    case DISPATCH_SEND:
        send_request(exchange, action);
        break;
    case DISPATCH_CANCEL:
        cancel_call(exchange);
        break;
    case DISPATCH_RESPOND:
        respond_to_caller(exchange, action);
        break;
    }
}

static void
update_timer(Gateway *this)
{
    Micros next = Dispatcher_NextTime(this->dispatcher);
    Micros now = Clock_Now(Loop_Clock(this->loop));

    /* Firing too early is cheaper than restarting the timer for each
     * change. */
    if (next < 0 || (this->timer_at > 0 && this->timer_at <= next)) {
        return;
    }
    this->timer_at = next;
    LoopTimer_Start(this->timer, MAX(next - now, 1));
}

void
Gateway_RunActions(Gateway *this)
{
    DispatchAction action;

    if (this->running_actions) {
        return;
    }
    this->running_actions = true;
    while (Dispatcher_NextAction(this->dispatcher, &action)) {
        run_action(this, &action);
    }
    this->running_actions = false;
    update_timer(this);
    if (this->options.on_update != NULL) {
        this->options.on_update(this->options.user);
    }
}

static void
on_timer(void *user)
{
    Gateway *this = user;

    this->timer_at = 0;
    Dispatcher_OnTime(this->dispatcher);
    Gateway_RunActions(this);
}

/* ---- callers -------------------------------------------------------- */

static void
on_request(void *user, HttpRequest *request)
{
    create_exchange(user, request);
}

static void
on_body(void *user, HttpRequest *request, Str data)
{
    Exchange *exchange = HttpRequest_Data(request);

    g_byte_array_append(exchange->body, (const guint8 *)data.data,
                        (guint)data.length);
}

static Micros
caller_timeout(const Gateway *this, const HeaderList *headers)
{
    uint64_t ms;

    if (Str_ParseU64(
            HeaderList_Get(headers, this->options.dialect->timeout_ms), &ms) <
            0 ||
        ms > G_MAXINT32) {
        return 0;
    }
    return (Micros)ms * MICROS_PER_MS;
}

static void
on_body_end(void *user, HttpRequest *request)
{
    Gateway *this = user;
    Exchange *exchange = HttpRequest_Data(request);
    const HeaderList *headers = HttpRequest_Headers(request);
    JobInfo info = {
        .id = HeaderList_Get(headers, this->options.dialect->attempt_id),
        .method = HttpRequest_Method(request),
        .host = HeaderList_Get(headers, STR("host")),
        .path = HttpRequest_Path(request),
        .body = Str_FromBytes(exchange->body),
        .timeout = caller_timeout(this, headers),
    };

    exchange->job = Dispatcher_Submit(this->dispatcher, &info, exchange);
    Gateway_RunActions(this);
}

static void
on_response_drained(void *user, HttpRequest *request)
{
    Exchange *exchange = HttpRequest_Data(request);

    if (exchange != NULL && exchange->paused && exchange->call != NULL) {
        exchange->paused = false;
        HttpCall_PauseResponse(exchange->call, false);
    }
}

static void
on_closed(void *user, HttpRequest *request, bool complete)
{
    Gateway *this = user;
    Exchange *exchange = HttpRequest_Data(request);

    if (exchange == NULL) {
        return;
    }
    exchange->request = NULL;
    if (exchange->job != NULL) {
        Dispatcher_OnCallerDisconnect(this->dispatcher, exchange->job);
    }
    cancel_call(exchange);
    destroy_exchange(exchange);
    if (!Loop_IsClosing(this->loop)) {
        Gateway_RunActions(this);
    }
}

static const HttpServerHandlers server_handlers = {
    on_request, on_body, on_body_end, on_response_drained, on_closed,
};

/* ---- creation ------------------------------------------------------- */

Gateway *
Gateway_Create(Loop *loop, Dispatcher *dispatcher, Counters *counters,
               const GatewayOptions *options, Error *error)
{
    Gateway *this = g_new0(Gateway, 1);
    HttpServerOptions server = {
        .address = options->address,
        .port = options->port,
        .keep_alive_s = CALLER_IDLE_DEFAULT_S,
        .limits = {.body_bytes = BODY_MAX_BYTES},
        .accept_chunked = true,
    };
    HttpClientOptions client = {
        .max_connections = options->connections_max,
        .idle_timeout_s = UPSTREAM_IDLE_TIMEOUT_S,
        .keep_alive_s = UPSTREAM_KEEP_ALIVE_S,
        .connect_timeout = UPSTREAM_CONNECT_TIMEOUT_US,
    };

    this->loop = loop;
    this->dispatcher = dispatcher;
    this->counters = counters;
    this->options = *options;
    this->client = HttpClient_Create(loop, &client);
    this->notices = NoticeReader_Create(options->dialect, Loop_Clock(loop),
                                        options->log, counters);
    this->timer = LoopTimer_Create(loop, on_timer, this);
    this->server =
        HttpServer_Create(loop, &server, &server_handlers, this, error);
    if (this->server == NULL) {
        Gateway_Destroy(this);
        return NULL;
    }
    return this;
}

void
Gateway_Destroy(Gateway *this)
{
    if (this == NULL) {
        return;
    }
    LoopTimer_Destroy(this->timer);
    HttpServer_Destroy(this->server);
    HttpClient_Destroy(this->client);
    NoticeReader_Destroy(this->notices);
    g_free(this);
}

void
Gateway_SetLimits(Gateway *this, const CallerLimits *limits)
{
    HttpLimits http = {
        .head_bytes = limits->head_bytes,
        .body_bytes = limits->body_bytes > 0
                          ? (int64_t)MIN(limits->body_bytes, BODY_MAX_BYTES)
                          : BODY_MAX_BYTES,
        .head_timeout = limits->head_timeout,
    };
    int idle_s = limits->idle_time > 0
                     ? (int)(limits->idle_time / MICROS_PER_S)
                     : CALLER_IDLE_DEFAULT_S;

    HttpServer_SetLimits(this->server, &http, idle_s);
}

void
Gateway_CloseKeptAlive(Gateway *this)
{
    HttpServer_DisableKeepAlive(this->server);
}

void
Gateway_StopListening(Gateway *this)
{
    HttpServer_StopListening(this->server);
    HttpServer_CloseIdle(this->server);
}

size_t
Gateway_OpenRequests(const Gateway *this)
{
    return HttpServer_OpenRequests(this->server);
}

uint16_t
Gateway_Port(const Gateway *this)
{
    return HttpServer_Port(this->server);
}
