#include <glib.h>

#include "HttpClient.h"
#include "ScriptedUpstream.h"

#define CALLS 40
#define CONNECTIONS_MAX 32
/* More than the attempts at one request. */
#define OPEN_MAX 8
#define CLOSE_TIME_US (1 * MICROS_PER_S)
#define POLL_US (2 * MICROS_PER_MS)

typedef struct Fixture_ {
    ScriptedUpstream *upstream;
    Clock *clock;
    Loop *loop;
    HttpClient *client;
} Fixture;

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
    Loop_Stop(((Fixture *)user)->loop);
}

static void
on_failed(void *user, HttpCall *call, HttpCallFailure failure, bool maybe_sent,
          const Error *error)
{
    g_assert_not_reached();
}

static void
set_up(Fixture *f, gconstpointer data)
{
    static const ScriptedReply replies[] = {
        {.response =
             "HTTP/1.1 200 OK\r\ncall: 7\r\ncontent-length: 0\r\n\r\n"},
    };
    HttpClientOptions options = {.max_connections = CONNECTIONS_MAX};

    f->upstream = ScriptedUpstream_Create(replies, G_N_ELEMENTS(replies));
    f->clock = Clock_CreateSystem();
    f->loop = Loop_Create(f->clock, NULL, NULL);
    f->client = HttpClient_Create(f->loop, &options);
}

static void
tear_down(Fixture *f, gconstpointer data)
{
    Loop_Close(f->loop);
    HttpClient_Destroy(f->client);
    ScriptedUpstream_Destroy(f->upstream);
    Loop_Destroy(f->loop);
    Clock_Destroy(f->clock);
}

/* Guards against a caller that repeats an id and takes up the connections of an
 * upstream. */
static void
test_repeated_ids(Fixture *f, gconstpointer data)
{
    static const HttpCallHandlers handlers = {
        on_headers, on_data, on_drained, on_complete, on_failed,
    };
    HttpCallSpec spec = {.address = "127.0.0.1",
                         .port = ScriptedUpstream_Port(f->upstream),
                         .method = STR("GET"),
                         .path = STR("/x"),
                         .match_name = STR("call"),
                         .match_value = STR("7")};

    for (int i = 0; i < CALLS; i++) {
        g_assert_nonnull(
            HttpClient_Start(f->client, &spec, &handlers, f, NULL));
        Loop_Run(f->loop);
    }
    for (Micros waited = 0;
         waited < CLOSE_TIME_US &&
         ScriptedUpstream_Connections(f->upstream) > OPEN_MAX;
         waited += POLL_US) {
        g_usleep(POLL_US);
    }
    g_assert_cmpuint(ScriptedUpstream_Requests(f->upstream), ==, CALLS);
    g_assert_cmpuint(ScriptedUpstream_Connections(f->upstream), <=, OPEN_MAX);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add("/client/repeated-ids", Fixture, NULL, set_up,
               test_repeated_ids, tear_down);
    return g_test_run();
}
