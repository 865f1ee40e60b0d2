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
 * typedef Balancer - every decision about the requests of one host
 *
 * Calls bring events, Balancer_NextAction() hands out what is to be done.
 * Actions must be drained after every call. Nothing here does I/O.
 */
typedef struct Balancer_ Balancer;

/** Most balancers that a request may pass */
#define BALANCER_HOPS_MAX 16

/**
 * struct BalancerOptions_ - settings
 * @router, @admission, @claims: settings of these parts
 * @domain: failure domain of this host
 * @attempts_max: attempts for one request
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
 * @credential: SHA-256 of the bearer token or of the client certificate
 * @by_certificate: which of the two
 * @service: name from the Host header
 * @key: idempotency key, empty without one
 * @deadline: time the caller gives from now, 0 for none
 * @hops: balancers passed before this one
 * @layer_above_retries: agatecrank-retrying came in
 * @body_length: bytes of the body
 * @body_kept: the shell holds the whole body until the request ends
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

typedef enum BalancerActionKind_ {
    BALANCER_SEND,    /* send the request to an upstream */
    BALANCER_CANCEL,  /* give up the attempt; no event follows for it */
    BALANCER_RESPOND, /* answer the caller; the request is over */
    BALANCER_REPLAY,  /* answer with a kept first answer; it is over */
    BALANCER_ABORT,   /* break the caller's connection; it is over */
} BalancerActionKind;

/**
 * struct BalancerAction_ - tagged union
 *
 * Strings are valid until the next call.
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
            Micros deadline; /* absolute */
            Micros timeout;  /* from now, for this attempt */
            bool new_connection;
            bool retrying;
        } send;
        struct {
            bool
                no_response; /* idle connections to the peer are suspect too */
            char address[DIRECTORY_ADDRESS_MAX];
            uint16_t port;
        } cancel;
        struct {
            int status;
            Outcome outcome; /* of the key, or of the request without one */
            Outcome request_outcome; /* of this request alone */
            const char *reason;
            Micros retry_after; /* 0: none */
        } respond;
        Str replay; /* as given to Balancer_OnAttemptEnd() */
    };
} BalancerAction;

/** enum BalancerRelay_ - what to do with an upstream's answer */
typedef enum BalancerRelay_ {
    BALANCER_RELAY,   /* pass it on to the caller */
    BALANCER_DISCARD, /* drop it; an action for the request follows */
} BalancerRelay;

/**
 * struct ResponseHead_ - header block of an upstream's answer
 * @not_run: it has agatecrank-outcome: not-run
 * @from_balancer: it has agatecrank-reason
 * @load: text of agatecrank-load, may be empty
 */
typedef struct ResponseHead_ {
    int status;
    bool not_run;
    bool from_balancer;
    Str load;
} ResponseHead;

/** Balancer_Create() - everything passed in is borrowed */
Balancer *Balancer_Create(const BalancerOptions *options, ConfigState *config,
                          const Clock *clock, Random *random, EventLog *log,
                          Counters *counters);

/** Balancer_Destroy() - release it; open requests are dropped */
void Balancer_Destroy(Balancer *this);

/** Balancer_SetReady() - until then every request is refused */
void Balancer_SetReady(Balancer *this, bool ready);

/** Balancer_OnConfigChanged() - the configuration moved on */
void Balancer_OnConfigChanged(Balancer *this);

/** Balancer_OnHostList() - a new host list */
void Balancer_OnHostList(Balancer *this, const HostEntry *entries,
                         size_t count);

/** Balancer_SetHosts() - live balancer hosts, this one at index @own */
void Balancer_SetHosts(Balancer *this, const Str *hosts, size_t count,
                       size_t own);

/**
 * Balancer_OnRequest() - a header block is there
 *
 * Return: the id of the request; it lives until ANSWER, REPLAY, ABORT,
 * Balancer_OnCallerDisconnect() or an end with EXCHANGE_STEP_FINISH.
 */
uint64_t Balancer_OnRequest(Balancer *this, const RequestInfo *info);

/**
 * Balancer_OnBody() - enough of the body is there to decide
 * @digest: digest of the body, or of its first part and its length
 */
void Balancer_OnBody(Balancer *this, uint64_t request, uint64_t digest);

/** Balancer_OnResponseHead() - an upstream's header block is there */
BalancerRelay Balancer_OnResponseHead(Balancer *this, uint64_t request,
                                      const ResponseHead *head);

/**
 * Balancer_OnAttemptEnd() - an attempt ended
 * @response: whole answer in the shell's encoding, to be kept for resends of
 *          the key; empty if there is none or it is too large
 */
ExchangeStep Balancer_OnAttemptEnd(Balancer *this, uint64_t request,
                                   AttemptEnd end, Str response);

/** Balancer_OnTimeout() - the attempt's timeout passed */
void Balancer_OnTimeout(Balancer *this, uint64_t request);

/**
 * Balancer_OnCallerDisconnect() - nobody waits for the request any more
 *
 * A claimed request that an upstream runs goes on, so that a resend of the
 * key gets its answer; any other attempt is cancelled.
 *
 * Return: true if the attempt goes on and its events are still wanted.
 */
bool Balancer_OnCallerDisconnect(Balancer *this, uint64_t request);

/** Balancer_OnTick() - let time pass; call every 5 ms or more often */
void Balancer_OnTick(Balancer *this);

/** Balancer_OnSlotsChanged() - a peer's message made a slot usable */
void Balancer_OnSlotsChanged(Balancer *this, uint32_t service);

/** Balancer_NextAction() - take the next action; false if there is none */
bool Balancer_NextAction(Balancer *this, BalancerAction *action);

/** Balancer_RequestOutcome() - outcome word for an answer that is relayed now */
Outcome Balancer_RequestOutcome(const Balancer *this, uint64_t request,
                                int status);

/** Balancer_OpenRequests() - requests that are not over */
size_t Balancer_OpenRequests(const Balancer *this);

/** Accessors for the parts whose messages and reports the shell carries */
Router *Balancer_Router(Balancer *this);
Admission *Balancer_Admission(Balancer *this);
Quarantine *Balancer_Quarantine(Balancer *this);
Claims *Balancer_Claims(Balancer *this);
Directory *Balancer_Directory(Balancer *this);
NameTable *Balancer_Services(Balancer *this);
NameTable *Balancer_Lines(Balancer *this);

/**
 * Balancer_OnClaimAction() - a CLAIM_DISPATCH or CLAIM_ANSWER of
 * Balancer_Claims(), which the shell drains
 */
void Balancer_OnClaimAction(Balancer *this, const ClaimAction *action);

/** LoadReport_Parse() - read an agatecrank-load header; 0 or ERR_PARSE */
int LoadReport_Parse(Str text, LoadReport *report);

#endif
