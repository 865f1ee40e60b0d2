#include <glib.h>

#include "ProbeBudget.h"
#include "Random.h"
#include "Subset.h"

#define SEED 11
#define HOSTS_MAX 120
#define ITEMS_MAX 120

typedef struct Sizes_ {
    uint32_t hosts;
    uint32_t items;
    uint32_t hosts_per_item;
} Sizes;

static const Sizes sizes[] = {
    {20, 20, 20}, {20, 15, 20}, {20, 120, 1},  {20, 60, 1},   {20, 90, 1},
    {20, 100, 4}, {5, 17, 2},   {60, 100, 10}, {100, 50, 20}, {1, 20, 1},
};

static void
fill_keys(Random *random, uint64_t *keys, uint32_t n)
{
    for (uint32_t i = 0; i < n; i++) {
        keys[i] = Random_Next(random);
    }
}

/* Sets @assigned[i] to 1 if item i is assigned to host @own. */
static size_t
assign(const uint64_t *hosts, uint32_t host_count, uint32_t own,
       const uint64_t *keys, uint32_t count, uint32_t hosts_per_item,
       uint8_t *assigned)
{
    SubsetHosts h = {.keys = hosts, .count = host_count, .own = own};
    SubsetItem items[ITEMS_MAX];
    uint8_t marks[ITEMS_MAX] = {0};
    size_t n;

    for (uint32_t i = 0; i < count; i++) {
        items[i] = (SubsetItem){.key = keys[i], .domain = i % 4};
    }
    n = Subset_Assign(&h, items, count, hosts_per_item, marks);
    for (uint32_t i = 0; i < count; i++) {
        for (uint32_t k = 0; k < count; k++) {
            assigned[i] = keys[i] == items[k].key ? marks[k] : assigned[i];
        }
    }
    return n;
}

/*
 * Guards against upstreams with too many hosts or none, and hosts without
 * upstreams.
 */
static void
test_subsets_are_even(void)
{
    Random *random = Random_Create(SEED);
    uint64_t hosts[HOSTS_MAX];
    uint64_t keys[ITEMS_MAX];
    uint8_t assigned[ITEMS_MAX];

    for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
        const Sizes *s = &sizes[i];
        uint32_t covered[ITEMS_MAX] = {0};
        uint32_t even = s->items * MIN(s->hosts_per_item, s->hosts) / s->hosts;

        fill_keys(random, hosts, s->hosts);
        fill_keys(random, keys, s->items);
        for (uint32_t h = 0; h < s->hosts; h++) {
            size_t n = assign(hosts, s->hosts, h, keys, s->items,
                              s->hosts_per_item, assigned);

            g_assert_cmpuint(n, >=, even > 1 ? even - 1 : 0);
            g_assert_cmpuint(n, <=, even + 2);
            for (uint32_t k = 0; k < s->items; k++) {
                covered[k] += assigned[k];
            }
        }
        for (uint32_t k = 0; k < s->items; k++) {
            g_assert_cmpuint(covered[k], ==, MIN(s->hosts_per_item, s->hosts));
        }
    }
    Random_Destroy(random);
}

/* Guards against subsets within a single failure domain. */
static void
test_subsets_mix_domains(void)
{
    Random *random = Random_Create(SEED);
    uint64_t hosts[20];
    uint64_t keys[100];
    uint8_t assigned[100];

    fill_keys(random, hosts, 20);
    fill_keys(random, keys, 100);
    for (uint32_t h = 0; h < 20; h++) {
        uint32_t in_domain[4] = {0};

        assign(hosts, 20, h, keys, 100, 4, assigned);
        for (uint32_t k = 0; k < 100; k++) {
            in_domain[k % 4] += assigned[k];
        }
        for (int d = 0; d < 4; d++) {
            g_assert_cmpuint(in_domain[d], >=, 3);
            g_assert_cmpuint(in_domain[d], <=, 7);
        }
    }
    Random_Destroy(random);
}

/*
 * Guards against the loss of one host changing most assignments of the others.
 */
static void
test_host_loss_moves_little(void)
{
    Random *random = Random_Create(SEED);
    uint64_t hosts[20];
    uint64_t keys[100];
    uint8_t before[100];
    uint8_t after[100];
    uint32_t kept = 0;
    uint32_t total = 0;

    fill_keys(random, hosts, 20);
    fill_keys(random, keys, 100);
    for (uint32_t h = 0; h < 19; h++) {
        total += assign(hosts, 20, h, keys, 100, 4, before);
        assign(hosts, 19, h, keys, 100, 4, after);
        for (uint32_t k = 0; k < 100; k++) {
            kept += before[k] && after[k];
        }
    }
    g_test_message("kept %u of %u", kept, total);
    g_assert_cmpuint(kept * 10, >=, total * 7);
    Random_Destroy(random);
}

/* Guards against a host count for which the connection limit is exceeded. */
static void
test_connections_divide(void)
{
    for (uint32_t hosts = 1; hosts <= 3000; hosts += 7) {
        for (uint32_t upstreams = 1; upstreams <= 40; upstreams += 13) {
            uint32_t hosts_per_item =
                Subset_HostsPerUpstream(hosts, upstreams, 20, 250);

            g_assert_cmpuint(hosts_per_item, >=, 1);
            g_assert_cmpuint(hosts_per_item, <=, hosts);
            g_assert_cmpuint(Subset_HostDivisor(hosts_per_item), <=, 250);
        }
    }
}

/*
 * Guards against bursts of probes: over any period they cost at most the rate
 * times the period, plus one probe.
 */
static void
test_probe_buckets(void)
{
    Clock *clock = Clock_CreateManual(0, 0);
    ProbeLimits limits = {20, 4000, 0.001};
    ProbeBudget *budget = ProbeBudget_Create(&limits, clock);
    uint64_t reserved = 0;

    ProbeBudget_SetShare(budget, 1, 120);
    g_assert_false(ProbeBudget_Reserve(budget));
    for (int ms = 0; ms < 100000; ms++) {
        Clock_Advance(clock, ms == 50000 ? 60 * MICROS_PER_S : MICROS_PER_MS);
        if (ProbeBudget_Reserve(budget)) {
            reserved++;
            ProbeBudget_Settle(budget, PROBE_BYTES_MAX, PROBE_TIMEOUT_US);
        }
    }
    /* 0.1% of the time of 120 slots allows 6 probes of 20 ms each second. */
    g_assert_cmpuint(reserved, <=, 601);
    g_assert_cmpuint(reserved, >=, 580);
    g_assert_cmpuint(ProbeBudget_Usage(budget).requests, ==, reserved);
    g_assert_cmpuint(ProbeBudget_Usage(budget).bytes, ==,
                     reserved * PROBE_BYTES_MAX);
    ProbeBudget_Destroy(budget);
    Clock_Destroy(clock);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_message("seed %d", SEED);
    g_test_add_func("/subset/even", test_subsets_are_even);
    g_test_add_func("/subset/domains", test_subsets_mix_domains);
    g_test_add_func("/subset/moves", test_host_loss_moves_little);
    g_test_add_func("/subset/connections", test_connections_divide);
    g_test_add_func("/probes/buckets", test_probe_buckets);
    return g_test_run();
}
