#include "Fields.h"

#include <stdio.h>
#include <string.h>

/* Longest text form of an IPv6 address, with an embedded IPv4 address. */
#define ADDRESS_BYTES_MAX 45

/* Context for reading one value. */
typedef struct Reader_ {
    const Field *field;
    Str prefix;
    Arena *arena;
    Diagnostics *diagnostics;
} Reader;

static void add_error(const Reader *reader, const TomlNode *node,
                      const char *format, ...)
    __attribute__((format(printf, 3, 4)));

static void
add_error(const Reader *reader, const TomlNode *node, const char *format, ...)
{
    char reason[256];
    char key[256];
    va_list args;

    va_start(args, format);
    vsnprintf(reason, sizeof(reason), format, args);
    va_end(args);
    snprintf(key, sizeof(key), STR_FORMAT "%s%s", STR_ARGS(reader->prefix),
             reader->prefix.length > 0 ? "." : "", reader->field->key);
    Diagnostics_Add(reader->diagnostics, node->line, node->column,
                    Str_FromC(key), "%s", reason);
}

static const char *
type_description(FieldType type)
{
    static const char *const names[] = {
        [FIELD_NAME] = "a string of 1 to 64 of A-Z a-z 0-9 . _ -",
        [FIELD_TEXT] = "a string of 1 to 256 printable bytes",
        [FIELD_PATH] = "the path of a file",
        [FIELD_URL] = "a URL such as \"http://host:port\", no user, no query",
        [FIELD_ADDRESS] = "an IP address or \"localhost\"",
        [FIELD_NAMES] = "a list of names, each 1 to 64 of A-Z a-z 0-9 . _ -",
        [FIELD_TEXTS] = "a list of strings of 1 to 256 printable bytes",
        [FIELD_ENDPOINTS] = "a list of \"ADDRESS:PORT\"",
        [FIELD_U32] = "an integer",
        [FIELD_REAL] = "a number",
        [FIELD_BOOL] = "true or false",
        [FIELD_ENUM] = "one of a fixed set of words",
        [FIELD_LABELS] = "a table of strings such as { role = \"broker\" }",
        [FIELD_HEX32] = "64 hexadecimal digits in lower case (SHA-256)",
        [FIELD_BASE64] = "base64 of 32 bytes (Ed25519 public key)",
        [FIELD_KEYS] = "a list of base64 Ed25519 public keys",
    };

    return names[type];
}

static void
add_type_error(const Reader *reader, const TomlNode *node)
{
    add_error(reader, node, "expected %s, got %s",
              type_description(reader->field->type),
              node->type == TOML_STRING ? "another string"
                                        : Toml_TypeName(node->type));
}

static bool
is_printable(Str text)
{
    if (text.length == 0 || text.length > CONFIG_TEXT_MAX) {
        return false;
    }
    for (size_t i = 0; i < text.length; i++) {
        unsigned char c = (unsigned char)text.data[i];

        if (c < 0x20 || c == 0x7f) {
            return false;
        }
    }
    return true;
}

static bool
is_port(Str text)
{
    uint64_t port;

    return Str_ParseU64(text, &port) == 0 && port >= 1 && port <= 65535;
}

static bool
is_address(Str text)
{
    if (Str_Equal(text, STR("localhost"))) {
        return true;
    }
    if (text.length == 0 || text.length > ADDRESS_BYTES_MAX) {
        return false;
    }
    for (size_t i = 0; i < text.length; i++) {
        if (!g_ascii_isxdigit(text.data[i]) && text.data[i] != '.' &&
            text.data[i] != ':') {
            return false;
        }
    }
    return memchr(text.data, '.', text.length) != NULL ||
           memchr(text.data, ':', text.length) != NULL;
}

static bool
is_host(Str text)
{
    return Fields_IsName(text) || is_address(text);
}

/* Splits HOST:PORT at the last colon; an IPv6 address stands in brackets. */
static bool
is_host_port(Str text, bool port_required)
{
    size_t port_start = text.length;

    while (port_start > 0 && text.data[port_start - 1] != ':') {
        port_start--;
    }
    if (port_start == 0 || text.data[text.length - 1] == ']') {
        port_start = text.length + 1;
    }
    if (port_start > text.length && port_required) {
        return false;
    }
    if (port_start <= text.length &&
        !is_port((Str){text.data + port_start, text.length - port_start})) {
        return false;
    }
    text.length = port_start - 1;
    if (text.length > 2 && text.data[0] == '[') {
        text = (Str){text.data + 1, text.length - 2};
    }
    return is_host(text);
}

static bool
is_url(Str text)
{
    size_t length;

    if (!is_printable(text)) {
        return false;
    }
    if (Str_StartsWith(text, STR("http://"))) {
        text = (Str){text.data + 7, text.length - 7};
    }
    else if (Str_StartsWith(text, STR("https://"))) {
        text = (Str){text.data + 8, text.length - 8};
    }
    else {
        return false;
    }
    if (memchr(text.data, '?', text.length) || text.length == 0) {
        return false;
    }
    for (length = 0; length < text.length; length++) {
        if (text.data[length] == '/') {
            break;
        }
    }
    return is_host_port((Str){text.data, length}, false);
}

static bool
is_valid_text(FieldType type, Str text)
{
    switch (type) {
    case FIELD_NAME:
        return Fields_IsName(text);
    case FIELD_NAMES:
        return Fields_IsName(text) || Str_Equal(text, STR("*"));
    case FIELD_ADDRESS:
        return is_address(text);
    case FIELD_URL:
        return is_url(text);
    case FIELD_ENDPOINTS:
        return is_printable(text) && is_host_port(text, true);
    default:
        return is_printable(text);
    }
}

static void
read_text(const Reader *reader, const TomlNode *node, Str *value)
{
    if (reader->field->type == FIELD_PATH && node->type == TOML_STRING &&
        node->text.length >= 5 && memcmp(node->text.data, "-----", 5) == 0) {
        add_error(reader, node,
                  "holds the key itself; give the path of a file");
        return;
    }
    if (node->type != TOML_STRING ||
        !is_valid_text(reader->field->type, node->text)) {
        add_type_error(reader, node);
        return;
    }
    *value = Arena_CopyStr(reader->arena, node->text);
}

static bool
check_list(const Reader *reader, const TomlNode *node)
{
    if (node->type != TOML_ARRAY) {
        add_type_error(reader, node);
        return false;
    }
    if (node->count > CONFIG_LIST_MAX) {
        add_error(reader, node, "has %zu items; at most %d are accepted",
                  node->count, CONFIG_LIST_MAX);
        return false;
    }
    return true;
}

static void
read_list(const Reader *reader, const TomlNode *node, StrList *value)
{
    Str *items;

    if (!check_list(reader, node)) {
        return;
    }
    items = Arena_Alloc(reader->arena, node->count * sizeof(*items));
    *value = (StrList){items, 0};
    for (size_t i = 0; i < node->count; i++) {
        const TomlNode *item = &node->children[i];

        if (item->type != TOML_STRING ||
            !is_valid_text(reader->field->type, item->text)) {
            add_type_error(reader, item);
            continue;
        }
        if (StrList_Contains(value, item->text)) {
            add_error(reader, item, "is given twice; remove one");
            continue;
        }
        items[value->count++] = Arena_CopyStr(reader->arena, item->text);
    }
    if (value->count > 1 && reader->field->type == FIELD_NAMES &&
        StrList_Contains(value, STR("*"))) {
        add_error(reader, node, "\"*\" must be the only item");
    }
}

/* Labels come out sorted, because TOML tables are sorted by key. */
static void
read_labels(const Reader *reader, const TomlNode *node, Labels *value)
{
    Label *items;

    if (node->type != TOML_TABLE || node->count > CONFIG_LIST_MAX) {
        add_type_error(reader, node);
        return;
    }
    items = Arena_Alloc(reader->arena, node->count * sizeof(*items));
    *value = (Labels){items, 0};
    for (size_t i = 0; i < node->count; i++) {
        const TomlNode *item = &node->children[i];

        if (item->type != TOML_STRING || !Fields_IsName(item->key) ||
            !is_printable(item->text)) {
            add_type_error(reader, item);
            continue;
        }
        items[value->count].key = Arena_CopyStr(reader->arena, item->key);
        items[value->count].value = Arena_CopyStr(reader->arena, item->text);
        value->count++;
    }
}

static bool
check_range(const Reader *reader, const TomlNode *node)
{
    const Field *field = reader->field;

    if (node->real >= field->minimum && node->real <= field->maximum) {
        return true;
    }
    add_error(reader, node, "is %g; must be %.15g to %.15g", node->real,
              field->minimum, field->maximum);
    return false;
}

static void
read_number(const Reader *reader, const TomlNode *node, void *value)
{
    bool real = reader->field->type == FIELD_REAL;

    if (node->type != TOML_INTEGER && !(real && node->type == TOML_REAL)) {
        add_type_error(reader, node);
        return;
    }
    if (!check_range(reader, node)) {
        return;
    }
    if (real) {
        *(double *)value = node->real;
        return;
    }
    *(uint32_t *)value = (uint32_t)node->integer;
}

static void
read_enum(const Reader *reader, const TomlNode *node, uint32_t *value)
{
    const char *const *enum_names = reader->field->enum_names;
    char *joined;

    for (uint32_t i = 0; enum_names[i] != NULL; i++) {
        if (node->type == TOML_STRING &&
            Str_Equal(node->text, Str_FromC(enum_names[i]))) {
            *value = i;
            return;
        }
    }
    joined = g_strjoinv(", ", (gchar **)enum_names);
    add_error(reader, node, "expected one of: %s", joined);
    g_free(joined);
}

static bool
read_hex(Str text, Key32 *key)
{
    if (text.length != 2 * sizeof(key->bytes)) {
        return false;
    }
    for (size_t i = 0; i < text.length; i++) {
        if (!g_ascii_isxdigit(text.data[i]) || g_ascii_isupper(text.data[i])) {
            return false;
        }
    }
    for (size_t i = 0; i < sizeof(key->bytes); i++) {
        key->bytes[i] = (uint8_t)(g_ascii_xdigit_value(text.data[2 * i]) * 16 +
                                  g_ascii_xdigit_value(text.data[2 * i + 1]));
    }
    key->is_set = true;
    return true;
}

static void
read_key(const Reader *reader, const TomlNode *node, Key32 *value)
{
    bool hex = reader->field->type == FIELD_HEX32;

    if (node->type != TOML_STRING ||
        !(hex ? read_hex(node->text, value)
              : Key32_ParseBase64(node->text, value))) {
        add_type_error(reader, node);
    }
}

static void
read_keys(const Reader *reader, const TomlNode *node, Key32List *value)
{
    Key32 *items;

    if (!check_list(reader, node)) {
        return;
    }
    items = Arena_Alloc(reader->arena, node->count * sizeof(*items));
    *value = (Key32List){items, node->count};
    for (size_t i = 0; i < node->count; i++) {
        read_key(reader, &node->children[i], &items[i]);
    }
}

static void
read_value(const Reader *reader, const TomlNode *node, void *value)
{
    switch (reader->field->type) {
    case FIELD_NAME:
    case FIELD_TEXT:
    case FIELD_PATH:
    case FIELD_URL:
    case FIELD_ADDRESS:
        read_text(reader, node, value);
        return;
    case FIELD_NAMES:
    case FIELD_TEXTS:
    case FIELD_ENDPOINTS:
        read_list(reader, node, value);
        return;
    case FIELD_U32:
    case FIELD_REAL:
        read_number(reader, node, value);
        return;
    case FIELD_BOOL:
        if (node->type != TOML_BOOLEAN) {
            add_type_error(reader, node);
            return;
        }
        *(bool *)value = node->integer != 0;
        return;
    case FIELD_ENUM:
        read_enum(reader, node, value);
        return;
    case FIELD_LABELS:
        read_labels(reader, node, value);
        return;
    case FIELD_HEX32:
    case FIELD_BASE64:
        read_key(reader, node, value);
        return;
    case FIELD_KEYS:
        read_keys(reader, node, value);
        return;
    }
}

static bool
has_field(const Field *fields, Str key)
{
    for (; fields->key != NULL; fields++) {
        if (Str_Equal(Str_FromC(fields->key), key)) {
            return true;
        }
    }
    return false;
}

static void
report_unknown_keys(const Field *fields, const TomlNode *node, Str prefix,
                    Diagnostics *diagnostics)
{
    for (size_t i = 0; i < node->count; i++) {
        const TomlNode *item = &node->children[i];
        char *key;

        if (has_field(fields, item->key)) {
            continue;
        }
        key =
            g_strdup_printf(STR_FORMAT "%s" STR_FORMAT, STR_ARGS(prefix),
                            prefix.length > 0 ? "." : "", STR_ARGS(item->key));
        Diagnostics_Add(diagnostics, item->line, item->column, Str_FromC(key),
                        "unknown key; remove it or correct its spelling");
        g_free(key);
    }
}

void
Fields_Read(const Field *fields, const TomlNode *node, Str prefix,
            void *target, Arena *arena, Diagnostics *diagnostics)
{
    static const TomlNode empty = {.type = TOML_TABLE};

    if (node == NULL) {
        node = &empty;
    }
    if (node->type != TOML_TABLE) {
        Diagnostics_Add(diagnostics, node->line, node->column, prefix,
                        "expected a table, got %s", Toml_TypeName(node->type));
        return;
    }
    report_unknown_keys(fields, node, prefix, diagnostics);
    for (const Field *field = fields; field->key != NULL; field++) {
        Reader reader = {field, prefix, arena, diagnostics};
        const TomlNode *item = Toml_Find(node, Str_FromC(field->key));

        if (item != NULL) {
            read_value(&reader, item, (char *)target + field->offset);
        }
        else if (field->required) {
            add_error(&reader, node, "is missing; give %s",
                      type_description(field->type));
        }
    }
}
