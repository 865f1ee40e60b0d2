#include "RoutePolicy.h"

#include <glib.h>

#include "LoadEstimate.h"

/*
 * Age up to which `probed` uses the report of a probe; after that it uses this
 * host's own counts and the mean utilization of the service.
 */
#define PROBE_REPORT_MAX_AGE_US MICROS_PER_S

static const char *const policy_names[ROUTING_POLICY_COUNT] = {
    [ROUTING_RANDOM] = "random",
    [ROUTING_ROUND_ROBIN] = "round-robin",
    [ROUTING_LEAST_INFLIGHT] = "least-inflight",
    [ROUTING_TWO_CHOICES] = "two-choices",
    [ROUTING_PROBED] = "probed",
    [ROUTING_REPORTS] = "reports",
    [ROUTING_SLOT_SHARES] = "slot-shares",
};

const char *
RoutingPolicy_Name(RoutingPolicy policy)
{
    return policy < ROUTING_POLICY_COUNT ? policy_names[policy] : "unknown";
}

int
RoutingPolicy_Parse(Str word, RoutingPolicy *policy)
{
    for (int p = 0; p < ROUTING_POLICY_COUNT; p++) {
        if (Str_Equal(word, Str_FromC(policy_names[p]))) {
            *policy = (RoutingPolicy)p;
            return 0;
        }
    }
    return ERR_INVALID;
}

static void
swap(RouteContext *c, uint32_t a, uint32_t b)
{
    PolicyCandidate saved = c->candidates[a];

    c->candidates[a] = c->candidates[b];
    c->candidates[b] = saved;
}

/* Moves @n distinct random candidates to the front. */
static uint32_t
draw_sample(RouteContext *c, uint32_t n)
{
    n = MIN(n, c->count);
    for (uint32_t i = 0; i < n; i++) {
        swap(c, i, i + (uint32_t)Random_Below(c->random, c->count - i));
    }
    return n;
}

static void
cost_by_own_count(const RouteContext *c, PolicyCandidate *candidate)
{
    const Upstream *u = candidate->upstream;
    float running = u->inflight + LoadEstimate_Penalty(c->service, u, c->now);

    candidate->load = running / (float)u->slots;
    candidate->cost = candidate->load;
}

static void
cost_by_probes(const RouteContext *c, PolicyCandidate *candidate)
{
    const Upstream *u = candidate->upstream;

    cost_by_own_count(c, candidate);
    if (u->report_time >= 0 &&
        c->now - u->report_time < PROBE_REPORT_MAX_AGE_US) {
        candidate->load +=
            (u->report_load + u->sent_since_report - u->inflight) /
            (float)u->slots;
    }
    else if (c->service->utilization > 0) {
        candidate->load += c->service->utilization;
    }
    candidate->cost = candidate->load;
}

static void
cost_by_reports(const RouteContext *c, PolicyCandidate *candidate)
{
    const Upstream *u = candidate->upstream;
    float slots = (float)u->slots;
    float weight;
    float requests = LoadEstimate_Requests(c->service, u, c->now, &weight) +
                     LoadEstimate_Penalty(c->service, u, c->now);

    candidate->load = requests / slots;
    candidate->cost = LoadEstimate_Delay(c->service, requests, weight, slots);
    if (u->domain == c->options->own_domain) {
        candidate->cost -= c->service->same_domain_credit;
    }
}

static void
cost_candidates(RouteContext *c, uint32_t n,
                void (*cost)(const RouteContext *, PolicyCandidate *))
{
    for (uint32_t i = 0; i < n; i++) {
        cost(c, &c->candidates[i]);
    }
}

/*
 * Starts at a random index, so that candidates of equal cost share the
 * traffic.
 */
static uint32_t
pick_cheapest(const RouteContext *c, uint32_t n)
{
    uint32_t first = (uint32_t)Random_Below(c->random, n);
    uint32_t best = first;

    for (uint32_t i = 1; i < n; i++) {
        uint32_t k = first + i < n ? first + i : first + i - n;

        if (c->candidates[k].cost < c->candidates[best].cost) {
            best = k;
        }
    }
    return best;
}

static uint32_t
pick_without_load(RouteContext *c, bool round_robin, uint32_t *compared)
{
    uint32_t k = round_robin ? c->service->round_robin_next++ % c->count
                             : (uint32_t)Random_Below(c->random, c->count);

    cost_by_own_count(c, &c->candidates[k]);
    swap(c, 0, k);
    *compared = 1;
    return 0;
}

uint32_t
RoutePolicy_Pick(RouteContext *c, RoutingPolicy policy, uint32_t *compared)
{
    uint32_t n = c->count;

    switch (policy) {
    case ROUTING_RANDOM:
        return pick_without_load(c, false, compared);
    case ROUTING_ROUND_ROBIN:
        return pick_without_load(c, true, compared);
    case ROUTING_TWO_CHOICES:
        n = draw_sample(c, 2);
        cost_candidates(c, n, cost_by_own_count);
        break;
    case ROUTING_PROBED:
        n = draw_sample(c, 2);
        cost_candidates(c, n, cost_by_probes);
        break;
    case ROUTING_REPORTS:
        n = c->options->choices > 0 ? draw_sample(c, c->options->choices) : n;
        cost_candidates(c, n, cost_by_reports);
        break;
    case ROUTING_LEAST_INFLIGHT:
    case ROUTING_SLOT_SHARES:
    case ROUTING_POLICY_COUNT:
        cost_candidates(c, n, cost_by_own_count);
        break;
    }
    *compared = n;
    return pick_cheapest(c, n);
}
