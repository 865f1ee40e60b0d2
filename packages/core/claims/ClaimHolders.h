#ifndef AGATECRANK_CORE_CLAIMHOLDERS_H
#define AGATECRANK_CORE_CLAIMHOLDERS_H

#include "Str.h"

/**
 * typedef ClaimHolders - numbers for pairs of host and incarnation
 *
 * Each remembered key refers to its holder by a small number; the name is
 * kept once, as long as a key refers to it.
 */
typedef struct ClaimHolders_ ClaimHolders;

/* Numbers are below this, so that 28 bits hold one. */
#define CLAIM_HOLDERS_MAX ((uint32_t)1 << 28)

ClaimHolders *ClaimHolders_Create(void);
void ClaimHolders_Destroy(ClaimHolders *this);

/** ClaimHolders_Ref() - number of a holder; adds one reference */
uint32_t ClaimHolders_Ref(ClaimHolders *this, Str host, uint64_t incarnation);

/** ClaimHolders_Unref() - release one reference */
void ClaimHolders_Unref(ClaimHolders *this, uint32_t holder);

/** ClaimHolders_Host() - name; valid while a reference is held */
Str ClaimHolders_Host(const ClaimHolders *this, uint32_t holder);

/** ClaimHolders_Incarnation() - incarnation of the holder */
uint64_t ClaimHolders_Incarnation(const ClaimHolders *this, uint32_t holder);

/** ClaimHolders_Bytes() - memory of all holders */
size_t ClaimHolders_Bytes(const ClaimHolders *this);

#endif
