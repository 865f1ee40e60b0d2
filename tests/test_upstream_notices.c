#include <glib.h>

#include "NoticeSimulation.h"
#include "PlatformDialect.h"

/* Guards against requests that reach an upstream after it has announced that it
 * wants none. Arrivals are counted at the upstreams. The environment variable
 * RUNS sets the number of seeds of each case. */

#define SEED 51
#define RUN_COUNT 3

static const NoticeOptions small = {
    .dialect = &PLATFORM_DIALECT,
    .host_count = 20,
    .upstream_count = 19,
    .duration = 16 * MICROS_PER_S,
    .requests_per_s = 250,
};

static const NoticeOptions large = {
    .dialect = &PLATFORM_DIALECT,
    .host_count = 137,
    .upstream_count = 60,
    .duration = 12 * MICROS_PER_S,
    .requests_per_s = 900,
};

/* Returns the sums over all seeds. */
static NoticeResult
run_all(NoticeOptions options)
{
    const char *runs = g_getenv("RUNS");
    uint64_t count =
        runs != NULL ? g_ascii_strtoull(runs, NULL, 10) : RUN_COUNT;
    NoticeResult sum = {0};

    for (uint64_t seed = SEED; seed < SEED + count; seed++) {
        NoticeResult result;

        options.seed = seed;
        result = NoticeSimulation_Run(&options);
        g_test_message("seed=%" G_GUINT64_FORMAT
                       " late=%u told=%u reborn=%u malformed=%u requests=%u "
                       "served=%u refused=%u resent=%u cut_short=%u "
                       "early_sends=%u pauses=%u pausing=%u pause_refusals=%u "
                       "early_returns=%u held_ms=%d",
                       seed, result.late_arrivals, result.told,
                       result.reborn_arrivals, result.malformed_arrivals,
                       result.requests, result.served, result.refused,
                       result.resent, result.cut_short, result.early_sends,
                       result.pauses, result.pausing_arrivals,
                       result.pause_refusals, result.early_returns,
                       (int)(result.held_longest / MICROS_PER_MS));
        sum.late_arrivals += result.late_arrivals;
        sum.told += result.told;
        sum.reborn_arrivals += result.reborn_arrivals;
        sum.malformed_arrivals += result.malformed_arrivals;
        sum.requests += result.requests;
        sum.served += result.served;
        sum.refused += result.refused;
        sum.resent += result.resent;
        sum.cut_short += result.cut_short;
        sum.early_sends += result.early_sends;
        sum.pauses += result.pauses;
        sum.pausing_arrivals += result.pausing_arrivals;
        sum.pause_refusals += result.pause_refusals;
        sum.early_returns += result.early_returns;
        sum.held_longest = MAX(sum.held_longest, result.held_longest);
    }
    return sum;
}

static void
assert_left_alone(const NoticeResult *sum)
{
    g_assert_cmpuint(sum->told, >, 0);
    g_assert_cmpuint(sum->late_arrivals, ==, 0);
}

static void
assert_all_served(const NoticeResult *sum)
{
    g_assert_cmpuint(sum->refused, ==, 0);
    g_assert_cmpuint(sum->resent, ==, 0);
    g_assert_cmpuint(sum->cut_short, ==, 0);
}

static void
assert_pauses_kept(const NoticeResult *sum)
{
    g_assert_cmpuint(sum->pauses, >, 0);
    g_assert_cmpuint(sum->early_sends, ==, 0);
    g_assert_cmpuint(sum->early_returns, ==, 0);
    g_assert_cmpuint(sum->pausing_arrivals, >, 0);
}

static void
test_one_leaves(gconstpointer data)
{
    NoticeOptions options = *(const NoticeOptions *)data;
    NoticeResult sum;

    options.leaving_count = 1;
    options.silent_probes = true;
    sum = run_all(options);
    assert_left_alone(&sum);
    assert_all_served(&sum);
}

static void
test_many_leave(gconstpointer data)
{
    NoticeOptions options = *(const NoticeOptions *)data;
    NoticeResult sum;

    options.leaving_count = options.upstream_count / 2;
    options.leaving_at_once = true;
    sum = run_all(options);
    assert_left_alone(&sum);
    assert_all_served(&sum);
}

static void
test_all_leave(gconstpointer data)
{
    NoticeOptions options = *(const NoticeOptions *)data;
    NoticeResult sum;

    options.leaving_count = options.upstream_count;
    options.leaving_at_once = true;
    sum = run_all(options);
    assert_left_alone(&sum);
}

static void
test_entries_change(gconstpointer data)
{
    NoticeOptions options = *(const NoticeOptions *)data;
    NoticeResult sum;

    options.leaving_count = options.upstream_count / 3;
    options.entry_interval = 100 * MICROS_PER_MS;
    options.silent_probes = true;
    sum = run_all(options);
    assert_left_alone(&sum);
}

static void
test_upstreams_return(gconstpointer data)
{
    NoticeOptions options = *(const NoticeOptions *)data;
    NoticeResult sum;

    options.leaving_count = options.upstream_count / 2;
    options.leaving_at_once = true;
    options.life_time = 4 * MICROS_PER_S;
    options.entry_interval = 200 * MICROS_PER_MS;
    sum = run_all(options);
    assert_left_alone(&sum);
    g_assert_cmpuint(sum.reborn_arrivals * 25, >, sum.requests);
}

/* Guards against notices of new incarnations that are forgotten when their
 * entries are read. */
static void
test_late_entries(gconstpointer data)
{
    NoticeOptions options = *(const NoticeOptions *)data;
    NoticeResult sum;

    options.leaving_count = options.upstream_count / 2;
    options.return_time = 100 * MICROS_PER_MS;
    options.entry_lag = 1500 * MICROS_PER_MS;
    options.silent_probes = true;
    sum = run_all(options);
    assert_left_alone(&sum);
}

/* Guards against new incarnations that get no requests because the ones before
 * them announced that they leave. */
static void
test_returns_with_late_entries(gconstpointer data)
{
    NoticeOptions options = *(const NoticeOptions *)data;
    NoticeResult sum;

    options.leaving_count = options.upstream_count / 2;
    options.leaving_at_once = true;
    options.life_time = 3 * MICROS_PER_S;
    options.entry_lag = 1500 * MICROS_PER_MS;
    sum = run_all(options);
    assert_left_alone(&sum);
    g_assert_cmpuint(sum.reborn_arrivals * 25, >, sum.requests);
}

static void
test_hosts_restart(gconstpointer data)
{
    NoticeOptions options = *(const NoticeOptions *)data;
    NoticeResult sum;

    options.leaving_count = options.upstream_count / 2;
    options.host_restart_interval = 500 * MICROS_PER_MS;
    sum = run_all(options);
    assert_left_alone(&sum);
}

static void
test_malformed(gconstpointer data)
{
    NoticeOptions options = *(const NoticeOptions *)data;
    NoticeResult sum;

    options.malformed_count = options.upstream_count;
    sum = run_all(options);
    assert_all_served(&sum);
    /* Some are on their way at the end. */
    g_assert_cmpuint(sum.malformed_arrivals * 100, >=, sum.requests * 99);
}

/* Requests that are turned away are served by another upstream. */
static void
test_one_pauses(gconstpointer data)
{
    NoticeOptions options = *(const NoticeOptions *)data;
    NoticeResult sum;

    options.pausing_count = 1;
    options.silent_probes = true;
    sum = run_all(options);
    assert_pauses_kept(&sum);
    g_assert_cmpuint(sum.refused, ==, 0);
    g_assert_cmpuint(sum.resent, >, 0);
}

static void
test_many_pause(gconstpointer data)
{
    NoticeOptions options = *(const NoticeOptions *)data;
    NoticeResult sum;

    options.pausing_count = options.upstream_count / 2;
    options.entry_interval = 200 * MICROS_PER_MS;
    sum = run_all(options);
    assert_pauses_kept(&sum);
}

/* Each host sends most of its retries to upstreams that others of its requests
 * have found paused, unless it remembers them. */
static void
test_few_hosts(gconstpointer data)
{
    NoticeOptions options = *(const NoticeOptions *)data;
    NoticeResult sum;

    options.host_count = 2;
    options.upstream_count = 8;
    options.pausing_count = 7;
    options.requests_per_s = 200;
    options.silent_probes = true;
    sum = run_all(options);
    assert_pauses_kept(&sum);
}

static void
test_all_pause(gconstpointer data)
{
    NoticeOptions options = *(const NoticeOptions *)data;
    NoticeResult sum;

    options.pausing_count = options.upstream_count;
    options.pausing_at_once = true;
    sum = run_all(options);
    assert_pauses_kept(&sum);
    g_assert_cmpuint(sum.pause_refusals, >, 0);
}

static void
test_pauses_with_restarts(gconstpointer data)
{
    NoticeOptions options = *(const NoticeOptions *)data;
    NoticeResult sum;

    options.pausing_count = options.upstream_count;
    options.leaving_count = options.upstream_count / 3;
    options.life_time = 2 * MICROS_PER_S;
    options.silent_probes = true;
    options.host_restart_interval = 500 * MICROS_PER_MS;
    sum = run_all(options);
    assert_left_alone(&sum);
    assert_pauses_kept(&sum);
}

/* A malformed pause must not keep an upstream out of use. */
static void
test_malformed_pauses(gconstpointer data)
{
    NoticeOptions options = *(const NoticeOptions *)data;
    NoticeResult sum;

    options.pausing_count = options.upstream_count;
    options.malformed_pauses = true;
    sum = run_all(options);
    g_assert_cmpuint(sum.pauses, >, 0);
    g_assert_cmpuint(sum.pause_refusals, ==, 0);
}

static void
test_planted_unread_pauses(void)
{
    NoticeOptions options = small;

    options.pausing_count = options.upstream_count / 2;
    options.unread = true;
    g_assert_cmpuint(run_all(options).early_sends, >, 0);
}

/* The check must fail if hosts do not read the header. */
static void
test_planted_unread(void)
{
    NoticeOptions options = small;

    options.leaving_count = 1;
    options.unread = true;
    g_assert_cmpuint(run_all(options).late_arrivals, >, 0);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_set_nonfatal_assertions();
    g_test_message("seed %d", SEED);
#define ADD(name, function)                                                   \
    g_test_add_data_func("/upstream-notices/" name, &small, function);        \
    g_test_add_data_func("/upstream-notices/many-hosts/" name, &large,        \
                         function)
    ADD("one-leaves", test_one_leaves);
    ADD("many-leave", test_many_leave);
    ADD("all-leave", test_all_leave);
    ADD("entries-change", test_entries_change);
    ADD("upstreams-return", test_upstreams_return);
    ADD("late-entries", test_late_entries);
    ADD("returns-with-late-entries", test_returns_with_late_entries);
    ADD("hosts-restart", test_hosts_restart);
    ADD("malformed", test_malformed);
    ADD("one-pauses", test_one_pauses);
    ADD("many-pause", test_many_pause);
    ADD("all-pause", test_all_pause);
    ADD("pauses-with-restarts", test_pauses_with_restarts);
    ADD("malformed-pauses", test_malformed_pauses);
#undef ADD
    g_test_add_data_func("/upstream-notices/few-hosts", &small,
                         test_few_hosts);
    g_test_add_func("/upstream-notices/planted-unread", test_planted_unread);
    g_test_add_func("/upstream-notices/planted-unread-pauses",
                    test_planted_unread_pauses);
    return g_test_run();
}
