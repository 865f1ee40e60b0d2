#include "Claims.h"

#include "ClaimsPrivate.h"

static ClaimState
answer_state(ClaimAnswer answer)
{
    return (ClaimState){.kind = CLAIM_STATE_ANSWER, .answer = answer};
}

static ClaimState
wait_state(void)
{
    return (ClaimState){.kind = CLAIM_STATE_WAIT};
}

static bool
same_request(const Claims *this, uint64_t a, uint64_t b)
{
    return a == b || this->options.fault == CLAIMS_FAULT_IGNORE_DIGEST;
}

static ClaimAnswer
key_reused_answer(void)
{
    return Claims_MakeAnswer(CLAIM_UNKNOWN, 422, "key-reused", 0);
}

static Pending *
add_pending(Claims *this, const ClaimRequest *request, KeyHash hash,
            const IdempotencyKey *key, uint64_t request_id)
{
    Pending *pending = PendingSet_Add(this->pending, hash);

    pending->digest = request->digest;
    pending->key_time_ms = key->time_ms;
    pending->partition = (uint32_t)(hash.word[1] % this->options.partitions);
    pending->issued = key->kind == KEY_ISSUED;
    PendingSet_AddWaiter(
        this->pending, pending,
        (Waiter){.request_id = request_id, .deadline = request->deadline});
    return pending;
}

static ClaimState
join_pending(Claims *this, Pending *pending, const ClaimRequest *request,
             uint64_t request_id)
{
    Waiter waiter = {.request_id = request_id, .deadline = request->deadline};

    if (!same_request(this, pending->digest, request->digest)) {
        return answer_state(key_reused_answer());
    }
    if (pending->waiters->len >= WAITERS_PER_KEY_MAX) {
        return answer_state(Claims_MakeAnswer(CLAIM_UNKNOWN, 409,
                                              "key-running", RETRY_AFTER_US));
    }
    PendingSet_AddWaiter(this->pending, pending, waiter);
    return wait_state();
}

static ClaimState
begin_claimed(Claims *this, const ClaimEntry *entry,
              const ClaimRequest *request, const IdempotencyKey *key,
              uint64_t request_id)
{
    Pending *pending;

    if (!same_request(this, entry->digest, request->digest)) {
        return answer_state(key_reused_answer());
    }
    if (Claims_HoldsEntry(this, entry)) {
        if (entry->state == ENTRY_NOT_RUN &&
            this->options.fault == CLAIMS_FAULT_RUN_ABANDONED) {
            pending = add_pending(this, request, entry->key, key, request_id);
            Claims_Dispatch(this, pending, Claims_TableForKey(this, pending));
            return wait_state();
        }
        return answer_state(Claims_AnswerForEntry(this, entry));
    }
    pending = add_pending(this, request, entry->key, key, request_id);
    Claims_QueryHolder(this, pending,
                       ClaimHolders_Host(this->holders, entry->holder),
                       ClaimHolders_Incarnation(this->holders, entry->holder));
    return wait_state();
}

/* Checks a key without a known claim. Returns the refusal, or an answer
 * whose reason is NULL if the key may be claimed. */
static ClaimAnswer
check_unclaimed(const Claims *this, const ClaimTable *table,
                const IdempotencyKey *key, Micros deadline)
{
    uint64_t wall_ms = (uint64_t)(Clock_Wall(this->clock) / MICROS_PER_MS);

    if (key->time_ms < ClaimTable_Floor(table)) {
        return Claims_MakeAnswer(CLAIM_UNKNOWN, 409, "key-expired", 0);
    }
    if (key->time_ms > wall_ms + CLAIM_FUTURE_MAX_MS) {
        return Claims_MakeAnswer(CLAIM_UNKNOWN, 409, "key-from-future", 0);
    }
    if (deadline <= Clock_Now(this->clock)) {
        return Claims_MakeAnswer(CLAIM_UNKNOWN, 504, "deadline", 0);
    }
    if (PendingSet_Count(this->pending) >= PENDING_KEYS_MAX) {
        return Claims_MakeAnswer(CLAIM_UNKNOWN, 503, "too-many-claims",
                                 RETRY_AFTER_US);
    }
    return Claims_MakeAnswer(CLAIM_UNKNOWN, 0, NULL, 0);
}

static ClaimState
begin_caller_key(Claims *this, const ClaimRequest *request, KeyHash hash,
                 const IdempotencyKey *key, uint64_t request_id)
{
    uint32_t index = (uint32_t)(hash.word[1] % this->options.partitions);
    const Partition *partition = &this->partitions[index];
    const ClaimEntry *entry = ClaimTable_Find(partition->table, hash);
    ClaimAnswer refusal;
    Pending *pending;

    if (entry != NULL) {
        return begin_claimed(this, entry, request, key, request_id);
    }
    if (this->disabled) {
        return answer_state(
            Claims_MakeAnswer(CLAIM_UNKNOWN, 503, "claims-disabled", 0));
    }
    if (!Claims_LogUsable(this, index)) {
        ClaimOutcome outcome =
            this->options.fault == CLAIMS_FAULT_OUTAGE_NOT_RUN ? CLAIM_NOT_RUN
                                                               : CLAIM_UNKNOWN;
        bool reading = partition->append_up &&
                       (partition->read_up || !partition->started);

        return answer_state(Claims_MakeAnswer(
            outcome, 503, reading ? "catching-up" : "log-unavailable",
            RETRY_AFTER_OUTAGE_US));
    }
    refusal = check_unclaimed(this, partition->table, key, request->deadline);
    if (refusal.reason != NULL) {
        return answer_state(refusal);
    }
    pending = add_pending(this, request, hash, key, request_id);
    Claims_Submit(this, pending);
    return wait_state();
}

static void
grant_key_to_self(Claims *this, const Pending *pending)
{
    ClaimEntry entry = {
        .key = pending->key,
        .digest = pending->digest,
        .time_s = (uint32_t)(pending->key_time_ms / 1000),
        .holder = ClaimHolders_Ref(this->holders, Claims_Host(this),
                                   this->options.incarnation),
        .state = ENTRY_RUNNING,
    };

    ClaimTable_Add(this->issued, &entry);
}

static ClaimState
begin_issued_key(Claims *this, const ClaimRequest *request, KeyHash hash,
                 const IdempotencyKey *key, uint64_t request_id)
{
    const ClaimEntry *entry = ClaimTable_Find(this->issued, hash);
    bool issued_here = Str_Equal(key->host, Claims_Host(this));
    ClaimAnswer refusal;
    Pending *pending;

    if (entry != NULL) {
        return begin_claimed(this, entry, request, key, request_id);
    }
    if (this->options.fault == CLAIMS_FAULT_ISSUED_ANYWHERE) {
        issued_here = true;
    }
    else if (issued_here && key->incarnation != this->options.incarnation) {
        return answer_state(
            Claims_MakeAnswer(CLAIM_UNKNOWN, 409, "issuer-gone", 0));
    }
    refusal = check_unclaimed(this, this->issued, key, request->deadline);
    if (refusal.reason != NULL) {
        return answer_state(refusal);
    }
    pending = add_pending(this, request, hash, key, request_id);
    if (!issued_here) {
        pending->may_grant = true;
        Claims_QueryHolder(this, pending, key->host, key->incarnation);
        return wait_state();
    }
    grant_key_to_self(this, pending);
    Claims_Dispatch(this, pending, this->issued);
    return wait_state();
}

ClaimState
Claims_Begin(Claims *this, const ClaimRequest *request, uint64_t request_id)
{
    IdempotencyKey key;
    KeyHash hash;
    Pending *pending;

    this->counters.begun++;
    if (IdempotencyKey_Parse(&key, request->key) != 0) {
        return answer_state(
            Claims_MakeAnswer(CLAIM_NOT_RUN, 400, "key-malformed", 0));
    }
    hash = IdempotencyKey_Hash(
        &key, request->line,
        this->options.fault == CLAIMS_FAULT_UNSCOPED_KEYS ? (Str){NULL, 0}
                                                          : request->caller);
    pending = PendingSet_Find(this->pending, hash);
    if (pending != NULL) {
        return join_pending(this, pending, request, request_id);
    }
    if (key.kind == KEY_ISSUED) {
        return begin_issued_key(this, request, hash, &key, request_id);
    }
    return begin_caller_key(this, request, hash, &key, request_id);
}
