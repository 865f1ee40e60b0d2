#include <string.h>

#include "PeerCodec.h"

/* Values of a line in ItemUsage: usage, effective usage, caller level. */
#define VALUES_PER_LINE 3
/* Ages are 32-bit milliseconds on the wire; longer ones are sent as a day. */
#define AGE_MAX_MS ((uint32_t)1000 * 60 * 60 * 24)

/* Buffers of one call of PeerCodec_WriteGossip(). */
typedef struct Encoder_ {
    Agatecrank__GossipMember members[GOSSIP_MEMBERS_MAX];
    Agatecrank__GossipMember *member_list[GOSSIP_MEMBERS_MAX];
    uint32_t tags[GOSSIP_HEARTBEATS_MAX];
    uint32_t heartbeats[GOSSIP_HEARTBEATS_MAX];
    uint32_t heartbeat_ages[GOSSIP_HEARTBEATS_MAX];
    Agatecrank__GossipOrigin origins[GOSSIP_ITEMS_MAX];
    Agatecrank__GossipOrigin *origin_list[GOSSIP_ITEMS_MAX];
    size_t origin_count;
    ProtobufCBinaryData names[GOSSIP_ITEMS_MAX * 4];
    size_t name_count;
    Agatecrank__GossipItem items[GOSSIP_ITEMS_MAX];
    Agatecrank__GossipItem *item_list[GOSSIP_ITEMS_MAX];
    size_t item_count;
    union {
        Agatecrank__ItemDrain drain;
        Agatecrank__ItemSuspect suspect;
        Agatecrank__ItemFingerprint fingerprint;
        Agatecrank__ItemConfigOffset config;
        Agatecrank__ItemUsage usage;
    } bodies[GOSSIP_ITEMS_MAX];
    uint32_t upstreams[GOSSIP_ITEMS_MAX][QUARANTINE_LOSS_THRESHOLD];
    uint32_t lines[GOSSIP_ITEMS_MAX];
    float values[GOSSIP_ITEMS_MAX * VALUES_PER_LINE];
    size_t line_count;
} Encoder;

uint32_t
Gossip_IncarnationTag(Str host, uint64_t incarnation)
{
    return (uint32_t)Str_HashSeeded(host, incarnation);
}

static ProtobufCBinaryData
borrow_bytes(Str text)
{
    return (ProtobufCBinaryData){
        .len = text.length,
        .data = (uint8_t *)text.data,
    };
}

static uint32_t
age_ms(Micros age)
{
    Micros ms = age / MICROS_PER_MS;

    return ms < 0 ? 0 : ms > AGE_MAX_MS ? AGE_MAX_MS : (uint32_t)ms;
}

/* Returns the position of a name in the message, counted from 1, or 0 for an
 * empty name. Adds the name if the message does not contain it yet. */
static uint32_t
reference_name(Encoder *encoder, Str name)
{
    if (name.length == 0) {
        return 0;
    }
    for (size_t i = 0; i < encoder->name_count; i++) {
        if (Str_Equal(PeerMessage_ToStr(encoder->names[i]), name)) {
            return (uint32_t)i + 1;
        }
    }
    encoder->names[encoder->name_count++] = borrow_bytes(name);
    return (uint32_t)encoder->name_count;
}

/* As reference_name(), for the origin of an item. */
static uint32_t
reference_origin(Encoder *encoder, const SharedItem *item)
{
    Agatecrank__GossipOrigin *origin;

    for (size_t i = 0; i < encoder->origin_count; i++) {
        if (encoder->origins[i].incarnation == item->incarnation &&
            Str_Equal(PeerMessage_ToStr(encoder->origins[i].host),
                      item->host)) {
            return (uint32_t)i + 1;
        }
    }
    origin = &encoder->origins[encoder->origin_count];
    agatecrank__gossip_origin__init(origin);
    origin->host = borrow_bytes(item->host);
    origin->incarnation = item->incarnation;
    encoder->origin_list[encoder->origin_count++] = origin;
    return (uint32_t)encoder->origin_count;
}

static void
encode_members(Encoder *encoder, const Gossip *gossip,
               Agatecrank__Gossip *body)
{
    for (size_t i = 0; i < gossip->member_count; i++) {
        const GossipMember *from = &gossip->members[i];
        Agatecrank__GossipMember *to = &encoder->members[i];

        agatecrank__gossip_member__init(to);
        to->id = borrow_bytes(from->id);
        to->address = borrow_bytes(from->address);
        to->domain = borrow_bytes(from->domain);
        to->key = borrow_bytes(from->key);
        to->incarnation = from->incarnation;
        to->heartbeat = from->heartbeat;
        to->age_ms = age_ms(from->age);
        to->leaving = from->leaving;
        encoder->member_list[i] = to;
    }
    body->n_members = gossip->member_count;
    body->members = encoder->member_list;
}

/* Converts an age to the unit of the wire format, rounded up. */
static uint32_t
heartbeat_age_units(Micros age)
{
    return (age_ms(age) * MICROS_PER_MS + GOSSIP_HEARTBEAT_AGE_UNIT_US - 1) /
           GOSSIP_HEARTBEAT_AGE_UNIT_US;
}

static void
encode_heartbeats(Encoder *encoder, const Gossip *gossip,
                  Agatecrank__Gossip *body)
{
    for (size_t i = 0; i < gossip->heartbeat_count; i++) {
        encoder->tags[i] = gossip->heartbeats[i].tag;
        encoder->heartbeats[i] = gossip->heartbeats[i].heartbeat;
        encoder->heartbeat_ages[i] =
            heartbeat_age_units(gossip->heartbeats[i].age);
    }
    body->n_beat_tags = body->n_beats = gossip->heartbeat_count;
    body->n_beat_ages = gossip->heartbeat_count;
    body->beat_ages = encoder->heartbeat_ages;
    body->beat_tags = encoder->tags;
    body->beats = encoder->heartbeats;
}

static void
encode_fingerprint(Encoder *encoder, const SharedItem *item, size_t index)
{
    Agatecrank__ItemFingerprint *body = &encoder->bodies[index].fingerprint;

    agatecrank__item_fingerprint__init(body);
    body->line = reference_name(encoder, item->fingerprint.line);
    body->high = item->fingerprint.high;
    body->low = item->fingerprint.low;
    body->losses = item->fingerprint.losses;
    body->released = item->fingerprint.released;
    body->upstreams = encoder->upstreams[index];
    for (size_t i = 0; i < QUARANTINE_LOSS_THRESHOLD; i++) {
        Str upstream = item->fingerprint.upstreams[i];

        if (upstream.length > 0) {
            body->upstreams[body->n_upstreams++] =
                reference_name(encoder, upstream);
        }
    }
    encoder->items[index].item_case =
        AGATECRANK__GOSSIP_ITEM__ITEM_FINGERPRINT;
    encoder->items[index].fingerprint = body;
}

static void
encode_item_body(Encoder *encoder, const SharedItem *item, size_t index)
{
    Agatecrank__GossipItem *to = &encoder->items[index];

    switch (item->kind) {
    case SHARED_DRAIN:
        to->item_case = AGATECRANK__GOSSIP_ITEM__ITEM_DRAIN;
        to->drain = &encoder->bodies[index].drain;
        agatecrank__item_drain__init(to->drain);
        to->drain->upstream = reference_name(encoder, item->drain.upstream);
        to->drain->ended = item->drain.ended;
        return;
    case SHARED_SUSPECT:
        to->item_case = AGATECRANK__GOSSIP_ITEM__ITEM_SUSPECT;
        to->suspect = &encoder->bodies[index].suspect;
        agatecrank__item_suspect__init(to->suspect);
        to->suspect->upstream =
            reference_name(encoder, item->suspect.upstream);
        to->suspect->ended = item->suspect.ended;
        return;
    case SHARED_CONFIG_OFFSET:
        to->item_case = AGATECRANK__GOSSIP_ITEM__ITEM_CONFIG_OFFSET;
        to->config_offset = &encoder->bodies[index].config;
        agatecrank__item_config_offset__init(to->config_offset);
        to->config_offset->offset = item->config.offset;
        return;
    case SHARED_FINGERPRINT:
        encode_fingerprint(encoder, item, index);
        return;
    case SHARED_USAGE:
    case SHARED_KIND_COUNT:
        return;
    }
}

bool
Gossip_CanMergeUsage(const GossipItem *a, const GossipItem *b)
{
    return a->item.kind == SHARED_USAGE && b->item.kind == SHARED_USAGE &&
           a->stamp_ms == b->stamp_ms && a->hops == b->hops &&
           a->item.incarnation == b->item.incarnation &&
           Str_Equal(a->item.host, b->item.host) &&
           Str_Equal(a->item.usage.service, b->item.usage.service);
}

static void
encode_usage_line(Encoder *encoder, Agatecrank__ItemUsage *body,
                  const SharedItem *item)
{
    float *values = &encoder->values[encoder->line_count * VALUES_PER_LINE];

    encoder->lines[encoder->line_count++] =
        reference_name(encoder, item->usage.line);
    values[0] = item->usage.usage;
    values[1] = item->usage.effective;
    values[2] = item->usage.caller_level;
    body->n_lines++;
    body->n_values += VALUES_PER_LINE;
}

/* Encodes the usage items from @first on that differ only in their line as one
 * item of the wire format. Returns the number of encoded items. */
static size_t
encode_usage(Encoder *encoder, const Gossip *gossip, size_t first,
             size_t index)
{
    Agatecrank__GossipItem *to = &encoder->items[index];
    Agatecrank__ItemUsage *body = &encoder->bodies[index].usage;
    const GossipItem *common = &gossip->items[first];
    size_t i = first;

    agatecrank__item_usage__init(body);
    body->service = reference_name(encoder, common->item.usage.service);
    body->lines = &encoder->lines[encoder->line_count];
    body->values = &encoder->values[encoder->line_count * VALUES_PER_LINE];
    for (; i < gossip->item_count &&
           Gossip_CanMergeUsage(common, &gossip->items[i]);
         i++) {
        encode_usage_line(encoder, body, &gossip->items[i].item);
    }
    to->item_case = AGATECRANK__GOSSIP_ITEM__ITEM_USAGE;
    to->usage = body;
    return i - first;
}

static void
encode_items(Encoder *encoder, const Gossip *gossip, Agatecrank__Gossip *body)
{
    size_t i = 0;

    while (i < gossip->item_count) {
        const GossipItem *from = &gossip->items[i];
        size_t index = encoder->item_count++;
        Agatecrank__GossipItem *to = &encoder->items[index];

        agatecrank__gossip_item__init(to);
        to->origin = reference_origin(encoder, &from->item);
        to->stamp_ms = from->stamp_ms;
        to->age_ms = age_ms(from->item.age);
        to->hops = from->hops;
        encoder->item_list[index] = to;
        if (from->item.kind == SHARED_USAGE) {
            i += encode_usage(encoder, gossip, i, index);
        }
        else {
            encode_item_body(encoder, &from->item, index);
            i++;
        }
    }
    body->n_items = encoder->item_count;
    body->items = encoder->item_list;
    body->n_origins = encoder->origin_count;
    body->origins = encoder->origin_list;
    body->n_names = encoder->name_count;
    body->names = encoder->names;
}

int
PeerCodec_WriteGossip(const PeerEnvelope *envelope, const Gossip *gossip,
                      GString *out)
{
    Agatecrank__PeerMessage message = AGATECRANK__PEER_MESSAGE__INIT;
    Agatecrank__Gossip body = AGATECRANK__GOSSIP__INIT;
    Encoder encoder;

    encoder.origin_count = encoder.name_count = encoder.item_count = 0;
    encoder.line_count = 0;
    encode_members(&encoder, gossip, &body);
    encode_heartbeats(&encoder, gossip, &body);
    encode_items(&encoder, gossip, &body);
    body.n_wanted = gossip->record_request_count;
    body.wanted = (uint32_t *)gossip->record_requests;
    message.body_case = AGATECRANK__PEER_MESSAGE__BODY_GOSSIP;
    message.gossip = &body;
    return PeerMessage_Encode(envelope, &message, out);
}

static bool
read_member(const Agatecrank__GossipMember *from, GossipMember *to)
{
    to->id = PeerMessage_ToStr(from->id);
    to->address = PeerMessage_ToStr(from->address);
    to->domain = PeerMessage_ToStr(from->domain);
    to->key = PeerMessage_ToStr(from->key);
    to->incarnation = from->incarnation;
    to->heartbeat = from->heartbeat;
    to->age = (Micros)from->age_ms * MICROS_PER_MS;
    to->leaving = from->leaving;
    return PeerName_IsValid(to->id) && PeerName_IsValid(to->address) &&
           (to->domain.length == 0 || PeerName_IsValid(to->domain)) &&
           (to->key.length == 0 || to->key.length == GOSSIP_KEY_BYTES);
}

static bool
read_name(const Agatecrank__Gossip *body, uint32_t reference, Str *name)
{
    if (reference == 0 || reference > body->n_names) {
        return false;
    }
    *name = PeerMessage_ToStr(body->names[reference - 1]);
    return PeerName_IsValid(*name);
}

static bool
read_fingerprint(const Agatecrank__Gossip *body,
                 const Agatecrank__ItemFingerprint *from, SharedItem *to)
{
    to->kind = SHARED_FINGERPRINT;
    to->fingerprint.high = from->high;
    to->fingerprint.low = from->low;
    to->fingerprint.losses = from->losses;
    to->fingerprint.released = from->released;
    if (from->n_upstreams > QUARANTINE_LOSS_THRESHOLD ||
        from->losses > QUARANTINE_LOSS_THRESHOLD ||
        !read_name(body, from->line, &to->fingerprint.line)) {
        return false;
    }
    for (size_t i = 0; i < from->n_upstreams; i++) {
        if (!read_name(body, from->upstreams[i],
                       &to->fingerprint.upstreams[i])) {
            return false;
        }
    }
    return true;
}

static bool
read_item_body(const Agatecrank__Gossip *body,
               const Agatecrank__GossipItem *from, SharedItem *to)
{
    switch (from->item_case) {
    case AGATECRANK__GOSSIP_ITEM__ITEM_DRAIN:
        to->kind = SHARED_DRAIN;
        to->drain.ended = from->drain->ended;
        return read_name(body, from->drain->upstream, &to->drain.upstream);
    case AGATECRANK__GOSSIP_ITEM__ITEM_SUSPECT:
        to->kind = SHARED_SUSPECT;
        to->suspect.ended = from->suspect->ended;
        return read_name(body, from->suspect->upstream, &to->suspect.upstream);
    case AGATECRANK__GOSSIP_ITEM__ITEM_CONFIG_OFFSET:
        to->kind = SHARED_CONFIG_OFFSET;
        to->config.offset = from->config_offset->offset;
        return true;
    case AGATECRANK__GOSSIP_ITEM__ITEM_FINGERPRINT:
        return read_fingerprint(body, from->fingerprint, to);
    default:
        return false;
    }
}

/* Rejects values that would corrupt sums: negative, infinite, NaN. */
static bool
is_valid_amount(float value)
{
    return value >= 0 && value <= 1e9F;
}

/* Splits an item of the wire format into one item for each line. Returns the
 * number of skipped entries. */
static uint64_t
read_usage(const Agatecrank__Gossip *body, const Agatecrank__ItemUsage *from,
           const GossipItem *common, Gossip *gossip)
{
    uint64_t skipped = 0;
    Str service;

    if (!read_name(body, from->service, &service) ||
        from->n_values != from->n_lines * VALUES_PER_LINE) {
        return 1;
    }
    for (size_t i = 0; i < from->n_lines; i++) {
        const float *values = &from->values[i * VALUES_PER_LINE];
        Str line = {NULL, 0};
        SharedItem *to;

        if ((from->lines[i] != 0 && !read_name(body, from->lines[i], &line)) ||
            !is_valid_amount(values[0]) || !is_valid_amount(values[1]) ||
            !is_valid_amount(values[2]) ||
            gossip->item_count >= GOSSIP_ITEMS_MAX) {
            skipped++;
            continue;
        }
        gossip->items[gossip->item_count] = *common;
        to = &gossip->items[gossip->item_count++].item;
        to->kind = SHARED_USAGE;
        to->usage.service = service;
        to->usage.line = line;
        to->usage.usage = values[0];
        to->usage.effective = values[1];
        to->usage.caller_level = values[2];
    }
    return skipped;
}

/* Returns the number of skipped entries. */
static uint64_t
read_item(const Agatecrank__Gossip *body, const Agatecrank__GossipItem *from,
          Gossip *gossip)
{
    GossipItem common = {0};

    if (from->origin == 0 || from->origin > body->n_origins) {
        return 1;
    }
    common.item.host =
        PeerMessage_ToStr(body->origins[from->origin - 1]->host);
    common.item.incarnation = body->origins[from->origin - 1]->incarnation;
    common.item.age = (Micros)from->age_ms * MICROS_PER_MS;
    common.stamp_ms = from->stamp_ms;
    common.hops = from->hops;
    if (!PeerName_IsValid(common.item.host)) {
        return 1;
    }
    if (from->item_case == AGATECRANK__GOSSIP_ITEM__ITEM_USAGE) {
        return read_usage(body, from->usage, &common, gossip);
    }
    if (gossip->item_count >= GOSSIP_ITEMS_MAX ||
        !read_item_body(body, from, &common.item)) {
        return 1;
    }
    gossip->items[gossip->item_count++] = common;
    return 0;
}

int
PeerCodec_ReadGossip(const PeerMessage *message, Gossip *gossip,
                     uint64_t *skipped)
{
    const Agatecrank__Gossip *body = PeerMessage_Get(message)->gossip;
    uint64_t invalid = 0;

    if (PeerMessage_BodyCase(message) !=
            AGATECRANK__PEER_MESSAGE__BODY_GOSSIP ||
        body->n_beat_tags != body->n_beats ||
        body->n_beat_ages != body->n_beats) {
        return ERR_PROTOCOL;
    }
    gossip->from = PeerMessage_Host(message);
    gossip->incarnation = PeerMessage_Incarnation(message);
    gossip->member_count = gossip->item_count = 0;
    for (size_t i = 0; i < body->n_members; i++) {
        if (gossip->member_count < GOSSIP_MEMBERS_MAX &&
            read_member(body->members[i],
                        &gossip->members[gossip->member_count])) {
            gossip->member_count++;
        }
        else {
            invalid++;
        }
    }
    gossip->heartbeat_count = MIN(body->n_beats, GOSSIP_HEARTBEATS_MAX);
    invalid += body->n_beats - gossip->heartbeat_count;
    for (size_t i = 0; i < gossip->heartbeat_count; i++) {
        gossip->heartbeats[i].tag = body->beat_tags[i];
        gossip->heartbeats[i].heartbeat = body->beats[i];
        gossip->heartbeats[i].age =
            (Micros)body->beat_ages[i] * GOSSIP_HEARTBEAT_AGE_UNIT_US;
    }
    gossip->record_request_count =
        MIN(body->n_wanted, GOSSIP_RECORD_REQUESTS_MAX);
    for (size_t i = 0; i < gossip->record_request_count; i++) {
        gossip->record_requests[i] = body->wanted[i];
    }
    for (size_t i = 0; i < body->n_items; i++) {
        invalid += read_item(body, body->items[i], gossip);
    }
    if (skipped != NULL) {
        *skipped += invalid;
    }
    return 0;
}
