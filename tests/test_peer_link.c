#include <glib.h>
#include <glib/gstdio.h>
#include <sys/stat.h>
#include <zmq.h>

#include "PeerCodec.h"
#include "PeerLink.h"

#define HOST_COUNT 4
#define TIMEOUT_US (10 * MICROS_PER_S)

typedef struct Fixture_ Fixture;

/* One host: its keys, its link and the messages that it received. */
typedef struct Host_ {
    Fixture *fixture;
    PeerKeys *keys;
    PeerLink *link;
    uint32_t received;
    uint64_t last;
} Host;

struct Fixture_ {
    char *folder;
    Clock *clock;
    Loop *loop;
    LoopTimer *poll;
    Host hosts[HOST_COUNT];
    Micros started;
    uint64_t number;
};

static char *
key_path(const Fixture *this, int host, const char *name)
{
    return g_strdup_printf("%s/%d.%s", this->folder, host, name);
}

/* Every host but the last one is on the allow-list. */
static void
write_keys(Fixture *this)
{
    GString *allowed = g_string_new("# hosts\n\n");
    char *list = g_strdup_printf("%s/allowed", this->folder);

    for (int i = 0; i < HOST_COUNT; i++) {
        char *public_file = key_path(this, i, "public");
        char *secret_file = key_path(this, i, "secret");
        char *text = NULL;

        g_assert_cmpint(PeerKeys_Generate(public_file, secret_file, NULL), ==,
                        0);
        g_assert_true(g_file_get_contents(public_file, &text, NULL, NULL));
        if (i < HOST_COUNT - 1) {
            g_string_append(allowed, text);
        }
        g_free(text);
        g_free(public_file);
        g_free(secret_file);
    }
    g_assert_true(g_file_set_contents(list, allowed->str, -1, NULL));
    g_string_free(allowed, TRUE);
    g_free(list);
}

static PeerKeys *
read_keys(const Fixture *this, int host)
{
    char *public_file = key_path(this, host, "public");
    char *secret_file = key_path(this, host, "secret");
    char *list = g_strdup_printf("%s/allowed", this->folder);
    Error error = {0};
    PeerKeys *keys = PeerKeys_Read(public_file, secret_file, list, &error);

    g_assert_cmpstr(error.text, ==, "");
    g_assert_nonnull(keys);
    g_free(public_file);
    g_free(secret_file);
    g_free(list);
    return keys;
}

static void
on_message(void *user, const PeerMessage *message)
{
    Host *host = user;
    ConfigFetch fetch;

    host->received++;
    if (PeerCodec_ReadFetch(message, &fetch) == 0) {
        host->last = fetch.from;
    }
}

static void
on_poll(void *user)
{
    Fixture *this = user;

    Loop_Stop(this->loop);
}

static void
open_link(Fixture *this, int host, const char *deployment)
{
    PeerLinkOptions options = PeerLinkOptions_Default();
    Error error = {0};

    options.address = STR("127.0.0.1");
    options.deployment = Str_FromC(deployment);
    options.keys = this->hosts[host].keys;
    options.peers_max = 2;
    this->hosts[host].fixture = this;
    this->hosts[host].link = PeerLink_Create(
        &options, this->loop, NULL, on_message, &this->hosts[host], &error);
    g_assert_cmpstr(error.text, ==, "");
}

static Fixture *
create_fixture(void)
{
    Fixture *this = g_new0(Fixture, 1);

    this->folder = g_dir_make_tmp("peer-link-XXXXXX", NULL);
    g_assert_nonnull(this->folder);
    this->clock = Clock_CreateSystem();
    this->loop = Loop_Create(this->clock, NULL, NULL);
    this->poll = LoopTimer_Create(this->loop, on_poll, this);
    write_keys(this);
    for (int i = 0; i < HOST_COUNT; i++) {
        this->hosts[i].keys = read_keys(this, i);
    }
    open_link(this, 0, "tunis");
    open_link(this, 1, "tunis");
    open_link(this, 2, "puntarenas");
    open_link(this, 3, "tunis");
    return this;
}

static void
destroy_fixture(Fixture *this)
{
    GDir *folder = g_dir_open(this->folder, 0, NULL);
    const char *name;

    for (int i = 0; i < HOST_COUNT; i++) {
        PeerLink_Destroy(this->hosts[i].link);
        PeerKeys_Destroy(this->hosts[i].keys);
    }
    LoopTimer_Destroy(this->poll);
    Loop_Destroy(this->loop);
    Clock_Destroy(this->clock);
    while ((name = g_dir_read_name(folder)) != NULL) {
        char *path = g_build_filename(this->folder, name, NULL);

        g_unlink(path);
        g_free(path);
    }
    g_dir_close(folder);
    g_rmdir(this->folder);
    g_free(this->folder);
    g_free(this);
}

/* Runs the loop until @done; the timeout only ends a run that hangs. */
static void
run_until(Fixture *this, bool (*done)(Fixture *this))
{
    this->started = Clock_Now(this->clock);
    while (!done(this)) {
        g_assert_cmpint(Clock_Now(this->clock) - this->started, <, TIMEOUT_US);
        /* The timer limits the duration of one iteration. */
        LoopTimer_Start(this->poll, 2 * MICROS_PER_MS);
        Loop_RunOnce(this->loop);
    }
}

static int
send_fetch(Fixture *this, int from, int to, const char *deployment)
{
    PeerEnvelope envelope = {Str_FromC(deployment), STR("sender"), 1};
    ConfigFetch fetch = {.from = ++this->number};
    GString *bytes = g_string_new(NULL);
    char address[32];
    Str key = {(const char *)this->hosts[to].keys->public_key.bytes,
               PEER_KEY_BYTES};
    int code;

    g_snprintf(address, sizeof(address), "127.0.0.1:%u",
               PeerLink_Port(this->hosts[to].link));
    g_assert_cmpint(PeerCodec_WriteFetch(&envelope, &fetch, bytes), ==, 0);
    code = PeerLink_Send(this->hosts[from].link, Str_FromC(address), key,
                         Str_FromString(bytes));
    g_string_free(bytes, TRUE);
    return code;
}

static bool
both_received(Fixture *this)
{
    return this->hosts[0].received > 0 && this->hosts[1].received > 0;
}

static bool
batch_received(Fixture *this)
{
    return this->hosts[1].received == 12;
}

/* Guards against messages that stay unread because the edge-triggered
 * descriptor of ZeroMQ does not signal again, and against loss of the first
 * message, which is sent before the connection is set up. */
static void
test_exchange(void)
{
    Fixture *this = create_fixture();

    g_assert_cmpint(send_fetch(this, 0, 1, "tunis"), ==, 0);
    g_assert_cmpint(send_fetch(this, 1, 0, "tunis"), ==, 0);
    run_until(this, both_received);
    g_assert_cmpuint(this->hosts[0].last, ==, 2);
    g_assert_cmpuint(this->hosts[1].last, ==, 1);
    g_assert_cmpuint(PeerLink_Counters(this->hosts[1].link)->key_accepted, ==,
                     1);
    for (int i = 0; i < 11; i++) {
        g_assert_cmpint(send_fetch(this, 0, 1, "tunis"), ==, 0);
    }
    run_until(this, batch_received);
    g_assert_cmpuint(PeerLink_Counters(this->hosts[0].link)->open, ==, 1);
    destroy_fixture(this);
}

static bool
unknown_host_denied(Fixture *this)
{
    return PeerLink_Counters(this->hosts[0].link)->key_denied > 0;
}

/* Guards against a host whose key is not on the allow-list, and against a
 * server that presents such a key. */
static void
test_unknown_host(void)
{
    Fixture *this = create_fixture();

    /* The unknown host has the keys of the others on its own allow-list. */
    g_assert_cmpint(send_fetch(this, 3, 0, "tunis"), ==, 0);
    run_until(this, unknown_host_denied);
    g_assert_cmpint(send_fetch(this, 0, 3, "tunis"), ==, ERR_DENIED);
    g_assert_cmpint(send_fetch(this, 0, 1, "tunis"), ==, 0);
    g_assert_cmpint(send_fetch(this, 1, 0, "tunis"), ==, 0);
    run_until(this, both_received);
    g_assert_cmpuint(this->hosts[0].received, ==, 1);
    g_assert_cmpuint(PeerLink_Counters(this->hosts[0].link)->key_accepted, ==,
                     1);
    destroy_fixture(this);
}

static bool
other_deployment_dropped(Fixture *this)
{
    return PeerLink_Counters(this->hosts[1].link)->messages.other_deployment >
           0;
}

/* Guards against messages between two deployments that share keys. */
static void
test_other_deployment(void)
{
    Fixture *this = create_fixture();

    g_assert_cmpint(send_fetch(this, 2, 1, "puntarenas"), ==, 0);
    run_until(this, other_deployment_dropped);
    g_assert_cmpuint(this->hosts[1].received, ==, 0);
    destroy_fixture(this);
}

static bool
wait_elapsed(Fixture *this)
{
    return Clock_Now(this->clock) - this->started > 300 * MICROS_PER_MS;
}

/* Guards against peers that connect without CURVE. */
static void
test_plain_text(void)
{
    Fixture *this = create_fixture();
    void *context = zmq_ctx_new();
    void *socket = zmq_socket(context, ZMQ_DEALER);
    char endpoint[64];
    int linger = 0;

    g_snprintf(endpoint, sizeof(endpoint), "tcp://127.0.0.1:%u",
               PeerLink_Port(this->hosts[0].link));
    zmq_setsockopt(socket, ZMQ_LINGER, &linger, sizeof(linger));
    g_assert_cmpint(zmq_connect(socket, endpoint), ==, 0);
    zmq_send(socket, "hello", 5, ZMQ_DONTWAIT);
    run_until(this, wait_elapsed);
    g_assert_cmpuint(PeerLink_Counters(this->hosts[0].link)->received_bytes,
                     ==, 0);
    zmq_close(socket);
    zmq_ctx_term(context);
    destroy_fixture(this);
}

/* Guards against unbounded connections and queues, and against addresses with
 * another meaning in a ZeroMQ endpoint. */
static void
test_bounds(void)
{
    static const char *invalid[] = {
        "",      "10.0.0.1", "10.0.0.1:1;127.0.0.1:2", "ipc:///a:1",
        "a b:1", "*:7400",   "10.0.0.1:nothing"};
    Fixture *this = create_fixture();
    PeerLink *link = this->hosts[0].link;
    Str key = {NULL, 0};
    char *large = g_malloc0(PEER_MESSAGE_MAX_BYTES + 1);

    for (size_t i = 0; i < G_N_ELEMENTS(invalid); i++) {
        g_assert_cmpint(
            PeerLink_Send(link, Str_FromC(invalid[i]), key, STR("x")), ==,
            ERR_INVALID);
    }
    g_assert_cmpint(PeerLink_Send(link, STR("127.0.0.1:1"), key,
                                  (Str){large, PEER_MESSAGE_MAX_BYTES + 1}),
                    ==, ERR_LIMIT);
    for (int i = 0; i < 100; i++) {
        int code = PeerLink_Send(link, STR("127.0.0.1:1"), key, STR("x"));

        g_assert_cmpint(code, ==, i < 16 ? 0 : ERR_LIMIT);
    }
    PeerLink_Send(link, STR("127.0.0.1:2"), key, STR("x"));
    PeerLink_Send(link, STR("127.0.0.1:3"), key, STR("x"));
    g_assert_cmpuint(PeerLink_Counters(link)->open, ==, 2);
    g_assert_cmpuint(PeerLink_Counters(link)->closed_evicted, ==, 1);
    g_free(large);
    destroy_fixture(this);
}

/* Guards against invalid key files that are accepted. */
static void
test_key_files(void)
{
    static const struct {
        const char *text;
        bool valid;
    } cases[] = {
        {"rq:rM>}U?@Lns47E1%kR.o@n%FcmmsL/@{H8]yf7\n", true},
        {"# hosts\r\n\nrq:rM>}U?@Lns47E1%kR.o@n%FcmmsL/@{H8]yf7", true},
        {"", true},
        {"rq:rM>}U?@Lns47E1%kR.o@n%FcmmsL/@{H8]yf\n", false},
        {"rq:rM>}U?@Lns47E1%kR.o@n%FcmmsL/@{H8]yf77\n", false},
        {"rq:rM>}U?@Lns47E1%kR.o@n%FcmmsL/@{H8]yf,\n", false},
        {"rq:rM>}U?@Lns47E1%kR.o@n%FcmmsL/@{H8]yf7 extra\n", false},
    };
    Fixture *this = create_fixture();
    char *list = g_strdup_printf("%s/list", this->folder);
    char *public_file = key_path(this, 0, "public");
    char *secret_file = key_path(this, 0, "secret");
    char *other_file = key_path(this, 1, "secret");
    struct stat info;

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        Error error = {0};
        PeerKeys *keys;

        g_assert_true(g_file_set_contents(list, cases[i].text, -1, NULL));
        keys = PeerKeys_Read(public_file, secret_file, list, &error);
        g_assert_cmpint(keys != NULL, ==, cases[i].valid);
        g_assert_cmpint(error.code < 0, ==, !cases[i].valid);
        PeerKeys_Destroy(keys);
    }
    g_assert_true(g_file_set_contents(list, "", -1, NULL));
    g_assert_null(PeerKeys_Read(public_file, other_file, list, NULL));
    g_assert_null(PeerKeys_Read("missing", secret_file, list, NULL));
    g_assert_cmpint(PeerKeys_Generate(public_file, secret_file, NULL), ==,
                    ERR_CONFLICT);
    g_assert_cmpint(g_stat(secret_file, &info), ==, 0);
    g_assert_cmpuint(info.st_mode & 0777, ==, 0600);
    g_free(list);
    g_free(public_file);
    g_free(secret_file);
    g_free(other_file);
    destroy_fixture(this);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/peer-link/exchange", test_exchange);
    g_test_add_func("/peer-link/stranger", test_unknown_host);
    g_test_add_func("/peer-link/other-deployment", test_other_deployment);
    g_test_add_func("/peer-link/plain-text", test_plain_text);
    g_test_add_func("/peer-link/bounds", test_bounds);
    g_test_add_func("/peer-link/key-files", test_key_files);
    return g_test_run();
}
