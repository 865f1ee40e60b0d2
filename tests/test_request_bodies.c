#include <arpa/inet.h>
#include <glib.h>
#include <linux/sockios.h>
#include <linux/tcp.h>
#include <string.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include "Gateway.h"
#include "GatewayFixture.h"
#include "HttpServer.h"
#include "PlatformDialect.h"

/* Large request bodies through a gateway to upstreams in the same loop. */

#define BODY_BYTES ((int64_t)48 * 1024 * 1024)
#define PART_BYTES 65536
/* Above one copy: buffers of this process and of the allocator. */
#define MEMORY_RATIO 1.5
#define TIMEOUT_US (60 * MICROS_PER_S)
#define RUN_TIME_MAX_US (120 * MICROS_PER_S)
/* What an upstream reads before it pauses, and for how long. */
#define READ_BYTES (4 * 1024 * 1024)
#define PAUSE_US (20 * MICROS_PER_MS)
#define PARTIAL_BYTES (BODY_BYTES / 2)
#define SHORT_BYTES 1000
#define UPSTREAM_COUNT 2
#define DESCRIPTORS_MAX 1024
/* Of a connection to an upstream that does not read. */
#define UNSENT_BYTES_MAX (512 * 1024)

typedef enum UpstreamKind_ {
    UPSTREAM_SLOW,
    UPSTREAM_BREAKING,   /* closes the first connection halfway */
    UPSTREAM_RESPONDING, /* responds halfway */
} UpstreamKind;

typedef struct Fixture_ {
    Clock *clock;
    Random *random;
    Counters *counters;
    Dispatcher *dispatcher;
    Loop *loop;
    Gateway *gateway;
    HttpClient *client;
    LoopTimer *guard;
    /* upstream */
    UpstreamKind kind;
    HttpServer *upstreams[UPSTREAM_COUNT];
    LoopTimer *resume_timer;
    HttpRequest *reading;
    unsigned requests;
    int64_t received; /* of the current body */
    int64_t received_until_pause;
    bool matches;
    int unsent_bytes_max;
    /* caller */
    HttpCall *call;
    unsigned calls;
    int64_t body_bytes;
    int64_t written;
    int status;
    bool complete;
    bool failed;
} Fixture;

static char
byte_at(int64_t i)
{
    return (char)(i * 7 + (i >> 8) * 31 + (i >> 16));
}

/* Peak resident size of the process in bytes. */
static int64_t
peak_bytes(void)
{
    g_autofree char *text = NULL;
    const char *line;

    g_assert_true(g_file_get_contents("/proc/self/status", &text, NULL, NULL));
    line = strstr(text, "VmHWM:");
    g_assert_nonnull(line);
    return (int64_t)g_ascii_strtoull(line + 6, NULL, 10) * 1024;
}

/* ---- upstream -------------------------------------------------------- */

/* Bytes that the system keeps for the connections of this process to @port. */
static int
unsent_bytes(uint16_t port)
{
    int sum = 0, bytes;

    for (int fd = 0; fd < DESCRIPTORS_MAX; fd++) {
        struct sockaddr_in address = {0};
        socklen_t length = sizeof(address);

        if (getpeername(fd, (struct sockaddr *)&address, &length) == 0 &&
            address.sin_family == AF_INET && ntohs(address.sin_port) == port &&
            ioctl(fd, SIOCOUTQ, &bytes) == 0) {
            sum += bytes;
        }
    }
    return sum;
}

static void
resume_reading(void *user)
{
    Fixture *f = user;

    f->unsent_bytes_max = MAX(f->unsent_bytes_max,
                              unsent_bytes(HttpServer_Port(f->upstreams[0])));
    if (f->reading != NULL) {
        HttpRequest_PauseBody(f->reading, false);
    }
}

static void
respond(HttpRequest *request)
{
    HeaderList *headers = HeaderList_Create();

    HeaderList_Add(headers, PLATFORM_DIALECT.attempt_id,
                   HeaderList_Get(HttpRequest_Headers(request),
                                  PLATFORM_DIALECT.attempt_id));
    HeaderList_Add(headers, PLATFORM_DIALECT.signature, STR("s"));
    HttpRequest_Respond(request, 200, headers, STR("ok"));
    HeaderList_Destroy(headers);
}

static void
upstream_request(void *user, HttpRequest *request)
{
    Fixture *f = user;

    f->requests++;
    f->received = 0;
    f->received_until_pause = 0;
    f->matches = true;
    f->reading = request;
}

static void
upstream_body(void *user, HttpRequest *request, Str data)
{
    Fixture *f = user;

    for (size_t i = 0; i < data.length; i++) {
        f->matches &= data.data[i] == byte_at(f->received + (int64_t)i);
    }
    f->received += (int64_t)data.length;
    f->received_until_pause += (int64_t)data.length;
    if (f->kind == UPSTREAM_BREAKING && f->requests == 1 &&
        f->received > PARTIAL_BYTES) {
        HttpRequest_Abort(request);
        return;
    }
    if (f->kind == UPSTREAM_RESPONDING && f->received > PARTIAL_BYTES) {
        f->reading = NULL;
        respond(request);
        return;
    }
    if (f->received_until_pause > READ_BYTES) {
        f->received_until_pause = 0;
        HttpRequest_PauseBody(request, true);
        LoopTimer_Start(f->resume_timer, PAUSE_US);
    }
}

static void
upstream_body_end(void *user, HttpRequest *request)
{
    Fixture *f = user;

    f->reading = NULL;
    g_assert_cmpint(f->received, ==, f->body_bytes);
    g_assert_true(f->matches);
    respond(request);
}

static void
upstream_drained(void *user, HttpRequest *request)
{
    (void)user;
}

static void
upstream_closed(void *user, HttpRequest *request, bool complete)
{
    Fixture *f = user;

    if (f->reading == request) {
        f->reading = NULL;
    }
}

/* ---- caller ---------------------------------------------------------- */

static void
on_headers(void *user, HttpCall *call, int status, const HeaderList *headers)
{
    ((Fixture *)user)->status = status;
}

static void
on_data(void *user, HttpCall *call, Str data)
{
    (void)user;
}

static void
on_drained(void *user, HttpCall *call)
{
    Fixture *f = user;
    char part[PART_BYTES];
    size_t n = (size_t)MIN(f->body_bytes - f->written, PART_BYTES);

    for (size_t i = 0; i < n; i++) {
        part[i] = byte_at(f->written + (int64_t)i);
    }
    f->written += (int64_t)n;
    HttpCall_WriteBody(call, (Str){part, n});
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

static void
call_once(Fixture *f, int64_t body_bytes)
{
    static const HttpCallHandlers handlers = {
        on_headers, on_data, on_drained, on_complete, on_failed,
    };
    HeaderList *headers = HeaderList_Create();
    HttpCallSpec spec = {
        .address = "127.0.0.1",
        .port = Gateway_Port(f->gateway),
        .method = STR("PUT"),
        .path = STR("/safe/x"),
        .headers = headers,
        .content_length = body_bytes,
    };
    char id[16];

    /* A connection to an upstream carries each id once. */
    g_snprintf(id, sizeof(id), "%u", ++f->calls);
    HeaderList_Add(headers, STR("host"), STR("a.example"));
    HeaderList_Add(headers, PLATFORM_DIALECT.attempt_id, Str_FromC(id));
    f->body_bytes = body_bytes;
    f->written = 0;
    f->status = 0;
    f->complete = false;
    f->failed = false;
    f->call = HttpClient_Start(f->client, &spec, &handlers, f, NULL);
    HeaderList_Destroy(headers);
    g_assert_nonnull(f->call);
    on_drained(f, f->call);
    while (!f->complete && !f->failed) {
        Loop_RunOnce(f->loop);
    }
}

/* ---- fixture --------------------------------------------------------- */

static void
on_guard(void *user)
{
    g_error("the run did not end in time");
}

static void
add_upstream(Fixture *f, unsigned i)
{
    static const HttpServerHandlers handlers = {
        upstream_request, upstream_body,   upstream_body_end,
        upstream_drained, upstream_closed,
    };
    HttpServerOptions options = {.address = "127.0.0.1", .keep_alive_s = 60};
    char id[8];
    UpstreamEntry entry;

    f->upstreams[i] = HttpServer_Create(f->loop, &options, &handlers, f, NULL);
    g_assert_nonnull(f->upstreams[i]);
    g_snprintf(id, sizeof(id), "u%u", i);
    entry = GatewayFixture_Upstream(id, HttpServer_Port(f->upstreams[i]), 100);
    entry.address = STR("127.0.0.1");
    Dispatcher_PutUpstream(f->dispatcher, &entry);
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
    };
    GatewayOptions gateway = {
        .address = "127.0.0.1",
        .dialect = &PLATFORM_DIALECT,
        .connections_max = 4,
    };
    HttpClientOptions client = {.max_connections = 4};
    CallerLimits limits = {0};
    RouteTable *table = RouteTable_Create(1, &limits);

    f->kind = (UpstreamKind)GPOINTER_TO_INT(data);
    f->clock = Clock_CreateSystem();
    f->random = Random_Create(5);
    f->counters = Counters_Create(100);
    f->dispatcher = Dispatcher_Create(&options, f->clock, f->random, NULL,
                                      NULL, f->counters);
    f->loop = Loop_Create(f->clock, NULL, NULL);
    f->gateway =
        Gateway_Create(f->loop, f->dispatcher, f->counters, &gateway, NULL);
    g_assert_nonnull(f->gateway);
    f->client = HttpClient_Create(f->loop, &client);
    f->guard = LoopTimer_Create(f->loop, on_guard, f);
    LoopTimer_Start(f->guard, RUN_TIME_MAX_US);
    f->resume_timer = LoopTimer_Create(f->loop, resume_reading, f);
    GatewayFixture_AddRoute(table, "/safe/", ROUTE_IDEMPOTENT, 2, TIMEOUT_US,
                            TIMEOUT_US);
    g_assert_cmpint(Dispatcher_SetRoutes(f->dispatcher, table), ==, 0);
    RouteTable_Unref(table);
    add_upstream(f, 0);
    if (f->kind == UPSTREAM_BREAKING) {
        add_upstream(f, 1);
    }
}

static void
tear_down(Fixture *f, gconstpointer data)
{
    LoopTimer_Destroy(f->guard);
    Loop_Close(f->loop);
    HttpClient_Destroy(f->client);
    Gateway_Destroy(f->gateway);
    HttpServer_Destroy(f->upstreams[0]);
    HttpServer_Destroy(f->upstreams[1]);
    LoopTimer_Destroy(f->resume_timer);
    Dispatcher_Destroy(f->dispatcher);
    Loop_Destroy(f->loop);
    Counters_Destroy(f->counters);
    Random_Destroy(f->random);
    Clock_Destroy(f->clock);
}

/* ---- tests ----------------------------------------------------------- */

/* Guards against several copies of a body, and against one that is changed on
 * its way to an upstream that reads slowly. */
static void
test_slow_upstream(Fixture *f, gconstpointer data)
{
    int64_t before = peak_bytes(), kept;

    call_once(f, BODY_BYTES);
    kept = peak_bytes() - before;
    g_test_message("body_kb=%" G_GINT64_FORMAT " kept_kb=%" G_GINT64_FORMAT
                   " unsent_bytes=%d",
                   BODY_BYTES / 1024, kept / 1024, f->unsent_bytes_max);
    g_assert_true(f->complete);
    g_assert_cmpint(f->status, ==, 200);
    g_assert_cmpint(kept, <, (int64_t)(MEMORY_RATIO * (double)BODY_BYTES));
    g_assert_cmpint(f->unsent_bytes_max, >, 0);
    g_assert_cmpint(f->unsent_bytes_max, <, UNSENT_BYTES_MAX);
    /* The connection can be used again. */
    call_once(f, SHORT_BYTES);
    g_assert_cmpint(f->status, ==, 200);
    g_assert_cmpuint(HttpServer_AcceptedCount(f->upstreams[0]), ==, 1);
}

/* Guards against a second attempt that lacks what the first has sent. */
static void
test_second_attempt(Fixture *f, gconstpointer data)
{
    call_once(f, BODY_BYTES);
    g_assert_true(f->complete);
    g_assert_cmpint(f->status, ==, 200);
    g_assert_cmpuint(f->requests, ==, 2);
}

/* Guards against a connection that is used again though the upstream has
 * responded without the rest of the body. */
static void
test_early_response(Fixture *f, gconstpointer data)
{
    call_once(f, BODY_BYTES);
    g_assert_true(f->complete);
    g_assert_cmpint(f->status, ==, 200);
    g_assert_cmpint(f->received, <, BODY_BYTES);
    call_once(f, SHORT_BYTES);
    g_assert_true(f->complete);
    g_assert_cmpint(f->status, ==, 200);
    g_assert_cmpuint(f->requests, ==, 2);
    g_assert_cmpuint(HttpServer_AcceptedCount(f->upstreams[0]), ==, 2);
}

/* Guards against a packet more for each request with a small body. */
static void
test_small_body(void)
{
    static const HttpCallHandlers handlers = {
        on_headers, on_data, on_drained, on_complete, on_failed,
    };
    HttpClientOptions options = {.max_connections = 1};
    HttpCallSpec spec = {.address = "127.0.0.1",
                         .method = STR("PUT"),
                         .path = STR("/"),
                         .content_length = SHORT_BYTES};
    struct sockaddr_in address = {.sin_family = AF_INET};
    socklen_t length = sizeof(address);
    Fixture f = {.clock = Clock_CreateSystem()};
    int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    BodyBuffer *body = BodyBuffer_Create();
    struct tcp_info info = {0};
    int peer;

    f.loop = Loop_Create(f.clock, NULL, NULL);
    f.client = HttpClient_Create(f.loop, &options);
    for (int i = 0; i < SHORT_BYTES; i++) {
        BodyBuffer_Append(body, STR("x"));
    }
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    g_assert_cmpint(
        bind(listener, (struct sockaddr *)&address, sizeof(address)), ==, 0);
    g_assert_cmpint(listen(listener, 1), ==, 0);
    getsockname(listener, (struct sockaddr *)&address, &length);
    spec.port = ntohs(address.sin_port);
    spec.content = body;
    f.call = HttpClient_Start(f.client, &spec, &handlers, &f, NULL);
    g_assert_nonnull(f.call);
    while (!HttpCall_MaybeSent(f.call) || HttpCall_Buffered(f.call) > 0) {
        Loop_RunOnce(f.loop);
    }
    peer = accept(listener, NULL, NULL);
    g_assert_cmpint(recv(peer, &(char){0}, 1, 0), ==, 1);
    length = sizeof(info);
    g_assert_cmpint(getsockopt(peer, IPPROTO_TCP, TCP_INFO, &info, &length),
                    ==, 0);
    g_assert_cmpuint(info.tcpi_bytes_received, >, SHORT_BYTES);
    g_assert_cmpuint(info.tcpi_data_segs_in, ==, 1);
    HttpCall_Cancel(f.call);
    Loop_Close(f.loop);
    HttpClient_Destroy(f.client);
    Loop_Destroy(f.loop);
    Clock_Destroy(f.clock);
    BodyBuffer_Destroy(body);
    close(peer);
    close(listener);
}

#define ADD(path, kind, test)                                                 \
    g_test_add(path, Fixture, GINT_TO_POINTER(kind), set_up, test, tear_down)

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    ADD("/gateway/request-bodies/slow-upstream", UPSTREAM_SLOW,
        test_slow_upstream);
    ADD("/gateway/request-bodies/second-attempt", UPSTREAM_BREAKING,
        test_second_attempt);
    ADD("/gateway/request-bodies/early-response", UPSTREAM_RESPONDING,
        test_early_response);
    g_test_add_func("/gateway/request-bodies/small-body", test_small_body);
    return g_test_run();
}
