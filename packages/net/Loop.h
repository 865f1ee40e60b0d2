#ifndef AGATECRANK_NET_LOOP_H
#define AGATECRANK_NET_LOOP_H

#include "Clock.h"
#include "Error.h"
#include "EventLog.h"

/** typedef Loop - the event loop of the process: sockets, timers, signals */
typedef struct Loop_ Loop;

/** typedef LoopTimer - runs a handler once after a delay; can be restarted */
typedef struct LoopTimer_ LoopTimer;

typedef void LoopHandler(void *user);

/** typedef LoopSignalHandler - receives the number of the signal */
typedef void LoopSignalHandler(void *user, int signal);

struct lws;
struct lws_context;
struct lws_vhost;

/**
 * Loop_Create() - a loop on libev, shared with libwebsockets
 * @clock: borrowed
 * @log: borrowed; receives the library's own errors, may be NULL
 *
 * Return: NULL with @error filled if the library refuses.
 */
Loop *Loop_Create(const Clock *clock, EventLog *log, Error *error);

/**
 * Loop_Close() - close all sockets; their last handlers run now
 *
 * Afterwards no request can be started and timers do not run.
 */
void Loop_Close(Loop *this);

/** Loop_IsClosing() - Loop_Close() has begun */
bool Loop_IsClosing(const Loop *this);

/** Loop_Destroy() - close if needed and release; NULL is allowed */
void Loop_Destroy(Loop *this);

/** Loop_Run() - serve until Loop_Stop() */
void Loop_Run(Loop *this);

/** Loop_RunOnce() - wait for events once and handle them */
void Loop_RunOnce(Loop *this);

/** Loop_Stop() - let Loop_Run() return after the current handler */
void Loop_Stop(Loop *this);

/** Loop_Iterations() - times the loop woke up; a fast rise shows that it spins */
uint64_t Loop_Iterations(const Loop *this);

/** Loop_Clock() - the clock given at creation */
const Clock *Loop_Clock(const Loop *this);

/**
 * Loop_Watch() - call @handler whenever @fd can be read
 *
 * The loop takes no ownership of @fd's meaning but closes it at its end.
 *
 * Return: 0 or ERR_IO.
 */
int Loop_Watch(Loop *this, int fd, LoopHandler *handler, void *user,
               Error *error);

/** typedef LoopIo - readiness of one descriptor, which its owner closes */
typedef struct LoopIo_ LoopIo;

/** enum LoopIoEvent - what a LoopIo reports, as a set of bits */
enum LoopIoEvent {
    LOOP_IO_READ = 1,
    LOOP_IO_WRITE = 2,
    LOOP_IO_CLOSING = 4, /* the loop ends; destroy the LoopIo now */
};

/** typedef LoopIoHandler - @events is a set of enum LoopIoEvent */
typedef void LoopIoHandler(void *user, unsigned events);

/** LoopIo_Create() - reports nothing until LoopIo_SetEvents() */
LoopIo *LoopIo_Create(Loop *loop, int fd, LoopIoHandler *handler, void *user);

/** LoopIo_SetEvents() - the events to report from now on */
void LoopIo_SetEvents(LoopIo *this, unsigned events);

/** LoopIo_Destroy() - allowed in the handler; NULL is allowed */
void LoopIo_Destroy(LoopIo *this);

/** typedef LoopTask - runs a handler before the loop waits again */
typedef struct LoopTask_ LoopTask;

/** LoopTask_Create() - a task that is not scheduled */
LoopTask *LoopTask_Create(Loop *loop, LoopHandler *handler, void *user);

/** LoopTask_Schedule() - run the handler once, after the current one */
void LoopTask_Schedule(LoopTask *this);

/** LoopTask_Destroy() - allowed in the handler; NULL is allowed */
void LoopTask_Destroy(LoopTask *this);

/** Loop_WatchSignals() - SIGTERM, SIGINT and SIGHUP go to @handler */
int Loop_WatchSignals(Loop *this, LoopSignalHandler *handler, void *user,
                      Error *error);

/** LoopTimer_Create() - a stopped timer */
LoopTimer *LoopTimer_Create(Loop *loop, LoopHandler *handler, void *user);

/** LoopTimer_Start() - run the handler after @delay, dropping an older one */
void LoopTimer_Start(LoopTimer *this, Micros delay);

/** LoopTimer_Stop() - forget a pending run */
void LoopTimer_Stop(LoopTimer *this);

/** LoopTimer_Destroy() - stop and release; NULL is allowed */
void LoopTimer_Destroy(LoopTimer *this);

#endif
