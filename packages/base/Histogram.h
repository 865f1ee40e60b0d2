#ifndef AGATECRANK_BASE_HISTOGRAM_H
#define AGATECRANK_BASE_HISTOGRAM_H

#include <stdint.h>

#include "Clock.h"

/**
 * typedef Histogram - latency histogram with 32 buckets an octave
 *
 * A quantile is off by at most 3.2% of its value.
 */
typedef struct Histogram_ Histogram;

/** Histogram_Create() - an empty histogram of 0 to 2^40 microseconds */
Histogram *Histogram_Create(void);

/** Histogram_Destroy() - release the histogram */
void Histogram_Destroy(Histogram *this);

/** Histogram_Clear() - drop all samples */
void Histogram_Clear(Histogram *this);

/** Histogram_Add() - count one sample; negative ones count as 0 */
void Histogram_Add(Histogram *this, Micros sample);

/** Histogram_Count() - number of samples */
uint64_t Histogram_Count(const Histogram *this);

/** Histogram_Sum() - sum of all samples in microseconds */
uint64_t Histogram_Sum(const Histogram *this);

/** Histogram_CountUpTo() - samples in buckets that end at or below @limit */
uint64_t Histogram_CountUpTo(const Histogram *this, Micros limit);

/** Histogram_Quantile() - value at quantile @q in [0, 1]; 0 if empty */
Micros Histogram_Quantile(const Histogram *this, double q);

#endif
