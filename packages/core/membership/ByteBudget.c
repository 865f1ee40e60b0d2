#include "ByteBudget.h"

#define MOVING_SHARE 8
#define RATE_MIN 1.0
/* A process starts with two small messages: with a full burst, a host that
 * restarts within a second would exceed the budget together with its earlier
 * life. */
#define START_BYTES (2 * (BUDGET_MESSAGE_MIN + BUDGET_FRAME_BYTES))

void
ByteBudget_Init(ByteBudget *this, uint32_t bytes_per_s, double reserve,
                Micros now)
{
    double rate = (double)bytes_per_s - BUDGET_BURST_BYTES;

    this->rate = rate > RATE_MIN ? rate : RATE_MIN;
    this->tokens = START_BYTES;
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

static size_t
to_length(double tokens)
{
    double room = tokens - BUDGET_FRAME_BYTES;

    if (room < BUDGET_MESSAGE_MIN) {
        return 0;
    }
    return room > GOSSIP_MAX ? GOSSIP_MAX : (size_t)room;
}

size_t
ByteBudget_Room(const ByteBudget *this)
{
    return to_length(this->tokens);
}

size_t
ByteBudget_SpareRoom(const ByteBudget *this, Micros until)
{
    double coming = until > 0 ? this->rate * (double)until / MICROS_PER_S : 0;
    double needed = this->reserve - coming;

    return to_length(this->tokens - (needed > 0 ? needed : 0));
}

void
ByteBudget_Spend(ByteBudget *this, size_t length)
{
    this->tokens -= (double)length + BUDGET_FRAME_BYTES;
}

void
ByteBudget_NoteRound(ByteBudget *this, double bytes)
{
    this->reserve += (bytes - this->reserve) / MOVING_SHARE;
}
