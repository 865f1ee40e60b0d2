#include "ConfigHistory.h"

#include <string.h>

struct ConfigHistory_ {
    GArray *items; /* HistoryItem; a ring buffer once it is full */
    size_t oldest; /* index of the oldest item */
    size_t limit;
    uint64_t min_base;
};

static void
clear_item(gpointer item)
{
    g_free(((HistoryItem *)item)->text);
}

ConfigHistory *
ConfigHistory_Create(size_t limit, uint64_t min_base)
{
    ConfigHistory *this = g_new0(ConfigHistory, 1);

    this->items = g_array_new(FALSE, FALSE, sizeof(HistoryItem));
    g_array_set_clear_func(this->items, clear_item);
    this->limit = limit;
    this->min_base = min_base;
    return this;
}

void
ConfigHistory_Destroy(ConfigHistory *this)
{
    if (this == NULL) {
        return;
    }
    g_array_free(this->items, TRUE);
    g_free(this);
}

ConfigHistory *
ConfigHistory_Clone(const ConfigHistory *this)
{
    ConfigHistory *copy = ConfigHistory_Create(this->limit, this->min_base);
    const HistoryItem *item;

    for (size_t i = 0; (item = ConfigHistory_Get(this, i)) != NULL; i++) {
        ConfigHistory_Add(copy, Str_FromC(item->id), item->offset,
                          item->outcome, Str_FromC(item->text));
    }
    return copy;
}

/* Returns the slot for a new item; evicts the oldest one if full. */
static HistoryItem *
next_slot(ConfigHistory *this)
{
    HistoryItem *slot;

    if (this->items->len < this->limit) {
        g_array_set_size(this->items, this->items->len + 1);
        return &g_array_index(this->items, HistoryItem, this->items->len - 1);
    }
    slot = &g_array_index(this->items, HistoryItem, this->oldest);
    this->oldest = (this->oldest + 1) % this->limit;
    this->min_base = MAX(this->min_base, slot->offset + 1);
    g_free(slot->text);
    return slot;
}

void
ConfigHistory_Add(ConfigHistory *this, Str id, uint64_t offset,
                  ConfigOutcome outcome, Str text)
{
    HistoryItem *item = next_slot(this);

    memset(item, 0, sizeof(*item));
    item->hash = Str_Hash(id);
    item->offset = offset;
    item->outcome = outcome;
    memcpy(item->id, id.data, id.length);
    if (text.length > 0) {
        item->text =
            g_strndup(text.data, MIN(text.length, HISTORY_TEXT_BYTES_MAX));
    }
}

const HistoryItem *
ConfigHistory_Find(const ConfigHistory *this, Str id)
{
    uint64_t hash = Str_Hash(id);

    for (size_t i = 0; i < this->items->len; i++) {
        const HistoryItem *item = &g_array_index(this->items, HistoryItem, i);

        if (item->hash == hash && Str_Equal(Str_FromC(item->id), id)) {
            return item;
        }
    }
    return NULL;
}

uint64_t
ConfigHistory_MinBase(const ConfigHistory *this)
{
    return this->min_base;
}

const HistoryItem *
ConfigHistory_Get(const ConfigHistory *this, size_t index)
{
    if (index >= this->items->len) {
        return NULL;
    }
    return &g_array_index(this->items, HistoryItem,
                          (this->oldest + index) % this->items->len);
}
