#include "Random.h"

#include <glib.h>
#include <math.h>

struct Random_ {
    uint64_t state[4];
};

/* Generator that expands a 64-bit seed to the state of xoshiro256**. */
static uint64_t
splitmix64(uint64_t *seed)
{
    uint64_t z = (*seed += 0x9e3779b97f4a7c15ULL);

    z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
    z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
    return z ^ (z >> 31);
}

Random *
Random_Create(uint64_t seed)
{
    Random *this = g_new0(Random, 1);

    for (int i = 0; i < 4; i++) {
        this->state[i] = splitmix64(&seed);
    }
    return this;
}

void
Random_Destroy(Random *this)
{
    g_free(this);
}

static uint64_t
rotate_left(uint64_t x, int k)
{
    return (x << k) | (x >> (64 - k));
}

uint64_t
Random_Next(Random *this)
{
    uint64_t *s = this->state;
    uint64_t result = rotate_left(s[1] * 5, 7) * 9;
    uint64_t t = s[1] << 17;

    s[2] ^= s[0];
    s[3] ^= s[1];
    s[1] ^= s[2];
    s[0] ^= s[3];
    s[2] ^= t;
    s[3] = rotate_left(s[3], 45);
    return result;
}

uint64_t
Random_Below(Random *this, uint64_t n)
{
    /* The high word of the 128-bit product has a bias of at most n/2^64. */
    return (uint64_t)(((unsigned __int128)Random_Next(this) * n) >> 64);
}

double
Random_Unit(Random *this)
{
    return (double)(Random_Next(this) >> 11) * 0x1.0p-53;
}

Micros
Random_Jitter(Random *this, Micros mean)
{
    return (Micros)((0.5 + Random_Unit(this)) * (double)mean);
}

double
Random_Exponential(Random *this, double mean)
{
    return -mean * log1p(-Random_Unit(this));
}
