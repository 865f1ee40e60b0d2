#include <stdio.h>
#include <string.h>

#include <glib.h>

#include "GatewayFixture.h"

/* Cost of one request in the gateway's decisions, with this many others open
 * and this many upstreams listed, from the users' sites to the two-year
 * target. */
static const struct {
    uint32_t upstreams;
    uint32_t open;
} sizes[] = {{36, 10}, {381, 10}, {381, 100}, {381, 1000}, {17000, 1000}};

#define REQUESTS 2000
#define SLOTS 1000
#define OBJECTIVE MICROS_PER_S
#define TIMEOUT (60 * MICROS_PER_S)
#define STEP 100

typedef struct Bench_ {
    Clock *clock;
    Random *random;
    Counters *counters;
    Dispatcher *dispatcher;
    GQueue jobs;
} Bench;

static void
set_routes(Bench *b)
{
    CallerLimits limits = {0};
    RouteTable *table = RouteTable_Create(1, &limits);

    RouteTable_AddService(table, GATEWAY_FIXTURE_SERVICE, STR("/health"));
    GatewayFixture_AddRoute(table, "/", ROUTE_IDEMPOTENT, 1, OBJECTIVE,
                            TIMEOUT);
    Dispatcher_SetRoutes(b->dispatcher, table);
    RouteTable_Unref(table);
}

static void
add_upstreams(Bench *b, uint32_t count)
{
    for (uint32_t i = 0; i < count; i++) {
        g_autofree char *id = g_strdup_printf("u%u", i);
        UpstreamEntry entry = GatewayFixture_Upstream(id, 80, SLOTS);

        entry.domain = i % 4 == 0 ? STR("a") : STR("b");
        Dispatcher_PutUpstream(b->dispatcher, &entry);
    }
}

/* Upstreams tell at once that they are idle. */
static void
drain(Bench *b)
{
    LoadReport report = {.slots = SLOTS, .slowdown_percent = 100};
    DispatchAction action;

    while (Dispatcher_NextAction(b->dispatcher, &action)) {
        if (action.kind == DISPATCH_PROBE) {
            Dispatcher_OnProbeResult(b->dispatcher, action.probe.upstream,
                                     &report);
        }
        else if (action.kind == DISPATCH_SEND) {
            g_queue_push_tail(&b->jobs, action.job);
        }
    }
}

static void
offer(Bench *b)
{
    JobInfo info = {
        .id = STR("0123456789abcdef"),
        .method = STR("GET"),
        .host = GATEWAY_FIXTURE_HOST,
        .path = STR("/1"),
    };

    Clock_Advance(b->clock, STEP);
    Dispatcher_Submit(b->dispatcher, &info, NULL);
    drain(b);
}

static void
end_oldest(Bench *b)
{
    AttemptEndInfo info = {.result = ATTEMPT_RESULT_RESPONSE, .status = 200};

    Dispatcher_OnAttemptEnd(b->dispatcher, g_queue_pop_head(&b->jobs), &info);
    drain(b);
}

static double
measure(uint32_t upstreams, uint32_t open)
{
    DispatcherOptions options = {
        .domain = STR("a"),
        .retry_window = 10 * MICROS_PER_S,
        .retry_share = 0.2,
        .outage_grace = MICROS_PER_S,
    };
    Bench b = {.clock = Clock_CreateManual(MICROS_PER_S, 0),
               .random = Random_Create(1),
               .counters = Counters_Create(100)};
    gint64 began, took;

    b.dispatcher =
        Dispatcher_Create(&options, b.clock, b.random, NULL, NULL, b.counters);
    set_routes(&b);
    add_upstreams(&b, upstreams);
    while (b.jobs.length < open) {
        offer(&b);
    }
    began = g_get_monotonic_time();
    for (int i = 0; i < REQUESTS; i++) {
        offer(&b);
        Dispatcher_NextTime(b.dispatcher);
        end_oldest(&b);
        Dispatcher_NextTime(b.dispatcher);
    }
    took = g_get_monotonic_time() - began;
    g_queue_clear(&b.jobs);
    Dispatcher_Destroy(b.dispatcher);
    Counters_Destroy(b.counters);
    Random_Destroy(b.random);
    Clock_Destroy(b.clock);
    return (double)took / REQUESTS;
}

int
main(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
        printf("upstreams=%u open=%u us_per_request=%.2f\n",
               sizes[i].upstreams, sizes[i].open,
               measure(sizes[i].upstreams, sizes[i].open));
    }
    return 0;
}
