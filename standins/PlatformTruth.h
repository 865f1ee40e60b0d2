#ifndef AGATECRANK_STANDINS_PLATFORMTRUTH_H
#define AGATECRANK_STANDINS_PLATFORMTRUTH_H

#include <glib.h>
#include <stdbool.h>

#include "Clock.h"

/**
 * typedef PlatformTruth - what ran and what callers were told, by attempt id
 *
 * It judges from both ends of the gateway hosts only.
 */
typedef struct PlatformTruth_ PlatformTruth;

/** PlatformTruth_Create() - nothing has happened yet */
PlatformTruth *PlatformTruth_Create(void);

/** PlatformTruth_Destroy() - release it */
void PlatformTruth_Destroy(PlatformTruth *this);

/** PlatformTruth_OnSent() - a caller sends an attempt */
void PlatformTruth_OnSent(PlatformTruth *this, const char *id, bool once);

/** PlatformTruth_OnRun() - an upstream begins to run it */
void PlatformTruth_OnRun(PlatformTruth *this, const char *id,
                         const char *upstream);

/**
 * PlatformTruth_OnAnswer() - a caller got a whole answer
 * @signature: "ID UPSTREAM" as the upstream wrote it, or NULL
 * @body: its body
 */
void PlatformTruth_OnAnswer(PlatformTruth *this, const char *id, int status,
                            const char *signature, const char *body);

/**
 * PlatformTruth_OnUnanswered() - a caller's time passed without an answer
 *
 * This breaks a promise if the attempt was sent during calm.
 */
void PlatformTruth_OnUnanswered(PlatformTruth *this, const char *id);

/** PlatformTruth_SetCalm() - no fault is under way from now on */
void PlatformTruth_SetCalm(PlatformTruth *this);

/** PlatformTruth_Violation() - another check found a broken promise */
void PlatformTruth_Violation(PlatformTruth *this, const char *format, ...)
    __attribute__((format(printf, 2, 3)));

/** PlatformTruth_Report() - print totals; the number of broken promises */
unsigned PlatformTruth_Report(const PlatformTruth *this);

/** PlatformTruth_Sent() - attempts so far */
unsigned PlatformTruth_Sent(const PlatformTruth *this);

/** PlatformTruth_Served() - answers with success so far */
unsigned PlatformTruth_Served(const PlatformTruth *this);

#endif
