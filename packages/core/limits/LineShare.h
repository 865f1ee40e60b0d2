#ifndef AGATECRANK_CORE_LINESHARE_H
#define AGATECRANK_CORE_LINESHARE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "CallerShares.h"
#include "Clock.h"

/**
 * typedef LineShare - the share of one line of a service
 *
 * Holds the demand of the line on this host and on the others, and the balance
 * of its slot time on this host.
 */
typedef struct LineShare_ LineShare;

/**
 * LineShare_Create() - create an unlimited share
 * @hosts: number of live hosts
 * @seed: hash seed for the callers of the line
 */
LineShare *LineShare_Create(uint32_t hosts, uint64_t seed, Micros now);

/** LineShare_Destroy() - free the share */
void LineShare_Destroy(LineShare *this);

/** LineShare_SetHosts() - set the number of live hosts */
void LineShare_SetHosts(LineShare *this, uint32_t hosts);

/**
 * LineShare_EstimateSlotTime() - expected slot time of a request
 * @cost: work relative to an ordinary request of the line, which has cost 1
 *
 * Return: microseconds, at least 1.
 */
Micros LineShare_EstimateSlotTime(const LineShare *this, double cost);

/**
 * LineShare_AddSlotTimeSample() - update the slot time estimate
 * @slot_time: slot time of a finished request per unit of cost, in
 *   microseconds
 */
void LineShare_AddSlotTimeSample(LineShare *this, double slot_time,
                                 Micros now);

/**
 * LineShare_LowerSlotTimeEstimate() - a request was refused for its expected
 * time
 *
 * Lowers the slot time estimate slightly. Without this, a line whose requests
 * are all refused after a period of high latency would never get a new sample.
 */
void LineShare_LowerSlotTimeEstimate(LineShare *this);

/** LineShare_OnOffer() - a caller requests @slot_time */
void LineShare_OnOffer(LineShare *this, uint64_t caller, Micros slot_time,
                       Micros now);

/**
 * LineShare_OnPeer() - another host reported its demand for the line
 * @demand: slots demanded on that host
 * @capped_demand: the same with each caller capped at the common level
 * @caller_level: slots per caller on that host; 0 if the line is not limited
 * @measured_at: time of the measurement
 *
 * Values that are negative, not a number or expired are ignored.
 */
void LineShare_OnPeer(LineShare *this, uint32_t host, double demand,
                      double capped_demand, double caller_level,
                      Micros measured_at, Micros now);

/** LineShare_Demand() - slots demanded on this host */
double LineShare_Demand(LineShare *this, Micros now);

/**
 * LineShare_TotalDemand() - slots demanded on all hosts
 * @unreported_hosts: hosts that sent no items; they are assumed to see the
 *   average demand
 */
double LineShare_TotalDemand(LineShare *this, uint32_t unreported_hosts,
                             Micros now);

/**
 * LineShare_SetLimit() - set the slots that the line may hold on all hosts
 * @entitlement: slots; infinite if the line is not limited
 * @trim: short-term load correction factor; not applied to the callers' shares
 *
 * The fraction for this host follows from the demand on the other hosts.
 */
void LineShare_SetLimit(LineShare *this, double entitlement, double trim,
                        uint32_t unreported_hosts, Micros now);

/** LineShare_Allowance() - slots that the line may hold on this host */
double LineShare_Allowance(const LineShare *this);

/**
 * LineShare_CappedDemand() - demand on this host with callers capped at the
 * common level
 */
double LineShare_CappedDemand(LineShare *this, Micros now);

/**
 * LineShare_CallerLevel() - slots per caller on this host
 *
 * Return: 0 if callers are not limited.
 */
double LineShare_CallerLevel(const LineShare *this);

/** LineShare_SetAllowance() - fix the slots on this host; for baselines */
void LineShare_SetAllowance(LineShare *this, double allowance);

/**
 * LineShare_IsCallerWithinShare() - whether the caller is within its share of
 * the line
 */
bool LineShare_IsCallerWithinShare(LineShare *this, uint64_t caller,
                                   Micros now);

/**
 * LineShare_WaitTime() - time until a request may run
 * @within_share: the caller is within its share; other callers may use only
 *   capacity that is left over
 * @queued_ahead: slot time of the requests queued before it, in microseconds
 *
 * Return: microseconds; 0 if it may run immediately.
 */
Micros LineShare_WaitTime(LineShare *this, bool within_share,
                          Micros queued_ahead, Micros now);

/** LineShare_Charge() - charge slot time, or refund it if negative */
void LineShare_Charge(LineShare *this, Micros amount, Micros now);

/** LineShare_ChargeCaller() - the same on the balance of the caller */
void LineShare_ChargeCaller(LineShare *this, uint64_t caller, Micros amount,
                            Micros now);

/** LineShare_Bytes() - memory used, in bytes */
size_t LineShare_Bytes(const LineShare *this);

#endif
