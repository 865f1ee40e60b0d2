#include "RouteDecision.h"

#include <glib.h>

#include "Health.h"
#include "LoadEstimate.h"
#include "SlotLending.h"

/* Options that a policy does not choose among, unless most are such. */
typedef struct SetAside_ {
    RouteOption bad[SUBSET_MAX];
    RouteOption cold[SUBSET_MAX];
    uint32_t bad_count;
    uint32_t cold_count;
    uint32_t full_count;
} SetAside;

static bool
is_allowed(const RouteQuery *query, uint32_t upstream)
{
    for (size_t i = 0; i < query->avoid_count; i++) {
        if (query->avoid[i] == upstream) {
            return false;
        }
    }
    return query->admitted == NULL || query->admitted(query->user, upstream);
}

uint32_t
RouteDecision_ConnectionLimit(const RouterOptions *options,
                              const ServiceState *s, const Upstream *u)
{
    if (options->policy == ROUTING_SLOT_SHARES && s->connections_each == 0) {
        return u->owned;
    }
    return s->connections_each;
}

static bool
is_full(const RouterOptions *options, const ServiceState *s, const Upstream *u)
{
    if (options->policy == ROUTING_SLOT_SHARES &&
        u->inflight >= SlotLending_Capacity(u)) {
        return true;
    }
    return u->inflight >= RouteDecision_ConnectionLimit(options, s, u) &&
           options->fault != ROUTER_FAULT_IGNORE_CONNECTIONS;
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
looks_bad(const RouterOptions *options, const ServiceState *s,
          const Upstream *u, Micros now)
{
    return options->eject_outliers &&
           (u->holds > 0 || LoadEstimate_IsStuck(s, u, now));
}

static void
collect(RouteContext *c, const UpstreamTable *table, const RouteQuery *query,
        SetAside *aside)
{
    for (uint32_t i = 0; i < c->service->subset_count; i++) {
        uint32_t id = c->service->subset[i];
        Upstream *u = &table->upstreams[id];
        RouteOption option = {.upstream = u, .id = id};

        if (!is_usable(c, query, id, u)) {
            continue;
        }
        if (is_full(c->options, c->service, u)) {
            aside->full_count++;
        }
        else if (looks_bad(c->options, c->service, u, c->now)) {
            aside->bad[aside->bad_count++] = option;
        }
        else if (c->now - u->ramp_start < c->options->ramp_time) {
            aside->cold[aside->cold_count++] = option;
        }
        else {
            c->items[c->count++] = option;
        }
    }
}

static void
take_back(RouteContext *c, const RouteOption *options, uint32_t *count)
{
    for (uint32_t i = 0; i < *count; i++) {
        c->items[c->count++] = options[i];
    }
    *count = 0;
}

static void
describe(const RouteContext *c, uint32_t chosen, uint32_t compared,
         const char *reason, RouteChoice *choice)
{
    uint32_t n = MIN(compared, ROUTE_CANDIDATES_MAX);

    choice->upstream = c->items[chosen].id;
    choice->reason = reason;
    choice->compared = compared;
    choice->candidate_count = 0;
    for (uint32_t i = 0; i < n; i++) {
        /* The chosen one comes first, whatever its index. */
        const RouteOption *o = &c->items[(chosen + i) % MAX(compared, 1)];
        Micros report = o->upstream->report_time;

        choice->candidates[choice->candidate_count++] = (RouteCandidate){
            .upstream = o->id,
            .load = o->load,
            .age = report < 0 ? -1 : c->now - report,
        };
    }
}

static int
choose_directly(RouteContext *c, const RouteOption *option, const char *reason,
                RouteChoice *choice)
{
    c->items[0] = *option;
    c->items[0].load =
        (float)option->upstream->inflight / option->upstream->slots;
    describe(c, 0, 1, reason, choice);
    return 0;
}

static const RouteOption *
find_trial(const RouteContext *c, const SetAside *aside)
{
    for (uint32_t i = 0; i < aside->bad_count; i++) {
        if (Health_IsTrialDue(aside->bad[i].upstream, c->now)) {
            return &aside->bad[i];
        }
    }
    return NULL;
}

/*
 * A cold upstream gets its ramp's part of a fair share by lot: compared with
 * the others it would look idle and draw all traffic.
 */
static const RouteOption *
find_ramped(const RouteContext *c, const SetAside *aside)
{
    uint32_t n = c->count + aside->cold_count;
    double lot;

    if (aside->cold_count == 0) {
        return NULL;
    }
    lot = Random_Unit(c->random) * n;
    for (uint32_t i = 0; i < aside->cold_count; i++) {
        lot -= LoadEstimate_Ramp(aside->cold[i].upstream, c->now,
                                 c->options->ramp_time);
        if (lot < 0) {
            return &aside->cold[i];
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
    describe(c, chosen, compared, reason, choice);
    return 0;
}

static int
choose(RouteContext *c, SetAside *aside, RouteChoice *choice)
{
    RoutingPolicy policy = c->options->policy;
    uint32_t total = c->count + aside->bad_count + aside->cold_count;
    const RouteOption *direct;

    if (total == 0) {
        return aside->full_count > 0 ? ERR_LIMIT : ERR_UNAVAILABLE;
    }
    /* Upstreams that are full are in use, so they count as good here. */
    total += aside->full_count;
    if (2 * aside->cold_count > total || c->count == 0) {
        take_back(c, aside->cold, &aside->cold_count);
    }
    if (2 * aside->bad_count > total) {
        take_back(c, aside->cold, &aside->cold_count);
        take_back(c, aside->bad, &aside->bad_count);
        return choose_by_policy(c, ROUTING_TWO_CHOICES, "most-look-bad",
                                choice);
    }
    direct = find_trial(c, aside);
    if (direct != NULL) {
        return choose_directly(c, direct, "trial", choice);
    }
    direct = find_ramped(c, aside);
    if (direct != NULL) {
        return choose_directly(c, direct, "ramp", choice);
    }
    return choose_by_policy(c, policy, RoutingPolicy_Name(policy), choice);
}

int
RouteDecision_Make(RouteContext *c, const UpstreamTable *table,
                   const RouteQuery *query, RouteChoice *choice)
{
    SetAside aside;

    /* Only the counts: the arrays are larger than all else touched here. */
    aside.bad_count = 0;
    aside.cold_count = 0;
    aside.full_count = 0;
    collect(c, table, query, &aside);
    return choose(c, &aside, choice);
}
