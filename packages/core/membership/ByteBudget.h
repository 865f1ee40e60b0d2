#ifndef AGATECRANK_CORE_BYTEBUDGET_H
#define AGATECRANK_CORE_BYTEBUDGET_H

#include <stddef.h>

#include "Clock.h"
#include "Gossip.h"

/** Framing of one message: TCP and IP headers 40 to 52, ZMTP 9, CURVE 33 */
#define BUDGET_FRAMING_BYTES 100
/** Burst: a regular round of 200 hosts takes 1,840 bytes. Rate and burst make
 * up the budget of any second, so that a larger burst lowers the rate. */
#define BUDGET_BURST_BYTES 2200
/** Least room for a message that is worth sending */
#define BUDGET_MESSAGE_MIN_BYTES 250

/**
 * struct ByteBudget_ - bytes that a host may send in any second
 * @rate: bytes/s that come in
 * @tokens: bytes that may be sent now
 * @reserve: what the next regular round needs, moving average
 */
typedef struct ByteBudget_ {
    double rate;
    double tokens;
    double reserve;
    Micros refilled;
} ByteBudget;

/** ByteBudget_Init() - @reserve is a first guess */
void ByteBudget_Init(ByteBudget *this, uint32_t bytes_per_s, double reserve,
                     Micros now);

/** ByteBudget_Refill() - let time pass */
void ByteBudget_Refill(ByteBudget *this, Micros now);

/** ByteBudget_Available() - length that a message may have now; 0: none */
size_t ByteBudget_Available(const ByteBudget *this);

/**
 * ByteBudget_Unreserved() - as _Room(), leaving what a round after @until_round
 * needs
 */
size_t ByteBudget_Unreserved(const ByteBudget *this, Micros until_round);

/** ByteBudget_Spend() - a message of @length bytes was sent */
void ByteBudget_Spend(ByteBudget *this, size_t length);

/** ByteBudget_RecordRound() - a round of regular messages took @bytes */
void ByteBudget_RecordRound(ByteBudget *this, double bytes);

#endif
