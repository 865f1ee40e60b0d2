#ifndef AGATECRANK_CORE_HEALTH_H
#define AGATECRANK_CORE_HEALTH_H

#include "UpstreamTable.h"

/**
 * Health_IsDraining() - whether no new requests may be sent to the upstream
 *
 * A drain seen in a load report ends after DRAIN_REPORT_MAX_AGE_US without a
 * new one; a trial then decides whether the upstream is used again.
 */
bool Health_IsDraining(Upstream *u, Micros now);

/** Health_IsEjected() - whether the upstream gets no traffic for now */
bool Health_IsEjected(const Upstream *u, Micros now);

/**
 * Health_IsTrialDue() - whether the ejection is over and a trial may be sent
 */
bool Health_IsTrialDue(const Upstream *u, Micros now);

/** Health_Eject() - eject the upstream for @duration; a trial follows */
void Health_Eject(Upstream *u, Micros now, Micros duration);

/** Health_OnSent() - mark a request as the trial if one is due */
void Health_OnSent(Upstream *u, Micros now);

/**
 * Health_OnFinished() - update the health from the result of a request
 * @latency: time since the request was sent
 */
void Health_OnFinished(ServiceState *service, Upstream *u,
                       AttemptOutcome outcome, Micros latency, Micros now);

/** Health_OnDrainReport() - process the draining flag of a load report */
void Health_OnDrainReport(Upstream *u, bool draining, Micros now);

/**
 * Health_OnDrainListed() - process the draining state from the host list
 * or a peer
 */
void Health_OnDrainListed(Upstream *u, bool draining, Micros now);

#endif
