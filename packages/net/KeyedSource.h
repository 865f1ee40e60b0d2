#ifndef AGATECRANK_NET_KEYEDSOURCE_H
#define AGATECRANK_NET_KEYEDSOURCE_H

#include "HostList.h"

/**
 * typedef KeyedSource - reads a log directly or through other hosts
 *
 * Each call to the log is charged, so hosts read it through a tree of relays
 * (RelayTree, KeyedRelay). If no relay responds, a host immediately reads the
 * log directly, so that it never falls behind because of another host. If
 * relays respond that the log is unreachable for them, a host tries it at an
 * interval that grows with the number of hosts.
 */
typedef struct KeyedSource_ KeyedSource;

/**
 * struct KeyedSourceOptions_ - settings
 * @host: id of this host
 * @entry: its entry in the list of hosts; strings are borrowed
 * @seeds, @seed_count: hosts that may be running when the deployment starts,
 *                      by the addresses of their relays
 * @first_start: see HostRoster_Create()
 * @on_hosts: called after each reading of the list of hosts with the @count
 *            live ones; @known_from as of HostRoster_KnownFrom()
 * @on_entries: called with the entries of live hosts, this one included, after
 *              on_hosts; may be NULL
 */
typedef struct KeyedSourceOptions_ {
    Str host;
    RosterEntry entry;
    const Endpoint *seeds;
    size_t seed_count;
    bool first_start;
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

/** KeyedSource_IsDirect() - whether this host reads the log itself */
bool KeyedSource_IsDirect(const KeyedSource *this);

/** KeyedSource_ServeHosts() - hand on the list; see HostList_Serve() */
void KeyedSource_ServeHosts(KeyedSource *this, Micros age_max,
                            KeyedPageHandler *handler, void *user);

/**
 * KeyedSource_RegisterFor() - write the entry of another host
 * @host, @value: its id and entry
 *
 * Entries of several hosts are written in one call.
 */
void KeyedSource_RegisterFor(KeyedSource *this, Str host, Str value,
                             KeyedAppendHandler *handler, void *user);

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
