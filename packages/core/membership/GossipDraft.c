#include "GossipDraft.h"

#include <stdlib.h>
#include <string.h>

/* Upper bounds of the encoded lengths. A field tag and a length take 1 to 2
 * bytes each, a reference to a name or an origin 2, a time in ms 5, and a
 * fixed64 with its tag 9. */
#define FIELD_BYTES 3
#define FIXED64_BYTES 9
#define ENVELOPE_BYTES (2 + 2 * FIELD_BYTES + FIXED64_BYTES + 4)
#define MEMBER_BYTES (5 * FIELD_BYTES + FIXED64_BYTES + 6 + 6 + 2)
#define HEARTBEAT_BYTES 11
#define RECORD_REQUEST_BYTES 4
#define LISTS_BYTES (4 * FIELD_BYTES)
#define ITEM_BYTES (FIELD_BYTES + 3 + 6 + 6 + 2 + FIELD_BYTES)
#define REFERENCE_BYTES 3
#define FINGERPRINT_BYTES                                                     \
    (REFERENCE_BYTES + 2 * FIXED64_BYTES + 2 + FIELD_BYTES +                  \
     QUARANTINE_LOSS_THRESHOLD * REFERENCE_BYTES + 2)
#define CONFIG_OFFSET_BYTES 11
#define USAGE_BYTES (REFERENCE_BYTES + 2 * FIELD_BYTES)
#define USAGE_LINE_BYTES (2 + 3 * 4)

void
GossipDraft_Begin(GossipDraft *this, const PeerEnvelope *envelope,
                  size_t limit)
{
    this->gossip.from = envelope->host;
    this->gossip.incarnation = envelope->incarnation;
    this->gossip.member_count = 0;
    this->gossip.heartbeat_count = 0;
    this->gossip.item_count = 0;
    this->gossip.record_request_count = 0;
    this->name_count = 0;
    this->limit = limit;
    this->bytes = ENVELOPE_BYTES + LISTS_BYTES + envelope->deployment.length +
                  envelope->host.length;
}

/* Returns false if @bytes more would exceed the limit. */
static bool
reserve_bytes(GossipDraft *this, size_t bytes)
{
    if (this->bytes + bytes > this->limit) {
        return false;
    }
    this->bytes += bytes;
    return true;
}

bool
GossipDraft_AddMember(GossipDraft *this, const GossipMember *member)
{
    size_t bytes = MEMBER_BYTES + member->id.length + member->address.length +
                   member->domain.length + member->key.length;

    if (this->gossip.member_count == GOSSIP_MEMBERS_MAX ||
        !reserve_bytes(this, bytes)) {
        return false;
    }
    this->gossip.members[this->gossip.member_count++] = *member;
    return true;
}

bool
GossipDraft_AddHeartbeat(GossipDraft *this, const GossipHeartbeat *heartbeat)
{
    if (this->gossip.heartbeat_count == GOSSIP_HEARTBEATS_MAX ||
        !reserve_bytes(this, HEARTBEAT_BYTES)) {
        return false;
    }
    this->gossip.heartbeats[this->gossip.heartbeat_count++] = *heartbeat;
    return true;
}

bool
GossipDraft_AddRecordRequest(GossipDraft *this, uint32_t tag)
{
    if (this->gossip.record_request_count == GOSSIP_RECORD_REQUESTS_MAX ||
        !reserve_bytes(this, RECORD_REQUEST_BYTES)) {
        return false;
    }
    this->gossip.record_requests[this->gossip.record_request_count++] = tag;
    return true;
}

/* Adds a name if the message does not contain it yet. Returns the bytes that
 * it adds. */
static size_t
add_name(GossipDraft *this, Str name)
{
    if (name.length == 0) {
        return 0;
    }
    for (size_t i = 0; i < this->name_count; i++) {
        if (Str_Equal(this->names[i], name)) {
            return 0;
        }
    }
    if (this->name_count < GOSSIP_NAMES_MAX) {
        this->names[this->name_count++] = name;
    }
    return FIELD_BYTES + name.length;
}

/* Returns the bytes that a usage item adds. Items that can be merged share one
 * item of the wire format. */
static size_t
usage_bytes(GossipDraft *this, const GossipItem *item)
{
    size_t bytes = USAGE_LINE_BYTES + add_name(this, item->item.usage.line);

    for (size_t i = 0; i < this->gossip.item_count; i++) {
        if (Gossip_CanMergeUsage(&this->gossip.items[i], item)) {
            return bytes;
        }
    }
    return bytes + ITEM_BYTES + USAGE_BYTES +
           add_name(this, item->item.usage.service);
}

/* Returns the bytes of the item's origin; 0 if the message contains it. */
static size_t
origin_bytes(const GossipDraft *this, const SharedItem *item)
{
    for (size_t i = 0; i < this->gossip.item_count; i++) {
        const SharedItem *other = &this->gossip.items[i].item;

        if (other->incarnation == item->incarnation &&
            Str_Equal(other->host, item->host)) {
            return 0;
        }
    }
    return 2 * FIELD_BYTES + item->host.length + FIXED64_BYTES;
}

static size_t
item_bytes(GossipDraft *this, const GossipItem *item)
{
    const SharedItem *shared = &item->item;
    size_t bytes = ITEM_BYTES;

    switch (shared->kind) {
    case SHARED_USAGE:
        return usage_bytes(this, item);
    case SHARED_DRAIN:
        return bytes + REFERENCE_BYTES + 2 +
               add_name(this, shared->drain.upstream);
    case SHARED_SUSPECT:
        return bytes + REFERENCE_BYTES + 2 +
               add_name(this, shared->suspect.upstream);
    case SHARED_FINGERPRINT:
        bytes += FINGERPRINT_BYTES;
        bytes += add_name(this, shared->fingerprint.line);
        for (size_t i = 0; i < QUARANTINE_LOSS_THRESHOLD; i++) {
            bytes += add_name(this, shared->fingerprint.upstreams[i]);
        }
        return bytes;
    case SHARED_CONFIG_OFFSET:
    case SHARED_KIND_COUNT:
        break;
    }
    return bytes + CONFIG_OFFSET_BYTES;
}

bool
GossipDraft_AddItem(GossipDraft *this, const GossipItem *item)
{
    size_t names = this->name_count;

    if (this->gossip.item_count == GOSSIP_ITEMS_MAX ||
        !reserve_bytes(this, origin_bytes(this, &item->item) +
                                 item_bytes(this, item))) {
        this->name_count = names;
        return false;
    }
    this->gossip.items[this->gossip.item_count++] = *item;
    return true;
}

static int
compare_names(Str a, Str b)
{
    size_t length = a.length < b.length ? a.length : b.length;
    int order = length > 0 ? memcmp(a.data, b.data, length) : 0;

    if (order != 0) {
        return order;
    }
    return a.length < b.length ? -1 : a.length > b.length;
}

static int
compare_u64(uint64_t a, uint64_t b)
{
    return a < b ? -1 : a > b;
}

/* Sorts by kind, and usage by the fields of Gossip_CanMergeUsage(). */
static int
compare_items(const void *left, const void *right)
{
    const GossipItem *a = left;
    const GossipItem *b = right;
    int order = compare_u64(a->item.kind, b->item.kind);

    if (order != 0 || a->item.kind != SHARED_USAGE) {
        return order;
    }
    order = compare_names(a->item.host, b->item.host);
    if (order == 0) {
        order = compare_names(a->item.usage.service, b->item.usage.service);
    }
    if (order == 0) {
        order = compare_u64(a->stamp_ms, b->stamp_ms);
    }
    return order != 0 ? order : compare_u64(a->hops, b->hops);
}

void
GossipDraft_Finish(GossipDraft *this)
{
    qsort(this->gossip.items, this->gossip.item_count, sizeof(GossipItem),
          compare_items);
}
