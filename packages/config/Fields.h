#ifndef AGATECRANK_CONFIG_FIELDS_H
#define AGATECRANK_CONFIG_FIELDS_H

#include "Arena.h"
#include "Diagnostics.h"
#include "Toml.h"

/** CONFIG_NAME_MAX - maximum bytes of an object name, a label key or an id */
#define CONFIG_NAME_MAX 64
/** CONFIG_TEXT_MAX - maximum bytes of a label value, a path or a URL */
#define CONFIG_TEXT_MAX 256
/** CONFIG_LIST_MAX - maximum items of a list, and labels of an object */
#define CONFIG_LIST_MAX 256

/** struct StrList_ - list of strings in document order */
typedef struct StrList_ {
    const Str *items;
    size_t count;
} StrList;

/** struct Label_ - one label of a caller or an upstream */
typedef struct Label_ {
    Str key;
    Str value;
} Label;

/** struct Labels_ - labels sorted by key, in byte order */
typedef struct Labels_ {
    const Label *items;
    size_t count;
} Labels;

/**
 * struct Key32_ - SHA-256 digest or Ed25519 public key
 * @is_set: false if the document has no value for it
 */
typedef struct Key32_ {
    uint8_t bytes[32];
    bool is_set;
} Key32;

/** struct Key32List_ - list of keys */
typedef struct Key32List_ {
    const Key32 *items;
    size_t count;
} Key32List;

typedef enum FieldType_ {
    FIELD_NAME,      /* Str: 1 to 64 of A-Z a-z 0-9 . _ - */
    FIELD_TEXT,      /* Str: 1 to CONFIG_TEXT_MAX printable bytes */
    FIELD_PATH,      /* Str: file path; PEM content is rejected */
    FIELD_URL,       /* Str: http:// or https:// with a host */
    FIELD_ADDRESS,   /* Str: IPv4 or IPv6 address, or "localhost" */
    FIELD_NAMES,     /* StrList of names, or "*" as the only item */
    FIELD_TEXTS,     /* StrList of texts */
    FIELD_ENDPOINTS, /* StrList of ADDRESS:PORT */
    FIELD_U32,       /* uint32_t in [minimum, maximum] */
    FIELD_REAL,      /* double in [minimum, maximum] */
    FIELD_BOOL,      /* bool */
    FIELD_ENUM,      /* uint32_t: index into enum_names */
    FIELD_LABELS,    /* Labels: table of strings */
    FIELD_HEX32,     /* Key32: 64 hexadecimal digits */
    FIELD_BASE64,    /* Key32: base64 of 32 bytes */
    FIELD_KEYS,      /* Key32List: list of FIELD_BASE64 */
} FieldType;

/**
 * struct Field_ - maps one key of a TOML table to a member of a structure
 * @key: key in the table
 * @type: type in the document and in the target structure
 * @offset: offset of the member in the target structure
 * @required: true if a document without the key is an error
 * @minimum: least number accepted, for FIELD_U32 and FIELD_REAL
 * @maximum: greatest number accepted, for FIELD_U32 and FIELD_REAL
 * @enum_names: NULL-terminated values of FIELD_ENUM
 */
typedef struct Field_ {
    const char *key;
    FieldType type;
    size_t offset;
    bool required;
    double minimum;
    double maximum;
    const char *const *enum_names;
} Field;

/**
 * Fields_Read() - read a TOML table into a structure
 * @fields: field descriptions, terminated by an entry whose key is NULL
 * @node: the table, or NULL if the document has none
 * @prefix: full key of the table, for error messages
 * @target: structure, already filled with the defaults
 * @arena: allocates strings and lists
 * @diagnostics: receives unknown and missing keys, wrong types and values out
 *               of range
 */
void Fields_Read(const Field *fields, const TomlNode *node, Str prefix,
                 void *target, Arena *arena, Diagnostics *diagnostics);

/**
 * Fields_Write() - append "KEY = VALUE\n" for one field as TOML
 *
 * Return: false if the field has no value; nothing is appended then.
 */
bool Fields_Write(const Field *field, const void *source, GString *out);

/** Fields_IsName() - true if @text is 1 to 64 of A-Z a-z 0-9 . _ - */
bool Fields_IsName(Str text);

/** Key32_ParseBase64() - parse canonical base64 of exactly 32 bytes */
bool Key32_ParseBase64(Str text, Key32 *key);

/** Labels_Match() - true if @labels contains every label of @wanted */
bool Labels_Match(const Labels *wanted, const Labels *labels);

/** Labels_Equal() - true if both have the same keys and values */
bool Labels_Equal(const Labels *a, const Labels *b);

/** StrList_Contains() - true if @text is an item of @list */
bool StrList_Contains(const StrList *list, Str text);

#endif
