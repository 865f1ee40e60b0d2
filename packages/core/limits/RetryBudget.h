#ifndef AGATECRANK_CORE_RETRYBUDGET_H
#define AGATECRANK_CORE_RETRYBUDGET_H

#include <stdbool.h>
#include <stdint.h>

#include "Clock.h"

/**
 * typedef RetryBudget - limits the retries of one service on one host
 *
 * Each host earns retries from its own successes only, so that the ratio holds
 * for the sum over all hosts without coordination.
 */
typedef struct RetryBudget_ RetryBudget;

/** Retries earned per successful attempt */
#define RETRY_BUDGET_RATIO 0.10

/** enum RetryFailure - how an attempt failed */
typedef enum RetryFailure_ {
    RETRY_FAILURE_NOT_SENT,     /* no byte was sent to an upstream */
    RETRY_FAILURE_SHED,         /* 503 with agatecrank-outcome: not-run */
    RETRY_FAILURE_DISCONNECTED, /* the connection closed before the response */
    RETRY_FAILURE_TIMEOUT,      /* no response before the timeout */
    RETRY_FAILURE_ERROR,        /* 502, 503 or 504 without proof that it did
                                 * not run */
} RetryFailure;

/** enum RetryVerdict - whether to retry, or the reason not to */
typedef enum RetryVerdict_ {
    RETRY_ALLOWED,
    RETRY_UNSAFE,              /* may have run and is not idempotent */
    RETRY_RESPONSE_BEGUN,      /* part of the response was sent to the
                                * caller */
    RETRY_BODY_NOT_REPLAYABLE, /* the body can't be sent again */
    RETRY_LAYER_ABOVE,         /* the request had agatecrank-retrying: 1 */
    RETRY_LAYER_BELOW,         /* a balancer below has used its own budget */
    RETRY_DEADLINE_TOO_CLOSE,  /* not enough time left for another attempt */
    RETRY_ATTEMPTS_EXHAUSTED,  /* the attempts per request are used up */
    RETRY_BUDGET_EXHAUSTED,    /* the budget of the service is used up */
} RetryVerdict;

/**
 * struct RetryQuery_ - a failed attempt
 * @failure: how it failed
 * @idempotent: the method is one of the idempotent methods of the service
 * @response_begun: response headers were sent to the caller
 * @body_kept: the request body can be sent again from the start
 * @layer_above_retries: the request had agatecrank-retrying: 1
 * @from_balancer: the response has agatecrank-reason, which means that a
 *   balancer below stopped retrying
 * @attempts: attempts made so far, including the failed one
 * @deadline: absolute time in microseconds
 * @expected: expected duration of another attempt, in microseconds
 */
typedef struct RetryQuery_ {
    RetryFailure failure;
    bool idempotent;
    bool response_begun;
    bool body_kept;
    bool layer_above_retries;
    bool from_balancer;
    uint32_t attempts;
    Micros deadline;
    Micros expected;
} RetryQuery;

/**
 * struct RetryDecision_ - whether and how to retry
 * @verdict: RETRY_ALLOWED, or the reason not to retry
 * @other_upstream: avoid all upstreams that were tried
 * @new_connection: don't use a pooled connection; one of the same age may be
 *   dead too
 */
typedef struct RetryDecision_ {
    RetryVerdict verdict;
    bool other_upstream;
    bool new_connection;
} RetryDecision;

/**
 * RetryBudget_Create() - create an empty budget
 * @clock: borrowed
 */
RetryBudget *RetryBudget_Create(const Clock *clock);

/** RetryBudget_Destroy() - free the budget */
void RetryBudget_Destroy(RetryBudget *this);

/** RetryBudget_OnSuccess() - an attempt received a complete response */
void RetryBudget_OnSuccess(RetryBudget *this);

/**
 * RetryBudget_IsSafe() - whether the request can be sent again without the
 * risk of a second execution, or is idempotent
 */
bool RetryBudget_IsSafe(const RetryQuery *query);

/**
 * RetryBudget_Decide() - decide whether to retry a failed attempt
 *
 * Spends one retry of the budget if the verdict is RETRY_ALLOWED.
 */
RetryDecision RetryBudget_Decide(RetryBudget *this, const RetryQuery *query);

/** RetryBudget_Balance() - retries that can be spent now */
double RetryBudget_Balance(RetryBudget *this);

/**
 * RetryBudget_VerdictName() - stable name of a verdict, for agatecrank-reason
 */
const char *RetryBudget_VerdictName(RetryVerdict verdict);

#endif
