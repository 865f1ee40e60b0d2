#include "GossipWriter.h"

#include "GossipDraft.h"
#include "PeerCodec.h"

/* Room that items leave to heartbeats and records in a regular message. */
#define BEATS_RESERVE_MAX 720
#define BEAT_RESERVE 11
#define RECORDS_RESERVE 360
#define RECORDS_PER_MESSAGE 5
#define SELECT_MAX 160

struct GossipWriter_ {
    MemberTable *members;
    ItemStore *items;
    Random *random;
    uint32_t wanted[GOSSIP_WANTED_MAX]; /* tags of hosts not known */
    size_t wanted_count;
    size_t cursor;
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
GossipWriter_Want(GossipWriter *this, uint32_t tag)
{
    if (this->wanted_count == GOSSIP_WANTED_MAX) {
        return false;
    }
    for (size_t i = 0; i < this->wanted_count; i++) {
        if (this->wanted[i] == tag) {
            return true;
        }
    }
    this->wanted[this->wanted_count++] = tag;
    return true;
}

static bool
has_room(const GossipWriter *this, size_t reserve)
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
    MemberTable_Sent(this->members, member, urgent);
    return true;
}

/* The receiver's own record, which shows it a later life of its id. */
static void
add_receiver(GossipWriter *this, const Contact *contact, Micros now)
{
    Member *member = MemberTable_Find(this->members, Str_FromC(contact->id));

    if (member != NULL) {
        add_record(this, member, false, now);
    }
}

/* Records that the receiver has asked for. */
static void
add_wanted(GossipWriter *this, Micros now)
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
add_changed(GossipWriter *this, size_t reserve, bool urgent, Micros now)
{
    size_t count = MemberTable_Count(this->members);
    size_t start = Random_Below(this->random, count);

    for (size_t i = 0; i < count; i++) {
        Member *member = MemberTable_At(this->members, (start + i) % count);
        uint32_t left = urgent ? member->hot_left : member->sends_left;

        if (left == 0) {
            continue;
        }
        if (!has_room(this, reserve) ||
            !add_record(this, member, urgent, now)) {
            return;
        }
    }
}

/* Records in turn, so that everyone learns of every host again and again. */
static void
add_rotation(GossipWriter *this, size_t most, size_t reserve, Micros now)
{
    size_t count = MemberTable_Count(this->members);
    size_t added = 0;

    for (size_t i = 0; i < count; i++) {
        Member *member = MemberTable_At(this->members, this->cursor++ % count);

        if (member->state != HOST_LIVE || member->sends_left > 0) {
            continue;
        }
        if (added++ == most || !has_room(this, reserve) ||
            !add_record(this, member, false, now)) {
            return;
        }
    }
}

/* Heartbeats of live hosts, from a random one on. */
static void
add_beats(GossipWriter *this, size_t reserve, Micros now)
{
    size_t count = MemberTable_Count(this->members);
    size_t start = Random_Below(this->random, count);
    Micros since = now - MemberTable_SuspectAfter(this->members);

    for (size_t i = 0; i < count; i++) {
        const Member *member =
            MemberTable_At(this->members, (start + i) % count);
        GossipBeat beat = {member->tag, member->heartbeat,
                           now - member->heard};

        if (member->state != HOST_LIVE || member->heard <= since) {
            continue;
        }
        if (!has_room(this, reserve) ||
            !GossipDraft_AddBeat(&this->draft, &beat)) {
            return;
        }
    }
}

static void
add_items(GossipWriter *this, size_t reserve, bool urgent, Micros now)
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
        if (!has_room(this, reserve) ||
            !GossipDraft_AddItem(&this->draft, &item)) {
            return;
        }
        ItemStore_Sent(this->items, items[i], urgent);
    }
}

/* Urgent messages are many: a heartbeat does unless this host has news. */
static void
add_self(GossipWriter *this, const GossipRequest *request)
{
    const Member *self = request->self;
    GossipMember record = Member_Record(self, request->now);
    GossipBeat beat = {self->tag, self->heartbeat, 0};

    record.age = 0;
    if (request->target->kind == MESSAGE_URGENT && !request->self_is_news) {
        GossipDraft_AddBeat(&this->draft, &beat);
        return;
    }
    GossipDraft_AddMember(&this->draft, &record);
}

static void
ask_for_wanted(GossipWriter *this)
{
    while (this->wanted_count > 0 &&
           GossipDraft_AddWanted(&this->draft,
                                 this->wanted[this->wanted_count - 1])) {
        this->wanted_count--;
    }
}

static size_t
beats_reserve(const GossipWriter *this)
{
    size_t beats = MemberTable_Members(this->members) * BEAT_RESERVE;

    return MIN(beats, MIN(BEATS_RESERVE_MAX, this->draft.limit / 2));
}

/* Items come first: when many hosts change at once, their records would leave
 * no room for them. A quarter of each message is theirs in any case. */
static void
fill_regular(GossipWriter *this, Micros now)
{
    size_t reserve = beats_reserve(this) + RECORDS_RESERVE;

    add_items(this, MIN(reserve, this->draft.limit * 3 / 4), false, now);
    add_changed(this, beats_reserve(this), false, now);
    add_beats(this, MIN(RECORDS_RESERVE, this->draft.limit / 4), now);
    add_rotation(this, RECORDS_PER_MESSAGE, 0, now);
}

static void
fill_draft(GossipWriter *this, const Target *target, Micros now)
{
    size_t limit = this->draft.limit;

    switch (target->kind) {
    case MESSAGE_URGENT:
        add_changed(this, 0, true, now);
        add_items(this, 0, true, now);
        return;
    case MESSAGE_REPLY:
        add_receiver(this, &target->contact, now);
        add_wanted(this, now);
        add_changed(this, 0, false, now);
        add_rotation(this, GOSSIP_MEMBERS_MAX, limit / 4, now);
        add_items(this, 0, false, now);
        return;
    case MESSAGE_REJOIN:
        add_receiver(this, &target->contact, now);
        add_beats(this, limit / 2, now);
        return;
    case MESSAGE_REGULAR:
        fill_regular(this, now);
        return;
    }
}

int
GossipWriter_Write(GossipWriter *this, const GossipRequest *request,
                   GString *bytes)
{
    GossipDraft_Begin(&this->draft, &request->envelope, request->limit);
    add_self(this, request);
    ask_for_wanted(this);
    fill_draft(this, request->target, request->now);
    GossipDraft_Finish(&this->draft);
    return PeerCodec_WriteGossip(&request->envelope, &this->draft.gossip,
                                 bytes);
}

size_t
GossipWriter_Bytes(const GossipWriter *this)
{
    return sizeof(*this);
}
