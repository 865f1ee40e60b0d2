#ifndef AGATECRANK_TESTS_FLOWSTATS_H
#define AGATECRANK_TESTS_FLOWSTATS_H

#include <glib.h>
#include <stdbool.h>

#include "Clock.h"

/**
 * struct ServiceResult_ - measurements of one service
 * @answered: requests that succeeded
 * @sent: attempts, including retries
 * @wait_p99: 99th percentile of latency minus service time
 * @affected_share: fraction of the attempts in the fault period that went to
 *                  affected upstreams
 * @affected_late: the same, from 50 ms after the start of the period
 * @affected_after: the same, in the last second of the run
 * @probe_peak: largest ratio of probe cost to a probe limit; 1 is the limit
 */
typedef struct ServiceResult_ {
    uint64_t offered;
    uint64_t answered;
    uint64_t failed;
    uint64_t sent;
    uint64_t sheds;
    uint64_t retries;
    Micros p50;
    Micros p99;
    Micros wait_p99;
    double affected_share;
    double affected_late;
    double affected_after;
    double probe_peak;
} ServiceResult;

/** struct FlowStats_ - counters and samples of one service during a run */
typedef struct FlowStats_ {
    ServiceResult result;
    GArray *latencies;
    GArray *waits;
    uint64_t attempts[3];
    uint64_t affected[3];
} FlowStats;

/** enum FlowPhase_ - parts of a run whose attempts are counted separately */
typedef enum FlowPhase_ {
    PHASE_PERIOD,
    PHASE_LATE,
    PHASE_AFTER,
} FlowPhase;

/** FlowStats_Init() - initialize with all counters at 0 */
void FlowStats_Init(FlowStats *this);

/**
 * FlowStats_AddAttempt() - count an attempt that reached an upstream in @phase
 */
void FlowStats_AddAttempt(FlowStats *this, FlowPhase phase, bool affected);

/** FlowStats_AddAnswer() - add the latency of a successful request */
void FlowStats_AddAnswer(FlowStats *this, Micros latency, Micros service_time);

/** FlowStats_Finish() - compute quantiles and shares; frees the samples */
ServiceResult FlowStats_Finish(FlowStats *this);

#endif
