#ifndef AGATECRANK_WIRE_PEERNAME_H
#define AGATECRANK_WIRE_PEERNAME_H

#include "Str.h"

/** PEER_NAME_MAX - longest id of a host, deployment, service or upstream */
#define PEER_NAME_MAX 128

/** PeerName_IsValid() - true for 1 to PEER_NAME_MAX visible ASCII bytes */
bool PeerName_IsValid(Str text);

/** PeerName_Copy() - copy with a zero at the end; the rest is cut off */
void PeerName_Copy(char out[PEER_NAME_MAX + 1], Str text);

#endif
