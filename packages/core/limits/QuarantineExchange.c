#include "QuarantineExchange.h"

#include <glib.h>

#include "Error.h"

/* Delay after a failed batch; doubled up to the maximum with each further
 * failure. */
#define RETRY_DELAY_MIN_US (200 * MICROS_PER_MS)
#define RETRY_DELAY_MAX_US (800 * MICROS_PER_MS)
/* Removals are not urgent, and one batch of many costs less than many. */
#define REMOVE_INTERVAL_US (30 * MICROS_PER_S)
/* Token bucket for items of peers. It holds as many as a Quarantine keeps by
 * default, so that a host that starts can read them all. */
#define RECEIVED_PER_S 200
#define RECEIVED_BURST 4096

struct QuarantineExchange_ {
    Quarantine *quarantine;
    QuarantineExchangeOptions options;
    const Clock *clock;
    Random *random;
    QuarantineExchangeStats stats;
    Fingerprint batch[QUARANTINE_BATCH_MAX];
    size_t batch_count;
    Micros next_batch_at;
    Micros remove_at;
    Micros retry_delay;
    double tokens;
    Micros tokens_at;
};

QuarantineExchange *
QuarantineExchange_Create(Quarantine *quarantine,
                          const QuarantineExchangeOptions *options,
                          const Clock *clock, Random *random)
{
    QuarantineExchange *this = g_new0(QuarantineExchange, 1);

    this->quarantine = quarantine;
    this->options = *options;
    this->clock = clock;
    this->random = random;
    this->tokens = RECEIVED_BURST;
    this->tokens_at = Clock_Now(clock);
    this->remove_at =
        this->tokens_at + Random_Jitter(random, REMOVE_INTERVAL_US);
    return this;
}

void
QuarantineExchange_Destroy(QuarantineExchange *this)
{
    g_free(this);
}

static size_t
take_items(QuarantineExchange *this, QuarantineItem *items)
{
    size_t n = 0;

    while (n < QUARANTINE_BATCH_MAX &&
           Quarantine_NextItem(this->quarantine, &items[n])) {
        this->batch[n] = items[n].fingerprint;
        n++;
    }
    return n;
}

static size_t
take_removals(QuarantineExchange *this, QuarantineItem *items, size_t n)
{
    Micros now = Clock_Now(this->clock);

    if (!this->options.removes || now < this->remove_at) {
        return n;
    }
    this->remove_at = now + Random_Jitter(this->random, REMOVE_INTERVAL_US);
    while (n < QUARANTINE_BATCH_MAX &&
           Quarantine_NextForgotten(this->quarantine, &this->batch[n])) {
        items[n] = (QuarantineItem){.fingerprint = this->batch[n]};
        n++;
    }
    return n;
}

size_t
QuarantineExchange_NextBatch(QuarantineExchange *this, QuarantineItem *items)
{
    Micros now = Clock_Now(this->clock);

    if (this->batch_count > 0 || now < this->next_batch_at) {
        return 0;
    }
    this->batch_count = take_removals(this, items, take_items(this, items));
    if (this->batch_count > 0) {
        this->next_batch_at = now + this->options.interval;
        this->stats.batches++;
    }
    return this->batch_count;
}

Micros
QuarantineExchange_NextTime(QuarantineExchange *this)
{
    Micros next = Quarantine_NextSendTime(this->quarantine);

    if (this->batch_count > 0) {
        return -1;
    }
    if (this->options.removes) {
        next = next < 0 ? this->remove_at : MIN(next, this->remove_at);
    }
    return next < 0 ? -1 : MAX(next, this->next_batch_at);
}

void
QuarantineExchange_OnBatchEnd(QuarantineExchange *this, int code)
{
    size_t n = this->batch_count;

    this->batch_count = 0;
    if (code == 0) {
        this->retry_delay = 0;
        this->stats.sent += n;
        return;
    }
    for (size_t i = 0; i < n; i++) {
        Quarantine_Resend(this->quarantine, &this->batch[i]);
    }
    this->stats.failed_batches++;
    this->retry_delay =
        CLAMP(2 * this->retry_delay, RETRY_DELAY_MIN_US, RETRY_DELAY_MAX_US);
    this->next_batch_at =
        MAX(this->next_batch_at,
            Clock_Now(this->clock) +
                Random_Jitter(this->random, this->retry_delay));
}

static bool
take_token(QuarantineExchange *this)
{
    Micros now = Clock_Now(this->clock);

    this->tokens +=
        (double)(now - this->tokens_at) / MICROS_PER_S * RECEIVED_PER_S;
    this->tokens = MIN(this->tokens, RECEIVED_BURST);
    this->tokens_at = now;
    if (this->tokens < 1) {
        return false;
    }
    this->tokens--;
    return true;
}

int
QuarantineExchange_Receive(QuarantineExchange *this,
                           const QuarantineItem *item)
{
    int code = take_token(this) ? Quarantine_OnPeerItem(this->quarantine, item)
                                : ERR_LIMIT;

    switch (code) {
    case 0:
        this->stats.accepted++;
        break;
    case ERR_LIMIT:
        this->stats.over_limit++;
        break;
    case ERR_EXPIRED:
        this->stats.expired++;
        break;
    default:
        this->stats.invalid++;
        break;
    }
    return code;
}

QuarantineExchangeStats
QuarantineExchange_Stats(const QuarantineExchange *this)
{
    return this->stats;
}
