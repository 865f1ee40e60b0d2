#include "OutcomeHistory.h"

typedef struct Run_ {
    uint64_t key;
    uint64_t digest;
} Run;

typedef struct Answer_ {
    uint64_t key;
    uint64_t digest;
    uint64_t answer_digest;
    HistoryOutcome outcome;
    bool has_answer;
} Answer;

struct OutcomeHistory_ {
    GArray *runs;
    GArray *answers;
};

OutcomeHistory *
OutcomeHistory_Create(void)
{
    OutcomeHistory *this = g_new0(OutcomeHistory, 1);

    this->runs = g_array_new(FALSE, FALSE, sizeof(Run));
    this->answers = g_array_new(FALSE, FALSE, sizeof(Answer));
    return this;
}

void
OutcomeHistory_Destroy(OutcomeHistory *this)
{
    g_array_free(this->runs, TRUE);
    g_array_free(this->answers, TRUE);
    g_free(this);
}

void
OutcomeHistory_AddRun(OutcomeHistory *this, uint64_t key, uint64_t digest)
{
    Run run = {.key = key, .digest = digest};

    g_array_append_val(this->runs, run);
}

void
OutcomeHistory_AddAnswer(OutcomeHistory *this, uint64_t key, uint64_t digest,
                         HistoryOutcome outcome, bool has_answer,
                         uint64_t answer_digest)
{
    Answer entry = {.key = key,
                    .digest = digest,
                    .answer_digest = answer_digest,
                    .outcome = outcome,
                    .has_answer = has_answer};

    g_array_append_val(this->answers, entry);
}

static GHashTable *
count_runs(const OutcomeHistory *this)
{
    GHashTable *counts =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);

    for (guint i = 0; i < this->runs->len; i++) {
        uint64_t key = g_array_index(this->runs, Run, i).key;
        guint n = GPOINTER_TO_UINT(g_hash_table_lookup(counts, &key));

        g_hash_table_replace(counts, g_memdup2(&key, sizeof(key)),
                             GUINT_TO_POINTER(n + 1));
    }
    return counts;
}

static void
check_answer(const Answer *entry, guint runs, OutcomeViolations *violations)
{
    if (entry->has_answer && entry->answer_digest != entry->digest) {
        violations->wrong_answer++;
    }
    if (entry->key == 0) {
        return;
    }
    if (entry->outcome == HISTORY_NOT_RUN && runs > 0) {
        violations->false_not_run++;
    }
    if (entry->outcome == HISTORY_RAN && runs == 0) {
        violations->false_ran++;
    }
}

OutcomeViolations
OutcomeHistory_Check(const OutcomeHistory *this)
{
    OutcomeViolations violations = {0};
    GHashTable *counts = count_runs(this);
    GHashTableIter iter;
    gpointer key;
    gpointer runs;

    g_hash_table_iter_init(&iter, counts);
    while (g_hash_table_iter_next(&iter, &key, &runs)) {
        if (*(uint64_t *)key != 0 && GPOINTER_TO_UINT(runs) > 1) {
            violations.run_twice++;
        }
    }
    for (guint i = 0; i < this->answers->len; i++) {
        const Answer *entry = &g_array_index(this->answers, Answer, i);

        runs = g_hash_table_lookup(counts, &entry->key);
        check_answer(entry, GPOINTER_TO_UINT(runs), &violations);
    }
    g_hash_table_destroy(counts);
    return violations;
}

uint64_t
OutcomeViolations_Total(const OutcomeViolations *violations)
{
    return violations->run_twice + violations->false_not_run +
           violations->false_ran + violations->wrong_answer;
}

uint64_t
OutcomeHistory_RunCount(const OutcomeHistory *this)
{
    return this->runs->len;
}

uint64_t
OutcomeHistory_AnswerCount(const OutcomeHistory *this, HistoryOutcome outcome)
{
    uint64_t n = 0;

    for (guint i = 0; i < this->answers->len; i++) {
        n += g_array_index(this->answers, Answer, i).outcome == outcome;
    }
    return n;
}
