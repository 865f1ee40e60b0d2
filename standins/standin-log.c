#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "Control.h"
#include "LogStream.h"
#include "Random.h"

#define RECORD_MAX_BYTES (256 * 1024)
#define WAIT_MAX_MS 60000
#define WAKE_PERIOD_US (2 * MICROS_PER_MS)
#define DEFAULT_READ_RECORDS_MAX 1000

typedef struct Options_ {
    int64_t port;
    int64_t seed;
    int64_t retain_count;
    int64_t retain_ms;
    int64_t delay_append_ms;
    int64_t delay_read_ms;
    int64_t lag_ms;
    int64_t lose_next;
    double lose_share;
    int64_t max_appends_per_s;
    int64_t max_read_bytes;
    char *down;
} Options;

#define FIELD(name) offsetof(Options, name)

static const Setting OPTIONS[] = {
    {"port", SETTING_INT, FIELD(port), false, "port, 0 for a free one"},
    {"seed", SETTING_INT, FIELD(seed), false, "seed of random faults"},
    {"retain-count", SETTING_INT, FIELD(retain_count), true,
     "records kept in each stream, 0 for all"},
    {"retain-ms", SETTING_INT, FIELD(retain_ms), true,
     "age at which a record expires, 0 for never"},
    {"delay-append-ms", SETTING_INT, FIELD(delay_append_ms), true,
     "time before an append takes effect"},
    {"delay-read-ms", SETTING_INT, FIELD(delay_read_ms), true,
     "time before a read is served"},
    {"lag-ms", SETTING_INT, FIELD(lag_ms), true,
     "time until reads see a record"},
    {"lose-next", SETTING_INT, FIELD(lose_next), true,
     "number of next appends whose answer is lost after the write"},
    {"lose-share", SETTING_REAL, FIELD(lose_share), true,
     "share of appends whose answer is lost after the write"},
    {"max-appends-per-s", SETTING_INT, FIELD(max_appends_per_s), true,
     "appends above this rate get 503, 0 for no bound"},
    {"max-read-bytes", SETTING_INT, FIELD(max_read_bytes), true,
     "bytes of one read, at least one record is given"},
    {"down", SETTING_TEXT, FIELD(down), true,
     "no, 503, silent (no answer) or close"},
};

typedef struct Counters_ {
    int64_t appends;
    int64_t refused;
    int64_t lost;
    int64_t reads;
    int64_t read_bytes;
    int64_t expired;
} Counters;

typedef struct LogService_ {
    Options options;
    Counters counters;
    Clock *clock;
    Random *random;
    GHashTable *streams; /* name -> LogStream */
    HttpLoop *loop;
    Timer wake;
    GHashTable *waiting;  /* set of HttpRequest: reads without new records */
    double append_tokens; /* token bucket for max_appends_per_s */
    Micros tokens_refilled_at;
} LogService;

static void
free_stream(void *pointer)
{
    LogStream_Destroy(pointer);
}

static LogStream *
get_or_create_stream(LogService *log, const HttpRequest *request)
{
    Str path = HttpRequest_Path(request);
    Str prefix = STR("/streams/");
    g_autofree char *name = NULL;
    LogStream *stream;

    if (!Str_StartsWith(path, prefix) || path.length == prefix.length) {
        return NULL;
    }
    name = g_strndup(path.data + prefix.length, path.length - prefix.length);
    stream = g_hash_table_lookup(log->streams, name);
    if (stream == NULL) {
        stream = LogStream_Create();
        g_hash_table_insert(log->streams, g_strdup(name), stream);
    }
    return stream;
}

static void
expire_records(LogService *log, LogStream *stream)
{
    Micros age = log->options.retain_ms * MICROS_PER_MS;
    Micros before = age > 0 ? Clock_Now(log->clock) - age : INT64_MIN;

    log->counters.expired += (int64_t)LogStream_Expire(
        stream, (uint64_t)log->options.retain_count, before);
}

/* Simulates reads from a replica that is lag_ms behind. */
static uint64_t
visible_next(const LogService *log, const LogStream *stream)
{
    return LogStream_VisibleNext(
        stream, Clock_Now(log->clock) - log->options.lag_ms * MICROS_PER_MS);
}

static void
respond_to_read(LogService *log, HttpRequest *request, LogStream *stream,
                uint64_t next)
{
    uint64_t from = HttpRequest_QueryNumber(request, "from", 0);
    uint64_t max =
        HttpRequest_QueryNumber(request, "max", DEFAULT_READ_RECORDS_MAX);
    GString *body = g_string_new(NULL);
    char headers[128];

    from = MAX(from, LogStream_First(stream));
    LogStream_Read(stream, from, next, max,
                   (uint64_t)log->options.max_read_bytes, body);
    snprintf(headers, sizeof(headers),
             "log-first: %" G_GUINT64_FORMAT "\r\nlog-next: %" G_GUINT64_FORMAT
             "\r\n",
             LogStream_First(stream), next);
    log->counters.reads++;
    log->counters.read_bytes += (int64_t)body->len;
    g_hash_table_remove(log->waiting, request);
    HttpRequest_Respond(request, 200, headers, Str_FromString(body));
    g_string_free(body, TRUE);
}

static void
on_wait_timeout(void *user, HttpRequest *request)
{
    LogService *log = user;
    LogStream *stream = get_or_create_stream(log, request);

    expire_records(log, stream);
    respond_to_read(log, request, stream, visible_next(log, stream));
}

static bool
has_new_records(LogService *log, HttpRequest *request, LogStream *stream)
{
    uint64_t from = HttpRequest_QueryNumber(request, "from", 0);

    return MAX(from, LogStream_First(stream)) < visible_next(log, stream);
}

static void
serve_read(void *user, HttpRequest *request)
{
    LogService *log = user;
    LogStream *stream = get_or_create_stream(log, request);
    uint64_t wait_ms = HttpRequest_QueryNumber(request, "wait_ms", 0);

    expire_records(log, stream);
    if (wait_ms == 0 || has_new_records(log, request, stream)) {
        respond_to_read(log, request, stream, visible_next(log, stream));
        return;
    }
    g_hash_table_add(log->waiting, request);
    HttpRequest_StartTimer(request,
                           (Micros)MIN(wait_ms, WAIT_MAX_MS) * MICROS_PER_MS,
                           on_wait_timeout);
}

static void
complete_waiting_reads(LogService *log)
{
    g_autoptr(GList) requests = g_hash_table_get_keys(log->waiting);

    for (GList *link = requests; link != NULL; link = link->next) {
        HttpRequest *request = link->data;
        LogStream *stream = get_or_create_stream(log, request);

        if (has_new_records(log, request, stream)) {
            respond_to_read(log, request, stream, visible_next(log, stream));
        }
    }
}

static bool
has_hidden_records(const LogService *log)
{
    GHashTableIter iter;
    gpointer stream;

    g_hash_table_iter_init(&iter, log->streams);
    while (g_hash_table_iter_next(&iter, NULL, &stream)) {
        if (visible_next(log, stream) < LogStream_Next(stream)) {
            return true;
        }
    }
    return false;
}

/* Runs again until records hidden by the lag are visible to waiting reads. */
static void
on_wake(Timer *timer)
{
    LogService *log = TIMER_OWNER(timer, LogService, wake);

    complete_waiting_reads(log);
    if (g_hash_table_size(log->waiting) > 0 && has_hidden_records(log)) {
        Timer_Start(timer, log->loop->timers, WAKE_PERIOD_US, on_wake);
    }
}

static bool
consume_append_token(LogService *log)
{
    Micros now = Clock_Now(log->clock);
    double rate = (double)log->options.max_appends_per_s;

    if (rate <= 0) {
        return true;
    }
    log->append_tokens +=
        (double)(now - log->tokens_refilled_at) * rate / MICROS_PER_S;
    log->append_tokens = MIN(log->append_tokens, MAX(rate / 10, 1.0));
    log->tokens_refilled_at = now;
    if (log->append_tokens < 1.0) {
        return false;
    }
    log->append_tokens -= 1.0;
    return true;
}

static bool
loses_response(LogService *log)
{
    if (log->options.lose_next > 0) {
        log->options.lose_next--;
        return true;
    }
    return Random_Unit(log->random) < log->options.lose_share;
}

static void
serve_append(void *user, HttpRequest *request)
{
    LogService *log = user;
    LogStream *stream = get_or_create_stream(log, request);
    Str body = Control_Body(request);
    uint64_t offset;

    if (!consume_append_token(log)) {
        log->counters.refused++;
        HttpRequest_Respond(request, 503, "", STR(""));
        return;
    }
    offset = LogStream_Append(stream, body, Clock_Now(log->clock),
                              Clock_Wall(log->clock));
    log->counters.appends++;
    expire_records(log, stream);
    if (loses_response(log)) {
        log->counters.lost++;
        HttpRequest_Abort(request);
    }
    else {
        HttpRequest_RespondJson(
            request, 200, json_pack("{s:I}", "offset", (json_int_t)offset));
    }
    on_wake(&log->wake);
}

static json_t *
show_state(LogService *log)
{
    const Counters *c = &log->counters;
    json_t *streams = json_object();
    GHashTableIter iter;
    gpointer name;
    gpointer stream;

    g_hash_table_iter_init(&iter, log->streams);
    while (g_hash_table_iter_next(&iter, &name, &stream)) {
        json_object_set_new(streams, name,
                            json_pack("{s:I, s:I}", "first",
                                      (json_int_t)LogStream_First(stream),
                                      "next",
                                      (json_int_t)LogStream_Next(stream)));
    }
    return json_pack(
        "{s:I, s:I, s:I, s:I, s:I, s:I, s:o, s:o}", "appends", c->appends,
        "refused", c->refused, "lost", c->lost, "reads", c->reads,
        "read_bytes", c->read_bytes, "expired", c->expired, "streams", streams,
        "settings",
        Settings_Show(OPTIONS, G_N_ELEMENTS(OPTIONS), &log->options));
}

static bool fail_if_down(LogService *log, HttpRequest *request);

static void
serve_control(LogService *log, HttpRequest *request)
{
    Error error;
    json_t *object;

    if (strcmp(HttpRequest_Method(request), "POST") == 0) {
        object = Control_ParseBody(request);
        if (object == NULL) {
            return;
        }
        if (Settings_Apply(OPTIONS, G_N_ELEMENTS(OPTIONS), &log->options,
                           object, &error) < 0) {
            json_decref(object);
            Control_RespondError(request, &error);
            return;
        }
        json_decref(object);
    }
    HttpRequest_RespondJson(request, 200, show_state(log));
}

/* An outage also fails the waiting reads. */
static void
fail_waiting_reads(LogService *log)
{
    g_autoptr(GList) requests = g_hash_table_get_keys(log->waiting);

    for (GList *link = requests; link != NULL; link = link->next) {
        if (fail_if_down(log, link->data)) {
            g_hash_table_remove(log->waiting, link->data);
        }
    }
}

static void
ignore_timer(void *user, HttpRequest *request)
{
    (void)user;
    (void)request;
}

static bool
fail_if_down(LogService *log, HttpRequest *request)
{
    const char *down = log->options.down;

    if (strcmp(down, "no") == 0 || *down == '\0') {
        return false;
    }
    log->counters.refused++;
    if (strcmp(down, "503") == 0) {
        HttpRequest_Respond(request, 503, "", STR(""));
    }
    else if (strcmp(down, "close") == 0) {
        HttpRequest_Abort(request);
    }
    else {
        HttpRequest_StartTimer(request, WAIT_MAX_MS * MICROS_PER_MS,
                               ignore_timer);
    }
    return true;
}

static void
on_begin(void *user, HttpRequest *request)
{
    (void)user;
    (void)request;
}

static void
on_data(void *user, HttpRequest *request, Str piece)
{
    (void)user;
    if (Control_Body(request).length <= 4 * RECORD_MAX_BYTES) {
        Control_AppendBody(request, piece);
    }
}

static void
on_complete(void *user, HttpRequest *request)
{
    LogService *log = user;
    bool post = strcmp(HttpRequest_Method(request), "POST") == 0;

    if (Str_Equal(HttpRequest_Path(request), STR("/control"))) {
        serve_control(log, request);
        fail_waiting_reads(log);
        complete_waiting_reads(log);
        return;
    }
    if (fail_if_down(log, request)) {
        return;
    }
    if (get_or_create_stream(log, request) == NULL) {
        HttpRequest_Respond(request, 404, "", STR(""));
        return;
    }
    if (post && HttpRequest_Length(request) > RECORD_MAX_BYTES) {
        HttpRequest_Respond(request, 413, "", STR(""));
        return;
    }
    HttpRequest_StartTimer(request,
                           MICROS_PER_MS * (post ? log->options.delay_append_ms
                                                 : log->options.delay_read_ms),
                           post ? serve_append : serve_read);
}

static void
on_released(void *user, HttpRequest *request, bool response_sent)
{
    LogService *log = user;

    (void)response_sent;
    g_hash_table_remove(log->waiting, request);
    Control_FreeBody(request);
}

int
main(int argc, char **argv)
{
    static const HttpHandlers handlers = {on_begin, on_data, on_complete,
                                          on_released};
    LogService log = {.options = {.seed = 1,
                                  .max_read_bytes = 4 * 1024 * 1024,
                                  .down = "no"}};
    HttpServer *server;
    int code = Settings_Parse(OPTIONS, G_N_ELEMENTS(OPTIONS), &log.options,
                              argc, argv);

    if (code != 0) {
        Settings_Clear(OPTIONS, G_N_ELEMENTS(OPTIONS), &log.options);
        return code < 0 ? 2 : 0;
    }
    log.clock = Clock_CreateSystem();
    log.random = Random_Create((uint64_t)log.options.seed);
    log.streams =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_stream);
    log.waiting = g_hash_table_new(NULL, NULL);
    log.loop = HttpLoop_Create();
    server =
        HttpServer_Create(log.loop, (int)log.options.port, &handlers, &log);
    if (server == NULL) {
        fprintf(stderr, "can not listen on port %d\n", (int)log.options.port);
        return 1;
    }
    printf("port=%d\n", HttpServer_Port(server));
    fflush(stdout);
    HttpLoop_Run(log.loop, false);
    HttpLoop_Close(log.loop);
    HttpServer_Destroy(server);
    HttpLoop_Destroy(log.loop);
    g_hash_table_destroy(log.waiting);
    g_hash_table_destroy(log.streams);
    Random_Destroy(log.random);
    Clock_Destroy(log.clock);
    Settings_Clear(OPTIONS, G_N_ELEMENTS(OPTIONS), &log.options);
    return 0;
}
