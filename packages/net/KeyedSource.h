#ifndef AGATECRANK_NET_KEYEDSOURCE_H
#define AGATECRANK_NET_KEYEDSOURCE_H

#include "KeyedLog.h"
#include "Loop.h"
#include "RosterEntry.h"

/**
 * typedef KeyedSource - reads a log directly or through a relay
 *
 * Each call to the log is charged, so one host of each failure domain reads it
 * and serves the others as their relay (KeyedRelay): the first host by id that
 * responds. If the relay does not respond, a host immediately reads the log
 * directly, so that it never falls behind because of another host. Hosts
 * register themselves in a topic of the log.
 */
typedef struct KeyedSource_ KeyedSource;

/** struct ListedHost_ - a live host with its newest entry */
typedef struct ListedHost_ {
    Str id;
    RosterEntry entry;
} ListedHost;

/**
 * struct KeyedSourceOptions_ - settings
 * @host, @domain: id and failure domain of this host
 * @relay: address and port of this host's KeyedRelay
 * @forward_port, @key: as in struct RosterEntry_, for the entry of this host
 * @first_start: see HostRoster_Create()
 * @on_direct: called when this host begins (@direct set) or ceases to read the
 *             log directly
 * @on_hosts: called after each reading of the list of hosts with the @count
 *            live ones; @known_from as of HostRoster_KnownFrom()
 * @on_entries: called with the entries of live hosts, this one included, after
 *              on_hosts; may be NULL
 */
typedef struct KeyedSourceOptions_ {
    Str host;
    Str domain;
    Endpoint relay;
    uint16_t forward_port;
    uint8_t key[HOST_KEY_BYTES];
    bool first_start;
    void (*on_direct)(void *user, bool direct);
    void (*on_hosts)(void *user, const Str *ids, size_t count,
                     Micros known_from);
    void (*on_entries)(void *user, const ListedHost *hosts, size_t count);
    void *user;
} KeyedSourceOptions;

/** KeyedSource_Create() - @options is copied, all else is borrowed */
KeyedSource *KeyedSource_Create(Loop *loop, const KeyedLog *keyed_log,
                                const KeyedSourceOptions *options,
                                EventLog *log);

/** KeyedSource_Destroy() - only after Loop_Close(); NULL is allowed */
void KeyedSource_Destroy(KeyedSource *this);

/**
 * KeyedSource_Log() - log interface for KeyedFollower, valid as long as @this
 *
 * It cannot append.
 */
const KeyedLog *KeyedSource_Log(KeyedSource *this);

/** KeyedSource_OnRelayRequest() - another host reads through this one */
void KeyedSource_OnRelayRequest(KeyedSource *this);

/**
 * KeyedSource_RefreshHosts() - bring the next reading of the list of hosts
 *     forward, because a host has another key than the list had
 * @host: its id, as it claims
 *
 * The list is read within a second for this, as RefreshLimit allows.
 */
void KeyedSource_RefreshHosts(KeyedSource *this, Str host);

/** KeyedSource_LogCalls() - number of calls to the log so far */
uint64_t KeyedSource_LogCalls(const KeyedSource *this);

#endif
