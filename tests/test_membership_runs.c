#include <glib.h>
#include <string.h>

#include "Cluster.h"

/* Seeded simulations of 20 hosts with network and host faults. They guard
 * against live hosts that stay removed, dead hosts that stay members, hosts
 * removed because of a pause, traffic beyond the budget, state of earlier
 * incarnations, and lost drain items. The checker compares the view of each
 * host with the true state of the simulation. */

#define RUN_COUNT 1000
#define FIRST_SEED 1
#define THREAD_COUNT 8
#define HOST_COUNT 20
#define HOSTS_MAX 48
#define SAMPLE_INTERVAL_US (500 * MICROS_PER_MS)
#define WARM_UP_US (3 * MICROS_PER_S)
#define LATE_DELAY_MAX_US (2 * MICROS_PER_S)
/* A host that is up and reachable is in every view within this time. */
#define JOIN_BOUND_US (6 * MICROS_PER_S)
/* A dead host is in no view after this time: 12 s without a heartbeat, 3 s for
 * the dissemination of its last one, and the largest delay of a message. */
#define DEATH_BOUND_US (17 * MICROS_PER_S)
/* A host that pauses for less than this time is not removed. */
#define PAUSE_BOUND_US (9 * MICROS_PER_S)
/* A drain reaches the other hosts within this time, except for one in 1,000.
 */
#define DRAIN_BOUND_US (2 * MICROS_PER_S)
/* Limits of what one host sends in any second. */
#define BYTES_PER_S 10000
#define MESSAGES_PER_S 40
#define DRAINS_MAX 16

typedef enum Scenario_ {
    SCENARIO_SURGE,
    SCENARIO_PAUSES,
    SCENARIO_DEATHS,
    SCENARIO_RESTARTS,
    SCENARIO_PARTITION,
    SCENARIO_ONE_BY_ONE,
    SCENARIO_FIVE_AT_ONCE,
    SCENARIO_MIXED,
    SCENARIO_COUNT
} Scenario;

/* A drain observed by one host, and the hosts that have received it. */
typedef struct Drain_ {
    Micros time;
    uint32_t from;
    bool received[HOSTS_MAX];
    bool checked;
} Drain;

typedef struct Run_ {
    uint64_t seed;
    Scenario scenario;
    Cluster *cluster;
    Random *random;
    /* Incarnations in the view of each host at the last check; 0: none. */
    uint64_t last_views[HOSTS_MAX][HOSTS_MAX];
    uint64_t start_counts[HOSTS_MAX]; /* of the host whose view it is */
    /* [a][b]: time at which host b was last up and reachable for host a. */
    Micros last_reachable[HOSTS_MAX][HOSTS_MAX];
    Drain drains[DRAINS_MAX];
    uint32_t drain_count;
    uint64_t expected_drains, late_drains;
    uint64_t bytes_max;
    bool surge;
    Micros next_check;
    char violation[160];
} Run;

static void
report_violation(Run *run, const char *description, uint32_t a, uint32_t b)
{
    if (run->violation[0] == 0) {
        g_snprintf(run->violation, sizeof(run->violation),
                   "seed=%" G_GUINT64_FORMAT
                   " scenario=%d t=%.2f s %s host=%u other=%u",
                   run->seed, run->scenario,
                   (double)Cluster_Now(run->cluster) / MICROS_PER_S,
                   description, a, b);
    }
}

static bool
is_up(const ClusterHost *host)
{
    return host->alive && !host->paused && !host->leaving;
}

static void
on_item(void *user, uint32_t index, const SharedItem *item)
{
    Run *run = user;
    ClusterHost *host = Cluster_Host(run->cluster, index);
    HostView view;

    if (Membership_Find(host->membership, item->host, &view) &&
        item->incarnation < view.incarnation) {
        report_violation(run, "item of an old incarnation", index, 0);
    }
    if (item->kind == SHARED_DRAIN) {
        Str digits = item->drain.upstream;
        uint64_t number;

        digits.data += strlen("drained-");
        digits.length -= strlen("drained-");
        g_assert_cmpint(Str_ParseU64(digits, &number), ==, 0);
        g_assert_cmpuint(number, <, run->drain_count);
        run->drains[number].received[index] = true;
    }
}

/* Checks the entry of @b in the view of @a.
 * @seen: incarnation of @b in that view; 0: none */
static void
check_pair(Run *run, uint32_t a, uint32_t b, uint64_t seen)
{
    ClusterHost *left = Cluster_Host(run->cluster, a);
    ClusterHost *right = Cluster_Host(run->cluster, b);
    Micros now = Cluster_Now(run->cluster);
    bool reaches = Cluster_IsReachable(run->cluster, a, b);
    Micros stable = MAX(left->state_changed, right->state_changed);
    uint64_t previous = run->last_views[a][b];

    stable = MAX(stable, Cluster_IsolationChanged(run->cluster));
    if (is_up(right) && reaches) {
        run->last_reachable[a][b] = now;
    }
    if (is_up(right) && reaches && now - stable >= JOIN_BOUND_US &&
        seen != right->incarnation) {
        report_violation(run, "live host is missing", a, b);
    }
    /* A host that was paused itself discounts its pause. */
    if (!right->alive && seen != 0 &&
        now - MAX(right->state_changed, left->state_changed) >=
            DEATH_BOUND_US) {
        report_violation(run, "dead host is still in the view", a, b);
    }
    if (previous != 0 && seen == 0 && right->alive && !right->leaving &&
        now - run->last_reachable[a][b] < PAUSE_BOUND_US) {
        report_violation(run, "paused host was removed", a, b);
    }
    if (seen != 0 && seen < previous) {
        report_violation(run, "view went back to an old incarnation", a, b);
    }
    run->last_views[a][b] = seen;
}

static void
check_host(Run *run, uint32_t a)
{
    ClusterHost *host = Cluster_Host(run->cluster, a);
    uint64_t seen[CLUSTER_HOSTS_MAX];

    run->bytes_max = MAX(run->bytes_max, host->window_bytes_max);
    if (host->window_bytes_max > BYTES_PER_S) {
        report_violation(run, "sent more bytes than the budget", a, 0);
    }
    if (host->window_messages_max > MESSAGES_PER_S) {
        report_violation(run, "sent too many messages", a, 0);
    }
    if (!is_up(host)) {
        return;
    }
    if (run->start_counts[a] != host->start_count) {
        run->start_counts[a] = host->start_count;
        memset(run->last_views[a], 0, sizeof(run->last_views[a]));
    }
    Cluster_GetView(run->cluster, a, seen);
    for (uint32_t b = 0; b < Cluster_Count(run->cluster); b++) {
        if (a != b) {
            check_pair(run, a, b, seen[b]);
        }
    }
}

/* Counts the hosts that should have received a drain by now, and those that
 * have not. */
static void
check_drain(Run *run, Drain *drain)
{
    ClusterHost *from = Cluster_Host(run->cluster, drain->from);
    Micros now = Cluster_Now(run->cluster);

    if (drain->checked || now - drain->time < DRAIN_BOUND_US) {
        return;
    }
    drain->checked = true;
    for (uint32_t i = 0; i < Cluster_Count(run->cluster); i++) {
        ClusterHost *host = Cluster_Host(run->cluster, i);
        Micros since = MAX(host->state_changed, from->state_changed);

        since = MAX(since, Cluster_IsolationChanged(run->cluster));
        if (i != drain->from && is_up(host) && is_up(from) &&
            Cluster_IsReachable(run->cluster, i, drain->from) &&
            now - since >= DRAIN_BOUND_US + JOIN_BOUND_US) {
            run->expected_drains++;
            run->late_drains += !drain->received[i];
        }
    }
}

static uint32_t
random_up_host(Run *run)
{
    uint32_t count = Cluster_Count(run->cluster);
    uint32_t i = (uint32_t)Random_Below(run->random, count);

    while (!is_up(Cluster_Host(run->cluster, i))) {
        i = (i + 1) % count;
    }
    return i;
}

static void
share_drain(Run *run)
{
    SharedItem item = {.kind = SHARED_DRAIN};
    char name[32];

    if (run->drain_count == DRAINS_MAX) {
        return;
    }
    g_snprintf(name, sizeof(name), "drained-%u", run->drain_count);
    run->drains[run->drain_count].time = Cluster_Now(run->cluster);
    run->drains[run->drain_count].from = random_up_host(run);
    item.drain.upstream = Str_FromC(name);
    Cluster_Share(run->cluster, run->drains[run->drain_count++].from, &item);
}

/* Shares the usage of 5 lines and the level of 2 services; called every 50 ms
 * of a surge. */
static void
share_usage(Run *run, uint32_t host)
{
    static const char *lines[] = {"",         "member-a", "member-b",
                                  "member-c", "member-d", "member-e"};
    static const char *services[] = {"claims-desk", "court-calendar"};
    SharedItem item = {.kind = SHARED_USAGE};

    for (size_t i = 0; i < 2 * G_N_ELEMENTS(lines); i++) {
        item.usage.service = Str_FromC(services[i % 2]);
        item.usage.line = Str_FromC(lines[i / 2]);
        item.usage.usage = (float)Random_Unit(run->random);
        Membership_Share(Cluster_Host(run->cluster, host)->membership, &item);
    }
    Cluster_Flush(run->cluster, host);
}

/* Runs the simulation and checks it at every sample interval. */
static void
run_checked(Run *run, Micros duration)
{
    Micros end = Cluster_Now(run->cluster) + duration;

    while (Cluster_Now(run->cluster) < end && run->violation[0] == 0) {
        Micros step = run->surge ? 50 * MICROS_PER_MS : SAMPLE_INTERVAL_US;

        for (uint32_t i = 0; i < Cluster_Count(run->cluster) && run->surge;
             i++) {
            if (is_up(Cluster_Host(run->cluster, i))) {
                share_usage(run, i);
            }
        }
        Cluster_Run(run->cluster, MIN(step, end - Cluster_Now(run->cluster)));
        if (Cluster_Now(run->cluster) < run->next_check &&
            Cluster_Now(run->cluster) < end) {
            continue;
        }
        run->next_check = Cluster_Now(run->cluster) + SAMPLE_INTERVAL_US;
        for (uint32_t i = 0; i < Cluster_Count(run->cluster); i++) {
            check_host(run, i);
        }
        for (uint32_t i = 0; i < run->drain_count; i++) {
            check_drain(run, &run->drains[i]);
        }
    }
}

static Micros
random_below(Run *run, Micros limit)
{
    return (Micros)Random_Below(run->random, (uint64_t)limit);
}

static void
pause_some(Run *run, uint32_t hosts)
{
    uint32_t paused[4];

    for (uint32_t i = 0; i < hosts; i++) {
        paused[i] = random_up_host(run);
        Cluster_Pause(run->cluster, paused[i], true);
    }
    run_checked(run, 5 * MICROS_PER_S + random_below(run, 3 * MICROS_PER_S));
    for (uint32_t i = 0; i < hosts; i++) {
        Cluster_Pause(run->cluster, paused[i], false);
    }
}

static void
restart_some(Run *run, uint32_t hosts)
{
    for (uint32_t i = 0; i < hosts; i++) {
        uint32_t host = random_up_host(run);

        Cluster_Kill(run->cluster, host);
        run_checked(run,
                    100 * MICROS_PER_MS + random_below(run, 2 * MICROS_PER_S));
        Cluster_Start(run->cluster, host);
    }
}

/* The new host starts before the old one ends. */
static void
replace_some(Run *run, uint32_t first, uint32_t hosts)
{
    uint32_t added[HOST_COUNT];

    for (uint32_t i = 0; i < hosts; i++) {
        added[i] = Cluster_Add(run->cluster);
        Cluster_Start(run->cluster, added[i]);
    }
    run_checked(run, 400 * MICROS_PER_MS);
    for (uint32_t i = first; i < first + hosts; i++) {
        if (Random_Below(run->random, 2) == 0) {
            Cluster_Leave(run->cluster, i);
            run_checked(run, 50 * MICROS_PER_MS);
        }
        Cluster_Kill(run->cluster, i);
    }
}

static void
replace_all(Run *run, uint32_t at_once)
{
    for (uint32_t i = 0; i < HOST_COUNT; i += at_once) {
        replace_some(run, i, at_once);
        run_checked(run, random_below(run, 300 * MICROS_PER_MS * at_once));
    }
}

static void
isolate_random_domain(Run *run, Micros duration)
{
    uint32_t domain = (uint32_t)Random_Below(run->random, 4);

    for (uint32_t i = 0; i < 3; i++) {
        Cluster_Kill(run->cluster, i); /* seeds */
    }
    Cluster_IsolateDomain(run->cluster, domain, true);
    run_checked(run, duration);
    Cluster_IsolateDomain(run->cluster, domain, false);
}

static void
run_scenario(Run *run)
{
    switch (run->scenario) {
    case SCENARIO_SURGE:
        run_checked(run, JOIN_BOUND_US - WARM_UP_US);
        /* Simulating a surge takes ten times as long as a run without one, so
         * only a quarter of these runs has one. */
        run->surge = run->seed / SCENARIO_COUNT % 4 == 0;
        run_checked(run, SAMPLE_INTERVAL_US);
        share_drain(run);
        run_checked(run, DRAIN_BOUND_US);
        run->surge = false;
        return;
    case SCENARIO_PAUSES:
        pause_some(run, 1 + (uint32_t)Random_Below(run->random, 3));
        return;
    case SCENARIO_DEATHS:
        for (uint32_t i = 0; i < 4; i++) {
            Cluster_Kill(run->cluster, random_up_host(run));
            run_checked(run, random_below(run, MICROS_PER_S));
        }
        return;
    case SCENARIO_RESTARTS:
        restart_some(run, 4);
        return;
    case SCENARIO_PARTITION:
        isolate_random_domain(run, 15 * MICROS_PER_S);
        return;
    case SCENARIO_ONE_BY_ONE:
        replace_all(run, 1);
        return;
    case SCENARIO_FIVE_AT_ONCE:
        replace_all(run, 5);
        return;
    case SCENARIO_MIXED:
    case SCENARIO_COUNT:
        break;
    }
    Cluster_Kill(run->cluster, random_up_host(run));
    restart_some(run, 2);
    share_drain(run);
    pause_some(run, 1);
}

/* True for runs that wait for the removal of dead hosts: all runs of some
 * scenarios, and a quarter of the runs of those that replace all hosts. */
static bool
waits_for_removal(const Run *run)
{
    switch (run->scenario) {
    case SCENARIO_DEATHS:
    case SCENARIO_PARTITION:
    case SCENARIO_MIXED:
        return true;
    case SCENARIO_ONE_BY_ONE:
    case SCENARIO_FIVE_AT_ONCE:
        return run->seed / SCENARIO_COUNT % 4 == 0;
    case SCENARIO_SURGE:
    case SCENARIO_PAUSES:
    case SCENARIO_RESTARTS:
    case SCENARIO_COUNT:
        break;
    }
    return false;
}

static void
run_seed(Run *run, uint64_t seed, Scenario scenario, MembershipFault fault)
{
    ClusterOptions options = ClusterOptions_Default(seed);

    memset(run, 0, sizeof(*run));
    run->seed = seed;
    run->scenario = scenario;
    run->random = Random_Create(seed * 31 + 7);
    options.hosts = HOST_COUNT;
    options.loss_ratio = 0.05 * Random_Unit(run->random);
    options.duplicate_ratio = 0.05 * Random_Unit(run->random);
    options.late_delay_max = LATE_DELAY_MAX_US;
    options.late_ratio = 0.01 * Random_Unit(run->random);
    options.mean_jitter = (Micros)(3000 * Random_Unit(run->random));
    if (scenario == SCENARIO_PARTITION) {
        options.fixed_seeds = true;
        options.host_list_lag = 0;
    }
    options.member.fault = fault;
    run->cluster = Cluster_Create(&options);
    Cluster_SetItemHandler(run->cluster, on_item, run);
    Cluster_Run(run->cluster, WARM_UP_US);
    run_scenario(run);
    run_checked(run, JOIN_BOUND_US + SAMPLE_INTERVAL_US);
    share_drain(run);
    run_checked(run, DRAIN_BOUND_US + SAMPLE_INTERVAL_US);
    if (waits_for_removal(run)) {
        run_checked(run, DEATH_BOUND_US - JOIN_BOUND_US - DRAIN_BOUND_US);
    }
    Cluster_Destroy(run->cluster);
    Random_Destroy(run->random);
}

typedef struct Worker_ {
    gint *next; /* number of the next run, shared by all workers */
    uint64_t expected_drains, late_drains, bytes_max, runs;
    char violation[160];
} Worker;

static void *
run_worker(void *user)
{
    Worker *worker = user;
    Run *run = g_new(Run, 1);

    for (int i = g_atomic_int_add(worker->next, 1); i < RUN_COUNT;
         i = g_atomic_int_add(worker->next, 1)) {
        run_seed(run, FIRST_SEED + (uint64_t)i, (Scenario)(i % SCENARIO_COUNT),
                 MEMBERSHIP_FAULT_NONE);
        worker->expected_drains += run->expected_drains;
        worker->late_drains += run->late_drains;
        worker->bytes_max = MAX(worker->bytes_max, run->bytes_max);
        worker->runs++;
        if (run->violation[0] != 0) {
            memcpy(worker->violation, run->violation,
                   sizeof(worker->violation));
            break;
        }
    }
    g_free(run);
    return NULL;
}

static void
test_runs(void)
{
    Worker workers[THREAD_COUNT] = {0};
    GThread *threads[THREAD_COUNT];
    gint next = 0;
    uint64_t expected_drains = 0;
    uint64_t late_drains = 0;
    uint64_t bytes = 0;

    for (uint64_t i = 0; i < THREAD_COUNT; i++) {
        workers[i].next = &next;
        threads[i] = g_thread_new("runs", run_worker, &workers[i]);
    }
    for (uint64_t i = 0; i < THREAD_COUNT; i++) {
        g_thread_join(threads[i]);
        expected_drains += workers[i].expected_drains;
        late_drains += workers[i].late_drains;
        bytes = MAX(bytes, workers[i].bytes_max);
    }
    g_test_message("seeds %d to %d: drains expected=%" G_GUINT64_FORMAT
                   " late=%" G_GUINT64_FORMAT
                   " most bytes of a host in a second=%" G_GUINT64_FORMAT,
                   FIRST_SEED, FIRST_SEED + RUN_COUNT - 1, expected_drains,
                   late_drains, bytes);
    for (uint64_t i = 0; i < THREAD_COUNT; i++) {
        g_assert_cmpstr(workers[i].violation, ==, "");
    }
    g_assert_cmpuint(expected_drains, >, 15 * RUN_COUNT);
    g_assert_cmpuint(late_drains * 1000, <=, expected_drains);
}

/* Guards against a checker that detects nothing: each injected fault must be
 * detected in at most 8 runs of one scenario. */
static void
test_injected_faults(void)
{
    static const struct {
        MembershipFault fault;
        Scenario scenario;
    } cases[] = {
        {MEMBERSHIP_FAULT_NO_SUSPICION, SCENARIO_PAUSES},
        {MEMBERSHIP_FAULT_NO_REVIVAL, SCENARIO_PARTITION},
        {MEMBERSHIP_FAULT_NO_REMOVAL, SCENARIO_DEATHS},
        {MEMBERSHIP_FAULT_OLD_INCARNATION, SCENARIO_RESTARTS},
        {MEMBERSHIP_FAULT_IGNORE_BUDGET, SCENARIO_SURGE},
        {MEMBERSHIP_FAULT_NO_RELAY, SCENARIO_SURGE},
        {MEMBERSHIP_FAULT_NO_REJOIN, SCENARIO_PARTITION},
    };

    g_assert_cmpuint(G_N_ELEMENTS(cases), ==, MEMBERSHIP_FAULT_COUNT - 1);
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        Run *run = g_new(Run, 1);
        uint64_t expected_drains = 0;
        uint64_t late_drains = 0;
        bool detected = false;

        for (uint64_t seed = 1; seed <= 8 && !detected; seed++) {
            run_seed(run, seed, cases[i].scenario, cases[i].fault);
            expected_drains += run->expected_drains;
            late_drains += run->late_drains;
            detected =
                run->violation[0] != 0 || late_drains * 1000 > expected_drains;
        }
        g_test_message("fault %d: %s late=%" G_GUINT64_FORMAT, cases[i].fault,
                       run->violation, late_drains);
        g_assert_true(detected);
        g_free(run);
    }
}

/* Guards against a message storm, and against views that stay separate, when a
 * failure domain reconnects after an hour. The seeds are dead by then. */
static void
test_long_partition(void)
{
    Run *run = g_new0(Run, 1);
    ClusterOptions options = ClusterOptions_Default(77);

    run->seed = 77;
    run->random = Random_Create(77);
    options.fixed_seeds = true;
    options.host_list_lag = 0;
    run->cluster = Cluster_Create(&options);
    Cluster_Run(run->cluster, JOIN_BOUND_US);
    for (uint32_t i = 0; i < 3; i++) {
        Cluster_Kill(run->cluster, i);
    }
    Cluster_IsolateDomain(run->cluster, 3, true);
    Cluster_Run(run->cluster, 3600 * MICROS_PER_S);
    Cluster_IsolateDomain(run->cluster, 3, false);
    run_checked(run, 2 * JOIN_BOUND_US);
    g_assert_cmpstr(run->violation, ==, "");
    Cluster_Destroy(run->cluster);
    Random_Destroy(run->random);
    g_free(run);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/membership-runs/runs", test_runs);
    g_test_add_func("/membership-runs/planted-faults", test_injected_faults);
    g_test_add_func("/membership-runs/hour", test_long_partition);
    return g_test_run();
}
