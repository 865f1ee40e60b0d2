#include <glib.h>

#include "HttpClient.h"
#include "ScriptedUpstream.h"

/* The upstream writes its response at once. */
#define WAIT_US (500 * MICROS_PER_MS)

typedef struct Fixture_ {
    ScriptedUpstream *upstream;
    Clock *clock;
    Loop *loop;
    HttpClient *client;
    LoopTimer *timer;
    int status;
} Fixture;

static void
on_headers(void *user, HttpCall *call, int status, const HeaderList *headers)
{
    ((Fixture *)user)->status = status;
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
stop_loop(void *user)
{
    Loop_Stop(((Fixture *)user)->loop);
}

static void
on_complete(void *user, HttpCall *call)
{
    stop_loop(user);
}

static void
on_failed(void *user, HttpCall *call, HttpCallFailure failure, bool maybe_sent,
          const Error *error)
{
    stop_loop(user);
}

static void
set_up(Fixture *f, gconstpointer data)
{
    static const ScriptedReply replies[] = {
        {.response = "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n"},
        {.response = "HTTP/1.1 503 Denied\r\ncontent-length: 0\r\n\r\n"},
    };
    HttpClientOptions options = {.max_connections = 4};

    f->upstream = ScriptedUpstream_Create(replies, G_N_ELEMENTS(replies));
    f->clock = Clock_CreateSystem();
    f->loop = Loop_Create(f->clock, NULL, NULL);
    f->client = HttpClient_Create(f->loop, &options);
    f->timer = LoopTimer_Create(f->loop, stop_loop, f);
}

static void
tear_down(Fixture *f, gconstpointer data)
{
    Loop_Close(f->loop);
    LoopTimer_Destroy(f->timer);
    HttpClient_Destroy(f->client);
    ScriptedUpstream_Destroy(f->upstream);
    Loop_Destroy(f->loop);
    Clock_Destroy(f->clock);
}

static void
call(Fixture *f, Str match_name, Str match_value)
{
    static const HttpCallHandlers handlers = {
        on_headers, on_data, on_drained, on_complete, on_failed,
    };
    HttpCallSpec spec = {.address = "127.0.0.1",
                         .port = ScriptedUpstream_Port(f->upstream),
                         .method = STR("GET"),
                         .path = STR("/x"),
                         .match_name = match_name,
                         .match_value = match_value};

    f->status = 0;
    LoopTimer_Start(f->timer, WAIT_US);
    g_assert_nonnull(HttpClient_Start(f->client, &spec, &handlers, f, NULL));
    Loop_Run(f->loop);
}

/* Guards against a peer's refusal of a forward that is skipped since a question
 * about an allowance, which has no id, used the connection. */
static void
test_after_question(Fixture *f, gconstpointer data)
{
    call(f, STR(""), STR(""));
    g_assert_cmpint(f->status, ==, 200);
    call(f, STR("call"), STR("7"));
    g_assert_cmpint(f->status, ==, 503);
    g_assert_cmpuint(HttpClient_OpenedCount(f->client), ==, 1);
}

/* Guards against the response to a probe that is taken for the one to a
 * request. */
static void
test_after_probe(Fixture *f, gconstpointer data)
{
    call(f, STR("call"), STR(""));
    g_assert_cmpint(f->status, ==, 200);
    call(f, STR("call"), STR("7"));
    g_assert_cmpint(f->status, ==, 0);
    g_assert_cmpuint(HttpClient_SkippedCount(f->client), ==, 1);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add("/unmarked/after-question", Fixture, NULL, set_up,
               test_after_question, tear_down);
    g_test_add("/unmarked/after-probe", Fixture, NULL, set_up,
               test_after_probe, tear_down);
    return g_test_run();
}
