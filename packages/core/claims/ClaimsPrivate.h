#ifndef AGATECRANK_CORE_CLAIMSPRIVATE_H
#define AGATECRANK_CORE_CLAIMSPRIVATE_H

#include "AnswerCache.h"
#include "ClaimActions.h"
#include "ClaimBatcher.h"
#include "ClaimPending.h"
#include "ClaimTable.h"
#include "Claims.h"

/* Limits of the requests that wait for one key and of the pending keys. */
#define WAITERS_PER_KEY_MAX 64
#define PENDING_KEYS_MAX 50000
/* Time between two queries for one key, doubled up to the maximum. */
#define QUERY_INTERVAL_US (50 * MICROS_PER_MS)
#define QUERY_INTERVAL_MAX_US MICROS_PER_S
/* Longest time between two submissions of one claim. */
#define RESUBMIT_INTERVAL_MAX_US (4 * MICROS_PER_S)
/* Time after a claim timeout in which new claims also go to the backup
 * collector. */
#define BACKUP_COLLECTOR_US (2 * MICROS_PER_S)
/* Mean time between the markers by which a host probes a failing log. */
#define APPEND_PROBE_INTERVAL_US (5 * MICROS_PER_S)
/* Failing reads count as an outage after this time, so that one closed
 * connection does not cause refusals. */
#define READ_OUTAGE_DELAY_US (250 * MICROS_PER_MS)
/* Retry-After of refusals that may be temporary: in normal operation and
 * while the log is unusable. */
#define RETRY_AFTER_US MICROS_PER_S
#define RETRY_AFTER_OUTAGE_US (5 * MICROS_PER_S)

/**
 * struct Partition_ - one claims stream as read by this host
 * @next_offset: offset expected next
 * @started: a read has succeeded
 * @in_gap: records were missed and none has been read since; a key that is
 *          absent from the table may then have been claimed
 * @newest_ms: latest append time read
 * @last_record_time: monotonic time of the newest record
 * @read_up: the last read succeeded
 * @read_down_since: time of the first failure since the last success
 * @append_up: no append has failed, other than by a timeout, since the last
 *             confirmed append or the last record read
 * @next_marker: monotonic time before which no marker is due
 * @backup_until: until then new claims also go to the backup collector
 * @table: keys claimed in this stream
 * @collector: claims that this host appends as collector
 * @direct: own overdue claims that this host appends itself
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
    Micros backup_until;
    ClaimTable *table;
    ClaimBatcher *collector;
    ClaimBatcher *direct;
} Partition;

struct Claims_ {
    ClaimsOptions options;
    const Clock *clock;
    GString *host;
    GPtrArray *hosts; /* live hosts in the order given, GString */
    ClaimHolders *holders;
    Partition *partitions;
    ClaimTable *issued; /* keys issued here or granted to this host */
    AnswerCache *answers;
    PendingSet *pending;
    ClaimActions *actions;
    GHashTable *appends; /* append id -> index of the partition + 1 */
    uint64_t next_append;
    uint64_t next_number; /* of claims and queries */
    /* Another process has the identity of this one, or a host uses another
     * number of partitions. */
    bool disabled;
    ClaimsCounters counters;
};

/* Claims.c */
Str Claims_Host(const Claims *this);
bool Claims_IsLive(const Claims *this, Str host);
/* True if this incarnation holds the key. */
bool Claims_HoldsEntry(const Claims *this, const ClaimEntry *entry);
void Claims_AnswerOne(Claims *this, uint64_t request_id,
                      const ClaimAnswer *answer);
void Claims_AnswerAll(Claims *this, Pending *pending,
                      const ClaimAnswer *answer);
/* Dispatches a request of a key that only this host may run. */
void Claims_Dispatch(Claims *this, Pending *pending, ClaimTable *table);
/* Queries the host that holds or issued the key. */
void Claims_QueryHolder(Claims *this, Pending *pending, Str holder,
                        uint64_t incarnation);
ClaimAnswer Claims_AnswerForEntry(const Claims *this, const ClaimEntry *entry);
/* Records the outcome of the key and answers the waiting requests. */
void Claims_Finish(Claims *this, Pending *pending, ClaimOutcome outcome,
                   Str answer);
ClaimTable *Claims_TableForKey(Claims *this, const Pending *pending);
ClaimAnswer Claims_MakeAnswer(ClaimOutcome outcome, int status,
                              const char *reason, Micros retry_after);

/* ClaimsLog.c */
void Claims_Submit(Claims *this, Pending *pending);
/* Appends/s that this host may make as collector of the partition. */
double Claims_CollectorRate(const Claims *this, uint32_t partition);
/* Appends the queued claims and due markers that the rates allow. */
void Claims_FlushAppends(Claims *this);
/* Resubmits a claim that was not read back in time. */
void Claims_RetryClaim(Claims *this, Pending *pending, Micros now);
Micros Claims_NextLogTick(const Claims *this);

/* ClaimsPeer.c */
void Claims_SendQuery(Claims *this, Pending *pending);

#endif
