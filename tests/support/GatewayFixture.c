#include "GatewayFixture.h"

#include "DispatcherPrivate.h"

void
GatewayFixture_AddRoute(RouteTable *table, const char *prefix, RouteKind kind,
                        uint32_t priority, Micros objective, Micros timeout)
{
    static const RoutePart parts[] = {{{"desk", 4}, 1}};
    Route route = {
        .name = Str_FromC(prefix),
        .host = GATEWAY_FIXTURE_HOST,
        .prefix = Str_FromC(prefix),
        .kind = kind,
        .timeout = timeout,
        .objective = objective,
        .priority = priority,
        .attempts_max = 2,
        .parts = parts,
        .part_count = 1,
    };

    g_assert_cmpint(RouteTable_Add(table, &route, NULL), ==, 0);
}

UpstreamEntry
GatewayFixture_Upstream(const char *id, uint16_t port, uint32_t slots)
{
    return (UpstreamEntry){
        .id = Str_FromC(id),
        .started = 1,
        .sequence = 1,
        .service = GATEWAY_FIXTURE_SERVICE,
        .address = STR("10.0.0.1"),
        .port = port,
        .domain = STR("a"),
        .slots = slots,
    };
}

static RunEvidence
evidence_of(AttemptResult result)
{
    switch (result) {
    case ATTEMPT_RESULT_NOT_RUN:
    case ATTEMPT_RESULT_MOVED:
        return RUN_EVIDENCE_STATEMENT;
    case ATTEMPT_RESULT_UNSENT:
        return RUN_EVIDENCE_UNSENT;
    case ATTEMPT_RESULT_RESPONSE:
    case ATTEMPT_RESULT_BROKEN:
        break;
    }
    return RUN_EVIDENCE_NONE;
}

JobVerdict
GatewayFixture_EndAttempt(Dispatcher *dispatcher, Job *job,
                          const AttemptEndInfo *end)
{
    AttemptEndInfo complete = *end;

    complete.attempt = job->ledger.open;
    complete.evidence = evidence_of(end->result);
    return Dispatcher_OnAttemptEnd(dispatcher, job, &complete);
}

JobVerdict
GatewayFixture_EndForward(Dispatcher *dispatcher, Job *job,
                          const ForwardEndInfo *end)
{
    ForwardEndInfo complete = *end;

    complete.attempt = job->ledger.open;
    return Dispatcher_OnForwardEnd(dispatcher, job, &complete);
}
