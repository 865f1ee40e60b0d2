#ifndef AGATECRANK_GATEWAY_JOBPLACEMENT_H
#define AGATECRANK_GATEWAY_JOBPLACEMENT_H

#include "DispatcherPrivate.h"

/**
 * JobPlacement_Place() - send a job, ask for loads first, or let it wait
 *
 * Return: false if there is no upstream.
 */
bool JobPlacement_Place(Job *job);

/** JobPlacement_Query() - where it may be placed: not where it was before */
PlacementQuery JobPlacement_Query(const Job *job);

/** JobPlacement_CanProbe() - upstreams of the job's service can be asked */
bool JobPlacement_CanProbe(const Job *job);

/** JobPlacement_ProbeAgain() - ask an upstream that has the job for its load, if
 *                          the budget for questions allows it */
void JobPlacement_ProbeAgain(const Job *job, uint32_t upstream);

/** JobPlacement_ProbeOthers() - ask some upstreams that the job was not sent to */
void JobPlacement_ProbeOthers(const Job *job);

/** JobPlacement_ServeQueue() - send what waits for a service while there is room
 *                            that is known to be there now */
void JobPlacement_ServeQueue(Dispatcher *this, uint32_t service);

/** JobPlacement_OnProbeEnd() - the jobs that wait for loads may go on */
void JobPlacement_OnProbeEnd(Dispatcher *this);

/** JobPlacement_Resume() - place a job that waited for loads, or give it up */
void JobPlacement_Resume(Job *job);

/** JobPlacement_OnTime() - end waits that are over, ask for room again */
void JobPlacement_OnTime(Dispatcher *this);

#endif
