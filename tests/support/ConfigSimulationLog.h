#ifndef AGATECRANK_TESTS_CONFIGSIMULATIONLOG_H
#define AGATECRANK_TESTS_CONFIGSIMULATIONLOG_H

#include <glib.h>

#include "ConfigSync.h"

/** struct LabStream_ - one stream of the fake log, with every record */
typedef struct LabStream_ {
    GPtrArray *records; /* GString */
    GArray *times;      /* Micros of each append */
    uint64_t first;     /* oldest record that a read returns */
} LabStream;

/** LabStream_Init() - empty */
void LabStream_Init(LabStream *this);

/** LabStream_Clear() - release the records */
void LabStream_Clear(LabStream *this);

/** LabStream_Append() - add a record; returns its offset */
uint64_t LabStream_Append(LabStream *this, Str record, Micros now);

/** LabStream_Expire() - drop what was appended before @time from reads */
void LabStream_Expire(LabStream *this, Micros time);

/** LabStream_Next() - offset of the next append */
uint64_t LabStream_Next(const LabStream *this);

/**
 * LabStream_Read() - records from @from on
 * @next: end of the stream as this read sees it
 *
 * Return: number of records stored, at most @max; data is borrowed.
 */
size_t LabStream_Read(const LabStream *this, uint64_t from, uint64_t next,
                      ConfigRecord *records, size_t max);

#endif
