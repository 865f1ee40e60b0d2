/*
 * Retries while upstreams fail: 20 hosts in front of one service, and a chain
 * of 16 balancer layers. Baselines: up to three attempts without a budget, and
 * budgets without the rules between layers.
 */
#include <glib.h>
#include <math.h>
#include <stdio.h>

#include "Quarantine.h"
#include "Random.h"
#include "RetryBudget.h"

#define SEED 20261203
#define HOSTS 20
#define MAX_LAYERS 16
#define WARM_UP (5 * MICROS_PER_S)

typedef enum Policy_ {
    POLICY_THREE_ATTEMPTS,
    POLICY_BUDGET_ONLY,
    POLICY_FULL,
} Policy;

static const char *const policy_names[] = {"three_attempts", "budget_only",
                                           "full"};

typedef struct Chain_ {
    Clock *clock;
    Random *random;
    RetryBudget *budgets[MAX_LAYERS][HOSTS];
    int layers;
    Policy policy;
    double failing; /* part of the attempts at the bottom that fail */
    uint64_t sent;  /* attempts that reached the bottom */
} Chain;

typedef struct Answer_ {
    bool good;
    bool from_balancer;
} Answer;

static Answer
ask_upstream(Chain *chain)
{
    chain->sent++;
    return (Answer){.good = Random_Unit(chain->random) >= chain->failing};
}

static bool
may_retry(Chain *chain, RetryBudget *budget, uint32_t attempts, bool retrying,
          bool from_balancer)
{
    RetryQuery query = {
        .failure = RETRY_FAILURE_ERROR,
        .idempotent = true,
        .body_kept = true,
        .layer_above_retries = chain->policy == POLICY_FULL && retrying,
        .from_balancer = chain->policy == POLICY_FULL && from_balancer,
        .attempts = attempts,
        .deadline = Clock_Now(chain->clock) + MICROS_PER_S,
        .expected = 10 * MICROS_PER_MS,
    };

    if (chain->policy == POLICY_THREE_ATTEMPTS) {
        return attempts < 3;
    }
    return RetryBudget_Decide(budget, &query).verdict == RETRY_ALLOWED;
}

static Answer
ask_layer(Chain *chain, int layer, bool retrying)
{
    RetryBudget *budget =
        chain->budgets[layer][Random_Below(chain->random, HOSTS)];

    for (uint32_t attempts = 1;; attempts++) {
        Answer answer = layer + 1 < chain->layers
                            ? ask_layer(chain, layer + 1, retrying)
                            : ask_upstream(chain);

        if (answer.good) {
            RetryBudget_OnSuccess(budget);
            return answer;
        }
        if (!may_retry(chain, budget, attempts, retrying,
                       answer.from_balancer)) {
            return (Answer){.from_balancer = true};
        }
        retrying = true;
    }
}

static uint64_t
run_for(Chain *chain, double rate, Micros duration)
{
    Micros end = Clock_Now(chain->clock) + duration;
    uint64_t offered = 0;

    chain->sent = 0;
    while (Clock_Now(chain->clock) < end) {
        ask_layer(chain, 0, false);
        offered++;
        Clock_Advance(chain->clock,
                      (Micros)Random_Exponential(chain->random,
                                                 (double)MICROS_PER_S / rate));
    }
    return offered;
}

/* Attempts that reach the upstreams for each request offered, from the moment
 * at which the given part of them begins to fail. */
static double
amplification(Policy policy, int layers, double failing, double rate,
              Micros duration)
{
    Chain chain = {
        .clock = Clock_CreateManual(0, 0),
        .random = Random_Create(SEED),
        .layers = layers,
        .policy = policy,
    };
    uint64_t offered;

    for (int i = 0; i < layers; i++) {
        for (int j = 0; j < HOSTS; j++) {
            chain.budgets[i][j] = RetryBudget_Create(chain.clock);
        }
    }
    run_for(&chain, rate, WARM_UP);
    chain.failing = failing;
    offered = run_for(&chain, rate, duration);
    for (int i = 0; i < layers; i++) {
        for (int j = 0; j < HOSTS; j++) {
            RetryBudget_Destroy(chain.budgets[i][j]);
        }
    }
    Random_Destroy(chain.random);
    Clock_Destroy(chain.clock);
    return (double)chain.sent / (double)offered;
}

static void
bench_outage(const char *name, int layers, double failing, double rate,
             Micros duration)
{
    double value = amplification(POLICY_FULL, layers, failing, rate, duration);

    printf("%s_budget_only_sent=%.4f\n", name,
           amplification(POLICY_BUDGET_ONLY, layers, failing, rate, duration));
    printf("%s_sent=%.4f\n%s_sent_bound=1.1000\n%s_sent_met=%s\n", name, value,
           name, name, value <= 1.1 ? "yes" : "no");
}

/* One request that crashes its upstream is sent again by its caller, among
 * others; counts upstreams lost and innocent requests refused. */
static void
bench_quarantine(void)
{
    QuarantineOptions options = {0};
    Clock *clock = Clock_CreateManual(0, 0);
    Random *random = Random_Create(SEED);
    Quarantine *quarantine = Quarantine_Create(&options, clock);
    Fingerprint crasher =
        Quarantine_Fingerprint(1, STR("POST"), STR("/claims"), STR("x"));
    uint32_t lost = 0;
    uint32_t refused = 0;

    for (uint32_t resend = 0; resend < 1000; resend++) {
        Fingerprint running[6] = {crasher};

        for (uint32_t i = 1; i < 6; i++) {
            running[i] = (Fingerprint){1, Random_Below(random, 200), i};
            refused +=
                Quarantine_Check(quarantine, &running[i]) == QUARANTINE_REFUSE;
        }
        if (Quarantine_Check(quarantine, &crasher) == QUARANTINE_REFUSE) {
            for (uint32_t i = 1; i < 6; i++) {
                Quarantine_OnResponse(quarantine, &running[i], resend);
            }
        }
        else {
            Quarantine_OnUpstreamUnreachable(quarantine, resend, running, 6);
            lost++;
        }
        Clock_Advance(clock, 50 * MICROS_PER_MS);
    }
    printf("quarantine_upstreams_lost=%u\n", lost);
    printf("quarantine_upstreams_lost_bound=%d\n", QUARANTINE_LOSS_THRESHOLD);
    printf("quarantine_upstreams_lost_met=%s\n",
           lost <= QUARANTINE_LOSS_THRESHOLD ? "yes" : "no");
    printf("quarantine_innocent_refused=%u\n", refused);
    printf("quarantine_bytes_idle=%zu\n", Quarantine_Bytes(quarantine));
    Quarantine_Destroy(quarantine);
    Random_Destroy(random);
    Clock_Destroy(clock);
}

int
main(void)
{
    printf("seed=%d\n", SEED);
    printf(
        "down_%s_sent=%.4f\n", policy_names[POLICY_THREE_ATTEMPTS],
        amplification(POLICY_THREE_ATTEMPTS, 1, 1, 10000, 10 * MICROS_PER_S));
    bench_outage("down_1s", 1, 1, 10000, MICROS_PER_S);
    bench_outage("down_10s", 1, 1, 10000, 10 * MICROS_PER_S);
    bench_outage("down_slow_rate_10s", 1, 1, 100, 10 * MICROS_PER_S);
    bench_outage("half_failing", 1, 0.5, 10000, 10 * MICROS_PER_S);
    bench_outage("chain16_down_1s", 16, 1, 2000, MICROS_PER_S);
    bench_outage("chain16_down_10s", 16, 1, 2000, 10 * MICROS_PER_S);
    bench_outage("chain16_half_failing", 16, 0.5, 2000, 10 * MICROS_PER_S);
    bench_quarantine();
    return 0;
}
