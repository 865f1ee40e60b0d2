/*
 * Cost of the configuration. Simulations of 20 hosts give the time until a
 * publication is in force, the time until a started host is ready, and the
 * appends to the log. The other sections give processor time and memory of
 * one ConfigState.
 */
#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "ConfigFuzz.h"
#include "ConfigSimulation.h"
#include "Snapshot.h"

#define HOSTS 20
#define CHANGES 56000
#define OPERATORS 20
#define SERVICES 1100
#define LINES 200
#define CALLERS 4000 /* and as many selectors */
/* Objects that one publication of build_state() creates. */
#define OBJECTS_PER_PUBLICATION 100

static void
print_bound(const char *name, double value, double bound)
{
    printf("%s=%.3f\n%s_bound=%.3f\n%s_met=%s\n", name, value, name, bound,
           name, value <= bound ? "yes" : "no");
}

static double
cpu_seconds(void)
{
    struct timespec now;

    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
    return (double)now.tv_sec + (double)now.tv_nsec / 1e9;
}

static double
resident_mb(void)
{
    long total = 0;
    long resident = 0;
    FILE *file = fopen("/proc/self/statm", "r");

    if (file != NULL) {
        if (fscanf(file, "%ld %ld", &total, &resident) != 2) {
            resident = 0;
        }
        fclose(file);
    }
    return (double)resident * (double)sysconf(_SC_PAGESIZE) / 1e6;
}

static ConfigSimulationOptions
default_options(uint64_t seed)
{
    return (ConfigSimulationOptions){
        .seed = seed,
        .hosts = HOSTS,
        .publications = 400,
        .publish_interval = 150 * MICROS_PER_MS,
        .end = 70 * MICROS_PER_S,
        .snapshots = {600 * MICROS_PER_S, 10 * MICROS_PER_S, 5000},
    };
}

static double
quantile_ms(const Histogram *histogram, double q)
{
    return (double)Histogram_Quantile(histogram, q) / MICROS_PER_MS;
}

static void
measure_in_force(const char *name, ConfigSimulationOptions options,
                 double bound)
{
    ConfigSimulationReport report = {0};
    char key[64];

    ConfigSimulation_Run(&options, &report);
    snprintf(key, sizeof(key), "%s_p50_ms", name);
    printf("%s=%.3f\n", key, quantile_ms(report.in_force, 0.5));
    snprintf(key, sizeof(key), "%s_p99_ms", name);
    print_bound(key, quantile_ms(report.in_force, 0.99), bound);
    printf("%s_max_ms=%.3f\n%s_samples=%" PRIu64 "\n", name,
           quantile_ms(report.in_force, 1), name,
           Histogram_Count(report.in_force));
    printf("%s_peer_bytes_per_s_per_host=%.0f\n", name,
           (double)report.peer_bytes / HOSTS /
               ((double)options.end / MICROS_PER_S));
    printf("%s_violations=%" PRIu64 "\n", name, report.violations);
    ConfigSimulationReport_Clear(&report);
}

static void
bench_in_force(void)
{
    ConfigSimulationOptions options = default_options(1);

    printf("in_force_seed=1\n");
    measure_in_force("in_force_healthy", options, 1000);
    options.lost_peer_ratio = 0.2;
    options.lagging_read_ratio = 0.2;
    measure_in_force("in_force_lossy", options, 5000);
    options = default_options(1);
    options.cut_off_hosts = 1;
    measure_in_force("in_force_one_cut", options, 5000);
    options.lost_peer_ratio = 0.2;
    measure_in_force("in_force_one_cut_lossy", options, 5000);
}

static void
bench_ready(void)
{
    ConfigSimulationOptions options = default_options(2);
    ConfigSimulationReport report = {0};

    options.faults_end = 60 * MICROS_PER_S;
    options.restart_interval = 300 * MICROS_PER_MS;
    ConfigSimulation_Run(&options, &report);
    printf("ready_seed=2\nready_log_up_restarts=%" PRIu64 "\n",
           report.restarts);
    print_bound("ready_log_up_max_s", quantile_ms(report.ready, 1) / 1000, 2);
    ConfigSimulationReport_Clear(&report);
    report = (ConfigSimulationReport){0};
    options.retention = 20 * MICROS_PER_S;
    options.snapshots =
        (SnapshotScheduleOptions){5 * MICROS_PER_S, MICROS_PER_S, 5000};
    ConfigSimulation_Run(&options, &report);
    print_bound("ready_records_expired_max_s",
                quantile_ms(report.ready, 1) / 1000, 2);
    printf("ready_records_expired_violations=%" PRIu64 "\n",
           report.violations);
    ConfigSimulationReport_Clear(&report);
    report = (ConfigSimulationReport){0};
    options.retention = 0;
    options.outage_interval = 1;
    options.outage_mean = 1000 * MICROS_PER_S;
    options.publications = 0;
    options.snapshots = default_options(2).snapshots;
    ConfigSimulation_Run(&options, &report);
    printf("ready_log_down_restarts=%" PRIu64 "\n", report.restarts);
    print_bound("ready_log_down_max_s", quantile_ms(report.ready, 1) / 1000,
                3);
    ConfigSimulationReport_Clear(&report);
}

static void
bench_seeded_runs(void)
{
    ConfigSimulationReport report = {0};
    double start = cpu_seconds();

    for (uint64_t seed = 10001; seed <= 10200; seed++) {
        ConfigSimulationOptions options =
            ConfigSimulation_DefaultOptions(seed);

        options.hosts = HOSTS;
        options.publications = 30;
        options.publish_interval = 300 * MICROS_PER_MS;
        options.rolling_restart = seed % 2 == 0;
        options.cut_off_hosts = seed % 5 == 0;
        ConfigSimulation_Run(&options, &report);
    }
    printf("runs_first_seed=10001\nruns=200\nruns_hosts=%d\n", HOSTS);
    printf("runs_accepted=%" PRIu64 "\nruns_refused=%" PRIu64
           "\nruns_duplicates=%" PRIu64 "\nruns_restarts=%" PRIu64 "\n",
           report.accepted, report.refused, report.duplicates,
           report.restarts);
    printf("runs_lagging_reads=%" PRIu64 "\nruns_cpu_s=%.1f\n",
           report.lagging_reads, cpu_seconds() - start);
    print_bound("runs_reverts", (double)report.reverts, 0);
    print_bound("runs_disagreements", (double)report.disagreements, 0);
    print_bound("runs_violations", (double)report.violations, 0);
    if (report.violations > 0) {
        printf("runs_first_violation=%s\n", report.first_violation);
    }
    ConfigSimulationReport_Clear(&report);
}

/* The hosts together write one snapshot per interval, however many they are. */
static void
bench_idle_appends(void)
{
    static const uint32_t sizes[] = {5, 10, 20};

    for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
        ConfigSimulationOptions options = default_options(3);
        ConfigSimulationReport report = {0};
        double start = cpu_seconds();

        options.hosts = sizes[i];
        options.publications = 0;
        options.end = 1800 * MICROS_PER_S;
        options.snapshots = (SnapshotScheduleOptions){60 * MICROS_PER_S,
                                                      10 * MICROS_PER_S, 5000};
        ConfigSimulation_Run(&options, &report);
        printf("idle_hosts_%u_snapshots_per_interval=%.2f\n", sizes[i],
               (double)report.snapshots_written /
                   ((double)options.end / options.snapshots.interval));
        /* An upper limit: includes the simulated log and gossip. */
        printf("idle_hosts_%u_share_of_core_per_cent=%.4f\n", sizes[i],
               100 * (cpu_seconds() - start) / sizes[i] /
                   ((double)options.end / MICROS_PER_S));
        if (sizes[i] == HOSTS) {
            print_bound("idle_appends_per_s",
                        (double)report.snapshot_appends /
                            ((double)options.end / MICROS_PER_S),
                        5);
        }
        ConfigSimulationReport_Clear(&report);
    }
}

static void
bench_busy_appends(void)
{
    ConfigSimulationOptions options = default_options(4);
    ConfigSimulationReport report = {0};

    /* Ten times the mean rate of 56,000 changes a day. */
    options.publish_interval = (Micros)(86400.0 / 56000 / 10 * MICROS_PER_S);
    options.snapshots =
        (SnapshotScheduleOptions){30 * MICROS_PER_S, 5 * MICROS_PER_S, 5000};
    ConfigSimulation_Run(&options, &report);
    print_bound("busy_appends_per_s",
                (double)(report.appends + report.snapshot_appends) /
                    ((double)options.end / MICROS_PER_S),
                20);
    ConfigSimulationReport_Clear(&report);
}

static void
apply_text(ConfigState *state, GString *text, const char *id)
{
    ConfigVerdict verdict;

    ConfigVerdict_Init(&verdict);
    if (Fixture_Apply(state, id, "root", KEY_ROOT, ConfigState_Offset(state),
                      text->str, &verdict) != CONFIG_ACCEPTED) {
        g_error("publication %s is not accepted: %s", id, verdict.text->str);
    }
    ConfigVerdict_Clear(&verdict);
    g_string_truncate(text, 0);
}

static void
append_selector(GString *text, uint32_t i, uint32_t lines, uint32_t services,
                uint32_t deadline)
{
    g_string_append_printf(
        text,
        "[selector.s%u]\nline='l%u'\nservice='svc%u'\n"
        "callers={role='r%u'}\nupstreams={pool='p%u'}\ndeadline_ms=%u\n",
        i, i % lines, i % services, i, i % 7, deadline);
}

/* A state with @callers callers and as many selectors; the numbers of services
 * and lines are in proportion. */
static ConfigState *
build_state(uint32_t callers)
{
    ConfigOptions options = Fixture_Options();
    ConfigState *state = Fixture_Create(&options);
    uint32_t services = MAX(1, SERVICES * callers / CALLERS);
    uint32_t lines = MAX(1, LINES * callers / CALLERS);
    GString *text = g_string_new(NULL);
    char id[32];

    for (uint32_t i = 0; i < services + lines + OPERATORS + 2 * callers; i++) {
        uint32_t n = i;

        if (i < services) {
            g_string_append_printf(text, "[service.svc%u]\n", n);
        }
        else if ((n = i - services) < lines) {
            g_string_append_printf(text, "[line.l%u]\nweight=10\n", n);
        }
        else if ((n = i - services - lines) < OPERATORS) {
            char *key = Fixture_PublicKey(100 + n);

            g_string_append_printf(text,
                                   "[operator.o%u]\npublic_key='%s'\n"
                                   "lines=['*']\n",
                                   n, key);
            g_free(key);
        }
        else if ((n = i - services - lines - OPERATORS) < callers) {
            g_string_append_printf(text,
                                   "[caller.c%u]\nline='l%u'\n"
                                   "token_sha256='%064x'\n"
                                   "labels={role='r%u'}\n",
                                   n, n % lines, n + 1, n);
        }
        else {
            append_selector(text, n - callers, lines, services, 800);
        }
        if (i % OBJECTS_PER_PUBLICATION == OBJECTS_PER_PUBLICATION - 1 ||
            i + 1 == services + lines + OPERATORS + 2 * callers) {
            snprintf(id, sizeof(id), "build-%u", i);
            apply_text(state, text, id);
        }
    }
    g_string_free(text, TRUE);
    return state;
}

/* Returns signed records that each change one selector. */
static GPtrArray *
make_changes(uint64_t offset, uint32_t callers, uint32_t count)
{
    uint32_t services = MAX(1, SERVICES * callers / CALLERS);
    uint32_t lines = MAX(1, LINES * callers / CALLERS);
    GPtrArray *records = g_ptr_array_new();
    GString *text = g_string_new(NULL);
    char id[32];
    char author[16];

    for (uint32_t i = 0; i < count; i++) {
        GString *record = g_string_new(NULL);

        snprintf(id, sizeof(id), "change-%u", i);
        snprintf(author, sizeof(author), "o%u", i % OPERATORS);
        g_string_truncate(text, 0);
        append_selector(text, i % callers, lines, services, 1 + i % 1000);
        Fixture_Sign(record, id, author, 100 + i % OPERATORS, offset + i,
                     text->str);
        g_ptr_array_add(records, record);
    }
    g_string_free(text, TRUE);
    return records;
}

static void
free_changes(GPtrArray *records)
{
    for (guint i = 0; i < records->len; i++) {
        g_string_free(records->pdata[i], TRUE);
    }
    g_ptr_array_free(records, TRUE);
}

static double
apply_changes(ConfigState *state, const GPtrArray *records)
{
    double start = cpu_seconds();

    for (guint i = 0; i < records->len; i++) {
        const GString *record = records->pdata[i];

        if (ConfigState_Apply(state, ConfigState_Offset(state),
                              Str_FromString(record), NULL, NULL) != 0) {
            g_error("cannot apply change %u", i);
        }
    }
    return cpu_seconds() - start;
}

static void
bench_scaling(void)
{
    static const uint32_t sizes[] = {250, 1000, 4000, 8000};
    FILE *file = fopen("bench/out/config_slope.dat", "w");
    double first = 0;
    double last = 0;

    for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
        ConfigState *state = build_state(sizes[i]);
        GPtrArray *records =
            make_changes(ConfigState_Offset(state), sizes[i], 4000);
        double cost = apply_changes(state, records) / records->len * 1e6;
        uint8_t token[32] = {0};
        CallerGrant admitted;
        double start = cpu_seconds();
        double admit;

        for (uint32_t j = 0; j < 200000; j++) {
            uint32_t n = j % sizes[i] + 1;

            token[31] = (uint8_t)n;
            token[30] = (uint8_t)(n >> 8);
            ConfigState_Admit(state, (Str){(char *)token, 32}, STR("svc0"),
                              &admitted);
        }
        admit = (cpu_seconds() - start) / 200000 * 1e9;
        printf("apply_us_at_%u_callers=%.1f\nadmit_ns_at_%u_callers=%.0f\n",
               sizes[i], cost, sizes[i], admit);
        if (file != NULL) {
            fprintf(file, "%u %.2f %.1f\n", sizes[i], cost, admit);
        }
        first = i == 0 ? cost : first;
        last = cost;
        free_changes(records);
        ConfigState_Destroy(state);
    }
    if (file != NULL) {
        fclose(file);
    }
    printf("apply_cost_ratio_32_times_the_objects=%.2f\n", last / first);
}

static void
bench_snapshot(const ConfigState *state, double seconds_per_change)
{
    ConfigOptions options = Fixture_Options();
    ConfigState *other = ConfigState_Create(&options);
    GString *text = g_string_new(NULL);
    double start = cpu_seconds();
    double write_s;
    double load_s;
    double check_s;

    ConfigState_WriteSnapshot(state, text);
    write_s = cpu_seconds() - start;
    start = cpu_seconds();
    if (ConfigState_LoadSnapshot(other, Str_FromString(text), NULL)) {
        g_error("cannot load the snapshot that was just written");
    }
    load_s = cpu_seconds() - start;
    start = cpu_seconds();
    ConfigState_CheckSnapshot(other, Str_FromString(text), NULL);
    check_s = cpu_seconds() - start;
    printf("snapshot_bytes=%zu\nsnapshot_records=%u\n", text->len,
           Snapshot_ChunkCount(text->len, SNAPSHOT_CHUNK_BYTES));
    printf("snapshot_write_ms=%.1f\nsnapshot_load_ms=%.1f\n"
           "snapshot_check_known_ms=%.1f\n",
           write_s * 1000, load_s * 1000, check_s * 1000);
    /* A start loads a snapshot and applies at most SNAPSHOT_RECORDS_MAX later
     * records. */
    print_bound("start_cpu_at_this_size_s",
                load_s + SNAPSHOT_RECORDS_MAX * seconds_per_change, 2);
    g_string_free(text, TRUE);
    ConfigState_Destroy(other);
}

static void
bench_catch_up(void)
{
    ConfigState *state = build_state(CALLERS);
    GPtrArray *records =
        make_changes(ConfigState_Offset(state), CALLERS, CHANGES);
    double before = resident_mb();
    double seconds = apply_changes(state, records);
    size_t objects = 0;

    for (ConfigKind kind = 0; kind < CONFIG_KIND_COUNT; kind++) {
        objects += ConfigState_Count(state, kind);
    }
    printf("catch_up_changes=%d\ncatch_up_objects=%zu\n", CHANGES, objects);
    printf("catch_up_replay_s=%.2f\ncatch_up_us_per_change=%.1f\n", seconds,
           seconds / CHANGES * 1e6);
    printf("catch_up_growth_mb=%.1f\n", resident_mb() - before);
    /* Share of a core that 56,000 changes a day take, without the idle cost. */
    print_bound("config_share_of_core_per_cent",
                100 * seconds / CHANGES * 56000 / 86400, 1);
    free_changes(records);
    bench_snapshot(state, seconds / CHANGES);
    ConfigState_Destroy(state);
}

/* Resident memory of one state, as the mean growth over several states. */
static void
bench_memory(void)
{
    ConfigState *states[4];
    double before = resident_mb();

    for (size_t i = 0; i < G_N_ELEMENTS(states); i++) {
        states[i] = build_state(CALLERS);
    }
    print_bound("state_resident_mb",
                (resident_mb() - before) / G_N_ELEMENTS(states), 32);
    for (size_t i = 0; i < G_N_ELEMENTS(states); i++) {
        ConfigState_Destroy(states[i]);
    }
}

int
main(void)
{
    bench_memory();
    bench_in_force();
    bench_ready();
    bench_idle_appends();
    bench_busy_appends();
    bench_scaling();
    bench_catch_up();
    printf("fuzz_first_seed=1\nfuzz_inputs=%" PRIu64 "\n",
           ConfigFuzz_Run(1, 20000));
    bench_seeded_runs();
    return 0;
}
