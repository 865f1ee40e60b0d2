#ifndef AGATECRANK_CORE_CLAIMBATCHER_H
#define AGATECRANK_CORE_CLAIMBATCHER_H

#include "ClaimRecord.h"
#include "Clock.h"

/** typedef ClaimBatcher - queue of claims with an append-rate budget */
typedef struct ClaimBatcher_ ClaimBatcher;

/* Claims held at most; one that finds no room is resubmitted by its host. */
#define CLAIM_BATCHER_ITEMS_MAX 20000

/**
 * ClaimBatcher_Create() - an empty queue with a full token bucket
 * @rate: appends a second
 * @burst: appends that may be made at once after a pause
 */
ClaimBatcher *ClaimBatcher_Create(double rate, double burst, Micros now);
void ClaimBatcher_Destroy(ClaimBatcher *this);

/** ClaimBatcher_SetRate() - change the rate from now on */
void ClaimBatcher_SetRate(ClaimBatcher *this, double rate, Micros now);

/** ClaimBatcher_Add() - queue a copy; false if there is no room */
bool ClaimBatcher_Add(ClaimBatcher *this, const Claim *claim);

/** ClaimBatcher_Clear() - drop the queued claims */
void ClaimBatcher_Clear(ClaimBatcher *this);

/** ClaimBatcher_Count() - claims queued */
size_t ClaimBatcher_Count(const ClaimBatcher *this);

/** ClaimBatcher_TakeToken() - true if an append is within the budget */
bool ClaimBatcher_TakeToken(ClaimBatcher *this, Micros now);

/** ClaimBatcher_NextToken() - time from which an append is in the budget */
Micros ClaimBatcher_NextToken(const ClaimBatcher *this);

/** ClaimBatcher_TakeBatch() - move the oldest claims into a record */
void ClaimBatcher_TakeBatch(ClaimBatcher *this, uint32_t partitions,
                            GString *record);

#endif
