#ifndef AGATECRANK_GATEWAY_DISPATCHER_H
#define AGATECRANK_GATEWAY_DISPATCHER_H

#include "Counters.h"
#include "EventLog.h"
#include "Placement.h"
#include "RouteTable.h"

/**
 * typedef Dispatcher - every decision about the requests of one gateway host
 *
 * Which route and upstream a request goes to, when it is sent again, refused
 * or given up. Calls bring events, Dispatcher_NextAction() hands out what is
 * to be done; drain it after every call. Nothing here does I/O.
 */
typedef struct Dispatcher_ Dispatcher;

/** typedef Job - one request of a caller, until its final answer */
typedef struct Job_ Job;

/** Longest text of an upstream's address */
#define UPSTREAM_ADDRESS_MAX 48

/**
 * struct DispatcherOptions_ - settings
 * @domain: failure domain of this host
 * @retry_window, @retry_share, @retry_extra: see struct RetryWindowOptions_
 * @probes_per_s: see Placement_Create()
 * @outage_grace: time after an outage of the upstreams' source in which an
 *                upstream that vanished meanwhile is still used
 */
typedef struct DispatcherOptions_ {
    Str domain;
    Micros retry_window;
    double retry_share;
    double retry_extra;
    double probes_per_s;
    Micros outage_grace;
} DispatcherOptions;

/**
 * struct UpstreamEntry_ - an upstream as it describes itself
 * @id: new for each upstream, but kept by one that starts again
 * @started: Unix time of its start in milliseconds; tells starts apart
 * @sequence: grows with each description since its start
 * @address: IP number
 * @slots: requests that it runs at a time
 * @draining: it takes nothing new
 * @warmup: time for which it stays slow
 */
typedef struct UpstreamEntry_ {
    Str id;
    int64_t started;
    uint64_t sequence;
    Str service;
    Str address;
    uint16_t port;
    Str domain;
    uint32_t slots;
    bool draining;
    Micros warmup;
} UpstreamEntry;

/**
 * struct JobInfo_ - a whole request
 * @id: of this attempt of the caller, for the log
 * @timeout: time that the caller waits from now, 0 for no bound
 */
typedef struct JobInfo_ {
    Str id;
    Str method;
    Str host;
    Str path;
    Str body;
    Micros timeout;
} JobInfo;

/** enum AttemptResult - how sending a request to an upstream ended */
typedef enum AttemptResult_ {
    ATTEMPT_RESULT_RESPONSE, /* a whole answer, to be passed on if wanted */
    ATTEMPT_RESULT_NOT_RUN,  /* the upstream states that it did not run it */
    ATTEMPT_RESULT_MOVED,    /* another upstream has the address; not run */
    ATTEMPT_RESULT_UNSENT,   /* no byte of it reached the upstream */
    ATTEMPT_RESULT_BROKEN,   /* no whole answer of that upstream */
} AttemptResult;

/**
 * struct AttemptEndInfo_ - the end of an attempt
 * @status: of an answer
 * @report: load report of the answer, NULL without one
 */
typedef struct AttemptEndInfo_ {
    AttemptResult result;
    int status;
    const LoadReport *report;
} AttemptEndInfo;

/** enum JobVerdict - what becomes of an upstream's answer */
typedef enum JobVerdict_ {
    JOB_RELAY,   /* pass it on; the job is over */
    JOB_DISCARD, /* an action for the job follows */
} JobVerdict;

typedef enum DispatchActionKind_ {
    DISPATCH_PROBE,   /* ask an upstream for its load; belongs to no job */
    DISPATCH_SEND,    /* send the request to an upstream */
    DISPATCH_RESPOND, /* answer the caller; the job is over */
    DISPATCH_CANCEL,  /* end the attempt; an answer follows */
} DispatchActionKind;

/**
 * struct DispatchAction_ - tagged union
 *
 * Strings are valid until the next call.
 */
typedef struct DispatchAction_ {
    DispatchActionKind kind;
    Job *job;
    void *user; /* as given to Dispatcher_Submit() */
    union {
        struct {
            const char *address;
            uint16_t port;
            Str instance;
            Str path;
            uint32_t upstream; /* for Dispatcher_OnProbeResult() */
        } probe;
        struct {
            const char *address;
            uint16_t port;
            Str instance;   /* id that must answer at the address */
            Micros timeout; /* from now, to be told to the upstream */
            bool idempotent;
        } send;
        struct {
            int status;
            const char *reason; /* static word */
            Micros retry_after; /* 0: none */
        } respond;
    };
} DispatchAction;

/**
 * Dispatcher_Create() - everything passed in is borrowed
 * @log: routes and upstreams
 * @decisions: what becomes of requests
 */
Dispatcher *Dispatcher_Create(const DispatcherOptions *options,
                              const Clock *clock, Random *random,
                              EventLog *log, EventLog *decisions,
                              Counters *counters);

/** Dispatcher_Destroy() - release it; jobs are dropped */
void Dispatcher_Destroy(Dispatcher *this);

/**
 * Dispatcher_SetRoutes() - take over a newer version
 *
 * Return: 0, or ERR_CONFLICT for a version that is not newer.
 */
int Dispatcher_SetRoutes(Dispatcher *this, RouteTable *routes);

/** Dispatcher_Routes() - the version in force, or NULL */
const RouteTable *Dispatcher_Routes(const Dispatcher *this);

/** Dispatcher_PutUpstream() - a new or changed upstream; older descriptions
 *                             than the known one are ignored */
void Dispatcher_PutUpstream(Dispatcher *this, const UpstreamEntry *entry);

/** Dispatcher_RemoveUpstream() - the source no longer lists it */
void Dispatcher_RemoveUpstream(Dispatcher *this, Str id);

/** Dispatcher_RetainUpstreams() - remove those that are not in the set @ids
 *                               (GString text to itself) */
void Dispatcher_RetainUpstreams(Dispatcher *this, GHashTable *ids);

/** Dispatcher_SetSourceReachable() - the source of upstreams can be read, or not;
 *                          @since: from when on it could be read, at the
 *                          earliest */
void Dispatcher_SetSourceReachable(Dispatcher *this, bool reachable,
                                   Micros since);

/** Dispatcher_UpstreamCount() - upstreams listed, in use or draining */
size_t Dispatcher_UpstreamCount(const Dispatcher *this);

/** Dispatcher_Submit() - a whole request came; @user comes back in actions */
Job *Dispatcher_Submit(Dispatcher *this, const JobInfo *info, void *user);

/** Dispatcher_OnAttemptEnd() - the attempt of a DISPATCH_SEND ended */
JobVerdict Dispatcher_OnAttemptEnd(Dispatcher *this, Job *job,
                                   const AttemptEndInfo *end);

/** Dispatcher_OnProbeTimeout() - a DISPATCH_PROBE had no answer in time */
void Dispatcher_OnProbeTimeout(Dispatcher *this, uint32_t upstream);

/** Dispatcher_Stop() - the host leaves: each attempt runs to its end, as
 *                      upstreams that are silent may be at work */
void Dispatcher_Stop(Dispatcher *this);

/** Dispatcher_OnProbeResult() - a DISPATCH_PROBE was answered or failed; NULL if the
 *                        load was not told */
void Dispatcher_OnProbeResult(Dispatcher *this, uint32_t upstream,
                              const LoadReport *report);

/** Dispatcher_OnCallerDisconnect() - nobody waits for it any more; it is over */
void Dispatcher_OnCallerDisconnect(Dispatcher *this, Job *job);

/** Dispatcher_OnTime() - let deadlines pass */
void Dispatcher_OnTime(Dispatcher *this);

/** Dispatcher_NextTime() - when to call Dispatcher_OnTime(); -1 for never */
Micros Dispatcher_NextTime(const Dispatcher *this);

/** Dispatcher_NextAction() - take the next action; false if there is none */
bool Dispatcher_NextAction(Dispatcher *this, DispatchAction *action);

/** Dispatcher_OpenJobs() - jobs that are not over */
size_t Dispatcher_OpenJobs(const Dispatcher *this);

#endif
