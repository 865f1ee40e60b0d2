#ifndef AGATECRANK_WIRE_PEERNAME_H
#define AGATECRANK_WIRE_PEERNAME_H

#include "Str.h"

/**
 * PEER_NAME_MAX - longest name in a peer message, in bytes
 *
 * Holds for ids of hosts, deployments, services and upstreams.
 */
#define PEER_NAME_MAX 128

/**
 * PeerName_IsValid() - check the length and the bytes of a name
 *
 * Return: true for 1 to PEER_NAME_MAX printable ASCII bytes without blanks.
 */
bool PeerName_IsValid(Str text);

/**
 * PeerName_Copy() - copy to a zero-terminated string
 *
 * A text of more than PEER_NAME_MAX bytes is truncated.
 */
void PeerName_Copy(char out[PEER_NAME_MAX + 1], Str text);

#endif
