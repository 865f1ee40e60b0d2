#include "Subset.h"

#include <stdbool.h>

#include <glib.h>

/* Loads of one host while items are handed out. */
typedef struct HostLoad_ {
    uint32_t total;
    uint32_t domain;
    size_t taken_at; /* 1 + index of the last item that it got */
} HostLoad;

/* How much an item wants a host: lower is better, fields in order. */
typedef struct Rank_ {
    uint32_t total_over;
    uint32_t domain_over;
    uint64_t distance;
} Rank;

static uint64_t
mix(uint64_t a, uint64_t b)
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

/* Full steps above an even load; 0 up to and including the even load. */
static uint32_t
steps_over(uint32_t load, uint32_t even)
{
    return load < even ? 0 : load - even + 1;
}

static bool
is_better(const Rank *a, const Rank *b)
{
    if (a->total_over != b->total_over) {
        return a->total_over < b->total_over;
    }
    if (a->domain_over != b->domain_over) {
        return a->domain_over < b->domain_over;
    }
    return a->distance < b->distance;
}

static uint32_t
pick_host(const SubsetHosts *hosts, const HostLoad *loads, size_t item,
          uint64_t key, uint32_t even, uint32_t even_domain)
{
    uint32_t best = hosts->count;
    Rank best_rank = {0};

    for (uint32_t h = 0; h < hosts->count; h++) {
        Rank rank = {
            .total_over = steps_over(loads[h].total, even),
            .domain_over = steps_over(loads[h].domain, even_domain),
            .distance = mix(key, hosts->keys[h]),
        };

        if (loads[h].taken_at == item + 1) {
            continue;
        }
        if (best == hosts->count || is_better(&rank, &best_rank)) {
            best = h;
            best_rank = rank;
        }
    }
    return best;
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

static void
assign_item(const SubsetHosts *hosts, HostLoad *loads, size_t item,
            uint64_t key, uint32_t copies, uint32_t even, uint32_t even_domain,
            uint8_t *mine)
{
    for (uint32_t c = 0; c < copies; c++) {
        uint32_t h = pick_host(hosts, loads, item, key, even, even_domain);

        loads[h].taken_at = item + 1;
        loads[h].total++;
        loads[h].domain++;
        *mine |= h == hosts->own;
    }
}

size_t
Subset_Assign(const SubsetHosts *hosts, SubsetItem *items, size_t count,
              uint32_t copies, uint8_t *mine)
{
    HostLoad *loads = g_new0(HostLoad, hosts->count);
    uint32_t even;
    size_t first = 0;
    size_t owned = 0;

    copies = MIN(copies, hosts->count);
    even = (uint32_t)(count * copies / MAX(hosts->count, 1));
    if (count > 0) {
        qsort(items, count, sizeof(*items), compare_items);
    }
    while (first < count) {
        size_t end = end_of_domain(items, count, first);
        uint32_t even_domain =
            (uint32_t)((end - first) * copies / MAX(hosts->count, 1));

        for (uint32_t h = 0; h < hosts->count; h++) {
            loads[h].domain = 0;
        }
        for (size_t i = first; i < end; i++) {
            mine[i] = 0;
            assign_item(hosts, loads, i, items[i].key, copies, even,
                        even_domain, &mine[i]);
            owned += mine[i];
        }
        first = end;
    }
    g_free(loads);
    return owned;
}

uint32_t
Subset_Divisor(uint32_t hosts)
{
    return hosts + MAX(1, hosts / 10);
}

uint32_t
Subset_Copies(uint32_t hosts, uint32_t upstreams, uint32_t size,
              uint32_t connections)
{
    uint64_t wanted;

    if (upstreams == 0) {
        return 0;
    }
    wanted = ((uint64_t)hosts * size + upstreams - 1) / upstreams;
    /* Each chosen host needs at least one connection. */
    wanted =
        MIN(wanted, (uint64_t)hosts * connections / Subset_Divisor(hosts));
    wanted = MIN(wanted, hosts);
    return (uint32_t)MIN(MAX(wanted, 1), connections);
}
