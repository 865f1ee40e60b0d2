#include <arpa/inet.h>
#include <glib.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "HttpFetch.h"
#include "HttpServer.h"

#define BODY_BYTES ((size_t)3 * 1024 * 1024)
#define PIECE_BYTES 20000
#define TEST_TIMEOUT_US (4 * MICROS_PER_S)

typedef struct Fixture_ {
    Clock *clock;
    Loop *loop;
    HttpServer *server;
    HttpFetch *fetch;
    LoopTimer *slow_timer;
    HttpRequest *slow_request;
    size_t to_write;
    size_t waiting;
    int code;
    int status;
    bool maybe_sent;
    size_t length;
    bool pattern_ok;
    uint64_t order;      /* responses so far */
    uint64_t slow_order; /* position of the response to /slow */
    size_t closed_incomplete;
    size_t requests;
    bool stop_on_close;
    char echoed[256];
} Fixture;

static char
pattern_at(size_t i)
{
    return (char)('a' + i % 23);
}

static void
write_more(Fixture *f, HttpRequest *request)
{
    char piece[PIECE_BYTES];
    size_t n = f->to_write < PIECE_BYTES ? f->to_write : PIECE_BYTES;
    size_t start = BODY_BYTES - f->to_write;

    for (size_t i = 0; i < n; i++) {
        piece[i] = pattern_at(start + i);
    }
    HttpRequest_Write(request, (Str){piece, n});
    f->to_write -= n;
    if (f->to_write == 0) {
        HttpRequest_Finish(request);
    }
}

static void
finish_slow(void *user)
{
    Fixture *f = user;
    HeaderList *headers = HeaderList_Create();

    HttpRequest_Respond(f->slow_request, 200, headers, STR("slow"));
    HeaderList_Destroy(headers);
}

static void
on_request(void *user, HttpRequest *request)
{
    Fixture *f = user;
    HeaderList *headers = HeaderList_Create();
    Str path = HttpRequest_Path(request);

    f->requests++;
    HttpRequest_SetData(request, NULL);
    if (Str_Equal(path, STR("/many"))) {
        f->to_write = BODY_BYTES;
        HttpRequest_StartResponse(request, 200, headers, BODY_BYTES);
        write_more(f, request);
    }
    else if (Str_Equal(path, STR("/chunked"))) {
        f->to_write = BODY_BYTES;
        HttpRequest_StartResponse(request, 200, headers, HTTP_LENGTH_UNKNOWN);
        write_more(f, request);
    }
    else if (Str_Equal(path, STR("/slow"))) {
        f->slow_request = request;
        LoopTimer_Start(f->slow_timer, 200 * MICROS_PER_MS);
    }
    else if (Str_Equal(path, STR("/broken"))) {
        HttpRequest_StartResponse(request, 200, headers, 100);
        HttpRequest_Write(request, STR("part"));
    }
    else if (Str_Equal(path, STR("/silent"))) {
        HttpRequest_SetData(request, f);
    }
    else if (Str_Equal(path, STR("/upload"))) {
        HttpRequest_SetData(request, g_new0(size_t, 1));
    }
    else {
        g_snprintf(f->echoed, sizeof(f->echoed), STR_FORMAT " " STR_FORMAT,
                   STR_ARGS(HttpRequest_Method(request)), STR_ARGS(path));
        HttpRequest_Respond(request, 200, headers, STR("hello"));
    }
    HeaderList_Destroy(headers);
}

static void
on_body(void *user, HttpRequest *request, Str data)
{
    size_t *received = HttpRequest_Data(request);

    if (!Str_Equal(HttpRequest_Path(request), STR("/upload"))) {
        return;
    }
    for (size_t i = 0; i < data.length; i++) {
        g_assert_cmpint(data.data[i], ==, pattern_at(*received + i));
    }
    *received += data.length;
}

static void
on_body_end(void *user, HttpRequest *request)
{
    HeaderList *headers;
    char *text;

    if (!Str_Equal(HttpRequest_Path(request), STR("/upload"))) {
        return;
    }
    headers = HeaderList_Create();
    text = g_strdup_printf("%zu", *(size_t *)HttpRequest_Data(request));
    HttpRequest_Respond(request, 200, headers, Str_FromC(text));
    g_free(text);
    HeaderList_Destroy(headers);
}

static void
on_drained(void *user, HttpRequest *request)
{
    Fixture *f = user;

    if (Str_Equal(HttpRequest_Path(request), STR("/broken"))) {
        HttpRequest_Abort(request);
        return;
    }
    write_more(f, request);
}

static void
on_closed(void *user, HttpRequest *request, bool complete)
{
    Fixture *f = user;

    if (!complete) {
        f->closed_incomplete++;
    }
    if (f->stop_on_close) {
        Loop_Stop(f->loop);
    }
    if (Str_Equal(HttpRequest_Path(request), STR("/upload"))) {
        g_free(HttpRequest_Data(request));
    }
}

static const HttpServerHandlers handlers = {
    on_request, on_body, on_body_end, on_drained, on_closed,
};

static void
set_up(Fixture *f)
{
    HttpServerOptions options = {.address = "127.0.0.1", .keep_alive_s = 60};
    Error error = {0};
    char *url;

    memset(f, 0, sizeof(*f));
    f->clock = Clock_CreateSystem();
    f->loop = Loop_Create(f->clock, NULL, &error);
    f->server = HttpServer_Create(f->loop, &options, &handlers, f, &error);
    g_assert_nonnull(f->server);
    f->slow_timer = LoopTimer_Create(f->loop, finish_slow, f);
    url = g_strdup_printf("http://127.0.0.1:%u", HttpServer_Port(f->server));
    f->fetch = HttpFetch_Create(f->loop, Str_FromC(url), 2 * BODY_BYTES, NULL,
                                &error);
    g_free(url);
}

static void
tear_down(Fixture *f)
{
    LoopTimer_Destroy(f->slow_timer);
    Loop_Destroy(f->loop);
    HttpFetch_Destroy(f->fetch);
    HttpServer_Destroy(f->server);
    Clock_Destroy(f->clock);
}

static void
on_response(void *user, const HttpFetchResponse *response)
{
    Fixture *f = user;

    f->code = response->code;
    f->status = response->status;
    f->length = response->body.length;
    f->maybe_sent = response->maybe_sent;
    f->order++;
    f->pattern_ok = true;
    for (size_t i = 0; i < response->body.length; i++) {
        f->pattern_ok =
            f->pattern_ok && response->body.data[i] == pattern_at(i);
    }
    if (response->body.length == 4) {
        f->slow_order = f->order;
    }
    f->waiting--;
    if (f->waiting == 0) {
        Loop_Stop(f->loop);
    }
}

static void
send_only(Fixture *f, Str method, Str path, Str body, Micros timeout)
{
    f->waiting++;
    HttpFetch_Send(f->fetch, method, path, NULL, body, timeout, on_response,
                   f);
}

static void
send_and_run(Fixture *f, Str method, Str path, Str body)
{
    send_only(f, method, path, body, TEST_TIMEOUT_US);
    Loop_Run(f->loop);
}

/* Guards against response bodies that are truncated, reordered or wrongly
 * framed. */
static void
test_complete_bodies(void)
{
    static const char *const paths[] = {"/many", "/chunked"};

    for (size_t i = 0; i < G_N_ELEMENTS(paths); i++) {
        Fixture f;

        set_up(&f);
        send_and_run(&f, STR("GET"), Str_FromC(paths[i]), STR(""));
        g_assert_cmpint(f.code, ==, 0);
        g_assert_cmpint(f.status, ==, 200);
        g_assert_cmpuint(f.length, ==, BODY_BYTES);
        g_assert_true(f.pattern_ok);
        tear_down(&f);
    }
}

/* Guards against request body bytes that are lost or out of order. */
static void
test_upload(void)
{
    Fixture f;
    char *body = g_malloc(BODY_BYTES);

    for (size_t i = 0; i < BODY_BYTES; i++) {
        body[i] = pattern_at(i);
    }
    set_up(&f);
    send_and_run(&f, STR("POST"), STR("/upload"), (Str){body, BODY_BYTES});
    g_assert_cmpint(f.code, ==, 0);
    g_assert_cmpuint(f.length, ==, 7);
    tear_down(&f);
    g_free(body);
}

/* Guards against a slow response that blocks other requests. */
static void
test_no_head_of_line_blocking(void)
{
    Fixture f;

    set_up(&f);
    send_only(&f, STR("GET"), STR("/slow"), STR(""), TEST_TIMEOUT_US);
    send_only(&f, STR("GET"), STR("/x"), STR(""), TEST_TIMEOUT_US);
    send_only(&f, STR("GET"), STR("/y"), STR(""), TEST_TIMEOUT_US);
    Loop_Run(f.loop);
    g_assert_cmpuint(f.slow_order, ==, 3);
    tear_down(&f);
}

/* Guards against a truncated response that is reported as complete. */
static void
test_truncated_response(void)
{
    Fixture f;

    set_up(&f);
    send_and_run(&f, STR("GET"), STR("/broken"), STR(""));
    g_assert_cmpint(f.code, <, 0);
    g_assert_true(f.maybe_sent);
    tear_down(&f);
}

/* Guards against a failed connect that is reported as possibly sent. */
static void
test_connection_refused(void)
{
    Fixture f;
    Error error;

    set_up(&f);
    HttpFetch_Destroy(f.fetch);
    f.fetch =
        HttpFetch_Create(f.loop, STR("http://127.0.0.1:1"), 100, NULL, &error);
    send_and_run(&f, STR("GET"), STR("/x"), STR(""));
    g_assert_cmpint(f.code, <, 0);
    g_assert_false(f.maybe_sent);
    tear_down(&f);
}

static void
test_methods(void)
{
    static const struct {
        const char *method;
        const char *path;
        const char *expected;
        size_t length;
    } cases[] = {
        {"GET", "/a%20b?x=1&y=%2F", "GET /a%20b?x=1&y=%2F", 5},
        {"HEAD", "/a", "HEAD /a", 0},
        {"DELETE", "/a", "DELETE /a", 5},
        {"PATCH", "/a", "PATCH /a", 5},
        {"PUT", "/a", "PUT /a", 5},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        Fixture f;

        set_up(&f);
        g_test_message("%s %s", cases[i].method, cases[i].path);
        send_and_run(&f, Str_FromC(cases[i].method), Str_FromC(cases[i].path),
                     STR(""));
        g_assert_cmpint(f.code, ==, 0);
        g_assert_cmpint(f.status, ==, 200);
        g_assert_cmpstr(f.echoed, ==, cases[i].expected);
        g_assert_cmpuint(f.length, ==, cases[i].length);
        /* The connection must stay usable. */
        send_and_run(&f, STR("GET"), STR("/again"), STR(""));
        g_assert_cmpint(f.code, ==, 0);
        tear_down(&f);
    }
}

/* Guards against opening a connection, which takes about 1 ms, for each
 * request. */
static void
test_connection_reuse(void)
{
    Fixture f;

    set_up(&f);
    for (int i = 0; i < 5; i++) {
        send_and_run(&f, STR("GET"), STR("/x"), STR(""));
        g_assert_cmpint(f.code, ==, 0);
    }
    g_assert_cmpuint(HttpServer_AcceptedCount(f.server), ==, 1);
    tear_down(&f);
}

static void
stop_listening(void *user)
{
    Fixture *f = user;

    HttpServer_StopListening(f->server);
}

/* Guards against a shutdown that interrupts an open request. */
static void
test_stop_listening(void)
{
    Fixture f;
    LoopTimer *stop;

    set_up(&f);
    stop = LoopTimer_Create(f.loop, stop_listening, &f);
    LoopTimer_Start(stop, 50 * MICROS_PER_MS);
    send_and_run(&f, STR("GET"), STR("/slow"), STR(""));
    g_assert_cmpint(f.code, ==, 0);
    g_assert_cmpuint(f.length, ==, 4);
    g_assert_cmpuint(f.closed_incomplete, ==, 0);
    send_and_run(&f, STR("GET"), STR("/x"), STR(""));
    g_assert_cmpint(f.code, <, 0);
    g_assert_false(f.maybe_sent);
    LoopTimer_Destroy(stop);
    tear_down(&f);
}

/* Guards against waiting for a peer that accepts and never responds. */
static void
test_unresponsive_peer(void)
{
    Fixture f;

    set_up(&f);
    send_only(&f, STR("GET"), STR("/silent"), STR(""), 100 * MICROS_PER_MS);
    Loop_Run(f.loop);
    g_assert_cmpint(f.code, ==, ERR_TIMEOUT);
    g_assert_true(f.maybe_sent);
    tear_down(&f);
}

static int
connect_raw(const Fixture *f, const char *bytes)
{
    struct sockaddr_in address = {.sin_family = AF_INET};
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

    address.sin_port = htons(HttpServer_Port(f->server));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    g_assert_cmpint(connect(fd, (struct sockaddr *)&address, sizeof(address)),
                    ==, 0);
    g_assert_cmpint(send(fd, bytes, strlen(bytes), MSG_NOSIGNAL), ==,
                    (ssize_t)strlen(bytes));
    return fd;
}

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

#define HEAD(method, path) method " " path " HTTP/1.1\r\nhost: a\r\n"
/* A busy loop runs tens of thousands of iterations in this time. */
#define IDLE_TIME_US (300 * MICROS_PER_MS)
#define IDLE_ITERATIONS_MAX 200

/* Guards against a request that stays open after its caller disconnected, and
 * against a busy loop on a connection that is not read. */
static void
test_caller_disconnect(void)
{
    static const struct {
        const char *name;
        const char *bytes;
        bool close_immediately;
        size_t requests;
    } cases[] = {
        {"idle", HEAD("GET", "/silent") "\r\n", false, 1},
        {"at-once", HEAD("GET", "/silent") "\r\n", true, 1},
        {"with-body", HEAD("PUT", "/silent") "content-length: 2\r\n\r\nab",
         false, 1},
        {"body-not-whole",
         HEAD("PUT", "/silent") "content-length: 9\r\n\r\nab", false, 1},
        {"pipelined", HEAD("GET", "/silent") "\r\n" HEAD("GET", "/x") "\r\n",
         false, 1},
        {"pipelined-at-once",
         HEAD("GET", "/silent") "\r\n" HEAD("GET", "/x") "\r\n", true, 1},
        {"reused", HEAD("GET", "/x") "\r\n" HEAD("GET", "/silent") "\r\n",
         false, 2},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        Fixture f;
        uint64_t iterations;
        int fd;

        set_up(&f);
        g_test_message("%s", cases[i].name);
        fd = connect_raw(&f, cases[i].bytes);
        if (!cases[i].close_immediately) {
            run_for(&f, IDLE_TIME_US);
            iterations = Loop_Iterations(f.loop);
            g_assert_cmpuint(f.requests, ==, cases[i].requests);
            g_assert_cmpuint(iterations, <, IDLE_ITERATIONS_MAX);
        }
        close(fd);
        f.stop_on_close = true;
        run_for(&f, TEST_TIMEOUT_US);
        g_assert_cmpuint(f.closed_incomplete, ==, 1);
        iterations = Loop_Iterations(f.loop);
        run_for(&f, IDLE_TIME_US);
        g_assert_cmpuint(Loop_Iterations(f.loop) - iterations, <,
                         IDLE_ITERATIONS_MAX);
        tear_down(&f);
    }
}

/* Guards against pipelined requests whose responses are lost or out of
 * order. */
static void
test_pipelined(void)
{
    static const char bytes[] = HEAD("GET", "/slow") "\r\n" HEAD(
        "GET", "/x") "connection: close\r\n\r\n";
    char response[2048];
    size_t length = 0;
    ssize_t n;
    Fixture f;
    int fd;

    set_up(&f);
    fd = connect_raw(&f, bytes);
    run_for(&f, 2 * IDLE_TIME_US);
    while ((n = recv(fd, response + length, sizeof(response) - 1 - length,
                     MSG_DONTWAIT)) > 0) {
        length += (size_t)n;
    }
    response[length] = '\0';
    g_test_message("%s", response);
    g_assert_nonnull(strstr(response, "slow"));
    g_assert_nonnull(strstr(strstr(response, "slow"), "hello"));
    close(fd);
    tear_down(&f);
}

/* ---- calls without HttpFetch ---------------------------------------- */

static void
pause_on_data(void *user, HttpCall *call, Str data)
{
    HttpCall_PauseResponse(call, true);
}

/* Request body that is written in pieces, each after the previous one was
 * sent. */
typedef struct Upload_ {
    Fixture *f;
    size_t sent;
    bool done;
} Upload;

static void
upload_headers(void *user, HttpCall *call, int status,
               const HeaderList *headers)
{
}

static void
upload_data(void *user, HttpCall *call, Str data)
{
}

static void
upload_drained(void *user, HttpCall *call)
{
    Upload *upload = user;
    char piece[PIECE_BYTES];
    size_t n = MIN(PIECE_BYTES, BODY_BYTES - upload->sent);

    for (size_t i = 0; i < n; i++) {
        piece[i] = pattern_at(upload->sent + i);
    }
    upload->sent += n;
    HttpCall_WriteBody(call, (Str){piece, n});
}

static void
upload_complete(void *user, HttpCall *call)
{
    Upload *upload = user;

    upload->done = true;
    Loop_Stop(upload->f->loop);
}

static void
upload_failed(void *user, HttpCall *call, HttpCallFailure failure,
              bool maybe_sent, const Error *error)
{
    g_assert_not_reached();
}

/* Makes the call @spec twice, with its body, over at most one connection.
 * Returns the number of connections that were opened. */
static uint64_t
call_twice(HttpCallSpec *spec, const HttpCallHandlers *call_handlers)
{
    HttpClientOptions options = {.max_connections = 1};
    HttpClient *client;
    uint64_t opened;
    Fixture f;

    set_up(&f);
    client = HttpClient_Create(f.loop, &options);
    spec->address = "127.0.0.1";
    spec->port = HttpServer_Port(f.server);
    for (int i = 0; i < 2; i++) {
        Upload upload = {&f, 0, false};
        HttpCall *call =
            HttpClient_Start(client, spec, call_handlers, &upload, NULL);

        if (spec->content_length > 0) {
            upload_drained(&upload, call);
        }
        Loop_Run(f.loop);
        g_assert_true(upload.done);
    }
    opened = HttpClient_OpenedCount(client);
    HttpClient_Destroy(client);
    tear_down(&f);
    return opened;
}

/* Guards against an upload that stalls because a piece was sent immediately,
 * on a new and on a reused connection. */
static void
test_upload_in_pieces(void)
{
    static const HttpCallHandlers call_handlers = {
        upload_headers, upload_data, upload_drained, upload_complete,
        upload_failed};
    HttpCallSpec spec = {
        .method = STR("PUT"),
        .path = STR("/upload"),
        .content_length = BODY_BYTES,
    };

    call_twice(&spec, &call_handlers);
}

/* Guards against a connection that stays paused because its owner paused it in
 * the last on_data: the next call on it would never end. */
static void
test_paused_at_end(void)
{
    static const HttpCallHandlers call_handlers = {
        upload_headers, pause_on_data, upload_drained, upload_complete,
        upload_failed};
    HttpCallSpec spec = {.method = STR("GET"), .path = STR("/hello")};
    uint64_t opened = call_twice(&spec, &call_handlers);

    g_assert_cmpuint(opened, ==, 1);
}

static void
call_with_value(Fixture *f, HttpClient *client, unsigned value)
{
    static const HttpCallHandlers call_handlers = {
        upload_headers, upload_data, upload_drained, upload_complete,
        upload_failed};
    Upload upload = {f, 0, false};
    char text[16];
    HttpCallSpec spec = {.address = "127.0.0.1",
                         .port = HttpServer_Port(f->server),
                         .method = STR("GET"),
                         .path = STR("/hello"),
                         .match_name = STR("call")};

    g_snprintf(text, sizeof(text), "%u", value);
    spec.match_value = Str_FromC(text);
    g_assert_nonnull(
        HttpClient_Start(client, &spec, &call_handlers, &upload, NULL));
    Loop_Run(f->loop);
    g_assert_true(upload.done);
}

/* Guards against a connection that carries two calls with one match value, and
 * against more connections than that takes. */
static void
test_repeated_match_value(void)
{
    HttpClientOptions options = {.max_connections = 4};
    HttpClient *client;
    Fixture f;

    set_up(&f);
    client = HttpClient_Create(f.loop, &options);
    for (unsigned i = 1; i <= 200; i++) {
        call_with_value(&f, client, i);
    }
    g_assert_cmpuint(HttpClient_OpenedCount(client), ==, 1);
    call_with_value(&f, client, 1);
    g_assert_cmpuint(HttpClient_OpenedCount(client), ==, 2);
    call_with_value(&f, client, 1);
    g_assert_cmpuint(HttpClient_OpenedCount(client), ==, 3);
    /* The first connection is still open. */
    for (unsigned i = 201; i <= 203; i++) {
        call_with_value(&f, client, i);
        call_with_value(&f, client, i);
    }
    g_assert_cmpuint(HttpClient_OpenedCount(client), ==, 3);
    HttpClient_Destroy(client);
    tear_down(&f);
}

/* Guards against a list of match values that grows without a bound. */
static void
test_bounded_match_values(void)
{
    HttpClientOptions options = {.max_connections = 4};
    HttpClient *client;
    Fixture f;

    set_up(&f);
    client = HttpClient_Create(f.loop, &options);
    for (unsigned i = 1; i <= 1000; i++) {
        call_with_value(&f, client, i);
    }
    g_assert_cmpuint(HttpClient_OpenedCount(client), ==, 4);
    HttpClient_Destroy(client);
    tear_down(&f);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/net/http/whole-bodies", test_complete_bodies);
    g_test_add_func("/net/http/upload", test_upload);
    g_test_add_func("/net/http/no-head-of-line-blocking",
                    test_no_head_of_line_blocking);
    g_test_add_func("/net/http/broken-answer", test_truncated_response);
    g_test_add_func("/net/http/refused-connection", test_connection_refused);
    g_test_add_func("/net/http/methods", test_methods);
    g_test_add_func("/net/http/stop-listening", test_stop_listening);
    g_test_add_func("/net/http/connection-reuse", test_connection_reuse);
    g_test_add_func("/net/http/silent-peer", test_unresponsive_peer);
    g_test_add_func("/net/http/caller-goes-away", test_caller_disconnect);
    g_test_add_func("/net/http/pipelined", test_pipelined);
    g_test_add_func("/net/http/upload-in-pieces", test_upload_in_pieces);
    g_test_add_func("/net/http/paused-at-the-end", test_paused_at_end);
    g_test_add_func("/net/http/repeated-match-value",
                    test_repeated_match_value);
    g_test_add_func("/net/http/bounded-match-values",
                    test_bounded_match_values);
    return g_test_run();
}
