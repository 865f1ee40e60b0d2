#ifndef AGATECRANK_CORE_BYTEBUDGET_H
#define AGATECRANK_CORE_BYTEBUDGET_H

#include <stddef.h>

#include "Clock.h"
#include "Gossip.h"

/** BUDGET_FRAMING_BYTES - framing of one message: 40 to 52 bytes of TCP and IP
 * headers, 9 of ZMTP and 33 of CURVE */
#define BUDGET_FRAMING_BYTES 100
/** BUDGET_BURST_BYTES - capacity of the token bucket. A regular round of 200
 * hosts takes 1,840 bytes. The limit of any second is the sum of rate and
 * burst, so a larger burst leaves a lower rate. */
#define BUDGET_BURST_BYTES 2200
/** BUDGET_MESSAGE_MIN_BYTES - no message is sent while the budget allows only
 * a shorter one, which would spend much of it on framing */
#define BUDGET_MESSAGE_MIN_BYTES 250

/**
 * struct ByteBudget_ - token bucket that limits the bytes sent in any second
 * @rate: refill rate, in bytes/s
 * @tokens: bytes that may be sent now, framing included
 * @reserve: bytes to keep for the next regular round, as a moving average
 * @refilled: time of the last refill
 */
typedef struct ByteBudget_ {
    double rate;
    double tokens;
    double reserve;
    Micros refilled;
} ByteBudget;

/**
 * ByteBudget_Init() - initialize the bucket
 * @bytes_per_s: limit of any second, burst included
 * @reserve: initial estimate of the bytes of a regular round
 */
void ByteBudget_Init(ByteBudget *this, uint32_t bytes_per_s, double reserve,
                     Micros now);

/** ByteBudget_Refill() - add the tokens for the time since the last refill */
void ByteBudget_Refill(ByteBudget *this, Micros now);

/**
 * ByteBudget_Available() - longest message that may be sent now
 *
 * Return: length in bytes without framing; 0 if no message may be sent.
 */
size_t ByteBudget_Available(const ByteBudget *this);

/**
 * ByteBudget_Unreserved() - as ByteBudget_Available(), less the reserve
 * @until_round: time until the next regular round
 *
 * Tokens that arrive until that round count towards the reserve.
 */
size_t ByteBudget_Unreserved(const ByteBudget *this, Micros until_round);

/** ByteBudget_Spend() - account for a sent message of @length bytes */
void ByteBudget_Spend(ByteBudget *this, size_t length);

/** ByteBudget_RecordRound() - update the reserve: a regular round took @bytes
 */
void ByteBudget_RecordRound(ByteBudget *this, double bytes);

#endif
