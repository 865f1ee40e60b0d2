#ifndef AGATECRANK_BASE_COUNTERS_H
#define AGATECRANK_BASE_COUNTERS_H

#include <glib.h>

#include "Histogram.h"
#include "Str.h"

/**
 * typedef Counters - named counters, gauges and latency histograms
 *
 * The number of series is bounded; beyond it, samples go to
 * agatecrank_series_dropped_total.
 */
typedef struct Counters_ Counters;

/** typedef CounterLabel - one label of a series */
typedef struct CounterLabel_ {
    const char *key;
    Str value;
} CounterLabel;

/** Counters_Create() - an empty registry of at most @max_series series */
Counters *Counters_Create(size_t max_series);

/** Counters_Destroy() - release the registry */
void Counters_Destroy(Counters *this);

/** Counters_Add() - add to a counter; labels in a fixed order */
void Counters_Add(Counters *this, const char *name, const CounterLabel *labels,
                  size_t count, uint64_t amount);

/** Counters_Set() - set a gauge */
void Counters_Set(Counters *this, const char *name, const CounterLabel *labels,
                  size_t count, double value);

/** Counters_Observe() - add a sample in microseconds to a histogram */
void Counters_Observe(Counters *this, const char *name,
                      const CounterLabel *labels, size_t count, Micros sample);

/**
 * Counters_Write() - append everything in the Prometheus text format 0.0.4
 *
 * Histograms are in seconds; a bucket's count is exact for its bound, a
 * quantile computed from the samples is off by at most 3.2%.
 */
void Counters_Write(const Counters *this, GString *out);

#endif
