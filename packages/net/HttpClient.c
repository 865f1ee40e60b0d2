#include "HttpClient.h"

#include <glib.h>
#include <libwebsockets.h>
#include <string.h>

#define WRITE_PIECE_BYTES 16384
#define READ_PIECE_BYTES 16384

typedef struct Slot_ Slot;

/* libwebsockets queues a request behind the running one on the same vhost,
 * so each lane is a vhost and carries one call to each peer at a time. */
typedef struct Lane_ {
    struct lws_vhost *vhost;
} Lane;

struct Slot_ {
    HttpClient *client;
    HttpCall *call;
    struct lws *idle;
};

typedef struct Peer_ {
    GPtrArray *slots;
    unsigned busy;
} Peer;

struct HttpClient_ {
    Loop *loop;
    HttpClientOptions options;
    struct lws_protocols protocols[2];
    GArray *lanes;
    GHashTable *peers;
};

struct HttpCall_ {
    Slot *slot;
    Peer *peer;
    struct lws *wsi;
    HttpCallHandlers handlers;
    void *user;
    HeaderList *headers;
    GString *path;
    GByteArray *body;
    size_t body_sent;
    int64_t content_length;
    int64_t content_sent;
    int64_t answer_length;
    int64_t answer_received;
    LoopTimer *deferred_failure;
    Error error;
    bool is_head;
    bool peer_closes;
    bool has_body_method;
    bool no_answer_body;
    bool bytes_given;
    bool answered;
    bool cancelled;
    bool starting;
    bool failed;
};

static HttpCall *
call_of(Slot *slot, struct lws *wsi)
{
    if (slot == NULL || slot->call == NULL) {
        return NULL;
    }
    /* On an idle connection the library may send the request before it has
     * told which wsi it made for it. */
    if (slot->call->starting && slot->call->wsi == NULL && wsi != slot->idle) {
        slot->call->wsi = wsi;
    }
    return slot->call->wsi == wsi ? slot->call : NULL;
}

static void
release_call(HttpCall *call)
{
    call->slot->call = NULL;
    call->peer->busy--;
    LoopTimer_Destroy(call->deferred_failure);
    HeaderList_Destroy(call->headers);
    g_string_free(call->path, TRUE);
    g_byte_array_free(call->body, TRUE);
    g_free(call);
}

static void
deliver_failure(HttpCall *call, HttpCallFailure failure)
{
    if (!call->cancelled) {
        call->cancelled = true;
        call->handlers.on_failed(call->user, call, failure, call->bytes_given,
                                 &call->error);
    }
    release_call(call);
}

static void
deliver_deferred_failure(void *user)
{
    deliver_failure(user, CALL_FAILED_CONNECT);
}

static void
fail_call(HttpCall *call, const char *text)
{
    HttpCallFailure failure =
        call->bytes_given ? CALL_FAILED_BROKEN : CALL_FAILED_CONNECT;

    call->failed = true;
    Error_Set(&call->error, ERR_IO,
              call->bytes_given ? "upstream-answer" : "upstream-connect",
              Str_FromC(call->error.peer), "%s", text);
    if (call->starting) {
        return;
    }
    deliver_failure(call, failure);
}

static int
append_request_headers(HttpCall *call, unsigned char **cursor, size_t length)
{
    unsigned char *end = *cursor + length;
    Str name, value;
    char digits[24];

    call->bytes_given = true;
    for (size_t i = 0; i < HeaderList_Count(call->headers); i++) {
        HeaderList_At(call->headers, i, &name, &value);
        if (HttpWire_WriteHeader(call->wsi, name, value, cursor, end) < 0) {
            return -1;
        }
    }
    if (call->content_length > 0 || call->has_body_method) {
        g_snprintf(digits, sizeof(digits), "%" G_GINT64_FORMAT,
                   call->content_length);
        if (HttpWire_WriteHeader(call->wsi, STR("content-length"),
                                 Str_FromC(digits), cursor, end) < 0) {
            return -1;
        }
    }
    if (call->content_length > 0) {
        lws_client_http_body_pending(call->wsi, 1);
        lws_callback_on_writable(call->wsi);
    }
    return 0;
}

static int
write_body(HttpCall *call)
{
    unsigned char piece[LWS_PRE + WRITE_PIECE_BYTES];
    size_t n = call->body->len - call->body_sent;
    bool last;

    if (n > WRITE_PIECE_BYTES) {
        n = WRITE_PIECE_BYTES;
    }
    if (n == 0) {
        return 0;
    }
    memcpy(piece + LWS_PRE, call->body->data + call->body_sent, n);
    call->body_sent += n;
    call->content_sent += (int64_t)n;
    last = call->content_sent >= call->content_length;
    if (last) {
        lws_client_http_body_pending(call->wsi, 0);
    }
    if (lws_write(call->wsi, piece + LWS_PRE, n,
                  last ? LWS_WRITE_HTTP_FINAL : LWS_WRITE_HTTP) < 0) {
        return -1;
    }
    if (call->body_sent < call->body->len) {
        lws_callback_on_writable(call->wsi);
        return 0;
    }
    g_byte_array_set_size(call->body, 0);
    call->body_sent = 0;
    if (!last && !call->cancelled) {
        call->handlers.on_drained(call->user, call);
    }
    return 0;
}

static void
receive_headers(HttpClient *client, HttpCall *call)
{
    HeaderList *headers = HeaderList_Create();
    int status = (int)lws_http_client_http_response(call->wsi);

    call->answered = true;
    HttpWire_ReadHeaders(call->wsi, headers, client->options.extra_headers);
    call->answer_length = HttpWire_ContentLength(headers);
    call->peer_closes = Str_EqualIgnoreCase(
        HeaderList_Get(headers, STR("connection")), STR("close"));
    call->no_answer_body = call->is_head || status == 204 || status == 304;
    if (!call->cancelled) {
        call->handlers.on_headers(call->user, call, status, headers);
    }
    HeaderList_Destroy(headers);
}

static int
receive_data(HttpCall *call, Str data)
{
    call->answer_received += (int64_t)data.length;
    if (call->answer_length >= 0 &&
        call->answer_received > call->answer_length) {
        return -1;
    }
    if (!call->cancelled) {
        call->handlers.on_data(call->user, call, data);
    }
    return 0;
}

static bool
answer_is_whole(const HttpCall *call)
{
    if (call->no_answer_body || call->answer_length < 0) {
        return true;
    }
    return call->answer_received == call->answer_length;
}

static int
complete_call(HttpCall *call)
{
    Slot *slot = call->slot;
    /* Anything else would send the next request into a closing connection. */
    bool reusable =
        call->content_sent >= call->content_length && !call->peer_closes;

    if (!answer_is_whole(call)) {
        Error_Set(&call->error, ERR_PROTOCOL, "upstream-answer",
                  Str_FromC(call->error.peer),
                  "the answer has %" G_GINT64_FORMAT " of %" G_GINT64_FORMAT
                  " bytes",
                  call->answer_received, call->answer_length);
        deliver_failure(call, CALL_FAILED_FRAMING);
        return -1;
    }
    slot->idle = reusable ? call->wsi : NULL;
    if (!call->cancelled) {
        call->cancelled = true;
        call->handlers.on_complete(call->user, call);
    }
    release_call(call);
    return reusable ? 0 : -1;
}

static void
connection_gone(Slot *slot, struct lws *wsi, const char *text)
{
    HttpCall *call = call_of(slot, wsi);

    if (slot != NULL && slot->idle == wsi) {
        slot->idle = NULL;
    }
    if (call != NULL && !call->failed) {
        fail_call(call, text);
    }
}

static int
client_callback(struct lws *wsi, enum lws_callback_reasons reason, void *user,
                void *in, size_t length)
{
    Slot *slot = wsi != NULL ? lws_get_opaque_user_data(wsi) : NULL;
    HttpCall *call = call_of(slot, wsi);
    char buffer[LWS_PRE + READ_PIECE_BYTES];
    char *cursor = buffer + LWS_PRE;
    int space = READ_PIECE_BYTES;

    switch (reason) {
    case LWS_CALLBACK_CLIENT_APPEND_HANDSHAKE_HEADER:
        return call != NULL ? append_request_headers(call, in, length) : -1;
    case LWS_CALLBACK_CLIENT_HTTP_WRITEABLE:
        return call != NULL ? write_body(call) : 0;
    case LWS_CALLBACK_ESTABLISHED_CLIENT_HTTP:
        if (call == NULL) {
            return -1;
        }
        receive_headers(slot->client, call);
        if (!call->no_answer_body) {
            return 0;
        }
        /* The library would wait for a body that never comes, so the
         * connection is given up after an answer without one. */
        complete_call(call);
        return -1;
    case LWS_CALLBACK_RECEIVE_CLIENT_HTTP:
        return lws_http_client_read(wsi, &cursor, &space) < 0 ? -1 : 0;
    case LWS_CALLBACK_RECEIVE_CLIENT_HTTP_READ:
        return call != NULL ? receive_data(call, (Str){in, length}) : -1;
    case LWS_CALLBACK_COMPLETED_CLIENT_HTTP:
        return call != NULL ? complete_call(call) : 0;
    case LWS_CALLBACK_CLIENT_CONNECTION_ERROR:
        connection_gone(slot, wsi,
                        in != NULL ? (const char *)in : "connection failed");
        return 0;
    case LWS_CALLBACK_CLOSED_CLIENT_HTTP:
    case LWS_CALLBACK_WSI_DESTROY:
        connection_gone(slot, wsi, "the peer closed the connection");
        return 0;
    default:
        return 0;
    }
}

static void
destroy_peer(gpointer data)
{
    Peer *peer = data;

    g_ptr_array_free(peer->slots, TRUE);
    g_free(peer);
}

HttpClient *
HttpClient_Create(Loop *loop, const HttpClientOptions *options)
{
    HttpClient *this = g_new0(HttpClient, 1);

    this->loop = loop;
    this->options = *options;
    this->protocols[0].name = "http";
    this->protocols[0].callback = client_callback;
    this->protocols[0].user = this;
    this->lanes = g_array_new(FALSE, FALSE, sizeof(Lane));
    this->peers =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, destroy_peer);
    return this;
}

void
HttpClient_Destroy(HttpClient *this)
{
    if (this == NULL) {
        return;
    }
    g_array_free(this->lanes, TRUE);
    g_hash_table_destroy(this->peers);
    g_free(this);
}

static struct lws_vhost *
lane_vhost(HttpClient *this, unsigned index)
{
    struct lws_context_creation_info info = {0};

    while (this->lanes->len <= index) {
        Lane lane;

        info.port = CONTEXT_PORT_NO_LISTEN;
        info.protocols = this->protocols;
        info.vhost_name = "lane";
        if (this->options.ca_file != NULL) {
            info.options = LWS_SERVER_OPTION_DO_SSL_GLOBAL_INIT;
            info.client_ssl_ca_filepath = this->options.ca_file;
            info.client_ssl_cert_filepath = this->options.certificate_file;
            info.client_ssl_private_key_filepath = this->options.key_file;
        }
        lane.vhost = lws_create_vhost(Loop_Context(this->loop), &info);
        g_array_append_val(this->lanes, lane);
    }
    return g_array_index(this->lanes, Lane, index).vhost;
}

static Peer *
find_peer(HttpClient *this, const char *address, uint16_t port, bool create)
{
    char key[80];
    Peer *peer;

    g_snprintf(key, sizeof(key), "%s:%u", address, port);
    peer = g_hash_table_lookup(this->peers, key);
    if (peer == NULL && create) {
        peer = g_new0(Peer, 1);
        peer->slots = g_ptr_array_new_with_free_func(g_free);
        g_hash_table_insert(this->peers, g_strdup(key), peer);
    }
    return peer;
}

/* Prefers a free slot with an open connection unless a new one is wanted. */
static int
find_slot(HttpClient *this, Peer *peer, bool new_connection)
{
    int fallback = -1;
    Slot *slot;

    for (unsigned i = 0; i < peer->slots->len; i++) {
        slot = g_ptr_array_index(peer->slots, i);
        if (slot->call != NULL) {
            continue;
        }
        if (slot->idle != NULL && !new_connection) {
            return (int)i;
        }
        if (fallback < 0 && slot->idle == NULL) {
            fallback = (int)i;
        }
    }
    if (fallback >= 0) {
        return fallback;
    }
    if (peer->slots->len >= this->options.max_connections) {
        return ERR_LIMIT;
    }
    slot = g_new0(Slot, 1);
    slot->client = this;
    g_ptr_array_add(peer->slots, slot);
    return (int)peer->slots->len - 1;
}

static HttpCall *
create_call(Peer *peer, Slot *slot, const HttpCallSpec *spec,
            const HttpCallHandlers *handlers, void *user)
{
    HttpCall *call = g_new0(HttpCall, 1);
    Str name, value;

    call->peer = peer;
    call->slot = slot;
    call->handlers = *handlers;
    call->user = user;
    call->content_length = spec->content_length;
    call->answer_length = HTTP_LENGTH_UNKNOWN;
    call->is_head = Str_Equal(spec->method, STR("HEAD"));
    call->has_body_method = Str_Equal(spec->method, STR("POST")) ||
                            Str_Equal(spec->method, STR("PUT")) ||
                            Str_Equal(spec->method, STR("PATCH"));
    call->headers = HeaderList_Create();
    call->path = g_string_new_len(spec->path.data, (gssize)spec->path.length);
    call->body = g_byte_array_new();
    g_snprintf(call->error.peer, sizeof(call->error.peer), "%s:%u",
               spec->address, spec->port);
    for (size_t i = 0;
         spec->headers != NULL && i < HeaderList_Count(spec->headers); i++) {
        HeaderList_At(spec->headers, i, &name, &value);
        HeaderList_Add(call->headers, name, value);
    }
    slot->call = call;
    peer->busy++;
    return call;
}

static void
connect_call(HttpClient *this, HttpCall *call, const HttpCallSpec *spec,
             struct lws_vhost *vhost)
{
    struct lws_client_connect_info info = {0};
    char *method = g_strndup(spec->method.data, spec->method.length);

    info.context = Loop_Context(this->loop);
    info.vhost = vhost;
    info.address = spec->address;
    info.port = spec->port;
    info.path = call->path->str;
    /* The library finds an idle connection only if the Host field is the
     * peer's address; the caller's own goes into x-forwarded-host. */
    info.host = spec->address;
    info.method = method;
    info.ssl_connection = LCCSCF_PIPELINE | LCCSCF_HTTP_NO_FOLLOW_REDIRECT;
    if (this->options.ca_file != NULL) {
        info.ssl_connection |= LCCSCF_USE_SSL;
        info.alpn = "http/1.1";
    }
    info.local_protocol_name = "http";
    info.opaque_user_data = call->slot;
    info.keep_warm_secs = (uint16_t)this->options.keep_idle_s;
    info.pwsi = &call->wsi;
    call->starting = true;
    if (lws_client_connect_via_info(&info) == NULL && !call->failed) {
        fail_call(call, "the connection could not be started");
    }
    call->starting = false;
    g_free(method);
}

HttpCall *
HttpClient_Start(HttpClient *this, const HttpCallSpec *spec,
                 const HttpCallHandlers *handlers, void *user, Error *error)
{
    Peer *peer = find_peer(this, spec->address, spec->port, true);
    int index = Loop_IsClosing(this->loop)
                    ? ERR_LIMIT
                    : find_slot(this, peer, spec->new_connection);
    HttpCall *call;

    if (index < 0) {
        Error_Set(error, ERR_LIMIT, "upstream-connect",
                  Str_FromC(spec->address),
                  "all %u connections to port %u are busy",
                  this->options.max_connections, spec->port);
        return NULL;
    }
    call = create_call(peer, g_ptr_array_index(peer->slots, (guint)index),
                       spec, handlers, user);
    connect_call(this, call, spec, lane_vhost(this, (unsigned)index));
    if (call->failed) {
        call->wsi = NULL;
        call->deferred_failure =
            LoopTimer_Create(this->loop, deliver_deferred_failure, call);
        LoopTimer_Start(call->deferred_failure, 1);
    }
    return call;
}

unsigned
HttpClient_BusyTo(HttpClient *this, const char *address, uint16_t port)
{
    const Peer *peer = find_peer(this, address, port, false);

    return peer != NULL ? peer->busy : 0;
}

void
HttpClient_CloseIdle(HttpClient *this, const char *address, uint16_t port)
{
    const Peer *peer = find_peer(this, address, port, false);

    if (Loop_IsClosing(this->loop)) {
        return;
    }
    for (unsigned i = 0; peer != NULL && i < peer->slots->len; i++) {
        const Slot *slot = g_ptr_array_index(peer->slots, i);

        if (slot->call == NULL && slot->idle != NULL) {
            Loop_Kill(this->loop, slot->idle);
        }
    }
}

static bool
is_open(const HttpCall *this)
{
    return this->wsi != NULL && !Loop_IsClosing(this->slot->client->loop);
}

void
HttpCall_WriteBody(HttpCall *this, Str data)
{
    g_byte_array_append(this->body, (const guint8 *)data.data,
                        (guint)data.length);
    if (is_open(this) && this->bytes_given) {
        lws_callback_on_writable(this->wsi);
    }
}

size_t
HttpCall_Buffered(const HttpCall *this)
{
    return this->body->len - this->body_sent;
}

void
HttpCall_PauseAnswer(HttpCall *this, bool paused)
{
    if (is_open(this)) {
        lws_rx_flow_control(this->wsi, paused ? 0 : 1);
    }
}

bool
HttpCall_BytesGiven(const HttpCall *this)
{
    return this->bytes_given;
}

void
HttpCall_Cancel(HttpCall *this)
{
    this->cancelled = true;
    if (is_open(this)) {
        Loop_Kill(this->slot->client->loop, this->wsi);
    }
}
