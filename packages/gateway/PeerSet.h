#ifndef AGATECRANK_GATEWAY_PEERSET_H
#define AGATECRANK_GATEWAY_PEERSET_H

#include "Dispatcher.h"
#include "Random.h"

/**
 * typedef PeerSet - the hosts that can forward requests for this one
 *
 * Takes the less used of two random peers, in the own failure domain unless the
 * others are less used or the peers of the own domain are cut off as well.
 * Peers that have refused are left out for a while and come last after it.
 */
typedef struct PeerSet_ PeerSet;

/** typedef Peer - a peer with an open forward; valid until its release */
typedef struct Peer_ Peer;

/** enum PeerOutcome - what the end of a forward says about the peer */
typedef enum PeerOutcome_ {
    PEER_SERVED,
    PEER_CUT_OFF,
    PEER_FULL,
    PEER_DENIED,
    PEER_UNREACHABLE,
    PEER_OUTDATED, /* it has older routes */
    PEER_SILENT,   /* no response until the deadline */
    PEER_UNKNOWN,  /* nothing */
} PeerOutcome;

/** PeerSet_Create() - without peers; @clock and @random are borrowed */
PeerSet *PeerSet_Create(Str own_domain, const Clock *clock, Random *random);

/** PeerSet_Destroy() - there must be no open forwards; NULL is allowed */
void PeerSet_Destroy(PeerSet *this);

/**
 * PeerSet_Replace() - replace the list
 * @peers: without this host; copied
 *
 * What is known of a peer that stays is kept.
 */
void PeerSet_Replace(PeerSet *this, const PeerInfo *peers, size_t count);

/** PeerSet_Count() - number of listed peers */
size_t PeerSet_Count(const PeerSet *this);

/**
 * PeerSet_Take() - choose a peer for a forward, until PeerSet_Release()
 * @avoid: numbers of peers that the request was forwarded to
 *
 * Return: NULL if there is none, or if too many forwards are open.
 */
Peer *PeerSet_Take(PeerSet *this, const uint64_t *avoid, size_t avoid_count);

/** PeerSet_Release() - the forward has ended */
void PeerSet_Release(PeerSet *this, Peer *peer, PeerOutcome outcome);

/** PeerSet_Open() - number of open forwards */
uint32_t PeerSet_Open(const PeerSet *this);

/** Peer_Id() - its id; valid as long as the peer */
Str Peer_Id(const Peer *this);

/** Peer_Number() - never used by another peer; not 0 */
uint64_t Peer_Number(const Peer *this);

#endif
