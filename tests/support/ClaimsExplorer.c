#include "ClaimsExplorer.h"

#include <stdio.h>
#include <string.h>

#include "FakeLog.h"

#define HOSTS_MAX 3
#define KEYS_MAX 2
#define WALL_START ((Micros)1700000000 * MICROS_PER_S)
#define DEADLINE MICROS_PER_S
#define LATE (10 * MICROS_PER_S)
/* Rate that never holds an append back. */
#define UNLIMITED 1e9

typedef enum StepKind_ {
    STEP_SEND,    /* a caller sends key b to host a */
    STEP_WRITE,   /* append a takes effect */
    STEP_REWRITE, /* append a takes effect and is sent again */
    STEP_READ,    /* host a reads one record and stops before acting */
    STEP_ACT,     /* host a takes its actions */
    STEP_DELIVER, /* message a arrives */
    STEP_REPEAT,  /* message a arrives and is sent again */
    STEP_LATE,    /* the clock of host a passes all deadlines */
    STEP_DIE,     /* host a dies and is replaced */
    STEP_EXPIRE,  /* the log drops its oldest record */
    STEP_RUN,     /* upstream runs request a; its end is on the way */
    STEP_REFUSE,  /* upstream proves that request a did not run */
    STEP_FINISH,  /* the response to request a arrives */
    STEP_BREAK,   /* the connection of request a breaks after it ran */
} StepKind;

typedef struct Step_ {
    uint8_t kind;
    uint8_t a;
    uint8_t b;
    uint8_t c;
} Step;

typedef struct Flight_ {
    uint32_t host; /* sender of an append, receiver of a message */
    uint64_t epoch;
    uint32_t from;
    uint64_t append_id;
    GString *record;
    bool is_reply;
    ClaimOutcomeQuery query;
    ClaimOutcomeReply reply;
    GString *answer;
    uint32_t holder;
} Flight;

typedef struct Request_ {
    uint32_t host;
    uint64_t epoch;
    uint32_t key;
    uint64_t digest;
    int stage; /* 0 waits, 1 given to the upstream, 2 ran, 3 done */
} Request;

typedef struct World_ {
    const ExplorationBounds *bounds;
    Clock *clocks[HOSTS_MAX];
    Claims *claims[HOSTS_MAX];
    uint64_t epochs[HOSTS_MAX];
    bool held[HOSTS_MAX]; /* actions not yet taken */
    bool read_end[HOSTS_MAX];
    char keys[KEYS_MAX][IDEMPOTENCY_KEY_MAX + 1];
    FakeLog *log;
    uint64_t log_first;
    GPtrArray *appends;
    GPtrArray *messages;
    GArray *requests;
    OutcomeHistory *history;
    uint32_t sends, crashes, duplicates, expiries, timeouts;
    HistoryOutcome last_word[KEYS_MAX];
    uint32_t told[KEYS_MAX][3];
    uint32_t runs[KEYS_MAX];
} World;

static const char *const HOST_NAMES[HOSTS_MAX] = {"a", "b", "c"};

static void
free_flight(gpointer data)
{
    Flight *flight = data;

    if (flight->record != NULL) {
        g_string_free(flight->record, TRUE);
    }
    if (flight->answer != NULL) {
        g_string_free(flight->answer, TRUE);
    }
    g_free(flight);
}

static uint32_t
host_number(Str name)
{
    uint32_t i = 0;

    while (i < HOSTS_MAX && !Str_Equal(name, Str_FromC(HOST_NAMES[i]))) {
        i++;
    }
    return i;
}

static void
start_host(World *this, uint32_t i)
{
    ClaimsOptions options =
        ClaimsOptions_Default(Str_FromC(HOST_NAMES[i]), this->epochs[i] + 1);
    Str names[HOSTS_MAX] = {{NULL, 0}};

    for (uint32_t k = 0; k < this->bounds->hosts; k++) {
        names[k] = Str_FromC(HOST_NAMES[k]);
    }
    options.use_collector = false;
    options.collector_rate = UNLIMITED;
    options.direct_rate = UNLIMITED;
    options.remembered_keys = this->bounds->remembered;
    options.issued_keys = this->bounds->remembered;
    options.fault = this->bounds->fault;
    this->claims[i] = Claims_Create(&options, this->clocks[i]);
    this->held[i] = false;
    this->read_end[i] = false;
    Claims_SetHosts(this->claims[i], names, this->bounds->hosts);
}

static void
read_log(World *this, uint32_t host)
{
    ClaimLogRead *read =
        FakeLog_Read(this->log, 0, Claims_ReadFrom(this->claims[host], 0), 1);

    Claims_OnRecords(this->claims[host], read);
    FakeLog_FreeRead(read);
}

static World *
create_world(const ExplorationBounds *bounds)
{
    World *this = g_new0(World, 1);

    this->bounds = bounds;
    this->log = FakeLog_Create();
    this->appends = g_ptr_array_new();
    this->messages = g_ptr_array_new();
    this->requests = g_array_new(FALSE, TRUE, sizeof(Request));
    this->history = OutcomeHistory_Create();
    for (uint32_t i = 0; i < bounds->hosts; i++) {
        this->clocks[i] = Clock_CreateManual(MICROS_PER_S, WALL_START);
        start_host(this, i);
        read_log(this, i);
    }
    for (uint32_t k = 0; k < bounds->keys; k++) {
        uint64_t random[2] = {k + 1, k + 1};
        IdempotencyKey key = IdempotencyKey_Make((uint64_t)(WALL_START / 1000),
                                                 random, (Str){NULL, 0}, 0);

        IdempotencyKey_Write(&key, this->keys[k]);
        if (bounds->issued) {
            Claims_IssueKey(this->claims[0], random, this->keys[k]);
        }
    }
    return this;
}

static void
destroy_world(World *this)
{
    for (uint32_t i = 0; i < this->bounds->hosts; i++) {
        Claims_Destroy(this->claims[i]);
        Clock_Destroy(this->clocks[i]);
    }
    g_ptr_array_foreach(this->appends, (GFunc)(void *)free_flight, NULL);
    g_ptr_array_foreach(this->messages, (GFunc)(void *)free_flight, NULL);
    g_ptr_array_free(this->appends, TRUE);
    g_ptr_array_free(this->messages, TRUE);
    g_array_free(this->requests, TRUE);
    OutcomeHistory_Destroy(this->history);
    FakeLog_Destroy(this->log);
    g_free(this);
}

static void
tell(World *this, uint32_t id, const ClaimAnswer *answer)
{
    static const HistoryOutcome words[] = {
        [CLAIM_NOT_RUN] = HISTORY_NOT_RUN,
        [CLAIM_RAN] = HISTORY_RAN,
        [CLAIM_UNKNOWN] = HISTORY_UNKNOWN,
    };
    Request *request = &g_array_index(this->requests, Request, id);
    uint64_t digest = 0;

    Str_ParseU64(answer->answer, &digest);
    request->stage = 3;
    this->told[request->key][words[answer->outcome]]++;
    OutcomeHistory_AddAnswer(this->history, request->key + 1, request->digest,
                             words[answer->outcome], answer->answer.length > 0,
                             digest);
}

static void
add_message(World *this, uint32_t from, const ClaimAction *action)
{
    Flight *flight = g_new0(Flight, 1);

    flight->from = from;
    flight->host = host_number(action->host);
    flight->is_reply = action->kind == CLAIM_REPLY;
    if (flight->is_reply) {
        flight->reply = action->reply;
        flight->holder = host_number(action->reply.holder);
        flight->answer = Str_ToString(action->reply.answer);
    }
    else {
        flight->query = action->query;
    }
    g_ptr_array_add(this->messages, flight);
}

static void
add_append(World *this, uint32_t host, const ClaimAction *action)
{
    Flight *flight = g_new0(Flight, 1);

    flight->host = host;
    flight->epoch = this->epochs[host];
    flight->append_id = action->append.id;
    flight->record = Str_ToString(action->append.record);
    g_ptr_array_add(this->appends, flight);
}

static void
act(World *this, uint32_t host)
{
    ClaimAction action;

    this->held[host] = false;
    while (Claims_NextAction(this->claims[host], &action)) {
        switch (action.kind) {
        case CLAIM_APPEND:
            add_append(this, host, &action);
            break;
        case CLAIM_DISPATCH:
            g_array_index(this->requests, Request, action.request_id).stage =
                1;
            break;
        case CLAIM_ANSWER:
            tell(this, (uint32_t)action.request_id, &action.answer);
            break;
        case CLAIM_QUERY:
        case CLAIM_REPLY:
            add_message(this, host, &action);
            break;
        case CLAIM_SUBMIT:
            break;
        }
    }
}

static void
send_request(World *this, const Step *step)
{
    Request request = {
        .host = step->a,
        .epoch = this->epochs[step->a],
        .key = step->b,
        .digest = 100 + 10 * step->b + step->c,
    };
    ClaimRequest begun = {
        .line = STR("line"),
        .caller = STR("caller"),
        .key = Str_FromC(this->keys[step->b]),
        .digest = request.digest,
        .deadline = Clock_Now(this->clocks[step->a]) + DEADLINE,
    };
    uint32_t id = this->requests->len;
    ClaimState state;

    this->sends++;
    /* Lets the append budget refill. */
    Clock_Advance(this->clocks[step->a], 1);
    g_array_append_val(this->requests, request);
    state = Claims_Begin(this->claims[step->a], &begun, id);
    if (state.kind == CLAIM_STATE_ANSWER) {
        tell(this, id, &state.answer);
    }
    act(this, step->a);
}

static void
write_append(World *this, const Step *step)
{
    Flight *flight = this->appends->pdata[step->a];

    FakeLog_Append(this->log, Str_FromString(flight->record),
                   (uint64_t)(WALL_START / 1000));
    if (step->kind == STEP_REWRITE) {
        this->duplicates++;
        return;
    }
    if (flight->epoch == this->epochs[flight->host]) {
        Claims_OnAppendResult(this->claims[flight->host], flight->append_id,
                              0);
        act(this, flight->host);
    }
    g_ptr_array_remove_index(this->appends, step->a);
    free_flight(flight);
}

static void
deliver(World *this, const Step *step)
{
    Flight *flight = this->messages->pdata[step->a];
    Claims *claims = this->claims[flight->host];
    Str from = Str_FromC(HOST_NAMES[flight->from]);

    if (flight->is_reply) {
        flight->reply.answer = Str_FromString(flight->answer);
        flight->reply.holder = flight->holder < HOSTS_MAX
                                   ? Str_FromC(HOST_NAMES[flight->holder])
                                   : (Str){NULL, 0};
        Claims_OnReply(claims, from, &flight->reply);
    }
    else {
        flight->query.from = from;
        Claims_OnQuery(claims, &flight->query);
    }
    if (step->kind == STEP_REPEAT) {
        this->duplicates++;
        act(this, flight->host);
        return;
    }
    g_ptr_array_remove_index(this->messages, step->a);
    act(this, flight->host);
    free_flight(flight);
}

static void
finish(World *this, uint32_t id, ClaimOutcome outcome)
{
    Request *request = &g_array_index(this->requests, Request, id);
    uint32_t host = request->host;
    char digest[32] = "";
    ClaimAnswer answer = {.outcome = outcome};

    request->stage = 3;
    if (request->epoch != this->epochs[host]) {
        return;
    }
    if (outcome == CLAIM_RAN) {
        snprintf(digest, sizeof(digest), "%llu",
                 (unsigned long long)request->digest);
    }
    answer.answer = Str_FromC(digest);
    Claims_OnFinished(this->claims[host], id, outcome, answer.answer);
    tell(this, id, &answer);
    act(this, host);
}

static void
run_request(World *this, uint32_t id)
{
    Request *request = &g_array_index(this->requests, Request, id);

    request->stage = 2;
    this->runs[request->key]++;
    OutcomeHistory_AddRun(this->history, request->key + 1, request->digest);
}

static void
expire_record(World *this)
{
    this->expiries++;
    this->log_first++;
    FakeLog_DropFirst(this->log);
}

static void
replace_host(World *this, uint32_t host)
{
    Claims_Destroy(this->claims[host]);
    this->epochs[host]++;
    this->crashes++;
    start_host(this, host);
    act(this, host);
}

static void
apply(World *this, const Step *step)
{
    switch ((StepKind)step->kind) {
    case STEP_SEND:
        send_request(this, step);
        return;
    case STEP_WRITE:
    case STEP_REWRITE:
        write_append(this, step);
        return;
    case STEP_READ:
        this->read_end[step->a] = Claims_ReadFrom(this->claims[step->a], 0) >=
                                  FakeLog_Next(this->log);
        read_log(this, step->a);
        this->held[step->a] = true;
        return;
    case STEP_ACT:
        act(this, step->a);
        return;
    case STEP_DELIVER:
    case STEP_REPEAT:
        deliver(this, step);
        return;
    case STEP_LATE:
        this->timeouts++;
        Clock_Advance(this->clocks[step->a], LATE);
        Claims_OnTick(this->claims[step->a]);
        act(this, step->a);
        return;
    case STEP_DIE:
        replace_host(this, step->a);
        return;
    case STEP_EXPIRE:
        expire_record(this);
        return;
    case STEP_RUN:
        run_request(this, step->a);
        return;
    case STEP_REFUSE:
        finish(this, step->a, CLAIM_NOT_RUN);
        return;
    case STEP_FINISH:
        finish(this, step->a, CLAIM_RAN);
        return;
    case STEP_BREAK:
        finish(this, step->a, CLAIM_UNKNOWN);
        return;
    }
}

static void
offer(GArray *steps, StepKind kind, uint32_t a, uint32_t b, uint32_t c)
{
    Step step = {.kind = (uint8_t)kind,
                 .a = (uint8_t)a,
                 .b = (uint8_t)b,
                 .c = (uint8_t)c};

    g_array_append_val(steps, step);
}

static void
offer_host_steps(const World *this, uint32_t host, GArray *steps)
{
    const ExplorationBounds *bounds = this->bounds;

    for (uint32_t k = 0; k < bounds->keys && this->sends < bounds->sends;
         k++) {
        for (uint32_t body = 0; body < bounds->bodies; body++) {
            offer(steps, STEP_SEND, host, k, body);
        }
    }
    if (this->held[host]) {
        offer(steps, STEP_ACT, host, 0, 0);
    }
    if (Claims_ReadFrom(this->claims[host], 0) < FakeLog_Next(this->log) ||
        (!Claims_LogUsable(this->claims[host], 0) && !this->read_end[host])) {
        offer(steps, STEP_READ, host, 0, 0);
    }
    if (this->timeouts < bounds->timeouts) {
        offer(steps, STEP_LATE, host, 0, 0);
    }
    if (this->crashes < bounds->crashes) {
        offer(steps, STEP_DIE, host, 0, 0);
    }
}

static void
offer_steps(const World *this, GArray *steps)
{
    const ExplorationBounds *bounds = this->bounds;
    bool duplicates = this->duplicates < bounds->duplicates;

    for (uint32_t i = 0; i < bounds->hosts; i++) {
        offer_host_steps(this, i, steps);
    }
    for (uint32_t i = 0; i < this->appends->len; i++) {
        if (FakeLog_Next(this->log) < bounds->records) {
            offer(steps, STEP_WRITE, i, 0, 0);
            if (duplicates) {
                offer(steps, STEP_REWRITE, i, 0, 0);
            }
        }
    }
    for (uint32_t i = 0; i < this->messages->len; i++) {
        offer(steps, STEP_DELIVER, i, 0, 0);
        if (duplicates) {
            offer(steps, STEP_REPEAT, i, 0, 0);
        }
    }
    for (uint32_t i = 0; i < this->requests->len; i++) {
        int stage = g_array_index(this->requests, Request, i).stage;

        if (stage == 1) {
            offer(steps, STEP_RUN, i, 0, 0);
            offer(steps, STEP_REFUSE, i, 0, 0);
        }
        if (stage == 2) {
            offer(steps, STEP_FINISH, i, 0, 0);
            offer(steps, STEP_BREAK, i, 0, 0);
        }
    }
    if (this->expiries < bounds->expiries &&
        this->log_first < FakeLog_Next(this->log)) {
        offer(steps, STEP_EXPIRE, 0, 0, 0);
    }
}

static void
describe_flights(const World *this, GString *text)
{
    for (guint i = 0; i < this->appends->len; i++) {
        const Flight *flight = this->appends->pdata[i];

        g_string_append_printf(text, "|append %u %d ", flight->host,
                               flight->epoch == this->epochs[flight->host]);
        Str_AppendTo(Str_FromString(flight->record), text);
    }
    for (guint i = 0; i < this->messages->len; i++) {
        const Flight *flight = this->messages->pdata[i];

        g_string_append_printf(text, "|message %u>%u %d ", flight->from,
                               flight->host, flight->is_reply);
        if (flight->is_reply) {
            g_string_append_printf(
                text, "%llu %llu %llx %d %u %llu %s",
                (unsigned long long)flight->reply.number,
                (unsigned long long)flight->reply.to_incarnation,
                (unsigned long long)flight->reply.key.word[0],
                flight->reply.state, flight->holder,
                (unsigned long long)flight->reply.holder_incarnation,
                flight->answer->str);
            continue;
        }
        g_string_append_printf(
            text, "%llu %llx %llu %llu %llu",
            (unsigned long long)flight->query.number,
            (unsigned long long)flight->query.key.word[0],
            (unsigned long long)flight->query.digest,
            (unsigned long long)flight->query.from_incarnation,
            (unsigned long long)flight->query.holder_incarnation);
    }
}

/* Text that differs between any two states with different futures. */
static void
describe(const World *this, GString *text)
{
    ClaimLogRead *read = FakeLog_Read(this->log, 0, 0, 100);

    g_string_append_printf(text, "%u %u %u %u %u", this->sends, this->crashes,
                           this->duplicates, this->expiries, this->timeouts);
    for (uint32_t i = 0; i < this->bounds->hosts; i++) {
        g_string_append_printf(text, "|host %llu %d %d %lld ",
                               (unsigned long long)this->epochs[i],
                               this->held[i], this->read_end[i],
                               (long long)Clock_Now(this->clocks[i]));
        Claims_Describe(this->claims[i], text);
    }
    for (size_t i = 0; i < read->n; i++) {
        g_string_append_printf(text, "|record %llu ",
                               (unsigned long long)read->records[i].offset);
        Str_AppendTo(read->records[i].record, text);
    }
    FakeLog_FreeRead(read);
    describe_flights(this, text);
    for (guint i = 0; i < this->requests->len; i++) {
        const Request *request = &g_array_index(this->requests, Request, i);

        g_string_append_printf(
            text, "|request %u %u %llu %d %d", request->host, request->key,
            (unsigned long long)request->digest, request->stage,
            request->epoch == this->epochs[request->host]);
    }
    for (uint32_t k = 0; k < this->bounds->keys; k++) {
        g_string_append_printf(text, "|key %u %u %u", this->runs[k],
                               MIN(this->told[k][HISTORY_NOT_RUN], 1),
                               MIN(this->told[k][HISTORY_RAN], 1));
    }
}

static World *
replay(const ExplorationBounds *bounds, const GArray *path)
{
    World *world = create_world(bounds);

    for (guint i = 0; i < path->len; i++) {
        apply(world, &g_array_index(path, Step, i));
    }
    return world;
}

/* True if the state is reached for the first time. */
static bool
is_new(GHashTable *seen, const World *world)
{
    GString *text = g_string_sized_new(1024);
    uint64_t hash;
    bool added;

    describe(world, text);
    hash = Str_Hash(Str_FromString(text));
    added = g_hash_table_add(seen, g_memdup2(&hash, sizeof(hash)));
    g_string_free(text, TRUE);
    return added;
}

/* A state to be expanded: how it was reached and what can follow. */
typedef struct Node_ {
    GArray *path;
    GArray *steps;
} Node;

static void
free_node(gpointer data)
{
    Node *node = data;

    g_array_free(node->path, TRUE);
    g_array_free(node->steps, TRUE);
    g_free(node);
}

static void
add_node(const World *world, const GArray *path, const Step *step,
         GQueue *queue)
{
    Node *node = g_new(Node, 1);

    node->path = g_array_sized_new(FALSE, FALSE, sizeof(Step), path->len + 1);
    node->steps = g_array_new(FALSE, FALSE, sizeof(Step));
    if (step != NULL) {
        g_array_append_vals(node->path, path->data, path->len);
        g_array_append_val(node->path, *step);
    }
    offer_steps(world, node->steps);
    g_queue_push_tail(queue, node);
}

static void
visit(const ExplorationBounds *bounds, const GArray *path, const Step *step,
      GHashTable *seen, GQueue *queue, ExplorationResult *result)
{
    World *world = replay(bounds, path);

    apply(world, step);
    result->steps++;
    if (is_new(seen, world)) {
        add_node(world, path, step, queue);
        result->states++;
        result->depth = MAX(result->depth, path->len + 1);
        result->violations = OutcomeHistory_Check(world->history);
    }
    destroy_world(world);
}

static void
start_walk(const ExplorationBounds *bounds, GHashTable *seen, GQueue *queue)
{
    GArray *path = g_array_new(FALSE, FALSE, sizeof(Step));
    World *world = create_world(bounds);

    is_new(seen, world);
    add_node(world, path, NULL, queue);
    destroy_world(world);
    g_array_free(path, TRUE);
}

ExplorationResult
ClaimsExplorer_Run(const ExplorationBounds *bounds)
{
    ExplorationResult result = {.states = 1};
    GHashTable *seen =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
    GQueue queue = G_QUEUE_INIT;
    bool broken = false;

    start_walk(bounds, seen, &queue);
    while (!g_queue_is_empty(&queue) && result.states < bounds->states &&
           !broken) {
        Node *node = g_queue_pop_head(&queue);

        for (guint i = 0; i < node->steps->len && !broken; i++) {
            visit(bounds, node->path, &g_array_index(node->steps, Step, i),
                  seen, &queue, &result);
            broken = OutcomeViolations_Total(&result.violations) > 0;
        }
        free_node(node);
    }
    result.complete = g_queue_is_empty(&queue) && !broken;
    g_queue_clear_full(&queue, free_node);
    g_hash_table_destroy(seen);
    return result;
}
