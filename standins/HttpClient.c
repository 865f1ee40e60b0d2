#include "HttpClient.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define PIECE_BYTES (64 * 1024)
#define HEAD_MAX_BYTES 4096

typedef struct ClientConnection_ ClientConnection;

typedef struct Target_ {
    char *name;
    char *address;
    int port;
    GQueue idle; /* of ClientConnection, last used first */
} Target;

struct HttpClient_ {
    HttpLoop *loop;
    struct lws_vhost *vhost;
    struct lws_protocols protocols[2];
    GPtrArray *targets;
    ClientCounters counters;
    ClientConnection *connecting; /* in lws_client_connect_via_info() */
    int tls;
    bool reuse;
};

struct ClientConnection_ {
    HttpClient *client;
    Target *target;
    struct lws *wsi;
    ClientCall *call;    /* NULL while idle */
    GString *input;      /* bytes received and not parsed yet */
    HttpMessage message; /* head of the response */
    uint64_t body_sent;
    uint64_t body_received;
    uint64_t responses; /* completed on this connection */
    bool connected;
    bool head_sent;
    bool has_head;
    bool response_started; /* a byte of the response was received */
    bool body_until_close; /* the end of the connection ends the body */
    bool close_requested;  /* by "connection: close" */
    bool aborted;
};

const char *
ClientResult_Name(ClientResult result)
{
    switch (result) {
    case CLIENT_DONE:
        return "done";
    case CLIENT_CONNECT_FAILED:
        return "connect-failed";
    case CLIENT_CLOSED:
        return "closed";
    case CLIENT_CLOSED_REUSED:
        return "closed-reused";
    case CLIENT_TRUNCATED:
        return "short";
    case CLIENT_MALFORMED:
        return "malformed";
    }
    return "unknown";
}

static void
abort_connection(ClientConnection *this)
{
    if (this->aborted) {
        return;
    }
    this->aborted = true;
    g_queue_remove(&this->target->idle, this);
    if (this->wsi != NULL) {
        lws_set_timeout(this->wsi, PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_ASYNC);
    }
}

static void
end_call(ClientConnection *this, ClientResult result)
{
    ClientCall *call = this->call;

    this->call = NULL;
    if (call != NULL) {
        call->connection = NULL;
        call->on_done(call->user, result);
    }
}

static ClientResult
close_result(const ClientConnection *this)
{
    if (this->body_until_close && this->has_head) {
        return CLIENT_DONE;
    }
    if (this->response_started) {
        return CLIENT_TRUNCATED;
    }
    if (!this->connected) {
        return CLIENT_CONNECT_FAILED;
    }
    return this->responses > 0 ? CLIENT_CLOSED_REUSED : CLIENT_CLOSED;
}

static void
destroy_connection(ClientConnection *this)
{
    if (this == NULL) {
        return;
    }
    if (this->wsi != NULL) {
        lws_set_opaque_user_data(this->wsi, NULL);
    }
    if (this->client->connecting == this) {
        this->client->connecting = NULL;
    }
    g_queue_remove(&this->target->idle, this);
    end_call(this, close_result(this));
    g_string_free(this->input, TRUE);
    g_free(this);
}

static int
write_request(ClientConnection *this)
{
    static unsigned char buffer[LWS_PRE + HEAD_MAX_BYTES + PIECE_BYTES];
    ClientCall *call = this->call;
    size_t length = 0;
    size_t piece;

    if (call == NULL ||
        (this->head_sent && this->body_sent == call->body_length)) {
        return 0;
    }
    if (!this->head_sent) {
        length = MIN(call->head.length, HEAD_MAX_BYTES + PIECE_BYTES);
        memcpy(buffer + LWS_PRE, call->head.data, length);
        this->head_sent = true;
    }
    piece = MIN(sizeof(buffer) - LWS_PRE - length,
                call->body_length - this->body_sent);
    if (piece > 0) {
        call->fill(call->user, this->body_sent,
                   (char *)buffer + LWS_PRE + length, piece);
    }
    this->body_sent += piece;
    if (this->body_sent < call->body_length) {
        lws_callback_on_writable(this->wsi);
    }
    return lws_write(this->wsi, buffer + LWS_PRE, length + piece,
                     LWS_WRITE_RAW);
}

static void
finish_response(ClientConnection *this)
{
    bool keep = this->client->reuse && !this->close_requested &&
                this->body_sent == this->call->body_length;

    this->responses++;
    if (this->input->len > 0) {
        this->client->counters.excess++;
        keep = false;
    }
    if (keep) {
        g_queue_push_head(&this->target->idle, this);
    }
    else {
        abort_connection(this);
    }
    end_call(this, CLIENT_DONE);
}

/* Skips interim (1xx) responses. Return: true if the final head was read. */
static bool
read_response_head(ClientConnection *this)
{
    Str bytes = Str_FromString(this->input);
    int code = HttpMessage_Parse(&this->message, bytes);
    uint64_t status = 0;

    if (code == 0) {
        return false;
    }
    if (code < 0 || this->message.chunked ||
        Str_ParseU64(this->message.start[1], &status) < 0) {
        abort_connection(this);
        end_call(this, CLIENT_MALFORMED);
        return false;
    }
    if (status < 200) {
        g_string_erase(this->input, 0, (gssize)this->message.bytes);
        return this->input->len > 0 && read_response_head(this);
    }
    this->has_head = true;
    this->close_requested = Str_EqualIgnoreCase(
        HttpMessage_Header(&this->message, STR("connection")), STR("close"));
    this->body_until_close = !this->message.has_length && status != 204 &&
                             status != 304 && !this->call->no_body;
    this->call->on_head(this->call->user, (int)status, &this->message);
    return true;
}

static int
read_body(ClientConnection *this, Str bytes)
{
    uint64_t length = this->call->no_body ? 0 : this->message.length;
    size_t piece = bytes.length;

    if (!this->body_until_close) {
        piece = MIN(piece, length - this->body_received);
    }
    if (piece > 0) {
        this->call->on_body(this->call->user, this->body_received,
                            (Str){bytes.data, piece});
        this->body_received += piece;
    }
    g_string_truncate(this->input, 0);
    g_string_append_len(this->input, bytes.data + piece,
                        (gssize)(bytes.length - piece));
    if (!this->body_until_close && this->body_received == length) {
        finish_response(this);
    }
    return this->aborted ? -1 : 0;
}

static int
on_bytes(ClientConnection *this, Str bytes)
{
    g_autofree char *rest = NULL;
    size_t rest_length;

    if (this->aborted) {
        return -1;
    }
    if (this->call == NULL) {
        this->client->counters.excess++;
        abort_connection(this);
        return -1;
    }
    this->response_started = true;
    if (this->has_head) {
        return read_body(this, bytes);
    }
    Str_AppendTo(bytes, this->input);
    if (!read_response_head(this)) {
        return this->aborted ? -1 : 0;
    }
    /* read_body() changes the input, so it gets a copy of the rest. */
    rest_length = this->input->len - this->message.bytes;
    rest = g_memdup2(this->input->str + this->message.bytes, rest_length);
    return read_body(this, (Str){rest, rest_length});
}

/* A plain connection is connected when it becomes writeable without error. */
static bool
check_connected(ClientConnection *this)
{
    int error = 0;
    socklen_t length = sizeof(error);

    if (!this->connected) {
        getsockopt(lws_get_socket_fd(this->wsi), SOL_SOCKET, SO_ERROR, &error,
                   &length);
        this->connected = error == 0;
    }
    return this->connected;
}

static int
on_lws_event(struct lws *wsi, enum lws_callback_reasons reason, void *session,
             void *in, size_t length)
{
    ClientConnection *connection;

    switch (reason) {
    case LWS_CALLBACK_RAW_CONNECTED:
        connection = lws_get_opaque_user_data(wsi);
        if (connection != NULL) {
            connection->wsi = wsi;
            connection->connected = true;
            lws_callback_on_writable(wsi);
        }
        return connection == NULL || connection->aborted ? -1 : 0;
    case LWS_CALLBACK_RAW_RX:
        connection = lws_get_opaque_user_data(wsi);
        return connection == NULL ? -1
                                  : on_bytes(connection, (Str){in, length});
    case LWS_CALLBACK_RAW_WRITEABLE:
        connection = lws_get_opaque_user_data(wsi);
        if (connection == NULL || connection->aborted) {
            return -1;
        }
        return check_connected(connection) && write_request(connection) >= 0
                   ? 0
                   : -1;
    case LWS_CALLBACK_CLIENT_CONNECTION_ERROR:
    case LWS_CALLBACK_RAW_CLOSE:
    case LWS_CALLBACK_WSI_DESTROY:
        connection = lws_get_opaque_user_data(wsi);
        if (connection != NULL) {
            connection->wsi = wsi;
        }
        destroy_connection(connection);
        return 0;
    default:
        return 0;
    }
}

/*
 * Connects without lws_client_connect_via_info(), which keeps its connect
 * timeouts in a sorted list: with thousands of connections each new one takes
 * milliseconds, and a caller that was stalled once never catches up.
 */
static struct lws *
connect_plain(HttpClient *this, const Target *target)
{
    static const int on = 1;
    struct sockaddr_in address = {.sin_family = AF_INET};
    lws_sock_file_fd_type fd;

    address.sin_port = htons((uint16_t)target->port);
    if (inet_pton(AF_INET, target->address, &address.sin_addr) != 1) {
        return NULL;
    }
    fd.sockfd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd.sockfd < 0) {
        return NULL;
    }
    setsockopt(fd.sockfd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    if (connect(fd.sockfd, (struct sockaddr *)&address, sizeof(address)) < 0 &&
        errno != EINPROGRESS) {
        close(fd.sockfd);
        return NULL;
    }
    return lws_adopt_descriptor_vhost(this->vhost, LWS_ADOPT_SOCKET, fd,
                                      this->protocols[0].name, NULL);
}

static void
open_plain(ClientConnection *connection)
{
    connection->wsi = connect_plain(connection->client, connection->target);
    if (connection->wsi == NULL) {
        destroy_connection(connection);
        return;
    }
    lws_set_opaque_user_data(connection->wsi, connection);
    lws_callback_on_writable(connection->wsi);
}

/* on_lws_event() may free the connection before lws returns; that clears
 * @connecting. */
static void
open_tls(ClientConnection *connection)
{
    HttpClient *this = connection->client;
    struct lws_client_connect_info info;
    struct lws *wsi;

    memset(&info, 0, sizeof(info));
    info.context = this->loop->context;
    info.vhost = this->vhost;
    info.address = connection->target->address;
    info.host = info.address;
    info.port = connection->target->port;
    info.path = "";
    info.method = "RAW";
    info.ssl_connection = this->tls;
    info.local_protocol_name = this->protocols[0].name;
    info.opaque_user_data = connection;
    this->connecting = connection;
    wsi = lws_client_connect_via_info(&info);
    if (this->connecting == connection) {
        this->connecting = NULL;
        connection->wsi = wsi;
        if (wsi == NULL) {
            destroy_connection(connection);
        }
    }
}

static void
open_connection(HttpClient *this, Target *target, ClientCall *call)
{
    ClientConnection *connection = g_new0(ClientConnection, 1);

    connection->client = this;
    connection->target = target;
    connection->input = g_string_new(NULL);
    connection->call = call;
    call->connection = connection;
    this->counters.opened++;
    if (this->tls) {
        open_tls(connection);
    }
    else {
        open_plain(connection);
    }
}

void
HttpClient_Send(HttpClient *this, size_t target, ClientCall *call)
{
    Target *destination = this->targets->pdata[target];
    ClientConnection *connection = g_queue_pop_head(&destination->idle);

    if (connection == NULL) {
        open_connection(this, destination, call);
        return;
    }
    this->counters.reused++;
    connection->call = call;
    call->connection = connection;
    connection->body_sent = 0;
    connection->body_received = 0;
    connection->head_sent = false;
    connection->has_head = false;
    connection->response_started = false;
    lws_callback_on_writable(connection->wsi);
}

void
HttpClient_Cancel(ClientCall *call)
{
    ClientConnection *connection = call->connection;

    if (connection == NULL) {
        return;
    }
    call->connection = NULL;
    connection->call = NULL;
    abort_connection(connection);
}

static void
free_target(void *pointer)
{
    Target *target = pointer;

    g_queue_clear(&target->idle);
    g_free(target->name);
    g_free(target->address);
    g_free(target);
}

static int
parse_targets(HttpClient *this, const char *text)
{
    g_auto(GStrv) names = g_strsplit(text, ",", 0);

    for (char **name = names; *name != NULL; name++) {
        const char *colon = strrchr(*name, ':');
        Target *target = g_new0(Target, 1);

        g_queue_init(&target->idle);
        g_ptr_array_add(this->targets, target);
        target->name = g_strdup(*name);
        if (colon == NULL || colon == *name || atoi(colon + 1) <= 0) {
            return ERR_PARSE;
        }
        target->address = g_strndup(*name, (gsize)(colon - *name));
        target->port = atoi(colon + 1);
    }
    return this->targets->len > 0 ? 0 : ERR_PARSE;
}

HttpClient *
HttpClient_Create(HttpLoop *loop, const char *targets, int tls, bool reuse)
{
    HttpClient *this = g_new0(HttpClient, 1);
    struct lws_context_creation_info info;

    this->loop = loop;
    this->tls = tls;
    this->reuse = reuse;
    this->targets = g_ptr_array_new_with_free_func(free_target);
    this->protocols[0].name = "client";
    this->protocols[0].callback = on_lws_event;
    memset(&info, 0, sizeof(info));
    info.port = CONTEXT_PORT_NO_LISTEN;
    info.protocols = this->protocols;
    info.options = tls ? LWS_SERVER_OPTION_DO_SSL_GLOBAL_INIT : 0;
    if (parse_targets(this, targets) == 0) {
        this->vhost = lws_create_vhost(loop->context, &info);
    }
    if (this->vhost == NULL) {
        HttpClient_Destroy(this);
        return NULL;
    }
    return this;
}

void
HttpClient_Destroy(HttpClient *this)
{
    if (this != NULL) {
        g_ptr_array_free(this->targets, TRUE);
        g_free(this);
    }
}

size_t
HttpClient_TargetCount(const HttpClient *this)
{
    return this->targets->len;
}

const char *
HttpClient_Target(const HttpClient *this, size_t target)
{
    return ((const Target *)this->targets->pdata[target])->name;
}

ClientCounters
HttpClient_Counters(const HttpClient *this)
{
    return this->counters;
}
