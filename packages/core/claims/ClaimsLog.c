#include <string.h>

#include "ClaimsPrivate.h"

/* Distinct seeds for the two uses of hashed host names. */
#define COLLECTOR_SEED 0x636f6c6c65637400
#define JITTER_SEED 0x6a69747465720000

static Claim
make_claim(const Claims *this, const Pending *pending)
{
    return (Claim){
        .key = pending->key,
        .digest = pending->digest,
        .host = Claims_Host(this),
        .incarnation = this->options.incarnation,
        .number = pending->number,
        .key_time_ms = pending->key_time_ms,
    };
}

/* Finds the collector and the backup collector of a partition by rendezvous
 * hashing over the live hosts. Both are this host if it is alone. */
static void
find_collectors(const Claims *this, uint32_t partition, Str collectors[2])
{
    uint64_t weights[2] = {0, 0};

    collectors[0] = Claims_Host(this);
    collectors[1] = Claims_Host(this);
    for (guint i = 0; i < this->hosts->len && this->options.use_collector;
         i++) {
        const GString *name = this->hosts->pdata[i];
        Str host = Str_FromString(name);
        uint64_t weight = Str_HashSeeded(host, COLLECTOR_SEED + partition);

        if (i == 0 || weight > weights[0]) {
            collectors[1] = collectors[0];
            weights[1] = weights[0];
            collectors[0] = host;
            weights[0] = weight;
        }
        else if (i == 1 || weight > weights[1]) {
            collectors[1] = host;
            weights[1] = weight;
        }
    }
}

double
Claims_CollectorRate(const Claims *this, uint32_t partition)
{
    const ClaimsOptions *options = &this->options;
    Str collectors[2];

    if (!options->use_collector) {
        return options->collector_rate /
               (double)(MAX(this->hosts->len, 1) * options->partitions);
    }
    find_collectors(this, partition, collectors);
    return (Str_Equal(collectors[0], Claims_Host(this))
                ? options->collector_rate
                : options->backup_collector_rate) /
           options->partitions;
}

static void
send_claim(Claims *this, uint32_t partition, const Claim *claim, Str to)
{
    ClaimAction action = {.kind = CLAIM_SUBMIT, .host = to};

    if (Str_Equal(to, Claims_Host(this))) {
        ClaimBatcher_Add(this->partitions[partition].collector, claim);
        return;
    }
    action.submit =
        (ClaimSubmit){.partition = partition, .claims = claim, .n = 1};
    ClaimActions_Add(this->actions, &action);
}

static void
submit_claim(Claims *this, const Pending *pending)
{
    const Partition *partition = &this->partitions[pending->partition];
    Claim claim = make_claim(this, pending);
    Str collectors[2];

    find_collectors(this, pending->partition, collectors);
    send_claim(this, pending->partition, &claim, collectors[0]);
    if (Clock_Now(this->clock) < partition->backup_until) {
        send_claim(this, pending->partition, &claim, collectors[1]);
    }
}

void
Claims_Submit(Claims *this, Pending *pending)
{
    pending->state = PENDING_CLAIMING;
    pending->number = this->next_number++;
    pending->retry_interval = this->options.claim_timeout;
    pending->next_retry = Clock_Now(this->clock) + pending->retry_interval;
    submit_claim(this, pending);
    Claims_FlushAppends(this);
}

/* Resubmits a claim that was not read back in time. The collector may be
 * unreachable, so the claim goes to the backup collector and into the next
 * direct append of this host. For BACKUP_COLLECTOR_US, new claims go to both
 * collectors at once. */
void
Claims_RetryClaim(Claims *this, Pending *pending, Micros now)
{
    Partition *partition = &this->partitions[pending->partition];
    Claim claim = make_claim(this, pending);
    Str collectors[2];

    this->counters.resubmits++;
    pending->retry_interval =
        MIN(pending->retry_interval * 2, RESUBMIT_INTERVAL_MAX_US);
    pending->next_retry = now + pending->retry_interval;
    if (!pending->in_direct_batch) {
        pending->in_direct_batch = ClaimBatcher_Add(partition->direct, &claim);
    }
    if (this->options.use_collector) {
        partition->backup_until = now + BACKUP_COLLECTOR_US;
        find_collectors(this, pending->partition, collectors);
        send_claim(this, pending->partition, &claim, collectors[1]);
    }
}

static void
append(Claims *this, uint32_t partition, GString *record)
{
    ClaimAction action = {.kind = CLAIM_APPEND};

    action.append.id = this->next_append++;
    action.append.partition = partition;
    action.append.record = Str_FromString(record);
    g_hash_table_insert(this->appends, GSIZE_TO_POINTER(action.append.id),
                        GUINT_TO_POINTER(partition + 1));
    ClaimActions_Add(this->actions, &action);
}

static void
append_batch(Claims *this, uint32_t partition, ClaimBatcher *batcher)
{
    GString *record = g_string_new(NULL);

    ClaimBatcher_TakeBatch(batcher, this->options.partitions, record);
    append(this, partition, record);
    g_string_free(record, TRUE);
}

static void
clear_in_direct_batch(Claims *this, uint32_t partition)
{
    for (guint i = 0; i < PendingSet_Count(this->pending); i++) {
        Pending *pending = PendingSet_Get(this->pending, i);

        if (pending->partition == partition) {
            pending->in_direct_batch = false;
        }
    }
}

/* Returns the idle time of a stream after which this host appends a marker.
 * It differs by host, so that usually one host appends the marker for all. */
static Micros
marker_idle_time(const Claims *this)
{
    Micros interval = this->options.marker_interval;
    uint64_t jitter = Str_HashSeeded(Claims_Host(this), JITTER_SEED);

    return interval + (Micros)(jitter % ((uint64_t)interval / 2 + 1));
}

/* Returns the time between two probes of a failing log: 0.5 to 1.5 times
 * APPEND_PROBE_INTERVAL_US, by host. The hosts then do not probe at the same
 * time, and one of them notices soon that the log has recovered. */
static Micros
append_probe_interval(const Claims *this)
{
    uint64_t jitter = Str_HashSeeded(Claims_Host(this), JITTER_SEED);

    return APPEND_PROBE_INTERVAL_US / 2 +
           (Micros)(jitter % (uint64_t)APPEND_PROBE_INTERVAL_US);
}

/* Returns the time at which a marker is due: to learn the append time of the
 * stream after a gap, to probe whether a failing log accepts appends, or to
 * keep one record of an idle stream within the log's retention time. */
static Micros
marker_time(const Claims *this, const Partition *partition)
{
    if (!partition->started) {
        return INT64_MAX;
    }
    if (partition->in_gap || !partition->append_up) {
        return partition->next_marker;
    }
    return MAX(partition->next_marker,
               partition->last_record_time + marker_idle_time(this));
}

static void
append_due_marker(Claims *this, uint32_t index, Micros now)
{
    Partition *partition = &this->partitions[index];

    if (marker_time(this, partition) > now ||
        !ClaimBatcher_TakeToken(partition->direct, now)) {
        return;
    }
    partition->next_marker = now + append_probe_interval(this);
    this->counters.markers++;
    append_batch(this, index, partition->direct);
    clear_in_direct_batch(this, index);
}

void
Claims_FlushAppends(Claims *this)
{
    Micros now = Clock_Now(this->clock);

    for (uint32_t i = 0; i < this->options.partitions; i++) {
        const Partition *partition = &this->partitions[i];

        while (ClaimBatcher_Count(partition->collector) > 0 &&
               ClaimBatcher_TakeToken(partition->collector, now)) {
            this->counters.collector_appends++;
            append_batch(this, i, partition->collector);
        }
        if (ClaimBatcher_Count(partition->direct) > 0 &&
            ClaimBatcher_TakeToken(partition->direct, now)) {
            this->counters.direct_appends++;
            append_batch(this, i, partition->direct);
            clear_in_direct_batch(this, i);
        }
        append_due_marker(this, i, now);
    }
}

Micros
Claims_NextLogTick(const Claims *this)
{
    Micros next = INT64_MAX;

    for (uint32_t i = 0; i < this->options.partitions; i++) {
        const Partition *partition = &this->partitions[i];
        Micros marker = marker_time(this, partition);

        if (ClaimBatcher_Count(partition->collector) > 0) {
            next = MIN(next, ClaimBatcher_NextToken(partition->collector));
        }
        if (ClaimBatcher_Count(partition->direct) > 0) {
            next = MIN(next, ClaimBatcher_NextToken(partition->direct));
        }
        if (marker != INT64_MAX) {
            next = MIN(next,
                       MAX(marker, ClaimBatcher_NextToken(partition->direct)));
        }
    }
    return next;
}

void
Claims_OnSubmit(Claims *this, const ClaimSubmit *submit)
{
    const Partition *partition;

    if (submit->partition >= this->options.partitions) {
        return;
    }
    partition = &this->partitions[submit->partition];
    for (size_t i = 0; i < submit->n; i++) {
        /* The key already has a first claim, so this one cannot win. */
        if (ClaimTable_Find(partition->table, submit->claims[i].key)) {
            continue;
        }
        if (!ClaimBatcher_Add(partition->collector, &submit->claims[i])) {
            this->counters.collector_overflow++;
        }
    }
    Claims_FlushAppends(this);
}

/* Injected fault: dispatches every key whose claim was not read back. */
static void
dispatch_unconfirmed(Claims *this, uint32_t partition)
{
    for (guint i = PendingSet_Count(this->pending); i > 0; i--) {
        Pending *pending = PendingSet_Get(this->pending, i - 1);

        if (pending->state == PENDING_CLAIMING &&
            pending->partition == partition) {
            Claims_Dispatch(this, pending, Claims_TableForKey(this, pending));
        }
    }
}

void
Claims_OnAppendResult(Claims *this, uint64_t append_id, int code)
{
    gpointer id = GSIZE_TO_POINTER(append_id);
    guint index_plus_1 =
        GPOINTER_TO_UINT(g_hash_table_lookup(this->appends, id));
    Partition *partition;

    if (index_plus_1 == 0) {
        return;
    }
    g_hash_table_remove(this->appends, id);
    partition = &this->partitions[index_plus_1 - 1];
    if (code == 0) {
        partition->append_up = true;
        if (this->options.fault == CLAIMS_FAULT_RUN_ON_APPEND) {
            dispatch_unconfirmed(this, index_plus_1 - 1);
        }
        return;
    }
    this->counters.append_failures++;
    /* A timeout may be a lost response: it does not imply an outage. */
    if (code != ERR_TIMEOUT && partition->append_up) {
        partition->append_up = false;
        partition->next_marker =
            Clock_Now(this->clock) + append_probe_interval(this);
    }
}
