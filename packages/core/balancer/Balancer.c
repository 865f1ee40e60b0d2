#include "Balancer.h"

#include <string.h>

#include "BalancerPrivate.h"

/* An idempotent request that can still be retried gets at most this part of
 * its remaining time for one attempt, so that an unresponsive connection
 * leaves time for another attempt. */
#define ATTEMPT_TIME_RATIO 0.5

/* Retry-After times of responses for which admission control and claims give
 * none. */
#define RETRY_AFTER_UNAVAILABLE_US (1 * MICROS_PER_S)
#define RETRY_AFTER_DEADLINE_US (1 * MICROS_PER_S)

/* ---- request lifecycle ---------------------------------------------- */

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

BalancerService *
Balancer_GetService(Balancer *this, uint32_t service)
{
    while (this->service_list->len <= service) {
        BalancerService *state = g_new0(BalancerService, 1);

        state->retry_budget = RetryBudget_Create(this->clock);
        g_queue_init(&state->waiting);
        g_ptr_array_add(this->service_list, state);
    }
    return g_ptr_array_index(this->service_list, service);
}

static void
leave_wait_queue(Balancer *this, BalancerRequest *request)
{
    if (request->waiting) {
        request->waiting = false;
        g_queue_remove(&Balancer_GetService(this, request->service)->waiting,
                       request);
    }
}

static void
finish_admission(Balancer *this, BalancerRequest *request, Micros elapsed,
                 AdmissionOutcome outcome)
{
    AdmissionResult result = {
        .service = request->service,
        .line = request->line,
        .caller = request->caller_hash,
        .cost = 1.0,
        .charge = request->charge,
        .in_flight_time = elapsed,
        .outcome = outcome,
    };

    if (!request->admitted) {
        return;
    }
    request->admitted = false;
    Admission_OnFinished(this->admission, &result);
}

static void
finish_claim(Balancer *this, BalancerRequest *request, ClaimOutcome outcome,
             Str response)
{
    if (request->claim_open) {
        request->claim_open = false;
        Claims_OnFinished(this->claims, request->id, outcome, response);
    }
}

static ClaimOutcome
to_claim_outcome(Outcome outcome)
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

/* Removes a request after it has returned its charge and its claim. */
static void
end_request(Balancer *this, BalancerRequest *request)
{
    leave_wait_queue(this, request);
    finish_admission(this, request, 0, ADMISSION_NOT_SENT);
    finish_claim(this, request,
                 to_claim_outcome(Exchange_Outcome(request->exchange)),
                 STR(""));
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
respond_with_outcome(Balancer *this, BalancerRequest *request, int status,
                     Outcome outcome, const char *reason, Micros retry_after)
{
    BalancerAction *action = add_action(this, BALANCER_RESPOND, request->id);

    action->respond.status = status;
    action->respond.outcome = outcome;
    action->respond.request_outcome = Exchange_Outcome(request->exchange);
    action->respond.reason = reason;
    action->respond.retry_after = retry_after;
    Balancer_CountOutcome(this, request, outcome, reason);
    Balancer_LogRefusal(this, request, action);
    Exchange_OnAnswered(request->exchange);
    end_request(this, request);
}

static void
respond(Balancer *this, BalancerRequest *request, int status,
        const char *reason, Micros retry_after)
{
    Outcome outcome = Exchange_Outcome(request->exchange);

    /* Another host may have run an earlier request with the same key. */
    if (outcome == OUTCOME_NOT_RUN && request->keyed && !request->claim_won) {
        outcome = OUTCOME_UNKNOWN;
    }
    respond_with_outcome(this, request, status, outcome, reason, retry_after);
}

/* ---- dispatch ------------------------------------------------------- */

typedef struct UpstreamFilter_ {
    const Directory *directory;
    const Labels *labels;
    const uint32_t *suspects; /* upstreams that run a quarantine suspect */
    size_t suspect_count;
} UpstreamFilter;

static bool
is_upstream_allowed(const void *user, uint32_t upstream)
{
    const UpstreamFilter *filter = user;
    const DirectoryUpstream *entry = Directory_At(filter->directory, upstream);

    for (size_t i = 0; i < filter->suspect_count; i++) {
        if (filter->suspects[i] == upstream) {
            return false;
        }
    }
    return entry != NULL && entry->present &&
           Labels_Match(filter->labels, &entry->labels);
}

static Micros
attempt_timeout(const Balancer *this, const BalancerRequest *request)
{
    Micros remaining = request->deadline - Clock_Now(this->clock);
    bool may_retry = request->idempotent && !request->layer_above_retries &&
                     request->tried_count + 1 < this->options.attempts_max;

    return may_retry ? (Micros)((double)remaining * ATTEMPT_TIME_RATIO)
                     : remaining;
}

static void
send_attempt(Balancer *this, BalancerRequest *request, uint32_t upstream)
{
    const DirectoryUpstream *entry = Directory_At(this->directory, upstream);
    BalancerAction *action = add_action(this, BALANCER_SEND, request->id);

    request->upstream = upstream;
    request->sent = Clock_Now(this->clock);
    request->status = 0;
    Directory_Ref(this->directory, upstream);
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
find_selector_labels(Balancer *this, const BalancerRequest *request,
                     Labels *labels)
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
    uint32_t suspects[AVOIDED_UPSTREAMS_MAX];
    Labels labels;
    UpstreamFilter filter = {this->directory, &labels, suspects, 0};
    RouteQuery query = {
        .service = request->service,
        .filter = is_upstream_allowed,
        .user = &filter,
        .avoid = request->tried,
        .avoid_count = request->tried_count,
    };
    RouteChoice choice;
    QuarantineVerdict verdict;
    int code;

    if (Clock_Now(this->clock) >= request->deadline) {
        respond(this, request, 503, "deadline", RETRY_AFTER_DEADLINE_US);
        return;
    }
    if (!find_selector_labels(this, request, &labels)) {
        respond(this, request, 403, "not-admitted", 0);
        return;
    }
    /* Checked before a retry, too: the previous attempt may have crashed the
     * second upstream, after which the fingerprint is refused. */
    verdict = request->fingerprinted
                  ? Quarantine_Check(this->quarantine, &request->fingerprint)
                  : QUARANTINE_PASS;
    if (verdict == QUARANTINE_REFUSE) {
        respond(this, request, 422, "quarantined", 0);
        return;
    }
    if (verdict == QUARANTINE_ISOLATE) {
        filter.suspect_count = Quarantine_SuspectUpstreams(
            this->quarantine, suspects, G_N_ELEMENTS(suspects));
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
            &Balancer_GetService(this, request->service)->waiting, request);
        return;
    default:
        respond(this, request, 503, "no-upstream", RETRY_AFTER_UNAVAILABLE_US);
        return;
    }
}

static void
dispatch_waiting(Balancer *this, uint32_t service)
{
    GQueue *waiting = &Balancer_GetService(this, service)->waiting;
    guint count = waiting->length;

    for (guint i = 0; i < count && waiting->length > 0; i++) {
        BalancerRequest *request = g_queue_pop_head(waiting);

        request->waiting = false;
        dispatch(this, request);
        if (waiting->length > 0 && waiting->tail->data == request) {
            /* Still without a free slot: keep the order of arrival. */
            g_queue_pop_tail(waiting);
            g_queue_push_head(waiting, request);
            return;
        }
    }
}

/* ---- claims --------------------------------------------------------- */

static void
respond_from_claim(Balancer *this, BalancerRequest *request,
                   const ClaimAnswer *claim)
{
    static const Outcome outcomes[] = {
        [CLAIM_NOT_RUN] = OUTCOME_NOT_RUN,
        [CLAIM_RAN] = OUTCOME_RAN,
        [CLAIM_UNKNOWN] = OUTCOME_UNKNOWN,
    };
    BalancerAction *action;

    request->claim_open = false;
    if (claim->status != 0) {
        respond_with_outcome(this, request, claim->status,
                             outcomes[claim->outcome], claim->reason,
                             claim->retry_after);
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
start_claim(Balancer *this, BalancerRequest *request)
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
        request->claim_open = true;
        return;
    case CLAIM_STATE_DISPATCH:
        request->claim_open = true;
        request->claim_won = true;
        dispatch(this, request);
        return;
    case CLAIM_STATE_ANSWER:
        respond_from_claim(this, request, &state.answer);
        return;
    }
}

void
Balancer_OnClaimAction(Balancer *this, const ClaimAction *action)
{
    BalancerRequest *request = find_request(this, action->request_id);

    if (request == NULL) {
        if (action->kind == CLAIM_DISPATCH) {
            /* The caller disconnected, so the request does not run. */
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
        respond_from_claim(this, request, &action->answer);
    }
}

static void
start_admitted(Balancer *this, BalancerRequest *request)
{
    if (request->keyed) {
        start_claim(this, request);
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

    respond(this, request, by_share ? 429 : 503, verdict->reason,
            verdict->retry_after > 0 ? verdict->retry_after
                                     : RETRY_AFTER_UNAVAILABLE_US);
}

static void
request_admission(Balancer *this, BalancerRequest *request)
{
    AdmissionRequest admission = {
        .service = request->service,
        .line = request->line,
        .caller = request->caller_hash,
        .request_id = request->id,
        .deadline = request->deadline,
        .cost = 1.0,
    };
    AdmissionVerdict verdict = Admission_Offer(this->admission, &admission);

    switch (verdict.decision) {
    case ADMISSION_ADMIT:
        request->admitted = true;
        request->charge = verdict.charge;
        start_admitted(this, request);
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
start_queued(Balancer *this, uint32_t service)
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
            start_admitted(this, request);
        }
        else {
            refuse(this, request, &verdict);
        }
    }
}

/* ---- requests from callers ------------------------------------------ */

static Str
next_text(BalancerRequest *request, size_t *offset)
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
    request->upstream = NAME_INDEX_NONE;
    request->service = NameTable_Find(this->services, info->service);
    /* Preliminary: apply_grant() uses the idempotent methods of the service
     * once it is known. */
    request->keyed = info->key.length > 0 &&
                     !Str_Equal(info->method, STR("GET")) &&
                     !Str_Equal(info->method, STR("HEAD"));
    g_hash_table_insert(this->requests, &request->id, request);
    return request;
}

static void
copy_texts(BalancerRequest *request, const RequestInfo *info,
           const CallerGrant *grant)
{
    Str parts[] = {
        info->request_id,
        info->method,
        info->path,
        info->key,
        grant != NULL ? grant->caller->name : STR(""),
        grant != NULL ? grant->line->name : STR(""),
        grant != NULL ? grant->selector->name : STR(""),
    };
    size_t offset = 0;

    for (size_t i = 0; i < G_N_ELEMENTS(parts); i++) {
        Str_AppendTo(parts[i], request->text);
        g_string_append_c(request->text, '\0');
    }
    request->request_id = next_text(request, &offset);
    request->method = next_text(request, &offset);
    request->path = next_text(request, &offset);
    request->key = next_text(request, &offset);
    request->caller = next_text(request, &offset);
    request->line_name = next_text(request, &offset);
    request->selector = next_text(request, &offset);
}

static int
authorize(Balancer *this, const RequestInfo *info, CallerGrant *grant)
{
    if (info->by_certificate) {
        return ConfigState_AdmitCertificate(this->config, info->credential,
                                            info->service, grant);
    }
    return ConfigState_Admit(this->config, info->credential, info->service,
                             grant);
}

static void
apply_grant(Balancer *this, BalancerRequest *request, const RequestInfo *info,
            const CallerGrant *grant)
{
    Micros time_limit = grant->deadline;

    if (info->deadline > 0 && info->deadline < time_limit) {
        time_limit = info->deadline;
    }
    request->deadline = request->received + time_limit;
    request->service = NameTable_Intern(this->services, info->service);
    request->line = NameTable_Intern(this->lines, grant->line->name);
    request->caller_hash = Str_Hash(grant->caller->name);
    request->idempotent = StrList_Contains(
        &grant->service->service.idempotent_methods, info->method);
    request->keyed = !request->idempotent && info->key.length > 0;
}

/* Returns false if the request was rejected and no longer exists. */
static bool
check_request(Balancer *this, BalancerRequest *request,
              const RequestInfo *info, const CallerGrant *grant, int code)
{
    if (!this->ready) {
        respond(this, request, 503, "not-ready", RETRY_AFTER_UNAVAILABLE_US);
        return false;
    }
    if (info->hops >= BALANCER_HOPS_MAX) {
        respond(this, request, 508, "too-many-hops", 0);
        return false;
    }
    if (code == ERR_NOT_FOUND) {
        respond(this, request, 404, "unknown-service", 0);
        return false;
    }
    if (code < 0) {
        respond(this, request, info->credential.length == 0 ? 401 : 403,
                info->credential.length == 0 ? "no-credential"
                                             : "not-admitted",
                0);
        return false;
    }
    if (grant->service->service.require_key && !request->idempotent &&
        info->key.length == 0) {
        respond(this, request, 400, "key-required", 0);
        return false;
    }
    return true;
}

uint64_t
Balancer_OnRequest(Balancer *this, const RequestInfo *info)
{
    BalancerRequest *request = create_request(this, info);
    uint64_t id = request->id;
    CallerGrant grant;
    int code = authorize(this, info, &grant);

    copy_texts(request, info, code == 0 ? &grant : NULL);
    if (code == 0) {
        apply_grant(this, request, info, &grant);
    }
    g_tree_insert(this->deadlines, request, request);
    check_request(this, request, info, &grant, code);
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
        respond(this, request, 422, "quarantined", 0);
        return;
    }
    request_admission(this, request);
}

/* ---- attempts ------------------------------------------------------- */

static AttemptOutcome
to_attempt_outcome(const BalancerRequest *request, AttemptEnd end)
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
report_upstream_unreachable(Balancer *this, uint32_t upstream)
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

/* Reports the end of the open attempt to the router, the quarantine and the
 * directory. */
static void
close_attempt(Balancer *this, BalancerRequest *request, AttemptEnd end)
{
    Micros elapsed = Clock_Now(this->clock) - request->sent;
    uint32_t upstream = request->upstream;

    if (upstream == NAME_INDEX_NONE) {
        return;
    }
    Router_OnFinished(this->router, upstream, to_attempt_outcome(request, end),
                      elapsed);
    if (end == ATTEMPT_END_CONNECTION_CLOSED) {
        report_upstream_unreachable(this, upstream);
    }
    else if (request->fingerprinted && end == ATTEMPT_END_COMPLETE &&
             request->status < 500) {
        Quarantine_OnResponse(this->quarantine, &request->fingerprint,
                              upstream);
    }
    else if (request->fingerprinted) {
        Quarantine_OnAttemptEnd(this->quarantine, &request->fingerprint,
                                upstream);
    }
    request->upstream = NAME_INDEX_NONE;
    if (request->tried_count < AVOIDED_UPSTREAMS_MAX) {
        request->tried[request->tried_count++] = upstream;
    }
    Directory_Unref(this->directory, upstream);
}

static RetryFailure
to_retry_failure(AttemptEnd end)
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
decide_retry(Balancer *this, BalancerRequest *request, RetryFailure failure,
             bool from_balancer, Micros elapsed)
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
        .expected = failure == RETRY_FAILURE_TIMEOUT ? 0 : elapsed,
    };
    RetryDecision decision;

    if (query.attempts >= this->options.attempts_max) {
        return false;
    }
    decision = RetryBudget_Decide(
        Balancer_GetService(this, request->service)->retry_budget, &query);
    if (EventLog_Begin(this->log, LOG_LEVEL_INFO, "retry")) {
        EventLog_Str(this->log, "request", request->request_id);
        EventLog_Int(this->log, "attempts", query.attempts);
        EventLog_CStr(this->log, "verdict",
                      RetryBudget_VerdictName(decision.verdict));
        EventLog_End(this->log);
    }
    request->new_connection = decision.new_connection;
    return decision.verdict == RETRY_ALLOWED;
}

static void
finish_complete(Balancer *this, BalancerRequest *request, Micros elapsed,
                Str response)
{
    CounterLabel labels[] = {
        {"line", request->line_name},
        {"service", NameTable_Name(this->services, request->service)},
    };
    Outcome outcome = Exchange_Outcome(request->exchange);

    RetryBudget_OnSuccess(
        Balancer_GetService(this, request->service)->retry_budget);
    finish_admission(this, request, elapsed, ADMISSION_SERVED);
    finish_claim(this, request, to_claim_outcome(outcome), response);
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
              ExchangeStep step, Micros elapsed)
{
    finish_admission(this, request, elapsed,
                     end == ATTEMPT_END_REFUSED ? ADMISSION_SHED
                                                : ADMISSION_FAILED);
    switch (step) {
    case EXCHANGE_STEP_ANSWER:
        respond(this, request, failure_status(end), failure_reason(end),
                RETRY_AFTER_UNAVAILABLE_US);
        return;
    case EXCHANGE_STEP_ABORT:
        Balancer_CountOutcome(this, request, OUTCOME_UNKNOWN,
                              failure_reason(end));
        finish_claim(this, request, CLAIM_UNKNOWN, STR(""));
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

/* Reports a shed attempt without returning the charge of the request, which
 * is kept for the next attempt. */
static void
report_shed(Balancer *this, const BalancerRequest *request, Micros elapsed)
{
    AdmissionResult result = {
        .service = request->service,
        .line = request->line,
        .caller = request->caller_hash,
        .cost = 1.0,
        .in_flight_time = elapsed,
        .outcome = ADMISSION_SHED,
    };

    Admission_OnFinished(this->admission, &result);
}

static ExchangeStep
end_attempt(Balancer *this, BalancerRequest *request, AttemptEnd end,
            bool from_balancer, Str response)
{
    Micros elapsed = Clock_Now(this->clock) - request->sent;
    uint32_t service = request->service;
    ExchangeStep step;

    close_attempt(this, request, end);
    if (end != ATTEMPT_END_COMPLETE && end != ATTEMPT_END_CANCELLED &&
        decide_retry(this, request, to_retry_failure(end), from_balancer,
                     elapsed)) {
        Exchange_OnRetried(request->exchange, end);
        if (end == ATTEMPT_END_REFUSED) {
            report_shed(this, request, elapsed);
        }
        dispatch(this, request);
        return EXCHANGE_STEP_ANSWER;
    }
    step = Exchange_OnAttemptEnd(request->exchange, end);
    if (step == EXCHANGE_STEP_FINISH) {
        finish_complete(this, request, elapsed, response);
    }
    else {
        finish_failed(this, request, end, step, elapsed);
    }
    start_queued(this, service);
    dispatch_waiting(this, service);
    return step;
}

void
Balancer_OnSlotsChanged(Balancer *this, uint32_t service)
{
    dispatch_waiting(this, service);
}

BalancerRelay
Balancer_OnResponseHead(Balancer *this, uint64_t id, const ResponseHead *head)
{
    BalancerRequest *request = find_request(this, id);
    LoadReport report;

    if (request == NULL || request->upstream == NAME_INDEX_NONE) {
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
        decide_retry(this, request, RETRY_FAILURE_ERROR, head->from_balancer,
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
Balancer_OnAttemptEnd(Balancer *this, uint64_t id, AttemptEnd end,
                      Str response)
{
    BalancerRequest *request = find_request(this, id);

    if (request == NULL || request->upstream == NAME_INDEX_NONE) {
        return EXCHANGE_STEP_DROP;
    }
    return end_attempt(this, request, end, false, response);
}

static void
cancel_attempt(Balancer *this, const BalancerRequest *request,
               bool no_response)
{
    const DirectoryUpstream *upstream =
        Directory_At(this->directory, request->upstream);
    BalancerAction *action = add_action(this, BALANCER_CANCEL, request->id);

    action->cancel.no_response = no_response;
    memcpy(action->cancel.address, upstream->address,
           sizeof(action->cancel.address));
    action->cancel.port = upstream->port;
}

void
Balancer_OnTimeout(Balancer *this, uint64_t id)
{
    BalancerRequest *request = find_request(this, id);

    if (request == NULL || request->upstream == NAME_INDEX_NONE) {
        return;
    }
    cancel_attempt(this, request, request->status == 0);
    end_attempt(this, request, ATTEMPT_END_DEADLINE, false, STR(""));
}

bool
Balancer_OnCallerDisconnect(Balancer *this, uint64_t id)
{
    BalancerRequest *request = find_request(this, id);

    if (request == NULL) {
        return false;
    }
    if (request->claim_open && request->upstream != NAME_INDEX_NONE) {
        return true;
    }
    if (request->upstream != NAME_INDEX_NONE) {
        cancel_attempt(this, request, false);
        end_attempt(this, request, ATTEMPT_END_CANCELLED, false, STR(""));
        return false;
    }
    Admission_Cancel(this->admission, request->service, request->line,
                     request->caller_hash, request->id);
    if (request->claim_open && Claims_Cancel(this->claims, request->id) == 0) {
        request->claim_open = false;
    }
    Balancer_CountOutcome(this, request, Exchange_Outcome(request->exchange),
                          "caller-gone");
    end_request(this, request);
    return false;
}

/* ---- timeouts ------------------------------------------------------- */

static void
expire_request(Balancer *this, BalancerRequest *request)
{
    Admission_Cancel(this->admission, request->service, request->line,
                     request->caller_hash, request->id);
    if (request->waiting) {
        respond(this, request, 503, "deadline", RETRY_AFTER_DEADLINE_US);
        return;
    }
    respond(this, request, 408, "body-timeout", RETRY_AFTER_DEADLINE_US);
}

/* Skips requests with an open attempt, whose timer the I/O layer runs, and
 * requests that wait for a claim, which Claims answers. */
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
        if (request->upstream == NAME_INDEX_NONE &&
            (!request->claim_open || request->waiting)) {
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
    for (uint32_t i = 0; i < this->service_list->len; i++) {
        start_queued(this, i);
        if (Balancer_GetService(this, i)->waiting.length > 0) {
            dispatch_waiting(this, i);
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
    this->service_list = g_ptr_array_new();
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
    for (guint i = 0; i < this->service_list->len; i++) {
        BalancerService *state = g_ptr_array_index(this->service_list, i);

        RetryBudget_Destroy(state->retry_budget);
        g_queue_clear(&state->waiting);
        g_free(state);
    }
    g_ptr_array_free(this->service_list, TRUE);
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
Balancer_RequestOutcome(const Balancer *this, uint64_t id, int status)
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
