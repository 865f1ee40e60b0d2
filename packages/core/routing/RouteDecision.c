#include "RouteDecision.h"

#include <glib.h>

#include "Health.h"
#include "LoadEstimate.h"
#include "SlotLending.h"

/*
 * Upstreams excluded from the choice of the policy. Outliers are readmitted if
 * they are the majority, cold ones also if no other upstream is left.
 */
typedef struct Excluded_ {
    PolicyCandidate outliers[SUBSET_MAX];
    PolicyCandidate cold[SUBSET_MAX];
    uint32_t outlier_count;
    uint32_t cold_count;
    uint32_t full_count;
} Excluded;

static bool
is_allowed(const RouteQuery *query, uint32_t upstream)
{
    for (size_t i = 0; i < query->avoid_count; i++) {
        if (query->avoid[i] == upstream) {
            return false;
        }
    }
    return query->filter == NULL || query->filter(query->user, upstream);
}

uint32_t
RouteDecision_ConnectionLimit(const RouterOptions *options,
                              const ServiceState *s, const Upstream *u)
{
    if (options->policy == ROUTING_SLOT_SHARES && s->connection_limit == 0) {
        return u->slots_owned;
    }
    return s->connection_limit;
}

static bool
is_full(const RouterOptions *options, const ServiceState *s, const Upstream *u)
{
    if (options->policy == ROUTING_SLOT_SHARES &&
        u->inflight >= SlotLending_Capacity(u)) {
        return true;
    }
    return u->inflight >= RouteDecision_ConnectionLimit(options, s, u) &&
           options->fault != ROUTER_FAULT_IGNORE_CONNECTION_LIMIT;
}

static bool
is_usable(const RouteContext *c, const RouteQuery *query, uint32_t id,
          Upstream *u)
{
    if (Health_IsDraining(u, c->now) &&
        c->options->fault != ROUTER_FAULT_IGNORE_DRAINING) {
        return false;
    }
    return is_allowed(query, id);
}

static bool
is_outlier(const RouterOptions *options, const ServiceState *s,
           const Upstream *u, Micros now)
{
    return options->eject_outliers &&
           (u->ejections > 0 || LoadEstimate_IsStuck(s, u, now));
}

static void
collect_candidates(RouteContext *c, const UpstreamTable *table,
                   const RouteQuery *query, Excluded *excluded)
{
    for (uint32_t i = 0; i < c->service->subset_count; i++) {
        uint32_t id = c->service->subset[i];
        Upstream *u = &table->upstreams[id];
        PolicyCandidate candidate = {.upstream = u, .id = id};

        if (!is_usable(c, query, id, u)) {
            continue;
        }
        if (is_full(c->options, c->service, u)) {
            excluded->full_count++;
        }
        else if (is_outlier(c->options, c->service, u, c->now)) {
            excluded->outliers[excluded->outlier_count++] = candidate;
        }
        else if (c->now - u->ramp_start < c->options->ramp_time) {
            excluded->cold[excluded->cold_count++] = candidate;
        }
        else {
            c->candidates[c->count++] = candidate;
        }
    }
}

static void
readmit(RouteContext *c, const PolicyCandidate *excluded, uint32_t *count)
{
    for (uint32_t i = 0; i < *count; i++) {
        c->candidates[c->count++] = excluded[i];
    }
    *count = 0;
}

static void
fill_choice(const RouteContext *c, uint32_t chosen, uint32_t compared,
            const char *reason, RouteChoice *choice)
{
    uint32_t n = MIN(compared, ROUTE_CANDIDATES_MAX);

    choice->upstream = c->candidates[chosen].id;
    choice->reason = reason;
    choice->compared = compared;
    choice->candidate_count = 0;
    for (uint32_t i = 0; i < n; i++) {
        /* The chosen upstream comes first, whatever its index. */
        const PolicyCandidate *candidate =
            &c->candidates[(chosen + i) % MAX(compared, 1)];
        Micros report = candidate->upstream->report_time;

        choice->candidates[choice->candidate_count++] = (RouteCandidate){
            .upstream = candidate->id,
            .load = candidate->load,
            .age = report < 0 ? -1 : c->now - report,
        };
    }
}

static int
choose_single(RouteContext *c, const PolicyCandidate *candidate,
              const char *reason, RouteChoice *choice)
{
    c->candidates[0] = *candidate;
    c->candidates[0].load =
        (float)candidate->upstream->inflight / candidate->upstream->slots;
    fill_choice(c, 0, 1, reason, choice);
    return 0;
}

static const PolicyCandidate *
find_trial(const RouteContext *c, const Excluded *excluded)
{
    for (uint32_t i = 0; i < excluded->outlier_count; i++) {
        if (Health_IsTrialDue(excluded->outliers[i].upstream, c->now)) {
            return &excluded->outliers[i];
        }
    }
    return NULL;
}

/*
 * Selects a cold upstream at random, with the ramped fraction of its fair
 * share as its probability. If the policy compared it with the others, it
 * would look idle and attract all traffic.
 */
static const PolicyCandidate *
draw_cold(const RouteContext *c, const Excluded *excluded)
{
    uint32_t n = c->count + excluded->cold_count;
    double draw;

    if (excluded->cold_count == 0) {
        return NULL;
    }
    draw = Random_Unit(c->random) * n;
    for (uint32_t i = 0; i < excluded->cold_count; i++) {
        draw -= LoadEstimate_RampShare(excluded->cold[i].upstream, c->now,
                                       c->options->ramp_time);
        if (draw < 0) {
            return &excluded->cold[i];
        }
    }
    return NULL;
}

static int
choose_by_policy(RouteContext *c, RoutingPolicy policy, const char *reason,
                 RouteChoice *choice)
{
    uint32_t compared = 0;
    uint32_t chosen;

    if (c->count == 0) {
        return ERR_LIMIT;
    }
    chosen = RoutePolicy_Pick(c, policy, &compared);
    fill_choice(c, chosen, compared, reason, choice);
    return 0;
}

static int
choose(RouteContext *c, Excluded *excluded, RouteChoice *choice)
{
    RoutingPolicy policy = c->options->policy;
    uint32_t total = c->count + excluded->outlier_count + excluded->cold_count;
    const PolicyCandidate *single;

    if (total == 0) {
        return excluded->full_count > 0 ? ERR_LIMIT : ERR_UNAVAILABLE;
    }
    /* Full upstreams are in use, so they count as healthy here. */
    total += excluded->full_count;
    if (2 * excluded->cold_count > total || c->count == 0) {
        readmit(c, excluded->cold, &excluded->cold_count);
    }
    if (2 * excluded->outlier_count > total) {
        readmit(c, excluded->cold, &excluded->cold_count);
        readmit(c, excluded->outliers, &excluded->outlier_count);
        return choose_by_policy(c, ROUTING_TWO_CHOICES, "most-look-bad",
                                choice);
    }
    single = find_trial(c, excluded);
    if (single != NULL) {
        return choose_single(c, single, "trial", choice);
    }
    single = draw_cold(c, excluded);
    if (single != NULL) {
        return choose_single(c, single, "ramp", choice);
    }
    return choose_by_policy(c, policy, RoutingPolicy_Name(policy), choice);
}

int
RouteDecision_Make(RouteContext *c, const UpstreamTable *table,
                   const RouteQuery *query, RouteChoice *choice)
{
    Excluded excluded;

    /*
     * Clears only the counts: the arrays are larger than all other data used
     * here.
     */
    excluded.outlier_count = 0;
    excluded.cold_count = 0;
    excluded.full_count = 0;
    collect_candidates(c, table, query, &excluded);
    return choose(c, &excluded, choice);
}
