#ifndef AGATECRANK_CORE_MEMBERTABLE_H
#define AGATECRANK_CORE_MEMBERTABLE_H

#include "Membership.h"
#include "PeerMessage.h"

/**
 * struct Member_ - one other host
 * @tag: see Gossip_Tag()
 * @heard: when a newer heartbeat was heard of
 * @changed: when it joined, came back, was removed or began to leave
 * @replied: when it last got a message because it did not know this host
 * @state: HOST_LIVE, HOST_SUSPECT or HOST_REMOVED
 * @sends_left: messages that should still carry its full record
 * @hot_left: urgent messages that should still carry it
 * @wanted: a peer has asked for its record
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
    Micros heard;
    Micros changed;
    Micros replied;
    HostState state;
    bool leaving;
    uint32_t sends_left;
    uint32_t hot_left;
    bool wanted;
} Member;

/** enum MemberChange_ - what a record did */
typedef enum MemberChange_ {
    MEMBER_SAME,
    MEMBER_REFRESHED, /* newer heartbeat */
    MEMBER_JOINED,
    MEMBER_REVIVED,   /* had been removed */
    MEMBER_RESTARTED, /* a later incarnation */
    MEMBER_LEAVING,
    MEMBER_OLD,     /* of an earlier incarnation: ignored */
    MEMBER_REFUSED, /* too old, or no room */
    MEMBER_UNKNOWN, /* heartbeat of a host that is not known */
} MemberChange;

/** struct MemberRules_ - times and bounds, see MembershipOptions */
typedef struct MemberRules_ {
    Micros suspect_after;
    Micros remove_after;
    uint32_t max;
    MembershipFault fault;
} MemberRules;

/** typedef MemberTable - the other hosts known, with those removed */
typedef struct MemberTable_ MemberTable;

/** MemberTable_Create() - an empty table; @counters is borrowed */
MemberTable *MemberTable_Create(const MemberRules *rules, Random *random,
                                MembershipCounters *counters);

/** MemberTable_Destroy() - release it */
void MemberTable_Destroy(MemberTable *this);

/** MemberTable_Find() - a host by its id, or NULL */
Member *MemberTable_Find(const MemberTable *this, Str id);

/** MemberTable_At() and _Count() - all hosts, those removed as well */
Member *MemberTable_At(const MemberTable *this, size_t index);
size_t MemberTable_Count(const MemberTable *this);

/** MemberTable_Members() - hosts that are not removed */
size_t MemberTable_Members(const MemberTable *this);

/** MemberTable_Put() - take a record about another host */
MemberChange MemberTable_Put(MemberTable *this, const GossipMember *record,
                             Micros now);

/** MemberTable_Beat() - take a heartbeat */
MemberChange MemberTable_Beat(MemberTable *this, const GossipBeat *beat,
                              Micros now);

/** MemberTable_Want() - a peer asks for the record of this tag */
void MemberTable_Want(MemberTable *this, uint32_t tag);

/** MemberTable_Sent() - the record of @member is in a message */
void MemberTable_Sent(MemberTable *this, Member *member, bool urgent);

/** MemberTable_Hot() - records wait for urgent messages */
bool MemberTable_Hot(const MemberTable *this);

/** MemberTable_Check() - suspect and remove silent hosts */
void MemberTable_Check(MemberTable *this, Micros now);

/** MemberTable_Forgive() - this host was paused: others were not silent */
void MemberTable_Forgive(MemberTable *this, Micros pause, Micros now);

/** MemberTable_SuspectAfter() - grows when beats do not fit one message */
Micros MemberTable_SuspectAfter(const MemberTable *this);

/** MemberTable_RemoveAfter() - as MemberTable_SuspectAfter() */
Micros MemberTable_RemoveAfter(const MemberTable *this);

/** MemberTable_Version() - grows when the set of live hosts changes */
uint64_t MemberTable_Version(const MemberTable *this);

/** MemberTable_Spread() - messages needed to reach everyone surely */
uint32_t MemberTable_Spread(const MemberTable *this);

/** MemberTable_Bytes() - memory held */
size_t MemberTable_Bytes(const MemberTable *this);

/** Member_Record() - the record of a member for a message */
GossipMember Member_Record(const Member *member, Micros now);

#endif
