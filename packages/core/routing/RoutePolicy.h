#ifndef AGATECRANK_CORE_ROUTEPOLICY_H
#define AGATECRANK_CORE_ROUTEPOLICY_H

#include "UpstreamTable.h"

/** struct PolicyCandidate_ - one upstream that a policy may choose */
typedef struct PolicyCandidate_ {
    Upstream *upstream;
    uint32_t id;
    float load; /* requests per usable slot */
    float cost; /* compared by the policy; lower is better */
} PolicyCandidate;

/** struct RouteContext_ - input and working state of a routing decision */
typedef struct RouteContext_ {
    const RouterOptions *options;
    ServiceState *service;
    Random *random;
    Micros now;
    PolicyCandidate candidates[SUBSET_MAX];
    uint32_t count;
} RouteContext;

/**
 * RoutePolicy_Pick() - choose one of the candidates of @context
 * @context: must have at least one candidate
 * @compared: set to the number of candidates compared, which are moved to the
 *            front
 *
 * Return: index of the chosen candidate.
 */
uint32_t RoutePolicy_Pick(RouteContext *context, RoutingPolicy policy,
                          uint32_t *compared);

#endif
