#include "MemberTable.h"

#include <string.h>

/* Removed hosts are kept for this time, so that both sides of a partition of
 * an hour can contact each other again without seeds or host list. */
#define FORGET_AFTER_US (7200 * MICROS_PER_S)
/* Heartbeats that fit into one message beside the other contents. With more
 * hosts, each heartbeat is sent less often and the timeouts grow in
 * proportion. */
#define HEARTBEATS_PER_MESSAGE 80
/* With a partial view, one in this many new hosts replaces a known one, so
 * that the view changes slowly. */
#define EVICT_ONE_IN 4

struct MemberTable_ {
    MemberTableOptions options;
    Random *random;
    MembershipCounters *counters;
    Member **members;
    /* Tags and id hashes of the members, in separate arrays for a fast search.
     */
    uint32_t *tags;
    uint64_t *hashes;
    size_t count;
    size_t member_count; /* hosts that are not removed */
    size_t urgent_count; /* hosts with urgent_sends_left above 0 */
    uint64_t version;
};

MemberTable *
MemberTable_Create(const MemberTableOptions *options, Random *random,
                   MembershipCounters *counters)
{
    MemberTable *this = g_new0(MemberTable, 1);

    this->options = *options;
    this->random = random;
    this->counters = counters;
    this->members = g_new0(Member *, options->members_max);
    this->tags = g_new0(uint32_t, options->members_max);
    this->hashes = g_new0(uint64_t, options->members_max);
    return this;
}

void
MemberTable_Destroy(MemberTable *this)
{
    for (size_t i = 0; i < this->count; i++) {
        g_free(this->members[i]);
    }
    g_free(this->members);
    g_free(this->tags);
    g_free(this->hashes);
    g_free(this);
}

Member *
MemberTable_Find(const MemberTable *this, Str id)
{
    uint64_t hash;

    if (id.length == 0 || id.length > PEER_NAME_MAX) {
        return NULL;
    }
    hash = Str_Hash(id);
    for (size_t i = 0; i < this->count; i++) {
        if (this->hashes[i] == hash &&
            Str_Equal(Str_FromC(this->members[i]->id), id)) {
            return this->members[i];
        }
    }
    return NULL;
}

Member *
MemberTable_At(const MemberTable *this, size_t index)
{
    return this->members[index];
}

size_t
MemberTable_KnownCount(const MemberTable *this)
{
    return this->count;
}

size_t
MemberTable_MemberCount(const MemberTable *this)
{
    return this->member_count;
}

uint64_t
MemberTable_Version(const MemberTable *this)
{
    return this->version;
}

size_t
MemberTable_Bytes(const MemberTable *this)
{
    return sizeof(*this) + this->count * sizeof(Member) +
           this->options.members_max *
               (sizeof(Member *) + sizeof(uint32_t) + sizeof(uint64_t));
}

uint32_t
MemberTable_RetransmitCount(const MemberTable *this)
{
    uint32_t count = 3;

    for (size_t n = this->member_count; n > 0; n /= 2) {
        count++;
    }
    return count;
}

/* Extends a timeout if the heartbeats of all hosts exceed one message. */
static Micros
scale_time(const MemberTable *this, Micros time)
{
    if (this->member_count <= HEARTBEATS_PER_MESSAGE) {
        return time;
    }
    return time * (Micros)this->member_count / HEARTBEATS_PER_MESSAGE;
}

Micros
MemberTable_SuspectAfter(const MemberTable *this)
{
    return scale_time(this, this->options.suspect_after);
}

Micros
MemberTable_RemoveAfter(const MemberTable *this)
{
    if (this->options.fault == MEMBERSHIP_FAULT_NO_SUSPICION) {
        return MemberTable_SuspectAfter(this);
    }
    return scale_time(this, this->options.remove_after);
}

static void
drop_at(MemberTable *this, size_t index)
{
    this->urgent_count -= this->members[index]->urgent_sends_left > 0;
    if (this->members[index]->state != HOST_REMOVED) {
        this->member_count--;
        this->version++;
    }
    g_free(this->members[index]);
    this->count--;
    this->members[index] = this->members[this->count];
    this->tags[index] = this->tags[this->count];
    this->hashes[index] = this->hashes[this->count];
}

/* Evicts a host from a full table: the one removed the longest time ago, or
 * sometimes a random one. Returns false if the table stays full. */
static bool
make_space(MemberTable *this)
{
    size_t evicted_index = this->count;

    if (this->count < this->options.members_max) {
        return true;
    }
    for (size_t i = 0; i < this->count; i++) {
        const Member *member = this->members[i];

        if (member->state == HOST_REMOVED &&
            (evicted_index == this->count ||
             member->state_changed <
                 this->members[evicted_index]->state_changed)) {
            evicted_index = i;
        }
    }
    if (evicted_index == this->count) {
        if (Random_Below(this->random, EVICT_ONE_IN) != 0) {
            return false;
        }
        evicted_index = Random_Below(this->random, this->count);
    }
    this->counters->evicted++;
    drop_at(this, evicted_index);
    return true;
}

static void
set_identity(Member *member, const GossipMember *record)
{
    PeerName_Copy(member->id, record->id);
    PeerName_Copy(member->address, record->address);
    PeerName_Copy(member->domain, record->domain);
    member->has_key = record->key.length == GOSSIP_KEY_BYTES;
    if (member->has_key) {
        memcpy(member->key, record->key.data, GOSSIP_KEY_BYTES);
    }
    member->incarnation = record->incarnation;
    member->heartbeat = record->heartbeat;
    member->leaving = record->leaving;
    member->tag = Gossip_IncarnationTag(record->id, record->incarnation);
}

static void
set_urgent_sends(MemberTable *this, Member *member, uint32_t left)
{
    this->urgent_count +=
        (size_t)(left > 0) - (size_t)(member->urgent_sends_left > 0);
    member->urgent_sends_left = left;
}

/* Schedules the record of a host that joined, left or came back for sending.
 * Only the record of a leaving host is urgent. */
static void
announce_change(MemberTable *this, Member *member, Micros now)
{
    member->state_changed = now;
    member->sends_left = MemberTable_RetransmitCount(this);
    set_urgent_sends(this, member,
                     member->leaving ? MemberTable_RetransmitCount(this) / 2
                                     : 0);
    this->version++;
}

static MemberChange
add_member(MemberTable *this, const GossipMember *record, Micros now)
{
    Member *member;

    if (record->age >= MemberTable_RemoveAfter(this) || !make_space(this)) {
        return MEMBER_REJECTED;
    }
    member = g_new0(Member, 1);
    set_identity(member, record);
    member->state = HOST_LIVE;
    member->last_heartbeat = now - record->age;
    this->tags[this->count] = member->tag;
    this->hashes[this->count] = Str_Hash(record->id);
    this->members[this->count++] = member;
    this->member_count++;
    this->counters->joined++;
    announce_change(this, member, now);
    return MEMBER_JOINED;
}

static void
mark_live(MemberTable *this, Member *member)
{
    if (member->state == HOST_REMOVED) {
        this->member_count++;
    }
    member->state = HOST_LIVE;
}

static MemberChange
restart_member(MemberTable *this, Member *member, const GossipMember *record,
               Micros now)
{
    set_identity(member, record);
    for (size_t i = 0; i < this->count; i++) {
        this->tags[i] = this->members[i]->tag;
    }
    member->last_heartbeat = now - record->age;
    if (record->age < MemberTable_RemoveAfter(this)) {
        mark_live(this, member);
    }
    this->counters->restarted++;
    announce_change(this, member, now);
    return MEMBER_RESTARTED;
}

/* Applies a newer heartbeat of the known incarnation. */
static MemberChange
refresh_member(MemberTable *this, Member *member, uint32_t heartbeat,
               Micros last_heartbeat, Micros now)
{
    member->heartbeat = heartbeat;
    member->last_heartbeat = MAX(member->last_heartbeat, last_heartbeat);
    if (now - member->last_heartbeat < MemberTable_SuspectAfter(this) &&
        member->state == HOST_SUSPECT) {
        member->state = HOST_LIVE;
    }
    if (member->state != HOST_REMOVED) {
        return MEMBER_REFRESHED;
    }
    if (now - member->last_heartbeat >= MemberTable_RemoveAfter(this) ||
        this->options.fault == MEMBERSHIP_FAULT_NO_REVIVAL) {
        return MEMBER_UNCHANGED;
    }
    mark_live(this, member);
    this->counters->revived++;
    announce_change(this, member, now);
    return MEMBER_REVIVED;
}

MemberChange
MemberTable_Put(MemberTable *this, const GossipMember *record, Micros now)
{
    Member *member = MemberTable_Find(this, record->id);
    MemberChange change = MEMBER_UNCHANGED;

    if (member == NULL) {
        return add_member(this, record, now);
    }
    if (record->incarnation > member->incarnation) {
        return restart_member(this, member, record, now);
    }
    if (record->incarnation < member->incarnation) {
        if (this->options.fault == MEMBERSHIP_FAULT_OLD_INCARNATION) {
            return restart_member(this, member, record, now);
        }
        this->counters->old_incarnation++;
        return MEMBER_STALE;
    }
    if (record->heartbeat > member->heartbeat) {
        change = refresh_member(this, member, record->heartbeat,
                                now - record->age, now);
    }
    if (record->leaving && !member->leaving) {
        member->leaving = true;
        announce_change(this, member, now);
        return MEMBER_LEAVING;
    }
    return change;
}

MemberChange
MemberTable_OnHeartbeat(MemberTable *this, const GossipHeartbeat *heartbeat,
                        Micros now)
{
    for (size_t i = 0; i < this->count; i++) {
        if (this->tags[i] == heartbeat->tag) {
            if (heartbeat->heartbeat <= this->members[i]->heartbeat) {
                return MEMBER_UNCHANGED;
            }
            return refresh_member(this, this->members[i], heartbeat->heartbeat,
                                  now - heartbeat->age, now);
        }
    }
    return this->count < this->options.members_max ? MEMBER_UNKNOWN
                                                   : MEMBER_UNCHANGED;
}

void
MemberTable_OnRecordRequest(MemberTable *this, uint32_t tag)
{
    for (size_t i = 0; i < this->count; i++) {
        Member *member = this->members[i];

        if (this->tags[i] == tag && member->state == HOST_LIVE) {
            member->record_requested = true;
        }
    }
}

static void
remove_member(MemberTable *this, Member *member, Micros now)
{
    member->state = HOST_REMOVED;
    member->state_changed = now;
    member->sends_left = 0;
    set_urgent_sends(this, member, 0);
    this->member_count--;
    this->version++;
    this->counters->removed++;
}

/* Applies the timeouts to one host. Returns false if it is to be forgotten. */
static bool
check_member(MemberTable *this, Member *member, Micros now)
{
    Micros heartbeat_age = now - member->last_heartbeat;
    bool timed_out = heartbeat_age >= MemberTable_SuspectAfter(this);
    Micros remove_after = MemberTable_RemoveAfter(this);

    if (member->state == HOST_REMOVED) {
        return now - member->state_changed < FORGET_AFTER_US &&
               this->options.fault != MEMBERSHIP_FAULT_NO_REJOIN;
    }
    if (!timed_out) {
        member->state = HOST_LIVE;
    }
    if (timed_out && member->state == HOST_LIVE) {
        member->state = HOST_SUSPECT;
        this->counters->suspected++;
    }
    if (this->options.fault == MEMBERSHIP_FAULT_NO_REMOVAL) {
        return true;
    }
    if (heartbeat_age >= remove_after || (member->leaving && timed_out)) {
        remove_member(this, member, now);
    }
    return true;
}

void
MemberTable_OnSent(MemberTable *this, Member *member, bool urgent)
{
    if (member->sends_left > 0) {
        member->sends_left--;
    }
    if (urgent && member->urgent_sends_left > 0) {
        set_urgent_sends(this, member, member->urgent_sends_left - 1);
    }
}

bool
MemberTable_HasUrgent(const MemberTable *this)
{
    return this->urgent_count > 0;
}

void
MemberTable_CheckTimeouts(MemberTable *this, Micros now)
{
    size_t i = 0;

    while (i < this->count) {
        if (check_member(this, this->members[i], now)) {
            i++;
        }
        else {
            drop_at(this, i);
        }
    }
}

void
MemberTable_DiscountPause(MemberTable *this, Micros pause, Micros now)
{
    for (size_t i = 0; i < this->count; i++) {
        Member *member = this->members[i];

        if (member->state != HOST_REMOVED) {
            member->last_heartbeat = MIN(member->last_heartbeat + pause, now);
        }
    }
}

GossipMember
Member_Record(const Member *member, Micros now)
{
    return (GossipMember){
        .id = Str_FromC(member->id),
        .address = Str_FromC(member->address),
        .domain = Str_FromC(member->domain),
        .key = {(const char *)member->key,
                member->has_key ? GOSSIP_KEY_BYTES : 0},
        .incarnation = member->incarnation,
        .heartbeat = member->heartbeat,
        .age = now - member->last_heartbeat,
        .leaving = member->leaving,
    };
}
