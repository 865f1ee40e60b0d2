#include "Placement.h"

#include <glib.h>
#include <math.h>

/* Age up to which a report counts as current: less than a tenth of
 * SLOWDOWN_MEAN_TIME_US. */
#define FRESH_REPORT_AGE_MAX_US (25 * MICROS_PER_MS)
/* Mean time for which the speed of a machine stays the same. */
#define SLOWDOWN_MEAN_TIME_US (300 * MICROS_PER_MS)
/* Utilization above which current upstreams slow down because they are nearly
 * full, and the factor by which their processing time grows then. */
#define SATURATION_THRESHOLD_RATIO 0.8F
#define SATURATION_COST_FACTOR 1.7F
/* Requests by which an estimate may exceed what an upstream with few slots has
 * room for. A report that is a few milliseconds old is mixed with the mean of the
 * service, so that even an idle upstream would count as full. */
#define CAPACITY_TOLERANCE_COUNT 0.1F
#define FEW_SLOTS_MAX 2
/* Cost up to which probing other upstreams is not worthwhile. */
#define NEAR_IDLE_COST_THRESHOLD 1.3F
/* An upstream in another failure domain is chosen only if it is better by this
 * factor. */
#define OTHER_DOMAIN_COST_FACTOR 1.25F
/* Factor by which a new upstream is slower while it warms up. */
#define WARMUP_COST_FACTOR 2.0F
/* Weight of a report in the moving averages of its service. */
#define REPORT_EWMA_WEIGHT 0.05F
/* Averages of a service before its first report. */
#define INITIAL_MEAN_SLOWDOWN_FACTOR 1.5F
#define INITIAL_MEAN_UTILIZATION_RATIO 0.3F
/* Weight of one failure in the moving average of an upstream: two failures in
 * a row exceed EJECTION_FAILURE_RATIO. */
#define FAILURE_EWMA_WEIGHT 0.35F
#define EJECTION_FAILURE_RATIO 0.5F
/* Probe timeouts in a row after which an upstream counts as unreachable: a
 * single one may be due to a lost packet or to a pause of the upstream. */
#define UNREACHABLE_TIMEOUTS_COUNT 2
/* Cost that a failure ratio of 1 adds. */
#define FAILURE_COST 2.0F

typedef struct Failures_ {
    float ratio; /* moving average: 1 for a failure, 0 for a success */
    uint32_t probe_timeouts;
} Failures;

typedef struct Load_ {
    PlacementInfo info;
    Failures saved;   /* see Placement_SaveFailures() */
    Micros report_at; /* -1 without a report */
    Micros warmup_until;
    float running; /* by the last report, like the next two */
    float waiting;
    float slowdown;
    float failure_ratio; /* moving average: 1 for a failure, 0 for a success */
    uint32_t sent;       /* requests since the report */
    uint32_t inflight;
    uint32_t probe_timeouts;
    bool present;
    bool probe_pending;
} Load;

/* Part of the probe budget that is used, to stay below the limit. */
#define PROBE_BUDGET_RATIO 0.95F
/* Time for which unused probes accumulate, in seconds: the limit is one on a
 * mean over much longer, and bursts last some seconds. */
#define PROBE_BURST_S 10
/* Part of the accumulated probes that is reserved for placement. */
#define SPARE_PROBES_RATIO 0.5F
/* Probes available at the start, when the host does not know its share of the
 * load yet. */
#define INITIAL_PROBES_COUNT 200.0F

/* Cost differences up to this size do not decide which upstream is probed. */
#define PROBE_COST_JITTER 0.2F
/* Both ends close connections that are idle for this long, so that a probe has
 * to open a new one. */
#define CONNECTION_IDLE_MAX_US (8 * MICROS_PER_S)
#define CONNECT_COST 0.15F

typedef struct Service_ {
    GArray *upstreams; /* uint32_t indexes */
    uint64_t slots;    /* sum over all upstreams */
    float mean_slowdown;
    float mean_utilization;
    float mean_inflight; /* of this host */
    uint32_t inflight;
    bool reported; /* at least one load report arrived */
} Service;

struct Placement_ {
    const Clock *clock;
    Random *random;
    Eligibility *eligibility;
    uint32_t own_domain;
    float probes_per_s;
    float probe_tokens; /* probes that may be sent now */
    Micros refilled_at;
    GArray *loads;       /* Load by upstream index */
    GPtrArray *services; /* Service by service index */
};

static void
destroy_service(gpointer data)
{
    Service *service = data;

    g_array_free(service->upstreams, TRUE);
    g_free(service);
}

Placement *
Placement_Create(uint32_t own_domain, double probes_per_s,
                 UpstreamLimits *limits, const Clock *clock, Random *random)
{
    Placement *this = g_new0(Placement, 1);

    this->clock = clock;
    this->random = random;
    this->eligibility = Eligibility_Create(limits, clock);
    this->own_domain = own_domain;
    this->probes_per_s = (float)probes_per_s;
    this->probe_tokens = INITIAL_PROBES_COUNT;
    this->refilled_at = Clock_Now(clock);
    this->loads = g_array_new(FALSE, TRUE, sizeof(Load));
    this->services = g_ptr_array_new_with_free_func(destroy_service);
    return this;
}

void
Placement_Destroy(Placement *this)
{
    if (this == NULL) {
        return;
    }
    Eligibility_Destroy(this->eligibility);
    g_array_free(this->loads, TRUE);
    g_ptr_array_free(this->services, TRUE);
    g_free(this);
}

Eligibility *
Placement_Eligibility(const Placement *this)
{
    return this->eligibility;
}

static Load *
load_at(const Placement *this, uint32_t upstream)
{
    return &g_array_index(this->loads, Load, upstream);
}

static Load *
find_load(const Placement *this, uint32_t upstream)
{
    Load *load = upstream < this->loads->len ? load_at(this, upstream) : NULL;

    return load != NULL && load->present ? load : NULL;
}

static Service *
service_at(Placement *this, uint32_t index)
{
    while (this->services->len <= index) {
        Service *service = g_new0(Service, 1);

        service->upstreams = g_array_new(FALSE, FALSE, sizeof(uint32_t));
        service->mean_slowdown = INITIAL_MEAN_SLOWDOWN_FACTOR;
        service->mean_utilization = INITIAL_MEAN_UTILIZATION_RATIO;
        service->mean_inflight = 1;
        g_ptr_array_add(this->services, service);
    }
    return g_ptr_array_index(this->services, index);
}

void
Placement_Add(Placement *this, uint32_t upstream, const PlacementInfo *info)
{
    Service *service = service_at(this, info->service);
    Micros now = Clock_Now(this->clock);

    if (this->loads->len <= upstream) {
        g_array_set_size(this->loads, upstream + 1);
    }
    *load_at(this, upstream) = (Load){
        .info = *info,
        .report_at = -1,
        .warmup_until = now + info->warmup,
        .present = true,
    };
    Eligibility_OnListed(this->eligibility, upstream, info->instance);
    g_array_append_val(service->upstreams, upstream);
    service->slots += info->slots;
}

void
Placement_Remove(Placement *this, uint32_t upstream)
{
    Load *load = find_load(this, upstream);
    Service *service;
    GArray *list;

    if (load == NULL) {
        return;
    }
    service = service_at(this, load->info.service);
    service->inflight -= MIN(service->inflight, load->inflight);
    service->slots -= load->info.slots;
    load->present = false;
    Eligibility_OnRemoved(this->eligibility, upstream);
    list = service->upstreams;
    for (guint i = 0; i < list->len; i++) {
        if (g_array_index(list, uint32_t, i) == upstream) {
            g_array_remove_index_fast(list, i);
            return;
        }
    }
}

void
Placement_SetDraining(Placement *this, uint32_t upstream, bool draining)
{
    if (find_load(this, upstream) != NULL) {
        Eligibility_SetDraining(this->eligibility, upstream, draining);
    }
}

void
Placement_SetWarmup(Placement *this, uint32_t upstream, Micros time)
{
    Load *load = find_load(this, upstream);

    if (load != NULL) {
        load->warmup_until = Clock_Now(this->clock) + time;
    }
}

void
Placement_OnSent(Placement *this, uint32_t upstream)
{
    Load *load = find_load(this, upstream);

    if (load == NULL) {
        return;
    }
    Eligibility_OnSent(this->eligibility, upstream);
    load->sent++;
    load->inflight++;
    service_at(this, load->info.service)->inflight++;
}

void
Placement_OnReport(Placement *this, uint32_t upstream,
                   const LoadReport *report)
{
    Load *load = find_load(this, upstream);
    Service *service;

    if (load == NULL) {
        return;
    }
    service = service_at(this, load->info.service);
    if (report->slots > 0) {
        service->slots += report->slots;
        service->slots -= load->info.slots;
        load->info.slots = report->slots;
    }
    load->report_at = Clock_Now(this->clock);
    load->probe_timeouts = 0;
    load->running = (float)report->inflight;
    load->waiting = (float)report->queue;
    load->slowdown = report->slowdown_percent > 0
                         ? (float)report->slowdown_percent / 100
                         : 1;
    load->sent = 0;
    service->mean_slowdown +=
        REPORT_EWMA_WEIGHT * (load->slowdown - service->mean_slowdown);
    service->mean_utilization +=
        REPORT_EWMA_WEIGHT *
        ((load->running + load->waiting) / (float)load->info.slots -
         service->mean_utilization);
    service->mean_inflight += REPORT_EWMA_WEIGHT * ((float)service->inflight -
                                                    service->mean_inflight);
    service->reported = true;
}

static void
on_failure(Placement *this, uint32_t upstream, Load *load)
{
    load->failure_ratio += FAILURE_EWMA_WEIGHT * (1 - load->failure_ratio);
    if (load->failure_ratio > EJECTION_FAILURE_RATIO) {
        Eligibility_Eject(this->eligibility, upstream);
    }
}

void
Placement_OnFinished(Placement *this, uint32_t upstream,
                     AttemptOutcome outcome)
{
    Load *load = find_load(this, upstream);
    Service *service;

    if (load == NULL) {
        return;
    }
    service = service_at(this, load->info.service);
    load->inflight -= MIN(load->inflight, 1);
    service->inflight -= MIN(service->inflight, 1);
    load->sent = MIN(load->sent, load->inflight);
    switch (outcome) {
    case ATTEMPT_OK:
        load->failure_ratio *= 1 - FAILURE_EWMA_WEIGHT;
        Eligibility_OnSuccess(this->eligibility, upstream);
        break;
    case ATTEMPT_ERROR:
    case ATTEMPT_CONNECTION_FAILED:
    case ATTEMPT_TIMEOUT:
        on_failure(this, upstream, load);
        break;
    case ATTEMPT_SHED:
    case ATTEMPT_CANCELLED:
        break;
    }
}

void
Placement_OnProbeSent(Placement *this, uint32_t upstream)
{
    Load *load = find_load(this, upstream);

    if (load != NULL) {
        load->probe_pending = true;
    }
}

void
Placement_OnProbeResult(Placement *this, uint32_t upstream, bool reported)
{
    Load *load = find_load(this, upstream);

    if (load != NULL) {
        load->probe_pending = false;
        load->probe_timeouts = 0;
        load->report_at = reported ? load->report_at : -1;
    }
}

static bool
is_unreachable(const Load *load)
{
    return load->probe_timeouts >= UNREACHABLE_TIMEOUTS_COUNT;
}

void
Placement_OnProbeTimeout(Placement *this, uint32_t upstream)
{
    Load *load = find_load(this, upstream);

    if (load != NULL) {
        load->probe_pending = false;
        load->report_at = -1;
        load->probe_timeouts++;
        if (is_unreachable(load)) {
            Eligibility_Eject(this->eligibility, upstream);
        }
    }
}

bool
Placement_IsUnreachable(const Placement *this, uint32_t upstream)
{
    const Load *load = find_load(this, upstream);

    return load != NULL && is_unreachable(load);
}

uint32_t
Placement_ProbeTimeouts(const Placement *this, uint32_t upstream)
{
    const Load *load = find_load(this, upstream);

    return load != NULL ? load->probe_timeouts : 0;
}

Micros
Placement_ReportAge(const Placement *this, uint32_t upstream)
{
    const Load *load = find_load(this, upstream);

    return load != NULL && load->report_at >= 0
               ? Clock_Now(this->clock) - load->report_at
               : -1;
}

bool
Placement_IsProbePending(const Placement *this, uint32_t upstream)
{
    const Load *load = find_load(this, upstream);

    return load != NULL && load->probe_pending;
}

static bool
is_avoided(const PlacementQuery *query, uint32_t upstream)
{
    for (size_t i = 0; i < query->avoid_count; i++) {
        if (query->avoid[i] == upstream) {
            return true;
        }
    }
    return false;
}

static bool
is_fresh(const Load *load, Micros now)
{
    return load->report_at >= 0 &&
           now - load->report_at <= FRESH_REPORT_AGE_MAX_US;
}

/* Returns this host's part of the requests that the service processes, by the
 * reports of its upstreams. It gets the same part of the probe budget. */
static float
host_share(const Service *service)
{
    float total = (float)service->slots * service->mean_utilization;

    return total > service->mean_inflight ? service->mean_inflight / total : 1;
}

static float
probe_rate(const Placement *this)
{
    float rate = 0;

    for (guint i = 0; i < this->services->len; i++) {
        const Service *service = g_ptr_array_index(this->services, i);

        rate += PROBE_BUDGET_RATIO * this->probes_per_s *
                (float)service->upstreams->len * host_share(service);
    }
    return rate;
}

/* Takes up to @wanted probes from the budget and returns their number; 0 if
 * less than the fraction @reserve of the largest budget is left. */
static size_t
take_probes(Placement *this, size_t wanted, float reserve)
{
    Micros now = Clock_Now(this->clock);
    float rate, elapsed_s, token_max;
    size_t n;

    if (this->probes_per_s <= 0 || wanted == 0) {
        return wanted;
    }
    rate = probe_rate(this);
    elapsed_s = (float)(now - this->refilled_at) / MICROS_PER_S;
    this->refilled_at = now;
    token_max = INITIAL_PROBES_COUNT + rate * PROBE_BURST_S;
    this->probe_tokens = MIN(this->probe_tokens + rate * elapsed_s, token_max);
    if (this->probe_tokens < reserve * token_max) {
        return 0;
    }
    n = MIN(wanted, (size_t)MAX(this->probe_tokens, 0));
    this->probe_tokens -= (float)n;
    return n;
}

/* Probes for placement have precedence, as they affect every request. */
bool
Placement_TakeSpareProbe(Placement *this)
{
    return take_probes(this, 1, SPARE_PROBES_RATIO) == 1;
}

void
Placement_SpendProbes(Placement *this, size_t count)
{
    this->probe_tokens -= (float)count;
}

void
Placement_SaveFailures(Placement *this)
{
    for (guint i = 0; i < this->loads->len; i++) {
        Load *load = load_at(this, i);

        load->saved = (Failures){load->failure_ratio, load->probe_timeouts};
    }
    Eligibility_SaveEjections(this->eligibility);
}

void
Placement_RestoreFailures(Placement *this)
{
    for (guint i = 0; i < this->loads->len; i++) {
        Load *load = load_at(this, i);

        load->failure_ratio = load->saved.ratio;
        load->probe_timeouts = load->saved.probe_timeouts;
    }
    Eligibility_RestoreEjections(this->eligibility);
}

static float
expected_requests(const Service *service, const Load *load, float weight)
{
    float slots = (float)load->info.slots;

    return weight * (load->running + load->waiting) +
           (1 - weight) * service->mean_utilization * slots +
           (float)load->sent;
}

/* Returns the expected response time as a multiple of that of an idle upstream
 * on a machine of the usual speed. */
static float
estimate_cost(const Service *service, const Load *load, Micros now,
              float *utilization)
{
    float age = load->report_at < 0
                    ? INFINITY
                    : (float)(now - load->report_at) / SLOWDOWN_MEAN_TIME_US;
    float weight = expf(-age);
    float slots = (float)load->info.slots;
    float slowdown =
        weight * load->slowdown + (1 - weight) * service->mean_slowdown;
    float requests = expected_requests(service, load, weight);
    float excess = MAX(requests + 1 - slots, 0);
    float work = (requests + 1) / slots > SATURATION_THRESHOLD_RATIO
                     ? SATURATION_COST_FACTOR
                     : 1;

    *utilization = requests / slots;
    if (now < load->warmup_until) {
        slowdown *= WARMUP_COST_FACTOR;
    }
    return slowdown * (work + excess / slots) +
           FAILURE_COST * load->failure_ratio;
}

typedef struct Candidate_ {
    uint32_t upstream;
    float cost;
} Candidate;

static float
probe_cost(Placement *this, const Service *service, const Load *load,
           Micros now)
{
    float utilization;
    float cost = estimate_cost(service, load, now, &utilization);

    if (load->report_at < 0 ||
        now - load->report_at > CONNECTION_IDLE_MAX_US) {
        cost += CONNECT_COST;
    }
    /* A random term spreads the probes over upstreams of similar cost. */
    return cost + PROBE_COST_JITTER * (float)Random_Unit(this->random);
}

/* Inserts @candidate into @n candidates, which are in order of cost, and keeps
 * the @count_max cheapest ones. Returns their number. */
static size_t
insert_cheapest(Candidate *candidates, size_t n, size_t count_max,
                Candidate candidate)
{
    size_t position = n;

    while (position > 0 && candidates[position - 1].cost > candidate.cost) {
        position--;
    }
    if (position >= count_max) {
        return n;
    }
    n = MIN(n + 1, count_max);
    for (size_t i = n - 1; i > position; i--) {
        candidates[i] = candidates[i - 1];
    }
    candidates[position] = candidate;
    return n;
}

/* Prefers upstreams that were fast by their last report. One whose load is
 * unknown comes before one that was slow. */
size_t
Placement_SelectProbes(Placement *this, const PlacementQuery *query,
                       PlacementScope scope, uint32_t *upstreams)
{
    Service *service = service_at(this, query->service);
    Candidate candidates[PLACEMENT_PROBES_MAX] = {{0, 0}};
    Micros now = Clock_Now(this->clock);
    size_t n = 0;

    for (guint i = 0; i < service->upstreams->len; i++) {
        uint32_t upstream = g_array_index(service->upstreams, uint32_t, i);
        const Load *load = load_at(this, upstream);
        bool own = load->info.domain == this->own_domain;

        if (own != (scope == PLACEMENT_OWN_DOMAIN) ||
            is_avoided(query, upstream) || is_fresh(load, now) ||
            !Eligibility_MayProbe(this->eligibility, upstream)) {
            continue;
        }
        n = insert_cheapest(
            candidates, n, PLACEMENT_PROBES_MAX,
            (Candidate){upstream, probe_cost(this, service, load, now)});
    }
    n = take_probes(this, n, 0);
    for (size_t i = 0; i < n; i++) {
        upstreams[i] = candidates[i].upstream;
    }
    return n;
}

static float
capacity_tolerance(const Load *load)
{
    return load->info.slots <= FEW_SLOTS_MAX ? CAPACITY_TOLERANCE_COUNT : 0;
}

/* An upstream always has capacity for one request. Upstreams without load
 * reports reject requests themselves when they are full. */
static bool
has_capacity(const Service *service, const Load *load, float utilization)
{
    float slots = (float)load->info.slots;

    return !service->reported ||
           utilization * slots + 1 <=
               MAX(floorf(SATURATION_THRESHOLD_RATIO * slots), 1) +
                   capacity_tolerance(load);
}

/* The cheapest upstream found so far in the own or the other domains. */
typedef struct Best_ {
    uint32_t upstream;
    float cost;
    float utilization;
    uint32_t ties;   /* upstreams of the same cost; 0 if none was found */
    uint32_t usable; /* upstreams that may be chosen */
    uint32_t fresh;  /* those of them that have a fresh report */
} Best;

static void
update_best(Placement *this, Best *best, uint32_t upstream, float cost,
            float utilization)
{
    if (best->ties > 0 && cost > best->cost) {
        return;
    }
    if (best->ties == 0 || cost < best->cost) {
        best->ties = 0;
    }
    best->ties++;
    if (Random_Below(this->random, best->ties) == 0) {
        best->upstream = upstream;
        best->cost = cost;
        best->utilization = utilization;
    }
}

static void
find_best(Placement *this, const PlacementQuery *query,
          EligibilityReason accepted, Best *own, Best *other)
{
    const Service *service = service_at(this, query->service);
    Micros now = Clock_Now(this->clock);
    float utilization, cost;
    Best *best;

    *own = *other = (Best){0};
    for (guint i = 0; i < service->upstreams->len; i++) {
        uint32_t upstream = g_array_index(service->upstreams, uint32_t, i);
        const Load *load = load_at(this, upstream);

        if (is_avoided(query, upstream) ||
            Eligibility_Reason(this->eligibility, upstream) != accepted) {
            continue;
        }
        best = load->info.domain == this->own_domain ? own : other;
        best->usable++;
        best->fresh += is_fresh(load, now);
        cost = estimate_cost(service, load, now, &utilization);
        update_best(this, best, upstream, cost, utilization);
    }
}

static const Best *
prefer_domain(const Best *own, const Best *other)
{
    if (own->ties == 0) {
        return other;
    }
    if (other->ties > 0 &&
        other->cost * OTHER_DOMAIN_COST_FACTOR < own->cost) {
        return other;
    }
    return own;
}

int
Placement_Choose(Placement *this, const PlacementQuery *query,
                 PlacementChoice *choice)
{
    Micros now = Clock_Now(this->clock);
    const char *reason = "shortest";
    const Best *best;
    const Load *load;
    Best own, other;

    find_best(this, query, ELIGIBILITY_OK, &own, &other);
    if (own.ties == 0 && other.ties == 0) {
        /* When all upstreams are ejected, the detection of failures may be
         * wrong, so ejected ones are used. */
        find_best(this, query, ELIGIBILITY_EJECTED, &own, &other);
        reason = "most-look-bad";
    }
    if (own.ties == 0 && other.ties == 0) {
        return ERR_UNAVAILABLE;
    }
    best = prefer_domain(&own, &other);
    load = load_at(this, best->upstream);
    *choice = (PlacementChoice){
        .upstream = best->upstream,
        .cost = best->cost,
        .utilization = best->utilization,
        .slowdown_percent = (uint32_t)(load->slowdown * 100),
        .age = load->report_at < 0 ? -1 : now - load->report_at,
        .reason = reason,
        .near_idle =
            is_fresh(load, now) && best->cost <= NEAR_IDLE_COST_THRESHOLD,
        .has_capacity = has_capacity(service_at(this, query->service), load,
                                     best->utilization),
        .has_free_slot = best->utilization * (float)load->info.slots + 1 <=
                         (float)load->info.slots + capacity_tolerance(load),
        .fresh_ratio = (float)(own.fresh + other.fresh) /
                       (float)(own.usable + other.usable),
    };
    return 0;
}

void
Placement_CountReasons(Placement *this, uint32_t service, uint32_t *counts)
{
    const GArray *upstreams = service_at(this, service)->upstreams;

    for (int reason = 0; reason < ELIGIBILITY_COUNT; reason++) {
        counts[reason] = 0;
    }
    for (guint i = 0; i < upstreams->len; i++) {
        counts[Eligibility_Reason(this->eligibility,
                                  g_array_index(upstreams, uint32_t, i))]++;
    }
}

EligibilityReason
Placement_Blocked(Placement *this, const PlacementQuery *query, Micros *wait)
{
    const Service *service = service_at(this, query->service);
    EligibilityReason reason = ELIGIBILITY_OK;

    *wait = -1;
    for (guint i = 0; i < service->upstreams->len; i++) {
        uint32_t upstream = g_array_index(service->upstreams, uint32_t, i);
        EligibilityReason own =
            Eligibility_Reason(this->eligibility, upstream);
        Micros own_wait = Eligibility_Wait(this->eligibility, upstream);

        if (is_avoided(query, upstream) || own <= ELIGIBILITY_EJECTED) {
            continue;
        }
        if (own_wait >= 0 && (*wait < 0 || own_wait < *wait)) {
            *wait = own_wait;
            reason = own;
        }
        else if (*wait < 0 && (reason == ELIGIBILITY_OK || own < reason)) {
            reason = own;
        }
    }
    return reason;
}
