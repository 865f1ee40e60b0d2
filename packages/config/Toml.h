#ifndef AGATECRANK_CONFIG_TOML_H
#define AGATECRANK_CONFIG_TOML_H

#include "Str.h"

/* C++ includes this header too, so no parameter can be named "this". */
#ifdef __cplusplus
extern "C" {
#endif

/** TOML_DEPTH_MAX - maximum nesting depth of values */
#define TOML_DEPTH_MAX 16

/**
 * TOML_LINE_DOTS_MAX - maximum number of dots in one line of text
 *
 * Each dot of a dotted key adds one level of nesting, and the parser and its
 * destructors are recursive: without this limit a 64 KiB document could
 * overflow the stack.
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
 * @type: determines which of the other fields are valid
 * @key: key in the enclosing table; empty in arrays and for the root
 * @text: TOML_STRING: decoded bytes, may contain null bytes
 * @integer: TOML_INTEGER, and TOML_BOOLEAN as 0 or 1
 * @real: TOML_REAL, and TOML_INTEGER converted
 * @line: line of the key, or of the value for array items, from 1
 * @column: column of the key or value, from 1
 * @children: members of a TOML_TABLE, sorted by key in byte order, or items of
 *            a TOML_ARRAY
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
 * struct TomlError_ - position and text of a parse error
 * @line: line from 1, 0 if unknown
 * @column: column from 1, 0 if unknown
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
 * @error: filled on failure, may be NULL
 *
 * Return: NULL if the text is not valid TOML or is nested too deeply.
 */
Toml *Toml_Parse(Str text, TomlError *error);

/** Toml_Destroy() - release the document and all its nodes */
void Toml_Destroy(Toml *document);

/** Toml_Root() - the root table */
const TomlNode *Toml_Root(const Toml *document);

/** Toml_Find() - member @key of the table @node, or NULL */
const TomlNode *Toml_Find(const TomlNode *node, Str key);

/** Toml_TypeName() - name of a type, for error messages */
const char *Toml_TypeName(TomlType type);

#ifdef __cplusplus
}
#endif

#endif
