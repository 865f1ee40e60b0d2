#ifndef AGATECRANK_CONFIG_FIELDS_H
#define AGATECRANK_CONFIG_FIELDS_H

#include "Arena.h"
#include "Diagnostics.h"
#include "Toml.h"

/** CONFIG_NAME_MAX - longest name of an object, label key or id, in bytes */
#define CONFIG_NAME_MAX 64
/** CONFIG_TEXT_MAX - longest label value, path or URL, in bytes */
#define CONFIG_TEXT_MAX 256
/** CONFIG_LIST_MAX - most items of one list or labels of one object */
#define CONFIG_LIST_MAX 256

/** struct StrList_ - list of strings in the order of the document */
typedef struct StrList_ {
    const Str *items;
    size_t count;
} StrList;

/** struct Label_ - one label of a caller or an upstream */
typedef struct Label_ {
    Str key;
    Str value;
} Label;

/** struct Labels_ - labels in byte order of their keys */
typedef struct Labels_ {
    const Label *items;
    size_t count;
} Labels;

/** struct Key32_ - 32 bytes of a digest or an Ed25519 public key */
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
    FIELD_TEXT,      /* Str: printable, at most CONFIG_TEXT_MAX bytes */
    FIELD_PATH,      /* Str: file path, never file contents */
    FIELD_URL,       /* Str: http:// or https:// with a host */
    FIELD_ADDRESS,   /* Str: IPv4 or IPv6 address, or "localhost" */
    FIELD_NAMES,     /* StrList of names; "*" alone is accepted too */
    FIELD_TEXTS,     /* StrList of texts */
    FIELD_ENDPOINTS, /* StrList of ADDRESS:PORT */
    FIELD_U32,       /* uint32_t in [minimum, maximum] */
    FIELD_REAL,      /* double in [minimum, maximum] */
    FIELD_BOOL,      /* bool */
    FIELD_ENUM,      /* uint32_t: index of the word in words */
    FIELD_LABELS,    /* Labels */
    FIELD_HEX32,     /* Key32: 64 hexadecimal digits */
    FIELD_BASE64,    /* Key32: base64 of 32 bytes */
    FIELD_KEYS,      /* Key32List: list of base64 keys */
} FieldType;

/**
 * struct Field_ - one key of a table and where its value is stored
 * @key: key in the table
 * @type: type in the document and in the target structure
 * @offset: offset of the value in the target structure
 * @required: the key must be given
 * @minimum: least number accepted
 * @maximum: greatest number accepted
 * @enum_names: NULL-terminated words of FIELD_ENUM
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
 * Fields_Read() - read a table into a structure by its field list
 * @fields: ends with an entry whose key is NULL
 * @node: the table, or NULL if the document has none
 * @prefix: full key of the table, for messages
 * @target: structure that holds the defaults
 * @arena: memory for strings and lists
 * @diagnostics: receives unknown keys, wrong types, bad values, missing keys
 */
void Fields_Read(const Field *fields, const TomlNode *node, Str prefix,
                 void *target, Arena *arena, Diagnostics *diagnostics);

/**
 * Fields_Write() - append "KEY = VALUE\n" for one field as TOML
 *
 * Return: false, with nothing appended, if the field holds no value.
 */
bool Fields_Write(const Field *field, const void *source, GString *out);

/** Fields_IsName() - true if @text is a valid name */
bool Fields_IsName(Str text);

/** Key32_ParseBase64() - read base64 of exactly 32 bytes */
bool Key32_ParseBase64(Str text, Key32 *key);

/** Labels_Match() - true if every label of @wanted equals one of @labels */
bool Labels_Match(const Labels *wanted, const Labels *labels);

/** Labels_Equal() - true if both have the same keys and values */
bool Labels_Equal(const Labels *a, const Labels *b);

/** StrList_Contains() - true if @list holds @text */
bool StrList_Contains(const StrList *list, Str text);

#endif
