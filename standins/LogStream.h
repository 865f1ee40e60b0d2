#ifndef AGATECRANK_STANDINS_LOGSTREAM_H
#define AGATECRANK_STANDINS_LOGSTREAM_H

#include <glib.h>

#include "Clock.h"
#include "Str.h"

/** typedef LogStream - records of one stream, in offset order */
typedef struct LogStream_ LogStream;

/** LogStream_Create() - an empty stream that begins at offset 0 */
LogStream *LogStream_Create(void);

/** LogStream_Destroy() - release the stream */
void LogStream_Destroy(LogStream *this);

/**
 * LogStream_Append() - store a record
 * @now: monotonic time, for expiry and lag
 * @wall: append time to be told to readers
 *
 * Return: its offset.
 */
uint64_t LogStream_Append(LogStream *this, Str record, Micros now,
                          Micros wall);

/** LogStream_First() - oldest offset kept; the next one if there is none */
uint64_t LogStream_First(const LogStream *this);

/** LogStream_Next() - offset of the next append */
uint64_t LogStream_Next(const LogStream *this);

/** LogStream_VisibleNext() - as LogStream_Next() was at monotonic @time */
uint64_t LogStream_VisibleNext(const LogStream *this, Micros time);

/**
 * LogStream_Expire() - drop old records
 * @count: records to keep, 0 for all
 * @before: drop what was appended at or before this monotonic time
 *
 * Return: number of records dropped.
 */
uint64_t LogStream_Expire(LogStream *this, uint64_t count, Micros before);

/**
 * LogStream_Read() - append records as in the body of a read to @out
 * @from: first offset
 * @next: end of the offsets
 * @max: number of records
 * @max_bytes: bound on the bytes; the first record is given in any case
 */
void LogStream_Read(const LogStream *this, uint64_t from, uint64_t next,
                    uint64_t max, uint64_t max_bytes, GString *out);

#endif
