#include "DueSet.h"

#include <glib.h>

struct DueSet_ {
    GTree *entries; /* DueEntry to itself */
    uint64_t next_order;
};

static gint
compare(gconstpointer a, gconstpointer b, gpointer user)
{
    const DueEntry *x = a;
    const DueEntry *y = b;

    if (x->due != y->due) {
        return x->due < y->due ? -1 : 1;
    }
    return x->order < y->order ? -1 : x->order > y->order;
}

DueSet *
DueSet_Create(void)
{
    DueSet *this = g_new0(DueSet, 1);

    this->entries = g_tree_new_full(compare, NULL, NULL, NULL);
    return this;
}

void
DueSet_Destroy(DueSet *this)
{
    if (this == NULL) {
        return;
    }
    g_tree_destroy(this->entries);
    g_free(this);
}

void
DueSet_Set(DueSet *this, DueEntry *entry, Micros due)
{
    if (entry->in_set) {
        if (entry->due == due) {
            return;
        }
        g_tree_remove(this->entries, entry);
        entry->in_set = false;
    }
    if (due >= 0) {
        entry->due = due;
        entry->order = this->next_order++;
        entry->in_set = true;
        g_tree_insert(this->entries, entry, entry);
    }
}

DueEntry *
DueSet_First(const DueSet *this)
{
    GTreeNode *node = g_tree_node_first(this->entries);

    return node != NULL ? g_tree_node_key(node) : NULL;
}

Micros
DueSet_NextTime(const DueSet *this)
{
    const DueEntry *first = DueSet_First(this);

    return first != NULL ? first->due : -1;
}
