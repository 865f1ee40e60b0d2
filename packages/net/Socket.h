#ifndef AGATECRANK_NET_SOCKET_H
#define AGATECRANK_NET_SOCKET_H

#include "Loop.h"
#include "Str.h"
#include "TlsContext.h"

/**
 * typedef Socket - TCP connection with an output buffer, plain or TLS
 *
 * Released after on_end, or by Socket_Close() or Socket_CloseGracefully().
 */
typedef struct Socket_ Socket;

/** enum SocketEnd - how a connection ended */
typedef enum SocketEnd_ {
    SOCKET_END_NOT_ESTABLISHED, /* no byte was sent */
    SOCKET_END_EOF,             /* the peer ended its output in order */
    SOCKET_END_ERROR,           /* reset, timeout or TLS error */
    SOCKET_END_LOOP_CLOSED,     /* Loop_Close() */
} SocketEnd;

/**
 * struct SocketHandlers_ - callbacks of the owner of a socket
 * @on_open: the connection is established, including the TLS handshake; not
 *           called for an accepted plain socket
 * @on_data: bytes from the peer, borrowed during the callback
 * @on_drained: the output buffer became empty
 * @on_end: the connection ended; last callback. The end does not depend on
 *          whether reading or writing has met it first.
 */
typedef struct SocketHandlers_ {
    void (*on_open)(void *user);
    void (*on_data)(void *user, Str data);
    void (*on_drained)(void *user);
    void (*on_end)(void *user, SocketEnd end);
} SocketHandlers;

/**
 * struct SocketOptions_ - settings of a connection
 * @tls: borrowed; NULL for plain TCP
 * @user_timeout_ms: TCP_USER_TIMEOUT, the time that sent bytes may remain
 *                   unacknowledged; 0 for the system default
 * @keep_alive_s: interval of TCP keep-alive probes, 0 for none; the
 *                connection ends after two probes without a response
 * @connect_timeout: time limit to establish the connection; 0 for none
 * @unsent_bytes_max: TCP_NOTSENT_LOWAT, the bytes that the system takes beyond
 *                    the receive window of the peer; 0 for the system default
 * @reads_after_failed_write: if the peer takes no more output, deliver the input
 *     that it has sent, and go on to its end; else the connection ends at once
 * @open_sockets: number from g_rc_box_new0(); includes this connection until
 *                its descriptor is closed. NULL for none.
 */
typedef struct SocketOptions_ {
    TlsContext *tls;
    int user_timeout_ms;
    int keep_alive_s;
    Micros connect_timeout;
    int unsent_bytes_max;
    bool reads_after_failed_write;
    unsigned *open_sockets;
} SocketOptions;

/** Socket_Accept() - take ownership of a connected descriptor */
Socket *Socket_Accept(Loop *loop, int fd, const SocketOptions *options,
                      const SocketHandlers *handlers, void *user);

/**
 * Socket_Connect() - start to connect
 * @address: IPv4 address of the peer
 *
 * Return: NULL with @error filled if the attempt fails immediately.
 */
Socket *Socket_Connect(Loop *loop, const char *address, uint16_t port,
                       const SocketOptions *options,
                       const SocketHandlers *handlers, void *user,
                       Error *error);

/** Socket_Write() - send, and keep the rest in the output buffer */
void Socket_Write(Socket *this, Str data);

/**
 * Socket_WriteSome() - send without keeping anything in the output buffer
 *
 * Return: number of bytes that the system has taken; the rest is to be written
 * after on_drained, see Socket_RequestDrained().
 */
size_t Socket_WriteSome(Socket *this, Str data);

/**
 * Socket_RequestDrained() - call on_drained once the connection takes more
 *
 * Not before the next event, also if the output buffer is empty.
 */
void Socket_RequestDrained(Socket *this);

/** Socket_Buffered() - bytes in the output buffer */
size_t Socket_Buffered(const Socket *this);

/**
 * Socket_IsSending() - whether the peer has not received all that was written
 *
 * False where the system can't tell.
 */
bool Socket_IsSending(const Socket *this);

/**
 * Socket_ReadNow() - handle the input that has arrived, unless reading is
 *     paused
 *
 * For decisions that depend on it: timers run before I/O events.
 */
void Socket_ReadNow(Socket *this);

/**
 * Socket_LimitReceiveBuffer() - bound what the system keeps unread
 *
 * Input beyond it is dropped and sent again by the peer.
 */
void Socket_LimitReceiveBuffer(Socket *this, int bytes);

/** Socket_Pause() - stop or resume reading from the peer */
void Socket_Pause(Socket *this, bool paused);

/** Socket_Close() - close immediately; no handler runs afterwards */
void Socket_Close(Socket *this);

/**
 * Socket_CloseGracefully() - send the output buffer, then close
 *
 * No handler runs afterwards. Input is read and discarded for up to a second,
 * because closing with unread input resets the connection, which may discard
 * the response.
 */
void Socket_CloseGracefully(Socket *this);

/**
 * Socket_CloseIdle() - close a connection on which no response is due
 *
 * No handler runs afterwards. Input that still arrives is left unread and
 * resets the connection.
 */
void Socket_CloseIdle(Socket *this);

/** Socket_IsFrom() - whether the peer has this IPv4 address */
bool Socket_IsFrom(const Socket *this, const char *address);

/**
 * Socket_PeerCommonName() - common name in the verified certificate of
 *     the peer, or an empty Str
 */
Str Socket_PeerCommonName(const Socket *this);

#endif
