#ifndef AGATECRANK_CORE_CLAIMS_H
#define AGATECRANK_CORE_CLAIMS_H

#include "ClaimRecord.h"
#include "Clock.h"

/**
 * typedef Claims - runs each request with an idempotency key at most once
 *
 * A host runs a request only after it has read its own claim back from the
 * log as the first claim for the key. Callers feed in requests, log records
 * and messages, and must take all actions with Claims_NextAction() after
 * every call. No call blocks.
 *
 * Claims are written to claims streams of the log, one for each partition of
 * the keys. Each partition has a collector, a host that appends the claims of
 * all hosts in batches, and a backup collector. A host that does not read its
 * claim back in time also appends the claim itself, a direct append. A marker
 * is a record without claims. A gap is a range of records that this host could
 * not read, because the log no longer has them. A key without a known claim is
 * unclaimed only if the time inside it is not below the floor of its
 * partition, see ClaimTable.
 *
 * Keys that a host has issued need no claim: the issuer runs the request
 * itself, or grants the key to the first host that queries it.
 */
typedef struct Claims_ Claims;

/** enum ClaimOutcome_ - values of the agatecrank-outcome header for a key */
typedef enum ClaimOutcome_ {
    CLAIM_NOT_RUN, /* has not run and never will */
    CLAIM_RAN,     /* has run */
    CLAIM_UNKNOWN, /* may have run */
} ClaimOutcome;

/** enum ClaimsFault_ - faults injected by tests, which must detect them */
typedef enum ClaimsFault_ {
    CLAIMS_FAULT_NONE,
    CLAIMS_FAULT_RUN_ON_APPEND,   /* runs when the append is acknowledged */
    CLAIMS_FAULT_RUN_ANY_CLAIM,   /* runs its claim if it is not the first */
    CLAIMS_FAULT_IGNORE_GAP,      /* does not raise the floor after a gap */
    CLAIMS_FAULT_NO_MARGIN,       /* raises the floor without the margin */
    CLAIMS_FAULT_KEEP_FLOOR,      /* forgets keys without raising the floor */
    CLAIMS_FAULT_ANY_INCARNATION, /* accepts claims of other incarnations */
    CLAIMS_FAULT_RUN_ABANDONED,   /* runs a claim that it has abandoned */
    CLAIMS_FAULT_EARLY_NOT_RUN,   /* answers not-run before the read-back */
    CLAIMS_FAULT_OUTAGE_NOT_RUN,  /* answers not-run during a log outage */
    CLAIMS_FAULT_UNREACHABLE_NOT_RUN, /* answers not-run without a reply */
    CLAIMS_FAULT_IGNORE_DIGEST,       /* does not compare request digests */
    CLAIMS_FAULT_ISSUED_ANYWHERE,     /* runs issued keys without a grant */
    CLAIMS_FAULT_UNSCOPED_KEYS,       /* leaves the caller out of the key */
    CLAIMS_FAULT_REFUSED_AS_RAN,      /* records a refused request as ran */
    CLAIMS_FAULT_COUNT,
} ClaimsFault;

/**
 * struct ClaimsOptions_ - settings; start from ClaimsOptions_Default()
 * @host: name of this host, copied; at most CLAIM_HOST_MAX_BYTES letters,
 *        digits, "-", "." and "_"
 * @incarnation: never used before by this host name (time and random bits)
 * @partitions: number of claims streams, the same on all hosts
 * @remembered_keys: maximum of the keys remembered from the log, all
 *                   partitions together
 * @issued_keys: maximum of the remembered keys that this host issued or was
 *               granted
 * @answer_bytes: memory for the responses of finished requests
 * @answer_limit: longest response kept, in bytes
 * @key_retention: age after which keys are forgotten, in microseconds
 * @gap_margin: added to the append time of the first record read after a
 *              gap, in microseconds; must be at least CLAIM_FUTURE_MAX_MS,
 *              and the excess tolerates a log clock that steps back
 * @collector_rate: appends/s of the collectors of all partitions together
 * @backup_collector_rate: appends/s of a host that receives claims although
 *                         it is not the collector
 * @direct_rate: appends/s of the direct appends of all hosts together
 * @claim_timeout: time after which a claim that was not read back is sent to
 *                 the backup collector and appended by the host itself
 * @marker_interval: time without a record after which a stream gets a marker
 * @use_collector: false if each host appends its own claims; benchmarks
 *                 compare the two
 * @fault: fault injected by tests
 */
typedef struct ClaimsOptions_ {
    Str host;
    uint64_t incarnation;
    uint32_t partitions;
    size_t remembered_keys;
    size_t issued_keys;
    size_t answer_bytes;
    size_t answer_limit;
    Micros key_retention;
    Micros gap_margin;
    double collector_rate;
    double backup_collector_rate;
    double direct_rate;
    Micros claim_timeout;
    Micros marker_interval;
    bool use_collector;
    ClaimsFault fault;
} ClaimsOptions;

/**
 * struct ClaimRequest_ - a non-idempotent request with a key
 * @line: product line of the caller
 * @caller: name of the authenticated caller
 * @key: text of the idempotency-key header
 * @digest: digest of method, target and body
 * @deadline: monotonic time after which the request must not start
 */
typedef struct ClaimRequest_ {
    Str line;
    Str caller;
    Str key;
    uint64_t digest;
    Micros deadline;
} ClaimRequest;

/**
 * struct ClaimAnswer_ - final answer to the caller
 * @outcome: value of the agatecrank-outcome header
 * @status: HTTP status; 0 if @answer holds the first response
 * @reason: value of the agatecrank-reason header
 * @retry_after: delay before a retry with the same key, in microseconds; 0
 *               if a retry cannot get another answer
 * @answer: response given to Claims_OnFinished(); valid until the next call
 */
typedef struct ClaimAnswer_ {
    ClaimOutcome outcome;
    int status;
    const char *reason;
    Micros retry_after;
    Str answer;
} ClaimAnswer;

/** enum ClaimStateKind_ - decision of Claims_Begin() */
typedef enum ClaimStateKind_ {
    CLAIM_STATE_WAIT,     /* a CLAIM_DISPATCH or CLAIM_ANSWER action follows */
    CLAIM_STATE_DISPATCH, /* run it, then call Claims_OnFinished() */
    CLAIM_STATE_ANSWER,   /* send @answer to the caller */
} ClaimStateKind;

typedef struct ClaimState_ {
    ClaimStateKind kind;
    ClaimAnswer answer;
} ClaimState;

/**
 * struct ClaimSubmit_ - message with claims for a collector to append
 * @claims: at most CLAIM_RECORD_ITEMS_MAX
 */
typedef struct ClaimSubmit_ {
    uint32_t partition;
    const Claim *claims;
    size_t n;
} ClaimSubmit;

/**
 * struct ClaimOutcomeQuery_ - message that queries a host for a key's state
 * @number: echoed in the reply
 * @key: hash of the key, its line and its caller
 * @digest: digest of the request
 * @key_time_ms: time inside the key, milliseconds since 1970
 * @from: host that sends the query, from the message envelope
 * @from_incarnation: its incarnation, from the envelope
 * @holder_incarnation: incarnation that holds or issued the key
 * @issued: the receiver issued the key and may grant it to @from
 */
typedef struct ClaimOutcomeQuery_ {
    uint64_t number;
    KeyHash key;
    uint64_t digest;
    uint64_t key_time_ms;
    Str from;
    uint64_t from_incarnation;
    uint64_t holder_incarnation;
    bool issued;
} ClaimOutcomeQuery;

/** enum ClaimReplyState_ - state of a key in the reply to a query */
typedef enum ClaimReplyState_ {
    CLAIM_REPLY_PENDING, /* not decided or running; query again later */
    CLAIM_REPLY_NOT_RUN, /* has not run and never will */
    CLAIM_REPLY_RAN,     /* has run; the response is attached if kept */
    CLAIM_REPLY_UNKNOWN, /* may have run, or is no longer remembered */
    CLAIM_REPLY_REUSED,  /* the key was used for another request */
    CLAIM_REPLY_INCARNATION_ENDED, /* the queried incarnation has ended */
    CLAIM_REPLY_GRANTED,  /* issued key: the querying host may run it */
    CLAIM_REPLY_REDIRECT, /* issued key: granted to @holder, query it */
} ClaimReplyState;

/**
 * struct ClaimOutcomeReply_ - reply to a query
 * @number: of the query
 * @to_incarnation: incarnation that sent the query; others drop the reply
 * @holder: host that holds the grant, for CLAIM_REPLY_REDIRECT
 * @answer: for CLAIM_REPLY_RAN, empty if no longer kept
 * @has_answer: true if @answer is the first response
 */
typedef struct ClaimOutcomeReply_ {
    uint64_t number;
    KeyHash key;
    uint64_t to_incarnation;
    ClaimReplyState state;
    Str holder;
    uint64_t holder_incarnation;
    Str answer;
    bool has_answer;
} ClaimOutcomeReply;

/** enum ClaimActionKind_ - action that the caller of Claims must take */
typedef enum ClaimActionKind_ {
    CLAIM_APPEND,   /* append the record to the stream of its partition */
    CLAIM_SUBMIT,   /* send submit to host */
    CLAIM_DISPATCH, /* run the request, unless its deadline has passed */
    CLAIM_ANSWER,   /* send the final answer to the caller */
    CLAIM_QUERY,    /* send query to host */
    CLAIM_REPLY,    /* send reply to host */
} ClaimActionKind;

/**
 * struct ClaimAction_ - action; its strings are valid until the next call
 * @host: receiver of submit, query and reply
 * @request_id: request to dispatch or to answer
 */
typedef struct ClaimAction_ {
    ClaimActionKind kind;
    Str host;
    uint64_t request_id;
    union {
        struct {
            uint64_t id; /* for Claims_OnAppendResult() */
            uint32_t partition;
            Str record;
        } append;
        ClaimSubmit submit;
        ClaimAnswer answer;
        ClaimOutcomeQuery query;
        ClaimOutcomeReply reply;
    };
} ClaimAction;

/** struct ClaimLogRecord_ - one record read from a claims stream */
typedef struct ClaimLogRecord_ {
    uint64_t offset;
    uint64_t time_ms; /* append time of the log service */
    Str record;
} ClaimLogRecord;

/**
 * struct ClaimLogRead_ - a successful read of a claims stream
 * @log_first: oldest offset kept (header log-first)
 * @log_next: offset of the next append (header log-next)
 */
typedef struct ClaimLogRead_ {
    uint32_t partition;
    uint64_t log_first;
    uint64_t log_next;
    const ClaimLogRecord *records;
    size_t n;
} ClaimLogRead;

/**
 * struct ClaimsCounters_ - totals since Claims_Create()
 * @begun: calls of Claims_Begin()
 * @dispatched: requests dispatched
 * @answered: answers given by actions
 * @abandoned: keys whose requests ended before a dispatch
 * @collector_appends: appends as collector or backup collector
 * @direct_appends: appends of own overdue claims
 * @markers: appends of markers
 * @append_failures: appends that were not confirmed
 * @records: records read
 * @bad_records: records that could not be decoded completely
 * @void_claims: claims with a key time too far ahead or in a wrong stream
 * @gaps: gaps found while reading
 * @resubmits: claims submitted again after a timeout
 * @queries: queries sent
 * @replies: replies sent
 * @grants: issued keys granted to other hosts
 * @collector_overflow: received claims dropped because the queue was full
 */
typedef struct ClaimsCounters_ {
    uint64_t begun, dispatched, answered, abandoned;
    uint64_t collector_appends, direct_appends, markers, append_failures;
    uint64_t records, bad_records, void_claims, gaps, resubmits;
    uint64_t queries, replies, grants, collector_overflow;
} ClaimsCounters;

/** ClaimsOptions_Default() - default settings; @host is borrowed */
ClaimsOptions ClaimsOptions_Default(Str host, uint64_t incarnation);

/** Claims_Create() - copies @options; @clock is borrowed */
Claims *Claims_Create(const ClaimsOptions *options, const Clock *clock);
void Claims_Destroy(Claims *this);

/**
 * Claims_SetHosts() - set the live balancer hosts, this one included
 *
 * The list determines the collectors and each host's share of the direct
 * appends. Outcomes stay correct if the lists of hosts differ.
 */
void Claims_SetHosts(Claims *this, const Str *hosts, size_t n);

/**
 * Claims_Begin() - start deciding whether a request may run
 * @request_id: chosen by the caller, unique while the request lasts
 *
 * After CLAIM_STATE_ANSWER the request id may be used again.
 */
ClaimState Claims_Begin(Claims *this, const ClaimRequest *request,
                        uint64_t request_id);

/**
 * Claims_Cancel() - cancel a request whose caller has disconnected
 *
 * Return: 0, or ERR_NOT_FOUND if the request is not waiting. A request that
 * was dispatched still needs Claims_OnFinished().
 */
int Claims_Cancel(Claims *this, uint64_t request_id);

/**
 * Claims_OnFinished() - a dispatched request has ended
 * @outcome: CLAIM_NOT_RUN only if it is certain that no upstream ran it
 * @answer: response to keep for retries, opaque
 */
void Claims_OnFinished(Claims *this, uint64_t request_id, ClaimOutcome outcome,
                       Str answer);

/** Claims_ReadFrom() - offset at which the next read of @partition starts */
uint64_t Claims_ReadFrom(const Claims *this, uint32_t partition);

/**
 * Claims_ReadWait() - longest time that the next read may wait for records
 * @longest: wait of a read in normal operation
 *
 * Return: @longest, or 0 at the start and after a failed read, because keys
 * are refused until a read succeeds, even one that returns no records.
 */
Micros Claims_ReadWait(const Claims *this, uint32_t partition, Micros longest);

/** Claims_OnRecords() - a read succeeded, possibly without records */
void Claims_OnRecords(Claims *this, const ClaimLogRead *read);

/** Claims_OnReadFailed() - a read failed or timed out */
void Claims_OnReadFailed(Claims *this, uint32_t partition);

/**
 * Claims_OnAppendResult() - a CLAIM_APPEND action has ended
 * @code: 0, or a negative error if the append was not confirmed; ERR_TIMEOUT
 *        does not count as an outage of the log
 */
void Claims_OnAppendResult(Claims *this, uint64_t append_id, int code);

/** Claims_OnSubmit() - queue claims of another host for an append */
void Claims_OnSubmit(Claims *this, const ClaimSubmit *submit);

/** Claims_OnQuery() - reply to a query of another host */
void Claims_OnQuery(Claims *this, const ClaimOutcomeQuery *query);

/** Claims_OnReply() - apply the reply of the host @from to a query */
void Claims_OnReply(Claims *this, Str from, const ClaimOutcomeReply *reply);

/** Claims_OnTick() - run the timers; call at Claims_NextTick() or earlier */
void Claims_OnTick(Claims *this);

/** Claims_NextTick() - monotonic time at which a tick is due next */
Micros Claims_NextTick(const Claims *this);

/** Claims_NextAction() - remove the next action; false if there is none */
bool Claims_NextAction(Claims *this, ClaimAction *action);

/**
 * Claims_IssueKey() - make a key that only this incarnation can grant
 * @random: two random words
 * @out: buffer of IDEMPOTENCY_KEY_MAX_BYTES + 1 bytes
 *
 * Return: length of the text or ERR_LIMIT.
 */
int Claims_IssueKey(const Claims *this, const uint64_t random[2], char *out);

/** Claims_LogUsable() - false while unclaimed keys of callers are refused */
bool Claims_LogUsable(const Claims *this, uint32_t partition);

/** Claims_Counters() - totals since Claims_Create() */
const ClaimsCounters *Claims_Counters(const Claims *this);

/** Claims_RememberedKeys() - keys remembered from the log */
size_t Claims_RememberedKeys(const Claims *this);

/** Claims_RememberedBytes() - memory of the remembered keys, in bytes */
size_t Claims_RememberedBytes(const Claims *this);

/** Claims_Describe() - append the state of requests and keys as text */
void Claims_Describe(const Claims *this, GString *out);

#endif
