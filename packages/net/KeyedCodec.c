#include "KeyedCodec.h"

#define REMOVED UINT32_MAX
#define END_BYTES 8
#define RECORD_HEAD_BYTES 16

static void
write_number(GString *out, uint64_t number, size_t bytes)
{
    for (size_t i = bytes; i > 0; i--) {
        g_string_append_c(out, (gchar)(number >> (8 * (i - 1))));
    }
}

static uint64_t
read_number(const char *data, size_t bytes)
{
    uint64_t number = 0;

    for (size_t i = 0; i < bytes; i++) {
        number = number << 8 | (unsigned char)data[i];
    }
    return number;
}

void
KeyedCodec_Write(uint64_t end, const GArray *records, GString *out)
{
    write_number(out, end, END_BYTES);
    for (guint i = 0; i < records->len; i++) {
        const KeyedRecord *record = &g_array_index(records, KeyedRecord, i);

        write_number(out, record->offset, 8);
        write_number(out, record->key.length, 4);
        write_number(out, record->removed ? REMOVED : record->value.length, 4);
        g_string_append_len(out, record->key.data, (gssize)record->key.length);
        if (!record->removed) {
            g_string_append_len(out, record->value.data,
                                (gssize)record->value.length);
        }
    }
}

static void
skip(Str *text, size_t bytes)
{
    text->data += bytes;
    text->length -= bytes;
}

static int
read_record(Str *text, KeyedRecord *record)
{
    uint64_t key, value;

    if (text->length < RECORD_HEAD_BYTES) {
        return ERR_PARSE;
    }
    record->offset = read_number(text->data, 8);
    key = read_number(text->data + 8, 4);
    value = read_number(text->data + 12, 4);
    record->removed = value == REMOVED;
    value = record->removed ? 0 : value;
    skip(text, RECORD_HEAD_BYTES);
    if (key + value > text->length) {
        return ERR_PARSE;
    }
    record->key = (Str){text->data, key};
    record->value = (Str){text->data + key, value};
    skip(text, key + value);
    return 0;
}

int
KeyedCodec_Read(Str text, uint64_t *end, GArray *records)
{
    KeyedRecord record;

    if (text.length < END_BYTES) {
        return ERR_PARSE;
    }
    *end = read_number(text.data, END_BYTES);
    skip(&text, END_BYTES);
    while (text.length > 0) {
        if (read_record(&text, &record) < 0) {
            return ERR_PARSE;
        }
        g_array_append_val(records, record);
    }
    return 0;
}
