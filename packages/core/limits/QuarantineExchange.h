#ifndef AGATECRANK_CORE_QUARANTINEEXCHANGE_H
#define AGATECRANK_CORE_QUARANTINEEXCHANGE_H

#include "Quarantine.h"
#include "Random.h"

/**
 * typedef QuarantineExchange - items of a Quarantine to and from the peers
 *
 * Independent of the channel, which may be gossip or a log. Bounds what this
 * host sends and what it accepts, and checks each item before it is merged.
 */
typedef struct QuarantineExchange_ QuarantineExchange;

/** Items in one batch, at most */
#define QUARANTINE_BATCH_MAX 32

/**
 * struct QuarantineExchangeOptions_ - settings
 * @interval: shortest time between the starts of two batches; 0 for none
 * @removes: the channel keeps an item until it is removed, so the batches
 *           contain forgotten fingerprints, too
 */
typedef struct QuarantineExchangeOptions_ {
    Micros interval;
    bool removes;
} QuarantineExchangeOptions;

/** struct QuarantineExchangeStats_ - items, batches and rejections so far */
typedef struct QuarantineExchangeStats_ {
    uint64_t sent;
    uint64_t batches;
    uint64_t failed_batches;
    uint64_t accepted;
    uint64_t invalid;
    uint64_t expired;
    uint64_t over_limit;
} QuarantineExchangeStats;

/** QuarantineExchange_Create() - all pointers are borrowed */
QuarantineExchange *
QuarantineExchange_Create(Quarantine *quarantine,
                          const QuarantineExchangeOptions *options,
                          const Clock *clock, Random *random);

/** QuarantineExchange_Destroy() - NULL is allowed */
void QuarantineExchange_Destroy(QuarantineExchange *this);

/**
 * QuarantineExchange_NextBatch() - take the items to send now
 * @items: output, with capacity for QUARANTINE_BATCH_MAX
 *
 * Return: their number; 0 if there is none, the interval has not passed or the
 * last batch has not ended.
 */
size_t QuarantineExchange_NextBatch(QuarantineExchange *this,
                                    QuarantineItem *items);

/**
 * QuarantineExchange_NextTime() - when the next batch may be due, or -1 if that
 * depends on the end of the current one
 */
Micros QuarantineExchange_NextTime(QuarantineExchange *this);

/**
 * QuarantineExchange_OnBatchEnd() - the batch has ended
 * @code: 0, or an error, after which its items are sent again, as they may or
 *        may not have reached the peers
 */
void QuarantineExchange_OnBatchEnd(QuarantineExchange *this, int code);

/**
 * QuarantineExchange_Receive() - check and merge an item of a peer
 *
 * Return: 0; ERR_LIMIT if too many arrived in the last second; otherwise see
 * Quarantine_OnPeerItem().
 */
int QuarantineExchange_Receive(QuarantineExchange *this,
                               const QuarantineItem *item);

/** QuarantineExchange_Stats() - what was sent and accepted so far */
QuarantineExchangeStats
QuarantineExchange_Stats(const QuarantineExchange *this);

#endif
