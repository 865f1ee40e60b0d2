#ifndef AGATECRANK_CORE_GOSSIPTARGETS_H
#define AGATECRANK_CORE_GOSSIPTARGETS_H

#include "MemberTable.h"

/** GOSSIP_CONTACTS_MAX - entries of the host list that are kept */
#define GOSSIP_CONTACTS_MAX 256
/** GOSSIP_SEEDS_MAX - seeds that are kept */
#define GOSSIP_SEEDS_MAX 64
#define GOSSIP_TARGETS_MAX 8
#define GOSSIP_REPLIES_MAX 8

/** struct Contact_ - where a host is reached; @id is empty for a seed */
typedef struct Contact_ {
    char id[PEER_NAME_MAX + 1];
    char address[PEER_NAME_MAX + 1];
    uint8_t key[GOSSIP_KEY_BYTES];
    bool has_key;
} Contact;

typedef enum MessageKind_ {
    MESSAGE_REGULAR,
    MESSAGE_URGENT,
    MESSAGE_REPLY,  /* to a host that does not know enough: many records */
    MESSAGE_REJOIN, /* to a host that is not live: few bytes */
} MessageKind;

/** struct Target_ - receiver of a message that is to be written */
typedef struct Target_ {
    Contact contact;
    MessageKind kind;
} Target;

/** typedef GossipTargets - chooses the receivers of messages */
typedef struct GossipTargets_ GossipTargets;

/** GossipTargets_Create() - @options is read, the others are borrowed */
GossipTargets *GossipTargets_Create(const MembershipOptions *options,
                                    const MemberTable *members,
                                    Random *random);

/** GossipTargets_Destroy() - release it */
void GossipTargets_Destroy(GossipTargets *this);

/** GossipTargets_OnHostList() - see Membership_OnHostList() */
void GossipTargets_OnHostList(GossipTargets *this, const HostEntry *entries,
                              size_t count);

/** GossipTargets_AddRandomMember() - a random live member; false if there is none
 */
bool GossipTargets_AddRandomMember(GossipTargets *this, MessageKind kind,
                                   Micros now);

/** GossipTargets_AddNextMember() - the next live member in turn, for usage */
bool GossipTargets_AddNextMember(GossipTargets *this, MessageKind kind,
                                 Micros now);

/** GossipTargets_AddRejoinTarget() - a random seed, or a listed, suspect or
 * removed host that is not live; false if there is none */
bool GossipTargets_AddRejoinTarget(GossipTargets *this);

/** GossipTargets_QueueReply() - answer a host soon; bounded */
void GossipTargets_QueueReply(GossipTargets *this, Member *member, Micros now);

/** GossipTargets_AddReply() - make a target of one that waits for a reply */
bool GossipTargets_AddReply(GossipTargets *this);

/** GossipTargets_PendingReplies() and _Count() - how many wait */
size_t GossipTargets_PendingReplies(const GossipTargets *this);
size_t GossipTargets_Count(const GossipTargets *this);

/** GossipTargets_Pop() - the next target; false if there is none */
bool GossipTargets_Pop(GossipTargets *this, Target *target);

/** GossipTargets_Bytes() - memory held */
size_t GossipTargets_Bytes(const GossipTargets *this);

#endif
