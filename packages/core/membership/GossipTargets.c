#include "GossipTargets.h"

#include <string.h>

/* Minimum time between two replies to one host. */
#define REPLY_INTERVAL_US MICROS_PER_S
/* Random picks before all members are searched. */
#define RANDOM_PICKS_MAX 6

struct GossipTargets_ {
    const MemberTable *members;
    Random *random;
    char own_id[PEER_NAME_MAX + 1];
    char own_address[PEER_NAME_MAX + 1];
    Contact *seeds;
    size_t seed_count;
    Contact *listed; /* from the host list */
    size_t listed_count;
    Target targets[GOSSIP_TARGETS_MAX];
    size_t target_count;
    Contact replies[GOSSIP_REPLIES_MAX];
    size_t reply_count;
    size_t next_member; /* for GossipTargets_AddNextMember() */
};

static void
set_contact(Contact *contact, Str id, Str address, Str key)
{
    memset(contact, 0, sizeof(*contact));
    PeerName_Copy(contact->id, id);
    PeerName_Copy(contact->address, address);
    contact->has_key = key.length == GOSSIP_KEY_BYTES;
    if (contact->has_key) {
        memcpy(contact->key, key.data, GOSSIP_KEY_BYTES);
    }
}

static void
contact_of_member(Contact *contact, const Member *member)
{
    set_contact(contact, Str_FromC(member->id), Str_FromC(member->address),
                (Str){(const char *)member->key,
                      member->has_key ? GOSSIP_KEY_BYTES : 0});
}

GossipTargets *
GossipTargets_Create(const MembershipOptions *options,
                     const MemberTable *members, Random *random)
{
    GossipTargets *this = g_new0(GossipTargets, 1);

    this->members = members;
    this->random = random;
    PeerName_Copy(this->own_id, options->host);
    PeerName_Copy(this->own_address, options->address);
    this->seed_count = MIN(options->seed_count, GOSSIP_SEEDS_MAX);
    this->seeds = g_new0(Contact, this->seed_count + 1);
    for (size_t i = 0; i < this->seed_count; i++) {
        set_contact(&this->seeds[i], STR(""), options->seeds[i], STR(""));
    }
    this->listed = g_new0(Contact, GOSSIP_CONTACTS_MAX);
    return this;
}

void
GossipTargets_Destroy(GossipTargets *this)
{
    g_free(this->seeds);
    g_free(this->listed);
    g_free(this);
}

/* Returns the value of a Z85 character (ZeroMQ RFC 32), or -1. */
static int
z85_value(char c)
{
    static const char alphabet[] =
        "0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ.-:+=^"
        "!/*?&<>()[]{}@%$#";
    const char *at = c != 0 ? strchr(alphabet, c) : NULL;

    return at != NULL ? (int)(at - alphabet) : -1;
}

/* Returns false if @text is not a key in Z85. */
static bool
decode_z85_key(Str text, uint8_t key[GOSSIP_KEY_BYTES])
{
    if (text.length != GOSSIP_KEY_BYTES / 4 * 5) {
        return false;
    }
    for (size_t i = 0; i < GOSSIP_KEY_BYTES / 4; i++) {
        uint64_t word = 0;

        for (size_t k = 0; k < 5; k++) {
            int value = z85_value(text.data[i * 5 + k]);

            if (value < 0) {
                return false;
            }
            word = word * 85 + (uint64_t)value;
        }
        for (size_t k = 0; k < 4; k++) {
            key[i * 4 + k] = (uint8_t)(word >> (24 - 8 * k));
        }
    }
    return true;
}

/* Reads the key from the label "peer_key". Returns false if there is no valid
 * one. */
static bool
find_peer_key(const Labels *labels, uint8_t key[GOSSIP_KEY_BYTES])
{
    for (size_t i = 0; i < labels->count; i++) {
        if (Str_Equal(labels->items[i].key, STR("peer_key"))) {
            return decode_z85_key(labels->items[i].value, key);
        }
    }
    return false;
}

void
GossipTargets_OnHostList(GossipTargets *this, const HostEntry *entries,
                         size_t count)
{
    this->listed_count = 0;
    for (size_t i = 0; i < count; i++) {
        const HostEntry *entry = &entries[i];
        char address[PEER_NAME_MAX + 1];
        size_t slot = this->listed_count;

        if (entry->role != HOST_BALANCER || entry->peer_port == 0 ||
            !PeerName_IsValid(entry->id) ||
            !PeerName_IsValid(entry->address) ||
            Str_Equal(entry->id, Str_FromC(this->own_id))) {
            continue;
        }
        g_snprintf(address, sizeof(address), STR_FORMAT ":%u",
                   STR_ARGS(entry->address), entry->peer_port);
        if (slot == GOSSIP_CONTACTS_MAX) {
            slot = Random_Below(this->random, GOSSIP_CONTACTS_MAX);
        }
        else {
            this->listed_count++;
        }
        set_contact(&this->listed[slot], entry->id, Str_FromC(address),
                    STR(""));
        this->listed[slot].has_key =
            find_peer_key(&entry->labels, this->listed[slot].key);
    }
}

static bool
is_target(const GossipTargets *this, const char *address)
{
    for (size_t i = 0; i < this->target_count; i++) {
        if (strcmp(this->targets[i].contact.address, address) == 0) {
            return true;
        }
    }
    return false;
}

static bool
add_target(GossipTargets *this, const Contact *contact, MessageKind kind)
{
    if (this->target_count == GOSSIP_TARGETS_MAX ||
        is_target(this, contact->address)) {
        return false;
    }
    this->targets[this->target_count].contact = *contact;
    this->targets[this->target_count++].kind = kind;
    return true;
}

/* True if a message can go to @member.
 * @since: earliest time of its last heartbeat */
static bool
is_eligible(const GossipTargets *this, const Member *member, Micros since)
{
    return member->state != HOST_REMOVED && !member->leaving &&
           member->last_heartbeat >= since &&
           !is_target(this, member->address);
}

/* Picks a random eligible member; NULL if there is none. A few random picks
 * usually find one; otherwise all members are searched. */
static const Member *
pick_member(GossipTargets *this, Micros since)
{
    size_t count = MemberTable_KnownCount(this->members);
    const Member *chosen = NULL;
    uint64_t candidates = 0;

    for (int i = 0; i < RANDOM_PICKS_MAX && count > 0; i++) {
        size_t index = Random_Below(this->random, count);
        const Member *member = MemberTable_At(this->members, index);

        if (is_eligible(this, member, since)) {
            return member;
        }
    }
    for (size_t i = 0; i < count; i++) {
        const Member *member = MemberTable_At(this->members, i);

        if (is_eligible(this, member, since) &&
            Random_Below(this->random, ++candidates) == 0) {
            chosen = member;
        }
    }
    return chosen;
}

/* Prefers hosts with recent heartbeats: when many hosts die at once, most
 * messages would otherwise go to dead hosts. */
bool
GossipTargets_AddRandomMember(GossipTargets *this, MessageKind kind,
                              Micros now)
{
    Micros suspect = MemberTable_SuspectAfter(this->members);
    const Member *member = pick_member(this, now - suspect / 2);
    Contact contact;

    if (member == NULL) {
        member = pick_member(this, now - suspect);
    }
    if (member == NULL) {
        member = pick_member(this, INT64_MIN);
    }
    if (member == NULL) {
        return false;
    }
    contact_of_member(&contact, member);
    return add_target(this, &contact, kind);
}

/* Round-robin, so that every member receives usage at even intervals: with
 * random choice, 5% of the usage would be older than its limit of 3 s at 20
 * hosts. */
bool
GossipTargets_AddNextMember(GossipTargets *this, MessageKind kind, Micros now)
{
    size_t count = MemberTable_KnownCount(this->members);
    Micros since = now - MemberTable_SuspectAfter(this->members);
    Contact contact;

    for (size_t i = 0; i < count; i++) {
        const Member *member =
            MemberTable_At(this->members, this->next_member++ % count);

        if (is_eligible(this, member, since)) {
            contact_of_member(&contact, member);
            return add_target(this, &contact, kind);
        }
    }
    return false;
}

static bool
is_live_address(const GossipTargets *this, const char *address)
{
    for (size_t i = 0; i < MemberTable_KnownCount(this->members); i++) {
        const Member *member = MemberTable_At(this->members, i);

        if (member->state == HOST_LIVE &&
            strcmp(member->address, address) == 0) {
            return true;
        }
    }
    return false;
}

/* Reservoir sampling: each candidate so far is chosen with equal probability.
 * Skips this host, targets and live hosts.
 * @candidates: number of candidates so far */
static void
consider_contact(GossipTargets *this, const Contact *contact, Contact *chosen,
                 uint64_t *candidates)
{
    if (strcmp(contact->address, this->own_address) == 0 ||
        is_target(this, contact->address) ||
        is_live_address(this, contact->address)) {
        return;
    }
    if (Random_Below(this->random, ++*candidates) == 0) {
        *chosen = *contact;
    }
}

bool
GossipTargets_AddRejoinTarget(GossipTargets *this)
{
    Contact chosen = {0};
    uint64_t candidates = 0;

    for (size_t i = 0; i < this->seed_count; i++) {
        consider_contact(this, &this->seeds[i], &chosen, &candidates);
    }
    for (size_t i = 0; i < this->listed_count; i++) {
        consider_contact(this, &this->listed[i], &chosen, &candidates);
    }
    for (size_t i = 0; i < MemberTable_KnownCount(this->members); i++) {
        const Member *member = MemberTable_At(this->members, i);
        Contact contact;

        if (member->state != HOST_LIVE && !member->leaving) {
            contact_of_member(&contact, member);
            consider_contact(this, &contact, &chosen, &candidates);
        }
    }
    return candidates > 0 && add_target(this, &chosen, MESSAGE_REJOIN);
}

void
GossipTargets_QueueReply(GossipTargets *this, Member *member, Micros now)
{
    if (this->reply_count == GOSSIP_REPLIES_MAX ||
        (member->last_reply != 0 &&
         now - member->last_reply < REPLY_INTERVAL_US)) {
        return;
    }
    member->last_reply = now;
    contact_of_member(&this->replies[this->reply_count++], member);
}

bool
GossipTargets_AddReply(GossipTargets *this)
{
    return this->reply_count > 0 &&
           add_target(this, &this->replies[--this->reply_count],
                      MESSAGE_REPLY);
}

size_t
GossipTargets_PendingReplies(const GossipTargets *this)
{
    return this->reply_count;
}

size_t
GossipTargets_Count(const GossipTargets *this)
{
    return this->target_count;
}

bool
GossipTargets_Pop(GossipTargets *this, Target *target)
{
    if (this->target_count == 0) {
        return false;
    }
    *target = this->targets[--this->target_count];
    return true;
}

size_t
GossipTargets_Bytes(const GossipTargets *this)
{
    return sizeof(*this) +
           (GOSSIP_CONTACTS_MAX + this->seed_count + 1) * sizeof(Contact);
}
