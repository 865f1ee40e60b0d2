#ifndef AGATECRANK_CORE_ROUTEPOLICY_H
#define AGATECRANK_CORE_ROUTEPOLICY_H

#include "UpstreamTable.h"

/** struct RouteOption_ - one upstream that a policy may choose */
typedef struct RouteOption_ {
    Upstream *upstream;
    uint32_t id;
    float load; /* requests for each usable slot */
    float cost; /* what the policy compares; lower is better */
} RouteOption;

/** struct RouteContext_ - what a policy works on */
typedef struct RouteContext_ {
    const RouterOptions *options;
    ServiceState *service;
    Random *random;
    Micros now;
    RouteOption items[SUBSET_MAX];
    uint32_t count;
} RouteContext;

/**
 * RoutePolicy_Pick() - choose among @context->items, at least one
 * @compared: number of options that were compared, moved to the front
 *
 * Return: index of the chosen option.
 */
uint32_t RoutePolicy_Pick(RouteContext *context, RoutingPolicy policy,
                          uint32_t *compared);

#endif
