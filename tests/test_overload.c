#include <glib.h>
#include <string.h>

#include "EventQueue.h"
#include "GatewayFixture.h"

/* Simulates the overload that OverloadQueue handles: more requests than the
 * upstreams can process, and upstreams that slow down when nearly full. The
 * goodput is compared with that of upstreams that do not report their load, to
 * which every request is sent immediately. Also simulates the failure that
 * AttemptMonitor handles: upstreams that stop responding to the requests that
 * they have. */

#define SEED 42
#define UPSTREAM_COUNT 20
#define SLOT_COUNT 6
#define WAITING_MAX 12
#define WORK_US (100 * MICROS_PER_MS)
#define FULL_SPEED_SLOTS_MAX 4
#define SLOWDOWN_FACTOR 1.7
#define OBJECTIVE_US (250 * MICROS_PER_MS)
#define TIMEOUT_US (1200 * MICROS_PER_MS)
#define LOAD_PROBE_TIMEOUT_US (60 * MICROS_PER_MS)
/* Upstreams that lose power at the same time, a fifth of them. */
#define UNPOWERED_COUNT 4
#define POWER_LOSS_RUN_COUNT 20
#define LOAD_DURATION_US (10 * MICROS_PER_S)
/* Requests per second that the upstreams can serve at full speed. */
#define CAPACITY_PER_S                                                        \
    (UPSTREAM_COUNT * FULL_SPEED_SLOTS_MAX * MICROS_PER_S / WORK_US)

typedef struct Simulation_ Simulation;

typedef struct Server_ {
    GQueue *waiting; /* Attempt */
    uint32_t running;
} Server;

/* A request that was sent to an upstream. */
typedef struct Attempt_ {
    Simulation *simulation;
    struct Request_ *request; /* NULL once the caller no longer waits for it */
    uint32_t server;
    bool unanswered; /* no response will follow */
} Attempt;

typedef struct Request_ {
    Simulation *simulation;
    Job *job;
    Attempt *attempt;
    Micros arrived;
    bool at_most_once;
} Request;

struct Simulation_ {
    Clock *clock;
    Random *random;
    Counters *counters;
    Dispatcher *dispatcher;
    EventQueue *events;
    Server servers[UPSTREAM_COUNT];
    bool reports_load;
    Micros power_loss_at; /* the first UNPOWERED_COUNT upstreams fail then */
    unsigned safe_unanswered, safe_failed;
    unsigned offered, in_time, late, refused, failed;
    unsigned at_most_once_in_time, at_most_once_offered;
    Micros refused_after_max;
};

static void handle_actions(Simulation *sim);

static void run_next(Simulation *sim, uint32_t index);

static bool
is_unpowered(const Simulation *sim, uint32_t server)
{
    return sim->power_loss_at > 0 && server < UNPOWERED_COUNT &&
           Clock_Now(sim->clock) >= sim->power_loss_at;
}

/* The upstream continues to process the request, but its response is
 * ignored. */
static void
abandon_attempt(Request *request)
{
    Attempt *attempt = request->attempt;

    request->attempt = NULL;
    if (attempt == NULL) {
        return;
    }
    attempt->request = NULL;
    if (attempt->unanswered) {
        g_free(attempt);
    }
}

static void
drop_attempt(Attempt *attempt)
{
    Request *request = attempt->request;

    attempt->unanswered = true;
    if (request == NULL) {
        g_free(attempt);
        return;
    }
    request->simulation->safe_unanswered += !request->at_most_once;
}

static void
respond(Attempt *attempt)
{
    Request *request = attempt->request;
    Simulation *sim = attempt->simulation;
    const Server *server = &sim->servers[attempt->server];
    LoadReport report = {.inflight = server->running,
                         .queue = server->waiting->length,
                         .slots = SLOT_COUNT,
                         .slowdown_percent = 100};
    AttemptEndInfo end = {.result = ATTEMPT_RESULT_RESPONSE,
                          .status = 200,
                          .report = sim->reports_load ? &report : NULL};

    if (Clock_Now(sim->clock) - request->arrived <= OBJECTIVE_US) {
        sim->in_time++;
        sim->at_most_once_in_time += request->at_most_once;
    }
    else {
        sim->late++;
    }
    GatewayFixture_EndAttempt(sim->dispatcher, request->job, &end);
    g_free(request);
    g_free(attempt);
    handle_actions(sim);
}

static void
complete_attempt(void *user, uint64_t argument)
{
    Attempt *attempt = user;
    Simulation *sim = attempt->simulation;

    sim->servers[attempt->server].running--;
    run_next(sim, attempt->server);
    if (is_unpowered(sim, attempt->server)) {
        drop_attempt(attempt);
    }
    else if (attempt->request == NULL) {
        g_free(attempt);
    }
    else {
        respond(attempt);
    }
}

static void
start_work(Simulation *sim, Attempt *attempt)
{
    Server *server = &sim->servers[attempt->server];
    Micros work = WORK_US / 2 + (Micros)Random_Below(sim->random, WORK_US);

    server->running++;
    if (server->running > FULL_SPEED_SLOTS_MAX) {
        work = (Micros)(SLOWDOWN_FACTOR * (double)work);
    }
    EventQueue_Add(sim->events, work, complete_attempt, attempt, 0);
}

static void
run_next(Simulation *sim, uint32_t index)
{
    Attempt *next = g_queue_pop_head(sim->servers[index].waiting);

    if (next != NULL) {
        start_work(sim, next);
    }
}

static void
receive_request(Simulation *sim, Request *request, uint32_t index)
{
    Server *server = &sim->servers[index];
    AttemptEndInfo end = {.result = ATTEMPT_RESULT_NOT_RUN, .status = 503};
    Attempt *attempt;

    if (server->running >= SLOT_COUNT &&
        server->waiting->length >= WAITING_MAX) {
        GatewayFixture_EndAttempt(sim->dispatcher, request->job, &end);
        return;
    }
    attempt = g_new0(Attempt, 1);
    attempt->simulation = sim;
    attempt->request = request;
    attempt->server = index;
    request->attempt = attempt;
    if (is_unpowered(sim, index)) {
        drop_attempt(attempt);
    }
    else if (server->running < SLOT_COUNT) {
        start_work(sim, attempt);
    }
    else {
        g_queue_push_tail(server->waiting, attempt);
    }
}

static void
deliver_probe_reply(void *user, uint64_t index)
{
    Simulation *sim = user;
    const Server *server = &sim->servers[index];
    LoadReport report = {.inflight = server->running,
                         .queue = server->waiting->length,
                         .slots = SLOT_COUNT,
                         .slowdown_percent = 100};

    Dispatcher_OnProbeResult(sim->dispatcher, (uint32_t)index, PROBE_ANSWERED,
                             &report);
    handle_actions(sim);
}

static void
deliver_probe_timeout(void *user, uint64_t index)
{
    Simulation *sim = user;

    Dispatcher_OnProbeTimeout(sim->dispatcher, (uint32_t)index, true);
    handle_actions(sim);
}

static void
handle_host_response(Simulation *sim, const DispatchAction *action)
{
    Request *request = action->user;
    Micros took = Clock_Now(sim->clock) - request->arrived;

    if (action->respond.status == 503) {
        sim->refused++;
        sim->refused_after_max = MAX(sim->refused_after_max, took);
    }
    else {
        sim->failed++;
        sim->safe_failed += !request->at_most_once;
    }
    abandon_attempt(request);
    g_free(request);
}

static void
handle_actions(Simulation *sim)
{
    DispatchAction action;
    Request *request;

    while (Dispatcher_NextAction(sim->dispatcher, &action)) {
        request = action.user;
        switch (action.kind) {
        case DISPATCH_PROBE:
            if (is_unpowered(sim, action.probe.upstream)) {
                EventQueue_Add(sim->events, LOAD_PROBE_TIMEOUT_US,
                               deliver_probe_timeout, sim,
                               action.probe.upstream);
                break;
            }
            EventQueue_Add(sim->events, MICROS_PER_MS, deliver_probe_reply,
                           sim, action.probe.upstream);
            break;
        case DISPATCH_SEND:
            request->job = action.job;
            receive_request(sim, request, (uint32_t)(action.send.port - 1));
            break;
        case DISPATCH_FORWARD:
            g_assert_not_reached();
        case DISPATCH_CANCEL:
            abandon_attempt(request);
            break;
        case DISPATCH_ASK:
        case DISPATCH_GRANT:
        case DISPATCH_ABORT:
            g_assert_not_reached();
        case DISPATCH_RESPOND:
            handle_host_response(sim, &action);
            break;
        }
    }
}

static void
tick(void *user, uint64_t argument)
{
    Simulation *sim = user;

    Dispatcher_OnTime(sim->dispatcher);
    handle_actions(sim);
    EventQueue_Add(sim->events, MICROS_PER_MS, tick, sim, 0);
}

static void
offer_request(void *user, uint64_t rate)
{
    Simulation *sim = user;
    Request *request = g_new0(Request, 1);
    JobInfo info = {
        .id = STR("r"), .method = STR("GET"), .host = GATEWAY_FIXTURE_HOST};
    Job *job;

    request->simulation = sim;
    request->arrived = Clock_Now(sim->clock);
    request->at_most_once = Random_Below(sim->random, 3) == 0;
    info.path = request->at_most_once ? STR("/once/") : STR("/safe/");
    sim->offered++;
    sim->at_most_once_offered += request->at_most_once;
    job = Dispatcher_Submit(sim->dispatcher, &info, request);
    if (job != NULL) {
        request->job = job;
    }
    handle_actions(sim);
    if (Clock_Now(sim->clock) < LOAD_DURATION_US) {
        EventQueue_Add(sim->events,
                       (Micros)Random_Exponential(
                           sim->random, (double)MICROS_PER_S / (double)rate),
                       offer_request, sim, rate);
    }
}

static void
add_upstreams(Simulation *sim)
{
    for (uint32_t i = 0; i < UPSTREAM_COUNT; i++) {
        g_autofree char *id = g_strdup_printf("u%u", i);
        UpstreamEntry entry =
            GatewayFixture_Upstream(id, (uint16_t)(i + 1), SLOT_COUNT);

        Dispatcher_PutUpstream(sim->dispatcher, &entry);
        sim->servers[i].waiting = g_queue_new();
    }
}

static void
run_simulation(Simulation *sim, uint64_t seed, bool reports_load,
               uint64_t rate, Micros power_loss_at)
{
    DispatcherOptions options = {
        .domain = STR("a"),
        .retry_window = 10 * MICROS_PER_S,
        .retry_share = 0.2,
    };
    CallerLimits limits = {0};
    RouteTable *table = RouteTable_Create(1, &limits);

    memset(sim, 0, sizeof(*sim));
    sim->clock = Clock_CreateManual(0, 0);
    sim->random = Random_Create(seed);
    sim->counters = Counters_Create(100);
    sim->events = EventQueue_Create(sim->clock);
    sim->reports_load = reports_load;
    sim->power_loss_at = power_loss_at;
    sim->dispatcher = Dispatcher_Create(&options, sim->clock, sim->random,
                                        NULL, NULL, sim->counters);
    if (reports_load) {
        RouteTable_AddService(table, STR("desk"), STR("/load"));
    }
    GatewayFixture_AddRoute(table, "/safe/", ROUTE_IDEMPOTENT, 2, OBJECTIVE_US,
                            TIMEOUT_US);
    GatewayFixture_AddRoute(table, "/once/", ROUTE_AT_MOST_ONCE, 1,
                            OBJECTIVE_US, TIMEOUT_US);
    Dispatcher_SetRoutes(sim->dispatcher, table);
    RouteTable_Unref(table);
    add_upstreams(sim);
    EventQueue_Add(sim->events, 0, offer_request, sim, rate);
    EventQueue_Add(sim->events, 0, tick, sim, 0);
    EventQueue_RunUntil(sim->events, LOAD_DURATION_US + 10 * MICROS_PER_S);
    for (uint32_t i = 0; i < UPSTREAM_COUNT; i++) {
        g_queue_free(sim->servers[i].waiting);
    }
    EventQueue_Destroy(sim->events);
    Dispatcher_Destroy(sim->dispatcher);
    Counters_Destroy(sim->counters);
    Random_Destroy(sim->random);
    Clock_Destroy(sim->clock);
    g_test_message("offered=%u in_time=%u late=%u refused=%u failed=%u "
                   "once=%u/%u refused_after_max_us=%" G_GINT64_FORMAT
                   " safe_lost=%u safe_failed=%u",
                   sim->offered, sim->in_time, sim->late, sim->refused,
                   sim->failed, sim->at_most_once_in_time,
                   sim->at_most_once_offered, sim->refused_after_max,
                   sim->safe_unanswered, sim->safe_failed);
}

/* Guards against sending so many requests that every response is late, at 1.5
 * times the load that the upstreams can serve. */
static void
test_overload(void)
{
    Simulation queued, unqueued;

    run_simulation(&queued, SEED, true, CAPACITY_PER_S * 3 / 2, 0);
    run_simulation(&unqueued, SEED, false, CAPACITY_PER_S * 3 / 2, 0);
    /* Nine tenths of the capacity is served in time. */
    g_assert_cmpuint(queued.in_time, >=,
                     CAPACITY_PER_S * LOAD_DURATION_US / MICROS_PER_S * 9 /
                         10);
    g_assert_cmpuint(queued.in_time, >=, 3 * unqueued.in_time / 2);
    g_assert_cmpuint(queued.late + queued.failed, <=, queued.offered / 50);
    /* All refusals are sent within two fifths of the objective. */
    g_assert_cmpint(queued.refused_after_max, <=,
                    OBJECTIVE_US * 2 / 5 + 2 * MICROS_PER_MS);
    /* Requests of the more urgent route, with priority 1, are served first. */
    g_assert_cmpuint(queued.at_most_once_in_time * 10, >=,
                     queued.at_most_once_offered * 9);
}

/* Guards against refusing requests while there is spare capacity. */
static void
test_normal_load(void)
{
    Simulation sim;

    run_simulation(&sim, SEED, true, CAPACITY_PER_S / 2, 0);
    g_assert_cmpuint(sim.refused, ==, 0);
    g_assert_cmpuint(sim.in_time * 100, >=, sim.offered * 99);
}

/* Guards against requests that fail although they may be retried, when a fifth
 * of the upstreams loses power while processing them. */
static void
test_power_loss(void)
{
    unsigned unanswered = 0, failed = 0;

    for (uint64_t seed = SEED; seed < SEED + POWER_LOSS_RUN_COUNT; seed++) {
        Simulation sim;

        run_simulation(&sim, seed, true, CAPACITY_PER_S * 7 / 10,
                       LOAD_DURATION_US / 2);
        unanswered += sim.safe_unanswered;
        failed += sim.safe_failed;
        /* Other requests are not affected: the remaining upstreams have spare
         * capacity for all. */
        g_assert_cmpuint(sim.in_time, >=, sim.offered * 97 / 100);
    }
    g_test_message("lost=%u failed=%u", unanswered, failed);
    /* The second attempt may be sent to another upstream without power. */
    g_assert_cmpuint(failed * UPSTREAM_COUNT, <=,
                     unanswered * UNPOWERED_COUNT);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_message("seed %d", SEED);
    g_test_add_func("/overload/overload", test_overload);
    g_test_add_func("/overload/normal-load", test_normal_load);
    g_test_add_func("/overload/power-loss", test_power_loss);
    return g_test_run();
}
