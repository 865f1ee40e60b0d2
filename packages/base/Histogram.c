#include "Histogram.h"

#include <glib.h>
#include <math.h>

/* Each power of two is divided into 2^SUB_BUCKET_BITS buckets. */
#define SUB_BUCKET_BITS 5
#define SUB_BUCKET_COUNT (1 << SUB_BUCKET_BITS)
/* Exponent of the largest power of two with buckets of its own. */
#define EXPONENT_MAX 40
#define BUCKET_COUNT ((EXPONENT_MAX - SUB_BUCKET_BITS + 2) * SUB_BUCKET_COUNT)

struct Histogram_ {
    uint64_t count;
    uint64_t sum;
    uint64_t buckets[BUCKET_COUNT];
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

/* Each value below SUB_BUCKET_COUNT has a bucket of its own. Above, each power
 * of two has SUB_BUCKET_COUNT buckets of equal width. */
static unsigned
bucket_index(uint64_t value)
{
    unsigned exponent;

    if (value < SUB_BUCKET_COUNT) {
        return (unsigned)value;
    }
    exponent = 63u - (unsigned)__builtin_clzll(value);
    if (exponent > EXPONENT_MAX) {
        return BUCKET_COUNT - 1;
    }
    return (exponent - SUB_BUCKET_BITS + 1) * SUB_BUCKET_COUNT +
           (unsigned)((value >> (exponent - SUB_BUCKET_BITS)) -
                      SUB_BUCKET_COUNT);
}

/* Largest value that is counted in @bucket. */
static uint64_t
bucket_max_value(unsigned bucket)
{
    unsigned octave = bucket / SUB_BUCKET_COUNT;

    if (octave == 0) {
        return bucket;
    }
    return (((uint64_t)(bucket % SUB_BUCKET_COUNT) + SUB_BUCKET_COUNT + 1)
            << (octave - 1)) -
           1;
}

void
Histogram_Add(Histogram *this, Micros sample)
{
    uint64_t value = sample > 0 ? (uint64_t)sample : 0;

    this->buckets[bucket_index(value)]++;
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
    uint64_t count = 0;

    for (unsigned i = 0; i < BUCKET_COUNT; i++) {
        if (bucket_max_value(i) > (uint64_t)limit) {
            break;
        }
        count += this->buckets[i];
    }
    return count;
}

Micros
Histogram_Quantile(const Histogram *this, double q)
{
    uint64_t rank = (uint64_t)ceil(q * (double)this->count);
    uint64_t cumulative = 0;

    if (this->count == 0) {
        return 0;
    }
    if (rank == 0) {
        rank = 1;
    }
    for (unsigned i = 0; i < BUCKET_COUNT; i++) {
        cumulative += this->buckets[i];
        if (cumulative >= rank) {
            return (Micros)bucket_max_value(i);
        }
    }
    return (Micros)bucket_max_value(BUCKET_COUNT - 1);
}
