#ifndef AGATECRANK_BASE_CLOCK_H
#define AGATECRANK_BASE_CLOCK_H

#include <stdint.h>

/** typedef Micros - a time or a duration in microseconds */
typedef int64_t Micros;

#define MICROS_PER_MS ((Micros)1000)
#define MICROS_PER_S ((Micros)1000000)

/** typedef Clock - source of time, passed to every object that needs it */
typedef struct Clock_ Clock;

/** Clock_CreateSystem() - the monotonic and wall clocks of the machine */
Clock *Clock_CreateSystem(void);

/**
 * Clock_CreateManual() - a clock that moves only by Clock_Advance()
 * @start: first monotonic time, in microseconds
 * @wall: first wall time, in microseconds since 1970
 */
Clock *Clock_CreateManual(Micros start, Micros wall);

/** Clock_Destroy() - release the clock */
void Clock_Destroy(Clock *this);

/** Clock_Now() - monotonic time in microseconds, never goes back */
Micros Clock_Now(const Clock *this);

/** Clock_Wall() - wall time in microseconds since 1970, may jump */
Micros Clock_Wall(const Clock *this);

/** Clock_Advance() - move a manual clock forward; no effect on others */
void Clock_Advance(Clock *this, Micros duration);

#endif
