#ifndef AGATECRANK_CORE_SERVICESHARES_H
#define AGATECRANK_CORE_SERVICESHARES_H

#include <glib.h>

#include "Admission.h"
#include "LevelControl.h"
#include "LineShare.h"

/**
 * struct ServiceLine_ - one line of a service, for Admission only
 * @total_demand: slots demanded on all hosts
 * @queue: waiting requests; owned by Admission
 * @queued_charge: slot time of the waiting requests
 */
typedef struct ServiceLine_ {
    uint32_t id;
    double weight;
    double total_demand;
    Micros refreshed_at;
    LineShare *share;
    GQueue queue;
    Micros queued_charge;
    uint64_t admitted;
    uint64_t refused;
} ServiceLine;

/**
 * struct ServiceShares_ - the lines of one service and their shares
 * @total_weight: sum of the weights of the lines
 * @by_id: line id to ServiceLine, owned
 * @lines: the same lines, not owned
 * @summed_at: time of the last update of the sum of the demands
 * @counted_at: time of the last count of the hosts without a level item
 * @last_level_at: by host, time of its last level item; NULL before the first
 * @last_level_capacity: entries allocated in @last_level_at
 * @unreported_hosts: live hosts that sent no level item
 * @queued: waiting requests of all lines
 * @in_flight: requests admitted and not finished
 */
typedef struct ServiceShares_ {
    uint32_t id;
    uint32_t hosts;
    double total_weight;
    LevelControl *level_control;
    GHashTable *by_id;
    GPtrArray *lines;
    guint refresh_cursor;
    guint send_cursor;
    Micros summed_at;
    Micros counted_at;
    Micros *last_level_at;
    uint32_t last_level_capacity;
    uint32_t unreported_hosts;
    uint32_t queued;
    uint32_t in_flight;
} ServiceShares;

/** ServiceShares_Create() - create a service without lines */
ServiceShares *ServiceShares_Create(uint32_t id, uint32_t hosts, Micros now);

/** ServiceShares_Destroy() - free the service; NULL is allowed */
void ServiceShares_Destroy(ServiceShares *this);

/** ServiceShares_FindLine() - the line, or NULL if unknown */
ServiceLine *ServiceShares_FindLine(const ServiceShares *this, uint32_t line);

/**
 * ServiceShares_SetLine() - add @line or change its weight
 * @seed: hash seed for the callers of the line
 */
void ServiceShares_SetLine(ServiceShares *this, uint32_t line, double weight,
                           uint64_t seed, Micros now);

/** ServiceShares_RemoveLine() - remove @line and its queue */
void ServiceShares_RemoveLine(ServiceShares *this, ServiceLine *line);

/** ServiceShares_SetHosts() - set the number of live hosts */
void ServiceShares_SetHosts(ServiceShares *this, uint32_t hosts);

/**
 * ServiceShares_SplitEvenly() - give each host an equal, fixed part of @slots;
 * for the baseline
 */
void ServiceShares_SplitEvenly(ServiceShares *this, double slots);

/**
 * ServiceShares_WeightRatio() - weight of a line as a fraction of the total
 * weight
 */
double ServiceShares_WeightRatio(const ServiceShares *this,
                                 const ServiceLine *line);

/**
 * ServiceShares_Refresh() - update the limits of the lines
 * @line: line of the current request, or NULL
 *
 * Updates @line and one further line in rotation, so that the cost of a call
 * does not grow with the number of lines.
 */
void ServiceShares_Refresh(ServiceShares *this, ServiceLine *line, Micros now);

/** ServiceShares_OnLevel() - another host reported the level of the service */
void ServiceShares_OnLevel(ServiceShares *this, uint32_t host, double level,
                           Micros measured_at, Micros now);

/**
 * ServiceShares_UsageItems() - write at most @max usage items of this host
 *
 * Return: number of items written; 0 if the load of the service is low.
 */
size_t ServiceShares_UsageItems(ServiceShares *this, uint32_t host,
                                UsageItem *items, size_t max, Micros now);

/** ServiceShares_Bytes() - memory used, in bytes */
size_t ServiceShares_Bytes(const ServiceShares *this);

#endif
