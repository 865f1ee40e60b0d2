#include "HttpServer.h"

#include <arpa/inet.h>
#include <errno.h>
#include <glib.h>
#include <http_parser.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "Socket.h"

#define LISTEN_BACKLOG 1024
#define ACCEPTS_PER_EVENT_MAX 64
#define HEAD_BYTES_DEFAULT 16384
/* Reading pauses when more bytes of pipelined requests are buffered. */
#define PIPELINED_BYTES_MAX 65536
/* Part of the idle limit that is added for the last response and the next
 * request on their way: a caller counts from the arrival of the response. */
#define IDLE_TRANSIT_RATIO 0.25
#define IDLE_TRANSIT_MAX_US (5 * MICROS_PER_S)
/* Time in which a change of the limits is known everywhere. */
#define LIMIT_CHANGE_US (9 * MICROS_PER_S)
/* Longest time that a caller may take to receive a response. */
#define SEND_TIME_MAX_US (60 * MICROS_PER_S)
/* Bounds what the system keeps for a caller that does not read. Larger than a
 * response that is buffered whole, which is then written at once. */
#define UNSENT_BYTES_MAX (512 * 1024)
/* Receive buffer of a connection whose pipelined input is not read. */
#define PAUSED_BUFFER_BYTES 16384
/* What the system may have received for it before that. */
#define PAUSED_UNREAD_BYTES (128 * 1024)
#define ACCEPT_RETRY_US (20 * MICROS_PER_MS)
#define RETRY_AFTER_S 1
#define PRESSURE_LOG_INTERVAL_US (1 * MICROS_PER_S)

typedef struct Connection_ Connection;

struct HttpServer_ {
    Loop *loop;
    LoopIo *listener;
    TlsContext *tls;
    HttpServerHandlers handlers;
    void *user;
    HttpLimits limits;
    Micros idle_timeout;
    Micros previous_timeout; /* holds until previous_until */
    Micros previous_until;
    GHashTable *connections; /* set of Connection */
    size_t open_requests;
    uint64_t accepted;
    HttpServerIdleCounts idle_counts;
    InputBudget *budget;    /* NULL for none */
    unsigned *open_sockets; /* accepted, those that are closing included */
    unsigned connections_max;
    LoopTimer *accept_timer; /* runs while the listener is paused */
    HttpServerPressure pressure;
    HttpServerPressure logged;
    Micros logged_at;
    EventLog *log;
    int listen_fd;
    uint16_t port;
    bool accept_chunked;
    bool stopping;
    bool keep_alive_disabled;
    bool configured; /* the limits are from HttpServer_SetLimits() */
};

struct Connection_ {
    HttpServer *server;
    Socket *socket;
    HttpParser *parser;
    InputShare *share; /* NULL without a budget */
    HttpRequest *request;
    GByteArray *pipelined; /* input after the current request */
    LoopTask *task;        /* writes output and completes the request */
    LoopTimer *timer;      /* for the deadline */
    Micros deadline;       /* of the idle or the header timeout; 0 for none */
    Micros idle_since;     /* since all was received, as far as known */
    Micros responded_at;   /* the last response was handed to the system */
    Micros timer_due;      /* when the timer fires; 0 if it is stopped */
    unsigned active_callbacks; /* callbacks on the call stack */
    bool closed;
};

struct HttpRequest_ {
    HttpServer *server;
    Connection *connection;
    HeaderList *headers;
    GString *method;
    GString *path;
    int64_t content_length;
    int64_t body_received;
    int64_t body_bytes_max; /* 0 for no limit */
    void *data;
    GByteArray *output; /* not yet written to the socket */
    bool body_complete;
    bool body_paused;
    bool started;
    bool finished;
    bool aborted;
    bool is_head;
    bool chunked;
    bool close_after;
};

static void
destroy_request(HttpRequest *this, bool complete)
{
    HttpServer *server = this->server;

    server->handlers.on_closed(server->user, this, complete);
    server->open_requests--;
    HeaderList_Destroy(this->headers);
    g_string_free(this->method, TRUE);
    g_string_free(this->path, TRUE);
    g_byte_array_free(this->output, TRUE);
    g_free(this);
}

static void
release_connection(Connection *this)
{
    if (!this->closed || this->active_callbacks > 0) {
        return;
    }
    LoopTask_Destroy(this->task);
    LoopTimer_Destroy(this->timer);
    HttpParser_Destroy(this->parser);
    g_byte_array_free(this->pipelined, TRUE);
    g_free(this);
}

/* The socket has been released, or the calling function releases it. */
static void
remove_connection(Connection *this, bool complete)
{
    HttpRequest *request = this->request;

    this->closed = true;
    this->socket = NULL;
    this->request = NULL;
    InputShare_Close(this->share);
    this->share = NULL;
    g_hash_table_remove(this->server->connections, this);
    if (request != NULL) {
        destroy_request(request, complete);
    }
    release_connection(this);
}

static void
close_connection(Connection *this)
{
    Socket *socket = this->socket;

    if (this->closed) {
        return;
    }
    remove_connection(this, false);
    Socket_Close(socket);
}

static void
close_gracefully(Connection *this, bool complete)
{
    Socket *socket = this->socket;

    if (this->closed) {
        return;
    }
    remove_connection(this, complete);
    Socket_CloseGracefully(socket);
}

static void
close_idle(Connection *this)
{
    Socket *socket = this->socket;

    remove_connection(this, false);
    Socket_CloseIdle(socket);
}

static Micros
now(const Connection *this)
{
    return Clock_Now(Loop_Clock(this->server->loop));
}

/* Sets the deadline @time from now; 0 removes it. A timer that fires before
 * the new deadline is not restarted here, as most deadlines are removed before
 * they pass; on_timer() restarts it if necessary. */
static void
set_deadline(Connection *this, Micros time)
{
    this->deadline = time > 0 ? now(this) + time : 0;
    if (time > 0 &&
        (this->timer_due == 0 || this->timer_due > this->deadline)) {
        this->timer_due = this->deadline;
        LoopTimer_Start(this->timer, time);
    }
}

/* Callers may still go by a limit that has been lowered. */
static Micros
longest_idle_time(const HttpServer *this)
{
    return Clock_Now(Loop_Clock(this->loop)) < this->previous_until
               ? MAX(this->idle_timeout, this->previous_timeout)
               : this->idle_timeout;
}

static Micros
idle_close_time(const HttpServer *this)
{
    Micros longest = longest_idle_time(this);
    Micros transit = (Micros)(IDLE_TRANSIT_RATIO * (double)longest);

    return longest + MIN(transit, IDLE_TRANSIT_MAX_US);
}

static void
begin_idle(Connection *this)
{
    this->responded_at = now(this);
    this->idle_since = this->responded_at;
    set_deadline(this, idle_close_time(this->server));
}

/* Without a limit of its own, a header block has the rest of the idle time. */
static void
begin_head(Connection *this)
{
    HttpParser_SetHeadBytes(this->parser, this->server->limits.head_bytes);
    if (this->server->limits.head_timeout > 0) {
        set_deadline(this, this->server->limits.head_timeout);
    }
}

/* @fields: further header fields, each with CR LF */
static void
send_error_response(Connection *this, int status, const char *reason,
                    const char *fields)
{
    GString *body = g_string_new(NULL);
    GString *response = g_string_new(NULL);

    g_string_printf(body, "{\"outcome\":\"not-run\",\"reason\":\"%s\"}",
                    reason);
    g_string_printf(response,
                    "HTTP/1.1 %d %s\r\ncontent-type: application/json\r\n"
                    "agatecrank-outcome: not-run\r\nagatecrank-reason: %s\r\n"
                    "%scontent-length: %zu\r\nconnection: close\r\n\r\n%s",
                    status, http_status_str((enum http_status)status), reason,
                    fields, body->len, body->str);
    Socket_Write(this->socket, Str_FromString(response));
    g_string_free(response, TRUE);
    g_string_free(body, TRUE);
}

/* Rejects a message whose header block is invalid or late. If an HttpRequest
 * is open, its body is malformed and the connection is closed instead. */
static void
reject_message(Connection *this, int status, const char *reason)
{
    if (this->request != NULL) {
        close_connection(this);
        return;
    }
    send_error_response(this, status, reason, "");
    close_gracefully(this, false);
}

static bool
is_idle(const Connection *this)
{
    return this->request == NULL && HttpParser_IsIdle(this->parser);
}

/* ---- memory and descriptors ----------------------------------------- */

/* Anybody can cause these lines. */
static void
log_pressure(HttpServer *this)
{
    Micros time = Clock_Now(Loop_Clock(this->loop));

    if (this->log == NULL ||
        (this->logged_at >= 0 &&
         time - this->logged_at < PRESSURE_LOG_INTERVAL_US)) {
        return;
    }
    if (EventLog_Begin(this->log, LOG_LEVEL_WARN, "callers-ended")) {
        EventLog_Int(this->log, "refused",
                     (int64_t)(this->pressure.refused - this->logged.refused));
        EventLog_Int(this->log, "closed",
                     (int64_t)(this->pressure.closed - this->logged.closed));
        EventLog_Int(this->log, "kept_bytes",
                     (int64_t)InputBudget_UsedBytes(this->budget));
        EventLog_Int(this->log, "connections", *this->open_sockets);
        EventLog_End(this->log);
    }
    this->logged = this->pressure;
    this->logged_at = time;
}

static bool
has_unread_response(const Connection *this)
{
    return this->request != NULL && this->request->started &&
           Socket_Buffered(this->socket) > 0;
}

static InputState
input_state(const Connection *this)
{
    if (is_idle(this)) {
        return INPUT_IDLE;
    }
    if (this->request == NULL) {
        return INPUT_HEAD;
    }
    if (has_unread_response(this)) {
        return INPUT_UNREAD;
    }
    return this->request->body_complete || this->request->started
               ? INPUT_COMPLETE
               : INPUT_BODY;
}

static bool
is_pipelined_full(const Connection *this)
{
    return this->pipelined->len > PIPELINED_BYTES_MAX;
}

static size_t
held_bytes(const Connection *this)
{
    const HttpRequest *request = this->request;
    /* Arrays have up to twice the room that they need. */
    size_t bytes = HttpParser_HeldBytes(this->parser) +
                   2 * this->pipelined->len + Socket_Buffered(this->socket);

    if (is_pipelined_full(this)) {
        bytes += PAUSED_UNREAD_BYTES;
    }
    if (request != NULL) {
        bytes += HeaderList_Bytes(request->headers) + request->method->len +
                 request->path->len + (size_t)request->body_received +
                 request->output->len;
    }
    return bytes;
}

/* A request of which nothing was passed on is refused, so that its caller may
 * try again elsewhere. */
static void
end_caller(Connection *this, const char *reason)
{
    HttpServer *server = this->server;
    InputState state = input_state(this);
    char fields[32];

    this->active_callbacks++;
    if (state == INPUT_HEAD || state == INPUT_BODY) {
        server->pressure.refused++;
        g_snprintf(fields, sizeof(fields), "retry-after: %d\r\n",
                   RETRY_AFTER_S);
        send_error_response(this, 503, reason, fields);
        close_gracefully(this, false);
    }
    else {
        server->pressure.closed++;
        close_connection(this);
    }
    this->active_callbacks--;
    release_connection(this);
    log_pressure(server);
}

static void
update_reading(Connection *this)
{
    bool is_full = is_pipelined_full(this);

    if (this->closed) {
        return;
    }
    if (is_full) {
        Socket_LimitReceiveBuffer(this->socket, PAUSED_BUFFER_BYTES);
    }
    Socket_Pause(this->socket, is_full || (this->request != NULL &&
                                           this->request->body_paused));
}

/* The connection ends after the response to the current request. */
static void
drop_pipelined(Connection *this)
{
    g_byte_array_free(this->pipelined, TRUE);
    this->pipelined = g_byte_array_new();
    this->request->close_after = true;
    update_reading(this);
}

/* Accounts what the connection holds. Drops its pipelined input, and ends others
 * or the connection itself, if there is no room for it. */
static void
update_share(Connection *this)
{
    size_t bytes;

    if (this->closed || this->share == NULL) {
        return;
    }
    InputShare_SetState(this->share, input_state(this));
    bytes = held_bytes(this);
    if (!InputShare_Hold(this->share, bytes) && this->pipelined->len > 0) {
        drop_pipelined(this);
        bytes = held_bytes(this);
    }
    while (!InputShare_Hold(this->share, bytes)) {
        InputShare *victim = InputShare_Victim(this->share, bytes);
        bool is_own = victim == this->share;

        if (victim == NULL) {
            InputShare_Force(this->share, bytes);
            return;
        }
        end_caller(InputShare_User(victim), "memory");
        if (is_own) {
            return;
        }
    }
}

/* Input that has arrived in time counts, also if the process was too busy to
 * read it. */
static void
read_late_input(Connection *this)
{
    bool idle = is_idle(this);

    Socket_ReadNow(this->socket);
    if (idle && !this->closed && !is_idle(this)) {
        this->server->idle_counts.with_input++;
    }
}

/* Idle time begins when the response has been received. A raised limit applies
 * to connections that are idle already. */
static void
extend_idle_time(Connection *this)
{
    Micros limit = idle_close_time(this->server);
    Micros left;

    if (!is_idle(this)) {
        return;
    }
    if (Socket_IsSending(this->socket) &&
        now(this) - this->responded_at < SEND_TIME_MAX_US) {
        this->idle_since = now(this);
    }
    left = this->idle_since + limit - now(this);
    if (limit == 0) {
        this->deadline = 0;
    }
    else if (left > 0) {
        set_deadline(this, left);
    }
}

static bool
is_expired(const Connection *this)
{
    return this->deadline > 0 && this->deadline <= now(this);
}

static void
expire(Connection *this)
{
    read_late_input(this);
    if (this->closed) {
        return;
    }
    extend_idle_time(this);
    if (!is_expired(this)) {
        return;
    }
    if (is_idle(this)) {
        this->server->idle_counts.closed++;
        close_idle(this);
        return;
    }
    reject_message(this, 408, "header-timeout");
}

static void
on_timer(void *user)
{
    Connection *this = user;
    Micros time = now(this);

    this->timer_due = 0;
    if (this->deadline == 0) {
        return;
    }
    if (this->deadline > time) {
        this->timer_due = this->deadline;
        LoopTimer_Start(this->timer, this->deadline - time);
        return;
    }
    this->active_callbacks++;
    expire(this);
    this->active_callbacks--;
    release_connection(this);
}

static void
reject_request(HttpRequest *this, int status, const char *reason)
{
    HeaderList *headers = HeaderList_Create();
    char *body =
        g_strdup_printf("{\"outcome\":\"not-run\",\"reason\":\"%s\"}", reason);

    HeaderList_Add(headers, STR("content-type"), STR("application/json"));
    HeaderList_Add(headers, STR("agatecrank-outcome"), STR("not-run"));
    HeaderList_Add(headers, STR("agatecrank-reason"), Str_FromC(reason));
    this->close_after = true;
    HttpRequest_Respond(this, status, headers, Str_FromC(body));
    HeaderList_Destroy(headers);
    g_free(body);
}

static bool
is_known_method(Str method)
{
    static const char *const known[] = {
        "GET", "POST", "PUT", "DELETE", "PATCH", "HEAD", "OPTIONS",
    };

    for (size_t i = 0; i < G_N_ELEMENTS(known); i++) {
        if (Str_Equal(method, Str_FromC(known[i]))) {
            return true;
        }
    }
    return false;
}

static HttpRequest *
create_request(Connection *connection, const HttpHead *head)
{
    HttpRequest *this = g_new0(HttpRequest, 1);
    HttpServer *server = connection->server;

    this->server = server;
    this->connection = connection;
    this->headers = HttpParser_TakeHeaders(connection->parser);
    this->method = Str_ToString(head->method);
    this->path = Str_ToString(head->target);
    this->content_length = head->length;
    this->body_bytes_max = server->limits.body_bytes;
    this->output = g_byte_array_new();
    this->is_head = Str_Equal(head->method, STR("HEAD"));
    this->close_after = server->keep_alive_disabled || !head->keep_alive;
    server->open_requests++;
    return this;
}

/* Rejects a request that cannot be served; returns false then. */
static bool
check_request(HttpRequest *this, const HttpHead *head)
{
    const HttpServer *server = this->server;

    if (!is_known_method(head->method)) {
        reject_request(this, 405, "method-not-allowed");
        return false;
    }
    if (head->framing == HTTP_FRAMING_CHUNKED && !server->accept_chunked) {
        reject_request(this, 411, "length-required");
        return false;
    }
    if (server->limits.body_bytes > 0 &&
        head->length > server->limits.body_bytes) {
        reject_request(this, 413, "body-too-large");
        return false;
    }
    if (server->budget != NULL &&
        !InputBudget_Fits(server->budget, head->length)) {
        reject_request(this, 413, "memory");
        return false;
    }
    return true;
}

static HttpBodyRule
on_head(void *user, const HttpHead *head)
{
    Connection *this = user;
    HttpServer *server = this->server;
    HttpRequest *request = create_request(this, head);

    this->request = request;
    this->deadline = 0;
    if (!check_request(request, head)) {
        return HTTP_BODY_FRAMED;
    }
    if (head->length != 0 &&
        Str_EqualIgnoreCase(HeaderList_Get(request->headers, STR("expect")),
                            STR("100-continue"))) {
        Socket_Write(this->socket, STR("HTTP/1.1 100 Continue\r\n\r\n"));
    }
    server->handlers.on_request(server->user, request);
    return HTTP_BODY_FRAMED;
}

static void
on_body(void *user, Str data)
{
    Connection *this = user;
    HttpRequest *request = this->request;
    HttpServer *server = this->server;

    if (request == NULL || request->finished || request->aborted) {
        return;
    }
    request->body_received += (int64_t)data.length;
    if (request->body_bytes_max > 0 &&
        request->body_received > request->body_bytes_max &&
        !request->started) {
        reject_request(request, 413, "body-too-large");
        return;
    }
    server->handlers.on_body(server->user, request, data);
}

static void
on_message_end(void *user)
{
    Connection *this = user;
    HttpRequest *request = this->request;

    if (request == NULL) {
        return;
    }
    request->body_complete = true;
    if (!request->finished && !request->aborted) {
        this->server->handlers.on_body_end(this->server->user, request);
    }
}

static const HttpParserHandlers parser_handlers = {
    on_head,
    on_body,
    on_message_end,
};

static bool
buffers_next_request(const Connection *this)
{
    return this->request != NULL && this->request->body_complete;
}

static void
parse(Connection *this, Str data)
{
    Error error;
    size_t used;
    int code;

    while (data.length > 0 && !this->closed) {
        if (buffers_next_request(this)) {
            if (!this->request->close_after) {
                g_byte_array_append(this->pipelined, (const guint8 *)data.data,
                                    (guint)data.length);
            }
            return;
        }
        code = HttpParser_Feed(this->parser, data, &used, &error);
        if (code < 0 && !this->closed) {
            reject_message(this, code == ERR_LIMIT ? 431 : 400,
                           code == ERR_LIMIT ? "head-too-large"
                                             : "ambiguous-framing");
        }
        if (code < 0) {
            return;
        }
        data.data += used;
        data.length -= used;
    }
}

static void
on_data(void *user, Str data)
{
    Connection *this = user;

    this->active_callbacks++;
    if (is_idle(this)) {
        begin_head(this);
    }
    parse(this, data);
    update_reading(this);
    update_share(this);
    this->active_callbacks--;
    release_connection(this);
}

/* Keeps the connection open only if the request was read completely: the rest
 * of its body would be parsed as the next request. */
static void
complete_request(Connection *this)
{
    HttpRequest *request = this->request;
    GByteArray *pipelined = this->pipelined;

    if (!request->body_complete || request->close_after) {
        close_gracefully(this, true);
        return;
    }
    this->request = NULL;
    destroy_request(request, true);
    begin_idle(this);
    this->pipelined = g_byte_array_new();
    if (pipelined->len > 0) {
        begin_head(this);
    }
    parse(this, Str_FromBytes(pipelined));
    g_byte_array_free(pipelined, TRUE);
    update_reading(this);
}

static void
write_output(Connection *this)
{
    HttpRequest *request = this->request;

    if (request->output->len > 0) {
        Socket_Write(this->socket, Str_FromBytes(request->output));
        g_byte_array_set_size(request->output, 0);
    }
    if (Socket_Buffered(this->socket) > 0) {
        return;
    }
    if (request->finished) {
        complete_request(this);
    }
    else if (request->started) {
        this->server->handlers.on_drained(this->server->user, request);
    }
}

static void
on_output_task(void *user)
{
    Connection *this = user;

    if (this->closed || this->request == NULL) {
        return;
    }
    this->active_callbacks++;
    if (this->request->aborted) {
        close_connection(this);
    }
    else {
        write_output(this);
    }
    update_share(this);
    this->active_callbacks--;
    release_connection(this);
}

static void
on_drained(void *user)
{
    Connection *this = user;

    if (this->request != NULL) {
        LoopTask_Schedule(this->task);
    }
}

static void
on_open(void *user)
{
}

static void
on_end(void *user, SocketEnd end)
{
    remove_connection(user, false);
}

static const SocketHandlers socket_handlers = {
    on_open,
    on_data,
    on_drained,
    on_end,
};

static void
accept_connection(HttpServer *server, int fd)
{
    Connection *this = g_new0(Connection, 1);
    SocketOptions options = {
        .tls = server->tls,
        .unsent_bytes_max = UNSENT_BYTES_MAX,
        .open_sockets = server->open_sockets,
    };

    this->server = server;
    this->pipelined = g_byte_array_new();
    this->parser =
        HttpParser_Create(HTTP_PARSER_REQUESTS, server->limits.head_bytes,
                          &parser_handlers, this);
    this->task = LoopTask_Create(server->loop, on_output_task, this);
    this->timer = LoopTimer_Create(server->loop, on_timer, this);
    this->socket =
        Socket_Accept(server->loop, fd, &options, &socket_handlers, this);
    g_hash_table_add(server->connections, this);
    begin_idle(this);
    if (server->budget != NULL) {
        this->share = InputBudget_Open(server->budget, this);
    }
}

static bool
is_at_connection_limit(const HttpServer *this)
{
    return this->connections_max > 0 &&
           *this->open_sockets >= this->connections_max;
}

/* Connections that are closing keep their descriptors for a moment. */
static void
pause_listener(HttpServer *this)
{
    LoopIo_SetEvents(this->listener, 0);
    LoopTimer_Start(this->accept_timer, ACCEPT_RETRY_US);
}

static void
on_accept_timer(void *user)
{
    HttpServer *this = user;

    LoopIo_SetEvents(this->listener, LOOP_IO_READ);
}

/* Idle connections whose next request has arrived meanwhile stay open. */
static void
end_least_useful(HttpServer *this)
{
    InputShare *share = InputBudget_LeastUseful(this->budget);

    while (share != NULL) {
        Connection *connection = InputShare_User(share);

        connection->active_callbacks++;
        if (is_idle(connection)) {
            read_late_input(connection);
        }
        if (!connection->closed && input_state(connection) != INPUT_COMPLETE) {
            this->pressure.closed++;
            close_connection(connection);
        }
        share =
            connection->closed ? NULL : InputBudget_LeastUseful(this->budget);
        connection->active_callbacks--;
        release_connection(connection);
    }
    log_pressure(this);
}

static void
accept_pending(HttpServer *this)
{
    for (int i = 0; i < ACCEPTS_PER_EVENT_MAX && !this->stopping; i++) {
        int fd;

        if (is_at_connection_limit(this) &&
            InputBudget_LeastUseful(this->budget) == NULL) {
            pause_listener(this);
            return;
        }
        fd =
            accept4(this->listen_fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (fd < 0) {
            if (errno != EAGAIN && errno != EINTR && errno != ECONNABORTED) {
                pause_listener(this);
            }
            return;
        }
        this->accepted++;
        if (is_at_connection_limit(this)) {
            end_least_useful(this);
        }
        accept_connection(this, fd);
    }
}

static void
close_listener(HttpServer *this)
{
    if (this->listener != NULL) {
        LoopIo_Destroy(this->listener);
        this->listener = NULL;
        LoopTimer_Destroy(this->accept_timer);
        this->accept_timer = NULL;
        close(this->listen_fd);
    }
}

static void
on_listener_event(void *user, unsigned events)
{
    HttpServer *this = user;

    if ((events & LOOP_IO_CLOSING) != 0) {
        close_listener(this);
        return;
    }
    accept_pending(this);
}

static int
open_socket(HttpServer *this, const HttpServerOptions *options)
{
    struct sockaddr_in local_address = {.sin_family = AF_INET,
                                        .sin_port = htons(options->port)};
    socklen_t length = sizeof(local_address);
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    int on = 1;

    if (fd < 0) {
        return -1;
    }
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    if (inet_pton(AF_INET, options->address, &local_address.sin_addr) != 1 ||
        bind(fd, (struct sockaddr *)&local_address, sizeof(local_address)) <
            0 ||
        listen(fd, LISTEN_BACKLOG) < 0 ||
        getsockname(fd, (struct sockaddr *)&local_address, &length) < 0) {
        close(fd);
        return -1;
    }
    this->port = ntohs(local_address.sin_port);
    return fd;
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
    this->listener =
        LoopIo_Create(this->loop, this->listen_fd, on_listener_event, this);
    LoopIo_SetEvents(this->listener, LOOP_IO_READ);
    this->accept_timer = LoopTimer_Create(this->loop, on_accept_timer, this);
    return 0;
}

static void
apply_limits(HttpServer *this, const HttpLimits *limits, Micros idle_timeout)
{
    this->limits = *limits;
    if (this->limits.head_bytes == 0) {
        this->limits.head_bytes = HEAD_BYTES_DEFAULT;
    }
    this->idle_timeout = idle_timeout;
}

void
HttpServer_SetLimits(HttpServer *this, const HttpLimits *limits,
                     Micros idle_timeout)
{
    if (this->configured && idle_timeout > 0 &&
        idle_timeout < this->idle_timeout) {
        this->previous_timeout = longest_idle_time(this);
        this->previous_until =
            Clock_Now(Loop_Clock(this->loop)) + LIMIT_CHANGE_US;
    }
    apply_limits(this, limits, idle_timeout);
    this->configured = true;
}

HttpServer *
HttpServer_Create(Loop *loop, const HttpServerOptions *options,
                  const HttpServerHandlers *handlers, void *user, Error *error)
{
    HttpServer *this = g_new0(HttpServer, 1);
    TlsFiles files = {options->certificate_file, options->key_file,
                      options->client_ca_file};

    this->loop = loop;
    this->handlers = *handlers;
    this->user = user;
    this->accept_chunked = options->accept_chunked;
    this->budget = options->budget;
    this->connections_max = options->connections_max;
    this->log = options->log;
    this->logged_at = -1;
    this->open_sockets = g_rc_box_new0(unsigned);
    this->connections = g_hash_table_new(g_direct_hash, g_direct_equal);
    apply_limits(this, &options->limits, options->keep_alive_s * MICROS_PER_S);
    if (options->certificate_file != NULL) {
        this->tls = TlsContext_Create(true, &files, error);
    }
    if ((options->certificate_file != NULL && this->tls == NULL) ||
        start_listening(this, options, error) < 0) {
        HttpServer_Destroy(this);
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
HttpServer_AcceptedCount(const HttpServer *this)
{
    return this->accepted;
}

const HttpServerIdleCounts *
HttpServer_IdleCounts(const HttpServer *this)
{
    return &this->idle_counts;
}

const HttpServerPressure *
HttpServer_Pressure(const HttpServer *this)
{
    return &this->pressure;
}

void
HttpServer_DisableKeepAlive(HttpServer *this)
{
    this->keep_alive_disabled = true;
}

static void
close_if_idle(Connection *this)
{
    this->active_callbacks++;
    if (is_idle(this)) {
        read_late_input(this);
    }
    if (!this->closed && is_idle(this)) {
        if (Socket_IsSending(this->socket)) {
            close_gracefully(this, false);
        }
        else {
            close_idle(this);
        }
    }
    this->active_callbacks--;
    release_connection(this);
}

void
HttpServer_CloseIdle(HttpServer *this)
{
    GList *all = g_hash_table_get_keys(this->connections);

    for (GList *item = all; item != NULL; item = item->next) {
        /* Input of another connection may have closed it. */
        if (g_hash_table_contains(this->connections, item->data)) {
            close_if_idle(item->data);
        }
    }
    g_list_free(all);
}

void
HttpServer_StopListening(HttpServer *this)
{
    if (this->stopping) {
        return;
    }
    /* Closing the listener would reset connections in the accept queue. */
    accept_pending(this);
    this->stopping = true;
    this->keep_alive_disabled = true;
    close_listener(this);
}

void
HttpServer_Destroy(HttpServer *this)
{
    GList *all;

    if (this == NULL) {
        return;
    }
    all = g_hash_table_get_keys(this->connections);
    for (GList *item = all; item != NULL; item = item->next) {
        close_connection(item->data);
    }
    g_list_free(all);
    close_listener(this);
    g_rc_box_release(this->open_sockets);
    TlsContext_Destroy(this->tls);
    g_hash_table_destroy(this->connections);
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
    return Str_FromString(this->method);
}

Str
HttpRequest_Path(const HttpRequest *this)
{
    return Str_FromString(this->path);
}

const HeaderList *
HttpRequest_Headers(const HttpRequest *this)
{
    return this->headers;
}

bool
HttpRequest_IsFrom(const HttpRequest *this, const char *address)
{
    return this->connection->socket != NULL &&
           Socket_IsFrom(this->connection->socket, address);
}

Str
HttpRequest_CertificateName(const HttpRequest *this)
{
    return this->connection->socket != NULL
               ? Socket_PeerCommonName(this->connection->socket)
               : STR("");
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
HttpRequest_CloseAfter(HttpRequest *this)
{
    this->close_after = true;
}

void
HttpRequest_PauseBody(HttpRequest *this, bool paused)
{
    this->body_paused = paused;
    update_reading(this->connection);
}

static void
append_output(HttpRequest *this, const char *data, size_t length)
{
    g_byte_array_append(this->output, (const guint8 *)data, (guint)length);
}

static void
append_field(HttpRequest *this, Str name, Str value)
{
    append_output(this, name.data, name.length);
    append_output(this, ": ", 2);
    if (value.length > 0) {
        append_output(this, value.data, value.length);
    }
    append_output(this, "\r\n", 2);
}

void
HttpRequest_StartResponse(HttpRequest *this, int status,
                          const HeaderList *headers, int64_t length)
{
    char line[64];
    Str name, value;

    this->started = true;
    this->chunked = length < 0 && !this->is_head;
    if ((!this->body_complete && this->content_length != 0) ||
        this->server->keep_alive_disabled) {
        this->close_after = true;
    }
    g_snprintf(line, sizeof(line), "HTTP/1.1 %d %s\r\n", status,
               http_status_str((enum http_status)status));
    append_output(this, line, strlen(line));
    for (size_t i = 0; i < HeaderList_Count(headers); i++) {
        HeaderList_At(headers, i, &name, &value);
        append_field(this, name, value);
    }
    if (length >= 0) {
        g_snprintf(line, sizeof(line), "%" G_GINT64_FORMAT, length);
        append_field(this, STR("content-length"), Str_FromC(line));
    }
    else if (this->chunked) {
        append_field(this, STR("transfer-encoding"), STR("chunked"));
    }
    if (this->close_after) {
        append_field(this, STR("connection"), STR("close"));
    }
    append_output(this, "\r\n", 2);
    LoopTask_Schedule(this->connection->task);
}

void
HttpRequest_Write(HttpRequest *this, Str data)
{
    char line[24];

    if (this->is_head || this->aborted || data.length == 0) {
        return;
    }
    if (this->chunked) {
        g_snprintf(line, sizeof(line), "%zx\r\n", data.length);
        append_output(this, line, strlen(line));
    }
    append_output(this, data.data, data.length);
    if (this->chunked) {
        append_output(this, "\r\n", 2);
    }
    LoopTask_Schedule(this->connection->task);
}

size_t
HttpRequest_Buffered(const HttpRequest *this)
{
    const Socket *socket = this->connection->socket;

    return this->output->len + (socket != NULL ? Socket_Buffered(socket) : 0);
}

void
HttpRequest_Finish(HttpRequest *this)
{
    if (this->chunked && !this->finished) {
        append_output(this, "0\r\n\r\n", 5);
    }
    this->finished = true;
    LoopTask_Schedule(this->connection->task);
}

void
HttpRequest_Abort(HttpRequest *this)
{
    this->aborted = true;
    LoopTask_Schedule(this->connection->task);
}

void
HttpRequest_Respond(HttpRequest *this, int status, const HeaderList *headers,
                    Str body)
{
    HttpRequest_StartResponse(this, status, headers, (int64_t)body.length);
    if (body.length > 0) {
        HttpRequest_Write(this, body);
    }
    HttpRequest_Finish(this);
}
