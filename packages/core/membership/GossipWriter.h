#ifndef AGATECRANK_CORE_GOSSIPWRITER_H
#define AGATECRANK_CORE_GOSSIPWRITER_H

#include "GossipTargets.h"
#include "ItemStore.h"

/**
 * struct GossipWriteOptions_ - the message to write
 * @self: this host
 * @announce_self: others may not know the record of this host
 * @limit: bytes that it may have
 */
typedef struct GossipWriteOptions_ {
    PeerEnvelope envelope;
    const Target *target;
    const Member *self;
    bool announce_self;
    size_t limit;
    Micros now;
} GossipWriteOptions;

/** typedef GossipWriter - chooses what goes into each message */
typedef struct GossipWriter_ GossipWriter;

/** GossipWriter_Create() - everything passed in is borrowed */
GossipWriter *GossipWriter_Create(MemberTable *members, ItemStore *items,
                                  Random *random);

/** GossipWriter_Destroy() - release it */
void GossipWriter_Destroy(GossipWriter *this);

/** GossipWriter_RequestRecord() - ask for the record of @tag; false if too many */
bool GossipWriter_RequestRecord(GossipWriter *this, uint32_t tag);

/** GossipWriter_Write() - replace @bytes by a message; 0 or an error */
int GossipWriter_Write(GossipWriter *this, const GossipWriteOptions *options,
                       GString *bytes);

/** GossipWriter_Bytes() - memory held */
size_t GossipWriter_Bytes(const GossipWriter *this);

#endif
