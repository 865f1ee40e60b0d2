#include "UpstreamLimits.h"

#include <glib.h>
#include <math.h>

#define NO_LIMIT (-1.0)
/* Ratio of a limit to the one reported last above which it is reported as
 * changed; a limit may differ slightly in each response. */
#define REPORTED_CHANGE_RATIO 1.25
/* Hosts that share a limit: this many, and one more for each request per
 * second. If each of them sends a request at the same moment, the upstream gets
 * no more than it accepts in a few seconds. */
#define SHARING_HOSTS_MIN 3
/* A host accumulates one request and its part of this time. */
#define BURST_US (250 * MICROS_PER_MS)
/* Interval at which hosts that may not send an upstream anything probe it while
 * callers wait; longer with more hosts, so that it gets at most 80 such probes
 * a second. */
#define PROBE_INTERVAL_MIN_US (250 * MICROS_PER_MS)
#define PROBE_INTERVAL_PER_HOST_US (MICROS_PER_S / 80)
/* The same where probes name no limit and so do not end one. */
#define SILENT_PROBE_INTERVAL_MIN_US (1 * MICROS_PER_S)
#define SILENT_PROBE_INTERVAL_PER_HOST_US (50 * MICROS_PER_MS)
/* Where probes name no limit, a host without a part learns of its end only by a
 * request. All hosts together send such requests at this part of the limit, and
 * at most at this rate, because they may not have heard that it has fallen;
 * each one in a short time only, so that they do not accumulate. */
#define TRIAL_RATIO 0.25
#define TRIAL_RATE_MAX_PER_S 0.5
#define TRIAL_TIME_US (1 * MICROS_PER_S)
#define TRIAL_INTERVAL_MIN_US (10 * MICROS_PER_S)
#define TRIAL_INTERVAL_MAX_US (120 * MICROS_PER_S)
#define NOT_LISTED UINT32_MAX
/* Entries that lapsed are back within seconds if the upstream is alive. */
#define REMOVED_KEPT_US (30 * MICROS_PER_S)
#define REMOVED_MAX 1024

typedef struct Limit_ {
    double per_s;        /* in force: the lower one of the next two */
    double named_per_s;  /* by the upstream; NO_LIMIT for none */
    double warmup_per_s; /* until @warmup_until; NO_LIMIT for none */
    Micros warmup_until;
    double reported_per_s; /* at the last LimitChange */
    double part_per_s;     /* of this host */
    double tokens;         /* requests that this host may send now */
    Micros refilled_at;
    Micros heard_at; /* last response of the upstream */
    Micros named_at; /* last response that named the limit */
    Micros trial_at; /* start of the next trial, without a part */
    uint32_t instance;
    uint32_t list; /* number of the list that the part is computed from */
    bool named_by_probes; /* a probe has named the limit in force */
} Limit;

static const Limit no_limit = {
    .per_s = NO_LIMIT,
    .named_per_s = NO_LIMIT,
    .warmup_per_s = NO_LIMIT,
};

struct UpstreamLimits_ {
    const Clock *clock;
    Random *random;
    uint64_t own_key;
    GArray *host_keys; /* uint64_t */
    uint32_t list;     /* number of the list of hosts */
    Micros known_from;
    GArray *limits;      /* Limit by upstream */
    GHashTable *removed; /* Limit of an unlisted upstream by its instance */
    uint32_t count;      /* upstreams with a limit */
};

UpstreamLimits *
UpstreamLimits_Create(Str host, const Clock *clock, Random *random)
{
    UpstreamLimits *this = g_new0(UpstreamLimits, 1);

    this->clock = clock;
    this->random = random;
    this->own_key = Str_Hash(host);
    this->host_keys = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    this->limits = g_array_new(FALSE, TRUE, sizeof(Limit));
    this->removed = g_hash_table_new_full(NULL, NULL, NULL, g_free);
    return this;
}

void
UpstreamLimits_Destroy(UpstreamLimits *this)
{
    if (this == NULL) {
        return;
    }
    g_array_free(this->host_keys, TRUE);
    g_array_free(this->limits, TRUE);
    g_hash_table_destroy(this->removed);
    g_free(this);
}

static Limit *
limit_at(UpstreamLimits *this, uint32_t upstream)
{
    while (this->limits->len <= upstream) {
        Limit none = no_limit;

        g_array_append_val(this->limits, none);
    }
    return &g_array_index(this->limits, Limit, upstream);
}

/* Returns NULL without a limit. */
static Limit *
find_limit(const UpstreamLimits *this, uint32_t upstream)
{
    Limit *limit = upstream < this->limits->len
                       ? &g_array_index(this->limits, Limit, upstream)
                       : NULL;

    return limit != NULL && limit->per_s >= 0 ? limit : NULL;
}

/* ---- parts ----------------------------------------------------------- */

void
UpstreamLimits_SetHosts(UpstreamLimits *this, const Str *hosts, size_t count,
                        Micros known_from)
{
    g_array_set_size(this->host_keys, 0);
    for (size_t i = 0; i < count; i++) {
        uint64_t key = Str_Hash(hosts[i]);

        g_array_append_val(this->host_keys, key);
    }
    this->known_from = known_from;
    this->list++;
}

static uint64_t
weight_of(uint64_t host_key, uint32_t instance)
{
    return Str_HashSeeded((Str){(const char *)&host_key, sizeof(host_key)},
                          instance);
}

/* Returns the number of hosts that precede this one for the upstream. */
static uint32_t
rank(const UpstreamLimits *this, uint32_t instance)
{
    uint64_t own = weight_of(this->own_key, instance);
    bool listed = false;
    uint32_t before = 0;

    for (guint i = 0; i < this->host_keys->len; i++) {
        uint64_t key = g_array_index(this->host_keys, uint64_t, i);

        listed = listed || key == this->own_key;
        before += weight_of(key, instance) < own;
    }
    return listed ? before : NOT_LISTED;
}

static void
update_part(UpstreamLimits *this, Limit *limit)
{
    double sharing = MIN(SHARING_HOSTS_MIN + floor(limit->per_s),
                         (double)this->host_keys->len);

    limit->list = this->list;
    limit->part_per_s = (double)rank(this, limit->instance) < sharing
                            ? limit->per_s / sharing
                            : 0;
}

/* Brings part and tokens of the limit up to date. */
static void
refill(UpstreamLimits *this, Limit *limit)
{
    Micros now = Clock_Now(this->clock);
    Micros since = MAX(limit->refilled_at, this->known_from);
    double burst;

    if (limit->list != this->list) {
        update_part(this, limit);
    }
    burst = 1 + limit->part_per_s * BURST_US / MICROS_PER_S;
    if (now > since) {
        limit->tokens +=
            limit->part_per_s * (double)(now - since) / MICROS_PER_S;
    }
    limit->tokens = MIN(limit->tokens, burst);
    limit->refilled_at = now;
}

static bool
has_part(const UpstreamLimits *this, const Limit *limit)
{
    return limit->part_per_s > 0 && Clock_Now(this->clock) >= this->known_from;
}

/* Probes tell whether a warm-up goes on, and some of them named limits. */
static bool
ends_by_probe(const Limit *limit)
{
    return limit->named_by_probes || limit->named_per_s < 0;
}

static Micros
trial_interval(const UpstreamLimits *this, const Limit *limit)
{
    double rate = MIN(TRIAL_RATIO * limit->per_s, TRIAL_RATE_MAX_PER_S);
    double interval = this->host_keys->len * (double)MICROS_PER_S / rate;

    if (this->host_keys->len == 0 || !(interval < TRIAL_INTERVAL_MAX_US)) {
        return TRIAL_INTERVAL_MAX_US;
    }
    return MAX((Micros)interval, TRIAL_INTERVAL_MIN_US);
}

static void
schedule_trial(UpstreamLimits *this, Limit *limit)
{
    limit->trial_at = Clock_Now(this->clock) +
                      Random_Jitter(this->random, trial_interval(this, limit));
}

static bool
is_trial_due(UpstreamLimits *this, Limit *limit)
{
    Micros now = Clock_Now(this->clock);

    if (ends_by_probe(limit)) {
        return false;
    }
    if (now > limit->trial_at + TRIAL_TIME_US) {
        schedule_trial(this, limit);
    }
    return now >= limit->trial_at;
}

static LimitChange update_limit(UpstreamLimits *this, Limit *limit,
                                uint32_t instance);

/* Returns the limit in force, or NULL; a warm-up that is over ends here. */
static Limit *
current_limit(UpstreamLimits *this, uint32_t upstream)
{
    Limit *limit = this->count > 0 ? find_limit(this, upstream) : NULL;

    if (limit != NULL && limit->warmup_per_s >= 0 &&
        Clock_Now(this->clock) >= limit->warmup_until) {
        limit->warmup_per_s = NO_LIMIT;
        update_limit(this, limit, limit->instance);
        return find_limit(this, upstream);
    }
    return limit;
}

bool
UpstreamLimits_MaySend(UpstreamLimits *this, uint32_t upstream)
{
    Limit *limit = current_limit(this, upstream);

    if (limit == NULL) {
        return true;
    }
    refill(this, limit);
    return has_part(this, limit) ? limit->tokens >= 1
                                 : is_trial_due(this, limit);
}

void
UpstreamLimits_OnSent(UpstreamLimits *this, uint32_t upstream)
{
    Limit *limit = current_limit(this, upstream);

    if (limit == NULL) {
        return;
    }
    refill(this, limit);
    if (has_part(this, limit)) {
        limit->tokens -= 1;
    }
    else {
        schedule_trial(this, limit);
    }
}

Micros
UpstreamLimits_Wait(UpstreamLimits *this, uint32_t upstream)
{
    Limit *limit = current_limit(this, upstream);

    if (limit == NULL || UpstreamLimits_MaySend(this, upstream)) {
        return 0;
    }
    if (!has_part(this, limit)) {
        return -1;
    }
    return (Micros)((1 - limit->tokens) / limit->part_per_s * MICROS_PER_S);
}

static Micros
probe_interval(const UpstreamLimits *this, const Limit *limit)
{
    Micros hosts = this->host_keys->len;

    return ends_by_probe(limit)
               ? MAX(PROBE_INTERVAL_MIN_US, hosts * PROBE_INTERVAL_PER_HOST_US)
               : MAX(SILENT_PROBE_INTERVAL_MIN_US,
                     hosts * SILENT_PROBE_INTERVAL_PER_HOST_US);
}

bool
UpstreamLimits_IsProbeDue(UpstreamLimits *this, uint32_t upstream)
{
    const Limit *limit = current_limit(this, upstream);

    return limit != NULL && !UpstreamLimits_MaySend(this, upstream) &&
           Clock_Now(this->clock) - limit->heard_at >=
               probe_interval(this, limit);
}

double
UpstreamLimits_PartPerS(UpstreamLimits *this, uint32_t upstream)
{
    Limit *limit = current_limit(this, upstream);

    if (limit == NULL) {
        return NO_LIMIT;
    }
    refill(this, limit);
    return has_part(this, limit) ? limit->part_per_s : 0;
}

/* ---- limits ---------------------------------------------------------- */

static bool
is_valid(double per_s)
{
    return isfinite(per_s) && per_s >= 0 && per_s <= UPSTREAM_LIMIT_MAX_PER_S;
}

static void
end_limit(UpstreamLimits *this, Limit *limit)
{
    *limit = no_limit;
    this->count--;
}

/* A new limit starts without tokens: the host has just sent requests. */
static void
start_limit(UpstreamLimits *this, Limit *limit, uint32_t instance)
{
    limit->tokens = 0;
    limit->refilled_at = Clock_Now(this->clock);
    limit->instance = instance;
    schedule_trial(this, limit);
    this->count++;
}

/* Returns the lower rate of those that are in force. */
static double
lowest_rate(const Limit *limit)
{
    if (limit->named_per_s < 0 || limit->warmup_per_s < 0) {
        return MAX(limit->named_per_s, limit->warmup_per_s);
    }
    return MIN(limit->named_per_s, limit->warmup_per_s);
}

/* Puts the lowest rate in force after one of the rates has changed. */
static LimitChange
update_limit(UpstreamLimits *this, Limit *limit, uint32_t instance)
{
    double per_s = lowest_rate(limit);
    bool is_new = limit->per_s < 0;
    double low = MIN(per_s, limit->reported_per_s);
    double high = MAX(per_s, limit->reported_per_s);

    if (per_s < 0) {
        if (is_new) {
            return LIMIT_CHANGE_NONE;
        }
        end_limit(this, limit);
        return LIMIT_CHANGE_ENDED;
    }
    if (!is_new) {
        refill(this, limit);
    }
    limit->per_s = per_s;
    if (is_new) {
        start_limit(this, limit, instance);
    }
    update_part(this, limit);
    if (!is_new && high <= REPORTED_CHANGE_RATIO * low) {
        return LIMIT_CHANGE_NONE;
    }
    limit->reported_per_s = per_s;
    return is_new ? LIMIT_CHANGE_NAMED : LIMIT_CHANGE_UPDATED;
}

LimitChange
UpstreamLimits_OnResponse(UpstreamLimits *this, uint32_t upstream,
                          uint32_t instance, LimitNotice notice,
                          LimitSource source)
{
    Limit *limit = limit_at(this, upstream);

    limit->heard_at = Clock_Now(this->clock);
    switch (notice.kind) {
    case LIMIT_UNKNOWN:
        break;
    case LIMIT_ABSENT:
        if (limit->named_per_s < 0 ||
            (source == LIMIT_SOURCE_PROBE && !limit->named_by_probes)) {
            break;
        }
        limit->named_per_s = NO_LIMIT;
        limit->named_by_probes = false;
        return update_limit(this, limit, instance);
    case LIMIT_NAMED:
        if (!is_valid(notice.per_s)) {
            break;
        }
        limit->named_by_probes |= source == LIMIT_SOURCE_PROBE;
        limit->named_at = limit->heard_at;
        limit->named_per_s = notice.per_s;
        return update_limit(this, limit, instance);
    }
    return LIMIT_CHANGE_NONE;
}

LimitChange
UpstreamLimits_SetWarmup(UpstreamLimits *this, uint32_t upstream,
                         uint32_t instance, double per_s, Micros until)
{
    Limit *limit = limit_at(this, upstream);

    if (until <= Clock_Now(this->clock) || !is_valid(per_s)) {
        per_s = NO_LIMIT;
    }
    if (per_s < 0 && limit->warmup_per_s < 0) {
        return LIMIT_CHANGE_NONE;
    }
    limit->warmup_per_s = per_s;
    limit->warmup_until = until;
    return update_limit(this, limit, instance);
}

static gboolean
is_outdated(gpointer key, gpointer value, gpointer user)
{
    const UpstreamLimits *this = user;
    const Limit *limit = value;

    return Clock_Now(this->clock) - limit->heard_at > REMOVED_KEPT_US;
}

void
UpstreamLimits_OnRemoved(UpstreamLimits *this, uint32_t upstream)
{
    Limit *limit = find_limit(this, upstream);

    if (limit == NULL) {
        return;
    }
    g_hash_table_foreach_remove(this->removed, is_outdated, this);
    if (g_hash_table_size(this->removed) < REMOVED_MAX) {
        g_hash_table_insert(this->removed, GUINT_TO_POINTER(limit->instance),
                            g_memdup2(limit, sizeof(*limit)));
    }
    end_limit(this, limit);
}

void
UpstreamLimits_OnListed(UpstreamLimits *this, uint32_t upstream,
                        uint32_t instance)
{
    const Limit *kept =
        g_hash_table_lookup(this->removed, GUINT_TO_POINTER(instance));

    if (kept == NULL || find_limit(this, upstream) != NULL) {
        return;
    }
    if (!is_outdated(NULL, (gpointer)kept, this)) {
        *limit_at(this, upstream) = *kept;
        this->count++;
    }
    g_hash_table_remove(this->removed, GUINT_TO_POINTER(instance));
}

double
UpstreamLimits_PerS(const UpstreamLimits *this, uint32_t upstream)
{
    const Limit *limit = find_limit(this, upstream);

    return limit != NULL ? limit->per_s : NO_LIMIT;
}

Micros
UpstreamLimits_NamedAt(const UpstreamLimits *this, uint32_t upstream)
{
    const Limit *limit = find_limit(this, upstream);

    return limit != NULL ? limit->named_at : -1;
}

uint32_t
UpstreamLimits_Count(const UpstreamLimits *this)
{
    return this->count;
}
