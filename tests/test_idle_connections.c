#include <arpa/inet.h>
#include <errno.h>
#include <glib.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "Gateway.h"
#include "PlatformDialect.h"

#define IDLE_TIME_US (100 * MICROS_PER_MS)
/* Longer than the idle limit of a connection and all that is added to it. */
#define STALL_TIME_US (400 * MICROS_PER_MS)
#define ITERATIONS_MAX 200
/* More than the caller's buffer takes, less than that of the host. */
#define SLOW_RESPONSE_BYTES 65536
#define REQUEST "GET /x HTTP/1.1\r\nhost: a\r\n\r\n"

typedef struct Fixture_ {
    Clock *clock;
    Loop *loop;
    HttpServer *server;
    int fd; /* of the caller */
    size_t requests;
    size_t response_bytes; /* of a body; 0 for a short one */
} Fixture;

static void
on_request(void *user, HttpRequest *request)
{
    Fixture *f = user;

    f->requests++;
}

static void
on_body(void *user, HttpRequest *request, Str data)
{
}

static void
on_body_end(void *user, HttpRequest *request)
{
    const Fixture *f = user;
    HeaderList *headers = HeaderList_Create();
    GString *body = g_string_new("hello");

    if (f->response_bytes > 0) {
        g_string_set_size(body, f->response_bytes);
        memset(body->str, 'x', body->len);
    }
    HttpRequest_Respond(request, 200, headers, Str_FromString(body));
    g_string_free(body, TRUE);
    HeaderList_Destroy(headers);
}

static void
on_drained(void *user, HttpRequest *request)
{
}

static void
on_closed(void *user, HttpRequest *request, bool complete)
{
}

static const HttpServerHandlers handlers = {
    on_request, on_body, on_body_end, on_drained, on_closed,
};

/* Keeps the loop from waiting for events. */
static void
on_wake(void *user)
{
}

static void
run_once(Fixture *f)
{
    LoopTimer *timer = LoopTimer_Create(f->loop, on_wake, f);

    LoopTimer_Start(timer, MICROS_PER_MS);
    Loop_RunOnce(f->loop);
    LoopTimer_Destroy(timer);
}

static void
send_text(const Fixture *f, const char *text)
{
    g_assert_cmpint(send(f->fd, text, strlen(text), MSG_NOSIGNAL), ==,
                    (ssize_t)strlen(text));
}

/* Runs the loop until the caller has received a response, or the end of the
 * connection. Returns the status, 0 at the end. */
static int
read_status(Fixture *f)
{
    char text[512];

    for (int i = 0; i < ITERATIONS_MAX; i++) {
        ssize_t n = recv(f->fd, text, sizeof(text) - 1, MSG_DONTWAIT);

        if (n > 0) {
            text[n] = '\0';
            g_assert_true(g_str_has_prefix(text, "HTTP/1.1 "));
            return atoi(text + strlen("HTTP/1.1 "));
        }
        if (n == 0 || errno != EAGAIN) {
            return 0;
        }
        run_once(f);
    }
    return -1;
}

static void
connect_fd(const Fixture *f, uint16_t port)
{
    struct sockaddr_in peer = {
        .sin_family = AF_INET,
        .sin_port = htons(port),
        .sin_addr = {htonl(INADDR_LOOPBACK)},
    };

    g_assert_cmpint(connect(f->fd, (struct sockaddr *)&peer, sizeof(peer)), ==,
                    0);
}

static void
connect_caller(Fixture *f, uint16_t port)
{
    f->fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    connect_fd(f, port);
}

static void
set_limits(const Fixture *f, Micros idle_time, Micros head_time)
{
    HttpLimits limits = {.head_timeout = head_time};

    HttpServer_SetLimits(f->server, &limits, idle_time);
}

/* The connection of the caller is idle after its first response. */
static void
set_up_with_clock(Fixture *f, Clock *clock)
{
    HttpServerOptions options = {.address = "127.0.0.1", .keep_alive_s = 60};
    Error error = {0};

    memset(f, 0, sizeof(*f));
    f->clock = clock;
    f->loop = Loop_Create(f->clock, NULL, &error);
    f->server = HttpServer_Create(f->loop, &options, &handlers, f, &error);
    g_assert_nonnull(f->server);
    set_limits(f, IDLE_TIME_US, 0);
    connect_caller(f, HttpServer_Port(f->server));
    send_text(f, REQUEST);
    g_assert_cmpint(read_status(f), ==, 200);
    run_once(f);
}

static void
set_up(Fixture *f)
{
    set_up_with_clock(f, Clock_CreateSystem());
}

static void
tear_down(Fixture *f)
{
    close(f->fd);
    Loop_Close(f->loop);
    HttpServer_Destroy(f->server);
    Loop_Destroy(f->loop);
    Clock_Destroy(f->clock);
}

/* Guards against a request that is lost since a stalled host closes its
 * connection as idle before it reads it. */
static void
test_input_at_deadline(void)
{
    Fixture f;

    set_up(&f);
    send_text(&f, REQUEST);
    g_usleep(STALL_TIME_US);
    g_assert_cmpint(read_status(&f), ==, 200);
    tear_down(&f);
}

/* Guards against a whole request that is answered 408 since a stalled host
 * checks its time limit before it reads the rest. */
static void
test_head_at_deadline(void)
{
    Fixture f;

    set_up(&f);
    set_limits(&f, 10 * MICROS_PER_S, IDLE_TIME_US);
    send_text(&f, "GET /x HTTP/1.1\r\n");
    for (int i = 0; i < 3; i++) {
        run_once(&f);
    }
    send_text(&f, "host: a\r\n\r\n");
    g_usleep(STALL_TIME_US);
    g_assert_cmpint(read_status(&f), ==, 200);
    tear_down(&f);
}

/* Returns whether a request of the caller was left unread, so that the system
 * has reset the connection. */
static bool
is_reset_by_request(Fixture *f)
{
    send_text(f, REQUEST);
    for (int i = 0; i < ITERATIONS_MAX; i++) {
        run_once(f);
        if (send(f->fd, REQUEST, strlen(REQUEST), MSG_NOSIGNAL) < 0) {
            return true;
        }
    }
    return false;
}

/* Guards against a request that crosses the close of its idle connection and
 * is read without a response: its caller can't know that it did not run. */
static void
test_request_after_close(void)
{
    Fixture f;

    set_up(&f);
    g_usleep(STALL_TIME_US);
    g_assert_cmpint(read_status(&f), ==, 0);
    g_assert_true(is_reset_by_request(&f));
    g_assert_cmpuint(f.requests, ==, 1);
    tear_down(&f);
}

/* Guards against a request that is lost since the host closes idle connections
 * while it stops. */
static void
test_input_at_stop(void)
{
    Fixture f;

    set_up(&f);
    send_text(&f, REQUEST);
    HttpServer_StopListening(f.server);
    HttpServer_CloseIdle(f.server);
    g_assert_cmpint(read_status(&f), ==, 200);
    tear_down(&f);
}

/* Guards against a close that crosses a request, since the caller's idle time
 * begins only when the response has arrived. */
static void
test_late_request(void)
{
    Fixture f;

    set_up_with_clock(&f, Clock_CreateManual(0, 0));
    Clock_Advance(f.clock, IDLE_TIME_US + IDLE_TIME_US / 10);
    g_usleep(STALL_TIME_US);
    run_once(&f);
    run_once(&f);
    send_text(&f, REQUEST);
    g_assert_cmpint(read_status(&f), ==, 200);
    tear_down(&f);
}

/* Guards against a request that crosses the close of its connection at a stop
 * and is read without a response. */
static void
test_request_after_stop(void)
{
    Fixture f;

    set_up(&f);
    HttpServer_StopListening(f.server);
    HttpServer_CloseIdle(f.server);
    g_assert_cmpint(read_status(&f), ==, 0);
    g_assert_true(is_reset_by_request(&f));
    tear_down(&f);
}

/* Connects a caller whose small buffer holds up responses, and sends a request.
 * Returns when the host has handed its response to the system. */
static void
start_slow_response(Fixture *f)
{
    int bytes = 4096;

    close(f->fd);
    f->fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    setsockopt(f->fd, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof(bytes));
    connect_fd(f, HttpServer_Port(f->server));
    f->response_bytes = SLOW_RESPONSE_BYTES;
    send_text(f, REQUEST);
    for (int i = 0; i < 5; i++) {
        run_once(f);
    }
    g_assert_cmpuint(f->requests, ==, 2);
    g_assert_cmpuint(HttpServer_OpenRequests(f->server), ==, 0);
}

/* Returns the number of bytes until the end of the connection or, with @count
 * above 0, until that many have arrived. */
static size_t
read_bytes(Fixture *f, size_t count)
{
    char text[4096];
    size_t total = 0;

    for (int i = 0; i < ITERATIONS_MAX && (count == 0 || total < count); i++) {
        ssize_t n = recv(f->fd, text, sizeof(text), MSG_DONTWAIT);

        if (n > 0) {
            total += (size_t)n;
        }
        if (n == 0 || (n < 0 && errno != EAGAIN)) {
            break;
        }
        run_once(f);
    }
    return total;
}

/* Guards against a response that is cut since the host closes its connection
 * as idle while the system still sends it, and the peer sends something. */
static void
test_response_at_stop(void)
{
    Fixture f;

    set_up(&f);
    start_slow_response(&f);
    HttpServer_StopListening(f.server);
    HttpServer_CloseIdle(f.server);
    send_text(&f, REQUEST);
    g_assert_cmpuint(read_bytes(&f, 0), >, SLOW_RESPONSE_BYTES);
    tear_down(&f);
}

/* Guards against idle time that runs while the response is still on its way
 * to the caller. */
static void
test_slow_response(void)
{
    Fixture f;

    set_up(&f);
    start_slow_response(&f);
    g_usleep(STALL_TIME_US);
    run_once(&f);
    run_once(&f);
    g_assert_cmpuint(read_bytes(&f, SLOW_RESPONSE_BYTES), >=,
                     SLOW_RESPONSE_BYTES);
    f.response_bytes = 0;
    send_text(&f, REQUEST);
    for (int i = 0; i < 5; i++) {
        run_once(&f);
    }
    g_assert_cmpuint(f.requests, ==, 3);
    tear_down(&f);
}

/* Guards against a lowered limit that closes connections of callers that do not
 * know it yet. */
static void
test_lowered_limit(void)
{
    Fixture f;

    set_up(&f);
    set_limits(&f, 4 * STALL_TIME_US, 0);
    send_text(&f, REQUEST);
    g_assert_cmpint(read_status(&f), ==, 200);
    set_limits(&f, IDLE_TIME_US, 0);
    send_text(&f, REQUEST);
    g_assert_cmpint(read_status(&f), ==, 200);
    g_usleep(STALL_TIME_US);
    run_once(&f);
    run_once(&f);
    send_text(&f, REQUEST);
    g_assert_cmpint(read_status(&f), ==, 200);
    tear_down(&f);
}

/* Guards against an idle connection without a time limit: empty lines before a
 * request remove it if the head has no limit. */
static void
test_empty_line(void)
{
    Fixture f;

    set_up(&f);
    send_text(&f, "\r\n");
    run_once(&f);
    run_once(&f);
    g_usleep(STALL_TIME_US);
    g_assert_cmpint(read_status(&f), ==, 0);
    tear_down(&f);
}

/* Guards against a connection that is closed by a limit that has been raised
 * since. */
static void
test_raised_limit(void)
{
    Fixture f;

    set_up(&f);
    set_limits(&f, 60 * MICROS_PER_S, 0);
    g_usleep(STALL_TIME_US);
    run_once(&f);
    run_once(&f);
    send_text(&f, REQUEST);
    g_assert_cmpint(read_status(&f), ==, 200);
    tear_down(&f);
}

/* Guards against a limit below a second that is taken for no limit. */
static void
test_short_limit(void)
{
    DispatcherOptions dispatcher_options = {
        .host = STR("h"), .domain = STR("d"), .retry_window = MICROS_PER_S};
    GatewayOptions options = {.address = "127.0.0.1",
                              .dialect = &PLATFORM_DIALECT,
                              .connections_max = 1};
    CallerLimits limits = {.idle_time = 300 * MICROS_PER_MS};
    Random *random = Random_Create(1);
    Counters *counters = Counters_Create(64);
    Dispatcher *dispatcher;
    Gateway *gateway;
    Fixture f;

    set_up(&f);
    dispatcher = Dispatcher_Create(&dispatcher_options, f.clock, random, NULL,
                                   NULL, counters);
    gateway = Gateway_Create(f.loop, dispatcher, counters, &options, NULL);
    g_assert_nonnull(gateway);
    Gateway_SetLimits(gateway, &limits);
    close(f.fd);
    connect_caller(&f, Gateway_Port(gateway));
    send_text(&f, REQUEST);
    g_assert_cmpint(read_status(&f), ==, 503);
    g_usleep(2 * STALL_TIME_US);
    g_assert_cmpint(read_status(&f), ==, 0);
    Loop_Close(f.loop);
    Gateway_Destroy(gateway);
    Dispatcher_Destroy(dispatcher);
    tear_down(&f);
    Counters_Destroy(counters);
    Random_Destroy(random);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/net/idle-connections/input-at-deadline",
                    test_input_at_deadline);
    g_test_add_func("/net/idle-connections/head-at-deadline",
                    test_head_at_deadline);
    g_test_add_func("/net/idle-connections/request-after-close",
                    test_request_after_close);
    g_test_add_func("/net/idle-connections/late-request", test_late_request);
    g_test_add_func("/net/idle-connections/input-at-stop", test_input_at_stop);
    g_test_add_func("/net/idle-connections/request-after-stop",
                    test_request_after_stop);
    g_test_add_func("/net/idle-connections/raised-limit", test_raised_limit);
    g_test_add_func("/net/idle-connections/short-limit", test_short_limit);
    g_test_add_func("/net/idle-connections/response-at-stop",
                    test_response_at_stop);
    g_test_add_func("/net/idle-connections/slow-response", test_slow_response);
    g_test_add_func("/net/idle-connections/lowered-limit", test_lowered_limit);
    g_test_add_func("/net/idle-connections/empty-line", test_empty_line);
    return g_test_run();
}
