#include "Claims.h"

#include "ClaimsPrivate.h"

/* Returns the answer to a request whose deadline passes while it waits. The
 * outcome is unknown, because its claim may still become the first for the key
 * or the holder may have run it. */
static ClaimAnswer
timeout_answer(const Claims *this, const Pending *pending)
{
    ClaimOutcome outcome = CLAIM_UNKNOWN;

    switch (pending->state) {
    case PENDING_CLAIMING:
        if (this->options.fault == CLAIMS_FAULT_EARLY_NOT_RUN) {
            outcome = CLAIM_NOT_RUN;
        }
        return Claims_MakeAnswer(outcome, 504, "claim-pending",
                                 RETRY_AFTER_US);
    case PENDING_QUERYING:
        if (this->options.fault == CLAIMS_FAULT_UNREACHABLE_NOT_RUN) {
            outcome = CLAIM_NOT_RUN;
        }
        return Claims_MakeAnswer(outcome, 504, "holder-silent",
                                 RETRY_AFTER_US);
    case PENDING_RUNNING:
        break;
    }
    return Claims_MakeAnswer(CLAIM_UNKNOWN, 409, "key-running",
                             RETRY_AFTER_US);
}

/* Answers the waiters whose deadline has passed. Returns false if the pending
 * key was abandoned. */
static bool
expire_waiters(Claims *this, Pending *pending, Micros now)
{
    for (guint i = pending->waiters->len; i > 0; i--) {
        if (g_array_index(pending->waiters, Waiter, i - 1).deadline <= now) {
            ClaimAnswer answer = timeout_answer(this, pending);
            Waiter waiter =
                PendingSet_TakeWaiter(this->pending, pending, i - 1);

            Claims_AnswerOne(this, waiter.request_id, &answer);
        }
    }
    if (pending->waiters->len > 0 || pending->state == PENDING_RUNNING) {
        return true;
    }
    this->counters.abandoned++;
    PendingSet_Remove(this->pending, pending);
    return false;
}

void
Claims_OnTick(Claims *this)
{
    Micros now = Clock_Now(this->clock);

    for (guint i = PendingSet_Count(this->pending); i > 0; i--) {
        Pending *pending = PendingSet_Get(this->pending, i - 1);

        if (!expire_waiters(this, pending, now) || pending->next_retry > now) {
            continue;
        }
        if (pending->state == PENDING_CLAIMING) {
            Claims_RetryClaim(this, pending, now);
        }
        else if (pending->state == PENDING_QUERYING) {
            Claims_SendQuery(this, pending);
        }
    }
    Claims_FlushAppends(this);
}

Micros
Claims_NextTick(const Claims *this)
{
    Micros next = Claims_NextLogTick(this);

    for (guint i = 0; i < PendingSet_Count(this->pending); i++) {
        const Pending *pending = PendingSet_Get(this->pending, i);

        if (pending->state != PENDING_RUNNING) {
            next = MIN(next, pending->next_retry);
        }
        for (guint k = 0; k < pending->waiters->len; k++) {
            next =
                MIN(next, g_array_index(pending->waiters, Waiter, k).deadline);
        }
    }
    return next;
}

int
Claims_IssueKey(const Claims *this, const uint64_t random[2], char *out)
{
    uint64_t wall_ms = (uint64_t)(Clock_Wall(this->clock) / MICROS_PER_MS);
    IdempotencyKey key = IdempotencyKey_Make(
        wall_ms, random, Claims_Host(this), this->options.incarnation);

    return IdempotencyKey_Write(&key, out);
}

const ClaimsCounters *
Claims_Counters(const Claims *this)
{
    return &this->counters;
}

size_t
Claims_RememberedKeys(const Claims *this)
{
    size_t keys = 0;

    for (uint32_t i = 0; i < this->options.partitions; i++) {
        keys += ClaimTable_Count(this->partitions[i].table);
    }
    return keys;
}

size_t
Claims_RememberedBytes(const Claims *this)
{
    size_t bytes = ClaimHolders_Bytes(this->holders);

    for (uint32_t i = 0; i < this->options.partitions; i++) {
        bytes += ClaimTable_Bytes(this->partitions[i].table);
    }
    return bytes;
}

static void
describe_table(const Claims *this, const ClaimTable *table, GString *out)
{
    g_string_append_printf(out, " floor=%" G_GUINT64_FORMAT,
                           ClaimTable_Floor(table));
    for (size_t i = 0; i < ClaimTable_Count(table); i++) {
        const ClaimEntry *entry = ClaimTable_Get(table, i);

        g_string_append_printf(
            out, " key=%016" G_GINT64_MODIFIER "x:" STR_FORMAT ":%u",
            entry->key.word[0],
            STR_ARGS(ClaimHolders_Host(this->holders, entry->holder)),
            (unsigned)entry->state);
    }
}

void
Claims_Describe(const Claims *this, GString *out)
{
    static const char *states[] = {"claiming", "asking", "running"};

    for (guint i = 0; i < PendingSet_Count(this->pending); i++) {
        const Pending *pending = PendingSet_Get(this->pending, i);

        g_string_append_printf(out,
                               "pending=%016" G_GINT64_MODIFIER
                               "x:%s:%u:%" G_GUINT64_FORMAT " ",
                               pending->key.word[0], states[pending->state],
                               pending->waiters->len, pending->number);
    }
    g_string_append_printf(out, "disabled=%d actions=%zu ", this->disabled,
                           ClaimActions_Count(this->actions));
    for (uint32_t i = 0; i < this->options.partitions; i++) {
        const Partition *partition = &this->partitions[i];

        g_string_append_printf(out,
                               "partition=%u next=%" G_GUINT64_FORMAT
                               " read_up=%d append_up=%d blind=%d",
                               i, partition->next_offset, partition->read_up,
                               partition->append_up, partition->in_gap);
        describe_table(this, partition->table, out);
    }
    g_string_append(out, " issued");
    describe_table(this, this->issued, out);
}
