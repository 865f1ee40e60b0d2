#include "ClaimsPrivate.h"

void
Claims_SendQuery(Claims *this, Pending *pending)
{
    ClaimAction action = {
        .kind = CLAIM_QUERY,
        .host = Str_FromString(pending->holder),
    };

    action.query = (ClaimOutcomeQuery){
        .number = pending->number,
        .key = pending->key,
        .digest = pending->digest,
        .key_time_ms = pending->key_time_ms,
        .from = Claims_Host(this),
        .from_incarnation = this->options.incarnation,
        .holder_incarnation = pending->holder_incarnation,
        .issued = pending->may_grant,
    };
    this->counters.queries++;
    pending->next_retry = Clock_Now(this->clock) + pending->retry_interval;
    pending->retry_interval =
        MIN(pending->retry_interval * 2, QUERY_INTERVAL_MAX_US);
    ClaimActions_Add(this->actions, &action);
}

static void
answer_holder_unavailable(Claims *this, Pending *pending)
{
    ClaimAnswer answer =
        Claims_MakeAnswer(CLAIM_UNKNOWN, 409, "holder-gone", 0);

    Claims_AnswerAll(this, pending, &answer);
}

void
Claims_QueryHolder(Claims *this, Pending *pending, Str holder,
                   uint64_t incarnation)
{
    pending->state = PENDING_QUERYING;
    pending->number = this->next_number++;
    pending->retry_interval = QUERY_INTERVAL_US;
    pending->holder_incarnation = incarnation;
    g_string_truncate(pending->holder, 0);
    Str_AppendTo(holder, pending->holder);
    if (Str_Equal(holder, Claims_Host(this)) || !Claims_IsLive(this, holder)) {
        answer_holder_unavailable(this, pending);
        return;
    }
    Claims_SendQuery(this, pending);
}

static ClaimReplyState
reply_state(ClaimEntryState state)
{
    switch (state) {
    case ENTRY_OTHER_HOST:
    case ENTRY_RUNNING:
        return CLAIM_REPLY_PENDING;
    case ENTRY_RAN:
        return CLAIM_REPLY_RAN;
    case ENTRY_NOT_RUN:
        return CLAIM_REPLY_NOT_RUN;
    case ENTRY_UNKNOWN:
        break;
    }
    return CLAIM_REPLY_UNKNOWN;
}

/* Grants an issued key that was not used yet to the first querying host. */
static void
grant_key(Claims *this, const ClaimOutcomeQuery *query,
          ClaimOutcomeReply *reply)
{
    uint64_t wall_ms = (uint64_t)(Clock_Wall(this->clock) / MICROS_PER_MS);
    ClaimEntry entry = {
        .key = query->key,
        .digest = query->digest,
        .time_s = (uint32_t)(query->key_time_ms / 1000),
        .state = ENTRY_OTHER_HOST,
    };

    if (query->key_time_ms < ClaimTable_Floor(this->issued) ||
        query->key_time_ms > wall_ms + CLAIM_FUTURE_MAX_MS) {
        reply->state = CLAIM_REPLY_UNKNOWN;
        return;
    }
    entry.holder =
        ClaimHolders_Ref(this->holders, query->from, query->from_incarnation);
    ClaimTable_Add(this->issued, &entry);
    this->counters.grants++;
    reply->state = CLAIM_REPLY_GRANTED;
}

/* Redirects the query to the host that holds the key. If that is the querying
 * host itself, the grant is repeated; that host's own table then decides
 * whether the key may still run. */
static void
redirect_query(const Claims *this, const ClaimEntry *entry,
               const ClaimOutcomeQuery *query, ClaimOutcomeReply *reply)
{
    reply->holder = ClaimHolders_Host(this->holders, entry->holder);
    reply->holder_incarnation =
        ClaimHolders_Incarnation(this->holders, entry->holder);
    reply->state = CLAIM_REPLY_REDIRECT;
    if (reply->holder_incarnation == query->from_incarnation &&
        Str_Equal(reply->holder, query->from)) {
        reply->state = CLAIM_REPLY_GRANTED;
    }
}

/* State of a key that is not in the table: its claim was not read yet, or it
 * was forgotten. */
static ClaimReplyState
absent_key_state(const Claims *this, uint32_t index,
                 const ClaimOutcomeQuery *query)
{
    uint64_t floor = ClaimTable_Floor(this->partitions[index].table);

    return query->key_time_ms < floor ? CLAIM_REPLY_UNKNOWN
                                      : CLAIM_REPLY_PENDING;
}

static void
fill_reply(Claims *this, const ClaimOutcomeQuery *query,
           ClaimOutcomeReply *reply)
{
    uint32_t index = (uint32_t)(query->key.word[1] % this->options.partitions);
    const ClaimEntry *entry = ClaimTable_Find(this->issued, query->key);

    if (query->holder_incarnation != this->options.incarnation) {
        reply->state = CLAIM_REPLY_INCARNATION_ENDED;
        return;
    }
    if (entry == NULL && query->issued) {
        grant_key(this, query, reply);
        return;
    }
    if (entry == NULL) {
        entry = ClaimTable_Find(this->partitions[index].table, query->key);
    }
    if (entry == NULL) {
        reply->state = absent_key_state(this, index, query);
        return;
    }
    if (entry->digest != query->digest &&
        this->options.fault != CLAIMS_FAULT_IGNORE_DIGEST) {
        reply->state = CLAIM_REPLY_REUSED;
        return;
    }
    if (!Claims_HoldsEntry(this, entry)) {
        redirect_query(this, entry, query, reply);
        return;
    }
    reply->state = reply_state((ClaimEntryState)entry->state);
    if (reply->state == CLAIM_REPLY_RAN) {
        reply->has_answer =
            AnswerCache_Get(this->answers, entry->key, &reply->answer);
    }
}

void
Claims_OnQuery(Claims *this, const ClaimOutcomeQuery *query)
{
    ClaimAction action = {.kind = CLAIM_REPLY, .host = query->from};

    action.reply = (ClaimOutcomeReply){
        .number = query->number,
        .key = query->key,
        .to_incarnation = query->from_incarnation,
    };
    fill_reply(this, query, &action.reply);
    this->counters.replies++;
    ClaimActions_Add(this->actions, &action);
}

static void
on_granted(Claims *this, Pending *pending)
{
    ClaimAnswer expired =
        Claims_MakeAnswer(CLAIM_UNKNOWN, 409, "key-expired", 0);
    ClaimEntry entry = {
        .key = pending->key,
        .digest = pending->digest,
        .time_s = (uint32_t)(pending->key_time_ms / 1000),
        .state = ENTRY_RUNNING,
    };

    if (!pending->may_grant || ClaimTable_Find(this->issued, pending->key)) {
        return;
    }
    if (pending->key_time_ms < ClaimTable_Floor(this->issued)) {
        Claims_AnswerAll(this, pending, &expired);
        return;
    }
    entry.holder = ClaimHolders_Ref(this->holders, Claims_Host(this),
                                    this->options.incarnation);
    ClaimTable_Add(this->issued, &entry);
    Claims_Dispatch(this, pending, this->issued);
}

static void
on_redirect(Claims *this, Pending *pending, const ClaimOutcomeReply *reply)
{
    if (!pending->may_grant) {
        return;
    }
    pending->may_grant = false;
    Claims_QueryHolder(this, pending, reply->holder,
                       reply->holder_incarnation);
}

static void
on_ran(Claims *this, Pending *pending, const ClaimOutcomeReply *reply)
{
    ClaimAnswer answer =
        Claims_MakeAnswer(CLAIM_RAN, 409, "answer-not-held", 0);

    if (reply->has_answer) {
        answer = Claims_MakeAnswer(CLAIM_RAN, 0, "repeated", 0);
        answer.answer = reply->answer;
    }
    Claims_AnswerAll(this, pending, &answer);
}

static void
answer_with(Claims *this, Pending *pending, ClaimOutcome outcome, int status,
            const char *reason)
{
    ClaimAnswer answer = Claims_MakeAnswer(outcome, status, reason, 0);

    Claims_AnswerAll(this, pending, &answer);
}

void
Claims_OnReply(Claims *this, Str from, const ClaimOutcomeReply *reply)
{
    Pending *pending = PendingSet_Find(this->pending, reply->key);

    if (pending == NULL || pending->state != PENDING_QUERYING ||
        pending->number != reply->number ||
        reply->to_incarnation != this->options.incarnation ||
        !Str_Equal(from, Str_FromString(pending->holder))) {
        return;
    }
    switch (reply->state) {
    case CLAIM_REPLY_PENDING:
        return;
    case CLAIM_REPLY_NOT_RUN:
        answer_with(this, pending, CLAIM_NOT_RUN, 409, "key-abandoned");
        return;
    case CLAIM_REPLY_RAN:
        on_ran(this, pending, reply);
        return;
    case CLAIM_REPLY_UNKNOWN:
        answer_with(this, pending, CLAIM_UNKNOWN, 409, "outcome-unknown");
        return;
    case CLAIM_REPLY_REUSED:
        answer_with(this, pending, CLAIM_UNKNOWN, 422, "key-reused");
        return;
    case CLAIM_REPLY_INCARNATION_ENDED:
        answer_holder_unavailable(this, pending);
        return;
    case CLAIM_REPLY_GRANTED:
        on_granted(this, pending);
        return;
    case CLAIM_REPLY_REDIRECT:
        on_redirect(this, pending, reply);
        return;
    }
}
