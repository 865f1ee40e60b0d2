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

/**
 * GatewayFixture_EndAttempt() - as Dispatcher_OnAttemptEnd() for the job's open
 *     attempt, with the evidence that its result implies
 */
JobVerdict GatewayFixture_EndAttempt(Dispatcher *dispatcher, Job *job,
                                     const AttemptEndInfo *end);

/**
 * GatewayFixture_EndForward() - as Dispatcher_OnForwardEnd() for the job's open
 *     forward
 */
JobVerdict GatewayFixture_EndForward(Dispatcher *dispatcher, Job *job,
                                     const ForwardEndInfo *end);

#endif
