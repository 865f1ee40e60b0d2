#ifndef AGATECRANK_CORE_MEMBERTABLE_H
#define AGATECRANK_CORE_MEMBERTABLE_H

#include "Membership.h"
#include "PeerMessage.h"

/**
 * struct Member_ - another host
 * @tag: see Gossip_IncarnationTag()
 * @last_heartbeat: time at which its newest known heartbeat was observed
 * @state_changed: time at which it last joined, came back, was removed or
 *                 began to leave
 * @last_reply: time of the last reply queued for it; 0: never
 * @state: HOST_LIVE, HOST_SUSPECT or HOST_REMOVED
 * @sends_left: messages of any kind that are still to carry its record
 * @urgent_sends_left: urgent messages that are still to carry its record
 * @record_requested: a peer has requested its record
 */
typedef struct Member_ {
    char id[PEER_NAME_MAX + 1];
    char address[PEER_NAME_MAX + 1];
    char domain[PEER_NAME_MAX + 1];
    uint8_t key[GOSSIP_KEY_BYTES];
    bool has_key;
    uint64_t incarnation;
    uint32_t heartbeat;
    uint32_t tag;
    Micros last_heartbeat;
    Micros state_changed;
    Micros last_reply;
    HostState state;
    bool leaving;
    uint32_t sends_left;
    uint32_t urgent_sends_left;
    bool record_requested;
} Member;

/** enum MemberChange_ - effect of a record or a heartbeat on the table */
typedef enum MemberChange_ {
    MEMBER_UNCHANGED,
    MEMBER_REFRESHED, /* newer heartbeat */
    MEMBER_JOINED,
    MEMBER_REVIVED,   /* had been removed */
    MEMBER_RESTARTED, /* later incarnation */
    MEMBER_LEAVING,
    MEMBER_STALE,    /* record of an earlier incarnation: ignored */
    MEMBER_REJECTED, /* record is too old, or the table is full */
    MEMBER_UNKNOWN,  /* heartbeat of an unknown host */
} MemberChange;

/**
 * struct MemberTableOptions_ - see struct MembershipOptions_
 * @members_max: hosts that the table holds, those removed included
 */
typedef struct MemberTableOptions_ {
    Micros suspect_after;
    Micros remove_after;
    uint32_t members_max;
    MembershipFault fault;
} MemberTableOptions;

/** typedef MemberTable - all other known hosts, those removed included */
typedef struct MemberTable_ MemberTable;

/** MemberTable_Create() - empty; @random and @counters are borrowed */
MemberTable *MemberTable_Create(const MemberTableOptions *options,
                                Random *random, MembershipCounters *counters);

/** MemberTable_Destroy() - release everything */
void MemberTable_Destroy(MemberTable *this);

/** MemberTable_Find() - a host by its id, or NULL */
Member *MemberTable_Find(const MemberTable *this, Str id);

/** MemberTable_At() - host at @index, below MemberTable_KnownCount() */
Member *MemberTable_At(const MemberTable *this, size_t index);

/** MemberTable_KnownCount() - number of hosts, those removed included */
size_t MemberTable_KnownCount(const MemberTable *this);

/** MemberTable_MemberCount() - number of hosts that are not removed */
size_t MemberTable_MemberCount(const MemberTable *this);

/** MemberTable_Put() - apply a record of another host */
MemberChange MemberTable_Put(MemberTable *this, const GossipMember *record,
                             Micros now);

/** MemberTable_OnHeartbeat() - apply a heartbeat of another host */
MemberChange MemberTable_OnHeartbeat(MemberTable *this,
                                     const GossipHeartbeat *heartbeat,
                                     Micros now);

/** MemberTable_OnRecordRequest() - a peer requests the record of @tag */
void MemberTable_OnRecordRequest(MemberTable *this, uint32_t tag);

/**
 * MemberTable_OnSent() - count one transmission of a record
 * @urgent: sent in an urgent message
 */
void MemberTable_OnSent(MemberTable *this, Member *member, bool urgent);

/** MemberTable_HasUrgent() - true if records wait for urgent messages */
bool MemberTable_HasUrgent(const MemberTable *this);

/** MemberTable_CheckTimeouts() - suspect, remove and forget hosts whose
 * heartbeats are overdue */
void MemberTable_CheckTimeouts(MemberTable *this, Micros now);

/**
 * MemberTable_DiscountPause() - extend the deadlines of all hosts
 * @pause: time for which this host did not run, and so received nothing
 */
void MemberTable_DiscountPause(MemberTable *this, Micros pause, Micros now);

/**
 * MemberTable_SuspectAfter() - age of a heartbeat that makes a host suspect
 *
 * Grows with the number of hosts once their heartbeats exceed one message.
 */
Micros MemberTable_SuspectAfter(const MemberTable *this);

/** MemberTable_RemoveAfter() - age of a heartbeat that removes a host; grows
 * likewise */
Micros MemberTable_RemoveAfter(const MemberTable *this);

/** MemberTable_Version() - increases when the set of live hosts changes */
uint64_t MemberTable_Version(const MemberTable *this);

/**
 * MemberTable_RetransmitCount() - number of sends of an update by each host
 *
 * The update then reaches all hosts with high probability. The number grows
 * with the logarithm of the number of hosts.
 */
uint32_t MemberTable_RetransmitCount(const MemberTable *this);

/** MemberTable_Bytes() - memory used, in bytes */
size_t MemberTable_Bytes(const MemberTable *this);

/** Member_Record() - record of a member for a message; strings are borrowed
 */
GossipMember Member_Record(const Member *member, Micros now);

#endif
