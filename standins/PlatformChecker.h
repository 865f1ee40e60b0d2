#ifndef AGATECRANK_STANDINS_PLATFORMTRUTH_H
#define AGATECRANK_STANDINS_PLATFORMTRUTH_H

#include <glib.h>
#include <stdbool.h>

#include "Clock.h"

/**
 * typedef PlatformChecker - what ran and what callers were told, by attempt id
 *
 * It judges from both ends of the gateway hosts only.
 */
typedef struct PlatformChecker_ PlatformChecker;

/** PlatformChecker_Create() - nothing has happened yet */
PlatformChecker *PlatformChecker_Create(void);

/** PlatformChecker_Destroy() - release it */
void PlatformChecker_Destroy(PlatformChecker *this);

/** PlatformChecker_OnSent() - a caller sends an attempt */
void PlatformChecker_OnSent(PlatformChecker *this, const char *id, bool once);

/** PlatformChecker_OnExecution() - an upstream begins to run it */
void PlatformChecker_OnExecution(PlatformChecker *this, const char *id,
                                 const char *upstream);

/**
 * PlatformChecker_OnAnswer() - a caller got a whole answer
 * @signature: "ID UPSTREAM" as the upstream wrote it, or NULL
 * @body: its body
 */
void PlatformChecker_OnAnswer(PlatformChecker *this, const char *id,
                              int status, const char *signature,
                              const char *body);

/**
 * PlatformChecker_OnTimeout() - a caller's time passed without an answer
 *
 * This breaks a promise if the attempt was sent during calm.
 */
void PlatformChecker_OnTimeout(PlatformChecker *this, const char *id);

/** PlatformChecker_RequireAnswers() - no fault is under way from now on */
void PlatformChecker_RequireAnswers(PlatformChecker *this);

/** PlatformChecker_ReportViolation() - another check found a broken promise */
void PlatformChecker_ReportViolation(PlatformChecker *this, const char *format,
                                     ...)
    __attribute__((format(printf, 2, 3)));

/** PlatformChecker_PrintTotals() - print totals; the number of broken promises */
unsigned PlatformChecker_PrintTotals(const PlatformChecker *this);

/** PlatformChecker_SentCount() - attempts so far */
unsigned PlatformChecker_SentCount(const PlatformChecker *this);

/** PlatformChecker_ServedCount() - answers with success so far */
unsigned PlatformChecker_ServedCount(const PlatformChecker *this);

#endif
