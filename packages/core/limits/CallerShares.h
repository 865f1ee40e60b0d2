#ifndef AGATECRANK_CORE_CALLERSHARES_H
#define AGATECRANK_CORE_CALLERSHARES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "Clock.h"

/**
 * typedef CallerShares - fair division of one line's allowance on one host
 *
 * Callers are hashed into a fixed number of buckets, so the memory doesn't
 * grow with the callers. Every bucket may use slot time up to one common
 * level, which is set so that the whole allowance is used.
 */
typedef struct CallerShares_ CallerShares;

/** CallerShares_Create() - @seed makes collisions differ between hosts */
CallerShares *CallerShares_Create(uint64_t seed, Micros now);

/** CallerShares_Destroy() - release it */
void CallerShares_Destroy(CallerShares *this);

/**
 * CallerShares_OnOffer() - a caller asks for @cost of slot time
 * @allowance: slots that the line may hold on this host
 */
void CallerShares_OnOffer(CallerShares *this, uint64_t caller, Micros cost,
                          double allowance, Micros now);

/** CallerShares_MayRun() - the caller is within its share */
bool CallerShares_MayRun(CallerShares *this, uint64_t caller, Micros now);

/** CallerShares_Charge() - slot time used, or returned if negative */
void CallerShares_Charge(CallerShares *this, uint64_t caller, Micros amount,
                         Micros now);

/** CallerShares_Level() - most slots that one bucket may hold */
double CallerShares_Level(const CallerShares *this);

/** CallerShares_Capped() - demand with each bucket counted up to @level */
double CallerShares_Capped(const CallerShares *this, double level, Micros now);

/** CallerShares_Bytes() - memory held, in bytes */
size_t CallerShares_Bytes(void);

#endif
