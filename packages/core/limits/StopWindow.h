#ifndef AGATECRANK_CORE_STOPWINDOW_H
#define AGATECRANK_CORE_STOPWINDOW_H

#include <stdbool.h>

#include "Clock.h"

/**
 * typedef StopWindow - decides which requests may still be passed on by a
 *     process that has been told to stop
 *
 * A request that is open when the process ends is cut. One that is not
 * idempotent is passed on only if its deadline is before that. An idempotent one
 * is also passed on in the first half of the stop, if many times its expected
 * work fits. All others are better served by another process from the start.
 */
typedef struct StopWindow_ StopWindow;

/**
 * struct StopRequest_ - a request that is about to be passed on
 * @deadline: of its final response
 * @expected: time that it is expected to take; 0 if not known
 */
typedef struct StopRequest_ {
    Micros deadline;
    Micros expected;
    bool idempotent;
} StopRequest;

/** StopWindow_Create() - the process runs on; @clock is borrowed */
StopWindow *StopWindow_Create(const Clock *clock);

/** StopWindow_Destroy() - NULL is allowed */
void StopWindow_Destroy(StopWindow *this);

/**
 * StopWindow_Begin() - the process has been told to stop
 * @end: time at which it ends with whatever is open
 */
void StopWindow_Begin(StopWindow *this, Micros end);

/** StopWindow_Fits() - whether the request may be passed on now */
bool StopWindow_Fits(const StopWindow *this, const StopRequest *request);

#endif
