#ifndef AGATECRANK_STANDINS_HTTPLOOP_H
#define AGATECRANK_STANDINS_HTTPLOOP_H

#include <stdbool.h>

#include "Timer.h"

/** struct HttpLoop_ - the event loop of a process, and its timers */
typedef struct HttpLoop_ {
    struct lws_context *context;
    TimerQueue *timers;
} HttpLoop;

/** HttpLoop_Create() - also raises the limit on open files, if allowed */
HttpLoop *HttpLoop_Create(void);

/**
 * HttpLoop_Close() - close all connections; their owners are told
 *
 * Servers and clients are destroyed between this and HttpLoop_Destroy().
 */
void HttpLoop_Close(HttpLoop *this);

/** HttpLoop_Destroy() - release the loop */
void HttpLoop_Destroy(HttpLoop *this);

/**
 * HttpLoop_Run() - serve until SIGTERM, SIGINT or HttpLoop_Stop()
 * @spin: never sleep. This takes a whole core, but spares the time that a
 *        busy machine needs to wake a sleeping process.
 */
void HttpLoop_Run(HttpLoop *this, bool spin);

/**
 * HttpLoop_Listen() - a listening socket on 127.0.0.1 that does not block
 * @port: 0 for a free one; receives the one in use
 *
 * Return: the descriptor, or ERR_UNAVAILABLE.
 */
int HttpLoop_Listen(int *port);

/** HttpLoop_Stop() - make HttpLoop_Run() return */
void HttpLoop_Stop(void);

#endif
