#include "ClaimsPrivate.h"

/* Context of the visitor of the claims in one record. */
typedef struct ReadContext_ {
    Claims *claims;
    uint32_t partition; /* index */
    uint64_t time_ms;   /* append time of the record */
} ReadContext;

static const char *const KEY_EXPIRED = "key-expired";

static void
expire_pending(Claims *this, Pending *pending)
{
    ClaimAnswer answer = Claims_MakeAnswer(CLAIM_UNKNOWN, 409, KEY_EXPIRED, 0);

    this->counters.abandoned++;
    Claims_AnswerAll(this, pending, &answer);
}

/* A claim below the floor may follow an earlier claim that was forgotten or
 * missed, so none of them may run. */
static void
expire_below_floor(Claims *this, uint32_t index)
{
    uint64_t floor = ClaimTable_Floor(this->partitions[index].table);

    for (guint i = PendingSet_Count(this->pending); i > 0; i--) {
        Pending *pending = PendingSet_Get(this->pending, i - 1);

        if (pending->state == PENDING_CLAIMING &&
            pending->partition == index && pending->key_time_ms < floor) {
            expire_pending(this, pending);
        }
    }
}

static bool
is_own_claim(const Claims *this, const Claim *claim)
{
    return Str_Equal(claim->host, Claims_Host(this)) &&
           (claim->incarnation == this->options.incarnation ||
            this->options.fault == CLAIMS_FAULT_ANY_INCARNATION);
}

static bool
is_current_claim(const Claims *this, const Pending *pending,
                 const Claim *claim)
{
    return pending != NULL &&
           (pending->number == claim->number ||
            this->options.fault == CLAIMS_FAULT_ANY_INCARNATION);
}

/* Disables claims if this incarnation never assigned the claim's number:
 * another process then uses the same name and incarnation, and neither knows
 * which requests the other runs. */
static void
check_duplicate_identity(Claims *this, const Claim *claim)
{
    if (claim->number >= this->next_number &&
        claim->incarnation == this->options.incarnation) {
        this->disabled = true;
    }
}

static void
remember_claim(Claims *this, const ReadContext *context, const Claim *claim,
               ClaimEntryState state)
{
    ClaimEntry entry = {
        .key = claim->key,
        .digest = claim->digest,
        .time_s = (uint32_t)(claim->key_time_ms / 1000),
        .holder =
            ClaimHolders_Ref(this->holders, claim->host, claim->incarnation),
        .state = state,
    };

    ClaimTable_Add(this->partitions[context->partition].table, &entry);
}

static void
on_own_first_claim(Claims *this, const ReadContext *context,
                   const Claim *claim, Pending *pending)
{
    ClaimAnswer abandoned =
        Claims_MakeAnswer(CLAIM_NOT_RUN, 409, "key-abandoned", 0);
    ClaimAnswer reused =
        Claims_MakeAnswer(CLAIM_UNKNOWN, 422, "key-reused", 0);

    check_duplicate_identity(this, claim);
    if (this->disabled) {
        remember_claim(this, context, claim, ENTRY_UNKNOWN);
        return;
    }
    if (is_current_claim(this, pending, claim)) {
        remember_claim(this, context, claim, ENTRY_RUNNING);
        Claims_Dispatch(this, pending,
                        this->partitions[context->partition].table);
        return;
    }
    /* An earlier request of this host abandoned this claim. */
    remember_claim(this, context, claim, ENTRY_NOT_RUN);
    if (pending != NULL) {
        Claims_AnswerAll(this, pending,
                         pending->digest == claim->digest ? &abandoned
                                                          : &reused);
    }
}

static void
on_other_first_claim(Claims *this, const ReadContext *context,
                     const Claim *claim, Pending *pending)
{
    ClaimAnswer reused =
        Claims_MakeAnswer(CLAIM_UNKNOWN, 422, "key-reused", 0);

    remember_claim(this, context, claim, ENTRY_OTHER_HOST);
    if (pending == NULL) {
        return;
    }
    if (pending->digest != claim->digest) {
        Claims_AnswerAll(this, pending, &reused);
        return;
    }
    Claims_QueryHolder(this, pending, claim->host, claim->incarnation);
}

/* Injected fault: dispatches a claim that was not the first for its key. */
static void
dispatch_losing_claim(Claims *this, const ReadContext *context,
                      const Claim *claim, Pending *pending)
{
    if (this->options.fault == CLAIMS_FAULT_RUN_ANY_CLAIM && pending != NULL &&
        pending->state == PENDING_QUERYING && is_own_claim(this, claim)) {
        Claims_Dispatch(this, pending,
                        this->partitions[context->partition].table);
    }
}

static bool
is_void(const Claims *this, const ReadContext *context, const Claim *claim)
{
    return claim->key_time_ms > context->time_ms + CLAIM_FUTURE_MAX_MS ||
           claim->key.word[1] % this->options.partitions != context->partition;
}

static void
on_claim(void *user, const Claim *claim)
{
    const ReadContext *context = user;
    Claims *this = context->claims;
    ClaimTable *table = this->partitions[context->partition].table;
    Pending *pending = PendingSet_Find(this->pending, claim->key);

    if (pending != NULL && pending->issued) {
        pending = NULL;
    }
    if (is_void(this, context, claim)) {
        this->counters.void_claims++;
        if (pending != NULL && pending->state == PENDING_CLAIMING &&
            is_own_claim(this, claim) &&
            is_current_claim(this, pending, claim)) {
            expire_pending(this, pending);
        }
        return;
    }
    if (ClaimTable_Find(table, claim->key) != NULL) {
        dispatch_losing_claim(this, context, claim, pending);
        return;
    }
    if (pending != NULL && pending->state != PENDING_CLAIMING) {
        pending = NULL;
    }
    if (claim->key_time_ms < ClaimTable_Floor(table)) {
        if (pending != NULL) {
            expire_pending(this, pending);
        }
        return;
    }
    if (is_own_claim(this, claim)) {
        on_own_first_claim(this, context, claim, pending);
    }
    else {
        on_other_first_claim(this, context, claim, pending);
    }
}

/* Raises the floor above the key times of all missed claims. A claim whose
 * key time is more than CLAIM_FUTURE_MAX_MS after the append time is void,
 * and the margin is at least as long. */
static void
raise_floor_after_gap(Claims *this, uint32_t index, uint64_t time_ms)
{
    Micros gap_margin = this->options.fault == CLAIMS_FAULT_NO_MARGIN
                            ? 0
                            : this->options.gap_margin;

    if (this->options.fault == CLAIMS_FAULT_IGNORE_GAP) {
        return;
    }
    ClaimTable_RaiseFloor(this->partitions[index].table,
                          time_ms + (uint64_t)(gap_margin / MICROS_PER_MS));
}

static void
read_record(Claims *this, uint32_t index, const ClaimLogRecord *record)
{
    Partition *partition = &this->partitions[index];
    ReadContext context = {
        .claims = this, .partition = index, .time_ms = record->time_ms};
    uint32_t partitions = 0;
    int code;

    if (record->offset < partition->next_offset) {
        return;
    }
    if (record->offset > partition->next_offset) {
        partition->in_gap = true;
        this->counters.gaps++;
    }
    if (partition->in_gap) {
        raise_floor_after_gap(this, index, record->time_ms);
        partition->in_gap = false;
    }
    partition->next_offset = record->offset + 1;
    partition->newest_ms = MAX(partition->newest_ms, record->time_ms);
    partition->last_record_time = Clock_Now(this->clock);
    partition->append_up = true;
    this->counters.records++;
    code = ClaimRecord_Read(record->record, &partitions, on_claim, &context);
    if (code == ERR_PROTOCOL) {
        raise_floor_after_gap(this, index, record->time_ms);
    }
    if (code != 0) {
        this->counters.bad_records++;
    }
    /* Hosts with different numbers of partitions read claims for the same
     * key from different streams. */
    if (code >= 0 && partitions != this->options.partitions) {
        this->disabled = true;
    }
}

static void
forget_expired(Claims *this, Partition *partition)
{
    uint64_t retention_ms =
        (uint64_t)(this->options.key_retention / MICROS_PER_MS);

    if (retention_ms > 0 && partition->newest_ms > retention_ms) {
        ClaimTable_ForgetBefore(partition->table,
                                partition->newest_ms - retention_ms);
    }
}

void
Claims_OnRecords(Claims *this, const ClaimLogRead *read)
{
    Partition *partition;

    if (read->partition >= this->options.partitions) {
        return;
    }
    partition = &this->partitions[read->partition];
    partition->started = true;
    partition->read_up = true;
    for (size_t i = 0; i < read->n; i++) {
        read_record(this, read->partition, &read->records[i]);
    }
    if (read->n == 0 && read->log_first > partition->next_offset) {
        partition->in_gap = true;
        partition->next_offset = read->log_first;
        this->counters.gaps++;
    }
    forget_expired(this, partition);
    expire_below_floor(this, read->partition);
    Claims_FlushAppends(this);
}

void
Claims_OnReadFailed(Claims *this, uint32_t partition)
{
    Partition *failed;

    if (partition >= this->options.partitions) {
        return;
    }
    failed = &this->partitions[partition];
    if (failed->read_up) {
        failed->read_down_since = Clock_Now(this->clock);
    }
    failed->read_up = false;
}

uint64_t
Claims_ReadFrom(const Claims *this, uint32_t partition)
{
    return this->partitions[partition].next_offset;
}

Micros
Claims_ReadWait(const Claims *this, uint32_t partition, Micros longest)
{
    return this->partitions[partition].read_up ? longest : 0;
}

bool
Claims_LogUsable(const Claims *this, uint32_t index)
{
    const Partition *partition = &this->partitions[index];

    bool readable = partition->read_up ||
                    Clock_Now(this->clock) <
                        partition->read_down_since + READ_OUTAGE_DELAY_US;

    return partition->started && !partition->in_gap && readable &&
           partition->append_up && !this->disabled;
}
