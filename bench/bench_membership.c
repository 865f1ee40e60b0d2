#include <glib.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

#include "Cluster.h"
#include "Histogram.h"

/* Membership cores of a whole deployment in one process on a simulated
 * network. Processor time includes the simulated network, encoding and
 * decoding, but not ZeroMQ and CURVE. */

#define SEED 20
#define LOSS 0.01
#define WARM_UP (90 * MICROS_PER_S)
#define BYTES_BOUND 10000.0
#define CPU_BOUND 0.01
#define MEMORY_BOUND (32.0 * 1024 * 1024)
#define DRAIN_BOUND (2 * MICROS_PER_S)
#define DRAINS 400
#define USAGE_ITEMS 12
#define STEP (20 * MICROS_PER_MS)

typedef struct Totals_ {
    double bytes, messages, received, cpu;
} Totals;

static void
print(const char *name, uint32_t hosts, double value)
{
    printf("%s_%u=%g\n", name, hosts, value);
}

static void
print_bound(const char *name, uint32_t hosts, double value, double bound,
            bool met)
{
    print(name, hosts, value);
    printf("%s_%u_bound=%g\n%s_%u_met=%s\n", name, hosts, bound, name, hosts,
           met ? "yes" : "no");
}

static FILE *
open_data(const char *name)
{
    char path[128];
    FILE *file;

    g_snprintf(path, sizeof(path), "bench/out/%s", name);
    file = fopen(path, "w");
    return file != NULL ? file : fopen("/dev/null", "w");
}

static double
cpu_seconds(void)
{
    struct timespec now;

    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
    return (double)now.tv_sec + (double)now.tv_nsec / 1e9;
}

static Cluster *
create_cluster(uint32_t hosts, uint64_t seed)
{
    ClusterOptions options = ClusterOptions_Default(seed);

    options.hosts = hosts;
    options.loss_ratio = LOSS;
    return Cluster_Create(&options);
}

static Totals
totals(Cluster *cluster)
{
    Totals sum = {.cpu = cpu_seconds()};

    for (uint32_t i = 0; i < Cluster_Count(cluster); i++) {
        ClusterHost *host = Cluster_Host(cluster, i);

        sum.received += (double)host->received_bytes;
        if (host->alive) {
            const MembershipCounters *counters =
                Membership_Counters(host->membership);

            sum.bytes += (double)counters->bytes_sent;
            sum.messages += (double)counters->messages_sent;
        }
    }
    return sum;
}

/* Largest number of bytes that a host sent in any second. */
static double
peak_bytes(Cluster *cluster)
{
    uint64_t peak = 0;

    for (uint32_t i = 0; i < Cluster_Count(cluster); i++) {
        peak = MAX(peak, Cluster_Host(cluster, i)->window_bytes_max);
    }
    return (double)peak;
}

/* Cost of a host while nothing happens. */
static Totals
measure_calm(uint32_t hosts, FILE *data)
{
    Cluster *cluster = create_cluster(hosts, SEED);
    Totals start, end, cost;
    double seconds = 60;
    double scale = 1 / (seconds * hosts);
    double memory;

    Cluster_Run(cluster, WARM_UP);
    start = totals(cluster);
    Cluster_Run(cluster, (Micros)seconds * MICROS_PER_S);
    end = totals(cluster);
    cost.bytes = (end.bytes - start.bytes) * scale;
    cost.messages = (end.messages - start.messages) * scale;
    cost.received = (end.received - start.received) * scale;
    cost.cpu = (end.cpu - start.cpu) * scale;
    memory = (double)Membership_Bytes(Cluster_Host(cluster, 0)->membership);
    print_bound("calm_bytes_per_s", hosts, cost.bytes, BYTES_BOUND,
                cost.bytes <= BYTES_BOUND);
    print("calm_received_bytes_per_s", hosts, cost.received);
    print("calm_messages_per_s", hosts, cost.messages);
    print_bound("calm_cpu_share", hosts, cost.cpu, CPU_BOUND,
                cost.cpu <= CPU_BOUND);
    print_bound("memory_bytes", hosts, memory, MEMORY_BOUND,
                memory <= MEMORY_BOUND);
    fprintf(data, "%u %g %g %g %g\n", hosts, cost.bytes, cost.messages,
            cost.cpu, memory);
    Cluster_Destroy(cluster);
    cost.received = memory;
    return cost;
}

static void
measure_slopes(void)
{
    static const uint32_t sizes[] = {5, 10, 20, 50, 100, 200};
    FILE *data = open_data("membership_cost.dat");
    Totals first = {0};
    Totals last = {0};
    double hosts = 195;

    for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
        last = measure_calm(sizes[i], data);
        if (i == 0) {
            first = last;
        }
    }
    printf("slope_bytes_per_s_per_host=%g\n",
           (last.bytes - first.bytes) / hosts);
    printf("slope_messages_per_s_per_host=%g\n",
           (last.messages - first.messages) / hosts);
    printf("slope_cpu_share_per_host=%g\n", (last.cpu - first.cpu) / hosts);
    printf("slope_memory_bytes_per_host=%g\n",
           (last.received - first.received) / hosts);
    fclose(data);
}

typedef struct Surge_ {
    Cluster *cluster;
    /* When measured, at a host, of a host, of each of its items. */
    Micros (*last)[CLUSTER_HOSTS_MAX][USAGE_ITEMS];
} Surge;

/* Number of the item among those that every host shares. */
static uint32_t
usage_index(const SharedItem *item)
{
    uint32_t line = 0;

    if (item->usage.line.length > 0) {
        char last = item->usage.line.data[item->usage.line.length - 1];

        line = 1 + (uint32_t)(last - 'a');
    }
    return 2 * line + (item->usage.service.data[1] == 'o');
}

static void
note_usage(void *user, uint32_t host, const SharedItem *item)
{
    Surge *surge = user;
    uint64_t origin = 0;
    Str digits = {item->host.data + strlen("balancer-"),
                  item->host.length - strlen("balancer-")};

    if (item->kind == SHARED_USAGE && Str_ParseU64(digits, &origin) == 0) {
        Micros seen = Cluster_Now(surge->cluster) - item->age;

        Micros *last = &surge->last[host][origin][usage_index(item)];

        *last = MAX(*last, seen);
    }
}

/* Usage of 5 lines and the level of 2 services from every host. */
static void
share_usage(Cluster *cluster)
{
    static const char *lines[] = {"",         "member-a", "member-b",
                                  "member-c", "member-d", "member-e"};
    static const char *services[] = {"claims-desk", "court-calendar"};
    SharedItem item = {.kind = SHARED_USAGE};

    for (uint32_t host = 0; host < Cluster_Count(cluster); host++) {
        for (size_t i = 0; i < 2 * G_N_ELEMENTS(lines); i++) {
            item.usage.service = Str_FromC(services[i % 2]);
            item.usage.line = Str_FromC(lines[i / 2]);
            item.usage.usage = (float)Random_Unit(Cluster_Random(cluster));
            Membership_Share(Cluster_Host(cluster, host)->membership, &item);
        }
        Cluster_Flush(cluster, host);
    }
}

static void
note_ages(const Surge *surge, Histogram *ages, uint64_t *known, uint64_t *all)
{
    uint32_t hosts = Cluster_Count(surge->cluster);

    for (uint32_t a = 0; a < hosts; a++) {
        for (uint32_t b = 0; b < hosts; b++) {
            for (uint32_t i = 0; i < USAGE_ITEMS && a != b; i++) {
                Micros age =
                    Cluster_Now(surge->cluster) - surge->last[a][b][i];

                Histogram_Add(ages, age);
                *known += age < SharedKind_MaxAge(SHARED_USAGE);
                (*all)++;
            }
        }
    }
}

/* Every host is short of capacity in two services for 20 s. */
static void
measure_surge(uint32_t hosts)
{
    Cluster *cluster = create_cluster(hosts, SEED + 1);
    Surge surge = {cluster,
                   g_malloc0(sizeof(*surge.last) * CLUSTER_HOSTS_MAX)};
    Histogram *ages = Histogram_Create();
    double seconds = 20;
    uint64_t known = 0;
    uint64_t all = 0;
    Totals start, end;

    Cluster_SetItemHandler(cluster, note_usage, &surge);
    Cluster_Run(cluster, WARM_UP);
    start = totals(cluster);
    for (int i = 0; i < (int)seconds * 20; i++) {
        share_usage(cluster);
        Cluster_Run(cluster, 50 * MICROS_PER_MS);
        if (i >= 100 && i % 10 == 0) {
            note_ages(&surge, ages, &known, &all);
        }
    }
    end = totals(cluster);
    print_bound("surge_bytes_in_any_second", hosts, peak_bytes(cluster),
                BYTES_BOUND, peak_bytes(cluster) <= BYTES_BOUND);
    print("surge_bytes_per_s", hosts,
          (end.bytes - start.bytes) / seconds / hosts);
    print("surge_messages_per_s", hosts,
          (end.messages - start.messages) / seconds / hosts);
    print_bound("surge_cpu_share", hosts,
                (end.cpu - start.cpu) / seconds / hosts, CPU_BOUND,
                (end.cpu - start.cpu) / seconds / hosts <= CPU_BOUND);
    print("surge_usage_age_p50_ms", hosts,
          (double)Histogram_Quantile(ages, 0.5) / 1000);
    print("surge_usage_age_p99_ms", hosts,
          (double)Histogram_Quantile(ages, 0.99) / 1000);
    print("surge_usage_known_share", hosts, (double)known / (double)all);
    print("surge_memory_bytes", hosts,
          (double)Membership_Bytes(Cluster_Host(cluster, 0)->membership));
    Histogram_Destroy(ages);
    g_free(surge.last);
    Cluster_Destroy(cluster);
}

typedef struct DrainRun_ {
    Cluster *cluster;
    Micros shared;
    uint32_t number;
    uint32_t reached;
    Micros last;
    Histogram *each; /* time to each host */
    Histogram *all;  /* time to the last host */
} DrainRun;

static void
note_drain(void *user, uint32_t host, const SharedItem *item)
{
    DrainRun *run = user;
    uint64_t number = 0;
    Str digits;

    if (item->kind != SHARED_DRAIN) {
        return;
    }
    digits.data = item->drain.upstream.data + strlen("drain-");
    digits.length = item->drain.upstream.length - strlen("drain-");
    if (Str_ParseU64(digits, &number) == 0 && number == run->number) {
        run->last = Cluster_Now(run->cluster) - run->shared;
        run->reached++;
        Histogram_Add(run->each, run->last);
    }
}

static void
measure_drains(uint32_t hosts)
{
    Cluster *cluster = create_cluster(hosts, SEED + 2);
    DrainRun run = {cluster, .each = Histogram_Create(),
                    .all = Histogram_Create()};
    char name[64];
    FILE *data;
    double expected = (double)DRAINS * (hosts - 1);
    double in_time;

    Cluster_SetItemHandler(cluster, note_drain, &run);
    Cluster_Run(cluster, WARM_UP);
    for (uint32_t i = 0; i < DRAINS; i++) {
        SharedItem item = {.kind = SHARED_DRAIN};

        g_snprintf(name, sizeof(name), "drain-%u", i);
        item.drain.upstream = Str_FromC(name);
        run.number = i;
        run.reached = 0;
        run.shared = Cluster_Now(cluster);
        Cluster_Share(cluster, i % hosts, &item);
        Cluster_Run(cluster, DRAIN_BOUND);
        if (run.reached == hosts - 1) {
            Histogram_Add(run.all, run.last);
        }
    }
    in_time = (double)Histogram_Count(run.each) / expected;
    print("drain_each_host_p50_ms", hosts,
          (double)Histogram_Quantile(run.each, 0.5) / 1000);
    print("drain_each_host_p99_ms", hosts,
          (double)Histogram_Quantile(run.each, 0.99) / 1000);
    print("drain_all_hosts_p50_ms", hosts,
          (double)Histogram_Quantile(run.all, 0.5) / 1000);
    print("drain_all_hosts_p99_ms", hosts,
          (double)Histogram_Quantile(run.all, 0.99) / 1000);
    print_bound("drain_within_2_s_share", hosts, in_time, 0.999,
                in_time >= 0.999);
    print("drain_all_within_2_s_share", hosts,
          (double)Histogram_Count(run.all) / DRAINS);
    g_snprintf(name, sizeof(name), "membership_drain_%u.dat", hosts);
    data = open_data(name);
    for (int i = 0; i <= 1000; i++) {
        fprintf(data, "%g %g\n",
                (double)Histogram_Quantile(run.each, i / 1000.0) / 1000,
                i / 1000.0);
    }
    fclose(data);
    Histogram_Destroy(run.each);
    Histogram_Destroy(run.all);
    Cluster_Destroy(cluster);
}

/* Hosts that have @victim in their view. */
static uint32_t
viewers(Cluster *cluster, uint32_t victim)
{
    uint32_t n = 0;

    for (uint32_t i = 0; i < Cluster_Count(cluster); i++) {
        ClusterHost *host = Cluster_Host(cluster, i);
        HostView view;

        n += host->alive && i != victim &&
             Membership_Find(host->membership,
                             Str_FromC(Cluster_Host(cluster, victim)->id),
                             &view) &&
             view.state != HOST_REMOVED;
    }
    return n;
}

static void
measure_deaths(uint32_t hosts, uint32_t deaths)
{
    Histogram *first = Histogram_Create();
    Histogram *last = Histogram_Create();
    Cluster *cluster = create_cluster(hosts, SEED + 3);

    Cluster_Run(cluster, WARM_UP);
    for (uint32_t victim = 0; victim < deaths; victim++) {
        Micros start = Cluster_Now(cluster);
        uint32_t before = viewers(cluster, victim);
        uint32_t now = before;
        bool noted = false;

        Cluster_Kill(cluster, victim);
        while (now > 0 && Cluster_Now(cluster) - start < 120 * MICROS_PER_S) {
            Cluster_Run(cluster, 5 * STEP);
            now = viewers(cluster, victim);
            if (now < before && !noted) {
                noted = true;
                Histogram_Add(first, Cluster_Now(cluster) - start);
            }
        }
        Histogram_Add(last, Cluster_Now(cluster) - start);
    }
    print("death_first_host_p50_s", hosts,
          (double)Histogram_Quantile(first, 0.5) / MICROS_PER_S);
    print("death_all_hosts_p50_s", hosts,
          (double)Histogram_Quantile(last, 0.5) / MICROS_PER_S);
    print("death_all_hosts_max_s", hosts,
          (double)Histogram_Quantile(last, 1) / MICROS_PER_S);
    Histogram_Destroy(first);
    Histogram_Destroy(last);
    Cluster_Destroy(cluster);
}

/* Removals and suspicions of hosts that only paused, a pause at a time. */
static void
measure_pauses(uint32_t hosts, uint32_t seconds)
{
    Cluster *cluster = create_cluster(hosts, SEED + 4);
    uint64_t removed = 0;
    uint64_t suspected = 0;
    uint32_t pauses = 50;

    Cluster_Run(cluster, WARM_UP);
    for (uint32_t i = 0; i < hosts; i++) {
        suspected -= Membership_Counters(Cluster_Host(cluster, i)->membership)
                         ->suspected;
    }
    for (uint32_t i = 0; i < pauses; i++) {
        Cluster_Pause(cluster, i % hosts, true);
        Cluster_Run(cluster, seconds * MICROS_PER_S);
        Cluster_Pause(cluster, i % hosts, false);
        Cluster_Run(cluster, 5 * MICROS_PER_S);
    }
    for (uint32_t i = 0; i < hosts; i++) {
        const MembershipCounters *counters =
            Membership_Counters(Cluster_Host(cluster, i)->membership);

        removed += counters->removed;
        suspected += counters->suspected;
    }
    printf("pause_%u_s_false_removals_%u=%" G_GUINT64_FORMAT "\n", seconds,
           hosts, removed);
    printf("pause_%u_s_suspicions_per_pause_%u=%g\n", seconds, hosts,
           (double)suspected / pauses);
    Cluster_Destroy(cluster);
}

static bool
views_are_full(Cluster *cluster)
{
    uint64_t seen[CLUSTER_HOSTS_MAX];

    for (uint32_t i = 0; i < Cluster_Count(cluster); i++) {
        if (Cluster_GetView(cluster, i, seen) != Cluster_Count(cluster)) {
            return false;
        }
    }
    return true;
}

/* A failure domain is cut off for an hour. */
static void
measure_rejoin(uint32_t hosts)
{
    Cluster *cluster = create_cluster(hosts, SEED + 5);
    FILE *data = open_data("membership_rejoin.dat");
    Totals start, end;
    Micros healed;
    Micros full = -1;

    Cluster_Run(cluster, WARM_UP);
    Cluster_IsolateDomain(cluster, 3, true);
    Cluster_Run(cluster, 3600 * MICROS_PER_S);
    for (uint32_t i = 0; i < hosts; i++) {
        Cluster_Host(cluster, i)->window_bytes_max = 0;
        Cluster_Host(cluster, i)->window_messages_max = 0;
    }
    Cluster_IsolateDomain(cluster, 3, false);
    healed = Cluster_Now(cluster);
    start = end = totals(cluster);
    while (Cluster_Now(cluster) - healed < 20 * MICROS_PER_S) {
        Totals before = end;

        Cluster_Run(cluster, 250 * MICROS_PER_MS);
        end = totals(cluster);
        fprintf(data, "%g %g\n",
                (double)(Cluster_Now(cluster) - healed) / MICROS_PER_S,
                (end.bytes - before.bytes) * 4 / hosts);
        if (full < 0 && views_are_full(cluster)) {
            full = Cluster_Now(cluster) - healed;
        }
    }
    print("rejoin_all_views_full_s", hosts, (double)full / MICROS_PER_S);
    print("rejoin_bytes_per_s_in_20_s", hosts,
          (end.bytes - start.bytes) / 20 / hosts);
    print("rejoin_messages_per_s_in_20_s", hosts,
          (end.messages - start.messages) / 20 / hosts);
    print_bound("rejoin_bytes_in_any_second", hosts, peak_bytes(cluster),
                BYTES_BOUND, peak_bytes(cluster) <= BYTES_BOUND);
    fclose(data);
    Cluster_Destroy(cluster);
}

int
main(void)
{
    printf("seed=%d\n", SEED);
    measure_slopes();
    measure_surge(20);
    measure_surge(200);
    measure_drains(20);
    measure_drains(200);
    measure_deaths(20, 10);
    measure_deaths(200, 3);
    measure_pauses(20, 1);
    measure_pauses(20, 3);
    measure_pauses(20, 5);
    measure_pauses(20, 8);
    measure_rejoin(20);
    return 0;
}
