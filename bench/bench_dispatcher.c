/*
 * Processor time of the gateway's decisions for one request, by the number of
 * listed upstreams and of other open requests.
 */
#include <stdio.h>
#include <string.h>

#include <glib.h>

#include "GatewayFixture.h"

/* From the users' sites to the two-year target. */
static const struct {
    uint32_t upstreams;
    uint32_t open_requests;
} sizes[] = {{36, 10}, {381, 10}, {381, 100}, {381, 1000}, {17000, 1000}};

#define REQUEST_COUNT 2000
#define SLOTS 1000
#define OBJECTIVE_US MICROS_PER_S
#define TIMEOUT_US (60 * MICROS_PER_S)
#define ARRIVAL_INTERVAL_US 100

typedef struct DispatcherBench_ {
    Clock *clock;
    Random *random;
    Counters *counters;
    Dispatcher *dispatcher;
    GQueue jobs;
} DispatcherBench;

static void
set_routes(DispatcherBench *bench)
{
    CallerLimits limits = {0};
    RouteTable *table = RouteTable_Create(1, &limits);

    RouteTable_AddService(table, GATEWAY_FIXTURE_SERVICE, STR("/health"));
    GatewayFixture_AddRoute(table, "/", ROUTE_IDEMPOTENT, 1, OBJECTIVE_US,
                            TIMEOUT_US);
    Dispatcher_SetRoutes(bench->dispatcher, table);
    RouteTable_Unref(table);
}

static void
add_upstreams(DispatcherBench *bench, uint32_t count)
{
    for (uint32_t i = 0; i < count; i++) {
        g_autofree char *id = g_strdup_printf("u%u", i);
        UpstreamEntry entry = GatewayFixture_Upstream(id, 80, SLOTS);

        entry.domain = i % 4 == 0 ? STR("a") : STR("b");
        Dispatcher_PutUpstream(bench->dispatcher, &entry);
    }
}

/* Executes all pending actions; each probe immediately reports an idle
 * upstream. */
static void
process_actions(DispatcherBench *bench)
{
    LoadReport report = {.slots = SLOTS, .slowdown_percent = 100};
    DispatchAction action;

    while (Dispatcher_NextAction(bench->dispatcher, &action)) {
        if (action.kind == DISPATCH_PROBE) {
            Dispatcher_OnProbeResult(bench->dispatcher, action.probe.upstream,
                                     PROBE_ANSWERED, &report);
        }
        else if (action.kind == DISPATCH_SEND) {
            g_queue_push_tail(&bench->jobs, action.job);
        }
    }
}

static void
submit_request(DispatcherBench *bench)
{
    JobInfo info = {
        .id = STR("0123456789abcdef"),
        .method = STR("GET"),
        .host = GATEWAY_FIXTURE_HOST,
        .path = STR("/1"),
    };

    Clock_Advance(bench->clock, ARRIVAL_INTERVAL_US);
    Dispatcher_Submit(bench->dispatcher, &info, NULL);
    process_actions(bench);
}

static void
finish_oldest_request(DispatcherBench *bench)
{
    AttemptEndInfo info = {.result = ATTEMPT_RESULT_RESPONSE, .status = 200};

    GatewayFixture_EndAttempt(bench->dispatcher,
                              g_queue_pop_head(&bench->jobs), &info);
    process_actions(bench);
}

static double
measure_request_us(uint32_t upstreams, uint32_t open_requests)
{
    DispatcherOptions options = {
        .domain = STR("a"),
        .retry_window = 10 * MICROS_PER_S,
        .retry_share = 0.2,
        .outage_grace = MICROS_PER_S,
    };
    DispatcherBench bench = {.clock = Clock_CreateManual(MICROS_PER_S, 0),
                             .random = Random_Create(1),
                             .counters = Counters_Create(100)};
    gint64 start, elapsed;

    bench.dispatcher = Dispatcher_Create(&options, bench.clock, bench.random,
                                         NULL, NULL, bench.counters);
    set_routes(&bench);
    add_upstreams(&bench, upstreams);
    while (bench.jobs.length < open_requests) {
        submit_request(&bench);
    }
    start = g_get_monotonic_time();
    for (int i = 0; i < REQUEST_COUNT; i++) {
        submit_request(&bench);
        Dispatcher_NextTime(bench.dispatcher);
        finish_oldest_request(&bench);
        Dispatcher_NextTime(bench.dispatcher);
    }
    elapsed = g_get_monotonic_time() - start;
    g_queue_clear(&bench.jobs);
    Dispatcher_Destroy(bench.dispatcher);
    Counters_Destroy(bench.counters);
    Random_Destroy(bench.random);
    Clock_Destroy(bench.clock);
    return (double)elapsed / REQUEST_COUNT;
}

int
main(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
        printf("upstreams=%u open=%u us_per_request=%.2f\n",
               sizes[i].upstreams, sizes[i].open_requests,
               measure_request_us(sizes[i].upstreams, sizes[i].open_requests));
    }
    return 0;
}
