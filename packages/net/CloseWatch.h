#ifndef AGATECRANK_NET_CLOSEWATCH_H
#define AGATECRANK_NET_CLOSEWATCH_H

#include "Loop.h"

/**
 * typedef CloseWatch - tells that the peers of connections went away
 *
 * libwebsockets does not read from a connection while the answer is awaited,
 * so it does not see the end of the stream by itself.
 */
typedef struct CloseWatch_ CloseWatch;

/**
 * typedef CloseWatchHandler - one report; CloseWatch_Start() asks for the next
 * @closed: the peer has closed; otherwise the socket can be written
 */
typedef void CloseWatchHandler(void *user, void *connection, bool closed);

/** CloseWatch_Create() - NULL with @error filled on failure */
CloseWatch *CloseWatch_Create(Loop *loop, CloseWatchHandler *handler,
                              void *user, Error *error);

/** CloseWatch_Destroy() - release, after Loop_Close(); NULL is allowed */
void CloseWatch_Destroy(CloseWatch *this);

/**
 * CloseWatch_Start() - watch the socket @fd until CloseWatch_Stop()
 * @writable: also report that the socket can be written
 *
 * The socket leaves the set by itself when it is closed.
 *
 * Return: true if this connection was watched before.
 */
bool CloseWatch_Start(CloseWatch *this, int fd, void *connection,
                      bool writable);

/** CloseWatch_Stop() - no more reports about @fd; it may be closed already */
void CloseWatch_Stop(CloseWatch *this, int fd);

#endif
