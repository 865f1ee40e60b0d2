#ifndef AGATECRANK_NET_KEYEDRELAY_H
#define AGATECRANK_NET_KEYEDRELAY_H

#include "HttpServer.h"
#include "KeyedFollower.h"

/**
 * typedef KeyedRelay - serves the topics that this host reads to other hosts
 *
 * Each call to the log is charged, so the hosts of a failure domain read it
 * through one of them, the relay. A relay serves reads only while it reads the
 * log itself and its last read is recent; otherwise it responds with status
 * 503 and the other host reads the log itself.
 */
typedef struct KeyedRelay_ KeyedRelay;

/**
 * struct KeyedRelayOptions_ - settings
 * @address, @port: where to listen for other hosts
 * @on_relay_request: called at each read by another host
 */
typedef struct KeyedRelayOptions_ {
    const char *address;
    uint16_t port;
    void (*on_relay_request)(void *user);
    void *user;
} KeyedRelayOptions;

/**
 * KeyedRelay_Create() - listen for other hosts
 *
 * Return: NULL with @error filled if it cannot listen.
 */
KeyedRelay *KeyedRelay_Create(Loop *loop, const KeyedRelayOptions *options,
                              Error *error);

/** KeyedRelay_Destroy() - only after Loop_Close(); NULL is allowed */
void KeyedRelay_Destroy(KeyedRelay *this);

/**
 * KeyedRelay_Add() - serve the topic that a follower reads
 * @topic: its name, at most 63 bytes
 * @age_max: longest time since the last successful read of the log
 * @follower: borrowed
 *
 * At most 4 topics can be added.
 */
void KeyedRelay_Add(KeyedRelay *this, Str topic, KeyedFollower *follower,
                    Micros age_max);

/** KeyedRelay_SetDirect() - set whether this host reads the log itself */
void KeyedRelay_SetDirect(KeyedRelay *this, bool direct);

/** KeyedRelay_Notify() - respond to waiting reads that have new records */
void KeyedRelay_Notify(KeyedRelay *this);

#endif
