#ifndef AGATECRANK_AGATECRANKD_LOGSINK_H
#define AGATECRANK_AGATECRANKD_LOGSINK_H

#include "EventLog.h"

/** typedef LogSink - writes event log lines through log4c */
typedef struct LogSink_ LogSink;

/**
 * LogSink_Create() - create the sink; at most one per process
 * @clock: for the time of each line; borrowed
 * @host: host name in each line, copied
 * @fd: file descriptor for the lines, unless a log4crc file names an appender;
 *      a line that cannot be written without blocking is dropped
 */
LogSink *LogSink_Create(const Clock *clock, Str host, int fd);

/** LogSink_DroppedLines() - return the number of dropped lines */
uint64_t LogSink_DroppedLines(void);

/** LogSink_Destroy() - close log4c and free the sink; NULL is allowed */
void LogSink_Destroy(LogSink *this);

/** LogSink_Write() - write a line; an EventLogSink with a LogSink as @user */
void LogSink_Write(void *user, LogLevel level, Str line);

#endif
