#ifndef AGATECRANK_STANDINS_TIMER_H
#define AGATECRANK_STANDINS_TIMER_H

#include <glib.h>
#include <libwebsockets.h>

#include "Clock.h"

/**
 * typedef TimerQueue - timers of a process, exact to some 0.1 ms
 *
 * The poll loop of libwebsockets (4.1.6) counts in whole ms and spins through
 * the last one before a timer, which costs a whole core at a few hundred
 * timers per second. One timerfd wakes it instead.
 */
typedef struct TimerQueue_ TimerQueue;

/** typedef Timer - embedded in the object that it wakes; zero when idle */
typedef struct Timer_ Timer;

struct Timer_ {
    TimerQueue *queue; /* NULL unless running */
    Micros due;
    uint64_t order;
    void (*callback)(Timer *timer);
};

/** TIMER_OWNER() - the object of @type that has @timer as its @field */
#define TIMER_OWNER(timer, type, field)                                       \
    ((type *)(void *)((char *)(timer)-offsetof(type, field)))

/** TimerQueue_Create() - attach a queue to a new context */
TimerQueue *TimerQueue_Create(struct lws_context *context);

/** TimerQueue_Destroy() - release; only after the context is destroyed */
void TimerQueue_Destroy(TimerQueue *this);

/** Timer_Start() - call @callback once after @delay; replaces a former one */
void Timer_Start(Timer *this, TimerQueue *queue, Micros delay,
                 void (*callback)(Timer *timer));

/** Timer_Stop() - no call follows; no effect on an idle timer */
void Timer_Stop(Timer *this);

#endif
