#ifndef AGATECRANK_GATEWAY_ROUTETABLE_H
#define AGATECRANK_GATEWAY_ROUTETABLE_H

#include "Clock.h"
#include "Error.h"
#include "Str.h"

/**
 * typedef RouteTable - one version of the routes by host and path prefix
 *
 * It is counted: requests keep the version that they were routed by.
 */
typedef struct RouteTable_ RouteTable;

/** enum RouteKind - how often a request of a route may run */
typedef enum RouteKind_ {
    ROUTE_IDEMPOTENT,
    ROUTE_AT_MOST_ONCE,
} RouteKind;

/** struct RoutePart_ - a service and its weight in a route's split */
typedef struct RoutePart_ {
    Str service;
    uint32_t weight;
} RoutePart;

/**
 * struct Route_ - where requests of a host and path prefix go
 * @prefix: begins and ends with a slash
 * @timeout: longest time until a final answer
 * @objective: time within which an answer is of full use
 * @priority: rank, 0 is the most urgent
 * @attempts_max: upstreams that one request may be sent to, at least 1
 * @parts: at least one
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
} Route;

/**
 * struct CallerLimits_ - bounds on what a caller may send
 * @head_bytes, @body_bytes: sizes; 0 for the defaults
 * @head_timeout: time for a header block
 * @idle_time: time that a connection may stay without a request
 */
typedef struct CallerLimits_ {
    uint64_t head_bytes;
    uint64_t body_bytes;
    Micros head_timeout;
    Micros idle_time;
} CallerLimits;

/** RouteTable_Create() - an empty table with one reference */
RouteTable *RouteTable_Create(uint64_t version, const CallerLimits *limits);

/** RouteTable_Ref() - one more reference */
RouteTable *RouteTable_Ref(RouteTable *this);

/** RouteTable_Unref() - the last one releases the table; NULL is allowed */
void RouteTable_Unref(RouteTable *this);

/**
 * RouteTable_Add() - copy a route into the table
 *
 * Return: 0, ERR_INVALID for a route that can not be used, or ERR_CONFLICT
 * if the host has the prefix already.
 */
int RouteTable_Add(RouteTable *this, const Route *route, Error *error);

/** RouteTable_AddService() - where upstreams of a service tell their load */
void RouteTable_AddService(RouteTable *this, Str service, Str load_path);

/** RouteTable_LoadPath() - as added, or an empty Str */
Str RouteTable_LoadPath(const RouteTable *this, Str service);

/**
 * RouteTable_Find() - the route with the longest prefix of @path
 * @host: value of the Host field, with or without a port
 * @path: with or without a query
 *
 * Return: NULL if no route matches.
 */
const Route *RouteTable_Find(const RouteTable *this, Str host, Str path);

/** RouteTable_Version() - as given at creation */
uint64_t RouteTable_Version(const RouteTable *this);

/** RouteTable_Limits() - as given at creation */
const CallerLimits *RouteTable_Limits(const RouteTable *this);

/** RouteTable_Count() - number of routes */
size_t RouteTable_Count(const RouteTable *this);

/** Route_Pick() - the part for a number @lot in [0, 1) */
const RoutePart *Route_Pick(const Route *this, double lot);

#endif
