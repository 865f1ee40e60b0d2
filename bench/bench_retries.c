/*
 * Retry amplification while upstreams fail, for 20 hosts in front of one
 * service and for a chain of 16 balancer layers. The baselines are up to three
 * attempts without a budget, and budgets without the rules between layers.
 */
#include <glib.h>
#include <math.h>
#include <stdio.h>

#include "Quarantine.h"
#include "Random.h"
#include "RetryBudget.h"

#define SEED 20261203
#define HOSTS 20
#define LAYERS_MAX 16
#define WARM_UP_US (5 * MICROS_PER_S)

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
    RetryBudget *budgets[LAYERS_MAX][HOSTS];
    int layers;
    Policy policy;
    double failure_ratio;       /* of the attempts at the upstreams */
    uint64_t upstream_attempts; /* attempts that reached the upstreams */
} Chain;

typedef struct Response_ {
    bool ok;
    bool from_balancer;
} Response;

static Response
call_upstream(Chain *chain)
{
    chain->upstream_attempts++;
    return (Response){.ok =
                          Random_Unit(chain->random) >= chain->failure_ratio};
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

static Response
call_layer(Chain *chain, int layer, bool retrying)
{
    RetryBudget *budget =
        chain->budgets[layer][Random_Below(chain->random, HOSTS)];

    for (uint32_t attempts = 1;; attempts++) {
        Response response = layer + 1 < chain->layers
                                ? call_layer(chain, layer + 1, retrying)
                                : call_upstream(chain);

        if (response.ok) {
            RetryBudget_OnSuccess(budget);
            return response;
        }
        if (!may_retry(chain, budget, attempts, retrying,
                       response.from_balancer)) {
            return (Response){.from_balancer = true};
        }
        retrying = true;
    }
}

static uint64_t
offer_load(Chain *chain, double rate, Micros duration)
{
    Micros end = Clock_Now(chain->clock) + duration;
    uint64_t offered = 0;

    chain->upstream_attempts = 0;
    while (Clock_Now(chain->clock) < end) {
        call_layer(chain, 0, false);
        offered++;
        Clock_Advance(chain->clock,
                      (Micros)Random_Exponential(chain->random,
                                                 (double)MICROS_PER_S / rate));
    }
    return offered;
}

/* Attempts that reach the upstreams per offered request, counted from the time
 * at which @failure_ratio of them begins to fail. */
static double
amplification(Policy policy, int layers, double failure_ratio, double rate,
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
    offer_load(&chain, rate, WARM_UP_US);
    chain.failure_ratio = failure_ratio;
    offered = offer_load(&chain, rate, duration);
    for (int i = 0; i < layers; i++) {
        for (int j = 0; j < HOSTS; j++) {
            RetryBudget_Destroy(chain.budgets[i][j]);
        }
    }
    Random_Destroy(chain.random);
    Clock_Destroy(chain.clock);
    return (double)chain.upstream_attempts / (double)offered;
}

static void
bench_outage(const char *name, int layers, double failure_ratio, double rate,
             Micros duration)
{
    double value =
        amplification(POLICY_FULL, layers, failure_ratio, rate, duration);

    printf("%s_budget_only_sent=%.4f\n", name,
           amplification(POLICY_BUDGET_ONLY, layers, failure_ratio, rate,
                         duration));
    printf("%s_sent=%.4f\n%s_sent_bound=1.1000\n%s_sent_met=%s\n", name, value,
           name, name, value <= 1.1 ? "yes" : "no");
}

/* A caller retries a request that crashes its upstream while other requests
 * run. Counts the crashed upstreams and the refusals of other requests. */
static void
bench_quarantine(void)
{
    QuarantineOptions options = {0};
    Clock *clock = Clock_CreateManual(0, 0);
    Random *random = Random_Create(SEED);
    Quarantine *quarantine = Quarantine_Create(&options, clock);
    Fingerprint crashing =
        Quarantine_Fingerprint(1, STR("POST"), STR("/claims"), STR("x"));
    uint32_t crashed_upstreams = 0;
    uint32_t false_refusals = 0;

    for (uint32_t attempt = 0; attempt < 1000; attempt++) {
        Fingerprint running[6] = {crashing};

        for (uint32_t i = 1; i < 6; i++) {
            running[i] = (Fingerprint){1, Random_Below(random, 200), i};
            false_refusals +=
                Quarantine_Check(quarantine, &running[i]) == QUARANTINE_REFUSE;
        }
        if (Quarantine_Check(quarantine, &crashing) == QUARANTINE_REFUSE) {
            for (uint32_t i = 1; i < 6; i++) {
                Quarantine_OnResponse(quarantine, &running[i], attempt);
            }
        }
        else {
            Quarantine_OnUpstreamUnreachable(quarantine, attempt, running, 6);
            crashed_upstreams++;
        }
        Clock_Advance(clock, 50 * MICROS_PER_MS);
    }
    printf("quarantine_upstreams_lost=%u\n", crashed_upstreams);
    printf("quarantine_upstreams_lost_bound=%d\n", QUARANTINE_LOSS_THRESHOLD);
    printf("quarantine_upstreams_lost_met=%s\n",
           crashed_upstreams <= QUARANTINE_LOSS_THRESHOLD ? "yes" : "no");
    printf("quarantine_innocent_refused=%u\n", false_refusals);
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
