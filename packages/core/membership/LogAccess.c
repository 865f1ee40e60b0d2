#include "LogAccess.h"

#include <glib.h>

/* Age of what a host knows at which it calls the log itself. With the time-outs
 * of relays and of the log it is known again within 2 s. */
#define KNOWN_AGE_MAX_US (1500 * MICROS_PER_MS)
/* Without a wait, a relay that still serves an old copy is read without pause. */
#define RELAY_WAIT_MIN_US (50 * MICROS_PER_MS)
/* While the log is unreachable, it is called only at this interval. Hosts whose
 * relays say that it is share a rate of calls. */
#define RETRY_INTERVAL_US (900 * MICROS_PER_MS)
#define RETRY_PER_HOST_US (15 * MICROS_PER_MS)
/* What relays say holds for this long. */
#define LOST_TIME_US (2 * MICROS_PER_S)
/* A host that has read the log goes on to do so for this long, whatever relays
 * say, as the log may serve some hosts only. */
#define ACCESS_TIME_US (5 * MICROS_PER_S)
#define PROBE_CHECK_INTERVAL_US (20 * MICROS_PER_MS)

struct LogAccess_ {
    const Clock *clock;
    uint64_t host_hash;
    size_t host_count;
    GHashTable *known_at; /* Micros by topic */
    Micros created_at;
    Micros served_at;  /* end of the last call that succeeded, or -1 */
    Micros failed_at;  /* end of the last call that failed, or -1 */
    Micros lost_at;    /* a relay said that it can't reach the log, or -1 */
    Micros retry_from; /* next turn in the shared rate */
    bool failed;       /* the last call */
    bool probing;
    bool has_relays;
    bool shares_rate;
};

LogAccess *
LogAccess_Create(Str host, const Clock *clock)
{
    LogAccess *this = g_new0(LogAccess, 1);

    this->clock = clock;
    this->host_hash = Str_Hash(host);
    this->known_at = g_hash_table_new_full((GHashFunc)g_string_hash,
                                           (GEqualFunc)g_string_equal,
                                           Str_FreeString, g_free);
    this->created_at = Clock_Now(clock);
    this->served_at = this->failed_at = this->lost_at = -1;
    return this;
}

void
LogAccess_Destroy(LogAccess *this)
{
    if (this == NULL) {
        return;
    }
    g_hash_table_destroy(this->known_at);
    g_free(this);
}

void
LogAccess_SetPlace(LogAccess *this, size_t host_count, bool has_relays,
                   bool shares_rate)
{
    this->host_count = host_count;
    this->has_relays = has_relays;
    this->shares_rate = shares_rate;
}

static Micros
now(const LogAccess *this)
{
    return Clock_Now(this->clock);
}

/* ---- what is known -------------------------------------------------- */

void
LogAccess_OnKnown(LogAccess *this, Str topic, Micros age)
{
    Micros *at = g_new(Micros, 1);

    *at = now(this) - age;
    g_hash_table_replace(this->known_at, Str_ToString(topic), at);
}

static Micros
known_at(const LogAccess *this, Str topic)
{
    GString *name = Str_ToString(topic);
    const Micros *at = g_hash_table_lookup(this->known_at, name);

    g_string_free(name, TRUE);
    return at != NULL ? *at : this->created_at;
}

Micros
LogAccess_Age(const LogAccess *this, Str topic)
{
    return now(this) - known_at(this, topic);
}

/* ---- calls ---------------------------------------------------------- */

static Micros
shared_interval(const LogAccess *this)
{
    return (Micros)this->host_count * RETRY_PER_HOST_US;
}

void
LogAccess_OnRelayLost(LogAccess *this)
{
    Micros spread = this->shares_rate ? shared_interval(this) : 0;

    if (this->lost_at < 0 || now(this) - this->lost_at > LOST_TIME_US) {
        this->retry_from = now(this);
        if (spread > 0) {
            this->retry_from += (Micros)(this->host_hash % (uint64_t)spread);
        }
    }
    this->lost_at = now(this);
}

/* Returns whether the log is out of reach, as far as this host knows. */
static bool
is_lost(const LogAccess *this)
{
    bool has_access = !this->failed && this->served_at >= 0 &&
                      now(this) - this->served_at <= ACCESS_TIME_US;

    return !has_access && this->lost_at >= 0 &&
           now(this) - this->lost_at <= LOST_TIME_US;
}

/* Returns when the log is called whatever relays say. */
static Micros
due_at(const LogAccess *this, Str topic)
{
    Micros known = known_at(this, topic);

    return topic.length > 0 && this->failed_at < known
               ? known + KNOWN_AGE_MAX_US
               : INT64_MAX;
}

Micros
LogAccess_CallDelay(const LogAccess *this, Str topic)
{
    if (!this->has_relays) {
        return 0;
    }
    if (this->probing) {
        return PROBE_CHECK_INTERVAL_US;
    }
    if (this->failed && now(this) - this->failed_at < RETRY_INTERVAL_US) {
        return this->failed_at + RETRY_INTERVAL_US - now(this);
    }
    return is_lost(this)
               ? MAX(MIN(this->retry_from, due_at(this, topic)) - now(this), 0)
               : 0;
}

bool
LogAccess_Begin(LogAccess *this)
{
    if (!this->has_relays || !(this->failed || is_lost(this))) {
        return false;
    }
    this->probing = true;
    if (this->shares_rate) {
        this->retry_from =
            now(this) + MAX(RETRY_INTERVAL_US, shared_interval(this));
    }
    return true;
}

void
LogAccess_End(LogAccess *this, bool probe, bool failed)
{
    this->failed = failed;
    if (failed) {
        this->failed_at = now(this);
    }
    else {
        this->served_at = now(this);
    }
    if (probe) {
        this->probing = false;
    }
}

bool
LogAccess_HasFailed(const LogAccess *this)
{
    return this->failed;
}

/* ---- relays --------------------------------------------------------- */

Micros
LogAccess_RelayWait(const LogAccess *this, Str topic, Micros longest)
{
    Micros left = KNOWN_AGE_MAX_US - LogAccess_Age(this, topic);

    return CLAMP(left, RELAY_WAIT_MIN_US, longest);
}

bool
LogAccess_IsOverdue(const LogAccess *this, Str topic)
{
    return LogAccess_Age(this, topic) > KNOWN_AGE_MAX_US;
}
