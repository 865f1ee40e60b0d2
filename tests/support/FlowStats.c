#include "FlowStats.h"

void
FlowStats_Init(FlowStats *this)
{
    *this = (FlowStats){0};
    this->latencies = g_array_new(FALSE, FALSE, sizeof(gint32));
    this->waits = g_array_new(FALSE, FALSE, sizeof(gint32));
}

void
FlowStats_AddAttempt(FlowStats *this, FlowPhase phase, bool affected)
{
    this->attempts[phase]++;
    this->affected[phase] += affected;
}

void
FlowStats_AddAnswer(FlowStats *this, Micros latency, Micros service_time)
{
    gint32 value = (gint32)latency;
    gint32 wait = (gint32)(latency - service_time);

    this->result.answered++;
    g_array_append_val(this->latencies, value);
    g_array_append_val(this->waits, wait);
}

static gint
compare_values(gconstpointer a, gconstpointer b)
{
    gint32 x = *(const gint32 *)a;
    gint32 y = *(const gint32 *)b;

    return x < y ? -1 : x > y;
}

static Micros
quantile(GArray *values, double q)
{
    if (values->len == 0) {
        return 0;
    }
    g_array_sort(values, compare_values);
    return g_array_index(values, gint32, (guint)(q * (values->len - 1)));
}

static double
affected_share(const FlowStats *this, FlowPhase phase)
{
    uint64_t attempts = this->attempts[phase];

    return attempts > 0 ? (double)this->affected[phase] / (double)attempts : 0;
}

ServiceResult
FlowStats_Finish(FlowStats *this)
{
    ServiceResult result = this->result;

    result.p50 = quantile(this->latencies, 0.5);
    result.p99 = quantile(this->latencies, 0.99);
    result.wait_p99 = quantile(this->waits, 0.99);
    result.affected_share = affected_share(this, PHASE_PERIOD);
    result.affected_late = affected_share(this, PHASE_LATE);
    result.affected_after = affected_share(this, PHASE_AFTER);
    g_array_free(this->latencies, TRUE);
    g_array_free(this->waits, TRUE);
    return result;
}
