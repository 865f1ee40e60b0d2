#ifndef AGATECRANK_BASE_CLOCK_H
#define AGATECRANK_BASE_CLOCK_H

#include <stdint.h>

/** typedef Micros - a time or a duration in microseconds */
typedef int64_t Micros;

#define MICROS_PER_MS ((Micros)1000)
#define MICROS_PER_S ((Micros)1000000)

/**
 * typedef Clock - source of monotonic and wall-clock time
 *
 * Objects that need the time are given a clock; tests give them a manual one.
 */
typedef struct Clock_ Clock;

/** Clock_CreateSystem() - clock that reads the time of the operating system */
Clock *Clock_CreateSystem(void);

/**
 * Clock_CreateManual() - clock that advances only by Clock_Advance()
 * @start: initial monotonic time, in microseconds
 * @wall: initial wall-clock time, in microseconds since 1970
 */
Clock *Clock_CreateManual(Micros start, Micros wall);

/** Clock_Destroy() - release the clock */
void Clock_Destroy(Clock *this);

/** Clock_Now() - monotonic time in microseconds; never decreases */
Micros Clock_Now(const Clock *this);

/**
 * Clock_Boot() - monotonic time in microseconds that goes on while the machine
 *     is suspended
 *
 * Its origin differs from that of Clock_Now().
 */
Micros Clock_Boot(const Clock *this);

/** Clock_Wall() - wall-clock time in microseconds since 1970; may jump */
Micros Clock_Wall(const Clock *this);

/**
 * Clock_Suspend() - let a manual clock be suspended: only Clock_Boot() and
 *     Clock_Wall() advance
 */
void Clock_Suspend(Clock *this, Micros duration);

/**
 * Clock_Advance() - advance a manual clock by @duration microseconds
 *
 * A system clock is not affected.
 */
void Clock_Advance(Clock *this, Micros duration);

#endif
