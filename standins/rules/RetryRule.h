#ifndef AGATECRANK_STANDINS_RETRYRULE_H
#define AGATECRANK_STANDINS_RETRYRULE_H

#include "Clock.h"

/**
 * typedef RetryRule - checks the platform's limit on the retries of a service
 *
 * In any span of the window's length, the arrivals at upstreams beyond the
 * first of each request are limited by a ratio to the requests that callers
 * have sent, plus a constant. The requests are counted in that span, in the
 * one before it or in the one half a window before it, whichever has most.
 */
typedef struct RetryRule_ RetryRule;

/**
 * struct RetryRuleOptions_ - the limit
 * @window: length of a span
 * @ratio: retries per request
 * @extra: retries in addition to that ratio
 */
typedef struct RetryRuleOptions_ {
    Micros window;
    double ratio;
    double extra;
} RetryRuleOptions;

/**
 * struct RetryRuleResult_ - the span that comes closest to the limit, or
 *                           exceeds it by the largest factor
 * @start: its begin
 * @retries, @requests: arrivals beyond the first ones, and requests
 * @used: retries divided by the limit
 * @retry_count: retries of the whole run
 */
typedef struct RetryRuleResult_ {
    Micros start;
    unsigned retries;
    unsigned requests;
    double used;
    unsigned retry_count;
} RetryRuleResult;

/** RetryRule_Create() - a check of one service */
RetryRule *RetryRule_Create(const RetryRuleOptions *options);

/** RetryRule_Destroy() - release it; NULL is allowed */
void RetryRule_Destroy(RetryRule *this);

/** RetryRule_OnRequest() - a caller sends a request, in order of time */
void RetryRule_OnRequest(RetryRule *this, Micros now);

/**
 * RetryRule_OnArrival() - a request arrives at an upstream, in order of time
 * @id: of the request
 */
void RetryRule_OnArrival(RetryRule *this, const char *id, Micros now);

/** RetryRule_Judge() - find the worst span of the run */
RetryRuleResult RetryRule_Judge(const RetryRule *this);

#endif
