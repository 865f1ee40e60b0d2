#include "ConfigValidation.h"

#include <string.h>

#include "ConfigDiff.h"

ConfigOutcome
ConfigValidation_Reject(const ConfigValidation *this, ConfigOutcome outcome,
                        const char *format, ...)
{
    va_list args;

    va_start(args, format);
    g_string_append_vprintf(this->verdict->text, format, args);
    va_end(args);
    return outcome;
}

bool
ConfigValidation_HasTestFault(const ConfigState *state, ConfigTestFault fault)
{
    return (state->options.test_faults & fault) != 0;
}

Str
ConfigValidation_OwningLine(const ConfigEntry *entry)
{
    if (entry->object != NULL) {
        return ConfigObject_OwningLine(entry->object);
    }
    return Str_FromC(entry->owner);
}

static ConfigOutcome
check_rights(const ConfigValidation *validation, ConfigKind kind, Str name,
             const ConfigObject *object)
{
    const ConfigState *state = validation->state;
    const ConfigEntry *entry = ConfigTable_Find(state->table, kind, name);
    bool known = entry != NULL && entry->source != NULL;
    uint32_t weight = 0;

    if ((object != NULL &&
         !ConfigRule_MayChange(state, validation->author,
                               ConfigObject_OwningLine(object))) ||
        (known && !ConfigRule_MayChange(state, validation->author,
                                        ConfigValidation_OwningLine(entry)))) {
        return ConfigValidation_Reject(
            validation, CONFIG_DENIED, "%s may not change %s." STR_FORMAT "\n",
            validation->publication->author, ConfigObject_KindName(kind),
            STR_ARGS(name));
    }
    if (object == NULL || kind != CONFIG_LINE ||
        ConfigRule_MayChange(state, validation->author, STR(""))) {
        return CONFIG_ACCEPTED;
    }
    /* A greater weight takes capacity from other lines. */
    if (known && entry->object != NULL) {
        weight = entry->object->product_line.weight;
    }
    if (object->product_line.weight > weight) {
        return ConfigValidation_Reject(
            validation, CONFIG_DENIED,
            "%s may not raise the weight of line." STR_FORMAT
            " from %u to %u: that takes capacity from other lines\n",
            validation->publication->author, STR_ARGS(name), weight,
            object->product_line.weight);
    }
    return CONFIG_ACCEPTED;
}

static ConfigOutcome
check_base(const ConfigValidation *validation, ConfigKind kind, Str name,
           const ConfigObject *object)
{
    uint64_t changed = ConfigState_ChangeOffset(validation->state, kind, name);

    if (validation->publication->base >= changed ||
        ConfigValidation_HasTestFault(validation->state,
                                      CONFIG_FAULT_STALE_BASE)) {
        return CONFIG_ACCEPTED;
    }
    ConfigValidation_Reject(validation, CONFIG_STALE,
                            "%s." STR_FORMAT
                            " changed before offset %llu, but base is %llu; "
                            "difference from the configuration in force:\n",
                            ConfigObject_KindName(kind), STR_ARGS(name),
                            (unsigned long long)changed,
                            (unsigned long long)validation->publication->base);
    ConfigDiff_Objects(ConfigState_Find(validation->state, kind, name), object,
                       validation->verdict->text);
    return CONFIG_STALE;
}

typedef ConfigOutcome ObjectCheck(const ConfigValidation *validation,
                                  ConfigKind kind, Str name,
                                  const ConfigObject *object);

/* Reports all rejected objects; returns the outcome of the first one. */
static ConfigOutcome
check_all(const ConfigValidation *validation, ObjectCheck *check)
{
    ConfigOutcome first = CONFIG_ACCEPTED;
    size_t count;
    size_t deleted;
    const ConfigObject *objects =
        ConfigDocument_Objects(validation->document, &count);
    const ConfigDeletion *deletions =
        ConfigDocument_Deletions(validation->document, &deleted);

    for (size_t i = 0; i < count + deleted; i++) {
        const ConfigDeletion *deletion =
            i < count ? NULL : &deletions[i - count];
        ConfigOutcome outcome =
            deletion == NULL
                ? check(validation, objects[i].kind, objects[i].name,
                        &objects[i])
                : check(validation, deletion->kind, deletion->name, NULL);

        if (first == CONFIG_ACCEPTED) {
            first = outcome;
        }
        if (validation->verdict->text->len > HISTORY_TEXT_BYTES_MAX) {
            break;
        }
    }
    return first;
}

static ConfigOutcome
check_deletions(const ConfigValidation *validation)
{
    size_t count;
    const ConfigDeletion *deletions =
        ConfigDocument_Deletions(validation->document, &count);

    for (size_t i = 0; i < count; i++) {
        if (ConfigState_Find(validation->state, deletions[i].kind,
                             deletions[i].name) == NULL) {
            return ConfigValidation_Reject(
                validation, CONFIG_REFERENCE,
                "%s." STR_FORMAT " cannot be deleted: it does not exist\n",
                ConfigObject_KindName(deletions[i].kind),
                STR_ARGS(deletions[i].name));
        }
    }
    return CONFIG_ACCEPTED;
}

static ConfigOutcome
check_references(const ConfigValidation *validation,
                 const ConfigChange *changes, size_t count)
{
    for (size_t i = 0; i < count; i++) {
        const ConfigEntry *entry = changes[i].entry;
        const char *kind_name = ConfigObject_KindName(entry->kind);
        ConfigKind kind;
        Str name;

        if (entry->object == NULL && entry->reference_count > 0) {
            return ConfigValidation_Reject(
                validation, CONFIG_REFERENCE,
                "%s." STR_FORMAT
                " cannot be deleted: %zu objects refer to it\n",
                kind_name, STR_ARGS(entry->name), entry->reference_count);
        }
        if (entry->object != NULL &&
            ConfigRule_FirstMissing(validation->state, entry->object, &kind,
                                    &name)) {
            return ConfigValidation_Reject(
                validation, CONFIG_REFERENCE,
                "%s." STR_FORMAT " refers to %s." STR_FORMAT
                ", which does not exist\n",
                kind_name, STR_ARGS(entry->name), ConfigObject_KindName(kind),
                STR_ARGS(name));
        }
    }
    return CONFIG_ACCEPTED;
}

static ConfigOutcome
check_line_limits(const ConfigValidation *validation,
                  const ConfigChange *changes, size_t count)
{
    size_t limit = validation->state->options.line_objects_max;

    for (size_t i = 0; i < count; i++) {
        const ConfigObject *object = changes[i].entry->object;
        Str line = object != NULL ? ConfigObject_OwningLine(object) : STR("");
        const ConfigEntry *entry;

        if (line.length == 0) {
            continue;
        }
        entry = ConfigTable_Find(validation->state->table, CONFIG_LINE, line);
        if (entry != NULL && entry->reference_count > limit) {
            return ConfigValidation_Reject(
                validation, CONFIG_FULL,
                "line." STR_FORMAT " would have %zu callers and selectors; "
                "at most %zu are accepted\n",
                STR_ARGS(line), entry->reference_count, limit);
        }
    }
    return CONFIG_ACCEPTED;
}

static void
add_large_record_bytes(GTree *tree, const char *author, GHashTable *seen,
                       size_t *bytes)
{
    for (GTreeNode *node = g_tree_node_first(tree); node != NULL;
         node = g_tree_node_next(node)) {
        const ConfigSource *source =
            ((ConfigEntry *)g_tree_node_value(node))->source;

        if (source != NULL &&
            source->record->len > CONFIG_LARGE_RECORD_BYTES &&
            strcmp(source->author, author) == 0 &&
            g_hash_table_add(seen, (gpointer)source)) {
            *bytes += source->record->len;
        }
    }
}

/*
 * Limits the total size of the large records of an operator without global
 * rights. The scan over all objects runs for large records only, which are
 * rare.
 */
static ConfigOutcome
check_author_bytes(const ConfigValidation *validation, size_t length)
{
    size_t limit = validation->state->options.author_bytes_max;
    size_t bytes = 0;
    GHashTable *seen;

    if (length <= CONFIG_LARGE_RECORD_BYTES ||
        ConfigObject_IsGlobalOperator(validation->author)) {
        return CONFIG_ACCEPTED;
    }
    seen = g_hash_table_new(NULL, NULL);
    for (ConfigKind kind = 0; kind < CONFIG_KIND_COUNT; kind++) {
        add_large_record_bytes(
            ConfigTable_Tree(validation->state->table, kind),
            validation->publication->author, seen, &bytes);
    }
    g_hash_table_destroy(seen);
    if (bytes <= limit) {
        return CONFIG_ACCEPTED;
    }
    return ConfigValidation_Reject(
        validation, CONFIG_FULL,
        "large publications of %s that are in force would have %zu bytes; "
        "at most %zu are accepted; use smaller ones\n",
        validation->publication->author, bytes, limit);
}

ConfigOutcome
ConfigValidation_CheckResult(const ConfigValidation *this,
                             const ConfigChange *changes, size_t count,
                             const ConfigEntry *duplicate)
{
    const ConfigState *state = this->state;
    ConfigOutcome outcome;
    size_t live = 0;

    if (duplicate != NULL) {
        return ConfigValidation_Reject(
            this, CONFIG_REFERENCE,
            "caller." STR_FORMAT
            " has the same token or certificate as another caller\n",
            STR_ARGS(duplicate->name));
    }
    if (ConfigTable_GlobalOperatorCount(state->table) == 0) {
        return ConfigValidation_Reject(
            this, CONFIG_REFERENCE,
            "an operator with lines = [\"*\"] must remain\n");
    }
    for (ConfigKind kind = 0; kind < CONFIG_KIND_COUNT; kind++) {
        live += ConfigTable_LiveCount(state->table, kind);
    }
    if (live > state->options.objects_max) {
        return ConfigValidation_Reject(
            this, CONFIG_FULL,
            "the configuration would have more than %zu objects\n",
            state->options.objects_max);
    }
    outcome = check_references(this, changes, count);
    if (outcome == CONFIG_ACCEPTED) {
        outcome = check_line_limits(this, changes, count);
    }
    if (outcome == CONFIG_ACCEPTED && count > 0) {
        outcome =
            check_author_bytes(this, changes[0].entry->source->record->len);
    }
    return outcome;
}

ConfigOutcome
ConfigValidation_CheckDocument(const ConfigValidation *this)
{
    ConfigOutcome outcome = check_all(this, check_rights);

    if (outcome == CONFIG_ACCEPTED) {
        outcome = check_all(this, check_base);
    }
    if (outcome == CONFIG_ACCEPTED) {
        outcome = check_deletions(this);
    }
    return outcome;
}
