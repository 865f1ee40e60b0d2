#include "LevelControl.h"

#include <glib.h>
#include <math.h>

/* An upstream is aimed to hold slots + TARGET_QUEUE x sqrt(slots) requests:
 * the queue that keeps its slots busy grows with the spread of its load. */
#define TARGET_QUEUE 0.8

/* Loads below are in relation to that target. */
#define SHORT_FROM 0.90
#define WARM_FROM 0.50

/* From here on a host believes a peer that the service is short. */
#define PEER_SHORT_FROM 0.80

/* Time over which load is averaged; about one service time of 10 ms. */
#define SIGNAL_TIME (10 * MICROS_PER_MS)

/* Time over which load is averaged to tell that the service is short. A short
 * average passes SHORT_FROM every second by chance at a load of 0.8. */
#define ENTRY_TIME (40 * MICROS_PER_MS)

/* Change of the logarithm of the level per second and per unit of the
 * logarithm of the load. Reports, averages and shares delay the effect by
 * about 35 ms, so more than 15 would swing. */
#define GAIN 7.0

/* Beyond a load of 1.5 the level falls faster, since capacity that was lent
 * has to be back within 100 ms. */
#define HIGH_LOAD 0.4 /* logarithm */
#define HIGH_GAIN 20.0
#define MAX_CHANGE 30.0

/* A sample after a pause speaks for no more than this. */
#define MAX_STEP (20 * MICROS_PER_MS)

/* Samples of one instant are this far apart. */
#define MIN_STEP ((Micros)100)

/* The service stays short until it was calm for this long. */
#define CALM_TIME (200 * MICROS_PER_MS)

/* Multiples of the highest demand: above the first no line is limited, the
 * second bounds the level. */
#define LOOSE 1.25
#define MAX_LOOSE 1.5

/* Part of the difference to a peer's level that one item takes away. */
#define PEER_PULL 0.3

/* The level stays above this part of what the capacity seen before gives.
 * Otherwise it would fall for as long as the backlog of a surge is worked off,
 * and leave the upstreams idle after it. */
#define LEAST_LEVEL 0.6

/* One request at a time in all always remains allowed, so that there is
 * something to observe even if every report misleads. */
#define MIN_LEVEL 1.0

/* Without any response for this time the level rises on its own, quickly if
 * this host has nothing in flight, so that upstreams can only be idle. */
#define SILENT_TIME (50 * MICROS_PER_MS)
#define SILENT_GAIN 2.0
#define IDLE_GAIN 20.0

/* The quick part of the control acts on what limited lines may hold, not on
 * the level itself: it takes out the randomness of the lines that are not
 * limited. */
#define TRIM_GAIN 0.5
#define MAX_TRIM 1.5

/* With shares enforced, time over which the capacity follows the level. */
#define FOLLOW_TIME (2 * MICROS_PER_S)

/* Demand above the capacity by this factor is not chance. */
#define CLEAR_EXCESS 1.15

/* Time over which capacity is learnt, in the range of loads in which demand
 * and load are both known well. */
#define CAPACITY_TIME MICROS_PER_S
#define CAPACITY_FROM 0.3

/* Latency stands in for reports after this time without any. Latency at its
 * base is taken for a load of 1 / BLIND_TARGET. */
#define REPORT_TIME MICROS_PER_S
#define LATENCY_TIME (100 * MICROS_PER_MS)
#define BASE_TIME MICROS_PER_S
#define BLIND_TARGET 1.3

/* The averages hold at least this many responses, whatever their rate: the
 * lowest of averages over a few would lie far below the mean, and a service
 * that is held down by it would never see enough responses to recover. */
#define LATENCY_SAMPLES 32
#define BASE_SAMPLES 512

/* The lowest latency seen rises by this part per second, so that a change of
 * the requests themselves is not taken for a queue forever. */
#define BASE_DRIFT 0.02

/* Time over which the part of waiting in the time in flight is averaged, and
 * its bound: reports that claim more are not believed. */
#define WAIT_TIME (100 * MICROS_PER_MS)
#define MAX_WAIT_PART 0.8

/* What a shed request counts for. */
#define SHED_LOAD 2.0

struct LevelControl_ {
    bool is_short;
    double level;
    double start;
    double highest;
    double capacity;
    double signal; /* averaged load in relation to the target */
    double steady; /* the same over ENTRY_TIME */
    Micros sampled_at;
    Micros demand_at;
    Micros reported_at; /* last report, -1 if none */
    Micros calm_since;
    Micros timed_at;
    Micros heard_at; /* last level of a peer */
    double held;     /* requests at an upstream, averaged */
    double queued;   /* those of them that wait */
    double busy;     /* time in flight of all lines' requests */
    Micros held_at;
    Micros busy_at;
    double fast_latency;
    double slow_latency;
    double base_latency;
    Micros latency_at;
    uint32_t latencies;
};

LevelControl *
LevelControl_Create(void)
{
    LevelControl *this = g_new0(LevelControl, 1);

    this->level = INFINITY;
    this->start = INFINITY;
    this->reported_at = -1;
    return this;
}

void
LevelControl_Destroy(LevelControl *this)
{
    g_free(this);
}

static double
average(double old, double value, Micros passed, Micros time)
{
    double weight = 1.0 - exp(-(double)passed / (double)time);

    return old + weight * (value - old);
}

/* A first guess, also from a service that is overloaded as soon as it is
 * seen: without any the level would fall until the backlog is gone. */
static void
guess_capacity(LevelControl *this, double sum)
{
    if (this->steady > CAPACITY_FROM && sum > 0) {
        this->capacity = sum / this->steady;
    }
}

static void
learn_capacity(LevelControl *this, double sum, Micros passed)
{
    if (this->steady < CAPACITY_FROM || this->steady > SHORT_FROM ||
        sum <= 0) {
        return;
    }
    this->capacity =
        average(this->capacity, sum / this->steady, passed, CAPACITY_TIME);
}

static void
follow_level(LevelControl *this, Micros passed)
{
    if (this->capacity <= 0 || isinf(this->start)) {
        return;
    }
    this->capacity *=
        pow(this->level / this->start, (double)passed / (double)FOLLOW_TIME);
}

void
LevelControl_SetDemand(LevelControl *this, double sum, double highest,
                       Micros now)
{
    Micros passed = MIN(now - this->demand_at, CAPACITY_TIME);

    this->demand_at = now;
    this->highest = highest;
    if (this->capacity <= 0) {
        guess_capacity(this, sum);
    }
    if (this->is_short) {
        follow_level(this, passed);
    }
    else {
        learn_capacity(this, sum, passed);
    }
    if (this->is_short && highest > 0) {
        this->level = fmin(this->level, MAX_LOOSE * highest);
    }
}

double
LevelControl_Capacity(const LevelControl *this)
{
    return this->capacity;
}

void
LevelControl_SetStart(LevelControl *this, double level)
{
    this->start = level;
}

static void
become_short(LevelControl *this, double level, Micros now)
{
    this->is_short = true;
    this->level = level;
    this->calm_since = now;
}

static void
leave_short(LevelControl *this)
{
    this->is_short = false;
    this->level = INFINITY;
}

static double
rate_of_change(double load)
{
    double error = log(fmax(load, 0.1));
    double rate = GAIN * error;

    if (error > HIGH_LOAD) {
        rate += HIGH_GAIN * (error - HIGH_LOAD);
    }
    return -fmax(fmin(rate, MAX_CHANGE), -MAX_CHANGE);
}

static void
move_level(LevelControl *this, Micros step, Micros now)
{
    double seconds = (double)step / (double)MICROS_PER_S;

    this->level *= exp(rate_of_change(this->signal) * seconds);
    this->level = fmax(this->level, MIN_LEVEL);
    if (isfinite(this->start)) {
        this->level = fmax(this->level, LEAST_LEVEL * this->start);
    }
    if (this->highest > 0) {
        this->level = fmin(this->level, MAX_LOOSE * this->highest);
    }
    if (this->steady > SHORT_FROM || this->level < LOOSE * this->highest) {
        this->calm_since = now;
    }
    if (now - this->calm_since > CALM_TIME) {
        leave_short(this);
    }
}

/* With demand clearly above the capacity the short average is believed. */
static bool
is_overfull(const LevelControl *this)
{
    if (this->highest <= 0) {
        return false;
    }
    return this->steady > SHORT_FROM ||
           (this->signal > SHORT_FROM &&
            this->start * CLEAR_EXCESS < this->highest);
}

static void
sample(LevelControl *this, double load, Micros now)
{
    Micros passed = now - this->sampled_at;
    Micros step = MIN(passed, MAX_STEP);

    this->signal =
        average(this->signal, load, MAX(step, MIN_STEP), SIGNAL_TIME);
    this->steady =
        average(this->steady, load, MAX(step, MIN_STEP), ENTRY_TIME);
    this->sampled_at = now;
    if (this->is_short) {
        move_level(this, step, now);
    }
    else if (is_overfull(this)) {
        become_short(this, fmin(this->start, MAX_LOOSE * this->highest), now);
    }
}

void
LevelControl_OnLoad(LevelControl *this, uint32_t held, uint32_t slots,
                    Micros now)
{
    Micros passed = MAX(now - this->held_at, MIN_STEP);

    this->held_at = now;
    this->held = average(this->held, held, passed, WAIT_TIME);
    this->queued = average(this->queued, held > slots ? held - slots : 0,
                           passed, WAIT_TIME);
    this->reported_at = now;
    sample(this, held / (slots + TARGET_QUEUE * sqrt(slots)), now);
}

/* By Little's law requests wait for the same part of their time as is their
 * part of those held. Every request waits alike, whatever its work. The result
 * may be negative for one request; a bound would bias the sum of many. */
Micros
LevelControl_Work(LevelControl *this, Micros busy, Micros now)
{
    Micros passed = MAX(now - this->busy_at, MIN_STEP);
    double part;
    double work;

    this->busy_at = now;
    this->busy = average(this->busy, (double)busy, passed, WAIT_TIME);
    if (this->held <= 0) {
        return busy;
    }
    part = fmin(this->queued / this->held, MAX_WAIT_PART);
    work = ((double)busy - part * this->busy) / (1 - part);
    return (Micros)work;
}

void
LevelControl_OnShed(LevelControl *this, Micros now)
{
    sample(this, SHED_LOAD, now);
}

static double
average_samples(double old, double value, Micros passed, Micros time, int n)
{
    double weight = 1.0 - exp(-(double)passed / (double)time);

    return old + fmin(weight, 1.0 / n) * (value - old);
}

void
LevelControl_OnLatency(LevelControl *this, double latency, Micros now)
{
    Micros passed = MAX(MIN(now - this->latency_at, BASE_TIME), MIN_STEP);

    if (this->base_latency <= 0) {
        this->fast_latency = latency;
        this->slow_latency = latency;
        this->base_latency = latency;
    }
    this->latency_at = now;
    this->latencies++;
    this->fast_latency =
        average_samples(this->fast_latency, latency, passed, LATENCY_TIME,
                        MIN(this->latencies, LATENCY_SAMPLES));
    this->slow_latency =
        average_samples(this->slow_latency, latency, passed, BASE_TIME,
                        MIN(this->latencies, BASE_SAMPLES));
    this->base_latency *=
        1.0 + BASE_DRIFT * (double)passed / (double)MICROS_PER_S;
    if (this->latencies < BASE_SAMPLES) {
        this->base_latency = this->slow_latency;
        return;
    }
    this->base_latency = fmin(this->base_latency, this->slow_latency);
    if (this->reported_at < 0 || now - this->reported_at > REPORT_TIME) {
        sample(this, this->fast_latency / this->base_latency / BLIND_TARGET,
               now);
    }
}

void
LevelControl_OnPeer(LevelControl *this, double level, Micros now)
{
    bool unsure = now - this->sampled_at > CALM_TIME;

    if (!(level > 0) || !isfinite(level)) {
        return;
    }
    this->heard_at = now;
    if (this->is_short) {
        this->level *= pow(level / this->level, PEER_PULL);
    }
    else if (unsure || this->steady > PEER_SHORT_FROM) {
        become_short(this, level, now);
    }
    if (unsure) {
        this->calm_since = now;
    }
}

void
LevelControl_OnTime(LevelControl *this, bool idle, Micros now)
{
    Micros silent = now - this->sampled_at;
    Micros passed = MIN(now - this->timed_at, MAX_STEP);

    this->timed_at = now;
    if (!this->is_short || silent < SILENT_TIME) {
        return;
    }
    if (silent > MICROS_PER_S && now - this->heard_at > MICROS_PER_S) {
        leave_short(this);
        return;
    }
    this->level *= exp((idle ? IDLE_GAIN : SILENT_GAIN) * (double)passed /
                       (double)MICROS_PER_S);
}

double
LevelControl_Trim(const LevelControl *this)
{
    double trim = pow(fmax(this->signal, 0.1), -TRIM_GAIN);

    return fmax(fmin(trim, MAX_TRIM), 1 / MAX_TRIM);
}

bool
LevelControl_IsWarm(const LevelControl *this)
{
    return this->is_short || this->steady > WARM_FROM;
}

bool
LevelControl_IsShort(const LevelControl *this)
{
    return this->is_short;
}

double
LevelControl_Level(const LevelControl *this)
{
    return this->level;
}

size_t
LevelControl_Bytes(void)
{
    return sizeof(LevelControl);
}
