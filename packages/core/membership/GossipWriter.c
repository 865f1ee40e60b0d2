#include "GossipWriter.h"

#include "GossipDraft.h"
#include "PeerCodec.h"

/* Space in a regular message that items leave to heartbeats and records. */
#define HEARTBEATS_RESERVE_MAX_BYTES 720
#define HEARTBEAT_RESERVE_BYTES 11
#define RECORDS_RESERVE_BYTES 360
/* Unchanged records in one regular message. */
#define UNCHANGED_RECORDS_MAX 5
/* Items considered for one message. */
#define ITEM_CANDIDATES_MAX 160

struct GossipWriter_ {
    MemberTable *members;
    ItemStore *items;
    Random *random;
    /* Tags of unknown hosts whose records are to be requested. */
    uint32_t record_requests[GOSSIP_RECORD_REQUESTS_MAX];
    size_t record_request_count;
    size_t next_member; /* for add_unchanged_records() */
    GossipDraft draft;
};

GossipWriter *
GossipWriter_Create(MemberTable *members, ItemStore *items, Random *random)
{
    GossipWriter *this = g_new0(GossipWriter, 1);

    this->members = members;
    this->items = items;
    this->random = random;
    return this;
}

void
GossipWriter_Destroy(GossipWriter *this)
{
    g_free(this);
}

bool
GossipWriter_RequestRecord(GossipWriter *this, uint32_t tag)
{
    if (this->record_request_count == GOSSIP_RECORD_REQUESTS_MAX) {
        return false;
    }
    for (size_t i = 0; i < this->record_request_count; i++) {
        if (this->record_requests[i] == tag) {
            return true;
        }
    }
    this->record_requests[this->record_request_count++] = tag;
    return true;
}

/* True if the message has space for @reserve more bytes. */
static bool
fits(const GossipWriter *this, size_t reserve)
{
    return this->draft.bytes + reserve <= this->draft.limit;
}

static bool
add_record(GossipWriter *this, Member *member, bool urgent, Micros now)
{
    GossipMember record = Member_Record(member, now);

    if (!GossipDraft_AddMember(&this->draft, &record)) {
        return false;
    }
    MemberTable_OnSent(this->members, member, urgent);
    return true;
}

/* Adds the record of the receiver, so that it learns of a later incarnation of
 * its id. */
static void
add_receiver(GossipWriter *this, const Contact *contact, Micros now)
{
    Member *member = MemberTable_Find(this->members, Str_FromC(contact->id));

    if (member != NULL) {
        add_record(this, member, false, now);
    }
}

/* Adds the records that peers have requested. */
static void
add_requested_records(GossipWriter *this, Micros now)
{
    for (size_t i = 0; i < MemberTable_KnownCount(this->members); i++) {
        Member *member = MemberTable_At(this->members, i);

        if (member->record_requested && add_record(this, member, false, now)) {
            member->record_requested = false;
        }
    }
}

/* Adds records that other hosts may not know yet. Starts at a random one, as
 * not all of them fit when many hosts change at once. */
static void
add_changed_records(GossipWriter *this, size_t reserve, bool urgent,
                    Micros now)
{
    size_t count = MemberTable_KnownCount(this->members);
    size_t start = Random_Below(this->random, count);

    for (size_t i = 0; i < count; i++) {
        Member *member = MemberTable_At(this->members, (start + i) % count);
        uint32_t sends_left =
            urgent ? member->urgent_sends_left : member->sends_left;

        if (sends_left == 0) {
            continue;
        }
        if (!fits(this, reserve) || !add_record(this, member, urgent, now)) {
            return;
        }
    }
}

/* Adds at most @max unchanged records of live hosts, round-robin, so that each
 * record is sent again from time to time. */
static void
add_unchanged_records(GossipWriter *this, size_t max, size_t reserve,
                      Micros now)
{
    size_t count = MemberTable_KnownCount(this->members);
    size_t added = 0;

    for (size_t i = 0; i < count; i++) {
        Member *member =
            MemberTable_At(this->members, this->next_member++ % count);

        if (member->state != HOST_LIVE || member->sends_left > 0) {
            continue;
        }
        if (added++ == max || !fits(this, reserve) ||
            !add_record(this, member, false, now)) {
            return;
        }
    }
}

/* Adds heartbeats of live hosts, starting at a random one. */
static void
add_heartbeats(GossipWriter *this, size_t reserve, Micros now)
{
    size_t count = MemberTable_KnownCount(this->members);
    size_t start = Random_Below(this->random, count);
    Micros since = now - MemberTable_SuspectAfter(this->members);

    for (size_t i = 0; i < count; i++) {
        const Member *member =
            MemberTable_At(this->members, (start + i) % count);
        GossipHeartbeat heartbeat = {member->tag, member->heartbeat,
                                     now - member->last_heartbeat};

        if (member->state != HOST_LIVE || member->last_heartbeat <= since) {
            continue;
        }
        if (!fits(this, reserve) ||
            !GossipDraft_AddHeartbeat(&this->draft, &heartbeat)) {
            return;
        }
    }
}

static void
add_items(GossipWriter *this, size_t reserve, bool urgent, Micros now)
{
    StoredItem *items[ITEM_CANDIDATES_MAX];
    size_t n = ItemStore_Select(this->items, items, ITEM_CANDIDATES_MAX, now);

    for (size_t i = 0; i < n; i++) {
        GossipItem item = {
            .item = items[i]->item,
            .stamp_ms = items[i]->stamp_ms,
            .hops = items[i]->hops,
        };

        item.item.age = now - items[i]->observed;
        if (!fits(this, reserve) ||
            !GossipDraft_AddItem(&this->draft, &item)) {
            return;
        }
        ItemStore_OnSent(this->items, items[i], urgent);
    }
}

/* Adds this host. Urgent messages are frequent, so they carry only its
 * heartbeat unless its record has changed. */
static void
add_self(GossipWriter *this, const GossipWriteOptions *options)
{
    const Member *self = options->self;
    GossipMember record = Member_Record(self, options->now);
    GossipHeartbeat heartbeat = {self->tag, self->heartbeat, 0};

    record.age = 0;
    if (options->target->kind == MESSAGE_URGENT && !options->announce_self) {
        GossipDraft_AddHeartbeat(&this->draft, &heartbeat);
        return;
    }
    GossipDraft_AddMember(&this->draft, &record);
}

static void
add_record_requests(GossipWriter *this)
{
    while (this->record_request_count > 0 &&
           GossipDraft_AddRecordRequest(
               &this->draft,
               this->record_requests[this->record_request_count - 1])) {
        this->record_request_count--;
    }
}

/* Returns the bytes to keep for the heartbeats of all members, at most half a
 * message. */
static size_t
heartbeats_reserve(const GossipWriter *this)
{
    size_t bytes =
        MemberTable_MemberCount(this->members) * HEARTBEAT_RESERVE_BYTES;

    return MIN(bytes,
               MIN(HEARTBEATS_RESERVE_MAX_BYTES, this->draft.limit / 2));
}

/* Items come first: when many hosts change at once, their records would leave
 * no space for items. At least a quarter of each message is for items. */
static void
fill_regular(GossipWriter *this, Micros now)
{
    size_t reserve = heartbeats_reserve(this) + RECORDS_RESERVE_BYTES;

    add_items(this, MIN(reserve, this->draft.limit * 3 / 4), false, now);
    add_changed_records(this, heartbeats_reserve(this), false, now);
    add_heartbeats(this, MIN(RECORDS_RESERVE_BYTES, this->draft.limit / 4),
                   now);
    add_unchanged_records(this, UNCHANGED_RECORDS_MAX, 0, now);
}

static void
fill_draft(GossipWriter *this, const Target *target, Micros now)
{
    size_t limit = this->draft.limit;

    switch (target->kind) {
    case MESSAGE_URGENT:
        add_changed_records(this, 0, true, now);
        add_items(this, 0, true, now);
        return;
    case MESSAGE_REPLY:
        add_receiver(this, &target->contact, now);
        add_requested_records(this, now);
        add_changed_records(this, 0, false, now);
        add_unchanged_records(this, GOSSIP_MEMBERS_MAX, limit / 4, now);
        add_items(this, 0, false, now);
        return;
    case MESSAGE_REJOIN:
        add_receiver(this, &target->contact, now);
        add_heartbeats(this, limit / 2, now);
        return;
    case MESSAGE_REGULAR:
        fill_regular(this, now);
        return;
    }
}

int
GossipWriter_Write(GossipWriter *this, const GossipWriteOptions *options,
                   GString *bytes)
{
    GossipDraft_Begin(&this->draft, &options->envelope, options->limit);
    add_self(this, options);
    add_record_requests(this);
    fill_draft(this, options->target, options->now);
    GossipDraft_Finish(&this->draft);
    return PeerCodec_WriteGossip(&options->envelope, &this->draft.gossip,
                                 bytes);
}

size_t
GossipWriter_Bytes(const GossipWriter *this)
{
    return sizeof(*this);
}
