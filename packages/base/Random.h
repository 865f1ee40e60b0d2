#ifndef AGATECRANK_BASE_RANDOM_H
#define AGATECRANK_BASE_RANDOM_H

#include <stdint.h>

#include "Clock.h"

/**
 * typedef Random - seeded pseudorandom number generator (xoshiro256**)
 *
 * Not for cryptographic use.
 */
typedef struct Random_ Random;

/** Random_Create() - generator; the same @seed gives the same sequence */
Random *Random_Create(uint64_t seed);

/** Random_Destroy() - release the generator */
void Random_Destroy(Random *this);

/** Random_Next() - uniform 64-bit integer */
uint64_t Random_Next(Random *this);

/** Random_Below() - uniform integer in [0, @n); 0 if @n is 0 */
uint64_t Random_Below(Random *this, uint64_t n);

/** Random_Unit() - uniform number in [0, 1) */
double Random_Unit(Random *this);

/** Random_Jitter() - uniform duration in [0.5 * @mean, 1.5 * @mean) */
Micros Random_Jitter(Random *this, Micros mean);

/** Random_Exponential() - exponentially distributed number of mean @mean */
double Random_Exponential(Random *this, double mean);

#endif
