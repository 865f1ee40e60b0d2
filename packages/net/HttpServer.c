#include "HttpServer.h"

#include "CloseWatch.h"

#include <arpa/inet.h>
#include <errno.h>
#include <glib.h>
#include <libwebsockets.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define WRITE_PIECE_BYTES 16384
#define HEADER_BLOCK_BYTES 16384
#define LISTEN_BACKLOG 1024
#define ACCEPTS_PER_EVENT 64
/* "hex digits CR LF" before and "CR LF" after each chunk. */
#define CHUNK_OVERHEAD_BYTES 20

typedef enum AnswerState_ {
    ANSWER_NONE,
    ANSWER_HEADERS,
    ANSWER_BODY,
    ANSWER_DONE,
} AnswerState;

struct HttpServer_ {
    Loop *loop;
    struct lws_vhost *vhost;
    CloseWatch *watch;
    struct lws_protocols protocols[2];
    HttpServerHandlers handlers;
    void *user;
    const char *const *extra_headers;
    size_t open_requests;
    uint64_t accepted;
    int listen_fd;
    uint16_t port;
    bool stopping;
    bool closing_kept;
};

struct HttpRequest_ {
    HttpServer *server;
    struct lws *wsi;
    HeaderList *headers;
    GString *method;
    GString *path;
    GString *certificate_name;
    int64_t content_length;
    int64_t body_received;
    void *data;
    AnswerState state;
    int status;
    HeaderList *answer_headers;
    int64_t answer_length;
    int64_t answer_written;
    GByteArray *buffer;
    size_t buffer_sent;
    int fd;
    bool body_paused;  /* by the owner */
    bool awaits;       /* the body is whole, the answer is not */
    bool writing;      /* the library is asked for a chance to write */
    bool flow_stopped; /* the library was told not to read */
    bool finished;
    bool aborted;
    bool is_head;
    bool chunked;
    bool close_after;
};

/* The library keeps a pointer to this for each connection. */
typedef struct Session_ {
    HttpRequest *request;
} Session;

static const struct {
    enum lws_token_indexes token;
    const char *name;
} methods[] = {
    {WSI_TOKEN_GET_URI, "GET"},         {WSI_TOKEN_POST_URI, "POST"},
    {WSI_TOKEN_PUT_URI, "PUT"},         {WSI_TOKEN_DELETE_URI, "DELETE"},
    {WSI_TOKEN_PATCH_URI, "PATCH"},     {WSI_TOKEN_HEAD_URI, "HEAD"},
    {WSI_TOKEN_OPTIONS_URI, "OPTIONS"},
};

/* While an answer is awaited the library polls for bytes that it does not
 * read, such as a pipelined request or the end of the stream: it would spin,
 * and run no timer of its own meanwhile. A connection that is told not to read
 * does not write either, so that is lifted for each write. */
static void
update_flow(HttpRequest *this)
{
    bool stop = (this->body_paused || this->awaits) && !this->writing;

    if (stop == this->flow_stopped || Loop_IsClosing(this->server->loop)) {
        return;
    }
    this->flow_stopped = stop;
    lws_rx_flow_control(this->wsi, stop ? 0 : 1);
}

static void
start_waiting(HttpRequest *this)
{
    this->awaits = true;
    update_flow(this);
}

static void
ask_writable(HttpRequest *this)
{
    if (this->aborted || Loop_IsClosing(this->server->loop)) {
        return;
    }
    this->writing = true;
    update_flow(this);
    lws_callback_on_writable(this->wsi);
}

/* The caller closed, or takes bytes again. */
static void
notice_caller(void *user, void *connection, bool closed)
{
    HttpRequest *request = connection;

    if (closed) {
        HttpRequest_Abort(request);
    }
    else {
        ask_writable(request);
    }
}

/* Waits for the caller to take bytes, or for more of the answer. */
static void
rest_from_writing(HttpRequest *this, bool more)
{
    this->writing = false;
    update_flow(this);
    if (more) {
        CloseWatch_Start(this->server->watch, this->fd, this, true);
    }
}

static void
append_encoded(GString *out, const char *text, size_t length)
{
    static const char plain[] = "-._~!$&'()*+,;=:@/?%";

    for (size_t i = 0; i < length; i++) {
        unsigned char c = (unsigned char)text[i];

        if (g_ascii_isalnum(c) || (c != 0 && strchr(plain, c) != NULL)) {
            g_string_append_c(out, (gchar)c);
        }
        else {
            g_string_append_printf(out, "%%%02X", c);
        }
    }
}

/* The library hands out the path with percent-encoding removed, so it is
 * encoded again; a literal percent sign must be encoded first. */
static void
append_path(GString *out, const char *text, size_t length)
{
    for (size_t i = 0; i < length; i++) {
        if (text[i] == '%' || text[i] == '?') {
            g_string_append_printf(out, "%%%02X", (unsigned char)text[i]);
        }
        else {
            append_encoded(out, text + i, 1);
        }
    }
}

static void
read_path(HttpRequest *this)
{
    char piece[HEADER_BLOCK_BYTES];
    int n;

    for (size_t i = 0; i < G_N_ELEMENTS(methods); i++) {
        if (lws_hdr_total_length(this->wsi, methods[i].token) <= 0) {
            continue;
        }
        g_string_assign(this->method, methods[i].name);
        n = lws_hdr_copy(this->wsi, piece, sizeof(piece), methods[i].token);
        if (n > 0) {
            append_path(this->path, piece, (size_t)n);
        }
        break;
    }
    for (int i = 0;; i++) {
        n = lws_hdr_copy_fragment(this->wsi, piece, sizeof(piece),
                                  WSI_TOKEN_HTTP_URI_ARGS, i);
        if (n <= 0) {
            break;
        }
        g_string_append_c(this->path, i == 0 ? '?' : '&');
        append_encoded(this->path, piece, (size_t)n);
    }
}

static void
read_certificate(HttpRequest *this)
{
    union lws_tls_cert_info_results info;

    if (lws_tls_peer_cert_info(this->wsi, LWS_TLS_CERT_INFO_VERIFIED, &info,
                               0) != 0 ||
        !info.verified) {
        return;
    }
    if (lws_tls_peer_cert_info(this->wsi, LWS_TLS_CERT_INFO_COMMON_NAME, &info,
                               sizeof(info.ns.name)) == 0) {
        g_string_assign(this->certificate_name, info.ns.name);
    }
}

static HttpRequest *
create_request(HttpServer *server, struct lws *wsi)
{
    HttpRequest *this = g_new0(HttpRequest, 1);

    this->server = server;
    this->wsi = wsi;
    this->headers = HeaderList_Create();
    this->method = g_string_new(NULL);
    this->path = g_string_new(NULL);
    this->certificate_name = g_string_new(NULL);
    this->buffer = g_byte_array_new();
    HttpWire_ReadHeaders(wsi, this->headers, server->extra_headers);
    read_path(this);
    read_certificate(this);
    this->is_head = g_str_equal(this->method->str, "HEAD");
    this->fd = lws_get_socket_fd(wsi);
    server->open_requests++;
    return this;
}

static void
destroy_request(HttpRequest *this, bool complete)
{
    HttpServer *server = this->server;

    CloseWatch_Stop(server->watch, this->fd);
    server->handlers.on_closed(server->user, this, complete);
    server->open_requests--;
    HeaderList_Destroy(this->headers);
    HeaderList_Destroy(this->answer_headers);
    g_string_free(this->method, TRUE);
    g_string_free(this->path, TRUE);
    g_string_free(this->certificate_name, TRUE);
    g_byte_array_free(this->buffer, TRUE);
    g_free(this);
}

static void
answer_error(HttpRequest *this, int status, Str text)
{
    HeaderList *headers = HeaderList_Create();

    HeaderList_Add(headers, STR("content-type"), STR("application/json"));
    HeaderList_Add(headers, STR("agatecrank-outcome"), STR("not-run"));
    HeaderList_Add(headers, STR("agatecrank-reason"), STR("bad-request"));
    this->close_after = true;
    HttpRequest_Answer(this, status, headers, text);
    HeaderList_Destroy(headers);
}

static bool
body_is_whole(const HttpRequest *this)
{
    return this->body_received >= this->content_length;
}

/* Returns false if the request was answered because it is malformed. */
static bool
check_request(HttpRequest *this)
{
    Error error;

    if (this->method->len == 0) {
        answer_error(this, 405,
                     STR("{\"outcome\":\"not-run\",\"reason\":"
                         "\"method-not-allowed\"}"));
        return false;
    }
    if (HttpWire_HasMisspelled(this->wsi) ||
        HttpWire_CheckFraming(this->headers, &error) < 0) {
        answer_error(this, 400,
                     STR("{\"outcome\":\"not-run\",\"reason\":"
                         "\"ambiguous-framing\"}"));
        return false;
    }
    if (HeaderList_Has(this->headers, STR("transfer-encoding"))) {
        answer_error(this, 411,
                     STR("{\"outcome\":\"not-run\",\"reason\":"
                         "\"length-required\"}"));
        return false;
    }
    return true;
}

/* Without a length the library reads all that follows a request of these
 * methods as its body, so the connection can not be used again. */
static bool
takes_rest_for_body(const HttpRequest *this)
{
    static const char *const with_body[] = {"POST", "PUT", "PATCH"};

    if (HeaderList_Has(this->headers, STR("content-length"))) {
        return false;
    }
    for (size_t i = 0; i < G_N_ELEMENTS(with_body); i++) {
        if (g_str_equal(this->method->str, with_body[i])) {
            return true;
        }
    }
    return false;
}

static void
start_request(HttpServer *server, struct lws *wsi, Session *session)
{
    HttpRequest *request = create_request(server, wsi);
    bool known;

    session->request = request;
    request->content_length = HttpWire_ContentLength(request->headers);
    if (request->content_length < 0) {
        request->content_length = 0;
    }
    request->close_after =
        server->closing_kept || takes_rest_for_body(request);
    if (!check_request(request)) {
        return;
    }
    known = CloseWatch_Start(server->watch, request->fd, request, false);
    request->awaits = request->content_length == 0;
    /* After a pipelined request the library polls for writing, and clears
     * that only by a call that writes. */
    if (known) {
        ask_writable(request);
    }
    update_flow(request);
    server->handlers.on_request(server->user, request);
    if (request->content_length == 0 && !request->finished &&
        !request->aborted) {
        server->handlers.on_body_end(server->user, request);
    }
}

static void
receive_body(HttpRequest *request, Str data)
{
    HttpServer *server = request->server;

    request->body_received += (int64_t)data.length;
    if (request->finished || request->aborted) {
        return;
    }
    server->handlers.on_body(server->user, request, data);
}

static void
end_body(HttpRequest *request)
{
    HttpServer *server = request->server;

    if (request->content_length > 0 && !request->finished &&
        !request->aborted) {
        start_waiting(request);
        server->handlers.on_body_end(server->user, request);
    }
}

static int
write_headers(HttpRequest *this)
{
    unsigned char block[LWS_PRE + HEADER_BLOCK_BYTES];
    unsigned char *start = block + LWS_PRE, *cursor = start;
    unsigned char *end = block + sizeof(block) - 1;
    Str name, value;
    char length[24];

    if (lws_add_http_header_status(this->wsi, (unsigned)this->status, &cursor,
                                   end)) {
        return -1;
    }
    for (size_t i = 0; i < HeaderList_Count(this->answer_headers); i++) {
        HeaderList_At(this->answer_headers, i, &name, &value);
        if (HttpWire_WriteHeader(this->wsi, name, value, &cursor, end) < 0) {
            return -1;
        }
    }
    if (this->answer_length >= 0) {
        g_snprintf(length, sizeof(length), "%" G_GINT64_FORMAT,
                   this->answer_length);
        HttpWire_WriteHeader(this->wsi, STR("content-length"),
                             Str_FromC(length), &cursor, end);
    }
    else if (this->chunked) {
        HttpWire_WriteHeader(this->wsi, STR("transfer-encoding"),
                             STR("chunked"), &cursor, end);
    }
    if (this->close_after) {
        HttpWire_WriteHeader(this->wsi, STR("connection"), STR("close"),
                             &cursor, end);
    }
    if (lws_finalize_http_header(this->wsi, &cursor, end)) {
        return -1;
    }
    if (lws_write(this->wsi, start, (size_t)(cursor - start),
                  LWS_WRITE_HTTP_HEADERS) < 0) {
        return -1;
    }
    return 0;
}

static size_t
pending_bytes(const HttpRequest *this)
{
    return this->buffer->len - this->buffer_sent;
}

static int
write_piece(HttpRequest *this)
{
    unsigned char
        piece[LWS_PRE + WRITE_PIECE_BYTES + CHUNK_OVERHEAD_BYTES + 8];
    unsigned char *start = piece + LWS_PRE;
    size_t n = pending_bytes(this), used = 0;
    bool last;

    if (n > WRITE_PIECE_BYTES) {
        n = WRITE_PIECE_BYTES;
    }
    last = this->finished && n == pending_bytes(this);
    if (this->chunked && n > 0) {
        used = (size_t)g_snprintf((char *)start, CHUNK_OVERHEAD_BYTES,
                                  "%zx\r\n", n);
    }
    if (n > 0) {
        memcpy(start + used, this->buffer->data + this->buffer_sent, n);
        used += n;
    }
    if (this->chunked && n > 0) {
        memcpy(start + used, "\r\n", 2);
        used += 2;
    }
    if (this->chunked && last) {
        memcpy(start + used, "0\r\n\r\n", 5);
        used += 5;
    }
    this->buffer_sent += n;
    if (pending_bytes(this) == 0) {
        g_byte_array_set_size(this->buffer, 0);
        this->buffer_sent = 0;
    }
    if (last) {
        this->state = ANSWER_DONE;
    }
    if (used == 0) {
        return 0;
    }
    return lws_write(this->wsi, start, used,
                     last ? LWS_WRITE_HTTP_FINAL : LWS_WRITE_HTTP) < 0
               ? -1
               : 0;
}

/* Ends the transaction; the connection stays open only if the whole request
 * was read, as the rest of a body would be taken for the next request. */
static int
complete_request(HttpRequest *this, Session *session)
{
    struct lws *wsi = this->wsi;
    bool keep = body_is_whole(this) && !this->close_after;

    session->request = NULL;
    if (keep) {
        this->awaits = this->body_paused = false;
        update_flow(this);
    }
    destroy_request(this, true);
    if (!keep) {
        return -1;
    }
    return lws_http_transaction_completed(wsi) ? -1 : 0;
}

static int
write_answer(HttpRequest *this, Session *session)
{
    HttpServer *server = this->server;
    bool more;

    if (this->aborted) {
        return -1;
    }
    if (this->state == ANSWER_HEADERS) {
        this->state = ANSWER_BODY;
        if (write_headers(this) < 0) {
            return -1;
        }
        if (!lws_send_pipe_choked(this->wsi) &&
            (pending_bytes(this) > 0 || this->finished)) {
            if (write_piece(this) < 0) {
                return -1;
            }
        }
    }
    else if (this->state == ANSWER_BODY &&
             (pending_bytes(this) > 0 || this->finished)) {
        if (write_piece(this) < 0) {
            return -1;
        }
    }
    if (this->state == ANSWER_DONE) {
        return complete_request(this, session);
    }
    if (this->state == ANSWER_BODY && pending_bytes(this) == 0 &&
        !this->finished) {
        server->handlers.on_drained(server->user, this);
    }
    more = this->state == ANSWER_BODY &&
           (pending_bytes(this) > 0 || this->finished);
    if (more && !lws_send_pipe_choked(this->wsi)) {
        ask_writable(this);
    }
    else {
        rest_from_writing(this, more);
    }
    return 0;
}

static int
server_callback(struct lws *wsi, enum lws_callback_reasons reason, void *user,
                void *in, size_t length)
{
    Session *session = user;
    HttpServer *server;

    switch (reason) {
    case LWS_CALLBACK_HTTP:
        /* Not the vhost's: the library may choose another vhost by the
         * Host header. */
        server = lws_get_opaque_user_data(wsi);
        if (server == NULL || session->request != NULL) {
            return -1;
        }
        start_request(server, wsi, session);
        return 0;
    case LWS_CALLBACK_HTTP_BODY:
        if (session != NULL && session->request != NULL) {
            receive_body(session->request, (Str){in, length});
        }
        return 0;
    case LWS_CALLBACK_HTTP_BODY_COMPLETION:
        if (session != NULL && session->request != NULL) {
            end_body(session->request);
        }
        return 0;
    case LWS_CALLBACK_HTTP_WRITEABLE:
        if (session != NULL && session->request != NULL) {
            return write_answer(session->request, session);
        }
        return 0;
    case LWS_CALLBACK_CLOSED_HTTP:
        if (session != NULL && session->request != NULL) {
            HttpRequest *request = session->request;

            session->request = NULL;
            destroy_request(request, false);
        }
        return 0;
    default:
        return 0;
    }
}

/* The listening socket is our own, because the library has no call that
 * closes one and lets the requests of its connections finish. */
static int
open_socket(HttpServer *this, const HttpServerOptions *options)
{
    struct sockaddr_in place = {.sin_family = AF_INET,
                                .sin_port = htons(options->port)};
    socklen_t length = sizeof(place);
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    int on = 1;

    if (fd < 0) {
        return -1;
    }
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    if (inet_pton(AF_INET, options->address, &place.sin_addr) != 1 ||
        bind(fd, (struct sockaddr *)&place, sizeof(place)) < 0 ||
        listen(fd, LISTEN_BACKLOG) < 0 ||
        getsockname(fd, (struct sockaddr *)&place, &length) < 0) {
        close(fd);
        return -1;
    }
    this->port = ntohs(place.sin_port);
    return fd;
}

static void
accept_callers(void *user)
{
    HttpServer *this = user;

    struct lws *wsi;
    int on = 1;

    for (int i = 0; i < ACCEPTS_PER_EVENT && !this->stopping; i++) {
        int fd =
            accept4(this->listen_fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);

        if (fd < 0) {
            return;
        }
        /* On failure the library has closed the socket. */
        this->accepted++;
        /* Without it the second piece of an answer waits for a delayed
         * acknowledgement, about 43 ms. */
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        wsi = lws_adopt_socket_vhost(this->vhost, fd);
        if (wsi != NULL) {
            lws_set_opaque_user_data(wsi, this);
        }
    }
}

static int
start_listening(HttpServer *this, const HttpServerOptions *options,
                Error *error)
{
    this->listen_fd = open_socket(this, options);
    if (this->listen_fd < 0) {
        return Error_Set(error, ERR_IO, "listen", Str_FromC(options->address),
                         "cannot listen on %s:%u: %s", options->address,
                         options->port, strerror(errno));
    }
    return Loop_Watch(this->loop, this->listen_fd, accept_callers, this,
                      error);
}

static struct lws_vhost *
create_vhost(HttpServer *this, const HttpServerOptions *options)
{
    struct lws_context_creation_info info = {0};

    info.port = CONTEXT_PORT_NO_LISTEN_SERVER;
    info.vhost_name = "callers";
    info.protocols = this->protocols;
    info.keepalive_timeout = options->keep_alive_s;
    info.timeout_secs = 3600;
    if (options->certificate_file != NULL) {
        info.options |= LWS_SERVER_OPTION_DO_SSL_GLOBAL_INIT;
        info.ssl_cert_filepath = options->certificate_file;
        info.ssl_private_key_filepath = options->key_file;
        info.alpn = "http/1.1";
    }
    if (options->client_ca_file != NULL) {
        info.options |= LWS_SERVER_OPTION_REQUIRE_VALID_OPENSSL_CLIENT_CERT;
        info.ssl_ca_filepath = options->client_ca_file;
    }
    return lws_create_vhost(Loop_Context(this->loop), &info);
}

HttpServer *
HttpServer_Create(Loop *loop, const HttpServerOptions *options,
                  const HttpServerHandlers *handlers, void *user, Error *error)
{
    HttpServer *this = g_new0(HttpServer, 1);

    this->loop = loop;
    this->handlers = *handlers;
    this->user = user;
    this->extra_headers = options->extra_headers;
    this->protocols[0].name = "http";
    this->protocols[0].callback = server_callback;
    this->protocols[0].per_session_data_size = sizeof(Session);
    this->vhost = create_vhost(this, options);
    if (this->vhost == NULL) {
        Error_Set(error, ERR_INVALID, "listen", Str_FromC(options->address),
                  "a certificate or key file can not be used");
        g_free(this);
        return NULL;
    }
    this->watch = CloseWatch_Create(loop, notice_caller, this, error);
    if (this->watch == NULL || start_listening(this, options, error) < 0) {
        lws_vhost_destroy(this->vhost);
        g_free(this);
        return NULL;
    }
    return this;
}

uint16_t
HttpServer_Port(const HttpServer *this)
{
    return this->port;
}

uint64_t
HttpServer_Accepted(const HttpServer *this)
{
    return this->accepted;
}

void
HttpServer_CloseKeptAlive(HttpServer *this)
{
    this->closing_kept = true;
}

void
HttpServer_StopListening(HttpServer *this)
{
    if (this->stopping) {
        return;
    }
    /* Connections that wait to be accepted would be reset. */
    accept_callers(this);
    this->stopping = true;
    this->closing_kept = true;
    shutdown(this->listen_fd, SHUT_RDWR);
    Loop_Unwatch(this->loop, this->listen_fd);
}

void
HttpServer_Destroy(HttpServer *this)
{
    if (this != NULL) {
        CloseWatch_Destroy(this->watch);
    }
    g_free(this);
}

size_t
HttpServer_OpenRequests(const HttpServer *this)
{
    return this->open_requests;
}

Str
HttpRequest_Method(const HttpRequest *this)
{
    return (Str){this->method->str, this->method->len};
}

Str
HttpRequest_Path(const HttpRequest *this)
{
    return (Str){this->path->str, this->path->len};
}

const HeaderList *
HttpRequest_Headers(const HttpRequest *this)
{
    return this->headers;
}

Str
HttpRequest_CertificateName(const HttpRequest *this)
{
    return (Str){this->certificate_name->str, this->certificate_name->len};
}

int64_t
HttpRequest_ContentLength(const HttpRequest *this)
{
    return this->content_length;
}

void
HttpRequest_SetData(HttpRequest *this, void *data)
{
    this->data = data;
}

void *
HttpRequest_Data(const HttpRequest *this)
{
    return this->data;
}

void
HttpRequest_PauseBody(HttpRequest *this, bool paused)
{
    this->body_paused = paused;
    update_flow(this);
}

void
HttpRequest_StartAnswer(HttpRequest *this, int status,
                        const HeaderList *headers, int64_t length)
{
    Str name, value;

    this->state = ANSWER_HEADERS;
    this->status = status;
    this->answer_length = length;
    this->chunked = length < 0 && !this->is_head;
    if (!body_is_whole(this)) {
        this->close_after = true;
    }
    if (this->server->closing_kept) {
        this->close_after = true;
    }
    this->answer_headers = HeaderList_Create();
    for (size_t i = 0; i < HeaderList_Count(headers); i++) {
        HeaderList_At(headers, i, &name, &value);
        HeaderList_Add(this->answer_headers, name, value);
    }
    ask_writable(this);
}

void
HttpRequest_Write(HttpRequest *this, Str data)
{
    if (this->is_head || this->aborted) {
        return;
    }
    g_byte_array_append(this->buffer, (const guint8 *)data.data,
                        (guint)data.length);
    ask_writable(this);
}

size_t
HttpRequest_Buffered(const HttpRequest *this)
{
    return pending_bytes(this);
}

void
HttpRequest_Finish(HttpRequest *this)
{
    this->finished = true;
    ask_writable(this);
}

void
HttpRequest_Abort(HttpRequest *this)
{
    this->aborted = true;
    this->writing = false;
    start_waiting(this);
    if (!Loop_IsClosing(this->server->loop)) {
        Loop_Kill(this->server->loop, this->wsi);
    }
}

void
HttpRequest_Answer(HttpRequest *this, int status, const HeaderList *headers,
                   Str body)
{
    HttpRequest_StartAnswer(this, status, headers, (int64_t)body.length);
    if (body.length > 0) {
        HttpRequest_Write(this, body);
    }
    HttpRequest_Finish(this);
}
