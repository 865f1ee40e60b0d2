#include "AdminReads.h"

#include <glib.h>
#include <math.h>
#include <string.h>

#define SUBSET_MAX 64
#define HOSTS_MAX 1024

static json_t *
json_str(Str text)
{
    return json_stringn_nocheck(text.length ? text.data : "", text.length);
}

int
AdminQuery_Parse(AdminQuery *this, Str text, Error *error)
{
    Str field, key;

    memset(this, 0, sizeof(*this));
    this->limit = ADMIN_LIMIT_DEFAULT;
    while (Str_Split(&text, '&', &field)) {
        Str_Split(&field, '=', &key);
        if (Str_Equal(key, STR("service"))) {
            this->service = field;
        }
        else if (Str_Equal(key, STR("caller"))) {
            this->caller = field;
        }
        else if (Str_Equal(key, STR("name"))) {
            this->name = field;
        }
        else if (Str_Equal(key, STR("after"))) {
            this->after = field;
        }
        else if (!Str_Equal(key, STR("limit")) ||
                 Str_ParseU64(field, &this->limit) < 0 || this->limit < 1 ||
                 this->limit > ADMIN_LIMIT_MAX) {
            return Error_Set(error, ERR_INVALID, "admin-query", STR(""),
                             "unknown or wrong query field '" STR_FORMAT
                             "'; limit is 1 to %d",
                             STR_ARGS(key), ADMIN_LIMIT_MAX);
        }
    }
    return 0;
}

json_t *
AdminReads_Status(const AdminOptions *options)
{
    ConfigSyncStatus sync;
    const ClaimsCounters *claims =
        Claims_Counters(Balancer_Claims(options->balancer));
    json_t *root = json_object();

    ConfigSync_Status(options->sync, &sync);
    json_object_set_new(root, "host", json_str(options->settings->host_id));
    json_object_set_new(root, "deployment",
                        json_str(options->settings->deployment));
    json_object_set_new(root, "domain", json_str(options->settings->domain));
    json_object_set_new(root, "version", json_string(AGATECRANK_VERSION));
    json_object_set_new(root, "ready", json_boolean(*options->ready));
    json_object_set_new(root, "reason", json_string(sync.reason));
    json_object_set_new(root, "config_offset",
                        json_integer((json_int_t)sync.offset));
    json_object_set_new(
        root, "config_accepted",
        json_integer((json_int_t)ConfigState_AcceptedOffset(options->config)));
    json_object_set_new(root, "log_up", json_boolean(sync.log_up));
    json_object_set_new(root, "log_age_ms",
                        json_integer(sync.read_age / MICROS_PER_MS));
    json_object_set_new(
        root, "host_list_age_ms",
        json_integer(HostListClient_Age(options->host_list) / MICROS_PER_MS));
    json_object_set_new(
        root, "open_requests",
        json_integer((json_int_t)Balancer_OpenRequests(options->balancer)));
    json_object_set_new(
        root, "log_appends",
        json_integer((json_int_t)LogClient_Appends(options->log_client)));
    json_object_set_new(root, "claims_dispatched",
                        json_integer((json_int_t)claims->dispatched));
    json_object_set_new(root, "claims_remembered",
                        json_integer((json_int_t)Claims_RememberedKeys(
                            Balancer_Claims(options->balancer))));
    return root;
}

/* Every operator sees all services, the objects of its own lines and itself.
 * Other operators are visible to global operators only. */
static bool
may_see_object(const ConfigObject *operator_, const ConfigObject *object)
{
    Str owner = ConfigObject_OwningLine(object);

    if (object->kind == CONFIG_SERVICE) {
        return true;
    }
    if (object->kind == CONFIG_LINE) {
        return OperatorAuth_MayUseLine(operator_, object->name);
    }
    if (object->kind == CONFIG_OPERATOR) {
        return operator_ == NULL || ConfigObject_IsGlobalOperator(operator_) ||
               Str_Equal(operator_->name, object->name);
    }
    return OperatorAuth_MayUseLine(operator_, owner);
}

static int
compare_names(Str a, Str b)
{
    size_t n = a.length < b.length ? a.length : b.length;
    int order = n > 0 ? memcmp(a.data, b.data, n) : 0;

    if (order != 0) {
        return order;
    }
    return a.length < b.length ? -1 : a.length > b.length;
}

json_t *
AdminReads_Objects(const AdminOptions *options, ConfigKind kind,
                   const AdminQuery *query, const ConfigObject *operator_)
{
    json_t *root = json_object(), *items = json_array();
    ConfigCursor cursor = {0};
    const ConfigObject *object;

    while ((object = ConfigState_Next(options->config, kind, &cursor)) !=
           NULL) {
        json_t *item;
        GString *text;

        if (compare_names(object->name, query->after) <= 0 ||
            !may_see_object(operator_, object)) {
            continue;
        }
        if (json_array_size(items) >= query->limit) {
            json_object_set(
                root, "next",
                json_object_get(
                    json_array_get(items, json_array_size(items) - 1),
                    "name"));
            break;
        }
        text = g_string_new(NULL);
        ConfigObject_Write(object, text);
        item = json_object();
        json_object_set_new(item, "name", json_str(object->name));
        json_object_set_new(item, "changed",
                            json_integer((json_int_t)ConfigState_ChangeOffset(
                                options->config, kind, object->name)));
        json_object_set_new(item, "toml", json_str(Str_FromString(text)));
        json_array_append_new(items, item);
        g_string_free(text, TRUE);
    }
    json_object_set_new(root, "items", items);
    return root;
}

/* Parses the index of a page's first entry, for lists paged by index. */
static int
parse_position(Str text, uint64_t *position, Error *error)
{
    *position = 0;
    if (text.length > 0 && Str_ParseU64(text, position) < 0) {
        return Error_Set(
            error, ERR_INVALID, "admin-query", STR(""),
            "after must be the value of next from an earlier page");
    }
    return 0;
}

static bool
is_drained(const AdminOptions *options, const DirectoryUpstream *upstream)
{
    const ConfigService *service = ConfigState_FindService(
        options->config, NameTable_Name(Balancer_Services(options->balancer),
                                        upstream->service));

    return service != NULL &&
           StrList_Contains(&service->drained, upstream->id);
}

static json_t *
write_upstream(const AdminOptions *options, const DirectoryUpstream *upstream)
{
    json_t *item = json_object(), *labels = json_object();

    json_object_set_new(item, "name", json_str(upstream->id));
    json_object_set_new(
        item, "service",
        json_str(NameTable_Name(Balancer_Services(options->balancer),
                                upstream->service)));
    json_object_set_new(item, "domain", json_str(upstream->domain_name));
    json_object_set_new(
        item, "address",
        json_sprintf("%s:%u", upstream->address, upstream->port));
    json_object_set_new(item, "leaving", json_boolean(upstream->leaving));
    json_object_set_new(item, "drained",
                        json_boolean(is_drained(options, upstream)));
    json_object_set_new(
        item, "inflight",
        json_integer(Router_Inflight(Balancer_Router(options->balancer),
                                     upstream->index)));
    for (size_t i = 0; i < upstream->labels.count; i++) {
        json_object_set_new(labels, upstream->labels.items[i].key.data,
                            json_str(upstream->labels.items[i].value));
    }
    json_object_set_new(item, "labels", labels);
    return item;
}

static bool
matches_query(const AdminOptions *options, const AdminQuery *query,
              const DirectoryUpstream *upstream)
{
    Str service;

    if (upstream == NULL || !upstream->present) {
        return false;
    }
    service = NameTable_Name(Balancer_Services(options->balancer),
                             upstream->service);
    return (query->service.length == 0 ||
            Str_Equal(query->service, service)) &&
           (query->name.length == 0 || Str_Equal(query->name, upstream->id));
}

json_t *
AdminReads_Upstreams(const AdminOptions *options, const AdminQuery *query,
                     Error *error)
{
    const Directory *directory = Balancer_Directory(options->balancer);
    json_t *root, *items;
    uint64_t start;

    if (parse_position(query->after, &start, error) < 0) {
        return NULL;
    }
    root = json_object();
    items = json_array();
    for (uint64_t i = start; i < Directory_IndexLimit(directory); i++) {
        const DirectoryUpstream *upstream =
            Directory_At(directory, (uint32_t)i);

        if (!matches_query(options, query, upstream)) {
            continue;
        }
        if (json_array_size(items) >= query->limit) {
            json_object_set_new(root, "next", json_sprintf("%u", (uint32_t)i));
            break;
        }
        json_array_append_new(items, write_upstream(options, upstream));
    }
    json_object_set_new(root, "items", items);
    return root;
}

static json_t *
write_host(const HostView *view)
{
    static const char *const states[] = {"live", "suspect", "leaving",
                                         "removed"};
    json_t *item = json_object();

    json_object_set_new(item, "id", json_str(view->id));
    json_object_set_new(item, "domain", json_str(view->domain));
    json_object_set_new(item, "state", json_string(states[view->state]));
    json_object_set_new(
        item, "age_ms",
        json_integer(view->self ? 0 : view->heartbeat_age / MICROS_PER_MS));
    json_object_set_new(item, "self", json_boolean(view->self));
    return item;
}

json_t *
AdminReads_Hosts(const AdminOptions *options, const AdminQuery *query)
{
    HostView *views = g_new(HostView, HOSTS_MAX);
    size_t n = Membership_Live(PeerExchange_Membership(options->peers), views,
                               HOSTS_MAX);
    json_t *root = json_object(), *items = json_array();

    for (size_t i = 0; i < n; i++) {
        if (compare_names(views[i].id, query->after) <= 0) {
            continue;
        }
        if (json_array_size(items) >= query->limit) {
            json_object_set_new(root, "next", json_str(views[i - 1].id));
            break;
        }
        json_array_append_new(items, write_host(&views[i]));
    }
    json_object_set_new(root, "items", items);
    g_free(views);
    return root;
}

static json_t *
write_share(const AdminOptions *options, uint32_t service, uint32_t line)
{
    AdmissionView view;
    json_t *item;

    if (!Admission_View(Balancer_Admission(options->balancer), service, line,
                        &view)) {
        return NULL;
    }
    item = json_object();
    json_object_set_new(
        item, "line",
        json_str(NameTable_Name(Balancer_Lines(options->balancer), line)));
    json_object_set_new(item, "service",
                        json_str(NameTable_Name(
                            Balancer_Services(options->balancer), service)));
    json_object_set_new(item, "short", json_boolean(view.saturated));
    json_object_set_new(item, "limited", json_boolean(view.limited));
    json_object_set_new(item, "demand_slots", json_real(view.demand));
    /* Without a limit the allowance is infinite; JSON has no such number. */
    json_object_set_new(item, "allowance_slots",
                        isfinite(view.allowance) ? json_real(view.allowance)
                                                 : json_null());
    json_object_set_new(item, "queued", json_integer(view.queued));
    json_object_set_new(item, "admitted",
                        json_integer((json_int_t)view.admitted));
    json_object_set_new(item, "refused",
                        json_integer((json_int_t)view.refused));
    return item;
}

static bool
share_visible(const AdminOptions *options, const AdminQuery *query,
              const ConfigObject *operator_, uint32_t service, uint32_t line)
{
    return (query->service.length == 0 ||
            Str_Equal(query->service,
                      NameTable_Name(Balancer_Services(options->balancer),
                                     service))) &&
           OperatorAuth_MayUseLine(
               operator_,
               NameTable_Name(Balancer_Lines(options->balancer), line));
}

/* The position of an entry is its service index times this factor plus its
 * line index, so that a line which is added between the reads of two pages
 * shifts no other entry. */
#define SHARE_POSITION_FACTOR 1000000

json_t *
AdminReads_Shares(const AdminOptions *options, const AdminQuery *query,
                  const ConfigObject *operator_, Error *error)
{
    uint32_t services = NameTable_Count(Balancer_Services(options->balancer));
    uint32_t lines = NameTable_Count(Balancer_Lines(options->balancer));
    json_t *root, *items;
    uint64_t start;

    if (parse_position(query->after, &start, error) < 0) {
        return NULL;
    }
    root = json_object();
    items = json_array();
    for (uint64_t s = start / SHARE_POSITION_FACTOR; s < services; s++) {
        uint64_t l = s == start / SHARE_POSITION_FACTOR
                         ? start % SHARE_POSITION_FACTOR
                         : 0;

        for (; l < lines; l++) {
            json_t *item = NULL;

            if (share_visible(options, query, operator_, (uint32_t)s,
                              (uint32_t)l)) {
                item = write_share(options, (uint32_t)s, (uint32_t)l);
            }
            if (item == NULL) {
                continue;
            }
            if (json_array_size(items) >= query->limit) {
                json_decref(item);
                json_object_set_new(
                    root, "next",
                    json_sprintf("%" G_GUINT64_FORMAT,
                                 s * SHARE_POSITION_FACTOR + l));
                s = services;
                break;
            }
            json_array_append_new(items, item);
        }
    }
    json_object_set_new(root, "items", items);
    return root;
}

static json_t *
write_quarantine(const QuarantineItem *entry, Str line)
{
    json_t *item = json_object();

    json_object_set_new(item, "line", json_str(line));
    json_object_set_new(
        item, "fingerprint",
        json_sprintf("%016" G_GINT64_MODIFIER "x%016" G_GINT64_MODIFIER "x",
                     entry->fingerprint.high, entry->fingerprint.low));
    json_object_set_new(item, "losses", json_integer(entry->losses));
    json_object_set_new(
        item, "refused",
        json_boolean(entry->losses >= QUARANTINE_LOSS_THRESHOLD &&
                     !entry->released));
    json_object_set_new(item, "age_ms",
                        json_integer(entry->age / MICROS_PER_MS));
    return item;
}

json_t *
AdminReads_Quarantine(const AdminOptions *options, const AdminQuery *query,
                      const ConfigObject *operator_, Error *error)
{
    Quarantine *quarantine = Balancer_Quarantine(options->balancer);
    size_t max = Quarantine_EntryCount(quarantine);
    json_t *root, *items;
    QuarantineItem *found;
    uint64_t start;
    size_t n;

    if (parse_position(query->after, &start, error) < 0) {
        return NULL;
    }
    root = json_object();
    items = json_array();
    found = g_new0(QuarantineItem, max + 1);
    n = Quarantine_List(quarantine, found, max);
    for (uint64_t i = start; i < n; i++) {
        Str line = NameTable_Name(Balancer_Lines(options->balancer),
                                  found[i].fingerprint.line);

        if (!OperatorAuth_MayUseLine(operator_, line)) {
            continue;
        }
        if (json_array_size(items) >= query->limit) {
            json_object_set_new(root, "next",
                                json_sprintf("%" G_GUINT64_FORMAT, i));
            break;
        }
        json_array_append_new(items, write_quarantine(&found[i], line));
    }
    g_free(found);
    json_object_set_new(root, "items", items);
    return root;
}

static json_t *
allowed_upstreams(const AdminOptions *options, const CallerGrant *grant)
{
    json_t *items = json_array();
    Directory *directory = Balancer_Directory(options->balancer);
    uint32_t service = NameTable_Find(Balancer_Services(options->balancer),
                                      grant->service->name);
    uint32_t subset[SUBSET_MAX];
    size_t n = service == NAME_INDEX_NONE
                   ? 0
                   : Router_Subset(Balancer_Router(options->balancer), service,
                                   subset, SUBSET_MAX);

    for (size_t i = 0; i < n; i++) {
        const DirectoryUpstream *upstream = Directory_At(directory, subset[i]);

        if (upstream != NULL && !is_drained(options, upstream) &&
            Labels_Match(&grant->upstreams, &upstream->labels)) {
            json_array_append_new(items, write_upstream(options, upstream));
        }
    }
    return items;
}

json_t *
AdminReads_Explain(const AdminOptions *options, const AdminQuery *query,
                   const ConfigObject *operator_, Error *error)
{
    const ConfigObject *caller =
        ConfigState_Find(options->config, CONFIG_CALLER, query->caller);
    CallerGrant grant;
    json_t *root;
    int code;

    if (caller == NULL ||
        !OperatorAuth_MayUseLine(operator_, caller->caller.line)) {
        Error_Set(error, ERR_NOT_FOUND, "explain", query->caller,
                  "no such caller in your lines");
        return NULL;
    }
    code = ConfigState_Select(options->config, caller, query->service, &grant);
    root = json_object();
    json_object_set_new(root, "caller", json_str(caller->name));
    json_object_set_new(root, "line", json_str(caller->caller.line));
    json_object_set_new(root, "service", json_str(query->service));
    json_object_set_new(root, "admitted", json_boolean(code == 0));
    if (code < 0) {
        json_object_set_new(
            root, "reason",
            json_string(code == ERR_NOT_FOUND
                            ? "unknown-service"
                            : "no selector admits the caller"));
        return root;
    }
    json_object_set_new(root, "selector", json_str(grant.selector->name));
    json_object_set_new(root, "deadline_ms",
                        json_integer(grant.deadline / MICROS_PER_MS));
    json_object_set_new(root, "share_percent", json_integer(grant.share));
    json_object_set_new(root, "require_key",
                        json_boolean(grant.service->service.require_key));
    json_object_set_new(root, "upstreams", allowed_upstreams(options, &grant));
    return root;
}

static bool
may_read_publication(const ConfigObject *operator_, Str author)
{
    return operator_ == NULL || ConfigObject_IsGlobalOperator(operator_) ||
           Str_Equal(operator_->name, author);
}

json_t *
AdminReads_Publication(const AdminOptions *options, Str path,
                       const ConfigObject *operator_)
{
    ConfigVerdict verdict;
    json_t *root = NULL;
    Str author;

    ConfigVerdict_Init(&verdict);
    if (Str_Split(&path, '/', &author) &&
        may_read_publication(operator_, author) &&
        ConfigState_Verdict(options->config, author, path, &verdict) == 0) {
        root = json_object();
        json_object_set_new(root, "author", json_str(author));
        json_object_set_new(root, "id", json_str(path));
        json_object_set_new(root, "verdict",
                            json_string(ConfigVerdict_Name(verdict.outcome)));
        json_object_set_new(root, "offset",
                            json_integer((json_int_t)verdict.offset));
        json_object_set_new(root, "text",
                            json_str(Str_FromString(verdict.text)));
    }
    ConfigVerdict_Clear(&verdict);
    return root;
}
