#include "Subset.h"

#include <stdbool.h>

#include <glib.h>
#include <string.h>

/* Items assigned to one host so far. */
typedef struct HostLoad_ {
    uint32_t total;
    uint32_t domain;
} HostLoad;

/* Preference of an item for a host: lower is better, fields in order. */
typedef struct Rank_ {
    uint32_t total_excess;
    uint32_t domain_excess;
    uint64_t hash;
    uint32_t host;
} Rank;

static uint64_t
mix_hash(uint64_t a, uint64_t b)
{
    uint64_t z = a ^ (b * 0x9e3779b97f4a7c15ULL);

    z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
    z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
    return z ^ (z >> 31);
}

static int
compare_items(const void *a, const void *b)
{
    const SubsetItem *x = a;
    const SubsetItem *y = b;

    if (x->domain != y->domain) {
        return x->domain < y->domain ? -1 : 1;
    }
    return x->key < y->key ? -1 : x->key > y->key;
}

/* Items above the fair load after one more is assigned. */
static uint32_t
excess_over(uint32_t load, uint32_t fair)
{
    return load < fair ? 0 : load - fair + 1;
}

static bool
is_better(const Rank *a, const Rank *b)
{
    if (a->total_excess != b->total_excess) {
        return a->total_excess < b->total_excess;
    }
    if (a->domain_excess != b->domain_excess) {
        return a->domain_excess < b->domain_excess;
    }
    return a->hash < b->hash;
}

static void
swap_ranks(Rank *a, Rank *b)
{
    Rank saved = *a;

    *a = *b;
    *b = saved;
}

/* Partitions @ranks around a pivot; returns the final index of the pivot. */
static size_t
partition(Rank *ranks, size_t first, size_t last)
{
    size_t boundary = first;

    swap_ranks(&ranks[first + (last - first) / 2], &ranks[last]);
    for (size_t i = first; i < last; i++) {
        if (is_better(&ranks[i], &ranks[last])) {
            swap_ranks(&ranks[i], &ranks[boundary++]);
        }
    }
    swap_ranks(&ranks[boundary], &ranks[last]);
    return boundary;
}

/*
 * Quickselect: moves the @k best of @n ranks to the front, in linear time on
 * average.
 */
static void
select_best(Rank *ranks, size_t n, size_t k)
{
    size_t first = 0;
    size_t last = n - 1;

    while (first < last) {
        size_t pivot = partition(ranks, first, last);

        if (pivot == k) {
            return;
        }
        if (pivot < k) {
            first = pivot + 1;
        }
        else {
            last = pivot > 0 ? pivot - 1 : 0;
        }
    }
}

static size_t
end_of_domain(const SubsetItem *items, size_t count, size_t first)
{
    size_t end = first;

    while (end < count && items[end].domain == items[first].domain) {
        end++;
    }
    return end;
}

/* State of one call of Subset_Assign(). */
typedef struct Assignment_ {
    const SubsetHosts *hosts;
    HostLoad *loads;
    Rank *ranks;
    uint32_t hosts_per_item;
    uint32_t fair_total;
    uint32_t fair_domain;
} Assignment;

static void
rank_hosts(Assignment *a, uint64_t key)
{
    for (uint32_t h = 0; h < a->hosts->count; h++) {
        a->ranks[h] = (Rank){
            .total_excess = excess_over(a->loads[h].total, a->fair_total),
            .domain_excess = excess_over(a->loads[h].domain, a->fair_domain),
            .hash = mix_hash(key, a->hosts->keys[h]),
            .host = h,
        };
    }
}

/* Return: 1 if the item is assigned to this host, else 0. */
static uint8_t
assign_item(Assignment *a, uint64_t key)
{
    uint8_t assigned = 0;

    rank_hosts(a, key);
    select_best(a->ranks, a->hosts->count, a->hosts_per_item);
    for (uint32_t c = 0; c < a->hosts_per_item; c++) {
        uint32_t h = a->ranks[c].host;

        a->loads[h].total++;
        a->loads[h].domain++;
        assigned |= h == a->hosts->own;
    }
    return assigned;
}

static uint32_t
fair_load(const Assignment *a, size_t items)
{
    return (uint32_t)(items * a->hosts_per_item / a->hosts->count);
}

static size_t
assign_domain(Assignment *a, const SubsetItem *items, size_t count,
              uint8_t *assigned)
{
    size_t assigned_count = 0;

    a->fair_domain = fair_load(a, count);
    for (uint32_t h = 0; h < a->hosts->count; h++) {
        a->loads[h].domain = 0;
    }
    for (size_t i = 0; i < count; i++) {
        assigned[i] = assign_item(a, items[i].key);
        assigned_count += assigned[i];
    }
    return assigned_count;
}

size_t
Subset_Assign(const SubsetHosts *hosts, SubsetItem *items, size_t count,
              uint32_t hosts_per_item, uint8_t *assigned)
{
    Assignment a = {.hosts = hosts,
                    .hosts_per_item = MIN(hosts_per_item, hosts->count)};
    size_t assigned_count = 0;
    size_t end;

    if (count > 0) {
        qsort(items, count, sizeof(*items), compare_items);
    }
    if (a.hosts_per_item == hosts->count) {
        memset(assigned, 1, count);
        return count;
    }
    a.loads = g_new0(HostLoad, hosts->count);
    a.ranks = g_new(Rank, hosts->count);
    a.fair_total = fair_load(&a, count);
    for (size_t first = 0; first < count; first = end) {
        end = end_of_domain(items, count, first);
        assigned_count +=
            assign_domain(&a, &items[first], end - first, &assigned[first]);
    }
    g_free(a.loads);
    g_free(a.ranks);
    return assigned_count;
}

uint32_t
Subset_HostDivisor(uint32_t hosts)
{
    return hosts + hosts / 10 + 1;
}

uint32_t
Subset_HostsPerUpstream(uint32_t hosts, uint32_t upstreams,
                        uint32_t subset_size, uint32_t connection_limit)
{
    uint64_t wanted;

    if (upstreams == 0) {
        return 0;
    }
    wanted = ((uint64_t)hosts * subset_size + upstreams - 1) / upstreams;
    /* Each assigned host needs at least one connection. */
    wanted = MIN(wanted, (uint64_t)hosts * connection_limit /
                             Subset_HostDivisor(hosts));
    wanted = MIN(wanted, hosts);
    return (uint32_t)MIN(MAX(wanted, 1), connection_limit);
}
