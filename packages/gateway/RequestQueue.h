#ifndef AGATECRANK_GATEWAY_REQUESTQUEUE_H
#define AGATECRANK_GATEWAY_REQUESTQUEUE_H

#include <stdbool.h>
#include <stddef.h>

#include "Clock.h"

/**
 * typedef RequestQueue - requests of one service that wait for room
 *
 * The load it answers: callers send more than the upstreams can work on.
 * Upstreams slow down when they are full, so what is sent beyond that makes
 * every answer late. Requests wait here instead, the most urgent first, but
 * only for the part of their objective in which an answer can still come in
 * time; one that would wait longer is refused at once.
 */
typedef struct RequestQueue_ RequestQueue;

/** RequestQueue_Create() - @clock is borrowed */
RequestQueue *RequestQueue_Create(const Clock *clock);

/** RequestQueue_Destroy() - NULL is allowed; items are not released */
void RequestQueue_Destroy(RequestQueue *this);

/**
 * RequestQueue_Push() - let an item wait behind those that are as urgent
 * @priority: rank, 0 is the most urgent
 * @wait_max: longest wait that makes sense
 *
 * Return: false if it would probably wait longer; it is not queued then.
 */
bool RequestQueue_Push(RequestQueue *this, void *item, unsigned priority,
                       Micros wait_max);

/** RequestQueue_Head() - the item whose turn it is, or NULL */
void *RequestQueue_Head(const RequestQueue *this);

/** RequestQueue_HasTurn() - a new item of @priority would be the head */
bool RequestQueue_HasTurn(const RequestQueue *this, unsigned priority);

/** RequestQueue_Remove() - it waits no longer, as its caller has gone or it
 *                          was @served; false if it did not wait */
bool RequestQueue_Remove(RequestQueue *this, void *item, bool served);

/** RequestQueue_Expired() - an item whose patience is over, removed; NULL if
 *                           there is none */
void *RequestQueue_Expired(RequestQueue *this);

/** RequestQueue_NextTime() - when the next patience ends; -1 for never */
Micros RequestQueue_NextTime(const RequestQueue *this);

/** RequestQueue_ExpectedWait() - until a new item of @priority is the head;
 *                                room may come at any moment then */
Micros RequestQueue_ExpectedWait(const RequestQueue *this, unsigned priority);

#endif
