#ifndef AGATECRANK_CORE_CLAIMHOLDERS_H
#define AGATECRANK_CORE_CLAIMHOLDERS_H

#include "Str.h"

/**
 * typedef ClaimHolders - reference-counted table of the holders of keys
 *
 * A holder is a pair of host name and incarnation. Each remembered key
 * refers to its holder by a small number; the name is kept once, while any
 * key refers to it.
 */
typedef struct ClaimHolders_ ClaimHolders;

/* Limit of the numbers, because ClaimEntry stores one in 28 bits. */
#define CLAIM_HOLDERS_MAX ((uint32_t)1 << 28)

ClaimHolders *ClaimHolders_Create(void);
void ClaimHolders_Destroy(ClaimHolders *this);

/** ClaimHolders_Ref() - add one reference and return the number */
uint32_t ClaimHolders_Ref(ClaimHolders *this, Str host, uint64_t incarnation);

/** ClaimHolders_Unref() - release one reference; the last one frees it */
void ClaimHolders_Unref(ClaimHolders *this, uint32_t holder);

/** ClaimHolders_Host() - host name; valid while a reference is held */
Str ClaimHolders_Host(const ClaimHolders *this, uint32_t holder);

/** ClaimHolders_Incarnation() - incarnation of the holder */
uint64_t ClaimHolders_Incarnation(const ClaimHolders *this, uint32_t holder);

/** ClaimHolders_Bytes() - memory of all holders, in bytes */
size_t ClaimHolders_Bytes(const ClaimHolders *this);

#endif
