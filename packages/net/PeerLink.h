#ifndef AGATECRANK_NET_PEERLINK_H
#define AGATECRANK_NET_PEERLINK_H

#include "Loop.h"
#include "PeerKeys.h"
#include "PeerMessage.h"

/** typedef PeerLink - authenticated messages between balancer hosts (CURVE) */
typedef struct PeerLink_ PeerLink;

/**
 * typedef PeerLinkHandler - receives a message of an authenticated peer
 * @message: valid during the call
 *
 * The handler may call PeerLink_Send(), as for the reply to a configuration
 * fetch.
 */
typedef void PeerLinkHandler(void *user, const PeerMessage *message);

/**
 * struct PeerLinkOptions_ - settings; begin with PeerLinkOptions_Default()
 * @address, @port: where to listen; port 0 selects a free one
 * @deployment: name of the deployment; messages of others are dropped
 * @keys: borrowed
 * @peers_max: maximum number of open connections to peers
 * @idle_timeout: an unused connection is closed after this time
 * @queue_max: messages queued for one peer; further ones are dropped
 */
typedef struct PeerLinkOptions_ {
    Str address;
    uint16_t port;
    Str deployment;
    const PeerKeys *keys;
    uint32_t peers_max;
    Micros idle_timeout;
    uint32_t queue_max;
} PeerLinkOptions;

/** struct PeerLinkCounters_ - totals since creation */
typedef struct PeerLinkCounters_ {
    PeerMessageCounters messages;
    uint64_t sent, sent_bytes, received_bytes;
    uint64_t send_dropped; /* messages that were not sent, for any reason */
    uint64_t key_denied;   /* connections rejected, key not allowed */
    uint64_t key_accepted; /* connections of allowed peers */
    uint64_t opened, closed_idle, closed_evicted;
    uint32_t open; /* current connections */
} PeerLinkCounters;

/** PeerLinkOptions_Default() - limits for a production host */
PeerLinkOptions PeerLinkOptions_Default(void);

/**
 * PeerLink_Create() - listen for peers
 * @loop, @log: borrowed
 *
 * Return: NULL with @error filled if it cannot listen.
 */
PeerLink *PeerLink_Create(const PeerLinkOptions *options, Loop *loop,
                          EventLog *log, PeerLinkHandler *handler, void *user,
                          Error *error);

/**
 * PeerLink_Destroy() - close all sockets; unsent messages are dropped
 *
 * The loop must not run afterwards, as it still watches two descriptors.
 */
void PeerLink_Destroy(PeerLink *this);

/** PeerLink_Port() - port that the link listens on */
uint16_t PeerLink_Port(const PeerLink *this);

/**
 * PeerLink_Send() - send a message without blocking
 * @address: ADDRESS:PORT
 * @key: public key of the peer, 32 bytes; if empty, the public key of this
 *       host, for deployments whose hosts share one key pair
 *
 * While a connection is being set up, up to 16 messages wait for it, for at
 * most 2 s.
 *
 * Return: 0 if sent or queued; ERR_INVALID for an invalid address or key
 * length; ERR_DENIED for a key that is not allowed; ERR_LIMIT if the message
 * is too long or the queue is full; ERR_IO if ZeroMQ fails.
 */
int PeerLink_Send(PeerLink *this, Str address, Str key, Str bytes);

/** PeerLink_Counters() - totals since creation */
const PeerLinkCounters *PeerLink_Counters(const PeerLink *this);

#endif
