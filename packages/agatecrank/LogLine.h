#ifndef AGATECRANK_AGATECRANK_LOGLINE_H
#define AGATECRANK_AGATECRANK_LOGLINE_H

#include <glib.h>

#include "Clock.h"
#include "Str.h"

/**
 * LogLine_Field() - read a field of a log line of key=value pairs
 * @out: receives the value, unquoted and unescaped; empty if there is none
 *
 * Return: false if the line has no such field.
 */
bool LogLine_Field(Str line, Str key, GString *out);

/** LogLine_FieldEquals() - whether the line has the field with this value */
bool LogLine_FieldEquals(Str line, Str key, Str value);

/** LogLine_Int() - a field as an integer; @fallback if it is not one */
int64_t LogLine_Int(Str line, Str key, int64_t fallback);

/** LogLine_Time() - time field since the Unix epoch; -1 if it is not valid */
Micros LogLine_Time(Str line);

#endif
