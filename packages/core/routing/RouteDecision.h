#ifndef AGATECRANK_CORE_ROUTEDECISION_H
#define AGATECRANK_CORE_ROUTEDECISION_H

#include "RoutePolicy.h"

/**
 * RouteDecision_Make() - choose among the subset of a service
 * @context: complete but for its items
 *
 * Leaves out what is draining, full or not admitted, holds back what looks
 * bad or is cold, and lets the policy choose among the rest. When most look
 * bad, the measurement is suspected and all share the traffic.
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
