#include "Clock.h"

#include <glib.h>

typedef enum ClockKind_ {
    CLOCK_SYSTEM,
    CLOCK_MANUAL,
} ClockKind;

struct Clock_ {
    ClockKind kind;
    Micros now;
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
Clock_Advance(Clock *this, Micros duration)
{
    this->now += duration;
    this->wall += duration;
}
