#include <glib.h>

#include "Random.h"
#include "RetryBudget.h"

#define SEED 41

static RetryQuery
good_query(const Clock *clock)
{
    return (RetryQuery){
        .failure = RETRY_FAILURE_SHED,
        .body_kept = true,
        .attempts = 1,
        .deadline = Clock_Now(clock) + MICROS_PER_S,
        .expected = 10 * MICROS_PER_MS,
    };
}

/* Guards against retrying a request that may have run and is not
 * idempotent. */
static void
test_safety(void)
{
    static const struct {
        RetryFailure failure;
        bool idempotent;
        bool safe;
    } cases[] = {
        {RETRY_FAILURE_NOT_SENT, false, true},
        {RETRY_FAILURE_SHED, false, true},
        {RETRY_FAILURE_DISCONNECTED, false, false},
        {RETRY_FAILURE_TIMEOUT, false, false},
        {RETRY_FAILURE_ERROR, false, false},
        {RETRY_FAILURE_DISCONNECTED, true, true},
        {RETRY_FAILURE_TIMEOUT, true, true},
        {RETRY_FAILURE_ERROR, true, true},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        RetryQuery query = {.failure = cases[i].failure,
                            .idempotent = cases[i].idempotent};

        g_assert_cmpint(RetryBudget_IsSafe(&query), ==, cases[i].safe);
    }
}

/* Guards against a rule being skipped while the budget is full, and against a
 * denied retry that spends budget. */
static void
test_rules(void)
{
    Clock *clock = Clock_CreateManual(MICROS_PER_S, 0);
    RetryBudget *budget = RetryBudget_Create(clock);
    RetryQuery queries[9];
    static const RetryVerdict expected[] = {
        RETRY_RESPONSE_BEGUN,      RETRY_UNSAFE,
        RETRY_LAYER_ABOVE,         RETRY_LAYER_BELOW,
        RETRY_BODY_NOT_REPLAYABLE, RETRY_ATTEMPTS_EXHAUSTED,
        RETRY_DEADLINE_TOO_CLOSE,  RETRY_ALLOWED,
        RETRY_BUDGET_EXHAUSTED,
    };

    for (int i = 0; i < 10; i++) {
        RetryBudget_OnSuccess(budget);
    }
    for (size_t i = 0; i < G_N_ELEMENTS(queries); i++) {
        queries[i] = good_query(clock);
    }
    queries[0].response_begun = true;
    queries[1].failure = RETRY_FAILURE_DISCONNECTED;
    queries[2].layer_above_retries = true;
    queries[3].from_balancer = true;
    queries[4].body_kept = false;
    queries[5].attempts = 3;
    queries[6].deadline = Clock_Now(clock) + queries[6].expected;
    for (size_t i = 0; i < G_N_ELEMENTS(queries); i++) {
        RetryDecision decision = RetryBudget_Decide(budget, &queries[i]);

        g_assert_cmpstr(RetryBudget_VerdictName(decision.verdict), ==,
                        RetryBudget_VerdictName(expected[i]));
        g_assert_cmpint(decision.other_upstream, ==,
                        expected[i] == RETRY_ALLOWED);
    }
    RetryBudget_Destroy(budget);
    Clock_Destroy(clock);
}

/* Guards against reusing a pooled connection after a timeout. */
static void
test_new_connection_after_timeout(void)
{
    Clock *clock = Clock_CreateManual(MICROS_PER_S, 0);
    RetryBudget *budget = RetryBudget_Create(clock);
    RetryQuery query = good_query(clock);

    for (int i = 0; i < 10; i++) {
        RetryBudget_OnSuccess(budget);
    }
    query.failure = RETRY_FAILURE_TIMEOUT;
    query.idempotent = true;
    g_assert_true(RetryBudget_Decide(budget, &query).new_connection);
    RetryBudget_Destroy(budget);
    Clock_Destroy(clock);
}

/* Guards against retries above 10% of the successes of all hosts together, and
 * against a balance saved up before an outage that exceeds 10% of the requests
 * of one second. */
static void
test_ratio_over_hosts(void)
{
    static const struct {
        double failure_ratio;
        uint32_t idle_s; /* successes only, before counting starts */
    } cases[] = {{0.05, 0}, {0.5, 0}, {0.9, 0}, {1.0, 0}, {1.0, 60}};

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        Clock *clock = Clock_CreateManual(0, 0);
        Random *random = Random_Create(SEED + i);
        RetryBudget *budgets[20];
        uint32_t retries = 0;
        uint32_t successes = 0;

        for (int j = 0; j < 20; j++) {
            budgets[j] = RetryBudget_Create(clock);
        }
        for (uint32_t n = 0; n < cases[i].idle_s * 1000; n++) {
            RetryBudget_OnSuccess(budgets[n % 20]);
            Clock_Advance(clock, MICROS_PER_MS);
        }
        for (int n = 0; n < 10000; n++) {
            RetryBudget *budget = budgets[Random_Below(random, 20)];
            RetryQuery query = good_query(clock);

            if (Random_Unit(random) >= cases[i].failure_ratio) {
                RetryBudget_OnSuccess(budget);
                successes++;
            }
            else if (RetryBudget_Decide(budget, &query).verdict ==
                     RETRY_ALLOWED) {
                retries++;
            }
            Clock_Advance(clock, MICROS_PER_MS);
        }
        g_assert_cmpuint(retries, <=,
                         successes / 10 + (cases[i].idle_s > 0 ? 110 : 0));
        for (int j = 0; j < 20; j++) {
            RetryBudget_Destroy(budgets[j]);
        }
        Random_Destroy(random);
        Clock_Destroy(clock);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_message("seed=%d", SEED);
    g_test_add_func("/retry-budget/safety", test_safety);
    g_test_add_func("/retry-budget/rules", test_rules);
    g_test_add_func("/retry-budget/silence",
                    test_new_connection_after_timeout);
    g_test_add_func("/retry-budget/share", test_ratio_over_hosts);
    return g_test_run();
}
