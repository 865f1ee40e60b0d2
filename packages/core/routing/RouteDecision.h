#ifndef AGATECRANK_CORE_ROUTEDECISION_H
#define AGATECRANK_CORE_ROUTEDECISION_H

#include "RoutePolicy.h"

/**
 * RouteDecision_Make() - choose an upstream from the subset of a service
 * @context: filled in except for its candidates
 *
 * Skips upstreams that are draining, full or not allowed by @query, excludes
 * ejected, stuck and cold ones, and lets the policy choose among the others.
 * If more than half look faulty, the measurement is assumed to be wrong and
 * all of them share the traffic.
 *
 * Return: see Router_Choose().
 */
int RouteDecision_Make(RouteContext *context, const UpstreamTable *table,
                       const RouteQuery *query, RouteChoice *choice);

/** RouteDecision_ConnectionLimit() - connections this host may open to @u */
uint32_t RouteDecision_ConnectionLimit(const RouterOptions *options,
                                       const ServiceState *service,
                                       const Upstream *u);

#endif
