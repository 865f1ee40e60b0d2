#include "MemberTable.h"

#include <string.h>

/* Removed hosts are kept for this long, so that two sides of a partition of
 * an hour find each other again without seeds or host list. */
#define FORGET_AFTER (7200 * MICROS_PER_S)
/* Heartbeats that fit into one message beside everything else. With more
 * hosts than that, each is heard of less often and the times grow. */
#define BEATS_PER_MESSAGE 80
/* With a partial view, a new host replaces a known one in one of so many
 * cases, so that the view changes slowly. */
#define EVICT_ONE_IN 4

struct MemberTable_ {
    MemberRules rules;
    Random *random;
    MembershipCounters *counters;
    Member **members;
    /* Of the members, kept apart for a fast search. */
    uint32_t *tags;
    uint64_t *hashes;
    size_t count;
    size_t present; /* not removed */
    size_t hot;     /* with hot_left above 0 */
    uint64_t version;
};

MemberTable *
MemberTable_Create(const MemberRules *rules, Random *random,
                   MembershipCounters *counters)
{
    MemberTable *this = g_new0(MemberTable, 1);

    this->rules = *rules;
    this->random = random;
    this->counters = counters;
    this->members = g_new0(Member *, rules->max);
    this->tags = g_new0(uint32_t, rules->max);
    this->hashes = g_new0(uint64_t, rules->max);
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
MemberTable_Count(const MemberTable *this)
{
    return this->count;
}

size_t
MemberTable_Members(const MemberTable *this)
{
    return this->present;
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
           this->rules.max *
               (sizeof(Member *) + sizeof(uint32_t) + sizeof(uint64_t));
}

uint32_t
MemberTable_Spread(const MemberTable *this)
{
    uint32_t spread = 3;

    for (size_t n = this->present; n > 0; n /= 2) {
        spread++;
    }
    return spread;
}

static Micros
scale_time(const MemberTable *this, Micros time)
{
    if (this->present <= BEATS_PER_MESSAGE) {
        return time;
    }
    return time * (Micros)this->present / BEATS_PER_MESSAGE;
}

Micros
MemberTable_SuspectAfter(const MemberTable *this)
{
    return scale_time(this, this->rules.suspect_after);
}

Micros
MemberTable_RemoveAfter(const MemberTable *this)
{
    if (this->rules.fault == MEMBERSHIP_FAULT_NO_SUSPICION) {
        return MemberTable_SuspectAfter(this);
    }
    return scale_time(this, this->rules.remove_after);
}

static void
drop_at(MemberTable *this, size_t index)
{
    this->hot -= this->members[index]->hot_left > 0;
    if (this->members[index]->state != HOST_REMOVED) {
        this->present--;
        this->version++;
    }
    g_free(this->members[index]);
    this->count--;
    this->members[index] = this->members[this->count];
    this->tags[index] = this->tags[this->count];
    this->hashes[index] = this->hashes[this->count];
}

static bool
make_room(MemberTable *this)
{
    size_t victim = this->count;

    if (this->count < this->rules.max) {
        return true;
    }
    for (size_t i = 0; i < this->count; i++) {
        const Member *member = this->members[i];

        if (member->state == HOST_REMOVED &&
            (victim == this->count ||
             member->changed < this->members[victim]->changed)) {
            victim = i;
        }
    }
    if (victim == this->count) {
        if (Random_Below(this->random, EVICT_ONE_IN) != 0) {
            return false;
        }
        victim = Random_Below(this->random, this->count);
    }
    this->counters->evicted++;
    drop_at(this, victim);
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
    member->tag = Gossip_Tag(record->id, record->incarnation);
}

static void
set_hot(MemberTable *this, Member *member, uint32_t left)
{
    this->hot += (size_t)(left > 0) - (size_t)(member->hot_left > 0);
    member->hot_left = left;
}

/* The set of live hosts changed: tell the others about this one. */
static void
announce(MemberTable *this, Member *member, Micros now)
{
    member->changed = now;
    member->sends_left = MemberTable_Spread(this);
    set_hot(this, member, member->leaving ? MemberTable_Spread(this) / 2 : 0);
    this->version++;
}

static MemberChange
add_member(MemberTable *this, const GossipMember *record, Micros now)
{
    Member *member;

    if (record->age >= MemberTable_RemoveAfter(this) || !make_room(this)) {
        return MEMBER_REFUSED;
    }
    member = g_new0(Member, 1);
    set_identity(member, record);
    member->state = HOST_LIVE;
    member->heard = now - record->age;
    this->tags[this->count] = member->tag;
    this->hashes[this->count] = Str_Hash(record->id);
    this->members[this->count++] = member;
    this->present++;
    this->counters->joined++;
    announce(this, member, now);
    return MEMBER_JOINED;
}

static void
set_present(MemberTable *this, Member *member)
{
    if (member->state == HOST_REMOVED) {
        this->present++;
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
    member->heard = now - record->age;
    if (record->age < MemberTable_RemoveAfter(this)) {
        set_present(this, member);
    }
    this->counters->restarted++;
    announce(this, member, now);
    return MEMBER_RESTARTED;
}

/* A newer heartbeat of the incarnation that is known. */
static MemberChange
refresh_member(MemberTable *this, Member *member, uint32_t heartbeat,
               Micros heard, Micros now)
{
    member->heartbeat = heartbeat;
    member->heard = MAX(member->heard, heard);
    if (now - member->heard < MemberTable_SuspectAfter(this) &&
        member->state == HOST_SUSPECT) {
        member->state = HOST_LIVE;
    }
    if (member->state != HOST_REMOVED) {
        return MEMBER_REFRESHED;
    }
    if (now - member->heard >= MemberTable_RemoveAfter(this) ||
        this->rules.fault == MEMBERSHIP_FAULT_NO_REVIVAL) {
        return MEMBER_SAME;
    }
    set_present(this, member);
    this->counters->revived++;
    announce(this, member, now);
    return MEMBER_REVIVED;
}

MemberChange
MemberTable_Put(MemberTable *this, const GossipMember *record, Micros now)
{
    Member *member = MemberTable_Find(this, record->id);
    MemberChange change = MEMBER_SAME;

    if (member == NULL) {
        return add_member(this, record, now);
    }
    if (record->incarnation > member->incarnation) {
        return restart_member(this, member, record, now);
    }
    if (record->incarnation < member->incarnation) {
        if (this->rules.fault == MEMBERSHIP_FAULT_OLD_INCARNATION) {
            return restart_member(this, member, record, now);
        }
        this->counters->old_incarnation++;
        return MEMBER_OLD;
    }
    if (record->heartbeat > member->heartbeat) {
        change = refresh_member(this, member, record->heartbeat,
                                now - record->age, now);
    }
    if (record->leaving && !member->leaving) {
        member->leaving = true;
        announce(this, member, now);
        return MEMBER_LEAVING;
    }
    return change;
}

MemberChange
MemberTable_Beat(MemberTable *this, const GossipBeat *beat, Micros now)
{
    for (size_t i = 0; i < this->count; i++) {
        if (this->tags[i] == beat->tag) {
            if (beat->heartbeat <= this->members[i]->heartbeat) {
                return MEMBER_SAME;
            }
            return refresh_member(this, this->members[i], beat->heartbeat,
                                  now - beat->age, now);
        }
    }
    return this->count < this->rules.max ? MEMBER_UNKNOWN : MEMBER_SAME;
}

void
MemberTable_Want(MemberTable *this, uint32_t tag)
{
    for (size_t i = 0; i < this->count; i++) {
        Member *member = this->members[i];

        if (this->tags[i] == tag && member->state == HOST_LIVE) {
            member->wanted = true;
        }
    }
}

static void
remove_member(MemberTable *this, Member *member, Micros now)
{
    member->state = HOST_REMOVED;
    member->changed = now;
    member->sends_left = 0;
    set_hot(this, member, 0);
    this->present--;
    this->version++;
    this->counters->removed++;
}

/* Return: false if the member should be forgotten. */
static bool
check_member(MemberTable *this, Member *member, Micros now)
{
    Micros silent = now - member->heard;
    bool quiet = silent >= MemberTable_SuspectAfter(this);
    Micros limit = MemberTable_RemoveAfter(this);

    if (member->state == HOST_REMOVED) {
        return now - member->changed < FORGET_AFTER &&
               this->rules.fault != MEMBERSHIP_FAULT_NO_REJOIN;
    }
    if (!quiet) {
        member->state = HOST_LIVE;
    }
    if (quiet && member->state == HOST_LIVE) {
        member->state = HOST_SUSPECT;
        this->counters->suspected++;
    }
    if (this->rules.fault == MEMBERSHIP_FAULT_NO_REMOVAL) {
        return true;
    }
    if (silent >= limit || (member->leaving && quiet)) {
        remove_member(this, member, now);
    }
    return true;
}

void
MemberTable_Sent(MemberTable *this, Member *member, bool urgent)
{
    if (member->sends_left > 0) {
        member->sends_left--;
    }
    if (urgent && member->hot_left > 0) {
        set_hot(this, member, member->hot_left - 1);
    }
}

bool
MemberTable_Hot(const MemberTable *this)
{
    return this->hot > 0;
}

void
MemberTable_Check(MemberTable *this, Micros now)
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
MemberTable_Forgive(MemberTable *this, Micros pause, Micros now)
{
    for (size_t i = 0; i < this->count; i++) {
        Member *member = this->members[i];

        if (member->state != HOST_REMOVED) {
            member->heard = MIN(member->heard + pause, now);
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
        .age = now - member->heard,
        .leaving = member->leaving,
    };
}
