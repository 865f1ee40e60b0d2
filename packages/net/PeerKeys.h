#ifndef AGATECRANK_NET_PEERKEYS_H
#define AGATECRANK_NET_PEERKEYS_H

#include <stdbool.h>

#include "Error.h"
#include "Str.h"

/** PEER_KEY_BYTES - bytes of a CURVE key; PEER_KEY_Z85_LENGTH - of its Z85 text */
#define PEER_KEY_BYTES 32
#define PEER_KEY_Z85_LENGTH 40
/** PEER_KEYS_MAX - most keys of an allow-list */
#define PEER_KEYS_MAX 1024

/** struct PeerKey_ - a CURVE key */
typedef struct PeerKey_ {
    uint8_t bytes[PEER_KEY_BYTES];
} PeerKey;

/**
 * struct PeerKeys_ - keys of this host and of the peers that may talk to it
 * @allowed: public keys, @allowed_count of them; may hold the own one
 */
typedef struct PeerKeys_ {
    PeerKey public_key;
    PeerKey secret_key;
    PeerKey *allowed;
    size_t allowed_count;
} PeerKeys;

/**
 * PeerKeys_Read() - read the three key files
 *
 * A key file holds one line with the Z85 text of its key. The allow-list has
 * one public key a line; empty lines and lines that begin with '# ' are
 * skipped. The secret key must belong to the public one.
 *
 * Return: NULL with @error filled if a file is missing or out of form.
 */
PeerKeys *PeerKeys_Read(const char *public_file, const char *secret_file,
                        const char *allowed_file, Error *error);

/** PeerKeys_Destroy() - wipe and release; NULL is allowed */
void PeerKeys_Destroy(PeerKeys *this);

/** PeerKeys_Allows() - true if a peer with this public key may connect */
bool PeerKeys_Allows(const PeerKeys *this, const uint8_t *public_key);

/**
 * PeerKeys_Generate() - write a new pair of key files
 *
 * The secret file is created with mode 0600. Existing files are kept and
 * give ERR_CONFLICT.
 */
int PeerKeys_Generate(const char *public_file, const char *secret_file,
                      Error *error);

#endif
