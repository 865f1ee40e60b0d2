#ifndef AGATECRANK_NET_SOCKET_H
#define AGATECRANK_NET_SOCKET_H

#include "Loop.h"
#include "Str.h"
#include "TlsContext.h"

/**
 * typedef Socket - one TCP connection with an output buffer, plain or TLS
 *
 * It is released by its last handler, Socket_Close() or Socket_CloseGracefully().
 */
typedef struct Socket_ Socket;

/** enum SocketEnd - how a connection ended */
typedef enum SocketEnd_ {
    SOCKET_END_NOT_ESTABLISHED, /* never established; no byte was sent */
    SOCKET_END_EOF,             /* the peer closed in an orderly way */
    SOCKET_END_ERROR,           /* reset, timed out, or a TLS failure */
    SOCKET_END_LOOP_CLOSED,     /* the loop closes */
} SocketEnd;

/**
 * struct SocketHandlers_ - what the owner does
 * @on_open: bytes may be written; not called for an accepted plain socket
 * @on_data: bytes from the peer, borrowed during the call
 * @on_drained: the output buffer became empty
 * @on_end: the connection is over; last handler
 */
typedef struct SocketHandlers_ {
    void (*on_open)(void *user);
    void (*on_data)(void *user, Str data);
    void (*on_drained)(void *user);
    void (*on_end)(void *user, SocketEnd end);
} SocketHandlers;

/**
 * struct SocketOptions_ - settings of one connection
 * @tls: borrowed; NULL for plain TCP
 * @user_timeout_ms: bound on unacknowledged bytes; 0 for the system's
 * @keep_alive_s: interval of TCP keep-alive probes, 0 for none; the
 *                connection is broken after two without an answer
 * @connect_timeout: time to establish the connection, 0 for no bound
 */
typedef struct SocketOptions_ {
    TlsContext *tls;
    int user_timeout_ms;
    int keep_alive_s;
    Micros connect_timeout;
} SocketOptions;

/** Socket_Accept() - take over a connected descriptor */
Socket *Socket_Accept(Loop *loop, int fd, const SocketOptions *options,
                      const SocketHandlers *handlers, void *user);

/**
 * Socket_Connect() - start to connect to @address, an IP number
 *
 * Return: NULL with @error filled if the attempt fails at once.
 */
Socket *Socket_Connect(Loop *loop, const char *address, uint16_t port,
                       const SocketOptions *options,
                       const SocketHandlers *handlers, void *user,
                       Error *error);

/** Socket_Write() - append to the output buffer and send what fits */
void Socket_Write(Socket *this, Str data);

/** Socket_Buffered() - bytes not yet given to the system */
size_t Socket_Buffered(const Socket *this);

/** Socket_Pause() - stop or resume reading from the peer */
void Socket_Pause(Socket *this, bool paused);

/** Socket_Close() - close now; no handler runs any more */
void Socket_Close(Socket *this);

/**
 * Socket_CloseGracefully() - send what is buffered, then close; no handler runs
 *
 * What the peer still sends is read and dropped for up to a second, because
 * closing with unread bytes would reset the connection and lose the answer.
 */
void Socket_CloseGracefully(Socket *this);

/** Socket_PeerCommonName() - common name of the peer's verified certificate */
Str Socket_PeerCommonName(const Socket *this);

#endif
