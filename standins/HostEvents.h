#ifndef AGATECRANK_STANDINS_HOSTEVENTS_H
#define AGATECRANK_STANDINS_HOSTEVENTS_H

#include "Clock.h"

/**
 * typedef HostEvents - when hosts were started or frozen, as another process
 *                      records it in a file
 *
 * The file has lines "HOST NANOSECONDS" with the number of the host and the Unix
 * time. A line is written before the host is started, before it is frozen and
 * before it goes on.
 */
typedef struct HostEvents_ HostEvents;

/** HostEvents_Create() - @path: may not exist yet; @clock is borrowed */
HostEvents *HostEvents_Create(const char *path, const Clock *clock);

/** HostEvents_Destroy() - NULL is allowed */
void HostEvents_Destroy(HostEvents *this);

/**
 * HostEvents_Last() - time by Clock_Now() of the last event of a host; reads the
 *     file
 *
 * Return: -1 if there is none.
 */
Micros HostEvents_Last(const HostEvents *this, unsigned host);

/** HostEvents_LastBefore() - the same for events up to a time */
Micros HostEvents_LastBefore(const HostEvents *this, unsigned host,
                             Micros time);

#endif
