#ifndef AGATECRANK_CORE_LEVELCONTROL_H
#define AGATECRANK_CORE_LEVELCONTROL_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "Clock.h"

/**
 * typedef LevelControl - feedback controller for the level of one service
 *
 * The level is the number of slots that a line with the whole weight of the
 * service may hold; a line with a fraction of the weight may hold that
 * fraction. It falls while the observed load of the upstreams is above the
 * target and rises while it is below. It is infinite while there is capacity
 * for all.
 */
typedef struct LevelControl_ LevelControl;

/** LevelControl_Create() - create a controller in the unsaturated state */
LevelControl *LevelControl_Create(void);

/** LevelControl_Destroy() - free the controller */
void LevelControl_Destroy(LevelControl *this);

/**
 * LevelControl_SetDemand() - set the current demand of the lines
 * @demand_sum: slots demanded by all lines
 * @highest_demand: the highest demand per unit of weight of any line, in slots
 */
void LevelControl_SetDemand(LevelControl *this, double demand_sum,
                            double highest_demand, Micros now);

/**
 * LevelControl_Capacity() - estimated capacity of the service
 *
 * Return: slots, network transit time included; 0 if unknown.
 */
double LevelControl_Capacity(const LevelControl *this);

/**
 * LevelControl_SetInitialLevel() - set the level to start with when the
 * service becomes saturated
 */
void LevelControl_SetInitialLevel(LevelControl *this, double level);

/**
 * LevelControl_OnLoad() - an upstream reported its load
 * @outstanding: requests that it runs or queues
 * @slots: requests that it can run at once, at least 1
 */
void LevelControl_OnLoad(LevelControl *this, uint32_t outstanding,
                         uint32_t slots, Micros now);

/**
 * LevelControl_SlotTime() - slot time to charge for a finished request
 * @in_flight_time: time the request was in flight, in microseconds
 *
 * Waiting time is subtracted and redistributed over all requests in proportion
 * to their work, so that many small requests don't pay for a queue that a few
 * large ones cause. The sum over all requests remains their time in flight.
 */
Micros LevelControl_SlotTime(LevelControl *this, Micros in_flight_time,
                             Micros now);

/**
 * LevelControl_OnShed() - an upstream refused a request because it was full
 */
void LevelControl_OnShed(LevelControl *this, Micros now);

/**
 * LevelControl_OnLatency() - latency of a response; the load is derived from
 * it only while there are no load reports
 * @latency: time in flight per unit of cost, in microseconds
 */
void LevelControl_OnLatency(LevelControl *this, double latency, Micros now);

/** LevelControl_OnPeer() - another host reported its level */
void LevelControl_OnPeer(LevelControl *this, double level, Micros now);

/**
 * LevelControl_OnTick() - update the level for the time that passed; to be
 * called with every request
 * @idle: this host has no request in flight
 *
 * Without load samples the level rises, and saturation that was reported by
 * peers ends once they no longer report.
 */
void LevelControl_OnTick(LevelControl *this, bool idle, Micros now);

/**
 * LevelControl_TrimFactor() - short-term correction factor for the allowance
 * of limited lines
 */
double LevelControl_TrimFactor(const LevelControl *this);

/**
 * LevelControl_NeedsExchange() - whether the load is high enough to exchange
 * demand with the peers
 */
bool LevelControl_NeedsExchange(const LevelControl *this);

/** LevelControl_IsSaturated() - whether shares are enforced */
bool LevelControl_IsSaturated(const LevelControl *this);

/**
 * LevelControl_Level() - slots for the whole weight; infinite if the service
 * is not saturated
 */
double LevelControl_Level(const LevelControl *this);

/** LevelControl_Bytes() - memory used by one instance, in bytes */
size_t LevelControl_Bytes(void);

#endif
