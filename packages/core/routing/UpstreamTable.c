#include "UpstreamTable.h"

#include <glib.h>
#include <string.h>

#include "Subset.h"

/* Median latency assumed before the first response. */
#define INITIAL_MEDIAN_LATENCY_US (10 * MICROS_PER_MS)

UpstreamTable *
UpstreamTable_Create(const RouterOptions *options, const Clock *clock)
{
    UpstreamTable *this = g_new0(UpstreamTable, 1);

    this->clock = clock;
    this->options = options;
    this->host_keys = g_new0(uint64_t, 1);
    this->host_count = 1;
    return this;
}

void
UpstreamTable_Destroy(UpstreamTable *this)
{
    for (uint32_t s = 0; s < this->service_count; s++) {
        g_free(this->services[s].upstreams);
        ProbeBudget_Destroy(this->services[s].budget);
    }
    g_free(this->services);
    g_free(this->upstreams);
    g_free(this->host_keys);
    g_free(this);
}

void
UpstreamTable_SetHosts(UpstreamTable *this, const uint64_t *keys,
                       uint32_t count, uint32_t own)
{
    if (count == this->host_count && own == this->own_host &&
        memcmp(keys, this->host_keys, count * sizeof(*keys)) == 0) {
        return;
    }
    g_free(this->host_keys);
    this->host_keys = g_new(uint64_t, count);
    memcpy(this->host_keys, keys, count * sizeof(*keys));
    this->host_count = count;
    this->own_host = own;
    for (uint32_t s = 0; s < this->service_count; s++) {
        this->services[s].subset_stale = true;
    }
}

/*
 * Grows by half, so that adding items one at a time takes linear time in
 * total.
 */
static uint32_t
grown_count(uint32_t count, uint32_t needed)
{
    return MAX(needed, count + count / 2);
}

static ServiceState *
ensure_service(UpstreamTable *this, uint32_t service)
{
    if (service >= this->service_count) {
        uint32_t count = grown_count(this->service_count, service + 1);

        this->services = g_renew(ServiceState, this->services, count);
        memset(&this->services[this->service_count], 0,
               (count - this->service_count) * sizeof(ServiceState));
        this->service_count = count;
    }
    return &this->services[service];
}

static Upstream *
ensure_upstream(UpstreamTable *this, uint32_t upstream)
{
    if (upstream >= this->upstream_count) {
        uint32_t count = grown_count(this->upstream_count, upstream + 1);

        this->upstreams = g_renew(Upstream, this->upstreams, count);
        memset(&this->upstreams[this->upstream_count], 0,
               (count - this->upstream_count) * sizeof(Upstream));
        this->upstream_count = count;
    }
    return &this->upstreams[upstream];
}

void
UpstreamTable_SetService(UpstreamTable *this, uint32_t service,
                         const ServiceInfo *info)
{
    ServiceState *s = ensure_service(this, service);

    if (!s->present) {
        s->present = true;
        s->median_latency = INITIAL_MEDIAN_LATENCY_US;
        s->utilization = -1.0F;
        s->report_trust = 1.0F;
        s->budget = ProbeBudget_Create(&info->probes, this->clock);
        if (this->options->fault == ROUTER_FAULT_OVERSPEND_PROBES) {
            ProbeBudget_InjectOverspend(s->budget);
        }
    }
    if (memcmp(&s->info, info, sizeof(*info)) == 0) {
        return;
    }
    s->info = *info;
    s->subset_stale = true;
    ProbeBudget_SetLimits(s->budget, &info->probes);
}

static void
init_upstream(UpstreamTable *this, Upstream *u, const UpstreamInfo *info)
{
    Micros now = Clock_Now(this->clock);

    memset(u, 0, sizeof(*u));
    u->flags = UPSTREAM_PRESENT;
    u->report_time = -1;
    u->probe_time = -1;
    u->ramp_start = info->cold ? now : now - this->options->ramp_time;
}

void
UpstreamTable_Add(UpstreamTable *this, uint32_t service, uint32_t upstream,
                  const UpstreamInfo *info)
{
    ServiceState *s = ensure_service(this, service);
    Upstream *u = ensure_upstream(this, upstream);
    uint16_t slots = (uint16_t)CLAMP(info->slots, 1, UINT16_MAX);

    if ((u->flags & UPSTREAM_PRESENT) != 0 && u->service != service) {
        UpstreamTable_Remove(this, upstream);
    }
    if ((u->flags & UPSTREAM_PRESENT) != 0 && u->key == info->key &&
        u->domain == info->domain && u->configured_slots == slots) {
        /* The host list is published often, mostly without a change. */
        return;
    }
    if ((u->flags & UPSTREAM_PRESENT) == 0) {
        init_upstream(this, u, info);
        s->upstreams = g_renew(uint32_t, s->upstreams, s->count + 1);
        s->upstreams[s->count++] = upstream;
    }
    u->service = service;
    u->key = info->key;
    u->domain = info->domain;
    u->configured_slots = slots;
    u->slots = slots;
    s->subset_stale = true;
}

void
UpstreamTable_Remove(UpstreamTable *this, uint32_t upstream)
{
    Upstream *u = UpstreamTable_Find(this, upstream);
    ServiceState *s;

    if (u == NULL) {
        return;
    }
    s = &this->services[u->service];
    for (uint32_t i = 0; i < s->count; i++) {
        if (s->upstreams[i] == upstream) {
            s->upstreams[i] = s->upstreams[--s->count];
            break;
        }
    }
    s->inflight -= MIN(s->inflight, u->inflight);
    u->flags = 0;
    s->subset_stale = true;
}

Upstream *
UpstreamTable_Find(const UpstreamTable *this, uint32_t upstream)
{
    if (upstream >= this->upstream_count ||
        (this->upstreams[upstream].flags & UPSTREAM_PRESENT) == 0) {
        return NULL;
    }
    return &this->upstreams[upstream];
}

static GHashTable *
index_by_key(const UpstreamTable *this, const ServiceState *s)
{
    GHashTable *by_key = g_hash_table_new(g_int64_hash, g_int64_equal);

    for (uint32_t i = 0; i < s->count; i++) {
        Upstream *u = &this->upstreams[s->upstreams[i]];

        g_hash_table_insert(by_key, &u->key, u);
    }
    return by_key;
}

static SubsetHosts
live_hosts(const UpstreamTable *this)
{
    return (SubsetHosts){
        .keys = this->host_keys,
        .count = this->host_count,
        .own = this->own_host,
    };
}

static void
compute_subset(UpstreamTable *this, ServiceState *s, GHashTable *by_key)
{
    SubsetHosts hosts = live_hosts(this);
    SubsetItem *items = g_new(SubsetItem, s->count);
    uint8_t *assigned = g_new0(uint8_t, s->count);
    uint32_t size = MIN(this->options->subset_size, SUBSET_MAX);
    uint32_t hosts_per_upstream = Subset_HostsPerUpstream(
        hosts.count, s->count, size, s->info.connections);

    for (uint32_t i = 0; i < s->count; i++) {
        const Upstream *u = &this->upstreams[s->upstreams[i]];

        items[i] = (SubsetItem){.key = u->key, .domain = u->domain};
    }
    Subset_Assign(&hosts, items, s->count, hosts_per_upstream, assigned);
    s->subset_count = 0;
    for (uint32_t i = 0; i < s->count && s->subset_count < SUBSET_MAX; i++) {
        const Upstream *u = g_hash_table_lookup(by_key, &items[i].key);

        if (assigned[i]) {
            s->subset[s->subset_count++] = (uint32_t)(u - this->upstreams);
        }
    }
    s->connection_limit =
        hosts_per_upstream > 0
            ? s->info.connections / Subset_HostDivisor(hosts_per_upstream)
            : 0;
    if (hosts_per_upstream > 0 && s->connection_limit == 0) {
        s->connection_limit = 1;
    }
    g_free(items);
    g_free(assigned);
}

/* Assigns each slot to one host. */
static void
compute_slot_owners(UpstreamTable *this, ServiceState *s)
{
    SubsetHosts hosts = live_hosts(this);
    SubsetItem *items = g_new(SubsetItem, s->slots);
    uint8_t *assigned = g_new0(uint8_t, s->slots);
    GHashTable *own_by_key = g_hash_table_new(g_int64_hash, g_int64_equal);
    uint32_t n = 0;

    for (uint32_t i = 0; i < s->count; i++) {
        Upstream *u = &this->upstreams[s->upstreams[i]];

        u->slots_owned = 0;
        for (uint32_t slot = 0; slot < u->configured_slots; slot++) {
            items[n].key = (u->key + slot) * 0xd1342543de82ef95ULL;
            items[n++].domain = u->domain;
        }
    }
    Subset_Assign(&hosts, items, n, 1, assigned);
    for (uint32_t i = 0; i < n; i++) {
        g_hash_table_insert(own_by_key, &items[i].key,
                            GUINT_TO_POINTER(assigned[i]));
    }
    for (uint32_t i = 0; i < s->count; i++) {
        Upstream *u = &this->upstreams[s->upstreams[i]];

        for (uint32_t slot = 0; slot < u->configured_slots; slot++) {
            uint64_t key = (u->key + slot) * 0xd1342543de82ef95ULL;

            if (g_hash_table_lookup(own_by_key, &key) != NULL) {
                u->slots_owned++;
            }
        }
    }
    g_hash_table_destroy(own_by_key);
    g_free(items);
    g_free(assigned);
}

/*
 * For `slot-shares`: puts the upstreams where this host owns a slot first. The
 * rest of the subset is used only through loans.
 */
static void
put_owned_first(UpstreamTable *this, ServiceState *s)
{
    uint32_t others[SUBSET_MAX];
    uint32_t other_count = s->subset_count;
    uint32_t n = 0;

    memcpy(others, s->subset, sizeof(others));
    for (uint32_t i = 0; i < s->count && n < SUBSET_MAX; i++) {
        if (this->upstreams[s->upstreams[i]].slots_owned > 0) {
            s->subset[n++] = s->upstreams[i];
        }
    }
    for (uint32_t i = 0; i < other_count && n < SUBSET_MAX; i++) {
        if (this->upstreams[others[i]].slots_owned == 0) {
            s->subset[n++] = others[i];
        }
    }
    s->subset_count = n;
    s->connection_limit =
        s->info.connections / Subset_HostDivisor(this->host_count);
}

static void
refresh_service(UpstreamTable *this, ServiceState *s)
{
    GHashTable *by_key = index_by_key(this, s);

    s->subset_stale = false;
    s->slots = 0;
    for (uint32_t i = 0; i < s->count; i++) {
        s->slots += this->upstreams[s->upstreams[i]].configured_slots;
    }
    compute_subset(this, s, by_key);
    if (this->options->policy == ROUTING_SLOT_SHARES) {
        compute_slot_owners(this, s);
        put_owned_first(this, s);
    }
    ProbeBudget_SetShare(s->budget, Subset_HostDivisor(this->host_count),
                         s->slots);
    g_hash_table_destroy(by_key);
}

ServiceState *
UpstreamTable_Service(UpstreamTable *this, uint32_t service)
{
    ServiceState *s;

    if (service >= this->service_count || !this->services[service].present) {
        return NULL;
    }
    s = &this->services[service];
    if (s->subset_stale) {
        refresh_service(this, s);
    }
    return s;
}
