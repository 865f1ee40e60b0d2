#ifndef AGATECRANK_CORE_PROBEBUDGET_H
#define AGATECRANK_CORE_PROBEBUDGET_H

#include <stdbool.h>
#include <stdint.h>

#include "Clock.h"

/* Maximum size of the request and the response of a probe together. */
#define PROBE_BYTES_MAX 512
/* Probe timeout; bounds the slot time that one probe uses. */
#define PROBE_TIMEOUT_US (20 * MICROS_PER_MS)

/**
 * struct ProbeLimits_ - limits on probing one service, for all hosts together
 * @requests_per_s: probes per second
 * @bytes_per_s: bytes of requests and responses per second
 * @time_share: fraction of the slot time of the service, 0.001 for 0.1%
 */
typedef struct ProbeLimits_ {
    double requests_per_s;
    double bytes_per_s;
    double time_share;
} ProbeLimits;

/**
 * struct ProbeUsage_ - cost of the probes of this host since creation
 * @denied: probes that the budget did not allow
 */
typedef struct ProbeUsage_ {
    uint64_t requests;
    uint64_t bytes;
    Micros time;
    uint64_t denied;
} ProbeUsage;

/**
 * typedef ProbeBudget - this host's part of the probe budget of a service
 *
 * Three token buckets, empty at creation. A probe first reserves its maximum
 * cost and releases the unused part when it ends, so that over any period the
 * host uses at most its rate times the period plus one probe.
 */
typedef struct ProbeBudget_ ProbeBudget;

/** ProbeBudget_Create() - create an empty budget; @clock is borrowed */
ProbeBudget *ProbeBudget_Create(const ProbeLimits *limits, const Clock *clock);

/** ProbeBudget_Destroy() - free the budget */
void ProbeBudget_Destroy(ProbeBudget *this);

/** ProbeBudget_SetLimits() - change the limits; the usage is kept */
void ProbeBudget_SetLimits(ProbeBudget *this, const ProbeLimits *limits);

/**
 * ProbeBudget_SetShare() - compute this host's part of the limits
 * @divisor: number of hosts that the limits are divided by, at least 1
 * @slots: slots of all upstreams of the service
 */
void ProbeBudget_SetShare(ProbeBudget *this, uint32_t divisor, uint32_t slots);

/** ProbeBudget_Reserve() - reserve one probe; false if the budget is spent */
bool ProbeBudget_Reserve(ProbeBudget *this);

/** ProbeBudget_Settle() - charge @bytes and @time for a probe that ended */
void ProbeBudget_Settle(ProbeBudget *this, uint32_t bytes, Micros time);

/** ProbeBudget_Usage() - usage counters, for comparison with the limits */
ProbeUsage ProbeBudget_Usage(const ProbeBudget *this);

/** ProbeBudget_InjectOverspend() - injected fault: ignore the budget */
void ProbeBudget_InjectOverspend(ProbeBudget *this);

#endif
