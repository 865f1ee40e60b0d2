#ifndef AGATECRANK_NET_KEYEDRELAY_H
#define AGATECRANK_NET_KEYEDRELAY_H

#include "HttpServer.h"
#include "KeyedFollower.h"

/**
 * typedef KeyedRelay - serves the topics that this host reads to other hosts
 *
 * Each call to the log is charged, so hosts read it through others
 * (KeyedSource). A relay serves reads only while its copy is recent, however
 * many hosts it has come over, and tells its age; otherwise it responds with
 * status 503 and KEYED_STATE_FIELD, and the other host reads elsewhere.
 */
typedef struct KeyedRelay_ KeyedRelay;

/**
 * struct KeyedRelayOptions_ - settings
 * @address, @port: where to listen for other hosts
 * @host: id of this host; borrowed
 * @serve_hosts: hand on the list of hosts, see HostList_Serve()
 * @register_for: write the entry of another host
 */
typedef struct KeyedRelayOptions_ {
    const char *address;
    uint16_t port;
    Str host;
    void (*serve_hosts)(void *user, Micros age_max, KeyedPageHandler *handler,
                        void *handler_user);
    void (*register_for)(void *user, Str host, Str value,
                         KeyedAppendHandler *handler, void *handler_user);
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

/** KeyedRelay_Notify() - respond to waiting reads that have new records */
void KeyedRelay_Notify(KeyedRelay *this);

#endif
