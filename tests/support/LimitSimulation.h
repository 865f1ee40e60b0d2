#ifndef AGATECRANK_TESTS_LIMITSIMULATION_H
#define AGATECRANK_TESTS_LIMITSIMULATION_H

#include <stdbool.h>
#include <stdint.h>

#include "Clock.h"

/** enum LimitPlan - how the limits of the limited upstreams change */
typedef enum LimitPlan_ {
    LIMIT_PLAN_STEADY, /* appear once and stay */
    LIMIT_PLAN_FALLS,  /* appear high and fall in steps */
    LIMIT_PLAN_RISES,  /* appear low and rise in steps */
    LIMIT_PLAN_VARIES, /* appear, change and end at random */
} LimitPlan;

/**
 * struct LimitOptions_ - a deployment and its load
 * @limited_count: upstreams that name a limit
 * @limit_per_s: limit named first; the lowest one that LIMIT_PLAN_FALLS and
 *               LIMIT_PLAN_VARIES reach
 * @requests_per_s: of all callers
 * @extra_hosts: hosts that join during the run, besides @host_count
 * @join_time: time in which they join
 * @restart_interval: mean time between restarts of a host, 0 for none
 * @upstream_restart_interval: the same for upstreams
 * @cut_interval: mean time between cuts of a host from the list of hosts, 0
 *                for none
 * @silent_probes: responses to probes name no limit
 * @lossy: a tenth of the responses to requests are lost
 * @unread_limits: plants a fault: hosts do not learn of limits
 * @isolated_hosts: plants a fault: each host takes itself for the only one
 * @impatient_hosts: plants a fault: hosts that join do not wait until the others
 *                   know of them
 */
typedef struct LimitOptions_ {
    uint64_t seed;
    unsigned host_count, upstream_count, limited_count;
    double limit_per_s;
    LimitPlan plan;
    Micros duration;
    double requests_per_s;
    unsigned extra_hosts;
    Micros join_time;
    Micros restart_interval;
    Micros upstream_restart_interval;
    Micros cut_interval;
    bool silent_probes;
    bool lossy;
    bool unread_limits;
    bool isolated_hosts;
    bool impatient_hosts;
} LimitOptions;

/**
 * struct LimitResult_ - what upstreams and callers observed
 * @excess: most requests beyond the rule that a limited upstream got in 4 s
 * @violations: arrivals that exceeded the rule
 * @limited_arrivals: requests that limited upstreams got while limited, 3 s
 *                    after they had named the limit or later
 * @limited_allowed: what the limits allow in that time
 * @requests, @served: of callers, without their retries
 * @refused: requests that no host served
 * @refused_with_capacity: attempts refused because of limits while an upstream
 *                         without one had a free slot
 * @refusals: attempts refused by a host, among them retries of callers
 * @held_longest: longest time until such a refusal
 */
typedef struct LimitResult_ {
    double excess;
    unsigned violations;
    double limited_arrivals, limited_allowed;
    unsigned requests, served, refused;
    unsigned refusals, refused_with_capacity;
    Micros held_longest;
} LimitResult;

/** LimitSimulation_Run() - run hosts, upstreams and callers by a seed */
LimitResult LimitSimulation_Run(const LimitOptions *options);

#endif
