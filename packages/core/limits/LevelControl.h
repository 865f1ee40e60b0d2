#ifndef AGATECRANK_CORE_LEVELCONTROL_H
#define AGATECRANK_CORE_LEVELCONTROL_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "Clock.h"

/**
 * typedef LevelControl - the level of one service, from observation
 *
 * The level is the number of slots that a line with the whole weight of the
 * service may hold; a line with a part of the weight may hold that part. It
 * falls while the upstreams are observed to hold more than they can run and
 * rises while they hold less. It is infinite while there is capacity for all.
 */
typedef struct LevelControl_ LevelControl;

/** LevelControl_Create() - a service with capacity for all */
LevelControl *LevelControl_Create(void);

/** LevelControl_Destroy() - release it */
void LevelControl_Destroy(LevelControl *this);

/**
 * LevelControl_SetDemand() - what the lines ask for now
 * @sum: slots demanded by all lines
 * @highest: the highest demand per unit of weight of any line, in slots
 */
void LevelControl_SetDemand(LevelControl *this, double sum, double highest,
                            Micros now);

/**
 * LevelControl_Capacity() - slots that the service was seen to have, with the
 * time on the way; 0 if unknown
 */
double LevelControl_Capacity(const LevelControl *this);

/** LevelControl_SetStart() - level to begin with when the service is short */
void LevelControl_SetStart(LevelControl *this, double level);

/**
 * LevelControl_OnLoad() - an upstream reported its load
 * @held: requests that it runs or queues
 * @slots: requests that it can run at once, at least 1
 */
void LevelControl_OnLoad(LevelControl *this, uint32_t held, uint32_t slots,
                         Micros now);

/**
 * LevelControl_Work() - what a request is charged that was @busy in flight
 *
 * Waiting is taken out and spread over all requests by their work, so that
 * many small requests don't pay for the queue that few large ones make; the
 * sum over all requests stays their time in flight.
 */
Micros LevelControl_Work(LevelControl *this, Micros busy, Micros now);

/** LevelControl_OnShed() - an upstream refused a request as full */
void LevelControl_OnShed(LevelControl *this, Micros now);

/**
 * LevelControl_OnLatency() - a response came; counts only without reports
 * @latency: time in flight for a unit of cost, in microseconds
 */
void LevelControl_OnLatency(LevelControl *this, double latency, Micros now);

/** LevelControl_OnPeer() - the level of another host */
void LevelControl_OnPeer(LevelControl *this, double level, Micros now);

/**
 * LevelControl_OnTime() - call with every request
 * @idle: this host has no request in flight
 *
 * Without observations the level rises, and a state that rests on silent
 * peers ends.
 */
void LevelControl_OnTime(LevelControl *this, bool idle, Micros now);

/** LevelControl_Trim() - factor for what limited lines may hold right now */
double LevelControl_Trim(const LevelControl *this);

/** LevelControl_IsWarm() - busy enough for demand to be exchanged */
bool LevelControl_IsWarm(const LevelControl *this);

/** LevelControl_IsShort() - whether shares are enforced now */
bool LevelControl_IsShort(const LevelControl *this);

/** LevelControl_Level() - slots for the whole weight; infinite if not short */
double LevelControl_Level(const LevelControl *this);

/** LevelControl_Bytes() - memory held, in bytes */
size_t LevelControl_Bytes(void);

#endif
