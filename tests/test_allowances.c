#include <glib.h>
#include <string.h>

#include "AllowanceSimulation.h"

/* Guards against customers that send more than their limit over all hosts
 * together, and against refusals of requests that are within it. RUNS sets the
 * number of seeds of each case. */

#define SEED 7
#define RUN_COUNT 2
/* The users' bound: the limit, a tenth more, and 20. */
#define OVERSHOOT_RATIO 0.1
#define SLACK 20
/* Part of the tolerance that hosts plan with. */
#define TOLERANCE_RATIO 0.4
/* Part of the rate that a customer with more requests gets at least. */
#define USED_RATIO_MIN 0.9

typedef struct Case_ {
    const char *name;
    AllowanceRun run;
} Case;

static double
bound_of(const AllowanceRun *run)
{
    return OVERSHOOT_RATIO *
               (run->rate_per_s * ALLOWANCE_WINDOW_US / MICROS_PER_S +
                run->burst) +
           SLACK;
}

/* Returns the sums over all seeds, and the worst of the bounded figures. */
static AllowanceResult
run_all(AllowanceRun run)
{
    const char *runs = g_getenv("RUNS");
    uint64_t count =
        runs != NULL ? g_ascii_strtoull(runs, NULL, 10) : RUN_COUNT;
    AllowanceResult worst = {.worst_excess = -1e9};

    for (uint64_t seed = SEED; seed < SEED + count; seed++) {
        AllowanceResult result;

        run.seed = seed;
        result = AllowanceSimulation_Run(&run);
        g_test_message("seed=%" G_GUINT64_FORMAT
                       " requests=%u sent=%u refused=%u within=%u "
                       "excess=%.1f bound=%.1f wait_ms=%.1f asks=%u",
                       seed, result.requests, result.sent, result.refused,
                       result.refused_within, result.worst_excess,
                       bound_of(&run), result.wait_max / 1000.0, result.asks);
        worst.requests += result.requests;
        worst.sent += result.sent;
        worst.refused += result.refused;
        worst.refused_within += result.refused_within;
        worst.worst_excess = MAX(worst.worst_excess, result.worst_excess);
        worst.wait_max = MAX(worst.wait_max, result.wait_max);
    }
    return worst;
}

static AllowanceRun
with_defaults(AllowanceRun run)
{
    run.delay = 1500;
    run.duration = 12 * MICROS_PER_S;
    run.burst = run.burst > 0 ? run.burst : run.rate_per_s;
    run.entries = run.entries > 0 ? run.entries : run.hosts;
    run.link_ratio = 20;
    run.tolerance = TOLERANCE_RATIO * bound_of(&run);
    return run;
}

/* Demands like those of a calm day: nothing is refused. */
static void
test_within(gconstpointer data)
{
    static const double rates[] = {2, 10, 180};
    size_t hosts = GPOINTER_TO_SIZE(data);

    for (size_t i = 0; i < G_N_ELEMENTS(rates); i++) {
        for (size_t entries = 1; entries <= hosts;
             entries += MAX(hosts - 1, 1)) {
            AllowanceRun run = with_defaults((AllowanceRun){
                .hosts = hosts,
                .entries = entries,
                .rate_per_s = rates[i],
                .burst = MAX(rates[i], 8),
                .demand = 0.6,
                .hot_demand = 0.6,
            });
            AllowanceResult worst = run_all(run);

            g_assert_cmpuint(worst.refused_within, ==, 0);
            g_assert_cmpfloat(worst.worst_excess, <=, bound_of(&run));
        }
    }
}

/* A customer sends many times its usual at once, through one host or all. */
static void
test_hot(gconstpointer data)
{
    static const double rates[] = {2, 10, 180};
    size_t hosts = GPOINTER_TO_SIZE(data);

    for (size_t i = 0; i < G_N_ELEMENTS(rates); i++) {
        for (size_t entries = 1; entries <= hosts;
             entries += MAX(hosts - 1, 1)) {
            AllowanceRun run = with_defaults((AllowanceRun){
                .hosts = hosts,
                .entries = entries,
                .rate_per_s = rates[i],
                .demand = 0.6,
                .hot_demand = 4.7,
                .hot_at = 3 * MICROS_PER_S,
            });
            AllowanceResult worst = run_all(run);

            g_assert_cmpfloat(worst.worst_excess, <=, bound_of(&run));
            g_assert_cmpfloat(worst.sent, >=, USED_RATIO_MIN * 9 * rates[i]);
        }
    }
}

/* Bounds that hold while something fails under a customer with five times its
 * limit. */
static void
test_failure(gconstpointer data)
{
    const Case *tested = data;
    static const size_t hosts[] = {20, 110, 472};
    static const double rates[] = {2, 10, 180};

    for (size_t i = 0; i < G_N_ELEMENTS(hosts) * G_N_ELEMENTS(rates); i++) {
        AllowanceRun run = tested->run;
        AllowanceResult worst;

        run.hosts = hosts[i / G_N_ELEMENTS(rates)];
        run.rate_per_s = rates[i % G_N_ELEMENTS(rates)];
        run.demand = run.hot_demand = 4.7;
        run = with_defaults(run);
        worst = run_all(run);
        g_assert_cmpfloat(worst.worst_excess, <=, bound_of(&run));
    }
}

static const Case failures[] = {
    {"grantor-killed",
     {.grantor_down_at = 4 * MICROS_PER_S, .grantor_up_at = 8 * MICROS_PER_S}},
    {"grantor-frozen",
     {.grantor_down_at = 4 * MICROS_PER_S,
      .grantor_up_at = 7 * MICROS_PER_S,
      .frozen = true}},
    {"all-restart", {.restart_at = 6 * MICROS_PER_S}},
    {"older-lists", {.older_lists = true}},
    {"cut", {.cut_at = 4 * MICROS_PER_S}},
};

/* Requests are refused at once where the answer is known, and decided on soon
 * where a grantor is gone. */
static void
test_wait(void)
{
    AllowanceRun run = with_defaults((AllowanceRun){
        .hosts = 110,
        .rate_per_s = 10,
        .demand = 0.6,
        .hot_demand = 0.6,
        .grantor_down_at = 4 * MICROS_PER_S,
        .grantor_up_at = 8 * MICROS_PER_S,
    });

    AllowanceResult worst = run_all(run);

    g_assert_cmpint(worst.wait_max, <=, 300 * MICROS_PER_MS);
}

int
main(int argc, char **argv)
{
    static const size_t hosts[] = {1, 20, 110, 472, 1000};

    g_test_init(&argc, &argv, NULL);
    for (size_t i = 0; i < G_N_ELEMENTS(hosts); i++) {
        g_autofree char *within =
            g_strdup_printf("/allowances/within/%zu", hosts[i]);
        g_autofree char *hot =
            g_strdup_printf("/allowances/hot/%zu", hosts[i]);

        g_test_add_data_func(within, GSIZE_TO_POINTER(hosts[i]), test_within);
        g_test_add_data_func(hot, GSIZE_TO_POINTER(hosts[i]), test_hot);
    }
    for (size_t i = 0; i < G_N_ELEMENTS(failures); i++) {
        g_autofree char *path =
            g_strdup_printf("/allowances/%s", failures[i].name);

        g_test_add_data_func(path, &failures[i], test_failure);
    }
    g_test_add_func("/allowances/wait", test_wait);
    return g_test_run();
}
