#ifndef AGATECRANK_NET_HOSTLIST_H
#define AGATECRANK_NET_HOSTLIST_H

#include <glib.h>

#include "EventLog.h"
#include "KeyedLog.h"
#include "Loop.h"
#include "RosterEntry.h"

/** Topic of the log with an entry of each host */
#define HOSTS_TOPIC "keyed.agatecrank-hosts"

/**
 * typedef HostList - the list of hosts, as this host knows it
 *
 * It reads the list at an interval, keeps the entry of this host in it, and
 * removes the entries of hosts that are gone if no other host does.
 */
typedef struct HostList_ HostList;

/** struct ListedHost_ - a live host with its newest entry */
typedef struct ListedHost_ {
    Str id;
    RosterEntry entry;
} ListedHost;

/**
 * struct HostListOptions_ - settings
 * @host: id of this host
 * @entry: what this host writes about itself; its strings are borrowed
 * @first_start: see HostRoster_Create()
 * @read: read a page of the topic that is at most @age_max old, or newer than
 *        the begin of the read if that is 0
 * @append: write records to the topic
 * @register_host: write the entry of this host
 * @on_read: a reading has ended; @changed unless it has failed
 * @user: first argument of the functions
 */
typedef struct HostListOptions_ {
    Str host;
    RosterEntry entry;
    bool first_start;
    void (*read)(void *user, Str after, Micros age_max,
                 KeyedPageHandler *handler, void *handler_user);
    void (*append)(void *user, const KeyedRecord *records, size_t count,
                   KeyedAppendHandler *handler, void *handler_user);
    void (*register_host)(void *user, const KeyedRecord *record,
                          KeyedAppendHandler *handler, void *handler_user);
    void (*on_read)(void *user, bool changed);
    void *user;
} HostListOptions;

/** HostList_Create() - @options is copied, all else is borrowed */
HostList *HostList_Create(Loop *loop, const HostListOptions *options,
                          EventLog *log);

/** HostList_Destroy() - only after Loop_Close(); NULL is allowed */
void HostList_Destroy(HostList *this);

/** HostList_WasRead() - whether the list was read since the start */
bool HostList_WasRead(const HostList *this);

/** HostList_Count() - number of hosts, also of those that are gone */
size_t HostList_Count(const HostList *this);

/**
 * HostList_Hosts() - live hosts with their entries, this one included
 * @hosts: array of ListedHost to append to; valid until the next reading
 *
 * A live host whose entry has disappeared keeps its last one.
 */
void HostList_Hosts(const HostList *this, GArray *hosts);

/** HostList_Live() - ids of live hosts; see HostRoster_Live() */
void HostList_Live(const HostList *this, GArray *ids);

/** HostList_KnownFrom() - see HostRoster_KnownFrom() */
Micros HostList_KnownFrom(const HostList *this);

/** HostList_ReadNow() - the log can be read, so read a list that was not yet */
void HostList_ReadNow(HostList *this);

/**
 * HostList_Refresh() - bring the next reading forward, because a host has
 *     another key than the list had
 * @host: its id, as it claims
 */
void HostList_Refresh(HostList *this, Str host);

/** HostList_OnRestored() - the log has come back from an older copy */
void HostList_OnRestored(HostList *this);

/**
 * HostList_Serve() - hand the list on to another host
 * @age_max: oldest list that may be used; otherwise it is read first
 */
void HostList_Serve(HostList *this, Micros age_max, KeyedPageHandler *handler,
                    void *user);

#endif
