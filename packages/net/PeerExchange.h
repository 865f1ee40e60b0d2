#ifndef AGATECRANK_NET_PEEREXCHANGE_H
#define AGATECRANK_NET_PEEREXCHANGE_H

#include "Balancer.h"
#include "ConfigSync.h"
#include "HostListClient.h"
#include "Membership.h"
#include "PeerLink.h"

/**
 * typedef PeerExchange - carries everything that hosts tell each other
 *
 * It owns the membership and the peer link of a host and moves items and
 * messages between them and the parts of the core.
 */
typedef struct PeerExchange_ PeerExchange;

/**
 * struct PeerExchangeOptions_ - what it works with; all borrowed
 * @link: @link.keys is NULL without peer links; the host then works alone
 * @address: ADDRESS that peers use to reach this host
 * @on_event: something may have to be drained
 */
typedef struct PeerExchangeOptions_ {
    Balancer *balancer;
    ConfigSync *sync;
    PeerLinkOptions link;
    Str host;
    Str domain;
    Str address;
    const Str *seeds;
    size_t seed_count;
    uint64_t incarnation;
    void (*on_event)(void *user);
    void *user;
} PeerExchangeOptions;

/** PeerExchange_Create() - NULL with @error filled on failure */
PeerExchange *PeerExchange_Create(const PeerExchangeOptions *options,
                                  Loop *loop, Random *random, EventLog *log,
                                  Error *error);

/** PeerExchange_Destroy() - release; the loop must not run any more */
void PeerExchange_Destroy(PeerExchange *this);

/** PeerExchange_OnHostList() - a new host list */
void PeerExchange_OnHostList(PeerExchange *this, const HostEntry *entries,
                             size_t count);

/** PeerExchange_SendClaim() - a claim action for another host */
void PeerExchange_SendClaim(PeerExchange *this, const ClaimAction *action);

/**
 * PeerExchange_Fetch() - ask a peer for configuration
 *
 * The answer, or the failure, goes to the ConfigSync.
 */
void PeerExchange_Fetch(PeerExchange *this, const ConfigFetch *fetch,
                        uint64_t choice);

/** PeerExchange_Leave() - tell the peers that this host shuts down */
void PeerExchange_Leave(PeerExchange *this);

/** PeerExchange_Port() - port of the peer link, 0 without one */
uint16_t PeerExchange_Port(const PeerExchange *this);

/** PeerExchange_Membership() - for reports */
const Membership *PeerExchange_Membership(const PeerExchange *this);

#endif
