#ifndef AGATECRANK_GATEWAY_JOBLOG_H
#define AGATECRANK_GATEWAY_JOBLOG_H

#include "DispatcherPrivate.h"

/**
 * JobLog_Choice() - an upstream was chosen
 * @remaining: time until the deadline of the job
 */
void JobLog_Choice(const Job *job, const PlacementChoice *choice,
                   Micros remaining);

/** JobLog_AttemptEnd() - an attempt has ended */
void JobLog_AttemptEnd(const Job *job, uint32_t upstream,
                       const AttemptEndInfo *end);

/**
 * JobLog_RelayEnd() - count and log the end of the relay of a long response
 */
void JobLog_RelayEnd(const Job *job, RelayEnd end);

/**
 * JobLog_AttemptAbandoned() - the current attempt is abandoned for another one
 */
void JobLog_AttemptAbandoned(const Job *job, const char *reason);

/** JobLog_Rejection() - the host responds itself */
void JobLog_Rejection(const Job *job, int status, const char *reason);

/**
 * JobLog_UnprovenRefusal() - 502 replaces a status that implies that the
 *     request was not executed
 */
void JobLog_UnprovenRefusal(const Job *job, int status, const char *reason);

/** JobLog_CallerDisconnect() - the caller closed its connection */
void JobLog_CallerDisconnect(const Job *job);

/** JobLog_Forward() - the job was forwarded to a peer */
void JobLog_Forward(const Job *job);

/**
 * JobLog_ForwardCancelled() - the open forward ends at the job's deadline, or
 *     with the host
 * @result: "deadline" or "stopped"
 */
void JobLog_ForwardCancelled(const Job *job, const char *result);

/** JobLog_Interrupted() - the process ends while the job is open */
void JobLog_Interrupted(const Job *job);

/** JobLog_ForwardEnd() - the open forward has ended */
void JobLog_ForwardEnd(const Job *job, const ForwardEndInfo *end);

#endif
