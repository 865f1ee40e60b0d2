#include "RetryWindow.h"

#include <glib.h>
#include <string.h>

/* Steps per window; the window advances by a step at a time. */
#define STEP_COUNT 20
/* Retries are kept for one more step, since a part of the oldest step may lie
 * in the window. */
#define KEPT_STEP_COUNT (STEP_COUNT + 1)
/* Steps in which a request allows a retry, the current one included. With more
 * of them, hosts whose callers move to others could use the same load twice. */
#define EARNED_STEP_COUNT 2
/* Retries that older requests allow, for hosts with few requests. */
#define SAVED_MAX 1.0

typedef struct Step_ {
    uint32_t requests;
    uint32_t retries;
    double earned;     /* retries that its requests still allow */
    double extra_used; /* part of extra() */
} Step;

struct RetryWindow_ {
    RetryWindowOptions options;
    const Clock *clock;
    Micros started;
    size_t host_count;
    Micros known_from;
    Step steps[KEPT_STEP_COUNT];
    int64_t current;
    double saved; /* retries that older requests allow */
    uint32_t reserved;
};

RetryWindow *
RetryWindow_Create(const RetryWindowOptions *options, Micros started,
                   const Clock *clock)
{
    RetryWindow *this = g_new0(RetryWindow, 1);

    this->options = *options;
    this->clock = clock;
    this->started = started;
    this->current = Clock_Now(clock) / (options->window / STEP_COUNT);
    return this;
}

void
RetryWindow_Destroy(RetryWindow *this)
{
    g_free(this);
}

void
RetryWindow_SetHosts(RetryWindow *this, size_t count, Micros known_from)
{
    this->host_count = count;
    this->known_from = known_from;
}

/* Returns the retries in a window beyond the share of the requests. */
static double
extra(const RetryWindow *this)
{
    Micros from = MAX(this->started + this->options.window, this->known_from);

    if (this->host_count == 0 || Clock_Now(this->clock) < from) {
        return this->options.extra;
    }
    return this->options.extra +
           this->options.shared_extra / (double)this->host_count;
}

static Step *
step_at(RetryWindow *this, int64_t number)
{
    return &this->steps[number % KEPT_STEP_COUNT];
}

static void
save_oldest_earned(RetryWindow *this)
{
    Step *step =
        step_at(this, this->current + KEPT_STEP_COUNT - EARNED_STEP_COUNT + 1);

    this->saved = MIN(this->saved + step->earned, SAVED_MAX);
    step->earned = 0;
}

static Step *
advance(RetryWindow *this)
{
    int64_t now = Clock_Now(this->clock) / (this->options.window / STEP_COUNT);

    if (now - this->current > KEPT_STEP_COUNT) {
        this->current = now - KEPT_STEP_COUNT;
    }
    while (this->current < now) {
        save_oldest_earned(this);
        this->current++;
        memset(step_at(this, this->current), 0, sizeof(Step));
    }
    return step_at(this, now);
}

void
RetryWindow_OnRequest(RetryWindow *this)
{
    Step *step = advance(this);

    step->requests++;
    step->earned += this->options.share;
}

static double
remaining_in_window(RetryWindow *this)
{
    double requests = 0, retries = 0;

    for (int i = 0; i < KEPT_STEP_COUNT; i++) {
        requests += this->steps[i].requests;
        retries += this->steps[i].retries;
    }
    /* The oldest step may lie outside the window, so its requests do not
     * count. */
    requests -= step_at(this, this->current + 1)->requests;
    return this->options.share * requests + extra(this) - retries;
}

static double
extra_remaining(const RetryWindow *this)
{
    double used = 0;

    for (int i = 0; i < KEPT_STEP_COUNT; i++) {
        used += this->steps[i].extra_used;
    }
    return extra(this) - used;
}

static double
earned_remaining(RetryWindow *this)
{
    double earned = 0;

    for (int i = 0; i < EARNED_STEP_COUNT; i++) {
        earned += step_at(this, this->current + KEPT_STEP_COUNT - i)->earned;
    }
    return earned;
}

static double
remaining(RetryWindow *this)
{
    advance(this);
    return MIN(remaining_in_window(this),
               earned_remaining(this) + this->saved + extra_remaining(this));
}

double
RetryWindow_Remaining(RetryWindow *this)
{
    return remaining(this) - this->reserved;
}

static void
use_earned(RetryWindow *this)
{
    double needed = 1, used;

    for (int i = EARNED_STEP_COUNT - 1; i >= 0; i--) {
        Step *step = step_at(this, this->current + KEPT_STEP_COUNT - i);

        used = MIN(step->earned, needed);
        step->earned -= used;
        needed -= used;
    }
    used = MIN(this->saved, needed);
    this->saved -= used;
    step_at(this, this->current)->extra_used += needed - used;
}

bool
RetryWindow_Reserve(RetryWindow *this)
{
    if (RetryWindow_Remaining(this) < 1) {
        return false;
    }
    this->reserved++;
    return true;
}

void
RetryWindow_Release(RetryWindow *this)
{
    this->reserved--;
}

bool
RetryWindow_UseReserved(RetryWindow *this)
{
    this->reserved--;
    if (remaining(this) < 1) {
        return false;
    }
    use_earned(this);
    step_at(this, this->current)->retries++;
    return true;
}

bool
RetryWindow_Take(RetryWindow *this)
{
    return RetryWindow_Reserve(this) && RetryWindow_UseReserved(this);
}
