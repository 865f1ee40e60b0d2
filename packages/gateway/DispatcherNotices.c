#include "DispatcherPrivate.h"

static void
log_notice(Dispatcher *this, uint32_t upstream, const char *kind,
           const char *source, Micros pause)
{
    const UpstreamRecord *record =
        UpstreamSet_Record(this->upstreams, upstream);

    Dispatcher_Count(this, "agatecrank_upstream_notices_total", "kind",
                     Str_FromC(kind));
    if (EventLog_Begin(this->log, LOG_LEVEL_INFO, "upstream-notice")) {
        EventLog_Str(this->log, "upstream",
                     record != NULL ? record->id : STR("gone"));
        EventLog_CStr(this->log, "kind", kind);
        EventLog_CStr(this->log, "source", source);
        EventLog_Int(this->log, "pause_ms", pause / MICROS_PER_MS);
        EventLog_End(this->log);
    }
}

static void
on_notice(Dispatcher *this, uint32_t upstream, const UpstreamNotice *notice,
          const char *source, Micros sent)
{
    Eligibility *eligibility = Placement_Eligibility(this->placement);

    if (!notice->leaving) {
        Eligibility_OnNotLeaving(eligibility, upstream, sent);
    }
    else if (Eligibility_SetLeaving(eligibility, upstream, sent)) {
        log_notice(this, upstream, "leaving", source, 0);
    }
    if (notice->pause > 0 &&
        Eligibility_Pause(eligibility, upstream, notice->pause, sent)) {
        log_notice(this, upstream, "pause", source, notice->pause);
    }
}

void
Dispatcher_OnNotice(Dispatcher *this, const Job *job,
                    const UpstreamNotice *notice)
{
    if (job->upstream != UPSTREAM_NONE) {
        on_notice(this, job->upstream, notice, "request", job->sent_at);
    }
}

void
Dispatcher_SetWarmup(Dispatcher *this, uint32_t upstream, const char *source,
                     Micros time)
{
    const UpstreamRecord *record =
        UpstreamSet_Record(this->upstreams, upstream);
    double per_s = record != NULL && this->routes != NULL
                       ? RouteTable_WarmupRate(
                             this->routes,
                             NameTable_Name(this->services, record->service))
                       : 0;
    LimitChange change;

    if (per_s <= 0) {
        return;
    }
    change = UpstreamLimits_SetWarmup(this->limits, upstream, record->instance,
                                      per_s, Clock_Now(this->clock) + time);
    if (change == LIMIT_CHANGE_NAMED) {
        Placement_SetWarmup(this->placement, upstream, time);
        log_notice(this, upstream, "warmup", source, time);
    }
}

void
Dispatcher_OnProbeNotice(Dispatcher *this, uint32_t upstream,
                         const UpstreamNotice *notice)
{
    Dispatcher_SetWarmup(this, upstream, "probe", notice->warmup);
    on_notice(this, upstream, notice, "probe",
              Dispatcher_SentProbe(this, upstream).sent);
}

void
Dispatcher_OnPeerNotice(Dispatcher *this, const Job *job, uint32_t instance)
{
    if (Eligibility_OnPeerNotice(Placement_Eligibility(this->placement),
                                 instance, job->sent_at)) {
        log_notice(this, UpstreamSet_IndexOf(this->upstreams, instance),
                   "leaving", "peer", 0);
    }
}

uint32_t
Dispatcher_AttemptInstance(const Dispatcher *this, const Job *job)
{
    const UpstreamRecord *record =
        UpstreamSet_Record(this->upstreams, job->upstream);

    return record != NULL ? record->instance : 0;
}
