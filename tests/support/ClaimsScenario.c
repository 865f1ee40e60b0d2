#include "ClaimsScenario.h"

#include <stdio.h>

#include "Random.h"

/* The runs last long enough for the window to reopen after a gap. */
#define LENGTH (900 * MICROS_PER_S)
#define BURST (5 * MICROS_PER_S)
#define REQUESTS_MIN 10
#define REQUESTS_MORE 25
/* Added to the identity of a key for the second caller. */
#define OTHER_CALLER 1000

typedef struct Scenario_ {
    ClaimsSimulation *simulation;
    Random *random;
    uint32_t hosts;
    uint64_t next_digest;
} Scenario;

static uint64_t
below(Scenario *this, uint64_t n)
{
    return Random_Below(this->random, n);
}

static bool
percent(Scenario *this, uint64_t p)
{
    return below(this, 100) < p;
}

static double
pick(Scenario *this, double a, double b, double c)
{
    switch (below(this, 3)) {
    case 0:
        return a;
    case 1:
        return b;
    default:
        return c;
    }
}

/* Most of the run's trouble is put where most of its requests are. */
static Micros
some_time(Scenario *this)
{
    return (Micros)below(this, percent(this, 65) ? BURST : LENGTH);
}

static ClaimsSimulationOptions
make_options(Scenario *this, uint64_t seed, ClaimsFault fault)
{
    ClaimsSimulationOptions options = {
        .seed = seed ^ 0x5eed,
        .hosts = this->hosts,
        .claims = ClaimsOptions_Default((Str){NULL, 0}, 0),
        .net_min = 100,
        .net_max = (Micros)pick(this, 500, 5000, 400000),
        .log_min = 500,
        .log_max = (Micros)pick(this, 1000, 20000, 600000),
        .poll = 20 * MICROS_PER_S,
        .retention = (Micros)pick(this, 0, 60, 240) * MICROS_PER_S,
        .service_min = 1000,
        .service_max = (Micros)pick(this, 5000, 100000, 2000000),
        .lose_message = pick(this, 0, 0.05, 0.4),
        .repeat_message = pick(this, 0, 0.1, 0.5),
        .lose_append = pick(this, 0, 0.05, 0.3),
        .lose_result = pick(this, 0, 0.1, 0.5),
        .lose_read = pick(this, 0, 0.02, 0.2),
        .upstream_refuses = pick(this, 0, 0.05, 0.3),
        .upstream_breaks = pick(this, 0, 0.05, 0.2),
        .late = pick(this, 0, 0.3, 0.7),
        .late_max = (Micros)pick(this, 1, 30, 400) * MICROS_PER_S,
        .wrong_hosts = pick(this, 0, 0.2, 0.5),
        .cancel = pick(this, 0, 0.05, 0.3),
        .pause = pick(this, 0, 0.002, 0.02),
        .die = pick(this, 0, 0.0005, 0.005),
        .pause_max = (Micros)pick(this, 100000, 2000000, 200.0 * MICROS_PER_S),
        .replace_after = (Micros)pick(this, 1000, 500000, 10000000),
    };

    options.claims.partitions = 1 + (uint32_t)below(this, 2);
    options.claims.fault = fault;
    options.claims.remembered_keys = (size_t)pick(this, 4, 1000, 1000);
    options.claims.issued_keys = (size_t)pick(this, 2, 1000, 1000);
    options.claims.answer_bytes = (size_t)pick(this, 0, 600, 100000);
    options.claims.marker_interval =
        (Micros)pick(this, 20, 60, 600) * MICROS_PER_S;
    return options;
}

static void
add_troubles(Scenario *this)
{
    for (uint64_t n = below(this, 3); n > 0; n--) {
        Micros start = some_time(this);
        Micros length = (Micros)pick(this, 100000, 2000000, 30000000);

        ClaimsSimulation_SetOutage(this->simulation, start, true);
        ClaimsSimulation_SetOutage(this->simulation, start + length, false);
    }
    for (uint64_t n = below(this, 5); n > 0; n--) {
        ClaimsSimulation_Kill(this->simulation, some_time(this),
                              (uint32_t)below(this, this->hosts));
    }
    for (uint64_t n = below(this, 4); n > 0; n--) {
        ClaimsSimulation_Pause(this->simulation, some_time(this),
                               (uint32_t)below(this, this->hosts),
                               (Micros)pick(this, 100000, 5000000, 300000000));
    }
    if (percent(this, 15)) {
        Micros when = some_time(this);

        for (uint32_t i = 0; i < this->hosts; i++) {
            ClaimsSimulation_Kill(this->simulation,
                                  when + (Micros)below(this, 10000000), i);
        }
    }
}

static void
make_key(Scenario *this, SimulatedRequest *request)
{
    uint32_t issuer = (uint32_t)below(this, this->hosts);

    if (percent(this, 3)) {
        snprintf(request->key, sizeof(request->key), "not-a-key");
        return;
    }
    if (percent(this, 30) &&
        ClaimsSimulation_IssueKey(this->simulation, issuer, request)) {
        return;
    }
    ClaimsSimulation_MakeKey(this->simulation,
                             percent(this, 15)
                                 ? (Micros)below(this, 1800 * MICROS_PER_S)
                                 : -(Micros)below(this, 100 * MICROS_PER_S) *
                                       (Micros)below(this, 2),
                             request);
}

/* Sends of one key: at once through several hosts, soon, or much later. */
static void
send_all(Scenario *this, SimulatedRequest *request)
{
    uint64_t digest = ++this->next_digest;

    for (uint64_t n = 1 + below(this, 5); n > 0; n--) {
        Micros delay = (Micros)pick(this, 5000, 3000000, 0);

        if (delay == 0) {
            delay = percent(this, 50) ? 60 * MICROS_PER_S : LENGTH;
        }
        request->digest = percent(this, 8) ? ++this->next_digest : digest;
        request->deadline = (Micros)pick(this, 50000, 800000, 5000000);
        ClaimsSimulation_Send(this->simulation,
                              (Micros)below(this, (uint64_t)delay),
                              (uint32_t)below(this, this->hosts), request);
    }
}

/* The same key and body of another caller is another key. */
static void
send_as_other_caller(Scenario *this, SimulatedRequest request)
{
    request.identity += OTHER_CALLER;
    request.caller = 1;
    request.deadline = BURST;
    ClaimsSimulation_Send(this->simulation, (Micros)below(this, 3000000),
                          (uint32_t)below(this, this->hosts), &request);
}

static int
compare_times(gconstpointer a, gconstpointer b)
{
    Micros x = *(const Micros *)a;
    Micros y = *(const Micros *)b;

    return x < y ? -1 : x > y;
}

static void
play(Scenario *this)
{
    GArray *starts = g_array_new(FALSE, FALSE, sizeof(Micros));
    uint64_t n = REQUESTS_MIN + below(this, REQUESTS_MORE);
    Micros now = 0;

    for (uint64_t i = 0; i < n; i++) {
        Micros start = some_time(this);

        g_array_append_val(starts, start);
    }
    g_array_sort(starts, compare_times);
    for (uint64_t i = 0; i < n; i++) {
        Micros start = g_array_index(starts, Micros, i);
        SimulatedRequest request = {.identity = i + 1};

        ClaimsSimulation_Run(this->simulation, start - now);
        now = start;
        make_key(this, &request);
        send_all(this, &request);
        if (percent(this, 10)) {
            send_as_other_caller(this, request);
        }
    }
    ClaimsSimulation_Run(this->simulation, 2 * LENGTH - now);
    g_array_free(starts, TRUE);
}

ScenarioResult
ClaimsScenario_Run(uint64_t seed, ClaimsFault fault)
{
    Scenario this = {.random = Random_Create(seed)};
    ScenarioResult result = {0};
    ClaimsSimulationOptions options;
    const OutcomeHistory *history;

    this.hosts = 2 + (uint32_t)below(&this, 4);
    options = make_options(&this, seed, fault);
    this.simulation = ClaimsSimulation_Create(&options);
    add_troubles(&this);
    play(&this);
    history = ClaimsSimulation_History(this.simulation);
    result.violations = OutcomeHistory_Check(history);
    result.counters = ClaimsSimulation_Counters(this.simulation);
    result.runs = OutcomeHistory_RunCount(history);
    for (int word = 0; word < 3; word++) {
        result.answers[word] =
            OutcomeHistory_AnswerCount(history, (HistoryOutcome)word);
    }
    ClaimsSimulation_Destroy(this.simulation);
    Random_Destroy(this.random);
    return result;
}

void
ClaimsScenario_Add(ScenarioResult *total, const ScenarioResult *one)
{
    total->violations.run_twice += one->violations.run_twice;
    total->violations.false_not_run += one->violations.false_not_run;
    total->violations.false_ran += one->violations.false_ran;
    total->violations.wrong_answer += one->violations.wrong_answer;
    total->runs += one->runs;
    for (int word = 0; word < 3; word++) {
        total->answers[word] += one->answers[word];
    }
    total->counters.crashes += one->counters.crashes;
    total->counters.pauses += one->counters.pauses;
    total->counters.gaps += one->counters.gaps;
    total->counters.grants += one->counters.grants;
    total->counters.appends += one->counters.appends;
    total->counters.log_appends_failed += one->counters.log_appends_failed;
    total->counters.sent += one->counters.sent;
    total->counters.abandoned += one->counters.abandoned;
}
