#include "ServiceShares.h"

#include <math.h>

/* What a line may hold is computed anew after this time. */
#define REFRESH_TIME (10 * MICROS_PER_MS)

/* Lines looked at for each request, besides its own. */
#define REFRESH_LINES 1

/* Hosts are counted anew after this time. One that was ever heard within
 * HOST_MEMORY is known: lines that it says nothing about aren't there. */
#define COUNT_TIME (100 * MICROS_PER_MS)
#define HOST_MEMORY (30 * MICROS_PER_S)

#define MAX_HOSTS 4096

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
    this->unknown = hosts - 1;
    this->control = LevelControl_Create();
    this->by_id =
        g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL, free_line);
    this->lines = g_ptr_array_new();
    this->summed_at = now - REFRESH_TIME;
    this->counted_at = now - COUNT_TIME;
    return this;
}

void
ServiceShares_Destroy(ServiceShares *this)
{
    if (this == NULL) {
        return;
    }
    LevelControl_Destroy(this->control);
    g_hash_table_destroy(this->by_id);
    g_ptr_array_free(this->lines, TRUE);
    g_free(this->heard);
    g_free(this);
}

ServiceLine *
ServiceShares_Find(const ServiceShares *this, uint32_t line)
{
    return g_hash_table_lookup(this->by_id, GUINT_TO_POINTER(line));
}

void
ServiceShares_SetLine(ServiceShares *this, uint32_t id, double weight,
                      uint64_t seed, Micros now)
{
    ServiceLine *line = ServiceShares_Find(this, id);

    if (line == NULL) {
        line = g_new0(ServiceLine, 1);
        line->id = id;
        line->share = LineShare_Create(this->hosts, seed, now);
        line->refreshed_at = now - REFRESH_TIME;
        g_queue_init(&line->queue);
        g_hash_table_insert(this->by_id, GUINT_TO_POINTER(id), line);
        g_ptr_array_add(this->lines, line);
    }
    this->weights += weight - line->weight;
    line->weight = weight;
}

void
ServiceShares_Remove(ServiceShares *this, ServiceLine *line)
{
    this->weights -= line->weight;
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

        LineShare_SetAllowance(
            line->share, slots * ServiceShares_Part(this, line) / this->hosts);
    }
}

double
ServiceShares_Part(const ServiceShares *this, const ServiceLine *line)
{
    return line->weight / this->weights;
}

static void
count_unknown(ServiceShares *this, Micros now)
{
    uint32_t known = 0;

    if (now - this->counted_at < COUNT_TIME) {
        return;
    }
    this->counted_at = now;
    for (uint32_t i = 0; i < this->heard_slots; i++) {
        known += this->heard[i] >= 0 && now - this->heard[i] <= HOST_MEMORY;
    }
    known = MIN(known, this->hosts - 1);
    this->unknown = this->hosts - 1 - known;
}

/* The level at which the lines' demands, each up to its part of the level,
 * sum up to @capacity; infinite if there is enough for all. Each round takes
 * out the lines that need less than the level of the round before. */
static double
fill_level(const ServiceShares *this, double capacity)
{
    double level = 0;

    for (;;) {
        double rest = capacity;
        double parts = 0;

        for (guint i = 0; i < this->lines->len; i++) {
            const ServiceLine *line = g_ptr_array_index(this->lines, i);
            double part = ServiceShares_Part(this, line);

            if (line->total > level * part) {
                parts += part;
            }
            else {
                rest -= line->total;
            }
        }
        if (parts <= 0) {
            return INFINITY;
        }
        if (rest / parts <= level * 1.001) {
            return level;
        }
        level = rest / parts;
    }
}

static void
sum_demand(ServiceShares *this, Micros now)
{
    double highest = 0;
    double sum = 0;
    double capacity;

    if (now - this->summed_at < REFRESH_TIME) {
        return;
    }
    this->summed_at = now;
    for (guint i = 0; i < this->lines->len; i++) {
        const ServiceLine *line = g_ptr_array_index(this->lines, i);

        highest = fmax(highest, line->total / ServiceShares_Part(this, line));
        sum += line->total;
    }
    LevelControl_SetDemand(this->control, sum, highest, now);
    capacity = LevelControl_Capacity(this->control);
    if (capacity > 0) {
        LevelControl_SetStart(this->control, fill_level(this, capacity));
    }
}

/* A line that demands less than its part is never limited, so that the
 * randomness of its arrivals at one host doesn't cost it anything. */
static void
refresh_line(ServiceShares *this, ServiceLine *line, Micros now)
{
    double level = LevelControl_Level(this->control);
    double entitled = level * ServiceShares_Part(this, line);

    if (now - line->refreshed_at < REFRESH_TIME) {
        return;
    }
    line->refreshed_at = now;
    line->total = LineShare_Total(line->share, this->unknown, now);
    if (line->total <= entitled) {
        entitled = INFINITY;
    }
    LineShare_Allow(line->share, entitled, LevelControl_Trim(this->control),
                    this->unknown, now);
}

void
ServiceShares_Refresh(ServiceShares *this, ServiceLine *line, Micros now)
{
    LevelControl_OnTime(this->control, this->in_flight == 0, now);
    count_unknown(this, now);
    if (line != NULL) {
        refresh_line(this, line, now);
    }
    for (int i = 0; i < REFRESH_LINES; i++) {
        if (this->refresh_cursor >= this->lines->len) {
            this->refresh_cursor = 0;
            sum_demand(this, now);
        }
        refresh_line(
            this, g_ptr_array_index(this->lines, this->refresh_cursor++), now);
    }
}

static void
hear_host(ServiceShares *this, uint32_t host, Micros when)
{
    uint32_t old = this->heard_slots;

    if (host >= old) {
        this->heard_slots = host + 1;
        this->heard = g_renew(Micros, this->heard, this->heard_slots);
        for (uint32_t i = old; i <= host; i++) {
            this->heard[i] = -1;
        }
    }
    this->heard[host] = MAX(this->heard[host], when);
}

void
ServiceShares_OnLevel(ServiceShares *this, uint32_t host, double level,
                      Micros when, Micros now)
{
    if (host >= MAX_HOSTS) {
        return;
    }
    hear_host(this, host, when);
    LevelControl_OnPeer(this->control, level, now);
}

/* Takes the lines in turn when there is no room for all. */
size_t
ServiceShares_Items(ServiceShares *this, uint32_t host, UsageItem *items,
                    size_t max, Micros now)
{
    double level = LevelControl_Level(this->control);
    size_t n = 0;

    if (max == 0 || !LevelControl_IsWarm(this->control)) {
        return 0;
    }
    items[n++] = (UsageItem){
        .service = this->id,
        .line = ADMISSION_LEVEL_LINE,
        .host = host,
        .usage = isinf(level) ? 0.0f : (float)level,
    };
    for (guint i = 0; i < this->lines->len && n < max; i++) {
        guint at = this->send_cursor++ % this->lines->len;
        const ServiceLine *line = g_ptr_array_index(this->lines, at);

        items[n++] = (UsageItem){
            .service = this->id,
            .line = line->id,
            .host = host,
            .usage = (float)LineShare_Demand(line->share, now),
            .effective = (float)LineShare_Effective(line->share, now),
            .caller_level = (float)LineShare_CallerLevel(line->share),
        };
    }
    return n;
}

size_t
ServiceShares_Bytes(const ServiceShares *this)
{
    size_t bytes = sizeof(*this) + LevelControl_Bytes() +
                   this->heard_slots * sizeof(Micros);

    for (guint i = 0; i < this->lines->len; i++) {
        const ServiceLine *line = g_ptr_array_index(this->lines, i);

        bytes += sizeof(*line) + LineShare_Bytes(line->share) + 32;
    }
    return bytes;
}
