#ifndef AGATECRANK_CORE_ITEMSTORE_H
#define AGATECRANK_CORE_ITEMSTORE_H

#include "Membership.h"

/** ITEM_HOPS_MAX - an item that passed so many hosts is not passed on */
#define ITEM_HOPS_MAX 16

/**
 * struct StoredItem_ - the newest version of an item that is known here
 * @item: age is not kept; see @observed
 * @observed: local time at which the origin saw it
 * @urgent_sends_left: urgent messages that should still carry it
 * @sends_left: messages that should still carry it
 * @last_send: number of its last sending among those of all items; 0: never
 * @unread: not yet returned by ItemStore_NextUnread()
 */
typedef struct StoredItem_ {
    SharedItem item;
    uint64_t key;
    char *text; /* owns the strings of the item */
    Micros observed;
    uint32_t stamp_ms;
    uint32_t hops;
    uint32_t urgent_sends_left;
    uint32_t sends_left;
    uint64_t last_send;
    bool own;
    bool unread;
} StoredItem;

/** enum ItemChange_ - what became of an item */
typedef enum ItemChange_ {
    ITEM_IGNORED,   /* not newer than what is known */
    ITEM_REFRESHED, /* says again what is known already */
    ITEM_NEW,
} ItemChange;

/** typedef ItemStore - shared items of all hosts, bounded in number */
typedef struct ItemStore_ ItemStore;

/** ItemStore_Create() - at most @max items; @counters is borrowed */
ItemStore *ItemStore_Create(uint32_t max, MembershipCounters *counters);

/** ItemStore_Destroy() - release it */
void ItemStore_Destroy(ItemStore *this);

/**
 * ItemStore_Put() - take an item
 * @own: seen by this host
 * @retransmits: messages that carry an urgent item
 */
ItemChange ItemStore_Put(ItemStore *this, const GossipItem *item, bool own,
                         uint32_t retransmits, Micros now);

/** ItemStore_NextUnread() - next unread item of another host */
bool ItemStore_NextUnread(ItemStore *this, SharedItem *item, Micros now);

/** ItemStore_DropOrigin() - forget items of a host's earlier incarnations */
void ItemStore_DropOrigin(ItemStore *this, Str host, uint64_t incarnation);

/** ItemStore_Purge() - forget items that are too old */
void ItemStore_Purge(ItemStore *this, Micros now);

/** ItemStore_HasUrgent() - items wait for urgent messages */
bool ItemStore_HasUrgent(const ItemStore *this);

/**
 * ItemStore_Select() - items for a message, the most urgent first
 *
 * Return: number of items written, at most @max.
 */
size_t ItemStore_Select(ItemStore *this, StoredItem **items, size_t max,
                        Micros now);

/** ItemStore_OnSent() - an item of _Select() is in a message */
void ItemStore_OnSent(ItemStore *this, StoredItem *item, bool urgent);

/** ItemStore_Bytes() - memory held */
size_t ItemStore_Bytes(const ItemStore *this);

#endif
