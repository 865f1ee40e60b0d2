#ifndef AGATECRANK_NET_PEERKEYS_H
#define AGATECRANK_NET_PEERKEYS_H

#include <stdbool.h>

#include "Error.h"
#include "Str.h"

/** PEER_KEY_BYTES - size of a CURVE key */
#define PEER_KEY_BYTES 32
/** PEER_KEY_Z85_LENGTH - characters of the Z85 text of a CURVE key */
#define PEER_KEY_Z85_LENGTH 40
/** PEER_KEYS_MAX - maximum number of keys in an allow-list */
#define PEER_KEYS_MAX 1024

/** struct PeerKey_ - a CURVE key */
typedef struct PeerKey_ {
    uint8_t bytes[PEER_KEY_BYTES];
} PeerKey;

/**
 * struct PeerKeys_ - key pair of this host and public keys of its peers
 * @allowed: @allowed_count public keys that may connect; may include
 *           @public_key
 */
typedef struct PeerKeys_ {
    PeerKey public_key;
    PeerKey secret_key;
    PeerKey *allowed;
    size_t allowed_count;
} PeerKeys;

/**
 * PeerKeys_Read() - read the key pair and the allow-list
 *
 * A key file has one line with the Z85 text of its key. The allow-list has one
 * public key per line; empty lines and lines that begin with '# ' are skipped.
 * The secret key must belong to the public key.
 *
 * Return: NULL with @error filled if a file is missing or invalid.
 */
PeerKeys *PeerKeys_Read(const char *public_file, const char *secret_file,
                        const char *allowed_file, Error *error);

/** PeerKeys_Destroy() - erase the secret key and release; NULL is allowed */
void PeerKeys_Destroy(PeerKeys *this);

/** PeerKeys_Allows() - whether a peer with this public key may connect */
bool PeerKeys_Allows(const PeerKeys *this, const uint8_t *public_key);

/**
 * PeerKeys_Generate() - write the files of a new key pair
 *
 * The secret file is created with mode 0600. Existing files are not
 * overwritten.
 *
 * Return: 0; ERR_CONFLICT if a file exists; ERR_IO if it cannot be written;
 * ERR_UNAVAILABLE without CURVE support.
 */
int PeerKeys_Generate(const char *public_file, const char *secret_file,
                      Error *error);

#endif
