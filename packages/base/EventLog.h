#ifndef AGATECRANK_BASE_EVENTLOG_H
#define AGATECRANK_BASE_EVENTLOG_H

#include "Clock.h"
#include "Error.h"
#include "Str.h"

/** typedef EventLog - log with one line of key=value pairs for each event */
typedef struct EventLog_ EventLog;

/** enum LogLevel_ - severity of a line, the most severe first */
typedef enum LogLevel_ {
    LOG_LEVEL_ERROR,
    LOG_LEVEL_WARN,
    LOG_LEVEL_INFO,
    LOG_LEVEL_DEBUG,
} LogLevel;

/** typedef EventLogSink - receives a finished line, without a newline */
typedef void EventLogSink(void *user, LogLevel level, Str line);

/**
 * EventLog_Create() - log that passes its lines to @sink
 * @clock: borrowed; time source of the rate limit
 * @level: least severe level that is written
 * @lines_per_s: rate limit of INFO and DEBUG lines, 0 for no limit; the first
 *               line after dropped ones has their number in dropped=N
 * @user: argument of @sink
 *
 * The rate limit is a token bucket that holds the tokens of one second.
 */
EventLog *EventLog_Create(const Clock *clock, LogLevel level,
                          uint32_t lines_per_s, EventLogSink *sink,
                          void *user);

/** EventLog_Destroy() - release the log; NULL is allowed */
void EventLog_Destroy(EventLog *this);

/**
 * EventLog_Begin() - start a line with event=@event
 *
 * The functions below add fields; EventLog_End() writes the line. A log of
 * NULL skips every line.
 *
 * Return: false if the line is skipped by its level or dropped by the rate
 * limit; then fields are ignored and EventLog_End() writes nothing.
 */
bool EventLog_Begin(EventLog *this, LogLevel level, const char *event);

/**
 * EventLog_BeginRoutine() - as EventLog_Begin() at INFO, with lower priority
 *
 * The line is dropped if it would leave less than half of the bucket, so that
 * frequent lines cannot use up the rate limit of the others.
 */
bool EventLog_BeginRoutine(EventLog *this, const char *event);

/**
 * EventLog_Str() - add a string field
 *
 * The value is quoted, and special bytes in it are escaped, if it is empty or
 * has a blank, a quote, '=', a backslash, a control or a non-ASCII byte. A
 * value thus cannot forge another field or line.
 */
void EventLog_Str(EventLog *this, const char *key, Str value);

/** EventLog_CStr() - as EventLog_Str() for a zero-terminated string */
void EventLog_CStr(EventLog *this, const char *key, const char *value);

/** EventLog_Int() - add an integer field; the key names the unit */
void EventLog_Int(EventLog *this, const char *key, int64_t value);

/** EventLog_Real() - add a number field with three decimals */
void EventLog_Real(EventLog *this, const char *key, double value);

/** EventLog_Error() - add the fields error, step, peer and text of @error */
void EventLog_Error(EventLog *this, const Error *error);

/** EventLog_End() - write the line that EventLog_Begin() started */
void EventLog_End(EventLog *this);

/** EventLog_Dropped() - total number of lines dropped by the rate limit */
uint64_t EventLog_Dropped(const EventLog *this);

#endif
