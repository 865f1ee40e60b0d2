#ifndef AGATECRANK_AGATECRANKD_LOGSINK_H
#define AGATECRANK_AGATECRANKD_LOGSINK_H

#include "EventLog.h"

/** typedef LogSink - hands event lines to log4c, one line an event */
typedef struct LogSink_ LogSink;

/**
 * LogSink_Create() - lines begin with time, level and host
 * @fd: where they go, unless a log4crc file says otherwise; a line for which
 *      it has no room now is lost
 */
LogSink *LogSink_Create(const Clock *clock, Str host, int fd);

/** LogSink_Lost() - lines lost so far */
uint64_t LogSink_Lost(void);

/** LogSink_Destroy() - flush and release */
void LogSink_Destroy(LogSink *this);

/** LogSink_Write() - an EventLogSink; @user is the LogSink */
void LogSink_Write(void *user, LogLevel level, Str line);

#endif
