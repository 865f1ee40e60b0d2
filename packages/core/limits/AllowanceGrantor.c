#include "AllowanceGrantor.h"

#include <glib.h>
#include <math.h>

/* A new bucket holds this many requests, and this part of the tolerance. */
#define START_TOKENS 4.0
#define START_TOLERANCE_RATIO 0.25
/* A deputy accumulates no more than a new bucket and what the rate allows in
 * this time. */
#define DEPUTY_BURST_S 0.25
/* Bounds of the time after which a host that got too little asks again. */
#define WAIT_MIN_US (50 * MICROS_PER_MS)
#define WAIT_MAX_US (250 * MICROS_PER_MS)
/* A host that got too little asks again sooner than this while its callers go
 * on. A longer pause shows that another host was asked, so no more than what
 * this time brings was left unused. */
#define CONTENDED_TIME_MAX_US (300 * MICROS_PER_MS)
/* Buckets beyond this number replace full ones, which are as good as new. */
#define BUCKETS_MAX 16384

typedef struct Bucket_ {
    GString *customer;
    double tokens;
    Micros refilled_at;
    double asked;    /* requests asked for, decaying over WAIT_MAX_US */
    Micros short_at; /* last time that a host got too little */
} Bucket;

struct AllowanceGrantor_ {
    const Clock *clock;
    GHashTable *buckets; /* Bucket by its customer */
};

static void
destroy_bucket(gpointer data)
{
    Bucket *bucket = data;

    g_string_free(bucket->customer, TRUE);
    g_free(bucket);
}

AllowanceGrantor *
AllowanceGrantor_Create(const Clock *clock)
{
    AllowanceGrantor *this = g_new0(AllowanceGrantor, 1);

    this->clock = clock;
    this->buckets = g_hash_table_new_full((GHashFunc)g_string_hash,
                                          (GEqualFunc)g_string_equal, NULL,
                                          destroy_bucket);
    return this;
}

void
AllowanceGrantor_Destroy(AllowanceGrantor *this)
{
    if (this != NULL) {
        g_hash_table_destroy(this->buckets);
        g_free(this);
    }
}

static double
start_tokens(const AllowanceLimit *limit)
{
    return START_TOKENS + START_TOLERANCE_RATIO * limit->tolerance;
}

static double
capacity_of(const AllowanceLimit *limit, bool deputy)
{
    double capacity = MAX(limit->burst, 1) + limit->tolerance;

    return deputy ? MIN(capacity, start_tokens(limit) +
                                      DEPUTY_BURST_S * limit->rate_per_s)
                  : capacity;
}

static gboolean
is_idle(gpointer key, gpointer value, gpointer user)
{
    const AllowanceGrantor *this = user;
    const Bucket *bucket = value;

    return Clock_Now(this->clock) - bucket->refilled_at > 60 * MICROS_PER_S;
}

static Bucket *
bucket_of(AllowanceGrantor *this, const AllowanceLimit *limit, double capacity)
{
    GString *key = Str_ToString(limit->customer);
    Bucket *bucket = g_hash_table_lookup(this->buckets, key);

    if (bucket != NULL) {
        g_string_free(key, TRUE);
        return bucket;
    }
    if (g_hash_table_size(this->buckets) >= BUCKETS_MAX) {
        g_hash_table_foreach_remove(this->buckets, is_idle, this);
    }
    bucket = g_new0(Bucket, 1);
    bucket->customer = key;
    bucket->tokens = MIN(capacity, start_tokens(limit));
    bucket->refilled_at = Clock_Now(this->clock);
    bucket->short_at = -CONTENDED_TIME_MAX_US;
    g_hash_table_insert(this->buckets, key, bucket);
    return bucket;
}

static void
refill(AllowanceGrantor *this, Bucket *bucket, const AllowanceLimit *limit,
       double capacity)
{
    Micros now = Clock_Now(this->clock);
    Micros passed = now - bucket->refilled_at;

    bucket->asked *= exp(-(double)passed / WAIT_MAX_US);
    if (bucket->refilled_at - bucket->short_at <= CONTENDED_TIME_MAX_US) {
        passed = MIN(passed, CONTENDED_TIME_MAX_US);
    }
    bucket->tokens += limit->rate_per_s * (double)passed / MICROS_PER_S;
    bucket->tokens = MIN(bucket->tokens, capacity);
    bucket->refilled_at = now;
}

/* Returns about the time in which the rate serves all that was asked for. */
static Micros
wait_of(const Bucket *bucket, const AllowanceLimit *limit)
{
    double missing = MAX(bucket->asked, 1) - bucket->tokens;
    double wait = missing / limit->rate_per_s * MICROS_PER_S;

    return wait < WAIT_MAX_US ? MAX((Micros)wait, WAIT_MIN_US) : WAIT_MAX_US;
}

AllowanceGrant
AllowanceGrantor_Grant(AllowanceGrantor *this, const AllowanceLimit *limit,
                       uint32_t wanted, bool deputy)
{
    double capacity = capacity_of(limit, deputy);
    AllowanceGrant grant = {.granted = wanted};
    Bucket *bucket;

    if (!(limit->rate_per_s > 0)) {
        return grant;
    }
    bucket = bucket_of(this, limit, capacity);
    refill(this, bucket, limit, capacity);
    bucket->asked += wanted;
    grant.granted = MIN(wanted, (uint32_t)bucket->tokens);
    bucket->tokens -= grant.granted;
    if (grant.granted < wanted) {
        bucket->short_at = bucket->refilled_at;
        grant.wait = wait_of(bucket, limit);
    }
    return grant;
}

uint32_t
AllowanceGrantor_Count(const AllowanceGrantor *this)
{
    return g_hash_table_size(this->buckets);
}
