/*
 * Cost and delays of membership. The Membership objects of a whole deployment
 * run in one process on a simulated network. Processor time includes the
 * simulated network, encoding and decoding, but not ZeroMQ and CURVE.
 */
#include <glib.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

#include "Cluster.h"
#include "Histogram.h"

#define SEED 20
#define MESSAGE_LOSS_RATIO 0.01
#define WARM_UP_US (90 * MICROS_PER_S)
#define SENT_BYTES_PER_S_BOUND 10000.0
#define CPU_RATIO_BOUND 0.01
#define MEMORY_BYTES_BOUND (32.0 * 1024 * 1024)
#define DRAIN_BOUND_US (2 * MICROS_PER_S)
#define DRAIN_COUNT 400
#define USAGE_ITEMS_PER_HOST 12
#define STEP_US (20 * MICROS_PER_MS)

typedef struct Totals_ {
    double bytes, messages, received, cpu;
} Totals;

static void
print_value(const char *name, uint32_t hosts, double value)
{
    printf("%s_%u=%g\n", name, hosts, value);
}

static void
print_bound(const char *name, uint32_t hosts, double value, double bound,
            bool met)
{
    print_value(name, hosts, value);
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
    options.loss_ratio = MESSAGE_LOSS_RATIO;
    return Cluster_Create(&options);
}

static Totals
sum_hosts(Cluster *cluster)
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

/* Largest number of bytes that any host sent within one second. */
static double
peak_bytes(Cluster *cluster)
{
    uint64_t peak = 0;

    for (uint32_t i = 0; i < Cluster_Count(cluster); i++) {
        peak = MAX(peak, Cluster_Host(cluster, i)->window_bytes_max);
    }
    return (double)peak;
}

/* Cost of one host while the membership does not change and nothing is shared.
 * The result has the memory of a host in its field received. */
static Totals
measure_idle(uint32_t hosts, FILE *data)
{
    Cluster *cluster = create_cluster(hosts, SEED);
    Totals start, end, cost;
    double seconds = 60;
    double scale = 1 / (seconds * hosts);
    double memory;

    Cluster_Run(cluster, WARM_UP_US);
    start = sum_hosts(cluster);
    Cluster_Run(cluster, (Micros)seconds * MICROS_PER_S);
    end = sum_hosts(cluster);
    cost.bytes = (end.bytes - start.bytes) * scale;
    cost.messages = (end.messages - start.messages) * scale;
    cost.received = (end.received - start.received) * scale;
    cost.cpu = (end.cpu - start.cpu) * scale;
    memory = (double)Membership_Bytes(Cluster_Host(cluster, 0)->membership);
    print_bound("calm_bytes_per_s", hosts, cost.bytes, SENT_BYTES_PER_S_BOUND,
                cost.bytes <= SENT_BYTES_PER_S_BOUND);
    print_value("calm_received_bytes_per_s", hosts, cost.received);
    print_value("calm_messages_per_s", hosts, cost.messages);
    print_bound("calm_cpu_share", hosts, cost.cpu, CPU_RATIO_BOUND,
                cost.cpu <= CPU_RATIO_BOUND);
    print_bound("memory_bytes", hosts, memory, MEMORY_BYTES_BOUND,
                memory <= MEMORY_BYTES_BOUND);
    fprintf(data, "%u %g %g %g %g\n", hosts, cost.bytes, cost.messages,
            cost.cpu, memory);
    Cluster_Destroy(cluster);
    cost.received = memory;
    return cost;
}

static void
measure_scaling(void)
{
    static const uint32_t sizes[] = {5, 10, 20, 50, 100, 200};
    FILE *data = open_data("membership_cost.dat");
    Totals first = {0};
    Totals last = {0};
    double hosts = 195;

    for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
        last = measure_idle(sizes[i], data);
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
    /* Time of origin of the newest item received: [receiver][origin][item]. */
    Micros (*newest)[CLUSTER_HOSTS_MAX][USAGE_ITEMS_PER_HOST];
} Surge;

/* Index of the item among the USAGE_ITEMS_PER_HOST items of its host. */
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
on_usage(void *user, uint32_t host, const SharedItem *item)
{
    Surge *surge = user;
    uint64_t origin = 0;
    Str digits = {item->host.data + strlen("balancer-"),
                  item->host.length - strlen("balancer-")};

    if (item->kind == SHARED_USAGE && Str_ParseU64(digits, &origin) == 0) {
        Micros created = Cluster_Now(surge->cluster) - item->age;

        Micros *newest = &surge->newest[host][origin][usage_index(item)];

        *newest = MAX(*newest, created);
    }
}

/* Every host shares its usage of 2 services: in total and for each of 5
 * lines. */
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
record_ages(const Surge *surge, Histogram *ages, uint64_t *fresh,
            uint64_t *all)
{
    uint32_t hosts = Cluster_Count(surge->cluster);

    for (uint32_t a = 0; a < hosts; a++) {
        for (uint32_t b = 0; b < hosts; b++) {
            for (uint32_t i = 0; i < USAGE_ITEMS_PER_HOST && a != b; i++) {
                Micros age =
                    Cluster_Now(surge->cluster) - surge->newest[a][b][i];

                Histogram_Add(ages, age);
                *fresh += age < SharedKind_MaxAge(SHARED_USAGE);
                (*all)++;
            }
        }
    }
}

/* For 20 s every host is short of capacity in two services and shares its
 * usage. */
static void
measure_surge(uint32_t hosts)
{
    Cluster *cluster = create_cluster(hosts, SEED + 1);
    Surge surge = {cluster,
                   g_malloc0(sizeof(*surge.newest) * CLUSTER_HOSTS_MAX)};
    Histogram *ages = Histogram_Create();
    double seconds = 20;
    uint64_t fresh = 0;
    uint64_t all = 0;
    Totals start, end;

    Cluster_SetItemHandler(cluster, on_usage, &surge);
    Cluster_Run(cluster, WARM_UP_US);
    start = sum_hosts(cluster);
    for (int i = 0; i < (int)seconds * 20; i++) {
        share_usage(cluster);
        Cluster_Run(cluster, 50 * MICROS_PER_MS);
        if (i >= 100 && i % 10 == 0) {
            record_ages(&surge, ages, &fresh, &all);
        }
    }
    end = sum_hosts(cluster);
    print_bound("surge_bytes_in_any_second", hosts, peak_bytes(cluster),
                SENT_BYTES_PER_S_BOUND,
                peak_bytes(cluster) <= SENT_BYTES_PER_S_BOUND);
    print_value("surge_bytes_per_s", hosts,
                (end.bytes - start.bytes) / seconds / hosts);
    print_value("surge_messages_per_s", hosts,
                (end.messages - start.messages) / seconds / hosts);
    print_bound("surge_cpu_share", hosts,
                (end.cpu - start.cpu) / seconds / hosts, CPU_RATIO_BOUND,
                (end.cpu - start.cpu) / seconds / hosts <= CPU_RATIO_BOUND);
    print_value("surge_usage_age_p50_ms", hosts,
                (double)Histogram_Quantile(ages, 0.5) / 1000);
    print_value("surge_usage_age_p99_ms", hosts,
                (double)Histogram_Quantile(ages, 0.99) / 1000);
    print_value("surge_usage_known_share", hosts, (double)fresh / (double)all);
    print_value(
        "surge_memory_bytes", hosts,
        (double)Membership_Bytes(Cluster_Host(cluster, 0)->membership));
    Histogram_Destroy(ages);
    g_free(surge.newest);
    Cluster_Destroy(cluster);
}

typedef struct DrainRun_ {
    Cluster *cluster;
    Micros shared_at;
    uint32_t number;        /* of the current drain */
    uint32_t reached;       /* hosts that know of it */
    Micros last_delay;      /* until the last of them knew of it */
    Histogram *host_delays; /* one value for each drain and host */
    Histogram *last_delays; /* one value for each drain that reached all */
} DrainRun;

static void
on_drain(void *user, uint32_t host, const SharedItem *item)
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
        run->last_delay = Cluster_Now(run->cluster) - run->shared_at;
        run->reached++;
        Histogram_Add(run->host_delays, run->last_delay);
    }
}

static void
measure_drains(uint32_t hosts)
{
    Cluster *cluster = create_cluster(hosts, SEED + 2);
    DrainRun run = {cluster, .host_delays = Histogram_Create(),
                    .last_delays = Histogram_Create()};
    char name[64];
    FILE *data;
    double expected = (double)DRAIN_COUNT * (hosts - 1);
    double in_time;

    Cluster_SetItemHandler(cluster, on_drain, &run);
    Cluster_Run(cluster, WARM_UP_US);
    for (uint32_t i = 0; i < DRAIN_COUNT; i++) {
        SharedItem item = {.kind = SHARED_DRAIN};

        g_snprintf(name, sizeof(name), "drain-%u", i);
        item.drain.upstream = Str_FromC(name);
        run.number = i;
        run.reached = 0;
        run.shared_at = Cluster_Now(cluster);
        Cluster_Share(cluster, i % hosts, &item);
        Cluster_Run(cluster, DRAIN_BOUND_US);
        if (run.reached == hosts - 1) {
            Histogram_Add(run.last_delays, run.last_delay);
        }
    }
    in_time = (double)Histogram_Count(run.host_delays) / expected;
    print_value("drain_each_host_p50_ms", hosts,
                (double)Histogram_Quantile(run.host_delays, 0.5) / 1000);
    print_value("drain_each_host_p99_ms", hosts,
                (double)Histogram_Quantile(run.host_delays, 0.99) / 1000);
    print_value("drain_all_hosts_p50_ms", hosts,
                (double)Histogram_Quantile(run.last_delays, 0.5) / 1000);
    print_value("drain_all_hosts_p99_ms", hosts,
                (double)Histogram_Quantile(run.last_delays, 0.99) / 1000);
    print_bound("drain_within_2_s_share", hosts, in_time, 0.999,
                in_time >= 0.999);
    print_value("drain_all_within_2_s_share", hosts,
                (double)Histogram_Count(run.last_delays) / DRAIN_COUNT);
    g_snprintf(name, sizeof(name), "membership_drain_%u.dat", hosts);
    data = open_data(name);
    for (int i = 0; i <= 1000; i++) {
        fprintf(data, "%g %g\n",
                (double)Histogram_Quantile(run.host_delays, i / 1000.0) / 1000,
                i / 1000.0);
    }
    fclose(data);
    Histogram_Destroy(run.host_delays);
    Histogram_Destroy(run.last_delays);
    Cluster_Destroy(cluster);
}

/* Number of hosts that have the host @crashed in their view. */
static uint32_t
count_views(Cluster *cluster, uint32_t crashed)
{
    uint32_t n = 0;

    for (uint32_t i = 0; i < Cluster_Count(cluster); i++) {
        ClusterHost *host = Cluster_Host(cluster, i);
        HostView view;

        n += host->alive && i != crashed &&
             Membership_Find(host->membership,
                             Str_FromC(Cluster_Host(cluster, crashed)->id),
                             &view) &&
             view.state != HOST_REMOVED;
    }
    return n;
}

static void
measure_crashes(uint32_t hosts, uint32_t crashes)
{
    Histogram *first = Histogram_Create();
    Histogram *last = Histogram_Create();
    Cluster *cluster = create_cluster(hosts, SEED + 3);

    Cluster_Run(cluster, WARM_UP_US);
    for (uint32_t crashed = 0; crashed < crashes; crashed++) {
        Micros start = Cluster_Now(cluster);
        uint32_t before = count_views(cluster, crashed);
        uint32_t now = before;
        bool recorded = false;

        Cluster_Kill(cluster, crashed);
        while (now > 0 && Cluster_Now(cluster) - start < 120 * MICROS_PER_S) {
            Cluster_Run(cluster, 5 * STEP_US);
            now = count_views(cluster, crashed);
            if (now < before && !recorded) {
                recorded = true;
                Histogram_Add(first, Cluster_Now(cluster) - start);
            }
        }
        Histogram_Add(last, Cluster_Now(cluster) - start);
    }
    print_value("death_first_host_p50_s", hosts,
                (double)Histogram_Quantile(first, 0.5) / MICROS_PER_S);
    print_value("death_all_hosts_p50_s", hosts,
                (double)Histogram_Quantile(last, 0.5) / MICROS_PER_S);
    print_value("death_all_hosts_max_s", hosts,
                (double)Histogram_Quantile(last, 1) / MICROS_PER_S);
    Histogram_Destroy(first);
    Histogram_Destroy(last);
    Cluster_Destroy(cluster);
}

/* Pauses one host at a time and counts the removals and suspicions, which are
 * all false: every paused host continues. */
static void
measure_pauses(uint32_t hosts, uint32_t seconds)
{
    Cluster *cluster = create_cluster(hosts, SEED + 4);
    uint64_t removed = 0;
    uint64_t suspected = 0;
    uint32_t pauses = 50;

    Cluster_Run(cluster, WARM_UP_US);
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

/* One failure domain is cut off for an hour and then rejoins. */
static void
measure_rejoin(uint32_t hosts)
{
    Cluster *cluster = create_cluster(hosts, SEED + 5);
    FILE *data = open_data("membership_rejoin.dat");
    Totals start, end;
    Micros healed_at;
    Micros full_after = -1;

    Cluster_Run(cluster, WARM_UP_US);
    Cluster_IsolateDomain(cluster, 3, true);
    Cluster_Run(cluster, 3600 * MICROS_PER_S);
    for (uint32_t i = 0; i < hosts; i++) {
        Cluster_Host(cluster, i)->window_bytes_max = 0;
        Cluster_Host(cluster, i)->window_messages_max = 0;
    }
    Cluster_IsolateDomain(cluster, 3, false);
    healed_at = Cluster_Now(cluster);
    start = end = sum_hosts(cluster);
    while (Cluster_Now(cluster) - healed_at < 20 * MICROS_PER_S) {
        Totals before = end;

        Cluster_Run(cluster, 250 * MICROS_PER_MS);
        end = sum_hosts(cluster);
        fprintf(data, "%g %g\n",
                (double)(Cluster_Now(cluster) - healed_at) / MICROS_PER_S,
                (end.bytes - before.bytes) * 4 / hosts);
        if (full_after < 0 && views_are_full(cluster)) {
            full_after = Cluster_Now(cluster) - healed_at;
        }
    }
    print_value("rejoin_all_views_full_s", hosts,
                (double)full_after / MICROS_PER_S);
    print_value("rejoin_bytes_per_s_in_20_s", hosts,
                (end.bytes - start.bytes) / 20 / hosts);
    print_value("rejoin_messages_per_s_in_20_s", hosts,
                (end.messages - start.messages) / 20 / hosts);
    print_bound("rejoin_bytes_in_any_second", hosts, peak_bytes(cluster),
                SENT_BYTES_PER_S_BOUND,
                peak_bytes(cluster) <= SENT_BYTES_PER_S_BOUND);
    fclose(data);
    Cluster_Destroy(cluster);
}

int
main(void)
{
    printf("seed=%d\n", SEED);
    measure_scaling();
    measure_surge(20);
    measure_surge(200);
    measure_drains(20);
    measure_drains(200);
    measure_crashes(20, 10);
    measure_crashes(200, 3);
    measure_pauses(20, 1);
    measure_pauses(20, 3);
    measure_pauses(20, 5);
    measure_pauses(20, 8);
    measure_rejoin(20);
    return 0;
}
