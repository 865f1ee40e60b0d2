#ifndef AGATECRANK_CORE_MEMBERTABLE_H
#define AGATECRANK_CORE_MEMBERTABLE_H

#include "Membership.h"
#include "PeerMessage.h"

/**
 * struct Member_ - one other host
 * @tag: see Gossip_IncarnationTag()
 * @last_heartbeat: when a newer heartbeat was heard of
 * @state_changed: when it joined, came back, was removed or began to leave
 * @last_reply: when it last got a message because it did not know this host
 * @state: HOST_LIVE, HOST_SUSPECT or HOST_REMOVED
 * @sends_left: messages that should still carry its full record
 * @urgent_sends_left: urgent messages that should still carry it
 * @record_requested: a peer has asked for its record
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

/** enum MemberChange_ - what a record did */
typedef enum MemberChange_ {
    MEMBER_UNCHANGED,
    MEMBER_REFRESHED, /* newer heartbeat */
    MEMBER_JOINED,
    MEMBER_REVIVED,   /* had been removed */
    MEMBER_RESTARTED, /* a later incarnation */
    MEMBER_LEAVING,
    MEMBER_STALE,    /* of an earlier incarnation: ignored */
    MEMBER_REJECTED, /* too old, or no room */
    MEMBER_UNKNOWN,  /* heartbeat of a host that is not known */
} MemberChange;

/** struct MemberTableOptions_ - times and bounds, see MembershipOptions */
typedef struct MemberTableOptions_ {
    Micros suspect_after;
    Micros remove_after;
    uint32_t max_members;
    MembershipFault fault;
} MemberTableOptions;

/** typedef MemberTable - the other hosts known, with those removed */
typedef struct MemberTable_ MemberTable;

/** MemberTable_Create() - an empty table; @counters is borrowed */
MemberTable *MemberTable_Create(const MemberTableOptions *options,
                                Random *random, MembershipCounters *counters);

/** MemberTable_Destroy() - release it */
void MemberTable_Destroy(MemberTable *this);

/** MemberTable_Find() - a host by its id, or NULL */
Member *MemberTable_Find(const MemberTable *this, Str id);

/** MemberTable_At() and _Count() - all hosts, those removed as well */
Member *MemberTable_At(const MemberTable *this, size_t index);
size_t MemberTable_KnownCount(const MemberTable *this);

/** MemberTable_MemberCount() - hosts that are not removed */
size_t MemberTable_MemberCount(const MemberTable *this);

/** MemberTable_Put() - take a record about another host */
MemberChange MemberTable_Put(MemberTable *this, const GossipMember *record,
                             Micros now);

/** MemberTable_OnHeartbeat() - take a heartbeat */
MemberChange MemberTable_OnHeartbeat(MemberTable *this,
                                     const GossipHeartbeat *heartbeat,
                                     Micros now);

/** MemberTable_OnRecordRequest() - a peer asks for the record of this tag */
void MemberTable_OnRecordRequest(MemberTable *this, uint32_t tag);

/** MemberTable_OnSent() - the record of @member is in a message */
void MemberTable_OnSent(MemberTable *this, Member *member, bool urgent);

/** MemberTable_HasUrgent() - records wait for urgent messages */
bool MemberTable_HasUrgent(const MemberTable *this);

/** MemberTable_CheckTimeouts() - suspect and remove silent hosts */
void MemberTable_CheckTimeouts(MemberTable *this, Micros now);

/** MemberTable_DiscountPause() - this host was paused: others were not silent */
void MemberTable_DiscountPause(MemberTable *this, Micros pause, Micros now);

/** MemberTable_SuspectAfter() - grows when beats do not fit one message */
Micros MemberTable_SuspectAfter(const MemberTable *this);

/** MemberTable_RemoveAfter() - as MemberTable_SuspectAfter() */
Micros MemberTable_RemoveAfter(const MemberTable *this);

/** MemberTable_Version() - grows when the set of live hosts changes */
uint64_t MemberTable_Version(const MemberTable *this);

/** MemberTable_RetransmitCount() - messages needed to reach everyone surely */
uint32_t MemberTable_RetransmitCount(const MemberTable *this);

/** MemberTable_Bytes() - memory held */
size_t MemberTable_Bytes(const MemberTable *this);

/** Member_Record() - the record of a member for a message */
GossipMember Member_Record(const Member *member, Micros now);

#endif
