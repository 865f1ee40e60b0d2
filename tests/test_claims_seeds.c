#include <glib.h>

#include "ClaimsScenario.h"

/* Range of the seeds; the test prints those that fail. */
#define FIRST_SEED 1
#define SEED_COUNT 1000
/* An injected fault must be detected within this many seeds. */
#define FAULT_SEEDS_MAX 1000

static void
print_result(const char *name, const ScenarioResult *total)
{
    g_test_message(
        "%s: runs=%llu not_run=%llu ran=%llu unknown=%llu deaths=%llu "
        "pauses=%llu gaps=%llu grants=%llu sent=%llu abandoned=%llu",
        name, (unsigned long long)total->runs,
        (unsigned long long)total->answers[HISTORY_NOT_RUN],
        (unsigned long long)total->answers[HISTORY_RAN],
        (unsigned long long)total->answers[HISTORY_UNKNOWN],
        (unsigned long long)total->counters.crashes,
        (unsigned long long)total->counters.pauses,
        (unsigned long long)total->counters.gaps,
        (unsigned long long)total->counters.grants,
        (unsigned long long)total->counters.sent,
        (unsigned long long)total->counters.abandoned);
}

/* No guarantee of OutcomeViolations may be violated under random faults. */
static void
test_seeds(void)
{
    ScenarioResult total = {0};

    for (uint64_t seed = FIRST_SEED; seed < FIRST_SEED + SEED_COUNT; seed++) {
        ScenarioResult one = ClaimsScenario_Run(seed, CLAIMS_FAULT_NONE);

        ClaimsScenario_Add(&total, &one);
        if (OutcomeViolations_Total(&one.violations) > 0) {
            g_test_message("seed %llu: twice=%llu not-run=%llu ran=%llu "
                           "answer=%llu",
                           (unsigned long long)seed,
                           (unsigned long long)one.violations.run_twice,
                           (unsigned long long)one.violations.false_not_run,
                           (unsigned long long)one.violations.false_ran,
                           (unsigned long long)one.violations.wrong_answer);
            g_test_fail();
        }
    }
    print_result("seeds", &total);
    /* The scenarios must reach the states in which violations can occur. */
    g_assert_cmpuint(total.runs, >, SEED_COUNT);
    g_assert_cmpuint(total.answers[HISTORY_NOT_RUN], >, SEED_COUNT);
    g_assert_cmpuint(total.answers[HISTORY_RAN], >, SEED_COUNT);
    g_assert_cmpuint(total.answers[HISTORY_UNKNOWN], >, SEED_COUNT);
    g_assert_cmpuint(total.counters.gaps, >, SEED_COUNT / 10);
    g_assert_cmpuint(total.counters.grants, >, SEED_COUNT / 10);
    g_assert_cmpuint(total.counters.crashes, >, SEED_COUNT);
}

/* The checker must detect each injected fault in a random scenario. */
static void
test_injected_faults(void)
{
    static const struct {
        ClaimsFault fault;
        const char *name;
        size_t violation; /* offset in OutcomeViolations */
    } cases[] = {
        {CLAIMS_FAULT_RUN_ON_APPEND, "run-on-append",
         offsetof(OutcomeViolations, run_twice)},
        {CLAIMS_FAULT_RUN_ANY_CLAIM, "run-any-claim",
         offsetof(OutcomeViolations, run_twice)},
        {CLAIMS_FAULT_IGNORE_GAP, "ignore-gap",
         offsetof(OutcomeViolations, run_twice)},
        {CLAIMS_FAULT_NO_MARGIN, "no-margin",
         offsetof(OutcomeViolations, run_twice)},
        {CLAIMS_FAULT_KEEP_FLOOR, "keep-floor",
         offsetof(OutcomeViolations, run_twice)},
        {CLAIMS_FAULT_ANY_INCARNATION, "any-incarnation",
         offsetof(OutcomeViolations, false_not_run)},
        {CLAIMS_FAULT_RUN_ABANDONED, "run-abandoned",
         offsetof(OutcomeViolations, false_not_run)},
        {CLAIMS_FAULT_EARLY_NOT_RUN, "early-not-run",
         offsetof(OutcomeViolations, false_not_run)},
        {CLAIMS_FAULT_OUTAGE_NOT_RUN, "outage-not-run",
         offsetof(OutcomeViolations, false_not_run)},
        {CLAIMS_FAULT_UNREACHABLE_NOT_RUN, "gone-not-run",
         offsetof(OutcomeViolations, false_not_run)},
        {CLAIMS_FAULT_IGNORE_DIGEST, "ignore-digest",
         offsetof(OutcomeViolations, wrong_answer)},
        {CLAIMS_FAULT_ISSUED_ANYWHERE, "issued-anywhere",
         offsetof(OutcomeViolations, run_twice)},
        {CLAIMS_FAULT_UNSCOPED_KEYS, "unscoped",
         offsetof(OutcomeViolations, wrong_answer)},
        {CLAIMS_FAULT_REFUSED_AS_RAN, "say-ran",
         offsetof(OutcomeViolations, false_ran)},
    };

    G_STATIC_ASSERT(G_N_ELEMENTS(cases) == CLAIMS_FAULT_COUNT - 1);
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        uint64_t seed = FIRST_SEED;
        uint64_t violations = 0;

        while (violations == 0 && seed < FIRST_SEED + FAULT_SEEDS_MAX) {
            ScenarioResult one = ClaimsScenario_Run(seed, cases[i].fault);

            violations = *(uint64_t *)(void *)((char *)&one.violations +
                                               cases[i].violation);
            seed++;
        }
        g_test_message("fault %s: %llu violations at seed %llu", cases[i].name,
                       (unsigned long long)violations,
                       (unsigned long long)(seed - 1));
        g_assert_cmpuint(violations, >, 0);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/claims/seeds", test_seeds);
    g_test_add_func("/claims/planted-faults", test_injected_faults);
    return g_test_run();
}
