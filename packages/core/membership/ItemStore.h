#ifndef AGATECRANK_CORE_ITEMSTORE_H
#define AGATECRANK_CORE_ITEMSTORE_H

#include "Membership.h"

/** ITEM_HOPS_MAX - an item that has passed this many hosts is not relayed */
#define ITEM_HOPS_MAX 16

/**
 * struct StoredItem_ - newest known version of a shared item
 * @item: its age is not maintained; see @observed
 * @key: see SharedItem_Key()
 * @text: buffer that holds the strings of @item
 * @observed: local time at which the origin observed it
 * @urgent_sends_left: urgent messages that are still to carry it
 * @sends_left: messages of any kind that are still to carry it
 * @last_send: number of its last transmission, counted over all items; 0:
 *             never sent
 * @own: this host is the origin
 * @unread: not yet returned by ItemStore_NextUnread()
 */
typedef struct StoredItem_ {
    SharedItem item;
    uint64_t key;
    char *text;
    Micros observed;
    uint32_t stamp_ms;
    uint32_t hops;
    uint32_t urgent_sends_left;
    uint32_t sends_left;
    uint64_t last_send;
    bool own;
    bool unread;
} StoredItem;

/** enum ItemChange_ - result of ItemStore_Put() */
typedef enum ItemChange_ {
    ITEM_IGNORED,   /* too old, or not newer than the stored version */
    ITEM_REFRESHED, /* newer observation with the same content */
    ITEM_NEW,
} ItemChange;

/** typedef ItemStore - bounded store of the shared items of all hosts */
typedef struct ItemStore_ ItemStore;

/** ItemStore_Create() - at most @max items; @counters is borrowed */
ItemStore *ItemStore_Create(uint32_t max, MembershipCounters *counters);

/** ItemStore_Destroy() - release everything */
void ItemStore_Destroy(ItemStore *this);

/**
 * ItemStore_Put() - store an item if it is newer than the known version
 * @own: this host is the origin
 * @retransmits: number of messages that should carry the item
 */
ItemChange ItemStore_Put(ItemStore *this, const GossipItem *item, bool own,
                         uint32_t retransmits, Micros now);

/** ItemStore_NextUnread() - next unread item of another host; false if there
 * is none */
bool ItemStore_NextUnread(ItemStore *this, SharedItem *item, Micros now);

/** ItemStore_DropOrigin() - drop the items of a host's earlier incarnations */
void ItemStore_DropOrigin(ItemStore *this, Str host, uint64_t incarnation);

/** ItemStore_Purge() - drop items older than twice their maximum age */
void ItemStore_Purge(ItemStore *this, Micros now);

/** ItemStore_HasUrgent() - true if items wait for urgent messages */
bool ItemStore_HasUrgent(const ItemStore *this);

/**
 * ItemStore_Select() - choose items for a message, the most urgent first
 *
 * Return: number of items written, at most @max.
 */
size_t ItemStore_Select(ItemStore *this, StoredItem **items, size_t max,
                        Micros now);

/**
 * ItemStore_OnSent() - count one transmission of an item
 * @item: from ItemStore_Select()
 * @urgent: sent in an urgent message
 */
void ItemStore_OnSent(ItemStore *this, StoredItem *item, bool urgent);

/** ItemStore_Bytes() - memory used, in bytes */
size_t ItemStore_Bytes(const ItemStore *this);

#endif
