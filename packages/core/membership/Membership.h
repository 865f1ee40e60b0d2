#ifndef AGATECRANK_CORE_MEMBERSHIP_H
#define AGATECRANK_CORE_MEMBERSHIP_H

#include <glib.h>

#include "Directory.h"
#include "Gossip.h"
#include "Random.h"

/**
 * typedef Membership - failure detection and dissemination of shared items
 *
 * Hosts exchange heartbeat counters by gossip. A host whose counter stops
 * increasing becomes suspect and is later removed. Each host decides on its
 * own and decisions are not shared, so a wrong one stays local. The object
 * does no I/O: the caller passes in received messages and fetches messages to
 * send and received items.
 */
typedef struct Membership_ Membership;

/** enum MembershipFault_ - faults injected by tests, which must detect them */
typedef enum MembershipFault_ {
    MEMBERSHIP_FAULT_NONE,
    MEMBERSHIP_FAULT_NO_SUSPICION,    /* removes hosts that become suspect */
    MEMBERSHIP_FAULT_NO_REVIVAL,      /* a removed incarnation stays removed */
    MEMBERSHIP_FAULT_NO_REMOVAL,      /* never removes dead hosts */
    MEMBERSHIP_FAULT_OLD_INCARNATION, /* accepts earlier incarnations */
    MEMBERSHIP_FAULT_IGNORE_BUDGET,   /* ignores the byte budget */
    MEMBERSHIP_FAULT_NO_RELAY,        /* does not relay items of others */
    MEMBERSHIP_FAULT_NO_REJOIN,       /* forgets hosts that it removed */
    MEMBERSHIP_FAULT_COUNT,
} MembershipFault;

/**
 * struct MembershipOptions_ - settings, see MembershipOptions_Default()
 * @deployment, @host, @address, @domain: of this host, copied; @address is
 *        ADDRESS:PORT of its peer link
 * @key: its CURVE public key of 32 bytes; empty: the deployment's key
 * @incarnation: see Membership_NewIncarnation()
 * @seeds: ADDRESS:PORT of some hosts, copied
 * @interval: time between two regular rounds
 * @fanout: messages of a regular round
 * @urgent_interval: minimum time between two batches of urgent messages
 * @suspect_after: age of the last heartbeat that makes a host suspect
 * @remove_after: age of the last heartbeat that removes a host
 * @bytes_per_s: limit of the bytes sent in any second, framing included
 * @members_max: known hosts; with more hosts the view is partial
 * @items_max: stored shared items
 * @fault: fault injected by tests
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
    HOST_SUSPECT, /* heartbeat is overdue; still a member */
    HOST_LEAVING, /* announced its shutdown */
    HOST_REMOVED, /* no heartbeat for too long; kept to contact it again */
} HostState;

/**
 * struct HostView_ - one known host; strings are valid until the next call
 * @heartbeat_age: time since its newest known heartbeat
 * @self: true for this host
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
    uint64_t messages_sent, bytes_sent; /* bytes include framing */
    uint64_t urgent_sent;               /* part of messages_sent */
    uint64_t over_budget; /* messages not sent for lack of budget */
    uint64_t messages_received, old_incarnation;
    uint64_t joined, suspected, removed, revived, restarted, evicted;
    uint64_t refuted; /* times this host raised its incarnation */
    uint64_t items_shared, items_received, items_expired, items_dropped;
    uint64_t rejoin_sent; /* messages to hosts that are not members */
} MembershipCounters;

/** MembershipOptions_Default() - default intervals, timeouts and limits */
MembershipOptions MembershipOptions_Default(void);

/**
 * Membership_NewIncarnation() - incarnation number of a starting process
 *
 * The upper 42 bits are the wall time in ms, the others are random: numbers
 * are not reused, and a later start has a greater one.
 */
uint64_t Membership_NewIncarnation(const Clock *clock, Random *random);

/** Membership_Create() - copies @options; @clock and @random are borrowed */
Membership *Membership_Create(const MembershipOptions *options,
                              const Clock *clock, Random *random);

/** Membership_Destroy() - release everything */
void Membership_Destroy(Membership *this);

/**
 * Membership_OnHostList() - pass in the host list of the platform
 *
 * The list lags behind, so it only provides addresses to contact: hosts do
 * not join or leave because of it. Upstreams are skipped. A label "peer_key"
 * is the host's public key in Z85; without it, and for seeds, the deployment's
 * key is used.
 */
void Membership_OnHostList(Membership *this, const HostEntry *entries,
                           size_t count);

/**
 * Membership_OnGossip() - pass in a received message
 *
 * Return: 0, or ERR_EXPIRED if it is from an earlier incarnation of its
 * sender.
 */
int Membership_OnGossip(Membership *this, const Gossip *gossip);

/**
 * Membership_Share() - disseminate an observation of this host to all hosts
 *
 * A newer version of an item replaces the older one. Usage should be shared
 * every 50 ms for services that are short of capacity.
 *
 * Return: 0, or ERR_INVALID for names that are empty, too long or not
 * printable.
 */
int Membership_Share(Membership *this, const SharedItem *item);

/** Membership_Leave() - announce the shutdown of this host to the peers */
void Membership_Leave(Membership *this);

/** Membership_OnTick() - run periodic work; call it every 50 ms or at the time
 * of Membership_NextTick() */
void Membership_OnTick(Membership *this);

/** Membership_NextTick() - time of the next periodic work, for a timer */
Micros Membership_NextTick(const Membership *this);

/**
 * Membership_NextMessage() - next message to send; false if there is none
 * @to: set to the receiver; valid until the next call
 * @bytes: replaced by an encoded PeerMessage
 *
 * Call it after every other call until it returns false. The rate of messages
 * is bounded whatever is received.
 */
bool Membership_NextMessage(Membership *this, PeerTarget *to, GString *bytes);

/** Membership_NextItem() - next received item of another host; false if there
 * is none */
bool Membership_NextItem(Membership *this, SharedItem *item);

/**
 * Membership_Live() - live and suspect hosts and this one, ordered by id
 *
 * Hosts that are leaving accept no new work and are left out.
 *
 * Return: number of views written, at most @max.
 */
size_t Membership_Live(const Membership *this, HostView *views, size_t max);

/** Membership_Find() - look up a host by its id; false if it is unknown */
bool Membership_Find(const Membership *this, Str host, HostView *view);

/** Membership_Version() - increases when the result of Membership_Live()
 * changes */
uint64_t Membership_Version(const Membership *this);

/**
 * Membership_Incarnation() - current incarnation number of this host
 *
 * It is raised if an earlier incarnation had a clock that was ahead.
 */
uint64_t Membership_Incarnation(const Membership *this);

/**
 * Membership_Superseded() - true if a later incarnation of this host id runs
 *
 * This object then sends nothing more, and the process should exit.
 */
bool Membership_Superseded(const Membership *this);

/** Membership_Counters() - totals since creation */
const MembershipCounters *Membership_Counters(const Membership *this);

/** Membership_Bytes() - memory used, in bytes */
size_t Membership_Bytes(const Membership *this);

#endif
