#ifndef AGATECRANK_GATEWAY_ROUTECHECK_H
#define AGATECRANK_GATEWAY_ROUTECHECK_H

#include "RouteTable.h"

/** enum RouteFindingKind_ - what a finding means to an operator */
typedef enum RouteFindingKind_ {
    ROUTE_FINDING_ERROR,      /* it will not work as written */
    ROUTE_FINDING_WARNING,    /* it works, but probably not as meant */
    ROUTE_FINDING_DIFFERENCE, /* from the version in force */
} RouteFindingKind;

/** RouteFinding_Name() - static lower-case word */
const char *RouteFinding_Name(RouteFindingKind kind);

/**
 * typedef RouteFindingHandler - receives a finding
 * @object: "route NAME", "service NAME", "customer NAME" or "version"
 */
typedef void RouteFindingHandler(void *user, RouteFindingKind kind,
                                 const char *object, const char *text);

/**
 * RouteCheck_Run() - check routes before they are put in force
 * @in_force: to compare with; NULL for none
 *
 * Finds routes that can never match, limits that contradict each other, and
 * what differs from the routes in force. Names no key.
 *
 * Return: number of findings that are errors.
 */
unsigned RouteCheck_Run(const RouteTable *routes, const RouteTable *in_force,
                        RouteFindingHandler *handler, void *user);

#endif
