#include "RetryBudget.h"

#include <glib.h>
#include <math.h>

/* The balance is capped by the successes within this time: retries saved up in
 * an hour without failures must not be spent within the first second of an
 * outage. */
#define RATE_WINDOW_US MICROS_PER_S

/* Lower bound of the cap. A service with few requests would otherwise never
 * accumulate a whole retry. */
#define BALANCE_CAP_MIN 1.0

/* A fourth attempt rarely succeeds and costs as much as the first. */
#define ATTEMPTS_MAX 3

struct RetryBudget_ {
    const Clock *clock;
    double balance;
    double recent_successes; /* decays by e per RATE_WINDOW_US */
    Micros updated_at;
};

RetryBudget *
RetryBudget_Create(const Clock *clock)
{
    RetryBudget *this = g_new0(RetryBudget, 1);

    this->clock = clock;
    this->updated_at = Clock_Now(clock);
    return this;
}

void
RetryBudget_Destroy(RetryBudget *this)
{
    g_free(this);
}

/* The cap follows the rate of successes, so it also falls during an outage. */
static void
update_balance(RetryBudget *this)
{
    Micros now = Clock_Now(this->clock);
    double cap;

    if (now > this->updated_at) {
        this->recent_successes *=
            exp(-(double)(now - this->updated_at) / (double)RATE_WINDOW_US);
        this->updated_at = now;
    }
    cap = fmax(BALANCE_CAP_MIN, RETRY_BUDGET_RATIO * this->recent_successes);
    this->balance = fmin(this->balance, cap);
}

void
RetryBudget_OnSuccess(RetryBudget *this)
{
    this->recent_successes += 1;
    this->balance += RETRY_BUDGET_RATIO;
    update_balance(this);
}

double
RetryBudget_Balance(RetryBudget *this)
{
    update_balance(this);
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

/* Rules that are independent of the budget. If several apply, the first one is
 * reported; those that tell an operator the most come first. */
static RetryVerdict
check_rules(const RetryBudget *this, const RetryQuery *query)
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
    if (query->attempts >= ATTEMPTS_MAX) {
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
    RetryDecision decision = {.verdict = check_rules(this, query)};

    if (decision.verdict != RETRY_ALLOWED) {
        return decision;
    }
    if (RetryBudget_Balance(this) < 1.0 - 1e-9) {
        decision.verdict = RETRY_BUDGET_EXHAUSTED;
        return decision;
    }
    this->balance -= 1.0;
    decision.other_upstream = true;
    decision.new_connection = query->failure == RETRY_FAILURE_TIMEOUT;
    return decision;
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
