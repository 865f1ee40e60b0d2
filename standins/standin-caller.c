#include <stdio.h>
#include <string.h>

#include "CallPlan.h"
#include "Histogram.h"
#include "HttpClient.h"
#include "Journal.h"
#include "ResponseCheck.h"

/* Limits the calls that one callback starts, so that responses are still read
 * while the caller catches up after a stall. */
#define ARRIVALS_PER_CALLBACK_MAX 32

typedef struct Totals_ {
    uint64_t calls;
    uint64_t sent;       /* attempts */
    uint64_t ok;         /* calls with a complete 2xx response of their own */
    uint64_t refused;    /* attempts with the outcome "not-run" */
    uint64_t unknown;    /* attempts with the outcome "unknown" */
    uint64_t lost;       /* attempts without a response, also timeouts */
    uint64_t timeouts;   /* attempts without a complete response in time */
    uint64_t cancelled;  /* attempts cancelled by --cancel-share */
    uint64_t wrong;      /* responses that do not belong to their call */
    uint64_t incomplete; /* responses that ended early */
} Totals;

typedef struct Caller_ {
    CallerSettings settings;
    Clock *clock;
    CallPlanner *planner;
    HttpClient *client;
    Journal *journal;
    Histogram *latency;       /* of successful calls, since their arrival */
    Histogram *lag;           /* between an arrival and its first attempt */
    GHashTable *value_counts; /* "status_200", "outcome_ran", ... -> count */
    Totals totals;
    GHashTable *open; /* set of Call */
    HttpLoop *loop;
    Timer timer;
    Micros started;
    Micros next_arrival; /* scheduled time */
    bool arrivals_finished;
} Caller;

typedef struct Call_ {
    Caller *caller;
    CallPlan plan;
    ResponseCheck check;
    ClientCall client;
    GString *head;
    Timer timer;
    size_t target;
    int attempt;    /* number of the current attempt, from 1 */
    Micros arrived; /* scheduled time of the call */
    Micros sent;    /* start of the current attempt */
} Call;

static void
count_value(Caller *caller, const char *kind, const char *value)
{
    g_autofree char *name = g_strdup_printf("%s_%s", kind, value);
    uint64_t *count;

    g_strcanon(name, G_CSET_a_2_z G_CSET_A_2_Z G_CSET_DIGITS, '_');
    count = g_hash_table_lookup(caller->value_counts, name);
    if (count == NULL) {
        count = g_new0(uint64_t, 1);
        g_hash_table_insert(caller->value_counts, g_strdup(name), count);
    }
    (*count)++;
}

static void
write_request_head(Call *call)
{
    const CallerSettings *s = &call->caller->settings;
    const CallPlan *plan = &call->plan;
    Micros elapsed = call->sent - call->arrived;
    GString *head = call->head;

    g_string_printf(head,
                    "%s %s HTTP/1.1\r\nhost: %s\r\nx-request-id: %s.%d\r\n"
                    "x-answer-bytes: %" G_GUINT64_FORMAT "\r\n",
                    plan->method, s->path, s->service, plan->id, call->attempt,
                    plan->response_bytes);
    if (*s->token != '\0') {
        g_string_append_printf(head, "authorization: Bearer %s\r\n", s->token);
    }
    if (plan->body_bytes > 0 || !plan->idempotent) {
        g_string_append_printf(head,
                               "content-length: %" G_GUINT64_FORMAT "\r\n",
                               plan->body_bytes);
    }
    if (*plan->key != '\0') {
        g_string_append_printf(head, "idempotency-key: %s\r\n", plan->key);
    }
    if (s->service_ms >= 0) {
        g_string_append_printf(head, "x-service-ms: %.3f\r\n", s->service_ms);
    }
    if (s->deadline_ms > 0) {
        Micros remaining_ms = s->deadline_ms - elapsed / MICROS_PER_MS;

        g_string_append_printf(
            head, "agatecrank-deadline-ms: %" G_GINT64_FORMAT "\r\n",
            MAX(remaining_ms, 1));
    }
    g_string_append(head, "\r\n");
}

static void
journal_attempt(Call *call, const char *result)
{
    Caller *caller = call->caller;
    const ResponseCheck *check = &call->check;
    EventLog *line = Journal_Begin(caller->journal, "call");
    char id[CALL_ID_BYTES + 16];

    snprintf(id, sizeof(id), "%s.%d", call->plan.id, call->attempt);
    EventLog_CStr(line, "request_id", id);
    EventLog_CStr(line, "key", call->plan.key);
    EventLog_CStr(line, "method", call->plan.method);
    EventLog_CStr(line, "target",
                  HttpClient_Target(caller->client, call->target));
    EventLog_Int(line, "attempt", call->attempt);
    EventLog_Int(line, "status", check->status);
    EventLog_CStr(line, "outcome", check->outcome);
    EventLog_CStr(line, "reason", check->reason);
    EventLog_CStr(line, "result", result);
    EventLog_CStr(line, "whole", check->complete ? "yes" : "no");
    EventLog_CStr(line, "own", check->matches_call ? "yes" : "no");
    EventLog_CStr(line, "sha256", call->plan.sha256);
    EventLog_Int(line, "latency_us", Clock_Now(caller->clock) - call->sent);
    EventLog_End(line);
}

static void
stop_if_finished(Caller *caller)
{
    if (caller->arrivals_finished && g_hash_table_size(caller->open) == 0) {
        HttpLoop_Stop();
    }
}

static void
free_call(Call *call)
{
    Caller *caller = call->caller;

    Timer_Stop(&call->timer);
    ResponseCheck_Clear(&call->check);
    g_string_free(call->head, TRUE);
    g_free(call);
    g_hash_table_remove(caller->open, call);
    stop_if_finished(caller);
}

static bool
is_ok(const Call *call)
{
    return call->check.complete && call->check.matches_call &&
           call->check.status / 100 == 2;
}

static void start_attempt(Call *call);

static void
on_resend_timer(Timer *timer)
{
    Call *call = TIMER_OWNER(timer, Call, timer);
    size_t targets = HttpClient_TargetCount(call->caller->client);

    call->target = (call->target + 1) % targets;
    start_attempt(call);
}

/* A non-idempotent request without a key is sent again only after the outcome
 * "not-run". */
static bool
may_resend(const Call *call)
{
    const CallerSettings *s = &call->caller->settings;
    const char *outcome = call->check.outcome;
    bool safe = call->plan.idempotent || *call->plan.key != '\0' ||
                strcmp(outcome, "not-run") == 0;

    return safe && strcmp(s->resend, "key") == 0 &&
           call->attempt < s->resend_max &&
           (!call->check.complete || strcmp(outcome, "not-run") == 0 ||
            strcmp(outcome, "unknown") == 0);
}

static void
finish_attempt(Call *call, const char *result)
{
    Caller *caller = call->caller;

    Timer_Stop(&call->timer);
    journal_attempt(call, result);
    count_value(caller, "outcome", call->check.outcome);
    if (may_resend(call) && !call->plan.cancels) {
        Timer_Start(&call->timer, caller->loop->timers,
                    caller->settings.resend_delay_ms * MICROS_PER_MS,
                    on_resend_timer);
        return;
    }
    if (is_ok(call)) {
        caller->totals.ok++;
        Histogram_Add(caller->latency,
                      Clock_Now(caller->clock) - call->arrived);
    }
    free_call(call);
}

static void
count_response(Call *call, ClientResult result)
{
    Totals *totals = &call->caller->totals;
    const ResponseCheck *check = &call->check;
    char status[16];

    if (check->status == 0 && result != CLIENT_MALFORMED) {
        totals->lost++;
        count_value(call->caller, "lost", ClientResult_Name(result));
        return;
    }
    snprintf(status, sizeof(status), "%d", check->status);
    count_value(call->caller, "status", status);
    if (*check->reason != '\0') {
        count_value(call->caller, "reason", check->reason);
    }
    totals->incomplete += !check->complete;
    totals->wrong += !check->matches_call;
    totals->refused += strcmp(check->outcome, "not-run") == 0;
    totals->unknown += strcmp(check->outcome, "unknown") == 0;
}

static void
on_done(void *user, ClientResult result)
{
    Call *call = user;

    ResponseCheck_End(&call->check, result);
    count_response(call, result);
    finish_attempt(call, ClientResult_Name(result));
}

static void
fill_body(void *user, uint64_t offset, char *out, size_t length)
{
    CallPlan_WriteBody(&((Call *)user)->plan, offset, out, length);
}

static void
on_head(void *user, int status, const HttpMessage *message)
{
    ResponseCheck_OnHead(&((Call *)user)->check, status, message);
}

static void
on_body(void *user, uint64_t offset, Str piece)
{
    ResponseCheck_OnBody(&((Call *)user)->check, offset, piece);
}

static void
on_attempt_timeout(Timer *timer)
{
    Call *call = TIMER_OWNER(timer, Call, timer);
    Totals *totals = &call->caller->totals;

    HttpClient_Cancel(&call->client);
    if (call->plan.cancels) {
        totals->cancelled++;
        finish_attempt(call, "cancelled");
        return;
    }
    totals->timeouts++;
    totals->lost++;
    count_value(call->caller, "lost", "timeout");
    finish_attempt(call, "timeout");
}

static void
start_attempt(Call *call)
{
    Caller *caller = call->caller;
    const CallerSettings *s = &caller->settings;
    int64_t timeout_ms = call->plan.cancels ? s->cancel_ms : s->timeout_ms;

    call->attempt++;
    call->sent = Clock_Now(caller->clock);
    ResponseCheck_Begin(&call->check, &call->plan, call->attempt);
    write_request_head(call);
    call->client = (ClientCall){
        .head = Str_FromString(call->head),
        .body_length = call->plan.body_bytes,
        .no_body = strcmp(call->plan.method, "HEAD") == 0,
        .fill = fill_body,
        .user = call,
        .on_head = on_head,
        .on_body = on_body,
        .on_done = on_done,
    };
    caller->totals.sent++;
    Timer_Start(&call->timer, caller->loop->timers,
                MAX(timeout_ms, 1) * MICROS_PER_MS, on_attempt_timeout);
    HttpClient_Send(caller->client, call->target, &call->client);
}

static void
start_call(Caller *caller, Micros arrived)
{
    Call *call = g_new0(Call, 1);

    call->caller = caller;
    call->arrived = arrived;
    call->head = g_string_new(NULL);
    call->plan = CallPlanner_Next(caller->planner);
    call->target =
        caller->totals.calls % HttpClient_TargetCount(caller->client);
    caller->totals.calls++;
    g_hash_table_add(caller->open, call);
    Histogram_Add(caller->lag, Clock_Now(caller->clock) - arrived);
    start_attempt(call);
}

static bool
are_arrivals_finished(const Caller *caller)
{
    const CallerSettings *s = &caller->settings;
    Micros duration = (Micros)(s->duration_s * MICROS_PER_S);

    return (s->count > 0 && caller->totals.calls >= (uint64_t)s->count) ||
           (duration > 0 &&
            caller->next_arrival - caller->started >= duration);
}

/* Open loop: the arrival times do not depend on the responses. */
static void
on_arrival(Timer *timer)
{
    Caller *caller = TIMER_OWNER(timer, Caller, timer);

    for (int i = 0;
         i < ARRIVALS_PER_CALLBACK_MAX && !are_arrivals_finished(caller) &&
         caller->next_arrival <= Clock_Now(caller->clock);
         i++) {
        start_call(caller, caller->next_arrival);
        caller->next_arrival += CallPlanner_NextInterval(caller->planner);
    }
    if (are_arrivals_finished(caller)) {
        caller->arrivals_finished = true;
        stop_if_finished(caller);
        return;
    }
    Timer_Start(&caller->timer, caller->loop->timers,
                caller->next_arrival - Clock_Now(caller->clock), on_arrival);
}

static void
print_quantiles(const char *name, const Histogram *histogram)
{
    static const struct {
        const char *label;
        double quantile;
    } points[] = {{"p50", 0.5}, {"p90", 0.9}, {"p99", 0.99}, {"max", 1.0}};

    for (size_t i = 0; i < G_N_ELEMENTS(points); i++) {
        printf("%s%s_us=%" G_GINT64_FORMAT "\n", name, points[i].label,
               Histogram_Quantile(histogram, points[i].quantile));
    }
}

static void
print_summary(const Caller *caller)
{
    const Totals *t = &caller->totals;
    ClientCounters counters = HttpClient_Counters(caller->client);
    GList *names = g_hash_table_get_keys(caller->value_counts);
    const struct {
        const char *name;
        uint64_t value;
    } lines[] = {
        {"calls", t->calls},
        {"sent", t->sent},
        {"ok", t->ok},
        {"refused", t->refused},
        {"unknown", t->unknown},
        {"lost", t->lost},
        {"timeouts", t->timeouts},
        {"cancelled", t->cancelled},
        {"wrong", t->wrong},
        {"incomplete", t->incomplete},
        {"excess", counters.excess},
        {"unfinished", g_hash_table_size(caller->open)},
        {"connections", counters.opened},
        {"reused", counters.reused},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(lines); i++) {
        printf("%s=%" G_GUINT64_FORMAT "\n", lines[i].name, lines[i].value);
    }
    names = g_list_sort(names, (GCompareFunc)strcmp);
    for (GList *link = names; link != NULL; link = link->next) {
        const uint64_t *count =
            g_hash_table_lookup(caller->value_counts, link->data);

        printf("%s=%" G_GUINT64_FORMAT "\n", (char *)link->data, *count);
    }
    g_list_free(names);
    print_quantiles("", caller->latency);
    print_quantiles("lag_", caller->lag);
    printf("elapsed_s=%.3f\n",
           (double)(Clock_Now(caller->clock) - caller->started) /
               MICROS_PER_S);
}

static int
choose_exit_code(const Caller *caller)
{
    const CallerSettings *s = &caller->settings;
    const Totals *t = &caller->totals;
    uint64_t excess = HttpClient_Counters(caller->client).excess;

    if ((t->wrong > 0 || excess > 0) && !s->allow_wrong) {
        return 1;
    }
    if (t->incomplete > 0 && !s->allow_incomplete) {
        return 1;
    }
    return t->lost > 0 && s->fail_on_lost ? 1 : 0;
}

static void
cancel_open_calls(Caller *caller)
{
    g_autoptr(GList) calls = g_hash_table_get_keys(caller->open);

    for (GList *link = calls; link != NULL; link = link->next) {
        Call *call = link->data;

        HttpClient_Cancel(&call->client);
        free_call(call);
    }
}

static int
run(Caller *caller)
{
    caller->started = Clock_Now(caller->clock);
    caller->next_arrival = caller->started;
    Timer_Start(&caller->timer, caller->loop->timers, 0, on_arrival);
    HttpLoop_Run(caller->loop, caller->settings.spin != 0);
    print_summary(caller);
    Timer_Stop(&caller->timer);
    cancel_open_calls(caller);
    return choose_exit_code(caller);
}

static int
set_up_and_run(Caller *caller)
{
    const CallerSettings *s = &caller->settings;
    int flags = LCCSCF_USE_SSL | LCCSCF_ALLOW_SELFSIGNED |
                LCCSCF_SKIP_SERVER_CERT_HOSTNAME_CHECK;
    int code = 2;

    caller->clock = Clock_CreateSystem();
    caller->loop = HttpLoop_Create();
    caller->planner = CallPlanner_Create(s, caller->clock);
    caller->client = HttpClient_Create(caller->loop, s->targets,
                                       s->tls ? flags : 0, s->reuse != 0);
    caller->journal = Journal_Open(s->journal, caller->clock);
    caller->latency = Histogram_Create();
    caller->lag = Histogram_Create();
    caller->open = g_hash_table_new(NULL, NULL);
    caller->value_counts =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    if (caller->planner == NULL || caller->client == NULL ||
        caller->journal == NULL || s->rate <= 0) {
        fprintf(stderr, "invalid --targets, --methods or --rate, or the "
                        "journal can not be opened\n");
    }
    else {
        code = run(caller);
    }
    HttpLoop_Close(caller->loop);
    g_hash_table_destroy(caller->value_counts);
    g_hash_table_destroy(caller->open);
    Histogram_Destroy(caller->lag);
    Histogram_Destroy(caller->latency);
    Journal_Close(caller->journal);
    HttpClient_Destroy(caller->client);
    HttpLoop_Destroy(caller->loop);
    CallPlanner_Destroy(caller->planner);
    Clock_Destroy(caller->clock);
    return code;
}

int
main(int argc, char **argv)
{
    Caller caller = {.settings = CallerSettings_Default()};
    int code = Settings_Parse(CALLER_SETTINGS, CALLER_SETTINGS_COUNT,
                              &caller.settings, argc, argv);
    int exit_code = code < 0 ? 2 : 0;

    if (code == 0) {
        exit_code = set_up_and_run(&caller);
    }
    Settings_Clear(CALLER_SETTINGS, CALLER_SETTINGS_COUNT, &caller.settings);
    return exit_code;
}
