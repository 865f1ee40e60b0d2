#ifndef AGATECRANK_BASE_RANDOM_H
#define AGATECRANK_BASE_RANDOM_H

#include <stdint.h>

#include "Clock.h"

/** typedef Random - seeded generator (xoshiro256**), not for secrets */
typedef struct Random_ Random;

/** Random_Create() - the same @seed gives the same sequence */
Random *Random_Create(uint64_t seed);

/** Random_Destroy() - release the generator */
void Random_Destroy(Random *this);

/** Random_Next() - next 64 uniform bits */
uint64_t Random_Next(Random *this);

/** Random_Below() - uniform in [0, @n); 0 if @n is 0 */
uint64_t Random_Below(Random *this, uint64_t n);

/** Random_Unit() - uniform in [0, 1) */
double Random_Unit(Random *this);

/** Random_Jitter() - uniform from half to one and a half of @mean */
Micros Random_Jitter(Random *this, Micros mean);

/** Random_Exponential() - exponential with the given @mean */
double Random_Exponential(Random *this, double mean);

#endif
