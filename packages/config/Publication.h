#ifndef AGATECRANK_CONFIG_PUBLICATION_H
#define AGATECRANK_CONFIG_PUBLICATION_H

#include <glib.h>

#include "Error.h"
#include "Fields.h"

/** PUBLICATION_MAX_BYTES - maximum record length in the config stream */
#define PUBLICATION_MAX_BYTES (128 * 1024)

/**
 * struct Publication_ - a signed change, one record of the config stream
 * @id: unique per author; a record with an id used before has no effect
 * @author: name of the operator who signs it
 * @base: ConfigState_Offset() of the state that the author edited: the author
 *        knew every record below it
 * @document: TOML text
 * @signature: Ed25519 signature of the bytes of Publication_WriteCanonical()
 */
typedef struct Publication_ {
    char id[CONFIG_NAME_MAX + 1];
    char author[CONFIG_NAME_MAX + 1];
    uint64_t base;
    GString *document;
    uint8_t signature[64];
} Publication;

/**
 * Publication_Create() - an unsigned publication
 *
 * Return: NULL if @id or @author is not a valid name, or @base or @document is
 * too large.
 */
Publication *Publication_Create(Str id, Str author, uint64_t base,
                                Str document);

/**
 * Publication_Parse() - parse a JSON envelope
 *
 * Unknown members, duplicate members and any "v" other than 1 are rejected, so
 * that every host interprets a record in the same way.
 *
 * Return: NULL with @error filled (which may be NULL).
 */
Publication *Publication_Parse(Str record, Error *error);

/** Publication_Destroy() - release the publication; @this may be NULL */
void Publication_Destroy(Publication *this);

/**
 * Publication_WriteCanonical() - append the bytes that are signed
 *
 * These are id, author, base (in decimal) and document, each preceded by its
 * length as a 64-bit little-endian integer.
 */
void Publication_WriteCanonical(const Publication *this, GString *out);

/**
 * Publication_Sign() - sign the publication
 * @secret: 32 bytes of an Ed25519 secret key
 *
 * Return: 0 or ERR_INVALID.
 */
int Publication_Sign(Publication *this, const uint8_t secret[32]);

/** Publication_Verify() - true if the signature is valid for @key */
bool Publication_Verify(const Publication *this, const Key32 *key);

/** Publication_Write() - append the JSON envelope */
void Publication_Write(const Publication *this, GString *out);

/**
 * Publication_DerivePublicKey() - public key of an Ed25519 secret key
 *
 * Return: 0 or ERR_INVALID.
 */
int Publication_DerivePublicKey(const uint8_t secret[32], Key32 *key);

/** Publication_WriteBase64() - append @length bytes in base64 */
void Publication_WriteBase64(const uint8_t *bytes, size_t length,
                             GString *out);

#endif
