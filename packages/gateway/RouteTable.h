#ifndef AGATECRANK_GATEWAY_ROUTETABLE_H
#define AGATECRANK_GATEWAY_ROUTETABLE_H

#include "Clock.h"
#include "CustomerTable.h"
#include "Error.h"
#include "Str.h"

/**
 * typedef RouteTable - one version of the routes, by host and path prefix
 *
 * It is reference-counted: a request keeps the version that routed it.
 */
typedef struct RouteTable_ RouteTable;

/** enum RouteKind - how often a request of a route may be executed */
typedef enum RouteKind_ {
    ROUTE_IDEMPOTENT,
    ROUTE_AT_MOST_ONCE,
} RouteKind;

/** struct RoutePart_ - a service and its weight in a traffic split */
typedef struct RoutePart_ {
    Str service;
    uint32_t weight;
} RoutePart;

/**
 * struct Route_ - destination of the requests of a host and path prefix
 * @prefix: begins and ends with a slash
 * @timeout: longest time until the final response
 * @objective: response time up to which a response is of full use
 * @priority: rank, 0 is the most urgent
 * @attempts_max: most upstreams that a request is sent to, at least 1
 * @parts: at least one
 * @is_public: callers need no key, even if there are customers
 */
typedef struct Route_ {
    Str name;
    Str host;
    Str prefix;
    RouteKind kind;
    Micros timeout;
    Micros objective;
    uint32_t priority;
    uint32_t attempts_max;
    const RoutePart *parts;
    size_t part_count;
    bool is_public;
} Route;

/**
 * struct CallerLimits_ - limits on callers
 * @head_bytes, @body_bytes: largest sizes; 0 for the defaults
 * @head_timeout: longest time for a header block to arrive
 * @idle_time: longest time that a connection stays open without a request
 */
typedef struct CallerLimits_ {
    uint64_t head_bytes;
    uint64_t body_bytes;
    Micros head_timeout;
    Micros idle_time;
} CallerLimits;

/** RouteTable_Create() - create an empty table with one reference */
RouteTable *RouteTable_Create(uint64_t version, const CallerLimits *limits);

/** RouteTable_Ref() - add a reference */
RouteTable *RouteTable_Ref(RouteTable *this);

/**
 * RouteTable_Unref() - drop a reference; the last one releases the table; NULL
 *     is allowed
 */
void RouteTable_Unref(RouteTable *this);

/**
 * RouteTable_Add() - copy a route into the table
 *
 * Return: 0, ERR_INVALID for an unusable route, or ERR_CONFLICT if the host
 * already has a route with that prefix.
 */
int RouteTable_Add(RouteTable *this, const Route *route, Error *error);

/**
 * RouteTable_AddService() - set the path at which upstreams of a service
 *     report their load
 */
void RouteTable_AddService(RouteTable *this, Str service, Str load_path);

/**
 * RouteTable_SetWarmupRate() - set the requests per second that a cold upstream
 *     of an added service takes from all hosts together; 0 for no limit
 */
void RouteTable_SetWarmupRate(RouteTable *this, Str service, double per_s);

/** RouteTable_WarmupRate() - rate of RouteTable_SetWarmupRate(), or 0 */
double RouteTable_WarmupRate(const RouteTable *this, Str service);

/**
 * RouteTable_LoadPath() - the path of RouteTable_AddService(), or an empty Str
 */
Str RouteTable_LoadPath(const RouteTable *this, Str service);

/**
 * RouteTable_SetCustomers() - let callers identify themselves by the keys of
 *     customers; takes ownership of @customers
 */
void RouteTable_SetCustomers(RouteTable *this, CustomerTable *customers);

/** RouteTable_Customers() - NULL if callers need no keys; borrowed */
const CustomerTable *RouteTable_Customers(const RouteTable *this);

/**
 * RouteTable_Find() - the route with the longest prefix of @path
 * @host: value of the Host header field, with or without a port
 * @path: with or without a query
 *
 * Return: NULL if no route matches.
 */
const Route *RouteTable_Find(const RouteTable *this, Str host, Str path);

/**
 * RouteTable_Exact() - the route of a host with just that prefix, or NULL
 */
const Route *RouteTable_Exact(const RouteTable *this, Str host, Str prefix);

/** RouteTable_HasService() - whether RouteTable_AddService() was called for it */
bool RouteTable_HasService(const RouteTable *this, Str service);

/** RouteTable_ForEach() - visit all routes, in order of host and prefix */
void RouteTable_ForEach(const RouteTable *this,
                        void (*visit)(void *user, const Route *route),
                        void *user);

/** RouteTable_Version() - version that was passed at creation */
uint64_t RouteTable_Version(const RouteTable *this);

/** RouteTable_Limits() - limits that were passed at creation */
const CallerLimits *RouteTable_Limits(const RouteTable *this);

/** RouteTable_Count() - number of routes */
size_t RouteTable_Count(const RouteTable *this);

/** Route_Pick() - choose a part by weight; @random is uniform in [0, 1) */
const RoutePart *Route_Pick(const Route *this, double random);

#endif
