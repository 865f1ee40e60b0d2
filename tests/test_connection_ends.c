#include <arpa/inet.h>
#include <glib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "Socket.h"

#define TEST_TIMEOUT_US (10 * MICROS_PER_S)
#define PAUSE_TIME_US (20 * MICROS_PER_MS)
#define PAUSE_ITERATIONS_MAX 20
/* More than the system buffers on a connection. */
#define OUTPUT_BYTES ((size_t)16 * 1024 * 1024)
/* Several reads, and less than the system buffers. */
#define INPUT_BYTES ((size_t)60 * 1024)

/* How the peer ends the connection. */
typedef enum PeerEnd_ {
    PEER_RESETS,
    PEER_CLOSES, /* with unread input, which resets the connection */
    PEER_HALF_CLOSES,
    PEER_HALF_CLOSES_AND_RESETS,
} PeerEnd;

/* What meets the end of the connection first. */
typedef enum FirstEvent_ {
    FIRST_READ,
    FIRST_WRITE,          /* of the owner, before the event */
    FIRST_DRAINED_WRITE,  /* of the owner, in on_drained */
    FIRST_BUFFERED_WRITE, /* of the output buffer */
} FirstEvent;

typedef struct Case_ {
    const char *name;
    PeerEnd end;
    FirstEvent first;
    bool unread; /* the input arrives just before the end */
    bool paused; /* reading, until the end has arrived */
    SocketEnd expected;
} Case;

typedef struct Fixture_ {
    Clock *clock;
    Loop *loop;
    LoopTimer *guard;
    Socket *socket;
    int peer; /* descriptor of the other end */
    size_t received;
    bool open;
    bool ended;
    bool writes_when_drained;
    SocketEnd end;
} Fixture;

static void
on_open(void *user)
{
    ((Fixture *)user)->open = true;
}

static void
on_data(void *user, Str data)
{
    ((Fixture *)user)->received += data.length;
}

static void
on_drained(void *user)
{
    Fixture *f = user;

    if (f->writes_when_drained) {
        Socket_WriteSome(f->socket, STR("x"));
        Socket_RequestDrained(f->socket);
    }
}

static void
on_end(void *user, SocketEnd end)
{
    Fixture *f = user;

    f->ended = true;
    f->end = end;
}

static const SocketHandlers handlers = {on_open, on_data, on_drained, on_end};

static void
fail_test(void *user)
{
    g_error("the test takes too long");
}

static void
connect_to_peer(Fixture *f)
{
    struct sockaddr_in address = {
        .sin_family = AF_INET,
        .sin_addr = {htonl(INADDR_LOOPBACK)},
    };
    socklen_t length = sizeof(address);
    SocketOptions options = {.reads_after_failed_write = true};
    int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

    g_assert_cmpint(
        bind(listener, (struct sockaddr *)&address, sizeof(address)), ==, 0);
    g_assert_cmpint(listen(listener, 1), ==, 0);
    getsockname(listener, (struct sockaddr *)&address, &length);
    f->socket = Socket_Connect(f->loop, "127.0.0.1", ntohs(address.sin_port),
                               &options, &handlers, f, NULL);
    g_assert_nonnull(f->socket);
    f->peer = accept(listener, NULL, NULL);
    g_assert_cmpint(f->peer, >=, 0);
    close(listener);
    while (!f->open) {
        Loop_RunOnce(f->loop);
    }
}

static void
set_up(Fixture *f, gconstpointer data)
{
    f->clock = Clock_CreateSystem();
    f->loop = Loop_Create(f->clock, NULL, NULL);
    f->guard = LoopTimer_Create(f->loop, fail_test, f);
    LoopTimer_Start(f->guard, TEST_TIMEOUT_US);
    connect_to_peer(f);
}

static void
tear_down(Fixture *f, gconstpointer data)
{
    LoopTimer_Destroy(f->guard);
    Loop_Destroy(f->loop);
    Clock_Destroy(f->clock);
}

/* Writes until the system takes no more. */
static void
fill_output(Fixture *f, bool buffered)
{
    g_autofree char *output = g_strnfill(OUTPUT_BYTES, 'o');
    Str rest = {output, OUTPUT_BYTES};

    if (buffered) {
        Socket_Write(f->socket, rest);
        g_assert_cmpuint(Socket_Buffered(f->socket), >, 0);
        return;
    }
    g_assert_cmpuint(Socket_WriteSome(f->socket, rest), <, OUTPUT_BYTES);
}

static void
send_input(const Fixture *f)
{
    g_autofree char *input = g_strnfill(INPUT_BYTES, 'i');

    g_assert_cmpint(send(f->peer, input, INPUT_BYTES, MSG_NOSIGNAL), ==,
                    (ssize_t)INPUT_BYTES);
}

static void
end_peer(const Fixture *f, PeerEnd end)
{
    static const struct linger at_once = {.l_onoff = 1};

    if (end == PEER_HALF_CLOSES || end == PEER_HALF_CLOSES_AND_RESETS) {
        shutdown(f->peer, SHUT_WR);
    }
    if (end == PEER_RESETS || end == PEER_HALF_CLOSES_AND_RESETS) {
        setsockopt(f->peer, SOL_SOCKET, SO_LINGER, &at_once, sizeof(at_once));
    }
    if (end != PEER_HALF_CLOSES) {
        close(f->peer);
    }
}

static void
run_until_received(Fixture *f)
{
    while (f->received < INPUT_BYTES) {
        Loop_RunOnce(f->loop);
    }
}

static void
set_flag(void *user)
{
    *(bool *)user = true;
}

/* Fails if events that are not handled keep the loop from waiting. */
static void
run_for_a_while(Fixture *f)
{
    bool passed = false;
    LoopTimer *timer = LoopTimer_Create(f->loop, set_flag, &passed);
    uint64_t iterations = Loop_Iterations(f->loop);

    LoopTimer_Start(timer, PAUSE_TIME_US);
    while (!passed) {
        Loop_RunOnce(f->loop);
    }
    LoopTimer_Destroy(timer);
    g_assert_cmpuint(Loop_Iterations(f->loop) - iterations, <,
                     PAUSE_ITERATIONS_MAX);
}

/* Guards against a reset that passes for an orderly end of the input, and
 * against an orderly end or input before it that is lost, depending on whether
 * writing or reading meets the end of the connection first. */
static void
test_end(Fixture *f, gconstpointer data)
{
    const Case *item = data;

    fill_output(f, item->first == FIRST_BUFFERED_WRITE);
    Socket_Pause(f->socket, item->paused);
    send_input(f);
    if (!item->unread) {
        run_until_received(f);
    }
    end_peer(f, item->end);
    if (item->first == FIRST_WRITE) {
        Socket_WriteSome(f->socket, STR("x"));
    }
    if (item->first == FIRST_DRAINED_WRITE) {
        f->writes_when_drained = true;
        Socket_RequestDrained(f->socket);
    }
    if (item->paused) {
        run_for_a_while(f);
        g_assert_false(f->ended);
        Socket_Pause(f->socket, false);
    }
    while (!f->ended) {
        Loop_RunOnce(f->loop);
    }
    g_assert_cmpuint(f->received, ==, INPUT_BYTES);
    g_assert_cmpint(f->end, ==, item->expected);
    if (item->end == PEER_HALF_CLOSES) {
        close(f->peer);
    }
}

#define CASES(name, end, expected)                                            \
    CASES_FIRST(name "/read", end, FIRST_READ, expected),                     \
        CASES_FIRST(name "/write", end, FIRST_WRITE, expected),               \
        CASES_FIRST(name "/drained", end, FIRST_DRAINED_WRITE, expected),     \
        CASES_FIRST(name "/buffered", end, FIRST_BUFFERED_WRITE, expected)
#define CASES_FIRST(name, end, first, expected)                               \
    {name "/received", end, first, false, false, expected},                   \
        {name "/unread", end, first, true, false, expected},                  \
    {                                                                         \
        name "/paused", end, first, true, true, expected                      \
    }

static const Case cases[] = {
    CASES("reset", PEER_RESETS, SOCKET_END_ERROR),
    CASES("close", PEER_CLOSES, SOCKET_END_ERROR),
    CASES("half-close", PEER_HALF_CLOSES, SOCKET_END_EOF),
    CASES("half-close-reset", PEER_HALF_CLOSES_AND_RESETS, SOCKET_END_EOF),
};

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        g_autofree char *path =
            g_strdup_printf("/connection-end/%s", cases[i].name);

        g_test_add(path, Fixture, &cases[i], set_up, test_end, tear_down);
    }
    return g_test_run();
}
