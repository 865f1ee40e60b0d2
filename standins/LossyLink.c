#include "LossyLink.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>

#include "Endpoint.h"

#define READ_BYTES (64 * 1024)
#define BUFFER_MAX_BYTES (4 * 1024 * 1024)
/* Reading pauses with more, unless bytes are delayed. */
#define BUFFER_PAUSE_BYTES (1024 * 1024)

/* Side of a connection; also names the direction of the bytes it sends. */
enum Side { SIDE_CLIENT, SIDE_TARGET, SIDES };

struct LossyLink_ {
    HttpLoop *loop;
    struct lws_vhost *vhost;
    struct lws_protocols protocols[2];
    GHashTable *connections; /* set of LinkConnection */
    struct sockaddr_in target;
    int listen_fd;
    int port;
    LinkFault fault;
    const GArray *silent_sources; /* in_addr_t; NULL for none */
};

typedef struct LinkSide_ {
    struct LinkConnection_ *connection;
    struct lws *wsi; /* NULL once closed */
    int fd;
    GString *buffer; /* received here, not yet sent to the other side */
    Timer delay_timer;
    bool has_gap; /* bytes received here were dropped */
    bool paused;  /* does not read */
} LinkSide;

typedef struct LinkConnection_ {
    LossyLink *link;
    in_addr_t source; /* address of the client */
    LinkSide sides[SIDES];
} LinkConnection;

static LinkSide *
other_side(const LinkSide *side)
{
    LinkConnection *connection = side->connection;

    return &connection
                ->sides[side == &connection->sides[SIDE_CLIENT] ? SIDE_TARGET
                                                                : SIDE_CLIENT];
}

static bool
contains(const GArray *sources, in_addr_t source)
{
    for (guint i = 0; sources != NULL && i < sources->len; i++) {
        if (g_array_index(sources, in_addr_t, i) == source) {
            return true;
        }
    }
    return false;
}

static bool
drops_bytes(const LinkSide *side)
{
    bool client = side == &side->connection->sides[SIDE_CLIENT];

    if (contains(side->connection->link->silent_sources,
                 side->connection->source)) {
        return true;
    }
    switch (side->connection->link->fault) {
    case LINK_CLEAR:
    case LINK_DELAYED:
        return false;
    case LINK_CUT_TO_TARGET:
        return client;
    case LINK_CUT_FROM_TARGET:
        return !client;
    case LINK_SILENT:
        return true;
    }
    return false;
}

static void
close_side(const LinkSide *side)
{
    if (side->wsi != NULL) {
        lws_set_timeout(side->wsi, PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_ASYNC);
    }
}

/* With a linger time of 0, close() sends a reset. */
static void
reset_side(const LinkSide *side)
{
    static const struct linger none = {.l_onoff = 1, .l_linger = 0};

    if (side->wsi != NULL) {
        setsockopt(side->fd, SOL_SOCKET, SO_LINGER, &none, sizeof(none));
        close_side(side);
    }
}

static void
reset_connection(const LinkConnection *connection)
{
    reset_side(&connection->sides[SIDE_CLIENT]);
    reset_side(&connection->sides[SIDE_TARGET]);
}

/* Sends the buffered bytes of @side to the other side. Closes the other side
 * after the last byte if @side is closed. */
static void
forward_bytes(LinkSide *side)
{
    LinkSide *to = other_side(side);

    if (to->wsi == NULL || side->delay_timer.queue != NULL) {
        return;
    }
    if (side->buffer->len > 0) {
        ssize_t sent =
            send(to->fd, side->buffer->str, side->buffer->len, MSG_NOSIGNAL);

        if (sent < 0 && errno != EAGAIN && errno != EWOULDBLOCK) {
            reset_connection(side->connection);
            return;
        }
        g_string_erase(side->buffer, 0, MAX(sent, 0));
    }
    if (side->paused && side->buffer->len < BUFFER_PAUSE_BYTES) {
        side->paused = false;
        if (side->wsi != NULL) {
            lws_rx_flow_control(side->wsi, 1);
        }
    }
    if (side->buffer->len > 0) {
        lws_callback_on_writable(to->wsi);
    }
    else if (side->wsi == NULL && !side->has_gap) {
        close_side(to);
    }
}

static void
on_delay_timer(Timer *timer)
{
    forward_bytes(TIMER_OWNER(timer, LinkSide, delay_timer));
}

static void
buffer_bytes(LinkSide *side, const char *bytes, size_t length)
{
    LossyLink *link = side->connection->link;

    if (side->has_gap || drops_bytes(side)) {
        side->has_gap = true;
        return;
    }
    g_string_append_len(side->buffer, bytes, (gssize)length);
    if (side->buffer->len > BUFFER_MAX_BYTES) {
        reset_connection(side->connection);
        return;
    }
    if (link->fault == LINK_DELAYED && side->delay_timer.queue == NULL) {
        Timer_Start(&side->delay_timer, link->loop->timers, LINK_DELAY_US,
                    on_delay_timer);
    }
}

static bool
is_delayed(const LinkSide *side)
{
    return side->connection->link->fault == LINK_DELAYED ||
           side->delay_timer.queue != NULL;
}

/* Forwards all bytes that can be received. Returns -1 to close this side. */
static int
read_side(LinkSide *side)
{
    static char bytes[READ_BYTES];
    ssize_t length;

    while ((length = recv(side->fd, bytes, sizeof(bytes), 0)) > 0) {
        buffer_bytes(side, bytes, (size_t)length);
        if (side->buffer->len >= BUFFER_PAUSE_BYTES && !is_delayed(side)) {
            side->paused = true;
            lws_rx_flow_control(side->wsi, 0);
            forward_bytes(side);
            return 0;
        }
    }
    if (length == 0) {
        return -1;
    }
    if (errno != EAGAIN && errno != EWOULDBLOCK) {
        reset_connection(side->connection);
        return -1;
    }
    forward_bytes(side);
    return 0;
}

static void
free_connection(LinkConnection *connection)
{
    for (int i = 0; i < SIDES; i++) {
        Timer_Stop(&connection->sides[i].delay_timer);
        g_string_free(connection->sides[i].buffer, TRUE);
    }
    g_hash_table_remove(connection->link->connections, connection);
    g_free(connection);
}

/* The end of a direction that drops bytes is not forwarded either. */
static void
on_side_closed(LinkSide *side)
{
    side->wsi = NULL;
    side->has_gap = side->has_gap || drops_bytes(side);
    if (other_side(side)->wsi == NULL) {
        free_connection(side->connection);
        return;
    }
    forward_bytes(side);
}

static bool
adopt_socket(LinkSide *side, LinkConnection *connection, int fd)
{
    static const int on = 1;
    LossyLink *link = connection->link;
    lws_sock_file_fd_type file = {.filefd = fd};

    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    side->connection = connection;
    side->fd = fd;
    side->buffer = g_string_new(NULL);
    side->wsi =
        lws_adopt_descriptor_vhost(link->vhost, LWS_ADOPT_RAW_FILE_DESC, file,
                                   link->protocols[0].name, NULL);
    if (side->wsi == NULL) {
        return false;
    }
    lws_set_opaque_user_data(side->wsi, side);
    return true;
}

/* The target sees the address of the client. */
static void
bind_source(int fd, in_addr_t source)
{
    static const int on = 1;
    struct sockaddr_in address = {.sin_family = AF_INET};

    address.sin_addr.s_addr = source;
    setsockopt(fd, IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, &on, sizeof(on));
    if (bind(fd, (struct sockaddr *)&address, sizeof(address)) < 0) {
        g_error("cannot bind the address of a client");
    }
}

static void
open_connection(LossyLink *this, int client, in_addr_t source)
{
    LinkConnection *connection = g_new0(LinkConnection, 1);
    int target =
        socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

    bind_source(target, source);
    connect(target, (struct sockaddr *)&this->target, sizeof(this->target));
    connection->link = this;
    connection->source = source;
    g_hash_table_add(this->connections, connection);
    if (!adopt_socket(&connection->sides[SIDE_CLIENT], connection, client) ||
        !adopt_socket(&connection->sides[SIDE_TARGET], connection, target)) {
        g_error("out of descriptors for a link");
    }
}

static void
accept_connections(LossyLink *this)
{
    struct sockaddr_in client = {.sin_family = AF_INET};
    socklen_t length = sizeof(client);
    int fd;

    while ((fd = accept4(this->listen_fd, (struct sockaddr *)&client, &length,
                         SOCK_NONBLOCK | SOCK_CLOEXEC)) >= 0) {
        open_connection(this, fd, client.sin_addr.s_addr);
        length = sizeof(client);
    }
}

static int
on_socket_event(struct lws *wsi, enum lws_callback_reasons reason,
                void *session, void *in, size_t length)
{
    LinkSide *side;

    switch (reason) {
    case LWS_CALLBACK_RAW_RX_FILE:
        side = lws_get_opaque_user_data(wsi);
        if (side == NULL) {
            accept_connections(lws_vhost_user(lws_get_vhost(wsi)));
            return 0;
        }
        return read_side(side);
    case LWS_CALLBACK_RAW_WRITEABLE_FILE:
        side = lws_get_opaque_user_data(wsi);
        if (side != NULL) {
            forward_bytes(other_side(side));
        }
        return 0;
    case LWS_CALLBACK_RAW_CLOSE_FILE:
    case LWS_CALLBACK_WSI_DESTROY:
        side = lws_get_opaque_user_data(wsi);
        lws_set_opaque_user_data(wsi, NULL);
        if (side != NULL) {
            on_side_closed(side);
        }
        return 0;
    default:
        return 0;
    }
}

static bool
parse_target(LossyLink *this, const char *target)
{
    Endpoint endpoint;

    if (Endpoint_Parse(Str_FromC(target), &endpoint) < 0) {
        return false;
    }
    this->target.sin_family = AF_INET;
    this->target.sin_port = htons(endpoint.port);
    return inet_pton(AF_INET, endpoint.address, &this->target.sin_addr) == 1;
}

static bool
start_listening(LossyLink *this)
{
    lws_sock_file_fd_type file;

    this->listen_fd = HttpLoop_Listen(&this->port);
    if (this->listen_fd < 0) {
        return false;
    }
    file.filefd = this->listen_fd;
    return lws_adopt_descriptor_vhost(this->vhost, LWS_ADOPT_RAW_FILE_DESC,
                                      file, this->protocols[0].name,
                                      NULL) != NULL;
}

LossyLink *
LossyLink_Create(HttpLoop *loop, const char *target)
{
    LossyLink *this = g_new0(LossyLink, 1);
    struct lws_context_creation_info info;

    this->loop = loop;
    this->connections = g_hash_table_new(NULL, NULL);
    this->protocols[0].name = "link";
    this->protocols[0].callback = on_socket_event;
    memset(&info, 0, sizeof(info));
    info.port = CONTEXT_PORT_NO_LISTEN_SERVER;
    info.protocols = this->protocols;
    info.user = this;
    if (!parse_target(this, target) ||
        (this->vhost = lws_create_vhost(loop->context, &info)) == NULL ||
        !start_listening(this)) {
        LossyLink_Destroy(this);
        return NULL;
    }
    return this;
}

void
LossyLink_Destroy(LossyLink *this)
{
    if (this != NULL) {
        g_hash_table_destroy(this->connections);
        g_free(this);
    }
}

int
LossyLink_Port(const LossyLink *this)
{
    return this->port;
}

void
LossyLink_SetFault(LossyLink *this, LinkFault fault)
{
    this->fault = fault;
}

void
LossyLink_Reset(LossyLink *this)
{
    GHashTableIter iterator;
    gpointer connection;

    g_hash_table_iter_init(&iterator, this->connections);
    while (g_hash_table_iter_next(&iterator, &connection, NULL)) {
        reset_connection(connection);
    }
}

void
LossyLink_SilenceSources(LossyLink *this, const GArray *sources)
{
    this->silent_sources = sources;
}

void
LossyLink_ResetSources(LossyLink *this, const GArray *sources)
{
    GHashTableIter iterator;
    gpointer key;

    g_hash_table_iter_init(&iterator, this->connections);
    while (g_hash_table_iter_next(&iterator, &key, NULL)) {
        const LinkConnection *connection = key;

        if (contains(sources, connection->source)) {
            reset_connection(connection);
        }
    }
}

unsigned
LossyLink_ConnectionCount(const LossyLink *this)
{
    return g_hash_table_size(this->connections);
}

static uint16_t
port_at_target(const LinkConnection *connection)
{
    struct sockaddr_in address = {0};
    socklen_t length = sizeof(address);

    getsockname(connection->sides[SIDE_TARGET].fd, (struct sockaddr *)&address,
                &length);
    return ntohs(address.sin_port);
}

bool
LossyLink_Delivers(const LossyLink *this, uint16_t port)
{
    GHashTableIter iterator;
    gpointer key;

    g_hash_table_iter_init(&iterator, this->connections);
    while (g_hash_table_iter_next(&iterator, &key, NULL)) {
        const LinkConnection *connection = key;
        const LinkSide *target = &connection->sides[SIDE_TARGET];

        if (target->wsi != NULL && port_at_target(connection) == port) {
            return connection->sides[SIDE_CLIENT].wsi != NULL &&
                   !target->has_gap && !drops_bytes(target);
        }
    }
    return false;
}
