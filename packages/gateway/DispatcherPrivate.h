#ifndef AGATECRANK_GATEWAY_DISPATCHERPRIVATE_H
#define AGATECRANK_GATEWAY_DISPATCHERPRIVATE_H

#include <glib.h>

#include "Dispatcher.h"
#include "DueSet.h"
#include "NameTable.h"
#include "Quarantine.h"
#include "RequestQueue.h"
#include "RetryWindow.h"
#include "UpstreamSet.h"

/* Bounds the upstreams that one request can be tried on. */
#define ATTEMPTS_MAX 8
/* An answer takes a few milliseconds more than the work: no time for one. */
#define ATTEMPT_TIME_MIN_US (10 * MICROS_PER_MS)
/* Rounds until it counts as sure that there is no room: a sample of a dozen,
 * of some hundred upstreams. */
#define PROBE_ROUNDS_MAX 5
/* Several times what a question and its answer take between domains. */
#define PROBE_WAIT_US (8 * MICROS_PER_MS)
#define UPSTREAM_NONE UINT32_MAX

struct Job_ {
    Dispatcher *owner;
    void *user;
    GString *id;
    RouteTable *table;
    const Route *route;
    Fingerprint fingerprint;
    Micros arrived;
    Micros deadline; /* of the final answer */
    Micros sent_at;
    Micros monitor_at; /* when to ask its upstream, 0 for never */
    Micros
        probe_deadline; /* when to stop to wait for loads, 0 if it does not */
    uint32_t probed[PROBE_ROUNDS_MAX * PLACEMENT_PROBES_MAX];
    uint32_t probed_count;
    uint32_t probe_rounds;
    uint32_t service;
    uint32_t upstream; /* of the running attempt, or UPSTREAM_NONE */
    uint32_t tried[ATTEMPTS_MAX];
    uint32_t tried_count;
    DueEntry due; /* in Dispatcher.due */
    bool may_have_run;
    bool queued;
    bool others_probed; /* others were asked whether one is idle */
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
    Quarantine *quarantine;
    RouteTable *routes;
    GPtrArray *retry_windows; /* RetryWindow of each service */
    GPtrArray *queues;        /* RequestQueue of each service */
    Micros queue_probe_at;    /* when the heads of the queues ask again */
    GHashTable *jobs;         /* set of Job */
    GHashTable *probing;      /* those of them that wait for loads */
    DueSet *due;              /* due of Job: deadline, loads, watch */
    GArray *actions;
    guint actions_taken;
    bool stopping;
};

/** Dispatcher_Count() - add one to a counter with one label */
void Dispatcher_Count(Dispatcher *this, const char *name, const char *key,
                      Str value);

/** Dispatcher_PushAction() - to be handed out by Dispatcher_NextAction() */
void Dispatcher_PushAction(Dispatcher *this, const DispatchAction *action);

/** Job_SetProbeDeadline() - when to stop to wait for loads; 0: it does not wait */
void Job_SetProbeDeadline(Job *job, Micros until);

/** Job_SetMonitorAt() - when to look at its attempt; 0: never */
void Job_SetMonitorAt(Job *job, Micros at);

/** Job_Queue() - where requests of the job's service wait */
RequestQueue *Job_Queue(const Job *job);

/** Job_LeaveQueue() - it waits no longer; no effect if it does not wait */
void Job_LeaveQueue(Job *job, bool served);

/** Job_EndAttempt() - its attempt is over; no effect without one */
void Job_EndAttempt(Job *job, AttemptOutcome outcome);

/** Job_CancelAttempt() - end its attempt without an answer; it may have run */
void Job_CancelAttempt(Job *job);

/** Job_End() - release it */
void Job_End(Job *job);

/** Job_Reject() - answer the caller, which releases the job */
void Job_Reject(Job *job, int status, const char *reason, Micros retry_after);

/** Job_RetryWindow() - bound on repeats of the job's service */
RetryWindow *Job_RetryWindow(const Job *job);

/** Job_Retry() - after an attempt that ended without an answer to pass on;
 *                   gives up for @reason if there can be no other */
void Job_Retry(Job *job, const char *reason);

/** Job_Abandon() - the same, with the status that is true: 502 if it may have
 *                 run, or 503 and when to come back */
void Job_Abandon(Job *job, const char *reason);

#endif
