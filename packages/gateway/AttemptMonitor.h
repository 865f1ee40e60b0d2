#ifndef AGATECRANK_GATEWAY_ATTEMPTMONITOR_H
#define AGATECRANK_GATEWAY_ATTEMPTMONITOR_H

#include "DispatcherPrivate.h"

/*
 * Moves requests away from unreachable upstreams in time for another one to
 * serve them.
 *
 * When some upstreams lose power or network at once, TCP does not report it,
 * and their requests would wait until their deadline. The upstream of an
 * attempt that takes long and that sent no recent report is probed; after
 * several probe timeouts in a row it counts as unreachable. An attempt is
 * abandoned only if the request is idempotent, the retry limit allows another
 * attempt, and another upstream has spare capacity; if the first upstream may
 * still be processing the request, the other one must be nearly idle. No
 * attempt is abandoned while the host stops.
 */

/** AttemptMonitor_Start() - the job was sent to an upstream */
void AttemptMonitor_Start(Job *job);

/**
 * AttemptMonitor_OnTime() - check the attempt at the time of
 *     Job_SetMonitorAt()
 */
void AttemptMonitor_OnTime(Job *job);

/** AttemptMonitor_OnProbeTimeout() - a probe of @upstream got no response */
void AttemptMonitor_OnProbeTimeout(Dispatcher *this, uint32_t upstream);

#endif
