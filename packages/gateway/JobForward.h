#ifndef AGATECRANK_GATEWAY_JOBFORWARD_H
#define AGATECRANK_GATEWAY_JOBFORWARD_H

#include "DispatcherPrivate.h"

/*
 * Sends the jobs of a host that is cut off from all upstreams to peers, and
 * bounds what this host accepts from peers.
 *
 * A forwarded job is never forwarded again. The peer may use the attempts that
 * this host has not used; they count as used unless the peer states that the
 * request was not executed. A forward after something that may have reached an
 * upstream counts towards the retry limit.
 */

/** JobForward_Applies() - whether the job can't be sent to an upstream here */
bool JobForward_Applies(const Job *job);

/**
 * JobForward_Start() - forward the job
 *
 * Return: NULL, or why it can't be forwarded.
 */
const char *JobForward_Start(Job *job);

/** JobForward_Redirect() - forward or reject the job, which may end it */
void JobForward_Redirect(Job *job);

/** JobForward_End() - account for the end of the open forward, if any */
void JobForward_End(Job *job, PeerOutcome outcome);

/**
 * JobForward_Cancel() - cancel the forward; the peer may have executed it
 * @result: see JobLog_ForwardCancelled()
 */
void JobForward_Cancel(Job *job, const char *result);

/**
 * JobForward_Admit() - reject a job of a peer that this host can't serve;
 *     releases the job then
 *
 * Return: whether it was accepted.
 */
bool JobForward_Admit(Job *job);

#endif
