#include <glib.h>

#include "ClaimsExplorer.h"

/* Above every walk of this file, so that an incomplete one fails. */
#define STATES_MAX 100000

static const ExplorationBounds RESEND_AND_DEATH = {.hosts = 2,
                                                   .keys = 1,
                                                   .sends = 2,
                                                   .bodies = 1,
                                                   .records = 2,
                                                   .crashes = 1,
                                                   .remembered = 4};
static const ExplorationBounds REPEATED_APPENDS = {.hosts = 2,
                                                   .keys = 1,
                                                   .sends = 2,
                                                   .bodies = 1,
                                                   .records = 2,
                                                   .duplicates = 1,
                                                   .remembered = 4};
static const ExplorationBounds DEADLINES = {.hosts = 2,
                                            .keys = 1,
                                            .sends = 2,
                                            .bodies = 1,
                                            .records = 2,
                                            .timeouts = 1,
                                            .remembered = 4};
static const ExplorationBounds EXPIRY = {.hosts = 2,
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
static const ExplorationBounds FORGOTTEN = {.hosts = 1,
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
static const ExplorationBounds ISSUED = {.hosts = 2,
                                         .keys = 1,
                                         .issued = true,
                                         .sends = 2,
                                         .bodies = 1,
                                         .crashes = 1,
                                         .timeouts = 1,
                                         .remembered = 4};
static const ExplorationBounds ISSUED_THREE = {.hosts = 3,
                                               .keys = 1,
                                               .issued = true,
                                               .sends = 2,
                                               .bodies = 1,
                                               .duplicates = 1,
                                               .remembered = 4};

/* Guards against an order of steps that random runs do not happen to hit. */
static void
test_walks(void)
{
    static const struct {
        const char *name;
        const ExplorationBounds *bounds;
    } cases[] = {
        {"resend-and-death", &RESEND_AND_DEATH},
        {"repeated-appends", &REPEATED_APPENDS},
        {"deadlines", &DEADLINES},
        {"expiry", &EXPIRY},
        {"two-keys", &TWO_KEYS},
        {"forgotten", &FORGOTTEN},
        {"two-bodies", &TWO_BODIES},
        {"three-hosts", &THREE_HOSTS},
        {"issued", &ISSUED},
        {"issued-three", &ISSUED_THREE},
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

/* Guards against a walk that does not reach the states that matter. */
static void
test_planted_faults(void)
{
    static const struct {
        ClaimsFault fault;
        const ExplorationBounds *bounds;
    } cases[] = {
        {CLAIMS_FAULT_RUN_ON_APPEND, &REPEATED_APPENDS},
        {CLAIMS_FAULT_RUN_ANY_CLAIM, &DEADLINES},
        {CLAIMS_FAULT_IGNORE_GAP, &EXPIRY},
        {CLAIMS_FAULT_KEEP_FLOOR, &FORGOTTEN},
        {CLAIMS_FAULT_ANY_INCARNATION, &RESEND_AND_DEATH},
        {CLAIMS_FAULT_RUN_ABANDONED, &DEADLINES},
        {CLAIMS_FAULT_EARLY_NOT_RUN, &DEADLINES},
        {CLAIMS_FAULT_GONE_NOT_RUN, &DEADLINES},
        {CLAIMS_FAULT_IGNORE_DIGEST, &TWO_BODIES},
        {CLAIMS_FAULT_ISSUED_ANYWHERE, &ISSUED},
        {CLAIMS_FAULT_SAY_RAN, &TWO_BODIES},
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
    g_test_add_func("/claims/walk/all", test_walks);
    g_test_add_func("/claims/walk/planted-faults", test_planted_faults);
    return g_test_run();
}
