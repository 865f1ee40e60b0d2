#include "JournalCheck.h"

#include <glib.h>
#include <string.h>

/* Executions of one key or of one request id; the fields are of the first. */
typedef struct Executions_ {
    uint64_t count;
    char *sha256;
    char *request_id;
    bool idempotent;
} Executions;

typedef struct Attempt_ {
    char *request_id;
    char *key;
    char *outcome;
    char *sha256;
    bool has_response;
    bool response_matches;
} Attempt;

struct JournalCheck_ {
    FILE *report;
    JournalTotals totals;
    GHashTable *by_key;     /* key -> Executions */
    GHashTable *by_request; /* request id -> Executions */
    GPtrArray *attempts;
};

const char *
Violation_Name(Violation violation)
{
    static const char *const names[VIOLATION_COUNT] = {
        [VIOLATION_KEY_RAN_TWICE] = "key-ran-twice",
        [VIOLATION_REQUEST_RAN_TWICE] = "request-ran-twice",
        [VIOLATION_NOT_RUN_BUT_RAN] = "not-run-but-ran",
        [VIOLATION_RAN_BUT_NOT] = "ran-but-not",
        [VIOLATION_BODY_CHANGED] = "body-changed",
        [VIOLATION_WRONG_RESPONSE] = "wrong-answer",
    };

    return names[violation];
}

static void
free_executions(void *pointer)
{
    Executions *executions = pointer;

    g_free(executions->sha256);
    g_free(executions->request_id);
    g_free(executions);
}

static void
free_attempt(void *pointer)
{
    Attempt *attempt = pointer;

    g_free(attempt->request_id);
    g_free(attempt->key);
    g_free(attempt->outcome);
    g_free(attempt->sha256);
    g_free(attempt);
}

JournalCheck *
JournalCheck_Create(FILE *report)
{
    JournalCheck *this = g_new0(JournalCheck, 1);

    this->report = report;
    this->by_key = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
                                         free_executions);
    this->by_request = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
                                             free_executions);
    this->attempts = g_ptr_array_new_with_free_func(free_attempt);
    return this;
}

void
JournalCheck_Destroy(JournalCheck *this)
{
    if (this != NULL) {
        g_hash_table_destroy(this->by_key);
        g_hash_table_destroy(this->by_request);
        g_ptr_array_free(this->attempts, TRUE);
        g_free(this);
    }
}

static void
add_violation(JournalCheck *this, Violation violation, const char *key,
              const char *request_id)
{
    this->totals.violations[violation]++;
    if (this->report != NULL) {
        fprintf(this->report, "violation=%s key=%s request_id=%s\n",
                Violation_Name(violation), key, request_id);
    }
}

static bool
is_idempotent(const char *method)
{
    return strcmp(method, "POST") != 0 && strcmp(method, "PATCH") != 0;
}

static void
add_execution(GHashTable *table, const char *name, const JournalLine *line)
{
    Executions *executions = g_hash_table_lookup(table, name);

    if (executions == NULL) {
        executions = g_new0(Executions, 1);
        executions->sha256 = g_strdup(JournalLine_Get(line, "sha256"));
        executions->request_id = g_strdup(JournalLine_Get(line, "request_id"));
        executions->idempotent =
            is_idempotent(JournalLine_Get(line, "method"));
        g_hash_table_insert(table, g_strdup(name), executions);
    }
    executions->count++;
}

void
JournalCheck_AddUpstreamLine(void *check, const JournalLine *line)
{
    JournalCheck *this = check;
    const char *key = JournalLine_Get(line, "key");

    if (strcmp(JournalLine_Get(line, "event"), "start") != 0) {
        return;
    }
    this->totals.executions++;
    if (*key != '\0') {
        add_execution(this->by_key, key, line);
    }
    add_execution(this->by_request, JournalLine_Get(line, "request_id"), line);
}

void
JournalCheck_AddCallerLine(void *check, const JournalLine *line)
{
    JournalCheck *this = check;
    Attempt *attempt;

    if (strcmp(JournalLine_Get(line, "event"), "call") != 0) {
        return;
    }
    attempt = g_new0(Attempt, 1);
    attempt->request_id = g_strdup(JournalLine_Get(line, "request_id"));
    attempt->key = g_strdup(JournalLine_Get(line, "key"));
    attempt->outcome = g_strdup(JournalLine_Get(line, "outcome"));
    attempt->sha256 = g_strdup(JournalLine_Get(line, "sha256"));
    attempt->has_response = strcmp(JournalLine_Get(line, "status"), "0") != 0;
    attempt->response_matches =
        strcmp(JournalLine_Get(line, "own"), "yes") == 0;
    g_ptr_array_add(this->attempts, attempt);
    this->totals.attempts++;
}

static void
check_executions(JournalCheck *this)
{
    GHashTableIter iter;
    gpointer name;
    gpointer value;

    g_hash_table_iter_init(&iter, this->by_key);
    while (g_hash_table_iter_next(&iter, &name, &value)) {
        const Executions *executions = value;

        if (executions->count > 1) {
            add_violation(this, VIOLATION_KEY_RAN_TWICE, name,
                          executions->request_id);
        }
    }
    g_hash_table_iter_init(&iter, this->by_request);
    while (g_hash_table_iter_next(&iter, &name, &value)) {
        const Executions *executions = value;

        if (executions->count > 1 && !executions->idempotent) {
            add_violation(this, VIOLATION_REQUEST_RAN_TWICE, "", name);
        }
    }
}

/*
 * The outcome of an attempt with a key holds for the key: it also covers
 * executions by other attempts, earlier or later ones.
 */
static void
check_attempt(JournalCheck *this, const Attempt *attempt)
{
    const Executions *request_executions =
        g_hash_table_lookup(this->by_request, attempt->request_id);
    const Executions *key_executions =
        *attempt->key != '\0' ? g_hash_table_lookup(this->by_key, attempt->key)
                              : request_executions;

    if (strcmp(attempt->outcome, "not-run") == 0 && key_executions != NULL) {
        add_violation(this, VIOLATION_NOT_RUN_BUT_RAN, attempt->key,
                      attempt->request_id);
    }
    if (strcmp(attempt->outcome, "ran") == 0 && key_executions == NULL) {
        add_violation(this, VIOLATION_RAN_BUT_NOT, attempt->key,
                      attempt->request_id);
    }
    if (request_executions != NULL &&
        strcmp(request_executions->sha256, attempt->sha256) != 0) {
        add_violation(this, VIOLATION_BODY_CHANGED, attempt->key,
                      attempt->request_id);
    }
    if (attempt->has_response && !attempt->response_matches) {
        add_violation(this, VIOLATION_WRONG_RESPONSE, attempt->key,
                      attempt->request_id);
    }
}

JournalTotals
JournalCheck_Evaluate(JournalCheck *this)
{
    check_executions(this);
    for (guint i = 0; i < this->attempts->len; i++) {
        check_attempt(this, this->attempts->pdata[i]);
    }
    this->totals.keys = g_hash_table_size(this->by_key);
    return this->totals;
}
