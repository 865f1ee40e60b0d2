#include <glib.h>

#include "Error.h"
#include "Quarantine.h"
#include "Random.h"

#define SEED 43

static const Fingerprint crasher = {.line = 1, .high = 11, .low = 101};
static const Fingerprint innocent = {.line = 1, .high = 22, .low = 202};
static const Fingerprint other = {.line = 1, .high = 33, .low = 303};

/* One step of a case: an action on @host (0 or 1). */
typedef enum Action_ {
    END,
    LOSE,    /* the upstream is lost with @who and, if set, @with */
    FINISH,  /* @who completes on the upstream */
    GOSSIP,  /* all pending items go to the other host */
    WAIT_MS, /* @upstream milliseconds pass */
    RELEASE, /* an operator releases @who */
    PASSES,  /* checks of @who on the host */
    ISOLATED,
    REFUSED,
} Action;

typedef struct Step_ {
    Action action;
    int host;
    const Fingerprint *who;
    uint32_t upstream;
    const Fingerprint *with;
} Step;

#define C (&crasher)
#define I (&innocent)
#define O (&other)

/* Each case names the failure that it guards against. */
static const struct {
    const char *name;
    Step steps[12];
} cases[] = {
    {"a third upstream is lost",
     {{LOSE, 0, C, 1, NULL},
      {ISOLATED, 0, C, 0, NULL},
      {LOSE, 0, C, 2, NULL},
      {REFUSED, 0, C, 0, NULL}}},
    {"one upstream that flaps counts twice",
     {{LOSE, 0, C, 1, NULL},
      {WAIT_MS, 0, NULL, 500, NULL},
      {LOSE, 0, C, 1, NULL},
      {ISOLATED, 0, C, 0, NULL}}},
    {"a neighbour of both losses of its own is refused for one",
     {{LOSE, 0, C, 1, I},
      {LOSE, 0, C, 2, O},
      {REFUSED, 0, C, 0, NULL},
      {PASSES, 0, I, 0, NULL},
      {PASSES, 0, O, 0, NULL}}},
    {"a neighbour that completed stays suspect",
     {{LOSE, 0, C, 1, I}, {FINISH, 0, I, 3, NULL}, {PASSES, 0, I, 0, NULL}}},
    {"a popular request is refused when a rack fails",
     {{FINISH, 0, I, 9, NULL},
      {LOSE, 0, I, 1, NULL},
      {WAIT_MS, 0, NULL, 5, NULL},
      {LOSE, 0, I, 2, NULL},
      {ISOLATED, 0, I, 0, NULL},
      {FINISH, 0, I, 9, NULL},
      {PASSES, 0, I, 0, NULL}}},
    {"the other host lets the crasher through",
     {{LOSE, 0, C, 1, NULL},
      {GOSSIP, 0, NULL, 0, NULL},
      {LOSE, 1, C, 2, NULL},
      {REFUSED, 1, C, 0, NULL},
      {GOSSIP, 1, NULL, 0, NULL},
      {REFUSED, 0, C, 0, NULL}}},
    {"a neighbour on another host is not cleared",
     {{LOSE, 1, I, 1, NULL},
      {LOSE, 0, C, 1, NULL},
      {LOSE, 0, C, 2, NULL},
      {GOSSIP, 0, NULL, 0, NULL},
      {PASSES, 1, I, 0, NULL},
      {REFUSED, 1, C, 0, NULL}}},
    {"an old item undoes a release, or a release can't be undone",
     {{LOSE, 0, C, 1, NULL},
      {LOSE, 0, C, 2, NULL},
      {GOSSIP, 0, NULL, 0, NULL},
      {WAIT_MS, 0, NULL, 1000, NULL},
      {RELEASE, 1, C, 0, NULL},
      {PASSES, 1, C, 0, NULL},
      {GOSSIP, 1, NULL, 0, NULL},
      {PASSES, 0, C, 0, NULL},
      {LOSE, 0, C, 1, NULL},
      {LOSE, 0, C, 2, NULL},
      {REFUSED, 0, C, 0, NULL}}},
    {"entries stay forever",
     {{LOSE, 0, C, 1, NULL},
      {LOSE, 0, I, 1, NULL},
      {LOSE, 0, C, 2, NULL},
      {WAIT_MS, 0, NULL, 61000, NULL},
      {REFUSED, 0, C, 0, NULL},
      {PASSES, 0, I, 0, NULL},
      {WAIT_MS, 0, NULL, 540000, NULL},
      {PASSES, 0, C, 0, NULL}}},
};

typedef struct Fixture_ {
    Clock *clock;
    Quarantine *hosts[2];
} Fixture;

static void
lose(Quarantine *quarantine, const Step *step)
{
    Fingerprint running[2] = {*step->who};
    size_t n = 1;

    if (step->with != NULL) {
        running[n++] = *step->with;
    }
    Quarantine_OnUpstreamUnreachable(quarantine, step->upstream, running, n);
}

static void
run_step(Fixture *fixture, const Step *step)
{
    static const QuarantineVerdict verdicts[] = {
        [PASSES] = QUARANTINE_PASS,
        [ISOLATED] = QUARANTINE_ISOLATE,
        [REFUSED] = QUARANTINE_REFUSE,
    };
    Quarantine *quarantine = fixture->hosts[step->host];
    QuarantineItem item;

    switch (step->action) {
    case LOSE:
        lose(quarantine, step);
        break;
    case FINISH:
        Quarantine_OnResponse(quarantine, step->who, step->upstream);
        break;
    case GOSSIP:
        while (Quarantine_NextItem(quarantine, &item)) {
            item.age += 20 * MICROS_PER_MS;
            Quarantine_OnPeerItem(fixture->hosts[!step->host], &item);
        }
        break;
    case WAIT_MS:
        Clock_Advance(fixture->clock, step->upstream * MICROS_PER_MS);
        break;
    case RELEASE:
        g_assert_cmpint(Quarantine_Release(quarantine, step->who), ==, 0);
        break;
    default:
        g_assert_cmpint(Quarantine_Check(quarantine, step->who), ==,
                        verdicts[step->action]);
        break;
    }
}

static void
test_cases(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        QuarantineOptions options = {0};
        Fixture fixture = {.clock = Clock_CreateManual(MICROS_PER_S, 0)};

        g_test_message("case: %s", cases[i].name);
        for (int j = 0; j < 2; j++) {
            fixture.hosts[j] = Quarantine_Create(&options, fixture.clock);
        }
        for (const Step *step = cases[i].steps; step->action != END; step++) {
            run_step(&fixture, step);
        }
        Quarantine_Destroy(fixture.hosts[0]);
        Quarantine_Destroy(fixture.hosts[1]);
        Clock_Destroy(fixture.clock);
    }
}

/* Guards against fields that shift into each other, and against one line's
 * requests being refused for another line's. */
static void
test_fingerprints(void)
{
    Fingerprint a =
        Quarantine_Fingerprint(1, STR("GET"), STR("/ab"), STR("c"));
    Fingerprint b =
        Quarantine_Fingerprint(1, STR("GET"), STR("/a"), STR("bc"));
    Fingerprint c =
        Quarantine_Fingerprint(2, STR("GET"), STR("/ab"), STR("c"));
    QuarantineOptions options = {0};
    Clock *clock = Clock_CreateManual(MICROS_PER_S, 0);
    Quarantine *quarantine = Quarantine_Create(&options, clock);

    g_assert_true(a.low != b.low && a.high != b.high && a.low != a.high);
    Quarantine_OnUpstreamUnreachable(quarantine, 1, &a, 1);
    Quarantine_OnUpstreamUnreachable(quarantine, 2, &a, 1);
    g_assert_cmpint(Quarantine_Check(quarantine, &a), ==, QUARANTINE_REFUSE);
    g_assert_cmpint(Quarantine_Check(quarantine, &c), ==, QUARANTINE_PASS);
    g_assert_cmpint(Quarantine_Release(quarantine, &c), ==, ERR_NOT_FOUND);
    Quarantine_Destroy(quarantine);
    Clock_Destroy(clock);
}

/* Guards against two suspects sharing an upstream, so that one's crash would
 * be charged to the other. */
static void
test_busy(void)
{
    QuarantineOptions options = {0};
    Clock *clock = Clock_CreateManual(MICROS_PER_S, 0);
    Quarantine *quarantine = Quarantine_Create(&options, clock);
    Fingerprint both[] = {crasher, innocent};
    uint32_t upstreams[4];

    Quarantine_OnUpstreamUnreachable(quarantine, 1, both, 2);
    Quarantine_OnSent(quarantine, &crasher, 7);
    g_assert_cmpuint(Quarantine_SuspectUpstreams(quarantine, upstreams, 4), ==,
                     1);
    g_assert_cmpuint(upstreams[0], ==, 7);
    Quarantine_OnUpstreamUnreachable(quarantine, 7, &crasher, 1);
    g_assert_cmpuint(Quarantine_SuspectUpstreams(quarantine, upstreams, 4), ==,
                     0);
    Quarantine_Destroy(quarantine);
    Clock_Destroy(clock);
}

/* Guards against memory that grows with a flood of lost requests, and against
 * the flood pushing out a known crasher. */
static void
test_bounded(void)
{
    QuarantineOptions options = {.max_entries = 100};
    Clock *clock = Clock_CreateManual(MICROS_PER_S, 0);
    Random *random = Random_Create(SEED);
    Quarantine *quarantine = Quarantine_Create(&options, clock);
    QuarantineItem items[200];

    Quarantine_OnUpstreamUnreachable(quarantine, 1, &crasher, 1);
    Quarantine_OnUpstreamUnreachable(quarantine, 2, &crasher, 1);
    for (uint32_t i = 0; i < 20000; i++) {
        Fingerprint f = {1, Random_Next(random), Random_Next(random)};
        QuarantineItem item = {.fingerprint = f,
                               .losses = (uint32_t)Random_Below(random, 5),
                               .age = (Micros)Random_Below(random, 1000),
                               .released = Random_Below(random, 4) == 0};

        if (i % 2 == 0) {
            Quarantine_OnUpstreamUnreachable(quarantine, i, &f, 1);
        }
        else if (item.losses < QUARANTINE_LOSS_THRESHOLD) {
            Quarantine_OnPeerItem(quarantine, &item);
        }
        g_assert_cmpuint(Quarantine_EntryCount(quarantine), <=, 100);
    }
    g_assert_cmpint(Quarantine_Check(quarantine, &crasher), ==,
                    QUARANTINE_REFUSE);
    g_assert_cmpuint(Quarantine_List(quarantine, items, 200), <=, 100);
    g_assert_cmpuint(items[0].fingerprint.low, ==, crasher.low);
    g_assert_cmpuint(items[0].losses, ==, 2);
    Quarantine_Destroy(quarantine);
    Random_Destroy(random);
    Clock_Destroy(clock);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_message("seed=%d", SEED);
    g_test_add_func("/quarantine/cases", test_cases);
    g_test_add_func("/quarantine/fingerprints", test_fingerprints);
    g_test_add_func("/quarantine/busy", test_busy);
    g_test_add_func("/quarantine/bounded", test_bounded);
    return g_test_run();
}
