#include "ProbeBudget.h"

#include <glib.h>

/* One kind of cost: what is left, and what comes in each second. */
typedef struct Bucket_ {
    double left;
    double per_s;
    double cap;
} Bucket;

struct ProbeBudget_ {
    const Clock *clock;
    ProbeLimits limits;
    Bucket requests;
    Bucket bytes;
    Bucket time;
    Micros filled;
    ProbeSpent spent;
    bool overspend;
};

ProbeBudget *
ProbeBudget_Create(const ProbeLimits *limits, const Clock *clock)
{
    ProbeBudget *this = g_new0(ProbeBudget, 1);

    this->clock = clock;
    this->limits = *limits;
    this->requests.cap = 1.0;
    this->bytes.cap = PROBE_BYTES_MAX;
    this->time.cap = (double)PROBE_TIME_MAX;
    this->filled = Clock_Now(clock);
    return this;
}

void
ProbeBudget_Destroy(ProbeBudget *this)
{
    g_free(this);
}

static void
fill_bucket(Bucket *bucket, double seconds)
{
    bucket->left = MIN(bucket->cap, bucket->left + bucket->per_s * seconds);
}

static void
fill(ProbeBudget *this)
{
    Micros now = Clock_Now(this->clock);
    double seconds = (double)(now - this->filled) / MICROS_PER_S;

    this->filled = now;
    fill_bucket(&this->requests, seconds);
    fill_bucket(&this->bytes, seconds);
    fill_bucket(&this->time, seconds);
}

void
ProbeBudget_SetLimits(ProbeBudget *this, const ProbeLimits *limits)
{
    this->limits = *limits;
}

void
ProbeBudget_SetShare(ProbeBudget *this, uint32_t divisor, uint32_t slots)
{
    double share = 1.0 / MAX(divisor, 1);

    fill(this);
    this->requests.per_s = this->limits.requests_per_s * share;
    this->bytes.per_s = this->limits.bytes_per_s * share;
    this->time.per_s = this->limits.time_share * slots * MICROS_PER_S * share;
}

static bool
has_room(const Bucket *bucket)
{
    /* Tolerates rounding: full buckets are compared with their own cap. */
    return bucket->left >= bucket->cap * (1 - 1e-9);
}

bool
ProbeBudget_Take(ProbeBudget *this)
{
    fill(this);
    if (!this->overspend &&
        !(has_room(&this->requests) && has_room(&this->bytes) &&
          has_room(&this->time))) {
        this->spent.refused++;
        return false;
    }
    this->requests.left -= 1.0;
    this->bytes.left -= PROBE_BYTES_MAX;
    this->time.left -= (double)PROBE_TIME_MAX;
    this->spent.requests++;
    return true;
}

void
ProbeBudget_Settle(ProbeBudget *this, uint32_t bytes, Micros time)
{
    fill(this);
    this->bytes.left = MIN(this->bytes.cap,
                           this->bytes.left + PROBE_BYTES_MAX - (double)bytes);
    this->time.left =
        MIN(this->time.cap, this->time.left + (double)(PROBE_TIME_MAX - time));
    this->spent.bytes += bytes;
    this->spent.time += time;
}

ProbeSpent
ProbeBudget_Spent(const ProbeBudget *this)
{
    return this->spent;
}

void
ProbeBudget_PlantOverspend(ProbeBudget *this)
{
    this->overspend = true;
}
