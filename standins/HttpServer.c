#include "HttpServer.h"

#include <signal.h>
#include <string.h>
#include <sys/resource.h>

#define PIECE_BYTES (64 * 1024)
#define HEADER_ROOM 2048
#define HEADER_BYTES_MAX (32 * 1024)
#define HEADER_POOL 16384
#define IDLE_S 3600
#define BODY_TIMEOUT_S 120

typedef struct Connection_ Connection;

struct HttpServer_ {
    struct lws_context *context;
    struct lws_vhost *vhost;
    struct lws_protocols protocols[2];
    const HttpHandlers *handlers;
    void *user;
    GHashTable *connections; /* Connection -> itself */
    int port;
};

struct Connection_ {
    HttpServer *server;
    struct lws *wsi;
    HttpRequest *request;
    bool silent;
    bool kill;
};

struct HttpRequest_ {
    Connection *connection;
    const char *method;
    char *path;
    char *query;
    uint64_t length;
    uint64_t received;
    void *data;
    lws_sorted_usec_list_t timer;
    void (*callback)(void *user, HttpRequest *request);
    GString *head;
    GBytes *body;
    uint64_t announced;
    uint64_t send;
    uint64_t sent;
    HttpFill *fill;
    void *fill_user;
    bool muted; /* came on a silent connection: no handler sees it */
    bool completed;
    bool answering;
    bool head_sent;
};

static volatile sig_atomic_t stopping;
static struct lws_context *running;

static void
on_signal(int number)
{
    (void)number;
    stopping = 1;
    if (running != NULL) {
        lws_cancel_service(running);
    }
}

static void
raise_file_limit(void)
{
    struct rlimit limit;

    if (getrlimit(RLIMIT_NOFILE, &limit) == 0) {
        limit.rlim_cur = MIN(limit.rlim_max, HEADER_POOL);
        setrlimit(RLIMIT_NOFILE, &limit);
    }
}

struct lws_context *
HttpServer_CreateContext(void)
{
    struct lws_context_creation_info info;

    signal(SIGTERM, on_signal);
    signal(SIGINT, on_signal);
    signal(SIGPIPE, SIG_IGN);
    raise_file_limit();
    lws_set_log_level(LLL_ERR, NULL);
    memset(&info, 0, sizeof(info));
    info.options = LWS_SERVER_OPTION_EXPLICIT_VHOSTS;
    info.max_http_header_data = HEADER_BYTES_MAX;
    info.max_http_header_pool = HEADER_POOL;
    info.pt_serv_buf_size = PIECE_BYTES;
    info.timeout_secs = BODY_TIMEOUT_S;
    return lws_create_context(&info);
}

void
HttpServer_Run(struct lws_context *context)
{
    running = context;
    while (!stopping && lws_service(context, 0) >= 0) {
    }
    running = NULL;
}

void
HttpServer_Stop(void)
{
    on_signal(0);
}

static void
free_request(HttpRequest *request, bool answered)
{
    Connection *connection = request->connection;
    HttpServer *server = connection->server;

    lws_sul_cancel(&request->timer);
    connection->request = NULL;
    if (!request->muted && server->handlers->gone != NULL) {
        server->handlers->gone(server->user, request, answered);
    }
    if (request->head != NULL) {
        g_string_free(request->head, TRUE);
    }
    if (request->body != NULL) {
        g_bytes_unref(request->body);
    }
    g_free(request->path);
    g_free(request->query);
    g_free(request);
}

static Connection *
get_connection(HttpServer *server, struct lws *wsi)
{
    Connection *connection = lws_get_opaque_user_data(wsi);

    if (connection == NULL) {
        connection = g_new0(Connection, 1);
        connection->server = server;
        connection->wsi = wsi;
        lws_set_opaque_user_data(wsi, connection);
        g_hash_table_add(server->connections, connection);
    }
    return connection;
}

static void
free_connection(struct lws *wsi)
{
    Connection *connection = lws_get_opaque_user_data(wsi);

    if (connection == NULL) {
        return;
    }
    lws_set_opaque_user_data(wsi, NULL);
    if (connection->request != NULL) {
        free_request(connection->request, false);
    }
    g_hash_table_remove(connection->server->connections, connection);
    g_free(connection);
}

static const char *
method_name(int method)
{
    switch (method) {
    case LWSHUMETH_GET:
        return "GET";
    case LWSHUMETH_POST:
        return "POST";
    case LWSHUMETH_OPTIONS:
        return "OPTIONS";
    case LWSHUMETH_PUT:
        return "PUT";
    case LWSHUMETH_PATCH:
        return "PATCH";
    case LWSHUMETH_DELETE:
        return "DELETE";
    case LWSHUMETH_HEAD:
        return "HEAD";
    default:
        return "OTHER";
    }
}

static char *
copy_query(struct lws *wsi)
{
    GString *query = g_string_new(NULL);
    char part[1024];

    for (int n = 0; lws_hdr_copy_fragment(wsi, part, sizeof(part),
                                          WSI_TOKEN_HTTP_URI_ARGS, n) > 0;
         n++) {
        g_string_append_printf(query, "&%s", part);
    }
    return g_string_free(query, FALSE);
}

static HttpRequest *
new_request(Connection *connection)
{
    HttpRequest *request = g_new0(HttpRequest, 1);
    struct lws *wsi = connection->wsi;
    g_autofree char *length = NULL;
    char *path = NULL;
    int path_length = 0;

    request->connection = connection;
    request->muted = connection->silent;
    request->method =
        method_name(lws_http_get_uri_and_method(wsi, &path, &path_length));
    request->path = g_strndup(path, (gsize)MAX(path_length, 0));
    request->query = copy_query(wsi);
    length = HttpRequest_Header(request, "content-length");
    request->length = length ? g_ascii_strtoull(length, NULL, 10) : 0;
    return request;
}

static void
complete_request(HttpRequest *request)
{
    HttpServer *server = request->connection->server;

    if (request->completed) {
        return;
    }
    request->completed = true;
    lws_set_timeout(request->connection->wsi, NO_PENDING_TIMEOUT, 0);
    if (!request->muted) {
        server->handlers->complete(server->user, request);
    }
}

static void
begin_request(Connection *connection)
{
    HttpServer *server = connection->server;
    HttpRequest *request;

    if (connection->request != NULL) {
        free_request(connection->request, false);
    }
    request = new_request(connection);
    connection->request = request;
    if (!request->muted) {
        server->handlers->begin(server->user, request);
    }
    if (request->length == 0) {
        complete_request(request);
    }
}

static void
take_body(HttpRequest *request, const char *data, size_t length)
{
    HttpServer *server = request->connection->server;

    request->received += length;
    if (!request->muted && server->handlers->data != NULL) {
        server->handlers->data(server->user, request, (Str){data, length});
    }
}

/* Headers and the first bytes of the body go out in one piece. */
static int
send_piece(HttpRequest *request)
{
    static unsigned char buffer[LWS_PRE + HEADER_ROOM + PIECE_BYTES];
    size_t length = 0;
    size_t piece;

    if (!request->head_sent) {
        length = request->head->len;
        memcpy(buffer + LWS_PRE, request->head->str, length);
        request->head_sent = true;
    }
    piece =
        MIN(sizeof(buffer) - LWS_PRE - length, request->send - request->sent);
    if (piece > 0) {
        request->fill(request->fill_user, request->sent,
                      (char *)buffer + LWS_PRE + length, piece);
    }
    request->sent += piece;
    length += piece;
    if (length == 0) {
        return 0;
    }
    return lws_write(request->connection->wsi, buffer + LWS_PRE, length,
                     LWS_WRITE_HTTP);
}

static int
write_answer(Connection *connection)
{
    HttpRequest *request = connection->request;
    struct lws *wsi = connection->wsi;
    bool broken;

    if (request == NULL || !request->answering || connection->silent) {
        return 0;
    }
    do {
        if (send_piece(request) < 0) {
            return -1;
        }
    } while (request->sent < request->send && !lws_send_pipe_choked(wsi));
    if (request->sent < request->send) {
        lws_callback_on_writable(wsi);
        return 0;
    }
    broken = request->send != request->announced || !request->completed;
    free_request(request, true);
    return broken || lws_http_transaction_completed(wsi) ? -1 : 0;
}

static int
handle(struct lws *wsi, enum lws_callback_reasons reason, void *session,
       void *in, size_t length)
{
    Connection *connection;

    switch (reason) {
    case LWS_CALLBACK_HTTP:
        begin_request(get_connection(lws_vhost_user(lws_get_vhost(wsi)), wsi));
        break;
    case LWS_CALLBACK_HTTP_BODY:
        connection = lws_get_opaque_user_data(wsi);
        if (connection != NULL && connection->request != NULL) {
            take_body(connection->request, in, length);
        }
        break;
    case LWS_CALLBACK_HTTP_BODY_COMPLETION:
        connection = lws_get_opaque_user_data(wsi);
        if (connection != NULL && connection->request != NULL) {
            complete_request(connection->request);
        }
        break;
    case LWS_CALLBACK_HTTP_WRITEABLE:
        connection = lws_get_opaque_user_data(wsi);
        if (connection != NULL && write_answer(connection) < 0) {
            return -1;
        }
        break;
    case LWS_CALLBACK_CLOSED_HTTP:
    case LWS_CALLBACK_WSI_DESTROY:
        free_connection(wsi);
        return 0;
    case LWS_CALLBACK_HTTP_BIND_PROTOCOL:
    case LWS_CALLBACK_HTTP_DROP_PROTOCOL:
        return 0;
    default:
        return lws_callback_http_dummy(wsi, reason, session, in, length);
    }
    connection = lws_get_opaque_user_data(wsi);
    return connection != NULL && connection->kill ? -1 : 0;
}

HttpServer *
HttpServer_Create(struct lws_context *context, int port,
                  const HttpHandlers *handlers, void *user)
{
    HttpServer *this = g_new0(HttpServer, 1);

    this->context = context;
    this->handlers = handlers;
    this->user = user;
    this->port = port;
    this->connections = g_hash_table_new(NULL, NULL);
    this->protocols[0].name = "http";
    this->protocols[0].callback = handle;
    if (HttpServer_Resume(this) < 0) {
        HttpServer_Destroy(this);
        return NULL;
    }
    return this;
}

int
HttpServer_Resume(HttpServer *this)
{
    struct lws_context_creation_info info;

    if (this->vhost != NULL) {
        return 0;
    }
    memset(&info, 0, sizeof(info));
    info.port = this->port;
    info.iface = "127.0.0.1";
    info.protocols = this->protocols;
    info.keepalive_timeout = IDLE_S;
    info.user = this;
    this->vhost = lws_create_vhost(this->context, &info);
    if (this->vhost == NULL) {
        return ERR_UNAVAILABLE;
    }
    this->port = lws_get_vhost_listen_port(this->vhost);
    return 0;
}

void
HttpServer_Pause(HttpServer *this)
{
    if (this->vhost != NULL) {
        lws_vhost_destroy(this->vhost);
        this->vhost = NULL;
    }
}

void
HttpServer_Destroy(HttpServer *this)
{
    if (this == NULL) {
        return;
    }
    g_hash_table_destroy(this->connections);
    g_free(this);
}

int
HttpServer_Port(const HttpServer *this)
{
    return this->port;
}

void
HttpServer_SilenceOpen(HttpServer *this)
{
    GHashTableIter iter;
    gpointer connection;

    g_hash_table_iter_init(&iter, this->connections);
    while (g_hash_table_iter_next(&iter, &connection, NULL)) {
        ((Connection *)connection)->silent = true;
    }
}

uint32_t
HttpServer_Connections(const HttpServer *this)
{
    return g_hash_table_size(this->connections);
}

const char *
HttpRequest_Method(const HttpRequest *this)
{
    return this->method;
}

Str
HttpRequest_Path(const HttpRequest *this)
{
    return Str_FromC(this->path);
}

uint64_t
HttpRequest_Query(const HttpRequest *this, const char *name,
                  uint64_t otherwise)
{
    g_autofree char *key = g_strdup_printf("&%s=", name);
    const char *found = strstr(this->query, key);

    if (found == NULL) {
        return otherwise;
    }
    return g_ascii_strtoull(found + strlen(key), NULL, 10);
}

static int
known_token(const char *name)
{
    static const struct {
        const char *name;
        enum lws_token_indexes token;
    } tokens[] = {
        {"authorization", WSI_TOKEN_HTTP_AUTHORIZATION},
        {"content-length", WSI_TOKEN_HTTP_CONTENT_LENGTH},
        {"host", WSI_TOKEN_HOST},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(tokens); i++) {
        if (strcmp(tokens[i].name, name) == 0) {
            return (int)tokens[i].token;
        }
    }
    return -1;
}

char *
HttpRequest_Header(const HttpRequest *this, const char *name)
{
    struct lws *wsi = this->connection->wsi;
    g_autofree char *key = g_strconcat(name, ":", NULL);
    int key_length = (int)strlen(key);
    int token = known_token(name);
    int length = token >= 0 ? lws_hdr_total_length(wsi, token)
                            : lws_hdr_custom_length(wsi, key, key_length);
    char *value;

    if (length < 0 || (token >= 0 && length == 0)) {
        return NULL;
    }
    value = g_malloc0((gsize)length + 1);
    if (token >= 0) {
        lws_hdr_copy(wsi, value, length + 1, (enum lws_token_indexes)token);
    }
    else {
        lws_hdr_custom_copy(wsi, value, length + 1, key, key_length);
    }
    return g_strstrip(value);
}

uint64_t
HttpRequest_Length(const HttpRequest *this)
{
    return this->length;
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

HttpServer *
HttpRequest_Server(const HttpRequest *this)
{
    return this->connection->server;
}

static void
on_timer(lws_sorted_usec_list_t *timer)
{
    HttpRequest *this = lws_container_of(timer, HttpRequest, timer);

    this->callback(this->connection->server->user, this);
}

void
HttpRequest_After(HttpRequest *this, Micros delay,
                  void (*callback)(void *user, HttpRequest *request))
{
    this->callback = callback;
    lws_sul_schedule(this->connection->server->context, 0, &this->timer,
                     on_timer, MAX(delay, 1));
}

static const char *
status_text(int status)
{
    switch (status) {
    case 200:
        return "OK";
    case 400:
        return "Bad Request";
    case 404:
        return "Not Found";
    case 413:
        return "Payload Too Large";
    case 500:
        return "Internal Server Error";
    case 503:
        return "Service Unavailable";
    case 504:
        return "Gateway Timeout";
    default:
        return "Status";
    }
}

void
HttpRequest_AnswerStream(HttpRequest *this, int status, const char *headers,
                         uint64_t length, uint64_t send, HttpFill *fill,
                         void *user)
{
    bool head = strcmp(this->method, "HEAD") == 0;

    if (this->answering) {
        return;
    }
    this->answering = true;
    this->head = g_string_new(NULL);
    g_string_printf(this->head,
                    "HTTP/1.1 %d %s\r\n"
                    "content-length: %" G_GUINT64_FORMAT "\r\n"
                    "%s\r\n",
                    status, status_text(status), length, headers);
    this->announced = head ? 0 : length;
    this->send = head ? 0 : send;
    this->fill = fill;
    this->fill_user = user;
    lws_callback_on_writable(this->connection->wsi);
}

static void
fill_from_body(void *user, uint64_t offset, char *out, size_t length)
{
    const char *data = g_bytes_get_data(((HttpRequest *)user)->body, NULL);

    memcpy(out, data + offset, length);
}

void
HttpRequest_Answer(HttpRequest *this, int status, const char *headers,
                   Str body)
{
    if (this->answering) {
        return;
    }
    this->body = g_bytes_new(body.data, body.length);
    HttpRequest_AnswerStream(this, status, headers, body.length, body.length,
                             fill_from_body, this);
}

void
HttpRequest_AnswerJson(HttpRequest *this, int status, json_t *json)
{
    char *text = json_dumps(json, JSON_COMPACT);

    HttpRequest_Answer(this, status, "content-type: application/json\r\n",
                       Str_FromC(text));
    free(text);
    json_decref(json);
}

void
HttpRequest_Abort(HttpRequest *this)
{
    this->connection->kill = true;
    lws_set_timeout(this->connection->wsi, PENDING_TIMEOUT_USER_OK,
                    LWS_TO_KILL_ASYNC);
}
