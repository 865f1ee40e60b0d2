#include "Upstream.h"

#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "Control.h"
#include "UpstreamJob.h"

#define CRASH_EXIT_CODE 9

static void
record_load(Upstream *this)
{
    LoadSample sample = {Upstream_Now(this), this->running,
                         this->queue.length};

    LoadHistory_Add(this->history, sample);
}

static void
send_late_response(void *user, HttpRequest *request)
{
    (void)user;
    Job_RespondOk(HttpRequest_Data(request));
}

static void execute(Job *job);

static void
start_queued_jobs(Upstream *this)
{
    while (this->queue.length > 0 &&
           this->running < (uint32_t)this->settings.slots) {
        execute(g_queue_pop_head(&this->queue));
    }
    record_load(this);
}

static void
release_slot(Job *job)
{
    job->state = JOB_FINISHED;
    job->upstream->running--;
    start_queued_jobs(job->upstream);
}

static void
finish_job(void *user, HttpRequest *request)
{
    Upstream *this = user;
    Job *job = HttpRequest_Data(request);

    release_slot(job);
    if (job->past_deadline) {
        this->counters.expired++;
        Job_JournalEnd(job, "deadline", 504);
        Job_RespondEmpty(job, 504, "");
        return;
    }
    if (job->fault == FAULT_BARE_503) {
        this->counters.failed++;
        Job_JournalEnd(job, "error", 503);
        Job_RespondEmpty(job, 503, "");
        return;
    }
    this->counters.ok++;
    Job_JournalEnd(job, "ok", 200);
    if (job->fault == FAULT_LATE_RESPONSE) {
        HttpRequest_StartTimer(request, this->settings.late_ms * MICROS_PER_MS,
                               send_late_response);
        return;
    }
    Job_RespondOk(job);
}

static void crash(Upstream *this, Job *job);

static void
execute(Job *job)
{
    Upstream *this = job->upstream;
    Micros service_time;
    Micros time_left = job->deadline - Upstream_Now(this);

    if (job->deadline != 0 && time_left <= 0) {
        this->counters.expired++;
        Job_RespondNotRun(job, "deadline");
        return;
    }
    this->counters.executed++;
    Job_JournalStart(job);
    job->state = JOB_RUNNING;
    this->running++;
    if (BodyDigest_HasMarker(job->digest)) {
        crash(this, job);
        return;
    }
    job->fault = UpstreamFault_Draw(&this->settings, this->random,
                                    Upstream_Now(this) - this->started);
    if (job->fault == FAULT_ERROR_500) {
        release_slot(job);
        this->counters.failed++;
        Job_JournalEnd(job, "error", 500);
        Job_RespondEmpty(job, 500, "");
        return;
    }
    service_time = UpstreamFault_ServiceTime(
        &this->settings, this->random, job->requested_ms,
        Upstream_Now(this) - this->cold_since);
    job->past_deadline = job->deadline != 0 && time_left < service_time;
    service_time = job->past_deadline ? time_left : service_time;
    this->counters.busy_us += service_time;
    HttpRequest_StartTimer(job->request, service_time, finish_job);
}

static void
expire_queued_job(void *user, HttpRequest *request)
{
    Upstream *this = user;
    Job *job = HttpRequest_Data(request);

    g_queue_remove(&this->queue, job);
    record_load(this);
    this->counters.expired++;
    Job_RespondNotRun(job, "deadline");
}

static void
admit_job(Job *job)
{
    Upstream *this = job->upstream;

    if (this->running < (uint32_t)this->settings.slots) {
        execute(job);
        record_load(this);
        return;
    }
    if (this->queue.length >= (uint32_t)MAX(this->settings.queue, 0)) {
        this->counters.shed++;
        Job_RespondNotRun(job, "full");
        return;
    }
    job->state = JOB_QUEUED;
    g_queue_push_tail(&this->queue, job);
    record_load(this);
    if (job->deadline != 0) {
        HttpRequest_StartTimer(job->request,
                               job->deadline - Upstream_Now(this),
                               expire_queued_job);
    }
}

static void
resume_after_crash(Timer *timer)
{
    Upstream *this = TIMER_OWNER(timer, Upstream, crash_timer);

    this->cold_since = Upstream_Now(this);
    if (HttpServer_Resume(this->server) < 0) {
        fprintf(stderr, "%s: can not listen again\n", this->id);
    }
}

static void
pause_after_crash(Timer *timer)
{
    Upstream *this = TIMER_OWNER(timer, Upstream, crash_timer);

    HttpServer_Pause(this->server);
    if (this->settings.crash_down_ms > 0) {
        Timer_Start(&this->crash_timer, this->environment.loop->timers,
                    this->settings.crash_down_ms * MICROS_PER_MS,
                    resume_after_crash);
    }
}

/* Simulates the death of a process: running and queued jobs get no response. */
static void
abort_all_jobs(Upstream *this)
{
    GHashTableIter iter;
    gpointer pointer;

    g_hash_table_iter_init(&iter, this->jobs);
    while (g_hash_table_iter_next(&iter, &pointer, NULL)) {
        Job *job = pointer;

        if (job->state == JOB_RUNNING) {
            Job_JournalEnd(job, "crashed", 0);
        }
        job->state = JOB_FINISHED;
        HttpRequest_Abort(job->request);
    }
    g_queue_clear(&this->queue);
    this->running = 0;
    record_load(this);
}

static void
crash(Upstream *this, Job *job)
{
    this->counters.crashes++;
    if (job != NULL && strcmp(this->settings.crash_mode, "close") == 0) {
        Job_JournalEnd(job, "crashed", 0);
        HttpRequest_Abort(job->request);
        release_slot(job);
        return;
    }
    abort_all_jobs(this);
    if (strcmp(this->settings.crash_mode, "exit") == 0) {
        _exit(CRASH_EXIT_CODE);
    }
    Timer_Start(&this->crash_timer, this->environment.loop->timers, 0,
                pause_after_crash);
}

static bool
is_job(HttpRequest *request)
{
    Str path = HttpRequest_Path(request);

    return !Str_Equal(path, STR("/control")) &&
           !Str_Equal(path, STR("/health")) && !Str_Equal(path, STR("/load"));
}

static void
on_begin(void *user, HttpRequest *request)
{
    Upstream *this = user;

    if (!is_job(request)) {
        return;
    }
    g_hash_table_add(this->jobs, Job_Create(this, request));
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
    Control_AppendBody(request, piece);
}

static void
respond_to_probe(void *user, HttpRequest *request)
{
    Upstream *this = user;
    const UpstreamSettings *s = &this->settings;
    bool draining = s->draining && !s->drain_hidden;
    bool healthy = !draining;
    char load[128];

    Upstream_FormatLoad(this, draining, load, sizeof(load));
    if (Str_Equal(HttpRequest_Path(request), STR("/load"))) {
        HttpRequest_Respond(request, 200, "content-type: text/plain\r\n",
                            Str_FromC(load));
        return;
    }
    if (strcmp(s->health, "true") != 0) {
        healthy = strcmp(s->health, "up") == 0;
    }
    HttpRequest_Respond(request, healthy ? 200 : 503, "", STR(""));
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
        HttpRequest_StartTimer(
            request, (Micros)(this->settings.probe_ms * MICROS_PER_MS),
            respond_to_probe);
        return;
    }
    job = HttpRequest_Data(request);
    BodyDigest_Finish(job->digest, job->sha256);
    admit_job(job);
}

static void
cancel_job(Job *job)
{
    Upstream *this = job->upstream;

    if (job->state == JOB_RUNNING) {
        this->counters.cancelled++;
        Job_JournalEnd(job, "cancelled", 0);
        release_slot(job);
    }
    else if (job->state == JOB_QUEUED) {
        this->counters.dropped++;
        g_queue_remove(&this->queue, job);
        record_load(this);
    }
}

static void
on_released(void *user, HttpRequest *request, bool response_sent)
{
    Upstream *this = user;
    Job *job = HttpRequest_Data(request);

    (void)response_sent;
    if (!is_job(request)) {
        Control_FreeBody(request);
        return;
    }
    if (job == NULL) {
        return;
    }
    cancel_job(job);
    g_hash_table_remove(this->jobs, job);
    Job_Destroy(job);
}

Upstream *
Upstream_Create(const UpstreamEnvironment *environment, const char *id,
                int port, uint64_t seed, const UpstreamSettings *settings)
{
    static const HttpHandlers handlers = {on_begin, on_data, on_complete,
                                          on_released};
    Upstream *this = g_new0(Upstream, 1);

    this->environment = *environment;
    this->settings = UpstreamSettings_Copy(settings);
    this->id = g_strdup(id);
    this->random = Random_Create(seed);
    this->history = LoadHistory_Create();
    this->jobs = g_hash_table_new(NULL, NULL);
    g_queue_init(&this->queue);
    this->started = Upstream_Now(this);
    this->cold_since = this->started;
    record_load(this);
    this->server = HttpServer_Create(environment->loop, port, &handlers, this);
    if (this->server == NULL) {
        Upstream_Destroy(this);
        return NULL;
    }
    HttpServer_SetIdleTimeout(this->server,
                              this->settings.idle_ms * MICROS_PER_MS);
    return this;
}

void
Upstream_Destroy(Upstream *this)
{
    if (this == NULL) {
        return;
    }
    Timer_Stop(&this->crash_timer);
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
Upstream_ApplyControl(Upstream *this, const json_t *object, Error *error)
{
    const char *silence =
        json_string_value(json_object_get(object, "silence"));
    int code = Settings_Apply(UPSTREAM_SETTINGS, UPSTREAM_SETTINGS_COUNT,
                              &this->settings, object, error);

    if (code < 0) {
        return code;
    }
    HttpServer_SetIdleTimeout(this->server,
                              this->settings.idle_ms * MICROS_PER_MS);
    if (json_object_get(object, "cold_ms") != NULL) {
        this->cold_since = Upstream_Now(this);
    }
    if (silence != NULL && strcmp(silence, "open") == 0) {
        HttpServer_StallOpenConnections(this->server);
    }
    if (json_is_true(json_object_get(object, "crash"))) {
        crash(this, NULL);
    }
    start_queued_jobs(this);
    return 0;
}

json_t *
Upstream_ToJson(Upstream *this)
{
    const UpstreamCounters *c = &this->counters;

    return json_pack(
        "{s:s, s:i, s:i, s:i, s:i, s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:I, "
        "s:I, s:I, s:I, s:I, s:I, s:i, s:o}",
        "id", this->id, "port", Upstream_Port(this), "inflight",
        (int)this->running, "queued", (int)this->queue.length, "connections",
        (int)HttpServer_OpenConnections(this->server), "requests", c->requests,
        "executed", c->executed, "ok", c->ok, "failed", c->failed, "shed",
        c->shed, "expired", c->expired, "cancelled", c->cancelled, "dropped",
        c->dropped, "crashes", c->crashes, "probes", c->probes, "busy_us",
        c->busy_us, "opened",
        (json_int_t)HttpServer_AcceptedConnections(this->server), "malformed",
        (json_int_t)HttpServer_MalformedRequests(this->server),
        "peak_connections", (int)HttpServer_PeakConnections(this->server),
        "settings",
        Settings_Show(UPSTREAM_SETTINGS, UPSTREAM_SETTINGS_COUNT,
                      &this->settings));
}
