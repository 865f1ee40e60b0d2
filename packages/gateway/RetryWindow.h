#ifndef AGATECRANK_GATEWAY_RETRYWINDOW_H
#define AGATECRANK_GATEWAY_RETRYWINDOW_H

#include <stdbool.h>
#include <stddef.h>

#include "Clock.h"

/**
 * typedef RetryWindow - limits the retries of one service on one host
 *
 * In any window, the number of retries is at most a share of the requests that
 * this host received in it, plus a constant. Each host keeps its own limit, so
 * the sum over all hosts is limited without communication between them. The
 * constant of the whole deployment is divided by the number of live hosts.
 *
 * A request allows its share of a retry for a tenth of the window at most, and
 * older ones together a single retry. Otherwise callers that move to another
 * host in a window would allow retries at both.
 */
typedef struct RetryWindow_ RetryWindow;

/**
 * struct RetryWindowOptions_ - limits of one host
 * @window: length of the sliding window
 * @share: retries per request
 * @extra: retries in addition to that share
 * @shared_extra: the same for all hosts together, see RetryWindow_SetHosts()
 */
typedef struct RetryWindowOptions_ {
    Micros window;
    double share;
    double extra;
    double shared_extra;
} RetryWindowOptions;

/**
 * RetryWindow_Create() - a window without requests
 * @started: when the process of this host started
 *
 * @clock is borrowed.
 */
RetryWindow *RetryWindow_Create(const RetryWindowOptions *options,
                                Micros started, const Clock *clock);

/** RetryWindow_Destroy() - release it; NULL is allowed */
void RetryWindow_Destroy(RetryWindow *this);

/**
 * RetryWindow_SetHosts() - set the hosts that divide the shared extra retries
 * @count: number of live hosts, this one included; none are used while it is 0
 * @known_from: time from which the others count this host
 *
 * A process uses no part of them in its first window, because an earlier
 * process of the host may have used it.
 */
void RetryWindow_SetHosts(RetryWindow *this, size_t count, Micros known_from);

/** RetryWindow_OnRequest() - count a request of a caller */
void RetryWindow_OnRequest(RetryWindow *this);

/** RetryWindow_Take() - use up one retry; false if none is left */
bool RetryWindow_Take(RetryWindow *this);

/**
 * RetryWindow_Reserve() - set aside one retry, which is used up when it is sent
 *
 * Return: false if none is left.
 */
bool RetryWindow_Reserve(RetryWindow *this);

/** RetryWindow_Release() - give back a reserved retry that is not sent */
void RetryWindow_Release(RetryWindow *this);

/**
 * RetryWindow_UseReserved() - use up a reserved retry
 *
 * Return: false if what allowed it has left the window; it is given back then.
 */
bool RetryWindow_UseReserved(RetryWindow *this);

/**
 * RetryWindow_Remaining() - number of retries that are allowed now, without the
 *     reserved ones
 */
double RetryWindow_Remaining(RetryWindow *this);

#endif
