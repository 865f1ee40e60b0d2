#include <glib.h>

#include "CutSimulation.h"

/* Guards against hosts without a path to upstreams that refuse all callers, and
 * against what serving them over other hosts can break. */

#define SEED 51
#define RUN_COUNT 2
#define HOST_COUNT 20
#define ALL_HOSTS ((UINT64_C(1) << HOST_COUNT) - 1)
#define DOMAIN_A UINT64_C(0x49249) /* hosts 0, 3, 6 ... 18 */
#define DOMAIN_B (DOMAIN_A << 1 & ALL_HOSTS)
#define MOST_HOSTS UINT64_C(0xfff) /* 12 of 20 */
#define AT(s) ((Micros)((s)*1000) * MICROS_PER_MS)
#define CASE_CUTS_MAX 3

typedef struct Case_ {
    const char *name;
    Cut cuts[CASE_CUTS_MAX];
    size_t cut_count;
    double lost_ratio;
    double dead_until;
    unsigned upstream_count; /* 0 for the usual number, like the next one */
    double requests_per_s;
    Micros stall_interval;
    Micros crash_interval;
    bool helpless; /* nobody can serve callers of hosts that are cut off */
} Case;

static const Case cases[] = {
    {.name = "most-hosts-silent",
     .cuts = {{CUT_SILENT, MOST_HOSTS, AT(4), AT(14)}},
     .cut_count = 1},
    {.name = "most-hosts-refused",
     .cuts = {{CUT_REFUSED, MOST_HOSTS, AT(4), AT(14)}},
     .cut_count = 1},
    {.name = "domain-silent",
     .cuts = {{CUT_SILENT, DOMAIN_A, AT(4), AT(14)}},
     .cut_count = 1},
    {.name = "domain-refused",
     .cuts = {{CUT_REFUSED, DOMAIN_A, AT(4), AT(14)}},
     .cut_count = 1},
    {.name = "domain-closed",
     .cuts = {{CUT_CLOSED, DOMAIN_A, AT(4), AT(14)}},
     .cut_count = 1},
    {.name = "domain-reset",
     .cuts = {{CUT_RESET, DOMAIN_A, AT(4), AT(14)}},
     .cut_count = 1},
    {.name = "all-hosts-silent",
     .cuts = {{CUT_SILENT, ALL_HOSTS, AT(4), AT(10)}},
     .cut_count = 1,
     .helpless = true},
    {.name = "all-hosts-refused",
     .cuts = {{CUT_REFUSED, ALL_HOSTS, AT(4), AT(10)}},
     .cut_count = 1,
     .helpless = true},
    {.name = "all-hosts-reset",
     .cuts = {{CUT_RESET, ALL_HOSTS, AT(4), AT(10)}},
     .cut_count = 1,
     .helpless = true},
    /* Helpers of the first cut are in the second one. */
    {.name = "overlapping",
     .cuts = {{CUT_SILENT, DOMAIN_A, AT(4), AT(12)},
              {CUT_RESET, DOMAIN_B, AT(7), AT(14)}},
     .cut_count = 2},
    {.name = "flapping",
     .cuts = {{CUT_RESET, DOMAIN_A, AT(4), AT(8)},
              {CUT_SILENT, DOMAIN_A, AT(8.2), AT(12)},
              {CUT_REFUSED, DOMAIN_A, AT(12.5), AT(16.5)}},
     .cut_count = 3},
    /* Too short for a verdict; what was under way comes up to a second late. */
    {.name = "flapping-fast",
     .cuts = {{CUT_SILENT, DOMAIN_A, AT(4), AT(4.1)},
              {CUT_SILENT, DOMAIN_A, AT(4.17), AT(4.27)},
              {CUT_SILENT, DOMAIN_A, AT(4.34), AT(12)}},
     .cut_count = 3},
    {.name = "losses",
     .cuts = {{CUT_SILENT, DOMAIN_A, AT(4), AT(14)}},
     .cut_count = 1,
     .lost_ratio = 0.03},
    /* Hosts that do not run for a time, helpers among them. */
    {.name = "stalls",
     .cuts = {{CUT_SILENT, DOMAIN_A, AT(4), AT(14)}},
     .cut_count = 1,
     .stall_interval = 300 * MICROS_PER_MS},
    /* A third more than the upstreams can process. */
    {.name = "overload",
     .cuts = {{CUT_SILENT, MOST_HOSTS, AT(4), AT(10)}},
     .cut_count = 1,
     .upstream_count = 6,
     .requests_per_s = 1300},
    {.name = "upstreams-crash",
     .cuts = {{CUT_RESET, MOST_HOSTS, AT(4), AT(7)},
              {CUT_SILENT, MOST_HOSTS, AT(8), AT(12)},
              {CUT_RESET, MOST_HOSTS, AT(13), AT(16.5)}},
     .cut_count = 3,
     .crash_interval = 7 * MICROS_PER_MS},
};

static const Case calm_cases[] = {
    {.name = "calm"},
    {.name = "losses", .lost_ratio = 0.03},
    {.name = "stalls", .stall_interval = 300 * MICROS_PER_MS},
    {.name = "service-dead", .dead_until = 12},
};

static CutOptions
options_of(const Case *c, uint64_t seed)
{
    return (CutOptions){
        .seed = seed,
        .host_count = HOST_COUNT,
        .upstream_count = c->upstream_count > 0 ? c->upstream_count : 36,
        .requests_per_s = c->requests_per_s > 0 ? c->requests_per_s : 400,
        .attempts_max = 2,
        .duration = AT(18),
        .cuts = c->cuts,
        .cut_count = c->cut_count,
        .lost_ratio = c->lost_ratio,
        .dead_from = AT(4),
        .dead_until = AT(c->dead_until),
        .stall_interval = c->stall_interval,
        .crash_interval = c->crash_interval,
    };
}

static const Case *
find_case(const char *name)
{
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        if (g_strcmp0(cases[i].name, name) == 0) {
            return &cases[i];
        }
    }
    g_assert_not_reached();
}

static void
print(const char *name, uint64_t seed, const CutResult *r)
{
    g_test_message(
        "%s seed=%" G_GUINT64_FORMAT " requests=%u refused=%u cut=%u/%u "
        "others=%u/%u restored=%u/%u unanswered=%u forwards=%u declared=%u "
        "false_cuts=%u detection_ms=%d restoration_ms=%d losses=%u",
        name, seed, r->requests, r->refused, r->cut.served, r->cut.offered,
        r->others.served, r->others.offered, r->restored.served,
        r->restored.offered, r->unanswered, r->forwards, r->declared,
        r->false_cuts, (int)(r->detection / MICROS_PER_MS),
        (int)(r->restoration / MICROS_PER_MS), r->losses);
    g_test_message("run_twice=%u refused_and_run=%u excess_attempts=%u "
                   "second_hops=%u budget_excess=%.1f lost_limits=%u",
                   r->run_twice, r->refused_and_run, r->excess_attempts,
                   r->second_hops, r->budget_excess, r->lost_limits);
}

/* What must hold with or without a cut. */
static void
assert_promises(const CutResult *r)
{
    g_assert_cmpuint(r->run_twice, ==, 0);
    g_assert_cmpuint(r->refused_and_run, ==, 0);
    g_assert_cmpuint(r->excess_attempts, ==, 0);
    g_assert_cmpuint(r->second_hops, ==, 0);
    g_assert_cmpfloat(r->budget_excess, <=, 0);
    g_assert_cmpuint(r->unanswered, ==, 0);
    g_assert_cmpuint(r->lost_limits, ==, 0);
    g_assert_cmpuint(r->false_cuts, ==, 0);
}

/* The users' rule: two thirds of what the others serve. Beyond it, hardly any
 * request fails unless upstreams fail or are full as well. */
static void
assert_served(const Case *c, const CutShare *cut, const CutShare *others)
{
    double share = (double)cut->served / MAX(cut->offered, 1);
    double other_share = (double)others->served / MAX(others->offered, 1);

    g_assert_cmpuint(cut->offered, >, 100);
    g_assert_cmpfloat(share * 3, >=, other_share * 2);
    if (c->crash_interval == 0 && c->upstream_count == 0) {
        g_assert_cmpuint(cut->offered - cut->served, <=,
                         10 + cut->offered / 50);
    }
}

static void
test_cut(gconstpointer data)
{
    const Case *c = data;

    for (uint64_t seed = SEED; seed < SEED + RUN_COUNT; seed++) {
        CutOptions options = options_of(c, seed);
        CutResult r = CutSimulation_Run(&options);

        print(c->name, seed, &r);
        assert_promises(&r);
        g_assert_cmpuint(r.declared, >=, c->helpless ? HOST_COUNT : 6);
        g_assert_cmpint(r.detection, <=, 1000 * MICROS_PER_MS);
        g_assert_cmpint(r.restoration, <=, 1000 * MICROS_PER_MS);
        g_assert_cmpuint(r.forwards, <=, 2 * r.requests);
        /* Others count late messages and crashes. */
        if (c->lost_ratio <= 0 && c->crash_interval == 0) {
            g_assert_cmpuint(r.losses, ==, 0);
        }
        if (!c->helpless) {
            assert_served(c, &r.cut, &r.others);
            assert_served(c, &r.restored, &r.others);
        }
    }
}

static void
test_no_cut(gconstpointer data)
{
    const Case *c = data;

    for (uint64_t seed = SEED; seed < SEED + RUN_COUNT; seed++) {
        CutOptions options = options_of(c, seed);
        CutResult r = CutSimulation_Run(&options);

        print(c->name, seed, &r);
        assert_promises(&r);
        g_assert_cmpuint(r.declared, ==, 0);
        g_assert_cmpuint(r.forwards, ==, 0);
        if (c->dead_until <= 0) {
            g_assert_cmpuint(r.refused * 200, <=, r.requests);
        }
    }
}

/* The checks above notice each of these faults. */
static void
test_no_forwarding(void)
{
    CutOptions options = options_of(&cases[0], SEED);
    CutResult r;

    options.no_forwarding = true;
    r = CutSimulation_Run(&options);
    print("no-forwarding", SEED, &r);
    g_assert_cmpuint(r.cut.served * 3, <, r.cut.offered * 2);
}

static void
test_second_hop(void)
{
    CutOptions options = options_of(&cases[0], SEED);
    CutResult r;

    options.second_hop = true;
    r = CutSimulation_Run(&options);
    print("second-hop", SEED, &r);
    g_assert_cmpuint(r.second_hops, >, 0);
}

static void
test_unsummed_attempts(void)
{
    unsigned excess = 0;

    for (uint64_t seed = SEED; seed < SEED + 4; seed++) {
        CutOptions options = options_of(find_case("upstreams-crash"), seed);
        CutResult r;

        options.unsummed_attempts = true;
        r = CutSimulation_Run(&options);
        print("unsummed-attempts", seed, &r);
        excess += r.excess_attempts;
    }
    g_assert_cmpuint(excess, >, 0);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_set_nonfatal_assertions();
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        char *path = g_strconcat("/cut/", cases[i].name, NULL);

        g_test_add_data_func(path, &cases[i], test_cut);
        g_free(path);
    }
    for (size_t i = 0; i < G_N_ELEMENTS(calm_cases); i++) {
        char *path = g_strconcat("/no-cut/", calm_cases[i].name, NULL);

        g_test_add_data_func(path, &calm_cases[i], test_no_cut);
        g_free(path);
    }
    g_test_add_func("/planted/no-forwarding", test_no_forwarding);
    g_test_add_func("/planted/second-hop", test_second_hop);
    g_test_add_func("/planted/unsummed-attempts", test_unsummed_attempts);
    return g_test_run();
}
