#include "RouteCheck.h"

#include <glib.h>
#include <string.h>

typedef struct Check_ {
    const RouteTable *routes;
    const RouteTable *in_force;
    RouteFindingHandler *handler;
    void *user;
    unsigned errors;
} Check;

const char *
RouteFinding_Name(RouteFindingKind kind)
{
    switch (kind) {
    case ROUTE_FINDING_ERROR:
        return "error";
    case ROUTE_FINDING_WARNING:
        return "warning";
    case ROUTE_FINDING_DIFFERENCE:
        return "difference";
    }
    return "unknown";
}

static void G_GNUC_PRINTF(5, 6)
    report(Check *this, RouteFindingKind kind, const char *type, Str name,
           const char *format, ...)
{
    char *object = g_strdup_printf("%s%s" STR_FORMAT, type,
                                   name.length > 0 ? " " : "", STR_ARGS(name));
    va_list arguments;
    char *text;

    va_start(arguments, format);
    text = g_strdup_vprintf(format, arguments);
    va_end(arguments);
    this->errors += kind == ROUTE_FINDING_ERROR;
    this->handler(this->user, kind, object, text);
    g_free(text);
    g_free(object);
}

static bool
has_byte(Str text, const char *bytes)
{
    for (size_t i = 0; i < text.length; i++) {
        if (strchr(bytes, text.data[i]) != NULL) {
            return true;
        }
    }
    return false;
}

/* ---- routes ---------------------------------------------------------- */

/* Ports of hosts and queries of paths are left out before routes are found. */
static void
check_match(Check *this, const Route *route)
{
    if (has_byte(route->host, ": /")) {
        report(this, ROUTE_FINDING_ERROR, "route", route->name,
               "never matches: the host has a port, a space or a slash");
    }
    if (has_byte(route->prefix, "?# ")) {
        report(this, ROUTE_FINDING_ERROR, "route", route->name,
               "never matches: the prefix has a query, a fragment or a "
               "space");
    }
}

static void
check_times(Check *this, const Route *route)
{
    if (route->objective > route->timeout) {
        report(this, ROUTE_FINDING_WARNING, "route", route->name,
               "times out after %.3f s, before its objective of %.3f s",
               (double)route->timeout / MICROS_PER_S,
               (double)route->objective / MICROS_PER_S);
    }
    if (route->objective <= 0) {
        report(this, ROUTE_FINDING_WARNING, "route", route->name,
               "has no objective, so no request waits for spare capacity");
    }
    if (route->kind == ROUTE_AT_MOST_ONCE && route->attempts_max > 1) {
        report(this, ROUTE_FINDING_WARNING, "route", route->name,
               "is at most once; further attempts only follow a proof that "
               "the request did not run");
    }
}

static void
check_parts(Check *this, const Route *route)
{
    for (size_t i = 0; i < route->part_count; i++) {
        const RoutePart *part = &route->parts[i];

        if (!RouteTable_HasService(this->routes, part->service)) {
            report(this, ROUTE_FINDING_ERROR, "route", route->name,
                   "goes to service " STR_FORMAT ", which is not defined",
                   STR_ARGS(part->service));
        }
        if (part->weight == 0) {
            report(this, ROUTE_FINDING_WARNING, "route", route->name,
                   "sends nothing to " STR_FORMAT ": its weight is 0",
                   STR_ARGS(part->service));
        }
    }
}

static bool
is_same_destination(const Route *a, const Route *b)
{
    bool same = a->part_count == b->part_count;

    for (size_t i = 0; same && i < a->part_count; i++) {
        same = a->parts[i].weight == b->parts[i].weight &&
               Str_Equal(a->parts[i].service, b->parts[i].service);
    }
    return same;
}

static void
compare_route(Check *this, const Route *route, const Route *before)
{
    const struct {
        bool differs;
        const char *field;
    } fields[] = {
        {route->kind != before->kind, "kind"},
        {route->timeout != before->timeout, "timeout"},
        {route->objective != before->objective, "objective"},
        {route->priority != before->priority, "priority"},
        {route->attempts_max != before->attempts_max, "attempts"},
        {route->is_public != before->is_public, "need of a key"},
        {!is_same_destination(route, before), "services"},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(fields); i++) {
        if (fields[i].differs) {
            report(this, ROUTE_FINDING_DIFFERENCE, "route", route->name,
                   "has another %s", fields[i].field);
        }
    }
}

static void
check_route(void *user, const Route *route)
{
    Check *this = user;
    const Route *before =
        this->in_force != NULL
            ? RouteTable_Exact(this->in_force, route->host, route->prefix)
            : NULL;

    check_match(this, route);
    check_times(this, route);
    check_parts(this, route);
    if (before != NULL) {
        compare_route(this, route, before);
    }
    else if (this->in_force != NULL) {
        report(this, ROUTE_FINDING_DIFFERENCE, "route", route->name, "is new");
    }
}

static void
check_removed_route(void *user, const Route *before)
{
    Check *this = user;

    if (RouteTable_Exact(this->routes, before->host, before->prefix) == NULL) {
        report(this, ROUTE_FINDING_DIFFERENCE, "route", before->name,
               "is removed");
    }
}

/* ---- customers ------------------------------------------------------- */

static const Customer *
find_customer(const RouteTable *routes, Str name)
{
    const CustomerTable *customers =
        routes != NULL ? RouteTable_Customers(routes) : NULL;

    return customers != NULL ? CustomerTable_ByName(customers, name) : NULL;
}

static void
compare_customer(Check *this, const Customer *customer, const Customer *before)
{
    if (customer->rate_per_s != before->rate_per_s ||
        customer->burst != before->burst) {
        report(this, ROUTE_FINDING_DIFFERENCE, "customer", customer->name,
               "may send %g requests per second and a burst of %g, before "
               "%g and %g",
               customer->rate_per_s, customer->burst, before->rate_per_s,
               before->burst);
    }
    if (customer->has_priority != before->has_priority ||
        customer->priority != before->priority) {
        report(this, ROUTE_FINDING_DIFFERENCE, "customer", customer->name,
               "has another priority");
    }
    if (!CustomerTable_HasSameKeys(RouteTable_Customers(this->routes),
                                   RouteTable_Customers(this->in_force),
                                   customer->name)) {
        report(this, ROUTE_FINDING_DIFFERENCE, "customer", customer->name,
               "has other keys");
    }
}

static void
check_customer(void *user, const Customer *customer, unsigned keys)
{
    Check *this = user;
    const Customer *before = find_customer(this->in_force, customer->name);

    if (keys == 0) {
        report(this, ROUTE_FINDING_WARNING, "customer", customer->name,
               "has no key, so it can call public routes only");
    }
    if (customer->rate_per_s <= 0 && customer->burst > 0) {
        report(this, ROUTE_FINDING_WARNING, "customer", customer->name,
               "has a burst but no rate, which is no limit");
    }
    if (customer->rate_per_s > 0 && customer->burst < 1) {
        report(this, ROUTE_FINDING_WARNING, "customer", customer->name,
               "has a burst below one request; one is allowed");
    }
    if (before != NULL) {
        compare_customer(this, customer, before);
    }
    else if (this->in_force != NULL) {
        report(this, ROUTE_FINDING_DIFFERENCE, "customer", customer->name,
               "is new");
    }
}

static void
check_removed_customer(void *user, const Customer *before, unsigned keys)
{
    Check *this = user;

    if (find_customer(this->routes, before->name) == NULL) {
        report(this, ROUTE_FINDING_DIFFERENCE, "customer", before->name,
               "is removed");
    }
}

/* ---- all ------------------------------------------------------------- */

static void
check_version(Check *this)
{
    uint64_t version = RouteTable_Version(this->routes);
    uint64_t before = RouteTable_Version(this->in_force);

    if (version <= before) {
        report(this, ROUTE_FINDING_ERROR, "version", STR(""),
               "%" G_GUINT64_FORMAT " is not above the version in force, "
               "%" G_GUINT64_FORMAT ", so hosts ignore it",
               version, before);
    }
}

unsigned
RouteCheck_Run(const RouteTable *routes, const RouteTable *in_force,
               RouteFindingHandler *handler, void *user)
{
    Check check = {
        .routes = routes,
        .in_force = in_force,
        .handler = handler,
        .user = user,
    };

    if (in_force != NULL) {
        check_version(&check);
    }
    RouteTable_ForEach(routes, check_route, &check);
    if (RouteTable_Customers(routes) != NULL) {
        CustomerTable_ForEach(RouteTable_Customers(routes), check_customer,
                              &check);
    }
    if (in_force != NULL) {
        RouteTable_ForEach(in_force, check_removed_route, &check);
    }
    if (in_force != NULL && RouteTable_Customers(in_force) != NULL) {
        CustomerTable_ForEach(RouteTable_Customers(in_force),
                              check_removed_customer, &check);
    }
    return check.errors;
}
