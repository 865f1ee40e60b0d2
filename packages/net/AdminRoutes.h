#ifndef AGATECRANK_NET_ADMINROUTES_H
#define AGATECRANK_NET_ADMINROUTES_H

#include "ConfigObject.h"
#include "Str.h"

/**
 * enum AdminAction_ - operation of a path
 *
 * ADMIN_HEALTH, ADMIN_READY and ADMIN_METRICS need no signature, all others
 * do.
 */
typedef enum AdminAction_ {
    ADMIN_HEALTH,
    ADMIN_READY,
    ADMIN_METRICS,
    ADMIN_STATUS,
    ADMIN_HOSTS,
    ADMIN_OBJECTS,
    ADMIN_UPSTREAMS,
    ADMIN_SHARES,
    ADMIN_QUARANTINE,
    ADMIN_RELEASE,
    ADMIN_EXPLAIN,
    ADMIN_PUBLICATION,
} AdminAction;

/**
 * struct AdminRoute_ - a method and path of the administration API
 * @path: path as in docs/openapi.json; everything from the first brace on is
 *        a parameter and matches the rest of the path
 * @kind: kind of the objects to list, for ADMIN_OBJECTS only
 */
typedef struct AdminRoute_ {
    const char *method;
    const char *path;
    AdminAction action;
    ConfigKind kind;
} AdminRoute;

/**
 * AdminRoute_Find() - find the route of a request
 * @rest: receives the part of @path that matches the parameter in braces
 * @path_exists: receives whether a route with this path exists for any method
 *
 * Return: NULL if no route has this method and path.
 */
const AdminRoute *AdminRoute_Find(Str method, Str path, Str *rest,
                                  bool *path_exists);

#endif
