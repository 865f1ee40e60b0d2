#ifndef AGATECRANK_NET_HOSTKEYS_H
#define AGATECRANK_NET_HOSTKEYS_H

#include "ForwardSeal.h"
#include "KeyedSource.h"
#include "ReplayWindow.h"

/**
 * typedef HostKeys - key pair of this host's process, and the hosts that it
 *     shares keys with
 *
 * The list of hosts has the public key of each. Two hosts derive their common
 * keys from their own private key and the other's public one (X25519, HKDF), so
 * the keys of a pair end with either process.
 */
typedef struct HostKeys_ HostKeys;

/**
 * struct PairKeys_ - keys that two hosts share, one for each kind of message
 * @sent_request, @received_response: of requests that this host sends
 * @received_request, @sent_response: of requests that the other one sends
 */
typedef struct PairKeys_ {
    uint8_t sent_request[FORWARD_MAC_KEY_BYTES];
    uint8_t received_response[FORWARD_MAC_KEY_BYTES];
    uint8_t received_request[FORWARD_MAC_KEY_BYTES];
    uint8_t sent_response[FORWARD_MAC_KEY_BYTES];
} PairKeys;

/**
 * struct HostPeer_ - process of another host
 * @address: where it takes forwarded requests
 * @key: its public key
 * @received: sequence numbers of the requests received from it
 */
typedef struct HostPeer_ {
    GString *id;
    GString *domain;
    Endpoint address;
    uint8_t key[HOST_KEY_BYTES];
    PairKeys keys;
    ReplayWindow received;
    Micros unlisted_at; /* -1 while it is in the list of hosts */
    bool derived;       /* @keys is valid */
    bool listed;        /* in the list that is being applied */
} HostPeer;

/**
 * HostKeys_Create() - generate the key pair
 * @host: id of this host
 * @clock: borrowed
 *
 * Return: NULL with @error filled if there is no randomness.
 */
HostKeys *HostKeys_Create(Str host, const Clock *clock, Error *error);

/** HostKeys_Destroy() - erase the keys and release; NULL is allowed */
void HostKeys_Destroy(HostKeys *this);

/** HostKeys_Host() - id of this host */
Str HostKeys_Host(const HostKeys *this);

/** HostKeys_PublicKey() - HOST_KEY_BYTES bytes */
const uint8_t *HostKeys_PublicKey(const HostKeys *this);

/**
 * HostKeys_SetPeers() - replace the list of hosts
 *
 * This host, hosts without a key and more than some hundreds are left out. A
 * host with another key than before is another process. Processes that are no
 * longer listed are remembered for some minutes.
 */
void HostKeys_SetPeers(HostKeys *this, const ListedHost *hosts, size_t count);

/** HostKeys_Peers() - all peers: GPtrArray of HostPeer; borrowed */
const GPtrArray *HostKeys_Peers(const HostKeys *this);

/**
 * HostKeys_Find() - find a peer by its id, with its keys
 *
 * Return: NULL if it is unknown or its public key is unusable; valid until
 * HostKeys_SetPeers().
 */
HostPeer *HostKeys_Find(HostKeys *this, Str id);

/**
 * HostKeys_FindUnlisted() - find a process that is not in the list of hosts, or
 *     remember it
 * @id, @key: as it claims
 *
 * Return: as HostKeys_Find(); NULL also if there are too many such processes,
 * in a second or altogether.
 */
HostPeer *HostKeys_FindUnlisted(HostKeys *this, Str id, const uint8_t *key);

/** HostKeys_NextSequence() - a number that this process has not used yet */
uint64_t HostKeys_NextSequence(HostKeys *this);

/**
 * HostKeys_Derive() - derive the keys of a pair
 * @id, @key: of the other host
 *
 * Return: 0, or ERR_INVALID if @key is unusable.
 */
int HostKeys_Derive(const HostKeys *this, Str id, const uint8_t *key,
                    PairKeys *keys);

#endif
