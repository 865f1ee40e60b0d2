#ifndef AGATECRANK_TESTS_ALLOWANCESIMULATION_H
#define AGATECRANK_TESTS_ALLOWANCESIMULATION_H

#include "AllowanceClient.h"

/**
 * struct AllowanceRun_ - one customer that enters through some of many hosts
 * @hosts, @entries: number of hosts, and of those that its callers use
 * @rate_per_s, @burst: its limit
 * @tolerance: of its limit
 * @demand: requests per second as a multiple of the rate, before @hot_at
 * @hot_demand, @hot_at: the same from then on
 * @duration: of the run
 * @delay: one way between hosts
 * @grantor_down_at, @grantor_up_at: the first grantor is without power; 0: never
 * @frozen: it is suspended instead
 * @restart_at: all hosts restart; 0 for never
 * @older_lists: every second host lacks the last tenth of the hosts
 * @cut_at: every second host cannot reach the first grantor from then on; 0 for
 *          never
 * @link_ratio: each tenth host has this many times the network capacity
 */
typedef struct AllowanceRun_ {
    uint64_t seed;
    size_t hosts;
    size_t entries;
    double rate_per_s;
    double burst;
    double tolerance;
    double demand;
    double hot_demand;
    Micros hot_at;
    Micros duration;
    Micros delay;
    Micros grantor_down_at;
    Micros grantor_up_at;
    bool frozen;
    Micros restart_at;
    bool older_lists;
    Micros cut_at;
    uint32_t link_ratio;
} AllowanceRun;

/**
 * struct AllowanceResult_ - what the callers and upstreams have seen
 * @refused_within: refused although a single bucket of the limit would have
 *                  admitted them
 * @worst_excess: most requests sent in a window of ALLOWANCE_WINDOW_US beyond
 *                rate times window and burst; negative below
 * @wait_max: longest time to a decision
 * @asks: questions to other hosts
 */
typedef struct AllowanceResult_ {
    uint32_t requests;
    uint32_t sent;
    uint32_t refused;
    uint32_t refused_within;
    double worst_excess;
    Micros wait_max;
    uint32_t asks;
} AllowanceResult;

/** ALLOWANCE_WINDOW_US - window of the users' bound */
#define ALLOWANCE_WINDOW_US (5 * MICROS_PER_S)

/** AllowanceSimulation_Run() - play one run */
AllowanceResult AllowanceSimulation_Run(const AllowanceRun *run);

#endif
