#include "Clock.h"

#include <glib.h>
#include <time.h>

typedef enum ClockKind_ {
    CLOCK_SYSTEM,
    CLOCK_MANUAL,
} ClockKind;

struct Clock_ {
    ClockKind kind;
    Micros now;
    Micros suspended; /* total time */
    Micros wall;
};

Clock *
Clock_CreateSystem(void)
{
    Clock *this = g_new0(Clock, 1);

    this->kind = CLOCK_SYSTEM;
    return this;
}

Clock *
Clock_CreateManual(Micros start, Micros wall)
{
    Clock *this = g_new0(Clock, 1);

    this->kind = CLOCK_MANUAL;
    this->now = start;
    this->wall = wall;
    return this;
}

void
Clock_Destroy(Clock *this)
{
    g_free(this);
}

Micros
Clock_Now(const Clock *this)
{
    switch (this->kind) {
    case CLOCK_SYSTEM:
        return g_get_monotonic_time();
    case CLOCK_MANUAL:
        return this->now;
    }
    return 0;
}

static Micros
system_boot_time(void)
{
    struct timespec time;

    if (clock_gettime(CLOCK_BOOTTIME, &time) != 0) {
        return g_get_monotonic_time();
    }
    return (Micros)time.tv_sec * MICROS_PER_S + time.tv_nsec / 1000;
}

Micros
Clock_Boot(const Clock *this)
{
    switch (this->kind) {
    case CLOCK_SYSTEM:
        return system_boot_time();
    case CLOCK_MANUAL:
        return this->now + this->suspended;
    }
    return 0;
}

Micros
Clock_Wall(const Clock *this)
{
    switch (this->kind) {
    case CLOCK_SYSTEM:
        return g_get_real_time();
    case CLOCK_MANUAL:
        return this->wall;
    }
    return 0;
}

void
Clock_Suspend(Clock *this, Micros duration)
{
    this->suspended += duration;
    this->wall += duration;
}

void
Clock_Advance(Clock *this, Micros duration)
{
    this->now += duration;
    this->wall += duration;
}
