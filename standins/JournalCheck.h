#ifndef AGATECRANK_STANDINS_JOURNALCHECK_H
#define AGATECRANK_STANDINS_JOURNALCHECK_H

#include <stdio.h>

#include "JournalFile.h"

typedef enum Violation_ {
    VIOLATION_KEY_RAN_TWICE,     /* several executions with one key */
    VIOLATION_REQUEST_RAN_TWICE, /* several of a non-idempotent request */
    VIOLATION_NOT_RUN_BUT_RAN,   /* outcome "not-run" of an executed request */
    VIOLATION_RAN_BUT_NOT,       /* outcome "ran" without an execution */
    VIOLATION_BODY_CHANGED,      /* executed with another body than sent */
    VIOLATION_WRONG_RESPONSE,    /* response of another request */
    VIOLATION_COUNT,
} Violation;

/**
 * struct JournalTotals_ - result of a check
 * @executions: starts of executions in the journals of upstreams
 * @attempts: attempts in the journals of callers
 * @keys: distinct idempotency keys of executions
 * @violations: number of violations of each kind
 */
typedef struct JournalTotals_ {
    uint64_t executions;
    uint64_t attempts;
    uint64_t keys;
    uint64_t violations[VIOLATION_COUNT];
} JournalTotals;

/**
 * typedef JournalCheck - checks a run by the journals alone
 *
 * Compares the executions in the journals of upstreams with the responses in
 * the journals of callers.
 */
typedef struct JournalCheck_ JournalCheck;

/** JournalCheck_Create() - print violations to @report, if not NULL */
JournalCheck *JournalCheck_Create(FILE *report);

/** JournalCheck_Destroy() - free the check */
void JournalCheck_Destroy(JournalCheck *this);

/**
 * JournalCheck_AddUpstreamLine(), JournalCheck_AddCallerLine() - add a line
 *
 * Handlers for JournalFile_Read(); @check is the JournalCheck.
 */
void JournalCheck_AddUpstreamLine(void *check, const JournalLine *line);
void JournalCheck_AddCallerLine(void *check, const JournalLine *line);

/** JournalCheck_Evaluate() - check all lines added; may be called once */
JournalTotals JournalCheck_Evaluate(JournalCheck *this);

/** Violation_Name() - name of a violation in reports */
const char *Violation_Name(Violation violation);

#endif
