#include "Gateway.h"

#include <glib.h>

#include "AllowanceLink.h"
#include "ForwardClient.h"
#include "ForwardServer.h"
#include "NoticeReader.h"

/* Responses up to this size are buffered until they are complete, so that a
 * truncated one can be fetched again; larger ones are relayed as they
 * arrive. */
#define RESPONSE_BUFFER_MAX_BYTES (256 * 1024)
/* Bytes buffered for a slow caller above which reading from the upstream
 * pauses. */
#define RELAY_BUFFER_MAX_BYTES (128 * 1024)
/* A caller that takes no more than RELAY_BUFFER_MAX_BYTES in this time is the
 * reason that a relay is late. */
#define CALLER_STALL_US (100 * MICROS_PER_MS)
#define UPSTREAM_IDLE_TIMEOUT_S 8
/* Fifty times the usual connection time between failure domains. Nothing was
 * sent by then, so the request can go to another upstream. */
#define UPSTREAM_CONNECT_TIMEOUT_US (150 * MICROS_PER_MS)
/* Interval of TCP keep-alive probes. An unresponsive connection is detected
 * within three of them. */
#define UPSTREAM_KEEP_ALIVE_S 1
/* Even an upstream on a slow machine replies within this time. */
#define LOAD_PROBE_TIMEOUT_US (60 * MICROS_PER_MS)
#define LOAD_PROBE_BYTES_MAX 65536
/* Part of the remaining time in which the rest of a header block arrives, at
 * most, if the request can be sent again. */
#define HEAD_TIME_RATIO 0.25
/* Applies until the first configuration arrives. */
#define CALLER_IDLE_DEFAULT_S 15
/* Request bodies are buffered in memory until they are complete. */
#define BODY_MAX_BYTES (64 * 1024 * 1024)
#define RETRY_AFTER_MAX_S 3600
/* Memory of a host without requests, and of its idle connections. */
#define PROCESS_BYTES ((size_t)24 * 1000 * 1000)
/* Part of the rest for requests; the others are for responses, and for what the
 * system keeps. */
#define REQUESTS_RATIO 0.5
/* Part of the memory for requests that only small ones may use. */
#define SMALL_REQUESTS_RATIO 0.125
#define SMALL_REQUEST_BYTES ((size_t)32 * 1024)
#define FILE_DESCRIPTORS 200
/* Part of the other descriptors for connections of callers. */
#define CALLER_DESCRIPTORS_RATIO 0.75

struct Gateway_ {
    Loop *loop;
    Dispatcher *dispatcher;
    Counters *counters;
    GatewayOptions options;
    InputBudget *budget; /* NULL without a bound */
    HttpServer *server;
    HttpClient *client;
    ForwardServer *forward_server; /* NULL without a listener */
    ForwardClient *forward_client; /* NULL without keys */
    AllowanceLink *allowances;
    NoticeReader *notices;
    LoopTimer *timer;
    Micros timer_at;
    bool running_actions;
};

/* A request that is forwarded to a peer. */
typedef struct Forward_ {
    GString *peer; /* its id */
    ForwardTicket ticket;
    bool authentic; /* the response has the peer's seal */
    ForwardOutcome outcome;
    ForwardEndInfo end; /* as far as known from the response */
} Forward;

/* A request and the attempt to serve it. */
typedef struct Exchange_ {
    Gateway *gateway;
    HttpRequest *request;
    ForwardedRequest *forwarded; /* NULL if a caller sent it to this host */
    Job *job;         /* NULL once the response is complete or ended */
    HttpCall *call;   /* NULL without an open attempt */
    Forward *forward; /* NULL unless the attempt is at a peer */
    BodyBuffer *body;
    HeaderList *response_headers;
    GByteArray *response;
    int response_status;
    uint32_t attempt;          /* number of the last attempt */
    uint64_t connection;       /* number of its connection */
    uint32_t leaving_instance; /* of the upstream, if its response says so */
    Micros received_at;
    Micros paused_at;
    bool relaying;
    bool paused;
    bool is_question; /* of another host, without a job */
} Exchange;

static void
destroy_forward(Forward *forward)
{
    if (forward != NULL) {
        g_string_free(forward->peer, TRUE);
        g_free(forward);
    }
}

static Exchange *
create_exchange(Gateway *this, HttpRequest *request)
{
    Exchange *exchange = g_new0(Exchange, 1);

    exchange->gateway = this;
    exchange->request = request;
    exchange->body = BodyBuffer_Create();
    exchange->response = g_byte_array_new();
    exchange->received_at = Clock_Now(Loop_Clock(this->loop));
    return exchange;
}

static void
destroy_exchange(Exchange *exchange)
{
    destroy_forward(exchange->forward);
    BodyBuffer_Destroy(exchange->body);
    g_byte_array_free(exchange->response, TRUE);
    HeaderList_Destroy(exchange->response_headers);
    g_free(exchange);
}

static Str
attempt_id(const Exchange *exchange)
{
    return HeaderList_Get(HttpRequest_Headers(exchange->request),
                          exchange->gateway->options.dialect->attempt_id);
}

static void
cancel_call(Exchange *exchange)
{
    if (exchange->call != NULL) {
        HttpCall_Cancel(exchange->call);
        exchange->call = NULL;
    }
    g_clear_pointer(&exchange->forward, destroy_forward);
}

static void
reset_response(Exchange *exchange)
{
    g_byte_array_set_size(exchange->response, 0);
    HeaderList_Destroy(exchange->response_headers);
    exchange->response_headers = NULL;
    exchange->response_status = 0;
    exchange->leaving_instance = 0;
}

static void
record_response(const Exchange *exchange, int status)
{
    Gateway *this = exchange->gateway;
    char text[8];
    CounterLabel label = {"status", {text, 0}};

    if (exchange->forwarded != NULL) {
        return;
    }
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
    HeaderList_Add(headers, STR("content-type"), STR("application/json"));
    HeaderList_Add(headers, dialect->attempt_id, attempt_id(exchange));
    if (action->respond.retry_after > 0) {
        add_retry_after(headers, action->respond.retry_after);
    }
    if (exchange->forwarded != NULL) {
        ForwardedRequest_Seal(exchange->forwarded,
                              action->respond.not_run
                                  ? FORWARD_OUTCOME_NOT_RUN
                                  : FORWARD_OUTCOME_UNKNOWN,
                              Str_FromC(action->respond.reason),
                              action->respond.status, headers);
    }
    body = g_strdup_printf("{\"reason\":\"%s\"}", action->respond.reason);
    HttpRequest_Respond(exchange->request, action->respond.status, headers,
                        Str_FromC(body));
    record_response(exchange, action->respond.status);
    g_free(body);
    HeaderList_Destroy(headers);
}

/* Tells the host that passes the response on to the caller which upstream
 * leaves. */
static void
seal_relayed(const Exchange *exchange, HeaderList *headers)
{
    char reason[32] = "";

    if (exchange->leaving_instance != 0) {
        g_snprintf(reason, sizeof(reason), FORWARD_LEAVING "%u",
                   exchange->leaving_instance);
    }
    ForwardedRequest_Seal(exchange->forwarded, FORWARD_OUTCOME_RELAYED,
                          Str_FromC(reason), exchange->response_status,
                          headers);
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
    if (exchange->forwarded != NULL) {
        seal_relayed(exchange, headers);
    }
    if (complete) {
        exchange->job = NULL;
    }
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
has_attempt_id(const Exchange *exchange)
{
    const Dialect *dialect = exchange->gateway->options.dialect;

    return Str_Equal(
        HeaderList_Get(exchange->response_headers, dialect->attempt_id),
        attempt_id(exchange));
}

/* A header block that broke off runs into the start line of the response after
 * it, so that its fields seem to belong to that one. */
static bool
has_start_line_in_field(const HeaderList *headers)
{
    Str name, value;

    for (size_t i = 0; i < HeaderList_Count(headers); i++) {
        HeaderList_At(headers, i, &name, &value);
        if (g_strstr_len(value.data, (gssize)value.length, "HTTP/1.") !=
            NULL) {
            return true;
        }
    }
    return false;
}

static bool
states_not_run(const Exchange *exchange)
{
    const HeaderList *headers = exchange->response_headers;

    return HeaderList_Has(headers,
                          exchange->gateway->options.dialect->not_run) &&
           !has_start_line_in_field(headers);
}

/* Nothing is concluded from a response before its id shows that it is the one to
 * this request. It is not relayed if its status implies that the request was
 * not executed but the upstream's own statement of that is missing, if the
 * status contradicts the statement, or if it is not marked as generated by the
 * upstream.
 * @cause: set to the reason, for the log, with ATTEMPT_RESULT_BROKEN */
static AttemptResult
classify_response(const Exchange *exchange, Str *cause)
{
    const Dialect *dialect = exchange->gateway->options.dialect;
    const HeaderList *headers = exchange->response_headers;
    int status = exchange->response_status;

    if (!has_attempt_id(exchange)) {
        *cause = STR("the response has another id than the request");
        return ATTEMPT_RESULT_BROKEN;
    }
    if (status == 421) {
        return ATTEMPT_RESULT_MOVED;
    }
    if (HeaderList_Has(headers, dialect->not_run)) {
        if (status >= 400 && states_not_run(exchange)) {
            return ATTEMPT_RESULT_NOT_RUN;
        }
        *cause =
            status < 400
                ? STR("a status below 400 with the statement not executed")
                : STR("a start line inside a header field");
        return ATTEMPT_RESULT_BROKEN;
    }
    if (AttemptLedger_ImpliesNotRun(status)) {
        *cause = STR("a refusal without the statement not executed");
        return ATTEMPT_RESULT_BROKEN;
    }
    if (status < 300 && !HeaderList_Has(headers, dialect->signature)) {
        *cause = STR("a success without a signature");
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

static RunEvidence
evidence_of(const Exchange *exchange, AttemptResult result)
{
    switch (result) {
    case ATTEMPT_RESULT_UNSENT:
        return RUN_EVIDENCE_UNSENT;
    case ATTEMPT_RESULT_NOT_RUN:
        return RUN_EVIDENCE_STATEMENT;
    case ATTEMPT_RESULT_MOVED:
        return states_not_run(exchange) ? RUN_EVIDENCE_STATEMENT
                                        : RUN_EVIDENCE_STATUS;
    case ATTEMPT_RESULT_RESPONSE:
    case ATTEMPT_RESULT_BROKEN:
        break;
    }
    return RUN_EVIDENCE_NONE;
}

/* @cause: for the log; may be empty */
static JobVerdict
report_attempt_end(Exchange *exchange, AttemptResult result, bool more_follows,
                   Str cause)
{
    Gateway *this = exchange->gateway;
    const Dialect *dialect = this->options.dialect;
    AttemptEndInfo end = {.result = result,
                          .attempt = exchange->attempt,
                          .evidence = evidence_of(exchange, result),
                          .connection = exchange->connection,
                          .status = exchange->response_status,
                          .more_follows = more_follows,
                          .cause = cause};
    LoadReport report;

    if ((result == ATTEMPT_RESULT_RESPONSE ||
         result == ATTEMPT_RESULT_NOT_RUN) &&
        dialect->parse_load(
            HeaderList_Get(exchange->response_headers, dialect->load),
            &report) == 0) {
        end.report = &report;
    }
    end.limit = limit_of_response(exchange, result);
    return Dispatcher_OnAttemptEnd(this->dispatcher, exchange->job, &end);
}

/* ---- forwards to peers ---------------------------------------------- */

static Micros
parse_retry_after(const HeaderList *headers)
{
    char text[16];
    double seconds;
    char *end;

    g_snprintf(text, sizeof(text), STR_FORMAT,
               STR_ARGS(HeaderList_Get(headers, STR("retry-after"))));
    seconds = g_ascii_strtod(text, &end);
    return *end == '\0' && seconds > 0 && seconds < RETRY_AFTER_MAX_S
               ? (Micros)(seconds * MICROS_PER_S)
               : 0;
}

/* The words in which peers state that they refuse a request. */
static ForwardRefusal
refusal_of(Str reason)
{
    static const struct {
        const char *reason;
        ForwardRefusal refusal;
    } refusals[] = {
        {"cut-off", FORWARD_REFUSAL_CUT_OFF},
        {"stopping", FORWARD_REFUSAL_STOPPING},
        {"forward-limit", FORWARD_REFUSAL_LIMIT},
        {"forward-denied", FORWARD_REFUSAL_DENIED},
        {"older-routes", FORWARD_REFUSAL_OLDER},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(refusals); i++) {
        if (Str_Equal(reason, Str_FromC(refusals[i].reason))) {
            return refusals[i].refusal;
        }
    }
    return FORWARD_REFUSAL_OTHER;
}

static void
read_peer_notice(const Exchange *exchange, Str reason)
{
    uint64_t instance;

    if (exchange->job == NULL ||
        !Str_StartsWith(reason, STR(FORWARD_LEAVING))) {
        return;
    }
    reason.data += strlen(FORWARD_LEAVING);
    reason.length -= strlen(FORWARD_LEAVING);
    if (Str_ParseU64(reason, &instance) == 0 && instance > 0 &&
        instance <= UINT32_MAX) {
        Dispatcher_OnPeerNotice(exchange->gateway->dispatcher, exchange->job,
                                (uint32_t)instance);
    }
}

/* Nothing is used of a response that lacks the seal. */
static void
read_forward_seal(Exchange *exchange)
{
    Forward *forward = exchange->forward;
    ForwardResponseSeal seal;

    forward->end.status = exchange->response_status;
    forward->authentic =
        ForwardTicket_Check(&forward->ticket, exchange->response_status,
                            exchange->response_headers, &seal) == 0;
    if (!forward->authentic) {
        return;
    }
    forward->outcome = seal.outcome;
    if (seal.outcome == FORWARD_OUTCOME_RELAYED) {
        read_peer_notice(exchange, seal.reason);
    }
    if (seal.outcome == FORWARD_OUTCOME_NOT_RUN) {
        forward->end.refusal = refusal_of(seal.reason);
        forward->end.retry_after =
            parse_retry_after(exchange->response_headers);
    }
    HeaderList_Remove(exchange->response_headers, STR(FORWARD_FIELD));
}

/* @cause: as in classify_response(), with FORWARD_BROKEN */
static ForwardResult
classify_forward(const Exchange *exchange, Str *cause)
{
    const Forward *forward = exchange->forward;

    if (!forward->authentic) {
        *cause = STR("a response without the seal of the peer");
        return FORWARD_BROKEN;
    }
    switch (forward->outcome) {
    case FORWARD_OUTCOME_RELAYED:
        *cause = STR("a refusal that the peer relays");
        return classify_response(exchange, cause) == ATTEMPT_RESULT_RESPONSE
                   ? FORWARD_RESPONSE
                   : FORWARD_BROKEN;
    case FORWARD_OUTCOME_NOT_RUN:
        return FORWARD_NOT_RUN;
    case FORWARD_OUTCOME_UNKNOWN:
        return FORWARD_FAILED;
    }
    *cause = STR("an unknown outcome");
    return FORWARD_BROKEN;
}

static void
on_stale_keys(void *user, Str host)
{
    Gateway *this = user;

    if (this->options.on_stale_keys != NULL) {
        this->options.on_stale_keys(this->options.user, host);
    }
}

/* @cause: for the log; may be empty */
static JobVerdict
report_forward_end(Exchange *exchange, ForwardResult result, bool more_follows,
                   Str cause)
{
    ForwardEndInfo end = exchange->forward->end;

    end.result = result;
    end.more_follows = more_follows;
    end.cause = cause;
    if (end.status == 403 && !exchange->forward->authentic) {
        on_stale_keys(exchange->gateway,
                      Str_FromString(exchange->forward->peer));
    }
    g_clear_pointer(&exchange->forward, destroy_forward);
    return Dispatcher_OnForwardEnd(exchange->gateway->dispatcher,
                                   exchange->job, &end);
}

/* ---- responses of upstreams and peers ------------------------------- */

static bool
is_response(const Exchange *exchange)
{
    Str cause;

    return exchange->forward != NULL
               ? classify_forward(exchange, &cause) == FORWARD_RESPONSE
               : classify_response(exchange, &cause) ==
                     ATTEMPT_RESULT_RESPONSE;
}

static JobVerdict
report_response(Exchange *exchange, bool more_follows)
{
    Str cause = STR("");
    AttemptResult result;
    ForwardResult forward_result;

    if (exchange->forward != NULL) {
        forward_result = classify_forward(exchange, &cause);
        return report_forward_end(exchange, forward_result, more_follows,
                                  cause);
    }
    result = classify_response(exchange, &cause);
    return report_attempt_end(exchange, result, more_follows, cause);
}

static JobVerdict
report_failure(Exchange *exchange, bool maybe_sent, const Error *error)
{
    Str cause = Str_FromC(error->text);

    if (exchange->forward != NULL) {
        return report_forward_end(exchange,
                                  maybe_sent ? FORWARD_BROKEN : FORWARD_UNSENT,
                                  false, cause);
    }
    return report_attempt_end(
        exchange, maybe_sent ? ATTEMPT_RESULT_BROKEN : ATTEMPT_RESULT_UNSENT,
        false, cause);
}

static void
read_notice(Exchange *exchange, int status, const HeaderList *headers)
{
    Gateway *this = exchange->gateway;
    UpstreamNotice notice;

    if (!NoticeReader_IsOwn(this->notices, status, headers,
                            attempt_id(exchange))) {
        return;
    }
    notice = NoticeReader_Read(this->notices, status, headers);
    Dispatcher_OnNotice(this->dispatcher, exchange->job, &notice);
    if (notice.leaving) {
        exchange->leaving_instance =
            Dispatcher_AttemptInstance(this->dispatcher, exchange->job);
    }
}

static void
on_call_headers(void *user, HttpCall *call, int status,
                const HeaderList *headers)
{
    Exchange *exchange = user;

    reset_response(exchange);
    if (exchange->job != NULL && exchange->forward == NULL) {
        read_notice(exchange, status, headers);
    }
    exchange->response_status = status;
    exchange->response_headers = HeaderList_Create();
    HeaderList_CopyAll(headers, exchange->response_headers);
    if (exchange->forward != NULL) {
        read_forward_seal(exchange);
    }
}

static void
relay_data(Exchange *exchange, Str data)
{
    HttpRequest_Write(exchange->request, data);
    if (!exchange->paused &&
        HttpRequest_Buffered(exchange->request) > RELAY_BUFFER_MAX_BYTES) {
        exchange->paused = true;
        exchange->paused_at = Clock_Now(Loop_Clock(exchange->gateway->loop));
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
    if (exchange->forward != NULL && !is_response(exchange)) {
        return;
    }
    g_byte_array_append(exchange->response, (const guint8 *)data.data,
                        (guint)data.length);
    if (exchange->response->len <= RESPONSE_BUFFER_MAX_BYTES) {
        return;
    }
    if (report_response(exchange, true) == JOB_RELAY) {
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

/* Ends the relay of a response whose call has ended. */
static void
end_relay(Exchange *exchange, RelayEnd end)
{
    Gateway *this = exchange->gateway;
    Job *job = exchange->job;

    exchange->call = NULL;
    exchange->job = NULL;
    Dispatcher_OnRelayEnd(this->dispatcher, job, end);
    if (end == RELAY_COMPLETE) {
        HttpRequest_Finish(exchange->request);
    }
    else {
        HttpRequest_Abort(exchange->request);
    }
    Gateway_RunActions(this);
}

static void
abort_relay(Exchange *exchange)
{
    Micros now = Clock_Now(Loop_Clock(exchange->gateway->loop));
    bool stalled =
        exchange->paused && now - exchange->paused_at >= CALLER_STALL_US;

    cancel_call(exchange);
    end_relay(exchange, stalled ? RELAY_CALLER_SLOW : RELAY_TIMEOUT);
}

static void
follow_verdict(Exchange *exchange, JobVerdict verdict)
{
    if (verdict == JOB_RELAY) {
        relay(exchange, true);
    }
    else {
        reset_response(exchange);
    }
    Gateway_RunActions(exchange->gateway);
}

static void
on_call_complete(void *user, HttpCall *call)
{
    Exchange *exchange = user;

    if (exchange->relaying) {
        end_relay(exchange, RELAY_COMPLETE);
        return;
    }
    exchange->call = NULL;
    if (exchange->job != NULL) {
        follow_verdict(exchange, report_response(exchange, false));
    }
}

static void
on_call_failed(void *user, HttpCall *call, HttpCallFailure failure,
               bool maybe_sent, const Error *error)
{
    Exchange *exchange = user;

    if (exchange->relaying) {
        end_relay(exchange, RELAY_BROKEN);
        return;
    }
    exchange->call = NULL;
    if (exchange->job != NULL) {
        follow_verdict(exchange, report_failure(exchange, maybe_sent, error));
    }
}

static const HttpCallHandlers call_handlers = {
    on_call_headers,  on_call_data,   on_call_drained,
    on_call_complete, on_call_failed,
};

/* Returns an empty text if there is no key, or more than one. */
static Str
key_of(const Exchange *exchange)
{
    const HeaderList *headers = HttpRequest_Headers(exchange->request);
    Str wanted = exchange->gateway->options.dialect->key;
    Str key = {NULL, 0}, name, value;
    size_t n = 0;

    for (size_t i = 0; i < HeaderList_Count(headers); i++) {
        HeaderList_At(headers, i, &name, &value);
        if (Str_EqualIgnoreCase(name, wanted)) {
            key = value;
            n++;
        }
    }
    return n == 1 ? key : STR("");
}

static void
set_caller(const Exchange *exchange, const CallerIdentity *caller,
           HeaderList *headers)
{
    const Dialect *dialect = exchange->gateway->options.dialect;

    if (!caller->replaces_key) {
        return;
    }
    HeaderList_Remove(headers, dialect->key);
    HeaderList_Remove(headers, dialect->customer);
    if (caller->customer.length > 0) {
        HeaderList_Add(headers, dialect->customer, caller->customer);
    }
}

static HeaderList *
headers_to_send(const Exchange *exchange, const CallerIdentity *caller,
                Micros timeout)
{
    const Dialect *dialect = exchange->gateway->options.dialect;
    HeaderList *headers = HeaderList_Create();
    char text[24];

    HeaderList_CopyEndToEnd(HttpRequest_Headers(exchange->request), headers);
    HeaderList_Remove(headers, STR("expect"));
    HeaderList_Remove(headers, STR(FORWARD_FIELD));
    HeaderList_Remove(headers, STR(FORWARD_VERSION_FIELD));
    HeaderList_Remove(headers, STR(ALLOWANCE_FIELD));
    set_caller(exchange, caller, headers);
    g_snprintf(text, sizeof(text), "%" G_GINT64_FORMAT,
               MAX(timeout / MICROS_PER_MS, 1));
    HeaderList_Set(headers, dialect->timeout_ms, Str_FromC(text));
    return headers;
}

/* The host that forwarded a request may be stopping. */
static Micros
head_timeout(const Exchange *exchange, const DispatchAction *action)
{
    if (!action->send.idempotent || exchange->forwarded != NULL) {
        return 0;
    }
    return (Micros)(HEAD_TIME_RATIO * (double)action->send.timeout);
}

static void
send_request(Exchange *exchange, const DispatchAction *action)
{
    Gateway *this = exchange->gateway;
    const Dialect *dialect = this->options.dialect;
    HeaderList *headers =
        headers_to_send(exchange, &action->send.caller, action->send.timeout);
    HttpCallSpec spec = {
        .address = action->send.address,
        .port = action->send.port,
        .method = HttpRequest_Method(exchange->request),
        .path = HttpRequest_Path(exchange->request),
        .headers = headers,
        .content_length = (int64_t)BodyBuffer_Length(exchange->body),
        .content = exchange->body,
        .idle_max = action->send.idempotent ? 0 : this->options.reuse_idle,
        .head_timeout = head_timeout(exchange, action),
        .match_name = dialect->attempt_id,
        .match_value = attempt_id(exchange),
    };

    /* Its response can't be told from a copy of another one. */
    spec.new_connection = spec.match_value.length == 0;
    HeaderList_Set(headers, dialect->instance, action->send.instance);
    reset_response(exchange);
    exchange->job = action->job;
    exchange->attempt = action->send.attempt;
    exchange->call =
        HttpClient_Start(this->client, &spec, &call_handlers, exchange, NULL);
    HeaderList_Destroy(headers);
    exchange->connection =
        exchange->call != NULL ? HttpCall_ConnectionNumber(exchange->call) : 0;
    if (exchange->call == NULL) {
        report_attempt_end(exchange, ATTEMPT_RESULT_UNSENT, false,
                           STR("all connections are busy"));
    }
}

/* The request is not forwarded, which says nothing bad about the peer unless it
 * is gone. */
static void
report_not_started(Exchange *exchange, const Error *error)
{
    ForwardResult result = FORWARD_NOT_RUN;

    switch (error->code) {
    case ERR_INVALID: /* too large to be forwarded */
        exchange->forward->end.refusal = FORWARD_REFUSAL_OTHER;
        break;
    case ERR_LIMIT:
        exchange->forward->end.refusal = FORWARD_REFUSAL_LIMIT;
        break;
    default:
        result = FORWARD_UNSENT;
        break;
    }
    report_forward_end(exchange, result, false, Str_FromC(error->text));
}

static void
forward_request(Exchange *exchange, const DispatchAction *action)
{
    Gateway *this = exchange->gateway;
    /* Rounded up: the peer must not end the request before its deadline. */
    HeaderList *headers =
        headers_to_send(exchange, &action->forward.caller,
                        action->forward.timeout + MICROS_PER_MS - 1);
    ForwardCallSpec spec = {
        .peer = action->forward.peer,
        .method = HttpRequest_Method(exchange->request),
        .path = HttpRequest_Path(exchange->request),
        .headers = headers,
        .body = exchange->body,
        .attempts_max = action->forward.attempts_max,
        .idle_max = action->forward.idempotent ? 0 : this->options.reuse_idle,
        .match_name = this->options.dialect->attempt_id,
        .match_value = attempt_id(exchange),
    };
    Error error = {.code = ERR_NOT_FOUND};
    char version[24];

    g_snprintf(version, sizeof(version), "%" G_GUINT64_FORMAT,
               action->forward.version);
    HeaderList_Add(headers, STR(FORWARD_VERSION_FIELD), Str_FromC(version));
    reset_response(exchange);
    exchange->job = action->job;
    exchange->forward = g_new0(Forward, 1);
    exchange->forward->peer = Str_ToString(spec.peer);
    exchange->forward->end.attempt = action->forward.attempt;
    if (this->forward_client != NULL) {
        exchange->call =
            ForwardClient_Start(this->forward_client, &spec, &call_handlers,
                                exchange, &exchange->forward->ticket, &error);
    }
    HeaderList_Destroy(headers);
    if (exchange->call == NULL) {
        report_not_started(exchange, &error);
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

    /* The response to a request. */
    if (HeaderList_Has(headers, dialect->attempt_id)) {
        return;
    }
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
        .match_name = this->options.dialect->attempt_id,
        .response_bytes_max = LOAD_PROBE_BYTES_MAX,
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
    case DISPATCH_FORWARD:
        forward_request(exchange, action);
        break;
    case DISPATCH_CANCEL:
        cancel_call(exchange);
        break;
    case DISPATCH_RESPOND:
        respond_to_caller(exchange, action);
        break;
    case DISPATCH_ABORT:
        abort_relay(exchange);
        break;
    case DISPATCH_ASK:
        AllowanceLink_Ask(this->allowances, action);
        break;
    case DISPATCH_GRANT:
        exchange->is_question = false;
        AllowanceLink_Respond(exchange->forwarded, &action->grant);
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
run_actions(void *user)
{
    Gateway_RunActions(user);
}

static void
on_timer(void *user)
{
    Gateway *this = user;

    this->timer_at = 0;
    Dispatcher_OnTime(this->dispatcher);
    Gateway_RunActions(this);
}

/* ---- requests ------------------------------------------------------- */

static Micros
timeout_of(const Gateway *this, const HeaderList *headers)
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
submit(Exchange *exchange)
{
    Gateway *this = exchange->gateway;
    const HeaderList *headers = HttpRequest_Headers(exchange->request);
    ForwardedRequest *forwarded = exchange->forwarded;
    JobInfo info = {
        .id = attempt_id(exchange),
        .method = HttpRequest_Method(exchange->request),
        .host = HeaderList_Get(headers, STR("host")),
        .path = HttpRequest_Path(exchange->request),
        .body = exchange->body,
        .timeout = timeout_of(this, headers),
        .key = key_of(exchange),
    };

    if (forwarded != NULL) {
        info.forwarded = true;
        info.customer =
            HeaderList_Get(headers, this->options.dialect->customer);
        info.attempts_max = ForwardedRequest_AttemptsMax(forwarded);
        /* Earlier versions do not tell it. */
        if (Str_ParseU64(HeaderList_Get(headers, STR(FORWARD_VERSION_FIELD)),
                         &info.version_min) < 0) {
            info.version_min = 0;
        }
    }
    exchange->job = Dispatcher_Submit(this->dispatcher, &info, exchange);
    Gateway_RunActions(this);
}

static void
resume_call(Exchange *exchange)
{
    if (exchange->paused && exchange->call != NULL) {
        exchange->paused = false;
        HttpCall_PauseResponse(exchange->call, false);
    }
}

static void
end_exchange(Exchange *exchange)
{
    Gateway *this = exchange->gateway;

    if (exchange->job != NULL) {
        Dispatcher_OnCallerDisconnect(this->dispatcher, exchange->job);
    }
    if (exchange->is_question) {
        Dispatcher_CancelQuestion(this->dispatcher, exchange);
    }
    cancel_call(exchange);
    destroy_exchange(exchange);
    if (!Loop_IsClosing(this->loop)) {
        Gateway_RunActions(this);
    }
}

/* ---- requests of callers -------------------------------------------- */

static void
on_request(void *user, HttpRequest *request)
{
    HttpRequest_SetData(request, create_exchange(user, request));
}

static void
on_body(void *user, HttpRequest *request, Str data)
{
    Exchange *exchange = HttpRequest_Data(request);

    BodyBuffer_Append(exchange->body, data);
}

static void
on_body_end(void *user, HttpRequest *request)
{
    submit(HttpRequest_Data(request));
}

static void
on_response_drained(void *user, HttpRequest *request)
{
    if (HttpRequest_Data(request) != NULL) {
        resume_call(HttpRequest_Data(request));
    }
}

static void
on_closed(void *user, HttpRequest *request, bool complete)
{
    if (HttpRequest_Data(request) != NULL) {
        end_exchange(HttpRequest_Data(request));
    }
}

static const HttpServerHandlers server_handlers = {
    on_request, on_body, on_body_end, on_response_drained, on_closed,
};

/* ---- requests of other hosts ---------------------------------------- */

static void
log_forwarded(const Exchange *exchange)
{
    EventLog *log = exchange->gateway->options.decisions;
    const ForwardedRequest *forwarded = exchange->forwarded;

    if (EventLog_BeginRoutine(log, "forwarded")) {
        EventLog_Str(log, "request", attempt_id(exchange));
        EventLog_Str(log, "from", ForwardedRequest_Sender(forwarded));
        EventLog_Int(log, "attempts", ForwardedRequest_AttemptsMax(forwarded));
        EventLog_End(log);
    }
}

static void *
on_forwarded_request(void *user, ForwardedRequest *forwarded)
{
    Gateway *this = user;
    Exchange *exchange;

    exchange = create_exchange(this, ForwardedRequest_Http(forwarded));
    exchange->forwarded = forwarded;
    if (AllowanceLink_IsQuestion(forwarded)) {
        exchange->is_question =
            AllowanceLink_Receive(this->allowances, forwarded, exchange);
        Gateway_RunActions(this);
        return exchange;
    }
    BodyBuffer_Destroy(exchange->body);
    exchange->body = ForwardedRequest_TakeBody(forwarded);
    log_forwarded(exchange);
    submit(exchange);
    return exchange;
}

static void
on_forwarded_drained(void *user, void *data)
{
    resume_call(data);
}

static void
on_forwarded_closed(void *user, void *data, bool complete)
{
    end_exchange(data);
}

static const ForwardServerHandlers forward_handlers = {
    on_forwarded_request,
    on_forwarded_drained,
    on_forwarded_closed,
    on_stale_keys,
};

static const AllowanceLinkHandlers allowance_handlers = {
    run_actions,
    on_stale_keys,
};

/* ---- creation ------------------------------------------------------- */

static void
create_budget(Gateway *this)
{
    size_t memory = this->options.memory_bytes;
    InputBudgetOptions options = {.small_bytes = SMALL_REQUEST_BYTES};

    if (memory == 0) {
        return;
    }
    options.most_bytes = MAX(memory, PROCESS_BYTES) - PROCESS_BYTES;
    options.total_bytes =
        (size_t)(REQUESTS_RATIO * (double)options.most_bytes);
    options.reserve_bytes =
        (size_t)(SMALL_REQUESTS_RATIO * (double)options.total_bytes);
    this->budget = InputBudget_Create(&options, Loop_Clock(this->loop));
}

static unsigned
caller_connections_max(const Gateway *this)
{
    unsigned descriptors = this->options.descriptors_max;

    return this->budget != NULL && descriptors > FILE_DESCRIPTORS
               ? (unsigned)(CALLER_DESCRIPTORS_RATIO *
                            (descriptors - FILE_DESCRIPTORS))
               : 0;
}

/* A host that cannot listen for its peers still serves its callers. */
static void
create_forwarding(Gateway *this)
{
    ForwardServerOptions options = {
        .address = this->options.forward,
        .keys = this->options.keys,
        .budget = this->budget,
        .counters = this->counters,
        .log = this->options.log,
    };
    Error error;

    if (options.keys == NULL) {
        return;
    }
    this->forward_client = ForwardClient_Create(this->loop, options.keys);
    if (options.address.address[0] == '\0') {
        return;
    }
    this->forward_server = ForwardServer_Create(
        this->loop, &options, &forward_handlers, this, &error);
    if (this->forward_server == NULL &&
        EventLog_Begin(this->options.log, LOG_LEVEL_WARN, "no-forwarding")) {
        EventLog_Error(this->options.log, &error);
        EventLog_End(this->options.log);
    }
}

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
        .log = options->log,
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
    create_budget(this);
    server.budget = this->budget;
    server.connections_max = caller_connections_max(this);
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
    create_forwarding(this);
    this->allowances = AllowanceLink_Create(
        loop, dispatcher, this->forward_client, &allowance_handlers, this);
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
    ForwardServer_Destroy(this->forward_server);
    InputBudget_Destroy(this->budget);
    HttpClient_Destroy(this->client);
    ForwardClient_Destroy(this->forward_client);
    AllowanceLink_Destroy(this->allowances);
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
    Micros idle_time = limits->idle_time > 0
                           ? limits->idle_time
                           : CALLER_IDLE_DEFAULT_S * MICROS_PER_S;

    HttpServer_SetLimits(this->server, &http, idle_time);
    if (this->budget != NULL) {
        InputBudget_SetLargest(this->budget, (size_t)http.body_bytes);
    }
    if (this->forward_server != NULL) {
        ForwardServer_SetHeadBytes(this->forward_server, limits->head_bytes);
    }
}

void
Gateway_Stop(Gateway *this)
{
    HttpClient_DisableHeadTimeouts(this->client);
    HttpServer_DisableKeepAlive(this->server);
    if (this->forward_server != NULL) {
        ForwardServer_CloseKeptAlive(this->forward_server);
    }
}

void
Gateway_StopListening(Gateway *this)
{
    HttpServer_StopListening(this->server);
    HttpServer_CloseIdle(this->server);
    if (this->forward_server != NULL) {
        ForwardServer_StopListening(this->forward_server);
    }
}

size_t
Gateway_OpenRequests(const Gateway *this)
{
    size_t forwarded = this->forward_server != NULL
                           ? ForwardServer_OpenRequests(this->forward_server)
                           : 0;

    return HttpServer_OpenRequests(this->server) + forwarded;
}

uint16_t
Gateway_ForwardPort(const Gateway *this)
{
    return this->forward_server != NULL
               ? ForwardServer_Port(this->forward_server)
               : 0;
}

const HttpServerIdleCounts *
Gateway_IdleCounts(const Gateway *this)
{
    return HttpServer_IdleCounts(this->server);
}

size_t
Gateway_InputBytes(const Gateway *this)
{
    return this->budget != NULL ? InputBudget_UsedBytes(this->budget) : 0;
}

HttpServerPressure
Gateway_Pressure(const Gateway *this)
{
    HttpServerPressure sum = *HttpServer_Pressure(this->server);

    if (this->forward_server != NULL) {
        const HttpServerPressure *forwards =
            ForwardServer_Pressure(this->forward_server);

        sum.refused += forwards->refused;
        sum.closed += forwards->closed;
    }
    return sum;
}

uint64_t
Gateway_SkippedResponses(const Gateway *this)
{
    return HttpClient_SkippedCount(this->client);
}

uint16_t
Gateway_Port(const Gateway *this)
{
    return HttpServer_Port(this->server);
}
