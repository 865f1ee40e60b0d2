#include "LoadEstimate.h"

#include <glib.h>
#include <math.h>

/*
 * Ratio of mean to median of exponentially distributed service times. The
 * exact value is not critical: it only scales ages and delays.
 */
#define MEAN_TO_MEDIAN_RATIO 1.44F
/*
 * An upstream is slow when its mean latency exceeds the median latency of the
 * service by this factor.
 */
#define SLOW_FACTOR 4.0F
/*
 * Own requests are stuck when their mean age exceeds the median latency by
 * this factor. A factor of 5 leaves more traffic at a slow upstream, without a
 * gain under a uniform load.
 */
#define STUCK_FACTOR 3.0F
/*
 * Weight of one response in the mean latency of an upstream: a single response
 * that takes ten times as long as usual exceeds SLOW_FACTOR.
 */
#define LATENCY_EWMA_WEIGHT 0.3F
/* Step of the running median, relative to its value. */
#define MEDIAN_STEP_RATIO 0.01F
/* Weight of one report in the moving averages of the service. */
#define REPORT_EWMA_WEIGHT (1.0F / 256)
/*
 * Regression slope of reported against own requests from which reports get
 * full weight. Correct reports give a slope below 1, because a host sends to
 * upstreams that look idle; delayed or constant reports give about 0.
 */
#define FULL_TRUST_SLOPE 0.25F
/* Initial fraction of its fair share that a cold upstream gets. */
#define RAMP_INITIAL_RATIO 0.1F
/*
 * Reports with less weight in the estimate are ignored: they would only break
 * ties, always in favour of the same few upstreams.
 */
#define REPORT_WEIGHT_MIN 0.05F
/*
 * Upstreams in this host's domain may have a utilization higher than the
 * others by this factor.
 */
#define SAME_DOMAIN_TOLERANCE_FACTOR 1.1F
/* Change of the same-domain credit by one report, relative to the bonus. */
#define SAME_DOMAIN_CREDIT_STEP_RATIO (1.0F / 128)

float
LoadEstimate_Requests(const ServiceState *service, const Upstream *u,
                      Micros now, float *weight)
{
    float own = (float)service->inflight / (float)service->subset_count;
    float utilization = service->utilization > 0 ? service->utilization : 0;
    float mean_estimate = utilization * u->slots + u->inflight - own;
    float age;

    *weight = 0;
    if (u->report_time < 0) {
        return mean_estimate;
    }
    age = (float)(now - u->report_time) /
          (service->median_latency * MEAN_TO_MEDIAN_RATIO);
    *weight = service->report_trust / (1 + age + age * age / 2);
    if (*weight < REPORT_WEIGHT_MIN) {
        *weight = 0;
        return mean_estimate;
    }
    return *weight * (u->report_load + u->sent_since_report) +
           (1 - *weight) * mean_estimate;
}

float
LoadEstimate_Delay(const ServiceState *service, float requests, float weight,
                   float slots)
{
    float utilization = service->utilization > 0 ? service->utilization : 0;
    float variance = 0.3F + (1 - weight * weight) * utilization * slots * 0.5F;
    float excess = requests - slots + 0.5F;
    /* Approximates the mean of the positive part of a normal variable. */
    float waiting = (excess + sqrtf(excess * excess + 0.64F * variance)) / 2;

    return waiting / slots * service->median_latency * MEAN_TO_MEDIAN_RATIO;
}

float
LoadEstimate_Penalty(const ServiceState *service, const Upstream *u,
                     Micros now)
{
    float age;

    if (u->penalty <= 0) {
        return 0;
    }
    age = (float)(now - u->penalty_time) /
          (service->median_latency * MEAN_TO_MEDIAN_RATIO);
    return age > 8 ? 0 : u->penalty * expf(-age);
}

void
LoadEstimate_AddPenalty(const ServiceState *service, Upstream *u, Micros now)
{
    u->penalty = LoadEstimate_Penalty(service, u, now) + 1;
    u->penalty_time = now;
}

bool
LoadEstimate_IsStuck(const ServiceState *service, const Upstream *u,
                     Micros now)
{
    Micros age_sum = u->inflight * now - u->start_time_sum;

    return u->inflight > 0 && (float)age_sum > STUCK_FACTOR *
                                                   service->median_latency *
                                                   u->inflight;
}

/* Updates the regression of reported load on this host's own request count. */
static void
update_report_trust(ServiceState *s, float own, float reported)
{
    float x = own - s->own_count_mean;
    float y = reported - s->reported_mean;

    s->own_count_mean += REPORT_EWMA_WEIGHT * x;
    s->reported_mean += REPORT_EWMA_WEIGHT * y;
    s->variance += REPORT_EWMA_WEIGHT * (x * x - s->variance);
    s->covariance += REPORT_EWMA_WEIGHT * (x * y - s->covariance);
    if (s->variance > 0.01F) {
        s->report_trust =
            CLAMP(s->covariance / s->variance / FULL_TRUST_SLOPE, 0, 1);
    }
}

/*
 * Upstreams in this host's domain are preferred as long as that does not raise
 * their utilization above that of the others, as it would in a domain with
 * more hosts than upstreams.
 */
static void
adjust_same_domain_credit(ServiceState *s, float utilization, bool same_domain,
                          float bonus)
{
    float *mean = same_domain ? &s->same_domain_utilization
                              : &s->other_domain_utilization;

    *mean += REPORT_EWMA_WEIGHT * (utilization - *mean);
    s->same_domain_credit +=
        s->same_domain_utilization >
                SAME_DOMAIN_TOLERANCE_FACTOR * s->other_domain_utilization
            ? -bonus * SAME_DOMAIN_CREDIT_STEP_RATIO
            : bonus * SAME_DOMAIN_CREDIT_STEP_RATIO;
    s->same_domain_credit =
        CLAMP(s->same_domain_credit, 0, bonus * s->report_trust);
}

void
LoadEstimate_OnReport(ServiceState *service, Upstream *u,
                      const LoadReport *report, Micros written,
                      const RouterOptions *options)
{
    float load = (float)report->inflight + (float)report->queue;
    float utilization = load / u->slots;

    if (report->slots > 0) {
        u->slots = (uint16_t)MIN(report->slots, u->configured_slots);
    }
    if (service->utilization < 0) {
        service->utilization = utilization;
    }
    service->utilization +=
        REPORT_EWMA_WEIGHT * (utilization - service->utilization);
    if (options != NULL && u->inflight > 0) {
        adjust_same_domain_credit(service, utilization,
                                  u->domain == options->own_domain,
                                  (float)options->same_domain_bonus);
        if (options->verify_reports) {
            update_report_trust(service, (float)u->inflight - 1, load);
        }
    }
    u->report_time = written;
    u->report_load = load;
    u->sent_since_report = 0;
}

void
LoadEstimate_OnLatency(ServiceState *service, Upstream *u, Micros latency)
{
    float value = (float)latency;
    float step = service->median_latency * MEDIAN_STEP_RATIO;

    service->median_latency += value > service->median_latency ? step : -step;
    service->median_latency = MAX(service->median_latency, 50.0F);
    if (u->mean_latency <= 0) {
        /* Starts from the service's value: one response is weak evidence. */
        u->mean_latency = service->median_latency * MEAN_TO_MEDIAN_RATIO;
    }
    u->mean_latency += LATENCY_EWMA_WEIGHT * (value - u->mean_latency);
}

bool
LoadEstimate_IsSlow(const ServiceState *service, const Upstream *u)
{
    return u->mean_latency > SLOW_FACTOR * service->median_latency;
}

float
LoadEstimate_RampShare(const Upstream *u, Micros now, Micros ramp_time)
{
    Micros age = now - u->ramp_start;

    if (age >= ramp_time) {
        return 1;
    }
    return RAMP_INITIAL_RATIO +
           (1 - RAMP_INITIAL_RATIO) * (float)age / (float)ramp_time;
}
