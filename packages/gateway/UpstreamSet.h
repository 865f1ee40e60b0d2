#ifndef AGATECRANK_GATEWAY_UPSTREAMSET_H
#define AGATECRANK_GATEWAY_UPSTREAMSET_H

#include <glib.h>

#include "Dispatcher.h"
#include "NameTable.h"
#include "Placement.h"

/**
 * typedef UpstreamSet - the upstreams known to this host
 *
 * Keeps the newest description of each upstream, independent of the order of
 * arrival. An upstream that disappears during an outage of the source stays in
 * the set for a grace period.
 */
typedef struct UpstreamSet_ UpstreamSet;

/**
 * struct UpstreamRecord_ - an upstream; valid until the next change of the set
 * @instance: identifies its incarnation on all hosts; never 0
 */
typedef struct UpstreamRecord_ {
    Str id;
    uint32_t instance;
    char address[UPSTREAM_ADDRESS_BYTES];
    uint16_t port;
    uint32_t service;
    uint32_t domain;
    bool draining;
} UpstreamRecord;

/**
 * UpstreamSet_Create() - all pointers are borrowed
 * @grace: see outage_grace of struct DispatcherOptions_
 */
UpstreamSet *UpstreamSet_Create(Placement *placement, NameTable *services,
                                NameTable *domains, Micros grace,
                                const Clock *clock, EventLog *log);

/** UpstreamSet_Destroy() - release it; NULL is allowed */
void UpstreamSet_Destroy(UpstreamSet *this);

/**
 * UpstreamSet_Put() - add or update an upstream
 *
 * Return: false if the description is not newer than the known one.
 */
bool UpstreamSet_Put(UpstreamSet *this, const UpstreamEntry *entry);

/** UpstreamSet_Remove() - the source no longer lists the upstream */
void UpstreamSet_Remove(UpstreamSet *this, Str id);

/**
 * UpstreamSet_RetainOnly() - remove upstreams whose id is not a key of @ids
 */
void UpstreamSet_RetainOnly(UpstreamSet *this, GHashTable *ids);

/** UpstreamSet_SetSourceReachable() - see Dispatcher_SetSourceReachable() */
void UpstreamSet_SetSourceReachable(UpstreamSet *this, bool reachable,
                                    Micros since);

/**
 * UpstreamSet_SetEvacuated() - operators evacuate a failure domain, or take it
 *     back; holds for upstreams that are added later, too
 *
 * Return: whether this is a change.
 */
bool UpstreamSet_SetEvacuated(UpstreamSet *this, Str domain, bool evacuated);

/**
 * UpstreamSet_RetainEvacuated() - take back all domains but the listed ones
 * @domains: set of GString
 */
void UpstreamSet_RetainEvacuated(UpstreamSet *this, GHashTable *domains);

/** UpstreamSet_EvacuatedCount() - number of evacuated failure domains */
size_t UpstreamSet_EvacuatedCount(const UpstreamSet *this);

/** UpstreamSet_OnTime() - remove upstreams whose grace period is over */
void UpstreamSet_OnTime(UpstreamSet *this);

/**
 * UpstreamSet_NextTime() - when to call UpstreamSet_OnTime(), or -1 for never
 */
Micros UpstreamSet_NextTime(const UpstreamSet *this);

/** UpstreamSet_Record() - the upstream at an index, or NULL */
const UpstreamRecord *UpstreamSet_Record(const UpstreamSet *this,
                                         uint32_t index);

/** UpstreamSet_Find() - index of the upstream with an id, or UINT32_MAX */
uint32_t UpstreamSet_Find(const UpstreamSet *this, Str id);

/** UpstreamSet_IndexOf() - index of an instance; UINT32_MAX if not listed */
uint32_t UpstreamSet_IndexOf(const UpstreamSet *this, uint32_t instance);

/**
 * UpstreamSet_Acquire() - reserve an index for an attempt or a probe until
 *     UpstreamSet_Release()
 */
void UpstreamSet_Acquire(UpstreamSet *this, uint32_t index);

/** UpstreamSet_Release() - release a reservation of UpstreamSet_Acquire() */
void UpstreamSet_Release(UpstreamSet *this, uint32_t index);

/** UpstreamSet_IndexEnd() - all indexes in use are below this number */
uint32_t UpstreamSet_IndexEnd(const UpstreamSet *this);

/** UpstreamSet_Count() - number of upstreams */
size_t UpstreamSet_Count(const UpstreamSet *this);

#endif
