#ifndef AGATECRANK_CORE_GOSSIP_H
#define AGATECRANK_CORE_GOSSIP_H

#include "SharedItem.h"

/** GOSSIP_MAX_BYTES - longest gossip message, in bytes */
#define GOSSIP_MAX_BYTES 1400
/** GOSSIP_MEMBERS_MAX, _BEATS_MAX, _ITEMS_MAX - most entries of a message */
#define GOSSIP_MEMBERS_MAX 64
#define GOSSIP_HEARTBEATS_MAX 256
#define GOSSIP_ITEMS_MAX 128
/** GOSSIP_RECORD_REQUESTS_MAX - most tags asked for in a message */
#define GOSSIP_RECORD_REQUESTS_MAX 16
/** GOSSIP_KEY_BYTES - bytes of a CURVE public key */
#define GOSSIP_KEY_BYTES 32

/**
 * struct GossipMember_ - what is known about one host
 * @address: ADDRESS:PORT of its peer link
 * @key: its CURVE public key of 32 bytes; empty: the deployment's key
 * @heartbeat: grows while the host is alive
 * @age: time since the sender heard of a newer heartbeat
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

/** GOSSIP_HEARTBEAT_AGE_UNIT_US - unit of the age of a heartbeat */
#define GOSSIP_HEARTBEAT_AGE_UNIT_US (50 * MICROS_PER_MS)

/**
 * struct GossipHeartbeat_ - heartbeat of the host with this tag
 * @age: time since the sender heard of it, rounded up to GOSSIP_HEARTBEAT_AGE_UNIT_US
 */
typedef struct GossipHeartbeat_ {
    uint32_t tag;
    uint32_t heartbeat;
    Micros age;
} GossipHeartbeat;

/**
 * struct GossipItem_ - an item on its way
 * @stamp_ms: orders the items of one origin
 * @hops: hosts passed so far
 */
typedef struct GossipItem_ {
    SharedItem item;
    uint32_t stamp_ms;
    uint32_t hops;
} GossipItem;

/** struct Gossip_ - contents of one gossip message of host @from */
typedef struct Gossip_ {
    Str from;
    uint64_t incarnation;
    GossipMember members[GOSSIP_MEMBERS_MAX];
    size_t member_count;
    GossipHeartbeat heartbeats[GOSSIP_HEARTBEATS_MAX];
    size_t heartbeat_count;
    GossipItem items[GOSSIP_ITEMS_MAX];
    size_t item_count;
    uint32_t record_requests
        [GOSSIP_RECORD_REQUESTS_MAX]; /* tags of hosts not known */
    size_t record_request_count;
} Gossip;

/** Gossip_CanMergeUsage() - true if both go into one usage item of a message */
bool Gossip_CanMergeUsage(const GossipItem *a, const GossipItem *b);

/** Gossip_IncarnationTag() - the tag of a host's incarnation */
uint32_t Gossip_IncarnationTag(Str host, uint64_t incarnation);

#endif
