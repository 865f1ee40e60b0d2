#include "ProbeBudget.h"

#include <glib.h>

/* Token bucket for one kind of cost. */
typedef struct Bucket_ {
    double tokens;
    double rate_per_s;
    double capacity;
} Bucket;

struct ProbeBudget_ {
    const Clock *clock;
    ProbeLimits limits;
    Bucket requests;
    Bucket bytes;
    Bucket time;
    Micros refilled_at;
    ProbeUsage usage;
    bool ignore_limits;
};

ProbeBudget *
ProbeBudget_Create(const ProbeLimits *limits, const Clock *clock)
{
    ProbeBudget *this = g_new0(ProbeBudget, 1);

    this->clock = clock;
    this->limits = *limits;
    this->requests.capacity = 1.0;
    this->bytes.capacity = PROBE_BYTES_MAX;
    this->time.capacity = (double)PROBE_TIMEOUT_US;
    this->refilled_at = Clock_Now(clock);
    return this;
}

void
ProbeBudget_Destroy(ProbeBudget *this)
{
    g_free(this);
}

static void
refill_bucket(Bucket *bucket, double seconds)
{
    bucket->tokens =
        MIN(bucket->capacity, bucket->tokens + bucket->rate_per_s * seconds);
}

static void
refill(ProbeBudget *this)
{
    Micros now = Clock_Now(this->clock);
    double seconds = (double)(now - this->refilled_at) / MICROS_PER_S;

    this->refilled_at = now;
    refill_bucket(&this->requests, seconds);
    refill_bucket(&this->bytes, seconds);
    refill_bucket(&this->time, seconds);
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

    refill(this);
    this->requests.rate_per_s = this->limits.requests_per_s * share;
    this->bytes.rate_per_s = this->limits.bytes_per_s * share;
    this->time.rate_per_s =
        this->limits.time_share * slots * MICROS_PER_S * share;
}

static bool
covers_probe(const Bucket *bucket)
{
    /*
     * The capacity is the largest cost of one probe; tolerates rounding
     * errors.
     */
    return bucket->tokens >= bucket->capacity * (1 - 1e-9);
}

bool
ProbeBudget_Reserve(ProbeBudget *this)
{
    refill(this);
    if (!this->ignore_limits &&
        !(covers_probe(&this->requests) && covers_probe(&this->bytes) &&
          covers_probe(&this->time))) {
        this->usage.denied++;
        return false;
    }
    this->requests.tokens -= 1.0;
    this->bytes.tokens -= PROBE_BYTES_MAX;
    this->time.tokens -= (double)PROBE_TIMEOUT_US;
    this->usage.requests++;
    return true;
}

void
ProbeBudget_Settle(ProbeBudget *this, uint32_t bytes, Micros time)
{
    refill(this);
    this->bytes.tokens =
        MIN(this->bytes.capacity,
            this->bytes.tokens + PROBE_BYTES_MAX - (double)bytes);
    this->time.tokens =
        MIN(this->time.capacity,
            this->time.tokens + (double)(PROBE_TIMEOUT_US - time));
    this->usage.bytes += bytes;
    this->usage.time += time;
}

ProbeUsage
ProbeBudget_Usage(const ProbeBudget *this)
{
    return this->usage;
}

void
ProbeBudget_InjectOverspend(ProbeBudget *this)
{
    this->ignore_limits = true;
}
