#ifndef AGATECRANK_CONFIG_PUBLICATION_H
#define AGATECRANK_CONFIG_PUBLICATION_H

#include <glib.h>

#include "Error.h"
#include "Fields.h"

/** PUBLICATION_MAX_BYTES - longest record of the config stream, in bytes */
#define PUBLICATION_MAX_BYTES (128 * 1024)

/**
 * struct Publication_ - the JSON envelope of one record
 * @id: unique for its author; a repeated append of one id counts once
 * @author: name of the operator whose key signed it
 * @base: value of ConfigState_Offset() that the author started from: every
 *        record below it was known
 * @document: TOML text
 * @signature: Ed25519 over Publication_WriteCanonical()
 */
typedef struct Publication_ {
    char id[CONFIG_NAME_MAX + 1];
    char author[CONFIG_NAME_MAX + 1];
    uint64_t base;
    GString *document;
    uint8_t signature[64];
} Publication;

/** Publication_Create() - an unsigned publication; NULL if a name is bad */
Publication *Publication_Create(Str id, Str author, uint64_t base,
                                Str document);

/**
 * Publication_Parse() - read an envelope
 *
 * Unknown members, repeated members and any other "v" are refused, so that
 * every host takes a record in the same way.
 *
 * Return: NULL with @error filled (which may be NULL).
 */
Publication *Publication_Parse(Str record, Error *error);

/** Publication_Destroy() - release it; NULL is accepted */
void Publication_Destroy(Publication *this);

/**
 * Publication_WriteCanonical() - append the bytes that are signed
 *
 * id, author, base (decimal) and document, each preceded by its length as
 * 8 bytes with the least significant first.
 */
void Publication_WriteCanonical(const Publication *this, GString *out);

/** Publication_Sign() - sign with the 32 bytes of an Ed25519 secret key */
int Publication_Sign(Publication *this, const uint8_t secret[32]);

/** Publication_Verify() - true if @key made the signature */
bool Publication_Verify(const Publication *this, const Key32 *key);

/** Publication_Write() - append the JSON envelope */
void Publication_Write(const Publication *this, GString *out);

/** Publication_DerivePublicKey() - public key of an Ed25519 secret key */
int Publication_DerivePublicKey(const uint8_t secret[32], Key32 *key);

/** Publication_WriteBase64() - append base64 of @length bytes */
void Publication_WriteBase64(const uint8_t *bytes, size_t length,
                             GString *out);

#endif
