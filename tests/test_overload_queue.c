#include <glib.h>

#include "OverloadQueue.h"
#include "Random.h"
#include "WorkEstimate.h"

/* Guards against refusals that cost callers more than others would: the load is
 * more than what the upstreams can process, and requests differ in rank, work
 * and objective. */

#define INTERVAL_US (10 * MICROS_PER_MS)

typedef struct Fixture_ {
    Clock *clock;
    OverloadQueue *queue;
} Fixture;

static void
set_up(Fixture *f, gconstpointer data)
{
    f->clock = Clock_CreateManual(MICROS_PER_S, 0);
    f->queue = OverloadQueue_Create(f->clock);
    OverloadQueue_SetOrder(f->queue, OVERLOAD_BY_WORK);
}

static void
tear_down(Fixture *f, gconstpointer data)
{
    OverloadQueue_Destroy(f->queue);
    Clock_Destroy(f->clock);
}

static bool
push(Fixture *f, const char *name, unsigned rank, int work_ms, int wait_ms)
{
    OverloadItem item = {(void *)name, rank, work_ms * MICROS_PER_MS,
                         wait_ms * MICROS_PER_MS};

    return OverloadQueue_Push(f->queue, &item);
}

static void
assert_next(Fixture *f, const char *name)
{
    char *head = OverloadQueue_Head(f->queue);

    g_assert_cmpstr(head, ==, name);
    g_assert_true(OverloadQueue_Remove(f->queue, head, true));
    Clock_Advance(f->clock, INTERVAL_US);
}

/* Serves requests until the queue knows the time between them. */
static void
learn_interval(Fixture *f)
{
    for (int i = 0; i < 40; i++) {
        g_assert_true(push(f, "x", 0, 0, 1000));
        Clock_Advance(f->clock, INTERVAL_US);
        g_assert_true(OverloadQueue_Remove(f->queue, "x", true));
    }
}

static void
test_order(Fixture *f, gconstpointer data)
{
    g_assert_true(push(f, "long", 1, 400, 1000));
    g_assert_true(push(f, "short", 1, 100, 1000));
    g_assert_true(push(f, "about-as-short", 1, 101, 1000));
    g_assert_true(push(f, "urgent-long", 0, 900, 1000));
    g_assert_true(OverloadQueue_WouldBeFirst(f->queue, 0) == false);
    assert_next(f, "urgent-long");
    assert_next(f, "short");
    assert_next(f, "about-as-short");
    assert_next(f, "long");
}

/* Configurations without customers keep the order of arrival within a rank. */
static void
test_by_arrival(Fixture *f, gconstpointer data)
{
    OverloadQueue_SetOrder(f->queue, OVERLOAD_BY_ARRIVAL);
    g_assert_true(push(f, "long", 1, 400, 1000));
    g_assert_true(push(f, "short", 1, 100, 1000));
    g_assert_true(push(f, "urgent", 0, 900, 1000));
    assert_next(f, "urgent");
    assert_next(f, "long");
    assert_next(f, "short");
}

/* Guards against a rank that is never served while more urgent requests keep
 * arriving. */
static void
test_lower_rank(Fixture *f, gconstpointer data)
{
    unsigned served = 0;

    g_assert_true(push(f, "low", 2, 100, 5000));
    for (int i = 0; i < 20 && served == 0; i++) {
        g_assert_true(push(f, "a", 0, 100, 5000));
        g_assert_true(push(f, "b", 0, 100, 5000));
        served += g_strcmp0(OverloadQueue_Head(f->queue), "low") == 0;
        OverloadQueue_Remove(f->queue, OverloadQueue_Head(f->queue), true);
        Clock_Advance(f->clock, INTERVAL_US);
    }
    g_assert_cmpuint(served, ==, 1);
}

/* A request that can't be sent in time any more is told so at once. */
static void
test_displaced(Fixture *f, gconstpointer data)
{
    learn_interval(f);
    g_assert_true(push(f, "low", 1, 100, 25));
    g_assert_null(OverloadQueue_TakeRejected(f->queue));
    g_assert_true(push(f, "a", 0, 100, 100));
    g_assert_null(OverloadQueue_TakeRejected(f->queue));
    g_assert_true(push(f, "b", 0, 100, 100));
    g_assert_true(push(f, "c", 0, 100, 100));
    g_assert_cmpstr(OverloadQueue_TakeRejected(f->queue), ==, "low");
    g_assert_null(OverloadQueue_TakeRejected(f->queue));
    /* Nor is one queued that would wait too long. */
    g_assert_false(push(f, "low", 1, 100, 25));
}

static void
test_expired(Fixture *f, gconstpointer data)
{
    g_assert_true(push(f, "a", 0, 100, 50));
    g_assert_cmpint(OverloadQueue_NextTime(f->queue), ==,
                    Clock_Now(f->clock) + 50 * MICROS_PER_MS);
    Clock_Advance(f->clock, 50 * MICROS_PER_MS);
    g_assert_cmpstr(OverloadQueue_TakeRejected(f->queue), ==, "a");
    g_assert_cmpint(OverloadQueue_NextTime(f->queue), ==, -1);
}

/* One request in thirty takes seven times as long. */
static void
test_work_estimate(void)
{
    WorkEstimate *work = WorkEstimate_Create();

    for (int i = 1; i <= 300; i++) {
        WorkEstimate_Learn(work, STR("r"),
                           (i % 30 == 0 ? 700 : 100) * MICROS_PER_MS);
        g_assert_cmpint(WorkEstimate_Expected(work, STR("r")) > 0, ==, i >= 8);
    }
    g_assert_cmpint(WorkEstimate_Expected(work, STR("r")), >=,
                    95 * MICROS_PER_MS);
    g_assert_cmpint(WorkEstimate_Expected(work, STR("r")), <=,
                    125 * MICROS_PER_MS);
    g_assert_cmpint(WorkEstimate_Expected(work, STR("s")), ==, 0);
    WorkEstimate_Destroy(work);
}

/* ---- policies -------------------------------------------------------- */

#define SERVER_COUNT 40
#define DURATION_US (60 * MICROS_PER_S)
#define STEP_US (1 * MICROS_PER_MS)
#define OVERLOAD_FACTOR 1.5
#define QUEUE_WORK_FACTOR 1.7

typedef enum Policy_ {
    POLICY_ARRIVAL,  /* first come, first served */
    POLICY_RANK,     /* rank, then arrival */
    POLICY_DEADLINE, /* earliest end of the objective first */
    POLICY_WORK,     /* least work first */
    POLICY_CHOSEN,   /* OVERLOAD_BY_WORK */
    POLICY_COUNT,
} Policy;

static const char *const policy_names[] = {"arrival", "rank", "deadline",
                                           "work", "chosen"};

typedef struct Kind_ {
    unsigned rank;
    int work_ms;
    int objective_ms;
    double worth;
    double part; /* of the requests */
} Kind;

static const Kind kinds[] = {
    {0, 220, 500, 1.4, 0.55},
    {1, 290, 800, 1.4, 0.25},
    {1, 900, 2000, 1.4, 0.05},
    {2, 880, 4000, 0.36, 0.15},
};

typedef struct Waiting_ {
    const Kind *kind;
    Micros arrived;
} Waiting;

typedef struct Outcome_ {
    double worth;
    double offered;
    unsigned in_time[G_N_ELEMENTS(kinds)];
    unsigned arrived[G_N_ELEMENTS(kinds)];
} Outcome;

static Micros
objective_of(const Kind *kind)
{
    return kind->objective_ms * MICROS_PER_MS;
}

static Micros
work_of(const Kind *kind)
{
    return kind->work_ms * MICROS_PER_MS;
}

/* Queue parameters with which the order is that of the policy. */
static OverloadItem
item_of(Policy policy, Waiting *waiting)
{
    const Kind *kind = waiting->kind;
    Micros wait = objective_of(kind) -
                  (Micros)(QUEUE_WORK_FACTOR * (double)work_of(kind));
    OverloadItem item = {.request = waiting, .wait_max = MAX(wait, 1)};

    switch (policy) {
    case POLICY_ARRIVAL:
        break;
    case POLICY_RANK:
        item.rank = kind->rank;
        break;
    case POLICY_DEADLINE:
        item.rank = (unsigned)((waiting->arrived + objective_of(kind)) /
                               MICROS_PER_MS);
        break;
    case POLICY_WORK:
        item.rank = (unsigned)kind->work_ms;
        break;
    case POLICY_CHOSEN:
    case POLICY_COUNT:
        item.rank = kind->rank;
        item.work = work_of(kind);
        break;
    }
    return item;
}

static const Kind *
draw_kind(Random *random)
{
    double unit = Random_Unit(random);
    size_t i = 0;

    while (i + 1 < G_N_ELEMENTS(kinds) && unit >= kinds[i].part) {
        unit -= kinds[i++].part;
    }
    return &kinds[i];
}

static Outcome
play(Policy policy, uint64_t seed)
{
    Clock *clock = Clock_CreateManual(MICROS_PER_S, 0);
    OverloadQueue *queue = OverloadQueue_Create(clock);
    Random *random = Random_Create(seed);
    GPtrArray *all = g_ptr_array_new_with_free_func(g_free);
    Micros free_at[SERVER_COUNT] = {0};
    Outcome outcome = {0};
    double mean = 0, due = 0;

    for (size_t i = 0; i < G_N_ELEMENTS(kinds); i++) {
        mean += kinds[i].part * kinds[i].work_ms;
    }
    OverloadQueue_SetOrder(queue, policy == POLICY_CHOSEN
                                      ? OVERLOAD_BY_WORK
                                      : OVERLOAD_BY_ARRIVAL);
    for (Micros t = 0; t < DURATION_US; t += STEP_US) {
        due -= OVERLOAD_FACTOR * SERVER_COUNT / mean;
        while (due < 0) {
            Waiting *waiting = g_new0(Waiting, 1);
            OverloadItem item;

            waiting->kind = draw_kind(random);
            waiting->arrived = t;
            g_ptr_array_add(all, waiting);
            outcome.offered += waiting->kind->worth;
            outcome.arrived[waiting->kind - kinds]++;
            item = item_of(policy, waiting);
            OverloadQueue_Push(queue, &item);
            due += Random_Exponential(random, 1);
        }
        while (OverloadQueue_TakeRejected(queue) != NULL) {
        }
        for (size_t i = 0; i < SERVER_COUNT; i++) {
            Waiting *waiting = OverloadQueue_Head(queue);
            Micros work;

            if (free_at[i] > t || waiting == NULL) {
                continue;
            }
            work = (Micros)((double)work_of(waiting->kind) *
                            (0.7 + 0.6 * Random_Unit(random)));
            OverloadQueue_Remove(queue, waiting, true);
            free_at[i] = t + work;
            if (t + work - waiting->arrived <= objective_of(waiting->kind)) {
                outcome.worth += waiting->kind->worth;
                outcome.in_time[waiting->kind - kinds]++;
            }
        }
        Clock_Advance(clock, STEP_US);
    }
    g_ptr_array_free(all, TRUE);
    OverloadQueue_Destroy(queue);
    Random_Destroy(random);
    Clock_Destroy(clock);
    return outcome;
}

static double
part_in_time(const Outcome *outcome, size_t kind)
{
    return (double)outcome->in_time[kind] / outcome->arrived[kind];
}

/* Returns whether some kind is served less than a quarter as often as all. */
static bool
starves(const Outcome *outcome)
{
    double in_time = 0, arrived = 0;
    bool found = false;

    for (size_t i = 0; i < G_N_ELEMENTS(kinds); i++) {
        in_time += outcome->in_time[i];
        arrived += outcome->arrived[i];
    }
    for (size_t i = 0; i < G_N_ELEMENTS(kinds); i++) {
        found = found || part_in_time(outcome, i) < in_time / arrived / 4;
    }
    return found;
}

/* What callers get at 1.5 times the load that can be served: more than under any
 * other policy that starves no kind. */
static void
test_policies(void)
{
    Outcome outcomes[POLICY_COUNT];
    const Outcome *chosen = &outcomes[POLICY_CHOSEN];

    for (int policy = 0; policy < POLICY_COUNT; policy++) {
        Outcome *outcome = &outcomes[policy];

        *outcome = play((Policy)policy, 11);
        g_test_message("policy=%s worth=%.3f kinds=%.2f,%.2f,%.2f,%.2f "
                       "starves=%d",
                       policy_names[policy], outcome->worth / outcome->offered,
                       part_in_time(outcome, 0), part_in_time(outcome, 1),
                       part_in_time(outcome, 2), part_in_time(outcome, 3),
                       starves(outcome));
    }
    g_assert_false(starves(chosen));
    for (int policy = 0; policy < POLICY_CHOSEN; policy++) {
        if (!starves(&outcomes[policy])) {
            g_assert_cmpfloat(chosen->worth, >=, outcomes[policy].worth);
        }
    }
    g_assert_cmpfloat(part_in_time(chosen, 0), >=, part_in_time(chosen, 1));
    g_assert_cmpfloat(part_in_time(chosen, 1), >=, part_in_time(chosen, 3));
}

#define ADD(path, test)                                                       \
    g_test_add(path, Fixture, NULL, set_up, test, tear_down)

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    ADD("/overload-queue/order", test_order);
    ADD("/overload-queue/by-arrival", test_by_arrival);
    ADD("/overload-queue/lower-rank", test_lower_rank);
    ADD("/overload-queue/displaced", test_displaced);
    ADD("/overload-queue/expired", test_expired);
    g_test_add_func("/overload-queue/work-estimate", test_work_estimate);
    g_test_add_func("/overload-queue/policies", test_policies);
    return g_test_run();
}
