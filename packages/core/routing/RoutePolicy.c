#include "RoutePolicy.h"

#include <glib.h>

#include "LoadEstimate.h"

/* A probe's report is used for this long; then own counts alone. */
#define PROBE_POOL_AGE MICROS_PER_S

static const char *const policy_names[ROUTING_POLICIES] = {
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
    return policy < ROUTING_POLICIES ? policy_names[policy] : "unknown";
}

int
RoutingPolicy_Parse(Str word, RoutingPolicy *policy)
{
    for (int p = 0; p < ROUTING_POLICIES; p++) {
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
    RouteOption held = c->items[a];

    c->items[a] = c->items[b];
    c->items[b] = held;
}

/* Moves @n distinct options, drawn at random, to the front. */
static uint32_t
draw(RouteContext *c, uint32_t n)
{
    n = MIN(n, c->count);
    for (uint32_t i = 0; i < n; i++) {
        swap(c, i, i + (uint32_t)Random_Below(c->random, c->count - i));
    }
    return n;
}

static void
cost_by_own_count(const RouteContext *c, RouteOption *o)
{
    const Upstream *u = o->upstream;
    float running = u->inflight + LoadEstimate_Penalty(c->service, u, c->now);

    o->load = running / (float)u->slots;
    o->cost = o->load;
}

static void
cost_by_probes(const RouteContext *c, RouteOption *o)
{
    const Upstream *u = o->upstream;

    cost_by_own_count(c, o);
    if (u->report_time >= 0 && c->now - u->report_time < PROBE_POOL_AGE) {
        o->load += (u->report_load + u->sent_since_report - u->inflight) /
                   (float)u->slots;
    }
    else if (c->service->busy > 0) {
        o->load += c->service->busy;
    }
    o->cost = o->load;
}

static void
cost_by_reports(const RouteContext *c, RouteOption *o)
{
    const Upstream *u = o->upstream;
    float slots = (float)u->slots;
    float weight;
    float requests = LoadEstimate_Requests(c->service, u, c->now, &weight) +
                     LoadEstimate_Penalty(c->service, u, c->now);

    o->load = requests / slots;
    o->cost = LoadEstimate_Delay(c->service, requests, weight, slots);
    if (u->domain == c->options->own_domain) {
        o->cost -= c->service->near_credit;
    }
}

static void
cost_options(RouteContext *c, uint32_t n,
             void (*cost)(const RouteContext *, RouteOption *))
{
    for (uint32_t i = 0; i < n; i++) {
        cost(c, &c->items[i]);
    }
}

/* Starts at a random place, so that equal costs share the traffic. */
static uint32_t
cheapest(const RouteContext *c, uint32_t n)
{
    uint32_t first = (uint32_t)Random_Below(c->random, n);
    uint32_t best = first;

    for (uint32_t i = 1; i < n; i++) {
        uint32_t k = first + i < n ? first + i : first + i - n;

        if (c->items[k].cost < c->items[best].cost) {
            best = k;
        }
    }
    return best;
}

static uint32_t
pick_blind(RouteContext *c, bool in_turn, uint32_t *compared)
{
    uint32_t k = in_turn ? c->service->turn++ % c->count
                         : (uint32_t)Random_Below(c->random, c->count);

    cost_by_own_count(c, &c->items[k]);
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
        return pick_blind(c, false, compared);
    case ROUTING_ROUND_ROBIN:
        return pick_blind(c, true, compared);
    case ROUTING_TWO_CHOICES:
        n = draw(c, 2);
        cost_options(c, n, cost_by_own_count);
        break;
    case ROUTING_PROBED:
        n = draw(c, 2);
        cost_options(c, n, cost_by_probes);
        break;
    case ROUTING_REPORTS:
        n = c->options->choices > 0 ? draw(c, c->options->choices) : n;
        cost_options(c, n, cost_by_reports);
        break;
    case ROUTING_LEAST_INFLIGHT:
    case ROUTING_SLOT_SHARES:
    case ROUTING_POLICIES:
        cost_options(c, n, cost_by_own_count);
        break;
    }
    *compared = n;
    return cheapest(c, n);
}
