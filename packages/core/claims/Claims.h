#ifndef AGATECRANK_CORE_CLAIMS_H
#define AGATECRANK_CORE_CLAIMS_H

#include "ClaimRecord.h"
#include "Clock.h"

/**
 * typedef Claims - makes each keyed request run at most once
 *
 * A host runs a request only after it has read its own claim back from the
 * log as the first for the key. Calls go in; actions come out and must be
 * drained with Claims_NextAction() after every call. No call blocks.
 */
typedef struct Claims_ Claims;

/** enum ClaimOutcome - the words of agatecrank-outcome; about the key */
typedef enum ClaimOutcome_ {
    CLAIM_NOT_RUN,
    CLAIM_RAN,
    CLAIM_UNKNOWN,
} ClaimOutcome;

/** enum ClaimsFault - faults that tests plant; CLAIMS_FAULT_NONE otherwise */
typedef enum ClaimsFault_ {
    CLAIMS_FAULT_NONE,
    CLAIMS_FAULT_RUN_ON_APPEND,   /* runs when the append is acknowledged */
    CLAIMS_FAULT_RUN_ANY_CLAIM,   /* runs its own claim if it is not first */
    CLAIMS_FAULT_IGNORE_GAP,      /* a gap leaves the window as it is */
    CLAIMS_FAULT_NO_MARGIN,       /* the window starts at the first record */
    CLAIMS_FAULT_KEEP_FLOOR,      /* forgets keys without moving the window */
    CLAIMS_FAULT_ANY_INCARNATION, /* takes an earlier life's claim for its */
    CLAIMS_FAULT_RUN_ABANDONED,   /* runs a claim that it has abandoned */
    CLAIMS_FAULT_EARLY_NOT_RUN,   /* not-run before its claim was read back */
    CLAIMS_FAULT_OUTAGE_NOT_RUN,  /* not-run during a log outage */
    CLAIMS_FAULT_UNREACHABLE_NOT_RUN, /* not-run if the holder does not answer */
    CLAIMS_FAULT_IGNORE_DIGEST,       /* hands an answer to another body */
    CLAIMS_FAULT_ISSUED_ANYWHERE,     /* runs issued keys without the issuer */
    CLAIMS_FAULT_UNSCOPED_KEYS,       /* the same key of two callers is one */
    CLAIMS_FAULT_REFUSED_AS_RAN,      /* remembers a refused request as run */
    CLAIMS_FAULT_COUNT,
} ClaimsFault;

/**
 * struct ClaimsOptions_ - settings; start from ClaimsOptions_Default()
 * @host: name of this host, copied; at most CLAIM_HOST_MAX_BYTES letters, digits,
 *        "-", "." and "_"
 * @incarnation: never used before by this host name (time and random bits)
 * @partitions: number of claims streams, the same on all hosts
 * @remembered_keys: keys remembered from the log, all partitions together
 * @issued_keys: keys issued here or granted to this host that are remembered
 * @answer_bytes: memory for finished answers
 * @answer_limit: largest answer kept, in bytes
 * @key_retention: age after which keys are forgotten, in microseconds
 * @gap_margin: added to the time of the first record read after a gap; at least
 *          CLAIM_FUTURE_MAX_MS; the rest covers a log clock that steps back
 * @collector_rate: appends/s of the collectors of all partitions together
 * @backup_collector_rate: appends/s of a host that is sent claims although it is
 *                   not the collector
 * @direct_rate: appends/s of the direct appends of all hosts together
 * @claim_timeout: time after which a claim that was not read back is appended by
 *           the host itself
 * @marker_interval: a stream without a record for this long gets a marker
 * @use_collector: false if each host appends its own claims (for comparison)
 * @fault: for tests only
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
 * struct ClaimAnswer_ - what to tell the caller
 * @outcome: outcome word
 * @status: HTTP status; 0 if @answer holds the first response
 * @reason: stable word for agatecrank-reason
 * @retry_after: 0 if a resend of this key is of no use
 * @answer: as given to Claims_OnFinished(); valid until the next call
 */
typedef struct ClaimAnswer_ {
    ClaimOutcome outcome;
    int status;
    const char *reason;
    Micros retry_after;
    Str answer;
} ClaimAnswer;

/** enum ClaimStateKind - what Claims_Begin() decided */
typedef enum ClaimStateKind_ {
    CLAIM_STATE_WAIT,     /* CLAIM_DISPATCH or CLAIM_ANSWER follows */
    CLAIM_STATE_DISPATCH, /* run it now, then call Claims_OnFinished() */
    CLAIM_STATE_ANSWER,   /* tell the caller @answer */
} ClaimStateKind;

typedef struct ClaimState_ {
    ClaimStateKind kind;
    ClaimAnswer answer;
} ClaimState;

/**
 * struct ClaimSubmit_ - claims for the collector of a partition
 * @claims: at most CLAIM_RECORD_ITEMS_MAX
 */
typedef struct ClaimSubmit_ {
    uint32_t partition;
    const Claim *claims;
    size_t n;
} ClaimSubmit;

/**
 * struct ClaimOutcomeQuery_ - asks a host for the state of a key
 * @number: echoed in the reply
 * @from: host that asks, from the message envelope
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

/** enum ClaimReplyState - what a holder says of a key */
typedef enum ClaimReplyState_ {
    CLAIM_REPLY_PENDING, /* not decided or running: ask again later */
    CLAIM_REPLY_NOT_RUN, /* has not run and never will */
    CLAIM_REPLY_RAN,     /* ran; answer is given if still held */
    CLAIM_REPLY_UNKNOWN, /* may have run, or no longer remembered */
    CLAIM_REPLY_REUSED,  /* the key belongs to another body */
    CLAIM_REPLY_INCARNATION_ENDED, /* that incarnation has ended */
    CLAIM_REPLY_GRANTED,  /* issued key: the host that asks may run it */
    CLAIM_REPLY_REDIRECT, /* issued key: granted to @holder, ask there */
} ClaimReplyState;

/**
 * struct ClaimOutcomeReply_ - reply to a query
 * @number: of the query
 * @to_incarnation: incarnation that asked; others drop the reply
 * @holder: for CLAIM_REPLY_REDIRECT
 * @answer: for CLAIM_REPLY_RAN, empty if no longer held
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

/** enum ClaimActionKind - what the owner of the Claims has to do */
typedef enum ClaimActionKind_ {
    CLAIM_APPEND,   /* append record to the partition's stream */
    CLAIM_SUBMIT,   /* send submit to host */
    CLAIM_DISPATCH, /* run the request, unless its deadline has passed */
    CLAIM_ANSWER,   /* give the caller the final answer */
    CLAIM_QUERY,    /* send query to host */
    CLAIM_REPLY,    /* send reply to host */
} ClaimActionKind;

/**
 * struct ClaimAction_ - tagged union; strings are valid until the next call
 * @host: receiver of submit, query and reply
 * @request_id: for dispatch and answer
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

/** struct ClaimLogRecord_ - one record as read from a claims stream */
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

/** struct ClaimsCounters_ - totals since creation */
typedef struct ClaimsCounters_ {
    uint64_t begun, dispatched, answered, abandoned;
    uint64_t collector_appends, direct_appends, markers, append_failures;
    uint64_t records, bad_records, void_claims, gaps, resubmits;
    uint64_t queries, replies, grants, collector_overflow;
} ClaimsCounters;

ClaimsOptions ClaimsOptions_Default(Str host, uint64_t incarnation);

/** Claims_Create() - copies @options; @clock is borrowed */
Claims *Claims_Create(const ClaimsOptions *options, const Clock *clock);
void Claims_Destroy(Claims *this);

/**
 * Claims_SetHosts() - live balancer hosts, this one included
 *
 * They choose the collector and divide the direct appends; no outcome
 * depends on them.
 */
void Claims_SetHosts(Claims *this, const Str *hosts, size_t n);

/**
 * Claims_Begin() - ask whether a request may run
 * @request_id: chosen by the caller, unique while the request lasts
 *
 * For CLAIM_STATE_ANSWER the request id is free again at once.
 */
ClaimState Claims_Begin(Claims *this, const ClaimRequest *request,
                        uint64_t request_id);

/**
 * Claims_Cancel() - the caller has gone before dispatch
 *
 * Return: 0, or ERR_NOT_FOUND if the request does not wait (then a
 * dispatched request still needs Claims_OnFinished()).
 */
int Claims_Cancel(Claims *this, uint64_t request_id);

/**
 * Claims_OnFinished() - a dispatched request has ended
 * @outcome: CLAIM_NOT_RUN only by the rules of the outcome words
 * @answer: response to keep for resends, opaque
 */
void Claims_OnFinished(Claims *this, uint64_t request_id, ClaimOutcome outcome,
                       Str answer);

/** Claims_ReadFrom() - offset from which to read the partition next */
uint64_t Claims_ReadFrom(const Claims *this, uint32_t partition);

/**
 * Claims_ReadWait() - how long the next read may wait for records
 * @longest: wait of a read in normal operation
 *
 * Return: @longest, or 0 at the start and after a failed read, because keys
 * are refused until a result is in, also if the stream has nothing new.
 */
Micros Claims_ReadWait(const Claims *this, uint32_t partition, Micros longest);

/** Claims_OnRecords() - result of a read, also one without records */
void Claims_OnRecords(Claims *this, const ClaimLogRead *read);

/** Claims_OnReadFailed() - a read failed or timed out */
void Claims_OnReadFailed(Claims *this, uint32_t partition);

/** Claims_OnAppendResult() - @code is 0, or negative if not confirmed */
void Claims_OnAppendResult(Claims *this, uint64_t append_id, int code);

/** Claims_OnSubmit() - another host's claims, for this host to append */
void Claims_OnSubmit(Claims *this, const ClaimSubmit *submit);

/** Claims_OnQuery() - another host asks about a key */
void Claims_OnQuery(Claims *this, const ClaimOutcomeQuery *query);

/** Claims_OnReply() - reply of the host @from to a query of this host */
void Claims_OnReply(Claims *this, Str from, const ClaimOutcomeReply *reply);

/** Claims_OnTick() - let time pass; call at Claims_NextTick() or often */
void Claims_OnTick(Claims *this);

/** Claims_NextTick() - monotonic time at which a tick is due next */
Micros Claims_NextTick(const Claims *this);

/** Claims_NextAction() - take the next action; false if there is none */
bool Claims_NextAction(Claims *this, ClaimAction *action);

/**
 * Claims_IssueKey() - make a key that only this incarnation can award
 * @random: two random words
 * @out: room for IDEMPOTENCY_KEY_MAX + 1 bytes
 *
 * Return: length of the text or ERR_LIMIT.
 */
int Claims_IssueKey(const Claims *this, const uint64_t random[2], char *out);

/** Claims_LogUsable() - false while caller keys are refused */
bool Claims_LogUsable(const Claims *this, uint32_t partition);

/** Claims_Counters() - totals since creation */
const ClaimsCounters *Claims_Counters(const Claims *this);

/** Claims_RememberedKeys() - keys remembered from the log */
size_t Claims_RememberedKeys(const Claims *this);

/** Claims_RememberedBytes() - memory of these keys */
size_t Claims_RememberedBytes(const Claims *this);

/** Claims_Describe() - state of open requests and keys, for diagnosis */
void Claims_Describe(const Claims *this, GString *out);

#endif
