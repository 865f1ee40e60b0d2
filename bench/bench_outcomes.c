#include <glib.h>
#include <malloc.h>
#include <stdio.h>

#include "ClaimsExplorer.h"
#include "ClaimsScenario.h"
#include "Random.h"

/* What at most once costs: see docs/at-most-once.md. Time is simulated in
 * all sections; the seed of each world is printed. */
#define SEED 20261203
#define HOSTS 20
#define LOG_ONE_WAY (1 * MICROS_PER_MS)
#define SLOW_LOG_ONE_WAY (300 * MICROS_PER_MS)
#define CALLER_DEADLINE (5 * MICROS_PER_S)
#define APPENDS_BOUND 100
#define SEEDED_RUNS 20000
#define OUTAGE (600 * MICROS_PER_S)

typedef struct Deployment_ {
    const char *name;
    Micros one_way;
} Deployment;

static const Deployment DEPLOYMENTS[] = {
    {"tunis", 500},
    {"puntarenas", 1500},
};

typedef struct Load_ {
    ClaimsSimulation *simulation;
    Random *random;
    uint64_t sent;
    bool issued;
    bool at_issuer;
} Load;

static ClaimsSimulationOptions
make_options(Micros one_way)
{
    return (ClaimsSimulationOptions){
        .seed = SEED,
        .hosts = HOSTS,
        .claims = ClaimsOptions_Default((Str){NULL, 0}, 0),
        .net_min = one_way,
        .net_max = one_way,
        .log_min = LOG_ONE_WAY,
        .log_max = LOG_ONE_WAY,
        .poll = 20 * MICROS_PER_S,
        .service_min = 2 * MICROS_PER_MS,
        .service_max = 5 * MICROS_PER_MS,
        .replace_after = 10 * MICROS_PER_S,
    };
}

static void
send_one(Load *this, Micros delay)
{
    SimulatedRequest request = {.identity = ++this->sent,
                                .digest = this->sent,
                                .deadline = CALLER_DEADLINE};
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

/* Poisson arrivals; returns the most appends in any whole second. */
static uint64_t
offer_load(Load *this, double rate, int seconds)
{
    uint64_t most = 0;

    for (int s = 0; s < seconds; s++) {
        uint64_t before = ClaimsSimulation_Counters(this->simulation).appends;
        double at = Random_Exponential(this->random, MICROS_PER_S / rate);

        while (at < MICROS_PER_S) {
            send_one(this, (Micros)at);
            at += Random_Exponential(this->random, MICROS_PER_S / rate);
        }
        ClaimsSimulation_Run(this->simulation, MICROS_PER_S);
        most = MAX(most, ClaimsSimulation_Counters(this->simulation).appends -
                             before);
    }
    return most;
}

static void
open_load(Load *this, const ClaimsSimulationOptions *options)
{
    *this = (Load){.simulation = ClaimsSimulation_Create(options),
                   .random = Random_Create(SEED)};
    ClaimsSimulation_Run(this->simulation, MICROS_PER_S);
}

static void
close_load(Load *this)
{
    ClaimsSimulation_Destroy(this->simulation);
    Random_Destroy(this->random);
}

static void
measure_latency(const Deployment *deployment, double rate, int seconds,
                bool use_collector, FILE *data)
{
    const char *way = use_collector ? "collector" : "alone";
    ClaimsSimulationOptions options = make_options(deployment->one_way);
    Load load;
    uint64_t most;
    double p50, p99, appends;

    options.claims.use_collector = use_collector;
    if (!use_collector) {
        /* All of the budget, divided between the hosts. */
        options.claims.collector_rate = APPENDS_BOUND;
    }
    open_load(&load, &options);
    most = offer_load(&load, rate, seconds);
    p50 = (double)Histogram_Quantile(
        ClaimsSimulation_DispatchDelays(load.simulation), 0.5);
    p99 = (double)Histogram_Quantile(
        ClaimsSimulation_DispatchDelays(load.simulation), 0.99);
    appends =
        (double)ClaimsSimulation_Counters(load.simulation).appends / seconds;
    printf("added_%s_%s_%g_per_s_p50_ms=%.2f\n", deployment->name, way, rate,
           p50 / 1000);
    printf("added_%s_%s_%g_per_s_p99_ms=%.2f\n", deployment->name, way, rate,
           p99 / 1000);
    printf("appends_%s_%s_%g_per_s=%.1f\n", deployment->name, way, rate,
           appends);
    printf("appends_%s_%s_%g_per_s_most_in_1s=%llu\n", deployment->name, way,
           rate, (unsigned long long)most);
    if (use_collector) {
        printf("appends_%s_%s_%g_per_s_bound=%d\n", deployment->name, way,
               rate, APPENDS_BOUND);
        printf("appends_%s_%s_%g_per_s_met=%s\n", deployment->name, way, rate,
               most <= APPENDS_BOUND ? "yes" : "no");
    }
    if (data != NULL) {
        fprintf(data, "%s %s %g %.3f %.3f %.1f\n", deployment->name, way, rate,
                p50 / 1000, p99 / 1000, appends);
    }
    close_load(&load);
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

/* The collector is dead and still in every host's list. */
static void
measure_lost_collector(const Deployment *deployment)
{
    ClaimsSimulationOptions options = make_options(deployment->one_way);
    Load load;
    uint64_t most = 0;
    uint32_t collector = 0;

    open_load(&load, &options);
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
    most = offer_load(&load, 100, 9);
    printf("lost_collector_%s_100_per_s_p50_ms=%.2f\n", deployment->name,
           (double)Histogram_Quantile(
               ClaimsSimulation_DispatchDelays(load.simulation), 0.5) /
               1000);
    printf("lost_collector_%s_100_per_s_p99_ms=%.2f\n", deployment->name,
           (double)Histogram_Quantile(
               ClaimsSimulation_DispatchDelays(load.simulation), 0.99) /
               1000);
    printf("lost_collector_%s_appends_most_in_1s=%llu\n", deployment->name,
           (unsigned long long)most);
    printf("lost_collector_%s_appends_bound=%d\n", deployment->name,
           APPENDS_BOUND);
    printf("lost_collector_%s_appends_met=%s\n", deployment->name,
           most <= APPENDS_BOUND ? "yes" : "no");
    close_load(&load);
}

/* Every claim is overdue before it can be read back: all ways of appending
 * are in use at once. */
static void
measure_slow_log(void)
{
    ClaimsSimulationOptions options = make_options(DEPLOYMENTS[0].one_way);
    Load load;
    uint64_t most;

    options.log_min = SLOW_LOG_ONE_WAY;
    options.log_max = SLOW_LOG_ONE_WAY;
    open_load(&load, &options);
    most = offer_load(&load, 2000, 10);
    printf("slow_log_2000_per_s_p50_ms=%.2f\n",
           (double)Histogram_Quantile(
               ClaimsSimulation_DispatchDelays(load.simulation), 0.5) /
               1000);
    printf("slow_log_2000_per_s_p99_ms=%.2f\n",
           (double)Histogram_Quantile(
               ClaimsSimulation_DispatchDelays(load.simulation), 0.99) /
               1000);
    printf("slow_log_appends_most_in_1s=%llu\n", (unsigned long long)most);
    printf("slow_log_appends_bound=%d\n", APPENDS_BOUND);
    printf("slow_log_appends_met=%s\n", most <= APPENDS_BOUND ? "yes" : "no");
    close_load(&load);
}

typedef struct Tally_ {
    uint64_t sent, ran, not_run, unknown;
} Tally;

static Tally
tally(const Load *load)
{
    const OutcomeHistory *history = ClaimsSimulation_History(load->simulation);

    return (Tally){load->sent,
                   OutcomeHistory_AnswerCount(history, HISTORY_RAN),
                   OutcomeHistory_AnswerCount(history, HISTORY_NOT_RUN),
                   OutcomeHistory_AnswerCount(history, HISTORY_UNKNOWN)};
}

static void
print_share(const char *name, const char *phase, const Tally *from,
            const Tally *to)
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
    Load load;
    Tally marks[4];

    open_load(&load, &options);
    load.issued = issued;
    load.at_issuer = at_issuer;
    marks[0] = tally(&load);
    offer_load(&load, 100, 30);
    ClaimsSimulation_Run(load.simulation, 100 * MICROS_PER_MS);
    marks[1] = tally(&load);
    ClaimsSimulation_SetOutage(load.simulation, 0, true);
    offer_load(&load, 100, (int)(OUTAGE / MICROS_PER_S));
    ClaimsSimulation_Run(load.simulation, 100 * MICROS_PER_MS);
    marks[2] = tally(&load);
    ClaimsSimulation_SetOutage(load.simulation, 0, false);
    offer_load(&load, 100, 60);
    ClaimsSimulation_Run(load.simulation, CALLER_DEADLINE);
    marks[3] = tally(&load);
    print_share(name, "before", &marks[0], &marks[1]);
    print_share(name, "during", &marks[1], &marks[2]);
    print_share(name, "after", &marks[2], &marks[3]);
    violations =
        OutcomeHistory_Check(ClaimsSimulation_History(load.simulation));
    printf("outage_%s_violations=%llu\n", name,
           (unsigned long long)OutcomeViolations_Total(&violations));
    close_load(&load);
}

/* Returns the bytes of the records. */
static size_t
fill(Claims *claims, size_t keys)
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
    bytes = fill(claims, keys);
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
measure_seeds(void)
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
measure_walks(void)
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
        measure_lost_collector(&DEPLOYMENTS[d]);
    }
    measure_slow_log();
    measure_outage("caller_keys", false, false);
    measure_outage("issued_keys_any_host", true, false);
    measure_outage("issued_keys_at_issuer", true, true);
    measure_memory((size_t)1 << 20);
    measure_memory((size_t)3 << 18);
    measure_memory((size_t)1 << 10);
    fflush(stdout);
    measure_seeds();
    fflush(stdout);
    measure_walks();
    return 0;
}
