#include "ByteBudget.h"

/* Divisor of the exponential moving average: the weight of the last round is
 * 1 / RESERVE_AVERAGE_DIVISOR. */
#define RESERVE_AVERAGE_DIVISOR 8
#define RATE_MIN_BYTES_PER_S 1.0
/* Enough for two short messages. With a full bucket, a host that restarts
 * within a second would exceed the limit together with its earlier
 * incarnation. */
#define INITIAL_TOKENS_BYTES                                                  \
    (2 * (BUDGET_MESSAGE_MIN_BYTES + BUDGET_FRAMING_BYTES))

void
ByteBudget_Init(ByteBudget *this, uint32_t bytes_per_s, double reserve,
                Micros now)
{
    double rate = (double)bytes_per_s - BUDGET_BURST_BYTES;

    this->rate = rate > RATE_MIN_BYTES_PER_S ? rate : RATE_MIN_BYTES_PER_S;
    this->tokens = INITIAL_TOKENS_BYTES;
    this->reserve = reserve;
    this->refilled = now;
}

void
ByteBudget_Refill(ByteBudget *this, Micros now)
{
    this->tokens += this->rate * (double)(now - this->refilled) / MICROS_PER_S;
    if (this->tokens > BUDGET_BURST_BYTES) {
        this->tokens = BUDGET_BURST_BYTES;
    }
    this->refilled = now;
}

/* Returns the largest length of a message without framing; 0 if it would be
 * shorter than BUDGET_MESSAGE_MIN_BYTES. */
static size_t
message_length(double tokens)
{
    double length = tokens - BUDGET_FRAMING_BYTES;

    if (length < BUDGET_MESSAGE_MIN_BYTES) {
        return 0;
    }
    return length > GOSSIP_MAX_BYTES ? GOSSIP_MAX_BYTES : (size_t)length;
}

size_t
ByteBudget_Available(const ByteBudget *this)
{
    return message_length(this->tokens);
}

size_t
ByteBudget_Unreserved(const ByteBudget *this, Micros until_round)
{
    double refill =
        until_round > 0 ? this->rate * (double)until_round / MICROS_PER_S : 0;
    double reserved = this->reserve - refill;

    return message_length(this->tokens - (reserved > 0 ? reserved : 0));
}

void
ByteBudget_Spend(ByteBudget *this, size_t length)
{
    this->tokens -= (double)length + BUDGET_FRAMING_BYTES;
}

void
ByteBudget_RecordRound(ByteBudget *this, double bytes)
{
    this->reserve += (bytes - this->reserve) / RESERVE_AVERAGE_DIVISOR;
}
