#include <glib.h>

#include "CrashSimulation.h"

/* Guards against sending a request on that has ended three upstreams. Hosts
 * that share one deployment run it; its sends are counted at the upstreams. */

#define SEED 71
#define RUN_COUNT 6
#define LATE_SENDS_MAX 3

static const CrashOptions deployment = {
    .host_count = 20,
    .upstream_count = 19,
    .crashing_count = 1,
    .duration = 44 * MICROS_PER_S,
    .resend_interval = 500 * MICROS_PER_MS,
    .normal_per_s = 60,
};

static CrashResult
run_worst(CrashOptions options)
{
    CrashResult worst = {0};

    for (uint64_t seed = SEED; seed < SEED + RUN_COUNT; seed++) {
        CrashResult result;

        options.seed = seed;
        result = CrashSimulation_Run(&options);
        g_test_message("seed=%" G_GUINT64_FORMAT
                       " sends=%u ends=%u late=%u other=%u served=%u "
                       "refused_ok=%u calls=%u bytes=%u",
                       seed, result.sends, result.ends, result.late_sends,
                       result.other, result.served, result.refused_ok,
                       result.channel_calls, result.channel_bytes);
        if (seed == SEED || result.late_sends > worst.late_sends) {
            worst = result;
        }
    }
    return worst;
}

static void
assert_bounded(const CrashOptions *options)
{
    CrashResult worst = run_worst(*options);

    g_assert_cmpuint(worst.ends, >=, 1);
    g_assert_cmpuint(worst.late_sends, <=, LATE_SENDS_MAX);
}

static void
test_reset(void)
{
    CrashOptions options = deployment;

    options.crash = CRASH_RESETS;
    assert_bounded(&options);
}

static void
test_silent(void)
{
    CrashOptions options = deployment;

    options.crash = CRASH_SILENT;
    assert_bounded(&options);
}

static void
test_at_most_once(void)
{
    CrashOptions options = deployment;

    options.crash = CRASH_MIXED;
    options.at_most_once = true;
    assert_bounded(&options);
}

static void
test_fast_resends(void)
{
    CrashOptions options = deployment;

    options.crash = CRASH_MIXED;
    options.resend_interval = 100 * MICROS_PER_MS;
    options.crashing_count = 2;
    assert_bounded(&options);
}

static void
test_host_restarts(void)
{
    CrashOptions options = deployment;

    options.crash = CRASH_MIXED;
    options.restart_interval = 700 * MICROS_PER_MS;
    assert_bounded(&options);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_set_nonfatal_assertions();
    g_test_message("seed %d", SEED);
    g_test_add_func("/crashing-request/reset", test_reset);
    g_test_add_func("/crashing-request/silent", test_silent);
    g_test_add_func("/crashing-request/at-most-once", test_at_most_once);
    g_test_add_func("/crashing-request/fast-resends", test_fast_resends);
    g_test_add_func("/crashing-request/host-restarts", test_host_restarts);
    return g_test_run();
}
