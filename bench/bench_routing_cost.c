/*
 * Processor time, instructions and memory of routing decisions, by the number
 * of upstreams and services.
 */
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

#define SIZE_COUNT G_N_ELEMENTS(sizes)

typedef struct Cost_ {
    double ns;
    double instructions;
    double bytes;
} Cost;

/* Returns a perf counter of the user-mode instructions of this thread, or -1
 * where the kernel or the machine provides none. */
static int
open_instruction_counter(void)
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
read_instruction_counter(int counter)
{
    uint64_t value = 0;

    if (counter < 0 ||
        read(counter, &value, sizeof(value)) != (ssize_t)sizeof(value)) {
        return 0;
    }
    return value;
}

/* Bytes in use on the heap, including blocks that malloc() has mapped. */
static size_t
heap_bytes(void)
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

/* One request: a routing decision, the attempt, and a response with a load
 * report. */
static void
route_request(Router *router, Clock *clock, uint32_t service)
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

/* A router of one size, which is kept for all rounds. */
typedef struct RouterBench_ {
    Router *router;
    uint32_t services;
    Cost cost;
} RouterBench;

static RouterBench
create_bench(Clock *clock, Random *random, uint32_t upstreams,
             uint32_t services)
{
    size_t before = heap_bytes();
    RouterBench bench = {
        .router = create_router(clock, random, upstreams, services),
        .services = services,
        .cost = {.ns = 1e18},
    };

    for (uint32_t s = 0; s < services; s++) {
        route_request(bench.router, clock, s);
    }
    bench.cost.bytes = (double)(heap_bytes() - before);
    return bench;
}

static void
run_round(RouterBench *bench, Clock *clock, const Clock *system_clock,
          Random *random, int counter)
{
    Micros start = Clock_Now(system_clock);
    uint64_t instructions = read_instruction_counter(counter);
    double ns;

    for (int i = 0; i < DECISIONS; i++) {
        route_request(bench->router, clock,
                      (uint32_t)Random_Below(random, bench->services));
    }
    instructions = read_instruction_counter(counter) - instructions;
    ns = (double)(Clock_Now(system_clock) - start) * 1000 / DECISIONS;
    bench->cost.ns = MIN(bench->cost.ns, ns);
    bench->cost.instructions = (double)instructions / DECISIONS;
}

/* Time per service, in microseconds, to compute the subsets after a change of
 * hosts. */
static double
subset_us_per_service(RouterBench *bench, Clock *clock,
                      const Clock *system_clock, Random *random,
                      uint32_t hosts)
{
    uint64_t keys[HOSTS_MAX];
    uint32_t services = MIN(bench->services, 100);
    Micros start;

    for (uint32_t h = 0; h < hosts; h++) {
        keys[h] = Random_Next(random);
    }
    Router_SetHosts(bench->router, keys, hosts, 0);
    start = Clock_Now(system_clock);
    for (uint32_t s = 0; s < services; s++) {
        route_request(bench->router, clock, s);
    }
    return (double)(Clock_Now(system_clock) - start) / services;
}

static void
print_cost(const RouterBench *bench, uint32_t upstreams, int counter,
           FILE *out)
{
    printf("decision_ns_%u=%.0f\n", upstreams, bench->cost.ns);
    if (counter >= 0) {
        printf("decision_instructions_%u=%.0f\n", upstreams,
               bench->cost.instructions);
    }
    printf("router_bytes_%u=%.0f\n", upstreams, bench->cost.bytes);
    if (out != NULL) {
        fprintf(out, "%u %.1f %.0f\n", upstreams, bench->cost.ns,
                bench->cost.bytes);
    }
}

static void
print_slopes(const RouterBench *benches, const RouterBench *half_services,
             int counter)
{
    const Cost *smallest = &benches[0].cost;
    const Cost *largest = &benches[SIZE_COUNT - 1].cost;
    double services =
        benches[SIZE_COUNT - 1].services - half_services->services;
    double bytes_per_service =
        (largest->bytes - half_services->cost.bytes) / services;

    printf("decision_ns_ratio_17000_to_35=%.3f\n", largest->ns / smallest->ns);
    if (counter >= 0) {
        printf("decision_instructions_ratio_17000_to_35=%.3f\n",
               largest->instructions / smallest->instructions);
    }
    else {
        printf("decision_instructions=not_counted_on_this_machine\n");
    }
    printf("router_bytes_per_service=%.0f\n", bytes_per_service);
    printf("router_bytes_per_upstream=%.0f\n",
           (largest->bytes -
            bytes_per_service * benches[SIZE_COUNT - 1].services) /
               17000);
}

int
main(void)
{
    int counter = open_instruction_counter();
    FILE *out = fopen("bench/out/routing_cost.dat", "w");
    Clock *clock = Clock_CreateManual(MICROS_PER_S, 0);
    Clock *system_clock = Clock_CreateSystem();
    Random *random = Random_Create(SEED);
    RouterBench benches[SIZE_COUNT];
    RouterBench half_services = create_bench(clock, random, 17000, 550);

    printf("decision_seed=%d decision_rounds=%d\n", SEED, ROUNDS);
    for (size_t i = 0; i < SIZE_COUNT; i++) {
        benches[i] =
            create_bench(clock, random, sizes[i].upstreams, sizes[i].services);
    }
    /* Rounds of all sizes alternate, so that other work on the machine affects
     * all sizes alike. */
    for (int round = 0; round < ROUNDS; round++) {
        for (size_t i = 0; i < SIZE_COUNT; i++) {
            run_round(&benches[i], clock, system_clock, random, counter);
        }
    }
    for (size_t i = 0; i < SIZE_COUNT; i++) {
        print_cost(&benches[i], sizes[i].upstreams, counter, out);
    }
    print_slopes(benches, &half_services, counter);
    for (uint32_t hosts = HOSTS; hosts <= HOSTS_MAX; hosts *= 10) {
        printf("subset_us_per_service_%u_hosts=%.1f\n", hosts,
               subset_us_per_service(&benches[SIZE_COUNT - 1], clock,
                                     system_clock, random, hosts));
    }
    for (size_t i = 0; i < SIZE_COUNT; i++) {
        Router_Destroy(benches[i].router);
    }
    Router_Destroy(half_services.router);
    Random_Destroy(random);
    Clock_Destroy(system_clock);
    Clock_Destroy(clock);
    if (out != NULL) {
        fclose(out);
    }
    return 0;
}
