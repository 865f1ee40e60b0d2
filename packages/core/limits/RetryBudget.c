#include "RetryBudget.h"

#include <glib.h>
#include <math.h>

/* A balance older than this is worth nothing: retries saved up in an hour
 * without failures must not be spent within the first second of an outage. */
#define RATE_WINDOW MICROS_PER_S

/* One retry may be kept at any rate; a service with few requests would
 * otherwise never earn a whole one. */
#define LEAST_CAP 1.0

/* A fourth attempt rarely helps and costs as much as the first. */
#define MAX_ATTEMPTS 3

struct RetryBudget_ {
    const Clock *clock;
    double balance;
    double recent_successes; /* decays by e in RATE_WINDOW */
    Micros updated;
};

RetryBudget *
RetryBudget_Create(const Clock *clock)
{
    RetryBudget *this = g_new0(RetryBudget, 1);

    this->clock = clock;
    this->updated = Clock_Now(clock);
    return this;
}

void
RetryBudget_Destroy(RetryBudget *this)
{
    g_free(this);
}

/* The cap follows the rate of successes, so it falls with an outage too. */
static void
bring_up_to_date(RetryBudget *this)
{
    Micros now = Clock_Now(this->clock);
    double cap;

    if (now > this->updated) {
        this->recent_successes *=
            exp(-(double)(now - this->updated) / (double)RATE_WINDOW);
        this->updated = now;
    }
    cap = fmax(LEAST_CAP, RETRY_BUDGET_RATIO * this->recent_successes);
    this->balance = fmin(this->balance, cap);
}

void
RetryBudget_OnSuccess(RetryBudget *this)
{
    this->recent_successes += 1;
    this->balance += RETRY_BUDGET_RATIO;
    bring_up_to_date(this);
}

double
RetryBudget_Balance(RetryBudget *this)
{
    bring_up_to_date(this);
    return this->balance;
}

bool
RetryBudget_IsSafe(const RetryQuery *query)
{
    switch (query->failure) {
    case RETRY_FAILURE_NOT_SENT:
    case RETRY_FAILURE_SHED:
        return true;
    case RETRY_FAILURE_DISCONNECTED:
    case RETRY_FAILURE_TIMEOUT:
    case RETRY_FAILURE_ERROR:
        return query->idempotent;
    }
    return false;
}

/* The rules that need no budget, in the order of what operators look for. */
static RetryVerdict
judge(const RetryBudget *this, const RetryQuery *query)
{
    if (query->response_begun) {
        return RETRY_RESPONSE_BEGUN;
    }
    if (!RetryBudget_IsSafe(query)) {
        return RETRY_UNSAFE;
    }
    if (query->layer_above_retries) {
        return RETRY_LAYER_ABOVE;
    }
    if (query->from_balancer) {
        return RETRY_LAYER_BELOW;
    }
    if (!query->body_kept) {
        return RETRY_BODY_NOT_REPLAYABLE;
    }
    if (query->attempts >= MAX_ATTEMPTS) {
        return RETRY_ATTEMPTS_EXHAUSTED;
    }
    if (Clock_Now(this->clock) + query->expected >= query->deadline) {
        return RETRY_DEADLINE_TOO_CLOSE;
    }
    return RETRY_ALLOWED;
}

RetryDecision
RetryBudget_Decide(RetryBudget *this, const RetryQuery *query)
{
    RetryDecision advice = {.verdict = judge(this, query)};

    if (advice.verdict != RETRY_ALLOWED) {
        return advice;
    }
    if (RetryBudget_Balance(this) < 1.0 - 1e-9) {
        advice.verdict = RETRY_BUDGET_EXHAUSTED;
        return advice;
    }
    this->balance -= 1.0;
    advice.other_upstream = true;
    advice.new_connection = query->failure == RETRY_FAILURE_TIMEOUT;
    return advice;
}

const char *
RetryBudget_VerdictName(RetryVerdict verdict)
{
    static const char *const names[] = {
        [RETRY_ALLOWED] = "retry",
        [RETRY_UNSAFE] = "retry-unsafe",
        [RETRY_RESPONSE_BEGUN] = "response-begun",
        [RETRY_BODY_NOT_REPLAYABLE] = "body-gone",
        [RETRY_LAYER_ABOVE] = "layer-above-retries",
        [RETRY_LAYER_BELOW] = "layer-below-gave-up",
        [RETRY_DEADLINE_TOO_CLOSE] = "retry-deadline",
        [RETRY_ATTEMPTS_EXHAUSTED] = "retry-attempts",
        [RETRY_BUDGET_EXHAUSTED] = "retry-budget",
    };

    return names[verdict];
}
