#include <glib.h>
#include <string.h>

#include "DispatcherPrivate.h"
#include "GatewayFixture.h"

#define TIMEOUT_US (800 * MICROS_PER_MS)
#define UNPROVEN "agatecrank_unproven_refusals_total{status=\"%d\"} 1"

typedef struct Fixture_ {
    Clock *clock;
    Random *random;
    Counters *counters;
    Dispatcher *dispatcher;
    DispatchAction action;     /* the last one */
    DispatchActionKind before; /* kind of the one before it */
    size_t sends;
} Fixture;

static void
set_up(Fixture *f, gconstpointer data)
{
    DispatcherOptions options = {.domain = STR("a"),
                                 .retry_window = 10 * MICROS_PER_S,
                                 .retry_share = 0.2,
                                 .retry_extra = 2};
    CallerLimits limits = {0};
    RouteTable *table = RouteTable_Create(1, &limits);
    UpstreamEntry u = GatewayFixture_Upstream("u", 80, 4);
    UpstreamEntry v = GatewayFixture_Upstream("v", 80, 4);

    memset(f, 0, sizeof(*f));
    f->clock = Clock_CreateManual(MICROS_PER_S, 0);
    f->random = Random_Create(3);
    f->counters = Counters_Create(100);
    f->dispatcher = Dispatcher_Create(&options, f->clock, f->random, NULL,
                                      NULL, f->counters);
    GatewayFixture_AddRoute(table, "/once/", ROUTE_AT_MOST_ONCE, 1, TIMEOUT_US,
                            TIMEOUT_US);
    Dispatcher_SetRoutes(f->dispatcher, table);
    RouteTable_Unref(table);
    Dispatcher_PutUpstream(f->dispatcher, &u);
    Dispatcher_PutUpstream(f->dispatcher, &v);
}

static void
tear_down(Fixture *f, gconstpointer data)
{
    Dispatcher_Destroy(f->dispatcher);
    Counters_Destroy(f->counters);
    Random_Destroy(f->random);
    Clock_Destroy(f->clock);
}

static void
take_actions(Fixture *f)
{
    DispatchAction action;

    while (Dispatcher_NextAction(f->dispatcher, &action)) {
        f->sends += action.kind == DISPATCH_SEND;
        f->before = f->action.kind;
        f->action = action;
    }
}

/* Returns a job whose request is being sent. */
static Job *
submit(Fixture *f)
{
    JobInfo info = {.id = STR("r"),
                    .method = STR("GET"),
                    .host = GATEWAY_FIXTURE_HOST,
                    .path = STR("/once/1")};
    Job *job = Dispatcher_Submit(f->dispatcher, &info, NULL);

    take_actions(f);
    g_assert_cmpint(f->action.kind, ==, DISPATCH_SEND);
    return job;
}

static bool
has_counted_unproven(const Fixture *f, int status)
{
    GString *text = g_string_new(NULL);
    char *line = g_strdup_printf(UNPROVEN, status);
    bool found;

    Counters_Write(f->counters, text);
    found = strstr(text->str, line) != NULL;
    g_free(line);
    g_string_free(text, TRUE);
    return found;
}

/* Guards against a promise that a request was not executed while an upstream
 * has it. */
static void
test_open_attempt(Fixture *f, gconstpointer data)
{
    int status = GPOINTER_TO_INT(data);
    Job *job = submit(f);

    Job_Reject(job, status, "overloaded", MICROS_PER_S);
    take_actions(f);
    g_assert_cmpint(f->action.kind, ==, DISPATCH_RESPOND);
    g_assert_false(f->action.respond.not_run);
    g_assert_cmpint(f->action.respond.status, ==, 502);
    g_assert_cmpint(f->action.respond.retry_after, ==, 0);
    g_assert_cmpint(f->before, ==, DISPATCH_CANCEL);
    g_assert_true(has_counted_unproven(f, status));
    g_assert_cmpuint(Dispatcher_OpenJobs(f->dispatcher), ==, 0);
}

/* Guards against a refusal without a promise although all attempts are proven
 * not to have been executed, and against other statuses that are replaced. */
static void
test_kept_status(Fixture *f, gconstpointer data)
{
    AttemptEndInfo end = {.result = ATTEMPT_RESULT_NOT_RUN, .status = 503};
    Job *job = submit(f);

    GatewayFixture_EndAttempt(f->dispatcher, job, &end);
    GatewayFixture_EndAttempt(f->dispatcher, job, &end);
    take_actions(f);
    g_assert_cmpuint(f->sends, ==, 2);
    g_assert_cmpint(f->action.respond.status, ==, 503);
    g_assert_true(f->action.respond.not_run);
    g_assert_false(has_counted_unproven(f, 503));
    Job_Reject(submit(f), 504, "deadline", 0);
    take_actions(f);
    g_assert_cmpint(f->action.respond.status, ==, 504);
    g_assert_false(f->action.respond.not_run);
}

/* Guards against the proof for one attempt that is taken for another one. */
static void
test_other_attempt(Fixture *f, gconstpointer data)
{
    AttemptEndInfo end = {.result = (AttemptResult)GPOINTER_TO_INT(data),
                          .evidence = RUN_EVIDENCE_STATEMENT,
                          .status = 503};
    Job *job = submit(f);

    end.attempt = f->action.send.attempt;
    Dispatcher_OnAttemptEnd(f->dispatcher, job, &end);
    take_actions(f);
    g_assert_cmpint(f->action.kind, ==, DISPATCH_SEND);
    g_assert_cmpuint(f->action.send.attempt, !=, end.attempt);
    Dispatcher_OnAttemptEnd(f->dispatcher, job, &end);
    take_actions(f);
    g_assert_cmpint(f->action.respond.status, ==, 502);
    g_assert_false(f->action.respond.not_run);
    g_assert_cmpuint(f->sends, ==, 2);
}

/* Guards against an attempt that counts as not executed without proof. */
static void
test_ledger(void)
{
    static const struct {
        RunEvidence evidence;
        bool proven;
    } cases[] = {{RUN_EVIDENCE_NONE, false},
                 {RUN_EVIDENCE_STATUS, false},
                 {RUN_EVIDENCE_UNSENT, true},
                 {RUN_EVIDENCE_STATEMENT, true}};

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        AttemptLedger ledger = {0};
        uint32_t first, second;

        g_assert_false(AttemptLedger_MayHaveRun(&ledger));
        first = AttemptLedger_Begin(&ledger);
        g_assert_true(AttemptLedger_MayHaveRun(&ledger));
        g_assert_false(
            AttemptLedger_End(&ledger, first + 1, cases[i].evidence));
        g_assert_true(AttemptLedger_MayHaveRun(&ledger));
        g_assert_cmpint(AttemptLedger_End(&ledger, first, cases[i].evidence),
                        ==, cases[i].proven);
        g_assert_cmpint(AttemptLedger_MayHaveRun(&ledger), ==,
                        !cases[i].proven);
        g_assert_false(AttemptLedger_End(&ledger, first, cases[i].evidence));
        second = AttemptLedger_Begin(&ledger);
        g_assert_false(AttemptLedger_End(&ledger, first, cases[i].evidence));
        AttemptLedger_Cancel(&ledger);
        g_assert_false(AttemptLedger_End(&ledger, second, cases[i].evidence));
        g_assert_true(AttemptLedger_MayHaveRun(&ledger));
    }
}

#define ADD(path, data, test)                                                 \
    g_test_add("/proof/" path, Fixture, GINT_TO_POINTER(data), set_up, test,  \
               tear_down)

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    ADD("open-attempt/408", 408, test_open_attempt);
    ADD("open-attempt/421", 421, test_open_attempt);
    ADD("open-attempt/429", 429, test_open_attempt);
    ADD("open-attempt/503", 503, test_open_attempt);
    ADD("kept-status", 0, test_kept_status);
    ADD("other-attempt/not-run", ATTEMPT_RESULT_NOT_RUN, test_other_attempt);
    ADD("other-attempt/unsent", ATTEMPT_RESULT_UNSENT, test_other_attempt);
    ADD("other-attempt/moved", ATTEMPT_RESULT_MOVED, test_other_attempt);
    g_test_add_func("/proof/ledger", test_ledger);
    return g_test_run();
}
