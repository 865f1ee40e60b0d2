#ifndef AGATECRANK_CORE_LOADESTIMATE_H
#define AGATECRANK_CORE_LOADESTIMATE_H

#include "UpstreamTable.h"

/**
 * LoadEstimate_Requests() - estimated requests at the upstream now
 * @weight: set to the weight given to the last report, 0 to 1
 *
 * A new report has the weight ServiceState.report_trust. As it ages, the
 * estimate shifts to the mean utilization of the service, corrected by this
 * host's own requests.
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

/**
 * LoadEstimate_Penalty() - number of failed requests still counted as running
 *
 * A request that fails fast would otherwise make its upstream look idle. The
 * penalty decays exponentially.
 */
float LoadEstimate_Penalty(const ServiceState *service, const Upstream *u,
                           Micros now);

/** LoadEstimate_AddPenalty() - count a request that failed early as running */
void LoadEstimate_AddPenalty(const ServiceState *service, Upstream *u,
                             Micros now);

/** LoadEstimate_IsStuck() - whether own requests run far longer than usual */
bool LoadEstimate_IsStuck(const ServiceState *service, const Upstream *u,
                          Micros now);

/**
 * LoadEstimate_OnReport() - process a load report
 * @written: time when the upstream wrote it
 * @options: NULL for the report of a probe, which is no evidence of the
 *           quality of the reports that come with responses
 */
void LoadEstimate_OnReport(ServiceState *service, Upstream *u,
                           const LoadReport *report, Micros written,
                           const RouterOptions *options);

/** LoadEstimate_OnLatency() - process the latency of a successful response */
void LoadEstimate_OnLatency(ServiceState *service, Upstream *u,
                            Micros latency);

/**
 * LoadEstimate_IsSlow() - whether recent responses are far slower than usual
 */
bool LoadEstimate_IsSlow(const ServiceState *service, const Upstream *u);

/**
 * LoadEstimate_RampShare() - fraction of its fair share that an upstream gets
 *
 * Return: rises linearly from RAMP_INITIAL_RATIO to 1 during @ramp_time.
 */
float LoadEstimate_RampShare(const Upstream *u, Micros now, Micros ramp_time);

#endif
