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
    uint32_t granted; /* upstreams that peers may send requests to, in all */
    bool probed;      /* upstreams have a load path */
    bool cut;         /* probes are refused */
} Fixture;

static void
create(Fixture *f, bool probed)
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
    f->probed = probed;
    f->clock = Clock_CreateManual(MICROS_PER_S, 0);
    f->random = Random_Create(3);
    f->counters = Counters_Create(100);
    f->dispatcher = Dispatcher_Create(&options, f->clock, f->random, NULL,
                                      NULL, f->counters);
    if (probed) {
        RouteTable_AddService(table, GATEWAY_FIXTURE_SERVICE, STR("/load"));
    }
    GatewayFixture_AddRoute(table, "/once/", ROUTE_AT_MOST_ONCE, 1, TIMEOUT_US,
                            TIMEOUT_US);
    GatewayFixture_AddRoute(table, "/safe/", ROUTE_IDEMPOTENT, 1, TIMEOUT_US,
                            TIMEOUT_US);
    Dispatcher_SetRoutes(f->dispatcher, table);
    RouteTable_Unref(table);
    Dispatcher_PutUpstream(f->dispatcher, &u);
    Dispatcher_PutUpstream(f->dispatcher, &v);
}

static void
set_up(Fixture *f, gconstpointer data)
{
    create(f, false);
}

static void
set_up_probed(Fixture *f, gconstpointer data)
{
    create(f, true);
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
        if (f->probed && action.kind == DISPATCH_PROBE) {
            Dispatcher_OnProbeResult(f->dispatcher, action.probe.upstream,
                                     f->cut ? PROBE_REFUSED : PROBE_ANSWERED,
                                     NULL);
            continue;
        }
        f->sends += action.kind == DISPATCH_SEND;
        if (action.kind == DISPATCH_FORWARD) {
            f->granted += action.forward.attempts_max;
        }
        f->before = f->action.kind;
        f->action = action;
    }
}

/* Returns a job whose request is being sent. */
static Job *
submit_path(Fixture *f, const char *path)
{
    JobInfo info = {.id = STR("r"),
                    .method = STR("GET"),
                    .host = GATEWAY_FIXTURE_HOST,
                    .path = Str_FromC(path)};
    Job *job = Dispatcher_Submit(f->dispatcher, &info, NULL);

    take_actions(f);
    g_assert_cmpint(f->action.kind, ==, DISPATCH_SEND);
    return job;
}

static Job *
submit(Fixture *f)
{
    return submit_path(f, "/once/1");
}

/* Has a request fail to connect, and all probes, until the host, which has two
 * peers, takes itself for cut off. */
static void
cut_off(Fixture *f)
{
    PeerInfo peers[] = {{STR("p1"), STR("a")}, {STR("p2"), STR("b")}};
    AttemptEndInfo end = {.result = ATTEMPT_RESULT_UNSENT};
    Job *job = submit(f);

    Dispatcher_SetPeers(f->dispatcher, peers, G_N_ELEMENTS(peers));
    f->cut = true;
    GatewayFixture_EndAttempt(f->dispatcher, job, &end);
    for (int i = 0; !Dispatcher_IsCutOff(f->dispatcher); i++) {
        g_assert_cmpint(i, <, 50);
        take_actions(f);
        Clock_Advance(f->clock, 10 * MICROS_PER_MS);
        Dispatcher_OnTime(f->dispatcher);
    }
    Dispatcher_OnCallerDisconnect(f->dispatcher, job);
    take_actions(f);
}

/* Ends an attempt whose status alone implies that it was not executed. */
static void
move_unproven(Fixture *f, Job *job)
{
    AttemptEndInfo end = {.result = ATTEMPT_RESULT_MOVED,
                          .attempt = f->action.send.attempt,
                          .evidence = RUN_EVIDENCE_STATUS,
                          .status = 421};

    Dispatcher_OnAttemptEnd(f->dispatcher, job, &end);
    take_actions(f);
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

/* Guards against more upstreams than allowed after a move without proof. */
static void
test_unproven_move(Fixture *f, gconstpointer data)
{
    UpstreamEntry w = GatewayFixture_Upstream("w", 80, 4);
    Job *job;

    Dispatcher_PutUpstream(f->dispatcher, &w);
    job = submit_path(f, "/safe/1");
    move_unproven(f, job);
    g_assert_cmpint(f->action.kind, ==, DISPATCH_SEND);
    move_unproven(f, job);
    g_assert_cmpint(f->action.kind, ==, DISPATCH_RESPOND);
    g_assert_cmpint(f->action.respond.status, ==, 502);
    g_assert_cmpuint(f->sends, ==, 2);
}

/* Guards against the same over a forward. */
static void
test_unproven_move_and_forward(Fixture *f, gconstpointer data)
{
    ForwardEndInfo end = {.result = FORWARD_BROKEN};
    Job *job = submit_path(f, "/safe/1");
    DispatchAction sent = f->action;

    cut_off(f);
    f->action = sent;
    f->sends = 1;
    f->granted = 0;
    move_unproven(f, job);
    g_assert_cmpint(f->action.kind, ==, DISPATCH_FORWARD);
    GatewayFixture_EndForward(f->dispatcher, job, &end);
    take_actions(f);
    g_assert_cmpuint(f->sends + f->granted, ==, 2);
    g_assert_cmpint(f->action.kind, ==, DISPATCH_RESPOND);
    g_assert_cmpint(f->action.respond.status, ==, 502);
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
    ADD("unproven-move/here", 0, test_unproven_move);
    g_test_add("/proof/unproven-move/forward", Fixture, NULL, set_up_probed,
               test_unproven_move_and_forward, tear_down);
    g_test_add_func("/proof/ledger", test_ledger);
    return g_test_run();
}
