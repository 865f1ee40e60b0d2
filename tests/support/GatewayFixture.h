#ifndef AGATECRANK_TESTS_GATEWAYFIXTURE_H
#define AGATECRANK_TESTS_GATEWAYFIXTURE_H

#include "Dispatcher.h"

/** GATEWAY_FIXTURE_HOST - host of all routes */
#define GATEWAY_FIXTURE_HOST STR("a.example")
/** GATEWAY_FIXTURE_SERVICE - service of all routes and upstreams */
#define GATEWAY_FIXTURE_SERVICE STR("desk")

/**
 * GatewayFixture_AddRoute() - add a route to the service, with two attempts
 */
void GatewayFixture_AddRoute(RouteTable *table, const char *prefix,
                             RouteKind kind, uint32_t priority,
                             Micros objective, Micros timeout);

/** GatewayFixture_Upstream() - an upstream of the service; @id is borrowed */
UpstreamEntry GatewayFixture_Upstream(const char *id, uint16_t port,
                                      uint32_t slots);

#endif
