#ifndef AGATECRANK_CORE_HOSTROSTER_H
#define AGATECRANK_CORE_HOSTROSTER_H

#include <glib.h>

#include "Clock.h"
#include "Str.h"

/**
 * typedef HostRoster - the live hosts, from a list that hosts write themselves
 *
 * Each host writes its entry when it starts and renews it from time to time.
 * Nobody removes the entry of a host that ends, so an entry that was not
 * renewed for long while the list could be read counts as that of a host that
 * is gone. Entries are told apart by their offset in the log; no clock of
 * another host is used. An entry that disappears is kept for a while, as its
 * host writes it again if it is alive.
 */
typedef struct HostRoster_ HostRoster;

/** Interval at which every host reads the list */
#define HOST_LIST_INTERVAL_US (60 * MICROS_PER_S)

/**
 * HostRoster_Create() - an empty roster
 * @own: id of this host
 * @first_start: the whole deployment starts, all hosts at the same time
 *
 * @clock is borrowed.
 */
HostRoster *HostRoster_Create(Str own, bool first_start, const Clock *clock);

/** HostRoster_Destroy() - NULL is allowed */
void HostRoster_Destroy(HostRoster *this);

/** HostRoster_BeginList() - the list was read; its entries follow */
void HostRoster_BeginList(HostRoster *this);

/**
 * HostRoster_PutEntry() - an entry of the list
 * @offset: position of the entry in the log; it differs after each renewal
 */
void HostRoster_PutEntry(HostRoster *this, Str id, uint64_t offset);

/** HostRoster_EndList() - the list is complete */
void HostRoster_EndList(HostRoster *this);

/** HostRoster_OnReadFailure() - the list could not be read */
void HostRoster_OnReadFailure(HostRoster *this);

/** HostRoster_IsLive() - whether a host counts as live */
bool HostRoster_IsLive(const HostRoster *this, Str id);

/**
 * HostRoster_Live() - ids of the live hosts
 * @ids: array of Str to append to; valid until the next change of the roster
 */
void HostRoster_Live(const HostRoster *this, GArray *ids);

/** HostRoster_Count() - number of hosts, also of those that are gone */
size_t HostRoster_Count(const HostRoster *this);

/**
 * HostRoster_KnownFrom() - time from which all live hosts have this one in
 *     their rosters; INT64_MAX if its entry has not been seen yet
 */
Micros HostRoster_KnownFrom(const HostRoster *this);

/** HostRoster_NeedsRenewal() - whether this host should renew its entry */
bool HostRoster_NeedsRenewal(const HostRoster *this);

/**
 * HostRoster_Removable() - ids of hosts that are gone and still listed
 * @ids: as for HostRoster_Live()
 *
 * Only the first live host by id gets any, so that one host removes them.
 */
void HostRoster_Removable(const HostRoster *this, GArray *ids);

#endif
