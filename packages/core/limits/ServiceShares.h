#ifndef AGATECRANK_CORE_SERVICESHARES_H
#define AGATECRANK_CORE_SERVICESHARES_H

#include <glib.h>

#include "Admission.h"
#include "LevelControl.h"
#include "LineShare.h"

/**
 * struct ServiceLine_ - one line of a service, for Admission only
 * @total: slots demanded on all hosts
 * @queue: requests that wait; owned by Admission
 * @queued_charge: slot time of the queue
 */
typedef struct ServiceLine_ {
    uint32_t id;
    double weight;
    double total;
    Micros refreshed_at;
    LineShare *share;
    GQueue queue;
    Micros queued_charge;
    uint64_t admitted;
    uint64_t refused;
} ServiceLine;

/**
 * struct ServiceShares_ - the lines of one service and what each may hold
 * @weights: sum over the lines
 * @by_id: line id to ServiceLine, owned
 * @lines: the same lines
 * @heard: by host, last level item; NULL while none came
 * @unknown: live hosts that were not heard
 * @queued: requests that wait, all lines together
 * @in_flight: requests admitted and not finished
 */
typedef struct ServiceShares_ {
    uint32_t id;
    uint32_t hosts;
    double weights;
    LevelControl *control;
    GHashTable *by_id;
    GPtrArray *lines;
    guint refresh_cursor;
    guint send_cursor;
    Micros summed_at;
    Micros counted_at;
    Micros *heard;
    uint32_t heard_slots;
    uint32_t unknown;
    uint32_t queued;
    uint32_t in_flight;
} ServiceShares;

/** ServiceShares_Create() - a service without lines */
ServiceShares *ServiceShares_Create(uint32_t id, uint32_t hosts, Micros now);

/** ServiceShares_Destroy() - release it; NULL is allowed */
void ServiceShares_Destroy(ServiceShares *this);

/** ServiceShares_Find() - the line, or NULL */
ServiceLine *ServiceShares_Find(const ServiceShares *this, uint32_t line);

/** ServiceShares_SetLine() - add @line or change its weight */
void ServiceShares_SetLine(ServiceShares *this, uint32_t line, double weight,
                           uint64_t seed, Micros now);

/** ServiceShares_Remove() - forget @line and its queue */
void ServiceShares_Remove(ServiceShares *this, ServiceLine *line);

/** ServiceShares_SetHosts() - number of live hosts */
void ServiceShares_SetHosts(ServiceShares *this, uint32_t hosts);

/** ServiceShares_SplitEvenly() - fixed slots per host; for the baseline */
void ServiceShares_SplitEvenly(ServiceShares *this, double slots);

/** ServiceShares_Part() - weight of a line, as a part of all */
double ServiceShares_Part(const ServiceShares *this, const ServiceLine *line);

/**
 * ServiceShares_Refresh() - bring what lines may hold up to date
 * @line: line of the request at hand
 *
 * Looks at @line and at two more in turn, so that its cost doesn't grow with
 * the lines.
 */
void ServiceShares_Refresh(ServiceShares *this, ServiceLine *line, Micros now);

/** ServiceShares_OnLevel() - level item of another host */
void ServiceShares_OnLevel(ServiceShares *this, uint32_t host, double level,
                           Micros when, Micros now);

/** ServiceShares_Items() - at most @max items about this host */
size_t ServiceShares_Items(ServiceShares *this, uint32_t host,
                           UsageItem *items, size_t max, Micros now);

/** ServiceShares_Bytes() - memory held, in bytes */
size_t ServiceShares_Bytes(const ServiceShares *this);

#endif
