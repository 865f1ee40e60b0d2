#include "StopWindow.h"

#include <glib.h>

/* Time in which a response that is due at the deadline is written. */
#define RESPONSE_TIME_US (100 * MICROS_PER_MS)
/* Part of the stop in which expected work is enough. */
#define EARLY_RATIO 0.5
/* Some requests take many times as long as others of their kind. */
#define WORK_FACTOR 10

struct StopWindow_ {
    const Clock *clock;
    Micros begun;
    Micros end;
    bool stopping;
};

StopWindow *
StopWindow_Create(const Clock *clock)
{
    StopWindow *this = g_new0(StopWindow, 1);

    this->clock = clock;
    return this;
}

void
StopWindow_Destroy(StopWindow *this)
{
    g_free(this);
}

void
StopWindow_Begin(StopWindow *this, Micros end)
{
    this->begun = Clock_Now(this->clock);
    this->end = end;
    this->stopping = true;
}

static bool
is_early(const StopWindow *this, Micros now)
{
    return (double)(now - this->begun) <
           EARLY_RATIO * (double)(this->end - this->begun);
}

bool
StopWindow_Fits(const StopWindow *this, const StopRequest *request)
{
    Micros now = Clock_Now(this->clock);
    Micros last = this->end - RESPONSE_TIME_US;

    if (!this->stopping || request->deadline <= last) {
        return true;
    }
    return request->idempotent && request->expected > 0 &&
           is_early(this, now) &&
           request->expected <= (last - now) / WORK_FACTOR;
}
