#ifndef AGATECRANK_CORE_CLAIMSPRIVATE_H
#define AGATECRANK_CORE_CLAIMSPRIVATE_H

#include "AnswerCache.h"
#include "ClaimActions.h"
#include "ClaimBatcher.h"
#include "ClaimPending.h"
#include "ClaimTable.h"
#include "Claims.h"

/* Requests that may wait on one key, and keys with open requests. */
#define WAITERS_PER_KEY_MAX 64
#define PENDING_KEYS_MAX 50000
/* Time between two queries for one key: doubled up to the maximum. */
#define QUERY_INTERVAL_US (50 * MICROS_PER_MS)
#define QUERY_INTERVAL_MAX_US MICROS_PER_S
/* A claim is resubmitted at most this seldom. */
#define RESUBMIT_INTERVAL_MAX_US (4 * MICROS_PER_S)
/* After an overdue claim, the collector is doubted for this long. */
#define BACKUP_COLLECTOR_US (2 * MICROS_PER_S)
/* While appends fail, each host tries a marker about this often. */
#define APPEND_PROBE_INTERVAL_US (5 * MICROS_PER_S)
/* Failing reads count as an outage after this long, so that one broken
 * connection does not refuse requests. */
#define READ_OUTAGE_DELAY_US (250 * MICROS_PER_MS)
/* Retry-After of refusals that a resend may get past. */
#define RETRY_AFTER_US MICROS_PER_S
#define RETRY_AFTER_OUTAGE_US (5 * MICROS_PER_S)

/**
 * struct Partition_ - one claims stream as read by this host
 * @next_offset: offset expected next
 * @started: a read has succeeded
 * @in_gap: records were missed and none has been read since; then nothing
 *         can be said of absent keys
 * @newest_ms: greatest append time read
 * @last_record_time: monotonic time of the newest record
 * @read_up: the last read succeeded
 * @read_down_since: time of the first failure since the last success
 * @append_up: no append has failed since the last one that took effect
 */
typedef struct Partition_ {
    uint64_t next_offset;
    bool started;
    bool in_gap;
    uint64_t newest_ms;
    Micros last_record_time;
    bool read_up;
    Micros read_down_since;
    bool append_up;
    Micros next_marker;
    Micros backup_until; /* claims go to the collector's substitute too */
    ClaimTable *table;
    ClaimBatcher *collector;
    ClaimBatcher *direct;
} Partition;

struct Claims_ {
    ClaimsOptions options;
    const Clock *clock;
    GString *host;
    GPtrArray *hosts; /* GString, live hosts in the order given */
    ClaimHolders *holders;
    Partition *partitions;
    ClaimTable *issued;
    AnswerCache *answers;
    PendingSet *pending;
    ClaimActions *actions;
    GHashTable *appends; /* append id -> partition + 1 */
    uint64_t next_append;
    uint64_t next_number;
    bool disabled; /* another host acts under this name or other partitions */
    ClaimsCounters counters;
};

/* Claims.c */
Str Claims_Host(const Claims *this);
bool Claims_IsLive(const Claims *this, Str host);
bool Claims_HoldsEntry(const Claims *this, const ClaimEntry *entry);
void Claims_AnswerOne(Claims *this, uint64_t request_id,
                      const ClaimAnswer *answer);
void Claims_AnswerAll(Claims *this, Pending *pending,
                      const ClaimAnswer *answer);
void Claims_Dispatch(Claims *this, Pending *pending, ClaimTable *table);
void Claims_QueryHolder(Claims *this, Pending *pending, Str holder,
                        uint64_t incarnation);
ClaimAnswer Claims_AnswerForEntry(const Claims *this, const ClaimEntry *entry);
/* Ends the request that runs for the key; answers those that wait. */
void Claims_Finish(Claims *this, Pending *pending, ClaimOutcome outcome,
                   Str answer);
ClaimTable *Claims_TableForKey(Claims *this, const Pending *pending);
ClaimAnswer Claims_MakeAnswer(ClaimOutcome outcome, int status,
                              const char *reason, Micros retry_after);

/* ClaimsLog.c */
void Claims_Submit(Claims *this, Pending *pending);
double Claims_CollectorRate(const Claims *this, uint32_t partition);
void Claims_FlushAppends(Claims *this);
void Claims_RetryClaim(Claims *this, Pending *pending, Micros now);
Micros Claims_NextLogTick(const Claims *this);

/* ClaimsPeer.c */
void Claims_SendQuery(Claims *this, Pending *pending);

#endif
