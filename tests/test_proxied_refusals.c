#include <glib.h>
#include <string.h>

#include "Balancer.h"
#include "ConfigFixture.h"
#include "Proxy.h"
#include "ScriptedUpstream.h"

#define BUFFER_BYTES 65536
#define TIMEOUT_US (20 * MICROS_PER_S)
#define REQUEST_ID 117
/* More than the system buffers on a connection. */
#define UPLOAD_BYTES ((size_t)4 * 1024 * 1024)
/* Successes that allow one retry. */
#define SUCCESSES 20
#define REFUSAL                                                               \
    "HTTP/1.1 503 Full\r\nagatecrank-outcome: not-run\r\n"                    \
    "content-length: 0\r\n"
#define RESPONSE "HTTP/1.1 200 OK\r\ncontent-length: 6\r\n\r\nresult"

/* A balancer host with one upstream, which is listed twice. */
typedef struct Fixture_ {
    ScriptedReply replies[SUCCESSES + 2];
    ScriptedUpstream *upstream;
    Clock *clock;
    Random *random;
    Loop *loop;
    Counters *counters;
    ConfigState *config;
    Balancer *balancer;
    Proxy *proxy;
    HttpClient *caller;
    LoopTimer *guard;
    int status;
    bool not_run;
    bool unknown; /* the outcome, as the response states */
    bool complete;
} Fixture;

static const char config_document[] =
    "[operator.root]\npublic_key = \"%s\"\nlines = [\"*\"]\n"
    "[line.a]\nweight = 50\n"
    "[service.desk]\nslots = 100\nconnections = 100\n"
    "idempotent_methods = [\"GET\"]\n"
    "[caller.counter]\nline = \"a\"\ntoken_sha256 = \"%s\"\n"
    "[selector.lookups]\nline = \"a\"\nservice = \"desk\"\n"
    "deadline_ms = 2000\n";

static void
fail_test(void *user)
{
    g_error("the test takes too long");
}

static void
on_claim(void *user, const ClaimAction *action)
{
}

static void
publish_config(Fixture *f)
{
    g_autofree char *key = Fixture_PublicKey(KEY_ROOT);
    g_autofree char *token =
        g_compute_checksum_for_string(G_CHECKSUM_SHA256, "token", -1);
    g_autofree char *text = g_strdup_printf(config_document, key, token);

    g_assert_cmpint(
        Fixture_Apply(f->config, "first", "root", KEY_ROOT, 0, text, NULL), ==,
        CONFIG_ACCEPTED);
}

static void
list_upstream_twice(Fixture *f)
{
    HostEntry entries[] = {{.id = STR("u")}, {.id = STR("v")}};

    for (size_t i = 0; i < G_N_ELEMENTS(entries); i++) {
        entries[i].role = HOST_UPSTREAM;
        entries[i].address = STR("127.0.0.1");
        entries[i].port = ScriptedUpstream_Port(f->upstream);
        entries[i].service = STR("desk");
        entries[i].domain = STR("lac-a");
    }
    Balancer_OnHostList(f->balancer, entries, G_N_ELEMENTS(entries));
}

static void
create_proxy(Fixture *f)
{
    ConfigOptions config = Fixture_Options();
    BalancerOptions balancer = {
        .router = RouterOptions_Default(),
        .admission = {.mode = ADMISSION_SHARED, .hosts = 1},
        .claims = ClaimsOptions_Default(STR("host-1"), 1),
        .attempts_max = 2,
    };
    ProxyOptions proxy = {
        .server = {.address = "127.0.0.1", .keep_alive_s = 60},
        .client = {.max_connections = 8},
        .request_buffer_bytes = BUFFER_BYTES,
        .response_buffer_bytes = BUFFER_BYTES,
        .answer_limit = BUFFER_BYTES,
    };
    Str name = STR("host-1");

    f->config = ConfigState_Create(&config);
    f->balancer = Balancer_Create(&balancer, f->config, f->clock, f->random,
                                  NULL, f->counters);
    Balancer_SetHosts(f->balancer, &name, 1, 0);
    publish_config(f);
    list_upstream_twice(f);
    Balancer_OnConfigChanged(f->balancer);
    Balancer_SetReady(f->balancer, true);
    f->proxy = Proxy_Create(f->loop, f->balancer, f->random, f->counters,
                            &proxy, on_claim, NULL, NULL);
    g_assert_nonnull(f->proxy);
}

static void
on_headers(void *user, HttpCall *call, int status, const HeaderList *headers)
{
    Fixture *f = user;

    Str outcome = HeaderList_Get(headers, STR("agatecrank-outcome"));

    f->status = status;
    f->not_run = Str_Equal(outcome, STR("not-run"));
    f->unknown = Str_Equal(outcome, STR("unknown"));
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

    f->complete = true;
    Loop_Stop(f->loop);
}

static void
on_failed(void *user, HttpCall *call, HttpCallFailure failure, bool maybe_sent,
          const Error *error)
{
    Loop_Stop(((Fixture *)user)->loop);
}

/* Sends a request that must not run twice, and waits for its end.
 * @content: its body, or NULL */
static void
call_with(Fixture *f, unsigned id, const BodyBuffer *content)
{
    static const HttpCallHandlers handlers = {
        on_headers, on_data, on_drained, on_complete, on_failed,
    };
    HeaderList *headers = HeaderList_Create();
    char text[16];
    HttpCallSpec spec = {.address = "127.0.0.1",
                         .port = Proxy_Port(f->proxy),
                         .method = STR("POST"),
                         .path = STR("/x"),
                         .headers = headers,
                         .content_length = (int64_t)BodyBuffer_Length(content),
                         .content = content};

    f->complete = false;
    HeaderList_Add(headers, STR("host"), STR("desk"));
    HeaderList_Add(headers, STR("authorization"), STR("Bearer token"));
    g_snprintf(text, sizeof(text), "%u", id);
    HeaderList_Add(headers, STR("x-request-id"), Str_FromC(text));
    g_assert_nonnull(HttpClient_Start(f->caller, &spec, &handlers, f, NULL));
    HeaderList_Destroy(headers);
    Loop_Run(f->loop);
}

static void
call(Fixture *f, unsigned id)
{
    call_with(f, id, NULL);
}

static void
set_up(Fixture *f, gconstpointer data)
{
    HttpClientOptions client = {.max_connections = 4};

    for (size_t i = 0; i < SUCCESSES; i++) {
        f->replies[i].response = RESPONSE;
    }
    memcpy(&f->replies[SUCCESSES], data, 2 * sizeof(f->replies[0]));
    f->upstream =
        ScriptedUpstream_Create(f->replies, G_N_ELEMENTS(f->replies));
    f->clock = Clock_CreateSystem();
    f->random = Random_Create(3);
    f->loop = Loop_Create(f->clock, NULL, NULL);
    f->counters = Counters_Create(200);
    create_proxy(f);
    f->caller = HttpClient_Create(f->loop, &client);
    f->guard = LoopTimer_Create(f->loop, fail_test, f);
    LoopTimer_Start(f->guard, TIMEOUT_US);
    for (unsigned i = 0; i < SUCCESSES; i++) {
        call(f, i);
        g_assert_cmpint(f->status, ==, 200);
    }
}

static void
tear_down(Fixture *f, gconstpointer data)
{
    Loop_Close(f->loop);
    LoopTimer_Destroy(f->guard);
    Proxy_Destroy(f->proxy);
    Balancer_Destroy(f->balancer);
    ConfigState_Destroy(f->config);
    HttpClient_Destroy(f->caller);
    ScriptedUpstream_Destroy(f->upstream);
    Loop_Destroy(f->loop);
    Counters_Destroy(f->counters);
    Random_Destroy(f->random);
    Clock_Destroy(f->clock);
}

/* Guards against a copy of the refusal of one attempt that is taken for the
 * response to the next one, which runs. */
static void
test_copy_of_earlier_attempt(Fixture *f, gconstpointer data)
{
    call(f, REQUEST_ID);
    g_assert_cmpuint(ScriptedUpstream_Requests(f->upstream), ==,
                     SUCCESSES + 2);
    g_assert_cmpint(f->status, ==, 200);
    g_assert_false(f->not_run);
}

/* Guards against a statement on another request that is believed. */
static void
test_statement_on_other_request(Fixture *f, gconstpointer data)
{
    call(f, REQUEST_ID);
    g_assert_cmpuint(ScriptedUpstream_Requests(f->upstream), ==,
                     SUCCESSES + 1);
    g_assert_cmpint(f->status, ==, 503);
    g_assert_false(f->not_run);
}

/* Guards against a response with an invalid status that reaches the caller, or
 * whose statement is believed. */
static void
test_invalid_status(Fixture *f, gconstpointer data)
{
    call(f, REQUEST_ID);
    g_assert_cmpuint(ScriptedUpstream_Requests(f->upstream), ==,
                     SUCCESSES + 1);
    g_assert_cmpint(f->status, ==, 502);
    g_assert_true(f->unknown);
}

static void
upload(Fixture *f)
{
    BodyBuffer *content = BodyBuffer_Create();
    g_autofree char *text = g_strnfill(UPLOAD_BYTES, 'u');

    BodyBuffer_Append(content, (Str){text, UPLOAD_BYTES});
    call_with(f, REQUEST_ID, content);
    BodyBuffer_Destroy(content);
    g_assert_cmpuint(ScriptedUpstream_Requests(f->upstream), ==,
                     SUCCESSES + 1);
}

/* Guards against the part of a body before a reset that passes for a whole one
 * while the request is still being sent. */
static void
test_reset_in_upload(Fixture *f, gconstpointer data)
{
    upload(f);
    g_assert_false(f->complete);
}

/* Guards against a whole response that does not reach the caller because the
 * upstream has not read the request. */
static void
test_half_close_in_upload(Fixture *f, gconstpointer data)
{
    upload(f);
    g_assert_true(f->complete);
    g_assert_cmpint(f->status, ==, 200);
}

int
main(int argc, char **argv)
{
    static const ScriptedReply copy[] = {
        {.response = REFUSAL "\r\n"},
        {.copy = REFUSAL "\r\n", .response = RESPONSE},
    };
    static const ScriptedReply other[] = {
        {.response = REFUSAL "x-request-id: 18\r\n\r\n"},
        {.response = RESPONSE},
    };
    static const ScriptedReply own[] = {
        {.response =
             REFUSAL "x-request-id: " G_STRINGIFY(REQUEST_ID) "\r\n\r\n"},
        {.response = RESPONSE},
    };
    static const ScriptedReply invalid[] = {
        {.response = "HTTP/1.1 000 Trouble\r\nagatecrank-outcome: not-run\r\n"
                     "content-length: 0\r\n\r\n"},
        {.response = RESPONSE},
    };
    static const ScriptedReply reset[] = {
        {.response = "HTTP/1.1 200 OK\r\n\r\npart",
         .end = SCRIPTED_END_RESET,
         .end_delay_us = 50000},
        {.response = RESPONSE},
    };
    static const ScriptedReply half_close[] = {
        {.response = "HTTP/1.1 200 OK\r\n\r\nwhole",
         .end = SCRIPTED_END_HALF_CLOSE,
         .end_delay_us = 50000},
        {.response = RESPONSE},
    };

    g_test_init(&argc, &argv, NULL);
    g_test_add("/proxied/copy-of-earlier-attempt", Fixture, copy, set_up,
               test_copy_of_earlier_attempt, tear_down);
    g_test_add("/proxied/statement-on-other-request", Fixture, other, set_up,
               test_statement_on_other_request, tear_down);
    g_test_add("/proxied/own-statement", Fixture, own, set_up,
               test_copy_of_earlier_attempt, tear_down);
    g_test_add("/proxied/invalid-status", Fixture, invalid, set_up,
               test_invalid_status, tear_down);
    g_test_add("/proxied/reset-in-upload", Fixture, reset, set_up,
               test_reset_in_upload, tear_down);
    g_test_add("/proxied/half-close-in-upload", Fixture, half_close, set_up,
               test_half_close_in_upload, tear_down);
    return g_test_run();
}
