#ifndef AGATECRANK_TESTS_EVENTQUEUE_H
#define AGATECRANK_TESTS_EVENTQUEUE_H

#include <stdbool.h>

#include "Clock.h"

/**
 * typedef EventQueue - timed callbacks that drive cores in one process
 *
 * Events of the same time run in the order in which they were added, so a
 * run depends on its seed only.
 */
typedef struct EventQueue_ EventQueue;

/** typedef EventHandler - runs at its time with what was given at adding */
typedef void EventHandler(void *user, uint64_t argument);

/** EventQueue_Create() - an empty queue that moves the manual @clock */
EventQueue *EventQueue_Create(Clock *clock);

/** EventQueue_Destroy() - release the queue; pending events do not run */
void EventQueue_Destroy(EventQueue *this);

/** EventQueue_Add() - run @handler after @delay microseconds */
void EventQueue_Add(EventQueue *this, Micros delay, EventHandler *handler,
                    void *user, uint64_t argument);

/** EventQueue_RunUntil() - run all events up to @time, then set the clock */
void EventQueue_RunUntil(EventQueue *this, Micros time);

/** EventQueue_Pending() - number of events that have not run */
uint64_t EventQueue_Pending(const EventQueue *this);

#endif
