#ifndef AGATECRANK_STANDINS_TIMER_H
#define AGATECRANK_STANDINS_TIMER_H

#include <glib.h>
#include <libwebsockets.h>

#include "Clock.h"

/**
 * typedef TimerQueue - timers of a process, accurate to about 0.1 ms
 *
 * The poll loop of libwebsockets (4.1.6) has a resolution of 1 ms and spins
 * during the last one before a timer, which takes a whole core at a few
 * hundred timers per second. This queue wakes the loop by one timerfd instead.
 */
typedef struct TimerQueue_ TimerQueue;

/** typedef Timer - one-shot timer, a field of its owner; initially all zero */
typedef struct Timer_ Timer;

struct Timer_ {
    TimerQueue *queue; /* NULL unless running */
    Micros due;        /* monotonic */
    uint64_t sequence; /* order of timers with the same due time */
    void (*callback)(Timer *timer);
};

/** TIMER_OWNER() - the object of @type that has @timer as its @field */
#define TIMER_OWNER(timer, type, field)                                       \
    ((type *)(void *)((char *)(timer)-offsetof(type, field)))

/** TimerQueue_Create() - new queue in the event loop of @context */
TimerQueue *TimerQueue_Create(struct lws_context *context);

/** TimerQueue_Destroy() - free; only after the context is destroyed */
void TimerQueue_Destroy(TimerQueue *this);

/** Timer_Start() - call @callback once after @delay; restarts the timer */
void Timer_Start(Timer *this, TimerQueue *queue, Micros delay,
                 void (*callback)(Timer *timer));

/** Timer_Stop() - cancel the timer; no effect if it is not running */
void Timer_Stop(Timer *this);

#endif
