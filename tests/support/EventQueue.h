#ifndef AGATECRANK_TESTS_EVENTQUEUE_H
#define AGATECRANK_TESTS_EVENTQUEUE_H

#include <stdbool.h>

#include "Clock.h"

/**
 * typedef EventQueue - queue of timed events for simulations
 *
 * Events with the same time run in the order in which they were added, so
 * that a simulation depends on its seed only.
 */
typedef struct EventQueue_ EventQueue;

/** typedef EventHandler - called with the arguments of EventQueue_Add() */
typedef void EventHandler(void *user, uint64_t argument);

/** EventQueue_Create() - an empty queue that advances the manual @clock */
EventQueue *EventQueue_Create(Clock *clock);

/** EventQueue_Destroy() - free the queue; pending events do not run */
void EventQueue_Destroy(EventQueue *this);

/** EventQueue_Add() - call @handler after @delay microseconds */
void EventQueue_Add(EventQueue *this, Micros delay, EventHandler *handler,
                    void *user, uint64_t argument);

/** EventQueue_RunUntil() - run all events up to @time, the new clock time */
void EventQueue_RunUntil(EventQueue *this, Micros time);

/** EventQueue_Pending() - number of pending events */
uint64_t EventQueue_Pending(const EventQueue *this);

#endif
