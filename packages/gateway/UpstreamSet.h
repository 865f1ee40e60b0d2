#ifndef AGATECRANK_GATEWAY_UPSTREAMSET_H
#define AGATECRANK_GATEWAY_UPSTREAMSET_H

#include <glib.h>

#include "Dispatcher.h"
#include "NameTable.h"
#include "Placement.h"

/**
 * typedef UpstreamSet - the listed upstreams and who may be chosen
 *
 * It keeps the newest description of each, whatever the order of arrival, and
 * keeps an upstream that vanished during an outage of its source for a while.
 */
typedef struct UpstreamSet_ UpstreamSet;

/** struct UpstreamRecord_ - one upstream, valid until the next change */
typedef struct UpstreamRecord_ {
    Str id;
    char address[UPSTREAM_ADDRESS_MAX];
    uint16_t port;
    uint32_t service;
    bool draining;
} UpstreamRecord;

/** UpstreamSet_Create() - everything is borrowed; @grace as outage_grace of
 *                         struct DispatcherOptions_ */
UpstreamSet *UpstreamSet_Create(Placement *placement, NameTable *services,
                                NameTable *domains, Micros grace,
                                const Clock *clock, EventLog *log);

/** UpstreamSet_Destroy() - release it; NULL is allowed */
void UpstreamSet_Destroy(UpstreamSet *this);

/** UpstreamSet_Put() - a description; false if it is not the newest */
bool UpstreamSet_Put(UpstreamSet *this, const UpstreamEntry *entry);

/** UpstreamSet_Remove() - no longer listed */
void UpstreamSet_Remove(UpstreamSet *this, Str id);

/** UpstreamSet_KeepOnly() - remove those whose id is not a key of @ids */
void UpstreamSet_KeepOnly(UpstreamSet *this, GHashTable *ids);

/** UpstreamSet_SetSource() - as Dispatcher_SetSourceReachable() */
void UpstreamSet_SetSource(UpstreamSet *this, bool reachable, Micros since);

/** UpstreamSet_OnTime() - end the grace of those that did not come back */
void UpstreamSet_OnTime(UpstreamSet *this);

/** UpstreamSet_NextTime() - when UpstreamSet_OnTime() is due; -1: never */
Micros UpstreamSet_NextTime(const UpstreamSet *this);

/** UpstreamSet_Record() - by its index; NULL if there is none */
const UpstreamRecord *UpstreamSet_Record(const UpstreamSet *this,
                                         uint32_t index);

/** UpstreamSet_Acquire() - an attempt refers to the index, until
 *                          UpstreamSet_Release() */
void UpstreamSet_Acquire(UpstreamSet *this, uint32_t index);

/** UpstreamSet_Release() - see UpstreamSet_Acquire() */
void UpstreamSet_Release(UpstreamSet *this, uint32_t index);

/** UpstreamSet_Count() - upstreams that are listed */
size_t UpstreamSet_Count(const UpstreamSet *this);

#endif
