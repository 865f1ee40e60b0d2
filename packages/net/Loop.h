#ifndef AGATECRANK_NET_LOOP_H
#define AGATECRANK_NET_LOOP_H

#include "Clock.h"
#include "Error.h"
#include "EventLog.h"

/** typedef Loop - event loop of the process: sockets, timers, signals */
typedef struct Loop_ Loop;

/** typedef LoopTimer - one-shot timer; can be restarted */
typedef struct LoopTimer_ LoopTimer;

/** typedef LoopHandler - callback of a timer, task or watched descriptor */
typedef void LoopHandler(void *user);

/** typedef LoopSignalHandler - receives the number of the signal */
typedef void LoopSignalHandler(void *user, int signal);

struct lws;
struct lws_context;
struct lws_vhost;

/**
 * Loop_Create() - create a libev loop that libwebsockets shares
 * @clock: borrowed
 * @log: borrowed; receives the errors of libwebsockets and what HttpClient
 *       rejects, may be NULL
 *
 * Return: NULL with @error filled if libwebsockets cannot be initialized.
 */
Loop *Loop_Create(const Clock *clock, EventLog *log, Error *error);

/**
 * Loop_Close() - close all sockets and call their last handlers
 *
 * Afterwards no request can be started and no timer runs.
 */
void Loop_Close(Loop *this);

/** Loop_IsClosing() - true once Loop_Close() was called */
bool Loop_IsClosing(const Loop *this);

/** Loop_Destroy() - close the loop and release it; NULL is allowed */
void Loop_Destroy(Loop *this);

/** Loop_Log() - log of Loop_Create() */
EventLog *Loop_Log(const Loop *this);

/** Loop_Run() - process events until Loop_Stop() */
void Loop_Run(Loop *this);

/** Loop_RunOnce() - run one iteration: wait for events and handle them */
void Loop_RunOnce(Loop *this);

/** Loop_Stop() - make Loop_Run() return after the current iteration */
void Loop_Stop(Loop *this);

/** Loop_Iterations() - iterations so far; rises fast in a busy loop */
uint64_t Loop_Iterations(const Loop *this);

/** Loop_Clock() - the clock given at creation */
const Clock *Loop_Clock(const Loop *this);

/**
 * Loop_Watch() - call @handler whenever @fd is readable
 *
 * The loop closes @fd in Loop_Close().
 *
 * Return: 0 or ERR_IO.
 */
int Loop_Watch(Loop *this, int fd, LoopHandler *handler, void *user,
               Error *error);

/** typedef LoopIo - readiness events of a descriptor; the owner closes it */
typedef struct LoopIo_ LoopIo;

/** enum LoopIoEvent - events of a LoopIo, a bit mask */
enum LoopIoEvent {
    LOOP_IO_READ = 1,
    LOOP_IO_WRITE = 2,
    LOOP_IO_CLOSING = 4, /* Loop_Close(): destroy the LoopIo now */
};

/** typedef LoopIoHandler - @events is a bit mask of enum LoopIoEvent */
typedef void LoopIoHandler(void *user, unsigned events);

/** LoopIo_Create() - create a LoopIo without events */
LoopIo *LoopIo_Create(Loop *loop, int fd, LoopIoHandler *handler, void *user);

/** LoopIo_SetEvents() - set the events to report from now on */
void LoopIo_SetEvents(LoopIo *this, unsigned events);

/** LoopIo_Destroy() - allowed in the handler; NULL is allowed */
void LoopIo_Destroy(LoopIo *this);

/** typedef LoopTask - handler that runs before the loop waits for events */
typedef struct LoopTask_ LoopTask;

/** LoopTask_Create() - create a task that is not scheduled */
LoopTask *LoopTask_Create(Loop *loop, LoopHandler *handler, void *user);

/** LoopTask_Schedule() - run the handler once, before the next wait */
void LoopTask_Schedule(LoopTask *this);

/** LoopTask_Destroy() - allowed in the handler; NULL is allowed */
void LoopTask_Destroy(LoopTask *this);

/**
 * Loop_WatchSignals() - call @handler on SIGTERM, SIGINT and SIGHUP
 *
 * Return: 0 or ERR_IO.
 */
int Loop_WatchSignals(Loop *this, LoopSignalHandler *handler, void *user,
                      Error *error);

/** LoopTimer_Create() - create a stopped timer */
LoopTimer *LoopTimer_Create(Loop *loop, LoopHandler *handler, void *user);

/** LoopTimer_Start() - start or restart the timer with @delay */
void LoopTimer_Start(LoopTimer *this, Micros delay);

/** LoopTimer_Stop() - stop the timer */
void LoopTimer_Stop(LoopTimer *this);

/** LoopTimer_Destroy() - stop and release; NULL is allowed */
void LoopTimer_Destroy(LoopTimer *this);

#endif
