#include <glib.h>

#include "LimitSimulation.h"

/* Guards against hosts that refuse requests because of limits that have ended:
 * all upstreams name one, which changes and ends at random. The environment
 * variable RUNS sets the number of seeds of each case. */

#define SEED 31
#define RUN_COUNT 4
/* At most one request in this number is refused because of limits while an
 * upstream without one has a free slot. */
#define REFUSED_ONE_IN 500

static void
test_ends(gconstpointer silent_probes)
{
    LimitOptions options = {
        .host_count = 20,
        .upstream_count = 19,
        .limited_count = 19,
        .limit_per_s = 2.3,
        .plan = LIMIT_PLAN_VARIES,
        .duration = 40 * MICROS_PER_S,
        .requests_per_s = 126,
        .silent_probes = silent_probes != NULL,
    };
    const char *runs = g_getenv("RUNS");
    uint64_t count =
        runs != NULL ? g_ascii_strtoull(runs, NULL, 10) : RUN_COUNT;
    unsigned requests = 0, refused = 0;

    for (options.seed = SEED; options.seed < SEED + count; options.seed++) {
        LimitResult result = LimitSimulation_Run(&options);

        g_assert_cmpuint(result.violations, ==, 0);
        requests += result.requests;
        refused += result.refused_with_capacity;
    }
    g_test_message("seed=%d requests=%u refused=%u", SEED, requests, refused);
    g_assert_cmpuint(refused * REFUSED_ONE_IN, <=, requests);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_set_nonfatal_assertions();
    g_test_add_data_func("/ended-limits/probes", NULL, test_ends);
    g_test_add_data_func("/ended-limits/silent-probes", GINT_TO_POINTER(1),
                         test_ends);
    return g_test_run();
}
