#ifndef AGATECRANK_NET_ROSTERENTRY_H
#define AGATECRANK_NET_ROSTERENTRY_H

#include "Endpoint.h"

/** HOST_KEY_BYTES - size of an X25519 key */
#define HOST_KEY_BYTES 32

/**
 * struct RosterEntry_ - what a host writes about itself into the list of hosts
 * @domain: failure domain; borrowed from the text when parsed
 * @relay: address of its KeyedRelay
 * @forward_port: TCP port for forwarded requests, at the address of @relay; 0
 *                if it takes none
 * @key: public key of its present process; undefined if @forward_port is 0
 * @link_mbps: capacity of its network link; 0 if it does not tell
 * @region: of @domain; empty if it does not tell; borrowed as @domain
 *
 * The text is "DOMAIN;PORT;KEY;LINK;REGION ADDRESS:PORT" with the key in
 * hexadecimal, and "DOMAIN ADDRESS:PORT" of a host that takes no forwarded
 * requests. Versions without relay trees write and read the first form up to
 * the key, and hosts of versions without forwarding read it as an entry of
 * another domain. Further fields are ignored.
 */
typedef struct RosterEntry_ {
    Str domain;
    Endpoint relay;
    uint16_t forward_port;
    uint8_t key[HOST_KEY_BYTES];
    uint32_t link_mbps;
    Str region;
} RosterEntry;

/**
 * RosterEntry_Parse() - parse the text of an entry
 *
 * Return: 0; ERR_INVALID if the host is live but its port or key is malformed,
 * then @forward_port is 0; ERR_PARSE if nothing can be used.
 */
int RosterEntry_Parse(Str text, RosterEntry *entry);

/** RosterEntry_Format() - text of an entry, to be freed with g_free() */
char *RosterEntry_Format(const RosterEntry *this);

#endif
