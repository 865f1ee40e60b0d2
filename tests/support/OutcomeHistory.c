#include "OutcomeHistory.h"

typedef struct Run_ {
    uint64_t key;
    uint64_t digest;
} Run;

typedef struct Told_ {
    uint64_t key;
    uint64_t digest;
    uint64_t answer;
    HistoryOutcome word;
    bool has_answer;
} Told;

struct OutcomeHistory_ {
    GArray *runs;
    GArray *tolds;
};

OutcomeHistory *
OutcomeHistory_Create(void)
{
    OutcomeHistory *this = g_new0(OutcomeHistory, 1);

    this->runs = g_array_new(FALSE, FALSE, sizeof(Run));
    this->tolds = g_array_new(FALSE, FALSE, sizeof(Told));
    return this;
}

void
OutcomeHistory_Destroy(OutcomeHistory *this)
{
    g_array_free(this->runs, TRUE);
    g_array_free(this->tolds, TRUE);
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
                         HistoryOutcome word, bool has_answer, uint64_t answer)
{
    Told told = {.key = key,
                 .digest = digest,
                 .answer = answer,
                 .word = word,
                 .has_answer = has_answer};

    g_array_append_val(this->tolds, told);
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
check_told(const Told *told, guint runs, OutcomeViolations *violations)
{
    if (told->has_answer && told->answer != told->digest) {
        violations->wrong_answer++;
    }
    if (told->key == 0) {
        return;
    }
    if (told->word == HISTORY_NOT_RUN && runs > 0) {
        violations->false_not_run++;
    }
    if (told->word == HISTORY_RAN && runs == 0) {
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
    for (guint i = 0; i < this->tolds->len; i++) {
        const Told *told = &g_array_index(this->tolds, Told, i);

        runs = g_hash_table_lookup(counts, &told->key);
        check_told(told, GPOINTER_TO_UINT(runs), &violations);
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
OutcomeHistory_AnswerCount(const OutcomeHistory *this, HistoryOutcome word)
{
    uint64_t n = 0;

    for (guint i = 0; i < this->tolds->len; i++) {
        n += g_array_index(this->tolds, Told, i).word == word;
    }
    return n;
}
