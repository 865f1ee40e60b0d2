#ifndef AGATECRANK_NET_PEERLINK_H
#define AGATECRANK_NET_PEERLINK_H

#include "Loop.h"
#include "PeerKeys.h"
#include "PeerMessage.h"

/** typedef PeerLink - authenticated messages between balancer hosts */
typedef struct PeerLink_ PeerLink;

/**
 * typedef PeerLinkHandler - a message of an authenticated peer
 * @message: valid during the call
 */
typedef void PeerLinkHandler(void *user, const PeerMessage *message);

/**
 * struct PeerLinkOptions_ - settings; start from the defaults
 * @address, @port: where to listen; port 0 takes a free one
 * @deployment: messages of others are dropped
 * @keys: borrowed
 * @peers_max: connections to peers at a time
 * @idle_timeout: an unused connection is closed after this time
 * @queue_max: messages waiting for one peer; further ones are dropped
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
    uint64_t send_dropped; /* queue of the peer is full, or bad address */
    uint64_t key_denied;   /* connections of strangers rejected */
    uint64_t key_accepted; /* connections of allowed peers */
    uint64_t opened, closed_idle, closed_evicted;
    uint32_t open; /* connections now */
} PeerLinkCounters;

/** PeerLinkOptions_Default() - bounds for a production host */
PeerLinkOptions PeerLinkOptions_Default(void);

/**
 * PeerLink_Create() - listen for peers
 * @loop, @log: borrowed
 *
 * Return: NULL with @error filled.
 */
PeerLink *PeerLink_Create(const PeerLinkOptions *options, Loop *loop,
                          EventLog *log, PeerLinkHandler *handler, void *user,
                          Error *error);

/**
 * PeerLink_Destroy() - close all sockets; unsent messages are dropped
 *
 * The loop must not run any more: it still watches two descriptors.
 */
void PeerLink_Destroy(PeerLink *this);

/** PeerLink_Port() - port that it listens on */
uint16_t PeerLink_Port(const PeerLink *this);

/**
 * PeerLink_Send() - send a message, never blocks
 *
 * A message waits up to 2 s for the connection to a new peer; at most 16 do.
 *
 * @address: ADDRESS:PORT
 * @key: public key of the peer, 32 bytes; empty: this host's own public key,
 *       for deployments whose hosts share one pair
 *
 * Return: 0 if queued, ERR_INVALID for a bad address, ERR_DENIED for a key
 * that is not allowed, ERR_LIMIT if the message is too long or the queue is
 * full, ERR_IO.
 */
int PeerLink_Send(PeerLink *this, Str address, Str key, Str bytes);

/** PeerLink_Counters() - totals since creation */
const PeerLinkCounters *PeerLink_Counters(const PeerLink *this);

#endif
