/*
 * Cost of running a request at most once: latency and log appends of claims,
 * outcomes during an outage of the log, and memory of remembered keys; see
 * docs/at-most-once.md. Seeded runs and exhaustive explorations of the state
 * space check for violations. Time is simulated in all sections, and the seed
 * of each simulation is printed.
 */
#include <glib.h>
#include <malloc.h>
#include <stdio.h>

#include "ClaimsExplorer.h"
#include "ClaimsScenario.h"
#include "Random.h"

#define SEED 20261203
#define HOSTS 20
#define LOG_ONE_WAY_US (1 * MICROS_PER_MS)
#define SLOW_LOG_ONE_WAY_US (300 * MICROS_PER_MS)
#define CALLER_DEADLINE_US (5 * MICROS_PER_S)
#define APPENDS_PER_S_BOUND 100
#define SEEDED_RUNS 20000
#define OUTAGE_US (600 * MICROS_PER_S)

typedef struct Deployment_ {
    const char *name;
    Micros one_way;
} Deployment;

static const Deployment DEPLOYMENTS[] = {
    {"tunis", 500},
    {"puntarenas", 1500},
};

typedef struct LoadGenerator_ {
    ClaimsSimulation *simulation;
    Random *random;
    uint64_t sent;
    bool issued;    /* keys are issued by hosts instead of made by callers */
    bool at_issuer; /* requests go to the host that issued their key */
} LoadGenerator;

static ClaimsSimulationOptions
make_options(Micros one_way)
{
    return (ClaimsSimulationOptions){
        .seed = SEED,
        .hosts = HOSTS,
        .claims = ClaimsOptions_Default((Str){NULL, 0}, 0),
        .net_min = one_way,
        .net_max = one_way,
        .log_min = LOG_ONE_WAY_US,
        .log_max = LOG_ONE_WAY_US,
        .poll = 20 * MICROS_PER_S,
        .service_min = 2 * MICROS_PER_MS,
        .service_max = 5 * MICROS_PER_MS,
        .replace_after = 10 * MICROS_PER_S,
    };
}

static void
send_request(LoadGenerator *this, Micros delay)
{
    SimulatedRequest request = {.identity = ++this->sent,
                                .digest = this->sent,
                                .deadline = CALLER_DEADLINE_US};
    uint32_t host = (uint32_t)Random_Below(this->random, HOSTS);
    uint32_t issuer = (uint32_t)Random_Below(this->random, HOSTS);

    if (this->issued) {
        ClaimsSimulation_IssueKey(this->simulation, issuer, &request);
        host = this->at_issuer ? issuer : host;
    }
    else {
        ClaimsSimulation_MakeKey(this->simulation, 0, &request);
    }
    ClaimsSimulation_Send(this->simulation, delay, host, &request);
}

/* Poisson arrivals. Returns the largest number of appends in any whole
 * second. */
static uint64_t
offer_load(LoadGenerator *this, double rate, int seconds)
{
    uint64_t appends_max = 0;

    for (int s = 0; s < seconds; s++) {
        uint64_t before = ClaimsSimulation_Counters(this->simulation).appends;
        double at = Random_Exponential(this->random, MICROS_PER_S / rate);

        while (at < MICROS_PER_S) {
            send_request(this, (Micros)at);
            at += Random_Exponential(this->random, MICROS_PER_S / rate);
        }
        ClaimsSimulation_Run(this->simulation, MICROS_PER_S);
        appends_max =
            MAX(appends_max,
                ClaimsSimulation_Counters(this->simulation).appends - before);
    }
    return appends_max;
}

static void
create_load(LoadGenerator *this, const ClaimsSimulationOptions *options)
{
    *this = (LoadGenerator){.simulation = ClaimsSimulation_Create(options),
                            .random = Random_Create(SEED)};
    ClaimsSimulation_Run(this->simulation, MICROS_PER_S);
}

static void
destroy_load(LoadGenerator *this)
{
    ClaimsSimulation_Destroy(this->simulation);
    Random_Destroy(this->random);
}

static void
measure_latency(const Deployment *deployment, double rate, int seconds,
                bool use_collector, FILE *data)
{
    const char *mode = use_collector ? "collector" : "alone";
    ClaimsSimulationOptions options = make_options(deployment->one_way);
    LoadGenerator load;
    uint64_t appends_max;
    double p50, p99, appends;

    options.claims.use_collector = use_collector;
    if (!use_collector) {
        /* The whole append budget, divided between the hosts. */
        options.claims.collector_rate = APPENDS_PER_S_BOUND;
    }
    create_load(&load, &options);
    appends_max = offer_load(&load, rate, seconds);
    p50 = (double)Histogram_Quantile(
        ClaimsSimulation_DispatchDelays(load.simulation), 0.5);
    p99 = (double)Histogram_Quantile(
        ClaimsSimulation_DispatchDelays(load.simulation), 0.99);
    appends =
        (double)ClaimsSimulation_Counters(load.simulation).appends / seconds;
    printf("added_%s_%s_%g_per_s_p50_ms=%.2f\n", deployment->name, mode, rate,
           p50 / 1000);
    printf("added_%s_%s_%g_per_s_p99_ms=%.2f\n", deployment->name, mode, rate,
           p99 / 1000);
    printf("appends_%s_%s_%g_per_s=%.1f\n", deployment->name, mode, rate,
           appends);
    printf("appends_%s_%s_%g_per_s_most_in_1s=%llu\n", deployment->name, mode,
           rate, (unsigned long long)appends_max);
    if (use_collector) {
        printf("appends_%s_%s_%g_per_s_bound=%d\n", deployment->name, mode,
               rate, APPENDS_PER_S_BOUND);
        printf("appends_%s_%s_%g_per_s_met=%s\n", deployment->name, mode, rate,
               appends_max <= APPENDS_PER_S_BOUND ? "yes" : "no");
    }
    if (data != NULL) {
        fprintf(data, "%s %s %g %.3f %.3f %.1f\n", deployment->name, mode,
                rate, p50 / 1000, p99 / 1000, appends);
    }
    destroy_load(&load);
}

static void
measure_latencies(void)
{
    static const struct {
        double rate;
        int seconds;
    } rates[] = {{1, 600}, {10, 120}, {100, 60}, {500, 30}, {2000, 20}};
    FILE *data = fopen("bench/out/outcomes.dat", "w");

    for (size_t d = 0; d < G_N_ELEMENTS(DEPLOYMENTS); d++) {
        for (size_t i = 0; i < G_N_ELEMENTS(rates); i++) {
            for (int use_collector = 1; use_collector >= 0; use_collector--) {
                measure_latency(&DEPLOYMENTS[d], rates[i].rate,
                                rates[i].seconds, use_collector != 0, data);
            }
        }
    }
    if (data != NULL) {
        fclose(data);
    }
}

/* The collector has crashed and is still in the list of every host. */
static void
measure_crashed_collector(const Deployment *deployment)
{
    ClaimsSimulationOptions options = make_options(deployment->one_way);
    LoadGenerator load;
    uint64_t appends_max = 0;
    uint32_t collector = 0;

    create_load(&load, &options);
    offer_load(&load, 100, 2);
    for (uint32_t i = 0; i < HOSTS; i++) {
        const Claims *host = ClaimsSimulation_Host(load.simulation, i);

        if (Claims_Counters(host)->collector_appends > 0) {
            collector = i;
        }
    }
    ClaimsSimulation_Kill(load.simulation, 0, collector);
    ClaimsSimulation_Run(load.simulation, 1);
    ClaimsSimulation_ClearDispatchDelays(load.simulation);
    appends_max = offer_load(&load, 100, 9);
    printf("lost_collector_%s_100_per_s_p50_ms=%.2f\n", deployment->name,
           (double)Histogram_Quantile(
               ClaimsSimulation_DispatchDelays(load.simulation), 0.5) /
               1000);
    printf("lost_collector_%s_100_per_s_p99_ms=%.2f\n", deployment->name,
           (double)Histogram_Quantile(
               ClaimsSimulation_DispatchDelays(load.simulation), 0.99) /
               1000);
    printf("lost_collector_%s_appends_most_in_1s=%llu\n", deployment->name,
           (unsigned long long)appends_max);
    printf("lost_collector_%s_appends_bound=%d\n", deployment->name,
           APPENDS_PER_S_BOUND);
    printf("lost_collector_%s_appends_met=%s\n", deployment->name,
           appends_max <= APPENDS_PER_S_BOUND ? "yes" : "no");
    destroy_load(&load);
}

/* Every claim times out before it can be read back from the log: collector,
 * backup collectors and direct appends are all in use at once. */
static void
measure_slow_log(void)
{
    ClaimsSimulationOptions options = make_options(DEPLOYMENTS[0].one_way);
    LoadGenerator load;
    uint64_t appends_max;

    options.log_min = SLOW_LOG_ONE_WAY_US;
    options.log_max = SLOW_LOG_ONE_WAY_US;
    create_load(&load, &options);
    appends_max = offer_load(&load, 2000, 10);
    printf("slow_log_2000_per_s_p50_ms=%.2f\n",
           (double)Histogram_Quantile(
               ClaimsSimulation_DispatchDelays(load.simulation), 0.5) /
               1000);
    printf("slow_log_2000_per_s_p99_ms=%.2f\n",
           (double)Histogram_Quantile(
               ClaimsSimulation_DispatchDelays(load.simulation), 0.99) /
               1000);
    printf("slow_log_appends_most_in_1s=%llu\n",
           (unsigned long long)appends_max);
    printf("slow_log_appends_bound=%d\n", APPENDS_PER_S_BOUND);
    printf("slow_log_appends_met=%s\n",
           appends_max <= APPENDS_PER_S_BOUND ? "yes" : "no");
    destroy_load(&load);
}

typedef struct OutcomeCounts_ {
    uint64_t sent, ran, not_run, unknown;
} OutcomeCounts;

static OutcomeCounts
count_outcomes(const LoadGenerator *load)
{
    const OutcomeHistory *history = ClaimsSimulation_History(load->simulation);

    return (OutcomeCounts){
        load->sent, OutcomeHistory_AnswerCount(history, HISTORY_RAN),
        OutcomeHistory_AnswerCount(history, HISTORY_NOT_RUN),
        OutcomeHistory_AnswerCount(history, HISTORY_UNKNOWN)};
}

static void
print_outcome_ratios(const char *name, const char *phase,
                     const OutcomeCounts *from, const OutcomeCounts *to)
{
    double sent = (double)(to->sent - from->sent);

    printf("outage_%s_%s_ran=%.4f\n", name, phase,
           (double)(to->ran - from->ran) / sent);
    printf("outage_%s_%s_not_run=%.4f\n", name, phase,
           (double)(to->not_run - from->not_run) / sent);
    printf("outage_%s_%s_unknown=%.4f\n", name, phase,
           (double)(to->unknown - from->unknown) / sent);
}

static void
measure_outage(const char *name, bool issued, bool at_issuer)
{
    ClaimsSimulationOptions options = make_options(DEPLOYMENTS[0].one_way);
    OutcomeViolations violations;
    LoadGenerator load;
    OutcomeCounts counts[4];

    create_load(&load, &options);
    load.issued = issued;
    load.at_issuer = at_issuer;
    counts[0] = count_outcomes(&load);
    offer_load(&load, 100, 30);
    ClaimsSimulation_Run(load.simulation, 100 * MICROS_PER_MS);
    counts[1] = count_outcomes(&load);
    ClaimsSimulation_SetOutage(load.simulation, 0, true);
    offer_load(&load, 100, (int)(OUTAGE_US / MICROS_PER_S));
    ClaimsSimulation_Run(load.simulation, 100 * MICROS_PER_MS);
    counts[2] = count_outcomes(&load);
    ClaimsSimulation_SetOutage(load.simulation, 0, false);
    offer_load(&load, 100, 60);
    ClaimsSimulation_Run(load.simulation, CALLER_DEADLINE_US);
    counts[3] = count_outcomes(&load);
    print_outcome_ratios(name, "before", &counts[0], &counts[1]);
    print_outcome_ratios(name, "during", &counts[1], &counts[2]);
    print_outcome_ratios(name, "after", &counts[2], &counts[3]);
    violations =
        OutcomeHistory_Check(ClaimsSimulation_History(load.simulation));
    printf("outage_%s_violations=%llu\n", name,
           (unsigned long long)OutcomeViolations_Total(&violations));
    destroy_load(&load);
}

/* Makes @claims read @keys claims; returns the size of their log records. */
static size_t
fill_claims(Claims *claims, size_t keys)
{
    size_t bytes = 0;
    Random *random = Random_Create(SEED);
    Claim batch[CLAIM_RECORD_ITEMS_MAX];
    uint64_t offset = 0;

    while (keys > 0) {
        size_t n = MIN(keys, G_N_ELEMENTS(batch));
        GString *record = g_string_new(NULL);
        ClaimLogRecord one = {.offset = offset, .time_ms = 1700000000000};
        ClaimLogRead read = {.records = &one, .n = 1};

        for (size_t i = 0; i < n; i++) {
            batch[i] =
                (Claim){.key = {{Random_Next(random), Random_Next(random)}},
                        .host = STR("entry-1"),
                        .incarnation = offset % HOSTS,
                        .digest = Random_Next(random),
                        .number = i + 1,
                        .key_time_ms = 1700000000000};
        }
        ClaimRecord_Write(1, batch, n, record);
        one.record = Str_FromString(record);
        Claims_OnRecords(claims, &read);
        bytes += record->len;
        g_string_free(record, TRUE);
        keys -= n;
        offset++;
    }
    Random_Destroy(random);
    return bytes;
}

static void
measure_memory(size_t keys)
{
    Clock *clock = Clock_CreateManual(0, (Micros)1700000000 * MICROS_PER_S);
    ClaimsOptions options = ClaimsOptions_Default(STR("entry-0"), 1);
    struct mallinfo2 before = mallinfo2();
    struct mallinfo2 after;
    Claims *claims;
    size_t bytes;

    options.remembered_keys = keys;
    claims = Claims_Create(&options, clock);
    bytes = fill_claims(claims, keys);
    after = mallinfo2();
    printf("memory_%zu_keys_record_bytes_per_key=%.2f\n", keys,
           (double)bytes / (double)keys);
    printf("memory_%zu_keys_bytes_per_key=%.2f\n", keys,
           (double)Claims_RememberedBytes(claims) /
               (double)Claims_RememberedKeys(claims));
    printf("memory_%zu_keys_heap_bytes_per_key=%.2f\n", keys,
           (double)(after.uordblks + after.hblkhd - before.uordblks -
                    before.hblkhd) /
               (double)Claims_RememberedKeys(claims));
    Claims_Destroy(claims);
    Clock_Destroy(clock);
}

static void
measure_seeded_runs(void)
{
    ScenarioResult total = {0};

    for (uint64_t seed = 1; seed <= SEEDED_RUNS; seed++) {
        ScenarioResult one = ClaimsScenario_Run(seed, CLAIMS_FAULT_NONE);

        ClaimsScenario_Add(&total, &one);
    }
    printf("seeded_runs=%d\nseeded_first_seed=1\n", SEEDED_RUNS);
    printf("seeded_requests=%llu\n", (unsigned long long)total.counters.sent);
    printf("seeded_executions=%llu\n", (unsigned long long)total.runs);
    printf("seeded_host_deaths=%llu\n",
           (unsigned long long)total.counters.crashes);
    printf("seeded_pauses=%llu\n", (unsigned long long)total.counters.pauses);
    printf("seeded_gaps=%llu\n", (unsigned long long)total.counters.gaps);
    printf("seeded_told_not_run=%llu\n",
           (unsigned long long)total.answers[HISTORY_NOT_RUN]);
    printf("seeded_told_ran=%llu\n",
           (unsigned long long)total.answers[HISTORY_RAN]);
    printf("seeded_told_unknown=%llu\n",
           (unsigned long long)total.answers[HISTORY_UNKNOWN]);
    printf("seeded_violations=%llu\nseeded_violations_bound=0\n",
           (unsigned long long)OutcomeViolations_Total(&total.violations));
    printf("seeded_violations_met=%s\n",
           OutcomeViolations_Total(&total.violations) == 0 ? "yes" : "no");
}

static void
measure_exploration(void)
{
    static const struct {
        const char *name;
        ExplorationBounds bounds;
    } cases[] = {
        {"three_hosts_2_sends_2_records",
         {.hosts = 3,
          .keys = 1,
          .sends = 2,
          .bodies = 1,
          .records = 2,
          .remembered = 4,
          .states = 1000000}},
        {"2_hosts_3_sends_2_records_1_late",
         {.hosts = 2,
          .keys = 1,
          .sends = 3,
          .bodies = 1,
          .records = 2,
          .timeouts = 1,
          .remembered = 4,
          .states = 1000000}},
        {"2_hosts_3_records_repeat",
         {.hosts = 2,
          .keys = 1,
          .sends = 2,
          .bodies = 1,
          .records = 3,
          .duplicates = 1,
          .remembered = 4,
          .states = 1000000}},
        {"2_hosts_death_and_expiry",
         {.hosts = 2,
          .keys = 1,
          .sends = 2,
          .bodies = 1,
          .records = 2,
          .crashes = 1,
          .expiries = 1,
          .remembered = 4,
          .states = 1000000}},
        {"2_hosts_death_and_late",
         {.hosts = 2,
          .keys = 1,
          .sends = 2,
          .bodies = 1,
          .records = 2,
          .crashes = 1,
          .timeouts = 1,
          .remembered = 4,
          .states = 1000000}},
        {"2_hosts_2_keys_late",
         {.hosts = 2,
          .keys = 2,
          .sends = 2,
          .bodies = 1,
          .records = 2,
          .timeouts = 1,
          .remembered = 1,
          .states = 1000000}},
        {"issued_3_hosts_death_late_repeat",
         {.hosts = 3,
          .keys = 1,
          .issued = true,
          .sends = 2,
          .bodies = 1,
          .crashes = 1,
          .timeouts = 1,
          .duplicates = 1,
          .remembered = 4,
          .states = 1000000}},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        ExplorationResult result = ClaimsExplorer_Run(&cases[i].bounds);

        printf("walk_%s_states=%llu\n", cases[i].name,
               (unsigned long long)result.states);
        printf("walk_%s_complete=%s\n", cases[i].name,
               result.complete ? "yes" : "no");
        printf(
            "walk_%s_violations=%llu\n", cases[i].name,
            (unsigned long long)OutcomeViolations_Total(&result.violations));
    }
}

int
main(void)
{
    printf("seed=%d\n", SEED);
    measure_latencies();
    for (size_t d = 0; d < G_N_ELEMENTS(DEPLOYMENTS); d++) {
        measure_crashed_collector(&DEPLOYMENTS[d]);
    }
    measure_slow_log();
    measure_outage("caller_keys", false, false);
    measure_outage("issued_keys_any_host", true, false);
    measure_outage("issued_keys_at_issuer", true, true);
    measure_memory((size_t)1 << 20);
    measure_memory((size_t)3 << 18);
    measure_memory((size_t)1 << 10);
    fflush(stdout);
    measure_seeded_runs();
    fflush(stdout);
    measure_exploration();
    return 0;
}
