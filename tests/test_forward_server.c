#include <glib.h>
#include <string.h>

#include "ForwardClient.h"
#include "ForwardServer.h"

#define BODY "some body"

/* Host "b" takes requests; host "a" is in its list of hosts. */
typedef struct Fixture_ {
    Clock *clock;
    Loop *loop;
    Counters *counters;
    HostKeys *a;
    HostKeys *b;
    ForwardServer *server;
    ForwardClient *forwards;
    HttpClient *client;
    LoopTimer *guard;
    unsigned runs;
    unsigned closed;
    unsigned unlisted;
    ForwardTicket ticket;
    ForwardOutcome outcome;
    GString *reason;
    int status;
    bool authentic;
    bool ended;
} Fixture;

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
introduce(HostKeys *to, const HostKeys *other, uint16_t port)
{
    ListedHost host = listed(other, port);

    HostKeys_SetPeers(to, &host, 1);
}

/* ---- host b --------------------------------------------------------- */

static void *
run_request(void *user, ForwardedRequest *request)
{
    Fixture *f = user;
    HeaderList *headers = HeaderList_Create();
    BodyBuffer *body = ForwardedRequest_TakeBody(request);
    GString *text = BodyBuffer_ToString(body);

    f->runs++;
    g_assert_true(Str_Equal(ForwardedRequest_Sender(request), STR("a")));
    g_assert_cmpuint(ForwardedRequest_AttemptsMax(request), ==, 2);
    HeaderList_Add(headers, STR("x-run"), STR("1"));
    ForwardedRequest_Seal(request, FORWARD_OUTCOME_RELAYED, STR(""), 201,
                          headers);
    HttpRequest_Respond(ForwardedRequest_Http(request), 201, headers,
                        Str_FromString(text));
    g_string_free(text, TRUE);
    BodyBuffer_Destroy(body);
    HeaderList_Destroy(headers);
    return f;
}

static void
run_drained(void *user, void *data)
{
}

static void
run_closed(void *user, void *data, bool complete)
{
    Fixture *f = data;

    f->closed++;
}

static void
run_unlisted(void *user, Str id)
{
    g_assert_true(Str_Equal(id, STR("a")));
    ((Fixture *)user)->unlisted++;
}

/* ---- host a --------------------------------------------------------- */

static void
on_headers(void *user, HttpCall *call, int status, const HeaderList *headers)
{
    Fixture *f = user;
    ForwardResponseSeal seal;

    f->status = status;
    f->authentic =
        ForwardTicket_Check(&f->ticket, status, headers, &seal) == 0;
    if (f->authentic) {
        f->outcome = seal.outcome;
        g_string_truncate(f->reason, 0);
        Str_AppendTo(seal.reason, f->reason);
    }
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
    ((Fixture *)user)->ended = true;
}

static void
on_failed(void *user, HttpCall *call, HttpCallFailure failure, bool maybe_sent,
          const Error *error)
{
    ((Fixture *)user)->ended = true;
}

static const HttpCallHandlers call_handlers = {
    on_headers, on_data, on_drained, on_complete, on_failed,
};

static void
fail_test(void *user)
{
    g_error("no end of the call");
}

static void
wait_for_end(Fixture *f)
{
    while (!f->ended) {
        Loop_RunOnce(f->loop);
    }
}

static void
begin_call(Fixture *f)
{
    f->ended = false;
    f->authentic = false;
    f->status = 0;
    LoopTimer_Start(f->guard, 10 * MICROS_PER_S);
}

static void
set_up(Fixture *f, gconstpointer data)
{
    static const ForwardServerHandlers handlers = {run_request, run_drained,
                                                   run_closed, run_unlisted};
    HttpClientOptions client = {.max_connections = 4};
    ForwardServerOptions options = {.address = {"127.0.0.1", 0}};

    f->clock = Clock_CreateSystem();
    f->loop = Loop_Create(f->clock, NULL, NULL);
    f->counters = Counters_Create(64);
    f->reason = g_string_new(NULL);
    f->a = HostKeys_Create(STR("a"), f->clock, NULL);
    f->b = HostKeys_Create(STR("b"), f->clock, NULL);
    options.keys = f->b;
    options.counters = f->counters;
    f->server = ForwardServer_Create(f->loop, &options, &handlers, f, NULL);
    g_assert_nonnull(f->server);
    introduce(f->b, f->a, 1);
    introduce(f->a, f->b, ForwardServer_Port(f->server));
    f->forwards = ForwardClient_Create(f->loop, f->a);
    f->client = HttpClient_Create(f->loop, &client);
    f->guard = LoopTimer_Create(f->loop, fail_test, f);
}

static void
tear_down(Fixture *f, gconstpointer data)
{
    Loop_Close(f->loop);
    LoopTimer_Destroy(f->guard);
    ForwardServer_Destroy(f->server);
    ForwardClient_Destroy(f->forwards);
    HttpClient_Destroy(f->client);
    HostKeys_Destroy(f->a);
    HostKeys_Destroy(f->b);
    Counters_Destroy(f->counters);
    g_string_free(f->reason, TRUE);
    Loop_Destroy(f->loop);
    Clock_Destroy(f->clock);
}

static HeaderList *
sample_headers(void)
{
    HeaderList *headers = HeaderList_Create();

    HeaderList_Add(headers, STR("host"), STR("gateway.example"));
    HeaderList_Add(headers, STR("agatecrank-attempt-id"), STR("17"));
    HeaderList_Add(headers, STR("agatecrank-timeout-ms"), STR("900"));
    return headers;
}

static BodyBuffer *
create_body(Str text)
{
    BodyBuffer *body = BodyBuffer_Create();

    BodyBuffer_Append(body, text);
    return body;
}

static void
digest_text(Str text, uint8_t *digest)
{
    BodyBuffer *body = create_body(text);

    ForwardSeal_Digest(body, digest);
    BodyBuffer_Destroy(body);
}

static void
forward(Fixture *f, const char *method, Str text)
{
    HeaderList *headers = sample_headers();
    BodyBuffer *body = create_body(text);
    ForwardCallSpec spec = {.peer = STR("b"),
                            .method = Str_FromC(method),
                            .path = STR("/once/1?x=y"),
                            .headers = headers,
                            .body = body,
                            .attempts_max = 2};

    begin_call(f);
    g_assert_nonnull(ForwardClient_Start(f->forwards, &spec, &call_handlers, f,
                                         &f->ticket, NULL));
    HeaderList_Destroy(headers);
    wait_for_end(f);
    BodyBuffer_Destroy(body);
}

/* A request on its way, which others may alter. */
typedef struct Message_ {
    HeaderList *headers;
    const char *method;
    const char *path;
    Str body;
    ForwardRequestSeal seal;
    const uint8_t *key; /* of the MAC */
    Str receiver;
} Message;

static void
init_message(Fixture *f, Message *message)
{
    const HostPeer *peer = HostKeys_Find(f->a, STR("b"));

    *message = (Message){.headers = sample_headers(),
                         .method = "POST",
                         .path = "/once/1",
                         .body = STR(BODY),
                         .seal = {.sender = STR("a"),
                                  .sequence = HostKeys_NextSequence(f->a),
                                  .attempts_max = 2},
                         .key = peer->keys.sent_request,
                         .receiver = STR("b")};
    memcpy(message->seal.sender_key, HostKeys_PublicKey(f->a), HOST_KEY_BYTES);
    digest_text(message->body, message->seal.digest);
    f->ticket.sequence = message->seal.sequence;
    memcpy(f->ticket.response_key, peer->keys.received_response,
           FORWARD_MAC_KEY_BYTES);
}

static void
seal_message(Message *message)
{
    ForwardRequestHead head = {message->receiver, Str_FromC(message->method),
                               Str_FromC(message->path), message->headers};

    ForwardRequestSeal_Mac(&message->seal, &head, message->key,
                           message->seal.mac);
}

static void
send_message(Fixture *f, const Message *message)
{
    GString *text = g_string_new(NULL);
    HttpCallSpec spec = {
        .address = "127.0.0.1",
        .port = ForwardServer_Port(f->server),
        .method = Str_FromC(message->method),
        .path = Str_FromC(message->path),
        .headers = message->headers,
        .content_length = (int64_t)message->body.length,
        .body = message->body,
    };

    begin_call(f);
    ForwardRequestSeal_Format(&message->seal, text);
    HeaderList_Set(message->headers, STR(FORWARD_FIELD), Str_FromString(text));
    g_assert_nonnull(
        HttpClient_Start(f->client, &spec, &call_handlers, f, NULL));
    g_string_free(text, TRUE);
    wait_for_end(f);
}

static void
assert_refused(const Fixture *f, unsigned runs)
{
    g_assert_cmpint(f->status, ==, 403);
    g_assert_false(f->authentic);
    g_assert_cmpuint(f->runs, ==, runs);
}

/* ---- requests ------------------------------------------------------- */

/* Guards against hosts that refuse each other. */
static void
test_genuine(Fixture *f, gconstpointer data)
{
    static const char *const methods[] = {"POST", "GET", "HEAD", "DELETE"};

    for (unsigned i = 0; i < G_N_ELEMENTS(methods); i++) {
        forward(f, methods[i], i == 0 ? STR(BODY) : STR(""));
        g_assert_cmpint(f->status, ==, 201);
        g_assert_true(f->authentic);
        g_assert_cmpint(f->outcome, ==, FORWARD_OUTCOME_RELAYED);
        g_assert_cmpuint(f->runs, ==, i + 1);
    }
}

#define REFUSED(change)                                                       \
    do {                                                                      \
        Message message;                                                      \
        init_message(f, &message);                                            \
        seal_message(&message);                                               \
        change;                                                               \
        send_message(f, &message);                                            \
        assert_refused(f, 0);                                                 \
        HeaderList_Destroy(message.headers);                                  \
    } while (0)

/* Guards against running a request that was altered after it was sealed. */
static void
test_altered(Fixture *f, gconstpointer data)
{
    REFUSED(message.method = "PUT");
    REFUSED(message.path = "/once/2");
    REFUSED(message.body = STR("some b0dy"));
    REFUSED(message.body = STR(""));
    REFUSED(message.seal.sequence++);
    REFUSED(message.seal.attempts_max++);
    REFUSED(message.seal.digest[0] ^= 1);
    REFUSED(message.seal.mac[31] ^= 1);
    REFUSED(HeaderList_Set(message.headers, STR("host"), STR("other")));
    REFUSED(HeaderList_Set(message.headers, STR("agatecrank-timeout-ms"),
                           STR("90000")));
    REFUSED(HeaderList_Set(message.headers, STR("agatecrank-attempt-id"),
                           STR("18")));
    REFUSED(HeaderList_Add(message.headers, STR("cookie"), STR("x")));
}

/* Guards against running requests of anybody who reaches the port. */
static void
test_forged(Fixture *f, gconstpointer data)
{
    uint8_t zero[FORWARD_MAC_KEY_BYTES] = {0};
    HttpCallSpec spec = {.address = "127.0.0.1",
                         .port = ForwardServer_Port(f->server),
                         .method = STR("POST"),
                         .path = STR("/once/1"),
                         .content_length = sizeof(BODY) - 1,
                         .body = STR(BODY)};

    REFUSED(message.key = zero; seal_message(&message));
    REFUSED(message.seal.sender = STR("c"));
    REFUSED(memset(message.seal.sender_key, 0, HOST_KEY_BYTES));
    g_assert_cmpuint(f->unlisted, ==, 0);
    REFUSED(message.seal.sender = STR("b"); seal_message(&message));
    begin_call(f);
    g_assert_nonnull(
        HttpClient_Start(f->client, &spec, &call_handlers, f, NULL));
    wait_for_end(f);
    assert_refused(f, 0);
}

/* Guards against running a request that its sender sent to another host. */
static void
test_wrong_receiver(Fixture *f, gconstpointer data)
{
    HostKeys *c = HostKeys_Create(STR("c"), f->clock, NULL);
    PairKeys keys;

    REFUSED(message.receiver = STR("c"); seal_message(&message));
    g_assert_cmpint(
        HostKeys_Derive(f->a, STR("c"), HostKeys_PublicKey(c), &keys), ==, 0);
    REFUSED(message.receiver = STR("c"); message.key = keys.sent_request;
            seal_message(&message));
    HostKeys_Destroy(c);
}

/* Guards against running a request twice, also long afterwards. */
static void
test_replayed(Fixture *f, gconstpointer data)
{
    Message first, late;

    init_message(f, &late);
    seal_message(&late);
    init_message(f, &first);
    seal_message(&first);
    send_message(f, &first);
    g_assert_cmpint(f->status, ==, 201);
    send_message(f, &first);
    assert_refused(f, 1);
    for (unsigned i = 0; i < REPLAY_WINDOW_SIZE; i++) {
        HostKeys_NextSequence(f->a);
    }
    forward(f, "POST", STR(BODY));
    g_assert_cmpint(f->status, ==, 201);
    send_message(f, &first);
    assert_refused(f, 2);
    send_message(f, &late);
    assert_refused(f, 2);
    HeaderList_Destroy(first.headers);
    HeaderList_Destroy(late.headers);
}

/* Guards against running a request again, or denying that it ran, once its
 * sender's process has ended or was missing in the list for a while. */
static void
test_replayed_after_change(Fixture *f, gconstpointer data)
{
    HostKeys *successor = HostKeys_Create(STR("a"), f->clock, NULL);
    Message old;

    init_message(f, &old);
    seal_message(&old);
    send_message(f, &old);
    g_assert_cmpuint(f->runs, ==, 1);
    introduce(f->b, successor, 1);
    send_message(f, &old);
    assert_refused(f, 1);
    HostKeys_SetPeers(f->b, NULL, 0);
    send_message(f, &old);
    assert_refused(f, 1);
    introduce(f->b, f->a, 1);
    send_message(f, &old);
    assert_refused(f, 1);
    forward(f, "POST", STR(BODY));
    g_assert_cmpuint(f->runs, ==, 2);
    HeaderList_Destroy(old.headers);
    HostKeys_Destroy(successor);
}

/* Guards against running a request later that was said never to run. */
static void
test_replayed_after_denial(Fixture *f, gconstpointer data)
{
    Message early;

    HostKeys_SetPeers(f->b, NULL, 0);
    init_message(f, &early);
    seal_message(&early);
    send_message(f, &early);
    g_assert_true(f->authentic);
    introduce(f->b, f->a, 1);
    send_message(f, &early);
    assert_refused(f, 0);
    HeaderList_Destroy(early.headers);
}

/* Guards against a sender that can't tell whether a host ran its request that
 * has not read its key yet. */
static void
test_unknown_key(Fixture *f, gconstpointer data)
{
    HostKeys_SetPeers(f->b, NULL, 0);
    forward(f, "POST", STR(BODY));
    g_assert_cmpint(f->status, ==, 503);
    g_assert_true(f->authentic);
    g_assert_cmpint(f->outcome, ==, FORWARD_OUTCOME_NOT_RUN);
    g_assert_cmpstr(f->reason->str, ==, "forward-denied");
    g_assert_cmpuint(f->unlisted, ==, 1);
    g_assert_cmpuint(f->runs, ==, 0);
}

/* Guards against claims of unknown processes that take processor time and
 * memory without bound. */
static void
test_unknown_keys(Fixture *f, gconstpointer data)
{
    Clock *clock = Clock_CreateManual(MICROS_PER_S, 0);
    HostKeys *keys = HostKeys_Create(STR("k"), clock, NULL);
    uint8_t key[HOST_KEY_BYTES] = {9};
    unsigned found = 0;

    for (unsigned i = 0; i < 100; i++) {
        key[1] = (uint8_t)i;
        found += HostKeys_FindUnlisted(keys, STR("x"), key) != NULL;
    }
    g_assert_cmpuint(found, ==, 20);
    for (unsigned i = 0; i < 1000; i++) {
        Clock_Advance(clock, MICROS_PER_S / 20);
        key[2] = (uint8_t)(i / 256);
        key[3] = (uint8_t)(i % 256);
        found += HostKeys_FindUnlisted(keys, STR("x"), key) != NULL;
    }
    g_assert_cmpuint(found, >, 900);
    HostKeys_Destroy(keys);
    Clock_Destroy(clock);
}

/* Guards against bodies without bound in memory. */
static void
test_large_body(Fixture *f, gconstpointer data)
{
    GString *body = g_string_new(NULL);
    HeaderList *headers = sample_headers();
    ForwardCallSpec spec = {.peer = STR("b"),
                            .method = STR("POST"),
                            .path = STR("/once/1"),
                            .headers = headers,
                            .attempts_max = 2};
    BodyBuffer *too_large;
    Message message;
    Error error;

    g_string_set_size(body, FORWARD_BODY_MAX_BYTES);
    memset(body->str, 'x', body->len);
    forward(f, "POST", Str_FromString(body));
    g_assert_cmpint(f->status, ==, 201);
    g_string_append_c(body, 'x');
    too_large = create_body(Str_FromString(body));
    spec.body = too_large;
    g_assert_null(ForwardClient_Start(f->forwards, &spec, &call_handlers, f,
                                      &f->ticket, &error));
    g_assert_cmpint(error.code, ==, ERR_INVALID);
    spec.peer = STR("c");
    g_assert_null(ForwardClient_Start(f->forwards, &spec, &call_handlers, f,
                                      &f->ticket, &error));
    g_assert_cmpint(error.code, ==, ERR_NOT_FOUND);
    init_message(f, &message);
    message.body = Str_FromString(body);
    digest_text(message.body, message.seal.digest);
    seal_message(&message);
    send_message(f, &message);
    g_assert_cmpint(f->status, ==, 413);
    g_assert_cmpuint(f->runs, ==, 1);
    HeaderList_Destroy(message.headers);
    HeaderList_Destroy(headers);
    BodyBuffer_Destroy(too_large);
    g_string_free(body, TRUE);
}

/* Guards against bodies that never end and use up the bound on bodies. */
static void
test_slow_body(Fixture *f, gconstpointer data)
{
    Message message;
    HttpCallSpec spec = {.address = "127.0.0.1",
                         .port = ForwardServer_Port(f->server),
                         .method = STR("POST"),
                         .path = STR("/once/1"),
                         .content_length = sizeof(BODY) - 1,
                         .body = STR("some")};
    GString *text = g_string_new(NULL);

    init_message(f, &message);
    seal_message(&message);
    ForwardRequestSeal_Format(&message.seal, text);
    HeaderList_Set(message.headers, STR(FORWARD_FIELD), Str_FromString(text));
    spec.headers = message.headers;
    begin_call(f);
    g_assert_nonnull(
        HttpClient_Start(f->client, &spec, &call_handlers, f, NULL));
    wait_for_end(f);
    g_assert_cmpint(f->status, ==, 0);
    g_assert_cmpuint(f->runs, ==, 0);
    g_assert_cmpuint(ForwardServer_OpenRequests(f->server), ==, 0);
    g_string_free(text, TRUE);
    HeaderList_Destroy(message.headers);
}

/* ---- responses ------------------------------------------------------ */

/* Guards against using a response of a process that has taken over the address
 * of a host, or one that was made for another request. */
static void
test_foreign_response(Fixture *f, gconstpointer data)
{
    HostKeys *impostor = HostKeys_Create(STR("b"), f->clock, NULL);
    ListedHost host = listed(impostor, ForwardServer_Port(f->server));

    /* For a, the process at the address has another key than it has. */
    HostKeys_SetPeers(f->a, &host, 1);
    forward(f, "POST", STR(BODY));
    assert_refused(f, 0);
    introduce(f->a, f->b, ForwardServer_Port(f->server));
    forward(f, "POST", STR(BODY));
    g_assert_true(f->authentic);
    HostKeys_Destroy(impostor);
}

/* Guards against a response that is altered, or told to be another one. */
static void
test_altered_response(Fixture *f, gconstpointer data)
{
    ForwardTicket ticket = {.sequence = 9, .response_key = {1}};
    HeaderList *headers = HeaderList_Create();
    ForwardResponseHead head = {9, 503, headers};
    ForwardResponseSeal seal = {.outcome = FORWARD_OUTCOME_UNKNOWN};
    ForwardResponseSeal read;
    GString *text = g_string_new(NULL);

    g_assert_cmpint(ForwardTicket_Check(&ticket, 503, headers, &read), ==,
                    ERR_DENIED);
    ForwardResponseSeal_Mac(&seal, &head, ticket.response_key, seal.mac);
    ForwardResponseSeal_Format(&seal, text);
    HeaderList_Add(headers, STR(FORWARD_FIELD), Str_FromString(text));
    g_assert_cmpint(ForwardTicket_Check(&ticket, 503, headers, &read), ==, 0);
    g_assert_cmpint(ForwardTicket_Check(&ticket, 200, headers, &read), ==,
                    ERR_DENIED);
    ticket.sequence = 10;
    g_assert_cmpint(ForwardTicket_Check(&ticket, 503, headers, &read), ==,
                    ERR_DENIED);
    ticket.sequence = 9;
    seal.outcome = FORWARD_OUTCOME_NOT_RUN;
    g_string_truncate(text, 0);
    ForwardResponseSeal_Format(&seal, text);
    HeaderList_Set(headers, STR(FORWARD_FIELD), Str_FromString(text));
    g_assert_cmpint(ForwardTicket_Check(&ticket, 503, headers, &read), ==,
                    ERR_DENIED);
    g_string_free(text, TRUE);
    HeaderList_Destroy(headers);
}

#define ADD(path, test)                                                       \
    g_test_add(path, Fixture, NULL, set_up, test, tear_down)

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    ADD("/forward-server/genuine", test_genuine);
    ADD("/forward-server/altered", test_altered);
    ADD("/forward-server/forged", test_forged);
    ADD("/forward-server/wrong-receiver", test_wrong_receiver);
    ADD("/forward-server/replayed", test_replayed);
    ADD("/forward-server/replayed-after-change", test_replayed_after_change);
    ADD("/forward-server/replayed-after-denial", test_replayed_after_denial);
    ADD("/forward-server/unknown-key", test_unknown_key);
    ADD("/forward-server/unknown-keys", test_unknown_keys);
    ADD("/forward-server/large-body", test_large_body);
    ADD("/forward-server/slow-body", test_slow_body);
    ADD("/forward-server/foreign-response", test_foreign_response);
    ADD("/forward-server/altered-response", test_altered_response);
    return g_test_run();
}
