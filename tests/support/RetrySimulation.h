#ifndef AGATECRANK_TESTS_RETRYSIMULATION_H
#define AGATECRANK_TESTS_RETRYSIMULATION_H

#include <stdbool.h>

#include "RetryRule.h"

/** enum RetryCause - what makes hosts retry */
typedef enum RetryCause_ {
    RETRY_CAUSE_BROKEN,   /* connections break */
    RETRY_CAUSE_REJECTED, /* upstreams reject requests without a run */
    RETRY_CAUSE_FAILED,   /* upstreams respond with 500 */
    RETRY_CAUSE_SILENT,   /* upstreams do not respond in time */
    RETRY_CAUSE_MIXED,    /* any of these, at random */
} RetryCause;

/** enum RetryFault - faults that are planted in the hosts */
typedef enum RetryFault_ {
    RETRY_FAULT_NONE,
    RETRY_FAULT_UNLIMITED,    /* no limit on retries */
    RETRY_FAULT_UNCOUNTED,    /* a broken connection resends without a count */
    RETRY_FAULT_WHOLE_EXTRA,  /* each host takes the whole constant part */
    RETRY_FAULT_FIXED_PART,   /* each host takes a 200th of it */
    RETRY_FAULT_PART_AT_ONCE, /* each process takes its part at its start */
} RetryFault;

/**
 * struct RetryOptions_ - a deployment and its load
 * @extra: constant part of the platform's limit
 * @requests_per_s: of all callers, to two services
 * @attempts_max: sends of one request
 * @split: one route to both services instead of a route to each
 * @load_time, @gap_time: requests come for the first and pause for the second;
 *                        0 for steady requests
 * @fail_time, @calm_time: requests fail for the first and succeed for the
 *                         second
 * @fail_ratio: fraction of the sends that fail then
 * @restart_interval: mean time between restarts of a host, 0 for none
 * @kill_time, @kill_ratio, @kill_down: when which fraction of the hosts is
 *     killed at once, and for how long; 0 for never
 * @join_time, @join_count: when how many more hosts start, which the others
 *     learn of when they read the list of hosts again; 0 for never
 * @pause_interval, @pause_time: mean time between pauses of a host, and longest
 *                               one; 0 for none
 * @delayed_ratio, @delay: fraction of the sends that arrive later, also after
 *                         they were cancelled, and by how much at most
 */
typedef struct RetryOptions_ {
    uint64_t seed;
    unsigned host_count, upstream_count;
    double extra;
    Micros duration;
    double requests_per_s;
    uint32_t attempts_max;
    bool split;
    Micros load_time, gap_time;
    Micros fail_time, calm_time;
    double fail_ratio;
    RetryCause cause;
    Micros restart_interval;
    Micros kill_time;
    double kill_ratio;
    Micros kill_down;
    Micros join_time;
    unsigned join_count;
    Micros pause_interval, pause_time;
    double delayed_ratio;
    Micros delay;
    RetryFault fault;
} RetryOptions;

/**
 * struct RetryResult_ - what upstreams observed
 * @requests: of callers
 * @restarts: of hosts
 * @retry_count: arrivals beyond the first ones
 * @worst: the worst window of both services
 */
typedef struct RetryResult_ {
    unsigned requests, restarts, retry_count;
    RetryRuleResult worst;
} RetryResult;

/** RetrySimulation_Run() - run hosts, upstreams and callers by a seed */
RetryResult RetrySimulation_Run(const RetryOptions *options);

#endif
