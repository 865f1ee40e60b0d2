#ifndef AGATECRANK_NET_KEYEDRELAY_H
#define AGATECRANK_NET_KEYEDRELAY_H

#include "HttpServer.h"
#include "KeyedFollower.h"

/**
 * typedef KeyedRelay - hands on what this host has read of a KeyedLog
 *
 * Hosts of one failure domain read the log through one of them, as each call
 * to the log is paid for. A host answers only while it reads the log itself
 * and has heard of it just now; whoever gets no answer reads the log.
 */
typedef struct KeyedRelay_ KeyedRelay;

/**
 * struct KeyedRelayOptions_ - settings
 * @address, @port: where the other hosts connect
 * @age_max: longest time since the log's last answer
 * @on_relay_request: another host wants this one to relay
 */
typedef struct KeyedRelayOptions_ {
    const char *address;
    uint16_t port;
    Micros age_max;
    void (*on_relay_request)(void *user);
    void *user;
} KeyedRelayOptions;

/** KeyedRelay_Create() - NULL with @error filled if it can not listen */
KeyedRelay *KeyedRelay_Create(Loop *loop, const KeyedRelayOptions *options,
                              Error *error);

/** KeyedRelay_Destroy() - after Loop_Close(); NULL is allowed */
void KeyedRelay_Destroy(KeyedRelay *this);

/** KeyedRelay_Add() - hand on the topic of @follower, which is borrowed */
void KeyedRelay_Add(KeyedRelay *this, Str topic, KeyedFollower *follower);

/** KeyedRelay_SetDirect() - whether this host reads the log itself */
void KeyedRelay_SetDirect(KeyedRelay *this, bool direct);

/** KeyedRelay_Notify() - a follower has read something */
void KeyedRelay_Notify(KeyedRelay *this);

#endif
