#include "Upstream.h"

#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "BodyDigest.h"
#include "Control.h"
#include "LoadHistory.h"
#include "Pattern.h"
#include "UpstreamFault.h"

#define ID_BYTES_MAX 256
#define HEADER_BYTES_MAX 1536
#define EXTRA_BYTES 16
#define CRASH_EXIT_CODE 9

typedef enum JobState_ {
    JOB_RECEIVING,
    JOB_QUEUED,
    JOB_RUNNING,
    JOB_FINISHED, /* the slot is free; an answer may be on its way */
} JobState;

typedef struct Job_ {
    Upstream *upstream;
    HttpRequest *request;
    JobState state;
    UpstreamFault fault;
    BodyDigest *digest;
    char sha256[BODY_DIGEST_HEX];
    char *id;
    char *key;
    char *path;
    uint64_t seed;
    double wanted_ms;
    uint64_t answer_bytes;
    Micros deadline; /* 0 for none */
    bool past_deadline;
} Job;

typedef struct UpstreamCounters_ {
    int64_t requests;
    int64_t executed;
    int64_t ok;
    int64_t failed;
    int64_t shed;
    int64_t expired;
    int64_t cancelled;
    int64_t dropped;
    int64_t crashes;
    int64_t probes;
    int64_t busy_us;
} UpstreamCounters;

struct Upstream_ {
    UpstreamEnvironment environment;
    UpstreamSettings settings;
    UpstreamCounters counters;
    HttpServer *server;
    char *id;
    Random *random;
    LoadHistory *history;
    GHashTable *jobs; /* Job -> itself */
    GQueue queue;     /* Job, oldest first */
    uint32_t running;
    uint64_t next_id;
    Micros started;
    Micros cold_since;
    Timer timer; /* pauses or resumes after a crash */
};

static Micros
now(const Upstream *this)
{
    return Clock_Now(this->environment.clock);
}

static void
note_load(Upstream *this)
{
    LoadSample sample = {now(this), this->running, this->queue.length};

    LoadHistory_Add(this->history, sample);
}

static void
write_load(Upstream *this, bool draining, char *out, size_t size)
{
    const UpstreamSettings *s = &this->settings;
    LoadSample load = LoadHistory_At(
        this->history, now(this) - s->report_lag_ms * MICROS_PER_MS);

    if (strcmp(s->report_lie, "zero") == 0) {
        load.inflight = 0;
        load.queue = 0;
    }
    else if (strcmp(s->report_lie, "full") == 0) {
        load.inflight = (uint32_t)s->slots;
        load.queue = (uint32_t)s->queue;
    }
    snprintf(out, size, "inflight=%u slots=%d queue=%u draining=%d",
             load.inflight, (int)s->slots, load.queue, draining);
}

static void
write_headers(Job *job, const char *more, char *out, size_t size)
{
    Upstream *this = job->upstream;
    char load[128] = "";
    char report[192] = "";

    if (this->settings.report) {
        write_load(this, this->settings.draining != 0, load, sizeof(load));
        snprintf(report, sizeof(report), "agatecrank-load: %s\r\n", load);
    }
    snprintf(out, size,
             "x-upstream: %s\r\nx-request-id: %s\r\nx-body-sha256: %s\r\n"
             "%s%s",
             this->id, job->id, job->sha256, report, more);
}

static void
answer_empty(Job *job, int status, const char *more)
{
    char headers[HEADER_BYTES_MAX];

    write_headers(job, more, headers, sizeof(headers));
    HttpRequest_Answer(job->request, status, headers, STR(""));
}

static void
answer_not_run(Job *job, const char *why)
{
    EventLog *line =
        Journal_Begin(job->upstream->environment.journal, "refuse");

    EventLog_C(line, "upstream", job->upstream->id);
    EventLog_C(line, "request_id", job->id);
    EventLog_C(line, "key", job->key);
    EventLog_C(line, "reason", why);
    EventLog_End(line);
    job->state = JOB_FINISHED;
    answer_empty(job, 503, "agatecrank-outcome: not-run\r\n");
}

static void
fill_answer(void *user, uint64_t offset, char *out, size_t length)
{
    Pattern_Fill(((Job *)user)->seed, offset, out, length);
}

static void
answer_ok(Job *job)
{
    char headers[HEADER_BYTES_MAX];
    uint64_t length = job->answer_bytes;
    uint64_t send = length;

    if (job->fault == FAULT_SHORT) {
        send = length / 2;
    }
    if (job->fault == FAULT_LONG) {
        send = length + EXTRA_BYTES;
    }
    write_headers(job, "content-type: application/octet-stream\r\n", headers,
                  sizeof(headers));
    HttpRequest_AnswerStream(job->request, 200, headers, length, send,
                             fill_answer, job);
}

static void
answer_late(void *user, HttpRequest *request)
{
    (void)user;
    answer_ok(HttpRequest_Data(request));
}

static void
journal_start(const Job *job)
{
    EventLog *line =
        Journal_Begin(job->upstream->environment.journal, "start");

    EventLog_C(line, "upstream", job->upstream->id);
    EventLog_C(line, "request_id", job->id);
    EventLog_C(line, "key", job->key);
    EventLog_C(line, "method", HttpRequest_Method(job->request));
    EventLog_C(line, "path", job->path);
    EventLog_C(line, "sha256", job->sha256);
    EventLog_Int(line, "bytes", (int64_t)HttpRequest_Length(job->request));
    EventLog_End(line);
}

static void
journal_end(const Job *job, const char *outcome, int status)
{
    EventLog *line = Journal_Begin(job->upstream->environment.journal, "end");

    EventLog_C(line, "upstream", job->upstream->id);
    EventLog_C(line, "request_id", job->id);
    EventLog_C(line, "key", job->key);
    EventLog_C(line, "outcome", outcome);
    EventLog_Int(line, "status", status);
    EventLog_End(line);
}

static void run(Job *job);

static void
run_next(Upstream *this)
{
    while (this->queue.length > 0 &&
           this->running < (uint32_t)this->settings.slots) {
        run(g_queue_pop_head(&this->queue));
    }
    note_load(this);
}

static void
release_slot(Job *job)
{
    job->state = JOB_FINISHED;
    job->upstream->running--;
    run_next(job->upstream);
}

static void
finish(void *user, HttpRequest *request)
{
    Upstream *this = user;
    Job *job = HttpRequest_Data(request);

    release_slot(job);
    if (job->past_deadline) {
        this->counters.expired++;
        journal_end(job, "deadline", 504);
        answer_empty(job, 504, "");
        return;
    }
    if (job->fault == FAULT_BARE_503) {
        this->counters.failed++;
        journal_end(job, "error", 503);
        answer_empty(job, 503, "");
        return;
    }
    this->counters.ok++;
    journal_end(job, "ok", 200);
    if (job->fault == FAULT_LATE) {
        HttpRequest_After(request, this->settings.late_ms * MICROS_PER_MS,
                          answer_late);
        return;
    }
    answer_ok(job);
}

static void crash(Upstream *this, Job *job);

static void
run(Job *job)
{
    Upstream *this = job->upstream;
    Micros service;
    Micros left = job->deadline - now(this);

    if (job->deadline != 0 && left <= 0) {
        this->counters.expired++;
        answer_not_run(job, "deadline");
        return;
    }
    this->counters.executed++;
    journal_start(job);
    job->state = JOB_RUNNING;
    this->running++;
    if (BodyDigest_HasMarker(job->digest)) {
        crash(this, job);
        return;
    }
    job->fault = UpstreamFault_Draw(&this->settings, this->random,
                                    now(this) - this->started);
    if (job->fault == FAULT_FAIL) {
        release_slot(job);
        this->counters.failed++;
        journal_end(job, "error", 500);
        answer_empty(job, 500, "");
        return;
    }
    service = UpstreamFault_ServiceTime(&this->settings, this->random,
                                        job->wanted_ms,
                                        now(this) - this->cold_since);
    job->past_deadline = job->deadline != 0 && left < service;
    service = job->past_deadline ? left : service;
    this->counters.busy_us += service;
    HttpRequest_After(job->request, service, finish);
}

static void
expire_queued(void *user, HttpRequest *request)
{
    Upstream *this = user;
    Job *job = HttpRequest_Data(request);

    g_queue_remove(&this->queue, job);
    note_load(this);
    this->counters.expired++;
    answer_not_run(job, "deadline");
}

static void
accept_job(Job *job)
{
    Upstream *this = job->upstream;

    if (this->running < (uint32_t)this->settings.slots) {
        run(job);
        note_load(this);
        return;
    }
    if (this->queue.length >= (uint32_t)MAX(this->settings.queue, 0)) {
        this->counters.shed++;
        answer_not_run(job, "full");
        return;
    }
    job->state = JOB_QUEUED;
    g_queue_push_tail(&this->queue, job);
    note_load(this);
    if (job->deadline != 0) {
        HttpRequest_After(job->request, job->deadline - now(this),
                          expire_queued);
    }
}

static void
resume_after_crash(Timer *timer)
{
    Upstream *this = TIMER_OWNER(timer, Upstream, timer);

    this->cold_since = now(this);
    if (HttpServer_Resume(this->server) < 0) {
        fprintf(stderr, "%s: can not listen again\n", this->id);
    }
}

static void
pause_after_crash(Timer *timer)
{
    Upstream *this = TIMER_OWNER(timer, Upstream, timer);

    HttpServer_Pause(this->server);
    if (this->settings.crash_down_ms > 0) {
        Timer_Start(&this->timer, this->environment.loop->timers,
                    this->settings.crash_down_ms * MICROS_PER_MS,
                    resume_after_crash);
    }
}

/* A process that dies takes all its work with it, also what is queued. */
static void
end_all_jobs(Upstream *this)
{
    GHashTableIter iter;
    gpointer pointer;

    g_hash_table_iter_init(&iter, this->jobs);
    while (g_hash_table_iter_next(&iter, &pointer, NULL)) {
        Job *job = pointer;

        if (job->state == JOB_RUNNING) {
            journal_end(job, "crashed", 0);
        }
        job->state = JOB_FINISHED;
        HttpRequest_Abort(job->request);
    }
    g_queue_clear(&this->queue);
    this->running = 0;
    note_load(this);
}

static void
crash(Upstream *this, Job *job)
{
    this->counters.crashes++;
    if (job != NULL && strcmp(this->settings.crash_mode, "close") == 0) {
        journal_end(job, "crashed", 0);
        HttpRequest_Abort(job->request);
        release_slot(job);
        return;
    }
    end_all_jobs(this);
    if (strcmp(this->settings.crash_mode, "exit") == 0) {
        _exit(CRASH_EXIT_CODE);
    }
    Timer_Start(&this->timer, this->environment.loop->timers, 0,
                pause_after_crash);
}

static double
number_header(HttpRequest *request, const char *name, double otherwise)
{
    g_autofree char *value = HttpRequest_Header(request, name);

    return value != NULL ? g_ascii_strtod(value, NULL) : otherwise;
}

static bool
is_job(HttpRequest *request)
{
    Str path = HttpRequest_Path(request);

    return !Str_Equal(path, STR("/control")) &&
           !Str_Equal(path, STR("/health")) && !Str_Equal(path, STR("/load"));
}

static char *
request_id(Upstream *this, HttpRequest *request)
{
    g_autofree char *given = HttpRequest_Header(request, "x-request-id");

    if (given == NULL || *given == '\0') {
        return g_strdup_printf("%s:%" G_GUINT64_FORMAT, this->id,
                               this->next_id++);
    }
    return g_strndup(given, ID_BYTES_MAX);
}

static void
on_begin(void *user, HttpRequest *request)
{
    Upstream *this = user;
    double deadline_ms;
    Str path = HttpRequest_Path(request);
    Job *job;

    if (!is_job(request)) {
        return;
    }
    job = g_new0(Job, 1);
    job->upstream = this;
    job->request = request;
    job->id = request_id(this, request);
    job->seed = Pattern_Seed(Str_FromC(job->id));
    job->key = HttpRequest_Header(request, "idempotency-key");
    job->path = g_strndup(path.data, path.length);
    job->wanted_ms = number_header(request, "x-service-ms", -1);
    job->answer_bytes = (uint64_t)number_header(
        request, "x-answer-bytes", (double)this->settings.answer_bytes);
    deadline_ms = number_header(request, "agatecrank-deadline-ms", 0);
    if (deadline_ms > 0) {
        job->deadline = now(this) + (Micros)(deadline_ms * MICROS_PER_MS);
    }
    job->digest = BodyDigest_Create(this->settings.crash_marker);
    HttpRequest_SetData(request, job);
    g_hash_table_add(this->jobs, job);
    this->counters.requests++;
}

static void
on_data(void *user, HttpRequest *request, Str piece)
{
    (void)user;
    if (is_job(request)) {
        BodyDigest_Add(((Job *)HttpRequest_Data(request))->digest, piece);
        return;
    }
    Control_Keep(request, piece);
}

static void
answer_probe(void *user, HttpRequest *request)
{
    Upstream *this = user;
    const UpstreamSettings *s = &this->settings;
    bool draining = s->draining && !s->drain_hidden;
    bool up = !draining;
    char load[128];

    write_load(this, draining, load, sizeof(load));
    if (Str_Equal(HttpRequest_Path(request), STR("/load"))) {
        HttpRequest_Answer(request, 200, "content-type: text/plain\r\n",
                           Str_FromC(load));
        return;
    }
    if (strcmp(s->health, "true") != 0) {
        up = strcmp(s->health, "up") == 0;
    }
    HttpRequest_Answer(request, up ? 200 : 503, "", STR(""));
}

static void
on_complete(void *user, HttpRequest *request)
{
    Upstream *this = user;
    Job *job;

    if (Str_Equal(HttpRequest_Path(request), STR("/control"))) {
        this->environment.control(this, request);
        return;
    }
    if (this->settings.silent) {
        return;
    }
    if (!is_job(request)) {
        this->counters.probes++;
        HttpRequest_After(request,
                          (Micros)(this->settings.probe_ms * MICROS_PER_MS),
                          answer_probe);
        return;
    }
    job = HttpRequest_Data(request);
    BodyDigest_Finish(job->digest, job->sha256);
    accept_job(job);
}

static void
cancel(Job *job)
{
    Upstream *this = job->upstream;

    if (job->state == JOB_RUNNING) {
        this->counters.cancelled++;
        journal_end(job, "cancelled", 0);
        release_slot(job);
    }
    else if (job->state == JOB_QUEUED) {
        this->counters.dropped++;
        g_queue_remove(&this->queue, job);
        note_load(this);
    }
}

static void
on_gone(void *user, HttpRequest *request, bool answered)
{
    Upstream *this = user;
    Job *job = HttpRequest_Data(request);

    (void)answered;
    if (!is_job(request)) {
        Control_Drop(request);
        return;
    }
    if (job == NULL) {
        return;
    }
    cancel(job);
    g_hash_table_remove(this->jobs, job);
    BodyDigest_Destroy(job->digest);
    g_free(job->id);
    g_free(job->key);
    g_free(job->path);
    g_free(job);
}

Upstream *
Upstream_Create(const UpstreamEnvironment *environment, const char *id,
                int port, uint64_t seed, const UpstreamSettings *settings)
{
    static const HttpHandlers handlers = {on_begin, on_data, on_complete,
                                          on_gone};
    Upstream *this = g_new0(Upstream, 1);

    this->environment = *environment;
    this->settings = UpstreamSettings_Copy(settings);
    this->id = g_strdup(id);
    this->random = Random_Create(seed);
    this->history = LoadHistory_Create();
    this->jobs = g_hash_table_new(NULL, NULL);
    g_queue_init(&this->queue);
    this->started = now(this);
    this->cold_since = this->started;
    note_load(this);
    this->server = HttpServer_Create(environment->loop, port, &handlers, this);
    if (this->server == NULL) {
        Upstream_Destroy(this);
        return NULL;
    }
    return this;
}

void
Upstream_Destroy(Upstream *this)
{
    if (this == NULL) {
        return;
    }
    Timer_Stop(&this->timer);
    HttpServer_Destroy(this->server);
    g_hash_table_destroy(this->jobs);
    LoadHistory_Destroy(this->history);
    Random_Destroy(this->random);
    Settings_Clear(UPSTREAM_SETTINGS, UPSTREAM_SETTINGS_COUNT,
                   &this->settings);
    g_free(this->id);
    g_free(this);
}

int
Upstream_Port(const Upstream *this)
{
    return HttpServer_Port(this->server);
}

const char *
Upstream_Id(const Upstream *this)
{
    return this->id;
}

int
Upstream_Change(Upstream *this, const json_t *object, Error *error)
{
    const char *silence =
        json_string_value(json_object_get(object, "silence"));
    int code = Settings_Apply(UPSTREAM_SETTINGS, UPSTREAM_SETTINGS_COUNT,
                              &this->settings, object, error);

    if (code < 0) {
        return code;
    }
    if (json_object_get(object, "cold_ms") != NULL) {
        this->cold_since = now(this);
    }
    if (silence != NULL && strcmp(silence, "open") == 0) {
        HttpServer_SilenceOpen(this->server);
    }
    if (json_is_true(json_object_get(object, "crash"))) {
        crash(this, NULL);
    }
    run_next(this);
    return 0;
}

json_t *
Upstream_Show(Upstream *this)
{
    const UpstreamCounters *c = &this->counters;

    return json_pack(
        "{s:s, s:i, s:i, s:i, s:i, s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:I, "
        "s:I, s:I, s:I, s:I, s:I, s:o}",
        "id", this->id, "port", Upstream_Port(this), "inflight",
        (int)this->running, "queued", (int)this->queue.length, "connections",
        (int)HttpServer_Connections(this->server), "requests", c->requests,
        "executed", c->executed, "ok", c->ok, "failed", c->failed, "shed",
        c->shed, "expired", c->expired, "cancelled", c->cancelled, "dropped",
        c->dropped, "crashes", c->crashes, "probes", c->probes, "busy_us",
        c->busy_us, "opened", (json_int_t)HttpServer_Opened(this->server),
        "malformed", (json_int_t)HttpServer_Malformed(this->server),
        "settings",
        Settings_Show(UPSTREAM_SETTINGS, UPSTREAM_SETTINGS_COUNT,
                      &this->settings));
}
