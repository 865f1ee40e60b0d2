#include "JournalFile.h"

#include <glib.h>
#include <string.h>

#define FIELDS_MAX 32

struct JournalLine_ {
    size_t count;
    const char *keys[FIELDS_MAX];
    const char *values[FIELDS_MAX];
};

/* Decodes a value quoted by EventLog in place.
 * Return: the end of the quoted value, or NULL. */
static char *
unquote(char *text)
{
    char *out = text;
    char *in = text + 1;

    while (*in != '\0' && *in != '"') {
        if (in[0] == '\\' && in[1] == 'x' && g_ascii_isxdigit(in[2]) &&
            g_ascii_isxdigit(in[3])) {
            *out++ = (char)(g_ascii_xdigit_value(in[2]) * 16 +
                            g_ascii_xdigit_value(in[3]));
            in += 4;
            continue;
        }
        if (in[0] == '\\' && in[1] != '\0') {
            in++;
        }
        *out++ = *in++;
    }
    if (*in != '"') {
        return NULL;
    }
    *out = '\0';
    return in + 1;
}

/* Parses "key=value" at @rest and moves @rest to the next field. */
static int
parse_field(JournalLine *this, char **rest)
{
    char *equals = strchr(*rest, '=');
    char *value;
    char *end;

    if (equals == NULL || equals == *rest || this->count == FIELDS_MAX) {
        return ERR_PARSE;
    }
    *equals = '\0';
    value = equals + 1;
    end = *value == '"' ? unquote(value) : value + strcspn(value, " ");
    if (end == NULL || (*end != '\0' && *end != ' ')) {
        return ERR_PARSE;
    }
    this->keys[this->count] = *rest;
    this->values[this->count] = value;
    this->count++;
    *rest = *end == ' ' ? end + 1 : end;
    if (end > value) {
        *end = '\0';
    }
    return 0;
}

static int
parse_line(JournalLine *this, char *text)
{
    this->count = 0;
    while (*text != '\0') {
        if (parse_field(this, &text) < 0) {
            return ERR_PARSE;
        }
    }
    return this->count > 0 ? 0 : ERR_PARSE;
}

int
JournalFile_Read(const char *path, JournalLineHandler *handler, void *user,
                 Error *error)
{
    g_autofree char *text = NULL;
    JournalLine line;
    char *start;
    char *end;
    int number = 1;

    if (!g_file_get_contents(path, &text, NULL, NULL)) {
        return Error_Set(error, ERR_IO, "journal", Str_FromC(path),
                         "can not be read");
    }
    for (start = text; (end = strchr(start, '\n')) != NULL; start = end + 1) {
        *end = '\0';
        if (parse_line(&line, start) < 0) {
            return Error_Set(error, ERR_PARSE, "journal", Str_FromC(path),
                             "line %d is malformed", number);
        }
        handler(user, &line);
        number++;
    }
    return 0;
}

const char *
JournalLine_Get(const JournalLine *this, const char *key)
{
    for (size_t i = 0; i < this->count; i++) {
        if (strcmp(this->keys[i], key) == 0) {
            return this->values[i];
        }
    }
    return "";
}
