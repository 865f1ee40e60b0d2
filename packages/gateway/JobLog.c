#include "JobLog.h"

static Str
upstream_id(const Dispatcher *this, uint32_t index)
{
    const UpstreamRecord *record = UpstreamSet_Record(this->upstreams, index);

    return record != NULL ? record->id : STR("gone");
}

/* Returns where the request is being sent to. */
static Str
open_target(const Job *job)
{
    if (job->peer != NULL) {
        return Peer_Id(job->peer);
    }
    return job->upstream != UPSTREAM_NONE
               ? upstream_id(job->owner, job->upstream)
               : STR("none");
}

/* Returns the upstream of the last attempt. */
static Str
last_upstream(const Job *job)
{
    return job->tried_count > 0
               ? upstream_id(job->owner, job->tried[job->tried_count - 1])
               : STR("none");
}

static int64_t
elapsed_ms(const Job *job)
{
    return (Clock_Now(job->owner->clock) - job->arrived) / MICROS_PER_MS;
}

/* Adds the fields that all lines have if @begun, that is, if the line is
 * logged. Returns @begun. */
static bool
add_common_fields(const Job *job, bool begun)
{
    EventLog *log = job->owner->decisions;

    if (!begun) {
        return false;
    }
    EventLog_Str(log, "request", Str_FromString(job->id));
    if (job->route != NULL) {
        EventLog_Str(log, "route", job->route->name);
    }
    if (job->table != NULL) {
        EventLog_Int(log, "version", (int64_t)RouteTable_Version(job->table));
    }
    if (job->customer != NULL) {
        EventLog_Str(log, "customer", job->customer->name);
    }
    if (job->forwarded) {
        EventLog_CStr(log, "forwarded", "yes");
    }
    if (job->owner->stopping) {
        EventLog_CStr(log, "stopping", "yes");
    }
    return true;
}

static bool
begin_line(const Job *job, LogLevel level, const char *event)
{
    return add_common_fields(
        job, EventLog_Begin(job->owner->decisions, level, event));
}

/* Adds what the quarantine knows of the request, for requests that it has
 * losses of only. */
static void
add_quarantine_fields(const Job *job)
{
    EventLog *log = job->owner->decisions;
    uint32_t losses =
        CrashGuard_LossCount(job->owner->guard, &job->fingerprint);
    char text[20];

    if (losses > 0) {
        g_snprintf(text, sizeof(text), "%016" G_GINT64_MODIFIER "x",
                   job->fingerprint.low);
        EventLog_CStr(log, "fingerprint", text);
        EventLog_Int(log, "losses", losses);
    }
}

/* Adds the upstreams of the service that may get no request now, as
 * "REASON:COUNT,...". */
static void
add_excluded_field(const Job *job)
{
    Dispatcher *this = job->owner;
    uint32_t counts[ELIGIBILITY_COUNT];
    GString *text = g_string_new(NULL);

    Placement_CountReasons(this->placement, job->service, counts);
    for (int reason = ELIGIBILITY_OK + 1; reason < ELIGIBILITY_COUNT;
         reason++) {
        if (counts[reason] > 0) {
            g_string_append_printf(text, "%s%s:%u", text->len > 0 ? "," : "",
                                   Eligibility_ReasonName(reason),
                                   counts[reason]);
        }
    }
    EventLog_CStr(this->decisions, "excluded",
                  text->len > 0 ? text->str : "none");
    g_string_free(text, TRUE);
}

static void
add_cause_field(const Dispatcher *this, Str cause)
{
    if (cause.length > 0) {
        EventLog_Str(this->decisions, "cause", cause);
    }
}

/* First attempts are routine and rate-limited. */
static bool
begin_choice(const Job *job)
{
    if (job->tried_count > 1) {
        return begin_line(job, LOG_LEVEL_INFO, "route");
    }
    return add_common_fields(
        job, EventLog_BeginRoutine(job->owner->decisions, "route"));
}

void
JobLog_Choice(const Job *job, const PlacementChoice *choice, Micros remaining)
{
    Dispatcher *this = job->owner;

    if (!begin_choice(job)) {
        return;
    }
    EventLog_Str(this->decisions, "service",
                 NameTable_Name(this->services, job->service));
    EventLog_Int(this->decisions, "attempt", job->tried_count);
    EventLog_Str(this->decisions, "choice",
                 upstream_id(this, choice->upstream));
    EventLog_CStr(this->decisions, "reason", choice->reason);
    EventLog_Real(this->decisions, "cost", choice->cost);
    EventLog_Real(this->decisions, "busy", choice->utilization);
    EventLog_Int(this->decisions, "pace_percent", choice->slowdown_percent);
    EventLog_Int(this->decisions, "age_us", choice->age);
    EventLog_Int(this->decisions, "asked", job->probed_count);
    add_excluded_field(job);
    EventLog_Int(this->decisions, "held_ms", elapsed_ms(job));
    EventLog_Int(this->decisions, "left_ms", remaining / MICROS_PER_MS);
    add_quarantine_fields(job);
    EventLog_End(this->decisions);
}

static const char *
result_name(AttemptResult result)
{
    switch (result) {
    case ATTEMPT_RESULT_RESPONSE:
        return "answer";
    case ATTEMPT_RESULT_NOT_RUN:
        return "not-run";
    case ATTEMPT_RESULT_MOVED:
        return "moved";
    case ATTEMPT_RESULT_UNSENT:
        return "unsent";
    case ATTEMPT_RESULT_BROKEN:
        return "broken";
    }
    return "unknown";
}

static const char *
evidence_name(RunEvidence evidence)
{
    switch (evidence) {
    case RUN_EVIDENCE_NONE:
        return "none";
    case RUN_EVIDENCE_UNSENT:
        return "unsent";
    case RUN_EVIDENCE_STATEMENT:
        return "statement";
    case RUN_EVIDENCE_STATUS:
        return "status";
    }
    return "unknown";
}

void
JobLog_AttemptEnd(const Job *job, uint32_t upstream, const AttemptEndInfo *end)
{
    Dispatcher *this = job->owner;
    int64_t total_ms = elapsed_ms(job);
    int64_t objective_ms = job->route->objective / MICROS_PER_MS;
    bool within_objective = end->result == ATTEMPT_RESULT_RESPONSE &&
                            end->status < 500 &&
                            (objective_ms == 0 || total_ms <= objective_ms);

    Dispatcher_Count(this, "agatecrank_attempts_total", "result",
                     Str_FromC(result_name(end->result)));
    if (!begin_line(job, within_objective ? LOG_LEVEL_DEBUG : LOG_LEVEL_INFO,
                    "attempt")) {
        return;
    }
    EventLog_Int(this->decisions, "attempt", job->tried_count);
    EventLog_Str(this->decisions, "upstream", upstream_id(this, upstream));
    EventLog_CStr(this->decisions, "result", result_name(end->result));
    EventLog_Int(this->decisions, "status", end->status);
    EventLog_CStr(this->decisions, "evidence", evidence_name(end->evidence));
    EventLog_Int(this->decisions, "connection", (int64_t)end->connection);
    EventLog_Int(this->decisions, "took_ms",
                 (Clock_Now(this->clock) - job->sent_at) / MICROS_PER_MS);
    EventLog_Int(this->decisions, "held_ms", total_ms);
    EventLog_Int(this->decisions, "objective_ms", objective_ms);
    add_cause_field(this, end->cause);
    EventLog_End(this->decisions);
}

static const char *
relay_end_name(RelayEnd end)
{
    switch (end) {
    case RELAY_COMPLETE:
        return "complete";
    case RELAY_BROKEN:
        return "broken";
    case RELAY_TIMEOUT:
        return "deadline";
    case RELAY_CALLER_SLOW:
        return "caller-slow";
    }
    return "unknown";
}

void
JobLog_RelayEnd(const Job *job, RelayEnd end)
{
    Dispatcher *this = job->owner;

    Dispatcher_Count(this, "agatecrank_relays_total", "result",
                     Str_FromC(relay_end_name(end)));
    if (!begin_line(job,
                    end == RELAY_COMPLETE ? LOG_LEVEL_DEBUG : LOG_LEVEL_INFO,
                    "relay")) {
        return;
    }
    EventLog_Str(this->decisions, "upstream", last_upstream(job));
    EventLog_CStr(this->decisions, "result", relay_end_name(end));
    EventLog_Int(this->decisions, "took_ms",
                 (Clock_Now(this->clock) - job->sent_at) / MICROS_PER_MS);
    EventLog_Int(this->decisions, "held_ms", elapsed_ms(job));
    EventLog_End(this->decisions);
}

void
JobLog_AttemptAbandoned(const Job *job, const char *reason)
{
    Dispatcher *this = job->owner;

    Dispatcher_Count(this, "agatecrank_attempts_total", "result",
                     Str_FromC(reason));
    if (!begin_line(job, LOG_LEVEL_INFO, "attempt")) {
        return;
    }
    EventLog_Str(this->decisions, "upstream",
                 upstream_id(this, job->upstream));
    EventLog_CStr(this->decisions, "result", reason);
    EventLog_Int(this->decisions, "silences",
                 Placement_ProbeTimeouts(this->placement, job->upstream));
    EventLog_Int(this->decisions, "held_ms", elapsed_ms(job));
    EventLog_End(this->decisions);
}

void
JobLog_Rejection(const Job *job, int status, const char *reason)
{
    Dispatcher *this = job->owner;

    if (!begin_line(job, LOG_LEVEL_INFO, "refuse")) {
        return;
    }
    EventLog_Int(this->decisions, "status", status);
    EventLog_CStr(this->decisions, "reason", reason);
    EventLog_Int(this->decisions, "attempts", job->tried_count);
    EventLog_CStr(this->decisions, "ran",
                  AttemptLedger_MayHaveRun(&job->ledger) ? "maybe" : "no");
    EventLog_Str(this->decisions, "open", open_target(job));
    EventLog_Str(this->decisions, "upstream", last_upstream(job));
    EventLog_Int(this->decisions, "held_ms", elapsed_ms(job));
    if (job->table != NULL && job->route == NULL) {
        Micros age = Dispatcher_RoutesAge(this);

        EventLog_Int(this->decisions, "routes_age_ms",
                     age >= 0 ? age / MICROS_PER_MS : -1);
    }
    if (job->route != NULL) {
        add_excluded_field(job);
    }
    add_quarantine_fields(job);
    EventLog_End(this->decisions);
}

void
JobLog_UnprovenRefusal(const Job *job, int status, const char *reason)
{
    Dispatcher *this = job->owner;

    if (!begin_line(job, LOG_LEVEL_WARN, "unproven-refusal")) {
        return;
    }
    EventLog_Int(this->decisions, "status", status);
    EventLog_CStr(this->decisions, "reason", reason);
    EventLog_Int(this->decisions, "attempts", job->tried_count);
    EventLog_Str(this->decisions, "open", open_target(job));
    EventLog_Str(this->decisions, "upstream", last_upstream(job));
    EventLog_End(this->decisions);
}

void
JobLog_CallerDisconnect(const Job *job)
{
    Dispatcher *this = job->owner;

    if (begin_line(job, LOG_LEVEL_INFO, "caller-gone")) {
        EventLog_Str(this->decisions, "upstream",
                     upstream_id(this, job->upstream));
        EventLog_Int(this->decisions, "held_ms", elapsed_ms(job));
        EventLog_End(this->decisions);
    }
    Dispatcher_Count(this, "agatecrank_attempts_total", "result",
                     STR("caller-gone"));
}

void
JobLog_Forward(const Job *job)
{
    Dispatcher *this = job->owner;

    if (!begin_line(job, LOG_LEVEL_INFO, "forward")) {
        return;
    }
    EventLog_Str(this->decisions, "peer", Peer_Id(job->peer));
    EventLog_Int(this->decisions, "cut_off_ms",
                 (job->sent_at - this->path_lost_at) / MICROS_PER_MS);
    EventLog_Int(this->decisions, "peers", job->peer_count);
    EventLog_Int(this->decisions, "attempts_max", job->attempts_granted);
    EventLog_Int(this->decisions, "held_ms", elapsed_ms(job));
    EventLog_Int(this->decisions, "left_ms",
                 (job->deadline - job->sent_at) / MICROS_PER_MS);
    EventLog_End(this->decisions);
}

void
JobLog_ForwardCancelled(const Job *job, const char *result)
{
    Dispatcher *this = job->owner;

    Dispatcher_Count(this, "agatecrank_forwards_total", "result",
                     Str_FromC(result));
    if (!begin_line(job, LOG_LEVEL_INFO, "forward-end")) {
        return;
    }
    EventLog_Str(this->decisions, "peer", Peer_Id(job->peer));
    EventLog_CStr(this->decisions, "result", result);
    EventLog_Int(this->decisions, "took_ms",
                 (Clock_Now(this->clock) - job->sent_at) / MICROS_PER_MS);
    EventLog_Int(this->decisions, "held_ms", elapsed_ms(job));
    EventLog_End(this->decisions);
}

void
JobLog_Interrupted(const Job *job)
{
    Dispatcher *this = job->owner;
    bool at_upstream = job->upstream != UPSTREAM_NONE;
    bool may_run = AttemptLedger_MayHaveRun(&job->ledger);

    Dispatcher_Count(this, "agatecrank_attempts_total", "result",
                     STR("interrupted"));
    if (!begin_line(job, LOG_LEVEL_INFO, "interrupted")) {
        return;
    }
    EventLog_Str(this->decisions, "upstream",
                 at_upstream ? upstream_id(this, job->upstream) : STR("none"));
    if (job->peer != NULL) {
        EventLog_Str(this->decisions, "peer", Peer_Id(job->peer));
    }
    EventLog_CStr(this->decisions, "ran", may_run ? "maybe" : "no");
    EventLog_Int(this->decisions, "held_ms", elapsed_ms(job));
    EventLog_End(this->decisions);
}

static const char *
forward_result_name(const ForwardEndInfo *end)
{
    switch (end->result) {
    case FORWARD_RESPONSE:
        return "answer";
    case FORWARD_NOT_RUN:
        return "not-run";
    case FORWARD_FAILED:
        return "failed";
    case FORWARD_UNSENT:
        return "unsent";
    case FORWARD_BROKEN:
        return "broken";
    }
    return "unknown";
}

static const char *
refusal_name(ForwardRefusal refusal)
{
    switch (refusal) {
    case FORWARD_REFUSAL_NONE:
        return "none";
    case FORWARD_REFUSAL_CUT_OFF:
        return "cut-off";
    case FORWARD_REFUSAL_STOPPING:
        return "stopping";
    case FORWARD_REFUSAL_LIMIT:
        return "forward-limit";
    case FORWARD_REFUSAL_DENIED:
        return "denied";
    case FORWARD_REFUSAL_OLDER:
        return "older-routes";
    case FORWARD_REFUSAL_OTHER:
        break;
    }
    return "other";
}

void
JobLog_ForwardEnd(const Job *job, const ForwardEndInfo *end)
{
    Dispatcher *this = job->owner;

    Dispatcher_Count(this, "agatecrank_forwards_total", "result",
                     Str_FromC(forward_result_name(end)));
    if (!begin_line(job, LOG_LEVEL_INFO, "forward-end")) {
        return;
    }
    EventLog_Str(this->decisions, "peer", Peer_Id(job->peer));
    EventLog_CStr(this->decisions, "result", forward_result_name(end));
    EventLog_CStr(this->decisions, "refusal", refusal_name(end->refusal));
    EventLog_Int(this->decisions, "status", end->status);
    EventLog_Int(this->decisions, "took_ms",
                 (Clock_Now(this->clock) - job->sent_at) / MICROS_PER_MS);
    EventLog_Int(this->decisions, "held_ms", elapsed_ms(job));
    add_cause_field(this, end->cause);
    EventLog_End(this->decisions);
}
