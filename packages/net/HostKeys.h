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
 * struct HostPeer_ - another host that takes forwarded requests
 * @address: where it takes them
 * @key: its public key
 * @sequence: of the last request sent to it
 * @received: sequence numbers of the requests received from it
 */
typedef struct HostPeer_ {
    GString *id;
    GString *domain;
    Endpoint address;
    uint8_t key[HOST_KEY_BYTES];
    PairKeys keys;
    bool derived; /* @keys is valid */
    bool listed;  /* in the list that is being applied */
    uint64_t sequence;
    ReplayWindow received;
} HostPeer;

/**
 * HostKeys_Create() - generate the key pair
 * @host: id of this host
 *
 * Return: NULL with @error filled if there is no randomness.
 */
HostKeys *HostKeys_Create(Str host, Error *error);

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
 * host with another key than before is another process: its sequence numbers
 * start again.
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
 * HostKeys_Derive() - derive the keys of a pair
 * @id, @key: of the other host
 *
 * Costs some ten microseconds. Return: 0, or ERR_INVALID if @key is unusable.
 */
int HostKeys_Derive(const HostKeys *this, Str id, const uint8_t *key,
                    PairKeys *keys);

#endif
