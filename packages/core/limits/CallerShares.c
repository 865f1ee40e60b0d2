#include "CallerShares.h"

#include <glib.h>
#include <math.h>

/* 64 buckets keep two of 8 busy callers apart with a chance of 64%, and cost
 * 2 KB per line that is over its share. */
#define BUCKETS 64

/* Time over which the demand of a caller is averaged. */
#define DEMAND_TIME (500 * MICROS_PER_MS)

/* The level is computed anew after this time. */
#define LEVEL_TIME (10 * MICROS_PER_MS)

/* The levels leave this part of the allowance to callers above theirs;
 * callers below it would otherwise wait as in a queue at full load. */
#define REGULATED 0.95

/* A caller below its level may use this much time of it at once. */
#define BURST_TIME (200 * MICROS_PER_MS)

/* All demands decay alike, so they are kept as of @epoch and scaled by one
 * common factor; the epoch moves on before the numbers grow too large. */
#define MAX_EPOCH (20 * DEMAND_TIME)

typedef struct Bucket_ {
    double demand;  /* slots, as of the epoch */
    double balance; /* slot time in microseconds */
    Micros balance_at;
} Bucket;

struct CallerShares_ {
    uint64_t seed;
    double level;
    double cost; /* average of one request, in microseconds */
    Micros level_at;
    Micros epoch;
    Bucket buckets[BUCKETS];
};

CallerShares *
CallerShares_Create(uint64_t seed, Micros now)
{
    CallerShares *this = g_new0(CallerShares, 1);

    this->seed = seed;
    this->level = INFINITY;
    this->level_at = now - LEVEL_TIME;
    this->epoch = now;
    for (int i = 0; i < BUCKETS; i++) {
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
    uint64_t mixed = (caller ^ this->seed) * 0x9e3779b97f4a7c15ULL;

    return &this->buckets[(mixed >> 32) % BUCKETS];
}

/* Part of a demand as of the epoch that is left now. */
static double
decay(const CallerShares *this, Micros now)
{
    return exp(-(double)(now - this->epoch) / (double)DEMAND_TIME);
}

static void
move_epoch(CallerShares *this, Micros now)
{
    double factor = decay(this, now);

    for (int i = 0; i < BUCKETS; i++) {
        this->buckets[i].demand *= factor;
    }
    this->epoch = now;
}

double
CallerShares_Capped(const CallerShares *this, double level, Micros now)
{
    double factor = decay(this, now);
    double cap = level / factor;
    double sum = 0;

    for (int i = 0; i < BUCKETS; i++) {
        double demand = this->buckets[i].demand;

        sum += demand < cap ? demand : cap;
    }
    return sum * factor;
}

/* Water-filling: the level at which the capped demands sum up to @amount.
 * Each round fixes the buckets that lie below the level of the round before;
 * a few rounds come within a percent. */
static double
fill(const double *demands, int n, double amount)
{
    double level = n > 0 ? amount / n : INFINITY;

    for (int round = 0; round < 8; round++) {
        double rest = amount;
        int above = 0;

        for (int i = 0; i < n; i++) {
            if (demands[i] > level) {
                above++;
            }
            else {
                rest -= demands[i];
            }
        }
        if (above == 0) {
            return INFINITY;
        }
        if (rest / above <= level * 1.001) {
            break;
        }
        level = rest / above;
    }
    return level;
}

static void
compute_level(CallerShares *this, double allowance, Micros now)
{
    double demands[BUCKETS];
    double factor = decay(this, now);
    int n = 0;

    for (int i = 0; i < BUCKETS; i++) {
        if (this->buckets[i].demand > 0) {
            demands[n++] = this->buckets[i].demand * factor;
        }
    }
    this->level = fill(demands, n, REGULATED * allowance);
    this->level_at = now;
}

/* The balance is brought up to date before the level changes its rate. */
static void
refill(CallerShares *this, Bucket *bucket, Micros now)
{
    double depth = 2 * this->cost + this->level * (double)BURST_TIME;

    if (isinf(this->level)) {
        bucket->balance = 2 * this->cost;
    }
    else {
        bucket->balance += this->level * (double)(now - bucket->balance_at);
        bucket->balance = fmax(fmin(bucket->balance, depth), -depth);
    }
    bucket->balance_at = now;
}

void
CallerShares_OnOffer(CallerShares *this, uint64_t caller, Micros cost,
                     double allowance, Micros now)
{
    Bucket *bucket = bucket_of(this, caller);

    this->cost += (this->cost > 0 ? 0.02 : 1.0) * ((double)cost - this->cost);
    if (now - this->epoch > MAX_EPOCH) {
        move_epoch(this, now);
    }
    bucket->demand += (double)cost / (double)DEMAND_TIME / decay(this, now);
    refill(this, bucket, now);
    if (now - this->level_at >= LEVEL_TIME) {
        compute_level(this, allowance, now);
    }
}

bool
CallerShares_MayRun(CallerShares *this, uint64_t caller, Micros now)
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
