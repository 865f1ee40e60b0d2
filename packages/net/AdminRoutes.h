#ifndef AGATECRANK_NET_ADMINROUTES_H
#define AGATECRANK_NET_ADMINROUTES_H

#include "ConfigObject.h"
#include "Str.h"

/** enum AdminAction_ - what a path does; the first three need no signature */
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
 * struct AdminRoute_ - one path and method of the administration API
 * @path: as in docs/openapi.json; a part in braces stands for what follows
 * @kind: of ADMIN_OBJECTS
 */
typedef struct AdminRoute_ {
    const char *method;
    const char *path;
    AdminAction action;
    ConfigKind kind;
} AdminRoute;

/**
 * AdminRoute_Find() - route of a request
 * @rest: receives the part of @path that braces stand for
 * @path_exists: receives whether the path exists, be it with another method
 *
 * Return: NULL if there is none.
 */
const AdminRoute *AdminRoute_Find(Str method, Str path, Str *rest,
                                  bool *path_exists);

#endif
