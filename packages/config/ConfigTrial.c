#include "ConfigTrial.h"

#include <string.h>

#include "ConfigDiff.h"

ConfigOutcome
ConfigTrial_Refuse(const ConfigTrial *trial, ConfigOutcome outcome,
                   const char *format, ...)
{
    va_list args;

    va_start(args, format);
    g_string_append_vprintf(trial->verdict->text, format, args);
    va_end(args);
    return outcome;
}

bool
ConfigTrial_HasFault(const ConfigState *state, ConfigTestFault fault)
{
    return (state->options.test_faults & fault) != 0;
}

Str
ConfigTrial_Owner(const ConfigEntry *entry)
{
    if (entry->object != NULL) {
        return ConfigObject_Owner(entry->object);
    }
    return Str_FromC(entry->owner);
}

static ConfigOutcome
check_rights(const ConfigTrial *trial, ConfigKind kind, Str name,
             const ConfigObject *object)
{
    const ConfigState *state = trial->state;
    const ConfigEntry *entry = ConfigTable_Find(state->table, kind, name);
    bool known = entry != NULL && entry->source != NULL;
    uint32_t weight = 0;

    if ((object != NULL &&
         !ConfigRule_MayChange(state, trial->author,
                               ConfigObject_Owner(object))) ||
        (known && !ConfigRule_MayChange(state, trial->author,
                                        ConfigTrial_Owner(entry)))) {
        return ConfigTrial_Refuse(trial, CONFIG_DENIED,
                                  "%s may not change %s." STR_FORMAT "\n",
                                  trial->publication->author,
                                  ConfigObject_KindName(kind), STR_ARGS(name));
    }
    if (object == NULL || kind != CONFIG_LINE ||
        ConfigRule_MayChange(state, trial->author, STR(""))) {
        return CONFIG_ACCEPTED;
    }
    /* A greater weight takes capacity from the other lines. */
    if (known && entry->object != NULL) {
        weight = entry->object->product_line.weight;
    }
    if (object->product_line.weight > weight) {
        return ConfigTrial_Refuse(
            trial, CONFIG_DENIED,
            "%s may not raise the weight of line." STR_FORMAT
            " from %u to %u: that takes from other lines\n",
            trial->publication->author, STR_ARGS(name), weight,
            object->product_line.weight);
    }
    return CONFIG_ACCEPTED;
}

static ConfigOutcome
check_base(const ConfigTrial *trial, ConfigKind kind, Str name,
           const ConfigObject *object)
{
    uint64_t changed = ConfigState_ChangeOffset(trial->state, kind, name);

    if (trial->publication->base >= changed ||
        ConfigTrial_HasFault(trial->state, CONFIG_FAULT_STALE_BASE)) {
        return CONFIG_ACCEPTED;
    }
    ConfigTrial_Refuse(trial, CONFIG_STALE,
                       "%s." STR_FORMAT
                       " changed below offset %llu, base is %llu; "
                       "difference from what is in force:\n",
                       ConfigObject_KindName(kind), STR_ARGS(name),
                       (unsigned long long)changed,
                       (unsigned long long)trial->publication->base);
    ConfigDiff_Objects(ConfigState_Find(trial->state, kind, name), object,
                       trial->verdict->text);
    return CONFIG_STALE;
}

typedef ConfigOutcome Check(const ConfigTrial *trial, ConfigKind kind,
                            Str name, const ConfigObject *object);

/* Reports all objects at fault; the outcome is that of the first one. */
static ConfigOutcome
check_all(const ConfigTrial *trial, Check *check)
{
    ConfigOutcome first = CONFIG_ACCEPTED;
    size_t count;
    size_t deleted;
    const ConfigObject *objects =
        ConfigDocument_Objects(trial->document, &count);
    const ConfigDeletion *deletions =
        ConfigDocument_Deletions(trial->document, &deleted);

    for (size_t i = 0; i < count + deleted; i++) {
        const ConfigDeletion *gone = i < count ? NULL : &deletions[i - count];
        ConfigOutcome outcome =
            gone == NULL
                ? check(trial, objects[i].kind, objects[i].name, &objects[i])
                : check(trial, gone->kind, gone->name, NULL);

        if (first == CONFIG_ACCEPTED) {
            first = outcome;
        }
        if (trial->verdict->text->len > HISTORY_TEXT_BYTES_MAX) {
            break;
        }
    }
    return first;
}

static ConfigOutcome
check_deletions(const ConfigTrial *trial)
{
    size_t count;
    const ConfigDeletion *deletions =
        ConfigDocument_Deletions(trial->document, &count);

    for (size_t i = 0; i < count; i++) {
        if (ConfigState_Find(trial->state, deletions[i].kind,
                             deletions[i].name) == NULL) {
            return ConfigTrial_Refuse(trial, CONFIG_REFERENCE,
                                      "%s." STR_FORMAT " does not exist\n",
                                      ConfigObject_KindName(deletions[i].kind),
                                      STR_ARGS(deletions[i].name));
        }
    }
    return CONFIG_ACCEPTED;
}

static ConfigOutcome
check_references(const ConfigTrial *trial, const ConfigChange *changes,
                 size_t count)
{
    for (size_t i = 0; i < count; i++) {
        const ConfigEntry *entry = changes[i].entry;
        const char *word = ConfigObject_KindName(entry->kind);
        ConfigKind kind;
        Str name;

        if (entry->object == NULL && entry->references > 0) {
            return ConfigTrial_Refuse(
                trial, CONFIG_REFERENCE,
                "%s." STR_FORMAT " is still used by %zu objects\n", word,
                STR_ARGS(entry->name), entry->references);
        }
        if (entry->object != NULL &&
            ConfigRule_FirstMissing(trial->state, entry->object, &kind,
                                    &name)) {
            return ConfigTrial_Refuse(trial, CONFIG_REFERENCE,
                                      "%s." STR_FORMAT " names %s." STR_FORMAT
                                      ", which does not exist\n",
                                      word, STR_ARGS(entry->name),
                                      ConfigObject_KindName(kind),
                                      STR_ARGS(name));
        }
    }
    return CONFIG_ACCEPTED;
}

static ConfigOutcome
check_lines(const ConfigTrial *trial, const ConfigChange *changes,
            size_t count)
{
    size_t limit = trial->state->options.line_objects_max;

    for (size_t i = 0; i < count; i++) {
        const ConfigObject *object = changes[i].entry->object;
        Str line = object != NULL ? ConfigObject_Owner(object) : STR("");
        const ConfigEntry *entry;

        if (line.length == 0) {
            continue;
        }
        entry = ConfigTable_Find(trial->state->table, CONFIG_LINE, line);
        if (entry != NULL && entry->references > limit) {
            return ConfigTrial_Refuse(
                trial, CONFIG_FULL,
                "line." STR_FORMAT " would have %zu callers and selectors; "
                "at most %zu are accepted\n",
                STR_ARGS(line), entry->references, limit);
        }
    }
    return CONFIG_ACCEPTED;
}

static void
add_large_records(GTree *tree, const char *author, GHashTable *seen,
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

/* Walks over all objects, but only for large records of lines' operators,
 * which are rare. */
static ConfigOutcome
check_bytes(const ConfigTrial *trial, size_t length)
{
    size_t limit = trial->state->options.author_bytes_max;
    size_t bytes = 0;
    GHashTable *seen;

    if (length <= CONFIG_LARGE_RECORD_BYTES ||
        ConfigObject_IsGlobalOperator(trial->author)) {
        return CONFIG_ACCEPTED;
    }
    seen = g_hash_table_new(NULL, NULL);
    for (ConfigKind kind = 0; kind < CONFIG_KINDS; kind++) {
        add_large_records(ConfigTable_Tree(trial->state->table, kind),
                          trial->publication->author, seen, &bytes);
    }
    g_hash_table_destroy(seen);
    if (bytes <= limit) {
        return CONFIG_ACCEPTED;
    }
    return ConfigTrial_Refuse(
        trial, CONFIG_FULL,
        "large publications of %s that are in force would have %zu bytes; "
        "at most %zu are accepted; use smaller ones\n",
        trial->publication->author, bytes, limit);
}

ConfigOutcome
ConfigTrial_CheckResult(const ConfigTrial *trial, const ConfigChange *changes,
                        size_t count, const ConfigEntry *clash)
{
    const ConfigState *state = trial->state;
    ConfigOutcome outcome;
    size_t live = 0;

    if (clash != NULL) {
        return ConfigTrial_Refuse(
            trial, CONFIG_REFERENCE,
            "caller." STR_FORMAT
            " has the token or certificate of another caller\n",
            STR_ARGS(clash->name));
    }
    if (ConfigTable_GlobalOperators(state->table) == 0) {
        return ConfigTrial_Refuse(
            trial, CONFIG_REFERENCE,
            "no operator with lines = [\"*\"] would be left\n");
    }
    for (ConfigKind kind = 0; kind < CONFIG_KINDS; kind++) {
        live += ConfigTable_Live(state->table, kind);
    }
    if (live > state->options.objects_max) {
        return ConfigTrial_Refuse(trial, CONFIG_FULL,
                                  "more than %zu objects\n",
                                  state->options.objects_max);
    }
    outcome = check_references(trial, changes, count);
    if (outcome == CONFIG_ACCEPTED) {
        outcome = check_lines(trial, changes, count);
    }
    if (outcome == CONFIG_ACCEPTED && count > 0) {
        outcome = check_bytes(trial, changes[0].entry->source->record->len);
    }
    return outcome;
}

ConfigOutcome
ConfigTrial_CheckDocument(const ConfigTrial *this)
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
