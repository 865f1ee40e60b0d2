#ifndef AGATECRANK_CORE_LOGACCESS_H
#define AGATECRANK_CORE_LOGACCESS_H

#include <stdbool.h>
#include <stddef.h>

#include "Clock.h"
#include "Str.h"

/**
 * typedef LogAccess - decides when a host that reads a log through relays calls
 *     the log itself
 *
 * Two bounds meet here. What the host knows of a topic must not get too old,
 * whatever happens to its relays. While the log is out of reach, the calls of
 * all hosts together are limited. The first one goes first: the word of a relay
 * that has lost the log does not keep this host from calling in time, only a
 * failed call of its own does.
 */
typedef struct LogAccess_ LogAccess;

/**
 * LogAccess_Create() - nothing is known, relays have the log
 * @host: id of this host; hosts call at different times, which it decides
 * @clock: borrowed
 */
LogAccess *LogAccess_Create(Str host, const Clock *clock);

/** LogAccess_Destroy() - NULL is allowed */
void LogAccess_Destroy(LogAccess *this);

/**
 * LogAccess_SetPlace() - what the list of hosts says
 * @host_count: live hosts of the deployment
 * @has_relays: this host reads through others
 * @shares_rate: it calls an unreachable log at a rate that all hosts share
 */
void LogAccess_SetPlace(LogAccess *this, size_t host_count, bool has_relays,
                        bool shares_rate);

/**
 * LogAccess_OnKnown() - the topic was read up to its end
 * @age: time for which the answer may have been out of date
 */
void LogAccess_OnKnown(LogAccess *this, Str topic, Micros age);

/**
 * LogAccess_Age() - time since what this host knows of the topic was up to date
 *
 * Return: of a topic that was never read, the time since the creation.
 */
Micros LogAccess_Age(const LogAccess *this, Str topic);

/** LogAccess_OnRelayLost() - a relay says that it can't reach the log */
void LogAccess_OnRelayLost(LogAccess *this);

/**
 * LogAccess_CallDelay() - for how long the log must not be called
 * @topic: that is to be read; empty for one that has no time limit
 *
 * Return: 0 if it may be called now.
 */
Micros LogAccess_CallDelay(const LogAccess *this, Str topic);

/**
 * LogAccess_Begin() - the log is called
 *
 * Return: whether this call is a probe, which shows if the log is in reach. It
 * must not wait for a record, as no other call is made before its end.
 */
bool LogAccess_Begin(LogAccess *this);

/**
 * LogAccess_End() - a call has ended
 * @probe: as returned by LogAccess_Begin()
 * @failed: the log did not serve it
 */
void LogAccess_End(LogAccess *this, bool probe, bool failed);

/** LogAccess_HasFailed() - whether the last call of this host failed */
bool LogAccess_HasFailed(const LogAccess *this);

/**
 * LogAccess_RelayWait() - for how long a relay may wait for a record
 * @longest: of a relay of this kind
 */
Micros LogAccess_RelayWait(const LogAccess *this, Str topic, Micros longest);

/**
 * LogAccess_IsOverdue() - whether there is no time left for another relay that
 *     may not respond
 */
bool LogAccess_IsOverdue(const LogAccess *this, Str topic);

#endif
