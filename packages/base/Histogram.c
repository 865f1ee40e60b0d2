#include "Histogram.h"

#include <glib.h>
#include <math.h>

#define SUB_BUCKET_BITS 5
#define SUB_BUCKETS (1 << SUB_BUCKET_BITS)
#define MAX_EXPONENT 40
#define BUCKETS ((MAX_EXPONENT - SUB_BUCKET_BITS + 2) * SUB_BUCKETS)

struct Histogram_ {
    uint64_t count;
    uint64_t sum;
    uint64_t buckets[BUCKETS];
};

Histogram *
Histogram_Create(void)
{
    return g_new0(Histogram, 1);
}

void
Histogram_Destroy(Histogram *this)
{
    g_free(this);
}

void
Histogram_Clear(Histogram *this)
{
    *this = (Histogram){0};
}

/* Values below SUB_BUCKETS have a bucket each; above, an octave has
 * SUB_BUCKETS buckets. */
static unsigned
bucket_of(uint64_t value)
{
    unsigned exponent;

    if (value < SUB_BUCKETS) {
        return (unsigned)value;
    }
    exponent = 63u - (unsigned)__builtin_clzll(value);
    if (exponent > MAX_EXPONENT) {
        return BUCKETS - 1;
    }
    return (exponent - SUB_BUCKET_BITS + 1) * SUB_BUCKETS +
           (unsigned)((value >> (exponent - SUB_BUCKET_BITS)) - SUB_BUCKETS);
}

static uint64_t
bucket_end(unsigned bucket)
{
    unsigned octave = bucket / SUB_BUCKETS;

    if (octave == 0) {
        return bucket;
    }
    return (((uint64_t)(bucket % SUB_BUCKETS) + SUB_BUCKETS + 1)
            << (octave - 1)) -
           1;
}

void
Histogram_Add(Histogram *this, Micros sample)
{
    uint64_t value = sample > 0 ? (uint64_t)sample : 0;

    this->buckets[bucket_of(value)]++;
    this->count++;
    this->sum += value;
}

uint64_t
Histogram_Count(const Histogram *this)
{
    return this->count;
}

uint64_t
Histogram_Sum(const Histogram *this)
{
    return this->sum;
}

uint64_t
Histogram_CountUpTo(const Histogram *this, Micros limit)
{
    uint64_t n = 0;

    for (unsigned i = 0; i < BUCKETS; i++) {
        if (bucket_end(i) > (uint64_t)limit) {
            break;
        }
        n += this->buckets[i];
    }
    return n;
}

Micros
Histogram_Quantile(const Histogram *this, double q)
{
    uint64_t rank = (uint64_t)ceil(q * (double)this->count);
    uint64_t seen = 0;

    if (this->count == 0) {
        return 0;
    }
    if (rank == 0) {
        rank = 1;
    }
    for (unsigned i = 0; i < BUCKETS; i++) {
        seen += this->buckets[i];
        if (seen >= rank) {
            return (Micros)bucket_end(i);
        }
    }
    return (Micros)bucket_end(BUCKETS - 1);
}
