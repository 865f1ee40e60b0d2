#include <linux/perf_event.h>
#include <malloc.h>
#include <stdio.h>
#include <string.h>
#include <sys/ioctl.h>
#include <sys/syscall.h>
#include <unistd.h>

#include <glib.h>

#include "Router.h"

#define SEED 1
#define DECISIONS 100000
#define ROUNDS 21
#define HOSTS 20
#define HOSTS_MAX 2000

/* Sizes from today's deployments to the two-year target. */
static const struct {
    uint32_t upstreams;
    uint32_t services;
} sizes[] = {{35, 2}, {350, 23}, {1700, 110}, {17000, 1100}};

#define SIZES G_N_ELEMENTS(sizes)

typedef struct Cost_ {
    double ns;
    double instructions;
    double bytes;
} Cost;

/* User-mode instructions of this thread, or -1 where they are not counted. */
static int
open_counter(void)
{
    struct perf_event_attr attr = {
        .type = PERF_TYPE_HARDWARE,
        .size = sizeof(attr),
        .config = PERF_COUNT_HW_INSTRUCTIONS,
        .exclude_kernel = 1,
        .exclude_hv = 1,
    };

    return (int)syscall(SYS_perf_event_open, &attr, 0, -1, -1, 0);
}

static uint64_t
read_counter(int counter)
{
    uint64_t value = 0;

    if (counter < 0 ||
        read(counter, &value, sizeof(value)) != (ssize_t)sizeof(value)) {
        return 0;
    }
    return value;
}

/* Bytes in use on the heap, large blocks included. */
static size_t
allocated(void)
{
    struct mallinfo2 info = mallinfo2();

    return info.uordblks + info.hblkhd;
}

static Router *
create_router(const Clock *clock, Random *random, uint32_t upstreams,
              uint32_t services)
{
    RouterOptions options = RouterOptions_Default();
    ServiceInfo limits = {.connections = 250, .probes = {20, 4000, 0.001}};
    Router *router = Router_Create(&options, clock, random);
    uint64_t keys[HOSTS];

    for (int h = 0; h < HOSTS; h++) {
        keys[h] = Random_Next(random);
    }
    Router_SetHosts(router, keys, HOSTS, 0);
    for (uint32_t s = 0; s < services; s++) {
        Router_SetService(router, s, &limits);
    }
    for (uint32_t u = 0; u < upstreams; u++) {
        UpstreamInfo info = {
            .key = Random_Next(random), .domain = u % 13, .slots = 6};

        Router_AddUpstream(
            router, (uint32_t)((uint64_t)u * services / upstreams), u, &info);
    }
    return router;
}

/* One request: choose, send, and a report with the response. */
static void
decide(Router *router, Clock *clock, uint32_t service)
{
    RouteQuery query = {.service = service};
    LoadReport report = {.inflight = 4, .slots = 6};
    RouteChoice choice;

    if (Router_Choose(router, &query, &choice) == 0) {
        Router_OnSent(router, choice.upstream);
        Clock_Advance(clock, 10);
        Router_OnReport(router, choice.upstream, &report, 0);
        Router_OnFinished(router, choice.upstream, ATTEMPT_OK, 10);
    }
}

/* One router with the size it has, kept for all rounds. */
typedef struct Bed_ {
    Router *router;
    uint32_t services;
    Cost cost;
} Bed;

static Bed
create_bed(Clock *clock, Random *random, uint32_t upstreams, uint32_t services)
{
    size_t before = allocated();
    Bed bed = {
        .router = create_router(clock, random, upstreams, services),
        .services = services,
        .cost = {.ns = 1e18},
    };

    for (uint32_t s = 0; s < services; s++) {
        decide(bed.router, clock, s);
    }
    bed.cost.bytes = (double)(allocated() - before);
    return bed;
}

static void
run_round(Bed *bed, Clock *clock, const Clock *real, Random *random,
          int counter)
{
    Micros start = Clock_Now(real);
    uint64_t counted = read_counter(counter);
    double ns;

    for (int i = 0; i < DECISIONS; i++) {
        decide(bed->router, clock,
               (uint32_t)Random_Below(random, bed->services));
    }
    counted = read_counter(counter) - counted;
    ns = (double)(Clock_Now(real) - start) * 1000 / DECISIONS;
    bed->cost.ns = MIN(bed->cost.ns, ns);
    bed->cost.instructions = (double)counted / DECISIONS;
}

/* Microseconds for each service to compute subsets after a host change. */
static double
refresh_cost(Bed *bed, Clock *clock, const Clock *real, Random *random,
             uint32_t hosts)
{
    uint64_t keys[HOSTS_MAX];
    uint32_t services = MIN(bed->services, 100);
    Micros start;

    for (uint32_t h = 0; h < hosts; h++) {
        keys[h] = Random_Next(random);
    }
    Router_SetHosts(bed->router, keys, hosts, 0);
    start = Clock_Now(real);
    for (uint32_t s = 0; s < services; s++) {
        decide(bed->router, clock, s);
    }
    return (double)(Clock_Now(real) - start) / services;
}

static void
print_cost(const Bed *bed, uint32_t upstreams, int counter, FILE *out)
{
    printf("decision_ns_%u=%.0f\n", upstreams, bed->cost.ns);
    if (counter >= 0) {
        printf("decision_instructions_%u=%.0f\n", upstreams,
               bed->cost.instructions);
    }
    printf("router_bytes_%u=%.0f\n", upstreams, bed->cost.bytes);
    if (out != NULL) {
        fprintf(out, "%u %.1f %.0f\n", upstreams, bed->cost.ns,
                bed->cost.bytes);
    }
}

static void
print_slopes(const Bed *beds, const Bed *half, int counter)
{
    const Cost *first = &beds[0].cost;
    const Cost *last = &beds[SIZES - 1].cost;
    double services = beds[SIZES - 1].services - half->services;
    double each = (last->bytes - half->cost.bytes) / services;

    printf("decision_ns_ratio_17000_to_35=%.3f\n", last->ns / first->ns);
    if (counter >= 0) {
        printf("decision_instructions_ratio_17000_to_35=%.3f\n",
               last->instructions / first->instructions);
    }
    else {
        printf("decision_instructions=not_counted_on_this_machine\n");
    }
    printf("router_bytes_per_service=%.0f\n", each);
    printf("router_bytes_per_upstream=%.0f\n",
           (last->bytes - each * beds[SIZES - 1].services) / 17000);
}

int
main(void)
{
    int counter = open_counter();
    FILE *out = fopen("bench/out/routing_cost.dat", "w");
    Clock *clock = Clock_CreateManual(MICROS_PER_S, 0);
    Clock *real = Clock_CreateSystem();
    Random *random = Random_Create(SEED);
    Bed beds[SIZES];
    Bed half = create_bed(clock, random, 17000, 550);

    printf("decision_seed=%d decision_rounds=%d\n", SEED, ROUNDS);
    for (size_t i = 0; i < SIZES; i++) {
        beds[i] =
            create_bed(clock, random, sizes[i].upstreams, sizes[i].services);
    }
    /* Sizes alternate, so that other work on the machine hits all alike. */
    for (int round = 0; round < ROUNDS; round++) {
        for (size_t i = 0; i < SIZES; i++) {
            run_round(&beds[i], clock, real, random, counter);
        }
    }
    for (size_t i = 0; i < SIZES; i++) {
        print_cost(&beds[i], sizes[i].upstreams, counter, out);
    }
    print_slopes(beds, &half, counter);
    for (uint32_t hosts = HOSTS; hosts <= HOSTS_MAX; hosts *= 10) {
        printf("subset_us_per_service_%u_hosts=%.1f\n", hosts,
               refresh_cost(&beds[SIZES - 1], clock, real, random, hosts));
    }
    for (size_t i = 0; i < SIZES; i++) {
        Router_Destroy(beds[i].router);
    }
    Router_Destroy(half.router);
    Random_Destroy(random);
    Clock_Destroy(real);
    Clock_Destroy(clock);
    if (out != NULL) {
        fclose(out);
    }
    return 0;
}
