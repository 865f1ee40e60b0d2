#ifndef AGATECRANK_AGATECRANKD_LOGSINK_H
#define AGATECRANK_AGATECRANKD_LOGSINK_H

#include "EventLog.h"

/** typedef LogSink - hands event lines to log4c, one line an event */
typedef struct LogSink_ LogSink;

/** LogSink_Create() - lines begin with time, level and host and go to
 *                     standard error, unless a log4crc file says otherwise */
LogSink *LogSink_Create(const Clock *clock, Str host);

/** LogSink_Destroy() - flush and release */
void LogSink_Destroy(LogSink *this);

/** LogSink_Write() - an EventLogSink; @user is the LogSink */
void LogSink_Write(void *user, LogLevel level, Str line);

#endif
