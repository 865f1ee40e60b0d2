#ifndef AGATECRANK_CORE_GOSSIPDRAFT_H
#define AGATECRANK_CORE_GOSSIPDRAFT_H

#include "Gossip.h"
#include "PeerMessage.h"

/** Names that the items of one message can use */
#define GOSSIP_NAMES_MAX (GOSSIP_ITEMS_MAX * 4)

/**
 * struct GossipDraft_ - a gossip message that is being filled
 * @bytes: upper bound of the encoded length so far
 * @limit: bytes that it may have
 */
typedef struct GossipDraft_ {
    Gossip gossip;
    size_t bytes;
    size_t limit;
    Str names[GOSSIP_NAMES_MAX];
    size_t name_count;
} GossipDraft;

/** GossipDraft_Begin() - an empty message of at most @limit bytes */
void GossipDraft_Begin(GossipDraft *this, const PeerEnvelope *envelope,
                       size_t limit);

/** GossipDraft_AddMember() - false if it does not fit */
bool GossipDraft_AddMember(GossipDraft *this, const GossipMember *member);

/** GossipDraft_AddHeartbeat() - false if it does not fit */
bool GossipDraft_AddHeartbeat(GossipDraft *this,
                              const GossipHeartbeat *heartbeat);

/** GossipDraft_AddRecordRequest() - false if it does not fit */
bool GossipDraft_AddRecordRequest(GossipDraft *this, uint32_t tag);

/** GossipDraft_AddItem() - false if it does not fit */
bool GossipDraft_AddItem(GossipDraft *this, const GossipItem *item);

/** GossipDraft_Finish() - put usage items that share a service together */
void GossipDraft_Finish(GossipDraft *this);

#endif
