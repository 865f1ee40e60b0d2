#ifndef AGATECRANK_STANDINS_NOTICECHECK_H
#define AGATECRANK_STANDINS_NOTICECHECK_H

#include <stdbool.h>

#include "HostEvents.h"

/**
 * typedef NoticeCheck - checks what hosts send to upstreams that have announced
 *                       that they want no requests
 *
 * A notice holds for the incarnation of the upstream that has given it. A host
 * that was started or frozen since then is excused, for a pause also one that
 * was cut off.
 */
typedef struct NoticeCheck_ NoticeCheck;

/** A host that is not known; that of the caller is meant */
#define NOTICE_HOST_UNKNOWN (-1)

/**
 * NoticeCheck_Create() - create a check without requests
 * @events: of the hosts; borrowed; NULL if they are neither started again nor
 *          frozen
 */
NoticeCheck *NoticeCheck_Create(const HostEvents *events);

/** NoticeCheck_Destroy() - release the check */
void NoticeCheck_Destroy(NoticeCheck *this);

/** NoticeCheck_OnSent() - a caller sends a request to a host */
void NoticeCheck_OnSent(NoticeCheck *this, const char *id, unsigned host,
                        Micros now);

/**
 * NoticeCheck_OnLeavingRelayed() - a caller has received a response that says
 *     that the upstream leaves
 */
void NoticeCheck_OnLeavingRelayed(NoticeCheck *this, const char *id,
                                  const char *upstream, Micros now);

/**
 * NoticeCheck_OnPause() - an upstream turns a request away and asks the host
 *     for a pause
 * @sender: host that has sent it, or NOTICE_HOST_UNKNOWN
 */
void NoticeCheck_OnPause(NoticeCheck *this, const char *id, int sender,
                         const char *upstream, Micros now, Micros pause);

/** NoticeCheck_OnRestart() - a new incarnation of the upstream has started */
void NoticeCheck_OnRestart(NoticeCheck *this, const char *upstream,
                           Micros now);

/** NoticeCheck_OnCut() - a host is being cut off from the upstreams, or was */
void NoticeCheck_OnCut(NoticeCheck *this, unsigned host, Micros now);

/**
 * NoticeCheck_IsLate() - whether the caller sent a request 2 s or more after
 *     the host which it reaches the upstream from had passed on that the
 *     upstream leaves
 * @sender: as above
 */
bool NoticeCheck_IsLate(const NoticeCheck *this, const char *id, int sender,
                        const char *upstream);

/**
 * NoticeCheck_IsEarly() - count a request that reaches the upstream
 * @sender: as above
 *
 * Return: whether its host has sent more than two between 0.5 s after the
 * upstream had asked it for a pause and the end of the pause.
 */
bool NoticeCheck_IsEarly(NoticeCheck *this, const char *id, int sender,
                         const char *upstream, Micros now);

/** NoticeCheck_PrintTotals() - print how often the rules applied */
void NoticeCheck_PrintTotals(const NoticeCheck *this);

#endif
