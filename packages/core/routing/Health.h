#ifndef AGATECRANK_CORE_HEALTH_H
#define AGATECRANK_CORE_HEALTH_H

#include "UpstreamTable.h"

/**
 * Health_IsDraining() - nothing new may be sent to the upstream
 *
 * Ends for lack of evidence after DRAIN_MEMORY; then a trial decides.
 */
bool Health_IsDraining(Upstream *u, Micros now);

/** Health_IsHeld() - gets no traffic until its hold ends */
bool Health_IsHeld(const Upstream *u, Micros now);

/** Health_IsTrialDue() - its hold has ended and one request may test it */
bool Health_IsTrialDue(const Upstream *u, Micros now);

/** Health_Suspect() - hold it for @duration, then test it */
void Health_Suspect(Upstream *u, Micros now, Micros duration);

/** Health_OnSent() - notes a trial */
void Health_OnSent(Upstream *u, Micros now);

/** Health_OnFinished() - learn from the end of a request */
void Health_OnFinished(ServiceState *service, Upstream *u,
                       AttemptOutcome outcome, Micros latency, Micros now);

/** Health_OnDrainReport() - the upstream itself says if it is leaving */
void Health_OnDrainReport(Upstream *u, bool draining, Micros now);

/** Health_OnListed() - the host list or a peer says if it is leaving */
void Health_OnListed(Upstream *u, bool draining, Micros now);

#endif
