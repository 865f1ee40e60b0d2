#include "ScriptedGateway.h"

#include <glib.h>
#include <string.h>

#include "Gateway.h"
#include "GatewayFixture.h"
#include "PlatformDialect.h"

#define HELD_POLL_US (2 * MICROS_PER_MS)
#define TIMEOUT_US (60 * MICROS_PER_S)

struct ScriptedGateway_ {
    ScriptedUpstream *upstream;
    Clock *clock;
    Random *random;
    Loop *loop;
    Counters *counters;
    Dispatcher *dispatcher;
    Gateway *gateway;
    HttpClient *caller;
    LoopTimer *guard;
    LoopTimer *held_timer;
    ScriptedHandler *on_held;
    void *on_held_user;
    EventLog *log;
    GString *lines; /* of the log */
    GString *body;
    int status;
    bool complete;
    bool failed;
};

static void
on_held_timer(void *user)
{
    ScriptedGateway *this = user;

    if (!ScriptedUpstream_IsHeld(this->upstream)) {
        LoopTimer_Start(this->held_timer, HELD_POLL_US);
        return;
    }
    this->on_held(this->on_held_user);
    ScriptedUpstream_Release(this->upstream);
}

/* ---- caller --------------------------------------------------------- */

static void
on_headers(void *user, HttpCall *call, int status, const HeaderList *headers)
{
    ((ScriptedGateway *)user)->status = status;
}

static void
on_data(void *user, HttpCall *call, Str data)
{
    Str_AppendTo(data, ((ScriptedGateway *)user)->body);
}

static void
on_drained(void *user, HttpCall *call)
{
}

static void
on_complete(void *user, HttpCall *call)
{
    ((ScriptedGateway *)user)->complete = true;
}

static void
on_failed(void *user, HttpCall *call, HttpCallFailure failure, bool maybe_sent,
          const Error *error)
{
    ((ScriptedGateway *)user)->failed = true;
}

static const HttpCallHandlers call_handlers = {
    on_headers, on_data, on_drained, on_complete, on_failed,
};

/* @content: body of the request, or NULL */
static int
call(ScriptedGateway *this, const char *path, const BodyBuffer *content,
     bool with_id)
{
    HeaderList *headers = HeaderList_Create();
    HttpCallSpec spec = {.address = "127.0.0.1",
                         .port = Gateway_Port(this->gateway),
                         .method = content != NULL ? STR("POST") : STR("GET"),
                         .path = Str_FromC(path),
                         .headers = headers,
                         .content_length = (int64_t)BodyBuffer_Length(content),
                         .content = content,
                         .new_connection = true};

    HeaderList_Add(headers, STR("host"), GATEWAY_FIXTURE_HOST);
    if (with_id) {
        HeaderList_Add(headers, STR("agatecrank-attempt-id"),
                       STR(SCRIPTED_ID));
    }
    this->complete = this->failed = false;
    this->status = 0;
    g_string_truncate(this->body, 0);
    g_assert_nonnull(
        HttpClient_Start(this->caller, &spec, &call_handlers, this, NULL));
    HeaderList_Destroy(headers);
    while (!this->complete && !this->failed) {
        Loop_RunOnce(this->loop);
    }
    return this->complete ? this->status : 0;
}

int
ScriptedGateway_Call(ScriptedGateway *this, const char *path)
{
    return call(this, path, NULL, true);
}

int
ScriptedGateway_CallWithoutId(ScriptedGateway *this, const char *path)
{
    return call(this, path, NULL, false);
}

int
ScriptedGateway_Upload(ScriptedGateway *this, const char *path, size_t bytes)
{
    BodyBuffer *content = BodyBuffer_Create();
    g_autofree char *text = g_strnfill(bytes, 'u');
    int status;

    BodyBuffer_Append(content, (Str){text, bytes});
    status = call(this, path, content, true);
    BodyBuffer_Destroy(content);
    return status;
}

const char *
ScriptedGateway_Log(const ScriptedGateway *this)
{
    return this->lines->str;
}

Str
ScriptedGateway_Body(const ScriptedGateway *this)
{
    return Str_FromString(this->body);
}

unsigned
ScriptedGateway_Requests(const ScriptedGateway *this)
{
    return ScriptedUpstream_Requests(this->upstream);
}

/* ---- roster --------------------------------------------------------- */

void
ScriptedGateway_List(ScriptedGateway *this, const char *id, int64_t started)
{
    UpstreamEntry entry =
        GatewayFixture_Upstream(id, ScriptedUpstream_Port(this->upstream), 4);

    entry.address = STR("127.0.0.1");
    entry.started = started;
    Dispatcher_PutUpstream(this->dispatcher, &entry);
}

void
ScriptedGateway_Drop(ScriptedGateway *this, const char *id)
{
    Dispatcher_RemoveUpstream(this->dispatcher, Str_FromC(id));
}

void
ScriptedGateway_OnHeld(ScriptedGateway *this, ScriptedHandler *handler,
                       void *user)
{
    this->on_held = handler;
    this->on_held_user = user;
    LoopTimer_Start(this->held_timer, HELD_POLL_US);
}

/* ---- creation ------------------------------------------------------- */

static void
fail_test(void *user)
{
    g_error("the test takes too long");
}

static void
add_line(void *user, LogLevel level, Str line)
{
    Str_AppendTo(line, user);
    g_string_append_c(user, '\n');
}

static void
set_routes(ScriptedGateway *this, uint64_t version, bool probing)
{
    CallerLimits limits = {0};
    RouteTable *table = RouteTable_Create(version, &limits);

    if (probing) {
        RouteTable_AddService(table, GATEWAY_FIXTURE_SERVICE, STR("/health"));
    }
    GatewayFixture_AddRoute(table, "/once/", ROUTE_AT_MOST_ONCE, 1,
                            300 * MICROS_PER_MS, 3 * MICROS_PER_S);
    GatewayFixture_AddRoute(table, "/safe/", ROUTE_IDEMPOTENT, 1,
                            300 * MICROS_PER_MS, 3 * MICROS_PER_S);
    g_assert_cmpint(Dispatcher_SetRoutes(this->dispatcher, table), ==, 0);
    RouteTable_Unref(table);
}

static void
create_gateway(ScriptedGateway *this)
{
    DispatcherOptions dispatcher = {.host = STR("a"),
                                    .domain = STR("d"),
                                    .retry_window = 10 * MICROS_PER_S,
                                    .retry_share = 0.2,
                                    .retry_extra = 200,
                                    .outage_grace = MICROS_PER_S};
    GatewayOptions options = {.address = "127.0.0.1",
                              .dialect = &PLATFORM_DIALECT,
                              .connections_max = 8,
                              .reuse_idle = MICROS_PER_S};

    this->dispatcher =
        Dispatcher_Create(&dispatcher, this->clock, this->random, NULL,
                          this->log, this->counters);
    this->gateway = Gateway_Create(this->loop, this->dispatcher,
                                   this->counters, &options, NULL);
    g_assert_nonnull(this->gateway);
    set_routes(this, 1, false);
    Dispatcher_SetSourceReachable(this->dispatcher, true, 0);
}

void
ScriptedGateway_EnableProbes(ScriptedGateway *this, const char *response)
{
    ScriptedUpstream_SetProbeResponse(this->upstream, response);
    set_routes(this, 2, true);
}

bool
ScriptedGateway_HasCounter(const ScriptedGateway *this, const char *text)
{
    GString *counters = g_string_new(NULL);
    bool found;

    Counters_Write(this->counters, counters);
    found = strstr(counters->str, text) != NULL;
    g_string_free(counters, TRUE);
    return found;
}

ScriptedGateway *
ScriptedGateway_Create(const ScriptedReply *replies, unsigned reply_count)
{
    ScriptedGateway *this = g_new0(ScriptedGateway, 1);
    HttpClientOptions client = {.max_connections = 4};

    this->upstream = ScriptedUpstream_Create(replies, reply_count);
    this->clock = Clock_CreateSystem();
    this->random = Random_Create(3);
    this->lines = g_string_new(NULL);
    this->log =
        EventLog_Create(this->clock, LOG_LEVEL_INFO, 0, add_line, this->lines);
    this->loop = Loop_Create(this->clock, this->log, NULL);
    this->counters = Counters_Create(100);
    this->body = g_string_new(NULL);
    create_gateway(this);
    this->caller = HttpClient_Create(this->loop, &client);
    this->held_timer = LoopTimer_Create(this->loop, on_held_timer, this);
    this->guard = LoopTimer_Create(this->loop, fail_test, this);
    LoopTimer_Start(this->guard, TIMEOUT_US);
    return this;
}

void
ScriptedGateway_Destroy(ScriptedGateway *this)
{
    Loop_Close(this->loop);
    LoopTimer_Destroy(this->guard);
    LoopTimer_Destroy(this->held_timer);
    Gateway_Destroy(this->gateway);
    Dispatcher_Destroy(this->dispatcher);
    HttpClient_Destroy(this->caller);
    ScriptedUpstream_Destroy(this->upstream);
    g_string_free(this->body, TRUE);
    EventLog_Destroy(this->log);
    g_string_free(this->lines, TRUE);
    Loop_Destroy(this->loop);
    Counters_Destroy(this->counters);
    Random_Destroy(this->random);
    Clock_Destroy(this->clock);
    g_free(this);
}
