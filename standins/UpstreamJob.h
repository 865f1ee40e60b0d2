#ifndef AGATECRANK_STANDINS_UPSTREAMJOB_H
#define AGATECRANK_STANDINS_UPSTREAMJOB_H

#include "BodyDigest.h"
#include "LoadHistory.h"
#include "Upstream.h"
#include "UpstreamFault.h"

/* Shared by Upstream.c and UpstreamJob.c only. */

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

/** Upstream_Now() - monotonic time */
Micros Upstream_Now(const Upstream *this);

/** Upstream_FormatLoad() - the report, as old or untrue as the settings say */
void Upstream_FormatLoad(Upstream *this, bool draining, char *out,
                         size_t size);

/** Job_Create() - reads the request's headers; becomes its data */
Job *Job_Create(Upstream *upstream, HttpRequest *request);

/** Job_Destroy() - release the job */
void Job_Destroy(Job *this);

/** Job_JournalStart(), Job_JournalEnd() - lines about an execution */
void Job_JournalStart(const Job *this);
void Job_JournalEnd(const Job *this, const char *outcome, int status);

/** Job_AnswerEmpty() - @status without a body; @more are header lines */
void Job_AnswerEmpty(Job *this, int status, const char *more);

/** Job_AnswerNotRun() - 503 with the proof that it did not run */
void Job_AnswerNotRun(Job *this, const char *why);

/** Job_AnswerOk() - 200 with the body that belongs to the request id */
void Job_AnswerOk(Job *this);

#endif
