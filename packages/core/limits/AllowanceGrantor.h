#ifndef AGATECRANK_CORE_ALLOWANCEGRANTOR_H
#define AGATECRANK_CORE_ALLOWANCEGRANTOR_H

#include <stdbool.h>
#include <stdint.h>

#include "Clock.h"
#include "Str.h"

/**
 * typedef AllowanceGrantor - token buckets of the customers for which this host
 *     hands out the requests that all hosts together may send
 *
 * Answers the load of customers that enter through any number of hosts and may
 * multiply their requests within a second; see AllowanceClient.
 */
typedef struct AllowanceGrantor_ AllowanceGrantor;

/**
 * struct AllowanceLimit_ - limit on the requests of a customer
 * @rate_per_s, @burst: of the token bucket; a rate of 0 is no limit
 * @tolerance: requests beyond the burst that the bucket may hold, so that hosts
 *             do not refuse what is within the limit because tokens were
 *             handed out where they were not needed
 */
typedef struct AllowanceLimit_ {
    Str customer;
    double rate_per_s;
    double burst;
    double tolerance;
} AllowanceLimit;

/**
 * struct AllowanceGrant_ - answer to a host
 * @granted: requests that it may send
 * @wait: time until it may ask again, if it got fewer than it wanted
 */
typedef struct AllowanceGrant_ {
    uint32_t granted;
    Micros wait;
} AllowanceGrant;

/** AllowanceGrantor_Create() - without buckets; @clock is borrowed */
AllowanceGrantor *AllowanceGrantor_Create(const Clock *clock);

/** AllowanceGrantor_Destroy() - NULL is allowed */
void AllowanceGrantor_Destroy(AllowanceGrantor *this);

/**
 * AllowanceGrantor_Grant() - take requests of a customer out of its bucket
 * @wanted: requests that the host has or expects within a short time
 * @deputy: another host is asked first, so this one may be the second that
 *          hands out requests
 *
 * A new bucket holds a few requests only: another host, or this one before a
 * restart, may just have handed out the burst.
 */
AllowanceGrant AllowanceGrantor_Grant(AllowanceGrantor *this,
                                      const AllowanceLimit *limit,
                                      uint32_t wanted, bool deputy);

/** AllowanceGrantor_Count() - number of buckets */
uint32_t AllowanceGrantor_Count(const AllowanceGrantor *this);

#endif
