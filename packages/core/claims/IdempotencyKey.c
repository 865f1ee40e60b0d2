#include "IdempotencyKey.h"

#include <glib.h>
#include <openssl/sha.h>
#include <stdio.h>
#include <string.h>

#include "Error.h"

#define ISSUED_PREFIX "agk1-"
#define UUID_TEXT_LENGTH 36

static int
hex_value(char c)
{
    if (c >= '0' && c <= '9') {
        return c - '0';
    }
    if (c >= 'a' && c <= 'f') {
        return c - 'a' + 10;
    }
    if (c >= 'A' && c <= 'F') {
        return c - 'A' + 10;
    }
    return -1;
}

static bool
is_dash_position(size_t i)
{
    return i == 8 || i == 13 || i == 18 || i == 23;
}

static int
parse_uuid(IdempotencyKey *this, Str text)
{
    size_t digits = 0;

    if (text.length != UUID_TEXT_LENGTH) {
        return ERR_PARSE;
    }
    for (size_t i = 0; i < text.length; i++) {
        int value = hex_value(text.data[i]);

        if (is_dash_position(i)) {
            if (text.data[i] != '-') {
                return ERR_PARSE;
            }
            continue;
        }
        if (value < 0) {
            return ERR_PARSE;
        }
        this->uuid[digits / 2] =
            (uint8_t)(this->uuid[digits / 2] << 4 | value);
        digits++;
    }
    /* The version must be 7 and the variant that of RFC 9562. */
    if (this->uuid[6] >> 4 != 7 || this->uuid[8] >> 6 != 2) {
        return ERR_PARSE;
    }
    for (size_t i = 0; i < 6; i++) {
        this->time_ms = this->time_ms << 8 | this->uuid[i];
    }
    return 0;
}

static int
parse_incarnation(IdempotencyKey *this, Str text)
{
    if (text.length > 1 && text.data[0] == '0') {
        return ERR_PARSE;
    }
    return Str_ParseU64(text, &this->incarnation);
}

static bool
is_host_byte(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
           (c >= '0' && c <= '9') || c == '-' || c == '.' || c == '_';
}

/* Host names may contain dashes, so the fields are parsed from the end. */
static int
parse_issued(IdempotencyKey *this, Str rest)
{
    size_t host_end;

    if (rest.length < UUID_TEXT_LENGTH + sizeof("h-1-") - 1) {
        return ERR_PARSE;
    }
    host_end = rest.length - UUID_TEXT_LENGTH - 1;
    if (rest.data[host_end] != '-') {
        return ERR_PARSE;
    }
    if (parse_uuid(this, (Str){rest.data + host_end + 1, UUID_TEXT_LENGTH})) {
        return ERR_PARSE;
    }
    rest.length = host_end;
    while (host_end > 0 && rest.data[host_end - 1] != '-') {
        host_end--;
    }
    if (host_end < 2 ||
        parse_incarnation(
            this, (Str){rest.data + host_end, rest.length - host_end})) {
        return ERR_PARSE;
    }
    this->host = (Str){rest.data, host_end - 1};
    for (size_t i = 0; i < this->host.length; i++) {
        if (!is_host_byte(this->host.data[i])) {
            return ERR_PARSE;
        }
    }
    return 0;
}

int
IdempotencyKey_Parse(IdempotencyKey *this, Str text)
{
    memset(this, 0, sizeof(*this));
    if (text.length > IDEMPOTENCY_KEY_MAX_BYTES) {
        return ERR_LIMIT;
    }
    if (!Str_StartsWith(text, STR(ISSUED_PREFIX))) {
        this->kind = KEY_BY_CALLER;
        return parse_uuid(this, text);
    }
    this->kind = KEY_ISSUED;
    text.data += sizeof(ISSUED_PREFIX) - 1;
    text.length -= sizeof(ISSUED_PREFIX) - 1;
    return parse_issued(this, text);
}

/* The length precedes the field, so that different lists of fields never
 * give the same text. */
static void
add_field(GString *text, const void *data, size_t length)
{
    uint64_t size = length;

    g_string_append_len(text, (const char *)&size, sizeof(size));
    g_string_append_len(text, data, (gssize)length);
}

KeyHash
IdempotencyKey_Hash(const IdempotencyKey *this, Str line, Str caller)
{
    GString *text = g_string_sized_new(256);
    unsigned char digest[SHA256_DIGEST_LENGTH];
    KeyHash hash;

    add_field(text, line.data, line.length);
    add_field(text, caller.data, caller.length);
    add_field(text, this->host.data, this->host.length);
    add_field(text, &this->incarnation, sizeof(this->incarnation));
    add_field(text, this->uuid, sizeof(this->uuid));
    SHA256((const unsigned char *)text->str, text->len, digest);
    memcpy(hash.word, digest, sizeof(hash.word));
    g_string_free(text, TRUE);
    return hash;
}

int
IdempotencyKey_Write(const IdempotencyKey *this, char *out)
{
    const uint8_t *u = this->uuid;
    char uuid[UUID_TEXT_LENGTH + 1];
    int length;

    snprintf(uuid, sizeof(uuid),
             "%02x%02x%02x%02x-%02x%02x-%02x%02x-%02x%02x-"
             "%02x%02x%02x%02x%02x%02x",
             u[0], u[1], u[2], u[3], u[4], u[5], u[6], u[7], u[8], u[9], u[10],
             u[11], u[12], u[13], u[14], u[15]);
    if (this->kind == KEY_BY_CALLER) {
        return snprintf(out, IDEMPOTENCY_KEY_MAX_BYTES + 1, "%s", uuid);
    }
    length =
        snprintf(out, IDEMPOTENCY_KEY_MAX_BYTES + 1,
                 ISSUED_PREFIX STR_FORMAT "-%llu-%s", STR_ARGS(this->host),
                 (unsigned long long)this->incarnation, uuid);
    return length <= IDEMPOTENCY_KEY_MAX_BYTES ? length : ERR_LIMIT;
}

IdempotencyKey
IdempotencyKey_Make(uint64_t time_ms, const uint64_t random[2], Str host,
                    uint64_t incarnation)
{
    IdempotencyKey key = {
        .kind = host.length > 0 ? KEY_ISSUED : KEY_BY_CALLER,
        .time_ms = time_ms,
        .host = host,
        .incarnation = host.length > 0 ? incarnation : 0,
    };

    for (int i = 0; i < 6; i++) {
        key.uuid[i] = (uint8_t)(time_ms >> (40 - 8 * i));
    }
    for (int i = 6; i < 16; i++) {
        key.uuid[i] = (uint8_t)(random[i / 8] >> (8 * (i % 8)));
    }
    key.uuid[6] = (uint8_t)((key.uuid[6] & 0x0f) | 0x70);
    key.uuid[8] = (uint8_t)((key.uuid[8] & 0x3f) | 0x80);
    return key;
}

bool
KeyHash_Equal(KeyHash a, KeyHash b)
{
    return a.word[0] == b.word[0] && a.word[1] == b.word[1];
}
