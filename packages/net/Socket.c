#include "Socket.h"

#include <arpa/inet.h>
#include <errno.h>
#include <glib.h>
#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <openssl/err.h>
#include <openssl/x509.h>
#include <string.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#define READ_BUFFER_BYTES 16384
/* A larger output buffer is released once it is empty. */
#define OUTPUT_KEPT_BYTES 16384
/* Limits the reads of one event, so that a peer cannot starve the others. */
#define READS_PER_EVENT_MAX 8
#define KEEP_ALIVE_PROBES_MAX 2
#define LINGER_TIME_US (1 * MICROS_PER_S)
#define COMMON_NAME_BYTES 128

typedef enum SocketState_ {
    STATE_CONNECTING,
    STATE_HANDSHAKE,
    STATE_OPEN,
    STATE_LINGERING,
    STATE_CLOSED,
} SocketState;

struct Socket_ {
    Loop *loop;
    LoopIo *io;
    SSL *ssl;
    LoopTimer *timer; /* for connecting and lingering */
    SocketHandlers handlers;
    void *user;
    GByteArray *output;
    size_t output_sent;
    char common_name[COMMON_NAME_BYTES];
    unsigned *open_sockets;
    SocketState state;
    int fd;
    unsigned active_callbacks; /* callbacks on the call stack */
    bool paused;
    bool shut_down;
    bool tls_wants_write;
    bool drained_requested;
    bool reads_after_failed_write;
    bool write_failed; /* to be reported by the next event */
    bool reset;        /* a write has met the reset of the connection */
};

static void
release_if_closed(Socket *this)
{
    if (this->state != STATE_CLOSED || this->active_callbacks > 0) {
        return;
    }
    g_byte_array_free(this->output, TRUE);
    g_free(this);
}

static void
close_descriptor(Socket *this)
{
    if (this->state == STATE_CLOSED) {
        return;
    }
    this->state = STATE_CLOSED;
    LoopTimer_Destroy(this->timer);
    LoopIo_Destroy(this->io);
    if (this->ssl != NULL) {
        SSL_free(this->ssl);
    }
    close(this->fd);
    if (this->open_sockets != NULL) {
        (*this->open_sockets)--;
        g_rc_box_release(this->open_sockets);
    }
}

static void
end_connection(Socket *this, SocketEnd reason)
{
    bool notify =
        this->state != STATE_LINGERING && this->state != STATE_CLOSED;

    close_descriptor(this);
    if (notify) {
        this->handlers.on_end(this->user, reason);
    }
}

static bool
wants_write_event(const Socket *this)
{
    /* The input that has arrived is delivered first. */
    if (this->write_failed) {
        return !this->reads_after_failed_write || !this->paused;
    }
    return Socket_Buffered(this) > 0 || this->tls_wants_write ||
           this->drained_requested;
}

static void
update_events(Socket *this)
{
    unsigned events = 0;

    if (this->state == STATE_CLOSED) {
        return;
    }
    if (this->state == STATE_CONNECTING) {
        events = LOOP_IO_WRITE;
    }
    else {
        events = this->paused ? 0 : LOOP_IO_READ;
        if (wants_write_event(this)) {
            events |= LOOP_IO_WRITE;
        }
    }
    LoopIo_SetEvents(this->io, events);
}

/* SSL_get_error() goes by the errors of the thread: those of other connections
 * have to be cleared before each operation. */
static bool
tls_would_block(Socket *this, int result)
{
    int error = SSL_get_error(this->ssl, result);

    this->tls_wants_write = error == SSL_ERROR_WANT_WRITE;
    return error == SSL_ERROR_WANT_READ || error == SSL_ERROR_WANT_WRITE;
}

/* Returns the number of bytes, 0 at EOF, -1 if it would block or -2 on an
 * error. */
static ssize_t
receive(Socket *this, char *buffer, size_t length)
{
    ssize_t n;

    if (this->ssl != NULL) {
        ERR_clear_error();
        n = SSL_read(this->ssl, buffer, (int)length);
        if (n > 0) {
            return n;
        }
        if (SSL_get_error(this->ssl, (int)n) == SSL_ERROR_ZERO_RETURN) {
            return 0;
        }
        return tls_would_block(this, (int)n) ? -1 : -2;
    }
    n = recv(this->fd, buffer, length, 0);
    if (n >= 0) {
        return n;
    }
    return errno == EAGAIN || errno == EINTR ? -1 : -2;
}

/* Reading meets an end without an error after a write that failed: the write has
 * taken the error of the connection. EPIPE means that the peer had ended its
 * output before, so that the input is complete. TLS has an end of its own. */
static ssize_t
fail_write(Socket *this, bool input_complete)
{
    this->write_failed = true;
    this->reset = !input_complete;
    return -2;
}

/* Returns the number of bytes, -1 if it would block or -2 on an error. */
static ssize_t
transmit(Socket *this, const void *data, size_t length)
{
    ssize_t n;

    if (this->ssl != NULL) {
        ERR_clear_error();
        n = SSL_write(this->ssl, data, (int)length);
        if (n > 0) {
            this->tls_wants_write = false;
            return n;
        }
        return tls_would_block(this, (int)n) ? -1 : fail_write(this, true);
    }
    n = send(this->fd, data, length, MSG_NOSIGNAL);
    if (n >= 0) {
        return n;
    }
    return errno == EAGAIN || errno == EINTR
               ? -1
               : fail_write(this, errno == EPIPE);
}

static void
clear_output(Socket *this)
{
    if (this->output->len > OUTPUT_KEPT_BYTES) {
        g_byte_array_free(this->output, TRUE);
        this->output = g_byte_array_new();
    }
    g_byte_array_set_size(this->output, 0);
    this->output_sent = 0;
}

/* Returns false if a write has failed. */
static bool
flush(Socket *this)
{
    while (Socket_Buffered(this) > 0) {
        ssize_t n = transmit(this, this->output->data + this->output_sent,
                             Socket_Buffered(this));

        if (n == -1) {
            return true;
        }
        if (n < 0) {
            return false;
        }
        this->output_sent += (size_t)n;
    }
    clear_output(this);
    return true;
}

static void
shut_down_when_flushed(Socket *this)
{
    if (Socket_Buffered(this) > 0 || this->shut_down) {
        return;
    }
    this->shut_down = true;
    if (this->ssl != NULL) {
        SSL_shutdown(this->ssl);
    }
    shutdown(this->fd, SHUT_WR);
}

/* Returns whether more input may be waiting. */
static bool
read_peer(Socket *this)
{
    char buffer[READ_BUFFER_BYTES];

    for (int i = 0; i < READS_PER_EVENT_MAX && this->state != STATE_CLOSED;
         i++) {
        ssize_t n = receive(this, buffer, sizeof(buffer));

        if (n == -1) {
            return false;
        }
        if (n <= 0) {
            end_connection(this, n == 0 && !this->reset ? SOCKET_END_EOF
                                                        : SOCKET_END_ERROR);
            return false;
        }
        if (this->state != STATE_LINGERING) {
            this->handlers.on_data(this->user, (Str){buffer, (size_t)n});
        }
        if ((size_t)n < sizeof(buffer) && this->ssl == NULL) {
            return true;
        }
        if (this->paused) {
            return true;
        }
    }
    return true;
}

static void
read_common_name(Socket *this)
{
    X509 *certificate = SSL_get1_peer_certificate(this->ssl);

    if (certificate == NULL) {
        return;
    }
    if (SSL_get_verify_result(this->ssl) == X509_V_OK) {
        X509_NAME_get_text_by_NID(X509_get_subject_name(certificate),
                                  NID_commonName, this->common_name,
                                  sizeof(this->common_name));
    }
    X509_free(certificate);
}

static void
write_peer(Socket *this)
{
    bool pending = Socket_Buffered(this) > 0 || this->drained_requested;

    this->drained_requested = false;
    if (!flush(this)) {
        return;
    }
    if (this->state == STATE_LINGERING) {
        shut_down_when_flushed(this);
        return;
    }
    if (pending && Socket_Buffered(this) == 0) {
        this->handlers.on_drained(this->user);
    }
}

/* The peer may have sent a whole response before. */
static void
handle_failed_write(Socket *this)
{
    bool read = this->reads_after_failed_write && this->state == STATE_OPEN;

    if (read && (this->paused || read_peer(this))) {
        return;
    }
    end_connection(this, SOCKET_END_ERROR);
}

static void
mark_open(Socket *this)
{
    LoopTimer_Stop(this->timer);
    this->state = STATE_OPEN;
    this->handlers.on_open(this->user);
    if (this->state == STATE_OPEN) {
        write_peer(this);
    }
}

static void
continue_handshake(Socket *this)
{
    int result;

    ERR_clear_error();
    result = SSL_do_handshake(this->ssl);
    if (result == 1) {
        this->tls_wants_write = false;
        read_common_name(this);
        mark_open(this);
        return;
    }
    if (!tls_would_block(this, result)) {
        end_connection(this, SOCKET_END_NOT_ESTABLISHED);
    }
}

static void
finish_connecting(Socket *this)
{
    int code = 0;
    socklen_t length = sizeof(code);

    if (getsockopt(this->fd, SOL_SOCKET, SO_ERROR, &code, &length) != 0 ||
        code != 0) {
        end_connection(this, SOCKET_END_NOT_ESTABLISHED);
        return;
    }
    if (this->ssl == NULL) {
        mark_open(this);
        return;
    }
    this->state = STATE_HANDSHAKE;
    continue_handshake(this);
}

static void
on_events(void *user, unsigned events)
{
    Socket *this = user;

    this->active_callbacks++;
    if ((events & LOOP_IO_CLOSING) != 0) {
        end_connection(this, SOCKET_END_LOOP_CLOSED);
    }
    else if (this->state == STATE_CONNECTING) {
        finish_connecting(this);
    }
    else if (this->state == STATE_HANDSHAKE) {
        continue_handshake(this);
    }
    else {
        if ((events & LOOP_IO_WRITE) != 0 && !this->write_failed) {
            write_peer(this);
        }
        if (this->write_failed) {
            handle_failed_write(this);
        }
        else if ((events & LOOP_IO_READ) != 0 && this->state != STATE_CLOSED) {
            read_peer(this);
        }
    }
    update_events(this);
    this->active_callbacks--;
    release_if_closed(this);
}

static void
set_options(int fd, const SocketOptions *options)
{
    int on = 1, probes = KEEP_ALIVE_PROBES_MAX;

    /* With Nagle's algorithm, a second small write would wait for the delayed
     * acknowledgement of the first. */
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    if (options->user_timeout_ms > 0) {
        setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT,
                   &options->user_timeout_ms,
                   sizeof(options->user_timeout_ms));
    }
    if (options->unsent_bytes_max > 0) {
        setsockopt(fd, IPPROTO_TCP, TCP_NOTSENT_LOWAT,
                   &options->unsent_bytes_max,
                   sizeof(options->unsent_bytes_max));
    }
    if (options->keep_alive_s > 0) {
        setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
        setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &options->keep_alive_s,
                   sizeof(options->keep_alive_s));
        setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &options->keep_alive_s,
                   sizeof(options->keep_alive_s));
        setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof(probes));
    }
}

static void
on_timer(void *user)
{
    Socket *this = user;

    if (this->state == STATE_LINGERING) {
        Socket_Close(this);
        return;
    }
    this->active_callbacks++;
    end_connection(this, SOCKET_END_NOT_ESTABLISHED);
    this->active_callbacks--;
    release_if_closed(this);
}

static Socket *
create_socket(Loop *loop, int fd, SocketState state, const char *address,
              const SocketOptions *options, const SocketHandlers *handlers,
              void *user)
{
    Socket *this = g_new0(Socket, 1);

    this->loop = loop;
    this->fd = fd;
    this->state = state;
    this->handlers = *handlers;
    this->user = user;
    this->output = g_byte_array_new();
    this->io = LoopIo_Create(loop, fd, on_events, this);
    this->timer = LoopTimer_Create(loop, on_timer, this);
    this->reads_after_failed_write = options->reads_after_failed_write;
    if (state == STATE_CONNECTING && options->connect_timeout > 0) {
        LoopTimer_Start(this->timer, options->connect_timeout);
    }
    set_options(fd, options);
    if (options->open_sockets != NULL) {
        this->open_sockets = g_rc_box_acquire(options->open_sockets);
        (*this->open_sockets)++;
    }
    if (options->tls != NULL) {
        this->ssl = TlsContext_CreateSession(options->tls, fd, address);
    }
    update_events(this);
    return this;
}

Socket *
Socket_Accept(Loop *loop, int fd, const SocketOptions *options,
              const SocketHandlers *handlers, void *user)
{
    return create_socket(loop, fd,
                         options->tls != NULL ? STATE_HANDSHAKE : STATE_OPEN,
                         NULL, options, handlers, user);
}

Socket *
Socket_Connect(Loop *loop, const char *address, uint16_t port,
               const SocketOptions *options, const SocketHandlers *handlers,
               void *user, Error *error)
{
    struct sockaddr_in peer_address = {.sin_family = AF_INET,
                                       .sin_port = htons(port)};
    int fd = -1;

    if (inet_pton(AF_INET, address, &peer_address.sin_addr) == 1) {
        fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    }
    if (fd < 0) {
        Error_Set(error, ERR_IO, "connect", Str_FromC(address),
                  "cannot create a socket, or the address is not IPv4");
        return NULL;
    }
    if (connect(fd, (struct sockaddr *)&peer_address, sizeof(peer_address)) <
            0 &&
        errno != EINPROGRESS) {
        Error_Set(error, ERR_IO, "connect", Str_FromC(address),
                  "cannot connect to port %u: %s", port, strerror(errno));
        close(fd);
        return NULL;
    }
    return create_socket(loop, fd, STATE_CONNECTING, address, options,
                         handlers, user);
}

size_t
Socket_WriteSome(Socket *this, Str data)
{
    size_t sent = 0;

    if (this->state != STATE_OPEN || Socket_Buffered(this) > 0) {
        return 0;
    }
    while (sent < data.length && !this->write_failed) {
        ssize_t n = transmit(this, data.data + sent, data.length - sent);

        if (n < 0) {
            break;
        }
        sent += (size_t)n;
    }
    update_events(this);
    return sent;
}

void
Socket_Write(Socket *this, Str data)
{
    size_t sent = Socket_WriteSome(this, data);

    if (this->state == STATE_CLOSED || sent == data.length) {
        return;
    }
    g_byte_array_append(this->output, (const guint8 *)data.data + sent,
                        (guint)(data.length - sent));
    update_events(this);
}

void
Socket_RequestDrained(Socket *this)
{
    this->drained_requested = true;
    update_events(this);
}

size_t
Socket_Buffered(const Socket *this)
{
    return this->output->len - this->output_sent;
}

bool
Socket_IsSending(const Socket *this)
{
    int bytes = 0;

    return Socket_Buffered(this) > 0 ||
           (ioctl(this->fd, SIOCOUTQ, &bytes) == 0 && bytes > 0);
}

void
Socket_ReadNow(Socket *this)
{
    if (this->state != STATE_OPEN || this->paused) {
        return;
    }
    this->active_callbacks++;
    read_peer(this);
    update_events(this);
    this->active_callbacks--;
    release_if_closed(this);
}

void
Socket_Pause(Socket *this, bool paused)
{
    if (this->paused != paused) {
        this->paused = paused;
        update_events(this);
    }
}

void
Socket_LimitReceiveBuffer(Socket *this, int bytes)
{
    setsockopt(this->fd, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof(bytes));
}

void
Socket_Close(Socket *this)
{
    close_descriptor(this);
    release_if_closed(this);
}

void
Socket_CloseGracefully(Socket *this)
{
    if (this->state != STATE_OPEN || Loop_IsClosing(this->loop)) {
        Socket_Close(this);
        return;
    }
    this->state = STATE_LINGERING;
    this->paused = false;
    LoopTimer_Start(this->timer, LINGER_TIME_US);
    shut_down_when_flushed(this);
    update_events(this);
}

void
Socket_CloseIdle(Socket *this)
{
    if (this->state == STATE_OPEN && this->ssl != NULL) {
        SSL_shutdown(this->ssl);
    }
    Socket_Close(this);
}

bool
Socket_IsFrom(const Socket *this, const char *address)
{
    struct sockaddr_in peer = {0};
    socklen_t length = sizeof(peer);
    struct in_addr expected;

    return getpeername(this->fd, (struct sockaddr *)&peer, &length) == 0 &&
           peer.sin_family == AF_INET &&
           inet_pton(AF_INET, address, &expected) == 1 &&
           peer.sin_addr.s_addr == expected.s_addr;
}

Str
Socket_PeerCommonName(const Socket *this)
{
    return Str_FromC(this->common_name);
}
