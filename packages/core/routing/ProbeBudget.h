#ifndef AGATECRANK_CORE_PROBEBUDGET_H
#define AGATECRANK_CORE_PROBEBUDGET_H

#include <stdbool.h>
#include <stdint.h>

#include "Clock.h"

/* A probe reads at most this many bytes, request and response together. */
#define PROBE_BYTES_MAX 512
/* A probe is given up after this time, so it never costs more of a slot. */
#define PROBE_TIME_MAX (20 * MICROS_PER_MS)

/**
 * struct ProbeLimits_ - what probing one service may cost, all hosts together
 * @requests_per_s: probe requests a second
 * @bytes_per_s: bytes of requests and responses a second
 * @time_share: share of the service's slot time, 0.001 for 0.1%
 */
typedef struct ProbeLimits_ {
    double requests_per_s;
    double bytes_per_s;
    double time_share;
} ProbeLimits;

/** struct ProbeSpent_ - what this host has spent since creation */
typedef struct ProbeSpent_ {
    uint64_t requests;
    uint64_t bytes;
    Micros time;
    uint64_t refused;
} ProbeSpent;

/**
 * typedef ProbeBudget - this host's part of a service's probe budget
 *
 * Three token buckets, empty at creation. A probe first reserves its largest
 * possible cost and gets the rest back when it ends, so that over any period
 * the host spends at most its rate times the period plus one probe.
 */
typedef struct ProbeBudget_ ProbeBudget;

/** ProbeBudget_Create() - an empty budget; @clock is borrowed */
ProbeBudget *ProbeBudget_Create(const ProbeLimits *limits, const Clock *clock);

/** ProbeBudget_Destroy() - release the budget */
void ProbeBudget_Destroy(ProbeBudget *this);

/** ProbeBudget_SetLimits() - new limits; what is spent stays counted */
void ProbeBudget_SetLimits(ProbeBudget *this, const ProbeLimits *limits);

/**
 * ProbeBudget_SetShare() - divide the limits
 * @divisor: number of hosts that the limits are divided by, at least 1
 * @slots: slots of all upstreams of the service
 */
void ProbeBudget_SetShare(ProbeBudget *this, uint32_t divisor, uint32_t slots);

/** ProbeBudget_Take() - reserve one probe; false if it is not affordable */
bool ProbeBudget_Take(ProbeBudget *this);

/** ProbeBudget_Settle() - a probe ended and cost @bytes and @time */
void ProbeBudget_Settle(ProbeBudget *this, uint32_t bytes, Micros time);

/** ProbeBudget_Spent() - counters, to be shown against the limits */
ProbeSpent ProbeBudget_Spent(const ProbeBudget *this);

/** ProbeBudget_PlantOverspend() - test option: Take() ignores the buckets */
void ProbeBudget_PlantOverspend(ProbeBudget *this);

#endif
