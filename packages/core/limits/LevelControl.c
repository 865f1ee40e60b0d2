#include "LevelControl.h"

#include <glib.h>
#include <math.h>

/* The target for an upstream is slots + TARGET_QUEUE_FACTOR x sqrt(slots)
 * requests: the queue that keeps its slots busy grows with the standard
 * deviation of its load. */
#define TARGET_QUEUE_FACTOR 0.8

/* The thresholds below are ratios of the load to that target. */
#define SATURATION_THRESHOLD 0.90
#define EXCHANGE_THRESHOLD 0.50

/* Above this load a host accepts the report of a peer that the service is
 * saturated. */
#define PEER_SATURATION_THRESHOLD 0.80

/* Averaging window of the fast load average; about one service time (10
 * ms). */
#define FAST_LOAD_WINDOW_US (10 * MICROS_PER_MS)

/* Averaging window of the load that decides on saturation. With a shorter
 * window the average exceeds SATURATION_THRESHOLD by chance once per second at
 * a load of 0.8. */
#define SLOW_LOAD_WINDOW_US (40 * MICROS_PER_MS)

/* Change of the logarithm of the level per second and per unit of the
 * logarithm of the load. Reports, averages and shares delay the effect by
 * about 35 ms, so a gain above 15 would oscillate. */
#define LEVEL_GAIN_PER_S 7.0

/* Above a load of 1.5 the level falls faster, since capacity that was lent
 * must be returned within 100 ms. */
#define HIGH_LOAD_LOG_THRESHOLD 0.4 /* about the logarithm of 1.5 */
#define HIGH_LOAD_GAIN_PER_S 20.0
#define LEVEL_CHANGE_MAX_PER_S 30.0

/* A sample after a pause counts for at most this time. */
#define STEP_MAX_US (20 * MICROS_PER_MS)

/* Samples taken at the same time count as this far apart. */
#define STEP_MIN_US ((Micros)100)

/* The service leaves saturation after the load was below the threshold for
 * this time. */
#define RECOVERY_TIME_US (200 * MICROS_PER_MS)

/* Multiples of the highest demand: above the first no line is limited, the
 * second is the upper bound of the level. */
#define NO_LIMIT_FACTOR 1.25
#define LEVEL_MAX_FACTOR 1.5

/* Fraction of the logarithmic difference to a peer's level that one item
 * corrects. */
#define PEER_CORRECTION_RATIO 0.3

/* Lower bound of the level as a fraction of the level for the estimated
 * capacity. Without it the level would fall for as long as the backlog of a
 * surge is processed, and leave the upstreams idle afterwards. */
#define LEVEL_FLOOR_RATIO 0.6

/* One request at a time is always allowed for the service in total, so that
 * there are observations even if every report is misleading. */
#define LEVEL_MIN_SLOTS 1.0

/* Without a load sample for this time the level rises by itself. It rises
 * quickly if this host has nothing in flight, because the upstreams can only
 * be idle then. */
#define NO_SAMPLE_TIME_US (50 * MICROS_PER_MS)
#define NO_SAMPLE_GAIN_PER_S 2.0
#define IDLE_GAIN_PER_S 20.0

/* The fast part of the control acts on the allowance of limited lines, not on
 * the level itself: it compensates for the random variation of the lines that
 * are not limited. */
#define TRIM_EXPONENT 0.5
#define TRIM_MAX_FACTOR 1.5

/* Time constant with which the capacity estimate follows the level while
 * shares are enforced. */
#define CAPACITY_FOLLOW_TIME_US (2 * MICROS_PER_S)

/* Demand that exceeds the capacity by this factor is not a random
 * variation. */
#define CLEAR_EXCESS_FACTOR 1.15

/* Averaging window of the capacity estimate, and the lowest load at which it
 * is updated. The upper limit is SATURATION_THRESHOLD; between the two both
 * demand and load are known accurately. */
#define CAPACITY_WINDOW_US MICROS_PER_S
#define CAPACITY_LOAD_THRESHOLD 0.3

/* Without load reports for REPORT_TIMEOUT_US the load is derived from the
 * latency. Latency at its baseline is taken as a load of 1 /
 * TARGET_LATENCY_FACTOR. */
#define REPORT_TIMEOUT_US MICROS_PER_S
#define FAST_LATENCY_WINDOW_US (100 * MICROS_PER_MS)
#define SLOW_LATENCY_WINDOW_US MICROS_PER_S
#define TARGET_LATENCY_FACTOR 1.3

/* The averages span at least this many responses, whatever their rate. The
 * minimum of averages over a few responses would be far below the mean, and a
 * service that is throttled because of it would never see enough responses to
 * recover. */
#define FAST_LATENCY_SAMPLES_MIN 32
#define SLOW_LATENCY_SAMPLES_MIN 512

/* The baseline latency rises by this fraction per second, so that a change of
 * the requests themselves is not taken for a queue indefinitely. */
#define BASE_LATENCY_DRIFT_PER_S 0.02

/* Averaging window of the waiting fraction of the time in flight, and its
 * upper bound: reports that claim a higher fraction are not trusted. */
#define WAIT_WINDOW_US (100 * MICROS_PER_MS)
#define WAIT_RATIO_MAX 0.8

/* Load that a shed request counts as. */
#define SHED_LOAD_RATIO 2.0

struct LevelControl_ {
    bool is_saturated;
    double level;
    double initial_level;
    double highest_demand;
    double capacity;
    double fast_load; /* ratio of the load to the target, averaged */
    double slow_load; /* the same over SLOW_LOAD_WINDOW_US */
    Micros sampled_at;
    Micros demand_at;
    Micros reported_at; /* time of the last report, -1 if none */
    Micros last_saturated_at;
    Micros ticked_at;
    Micros peer_level_at;  /* time of the last level of a peer */
    double outstanding;    /* requests at an upstream, averaged */
    double queued;         /* those of them that are queued */
    double in_flight_time; /* average time in flight over all lines */
    Micros load_at;
    Micros in_flight_at;
    double fast_latency;
    double slow_latency;
    double base_latency;
    Micros latency_at;
    uint32_t latency_count;
};

LevelControl *
LevelControl_Create(void)
{
    LevelControl *this = g_new0(LevelControl, 1);

    this->level = INFINITY;
    this->initial_level = INFINITY;
    this->reported_at = -1;
    return this;
}

void
LevelControl_Destroy(LevelControl *this)
{
    g_free(this);
}

static double
ewma(double old, double value, Micros elapsed, Micros window)
{
    double weight = 1.0 - exp(-(double)elapsed / (double)window);

    return old + weight * (value - old);
}

/* Initial estimate, also for a service that is overloaded from the first
 * observation on: without an estimate the level would fall until the backlog
 * is processed. */
static void
estimate_initial_capacity(LevelControl *this, double demand_sum)
{
    if (this->slow_load > CAPACITY_LOAD_THRESHOLD && demand_sum > 0) {
        this->capacity = demand_sum / this->slow_load;
    }
}

static void
update_capacity(LevelControl *this, double demand_sum, Micros elapsed)
{
    if (this->slow_load < CAPACITY_LOAD_THRESHOLD ||
        this->slow_load > SATURATION_THRESHOLD || demand_sum <= 0) {
        return;
    }
    this->capacity = ewma(this->capacity, demand_sum / this->slow_load,
                          elapsed, CAPACITY_WINDOW_US);
}

static void
scale_capacity_with_level(LevelControl *this, Micros elapsed)
{
    if (this->capacity <= 0 || isinf(this->initial_level)) {
        return;
    }
    this->capacity *= pow(this->level / this->initial_level,
                          (double)elapsed / (double)CAPACITY_FOLLOW_TIME_US);
}

void
LevelControl_SetDemand(LevelControl *this, double demand_sum,
                       double highest_demand, Micros now)
{
    Micros elapsed = MIN(now - this->demand_at, CAPACITY_WINDOW_US);

    this->demand_at = now;
    this->highest_demand = highest_demand;
    if (this->capacity <= 0) {
        estimate_initial_capacity(this, demand_sum);
    }
    if (this->is_saturated) {
        scale_capacity_with_level(this, elapsed);
    }
    else {
        update_capacity(this, demand_sum, elapsed);
    }
    if (this->is_saturated && highest_demand > 0) {
        this->level = fmin(this->level, LEVEL_MAX_FACTOR * highest_demand);
    }
}

double
LevelControl_Capacity(const LevelControl *this)
{
    return this->capacity;
}

void
LevelControl_SetInitialLevel(LevelControl *this, double level)
{
    this->initial_level = level;
}

static void
enter_saturation(LevelControl *this, double level, Micros now)
{
    this->is_saturated = true;
    this->level = level;
    this->last_saturated_at = now;
}

static void
leave_saturation(LevelControl *this)
{
    this->is_saturated = false;
    this->level = INFINITY;
}

static double
level_change_rate(double load)
{
    double error = log(fmax(load, 0.1));
    double rate = LEVEL_GAIN_PER_S * error;

    if (error > HIGH_LOAD_LOG_THRESHOLD) {
        rate += HIGH_LOAD_GAIN_PER_S * (error - HIGH_LOAD_LOG_THRESHOLD);
    }
    return -fmax(fmin(rate, LEVEL_CHANGE_MAX_PER_S), -LEVEL_CHANGE_MAX_PER_S);
}

static void
adjust_level(LevelControl *this, Micros step, Micros now)
{
    double seconds = (double)step / (double)MICROS_PER_S;

    this->level *= exp(level_change_rate(this->fast_load) * seconds);
    this->level = fmax(this->level, LEVEL_MIN_SLOTS);
    if (isfinite(this->initial_level)) {
        this->level =
            fmax(this->level, LEVEL_FLOOR_RATIO * this->initial_level);
    }
    if (this->highest_demand > 0) {
        this->level =
            fmin(this->level, LEVEL_MAX_FACTOR * this->highest_demand);
    }
    if (this->slow_load > SATURATION_THRESHOLD ||
        this->level < NO_LIMIT_FACTOR * this->highest_demand) {
        this->last_saturated_at = now;
    }
    if (now - this->last_saturated_at > RECOVERY_TIME_US) {
        leave_saturation(this);
    }
}

/* If the demand is clearly above the capacity, the fast average is sufficient
 * evidence. */
static bool
is_over_capacity(const LevelControl *this)
{
    if (this->highest_demand <= 0) {
        return false;
    }
    return this->slow_load > SATURATION_THRESHOLD ||
           (this->fast_load > SATURATION_THRESHOLD &&
            this->initial_level * CLEAR_EXCESS_FACTOR < this->highest_demand);
}

static void
add_load_sample(LevelControl *this, double load, Micros now)
{
    Micros elapsed = now - this->sampled_at;
    Micros step = MIN(elapsed, STEP_MAX_US);

    this->fast_load = ewma(this->fast_load, load, MAX(step, STEP_MIN_US),
                           FAST_LOAD_WINDOW_US);
    this->slow_load = ewma(this->slow_load, load, MAX(step, STEP_MIN_US),
                           SLOW_LOAD_WINDOW_US);
    this->sampled_at = now;
    if (this->is_saturated) {
        adjust_level(this, step, now);
    }
    else if (is_over_capacity(this)) {
        enter_saturation(
            this,
            fmin(this->initial_level, LEVEL_MAX_FACTOR * this->highest_demand),
            now);
    }
}

void
LevelControl_OnLoad(LevelControl *this, uint32_t outstanding, uint32_t slots,
                    Micros now)
{
    Micros elapsed = MAX(now - this->load_at, STEP_MIN_US);

    this->load_at = now;
    this->outstanding =
        ewma(this->outstanding, outstanding, elapsed, WAIT_WINDOW_US);
    this->queued =
        ewma(this->queued, outstanding > slots ? outstanding - slots : 0,
             elapsed, WAIT_WINDOW_US);
    this->reported_at = now;
    add_load_sample(
        this, outstanding / (slots + TARGET_QUEUE_FACTOR * sqrt(slots)), now);
}

/* By Little's law, the fraction of its time that a request waits equals the
 * fraction of outstanding requests that are queued. All requests wait equally
 * long, whatever their work. The result may be negative for a single request;
 * clamping it would bias the sum over many. */
Micros
LevelControl_SlotTime(LevelControl *this, Micros in_flight_time, Micros now)
{
    Micros elapsed = MAX(now - this->in_flight_at, STEP_MIN_US);
    double wait_ratio;
    double slot_time;

    this->in_flight_at = now;
    this->in_flight_time = ewma(this->in_flight_time, (double)in_flight_time,
                                elapsed, WAIT_WINDOW_US);
    if (this->outstanding <= 0) {
        return in_flight_time;
    }
    wait_ratio = fmin(this->queued / this->outstanding, WAIT_RATIO_MAX);
    slot_time = ((double)in_flight_time - wait_ratio * this->in_flight_time) /
                (1 - wait_ratio);
    return (Micros)slot_time;
}

void
LevelControl_OnShed(LevelControl *this, Micros now)
{
    add_load_sample(this, SHED_LOAD_RATIO, now);
}

static double
ewma_min_samples(double old, double value, Micros elapsed, Micros window,
                 int n)
{
    double weight = 1.0 - exp(-(double)elapsed / (double)window);

    return old + fmin(weight, 1.0 / n) * (value - old);
}

void
LevelControl_OnLatency(LevelControl *this, double latency, Micros now)
{
    Micros elapsed =
        MAX(MIN(now - this->latency_at, SLOW_LATENCY_WINDOW_US), STEP_MIN_US);

    if (this->base_latency <= 0) {
        this->fast_latency = latency;
        this->slow_latency = latency;
        this->base_latency = latency;
    }
    this->latency_at = now;
    this->latency_count++;
    this->fast_latency = ewma_min_samples(
        this->fast_latency, latency, elapsed, FAST_LATENCY_WINDOW_US,
        MIN(this->latency_count, FAST_LATENCY_SAMPLES_MIN));
    this->slow_latency = ewma_min_samples(
        this->slow_latency, latency, elapsed, SLOW_LATENCY_WINDOW_US,
        MIN(this->latency_count, SLOW_LATENCY_SAMPLES_MIN));
    this->base_latency *= 1.0 + BASE_LATENCY_DRIFT_PER_S * (double)elapsed /
                                    (double)MICROS_PER_S;
    if (this->latency_count < SLOW_LATENCY_SAMPLES_MIN) {
        this->base_latency = this->slow_latency;
        return;
    }
    this->base_latency = fmin(this->base_latency, this->slow_latency);
    if (this->reported_at < 0 || now - this->reported_at > REPORT_TIMEOUT_US) {
        add_load_sample(this,
                        this->fast_latency / this->base_latency /
                            TARGET_LATENCY_FACTOR,
                        now);
    }
}

void
LevelControl_OnPeer(LevelControl *this, double level, Micros now)
{
    bool is_stale = now - this->sampled_at > RECOVERY_TIME_US;

    if (!(level > 0) || !isfinite(level)) {
        return;
    }
    this->peer_level_at = now;
    if (this->is_saturated) {
        this->level *= pow(level / this->level, PEER_CORRECTION_RATIO);
    }
    else if (is_stale || this->slow_load > PEER_SATURATION_THRESHOLD) {
        enter_saturation(this, level, now);
    }
    if (is_stale) {
        this->last_saturated_at = now;
    }
}

void
LevelControl_OnTick(LevelControl *this, bool idle, Micros now)
{
    Micros since_sample = now - this->sampled_at;
    Micros elapsed = MIN(now - this->ticked_at, STEP_MAX_US);

    this->ticked_at = now;
    if (!this->is_saturated || since_sample < NO_SAMPLE_TIME_US) {
        return;
    }
    if (since_sample > MICROS_PER_S &&
        now - this->peer_level_at > MICROS_PER_S) {
        leave_saturation(this);
        return;
    }
    this->level *= exp((idle ? IDLE_GAIN_PER_S : NO_SAMPLE_GAIN_PER_S) *
                       (double)elapsed / (double)MICROS_PER_S);
}

double
LevelControl_TrimFactor(const LevelControl *this)
{
    double trim = pow(fmax(this->fast_load, 0.1), -TRIM_EXPONENT);

    return fmax(fmin(trim, TRIM_MAX_FACTOR), 1 / TRIM_MAX_FACTOR);
}

bool
LevelControl_NeedsExchange(const LevelControl *this)
{
    return this->is_saturated || this->slow_load > EXCHANGE_THRESHOLD;
}

bool
LevelControl_IsSaturated(const LevelControl *this)
{
    return this->is_saturated;
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
