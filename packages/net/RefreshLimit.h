#ifndef AGATECRANK_NET_REFRESHLIMIT_H
#define AGATECRANK_NET_REFRESHLIMIT_H

#include <stdbool.h>

#include "Clock.h"
#include "Str.h"

/**
 * typedef RefreshLimit - limit on readings of the list of hosts that other
 *     hosts cause
 *
 * Two token buckets must have a token: one for all hosts, with a burst of 6 and
 * one more each 5 s (18 in a minute at most), and one for each host id, with a
 * burst of 3 and one more each 10 s, that is full again when the list confirms a
 * claim. An id that is claimed again and again leaves readings for the others.
 */
typedef struct RefreshLimit_ RefreshLimit;

/** RefreshLimit_Create() - with full buckets; @clock is borrowed */
RefreshLimit *RefreshLimit_Create(const Clock *clock);

/** RefreshLimit_Destroy() - release it; NULL is allowed */
void RefreshLimit_Destroy(RefreshLimit *this);

/**
 * RefreshLimit_Take() - take a token for a reading
 * @host: id of the host that causes it, as it claims
 *
 * Return: false if there is no token; then none is taken.
 */
bool RefreshLimit_Take(RefreshLimit *this, Str host);

/** RefreshLimit_Confirm() - the list has a new key of a host */
void RefreshLimit_Confirm(RefreshLimit *this, Str host);

#endif
