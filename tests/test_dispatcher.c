#include <glib.h>
#include <string.h>

#include "CrashGuard.h"
#include "GatewayFixture.h"

#define SLOT_COUNT 4
#define OBJECTIVE_US (300 * MICROS_PER_MS)
#define RETRY_EXTRA 2
#define TIMEOUT_US (800 * MICROS_PER_MS)
#define STOP_US (5700 * MICROS_PER_MS)

typedef struct Fixture_ {
    Clock *clock;
    Random *random;
    Counters *counters;
    Dispatcher *dispatcher;
    DispatchAction action; /* the last one, except for probes */
    char sent_to[64];
    size_t sends;
    size_t responses;
    size_t cancels;
    size_t aborts;
    size_t probes;
    uint32_t last_probed; /* upstream of the last probe */
} Fixture;

static int
set_routes(Fixture *f, uint64_t version)
{
    CallerLimits limits = {0};
    RouteTable *table = RouteTable_Create(version, &limits);
    int code;

    GatewayFixture_AddRoute(table, "/safe/", ROUTE_IDEMPOTENT, 2, OBJECTIVE_US,
                            TIMEOUT_US);
    GatewayFixture_AddRoute(table, "/once/", ROUTE_AT_MOST_ONCE, 1,
                            OBJECTIVE_US, TIMEOUT_US);
    code = Dispatcher_SetRoutes(f->dispatcher, table);
    RouteTable_Unref(table);
    return code;
}

static void
add_upstream(Fixture *f, const char *id)
{
    UpstreamEntry entry = GatewayFixture_Upstream(id, 80, SLOT_COUNT);

    Dispatcher_PutUpstream(f->dispatcher, &entry);
}

static void
create(Fixture *f)
{
    DispatcherOptions options = {
        .domain = STR("a"),
        .retry_window = 10 * MICROS_PER_S,
        .retry_share = 0.2,
        .retry_extra = RETRY_EXTRA,
        .outage_grace = MICROS_PER_S,
    };

    memset(f, 0, sizeof(*f));
    f->clock = Clock_CreateManual(MICROS_PER_S, 0);
    f->random = Random_Create(3);
    f->counters = Counters_Create(100);
    f->dispatcher = Dispatcher_Create(&options, f->clock, f->random, NULL,
                                      NULL, f->counters);
}

static void
set_up(Fixture *f, gconstpointer data)
{
    create(f);
    g_assert_cmpint(set_routes(f, 1), ==, 0);
    add_upstream(f, "u");
    add_upstream(f, "v");
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
        switch (action.kind) {
        case DISPATCH_PROBE:
            f->probes++;
            f->last_probed = action.probe.upstream;
            continue;
        case DISPATCH_SEND:
            f->sends++;
            g_snprintf(f->sent_to, sizeof(f->sent_to), STR_FORMAT,
                       STR_ARGS(action.send.instance));
            break;
        case DISPATCH_RESPOND:
            f->responses++;
            break;
        case DISPATCH_CANCEL:
            f->cancels++;
            break;
        case DISPATCH_FORWARD:
            break;
        case DISPATCH_ASK:
        case DISPATCH_GRANT:
            g_assert_not_reached();
        case DISPATCH_ABORT:
            f->aborts++;
            break;
        }
        f->action = action;
    }
}

static Job *
submit(Fixture *f, const char *path, Micros timeout)
{
    JobInfo info = {
        .id = STR("r"),
        .method = STR("GET"),
        .host = GATEWAY_FIXTURE_HOST,
        .path = Str_FromC(path),
        .timeout = timeout,
    };
    Job *job = Dispatcher_Submit(f->dispatcher, &info, NULL);

    take_actions(f);
    return job;
}

static JobVerdict
end_attempt(Fixture *f, Job *job, AttemptResult result, int status)
{
    AttemptEndInfo info = {.result = result, .status = status};
    JobVerdict verdict = GatewayFixture_EndAttempt(f->dispatcher, job, &info);

    take_actions(f);
    return verdict;
}

static void
advance_time(Fixture *f, Micros time)
{
    Clock_Advance(f->clock, time);
    Dispatcher_OnTime(f->dispatcher);
    take_actions(f);
}

/* Guards against executing a request that is not idempotent twice, and against
 * a 503 for a request that may have been executed. */
static void
test_at_most_once(Fixture *f, gconstpointer data)
{
    static const struct {
        const char *path;
        AttemptResult result;
        int status;
        size_t sends; /* in total */
        int response; /* expected status; 0 if relayed or retried */
    } cases[] = {
        {"/once/1", ATTEMPT_RESULT_BROKEN, 0, 1, 502},
        {"/once/1", ATTEMPT_RESULT_RESPONSE, 500, 1, 0},
        {"/once/1", ATTEMPT_RESULT_NOT_RUN, 503, 2, 0},
        {"/once/1", ATTEMPT_RESULT_MOVED, 421, 2, 0},
        {"/once/1", ATTEMPT_RESULT_UNSENT, 0, 2, 0},
        {"/safe/1", ATTEMPT_RESULT_BROKEN, 0, 2, 0},
        {"/safe/1", ATTEMPT_RESULT_RESPONSE, 500, 2, 0},
        {"/safe/1", ATTEMPT_RESULT_RESPONSE, 404, 1, 0},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        Fixture fixture;
        Job *job;

        g_test_message("case %zu", i);
        set_up(&fixture, NULL);
        job = submit(&fixture, cases[i].path, 0);
        g_assert_nonnull(job);
        end_attempt(&fixture, job, cases[i].result, cases[i].status);
        g_assert_cmpuint(fixture.sends, ==, cases[i].sends);
        g_assert_cmpuint(fixture.responses, ==, cases[i].response != 0);
        if (cases[i].response != 0) {
            g_assert_cmpint(fixture.action.respond.status, ==,
                            cases[i].response);
            g_assert_cmpint(fixture.action.respond.retry_after, ==, 0);
        }
        tear_down(&fixture, NULL);
    }
}

/* Guards against a retry on the upstream that just rejected the request. */
static void
test_retry_elsewhere(Fixture *f, gconstpointer data)
{
    Job *job = submit(f, "/once/1", 0);
    char first[64];

    g_strlcpy(first, f->sent_to, sizeof(first));
    end_attempt(f, job, ATTEMPT_RESULT_NOT_RUN, 503);
    g_assert_cmpstr(first, !=, f->sent_to);
    /* Both upstreams rejected it, so it was not executed and the caller may
     * retry. */
    end_attempt(f, job, ATTEMPT_RESULT_NOT_RUN, 503);
    g_assert_cmpint(f->action.respond.status, ==, 503);
    g_assert_cmpint(f->action.respond.retry_after, >, 0);
    /* Nothing shows that the service is full, so the Retry-After is short. */
    g_assert_cmpint(f->action.respond.retry_after, <=, 30 * MICROS_PER_MS);
}

/* Guards against a 503 ("not executed") after an earlier attempt of an
 * idempotent request may have been executed. */
static void
test_truthful_rejection(Fixture *f, gconstpointer data)
{
    Job *job = submit(f, "/safe/1", 0);

    end_attempt(f, job, ATTEMPT_RESULT_BROKEN, 0);
    end_attempt(f, job, ATTEMPT_RESULT_NOT_RUN, 503);
    g_assert_cmpint(f->action.respond.status, ==, 502);
}

/* Guards against a response after the caller's timeout, and against a request
 * that stays open beyond the route's timeout. */
static void
test_deadline(Fixture *f, gconstpointer data)
{
    static const struct {
        Micros caller;
        Micros time_limit;
    } cases[] = {
        {0, TIMEOUT_US},
        {500 * MICROS_PER_MS, 480 * MICROS_PER_MS},
        {2 * MICROS_PER_S, TIMEOUT_US},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        Micros time_limit = cases[i].time_limit;

        f->responses = f->cancels = 0;
        submit(f, "/safe/1", cases[i].caller);
        g_assert_cmpint(f->action.send.timeout, ==, time_limit);
        g_assert_cmpint(Dispatcher_NextTime(f->dispatcher), ==,
                        Clock_Now(f->clock) + time_limit);
        advance_time(f, time_limit - 1);
        g_assert_cmpuint(f->responses, ==, 0);
        advance_time(f, 1);
        g_assert_cmpuint(f->cancels, ==, 1);
        g_assert_cmpint(f->action.respond.status, ==, 504);
        g_assert_cmpuint(Dispatcher_OpenJobs(f->dispatcher), ==, 0);
        /* Until then the host wakes up to decide on the lost upstream. */
        advance_time(f, MICROS_PER_S);
    }
}

/* Guards against a 404 before the first routes arrive, and against replacing
 * routes by an older version. */
static void
test_routes(void)
{
    Fixture f;

    create(&f);
    submit(&f, "/safe/1", 0);
    g_assert_cmpint(f.action.respond.status, ==, 503);
    g_assert_cmpint(set_routes(&f, 5), ==, 0);
    g_assert_cmpint(set_routes(&f, 4), ==, ERR_CONFLICT);
    g_assert_cmpint(set_routes(&f, 5), ==, ERR_CONFLICT);
    submit(&f, "/other/1", 0);
    g_assert_cmpint(f.action.respond.status, ==, 404);
    submit(&f, "/safe/1", 0);
    g_assert_cmpint(f.action.respond.status, ==, 503);
    g_assert_cmpstr(f.action.respond.reason, ==, "no-upstream");
    tear_down(&f, NULL);
}

/* Guards against more retries than the limit when every attempt fails. */
static void
test_retry_budget(Fixture *f, gconstpointer data)
{
    for (int i = 0; i < 100; i++) {
        Job *job = submit(f, "/safe/1", 0);

        while (job != NULL && f->action.kind == DISPATCH_SEND) {
            end_attempt(f, job, ATTEMPT_RESULT_NOT_RUN, 503);
        }
        Clock_Advance(f->clock, 10 * MICROS_PER_MS);
    }
    g_assert_cmpuint(f->sends, <=, 100 + 20 + 2);
    g_assert_cmpuint(f->sends, >=, 110);
    g_assert_cmpuint(f->responses, ==, 100);
}

static void
reply_to_probe(Fixture *f, uint32_t upstream, uint32_t running)
{
    LoadReport report = {
        .inflight = running, .slots = SLOT_COUNT, .slowdown_percent = 100};

    Dispatcher_OnProbeResult(f->dispatcher, upstream, PROBE_ANSWERED, &report);
    take_actions(f);
}

/* Reports the same load for both upstreams. */
static void
report_load(Fixture *f, uint32_t running)
{
    reply_to_probe(f, 0, running);
    reply_to_probe(f, 1, running);
}

static void
set_up_probing(Fixture *f, gconstpointer data)
{
    CallerLimits limits = {0};
    RouteTable *table = RouteTable_Create(1, &limits);

    create(f);
    RouteTable_AddService(table, STR("desk"), STR("/health"));
    GatewayFixture_AddRoute(table, "/safe/", ROUTE_IDEMPOTENT, 2, OBJECTIVE_US,
                            TIMEOUT_US);
    GatewayFixture_AddRoute(table, "/once/", ROUTE_AT_MOST_ONCE, 1,
                            OBJECTIVE_US, TIMEOUT_US);
    g_assert_cmpint(Dispatcher_SetRoutes(f->dispatcher, table), ==, 0);
    RouteTable_Unref(table);
    add_upstream(f, "u");
    add_upstream(f, "v");
}

/* Guards against sending to full upstreams, against serving requests out of
 * order of priority, and against waiting beyond the useful time. */
static void
test_queue(Fixture *f, gconstpointer data)
{
    Job *safe, *once;

    safe = submit(f, "/safe/1", 0);
    report_load(f, SLOT_COUNT);
    g_assert_cmpuint(f->sends, ==, 0);
    once = submit(f, "/once/1", 0);
    g_assert_cmpuint(f->sends, ==, 0);
    g_assert_nonnull(safe);
    g_assert_nonnull(once);
    report_load(f, SLOT_COUNT - 2);
    /* Each upstream has capacity for one more request. */
    g_assert_cmpuint(f->sends, ==, 2);
    submit(f, "/safe/2", 0);
    report_load(f, SLOT_COUNT);
    advance_time(f, OBJECTIVE_US / 2);
    g_assert_cmpint(f->action.respond.status, ==, 503);
    g_assert_cmpstr(f->action.respond.reason, ==, "overloaded");
    g_assert_cmpint(f->action.respond.retry_after, >=, 100 * MICROS_PER_MS);
}

/* Guards against waiting for the load report of an upstream that sends
 * none. */
static void
test_no_load_reports(Fixture *f, gconstpointer data)
{
    submit(f, "/safe/1", 0);
    g_assert_cmpuint(f->sends, ==, 0);
    advance_time(f, 10 * MICROS_PER_MS);
    g_assert_cmpuint(f->sends, ==, 1);
}

/* Sends a request to an idle upstream and advances the time until that
 * upstream is probed. */
static void
send_and_wait(Fixture *f, const char *path)
{
    submit(f, path, 0);
    report_load(f, 0);
    g_assert_cmpuint(f->sends, ==, 1);
    f->probes = 0;
    advance_time(f, OBJECTIVE_US / 4);
}

static void
time_out_probe(Fixture *f)
{
    Dispatcher_OnProbeTimeout(f->dispatcher, f->last_probed, true);
    take_actions(f);
}

/* Guards against requests that wait until their deadline for an upstream that
 * lost power or network, which TCP does not report. */
static void
test_unreachable_upstream(Fixture *f, gconstpointer data)
{
    char first[64];
    uint32_t unreachable;

    send_and_wait(f, "/safe/1");
    g_strlcpy(first, f->sent_to, sizeof(first));
    g_assert_cmpuint(f->probes, ==, 1);
    time_out_probe(f);
    g_assert_cmpuint(f->probes, ==, 2);
    g_assert_cmpuint(f->cancels, ==, 0);
    unreachable = f->last_probed;
    time_out_probe(f);
    /* The other upstream is probed before the request moves to it, and the
     * attempt continues meanwhile. */
    g_assert_cmpuint(f->probes, ==, 3);
    g_assert_cmpuint(f->last_probed, !=, unreachable);
    reply_to_probe(f, f->last_probed, 0);
    g_assert_cmpuint(f->cancels, ==, 0);
    advance_time(f, 8 * MICROS_PER_MS);
    g_assert_cmpuint(f->cancels, ==, 1);
    g_assert_cmpuint(f->sends, ==, 2);
    g_assert_cmpstr(f->sent_to, !=, first);
    /* There is no third upstream, so the last attempt continues. */
    advance_time(f, OBJECTIVE_US / 4);
    time_out_probe(f);
    time_out_probe(f);
    g_assert_cmpuint(f->cancels, ==, 1);
    g_assert_cmpuint(f->responses, ==, 0);
}

/* Guards against abandoning a request that the upstream is still
 * processing. */
static void
test_slow_upstream(Fixture *f, gconstpointer data)
{
    LoadReport report = {
        .inflight = 1, .slots = SLOT_COUNT, .slowdown_percent = 400};

    send_and_wait(f, "/safe/1");
    time_out_probe(f);
    Dispatcher_OnProbeResult(f->dispatcher, f->last_probed, PROBE_ANSWERED,
                             &report);
    take_actions(f);
    g_assert_cmpuint(f->cancels, ==, 0);
    /* A response came in between, so this is not the second timeout in a
     * row. */
    advance_time(f, OBJECTIVE_US / 4);
    g_assert_cmpuint(f->probes, ==, 3);
    time_out_probe(f);
    g_assert_cmpuint(f->cancels, ==, 0);
}

/* Guards against a request that gets no response because an upstream with good
 * load reports lost it, and against duplicating work while all upstreams are
 * busy. */
static void
test_overdue(Fixture *f, gconstpointer data)
{
    send_and_wait(f, "/safe/1");
    for (int i = 1; i < 4; i++) {
        report_load(f, SLOT_COUNT);
        advance_time(f, OBJECTIVE_US / 4);
    }
    report_load(f, SLOT_COUNT);
    advance_time(f, 8 * MICROS_PER_MS);
    g_assert_cmpuint(f->cancels, ==, 0);
    advance_time(f, OBJECTIVE_US / 4);
    /* The other upstream is probed before the move. */
    report_load(f, 0);
    advance_time(f, 8 * MICROS_PER_MS);
    g_assert_cmpuint(f->cancels, ==, 1);
    g_assert_cmpuint(f->sends, ==, 2);
    g_assert_cmpuint(f->responses, ==, 0);
    /* The second attempt may run until the deadline. */
    advance_time(f, OBJECTIVE_US);
    g_assert_cmpuint(f->cancels, ==, 1);
}

/* Guards against a stopping host that abandons a request that an upstream is
 * processing, and against treating an upstream that responds without a load
 * report as unreachable. */
static void
test_no_false_abandon(Fixture *f, gconstpointer data)
{
    send_and_wait(f, "/safe/1");
    for (int i = 0; i < 4; i++) {
        Dispatcher_OnProbeResult(f->dispatcher, f->last_probed, PROBE_ANSWERED,
                                 NULL);
        advance_time(f, 10 * MICROS_PER_MS);
    }
    report_load(f, 0);
    advance_time(f, 8 * MICROS_PER_MS);
    g_assert_cmpuint(f->cancels, ==, 0);
    Dispatcher_Stop(f->dispatcher, Clock_Now(f->clock) + STOP_US);
    time_out_probe(f);
    time_out_probe(f);
    report_load(f, 0);
    advance_time(f, OBJECTIVE_US);
    report_load(f, 0);
    advance_time(f, 8 * MICROS_PER_MS);
    g_assert_cmpuint(f->cancels, ==, 0);
}

/* Guards against quarantining requests because similar ones were moved away
 * from slow upstreams. */
static void
test_move_is_no_failure(Fixture *f, gconstpointer data)
{
    static const uint32_t upstreams = 4;

    add_upstream(f, "w");
    add_upstream(f, "x");
    for (size_t moves = 1; moves <= 2; moves++) {
        submit(f, "/safe/1", 0);
        for (uint32_t i = 0; i < upstreams; i++) {
            reply_to_probe(f, i, 0);
        }
        advance_time(f, OBJECTIVE_US);
        for (uint32_t i = 0; i < upstreams; i++) {
            reply_to_probe(f, i, 0);
        }
        advance_time(f, 8 * MICROS_PER_MS);
        g_assert_cmpuint(f->cancels, ==, moves);
        advance_time(f, TIMEOUT_US);
        f->cancels = moves;
    }
    g_assert_cmpuint(f->responses, ==, 2);
    submit(f, "/safe/1", 0);
    g_assert_cmpuint(f->responses, ==, 2);
}

/* Guards against a second execution of a request that is not idempotent. */
static void
test_unreachable_at_most_once(Fixture *f, gconstpointer data)
{
    send_and_wait(f, "/once/1");
    g_assert_cmpuint(f->probes, ==, 0);
    submit(f, "/safe/1", 0);
    time_out_probe(f);
    time_out_probe(f);
    g_assert_cmpuint(f->cancels, ==, 0);
}

/* Guards against sending a request whose caller has disconnected. */
static void
test_caller_disconnect(Fixture *f, gconstpointer data)
{
    Job *job = submit(f, "/safe/1", 0);

    Dispatcher_OnCallerDisconnect(f->dispatcher, job);
    take_actions(f);
    report_load(f, 0);
    advance_time(f, TIMEOUT_US);
    g_assert_cmpuint(f->sends, ==, 0);
    g_assert_cmpuint(f->responses, ==, 0);
}

/* Another host tells of a request that it has ended two upstreams. */
static void
report_crashing_request(Fixture *f, const char *path)
{
    QuarantineItem item = {
        .fingerprint =
            CrashGuard_Fingerprint(STR("GET"), Str_FromC(path), NULL),
        .losses = 2,
        .upstreams = {1, 2},
    };

    CrashGuard_OnPeerItem(Dispatcher_CrashGuard(f->dispatcher), &item);
}

/* Guards against a retry of a request that is known to crash upstreams by
 * then, and against a 503 for it after an attempt that may have run. */
static void
test_retry_of_crashing_request(Fixture *f, gconstpointer data)
{
    Job *job = submit(f, "/safe/1", 0);

    report_crashing_request(f, "/safe/1");
    end_attempt(f, job, ATTEMPT_RESULT_BROKEN, 0);
    g_assert_cmpuint(f->sends, ==, 1);
    g_assert_cmpint(f->action.respond.status, ==, 502);
    g_assert_cmpstr(f->action.respond.reason, ==, "quarantined");
    submit(f, "/safe/1", 0);
    g_assert_cmpuint(f->sends, ==, 1);
    g_assert_cmpint(f->action.respond.status, ==, 503);
    g_assert_cmpint(f->action.respond.retry_after, >, 0);
    submit(f, "/safe/2", 0);
    g_assert_cmpuint(f->sends, ==, 2);
}

/* Guards against a loop of probes that cannot be sent. */
static void
test_probe_that_fails_at_once(Fixture *f, gconstpointer data)
{
    Job *job = submit(f, "/once/1", 0);

    report_load(f, 0);
    g_assert_cmpuint(f->sends, ==, 1);
    f->probes = 0;
    end_attempt(f, job, ATTEMPT_RESULT_BROKEN, 0);
    for (int i = 0; i < 10; i++) {
        Dispatcher_OnProbeResult(f->dispatcher, f->last_probed, PROBE_UNCLEAR,
                                 NULL);
        take_actions(f);
    }
    g_assert_cmpuint(f->probes, <=, 2);
    advance_time(f, 200 * MICROS_PER_MS);
    g_assert_cmpuint(f->probes, <=, 4);
}

/* Guards against sending a request from the queue that is known to crash
 * upstreams by then. */
static void
test_queued_crashing_request(Fixture *f, gconstpointer data)
{
    submit(f, "/safe/1", 0);
    report_load(f, SLOT_COUNT);
    advance_time(f, 8 * MICROS_PER_MS);
    report_load(f, SLOT_COUNT);
    g_assert_cmpuint(f->sends, ==, 0);
    report_crashing_request(f, "/safe/1");
    report_load(f, 0);
    advance_time(f, 8 * MICROS_PER_MS);
    g_assert_cmpuint(f->sends, ==, 0);
    g_assert_cmpuint(f->responses, ==, 1);
    g_assert_cmpstr(f->action.respond.reason, ==, "quarantined");
}

#define ADD(path, set_up, test)                                               \
    g_test_add(path, Fixture, NULL, set_up, test, tear_down)

static JobVerdict
end_with_limit(Fixture *f, Job *job, double per_s)
{
    AttemptEndInfo info = {.result = ATTEMPT_RESULT_RESPONSE,
                           .status = 200,
                           .limit = {LIMIT_NAMED, per_s}};
    JobVerdict verdict = GatewayFixture_EndAttempt(f->dispatcher, job, &info);

    take_actions(f);
    return verdict;
}

/* Guards against requests that wait for a limited upstream until their
 * deadline, and against a Retry-After at which the host refuses again. */
static void
test_limited_upstreams(Fixture *f, gconstpointer data)
{
    Str hosts[] = {STR("")};
    Job *u, *v;

    Dispatcher_SetHosts(f->dispatcher, hosts, 1, 0);
    u = submit(f, "/once/1", 0);
    v = submit(f, "/once/2", 0);
    end_with_limit(f, u, 2);
    end_with_limit(f, v, 2);
    g_assert_null(submit(f, "/once/3", 0));
    g_assert_cmpuint(f->sends, ==, 2);
    g_assert_cmpint(f->action.kind, ==, DISPATCH_RESPOND);
    g_assert_cmpint(f->action.respond.status, ==, 503);
    g_assert_cmpstr(f->action.respond.reason, ==, "upstream-limits");
    g_assert_cmpint(f->action.respond.retry_after, >=, 500 * MICROS_PER_MS);
    advance_time(f, f->action.respond.retry_after);
    g_assert_nonnull(submit(f, "/once/3", 0));
    g_assert_cmpuint(f->sends, ==, 3);
}

/* Guards against a host that forgets a limit because the entry of its upstream
 * lapsed. */
static void
test_limit_of_relisted_upstream(Fixture *f, gconstpointer data)
{
    Str hosts[] = {STR("")};

    Dispatcher_SetHosts(f->dispatcher, hosts, 1, 0);
    Dispatcher_RemoveUpstream(f->dispatcher, STR("v"));
    end_with_limit(f, submit(f, "/once/1", 0), 0.1);
    g_assert_cmpuint(Dispatcher_LimitedUpstreamCount(f->dispatcher), ==, 1);
    Dispatcher_RemoveUpstream(f->dispatcher, STR("u"));
    g_assert_cmpuint(Dispatcher_LimitedUpstreamCount(f->dispatcher), ==, 0);
    add_upstream(f, "u");
    g_assert_null(submit(f, "/once/2", 0));
    g_assert_cmpuint(f->sends, ==, 1);
}

/* Guards against requests for a limited upstream at a host that the others do
 * not know yet. */
static void
test_limit_of_unknown_host(Fixture *f, gconstpointer data)
{
    Str hosts[] = {STR("")};

    Dispatcher_SetHosts(f->dispatcher, hosts, 1, 60 * MICROS_PER_S);
    end_with_limit(f, submit(f, "/once/1", 0), 2);
    end_with_limit(f, submit(f, "/once/2", 0), 2);
    advance_time(f, 5 * MICROS_PER_S);
    g_assert_null(submit(f, "/once/3", 0));
    g_assert_cmpuint(f->sends, ==, 2);
}

/* Probes of both upstreams name a limit of which this host has no part. */
static void
limit_by_probes(Fixture *f)
{
    LimitNotice limit = {LIMIT_NAMED, 2};
    Str hosts[] = {STR("")};

    Dispatcher_SetHosts(f->dispatcher, hosts, 1, 60 * MICROS_PER_S);
    for (uint32_t i = 0; i < 2; i++) {
        Dispatcher_OnProbeLimit(f->dispatcher, i, limit);
    }
    g_assert_cmpuint(Dispatcher_LimitedUpstreamCount(f->dispatcher), ==, 2);
    advance_time(f, 300 * MICROS_PER_MS);
}

/* Guards against refusing a request because of a limit that has ended, while a
 * probe asks for it. */
static void
test_limit_ended_by_probe(Fixture *f, gconstpointer data)
{
    LimitNotice none = {.kind = LIMIT_ABSENT};

    limit_by_probes(f);
    g_assert_nonnull(submit(f, "/once/1", 0));
    g_assert_cmpuint(f->probes, ==, 2);
    Dispatcher_OnProbeLimit(f->dispatcher, 0, none);
    reply_to_probe(f, 0, 0);
    g_assert_cmpuint(f->sends, ==, 1);
    g_assert_cmpuint(f->responses, ==, 0);
}

/* Guards against requests that wait long for probes which get no response. */
static void
test_limit_unanswered_probes(Fixture *f, gconstpointer data)
{
    limit_by_probes(f);
    submit(f, "/once/1", 0);
    for (int i = 0; i < 5; i++) {
        advance_time(f, 8 * MICROS_PER_MS);
    }
    g_assert_cmpuint(f->sends, ==, 0);
    g_assert_cmpstr(f->action.respond.reason, ==, "upstream-limits");
}

/* Guards against believing an end that is older than the last response that
 * named the limit. */
static void
test_limit_named_after_probe(Fixture *f, gconstpointer data)
{
    LimitNotice none = {.kind = LIMIT_ABSENT};
    uint32_t upstream;
    Job *job = submit(f, "/once/0", 0);

    report_load(f, 0);
    upstream = f->sent_to[0] == 'u' ? 0 : 1;
    limit_by_probes(f);
    submit(f, "/once/1", 0);
    advance_time(f, MICROS_PER_MS);
    end_with_limit(f, job, 2);
    Dispatcher_OnProbeLimit(f->dispatcher, upstream, none);
    reply_to_probe(f, upstream, 0);
    g_assert_cmpuint(Dispatcher_LimitedUpstreamCount(f->dispatcher), ==, 2);
    g_assert_cmpuint(f->sends, ==, 1);
    /* The next probe is newer. */
    advance_time(f, MICROS_PER_S);
    f->probes = 0;
    submit(f, "/once/2", 0);
    g_assert_cmpuint(f->probes, >=, 1);
    Dispatcher_OnProbeLimit(f->dispatcher, upstream, none);
    g_assert_cmpuint(Dispatcher_LimitedUpstreamCount(f->dispatcher), ==, 1);
    /* Told twice, and named again at once. */
    Dispatcher_OnProbeLimit(f->dispatcher, upstream, none);
    g_assert_cmpuint(Dispatcher_LimitedUpstreamCount(f->dispatcher), ==, 1);
    Dispatcher_OnProbeLimit(f->dispatcher, upstream,
                            (LimitNotice){LIMIT_NAMED, 2});
    g_assert_cmpuint(Dispatcher_LimitedUpstreamCount(f->dispatcher), ==, 2);
}

/* Guards against a relay that no deadline ends, and against an upstream that
 * counts as sound because its responses began well. */
static void
test_relay_deadline(Fixture *f, gconstpointer data)
{
    static const struct {
        RelayEnd end;
        bool ejected;
    } cases[] = {{RELAY_TIMEOUT, true},
                 {RELAY_BROKEN, true},
                 {RELAY_CALLER_SLOW, false},
                 {RELAY_COMPLETE, false}};

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        size_t sent_to_u = 0;

        tear_down(f, NULL);
        set_up(f, NULL);
        for (size_t n = 0; n < 12; n++) {
            AttemptEndInfo info = {.result = ATTEMPT_RESULT_RESPONSE,
                                   .status = 200,
                                   .more_follows = true};
            Job *job = submit(f, "/safe/1", 0);
            bool to_u = strcmp(f->sent_to, "u") == 0;

            g_assert_cmpint(
                GatewayFixture_EndAttempt(f->dispatcher, job, &info), ==,
                JOB_RELAY);
            g_assert_cmpuint(Dispatcher_OpenJobs(f->dispatcher), ==, 1);
            if (!to_u) {
                Dispatcher_OnRelayEnd(f->dispatcher, job, RELAY_COMPLETE);
                continue;
            }
            sent_to_u++;
            if (cases[i].end == RELAY_TIMEOUT) {
                f->aborts = 0;
                advance_time(f, TIMEOUT_US - 1);
                g_assert_cmpuint(f->aborts, ==, 0);
                advance_time(f, 1);
                g_assert_cmpuint(f->aborts, ==, 1);
                advance_time(f, TIMEOUT_US);
                g_assert_cmpuint(f->aborts, ==, 1);
            }
            Dispatcher_OnRelayEnd(f->dispatcher, job, cases[i].end);
            g_assert_cmpuint(Dispatcher_OpenJobs(f->dispatcher), ==, 0);
        }
        g_test_message("end=%d sent=%zu", (int)cases[i].end, sent_to_u);
        if (cases[i].ejected) {
            g_assert_cmpuint(sent_to_u, <=, 3);
        }
        else {
            g_assert_cmpuint(sent_to_u, >=, 4);
        }
    }
}

static void
pause_upstream(Fixture *f, Job *job, Micros pause)
{
    UpstreamNotice notice = {.pause = pause};

    Dispatcher_OnNotice(f->dispatcher, job, &notice);
    end_attempt(f, job, ATTEMPT_RESULT_NOT_RUN, 503);
}

/* Guards against a pause that is forgotten at a retry, against callers that are
 * told to return before it ends, and against callers that all return at the
 * same moment. */
static void
test_paused_upstreams(Fixture *f, gconstpointer data)
{
    Micros first = G_MAXINT64, last = 0;
    Job *job = submit(f, "/once/1", 0);

    pause_upstream(f, job, 4 * MICROS_PER_S);
    g_assert_cmpuint(f->sends, ==, 2);
    pause_upstream(f, job, 2 * MICROS_PER_S);
    for (int i = 0; i < 100; i++) {
        Micros wait;

        g_assert_null(submit(f, "/once/2", 0));
        wait = f->action.respond.retry_after;
        g_assert_cmpstr(f->action.respond.reason, ==, "upstream-pauses");
        g_assert_cmpint(f->action.respond.status, ==, 503);
        first = MIN(first, wait);
        last = MAX(last, wait);
    }
    g_assert_cmpint(first, >=, 2 * MICROS_PER_S);
    g_assert_cmpint(last, <=, 2500 * MICROS_PER_MS);
    g_assert_cmpint(last - first, >=, 300 * MICROS_PER_MS);
    g_assert_cmpuint(f->sends, ==, 2);
    advance_time(f, 2 * MICROS_PER_S);
    g_assert_nonnull(submit(f, "/once/3", 0));
    g_assert_cmpuint(f->sends, ==, 3);
}

/* Guards against a retry that goes to an upstream which another request has
 * found paused. */
static void
test_retry_with_pause(Fixture *f, gconstpointer data)
{
    Job *job = submit(f, "/once/1", 0);

    pause_upstream(f, job, 4 * MICROS_PER_S);
    end_attempt(f, job, ATTEMPT_RESULT_RESPONSE, 200);
    g_assert_cmpuint(f->sends, ==, 2);
    job = submit(f, "/once/2", 0);
    g_assert_cmpuint(f->sends, ==, 3);
    end_attempt(f, job, ATTEMPT_RESULT_NOT_RUN, 503);
    g_assert_cmpuint(f->sends, ==, 3);
    g_assert_cmpint(f->action.respond.status, ==, 503);
}

/* Reads the entry of a new incarnation, which started @age ago by the clock of
 * this host. */
static void
restart_upstream(Fixture *f, const char *id, Micros age)
{
    UpstreamEntry entry = GatewayFixture_Upstream(id, 80, SLOT_COUNT);

    entry.started = (Clock_Wall(f->clock) - age) / MICROS_PER_MS;
    Dispatcher_PutUpstream(f->dispatcher, &entry);
}

static void
end_with_notice(Fixture *f, Job *job, UpstreamNotice notice)
{
    Dispatcher_OnNotice(f->dispatcher, job, &notice);
    end_attempt(f, job, ATTEMPT_RESULT_RESPONSE, 200);
}

static void
keep_one_upstream(Fixture *f)
{
    Dispatcher_RemoveUpstream(f->dispatcher, STR("v"));
    advance_time(f, 10 * MICROS_PER_S);
}

static bool
can_send(Fixture *f)
{
    Job *job = submit(f, "/once/9", 0);

    if (job != NULL) {
        end_attempt(f, job, ATTEMPT_RESULT_RESPONSE, 200);
    }
    return job != NULL;
}

/* Guards against what a new incarnation says being forgotten when its entry is
 * read later. */
static void
test_notice_before_entry(Fixture *f, gconstpointer data)
{
    keep_one_upstream(f);
    end_with_notice(f, submit(f, "/once/1", 0),
                    (UpstreamNotice){.leaving = true});
    advance_time(f, 500 * MICROS_PER_MS);
    restart_upstream(f, "u", MICROS_PER_S);
    g_assert_false(can_send(f));
    restart_upstream(f, "u", 0);
    end_with_notice(f, submit(f, "/once/1", 0),
                    (UpstreamNotice){.pause = 5 * MICROS_PER_S});
    advance_time(f, 500 * MICROS_PER_MS);
    restart_upstream(f, "u", 500 * MICROS_PER_MS);
    g_assert_false(can_send(f));
    advance_time(f, 4500 * MICROS_PER_MS);
    g_assert_true(can_send(f));
}

/* As above, while the entry of the one before is gone. */
static void
test_notice_between_entries(Fixture *f, gconstpointer data)
{
    keep_one_upstream(f);
    end_with_notice(f, submit(f, "/once/1", 0),
                    (UpstreamNotice){.leaving = true});
    Dispatcher_RemoveUpstream(f->dispatcher, STR("u"));
    advance_time(f, 500 * MICROS_PER_MS);
    restart_upstream(f, "u", MICROS_PER_S);
    g_assert_false(can_send(f));
}

/* Guards against a new incarnation that is held to what the one before said. */
static void
test_notice_of_old_incarnation(Fixture *f, gconstpointer data)
{
    UpstreamNotice notice = {.leaving = true, .pause = 60 * MICROS_PER_S};
    Job *old, *new;

    keep_one_upstream(f);
    end_with_notice(f, submit(f, "/once/1", 0), notice);
    advance_time(f, 500 * MICROS_PER_MS);
    restart_upstream(f, "u", 100 * MICROS_PER_MS);
    g_assert_true(can_send(f));
    old = submit(f, "/once/1", 0);
    advance_time(f, 200 * MICROS_PER_MS);
    new = submit(f, "/once/2", 0);
    end_with_notice(f, old, notice);
    end_with_notice(f, new, (UpstreamNotice){.pause = 3 * MICROS_PER_S});
    restart_upstream(f, "u", 100 * MICROS_PER_MS);
    g_assert_false(can_send(f));
    advance_time(f, 3 * MICROS_PER_S);
    g_assert_true(can_send(f));
}

/* Guards against a response that is held against the wrong incarnation because
 * it arrives after the new entry. */
static void
test_notice_after_entry(Fixture *f, gconstpointer data)
{
    UpstreamNotice notice = {.leaving = true};
    Job *job;

    keep_one_upstream(f);
    job = submit(f, "/once/1", 0);
    advance_time(f, 200 * MICROS_PER_MS);
    restart_upstream(f, "u", 100 * MICROS_PER_MS);
    end_with_notice(f, job, notice);
    g_assert_true(can_send(f));
    job = submit(f, "/once/1", 0);
    advance_time(f, 10 * MICROS_PER_MS);
    restart_upstream(f, "u", 50 * MICROS_PER_MS);
    end_with_notice(f, job, notice);
    g_assert_false(can_send(f));
}

/* Guards against an upstream at another address that is held to what the one
 * before said. */
static void
test_notice_at_other_address(Fixture *f, gconstpointer data)
{
    UpstreamEntry entry = GatewayFixture_Upstream("u", 81, SLOT_COUNT);

    keep_one_upstream(f);
    end_with_notice(f, submit(f, "/once/1", 0),
                    (UpstreamNotice){.leaving = true});
    entry.started = (Clock_Wall(f->clock) - MICROS_PER_S) / MICROS_PER_MS;
    Dispatcher_PutUpstream(f->dispatcher, &entry);
    g_assert_true(can_send(f));
}

/* Guards against a host with a fast clock that takes the last words of an
 * incarnation for those of the next one and never uses it. */
static void
test_notice_with_fast_clock(Fixture *f, gconstpointer data)
{
    UpstreamNotice none = {0};
    Job *job;

    keep_one_upstream(f);
    job = submit(f, "/once/1", 0);
    reply_to_probe(f, 0, 0);
    end_with_notice(f, job, (UpstreamNotice){.leaving = true});
    restart_upstream(f, "u", 5 * MICROS_PER_S);
    f->probes = 0;
    f->sends = 0;
    submit(f, "/once/1", 0);
    g_assert_cmpuint(f->probes, ==, 1);
    g_assert_cmpuint(f->sends, ==, 0);
    Dispatcher_OnProbeNotice(f->dispatcher, f->last_probed, &none);
    reply_to_probe(f, f->last_probed, 0);
    g_assert_cmpuint(f->sends, ==, 1);
    g_assert_nonnull(submit(f, "/once/1", 0));
}

/* Guards against retries that find all upstreams paused and use up the limit on
 * retries, though nothing is sent. */
static void
test_retries_while_paused(Fixture *f, gconstpointer data)
{
    Job *jobs[2 * SLOT_COUNT];

    for (size_t i = 0; i < G_N_ELEMENTS(jobs); i++) {
        jobs[i] = submit(f, "/once/1", 0);
    }
    pause_upstream(f, jobs[0], 2 * MICROS_PER_S);
    pause_upstream(f, jobs[0], 2 * MICROS_PER_S);
    g_assert_cmpuint(f->sends, ==, G_N_ELEMENTS(jobs) + 1);
    for (size_t i = 1; i < G_N_ELEMENTS(jobs); i++) {
        end_attempt(f, jobs[i], ATTEMPT_RESULT_NOT_RUN, 503);
        g_assert_cmpstr(f->action.respond.reason, ==, "upstream-full");
    }
    g_assert_cmpuint(f->sends, ==, G_N_ELEMENTS(jobs) + 1);
    advance_time(f, 2 * MICROS_PER_S);
    f->sends = 0;
    for (int i = 0; i < RETRY_EXTRA; i++) {
        end_attempt(f, submit(f, "/once/2", 0), ATTEMPT_RESULT_NOT_RUN, 503);
    }
    g_assert_cmpuint(f->sends, ==, 2 * RETRY_EXTRA);
}

/* Guards against a retry that is rejected in the queue and uses up the limit on
 * retries. */
static void
test_queued_retries(Fixture *f, gconstpointer data)
{
    Job *jobs[8];

    for (size_t i = 0; i < G_N_ELEMENTS(jobs); i++) {
        jobs[i] = submit(f, "/once/1", 0);
        report_load(f, 0);
    }
    g_assert_cmpuint(f->sends, ==, G_N_ELEMENTS(jobs));
    report_load(f, 2 * SLOT_COUNT);
    for (size_t i = 0; i < G_N_ELEMENTS(jobs); i++) {
        end_attempt(f, jobs[i], ATTEMPT_RESULT_NOT_RUN, 503);
        report_load(f, 2 * SLOT_COUNT);
    }
    advance_time(f, OBJECTIVE_US);
    g_assert_cmpuint(f->sends, ==, G_N_ELEMENTS(jobs));
    g_assert_cmpuint(f->responses, ==, G_N_ELEMENTS(jobs));
    advance_time(f, 2 * MICROS_PER_S);
    f->sends = 0;
    for (int i = 0; i < RETRY_EXTRA; i++) {
        Job *job = submit(f, "/once/2", 0);

        report_load(f, 0);
        end_attempt(f, job, ATTEMPT_RESULT_NOT_RUN, 503);
        report_load(f, 0);
    }
    g_assert_cmpuint(f->sends, ==, 2 * RETRY_EXTRA);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    ADD("/dispatcher/at-most-once", set_up, test_at_most_once);
    ADD("/dispatcher/other-upstream", set_up, test_retry_elsewhere);
    ADD("/dispatcher/true-refusal", set_up, test_truthful_rejection);
    ADD("/dispatcher/deadline", set_up, test_deadline);
    g_test_add_func("/dispatcher/routes", test_routes);
    ADD("/dispatcher/retry-budget", set_up, test_retry_budget);
    ADD("/dispatcher/queue", set_up_probing, test_queue);
    ADD("/dispatcher/silent-upstreams", set_up_probing, test_no_load_reports);
    ADD("/dispatcher/lost-upstream", set_up_probing,
        test_unreachable_upstream);
    ADD("/dispatcher/slow-upstream", set_up_probing, test_slow_upstream);
    ADD("/dispatcher/not-lost", set_up_probing, test_no_false_abandon);
    ADD("/dispatcher/overdue", set_up_probing, test_overdue);
    ADD("/dispatcher/moved-is-no-crash", set_up_probing,
        test_move_is_no_failure);
    ADD("/dispatcher/lost-upstream-once", set_up_probing,
        test_unreachable_at_most_once);
    ADD("/dispatcher/retry-of-crashing-request", set_up,
        test_retry_of_crashing_request);
    ADD("/dispatcher/probe-that-fails-at-once", set_up_probing,
        test_probe_that_fails_at_once);
    ADD("/dispatcher/queued-crashing-request", set_up_probing,
        test_queued_crashing_request);
    ADD("/dispatcher/limited-upstreams", set_up, test_limited_upstreams);
    ADD("/dispatcher/limit-of-relisted-upstream", set_up,
        test_limit_of_relisted_upstream);
    ADD("/dispatcher/limit-of-unknown-host", set_up,
        test_limit_of_unknown_host);
    ADD("/dispatcher/limit-ended-by-probe", set_up_probing,
        test_limit_ended_by_probe);
    ADD("/dispatcher/limit-unanswered-probes", set_up_probing,
        test_limit_unanswered_probes);
    ADD("/dispatcher/limit-named-after-probe", set_up_probing,
        test_limit_named_after_probe);
    ADD("/dispatcher/relay-deadline", set_up, test_relay_deadline);
    ADD("/dispatcher/paused-upstreams", set_up, test_paused_upstreams);
    ADD("/dispatcher/retry-with-pause", set_up, test_retry_with_pause);
    ADD("/dispatcher/notice-before-entry", set_up, test_notice_before_entry);
    ADD("/dispatcher/notice-between-entries", set_up,
        test_notice_between_entries);
    ADD("/dispatcher/notice-of-old-incarnation", set_up,
        test_notice_of_old_incarnation);
    ADD("/dispatcher/notice-after-entry", set_up, test_notice_after_entry);
    ADD("/dispatcher/notice-at-other-address", set_up,
        test_notice_at_other_address);
    ADD("/dispatcher/notice-with-fast-clock", set_up_probing,
        test_notice_with_fast_clock);
    ADD("/dispatcher/retries-while-paused", set_up, test_retries_while_paused);
    ADD("/dispatcher/queued-retries", set_up_probing, test_queued_retries);
    ADD("/dispatcher/caller-gone", set_up_probing, test_caller_disconnect);
    return g_test_run();
}
