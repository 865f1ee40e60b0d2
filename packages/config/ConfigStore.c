/*
 * Text format of a snapshot, equal on every host with the same offset:
 *
 *   agatecrank-snapshot 1
 *   offset N
 *   accepted N
 *   digest HEX                    hash chain over all records
 *   floor N                       deletions at offsets below N are dropped
 *   record OFFSET LENGTH ITEM...  then LENGTH bytes and a newline
 *   history AUTHOR MIN-BASE ITEM...
 *   end
 *   sha256 HEX                    of all bytes before this line
 *
 * The items of a record are oN (object number N of its document is in force)
 * and dN:LINE (its deletion number N is kept; LINE is the line that owned the
 * deleted object, or - for none). A record without items is kept because it
 * defined the key of the author of another record. MIN-BASE is
 * ConfigHistory_MinBase(). ITEM of a history is ID:OFFSET:OUTCOME, with the
 * number of the ConfigOutcome.
 */
#include <openssl/sha.h>
#include <stdlib.h>
#include <string.h>

#include "ConfigStatePrivate.h"

/* One reason to include the record of @source in the snapshot. */
typedef struct SnapshotItem_ {
    const ConfigSource *source;
    enum { ITEM_AUTHORITY, ITEM_OBJECT, ITEM_DELETION } type;
    size_t index;
    const char *owner;
} SnapshotItem;

static int
compare_items(const void *a, const void *b)
{
    const SnapshotItem *left = a;
    const SnapshotItem *right = b;

    if (left->source->offset != right->source->offset) {
        return left->source->offset < right->source->offset ? -1 : 1;
    }
    if (left->type != right->type) {
        return left->type < right->type ? -1 : 1;
    }
    return (left->index > right->index) - (left->index < right->index);
}

static size_t
deletion_index(const ConfigEntry *entry)
{
    size_t count;
    const ConfigDeletion *deletions =
        ConfigDocument_Deletions(entry->source->document, &count);
    size_t i = 0;

    while (deletions[i].kind != entry->kind ||
           !Str_Equal(deletions[i].name, entry->name)) {
        i++;
    }
    return i;
}

static SnapshotItem
item_of_entry(const ConfigEntry *entry)
{
    SnapshotItem item = {.source = entry->source, .type = ITEM_OBJECT};
    size_t count;

    if (entry->object != NULL) {
        item.index =
            (size_t)(entry->object -
                     ConfigDocument_Objects(entry->source->document, &count));
        return item;
    }
    item.type = ITEM_DELETION;
    item.index = deletion_index(entry);
    item.owner = entry->owner;
    return item;
}

static void
add_authorities(GArray *items, GHashTable *seen, const ConfigSource *source)
{
    for (source = source->authority; source != NULL;
         source = source->authority) {
        SnapshotItem item = {.source = source, .type = ITEM_AUTHORITY};

        if (!g_hash_table_add(seen, (gpointer)source)) {
            return;
        }
        g_array_append_val(items, item);
    }
}

static GArray *
collect_items(const ConfigState *this)
{
    GArray *items = g_array_new(FALSE, FALSE, sizeof(SnapshotItem));
    GHashTable *seen = g_hash_table_new(NULL, NULL);

    for (ConfigKind kind = 0; kind < CONFIG_KIND_COUNT; kind++) {
        GTree *tree = ConfigTable_Tree(this->table, kind);

        for (GTreeNode *node = g_tree_node_first(tree); node != NULL;
             node = g_tree_node_next(node)) {
            const ConfigEntry *entry = g_tree_node_value(node);
            SnapshotItem item = item_of_entry(entry);

            g_array_append_val(items, item);
            add_authorities(items, seen, entry->source);
        }
    }
    g_hash_table_destroy(seen);
    qsort(items->data, items->len, sizeof(SnapshotItem), compare_items);
    return items;
}

static void
write_item(const SnapshotItem *item, GString *out)
{
    switch (item->type) {
    case ITEM_AUTHORITY:
        return;
    case ITEM_OBJECT:
        g_string_append_printf(out, " o%zu", item->index);
        return;
    case ITEM_DELETION:
        g_string_append_printf(out, " d%zu:%s", item->index,
                               item->owner[0] != '\0' ? item->owner : "-");
        return;
    }
}

static void
write_records(const ConfigState *this, GString *out)
{
    GArray *items = collect_items(this);
    guint i = 0;

    while (i < items->len) {
        const ConfigSource *source =
            g_array_index(items, SnapshotItem, i).source;

        g_string_append_printf(out, "record %llu %zu",
                               (unsigned long long)source->offset,
                               source->record->len);
        for (; i < items->len; i++) {
            const SnapshotItem *item = &g_array_index(items, SnapshotItem, i);

            if (item->source != source) {
                break;
            }
            write_item(item, out);
        }
        g_string_append_c(out, '\n');
        Str_AppendTo(Str_FromString(source->record), out);
        g_string_append_c(out, '\n');
    }
    g_array_free(items, TRUE);
}

static void
write_history(const char *author, const ConfigHistory *history, GString *out)
{
    const HistoryItem *item;

    g_string_append_printf(out, "history %s %llu", author,
                           (unsigned long long)ConfigHistory_MinBase(history));
    for (size_t i = 0; (item = ConfigHistory_Get(history, i)) != NULL; i++) {
        g_string_append_printf(out, " %s:%llu:%d", item->id,
                               (unsigned long long)item->offset,
                               item->outcome);
    }
    g_string_append_c(out, '\n');
}

static void
write_histories(const ConfigState *this, GString *out)
{
    GTree *tree = ConfigTable_Tree(this->table, CONFIG_OPERATOR);

    for (GTreeNode *node = g_tree_node_first(tree); node != NULL;
         node = g_tree_node_next(node)) {
        const ConfigEntry *entry = g_tree_node_value(node);
        char *name = g_strndup(entry->name.data, entry->name.length);
        const ConfigHistory *history =
            g_hash_table_lookup(this->histories, name);

        if (history != NULL) {
            write_history(name, history, out);
        }
        g_free(name);
    }
}

static void
write_hex(const uint8_t *bytes, size_t length, GString *out)
{
    for (size_t i = 0; i < length; i++) {
        g_string_append_printf(out, "%02x", bytes[i]);
    }
}

int
ConfigState_WriteSnapshot(const ConfigState *this, GString *out)
{
    uint8_t digest[SHA256_DIGEST_LENGTH];
    size_t start = out->len;

    g_string_append_printf(out,
                           "agatecrank-snapshot 1\noffset %llu\n"
                           "accepted %llu\ndigest ",
                           (unsigned long long)this->offset,
                           (unsigned long long)this->accepted);
    write_hex(this->digest, CONFIG_DIGEST_BYTES, out);
    g_string_append_printf(out, "\nfloor %llu\n",
                           (unsigned long long)this->tombstone_floor);
    write_records(this, out);
    write_histories(this, out);
    g_string_append(out, "end\n");
    SHA256((const unsigned char *)out->str + start, out->len - start, digest);
    g_string_append(out, "sha256 ");
    write_hex(digest, sizeof(digest), out);
    g_string_append_c(out, '\n');
    return 0;
}
