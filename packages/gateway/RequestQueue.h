#ifndef AGATECRANK_GATEWAY_REQUESTQUEUE_H
#define AGATECRANK_GATEWAY_REQUESTQUEUE_H

#include <stdbool.h>
#include <stddef.h>

#include "Clock.h"

/**
 * typedef RequestQueue - requests of a service that wait for spare capacity
 *
 * Upstreams slow down when they are nearly full. When callers send more than
 * the upstreams can process, passing everything on would make every response
 * late. The excess waits here, ordered by priority and then by arrival, for at
 * most the part of its objective that leaves time to process it. A request
 * that would wait longer is rejected at once.
 */
typedef struct RequestQueue_ RequestQueue;

/** RequestQueue_Create() - @clock is borrowed */
RequestQueue *RequestQueue_Create(const Clock *clock);

/**
 * RequestQueue_Destroy() - release the queue but not the items; NULL is
 *     allowed
 */
void RequestQueue_Destroy(RequestQueue *this);

/**
 * RequestQueue_Push() - append an item behind those of the same priority
 * @priority: rank, 0 is the most urgent
 * @wait_max: longest useful wait
 *
 * Return: false, without queuing it, if the expected wait exceeds @wait_max.
 */
bool RequestQueue_Push(RequestQueue *this, void *item, unsigned priority,
                       Micros wait_max);

/** RequestQueue_Head() - the first item, or NULL */
void *RequestQueue_Head(const RequestQueue *this);

/**
 * RequestQueue_WouldBeFirst() - whether a new item of @priority would be first
 */
bool RequestQueue_WouldBeFirst(const RequestQueue *this, unsigned priority);

/**
 * RequestQueue_Remove() - remove an item
 * @served: it was served; false if its caller disconnected
 *
 * Return: false if it was not queued.
 */
bool RequestQueue_Remove(RequestQueue *this, void *item, bool served);

/**
 * RequestQueue_TakeExpired() - remove and return an item that has waited for
 *     its wait_max; NULL if there is none
 */
void *RequestQueue_TakeExpired(RequestQueue *this);

/** RequestQueue_NextTime() - when the next item expires, or -1 for never */
Micros RequestQueue_NextTime(const RequestQueue *this);

/**
 * RequestQueue_ExpectedWait() - expected time until a new item of @priority is
 *     first
 *
 * It can be served at any time from then on.
 */
Micros RequestQueue_ExpectedWait(const RequestQueue *this, unsigned priority);

#endif
