#include "ScriptedGateway.h"

#include <arpa/inet.h>
#include <glib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "Gateway.h"
#include "GatewayFixture.h"
#include "PlatformDialect.h"

#define HEAD_BYTES_MAX 8192
/* The host reads the copy long before the response follows. */
#define RESPONSE_DELAY_US (50 * MICROS_PER_MS)
#define HELD_POLL_US (2 * MICROS_PER_MS)
#define TIMEOUT_US (60 * MICROS_PER_S)

/* One thread accepts connections, and one serves each connection. */
struct ScriptedGateway_ {
    const ScriptedReply *replies;
    unsigned reply_count;
    int listen_fd;
    uint16_t port;
    gint requests;
    gint connections; /* so far */
    gint open;        /* connections that are served */
    gint held;        /* a reply waits */
    GThread *thread;
    Clock *clock;
    Random *random;
    Loop *loop;
    Counters *counters;
    Dispatcher *dispatcher;
    Gateway *gateway;
    HttpClient *caller;
    LoopTimer *guard;
    LoopTimer *held_timer;
    ScriptedHandler *on_held;
    void *on_held_user;
    GString *body;
    int status;
    bool complete;
    bool failed;
};

typedef struct Served_ {
    ScriptedGateway *owner;
    int fd;
} Served;

/* ---- upstream ------------------------------------------------------- */

/* Returns false at the end of the connection. */
static bool
read_head(int fd)
{
    char head[HEAD_BYTES_MAX];
    size_t n = 0;

    while (n < HEAD_BYTES_MAX - 1) {
        if (recv(fd, head + n, 1, 0) <= 0) {
            return false;
        }
        head[++n] = '\0';
        if (g_str_has_suffix(head, "\r\n\r\n")) {
            return true;
        }
    }
    return false;
}

static void
write_text(int fd, const char *text)
{
    if (send(fd, text, strlen(text), MSG_NOSIGNAL) < 0) {
        g_test_message("the host has closed the connection");
    }
}

static void
reply(ScriptedGateway *this, int fd, bool reused)
{
    unsigned n = (unsigned)g_atomic_int_add(&this->requests, 1);
    const ScriptedReply *script =
        &this->replies[MIN(n, this->reply_count - 1)];

    if (script->held) {
        g_atomic_int_set(&this->held, 1);
        while (g_atomic_int_get(&this->held) != 0) {
            g_usleep(HELD_POLL_US);
        }
    }
    if (script->copy != NULL && reused) {
        write_text(fd, script->copy);
        g_usleep(RESPONSE_DELAY_US);
    }
    write_text(fd, script->response);
}

static gpointer
serve_connection(gpointer data)
{
    Served *served = data;
    bool reused = false;

    while (read_head(served->fd)) {
        g_atomic_int_add(&served->owner->connections, !reused);
        reply(served->owner, served->fd, reused);
        reused = true;
    }
    close(served->fd);
    g_atomic_int_add(&served->owner->open, -1);
    g_free(served);
    return NULL;
}

static gpointer
accept_connections(gpointer data)
{
    ScriptedGateway *this = data;
    int fd;

    while ((fd = accept(this->listen_fd, NULL, NULL)) >= 0) {
        Served *served = g_new0(Served, 1);

        served->owner = this;
        served->fd = fd;
        g_atomic_int_inc(&this->open);
        g_thread_unref(g_thread_new("connection", serve_connection, served));
    }
    return NULL;
}

static void
start_upstream(ScriptedGateway *this)
{
    struct sockaddr_in address = {
        .sin_family = AF_INET,
        .sin_addr = {htonl(INADDR_LOOPBACK)},
    };
    socklen_t length = sizeof(address);

    this->listen_fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    g_assert_cmpint(
        bind(this->listen_fd, (struct sockaddr *)&address, sizeof(address)),
        ==, 0);
    g_assert_cmpint(listen(this->listen_fd, 64), ==, 0);
    getsockname(this->listen_fd, (struct sockaddr *)&address, &length);
    this->port = ntohs(address.sin_port);
    this->thread = g_thread_new("upstream", accept_connections, this);
}

static void
on_held_timer(void *user)
{
    ScriptedGateway *this = user;

    if (g_atomic_int_get(&this->held) == 0) {
        LoopTimer_Start(this->held_timer, HELD_POLL_US);
        return;
    }
    this->on_held(this->on_held_user);
    g_atomic_int_set(&this->held, 0);
}

/* ---- caller --------------------------------------------------------- */

static void
on_headers(void *user, HttpCall *call, int status, const HeaderList *headers)
{
    ((ScriptedGateway *)user)->status = status;
}

static void
on_data(void *user, HttpCall *call, Str data)
{
    Str_AppendTo(data, ((ScriptedGateway *)user)->body);
}

static void
on_drained(void *user, HttpCall *call)
{
}

static void
on_complete(void *user, HttpCall *call)
{
    ((ScriptedGateway *)user)->complete = true;
}

static void
on_failed(void *user, HttpCall *call, HttpCallFailure failure, bool maybe_sent,
          const Error *error)
{
    ((ScriptedGateway *)user)->failed = true;
}

static const HttpCallHandlers call_handlers = {
    on_headers, on_data, on_drained, on_complete, on_failed,
};

int
ScriptedGateway_Call(ScriptedGateway *this, const char *path)
{
    HeaderList *headers = HeaderList_Create();
    HttpCallSpec spec = {.address = "127.0.0.1",
                         .port = Gateway_Port(this->gateway),
                         .method = STR("GET"),
                         .path = Str_FromC(path),
                         .headers = headers,
                         .new_connection = true};

    HeaderList_Add(headers, STR("host"), GATEWAY_FIXTURE_HOST);
    HeaderList_Add(headers, STR("agatecrank-attempt-id"), STR(SCRIPTED_ID));
    this->complete = this->failed = false;
    this->status = 0;
    g_string_truncate(this->body, 0);
    g_assert_nonnull(
        HttpClient_Start(this->caller, &spec, &call_handlers, this, NULL));
    HeaderList_Destroy(headers);
    while (!this->complete && !this->failed) {
        Loop_RunOnce(this->loop);
    }
    return this->complete ? this->status : 0;
}

Str
ScriptedGateway_Body(const ScriptedGateway *this)
{
    return Str_FromString(this->body);
}

unsigned
ScriptedGateway_Requests(const ScriptedGateway *this)
{
    return (unsigned)g_atomic_int_get(&this->requests);
}

unsigned
ScriptedGateway_Connections(const ScriptedGateway *this)
{
    return (unsigned)g_atomic_int_get(&this->connections);
}

/* ---- roster --------------------------------------------------------- */

void
ScriptedGateway_List(ScriptedGateway *this, const char *id, int64_t started)
{
    UpstreamEntry entry = GatewayFixture_Upstream(id, this->port, 4);

    entry.address = STR("127.0.0.1");
    entry.started = started;
    Dispatcher_PutUpstream(this->dispatcher, &entry);
}

void
ScriptedGateway_Drop(ScriptedGateway *this, const char *id)
{
    Dispatcher_RemoveUpstream(this->dispatcher, Str_FromC(id));
}

void
ScriptedGateway_OnHeld(ScriptedGateway *this, ScriptedHandler *handler,
                       void *user)
{
    this->on_held = handler;
    this->on_held_user = user;
    LoopTimer_Start(this->held_timer, HELD_POLL_US);
}

/* ---- creation ------------------------------------------------------- */

static void
fail_test(void *user)
{
    g_error("the test takes too long");
}

static void
create_gateway(ScriptedGateway *this)
{
    DispatcherOptions dispatcher = {.host = STR("a"),
                                    .domain = STR("d"),
                                    .retry_window = 10 * MICROS_PER_S,
                                    .retry_share = 0.2,
                                    .retry_extra = 200,
                                    .outage_grace = MICROS_PER_S};
    GatewayOptions options = {.address = "127.0.0.1",
                              .dialect = &PLATFORM_DIALECT,
                              .connections_max = 8,
                              .reuse_idle = MICROS_PER_S};
    CallerLimits limits = {0};
    RouteTable *table = RouteTable_Create(1, &limits);

    this->dispatcher = Dispatcher_Create(
        &dispatcher, this->clock, this->random, NULL, NULL, this->counters);
    this->gateway = Gateway_Create(this->loop, this->dispatcher,
                                   this->counters, &options, NULL);
    g_assert_nonnull(this->gateway);
    GatewayFixture_AddRoute(table, "/once/", ROUTE_AT_MOST_ONCE, 1,
                            300 * MICROS_PER_MS, 3 * MICROS_PER_S);
    GatewayFixture_AddRoute(table, "/safe/", ROUTE_IDEMPOTENT, 1,
                            300 * MICROS_PER_MS, 3 * MICROS_PER_S);
    g_assert_cmpint(Dispatcher_SetRoutes(this->dispatcher, table), ==, 0);
    RouteTable_Unref(table);
    Dispatcher_SetSourceReachable(this->dispatcher, true, 0);
}

ScriptedGateway *
ScriptedGateway_Create(const ScriptedReply *replies, unsigned reply_count)
{
    ScriptedGateway *this = g_new0(ScriptedGateway, 1);
    HttpClientOptions client = {.max_connections = 4};

    this->replies = replies;
    this->reply_count = reply_count;
    this->clock = Clock_CreateSystem();
    this->random = Random_Create(3);
    this->loop = Loop_Create(this->clock, NULL, NULL);
    this->counters = Counters_Create(100);
    this->body = g_string_new(NULL);
    start_upstream(this);
    create_gateway(this);
    this->caller = HttpClient_Create(this->loop, &client);
    this->held_timer = LoopTimer_Create(this->loop, on_held_timer, this);
    this->guard = LoopTimer_Create(this->loop, fail_test, this);
    LoopTimer_Start(this->guard, TIMEOUT_US);
    return this;
}

void
ScriptedGateway_Destroy(ScriptedGateway *this)
{
    Loop_Close(this->loop);
    LoopTimer_Destroy(this->guard);
    LoopTimer_Destroy(this->held_timer);
    Gateway_Destroy(this->gateway);
    Dispatcher_Destroy(this->dispatcher);
    HttpClient_Destroy(this->caller);
    shutdown(this->listen_fd, SHUT_RDWR);
    g_thread_join(this->thread);
    while (g_atomic_int_get(&this->open) > 0) {
        g_usleep(MICROS_PER_MS);
    }
    close(this->listen_fd);
    g_string_free(this->body, TRUE);
    Loop_Destroy(this->loop);
    Counters_Destroy(this->counters);
    Random_Destroy(this->random);
    Clock_Destroy(this->clock);
    g_free(this);
}
