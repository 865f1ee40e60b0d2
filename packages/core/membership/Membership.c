#include "Membership.h"

#include <string.h>

#include "ByteBudget.h"
#include "GossipWriter.h"

/* Limits of an urgent message that carries only usage, about 12 items of this
 * host. It is delayed while the budget allows less than the minimum: shorter
 * messages would spend the budget on framing, longer ones would be too rare.
 */
#define USAGE_MESSAGE_MAX_BYTES 500
#define USAGE_MESSAGE_MIN_BYTES 450
/* Initial estimate of the bytes of a regular round. */
#define INITIAL_ROUND_BYTES 1400
/* One in this many regular messages goes to a host that is not live, so that
 * both sides of a partition find each other again. */
#define REJOIN_ONE_IN 8
/* A host that receives nothing for this time may know only dead hosts, or be
 * known to few. It contacts hosts that are not live more often. */
#define ISOLATED_AFTER_US MICROS_PER_S
#define ISOLATED_REJOIN_ONE_IN 2
/* Members that receive each batch of urgent items and records. */
#define URGENT_TARGET_COUNT 3
/* A longer time between two calls means that this process was paused. */
#define PAUSE_MIN_US MICROS_PER_S
/* Within this time after its start, a host that learns of a later incarnation
 * of its id takes it for an earlier one whose clock was ahead, and raises its
 * own number. After that, the later incarnation has replaced this host. */
#define REFUTE_WINDOW_US (30 * MICROS_PER_S)
#define PURGE_INTERVAL_US MICROS_PER_S
#define INCARNATION_RANDOM_BITS 22

struct Membership_ {
    MembershipOptions options;
    const Clock *clock;
    Random *random;
    MembershipCounters counters;
    MemberTable *members;
    ItemStore *items;
    Member self;
    uint32_t self_urgent_sends;
    Micros created;
    Micros last_tick;
    Micros last_message; /* time of the last message of another host */
    Micros next_round;
    Micros next_urgent;
    Micros next_purge;
    ByteBudget budget;
    double round_bytes; /* regular messages of this round, with framing */
    bool usage_due;     /* own usage was shared since the last urgent batch */
    bool superseded;
    uint64_t self_version;
    GossipTargets *targets;
    GossipWriter *writer;
    Target current_target;
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
init_self(Membership *this, const MembershipOptions *options)
{
    PeerName_Copy(this->self.id, options->host);
    PeerName_Copy(this->self.address, options->address);
    PeerName_Copy(this->self.domain, options->domain);
    this->self.has_key = options->key.length == GOSSIP_KEY_BYTES;
    if (this->self.has_key) {
        memcpy(this->self.key, options->key.data, GOSSIP_KEY_BYTES);
    }
    this->self.incarnation = options->incarnation;
    this->self.tag =
        Gossip_IncarnationTag(options->host, options->incarnation);
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
    MemberTableOptions table_options = {
        .suspect_after = options->suspect_after,
        .remove_after = options->remove_after,
        .members_max = MAX(options->members_max, 1),
        .fault = options->fault,
    };

    this->options = *options;
    this->clock = clock;
    this->random = random;
    init_self(this, options);
    this->members =
        MemberTable_Create(&table_options, random, &this->counters);
    this->items =
        ItemStore_Create(MAX(options->items_max, 1), &this->counters);
    this->targets = GossipTargets_Create(options, this->members, random);
    this->writer = GossipWriter_Create(this->members, this->items, random);
    this->created = this->last_tick = Clock_Now(clock);
    this->next_round = this->next_urgent = this->created;
    ByteBudget_Init(&this->budget, options->bytes_per_s, INITIAL_ROUND_BYTES,
                    this->created);
    return this;
}

void
Membership_Destroy(Membership *this)
{
    MemberTable_Destroy(this->members);
    ItemStore_Destroy(this->items);
    g_free((char *)this->options.deployment.data);
    GossipTargets_Destroy(this->targets);
    GossipWriter_Destroy(this->writer);
    g_free(this);
}

/* Reads the clock. After a pause of this process, discounts the pause: the
 * missing heartbeats of that time do not mean that other hosts failed. */
static Micros
read_clock(Membership *this)
{
    Micros now = Clock_Now(this->clock);
    Micros gap = now - this->last_tick;

    this->last_tick = now;
    if (gap > PAUSE_MIN_US) {
        MemberTable_DiscountPause(this->members, gap, now);
    }
    return now;
}

void
Membership_OnHostList(Membership *this, const HostEntry *entries, size_t count)
{
    GossipTargets_OnHostList(this->targets, entries, count);
}

/* Returns the stamp of an item that is shared now. It increases with time and
 * is never 0. */
static uint32_t
item_stamp(const Membership *this, Micros now)
{
    return (uint32_t)((now - this->created) / MICROS_PER_MS) + 1;
}

/* Handles a later incarnation of this host's own id; see REFUTE_WINDOW_US. */
static void
refute_incarnation(Membership *this, uint64_t incarnation, Micros now)
{
    if (now - this->created > REFUTE_WINDOW_US) {
        this->superseded = true;
        return;
    }
    this->self.incarnation =
        MAX(incarnation + ((uint64_t)1 << INCARNATION_RANDOM_BITS),
            Membership_NewIncarnation(this->clock, this->random));
    this->self.tag = Gossip_IncarnationTag(Str_FromC(this->self.id),
                                           this->self.incarnation);
    ItemStore_DropOrigin(this->items, Str_FromC(this->self.id),
                         this->self.incarnation);
    this->self_urgent_sends = MemberTable_RetransmitCount(this->members);
    this->counters.refuted++;
    this->self_version++;
}

static MemberChange
apply_record(Membership *this, const GossipMember *record, Micros now)
{
    MemberChange change;

    if (Str_Equal(record->id, Str_FromC(this->self.id))) {
        if (record->incarnation > this->self.incarnation) {
            refute_incarnation(this, record->incarnation, now);
        }
        return MEMBER_UNCHANGED;
    }
    change = MemberTable_Put(this->members, record, now);
    if (change == MEMBER_RESTARTED &&
        this->options.fault != MEMBERSHIP_FAULT_OLD_INCARNATION) {
        ItemStore_DropOrigin(this->items, record->id, record->incarnation);
    }
    return change;
}

static void
apply_item(Membership *this, const GossipItem *item, Micros now)
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
                      MemberTable_RetransmitCount(this->members),
                      now) != ITEM_IGNORED) {
        this->counters.items_received++;
    }
}

/* Returns true if the host is unknown and its record was requested. */
static bool
apply_heartbeat(Membership *this, const GossipHeartbeat *heartbeat, Micros now)
{
    if (heartbeat->tag == this->self.tag ||
        MemberTable_OnHeartbeat(this->members, heartbeat, now) !=
            MEMBER_UNKNOWN) {
        return false;
    }
    return GossipWriter_RequestRecord(this->writer, heartbeat->tag);
}

/* Returns true if the sender should get a reply soon: it is new here, knows
 * hosts that are unknown here, or requests records. */
static bool
apply_members(Membership *this, const Gossip *gossip, Micros now)
{
    bool reply = false;

    for (size_t i = 0; i < gossip->member_count; i++) {
        const GossipMember *record = &gossip->members[i];
        MemberChange change = apply_record(this, record, now);

        if (Str_Equal(record->id, gossip->from)) {
            reply |= change == MEMBER_JOINED || change == MEMBER_REVIVED ||
                     change == MEMBER_RESTARTED;
        }
    }
    for (size_t i = 0; i < gossip->heartbeat_count; i++) {
        reply |= apply_heartbeat(this, &gossip->heartbeats[i], now);
    }
    for (size_t i = 0; i < gossip->record_request_count; i++) {
        MemberTable_OnRecordRequest(this->members, gossip->record_requests[i]);
        reply = true;
    }
    return reply;
}

int
Membership_OnGossip(Membership *this, const Gossip *gossip)
{
    Micros now = read_clock(this);
    Member *sender = MemberTable_Find(this->members, gossip->from);

    if (Str_Equal(gossip->from, Str_FromC(this->self.id))) {
        if (gossip->incarnation > this->self.incarnation) {
            refute_incarnation(this, gossip->incarnation, now);
        }
        return 0;
    }
    this->counters.messages_received++;
    this->last_message = now;
    if (sender != NULL && gossip->incarnation < sender->incarnation &&
        this->options.fault != MEMBERSHIP_FAULT_OLD_INCARNATION) {
        this->counters.old_incarnation++;
        GossipTargets_QueueReply(this->targets, sender, now);
        return ERR_EXPIRED;
    }
    if (apply_members(this, gossip, now)) {
        sender = MemberTable_Find(this->members, gossip->from);
        if (sender != NULL) {
            GossipTargets_QueueReply(this->targets, sender, now);
        }
    }
    for (size_t i = 0; i < gossip->item_count; i++) {
        apply_item(this, &gossip->items[i], now);
    }
    return 0;
}

int
Membership_Share(Membership *this, const SharedItem *item)
{
    Micros now = Clock_Now(this->clock);
    GossipItem own = {.item = *item, .stamp_ms = item_stamp(this, now)};

    if (!SharedItem_IsValid(item)) {
        return ERR_INVALID;
    }
    own.item.host = Str_FromC(this->self.id);
    own.item.incarnation = this->self.incarnation;
    own.item.age = MAX(item->age, 0);
    if (ItemStore_Put(this->items, &own, true,
                      MemberTable_RetransmitCount(this->members),
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
    this->self_urgent_sends = MemberTable_RetransmitCount(this->members);
    this->self_version++;
}

static bool
has_urgent(const Membership *this)
{
    return ItemStore_HasUrgent(this->items) || this->self_urgent_sends > 0 ||
           MemberTable_HasUrgent(this->members);
}

void
Membership_OnTick(Membership *this)
{
    Micros now = read_clock(this);

    if (now >= this->next_purge) {
        ItemStore_Purge(this->items, now);
        this->next_purge = now + PURGE_INTERVAL_US;
    }
}

Micros
Membership_NextTick(const Membership *this)
{
    if (this->superseded) {
        return Clock_Now(this->clock) + this->options.interval;
    }
    if (has_urgent(this) || this->usage_due ||
        GossipTargets_PendingReplies(this->targets) > 0) {
        return MIN(this->next_round, this->next_urgent);
    }
    return this->next_round;
}

static void
start_round(Membership *this, Micros now)
{
    Micros jitter = this->options.interval / 10;
    bool isolated = now - this->last_message >= ISOLATED_AFTER_US;
    uint64_t one_in = isolated ? ISOLATED_REJOIN_ONE_IN : REJOIN_ONE_IN;

    this->self.heartbeat++;
    if (isolated) {
        /* A request for its own record makes the receivers reply. */
        GossipWriter_RequestRecord(this->writer, this->self.tag);
    }
    MemberTable_CheckTimeouts(this->members, now);
    ByteBudget_RecordRound(&this->budget, this->round_bytes);
    this->round_bytes = 0;
    for (uint32_t i = 0; i < this->options.fanout; i++) {
        bool rejoin = Random_Below(this->random, one_in) == 0;

        if ((!rejoin || !GossipTargets_AddRejoinTarget(this->targets)) &&
            !GossipTargets_AddRandomMember(this->targets, MESSAGE_REGULAR,
                                           now)) {
            GossipTargets_AddRejoinTarget(this->targets);
        }
    }
    this->next_round = now + this->options.interval - jitter / 2 +
                       (Micros)Random_Below(this->random, (uint64_t)jitter);
}

/* Returns the largest length of an urgent message that leaves the reserve to
 * the next regular round. */
static size_t
unreserved_bytes(const Membership *this, Micros now)
{
    return ByteBudget_Unreserved(&this->budget, this->next_round - now);
}

static void
choose_urgent_targets(Membership *this, Micros now)
{
    int left = has_urgent(this) ? URGENT_TARGET_COUNT : 0;

    if (GossipTargets_AddReply(this->targets)) {
        left--;
    }
    if (this->usage_due &&
        GossipTargets_AddNextMember(this->targets, MESSAGE_URGENT, now)) {
        left--;
    }
    while (left > 0 &&
           GossipTargets_AddRandomMember(this->targets, MESSAGE_URGENT, now)) {
        left--;
    }
    this->usage_due = false;
    if (GossipTargets_Count(this->targets) == 0) {
        this->self_urgent_sends = 0;
    }
}

/* Returns the length below which no urgent message is sent. */
static size_t
urgent_min_bytes(const Membership *this)
{
    if (has_urgent(this) || GossipTargets_PendingReplies(this->targets) > 0) {
        return BUDGET_MESSAGE_MIN_BYTES;
    }
    return USAGE_MESSAGE_MIN_BYTES;
}

/* Starts urgent messages: replies to hosts that lack records, recent urgent
 * items and records, and usage. */
static void
start_urgent(Membership *this, Micros now)
{
    if (now < this->next_urgent ||
        (!has_urgent(this) && !this->usage_due &&
         GossipTargets_PendingReplies(this->targets) == 0)) {
        return;
    }
    this->next_urgent = now + this->options.urgent_interval;
    if (unreserved_bytes(this, now) < urgent_min_bytes(this)) {
        this->counters.over_budget++;
        return;
    }
    choose_urgent_targets(this, now);
}

/* Returns the largest length of a message; 0 if it cannot be sent now. */
static size_t
message_limit(const Membership *this, MessageKind kind, Micros now)
{
    size_t unreserved;

    if (this->options.fault == MEMBERSHIP_FAULT_IGNORE_BUDGET) {
        return GOSSIP_MAX_BYTES;
    }
    if (kind == MESSAGE_REGULAR || kind == MESSAGE_REJOIN) {
        return ByteBudget_Available(&this->budget);
    }
    unreserved = unreserved_bytes(this, now);
    if (kind == MESSAGE_URGENT && !has_urgent(this)) {
        return MIN(unreserved, USAGE_MESSAGE_MAX_BYTES);
    }
    return unreserved;
}

/* Updates budget and counters after a message was written. */
static void
record_sent(Membership *this, MessageKind kind, size_t length)
{
    ByteBudget_Spend(&this->budget, length);
    this->counters.messages_sent++;
    this->counters.bytes_sent += length + BUDGET_FRAMING_BYTES;
    if (kind == MESSAGE_URGENT || kind == MESSAGE_REPLY) {
        this->counters.urgent_sent++;
    }
    else {
        this->round_bytes += (double)length + BUDGET_FRAMING_BYTES;
        this->counters.rejoin_sent += kind == MESSAGE_REJOIN;
    }
    if (this->self_urgent_sends > 0) {
        this->self_urgent_sends--;
    }
}

/* Returns false if the budget does not allow the message now or the message
 * cannot be encoded. */
static bool
write_message(Membership *this, GString *bytes, Micros now)
{
    GossipWriteOptions write_options = {
        .envelope = {this->options.deployment, this->options.host,
                     this->self.incarnation},
        .target = &this->current_target,
        .self = &this->self,
        .announce_self = this->self_urgent_sends > 0,
        .limit = message_limit(this, this->current_target.kind, now),
        .now = now,
    };

    if (write_options.limit == 0) {
        this->counters.over_budget++;
        return false;
    }
    if (GossipWriter_Write(this->writer, &write_options, bytes) < 0) {
        return false;
    }
    record_sent(this, this->current_target.kind, bytes->len);
    return true;
}

static bool
next_target(Membership *this, Micros now)
{
    if (GossipTargets_Count(this->targets) == 0 && now >= this->next_round) {
        start_round(this, now);
    }
    if (GossipTargets_Count(this->targets) == 0) {
        start_urgent(this, now);
    }
    return GossipTargets_Pop(this->targets, &this->current_target);
}

bool
Membership_NextMessage(Membership *this, PeerTarget *to, GString *bytes)
{
    const Contact *contact = &this->current_target.contact;
    Micros now = read_clock(this);

    ByteBudget_Refill(&this->budget, now);
    if (this->superseded) {
        return false;
    }
    while (next_target(this, now)) {
        if (write_message(this, bytes, now)) {
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
    return ItemStore_NextUnread(this->items, item, Clock_Now(this->clock));
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
        .heartbeat_age = record.age,
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

    view.heartbeat_age = 0;
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
    for (size_t i = 0; i < MemberTable_KnownCount(this->members) && n < max;
         i++) {
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
    return MemberTable_Version(this->members) + this->self_version;
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
           ItemStore_Bytes(this->items) + GossipTargets_Bytes(this->targets) +
           GossipWriter_Bytes(this->writer);
}
