#include "KeyedCodec.h"

#include <string.h>
#include <zlib.h>

#include "BigEndian.h"

/* Value length that marks a removed key. */
#define REMOVED_LENGTH UINT32_MAX
#define END_BYTES 8
#define RECORD_HEADER_BYTES 16
/* Shorter texts take one packet or two. */
#define DEFLATE_BYTES_MIN 2048
#define INFLATE_CHUNK_BYTES 65536

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

GString *
KeyedCodec_Deflate(const GString *text)
{
    uLongf length = compressBound(text->len);
    GString *out;

    if (text->len < DEFLATE_BYTES_MIN) {
        return NULL;
    }
    out = g_string_sized_new(length);
    if (compress2((Bytef *)out->str, &length, (const Bytef *)text->str,
                  text->len, Z_BEST_SPEED) != Z_OK) {
        g_string_free(out, TRUE);
        return NULL;
    }
    return g_string_set_size(out, length);
}

GString *
KeyedCodec_Inflate(Str text, size_t bytes_max)
{
    GString *out = g_string_new(NULL);
    z_stream stream = {.next_in = (Bytef *)text.data,
                       .avail_in = (uInt)text.length};
    int code = inflateInit(&stream);

    while (code == Z_OK && out->len < bytes_max) {
        size_t before = out->len;
        size_t room = MIN(INFLATE_CHUNK_BYTES, bytes_max - before);

        g_string_set_size(out, before + room);
        stream.next_out = (Bytef *)out->str + before;
        stream.avail_out = (uInt)room;
        code = inflate(&stream, Z_NO_FLUSH);
        g_string_set_size(out, before + room - stream.avail_out);
        if (code == Z_OK && out->len == before) {
            code = Z_DATA_ERROR; /* the text ends early */
        }
    }
    inflateEnd(&stream);
    if (code != Z_STREAM_END || stream.avail_in > 0) {
        g_string_free(out, TRUE);
        return NULL;
    }
    return out;
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
