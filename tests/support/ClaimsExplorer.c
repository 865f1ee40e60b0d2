#include "ClaimsExplorer.h"

#include <stdio.h>
#include <string.h>

#include "FakeLog.h"

#define HOSTS_MAX 3
#define KEYS_MAX 2
#define WALL_START_US ((Micros)1700000000 * MICROS_PER_S)
#define DEADLINE_US MICROS_PER_S
#define TIMEOUT_STEP_US (10 * MICROS_PER_S)
/* Rate that never delays an append. */
#define UNLIMITED_PER_S 1e9

typedef enum StepKind_ {
    STEP_SEND,              /* a caller sends key b to host a */
    STEP_WRITE,             /* append a takes effect */
    STEP_WRITE_DUPLICATE,   /* append a takes effect and is sent again */
    STEP_READ,              /* host a reads one record, without its actions */
    STEP_ACT,               /* host a performs its actions */
    STEP_DELIVER,           /* message a arrives */
    STEP_DELIVER_DUPLICATE, /* message a arrives and is sent again */
    STEP_TIMEOUT,           /* the clock of host a passes all deadlines */
    STEP_CRASH,             /* host a crashes and restarts */
    STEP_EXPIRE,            /* the log drops its oldest record */
    STEP_RUN,               /* an upstream runs request a */
    STEP_REFUSE,            /* an upstream proves that request a did not run */
    STEP_FINISH,            /* the response to request a arrives at the host */
    STEP_CONNECTION_CLOSED, /* the response to request a is lost */
} StepKind;

/* A step and its operands, whose meaning depends on the kind. */
typedef struct Step_ {
    uint8_t kind;
    uint8_t a;
    uint8_t b;
    uint8_t c;
} Step;

/* An append on the way to the log, or a message between hosts. */
typedef struct InFlight_ {
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
} InFlight;

typedef enum RequestStage_ {
    STAGE_WAITING,
    STAGE_DISPATCHED,
    STAGE_RUN,
    STAGE_DONE,
} RequestStage;

typedef struct Request_ {
    uint32_t host;
    uint64_t epoch;
    uint32_t key;
    uint64_t digest;
    int stage; /* RequestStage */
} Request;

/* A state: the hosts, the log, and all that is in flight. */
typedef struct Model_ {
    const ExplorationBounds *bounds;
    Clock *clocks[HOSTS_MAX];
    Claims *claims[HOSTS_MAX];
    uint64_t epochs[HOSTS_MAX];
    bool actions_due[HOSTS_MAX];
    bool read_to_end[HOSTS_MAX]; /* the last read returned no record */
    char keys[KEYS_MAX][IDEMPOTENCY_KEY_MAX_BYTES + 1];
    FakeLog *log;
    uint64_t log_first;
    GPtrArray *appends;
    GPtrArray *messages;
    GArray *requests;
    OutcomeHistory *history;
    uint32_t sends, crashes, duplicates, expiries, timeouts;
    HistoryOutcome last_outcome[KEYS_MAX]; /* not used */
    uint32_t answer_counts[KEYS_MAX][3];
    uint32_t run_counts[KEYS_MAX];
} Model;

static const char *const HOST_NAMES[HOSTS_MAX] = {"a", "b", "c"};

static void
free_in_flight(gpointer data)
{
    InFlight *item = data;

    if (item->record != NULL) {
        g_string_free(item->record, TRUE);
    }
    if (item->answer != NULL) {
        g_string_free(item->answer, TRUE);
    }
    g_free(item);
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
start_host(Model *this, uint32_t i)
{
    ClaimsOptions options =
        ClaimsOptions_Default(Str_FromC(HOST_NAMES[i]), this->epochs[i] + 1);
    Str names[HOSTS_MAX] = {{NULL, 0}};

    for (uint32_t k = 0; k < this->bounds->hosts; k++) {
        names[k] = Str_FromC(HOST_NAMES[k]);
    }
    options.use_collector = false;
    options.collector_rate = UNLIMITED_PER_S;
    options.direct_rate = UNLIMITED_PER_S;
    options.remembered_keys = this->bounds->remembered;
    options.issued_keys = this->bounds->remembered;
    options.fault = this->bounds->fault;
    this->claims[i] = Claims_Create(&options, this->clocks[i]);
    this->actions_due[i] = false;
    this->read_to_end[i] = false;
    Claims_SetHosts(this->claims[i], names, this->bounds->hosts);
}

static void
read_log(Model *this, uint32_t host)
{
    ClaimLogRead *read =
        FakeLog_Read(this->log, 0, Claims_ReadFrom(this->claims[host], 0), 1);

    Claims_OnRecords(this->claims[host], read);
    FakeLog_FreeRead(read);
}

static Model *
create_model(const ExplorationBounds *bounds)
{
    Model *this = g_new0(Model, 1);

    this->bounds = bounds;
    this->log = FakeLog_Create();
    this->appends = g_ptr_array_new();
    this->messages = g_ptr_array_new();
    this->requests = g_array_new(FALSE, TRUE, sizeof(Request));
    this->history = OutcomeHistory_Create();
    for (uint32_t i = 0; i < bounds->hosts; i++) {
        this->clocks[i] = Clock_CreateManual(MICROS_PER_S, WALL_START_US);
        start_host(this, i);
        read_log(this, i);
    }
    for (uint32_t k = 0; k < bounds->keys; k++) {
        uint64_t random[2] = {k + 1, k + 1};
        IdempotencyKey key = IdempotencyKey_Make(
            (uint64_t)(WALL_START_US / 1000), random, (Str){NULL, 0}, 0);

        IdempotencyKey_Write(&key, this->keys[k]);
        if (bounds->issued) {
            Claims_IssueKey(this->claims[0], random, this->keys[k]);
        }
    }
    return this;
}

static void
destroy_model(Model *this)
{
    for (uint32_t i = 0; i < this->bounds->hosts; i++) {
        Claims_Destroy(this->claims[i]);
        Clock_Destroy(this->clocks[i]);
    }
    g_ptr_array_foreach(this->appends, (GFunc)(void *)free_in_flight, NULL);
    g_ptr_array_foreach(this->messages, (GFunc)(void *)free_in_flight, NULL);
    g_ptr_array_free(this->appends, TRUE);
    g_ptr_array_free(this->messages, TRUE);
    g_array_free(this->requests, TRUE);
    OutcomeHistory_Destroy(this->history);
    FakeLog_Destroy(this->log);
    g_free(this);
}

static void
record_answer(Model *this, uint32_t id, const ClaimAnswer *answer)
{
    static const HistoryOutcome outcomes[] = {
        [CLAIM_NOT_RUN] = HISTORY_NOT_RUN,
        [CLAIM_RAN] = HISTORY_RAN,
        [CLAIM_UNKNOWN] = HISTORY_UNKNOWN,
    };
    Request *request = &g_array_index(this->requests, Request, id);
    uint64_t digest = 0;

    Str_ParseU64(answer->answer, &digest);
    request->stage = STAGE_DONE;
    this->answer_counts[request->key][outcomes[answer->outcome]]++;
    OutcomeHistory_AddAnswer(this->history, request->key + 1, request->digest,
                             outcomes[answer->outcome],
                             answer->answer.length > 0, digest);
}

static void
add_message(Model *this, uint32_t from, const ClaimAction *action)
{
    InFlight *item = g_new0(InFlight, 1);

    item->from = from;
    item->host = host_number(action->host);
    item->is_reply = action->kind == CLAIM_REPLY;
    if (item->is_reply) {
        item->reply = action->reply;
        item->holder = host_number(action->reply.holder);
        item->answer = Str_ToString(action->reply.answer);
    }
    else {
        item->query = action->query;
    }
    g_ptr_array_add(this->messages, item);
}

static void
add_append(Model *this, uint32_t host, const ClaimAction *action)
{
    InFlight *item = g_new0(InFlight, 1);

    item->host = host;
    item->epoch = this->epochs[host];
    item->append_id = action->append.id;
    item->record = Str_ToString(action->append.record);
    g_ptr_array_add(this->appends, item);
}

static void
perform_actions(Model *this, uint32_t host)
{
    ClaimAction action;

    this->actions_due[host] = false;
    while (Claims_NextAction(this->claims[host], &action)) {
        switch (action.kind) {
        case CLAIM_APPEND:
            add_append(this, host, &action);
            break;
        case CLAIM_DISPATCH:
            g_array_index(this->requests, Request, action.request_id).stage =
                STAGE_DISPATCHED;
            break;
        case CLAIM_ANSWER:
            record_answer(this, (uint32_t)action.request_id, &action.answer);
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
send_request(Model *this, const Step *step)
{
    Request request = {
        .host = step->a,
        .epoch = this->epochs[step->a],
        .key = step->b,
        .digest = 100 + 10 * step->b + step->c,
    };
    ClaimRequest claim_request = {
        .line = STR("line"),
        .caller = STR("caller"),
        .key = Str_FromC(this->keys[step->b]),
        .digest = request.digest,
        .deadline = Clock_Now(this->clocks[step->a]) + DEADLINE_US,
    };
    uint32_t id = this->requests->len;
    ClaimState state;

    this->sends++;
    /* Refills the token buckets for appends. */
    Clock_Advance(this->clocks[step->a], 1);
    g_array_append_val(this->requests, request);
    state = Claims_Begin(this->claims[step->a], &claim_request, id);
    if (state.kind == CLAIM_STATE_ANSWER) {
        record_answer(this, id, &state.answer);
    }
    perform_actions(this, step->a);
}

static void
write_append(Model *this, const Step *step)
{
    InFlight *item = this->appends->pdata[step->a];

    FakeLog_Append(this->log, Str_FromString(item->record),
                   (uint64_t)(WALL_START_US / 1000));
    if (step->kind == STEP_WRITE_DUPLICATE) {
        this->duplicates++;
        return;
    }
    if (item->epoch == this->epochs[item->host]) {
        Claims_OnAppendResult(this->claims[item->host], item->append_id, 0);
        perform_actions(this, item->host);
    }
    g_ptr_array_remove_index(this->appends, step->a);
    free_in_flight(item);
}

static void
deliver(Model *this, const Step *step)
{
    InFlight *item = this->messages->pdata[step->a];
    Claims *claims = this->claims[item->host];
    Str from = Str_FromC(HOST_NAMES[item->from]);

    if (item->is_reply) {
        item->reply.answer = Str_FromString(item->answer);
        item->reply.holder = item->holder < HOSTS_MAX
                                 ? Str_FromC(HOST_NAMES[item->holder])
                                 : (Str){NULL, 0};
        Claims_OnReply(claims, from, &item->reply);
    }
    else {
        item->query.from = from;
        Claims_OnQuery(claims, &item->query);
    }
    if (step->kind == STEP_DELIVER_DUPLICATE) {
        this->duplicates++;
        perform_actions(this, item->host);
        return;
    }
    g_ptr_array_remove_index(this->messages, step->a);
    perform_actions(this, item->host);
    free_in_flight(item);
}

static void
finish(Model *this, uint32_t id, ClaimOutcome outcome)
{
    Request *request = &g_array_index(this->requests, Request, id);
    uint32_t host = request->host;
    char digest[32] = "";
    ClaimAnswer answer = {.outcome = outcome};

    request->stage = STAGE_DONE;
    if (request->epoch != this->epochs[host]) {
        return;
    }
    if (outcome == CLAIM_RAN) {
        snprintf(digest, sizeof(digest), "%llu",
                 (unsigned long long)request->digest);
    }
    answer.answer = Str_FromC(digest);
    Claims_OnFinished(this->claims[host], id, outcome, answer.answer);
    record_answer(this, id, &answer);
    perform_actions(this, host);
}

static void
run_request(Model *this, uint32_t id)
{
    Request *request = &g_array_index(this->requests, Request, id);

    request->stage = STAGE_RUN;
    this->run_counts[request->key]++;
    OutcomeHistory_AddRun(this->history, request->key + 1, request->digest);
}

static void
expire_record(Model *this)
{
    this->expiries++;
    this->log_first++;
    FakeLog_DropFirst(this->log);
}

static void
replace_host(Model *this, uint32_t host)
{
    Claims_Destroy(this->claims[host]);
    this->epochs[host]++;
    this->crashes++;
    start_host(this, host);
    perform_actions(this, host);
}

static void
apply_step(Model *this, const Step *step)
{
    switch ((StepKind)step->kind) {
    case STEP_SEND:
        send_request(this, step);
        return;
    case STEP_WRITE:
    case STEP_WRITE_DUPLICATE:
        write_append(this, step);
        return;
    case STEP_READ:
        this->read_to_end[step->a] =
            Claims_ReadFrom(this->claims[step->a], 0) >=
            FakeLog_Next(this->log);
        read_log(this, step->a);
        this->actions_due[step->a] = true;
        return;
    case STEP_ACT:
        perform_actions(this, step->a);
        return;
    case STEP_DELIVER:
    case STEP_DELIVER_DUPLICATE:
        deliver(this, step);
        return;
    case STEP_TIMEOUT:
        this->timeouts++;
        Clock_Advance(this->clocks[step->a], TIMEOUT_STEP_US);
        Claims_OnTick(this->claims[step->a]);
        perform_actions(this, step->a);
        return;
    case STEP_CRASH:
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
    case STEP_CONNECTION_CLOSED:
        finish(this, step->a, CLAIM_UNKNOWN);
        return;
    }
}

static void
add_step(GArray *steps, StepKind kind, uint32_t a, uint32_t b, uint32_t c)
{
    Step step = {.kind = (uint8_t)kind,
                 .a = (uint8_t)a,
                 .b = (uint8_t)b,
                 .c = (uint8_t)c};

    g_array_append_val(steps, step);
}

static void
add_host_steps(const Model *this, uint32_t host, GArray *steps)
{
    const ExplorationBounds *bounds = this->bounds;

    for (uint32_t k = 0; k < bounds->keys && this->sends < bounds->sends;
         k++) {
        for (uint32_t body = 0; body < bounds->bodies; body++) {
            add_step(steps, STEP_SEND, host, k, body);
        }
    }
    if (this->actions_due[host]) {
        add_step(steps, STEP_ACT, host, 0, 0);
    }
    if (Claims_ReadFrom(this->claims[host], 0) < FakeLog_Next(this->log) ||
        (!Claims_LogUsable(this->claims[host], 0) &&
         !this->read_to_end[host])) {
        add_step(steps, STEP_READ, host, 0, 0);
    }
    if (this->timeouts < bounds->timeouts) {
        add_step(steps, STEP_TIMEOUT, host, 0, 0);
    }
    if (this->crashes < bounds->crashes) {
        add_step(steps, STEP_CRASH, host, 0, 0);
    }
}

static void
add_steps(const Model *this, GArray *steps)
{
    const ExplorationBounds *bounds = this->bounds;
    bool duplicates = this->duplicates < bounds->duplicates;

    for (uint32_t i = 0; i < bounds->hosts; i++) {
        add_host_steps(this, i, steps);
    }
    for (uint32_t i = 0; i < this->appends->len; i++) {
        if (FakeLog_Next(this->log) < bounds->records) {
            add_step(steps, STEP_WRITE, i, 0, 0);
            if (duplicates) {
                add_step(steps, STEP_WRITE_DUPLICATE, i, 0, 0);
            }
        }
    }
    for (uint32_t i = 0; i < this->messages->len; i++) {
        add_step(steps, STEP_DELIVER, i, 0, 0);
        if (duplicates) {
            add_step(steps, STEP_DELIVER_DUPLICATE, i, 0, 0);
        }
    }
    for (uint32_t i = 0; i < this->requests->len; i++) {
        int stage = g_array_index(this->requests, Request, i).stage;

        if (stage == STAGE_DISPATCHED) {
            add_step(steps, STEP_RUN, i, 0, 0);
            add_step(steps, STEP_REFUSE, i, 0, 0);
        }
        if (stage == STAGE_RUN) {
            add_step(steps, STEP_FINISH, i, 0, 0);
            add_step(steps, STEP_CONNECTION_CLOSED, i, 0, 0);
        }
    }
    if (this->expiries < bounds->expiries &&
        this->log_first < FakeLog_Next(this->log)) {
        add_step(steps, STEP_EXPIRE, 0, 0, 0);
    }
}

static void
describe_in_flight(const Model *this, GString *text)
{
    for (guint i = 0; i < this->appends->len; i++) {
        const InFlight *item = this->appends->pdata[i];

        g_string_append_printf(text, "|append %u %d ", item->host,
                               item->epoch == this->epochs[item->host]);
        Str_AppendTo(Str_FromString(item->record), text);
    }
    for (guint i = 0; i < this->messages->len; i++) {
        const InFlight *item = this->messages->pdata[i];

        g_string_append_printf(text, "|message %u>%u %d ", item->from,
                               item->host, item->is_reply);
        if (item->is_reply) {
            g_string_append_printf(
                text, "%llu %llu %llx %d %u %llu %s",
                (unsigned long long)item->reply.number,
                (unsigned long long)item->reply.to_incarnation,
                (unsigned long long)item->reply.key.word[0], item->reply.state,
                item->holder,
                (unsigned long long)item->reply.holder_incarnation,
                item->answer->str);
            continue;
        }
        g_string_append_printf(
            text, "%llu %llx %llu %llu %llu",
            (unsigned long long)item->query.number,
            (unsigned long long)item->query.key.word[0],
            (unsigned long long)item->query.digest,
            (unsigned long long)item->query.from_incarnation,
            (unsigned long long)item->query.holder_incarnation);
    }
}

/* Two states get the same text only if the same steps can follow from both. */
static void
describe_state(const Model *this, GString *text)
{
    ClaimLogRead *read = FakeLog_Read(this->log, 0, 0, 100);

    g_string_append_printf(text, "%u %u %u %u %u", this->sends, this->crashes,
                           this->duplicates, this->expiries, this->timeouts);
    for (uint32_t i = 0; i < this->bounds->hosts; i++) {
        g_string_append_printf(text, "|host %llu %d %d %lld ",
                               (unsigned long long)this->epochs[i],
                               this->actions_due[i], this->read_to_end[i],
                               (long long)Clock_Now(this->clocks[i]));
        Claims_Describe(this->claims[i], text);
    }
    for (size_t i = 0; i < read->n; i++) {
        g_string_append_printf(text, "|record %llu ",
                               (unsigned long long)read->records[i].offset);
        Str_AppendTo(read->records[i].record, text);
    }
    FakeLog_FreeRead(read);
    describe_in_flight(this, text);
    for (guint i = 0; i < this->requests->len; i++) {
        const Request *request = &g_array_index(this->requests, Request, i);

        g_string_append_printf(
            text, "|request %u %u %llu %d %d", request->host, request->key,
            (unsigned long long)request->digest, request->stage,
            request->epoch == this->epochs[request->host]);
    }
    for (uint32_t k = 0; k < this->bounds->keys; k++) {
        g_string_append_printf(text, "|key %u %u %u", this->run_counts[k],
                               MIN(this->answer_counts[k][HISTORY_NOT_RUN], 1),
                               MIN(this->answer_counts[k][HISTORY_RAN], 1));
    }
}

static Model *
replay(const ExplorationBounds *bounds, const GArray *path)
{
    Model *model = create_model(bounds);

    for (guint i = 0; i < path->len; i++) {
        apply_step(model, &g_array_index(path, Step, i));
    }
    return model;
}

/* Returns true if the state is reached for the first time. */
static bool
is_new(GHashTable *seen, const Model *model)
{
    GString *text = g_string_sized_new(1024);
    uint64_t hash;
    bool added;

    describe_state(model, text);
    hash = Str_Hash(Str_FromString(text));
    added = g_hash_table_add(seen, g_memdup2(&hash, sizeof(hash)));
    g_string_free(text, TRUE);
    return added;
}

/* A state to expand: the path to it and the steps that can follow. */
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
add_node(const Model *model, const GArray *path, const Step *step,
         GQueue *queue)
{
    Node *node = g_new(Node, 1);

    node->path = g_array_sized_new(FALSE, FALSE, sizeof(Step), path->len + 1);
    node->steps = g_array_new(FALSE, FALSE, sizeof(Step));
    if (step != NULL) {
        g_array_append_vals(node->path, path->data, path->len);
        g_array_append_val(node->path, *step);
    }
    add_steps(model, node->steps);
    g_queue_push_tail(queue, node);
}

static void
visit(const ExplorationBounds *bounds, const GArray *path, const Step *step,
      GHashTable *seen, GQueue *queue, ExplorationResult *result)
{
    Model *model = replay(bounds, path);

    apply_step(model, step);
    result->steps++;
    if (is_new(seen, model)) {
        add_node(model, path, step, queue);
        result->states++;
        result->depth = MAX(result->depth, path->len + 1);
        result->violations = OutcomeHistory_Check(model->history);
    }
    destroy_model(model);
}

static void
add_initial_state(const ExplorationBounds *bounds, GHashTable *seen,
                  GQueue *queue)
{
    GArray *path = g_array_new(FALSE, FALSE, sizeof(Step));
    Model *model = create_model(bounds);

    is_new(seen, model);
    add_node(model, path, NULL, queue);
    destroy_model(model);
    g_array_free(path, TRUE);
}

ExplorationResult
ClaimsExplorer_Run(const ExplorationBounds *bounds)
{
    ExplorationResult result = {.states = 1};
    GHashTable *seen =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
    GQueue queue = G_QUEUE_INIT;
    bool violated = false;

    add_initial_state(bounds, seen, &queue);
    while (!g_queue_is_empty(&queue) && result.states < bounds->states &&
           !violated) {
        Node *node = g_queue_pop_head(&queue);

        for (guint i = 0; i < node->steps->len && !violated; i++) {
            visit(bounds, node->path, &g_array_index(node->steps, Step, i),
                  seen, &queue, &result);
            violated = OutcomeViolations_Total(&result.violations) > 0;
        }
        free_node(node);
    }
    result.complete = g_queue_is_empty(&queue) && !violated;
    g_queue_clear_full(&queue, free_node);
    g_hash_table_destroy(seen);
    return result;
}
