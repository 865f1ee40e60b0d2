#include "Claims.h"

#include "ClaimsPrivate.h"

/* Defaults; see docs/at-most-once.md for the figures behind them. */
#define REMEMBERED_KEYS ((size_t)1 << 20)
#define ISSUED_KEYS ((size_t)1 << 16)
#define ANSWER_BYTES ((size_t)16 << 20)
#define ANSWER_LIMIT ((size_t)64 << 10)
#define REMEMBER (3600 * MICROS_PER_S)
#define MARGIN (180 * MICROS_PER_S)
#define COLLECTOR_RATE 60.0
#define DIRECT_RATE 20.0
#define OVERDUE (250 * MICROS_PER_MS)
#define MARKER_INTERVAL (300 * MICROS_PER_S)
#define COLLECTOR_BURST 2.0
#define DIRECT_BURST 1.0

ClaimsOptions
ClaimsOptions_Default(Str host, uint64_t incarnation)
{
    return (ClaimsOptions){
        .host = host,
        .incarnation = incarnation,
        .partitions = 1,
        .remembered_keys = REMEMBERED_KEYS,
        .issued_keys = ISSUED_KEYS,
        .answer_bytes = ANSWER_BYTES,
        .answer_limit = ANSWER_LIMIT,
        .remember = REMEMBER,
        .margin = MARGIN,
        .collector_rate = COLLECTOR_RATE,
        .direct_rate = DIRECT_RATE,
        .overdue = OVERDUE,
        .marker_interval = MARKER_INTERVAL,
        .collect = true,
        .fault = CLAIMS_FAULT_NONE,
    };
}

static void
init_partition(Claims *this, Partition *partition)
{
    const ClaimsOptions *options = &this->options;
    Micros now = Clock_Now(this->clock);

    partition->last_record = now;
    partition->append_up = true;
    partition->table = ClaimTable_Create(
        options->remembered_keys / options->partitions, this->holders,
        options->fault == CLAIMS_FAULT_KEEP_FLOOR);
    partition->collector = ClaimBatcher_Create(
        options->collector_rate / options->partitions, COLLECTOR_BURST, now);
    partition->direct = ClaimBatcher_Create(
        options->direct_rate / options->partitions, DIRECT_BURST, now);
}

Claims *
Claims_Create(const ClaimsOptions *options, const Clock *clock)
{
    Claims *this = g_new0(Claims, 1);

    this->options = *options;
    this->clock = clock;
    this->host =
        g_string_new_len(options->host.data, (gssize)options->host.length);
    this->options.host = (Str){this->host->str, this->host->len};
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
        g_ptr_array_add(
            this->hosts,
            g_string_new_len(hosts[i].data, (gssize)hosts[i].length));
    }
    for (uint32_t i = 0; i < this->options.partitions; i++) {
        ClaimBatcher_SetRate(this->partitions[i].direct,
                             this->options.direct_rate * share, now);
        if (!this->options.collect) {
            ClaimBatcher_SetRate(this->partitions[i].collector,
                                 this->options.collector_rate * share, now);
        }
    }
}

Str
Claims_Host(const Claims *this)
{
    return this->options.host;
}

/* Without a host list every host counts as live. */
bool
Claims_IsLive(const Claims *this, Str host)
{
    for (guint i = 0; i < this->hosts->len; i++) {
        const GString *name = this->hosts->pdata[i];

        if (Str_Equal(host, (Str){name->str, name->len})) {
            return true;
        }
    }
    return this->hosts->len == 0;
}

bool
Claims_IsMine(const Claims *this, const ClaimEntry *entry)
{
    uint64_t incarnation =
        ClaimHolders_Incarnation(this->holders, entry->holder);

    return Str_Equal(ClaimHolders_Host(this->holders, entry->holder),
                     Claims_Host(this)) &&
           (incarnation == this->options.incarnation ||
            this->options.fault == CLAIMS_FAULT_ANY_INCARNATION);
}

ClaimAnswer
Claims_Reply(ClaimOutcome outcome, int status, const char *reason,
             Micros retry_after)
{
    return (ClaimAnswer){.outcome = outcome,
                         .status = status,
                         .reason = reason,
                         .retry_after = retry_after};
}

static ClaimState
answer_now(ClaimAnswer answer)
{
    return (ClaimState){.kind = CLAIM_STATE_ANSWER, .answer = answer};
}

static ClaimState
wait_for_action(void)
{
    return (ClaimState){.kind = CLAIM_STATE_WAIT};
}

void
Claims_AnswerOne(Claims *this, uint64_t request_id, const ClaimAnswer *answer)
{
    ClaimAction action = {
        .kind = CLAIM_ANSWER, .request_id = request_id, .answer = *answer};

    this->counters.answered++;
    ClaimActions_Add(this->actions, &action);
}

/* Answers and forgets every request that waits for the key. */
void
Claims_AnswerAll(Claims *this, Pending *pending, const ClaimAnswer *answer)
{
    while (pending->waiters->len > 0) {
        Waiter waiter = PendingSet_TakeWaiter(this->pending, pending, 0);

        Claims_AnswerOne(this, waiter.request_id, answer);
    }
    PendingSet_Remove(this->pending, pending);
}

/* The answer for a key that this host holds and that is not pending. */
ClaimAnswer
Claims_AnswerOf(const Claims *this, const ClaimEntry *entry)
{
    ClaimAnswer answer;

    switch ((ClaimEntryState)entry->state) {
    case ENTRY_RAN:
        answer = Claims_Reply(CLAIM_RAN, 0, "repeated", 0);
        if (!AnswerCache_Get(this->answers, entry->key, &answer.answer)) {
            answer = Claims_Reply(CLAIM_RAN, 409, "answer-not-held", 0);
        }
        return answer;
    case ENTRY_NOT_RUN:
        return Claims_Reply(CLAIM_NOT_RUN, 409, "key-abandoned", 0);
    case ENTRY_UNKNOWN:
        return Claims_Reply(CLAIM_UNKNOWN, 409, "outcome-unknown", 0);
    case ENTRY_OPEN:
    case ENTRY_RUNNING:
        break;
    }
    return Claims_Reply(CLAIM_UNKNOWN, 409, "key-running", RETRY_SOON);
}

ClaimTable *
Claims_TableOf(Claims *this, const Pending *pending)
{
    return pending->issued ? this->issued
                           : this->partitions[pending->partition].table;
}

static bool
same_request(const Claims *this, uint64_t a, uint64_t b)
{
    return a == b || this->options.fault == CLAIMS_FAULT_IGNORE_DIGEST;
}

static ClaimAnswer
key_reused(void)
{
    return Claims_Reply(CLAIM_UNKNOWN, 422, "key-reused", 0);
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
join(Claims *this, Pending *pending, const ClaimRequest *request,
     uint64_t request_id)
{
    Waiter waiter = {.request_id = request_id, .deadline = request->deadline};

    if (!same_request(this, pending->digest, request->digest)) {
        return answer_now(key_reused());
    }
    if (pending->waiters->len >= WAITERS_MAX) {
        return answer_now(
            Claims_Reply(CLAIM_UNKNOWN, 409, "key-running", RETRY_SOON));
    }
    PendingSet_AddWaiter(this->pending, pending, waiter);
    return wait_for_action();
}

static ClaimState
begin_known(Claims *this, const ClaimEntry *entry, const ClaimRequest *request,
            const IdempotencyKey *key, uint64_t request_id)
{
    Pending *pending;

    if (!same_request(this, entry->digest, request->digest)) {
        return answer_now(key_reused());
    }
    if (Claims_IsMine(this, entry)) {
        if (entry->state == ENTRY_NOT_RUN &&
            this->options.fault == CLAIMS_FAULT_RUN_ABANDONED) {
            pending = add_pending(this, request, entry->key, key, request_id);
            Claims_Start(this, pending, Claims_TableOf(this, pending));
            return wait_for_action();
        }
        return answer_now(Claims_AnswerOf(this, entry));
    }
    pending = add_pending(this, request, entry->key, key, request_id);
    Claims_Ask(this, pending, ClaimHolders_Host(this->holders, entry->holder),
               ClaimHolders_Incarnation(this->holders, entry->holder));
    return wait_for_action();
}

/* Refusals of a key of which this host knows no claim. NULL reason: none. */
static ClaimAnswer
check_absent(const Claims *this, const ClaimTable *table,
             const IdempotencyKey *key, Micros deadline)
{
    uint64_t wall_ms = (uint64_t)(Clock_Wall(this->clock) / MICROS_PER_MS);

    if (key->time_ms < ClaimTable_Floor(table)) {
        return Claims_Reply(CLAIM_UNKNOWN, 409, "key-expired", 0);
    }
    if (key->time_ms > wall_ms + CLAIM_FUTURE_MS) {
        return Claims_Reply(CLAIM_UNKNOWN, 409, "key-from-future", 0);
    }
    if (deadline <= Clock_Now(this->clock)) {
        return Claims_Reply(CLAIM_UNKNOWN, 504, "deadline", 0);
    }
    if (PendingSet_Count(this->pending) >= PENDING_MAX) {
        return Claims_Reply(CLAIM_UNKNOWN, 503, "too-many-claims", RETRY_SOON);
    }
    return Claims_Reply(CLAIM_UNKNOWN, 0, NULL, 0);
}

static ClaimState
begin_logged(Claims *this, const ClaimRequest *request, KeyHash hash,
             const IdempotencyKey *key, uint64_t request_id)
{
    uint32_t number = (uint32_t)(hash.word[1] % this->options.partitions);
    const Partition *partition = &this->partitions[number];
    const ClaimEntry *entry = ClaimTable_Find(partition->table, hash);
    ClaimAnswer refusal;
    Pending *pending;

    if (entry != NULL) {
        return begin_known(this, entry, request, key, request_id);
    }
    if (this->disabled) {
        return answer_now(
            Claims_Reply(CLAIM_UNKNOWN, 503, "claims-disabled", 0));
    }
    if (!Claims_LogUsable(this, number)) {
        ClaimOutcome outcome =
            this->options.fault == CLAIMS_FAULT_OUTAGE_NOT_RUN ? CLAIM_NOT_RUN
                                                               : CLAIM_UNKNOWN;
        bool reading = partition->read_up && partition->append_up;

        return answer_now(Claims_Reply(
            outcome, 503, reading ? "catching-up" : "log-unavailable",
            RETRY_LATER));
    }
    refusal = check_absent(this, partition->table, key, request->deadline);
    if (refusal.reason != NULL) {
        return answer_now(refusal);
    }
    pending = add_pending(this, request, hash, key, request_id);
    Claims_Submit(this, pending);
    return wait_for_action();
}

static void
hold_issued(Claims *this, const Pending *pending)
{
    ClaimEntry entry = {
        .key = pending->key,
        .digest = pending->digest,
        .time_s = (uint32_t)(pending->key_time_ms / 1000),
        .holder = ClaimHolders_Take(this->holders, Claims_Host(this),
                                    this->options.incarnation),
        .state = ENTRY_RUNNING,
    };

    ClaimTable_Add(this->issued, &entry);
}

static ClaimState
begin_issued(Claims *this, const ClaimRequest *request, KeyHash hash,
             const IdempotencyKey *key, uint64_t request_id)
{
    const ClaimEntry *entry = ClaimTable_Find(this->issued, hash);
    bool here = Str_Equal(key->host, Claims_Host(this));
    ClaimAnswer refusal;
    Pending *pending;

    if (entry != NULL) {
        return begin_known(this, entry, request, key, request_id);
    }
    if (this->options.fault == CLAIMS_FAULT_ISSUED_ANYWHERE) {
        here = true;
    }
    else if (here && key->incarnation != this->options.incarnation) {
        return answer_now(Claims_Reply(CLAIM_UNKNOWN, 409, "issuer-gone", 0));
    }
    refusal = check_absent(this, this->issued, key, request->deadline);
    if (refusal.reason != NULL) {
        return answer_now(refusal);
    }
    pending = add_pending(this, request, hash, key, request_id);
    if (!here) {
        pending->may_grant = true;
        Claims_Ask(this, pending, key->host, key->incarnation);
        return wait_for_action();
    }
    hold_issued(this, pending);
    Claims_Start(this, pending, this->issued);
    return wait_for_action();
}

ClaimState
Claims_Begin(Claims *this, const ClaimRequest *request, uint64_t request_id)
{
    IdempotencyKey key;
    KeyHash hash;
    Pending *pending;

    this->counters.begun++;
    if (IdempotencyKey_Parse(&key, request->key) != 0) {
        return answer_now(
            Claims_Reply(CLAIM_NOT_RUN, 400, "key-malformed", 0));
    }
    hash = IdempotencyKey_Scope(&key, request->line,
                                this->options.fault == CLAIMS_FAULT_UNSCOPED
                                    ? (Str){NULL, 0}
                                    : request->caller);
    pending = PendingSet_Find(this->pending, hash);
    if (pending != NULL) {
        return join(this, pending, request, request_id);
    }
    if (key.kind == KEY_ISSUED) {
        return begin_issued(this, request, hash, &key, request_id);
    }
    return begin_logged(this, request, hash, &key, request_id);
}

/* This host alone may run the key, and the table says that it runs. */
void
Claims_Start(Claims *this, Pending *pending, ClaimTable *table)
{
    Micros now = Clock_Now(this->clock);
    ClaimEntry *entry = ClaimTable_Find(table, pending->key);
    ClaimAction action = {.kind = CLAIM_DISPATCH};
    ClaimAnswer late = Claims_Reply(CLAIM_NOT_RUN, 504, "deadline", 0);

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
    Claims_AnswerAll(this, pending, &late);
}

void
Claims_Finish(Claims *this, Pending *pending, ClaimOutcome outcome, Str text)
{
    ClaimEntry *entry =
        ClaimTable_Find(Claims_TableOf(this, pending), pending->key);
    ClaimAnswer answer =
        Claims_Reply(CLAIM_UNKNOWN, 409, "outcome-unknown", 0);
    ClaimEntryState state = ENTRY_UNKNOWN;

    if (outcome == CLAIM_NOT_RUN &&
        this->options.fault == CLAIMS_FAULT_SAY_RAN) {
        outcome = CLAIM_RAN;
    }
    if (outcome == CLAIM_RAN) {
        state = ENTRY_RAN;
        AnswerCache_Put(this->answers, pending->key, text);
        answer = Claims_Reply(CLAIM_RAN, 0, "repeated", 0);
        answer.answer = text;
    }
    if (outcome == CLAIM_NOT_RUN) {
        state = ENTRY_NOT_RUN;
        answer = Claims_Reply(CLAIM_NOT_RUN, 409, "key-abandoned", 0);
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

/* A dispatch that comes too late is turned into the answer not-run: the
 * key is this host's alone and nothing was sent. */
static bool
check_dispatch(Claims *this, ClaimAction *action)
{
    Pending *pending =
        PendingSet_FindRequest(this->pending, action->request_id);
    ClaimAnswer late = Claims_Reply(CLAIM_NOT_RUN, 504, "deadline", 0);

    if (pending == NULL || pending->state != PENDING_RUNNING) {
        return false;
    }
    if (pending->runner.deadline > Clock_Now(this->clock)) {
        pending->dispatched = true;
        this->counters.dispatched++;
        return true;
    }
    this->counters.abandoned++;
    Claims_AnswerOne(this, action->request_id, &late);
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
