#include <arpa/inet.h>
#include <errno.h>
#include <glib.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include "HttpServer.h"

#define CALLERS 3
#define ITERATIONS_MAX 400
#define TOTAL_BYTES 100000
#define RESERVE_BYTES 20000
#define SMALL_BYTES 8000
#define BODY "0123456789"
#define POST(length)                                                          \
    "POST /x HTTP/1.1\r\nhost: a\r\ncontent-length: " length "\r\n\r\n"

typedef struct Fixture_ {
    Clock *clock;
    Loop *loop;
    InputBudget *budget;
    HttpServer *server;
    HttpRequest *held; /* answered by the test */
    int fds[CALLERS];
    int answered;
    bool hold;
} Fixture;

static void
ignore_request(void *user, HttpRequest *request)
{
}

static void
ignore_body(void *user, HttpRequest *request, Str data)
{
}

static void
respond(Fixture *f, HttpRequest *request)
{
    HeaderList *headers = HeaderList_Create();

    f->answered++;
    HttpRequest_Respond(request, 200, headers, STR("ok"));
    HeaderList_Destroy(headers);
}

static void
on_body_end(void *user, HttpRequest *request)
{
    Fixture *f = user;

    if (f->hold) {
        f->held = request;
        return;
    }
    respond(f, request);
}

static void
on_closed(void *user, HttpRequest *request, bool complete)
{
    Fixture *f = user;

    f->held = f->held == request ? NULL : f->held;
}

static const HttpServerHandlers handlers = {
    ignore_request, ignore_body, on_body_end, ignore_request, on_closed,
};

static void
set_limits(const Fixture *f, size_t head_bytes, int64_t body_bytes)
{
    HttpLimits limits = {.head_bytes = head_bytes, .body_bytes = body_bytes};

    HttpServer_SetLimits(f->server, &limits, 60 * MICROS_PER_S);
}

static void
set_up(Fixture *f, unsigned connections_max)
{
    static const InputBudgetOptions budget = {
        .total_bytes = TOTAL_BYTES,
        .most_bytes = TOTAL_BYTES,
        .reserve_bytes = RESERVE_BYTES,
        .small_bytes = SMALL_BYTES,
    };
    HttpServerOptions options = {.address = "127.0.0.1",
                                 .keep_alive_s = 60,
                                 .connections_max = connections_max};
    Error error = {0};

    memset(f, 0, sizeof(*f));
    f->clock = Clock_CreateSystem();
    f->loop = Loop_Create(f->clock, NULL, &error);
    f->budget = InputBudget_Create(&budget, f->clock);
    options.budget = f->budget;
    f->server = HttpServer_Create(f->loop, &options, &handlers, f, &error);
    g_assert_nonnull(f->server);
    for (int i = 0; i < CALLERS; i++) {
        f->fds[i] = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    }
}

static void
tear_down(Fixture *f)
{
    for (int i = 0; i < CALLERS; i++) {
        close(f->fds[i]);
    }
    Loop_Close(f->loop);
    HttpServer_Destroy(f->server);
    InputBudget_Destroy(f->budget);
    Loop_Destroy(f->loop);
    Clock_Destroy(f->clock);
}

static void
on_wake(void *user)
{
}

static void
run_once(const Fixture *f)
{
    LoopTimer *timer = LoopTimer_Create(f->loop, on_wake, NULL);

    LoopTimer_Start(timer, MICROS_PER_MS);
    Loop_RunOnce(f->loop);
    LoopTimer_Destroy(timer);
}

static void
run_some(const Fixture *f)
{
    for (int i = 0; i < 20; i++) {
        run_once(f);
    }
}

static void
connect_caller(const Fixture *f, int i)
{
    struct sockaddr_in peer = {
        .sin_family = AF_INET,
        .sin_port = htons(HttpServer_Port(f->server)),
        .sin_addr = {htonl(INADDR_LOOPBACK)},
    };

    g_assert_cmpint(connect(f->fds[i], (struct sockaddr *)&peer, sizeof(peer)),
                    ==, 0);
    run_some(f);
}

static void
send_text(const Fixture *f, int i, const char *text)
{
    g_assert_cmpint(send(f->fds[i], text, strlen(text), MSG_NOSIGNAL), ==,
                    (ssize_t)strlen(text));
    run_some(f);
}

static void
send_bytes(const Fixture *f, int i, size_t length)
{
    g_autofree char *text = g_strnfill(length, 'x');

    send_text(f, i, text);
}

/* Returns the status, 0 at the end of the connection, -1 without either. */
static int
read_status(const Fixture *f, int i)
{
    char text[512];

    for (int n = 0; n < ITERATIONS_MAX; n++) {
        ssize_t length = recv(f->fds[i], text, sizeof(text) - 1, MSG_DONTWAIT);

        if (length > 0) {
            text[length] = '\0';
            g_assert_true(g_str_has_prefix(text, "HTTP/1.1 "));
            g_assert_true(atoi(text + 9) != 503 ||
                          strstr(text, "\r\nretry-after: 1\r\n") != NULL);
            return atoi(text + 9);
        }
        if (length == 0 || errno != EAGAIN) {
            return 0;
        }
        run_once(f);
    }
    return -1;
}

/* Guards against a limit that a new configuration lowers and that ends bodies
 * under way. */
static void
test_lowered_body_limit(void)
{
    Fixture f;

    set_up(&f, 0);
    set_limits(&f, 0, 20);
    connect_caller(&f, 0);
    send_text(&f, 0, POST("20") BODY);
    set_limits(&f, 0, 5);
    send_text(&f, 0, BODY);
    g_assert_cmpint(read_status(&f, 0), ==, 200);
    send_text(&f, 0, POST("20"));
    g_assert_cmpint(read_status(&f, 0), ==, 413);
    tear_down(&f);
}

/* Guards against a raised limit on header blocks that does not reach connections
 * that are open, and a lowered one that ends a header block under way. */
static void
test_changed_head_limit(void)
{
    Fixture f;

    set_up(&f, 0);
    set_limits(&f, 100, 0);
    connect_caller(&f, 0);
    set_limits(&f, 8000, 0);
    send_text(&f, 0, "GET /x HTTP/1.1\r\nhost: a\r\nfill: ");
    send_bytes(&f, 0, 200);
    set_limits(&f, 100, 0);
    send_bytes(&f, 0, 200);
    send_text(&f, 0, "\r\n\r\n");
    g_assert_cmpint(read_status(&f, 0), ==, 200);
    send_text(&f, 0, "GET /x HTTP/1.1\r\nhost: a\r\nfill: ");
    send_bytes(&f, 0, 200);
    g_assert_cmpint(read_status(&f, 0), ==, 431);
    tear_down(&f);
}

/* Guards against bodies that take more than the budget together, and against
 * small requests that are refused then. */
static void
test_bodies_over_budget(void)
{
    Fixture f;

    set_up(&f, 0);
    for (int i = 0; i < CALLERS; i++) {
        connect_caller(&f, i);
    }
    send_text(&f, 0, POST("60000"));
    send_bytes(&f, 0, 50000);
    send_text(&f, 1, POST("60000"));
    send_bytes(&f, 1, 40000);
    g_assert_cmpint(read_status(&f, 1), ==, 503);
    g_assert_cmpint(read_status(&f, 1), ==, 0);
    g_assert_cmpuint(InputBudget_UsedBytes(f.budget), >=, 50000);
    g_assert_cmpuint(InputBudget_UsedBytes(f.budget), <=,
                     TOTAL_BYTES - RESERVE_BYTES);
    send_text(&f, 2, POST("10") BODY);
    g_assert_cmpint(read_status(&f, 2), ==, 200);
    send_bytes(&f, 0, 10000);
    g_assert_cmpint(read_status(&f, 0), ==, 200);
    run_some(&f);
    g_assert_cmpuint(InputBudget_UsedBytes(f.budget), <=, SMALL_BYTES);
    g_assert_cmpuint(HttpServer_Pressure(f.server)->refused, ==, 1);
    tear_down(&f);
}

/* Guards against a body that is read though it can never fit. */
static void
test_body_that_cannot_fit(void)
{
    Fixture f;

    set_up(&f, 0);
    connect_caller(&f, 0);
    send_text(&f, 0, POST("90000"));
    g_assert_cmpint(read_status(&f, 0), ==, 413);
    tear_down(&f);
}

/* Guards against a connection with a complete request that is closed for a new
 * one, and new ones that are accepted beyond the limit. */
static void
test_connection_limit(void)
{
    Fixture f;

    set_up(&f, 1);
    f.hold = true;
    connect_caller(&f, 0);
    send_text(&f, 0, POST("10") BODY);
    g_assert_nonnull(f.held);
    connect_caller(&f, 1);
    g_assert_cmpuint(HttpServer_AcceptedCount(f.server), ==, 1);
    respond(&f, f.held);
    f.hold = false;
    g_assert_cmpint(read_status(&f, 0), ==, 200);
    send_text(&f, 1, POST("10") BODY);
    g_assert_cmpint(read_status(&f, 1), ==, 200);
    g_assert_cmpint(read_status(&f, 0), ==, 0);
    g_assert_cmpuint(HttpServer_Pressure(f.server)->closed, ==, 1);
    tear_down(&f);
}

/* Guards against a host that spins while it has no descriptor for a new
 * connection. */
static void
test_no_descriptors(void)
{
    struct rlimit before, none;
    uint64_t iterations;
    Fixture f;
    int fd;

    set_up(&f, 0);
    fd = dup(f.fds[0]);
    close(fd);
    g_assert_cmpint(getrlimit(RLIMIT_NOFILE, &before), ==, 0);
    none = before;
    none.rlim_cur = (rlim_t)fd;
    g_assert_cmpint(setrlimit(RLIMIT_NOFILE, &none), ==, 0);
    connect_caller(&f, 0);
    iterations = Loop_Iterations(f.loop);
    for (Micros end = Clock_Now(f.clock) + 200 * MICROS_PER_MS;
         Clock_Now(f.clock) < end;) {
        Loop_RunOnce(f.loop);
    }
    g_assert_cmpuint(Loop_Iterations(f.loop) - iterations, <, 100);
    g_assert_cmpint(setrlimit(RLIMIT_NOFILE, &before), ==, 0);
    send_text(&f, 0, POST("10") BODY);
    g_assert_cmpint(read_status(&f, 0), ==, 200);
    tear_down(&f);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/caller-limits/lowered-body-limit",
                    test_lowered_body_limit);
    g_test_add_func("/caller-limits/changed-head-limit",
                    test_changed_head_limit);
    g_test_add_func("/caller-limits/bodies-over-budget",
                    test_bodies_over_budget);
    g_test_add_func("/caller-limits/body-that-cannot-fit",
                    test_body_that_cannot_fit);
    g_test_add_func("/caller-limits/connection-limit", test_connection_limit);
    g_test_add_func("/caller-limits/no-descriptors", test_no_descriptors);
    return g_test_run();
}
