#include "ClaimsPrivate.h"

/* What a visitor of one record needs. */
typedef struct Reading_ {
    Claims *claims;
    uint32_t number;
    uint64_t time_ms;
} Reading;

static const char *const KEY_EXPIRED = "key-expired";

static void
expire_pending(Claims *this, Pending *pending)
{
    ClaimAnswer answer = Claims_Reply(CLAIM_UNKNOWN, 409, KEY_EXPIRED, 0);

    this->counters.abandoned++;
    Claims_AnswerAll(this, pending, &answer);
}

/* Claims below the floor may have been preceded by one that is no longer
 * known, so none of them may run. */
static void
expire_below_floor(Claims *this, uint32_t number)
{
    uint64_t floor = ClaimTable_Floor(this->partitions[number].table);

    for (guint i = PendingSet_Count(this->pending); i > 0; i--) {
        Pending *pending = PendingSet_Get(this->pending, i - 1);

        if (pending->state == PENDING_CLAIMING &&
            pending->partition == number && pending->key_time_ms < floor) {
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
is_claim_of(const Claims *this, const Pending *pending, const Claim *claim)
{
    return pending != NULL &&
           (pending->number == claim->number ||
            this->options.fault == CLAIMS_FAULT_ANY_INCARNATION);
}

/* A claim number that was never given out: another process acts under this
 * name and incarnation, and neither can know what the other runs. */
static void
check_twin(Claims *this, const Claim *claim)
{
    if (claim->number >= this->next_number &&
        claim->incarnation == this->options.incarnation) {
        this->disabled = true;
    }
}

static void
remember(Claims *this, const Reading *reading, const Claim *claim,
         ClaimEntryState state)
{
    ClaimEntry entry = {
        .key = claim->key,
        .digest = claim->digest,
        .time_s = (uint32_t)(claim->key_time_ms / 1000),
        .holder =
            ClaimHolders_Take(this->holders, claim->host, claim->incarnation),
        .state = state,
    };

    ClaimTable_Add(this->partitions[reading->number].table, &entry);
}

static void
on_own_first(Claims *this, const Reading *reading, const Claim *claim,
             Pending *pending)
{
    ClaimAnswer abandoned =
        Claims_Reply(CLAIM_NOT_RUN, 409, "key-abandoned", 0);
    ClaimAnswer reused = Claims_Reply(CLAIM_UNKNOWN, 422, "key-reused", 0);

    check_twin(this, claim);
    if (this->disabled) {
        remember(this, reading, claim, ENTRY_UNKNOWN);
        return;
    }
    if (is_claim_of(this, pending, claim)) {
        remember(this, reading, claim, ENTRY_RUNNING);
        Claims_Start(this, pending, this->partitions[reading->number].table);
        return;
    }
    /* An earlier request of this host gave up on this claim. */
    remember(this, reading, claim, ENTRY_NOT_RUN);
    if (pending != NULL) {
        Claims_AnswerAll(this, pending,
                         pending->digest == claim->digest ? &abandoned
                                                          : &reused);
    }
}

static void
on_other_first(Claims *this, const Reading *reading, const Claim *claim,
               Pending *pending)
{
    ClaimAnswer reused = Claims_Reply(CLAIM_UNKNOWN, 422, "key-reused", 0);

    remember(this, reading, claim, ENTRY_OPEN);
    if (pending == NULL) {
        return;
    }
    if (pending->digest != claim->digest) {
        Claims_AnswerAll(this, pending, &reused);
        return;
    }
    Claims_Ask(this, pending, claim->host, claim->incarnation);
}

/* Planted fault: a claim that lost runs all the same. */
static void
run_late_claim(Claims *this, const Reading *reading, const Claim *claim,
               Pending *pending)
{
    if (this->options.fault == CLAIMS_FAULT_RUN_ANY_CLAIM && pending != NULL &&
        pending->state == PENDING_ASKING && is_own_claim(this, claim)) {
        Claims_Start(this, pending, this->partitions[reading->number].table);
    }
}

static bool
is_void(const Claims *this, const Reading *reading, const Claim *claim)
{
    return claim->key_time_ms > reading->time_ms + CLAIM_FUTURE_MS ||
           claim->key.word[1] % this->options.partitions != reading->number;
}

static void
on_claim(void *user, const Claim *claim)
{
    const Reading *reading = user;
    Claims *this = reading->claims;
    ClaimTable *table = this->partitions[reading->number].table;
    Pending *pending = PendingSet_Find(this->pending, claim->key);

    if (pending != NULL && pending->issued) {
        pending = NULL;
    }
    if (is_void(this, reading, claim)) {
        this->counters.void_claims++;
        if (pending != NULL && pending->state == PENDING_CLAIMING &&
            is_own_claim(this, claim) && is_claim_of(this, pending, claim)) {
            expire_pending(this, pending);
        }
        return;
    }
    if (ClaimTable_Find(table, claim->key) != NULL) {
        run_late_claim(this, reading, claim, pending);
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
        on_own_first(this, reading, claim, pending);
    }
    else {
        on_other_first(this, reading, claim, pending);
    }
}

/* Every claim that was missed up to now has a key time below the floor:
 * later ones are void by CLAIM_FUTURE_MS, which the margin covers. */
static void
move_window(Claims *this, uint32_t number, uint64_t time_ms)
{
    Micros margin = this->options.fault == CLAIMS_FAULT_NO_MARGIN
                        ? 0
                        : this->options.margin;

    if (this->options.fault == CLAIMS_FAULT_IGNORE_GAP) {
        return;
    }
    ClaimTable_RaiseFloor(this->partitions[number].table,
                          time_ms + (uint64_t)(margin / MICROS_PER_MS));
}

static void
read_record(Claims *this, uint32_t number, const ClaimLogRecord *record)
{
    Partition *partition = &this->partitions[number];
    Reading reading = {
        .claims = this, .number = number, .time_ms = record->time_ms};
    uint32_t partitions = 0;
    int code;

    if (record->offset < partition->next_offset) {
        return;
    }
    if (record->offset > partition->next_offset) {
        partition->blind = true;
        this->counters.gaps++;
    }
    if (partition->blind) {
        move_window(this, number, record->time_ms);
        partition->blind = false;
    }
    partition->next_offset = record->offset + 1;
    partition->newest_ms = MAX(partition->newest_ms, record->time_ms);
    partition->last_record = Clock_Now(this->clock);
    partition->append_up = true;
    this->counters.records++;
    code = ClaimRecord_Read(record->record, &partitions, on_claim, &reading);
    if (code == ERR_PROTOCOL) {
        move_window(this, number, record->time_ms);
    }
    if (code != 0) {
        this->counters.bad_records++;
    }
    /* Hosts that spread keys over another number of streams can not see
     * each other's claims. */
    if (code >= 0 && partitions != this->options.partitions) {
        this->disabled = true;
    }
}

static void
forget_old(Claims *this, Partition *partition)
{
    uint64_t remember_ms = (uint64_t)(this->options.remember / MICROS_PER_MS);

    if (remember_ms > 0 && partition->newest_ms > remember_ms) {
        ClaimTable_Forget(partition->table,
                          partition->newest_ms - remember_ms);
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
        partition->blind = true;
        partition->next_offset = read->log_first;
        this->counters.gaps++;
    }
    forget_old(this, partition);
    expire_below_floor(this, read->partition);
    Claims_PumpLog(this);
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
Claims_LogUsable(const Claims *this, uint32_t number)
{
    const Partition *partition = &this->partitions[number];

    bool readable =
        partition->read_up ||
        Clock_Now(this->clock) < partition->read_down_since + READ_GRACE;

    return partition->started && !partition->blind && readable &&
           partition->append_up && !this->disabled;
}
