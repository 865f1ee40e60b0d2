#ifndef AGATECRANK_TESTS_CONFIGSIMULATIONLOG_H
#define AGATECRANK_TESTS_CONFIGSIMULATIONLOG_H

#include <glib.h>

#include "ConfigSync.h"

/**
 * struct SimulatedStream_ - one stream of the simulated log
 *
 * Keeps all records; reads do not return expired ones.
 */
typedef struct SimulatedStream_ {
    GPtrArray *records; /* GString */
    GArray *times;      /* Micros of each append */
    uint64_t first;     /* oldest record that a read returns */
} SimulatedStream;

/** SimulatedStream_Init() - initialize an empty stream */
void SimulatedStream_Init(SimulatedStream *this);

/** SimulatedStream_Clear() - free the records */
void SimulatedStream_Clear(SimulatedStream *this);

/** SimulatedStream_Append() - append a copy of a record; returns its offset */
uint64_t SimulatedStream_Append(SimulatedStream *this, Str record, Micros now);

/** SimulatedStream_Expire() - let records appended before @time expire */
void SimulatedStream_Expire(SimulatedStream *this, Micros time);

/** SimulatedStream_Next() - offset of the next append */
uint64_t SimulatedStream_Next(const SimulatedStream *this);

/**
 * SimulatedStream_Read() - read records from offset @from on
 * @next: end of the stream as seen by this read; a lagging read gets less
 * @records: receives the records, with borrowed data
 *
 * Return: number of records, at most @max.
 */
size_t SimulatedStream_Read(const SimulatedStream *this, uint64_t from,
                            uint64_t next, ConfigRecord *records, size_t max);

#endif
