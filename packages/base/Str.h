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

/** STR() - Str of a string literal */
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

/** Str_ToString() - copy to a new GString, which the calling function frees */
GString *Str_ToString(Str s);

/** Str_FreeString() - release a GString; a GDestroyNotify */
void Str_FreeString(void *string);

/** Str_AppendTo() - append to a GString */
void Str_AppendTo(Str s, GString *out);

/** Str_Equal() - compare bytes; not in constant time, so not for secrets */
bool Str_Equal(Str a, Str b);

/** Str_EqualIgnoreCase() - compare, ignoring the case of ASCII letters */
bool Str_EqualIgnoreCase(Str a, Str b);

/** Str_StartsWith() - true if @s begins with @prefix */
bool Str_StartsWith(Str s, Str prefix);

/** Str_Trim() - remove spaces and tabs at both ends */
Str Str_Trim(Str s);

/**
 * Str_Split() - remove the next field from the front of @rest
 * @rest: remaining text; advanced past the field and its separator
 * @separator: byte between two fields
 * @field: set to the field, without the separator
 *
 * An empty field after a final separator is not returned.
 *
 * Return: false if @rest is empty.
 */
bool Str_Split(Str *rest, char separator, Str *field);

/**
 * Str_ParseU64() - parse an unsigned decimal integer
 *
 * Return: 0, or ERR_PARSE if @s is empty, has a byte that is not a digit or
 * overflows; then @value is unchanged.
 */
int Str_ParseU64(Str s, uint64_t *value);

/**
 * Str_Hash() - 64-bit XXH3 hash of the bytes
 *
 * An attacker who chooses the input can produce collisions.
 */
uint64_t Str_Hash(Str s);

/**
 * Str_HashSeeded() - as Str_Hash(), with a seed
 * @seed: a secret, to protect against chosen collisions, or a different value
 *        for each hash function that is needed
 */
uint64_t Str_HashSeeded(Str s, uint64_t seed);

#endif
