#include "Str.h"

#include <string.h>
#include <xxhash.h>

#include "Error.h"

Str
Str_FromC(const char *text)
{
    return (Str){text, text != NULL ? strlen(text) : 0};
}

Str
Str_FromString(const GString *string)
{
    return (Str){string->str, string->len};
}

Str
Str_FromBytes(const GByteArray *bytes)
{
    return (Str){(const char *)bytes->data, bytes->len};
}

GString *
Str_ToString(Str s)
{
    GString *string = g_string_sized_new(s.length);

    Str_AppendTo(s, string);
    return string;
}

void
Str_FreeString(void *string)
{
    g_string_free(string, TRUE);
}

void
Str_AppendTo(Str s, GString *out)
{
    if (s.length > 0) {
        g_string_append_len(out, s.data, (gssize)s.length);
    }
}

bool
Str_Equal(Str a, Str b)
{
    if (a.length != b.length) {
        return false;
    }
    return a.length == 0 || memcmp(a.data, b.data, a.length) == 0;
}

static char
fold_case(char c)
{
    return c >= 'A' && c <= 'Z' ? (char)(c - 'A' + 'a') : c;
}

bool
Str_EqualIgnoreCase(Str a, Str b)
{
    if (a.length != b.length) {
        return false;
    }
    for (size_t i = 0; i < a.length; i++) {
        if (fold_case(a.data[i]) != fold_case(b.data[i])) {
            return false;
        }
    }
    return true;
}

bool
Str_StartsWith(Str s, Str prefix)
{
    if (s.length < prefix.length) {
        return false;
    }
    return Str_Equal((Str){s.data, prefix.length}, prefix);
}

static bool
is_blank(char c)
{
    return c == ' ' || c == '\t';
}

Str
Str_Trim(Str s)
{
    while (s.length > 0 && is_blank(s.data[0])) {
        s.data++;
        s.length--;
    }
    while (s.length > 0 && is_blank(s.data[s.length - 1])) {
        s.length--;
    }
    return s;
}

bool
Str_Split(Str *rest, char separator, Str *field)
{
    const char *end;

    if (rest->length == 0) {
        return false;
    }
    end = memchr(rest->data, separator, rest->length);
    if (end == NULL) {
        *field = *rest;
        *rest = (Str){NULL, 0};
        return true;
    }
    *field = (Str){rest->data, (size_t)(end - rest->data)};
    rest->length -= field->length + 1;
    rest->data = end + 1;
    return true;
}

int
Str_ParseU64(Str s, uint64_t *value)
{
    uint64_t n = 0;

    if (s.length == 0) {
        return ERR_PARSE;
    }
    for (size_t i = 0; i < s.length; i++) {
        unsigned digit = (unsigned)(s.data[i] - '0');

        if (digit > 9 || n > (UINT64_MAX - digit) / 10) {
            return ERR_PARSE;
        }
        n = n * 10 + digit;
    }
    *value = n;
    return 0;
}

uint64_t
Str_Hash(Str s)
{
    return XXH3_64bits(s.data, s.length);
}

uint64_t
Str_HashSeeded(Str s, uint64_t seed)
{
    return XXH3_64bits_withSeed(s.data, s.length, seed);
}
