#ifndef AGATECRANK_CORE_LINESHARE_H
#define AGATECRANK_CORE_LINESHARE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "CallerShares.h"
#include "Clock.h"

/**
 * typedef LineShare - one line's demand for one service, on this host and on
 * the others, and its slot time account on this host
 */
typedef struct LineShare_ LineShare;

/** LineShare_Create() - @hosts is the number of live hosts */
LineShare *LineShare_Create(uint32_t hosts, uint64_t seed, Micros now);

/** LineShare_Destroy() - release it */
void LineShare_Destroy(LineShare *this);

/** LineShare_SetHosts() - number of live hosts */
void LineShare_SetHosts(LineShare *this, uint32_t hosts);

/** LineShare_Estimate() - expected slot time of a request of relative @cost */
Micros LineShare_Estimate(const LineShare *this, double cost);

/** LineShare_Learn() - a request took @latency for each unit of cost */
void LineShare_Learn(LineShare *this, double latency, Micros now);

/**
 * LineShare_Doubt() - a request was refused for its expected time
 *
 * Lowers the expectation a little, so that a line whose requests are all
 * refused after a slow spell gets one through and can learn again.
 */
void LineShare_Doubt(LineShare *this);

/** LineShare_OnOffer() - a caller asks for @cost of slot time */
void LineShare_OnOffer(LineShare *this, uint64_t caller, Micros cost,
                       Micros now);

/** LineShare_OnPeer() - what the line demands on another host */
void LineShare_OnPeer(LineShare *this, uint32_t host, double usage,
                      double effective, double caller_level, Micros when,
                      Micros now);

/** LineShare_Demand() - slots demanded on this host */
double LineShare_Demand(LineShare *this, Micros now);

/**
 * LineShare_Total() - slots demanded on all hosts
 * @unknown: hosts that were not heard; they count like the others
 */
double LineShare_Total(LineShare *this, uint32_t unknown, Micros now);

/**
 * LineShare_Allow() - set the slots that the line may hold on all hosts
 * @entitled: infinite if the line is not limited
 * @trim: factor for the load of the moment; callers' shares don't follow it
 *
 * The part of this host follows from the demand on the other hosts.
 */
void LineShare_Allow(LineShare *this, double entitled, double trim,
                     uint32_t unknown, Micros now);

/** LineShare_Allowance() - slots that the line may hold on this host */
double LineShare_Allowance(const LineShare *this);

/** LineShare_Effective() - demand with callers capped at the common level */
double LineShare_Effective(LineShare *this, Micros now);

/** LineShare_CallerLevel() - slots per caller on this host */
double LineShare_CallerLevel(const LineShare *this);

/** LineShare_SetAllowance() - fix the slots on this host; for baselines */
void LineShare_SetAllowance(LineShare *this, double allowance);

/** LineShare_IsWithin() - the caller is within its share of the line */
bool LineShare_IsWithin(LineShare *this, uint64_t caller, Micros now);

/**
 * LineShare_Wait() - time until a request may run; 0 for now
 * @within: the caller is within its share; others run only on what is left
 * @ahead: slot time of the requests that wait before it
 */
Micros LineShare_Wait(LineShare *this, bool within, Micros ahead, Micros now);

/** LineShare_Charge() - slot time used, or returned if negative */
void LineShare_Charge(LineShare *this, Micros amount, Micros now);

/** LineShare_ChargeCaller() - as above, on the account of the caller */
void LineShare_ChargeCaller(LineShare *this, uint64_t caller, Micros amount,
                            Micros now);

/** LineShare_Bytes() - memory held, in bytes */
size_t LineShare_Bytes(const LineShare *this);

#endif
