#include "UpstreamJob.h"

#include <stdio.h>
#include <string.h>

#include "Pattern.h"

#define ID_MAX_BYTES 256
#define HEADERS_MAX_BYTES 1536
#define EXCESS_BODY_BYTES 16 /* by FAULT_LONG_BODY */

Micros
Upstream_Now(const Upstream *this)
{
    return Clock_Now(this->environment.clock);
}

static double
parse_number_header(HttpRequest *request, const char *name, double fallback)
{
    g_autofree char *value = HttpRequest_Header(request, name);

    return value != NULL ? g_ascii_strtod(value, NULL) : fallback;
}

static char *
request_id(Upstream *this, HttpRequest *request)
{
    g_autofree char *received_id = HttpRequest_Header(request, "x-request-id");

    if (received_id == NULL || *received_id == '\0') {
        return g_strdup_printf("%s:%" G_GUINT64_FORMAT, this->id,
                               this->next_id++);
    }
    return g_strndup(received_id, ID_MAX_BYTES);
}

Job *
Job_Create(Upstream *this, HttpRequest *request)
{
    Job *job = g_new0(Job, 1);
    Str path = HttpRequest_Path(request);
    double deadline_ms;

    job->upstream = this;
    job->request = request;
    job->id = request_id(this, request);
    job->seed = Pattern_Seed(Str_FromC(job->id));
    job->key = HttpRequest_Header(request, "idempotency-key");
    job->path = g_strndup(path.data, path.length);
    job->requested_ms = parse_number_header(request, "x-service-ms", -1);
    job->answer_bytes = (uint64_t)parse_number_header(
        request, "x-answer-bytes", (double)this->settings.answer_bytes);
    deadline_ms = parse_number_header(request, "agatecrank-deadline-ms", 0);
    if (deadline_ms > 0) {
        job->deadline =
            Upstream_Now(this) + (Micros)(deadline_ms * MICROS_PER_MS);
    }
    job->digest = BodyDigest_Create(this->settings.crash_marker);
    HttpRequest_SetData(request, job);
    return job;
}

void
Job_Destroy(Job *this)
{
    BodyDigest_Destroy(this->digest);
    g_free(this->id);
    g_free(this->key);
    g_free(this->path);
    g_free(this);
}

void
Upstream_FormatLoad(Upstream *this, bool draining, char *out, size_t size)
{
    const UpstreamSettings *s = &this->settings;
    LoadSample load = LoadHistory_At(
        this->history, Upstream_Now(this) - s->report_lag_ms * MICROS_PER_MS);

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
write_headers(Job *job, const char *extra_headers, char *out, size_t size)
{
    Upstream *this = job->upstream;
    char load[128] = "";
    char report[192] = "";

    if (this->settings.report) {
        Upstream_FormatLoad(this, this->settings.draining != 0, load,
                            sizeof(load));
        snprintf(report, sizeof(report), "agatecrank-load: %s\r\n", load);
    }
    snprintf(out, size,
             "x-upstream: %s\r\nx-request-id: %s\r\nx-body-sha256: %s\r\n"
             "%s%s",
             this->id, job->id, job->sha256, report, extra_headers);
}

void
Job_RespondEmpty(Job *job, int status, const char *extra_headers)
{
    char headers[HEADERS_MAX_BYTES];

    write_headers(job, extra_headers, headers, sizeof(headers));
    HttpRequest_Respond(job->request, status, headers, STR(""));
}

void
Job_RespondNotRun(Job *job, const char *reason)
{
    EventLog *line =
        Journal_Begin(job->upstream->environment.journal, "refuse");

    EventLog_CStr(line, "upstream", job->upstream->id);
    EventLog_CStr(line, "request_id", job->id);
    EventLog_CStr(line, "key", job->key);
    EventLog_CStr(line, "reason", reason);
    EventLog_End(line);
    job->state = JOB_FINISHED;
    Job_RespondEmpty(job, 503, "agatecrank-outcome: not-run\r\n");
}

static void
fill_response(void *user, uint64_t offset, char *out, size_t length)
{
    Pattern_Fill(((Job *)user)->seed, offset, out, length);
}

void
Job_RespondOk(Job *job)
{
    char headers[HEADERS_MAX_BYTES];
    uint64_t length = job->answer_bytes;
    uint64_t send = length;

    if (job->fault == FAULT_SHORT_BODY) {
        send = length / 2;
    }
    if (job->fault == FAULT_LONG_BODY) {
        send = length + EXCESS_BODY_BYTES;
    }
    write_headers(job, "content-type: application/octet-stream\r\n", headers,
                  sizeof(headers));
    HttpRequest_RespondStream(job->request, 200, headers, length, send,
                              fill_response, job);
}

void
Job_JournalStart(const Job *job)
{
    EventLog *line =
        Journal_Begin(job->upstream->environment.journal, "start");

    EventLog_CStr(line, "upstream", job->upstream->id);
    EventLog_CStr(line, "request_id", job->id);
    EventLog_CStr(line, "key", job->key);
    EventLog_CStr(line, "method", HttpRequest_Method(job->request));
    EventLog_CStr(line, "path", job->path);
    EventLog_CStr(line, "sha256", job->sha256);
    EventLog_Int(line, "bytes", (int64_t)HttpRequest_Length(job->request));
    EventLog_End(line);
}

void
Job_JournalEnd(const Job *job, const char *outcome, int status)
{
    EventLog *line = Journal_Begin(job->upstream->environment.journal, "end");

    EventLog_CStr(line, "upstream", job->upstream->id);
    EventLog_CStr(line, "request_id", job->id);
    EventLog_CStr(line, "key", job->key);
    EventLog_CStr(line, "outcome", outcome);
    EventLog_Int(line, "status", status);
    EventLog_End(line);
}
