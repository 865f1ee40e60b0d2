#include "ConfigDiff.h"

#include <string.h>

static void
write_value(const ConfigObject *object, const Field *field, char sign,
            GString *out)
{
    GString *text;

    if (object == NULL) {
        return;
    }
    text = g_string_new(NULL);
    if (Fields_Write(field, object, text)) {
        g_string_append_printf(out, "  %c %s", sign, text->str);
    }
    g_string_free(text, TRUE);
}

static bool
field_differs(const Field *field, const ConfigObject *from,
              const ConfigObject *to)
{
    GString *old = g_string_new(NULL);
    GString *new = g_string_new(NULL);
    bool differs;

    if (from != NULL) {
        Fields_Write(field, from, old);
    }
    if (to != NULL) {
        Fields_Write(field, to, new);
    }
    differs = !g_string_equal(old, new);
    g_string_free(old, TRUE);
    g_string_free(new, TRUE);
    return differs;
}

bool
ConfigDiff_Objects(const ConfigObject *from, const ConfigObject *to,
                   GString *out)
{
    const ConfigObject *present = to != NULL ? to : from;
    char sign = '~';
    size_t before = out->len;
    size_t header_end;

    if (present == NULL) {
        return false;
    }
    if (from == NULL || to == NULL) {
        sign = from == NULL ? '+' : '-';
    }
    g_string_append_printf(out, "%c %s." STR_FORMAT "\n", sign,
                           ConfigObject_KindName(present->kind),
                           STR_ARGS(present->name));
    header_end = out->len;
    for (const Field *field = ConfigObject_Fields(present->kind);
         field->key != NULL; field++) {
        if (field_differs(field, from, to)) {
            write_value(from, field, '-', out);
            write_value(to, field, '+', out);
        }
    }
    if (sign == '~' && out->len == header_end) {
        g_string_truncate(out, before);
        return false;
    }
    return true;
}

size_t
ConfigDiff_Document(const ConfigState *state, const ConfigDocument *document,
                    GString *out)
{
    size_t changed = 0;
    size_t count;
    const ConfigObject *objects = ConfigDocument_Objects(document, &count);
    const ConfigDeletion *deletions;

    for (size_t i = 0; i < count; i++) {
        changed += ConfigDiff_Objects(
            ConfigState_Find(state, objects[i].kind, objects[i].name),
            &objects[i], out);
    }
    deletions = ConfigDocument_Deletions(document, &count);
    for (size_t i = 0; i < count; i++) {
        changed += ConfigDiff_Objects(
            ConfigState_Find(state, deletions[i].kind, deletions[i].name),
            NULL, out);
    }
    return changed;
}

size_t
ConfigDiff_States(const ConfigState *from, const ConfigState *to, GString *out)
{
    size_t changed = 0;

    for (ConfigKind kind = 0; kind < CONFIG_KIND_COUNT; kind++) {
        ConfigCursor cursor = {0};
        const ConfigObject *object;

        while ((object = ConfigState_Next(to, kind, &cursor)) != NULL) {
            changed += ConfigDiff_Objects(
                ConfigState_Find(from, kind, object->name), object, out);
        }
        cursor = (ConfigCursor){0};
        while ((object = ConfigState_Next(from, kind, &cursor)) != NULL) {
            if (ConfigState_Find(to, kind, object->name) == NULL) {
                changed += ConfigDiff_Objects(object, NULL, out);
            }
        }
    }
    return changed;
}

/* Labels of the upstreams that a caller may use, NULL if it may use none. */
static const Labels *
selected_upstreams(const ConfigState *state, Str caller, Str service,
                   CallerGrant *grant)
{
    const ConfigObject *object =
        ConfigState_Find(state, CONFIG_CALLER, caller);

    if (object == NULL ||
        ConfigState_Select(state, object, service, grant) != 0) {
        return NULL;
    }
    return &grant->upstreams;
}

/* Writes the upstreams of @service that match @selected but not @excluded. */
static size_t
write_difference(const Labels *selected, const Labels *excluded, Str caller,
                 Str service, const DiffUpstream *upstreams, size_t count,
                 const char *verb, GString *out)
{
    GString *ids = g_string_new(NULL);
    size_t found = 0;

    for (size_t i = 0; selected != NULL && i < count; i++) {
        const DiffUpstream *upstream = &upstreams[i];

        if (!Str_Equal(upstream->service, service) ||
            !Labels_Match(selected, &upstream->labels) ||
            (excluded != NULL && Labels_Match(excluded, &upstream->labels))) {
            continue;
        }
        if (found++ < DIFF_IDS_MAX) {
            g_string_append_printf(ids, " " STR_FORMAT,
                                   STR_ARGS(upstream->id));
        }
    }
    if (found > 0) {
        g_string_append_printf(out, STR_FORMAT " " STR_FORMAT " %s %zu:%s%s\n",
                               STR_ARGS(caller), STR_ARGS(service), verb,
                               found, ids->str,
                               found > DIFF_IDS_MAX ? " ..." : "");
    }
    g_string_free(ids, TRUE);
    return found > 0;
}

typedef struct Comparison_ {
    const ConfigState *from;
    const ConfigState *to;
    const DiffUpstream *upstreams;
    size_t count;
    GString *out;
} Comparison;

static size_t
compare_service(const Comparison *this, Str caller, Str service)
{
    CallerGrant old;
    CallerGrant new;
    const Labels *before =
        selected_upstreams(this->from, caller, service, &old);
    const Labels *after = selected_upstreams(this->to, caller, service, &new);
    size_t lines;

    if (before == after ||
        (before != NULL && after != NULL && Labels_Equal(before, after))) {
        return 0;
    }
    lines = write_difference(after, before, caller, service, this->upstreams,
                             this->count, "gains", this->out);
    return lines + write_difference(before, after, caller, service,
                                    this->upstreams, this->count, "loses",
                                    this->out);
}

/* Maps each line to the services that its selectors name in either state. */
static GHashTable *
services_by_line(const Comparison *this)
{
    GHashTable *lines = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
                                              (GDestroyNotify)g_tree_destroy);
    const ConfigState *states[] = {this->from, this->to};

    for (size_t i = 0; i < G_N_ELEMENTS(states); i++) {
        ConfigCursor cursor = {0};
        const ConfigObject *object;

        while ((object = ConfigState_Next(states[i], CONFIG_SELECTOR,
                                          &cursor)) != NULL) {
            const ConfigSelector *selector = &object->selector;
            GTree *services = g_hash_table_lookup(lines, selector->line.data);

            if (services == NULL) {
                services = g_tree_new((GCompareFunc)strcmp);
                g_hash_table_insert(lines, g_strdup(selector->line.data),
                                    services);
            }
            g_tree_replace(services, (gpointer)selector->service.data,
                           (gpointer)selector);
        }
    }
    return lines;
}

static size_t
compare_line(const Comparison *this, GHashTable *lines, Str caller, Str line)
{
    GTree *services = g_hash_table_lookup(lines, line.data);
    size_t written = 0;

    if (services == NULL) {
        return 0;
    }
    for (GTreeNode *node = g_tree_node_first(services); node != NULL;
         node = g_tree_node_next(node)) {
        written +=
            compare_service(this, caller, Str_FromC(g_tree_node_key(node)));
    }
    return written;
}

/*
 * If the caller moved to another line, the services of both lines are
 * compared; one that both lines use is compared only once.
 */
static size_t
compare_caller(const Comparison *this, GHashTable *lines, Str name)
{
    const ConfigObject *old =
        ConfigState_Find(this->from, CONFIG_CALLER, name);
    const ConfigObject *new = ConfigState_Find(this->to, CONFIG_CALLER, name);
    GTree *old_services;
    size_t written;

    if (old == NULL || new == NULL ||
        Str_Equal(old->caller.line, new->caller.line)) {
        return compare_line(this, lines, name,
                            new != NULL ? new->caller.line : old->caller.line);
    }
    written = compare_line(this, lines, name, new->caller.line);
    old_services = g_hash_table_lookup(lines, old->caller.line.data);
    for (GTreeNode *node = old_services ? g_tree_node_first(old_services)
                                        : NULL;
         node != NULL; node = g_tree_node_next(node)) {
        const char *service = g_tree_node_key(node);
        GTree *new_services =
            g_hash_table_lookup(lines, new->caller.line.data);

        if (new_services == NULL ||
            g_tree_lookup(new_services, service) == NULL) {
            written += compare_service(this, name, Str_FromC(service));
        }
    }
    return written;
}

size_t
ConfigDiff_Access(const ConfigState *from, const ConfigState *to,
                  const DiffUpstream *upstreams, size_t count, GString *out)
{
    Comparison comparison = {from, to, upstreams, count, out};
    GHashTable *lines = services_by_line(&comparison);
    ConfigCursor cursor = {0};
    const ConfigObject *caller;
    size_t written = 0;

    while ((caller = ConfigState_Next(to, CONFIG_CALLER, &cursor)) != NULL) {
        written += compare_caller(&comparison, lines, caller->name);
    }
    cursor = (ConfigCursor){0};
    while ((caller = ConfigState_Next(from, CONFIG_CALLER, &cursor)) != NULL) {
        if (ConfigState_Find(to, CONFIG_CALLER, caller->name) == NULL) {
            written += compare_caller(&comparison, lines, caller->name);
        }
    }
    g_hash_table_destroy(lines);
    return written;
}
