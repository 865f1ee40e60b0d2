#include "HttpConnection.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>

/* The listener is a raw file for libwebsockets, so that HttpServer_Pause() can
 * close it and keep the vhost. */
static int
accept_connections(HttpServer *server)
{
    static const int on = 1;
    lws_sock_file_fd_type fd;

    while ((fd.sockfd = accept4(server->listen_fd, NULL, NULL,
                                SOCK_NONBLOCK | SOCK_CLOEXEC)) >= 0) {
        setsockopt(fd.sockfd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        lws_adopt_descriptor_vhost(server->vhost, LWS_ADOPT_SOCKET, fd,
                                   server->protocols[0].name, NULL);
    }
    return 0;
}

/* Looks up the vhost in the events that need it only, because the wsi of some
 * other events has none. */
static int
on_lws_event(struct lws *wsi, enum lws_callback_reasons reason, void *session,
             void *in, size_t length)
{
    HttpConnection *connection;

    switch (reason) {
    case LWS_CALLBACK_RAW_RX_FILE:
        return accept_connections(lws_vhost_user(lws_get_vhost(wsi)));
    case LWS_CALLBACK_RAW_ADOPT:
        connection =
            HttpConnection_Create(lws_vhost_user(lws_get_vhost(wsi)), wsi);
        lws_set_opaque_user_data(wsi, connection);
        return 0;
    case LWS_CALLBACK_RAW_RX:
        connection = lws_get_opaque_user_data(wsi);
        return connection == NULL
                   ? -1
                   : HttpConnection_OnBytes(connection, (Str){in, length});
    case LWS_CALLBACK_RAW_WRITEABLE:
        connection = lws_get_opaque_user_data(wsi);
        return connection == NULL ? 0 : HttpConnection_OnWriteable(connection);
    case LWS_CALLBACK_RAW_CLOSE:
    case LWS_CALLBACK_WSI_DESTROY:
        connection = lws_get_opaque_user_data(wsi);
        lws_set_opaque_user_data(wsi, NULL);
        HttpConnection_Destroy(connection);
        return 0;
    default:
        return 0;
    }
}

HttpServer *
HttpServer_Create(HttpLoop *loop, int port, const HttpHandlers *handlers,
                  void *user)
{
    HttpServer *this = g_new0(HttpServer, 1);
    struct lws_context_creation_info info;

    this->loop = loop;
    this->handlers = handlers;
    this->user = user;
    this->port = port;
    this->connections = g_hash_table_new(NULL, NULL);
    this->protocols[0].name = "http";
    this->protocols[0].callback = on_lws_event;
    memset(&info, 0, sizeof(info));
    info.port = CONTEXT_PORT_NO_LISTEN_SERVER;
    info.protocols = this->protocols;
    info.user = this;
    this->vhost = lws_create_vhost(loop->context, &info);
    if (this->vhost == NULL || HttpServer_Resume(this) < 0) {
        HttpServer_Destroy(this);
        return NULL;
    }
    return this;
}

int
HttpServer_Resume(HttpServer *this)
{
    lws_sock_file_fd_type fd;

    if (this->listener != NULL) {
        return 0;
    }
    fd.filefd = HttpLoop_Listen(&this->port);
    if (fd.filefd < 0) {
        return ERR_UNAVAILABLE;
    }
    this->listen_fd = fd.filefd;
    this->listener =
        lws_adopt_descriptor_vhost(this->vhost, LWS_ADOPT_RAW_FILE_DESC, fd,
                                   this->protocols[0].name, NULL);
    return this->listener != NULL ? 0 : ERR_UNAVAILABLE;
}

void
HttpServer_Pause(HttpServer *this)
{
    g_autoptr(GList) open = g_hash_table_get_keys(this->connections);

    if (this->listener != NULL) {
        lws_set_timeout(this->listener, PENDING_TIMEOUT_USER_OK,
                        LWS_TO_KILL_SYNC);
        this->listener = NULL;
    }
    for (GList *link = open; link != NULL; link = link->next) {
        HttpConnection *connection = link->data;

        connection->aborted = true;
        lws_set_timeout(connection->wsi, PENDING_TIMEOUT_USER_OK,
                        LWS_TO_KILL_ASYNC);
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
HttpServer_StallOpenConnections(HttpServer *this)
{
    GHashTableIter iter;
    gpointer connection;

    g_hash_table_iter_init(&iter, this->connections);
    while (g_hash_table_iter_next(&iter, &connection, NULL)) {
        HttpConnection *open = connection;

        open->stalled =
            open->request == NULL ||
            !Str_Equal(HttpRequest_Path(open->request), STR("/control"));
    }
}

uint32_t
HttpServer_OpenConnections(const HttpServer *this)
{
    return g_hash_table_size(this->connections);
}

uint64_t
HttpServer_AcceptedConnections(const HttpServer *this)
{
    return this->accepted_connections;
}

uint64_t
HttpServer_MalformedRequests(const HttpServer *this)
{
    return this->malformed_requests;
}

void
HttpServer_SetIdleTimeout(HttpServer *this, Micros timeout)
{
    this->idle_timeout = timeout;
}

uint32_t
HttpServer_PeakConnections(const HttpServer *this)
{
    return this->peak_connections;
}
