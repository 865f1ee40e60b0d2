#include "BalancerPrivate.h"

void
Balancer_CountOutcome(Balancer *this, const BalancerRequest *request,
                      Outcome outcome, const char *reason)
{
    CounterLabel labels[] = {
        {"line", request->line_name},
        {"service", NameTable_Name(this->services, request->service)},
        {"outcome", Str_FromC(Outcome_Name(outcome))},
        {"reason", Str_FromC(reason)},
    };

    Counters_Add(this->counters, "agatecrank_requests_total", labels,
                 G_N_ELEMENTS(labels), 1);
}

void
Balancer_LogRoute(Balancer *this, const BalancerRequest *request,
                  const RouteChoice *choice, int code)
{
    char text[160];
    size_t used = 0;

    if (!EventLog_Begin(this->log, LOG_LEVEL_INFO, "route")) {
        return;
    }
    EventLog_Str(this->log, "request", request->request_id);
    EventLog_Str(this->log, "line", request->line_name);
    EventLog_Str(this->log, "service",
                 NameTable_Name(this->services, request->service));
    EventLog_Int(this->log, "attempt",
                 Exchange_Attempts(request->exchange) + 1);
    if (code < 0) {
        EventLog_CStr(this->log, "choice", "none");
        EventLog_CStr(this->log, "reason", Error_Name(code));
        EventLog_End(this->log);
        return;
    }
    EventLog_Str(this->log, "choice",
                 Directory_At(this->directory, choice->upstream)->id);
    EventLog_CStr(this->log, "reason", choice->reason);
    EventLog_Int(this->log, "compared", choice->compared);
    text[0] = '\0';
    for (uint32_t i = 0; i < choice->candidate_count; i++) {
        const RouteCandidate *candidate = &choice->candidates[i];
        const DirectoryUpstream *upstream =
            Directory_At(this->directory, candidate->upstream);

        if (upstream == NULL || used >= sizeof(text) - 1) {
            break;
        }
        used += (size_t)g_snprintf(
            text + used, sizeof(text) - used, "%s" STR_FORMAT ":%.2f:%dms",
            i > 0 ? "," : "", STR_ARGS(upstream->id), candidate->load,
            candidate->age < 0 ? -1 : (int)(candidate->age / MICROS_PER_MS));
    }
    EventLog_CStr(this->log, "candidates", text);
    EventLog_End(this->log);
}

void
Balancer_LogRefusal(Balancer *this, const BalancerRequest *request,
                    const BalancerAction *action)
{
    if (!EventLog_Begin(this->log, LOG_LEVEL_INFO, "refuse")) {
        return;
    }
    EventLog_Str(this->log, "request", request->request_id);
    EventLog_Str(this->log, "line", request->line_name);
    EventLog_Str(this->log, "service",
                 NameTable_Name(this->services, request->service));
    EventLog_Int(this->log, "status", action->respond.status);
    EventLog_CStr(this->log, "outcome", Outcome_Name(action->respond.outcome));
    EventLog_CStr(this->log, "reason", action->respond.reason);
    EventLog_End(this->log);
}
