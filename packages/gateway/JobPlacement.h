#ifndef AGATECRANK_GATEWAY_JOBPLACEMENT_H
#define AGATECRANK_GATEWAY_JOBPLACEMENT_H

#include "DispatcherPrivate.h"

/**
 * JobPlacement_Place() - send a job, probe upstreams for it, or queue it
 *
 * Return: false if no upstream can be used.
 */
bool JobPlacement_Place(Job *job);

/**
 * JobPlacement_Send() - send the job to an upstream, or reject it if that is a
 *     retry beyond the limit
 */
void JobPlacement_Send(Job *job, const PlacementChoice *choice);

/** JobPlacement_Query() - a query that excludes upstreams already tried */
PlacementQuery JobPlacement_Query(const Job *job);

/**
 * JobPlacement_CanProbe() - whether upstreams of the job's service support
 *     load probes
 */
bool JobPlacement_CanProbe(const Job *job);

/**
 * JobPlacement_ProbeUpstream() - probe an upstream regardless of the probe
 *     budget, unless a probe is pending or its service does not support them
 */
void JobPlacement_ProbeUpstream(Dispatcher *this, uint32_t upstream);

/**
 * JobPlacement_ProbeAgain() - probe the upstream of the job's attempt, if the
 *     probe budget allows it
 */
void JobPlacement_ProbeAgain(const Job *job, uint32_t upstream);

/** JobPlacement_ProbeOthers() - probe some upstreams that were not tried */
void JobPlacement_ProbeOthers(const Job *job);

/**
 * JobPlacement_ServeQueue() - send queued jobs of a service while a recent
 *     report shows spare capacity
 */
void JobPlacement_ServeQueue(Dispatcher *this, uint32_t service);

/**
 * JobPlacement_OnProbeEnd() - continue with jobs that waited for probe replies
 */
void JobPlacement_OnProbeEnd(Dispatcher *this);

/**
 * JobPlacement_Resume() - place a job that waited for probe replies, or reject
 *     it
 */
void JobPlacement_Resume(Job *job);

/**
 * JobPlacement_OnTime() - handle expired queue entries and probe for queued
 *     jobs
 */
void JobPlacement_OnTime(Dispatcher *this);

/** JobPlacement_Withdraw() - end all waiting of a job that leaves this host */
void JobPlacement_Withdraw(Job *job);

/** JobPlacement_HasLoadPath() - whether upstreams of a service are probed */
bool JobPlacement_HasLoadPath(const Dispatcher *this, uint32_t service);

#endif
