#include "PeerLink.h"

#include <errno.h>
#include <glib.h>
#include <string.h>
#include <unistd.h>
#include <zmq.h>

#include "ZapHandler.h"

#define ERROR_STEP "peer-link"
/* Maximum number of messages read per event. A timer resumes the reading, so
 * that other events of the loop are handled in between. */
#define READ_BATCH_MAX 64
#define SWEEP_INTERVAL_US MICROS_PER_S
#define ADDRESS_LENGTH_MAX 128
#define ENDPOINT_BYTES (ADDRESS_LENGTH_MAX + 8)
#define HANDSHAKE_TIMEOUT_MS 5000
/* A connection is closed if sent data stays unacknowledged for this time
 * (ZMQ_TCP_MAXRT). Unlike the heartbeats of ZeroMQ this needs no traffic. The
 * messages queued for the peer are dropped with the connection. */
#define RETRANSMIT_TIMEOUT_MS 5000
#define KEEPALIVE_IDLE_S 60
#define RECONNECT_MIN_MS 100
#define RECONNECT_MAX_MS 2000

/* Limits for messages that wait for a connection, so that a peer which returns
 * after an hour does not receive the messages of an hour. */
#define PENDING_MESSAGES_MAX 16
#define PENDING_TIMEOUT_US (2 * MICROS_PER_S)
#define PENDING_POLL_INTERVAL_US (5 * MICROS_PER_MS)

/* A DEALER socket connected to one peer, used for sending only. */
typedef struct Peer_ {
    char address[ADDRESS_LENGTH_MAX + 1];
    uint8_t key[PEER_KEY_BYTES];
    void *socket;
    Micros used_at; /* last message for the peer */
    GBytes *pending[PENDING_MESSAGES_MAX];
    uint32_t pending_count;
    Micros pending_since; /* when the first of them was queued */
} Peer;

struct PeerLink_ {
    PeerLinkOptions options;
    Loop *loop;
    EventLog *log;
    PeerLinkHandler *handler;
    void *user;
    PeerLinkCounters counters;
    void *context;
    ZapHandler *zap_handler;
    void *router; /* ROUTER socket that receives all messages */
    uint16_t port;
    Peer *peers;             /* peers_max entries, free if without a socket */
    LoopTimer *sweep_timer;  /* closes idle connections */
    LoopTimer *resume_timer; /* continues to receive */
    LoopTimer *flush_timer;  /* sends pending messages */
    char *deployment;
    bool reading; /* messages are being received */
};

PeerLinkOptions
PeerLinkOptions_Default(void)
{
    return (PeerLinkOptions){
        .peers_max = 256,
        .idle_timeout = 120 * MICROS_PER_S,
        .queue_max = 32,
    };
}

static void
set_int_option(void *socket, int option, int value)
{
    zmq_setsockopt(socket, option, &value, sizeof(value));
}

static int
has_events(void *socket, int events)
{
    int pending_events = 0;
    size_t size = sizeof(pending_events);

    if (zmq_getsockopt(socket, ZMQ_EVENTS, &pending_events, &size) != 0) {
        return 0;
    }
    return pending_events & events;
}

/* Sets the options of the ROUTER and DEALER sockets. */
static void
set_common_options(const PeerLink *this, void *socket)
{
    const PeerKeys *keys = this->options.keys;
    int64_t size_max = PEER_MESSAGE_MAX_BYTES;

    zmq_setsockopt(socket, ZMQ_MAXMSGSIZE, &size_max, sizeof(size_max));
    zmq_setsockopt(socket, ZMQ_CURVE_SECRETKEY, keys->secret_key.bytes,
                   PEER_KEY_BYTES);
    set_int_option(socket, ZMQ_LINGER, 0);
    set_int_option(socket, ZMQ_SNDHWM, (int)this->options.queue_max);
    set_int_option(socket, ZMQ_RCVHWM, (int)this->options.queue_max);
    set_int_option(socket, ZMQ_HANDSHAKE_IVL, HANDSHAKE_TIMEOUT_MS);
    set_int_option(socket, ZMQ_TCP_MAXRT, RETRANSMIT_TIMEOUT_MS);
    set_int_option(socket, ZMQ_TCP_KEEPALIVE, 1);
    set_int_option(socket, ZMQ_TCP_KEEPALIVE_IDLE, KEEPALIVE_IDLE_S);
    set_int_option(socket, ZMQ_RECONNECT_IVL, RECONNECT_MIN_MS);
    set_int_option(socket, ZMQ_RECONNECT_IVL_MAX, RECONNECT_MAX_MS);
}

static void
handle_message(PeerLink *this, zmq_msg_t *body)
{
    Str bytes = {zmq_msg_data(body), zmq_msg_size(body)};
    PeerMessage *message = NULL;

    this->counters.received_bytes += bytes.length;
    if (PeerMessage_Decode(bytes, this->options.deployment, &message,
                           &this->counters.messages) < 0) {
        return;
    }
    this->handler(this->user, message);
    PeerMessage_Destroy(message);
}

/* Reads the frames of one message: the identity that the ROUTER socket adds,
 * then one body. Returns false if there is no message. */
static bool
read_message(PeerLink *this)
{
    zmq_msg_t frame;
    int index = 0;
    bool more = true;

    while (more) {
        zmq_msg_init(&frame);
        if (zmq_msg_recv(&frame, this->router, ZMQ_DONTWAIT) < 0) {
            zmq_msg_close(&frame);
            return false;
        }
        more = zmq_msg_more(&frame);
        if (index == 1 && !more) {
            handle_message(this, &frame);
        }
        else if (index == 1) {
            this->counters.messages.malformed++;
        }
        zmq_msg_close(&frame);
        index++;
    }
    return true;
}

/* The descriptors of ZeroMQ are edge-triggered: they signal again only after
 * messages were read until ZMQ_EVENTS shows none. If a batch ends before, a
 * timer resumes the reading. */
static void
receive_messages(PeerLink *this)
{
    int n = 0;

    if (this->reading) {
        return;
    }
    this->reading = true;
    while (n < READ_BATCH_MAX && has_events(this->router, ZMQ_POLLIN) &&
           read_message(this)) {
        n++;
    }
    this->reading = false;
    if (n == READ_BATCH_MAX) {
        LoopTimer_Start(this->resume_timer, 1);
    }
}

static void
process_events(void *user)
{
    PeerLink *this = user;

    ZapHandler_ProcessRequests(this->zap_handler);
    this->counters.key_accepted = ZapHandler_Accepted(this->zap_handler);
    this->counters.key_denied = ZapHandler_Denied(this->zap_handler);
    receive_messages(this);
}

static void
drop_pending(PeerLink *this, Peer *peer)
{
    for (uint32_t i = 0; i < peer->pending_count; i++) {
        g_bytes_unref(peer->pending[i]);
    }
    this->counters.send_dropped += peer->pending_count;
    peer->pending_count = 0;
}

static void
close_peer(PeerLink *this, Peer *peer)
{
    drop_pending(this, peer);
    zmq_close(peer->socket);
    memset(peer, 0, sizeof(*peer));
    this->counters.open--;
}

/* Returns 0, ERR_LIMIT if the queue of the connection is full or there is no
 * connection, ERR_IO otherwise. */
static int
send_now(PeerLink *this, Peer *peer, Str bytes)
{
    if (zmq_send(peer->socket, bytes.data, bytes.length, ZMQ_DONTWAIT) < 0) {
        return errno == EAGAIN ? ERR_LIMIT : ERR_IO;
    }
    this->counters.sent++;
    this->counters.sent_bytes += bytes.length;
    return 0;
}

static void
send_pending(PeerLink *this, Peer *peer)
{
    uint32_t sent = 0;

    while (sent < peer->pending_count) {
        gsize length;
        const char *data = g_bytes_get_data(peer->pending[sent], &length);

        if (send_now(this, peer, (Str){data, length}) < 0) {
            break;
        }
        g_bytes_unref(peer->pending[sent++]);
    }
    peer->pending_count -= sent;
    memmove(peer->pending, peer->pending + sent,
            peer->pending_count * sizeof(peer->pending[0]));
}

/* Sends the messages that wait for a connection and drops expired ones. The
 * timer runs as long as messages wait. */
static void
flush_peers(void *user)
{
    PeerLink *this = user;
    Micros now = Clock_Now(Loop_Clock(this->loop));
    bool waiting = false;

    for (uint32_t i = 0; i < this->options.peers_max; i++) {
        Peer *peer = &this->peers[i];

        if (peer->pending_count == 0) {
            continue;
        }
        send_pending(this, peer);
        if (now - peer->pending_since >= PENDING_TIMEOUT_US) {
            drop_pending(this, peer);
        }
        waiting |= peer->pending_count > 0;
    }
    if (waiting) {
        LoopTimer_Start(this->flush_timer, PENDING_POLL_INTERVAL_US);
    }
}

static void
queue_pending(PeerLink *this, Peer *peer, Str bytes)
{
    if (peer->pending_count == 0) {
        peer->pending_since = peer->used_at;
    }
    peer->pending[peer->pending_count++] =
        g_bytes_new(bytes.data, bytes.length);
    LoopTimer_Start(this->flush_timer, PENDING_POLL_INTERVAL_US);
}

static void
sweep_peers(void *user)
{
    PeerLink *this = user;
    Micros now = Clock_Now(Loop_Clock(this->loop));

    for (uint32_t i = 0; i < this->options.peers_max; i++) {
        Peer *peer = &this->peers[i];

        if (peer->socket != NULL &&
            now - peer->used_at >= this->options.idle_timeout) {
            close_peer(this, peer);
            this->counters.closed_idle++;
        }
    }
    process_events(this);
    LoopTimer_Start(this->sweep_timer, SWEEP_INTERVAL_US);
}

/* The loop closes the descriptors that it watches, so it gets a duplicate. */
static int
watch_socket(PeerLink *this, void *socket, Error *error)
{
    int fd = -1;
    int copy;
    size_t size = sizeof(fd);

    zmq_getsockopt(socket, ZMQ_FD, &fd, &size);
    copy = dup(fd);
    if (copy < 0) {
        return Error_Set(error, ERR_IO, ERROR_STEP, STR(""),
                         "could not duplicate the socket descriptor: %s",
                         g_strerror(errno));
    }
    if (Loop_Watch(this->loop, copy, process_events, this, error) < 0) {
        close(copy);
        return ERR_IO;
    }
    return 0;
}

static int
set_zmq_error(Error *error, const char *operation)
{
    return Error_Set(error, ERR_IO, ERROR_STEP, STR(""), "%s: %s", operation,
                     zmq_strerror(zmq_errno()));
}

static void
read_bound_port(PeerLink *this)
{
    char endpoint[ENDPOINT_BYTES];
    size_t size = sizeof(endpoint);
    const char *colon;

    if (zmq_getsockopt(this->router, ZMQ_LAST_ENDPOINT, endpoint, &size) ==
        0) {
        colon = strrchr(endpoint, ':');
        this->port = (uint16_t)(colon != NULL ? atoi(colon + 1) : 0);
    }
}

static int
open_router(PeerLink *this, Error *error)
{
    char endpoint[ENDPOINT_BYTES];

    this->router = zmq_socket(this->context, ZMQ_ROUTER);
    if (this->router == NULL) {
        return set_zmq_error(error, "could not create the ROUTER socket");
    }
    set_common_options(this, this->router);
    set_int_option(this->router, ZMQ_CURVE_SERVER, 1);
    set_int_option(this->router, ZMQ_ROUTER_HANDOVER, 0);
    zmq_setsockopt(this->router, ZMQ_ZAP_DOMAIN, PEER_ZAP_DOMAIN,
                   strlen(PEER_ZAP_DOMAIN));
    g_snprintf(endpoint, sizeof(endpoint), "tcp://" STR_FORMAT ":%u",
               STR_ARGS(this->options.address), this->options.port);
    if (zmq_bind(this->router, endpoint) != 0) {
        return set_zmq_error(error, endpoint);
    }
    read_bound_port(this);
    return 0;
}

PeerLink *
PeerLink_Create(const PeerLinkOptions *options, Loop *loop, EventLog *log,
                PeerLinkHandler *handler, void *user, Error *error)
{
    PeerLink *this = g_new0(PeerLink, 1);

    this->options = *options;
    this->loop = loop;
    this->log = log;
    this->handler = handler;
    this->user = user;
    this->deployment =
        g_strndup(options->deployment.data, options->deployment.length);
    this->options.deployment = Str_FromC(this->deployment);
    this->peers = g_new0(Peer, options->peers_max);
    this->sweep_timer = LoopTimer_Create(loop, sweep_peers, this);
    this->resume_timer = LoopTimer_Create(loop, process_events, this);
    this->flush_timer = LoopTimer_Create(loop, flush_peers, this);
    this->context = zmq_ctx_new();
    this->zap_handler =
        ZapHandler_Create(this->context, options->keys, log, error);
    if (this->zap_handler == NULL || open_router(this, error) < 0 ||
        watch_socket(this, ZapHandler_Socket(this->zap_handler), error) < 0 ||
        watch_socket(this, this->router, error) < 0) {
        PeerLink_Destroy(this);
        return NULL;
    }
    LoopTimer_Start(this->sweep_timer, SWEEP_INTERVAL_US);
    return this;
}

void
PeerLink_Destroy(PeerLink *this)
{
    if (this == NULL) {
        return;
    }
    for (uint32_t i = 0; i < this->options.peers_max; i++) {
        if (this->peers[i].socket != NULL) {
            close_peer(this, &this->peers[i]);
        }
    }
    if (this->router != NULL) {
        zmq_close(this->router);
    }
    ZapHandler_Destroy(this->zap_handler);
    zmq_ctx_term(this->context);
    LoopTimer_Destroy(this->sweep_timer);
    LoopTimer_Destroy(this->resume_timer);
    LoopTimer_Destroy(this->flush_timer);
    g_free(this->peers);
    g_free(this->deployment);
    g_free(this);
}

uint16_t
PeerLink_Port(const PeerLink *this)
{
    return this->port;
}

/* Checks that an address is ADDRESS:PORT and has no characters with another
 * meaning in a ZeroMQ endpoint. */
static bool
is_valid_address(Str address)
{
    bool colon = false;

    if (address.length == 0 || address.length > ADDRESS_LENGTH_MAX) {
        return false;
    }
    for (size_t i = 0; i < address.length; i++) {
        char c = address.data[i];

        if (!g_ascii_isalnum(c) && strchr(".-:[]_", c) == NULL) {
            return false;
        }
        colon |= c == ':';
    }
    return colon;
}

static Peer *
find_peer(PeerLink *this, Str address, const uint8_t *key)
{
    for (uint32_t i = 0; i < this->options.peers_max; i++) {
        Peer *peer = &this->peers[i];

        if (peer->socket != NULL &&
            Str_Equal(Str_FromC(peer->address), address) &&
            memcmp(peer->key, key, PEER_KEY_BYTES) == 0) {
            return peer;
        }
    }
    return NULL;
}

/* Returns a free entry. If there is none, closes the least recently used
 * connection. */
static Peer *
allocate_entry(PeerLink *this)
{
    Peer *oldest = &this->peers[0];

    for (uint32_t i = 0; i < this->options.peers_max; i++) {
        Peer *peer = &this->peers[i];

        if (peer->socket == NULL) {
            return peer;
        }
        if (peer->used_at < oldest->used_at) {
            oldest = peer;
        }
    }
    close_peer(this, oldest);
    this->counters.closed_evicted++;
    return oldest;
}

static Peer *
open_peer(PeerLink *this, Str address, const uint8_t *key)
{
    const PeerKeys *keys = this->options.keys;
    Peer *peer = allocate_entry(this);
    char endpoint[ENDPOINT_BYTES];
    void *socket = zmq_socket(this->context, ZMQ_DEALER);

    if (socket == NULL) {
        return NULL;
    }
    set_common_options(this, socket);
    set_int_option(socket, ZMQ_IMMEDIATE, 1);
    zmq_setsockopt(socket, ZMQ_CURVE_SERVERKEY, key, PEER_KEY_BYTES);
    zmq_setsockopt(socket, ZMQ_CURVE_PUBLICKEY, keys->public_key.bytes,
                   PEER_KEY_BYTES);
    g_snprintf(endpoint, sizeof(endpoint), "tcp://" STR_FORMAT,
               STR_ARGS(address));
    if (zmq_connect(socket, endpoint) != 0) {
        zmq_close(socket);
        return NULL;
    }
    peer->socket = socket;
    memcpy(peer->address, address.data, address.length);
    peer->address[address.length] = 0;
    memcpy(peer->key, key, PEER_KEY_BYTES);
    this->counters.opened++;
    this->counters.open++;
    return peer;
}

static int
drop_message(PeerLink *this, int code)
{
    this->counters.send_dropped++;
    return code;
}

int
PeerLink_Send(PeerLink *this, Str address, Str key, Str bytes)
{
    const uint8_t *server = this->options.keys->public_key.bytes;
    Peer *peer;
    int code;

    if (key.length == PEER_KEY_BYTES) {
        server = (const uint8_t *)key.data;
    }
    if (!is_valid_address(address) ||
        (key.length != 0 && key.length != PEER_KEY_BYTES)) {
        return drop_message(this, ERR_INVALID);
    }
    if (bytes.length > PEER_MESSAGE_MAX_BYTES) {
        return drop_message(this, ERR_LIMIT);
    }
    if (!PeerKeys_Allows(this->options.keys, server)) {
        return drop_message(this, ERR_DENIED);
    }
    peer = find_peer(this, address, server);
    if (peer == NULL) {
        peer = open_peer(this, address, server);
    }
    if (peer == NULL) {
        return drop_message(this, ERR_INVALID);
    }
    peer->used_at = Clock_Now(Loop_Clock(this->loop));
    code = peer->pending_count > 0 ? ERR_LIMIT : send_now(this, peer, bytes);
    if (code == ERR_LIMIT && peer->pending_count < PENDING_MESSAGES_MAX) {
        queue_pending(this, peer, bytes);
        code = 0;
    }
    if (code < 0) {
        return drop_message(this, code);
    }
    if (!this->reading) {
        LoopTimer_Start(this->resume_timer, 1);
    }
    return 0;
}

const PeerLinkCounters *
PeerLink_Counters(const PeerLink *this)
{
    return &this->counters;
}
