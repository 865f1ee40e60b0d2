#include <arpa/inet.h>
#include <glib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "HttpFetch.h"

#define TIMEOUT_US (100 * MICROS_PER_MS)
/* Longer than the timeouts: the process is too busy to read. */
#define STALL_TIME_US (400 * MICROS_PER_MS)
#define TEST_TIMEOUT_US (4 * MICROS_PER_S)
#define ITERATIONS_MAX 200
#define RESPONSE "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nhi"

/* Calls to an upstream whose sockets the test reads and writes itself. */
typedef struct Fixture_ {
    Clock *clock;
    Loop *loop;
    char *url;
    uint16_t port;
    int listen_fd;
    int fd; /* of the upstream */
    int code;
    size_t ended;
    size_t failed;
} Fixture;

static void
set_up(Fixture *f)
{
    struct sockaddr_in address = {
        .sin_family = AF_INET,
        .sin_addr = {htonl(INADDR_LOOPBACK)},
    };
    socklen_t length = sizeof(address);
    Error error = {0};

    memset(f, 0, sizeof(*f));
    f->clock = Clock_CreateSystem();
    f->loop = Loop_Create(f->clock, NULL, &error);
    f->listen_fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    g_assert_cmpint(
        bind(f->listen_fd, (struct sockaddr *)&address, sizeof(address)), ==,
        0);
    g_assert_cmpint(listen(f->listen_fd, 8), ==, 0);
    getsockname(f->listen_fd, (struct sockaddr *)&address, &length);
    f->port = ntohs(address.sin_port);
    f->url = g_strdup_printf("http://127.0.0.1:%u", f->port);
}

static void
tear_down(Fixture *f)
{
    Loop_Destroy(f->loop);
    Clock_Destroy(f->clock);
    close(f->listen_fd);
    g_free(f->url);
}

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
run_until_ended(Fixture *f, size_t calls)
{
    for (int i = 0; i < ITERATIONS_MAX && f->ended < calls; i++) {
        run_once(f);
    }
    g_assert_cmpuint(f->ended, ==, calls);
}

static void
receive_request(Fixture *f)
{
    char text[1024];

    for (int i = 0; i < 5; i++) {
        run_once(f);
    }
    g_assert_cmpint(recv(f->fd, text, sizeof(text), MSG_DONTWAIT), >, 0);
}

static void
send_response(const Fixture *f)
{
    g_assert_cmpint(send(f->fd, RESPONSE, strlen(RESPONSE), MSG_NOSIGNAL), ==,
                    (ssize_t)strlen(RESPONSE));
}

static void
on_fetched(void *user, const HttpFetchResponse *response)
{
    Fixture *f = user;

    f->code = response->code;
    f->ended++;
}

/* Guards against a response that is discarded since a stalled process checks
 * the timeout before it reads what has arrived. */
static void
test_response_at_timeout(void)
{
    HttpFetch *fetch;
    Error error;
    Fixture f;

    set_up(&f);
    fetch = HttpFetch_Create(f.loop, Str_FromC(f.url), 1000, NULL, &error);
    HttpFetch_Send(fetch, STR("GET"), STR("/"), NULL, STR(""), TIMEOUT_US,
                   on_fetched, &f);
    f.fd = accept(f.listen_fd, NULL, NULL);
    receive_request(&f);
    send_response(&f);
    g_usleep(STALL_TIME_US);
    run_until_ended(&f, 1);
    g_assert_cmpint(f.code, ==, 0);
    close(f.fd);
    Loop_Close(f.loop);
    HttpFetch_Destroy(fetch);
    tear_down(&f);
}

static void
on_headers(void *user, HttpCall *call, int status, const HeaderList *headers)
{
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
    Fixture *f = user;

    f->ended++;
}

static void
on_failed(void *user, HttpCall *call, HttpCallFailure failure, bool maybe_sent,
          const Error *error)
{
    Fixture *f = user;

    f->ended++;
    f->failed++;
}

static const HttpCallHandlers handlers = {
    on_headers, on_data, on_drained, on_complete, on_failed,
};

/* Guards against an upstream that counts as unreachable since a stalled
 * process checks the connect timeout before it sees that it is connected. */
static void
test_connected_at_timeout(void)
{
    HttpClientOptions options = {.max_connections = 1,
                                 .connect_timeout = TIMEOUT_US};
    HttpCallSpec spec = {
        .address = "127.0.0.1", .method = STR("GET"), .path = STR("/")};
    HttpClient *client;
    Fixture f;

    set_up(&f);
    client = HttpClient_Create(f.loop, &options);
    spec.port = f.port;
    HttpClient_Start(client, &spec, &handlers, &f, NULL);
    f.fd = accept(f.listen_fd, NULL, NULL);
    g_usleep(STALL_TIME_US);
    run_once(&f);
    g_assert_cmpuint(f.failed, ==, 0);
    receive_request(&f);
    send_response(&f);
    run_until_ended(&f, 1);
    close(f.fd);
    Loop_Close(f.loop);
    HttpClient_Destroy(client);
    tear_down(&f);
}

/* Guards against a request on a connection whose end has arrived but was not
 * read: whether the request ran is then unknown. */
static void
test_end_before_reuse(void)
{
    HttpClientOptions options = {.max_connections = 1};
    HttpCallSpec spec = {
        .address = "127.0.0.1", .method = STR("GET"), .path = STR("/")};
    HttpClient *client;
    Fixture f;

    set_up(&f);
    client = HttpClient_Create(f.loop, &options);
    spec.port = f.port;
    HttpClient_Start(client, &spec, &handlers, &f, NULL);
    f.fd = accept(f.listen_fd, NULL, NULL);
    receive_request(&f);
    send_response(&f);
    run_until_ended(&f, 1);
    close(f.fd);
    g_usleep(MICROS_PER_MS);
    HttpClient_Start(client, &spec, &handlers, &f, NULL);
    run_once(&f);
    run_once(&f);
    g_assert_cmpuint(f.failed, ==, 0);
    g_assert_cmpuint(HttpClient_OpenedCount(client), ==, 2);
    Loop_Close(f.loop);
    HttpClient_Destroy(client);
    tear_down(&f);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/net/late-responses/response-at-timeout",
                    test_response_at_timeout);
    g_test_add_func("/net/late-responses/connected-at-timeout",
                    test_connected_at_timeout);
    g_test_add_func("/net/late-responses/end-before-reuse",
                    test_end_before_reuse);
    return g_test_run();
}
