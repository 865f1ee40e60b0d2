#include "ServiceShares.h"

#include <math.h>

/* Interval at which the limit of a line is recomputed. */
#define REFRESH_INTERVAL_US (10 * MICROS_PER_MS)

/* Lines refreshed per request, in addition to the line of the request. */
#define REFRESH_LINE_COUNT 1

/* Interval at which known hosts are counted. A host is known if it sent a
 * level item within KNOWN_HOST_TIME_US; it has no demand for lines that it
 * does not report. */
#define COUNT_INTERVAL_US (100 * MICROS_PER_MS)
#define KNOWN_HOST_TIME_US (30 * MICROS_PER_S)

/* Bounds the memory that peer messages can cause to be allocated. */
#define HOSTS_MAX 4096

static void
free_line(gpointer data)
{
    ServiceLine *line = data;

    LineShare_Destroy(line->share);
    g_queue_clear_full(&line->queue, g_free);
    g_free(line);
}

ServiceShares *
ServiceShares_Create(uint32_t id, uint32_t hosts, Micros now)
{
    ServiceShares *this = g_new0(ServiceShares, 1);

    this->id = id;
    this->hosts = hosts;
    this->unreported_hosts = hosts - 1;
    this->level_control = LevelControl_Create();
    this->by_id =
        g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL, free_line);
    this->lines = g_ptr_array_new();
    this->summed_at = now - REFRESH_INTERVAL_US;
    this->counted_at = now - COUNT_INTERVAL_US;
    return this;
}

void
ServiceShares_Destroy(ServiceShares *this)
{
    if (this == NULL) {
        return;
    }
    LevelControl_Destroy(this->level_control);
    g_hash_table_destroy(this->by_id);
    g_ptr_array_free(this->lines, TRUE);
    g_free(this->last_level_at);
    g_free(this);
}

ServiceLine *
ServiceShares_FindLine(const ServiceShares *this, uint32_t line)
{
    return g_hash_table_lookup(this->by_id, GUINT_TO_POINTER(line));
}

void
ServiceShares_SetLine(ServiceShares *this, uint32_t id, double weight,
                      uint64_t seed, Micros now)
{
    ServiceLine *line = ServiceShares_FindLine(this, id);

    if (line == NULL) {
        line = g_new0(ServiceLine, 1);
        line->id = id;
        line->share = LineShare_Create(this->hosts, seed, now);
        line->refreshed_at = now - REFRESH_INTERVAL_US;
        g_queue_init(&line->queue);
        g_hash_table_insert(this->by_id, GUINT_TO_POINTER(id), line);
        g_ptr_array_add(this->lines, line);
    }
    this->total_weight += weight - line->weight;
    line->weight = weight;
}

void
ServiceShares_RemoveLine(ServiceShares *this, ServiceLine *line)
{
    this->total_weight -= line->weight;
    this->queued -= line->queue.length;
    g_ptr_array_remove_fast(this->lines, line);
    g_hash_table_remove(this->by_id, GUINT_TO_POINTER(line->id));
}

void
ServiceShares_SetHosts(ServiceShares *this, uint32_t hosts)
{
    this->hosts = hosts;
    for (guint i = 0; i < this->lines->len; i++) {
        const ServiceLine *line = g_ptr_array_index(this->lines, i);

        LineShare_SetHosts(line->share, hosts);
    }
}

void
ServiceShares_SplitEvenly(ServiceShares *this, double slots)
{
    for (guint i = 0; i < this->lines->len; i++) {
        const ServiceLine *line = g_ptr_array_index(this->lines, i);

        LineShare_SetAllowance(line->share,
                               slots * ServiceShares_WeightRatio(this, line) /
                                   this->hosts);
    }
}

double
ServiceShares_WeightRatio(const ServiceShares *this, const ServiceLine *line)
{
    return line->weight / this->total_weight;
}

static void
count_unreported_hosts(ServiceShares *this, Micros now)
{
    uint32_t known = 0;

    if (now - this->counted_at < COUNT_INTERVAL_US) {
        return;
    }
    this->counted_at = now;
    for (uint32_t i = 0; i < this->last_level_capacity; i++) {
        known += this->last_level_at[i] >= 0 &&
                 now - this->last_level_at[i] <= KNOWN_HOST_TIME_US;
    }
    known = MIN(known, this->hosts - 1);
    this->unreported_hosts = this->hosts - 1 - known;
}

/* Water-filling: the level at which the demands of the lines, each capped
 * at its part of the level, sum up to @capacity; infinite if there is
 * enough for all. Each round subtracts the lines below the level of the
 * previous round. */
static double
water_fill_level(const ServiceShares *this, double capacity)
{
    double level = 0;

    for (;;) {
        double remaining = capacity;
        double weight_ratio_sum = 0;

        for (guint i = 0; i < this->lines->len; i++) {
            const ServiceLine *line = g_ptr_array_index(this->lines, i);
            double weight_ratio = ServiceShares_WeightRatio(this, line);

            if (line->total_demand > level * weight_ratio) {
                weight_ratio_sum += weight_ratio;
            }
            else {
                remaining -= line->total_demand;
            }
        }
        if (weight_ratio_sum <= 0) {
            return INFINITY;
        }
        if (remaining / weight_ratio_sum <= level * 1.001) {
            return level;
        }
        level = remaining / weight_ratio_sum;
    }
}

static void
update_demand(ServiceShares *this, Micros now)
{
    double highest_demand = 0;
    double sum = 0;
    double capacity;

    if (now - this->summed_at < REFRESH_INTERVAL_US) {
        return;
    }
    this->summed_at = now;
    for (guint i = 0; i < this->lines->len; i++) {
        const ServiceLine *line = g_ptr_array_index(this->lines, i);

        highest_demand =
            fmax(highest_demand,
                 line->total_demand / ServiceShares_WeightRatio(this, line));
        sum += line->total_demand;
    }
    LevelControl_SetDemand(this->level_control, sum, highest_demand, now);
    capacity = LevelControl_Capacity(this->level_control);
    if (capacity > 0) {
        LevelControl_SetInitialLevel(this->level_control,
                                     water_fill_level(this, capacity));
    }
}

/* A line whose demand is below its share is never limited, so that random
 * variation of its arrivals at one host does not cause refusals. */
static void
refresh_line(ServiceShares *this, ServiceLine *line, Micros now)
{
    double level = LevelControl_Level(this->level_control);
    double entitlement = level * ServiceShares_WeightRatio(this, line);

    if (now - line->refreshed_at < REFRESH_INTERVAL_US) {
        return;
    }
    line->refreshed_at = now;
    line->total_demand =
        LineShare_TotalDemand(line->share, this->unreported_hosts, now);
    if (line->total_demand <= entitlement) {
        entitlement = INFINITY;
    }
    LineShare_SetLimit(line->share, entitlement,
                       LevelControl_TrimFactor(this->level_control),
                       this->unreported_hosts, now);
}

void
ServiceShares_Refresh(ServiceShares *this, ServiceLine *line, Micros now)
{
    LevelControl_OnTick(this->level_control, this->in_flight == 0, now);
    count_unreported_hosts(this, now);
    if (line != NULL) {
        refresh_line(this, line, now);
    }
    for (int i = 0; i < REFRESH_LINE_COUNT; i++) {
        if (this->refresh_cursor >= this->lines->len) {
            this->refresh_cursor = 0;
            update_demand(this, now);
        }
        refresh_line(
            this, g_ptr_array_index(this->lines, this->refresh_cursor++), now);
    }
}

static void
set_last_level_at(ServiceShares *this, uint32_t host, Micros measured_at)
{
    uint32_t old = this->last_level_capacity;

    if (host >= old) {
        this->last_level_capacity = host + 1;
        this->last_level_at =
            g_renew(Micros, this->last_level_at, this->last_level_capacity);
        for (uint32_t i = old; i <= host; i++) {
            this->last_level_at[i] = -1;
        }
    }
    this->last_level_at[host] = MAX(this->last_level_at[host], measured_at);
}

void
ServiceShares_OnLevel(ServiceShares *this, uint32_t host, double level,
                      Micros measured_at, Micros now)
{
    if (host >= HOSTS_MAX) {
        return;
    }
    set_last_level_at(this, host, measured_at);
    LevelControl_OnPeer(this->level_control, level, now);
}

/* Rotates over the lines if @max is too small for all of them. */
size_t
ServiceShares_UsageItems(ServiceShares *this, uint32_t host, UsageItem *items,
                         size_t max, Micros now)
{
    double level = LevelControl_Level(this->level_control);
    size_t n = 0;

    if (max == 0 || !LevelControl_NeedsExchange(this->level_control)) {
        return 0;
    }
    items[n++] = (UsageItem){
        .service = this->id,
        .line = ADMISSION_LEVEL_LINE,
        .host = host,
        .usage = isinf(level) ? 0.0f : (float)level,
    };
    for (guint i = 0; i < this->lines->len && n < max; i++) {
        guint index = this->send_cursor++ % this->lines->len;
        const ServiceLine *line = g_ptr_array_index(this->lines, index);

        items[n++] = (UsageItem){
            .service = this->id,
            .line = line->id,
            .host = host,
            .usage = (float)LineShare_Demand(line->share, now),
            .effective = (float)LineShare_CappedDemand(line->share, now),
            .caller_level = (float)LineShare_CallerLevel(line->share),
        };
    }
    return n;
}

size_t
ServiceShares_Bytes(const ServiceShares *this)
{
    size_t bytes = sizeof(*this) + LevelControl_Bytes() +
                   this->last_level_capacity * sizeof(Micros);

    for (guint i = 0; i < this->lines->len; i++) {
        const ServiceLine *line = g_ptr_array_index(this->lines, i);

        bytes += sizeof(*line) + LineShare_Bytes(line->share) + 32;
    }
    return bytes;
}
