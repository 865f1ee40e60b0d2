#ifndef AGATECRANK_BASE_STR_H
#define AGATECRANK_BASE_STR_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/**
 * struct Str_ - borrowed, length-counted string
 * @data: first byte, not terminated; NULL only if @length is 0
 * @length: number of bytes
 */
typedef struct Str_ {
    const char *data;
    size_t length;
} Str;

/** STR() - a Str for a string literal */
#define STR(literal) ((Str){(literal), sizeof(literal) - 1})

/** STR_FORMAT and STR_ARGS() - print a Str with a printf-like function */
#define STR_FORMAT "%.*s"
#define STR_ARGS(s) (int)(s).length, (s).length ? (s).data : ""

/** Str_FromC() - borrow a zero-terminated string; NULL gives an empty Str */
Str Str_FromC(const char *text);

/** Str_FromString() - borrow the bytes of a GString */
Str Str_FromString(const GString *string);

/** Str_FromBytes() - borrow the bytes of a GByteArray */
Str Str_FromBytes(const GByteArray *bytes);

/** Str_ToString() - copy the bytes to a new GString, which the caller frees */
GString *Str_ToString(Str s);

/** Str_AppendTo() - append the bytes to a GString */
void Str_AppendTo(Str s, GString *out);

/** Str_Equal() - compare byte by byte; not constant in time */
bool Str_Equal(Str a, Str b);

/** Str_EqualIgnoreCase() - compare with ASCII letters folded */
bool Str_EqualIgnoreCase(Str a, Str b);

/** Str_StartsWith() - true if @s begins with @prefix */
bool Str_StartsWith(Str s, Str prefix);

/** Str_Trim() - drop spaces and tabs at both ends */
Str Str_Trim(Str s);

/**
 * Str_Split() - cut the next field off @rest
 * @rest: text still to be read; moved past the separator
 * @separator: byte that ends a field
 * @field: the field without its separator
 *
 * Return: false when @rest is empty.
 */
bool Str_Split(Str *rest, char separator, Str *field);

/**
 * Str_ParseU64() - read a whole decimal number
 *
 * Return: 0, or ERR_PARSE if @s is empty, has other bytes or overflows.
 */
int Str_ParseU64(Str s, uint64_t *value);

/** Str_Hash() - 64-bit XXH3 of the bytes, not for hostile input */
uint64_t Str_Hash(Str s);

/** Str_HashSeeded() - as Str_Hash() with a secret or distinct @seed */
uint64_t Str_HashSeeded(Str s, uint64_t seed);

#endif
