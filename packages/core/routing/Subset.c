#include "Subset.h"

#include <stdbool.h>

#include <glib.h>
#include <string.h>

/* Loads of one host while items are handed out. */
typedef struct HostLoad_ {
    uint32_t total;
    uint32_t domain;
} HostLoad;

/* How much an item wants a host: lower is better, fields in order. */
typedef struct Rank_ {
    uint32_t total_over;
    uint32_t domain_over;
    uint64_t distance;
    uint32_t host;
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

static void
swap_ranks(Rank *a, Rank *b)
{
    Rank held = *a;

    *a = *b;
    *b = held;
}

/* Splits @ranks around a pivot; returns the pivot's final index. */
static size_t
partition(Rank *ranks, size_t first, size_t last)
{
    size_t border = first;

    swap_ranks(&ranks[first + (last - first) / 2], &ranks[last]);
    for (size_t i = first; i < last; i++) {
        if (is_better(&ranks[i], &ranks[last])) {
            swap_ranks(&ranks[i], &ranks[border++]);
        }
    }
    swap_ranks(&ranks[border], &ranks[last]);
    return border;
}

/* Moves the @k best of @n ranks to the front, in linear time on average. */
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

/* What one call of Subset_Assign() works on. */
typedef struct Assignment_ {
    const SubsetHosts *hosts;
    HostLoad *loads;
    Rank *ranks;
    uint32_t copies;
    uint32_t even;
    uint32_t even_domain;
} Assignment;

static void
rank_hosts(Assignment *a, uint64_t key)
{
    for (uint32_t h = 0; h < a->hosts->count; h++) {
        a->ranks[h] = (Rank){
            .total_over = steps_over(a->loads[h].total, a->even),
            .domain_over = steps_over(a->loads[h].domain, a->even_domain),
            .distance = mix(key, a->hosts->keys[h]),
            .host = h,
        };
    }
}

/* Return: 1 if the item has this host, else 0. */
static uint8_t
assign_item(Assignment *a, uint64_t key)
{
    uint8_t mine = 0;

    rank_hosts(a, key);
    select_best(a->ranks, a->hosts->count, a->copies);
    for (uint32_t c = 0; c < a->copies; c++) {
        uint32_t h = a->ranks[c].host;

        a->loads[h].total++;
        a->loads[h].domain++;
        mine |= h == a->hosts->own;
    }
    return mine;
}

static uint32_t
even_load(const Assignment *a, size_t items)
{
    return (uint32_t)(items * a->copies / a->hosts->count);
}

static size_t
assign_domain(Assignment *a, const SubsetItem *items, size_t count,
              uint8_t *mine)
{
    size_t owned = 0;

    a->even_domain = even_load(a, count);
    for (uint32_t h = 0; h < a->hosts->count; h++) {
        a->loads[h].domain = 0;
    }
    for (size_t i = 0; i < count; i++) {
        mine[i] = assign_item(a, items[i].key);
        owned += mine[i];
    }
    return owned;
}

size_t
Subset_Assign(const SubsetHosts *hosts, SubsetItem *items, size_t count,
              uint32_t copies, uint8_t *mine)
{
    Assignment a = {.hosts = hosts, .copies = MIN(copies, hosts->count)};
    size_t owned = 0;
    size_t end;

    if (count > 0) {
        qsort(items, count, sizeof(*items), compare_items);
    }
    if (a.copies == hosts->count) {
        memset(mine, 1, count);
        return count;
    }
    a.loads = g_new0(HostLoad, hosts->count);
    a.ranks = g_new(Rank, hosts->count);
    a.even = even_load(&a, count);
    for (size_t first = 0; first < count; first = end) {
        end = end_of_domain(items, count, first);
        owned += assign_domain(&a, &items[first], end - first, &mine[first]);
    }
    g_free(a.loads);
    g_free(a.ranks);
    return owned;
}

uint32_t
Subset_Divisor(uint32_t hosts)
{
    return hosts + hosts / 10 + 1;
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
