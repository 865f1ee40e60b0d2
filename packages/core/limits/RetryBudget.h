#ifndef AGATECRANK_CORE_RETRYBUDGET_H
#define AGATECRANK_CORE_RETRYBUDGET_H

#include <stdbool.h>
#include <stdint.h>

#include "Clock.h"

/**
 * typedef RetryBudget - bounds the retries of one service on one host
 *
 * Each host earns retries from its own successes only, so the sum over all
 * hosts keeps the same share without any exchange.
 */
typedef struct RetryBudget_ RetryBudget;

/** Retries earned by one success */
#define RETRY_BUDGET_RATIO 0.10

/** enum RetryFailure - how the attempt ended */
typedef enum RetryFailure_ {
    RETRY_FAILURE_NOT_SENT,     /* not a byte was given to an upstream */
    RETRY_FAILURE_SHED,         /* 503 with agatecrank-outcome: not-run */
    RETRY_FAILURE_DISCONNECTED, /* the connection ended before the response */
    RETRY_FAILURE_TIMEOUT,      /* no response in time */
    RETRY_FAILURE_ERROR,        /* 502, 503 or 504 without the proof */
} RetryFailure;

/** enum RetryVerdict - retry or why not */
typedef enum RetryVerdict_ {
    RETRY_ALLOWED,
    RETRY_UNSAFE,              /* it may have run and is not idempotent */
    RETRY_RESPONSE_BEGUN,      /* part of the response reached the caller */
    RETRY_BODY_NOT_REPLAYABLE, /* the body can't be sent again */
    RETRY_LAYER_ABOVE,         /* agatecrank-retrying: 1 came in */
    RETRY_LAYER_BELOW,         /* the balancer below had its own budget */
    RETRY_DEADLINE_TOO_CLOSE,  /* no time for another attempt */
    RETRY_ATTEMPTS_EXHAUSTED,  /* the request had its attempts */
    RETRY_BUDGET_EXHAUSTED,    /* the budget is spent */
} RetryVerdict;

/**
 * struct RetryQuery_ - a failed attempt
 * @failure: how it ended
 * @idempotent: the method is one of the service's idempotent methods
 * @response_begun: response headers went to the caller
 * @body_kept: the request body can be sent again from the start
 * @layer_above_retries: agatecrank-retrying: 1 came in
 * @from_balancer: the response carries agatecrank-reason, that is, a balancer
 *                 below gave up
 * @attempts: attempts made so far, the failed one included
 * @deadline: absolute time in microseconds
 * @expected: expected time of another attempt, in microseconds
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
 * struct RetryDecision_ - how a permitted retry is sent
 * @other_upstream: avoid every upstream that was tried
 * @new_connection: don't use a pooled connection of the same age
 */
typedef struct RetryDecision_ {
    RetryVerdict verdict;
    bool other_upstream;
    bool new_connection;
} RetryDecision;

/** RetryBudget_Create() - an empty budget; @clock is borrowed */
RetryBudget *RetryBudget_Create(const Clock *clock);

/** RetryBudget_Destroy() - release the budget */
void RetryBudget_Destroy(RetryBudget *this);

/** RetryBudget_OnSuccess() - a complete response came for any attempt */
void RetryBudget_OnSuccess(RetryBudget *this);

/** RetryBudget_IsSafe() - whether running it again can do no harm */
bool RetryBudget_IsSafe(const RetryQuery *query);

/**
 * RetryBudget_Decide() - may the request be sent again? Spends one if RETRY_ALLOWED
 */
RetryDecision RetryBudget_Decide(RetryBudget *this, const RetryQuery *query);

/** RetryBudget_Balance() - retries that could be spent now */
double RetryBudget_Balance(RetryBudget *this);

/** RetryBudget_VerdictName() - stable word of a verdict, for agatecrank-reason */
const char *RetryBudget_VerdictName(RetryVerdict verdict);

#endif
