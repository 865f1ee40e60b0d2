#ifndef AGATECRANK_STANDINS_LOGSTREAM_H
#define AGATECRANK_STANDINS_LOGSTREAM_H

#include <glib.h>

#include "Clock.h"
#include "Str.h"

/** typedef LogStream - records of one log stream, in offset order */
typedef struct LogStream_ LogStream;

/** LogStream_Create() - new stream; its first record gets offset 0 */
LogStream *LogStream_Create(void);

/** LogStream_Destroy() - free the stream */
void LogStream_Destroy(LogStream *this);

/**
 * LogStream_Append() - store a record
 * @record: copied
 * @now: monotonic time, for expiry and the read lag
 * @wall_time: append time that reads return
 *
 * Return: the offset of the record.
 */
uint64_t LogStream_Append(LogStream *this, Str record, Micros now,
                          Micros wall_time);

/** LogStream_First() - offset of the oldest record, or of the next append */
uint64_t LogStream_First(const LogStream *this);

/** LogStream_Next() - offset of the next append */
uint64_t LogStream_Next(const LogStream *this);

/** LogStream_VisibleNext() - LogStream_Next() as of monotonic @time */
uint64_t LogStream_VisibleNext(const LogStream *this, Micros time);

/**
 * LogStream_Expire() - drop old records
 * @count: maximum number of records to keep, 0 for no limit
 * @before: records appended at or before this monotonic time are dropped
 *
 * Return: number of records dropped.
 */
uint64_t LogStream_Expire(LogStream *this, uint64_t count, Micros before);

/**
 * LogStream_Read() - append records to @out in the format of a read response
 * @from: first offset
 * @next: end of the range, exclusive
 * @max: maximum number of records
 * @max_bytes: maximum size of @out; the first record is added in any case
 */
void LogStream_Read(const LogStream *this, uint64_t from, uint64_t next,
                    uint64_t max, uint64_t max_bytes, GString *out);

#endif
