#ifndef AGATECRANK_CORE_GOSSIPWRITER_H
#define AGATECRANK_CORE_GOSSIPWRITER_H

#include "GossipTargets.h"
#include "ItemStore.h"

/**
 * struct GossipWriteOptions_ - parameters of one message
 * @self: record of this host
 * @announce_self: other hosts may not know the current record of this host
 * @limit: largest encoded length, in bytes
 */
typedef struct GossipWriteOptions_ {
    PeerEnvelope envelope;
    const Target *target;
    const Member *self;
    bool announce_self;
    size_t limit;
    Micros now;
} GossipWriteOptions;

/** typedef GossipWriter - chooses the contents of gossip messages */
typedef struct GossipWriter_ GossipWriter;

/** GossipWriter_Create() - all arguments are borrowed */
GossipWriter *GossipWriter_Create(MemberTable *members, ItemStore *items,
                                  Random *random);

/** GossipWriter_Destroy() - release everything */
void GossipWriter_Destroy(GossipWriter *this);

/**
 * GossipWriter_RequestRecord() - request the record of @tag from a peer
 *
 * The request goes out with the next message.
 *
 * Return: false if too many requests are pending.
 */
bool GossipWriter_RequestRecord(GossipWriter *this, uint32_t tag);

/** GossipWriter_Write() - replace @bytes by a message; 0 or a negative error
 */
int GossipWriter_Write(GossipWriter *this, const GossipWriteOptions *options,
                       GString *bytes);

/** GossipWriter_Bytes() - memory used, in bytes */
size_t GossipWriter_Bytes(const GossipWriter *this);

#endif
