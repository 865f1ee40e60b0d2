#ifndef AGATECRANK_GATEWAY_DISPATCHERPRIVATE_H
#define AGATECRANK_GATEWAY_DISPATCHERPRIVATE_H

#include <glib.h>

#include "CrashGuard.h"
#include "Dispatcher.h"
#include "DueSet.h"
#include "NameTable.h"
#include "OverloadQueue.h"
#include "PathMonitor.h"
#include "PeerSet.h"
#include "RetryWindow.h"
#include "StopWindow.h"
#include "UpstreamSet.h"
#include "WorkEstimate.h"

/* Limit on the number of upstreams that a request is sent to. */
#define ATTEMPTS_MAX 8
/* Time below which a retry is not worth starting: a response takes a few
 * milliseconds in addition to the processing. */
#define ATTEMPT_TIME_MIN_US (10 * MICROS_PER_MS)
/* Number of probe rounds after which the service counts as full: a sample of
 * about a dozen out of some hundred upstreams. */
#define PROBE_ROUNDS_MAX 5
/* Longest wait for probe replies: several times the round trip of a probe
 * between failure domains. */
#define PROBE_WAIT_US (8 * MICROS_PER_MS)
#define UPSTREAM_NONE UINT32_MAX
/* Peers that a request is forwarded to. */
#define FORWARD_PEERS_MAX 3

/* The last probe of an upstream. */
typedef struct SentProbe_ {
    Micros sent;
    bool new_connection;
} SentProbe;

struct Job_ {
    Dispatcher *owner;
    void *user;
    GString *id;
    uint64_t number; /* in order of arrival */
    RouteTable *table;
    const Route *route;
    const Customer *customer; /* of the caller, or NULL */
    GString *peer_customer;   /* of a forwarded job, or NULL */
    uint32_t priority;        /* rank, 0 is the most urgent */
    Fingerprint fingerprint;
    Micros arrived;
    Micros deadline; /* of the final response */
    Micros sent_at;
    Micros monitor_at;     /* next check of the attempt; 0 for none */
    Micros probe_deadline; /* end of the wait for probe replies; 0 for none */
    uint32_t probed[PROBE_ROUNDS_MAX * PLACEMENT_PROBES_MAX];
    uint32_t probed_count;
    uint32_t probe_rounds;
    uint32_t service;
    uint32_t upstream; /* of the current attempt, or UPSTREAM_NONE */
    uint32_t tried[ATTEMPTS_MAX];
    uint32_t tried_count;
    uint32_t attempts_max;     /* on all hosts together */
    uint32_t attempts_used;    /* those that may have been executed */
    uint32_t attempts_granted; /* to the peer of the last forward */
    Peer *peer;                /* of the open forward, or NULL */
    uint64_t peers_tried[FORWARD_PEERS_MAX];
    uint32_t peer_count;
    Micros peer_retry_after; /* longest that a peer has stated */
    Micros held_until;       /* end of the wait for the path; 0 for none */
    DueEntry due;            /* element of Dispatcher.due */
    AttemptLedger ledger;    /* of attempts and forwards */
    bool reached_upstream;   /* some upstream may have received it */
    bool forwarded;          /* by a peer */
    bool queued;
    bool relaying;      /* the caller has got the beginning of a response */
    bool loss_reported; /* the current attempt, to the guard */
    bool others_probed; /* other upstreams were probed for a move */
    bool retry_reserved;
    bool awaits_allowance; /* the answer of another host */
    bool has_allowance;
};

struct Dispatcher_ {
    DispatcherOptions options;
    const Clock *clock;
    Random *random;
    EventLog *log;
    EventLog *decisions;
    Counters *counters;
    NameTable *services;
    NameTable *domains;
    Placement *placement;
    UpstreamSet *upstreams;
    UpstreamLimits *limits;
    AllowanceClient *allowances;
    AllowanceGrantor *grantor;
    GHashTable *questions; /* of other hosts, by their user pointer */
    CrashGuard *guard;
    uint32_t reference;  /* upstream of the last reference probe */
    Micros reference_at; /* earliest time of the next one */
    GArray *sent_probes; /* SentProbe by upstream */
    PathMonitor *path;
    PathState path_state; /* that was handled last */
    Micros path_lost_at;  /* beginning of the last cut */
    Micros path_back_at;  /* end of the last cut */
    PeerSet *peers;
    uint32_t accepted_open; /* jobs of peers */
    double accept_tokens;   /* jobs of peers that may be accepted now */
    Micros accept_refilled_at;
    RouteTable *routes;
    Micros routes_known_at;   /* by Clock_Boot(), -1 for never */
    GPtrArray *retry_windows; /* RetryWindow by service */
    Micros started;
    size_t host_count;       /* live hosts, 0 until they are known */
    Micros hosts_known_from; /* since then they count this one */
    GPtrArray *queues;       /* OverloadQueue by service */
    WorkEstimate *work;      /* by name of the route */
    Micros queue_probe_at;   /* next probes for queued jobs; 0 for none */
    GHashTable *jobs;        /* set of Job */
    GHashTable *probing;     /* subset of jobs that wait for probe replies */
    uint64_t job_count;      /* jobs so far */
    DueSet *due;             /* jobs by deadline, probe wait or check */
    GArray *actions;
    guint actions_taken;
    StopWindow *stop_window;
    bool stopping;
};

/** Dispatcher_Count() - increment a counter that has one label */
void Dispatcher_Count(Dispatcher *this, const char *name, const char *key,
                      Str value);

/**
 * Dispatcher_SetWarmup() - an upstream has said for how long it stays cold
 * @source: of the log line: "probe" or "description"
 * @time: from now; 0 if it is not cold
 */
void Dispatcher_SetWarmup(Dispatcher *this, uint32_t upstream,
                          const char *source, Micros time);

/** Dispatcher_PushAction() - append an action for Dispatcher_NextAction() */
void Dispatcher_PushAction(Dispatcher *this, const DispatchAction *action);

/** Dispatcher_SentProbe() - the last probe of an upstream */
SentProbe Dispatcher_SentProbe(const Dispatcher *this, uint32_t upstream);

/** Job_SetHeldUntil() - set the end of the wait for the path; 0: none */
void Job_SetHeldUntil(Job *job, Micros until);

/**
 * Job_SetProbeDeadline() - set the end of the wait for probe replies; 0: none
 */
void Job_SetProbeDeadline(Job *job, Micros until);

/**
 * Job_Sorted() - jobs of a set in order of arrival
 * @set: Dispatcher.jobs or a subset of it
 *
 * Decisions on several jobs must not depend on the order of a hash table.
 *
 * Return: a list to release with g_list_free().
 */
GList *Job_Sorted(GHashTable *set);

/** Job_SetMonitorAt() - set the next check of the attempt; 0: none */
void Job_SetMonitorAt(Job *job, Micros at);

/** Job_CallerIdentity() - what is passed on; strings are valid as the job */
CallerIdentity Job_CallerIdentity(const Job *job);

/**
 * Job_IsStale() - whether the job's caller has a key and the routes may be out
 *     of date
 */
bool Job_IsStale(const Job *job);

/**
 * Job_RejectStale() - reject the job if its caller has a key and the routes may
 *     be out of date; releases the job then
 *
 * Return: whether it was rejected.
 */
bool Job_RejectStale(Job *job);

/** Job_Queue() - the queue of the job's service */
OverloadQueue *Job_Queue(const Job *job);

/**
 * Job_LeaveQueue() - remove the job from its queue, if it is queued
 * @served: it leaves the queue because it is sent to an upstream
 */
void Job_LeaveQueue(Job *job, bool served);

/** Job_EndAttempt() - account for the end of the current attempt, if any */
void Job_EndAttempt(Job *job, AttemptOutcome outcome);

/**
 * Job_CancelAttempt() - cancel the current attempt; the upstream may have
 *     executed the request
 */
void Job_CancelAttempt(Job *job);

/**
 * Job_BeginRelay() - the caller gets the beginning of a response; an open
 *     attempt stays open until Dispatcher_OnRelayEnd()
 */
void Job_BeginRelay(Job *job);

/** Job_End() - end the job and release it */
void Job_End(Job *job);

/**
 * Job_Reject() - send a response of the host; releases the job
 * @status: 502 replaces one that implies that the request was not executed, if
 *          an attempt may have been; an open attempt or forward is cancelled
 * @reason: static string
 * @retry_after: time after which the caller should retry; 0 for none
 */
void Job_Reject(Job *job, int status, const char *reason, Micros retry_after);

/**
 * Job_ReportNoResponse() - tell the guard that the current attempt has got no
 *     response so far; once for each attempt
 */
void Job_ReportNoResponse(Job *job, LostAttemptKind kind);

/**
 * Job_RefuseCrashing() - reject the job if it must not be sent because it
 *     crashes upstreams; releases the job then
 *
 * Return: whether it was rejected.
 */
bool Job_RefuseCrashing(Job *job);

/** Job_RetryWindow() - the retry limit of the job's service */
RetryWindow *Job_RetryWindow(const Job *job);

/**
 * Job_ReserveRetry() - reserve a retry of the limit, unless one is reserved
 *
 * Return: whether one is reserved.
 */
bool Job_ReserveRetry(Job *job);

/** Job_ReleaseRetry() - give back the retry that is reserved, if any */
void Job_ReleaseRetry(Job *job);

/**
 * Job_UseRetry() - use up the retry that is reserved, if any, as the job is
 *     sent
 *
 * Return: false if the retry limit does not allow it any more.
 */
bool Job_UseRetry(Job *job);

/**
 * Job_Retry() - send the job to another upstream after a failed attempt
 * @reason: reason of the rejection if no retry is possible
 */
void Job_Retry(Job *job, const char *reason);

/**
 * Job_Abandon() - reject the job: with 502 if it may have been executed,
 *     otherwise with 503 and a Retry-After
 */
void Job_Abandon(Job *job, const char *reason);

#endif
