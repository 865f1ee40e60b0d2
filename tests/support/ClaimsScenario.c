#include "ClaimsScenario.h"

#include <stdio.h>

#include "Random.h"

/* Long enough for new keys to be accepted again after a gap. */
#define RUN_LENGTH_US (900 * MICROS_PER_S)
#define BURST_US (5 * MICROS_PER_S)
#define REQUESTS_MIN 10
#define REQUESTS_RANGE 25
/* Offset of the identity of a key of the second caller. */
#define OTHER_CALLER_OFFSET 1000

typedef struct Scenario_ {
    ClaimsSimulation *simulation;
    Random *random;
    uint32_t hosts;
    uint64_t next_digest;
} Scenario;

static uint64_t
random_below(Scenario *this, uint64_t n)
{
    return Random_Below(this->random, n);
}

static bool
has_chance(Scenario *this, uint64_t percent)
{
    return random_below(this, 100) < percent;
}

static double
pick_one(Scenario *this, double a, double b, double c)
{
    switch (random_below(this, 3)) {
    case 0:
        return a;
    case 1:
        return b;
    default:
        return c;
    }
}

/* Most requests and faults fall into a burst, so that they coincide. */
static Micros
random_time(Scenario *this)
{
    return (Micros)random_below(this, has_chance(this, 65) ? BURST_US
                                                           : RUN_LENGTH_US);
}

static ClaimsSimulationOptions
make_options(Scenario *this, uint64_t seed, ClaimsFault fault)
{
    ClaimsSimulationOptions options = {
        .seed = seed ^ 0x5eed,
        .hosts = this->hosts,
        .claims = ClaimsOptions_Default((Str){NULL, 0}, 0),
        .net_min = 100,
        .net_max = (Micros)pick_one(this, 500, 5000, 400000),
        .log_min = 500,
        .log_max = (Micros)pick_one(this, 1000, 20000, 600000),
        .poll = 20 * MICROS_PER_S,
        .retention = (Micros)pick_one(this, 0, 60, 240) * MICROS_PER_S,
        .service_min = 1000,
        .service_max = (Micros)pick_one(this, 5000, 100000, 2000000),
        .message_loss_ratio = pick_one(this, 0, 0.05, 0.4),
        .message_duplicate_ratio = pick_one(this, 0, 0.1, 0.5),
        .append_loss_ratio = pick_one(this, 0, 0.05, 0.3),
        .result_loss_ratio = pick_one(this, 0, 0.1, 0.5),
        .read_loss_ratio = pick_one(this, 0, 0.02, 0.2),
        .upstream_refuse_ratio = pick_one(this, 0, 0.05, 0.3),
        .upstream_break_ratio = pick_one(this, 0, 0.05, 0.2),
        .late_append_ratio = pick_one(this, 0, 0.3, 0.7),
        .append_delay_max = (Micros)pick_one(this, 1, 30, 400) * MICROS_PER_S,
        .incomplete_hosts_ratio = pick_one(this, 0, 0.2, 0.5),
        .cancel_ratio = pick_one(this, 0, 0.05, 0.3),
        .pause_ratio = pick_one(this, 0, 0.002, 0.02),
        .crash_ratio = pick_one(this, 0, 0.0005, 0.005),
        .pause_max =
            (Micros)pick_one(this, 100000, 2000000, 200.0 * MICROS_PER_S),
        .replace_after = (Micros)pick_one(this, 1000, 500000, 10000000),
    };

    options.claims.partitions = 1 + (uint32_t)random_below(this, 2);
    options.claims.fault = fault;
    options.claims.remembered_keys = (size_t)pick_one(this, 4, 1000, 1000);
    options.claims.issued_keys = (size_t)pick_one(this, 2, 1000, 1000);
    options.claims.answer_bytes = (size_t)pick_one(this, 0, 600, 100000);
    options.claims.marker_interval =
        (Micros)pick_one(this, 20, 60, 600) * MICROS_PER_S;
    return options;
}

static void
schedule_faults(Scenario *this)
{
    for (uint64_t n = random_below(this, 3); n > 0; n--) {
        Micros start = random_time(this);
        Micros length = (Micros)pick_one(this, 100000, 2000000, 30000000);

        ClaimsSimulation_SetOutage(this->simulation, start, true);
        ClaimsSimulation_SetOutage(this->simulation, start + length, false);
    }
    for (uint64_t n = random_below(this, 5); n > 0; n--) {
        ClaimsSimulation_Kill(this->simulation, random_time(this),
                              (uint32_t)random_below(this, this->hosts));
    }
    for (uint64_t n = random_below(this, 4); n > 0; n--) {
        ClaimsSimulation_Pause(
            this->simulation, random_time(this),
            (uint32_t)random_below(this, this->hosts),
            (Micros)pick_one(this, 100000, 5000000, 300000000));
    }
    if (has_chance(this, 15)) {
        Micros when = random_time(this);

        for (uint32_t i = 0; i < this->hosts; i++) {
            ClaimsSimulation_Kill(this->simulation,
                                  when + (Micros)random_below(this, 10000000),
                                  i);
        }
    }
}

static void
make_key(Scenario *this, SimulatedRequest *request)
{
    uint32_t issuer = (uint32_t)random_below(this, this->hosts);

    if (has_chance(this, 3)) {
        snprintf(request->key, sizeof(request->key), "not-a-key");
        return;
    }
    if (has_chance(this, 30) &&
        ClaimsSimulation_IssueKey(this->simulation, issuer, request)) {
        return;
    }
    ClaimsSimulation_MakeKey(
        this->simulation,
        has_chance(this, 15)
            ? (Micros)random_below(this, 1800 * MICROS_PER_S)
            : -(Micros)random_below(this, 100 * MICROS_PER_S) *
                  (Micros)random_below(this, 2),
        request);
}

/* Schedules requests with one key through several hosts: at once, soon after,
 * or much later. */
static void
schedule_sends(Scenario *this, SimulatedRequest *request)
{
    uint64_t digest = ++this->next_digest;

    for (uint64_t n = 1 + random_below(this, 5); n > 0; n--) {
        Micros delay = (Micros)pick_one(this, 5000, 3000000, 0);

        if (delay == 0) {
            delay = has_chance(this, 50) ? 60 * MICROS_PER_S : RUN_LENGTH_US;
        }
        request->digest = has_chance(this, 8) ? ++this->next_digest : digest;
        request->deadline = (Micros)pick_one(this, 50000, 800000, 5000000);
        ClaimsSimulation_Send(
            this->simulation, (Micros)random_below(this, (uint64_t)delay),
            (uint32_t)random_below(this, this->hosts), request);
    }
}

/* Sends the same key and body as another caller, which makes another key. */
static void
send_as_other_caller(Scenario *this, SimulatedRequest request)
{
    request.identity += OTHER_CALLER_OFFSET;
    request.caller = 1;
    request.deadline = BURST_US;
    ClaimsSimulation_Send(this->simulation,
                          (Micros)random_below(this, 3000000),
                          (uint32_t)random_below(this, this->hosts), &request);
}

static int
compare_times(gconstpointer a, gconstpointer b)
{
    Micros x = *(const Micros *)a;
    Micros y = *(const Micros *)b;

    return x < y ? -1 : x > y;
}

static void
run_requests(Scenario *this)
{
    GArray *starts = g_array_new(FALSE, FALSE, sizeof(Micros));
    uint64_t n = REQUESTS_MIN + random_below(this, REQUESTS_RANGE);
    Micros now = 0;

    for (uint64_t i = 0; i < n; i++) {
        Micros start = random_time(this);

        g_array_append_val(starts, start);
    }
    g_array_sort(starts, compare_times);
    for (uint64_t i = 0; i < n; i++) {
        Micros start = g_array_index(starts, Micros, i);
        SimulatedRequest request = {.identity = i + 1};

        ClaimsSimulation_Run(this->simulation, start - now);
        now = start;
        make_key(this, &request);
        schedule_sends(this, &request);
        if (has_chance(this, 10)) {
            send_as_other_caller(this, request);
        }
    }
    ClaimsSimulation_Run(this->simulation, 2 * RUN_LENGTH_US - now);
    g_array_free(starts, TRUE);
}

ScenarioResult
ClaimsScenario_Run(uint64_t seed, ClaimsFault fault)
{
    Scenario this = {.random = Random_Create(seed)};
    ScenarioResult result = {0};
    ClaimsSimulationOptions options;
    const OutcomeHistory *history;

    this.hosts = 2 + (uint32_t)random_below(&this, 4);
    options = make_options(&this, seed, fault);
    this.simulation = ClaimsSimulation_Create(&options);
    schedule_faults(&this);
    run_requests(&this);
    history = ClaimsSimulation_History(this.simulation);
    result.violations = OutcomeHistory_Check(history);
    result.counters = ClaimsSimulation_Counters(this.simulation);
    result.runs = OutcomeHistory_RunCount(history);
    for (int outcome = 0; outcome < 3; outcome++) {
        result.answers[outcome] =
            OutcomeHistory_AnswerCount(history, (HistoryOutcome)outcome);
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
    for (int outcome = 0; outcome < 3; outcome++) {
        total->answers[outcome] += one->answers[outcome];
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
