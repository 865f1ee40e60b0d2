#include "JobAllowance.h"

#include "JobPlacement.h"

/* Part of the tolerance of the users' bound that buckets hold; the rest is for
 * hosts that take over from each other. */
#define TOLERANCE_RATIO 0.4

/* A question of another host that was passed on to the grantor. */
typedef struct Question_ {
    GString *customer;
    uint32_t wanted;
    void *user;
} Question;

static AllowanceLimit
limit_of(const Dispatcher *this, const Customer *customer)
{
    const DispatcherOptions *options = &this->options;
    double window_s = (double)options->allowance_window / MICROS_PER_S;
    double allowed = customer->rate_per_s * window_s + customer->burst;

    return (AllowanceLimit){
        .customer = customer->name,
        .rate_per_s = customer->rate_per_s,
        .burst = customer->burst,
        .tolerance =
            TOLERANCE_RATIO * (options->allowance_overshoot * allowed +
                               options->allowance_slack),
    };
}

static void
count_result(Dispatcher *this, const char *result)
{
    Dispatcher_Count(this, "agatecrank_allowance_requests_total", "result",
                     Str_FromC(result));
}

/* Returns whether the job goes on. */
static bool
apply(Job *job, AllowanceDecision decision, Micros wait)
{
    switch (decision) {
    case ALLOWANCE_ADMIT:
        job->has_allowance = true;
        count_result(job->owner, "admitted");
        return true;
    case ALLOWANCE_WAIT:
        job->awaits_allowance = true;
        return false;
    case ALLOWANCE_REFUSE:
        count_result(job->owner, "refused");
        Job_Reject(job, 429, "allowance", wait);
        break;
    }
    return false;
}

/* Returns ERR_NOT_FOUND if the customer has gone from the routes. */
static int
find_limit(const Dispatcher *this, Str customer, AllowanceLimit *limit)
{
    const CustomerTable *customers =
        this->routes != NULL ? RouteTable_Customers(this->routes) : NULL;
    const Customer *found =
        customers != NULL ? CustomerTable_ByName(customers, customer) : NULL;

    if (found == NULL) {
        return ERR_NOT_FOUND;
    }
    *limit = limit_of(this, found);
    return 0;
}

static AllowanceGrant
grant(Dispatcher *this, const AllowanceLimit *limit, uint32_t wanted)
{
    return AllowanceGrantor_Grant(
        this->grantor, limit, wanted,
        !AllowanceClient_IsGrantor(this->allowances, limit->customer));
}

/* Hosts that do not list this one have another grantor. */
static bool
is_listed_by_others(const Dispatcher *this)
{
    return this->host_count > 0 &&
           Clock_Now(this->clock) >= this->hosts_known_from;
}

static void
answer_self(Dispatcher *this, const AllowanceAsk *ask)
{
    AllowanceLimit limit;
    AllowanceGrant own;

    if (!is_listed_by_others(this) ||
        find_limit(this, ask->customer, &limit) < 0) {
        AllowanceClient_OnFailure(this->allowances, ask->number);
        return;
    }
    own = grant(this, &limit, ask->wanted);
    AllowanceClient_OnAnswer(this->allowances, ask->number, &own);
}

static void
push_asks(Dispatcher *this)
{
    AllowanceAsk ask;

    while (AllowanceClient_NextAsk(this->allowances, &ask)) {
        DispatchAction action = {
            .kind = DISPATCH_ASK,
            .ask = {ask.host, ask.customer, ask.wanted, ask.number,
                    ask.relayed},
        };

        if (ask.own) {
            answer_self(this, &ask);
            continue;
        }
        count_result(this, ask.relayed ? "relayed" : "asked");
        Dispatcher_PushAction(this, &action);
    }
}

static void
push_grant(Dispatcher *this, void *user, const AllowanceGrant *given)
{
    DispatchAction action = {
        .kind = DISPATCH_GRANT,
        .user = user,
        .grant = *given,
    };

    Dispatcher_PushAction(this, &action);
}

/* Answers other hosts whose questions the grantor has answered, or instead of
 * it. */
static void
end_relayed(Dispatcher *this)
{
    AllowanceRelayed relayed;

    while (AllowanceClient_NextRelayed(this->allowances, &relayed)) {
        Question *question = relayed.request;
        AllowanceLimit limit;

        if (!relayed.answered &&
            find_limit(this, Str_FromString(question->customer), &limit) ==
                0) {
            relayed.grant = grant(this, &limit, question->wanted);
        }
        push_grant(this, question->user, &relayed.grant);
        g_hash_table_remove(this->questions, question->user);
    }
}

/* Continues with the jobs whose questions were answered. */
static void
run_verdicts(Dispatcher *this)
{
    AllowanceVerdict verdict;

    push_asks(this);
    end_relayed(this);
    while (AllowanceClient_NextVerdict(this->allowances, &verdict)) {
        Job *job = verdict.request;

        job->awaits_allowance = false;
        if (apply(job, verdict.decision, verdict.wait)) {
            JobPlacement_Resume(job);
        }
        push_asks(this);
    }
}

bool
JobAllowance_Admit(Job *job)
{
    Dispatcher *this = job->owner;
    AllowanceVerdict verdict;
    AllowanceLimit limit;

    if (job->customer == NULL || job->forwarded ||
        job->customer->rate_per_s <= 0) {
        return true;
    }
    limit = limit_of(this, job->customer);
    verdict = AllowanceClient_Take(this->allowances, &limit, job);
    if (apply(job, verdict.decision, verdict.wait)) {
        return true;
    }
    if (verdict.decision == ALLOWANCE_WAIT) {
        run_verdicts(this);
    }
    return false;
}

void
JobAllowance_End(Job *job)
{
    AllowanceClient *allowances = job->owner->allowances;

    if (job->awaits_allowance) {
        AllowanceClient_Cancel(allowances, job->customer->name, job);
    }
    else if (job->has_allowance && !job->reached_upstream &&
             !AttemptLedger_MayHaveRun(&job->ledger)) {
        AllowanceClient_Return(allowances, job->customer->name);
    }
}

int
Dispatcher_OnQuestion(Dispatcher *this, Str customer, uint32_t wanted,
                      bool relayed, void *user)
{
    AllowanceLimit limit;
    AllowanceGrant given;
    Question *question;

    if (!is_listed_by_others(this)) {
        return ERR_UNAVAILABLE;
    }
    if (find_limit(this, customer, &limit) < 0) {
        return ERR_NOT_FOUND;
    }
    question = g_new0(Question, 1);
    question->customer = Str_ToString(customer);
    question->wanted = wanted;
    question->user = user;
    g_hash_table_insert(this->questions, user, question);
    if (relayed ||
        !AllowanceClient_Relay(this->allowances, &limit, wanted, question)) {
        given = grant(this, &limit, wanted);
        push_grant(this, user, &given);
        g_hash_table_remove(this->questions, user);
        return 0;
    }
    run_verdicts(this);
    return 0;
}

void
Dispatcher_CancelQuestion(Dispatcher *this, void *user)
{
    Question *question = g_hash_table_lookup(this->questions, user);

    if (question != NULL) {
        AllowanceClient_CancelRelay(this->allowances, question);
        g_hash_table_remove(this->questions, user);
    }
}

void
JobAllowance_DestroyQuestion(gpointer data)
{
    Question *question = data;

    g_string_free(question->customer, TRUE);
    g_free(question);
}

void
Dispatcher_OnAllowance(Dispatcher *this, uint64_t number,
                       const AllowanceGrant *grant)
{
    if (grant != NULL) {
        AllowanceClient_OnAnswer(this->allowances, number, grant);
    }
    else {
        count_result(this, "unanswered");
        AllowanceClient_OnFailure(this->allowances, number);
    }
    run_verdicts(this);
}
