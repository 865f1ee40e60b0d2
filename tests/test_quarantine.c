#include <glib.h>

#include "Error.h"
#include "LossWatch.h"
#include "QuarantineExchange.h"
#include "Random.h"

#define SEED 43

static const Fingerprint crashing = {.line = 1, .high = 11, .low = 101};
static const Fingerprint harmless = {.line = 1, .high = 22, .low = 202};
static const Fingerprint other = {.line = 1, .high = 33, .low = 303};

/* Action of one step of a case, on the host with index @host (0 or 1). */
typedef enum Action_ {
    END,
    UNREACHABLE, /* the upstream becomes unreachable while @fingerprint and,
                  * if set, @second run on it */
    RESPONSE,    /* the upstream responds to @fingerprint */
    GOSSIP,      /* all pending items are sent to the other host */
    WAIT_MS,     /* time advances by @upstream milliseconds */
    RELEASE,     /* an operator releases @fingerprint */
    PASSES,      /* expected verdict for @fingerprint on the host */
    ISOLATED,
    REFUSED,
} Action;

typedef struct Step_ {
    Action action;
    int host;
    const Fingerprint *fingerprint;
    uint32_t upstream;
    const Fingerprint *second;
} Step;

#define CRASHING (&crashing)
#define HARMLESS (&harmless)
#define OTHER (&other)

/* Each case names the failure that it guards against. */
static const struct {
    const char *name;
    Step steps[12];
} cases[] = {
    {"a crashing request reaches a third upstream",
     {{UNREACHABLE, 0, CRASHING, 1, NULL},
      {ISOLATED, 0, CRASHING, 0, NULL},
      {UNREACHABLE, 0, CRASHING, 2, NULL},
      {REFUSED, 0, CRASHING, 0, NULL}}},
    {"one upstream that is unreachable twice counts as two losses",
     {{UNREACHABLE, 0, CRASHING, 1, NULL},
      {WAIT_MS, 0, NULL, 500, NULL},
      {UNREACHABLE, 0, CRASHING, 1, NULL},
      {ISOLATED, 0, CRASHING, 0, NULL}}},
    {"a request is suspected for running beside a crashing one",
     {{UNREACHABLE, 0, CRASHING, 1, HARMLESS},
      {UNREACHABLE, 0, CRASHING, 2, OTHER},
      {REFUSED, 0, CRASHING, 0, NULL},
      {PASSES, 0, HARMLESS, 0, NULL},
      {PASSES, 0, OTHER, 0, NULL}}},
    {"a suspect that completes stays suspect",
     {{UNREACHABLE, 0, CRASHING, 1, HARMLESS},
      {RESPONSE, 0, HARMLESS, 3, NULL},
      {PASSES, 0, HARMLESS, 0, NULL}}},
    {"a popular request is refused when a rack fails",
     {{RESPONSE, 0, HARMLESS, 9, NULL},
      {UNREACHABLE, 0, HARMLESS, 1, NULL},
      {WAIT_MS, 0, NULL, 5, NULL},
      {UNREACHABLE, 0, HARMLESS, 2, NULL},
      {ISOLATED, 0, HARMLESS, 0, NULL},
      {RESPONSE, 0, HARMLESS, 9, NULL},
      {PASSES, 0, HARMLESS, 0, NULL}}},
    {"the other host admits the crashing request",
     {{UNREACHABLE, 0, CRASHING, 1, NULL},
      {GOSSIP, 0, NULL, 0, NULL},
      {UNREACHABLE, 1, CRASHING, 2, NULL},
      {REFUSED, 1, CRASHING, 0, NULL},
      {GOSSIP, 1, NULL, 0, NULL},
      {REFUSED, 0, CRASHING, 0, NULL}}},
    {"a request beside a crashing one stays suspect on another host",
     {{UNREACHABLE, 1, HARMLESS, 1, NULL},
      {UNREACHABLE, 0, CRASHING, 1, NULL},
      {UNREACHABLE, 0, CRASHING, 2, NULL},
      {GOSSIP, 0, NULL, 0, NULL},
      {PASSES, 1, HARMLESS, 0, NULL},
      {REFUSED, 1, CRASHING, 0, NULL}}},
    {"an old item reverts a release, or later losses are ignored",
     {{UNREACHABLE, 0, CRASHING, 1, NULL},
      {UNREACHABLE, 0, CRASHING, 2, NULL},
      {GOSSIP, 0, NULL, 0, NULL},
      {WAIT_MS, 0, NULL, 1000, NULL},
      {RELEASE, 1, CRASHING, 0, NULL},
      {PASSES, 1, CRASHING, 0, NULL},
      {GOSSIP, 1, NULL, 0, NULL},
      {PASSES, 0, CRASHING, 0, NULL},
      {UNREACHABLE, 0, CRASHING, 1, NULL},
      {UNREACHABLE, 0, CRASHING, 2, NULL},
      {REFUSED, 0, CRASHING, 0, NULL}}},
    {"entries never expire",
     {{UNREACHABLE, 0, CRASHING, 1, NULL},
      {UNREACHABLE, 0, HARMLESS, 1, NULL},
      {UNREACHABLE, 0, CRASHING, 2, NULL},
      {WAIT_MS, 0, NULL, 61000, NULL},
      {REFUSED, 0, CRASHING, 0, NULL},
      {PASSES, 0, HARMLESS, 0, NULL},
      {WAIT_MS, 0, NULL, 540000, NULL},
      {PASSES, 0, CRASHING, 0, NULL}}},
};

typedef struct Fixture_ {
    Clock *clock;
    Quarantine *hosts[2];
} Fixture;

static void
report_unreachable(Quarantine *quarantine, const Step *step)
{
    Fingerprint running[2] = {*step->fingerprint};
    size_t n = 1;

    if (step->second != NULL) {
        running[n++] = *step->second;
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
    case UNREACHABLE:
        report_unreachable(quarantine, step);
        break;
    case RESPONSE:
        Quarantine_OnResponse(quarantine, step->fingerprint, step->upstream);
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
        g_assert_cmpint(Quarantine_Release(quarantine, step->fingerprint), ==,
                        0);
        break;
    default:
        g_assert_cmpint(Quarantine_Check(quarantine, step->fingerprint), ==,
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

/* Guards against different fields with the same concatenation having the same
 * fingerprint, and against refusing requests of one line because of another
 * line. */
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

/* Guards against two suspects running on the same upstream, where a crash
 * caused by one would be counted against the other. */
static void
test_suspect_upstreams(void)
{
    QuarantineOptions options = {0};
    Clock *clock = Clock_CreateManual(MICROS_PER_S, 0);
    Quarantine *quarantine = Quarantine_Create(&options, clock);
    Fingerprint both[] = {crashing, harmless};
    uint32_t upstreams[4];

    Quarantine_OnUpstreamUnreachable(quarantine, 1, both, 2);
    Quarantine_OnSent(quarantine, &crashing, 7);
    g_assert_cmpuint(Quarantine_SuspectUpstreams(quarantine, upstreams, 4), ==,
                     1);
    g_assert_cmpuint(upstreams[0], ==, 7);
    Quarantine_OnUpstreamUnreachable(quarantine, 7, &crashing, 1);
    g_assert_cmpuint(Quarantine_SuspectUpstreams(quarantine, upstreams, 4), ==,
                     0);
    Quarantine_Destroy(quarantine);
    Clock_Destroy(clock);
}

/* Guards against memory that grows with a flood of failed requests, and
 * against the flood evicting a request known to crash upstreams. */
static void
test_bounded(void)
{
    QuarantineOptions options = {.max_entries = 100};
    Clock *clock = Clock_CreateManual(MICROS_PER_S, 0);
    Random *random = Random_Create(SEED);
    Quarantine *quarantine = Quarantine_Create(&options, clock);
    QuarantineItem items[200];

    Quarantine_OnUpstreamUnreachable(quarantine, 1, &crashing, 1);
    Quarantine_OnUpstreamUnreachable(quarantine, 2, &crashing, 1);
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
    g_assert_cmpint(Quarantine_Check(quarantine, &crashing), ==,
                    QUARANTINE_REFUSE);
    g_assert_cmpuint(Quarantine_List(quarantine, items, 200), <=, 100);
    g_assert_cmpuint(items[0].fingerprint.low, ==, crashing.low);
    g_assert_cmpuint(items[0].losses, ==, 2);
    Quarantine_Destroy(quarantine);
    Random_Destroy(random);
    Clock_Destroy(clock);
}

/* Guards against believing what contradicts itself or is too old, and against
 * keeping an entry for it. */
static void
test_invalid_items(void)
{
    static const struct {
        QuarantineItem item;
        int code;
    } rows[] = {
        {{.losses = 2, .upstreams = {7, 8}}, 0},
        {{.released = true}, 0},
        {{.losses = 0}, ERR_INVALID},
        {{.losses = 1, .upstreams = {7}, .released = true}, ERR_INVALID},
        {{.losses = 2, .upstreams = {7, 7}}, ERR_INVALID},
        {{.losses = QUARANTINE_LOSSES_MAX + 1}, ERR_INVALID},
        {{.losses = 1, .upstreams = {7}, .age = -1}, ERR_INVALID},
        {{.losses = 1, .upstreams = {7}, .age = 61 * MICROS_PER_S},
         ERR_EXPIRED},
        {{.losses = 2, .upstreams = {7, 8}, .age = 25 * 3600 * MICROS_PER_S},
         ERR_EXPIRED},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        QuarantineOptions options = {0};
        Clock *clock = Clock_CreateManual(MICROS_PER_S, 0);
        Quarantine *quarantine = Quarantine_Create(&options, clock);

        g_assert_cmpint(Quarantine_OnPeerItem(quarantine, &rows[i].item), ==,
                        rows[i].code);
        g_assert_cmpuint(Quarantine_EntryCount(quarantine), ==,
                         rows[i].code == 0);
        Quarantine_Destroy(quarantine);
        Clock_Destroy(clock);
    }
}

/* Guards against a peer that floods the others, and against more than one call
 * in an interval or while a call has not ended. */
static void
test_exchange_limits(void)
{
    QuarantineOptions options = {0};
    QuarantineExchangeOptions exchange_options = {
        .interval = 500 * MICROS_PER_MS, .removes = true};
    QuarantineItem items[QUARANTINE_BATCH_MAX];
    QuarantineItem item = {.losses = 1, .upstreams = {7}};
    Clock *clock = Clock_CreateManual(MICROS_PER_S, 0);
    Random *random = Random_Create(SEED);
    Quarantine *quarantine = Quarantine_Create(&options, clock);
    QuarantineExchange *exchange = QuarantineExchange_Create(
        quarantine, &exchange_options, clock, random);
    unsigned accepted = 0;

    for (uint32_t i = 0; i < 40; i++) {
        Fingerprint f = {.low = i + 1};

        Quarantine_OnLoss(quarantine, &f, i, Clock_Now(clock));
    }
    g_assert_cmpuint(QuarantineExchange_NextBatch(exchange, items), ==,
                     QUARANTINE_BATCH_MAX);
    Clock_Advance(clock, MICROS_PER_S);
    g_assert_cmpuint(QuarantineExchange_NextBatch(exchange, items), ==, 0);
    QuarantineExchange_OnBatchEnd(exchange, ERR_TIMEOUT);
    g_assert_cmpuint(QuarantineExchange_NextBatch(exchange, items), ==, 0);
    Clock_Advance(clock, MICROS_PER_S);
    g_assert_cmpuint(QuarantineExchange_NextBatch(exchange, items), ==,
                     QUARANTINE_BATCH_MAX);
    QuarantineExchange_OnBatchEnd(exchange, 0);
    g_assert_cmpuint(QuarantineExchange_NextBatch(exchange, items), ==, 0);
    Clock_Advance(clock, 500 * MICROS_PER_MS);
    g_assert_cmpuint(QuarantineExchange_NextBatch(exchange, items), ==, 8);
    QuarantineExchange_OnBatchEnd(exchange, 0);
    for (uint32_t i = 0; i < 10000; i++) {
        item.fingerprint.low = 1000 + i;
        accepted += QuarantineExchange_Receive(exchange, &item) == 0;
    }
    g_assert_cmpuint(accepted, <=, 4096);
    Clock_Advance(clock, MICROS_PER_S);
    g_assert_cmpint(QuarantineExchange_Receive(exchange, &item), ==, 0);
    QuarantineExchange_Destroy(exchange);
    Quarantine_Destroy(quarantine);
    Random_Destroy(random);
    Clock_Destroy(clock);
}

/* Guards against a newest item that lacks a loss: a host that starts later
 * would not know it. */
static void
test_incomplete_item(void)
{
    QuarantineOptions options = {.newest_only = true};
    QuarantineItem item = {
        .fingerprint = crashing, .losses = 1, .upstreams = {9}};
    Clock *clock = Clock_CreateManual(MICROS_PER_S, 0);
    Quarantine *observer = Quarantine_Create(&options, clock);
    Quarantine *other_host = Quarantine_Create(&options, clock);
    QuarantineItem sent;

    Quarantine_OnLoss(observer, &crashing, 1, Clock_Now(clock));
    g_assert_true(Quarantine_NextItem(observer, &sent));
    Quarantine_OnPeerItem(other_host, &sent);
    Quarantine_OnPeerItem(observer, &item);
    Quarantine_OnPeerItem(other_host, &item);
    g_assert_true(Quarantine_NextItem(observer, &sent));
    g_assert_cmpuint(sent.losses, ==, 2);
    g_assert_false(Quarantine_NextItem(other_host, &item));
    Quarantine_OnPeerItem(other_host, &sent);
    Clock_Advance(clock, 10 * MICROS_PER_S);
    g_assert_false(Quarantine_NextItem(other_host, &item));
    g_assert_cmpint(Quarantine_Check(other_host, &crashing), ==,
                    QUARANTINE_REFUSE);
    Quarantine_Destroy(observer);
    Quarantine_Destroy(other_host);
    Clock_Destroy(clock);
}

typedef enum WatchAction_ {
    WATCH_END,
    NO_RESPONSE,   /* an attempt at the upstream ended without a response */
    BROKEN,        /* as NO_RESPONSE, its connection was closed */
    CANCELLED,     /* as NO_RESPONSE, cancelled */
    ALIVE,         /* the upstream responded to what was sent now */
    ALIVE_EARLIER, /* it responded to what was sent before the attempt ended */
    PROBE_REFUSED,
    PROBE_SILENT,
    PROBE_CLOSED, /* its connection was accepted and closed */
    PASS_MS,      /* time advances by @upstream milliseconds */
    REFERENCE,    /* a response of another upstream than this one is missing */
    PATH_WORKED,  /* another upstream than this one responded on a new
                   * connection */
    PATH_LOST,
    PATH_RENEWED, /* the path is back after a short time */
    LOST,         /* the upstream is lost */
    NOT_LOST,
    PROVEN, /* it is lost even if the path is */
    NOT_PROVEN,
} WatchAction;

/* Each case names the failure that it guards against. */
static const struct {
    const char *name;
    struct {
        WatchAction action;
        uint32_t upstream;
    } steps[12];
} watch_cases[] = {
    {"a lost response counts as a lost upstream",
     {{NO_RESPONSE, 1},
      {PASS_MS, 10},
      {ALIVE, 1},
      {PASS_MS, 1000},
      {NOT_LOST, 0}}},
    {"an earlier request that still completes hides a loss",
     {{ALIVE, 2},
      {NO_RESPONSE, 1},
      {PASS_MS, 1},
      {ALIVE_EARLIER, 1},
      {PROBE_REFUSED, 1},
      {PROBE_REFUSED, 1},
      {LOST, 1}}},
    {"a full upstream that closes connections counts as lost",
     {{NO_RESPONSE, 1},
      {PROBE_CLOSED, 1},
      {PASS_MS, 150},
      {PROBE_CLOSED, 1},
      {PASS_MS, 150},
      {ALIVE, 1},
      {PASS_MS, 1000},
      {NOT_LOST, 0}}},
    {"an upstream that ended behind a proxy is not lost",
     {{NO_RESPONSE, 1},
      {PROBE_CLOSED, 1},
      {PASS_MS, 999},
      {NOT_LOST, 0},
      {PASS_MS, 1},
      {LOST, 1}}},
    {"a silent upstream is not lost",
     {{NO_RESPONSE, 1},
      {PROBE_SILENT, 1},
      {NOT_LOST, 0},
      {ALIVE, 2},
      {PROBE_SILENT, 1},
      {LOST, 1}}},
    {"an upstream without load probes is never lost",
     {{NO_RESPONSE, 1},
      {ALIVE, 2},
      {PASS_MS, 999},
      {NOT_LOST, 0},
      {PASS_MS, 1},
      {LOST, 1}}},
    {"a host with few requests counts no loss",
     {{NO_RESPONSE, 1},
      {PROBE_SILENT, 1},
      {PROBE_SILENT, 1},
      {NOT_LOST, 0},
      {REFERENCE, 1},
      {ALIVE, 2},
      {LOST, 1}}},
    {"a host that is cut off counts losses",
     {{NO_RESPONSE, 1},
      {PROBE_SILENT, 1},
      {PROBE_SILENT, 1},
      {PASS_MS, 2000},
      {NOT_LOST, 0}}},
    {"a request that its caller cancels counts a loss",
     {{CANCELLED, 1}, {ALIVE, 2}, {PASS_MS, 2000}, {NOT_LOST, 0}}},
    {"a request that is cancelled at a crashed upstream counts none",
     {{CANCELLED, 1},
      {ALIVE, 2},
      {PROBE_REFUSED, 1},
      {PROBE_REFUSED, 1},
      {LOST, 1}}},
    {"a loss is forgotten once the path is lost",
     {{BROKEN, 1},
      {PATH_WORKED, 1},
      {PATH_LOST, 0},
      {PASS_MS, 1000},
      {PROVEN, 1}}},
    {"a silent upstream is forgotten once the path is lost",
     {{NO_RESPONSE, 1},
      {PROBE_SILENT, 1},
      {PROBE_SILENT, 1},
      {PATH_WORKED, 1},
      {PATH_LOST, 0},
      {PROVEN, 1}}},
    {"a connection that breaks with the path counts as a loss",
     {{ALIVE, 2},
      {BROKEN, 1},
      {PATH_LOST, 0},
      {PROBE_REFUSED, 1},
      {PROBE_REFUSED, 1},
      {PATH_WORKED, 1},
      {NOT_PROVEN, 0}}},
    {"probes that time out with the path count as a loss",
     {{NO_RESPONSE, 1},
      {PATH_WORKED, 1},
      {PROBE_SILENT, 1},
      {PROBE_SILENT, 1},
      {NOT_PROVEN, 0}}},
    {"a loss is forgotten in a short cut",
     {{BROKEN, 1},
      {PATH_LOST, 0},
      {PASS_MS, 2000},
      {PATH_RENEWED, 0},
      {PATH_WORKED, 1},
      {PROBE_REFUSED, 1},
      {PROBE_REFUSED, 1},
      {PROVEN, 1}}},
    {"a connection reset in a short cut counts as a loss in the next one",
     {{BROKEN, 1},
      {PATH_LOST, 0},
      {PASS_MS, 500},
      {ALIVE, 2},
      {PATH_RENEWED, 0},
      {PATH_LOST, 0},
      {PASS_MS, 1000},
      {NOT_PROVEN, 0}}},
    {"an upstream that responds after a short cut counts as lost",
     {{BROKEN, 1},
      {PROBE_REFUSED, 1},
      {PROBE_REFUSED, 1},
      {PATH_LOST, 0},
      {PASS_MS, 500},
      {PATH_RENEWED, 0},
      {PATH_WORKED, 1},
      {NOT_PROVEN, 0},
      {ALIVE, 1},
      {NOT_LOST, 0}}},
};

static LostAttemptKind
kind_of(WatchAction action)
{
    switch (action) {
    case BROKEN:
        return LOST_ATTEMPT_BROKEN;
    case CANCELLED:
        return LOST_ATTEMPT_CANCELLED;
    default:
        return LOST_ATTEMPT_TIMEOUT;
    }
}

static void
run_watch_step(LossWatch *watch, Clock *clock, WatchAction action,
               uint32_t upstream)
{
    Micros now = Clock_Now(clock);
    LostAttempt attempt = {.fingerprint = crashing,
                           .upstream = upstream,
                           .instance = upstream,
                           .sent = now - MICROS_PER_MS,
                           .ended = now,
                           .kind = kind_of(action)};
    uint32_t watched;

    switch (action) {
    case NO_RESPONSE:
    case BROKEN:
    case CANCELLED:
        LossWatch_Add(watch, &attempt);
        break;
    case ALIVE:
        LossWatch_OnResponse(watch, upstream, now);
        break;
    case ALIVE_EARLIER:
        LossWatch_OnResponse(watch, upstream, now - 100 * MICROS_PER_MS);
        break;
    case PROBE_REFUSED:
    case PROBE_SILENT:
        LossWatch_OnProbeFailure(watch, upstream, now,
                                 action == PROBE_REFUSED);
        break;
    case PROBE_CLOSED:
        LossWatch_OnProbeUnclear(watch, upstream, now, true);
        break;
    case PASS_MS:
        Clock_Advance(clock, upstream * MICROS_PER_MS);
        break;
    case REFERENCE:
        g_assert_true(LossWatch_NeedsReference(watch, &watched));
        g_assert_cmpuint(watched, ==, upstream);
        break;
    case PATH_WORKED:
        LossWatch_OnResponse(watch, upstream + 1, now);
        LossWatch_OnReachable(watch, now);
        break;
    case PATH_LOST:
        LossWatch_OnPathLost(watch);
        break;
    case PATH_RENEWED:
        LossWatch_Renew(watch);
        break;
    case PROVEN:
        g_assert_true(LossWatch_NextProvenLoss(watch, &attempt));
        g_assert_cmpuint(attempt.upstream, ==, upstream);
        break;
    case NOT_PROVEN:
        g_assert_false(LossWatch_NextProvenLoss(watch, &attempt));
        break;
    case LOST:
        g_assert_true(LossWatch_NextLoss(watch, &attempt));
        g_assert_cmpuint(attempt.upstream, ==, upstream);
        break;
    default:
        g_assert_false(LossWatch_NextLoss(watch, &attempt));
        break;
    }
}

static void
test_loss_watch(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(watch_cases); i++) {
        Clock *clock = Clock_CreateManual(MICROS_PER_S, 0);
        LossWatch *watch = LossWatch_Create(clock);

        g_test_message("case: %s", watch_cases[i].name);
        for (size_t k = 0; watch_cases[i].steps[k].action != WATCH_END; k++) {
            run_watch_step(watch, clock, watch_cases[i].steps[k].action,
                           watch_cases[i].steps[k].upstream);
        }
        LossWatch_Destroy(watch);
        Clock_Destroy(clock);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_message("seed=%d", SEED);
    g_test_add_func("/quarantine/cases", test_cases);
    g_test_add_func("/quarantine/fingerprints", test_fingerprints);
    g_test_add_func("/quarantine/busy", test_suspect_upstreams);
    g_test_add_func("/quarantine/bounded", test_bounded);
    g_test_add_func("/quarantine/invalid-items", test_invalid_items);
    g_test_add_func("/quarantine/exchange-limits", test_exchange_limits);
    g_test_add_func("/quarantine/incomplete-item", test_incomplete_item);
    g_test_add_func("/quarantine/loss-watch", test_loss_watch);
    return g_test_run();
}
