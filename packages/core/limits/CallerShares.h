#ifndef AGATECRANK_CORE_CALLERSHARES_H
#define AGATECRANK_CORE_CALLERSHARES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "Clock.h"

/**
 * typedef CallerShares - fair division of a line's allowance over its callers
 *
 * Callers are hashed into a fixed number of buckets, so that memory does not
 * grow with the number of callers. Every bucket may use slots up to one common
 * level, which is set so that the whole allowance is used.
 */
typedef struct CallerShares_ CallerShares;

/**
 * CallerShares_Create() - create the buckets
 * @seed: hash seed; makes collisions differ between hosts
 */
CallerShares *CallerShares_Create(uint64_t seed, Micros now);

/** CallerShares_Destroy() - free the buckets */
void CallerShares_Destroy(CallerShares *this);

/**
 * CallerShares_OnOffer() - a caller requests @slot_time
 * @allowance: slots that the line may hold on this host
 */
void CallerShares_OnOffer(CallerShares *this, uint64_t caller,
                          Micros slot_time, double allowance, Micros now);

/** CallerShares_IsWithinShare() - whether the caller is within its share */
bool CallerShares_IsWithinShare(CallerShares *this, uint64_t caller,
                                Micros now);

/** CallerShares_Charge() - charge slot time, or refund it if negative */
void CallerShares_Charge(CallerShares *this, uint64_t caller, Micros amount,
                         Micros now);

/** CallerShares_Level() - most slots that one bucket may hold */
double CallerShares_Level(const CallerShares *this);

/** CallerShares_CappedDemand() - demand with each bucket capped at @level */
double CallerShares_CappedDemand(const CallerShares *this, double level,
                                 Micros now);

/** CallerShares_Bytes() - memory used by one instance, in bytes */
size_t CallerShares_Bytes(void);

#endif
