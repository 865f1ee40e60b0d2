#include "RetryWindow.h"

#include <glib.h>
#include <string.h>

/* Steps per window; the window advances by a step at a time. */
#define STEP_COUNT 20
/* Retries are kept for one more step, since a part of the oldest step may lie
 * in the window. */
#define KEPT_STEP_COUNT (STEP_COUNT + 1)

typedef struct Step_ {
    uint32_t requests;
    uint32_t retries;
} Step;

struct RetryWindow_ {
    RetryWindowOptions options;
    const Clock *clock;
    Step steps[KEPT_STEP_COUNT];
    int64_t current;
};

RetryWindow *
RetryWindow_Create(const RetryWindowOptions *options, const Clock *clock)
{
    RetryWindow *this = g_new0(RetryWindow, 1);

    this->options = *options;
    this->clock = clock;
    this->current = Clock_Now(clock) / (options->window / STEP_COUNT);
    return this;
}

void
RetryWindow_Destroy(RetryWindow *this)
{
    g_free(this);
}

static Step *
step_at(RetryWindow *this, int64_t number)
{
    return &this->steps[number % KEPT_STEP_COUNT];
}

static Step *
advance(RetryWindow *this)
{
    int64_t now = Clock_Now(this->clock) / (this->options.window / STEP_COUNT);

    if (now - this->current > KEPT_STEP_COUNT) {
        this->current = now - KEPT_STEP_COUNT;
    }
    while (this->current < now) {
        this->current++;
        memset(step_at(this, this->current), 0, sizeof(Step));
    }
    return step_at(this, now);
}

void
RetryWindow_OnRequest(RetryWindow *this)
{
    advance(this)->requests++;
}

double
RetryWindow_Remaining(RetryWindow *this)
{
    double requests = 0, retries = 0;

    advance(this);
    for (int i = 0; i < KEPT_STEP_COUNT; i++) {
        requests += this->steps[i].requests;
        retries += this->steps[i].retries;
    }
    /* The oldest step may lie outside the window, so its requests do not
     * count. */
    requests -= step_at(this, this->current + 1)->requests;
    return this->options.share * requests + this->options.extra - retries;
}

bool
RetryWindow_Take(RetryWindow *this)
{
    if (RetryWindow_Remaining(this) < 1) {
        return false;
    }
    advance(this)->retries++;
    return true;
}
