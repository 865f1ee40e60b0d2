#include "HttpConnection.h"

#include <signal.h>
#include <string.h>
#include <sys/resource.h>

#define RECEIVE_BYTES (64 * 1024)
#define FILES_MAX 16384

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
        limit.rlim_cur = MIN(limit.rlim_max, FILES_MAX);
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
    info.pt_serv_buf_size = RECEIVE_BYTES;
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

static int
handle(struct lws *wsi, enum lws_callback_reasons reason, void *session,
       void *in, size_t length)
{
    HttpConnection *connection = lws_get_opaque_user_data(wsi);
    HttpServer *server;

    switch (reason) {
    case LWS_CALLBACK_RAW_ADOPT:
        server = lws_vhost_user(lws_get_vhost(wsi));
        connection = HttpConnection_Create(server, wsi);
        lws_set_opaque_user_data(wsi, connection);
        return 0;
    case LWS_CALLBACK_RAW_RX:
        return connection == NULL
                   ? -1
                   : HttpConnection_OnBytes(connection, (Str){in, length});
    case LWS_CALLBACK_RAW_WRITEABLE:
        return connection == NULL ? 0 : HttpConnection_OnWriteable(connection);
    case LWS_CALLBACK_RAW_CLOSE:
    case LWS_CALLBACK_WSI_DESTROY:
        lws_set_opaque_user_data(wsi, NULL);
        HttpConnection_Destroy(connection);
        return 0;
    default:
        return 0;
    }
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
    info.options = LWS_SERVER_OPTION_ADOPT_APPLY_LISTEN_ACCEPT_CONFIG;
    info.listen_accept_role = "raw-skt";
    info.listen_accept_protocol = this->protocols[0].name;
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
        ((HttpConnection *)connection)->silent = true;
    }
}

uint32_t
HttpServer_Connections(const HttpServer *this)
{
    return g_hash_table_size(this->connections);
}

uint64_t
HttpServer_Opened(const HttpServer *this)
{
    return this->opened;
}

uint64_t
HttpServer_Malformed(const HttpServer *this)
{
    return this->malformed;
}
