#include "QuarantineRecord.h"

#include <glib.h>

#define HIGH_DIGITS 16
#define KEY_DIGITS (2 * HIGH_DIGITS)
#define FORMAT "q1"
/* Year 2286. */
#define TIME_MAX_MS 10000000000000
#define RELEASED "released"
#define HEX_64 "%016" G_GINT64_MODIFIER "x"

void
QuarantineRecord_Write(const QuarantineItem *item, Micros wall,
                       char key[QUARANTINE_KEY_BYTES],
                       char value[QUARANTINE_VALUE_BYTES])
{
    int n;

    g_snprintf(key, QUARANTINE_KEY_BYTES, HEX_64 HEX_64,
               item->fingerprint.high, item->fingerprint.low);
    value[0] = '\0';
    if (item->losses == 0 && !item->released) {
        return;
    }
    n = g_snprintf(value, QUARANTINE_VALUE_BYTES,
                   FORMAT " %" G_GINT64_FORMAT " %" G_GINT64_FORMAT,
                   wall / MICROS_PER_MS, item->age / MICROS_PER_MS);
    if (item->released) {
        g_snprintf(value + n, (gulong)(QUARANTINE_VALUE_BYTES - n),
                   " " RELEASED);
    }
    for (uint32_t i = 0; i < item->losses; i++) {
        n += g_snprintf(value + n, (gulong)(QUARANTINE_VALUE_BYTES - n),
                        " %08x", item->upstreams[i]);
    }
}

static bool
read_hex(Str text, size_t digits, uint64_t *number)
{
    if (text.length != digits) {
        return false;
    }
    *number = 0;
    for (size_t i = 0; i < digits; i++) {
        int digit = g_ascii_xdigit_value(text.data[i]);

        if (digit < 0) {
            return false;
        }
        *number = *number << 4 | (uint64_t)digit;
    }
    return true;
}

static bool
read_fingerprint(Str key, Fingerprint *fingerprint)
{
    return key.length == KEY_DIGITS &&
           read_hex((Str){key.data, HIGH_DIGITS}, HIGH_DIGITS,
                    &fingerprint->high) &&
           read_hex((Str){key.data + HIGH_DIGITS, HIGH_DIGITS}, HIGH_DIGITS,
                    &fingerprint->low);
}

static bool
read_time(Str *text, Micros *time)
{
    uint64_t ms;
    Str field;

    if (!Str_Split(text, ' ', &field) || Str_ParseU64(field, &ms) < 0 ||
        ms > TIME_MAX_MS) {
        return false;
    }
    *time = (Micros)ms * MICROS_PER_MS;
    return true;
}

static bool
read_upstreams(Str text, QuarantineItem *item)
{
    Str field;
    uint64_t upstream;

    if (Str_Equal(text, STR(RELEASED))) {
        item->released = true;
        return true;
    }
    while (text.length > 0) {
        Str_Split(&text, ' ', &field);
        if (item->losses == QUARANTINE_LOSSES_MAX ||
            !read_hex(field, 8, &upstream)) {
            return false;
        }
        item->upstreams[item->losses++] = (uint32_t)upstream;
    }
    return item->losses > 0;
}

int
QuarantineRecord_Read(const KeyedRecord *record, Micros wall,
                      QuarantineItem *item)
{
    Str text = record->value, format;
    Micros written;

    *item = (QuarantineItem){0};
    if (!read_fingerprint(record->key, &item->fingerprint)) {
        return ERR_PARSE;
    }
    if (record->removed) {
        return 0;
    }
    if (text.length >= QUARANTINE_VALUE_BYTES ||
        !Str_Split(&text, ' ', &format) || !Str_Equal(format, STR(FORMAT)) ||
        !read_time(&text, &written) || !read_time(&text, &item->age) ||
        !read_upstreams(text, item)) {
        return ERR_PARSE;
    }
    if (wall >= 0) {
        item->age += MAX(wall - written, 0);
    }
    return 0;
}
