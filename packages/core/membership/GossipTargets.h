#ifndef AGATECRANK_CORE_GOSSIPTARGETS_H
#define AGATECRANK_CORE_GOSSIPTARGETS_H

#include "MemberTable.h"

/** GOSSIP_CONTACTS_MAX - entries of the host list that are kept */
#define GOSSIP_CONTACTS_MAX 256
/** GOSSIP_SEEDS_MAX - seeds that are kept */
#define GOSSIP_SEEDS_MAX 64
/** GOSSIP_TARGETS_MAX, _REPLIES_MAX - capacities of the queues */
#define GOSSIP_TARGETS_MAX 8
#define GOSSIP_REPLIES_MAX 8

/** struct Contact_ - how to reach a host; @id is empty for a seed */
typedef struct Contact_ {
    char id[PEER_NAME_MAX + 1];
    char address[PEER_NAME_MAX + 1];
    uint8_t key[GOSSIP_KEY_BYTES];
    bool has_key;
} Contact;

/** enum MessageKind_ - determines the contents and budget of a message */
typedef enum MessageKind_ {
    MESSAGE_REGULAR,
    MESSAGE_URGENT,
    MESSAGE_REPLY,  /* to a host that lacks records; carries many */
    MESSAGE_REJOIN, /* to a host that is not live; short */
} MessageKind;

/** struct Target_ - receiver of a message that is yet to be written */
typedef struct Target_ {
    Contact contact;
    MessageKind kind;
} Target;

/** typedef GossipTargets - chooses the receivers of gossip messages */
typedef struct GossipTargets_ GossipTargets;

/**
 * GossipTargets_Create() - without targets
 * @options: read during the call only
 * @members, @random: borrowed
 */
GossipTargets *GossipTargets_Create(const MembershipOptions *options,
                                    const MemberTable *members,
                                    Random *random);

/** GossipTargets_Destroy() - release everything */
void GossipTargets_Destroy(GossipTargets *this);

/** GossipTargets_OnHostList() - see Membership_OnHostList() */
void GossipTargets_OnHostList(GossipTargets *this, const HostEntry *entries,
                              size_t count);

/**
 * GossipTargets_AddRandomMember() - add a random member
 *
 * Members with a recent heartbeat are preferred.
 *
 * Return: false if there is none.
 */
bool GossipTargets_AddRandomMember(GossipTargets *this, MessageKind kind,
                                   Micros now);

/**
 * GossipTargets_AddNextMember() - add the next live member, round-robin
 *
 * Return: false if there is none.
 */
bool GossipTargets_AddNextMember(GossipTargets *this, MessageKind kind,
                                 Micros now);

/**
 * GossipTargets_AddRejoinTarget() - add a random host that is not live
 *
 * Candidates are the seeds, the host list, and suspect and removed hosts.
 *
 * Return: false if there is none.
 */
bool GossipTargets_AddRejoinTarget(GossipTargets *this);

/**
 * GossipTargets_QueueReply() - queue a reply to a host
 *
 * It is skipped if the queue is full, or if the host got a reply within the
 * last second.
 */
void GossipTargets_QueueReply(GossipTargets *this, Member *member, Micros now);

/** GossipTargets_AddReply() - make the newest queued reply a target; false if
 * there is none */
bool GossipTargets_AddReply(GossipTargets *this);

/** GossipTargets_PendingReplies() - number of queued replies */
size_t GossipTargets_PendingReplies(const GossipTargets *this);

/** GossipTargets_Count() - number of targets */
size_t GossipTargets_Count(const GossipTargets *this);

/** GossipTargets_Pop() - remove the newest target; false if there is none */
bool GossipTargets_Pop(GossipTargets *this, Target *target);

/** GossipTargets_Bytes() - memory used, in bytes */
size_t GossipTargets_Bytes(const GossipTargets *this);

#endif
