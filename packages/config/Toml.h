#ifndef AGATECRANK_CONFIG_TOML_H
#define AGATECRANK_CONFIG_TOML_H

#include "Str.h"

/* Included by C++ as well, so no parameter is named "this" here. */
#ifdef __cplusplus
extern "C" {
#endif

/** TOML_DEPTH_MAX - deepest nesting of values that is accepted */
#define TOML_DEPTH_MAX 16

/**
 * TOML_LINE_DOTS_MAX - dots accepted in one line of text
 *
 * Each dot of a dotted key is one level of nesting, and both the parser
 * and its destructors recurse: without a bound a 64 KiB document could
 * exhaust the stack.
 */
#define TOML_LINE_DOTS_MAX 256

typedef enum TomlType_ {
    TOML_TABLE,
    TOML_ARRAY,
    TOML_STRING,
    TOML_INTEGER,
    TOML_REAL,
    TOML_BOOLEAN,
    TOML_OTHER, /* dates and times */
} TomlType;

/**
 * struct TomlNode_ - one value of a parsed document
 * @type: selects which of the other fields count
 * @key: key in the enclosing table; empty in arrays and for the root
 * @text: TOML_STRING: decoded bytes, may hold zero bytes
 * @integer: TOML_INTEGER, and TOML_BOOLEAN as 0 or 1
 * @real: TOML_REAL, and TOML_INTEGER as a real number
 * @line: line of the key, or of the value in an array, from 1
 * @column: column of the same, from 1
 * @children: TOML_TABLE (in byte order of keys) and TOML_ARRAY
 * @count: number of children
 */
typedef struct TomlNode_ {
    TomlType type;
    Str key;
    Str text;
    int64_t integer;
    double real;
    uint32_t line;
    uint32_t column;
    const struct TomlNode_ *children;
    size_t count;
} TomlNode;

/**
 * struct TomlError_ - why a document could not be parsed
 */
typedef struct TomlError_ {
    uint32_t line;
    uint32_t column;
    char text[160];
} TomlError;

/** typedef Toml - a parsed document */
typedef struct Toml_ Toml;

/**
 * Toml_Parse() - parse UTF-8 @text
 * @fault: filled on failure, may be NULL
 *
 * Return: NULL if the text is not well formed or nested too deeply.
 */
Toml *Toml_Parse(Str text, TomlError *fault);

/** Toml_Destroy() - release the document and all its nodes */
void Toml_Destroy(Toml *document);

/** Toml_Root() - the table of top-level keys */
const TomlNode *Toml_Root(const Toml *document);

/** Toml_Find() - child of table @node with @key, or NULL */
const TomlNode *Toml_Find(const TomlNode *node, Str key);

/** Toml_TypeName() - word for a type, for messages */
const char *Toml_TypeName(TomlType type);

#ifdef __cplusplus
}
#endif

#endif
