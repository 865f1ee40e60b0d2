#ifndef AGATECRANK_CORE_GOSSIPDRAFT_H
#define AGATECRANK_CORE_GOSSIPDRAFT_H

#include "Gossip.h"
#include "PeerMessage.h"

/** GOSSIP_NAMES_MAX - distinct names that the items of a message can use */
#define GOSSIP_NAMES_MAX (GOSSIP_ITEMS_MAX * 4)

/**
 * struct GossipDraft_ - gossip message under construction
 * @bytes: upper bound of the encoded length so far
 * @limit: largest encoded length
 * @names: names used by the items so far; each is encoded once
 */
typedef struct GossipDraft_ {
    Gossip gossip;
    size_t bytes;
    size_t limit;
    Str names[GOSSIP_NAMES_MAX];
    size_t name_count;
} GossipDraft;

/** GossipDraft_Begin() - start an empty message of at most @limit bytes */
void GossipDraft_Begin(GossipDraft *this, const PeerEnvelope *envelope,
                       size_t limit);

/** GossipDraft_AddMember() - append a host record; false if it does not fit */
bool GossipDraft_AddMember(GossipDraft *this, const GossipMember *member);

/** GossipDraft_AddHeartbeat() - append one; false if it does not fit */
bool GossipDraft_AddHeartbeat(GossipDraft *this,
                              const GossipHeartbeat *heartbeat);

/** GossipDraft_AddRecordRequest() - append one; false if it does not fit */
bool GossipDraft_AddRecordRequest(GossipDraft *this, uint32_t tag);

/** GossipDraft_AddItem() - append a shared item; false if it does not fit */
bool GossipDraft_AddItem(GossipDraft *this, const GossipItem *item);

/**
 * GossipDraft_Finish() - sort the items
 *
 * Usage items that can be merged become neighbours, as the encoder expects.
 */
void GossipDraft_Finish(GossipDraft *this);

#endif
