#include "ItemStore.h"

#include <string.h>

/* Two hosts may observe the same event at about the same time. Observations
 * with equal content within this time count as one. */
#define SAME_OBSERVATION_US (500 * MICROS_PER_MS)
/* Usage is replaced every 50 ms, so more retransmissions are not worth their
 * bytes. */
#define USAGE_RETRANSMIT_COUNT 2
#define ITEMS_SELECTED_MAX 256

struct ItemStore_ {
    StoredItem **items;
    size_t count;
    size_t max;
    size_t unread_count;
    size_t urgent_count; /* items with urgent_sends_left above 0 */
    size_t next_read;    /* index for ItemStore_NextUnread() */
    size_t strings_bytes;
    uint64_t send_count; /* transmissions so far, of all items */
    GHashTable *by_key;  /* SharedItem_Key() to StoredItem */
    MembershipCounters *counters;
};

ItemStore *
ItemStore_Create(uint32_t max, MembershipCounters *counters)
{
    ItemStore *this = g_new0(ItemStore, 1);

    this->max = max;
    this->items = g_new0(StoredItem *, max);
    this->by_key = g_hash_table_new(g_int64_hash, g_int64_equal);
    this->counters = counters;
    return this;
}

static void
release_item(StoredItem *item)
{
    g_free(item->text);
    g_free(item);
}

void
ItemStore_Destroy(ItemStore *this)
{
    for (size_t i = 0; i < this->count; i++) {
        release_item(this->items[i]);
    }
    g_hash_table_destroy(this->by_key);
    g_free(this->items);
    g_free(this);
}

static void
set_unread(ItemStore *this, StoredItem *item, bool unread)
{
    this->unread_count += (size_t)unread - (size_t)item->unread;
    item->unread = unread;
}

static void
set_urgent_sends(ItemStore *this, StoredItem *item, uint32_t left)
{
    this->urgent_count +=
        (size_t)(left > 0) - (size_t)(item->urgent_sends_left > 0);
    item->urgent_sends_left = left;
}

static size_t
strings_length(const StoredItem *item)
{
    SharedItem copy = item->item;
    SharedStrings list = SharedItem_Strings(&copy);
    size_t length = 0;

    for (size_t i = 0; i < list.count; i++) {
        length += list.strings[i]->length;
    }
    return length;
}

static void
drop_at(ItemStore *this, size_t index)
{
    StoredItem *item = this->items[index];

    set_unread(this, item, false);
    set_urgent_sends(this, item, 0);
    this->strings_bytes -= strings_length(item);
    g_hash_table_remove(this->by_key, &item->key);
    release_item(item);
    this->items[index] = this->items[--this->count];
}

/* Makes space in a full store by dropping the oldest observation. */
static void
drop_oldest(ItemStore *this)
{
    size_t oldest = 0;

    for (size_t i = 1; i < this->count; i++) {
        if (this->items[i]->observed < this->items[oldest]->observed) {
            oldest = i;
        }
    }
    this->counters->items_dropped++;
    drop_at(this, oldest);
}

/* Copies the borrowed strings of an item into a buffer of its own. */
static void
copy_strings(ItemStore *this, StoredItem *stored)
{
    SharedStrings list = SharedItem_Strings(&stored->item);
    size_t used = 0;
    char *text = g_malloc(strings_length(stored) + 1);

    for (size_t i = 0; i < list.count; i++) {
        Str *string = list.strings[i];

        if (string->length > 0) {
            memcpy(text + used, string->data, string->length);
        }
        string->data = text + used;
        used += string->length;
    }
    this->strings_bytes += used;
    g_free(stored->text);
    stored->text = text;
}

static bool
same_origin(const SharedItem *a, const SharedItem *b)
{
    return a->incarnation == b->incarnation && Str_Equal(a->host, b->host);
}

/* Decides whether another version of an item replaces the known one. */
static ItemChange
compare_versions(const StoredItem *known, const GossipItem *item,
                 Micros observed)
{
    const SharedItem *new_item = &item->item;
    bool same = SharedItem_SameContent(&known->item, new_item);

    if (same_origin(&known->item, new_item)) {
        if (item->stamp_ms <= known->stamp_ms) {
            return ITEM_IGNORED;
        }
    }
    else if (new_item->kind == SHARED_USAGE) {
        /* The key includes the host, so only the incarnation differs. */
        return new_item->incarnation > known->item.incarnation ? ITEM_NEW
                                                               : ITEM_IGNORED;
    }
    if (new_item->kind == SHARED_CONFIG_OFFSET &&
        new_item->config.offset < known->item.config.offset) {
        return ITEM_IGNORED;
    }
    if (same) {
        return observed > known->observed + SAME_OBSERVATION_US
                   ? ITEM_REFRESHED
                   : ITEM_IGNORED;
    }
    if (new_item->kind == SHARED_CONFIG_OFFSET) {
        return ITEM_NEW;
    }
    return observed > known->observed ? ITEM_NEW : ITEM_IGNORED;
}

static bool
is_urgent_kind(SharedKind kind)
{
    return kind == SHARED_DRAIN || kind == SHARED_FINGERPRINT ||
           kind == SHARED_CONFIG_OFFSET;
}

/* Sets how often the item is sent. Refreshed items keep their urgent sends. */
static void
schedule_sends(ItemStore *this, StoredItem *stored, ItemChange change,
               uint32_t retransmits)
{
    SharedKind kind = stored->item.kind;
    bool relayed = stored->own || stored->hops < ITEM_HOPS_MAX;
    uint32_t sends = stored->urgent_sends_left;

    if (change == ITEM_NEW) {
        sends = is_urgent_kind(kind) ? retransmits : 0;
    }
    set_urgent_sends(this, stored, relayed ? sends : 0);
    stored->sends_left =
        kind == SHARED_USAGE ? USAGE_RETRANSMIT_COUNT : retransmits;
    if (!relayed) {
        stored->sends_left = 0;
    }
    set_unread(this, stored, !stored->own);
}

static StoredItem *
add_item(ItemStore *this, uint64_t key)
{
    StoredItem *stored;

    if (this->count == this->max) {
        drop_oldest(this);
    }
    stored = g_new0(StoredItem, 1);
    stored->key = key;
    this->items[this->count++] = stored;
    g_hash_table_insert(this->by_key, &stored->key, stored);
    return stored;
}

ItemChange
ItemStore_Put(ItemStore *this, const GossipItem *item, bool own,
              uint32_t retransmits, Micros now)
{
    uint64_t key = SharedItem_Key(&item->item);
    StoredItem *stored = g_hash_table_lookup(this->by_key, &key);
    Micros observed = now - item->item.age;
    ItemChange change = ITEM_NEW;

    if (item->item.age >= SharedKind_MaxAge(item->item.kind)) {
        return ITEM_IGNORED;
    }
    if (stored != NULL) {
        change = compare_versions(stored, item, observed);
    }
    if (change == ITEM_IGNORED) {
        return change;
    }
    if (stored == NULL) {
        stored = add_item(this, key);
    }
    else {
        this->strings_bytes -= strings_length(stored);
    }
    stored->item = item->item;
    copy_strings(this, stored);
    stored->observed = observed;
    stored->stamp_ms = item->stamp_ms;
    stored->hops = item->hops;
    stored->own = own;
    schedule_sends(this, stored, change, retransmits);
    return change;
}

static bool
is_expired(const StoredItem *item, Micros now)
{
    return now - item->observed >= SharedKind_MaxAge(item->item.kind);
}

bool
ItemStore_NextUnread(ItemStore *this, SharedItem *item, Micros now)
{
    while (this->unread_count > 0) {
        StoredItem *stored;

        if (this->next_read >= this->count) {
            this->next_read = 0;
        }
        stored = this->items[this->next_read++];
        if (!stored->unread) {
            continue;
        }
        set_unread(this, stored, false);
        if (!is_expired(stored, now)) {
            *item = stored->item;
            item->age = now - stored->observed;
            return true;
        }
    }
    return false;
}

void
ItemStore_DropOrigin(ItemStore *this, Str host, uint64_t incarnation)
{
    size_t i = 0;

    while (i < this->count) {
        const SharedItem *item = &this->items[i]->item;

        if (item->incarnation < incarnation && Str_Equal(item->host, host)) {
            this->counters->items_dropped++;
            drop_at(this, i);
        }
        else {
            i++;
        }
    }
}

/* Expired items are kept for a second maximum age. A host that lags behind may
 * still relay a copy, which must not be taken for a new item. */
void
ItemStore_Purge(ItemStore *this, Micros now)
{
    size_t i = 0;

    while (i < this->count) {
        StoredItem *item = this->items[i];

        if (is_expired(item, now)) {
            set_urgent_sends(this, item, 0);
        }
        if (now - item->observed >= 2 * SharedKind_MaxAge(item->item.kind)) {
            this->counters->items_expired++;
            drop_at(this, i);
        }
        else {
            i++;
        }
    }
}

bool
ItemStore_HasUrgent(const ItemStore *this)
{
    return this->urgent_count > 0;
}

/* Items of smaller rank are sent first: those with urgent sends left, then
 * those with other sends left, then the rest; in each group by kind, then the
 * newest. */
static uint64_t
send_rank(const StoredItem *item, Micros now)
{
    uint64_t age = (uint64_t)MAX(now - item->observed, 0);
    uint64_t group = item->urgent_sends_left > 0 ? 0
                     : item->sends_left > 0      ? 1
                                                 : 2;

    /* Own usage ranks in the first group. It may exceed one message, so the
     * least recently sent goes first. */
    if (item->own && item->item.kind == SHARED_USAGE) {
        return ((uint64_t)SHARED_USAGE << 56) | item->last_send;
    }
    return (group << 60) | ((uint64_t)item->item.kind << 56) | age;
}

typedef struct RankedItem_ {
    uint64_t rank;
    StoredItem *item;
} RankedItem;

/* Keeps the @max smallest ranks in a max-heap. */
static void
heap_offer(RankedItem *heap, size_t *count, size_t max, RankedItem entry)
{
    size_t i;

    if (*count < max) {
        i = (*count)++;
        while (i > 0 && heap[(i - 1) / 2].rank < entry.rank) {
            heap[i] = heap[(i - 1) / 2];
            i = (i - 1) / 2;
        }
        heap[i] = entry;
        return;
    }
    if (entry.rank >= heap[0].rank) {
        return;
    }
    i = 0;
    for (size_t child = 1; child < *count; child = 2 * i + 1) {
        if (child + 1 < *count && heap[child + 1].rank > heap[child].rank) {
            child++;
        }
        if (heap[child].rank <= entry.rank) {
            break;
        }
        heap[i] = heap[child];
        i = child;
    }
    heap[i] = entry;
}

static int
compare_ranked(const void *a, const void *b)
{
    uint64_t left = ((const RankedItem *)a)->rank;
    uint64_t right = ((const RankedItem *)b)->rank;

    return left < right ? -1 : left > right;
}

size_t
ItemStore_Select(ItemStore *this, StoredItem **items, size_t max, Micros now)
{
    RankedItem heap[ITEMS_SELECTED_MAX] = {0};
    size_t count = 0;

    max = MIN(max, ITEMS_SELECTED_MAX);
    for (size_t i = 0; i < this->count; i++) {
        StoredItem *item = this->items[i];

        if ((item->own || item->hops < ITEM_HOPS_MAX) &&
            !is_expired(item, now)) {
            heap_offer(heap, &count, max,
                       (RankedItem){send_rank(item, now), item});
        }
    }
    qsort(heap, count, sizeof(RankedItem), compare_ranked);
    for (size_t i = 0; i < count; i++) {
        items[i] = heap[i].item;
    }
    return count;
}

void
ItemStore_OnSent(ItemStore *this, StoredItem *item, bool urgent)
{
    item->last_send = ++this->send_count;
    if (item->sends_left > 0) {
        item->sends_left--;
    }
    if (urgent && item->urgent_sends_left > 0) {
        set_urgent_sends(this, item, item->urgent_sends_left - 1);
    }
}

size_t
ItemStore_Bytes(const ItemStore *this)
{
    return sizeof(*this) + this->max * sizeof(StoredItem *) +
           this->count * (sizeof(StoredItem) + 4 * sizeof(void *)) +
           this->strings_bytes;
}
