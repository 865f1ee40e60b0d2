#include "HostPath.h"

#include "JobForward.h"
#include "JobPlacement.h"

/* Longest time that a request waits until the path is known. */
#define HOLD_MAX_US (150 * MICROS_PER_MS)

/* Failures from the first doubt on are taken back if this host is cut off. */
static void
note_doubt(Dispatcher *this, PathState before)
{
    if (before == PATH_REACHABLE &&
        PathMonitor_State(this->path) != PATH_REACHABLE) {
        Placement_SaveFailures(this->placement);
    }
}

/* Without peers, nothing would follow from a cut. */
static bool
is_monitored(const Dispatcher *this)
{
    return PeerSet_Count(this->peers) > 0;
}

static void
on_connect_failure(Dispatcher *this)
{
    PathState before = PathMonitor_State(this->path);

    if (is_monitored(this)) {
        PathMonitor_OnConnectFailure(this->path);
        note_doubt(this, before);
    }
}

static void
on_no_response(Dispatcher *this, Micros sent)
{
    PathState before = PathMonitor_State(this->path);

    if (is_monitored(this)) {
        PathMonitor_OnNoResponse(this->path, sent);
        note_doubt(this, before);
    }
}

void
HostPath_OnAttemptEnd(Dispatcher *this, const Job *job, AttemptResult result)
{
    switch (result) {
    case ATTEMPT_RESULT_RESPONSE:
    case ATTEMPT_RESULT_NOT_RUN:
    case ATTEMPT_RESULT_MOVED:
        PathMonitor_OnResponse(this->path);
        break;
    case ATTEMPT_RESULT_UNSENT:
        on_connect_failure(this);
        break;
    case ATTEMPT_RESULT_BROKEN:
        on_no_response(this, job->sent_at);
        break;
    }
}

static PathProbeResult
path_result(ProbeResult result)
{
    switch (result) {
    case PROBE_ANSWERED:
        return PATH_PROBE_ANSWERED;
    case PROBE_ACCEPTED:
        return PATH_PROBE_CLOSED;
    case PROBE_REFUSED:
        return PATH_PROBE_REFUSED;
    case PROBE_UNCLEAR:
        break;
    }
    return PATH_PROBE_UNCLEAR;
}

static void
on_probe_end(Dispatcher *this, uint32_t upstream, PathProbeResult result)
{
    SentProbe probe = Dispatcher_SentProbe(this, upstream);

    if (probe.new_connection) {
        if (result == PATH_PROBE_ANSWERED) {
            CrashGuard_OnReachable(this->guard, probe.sent);
        }
        PathMonitor_OnProbeEnd(this->path, upstream, probe.sent, result);
    }
}

void
HostPath_OnProbeResult(Dispatcher *this, uint32_t upstream, ProbeResult result)
{
    switch (result) {
    case PROBE_ANSWERED:
        PathMonitor_OnResponse(this->path);
        break;
    case PROBE_REFUSED:
    case PROBE_ACCEPTED:
        on_connect_failure(this);
        break;
    case PROBE_UNCLEAR:
        on_no_response(this, Dispatcher_SentProbe(this, upstream).sent);
        break;
    }
    on_probe_end(this, upstream, path_result(result));
}

void
HostPath_OnProbeTimeout(Dispatcher *this, uint32_t upstream, bool connected)
{
    /* The attempt that is being decided on, or the probe before it, has started
     * a suspicion; more timeouts of its upstream say nothing about the path. */
    if (CrashGuard_IsWatched(this->guard, upstream)) {
        on_probe_end(this, upstream,
                     connected ? PATH_PROBE_SILENT : PATH_PROBE_TIMEOUT);
        return;
    }
    if (connected) {
        on_no_response(this, Dispatcher_SentProbe(this, upstream).sent);
    }
    else {
        on_connect_failure(this);
    }
    on_probe_end(this, upstream,
                 connected ? PATH_PROBE_SILENT : PATH_PROBE_TIMEOUT);
}

/* ---- probes ---------------------------------------------------------- */

static bool
may_not_be_probed(const Dispatcher *this, uint32_t upstream)
{
    const Eligibility *eligibility = Placement_Eligibility(this->placement);

    return Eligibility_IsEnding(eligibility, upstream) ||
           Eligibility_IsPaused(eligibility, upstream);
}

static GArray *
list_targets(const Dispatcher *this)
{
    GArray *targets = g_array_new(FALSE, FALSE, sizeof(PathTarget));
    uint32_t end = UpstreamSet_IndexEnd(this->upstreams);

    for (uint32_t i = 0; i < end; i++) {
        const UpstreamRecord *record = UpstreamSet_Record(this->upstreams, i);
        PathTarget target = {.upstream = i};

        if (record == NULL || may_not_be_probed(this, i) ||
            !JobPlacement_HasLoadPath(this, record->service)) {
            continue;
        }
        target.service = record->service;
        target.domain = record->domain;
        target.heard_at = CrashGuard_AliveAt(this->guard, i);
        target.busy = Placement_IsProbePending(this->placement, i);
        g_array_append_val(targets, target);
    }
    return targets;
}

static void
send_probes(Dispatcher *this)
{
    uint32_t upstreams[PATH_SAMPLE_MAX];
    GArray *targets;
    size_t n;

    if (!PathMonitor_WantsProbes(this->path)) {
        return;
    }
    targets = list_targets(this);
    n = PathMonitor_SelectProbes(this->path,
                                 (const PathTarget *)(void *)targets->data,
                                 targets->len, upstreams);
    g_array_free(targets, TRUE);
    Placement_SpendProbes(this->placement, n);
    for (size_t i = 0; i < n; i++) {
        JobPlacement_ProbeUpstream(this, upstreams[i]);
    }
}

/* ---- changes of the state -------------------------------------------- */

static bool
is_waiting(const Job *job)
{
    return job->upstream == UPSTREAM_NONE && job->peer == NULL &&
           !job->awaits_allowance;
}

static void
on_job_cut_off(Job *job)
{
    if (job->relaying) {
        return;
    }
    if (!JobForward_Applies(job)) {
        HostPath_EndHold(job);
        return;
    }
    /* An open attempt goes on until its connection ends: the verdict may be
     * wrong, and no peer has taken the request yet. */
    if (is_waiting(job)) {
        JobForward_Redirect(job);
    }
}

static void
on_cut_off(Dispatcher *this)
{
    GList *jobs;

    this->path_lost_at = Clock_Now(this->clock);
    CrashGuard_OnPathLost(this->guard);
    jobs = Job_Sorted(this->jobs);
    for (GList *item = jobs; item != NULL; item = item->next) {
        on_job_cut_off(item->data);
    }
    g_list_free(jobs);
}

static void
release_held(Dispatcher *this)
{
    GList *jobs = Job_Sorted(this->jobs);

    for (GList *item = jobs; item != NULL; item = item->next) {
        HostPath_EndHold(item->data);
    }
    g_list_free(jobs);
}

static void
on_change(Dispatcher *this, PathState before, PathState state)
{
    if (state == PATH_CUT_OFF) {
        on_cut_off(this);
    }
    else if (before == PATH_CUT_OFF) {
        this->path_back_at = Clock_Now(this->clock);
        Placement_RestoreFailures(this->placement);
        CrashGuard_OnPathRestored(this->guard,
                                  this->path_back_at - this->path_lost_at);
    }
    else if (state == PATH_REACHABLE) {
        release_held(this);
    }
}

void
HostPath_Run(Dispatcher *this)
{
    PathState before = this->path_state;

    PathMonitor_OnTime(this->path);
    send_probes(this);
    this->path_state = PathMonitor_State(this->path);
    if (this->path_state != before) {
        on_change(this, before, this->path_state);
    }
}

/* ---- jobs that wait for the verdict ---------------------------------- */

bool
HostPath_Hold(Job *job)
{
    Dispatcher *this = job->owner;

    /* The first failure starts the probes. */
    PathMonitor_OnTime(this->path);
    if (PathMonitor_State(this->path) != PATH_SUSPECTED) {
        return false;
    }
    Job_SetHeldUntil(job, Clock_Now(this->clock) + HOLD_MAX_US);
    return true;
}

void
HostPath_EndHold(Job *job)
{
    if (job->held_until > 0) {
        Job_SetHeldUntil(job, 0);
        Job_Retry(job, "upstream-unreachable");
    }
}
