#ifndef AGATECRANK_STANDINS_PLATFORMCHECKER_H
#define AGATECRANK_STANDINS_PLATFORMCHECKER_H

#include <glib.h>
#include <stdbool.h>

#include "Clock.h"
#include "NoticeCheck.h"
#include "RetryRule.h"
#include "StopCheck.h"

/** Part of the path of requests that end the upstreams that run them */
#define PLATFORM_CRASH_PATH "/crash"

/**
 * typedef PlatformChecker - checks the guarantees of gateway hosts
 *
 * Records the executions and the responses of each attempt by its id, as seen
 * by upstreams and callers only, and prints a line for each violation.
 */
typedef struct PlatformChecker_ PlatformChecker;

/**
 * PlatformChecker_Create() - create a checker without attempts
 * @retries: limit on the retries of all hosts
 * @events: see NoticeCheck_Create()
 */
PlatformChecker *PlatformChecker_Create(const RetryRuleOptions *retries,
                                        const HostEvents *events);

/** PlatformChecker_Destroy() - release the checker */
void PlatformChecker_Destroy(PlatformChecker *this);

/** PlatformChecker_Notices() - the check of notices, which it owns */
NoticeCheck *PlatformChecker_Notices(const PlatformChecker *this);

/** PlatformChecker_SetStops() - check requests around stops; takes @stops */
void PlatformChecker_SetStops(PlatformChecker *this, StopCheck *stops);

/** PlatformChecker_Stops() - that check, or NULL */
StopCheck *PlatformChecker_Stops(const PlatformChecker *this);

/**
 * PlatformChecker_OnSent() - record that a caller sends an attempt
 * @at_most_once: the attempt must not be executed twice, and not at all if a
 *                response rejects it (503 or 429)
 * @now: time of the call
 */
void PlatformChecker_OnSent(PlatformChecker *this, const char *id,
                            bool at_most_once, Micros now);

/**
 * PlatformChecker_OnArrival() - record that the header of an attempt arrives
 *                               at an upstream, which may reject it
 * @now: time of the call
 */
void PlatformChecker_OnArrival(PlatformChecker *this, const char *id,
                               Micros now);

/**
 * PlatformChecker_OnTarget() - record the host that a sent attempt goes to, from
 *     0; to be called after PlatformChecker_OnSent()
 */
void PlatformChecker_OnTarget(PlatformChecker *this, const char *id,
                              unsigned host);

/**
 * PlatformChecker_CountShares() - begin or end to count attempts by their hosts
 */
void PlatformChecker_CountShares(PlatformChecker *this, bool on);

/** typedef PlatformExcuse - true if attempts at a host do not count now */
typedef bool PlatformExcuse(void *user, unsigned host);

/** PlatformChecker_SetExcuse() - do not count some attempts by their hosts */
void PlatformChecker_SetExcuse(PlatformChecker *this, PlatformExcuse *excuse,
                               void *user);

/**
 * PlatformChecker_CountedCount() - number of counted attempts
 * @first, @count: hosts
 */
unsigned PlatformChecker_CountedCount(const PlatformChecker *this,
                                      unsigned first, unsigned count);

/**
 * PlatformChecker_ServedShare() - fraction of the counted attempts that were
 *     served
 * @first, @count: hosts
 */
double PlatformChecker_ServedShare(const PlatformChecker *this, unsigned first,
                                   unsigned count);

/** PlatformChecker_OnExecution() - record that an upstream starts to execute an
 *                                 attempt */
void PlatformChecker_OnExecution(PlatformChecker *this, const char *id,
                                 const char *upstream);

/**
 * PlatformChecker_OnResponse() - record that a caller received a complete
 *                                response
 * @signature: "ID.UPSTREAM" as sent by the upstream, or NULL
 * @body: zero-terminated body of the response
 */
void PlatformChecker_OnResponse(PlatformChecker *this, const char *id,
                                int status, const char *signature,
                                const char *body);

/**
 * PlatformChecker_OnTimeout() - record that an attempt timed out at its caller
 *
 * This is a violation if the attempt was sent after
 * PlatformChecker_RequireResponses().
 */
void PlatformChecker_OnTimeout(PlatformChecker *this, const char *id);

/**
 * PlatformChecker_RequireResponses() - require a response to each attempt
 *                                      that is sent from now on
 *
 * To be called when no fault is active any more.
 */
void PlatformChecker_RequireResponses(PlatformChecker *this);

/**
 * PlatformChecker_OnCrashingExecution() - record that an upstream starts to
 *     execute a request that will end it
 * @request: identifies the request over all attempts
 * @now: time of the call
 * @in_touch: the hosts could have told each other of earlier ends
 *
 * It is a violation if a request is executed more than three times later than
 * 3 s after it has ended the third upstream.
 */
void PlatformChecker_OnCrashingExecution(PlatformChecker *this,
                                         const char *request, Micros now,
                                         bool in_touch);

/** PlatformChecker_OnCrash() - record that a request ended an upstream */
void PlatformChecker_OnCrash(PlatformChecker *this, const char *request,
                             Micros now);

/** PlatformChecker_ReportViolation() - print and count a violation that was
 *                                     found by other code */
void PlatformChecker_ReportViolation(PlatformChecker *this, const char *format,
                                     ...)
    __attribute__((format(printf, 2, 3)));

/**
 * PlatformChecker_PrintTotals() - check what is known at the end only, and
 *                                 print totals
 *
 * Return: the number of violations.
 */
unsigned PlatformChecker_PrintTotals(PlatformChecker *this);

/** PlatformChecker_SentCount() - number of attempts sent so far */
unsigned PlatformChecker_SentCount(const PlatformChecker *this);

/** PlatformChecker_ServedCount() - number of responses with a 2xx status so
 *                                 far */
unsigned PlatformChecker_ServedCount(const PlatformChecker *this);

#endif
