#ifndef AGATECRANK_STANDINS_JOURNALCHECK_H
#define AGATECRANK_STANDINS_JOURNALCHECK_H

#include <stdio.h>

#include "JournalFile.h"

typedef enum Violation_ {
    VIOLATION_KEY_RAN_TWICE,     /* a key with more than one execution */
    VIOLATION_REQUEST_RAN_TWICE, /* a non-idempotent request without a key */
    VIOLATION_NOT_RUN_BUT_RAN,   /* "not-run" was told for what ran */
    VIOLATION_RAN_BUT_NOT,       /* "ran" was told for what never ran */
    VIOLATION_BODY_CHANGED,      /* another digest ran than was sent */
    VIOLATION_WRONG_ANSWER,      /* a caller got what was not its own */
    VIOLATION_COUNT,
} Violation;

/** struct JournalTotals_ - what was read, and the violations by kind */
typedef struct JournalTotals_ {
    uint64_t executions;
    uint64_t attempts;
    uint64_t keys;
    uint64_t violations[VIOLATION_COUNT];
} JournalTotals;

/**
 * typedef JournalCheck - judges a run from what upstreams ran and what
 * callers were told, and from nothing else
 */
typedef struct JournalCheck_ JournalCheck;

/** JournalCheck_Create() - violations are printed to @report, if not NULL */
JournalCheck *JournalCheck_Create(FILE *report);

/** JournalCheck_Destroy() - release it */
void JournalCheck_Destroy(JournalCheck *this);

/** JournalCheck_AddUpstreamLine(), JournalCheck_AddCallerLine() - handlers of lines */
void JournalCheck_AddUpstreamLine(void *check, const JournalLine *line);
void JournalCheck_AddCallerLine(void *check, const JournalLine *line);

/** JournalCheck_Evaluate() - after all lines; may be called once */
JournalTotals JournalCheck_Evaluate(JournalCheck *this);

/** Violation_Name() - stable word */
const char *Violation_Name(Violation violation);

#endif
