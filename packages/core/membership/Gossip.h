#ifndef AGATECRANK_CORE_GOSSIP_H
#define AGATECRANK_CORE_GOSSIP_H

#include "SharedItem.h"

/** GOSSIP_MAX_BYTES - longest encoded gossip message */
#define GOSSIP_MAX_BYTES 1400
/** GOSSIP_MEMBERS_MAX, _HEARTBEATS_MAX, _ITEMS_MAX - entries of a message */
#define GOSSIP_MEMBERS_MAX 64
#define GOSSIP_HEARTBEATS_MAX 256
#define GOSSIP_ITEMS_MAX 128
/** GOSSIP_RECORD_REQUESTS_MAX - host records requested in a message */
#define GOSSIP_RECORD_REQUESTS_MAX 16
/** GOSSIP_KEY_BYTES - size of a CURVE public key */
#define GOSSIP_KEY_BYTES 32

/**
 * struct GossipMember_ - record of one host
 * @address: ADDRESS:PORT of its peer link
 * @domain: its failure domain; may be empty
 * @key: its CURVE public key of 32 bytes; empty: the deployment's key
 * @heartbeat: counter that the host increments while it is alive
 * @age: time since the sender learned of a newer heartbeat
 */
typedef struct GossipMember_ {
    Str id;
    Str address;
    Str domain;
    Str key;
    uint64_t incarnation;
    uint32_t heartbeat;
    Micros age;
    bool leaving;
} GossipMember;

/** GOSSIP_HEARTBEAT_AGE_UNIT_US - unit of a heartbeat's age on the wire */
#define GOSSIP_HEARTBEAT_AGE_UNIT_US (50 * MICROS_PER_MS)

/**
 * struct GossipHeartbeat_ - heartbeat of a host that the receiver may know
 * @tag: identifies host and incarnation, see Gossip_IncarnationTag()
 * @age: time since the sender learned of it; rounded up on the wire to a
 *       multiple of GOSSIP_HEARTBEAT_AGE_UNIT_US
 */
typedef struct GossipHeartbeat_ {
    uint32_t tag;
    uint32_t heartbeat;
    Micros age;
} GossipHeartbeat;

/**
 * struct GossipItem_ - shared item with the fields of its dissemination
 * @stamp_ms: time of the origin's own clock; orders the items of one origin
 * @hops: number of hosts that the item has passed so far
 */
typedef struct GossipItem_ {
    SharedItem item;
    uint32_t stamp_ms;
    uint32_t hops;
} GossipItem;

/**
 * struct Gossip_ - contents of one gossip message
 * @from: id of the sender
 * @incarnation: of the sender
 * @record_requests: tags of hosts unknown to the sender, which requests their
 *                   records
 */
typedef struct Gossip_ {
    Str from;
    uint64_t incarnation;
    GossipMember members[GOSSIP_MEMBERS_MAX];
    size_t member_count;
    GossipHeartbeat heartbeats[GOSSIP_HEARTBEATS_MAX];
    size_t heartbeat_count;
    GossipItem items[GOSSIP_ITEMS_MAX];
    size_t item_count;
    uint32_t record_requests[GOSSIP_RECORD_REQUESTS_MAX];
    size_t record_request_count;
} Gossip;

/**
 * Gossip_CanMergeUsage() - true if two items share one usage item on the wire
 *
 * They must be usage of one service, from one origin, with equal stamp and
 * hops; they may differ in their line.
 */
bool Gossip_CanMergeUsage(const GossipItem *a, const GossipItem *b);

/** Gossip_IncarnationTag() - 32-bit hash of a host id and its incarnation */
uint32_t Gossip_IncarnationTag(Str host, uint64_t incarnation);

#endif
