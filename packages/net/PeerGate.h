#ifndef AGATECRANK_NET_PEERGATE_H
#define AGATECRANK_NET_PEERGATE_H

#include "EventLog.h"
#include "PeerKeys.h"

/** PEER_GATE_DOMAIN - ZAP domain of sockets that ask this gate */
#define PEER_GATE_DOMAIN "agatecrank"

/** typedef PeerGate - decides which public keys may connect (ZAP, RFC 27) */
typedef struct PeerGate_ PeerGate;

/**
 * PeerGate_Create() - answer the requests of a ZeroMQ context
 * @context: sockets bound before have no gate
 * @keys, @log: borrowed
 */
PeerGate *PeerGate_Create(void *context, const PeerKeys *keys, EventLog *log,
                          Error *error);

/** PeerGate_Destroy() - close its socket; NULL is allowed */
void PeerGate_Destroy(PeerGate *this);

/** PeerGate_Socket() - ZeroMQ socket whose descriptor is to be watched */
void *PeerGate_Socket(const PeerGate *this);

/** PeerGate_Drain() - answer all requests that wait */
void PeerGate_Drain(PeerGate *this);

/** PeerGate_Accepted() and _Denied() - connections since creation */
uint64_t PeerGate_Accepted(const PeerGate *this);
uint64_t PeerGate_Denied(const PeerGate *this);

#endif
