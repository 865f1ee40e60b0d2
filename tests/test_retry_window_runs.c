#include <glib.h>

#include "RetrySimulation.h"

/* Guards against hosts that together retry more than the platform allows.
 * Arrivals are counted at the upstreams. The environment variable RUNS sets the
 * number of seeds of each case. */

#define SEED 51
#define RUN_COUNT 3
/* Part of the limit that must be used while all requests fail. */
#define USED_RATIO_MIN 0.5
/* Part of the failed requests that must be retried while few fail. */
#define RETRIED_RATIO_MIN 0.8

static const RetryOptions deployment = {
    .host_count = 19,
    .upstream_count = 36,
    .extra = 64,
    .duration = 40 * MICROS_PER_S,
    .requests_per_s = 243,
    .attempts_max = 2,
    .fail_time = 40 * MICROS_PER_S,
    .fail_ratio = 0.9,
    .cause = RETRY_CAUSE_MIXED,
};

/* Four of five hosts end 2 s after requests began to fail. */
static const RetryOptions killed_hosts = {
    .host_count = 19,
    .upstream_count = 36,
    .extra = 64,
    .duration = 56 * MICROS_PER_S,
    .requests_per_s = 243,
    .attempts_max = 2,
    .fail_time = 18 * MICROS_PER_S,
    .calm_time = 22 * MICROS_PER_S,
    .fail_ratio = 0.95,
    .kill_time = 41 * MICROS_PER_S,
    .kill_ratio = 0.8,
    .kill_down = 2 * MICROS_PER_S,
};

/* The platform's bounds for hundreds of hosts, and fewer upstreams. */
static const RetryOptions hundreds = {
    .host_count = 472,
    .upstream_count = 260,
    .extra = 630,
    .duration = 16 * MICROS_PER_S,
    .requests_per_s = 1900,
    .attempts_max = 2,
    .fail_time = 40 * MICROS_PER_S,
    .fail_ratio = 0.9,
    .cause = RETRY_CAUSE_REJECTED,
};

/* Returns the sums over all seeds, and the worst window of all. */
static RetryResult
run_worst(RetryOptions options)
{
    const char *runs = g_getenv("RUNS");
    uint64_t count =
        runs != NULL ? g_ascii_strtoull(runs, NULL, 10) : RUN_COUNT;
    RetryResult worst = {0};

    for (uint64_t seed = SEED; seed < SEED + count; seed++) {
        RetryResult result;

        options.seed = seed;
        result = RetrySimulation_Run(&options);
        g_test_message("seed=%" G_GUINT64_FORMAT " requests=%u restarts=%u "
                       "retries=%u in_window=%u of=%u used=%.3f",
                       seed, result.requests, result.restarts,
                       result.retry_count, result.worst.retries,
                       result.worst.requests, result.worst.used);
        worst.requests += result.requests;
        worst.retry_count += result.retry_count;
        if (result.worst.used > worst.worst.used) {
            worst.worst = result.worst;
        }
    }
    return worst;
}

static void
assert_kept(RetryOptions options)
{
    g_assert_cmpfloat(run_worst(options).worst.used, <=, 1);
}

/* One seed, as these take long. */
static RetryResult
run_hundreds(RetryOptions options)
{
    RetryResult result;

    options.seed = SEED;
    result = RetrySimulation_Run(&options);
    g_test_message("hosts=%u retries=%u requests=%u used=%.3f",
                   options.host_count, result.worst.retries,
                   result.worst.requests, result.worst.used);
    return result;
}

static void
test_failures(void)
{
    RetryOptions options = deployment;

    options.attempts_max = 4;
    for (RetryCause cause = 0; cause <= RETRY_CAUSE_MIXED; cause++) {
        RetryResult result;

        options.cause = cause;
        result = run_worst(options);
        g_assert_cmpfloat(result.worst.used, <=, 1);
        g_assert_cmpfloat(result.worst.used, >=, USED_RATIO_MIN);
    }
}

/* Guards against a limit that prevents retries without need. */
static void
test_few_failures(void)
{
    RetryOptions options = deployment;
    RetryResult result;

    options.fail_ratio = 0.1;
    options.cause = RETRY_CAUSE_BROKEN;
    result = run_worst(options);
    g_assert_cmpfloat(result.retry_count, >=,
                      RETRIED_RATIO_MIN * options.fail_ratio *
                          result.requests);
}

/* Guards against a host that starts with more than a new part. */
static void
test_restarts(void)
{
    RetryOptions options = deployment;

    options.restart_interval = 100 * MICROS_PER_MS;
    assert_kept(options);
    options.host_count = 137;
    assert_kept(options);
}

static void
test_pauses(void)
{
    RetryOptions options = deployment;

    options.pause_interval = 100 * MICROS_PER_MS;
    options.pause_time = 5 * MICROS_PER_S;
    assert_kept(options);
}

/* Guards against retries of several windows that arrive in one. */
static void
test_late_arrivals(void)
{
    RetryOptions options = deployment;

    options.fail_time = 2 * MICROS_PER_S;
    options.calm_time = 8 * MICROS_PER_S;
    options.delayed_ratio = 1;
    options.delay = 3 * MICROS_PER_S;
    assert_kept(options);
}

/* Guards against a request that counts for another service than its
 * retries. */
static void
test_split_route(void)
{
    RetryOptions options = deployment;

    options.split = true;
    assert_kept(options);
}

/* Guards against retries that the same load allows at two hosts. */
static void
test_killed_hosts(void)
{
    assert_kept(killed_hosts);
}

static void
test_killed_hosts_of_many(void)
{
    RetryOptions options = killed_hosts;

    options.host_count = 137;
    options.upstream_count = 260;
    options.requests_per_s = 1300;
    options.kill_ratio = 0.55;
    assert_kept(options);
}

/* Guards against retries that requests before the window allow. */
static void
test_bursts(void)
{
    RetryOptions options = deployment;

    options.duration = 17 * MICROS_PER_S;
    options.requests_per_s = 600;
    options.load_time = 2500 * MICROS_PER_MS;
    options.gap_time = 5 * MICROS_PER_S;
    options.fail_time = options.load_time;
    options.calm_time = 12500 * MICROS_PER_MS;
    options.cause = RETRY_CAUSE_BROKEN;
    assert_kept(options);
}

/* Guards against a constant part that grows with the number of hosts. */
static void
test_hundreds_of_hosts(void)
{
    RetryOptions options = hundreds;
    double used = run_hundreds(options).worst.used;

    g_assert_cmpfloat(used, <=, 1);
    g_assert_cmpfloat(used, >=, USED_RATIO_MIN);
    options.host_count = 1000;
    used = run_hundreds(options).worst.used;
    g_assert_cmpfloat(used, <=, 1);
}

/* Guards against hosts that join and take a part before the others have made
 * room for it. */
static void
test_joining_hosts(void)
{
    RetryOptions options = hundreds;
    RetryResult result;

    options.join_time = 4 * MICROS_PER_S;
    options.join_count = 260;
    result = run_hundreds(options);
    g_assert_cmpfloat(result.worst.used, <=, 1);
}

/* Guards against a process that takes the part of the one before it again. */
static void
test_restarts_of_hundreds(void)
{
    RetryOptions options = hundreds;
    RetryResult result;

    options.restart_interval = 10 * MICROS_PER_MS;
    result = run_hundreds(options);
    g_assert_cmpfloat(result.worst.used, <=, 1);
}

static void
test_planted_faults_of_hundreds(void)
{
    RetryOptions options = hundreds;
    RetryResult result;

    options.fault = RETRY_FAULT_FIXED_PART;
    result = run_hundreds(options);
    g_assert_cmpfloat(result.worst.used, >, 1);
    options.fault = RETRY_FAULT_PART_AT_ONCE;
    options.restart_interval = 10 * MICROS_PER_MS;
    result = run_hundreds(options);
    g_assert_cmpfloat(result.worst.used, >, 1);
}

/* Guards against a test that passes because it counts nothing. */
static void
test_planted_faults(void)
{
    RetryOptions options = deployment;

    options.cause = RETRY_CAUSE_BROKEN;
    for (RetryFault fault = RETRY_FAULT_UNLIMITED;
         fault <= RETRY_FAULT_WHOLE_EXTRA; fault++) {
        options.fault = fault;
        g_assert_cmpfloat(run_worst(options).worst.used, >, 1);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/retry-window/failures", test_failures);
    g_test_add_func("/retry-window/few-failures", test_few_failures);
    g_test_add_func("/retry-window/restarts", test_restarts);
    g_test_add_func("/retry-window/pauses", test_pauses);
    g_test_add_func("/retry-window/late-arrivals", test_late_arrivals);
    g_test_add_func("/retry-window/split-route", test_split_route);
    g_test_add_func("/retry-window/killed-hosts", test_killed_hosts);
    g_test_add_func("/retry-window/killed-hosts-of-many",
                    test_killed_hosts_of_many);
    g_test_add_func("/retry-window/bursts", test_bursts);
    g_test_add_func("/retry-window/planted-faults", test_planted_faults);
    g_test_add_func("/retry-window/hundreds-of-hosts", test_hundreds_of_hosts);
    g_test_add_func("/retry-window/joining-hosts", test_joining_hosts);
    g_test_add_func("/retry-window/restarts-of-hundreds",
                    test_restarts_of_hundreds);
    g_test_add_func("/retry-window/planted-faults-of-hundreds",
                    test_planted_faults_of_hundreds);
    return g_test_run();
}
