#include <glib.h>
#include <math.h>

#include "Error.h"
#include "LimitsModel.h"

#define SEED 47
#define DEADLINE_US (800 * MICROS_PER_MS)

typedef struct Fixture_ {
    Clock *clock;
    Random *random;
    Admission *admission;
    uint64_t next_id;
} Fixture;

static Fixture
create_fixture(AdmissionMode mode)
{
    AdmissionOptions options = {.mode = mode, .hosts = 2};
    Fixture fixture = {
        .clock = Clock_CreateManual(MICROS_PER_S, 0),
        .random = Random_Create(SEED),
    };

    if (mode == ADMISSION_STATIC_SPLIT) {
        options.static_slots = 2; /* one for this host */
    }
    fixture.admission =
        Admission_Create(&options, fixture.clock, fixture.random);
    g_assert_cmpint(Admission_SetLine(fixture.admission, 0, 0, 1.0), ==, 0);
    return fixture;
}

static void
destroy_fixture(Fixture *fixture)
{
    Admission_Destroy(fixture->admission);
    Random_Destroy(fixture->random);
    Clock_Destroy(fixture->clock);
}

static AdmissionVerdict
offer(Fixture *fixture, Micros time_left)
{
    AdmissionRequest request = {
        .caller = 1,
        .request_id = ++fixture->next_id,
        .deadline = Clock_Now(fixture->clock) + time_left,
        .cost = 1,
    };

    return Admission_Offer(fixture->admission, &request);
}

/* Guards against weights that would make shares negative or not a number. */
static void
test_weights(void)
{
    static const struct {
        uint32_t service;
        uint32_t line;
        double weight;
        int code;
    } cases[] = {
        {0, 1, 2.0, 0},
        {0, 1, 0.0, ERR_INVALID},
        {0, 1, -1.0, ERR_INVALID},
        {0, 1, NAN, ERR_INVALID},
        {0, 1, INFINITY, ERR_INVALID},
        {0, ADMISSION_LEVEL_LINE, 1.0, ERR_INVALID},
        {UINT32_MAX, 1, 1.0, ERR_INVALID},
    };
    Fixture fixture = create_fixture(ADMISSION_SHARED);
    AdmissionRequest request = {.line = 9, .deadline = INT64_MAX, .cost = 1};

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        g_assert_cmpint(Admission_SetLine(fixture.admission, cases[i].service,
                                          cases[i].line, cases[i].weight),
                        ==, cases[i].code);
    }
    g_assert_cmpstr(Admission_Offer(fixture.admission, &request).reason, ==,
                    "unknown-line");
    Admission_RemoveLine(fixture.admission, 0, 0);
    g_assert_cmpstr(offer(&fixture, DEADLINE_US).reason, ==, "unknown-line");
    destroy_fixture(&fixture);
}

/* Guards against sending requests whose deadline has passed or can hardly be
 * met, and against refusals without a retry time. */
static void
test_deadlines(void)
{
    static const struct {
        Micros time_left;
        AdmissionDecision decision;
    } cases[] = {
        {DEADLINE_US, ADMISSION_ADMIT},
        {MICROS_PER_MS, ADMISSION_REFUSE},
        {0, ADMISSION_REFUSE},
        {-MICROS_PER_S, ADMISSION_REFUSE},
    };
    Fixture fixture = create_fixture(ADMISSION_SHARED);

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        AdmissionVerdict verdict = offer(&fixture, cases[i].time_left);

        g_assert_cmpint(verdict.decision, ==, cases[i].decision);
        if (verdict.decision == ADMISSION_REFUSE) {
            g_assert_cmpstr(verdict.reason, ==, "deadline");
            g_assert_cmpint(verdict.retry_after, >, 0);
        }
    }
    destroy_fixture(&fixture);
}

/* Guards against refusing a line permanently after a period of high latency,
 * because no request is admitted that could lower the slot time estimate. */
static void
test_recovers_from_high_latency(void)
{
    Fixture fixture = create_fixture(ADMISSION_SHARED);
    AdmissionResult slow = {.cost = 1,
                            .in_flight_time = 10 * MICROS_PER_S,
                            .outcome = ADMISSION_SERVED};
    int refused = 0;

    for (int i = 0; i < 200; i++) {
        Clock_Advance(fixture.clock, MICROS_PER_S);
        Admission_OnFinished(fixture.admission, &slow);
    }
    g_assert_cmpint(offer(&fixture, DEADLINE_US).decision, ==,
                    ADMISSION_REFUSE);
    while (offer(&fixture, DEADLINE_US).decision == ADMISSION_REFUSE) {
        refused++;
        g_assert_cmpint(refused, <, 1000);
    }
    destroy_fixture(&fixture);
}

/* Fills the queue of a line that has one slot; further requests are
 * refused. */
static int
fill_queue(Fixture *fixture)
{
    int queued = 0;

    for (int i = 0; i < 1000; i++) {
        queued += offer(fixture, DEADLINE_US).decision == ADMISSION_QUEUE;
    }
    return queued;
}

/* Guards against an unbounded queue, a request that is neither admitted nor
 * refused, and a cancelled request that is still sent. */
static void
test_queue(void)
{
    Fixture fixture = create_fixture(ADMISSION_STATIC_SPLIT);
    AdmissionVerdict verdict;
    uint64_t cancelled;
    int queued = fill_queue(&fixture);
    int admitted = 0;

    g_assert_cmpint(queued, >, 1);
    g_assert_cmpint(queued, <=, 64);
    g_assert_false(Admission_Next(fixture.admission, 0, &verdict));
    g_assert_cmpint(Admission_NextTime(fixture.admission, 0), >,
                    Clock_Now(fixture.clock));
    for (cancelled = 1;
         !Admission_Cancel(fixture.admission, 0, 0, 1, cancelled);
         cancelled++) {
        g_assert_cmpuint(cancelled, <, 1000);
    }
    for (int i = 0; i < 200; i++) {
        Clock_Advance(fixture.clock, MICROS_PER_MS);
        while (Admission_Next(fixture.admission, 0, &verdict)) {
            g_assert_cmpint(verdict.decision, ==, ADMISSION_ADMIT);
            g_assert_cmpuint(verdict.request_id, !=, cancelled);
            admitted++;
        }
    }
    g_assert_cmpint(admitted, ==, queued - 1);
    g_assert_cmpint(Admission_NextTime(fixture.admission, 0), ==, -1);
    destroy_fixture(&fixture);
}

/* Guards against sending a queued request after its deadline. */
static void
test_queue_expiry(void)
{
    Fixture fixture = create_fixture(ADMISSION_STATIC_SPLIT);
    AdmissionVerdict verdict;
    int queued = fill_queue(&fixture);

    Clock_Advance(fixture.clock, DEADLINE_US);
    for (int i = 0; i < queued; i++) {
        g_assert_true(Admission_Next(fixture.admission, 0, &verdict));
        g_assert_cmpint(verdict.decision, ==, ADMISSION_REFUSE);
        g_assert_cmpstr(verdict.reason, ==, "expired");
    }
    g_assert_false(Admission_Next(fixture.admission, 0, &verdict));
    destroy_fixture(&fixture);
}

/* Guards against keeping the charge of a request that was never sent. */
static void
test_charge_returned(void)
{
    Fixture fixture = create_fixture(ADMISSION_STATIC_SPLIT);
    int admitted = 0;

    for (int i = 0; i < 100; i++) {
        AdmissionVerdict verdict = offer(&fixture, DEADLINE_US);
        AdmissionResult result = {.caller = 1,
                                  .cost = 1,
                                  .charge = verdict.charge,
                                  .outcome = ADMISSION_NOT_SENT};

        if (verdict.decision == ADMISSION_ADMIT) {
            admitted++;
            Admission_OnFinished(fixture.admission, &result);
        }
    }
    g_assert_cmpint(admitted, ==, 100);
    destroy_fixture(&fixture);
}

/* Guards against items of a faulty or malicious peer that block a service. */
static void
test_peer_items(void)
{
    static const UsageItem items[] = {
        {0, 0, 1, NAN, NAN, NAN, 0},
        {0, 0, 1, -5, -5, -5, 0},
        {0, 0, 1, INFINITY, 1, 1, 0},
        {0, 0, UINT32_MAX, 1, 1, 1, 0},
        {0, 0, 0, 1e30f, 1e30f, 0, 0}, /* claims to be this host */
        {0, 0, 1, 1e30f, 1e30f, 0, ADMISSION_ITEM_MAX_AGE_US + 1},
        {0, 7, 1, 1e30f, 1, 1, 0},
        {9, 0, 1, 1, 1, 1, 0},
        {UINT32_MAX, 0, 1, 1, 1, 1, 0},
        {0, ADMISSION_LEVEL_LINE, UINT32_MAX, 1, 0, 0, 0},
        {0, ADMISSION_LEVEL_LINE, 1, NAN, 0, 0, 0},
        {0, ADMISSION_LEVEL_LINE, 1, -1, 0, 0, 0},
        {0, ADMISSION_LEVEL_LINE, 1, INFINITY, 0, 0, 0},
        {0, 0, 1, 1, 1, 1, INT64_MIN + 1},
    };
    Fixture fixture = create_fixture(ADMISSION_SHARED);

    for (int round = 0; round < 50; round++) {
        for (size_t i = 0; i < G_N_ELEMENTS(items); i++) {
            Admission_OnPeerUsage(fixture.admission, &items[i]);
        }
        Admission_OnLoad(fixture.admission, 0, 3, 6);
        Clock_Advance(fixture.clock, 5 * MICROS_PER_MS);
        g_assert_cmpint(offer(&fixture, DEADLINE_US).decision, ==,
                        ADMISSION_ADMIT);
    }
    g_assert_cmpuint(Admission_Bytes(fixture.admission), <, 200000);
    destroy_fixture(&fixture);
}

/* Guards against items of services with spare capacity taking the space of
 * saturated services, and against a line that is never reported. */
static void
test_items_rotate(void)
{
    Fixture fixture = create_fixture(ADMISSION_SHARED);
    UsageItem items[4];
    uint32_t seen = 0;

    for (uint32_t line = 0; line < 10; line++) {
        Admission_SetLine(fixture.admission, 1, line, 1.0);
    }
    g_assert_cmpuint(Admission_LocalUsage(fixture.admission, items, 4), ==, 0);
    for (int i = 0; i < 100; i++) {
        Clock_Advance(fixture.clock, MICROS_PER_MS);
        Admission_OnLoad(fixture.admission, 1, 12, 6);
    }
    for (int i = 0; i < 4; i++) {
        size_t n = Admission_LocalUsage(fixture.admission, items, 4);

        g_assert_cmpuint(n, ==, 4);
        for (size_t j = 0; j < n; j++) {
            g_assert_cmpuint(items[j].service, ==, 1);
            seen |= items[j].line < 10 ? 1u << items[j].line : 0;
        }
    }
    g_assert_cmpuint(seen, ==, 0x3ff);
    destroy_fixture(&fixture);
}

/* Guards against load reports that always claim a full upstream blocking the
 * service. */
static void
test_misleading_reports(void)
{
    Fixture fixture = create_fixture(ADMISSION_SHARED);
    int admitted = 0;

    for (int i = 0; i < 20000; i++) {
        AdmissionVerdict verdict = offer(&fixture, DEADLINE_US);
        AdmissionResult result = {.caller = 1,
                                  .cost = 1,
                                  .charge = verdict.charge,
                                  .in_flight_time = 10 * MICROS_PER_MS,
                                  .outcome = ADMISSION_SERVED};

        Clock_Advance(fixture.clock, MICROS_PER_MS);
        if (verdict.decision == ADMISSION_ADMIT) {
            Admission_OnLoad(fixture.admission, 0, 1000, 6);
            Admission_OnFinished(fixture.admission, &result);
            admitted += i > 10000;
        }
        while (Admission_Next(fixture.admission, 0, &verdict)) {
        }
    }
    /* The minimum of one slot for the service remains, half of it for this
     * host of two: 500 requests of 10 ms in 10 s. */
    g_assert_cmpint(admitted, >, 250);
    destroy_fixture(&fixture);
}

static ModelOptions
model_options(AdmissionMode mode)
{
    return (ModelOptions){
        .mode = mode,
        .hosts = 20,
        .upstreams = 20,
        .slots = 6,
        .queue = 1000,
        .one_way_delay = 500,
        .service_time = 10 * MICROS_PER_MS,
        .deadline = DEADLINE_US,
        .seed = SEED,
    };
}

/* Load of a line relative to the capacity, and the hosts through which it
 * enters. */
typedef struct LineLoad_ {
    double rate;
    uint32_t hosts; /* 0 for all */
} LineLoad;

/* Runs two lines of equal weight; writes their goodput relative to the
 * capacity. */
static void
run_two_lines(const ModelOptions *options, const LineLoad *loads, double *out)
{
    LimitsModel *model = LimitsModel_Create(options);

    for (uint32_t i = 0; i < 2; i++) {
        ModelLine line = {
            .weight = 1,
            .rate = loads[i].rate * LimitsModel_Capacity(model),
            .hosts = loads[i].hosts,
            .callers = 20,
        };

        LimitsModel_SetLine(model, i, &line);
    }
    LimitsModel_Run(model, 2 * MICROS_PER_S);
    LimitsModel_ResetStats(model);
    LimitsModel_Run(model, 2 * MICROS_PER_S);
    for (uint32_t i = 0; i < 2; i++) {
        out[i] = (double)LimitsModel_Stats(model, i)->good / 2 /
                 LimitsModel_Capacity(model);
    }
    LimitsModel_Destroy(model);
}

/* Each case names the failure that it guards against, and a baseline mode that
 * lacks the mechanism; with that mode the same check must fail. Goodput must
 * reach 95% of the capacity and shares must be accurate to 3%; lost messages
 * may cost a tenth, missing load reports a half. */
static const struct {
    const char *failure;
    LineLoad loads[2];
    double min_goodput[2];
    double message_loss_ratio;
    bool no_load_reports;
    AdmissionMode baseline_mode; /* mode that lacks the mechanism */
} share_cases[] = {
    {"overload lowers goodput",
     {{1.0, 0}, {1.0, 0}},
     {0.46, 0.46},
     0,
     false,
     ADMISSION_OFF},
    {"a line through one host gets less than one through all hosts",
     {{1.0, 1}, {1.0, 0}},
     {0.46, 0.46},
     0,
     false,
     ADMISSION_STATIC_SPLIT},
    {"lost messages between hosts change shares",
     {{1.0, 1}, {1.0, 0}},
     {0.42, 0.42},
     0.5,
     false,
     ADMISSION_STATIC_SPLIT},
    {"an unused share is not lent",
     {{2.0, 0}, {0.1, 0}},
     {0.85, 0.097},
     0,
     false,
     ADMISSION_STATIC_SPLIT},
    {"a line at ten times its share takes capacity of another line",
     {{5.0, 0}, {0.4, 0}},
     {0.55, 0.388},
     0,
     false,
     ADMISSION_OFF},
    {"an overload without load reports is not detected",
     {{1.0, 0}, {1.0, 0}},
     {0.25, 0.25},
     0,
     true,
     ADMISSION_OFF},
};

static void
test_shares(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(share_cases); i++) {
        ModelOptions options = model_options(ADMISSION_SHARED);
        double good[2];

        options.message_loss_ratio = share_cases[i].message_loss_ratio;
        options.no_load_reports = share_cases[i].no_load_reports;
        run_two_lines(&options, share_cases[i].loads, good);
        g_test_message("%s: %.3f %.3f", share_cases[i].failure, good[0],
                       good[1]);
        g_assert_cmpfloat(good[0], >=, share_cases[i].min_goodput[0]);
        g_assert_cmpfloat(good[1], >=, share_cases[i].min_goodput[1]);
        options.mode = share_cases[i].baseline_mode;
        run_two_lines(&options, share_cases[i].loads, good);
        g_test_message("without the mechanism: %.3f %.3f", good[0], good[1]);
        g_assert_true(good[0] < share_cases[i].min_goodput[0] ||
                      good[1] < share_cases[i].min_goodput[1]);
    }
}

/* Guards against a line that waits more than 100 ms for the return of its lent
 * share. One run has 250 requests in the window; 16 runs reduce the noise to
 * 1.6%. */
static void
test_lent_share_returned(void)
{
    double served = 0;
    double offered = 0;

    for (uint64_t run = 0; run < 16; run++) {
        ModelOptions options = model_options(ADMISSION_SHARED);
        ModelLine borrower = {.weight = 1, .callers = 20};
        ModelLine owner = {.weight = 1, .callers = 20};
        LimitsModel *model;

        options.seed = SEED + run;
        model = LimitsModel_Create(&options);
        borrower.rate = 2 * LimitsModel_Capacity(model);
        LimitsModel_SetLine(model, 0, &borrower);
        LimitsModel_SetLine(model, 1, &owner);
        LimitsModel_Run(model, MICROS_PER_S);
        owner.rate = 0.45 * LimitsModel_Capacity(model);
        LimitsModel_SetLine(model, 1, &owner);
        LimitsModel_ResetStats(model);
        LimitsModel_Run(model, 200 * MICROS_PER_MS);
        for (uint32_t bin = 9; bin < 14; bin++) {
            served += LimitsModel_GoodputBin(model, 1, bin);
            offered += owner.rate / 100;
        }
        LimitsModel_Destroy(model);
    }
    g_test_message("served of offered, 90 to 140 ms after: %.3f",
                   served / offered);
    g_assert_cmpfloat(served, >=, 0.95 * offered);
}

/* Guards against a caller that starves the other callers of its line, either
 * through all hosts or through a single one. */
static void
test_flood(void)
{
    for (int sticky = 0; sticky < 2; sticky++) {
        ModelOptions options = model_options(ADMISSION_SHARED);
        LimitsModel *model = LimitsModel_Create(&options);
        double capacity = LimitsModel_Capacity(model);
        ModelLine other_line = {
            .weight = 0.8, .rate = capacity, .callers = 20};
        ModelLine line = {.weight = 0.2,
                          .rate = capacity,
                          .callers = 20,
                          .sticky = sticky,
                          .flood_factor = 200};
        const ModelStats *stats;

        LimitsModel_SetLine(model, 0, &other_line);
        LimitsModel_SetLine(model, 1, &line);
        LimitsModel_Run(model, 2 * MICROS_PER_S);
        LimitsModel_ResetStats(model);
        LimitsModel_Run(model, 2 * MICROS_PER_S);
        stats = LimitsModel_Stats(model, 1);
        g_test_message("others: %" G_GUINT64_FORMAT " of %" G_GUINT64_FORMAT,
                       stats->caller_good[1], stats->caller_offered[1]);
        g_assert_cmpfloat((double)stats->caller_good[1], >=,
                          0.95 * (double)stats->caller_offered[1]);
        LimitsModel_Destroy(model);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_message("seed=%d", SEED);
    g_test_add_func("/admission/weights", test_weights);
    g_test_add_func("/admission/deadlines", test_deadlines);
    g_test_add_func("/admission/slow-spell", test_recovers_from_high_latency);
    g_test_add_func("/admission/queue", test_queue);
    g_test_add_func("/admission/queue-expiry", test_queue_expiry);
    g_test_add_func("/admission/charge-returned", test_charge_returned);
    g_test_add_func("/admission/peer-items", test_peer_items);
    g_test_add_func("/admission/items-take-turns", test_items_rotate);
    g_test_add_func("/admission/misleading-reports", test_misleading_reports);
    g_test_add_func("/admission/shares", test_shares);
    g_test_add_func("/admission/return", test_lent_share_returned);
    g_test_add_func("/admission/flood", test_flood);
    return g_test_run();
}
