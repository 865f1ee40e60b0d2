#ifndef AGATECRANK_TESTS_GATEWAYFIXTURE_H
#define AGATECRANK_TESTS_GATEWAYFIXTURE_H

#include "Dispatcher.h"

/** GATEWAY_FIXTURE_HOST and _SERVICE - of all routes and upstreams here */
#define GATEWAY_FIXTURE_HOST STR("a.example")
#define GATEWAY_FIXTURE_SERVICE STR("desk")

/** GatewayFixture_AddRoute() - a route of two attempts to the service */
void GatewayFixture_AddRoute(RouteTable *table, const char *prefix,
                             RouteKind kind, uint32_t priority,
                             Micros objective, Micros timeout);

/** GatewayFixture_Upstream() - an upstream of the service; @id is borrowed */
UpstreamEntry GatewayFixture_Upstream(const char *id, uint16_t port,
                                      uint32_t slots);

#endif
