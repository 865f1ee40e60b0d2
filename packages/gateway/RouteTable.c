#include "RouteTable.h"

#include <glib.h>
#include <string.h>

#include "Arena.h"

typedef struct Service_ {
    Str load_path;
    double warmup_per_s;
} Service;

struct RouteTable_ {
    uint64_t version;
    CallerLimits limits;
    Arena *arena;
    GHashTable *routes;   /* "host prefix" to Route */
    GHashTable *services; /* name to Service */
    CustomerTable *customers;
    unsigned references;
};

RouteTable *
RouteTable_Create(uint64_t version, const CallerLimits *limits)
{
    RouteTable *this = g_new0(RouteTable, 1);

    this->version = version;
    this->limits = *limits;
    this->arena = Arena_Create();
    this->routes = g_hash_table_new(g_str_hash, g_str_equal);
    this->services = g_hash_table_new(g_str_hash, g_str_equal);
    this->references = 1;
    return this;
}

RouteTable *
RouteTable_Ref(RouteTable *this)
{
    this->references++;
    return this;
}

void
RouteTable_Unref(RouteTable *this)
{
    if (this == NULL || --this->references > 0) {
        return;
    }
    g_hash_table_destroy(this->routes);
    g_hash_table_destroy(this->services);
    CustomerTable_Destroy(this->customers);
    Arena_Destroy(this->arena);
    g_free(this);
}

static void
write_key(GString *key, Str host, Str prefix)
{
    g_string_truncate(key, 0);
    Str_AppendTo(host, key);
    g_string_ascii_down(key);
    g_string_append_c(key, ' ');
    Str_AppendTo(prefix, key);
}

static bool
is_valid(const Route *route)
{
    uint64_t weights = 0;

    for (size_t i = 0; i < route->part_count; i++) {
        weights += route->parts[i].weight;
    }
    return route->host.length > 0 && route->prefix.length > 0 &&
           route->prefix.data[0] == '/' &&
           route->prefix.data[route->prefix.length - 1] == '/' &&
           route->timeout > 0 && route->attempts_max > 0 && weights > 0;
}

static Route *
copy_route(RouteTable *this, const Route *route)
{
    Route *copy = Arena_Alloc(this->arena, sizeof(*copy));
    RoutePart *parts =
        Arena_Alloc(this->arena, route->part_count * sizeof(*parts));

    *copy = *route;
    copy->name = Arena_CopyStr(this->arena, route->name);
    copy->host = Arena_CopyStr(this->arena, route->host);
    copy->prefix = Arena_CopyStr(this->arena, route->prefix);
    for (size_t i = 0; i < route->part_count; i++) {
        parts[i].service = Arena_CopyStr(this->arena, route->parts[i].service);
        parts[i].weight = route->parts[i].weight;
    }
    copy->parts = parts;
    return copy;
}

int
RouteTable_Add(RouteTable *this, const Route *route, Error *error)
{
    GString *key;
    Str stored_key;

    if (!is_valid(route)) {
        return Error_Set(error, ERR_INVALID, "add-route", route->name,
                         "route needs a host, a prefix that begins and ends "
                         "with '/', a timeout, at least one attempt and a "
                         "positive sum of weights");
    }
    key = g_string_new(NULL);
    write_key(key, route->host, route->prefix);
    if (g_hash_table_contains(this->routes, key->str)) {
        g_string_free(key, TRUE);
        return Error_Set(error, ERR_CONFLICT, "add-route", route->name,
                         "another route already has this host and prefix");
    }
    stored_key = Arena_CopyStr(this->arena, Str_FromString(key));
    g_hash_table_insert(this->routes, (gpointer)stored_key.data,
                        copy_route(this, route));
    g_string_free(key, TRUE);
    return 0;
}

void
RouteTable_AddService(RouteTable *this, Str service, Str load_path)
{
    Service *added = Arena_Alloc(this->arena, sizeof(*added));

    added->load_path = Arena_CopyStr(this->arena, load_path);
    g_hash_table_insert(this->services,
                        (gpointer)Arena_CopyStr(this->arena, service).data,
                        added);
}

static Service *
find_service(const RouteTable *this, Str name)
{
    char *key = g_strndup(name.data, name.length);
    Service *found = g_hash_table_lookup(this->services, key);

    g_free(key);
    return found;
}

void
RouteTable_SetWarmupRate(RouteTable *this, Str service, double per_s)
{
    Service *found = find_service(this, service);

    if (found != NULL) {
        found->warmup_per_s = per_s;
    }
}

double
RouteTable_WarmupRate(const RouteTable *this, Str service)
{
    const Service *found = find_service(this, service);

    return found != NULL ? found->warmup_per_s : 0;
}

Str
RouteTable_LoadPath(const RouteTable *this, Str service)
{
    const Service *found = find_service(this, service);

    return found != NULL ? found->load_path : STR("");
}

void
RouteTable_SetCustomers(RouteTable *this, CustomerTable *customers)
{
    CustomerTable_Destroy(this->customers);
    this->customers = customers;
}

const CustomerTable *
RouteTable_Customers(const RouteTable *this)
{
    return this->customers;
}

static Str
without_port(Str host)
{
    const char *colon =
        host.length > 0 ? memchr(host.data, ':', host.length) : NULL;

    return colon != NULL ? (Str){host.data, (size_t)(colon - host.data)}
                         : host;
}

static Str
without_query(Str path)
{
    const char *mark =
        path.length > 0 ? memchr(path.data, '?', path.length) : NULL;

    return mark != NULL ? (Str){path.data, (size_t)(mark - path.data)} : path;
}

const Route *
RouteTable_Find(const RouteTable *this, Str host, Str path)
{
    GString *key = g_string_new(NULL);
    const Route *found = NULL;

    host = without_port(host);
    path = without_query(path);
    for (size_t n = path.length; n > 0 && found == NULL; n--) {
        if (path.data[n - 1] == '/') {
            write_key(key, host, (Str){path.data, n});
            found = g_hash_table_lookup(this->routes, key->str);
        }
    }
    g_string_free(key, TRUE);
    return found;
}

const Route *
RouteTable_Exact(const RouteTable *this, Str host, Str prefix)
{
    GString *key = g_string_new(NULL);
    const Route *found;

    write_key(key, host, prefix);
    found = g_hash_table_lookup(this->routes, key->str);
    g_string_free(key, TRUE);
    return found;
}

bool
RouteTable_HasService(const RouteTable *this, Str service)
{
    return find_service(this, service) != NULL;
}

void
RouteTable_ForEach(const RouteTable *this,
                   void (*visit)(void *user, const Route *route), void *user)
{
    GList *keys =
        g_list_sort(g_hash_table_get_keys(this->routes), (GCompareFunc)strcmp);

    for (GList *item = keys; item != NULL; item = item->next) {
        visit(user, g_hash_table_lookup(this->routes, item->data));
    }
    g_list_free(keys);
}

uint64_t
RouteTable_Version(const RouteTable *this)
{
    return this->version;
}

const CallerLimits *
RouteTable_Limits(const RouteTable *this)
{
    return &this->limits;
}

size_t
RouteTable_Count(const RouteTable *this)
{
    return g_hash_table_size(this->routes);
}

const RoutePart *
Route_Pick(const Route *this, double random)
{
    double sum = 0, passed = 0;

    for (size_t i = 0; i < this->part_count; i++) {
        sum += this->parts[i].weight;
    }
    for (size_t i = 0; i + 1 < this->part_count; i++) {
        passed += this->parts[i].weight;
        if (random * sum < passed) {
            return &this->parts[i];
        }
    }
    return &this->parts[this->part_count - 1];
}
