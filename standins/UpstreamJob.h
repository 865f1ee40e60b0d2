#ifndef AGATECRANK_STANDINS_UPSTREAMJOB_H
#define AGATECRANK_STANDINS_UPSTREAMJOB_H

#include "BodyDigest.h"
#include "LoadHistory.h"
#include "Upstream.h"
#include "UpstreamFault.h"

/* Private to Upstream.c and UpstreamJob.c. */

typedef enum JobState_ {
    JOB_RECEIVING,
    JOB_QUEUED,
    JOB_RUNNING,
    JOB_FINISHED, /* its slot is free; the response may not be sent yet */
} JobState;

typedef struct Job_ {
    Upstream *upstream;
    HttpRequest *request;
    JobState state;
    UpstreamFault fault;
    BodyDigest *digest;
    char sha256[BODY_DIGEST_HEX_BYTES];
    char *id;
    char *key;
    char *path;
    uint64_t seed;
    double requested_ms;
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
    GHashTable *jobs; /* set of Job */
    GQueue queue;     /* Job, oldest first */
    uint32_t running;
    uint64_t next_id;
    Micros started;
    Micros cold_since;
    Timer crash_timer; /* closes or reopens the port after a crash */
};

/** Upstream_Now() - current monotonic time */
Micros Upstream_Now(const Upstream *this);

/** Upstream_FormatLoad() - write the load report, delayed or false as set */
void Upstream_FormatLoad(Upstream *this, bool draining, char *out,
                         size_t size);

/** Job_Create() - create a job from the request's headers, and attach it to the
 *                 request */
Job *Job_Create(Upstream *upstream, HttpRequest *request);

/** Job_Destroy() - release the job */
void Job_Destroy(Job *this);

/**
 * Job_JournalStart(), Job_JournalEnd() - write the start or the end of an
 *                                        execution to the journal
 */
void Job_JournalStart(const Job *this);
void Job_JournalEnd(const Job *this, const char *outcome, int status);

/**
 * Job_RespondEmpty() - respond without a body
 * @extra_headers: complete lines, each ended by CRLF; may be empty
 */
void Job_RespondEmpty(Job *this, int status, const char *extra_headers);

/**
 * Job_RespondNotRun() - respond with 503 and the outcome not-run
 * @reason: written to the journal
 */
void Job_RespondNotRun(Job *this, const char *reason);

/** Job_RespondOk() - respond with 200 and the body derived from the request
 *                    id */
void Job_RespondOk(Job *this);

#endif
