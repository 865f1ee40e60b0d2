#include "Claims.h"

#include "ClaimsPrivate.h"

/* Defaults; docs/at-most-once.md gives the reasons. */
#define REMEMBERED_KEYS_MAX ((size_t)1 << 20)
#define ISSUED_KEYS_MAX ((size_t)1 << 16)
#define ANSWER_CACHE_BYTES ((size_t)16 << 20)
#define ANSWER_MAX_BYTES ((size_t)64 << 10)
#define KEY_RETENTION_US (3600 * MICROS_PER_S)
#define GAP_MARGIN_US (180 * MICROS_PER_S)
#define COLLECTOR_APPENDS_PER_S 60.0
#define BACKUP_APPENDS_PER_S 12.0
#define DIRECT_APPENDS_PER_S 8.0
#define CLAIM_TIMEOUT_US (250 * MICROS_PER_MS)
#define MARKER_INTERVAL_US (300 * MICROS_PER_S)
#define COLLECTOR_BURST_APPENDS 2.0
#define DIRECT_BURST_APPENDS 1.0

ClaimsOptions
ClaimsOptions_Default(Str host, uint64_t incarnation)
{
    return (ClaimsOptions){
        .host = host,
        .incarnation = incarnation,
        .partitions = 1,
        .remembered_keys = REMEMBERED_KEYS_MAX,
        .issued_keys = ISSUED_KEYS_MAX,
        .answer_bytes = ANSWER_CACHE_BYTES,
        .answer_limit = ANSWER_MAX_BYTES,
        .key_retention = KEY_RETENTION_US,
        .gap_margin = GAP_MARGIN_US,
        .collector_rate = COLLECTOR_APPENDS_PER_S,
        .backup_collector_rate = BACKUP_APPENDS_PER_S,
        .direct_rate = DIRECT_APPENDS_PER_S,
        .claim_timeout = CLAIM_TIMEOUT_US,
        .marker_interval = MARKER_INTERVAL_US,
        .use_collector = true,
        .fault = CLAIMS_FAULT_NONE,
    };
}

static void
init_partition(Claims *this, Partition *partition)
{
    const ClaimsOptions *options = &this->options;
    Micros now = Clock_Now(this->clock);

    partition->last_record_time = now;
    partition->append_up = true;
    partition->table = ClaimTable_Create(
        options->remembered_keys / options->partitions, this->holders,
        options->fault == CLAIMS_FAULT_KEEP_FLOOR);
    partition->collector =
        ClaimBatcher_Create(options->collector_rate / options->partitions,
                            COLLECTOR_BURST_APPENDS, now);
    partition->direct = ClaimBatcher_Create(
        options->direct_rate / options->partitions, DIRECT_BURST_APPENDS, now);
}

Claims *
Claims_Create(const ClaimsOptions *options, const Clock *clock)
{
    Claims *this = g_new0(Claims, 1);

    this->options = *options;
    this->clock = clock;
    this->host = Str_ToString(options->host);
    this->options.host = Str_FromString(this->host);
    this->hosts = g_ptr_array_new();
    this->holders = ClaimHolders_Create();
    this->partitions = g_new0(Partition, options->partitions);
    for (uint32_t i = 0; i < options->partitions; i++) {
        init_partition(this, &this->partitions[i]);
    }
    this->issued =
        ClaimTable_Create(options->issued_keys, this->holders,
                          options->fault == CLAIMS_FAULT_KEEP_FLOOR);
    this->answers =
        AnswerCache_Create(options->answer_bytes, options->answer_limit);
    this->pending = PendingSet_Create();
    this->actions = ClaimActions_Create();
    this->appends = g_hash_table_new(g_direct_hash, g_direct_equal);
    this->next_number = 1;
    this->next_append = 1;
    return this;
}

static void
free_hosts(Claims *this)
{
    for (guint i = 0; i < this->hosts->len; i++) {
        g_string_free(this->hosts->pdata[i], TRUE);
    }
    g_ptr_array_set_size(this->hosts, 0);
}

void
Claims_Destroy(Claims *this)
{
    g_hash_table_destroy(this->appends);
    ClaimActions_Destroy(this->actions);
    PendingSet_Destroy(this->pending);
    AnswerCache_Destroy(this->answers);
    ClaimTable_Destroy(this->issued);
    for (uint32_t i = 0; i < this->options.partitions; i++) {
        ClaimTable_Destroy(this->partitions[i].table);
        ClaimBatcher_Destroy(this->partitions[i].collector);
        ClaimBatcher_Destroy(this->partitions[i].direct);
    }
    g_free(this->partitions);
    ClaimHolders_Destroy(this->holders);
    free_hosts(this);
    g_ptr_array_free(this->hosts, TRUE);
    g_string_free(this->host, TRUE);
    g_free(this);
}

void
Claims_SetHosts(Claims *this, const Str *hosts, size_t n)
{
    double share = 1.0 / (double)(MAX(n, 1) * this->options.partitions);
    Micros now = Clock_Now(this->clock);

    free_hosts(this);
    for (size_t i = 0; i < n; i++) {
        g_ptr_array_add(this->hosts, Str_ToString(hosts[i]));
    }
    for (uint32_t i = 0; i < this->options.partitions; i++) {
        ClaimBatcher_SetRate(this->partitions[i].direct,
                             this->options.direct_rate * share, now);
        ClaimBatcher_SetRate(this->partitions[i].collector,
                             Claims_CollectorRate(this, i), now);
    }
}

Str
Claims_Host(const Claims *this)
{
    return this->options.host;
}

/* Every host counts as live while there is no host list. */
bool
Claims_IsLive(const Claims *this, Str host)
{
    for (guint i = 0; i < this->hosts->len; i++) {
        const GString *name = this->hosts->pdata[i];

        if (Str_Equal(host, Str_FromString(name))) {
            return true;
        }
    }
    return this->hosts->len == 0;
}

bool
Claims_HoldsEntry(const Claims *this, const ClaimEntry *entry)
{
    uint64_t incarnation =
        ClaimHolders_Incarnation(this->holders, entry->holder);

    return Str_Equal(ClaimHolders_Host(this->holders, entry->holder),
                     Claims_Host(this)) &&
           (incarnation == this->options.incarnation ||
            this->options.fault == CLAIMS_FAULT_ANY_INCARNATION);
}

ClaimAnswer
Claims_MakeAnswer(ClaimOutcome outcome, int status, const char *reason,
                  Micros retry_after)
{
    return (ClaimAnswer){.outcome = outcome,
                         .status = status,
                         .reason = reason,
                         .retry_after = retry_after};
}

void
Claims_AnswerOne(Claims *this, uint64_t request_id, const ClaimAnswer *answer)
{
    ClaimAction action = {
        .kind = CLAIM_ANSWER, .request_id = request_id, .answer = *answer};

    this->counters.answered++;
    ClaimActions_Add(this->actions, &action);
}

/* Answers every request that waits for the key and removes the key. */
void
Claims_AnswerAll(Claims *this, Pending *pending, const ClaimAnswer *answer)
{
    while (pending->waiters->len > 0) {
        Waiter waiter = PendingSet_TakeWaiter(this->pending, pending, 0);

        Claims_AnswerOne(this, waiter.request_id, answer);
    }
    PendingSet_Remove(this->pending, pending);
}

/* Returns the answer for a key that this host holds and is not pending. */
ClaimAnswer
Claims_AnswerForEntry(const Claims *this, const ClaimEntry *entry)
{
    ClaimAnswer answer;

    switch ((ClaimEntryState)entry->state) {
    case ENTRY_RAN:
        answer = Claims_MakeAnswer(CLAIM_RAN, 0, "repeated", 0);
        if (!AnswerCache_Get(this->answers, entry->key, &answer.answer)) {
            answer = Claims_MakeAnswer(CLAIM_RAN, 409, "answer-not-held", 0);
        }
        return answer;
    case ENTRY_NOT_RUN:
        return Claims_MakeAnswer(CLAIM_NOT_RUN, 409, "key-abandoned", 0);
    case ENTRY_UNKNOWN:
        return Claims_MakeAnswer(CLAIM_UNKNOWN, 409, "outcome-unknown", 0);
    case ENTRY_OTHER_HOST:
    case ENTRY_RUNNING:
        break;
    }
    return Claims_MakeAnswer(CLAIM_UNKNOWN, 409, "key-running",
                             RETRY_AFTER_US);
}

ClaimTable *
Claims_TableForKey(Claims *this, const Pending *pending)
{
    return pending->issued ? this->issued
                           : this->partitions[pending->partition].table;
}

/* Dispatches a waiting request. The key must be held by this host alone and
 * be marked in the table as running. */
void
Claims_Dispatch(Claims *this, Pending *pending, ClaimTable *table)
{
    Micros now = Clock_Now(this->clock);
    ClaimEntry *entry = ClaimTable_Find(table, pending->key);
    ClaimAction action = {.kind = CLAIM_DISPATCH};
    ClaimAnswer timeout = Claims_MakeAnswer(CLAIM_NOT_RUN, 504, "deadline", 0);

    for (guint i = 0; i < pending->waiters->len; i++) {
        const Waiter *waiter = &g_array_index(pending->waiters, Waiter, i);

        if (waiter->deadline > now) {
            Waiter runner = PendingSet_TakeWaiter(this->pending, pending, i);

            PendingSet_SetRunner(this->pending, pending, runner);
            action.request_id = runner.request_id;
            ClaimActions_Add(this->actions, &action);
            return;
        }
    }
    if (entry != NULL) {
        entry->state = ENTRY_NOT_RUN;
    }
    this->counters.abandoned++;
    Claims_AnswerAll(this, pending, &timeout);
}

void
Claims_Finish(Claims *this, Pending *pending, ClaimOutcome outcome, Str text)
{
    ClaimEntry *entry =
        ClaimTable_Find(Claims_TableForKey(this, pending), pending->key);
    ClaimAnswer answer =
        Claims_MakeAnswer(CLAIM_UNKNOWN, 409, "outcome-unknown", 0);
    ClaimEntryState state = ENTRY_UNKNOWN;

    if (outcome == CLAIM_NOT_RUN &&
        this->options.fault == CLAIMS_FAULT_REFUSED_AS_RAN) {
        outcome = CLAIM_RAN;
    }
    if (outcome == CLAIM_RAN) {
        state = ENTRY_RAN;
        AnswerCache_Put(this->answers, pending->key, text);
        answer = Claims_MakeAnswer(CLAIM_RAN, 0, "repeated", 0);
        answer.answer = text;
    }
    if (outcome == CLAIM_NOT_RUN) {
        state = ENTRY_NOT_RUN;
        answer = Claims_MakeAnswer(CLAIM_NOT_RUN, 409, "key-abandoned", 0);
    }
    if (entry != NULL) {
        entry->state = state;
    }
    Claims_AnswerAll(this, pending, &answer);
}

void
Claims_OnFinished(Claims *this, uint64_t request_id, ClaimOutcome outcome,
                  Str answer)
{
    Pending *pending = PendingSet_FindRequest(this->pending, request_id);

    if (pending == NULL || pending->state != PENDING_RUNNING ||
        pending->runner.request_id != request_id) {
        return;
    }
    Claims_Finish(this, pending, outcome, answer);
}

int
Claims_Cancel(Claims *this, uint64_t request_id)
{
    Pending *pending = PendingSet_FindRequest(this->pending, request_id);

    if (pending == NULL) {
        return ERR_NOT_FOUND;
    }
    for (guint i = 0; i < pending->waiters->len; i++) {
        if (g_array_index(pending->waiters, Waiter, i).request_id ==
            request_id) {
            PendingSet_TakeWaiter(this->pending, pending, i);
            if (pending->waiters->len == 0 &&
                pending->state != PENDING_RUNNING) {
                this->counters.abandoned++;
                PendingSet_Remove(this->pending, pending);
            }
            return 0;
        }
    }
    return ERR_NOT_FOUND;
}

/* Turns a dispatch whose deadline has passed into the answer not-run, which
 * is certain: only this host may run the key, and nothing was sent. */
static bool
check_dispatch(Claims *this, ClaimAction *action)
{
    Pending *pending =
        PendingSet_FindRequest(this->pending, action->request_id);
    ClaimAnswer timeout = Claims_MakeAnswer(CLAIM_NOT_RUN, 504, "deadline", 0);

    if (pending == NULL || pending->state != PENDING_RUNNING) {
        return false;
    }
    if (pending->runner.deadline > Clock_Now(this->clock)) {
        pending->dispatched = true;
        this->counters.dispatched++;
        return true;
    }
    this->counters.abandoned++;
    Claims_AnswerOne(this, action->request_id, &timeout);
    Claims_Finish(this, pending, CLAIM_NOT_RUN, (Str){NULL, 0});
    return false;
}

bool
Claims_NextAction(Claims *this, ClaimAction *action)
{
    while (ClaimActions_Next(this->actions, action)) {
        if (action->kind != CLAIM_DISPATCH || check_dispatch(this, action)) {
            return true;
        }
    }
    return false;
}
