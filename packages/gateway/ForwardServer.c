#include "ForwardServer.h"

#include <openssl/crypto.h>
#include <string.h>

/* The seal and a longer timeout field. */
#define HEAD_EXTRA_BYTES 1024
#define HEAD_DEFAULT_BYTES 16384
#define HEAD_TIMEOUT_US (1 * MICROS_PER_S)
/* A host that loses its path to this one while it sends leaves a connection
 * that never ends. */
#define BODY_TIMEOUT_US (2 * MICROS_PER_S)
#define IDLE_TIMEOUT_S 15
/* Bodies of all open requests together. */
#define BODIES_MAX_BYTES ((int64_t)32 * 1024 * 1024)
#define REFUSAL_LOG_INTERVAL_US (1 * MICROS_PER_S)

struct ForwardServer_ {
    Loop *loop;
    HttpServer *server;
    ForwardServerOptions options;
    ForwardServerHandlers handlers;
    void *user;
    const Clock *clock;
    int64_t body_bytes; /* of all open requests */
    Micros refusal_logged_at;
    uint64_t unlogged_refusals;
};

struct ForwardedRequest_ {
    ForwardServer *server;
    HttpRequest *http;
    GString *sender;
    uint64_t sequence;
    uint32_t attempts_max;
    uint8_t response_key[FORWARD_MAC_KEY_BYTES];
    uint8_t digest[FORWARD_DIGEST_BYTES];
    LoopTimer *body_timer;
    BodyBuffer *body;   /* NULL once taken */
    int64_t body_bytes; /* as announced */
    void *data;         /* of the owner */
    bool delivered;
    bool sealed;
};

static void
count(const ForwardServer *this, const char *result)
{
    CounterLabel label = {"result", Str_FromC(result)};

    Counters_Add(this->options.counters, "agatecrank_forwarded_requests_total",
                 &label, 1, 1);
}

/* ---- refusals ------------------------------------------------------- */

/* Anybody can cause these lines. */
static void
log_refusal(ForwardServer *this, Str sender, const char *reason)
{
    Micros now = Clock_Now(this->clock);

    this->unlogged_refusals++;
    if (this->refusal_logged_at >= 0 &&
        now - this->refusal_logged_at < REFUSAL_LOG_INTERVAL_US) {
        return;
    }
    if (EventLog_Begin(this->options.log, LOG_LEVEL_INFO, "forward-refused")) {
        EventLog_Str(this->options.log, "from", sender);
        EventLog_CStr(this->options.log, "reason", reason);
        EventLog_Int(this->options.log, "refusals",
                     (int64_t)this->unlogged_refusals);
        EventLog_End(this->options.log);
    }
    this->refusal_logged_at = now;
    this->unlogged_refusals = 0;
}

static void
refuse(ForwardServer *this, HttpRequest *request, Str sender,
       const char *reason)
{
    HeaderList *headers = HeaderList_Create();

    log_refusal(this, sender, reason);
    count(this, "denied");
    HttpRequest_CloseAfter(request);
    HttpRequest_Respond(request, 403, headers, STR(""));
    HeaderList_Destroy(headers);
}

static void
seal_response(const uint8_t *key, uint64_t sequence, int status,
              ForwardResponseSeal *seal, HeaderList *headers)
{
    ForwardResponseHead head = {sequence, status, headers};
    GString *text = g_string_new(NULL);

    HeaderList_Remove(headers, STR(FORWARD_FIELD));
    ForwardResponseSeal_Mac(seal, &head, key, seal->mac);
    ForwardResponseSeal_Format(seal, text);
    HeaderList_Add(headers, STR(FORWARD_FIELD), Str_FromString(text));
    g_string_free(text, TRUE);
}

/* States that the request was not executed, so that its sender may try another
 * host. */
static void
respond_not_run(HttpRequest *request, const uint8_t *key, uint64_t sequence,
                const char *reason)
{
    HeaderList *headers = HeaderList_Create();
    ForwardResponseSeal seal = {.outcome = FORWARD_OUTCOME_NOT_RUN,
                                .reason = Str_FromC(reason)};

    seal_response(key, sequence, 503, &seal, headers);
    HttpRequest_CloseAfter(request);
    HttpRequest_Respond(request, 503, headers, STR(""));
    HeaderList_Destroy(headers);
}

/* ---- authentication ------------------------------------------------- */

static bool
has_mac(const ForwardServer *this, HttpRequest *request,
        const ForwardRequestSeal *seal, const uint8_t *key)
{
    ForwardRequestHead head = {
        HostKeys_Host(this->options.keys), HttpRequest_Method(request),
        HttpRequest_Path(request), HttpRequest_Headers(request)};
    uint8_t mac[FORWARD_MAC_BYTES];

    ForwardRequestSeal_Mac(seal, &head, key, mac);
    return ForwardSeal_Equal(mac, seal->mac, FORWARD_MAC_BYTES);
}

/* The sender's key is not in the list that this host has read. If the sender
 * has read this host's, it can believe the refusal. */
static void
refuse_unlisted(ForwardServer *this, HttpRequest *request,
                const ForwardRequestSeal *seal)
{
    HostPeer *peer = HostKeys_FindUnlisted(this->options.keys, seal->sender,
                                           seal->sender_key);

    if (peer == NULL ||
        !has_mac(this, request, seal, peer->keys.received_request)) {
        refuse(this, request, seal->sender, "unknown-host");
        return;
    }
    if (!ReplayWindow_Use(&peer->received, seal->sequence)) {
        refuse(this, request, seal->sender, "replayed");
        return;
    }
    log_refusal(this, seal->sender, "unlisted-host");
    count(this, "denied");
    respond_not_run(request, peer->keys.sent_response, seal->sequence,
                    "forward-denied");
    this->handlers.on_unlisted(this->user, seal->sender);
}

/* Returns the sender of an authentic request, or NULL after a response. */
static const HostPeer *
authenticate(ForwardServer *this, HttpRequest *request,
             const ForwardRequestSeal *seal)
{
    HostPeer *peer = HostKeys_Find(this->options.keys, seal->sender);

    if (peer == NULL ||
        memcmp(peer->key, seal->sender_key, HOST_KEY_BYTES) != 0) {
        refuse_unlisted(this, request, seal);
        return NULL;
    }
    if (!has_mac(this, request, seal, peer->keys.received_request)) {
        refuse(this, request, seal->sender, "bad-seal");
        return NULL;
    }
    if (!ReplayWindow_Use(&peer->received, seal->sequence)) {
        refuse(this, request, seal->sender, "replayed");
        return NULL;
    }
    return peer;
}

/* ---- requests ------------------------------------------------------- */

static void
on_body_timeout(void *user)
{
    ForwardedRequest *this = user;

    log_refusal(this->server, Str_FromString(this->sender), "body-timeout");
    HttpRequest_Abort(this->http);
}

static void
create_forwarded(ForwardServer *this, HttpRequest *request,
                 const HostPeer *peer, const ForwardRequestSeal *seal)
{
    ForwardedRequest *forwarded = g_new0(ForwardedRequest, 1);

    forwarded->server = this;
    forwarded->http = request;
    forwarded->sender = Str_ToString(seal->sender);
    forwarded->sequence = seal->sequence;
    forwarded->attempts_max = seal->attempts_max;
    memcpy(forwarded->response_key, peer->keys.sent_response,
           FORWARD_MAC_KEY_BYTES);
    memcpy(forwarded->digest, seal->digest, FORWARD_DIGEST_BYTES);
    forwarded->body = BodyBuffer_Create();
    forwarded->body_bytes = HttpRequest_ContentLength(request);
    this->body_bytes += forwarded->body_bytes;
    forwarded->body_timer =
        LoopTimer_Create(this->loop, on_body_timeout, forwarded);
    LoopTimer_Start(forwarded->body_timer, BODY_TIMEOUT_US);
    HttpRequest_SetData(request, forwarded);
}

static void
destroy_forwarded(ForwardedRequest *this)
{
    HttpRequest_SetData(this->http, NULL);
    this->server->body_bytes -= this->body_bytes;
    LoopTimer_Destroy(this->body_timer);
    BodyBuffer_Destroy(this->body);
    g_string_free(this->sender, TRUE);
    OPENSSL_cleanse(this->response_key, FORWARD_MAC_KEY_BYTES);
    g_free(this);
}

static void
on_request(void *user, HttpRequest *request)
{
    ForwardServer *this = user;
    ForwardRequestSeal seal;
    const HostPeer *peer;

    if (ForwardRequestSeal_Parse(
            HeaderList_Get(HttpRequest_Headers(request), STR(FORWARD_FIELD)),
            &seal) < 0) {
        refuse(this, request, STR(""), "malformed");
        return;
    }
    peer = authenticate(this, request, &seal);
    if (peer == NULL) {
        return;
    }
    if (this->body_bytes + HttpRequest_ContentLength(request) >
        BODIES_MAX_BYTES) {
        count(this, "not-run");
        respond_not_run(request, peer->keys.sent_response, seal.sequence,
                        "forward-limit");
        return;
    }
    create_forwarded(this, request, peer, &seal);
}

static void
on_body(void *user, HttpRequest *request, Str data)
{
    ForwardedRequest *forwarded = HttpRequest_Data(request);

    if (forwarded != NULL) {
        BodyBuffer_Append(forwarded->body, data);
    }
}

static void
on_body_end(void *user, HttpRequest *request)
{
    ForwardServer *this = user;
    ForwardedRequest *forwarded = HttpRequest_Data(request);
    uint8_t digest[FORWARD_DIGEST_BYTES];

    if (forwarded == NULL) {
        return;
    }
    LoopTimer_Stop(forwarded->body_timer);
    ForwardSeal_Digest(forwarded->body, digest);
    if (!ForwardSeal_Equal(digest, forwarded->digest, sizeof(digest))) {
        refuse(this, request, Str_FromString(forwarded->sender), "bad-body");
        destroy_forwarded(forwarded);
        return;
    }
    forwarded->delivered = true;
    forwarded->data = this->handlers.on_request(this->user, forwarded);
}

static void
on_drained(void *user, HttpRequest *request)
{
    ForwardServer *this = user;
    const ForwardedRequest *forwarded = HttpRequest_Data(request);

    if (forwarded != NULL && forwarded->delivered) {
        this->handlers.on_drained(this->user, forwarded->data);
    }
}

static void
on_closed(void *user, HttpRequest *request, bool complete)
{
    ForwardServer *this = user;
    ForwardedRequest *forwarded = HttpRequest_Data(request);

    if (forwarded == NULL) {
        return;
    }
    if (!forwarded->sealed) {
        count(this, "aborted");
    }
    if (forwarded->delivered) {
        this->handlers.on_closed(this->user, forwarded->data, complete);
    }
    destroy_forwarded(forwarded);
}

static const HttpServerHandlers server_handlers = {
    on_request, on_body, on_body_end, on_drained, on_closed,
};

HttpRequest *
ForwardedRequest_Http(ForwardedRequest *this)
{
    return this->http;
}

Str
ForwardedRequest_Sender(const ForwardedRequest *this)
{
    return Str_FromString(this->sender);
}

uint32_t
ForwardedRequest_AttemptsMax(const ForwardedRequest *this)
{
    return this->attempts_max;
}

BodyBuffer *
ForwardedRequest_TakeBody(ForwardedRequest *this)
{
    return g_steal_pointer(&this->body);
}

void
ForwardedRequest_Seal(ForwardedRequest *this, ForwardOutcome outcome,
                      Str reason, int status, HeaderList *headers)
{
    ForwardResponseSeal seal = {.outcome = outcome, .reason = reason};

    seal_response(this->response_key, this->sequence, status, &seal, headers);
    this->sealed = true;
    count(this->server, ForwardOutcome_Name(outcome));
}

/* ---- creation ------------------------------------------------------- */

static HttpLimits
limits_for(size_t head_bytes)
{
    return (HttpLimits){
        .head_bytes = head_bytes + HEAD_EXTRA_BYTES,
        .body_bytes = FORWARD_BODY_MAX_BYTES,
        .head_timeout = HEAD_TIMEOUT_US,
    };
}

ForwardServer *
ForwardServer_Create(Loop *loop, const ForwardServerOptions *options,
                     const ForwardServerHandlers *handlers, void *user,
                     Error *error)
{
    ForwardServer *this = g_new0(ForwardServer, 1);
    HttpServerOptions server = {
        .address = options->address.address,
        .port = options->address.port,
        .keep_alive_s = IDLE_TIMEOUT_S,
        .limits = limits_for(HEAD_DEFAULT_BYTES),
        .budget = options->budget,
        .log = options->log,
    };

    this->loop = loop;
    this->options = *options;
    this->handlers = *handlers;
    this->user = user;
    this->clock = Loop_Clock(loop);
    this->refusal_logged_at = -1;
    this->server =
        HttpServer_Create(loop, &server, &server_handlers, this, error);
    if (this->server == NULL) {
        ForwardServer_Destroy(this);
        return NULL;
    }
    return this;
}

void
ForwardServer_Destroy(ForwardServer *this)
{
    if (this == NULL) {
        return;
    }
    HttpServer_Destroy(this->server);
    g_free(this);
}

uint16_t
ForwardServer_Port(const ForwardServer *this)
{
    return HttpServer_Port(this->server);
}

void
ForwardServer_SetHeadBytes(ForwardServer *this, size_t head_bytes)
{
    HttpLimits limits =
        limits_for(head_bytes > 0 ? head_bytes : HEAD_DEFAULT_BYTES);

    HttpServer_SetLimits(this->server, &limits, IDLE_TIMEOUT_S * MICROS_PER_S);
}

const HttpServerPressure *
ForwardServer_Pressure(const ForwardServer *this)
{
    return HttpServer_Pressure(this->server);
}

void
ForwardServer_CloseKeptAlive(ForwardServer *this)
{
    HttpServer_DisableKeepAlive(this->server);
}

void
ForwardServer_StopListening(ForwardServer *this)
{
    HttpServer_StopListening(this->server);
    HttpServer_CloseIdle(this->server);
}

size_t
ForwardServer_OpenRequests(const ForwardServer *this)
{
    return HttpServer_OpenRequests(this->server);
}
