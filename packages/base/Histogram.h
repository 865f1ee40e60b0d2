#ifndef AGATECRANK_BASE_HISTOGRAM_H
#define AGATECRANK_BASE_HISTOGRAM_H

#include <stdint.h>

#include "Clock.h"

/**
 * typedef Histogram - latency histogram with 32 buckets per power of two
 *
 * Values below 32 microseconds have a bucket each; above, a bucket spans at
 * most 1/32 of its smallest value, so that a quantile is off by at most 3.2%.
 */
typedef struct Histogram_ Histogram;

/**
 * Histogram_Create() - empty histogram for samples below 2^41 microseconds
 *
 * Samples of 2^41 microseconds and more are counted in the last bucket.
 */
Histogram *Histogram_Create(void);

/** Histogram_Destroy() - release the histogram */
void Histogram_Destroy(Histogram *this);

/** Histogram_Clear() - remove all samples */
void Histogram_Clear(Histogram *this);

/** Histogram_Add() - add a sample in microseconds; a negative one is 0 */
void Histogram_Add(Histogram *this, Micros sample);

/** Histogram_Count() - number of samples */
uint64_t Histogram_Count(const Histogram *this);

/** Histogram_Sum() - sum of all samples in microseconds */
uint64_t Histogram_Sum(const Histogram *this);

/**
 * Histogram_CountUpTo() - number of samples up to @limit microseconds
 *
 * Counts only the buckets that end at or below @limit: samples in the bucket
 * that contains it, less than 3.2% below it, may be missing.
 */
uint64_t Histogram_CountUpTo(const Histogram *this, Micros limit);

/**
 * Histogram_Quantile() - quantile @q in [0, 1] in microseconds; 0 if empty
 *
 * Returns the largest value of the bucket that contains the quantile.
 */
Micros Histogram_Quantile(const Histogram *this, double q);

#endif
