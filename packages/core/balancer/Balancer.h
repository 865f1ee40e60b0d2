#ifndef AGATECRANK_CORE_BALANCER_H
#define AGATECRANK_CORE_BALANCER_H

#include "Admission.h"
#include "Claims.h"
#include "ConfigState.h"
#include "Counters.h"
#include "Directory.h"
#include "EventLog.h"
#include "Exchange.h"
#include "Quarantine.h"
#include "Router.h"

/**
 * typedef Balancer - decides about all requests of one host
 *
 * The I/O layer reports events by calls and takes the resulting actions from
 * Balancer_NextAction(), until it returns false, after every call. A Balancer
 * does no I/O itself.
 */
typedef struct Balancer_ Balancer;

/** BALANCER_HOPS_MAX - most balancers that a request may pass */
#define BALANCER_HOPS_MAX 16

/**
 * struct BalancerOptions_ - settings
 * @router, @admission, @claims: settings of these parts
 * @domain: failure domain of this host
 * @attempts_max: most attempts for one request, the first one included
 */
typedef struct BalancerOptions_ {
    RouterOptions router;
    AdmissionOptions admission;
    ClaimsOptions claims;
    Str domain;
    uint32_t attempts_max;
} BalancerOptions;

/**
 * struct RequestInfo_ - header block of a caller's request
 * @service: name from the Host header
 * @credential: SHA-256 of the bearer token or of the client certificate,
 *              empty without either
 * @by_certificate: @credential is that of the client certificate
 * @key: idempotency key, empty without one
 * @deadline: time from now that the caller allows, in microseconds; 0 without
 *            a limit
 * @hops: number of balancers that the request passed before this one
 * @layer_above_retries: the request has the header agatecrank-retrying
 * @body_length: length of the body in bytes
 * @body_kept: the I/O layer keeps the whole body until the request ends, so
 *             that it can be sent again
 */
typedef struct RequestInfo_ {
    Str request_id;
    Str method;
    Str path;
    Str service;
    Str credential;
    bool by_certificate;
    Str key;
    Micros deadline;
    uint32_t hops;
    bool layer_above_retries;
    int64_t body_length;
    bool body_kept;
} RequestInfo;

/** enum BalancerActionKind_ - actions for the I/O layer */
typedef enum BalancerActionKind_ {
    BALANCER_SEND,    /* send the request to an upstream */
    BALANCER_CANCEL,  /* cancel the attempt; no event follows for it */
    BALANCER_RESPOND, /* send a response of this host; ends the request */
    BALANCER_REPLAY,  /* send the stored first response; ends the request */
    BALANCER_ABORT,   /* close the caller's connection; ends the request */
} BalancerActionKind;

/**
 * struct BalancerAction_ - an action for the I/O layer, by @kind
 * @request: id of the request
 *
 * Strings are valid until the next call of the balancer.
 */
typedef struct BalancerAction_ {
    BalancerActionKind kind;
    uint64_t request;
    union {
        struct {
            uint32_t upstream;
            const char *address;
            uint16_t port;
            Str caller;
            Str line;
            Micros deadline; /* monotonic time */
            Micros timeout;  /* from now, for this attempt */
            bool new_connection;
            bool retrying;
        } send;
        struct {
            /* No response began, so idle connections to the upstream may be
             * dead, too. */
            bool no_response;
            char address[DIRECTORY_ADDRESS_MAX];
            uint16_t port;
        } cancel;
        struct {
            int status;
            Outcome outcome; /* of the key; without a key, of the request */
            Outcome request_outcome; /* of this request alone */
            const char *reason;
            Micros retry_after; /* 0 for none */
        } respond;
        Str replay; /* response as passed to Balancer_OnAttemptEnd() */
    };
} BalancerAction;

/** enum BalancerRelay_ - how to handle an upstream's response */
typedef enum BalancerRelay_ {
    BALANCER_RELAY,   /* relay it to the caller */
    BALANCER_DISCARD, /* drop it; an action for the request follows */
} BalancerRelay;

/**
 * struct ResponseHead_ - header block of an upstream's response
 * @not_run: it has the header agatecrank-outcome: not-run
 * @from_balancer: it has the header agatecrank-reason, so a balancer sent it
 * @load: value of agatecrank-load, may be empty
 */
typedef struct ResponseHead_ {
    int status;
    bool not_run;
    bool from_balancer;
    Str load;
} ResponseHead;

/** Balancer_Create() - create a balancer; borrows all objects passed in */
Balancer *Balancer_Create(const BalancerOptions *options, ConfigState *config,
                          const Clock *clock, Random *random, EventLog *log,
                          Counters *counters);

/** Balancer_Destroy() - free the balancer; drops open requests */
void Balancer_Destroy(Balancer *this);

/** Balancer_SetReady() - set whether requests are accepted; initially not */
void Balancer_SetReady(Balancer *this, bool ready);

/** Balancer_OnConfigChanged() - apply a change of the configuration */
void Balancer_OnConfigChanged(Balancer *this);

/** Balancer_OnHostList() - apply a new host list */
void Balancer_OnHostList(Balancer *this, const HostEntry *entries,
                         size_t count);

/** Balancer_SetHosts() - set the live balancer hosts; @own is this one */
void Balancer_SetHosts(Balancer *this, const Str *hosts, size_t count,
                       size_t own);

/**
 * Balancer_OnRequest() - the header block of a request arrived
 *
 * Return: the id of the request. It is valid until BALANCER_RESPOND,
 * BALANCER_REPLAY, BALANCER_ABORT, a Balancer_OnCallerDisconnect() that
 * returns false, or an attempt that ends with EXCHANGE_STEP_FINISH or
 * EXCHANGE_STEP_DROP.
 */
uint64_t Balancer_OnRequest(Balancer *this, const RequestInfo *info);

/**
 * Balancer_OnBody() - enough of the body arrived to admit the request
 * @digest: digest of the body, or of its first part and its length
 */
void Balancer_OnBody(Balancer *this, uint64_t request, uint64_t digest);

/** Balancer_OnResponseHead() - the header block of a response arrived */
BalancerRelay Balancer_OnResponseHead(Balancer *this, uint64_t request,
                                      const ResponseHead *head);

/**
 * Balancer_OnAttemptEnd() - an attempt ended
 * @response: whole response in the encoding of the I/O layer, stored for
 *            requests that repeat the key; empty if there is none or it is
 *            too large
 */
ExchangeStep Balancer_OnAttemptEnd(Balancer *this, uint64_t request,
                                   AttemptEnd end, Str response);

/** Balancer_OnTimeout() - the timeout of the open attempt expired */
void Balancer_OnTimeout(Balancer *this, uint64_t request);

/**
 * Balancer_OnCallerDisconnect() - the caller closed its connection
 *
 * A request with a claim that an upstream runs goes on, so that a request
 * that repeats the key gets its response. Any other attempt is cancelled.
 *
 * Return: true if the attempt goes on and its events must still be reported.
 */
bool Balancer_OnCallerDisconnect(Balancer *this, uint64_t request);

/**
 * Balancer_OnTick() - process queues and timeouts
 *
 * Call it at least every 5 ms while requests are open.
 */
void Balancer_OnTick(Balancer *this);

/** Balancer_OnSlotsChanged() - a peer's message made a slot available */
void Balancer_OnSlotsChanged(Balancer *this, uint32_t service);

/** Balancer_NextAction() - remove the next action; false if there is none */
bool Balancer_NextAction(Balancer *this, BalancerAction *action);

/** Balancer_RequestOutcome() - outcome to report with a relayed response */
Outcome Balancer_RequestOutcome(const Balancer *this, uint64_t request,
                                int status);

/** Balancer_OpenRequests() - return the number of open requests */
size_t Balancer_OpenRequests(const Balancer *this);

/* Parts whose messages and reports the I/O layer transfers; borrowed. */
Router *Balancer_Router(Balancer *this);
Admission *Balancer_Admission(Balancer *this);
Quarantine *Balancer_Quarantine(Balancer *this);
Claims *Balancer_Claims(Balancer *this);
Directory *Balancer_Directory(Balancer *this);
NameTable *Balancer_Services(Balancer *this);
NameTable *Balancer_Lines(Balancer *this);

/**
 * Balancer_OnClaimAction() - apply a CLAIM_DISPATCH or CLAIM_ANSWER
 *
 * The I/O layer takes these actions from Balancer_Claims().
 */
void Balancer_OnClaimAction(Balancer *this, const ClaimAction *action);

/**
 * LoadReport_Parse() - parse the value of an agatecrank-load header
 *
 * inflight and slots are required, unknown fields are ignored.
 *
 * Return: 0, or ERR_PARSE with @report unchanged.
 */
int LoadReport_Parse(Str text, LoadReport *report);

#endif
