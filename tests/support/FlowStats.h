#ifndef AGATECRANK_TESTS_FLOWSTATS_H
#define AGATECRANK_TESTS_FLOWSTATS_H

#include <glib.h>
#include <stdbool.h>

#include "Clock.h"

/** struct ServiceResult_ - what was seen of one service while measuring */
typedef struct ServiceResult_ {
    uint64_t offered;
    uint64_t answered;
    uint64_t failed;
    uint64_t sent;
    uint64_t sheds;
    uint64_t retries;
    Micros p50;
    Micros p99;
    Micros wait_p99;       /* latency without the service time itself */
    double affected_share; /* of attempts in the period, at faulty upstreams */
    double affected_late;  /* the same from 50 ms after its start */
    double affected_after; /* the same over the last second of the run */
    double probe_peak;     /* largest use of a probe limit, 1 is all of it */
} ServiceResult;

/** struct FlowStats_ - counts of one service during a run */
typedef struct FlowStats_ {
    ServiceResult result;
    GArray *latencies;
    GArray *waits;
    uint64_t attempts[3];
    uint64_t affected[3];
} FlowStats;

/** enum FlowPhase_ - parts of a run in which attempts are counted apart */
typedef enum FlowPhase_ {
    PHASE_PERIOD,
    PHASE_LATE,
    PHASE_AFTER,
} FlowPhase;

/** FlowStats_Init() - no counts */
void FlowStats_Init(FlowStats *this);

/** FlowStats_AddAttempt() - a request reached an upstream in @phase */
void FlowStats_AddAttempt(FlowStats *this, FlowPhase phase, bool affected);

/** FlowStats_AddAnswer() - a request was answered by an upstream */
void FlowStats_AddAnswer(FlowStats *this, Micros latency, Micros service_time);

/** FlowStats_Finish() - compute quantiles and shares; frees the samples */
ServiceResult FlowStats_Finish(FlowStats *this);

#endif
