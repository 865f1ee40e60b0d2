#include <arpa/inet.h>
#include <glib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include "Balancer.h"
#include "ClaimFollower.h"
#include "ConfigFixture.h"
#include "Gateway.h"
#include "GatewayFixture.h"
#include "HttpFetch.h"
#include "HttpServer.h"
#include "LogClient.h"
#include "PlatformDialect.h"
#include "Proxy.h"
#include "Socket.h"
#include "StoreClient.h"

/* Upstreams whose responses do not end, in the same loop as the gateway. */

#define BLOCK_BYTES 65536
/* Send buffer of an upstream: what it has sent was nearly all received. */
#define SEND_BUFFER_BYTES 65536
/* Of connections to upstreams and of callers that stall. The system raises a
 * receive buffer up to tcp_rmem unless it is set. */
#define RECEIVE_BUFFER_BYTES 65536
#define DESCRIPTORS_MAX 1024
#define TRICKLE_INTERVAL_US (5 * MICROS_PER_MS)
#define TIMEOUT_US (400 * MICROS_PER_MS)
#define LONG_TIMEOUT_US (5 * MICROS_PER_S)
/* An upstream goes silent after this, so that a run that fails cannot exhaust
 * the memory of the machine. */
#define SENT_BYTES_MAX (256 * 1024 * 1024)
#define RUN_TIME_MAX_US (20 * MICROS_PER_S)
/* Bounds what is received of a response that is given up, with the buffers of
 * the kernel. */
#define GIVEN_UP_BYTES_MAX (8 * 1024 * 1024)
/* The same while a caller does not read, from the beginning of the response to
 * its end. */
#define STALLED_BYTES_MAX (2 * 1024 * 1024)
/* Of the log of one request. */
#define LINES_BYTES_MAX 2048
#define IDENTITY                                                              \
    "Agatecrank-Attempt-Id: %s\r\n"                                           \
    "Agatecrank-Response-Signature: s\r\n"

typedef struct Fixture_ Fixture;

/* Response of an upstream: the head, with the request's id, and then the part,
 * @parts times; 0 for endless. */
typedef struct Script_ {
    const char *name;
    const char *head;
    const char *part;
    uint64_t parts;
    size_t burst; /* bytes of parts before a trickle */
    bool blocks;  /* the part is repeated up to BLOCK_BYTES */
    bool trickle; /* a byte at a time */
    bool slow;    /* with a pause after each part */
    bool close;
    bool reset; /* instead of a close */
} Script;

typedef struct Peer_ {
    Fixture *fixture;
    const Script *script;
    const Script *probe_script; /* NULL for the same */
    int listener;
    uint16_t port;
    unsigned requests;
    unsigned open;
    unsigned responding; /* connections with an open response */
    uint64_t sent;
    GPtrArray *links;
} Peer;

typedef struct Link_ {
    Peer *peer;
    Socket *socket;
    int fd; /* owned by the socket */
    LoopTimer *timer;
    GString *request;
    GString *block;
    const Script *script; /* of the current request */
    uint64_t parts_left;
    bool responding;
} Link;

typedef struct Caller_ {
    Fixture *fixture;
    HttpCall *call;
    int status;
    uint64_t bytes;
    char body[64];
    bool complete;
    bool failed;
    bool stall; /* read nothing after the beginning */
} Caller;

struct Fixture_ {
    Clock *clock;
    Random *random;
    Counters *counters;
    Dispatcher *dispatcher;
    Loop *loop;
    Gateway *gateway;
    HttpClient *client;
    LoopTimer *guard;
    Peer peers[2];
    unsigned peer_count;
    uint16_t port; /* where callers connect */
    const char *host;
    unsigned waiting;
    unsigned calls;
    EventLog *log;
    GString *lines; /* of the log */
    bool probing;   /* the service supports load probes */
};

static const Script good = {
    .name = "good",
    .head = "HTTP/1.1 200 OK\r\n" IDENTITY "Content-Length: 2\r\n\r\n",
    .part = "ok",
    .parts = 1,
};

/* ---- upstreams ------------------------------------------------------- */

static void
set_responding(Link *link, bool responding)
{
    link->peer->responding += responding;
    link->peer->responding -= link->responding;
    link->responding = responding;
}

static void
end_link(Link *link)
{
    link->peer->open--;
    set_responding(link, false);
    link->socket = NULL;
    LoopTimer_Stop(link->timer);
}

static void
pump(void *user)
{
    Link *link = user;
    static const struct linger at_once = {.l_onoff = 1};
    const Script *script = link->script;
    Str data = Str_FromString(link->block);

    if (link->socket == NULL || Socket_Buffered(link->socket) > 0 ||
        (script->parts == 0 && link->peer->sent > SENT_BYTES_MAX)) {
        return;
    }
    if (script->parts > 0 && link->parts_left == 0) {
        set_responding(link, false);
        if (script->reset) {
            setsockopt(link->fd, SOL_SOCKET, SO_LINGER, &at_once,
                       sizeof(at_once));
            Socket_Close(link->socket);
            end_link(link);
        }
        else if (script->close) {
            Socket_CloseGracefully(link->socket);
            end_link(link);
        }
        return;
    }
    if (script->trickle) {
        data.length = 1;
    }
    link->parts_left -= script->parts > 0;
    link->peer->sent += data.length;
    Socket_Write(link->socket, data);
    if (script->trickle) {
        g_string_append_c(link->block, link->block->str[0]);
        g_string_erase(link->block, 0, 1);
    }
    LoopTimer_Start(link->timer,
                    script->trickle || script->slow ? TRICKLE_INTERVAL_US : 1);
}

static void
append_parts(Link *link)
{
    const Script *script = link->script;
    bool fill = script->blocks || (script->parts == 0 && !script->trickle);

    g_string_truncate(link->block, 0);
    g_string_append(link->block, script->part);
    while (fill && link->block->len < BLOCK_BYTES) {
        g_string_append(link->block, script->part);
    }
}

static void
respond(Link *link, const char *request)
{
    const char *name = "agatecrank-attempt-id: ";
    const char *begin = strstr(request, name);
    g_autofree char *id = NULL;
    bool probe = g_str_has_prefix(request, "get /health");
    g_auto(GStrv) pieces = NULL;
    g_autofree char *head = NULL;

    begin = begin != NULL ? begin + strlen(name) : "\r";
    id = g_strndup(begin, (gsize)(strchr(begin, '\r') - begin));
    link->script = probe && link->peer->probe_script != NULL
                       ? link->peer->probe_script
                       : link->peer->script;
    if (g_str_has_prefix(request, "get /long/good")) {
        link->script = &good;
    }
    pieces = g_strsplit(link->script->head, "%s", -1);
    head = g_strjoinv(id, pieces);
    link->peer->requests += !probe;
    set_responding(link, true);
    link->parts_left = link->script->parts;
    append_parts(link);
    Socket_Write(link->socket, Str_FromC(head));
    for (size_t n = 0; n < link->script->burst; n += link->block->len) {
        Socket_Write(link->socket, Str_FromString(link->block));
    }
    pump(link);
}

static void
link_data(void *user, Str data)
{
    Link *link = user;

    Str_AppendTo(data, link->request);
    if (strstr(link->request->str, "\r\n\r\n") != NULL) {
        g_autofree char *lower =
            g_ascii_strdown(link->request->str, (gssize)link->request->len);

        g_string_truncate(link->request, 0);
        respond(link, lower);
    }
}

static void
link_drained(void *user)
{
    Link *link = user;

    if (link->responding && !link->script->slow && !link->script->trickle) {
        pump(link);
    }
}

static void
link_open(void *user)
{
    (void)user;
}

static void
link_end(void *user, SocketEnd end)
{
    end_link(user);
}

static const SocketHandlers link_handlers = {link_open, link_data,
                                             link_drained, link_end};

/* Fixes the receive buffers of the connections of this process to @port. */
static void
fix_receive_buffers(uint16_t port)
{
    int bytes = RECEIVE_BUFFER_BYTES;

    for (int fd = 0; fd < DESCRIPTORS_MAX; fd++) {
        struct sockaddr_in address = {0};
        socklen_t length = sizeof(address);

        if (getpeername(fd, (struct sockaddr *)&address, &length) == 0 &&
            address.sin_family == AF_INET && ntohs(address.sin_port) == port) {
            setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof(bytes));
        }
    }
}

static void
accept_link(void *user)
{
    Peer *peer = user;
    SocketOptions options = {0};
    int bytes = SEND_BUFFER_BYTES;
    int fd = accept4(peer->listener, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
    Link *link;

    if (fd < 0) {
        return;
    }
    fix_receive_buffers(peer->port);
    setsockopt(fd, SOL_SOCKET, SO_SNDBUF, &bytes, sizeof(bytes));
    link = g_new0(Link, 1);
    link->peer = peer;
    link->fd = fd;
    link->request = g_string_new(NULL);
    link->block = g_string_new(NULL);
    link->timer = LoopTimer_Create(peer->fixture->loop, pump, link);
    peer->open++;
    g_ptr_array_add(peer->links, link);
    link->socket =
        Socket_Accept(peer->fixture->loop, fd, &options, &link_handlers, link);
}

static void
destroy_link(gpointer data)
{
    Link *link = data;

    g_string_free(link->request, TRUE);
    g_string_free(link->block, TRUE);
    g_free(link);
}

static void
add_peer(Fixture *f, const Script *script)
{
    Peer *peer = &f->peers[f->peer_count];
    struct sockaddr_in address = {.sin_family = AF_INET};
    socklen_t length = sizeof(address);
    g_autofree char *id = g_strdup_printf("u%u", f->peer_count++);
    UpstreamEntry entry;

    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    peer->fixture = f;
    peer->script = script;
    peer->links = g_ptr_array_new_with_free_func(destroy_link);
    peer->listener =
        socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    g_assert_cmpint(
        bind(peer->listener, (struct sockaddr *)&address, sizeof(address)), ==,
        0);
    g_assert_cmpint(listen(peer->listener, 100), ==, 0);
    getsockname(peer->listener, (struct sockaddr *)&address, &length);
    peer->port = ntohs(address.sin_port);
    g_assert_cmpint(
        Loop_Watch(f->loop, peer->listener, accept_link, peer, NULL), ==, 0);
    entry = GatewayFixture_Upstream(id, peer->port, 100);
    entry.address = STR("127.0.0.1");
    Dispatcher_PutUpstream(f->dispatcher, &entry);
}

/* ---- callers --------------------------------------------------------- */

static void
caller_headers(void *user, HttpCall *call, int status,
               const HeaderList *headers)
{
    Caller *caller = user;

    caller->status = status;
    if (caller->stall) {
        fix_receive_buffers(caller->fixture->port);
    }
}

static void
caller_data(void *user, HttpCall *call, Str data)
{
    Caller *caller = user;
    size_t space = sizeof(caller->body) - 1;

    if (caller->bytes < space) {
        memcpy(caller->body + caller->bytes, data.data,
               MIN(data.length, space - caller->bytes));
    }
    caller->bytes += data.length;
    if (caller->stall) {
        HttpCall_PauseResponse(call, true);
    }
}

static void
caller_drained(void *user, HttpCall *call)
{
    (void)user;
}

static void
end_caller(Caller *caller)
{
    Fixture *f = caller->fixture;

    f->waiting--;
    if (f->waiting == 0) {
        Loop_Stop(f->loop);
    }
}

static void
caller_complete(void *user, HttpCall *call)
{
    Caller *caller = user;

    caller->complete = true;
    end_caller(caller);
}

static void
caller_failed(void *user, HttpCall *call, HttpCallFailure failure,
              bool maybe_sent, const Error *error)
{
    Caller *caller = user;

    caller->failed = true;
    end_caller(caller);
}

static const HttpCallHandlers caller_handlers = {
    caller_headers,  caller_data,   caller_drained,
    caller_complete, caller_failed,
};

static void
start_call(Fixture *f, const char *path, Caller *caller)
{
    HeaderList *headers = HeaderList_Create();
    g_autofree char *id = g_strdup_printf("request-%u", f->calls++);
    HttpCallSpec spec = {
        .address = "127.0.0.1",
        .port = f->port,
        .method = strcmp(path, "/long/head") == 0 ? STR("HEAD") : STR("GET"),
        .path = Str_FromC(path),
        .headers = headers,
    };

    memset(caller, 0, sizeof(*caller));
    caller->fixture = f;
    HeaderList_Add(headers, STR("host"), Str_FromC(f->host));
    HeaderList_Add(headers, STR("authorization"), STR("Bearer token"));
    HeaderList_Add(headers, PLATFORM_DIALECT.attempt_id, Str_FromC(id));
    f->waiting++;
    caller->call =
        HttpClient_Start(f->client, &spec, &caller_handlers, caller, NULL);
    g_assert_nonnull(caller->call);
    HeaderList_Destroy(headers);
}

static Caller
call_once(Fixture *f, const char *path)
{
    Caller caller;

    start_call(f, path, &caller);
    Loop_Run(f->loop);
    return caller;
}

/* ---- fixture --------------------------------------------------------- */

static void
on_guard(void *user)
{
    g_error("the run did not end in time");
}

static void
set_routes(Fixture *f)
{
    CallerLimits limits = {0};
    RouteTable *table = RouteTable_Create(1, &limits);

    if (f->probing) {
        RouteTable_AddService(table, STR("desk"), STR("/health"));
    }
    GatewayFixture_AddRoute(table, "/safe/", ROUTE_IDEMPOTENT, 2,
                            TIMEOUT_US / 4, TIMEOUT_US);
    GatewayFixture_AddRoute(table, "/long/", ROUTE_IDEMPOTENT, 2,
                            TIMEOUT_US / 4, LONG_TIMEOUT_US);
    g_assert_cmpint(Dispatcher_SetRoutes(f->dispatcher, table), ==, 0);
    RouteTable_Unref(table);
}

static void
add_line(void *user, LogLevel level, Str line)
{
    Str_AppendTo(line, user);
    g_string_append_c(user, '\n');
}

static void
create(Fixture *f, bool probing)
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
        .connections_max = 200,
    };
    HttpClientOptions client = {.max_connections = 200};
    Error error = {0};

    memset(f, 0, sizeof(*f));
    f->probing = probing;
    f->clock = Clock_CreateSystem();
    f->random = Random_Create(5);
    f->counters = Counters_Create(100);
    f->lines = g_string_new(NULL);
    f->log = EventLog_Create(f->clock, LOG_LEVEL_INFO, 0, add_line, f->lines);
    f->dispatcher = Dispatcher_Create(&options, f->clock, f->random, NULL,
                                      f->log, f->counters);
    f->loop = Loop_Create(f->clock, NULL, &error);
    f->gateway =
        Gateway_Create(f->loop, f->dispatcher, f->counters, &gateway, &error);
    g_assert_nonnull(f->gateway);
    f->port = Gateway_Port(f->gateway);
    f->host = "a.example";
    f->client = HttpClient_Create(f->loop, &client);
    f->guard = LoopTimer_Create(f->loop, on_guard, f);
    LoopTimer_Start(f->guard, RUN_TIME_MAX_US);
    set_routes(f);
}

static void
set_up(Fixture *f)
{
    create(f, false);
}

static void
tear_down(Fixture *f)
{
    LoopTimer_Destroy(f->guard);
    for (unsigned i = 0; i < f->peer_count; i++) {
        for (guint j = 0; j < f->peers[i].links->len; j++) {
            Link *link = g_ptr_array_index(f->peers[i].links, j);

            LoopTimer_Destroy(link->timer);
            if (link->socket != NULL) {
                Socket_Close(link->socket);
            }
        }
    }
    Loop_Close(f->loop);
    HttpClient_Destroy(f->client);
    Gateway_Destroy(f->gateway);
    Dispatcher_Destroy(f->dispatcher);
    Loop_Destroy(f->loop);
    for (unsigned i = 0; i < f->peer_count; i++) {
        g_ptr_array_free(f->peers[i].links, TRUE);
    }
    EventLog_Destroy(f->log);
    g_string_free(f->lines, TRUE);
    Counters_Destroy(f->counters);
    Random_Destroy(f->random);
    Clock_Destroy(f->clock);
}

/* ---- tests ----------------------------------------------------------- */

/* Peak resident size of the process in KiB. */
static uint64_t
peak_kb(void)
{
    g_autofree char *text = NULL;
    const char *line;

    g_assert_true(g_file_get_contents("/proc/self/status", &text, NULL, NULL));
    line = strstr(text, "VmHWM:");
    return line != NULL ? g_ascii_strtoull(line + 6, NULL, 10) : 0;
}

#define OK_HEAD "HTTP/1.1 200 OK\r\n"
#define SIGNED OK_HEAD IDENTITY

/* Responses that are given up before they reach the caller. */
static const Script given_up[] = {
    {.name = "header-line", .head = OK_HEAD "X: ", .part = "aaaaaaaa"},
    {.name = "header-lines", .head = OK_HEAD, .part = "X-Line: v\r\n"},
    {.name = "status-line", .head = "HTTP/1.1 200 ", .part = "OK OK "},
    {.name = "no-http", .head = "", .part = "lorem ipsum "},
    {.name = "interim", .head = "", .part = "HTTP/1.1 102 Wait\r\n\r\n"},
    {.name = "other-id",
     .head = "",
     .part = OK_HEAD
     "Agatecrank-Attempt-Id: other\r\nContent-Length: 2\r\n\r\nok"},
    {.name = "other-id-body",
     .head = OK_HEAD
     "Agatecrank-Attempt-Id: other\r\nTransfer-Encoding: chunked\r\n\r\n",
     .part = "8\r\nbbbbbbbb\r\n"},
    {.name = "unsigned-chunks",
     .head = OK_HEAD
     "Agatecrank-Attempt-Id: %s\r\nTransfer-Encoding: chunked\r\n\r\n",
     .part = "8\r\nbbbbbbbb\r\n"},
    {.name = "unmarked-503",
     .head =
         "HTTP/1.1 503 Full\r\n" IDENTITY "Transfer-Encoding: chunked\r\n\r\n",
     .part = "8\r\nbbbbbbbb\r\n"},
    {.name = "unframed", .head = OK_HEAD "\r\n", .part = "bbbbbbbb"},
    {.name = "chunk-extension",
     .head = SIGNED "Transfer-Encoding: chunked\r\n\r\n2;",
     .part = "a=bbbbbb;"},
    {.name = "chunk-size",
     .head = SIGNED "Transfer-Encoding: chunked\r\n\r\n",
     .part = "00000000"},
    {.name = "trailers",
     .head = SIGNED "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n",
     .part = "X-Line: v\r\n"},
};

/* Guards against an endless response that fills the memory of the host, or
 * that is read until the deadline. */
static void
test_given_up(gconstpointer data)
{
    const Script *script = data;
    const char *line;
    Caller caller;
    Micros started;
    Fixture f;

    set_up(&f);
    add_peer(&f, script);
    started = Clock_Now(f.clock);
    caller = call_once(&f, "/long/x");
    g_test_message("status=%d body=%s sent=%" G_GUINT64_FORMAT
                   " took_us=%" G_GINT64_FORMAT " peak_kb=%" G_GUINT64_FORMAT,
                   caller.status, caller.body, f.peers[0].sent,
                   Clock_Now(f.clock) - started, peak_kb());
    g_assert_true(caller.complete);
    g_assert_cmpint(caller.status, ==, 502);
    g_assert_cmpstr(caller.body, ==, "{\"reason\":\"upstream-broken\"}");
    g_assert_cmpuint(f.peers[0].sent, <, GIVEN_UP_BYTES_MAX);
    line = strstr(f.lines->str, "result=broken");
    g_assert_nonnull(line);
    g_assert_nonnull(strstr(line, " cause=\""));
    g_assert_cmpuint(f.lines->len, <, LINES_BYTES_MAX);
    tear_down(&f);
}

/* Guards against a request that fails though another upstream is sound. */
static void
test_retried(gconstpointer data)
{
    Fixture f;

    set_up(&f);
    add_peer(&f, data);
    add_peer(&f, &good);
    for (int i = 0; i < 20; i++) {
        Caller caller = call_once(&f, "/long/x");

        g_assert_cmpint(caller.status, ==, 200);
        g_assert_cmpstr(caller.body, ==, "ok");
    }
    g_assert_cmpuint(f.peers[0].requests, >, 0);
    g_assert_cmpuint(f.peers[0].requests, <, 10);
    tear_down(&f);
}

/* Responses that are relayed before it shows that they do not end. */
static const Script relayed[] = {
    {.name = "length",
     .head = SIGNED "Content-Length: 1000000000000\r\n\r\n",
     .part = "bbbbbbbb"},
    {.name = "chunks",
     .head = SIGNED "Transfer-Encoding: chunked\r\n\r\n",
     .part = "8\r\nbbbbbbbb\r\n"},
    {.name = "unframed", .head = SIGNED "\r\n", .part = "bbbbbbbb"},
    {.name = "trickle",
     .head = SIGNED "Transfer-Encoding: chunked\r\n\r\n",
     .part = "8\r\nbbbbbbbb\r\n",
     .burst = 1000 * 1000,
     .trickle = true},
};

static void
stop_loop(void *user)
{
    Loop_Stop(user);
}

static void
run_for(Fixture *f, Micros time)
{
    LoopTimer *timer = LoopTimer_Create(f->loop, stop_loop, f->loop);

    LoopTimer_Start(timer, time);
    Loop_Run(f->loop);
    LoopTimer_Destroy(timer);
}

/* Guards against a relay that goes on after the caller's deadline, and against
 * a truncated response that looks complete. */
static void
test_relayed(gconstpointer data)
{
    Caller caller;
    Micros started;
    Fixture f;

    set_up(&f);
    add_peer(&f, data);
    started = Clock_Now(f.clock);
    caller = call_once(&f, "/safe/x");
    g_test_message("sent=%" G_GUINT64_FORMAT " took_us=%" G_GINT64_FORMAT
                   " peak_kb=%" G_GUINT64_FORMAT,
                   f.peers[0].sent, Clock_Now(f.clock) - started, peak_kb());
    g_assert_cmpint(caller.status, ==, 200);
    g_assert_true(caller.failed);
    run_for(&f, 50 * MICROS_PER_MS);
    g_assert_cmpuint(f.peers[0].open, ==, 0);
    tear_down(&f);
}

/* Guards against an upstream that stays in use though none of its responses
 * ends. */
static void
test_ejected(gconstpointer data)
{
    Fixture f;
    unsigned served = 0;

    set_up(&f);
    add_peer(&f, data);
    add_peer(&f, &good);
    for (int i = 0; i < 30; i++) {
        Caller caller = call_once(&f, "/safe/x");

        g_assert_cmpint(caller.complete, ==, caller.bytes == 2);
        served += caller.complete;
    }
    g_test_message("sent=%" G_GUINT64_FORMAT " served=%u endless=%u",
                   f.peers[0].sent, served, f.peers[0].requests);
    g_assert_cmpuint(f.peers[0].requests, >, 0);
    g_assert_cmpuint(f.peers[0].requests, <=, 3);
    g_assert_cmpuint(served, >=, 27);
    tear_down(&f);
}

#define LONG_BYTES ((uint64_t)64 * 1024 * 1024)

static const Script long_length = {
    .name = "long-length",
    .head = SIGNED "Content-Length: 67108864\r\n\r\n",
    .part = "bbbbbbbb",
    .parts = LONG_BYTES / BLOCK_BYTES,
    .blocks = true,
};
static const Script long_unframed = {
    .name = "long-unframed",
    .head = SIGNED "\r\n",
    .part = "bbbbbbbb",
    .parts = LONG_BYTES / BLOCK_BYTES,
    .blocks = true,
    .close = true,
};
/* Takes longer than the objective of the route. */
static const Script long_slow = {
    .name = "long-slow",
    .head = SIGNED "Content-Length: 4194304\r\n\r\n",
    .part = "bbbbbbbb",
    .parts = 64,
    .blocks = true,
    .slow = true,
};

/* Guards against an honest long response that is broken off. */
static void
test_long_response(gconstpointer data)
{
    const Script *script = data;
    Caller caller;
    Fixture f;

    set_up(&f);
    add_peer(&f, script);
    caller = call_once(&f, "/long/x");
    g_test_message("sent=%" G_GUINT64_FORMAT " peak_kb=%" G_GUINT64_FORMAT,
                   f.peers[0].sent, peak_kb());
    g_assert_true(caller.complete);
    g_assert_cmpuint(caller.bytes, ==, script->parts * BLOCK_BYTES);
    tear_down(&f);
}

/* Guards against an upstream that is ejected because callers do not read, and
 * against the memory that such a caller takes on the host. */
static void
test_stalled_caller(void)
{
    GString *counters = g_string_new(NULL);
    Caller caller;
    Fixture f;

    set_up(&f);
    add_peer(&f, &long_length);
    start_call(&f, "/safe/x", &caller);
    caller.stall = true;
    /* The request's deadline counts from its arrival. */
    while (caller.bytes == 0) {
        Loop_RunOnce(f.loop);
    }
    run_for(&f, 2 * TIMEOUT_US);
    g_test_message("sent=%" G_GUINT64_FORMAT, f.peers[0].sent);
    g_assert_cmpuint(f.peers[0].sent, <, STALLED_BYTES_MAX);
    HttpCall_PauseResponse(caller.call, false);
    caller.stall = false;
    Loop_Run(f.loop);
    g_assert_true(caller.failed);
    g_assert_cmpuint(f.peers[0].open, ==, 0);
    g_assert_cmpuint(f.peers[0].sent, <, STALLED_BYTES_MAX);
    Counters_Write(f.counters, counters);
    g_assert_nonnull(strstr(
        counters->str, "agatecrank_relays_total{result=\"caller-slow\"} 1"));
    g_string_free(counters, TRUE);
    tear_down(&f);
}

static const Script endless_chunks = {
    .head = OK_HEAD "Transfer-Encoding: chunked\r\n\r\n",
    .part = "8\r\nbbbbbbbb\r\n",
};

#define FETCH_BYTES_MAX (1024 * 1024)
#define FETCH_COUNT 12

typedef struct Fetched_ {
    Fixture *fixture;
    unsigned too_long, limited;
    size_t bytes_max;
} Fetched;

static void
on_fetched(void *user, const HttpFetchResponse *response)
{
    Fetched *fetched = user;
    Fixture *f = fetched->fixture;

    fetched->too_long += response->code == ERR_PROTOCOL;
    fetched->limited += response->code == ERR_LIMIT;
    fetched->bytes_max = MAX(fetched->bytes_max, response->body.length);
    f->waiting--;
    if (f->waiting == 0) {
        Loop_Stop(f->loop);
    }
}

/* Guards against concurrent responses that each stay below the limit and fill
 * the memory together. */
static void
test_fetches(void)
{
    Fetched fetched = {0};
    g_autofree char *url = NULL;
    HttpFetch *fetch;
    Fixture f;

    set_up(&f);
    add_peer(&f, &endless_chunks);
    fetched.fixture = &f;
    url = g_strdup_printf("http://127.0.0.1:%u", f.peers[0].port);
    fetch =
        HttpFetch_Create(f.loop, Str_FromC(url), FETCH_BYTES_MAX, NULL, NULL);
    for (unsigned i = 0; i < FETCH_COUNT; i++) {
        f.waiting++;
        HttpFetch_Send(fetch, STR("GET"), STR("/"), NULL, STR(""),
                       LONG_TIMEOUT_US, on_fetched, &fetched);
    }
    Loop_Run(f.loop);
    g_test_message("sent=%" G_GUINT64_FORMAT " too_long=%u limited=%u",
                   f.peers[0].sent, fetched.too_long, fetched.limited);
    g_assert_cmpuint(fetched.too_long + fetched.limited, ==, FETCH_COUNT);
    g_assert_cmpuint(fetched.too_long, >, 0);
    g_assert_cmpuint(fetched.limited, >, 0);
    g_assert_cmpuint(fetched.bytes_max, <=, FETCH_BYTES_MAX);
    Loop_Close(f.loop);
    HttpFetch_Destroy(fetch);
    tear_down(&f);
}

static void
on_page(void *user, const KeyedPage *page)
{
    Fetched *fetched = user;

    fetched->too_long += page->code == ERR_PROTOCOL;
    Loop_Stop(fetched->fixture->loop);
}

/* Guards against a store's response that fills the memory of the host. */
static void
test_store(void)
{
    Fetched fetched = {0};
    Endpoint endpoint = {.address = "127.0.0.1"};
    const KeyedLog *keyed_log;
    StoreClient *store;
    Fixture f;

    set_up(&f);
    add_peer(&f, &endless_chunks);
    fetched.fixture = &f;
    endpoint.port = f.peers[0].port;
    store = StoreClient_Create(f.loop, &endpoint, NULL);
    keyed_log = StoreClient_Log(store);
    keyed_log->read_tail(keyed_log->self, STR("topic"), 0, 0, LONG_TIMEOUT_US,
                         on_page, &fetched);
    Loop_Run(f.loop);
    keyed_log->read_newest(keyed_log->self, STR("topic"), STR(""),
                           LONG_TIMEOUT_US, on_page, &fetched);
    Loop_Run(f.loop);
    g_test_message("sent=%" G_GUINT64_FORMAT " peak_kb=%" G_GUINT64_FORMAT,
                   f.peers[0].sent, peak_kb());
    g_assert_cmpuint(fetched.too_long, ==, 2);
    g_assert_cmpuint(f.peers[0].sent, <, 2 * GIVEN_UP_BYTES_MAX);
    Loop_Close(f.loop);
    StoreClient_Destroy(store);
    tear_down(&f);
}

/* ---- log service ----------------------------------------------------- */

/* Of one response. */
#define LOG_PAGE_BYTES_MAX (4 * 1024 * 1024)
#define LOG_RECORD_BYTES_MAX (256 * 1024)
#define LOG_LARGE_COUNT 40
#define LOG_SMALL_BYTES 100
#define LOG_SMALL_COUNT 2000
#define LOG_READ_RECORDS 512

/* Log service with one stream: large records, then small ones. */
typedef struct LogStandIn_ {
    HttpServer *server;
    uint64_t large_count, count;
    bool ignores_max;
    unsigned reads;
    GString *data;
} LogStandIn;

typedef struct LogReader_ {
    Fixture *fixture;
    LogClient *client;
    uint64_t next;
    uint64_t end;
    size_t page_bytes_max;
    size_t page_records_max;
    int code;
} LogReader;

static uint64_t
query_number(Str path, const char *name)
{
    g_autofree char *text = g_strndup(path.data, path.length);
    const char *found = strstr(text, name);

    g_assert_nonnull(found);
    return g_ascii_strtoull(found + strlen(name), NULL, 10);
}

static void
serve_log(void *user, HttpRequest *request)
{
    LogStandIn *this = user;
    uint64_t from = query_number(HttpRequest_Path(request), "from=");
    uint64_t max = query_number(HttpRequest_Path(request), "max=");
    HeaderList *headers = HeaderList_Create();
    GString *body = g_string_new(NULL);
    char next[24];

    this->reads++;
    if (this->ignores_max) {
        max = this->count;
    }
    for (uint64_t i = from; i < MIN(this->count, from + max); i++) {
        size_t length =
            i < this->large_count ? LOG_RECORD_BYTES_MAX : LOG_SMALL_BYTES;

        g_string_append_printf(body, "%" G_GUINT64_FORMAT " 1 %zu\n", i,
                               length);
        g_string_append_len(body, this->data->str, (gssize)length);
        g_string_append_c(body, '\n');
    }
    g_snprintf(next, sizeof(next), "%" G_GUINT64_FORMAT, this->count);
    HeaderList_Add(headers, STR("log-first"), STR("0"));
    HeaderList_Add(headers, STR("log-next"), Str_FromC(next));
    HttpRequest_Respond(request, 200, headers, Str_FromString(body));
    HeaderList_Destroy(headers);
    g_string_free(body, TRUE);
}

static void
ignore_request_data(void *user, HttpRequest *request, Str data)
{
    (void)user;
}

static void
ignore_request(void *user, HttpRequest *request)
{
    (void)user;
}

static void
ignore_closed(void *user, HttpRequest *request, bool complete)
{
    (void)user;
}

static void
start_log(Fixture *f, LogStandIn *this)
{
    static const HttpServerHandlers handlers = {
        serve_log,      ignore_request_data, ignore_request,
        ignore_request, ignore_closed,
    };
    HttpServerOptions options = {.address = "127.0.0.1"};

    this->data = g_string_sized_new(LOG_RECORD_BYTES_MAX);
    g_string_set_size(this->data, LOG_RECORD_BYTES_MAX);
    memset(this->data->str, 'b', this->data->len);
    this->server = HttpServer_Create(f->loop, &options, &handlers, this, NULL);
    g_assert_nonnull(this->server);
}

static void
stop_log(LogStandIn *this)
{
    HttpServer_Destroy(this->server);
    g_string_free(this->data, TRUE);
}

static void
start_reader(Fixture *f, LogReader *reader, uint16_t port)
{
    g_autofree char *url = g_strdup_printf("http://127.0.0.1:%u", port);

    memset(reader, 0, sizeof(*reader));
    reader->fixture = f;
    reader->client =
        LogClient_Create(f->loop, Str_FromC(url), NULL, f->log, NULL);
}

static void
on_log_read(void *user, const LogRead *read)
{
    LogReader *reader = user;
    size_t bytes = 0;

    for (size_t i = 0; i < read->count; i++) {
        g_assert_cmpuint(read->records[i].offset, ==, reader->next);
        reader->next++;
        bytes += read->records[i].data.length;
    }
    reader->page_bytes_max = MAX(reader->page_bytes_max, bytes);
    reader->page_records_max = MAX(reader->page_records_max, read->count);
    reader->code = read->code;
    reader->end = read->next;
    Loop_Stop(reader->fixture->loop);
}

static void
read_log(LogReader *reader)
{
    LogClient_Read(reader->client, STR("claims-0"), reader->next,
                   LOG_READ_RECORDS, 0, LONG_TIMEOUT_US, on_log_read, reader);
    Loop_Run(reader->fixture->loop);
}

static void
read_whole_log(LogReader *reader)
{
    do {
        read_log(reader);
        g_assert_cmpint(reader->code, ==, 0);
    } while (reader->next < reader->end);
}

static unsigned
count_dropped(const Fixture *f)
{
    unsigned count = 0;

    for (const char *at = f->lines->str;
         (at = strstr(at, "event=log-read-dropped")) != NULL; at++) {
        count++;
    }
    return count;
}

/* Guards against a response of the log service that fills the memory of the
 * host. */
static void
test_log_endless(void)
{
    static const Script endless = {.head = OK_HEAD "\r\n", .part = "bbbbbbbb"};
    LogReader reader;
    Fixture f;

    set_up(&f);
    add_peer(&f, &endless);
    start_reader(&f, &reader, f.peers[0].port);
    read_log(&reader);
    g_test_message("sent=%" G_GUINT64_FORMAT " code=%d", f.peers[0].sent,
                   reader.code);
    g_assert_cmpint(reader.code, ==, ERR_PROTOCOL);
    g_assert_cmpuint(f.peers[0].sent, <, 3 * LOG_PAGE_BYTES_MAX);
    g_assert_cmpuint(count_dropped(&f), ==, 2);
    Loop_Close(f.loop);
    LogClient_Destroy(reader.client);
    tear_down(&f);
}

/* Guards against pages of large records that exceed the memory of the host, and
 * against a reader that does not get past them. */
static void
test_log_large(void)
{
    LogStandIn stand_in = {.large_count = LOG_LARGE_COUNT,
                           .count = LOG_LARGE_COUNT};
    LogReader reader;
    Fixture f;

    set_up(&f);
    start_log(&f, &stand_in);
    start_reader(&f, &reader, HttpServer_Port(stand_in.server));
    read_whole_log(&reader);
    g_test_message("reads=%u page_bytes_max=%zu", stand_in.reads,
                   reader.page_bytes_max);
    g_assert_cmpuint(reader.next, ==, LOG_LARGE_COUNT);
    g_assert_cmpuint(reader.page_bytes_max, <=, LOG_PAGE_BYTES_MAX);
    g_assert_cmpuint(stand_in.reads, <=, 4);
    g_assert_cmpuint(count_dropped(&f), ==, 1);
    Loop_Close(f.loop);
    LogClient_Destroy(reader.client);
    stop_log(&stand_in);
    tear_down(&f);
}

/* Guards against pages that stay small after a few large records. */
static void
test_log_small(void)
{
    LogStandIn stand_in = {.large_count = LOG_LARGE_COUNT,
                           .count = LOG_LARGE_COUNT + LOG_SMALL_COUNT};
    LogReader reader;
    Fixture f;

    set_up(&f);
    start_log(&f, &stand_in);
    start_reader(&f, &reader, HttpServer_Port(stand_in.server));
    read_whole_log(&reader);
    g_test_message("reads=%u page_records_max=%zu", stand_in.reads,
                   reader.page_records_max);
    g_assert_cmpuint(reader.next, ==, stand_in.count);
    g_assert_cmpuint(reader.page_records_max, ==, LOG_READ_RECORDS);
    g_assert_cmpuint(stand_in.reads, <, 20);
    Loop_Close(f.loop);
    LogClient_Destroy(reader.client);
    stop_log(&stand_in);
    tear_down(&f);
}

/* Guards against pages far above what was asked for. */
static void
test_log_excess(void)
{
    LogStandIn stand_in = {.large_count = LOG_LARGE_COUNT,
                           .count = LOG_LARGE_COUNT,
                           .ignores_max = true};
    LogReader reader;
    Fixture f;

    set_up(&f);
    start_log(&f, &stand_in);
    start_reader(&f, &reader, HttpServer_Port(stand_in.server));
    read_log(&reader);
    g_test_message("reads=%u code=%d", stand_in.reads, reader.code);
    g_assert_cmpint(reader.code, ==, ERR_PROTOCOL);
    g_assert_cmpuint(reader.next, ==, 0);
    g_assert_cmpuint(stand_in.reads, ==, 2);
    g_assert_cmpuint(count_dropped(&f), ==, 2);
    Loop_Close(f.loop);
    LogClient_Destroy(reader.client);
    stop_log(&stand_in);
    tear_down(&f);
}

static void
on_claim_event(void *user)
{
    (void)user;
}

/* Guards against dropped pages that are read again without a pause. */
static void
test_log_excess_rate(void)
{
    LogStandIn stand_in = {.large_count = LOG_LARGE_COUNT,
                           .count = LOG_LARGE_COUNT,
                           .ignores_max = true};
    ClaimsOptions options = ClaimsOptions_Default(STR("host-1"), 1);
    ClaimFollower *follower;
    LogReader reader;
    Claims *claims;
    Fixture f;

    set_up(&f);
    start_log(&f, &stand_in);
    start_reader(&f, &reader, HttpServer_Port(stand_in.server));
    claims = Claims_Create(&options, f.clock);
    follower = ClaimFollower_Create(f.loop, claims, 1, reader.client,
                                    LONG_TIMEOUT_US, on_claim_event, NULL);
    run_for(&f, 3 * MICROS_PER_S);
    g_test_message("reads=%u", stand_in.reads);
    g_assert_cmpuint(stand_in.reads, >=, 2);
    g_assert_cmpuint(stand_in.reads, <=, 4);
    Loop_Close(f.loop);
    ClaimFollower_Destroy(follower);
    Claims_Destroy(claims);
    LogClient_Destroy(reader.client);
    stop_log(&stand_in);
    tear_down(&f);
}

/* Guards against a load probe that reads until its time ends, and against a
 * report from it. */
static void
test_probe(void)
{
    static const Script report = {
        .head = OK_HEAD "Agatecrank-Instance-Id: u0\r\n"
                        "Agatecrank-Server-Load: 0,0,100\r\n"
                        "Transfer-Encoding: chunked\r\n\r\n",
        .part = "8\r\nbbbbbbbb\r\n",
    };
    GString *counters = g_string_new(NULL);
    Caller caller;
    Fixture f;

    create(&f, true);
    add_peer(&f, &good);
    f.peers[0].probe_script = &report;
    caller = call_once(&f, "/long/x");
    run_for(&f, 100 * MICROS_PER_MS);
    Counters_Write(f.counters, counters);
    g_test_message("sent=%" G_GUINT64_FORMAT " status=%d", f.peers[0].sent,
                   caller.status);
    g_assert_cmpint(caller.status, ==, 200);
    g_assert_cmpuint(f.peers[0].sent, >, 0);
    g_assert_cmpuint(f.peers[0].sent, <, GIVEN_UP_BYTES_MAX / 8);
    g_assert_null(strstr(counters->str, "result=\"told\""));
    g_assert_nonnull(strstr(counters->str, "result=\"none\""));
    g_string_free(counters, TRUE);
    tear_down(&f);
}

#define ENDLESS_COUNT 40
#define SOUND_COUNT 50

typedef struct Pace_ {
    uint64_t iterations;
    Micros time;
} Pace;

/* Iterations of the loop and time of the calls, one after the other. */
static Pace
time_sound_calls(Fixture *f)
{
    Micros started = Clock_Now(f->clock);
    Pace pace = {.iterations = Loop_Iterations(f->loop)};

    for (int i = 0; i < SOUND_COUNT; i++) {
        Caller caller;

        start_call(f, "/long/good", &caller);
        while (!caller.complete && !caller.failed) {
            Loop_RunOnce(f->loop);
        }
        g_assert_cmpstr(caller.body, ==, "ok");
    }
    pace.iterations = Loop_Iterations(f->loop) - pace.iterations;
    pace.time = Clock_Now(f->clock) - started;
    return pace;
}

/* Guards against endless responses that keep the loop from other requests:
 * each takes as many iterations as alone. */
static void
test_other_requests(gconstpointer data)
{
    g_autofree Caller *callers = g_new0(Caller, ENDLESS_COUNT);
    Pace alone, beside;
    uint64_t before_kb;
    Fixture f;

    set_up(&f);
    add_peer(&f, data);
    alone = time_sound_calls(&f);
    before_kb = peak_kb();
    for (unsigned i = 0; i < ENDLESS_COUNT; i++) {
        start_call(&f, "/long/x", &callers[i]);
    }
    while (f.peers[0].requests < SOUND_COUNT + ENDLESS_COUNT) {
        Loop_RunOnce(f.loop);
    }
    beside = time_sound_calls(&f);
    g_test_message("iterations=%" G_GUINT64_FORMAT "/%" G_GUINT64_FORMAT
                   " time_us=%" G_GINT64_FORMAT "/%" G_GINT64_FORMAT
                   " sent=%" G_GUINT64_FORMAT " peak_kb=%" G_GUINT64_FORMAT
                   "+%" G_GUINT64_FORMAT,
                   beside.iterations, alone.iterations, beside.time,
                   alone.time, f.peers[0].sent, before_kb,
                   peak_kb() - before_kb);
    g_assert_cmpuint(beside.iterations, <=, 2 * alone.iterations);
    for (unsigned i = 0; i < ENDLESS_COUNT; i++) {
        if (!callers[i].complete && !callers[i].failed) {
            HttpCall_Cancel(callers[i].call);
        }
    }
    tear_down(&f);
}

static const Script trickled[] = {
    {.name = "no-http", .head = "", .part = "lorem ", .trickle = true},
    {.name = "header-line",
     .head = OK_HEAD "X: ",
     .part = "aaaaaa",
     .trickle = true},
    {.name = "interim",
     .head = "",
     .part = "HTTP/1.1 102 Wait, the request is still being processed\r\n\r\n",
     .trickle = true},
    {.name = "chunks",
     .head = SIGNED "Transfer-Encoding: chunked\r\n\r\n",
     .part = "8\r\nbbbbbbbb\r\n",
     .trickle = true},
    {.name = "unframed",
     .head = SIGNED "\r\n",
     .part = "bbbbbbbb",
     .trickle = true},
};

/* Responses with more or fewer bytes than announced. */
static const struct {
    Script script;
    int status;
    const char *body; /* NULL for one of the host */
} framed[] = {
    {{.name = "excess",
      .head = SIGNED "Content-Length: 2\r\n\r\n",
      .part = "ok"},
     200,
     "ok"},
    {{.name = "excess-chunks",
      .head = SIGNED "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
      .part = "2\r\nok\r\n"},
     200,
     "ok"},
    {{.name = "excess-trickle",
      .head = SIGNED "Content-Length: 2\r\n\r\nok",
      .part = "junk",
      .trickle = true},
     200,
     "ok"},
    {{.name = "short",
      .head = SIGNED "Content-Length: 20\r\n\r\n",
      .part = "ok",
      .parts = 2,
      .close = true},
     502,
     NULL},
    {{.name = "short-chunks",
      .head = SIGNED "Transfer-Encoding: chunked\r\n\r\n",
      .part = "2\r\nok\r\n",
      .parts = 2,
      .close = true},
     502,
     NULL},
    {{.name = "unframed",
      .head = SIGNED "\r\n",
      .part = "ok",
      .parts = 2,
      .close = true},
     200,
     "okok"},
    {{.name = "unframed-reset",
      .head = SIGNED "\r\n",
      .part = "ok",
      .parts = 2,
      .slow = true,
      .reset = true},
     502,
     NULL},
};

/* Guards against a truncated response that passes for a whole one, and against
 * excess bytes that pass for the next response. */
static void
test_framing(gconstpointer data)
{
    size_t i = GPOINTER_TO_SIZE(data);
    Caller caller;
    Fixture f;

    set_up(&f);
    add_peer(&f, &framed[i].script);
    for (int n = 0; n < 2; n++) {
        caller = call_once(&f, "/long/x");
        g_test_message("status=%d body=%s", caller.status, caller.body);
        g_assert_true(caller.complete);
        g_assert_cmpint(caller.status, ==, framed[i].status);
        if (framed[i].body != NULL) {
            g_assert_cmpstr(caller.body, ==, framed[i].body);
        }
        run_for(&f, 20 * MICROS_PER_MS);
        g_assert_cmpuint(f.peers[0].open, ==, 0);
    }
    tear_down(&f);
}

/* Responses without a body that have one, or announce the length of that of
 * another response. */
static const struct {
    const char *path;
    int status;
    unsigned open_max; /* connections that are kept */
    Script script;
} bodyless[] = {
    {"/long/x",
     304,
     1,
     {.name = "304-length",
      .head = "HTTP/1.1 304 Same\r\n" IDENTITY "Content-Length: 8\r\n\r\n",
      .part = "",
      .parts = 1}},
    {"/long/x",
     204,
     1,
     {.name = "204-length",
      .head = "HTTP/1.1 204 None\r\n" IDENTITY "Content-Length: 8\r\n\r\n",
      .part = "",
      .parts = 1}},
    {"/long/x",
     304,
     0,
     {.name = "304-excess",
      .head = "HTTP/1.1 304 Same\r\n" IDENTITY "\r\n",
      .part = "bbbbbbbb"}},
    {"/long/x",
     204,
     0,
     {.name = "204-chunks",
      .head = "HTTP/1.1 204 None\r\n" IDENTITY
              "Transfer-Encoding: chunked\r\n\r\n",
      .part = "8\r\nbbbbbbbb\r\n"}},
    {"/long/head",
     200,
     0,
     {.name = "head-excess",
      .head = SIGNED "Content-Length: 1000000\r\n\r\n",
      .part = "bbbbbbbb"}},
    {"/long/head",
     200,
     0,
     {.name = "head-chunks",
      .head = SIGNED "Transfer-Encoding: chunked\r\n\r\n",
      .part = "8\r\nbbbbbbbb\r\n"}},
};

/* Guards against waiting for a body that a response can't have, and against
 * reading one. */
static void
test_bodyless(gconstpointer data)
{
    size_t i = GPOINTER_TO_SIZE(data);
    Caller caller;
    Fixture f;

    set_up(&f);
    add_peer(&f, &bodyless[i].script);
    for (int n = 0; n < 2; n++) {
        caller = call_once(&f, bodyless[i].path);
        g_test_message("status=%d bytes=%" G_GUINT64_FORMAT
                       " sent=%" G_GUINT64_FORMAT,
                       caller.status, caller.bytes, f.peers[0].sent);
        g_assert_true(caller.complete);
        g_assert_cmpint(caller.status, ==, bodyless[i].status);
        g_assert_cmpuint(caller.bytes, ==, 0);
        run_for(&f, 20 * MICROS_PER_MS);
        g_assert_cmpuint(f.peers[0].open, <=, bodyless[i].open_max);
        g_assert_cmpuint(f.peers[0].sent, <, GIVEN_UP_BYTES_MAX);
    }
    tear_down(&f);
}

#define REPORT(id)                                                            \
    {                                                                         \
        .head = OK_HEAD "Agatecrank-Instance-Id: " id "\r\n"                  \
                        "Agatecrank-Server-Load: 0,0,100\r\n"                 \
                        "Content-Length: 2\r\n\r\n",                          \
        .part = "ok", .parts = 1,                                             \
    }

static const Script reports[] = {REPORT("u0"), REPORT("u1")};

/* Guards against a trickle that passes for a response, and that holds its
 * connection after the deadline. */
static void
test_trickle(gconstpointer data)
{
    const Script *script = data;
    bool in_head = strstr(script->head, "\r\n\r\n") == NULL;
    Caller caller;
    Fixture f;

    create(&f, true);
    add_peer(&f, data);
    f.peers[0].probe_script = &reports[0];
    caller = call_once(&f, "/safe/x");
    g_assert_true(caller.complete);
    /* The header block has a time limit of its own. */
    g_assert_cmpint(caller.status, ==, in_head ? 502 : 504);
    run_for(&f, 50 * MICROS_PER_MS);
    g_assert_cmpuint(f.peers[0].responding, ==, 0);
    tear_down(&f);
}

/* Guards against interim responses that count as one late header block because
 * each read ends within one. */
static void
test_split_interim(void)
{
    static const Script split = {
        .head = "HTTP/1.1 1",
        .part = "02 Wait\r\n\r\nHTTP/1.1 1",
        .blocks = false,
        .parts = 1000,
        .slow = true,
    };
    Caller caller;
    Fixture f;

    set_up(&f);
    add_peer(&f, &split);
    caller = call_once(&f, "/safe/x");
    g_assert_true(caller.complete);
    g_assert_cmpint(caller.status, ==, 504);
    tear_down(&f);
}

/* Guards against a request that waits for a trickle until its deadline though
 * another upstream is idle. */
static void
test_trickle_moved(gconstpointer data)
{
    Caller caller;
    Fixture f;

    create(&f, true);
    add_peer(&f, data);
    add_peer(&f, &good);
    f.peers[0].probe_script = &reports[0];
    f.peers[1].probe_script = &reports[1];
    for (int i = 0; i < 20; i++) {
        caller = call_once(&f, "/safe/x");
        g_assert_true(caller.complete);
        g_assert_cmpint(caller.status, ==, 200);
    }
    g_test_message("status=%d trickled=%u sound=%u", caller.status,
                   f.peers[0].requests, f.peers[1].requests);
    g_assert_cmpuint(f.peers[0].requests, >, 0);
    g_assert_cmpuint(f.peers[0].requests, <, 5);
    g_assert_cmpuint(f.peers[0].responding, ==, 0);
    tear_down(&f);
}

/* Guards against a request that waits for the rest of a header block until its
 * deadline where upstreams do not answer load probes. */
static void
test_trickle_unprobed(gconstpointer data)
{
    Caller caller;
    Fixture f;

    set_up(&f);
    add_peer(&f, data);
    add_peer(&f, &good);
    for (int i = 0; i < 20; i++) {
        caller = call_once(&f, "/safe/x");
        g_assert_true(caller.complete);
        g_assert_cmpint(caller.status, ==, 200);
    }
    g_test_message("status=%d trickled=%u sound=%u", caller.status,
                   f.peers[0].requests, f.peers[1].requests);
    g_assert_cmpuint(f.peers[0].requests, >, 0);
    g_assert_cmpuint(f.peers[0].responding, ==, 0);
    tear_down(&f);
}

/* ---- balancer hosts -------------------------------------------------- */

static const char config_document[] =
    "[operator.root]\npublic_key = \"%s\"\nlines = [\"*\"]\n"
    "[line.a]\nweight = 50\n"
    "[service.desk]\nslots = 100\nconnections = 100\n"
    "idempotent_methods = [\"GET\"]\n"
    "[caller.counter]\nline = \"a\"\ntoken_sha256 = \"%s\"\n"
    "[selector.lookups]\nline = \"a\"\nservice = \"desk\"\n"
    "deadline_ms = 400\n";

typedef struct Host_ {
    ConfigState *config;
    Balancer *balancer;
    Proxy *proxy;
} Host;

static void
on_claim(void *user, const ClaimAction *action)
{
    (void)user;
}

static void
publish_config(const Host *host)
{
    g_autofree char *key = Fixture_PublicKey(KEY_ROOT);
    g_autofree char *token =
        g_compute_checksum_for_string(G_CHECKSUM_SHA256, "token", -1);
    g_autofree char *text = g_strdup_printf(config_document, key, token);

    g_assert_cmpint(
        Fixture_Apply(host->config, "first", "root", KEY_ROOT, 0, text, NULL),
        ==, CONFIG_ACCEPTED);
}

static void
add_directory(Fixture *f, const Host *host)
{
    HostEntry entries[G_N_ELEMENTS(f->peers)];
    char ids[G_N_ELEMENTS(f->peers)][8];

    for (unsigned i = 0; i < f->peer_count; i++) {
        g_snprintf(ids[i], sizeof(ids[i]), "up-%u", i);
        entries[i] = (HostEntry){
            .id = Str_FromC(ids[i]),
            .role = HOST_UPSTREAM,
            .address = STR("127.0.0.1"),
            .port = f->peers[i].port,
            .service = STR("desk"),
            .domain = STR("lac-a"),
        };
    }
    Balancer_OnHostList(host->balancer, entries, f->peer_count);
}

/* Callers connect to a balancer host in front of the upstreams. */
static void
start_host(Fixture *f, Host *host)
{
    ConfigOptions config = Fixture_Options();
    BalancerOptions balancer = {
        .router = RouterOptions_Default(),
        .admission = {.mode = ADMISSION_SHARED, .hosts = 1},
        .claims = ClaimsOptions_Default(STR("host-1"), 1),
        .attempts_max = 3,
    };
    ProxyOptions proxy = {
        .server = {.address = "127.0.0.1", .keep_alive_s = 60},
        .client = {.max_connections = 64},
        .request_buffer_bytes = BLOCK_BYTES,
        .response_buffer_bytes = BLOCK_BYTES,
        .answer_limit = BLOCK_BYTES,
    };
    Str name = STR("host-1");
    Error error;

    host->config = ConfigState_Create(&config);
    host->balancer = Balancer_Create(&balancer, host->config, f->clock,
                                     f->random, NULL, f->counters);
    Balancer_SetHosts(host->balancer, &name, 1, 0);
    publish_config(host);
    add_directory(f, host);
    Balancer_OnConfigChanged(host->balancer);
    Balancer_SetReady(host->balancer, true);
    host->proxy = Proxy_Create(f->loop, host->balancer, f->random, f->counters,
                               &proxy, on_claim, NULL, &error);
    g_assert_nonnull(host->proxy);
    f->port = Proxy_Port(host->proxy);
    f->host = "desk";
}

static void
stop_host(Fixture *f, Host *host)
{
    Loop_Close(f->loop);
    Proxy_Destroy(host->proxy);
    Balancer_Destroy(host->balancer);
    ConfigState_Destroy(host->config);
}

/* Guards against a relay of a balancer host that no deadline ends. */
static void
test_proxy_relay(gconstpointer data)
{
    Caller caller;
    Host host;
    Fixture f;

    set_up(&f);
    add_peer(&f, data);
    start_host(&f, &host);
    caller = call_once(&f, "/x");
    g_test_message("sent=%" G_GUINT64_FORMAT " status=%d", f.peers[0].sent,
                   caller.status);
    g_assert_true(caller.failed);
    run_for(&f, 50 * MICROS_PER_MS);
    g_assert_cmpuint(f.peers[0].open, ==, 0);
    stop_host(&f, &host);
    tear_down(&f);
}

/* Guards against a response that is not relayed and holds its connection
 * without an end: it stays below the limit on its length. */
static void
test_proxy_discard(void)
{
    static const Script rejection = {
        .head = "HTTP/1.1 503 Full\r\nagatecrank-outcome: not-run\r\n"
                "Transfer-Encoding: chunked\r\n\r\n",
        .part = "8\r\nbbbbbbbb\r\n",
        .trickle = true,
    };
    Host host;
    Fixture f;

    set_up(&f);
    add_peer(&f, &rejection);
    add_peer(&f, &good);
    start_host(&f, &host);
    for (int i = 0; i < 10; i++) {
        Caller caller = call_once(&f, "/x");

        g_assert_true(caller.complete);
    }
    g_assert_cmpuint(f.peers[0].requests, >, 0);
    run_for(&f, 1500 * MICROS_PER_MS);
    g_test_message("requests=%u sent=%" G_GUINT64_FORMAT " open=%u",
                   f.peers[0].requests, f.peers[0].sent, f.peers[0].open);
    g_assert_cmpuint(f.peers[0].open, ==, 0);
    stop_host(&f, &host);
    tear_down(&f);
}

/* ---- parser ---------------------------------------------------------- */

static HttpBodyRule
ignore_head(void *user, const HttpHead *head)
{
    return HTTP_BODY_FRAMED;
}

static void
ignore_body(void *user, Str data)
{
    (void)user;
}

static void
ignore_end(void *user)
{
    (void)user;
}

/* Processor time for a header block of @bytes that arrives byte by byte. */
static Micros
time_trickled_head(size_t bytes)
{
    static const HttpParserHandlers handlers = {ignore_head, ignore_body,
                                                ignore_end};
    HttpParser *parser =
        HttpParser_Create(HTTP_PARSER_RESPONSES, BLOCK_BYTES, &handlers, NULL);
    struct timespec begin, end;
    Error error;
    size_t used;

    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &begin);
    for (size_t i = 0; i < bytes; i++) {
        g_assert_cmpint(HttpParser_Feed(parser, STR("a"), &used, &error), ==,
                        0);
    }
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &end);
    HttpParser_Destroy(parser);
    return (end.tv_sec - begin.tv_sec) * MICROS_PER_S +
           (end.tv_nsec - begin.tv_nsec) / 1000;
}

/* Guards against a header block that is checked from its beginning after each
 * byte: 16 times the bytes would take 256 times the time. */
static void
test_trickled_head(void)
{
    Micros one, many;

    time_trickled_head(BLOCK_BYTES);
    one = time_trickled_head(BLOCK_BYTES / 16);
    many = time_trickled_head(BLOCK_BYTES);
    g_test_message("one_us=%" G_GINT64_FORMAT " many_us=%" G_GINT64_FORMAT,
                   one, many);
    g_assert_cmpint(many, <, 64 * one);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    for (size_t i = 0; i < G_N_ELEMENTS(given_up); i++) {
        g_autofree char *alone =
            g_strdup_printf("/net/endless/given-up/%s", given_up[i].name);
        g_autofree char *retried =
            g_strdup_printf("/net/endless/retried/%s", given_up[i].name);

        g_test_add_data_func(alone, &given_up[i], test_given_up);
        g_test_add_data_func(retried, &given_up[i], test_retried);
    }
    for (size_t i = 0; i < G_N_ELEMENTS(relayed); i++) {
        g_autofree char *alone =
            g_strdup_printf("/net/endless/relayed/%s", relayed[i].name);
        g_autofree char *ejected =
            g_strdup_printf("/net/endless/ejected/%s", relayed[i].name);

        g_test_add_data_func(alone, &relayed[i], test_relayed);
        g_test_add_data_func(ejected, &relayed[i], test_ejected);
    }
    g_test_add_data_func("/net/endless/long/length", &long_length,
                         test_long_response);
    g_test_add_data_func("/net/endless/long/unframed", &long_unframed,
                         test_long_response);
    g_test_add_data_func("/net/endless/long/slow", &long_slow,
                         test_long_response);
    g_test_add_func("/net/endless/fetches", test_fetches);
    g_test_add_func("/net/endless/store", test_store);
    g_test_add_func("/net/endless/log/endless", test_log_endless);
    g_test_add_func("/net/endless/log/large", test_log_large);
    g_test_add_func("/net/endless/log/small", test_log_small);
    g_test_add_func("/net/endless/log/excess", test_log_excess);
    g_test_add_func("/net/endless/log/excess-rate", test_log_excess_rate);
    g_test_add_func("/net/endless/trickled-head", test_trickled_head);
    g_test_add_data_func("/net/endless/others/length", &relayed[0],
                         test_other_requests);
    g_test_add_data_func("/net/endless/others/chunks", &relayed[1],
                         test_other_requests);
    for (size_t i = 0; i < G_N_ELEMENTS(relayed); i++) {
        g_autofree char *path =
            g_strdup_printf("/net/endless/proxy-relay/%s", relayed[i].name);

        g_test_add_data_func(path, &relayed[i], test_proxy_relay);
    }
    for (size_t i = 0; i < G_N_ELEMENTS(framed); i++) {
        g_autofree char *path =
            g_strdup_printf("/net/endless/framing/%s", framed[i].script.name);

        g_test_add_data_func(path, GSIZE_TO_POINTER(i), test_framing);
    }
    for (size_t i = 0; i < G_N_ELEMENTS(bodyless); i++) {
        g_autofree char *path = g_strdup_printf("/net/endless/bodyless/%s",
                                                bodyless[i].script.name);

        g_test_add_data_func(path, GSIZE_TO_POINTER(i), test_bodyless);
    }
    for (size_t i = 0; i < G_N_ELEMENTS(trickled); i++) {
        g_autofree char *path =
            g_strdup_printf("/net/endless/trickle/%s", trickled[i].name);
        g_autofree char *moved =
            g_strdup_printf("/net/endless/trickle-moved/%s", trickled[i].name);

        g_test_add_data_func(path, &trickled[i], test_trickle);
        g_test_add_data_func(moved, &trickled[i], test_trickle_moved);
    }
    g_test_add_data_func("/net/endless/trickle-unprobed/no-http", &trickled[0],
                         test_trickle_unprobed);
    g_test_add_data_func("/net/endless/trickle-unprobed/header-line",
                         &trickled[1], test_trickle_unprobed);
    g_test_add_func("/net/endless/split-interim", test_split_interim);
    g_test_add_func("/net/endless/proxy-discard", test_proxy_discard);
    g_test_add_func("/net/endless/probe", test_probe);
    g_test_add_func("/net/endless/stalled-caller", test_stalled_caller);
    return g_test_run();
}
