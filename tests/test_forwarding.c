#include <glib.h>
#include <string.h>

#include "CrashGuard.h"
#include "DispatcherPrivate.h"
#include "GatewayFixture.h"

#define OBJECTIVE_US (300 * MICROS_PER_MS)
#define TIMEOUT_US (1000 * MICROS_PER_MS)
#define STOP_US (5700 * MICROS_PER_MS)
/* Less than TIMEOUT_US. */
#define SHORT_STOP_US (900 * MICROS_PER_MS)
#define SLOT_COUNT 8
#define UPSTREAM_COUNT 4
#define PROBES_MAX 64

typedef struct Fixture_ {
    Clock *clock;
    Random *random;
    Counters *counters;
    Dispatcher *dispatcher;
    DispatchAction action; /* last one that is not a probe */
    char peer[16];         /* of the last forward */
    char reason[32];       /* of the last response */
    uint32_t probes[PROBES_MAX];
    size_t probe_count;
    bool silent; /* probes time out instead of being refused */
    Job *watched;
    uint32_t granted; /* to the peer that got the watched job */
    uint64_t asked;   /* number of the last question to a grantor */
    size_t sends, forwards, responses, cancels, aborts;
} Fixture;

static void
create(Fixture *f, double retry_share, double retry_extra)
{
    static const char *const ids[UPSTREAM_COUNT] = {"t", "u", "v", "w"};
    PeerInfo peers[] = {{STR("p1"), STR("a")},
                        {STR("p2"), STR("a")},
                        {STR("p3"), STR("b")},
                        {STR("p4"), STR("b")}};
    DispatcherOptions options = {.host = STR("h"),
                                 .domain = STR("a"),
                                 .retry_window = 10 * MICROS_PER_S,
                                 .retry_share = retry_share,
                                 .retry_extra = retry_extra};
    CallerLimits limits = {0};
    RouteTable *table = RouteTable_Create(1, &limits);

    memset(f, 0, sizeof(*f));
    f->clock = Clock_CreateManual(MICROS_PER_S, 0);
    f->random = Random_Create(5);
    f->counters = Counters_Create(100);
    f->dispatcher = Dispatcher_Create(&options, f->clock, f->random, NULL,
                                      NULL, f->counters);
    RouteTable_AddService(table, GATEWAY_FIXTURE_SERVICE, STR("/load"));
    GatewayFixture_AddRoute(table, "/safe/", ROUTE_IDEMPOTENT, 2, OBJECTIVE_US,
                            TIMEOUT_US);
    GatewayFixture_AddRoute(table, "/once/", ROUTE_AT_MOST_ONCE, 1,
                            OBJECTIVE_US, TIMEOUT_US);
    Dispatcher_SetRoutes(f->dispatcher, table);
    RouteTable_Unref(table);
    for (int i = 0; i < UPSTREAM_COUNT; i++) {
        UpstreamEntry entry = GatewayFixture_Upstream(ids[i], 80, SLOT_COUNT);

        Dispatcher_PutUpstream(f->dispatcher, &entry);
    }
    Dispatcher_SetPeers(f->dispatcher, peers, G_N_ELEMENTS(peers));
}

static void
set_up(Fixture *f, gconstpointer data)
{
    create(f, 0, 2);
}

static void
set_up_without_retries(Fixture *f, gconstpointer data)
{
    create(f, 0, 0);
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
            g_assert_cmpuint(f->probe_count, <, PROBES_MAX);
            f->probes[f->probe_count++] = action.probe.upstream;
            continue;
        case DISPATCH_SEND:
            f->sends++;
            break;
        case DISPATCH_FORWARD:
            f->forwards++;
            if (action.job == f->watched) {
                f->granted = action.forward.attempts_max;
            }
            g_snprintf(f->peer, sizeof(f->peer), STR_FORMAT,
                       STR_ARGS(action.forward.peer));
            break;
        case DISPATCH_RESPOND:
            f->responses++;
            g_strlcpy(f->reason, action.respond.reason, sizeof(f->reason));
            break;
        case DISPATCH_CANCEL:
            f->cancels++;
            break;
        case DISPATCH_ASK:
            f->asked = action.ask.number;
            continue;
        case DISPATCH_GRANT:
            g_assert_not_reached();
        case DISPATCH_ABORT:
            f->aborts++;
            break;
        }
        f->action = action;
    }
}

static void
end_probes(Fixture *f, ProbeResult result)
{
    LoadReport report = {.slots = SLOT_COUNT, .slowdown_percent = 100};
    uint32_t probes[PROBES_MAX];
    size_t n = f->probe_count;

    memcpy(probes, f->probes, sizeof(probes));
    f->probe_count = 0;
    for (size_t i = 0; i < n; i++) {
        if (result == PROBE_REFUSED && f->silent) {
            Dispatcher_OnProbeTimeout(f->dispatcher, probes[i], false);
        }
        else {
            Dispatcher_OnProbeResult(f->dispatcher, probes[i], result,
                                     result == PROBE_ANSWERED ? &report
                                                              : NULL);
        }
        take_actions(f);
    }
}

/* Ends all probes; those of one upstream time out, the others are answered. */
static void
end_probes_except(Fixture *f, uint32_t silent)
{
    LoadReport report = {.slots = SLOT_COUNT, .slowdown_percent = 100};
    uint32_t probes[PROBES_MAX];
    size_t n = f->probe_count;

    memcpy(probes, f->probes, sizeof(probes));
    f->probe_count = 0;
    for (size_t i = 0; i < n; i++) {
        if (probes[i] == silent) {
            Dispatcher_OnProbeTimeout(f->dispatcher, silent, false);
        }
        else {
            Dispatcher_OnProbeResult(f->dispatcher, probes[i], PROBE_ANSWERED,
                                     &report);
        }
        take_actions(f);
    }
}

static void
advance_time(Fixture *f, Micros time)
{
    Clock_Advance(f->clock, time);
    Dispatcher_OnTime(f->dispatcher);
    take_actions(f);
}

static Job *
submit_info(Fixture *f, const char *path, uint32_t attempts_max,
            bool forwarded)
{
    JobInfo info = {.id = STR("r"),
                    .method = STR("GET"),
                    .host = GATEWAY_FIXTURE_HOST,
                    .path = Str_FromC(path),
                    .attempts_max = attempts_max,
                    .forwarded = forwarded};
    Job *job = Dispatcher_Submit(f->dispatcher, &info, NULL);

    take_actions(f);
    return job;
}

static Job *
submit(Fixture *f, const char *path)
{
    return submit_info(f, path, 0, false);
}

/* Submits a request and has it sent to an upstream. */
static Job *
send_request(Fixture *f, const char *path, uint32_t attempts_max,
             bool forwarded)
{
    Job *job = submit_info(f, path, attempts_max, forwarded);
    size_t sends = f->sends;

    end_probes(f, PROBE_ANSWERED);
    if (f->sends == sends) {
        advance_time(f, 10 * MICROS_PER_MS);
    }
    g_assert_cmpint(f->action.kind, ==, DISPATCH_SEND);
    advance_time(f, MICROS_PER_MS);
    return job;
}

static JobVerdict
end_attempt(Fixture *f, Job *job, AttemptResult result)
{
    AttemptEndInfo end = {.result = result, .status = 200};
    JobVerdict verdict = GatewayFixture_EndAttempt(f->dispatcher, job, &end);

    take_actions(f);
    return verdict;
}

static JobVerdict
end_forward(Fixture *f, Job *job, ForwardResult result, ForwardRefusal refusal)
{
    ForwardEndInfo end = {.result = result, .status = 200, .refusal = refusal};
    JobVerdict verdict = GatewayFixture_EndForward(f->dispatcher, job, &end);

    take_actions(f);
    return verdict;
}

/* Has a request fail to connect, and all probes, until the cut is noticed. */
static void
cut_off(Fixture *f)
{
    JobInfo info = {.id = STR("r"),
                    .method = STR("GET"),
                    .host = GATEWAY_FIXTURE_HOST,
                    .path = STR("/once/first"),
                    .timeout = TIMEOUT_US};
    Job *job = Dispatcher_Submit(f->dispatcher, &info, NULL);

    take_actions(f);
    for (int i = 0; !Dispatcher_IsCutOff(f->dispatcher); i++) {
        g_assert_cmpint(i, <, 50);
        if (f->action.kind == DISPATCH_SEND && f->action.job == job) {
            f->action.kind = DISPATCH_PROBE;
            end_attempt(f, job, ATTEMPT_RESULT_UNSENT);
        }
        end_probes(f, PROBE_REFUSED);
        advance_time(f, 10 * MICROS_PER_MS);
    }
    Dispatcher_OnCallerDisconnect(f->dispatcher, job);
    take_actions(f);
}

/* Puts routes in force of which "/safe/" needs the key of a customer with a
 * limit, which another host hands out. */
static void
limit_customer(Fixture *f)
{
    static const RoutePart parts[] = {{{"desk", 4}, 1}};
    Route open = {.name = STR("open"),
                  .host = GATEWAY_FIXTURE_HOST,
                  .prefix = STR("/once/"),
                  .kind = ROUTE_AT_MOST_ONCE,
                  .timeout = TIMEOUT_US,
                  .objective = OBJECTIVE_US,
                  .attempts_max = 2,
                  .parts = parts,
                  .part_count = 1,
                  .is_public = true};
    Customer customer = {.name = STR("amina"), .rate_per_s = 1, .burst = 1};
    CustomerTable *customers = CustomerTable_Create();
    CallerLimits limits = {0};
    RouteTable *table = RouteTable_Create(2, &limits);
    AllowanceHost grantor = {STR("p1"), 10};

    CustomerTable_Add(customers, &customer, NULL);
    CustomerTable_AddKey(customers, customer.name, STR("k"), NULL);
    RouteTable_SetCustomers(table, customers);
    RouteTable_AddService(table, GATEWAY_FIXTURE_SERVICE, STR("/load"));
    RouteTable_Add(table, &open, NULL);
    GatewayFixture_AddRoute(table, "/safe/", ROUTE_IDEMPOTENT, 2, OBJECTIVE_US,
                            TIMEOUT_US);
    g_assert_cmpint(Dispatcher_SetRoutes(f->dispatcher, table), ==, 0);
    RouteTable_Unref(table);
    Dispatcher_SetGrantors(f->dispatcher, &grantor, 1);
}

/* Guards against a request that is forwarded because its host is cut off, and
 * again when the answer on its allowance arrives. */
static void
test_awaited_allowance(Fixture *f, gconstpointer data)
{
    AllowanceGrant grant = {.granted = 1};
    JobInfo info = {.id = STR("r"),
                    .method = STR("GET"),
                    .host = GATEWAY_FIXTURE_HOST,
                    .path = STR("/safe/x"),
                    .key = STR("k")};

    limit_customer(f);
    Dispatcher_Submit(f->dispatcher, &info, NULL);
    take_actions(f);
    g_assert_cmpuint(f->asked, >, 0);
    cut_off(f);
    g_assert_cmpuint(f->forwards, <=, 1); /* the request of cut_off() */
    f->forwards = f->sends = 0;
    Dispatcher_OnAllowance(f->dispatcher, f->asked, &grant);
    take_actions(f);
    g_assert_cmpuint(f->forwards, ==, 1);
    g_assert_cmpuint(f->sends, ==, 0);
    g_assert_true(Str_Equal(f->action.forward.caller.customer, STR("amina")));
}

static Job *
submit_keyed(Fixture *f)
{
    JobInfo info = {.id = STR("r"),
                    .method = STR("GET"),
                    .host = GATEWAY_FIXTURE_HOST,
                    .path = STR("/safe/x"),
                    .key = STR("k")};
    Job *job = Dispatcher_Submit(f->dispatcher, &info, NULL);

    take_actions(f);
    return job;
}

/* Guards against a request of a customer that an upstream has and that does not
 * count, as its caller has gone. */
static void
test_allowance_of_gone_caller(Fixture *f, gconstpointer data)
{
    AllowanceGrant grant = {.granted = 1};
    Job *job;

    limit_customer(f);
    job = submit_keyed(f);
    Dispatcher_OnAllowance(f->dispatcher, f->asked, &grant);
    take_actions(f);
    end_probes(f, PROBE_ANSWERED);
    g_assert_cmpuint(f->sends, ==, 1);
    Dispatcher_OnCallerDisconnect(f->dispatcher, job);
    take_actions(f);
    f->asked = 0;
    submit_keyed(f);
    end_probes(f, PROBE_ANSWERED);
    g_assert_cmpuint(f->sends, ==, 1);
    g_assert_cmpuint(f->asked, >, 0);
}

/* Guards against the same for a request that a peer has served. */
static void
test_allowance_of_forwarded(Fixture *f, gconstpointer data)
{
    AllowanceGrant grant = {.granted = 1};
    Job *job;

    limit_customer(f);
    cut_off(f);
    job = submit_keyed(f);
    f->forwards = 0;
    Dispatcher_OnAllowance(f->dispatcher, f->asked, &grant);
    take_actions(f);
    g_assert_cmpuint(f->forwards, ==, 1);
    g_assert_cmpint(end_forward(f, job, FORWARD_RESPONSE, 0), ==, JOB_RELAY);
    f->asked = 0;
    submit_keyed(f);
    g_assert_cmpuint(f->forwards, ==, 1);
    g_assert_cmpuint(f->asked, >, 0);
}

/* Guards against a 503 of a host without a path, and against a retry limit that
 * prevents the first send. */
static void
test_first_send(Fixture *f, gconstpointer data)
{
    Job *job;

    cut_off(f);
    f->sends = 0;
    job = submit(f, "/once/1");
    g_assert_cmpint(f->action.kind, ==, DISPATCH_FORWARD);
    g_assert_cmpuint(f->action.forward.attempts_max, ==, 2);
    g_assert_cmpint(f->action.forward.timeout, ==, TIMEOUT_US);
    g_assert_false(f->action.forward.idempotent);
    g_assert_cmpuint(f->sends, ==, 0);
    g_assert_cmpint(end_forward(f, job, FORWARD_RESPONSE, 0), ==, JOB_RELAY);
}

/* Guards against more upstreams than the route allows, over both hops. */
static void
test_attempts_are_summed(Fixture *f, gconstpointer data)
{
    Job *job = send_request(f, "/safe/1", 0, false);

    f->watched = job;
    cut_off(f);
    g_assert_cmpuint(f->granted, ==, 0);
    end_attempt(f, job, ATTEMPT_RESULT_BROKEN);
    g_assert_cmpuint(f->granted, ==, 1);
    end_forward(f, job, FORWARD_BROKEN, 0);
    g_assert_cmpint(f->action.respond.status, ==, 502);
}

/* Guards against a failure of one peer, such as one that has restarted, that
 * ends a request which another one may run. */
static void
test_peer_fails(Fixture *f, gconstpointer data)
{
    ForwardResult result = (ForwardResult)GPOINTER_TO_INT(data);
    char first[16];
    Job *job;

    cut_off(f);
    f->forwards = 0;
    job = submit(f, "/safe/1");
    g_assert_cmpuint(f->action.forward.attempts_max, ==, 1);
    g_strlcpy(first, f->peer, sizeof(first));
    end_forward(f, job, result, 0);
    g_assert_cmpuint(f->forwards, ==, 2);
    g_assert_cmpstr(f->peer, !=, first);
    g_assert_cmpuint(f->action.forward.attempts_max, ==, 1);
    end_forward(f, job, result, 0);
    g_assert_cmpuint(f->forwards, ==, 2);
    g_assert_cmpint(f->action.respond.status, ==, 502);
    g_assert_false(f->action.respond.not_run);
}

/* Guards against forwards beyond the retry limit. */
static void
test_no_retry_left(Fixture *f, gconstpointer data)
{
    Job *job = send_request(f, "/safe/1", 0, false);

    cut_off(f);
    g_assert_cmpint(end_attempt(f, job, ATTEMPT_RESULT_RESPONSE), ==,
                    JOB_RELAY);
    job = submit(f, "/safe/2");
    f->forwards = 0;
    end_forward(f, job, FORWARD_NOT_RUN, FORWARD_REFUSAL_OTHER);
    g_assert_cmpuint(f->forwards, ==, 0);
    g_assert_cmpint(f->action.respond.status, ==, 503);
    g_assert_true(f->action.respond.not_run);
}

/* Guards against a request that is lost to the first host with older routes. */
static void
test_peer_with_older_routes(Fixture *f, gconstpointer data)
{
    Job *job;

    cut_off(f);
    job = submit(f, "/once/1");
    g_assert_cmpint(f->action.kind, ==, DISPATCH_FORWARD);
    g_assert_cmpuint(f->action.forward.version, ==, 1);
    f->forwards = 0;
    end_forward(f, job, FORWARD_NOT_RUN, FORWARD_REFUSAL_OLDER);
    g_assert_cmpuint(f->forwards, ==, 1);
    end_forward(f, job, FORWARD_RESPONSE, FORWARD_REFUSAL_NONE);
}

/* Guards against a second run of a request that is not idempotent. */
static void
test_may_have_run(Fixture *f, gconstpointer data)
{
    Job *sent = send_request(f, "/once/1", 0, false), *job;

    cut_off(f);
    job = submit(f, "/once/2");
    f->forwards = 0;
    end_forward(f, job, FORWARD_BROKEN, 0);
    g_assert_cmpint(f->action.respond.status, ==, 502);
    g_assert_false(f->action.respond.not_run);
    end_attempt(f, sent, ATTEMPT_RESULT_BROKEN);
    g_assert_cmpint(f->action.respond.status, ==, 502);
    g_assert_cmpuint(f->forwards, ==, 0);
}

/* Guards against a peer's statement on one forward that is taken for the one on
 * another. */
static void
test_statement_on_other_forward(Fixture *f, gconstpointer data)
{
    ForwardEndInfo end = {.result = (ForwardResult)GPOINTER_TO_INT(data),
                          .status = 503,
                          .refusal = FORWARD_REFUSAL_CUT_OFF};
    Job *job;

    cut_off(f);
    job = submit(f, "/once/1");
    f->forwards = 0;
    end.attempt = f->action.forward.attempt;
    Dispatcher_OnForwardEnd(f->dispatcher, job, &end);
    take_actions(f);
    g_assert_cmpuint(f->forwards, ==, 1);
    Dispatcher_OnForwardEnd(f->dispatcher, job, &end);
    take_actions(f);
    g_assert_cmpuint(f->forwards, ==, 1);
    g_assert_cmpint(f->action.respond.status, ==, 502);
    g_assert_false(f->action.respond.not_run);
}

/* Guards against a promise that a request was not executed while a peer has
 * it. */
static void
test_refusal_with_open_forward(Fixture *f, gconstpointer data)
{
    Job *job;

    cut_off(f);
    job = submit(f, "/once/1");
    f->cancels = 0;
    Job_Reject(job, 503, "overloaded", MICROS_PER_S);
    take_actions(f);
    g_assert_cmpuint(f->cancels, ==, 1);
    g_assert_cmpint(f->action.kind, ==, DISPATCH_RESPOND);
    g_assert_cmpint(f->action.respond.status, ==, 502);
    g_assert_false(f->action.respond.not_run);
}

/* Guards against a long response over a peer that no deadline ends. */
static void
test_relay_deadline(Fixture *f, gconstpointer data)
{
    ForwardEndInfo end = {
        .result = FORWARD_RESPONSE, .status = 200, .more_follows = true};
    Job *job;

    cut_off(f);
    job = submit(f, "/once/1");
    g_assert_cmpint(GatewayFixture_EndForward(f->dispatcher, job, &end), ==,
                    JOB_RELAY);
    f->aborts = 0;
    advance_time(f, TIMEOUT_US);
    g_assert_cmpuint(f->aborts, ==, 1);
    Dispatcher_OnRelayEnd(f->dispatcher, job, RELAY_TIMEOUT);
    g_assert_cmpuint(Dispatcher_OpenJobs(f->dispatcher), ==, 0);
}

/* Guards against a second response to a caller that has got the beginning of
 * one when the path is lost. */
static void
test_cut_during_relay(Fixture *f, gconstpointer data)
{
    AttemptEndInfo end = {.result = ATTEMPT_RESULT_RESPONSE,
                          .status = 500,
                          .more_follows = true};
    Job *job = send_request(f, "/once/1", 0, false);

    g_assert_cmpint(GatewayFixture_EndAttempt(f->dispatcher, job, &end), ==,
                    JOB_RELAY);
    take_actions(f);
    f->watched = job;
    f->granted = 0;
    cut_off(f);
    g_assert_cmpuint(f->granted, ==, 0);
    Dispatcher_OnRelayEnd(f->dispatcher, job, RELAY_COMPLETE);
}

/* Guards against a request that goes from peer to peer. */
static void
test_three_peers(Fixture *f, gconstpointer data)
{
    char peers[3][16];
    Job *job;

    cut_off(f);
    f->forwards = 0;
    job = submit(f, "/once/1");
    for (int i = 0; i < 3; i++) {
        g_assert_cmpuint(f->forwards, ==, i + 1);
        g_strlcpy(peers[i], f->peer, sizeof(peers[i]));
        end_forward(f, job, i == 1 ? FORWARD_UNSENT : FORWARD_NOT_RUN,
                    FORWARD_REFUSAL_CUT_OFF);
    }
    g_assert_cmpstr(peers[0], !=, peers[1]);
    g_assert_cmpstr(peers[1], !=, peers[2]);
    g_assert_cmpstr(peers[0], !=, peers[2]);
    g_assert_cmpuint(f->forwards, ==, 3);
    g_assert_cmpint(f->action.respond.status, ==, 503);
    g_assert_true(f->action.respond.not_run);
    g_assert_cmpint(f->action.respond.retry_after, >, 0);
}

/* Guards against loops, and against a refusal that the other host can't tell
 * from that of an upstream. */
static void
test_forwarded_to_cut_host(Fixture *f, gconstpointer data)
{
    cut_off(f);
    f->forwards = 0;
    g_assert_null(submit_info(f, "/safe/1", 2, true));
    g_assert_cmpint(f->action.respond.status, ==, 503);
    g_assert_cmpstr(f->reason, ==, "cut-off");
    g_assert_true(f->action.respond.not_run);
    g_assert_cmpuint(f->forwards, ==, 0);
}

/* Guards against a peer that uses attempts it was not granted. */
static void
test_granted_attempts(Fixture *f, gconstpointer data)
{
    Job *job = send_request(f, "/safe/1", 1, true);

    end_attempt(f, job, ATTEMPT_RESULT_BROKEN);
    g_assert_cmpuint(f->sends, ==, 1);
    g_assert_cmpint(f->action.respond.status, ==, 502);
    g_assert_false(f->action.respond.not_run);
}

/* Guards against requests that raise the retry limit of two hosts. */
static void
test_forwarded_adds_no_retries(Fixture *f, gconstpointer data)
{
    Job *job;

    tear_down(f, NULL);
    create(f, 1, 0);
    for (int i = 0; i < 5; i++) {
        job = send_request(f, "/safe/1", 2, true);
        end_attempt(f, job, ATTEMPT_RESULT_RESPONSE);
    }
    job = send_request(f, "/safe/2", 2, true);
    f->sends = 0;
    end_attempt(f, job, ATTEMPT_RESULT_BROKEN);
    end_probes(f, PROBE_ANSWERED);
    g_assert_cmpuint(f->sends, ==, 0);
    g_assert_cmpint(f->action.respond.status, ==, 502);
}

static void
test_deadline(Fixture *f, gconstpointer data)
{
    cut_off(f);
    f->cancels = 0;
    submit(f, "/safe/1");
    end_probes(f, PROBE_REFUSED);
    advance_time(f, TIMEOUT_US);
    g_assert_cmpuint(f->cancels, ==, 1);
    g_assert_cmpint(f->action.respond.status, ==, 504);
    g_assert_false(f->action.respond.not_run);
}

static void
restore(Fixture *f)
{
    for (int i = 0; Dispatcher_IsCutOff(f->dispatcher); i++) {
        g_assert_cmpint(i, <, 50);
        end_probes(f, PROBE_ANSWERED);
        advance_time(f, 10 * MICROS_PER_MS);
    }
}

/* Guards against a request that is refused although the path is back, and
 * against upstreams that stay ejected after the cut. */
static void
test_path_is_back(Fixture *f, gconstpointer data)
{
    Job *job;

    cut_off(f);
    job = submit(f, "/safe/1");
    restore(f);
    f->sends = 0;
    end_forward(f, job, FORWARD_NOT_RUN, FORWARD_REFUSAL_CUT_OFF);
    end_probes(f, PROBE_ANSWERED);
    advance_time(f, 10 * MICROS_PER_MS);
    g_assert_cmpuint(f->sends, ==, 1);
    end_attempt(f, job, ATTEMPT_RESULT_RESPONSE);
    g_assert_cmpint(Dispatcher_OpenJobs(f->dispatcher), ==, 0);
}

static bool
has_counted(Fixture *f, const char *label)
{
    GString *text = g_string_new(NULL);
    bool found;

    Counters_Write(f->counters, text);
    found = strstr(text->str, label) != NULL;
    g_string_free(text, TRUE);
    return found;
}

/* Guards against upstreams that are ejected because of attempts that were lost
 * in the cut: those abandoned in it and those that end after it. */
static void
test_no_ejections(Fixture *f, gconstpointer data)
{
    Job *jobs[10];

    f->silent = data != NULL;
    Dispatcher_RemoveUpstream(f->dispatcher, STR("v"));
    Dispatcher_RemoveUpstream(f->dispatcher, STR("w"));
    for (size_t i = 0; i < G_N_ELEMENTS(jobs); i++) {
        jobs[i] = send_request(f, "/once/1", 0, false);
    }
    cut_off(f);
    restore(f);
    for (size_t i = 0; i < G_N_ELEMENTS(jobs); i++) {
        end_attempt(f, jobs[i], ATTEMPT_RESULT_BROKEN);
        end_probes(f, PROBE_ANSWERED);
    }
    send_request(f, "/safe/1", 0, false);
    g_assert_true(has_counted(f, "placements_total{reason=\"shortest\"}"));
    g_assert_false(has_counted(f, "most-look-bad"));
}

/* Guards against a loss that is decided on late because each failed probe of
 * the same upstream puts the path in doubt again. */
static void
test_probes_of_failed(Fixture *f, gconstpointer data)
{
    Job *job = send_request(f, "/once/1", 0, false);
    uint32_t upstream = (uint32_t)(*f->action.send.instance.data - 't');

    end_attempt(f, job, ATTEMPT_RESULT_BROKEN);
    for (int i = 0; !has_counted(f, "request_losses_total"); i++) {
        g_assert_cmpint(i, <, 100);
        end_probes_except(f, upstream);
        advance_time(f, 10 * MICROS_PER_MS);
    }
    g_assert_false(has_counted(f, "state=\"suspected\""));
}

/* Guards against attempts that are spent while the path is being probed, and
 * against requests that wait for long if it is there. */
static void
test_held(Fixture *f, gconstpointer data)
{
    Job *job = send_request(f, "/safe/1", 0, false);

    f->sends = 0;
    end_attempt(f, job, ATTEMPT_RESULT_UNSENT);
    g_assert_cmpuint(f->sends + f->responses, ==, 0);
    end_probes(f, PROBE_ANSWERED);
    if (f->sends == 0) {
        end_probes(f, PROBE_ANSWERED);
        advance_time(f, 10 * MICROS_PER_MS);
    }
    g_assert_cmpuint(f->sends, ==, 1);
    /* Within a tenth of a second there is no second suspicion. */
    end_attempt(f, job, ATTEMPT_RESULT_UNSENT);
    g_assert_cmpuint(f->responses, ==, 1);
}

static void
test_held_for_long(Fixture *f, gconstpointer data)
{
    Job *job = send_request(f, "/safe/1", 0, false);

    f->sends = 0;
    end_attempt(f, job, ATTEMPT_RESULT_UNSENT);
    advance_time(f, 149 * MICROS_PER_MS);
    g_assert_cmpuint(f->sends + f->responses, ==, 0);
    advance_time(f, MICROS_PER_MS);
    advance_time(f, 10 * MICROS_PER_MS);
    g_assert_cmpuint(f->sends, ==, 1);
    Dispatcher_OnCallerDisconnect(f->dispatcher, job);
}

/* Guards against peers that take all of a host. */
static void
test_forward_limit(Fixture *f, gconstpointer data)
{
    unsigned accepted = 0;

    for (int i = 0; i < 600 && f->responses == 0; i++) {
        accepted += submit_info(f, "/safe/1", 2, true) != NULL;
        f->probe_count = 0;
        Clock_Advance(f->clock, MICROS_PER_MS / 4);
    }
    g_assert_cmpuint(accepted, >, 16);
    g_assert_cmpuint(accepted, <=, 256);
    g_assert_cmpstr(f->reason, ==, "forward-limit");
    g_assert_true(f->action.respond.not_run);
    /* Own callers are served. */
    g_assert_nonnull(submit(f, "/safe/1"));
}

/* Advances the time in small steps, while all upstreams are idle and respond to
 * probes. */
static void
pass_time(Fixture *f, Micros time)
{
    for (Micros t = 0; t < time; t += 10 * MICROS_PER_MS) {
        advance_time(f, 10 * MICROS_PER_MS);
        end_probes(f, PROBE_ANSWERED);
    }
}

/* Guards against a helping host that gives up an attempt whose upstream works:
 * the first host may be stopping. */
static void
test_helper_keeps_overdue_attempt(Fixture *f, gconstpointer data)
{
    Job *job = send_request(f, "/safe/1", 2, true);

    f->sends = 0;
    pass_time(f, TIMEOUT_US - 100 * MICROS_PER_MS);
    g_assert_cmpuint(f->cancels + f->sends + f->responses, ==, 0);
    g_assert_cmpint(end_attempt(f, job, ATTEMPT_RESULT_RESPONSE), ==,
                    JOB_RELAY);
}

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

/* Guards against an attempt that is given up although no other may follow. */
static void
test_quarantined_is_not_moved(Fixture *f, gconstpointer data)
{
    Job *job = send_request(f, "/safe/1", 2, false);

    report_crashing_request(f, "/safe/1");
    f->sends = 0;
    pass_time(f, TIMEOUT_US - 100 * MICROS_PER_MS);
    g_assert_cmpuint(f->cancels + f->sends + f->responses, ==, 0);
    g_assert_cmpint(end_attempt(f, job, ATTEMPT_RESULT_RESPONSE), ==,
                    JOB_RELAY);
}

/* Guards against an attempt that is given up for a peer, which may refuse the
 * request, when the host takes itself for cut off. */
static void
test_attempt_survives_cut(Fixture *f, gconstpointer data)
{
    Job *job = send_request(f, "/safe/1", 0, false);

    f->watched = job;
    f->granted = 0;
    cut_off(f);
    for (Micros t = 0; t < OBJECTIVE_US; t += 10 * MICROS_PER_MS) {
        advance_time(f, 10 * MICROS_PER_MS);
        end_probes(f, PROBE_REFUSED);
    }
    g_assert_cmpuint(f->cancels + f->responses + f->granted, ==, 0);
    g_assert_cmpint(end_attempt(f, job, ATTEMPT_RESULT_RESPONSE), ==,
                    JOB_RELAY);
}

/* Guards against the same for a request that no peer may get either. */
static void
test_quarantined_is_not_redirected(Fixture *f, gconstpointer data)
{
    Job *job = send_request(f, "/safe/1", 2, false);

    report_crashing_request(f, "/safe/1");
    cut_off(f);
    g_assert_cmpuint(f->cancels + f->responses, ==, 0);
    g_assert_cmpint(end_attempt(f, job, ATTEMPT_RESULT_RESPONSE), ==,
                    JOB_RELAY);
}

/* Guards against a helping host that takes a request and ends before it is
 * answered. */
static void
test_stopping_helper_refuses(Fixture *f, gconstpointer data)
{
    Job *open = send_request(f, "/safe/1", 2, true);

    Dispatcher_Stop(f->dispatcher, Clock_Now(f->clock) + STOP_US);
    g_assert_null(submit_info(f, "/safe/2", 2, true));
    g_assert_cmpint(f->action.respond.status, ==, 503);
    g_assert_cmpstr(f->reason, ==, "stopping");
    g_assert_true(f->action.respond.not_run);
    g_assert_nonnull(submit(f, "/safe/3"));
    g_assert_cmpint(end_attempt(f, open, ATTEMPT_RESULT_RESPONSE), ==,
                    JOB_RELAY);
}

static void
stop_soon(Fixture *f)
{
    Dispatcher_Stop(f->dispatcher, Clock_Now(f->clock) + SHORT_STOP_US);
    take_actions(f);
}

static void
assert_refused_stopping(const Fixture *f)
{
    g_assert_cmpint(f->action.kind, ==, DISPATCH_RESPOND);
    g_assert_cmpint(f->action.respond.status, ==, 503);
    g_assert_cmpstr(f->reason, ==, "stopping");
    g_assert_true(f->action.respond.not_run);
    g_assert_cmpint(f->action.respond.retry_after, >, 0);
    g_assert_cmpint(f->action.respond.retry_after, <, 100 * MICROS_PER_MS);
}

/* Guards against a host that takes a request and ends before its deadline. */
static void
test_late_request(Fixture *f, gconstpointer data)
{
    static const char *const paths[] = {"/once/1", "/safe/1"};

    stop_soon(f);
    for (size_t i = 0; i < G_N_ELEMENTS(paths); i++) {
        g_assert_null(submit(f, paths[i]));
        assert_refused_stopping(f);
    }
    g_assert_cmpuint(f->probe_count + f->sends, ==, 0);
}

/* Guards against a stop that ends a request which an upstream processes, or
 * refuses one whose deadline is before the end. */
static void
test_stop_keeps_requests(Fixture *f, gconstpointer data)
{
    Job *open = send_request(f, "/once/1", 0, false), *job;

    Dispatcher_Stop(f->dispatcher,
                    Clock_Now(f->clock) + TIMEOUT_US + 100 * MICROS_PER_MS);
    take_actions(f);
    job = send_request(f, "/once/2", 0, false);
    g_assert_nonnull(job);
    advance_time(f, TIMEOUT_US / 2);
    g_assert_cmpuint(f->cancels + f->responses, ==, 0);
    g_assert_cmpint(end_attempt(f, open, ATTEMPT_RESULT_RESPONSE), ==,
                    JOB_RELAY);
    g_assert_cmpint(end_attempt(f, job, ATTEMPT_RESULT_RESPONSE), ==,
                    JOB_RELAY);
}

/* Guards against sending a request that waits for probe replies when the stop
 * begins. */
static void
test_stop_while_probing(Fixture *f, gconstpointer data)
{
    g_assert_nonnull(submit(f, "/once/1"));
    g_assert_cmpuint(f->probe_count, >, 0);
    stop_soon(f);
    assert_refused_stopping(f);
    end_probes(f, PROBE_ANSWERED);
    g_assert_cmpuint(f->sends, ==, 0);
    g_assert_cmpuint(f->responses, ==, 1);
}

/* Guards against a refusal that promises that a request was not executed after a
 * retry that no longer fits. */
static void
test_stop_before_retry(Fixture *f, gconstpointer data)
{
    Job *broken = send_request(f, "/safe/1", 0, false);
    Job *unsent = send_request(f, "/once/1", 0, false);
    Job *full = send_request(f, "/once/2", 0, false);

    stop_soon(f);
    f->sends = 0;
    end_attempt(f, broken, ATTEMPT_RESULT_BROKEN);
    g_assert_cmpint(f->action.respond.status, ==, 502);
    g_assert_false(f->action.respond.not_run);
    end_attempt(f, unsent, ATTEMPT_RESULT_UNSENT);
    if (f->responses == 1) {
        advance_time(f, 500 * MICROS_PER_MS);
    }
    g_assert_cmpint(f->action.respond.status, ==, 503);
    g_assert_true(f->action.respond.not_run);
    end_attempt(f, full, ATTEMPT_RESULT_NOT_RUN);
    g_assert_cmpint(f->action.respond.status, ==, 503);
    g_assert_cmpstr(f->reason, ==, "stopping-retry");
    g_assert_cmpuint(f->sends, ==, 0);
}

/* Guards against replacing the failure of an upstream by one of the host. */
static void
test_stop_relays_failure(Fixture *f, gconstpointer data)
{
    Job *job = send_request(f, "/safe/1", 0, false);
    AttemptEndInfo end = {.result = ATTEMPT_RESULT_RESPONSE, .status = 500};

    stop_soon(f);
    g_assert_cmpint(Dispatcher_OnAttemptEnd(f->dispatcher, job, &end), ==,
                    JOB_RELAY);
    take_actions(f);
    g_assert_cmpuint(f->responses, ==, 0);
}

/* Guards against refusing idempotent requests that are known to be short, and
 * against taking them in the last half of the stop. */
static void
test_stop_takes_short(Fixture *f, gconstpointer data)
{
    for (int i = 0; i < 8; i++) {
        Job *job = send_request(f, "/safe/1", 0, false);

        end_attempt(f, job, ATTEMPT_RESULT_RESPONSE);
    }
    stop_soon(f);
    g_assert_nonnull(send_request(f, "/safe/2", 0, false));
    g_assert_null(submit(f, "/once/1"));
    assert_refused_stopping(f);
    advance_time(f, SHORT_STOP_US / 2);
    g_assert_null(submit(f, "/safe/3"));
    assert_refused_stopping(f);
}

/* Guards against forwarding a request that may be open when the host ends. */
static void
test_stop_before_forward(Fixture *f, gconstpointer data)
{
    cut_off(f);
    f->forwards = 0;
    stop_soon(f);
    g_assert_null(submit(f, "/once/1"));
    assert_refused_stopping(f);
    g_assert_cmpuint(f->forwards, ==, 0);
}

/* Guards against requests that get no response when the host ends, and a promise
 * that one was not executed that may have been. */
static void
test_open_when_host_ends(Fixture *f, gconstpointer data)
{
    bool forwarded = GPOINTER_TO_INT(data) != 0;

    send_request(f, "/once/1", 1, forwarded);
    Dispatcher_Stop(f->dispatcher, Clock_Now(f->clock) + STOP_US);
    advance_time(f, OBJECTIVE_US / 2);
    submit_info(f, "/once/2", 0, false);
    g_assert_cmpuint(f->sends, ==, 1);
    f->responses = 0;
    Dispatcher_Interrupt(f->dispatcher);
    while (Dispatcher_NextAction(f->dispatcher, &f->action)) {
        if (f->action.kind == DISPATCH_RESPOND) {
            bool first = f->responses++ == 0;

            g_assert_cmpint(f->action.respond.status, ==, first ? 502 : 503);
            g_assert_true(f->action.respond.not_run == !first);
        }
    }
    g_assert_cmpuint(f->responses, ==, 2);
    g_assert_cmpuint(Dispatcher_OpenJobs(f->dispatcher), ==, 0);
}

/* Guards against a forward that is open when its first host ends and gets no
 * response. */
static void
test_forward_open_when_host_ends(Fixture *f, gconstpointer data)
{
    cut_off(f);
    submit(f, "/once/1");
    g_assert_cmpint(f->action.kind, ==, DISPATCH_FORWARD);
    Dispatcher_Stop(f->dispatcher, Clock_Now(f->clock) + STOP_US);
    f->cancels = 0;
    Dispatcher_Interrupt(f->dispatcher);
    take_actions(f);
    g_assert_cmpuint(f->cancels, ==, 1);
    g_assert_cmpint(f->action.respond.status, ==, 502);
    g_assert_false(f->action.respond.not_run);
}

/* Guards against a helping host that ends a request before the deadline that
 * the first host keeps. */
static void
test_deadline_of_helper(Fixture *f, gconstpointer data)
{
    Micros left = TIMEOUT_US / 2;
    JobInfo info = {.id = STR("r"),
                    .method = STR("GET"),
                    .host = GATEWAY_FIXTURE_HOST,
                    .path = STR("/once/1"),
                    .timeout = left,
                    .attempts_max = 1,
                    .forwarded = true};

    Dispatcher_Submit(f->dispatcher, &info, NULL);
    take_actions(f);
    end_probes(f, PROBE_ANSWERED);
    g_assert_cmpint(f->action.kind, ==, DISPATCH_SEND);
    g_assert_cmpint(f->action.send.timeout, ==, left);
    advance_time(f, left - MICROS_PER_MS);
    g_assert_cmpuint(f->cancels + f->responses, ==, 0);
    advance_time(f, MICROS_PER_MS);
    g_assert_cmpint(f->action.respond.status, ==, 504);
}

/* Guards against leaks of forwards that are open at the end. */
static void
test_open_at_end(Fixture *f, gconstpointer data)
{
    cut_off(f);
    submit(f, "/safe/1");
    g_assert_cmpint(f->action.kind, ==, DISPATCH_FORWARD);
    Dispatcher_SetPeers(f->dispatcher, NULL, 0);
    Dispatcher_Stop(f->dispatcher, Clock_Now(f->clock) + STOP_US);
}

#define ADD(path, set_up, test)                                               \
    g_test_add("/forwarding/" path, Fixture, NULL, set_up, test, tear_down)

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    ADD("awaited-allowance", set_up, test_awaited_allowance);
    ADD("first-send", set_up_without_retries, test_first_send);
    ADD("attempts-are-summed", set_up, test_attempts_are_summed);
    g_test_add("/forwarding/peer-breaks", Fixture,
               GINT_TO_POINTER(FORWARD_BROKEN), set_up, test_peer_fails,
               tear_down);
    g_test_add("/forwarding/peer-fails", Fixture,
               GINT_TO_POINTER(FORWARD_FAILED), set_up, test_peer_fails,
               tear_down);
    ADD("no-retry-left", set_up_without_retries, test_no_retry_left);
    ADD("peer-with-older-routes", set_up_without_retries,
        test_peer_with_older_routes);
    ADD("may-have-run", set_up, test_may_have_run);
    g_test_add("/forwarding/statement-on-other-forward/not-run", Fixture,
               GINT_TO_POINTER(FORWARD_NOT_RUN), set_up,
               test_statement_on_other_forward, tear_down);
    g_test_add("/forwarding/statement-on-other-forward/unsent", Fixture,
               GINT_TO_POINTER(FORWARD_UNSENT), set_up,
               test_statement_on_other_forward, tear_down);
    ADD("refusal-with-open-forward", set_up, test_refusal_with_open_forward);
    ADD("allowance-of-gone-caller", set_up, test_allowance_of_gone_caller);
    ADD("allowance-of-forwarded", set_up, test_allowance_of_forwarded);
    ADD("relay-deadline", set_up, test_relay_deadline);
    ADD("cut-during-relay", set_up, test_cut_during_relay);
    ADD("three-peers", set_up, test_three_peers);
    ADD("forwarded-to-cut-host", set_up, test_forwarded_to_cut_host);
    ADD("granted-attempts", set_up, test_granted_attempts);
    ADD("forwarded-adds-no-retries", set_up, test_forwarded_adds_no_retries);
    ADD("deadline", set_up, test_deadline);
    ADD("path-is-back", set_up, test_path_is_back);
    ADD("no-ejections", set_up, test_no_ejections);
    g_test_add("/forwarding/no-ejections-silent", Fixture, GINT_TO_POINTER(1),
               set_up, test_no_ejections, tear_down);
    ADD("probes-of-failed", set_up, test_probes_of_failed);
    ADD("held", set_up, test_held);
    ADD("held-for-long", set_up, test_held_for_long);
    ADD("forward-limit", set_up, test_forward_limit);
    ADD("helper-keeps-overdue-attempt", set_up,
        test_helper_keeps_overdue_attempt);
    ADD("quarantined-is-not-moved", set_up, test_quarantined_is_not_moved);
    ADD("quarantined-is-not-redirected", set_up,
        test_quarantined_is_not_redirected);
    ADD("attempt-survives-cut", set_up, test_attempt_survives_cut);
    ADD("stopping-helper-refuses", set_up, test_stopping_helper_refuses);
    ADD("deadline-of-helper", set_up, test_deadline_of_helper);
    ADD("late-request", set_up, test_late_request);
    ADD("stop-keeps-requests", set_up, test_stop_keeps_requests);
    ADD("stop-while-probing", set_up, test_stop_while_probing);
    ADD("stop-before-retry", set_up, test_stop_before_retry);
    ADD("stop-relays-failure", set_up, test_stop_relays_failure);
    ADD("stop-takes-short", set_up, test_stop_takes_short);
    ADD("stop-before-forward", set_up, test_stop_before_forward);
    g_test_add("/forwarding/open-when-host-ends", Fixture, GINT_TO_POINTER(0),
               set_up, test_open_when_host_ends, tear_down);
    g_test_add("/forwarding/open-when-helper-ends", Fixture,
               GINT_TO_POINTER(1), set_up, test_open_when_host_ends,
               tear_down);
    ADD("forward-open-when-host-ends", set_up,
        test_forward_open_when_host_ends);
    ADD("open-at-end", set_up, test_open_at_end);
    return g_test_run();
}
