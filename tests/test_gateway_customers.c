#include <glib.h>
#include <string.h>

#include "Gateway.h"
#include "GatewayFixture.h"
#include "PlatformDialect.h"

/* Guards against keys that reach an upstream, callers that name their customer
 * themselves, and limits of customers that hosts do not share, on real
 * connections. Host "b" has so much network capacity that it hands out the
 * requests of all customers; callers use host "a". */

#define RATE_PER_S 1.0
#define BURST 6.0

typedef struct Host_ {
    const char *id;
    HostKeys *keys;
    Dispatcher *dispatcher;
    Gateway *gateway;
} Host;

typedef struct Fixture_ {
    Clock *clock;
    Random *random;
    Loop *loop;
    Counters *counters;
    Host hosts[2];
    HttpServer *upstream;
    HttpClient *client;
    LoopTimer *guard;
    char customer[32]; /* as the upstream has seen it */
    unsigned customer_fields;
    unsigned key_fields;
    unsigned runs;
    int status; /* of the last response to the caller */
    bool has_retry_after;
    bool complete;
    char stale[8]; /* host that has another key than was listed */
} Fixture;

/* ---- upstream -------------------------------------------------------- */

static void
ignore_request(void *user, HttpRequest *request)
{
}

static void
ignore_body(void *user, HttpRequest *request, Str data)
{
}

static void
ignore_closed(void *user, HttpRequest *request, bool complete)
{
}

static void
inspect(Fixture *f, const HeaderList *headers)
{
    Str name, value;

    f->runs++;
    f->customer_fields = f->key_fields = 0;
    f->customer[0] = '\0';
    for (size_t i = 0; i < HeaderList_Count(headers); i++) {
        HeaderList_At(headers, i, &name, &value);
        f->key_fields += Str_EqualIgnoreCase(name, STR("agatecrank-key"));
        if (Str_EqualIgnoreCase(name, STR("agatecrank-tenant"))) {
            f->customer_fields++;
            g_snprintf(f->customer, sizeof(f->customer), STR_FORMAT,
                       STR_ARGS(value));
        }
    }
}

static void
upstream_body_end(void *user, HttpRequest *request)
{
    const HeaderList *sent = HttpRequest_Headers(request);
    HeaderList *headers = HeaderList_Create();

    if (!Str_Equal(HttpRequest_Path(request), STR("/health"))) {
        inspect(user, sent);
    }
    HeaderList_Add(headers, STR("agatecrank-attempt-id"),
                   HeaderList_Get(sent, STR("agatecrank-attempt-id")));
    HeaderList_Add(headers, STR("agatecrank-response-signature"), STR("s"));
    HeaderList_Add(headers, STR("agatecrank-instance-id"), STR("u"));
    HeaderList_Add(headers, STR("agatecrank-server-load"), STR("0,0,4,100"));
    HttpRequest_Respond(request, 200, headers, STR("ok"));
    HeaderList_Destroy(headers);
}

static const HttpServerHandlers upstream_handlers = {
    ignore_request, ignore_body,   upstream_body_end,
    ignore_request, ignore_closed,
};

/* ---- caller ---------------------------------------------------------- */

static void
on_headers(void *user, HttpCall *call, int status, const HeaderList *headers)
{
    Fixture *f = user;

    f->status = status;
    f->has_retry_after = HeaderList_Has(headers, STR("retry-after"));
}

static void
on_data(void *user, HttpCall *call, Str data)
{
}

static void
on_drained(void *user, HttpCall *call)
{
}

static void
on_complete(void *user, HttpCall *call)
{
    ((Fixture *)user)->complete = true;
}

static void
on_failed(void *user, HttpCall *call, HttpCallFailure failure, bool maybe_sent,
          const Error *error)
{
    g_error("no response: %s", error->text);
}

static const HttpCallHandlers call_handlers = {
    on_headers, on_data, on_drained, on_complete, on_failed,
};

/* @key, @other_key, @customer: sent if not NULL */
static int
call(Fixture *f, const char *path, const char *key, const char *other_key,
     const char *customer)
{
    HeaderList *headers = HeaderList_Create();
    HttpCallSpec spec = {.address = "127.0.0.1",
                         .port = Gateway_Port(f->hosts[0].gateway),
                         .method = STR("GET"),
                         .path = Str_FromC(path),
                         .headers = headers};

    HeaderList_Add(headers, STR("host"), GATEWAY_FIXTURE_HOST);
    HeaderList_Add(headers, STR("agatecrank-attempt-id"), STR("17"));
    HeaderList_Add(headers, STR("agatecrank-timeout-ms"), STR("3000"));
    if (key != NULL) {
        HeaderList_Add(headers, STR("Agatecrank-Key"), Str_FromC(key));
    }
    if (other_key != NULL) {
        HeaderList_Add(headers, STR("agatecrank-key"), Str_FromC(other_key));
    }
    if (customer != NULL) {
        HeaderList_Add(headers, STR("Agatecrank-Tenant"), Str_FromC(customer));
    }
    f->complete = false;
    g_assert_nonnull(
        HttpClient_Start(f->client, &spec, &call_handlers, f, NULL));
    HeaderList_Destroy(headers);
    while (!f->complete) {
        Loop_RunOnce(f->loop);
    }
    return f->status;
}

static void
assert_call(Fixture *f, const char *path, const char *key,
            const char *other_key, const char *customer, int expected)
{
    int status = call(f, path, key, other_key, customer);

    g_assert_cmpint(status, ==, expected);
}

/* ---- fixture --------------------------------------------------------- */

static void
fail_test(void *user)
{
    g_error("the test takes too long");
}

static RouteTable *
create_routes(void)
{
    static const RoutePart parts[] = {{{"desk", 4}, 1}};
    CallerLimits limits = {0};
    RouteTable *table = RouteTable_Create(1, &limits);
    CustomerTable *customers = CustomerTable_Create();
    Customer amina = {.name = STR("amina")};
    Customer limited = {
        .name = STR("bruno"), .rate_per_s = RATE_PER_S, .burst = BURST};
    Route open = {.name = STR("open"),
                  .host = GATEWAY_FIXTURE_HOST,
                  .prefix = STR("/open/"),
                  .timeout = 5 * MICROS_PER_S,
                  .objective = MICROS_PER_S,
                  .attempts_max = 2,
                  .parts = parts,
                  .part_count = 1,
                  .is_public = true};

    RouteTable_AddService(table, GATEWAY_FIXTURE_SERVICE, STR("/health"));
    GatewayFixture_AddRoute(table, "/safe/", ROUTE_IDEMPOTENT, 1, MICROS_PER_S,
                            5 * MICROS_PER_S);
    g_assert_cmpint(RouteTable_Add(table, &open, NULL), ==, 0);
    CustomerTable_Add(customers, &amina, NULL);
    CustomerTable_Add(customers, &limited, NULL);
    CustomerTable_AddKey(customers, amina.name, STR("k1"), NULL);
    CustomerTable_AddKey(customers, limited.name, STR("k2"), NULL);
    RouteTable_SetCustomers(table, customers);
    return table;
}

static void
on_stale_keys(void *user, Str host)
{
    Fixture *f = user;

    g_snprintf(f->stale, sizeof(f->stale), STR_FORMAT, STR_ARGS(host));
}

static void
create_host(Fixture *f, Host *host, const char *id)
{
    DispatcherOptions dispatcher = {.host = Str_FromC(id),
                                    .domain = STR("d"),
                                    .retry_window = 10 * MICROS_PER_S,
                                    .retry_extra = 2,
                                    .probes_per_s = 60,
                                    .outage_grace = MICROS_PER_S};
    UpstreamEntry entry =
        GatewayFixture_Upstream("u", HttpServer_Port(f->upstream), 4);
    RouteTable *routes = create_routes();
    GatewayOptions options = {.address = "127.0.0.1",
                              .dialect = &PLATFORM_DIALECT,
                              .connections_max = 8,
                              .reuse_idle = MICROS_PER_S,
                              .forward = {"127.0.0.1", 0},
                              .on_stale_keys = on_stale_keys,
                              .user = f};

    entry.address = STR("127.0.0.1");
    host->id = id;
    host->keys = HostKeys_Create(Str_FromC(id), f->clock, NULL);
    options.keys = host->keys;
    host->dispatcher = Dispatcher_Create(&dispatcher, f->clock, f->random,
                                         NULL, NULL, f->counters);
    host->gateway =
        Gateway_Create(f->loop, host->dispatcher, f->counters, &options, NULL);
    g_assert_nonnull(host->gateway);
    g_assert_cmpint(Dispatcher_SetRoutes(host->dispatcher, routes), ==, 0);
    RouteTable_Unref(routes);
    Dispatcher_PutUpstream(host->dispatcher, &entry);
    Dispatcher_SetSourceReachable(host->dispatcher, true, 0);
}

static void
list_hosts(Fixture *f)
{
    ListedHost listed[2];
    AllowanceHost grantors[2] = {{STR("a"), 1}, {STR("b"), 1000000}};
    Str ids[2] = {STR("a"), STR("b")};

    for (int i = 0; i < 2; i++) {
        Host *host = &f->hosts[i];

        listed[i] = (ListedHost){
            .id = Str_FromC(host->id),
            .entry = {.domain = STR("d"),
                      .relay = {"127.0.0.1", 1},
                      .forward_port = Gateway_ForwardPort(host->gateway)}};
        memcpy(listed[i].entry.key, HostKeys_PublicKey(host->keys),
               HOST_KEY_BYTES);
    }
    for (int i = 0; i < 2; i++) {
        HostKeys_SetPeers(f->hosts[i].keys, listed, 2);
        Dispatcher_SetHosts(f->hosts[i].dispatcher, ids, 2,
                            Clock_Now(f->clock));
        Dispatcher_SetGrantors(f->hosts[i].dispatcher, grantors, 2);
    }
}

static void
set_up(Fixture *f, gconstpointer data)
{
    HttpServerOptions options = {.address = "127.0.0.1", .keep_alive_s = 30};
    HttpClientOptions client = {.max_connections = 4};

    memset(f, 0, sizeof(*f));
    f->clock = Clock_CreateSystem();
    f->random = Random_Create(3);
    f->counters = Counters_Create(100);
    f->loop = Loop_Create(f->clock, NULL, NULL);
    f->upstream =
        HttpServer_Create(f->loop, &options, &upstream_handlers, f, NULL);
    f->client = HttpClient_Create(f->loop, &client);
    create_host(f, &f->hosts[0], "a");
    create_host(f, &f->hosts[1], "b");
    list_hosts(f);
    f->guard = LoopTimer_Create(f->loop, fail_test, NULL);
    LoopTimer_Start(f->guard, 60 * MICROS_PER_S);
}

static void
tear_down(Fixture *f, gconstpointer data)
{
    LoopTimer_Destroy(f->guard);
    Loop_Close(f->loop);
    for (int i = 0; i < 2; i++) {
        Gateway_Destroy(f->hosts[i].gateway);
        Dispatcher_Destroy(f->hosts[i].dispatcher);
        HostKeys_Destroy(f->hosts[i].keys);
    }
    HttpClient_Destroy(f->client);
    HttpServer_Destroy(f->upstream);
    Loop_Destroy(f->loop);
    Counters_Destroy(f->counters);
    Random_Destroy(f->random);
    Clock_Destroy(f->clock);
}

/* ---- tests ----------------------------------------------------------- */

static void
test_key_is_replaced(Fixture *f, gconstpointer data)
{
    assert_call(f, "/safe/x", "k1", NULL, NULL, 200);
    g_assert_cmpstr(f->customer, ==, "amina");
    g_assert_cmpuint(f->key_fields, ==, 0);
    assert_call(f, "/safe/x", "k1", NULL, "bruno", 200);
    g_assert_cmpstr(f->customer, ==, "amina");
    g_assert_cmpuint(f->customer_fields, ==, 1);
    assert_call(f, "/open/x", "k1", NULL, "bruno", 200);
    g_assert_cmpuint(f->customer_fields, ==, 0);
    g_assert_cmpuint(f->key_fields, ==, 0);
    g_assert_cmpuint(f->runs, ==, 3);
}

static void
test_wrong_keys(Fixture *f, gconstpointer data)
{
    assert_call(f, "/safe/x", NULL, NULL, "amina", 401);
    assert_call(f, "/safe/x", "", NULL, NULL, 401);
    assert_call(f, "/safe/x", "k9", NULL, NULL, 401);
    assert_call(f, "/safe/x", "k1", "k1", NULL, 401);
    assert_call(f, "/safe/x", "k1", "k2", NULL, 401);
    g_assert_cmpuint(f->runs, ==, 0);
}

/* Host "b" hands out no more than its new bucket has, although host "a" knows
 * nothing of the limit's use. */
static void
test_limit(Fixture *f, gconstpointer data)
{
    Micros began = Clock_Now(f->clock);
    unsigned refused = 0;
    double passed_s;

    for (int i = 0; i < 30; i++) {
        int status = call(f, "/safe/x", "k2", NULL, NULL);

        refused += status == 429;
        g_assert_true(status == 200 || (status == 429 && f->has_retry_after));
    }
    passed_s = (double)(Clock_Now(f->clock) - began) / MICROS_PER_S;
    g_assert_cmpuint(f->runs, ==, 30 - refused);
    g_assert_cmpuint(f->runs, >=, 4);
    g_assert_cmpfloat(f->runs, <=, BURST + 1 + RATE_PER_S * passed_s);
}

/* The equal part of a host admits one request. */
static void
test_grantor_gone(Fixture *f, gconstpointer data)
{
    Gateway_StopListening(f->hosts[1].gateway);
    assert_call(f, "/safe/x", "k2", NULL, NULL, 200);
    g_assert_cmpstr(f->customer, ==, "bruno");
}

/* Guards against a restarted grantor that is not asked until the list of hosts
 * is read again in a minute, because its key has changed. */
static void
test_grantor_restarted(Fixture *f, gconstpointer data)
{
    HostKeys *keys = HostKeys_Create(STR("b"), f->clock, NULL);
    ListedHost older = {
        .id = STR("b"),
        .entry = {.domain = STR("d"),
                  .relay = {"127.0.0.1", 1},
                  .forward_port = Gateway_ForwardPort(f->hosts[1].gateway)}};

    memcpy(older.entry.key, HostKeys_PublicKey(keys), HOST_KEY_BYTES);
    HostKeys_SetPeers(f->hosts[0].keys, &older, 1);
    assert_call(f, "/safe/x", "k2", NULL, NULL, 200);
    g_assert_cmpstr(f->stale, ==, "b");
    HostKeys_Destroy(keys);
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
    add_test("/gateway-customers/key-is-replaced", test_key_is_replaced);
    add_test("/gateway-customers/wrong-keys", test_wrong_keys);
    add_test("/gateway-customers/limit", test_limit);
    add_test("/gateway-customers/grantor-gone", test_grantor_gone);
    add_test("/gateway-customers/grantor-restarted", test_grantor_restarted);
    return g_test_run();
}
