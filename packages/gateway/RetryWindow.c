#include "RetryWindow.h"

#include <glib.h>
#include <string.h>

/* Steps by which the window slides. */
#define STEPS 20
/* Repeats are remembered for one step more, as they may lie in a part of it. */
#define SLOTS (STEPS + 1)

typedef struct Step_ {
    uint32_t requests;
    uint32_t repeats;
} Step;

struct RetryWindow_ {
    RetryWindowOptions options;
    const Clock *clock;
    Step steps[SLOTS];
    int64_t current;
};

RetryWindow *
RetryWindow_Create(const RetryWindowOptions *options, const Clock *clock)
{
    RetryWindow *this = g_new0(RetryWindow, 1);

    this->options = *options;
    this->clock = clock;
    this->current = Clock_Now(clock) / (options->window / STEPS);
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
    return &this->steps[number % SLOTS];
}

static Step *
slide(RetryWindow *this)
{
    int64_t now = Clock_Now(this->clock) / (this->options.window / STEPS);

    if (now - this->current > SLOTS) {
        this->current = now - SLOTS;
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
    slide(this)->requests++;
}

double
RetryWindow_Left(RetryWindow *this)
{
    double requests = 0, repeats = 0;

    slide(this);
    for (int i = 0; i < SLOTS; i++) {
        requests += this->steps[i].requests;
        repeats += this->steps[i].repeats;
    }
    /* The oldest step may lie outside the window. */
    requests -= step_at(this, this->current + 1)->requests;
    return this->options.share * requests + this->options.extra - repeats;
}

bool
RetryWindow_Take(RetryWindow *this)
{
    if (RetryWindow_Left(this) < 1) {
        return false;
    }
    slide(this)->repeats++;
    return true;
}
