#include "CallerShares.h"

#include <glib.h>
#include <math.h>

/* With 64 buckets, 8 active callers all fall into different buckets with a
 * probability of 64%. The buckets use 2 KB per line that is over its share. */
#define BUCKET_COUNT 64

/* Averaging window of the demand of a caller. */
#define DEMAND_WINDOW_US (500 * MICROS_PER_MS)

/* Interval at which the level is recomputed. */
#define LEVEL_INTERVAL_US (10 * MICROS_PER_MS)

/* The level is computed for this fraction of the allowance; the rest is left
 * to callers above the level. Without this margin, callers below the level
 * would wait as in a queue at full load. */
#define REGULATED_RATIO 0.95

/* A caller below the level may accumulate its share of this much time and use
 * it at once. */
#define BURST_US (200 * MICROS_PER_MS)

/* All demands decay at the same rate, so they are stored relative to @epoch
 * and scaled by one common factor. The epoch is advanced before the numbers
 * grow too large. */
#define EPOCH_AGE_MAX_US (20 * DEMAND_WINDOW_US)

typedef struct Bucket_ {
    double demand;  /* slots, relative to the epoch */
    double balance; /* slot time in microseconds */
    Micros balance_at;
} Bucket;

struct CallerShares_ {
    uint64_t seed;
    double level;
    double mean_slot_time; /* of the requests, in microseconds */
    Micros level_at;
    Micros epoch;
    Bucket buckets[BUCKET_COUNT];
};

CallerShares *
CallerShares_Create(uint64_t seed, Micros now)
{
    CallerShares *this = g_new0(CallerShares, 1);

    this->seed = seed;
    this->level = INFINITY;
    this->level_at = now - LEVEL_INTERVAL_US;
    this->epoch = now;
    for (int i = 0; i < BUCKET_COUNT; i++) {
        this->buckets[i].balance_at = now;
    }
    return this;
}

void
CallerShares_Destroy(CallerShares *this)
{
    g_free(this);
}

static Bucket *
bucket_of(CallerShares *this, uint64_t caller)
{
    uint64_t hash = (caller ^ this->seed) * 0x9e3779b97f4a7c15ULL;

    return &this->buckets[(hash >> 32) % BUCKET_COUNT];
}

/* Factor that converts a demand relative to the epoch to the current one. */
static double
decay_factor(const CallerShares *this, Micros now)
{
    return exp(-(double)(now - this->epoch) / (double)DEMAND_WINDOW_US);
}

static void
advance_epoch(CallerShares *this, Micros now)
{
    double factor = decay_factor(this, now);

    for (int i = 0; i < BUCKET_COUNT; i++) {
        this->buckets[i].demand *= factor;
    }
    this->epoch = now;
}

double
CallerShares_CappedDemand(const CallerShares *this, double level, Micros now)
{
    double factor = decay_factor(this, now);
    double cap = level / factor;
    double sum = 0;

    for (int i = 0; i < BUCKET_COUNT; i++) {
        double demand = this->buckets[i].demand;

        sum += demand < cap ? demand : cap;
    }
    return sum * factor;
}

/* Water-filling: the level at which the capped demands sum up to @amount. Each
 * round subtracts the buckets below the level of the previous round; a few
 * rounds converge to within one percent. */
static double
water_fill_level(const double *demands, int n, double amount)
{
    double level = n > 0 ? amount / n : INFINITY;

    for (int round = 0; round < 8; round++) {
        double remaining = amount;
        int above = 0;

        for (int i = 0; i < n; i++) {
            if (demands[i] > level) {
                above++;
            }
            else {
                remaining -= demands[i];
            }
        }
        if (above == 0) {
            return INFINITY;
        }
        if (remaining / above <= level * 1.001) {
            break;
        }
        level = remaining / above;
    }
    return level;
}

static void
compute_level(CallerShares *this, double allowance, Micros now)
{
    double demands[BUCKET_COUNT];
    double factor = decay_factor(this, now);
    int n = 0;

    for (int i = 0; i < BUCKET_COUNT; i++) {
        if (this->buckets[i].demand > 0) {
            demands[n++] = this->buckets[i].demand * factor;
        }
    }
    this->level = water_fill_level(demands, n, REGULATED_RATIO * allowance);
    this->level_at = now;
}

/* To be called before the level changes, since the balance grows at the rate
 * of the level. */
static void
refill(CallerShares *this, Bucket *bucket, Micros now)
{
    double balance_max =
        2 * this->mean_slot_time + this->level * (double)BURST_US;

    if (isinf(this->level)) {
        bucket->balance = 2 * this->mean_slot_time;
    }
    else {
        bucket->balance += this->level * (double)(now - bucket->balance_at);
        bucket->balance =
            fmax(fmin(bucket->balance, balance_max), -balance_max);
    }
    bucket->balance_at = now;
}

void
CallerShares_OnOffer(CallerShares *this, uint64_t caller, Micros slot_time,
                     double allowance, Micros now)
{
    Bucket *bucket = bucket_of(this, caller);

    this->mean_slot_time += (this->mean_slot_time > 0 ? 0.02 : 1.0) *
                            ((double)slot_time - this->mean_slot_time);
    if (now - this->epoch > EPOCH_AGE_MAX_US) {
        advance_epoch(this, now);
    }
    bucket->demand +=
        (double)slot_time / (double)DEMAND_WINDOW_US / decay_factor(this, now);
    refill(this, bucket, now);
    if (now - this->level_at >= LEVEL_INTERVAL_US) {
        compute_level(this, allowance, now);
    }
}

bool
CallerShares_IsWithinShare(CallerShares *this, uint64_t caller, Micros now)
{
    Bucket *bucket = bucket_of(this, caller);

    refill(this, bucket, now);
    return bucket->balance > 0;
}

void
CallerShares_Charge(CallerShares *this, uint64_t caller, Micros amount,
                    Micros now)
{
    Bucket *bucket = bucket_of(this, caller);

    refill(this, bucket, now);
    bucket->balance -= (double)amount;
}

double
CallerShares_Level(const CallerShares *this)
{
    return this->level;
}

size_t
CallerShares_Bytes(void)
{
    return sizeof(CallerShares);
}
