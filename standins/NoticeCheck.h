#ifndef AGATECRANK_STANDINS_NOTICECHECK_H
#define AGATECRANK_STANDINS_NOTICECHECK_H

#include <stdbool.h>

#include "Clock.h"

/**
 * typedef NoticeCheck - checks what hosts send to upstreams that have announced
 *                       that they want no requests
 *
 * Knows the host of a request by its id, from the caller that has sent it.
 */
typedef struct NoticeCheck_ NoticeCheck;

/** NoticeCheck_Create() - create a check without requests */
NoticeCheck *NoticeCheck_Create(void);

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
 */
void NoticeCheck_OnPause(NoticeCheck *this, const char *id,
                         const char *upstream, Micros now, Micros pause);

/** NoticeCheck_OnRestart() - a new incarnation of the upstream has started */
void NoticeCheck_OnRestart(NoticeCheck *this, const char *upstream,
                           Micros now);

/**
 * NoticeCheck_IsLate() - whether the caller sent a request 2 s or more after
 *     its host had passed on that the upstream leaves
 */
bool NoticeCheck_IsLate(const NoticeCheck *this, const char *id,
                        const char *upstream);

/**
 * NoticeCheck_IsEarly() - count a request that reaches the upstream
 *
 * Return: whether its host has sent more than two between 0.5 s after the
 * upstream had asked it for a pause and the end of the pause.
 */
bool NoticeCheck_IsEarly(NoticeCheck *this, const char *id,
                         const char *upstream, Micros now);

/** NoticeCheck_PrintTotals() - print how often the rules applied */
void NoticeCheck_PrintTotals(const NoticeCheck *this);

#endif
