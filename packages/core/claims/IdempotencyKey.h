#ifndef AGATECRANK_CORE_IDEMPOTENCYKEY_H
#define AGATECRANK_CORE_IDEMPOTENCYKEY_H

#include "Str.h"

/* Longest accepted key text, in bytes. */
#define IDEMPOTENCY_KEY_MAX_BYTES 128

/**
 * struct KeyHash_ - hash of a key, its line and its caller
 * @word: first 128 bits of a SHA-256, so that no caller can construct a
 *        key that collides with another line's
 */
typedef struct KeyHash_ {
    uint64_t word[2];
} KeyHash;

/** enum IdempotencyKeyKind_ - origin of a key */
typedef enum IdempotencyKeyKind_ {
    KEY_BY_CALLER, /* made by the caller: UUIDv7 */
    KEY_ISSUED,    /* issued by a host: agk1-HOST-INCARNATION-UUIDv7 */
} IdempotencyKeyKind;

/**
 * struct IdempotencyKey_ - parsed key
 * @kind: origin of the key
 * @uuid: the 16 bytes of the UUIDv7
 * @time_ms: time inside the UUID, milliseconds since 1970
 * @host: issuing host, borrowed from the parsed text; empty if the caller
 *        made the key
 * @incarnation: of the issuing host; 0 if the caller made the key
 */
typedef struct IdempotencyKey_ {
    IdempotencyKeyKind kind;
    uint8_t uuid[16];
    uint64_t time_ms;
    Str host;
    uint64_t incarnation;
} IdempotencyKey;

/**
 * IdempotencyKey_Parse() - parse a key
 *
 * Hexadecimal digits may be in either case. The incarnation has no leading
 * zero, so that two texts of one key differ at most in case.
 *
 * Return: 0, ERR_LIMIT if longer than IDEMPOTENCY_KEY_MAX_BYTES, or ERR_PARSE
 * if malformed.
 */
int IdempotencyKey_Parse(IdempotencyKey *this, Str text);

/** IdempotencyKey_Hash() - hash of line, caller and key */
KeyHash IdempotencyKey_Hash(const IdempotencyKey *this, Str line, Str caller);

/**
 * IdempotencyKey_Write() - text of a key
 * @out: buffer of IDEMPOTENCY_KEY_MAX_BYTES + 1 bytes; zero-terminated
 *
 * Return: length of the text, or ERR_LIMIT if the host name is too long.
 */
int IdempotencyKey_Write(const IdempotencyKey *this, char *out);

/**
 * IdempotencyKey_Make() - make a key
 * @time_ms: time inside the key, milliseconds since 1970
 * @random: two random words, of which 74 bits are used
 * @host: issuing host, or empty for a caller's key
 */
IdempotencyKey IdempotencyKey_Make(uint64_t time_ms, const uint64_t random[2],
                                   Str host, uint64_t incarnation);

/** KeyHash_Equal() - true if key, line and caller are the same */
bool KeyHash_Equal(KeyHash a, KeyHash b);

#endif
