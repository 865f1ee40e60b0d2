#ifndef AGATECRANK_TESTS_OUTCOMEHISTORY_H
#define AGATECRANK_TESTS_OUTCOMEHISTORY_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/**
 * typedef OutcomeHistory - what upstreams ran and what callers were told
 *
 * The checker judges these two lists alone; it knows nothing of hosts, logs
 * or claims. Key 0 stands for a request without a key.
 */
typedef struct OutcomeHistory_ OutcomeHistory;

/** enum HistoryOutcome - outcome word that a caller was told */
typedef enum HistoryOutcome_ {
    HISTORY_NOT_RUN,
    HISTORY_RAN,
    HISTORY_UNKNOWN,
} HistoryOutcome;

/** struct OutcomeViolations_ - number of violations of each promise */
typedef struct OutcomeViolations_ {
    uint64_t run_twice;     /* keys that ran more than once */
    uint64_t false_not_run; /* not-run told of a key that ran */
    uint64_t false_ran;     /* ran told of a key that never ran */
    uint64_t wrong_answer;  /* answers of another request */
} OutcomeViolations;

OutcomeHistory *OutcomeHistory_Create(void);
void OutcomeHistory_Destroy(OutcomeHistory *this);

/** OutcomeHistory_AddRun() - an upstream ran a request */
void OutcomeHistory_AddRun(OutcomeHistory *this, uint64_t key,
                           uint64_t digest);

/**
 * OutcomeHistory_AddAnswer() - a caller was told the outcome of its request
 * @digest: of the caller's own request
 * @answer_digest: digest inside the answer; only if @has_answer
 */
void OutcomeHistory_AddAnswer(OutcomeHistory *this, uint64_t key,
                              uint64_t digest, HistoryOutcome outcome,
                              bool has_answer, uint64_t answer_digest);

/** OutcomeHistory_Check() - judge everything written so far */
OutcomeViolations OutcomeHistory_Check(const OutcomeHistory *this);

/** OutcomeViolations_Total() - violations of all promises */
uint64_t OutcomeViolations_Total(const OutcomeViolations *violations);

/** OutcomeHistory_RunCount() - requests that upstreams ran */
uint64_t OutcomeHistory_RunCount(const OutcomeHistory *this);

/** OutcomeHistory_AnswerCount() - answers with the given word */
uint64_t OutcomeHistory_AnswerCount(const OutcomeHistory *this,
                                    HistoryOutcome outcome);

#endif
