#ifndef AGATECRANK_BASE_EVENTLOG_H
#define AGATECRANK_BASE_EVENTLOG_H

#include "Clock.h"
#include "Error.h"
#include "Str.h"

/** typedef EventLog - writes one line of key=value pairs for each event */
typedef struct EventLog_ EventLog;

typedef enum LogLevel_ {
    LOG_LEVEL_ERROR,
    LOG_LEVEL_WARN,
    LOG_LEVEL_INFO,
    LOG_LEVEL_DEBUG,
} LogLevel;

/** typedef EventLogSink - receives a finished line without a newline */
typedef void EventLogSink(void *user, LogLevel level, Str line);

/**
 * EventLog_Create() - a log that hands its lines to @sink
 * @clock: borrowed; times the rate limit
 * @level: lines above this level are skipped
 * @lines_per_s: bound on INFO and DEBUG lines a second, 0 for no bound;
 *               the next line that passes carries dropped=N
 */
EventLog *EventLog_Create(const Clock *clock, LogLevel level,
                          uint32_t lines_per_s, EventLogSink *sink,
                          void *user);

/** EventLog_Destroy() - release the log */
void EventLog_Destroy(EventLog *this);

/**
 * EventLog_Begin() - start a line "event=NAME"; ended by EventLog_End()
 *
 * Return: false if the line is skipped or dropped; then no field is kept
 * and EventLog_End() writes nothing. A NULL log skips every line.
 */
bool EventLog_Begin(EventLog *this, LogLevel level, const char *event);

/**
 * EventLog_BeginRoutine() - as EventLog_Begin() at INFO, for a line that gives
 *                           way: it passes only while half of the bound is
 *                           left, so that other lines find room
 */
bool EventLog_BeginRoutine(EventLog *this, const char *event);

/** EventLog_Str() - add key=value; quoted if it has blanks or quotes */
void EventLog_Str(EventLog *this, const char *key, Str value);

/** EventLog_CStr() - as EventLog_Str() for a zero-terminated string */
void EventLog_CStr(EventLog *this, const char *key, const char *value);

/** EventLog_Int() - add a whole number; units belong in the key */
void EventLog_Int(EventLog *this, const char *key, int64_t value);

/** EventLog_Real() - add a number with three decimals */
void EventLog_Real(EventLog *this, const char *key, double value);

/** EventLog_Error() - add error, step, peer and text of @error */
void EventLog_Error(EventLog *this, const Error *error);

/** EventLog_End() - write the line that EventLog_Begin() started */
void EventLog_End(EventLog *this);

/** EventLog_Dropped() - lines dropped by the rate limit so far */
uint64_t EventLog_Dropped(const EventLog *this);

#endif
