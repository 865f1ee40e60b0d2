#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "ConfigSimulation.h"

/* Seeds 1 to SEEDS in all, spread over threads; one run in LARGE_EVERY has
 * 20 hosts. */
#define SEEDS 1000
#define LARGE_EVERY 20
#define THREADS 4
#define PLANTED_SEEDS 100

static ConfigSimulationOptions
options_of(uint64_t seed)
{
    ConfigSimulationOptions options = ConfigSimulation_DefaultOptions(seed);

    options.hosts = 3 + (uint32_t)(seed % 3);
    if (seed % LARGE_EVERY == 0) {
        options.hosts = 20;
    }
    options.rolling_restart = seed % 2 == 0;
    if (seed % 3 == 0) {
        options.retention = 0;
    }
    if (seed % 7 == 0) {
        options.cut_off_hosts = 1;
    }
    return options;
}

static void
run_seeds(uint64_t from, uint64_t to, uint32_t faults,
          ConfigSimulationReport *report)
{
    for (uint64_t seed = from; seed <= to; seed++) {
        ConfigSimulationOptions options = options_of(seed);

        options.test_faults = faults;
        ConfigSimulation_Run(&options, report);
    }
}

typedef struct Part_ {
    uint64_t from;
    uint64_t to;
    ConfigSimulationReport report;
} Part;

static gpointer
run_part(gpointer data)
{
    Part *part = data;

    run_seeds(part->from, part->to, 0, &part->report);
    return NULL;
}

static void
check_part(const Part *part)
{
    const ConfigSimulationReport *report = &part->report;

    g_test_message(
        "seeds %llu to %llu: accepted=%llu refused=%llu duplicates=%llu "
        "restarts=%llu from_peers=%llu lagging=%llu snapshots=%llu "
        "violations=%llu",
        (unsigned long long)part->from, (unsigned long long)part->to,
        (unsigned long long)report->accepted,
        (unsigned long long)report->refused,
        (unsigned long long)report->duplicates,
        (unsigned long long)report->restarts,
        (unsigned long long)report->from_peers,
        (unsigned long long)report->lagging_reads,
        (unsigned long long)report->snapshots_written,
        (unsigned long long)report->violations);
    g_assert_cmpstr(report->first_violation, ==, "");
    g_assert_cmpuint(report->violations, ==, 0);
    g_assert_cmpuint(report->reverts, ==, 0);
    g_assert_cmpuint(report->disagreements, ==, 0);
    /* A run in which nothing happens proves nothing. */
    g_assert_cmpuint(report->accepted, >, SEEDS / THREADS);
    g_assert_cmpuint(report->duplicates, >, SEEDS / THREADS);
    g_assert_cmpuint(report->restarts, >, SEEDS / THREADS);
    g_assert_cmpuint(report->lagging_reads, >, SEEDS / THREADS);
    g_assert_cmpuint(report->from_peers, >, 0);
    g_assert_cmpuint(report->snapshots_written, >, 0);
}

/* Guards against reverts, disagreement and changes that get lost, while the
 * log has outages and lags, answers get lost, operators race, hosts pause
 * and restart, records expire and messages between hosts get lost. */
static void
test_seeds(void)
{
    Part parts[THREADS] = {0};
    GThread *threads[THREADS];

    for (int i = 0; i < THREADS; i++) {
        parts[i].from = (uint64_t)i * SEEDS / THREADS + 1;
        parts[i].to = (uint64_t)(i + 1) * SEEDS / THREADS;
        threads[i] = g_thread_new("seeds", run_part, &parts[i]);
    }
    for (int i = 0; i < THREADS; i++) {
        g_thread_join(threads[i]);
    }
    for (int i = 0; i < THREADS; i++) {
        check_part(&parts[i]);
        ConfigSimulationReport_Clear(&parts[i].report);
    }
}

/* Guards against a checker that sees nothing: each rule left out on one
 * host must be noticed within PLANTED_SEEDS runs. */
static void
test_planted(gconstpointer data)
{
    ConfigSimulationReport report = {0};
    uint64_t seed = 0;

    while (report.violations == 0 && seed < PLANTED_SEEDS) {
        seed++;
        run_seeds(seed, seed, GPOINTER_TO_UINT(data), &report);
    }
    g_test_message("first violation: %s", report.first_violation);
    g_assert_cmpuint(report.violations, >, 0);
    ConfigSimulationReport_Clear(&report);
}

#define IN_FORCE_MS 9000    /* bound on a change, everywhere */
#define LOG_TIMEOUT_MS 1000 /* default of log.timeout_ms */
#define RETRY_MS 200

/* Guards against a read that waits so long that a connection to the log which
 * went silent is found out only after a change had to be in force: hosts stood
 * behind for 11 s. */
static void
test_silent_read(void)
{
    ConfigOptions options = Fixture_Options();
    ConfigSyncOptions none = {0};
    Clock *clock = Clock_CreateManual(0, 0);
    Random *random = Random_Create(1);
    ConfigState *state = ConfigState_Create(&options);
    ConfigSync *sync = ConfigSync_Create(&none, state, clock, random, NULL);
    uint32_t wait_ms = 0;

    for (int i = 0; i < 100 && wait_ms == 0; i++) {
        ConfigAction action;

        Clock_Advance(clock, 100 * MICROS_PER_MS);
        ConfigSync_OnTick(sync);
        while (wait_ms == 0 && ConfigSync_NextAction(sync, &action)) {
            if (action.type == CONFIG_ACTION_READ) {
                wait_ms = MAX(wait_ms, action.read.wait_ms);
                ConfigSync_OnRecords(sync, action.read.stream, 0, 0, NULL, 0);
            }
        }
    }
    g_assert_cmpuint(wait_ms, >, 0);
    g_assert_cmpuint(wait_ms + LOG_TIMEOUT_MS + RETRY_MS + LOG_TIMEOUT_MS, <=,
                     IN_FORCE_MS);
    ConfigSync_Destroy(sync);
    ConfigState_Destroy(state);
    Random_Destroy(random);
    Clock_Destroy(clock);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/config-sync/silent-read", test_silent_read);
    g_test_add_func("/config-sync/seeds", test_seeds);
    g_test_add_data_func("/config-sync/planted-stale-base",
                         GUINT_TO_POINTER(CONFIG_FAULT_STALE_BASE),
                         test_planted);
    g_test_add_data_func("/config-sync/planted-old-snapshot",
                         GUINT_TO_POINTER(CONFIG_FAULT_OLD_SNAPSHOT),
                         test_planted);
    g_test_add_data_func("/config-sync/planted-repeat",
                         GUINT_TO_POINTER(CONFIG_FAULT_DUPLICATE),
                         test_planted);
    g_test_add_data_func("/config-sync/planted-signature",
                         GUINT_TO_POINTER(CONFIG_FAULT_SIGNATURE),
                         test_planted);
    g_test_add_data_func("/config-sync/planted-rights",
                         GUINT_TO_POINTER(CONFIG_FAULT_PERMISSIONS),
                         test_planted);
    g_test_add_data_func("/config-sync/planted-alone",
                         GUINT_TO_POINTER(CONFIG_FAULT_SKIP_PEERS),
                         test_planted);
    g_test_add_data_func("/config-sync/planted-beyond",
                         GUINT_TO_POINTER(CONFIG_FAULT_BEYOND_LOG),
                         test_planted);
    return g_test_run();
}
