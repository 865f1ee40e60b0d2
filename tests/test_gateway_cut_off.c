#include <arpa/inet.h>
#include <glib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "ForwardServer.h"
#include "Gateway.h"
#include "GatewayFixture.h"
#include "PlatformDialect.h"

#define TIMEOUT_MS "3000"
/* TIMEOUT_MS less the time for the way between caller and host. */
#define DEADLINE_US (2980 * MICROS_PER_MS)
#define ID "17"
#define LARGE_BYTES ((size_t)1024 * 1024)
#define PART_BYTES ((size_t)64 * 1024)

/* What the peer answers. */
typedef enum Answer_ {
    ANSWER_RELAYED,
    ANSWER_LEAVING,
    ANSWER_PAUSE,
    ANSWER_FULL,
    ANSWER_UNSEALED,
    ANSWER_OTHER_SEQUENCE,
    ANSWER_OTHER_STATUS,
    ANSWER_OTHER_ATTEMPT,
    ANSWER_UNSIGNED,
    ANSWER_NOT_RUN,
    ANSWER_UNSEALED_NOT_RUN,
    ANSWER_FAILED,
    ANSWER_LARGE,
    ANSWER_BROKEN,
    ANSWER_NONE,
} Answer;

/* Host "a" reaches no upstream. Host "b" is played by the test. */
typedef struct Fixture_ {
    Clock *clock;
    Random *random;
    Loop *loop;
    Counters *counters;
    HostKeys *a;
    HostKeys *b;
    Dispatcher *dispatcher;
    Gateway *gateway;
    HttpServer *peer;
    HttpClient *caller;
    LoopTimer *guard;
    HttpRequest *open; /* at the peer, without a complete response */
    size_t to_write;
    Answer answer;
    char reason[32];   /* in the seal of ANSWER_LEAVING */
    unsigned received; /* by the peer */
    unsigned aborted;  /* requests that were closed at the peer */
    HeaderList *headers;
    GString *body; /* its beginning */
    size_t length;
    HttpCall *call;
    int status;
    bool complete;
    bool failed;
    Micros peer_deadline; /* of the last request that the peer has got */
} Fixture;

/* ---- the peer ------------------------------------------------------- */

static void
add_seal(const Fixture *f, const HttpRequest *request, ForwardOutcome outcome,
         int status, HeaderList *headers)
{
    const HostPeer *a = HostKeys_Find(f->b, STR("a"));
    ForwardResponseSeal seal = {.outcome = outcome};
    ForwardResponseHead head = {0, status, headers};
    ForwardRequestSeal sent;
    GString *text = g_string_new(NULL);

    g_assert_cmpint(
        ForwardRequestSeal_Parse(
            HeaderList_Get(HttpRequest_Headers(request), STR(FORWARD_FIELD)),
            &sent),
        ==, 0);
    head.sequence = sent.sequence + (f->answer == ANSWER_OTHER_SEQUENCE);
    head.status += f->answer == ANSWER_OTHER_STATUS;
    if (f->answer == ANSWER_LEAVING) {
        seal.reason = Str_FromC(f->reason);
    }
    if (outcome != FORWARD_OUTCOME_RELAYED) {
        seal.reason =
            f->answer == ANSWER_FULL ? STR("upstream-full") : STR("cut-off");
    }
    ForwardResponseSeal_Mac(&seal, &head, a->keys.sent_response, seal.mac);
    ForwardResponseSeal_Format(&seal, text);
    HeaderList_Add(headers, STR(FORWARD_FIELD), Str_FromString(text));
    g_string_free(text, TRUE);
}

static void
peer_request(void *user, HttpRequest *request)
{
    Fixture *f = user;
    Str timeout = HeaderList_Get(HttpRequest_Headers(request),
                                 STR("agatecrank-timeout-ms"));
    uint64_t ms;

    g_assert_cmpint(Str_ParseU64(timeout, &ms), ==, 0);
    /* The version of the routes is this host's, not what the caller says. */
    g_assert_true(Str_Equal(HeaderList_Get(HttpRequest_Headers(request),
                                           STR(FORWARD_VERSION_FIELD)),
                            STR("1")));
    f->peer_deadline = Clock_Now(f->clock) + (Micros)ms * MICROS_PER_MS;
}

static void
peer_body(void *user, HttpRequest *request, Str data)
{
}

static HeaderList *
response_headers(const Fixture *f)
{
    HeaderList *headers = HeaderList_Create();

    HeaderList_Add(headers, STR("agatecrank-attempt-id"),
                   f->answer == ANSWER_OTHER_ATTEMPT ? STR("18") : STR(ID));
    if (f->answer == ANSWER_LEAVING) {
        HeaderList_Add(headers, STR("server-leaving"), STR("1"));
    }
    if (f->answer != ANSWER_UNSIGNED) {
        HeaderList_Add(headers, STR("agatecrank-response-signature"),
                       STR(ID ".u"));
    }
    return headers;
}

static void
respond_relayed(Fixture *f, HttpRequest *request)
{
    HeaderList *headers = response_headers(f);
    int status = f->answer == ANSWER_PAUSE ? 503 : 200;

    if (f->answer == ANSWER_PAUSE) {
        HeaderList_Add(headers, STR("retry-after"), STR("30"));
    }
    if (f->answer != ANSWER_UNSEALED) {
        add_seal(f, request, FORWARD_OUTCOME_RELAYED, status, headers);
    }
    if (f->answer == ANSWER_LARGE || f->answer == ANSWER_BROKEN) {
        f->open = request;
        f->to_write = LARGE_BYTES;
        HttpRequest_StartResponse(request, 200, headers, LARGE_BYTES);
    }
    else {
        HttpRequest_Respond(request, status, headers, STR("result"));
    }
    HeaderList_Destroy(headers);
}

static void
respond_of_own(Fixture *f, HttpRequest *request)
{
    HeaderList *headers = HeaderList_Create();
    int status = f->answer == ANSWER_FAILED ? 502 : 503;

    if (f->answer == ANSWER_FULL) {
        HeaderList_Add(headers, STR("agatecrank-attempt-id"), STR(ID));
        HeaderList_Add(headers, STR("server-leaving"), STR("1"));
        HeaderList_Add(headers, STR("retry-after"), STR("30"));
    }
    if (f->answer == ANSWER_UNSEALED_NOT_RUN) {
        HeaderList_Add(headers, STR("agatecrank-not-executed"), STR("1"));
    }
    else {
        add_seal(f, request,
                 f->answer == ANSWER_FAILED ? FORWARD_OUTCOME_UNKNOWN
                                            : FORWARD_OUTCOME_NOT_RUN,
                 status, headers);
    }
    HttpRequest_Respond(request, status, headers, STR("{}"));
    HeaderList_Destroy(headers);
}

static void
peer_body_end(void *user, HttpRequest *request)
{
    Fixture *f = user;

    f->received++;
    switch (f->answer) {
    case ANSWER_FULL:
    case ANSWER_NOT_RUN:
    case ANSWER_UNSEALED_NOT_RUN:
    case ANSWER_FAILED:
        respond_of_own(f, request);
        break;
    case ANSWER_NONE:
        break;
    default:
        respond_relayed(f, request);
        break;
    }
}

static void
peer_drained(void *user, HttpRequest *request)
{
    static char part[PART_BYTES];
    Fixture *f = user;
    size_t n = MIN(f->to_write, PART_BYTES);

    if (f->open != request) {
        return;
    }
    if (f->answer == ANSWER_BROKEN && f->to_write < LARGE_BYTES / 4) {
        HttpRequest_Abort(request);
        return;
    }
    memset(part, 'x', n);
    HttpRequest_Write(request, (Str){part, n});
    f->to_write -= n;
    if (f->to_write == 0) {
        f->open = NULL;
        HttpRequest_Finish(request);
    }
}

static void
peer_closed(void *user, HttpRequest *request, bool complete)
{
    Fixture *f = user;

    f->aborted += !complete;
    if (f->open == request) {
        f->open = NULL;
    }
}

/* ---- the caller ----------------------------------------------------- */

static void
on_headers(void *user, HttpCall *call, int status, const HeaderList *headers)
{
    Fixture *f = user;

    f->status = status;
    HeaderList_CopyAll(headers, f->headers);
}

static void
on_data(void *user, HttpCall *call, Str data)
{
    Fixture *f = user;

    f->length += data.length;
    if (f->body->len < 1000) {
        Str_AppendTo(data, f->body);
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
begin_call(Fixture *f, const char *path, Str body)
{
    HeaderList *headers = HeaderList_Create();
    HttpCallSpec spec = {.address = "127.0.0.1",
                         .port = Gateway_Port(f->gateway),
                         .method = STR("POST"),
                         .path = Str_FromC(path),
                         .headers = headers,
                         .content_length = (int64_t)body.length,
                         .body = body,
                         .new_connection = true};

    HeaderList_Add(headers, STR("host"), GATEWAY_FIXTURE_HOST);
    HeaderList_Add(headers, STR("agatecrank-attempt-id"), STR(ID));
    HeaderList_Add(headers, STR("agatecrank-timeout-ms"), STR(TIMEOUT_MS));
    HeaderList_Add(headers, STR(FORWARD_FIELD), STR("of the caller"));
    HeaderList_Add(headers, STR(FORWARD_VERSION_FIELD), STR("99"));
    f->complete = f->failed = false;
    f->status = 0;
    f->length = 0;
    g_string_truncate(f->body, 0);
    HeaderList_Destroy(f->headers);
    f->headers = HeaderList_Create();
    f->call = HttpClient_Start(f->caller, &spec, &call_handlers, f, NULL);
    g_assert_nonnull(f->call);
    HeaderList_Destroy(headers);
}

static void
call(Fixture *f, const char *path, Answer answer)
{
    f->answer = answer;
    begin_call(f, path, STR("some body"));
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
create_peer(Fixture *f)
{
    static const HttpServerHandlers handlers = {
        peer_request, peer_body, peer_body_end, peer_drained, peer_closed,
    };
    HttpServerOptions options = {.address = "127.0.0.1", .keep_alive_s = 30};
    ListedHost host;

    f->peer = HttpServer_Create(f->loop, &options, &handlers, f, NULL);
    g_assert_nonnull(f->peer);
    f->a = HostKeys_Create(STR("a"), f->clock, NULL);
    f->b = HostKeys_Create(STR("b"), f->clock, NULL);
    host = listed(f->a, 1);
    HostKeys_SetPeers(f->b, &host, 1);
    host = listed(f->b, HttpServer_Port(f->peer));
    HostKeys_SetPeers(f->a, &host, 1);
}

/* A port without a listener. */
static uint16_t
closed_port(void)
{
    struct sockaddr_in address = {.sin_family = AF_INET};
    socklen_t length = sizeof(address);
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    g_assert_cmpint(bind(fd, (struct sockaddr *)&address, length), ==, 0);
    getsockname(fd, (struct sockaddr *)&address, &length);
    close(fd);
    return ntohs(address.sin_port);
}

static void
add_routes(Fixture *f)
{
    CallerLimits limits = {0};
    RouteTable *table = RouteTable_Create(1, &limits);

    RouteTable_AddService(table, GATEWAY_FIXTURE_SERVICE, STR("/health"));
    GatewayFixture_AddRoute(table, "/safe/", ROUTE_IDEMPOTENT, 1,
                            300 * MICROS_PER_MS, 3 * MICROS_PER_S);
    GatewayFixture_AddRoute(table, "/once/", ROUTE_AT_MOST_ONCE, 1,
                            300 * MICROS_PER_MS, 3 * MICROS_PER_S);
    g_assert_cmpint(Dispatcher_SetRoutes(f->dispatcher, table), ==, 0);
    RouteTable_Unref(table);
}

static void
create_gateway(Fixture *f)
{
    static const char *const upstreams[] = {"u", "v", "w", "x", "y", "z"};
    DispatcherOptions dispatcher = {.host = STR("a"),
                                    .domain = STR("d"),
                                    .retry_window = 10 * MICROS_PER_S,
                                    .retry_share = 0.2,
                                    .retry_extra = 20,
                                    .probes_per_s = 60,
                                    .outage_grace = MICROS_PER_S};
    GatewayOptions options = {.address = "127.0.0.1",
                              .dialect = &PLATFORM_DIALECT,
                              .connections_max = 8,
                              .reuse_idle = MICROS_PER_S,
                              .forward = {"127.0.0.1", 0},
                              .keys = f->a};
    PeerInfo peer = {STR("b"), STR("d")};

    f->dispatcher = Dispatcher_Create(&dispatcher, f->clock, f->random, NULL,
                                      NULL, f->counters);
    f->gateway =
        Gateway_Create(f->loop, f->dispatcher, f->counters, &options, NULL);
    g_assert_nonnull(f->gateway);
    add_routes(f);
    for (size_t i = 0; i < G_N_ELEMENTS(upstreams); i++) {
        UpstreamEntry entry =
            GatewayFixture_Upstream(upstreams[i], closed_port(), 4);

        entry.address = STR("127.0.0.1");
        Dispatcher_PutUpstream(f->dispatcher, &entry);
    }
    Dispatcher_SetSourceReachable(f->dispatcher, true, 0);
    Dispatcher_SetPeers(f->dispatcher, &peer, 1);
}

static void
set_up(Fixture *f, gconstpointer data)
{
    HttpClientOptions client = {.max_connections = 4};

    f->clock = Clock_CreateSystem();
    f->random = Random_Create(3);
    f->loop = Loop_Create(f->clock, NULL, NULL);
    f->counters = Counters_Create(100);
    f->headers = HeaderList_Create();
    f->body = g_string_new(NULL);
    create_peer(f);
    create_gateway(f);
    f->caller = HttpClient_Create(f->loop, &client);
    f->guard = LoopTimer_Create(f->loop, fail_test, f);
    LoopTimer_Start(f->guard, 20 * MICROS_PER_S);
    while (!Dispatcher_IsCutOff(f->dispatcher)) {
        call(f, "/safe/1", ANSWER_RELAYED);
    }
    f->received = 0;
}

static void
tear_down(Fixture *f, gconstpointer data)
{
    Loop_Close(f->loop);
    LoopTimer_Destroy(f->guard);
    Gateway_Destroy(f->gateway);
    Dispatcher_Destroy(f->dispatcher);
    HttpClient_Destroy(f->caller);
    HttpServer_Destroy(f->peer);
    HostKeys_Destroy(f->a);
    HostKeys_Destroy(f->b);
    HeaderList_Destroy(f->headers);
    g_string_free(f->body, TRUE);
    Loop_Destroy(f->loop);
    Counters_Destroy(f->counters);
    Random_Destroy(f->random);
    Clock_Destroy(f->clock);
}

/* ---- tests ---------------------------------------------------------- */

/* Guards against callers that are not served, or see what hosts tell each
 * other. */
static void
test_served(Fixture *f, gconstpointer data)
{
    call(f, "/once/1", ANSWER_RELAYED);
    g_assert_true(f->complete);
    g_assert_cmpint(f->status, ==, 200);
    g_assert_cmpstr(f->body->str, ==, "result");
    g_assert_false(HeaderList_Has(f->headers, STR(FORWARD_FIELD)));
    g_assert_true(
        HeaderList_Has(f->headers, STR("agatecrank-response-signature")));
    g_assert_cmpuint(f->received, ==, 1);
}

/* Guards against a peer that ends a request before the deadline that this host
 * keeps. */
static void
test_deadline_of_peer(Fixture *f, gconstpointer data)
{
    Micros begun = Clock_Now(f->clock);

    call(f, "/once/1", ANSWER_RELAYED);
    g_assert_cmpint(f->status, ==, 200);
    g_assert_cmpint(f->peer_deadline, >=, begun + DEADLINE_US);
}

/* Guards against responses that the peer did not give, or gave to another
 * request, and against such that are not an upstream's. Nothing is told about
 * the execution, so the request is not sent again. */
static void
test_not_used(Fixture *f, gconstpointer data)
{
    Answer answer = (Answer)GPOINTER_TO_INT(data);

    call(f, "/once/1", answer);
    g_assert_true(f->complete);
    g_assert_cmpint(f->status, >=, 500);
    g_assert_cmpint(f->status, !=, 503);
    g_assert_false(
        HeaderList_Has(f->headers, STR("agatecrank-response-signature")));
    g_assert_cmpuint(f->received, ==, 1);
}

/* Guards against a caller who is told that a request may have run that did not
 * run. */
static void
test_not_run(Fixture *f, gconstpointer data)
{
    call(f, "/once/1", ANSWER_NOT_RUN);
    g_assert_true(f->complete);
    g_assert_cmpint(f->status, ==, 503);
    g_assert_cmpuint(f->received, ==, 1);
}

static void
assert_no_notice(const Fixture *f)
{
    g_assert_cmpuint(
        Dispatcher_ExcludedCount(f->dispatcher, ELIGIBILITY_LEAVING), ==, 0);
    g_assert_cmpuint(
        Dispatcher_ExcludedCount(f->dispatcher, ELIGIBILITY_PAUSED), ==, 0);
}

/* Guards against what an upstream of a peer says being held against the peer or
 * an upstream of this host. */
static void
test_notice_over_peer(Fixture *f, gconstpointer data)
{
    call(f, "/once/1", ANSWER_LEAVING);
    g_assert_cmpint(f->status, ==, 200);
    /* As over the plain path. */
    g_assert_true(HeaderList_Has(f->headers, STR("server-leaving")));
    assert_no_notice(f);
    call(f, "/once/1", ANSWER_FULL);
    g_assert_cmpint(f->status, ==, 503);
    g_assert_false(HeaderList_Has(f->headers, STR("server-leaving")));
    assert_no_notice(f);
    call(f, "/once/1", ANSWER_RELAYED);
    g_assert_cmpint(f->status, ==, 200);
    call(f, "/once/1", ANSWER_PAUSE);
    g_assert_cmpint(f->status, ==, 502);
    g_assert_false(HeaderList_Has(f->headers, STR("retry-after")));
    assert_no_notice(f);
    g_assert_cmpuint(f->received, ==, 4);
}

/* Guards against a host that has passed on that an upstream leaves and sends
 * requests there once it reaches it again. */
static void
test_leaving_over_peer(Fixture *f, gconstpointer data)
{
    static const char *const malformed[] = {
        "leaving-", "leaving-x", "leaving-0", "leaving-4294967296", "left-1"};
    uint32_t instance = (uint32_t)Str_HashSeeded(STR("v"), 1) | 1;

    for (size_t i = 0; i < G_N_ELEMENTS(malformed); i++) {
        g_strlcpy(f->reason, malformed[i], sizeof(f->reason));
        call(f, "/once/1", ANSWER_LEAVING);
        g_assert_cmpint(f->status, ==, 200);
        assert_no_notice(f);
    }
    g_snprintf(f->reason, sizeof(f->reason), "leaving-%u", instance ^ 2);
    call(f, "/once/1", ANSWER_LEAVING);
    assert_no_notice(f);
    g_snprintf(f->reason, sizeof(f->reason), "leaving-%u", instance);
    call(f, "/once/1", ANSWER_LEAVING);
    g_assert_cmpint(f->status, ==, 200);
    g_assert_cmpuint(
        Dispatcher_ExcludedCount(f->dispatcher, ELIGIBILITY_LEAVING), ==, 1);
}

/* Guards against a peer that is gone and keeps a request that nobody got. */
static void
test_unsent(Fixture *f, gconstpointer data)
{
    ListedHost host = listed(f->b, closed_port());

    HostKeys_SetPeers(f->a, &host, 1);
    call(f, "/once/1", ANSWER_RELAYED);
    g_assert_true(f->complete);
    g_assert_cmpint(f->status, ==, 503);
    HostKeys_SetPeers(f->a, NULL, 0);
    call(f, "/once/1", ANSWER_RELAYED);
    g_assert_cmpint(f->status, ==, 503);
    g_assert_cmpuint(f->received, ==, 0);
}

/* Guards against a large body that makes a peer count as unreachable. */
static void
test_large_request(Fixture *f, gconstpointer data)
{
    GString *body = g_string_new(NULL);

    g_string_set_size(body, FORWARD_BODY_MAX_BYTES + 1);
    memset(body->str, 'x', body->len);
    begin_call(f, "/once/1", Str_FromString(body));
    while (!f->complete && !f->failed) {
        Loop_RunOnce(f->loop);
    }
    g_assert_cmpint(f->status, ==, 503);
    g_assert_cmpuint(f->received, ==, 0);
    call(f, "/once/1", ANSWER_RELAYED);
    g_assert_cmpint(f->status, ==, 200);
    g_string_free(body, TRUE);
}

/* Guards against a large response that is incomplete, and one that breaks off
 * and looks complete. */
static void
test_large_response(Fixture *f, gconstpointer data)
{
    call(f, "/once/1", ANSWER_LARGE);
    g_assert_true(f->complete);
    g_assert_cmpint(f->status, ==, 200);
    g_assert_cmpuint(f->length, ==, LARGE_BYTES);
    call(f, "/once/1", ANSWER_BROKEN);
    g_assert_true(f->failed);
    g_assert_cmpint(f->status, ==, 200);
    g_assert_cmpuint(f->length, <, LARGE_BYTES);
}

/* Guards against a peer that works on for a caller who has left. */
static void
test_caller_leaves(Fixture *f, gconstpointer data)
{
    f->answer = ANSWER_NONE;
    begin_call(f, "/once/1", STR("some body"));
    while (f->received == 0) {
        Loop_RunOnce(f->loop);
    }
    HttpCall_Cancel(f->call);
    while (f->aborted == 0) {
        Loop_RunOnce(f->loop);
    }
    g_assert_cmpuint(Dispatcher_OpenJobs(f->dispatcher), ==, 0);
    g_assert_cmpuint(f->received, ==, 1);
}

/* Guards against a request that is held past its deadline by a silent peer. */
static void
test_silent_peer(Fixture *f, gconstpointer data)
{
    call(f, "/once/1", ANSWER_NONE);
    g_assert_true(f->complete);
    g_assert_cmpint(f->status, ==, 504);
    while (f->aborted == 0) {
        Loop_RunOnce(f->loop);
    }
    g_assert_cmpuint(f->received, ==, 1);
}

#define ADD(path, test)                                                       \
    g_test_add(path, Fixture, NULL, set_up, test, tear_down)
#define ADD_NOT_USED(path, answer)                                            \
    g_test_add(path, Fixture, GINT_TO_POINTER(answer), set_up, test_not_used, \
               tear_down)

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    ADD("/cut-off/served", test_served);
    ADD("/cut-off/deadline-of-peer", test_deadline_of_peer);
    ADD_NOT_USED("/cut-off/unsealed", ANSWER_UNSEALED);
    ADD_NOT_USED("/cut-off/other-sequence", ANSWER_OTHER_SEQUENCE);
    ADD_NOT_USED("/cut-off/other-status", ANSWER_OTHER_STATUS);
    ADD_NOT_USED("/cut-off/other-attempt", ANSWER_OTHER_ATTEMPT);
    ADD_NOT_USED("/cut-off/unsigned", ANSWER_UNSIGNED);
    ADD_NOT_USED("/cut-off/unsealed-not-run", ANSWER_UNSEALED_NOT_RUN);
    ADD_NOT_USED("/cut-off/failed", ANSWER_FAILED);
    ADD("/cut-off/not-run", test_not_run);
    ADD("/cut-off/notice-over-peer", test_notice_over_peer);
    ADD("/cut-off/leaving-over-peer", test_leaving_over_peer);
    ADD("/cut-off/unsent", test_unsent);
    ADD("/cut-off/large-request", test_large_request);
    ADD("/cut-off/large-response", test_large_response);
    ADD("/cut-off/caller-leaves", test_caller_leaves);
    ADD("/cut-off/silent-peer", test_silent_peer);
    return g_test_run();
}
