#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "Control.h"
#include "LogStream.h"
#include "Random.h"

#define RECORD_BYTES_MAX (256 * 1024)
#define WAIT_MS_MAX 60000
#define WAKE_PERIOD (2 * MICROS_PER_MS)
#define READ_RECORDS_DEFAULT 1000

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

static const Setting table[] = {
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
    GHashTable *waiting; /* HttpRequest -> itself: reads that wait */
    double tokens;
    Micros refilled;
} LogService;

static void
free_stream(void *pointer)
{
    LogStream_Destroy(pointer);
}

static LogStream *
get_stream(LogService *log, const HttpRequest *request)
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
expire(LogService *log, LogStream *stream)
{
    Micros age = log->options.retain_ms * MICROS_PER_MS;
    Micros before = age > 0 ? Clock_Now(log->clock) - age : INT64_MIN;

    log->counters.expired += (int64_t)LogStream_Expire(
        stream, (uint64_t)log->options.retain_count, before);
}

/* Reads are served as by a replica that is lag_ms behind. */
static uint64_t
visible_next(const LogService *log, const LogStream *stream)
{
    return LogStream_VisibleNext(
        stream, Clock_Now(log->clock) - log->options.lag_ms * MICROS_PER_MS);
}

static void
answer_read(LogService *log, HttpRequest *request, LogStream *stream,
            uint64_t next)
{
    uint64_t from = HttpRequest_QueryNumber(request, "from", 0);
    uint64_t max =
        HttpRequest_QueryNumber(request, "max", READ_RECORDS_DEFAULT);
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
end_wait(void *user, HttpRequest *request)
{
    LogService *log = user;
    LogStream *stream = get_stream(log, request);

    expire(log, stream);
    answer_read(log, request, stream, visible_next(log, stream));
}

static bool
has_news(LogService *log, HttpRequest *request, LogStream *stream)
{
    uint64_t from = HttpRequest_QueryNumber(request, "from", 0);

    return MAX(from, LogStream_First(stream)) < visible_next(log, stream);
}

static void
serve_read(void *user, HttpRequest *request)
{
    LogService *log = user;
    LogStream *stream = get_stream(log, request);
    uint64_t wait_ms = HttpRequest_QueryNumber(request, "wait_ms", 0);

    expire(log, stream);
    if (wait_ms == 0 || has_news(log, request, stream)) {
        answer_read(log, request, stream, visible_next(log, stream));
        return;
    }
    g_hash_table_add(log->waiting, request);
    HttpRequest_StartTimer(
        request, (Micros)MIN(wait_ms, WAIT_MS_MAX) * MICROS_PER_MS, end_wait);
}

static void
wake_readers(LogService *log)
{
    g_autoptr(GList) requests = g_hash_table_get_keys(log->waiting);

    for (GList *link = requests; link != NULL; link = link->next) {
        HttpRequest *request = link->data;
        LogStream *stream = get_stream(log, request);

        if (has_news(log, request, stream)) {
            answer_read(log, request, stream, visible_next(log, stream));
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

/* With a lag, a waiting read is woken when the record becomes visible. */
static void
on_wake(Timer *timer)
{
    LogService *log = TIMER_OWNER(timer, LogService, wake);

    wake_readers(log);
    if (g_hash_table_size(log->waiting) > 0 && has_hidden_records(log)) {
        Timer_Start(timer, log->loop->timers, WAKE_PERIOD, on_wake);
    }
}

static bool
take_append_token(LogService *log)
{
    Micros now = Clock_Now(log->clock);
    double rate = (double)log->options.max_appends_per_s;

    if (rate <= 0) {
        return true;
    }
    log->tokens += (double)(now - log->refilled) * rate / MICROS_PER_S;
    log->tokens = MIN(log->tokens, MAX(rate / 10, 1.0));
    log->refilled = now;
    if (log->tokens < 1.0) {
        return false;
    }
    log->tokens -= 1.0;
    return true;
}

static bool
loses_answer(LogService *log)
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
    LogStream *stream = get_stream(log, request);
    Str body = Control_Body(request);
    uint64_t offset;

    if (!take_append_token(log)) {
        log->counters.refused++;
        HttpRequest_Respond(request, 503, "", STR(""));
        return;
    }
    offset = LogStream_Append(stream, body, Clock_Now(log->clock),
                              Clock_Wall(log->clock));
    log->counters.appends++;
    expire(log, stream);
    if (loses_answer(log)) {
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
show(LogService *log)
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
    return json_pack("{s:I, s:I, s:I, s:I, s:I, s:I, s:o, s:o}", "appends",
                     c->appends, "refused", c->refused, "lost", c->lost,
                     "reads", c->reads, "read_bytes", c->read_bytes, "expired",
                     c->expired, "streams", streams, "settings",
                     Settings_Show(table, G_N_ELEMENTS(table), &log->options));
}

static bool is_down(LogService *log, HttpRequest *request);

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
        if (Settings_Apply(table, G_N_ELEMENTS(table), &log->options, object,
                           &error) < 0) {
            json_decref(object);
            Control_RespondError(request, &error);
            return;
        }
        json_decref(object);
    }
    HttpRequest_RespondJson(request, 200, show(log));
}

/* An outage also ends the reads that wait. */
static void
fail_readers(LogService *log)
{
    g_autoptr(GList) requests = g_hash_table_get_keys(log->waiting);

    for (GList *link = requests; link != NULL; link = link->next) {
        if (is_down(log, link->data)) {
            g_hash_table_remove(log->waiting, link->data);
        }
    }
}

static void
never(void *user, HttpRequest *request)
{
    (void)user;
    (void)request;
}

static bool
is_down(LogService *log, HttpRequest *request)
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
        HttpRequest_StartTimer(request, WAIT_MS_MAX * MICROS_PER_MS, never);
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
    if (Control_Body(request).length <= 4 * RECORD_BYTES_MAX) {
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
        fail_readers(log);
        wake_readers(log);
        return;
    }
    if (is_down(log, request)) {
        return;
    }
    if (get_stream(log, request) == NULL) {
        HttpRequest_Respond(request, 404, "", STR(""));
        return;
    }
    if (post && HttpRequest_Length(request) > RECORD_BYTES_MAX) {
        HttpRequest_Respond(request, 413, "", STR(""));
        return;
    }
    HttpRequest_StartTimer(request,
                           MICROS_PER_MS * (post ? log->options.delay_append_ms
                                                 : log->options.delay_read_ms),
                           post ? serve_append : serve_read);
}

static void
on_gone(void *user, HttpRequest *request, bool answered)
{
    LogService *log = user;

    (void)answered;
    g_hash_table_remove(log->waiting, request);
    Control_FreeBody(request);
}

int
main(int argc, char **argv)
{
    static const HttpHandlers handlers = {on_begin, on_data, on_complete,
                                          on_gone};
    LogService log = {.options = {.seed = 1,
                                  .max_read_bytes = 4 * 1024 * 1024,
                                  .down = "no"}};
    HttpServer *server;
    int code =
        Settings_Parse(table, G_N_ELEMENTS(table), &log.options, argc, argv);

    if (code != 0) {
        Settings_Clear(table, G_N_ELEMENTS(table), &log.options);
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
    Settings_Clear(table, G_N_ELEMENTS(table), &log.options);
    return 0;
}
