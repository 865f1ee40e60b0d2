#ifndef AGATECRANK_GATEWAY_DISPATCHER_H
#define AGATECRANK_GATEWAY_DISPATCHER_H

#include "AllowanceClient.h"
#include "AttemptLedger.h"
#include "BodyBuffer.h"
#include "Counters.h"
#include "EventLog.h"
#include "Placement.h"
#include "RouteTable.h"
#include "UpstreamLimits.h"
#include "UpstreamNotice.h"

/**
 * typedef Dispatcher - routes and dispatches the requests of a gateway host
 *
 * Decides which route and upstream a request is sent to, and when it is
 * retried, rejected or abandoned. Callers report events by the functions below
 * and then take the resulting actions from Dispatcher_NextAction() until there
 * are none. The module does no I/O.
 */
typedef struct Dispatcher_ Dispatcher;

/** typedef Job - a caller's request, from arrival to its final response */
typedef struct Job_ Job;

/** Size of the text of an upstream's address, with the terminating NUL */
#define UPSTREAM_ADDRESS_BYTES 48

/**
 * struct DispatcherOptions_ - settings
 * @host, @domain: id and failure domain of this host
 * @retry_window, @retry_share, @retry_extra, @retry_shared_extra: see struct
 *     RetryWindowOptions_
 * @probes_per_s: see Placement_Create()
 * @outage_grace: time after an outage of the upstream source during which an
 *                upstream that disappeared in the outage stays in use
 * @allowance_window, @allowance_overshoot, @allowance_slack: all hosts together
 *     may send what the limit of a customer allows in the window, this part of
 *     it and this many requests more; a part of that is planned with
 * @key_age_max: age of the routes up to which keys of customers are accepted,
 *               so that a key that was withdrawn is served no longer; 0 for
 *               no limit
 */
typedef struct DispatcherOptions_ {
    Str host;
    Str domain;
    Micros retry_window;
    double retry_share;
    double retry_extra;
    double retry_shared_extra;
    double probes_per_s;
    Micros outage_grace;
    Micros key_age_max;
    Micros allowance_window;
    double allowance_overshoot;
    double allowance_slack;
} DispatcherOptions;

/**
 * struct UpstreamEntry_ - an upstream as described by itself
 * @id: unique; stays the same when the upstream restarts
 * @started: Unix time of its start in milliseconds; identifies the incarnation
 * @sequence: increases with each description of the same incarnation
 * @address: IP address as text
 * @slots: number of requests that it processes concurrently
 * @draining: accepts no new requests
 * @warmup: time for which it is slower after its start
 * @restored: read from an older copy of the source, which may list upstreams
 *            that were removed since
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
    bool restored;
} UpstreamEntry;

/** struct PeerInfo_ - another host, which can forward requests for this one */
typedef struct PeerInfo_ {
    Str id;
    Str domain;
} PeerInfo;

/**
 * struct JobInfo_ - a complete request
 * @id: identifies the caller's attempt in the log
 * @body: borrowed during Dispatcher_Submit(); NULL for none
 * @timeout: time that the caller waits, from now; 0 for no limit
 * @attempts_max: number of upstreams that it may still be sent to; 0: as the
 *                route says
 * @key: by which the caller identifies itself; empty if it has none, or more
 *       than one
 * @customer: of a request that a peer has forwarded, as the peer states
 * @forwarded: sent by a peer: is not forwarded again, and does not count as a
 *             request in the retry window
 * @version_min: of the routes by which it may be handled; 0: any
 */
typedef struct JobInfo_ {
    Str id;
    Str method;
    Str host;
    Str path;
    const BodyBuffer *body;
    Micros timeout;
    uint32_t attempts_max;
    Str key;
    Str customer;
    bool forwarded;
    uint64_t version_min;
} JobInfo;

/** enum AttemptResult - how an attempt to send a request ended */
typedef enum AttemptResult_ {
    ATTEMPT_RESULT_RESPONSE, /* complete response */
    ATTEMPT_RESULT_NOT_RUN,  /* the upstream states: not executed */
    ATTEMPT_RESULT_MOVED,    /* another upstream uses the address */
    ATTEMPT_RESULT_UNSENT,   /* nothing of the request reached the upstream */
    ATTEMPT_RESULT_BROKEN,   /* no complete, valid response of that upstream */
} AttemptResult;

/**
 * struct AttemptEndInfo_ - the end of an attempt
 * @attempt: its number, of the DISPATCH_SEND
 * @evidence: that it was not executed; without proof the results
 *            ATTEMPT_RESULT_NOT_RUN and ATTEMPT_RESULT_UNSENT are not believed,
 *            and the request may have run with ATTEMPT_RESULT_MOVED
 * @connection: number of the connection that was used, for the log; 0 if none
 * @status: HTTP status of the response
 * @report: load report of the response, or NULL
 * @limit: limit that the upstream names in the response
 * @more_follows: the response is longer than what was received; with JOB_RELAY
 *                the job goes on until Dispatcher_OnRelayEnd()
 * @cause: for the log, why there is no valid response; may be empty
 */
typedef struct AttemptEndInfo_ {
    AttemptResult result;
    uint32_t attempt;
    RunEvidence evidence;
    uint64_t connection;
    int status;
    const LoadReport *report;
    LimitNotice limit;
    bool more_follows;
    Str cause;
} AttemptEndInfo;

/** enum ForwardResult - how a request forwarded to a peer ended */
typedef enum ForwardResult_ {
    FORWARD_RESPONSE, /* complete authentic response of an upstream */
    FORWARD_NOT_RUN,  /* the peer states: not executed and never will be */
    FORWARD_FAILED,   /* 5xx of the peer itself; may have been executed */
    FORWARD_UNSENT,   /* nothing of the request reached the peer */
    FORWARD_BROKEN,   /* anything else; may have been executed */
} ForwardResult;

/** enum ForwardRefusal - why a peer did not execute a forwarded request */
typedef enum ForwardRefusal_ {
    FORWARD_REFUSAL_NONE,
    FORWARD_REFUSAL_CUT_OFF,  /* reason "cut-off": it reaches no upstream */
    FORWARD_REFUSAL_STOPPING, /* "stopping" */
    FORWARD_REFUSAL_LIMIT,  /* "forward-limit": bound on forwarded requests */
    FORWARD_REFUSAL_DENIED, /* it does not accept requests of this host */
    FORWARD_REFUSAL_OLDER,  /* "older-routes": than those of this host */
    FORWARD_REFUSAL_OTHER,
} ForwardRefusal;

/**
 * struct ForwardEndInfo_ - the end of a forward
 * @attempt: its number, of the DISPATCH_FORWARD
 * @status: HTTP status of the response
 * @refusal: with FORWARD_NOT_RUN
 * @retry_after: as the peer states; 0 for none
 * @more_follows, @cause: as in struct AttemptEndInfo_
 */
typedef struct ForwardEndInfo_ {
    ForwardResult result;
    uint32_t attempt;
    int status;
    ForwardRefusal refusal;
    Micros retry_after;
    bool more_follows;
    Str cause;
} ForwardEndInfo;

/** enum RelayEnd - how the relay of a long response ended */
typedef enum RelayEnd_ {
    RELAY_COMPLETE,
    RELAY_BROKEN,      /* the connection ended early or was malformed */
    RELAY_TIMEOUT,     /* the deadline passed */
    RELAY_CALLER_SLOW, /* the same, while the caller did not read */
} RelayEnd;

/** enum JobVerdict - whether the response of an upstream or peer is used */
typedef enum JobVerdict_ {
    JOB_RELAY,   /* relay it to the caller; the job has ended unless more
                    follows */
    JOB_DISCARD, /* drop it; an action for the job follows */
} JobVerdict;

/** enum ProbeResult - how a load probe ended */
typedef enum ProbeResult_ {
    PROBE_ANSWERED, /* the upstream itself responded */
    PROBE_ACCEPTED, /* it accepted a new connection and did not respond */
    PROBE_REFUSED,  /* no connection could be opened */
    PROBE_UNCLEAR,  /* nothing is known about the upstream */
} ProbeResult;

typedef enum DispatchActionKind_ {
    DISPATCH_PROBE,   /* request an upstream's load; without a job */
    DISPATCH_SEND,    /* send the request to an upstream */
    DISPATCH_FORWARD, /* send the request to a peer */
    DISPATCH_RESPOND, /* send a response of the host; the job has ended */
    DISPATCH_CANCEL,  /* cancel the attempt or forward; an action follows */
    DISPATCH_ABORT,   /* end the relay: its deadline has passed */
    DISPATCH_ASK,   /* ask a host for requests of a customer; without a job */
    DISPATCH_GRANT, /* answer a question of another host; without a job */
} DispatchActionKind;

/**
 * struct CallerIdentity_ - what the receiver of a request is told of its caller
 * @replaces_key: the key of the caller, and what it says of its customer, are
 *                not passed on
 * @customer: of the caller; empty if it has none
 */
typedef struct CallerIdentity_ {
    bool replaces_key;
    Str customer;
} CallerIdentity;

/**
 * struct DispatchAction_ - an action for the caller of Dispatcher_NextAction()
 *
 * Strings are valid until the next call of a Dispatcher function.
 */
typedef struct DispatchAction_ {
    DispatchActionKind kind;
    Job *job;
    void *user; /* as given to Dispatcher_Submit() or _OnQuestion() */
    union {
        struct {
            const char *address;
            uint16_t port;
            Str instance;
            Str path;
            uint32_t upstream; /* for Dispatcher_OnProbeResult() */
            bool new_connection;
        } probe;
        struct {
            const char *address;
            uint16_t port;
            Str instance;     /* id that the server at the address must have */
            uint32_t attempt; /* its number among those of the job */
            Micros timeout;   /* from now; sent to the upstream */
            CallerIdentity caller;
            bool idempotent;
        } send;
        struct {
            Str peer;              /* id of the host */
            uint32_t attempt;      /* as above */
            Micros timeout;        /* from now; sent to the peer */
            uint32_t attempts_max; /* of the peer, at least 1 */
            uint64_t version;      /* of the routes */
            CallerIdentity caller;
            bool idempotent;
        } forward;
        struct {
            Str host;
            Str customer;
            uint32_t wanted;
            uint64_t number; /* for Dispatcher_OnAllowance() */
            bool relayed;    /* another host waits for the answer */
        } ask;
        AllowanceGrant grant;
        struct {
            int status;
            const char *reason; /* static string */
            Micros retry_after; /* 0 for none */
            bool not_run; /* nothing was sent that may still be executed */
        } respond;
    };
} DispatchAction;

/**
 * Dispatcher_Create() - create a dispatcher; all pointers are borrowed
 * @log: events of routes and upstreams
 * @decisions: events of requests
 */
Dispatcher *Dispatcher_Create(const DispatcherOptions *options,
                              const Clock *clock, Random *random,
                              EventLog *log, EventLog *decisions,
                              Counters *counters);

/**
 * Dispatcher_Destroy() - release it with its open jobs, which get no action;
 *     NULL is allowed
 */
void Dispatcher_Destroy(Dispatcher *this);

/**
 * Dispatcher_SetRoutes() - put a newer version of the routes in force
 *
 * Return: 0, or ERR_CONFLICT if the version is not newer.
 */
int Dispatcher_SetRoutes(Dispatcher *this, RouteTable *routes);

/**
 * Dispatcher_SetRoutesKnownAt() - the routes in force were the newest ones
 * @at: time by Clock_Boot()
 */
void Dispatcher_SetRoutesKnownAt(Dispatcher *this, Micros at);

/**
 * Dispatcher_RoutesAge() - time since the routes in force were the newest ones
 *
 * Return: by Clock_Boot(); -1 if they never were, as far as this host knows.
 */
Micros Dispatcher_RoutesAge(const Dispatcher *this);

/**
 * Dispatcher_RejectsKeys() - whether callers with keys are rejected because the
 *     routes may be out of date
 */
bool Dispatcher_RejectsKeys(const Dispatcher *this);

/** Dispatcher_Routes() - the routes in force, or NULL */
const RouteTable *Dispatcher_Routes(const Dispatcher *this);

/**
 * Dispatcher_PutUpstream() - add or update an upstream; a description that is
 *     not newer than the known one is ignored
 */
void Dispatcher_PutUpstream(Dispatcher *this, const UpstreamEntry *entry);

/** Dispatcher_RemoveUpstream() - the source no longer lists the upstream */
void Dispatcher_RemoveUpstream(Dispatcher *this, Str id);

/**
 * Dispatcher_RetainUpstreams() - remove all upstreams that are not listed
 * @ids: set of the listed ids, as GString
 */
void Dispatcher_RetainUpstreams(Dispatcher *this, GHashTable *ids);

/**
 * Dispatcher_SetEvacuated() - operators evacuate a failure domain, or take it
 *     back
 *
 * Nothing more is sent to its upstreams; requests in progress end normally.
 */
void Dispatcher_SetEvacuated(Dispatcher *this, Str domain, bool evacuated);

/**
 * Dispatcher_RetainEvacuated() - take back all domains but the listed ones
 * @domains: set of GString
 */
void Dispatcher_RetainEvacuated(Dispatcher *this, GHashTable *domains);

/** Dispatcher_EvacuatedCount() - number of evacuated failure domains */
size_t Dispatcher_EvacuatedCount(const Dispatcher *this);

/**
 * Dispatcher_SetSourceReachable() - report the state of the upstream source
 * @reachable: whether it can be read
 * @since: earliest time at which it may have become readable
 */
void Dispatcher_SetSourceReachable(Dispatcher *this, bool reachable,
                                   Micros since);

/**
 * Dispatcher_SetHosts() - set the live hosts, with which this one shares the
 *     limits that upstreams name and the extra retries; see
 *     UpstreamLimits_SetHosts() and RetryWindow_SetHosts()
 */
void Dispatcher_SetHosts(Dispatcher *this, const Str *hosts, size_t count,
                         Micros known_from);

/**
 * Dispatcher_SetPeers() - replace the list of the hosts that can forward
 *     requests for this one
 * @peers: without this host; copied
 */
void Dispatcher_SetPeers(Dispatcher *this, const PeerInfo *peers,
                         size_t count);

/**
 * Dispatcher_SetGrantors() - set the live hosts that can hand out requests of
 *     customers, this one included; see AllowanceClient_SetHosts()
 */
void Dispatcher_SetGrantors(Dispatcher *this, const AllowanceHost *hosts,
                            size_t count);

/**
 * Dispatcher_OnQuestion() - another host asks for requests of a customer
 * @wanted: requests that it has or expects
 * @relayed: it asks for a third host, so this one must not ask further
 * @user: copied to the DISPATCH_GRANT that follows
 *
 * Return: 0, ERR_NOT_FOUND if the customer is not known, or ERR_UNAVAILABLE
 * until the other hosts have this one in their lists; without an action then.
 */
int Dispatcher_OnQuestion(Dispatcher *this, Str customer, uint32_t wanted,
                          bool relayed, void *user);

/** Dispatcher_CancelQuestion() - the host that has asked waits no longer */
void Dispatcher_CancelQuestion(Dispatcher *this, void *user);

/**
 * Dispatcher_OnAllowance() - a DISPATCH_ASK has ended
 * @grant: NULL if the host has not answered
 */
void Dispatcher_OnAllowance(Dispatcher *this, uint64_t number,
                            const AllowanceGrant *grant);

/** Dispatcher_IsCutOff() - whether this host reaches no upstream */
bool Dispatcher_IsCutOff(const Dispatcher *this);

/** Dispatcher_LimitedUpstreamCount() - number of upstreams that name a limit */
uint32_t Dispatcher_LimitedUpstreamCount(const Dispatcher *this);

/**
 * Dispatcher_ExcludedCount() - number of upstreams that may get no request for
 *     a reason
 */
uint32_t Dispatcher_ExcludedCount(const Dispatcher *this,
                                  EligibilityReason reason);

/**
 * Dispatcher_UpstreamCount() - number of known upstreams, with draining ones
 */
size_t Dispatcher_UpstreamCount(const Dispatcher *this);

/**
 * Dispatcher_Submit() - dispatch a complete request
 * @user: copied to the actions of the job
 *
 * Return: the job, or NULL if it has ended already.
 */
Job *Dispatcher_Submit(Dispatcher *this, const JobInfo *info, void *user);

/** Dispatcher_OnAttemptEnd() - the attempt of a DISPATCH_SEND has ended */
JobVerdict Dispatcher_OnAttemptEnd(Dispatcher *this, Job *job,
                                   const AttemptEndInfo *end);

/** Dispatcher_OnForwardEnd() - the request of a DISPATCH_FORWARD has ended */
JobVerdict Dispatcher_OnForwardEnd(Dispatcher *this, Job *job,
                                   const ForwardEndInfo *end);

/**
 * Dispatcher_OnRelayEnd() - the relay of a response has ended, also after
 *     DISPATCH_ABORT; ends the job
 */
void Dispatcher_OnRelayEnd(Dispatcher *this, Job *job, RelayEnd end);

/**
 * Dispatcher_OnProbeTimeout() - a DISPATCH_PROBE got no response in time
 * @connected: it was sent on an open connection
 */
void Dispatcher_OnProbeTimeout(Dispatcher *this, uint32_t upstream,
                               bool connected);

/**
 * Dispatcher_Stop() - prepare for the stop of the host
 * @end: time at which the host ends with whatever is open
 *
 * From then on no attempt is moved to another upstream: one that is
 * unresponsive may still process the request. Requests of peers are refused, and
 * so are requests that may be open at the end; see StopWindow. Requests that
 * wait and do not fit get a DISPATCH_RESPOND.
 */
void Dispatcher_Stop(Dispatcher *this, Micros end);

/**
 * Dispatcher_Interrupt() - log the open requests, and end those whose response
 *     has not begun, because the host is about to end
 */
void Dispatcher_Interrupt(Dispatcher *this);

/**
 * Dispatcher_OnProbeResult() - a DISPATCH_PROBE was answered or failed
 * @report: NULL without a load report
 */
void Dispatcher_OnProbeResult(Dispatcher *this, uint32_t upstream,
                              ProbeResult result, const LoadReport *report);

/**
 * Dispatcher_OnProbeLimit() - the response to a DISPATCH_PROBE names a limit or
 *     none; call it before Dispatcher_OnProbeResult()
 */
void Dispatcher_OnProbeLimit(Dispatcher *this, uint32_t upstream,
                             LimitNotice limit);

/**
 * Dispatcher_OnNotice() - the upstream of the current attempt has begun a
 *     response
 */
void Dispatcher_OnNotice(Dispatcher *this, const Job *job,
                         const UpstreamNotice *notice);

/**
 * Dispatcher_OnPeerNotice() - a peer has relayed a response to the job in which
 *     an upstream says that it leaves
 * @instance: of the upstream, as Dispatcher_AttemptInstance() of the peer
 */
void Dispatcher_OnPeerNotice(Dispatcher *this, const Job *job,
                             uint32_t instance);

/**
 * Dispatcher_AttemptInstance() - identifies the upstream of the current attempt
 *     on all hosts; 0 if it is not listed any more
 */
uint32_t Dispatcher_AttemptInstance(const Dispatcher *this, const Job *job);

/** Dispatcher_OnProbeNotice() - an upstream has responded to a DISPATCH_PROBE */
void Dispatcher_OnProbeNotice(Dispatcher *this, uint32_t upstream,
                              const UpstreamNotice *notice);

/**
 * Dispatcher_OnCallerDisconnect() - end a job whose caller has disconnected
 */
void Dispatcher_OnCallerDisconnect(Dispatcher *this, Job *job);

/** Dispatcher_OnTime() - handle everything that is due */
void Dispatcher_OnTime(Dispatcher *this);

/**
 * Dispatcher_NextTime() - when to call Dispatcher_OnTime(), or -1 for never
 */
Micros Dispatcher_NextTime(const Dispatcher *this);

/** Dispatcher_NextAction() - take the next action; false if there is none */
bool Dispatcher_NextAction(Dispatcher *this, DispatchAction *action);

/** Dispatcher_CrashGuard() - what is shared with the other hosts; borrowed */
struct CrashGuard_ *Dispatcher_CrashGuard(Dispatcher *this);

/** Dispatcher_OpenJobs() - number of jobs that have not ended */
size_t Dispatcher_OpenJobs(const Dispatcher *this);

#endif
