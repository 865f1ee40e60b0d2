#include "HttpClient.h"

#include <glib.h>
#include <string.h>

#include "Socket.h"

#define RESPONSE_HEAD_BYTES_MAX 65536
/* Interim responses and responses to earlier requests, before the response to
 * the current request. */
#define SKIPPED_BYTES_MAX (1024 * 1024)
/* Of @content, sent together with the header block. */
#define FIRST_PART_BYTES_MAX 65536
/* Parts of @content that are sent before other events are handled. */
#define PARTS_PER_EVENT_MAX 8
/* Bounds what the system keeps for a peer that does not read. */
#define UNSENT_BYTES_MAX (128 * 1024)
#define KEEP_ALIVE_MARGIN_US (500 * MICROS_PER_MS)
/* Values of match_value that a connection carries before it is closed. */
#define CARRIED_MAX 256
/* Idle connections that have carried the value of a call: the attempts at one
 * request leave a few. */
#define REPEATS_MAX 4

typedef struct Connection_ Connection;

typedef struct Peer_ {
    GQueue *idle; /* of Connection, most recently used first */
    unsigned connection_count;
} Peer;

struct HttpClient_ {
    Loop *loop;
    HttpClientOptions options;
    TlsContext *tls;
    GHashTable *peers;
    GHashTable *connections; /* set of Connection */
    uint64_t opened_count;
    uint64_t skipped_count;
    bool head_timeouts_disabled;
};

struct Connection_ {
    HttpClient *client;
    uint64_t number;
    Peer *peer;
    Socket *socket;
    HttpParser *parser;
    HttpCall *call;        /* NULL while idle */
    LoopTimer *head_timer; /* for the rest of a header block; NULL if unused */
    Micros idle_since;
    Micros keep_alive_timeout; /* from Keep-Alive of the peer; 0 if absent */
    size_t skipped_bytes;      /* received before the current response */
    int status;                /* of a response that has no end yet, or 0 */
    unsigned active_callbacks; /* callbacks on the call stack */
    bool connected;
    bool closed;
    bool skipping_response; /* it is interim or for an earlier request */
    bool response_complete; /* of the current request */
    bool in_body;           /* a header block was received, its body not */
    bool timing_head;       /* head_timer runs */
    bool keep_alive;
    bool used_without_match; /* by a call that expects its match_name absent */
    GArray *carried;         /* uint64_t hashes of match_value; may be NULL */
    HttpFraming framing;
};

struct HttpCall_ {
    HttpClient *client;
    Connection *connection; /* NULL without an open connection */
    HttpCallHandlers handlers;
    void *user;
    LoopTimer *deferred_failure;
    LoopTask *drained_task; /* runs on_drained */
    GString *match_name;
    GString *match_value;
    const BodyBuffer *content; /* NULL if the owner writes the body */
    int64_t content_length;
    int64_t content_written;
    Micros head_timeout; /* 0 for none */
    size_t response_bytes;
    size_t response_bytes_max;  /* 0 for no limit */
    uint64_t connection_number; /* 0 if none could be opened */
    Error error;
    bool is_head;
    bool maybe_sent;
};

static void
release_connection(Connection *this)
{
    if (!this->closed || this->active_callbacks > 0) {
        return;
    }
    HttpParser_Destroy(this->parser);
    LoopTimer_Destroy(this->head_timer);
    if (this->carried != NULL) {
        g_array_free(this->carried, TRUE);
    }
    g_free(this);
}

/* The socket has been released, or the calling function releases it. */
static void
remove_connection(Connection *this)
{
    this->closed = true;
    this->socket = NULL;
    if (this->head_timer != NULL) {
        LoopTimer_Stop(this->head_timer);
    }
    this->peer->connection_count--;
    g_queue_remove(this->peer->idle, this);
    g_hash_table_remove(this->client->connections, this);
    release_connection(this);
}

static void
close_connection(Connection *this)
{
    Socket *socket = this->socket;

    if (this->closed) {
        return;
    }
    remove_connection(this);
    Socket_Close(socket);
}

static void
destroy_call(HttpCall *call)
{
    LoopTimer_Destroy(call->deferred_failure);
    LoopTask_Destroy(call->drained_task);
    g_string_free(call->match_name, TRUE);
    g_string_free(call->match_value, TRUE);
    g_free(call);
}

static void
detach_call(HttpCall *call)
{
    if (call->connection != NULL) {
        call->connection->call = NULL;
        call->connection = NULL;
    }
}

static void
fail_call(HttpCall *call, HttpCallFailure failure)
{
    detach_call(call);
    call->handlers.on_failed(call->user, call, failure, call->maybe_sent,
                             &call->error);
    destroy_call(call);
}

static void
on_open(void *user)
{
    Connection *this = user;

    this->connected = true;
    if (this->call != NULL) {
        this->call->maybe_sent = true;
    }
}

/* A response without the field can be a second copy only if a request on this
 * connection had none. Else it is one that the peer has not marked. */
static bool
belongs_to_other_request(const Connection *this, const HttpHead *head)
{
    Str name = Str_FromString(this->call->match_name);
    Str expected = Str_FromString(this->call->match_value);

    if (name.length == 0 ||
        Str_Equal(HeaderList_Get(head->headers, name), expected)) {
        return false;
    }
    return HeaderList_Has(head->headers, name) || this->used_without_match;
}

/* Returns the idle timeout that the peer announces in Keep-Alive (RFC 2068,
 * section 19.7.1.1), less half a second, so that no request is sent while the
 * peer closes the connection. */
static Micros
parse_keep_alive(const HeaderList *headers)
{
    Str rest = HeaderList_Get(headers, STR("keep-alive"));
    Str item;
    uint64_t seconds;

    while (Str_Split(&rest, ',', &item)) {
        item = Str_Trim(item);
        if (!Str_StartsWith(item, STR("timeout="))) {
            continue;
        }
        item = (Str){item.data + 8, item.length - 8};
        if (Str_ParseU64(item, &seconds) == 0 && seconds <= 3600) {
            return MAX((Micros)seconds * MICROS_PER_S - KEEP_ALIVE_MARGIN_US,
                       1);
        }
    }
    return 0;
}

static HttpBodyRule
on_head(void *user, const HttpHead *head)
{
    Connection *this = user;
    HttpCall *call = this->call;
    bool other;

    this->in_body = true;
    this->status = head->status;
    this->timing_head = false;
    this->keep_alive = head->keep_alive;
    this->framing = head->framing;
    this->keep_alive_timeout = parse_keep_alive(head->headers);
    if (call == NULL) {
        return HTTP_BODY_FRAMED;
    }
    other = belongs_to_other_request(this, head) &&
            head->framing != HTTP_FRAMING_CLOSE;
    this->client->skipped_count += other;
    /* Interim (1xx) responses precede the final response. */
    this->skipping_response =
        other || (head->status >= 100 && head->status < 200);
    if (!this->skipping_response) {
        call->handlers.on_headers(call->user, call, head->status,
                                  head->headers);
    }
    return call->is_head ? HTTP_BODY_NONE : HTTP_BODY_FRAMED;
}

static void
on_body(void *user, Str data)
{
    Connection *this = user;

    if (this->call != NULL && !this->skipping_response) {
        this->call->response_bytes += data.length;
        this->call->handlers.on_data(this->call->user, this->call, data);
    }
}

static void
on_message_end(void *user)
{
    Connection *this = user;

    this->in_body = false;
    this->status = 0;
    this->response_complete = !this->skipping_response;
}

static const HttpParserHandlers parser_handlers = {
    on_head,
    on_body,
    on_message_end,
};

static bool
has_carried(const Connection *this, Str match_value)
{
    uint64_t hash = Str_Hash(match_value);

    for (guint i = 0; this->carried != NULL && i < this->carried->len; i++) {
        if (g_array_index(this->carried, uint64_t, i) == hash) {
            return true;
        }
    }
    return false;
}

static void
add_carried(Connection *this, const HttpCallSpec *spec)
{
    uint64_t hash = Str_Hash(spec->match_value);

    if (spec->match_value.length == 0) {
        this->used_without_match |= spec->match_name.length > 0;
        return;
    }
    if (this->carried == NULL) {
        this->carried = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    }
    g_array_append_val(this->carried, hash);
}

static bool
may_carry_more(const Connection *this)
{
    return this->carried == NULL || this->carried->len < CARRIED_MAX;
}

/* @excess_data: the peer sent bytes beyond the response. */
static void
complete_call(Connection *this, bool excess_data)
{
    HttpCall *call = this->call;
    bool reusable = !excess_data && this->keep_alive &&
                    this->framing != HTTP_FRAMING_CLOSE &&
                    call->content_written >= call->content_length &&
                    Socket_Buffered(this->socket) == 0 && may_carry_more(this);

    detach_call(call);
    this->response_complete = false;
    if (reusable) {
        /* The owner may have paused reading in the last on_data. */
        Socket_Pause(this->socket, false);
        this->idle_since = Clock_Now(Loop_Clock(this->client->loop));
        g_queue_push_head(this->peer->idle, this);
    }
    else {
        close_connection(this);
    }
    call->handlers.on_complete(call->user, call);
    destroy_call(call);
}

/* The peer is known since the call began. */
static void
set_call_error(HttpCall *call, int code, const char *step, const char *text)
{
    call->error.code = code;
    call->error.step = step;
    g_strlcpy(call->error.text, text, sizeof(call->error.text));
}

/* The call of the connection has an error that tells why. */
static void
log_rejection(const Connection *this)
{
    EventLog *log = Loop_Log(this->client->loop);
    const HttpCall *call = this->call;

    if (EventLog_BeginRoutine(log, "response-rejected")) {
        EventLog_CStr(log, "peer", call->error.peer);
        EventLog_Int(log, "status", this->status);
        EventLog_Int(log, "body_bytes", (int64_t)call->response_bytes);
        EventLog_CStr(log, "reason", call->error.text);
        EventLog_End(log);
    }
}

/* Ends the call because its response is malformed. */
static void
reject_response(Connection *this, const Error *error)
{
    HttpCall *call = this->call;

    if (call != NULL) {
        set_call_error(call, error->code, "upstream-answer", error->text);
        log_rejection(this);
    }
    close_connection(this);
    if (call != NULL) {
        fail_call(call, CALL_FAILED_FRAMING);
    }
}

static int
count_skipped(Connection *this, size_t bytes, Error *error)
{
    this->skipped_bytes += bytes;
    if (this->skipped_bytes > SKIPPED_BYTES_MAX) {
        return Error_Set(error, ERR_LIMIT, "read-response", STR(""),
                         "more than %d bytes precede the response",
                         SKIPPED_BYTES_MAX);
    }
    return 0;
}

static int
check_response_length(const HttpCall *call, Error *error)
{
    if (call == NULL || call->response_bytes_max == 0 ||
        call->response_bytes <= call->response_bytes_max) {
        return 0;
    }
    return Error_Set(error, ERR_LIMIT, "read-response", STR(""),
                     "the response body is longer than %zu bytes",
                     call->response_bytes_max);
}

static void
parse(Connection *this, Str data)
{
    Error error;
    size_t used;

    while (data.length > 0 && !this->closed) {
        if (this->call == NULL) {
            /* The peer sent data without a request. */
            close_connection(this);
            return;
        }
        if (HttpParser_Feed(this->parser, data, &used, &error) < 0) {
            reject_response(this, &error);
            return;
        }
        data.data += used;
        data.length -= used;
        if (this->skipping_response && count_skipped(this, used, &error) < 0) {
            reject_response(this, &error);
            return;
        }
        if (check_response_length(this->call, &error) < 0) {
            reject_response(this, &error);
            return;
        }
        if (this->response_complete && this->call != NULL) {
            complete_call(this, data.length > 0);
            return;
        }
    }
}

static void
on_head_timeout(void *user)
{
    Connection *this = user;
    Error error;

    if (this->client->head_timeouts_disabled) {
        return;
    }
    Error_Set(&error, ERR_TIMEOUT, "read-head", STR(""),
              "the header block was not complete in time");
    this->active_callbacks++;
    reject_response(this, &error);
    this->active_callbacks--;
    release_connection(this);
}

static void
update_head_timer(Connection *this)
{
    bool in_head = !this->closed && this->call != NULL &&
                   this->call->head_timeout > 0 && !this->in_body &&
                   !HttpParser_IsIdle(this->parser);

    if (in_head && !this->timing_head) {
        if (this->head_timer == NULL) {
            this->head_timer =
                LoopTimer_Create(this->client->loop, on_head_timeout, this);
        }
        LoopTimer_Start(this->head_timer, this->call->head_timeout);
    }
    else if (!in_head && !this->closed && this->head_timer != NULL) {
        LoopTimer_Stop(this->head_timer);
    }
    this->timing_head = in_head;
}

static void
on_data(void *user, Str data)
{
    Connection *this = user;

    this->active_callbacks++;
    parse(this, data);
    update_head_timer(this);
    this->active_callbacks--;
    release_connection(this);
}

static void
request_drained(HttpCall *call)
{
    if (call->content != NULL &&
        call->content_written < call->content_length) {
        Socket_RequestDrained(call->connection->socket);
    }
}

static void
write_content(HttpCall *call)
{
    for (int i = 0; i < PARTS_PER_EVENT_MAX; i++) {
        Str part =
            BodyBuffer_From(call->content, (size_t)call->content_written);
        size_t sent = Socket_WriteSome(call->connection->socket, part);

        call->content_written += (int64_t)sent;
        if (sent < part.length) {
            break;
        }
    }
    request_drained(call);
}

static void
notify_drained(void *user)
{
    HttpCall *call = user;

    if (call->content_written >= call->content_length) {
        return;
    }
    if (call->content != NULL) {
        write_content(call);
    }
    else {
        call->handlers.on_drained(call->user, call);
    }
}

static void
on_drained(void *user)
{
    Connection *this = user;

    if (this->call != NULL) {
        notify_drained(this->call);
    }
}

static const char *
describe_end(SocketEnd end, bool in_response)
{
    switch (end) {
    case SOCKET_END_NOT_ESTABLISHED:
        return "the connection could not be established";
    case SOCKET_END_EOF:
        return in_response ? "the peer closed the connection inside the "
                             "response"
                           : "the peer closed the connection";
    case SOCKET_END_LOOP_CLOSED:
        return "the process is shutting down";
    case SOCKET_END_ERROR:
        break;
    }
    return in_response
               ? "the connection was reset, timed out or failed in TLS "
                 "inside the response"
               : "the connection was reset, timed out or failed in TLS";
}

static void
on_end(void *user, SocketEnd end)
{
    Connection *this = user;
    HttpCall *call = this->call;
    bool in_response = !HttpParser_IsIdle(this->parser);
    Error ignored;

    this->active_callbacks++;
    remove_connection(this);
    if (call != NULL && end == SOCKET_END_EOF &&
        HttpParser_Finish(this->parser, &ignored) == 0 &&
        this->response_complete) {
        detach_call(call);
        call->handlers.on_complete(call->user, call);
        destroy_call(call);
    }
    else if (this->call != NULL) {
        set_call_error(call, ERR_IO,
                       call->maybe_sent ? "upstream-answer"
                                        : "upstream-connect",
                       describe_end(end, in_response));
        if (in_response && end != SOCKET_END_LOOP_CLOSED) {
            log_rejection(this);
        }
        fail_call(call, call->maybe_sent ? CALL_FAILED_CONNECTION_CLOSED
                                         : CALL_FAILED_CONNECT);
    }
    this->active_callbacks--;
    release_connection(this);
}

static const SocketHandlers socket_handlers = {
    on_open,
    on_data,
    on_drained,
    on_end,
};

static void
destroy_peer(gpointer data)
{
    Peer *peer = data;

    g_queue_free(peer->idle);
    g_free(peer);
}

HttpClient *
HttpClient_Create(Loop *loop, const HttpClientOptions *options)
{
    HttpClient *this = g_new0(HttpClient, 1);

    this->loop = loop;
    this->options = *options;
    this->peers =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, destroy_peer);
    this->connections = g_hash_table_new(g_direct_hash, g_direct_equal);
    return this;
}

void
HttpClient_Destroy(HttpClient *this)
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
    TlsContext_Destroy(this->tls);
    g_hash_table_destroy(this->connections);
    g_hash_table_destroy(this->peers);
    g_free(this);
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
        peer->idle = g_queue_new();
        g_hash_table_insert(this->peers, g_strdup(key), peer);
    }
    return peer;
}

static bool
is_idle_expired(const HttpClient *this, const Connection *connection,
                Micros idle_max)
{
    Micros idle = Clock_Now(Loop_Clock(this->loop)) - connection->idle_since;

    return (this->options.idle_timeout_s > 0 &&
            idle > this->options.idle_timeout_s * MICROS_PER_S) ||
           (connection->keep_alive_timeout > 0 &&
            idle > connection->keep_alive_timeout) ||
           (idle_max > 0 && idle > idle_max);
}

/* Returns whether the connection can still be used: its end, or bytes without a
 * request, may wait to be read. */
static bool
is_open_and_quiet(Connection *this)
{
    bool open;

    this->active_callbacks++;
    Socket_ReadNow(this->socket);
    open = !this->closed;
    this->active_callbacks--;
    release_connection(this);
    return open;
}

/* Returns NULL if a new connection has to be opened. Callers that repeat a
 * match value must not take up the connections of the peer. */
static Connection *
take_idle_connection(HttpClient *this, Peer *peer, const HttpCallSpec *spec)
{
    Connection *repeated = NULL;
    unsigned repeats = 0;
    GList *next;

    for (GList *item = peer->idle->head; item != NULL; item = next) {
        Connection *connection = item->data;

        next = item->next;
        if (spec->new_connection ||
            is_idle_expired(this, connection, spec->idle_max)) {
            break;
        }
        if (has_carried(connection, spec->match_value)) {
            repeated = connection;
            repeats++;
        }
        else if (is_open_and_quiet(connection)) {
            g_queue_remove(peer->idle, connection);
            return connection;
        }
    }
    if (repeats >= REPEATS_MAX) {
        close_connection(repeated);
    }
    return NULL;
}

/* Closes an idle connection if the limit is reached and the call cannot use
 * it. Returns false if all connections are busy. */
static bool
ensure_capacity(HttpClient *this, Peer *peer)
{
    if (peer->connection_count >= this->options.max_connections &&
        peer->idle->length > 0) {
        close_connection(g_queue_peek_tail(peer->idle));
    }
    return peer->connection_count < this->options.max_connections;
}

static TlsContext *
get_tls_context(HttpClient *this, Error *error)
{
    TlsFiles files = {this->options.certificate_file, this->options.key_file,
                      this->options.ca_file};

    if (this->options.ca_file != NULL && this->tls == NULL) {
        this->tls = TlsContext_Create(false, &files, error);
    }
    return this->tls;
}

static Connection *
open_connection(HttpClient *this, Peer *peer, const HttpCallSpec *spec,
                Error *error)
{
    Connection *connection = g_new0(Connection, 1);
    SocketOptions options = {
        .tls = get_tls_context(this, error),
        .user_timeout_ms = this->options.user_timeout_ms,
        .keep_alive_s = this->options.keep_alive_s,
        .connect_timeout = this->options.connect_timeout,
        .unsent_bytes_max = UNSENT_BYTES_MAX,
        .reads_after_failed_write = true,
    };

    connection->client = this;
    connection->peer = peer;
    if (this->options.ca_file == NULL || options.tls != NULL) {
        connection->socket =
            Socket_Connect(this->loop, spec->address, spec->port, &options,
                           &socket_handlers, connection, error);
    }
    if (connection->socket == NULL) {
        g_free(connection);
        return NULL;
    }
    connection->parser =
        HttpParser_Create(HTTP_PARSER_RESPONSES, RESPONSE_HEAD_BYTES_MAX,
                          &parser_handlers, connection);
    g_hash_table_add(this->connections, connection);
    peer->connection_count++;
    connection->number = ++this->opened_count;
    return connection;
}

static HttpCall *
create_call(HttpClient *this, const HttpCallSpec *spec,
            const HttpCallHandlers *handlers, void *user)
{
    HttpCall *call = g_new0(HttpCall, 1);

    call->client = this;
    call->handlers = *handlers;
    call->user = user;
    call->content = spec->content;
    call->content_length = spec->content_length;
    call->head_timeout = spec->head_timeout;
    call->response_bytes_max = spec->response_bytes_max;
    call->is_head = Str_Equal(spec->method, STR("HEAD"));
    call->match_name = Str_ToString(spec->match_name);
    call->match_value = Str_ToString(spec->match_value);
    g_snprintf(call->error.peer, sizeof(call->error.peer), "%s:%u",
               spec->address, spec->port);
    return call;
}

static bool
method_has_body(Str method)
{
    return Str_Equal(method, STR("POST")) || Str_Equal(method, STR("PUT")) ||
           Str_Equal(method, STR("PATCH"));
}

static void
append_header_fields(GString *out, const HttpCallSpec *spec)
{
    Str name, value;

    if (spec->headers == NULL || !HeaderList_Has(spec->headers, STR("host"))) {
        g_string_append_printf(out, "host: %s\r\n", spec->address);
    }
    for (size_t i = 0;
         spec->headers != NULL && i < HeaderList_Count(spec->headers); i++) {
        HeaderList_At(spec->headers, i, &name, &value);
        Str_AppendTo(name, out);
        Str_AppendTo(STR(": "), out);
        Str_AppendTo(value, out);
        Str_AppendTo(STR("\r\n"), out);
    }
    if (spec->content_length > 0 || method_has_body(spec->method)) {
        g_string_append_printf(out, "content-length: %" G_GINT64_FORMAT "\r\n",
                               spec->content_length);
    }
}

static void
append_content(HttpCall *call, GString *out)
{
    while (call->content_written < FIRST_PART_BYTES_MAX) {
        Str part =
            BodyBuffer_From(call->content, (size_t)call->content_written);
        size_t room = (size_t)(FIRST_PART_BYTES_MAX - call->content_written);

        if (part.length == 0) {
            return;
        }
        part.length = MIN(part.length, room);
        Str_AppendTo(part, out);
        call->content_written += (int64_t)part.length;
    }
}

static void
send_head(HttpCall *call, const HttpCallSpec *spec)
{
    GString *out = g_string_sized_new(512 + spec->body.length);

    Str_AppendTo(spec->method, out);
    Str_AppendTo(STR(" "), out);
    Str_AppendTo(spec->path, out);
    Str_AppendTo(STR(" HTTP/1.1\r\n"), out);
    append_header_fields(out, spec);
    Str_AppendTo(STR("\r\n"), out);
    Str_AppendTo(spec->body, out);
    call->content_written = (int64_t)spec->body.length;
    append_content(call, out);
    Socket_Write(call->connection->socket, Str_FromString(out));
    g_string_free(out, TRUE);
}

static void
deliver_deferred_failure(void *user)
{
    fail_call(user, CALL_FAILED_CONNECT);
}

HttpCall *
HttpClient_Start(HttpClient *this, const HttpCallSpec *spec,
                 const HttpCallHandlers *handlers, void *user, Error *error)
{
    Peer *peer = find_peer(this, spec->address, spec->port, true);
    Connection *connection = NULL;
    HttpCall *call;

    if (!Loop_IsClosing(this->loop)) {
        connection = take_idle_connection(this, peer, spec);
    }
    if (connection == NULL &&
        (Loop_IsClosing(this->loop) || !ensure_capacity(this, peer))) {
        Error_Set(error, ERR_LIMIT, "upstream-connect",
                  Str_FromC(spec->address),
                  "all %u connections to port %u are busy",
                  this->options.max_connections, spec->port);
        return NULL;
    }
    call = create_call(this, spec, handlers, user);
    if (connection == NULL) {
        connection = open_connection(this, peer, spec, &call->error);
    }
    if (connection == NULL) {
        call->deferred_failure =
            LoopTimer_Create(this->loop, deliver_deferred_failure, call);
        LoopTimer_Start(call->deferred_failure, 1);
        return call;
    }
    call->connection = connection;
    call->connection_number = connection->number;
    connection->call = call;
    connection->skipped_bytes = 0;
    add_carried(connection, spec);
    call->maybe_sent = connection->connected;
    send_head(call, spec);
    request_drained(call);
    return call;
}

void
HttpClient_CloseIdle(HttpClient *this, const char *address, uint16_t port)
{
    Peer *peer = find_peer(this, address, port, false);

    while (peer != NULL && peer->idle->length > 0) {
        close_connection(g_queue_peek_head(peer->idle));
    }
}

uint64_t
HttpClient_OpenedCount(const HttpClient *this)
{
    return this->opened_count;
}

void
HttpClient_DisableHeadTimeouts(HttpClient *this)
{
    this->head_timeouts_disabled = true;
}

uint64_t
HttpClient_SkippedCount(const HttpClient *this)
{
    return this->skipped_count;
}

/* Schedules on_drained after a write that the socket sent immediately: it
 * reports only output that had to wait in its buffer. */
static void
schedule_drained(HttpCall *this)
{
    if (!this->connection->connected ||
        Socket_Buffered(this->connection->socket) > 0 ||
        this->content_written >= this->content_length) {
        return;
    }
    if (this->drained_task == NULL) {
        this->drained_task =
            LoopTask_Create(this->client->loop, notify_drained, this);
    }
    LoopTask_Schedule(this->drained_task);
}

uint64_t
HttpCall_ConnectionNumber(const HttpCall *this)
{
    return this->connection_number;
}

void
HttpCall_WriteBody(HttpCall *this, Str data)
{
    this->content_written += (int64_t)data.length;
    if (this->connection != NULL) {
        Socket_Write(this->connection->socket, data);
        schedule_drained(this);
    }
}

size_t
HttpCall_Buffered(const HttpCall *this)
{
    return this->connection != NULL ? Socket_Buffered(this->connection->socket)
                                    : 0;
}

void
HttpCall_PauseResponse(HttpCall *this, bool paused)
{
    if (this->connection != NULL) {
        Socket_Pause(this->connection->socket, paused);
    }
}

bool
HttpCall_MaybeSent(const HttpCall *this)
{
    return this->maybe_sent;
}

void
HttpCall_Cancel(HttpCall *this)
{
    Connection *connection = this->connection;

    detach_call(this);
    if (connection != NULL) {
        close_connection(connection);
    }
    destroy_call(this);
}
