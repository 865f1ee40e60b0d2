#ifndef AGATECRANK_CORE_OVERLOADQUEUE_H
#define AGATECRANK_CORE_OVERLOADQUEUE_H

#include <stdbool.h>
#include <stddef.h>

#include "Clock.h"

/**
 * typedef OverloadQueue - requests of a service that wait for spare capacity
 *
 * Upstreams slow down when they are nearly full. When callers send more than
 * the upstreams can process, passing everything on would make every response
 * late. The excess waits here, ordered by rank and then as struct
 * OverloadQueueOptions_ says, for at most the time that leaves enough of the
 * objective to process it. A request that would wait longer is rejected at
 * once, and so is one that waits and cannot be sent in time any more because
 * more urgent ones have arrived.
 */
typedef struct OverloadQueue_ OverloadQueue;

/** enum OverloadOrder_ - order of requests of the same rank */
typedef enum OverloadOrder_ {
    OVERLOAD_BY_ARRIVAL, /* requests of lower ranks may wait for all others */
    OVERLOAD_BY_WORK,    /* least work first, and no rank starves */
} OverloadOrder;

/**
 * struct OverloadItem_ - a request
 * @rank: 0 is the most urgent
 * @work: expected processing time; 0 if unknown
 * @wait_max: longest useful wait, from now
 */
typedef struct OverloadItem_ {
    void *request;
    unsigned rank;
    Micros work;
    Micros wait_max;
} OverloadItem;

/** OverloadQueue_Create() - by arrival; @clock is borrowed */
OverloadQueue *OverloadQueue_Create(const Clock *clock);

/**
 * OverloadQueue_Destroy() - release the queue but not the requests; NULL is
 *     allowed
 */
void OverloadQueue_Destroy(OverloadQueue *this);

/** OverloadQueue_SetOrder() - for the requests that are pushed from now on */
void OverloadQueue_SetOrder(OverloadQueue *this, OverloadOrder order);

/**
 * OverloadQueue_Push() - queue a request at its place
 *
 * Return: false, without queuing it, if the expected wait exceeds its wait_max.
 */
bool OverloadQueue_Push(OverloadQueue *this, const OverloadItem *item);

/** OverloadQueue_Head() - the request that is sent next, or NULL */
void *OverloadQueue_Head(const OverloadQueue *this);

/**
 * OverloadQueue_WouldBeFirst() - whether a new request of @rank would be before
 *     all ranks that wait
 */
bool OverloadQueue_WouldBeFirst(const OverloadQueue *this, unsigned rank);

/**
 * OverloadQueue_Remove() - remove a request
 * @served: it was sent; false if its caller disconnected
 *
 * Return: false if it was not queued.
 */
bool OverloadQueue_Remove(OverloadQueue *this, void *request, bool served);

/**
 * OverloadQueue_TakeRejected() - remove and return a request that has waited for
 *     its wait_max or cannot be sent within it; NULL if there is none
 */
void *OverloadQueue_TakeRejected(OverloadQueue *this);

/** OverloadQueue_NextTime() - when the next request expires, or -1 for never */
Micros OverloadQueue_NextTime(const OverloadQueue *this);

/**
 * OverloadQueue_ExpectedWait() - expected time until a new request is first
 *
 * It can be sent at any time from then on.
 */
Micros OverloadQueue_ExpectedWait(const OverloadQueue *this,
                                  const OverloadItem *item);

#endif
