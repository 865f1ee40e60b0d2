#include "LoadEstimate.h"

#include <glib.h>
#include <math.h>

/*
 * Mean over median of exponential service times. The exact value does not
 * matter: it only scales ages and delays.
 */
#define MEAN_OVER_MEDIAN 1.44F
/* An upstream is slow when its mean is this many times the typical median. */
#define SLOW_FACTOR 4.0F
/*
 * Own requests are stuck when their mean age passes this many medians. At 5
 * a slow upstream kept more traffic, and a uniform load was no better.
 */
#define STUCK_FACTOR 3.0F
/*
 * Weight of one response in an upstream's mean latency: one response ten
 * times the usual is enough to pass SLOW_FACTOR.
 */
#define LATENCY_WEIGHT 0.3F
/* Step of the running median, as a share of its value. */
#define TYPICAL_STEP 0.01F
/* Weight of one report in the service's statistics. */
#define REPORT_WEIGHT (1.0F / 256)
/*
 * Slope of reported against own requests at which reports count in full.
 * True reports give a slope below 1, because a host sends to upstreams that
 * look idle; late or constant ones give about 0.
 */
#define FULL_TRUST_SLOPE 0.25F
/* Part of a fair share that a cold upstream gets at first. */
#define RAMP_START 0.1F
/*
 * Reports of less weight are ignored: they would only break ties, always in
 * favour of the same few upstreams.
 */
#define WEIGHT_MIN 0.05F
/* Near upstreams may be this much busier than far ones. */
#define NEAR_TOLERANCE 1.1F
/* Change of the credit for near upstreams by one report. */
#define NEAR_STEP (1.0F / 128)

float
LoadEstimate_Requests(const ServiceState *service, const Upstream *u,
                      Micros now, float *weight)
{
    float own = (float)service->inflight / (float)service->subset_count;
    float busy = service->busy > 0 ? service->busy : 0;
    float later = busy * u->slots + u->inflight - own;
    float age;

    *weight = 0;
    if (u->report_time < 0) {
        return later;
    }
    age =
        (float)(now - u->report_time) / (service->typical * MEAN_OVER_MEDIAN);
    *weight = service->trust / (1 + age + age * age / 2);
    if (*weight < WEIGHT_MIN) {
        *weight = 0;
        return later;
    }
    return *weight * (u->report_load + u->sent_since_report) +
           (1 - *weight) * later;
}

float
LoadEstimate_Delay(const ServiceState *service, float requests, float weight,
                   float slots)
{
    float busy = service->busy > 0 ? service->busy : 0;
    float variance = 0.3F + (1 - weight * weight) * busy * slots * 0.5F;
    float over = requests - slots + 0.5F;
    /* Close to the mean of the positive part of a normal variable. */
    float waiting = (over + sqrtf(over * over + 0.64F * variance)) / 2;

    return waiting / slots * service->typical * MEAN_OVER_MEDIAN;
}

float
LoadEstimate_Penalty(const ServiceState *service, const Upstream *u,
                     Micros now)
{
    float age;

    if (u->penalty <= 0) {
        return 0;
    }
    age =
        (float)(now - u->penalty_time) / (service->typical * MEAN_OVER_MEDIAN);
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
    Micros ages = u->inflight * now - u->started;

    return u->inflight > 0 &&
           (float)ages > STUCK_FACTOR * service->typical * u->inflight;
}

/* Learns how far reports follow this host's own number of requests. */
static void
verify_report(ServiceState *s, float own, float reported)
{
    float x = own - s->own_mean;
    float y = reported - s->report_mean;

    s->own_mean += REPORT_WEIGHT * x;
    s->report_mean += REPORT_WEIGHT * y;
    s->variance += REPORT_WEIGHT * (x * x - s->variance);
    s->covariance += REPORT_WEIGHT * (x * y - s->covariance);
    if (s->variance > 0.01F) {
        s->trust = CLAMP(s->covariance / s->variance / FULL_TRUST_SLOPE, 0, 1);
    }
}

/*
 * Near upstreams are preferred as long as that does not make them busier than
 * far ones, as it would where more hosts than upstreams are in this domain.
 */
static void
adjust_near_credit(ServiceState *s, float share, bool near, float bonus)
{
    float *busy = near ? &s->busy_near : &s->busy_far;

    *busy += REPORT_WEIGHT * (share - *busy);
    s->near_credit += s->busy_near > NEAR_TOLERANCE * s->busy_far
                          ? -bonus * NEAR_STEP
                          : bonus * NEAR_STEP;
    s->near_credit = CLAMP(s->near_credit, 0, bonus * s->trust);
}

void
LoadEstimate_OnReport(ServiceState *service, Upstream *u,
                      const LoadReport *report, Micros written,
                      const RouterOptions *options)
{
    float load = (float)report->inflight + (float)report->queue;
    float share = load / u->slots;

    if (report->slots > 0) {
        u->slots = (uint16_t)MIN(report->slots, u->slots_max);
    }
    if (service->busy < 0) {
        service->busy = share;
    }
    service->busy += REPORT_WEIGHT * (share - service->busy);
    if (options != NULL && u->inflight > 0) {
        adjust_near_credit(service, share, u->domain == options->own_domain,
                           (float)options->same_domain_bonus);
        if (options->verify_reports) {
            verify_report(service, (float)u->inflight - 1, load);
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
    float step = service->typical * TYPICAL_STEP;

    service->typical += value > service->typical ? step : -step;
    service->typical = MAX(service->typical, 50.0F);
    if (u->latency <= 0) {
        /* Starts from the typical value: one response proves little. */
        u->latency = service->typical * MEAN_OVER_MEDIAN;
    }
    u->latency += LATENCY_WEIGHT * (value - u->latency);
}

bool
LoadEstimate_IsSlow(const ServiceState *service, const Upstream *u)
{
    return u->latency > SLOW_FACTOR * service->typical;
}

float
LoadEstimate_Ramp(const Upstream *u, Micros now, Micros ramp_time)
{
    Micros age = now - u->ramp_start;

    if (age >= ramp_time) {
        return 1;
    }
    return RAMP_START + (1 - RAMP_START) * (float)age / (float)ramp_time;
}
