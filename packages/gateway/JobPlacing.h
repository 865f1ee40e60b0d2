#ifndef AGATECRANK_GATEWAY_JOBPLACING_H
#define AGATECRANK_GATEWAY_JOBPLACING_H

#include "DispatcherPrivate.h"

/**
 * JobPlacing_Place() - send a job, ask for loads first, or let it wait
 *
 * Return: false if there is no upstream.
 */
bool JobPlacing_Place(Job *job);

/** JobPlacing_Query() - where it may be placed: not where it was before */
PlacementQuery JobPlacing_Query(const Job *job);

/** JobPlacing_CanAsk() - upstreams of the job's service can be asked */
bool JobPlacing_CanAsk(const Job *job);

/** JobPlacing_AskAgain() - ask an upstream that has the job for its load, if
 *                          the budget for questions allows it */
void JobPlacing_AskAgain(const Job *job, uint32_t upstream);

/** JobPlacing_AskOthers() - ask some upstreams that the job was not sent to */
void JobPlacing_AskOthers(const Job *job);

/** JobPlacing_ServeQueue() - send what waits for a service while there is room
 *                            that is known to be there now */
void JobPlacing_ServeQueue(Dispatcher *this, uint32_t service);

/** JobPlacing_OnLoadsKnown() - the jobs that wait for loads may go on */
void JobPlacing_OnLoadsKnown(Dispatcher *this);

/** JobPlacing_GoOn() - place a job that waited for loads, or give it up */
void JobPlacing_GoOn(Job *job);

/** JobPlacing_OnTime() - end waits that are over, ask for room again */
void JobPlacing_OnTime(Dispatcher *this);

#endif
