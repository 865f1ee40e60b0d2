#include "ConfigHistory.h"

#include <string.h>

struct ConfigHistory_ {
    GArray *items; /* HistoryItem; a ring once it is full */
    size_t first;  /* oldest item */
    size_t limit;
    uint64_t floor;
};

static void
clear_item(gpointer item)
{
    g_free(((HistoryItem *)item)->text);
}

ConfigHistory *
ConfigHistory_Create(size_t limit, uint64_t floor)
{
    ConfigHistory *this = g_new0(ConfigHistory, 1);

    this->items = g_array_new(FALSE, FALSE, sizeof(HistoryItem));
    g_array_set_clear_func(this->items, clear_item);
    this->limit = limit;
    this->floor = floor;
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
    ConfigHistory *copy = ConfigHistory_Create(this->limit, this->floor);
    const HistoryItem *item;

    for (size_t i = 0; (item = ConfigHistory_Get(this, i)) != NULL; i++) {
        ConfigHistory_Add(copy, Str_FromC(item->id), item->offset,
                          item->outcome, Str_FromC(item->text));
    }
    return copy;
}

/* Place for a new item; the oldest one makes way once the ring is full. */
static HistoryItem *
next_place(ConfigHistory *this)
{
    HistoryItem *place;

    if (this->items->len < this->limit) {
        g_array_set_size(this->items, this->items->len + 1);
        return &g_array_index(this->items, HistoryItem, this->items->len - 1);
    }
    place = &g_array_index(this->items, HistoryItem, this->first);
    this->first = (this->first + 1) % this->limit;
    this->floor = MAX(this->floor, place->offset + 1);
    g_free(place->text);
    return place;
}

void
ConfigHistory_Add(ConfigHistory *this, Str id, uint64_t offset,
                  ConfigOutcome outcome, Str text)
{
    HistoryItem *item = next_place(this);

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
    return this->floor;
}

const HistoryItem *
ConfigHistory_Get(const ConfigHistory *this, size_t index)
{
    if (index >= this->items->len) {
        return NULL;
    }
    return &g_array_index(this->items, HistoryItem,
                          (this->first + index) % this->items->len);
}
