#include "Output.h"

#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define COLUMN_COUNT_MAX 16

static void
append_labels(const json_t *object, GString *out)
{
    const char *key;
    json_t *value;
    const char *separator = "";

    json_object_foreach((json_t *)object, key, value)
    {
        g_string_append_printf(out, "%s%s=%s", separator, key,
                               json_is_string(value) ? json_string_value(value)
                                                     : "...");
        separator = ",";
    }
}

/* Prints only the first line of a string: each item has one row. */
static void
append_value(const json_t *value, GString *out)
{
    const char *text;

    switch (value != NULL ? json_typeof(value) : JSON_NULL) {
    case JSON_STRING:
        text = json_string_value(value);
        g_string_append_len(out, text, (gssize)strcspn(text, "\n"));
        break;
    case JSON_INTEGER:
        g_string_append_printf(out, "%" JSON_INTEGER_FORMAT,
                               json_integer_value(value));
        break;
    case JSON_REAL:
        g_string_append_printf(out, "%.2f", json_real_value(value));
        break;
    case JSON_TRUE:
        g_string_append(out, "yes");
        break;
    case JSON_FALSE:
        g_string_append(out, "no");
        break;
    case JSON_OBJECT:
        append_labels(value, out);
        break;
    default:
        break;
    }
}

static char *
format_cell(const json_t *item, const char *key)
{
    GString *text = g_string_new(NULL);

    append_value(json_object_get(item, key), text);
    if (text->len == 0) {
        g_string_append_c(text, '-');
    }
    return g_string_free(text, FALSE);
}

static void
append_cell(const char *text, size_t width, bool last, GString *out)
{
    g_string_append(out, text);
    if (last) {
        g_string_append_c(out, '\n');
        return;
    }
    g_string_append_printf(out, "%*s", (int)(width - strlen(text) + 2), "");
}

void
Output_Table(const json_t *items, const Column *columns, GString *out)
{
    size_t widths[COLUMN_COUNT_MAX] = {0};
    size_t index;
    const json_t *item;

    for (size_t c = 0; columns[c].title != NULL; c++) {
        widths[c] = strlen(columns[c].title);
        json_array_foreach(items, index, item)
        {
            char *text = format_cell(item, columns[c].key);

            widths[c] = MAX(widths[c], strlen(text));
            g_free(text);
        }
    }
    for (size_t c = 0; columns[c].title != NULL; c++) {
        append_cell(columns[c].title, widths[c], columns[c + 1].title == NULL,
                    out);
    }
    json_array_foreach(items, index, item)
    {
        for (size_t c = 0; columns[c].title != NULL; c++) {
            char *text = format_cell(item, columns[c].key);

            append_cell(text, widths[c], columns[c + 1].title == NULL, out);
            g_free(text);
        }
    }
}

void
Output_Fields(const json_t *object, GString *out)
{
    const char *key;
    json_t *value;

    json_object_foreach((json_t *)object, key, value)
    {
        if (!json_is_array(value)) {
            g_string_append_printf(out, "%s: ", key);
            append_value(value, out);
            g_string_append_c(out, '\n');
        }
    }
}

void
Output_Json(const json_t *root)
{
    char *text = json_dumps(root, JSON_INDENT(2) | JSON_PRESERVE_ORDER);

    puts(text);
    free(text);
}
