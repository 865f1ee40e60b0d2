#include "Membership.h"

#include <string.h>

#include "GossipDraft.h"
#include "ItemStore.h"
#include "MemberTable.h"
#include "PeerCodec.h"

/* Framing of one message on the wire: TCP and IP headers 40 to 52, ZMTP 9,
 * CURVE 33 bytes. Counted into the budget. */
#define FRAME_BYTES 100
/* Burst of the budget: two full messages. Rate and burst together give the
 * budget of any second. */
#define BURST_BYTES (2 * (GOSSIP_MAX + FRAME_BYTES))
/* An urgent message beside hot items: fresh usage of this host and others. */
#define USAGE_MESSAGE_BYTES 600
/* Least room for a message that is worth sending. */
#define MESSAGE_MIN_BYTES 250
/* Room that items leave to heartbeats and records in a regular message. */
#define BEATS_RESERVE_MAX 720
#define BEAT_RESERVE 11
#define RECORDS_RESERVE 360
#define RECORDS_PER_MESSAGE 5
/* First guess at the cost of a regular message. */
#define REGULAR_GUESS 700
/* One of so many regular messages goes to a host that is not a member, so
 * that the two sides of a partition find each other. */
#define REJOIN_ONE_IN 8
/* A host that hears nothing may know only hosts that are gone. */
#define LONELY_AFTER MICROS_PER_S
#define LONELY_ONE_IN 2
#define FIRST_URGENT_TARGETS 3
#define TARGETS_MAX 8
#define REPLIES_MAX 8
/* A host that does not know this one is not answered more often than this. */
#define REPLY_INTERVAL MICROS_PER_S
/* A longer gap between two ticks means that this process was paused. */
#define PAUSE_MIN MICROS_PER_S
/* Only a host that has just started outbids a later clock of an earlier
 * life; one that runs longer was replaced. */
#define REFUTE_WINDOW (30 * MICROS_PER_S)
#define PURGE_INTERVAL MICROS_PER_S
#define CONTACTS_MAX 256
#define SEEDS_MAX 64
#define SELECT_MAX 160
#define INCARNATION_RANDOM_BITS 22

/* A host that may be contacted although nothing was heard from it. */
typedef struct Contact_ {
    char id[PEER_NAME_MAX + 1];
    char address[PEER_NAME_MAX + 1];
    uint8_t key[GOSSIP_KEY_BYTES];
    bool has_key;
} Contact;

typedef enum MessageKind_ {
    MESSAGE_REGULAR,
    MESSAGE_URGENT,
    MESSAGE_REPLY,  /* to a host that has just joined: many records */
    MESSAGE_REJOIN, /* to a host that is not a member */
} MessageKind;

typedef struct Target_ {
    Contact contact;
    MessageKind kind;
} Target;

struct Membership_ {
    MembershipOptions options;
    const Clock *clock;
    Random *random;
    MembershipCounters counters;
    MemberTable *members;
    ItemStore *items;
    Member self;
    uint32_t self_hot;
    Micros created;
    Micros last_tick;
    Micros last_heard; /* a message of another host */
    Micros next_round;
    Micros next_urgent;
    Micros next_purge;
    Micros refilled;
    double tokens;
    double regular_cost; /* of a regular message, moving average */
    bool usage_due;
    bool superseded;
    uint64_t own_version;
    Contact *seeds;
    size_t seed_count;
    Contact *listed;
    size_t listed_count;
    Target targets[TARGETS_MAX];
    size_t target_count;
    Contact replies[REPLIES_MAX];
    size_t reply_count;
    uint32_t wanted[GOSSIP_WANTED_MAX]; /* tags of hosts not known */
    size_t wanted_count;
    Target current;
    size_t record_cursor;
    GossipDraft draft;
};

MembershipOptions
MembershipOptions_Default(void)
{
    return (MembershipOptions){
        .interval = 500 * MICROS_PER_MS,
        .fanout = 2,
        .urgent_interval = 50 * MICROS_PER_MS,
        .suspect_after = 4 * MICROS_PER_S,
        .remove_after = 12 * MICROS_PER_S,
        .bytes_per_s = 10000,
        .members_max = 320,
        .items_max = 4096,
    };
}

uint64_t
Membership_NewIncarnation(const Clock *clock, Random *random)
{
    uint64_t ms = (uint64_t)(Clock_Wall(clock) / MICROS_PER_MS);
    uint64_t bits = Random_Next(random) >> (64 - INCARNATION_RANDOM_BITS);

    return (ms << INCARNATION_RANDOM_BITS) | bits;
}

static void
copy_text(char out[PEER_NAME_MAX + 1], Str text)
{
    size_t length = MIN(text.length, PEER_NAME_MAX);

    if (length > 0) {
        memcpy(out, text.data, length);
    }
    out[length] = 0;
}

static void
set_contact(Contact *contact, Str id, Str address, Str key)
{
    memset(contact, 0, sizeof(*contact));
    copy_text(contact->id, id);
    copy_text(contact->address, address);
    contact->has_key = key.length == GOSSIP_KEY_BYTES;
    if (contact->has_key) {
        memcpy(contact->key, key.data, GOSSIP_KEY_BYTES);
    }
}

static void
contact_member(Contact *contact, const Member *member)
{
    set_contact(contact, Str_FromC(member->id), Str_FromC(member->address),
                (Str){(const char *)member->key,
                      member->has_key ? GOSSIP_KEY_BYTES : 0});
}

static void
init_self(Membership *this, const MembershipOptions *options)
{
    copy_text(this->self.id, options->host);
    copy_text(this->self.address, options->address);
    copy_text(this->self.domain, options->domain);
    this->self.has_key = options->key.length == GOSSIP_KEY_BYTES;
    if (this->self.has_key) {
        memcpy(this->self.key, options->key.data, GOSSIP_KEY_BYTES);
    }
    this->self.incarnation = options->incarnation;
    this->self.tag = Gossip_Tag(options->host, options->incarnation);
    this->self.heartbeat = 1;
    this->options.host = Str_FromC(this->self.id);
    this->options.address = Str_FromC(this->self.address);
    this->options.domain = Str_FromC(this->self.domain);
    this->options.deployment.data =
        g_strndup(options->deployment.data, options->deployment.length);
}

Membership *
Membership_Create(const MembershipOptions *options, const Clock *clock,
                  Random *random)
{
    Membership *this = g_new0(Membership, 1);
    MemberRules rules = {
        .suspect_after = options->suspect_after,
        .remove_after = options->remove_after,
        .max = MAX(options->members_max, 1),
        .fault = options->fault,
    };

    this->options = *options;
    this->clock = clock;
    this->random = random;
    init_self(this, options);
    this->members = MemberTable_Create(&rules, random, &this->counters);
    this->items =
        ItemStore_Create(MAX(options->items_max, 1), &this->counters);
    this->seed_count = MIN(options->seed_count, SEEDS_MAX);
    this->seeds = g_new0(Contact, this->seed_count + 1);
    for (size_t i = 0; i < this->seed_count; i++) {
        set_contact(&this->seeds[i], STR(""), options->seeds[i], STR(""));
    }
    this->listed = g_new0(Contact, CONTACTS_MAX);
    this->created = this->last_tick = Clock_Now(clock);
    this->next_round = this->refilled = this->created;
    this->next_urgent = this->created;
    this->tokens = BURST_BYTES;
    this->regular_cost = REGULAR_GUESS;
    return this;
}

void
Membership_Destroy(Membership *this)
{
    MemberTable_Destroy(this->members);
    ItemStore_Destroy(this->items);
    g_free((char *)this->options.deployment.data);
    g_free(this->seeds);
    g_free(this->listed);
    g_free(this);
}

/* Reads the clock; after a pause of this process the silence of the others
 * in that time says nothing. */
static Micros
read_clock(Membership *this)
{
    Micros now = Clock_Now(this->clock);
    Micros gap = now - this->last_tick;

    this->last_tick = now;
    if (gap > PAUSE_MIN) {
        MemberTable_Forgive(this->members, gap, now);
    }
    return now;
}

static bool
is_own_address(const Membership *this, const char *address)
{
    return strcmp(address, this->self.address) == 0;
}

static bool
is_text(Str text, size_t max)
{
    if (text.length == 0 || text.length > max) {
        return false;
    }
    for (size_t i = 0; i < text.length; i++) {
        if (text.data[i] <= ' ' || text.data[i] > '~') {
            return false;
        }
    }
    return true;
}

void
Membership_OnHostList(Membership *this, const HostEntry *entries, size_t count)
{
    this->listed_count = 0;
    for (size_t i = 0; i < count; i++) {
        const HostEntry *entry = &entries[i];
        char address[PEER_NAME_MAX + 1];
        size_t slot = this->listed_count;

        if (entry->role != HOST_BALANCER || entry->peer_port == 0 ||
            !is_text(entry->id, PEER_NAME_MAX) ||
            Str_Equal(entry->id, Str_FromC(this->self.id))) {
            continue;
        }
        g_snprintf(address, sizeof(address), STR_FORMAT ":%u",
                   STR_ARGS(entry->address), entry->peer_port);
        if (slot == CONTACTS_MAX) {
            slot = Random_Below(this->random, CONTACTS_MAX);
        }
        else {
            this->listed_count++;
        }
        set_contact(&this->listed[slot], entry->id, Str_FromC(address),
                    STR(""));
    }
}

static uint32_t
now_stamp(const Membership *this, Micros now)
{
    return (uint32_t)((now - this->created) / MICROS_PER_MS) + 1;
}

/* A later incarnation of this host's id was heard of. */
static void
outbid(Membership *this, uint64_t incarnation, Micros now)
{
    if (now - this->created > REFUTE_WINDOW) {
        this->superseded = true;
        return;
    }
    this->self.incarnation =
        MAX(incarnation + ((uint64_t)1 << INCARNATION_RANDOM_BITS),
            Membership_NewIncarnation(this->clock, this->random));
    this->self.tag =
        Gossip_Tag(Str_FromC(this->self.id), this->self.incarnation);
    ItemStore_DropOrigin(this->items, Str_FromC(this->self.id),
                         this->self.incarnation);
    this->self_hot = MemberTable_Spread(this->members);
    this->counters.refuted++;
    this->own_version++;
}

static void
queue_reply(Membership *this, Member *member, Micros now)
{
    if (this->reply_count == REPLIES_MAX ||
        (member->replied != 0 && now - member->replied < REPLY_INTERVAL)) {
        return;
    }
    member->replied = now;
    contact_member(&this->replies[this->reply_count++], member);
}

static MemberChange
take_record(Membership *this, const GossipMember *record, Micros now)
{
    MemberChange change;

    if (Str_Equal(record->id, Str_FromC(this->self.id))) {
        if (record->incarnation > this->self.incarnation) {
            outbid(this, record->incarnation, now);
        }
        return MEMBER_SAME;
    }
    change = MemberTable_Put(this->members, record, now);
    if (change == MEMBER_RESTARTED &&
        this->options.fault != MEMBERSHIP_FAULT_OLD_INCARNATION) {
        ItemStore_DropOrigin(this->items, record->id, record->incarnation);
    }
    return change;
}

static void
take_item(Membership *this, const GossipItem *item, Micros now)
{
    GossipItem copy = *item;
    const Member *origin;

    if (Str_Equal(item->item.host, Str_FromC(this->self.id))) {
        return;
    }
    origin = MemberTable_Find(this->members, item->item.host);
    if (origin != NULL && item->item.incarnation < origin->incarnation &&
        this->options.fault != MEMBERSHIP_FAULT_OLD_INCARNATION) {
        this->counters.old_incarnation++;
        return;
    }
    copy.hops++;
    if (this->options.fault == MEMBERSHIP_FAULT_NO_RELAY) {
        copy.hops = ITEM_HOPS_MAX;
    }
    if (ItemStore_Put(this->items, &copy, false,
                      MemberTable_Spread(this->members),
                      now) != ITEM_IGNORED) {
        this->counters.items_received++;
    }
}

/* Return: true if the host is not known and the sender is to be asked. */
static bool
take_beat(Membership *this, const GossipBeat *beat, Micros now)
{
    if (beat->tag == this->self.tag ||
        MemberTable_Beat(this->members, beat, now) != MEMBER_UNKNOWN ||
        this->wanted_count == GOSSIP_WANTED_MAX) {
        return false;
    }
    this->wanted[this->wanted_count++] = beat->tag;
    return true;
}

/* Return: true if the sender should get a message soon: it did not know this
 * host, knows hosts that are not known here, or asks for records. */
static bool
take_members(Membership *this, const Gossip *gossip, Micros now)
{
    bool answer = false;

    for (size_t i = 0; i < gossip->member_count; i++) {
        const GossipMember *record = &gossip->members[i];
        MemberChange change = take_record(this, record, now);

        if (Str_Equal(record->id, gossip->from)) {
            answer |= change == MEMBER_JOINED || change == MEMBER_REVIVED ||
                      change == MEMBER_RESTARTED;
        }
    }
    for (size_t i = 0; i < gossip->beat_count; i++) {
        answer |= take_beat(this, &gossip->beats[i], now);
    }
    for (size_t i = 0; i < gossip->wanted_count; i++) {
        MemberTable_Want(this->members, gossip->wanted[i]);
        answer = true;
    }
    return answer;
}

int
Membership_OnGossip(Membership *this, const Gossip *gossip)
{
    Micros now = read_clock(this);
    Member *sender = MemberTable_Find(this->members, gossip->from);

    if (Str_Equal(gossip->from, Str_FromC(this->self.id))) {
        if (gossip->incarnation > this->self.incarnation) {
            outbid(this, gossip->incarnation, now);
        }
        return 0;
    }
    this->counters.messages_received++;
    this->last_heard = now;
    if (sender != NULL && gossip->incarnation < sender->incarnation &&
        this->options.fault != MEMBERSHIP_FAULT_OLD_INCARNATION) {
        this->counters.old_incarnation++;
        queue_reply(this, sender, now);
        return ERR_EXPIRED;
    }
    if (take_members(this, gossip, now)) {
        sender = MemberTable_Find(this->members, gossip->from);
        if (sender != NULL) {
            queue_reply(this, sender, now);
        }
    }
    for (size_t i = 0; i < gossip->item_count; i++) {
        take_item(this, &gossip->items[i], now);
    }
    return 0;
}

static bool
item_is_valid(const SharedItem *item)
{
    switch (item->kind) {
    case SHARED_DRAIN:
        return is_text(item->drain.upstream, PEER_NAME_MAX);
    case SHARED_SUSPECT:
        return is_text(item->suspect.upstream, PEER_NAME_MAX);
    case SHARED_FINGERPRINT:
        for (size_t i = 0; i < QUARANTINE_LOSSES; i++) {
            if (item->fingerprint.upstreams[i].length > 0 &&
                !is_text(item->fingerprint.upstreams[i], PEER_NAME_MAX)) {
                return false;
            }
        }
        return is_text(item->fingerprint.line, PEER_NAME_MAX) &&
               item->fingerprint.losses <= QUARANTINE_LOSSES;
    case SHARED_USAGE:
        return is_text(item->usage.service, PEER_NAME_MAX) &&
               (item->usage.line.length == 0 ||
                is_text(item->usage.line, PEER_NAME_MAX));
    case SHARED_CONFIG_OFFSET:
        return true;
    case SHARED_KINDS:
        break;
    }
    return false;
}

int
Membership_Share(Membership *this, const SharedItem *item)
{
    Micros now = Clock_Now(this->clock);
    GossipItem own = {.item = *item, .stamp_ms = now_stamp(this, now)};

    if (!item_is_valid(item)) {
        return ERR_INVALID;
    }
    own.item.host = Str_FromC(this->self.id);
    own.item.incarnation = this->self.incarnation;
    own.item.age = MAX(item->age, 0);
    if (ItemStore_Put(this->items, &own, true,
                      MemberTable_Spread(this->members),
                      now) != ITEM_IGNORED) {
        this->counters.items_shared++;
        this->usage_due |= item->kind == SHARED_USAGE;
    }
    return 0;
}

void
Membership_Leave(Membership *this)
{
    this->self.leaving = true;
    this->self.heartbeat++;
    this->self_hot = MemberTable_Spread(this->members);
    this->own_version++;
}

static void
refill(Membership *this, Micros now)
{
    double rate = MAX((double)this->options.bytes_per_s - BURST_BYTES, 1);

    this->tokens += rate * (double)(now - this->refilled) / MICROS_PER_S;
    this->tokens = MIN(this->tokens, BURST_BYTES);
    this->refilled = now;
}

/* Bytes that an urgent message may take without using up what the next
 * regular round needs. */
static size_t
urgent_room(const Membership *this, Micros now)
{
    double rate = MAX((double)this->options.bytes_per_s - BURST_BYTES, 1);
    double until = (double)MAX(this->next_round - now, 0) / MICROS_PER_S;
    double needed = this->regular_cost * this->options.fanout - rate * until;
    double room = this->tokens - MAX(needed, 0) - FRAME_BYTES;

    return room < MESSAGE_MIN_BYTES ? 0 : (size_t)MIN(room, GOSSIP_MAX);
}

static bool
is_target(const Membership *this, const char *address)
{
    for (size_t i = 0; i < this->target_count; i++) {
        if (strcmp(this->targets[i].contact.address, address) == 0) {
            return true;
        }
    }
    return false;
}

static bool
add_target(Membership *this, const Contact *contact, MessageKind kind)
{
    if (this->target_count == TARGETS_MAX ||
        is_target(this, contact->address)) {
        return false;
    }
    this->targets[this->target_count].contact = *contact;
    this->targets[this->target_count++].kind = kind;
    return true;
}

/* A random member that was heard of in the last @silence and is not a target
 * yet. */
static bool
pick_heard(Membership *this, Micros silence, MessageKind kind)
{
    const Member *picked = NULL;
    uint64_t seen = 0;
    Contact contact;

    for (size_t i = 0; i < MemberTable_Count(this->members); i++) {
        const Member *member = MemberTable_At(this->members, i);

        if (member->state != HOST_REMOVED && !member->leaving &&
            this->last_tick - member->heard <= silence &&
            !is_target(this, member->address) &&
            Random_Below(this->random, ++seen) == 0) {
            picked = member;
        }
    }
    if (picked == NULL) {
        return false;
    }
    contact_member(&contact, picked);
    return add_target(this, &contact, kind);
}

/* Silent hosts only if there is no other: when many hosts die at once, most
 * messages would go to them. */
static bool
pick_member(Membership *this, MessageKind kind)
{
    Micros suspect = MemberTable_SuspectAfter(this->members);

    return pick_heard(this, suspect / 2, kind) ||
           pick_heard(this, suspect, kind) ||
           pick_heard(this, INT64_MAX, kind);
}

static bool
is_member_address(const Membership *this, const char *address)
{
    for (size_t i = 0; i < MemberTable_Count(this->members); i++) {
        const Member *member = MemberTable_At(this->members, i);

        if (member->state == HOST_LIVE &&
            strcmp(member->address, address) == 0) {
            return true;
        }
    }
    return false;
}

/* Keeps a random one of the contacts seen so far. */
static void
consider(Membership *this, const Contact *contact, Contact *picked,
         uint64_t *seen)
{
    if (is_own_address(this, contact->address) ||
        is_target(this, contact->address) ||
        is_member_address(this, contact->address)) {
        return;
    }
    if (Random_Below(this->random, ++*seen) == 0) {
        *picked = *contact;
    }
}

/* A random host that is not live: a seed, a listed, suspect or removed one. */
static bool
pick_stranger(Membership *this)
{
    Contact picked;
    uint64_t seen = 0;

    for (size_t i = 0; i < this->seed_count; i++) {
        consider(this, &this->seeds[i], &picked, &seen);
    }
    for (size_t i = 0; i < this->listed_count; i++) {
        consider(this, &this->listed[i], &picked, &seen);
    }
    for (size_t i = 0; i < MemberTable_Count(this->members); i++) {
        const Member *member = MemberTable_At(this->members, i);
        Contact contact;

        if (member->state != HOST_LIVE && !member->leaving) {
            contact_member(&contact, member);
            consider(this, &contact, &picked, &seen);
        }
    }
    return seen > 0 && add_target(this, &picked, MESSAGE_REJOIN);
}

static void
start_round(Membership *this, Micros now)
{
    Micros jitter = this->options.interval / 10;

    bool lonely = now - this->last_heard >= LONELY_AFTER;
    uint64_t one_in = lonely ? LONELY_ONE_IN : REJOIN_ONE_IN;

    this->self.heartbeat++;
    MemberTable_Check(this->members, now);
    for (uint32_t i = 0; i < this->options.fanout; i++) {
        bool stranger = Random_Below(this->random, one_in) == 0;

        if ((!stranger || !pick_stranger(this)) &&
            !pick_member(this, MESSAGE_REGULAR)) {
            pick_stranger(this);
        }
    }
    this->next_round = now + this->options.interval - jitter / 2 +
                       (Micros)Random_Below(this->random, (uint64_t)jitter);
}

static bool
members_are_hot(const Membership *this)
{
    for (size_t i = 0; i < MemberTable_Count(this->members); i++) {
        if (MemberTable_At(this->members, i)->hot_left > 0) {
            return true;
        }
    }
    return false;
}

static bool
is_hot(const Membership *this)
{
    return ItemStore_Hot(this->items) || this->self_hot > 0 ||
           members_are_hot(this);
}

/* Urgent messages: answers to hosts that have just come, items that were
 * just seen, and usage. Return: false if none is due. */
static bool
start_urgent(Membership *this, Micros now)
{
    bool hot = is_hot(this);
    int targets = hot ? FIRST_URGENT_TARGETS : 1;

    if (now < this->next_urgent ||
        (!hot && !this->usage_due && this->reply_count == 0)) {
        return false;
    }
    if (urgent_room(this, now) == 0) {
        this->counters.over_budget++;
        this->next_urgent = now + this->options.urgent_interval;
        return false;
    }
    this->next_urgent = now + this->options.urgent_interval;
    if (this->reply_count > 0) {
        add_target(this, &this->replies[--this->reply_count], MESSAGE_REPLY);
        targets--;
    }
    while (targets > 0 && pick_member(this, MESSAGE_URGENT)) {
        targets--;
    }
    this->usage_due = false;
    if (this->target_count == 0) {
        this->self_hot = 0;
    }
    return this->target_count > 0;
}

void
Membership_OnTick(Membership *this)
{
    Micros now = read_clock(this);

    if (now >= this->next_purge) {
        ItemStore_Purge(this->items, now);
        this->next_purge = now + PURGE_INTERVAL;
    }
}

Micros
Membership_NextTick(const Membership *this)
{
    if (this->superseded) {
        return Clock_Now(this->clock) + this->options.interval;
    }
    if (this->usage_due || this->reply_count > 0 || is_hot(this)) {
        return MIN(this->next_round, this->next_urgent);
    }
    return this->next_round;
}

static GossipMember
own_record(const Membership *this)
{
    GossipMember record = Member_Record(&this->self, 0);

    record.age = 0;
    return record;
}

/* The receiver's own record, if it is of a later life than it uses. */
static void
add_receiver(Membership *this, const Contact *contact, Micros now)
{
    Member *member = MemberTable_Find(this->members, Str_FromC(contact->id));
    GossipMember record;

    if (contact->id[0] != 0 && member != NULL) {
        record = Member_Record(member, now);
        GossipDraft_AddMember(&this->draft, &record);
    }
}

static bool
add_record(Membership *this, Member *member, bool urgent, Micros now)
{
    GossipMember record = Member_Record(member, now);

    if (!GossipDraft_AddMember(&this->draft, &record)) {
        return false;
    }
    if (member->sends_left > 0) {
        member->sends_left--;
    }
    if (urgent && member->hot_left > 0) {
        member->hot_left--;
    }
    return true;
}

/* Records that the receiver has asked for. */
static void
add_wanted(Membership *this, Micros now)
{
    for (size_t i = 0; i < MemberTable_Count(this->members); i++) {
        Member *member = MemberTable_At(this->members, i);

        if (member->wanted && add_record(this, member, false, now)) {
            member->wanted = false;
        }
    }
}

/* Records that others do not know yet, from a random one on: when many hosts
 * change at once, not all of them fit. */
static void
add_changed(Membership *this, size_t reserve, bool urgent, Micros now)
{
    size_t count = MemberTable_Count(this->members);
    size_t start = Random_Below(this->random, count);

    for (size_t i = 0; i < count; i++) {
        Member *member = MemberTable_At(this->members, (start + i) % count);
        uint32_t left = urgent ? member->hot_left : member->sends_left;

        if (left == 0) {
            continue;
        }
        if (this->draft.bytes + reserve > this->draft.limit ||
            !add_record(this, member, urgent, now)) {
            return;
        }
    }
}

/* Records in turn, so that everyone learns of every host again and again. */
static void
add_rotation(Membership *this, size_t most, size_t reserve, Micros now)
{
    size_t count = MemberTable_Count(this->members);
    size_t added = 0;

    for (size_t i = 0; i < count; i++) {
        Member *member =
            MemberTable_At(this->members, this->record_cursor++ % count);

        if (member->state != HOST_LIVE || member->sends_left > 0) {
            continue;
        }
        if (added++ == most ||
            this->draft.bytes + reserve > this->draft.limit ||
            !add_record(this, member, false, now)) {
            return;
        }
    }
}

/* Heartbeats of live hosts, from a random one on. */
static void
add_beats(Membership *this, size_t reserve, Micros now)
{
    size_t count = MemberTable_Count(this->members);
    size_t start = Random_Below(this->random, count);

    for (size_t i = 0; i < count; i++) {
        const Member *member =
            MemberTable_At(this->members, (start + i) % count);
        GossipBeat beat = {member->tag, member->heartbeat,
                           now - member->heard};

        if (member->state != HOST_LIVE ||
            now - member->heard >= MemberTable_SuspectAfter(this->members)) {
            continue;
        }
        if (this->draft.bytes + reserve > this->draft.limit ||
            !GossipDraft_AddBeat(&this->draft, &beat)) {
            return;
        }
    }
}

static void
add_items(Membership *this, size_t reserve, bool urgent, Micros now)
{
    StoredItem *items[SELECT_MAX];
    size_t n = ItemStore_Select(this->items, items, SELECT_MAX, now);

    for (size_t i = 0; i < n; i++) {
        GossipItem item = {
            .item = items[i]->item,
            .stamp_ms = items[i]->stamp_ms,
            .hops = items[i]->hops,
        };

        item.item.age = now - items[i]->observed;
        if (this->draft.bytes + reserve > this->draft.limit ||
            !GossipDraft_AddItem(&this->draft, &item)) {
            return;
        }
        ItemStore_Sent(this->items, items[i], urgent);
    }
}

/* Urgent messages are many: a heartbeat does unless this host has news. */
static void
add_self(Membership *this, const Target *target)
{
    GossipMember record = own_record(this);
    GossipBeat beat = {this->self.tag, this->self.heartbeat, 0};

    if (target->kind == MESSAGE_URGENT && this->self_hot == 0) {
        GossipDraft_AddBeat(&this->draft, &beat);
        return;
    }
    GossipDraft_AddMember(&this->draft, &record);
}

static size_t
regular_reserve(const Membership *this)
{
    size_t beats = MemberTable_Members(this->members) * BEAT_RESERVE;

    return MIN(beats, BEATS_RESERVE_MAX) + RECORDS_RESERVE;
}

static void
fill_draft(Membership *this, const Target *target, Micros now)
{
    GossipDraft *draft = &this->draft;

    add_self(this, target);
    while (
        this->wanted_count > 0 &&
        GossipDraft_AddWanted(draft, this->wanted[this->wanted_count - 1])) {
        this->wanted_count--;
    }
    switch (target->kind) {
    case MESSAGE_URGENT:
        add_changed(this, 0, true, now);
        add_items(this, 0, true, now);
        return;
    case MESSAGE_REPLY:
        add_receiver(this, &target->contact, now);
        add_wanted(this, now);
        add_changed(this, 0, false, now);
        add_rotation(this, GOSSIP_MEMBERS_MAX, draft->limit / 4, now);
        add_items(this, 0, false, now);
        return;
    case MESSAGE_REJOIN:
        add_receiver(this, &target->contact, now);
        add_beats(this, draft->limit / 2, now);
        return;
    case MESSAGE_REGULAR:
        break;
    }
    add_changed(this, draft->limit / 2, false, now);
    add_items(this, regular_reserve(this), false, now);
    add_beats(this, RECORDS_RESERVE, now);
    add_rotation(this, RECORDS_PER_MESSAGE, 0, now);
}

/* Bytes that the message to @target may have; 0: not now. */
static size_t
message_room(Membership *this, const Target *target, Micros now)
{
    double room = this->tokens - FRAME_BYTES;

    if (this->options.fault == MEMBERSHIP_FAULT_OVERSPEND) {
        return GOSSIP_MAX;
    }
    if (target->kind == MESSAGE_URGENT) {
        size_t most = is_hot(this) ? GOSSIP_MAX : USAGE_MESSAGE_BYTES;

        return MIN(urgent_room(this, now), most);
    }
    if (target->kind == MESSAGE_REPLY) {
        return urgent_room(this, now);
    }
    return room < MESSAGE_MIN_BYTES ? 0 : (size_t)MIN(room, GOSSIP_MAX);
}

static void
account(Membership *this, const Target *target, size_t length)
{
    double cost = (double)length + FRAME_BYTES;

    this->tokens -= cost;
    this->counters.messages_sent++;
    this->counters.bytes_sent += length + FRAME_BYTES;
    if (target->kind == MESSAGE_URGENT) {
        this->counters.urgent_sent++;
    }
    if (target->kind == MESSAGE_REJOIN) {
        this->counters.rejoin_sent++;
    }
    if (target->kind == MESSAGE_REGULAR) {
        this->regular_cost += (cost - this->regular_cost) / 8;
    }
    if (this->self_hot > 0) {
        this->self_hot--;
    }
}

static bool
next_target(Membership *this, Micros now)
{
    if (this->target_count > 0) {
        return true;
    }
    if (now >= this->next_round) {
        start_round(this, now);
    }
    return this->target_count > 0 || start_urgent(this, now);
}

/* Return: false if the budget does not allow the message now. */
static bool
write_message(Membership *this, const Target *target, GString *bytes,
              Micros now)
{
    PeerEnvelope envelope = {
        .deployment = this->options.deployment,
        .host = Str_FromC(this->self.id),
        .incarnation = this->self.incarnation,
    };
    size_t room = message_room(this, target, now);

    if (room == 0) {
        this->counters.over_budget++;
        return false;
    }
    GossipDraft_Begin(&this->draft, &envelope, room);
    fill_draft(this, target, now);
    GossipDraft_Finish(&this->draft);
    if (PeerCodec_WriteGossip(&envelope, &this->draft.gossip, bytes) < 0) {
        return false;
    }
    account(this, target, bytes->len);
    return true;
}

bool
Membership_NextMessage(Membership *this, PeerTarget *to, GString *bytes)
{
    Micros now = read_clock(this);

    refill(this, now);
    if (this->superseded) {
        return false;
    }
    while (next_target(this, now)) {
        const Contact *contact = &this->current.contact;

        this->current = this->targets[--this->target_count];
        if (write_message(this, &this->current, bytes, now)) {
            to->id = Str_FromC(contact->id);
            to->address = Str_FromC(contact->address);
            to->key = (Str){(const char *)contact->key,
                            contact->has_key ? GOSSIP_KEY_BYTES : 0};
            return true;
        }
    }
    return false;
}

bool
Membership_NextItem(Membership *this, SharedItem *item)
{
    return ItemStore_Next(this->items, item, Clock_Now(this->clock));
}

static HostView
view_of(const Member *member, Micros now)
{
    GossipMember record = Member_Record(member, now);
    HostView view = {
        .id = record.id,
        .address = record.address,
        .domain = record.domain,
        .key = record.key,
        .incarnation = record.incarnation,
        .state = member->state,
        .silent = record.age,
    };

    if (member->leaving && member->state != HOST_REMOVED) {
        view.state = HOST_LEAVING;
    }
    return view;
}

static HostView
view_of_self(const Membership *this)
{
    HostView view = view_of(&this->self, 0);

    view.silent = 0;
    view.self = true;
    return view;
}

static int
compare_views(const void *a, const void *b)
{
    const HostView *left = a;
    const HostView *right = b;

    return strcmp(left->id.data, right->id.data);
}

size_t
Membership_Live(const Membership *this, HostView *views, size_t max)
{
    Micros now = Clock_Now(this->clock);
    size_t n = 0;

    if (max > 0 && !this->self.leaving) {
        views[n++] = view_of_self(this);
    }
    for (size_t i = 0; i < MemberTable_Count(this->members) && n < max; i++) {
        HostView view = view_of(MemberTable_At(this->members, i), now);

        if (view.state == HOST_LIVE || view.state == HOST_SUSPECT) {
            views[n++] = view;
        }
    }
    qsort(views, n, sizeof(HostView), compare_views);
    return n;
}

bool
Membership_Find(const Membership *this, Str host, HostView *view)
{
    const Member *member;

    if (Str_Equal(host, Str_FromC(this->self.id))) {
        *view = view_of_self(this);
        return true;
    }
    member = MemberTable_Find(this->members, host);
    if (member == NULL) {
        return false;
    }
    *view = view_of(member, Clock_Now(this->clock));
    return true;
}

uint64_t
Membership_Version(const Membership *this)
{
    return MemberTable_Version(this->members) + this->own_version;
}

uint64_t
Membership_Incarnation(const Membership *this)
{
    return this->self.incarnation;
}

bool
Membership_Superseded(const Membership *this)
{
    return this->superseded;
}

const MembershipCounters *
Membership_Counters(const Membership *this)
{
    return &this->counters;
}

size_t
Membership_Bytes(const Membership *this)
{
    return sizeof(*this) + MemberTable_Bytes(this->members) +
           ItemStore_Bytes(this->items) +
           (CONTACTS_MAX + this->seed_count + 1) * sizeof(Contact);
}
