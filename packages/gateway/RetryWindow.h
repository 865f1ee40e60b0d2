#ifndef AGATECRANK_GATEWAY_RETRYWINDOW_H
#define AGATECRANK_GATEWAY_RETRYWINDOW_H

#include <stdbool.h>

#include "Clock.h"

/**
 * typedef RetryWindow - bounds the repeats of one service on one host
 *
 * Repeats in any window are at most a share of this host's own requests in
 * it, and a few more. As each host keeps its own share, all hosts together
 * keep the sum without any exchange.
 */
typedef struct RetryWindow_ RetryWindow;

/**
 * struct RetryWindowOptions_ - bounds of one host
 * @window: length of the sliding window
 * @share: repeats for each request
 * @extra: repeats beyond that share
 */
typedef struct RetryWindowOptions_ {
    Micros window;
    double share;
    double extra;
} RetryWindowOptions;

/** RetryWindow_Create() - @clock is borrowed */
RetryWindow *RetryWindow_Create(const RetryWindowOptions *options,
                                const Clock *clock);

/** RetryWindow_Destroy() - release it; NULL is allowed */
void RetryWindow_Destroy(RetryWindow *this);

/** RetryWindow_OnRequest() - a caller's request came */
void RetryWindow_OnRequest(RetryWindow *this);

/** RetryWindow_Take() - spend one repeat; false if none is left */
bool RetryWindow_Take(RetryWindow *this);

/** RetryWindow_Remaining() - repeats that could be spent now */
double RetryWindow_Remaining(RetryWindow *this);

#endif
