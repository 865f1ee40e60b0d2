#ifndef AGATECRANK_TESTS_JOURNAL_H
#define AGATECRANK_TESTS_JOURNAL_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/**
 * typedef Journal - what upstreams ran and what callers were told
 *
 * The checker judges these two lists alone; it knows nothing of hosts, logs
 * or claims. Key 0 stands for a request without a key.
 */
typedef struct Journal_ Journal;

/** enum JournalWord - outcome word that a caller was told */
typedef enum JournalWord_ {
    JOURNAL_NOT_RUN,
    JOURNAL_RAN,
    JOURNAL_UNKNOWN,
} JournalWord;

/** struct JournalVerdict_ - number of violations of each promise */
typedef struct JournalVerdict_ {
    uint64_t run_twice;     /* keys that ran more than once */
    uint64_t false_not_run; /* not-run told of a key that ran */
    uint64_t false_ran;     /* ran told of a key that never ran */
    uint64_t wrong_answer;  /* answers of another request */
} JournalVerdict;

Journal *Journal_Create(void);
void Journal_Destroy(Journal *this);

/** Journal_Ran() - an upstream ran a request */
void Journal_Ran(Journal *this, uint64_t key, uint64_t digest);

/**
 * Journal_Told() - a caller was told the outcome of its request
 * @digest: of the caller's own request
 * @answer: digest inside the answer; only if @has_answer
 */
void Journal_Told(Journal *this, uint64_t key, uint64_t digest,
                  JournalWord word, bool has_answer, uint64_t answer);

/** Journal_Check() - judge everything written so far */
JournalVerdict Journal_Check(const Journal *this);

/** JournalVerdict_Total() - violations of all promises */
uint64_t JournalVerdict_Total(const JournalVerdict *verdict);

/** Journal_Runs() - requests that upstreams ran */
uint64_t Journal_Runs(const Journal *this);

/** Journal_Tolds() - answers with the given word */
uint64_t Journal_Tolds(const Journal *this, JournalWord word);

#endif
