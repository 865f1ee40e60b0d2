#include <string.h>

#include "Fields.h"

#define KEY32_BASE64_LENGTH 44

bool
Fields_IsName(Str text)
{
    if (text.length == 0 || text.length > CONFIG_NAME_MAX) {
        return false;
    }
    for (size_t i = 0; i < text.length; i++) {
        char c = text.data[i];

        if (!g_ascii_isalnum(c) && c != '.' && c != '_' && c != '-') {
            return false;
        }
    }
    return true;
}

bool
Key32_ParseBase64(Str text, Key32 *key)
{
    char copy[KEY32_BASE64_LENGTH + 1];
    gsize length = 0;
    guchar *bytes;
    char *reencoded;
    bool is_canonical;

    if (text.length != KEY32_BASE64_LENGTH) {
        return false;
    }
    memcpy(copy, text.data, KEY32_BASE64_LENGTH);
    copy[KEY32_BASE64_LENGTH] = '\0';
    if (strlen(copy) != KEY32_BASE64_LENGTH) {
        return false;
    }
    bytes = g_base64_decode(copy, &length);
    reencoded = g_base64_encode(bytes, length);
    /* The decoder skips invalid characters; accept the canonical form only. */
    is_canonical =
        length == sizeof(key->bytes) && strcmp(reencoded, copy) == 0;
    if (is_canonical) {
        memcpy(key->bytes, bytes, sizeof(key->bytes));
        key->is_set = true;
    }
    g_free(reencoded);
    g_free(bytes);
    return is_canonical;
}

bool
Labels_Match(const Labels *wanted, const Labels *labels)
{
    size_t j = 0;

    for (size_t i = 0; i < wanted->count; i++) {
        while (j < labels->count &&
               !Str_Equal(labels->items[j].key, wanted->items[i].key)) {
            j++;
        }
        if (j == labels->count ||
            !Str_Equal(labels->items[j].value, wanted->items[i].value)) {
            return false;
        }
    }
    return true;
}

bool
Labels_Equal(const Labels *a, const Labels *b)
{
    return a->count == b->count && Labels_Match(a, b);
}

bool
StrList_Contains(const StrList *list, Str text)
{
    for (size_t i = 0; i < list->count; i++) {
        if (Str_Equal(list->items[i], text)) {
            return true;
        }
    }
    return false;
}

static void
write_text(Str text, GString *out)
{
    g_string_append_c(out, '"');
    for (size_t i = 0; i < text.length; i++) {
        if (text.data[i] == '"' || text.data[i] == '\\') {
            g_string_append_c(out, '\\');
        }
        g_string_append_c(out, text.data[i]);
    }
    g_string_append_c(out, '"');
}

static void
write_list(const StrList *list, GString *out)
{
    g_string_append_c(out, '[');
    for (size_t i = 0; i < list->count; i++) {
        g_string_append(out, i > 0 ? ", " : "");
        write_text(list->items[i], out);
    }
    g_string_append_c(out, ']');
}

static void
write_labels(const Labels *labels, GString *out)
{
    g_string_append(out, "{ ");
    for (size_t i = 0; i < labels->count; i++) {
        g_string_append(out, i > 0 ? ", " : "");
        write_text(labels->items[i].key, out);
        g_string_append(out, " = ");
        write_text(labels->items[i].value, out);
    }
    g_string_append(out, labels->count > 0 ? " }" : "}");
}

static void
write_key(const Key32 *key, FieldType type, GString *out)
{
    char *text;

    if (type == FIELD_HEX32) {
        g_string_append_c(out, '"');
        for (size_t i = 0; i < sizeof(key->bytes); i++) {
            g_string_append_printf(out, "%02x", key->bytes[i]);
        }
        g_string_append_c(out, '"');
        return;
    }
    text = g_base64_encode(key->bytes, sizeof(key->bytes));
    g_string_append_printf(out, "\"%s\"", text);
    g_free(text);
}

static void
write_keys(const Key32List *list, GString *out)
{
    g_string_append_c(out, '[');
    for (size_t i = 0; i < list->count; i++) {
        g_string_append(out, i > 0 ? ", " : "");
        write_key(&list->items[i], FIELD_BASE64, out);
    }
    g_string_append_c(out, ']');
}

static bool
has_value(const Field *field, const void *value)
{
    switch (field->type) {
    case FIELD_HEX32:
    case FIELD_BASE64:
        return ((const Key32 *)value)->is_set;
    case FIELD_NAME:
    case FIELD_TEXT:
    case FIELD_PATH:
    case FIELD_URL:
    case FIELD_ADDRESS:
        return ((const Str *)value)->length > 0;
    default:
        return true;
    }
}

static void
write_value(const Field *field, const void *value, GString *out)
{
    char number[G_ASCII_DTOSTR_BUF_SIZE];

    switch (field->type) {
    case FIELD_NAMES:
    case FIELD_TEXTS:
    case FIELD_ENDPOINTS:
        write_list(value, out);
        return;
    case FIELD_U32:
        g_string_append_printf(out, "%u", *(const uint32_t *)value);
        return;
    case FIELD_REAL:
        g_ascii_formatd(number, sizeof(number), "%.9g",
                        *(const double *)value);
        g_string_append(out, number);
        return;
    case FIELD_BOOL:
        g_string_append(out, *(const bool *)value ? "true" : "false");
        return;
    case FIELD_ENUM:
        write_text(Str_FromC(field->enum_names[*(const uint32_t *)value]),
                   out);
        return;
    case FIELD_LABELS:
        write_labels(value, out);
        return;
    case FIELD_HEX32:
    case FIELD_BASE64:
        write_key(value, field->type, out);
        return;
    case FIELD_KEYS:
        write_keys(value, out);
        return;
    default:
        write_text(*(const Str *)value, out);
        return;
    }
}

bool
Fields_Write(const Field *field, const void *source, GString *out)
{
    const void *value = (const char *)source + field->offset;

    if (!has_value(field, value)) {
        return false;
    }
    g_string_append_printf(out, "%s = ", field->key);
    write_value(field, value, out);
    g_string_append_c(out, '\n');
    return true;
}
