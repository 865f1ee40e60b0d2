#include <glib.h>

#include "LimitSimulation.h"

/* Guards against hosts that together send an upstream more than the limit that
 * it names. Arrivals are counted at the upstreams. The environment variable
 * RUNS sets the number of seeds of each case. */

#define SEED 31
#define RUN_COUNT 4
/* Part of what the limits allow that must be used while it is needed. */
#define USED_RATIO_MIN 0.5
/* Of the attempts of callers, at most one in this number is refused while an
 * upstream without a limit has room. */
#define REFUSED_ONE_IN 500

static const LimitOptions deployment = {
    .host_count = 20,
    .upstream_count = 19,
    .limited_count = 2,
    .limit_per_s = 2.3,
    .duration = 40 * MICROS_PER_S,
    .requests_per_s = 126,
};

/* The number of hosts doubles while all upstreams are limited. */
static const LimitOptions joining = {
    .host_count = 20,
    .upstream_count = 19,
    .limited_count = 19,
    .limit_per_s = 2.3,
    .duration = 90 * MICROS_PER_S,
    .requests_per_s = 250,
    .extra_hosts = 20,
    .join_time = 10 * MICROS_PER_S,
};

/* Returns the sums over all seeds, and the worst of the bounded figures. */
static LimitResult
run_worst(LimitOptions options)
{
    const char *runs = g_getenv("RUNS");
    uint64_t count =
        runs != NULL ? g_ascii_strtoull(runs, NULL, 10) : RUN_COUNT;
    LimitResult worst = {0};

    for (uint64_t seed = SEED; seed < SEED + count; seed++) {
        LimitResult result;

        options.seed = seed;
        result = LimitSimulation_Run(&options);
        g_test_message(
            "seed=%" G_GUINT64_FORMAT " excess=%.1f violations=%u "
            "arrivals=%.0f allowed=%.0f requests=%u served=%u refused=%u "
            "refusals=%u with_capacity=%u held_ms=%d",
            seed, result.excess, result.violations, result.limited_arrivals,
            result.limited_allowed, result.requests, result.served,
            result.refused, result.refusals, result.refused_with_capacity,
            (int)(result.held_longest / MICROS_PER_MS));
        worst.excess = MAX(worst.excess, result.excess);
        worst.violations += result.violations;
        worst.limited_arrivals += result.limited_arrivals;
        worst.limited_allowed += result.limited_allowed;
        worst.requests += result.requests;
        worst.served += result.served;
        worst.refused += result.refused;
        worst.refusals += result.refusals;
        worst.refused_with_capacity += result.refused_with_capacity;
        worst.held_longest = MAX(worst.held_longest, result.held_longest);
    }
    return worst;
}

static LimitResult
assert_kept(const LimitOptions *options)
{
    LimitResult worst = run_worst(*options);

    g_assert_cmpfloat(worst.limited_arrivals, >=,
                      MIN(worst.limited_allowed, 1));
    g_assert_cmpuint(worst.violations, ==, 0);
    return worst;
}

static void
assert_no_wrong_refusals(const LimitResult *worst)
{
    g_assert_cmpuint(worst->refused_with_capacity * REFUSED_ONE_IN, <=,
                     worst->requests);
}

static void
test_plan(gconstpointer data)
{
    LimitOptions options = deployment;
    LimitResult worst;

    options.plan = GPOINTER_TO_INT(data);
    worst = assert_kept(&options);
    assert_no_wrong_refusals(&worst);
}

/* More is requested than the limits allow, so that the rest is refused. */
static void
test_most_upstreams(void)
{
    LimitOptions options = deployment;
    LimitResult worst;

    options.limited_count = 17;
    worst = assert_kept(&options);
    g_assert_cmpfloat(worst.limited_arrivals, >=,
                      USED_RATIO_MIN * worst.limited_allowed);
    assert_no_wrong_refusals(&worst);
}

static void
test_most_upstreams_vary(void)
{
    LimitOptions options = deployment;
    LimitResult worst;

    options.plan = LIMIT_PLAN_VARIES;
    options.limited_count = 17;
    worst = assert_kept(&options);
    assert_no_wrong_refusals(&worst);
}

static void
test_all_upstreams(void)
{
    LimitOptions options = deployment;
    LimitResult worst;

    options.limited_count = options.upstream_count;
    worst = assert_kept(&options);
    g_assert_cmpfloat(worst.limited_arrivals, >=,
                      USED_RATIO_MIN * worst.limited_allowed);
}

/* Guards against refusals because of limits that have ended, if probes name
 * them; test_ended_limits has the case in which probes name none, too. */
static void
test_all_upstreams_vary(void)
{
    LimitOptions options = deployment;
    LimitResult worst;

    options.plan = LIMIT_PLAN_VARIES;
    options.limited_count = options.upstream_count;
    worst = assert_kept(&options);
    assert_no_wrong_refusals(&worst);
}

static void
test_low_limit(void)
{
    LimitOptions options = deployment;

    options.limit_per_s = 0.2;
    options.limited_count = 10;
    assert_kept(&options);
}

static void
test_no_requests_allowed(void)
{
    LimitOptions options = deployment;

    options.limit_per_s = 0;
    options.limited_count = 5;
    assert_kept(&options);
}

static void
test_host_restarts(void)
{
    LimitOptions options = deployment;

    options.plan = LIMIT_PLAN_VARIES;
    options.limited_count = 10;
    options.restart_interval = 1 * MICROS_PER_S;
    assert_kept(&options);
}

static void
test_hosts_join(void)
{
    assert_kept(&joining);
}

/* The check must fail if hosts that join do not wait until all others know of
 * them. */
static void
test_planted_impatience(void)
{
    LimitOptions options = joining;

    options.impatient_hosts = true;
    g_assert_cmpuint(run_worst(options).violations, >, 0);
}

static void
test_many_hosts(void)
{
    LimitOptions options = deployment;
    LimitResult worst;

    options.host_count = 60;
    options.upstream_count = options.limited_count = 50;
    options.requests_per_s = 300;
    options.duration = 20 * MICROS_PER_S;
    worst = assert_kept(&options);
    g_assert_cmpfloat(worst.limited_arrivals, >=,
                      USED_RATIO_MIN * worst.limited_allowed);
}

static void
test_hosts_cut_off(void)
{
    LimitOptions options = deployment;

    options.plan = LIMIT_PLAN_VARIES;
    options.limited_count = 10;
    options.cut_interval = 2 * MICROS_PER_S;
    options.extra_hosts = 10;
    options.join_time = 100 * MICROS_PER_S;
    options.duration = 200 * MICROS_PER_S;
    options.restart_interval = 3 * MICROS_PER_S;
    assert_kept(&options);
}

static void
test_upstream_restarts(void)
{
    LimitOptions options = deployment;

    options.plan = LIMIT_PLAN_VARIES;
    options.limited_count = 10;
    options.upstream_restart_interval = 2 * MICROS_PER_S;
    assert_kept(&options);
}

static void
test_lost_responses(void)
{
    LimitOptions options = deployment;

    options.plan = LIMIT_PLAN_VARIES;
    options.limited_count = 10;
    options.lossy = true;
    assert_kept(&options);
}

static void
test_silent_probes(gconstpointer data)
{
    LimitOptions options = deployment;

    options.plan = GPOINTER_TO_INT(data);
    options.limited_count = 10;
    options.silent_probes = true;
    assert_kept(&options);
}

/* Guards against hosts without a part that send requests at the rate of a limit
 * that has fallen since they heard of it. */
static void
test_unheard_falls(void)
{
    LimitOptions options = deployment;

    options.plan = LIMIT_PLAN_FALLS;
    options.limited_count = options.upstream_count;
    options.silent_probes = true;
    assert_kept(&options);
}

/* The check must fail if hosts do not read the limits. */
static void
test_planted_unread(void)
{
    LimitOptions options = deployment;

    options.unread_limits = true;
    g_assert_cmpuint(run_worst(options).violations, >, 0);
}

/* The check must fail if each host keeps the limit for itself alone. */
static void
test_planted_isolation(void)
{
    LimitOptions options = deployment;

    options.isolated_hosts = true;
    g_assert_cmpuint(run_worst(options).violations, >, 0);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_set_nonfatal_assertions();
    g_test_message("seed %d", SEED);
    g_test_add_data_func("/upstream-limit/steady",
                         GINT_TO_POINTER(LIMIT_PLAN_STEADY), test_plan);
    g_test_add_data_func("/upstream-limit/falls",
                         GINT_TO_POINTER(LIMIT_PLAN_FALLS), test_plan);
    g_test_add_data_func("/upstream-limit/rises",
                         GINT_TO_POINTER(LIMIT_PLAN_RISES), test_plan);
    g_test_add_data_func("/upstream-limit/varies",
                         GINT_TO_POINTER(LIMIT_PLAN_VARIES), test_plan);
    g_test_add_func("/upstream-limit/most-upstreams", test_most_upstreams);
    g_test_add_func("/upstream-limit/most-upstreams-vary",
                    test_most_upstreams_vary);
    g_test_add_func("/upstream-limit/all-upstreams", test_all_upstreams);
    g_test_add_func("/upstream-limit/all-upstreams-vary",
                    test_all_upstreams_vary);
    g_test_add_func("/upstream-limit/low", test_low_limit);
    g_test_add_func("/upstream-limit/zero", test_no_requests_allowed);
    g_test_add_func("/upstream-limit/host-restarts", test_host_restarts);
    g_test_add_func("/upstream-limit/hosts-join", test_hosts_join);
    g_test_add_func("/upstream-limit/many-hosts", test_many_hosts);
    g_test_add_func("/upstream-limit/hosts-cut-off", test_hosts_cut_off);
    g_test_add_func("/upstream-limit/upstream-restarts",
                    test_upstream_restarts);
    g_test_add_func("/upstream-limit/lost-responses", test_lost_responses);
    g_test_add_data_func("/upstream-limit/silent-probes",
                         GINT_TO_POINTER(LIMIT_PLAN_STEADY),
                         test_silent_probes);
    g_test_add_data_func("/upstream-limit/silent-probes-vary",
                         GINT_TO_POINTER(LIMIT_PLAN_VARIES),
                         test_silent_probes);
    g_test_add_func("/upstream-limit/unheard-falls", test_unheard_falls);
    g_test_add_func("/upstream-limit/planted-unread", test_planted_unread);
    g_test_add_func("/upstream-limit/planted-isolation",
                    test_planted_isolation);
    g_test_add_func("/upstream-limit/planted-impatience",
                    test_planted_impatience);
    return g_test_run();
}
