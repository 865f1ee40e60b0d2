#include "LogLine.h"

#include <stdlib.h>

#define ESCAPE_DIGITS 2

static bool
takes(Str *rest, char byte)
{
    if (rest->length == 0 || rest->data[0] != byte) {
        return false;
    }
    rest->data++;
    rest->length--;
    return true;
}

/* Reads what follows a backslash: a quote, a backslash, or xHH. */
static void
take_escape(Str *rest, GString *out)
{
    if (takes(rest, 'x') && rest->length >= ESCAPE_DIGITS) {
        char digits[ESCAPE_DIGITS + 1] = {rest->data[0], rest->data[1], 0};

        g_string_append_c(out, (gchar)strtol(digits, NULL, 16));
        rest->data += ESCAPE_DIGITS;
        rest->length -= ESCAPE_DIGITS;
    }
    else if (rest->length > 0) {
        g_string_append_c(out, rest->data[0]);
        rest->data++;
        rest->length--;
    }
}

static void
take_value(Str *rest, GString *out)
{
    char end = takes(rest, '"') ? '"' : ' ';

    g_string_truncate(out, 0);
    while (rest->length > 0 && !takes(rest, end)) {
        if (end == '"' && takes(rest, '\\')) {
            take_escape(rest, out);
            continue;
        }
        g_string_append_c(out, rest->data[0]);
        rest->data++;
        rest->length--;
    }
}

static bool
take_key(Str *rest, Str *key)
{
    while (takes(rest, ' ')) {
    }
    return Str_Split(rest, '=', key);
}

bool
LogLine_Field(Str line, Str key, GString *out)
{
    Str found;

    while (take_key(&line, &found)) {
        take_value(&line, out);
        if (Str_Equal(found, key)) {
            return true;
        }
    }
    g_string_truncate(out, 0);
    return false;
}

bool
LogLine_FieldEquals(Str line, Str key, Str value)
{
    GString *found = g_string_new(NULL);
    bool same = LogLine_Field(line, key, found) &&
                Str_Equal(Str_FromString(found), value);

    g_string_free(found, TRUE);
    return same;
}

int64_t
LogLine_Int(Str line, Str key, int64_t otherwise)
{
    GString *text = g_string_new(NULL);
    int64_t value = otherwise;
    char *end = NULL;

    if (LogLine_Field(line, key, text) && text->len > 0) {
        value = g_ascii_strtoll(text->str, &end, 10);
        value = *end == '\0' ? value : otherwise;
    }
    g_string_free(text, TRUE);
    return value;
}

Micros
LogLine_Time(Str line)
{
    GString *text = g_string_new(NULL);
    Micros time = -1;

    if (LogLine_Field(line, STR("time"), text)) {
        g_autoptr(GDateTime) date =
            g_date_time_new_from_iso8601(text->str, NULL);

        if (date != NULL) {
            time = g_date_time_to_unix(date) * MICROS_PER_S +
                   g_date_time_get_microsecond(date);
        }
    }
    g_string_free(text, TRUE);
    return time;
}
