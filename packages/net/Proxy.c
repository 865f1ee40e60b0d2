#include "Proxy.h"

#include <openssl/crypto.h>
#include <openssl/sha.h>
#include <string.h>
#include <xxhash.h>

#include "ProxyHeaders.h"

#define REQUEST_ID_BYTES_MAX 64
#define KEYS_PATH "/.agatecrank/keys"
/* A response that is not relayed is read to its end, which keeps the
 * connection reusable, unless it is longer than this. */
#define DISCARDED_BYTES_MAX 65536
#define DISCARD_TIME_US (1 * MICROS_PER_S)

typedef struct Attempt_ Attempt;

typedef struct ProxyRequest_ {
    Proxy *proxy;
    HttpRequest *http; /* NULL once closed */
    Attempt *attempt;  /* NULL without an open attempt */
    LoopTimer *timer;
    uint64_t id;
    char request_id[REQUEST_ID_BYTES_MAX + 1];
    HeaderList *headers;
    GString *method;
    GString *path;
    GString *host;
    GByteArray *body;
    int64_t body_length;
    int64_t body_received;
    XXH3_state_t *digest;
    uint32_t hops;
    GByteArray *recorded_response; /* to be replayed; NULL if not recorded */
    bool body_kept;                /* the whole body fits into the buffer */
    bool digest_submitted;         /* Balancer_OnBody() was called */
    bool finished;                 /* the balancer has released the request */
    bool body_paused;              /* reading from the caller is paused */
} ProxyRequest;

struct Attempt_ {
    ProxyRequest *owner; /* NULL if the response is discarded */
    HttpCall *call;
    LoopTimer *timer;     /* while the response is discarded */
    int64_t discarded;    /* bytes */
    bool response_paused; /* reading from the upstream is paused */
};

struct Proxy_ {
    Loop *loop;
    Balancer *balancer;
    Random *random;
    Counters *counters;
    ProxyOptions options;
    HttpServer *server;
    HttpClient *client;
    GHashTable *requests; /* request id of the balancer to ProxyRequest */
    ProxyClaimHandler *on_claim;
    void *user;
    bool running_actions;
};

/* ---- request objects ------------------------------------------------- */

static void
destroy_attempt(Attempt *attempt)
{
    LoopTimer_Destroy(attempt->timer);
    g_free(attempt);
}

static void
on_discard_timeout(void *user)
{
    Attempt *attempt = user;

    HttpCall_Cancel(attempt->call);
    destroy_attempt(attempt);
}

/* The rest of the response is read without its request. */
static void
discard_response(Attempt *attempt)
{
    Loop *loop = attempt->owner->proxy->loop;

    attempt->owner = NULL;
    attempt->timer = LoopTimer_Create(loop, on_discard_timeout, attempt);
    LoopTimer_Start(attempt->timer, DISCARD_TIME_US);
}

static void
destroy_request(gpointer data)
{
    ProxyRequest *request = data;

    if (request->attempt != NULL) {
        discard_response(request->attempt);
    }
    if (request->http != NULL) {
        HttpRequest_SetData(request->http, NULL);
    }
    LoopTimer_Destroy(request->timer);
    HeaderList_Destroy(request->headers);
    g_string_free(request->method, TRUE);
    g_string_free(request->path, TRUE);
    g_string_free(request->host, TRUE);
    g_byte_array_free(request->body, TRUE);
    if (request->recorded_response != NULL) {
        g_byte_array_free(request->recorded_response, TRUE);
    }
    XXH3_freeState(request->digest);
    g_free(request);
}

/* Releases a request that neither the balancer nor the server uses. */
static void
release_if_done(ProxyRequest *request)
{
    if (request->finished && request->http == NULL) {
        g_hash_table_remove(request->proxy->requests, &request->id);
    }
}

static ProxyRequest *
find_request(Proxy *this, uint64_t id)
{
    return g_hash_table_lookup(this->requests, &id);
}

static void
on_attempt_timeout(void *user)
{
    ProxyRequest *request = user;
    Proxy *this = request->proxy;

    Balancer_OnTimeout(this->balancer, request->id);
    Proxy_RunActions(this);
}

static void
set_request_id(Proxy *this, ProxyRequest *request)
{
    Str received = HeaderList_Get(request->headers, STR("x-request-id"));

    if (received.length > 0 && received.length <= REQUEST_ID_BYTES_MAX &&
        Fields_IsName(received)) {
        memcpy(request->request_id, received.data, received.length);
        return;
    }
    g_snprintf(request->request_id, sizeof(request->request_id),
               "%016" G_GINT64_MODIFIER "x%016" G_GINT64_MODIFIER "x",
               Random_Next(this->random), Random_Next(this->random));
}

static ProxyRequest *
create_request(Proxy *this, HttpRequest *http)
{
    ProxyRequest *request = g_new0(ProxyRequest, 1);
    Str method = HttpRequest_Method(http), path = HttpRequest_Path(http);
    Str host = HeaderList_Get(HttpRequest_Headers(http), STR("host"));

    request->proxy = this;
    request->http = http;
    request->headers = HeaderList_Create();
    HeaderList_CopyAll(HttpRequest_Headers(http), request->headers);
    request->method = Str_ToString(method);
    request->path = Str_ToString(path);
    request->host = Str_ToString(host);
    request->body = g_byte_array_new();
    request->body_length = HttpRequest_ContentLength(http);
    request->body_kept =
        request->body_length <= (int64_t)this->options.request_buffer_bytes;
    request->digest = XXH3_createState();
    XXH3_64bits_reset(request->digest);
    request->timer = LoopTimer_Create(this->loop, on_attempt_timeout, request);
    set_request_id(this, request);
    HttpRequest_SetData(http, request);
    return request;
}

/* ---- actions of the balancer ----------------------------------------- */

static void
respond_to_caller(ProxyRequest *request, const BalancerAction *action)
{
    GString *body = g_string_new(NULL);
    HeaderList *headers = ProxyHeaders_ForLocalResponse(
        Str_FromC(request->request_id), action->respond.outcome,
        action->respond.request_outcome, action->respond.reason,
        action->respond.retry_after, body);

    if (request->http != NULL) {
        HttpRequest_Respond(request->http, action->respond.status, headers,
                            Str_FromString(body));
    }
    HeaderList_Destroy(headers);
    g_string_free(body, TRUE);
}

/* A recorded response consists of a line with the status, a line NAME:VALUE
 * for each header field, an empty line, all ended by LF, and the body. */
static void
replay_response(ProxyRequest *request, Str recorded)
{
    HeaderList *headers = HeaderList_Create();
    Str line, name;
    uint64_t status = 200;

    Str_Split(&recorded, '\n', &line);
    Str_ParseU64(line, &status);
    while (Str_Split(&recorded, '\n', &line) && line.length > 0) {
        Str_Split(&line, ':', &name);
        HeaderList_Add(headers, name, line);
    }
    HeaderList_Set(headers, STR("x-request-id"),
                   Str_FromC(request->request_id));
    HeaderList_Add(headers, STR("agatecrank-reason"), STR("replayed"));
    if (request->http != NULL) {
        HttpRequest_Respond(request->http, (int)status, headers, recorded);
    }
    HeaderList_Destroy(headers);
}

static void
cancel_attempt(Proxy *this, ProxyRequest *request,
               const BalancerAction *action)
{
    Attempt *attempt = request->attempt;

    LoopTimer_Stop(request->timer);
    if (attempt != NULL) {
        request->attempt = NULL;
        attempt->owner = NULL;
        HttpCall_Cancel(attempt->call);
        destroy_attempt(attempt);
    }
    if (action->cancel.no_response) {
        HttpClient_CloseIdle(this->client, action->cancel.address,
                             action->cancel.port);
    }
}

static const HttpCallHandlers call_handlers;

static void
write_body(ProxyRequest *request)
{
    HttpCall *call = request->attempt->call;

    if (request->body->len == 0) {
        return;
    }
    HttpCall_WriteBody(call, Str_FromBytes(request->body));
    if (!request->body_kept) {
        g_byte_array_set_size(request->body, 0);
    }
}

static void
send_request(Proxy *this, ProxyRequest *request, const BalancerAction *action)
{
    ForwardInfo info = {
        .request_id = Str_FromC(request->request_id),
        .host = Str_FromString(request->host),
        .caller = action->send.caller,
        .line = action->send.line,
        .time_left = action->send.deadline - Clock_Now(Loop_Clock(this->loop)),
        .hops = request->hops + 1,
        .retrying = action->send.retrying,
    };
    HeaderList *headers = ProxyHeaders_ForUpstream(request->headers, &info);
    Attempt *attempt = g_new0(Attempt, 1);
    HttpCallSpec spec = {
        .address = action->send.address,
        .port = action->send.port,
        .method = Str_FromString(request->method),
        .path = Str_FromString(request->path),
        .headers = headers,
        .content_length = request->body_length,
        .new_connection = action->send.new_connection,
    };

    attempt->owner = request;
    attempt->call =
        HttpClient_Start(this->client, &spec, &call_handlers, attempt, NULL);
    HeaderList_Destroy(headers);
    if (attempt->call == NULL) {
        destroy_attempt(attempt);
        Balancer_OnAttemptEnd(this->balancer, request->id, ATTEMPT_END_UNSENT,
                              STR(""));
        return;
    }
    request->attempt = attempt;
    LoopTimer_Start(request->timer, action->send.timeout);
    write_body(request);
}

static void
run_action(Proxy *this, const BalancerAction *action)
{
    ProxyRequest *request = find_request(this, action->request);

    if (request == NULL) {
        return;
    }
    switch (action->kind) {
    case BALANCER_SEND:
        send_request(this, request, action);
        return;
    case BALANCER_CANCEL:
        cancel_attempt(this, request, action);
        return;
    case BALANCER_RESPOND:
        respond_to_caller(request, action);
        break;
    case BALANCER_REPLAY:
        replay_response(request, action->replay);
        break;
    case BALANCER_ABORT:
        if (request->http != NULL) {
            HttpRequest_Abort(request->http);
        }
        break;
    }
    LoopTimer_Stop(request->timer);
    request->finished = true;
    release_if_done(request);
}

static bool
run_claim_action(Proxy *this)
{
    ClaimAction action;

    if (!Claims_NextAction(Balancer_Claims(this->balancer), &action)) {
        return false;
    }
    switch (action.kind) {
    case CLAIM_DISPATCH:
    case CLAIM_ANSWER:
        Balancer_OnClaimAction(this->balancer, &action);
        return true;
    default:
        this->on_claim(this->user, &action);
        return true;
    }
}

void
Proxy_RunActions(Proxy *this)
{
    BalancerAction action;
    bool more = true;

    if (this->running_actions) {
        return;
    }
    this->running_actions = true;
    while (more) {
        more = false;
        while (Balancer_NextAction(this->balancer, &action)) {
            run_action(this, &action);
            more = true;
        }
        while (run_claim_action(this)) {
            more = true;
        }
    }
    this->running_actions = false;
}

/* ---- responses of upstreams ------------------------------------------ */

static void
record_text(ProxyRequest *request, Str text)
{
    g_byte_array_append(request->recorded_response, (const guint8 *)text.data,
                        (guint)text.length);
}

static void
start_recording(ProxyRequest *request, int status, const HeaderList *headers)
{
    char line[16];
    Str name, value;

    if (!HeaderList_Has(request->headers, STR("idempotency-key"))) {
        return;
    }
    request->recorded_response = g_byte_array_new();
    g_snprintf(line, sizeof(line), "%d\n", status);
    record_text(request, Str_FromC(line));
    for (size_t i = 0; i < HeaderList_Count(headers); i++) {
        HeaderList_At(headers, i, &name, &value);
        record_text(request, name);
        record_text(request, STR(":"));
        record_text(request, value);
        record_text(request, STR("\n"));
    }
    record_text(request, STR("\n"));
}

static void
record_data(ProxyRequest *request, Str data)
{
    if (request->recorded_response == NULL) {
        return;
    }
    if (request->recorded_response->len + data.length >
        request->proxy->options.answer_limit) {
        g_byte_array_free(request->recorded_response, TRUE);
        request->recorded_response = NULL;
        return;
    }
    g_byte_array_append(request->recorded_response, (const guint8 *)data.data,
                        (guint)data.length);
}

static void
relay_headers(ProxyRequest *request, int status, const HeaderList *headers)
{
    Outcome outcome =
        Balancer_RequestOutcome(request->proxy->balancer, request->id, status);
    HeaderList *out = ProxyHeaders_ForCaller(
        headers, Str_FromC(request->request_id), outcome);

    start_recording(request, status, out);
    if (request->http != NULL) {
        HttpRequest_StartResponse(request->http, status, out,
                                  HeaderList_ContentLength(headers));
    }
    HeaderList_Destroy(out);
}

/* Upstreams need not return the id; another one is that of another request. */
static bool
states_not_run(const ProxyRequest *request, const HeaderList *headers)
{
    Str id = HeaderList_Get(headers, STR("x-request-id"));

    return Str_Equal(HeaderList_Get(headers, STR("agatecrank-outcome")),
                     STR("not-run")) &&
           (id.length == 0 || Str_Equal(id, Str_FromC(request->request_id)));
}

static void
on_call_headers(void *user, HttpCall *call, int status,
                const HeaderList *headers)
{
    Attempt *attempt = user;
    ProxyRequest *request = attempt->owner;
    ResponseHead head = {
        .status = status,
        .from_balancer = HeaderList_Has(headers, STR("agatecrank-reason")),
        .load = HeaderList_Get(headers, STR("agatecrank-load")),
    };
    Proxy *this;

    if (request == NULL) {
        return;
    }
    this = request->proxy;
    head.not_run = states_not_run(request, headers);
    if (Balancer_OnResponseHead(this->balancer, request->id, &head) ==
        BALANCER_RELAY) {
        relay_headers(request, status, headers);
    }
    else {
        discard_response(attempt);
        request->attempt = NULL;
        LoopTimer_Stop(request->timer);
    }
    Proxy_RunActions(this);
}

static void
on_call_data(void *user, HttpCall *call, Str data)
{
    Attempt *attempt = user;
    ProxyRequest *request = attempt->owner;

    if (request == NULL) {
        attempt->discarded += (int64_t)data.length;
        if (attempt->discarded > DISCARDED_BYTES_MAX) {
            HttpCall_Cancel(call);
            destroy_attempt(attempt);
        }
        return;
    }
    record_data(request, data);
    if (request->http == NULL) {
        return;
    }
    HttpRequest_Write(request->http, data);
    if (HttpRequest_Buffered(request->http) >
        request->proxy->options.response_buffer_bytes) {
        attempt->response_paused = true;
        HttpCall_PauseResponse(call, true);
    }
}

static void
on_call_drained(void *user, HttpCall *call)
{
    const Attempt *attempt = user;
    ProxyRequest *request = attempt->owner;

    if (request != NULL && request->body_paused && request->http != NULL) {
        request->body_paused = false;
        HttpRequest_PauseBody(request->http, false);
    }
}

/* Releases an attempt and reports its end to the balancer. */
static void
end_attempt(Attempt *attempt, AttemptEnd end)
{
    ProxyRequest *request = attempt->owner;
    Proxy *this;
    Str recorded = {NULL, 0};
    ExchangeStep step;

    destroy_attempt(attempt);
    if (request == NULL) {
        return;
    }
    this = request->proxy;
    request->attempt = NULL;
    LoopTimer_Stop(request->timer);
    if (end == ATTEMPT_END_COMPLETE && request->recorded_response != NULL) {
        recorded = Str_FromBytes(request->recorded_response);
    }
    if (end == ATTEMPT_END_COMPLETE && request->http != NULL) {
        HttpRequest_Finish(request->http);
    }
    step = Balancer_OnAttemptEnd(this->balancer, request->id, end, recorded);
    if (step == EXCHANGE_STEP_FINISH || step == EXCHANGE_STEP_DROP) {
        request->finished = true;
        release_if_done(request);
    }
    Proxy_RunActions(this);
}

static void
on_call_complete(void *user, HttpCall *call)
{
    end_attempt(user, ATTEMPT_END_COMPLETE);
}

static void
on_call_failed(void *user, HttpCall *call, HttpCallFailure failure,
               bool maybe_sent, const Error *error)
{
    AttemptEnd end = ATTEMPT_END_CONNECTION_CLOSED;

    if (!maybe_sent) {
        end = ATTEMPT_END_UNSENT;
    }
    else if (failure == CALL_FAILED_FRAMING) {
        end = ATTEMPT_END_FRAMING;
    }
    end_attempt(user, end);
}

static const HttpCallHandlers call_handlers = {
    on_call_headers,  on_call_data,   on_call_drained,
    on_call_complete, on_call_failed,
};

/* ---- requests of callers --------------------------------------------- */

static void
respond_with_key(Proxy *this, HttpRequest *http)
{
    HeaderList *headers = HeaderList_Create();
    uint64_t words[2] = {Random_Next(this->random), Random_Next(this->random)};
    char key[IDEMPOTENCY_KEY_MAX_BYTES + 1];
    char *body;

    HeaderList_Add(headers, STR("content-type"), STR("application/json"));
    if (Claims_IssueKey(Balancer_Claims(this->balancer), words, key) < 0) {
        HttpRequest_Respond(http, 500, headers,
                            STR("{\"reason\":\"host-name-too-long\"}\n"));
    }
    else {
        body = g_strdup_printf("{\"key\":\"%s\"}\n", key);
        HttpRequest_Respond(http, 200, headers, Str_FromC(body));
        g_free(body);
    }
    HeaderList_Destroy(headers);
}

static bool
hash_credential(const HttpRequest *http, uint8_t digest[32])
{
    Str text = HeaderList_Get(HttpRequest_Headers(http), STR("authorization"));
    Str scheme;

    if (!Str_Split(&text, ' ', &scheme) ||
        !Str_EqualIgnoreCase(scheme, STR("bearer"))) {
        return false;
    }
    text = Str_Trim(text);
    if (text.length == 0) {
        return false;
    }
    SHA256((const unsigned char *)text.data, text.length, digest);
    return true;
}

static void
submit_request(Proxy *this, ProxyRequest *request)
{
    const HeaderList *headers = request->headers;
    uint8_t digest[32];
    bool has_credential = hash_credential(request->http, digest);
    uint64_t hops = 0;
    RequestInfo info = {
        .request_id = Str_FromC(request->request_id),
        .method = Str_FromString(request->method),
        .path = Str_FromString(request->path),
        .service = ProxyHeaders_Service(Str_FromString(request->host)),
        .credential = {(const char *)digest,
                       has_credential ? sizeof(digest) : 0},
        .key = HeaderList_Get(headers, STR("idempotency-key")),
        .deadline = ProxyHeaders_Deadline(headers),
        .layer_above_retries =
            HeaderList_Has(headers, STR("agatecrank-retrying")),
        .body_length = request->body_length,
        .body_kept = request->body_kept,
    };

    Str_ParseU64(HeaderList_Get(headers, STR("agatecrank-hops")), &hops);
    request->hops =
        hops < BALANCER_HOPS_MAX ? (uint32_t)hops : BALANCER_HOPS_MAX;
    info.hops = request->hops;
    request->id = Balancer_OnRequest(this->balancer, &info);
    g_hash_table_insert(this->requests, &request->id, request);
    OPENSSL_cleanse(digest, sizeof(digest));
}

static void
on_request(void *user, HttpRequest *http)
{
    Proxy *this = user;

    if (Str_Equal(HttpRequest_Path(http), STR(KEYS_PATH)) &&
        Str_Equal(HttpRequest_Method(http), STR("POST"))) {
        HttpRequest_SetData(http, NULL);
        respond_with_key(this, http);
        return;
    }
    submit_request(this, create_request(this, http));
    Proxy_RunActions(this);
}

/* Reports the digest of the request to the balancer. It covers method, target,
 * length and body; of a body that exceeds the buffer only the first part. */
static void
submit_digest(ProxyRequest *request)
{
    request->digest_submitted = true;
    XXH3_64bits_update(request->digest, request->method->str,
                       request->method->len + 1);
    XXH3_64bits_update(request->digest, request->path->str,
                       request->path->len + 1);
    XXH3_64bits_update(request->digest, &request->body_length,
                       sizeof(request->body_length));
    Balancer_OnBody(request->proxy->balancer, request->id,
                    XXH3_64bits_digest(request->digest));
    Proxy_RunActions(request->proxy);
}

static void
on_body(void *user, HttpRequest *http, Str data)
{
    Proxy *this = user;
    ProxyRequest *request = HttpRequest_Data(http);

    if (request == NULL || request->finished) {
        return;
    }
    request->body_received += (int64_t)data.length;
    g_byte_array_append(request->body, (const guint8 *)data.data,
                        (guint)data.length);
    if (!request->digest_submitted) {
        XXH3_64bits_update(request->digest, data.data, data.length);
    }
    if (request->body_kept) {
        return;
    }
    if (request->digest_submitted && request->attempt != NULL) {
        write_body(request);
    }
    if (request->body->len + (request->attempt != NULL
                                  ? HttpCall_Buffered(request->attempt->call)
                                  : 0) >=
        this->options.request_buffer_bytes) {
        request->body_paused = true;
        HttpRequest_PauseBody(http, true);
    }
    if (!request->digest_submitted &&
        request->body->len >= this->options.request_buffer_bytes) {
        submit_digest(request);
    }
}

static void
on_body_end(void *user, HttpRequest *http)
{
    ProxyRequest *request = HttpRequest_Data(http);

    if (request != NULL && !request->finished && !request->digest_submitted) {
        submit_digest(request);
    }
}

static void
on_response_drained(void *user, HttpRequest *http)
{
    ProxyRequest *request = HttpRequest_Data(http);

    if (request != NULL && request->attempt != NULL &&
        request->attempt->response_paused) {
        request->attempt->response_paused = false;
        HttpCall_PauseResponse(request->attempt->call, false);
    }
}

static void
on_closed(void *user, HttpRequest *http, bool complete)
{
    Proxy *this = user;
    ProxyRequest *request = HttpRequest_Data(http);

    if (request == NULL) {
        return;
    }
    request->http = NULL;
    if (!request->finished &&
        !Balancer_OnCallerDisconnect(this->balancer, request->id)) {
        Proxy_RunActions(this);
        request->finished = true;
    }
    release_if_done(request);
    Proxy_RunActions(this);
}

static const HttpServerHandlers server_handlers = {
    on_request, on_body, on_body_end, on_response_drained, on_closed,
};

/* ---- creation --------------------------------------------------------- */

Proxy *
Proxy_Create(Loop *loop, Balancer *balancer, Random *random,
             Counters *counters, const ProxyOptions *options,
             ProxyClaimHandler *on_claim, void *user, Error *error)
{
    Proxy *this = g_new0(Proxy, 1);

    this->loop = loop;
    this->balancer = balancer;
    this->random = random;
    this->counters = counters;
    this->options = *options;
    this->on_claim = on_claim;
    this->user = user;
    this->requests = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
                                           destroy_request);
    this->client = HttpClient_Create(loop, &this->options.client);
    this->server = HttpServer_Create(loop, &this->options.server,
                                     &server_handlers, this, error);
    if (this->server == NULL) {
        Proxy_Destroy(this);
        return NULL;
    }
    return this;
}

void
Proxy_Destroy(Proxy *this)
{
    g_hash_table_destroy(this->requests);
    if (this->server != NULL) {
        HttpServer_Destroy(this->server);
    }
    HttpClient_Destroy(this->client);
    g_free(this);
}

void
Proxy_DisableKeepAlive(Proxy *this)
{
    HttpServer_DisableKeepAlive(this->server);
}

void
Proxy_StopListening(Proxy *this)
{
    HttpServer_StopListening(this->server);
    HttpServer_CloseIdle(this->server);
}

uint16_t
Proxy_Port(const Proxy *this)
{
    return HttpServer_Port(this->server);
}

size_t
Proxy_OpenRequests(const Proxy *this)
{
    return HttpServer_OpenRequests(this->server);
}
