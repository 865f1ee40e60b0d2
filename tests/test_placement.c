#include <glib.h>

#include "Placement.h"

#define OWN_DOMAIN 0
#define OTHER_DOMAIN 1
#define SERVICE 0
#define SLOT_COUNT 6

typedef struct Fixture_ {
    Clock *clock;
    Random *random;
    UpstreamLimits *limits;
    Placement *placement;
} Fixture;

static void
set_up(Fixture *f, gconstpointer data)
{
    f->clock = Clock_CreateManual(MICROS_PER_S, 0);
    f->random = Random_Create(7);
    f->limits = UpstreamLimits_Create(STR("host-0"), f->clock, f->random);
    f->placement =
        Placement_Create(OWN_DOMAIN, 0, f->limits, f->clock, f->random);
}

static void
tear_down(Fixture *f, gconstpointer data)
{
    Placement_Destroy(f->placement);
    UpstreamLimits_Destroy(f->limits);
    Random_Destroy(f->random);
    Clock_Destroy(f->clock);
}

static void
add(Fixture *f, uint32_t upstream, uint32_t domain)
{
    PlacementInfo info = {SERVICE, domain, SLOT_COUNT, 0, 0};

    Placement_Add(f->placement, upstream, &info);
}

static void
report(Fixture *f, uint32_t upstream, uint32_t running, uint32_t slowdown)
{
    LoadReport load_report = {.inflight = running,
                              .slots = SLOT_COUNT,
                              .slowdown_percent = slowdown};

    Placement_OnReport(f->placement, upstream, &load_report);
}

static PlacementChoice
choose(Fixture *f)
{
    PlacementQuery query = {.service = SERVICE};
    PlacementChoice choice;

    g_assert_cmpint(Placement_Choose(f->placement, &query, &choice), ==, 0);
    return choice;
}

/* Guards against upstreams with two slots that count as full while they are
 * idle, because their report is some milliseconds old. */
static void
test_few_slots(Fixture *f, gconstpointer data)
{
    static const struct {
        uint32_t running;
        bool has_capacity;
        bool has_free_slot;
    } cases[] = {{0, true, true}, {1, false, true}, {2, false, false}};
    PlacementInfo info = {SERVICE, OWN_DOMAIN, 2, 0, 0};

    Placement_Add(f->placement, 0, &info);
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        LoadReport load_report = {
            .inflight = cases[i].running, .slots = 2, .slowdown_percent = 100};
        PlacementChoice choice;

        Placement_OnReport(f->placement, 0, &load_report);
        Clock_Advance(f->clock, 5 * MICROS_PER_MS);
        choice = choose(f);
        g_assert_cmpint(choice.has_capacity, ==, cases[i].has_capacity);
        g_assert_cmpint(choice.has_free_slot, ==, cases[i].has_free_slot);
    }
}

/* Guards against choosing an upstream on a slow machine because it has fewer
 * requests. */
static void
test_slowdown(Fixture *f, gconstpointer data)
{
    add(f, 0, OWN_DOMAIN);
    add(f, 1, OWN_DOMAIN);
    report(f, 0, 0, 400);
    report(f, 1, 2, 100);
    g_assert_cmpuint(choose(f).upstream, ==, 1);
}

/* Guards against traffic between domains without a benefit, and against
 * staying in a domain whose upstreams are slow. */
static void
test_domains(Fixture *f, gconstpointer data)
{
    add(f, 0, OWN_DOMAIN);
    add(f, 1, OTHER_DOMAIN);
    report(f, 0, 2, 100);
    report(f, 1, 0, 100);
    g_assert_cmpuint(choose(f).upstream, ==, 0);
    report(f, 0, 2, 400);
    g_assert_cmpuint(choose(f).upstream, ==, 1);
}

/* Guards against loading an upstream beyond the utilization at which it slows
 * down. */
static void
test_capacity(Fixture *f, gconstpointer data)
{
    add(f, 0, OWN_DOMAIN);
    report(f, 0, 3, 100);
    g_assert_true(choose(f).has_capacity);
    Placement_OnSent(f->placement, 0);
    g_assert_false(choose(f).has_capacity);
    Placement_OnFinished(f->placement, 0, ATTEMPT_OK);
    g_assert_true(choose(f).has_capacity);
}

/* Guards against treating old reports like new ones. */
static void
test_report_age(Fixture *f, gconstpointer data)
{
    add(f, 0, OWN_DOMAIN);
    add(f, 1, OWN_DOMAIN);
    report(f, 0, 0, 100);
    g_assert_true(choose(f).near_idle);
    Clock_Advance(f->clock, 2 * MICROS_PER_S);
    report(f, 1, 1, 110);
    g_assert_cmpuint(choose(f).upstream, ==, 1);
}

/* Guards against choosing an upstream that looks idle because it fails every
 * request at once. */
static void
test_failures(Fixture *f, gconstpointer data)
{
    add(f, 0, OWN_DOMAIN);
    add(f, 1, OTHER_DOMAIN);
    for (int i = 0; i < 3; i++) {
        Placement_OnSent(f->placement, 0);
        Placement_OnFinished(f->placement, 0, ATTEMPT_ERROR);
        report(f, 0, 0, 100);
        report(f, 1, 3, 100);
    }
    g_assert_cmpuint(choose(f).upstream, ==, 1);
    /* If all upstreams fail, the measurement may be wrong, so they are used
     * again. */
    Placement_SetDraining(f->placement, 1, true);
    g_assert_cmpstr(choose(f).reason, ==, "most-look-bad");
}

/* Guards against probing upstreams that are draining or have a fresh report,
 * and against probing outside of the requested domains. */
static void
test_select_probes(Fixture *f, gconstpointer data)
{
    PlacementQuery query = {.service = SERVICE};
    uint32_t probed[PLACEMENT_PROBES_MAX];

    add(f, 0, OWN_DOMAIN);
    add(f, 1, OWN_DOMAIN);
    add(f, 2, OWN_DOMAIN);
    add(f, 3, OTHER_DOMAIN);
    Placement_SetDraining(f->placement, 1, true);
    report(f, 2, 0, 100);
    g_assert_cmpuint(Placement_SelectProbes(f->placement, &query,
                                            PLACEMENT_OWN_DOMAIN, probed),
                     ==, 1);
    g_assert_cmpuint(probed[0], ==, 0);
    g_assert_cmpuint(Placement_SelectProbes(f->placement, &query,
                                            PLACEMENT_OTHER_DOMAINS, probed),
                     ==, 1);
    g_assert_cmpuint(probed[0], ==, 3);
}

/* Guards against more probes than this host's part of the budget of all
 * hosts. */
static void
test_probe_budget(void)
{
    Clock *clock = Clock_CreateManual(MICROS_PER_S, 0);
    Random *random = Random_Create(7);
    UpstreamLimits *limits =
        UpstreamLimits_Create(STR("host-0"), clock, random);
    Placement *placement =
        Placement_Create(OWN_DOMAIN, 10, limits, clock, random);
    PlacementQuery query = {.service = SERVICE};
    PlacementInfo info = {SERVICE, OWN_DOMAIN, SLOT_COUNT, 0, 0};
    LoadReport half = {
        .inflight = 3, .slots = SLOT_COUNT, .slowdown_percent = 100};
    uint32_t probed[PLACEMENT_PROBES_MAX];
    size_t sum = 0;

    for (uint32_t i = 0; i < 20; i++) {
        Placement_Add(placement, i, &info);
    }
    /* This host has 3 of the 60 requests in progress. */
    for (uint32_t i = 0; i < 3; i++) {
        Placement_OnSent(placement, i);
    }
    for (int i = 0; i < 400; i++) {
        Placement_OnReport(placement, (uint32_t)i % 20, &half);
    }
    for (int ms = 0; ms < 100000; ms += 10) {
        Clock_Advance(clock, 10 * MICROS_PER_MS);
        sum += Placement_SelectProbes(placement, &query, PLACEMENT_OWN_DOMAIN,
                                      probed);
    }
    /* 10 per second for each of 20 upstreams, of which this host may use a
     * twentieth, for 100 s; the initial 200 and 100 more are allowed. */
    g_assert_cmpuint(sum, <=, 1000 + 200 + 100);
    g_assert_cmpuint(sum, >=, 800);
    Placement_Destroy(placement);
    UpstreamLimits_Destroy(limits);
    Random_Destroy(random);
    Clock_Destroy(clock);
}

/* Guards against choosing an unreachable upstream because it was idle in its
 * last report. */
static void
test_probe_timeouts(Fixture *f, gconstpointer data)
{
    add(f, 1, OWN_DOMAIN);
    add(f, 2, OWN_DOMAIN);
    report(f, 1, 0, 100);
    report(f, 2, SLOT_COUNT, 100);
    Placement_OnProbeTimeout(f->placement, 1);
    Placement_OnProbeTimeout(f->placement, 1);
    g_assert_cmpuint(Placement_ProbeTimeouts(f->placement, 1), ==, 2);
    g_assert_cmpuint(choose(f).upstream, ==, 2);
    report(f, 1, 0, 100);
    g_assert_cmpuint(Placement_ProbeTimeouts(f->placement, 1), ==, 0);
    Clock_Advance(f->clock, 2 * MICROS_PER_S);
    report(f, 1, 0, 100);
    report(f, 2, SLOT_COUNT, 100);
    g_assert_cmpuint(choose(f).upstream, ==, 1);
}

/* Guards against probes of running attempts that leave none for placement when
 * the load exceeds the probe budget. */
static void
test_spare_probes(void)
{
    Clock *clock = Clock_CreateManual(MICROS_PER_S, 0);
    Random *random = Random_Create(7);
    UpstreamLimits *limits =
        UpstreamLimits_Create(STR("host-0"), clock, random);
    Placement *placement =
        Placement_Create(OWN_DOMAIN, 1, limits, clock, random);
    PlacementInfo info = {SERVICE, OWN_DOMAIN, SLOT_COUNT, 0, 0};
    PlacementQuery query = {.service = SERVICE};
    uint32_t probed[PLACEMENT_PROBES_MAX];
    unsigned spare = 0;

    for (uint32_t i = 0; i < 10; i++) {
        Placement_Add(placement, i, &info);
    }
    while (Placement_TakeSpareProbe(placement)) {
        spare++;
    }
    g_assert_cmpuint(spare, >, 0);
    for (unsigned i = 0; i < spare / PLACEMENT_PROBES_MAX; i++) {
        g_assert_cmpuint(Placement_SelectProbes(placement, &query,
                                                PLACEMENT_OWN_DOMAIN, probed),
                         >, 0);
        g_assert_false(Placement_TakeSpareProbe(placement));
    }
    Placement_Destroy(placement);
    UpstreamLimits_Destroy(limits);
    Random_Destroy(random);
    Clock_Destroy(clock);
}

#define ADD(path, test)                                                       \
    g_test_add(path, Fixture, NULL, set_up, test, tear_down)

/* Guards against ejections that were learnt while this host was cut off. */
static void
test_restored_failures(Fixture *f, gconstpointer data)
{
    add(f, 0, OWN_DOMAIN);
    add(f, 1, OWN_DOMAIN);
    for (int i = 0; i < 3; i++) {
        Placement_OnSent(f->placement, 0);
        Placement_OnFinished(f->placement, 0, ATTEMPT_TIMEOUT);
    }
    Placement_SaveFailures(f->placement);
    for (int i = 0; i < 3; i++) {
        Placement_OnProbeTimeout(f->placement, 1);
    }
    g_assert_true(Placement_IsUnreachable(f->placement, 1));
    Placement_RestoreFailures(f->placement);
    g_assert_false(Placement_IsUnreachable(f->placement, 1));
    /* The one that failed before stays ejected. */
    g_assert_cmpuint(choose(f).upstream, ==, 1);
    g_assert_cmpstr(choose(f).reason, ==, "shortest");
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    ADD("/placement/pace", test_slowdown);
    ADD("/placement/domains", test_domains);
    ADD("/placement/room", test_capacity);
    ADD("/placement/few-slots", test_few_slots);
    ADD("/placement/age", test_report_age);
    ADD("/placement/failures", test_failures);
    ADD("/placement/ask", test_select_probes);
    ADD("/placement/silence", test_probe_timeouts);
    ADD("/placement/restored-failures", test_restored_failures);
    g_test_add_func("/placement/budget", test_probe_budget);
    g_test_add_func("/placement/spare-questions", test_spare_probes);
    return g_test_run();
}
