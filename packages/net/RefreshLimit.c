#include "RefreshLimit.h"

#include <glib.h>

#define ALL_BURST 6
#define ALL_INTERVAL_US (5 * MICROS_PER_S)
#define HOST_BURST 3
#define HOST_INTERVAL_US (10 * MICROS_PER_S)
/* Hosts whose buckets are not full. */
#define HOSTS_MAX 512

/* A token bucket, by the time at which it is full again. */
typedef struct Bucket_ {
    Micros full_at;
} Bucket;

struct RefreshLimit_ {
    const Clock *clock;
    Bucket all;
    GHashTable *hosts; /* Bucket by GString, owned */
};

RefreshLimit *
RefreshLimit_Create(const Clock *clock)
{
    RefreshLimit *this = g_new0(RefreshLimit, 1);

    this->clock = clock;
    this->all.full_at = Clock_Now(clock);
    this->hosts = g_hash_table_new_full((GHashFunc)g_string_hash,
                                        (GEqualFunc)g_string_equal,
                                        Str_FreeString, g_free);
    return this;
}

void
RefreshLimit_Destroy(RefreshLimit *this)
{
    if (this == NULL) {
        return;
    }
    g_hash_table_destroy(this->hosts);
    g_free(this);
}

static bool
has_token(const Bucket *bucket, int burst, Micros interval, Micros now)
{
    return bucket->full_at - now <= (burst - 1) * interval;
}

static void
take_token(Bucket *bucket, Micros interval, Micros now)
{
    bucket->full_at = MAX(bucket->full_at, now) + interval;
}

static gboolean
is_full(gpointer id, gpointer value, gpointer user)
{
    const Bucket *bucket = value;
    const Micros *now = user;

    return bucket->full_at <= *now;
}

/* Returns NULL if there are too many hosts. */
static Bucket *
bucket_of(RefreshLimit *this, Str host, Micros now)
{
    GString *id = Str_ToString(host);
    Bucket *bucket = g_hash_table_lookup(this->hosts, id);

    if (bucket == NULL && g_hash_table_size(this->hosts) >= HOSTS_MAX) {
        g_hash_table_foreach_remove(this->hosts, is_full, &now);
    }
    if (bucket != NULL || g_hash_table_size(this->hosts) >= HOSTS_MAX) {
        g_string_free(id, TRUE);
        return bucket;
    }
    bucket = g_new0(Bucket, 1);
    bucket->full_at = now;
    g_hash_table_insert(this->hosts, id, bucket);
    return bucket;
}

bool
RefreshLimit_Take(RefreshLimit *this, Str host)
{
    Micros now = Clock_Now(this->clock);
    Bucket *bucket;

    if (!has_token(&this->all, ALL_BURST, ALL_INTERVAL_US, now)) {
        return false;
    }
    bucket = bucket_of(this, host, now);
    if (bucket == NULL ||
        !has_token(bucket, HOST_BURST, HOST_INTERVAL_US, now)) {
        return false;
    }
    take_token(&this->all, ALL_INTERVAL_US, now);
    take_token(bucket, HOST_INTERVAL_US, now);
    return true;
}

void
RefreshLimit_Confirm(RefreshLimit *this, Str host)
{
    GString id = {(char *)host.data, host.length, 0};

    g_hash_table_remove(this->hosts, &id);
}
