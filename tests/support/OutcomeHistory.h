#ifndef AGATECRANK_TESTS_OUTCOMEHISTORY_H
#define AGATECRANK_TESTS_OUTCOMEHISTORY_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/**
 * typedef OutcomeHistory - runs at upstreams and answers to callers
 *
 * OutcomeHistory_Check() uses these two lists only, without knowledge of
 * hosts, logs or claims. Key 0 is a request without a key.
 */
typedef struct OutcomeHistory_ OutcomeHistory;

/** enum HistoryOutcome_ - outcome in an answer to a caller */
typedef enum HistoryOutcome_ {
    HISTORY_NOT_RUN,
    HISTORY_RAN,
    HISTORY_UNKNOWN,
} HistoryOutcome;

/** struct OutcomeViolations_ - number of violations of each guarantee */
typedef struct OutcomeViolations_ {
    uint64_t run_twice;     /* keys that ran more than once */
    uint64_t false_not_run; /* not-run answered for a key that ran */
    uint64_t false_ran;     /* ran answered for a key that never ran */
    uint64_t wrong_answer;  /* responses that belong to another request */
} OutcomeViolations;

OutcomeHistory *OutcomeHistory_Create(void);
void OutcomeHistory_Destroy(OutcomeHistory *this);

/** OutcomeHistory_AddRun() - record that an upstream ran a request */
void OutcomeHistory_AddRun(OutcomeHistory *this, uint64_t key,
                           uint64_t digest);

/**
 * OutcomeHistory_AddAnswer() - record the answer to a caller
 * @digest: of the caller's own request
 * @has_answer: true if the answer contains a response of an upstream
 * @answer_digest: digest inside that response
 */
void OutcomeHistory_AddAnswer(OutcomeHistory *this, uint64_t key,
                              uint64_t digest, HistoryOutcome outcome,
                              bool has_answer, uint64_t answer_digest);

/** OutcomeHistory_Check() - count the violations so far */
OutcomeViolations OutcomeHistory_Check(const OutcomeHistory *this);

/** OutcomeViolations_Total() - sum of all violations */
uint64_t OutcomeViolations_Total(const OutcomeViolations *violations);

/** OutcomeHistory_RunCount() - number of runs */
uint64_t OutcomeHistory_RunCount(const OutcomeHistory *this);

/** OutcomeHistory_AnswerCount() - number of answers with @outcome */
uint64_t OutcomeHistory_AnswerCount(const OutcomeHistory *this,
                                    HistoryOutcome outcome);

#endif
