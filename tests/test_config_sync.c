#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "ConfigSimulation.h"

/* Seeds 1 to SEED_COUNT are divided among the threads; one run in LARGE_EVERY
 * has 20 hosts. */
#define SEED_COUNT 1000
#define LARGE_EVERY 20
#define THREAD_COUNT 4
#define INJECTED_SEEDS_MAX 100

static ConfigSimulationOptions
create_options(uint64_t seed)
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
        ConfigSimulationOptions options = create_options(seed);

        options.test_faults = faults;
        ConfigSimulation_Run(&options, report);
    }
}

typedef struct SeedRange_ {
    uint64_t from;
    uint64_t to;
    ConfigSimulationReport report;
} SeedRange;

static gpointer
run_range(gpointer data)
{
    SeedRange *range = data;

    run_seeds(range->from, range->to, 0, &range->report);
    return NULL;
}

static void
check_range(const SeedRange *range)
{
    const ConfigSimulationReport *report = &range->report;

    g_test_message(
        "seeds %llu to %llu: accepted=%llu refused=%llu duplicates=%llu "
        "restarts=%llu from_peers=%llu lagging=%llu snapshots=%llu "
        "violations=%llu",
        (unsigned long long)range->from, (unsigned long long)range->to,
        (unsigned long long)report->accepted,
        (unsigned long long)report->refused,
        (unsigned long long)report->duplicates,
        (unsigned long long)report->restarts,
        (unsigned long long)report->records_from_peers,
        (unsigned long long)report->lagging_reads,
        (unsigned long long)report->snapshots_written,
        (unsigned long long)report->violations);
    g_assert_cmpstr(report->first_violation, ==, "");
    g_assert_cmpuint(report->violations, ==, 0);
    g_assert_cmpuint(report->reverts, ==, 0);
    g_assert_cmpuint(report->disagreements, ==, 0);
    /* Without these events the runs would not test anything. */
    g_assert_cmpuint(report->accepted, >, SEED_COUNT / THREAD_COUNT);
    g_assert_cmpuint(report->duplicates, >, SEED_COUNT / THREAD_COUNT);
    g_assert_cmpuint(report->restarts, >, SEED_COUNT / THREAD_COUNT);
    g_assert_cmpuint(report->lagging_reads, >, SEED_COUNT / THREAD_COUNT);
    g_assert_cmpuint(report->records_from_peers, >, 0);
    g_assert_cmpuint(report->snapshots_written, >, 0);
}

/* Guards against hosts that revert to an older state, differ from each other
 * or lose changes. The faults are outages of the log, lagging reads, lost
 * replies and messages, concurrent changes, pauses, restarts, expired records
 * and forged ones. */
static void
test_seeds(void)
{
    SeedRange ranges[THREAD_COUNT] = {0};
    GThread *threads[THREAD_COUNT];

    for (int i = 0; i < THREAD_COUNT; i++) {
        ranges[i].from = (uint64_t)i * SEED_COUNT / THREAD_COUNT + 1;
        ranges[i].to = (uint64_t)(i + 1) * SEED_COUNT / THREAD_COUNT;
        threads[i] = g_thread_new("seeds", run_range, &ranges[i]);
    }
    for (int i = 0; i < THREAD_COUNT; i++) {
        g_thread_join(threads[i]);
    }
    for (int i = 0; i < THREAD_COUNT; i++) {
        check_range(&ranges[i]);
        ConfigSimulationReport_Clear(&ranges[i].report);
    }
}

/* Guards against a checker that detects nothing: a fault injected on one host
 * must cause a violation within INJECTED_SEEDS_MAX runs. */
static void
test_injected_fault(gconstpointer data)
{
    ConfigSimulationReport report = {0};
    uint64_t seed = 0;

    while (report.violations == 0 && seed < INJECTED_SEEDS_MAX) {
        seed++;
        run_seeds(seed, seed, GPOINTER_TO_UINT(data), &report);
    }
    g_test_message("first violation: %s", report.first_violation);
    g_assert_cmpuint(report.violations, >, 0);
    ConfigSimulationReport_Clear(&report);
}

#define IN_FORCE_MAX_MS 9000 /* until a change is in force on all hosts */
#define LOG_TIMEOUT_MS 1000  /* default of log.timeout_ms */
#define RETRY_DELAY_MS 200

/* Guards against long polls that are too long: hosts detected an unresponsive
 * connection to the log so late that they lagged for 11 s, beyond the limit of
 * IN_FORCE_MAX_MS for a change. */
static void
test_unresponsive_read(void)
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
    g_assert_cmpuint(wait_ms + LOG_TIMEOUT_MS + RETRY_DELAY_MS +
                         LOG_TIMEOUT_MS,
                     <=, IN_FORCE_MAX_MS);
    ConfigSync_Destroy(sync);
    ConfigState_Destroy(state);
    Random_Destroy(random);
    Clock_Destroy(clock);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/config-sync/silent-read", test_unresponsive_read);
    g_test_add_func("/config-sync/seeds", test_seeds);
    g_test_add_data_func("/config-sync/planted-stale-base",
                         GUINT_TO_POINTER(CONFIG_FAULT_STALE_BASE),
                         test_injected_fault);
    g_test_add_data_func("/config-sync/planted-old-snapshot",
                         GUINT_TO_POINTER(CONFIG_FAULT_OLD_SNAPSHOT),
                         test_injected_fault);
    g_test_add_data_func("/config-sync/planted-repeat",
                         GUINT_TO_POINTER(CONFIG_FAULT_DUPLICATE),
                         test_injected_fault);
    g_test_add_data_func("/config-sync/planted-signature",
                         GUINT_TO_POINTER(CONFIG_FAULT_SIGNATURE),
                         test_injected_fault);
    g_test_add_data_func("/config-sync/planted-rights",
                         GUINT_TO_POINTER(CONFIG_FAULT_PERMISSIONS),
                         test_injected_fault);
    g_test_add_data_func("/config-sync/planted-alone",
                         GUINT_TO_POINTER(CONFIG_FAULT_SKIP_PEERS),
                         test_injected_fault);
    g_test_add_data_func("/config-sync/planted-beyond",
                         GUINT_TO_POINTER(CONFIG_FAULT_BEYOND_LOG),
                         test_injected_fault);
    return g_test_run();
}
