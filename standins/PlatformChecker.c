#include "PlatformChecker.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#define ENDS_ALLOWED 3
#define LATE_ALLOWED 3
#define HOSTS_MAX 200
#define LATE_AFTER_US (3 * MICROS_PER_S)

typedef struct Attempt_ {
    char *id;
    unsigned executions;
    bool at_most_once;
    bool reported_not_run;
    bool response_required; /* as of the time when it was sent */
    int host;               /* -1 if it is not counted for its host */
} Attempt;

/* Counted attempts of a host. */
typedef struct Share_ {
    unsigned sent;
    unsigned served;
} Share;

/* A request that ends upstreams, over all attempts. */
typedef struct Crashing_ {
    unsigned executions;
    unsigned ends;
    unsigned late;
    Micros third_end;
} Crashing;

struct PlatformChecker_ {
    GHashTable *attempts; /* id to Attempt */
    GHashTable *crashing; /* request to Crashing, owned */
    RetryRule *retries;
    NoticeCheck *notices;
    StopCheck *stops; /* NULL if stops are not checked */
    unsigned sent;
    unsigned served;
    unsigned refused;
    unsigned failed;
    unsigned unanswered;
    unsigned violations;
    bool response_required;
    bool counting;
    PlatformExcuse *excuse; /* NULL if all attempts count */
    void *excuse_user;
    Share shares[HOSTS_MAX];
};

static void
free_attempt(gpointer data)
{
    Attempt *attempt = data;

    g_free(attempt->id);
    g_free(attempt);
}

PlatformChecker *
PlatformChecker_Create(const RetryRuleOptions *retries,
                       const HostEvents *events)
{
    PlatformChecker *this = g_new0(PlatformChecker, 1);

    this->attempts =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_attempt);
    this->crashing =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    this->retries = RetryRule_Create(retries);
    this->notices = NoticeCheck_Create(events);
    return this;
}

void
PlatformChecker_Destroy(PlatformChecker *this)
{
    g_hash_table_destroy(this->attempts);
    g_hash_table_destroy(this->crashing);
    RetryRule_Destroy(this->retries);
    NoticeCheck_Destroy(this->notices);
    StopCheck_Destroy(this->stops);
    g_free(this);
}

NoticeCheck *
PlatformChecker_Notices(const PlatformChecker *this)
{
    return this->notices;
}

void
PlatformChecker_SetStops(PlatformChecker *this, StopCheck *stops)
{
    this->stops = stops;
}

StopCheck *
PlatformChecker_Stops(const PlatformChecker *this)
{
    return this->stops;
}

static void
report_lost(void *user, const char *text)
{
    PlatformChecker_ReportViolation(user, "%s", text);
}

void
PlatformChecker_ReportViolation(PlatformChecker *this, const char *format, ...)
{
    va_list arguments;

    this->violations++;
    printf("violation: ");
    va_start(arguments, format);
    vprintf(format, arguments);
    va_end(arguments);
    printf("\n");
    fflush(stdout);
}

void
PlatformChecker_OnSent(PlatformChecker *this, const char *id,
                       bool at_most_once, Micros now)
{
    Attempt *attempt = g_new0(Attempt, 1);

    attempt->id = g_strdup(id);
    attempt->at_most_once = at_most_once;
    attempt->response_required = this->response_required;
    attempt->host = -1;
    g_hash_table_insert(this->attempts, attempt->id, attempt);
    RetryRule_OnRequest(this->retries, now);
    this->sent++;
}

static bool
is_excused(const PlatformChecker *this, unsigned host)
{
    return this->excuse != NULL && this->excuse(this->excuse_user, host);
}

void
PlatformChecker_OnTarget(PlatformChecker *this, const char *id, unsigned host)
{
    Attempt *attempt = g_hash_table_lookup(this->attempts, id);
    /* Asked all the time: the excuse follows the state of the store. */
    bool excused = is_excused(this, host);

    if (this->counting && host < HOSTS_MAX && !excused) {
        attempt->host = (int)host;
        this->shares[host].sent++;
    }
}

void
PlatformChecker_CountShares(PlatformChecker *this, bool on)
{
    this->counting = on;
}

void
PlatformChecker_SetExcuse(PlatformChecker *this, PlatformExcuse *excuse,
                          void *user)
{
    this->excuse = excuse;
    this->excuse_user = user;
}

static Share
sum_shares(const PlatformChecker *this, unsigned first, unsigned count)
{
    Share sum = {0, 0};

    for (unsigned i = first; i < first + count && i < HOSTS_MAX; i++) {
        sum.sent += this->shares[i].sent;
        sum.served += this->shares[i].served;
    }
    return sum;
}

unsigned
PlatformChecker_CountedCount(const PlatformChecker *this, unsigned first,
                             unsigned count)
{
    return sum_shares(this, first, count).sent;
}

double
PlatformChecker_ServedShare(const PlatformChecker *this, unsigned first,
                            unsigned count)
{
    Share sum = sum_shares(this, first, count);

    return sum.sent > 0 ? (double)sum.served / sum.sent : 0;
}

void
PlatformChecker_OnArrival(PlatformChecker *this, const char *id, Micros now)
{
    RetryRule_OnArrival(this->retries, id, now);
}

void
PlatformChecker_OnExecution(PlatformChecker *this, const char *id,
                            const char *upstream)
{
    Attempt *attempt = g_hash_table_lookup(this->attempts, id);

    if (attempt == NULL) {
        PlatformChecker_ReportViolation(this, "unasked id=%s upstream=%s", id,
                                        upstream);
        return;
    }
    attempt->executions++;
    if (attempt->at_most_once && attempt->executions > 1) {
        PlatformChecker_ReportViolation(this, "twice id=%s upstream=%s", id,
                                        upstream);
    }
    if (attempt->at_most_once && attempt->reported_not_run) {
        PlatformChecker_ReportViolation(
            this, "refused-and-run id=%s upstream=%s", id, upstream);
    }
}

/* The signature and the body of a response must be those of an execution of
 * this attempt. */
static void
check_success(PlatformChecker *this, const Attempt *attempt,
              const char *signature, const char *body)
{
    g_autofree char *expected = g_strdup_printf("answer to %s", attempt->id);
    size_t length = strlen(attempt->id);

    if (attempt->executions == 0 || signature == NULL ||
        strncmp(signature, attempt->id, length) != 0 ||
        signature[length] != '.' || strcmp(body, expected) != 0) {
        PlatformChecker_ReportViolation(
            this, "mixed id=%s signature=%s body=%.40s", attempt->id,
            signature != NULL ? signature : "none", body);
    }
}

void
PlatformChecker_OnResponse(PlatformChecker *this, const char *id, int status,
                           const char *signature, const char *body)
{
    Attempt *attempt = g_hash_table_lookup(this->attempts, id);

    if (status >= 200 && status < 300) {
        this->served++;
        if (attempt->host >= 0) {
            this->shares[attempt->host].served++;
        }
        check_success(this, attempt, signature, body);
        return;
    }
    if (status != 503 && status != 429) {
        this->failed++;
        return;
    }
    this->refused++;
    attempt->reported_not_run = true;
    if (attempt->at_most_once && attempt->executions > 0) {
        PlatformChecker_ReportViolation(this, "refused-and-run id=%s", id);
    }
}

void
PlatformChecker_OnTimeout(PlatformChecker *this, const char *id)
{
    const Attempt *attempt = g_hash_table_lookup(this->attempts, id);

    this->unanswered++;
    if (attempt->response_required) {
        PlatformChecker_ReportViolation(this, "unanswered id=%s runs=%u", id,
                                        attempt->executions);
    }
}

static Crashing *
get_crashing(PlatformChecker *this, const char *request)
{
    Crashing *crashing = g_hash_table_lookup(this->crashing, request);

    if (crashing == NULL) {
        crashing = g_new0(Crashing, 1);
        g_hash_table_insert(this->crashing, g_strdup(request), crashing);
    }
    return crashing;
}

void
PlatformChecker_OnCrashingExecution(PlatformChecker *this, const char *request,
                                    Micros now, bool in_touch)
{
    Crashing *crashing = get_crashing(this, request);

    crashing->executions++;
    if (crashing->ends >= ENDS_ALLOWED && in_touch &&
        now - crashing->third_end > LATE_AFTER_US &&
        ++crashing->late > LATE_ALLOWED) {
        PlatformChecker_ReportViolation(
            this, "crashing request=%s ends=%u late=%u", request,
            crashing->ends, crashing->late);
    }
}

void
PlatformChecker_OnCrash(PlatformChecker *this, const char *request, Micros now)
{
    Crashing *crashing = get_crashing(this, request);

    if (++crashing->ends == ENDS_ALLOWED) {
        crashing->third_end = now;
    }
}

static void
print_crashing(const PlatformChecker *this)
{
    GHashTableIter iter;
    gpointer request, value;

    g_hash_table_iter_init(&iter, this->crashing);
    while (g_hash_table_iter_next(&iter, &request, &value)) {
        const Crashing *crashing = value;

        printf("crashing=%s executions=%u ends=%u late=%u\n",
               (const char *)request, crashing->executions, crashing->ends,
               crashing->late);
    }
}

void
PlatformChecker_RequireResponses(PlatformChecker *this)
{
    this->response_required = true;
}

static void
check_retries(PlatformChecker *this)
{
    RetryRuleResult worst = RetryRule_Judge(this->retries);

    if (worst.used > 1) {
        PlatformChecker_ReportViolation(
            this, "retries in_window=%u requests=%u used=%.3f", worst.retries,
            worst.requests, worst.used);
    }
    printf("retries=%u\nretries_in_window=%u\nretry_limit_used=%.3f\n",
           worst.retry_count, worst.retries, worst.used);
}

unsigned
PlatformChecker_PrintTotals(PlatformChecker *this)
{
    check_retries(this);
    if (this->stops != NULL) {
        printf("judged_at_stops=%u\n",
               StopCheck_Judge(this->stops, report_lost, this));
    }
    print_crashing(this);
    NoticeCheck_PrintTotals(this->notices);
    printf("sent=%u\nserved=%u\nrefused=%u\nfailed=%u\nunanswered=%u\n"
           "violations=%u\n",
           this->sent, this->served, this->refused, this->failed,
           this->unanswered, this->violations);
    fflush(stdout);
    return this->violations;
}

unsigned
PlatformChecker_ServedCount(const PlatformChecker *this)
{
    return this->served;
}

unsigned
PlatformChecker_SentCount(const PlatformChecker *this)
{
    return this->sent;
}
