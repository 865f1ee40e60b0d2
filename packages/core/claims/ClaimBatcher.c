#include "ClaimBatcher.h"

#include <string.h>

typedef struct QueuedClaim_ {
    Claim claim;
    char host[CLAIM_HOST_MAX_BYTES];
} QueuedClaim;

struct ClaimBatcher_ {
    double rate;
    double burst;
    double tokens;   /* at the time of the last refill */
    Micros refilled; /* time of the last refill */
    GQueue items;    /* QueuedClaim */
};

ClaimBatcher *
ClaimBatcher_Create(double rate, double burst, Micros now)
{
    ClaimBatcher *this = g_new0(ClaimBatcher, 1);

    this->rate = rate;
    this->burst = burst;
    this->tokens = burst;
    this->refilled = now;
    g_queue_init(&this->items);
    return this;
}

void
ClaimBatcher_Destroy(ClaimBatcher *this)
{
    ClaimBatcher_Clear(this);
    g_free(this);
}

static void
refill(ClaimBatcher *this, Micros now)
{
    if (now <= this->refilled) {
        return;
    }
    this->tokens += this->rate * (double)(now - this->refilled) / MICROS_PER_S;
    this->tokens = MIN(this->tokens, this->burst);
    this->refilled = now;
}

void
ClaimBatcher_SetRate(ClaimBatcher *this, double rate, Micros now)
{
    refill(this, now);
    this->rate = rate;
}

bool
ClaimBatcher_Add(ClaimBatcher *this, const Claim *claim)
{
    QueuedClaim *item;

    if (this->items.length >= CLAIM_BATCHER_ITEMS_MAX ||
        claim->host.length > CLAIM_HOST_MAX_BYTES) {
        return false;
    }
    item = g_new(QueuedClaim, 1);
    item->claim = *claim;
    memcpy(item->host, claim->host.data, claim->host.length);
    item->claim.host.data = item->host;
    g_queue_push_tail(&this->items, item);
    return true;
}

void
ClaimBatcher_Clear(ClaimBatcher *this)
{
    g_queue_clear_full(&this->items, g_free);
}

size_t
ClaimBatcher_Count(const ClaimBatcher *this)
{
    return this->items.length;
}

bool
ClaimBatcher_TakeToken(ClaimBatcher *this, Micros now)
{
    refill(this, now);
    /* Tolerates rounding, which would delay a due token by a microsecond. */
    if (this->tokens < 1.0 - 1e-6) {
        return false;
    }
    this->tokens -= 1.0;
    return true;
}

Micros
ClaimBatcher_NextToken(const ClaimBatcher *this)
{
    double missing = 1.0 - this->tokens;

    if (missing <= 0) {
        return this->refilled;
    }
    return this->refilled + (Micros)(missing / this->rate * MICROS_PER_S) + 1;
}

void
ClaimBatcher_TakeBatch(ClaimBatcher *this, uint32_t partitions,
                       GString *record)
{
    size_t n = MIN(this->items.length, CLAIM_RECORD_ITEMS_MAX);
    Claim *claims = g_new(Claim, n);
    QueuedClaim **items = g_new(QueuedClaim *, n);

    for (size_t i = 0; i < n; i++) {
        items[i] = g_queue_pop_head(&this->items);
        claims[i] = items[i]->claim;
    }
    ClaimRecord_Write(partitions, claims, n, record);
    for (size_t i = 0; i < n; i++) {
        g_free(items[i]);
    }
    g_free(items);
    g_free(claims);
}
