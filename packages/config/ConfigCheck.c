#include "ConfigCheck.h"

static void
add_known(GHashTable *known, ConfigSource *source)
{
    for (;
         source != NULL && g_hash_table_insert(known, &source->offset, source);
         source = source->authority) {
    }
}

GHashTable *
ConfigCheck_KnownSources(const ConfigState *state)
{
    GHashTable *known = g_hash_table_new(g_int64_hash, g_int64_equal);

    for (ConfigKind kind = 0; kind < CONFIG_KINDS; kind++) {
        GTree *tree = ConfigTable_Tree(state->table, kind);

        for (GTreeNode *node = g_tree_node_first(tree); node != NULL;
             node = g_tree_node_next(node)) {
            add_known(known, ((ConfigEntry *)g_tree_node_value(node))->source);
        }
    }
    return known;
}

int
ConfigCheck_References(const ConfigState *state, Error *error)
{
    for (ConfigKind kind = CONFIG_CALLER; kind <= CONFIG_SELECTOR; kind++) {
        ConfigCursor cursor = {0};
        const ConfigObject *object;

        while ((object = ConfigState_Next(state, kind, &cursor)) != NULL) {
            ConfigKind missing;
            Str name;

            if (ConfigRule_FirstMissing(state, object, &missing, &name)) {
                return Error_Set(error, ERR_PARSE, "snapshot-load", STR(""),
                                 "%s." STR_FORMAT " is missing",
                                 ConfigObject_KindName(missing),
                                 STR_ARGS(name));
            }
        }
    }
    return 0;
}

bool
ConfigCheck_WouldRevert(const ConfigState *now, const ConfigState *next)
{
    for (ConfigKind kind = 0; kind < CONFIG_KINDS; kind++) {
        GTree *tree = ConfigTable_Tree(now->table, kind);

        for (GTreeNode *node = g_tree_node_first(tree); node != NULL;
             node = g_tree_node_next(node)) {
            const ConfigEntry *entry = g_tree_node_value(node);

            if (entry->source->offset < next->offset &&
                ConfigState_ChangeOffset(next, kind, entry->name) <=
                    entry->source->offset) {
                return true;
            }
        }
    }
    return false;
}
