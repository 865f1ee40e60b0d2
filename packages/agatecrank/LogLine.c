#include "LogLine.h"

#include <stdlib.h>

#define HEX_ESCAPE_DIGITS 2

static bool
skip_char(Str *rest, char byte)
{
    if (rest->length == 0 || rest->data[0] != byte) {
        return false;
    }
    rest->data++;
    rest->length--;
    return true;
}

/* Decodes the escape sequence after a backslash: a quote, a backslash, or
 * xHH. */
static void
read_escape(Str *rest, GString *out)
{
    if (skip_char(rest, 'x') && rest->length >= HEX_ESCAPE_DIGITS) {
        char digits[HEX_ESCAPE_DIGITS + 1] = {rest->data[0], rest->data[1], 0};

        g_string_append_c(out, (gchar)strtol(digits, NULL, 16));
        rest->data += HEX_ESCAPE_DIGITS;
        rest->length -= HEX_ESCAPE_DIGITS;
    }
    else if (rest->length > 0) {
        g_string_append_c(out, rest->data[0]);
        rest->data++;
        rest->length--;
    }
}

static void
read_value(Str *rest, GString *out)
{
    char end = skip_char(rest, '"') ? '"' : ' ';

    g_string_truncate(out, 0);
    while (rest->length > 0 && !skip_char(rest, end)) {
        if (end == '"' && skip_char(rest, '\\')) {
            read_escape(rest, out);
            continue;
        }
        g_string_append_c(out, rest->data[0]);
        rest->data++;
        rest->length--;
    }
}

static bool
read_key(Str *rest, Str *key)
{
    while (skip_char(rest, ' ')) {
    }
    return Str_Split(rest, '=', key);
}

bool
LogLine_Field(Str line, Str key, GString *out)
{
    Str found;

    while (read_key(&line, &found)) {
        read_value(&line, out);
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
LogLine_Int(Str line, Str key, int64_t fallback)
{
    GString *text = g_string_new(NULL);
    int64_t value = fallback;
    char *end = NULL;

    if (LogLine_Field(line, key, text) && text->len > 0) {
        value = g_ascii_strtoll(text->str, &end, 10);
        value = *end == '\0' ? value : fallback;
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
