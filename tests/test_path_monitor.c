#include <glib.h>

#include "PathMonitor.h"

/* Guards against cuts that are noticed late, and against ones that are
 * declared for another reason: a dead service, a lost packet, a stall. */

#define SEED 41
#define SERVICE_COUNT 2
#define DOMAIN_COUNT 3
#define TARGET_COUNT 18
#define ROUND_TRIP_US (2 * MICROS_PER_MS)
#define PROBE_TIMEOUT_US (60 * MICROS_PER_MS)

typedef struct OpenProbe_ {
    Micros sent;
    Micros ends;
    PathProbeResult result;
} OpenProbe;

typedef struct Fixture_ {
    Clock *clock;
    Random *random;
    Counters *counters;
    PathMonitor *monitor;
    PathTarget targets[TARGET_COUNT];
    OpenProbe probes[TARGET_COUNT]; /* ends is 0 without one */
    PathProbeResult by_service[SERVICE_COUNT];
    PathProbeResult by_domain[DOMAIN_COUNT]; /* unless PATH_PROBE_ANSWERED */
    bool dead[TARGET_COUNT];
    double lost_ratio;
    Micros stalled_until;
    unsigned cuts;
    unsigned sent;
} Fixture;

static void
set_up(Fixture *f, gconstpointer data)
{
    f->clock = Clock_CreateManual(MICROS_PER_S, 0);
    f->random = Random_Create(SEED);
    f->counters = Counters_Create(20);
    f->monitor = PathMonitor_Create(f->clock, f->random, NULL, f->counters);
    for (uint32_t i = 0; i < TARGET_COUNT; i++) {
        f->targets[i] = (PathTarget){i, i % SERVICE_COUNT, i / 6, 0, false};
    }
}

static void
tear_down(Fixture *f, gconstpointer data)
{
    PathMonitor_Destroy(f->monitor);
    Counters_Destroy(f->counters);
    Random_Destroy(f->random);
    Clock_Destroy(f->clock);
}

static void
set_all(Fixture *f, PathProbeResult result)
{
    for (size_t i = 0; i < SERVICE_COUNT; i++) {
        f->by_service[i] = result;
    }
}

static PathProbeResult
result_of(Fixture *f, const PathTarget *target)
{
    if (Random_Unit(f->random) < f->lost_ratio) {
        return PATH_PROBE_TIMEOUT;
    }
    if (f->dead[target->upstream]) {
        return PATH_PROBE_REFUSED;
    }
    return f->by_domain[target->domain] != PATH_PROBE_ANSWERED
               ? f->by_domain[target->domain]
               : f->by_service[target->service];
}

static void
send_probes(Fixture *f)
{
    uint32_t upstreams[PATH_SAMPLE_MAX];
    Micros now = Clock_Now(f->clock);
    size_t n;

    if (!PathMonitor_WantsProbes(f->monitor)) {
        return;
    }
    n = PathMonitor_SelectProbes(f->monitor, f->targets, TARGET_COUNT,
                                 upstreams);
    for (size_t i = 0; i < n; i++) {
        OpenProbe *probe = &f->probes[upstreams[i]];

        g_assert_cmpint(probe->ends, ==, 0);
        probe->sent = now;
        probe->result = result_of(f, &f->targets[upstreams[i]]);
        probe->ends = now + (probe->result == PATH_PROBE_TIMEOUT ||
                                     probe->result == PATH_PROBE_SILENT
                                 ? PROBE_TIMEOUT_US
                                 : ROUND_TRIP_US);
        f->targets[upstreams[i]].busy = true;
        f->sent++;
    }
}

static void
end_probes(Fixture *f)
{
    for (uint32_t i = 0; i < TARGET_COUNT; i++) {
        OpenProbe *probe = &f->probes[i];

        if (probe->ends == 0 || probe->ends > Clock_Now(f->clock)) {
            continue;
        }
        probe->ends = 0;
        f->targets[i].busy = false;
        if (probe->result == PATH_PROBE_ANSWERED) {
            PathMonitor_OnResponse(f->monitor);
        }
        PathMonitor_OnProbeEnd(f->monitor, i, probe->sent, probe->result);
    }
}

static void
step(Fixture *f)
{
    PathState before = PathMonitor_State(f->monitor);

    Clock_Advance(f->clock, MICROS_PER_MS);
    if (Clock_Now(f->clock) < f->stalled_until) {
        return;
    }
    end_probes(f);
    if (PathMonitor_NextTime(f->monitor) >= 0 &&
        PathMonitor_NextTime(f->monitor) <= Clock_Now(f->clock)) {
        PathMonitor_OnTime(f->monitor);
    }
    f->cuts += before != PATH_CUT_OFF &&
               PathMonitor_State(f->monitor) == PATH_CUT_OFF;
    send_probes(f);
}

static void
run(Fixture *f, Micros duration)
{
    Micros end = Clock_Now(f->clock) + duration;

    while (Clock_Now(f->clock) < end) {
        step(f);
    }
}

/* Returns the time until the state is reached, -1 if it is not in a second. */
static Micros
time_until(Fixture *f, PathState state)
{
    Micros start = Clock_Now(f->clock);

    while (Clock_Now(f->clock) - start < MICROS_PER_S) {
        if (PathMonitor_State(f->monitor) == state) {
            return Clock_Now(f->clock) - start;
        }
        step(f);
    }
    return -1;
}

static void
assert_cut_within(Fixture *f, Micros least, Micros most)
{
    Micros time;

    PathMonitor_OnConnectFailure(f->monitor);
    time = time_until(f, PATH_CUT_OFF);
    g_assert_cmpint(time, >=, least);
    g_assert_cmpint(time, <=, most);
}

static void
test_silent(Fixture *f, gconstpointer data)
{
    set_all(f, PATH_PROBE_TIMEOUT);
    assert_cut_within(f, 0, 200 * MICROS_PER_MS);
    g_assert_true(PathMonitor_IsSilent(f->monitor));
}

/* Failures that all come at once may be one short disturbance. */
static void
test_refused(Fixture *f, gconstpointer data)
{
    set_all(f, PATH_PROBE_REFUSED);
    assert_cut_within(f, 50 * MICROS_PER_MS, 100 * MICROS_PER_MS);
}

static void
test_open_connections_respond(Fixture *f, gconstpointer data)
{
    set_all(f, PATH_PROBE_REFUSED);
    PathMonitor_OnConnectFailure(f->monitor);
    for (unsigned i = 0; i < 100; i++) {
        PathMonitor_OnResponse(f->monitor);
        step(f);
    }
    g_assert_cmpint(PathMonitor_State(f->monitor), ==, PATH_CUT_OFF);
    g_assert_false(PathMonitor_IsSilent(f->monitor));
}

static void
test_service_dead(Fixture *f, gconstpointer result)
{
    f->by_service[1] = (PathProbeResult)GPOINTER_TO_INT(result);
    for (unsigned i = 0; i < 1000; i++) {
        PathMonitor_OnConnectFailure(f->monitor);
        run(f, 20 * MICROS_PER_MS);
    }
    g_assert_cmpuint(f->cuts, ==, 0);
    g_assert_cmpuint(f->sent, <=, 20 * 30); /* 20 s */
}

/* Crashes may leave few upstreams; these were heard of last. */
static void
test_most_dead(Fixture *f, gconstpointer data)
{
    for (uint32_t i = 0; i < TARGET_COUNT; i++) {
        f->dead[i] = i % 6 != 0;
        f->targets[i].heard_at = f->dead[i] ? 1 : 2;
    }
    for (unsigned i = 0; i < 1000; i++) {
        PathMonitor_OnConnectFailure(f->monitor);
        run(f, 20 * MICROS_PER_MS);
    }
    g_assert_cmpuint(f->cuts, ==, 0);
}

static void
test_domain_dead(Fixture *f, gconstpointer data)
{
    f->by_domain[0] = f->by_domain[1] = PATH_PROBE_REFUSED;
    for (unsigned i = 0; i < 1000; i++) {
        PathMonitor_OnConnectFailure(f->monitor);
        run(f, 20 * MICROS_PER_MS);
    }
    g_assert_cmpuint(f->cuts, ==, 0);
}

static void
test_losses(Fixture *f, gconstpointer data)
{
    f->lost_ratio = 0.12; /* of four messages, 3% each */
    for (unsigned i = 0; i < 5000; i++) {
        PathMonitor_OnConnectFailure(f->monitor);
        run(f, 20 * MICROS_PER_MS);
    }
    g_assert_cmpuint(f->cuts, ==, 0);
}

/* The timeouts of all probes expire while the host does not run. */
static void
test_stall(Fixture *f, gconstpointer data)
{
    for (unsigned i = 0; i < 20; i++) {
        PathMonitor_OnConnectFailure(f->monitor);
        set_all(f, PATH_PROBE_TIMEOUT);
        run(f, 3 * MICROS_PER_MS);
        f->stalled_until = Clock_Now(f->clock) + 400 * MICROS_PER_MS;
        run(f, 400 * MICROS_PER_MS);
        set_all(f, PATH_PROBE_ANSWERED);
        run(f, 400 * MICROS_PER_MS);
    }
    g_assert_cmpuint(f->cuts, ==, 0);
}

/* Upstreams that are too busy for probes respond to requests. */
static void
test_busy(Fixture *f, gconstpointer data)
{
    set_all(f, PATH_PROBE_SILENT);
    for (unsigned i = 0; i < 1000; i++) {
        PathMonitor_OnNoResponse(f->monitor,
                                 Clock_Now(f->clock) - PROBE_TIMEOUT_US);
        run(f, 10 * MICROS_PER_MS);
        PathMonitor_OnResponse(f->monitor);
    }
    g_assert_cmpuint(f->cuts, ==, 0);
}

/* A proxy on the path may accept connections and close them, while open ones
 * live on. */
static void
test_closed(Fixture *f, gconstpointer data)
{
    set_all(f, PATH_PROBE_CLOSED);
    PathMonitor_OnConnectFailure(f->monitor);
    for (unsigned i = 0; i < 500; i++) {
        PathMonitor_OnResponse(f->monitor);
        step(f);
    }
    g_assert_cmpint(PathMonitor_State(f->monitor), ==, PATH_CUT_OFF);
}

static void
test_accepted_and_silent(Fixture *f, gconstpointer data)
{
    set_all(f, PATH_PROBE_SILENT);
    assert_cut_within(f, 0, 200 * MICROS_PER_MS);
}

static void
test_restored(Fixture *f, gconstpointer result)
{
    set_all(f, (PathProbeResult)GPOINTER_TO_INT(result));
    assert_cut_within(f, 0, 200 * MICROS_PER_MS);
    run(f, 5 * MICROS_PER_S);
    g_assert_cmpint(PathMonitor_State(f->monitor), ==, PATH_CUT_OFF);
    g_assert_cmpuint(f->sent, <=, 2 + TARGET_COUNT + 5 * 4 * 6); /* 250 ms */
    set_all(f, PATH_PROBE_ANSWERED);
    g_assert_cmpint(time_until(f, PATH_REACHABLE), <=, 500 * MICROS_PER_MS);
    g_assert_cmpint(PathMonitor_State(f->monitor), ==, PATH_REACHABLE);
}

/* Nothing to probe must not keep a suspicion for ever. */
static void
test_no_targets(Fixture *f, gconstpointer data)
{
    uint32_t upstreams[PATH_SAMPLE_MAX];

    PathMonitor_OnConnectFailure(f->monitor);
    for (unsigned i = 0; i < 1000; i++) {
        Clock_Advance(f->clock, MICROS_PER_MS);
        PathMonitor_OnTime(f->monitor);
        if (PathMonitor_WantsProbes(f->monitor)) {
            PathMonitor_SelectProbes(f->monitor, f->targets, 0, upstreams);
        }
    }
    g_assert_cmpint(PathMonitor_State(f->monitor), ==, PATH_REACHABLE);
}

#define ADD(path, data, test)                                                 \
    g_test_add("/path-monitor/" path, Fixture, data, set_up, test, tear_down)

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_message("seed=%d", SEED);
    ADD("silent", NULL, test_silent);
    ADD("refused", NULL, test_refused);
    ADD("open-connections-respond", NULL, test_open_connections_respond);
    ADD("service-refuses", GINT_TO_POINTER(PATH_PROBE_REFUSED),
        test_service_dead);
    ADD("service-silent", GINT_TO_POINTER(PATH_PROBE_TIMEOUT),
        test_service_dead);
    ADD("domains-dead", NULL, test_domain_dead);
    ADD("most-dead", NULL, test_most_dead);
    ADD("losses", NULL, test_losses);
    ADD("stall", NULL, test_stall);
    ADD("busy", NULL, test_busy);
    ADD("closed", NULL, test_closed);
    ADD("accepted-and-silent", NULL, test_accepted_and_silent);
    ADD("restored-refused", GINT_TO_POINTER(PATH_PROBE_REFUSED),
        test_restored);
    ADD("restored-silent", GINT_TO_POINTER(PATH_PROBE_TIMEOUT), test_restored);
    ADD("no-targets", NULL, test_no_targets);
    return g_test_run();
}
