#include "AdminRoutes.h"

#include <string.h>

/* tests/test_admin.sh compares this table with docs/openapi.json. */
static const AdminRoute routes[] = {
    {"GET", "/healthz", ADMIN_HEALTH, 0},
    {"GET", "/readyz", ADMIN_READY, 0},
    {"GET", "/metrics", ADMIN_METRICS, 0},
    {"GET", "/v1/status", ADMIN_STATUS, 0},
    {"GET", "/v1/hosts", ADMIN_HOSTS, 0},
    {"GET", "/v1/lines", ADMIN_OBJECTS, CONFIG_LINE},
    {"GET", "/v1/services", ADMIN_OBJECTS, CONFIG_SERVICE},
    {"GET", "/v1/callers", ADMIN_OBJECTS, CONFIG_CALLER},
    {"GET", "/v1/selectors", ADMIN_OBJECTS, CONFIG_SELECTOR},
    {"GET", "/v1/operators", ADMIN_OBJECTS, CONFIG_OPERATOR},
    {"GET", "/v1/upstreams", ADMIN_UPSTREAMS, 0},
    {"GET", "/v1/shares", ADMIN_SHARES, 0},
    {"GET", "/v1/quarantine", ADMIN_QUARANTINE, 0},
    {"POST", "/v1/quarantine/release", ADMIN_RELEASE, 0},
    {"GET", "/v1/explain", ADMIN_EXPLAIN, 0},
    {"GET", "/v1/publications/{author}/{id}", ADMIN_PUBLICATION, 0},
};

static bool
path_matches(const char *pattern, Str path, Str *rest)
{
    const char *brace = strchr(pattern, '{');
    Str prefix = Str_FromC(pattern);

    *rest = STR("");
    if (brace == NULL) {
        return Str_Equal(path, prefix);
    }
    prefix.length = (size_t)(brace - pattern);
    if (!Str_StartsWith(path, prefix)) {
        return false;
    }
    *rest = (Str){path.data + prefix.length, path.length - prefix.length};
    return true;
}

const AdminRoute *
AdminRoute_Find(Str method, Str path, Str *rest, bool *path_exists)
{
    *path_exists = false;
    for (size_t i = 0; i < sizeof(routes) / sizeof(routes[0]); i++) {
        if (!path_matches(routes[i].path, path, rest)) {
            continue;
        }
        *path_exists = true;
        if (Str_Equal(method, Str_FromC(routes[i].method))) {
            return &routes[i];
        }
    }
    return NULL;
}
