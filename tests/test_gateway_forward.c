#include <glib.h>
#include <string.h>

#include "ForwardClient.h"
#include "ForwardServer.h"
#include "Gateway.h"
#include "GatewayFixture.h"
#include "PlatformDialect.h"
#include "ScriptedUpstream.h"

#define ID "17"
/* More than the system buffers on two connections. */
#define LARGE_BYTES ((size_t)48 * 1024 * 1024)
/* Of a request; more than the system buffers on a connection. */
#define UPLOAD_BYTES ((size_t)FORWARD_BODY_MAX_BYTES)
#define PART_BYTES ((size_t)64 * 1024)
#define TIMEOUT_US (900 * MICROS_PER_MS)

/* Host "b" takes requests of host "a" and has an upstream. */
typedef struct Fixture_ {
    Clock *clock;
    Random *random;
    Loop *loop;
    Counters *counters;
    HostKeys *a;
    HostKeys *b;
    Dispatcher *dispatcher;
    Gateway *gateway;
    HttpServer *upstream;
    ForwardClient *forwards;
    LoopTimer *guard;
    HttpRequest *open; /* at the upstream, without a response */
    size_t to_write;
    unsigned runs;
    unsigned aborted; /* requests that were closed at the upstream */
    int64_t timeout_ms;
    const char *version; /* of the routes of the other host, or NULL */
    BodyBuffer *content; /* of the request, or NULL */
    ForwardTicket ticket;
    HttpCall *call;
    GByteArray *body; /* its beginning */
    size_t received;
    HeaderList *headers;
    ForwardResponseSeal seal;
    int status;
    int check;
    bool complete;
    bool failed;
} Fixture;

/* ---- upstream ------------------------------------------------------- */

static HeaderList *
upstream_headers(const HttpRequest *request)
{
    HeaderList *headers = HeaderList_Create();

    HeaderList_Add(headers, STR("agatecrank-attempt-id"),
                   HeaderList_Get(HttpRequest_Headers(request),
                                  STR("agatecrank-attempt-id")));
    HeaderList_Add(headers, STR("agatecrank-response-signature"),
                   STR(ID ".u"));
    HeaderList_Add(headers, STR("agatecrank-server-load"), STR("1,0,4,100"));
    HeaderList_Add(headers, STR("set-cookie"), STR("x=1"));
    HeaderList_Add(headers, STR("set-cookie"), STR("y=2"));
    return headers;
}

static void
write_part(Fixture *f)
{
    static char part[PART_BYTES];
    size_t n = MIN(f->to_write, PART_BYTES);

    memset(part, 'x', n);
    HttpRequest_Write(f->open, (Str){part, n});
    f->to_write -= n;
    if (f->to_write == 0) {
        HttpRequest_Finish(f->open);
    }
}

static void
upstream_request(void *user, HttpRequest *request)
{
}

static void
upstream_body(void *user, HttpRequest *request, Str data)
{
}

static void
run(Fixture *f, HttpRequest *request)
{
    HeaderList *headers = upstream_headers(request);
    Str path = HttpRequest_Path(request);
    const HeaderList *sent = HttpRequest_Headers(request);

    f->runs++;
    f->timeout_ms = (int64_t)g_ascii_strtoull(
        HeaderList_Get(sent, STR("agatecrank-timeout-ms")).data, NULL, 10);
    g_assert_false(HeaderList_Has(sent, STR(FORWARD_FIELD)));
    g_assert_false(HeaderList_Has(sent, STR(FORWARD_VERSION_FIELD)));
    g_assert_true(Str_Equal(
        HeaderList_Get(sent, STR("agatecrank-target-instance")), STR("u")));
    f->open = request;
    if (Str_Equal(path, STR("/safe/large")) ||
        Str_Equal(path, STR("/safe/broken"))) {
        f->to_write = LARGE_BYTES;
        HttpRequest_StartResponse(request, 200, headers, LARGE_BYTES);
    }
    else if (Str_Equal(path, STR("/safe/leaving"))) {
        f->open = NULL;
        HeaderList_Add(headers, STR("server-leaving"), STR("1"));
        HttpRequest_Respond(request, 207, headers, STR("result"));
    }
    else if (Str_Equal(path, STR("/safe/paused"))) {
        f->open = NULL;
        HeaderList_Add(headers, STR("agatecrank-not-executed"), STR("1"));
        HeaderList_Add(headers, STR("retry-after"), STR("30"));
        HttpRequest_Respond(request, 503, headers, STR(""));
    }
    else if (!Str_Equal(path, STR("/safe/hang"))) {
        f->open = NULL;
        HttpRequest_Respond(request, 207, headers, STR("result"));
    }
    HeaderList_Destroy(headers);
}

static void
upstream_body_end(void *user, HttpRequest *request)
{
    HeaderList *headers;

    if (Str_StartsWith(HttpRequest_Path(request), STR("/safe/"))) {
        run(user, request);
        return;
    }
    headers = upstream_headers(request);
    HeaderList_Add(headers, STR("agatecrank-instance-id"), STR("u"));
    HttpRequest_Respond(request, 200, headers, STR(""));
    HeaderList_Destroy(headers);
}

static void
upstream_drained(void *user, HttpRequest *request)
{
    Fixture *f = user;

    if (f->open != request) {
        return;
    }
    if (f->to_write < LARGE_BYTES / 2 &&
        Str_Equal(HttpRequest_Path(request), STR("/safe/broken"))) {
        HttpRequest_Abort(request);
        return;
    }
    write_part(f);
}

static void
upstream_closed(void *user, HttpRequest *request, bool complete)
{
    Fixture *f = user;

    f->aborted += !complete;
    if (f->open == request) {
        f->open = NULL;
    }
}

/* ---- host a --------------------------------------------------------- */

static void
on_headers(void *user, HttpCall *call, int status, const HeaderList *headers)
{
    Fixture *f = user;

    f->status = status;
    HeaderList_CopyAll(headers, f->headers);
    f->check = ForwardTicket_Check(&f->ticket, status, f->headers, &f->seal);
}

static void
on_data(void *user, HttpCall *call, Str data)
{
    Fixture *f = user;

    f->received += data.length;
    if (f->body->len < PART_BYTES) {
        g_byte_array_append(f->body, (const guint8 *)data.data,
                            (guint)data.length);
    }
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
    ((Fixture *)user)->failed = true;
}

static const HttpCallHandlers call_handlers = {
    on_headers, on_data, on_drained, on_complete, on_failed,
};

static void
begin_forward(Fixture *f, const char *path)
{
    HeaderList *headers = HeaderList_Create();
    ForwardCallSpec spec = {.peer = STR("b"),
                            .method = STR("GET"),
                            .path = Str_FromC(path),
                            .headers = headers,
                            .body = f->content,
                            .attempts_max = 2};

    HeaderList_Add(headers, STR("host"), GATEWAY_FIXTURE_HOST);
    HeaderList_Add(headers, STR("agatecrank-attempt-id"), STR(ID));
    HeaderList_Add(headers, STR("agatecrank-timeout-ms"), STR("900"));
    HeaderList_Add(headers, STR("x-own"), STR("kept"));
    if (f->version != NULL) {
        HeaderList_Add(headers, STR(FORWARD_VERSION_FIELD),
                       Str_FromC(f->version));
    }
    f->call = ForwardClient_Start(f->forwards, &spec, &call_handlers, f,
                                  &f->ticket, NULL);
    g_assert_nonnull(f->call);
    HeaderList_Destroy(headers);
}

static void
forward(Fixture *f, const char *path)
{
    begin_forward(f, path);
    while (!f->complete && !f->failed) {
        Loop_RunOnce(f->loop);
    }
}

/* ---- fixture -------------------------------------------------------- */

static void
fail_test(void *user)
{
    g_error("the test takes too long");
}

static ListedHost
listed(const HostKeys *keys, uint16_t port)
{
    ListedHost host = {.id = HostKeys_Host(keys),
                       .entry = {.domain = STR("d"),
                                 .relay = {"127.0.0.1", 1},
                                 .forward_port = port}};

    memcpy(host.entry.key, HostKeys_PublicKey(keys), HOST_KEY_BYTES);
    return host;
}

static void
create_upstream(Fixture *f)
{
    static const HttpServerHandlers handlers = {
        upstream_request, upstream_body,   upstream_body_end,
        upstream_drained, upstream_closed,
    };
    HttpServerOptions options = {.address = "127.0.0.1", .keep_alive_s = 30};

    f->upstream = HttpServer_Create(f->loop, &options, &handlers, f, NULL);
    g_assert_nonnull(f->upstream);
}

static void
create_gateway(Fixture *f)
{
    DispatcherOptions dispatcher = {.host = STR("b"),
                                    .domain = STR("d"),
                                    .retry_window = 10 * MICROS_PER_S,
                                    .retry_share = 0.2,
                                    .retry_extra = 2,
                                    .probes_per_s = 60,
                                    .outage_grace = MICROS_PER_S};
    GatewayOptions options = {.address = "127.0.0.1",
                              .dialect = &PLATFORM_DIALECT,
                              .connections_max = 8,
                              .reuse_idle = MICROS_PER_S,
                              .forward = {"127.0.0.1", 0},
                              .keys = f->b};
    CallerLimits limits = {0};
    RouteTable *table = RouteTable_Create(1, &limits);
    UpstreamEntry entry =
        GatewayFixture_Upstream("u", HttpServer_Port(f->upstream), 4);

    entry.address = STR("127.0.0.1");
    f->dispatcher = Dispatcher_Create(&dispatcher, f->clock, f->random, NULL,
                                      NULL, f->counters);
    f->gateway =
        Gateway_Create(f->loop, f->dispatcher, f->counters, &options, NULL);
    g_assert_nonnull(f->gateway);
    RouteTable_AddService(table, GATEWAY_FIXTURE_SERVICE, STR("/health"));
    GatewayFixture_AddRoute(table, "/safe/", ROUTE_IDEMPOTENT, 1,
                            300 * MICROS_PER_MS, 5 * MICROS_PER_S);
    g_assert_cmpint(Dispatcher_SetRoutes(f->dispatcher, table), ==, 0);
    RouteTable_Unref(table);
    Dispatcher_PutUpstream(f->dispatcher, &entry);
    Dispatcher_SetSourceReachable(f->dispatcher, true, 0);
}

static void
set_flag(void *user)
{
    *(bool *)user = true;
}

static void
run_for(Fixture *f, Micros time)
{
    bool passed = false;
    LoopTimer *timer = LoopTimer_Create(f->loop, set_flag, &passed);

    LoopTimer_Start(timer, time);
    while (!passed) {
        Loop_RunOnce(f->loop);
    }
    LoopTimer_Destroy(timer);
}

static void
set_up(Fixture *f, gconstpointer data)
{
    ListedHost host;

    f->clock = Clock_CreateSystem();
    f->random = Random_Create(3);
    f->loop = Loop_Create(f->clock, NULL, NULL);
    f->counters = Counters_Create(100);
    f->body = g_byte_array_new();
    f->headers = HeaderList_Create();
    f->a = HostKeys_Create(STR("a"), f->clock, NULL);
    f->b = HostKeys_Create(STR("b"), f->clock, NULL);
    create_upstream(f);
    create_gateway(f);
    host = listed(f->a, 1);
    HostKeys_SetPeers(f->b, &host, 1);
    host = listed(f->b, Gateway_ForwardPort(f->gateway));
    HostKeys_SetPeers(f->a, &host, 1);
    f->forwards = ForwardClient_Create(f->loop, f->a);
    f->guard = LoopTimer_Create(f->loop, fail_test, f);
    LoopTimer_Start(f->guard, 20 * MICROS_PER_S);
}

static void
tear_down(Fixture *f, gconstpointer data)
{
    Loop_Close(f->loop);
    LoopTimer_Destroy(f->guard);
    ForwardClient_Destroy(f->forwards);
    Gateway_Destroy(f->gateway);
    Dispatcher_Destroy(f->dispatcher);
    HttpServer_Destroy(f->upstream);
    HostKeys_Destroy(f->a);
    HostKeys_Destroy(f->b);
    HeaderList_Destroy(f->headers);
    g_byte_array_free(f->body, TRUE);
    Loop_Destroy(f->loop);
    Counters_Destroy(f->counters);
    Random_Destroy(f->random);
    Clock_Destroy(f->clock);
}

/* ---- tests ---------------------------------------------------------- */

static unsigned
count_fields(const HeaderList *headers, Str name)
{
    unsigned n = 0;
    Str other, value;

    for (size_t i = 0; i < HeaderList_Count(headers); i++) {
        HeaderList_At(headers, i, &other, &value);
        n += Str_Equal(other, name);
    }
    return n;
}

/* Guards against a response that comes back changed, an upstream that sees what
 * hosts tell each other, and another time for it than is left. */
static void
test_relayed(Fixture *f, gconstpointer data)
{
    f->version = "1";
    forward(f, "/safe/1");
    g_assert_true(f->complete);
    g_assert_cmpint(f->status, ==, 207);
    g_assert_cmpint(f->check, ==, 0);
    g_assert_cmpint(f->seal.outcome, ==, FORWARD_OUTCOME_RELAYED);
    g_assert_true(Str_Equal(Str_FromBytes(f->body), STR("result")));
    g_assert_true(Str_Equal(
        HeaderList_Get(f->headers, STR("agatecrank-attempt-id")), STR(ID)));
    g_assert_true(Str_Equal(
        HeaderList_Get(f->headers, STR("agatecrank-response-signature")),
        STR(ID ".u")));
    g_assert_true(HeaderList_Has(f->headers, STR("agatecrank-server-load")));
    g_assert_cmpuint(count_fields(f->headers, STR("set-cookie")), ==, 2);
    g_assert_cmpuint(f->runs, ==, 1);
    g_assert_cmpint(f->timeout_ms, <=, TIMEOUT_US / MICROS_PER_MS);
    g_assert_cmpint(f->timeout_ms, >, TIMEOUT_US / MICROS_PER_MS - 20);
}

/* Guards against a large response that is incomplete, or that is held in memory
 * while the other host does not read it. */
static void
test_large(Fixture *f, gconstpointer data)
{
    begin_forward(f, "/safe/large");
    while (f->received == 0) {
        Loop_RunOnce(f->loop);
    }
    g_assert_cmpint(f->status, ==, 200);
    HttpCall_PauseResponse(f->call, true);
    run_for(f, 500 * MICROS_PER_MS);
    g_assert_cmpuint(f->to_write, >, 0);
    HttpCall_PauseResponse(f->call, false);
    while (!f->complete && !f->failed) {
        Loop_RunOnce(f->loop);
    }
    g_assert_true(f->complete);
    g_assert_cmpint(f->check, ==, 0);
    g_assert_cmpuint(f->received, ==, LARGE_BYTES);
}

/* Guards against a response that breaks off at the upstream and looks complete
 * at the other host. */
static void
test_broken(Fixture *f, gconstpointer data)
{
    forward(f, "/safe/broken");
    g_assert_true(f->failed);
    g_assert_cmpuint(f->received, <, LARGE_BYTES);
}

/* Guards against a malformed response of another host, or the part of one
 * before a reset while the request is still being sent, that passes for a whole
 * response. */
static void
test_broken_peer(Fixture *f, gconstpointer data)
{
    static const ScriptedReply replies[] = {
        {.response = "HTTP/1.1 000 Trouble\r\ncontent-length: 0\r\n\r\n",
         .end = SCRIPTED_END_CLOSE},
        {.response = "HTTP/1.1 200 OK\r\n\r\npart",
         .end = SCRIPTED_END_RESET,
         .end_delay_us = 50000},
    };
    ScriptedUpstream *peer =
        ScriptedUpstream_Create(replies, G_N_ELEMENTS(replies));
    ListedHost host = listed(f->b, ScriptedUpstream_Port(peer));
    g_autofree char *text = g_strnfill(UPLOAD_BYTES, 'u');

    HostKeys_SetPeers(f->a, &host, 1);
    f->content = BodyBuffer_Create();
    BodyBuffer_Append(f->content, (Str){text, UPLOAD_BYTES});
    for (size_t i = 0; i < G_N_ELEMENTS(replies); i++) {
        f->failed = false;
        forward(f, "/safe/1");
        g_assert_true(f->failed);
        g_assert_false(f->complete);
    }
    g_assert_cmpuint(ScriptedUpstream_Requests(peer), ==, 2);
    BodyBuffer_Destroy(f->content);
    Loop_Close(f->loop);
    ScriptedUpstream_Destroy(peer);
}

/* Guards against an upstream that works on for a caller who has left the other
 * host. */
static void
test_cancelled(Fixture *f, gconstpointer data)
{
    begin_forward(f, "/safe/hang");
    while (f->runs == 0) {
        Loop_RunOnce(f->loop);
    }
    HttpCall_Cancel(f->call);
    while (f->aborted == 0) {
        Loop_RunOnce(f->loop);
    }
    g_assert_cmpuint(Gateway_OpenRequests(f->gateway), ==, 0);
    g_assert_cmpuint(Dispatcher_OpenJobs(f->dispatcher), ==, 0);
    g_assert_cmpuint(f->runs, ==, 1);
}

/* Guards against a request that is handled by an older configuration because it
 * goes over a host that has lost the store. */
static void
test_older_routes(Fixture *f, gconstpointer data)
{
    f->version = "2";
    forward(f, "/safe/1");
    g_assert_true(f->complete);
    g_assert_cmpint(f->status, ==, 503);
    g_assert_cmpint(f->check, ==, 0);
    g_assert_cmpint(f->seal.outcome, ==, FORWARD_OUTCOME_NOT_RUN);
    g_assert_cmpuint(f->runs, ==, 0);
}

/* Guards against a refusal that the other host can't tell from a failure. */
static void
test_not_run(Fixture *f, gconstpointer data)
{
    Dispatcher_RemoveUpstream(f->dispatcher, STR("u"));
    forward(f, "/safe/1");
    g_assert_true(f->complete);
    g_assert_cmpint(f->status, ==, 503);
    g_assert_cmpint(f->check, ==, 0);
    g_assert_cmpint(f->seal.outcome, ==, FORWARD_OUTCOME_NOT_RUN);
    g_assert_cmpuint(f->runs, ==, 0);
}

/* Guards against a host that forgets what an upstream says in the response to a
 * request of another host. */
static void
test_pause(Fixture *f, gconstpointer data)
{
    forward(f, "/safe/paused");
    g_assert_cmpint(f->status, ==, 503);
    g_assert_cmpint(f->seal.outcome, ==, FORWARD_OUTCOME_NOT_RUN);
    g_assert_cmpuint(
        Dispatcher_ExcludedCount(f->dispatcher, ELIGIBILITY_PAUSED), ==, 1);
}

static void
test_leaving(Fixture *f, gconstpointer data)
{
    forward(f, "/safe/leaving");
    g_assert_cmpint(f->status, ==, 207);
    g_assert_cmpint(f->check, ==, 0);
    g_assert_cmpint(f->seal.outcome, ==, FORWARD_OUTCOME_RELAYED);
    g_assert_cmpuint(
        Dispatcher_ExcludedCount(f->dispatcher, ELIGIBILITY_LEAVING), ==, 1);
    g_assert_true(Str_StartsWith(f->seal.reason, STR("leaving-")));
    /* As over the plain path. */
    g_assert_true(HeaderList_Has(f->headers, STR("server-leaving")));
}

/* Guards against a host that takes requests while it stops and then breaks them
 * off. */
static void
test_stopping(Fixture *f, gconstpointer data)
{
    begin_forward(f, "/safe/hang");
    while (f->runs == 0) {
        Loop_RunOnce(f->loop);
    }
    Gateway_StopListening(f->gateway);
    g_assert_cmpuint(Gateway_OpenRequests(f->gateway), ==, 1);
    HttpCall_Cancel(f->call);
    forward(f, "/safe/1");
    g_assert_true(f->failed);
    g_assert_cmpuint(f->runs, ==, 1);
}

/* Guards against a host that ends a request before the deadline that the first
 * host keeps. */
static void
test_deadline(Fixture *f, gconstpointer data)
{
    Micros begun;

    begin_forward(f, "/safe/hang");
    while (f->runs == 0) {
        Loop_RunOnce(f->loop);
    }
    begun = Clock_Now(f->clock);
    while (!f->complete && !f->failed) {
        Loop_RunOnce(f->loop);
    }
    g_assert_cmpint(f->status, ==, 504);
    g_assert_cmpint(Clock_Now(f->clock) - begun, >=,
                    f->timeout_ms * MICROS_PER_MS);
    g_assert_cmpint(f->timeout_ms, >, TIMEOUT_US / MICROS_PER_MS - 20);
}

#define ADD(path, test)                                                       \
    g_test_add(path, Fixture, NULL, set_up, test, tear_down)

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    ADD("/gateway-forward/relayed", test_relayed);
    ADD("/gateway-forward/large", test_large);
    ADD("/gateway-forward/broken", test_broken);
    ADD("/gateway-forward/broken-peer", test_broken_peer);
    ADD("/gateway-forward/cancelled", test_cancelled);
    ADD("/gateway-forward/deadline", test_deadline);
    ADD("/gateway-forward/not-run", test_not_run);
    ADD("/gateway-forward/older-routes", test_older_routes);
    ADD("/gateway-forward/pause-of-upstream", test_pause);
    ADD("/gateway-forward/leaving-upstream", test_leaving);
    ADD("/gateway-forward/stopping", test_stopping);
    return g_test_run();
}
