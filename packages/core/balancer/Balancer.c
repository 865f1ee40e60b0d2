#include "Balancer.h"

#include <string.h>

#include "BalancerPrivate.h"

/* An idempotent request gets at most this part of its remaining time for one
 * attempt, so that a silent connection leaves time for another one. */
#define ATTEMPT_TIME_SHARE 0.5
#define RETRY_AFTER_UNAVAILABLE (1 * MICROS_PER_S)
#define RETRY_AFTER_DEADLINE (1 * MICROS_PER_S)
#define SUSPECT_TIME (1 * MICROS_PER_S)

/* ---- life of a request ---------------------------------------------- */

static BalancerRequest *
find_request(const Balancer *this, uint64_t id)
{
    return g_hash_table_lookup(this->requests, &id);
}

static gint
compare_deadlines(gconstpointer a, gconstpointer b, gpointer user)
{
    const BalancerRequest *x = a, *y = b;

    (void)user;
    if (x->deadline != y->deadline) {
        return x->deadline < y->deadline ? -1 : 1;
    }
    return x->id < y->id ? -1 : x->id > y->id;
}

static void
destroy_request(gpointer data)
{
    BalancerRequest *request = data;

    Exchange_Destroy(request->exchange);
    g_string_free(request->text, TRUE);
    g_free(request);
}

Service *
Balancer_ServiceState(Balancer *this, uint32_t service)
{
    while (this->service_states->len <= service) {
        Service *state = g_new0(Service, 1);

        state->retries = RetryBudget_Create(this->clock);
        g_queue_init(&state->waiting);
        g_ptr_array_add(this->service_states, state);
    }
    return g_ptr_array_index(this->service_states, service);
}

static void
stop_waiting(Balancer *this, BalancerRequest *request)
{
    if (request->waiting) {
        request->waiting = false;
        g_queue_remove(&Balancer_ServiceState(this, request->service)->waiting,
                       request);
    }
}

static void
settle_admission(Balancer *this, BalancerRequest *request, Micros busy,
                 AdmissionOutcome outcome)
{
    AdmissionResult result = {
        .service = request->service,
        .line = request->line,
        .caller = request->caller_hash,
        .cost = 1.0,
        .charge = request->charge,
        .busy = busy,
        .outcome = outcome,
    };

    if (!request->admitted) {
        return;
    }
    request->admitted = false;
    Admission_OnFinish(this->admission, &result);
}

static void
settle_claim(Balancer *this, BalancerRequest *request, ClaimOutcome outcome,
             Str answer)
{
    if (request->claimed) {
        request->claimed = false;
        Claims_OnFinished(this->claims, request->id, outcome, answer);
    }
}

static ClaimOutcome
claim_outcome(Outcome outcome)
{
    switch (outcome) {
    case OUTCOME_NOT_RUN:
        return CLAIM_NOT_RUN;
    case OUTCOME_RAN:
        return CLAIM_RAN;
    case OUTCOME_UNKNOWN:
        return CLAIM_UNKNOWN;
    }
    return CLAIM_UNKNOWN;
}

/* Forgets a request; whatever it held is given back first. */
static void
end_request(Balancer *this, BalancerRequest *request)
{
    stop_waiting(this, request);
    settle_admission(this, request, 0, ADMISSION_NOT_SENT);
    settle_claim(this, request,
                 claim_outcome(Exchange_Outcome(request->exchange)), STR(""));
    g_tree_remove(this->deadlines, request);
    g_hash_table_remove(this->requests, &request->id);
}

static BalancerAction *
add_action(Balancer *this, BalancerActionKind kind, uint64_t request)
{
    guint index = this->actions->len;

    g_array_set_size(this->actions, index + 1);
    this->actions->len = index + 1;
    memset(&g_array_index(this->actions, BalancerAction, index), 0,
           sizeof(BalancerAction));
    g_array_index(this->actions, BalancerAction, index).kind = kind;
    g_array_index(this->actions, BalancerAction, index).request = request;
    return &g_array_index(this->actions, BalancerAction, index);
}

static void
answer_as(Balancer *this, BalancerRequest *request, int status,
          Outcome outcome, const char *reason, Micros retry_after)
{
    BalancerAction *action = add_action(this, BALANCER_ANSWER, request->id);

    action->answer.status = status;
    action->answer.outcome = outcome;
    action->answer.own = Exchange_Outcome(request->exchange);
    action->answer.reason = reason;
    action->answer.retry_after = retry_after;
    Balancer_CountOutcome(this, request, outcome, reason);
    Balancer_LogRefusal(this, request, action);
    Exchange_OnAnswered(request->exchange);
    end_request(this, request);
}

static void
answer(Balancer *this, BalancerRequest *request, int status,
       const char *reason, Micros retry_after)
{
    Outcome outcome = Exchange_Outcome(request->exchange);

    /* An earlier sending of the key may have run through another host. */
    if (outcome == OUTCOME_NOT_RUN && request->keyed && !request->claim_won) {
        outcome = OUTCOME_UNKNOWN;
    }
    answer_as(this, request, status, outcome, reason, retry_after);
}

/* ---- dispatch ------------------------------------------------------- */

typedef struct UpstreamFilter_ {
    const Directory *directory;
    const Labels *labels;
    const uint32_t *busy; /* upstreams that run another suspect */
    size_t busy_count;
} UpstreamFilter;

static bool
may_use_upstream(const void *user, uint32_t upstream)
{
    const UpstreamFilter *filter = user;
    const DirectoryUpstream *entry = Directory_At(filter->directory, upstream);

    for (size_t i = 0; i < filter->busy_count; i++) {
        if (filter->busy[i] == upstream) {
            return false;
        }
    }
    return entry != NULL && entry->present &&
           Labels_Match(filter->labels, &entry->labels);
}

static Micros
attempt_timeout(const Balancer *this, const BalancerRequest *request)
{
    Micros left = request->deadline - Clock_Now(this->clock);
    bool may_retry = request->idempotent && !request->layer_above_retries &&
                     request->tried_count + 1 < this->options.attempts_max;

    return may_retry ? (Micros)((double)left * ATTEMPT_TIME_SHARE) : left;
}

static void
send_attempt(Balancer *this, BalancerRequest *request, uint32_t upstream)
{
    const DirectoryUpstream *entry = Directory_At(this->directory, upstream);
    BalancerAction *action = add_action(this, BALANCER_SEND, request->id);

    request->upstream = upstream;
    request->sent = Clock_Now(this->clock);
    request->status = 0;
    Directory_Hold(this->directory, upstream);
    Router_OnSent(this->router, upstream);
    if (request->fingerprinted) {
        Quarantine_OnSent(this->quarantine, &request->fingerprint, upstream);
    }
    action->send.upstream = upstream;
    action->send.address = entry->address;
    action->send.port = entry->port;
    action->send.caller = request->caller;
    action->send.line = request->line_name;
    action->send.deadline = request->deadline;
    action->send.timeout = attempt_timeout(this, request);
    action->send.new_connection = request->new_connection;
    action->send.retrying =
        request->layer_above_retries || request->tried_count > 0;
    Exchange_OnDispatched(request->exchange);
}

static bool
find_selector(Balancer *this, const BalancerRequest *request, Labels *labels)
{
    const ConfigObject *selector =
        ConfigState_Find(this->config, CONFIG_SELECTOR, request->selector);

    if (selector == NULL) {
        return false;
    }
    *labels = selector->selector.upstreams;
    return true;
}

static void
dispatch(Balancer *this, BalancerRequest *request)
{
    uint32_t busy[ATTEMPTS_LIMIT];
    Labels labels;
    UpstreamFilter filter = {this->directory, &labels, busy, 0};
    RouteQuery query = {
        .service = request->service,
        .admitted = may_use_upstream,
        .user = &filter,
        .avoid = request->tried,
        .avoid_count = request->tried_count,
    };
    RouteChoice choice;
    QuarantineVerdict verdict;
    int code;

    if (Clock_Now(this->clock) >= request->deadline) {
        answer(this, request, 503, "deadline", RETRY_AFTER_DEADLINE);
        return;
    }
    if (!find_selector(this, request, &labels)) {
        answer(this, request, 403, "not-admitted", 0);
        return;
    }
    /* Also before a retry: the last attempt may have cost the second. */
    verdict = request->fingerprinted
                  ? Quarantine_Check(this->quarantine, &request->fingerprint)
                  : QUARANTINE_PASS;
    if (verdict == QUARANTINE_REFUSE) {
        answer(this, request, 422, "quarantined", 0);
        return;
    }
    if (verdict == QUARANTINE_ISOLATE) {
        filter.busy_count = Quarantine_SuspectUpstreams(this->quarantine, busy,
                                                        G_N_ELEMENTS(busy));
    }
    code = Router_Choose(this->router, &query, &choice);
    Balancer_LogRoute(this, request, &choice, code);
    switch (code) {
    case 0:
        send_attempt(this, request, choice.upstream);
        return;
    case ERR_LIMIT:
        request->waiting = true;
        g_queue_push_tail(
            &Balancer_ServiceState(this, request->service)->waiting, request);
        return;
    default:
        answer(this, request, 503, "no-upstream", RETRY_AFTER_UNAVAILABLE);
        return;
    }
}

static void
retry_waiting(Balancer *this, uint32_t service)
{
    GQueue *waiting = &Balancer_ServiceState(this, service)->waiting;
    guint count = waiting->length;

    for (guint i = 0; i < count && waiting->length > 0; i++) {
        BalancerRequest *request = g_queue_pop_head(waiting);

        request->waiting = false;
        dispatch(this, request);
        if (waiting->length > 0 && waiting->tail->data == request) {
            /* Still full: keep the order of arrival and stop. */
            g_queue_pop_tail(waiting);
            g_queue_push_head(waiting, request);
            return;
        }
    }
}

/* ---- claims --------------------------------------------------------- */

static void
take_claim_answer(Balancer *this, BalancerRequest *request,
                  const ClaimAnswer *claim)
{
    static const Outcome words[] = {
        [CLAIM_NOT_RUN] = OUTCOME_NOT_RUN,
        [CLAIM_RAN] = OUTCOME_RAN,
        [CLAIM_UNKNOWN] = OUTCOME_UNKNOWN,
    };
    BalancerAction *action;

    request->claimed = false;
    if (claim->status != 0) {
        answer_as(this, request, claim->status, words[claim->outcome],
                  claim->reason, claim->retry_after);
        return;
    }
    action = add_action(this, BALANCER_REPLAY, request->id);
    g_string_truncate(this->replay, 0);
    Str_AppendTo(claim->answer, this->replay);
    action->replay = Str_FromString(this->replay);
    Balancer_CountOutcome(this, request, OUTCOME_RAN, "replayed");
    Exchange_OnAnswered(request->exchange);
    end_request(this, request);
}

static void
begin_claim(Balancer *this, BalancerRequest *request)
{
    ClaimRequest claim = {
        .line = request->line_name,
        .caller = request->caller,
        .key = request->key,
        .digest = request->digest,
        .deadline = request->deadline,
    };
    ClaimState state = Claims_Begin(this->claims, &claim, request->id);

    Exchange_SetPhase(request->exchange, EXCHANGE_CLAIMING);
    switch (state.kind) {
    case CLAIM_STATE_WAIT:
        request->claimed = true;
        return;
    case CLAIM_STATE_DISPATCH:
        request->claimed = true;
        request->claim_won = true;
        dispatch(this, request);
        return;
    case CLAIM_STATE_ANSWER:
        take_claim_answer(this, request, &state.answer);
        return;
    }
}

void
Balancer_OnClaimAction(Balancer *this, const ClaimAction *action)
{
    BalancerRequest *request = find_request(this, action->request_id);

    if (request == NULL) {
        if (action->kind == CLAIM_DISPATCH) {
            /* The caller has gone; the claim stays unused. */
            Claims_OnFinished(this->claims, action->request_id, CLAIM_NOT_RUN,
                              STR(""));
        }
        return;
    }
    if (action->kind == CLAIM_DISPATCH) {
        request->claim_won = true;
        dispatch(this, request);
    }
    else if (action->kind == CLAIM_ANSWER) {
        take_claim_answer(this, request, &action->answer);
    }
}

static void
proceed_admitted(Balancer *this, BalancerRequest *request)
{
    if (request->keyed) {
        begin_claim(this, request);
        return;
    }
    dispatch(this, request);
}

/* ---- admission ------------------------------------------------------ */

static void
refuse(Balancer *this, BalancerRequest *request,
       const AdmissionVerdict *verdict)
{
    bool by_share = strstr(verdict->reason, "share") != NULL;

    answer(this, request, by_share ? 429 : 503, verdict->reason,
           verdict->retry_after > 0 ? verdict->retry_after
                                    : RETRY_AFTER_UNAVAILABLE);
}

static void
offer(Balancer *this, BalancerRequest *request)
{
    AdmissionRequest offered = {
        .service = request->service,
        .line = request->line,
        .caller = request->caller_hash,
        .request_id = request->id,
        .deadline = request->deadline,
        .cost = 1.0,
    };
    AdmissionVerdict verdict = Admission_Offer(this->admission, &offered);

    switch (verdict.decision) {
    case ADMISSION_ADMIT:
        request->admitted = true;
        request->charge = verdict.charge;
        proceed_admitted(this, request);
        return;
    case ADMISSION_QUEUE:
        Exchange_SetPhase(request->exchange, EXCHANGE_QUEUED);
        return;
    case ADMISSION_REFUSE:
        refuse(this, request, &verdict);
        return;
    }
}

static void
take_queued(Balancer *this, uint32_t service)
{
    AdmissionVerdict verdict;

    while (Admission_Next(this->admission, service, &verdict)) {
        BalancerRequest *request = find_request(this, verdict.request_id);

        if (request == NULL) {
            continue;
        }
        if (verdict.decision == ADMISSION_ADMIT) {
            request->admitted = true;
            request->charge = verdict.charge;
            proceed_admitted(this, request);
        }
        else {
            refuse(this, request, &verdict);
        }
    }
}

/* ---- requests of callers -------------------------------------------- */

static Str
keep_text(BalancerRequest *request, size_t *offset)
{
    Str text = Str_FromC(request->text->str + *offset);

    *offset += text.length + 1;
    return text;
}

static BalancerRequest *
create_request(Balancer *this, const RequestInfo *info)
{
    BalancerRequest *request = g_new0(BalancerRequest, 1);

    request->id = ++this->last_id;
    request->exchange = Exchange_Create();
    request->text = g_string_new(NULL);
    request->received = Clock_Now(this->clock);
    request->deadline = request->received + MICROS_PER_S;
    request->layer_above_retries = info->layer_above_retries;
    request->body_kept = info->body_kept;
    request->upstream = NAME_NONE;
    request->service = NameTable_Find(this->services, info->service);
    /* Until the service's own methods are known. */
    request->keyed = info->key.length > 0 &&
                     !Str_Equal(info->method, STR("GET")) &&
                     !Str_Equal(info->method, STR("HEAD"));
    g_hash_table_insert(this->requests, &request->id, request);
    return request;
}

static void
keep_texts(BalancerRequest *request, const RequestInfo *info,
           const CallerGrant *admitted)
{
    Str parts[] = {
        info->request_id,
        info->method,
        info->path,
        info->key,
        admitted != NULL ? admitted->caller->name : STR(""),
        admitted != NULL ? admitted->line->name : STR(""),
        admitted != NULL ? admitted->selector->name : STR(""),
    };
    size_t offset = 0;

    for (size_t i = 0; i < G_N_ELEMENTS(parts); i++) {
        Str_AppendTo(parts[i], request->text);
        g_string_append_c(request->text, '\0');
    }
    request->request_id = keep_text(request, &offset);
    request->method = keep_text(request, &offset);
    request->path = keep_text(request, &offset);
    request->key = keep_text(request, &offset);
    request->caller = keep_text(request, &offset);
    request->line_name = keep_text(request, &offset);
    request->selector = keep_text(request, &offset);
}

static int
admit(Balancer *this, const RequestInfo *info, CallerGrant *admitted)
{
    if (info->by_certificate) {
        return ConfigState_AdmitCertificate(this->config, info->credential,
                                            info->service, admitted);
    }
    return ConfigState_Admit(this->config, info->credential, info->service,
                             admitted);
}

static void
take_policy(Balancer *this, BalancerRequest *request, const RequestInfo *info,
            const CallerGrant *admitted)
{
    Micros time = admitted->deadline;

    if (info->deadline > 0 && info->deadline < time) {
        time = info->deadline;
    }
    request->deadline = request->received + time;
    request->service = NameTable_Intern(this->services, info->service);
    request->line = NameTable_Intern(this->lines, admitted->line->name);
    request->caller_hash = Str_Hash(admitted->caller->name);
    request->idempotent = StrList_Has(
        &admitted->service->service.idempotent_methods, info->method);
    request->keyed = !request->idempotent && info->key.length > 0;
}

/* Returns false if the request was answered. */
static bool
check_info(Balancer *this, BalancerRequest *request, const RequestInfo *info,
           const CallerGrant *admitted, int code)
{
    if (!this->ready) {
        answer(this, request, 503, "not-ready", RETRY_AFTER_UNAVAILABLE);
        return false;
    }
    if (info->hops >= BALANCER_HOPS_MAX) {
        answer(this, request, 508, "too-many-hops", 0);
        return false;
    }
    if (code == ERR_NOT_FOUND) {
        answer(this, request, 404, "unknown-service", 0);
        return false;
    }
    if (code < 0) {
        answer(this, request, info->credential.length == 0 ? 401 : 403,
               info->credential.length == 0 ? "no-credential" : "not-admitted",
               0);
        return false;
    }
    if (admitted->service->service.require_key && !request->idempotent &&
        info->key.length == 0) {
        answer(this, request, 400, "key-required", 0);
        return false;
    }
    return true;
}

uint64_t
Balancer_OnRequest(Balancer *this, const RequestInfo *info)
{
    BalancerRequest *request = create_request(this, info);
    uint64_t id = request->id;
    CallerGrant admitted;
    int code = admit(this, info, &admitted);

    keep_texts(request, info, code == 0 ? &admitted : NULL);
    if (code == 0) {
        take_policy(this, request, info, &admitted);
    }
    g_tree_insert(this->deadlines, request, request);
    check_info(this, request, info, &admitted, code);
    return id;
}

void
Balancer_OnBody(Balancer *this, uint64_t id, uint64_t digest)
{
    BalancerRequest *request = find_request(this, id);

    if (request == NULL) {
        return;
    }
    request->digest = digest;
    request->fingerprint =
        Quarantine_Fingerprint(request->line, request->method, request->path,
                               (Str){(const char *)&digest, sizeof(digest)});
    request->fingerprinted = true;
    if (Quarantine_Check(this->quarantine, &request->fingerprint) ==
        QUARANTINE_REFUSE) {
        answer(this, request, 422, "quarantined", 0);
        return;
    }
    offer(this, request);
}

/* ---- attempts ------------------------------------------------------- */

static AttemptOutcome
router_outcome(const BalancerRequest *request, AttemptEnd end)
{
    switch (end) {
    case ATTEMPT_END_COMPLETE:
        return request->status >= 500 ? ATTEMPT_ERROR : ATTEMPT_OK;
    case ATTEMPT_END_REFUSED:
        return ATTEMPT_SHED;
    case ATTEMPT_END_UNSENT:
    case ATTEMPT_END_CONNECTION_CLOSED:
        return ATTEMPT_CONNECTION_FAILED;
    case ATTEMPT_END_FRAMING:
        return ATTEMPT_ERROR;
    case ATTEMPT_END_DEADLINE:
        return ATTEMPT_TIMEOUT;
    case ATTEMPT_END_CANCELLED:
        return ATTEMPT_CANCELLED;
    }
    return ATTEMPT_ERROR;
}

static void
report_lost(Balancer *this, uint32_t upstream)
{
    GArray *running = g_array_new(FALSE, FALSE, sizeof(Fingerprint));
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, this->requests);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const BalancerRequest *request = value;

        if (request->upstream == upstream && request->fingerprinted) {
            g_array_append_val(running, request->fingerprint);
        }
    }
    Quarantine_OnUpstreamUnreachable(
        this->quarantine, upstream, (const Fingerprint *)(void *)running->data,
        running->len);
    g_array_free(running, TRUE);
}

/* Tells every part that the open attempt is over. */
static void
close_attempt(Balancer *this, BalancerRequest *request, AttemptEnd end)
{
    Micros busy = Clock_Now(this->clock) - request->sent;
    uint32_t upstream = request->upstream;

    if (upstream == NAME_NONE) {
        return;
    }
    Router_OnFinished(this->router, upstream, router_outcome(request, end),
                      busy);
    if (end == ATTEMPT_END_CONNECTION_CLOSED) {
        report_lost(this, upstream);
    }
    else if (request->fingerprinted) {
        Quarantine_OnResponse(this->quarantine, &request->fingerprint,
                              upstream);
    }
    request->upstream = NAME_NONE;
    if (request->tried_count < ATTEMPTS_LIMIT) {
        request->tried[request->tried_count++] = upstream;
    }
    Directory_Release(this->directory, upstream);
}

static RetryFailure
retry_failure(AttemptEnd end)
{
    switch (end) {
    case ATTEMPT_END_UNSENT:
        return RETRY_FAILURE_NOT_SENT;
    case ATTEMPT_END_REFUSED:
        return RETRY_FAILURE_SHED;
    case ATTEMPT_END_CONNECTION_CLOSED:
        return RETRY_FAILURE_DISCONNECTED;
    case ATTEMPT_END_DEADLINE:
        return RETRY_FAILURE_TIMEOUT;
    default:
        return RETRY_FAILURE_ERROR;
    }
}

static bool
ask_retry(Balancer *this, BalancerRequest *request, RetryFailure failure,
          bool from_balancer, Micros busy)
{
    RetryQuery query = {
        .failure = failure,
        .idempotent = request->idempotent,
        .response_begun =
            Exchange_Phase(request->exchange) == EXCHANGE_RELAYING,
        .body_kept = request->body_kept,
        .layer_above_retries = request->layer_above_retries,
        .from_balancer = from_balancer,
        .attempts = Exchange_Attempts(request->exchange),
        .deadline = request->deadline,
        .expected = failure == RETRY_FAILURE_TIMEOUT ? 0 : busy,
    };
    RetryDecision advice;

    if (query.attempts >= this->options.attempts_max) {
        return false;
    }
    advice = RetryBudget_Decide(
        Balancer_ServiceState(this, request->service)->retries, &query);
    if (EventLog_Begin(this->log, LOG_LEVEL_INFO, "retry")) {
        EventLog_Str(this->log, "request", request->request_id);
        EventLog_Int(this->log, "attempts", query.attempts);
        EventLog_C(this->log, "verdict",
                   RetryBudget_VerdictName(advice.verdict));
        EventLog_End(this->log);
    }
    request->new_connection = advice.new_connection;
    return advice.verdict == RETRY_ALLOWED;
}

static void
finish_whole(Balancer *this, BalancerRequest *request, Micros busy, Str kept)
{
    CounterLabel labels[] = {
        {"line", request->line_name},
        {"service", NameTable_Name(this->services, request->service)},
    };
    Outcome outcome = Exchange_Outcome(request->exchange);

    RetryBudget_OnSuccess(
        Balancer_ServiceState(this, request->service)->retries);
    settle_admission(this, request, busy, ADMISSION_SERVED);
    settle_claim(this, request, claim_outcome(outcome), kept);
    Balancer_CountOutcome(this, request, outcome, "upstream");
    Counters_Observe(this->counters, "agatecrank_request_seconds", labels,
                     G_N_ELEMENTS(labels),
                     Clock_Now(this->clock) - request->received);
    end_request(this, request);
}

static int
failure_status(AttemptEnd end)
{
    switch (end) {
    case ATTEMPT_END_UNSENT:
    case ATTEMPT_END_REFUSED:
        return 503;
    case ATTEMPT_END_DEADLINE:
        return 504;
    default:
        return 502;
    }
}

static const char *
failure_reason(AttemptEnd end)
{
    switch (end) {
    case ATTEMPT_END_UNSENT:
        return "upstream-unreachable";
    case ATTEMPT_END_REFUSED:
        return "upstream-shed";
    case ATTEMPT_END_DEADLINE:
        return "upstream-deadline";
    case ATTEMPT_END_FRAMING:
        return "upstream-framing";
    default:
        return "upstream-broken";
    }
}

static void
finish_failed(Balancer *this, BalancerRequest *request, AttemptEnd end,
              ExchangeStep step, Micros busy)
{
    settle_admission(this, request, busy,
                     end == ATTEMPT_END_REFUSED ? ADMISSION_SHED
                                                : ADMISSION_FAILED);
    switch (step) {
    case EXCHANGE_STEP_ANSWER:
        answer(this, request, failure_status(end), failure_reason(end),
               RETRY_AFTER_UNAVAILABLE);
        return;
    case EXCHANGE_STEP_ABORT:
        Balancer_CountOutcome(this, request, OUTCOME_UNKNOWN,
                              failure_reason(end));
        settle_claim(this, request, CLAIM_UNKNOWN, STR(""));
        add_action(this, BALANCER_ABORT, request->id);
        end_request(this, request);
        return;
    case EXCHANGE_STEP_DROP:
    case EXCHANGE_STEP_FINISH:
        Balancer_CountOutcome(
            this, request, Exchange_Outcome(request->exchange), "caller-gone");
        end_request(this, request);
        return;
    }
}

/* The charge of the request is kept for the attempt that follows. */
static void
report_shed(Balancer *this, const BalancerRequest *request, Micros busy)
{
    AdmissionResult result = {
        .service = request->service,
        .line = request->line,
        .caller = request->caller_hash,
        .cost = 1.0,
        .busy = busy,
        .outcome = ADMISSION_SHED,
    };

    Admission_OnFinish(this->admission, &result);
}

static ExchangeStep
end_attempt(Balancer *this, BalancerRequest *request, AttemptEnd end,
            bool from_balancer, Str kept)
{
    Micros busy = Clock_Now(this->clock) - request->sent;
    uint32_t service = request->service;
    ExchangeStep step;

    close_attempt(this, request, end);
    if (end != ATTEMPT_END_COMPLETE && end != ATTEMPT_END_CANCELLED &&
        ask_retry(this, request, retry_failure(end), from_balancer, busy)) {
        Exchange_OnRetried(request->exchange, end);
        if (end == ATTEMPT_END_REFUSED) {
            report_shed(this, request, busy);
        }
        dispatch(this, request);
        return EXCHANGE_STEP_ANSWER;
    }
    step = Exchange_OnAttemptEnd(request->exchange, end);
    if (step == EXCHANGE_STEP_FINISH) {
        finish_whole(this, request, busy, kept);
    }
    else {
        finish_failed(this, request, end, step, busy);
    }
    take_queued(this, service);
    retry_waiting(this, service);
    return step;
}

void
Balancer_OnSlotsChanged(Balancer *this, uint32_t service)
{
    retry_waiting(this, service);
}

BalancerRelay
Balancer_OnHead(Balancer *this, uint64_t id, const AnswerHead *head)
{
    BalancerRequest *request = find_request(this, id);
    LoadReport report;

    if (request == NULL || request->upstream == NAME_NONE) {
        return BALANCER_DISCARD;
    }
    request->status = head->status;
    if (LoadReport_Parse(head->load, &report) == 0) {
        Router_OnReport(this->router, request->upstream, &report, 0);
        Admission_OnLoad(this->admission, request->service,
                         report.inflight + report.queue,
                         report.slots > 0 ? report.slots : 1);
    }
    if (head->status == 503 && head->not_run) {
        end_attempt(this, request, ATTEMPT_END_REFUSED, head->from_balancer,
                    STR(""));
        return BALANCER_DISCARD;
    }
    if (head->status >= 502 && head->status <= 504 &&
        ask_retry(this, request, RETRY_FAILURE_ERROR, head->from_balancer,
                  Clock_Now(this->clock) - request->sent)) {
        close_attempt(this, request, ATTEMPT_END_COMPLETE);
        Exchange_OnRetried(request->exchange, ATTEMPT_END_COMPLETE);
        dispatch(this, request);
        return BALANCER_DISCARD;
    }
    Exchange_OnRelayed(request->exchange, head->status);
    return BALANCER_RELAY;
}

ExchangeStep
Balancer_OnAttemptEnd(Balancer *this, uint64_t id, AttemptEnd end, Str kept)
{
    BalancerRequest *request = find_request(this, id);

    if (request == NULL || request->upstream == NAME_NONE) {
        return EXCHANGE_STEP_DROP;
    }
    return end_attempt(this, request, end, false, kept);
}

static void
cancel_attempt(Balancer *this, const BalancerRequest *request, bool silent)
{
    const DirectoryUpstream *upstream =
        Directory_At(this->directory, request->upstream);
    BalancerAction *action = add_action(this, BALANCER_CANCEL, request->id);

    action->cancel.silent = silent;
    memcpy(action->cancel.address, upstream->address,
           sizeof(action->cancel.address));
    action->cancel.port = upstream->port;
}

void
Balancer_OnTimeout(Balancer *this, uint64_t id)
{
    BalancerRequest *request = find_request(this, id);

    if (request == NULL || request->upstream == NAME_NONE) {
        return;
    }
    cancel_attempt(this, request, request->status == 0);
    end_attempt(this, request, ATTEMPT_END_DEADLINE, false, STR(""));
}

bool
Balancer_OnCallerGone(Balancer *this, uint64_t id)
{
    BalancerRequest *request = find_request(this, id);

    if (request == NULL) {
        return false;
    }
    if (request->claimed && request->upstream != NAME_NONE) {
        return true;
    }
    if (request->upstream != NAME_NONE) {
        cancel_attempt(this, request, false);
        end_attempt(this, request, ATTEMPT_END_CANCELLED, false, STR(""));
        return false;
    }
    Admission_Cancel(this->admission, request->service, request->line,
                     request->caller_hash, request->id);
    if (request->claimed && Claims_Cancel(this->claims, request->id) == 0) {
        request->claimed = false;
    }
    Balancer_CountOutcome(this, request, Exchange_Outcome(request->exchange),
                          "caller-gone");
    end_request(this, request);
    return false;
}

/* ---- time ----------------------------------------------------------- */

static void
expire_request(Balancer *this, BalancerRequest *request)
{
    Admission_Cancel(this->admission, request->service, request->line,
                     request->caller_hash, request->id);
    if (request->waiting) {
        answer(this, request, 503, "deadline", RETRY_AFTER_DEADLINE);
        return;
    }
    answer(this, request, 408, "body-timeout", RETRY_AFTER_DEADLINE);
}

/* Requests with an open attempt have the shell's timer, and those that wait
 * for a claim are answered by Claims. */
static void
expire_requests(Balancer *this)
{
    Micros now = Clock_Now(this->clock);
    GTreeNode *node = g_tree_node_first(this->deadlines);

    while (node != NULL) {
        BalancerRequest *request = g_tree_node_value(node);

        node = g_tree_node_next(node);
        if (request->deadline > now) {
            return;
        }
        if (request->upstream == NAME_NONE &&
            (!request->claimed || request->waiting)) {
            expire_request(this, request);
            node = g_tree_node_first(this->deadlines);
            if (node != NULL &&
                ((BalancerRequest *)g_tree_node_value(node))->deadline <=
                    now) {
                continue;
            }
            return;
        }
    }
}

void
Balancer_OnTick(Balancer *this)
{
    Claims_OnTick(this->claims);
    for (uint32_t i = 0; i < this->service_states->len; i++) {
        take_queued(this, i);
        if (Balancer_ServiceState(this, i)->waiting.length > 0) {
            retry_waiting(this, i);
        }
    }
    expire_requests(this);
}

/* ---- creation and access -------------------------------------------- */

Balancer *
Balancer_Create(const BalancerOptions *options, ConfigState *config,
                const Clock *clock, Random *random, EventLog *log,
                Counters *counters)
{
    QuarantineOptions quarantine = {0};
    Balancer *this = g_new0(Balancer, 1);

    this->options = *options;
    this->config = config;
    this->clock = clock;
    this->log = log;
    this->counters = counters;
    this->services = NameTable_Create();
    this->lines = NameTable_Create();
    this->directory =
        Directory_Create(this->services, Balancer_OnDirectoryChange, this);
    this->router = Router_Create(&options->router, clock, random);
    this->admission = Admission_Create(&options->admission, clock, random);
    this->quarantine = Quarantine_Create(&quarantine, clock);
    this->claims = Claims_Create(&options->claims, clock);
    this->service_states = g_ptr_array_new();
    this->requests = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
                                           destroy_request);
    this->deadlines = g_tree_new_full(compare_deadlines, NULL, NULL, NULL);
    this->actions = g_array_new(FALSE, TRUE, sizeof(BalancerAction));
    this->replay = g_string_new(NULL);
    return this;
}

void
Balancer_Destroy(Balancer *this)
{
    g_tree_unref(this->deadlines);
    g_hash_table_destroy(this->requests);
    for (guint i = 0; i < this->service_states->len; i++) {
        Service *state = g_ptr_array_index(this->service_states, i);

        RetryBudget_Destroy(state->retries);
        g_queue_clear(&state->waiting);
        g_free(state);
    }
    g_ptr_array_free(this->service_states, TRUE);
    Claims_Destroy(this->claims);
    Quarantine_Destroy(this->quarantine);
    Admission_Destroy(this->admission);
    Directory_Destroy(this->directory);
    Router_Destroy(this->router);
    NameTable_Destroy(this->services);
    NameTable_Destroy(this->lines);
    g_array_free(this->actions, TRUE);
    g_string_free(this->replay, TRUE);
    g_free(this);
}

void
Balancer_SetReady(Balancer *this, bool ready)
{
    this->ready = ready;
}

bool
Balancer_NextAction(Balancer *this, BalancerAction *action)
{
    if (this->next_action >= this->actions->len) {
        g_array_set_size(this->actions, 0);
        this->next_action = 0;
        return false;
    }
    *action = g_array_index(this->actions, BalancerAction, this->next_action);
    this->next_action++;
    return true;
}

Outcome
Balancer_OutcomeOf(const Balancer *this, uint64_t id, int status)
{
    const BalancerRequest *request = find_request(this, id);

    return request != NULL ? Exchange_Outcome(request->exchange)
                           : OUTCOME_UNKNOWN;
}

size_t
Balancer_OpenRequests(const Balancer *this)
{
    return g_hash_table_size(this->requests);
}

Router *
Balancer_Router(Balancer *this)
{
    return this->router;
}

Admission *
Balancer_Admission(Balancer *this)
{
    return this->admission;
}

Quarantine *
Balancer_Quarantine(Balancer *this)
{
    return this->quarantine;
}

Claims *
Balancer_Claims(Balancer *this)
{
    return this->claims;
}

Directory *
Balancer_Directory(Balancer *this)
{
    return this->directory;
}

NameTable *
Balancer_Services(Balancer *this)
{
    return this->services;
}

NameTable *
Balancer_Lines(Balancer *this)
{
    return this->lines;
}

int
LoadReport_Parse(Str text, LoadReport *report)
{
    uint64_t values[4] = {0};
    static const char *const keys[] = {"inflight", "slots", "queue",
                                       "draining"};
    unsigned found = 0;
    Str field;

    while (Str_Split(&text, ' ', &field)) {
        Str key;

        Str_Split(&field, '=', &key);
        for (size_t i = 0; i < G_N_ELEMENTS(keys); i++) {
            if (!Str_Equal(key, Str_FromC(keys[i]))) {
                continue;
            }
            if (Str_ParseU64(field, &values[i]) < 0 ||
                values[i] > UINT32_MAX) {
                return ERR_PARSE;
            }
            found |= 1u << i;
        }
    }
    if ((found & 3u) != 3u) {
        return ERR_PARSE;
    }
    report->inflight = (uint32_t)values[0];
    report->slots = (uint32_t)values[1];
    report->queue = (uint32_t)values[2];
    report->draining = values[3] != 0;
    return 0;
}
