#include <glib.h>
#include <openssl/sha.h>
#include <string.h>

#include "Balancer.h"
#include "ConfigFixture.h"

#define UPSTREAMS 4

static const char config_document[] =
    "[operator.root]\npublic_key = \"%s\"\nlines = [\"*\"]\n"
    "[line.a]\nweight = 50\n"
    "[service.desk]\nslots = 2\nconnections = 20\nrequire_key = true\n"
    "idempotent_methods = [\"GET\"]\ndrained = [\"up-3\"]\n"
    "[caller.counter]\nline = \"a\"\ntoken_sha256 = \"%s\"\n"
    "[selector.lookups]\nline = \"a\"\nservice = \"desk\"\n"
    "upstreams = { pool = \"main\" }\ndeadline_ms = 1000\n";

typedef struct Fixture_ {
    Clock *clock;
    Random *random;
    Counters *counters;
    ConfigState *config;
    Balancer *balancer;
    BalancerAction action;
    uint64_t digest; /* body digest of the requests sent from now on */
} Fixture;

static void
add_upstreams(Fixture *f, size_t count)
{
    static const Label labels[] = {{STR("pool"), STR("main")}};
    HostEntry entries[UPSTREAMS];
    char ids[UPSTREAMS][8];

    for (size_t i = 0; i < count; i++) {
        g_snprintf(ids[i], sizeof(ids[i]), "up-%zu", i);
        entries[i] = (HostEntry){
            .id = Str_FromC(ids[i]),
            .role = HOST_UPSTREAM,
            .address = STR("127.0.0.1"),
            .port = (uint16_t)(7000 + i),
            .service = STR("desk"),
            .domain = STR("lac-a"),
            .labels = {labels, 1},
        };
    }
    Balancer_OnHostList(f->balancer, entries, count);
}

static void
publish_config(Fixture *f)
{
    char *key = Fixture_PublicKey(KEY_ROOT);
    char hex[SHA256_DIGEST_LENGTH * 2 + 1];
    uint8_t digest[SHA256_DIGEST_LENGTH];
    char *text;

    SHA256((const unsigned char *)"token", 5, digest);
    for (size_t i = 0; i < sizeof(digest); i++) {
        g_snprintf(hex + 2 * i, 3, "%02x", digest[i]);
    }
    text = g_strdup_printf(config_document, key, hex);
    g_assert_cmpint(
        Fixture_Apply(f->config, "first", "root", KEY_ROOT, 0, text, NULL), ==,
        CONFIG_ACCEPTED);
    g_free(text);
    g_free(key);
}

static void
set_up(Fixture *f)
{
    ConfigOptions config = Fixture_Options();
    BalancerOptions options = {
        .router = RouterOptions_Default(),
        .admission = {.mode = ADMISSION_SHARED, .hosts = 1},
        .claims = ClaimsOptions_Default(STR("host-1"), 1),
        .attempts_max = 3,
    };
    Str host = STR("host-1");

    memset(f, 0, sizeof(*f));
    f->clock = Clock_CreateManual(MICROS_PER_S, 1700000000 * MICROS_PER_S);
    f->random = Random_Create(3);
    f->counters = Counters_Create(1000);
    f->config = ConfigState_Create(&config);
    f->balancer = Balancer_Create(&options, f->config, f->clock, f->random,
                                  NULL, f->counters);
    Balancer_SetHosts(f->balancer, &host, 1, 0);
    publish_config(f);
    add_upstreams(f, UPSTREAMS);
    Balancer_OnConfigChanged(f->balancer);
    Balancer_SetReady(f->balancer, true);
}

static void
tear_down(Fixture *f)
{
    Balancer_Destroy(f->balancer);
    ConfigState_Destroy(f->config);
    Counters_Destroy(f->counters);
    Random_Destroy(f->random);
    Clock_Destroy(f->clock);
}

static uint64_t
send_request(Fixture *f, const char *method, const char *token,
             const char *key)
{
    uint8_t digest[SHA256_DIGEST_LENGTH];
    RequestInfo info = {
        .request_id = STR("r-1"),
        .method = Str_FromC(method),
        .path = STR("/x"),
        .service = STR("desk"),
        .credential = {(const char *)digest, token != NULL ? 32 : 0},
        .key = Str_FromC(key),
        .body_kept = true,
    };
    uint64_t id;

    if (token != NULL) {
        SHA256((const unsigned char *)token, strlen(token), digest);
    }
    id = Balancer_OnRequest(f->balancer, &info);
    Balancer_OnBody(f->balancer, id, f->digest);
    return id;
}

static BalancerActionKind
next_action(Fixture *f)
{
    g_assert_true(Balancer_NextAction(f->balancer, &f->action));
    return f->action.kind;
}

static void
expect_response(Fixture *f, int status, Outcome outcome, const char *reason)
{
    g_assert_cmpint(next_action(f), ==, BALANCER_RESPOND);
    g_assert_cmpint(f->action.respond.status, ==, status);
    g_assert_cmpint(f->action.respond.outcome, ==, outcome);
    g_assert_cmpstr(f->action.respond.reason, ==, reason);
    g_assert_false(Balancer_NextAction(f->balancer, &f->action));
    g_assert_cmpuint(Balancer_OpenRequests(f->balancer), ==, 0);
}

/* Requests without a valid credential, selector or key must not reach an
 * upstream. */
static void
test_refusals(void)
{
    static const struct {
        const char *method;
        const char *token;
        const char *key;
        int status;
        Outcome outcome;
        const char *reason;
    } cases[] = {
        {"GET", NULL, NULL, 401, OUTCOME_NOT_RUN, "no-credential"},
        {"GET", "other", NULL, 403, OUTCOME_NOT_RUN, "not-admitted"},
        {"POST", "token", NULL, 400, OUTCOME_NOT_RUN, "key-required"},
        {"POST", "token", "0190-not-a-key", 400, OUTCOME_NOT_RUN,
         "key-malformed"},
        /* The log was never read, so the state of the key is unknown. */
        {"POST", "token", "018bcfe5-6800-7abc-8def-0123456789ab", 503,
         OUTCOME_UNKNOWN, "catching-up"},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        Fixture f;

        set_up(&f);
        g_test_message("%s %s", cases[i].method, cases[i].reason);
        send_request(&f, cases[i].method, cases[i].token, cases[i].key);
        expect_response(&f, cases[i].status, cases[i].outcome,
                        cases[i].reason);
        tear_down(&f);
    }
}

/* A host without a configuration must not serve requests. */
static void
test_not_ready(void)
{
    Fixture f;

    set_up(&f);
    Balancer_SetReady(f.balancer, false);
    send_request(&f, "GET", "token", NULL);
    expect_response(&f, 503, OUTCOME_NOT_RUN, "not-ready");
    send_request(&f, "POST", "token", "018bcfe5-6800-7abc-8def-0123456789ab");
    expect_response(&f, 503, OUTCOME_UNKNOWN, "not-ready");
    tear_down(&f);
}

/* Completes GET requests; ten of them earn one retry. */
static void
serve_requests(Fixture *f, int count)
{
    for (int i = 0; i < count; i++) {
        uint64_t id = send_request(f, "GET", "token", NULL);
        ResponseHead head = {.status = 200, .load = STR("")};

        g_assert_cmpint(next_action(f), ==, BALANCER_SEND);
        g_assert_cmpint(f->action.send.port, !=, 7003);
        g_assert_cmpint(Balancer_OnResponseHead(f->balancer, id, &head), ==,
                        BALANCER_RELAY);
        g_assert_cmpint(Balancer_OnAttemptEnd(f->balancer, id,
                                              ATTEMPT_END_COMPLETE, STR("")),
                        ==, EXCHANGE_STEP_FINISH);
        Clock_Advance(f->clock, MICROS_PER_MS);
    }
}

static ResponseHead
shed_response(void)
{
    return (ResponseHead){.status = 503,
                          .not_run = true,
                          .load =
                              STR("inflight=2 slots=2 queue=0 draining=0")};
}

/* A request that upstreams shed must be retried on other upstreams only, and
 * its outcome is not-run if each upstream proved that it did not run it. */
static void
test_shed_is_retried_elsewhere(void)
{
    Fixture f;
    ResponseHead head = shed_response();
    uint32_t seen[UPSTREAMS] = {0};
    uint64_t id;
    int attempts = 0;

    set_up(&f);
    serve_requests(&f, 30);
    id = send_request(&f, "GET", "token", NULL);
    while (next_action(&f) == BALANCER_SEND) {
        attempts++;
        seen[f.action.send.upstream]++;
        g_assert_cmpuint(seen[f.action.send.upstream], ==, 1);
        g_assert_cmpint(Balancer_OnResponseHead(f.balancer, id, &head), ==,
                        BALANCER_DISCARD);
    }
    g_assert_cmpint(attempts, >=, 2);
    g_assert_cmpint(attempts, <=, 3);
    g_assert_cmpint(f.action.kind, ==, BALANCER_RESPOND);
    g_assert_cmpint(f.action.respond.outcome, ==, OUTCOME_NOT_RUN);
    g_assert_cmpint(f.action.respond.retry_after, >, 0);
    tear_down(&f);
}

/* No new request may go to an upstream that an operator drains. */
static void
test_drained_upstream(void)
{
    Fixture f;

    set_up(&f);
    serve_requests(&f, 200);
    g_assert_cmpuint(Balancer_OpenRequests(f.balancer), ==, 0);
    tear_down(&f);
}

/* An unresponsive connection must not use up the whole deadline of a request,
 * and the caller must get exactly one response. */
static void
test_unresponsive_upstream(void)
{
    Fixture f;
    uint64_t id;
    uint32_t first;

    set_up(&f);
    serve_requests(&f, 30);
    id = send_request(&f, "GET", "token", NULL);
    g_assert_cmpint(next_action(&f), ==, BALANCER_SEND);
    first = f.action.send.upstream;
    g_assert_cmpint(f.action.send.timeout, <=, 500 * MICROS_PER_MS);
    Clock_Advance(f.clock, f.action.send.timeout);
    Balancer_OnTimeout(f.balancer, id);
    g_assert_cmpint(next_action(&f), ==, BALANCER_CANCEL);
    g_assert_true(f.action.cancel.no_response);
    g_assert_cmpint(next_action(&f), ==, BALANCER_SEND);
    g_assert_cmpuint(f.action.send.upstream, !=, first);
    g_assert_true(f.action.send.new_connection);
    Clock_Advance(f.clock, MICROS_PER_S);
    Balancer_OnTimeout(f.balancer, id);
    g_assert_cmpint(next_action(&f), ==, BALANCER_CANCEL);
    expect_response(&f, 504, OUTCOME_UNKNOWN, "upstream-deadline");
    tear_down(&f);
}

/* A request that has crashed two upstreams must not reach a third one. */
static void
test_crashing_request(void)
{
    Fixture f;
    uint64_t id;

    set_up(&f);
    serve_requests(&f, 60);
    f.digest = 42;
    id = send_request(&f, "GET", "token", NULL);
    for (int i = 0; i < 2; i++) {
        g_assert_cmpint(next_action(&f), ==, BALANCER_SEND);
        Balancer_OnAttemptEnd(f.balancer, id, ATTEMPT_END_CONNECTION_CLOSED,
                              STR(""));
    }
    expect_response(&f, 422, OUTCOME_UNKNOWN, "quarantined");
    send_request(&f, "GET", "token", NULL);
    expect_response(&f, 422, OUTCOME_NOT_RUN, "quarantined");
    tear_down(&f);
}

/* An attempt without a valid response must not clear the suspicion that a
 * request crashes upstreams. */
static void
test_crashing_request_without_response(void)
{
    static const AttemptEnd ends[] = {ATTEMPT_END_FRAMING,
                                      ATTEMPT_END_DEADLINE, ATTEMPT_END_UNSENT,
                                      ATTEMPT_END_REFUSED};
    Fixture f;
    uint64_t id;
    uint32_t lost;

    for (size_t i = 0; i < G_N_ELEMENTS(ends); i++) {
        set_up(&f);
        serve_requests(&f, 60);
        f.digest = 42;
        id = send_request(&f, "GET", "token", NULL);
        g_assert_cmpint(next_action(&f), ==, BALANCER_SEND);
        lost = f.action.send.upstream;
        Balancer_OnAttemptEnd(f.balancer, id, ATTEMPT_END_CONNECTION_CLOSED,
                              STR(""));
        g_assert_cmpint(next_action(&f), ==, BALANCER_SEND);
        Balancer_OnAttemptEnd(f.balancer, id, ends[i], STR(""));
        while (next_action(&f) != BALANCER_RESPOND) {
            Balancer_OnAttemptEnd(f.balancer, id, ATTEMPT_END_DEADLINE,
                                  STR(""));
        }
        id = send_request(&f, "GET", "token", NULL);
        do {
            g_assert_cmpint(next_action(&f), ==, BALANCER_SEND);
            Balancer_OnAttemptEnd(f.balancer, id,
                                  ATTEMPT_END_CONNECTION_CLOSED, STR(""));
        } while (f.action.send.upstream == lost);
        expect_response(&f, 422, OUTCOME_UNKNOWN, "quarantined");
        tear_down(&f);
    }
}

/* The attempt of a request must be cancelled when its caller disconnects. */
static void
test_caller_disconnect(void)
{
    Fixture f;
    uint64_t id;

    set_up(&f);
    id = send_request(&f, "GET", "token", NULL);
    g_assert_cmpint(next_action(&f), ==, BALANCER_SEND);
    g_assert_false(Balancer_OnCallerDisconnect(f.balancer, id));
    g_assert_cmpint(next_action(&f), ==, BALANCER_CANCEL);
    g_assert_false(Balancer_NextAction(f.balancer, &f.action));
    g_assert_cmpuint(Balancer_OpenRequests(f.balancer), ==, 0);
    tear_down(&f);
}

/* A malformed load report must be rejected. */
static void
test_load_report(void)
{
    static const struct {
        const char *text;
        int code;
    } cases[] = {
        {"inflight=1 slots=6 queue=0 draining=1", 0},
        {"slots=6 inflight=1", 0},
        {"inflight=1", ERR_PARSE},
        {"inflight=-1 slots=6", ERR_PARSE},
        {"inflight=1 slots=99999999999", ERR_PARSE},
        {"", ERR_PARSE},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        LoadReport report;

        g_assert_cmpint(LoadReport_Parse(Str_FromC(cases[i].text), &report),
                        ==, cases[i].code);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/core/balancer/refusals", test_refusals);
    g_test_add_func("/core/balancer/not-ready", test_not_ready);
    g_test_add_func("/core/balancer/shed-is-retried-elsewhere",
                    test_shed_is_retried_elsewhere);
    g_test_add_func("/core/balancer/drained-upstream", test_drained_upstream);
    g_test_add_func("/core/balancer/silent-upstream",
                    test_unresponsive_upstream);
    g_test_add_func("/core/balancer/crashing-request", test_crashing_request);
    g_test_add_func("/core/balancer/crashing-request-without-response",
                    test_crashing_request_without_response);
    g_test_add_func("/core/balancer/caller-gone", test_caller_disconnect);
    g_test_add_func("/core/balancer/load-report", test_load_report);
    return g_test_run();
}
