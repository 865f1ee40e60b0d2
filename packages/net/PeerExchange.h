#ifndef AGATECRANK_NET_PEEREXCHANGE_H
#define AGATECRANK_NET_PEEREXCHANGE_H

#include "Balancer.h"
#include "ConfigSync.h"
#include "HostListClient.h"
#include "Membership.h"
#include "PeerLink.h"

/**
 * typedef PeerExchange - communication of a host with its peers
 *
 * It owns the membership and the peer link of a host. It passes gossip, shared
 * items and messages between them and the components of the core.
 */
typedef struct PeerExchange_ PeerExchange;

/**
 * struct PeerExchangeOptions_ - settings
 * @balancer, @sync: borrowed
 * @link: options of the peer link; without @link.keys (NULL) there is no peer
 *        link and the host has no peers
 * @host, @domain: id and failure domain of this host
 * @address: address without port at which peers reach this host
 * @seeds: @seed_count addresses of hosts to contact first
 * @incarnation: incarnation of this host
 * @on_event: the balancer or @sync may have new actions to run
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

/**
 * PeerExchange_Create() - join the peers
 *
 * Return: NULL with @error filled if the peer link cannot be created.
 */
PeerExchange *PeerExchange_Create(const PeerExchangeOptions *options,
                                  Loop *loop, Random *random, EventLog *log,
                                  Error *error);

/** PeerExchange_Destroy() - release; the loop must not run afterwards */
void PeerExchange_Destroy(PeerExchange *this);

/** PeerExchange_OnHostList() - the platform has a new host list */
void PeerExchange_OnHostList(PeerExchange *this, const HostEntry *entries,
                             size_t count);

/**
 * PeerExchange_SendClaim() - send a claim message to another host
 * @action: a CLAIM_SUBMIT, CLAIM_QUERY or CLAIM_REPLY; others are ignored
 *
 * The message is dropped if the host is unknown or the link rejects it.
 */
void PeerExchange_SendClaim(PeerExchange *this, const ClaimAction *action);

/**
 * PeerExchange_Fetch() - request configuration from a peer
 * @choice: random number that selects the peer
 *
 * The reply or the failure goes to the ConfigSync.
 */
void PeerExchange_Fetch(PeerExchange *this, const ConfigFetch *fetch,
                        uint64_t choice);

/** PeerExchange_Leave() - announce to the peers that this host shuts down */
void PeerExchange_Leave(PeerExchange *this);

/** PeerExchange_Port() - port of the peer link, 0 if there is none */
uint16_t PeerExchange_Port(const PeerExchange *this);

/** PeerExchange_Membership() - view of the members, to be read only */
const Membership *PeerExchange_Membership(const PeerExchange *this);

#endif
