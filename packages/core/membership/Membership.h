#ifndef AGATECRANK_CORE_MEMBERSHIP_H
#define AGATECRANK_CORE_MEMBERSHIP_H

#include <glib.h>

#include "Directory.h"
#include "Gossip.h"
#include "Random.h"

/**
 * typedef Membership - which hosts are alive, and items that hosts share
 *
 * Hosts tell each other their heartbeats by gossip. A host whose heartbeat
 * stands still is suspect, later removed; each host judges for itself, so
 * that no wrong verdict spreads. Calls go in, messages and items come out.
 */
typedef struct Membership_ Membership;

/** enum MembershipFault_ - planted faults that the checks must catch */
typedef enum MembershipFault_ {
    MEMBERSHIP_FAULT_NONE,
    MEMBERSHIP_FAULT_NO_SUSPICION,    /* removes as soon as suspicion starts */
    MEMBERSHIP_FAULT_NO_REVIVAL,      /* a removed incarnation stays removed */
    MEMBERSHIP_FAULT_NO_REMOVAL,      /* dead hosts stay */
    MEMBERSHIP_FAULT_OLD_INCARNATION, /* takes state of earlier lives */
    MEMBERSHIP_FAULT_IGNORE_BUDGET,   /* ignores the byte budget */
    MEMBERSHIP_FAULT_NO_RELAY,        /* does not pass on items of others */
    MEMBERSHIP_FAULT_NO_REJOIN,       /* forgets hosts that it removed */
    MEMBERSHIP_FAULT_COUNT,
} MembershipFault;

/**
 * struct MembershipOptions_ - settings; start from the defaults
 * @deployment, @host, @address, @domain: of this host, copied; @address is
 *        ADDRESS:PORT of its peer link
 * @key: its CURVE public key of 32 bytes, or empty
 * @incarnation: see Membership_NewIncarnation()
 * @seeds: ADDRESS:PORT of some hosts, copied
 * @interval: time between two regular rounds
 * @fanout: messages of a regular round
 * @urgent_interval: least time between two urgent messages
 * @suspect_after: silence after which a host is suspect
 * @remove_after: silence after which it is removed
 * @bytes_per_s: budget, framing included, in any second
 * @members_max: hosts known at a time; beyond it the view is partial
 * @items_max: shared items held at a time
 * @fault: for tests only
 */
typedef struct MembershipOptions_ {
    Str deployment;
    Str host;
    Str address;
    Str domain;
    Str key;
    uint64_t incarnation;
    const Str *seeds;
    size_t seed_count;
    Micros interval;
    uint32_t fanout;
    Micros urgent_interval;
    Micros suspect_after;
    Micros remove_after;
    uint32_t bytes_per_s;
    uint32_t members_max;
    uint32_t items_max;
    MembershipFault fault;
} MembershipOptions;

typedef enum HostState_ {
    HOST_LIVE,
    HOST_SUSPECT, /* silent for a while, still a member */
    HOST_LEAVING, /* said that it shuts down */
    HOST_REMOVED, /* silent for too long; kept to find it again */
} HostState;

/**
 * struct HostView_ - one known host; strings are valid until the next call
 * @heartbeat_age: time since a newer heartbeat was heard of
 * @self: this host
 */
typedef struct HostView_ {
    Str id;
    Str address;
    Str domain;
    Str key;
    uint64_t incarnation;
    HostState state;
    Micros heartbeat_age;
    bool self;
} HostView;

/**
 * struct PeerTarget_ - receiver of a message
 * @id: empty for a seed whose host is not known yet
 * @key: CURVE public key of 32 bytes; empty: the deployment's key
 */
typedef struct PeerTarget_ {
    Str id;
    Str address;
    Str key;
} PeerTarget;

/** struct MembershipCounters_ - totals since creation */
typedef struct MembershipCounters_ {
    uint64_t messages_sent, bytes_sent; /* bytes with framing */
    uint64_t urgent_sent;               /* part of messages_sent */
    uint64_t over_budget;               /* messages put off or cut short */
    uint64_t messages_received, old_incarnation;
    uint64_t joined, suspected, removed, revived, restarted, evicted;
    uint64_t refuted; /* times this host raised its incarnation */
    uint64_t items_shared, items_received, items_expired, items_dropped;
    uint64_t rejoin_sent; /* messages to hosts that are not members */
} MembershipCounters;

/** MembershipOptions_Default() - the stated times and bounds */
MembershipOptions MembershipOptions_Default(void);

/**
 * Membership_NewIncarnation() - an incarnation for a process that starts
 *
 * The upper 42 bits are the wall time in ms, the others are random, so that
 * it is never reused and a later start has a greater one.
 */
uint64_t Membership_NewIncarnation(const Clock *clock, Random *random);

/** Membership_Create() - copies @options; @clock and @random are borrowed */
Membership *Membership_Create(const MembershipOptions *options,
                              const Clock *clock, Random *random);

/** Membership_Destroy() - release everything */
void Membership_Destroy(Membership *this);

/**
 * Membership_OnHostList() - the platform's list, a hint whom to contact
 *
 * It lags: nobody joins or leaves because of it. Upstreams are skipped. A
 * label "peer_key" is the host's public key in Z85; without it, and for
 * seeds, the deployment's key is used.
 */
void Membership_OnHostList(Membership *this, const HostEntry *entries,
                           size_t count);

/**
 * Membership_OnGossip() - a peer's message
 *
 * Return: 0, or ERR_EXPIRED if it is of an earlier life of its sender.
 */
int Membership_OnGossip(Membership *this, const Gossip *gossip);

/**
 * Membership_Share() - tell all hosts what this host has seen
 *
 * A newer item about the same thing replaces the older one. Usage is to be
 * shared every 50 ms for services that are short of capacity.
 *
 * Return: 0; ERR_INVALID or ERR_LIMIT for names that are empty or too long.
 */
int Membership_Share(Membership *this, const SharedItem *item);

/** Membership_Leave() - this host shuts down; told to the peers at once */
void Membership_Leave(Membership *this);

/** Membership_OnTick() - let time pass; every 50 ms or at _NextTick() */
void Membership_OnTick(Membership *this);

/** Membership_NextTick() - time of the next work, for a timer */
Micros Membership_NextTick(const Membership *this);

/**
 * Membership_NextMessage() - next message to send; false if there is none
 * @to: valid until the next call
 * @bytes: replaced by an encoded PeerMessage
 *
 * To be drained after every other call. The number of messages in any time
 * is bounded whatever comes in.
 */
bool Membership_NextMessage(Membership *this, PeerTarget *to, GString *bytes);

/** Membership_NextItem() - next item of another host; false if none */
bool Membership_NextItem(Membership *this, SharedItem *item);

/**
 * Membership_Live() - live and suspect hosts and this one, in order of ids
 *
 * Hosts that are leaving take no new work and are left out.
 *
 * Return: number of views written, at most @max.
 */
size_t Membership_Live(const Membership *this, HostView *views, size_t max);

/** Membership_Find() - what is known about a host; false if nothing */
bool Membership_Find(const Membership *this, Str host, HostView *view);

/** Membership_Version() - grows when the result of _Live() changes */
uint64_t Membership_Version(const Membership *this);

/** Membership_Incarnation() - may rise if an earlier life had a later clock */
uint64_t Membership_Incarnation(const Membership *this);

/**
 * Membership_Superseded() - another life of this host id has taken over
 *
 * Nothing more is sent then; the process should end.
 */
bool Membership_Superseded(const Membership *this);

/** Membership_Counters() - totals since creation */
const MembershipCounters *Membership_Counters(const Membership *this);

/** Membership_Bytes() - memory held */
size_t Membership_Bytes(const Membership *this);

#endif
