#ifndef AGATECRANK_CORE_CLAIMTABLE_H
#define AGATECRANK_CORE_CLAIMTABLE_H

#include "ClaimHolders.h"
#include "IdempotencyKey.h"

/**
 * typedef ClaimTable - remembered keys in bounded memory
 *
 * Keys are forgotten in the order in which they were added. A key that is
 * not in the table may have been claimed if its time is below the floor, and
 * is unclaimed otherwise. Forgetting a key raises the floor above its time.
 */
typedef struct ClaimTable_ ClaimTable;

/** enum ClaimEntryState_ - state of a claimed key as known to this host */
typedef enum ClaimEntryState_ {
    ENTRY_OTHER_HOST, /* held by another host */
    ENTRY_RUNNING,    /* held by this host: dispatched */
    ENTRY_RAN,        /* held by this host: finished */
    ENTRY_NOT_RUN,    /* held by this host: has not run and never will */
    ENTRY_UNKNOWN,    /* held by this host: may have run */
} ClaimEntryState;

/**
 * struct ClaimEntry_ - one remembered key, 32 bytes
 * @time_s: time inside the key, rounded down, seconds since 1970
 * @holder: number in ClaimHolders
 * @state: a ClaimEntryState
 */
typedef struct ClaimEntry_ {
    KeyHash key;
    uint64_t digest;
    uint32_t time_s;
    unsigned holder : 28;
    unsigned state : 4;
} ClaimEntry;

/**
 * ClaimTable_Create() - an empty table with floor 0
 * @capacity: keys kept, at least 1
 * @holders: borrowed; each entry holds one reference
 * @keep_floor: injected fault: forgetting does not raise the floor
 */
ClaimTable *ClaimTable_Create(size_t capacity, ClaimHolders *holders,
                              bool keep_floor);
void ClaimTable_Destroy(ClaimTable *this);

/** ClaimTable_Find() - NULL if absent; valid until the next Add or Forget */
ClaimEntry *ClaimTable_Find(ClaimTable *this, KeyHash key);

/**
 * ClaimTable_Add() - remember an absent key, forgetting the oldest if full
 * @entry: copied; the table takes over its reference to the holder
 */
void ClaimTable_Add(ClaimTable *this, const ClaimEntry *entry);

/** ClaimTable_ForgetBefore() - drop the oldest entries before @time_ms */
void ClaimTable_ForgetBefore(ClaimTable *this, uint64_t time_ms);

/** ClaimTable_Floor() - time from which absent keys are unclaimed, in ms */
uint64_t ClaimTable_Floor(const ClaimTable *this);

/** ClaimTable_RaiseFloor() - raise the floor to at least @time_ms */
void ClaimTable_RaiseFloor(ClaimTable *this, uint64_t time_ms);

/** ClaimTable_Count() - number of remembered keys */
size_t ClaimTable_Count(const ClaimTable *this);

/** ClaimTable_Get() - entry @i in the order of adding */
const ClaimEntry *ClaimTable_Get(const ClaimTable *this, size_t i);

/** ClaimTable_Bytes() - memory of the entries and the index, in bytes */
size_t ClaimTable_Bytes(const ClaimTable *this);

#endif
