#ifndef AGATECRANK_BASE_COUNTERS_H
#define AGATECRANK_BASE_COUNTERS_H

#include <glib.h>

#include "Histogram.h"
#include "Str.h"

/**
 * typedef Counters - registry of counters, gauges and latency histograms
 *
 * A series is identified by its metric name and its labels. The number of
 * series is bounded; a sample for a new series beyond the bound is dropped and
 * counted in agatecrank_series_dropped_total. A series keeps the kind of its
 * first sample; samples of another kind are ignored.
 */
typedef struct Counters_ Counters;

/**
 * struct CounterLabel_ - one label of a series
 * @value: escaped in the output
 */
typedef struct CounterLabel_ {
    const char *key;
    Str value;
} CounterLabel;

/** Counters_Create() - empty registry for at most @max_series series */
Counters *Counters_Create(size_t max_series);

/** Counters_Destroy() - release the registry; NULL is allowed */
void Counters_Destroy(Counters *this);

/**
 * Counters_Add() - add @amount to a counter
 * @name: metric name
 * @labels: always in the same order, as another order is another series
 * @count: number of @labels
 */
void Counters_Add(Counters *this, const char *name, const CounterLabel *labels,
                  size_t count, uint64_t amount);

/** Counters_Set() - set a gauge to @value; labels as in Counters_Add() */
void Counters_Set(Counters *this, const char *name, const CounterLabel *labels,
                  size_t count, double value);

/**
 * Counters_Observe() - add a sample to a histogram
 * @sample: duration in microseconds; written in seconds
 */
void Counters_Observe(Counters *this, const char *name,
                      const CounterLabel *labels, size_t count, Micros sample);

/**
 * Counters_Write() - append all series in the Prometheus text format 0.0.4
 *
 * Histograms are written in seconds. The count of a bucket may miss samples
 * that are less than 3.2% below its upper bound, see Histogram_CountUpTo().
 */
void Counters_Write(const Counters *this, GString *out);

#endif
