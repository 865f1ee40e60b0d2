#ifndef AGATECRANK_CORE_CLAIMRECORD_H
#define AGATECRANK_CORE_CLAIMRECORD_H

#include <glib.h>

#include "Error.h"
#include "IdempotencyKey.h"

/* Version of the records written, and the newest `minimum_reader` whose
 * records this reader accepts. */
#define CLAIM_RECORD_VERSION 1
/* Limit of the claims in a record. At up to 100 bytes each they fit into
 * 256 KiB. */
#define CLAIM_RECORD_ITEMS_MAX 2000
/* Longest host name in a claim, in bytes. */
#define CLAIM_HOST_MAX_BYTES 64
/* A claim is void if the time inside its key is more than this ahead of the
 * append time. This is part of the protocol and must be the same on all
 * hosts. */
#define CLAIM_FUTURE_MAX_MS ((uint64_t)120000)

/**
 * struct Claim_ - claim of a host to run the request of a key
 *
 * Only the first claim for a key in the log takes effect.
 *
 * @key: hash of the key, its line and its caller
 * @digest: digest of the request (method, target, body)
 * @host: host that claims the key
 * @incarnation: of @host
 * @number: unique within the incarnation
 * @key_time_ms: time inside the key, milliseconds since 1970
 */
typedef struct Claim_ {
    KeyHash key;
    uint64_t digest;
    Str host;
    uint64_t incarnation;
    uint64_t number;
    uint64_t key_time_ms;
} Claim;

/** typedef ClaimVisitor - called for each well-formed claim of a record */
typedef void ClaimVisitor(void *user, const Claim *claim);

/**
 * ClaimRecord_Write() - append one encoded record to @out
 * @partitions: number of claims streams that the writer uses
 * @claims: at most CLAIM_RECORD_ITEMS_MAX; a record without claims is a marker
 */
void ClaimRecord_Write(uint32_t partitions, const Claim *claims, size_t n,
                       GString *out);

/**
 * ClaimRecord_Read() - decode one record
 * @partitions: set to the number that the writer used
 * @visit: called for each well-formed claim in order
 *
 * Return: number of malformed claims, which are skipped; ERR_PARSE if the
 * record is malformed (every host skips it alike); or ERR_PROTOCOL if it
 * needs a newer reader.
 */
int ClaimRecord_Read(Str record, uint32_t *partitions, ClaimVisitor *visit,
                     void *user);

#endif
