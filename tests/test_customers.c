#include <glib.h>
#include <string.h>

#include "ConfigDecoder.h"
#include "Dispatcher.h"
#include "GatewayFixture.h"

/* Guards against callers that are served as another customer than theirs, with
 * a key that no customer has, or with one that was withdrawn some time ago. */

#define KEY_AGE_MAX_US (4 * MICROS_PER_S)
#define TIMEOUT_US (6 * MICROS_PER_S)
#define LONG_KEY_BYTES (CUSTOMER_KEY_MAX_BYTES + 1)

/* ---- table ----------------------------------------------------------- */

static void
test_table(void)
{
    CustomerTable *table = CustomerTable_Create();
    Customer amina = {.name = STR("amina"), .rate_per_s = 3, .burst = 5};
    Customer bruno = {.name = STR("bruno")};
    Customer unnamed = {.rate_per_s = 1};
    Customer endless = {.name = STR("c"), .rate_per_s = 1.0 / 0.0};
    char longest[LONG_KEY_BYTES];
    Str longer = {longest, sizeof(longest)};
    Error error;

    memset(longest, 'k', sizeof(longest));
    g_assert_cmpint(CustomerTable_Add(table, &amina, &error), ==, 0);
    g_assert_cmpint(CustomerTable_Add(table, &bruno, &error), ==, 0);
    g_assert_cmpint(CustomerTable_Add(table, &bruno, &error), ==,
                    ERR_CONFLICT);
    g_assert_cmpint(CustomerTable_Add(table, &unnamed, &error), ==,
                    ERR_INVALID);
    g_assert_cmpint(CustomerTable_Add(table, &endless, &error), ==,
                    ERR_INVALID);
    g_assert_cmpint(CustomerTable_AddKey(table, amina.name, STR("k1"), &error),
                    ==, 0);
    g_assert_cmpint(CustomerTable_AddKey(table, amina.name, STR("k1"), &error),
                    ==, 0);
    g_assert_cmpint(CustomerTable_AddKey(table, bruno.name, STR("k1"), &error),
                    ==, ERR_CONFLICT);
    g_assert_cmpint(CustomerTable_AddKey(table, bruno.name, STR(""), &error),
                    ==, ERR_INVALID);
    g_assert_cmpint(CustomerTable_AddKey(table, bruno.name, longer, &error),
                    ==, ERR_INVALID);
    g_assert_cmpint(CustomerTable_AddKey(table, STR("x"), STR("k"), &error),
                    ==, ERR_NOT_FOUND);
    g_assert_true(
        Str_Equal(CustomerTable_ByKey(table, STR("k1"))->name, STR("amina")));
    g_assert_null(CustomerTable_ByKey(table, STR("k")));
    g_assert_null(CustomerTable_ByKey(table, STR("k11")));
    g_assert_null(CustomerTable_ByKey(table, STR("")));
    g_assert_null(CustomerTable_ByKey(table, longer));
    g_assert_cmpuint(CustomerTable_Count(table), ==, 2);
    CustomerTable_Destroy(table);
}

/* ---- configuration of the platform ----------------------------------- */

#define CONFIG(version, customers)                                            \
    "{\"version\":\"" version "\",\"services\":[{\"name\":\"desk\","          \
    "\"healthPath\":\"/h\"}]," customers                                      \
    "\"hosts\":[{\"host\":\"a.example\",\"paths\":["                          \
    "{\"name\":\"r\",\"pathPrefix\":\"/keyed/\",\"kind\":\"safe\","           \
    "\"timeoutS\":5,\"targetLatencyS\":1,\"priority\":2,"                     \
    "\"service\":\"desk\",\"maxAttempts\":2,\"public\":false},"               \
    "{\"name\":\"p\",\"pathPrefix\":\"/open/\",\"kind\":\"safe\","            \
    "\"timeoutS\":5,\"targetLatencyS\":1,\"priority\":2,"                     \
    "\"service\":\"desk\",\"maxAttempts\":2,\"public\":true}]}]}"
#define CUSTOMERS                                                             \
    "\"tenants\":[{\"name\":\"amina\",\"apiKeys\":[\"k1\",\"k2\"],"           \
    "\"priority\":0,\"ratePerS\":2.5,\"burst\":4},"                           \
    "{\"name\":\"bruno\",\"apiKeys\":[\"k3\"]}],"

static void
test_decoder(void)
{
    static const char *const invalid[] = {
        CONFIG("00000001", "\"tenants\":[{\"apiKeys\":[\"k\"]}],"),
        CONFIG("00000001", "\"tenants\":[{\"name\":\"a\",\"apiKeys\":[1]}],"),
        CONFIG("00000001", "\"tenants\":[{\"name\":\"a\",\"apiKeys\":[\"k\"]},"
                           "{\"name\":\"b\",\"apiKeys\":[\"k\"]}],"),
        CONFIG("00000001", "\"tenants\":[3],"),
    };
    RouteTable *table =
        ConfigDecoder_Read(STR(CONFIG("00000001", CUSTOMERS)), NULL);
    const Customer *amina =
        CustomerTable_ByKey(RouteTable_Customers(table), STR("k2"));

    g_assert_true(Str_Equal(amina->name, STR("amina")));
    g_assert_cmpfloat(amina->rate_per_s, ==, 2.5);
    g_assert_cmpfloat(amina->burst, ==, 4);
    g_assert_true(amina->has_priority);
    g_assert_cmpuint(amina->priority, ==, 0);
    g_assert_false(CustomerTable_ByKey(RouteTable_Customers(table), STR("k3"))
                       ->has_priority);
    g_assert_true(
        RouteTable_Find(table, STR("a.example"), STR("/open/"))->is_public);
    RouteTable_Unref(table);
    table = ConfigDecoder_Read(STR(CONFIG("00000001", "")), NULL);
    g_assert_null(RouteTable_Customers(table));
    RouteTable_Unref(table);
    for (size_t i = 0; i < G_N_ELEMENTS(invalid); i++) {
        Error error;

        g_assert_null(ConfigDecoder_Read(Str_FromC(invalid[i]), &error));
    }
}

/* ---- requests -------------------------------------------------------- */

typedef struct Fixture_ {
    Clock *clock;
    Random *random;
    Counters *counters;
    Dispatcher *dispatcher;
    DispatchAction action; /* the last one, except for probes */
    char customer[16];     /* of the last send */
    unsigned sends;
    unsigned responses;
} Fixture;

static void
set_config(Fixture *f, const char *text)
{
    RouteTable *table = ConfigDecoder_Read(Str_FromC(text), NULL);

    g_assert_cmpint(Dispatcher_SetRoutes(f->dispatcher, table), ==, 0);
    RouteTable_Unref(table);
    Dispatcher_SetRoutesKnownAt(f->dispatcher, Clock_Boot(f->clock));
}

static void
set_up(Fixture *f, gconstpointer data)
{
    DispatcherOptions options = {
        .domain = STR("a"),
        .retry_window = 10 * MICROS_PER_S,
        .retry_share = 1,
        .retry_extra = 100,
        .outage_grace = MICROS_PER_S,
        .key_age_max = KEY_AGE_MAX_US,
    };
    UpstreamEntry u = GatewayFixture_Upstream("u", 80, 4);
    UpstreamEntry v = GatewayFixture_Upstream("v", 81, 4);

    memset(f, 0, sizeof(*f));
    f->clock = Clock_CreateManual(MICROS_PER_S, 0);
    f->random = Random_Create(3);
    f->counters = Counters_Create(100);
    f->dispatcher = Dispatcher_Create(&options, f->clock, f->random, NULL,
                                      NULL, f->counters);
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
        if (action.kind == DISPATCH_PROBE) {
            Dispatcher_OnProbeResult(f->dispatcher, action.probe.upstream,
                                     PROBE_UNCLEAR, NULL);
            continue;
        }
        if (action.kind == DISPATCH_SEND) {
            f->sends++;
            g_assert_true(action.send.caller.replaces_key);
            g_snprintf(f->customer, sizeof(f->customer), STR_FORMAT,
                       STR_ARGS(action.send.caller.customer));
        }
        f->responses += action.kind == DISPATCH_RESPOND;
        f->action = action;
    }
}

static Job *
submit_info(Fixture *f, JobInfo info)
{
    Job *job;

    info.id = STR("r");
    info.method = STR("GET");
    info.host = GATEWAY_FIXTURE_HOST;
    info.timeout = TIMEOUT_US;
    job = Dispatcher_Submit(f->dispatcher, &info, NULL);
    take_actions(f);
    return job;
}

static Job *
submit(Fixture *f, const char *path, const char *key)
{
    return submit_info(
        f, (JobInfo){.path = Str_FromC(path), .key = Str_FromC(key)});
}

static void
assert_refused(const Fixture *f, int status, const char *reason)
{
    g_assert_cmpint(f->action.kind, ==, DISPATCH_RESPOND);
    g_assert_cmpint(f->action.respond.status, ==, status);
    g_assert_cmpstr(f->action.respond.reason, ==, reason);
    g_assert_cmpint(f->action.respond.retry_after > 0, ==, status == 503);
    g_assert_true(f->action.respond.not_run);
}

/* A host without a configuration can't know that a key is wrong. */
static void
test_keys(Fixture *f, gconstpointer data)
{
    submit(f, "/keyed/x", "k1");
    assert_refused(f, 503, "no-configuration");
    set_config(f, CONFIG("00000001", CUSTOMERS));
    submit(f, "/keyed/x", "k1");
    g_assert_cmpstr(f->customer, ==, "amina");
    submit(f, "/keyed/x", "k3");
    g_assert_cmpstr(f->customer, ==, "bruno");
    submit(f, "/open/x", "");
    g_assert_cmpstr(f->customer, ==, "");
    g_assert_cmpuint(f->sends, ==, 3);
    submit(f, "/keyed/x", "");
    assert_refused(f, 401, "unknown-key");
    submit(f, "/keyed/x", "k9");
    assert_refused(f, 401, "unknown-key");
    submit(f, "/none/x", "k9");
    assert_refused(f, 404, "no-route");
    g_assert_cmpuint(f->sends, ==, 3);
}

static void
test_moved_key(Fixture *f, gconstpointer data)
{
    set_config(f, CONFIG("00000001", CUSTOMERS));
    set_config(f, CONFIG("00000002",
                         "\"tenants\":[{\"name\":\"amina\",\"apiKeys\":[]},"
                         "{\"name\":\"bruno\",\"apiKeys\":[\"k1\"]}],"));
    submit(f, "/keyed/x", "k1");
    g_assert_cmpstr(f->customer, ==, "bruno");
    submit(f, "/keyed/x", "k2");
    assert_refused(f, 401, "unknown-key");
}

/* The host may not have heard that the key was withdrawn. */
static void
test_stale(Fixture *f, gconstpointer data)
{
    set_config(f, CONFIG("00000001", CUSTOMERS));
    Clock_Advance(f->clock, KEY_AGE_MAX_US);
    submit(f, "/keyed/x", "k1");
    g_assert_cmpuint(f->sends, ==, 1);
    Clock_Advance(f->clock, 1);
    g_assert_true(Dispatcher_RejectsKeys(f->dispatcher));
    submit(f, "/keyed/x", "k1");
    assert_refused(f, 503, "stale-configuration");
    submit(f, "/keyed/x", "k9");
    assert_refused(f, 503, "stale-configuration");
    submit(f, "/open/x", "");
    g_assert_cmpuint(f->sends, ==, 2);
    Dispatcher_SetRoutesKnownAt(f->dispatcher, Clock_Boot(f->clock));
    submit(f, "/keyed/x", "k3");
    g_assert_cmpuint(f->sends, ==, 3);
}

/* The monotonic clock does not go on while a machine is suspended. */
static void
test_suspended(Fixture *f, gconstpointer data)
{
    set_config(f, CONFIG("00000001", CUSTOMERS));
    Clock_Suspend(f->clock, KEY_AGE_MAX_US + 1);
    submit(f, "/keyed/x", "k1");
    assert_refused(f, 503, "stale-configuration");
}

/* A request that was accepted in time is not sent again later. */
static void
test_stale_retry(Fixture *f, gconstpointer data)
{
    AttemptEndInfo end = {.result = ATTEMPT_RESULT_NOT_RUN, .status = 503};
    Job *job;

    set_config(f, CONFIG("00000001", CUSTOMERS));
    job = submit(f, "/keyed/x", "k1");
    Clock_Suspend(f->clock, KEY_AGE_MAX_US + 1);
    GatewayFixture_EndAttempt(f->dispatcher, job, &end);
    take_actions(f);
    g_assert_cmpuint(f->sends, ==, 1);
    assert_refused(f, 503, "stale-configuration");
}

/* The host that got the request from its caller has looked up the key. */
static void
test_forwarded(Fixture *f, gconstpointer data)
{
    JobInfo info = {.path = STR("/keyed/x"),
                    .customer = STR("bruno"),
                    .forwarded = true,
                    .attempts_max = 1};

    set_config(f, CONFIG("00000001", CUSTOMERS));
    Clock_Advance(f->clock, KEY_AGE_MAX_US + 1);
    submit_info(f, info);
    g_assert_cmpuint(f->sends, ==, 1);
    g_assert_cmpstr(f->customer, ==, "bruno");
}

static void
add_test(const char *path, void (*test)(Fixture *, gconstpointer))
{
    g_test_add(path, Fixture, NULL, set_up, test, tear_down);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/customers/table", test_table);
    g_test_add_func("/customers/decoder", test_decoder);
    add_test("/customers/keys", test_keys);
    add_test("/customers/moved-key", test_moved_key);
    add_test("/customers/stale", test_stale);
    add_test("/customers/suspended", test_suspended);
    add_test("/customers/stale-retry", test_stale_retry);
    add_test("/customers/forwarded", test_forwarded);
    return g_test_run();
}
