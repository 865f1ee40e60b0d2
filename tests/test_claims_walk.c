#include <glib.h>

#include "ClaimsExplorer.h"

/* Limit of the explored states. Every exploration of this file has fewer; one
 * that reaches the limit is incomplete and fails. */
#define STATES_MAX 100000

static const ExplorationBounds RESEND_AND_CRASH = {.hosts = 2,
                                                   .keys = 1,
                                                   .sends = 2,
                                                   .bodies = 1,
                                                   .records = 2,
                                                   .crashes = 1,
                                                   .remembered = 4};
static const ExplorationBounds DUPLICATE_APPENDS = {.hosts = 2,
                                                    .keys = 1,
                                                    .sends = 2,
                                                    .bodies = 1,
                                                    .records = 2,
                                                    .duplicates = 1,
                                                    .remembered = 4};
static const ExplorationBounds DEADLINE_PASSED = {.hosts = 2,
                                                  .keys = 1,
                                                  .sends = 2,
                                                  .bodies = 1,
                                                  .records = 2,
                                                  .timeouts = 1,
                                                  .remembered = 4};
static const ExplorationBounds LOG_EXPIRY = {.hosts = 2,
                                             .keys = 1,
                                             .sends = 2,
                                             .bodies = 1,
                                             .records = 2,
                                             .expiries = 1,
                                             .remembered = 4};
static const ExplorationBounds TWO_KEYS = {.hosts = 2,
                                           .keys = 2,
                                           .sends = 2,
                                           .bodies = 1,
                                           .records = 2,
                                           .remembered = 1};
static const ExplorationBounds FORGOTTEN_KEYS = {.hosts = 1,
                                                 .keys = 2,
                                                 .sends = 3,
                                                 .bodies = 1,
                                                 .records = 3,
                                                 .remembered = 1};
static const ExplorationBounds TWO_BODIES = {.hosts = 2,
                                             .keys = 1,
                                             .sends = 2,
                                             .bodies = 2,
                                             .records = 2,
                                             .remembered = 4};
static const ExplorationBounds THREE_HOSTS = {.hosts = 3,
                                              .keys = 1,
                                              .sends = 2,
                                              .bodies = 1,
                                              .records = 1,
                                              .remembered = 4};
static const ExplorationBounds ISSUED_KEYS = {.hosts = 2,
                                              .keys = 1,
                                              .issued = true,
                                              .sends = 2,
                                              .bodies = 1,
                                              .crashes = 1,
                                              .timeouts = 1,
                                              .remembered = 4};
static const ExplorationBounds ISSUED_KEYS_THREE_HOSTS = {.hosts = 3,
                                                          .keys = 1,
                                                          .issued = true,
                                                          .sends = 2,
                                                          .bodies = 1,
                                                          .duplicates = 1,
                                                          .remembered = 4};

/* Covers orders of steps that the random scenarios may miss: no state within
 * the bounds may have a violation. */
static void
test_explorations(void)
{
    static const struct {
        const char *name;
        const ExplorationBounds *bounds;
    } cases[] = {
        {"resend-and-death", &RESEND_AND_CRASH},
        {"repeated-appends", &DUPLICATE_APPENDS},
        {"deadlines", &DEADLINE_PASSED},
        {"expiry", &LOG_EXPIRY},
        {"two-keys", &TWO_KEYS},
        {"forgotten", &FORGOTTEN_KEYS},
        {"two-bodies", &TWO_BODIES},
        {"three-hosts", &THREE_HOSTS},
        {"issued", &ISSUED_KEYS},
        {"issued-three", &ISSUED_KEYS_THREE_HOSTS},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        ExplorationBounds bounds = *cases[i].bounds;
        ExplorationResult result;

        bounds.states = STATES_MAX;
        result = ClaimsExplorer_Run(&bounds);
        g_test_message("%s: states=%llu steps=%llu depth=%u", cases[i].name,
                       (unsigned long long)result.states,
                       (unsigned long long)result.steps, result.depth);
        g_assert_true(result.complete);
        g_assert_cmpuint(OutcomeViolations_Total(&result.violations), ==, 0);
    }
}

/* The explorations must detect each injected fault. */
static void
test_injected_faults(void)
{
    static const struct {
        ClaimsFault fault;
        const ExplorationBounds *bounds;
    } cases[] = {
        {CLAIMS_FAULT_RUN_ON_APPEND, &DUPLICATE_APPENDS},
        {CLAIMS_FAULT_RUN_ANY_CLAIM, &DEADLINE_PASSED},
        {CLAIMS_FAULT_IGNORE_GAP, &LOG_EXPIRY},
        {CLAIMS_FAULT_KEEP_FLOOR, &FORGOTTEN_KEYS},
        {CLAIMS_FAULT_ANY_INCARNATION, &RESEND_AND_CRASH},
        {CLAIMS_FAULT_RUN_ABANDONED, &DEADLINE_PASSED},
        {CLAIMS_FAULT_EARLY_NOT_RUN, &DEADLINE_PASSED},
        {CLAIMS_FAULT_UNREACHABLE_NOT_RUN, &DEADLINE_PASSED},
        {CLAIMS_FAULT_IGNORE_DIGEST, &TWO_BODIES},
        {CLAIMS_FAULT_ISSUED_ANYWHERE, &ISSUED_KEYS},
        {CLAIMS_FAULT_REFUSED_AS_RAN, &TWO_BODIES},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        ExplorationBounds bounds = *cases[i].bounds;
        ExplorationResult result;

        bounds.states = STATES_MAX;
        bounds.fault = cases[i].fault;
        result = ClaimsExplorer_Run(&bounds);
        g_test_message("fault %d: violation after %llu states, depth %u",
                       cases[i].fault, (unsigned long long)result.states,
                       result.depth);
        g_assert_cmpuint(OutcomeViolations_Total(&result.violations), >, 0);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/claims/walk/all", test_explorations);
    g_test_add_func("/claims/walk/planted-faults", test_injected_faults);
    return g_test_run();
}
