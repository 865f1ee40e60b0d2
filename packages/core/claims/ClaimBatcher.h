#ifndef AGATECRANK_CORE_CLAIMBATCHER_H
#define AGATECRANK_CORE_CLAIMBATCHER_H

#include "ClaimRecord.h"
#include "Clock.h"

/** typedef ClaimBatcher - queue of claims with a token bucket for appends */
typedef struct ClaimBatcher_ ClaimBatcher;

/* Capacity of the queue. The host of a claim that is dropped because the
 * queue is full resubmits it. */
#define CLAIM_BATCHER_ITEMS_MAX 20000

/**
 * ClaimBatcher_Create() - an empty queue with a full token bucket
 * @rate: refill rate of the bucket, in appends/s
 * @burst: capacity of the bucket, in appends
 * @now: monotonic time in microseconds
 */
ClaimBatcher *ClaimBatcher_Create(double rate, double burst, Micros now);
void ClaimBatcher_Destroy(ClaimBatcher *this);

/** ClaimBatcher_SetRate() - change the rate from @now on */
void ClaimBatcher_SetRate(ClaimBatcher *this, double rate, Micros now);

/** ClaimBatcher_Add() - queue a copy; false if full or @claim is invalid */
bool ClaimBatcher_Add(ClaimBatcher *this, const Claim *claim);

/** ClaimBatcher_Clear() - drop the queued claims */
void ClaimBatcher_Clear(ClaimBatcher *this);

/** ClaimBatcher_Count() - number of queued claims */
size_t ClaimBatcher_Count(const ClaimBatcher *this);

/** ClaimBatcher_TakeToken() - remove a token; false if there is none */
bool ClaimBatcher_TakeToken(ClaimBatcher *this, Micros now);

/** ClaimBatcher_NextToken() - time at which a token is available */
Micros ClaimBatcher_NextToken(const ClaimBatcher *this);

/**
 * ClaimBatcher_TakeBatch() - move the oldest claims into one record
 * @partitions: see ClaimRecord_Write()
 *
 * Without queued claims, the record is a marker.
 */
void ClaimBatcher_TakeBatch(ClaimBatcher *this, uint32_t partitions,
                            GString *record);

#endif
