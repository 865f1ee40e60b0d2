#ifndef AGATECRANK_STANDINS_HTTPLOOP_H
#define AGATECRANK_STANDINS_HTTPLOOP_H

#include <stdbool.h>

#include "Timer.h"

/** struct HttpLoop_ - event loop of a process with its timers */
typedef struct HttpLoop_ {
    struct lws_context *context;
    TimerQueue *timers;
} HttpLoop;

/**
 * HttpLoop_Create() - new loop
 *
 * Also raises the limit on open files, if allowed, and installs the handlers
 * of SIGTERM, SIGINT and SIGPIPE.
 */
HttpLoop *HttpLoop_Create(void);

/**
 * HttpLoop_Close() - close all connections and call their handlers
 *
 * Servers and clients are destroyed between this and HttpLoop_Destroy().
 */
void HttpLoop_Close(HttpLoop *this);

/** HttpLoop_Destroy() - free the loop */
void HttpLoop_Destroy(HttpLoop *this);

/**
 * HttpLoop_Run() - handle events until SIGTERM, SIGINT or HttpLoop_Stop()
 * @spin: poll without sleeping. This takes a whole core, but avoids the delay
 *        with which a busy machine wakes a sleeping process.
 */
void HttpLoop_Run(HttpLoop *this, bool spin);

/**
 * HttpLoop_Listen() - open a non-blocking listening socket on 127.0.0.1
 * @port: 0 for a free port; set to the port in use
 *
 * Return: the file descriptor, or ERR_UNAVAILABLE.
 */
int HttpLoop_Listen(int *port);

/** HttpLoop_Stop() - make HttpLoop_Run() return */
void HttpLoop_Stop(void);

#endif
