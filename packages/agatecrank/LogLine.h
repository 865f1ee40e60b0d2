#ifndef AGATECRANK_AGATECRANK_LOGLINE_H
#define AGATECRANK_AGATECRANK_LOGLINE_H

#include <glib.h>

#include "Clock.h"
#include "Str.h"

/**
 * LogLine_Field() - value of a field of a line of key=value pairs
 * @out: the value without quotes and escapes; empty if there is none
 *
 * Return: false if the line has no such field.
 */
bool LogLine_Field(Str line, Str key, GString *out);

/** LogLine_FieldEquals() - the field has exactly this value */
bool LogLine_FieldEquals(Str line, Str key, Str value);

/** LogLine_Int() - a whole number, or @otherwise */
int64_t LogLine_Int(Str line, Str key, int64_t otherwise);

/** LogLine_Time() - its time field since 1970, or -1 without a valid one */
Micros LogLine_Time(Str line);

#endif
