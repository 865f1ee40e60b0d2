#include "KeyedCodec.h"

#include "BigEndian.h"

/* Value length that marks a removed key. */
#define REMOVED_LENGTH UINT32_MAX
#define END_BYTES 8
#define RECORD_HEADER_BYTES 16

void
KeyedCodec_Write(uint64_t end, const GArray *records, GString *out)
{
    BigEndian_Append(out, end, END_BYTES);
    for (guint i = 0; i < records->len; i++) {
        const KeyedRecord *record = &g_array_index(records, KeyedRecord, i);

        BigEndian_Append(out, record->offset, 8);
        BigEndian_Append(out, record->key.length, 4);
        BigEndian_Append(
            out, record->removed ? REMOVED_LENGTH : record->value.length, 4);
        Str_AppendTo(record->key, out);
        if (!record->removed) {
            Str_AppendTo(record->value, out);
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
    uint64_t key_length, value_length;

    if (text->length < RECORD_HEADER_BYTES) {
        return ERR_PARSE;
    }
    record->offset = BigEndian_Read(text->data, 8);
    key_length = BigEndian_Read(text->data + 8, 4);
    value_length = BigEndian_Read(text->data + 12, 4);
    record->removed = value_length == REMOVED_LENGTH;
    value_length = record->removed ? 0 : value_length;
    skip(text, RECORD_HEADER_BYTES);
    if (key_length + value_length > text->length) {
        return ERR_PARSE;
    }
    record->key = (Str){text->data, key_length};
    record->value = (Str){text->data + key_length, value_length};
    skip(text, key_length + value_length);
    return 0;
}

int
KeyedCodec_Read(Str text, uint64_t *end, GArray *records)
{
    KeyedRecord record;

    if (text.length < END_BYTES) {
        return ERR_PARSE;
    }
    *end = BigEndian_Read(text.data, END_BYTES);
    skip(&text, END_BYTES);
    while (text.length > 0) {
        if (read_record(&text, &record) < 0) {
            return ERR_PARSE;
        }
        g_array_append_val(records, record);
    }
    return 0;
}
