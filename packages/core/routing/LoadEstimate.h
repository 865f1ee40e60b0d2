#ifndef AGATECRANK_CORE_LOADESTIMATE_H
#define AGATECRANK_CORE_LOADESTIMATE_H

#include "UpstreamTable.h"

/**
 * LoadEstimate_Requests() - requests likely at the upstream now
 *
 * A report counts fully when it is new; with its age the estimate moves to
 * the mean of the service, corrected by this host's own requests.
 * @weight: set to the weight that the report got, 0 to 1
 */
float LoadEstimate_Requests(const ServiceState *service, const Upstream *u,
                            Micros now, float *weight);

/**
 * LoadEstimate_Delay() - expected microseconds until a request gets a slot
 * @requests: result of LoadEstimate_Requests(), with its @weight
 * @slots: slots of the upstream
 */
float LoadEstimate_Delay(const ServiceState *service, float requests,
                         float weight, float slots);

/** LoadEstimate_Penalty() - failed requests that still count as running */
float LoadEstimate_Penalty(const ServiceState *service, const Upstream *u,
                           Micros now);

/** LoadEstimate_AddPenalty() - count a request that failed early */
void LoadEstimate_AddPenalty(const ServiceState *service, Upstream *u,
                             Micros now);

/** LoadEstimate_IsStuck() - own requests run far longer than typical */
bool LoadEstimate_IsStuck(const ServiceState *service, const Upstream *u,
                          Micros now);

/**
 * LoadEstimate_OnReport() - take in a report that was written at @written
 * @options: NULL for the report of a probe, which proves nothing about those
 *           that come with responses
 */
void LoadEstimate_OnReport(ServiceState *service, Upstream *u,
                           const LoadReport *report, Micros written,
                           const RouterOptions *options);

/** LoadEstimate_OnLatency() - take in the latency of a good response */
void LoadEstimate_OnLatency(ServiceState *service, Upstream *u,
                            Micros latency);

/** LoadEstimate_IsSlow() - recent responses are far slower than typical */
bool LoadEstimate_IsSlow(const ServiceState *service, const Upstream *u);

/** LoadEstimate_Ramp() - part of a fair share for a new upstream */
float LoadEstimate_Ramp(const Upstream *u, Micros now, Micros ramp_time);

#endif
