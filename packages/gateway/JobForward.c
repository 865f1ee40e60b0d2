#include "JobForward.h"

#include "JobLog.h"
#include "JobPlacement.h"
#include "JobStop.h"

/* Jobs of peers that may be open, and their rate. */
#define ACCEPTED_OPEN_MAX 256
#define ACCEPTED_PER_S 500.0
#define ACCEPTED_BURST 250.0
/* Part of the open jobs that may be of peers while a queue exists. */
#define ACCEPTED_QUEUED_RATIO 0.6
#define ACCEPTED_QUEUED_MIN 16
#define RETRY_AFTER_US (200 * MICROS_PER_MS)
/* Time after the last response in which open connections may still work. */
#define OPEN_CONNECTIONS_US (1 * MICROS_PER_S)

static const char no_peer[] = "no-peer";

bool
JobForward_Applies(const Job *job)
{
    const Dispatcher *this = job->owner;

    return Dispatcher_IsCutOff(this) &&
           (job->forwarded || PeerSet_Count(this->peers) > 0);
}

static uint32_t
attempts_left(const Job *job)
{
    return job->attempts_max - MIN(job->attempts_used, job->attempts_max);
}

static void
push_forward(Job *job)
{
    Micros now = Clock_Now(job->owner->clock);
    DispatchAction action = {
        .kind = DISPATCH_FORWARD,
        .job = job,
        .user = job->user,
        .forward = {.peer = Peer_Id(job->peer),
                    .attempt = AttemptLedger_Begin(&job->ledger),
                    .timeout = job->deadline - now,
                    .attempts_max = job->attempts_granted,
                    .version = RouteTable_Version(job->table),
                    .caller = Job_CallerIdentity(job),
                    .idempotent = job->route->kind == ROUTE_IDEMPOTENT},
    };

    job->sent_at = now;
    JobPlacement_Withdraw(job);
    Job_SetMonitorAt(job, 0);
    JobLog_Forward(job);
    Dispatcher_PushAction(job->owner, &action);
}

static const char *
find_obstacle(const Job *job)
{
    Dispatcher *this = job->owner;

    if (job->forwarded) {
        return job->reached_upstream ? "path-lost" : "cut-off";
    }
    if ((AttemptLedger_MayHaveRun(&job->ledger) &&
         job->route->kind != ROUTE_IDEMPOTENT) ||
        attempts_left(job) == 0) {
        return "path-lost";
    }
    if (job->deadline - Clock_Now(this->clock) < ATTEMPT_TIME_MIN_US) {
        return "deadline";
    }
    if (!JobStop_Fits(job)) {
        return JobStop_Reason(job);
    }
    if (CrashGuard_Refuses(this->guard, &job->fingerprint)) {
        return "quarantined";
    }
    return job->peer_count >= FORWARD_PEERS_MAX ? no_peer : NULL;
}

/* Takes a peer and, for a retry, a part of the limit on them. Returns NULL on success,
 * otherwise what is missing. */
static const char *
take_peer(Job *job, Peer **peer)
{
    Dispatcher *this = job->owner;

    *peer = PeerSet_Take(this->peers, job->peers_tried, job->peer_count);
    if (*peer == NULL) {
        return no_peer;
    }
    Job_ReleaseRetry(job);
    if (job->reached_upstream && !RetryWindow_Take(Job_RetryWindow(job))) {
        PeerSet_Release(this->peers, *peer, PEER_UNKNOWN);
        return "retry-budget";
    }
    return NULL;
}

/* Keeps one attempt, if there are two, for another peer: this one may have
 * restarted and not know the key that this host has of it. */
static uint32_t
attempts_to_grant(const Job *job)
{
    uint32_t left = attempts_left(job);

    return job->route->kind == ROUTE_IDEMPOTENT && left > 1 ? left - 1 : left;
}

static void
forward_to(Job *job, Peer *peer)
{
    job->peer = peer;
    job->peers_tried[job->peer_count++] = Peer_Number(peer);
    job->attempts_granted = attempts_to_grant(job);
    push_forward(job);
}

const char *
JobForward_Start(Job *job)
{
    const char *obstacle = find_obstacle(job);
    Peer *peer;

    if (obstacle == NULL) {
        obstacle = take_peer(job, &peer);
    }
    if (obstacle != NULL) {
        return obstacle;
    }
    forward_to(job, peer);
    return NULL;
}

/* Without a peer that helps, a request may still be served over connections
 * that are open. Returns false if it can't. */
static bool
use_open_connections(Job *job)
{
    const Dispatcher *this = job->owner;
    Micros since = Clock_Now(this->clock) - OPEN_CONNECTIONS_US;

    return job->tried_count == 0 && !job->reached_upstream &&
           !PathMonitor_IsSilent(this->path) &&
           PathMonitor_HeardSince(this->path, since) &&
           (job->queued || JobPlacement_Place(job));
}

void
JobForward_Redirect(Job *job)
{
    const char *obstacle = JobForward_Start(job);

    if (obstacle == NULL ||
        (obstacle == no_peer && use_open_connections(job))) {
        return;
    }
    Job_Abandon(job, obstacle);
}

void
JobForward_End(Job *job, PeerOutcome outcome)
{
    if (job->peer != NULL) {
        PeerSet_Release(job->owner->peers, job->peer, outcome);
        job->peer = NULL;
    }
}

static void
use_granted(Job *job)
{
    job->attempts_used += job->attempts_granted;
    job->reached_upstream = true;
}

void
JobForward_Cancel(Job *job, const char *result)
{
    DispatchAction cancel = {
        .kind = DISPATCH_CANCEL,
        .job = job,
        .user = job->user,
    };

    JobLog_ForwardCancelled(job, result);
    Dispatcher_PushAction(job->owner, &cancel);
    JobForward_End(job, PEER_SILENT);
    AttemptLedger_Cancel(&job->ledger);
    use_granted(job);
}

/* ---- ends of forwards ------------------------------------------------ */

static PeerOutcome
outcome_of_refusal(ForwardRefusal refusal)
{
    switch (refusal) {
    case FORWARD_REFUSAL_CUT_OFF:
    case FORWARD_REFUSAL_STOPPING:
        return PEER_CUT_OFF;
    case FORWARD_REFUSAL_LIMIT:
        return PEER_FULL;
    case FORWARD_REFUSAL_DENIED:
        return PEER_DENIED;
    case FORWARD_REFUSAL_OLDER:
        return PEER_OUTDATED;
    case FORWARD_REFUSAL_NONE:
    case FORWARD_REFUSAL_OTHER:
        break;
    }
    return PEER_UNKNOWN;
}

static PeerOutcome
outcome_of(const ForwardEndInfo *end)
{
    switch (end->result) {
    case FORWARD_RESPONSE:
        return PEER_SERVED;
    case FORWARD_NOT_RUN:
        return outcome_of_refusal(end->refusal);
    case FORWARD_UNSENT:
    case FORWARD_BROKEN:
        return PEER_UNREACHABLE;
    case FORWARD_FAILED:
        break;
    }
    return PEER_UNKNOWN;
}

/* The path may have come back in the meantime. */
static void
send_again(Job *job)
{
    if (JobForward_Applies(job)) {
        JobForward_Redirect(job);
    }
    else if (job->reached_upstream || job->tried_count > 0) {
        Job_Retry(job, no_peer);
    }
    else {
        JobPlacement_Resume(job);
    }
}

static void
fail(Job *job, ForwardResult result, int status)
{
    use_granted(job);
    if (result == FORWARD_FAILED && status == 504) {
        Job_Reject(job, 504, "deadline", 0);
        return;
    }
    if (job->route->kind == ROUTE_IDEMPOTENT && attempts_left(job) > 0) {
        send_again(job);
        return;
    }
    Job_Abandon(job, result == FORWARD_FAILED ? "peer-failed" : "peer-broken");
}

static RunEvidence
evidence_of(ForwardResult result)
{
    switch (result) {
    case FORWARD_NOT_RUN:
        return RUN_EVIDENCE_STATEMENT;
    case FORWARD_UNSENT:
        return RUN_EVIDENCE_UNSENT;
    case FORWARD_RESPONSE:
    case FORWARD_FAILED:
    case FORWARD_BROKEN:
        break;
    }
    return RUN_EVIDENCE_NONE;
}

/* Returns the result, or FORWARD_BROKEN if it lacks proof for this forward. */
static ForwardResult
take_result(Job *job, const ForwardEndInfo *end)
{
    RunEvidence evidence = evidence_of(end->result);
    bool proven = AttemptLedger_End(&job->ledger, end->attempt, evidence);

    return evidence != RUN_EVIDENCE_NONE && !proven ? FORWARD_BROKEN
                                                    : end->result;
}

static JobVerdict
settle_forward(Job *job, const ForwardEndInfo *end)
{
    ForwardResult result = take_result(job, end);

    switch (result) {
    case FORWARD_RESPONSE:
        if (end->more_follows) {
            Job_BeginRelay(job);
        }
        else {
            Job_End(job);
        }
        return JOB_RELAY;
    case FORWARD_NOT_RUN:
        /* The peer may have sent it to an upstream that rejected it. */
        job->reached_upstream |=
            outcome_of_refusal(end->refusal) == PEER_UNKNOWN;
        job->peer_retry_after = MAX(job->peer_retry_after, end->retry_after);
        send_again(job);
        break;
    case FORWARD_UNSENT:
        send_again(job);
        break;
    case FORWARD_FAILED:
    case FORWARD_BROKEN:
        fail(job, result, end->status);
        break;
    }
    return JOB_DISCARD;
}

JobVerdict
Dispatcher_OnForwardEnd(Dispatcher *this, Job *job, const ForwardEndInfo *end)
{
    uint32_t service = job->service;
    JobVerdict verdict;

    JobLog_ForwardEnd(job, end);
    JobForward_End(job, outcome_of(end));
    verdict = settle_forward(job, end);
    JobPlacement_ServeQueue(this, service);
    return verdict;
}

/* ---- jobs of peers --------------------------------------------------- */

static bool
take_accepted(Dispatcher *this)
{
    Micros now = Clock_Now(this->clock);

    this->accept_tokens += ACCEPTED_PER_S *
                           (double)(now - this->accept_refilled_at) /
                           (double)MICROS_PER_S;
    this->accept_tokens = MIN(this->accept_tokens, ACCEPTED_BURST);
    this->accept_refilled_at = now;
    if (this->accept_tokens < 1) {
        return false;
    }
    this->accept_tokens--;
    return true;
}

/* Callers of this host keep their part while requests have to wait. */
static bool
leaves_room(const Job *job)
{
    const Dispatcher *this = job->owner;

    return OverloadQueue_Head(Job_Queue(job)) == NULL ||
           this->accepted_open <= ACCEPTED_QUEUED_MIN ||
           this->accepted_open <=
               ACCEPTED_QUEUED_RATIO * (double)Dispatcher_OpenJobs(this);
}

static const char *
find_refusal(const Job *job)
{
    Dispatcher *this = job->owner;

    if (this->stopping) {
        return "stopping";
    }
    if (Dispatcher_IsCutOff(this)) {
        return "cut-off";
    }
    if (this->accepted_open > ACCEPTED_OPEN_MAX || !leaves_room(job) ||
        !take_accepted(this)) {
        return "forward-limit";
    }
    return NULL;
}

bool
JobForward_Admit(Job *job)
{
    const char *refusal = find_refusal(job);

    Dispatcher_Count(job->owner, "agatecrank_forwards_accepted_total",
                     "result", Str_FromC(refusal != NULL ? refusal : "yes"));
    if (refusal != NULL) {
        Job_Reject(job, 503, refusal,
                   Random_Jitter(job->owner->random, RETRY_AFTER_US));
    }
    return refusal == NULL;
}
