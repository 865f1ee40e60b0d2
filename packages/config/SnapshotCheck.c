#include "SnapshotCheck.h"

static void
add_verified(GHashTable *verified, ConfigSource *source)
{
    for (; source != NULL &&
           g_hash_table_insert(verified, &source->offset, source);
         source = source->authority) {
    }
}

GHashTable *
SnapshotCheck_VerifiedSources(const ConfigState *state)
{
    GHashTable *verified = g_hash_table_new(g_int64_hash, g_int64_equal);

    for (ConfigKind kind = 0; kind < CONFIG_KIND_COUNT; kind++) {
        GTree *tree = ConfigTable_Tree(state->table, kind);

        for (GTreeNode *node = g_tree_node_first(tree); node != NULL;
             node = g_tree_node_next(node)) {
            add_verified(verified,
                         ((ConfigEntry *)g_tree_node_value(node))->source);
        }
    }
    return verified;
}

int
SnapshotCheck_References(const ConfigState *state, Error *error)
{
    for (ConfigKind kind = CONFIG_CALLER; kind <= CONFIG_SELECTOR; kind++) {
        ConfigCursor cursor = {0};
        const ConfigObject *object;

        while ((object = ConfigState_Next(state, kind, &cursor)) != NULL) {
            ConfigKind missing;
            Str name;

            if (ConfigRule_FirstMissing(state, object, &missing, &name)) {
                return Error_Set(error, ERR_PARSE, "snapshot-load", STR(""),
                                 "snapshot refers to missing object "
                                 "%s." STR_FORMAT,
                                 ConfigObject_KindName(missing),
                                 STR_ARGS(name));
            }
        }
    }
    return 0;
}

bool
SnapshotCheck_WouldRevert(const ConfigState *current, const ConfigState *next)
{
    for (ConfigKind kind = 0; kind < CONFIG_KIND_COUNT; kind++) {
        GTree *tree = ConfigTable_Tree(current->table, kind);

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
