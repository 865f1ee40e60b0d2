#include <glib.h>

#include "LogAccess.h"
#include "Random.h"

#define ROUTES STR("routes")
#define UPSTREAMS STR("upstreams")
#define NO_LIMIT STR("")
/* What a host knows has to be up to date again after 2 s. A relay that responds
 * late and the call itself take the rest. */
#define CALLED_AGE_MAX_US (1520 * MICROS_PER_MS)
#define RESPONSE_US (4 * MICROS_PER_MS)
#define SEEDS 2000

typedef struct Fixture_ {
    Clock *clock;
    LogAccess *access;
} Fixture;

static void
create(Fixture *f, const char *host, size_t host_count)
{
    f->clock = Clock_CreateManual(10 * MICROS_PER_S, 0);
    f->access = LogAccess_Create(Str_FromC(host), f->clock);
    LogAccess_SetPlace(f->access, host_count, true, true);
    LogAccess_OnKnown(f->access, ROUTES, 0);
    LogAccess_OnKnown(f->access, UPSTREAMS, 0);
}

static void
destroy(Fixture *f)
{
    LogAccess_Destroy(f->access);
    Clock_Destroy(f->clock);
}

static void
wait_for_turn(Fixture *f, Str topic)
{
    Micros delay;

    while ((delay = LogAccess_CallDelay(f->access, topic)) > 0) {
        Clock_Advance(f->clock, delay);
    }
}

static void
call(Fixture *f, Micros duration, bool failed)
{
    bool probe = LogAccess_Begin(f->access);

    Clock_Advance(f->clock, duration);
    LogAccess_End(f->access, probe, failed);
}

/* Guards against a host that is kept from the log without need. */
static void
test_no_reason_to_wait(void)
{
    Fixture f;

    create(&f, "a", 20);
    g_assert_cmpint(LogAccess_CallDelay(f.access, ROUTES), ==, 0);
    g_assert_false(LogAccess_Begin(f.access));
    LogAccess_End(f.access, false, false);
    LogAccess_OnRelayLost(f.access);
    g_assert_cmpint(LogAccess_CallDelay(f.access, ROUTES), ==, 0);
    LogAccess_SetPlace(f.access, 20, false, true);
    LogAccess_End(f.access, false, true);
    g_assert_cmpint(LogAccess_CallDelay(f.access, ROUTES), ==, 0);
    destroy(&f);
}

/* Guards against a topic that waits while a call for another one is open. */
static void
test_probe(void)
{
    Fixture f;

    create(&f, "a", 20);
    LogAccess_OnRelayLost(f.access);
    wait_for_turn(&f, UPSTREAMS);
    g_assert_true(LogAccess_Begin(f.access));
    g_assert_cmpint(LogAccess_CallDelay(f.access, ROUTES), >, 0);
    g_assert_cmpint(LogAccess_CallDelay(f.access, ROUTES), <=,
                    20 * MICROS_PER_MS);
    Clock_Advance(f.clock, RESPONSE_US);
    LogAccess_End(f.access, true, false);
    g_assert_cmpint(LogAccess_CallDelay(f.access, ROUTES), ==, 0);
    g_assert_false(LogAccess_Begin(f.access));
    destroy(&f);
}

/* Guards against a host that goes on to call a log that it has just lost. */
static void
test_lost_after_access(void)
{
    Fixture f;

    create(&f, "a", 400);
    call(&f, RESPONSE_US, false);
    LogAccess_OnRelayLost(f.access);
    g_assert_cmpint(LogAccess_CallDelay(f.access, ROUTES), ==, 0);
    call(&f, RESPONSE_US, true);
    wait_for_turn(&f, ROUTES);
    LogAccess_OnRelayLost(f.access);
    call(&f, RESPONSE_US, true);
    Clock_Advance(f.clock, 1 * MICROS_PER_S);
    LogAccess_OnRelayLost(f.access);
    g_assert_cmpint(LogAccess_CallDelay(f.access, ROUTES), >,
                    1 * MICROS_PER_S);
    destroy(&f);
}

/* Guards against a host of a large deployment that knows a topic too late,
 * because relays have lost the log. */
static void
test_many_hosts(void)
{
    for (int i = 0; i < 400; i++) {
        g_autofree char *host = g_strdup_printf("host-%d", i);
        Fixture f;

        create(&f, host, 405);
        Clock_Advance(f.clock, (Micros)(i % 14) * 100 * MICROS_PER_MS);
        LogAccess_OnRelayLost(f.access);
        wait_for_turn(&f, ROUTES);
        g_assert_cmpint(LogAccess_Age(f.access, ROUTES), <=,
                        CALLED_AGE_MAX_US);
        destroy(&f);
    }
}

/* Guards against calls to an unreachable log that grow with the hosts. */
static void
test_failed_calls(void)
{
    for (int i = 0; i < 400; i++) {
        g_autofree char *host = g_strdup_printf("host-%d", i);
        Micros end;
        int calls = 0;
        Fixture f;

        create(&f, host, 400);
        end = Clock_Now(f.clock) + 13 * MICROS_PER_S;
        while (Clock_Now(f.clock) < end) {
            Str topic = calls % 2 == 0 ? ROUTES : UPSTREAMS;

            LogAccess_OnRelayLost(f.access);
            if (LogAccess_CallDelay(f.access, topic) == 0) {
                call(&f, RESPONSE_US, true);
                calls++;
            }
            Clock_Advance(f.clock, 100 * MICROS_PER_MS);
        }
        /* The first one, and one in 6 s after it. */
        g_assert_cmpint(calls, <=, 4);
        g_assert_cmpint(calls, >=, 2);
        destroy(&f);
    }
}

/* Plays calls for another topic and relays that lose the log, while the log
 * serves the host. Returns the age of the routes at which they may be read. */
static Micros
play(uint64_t seed)
{
    Random *random = Random_Create(seed);
    Micros other_ends_at = -1, age;
    bool other_probe = false;
    Fixture f;

    create(&f, "a", 1 + Random_Below(random, 500));
    Clock_Advance(f.clock, (Micros)Random_Below(random, 1300) * MICROS_PER_MS);
    LogAccess_OnRelayLost(f.access);
    while (LogAccess_CallDelay(f.access, ROUTES) > 0) {
        if (Random_Below(random, 50) == 0) {
            LogAccess_OnRelayLost(f.access);
        }
        if (other_ends_at >= 0 && Clock_Now(f.clock) >= other_ends_at) {
            LogAccess_End(f.access, other_probe, false);
            other_ends_at = -1;
        }
        if (other_ends_at < 0 && Random_Below(random, 50) == 0 &&
            LogAccess_CallDelay(f.access, UPSTREAMS) == 0) {
            other_probe = LogAccess_Begin(f.access);
            other_ends_at = Clock_Now(f.clock) +
                            (other_probe ? RESPONSE_US : 900 * MICROS_PER_MS);
        }
        Clock_Advance(f.clock, MICROS_PER_MS);
    }
    age = LogAccess_Age(f.access, ROUTES);
    destroy(&f);
    Random_Destroy(random);
    return age;
}

/* Guards against any order of these that keeps a host from the log for too
 * long. */
static void
test_random_orders(void)
{
    for (uint64_t seed = 1; seed <= SEEDS; seed++) {
        Micros age = play(seed);

        g_test_message("seed=%" G_GUINT64_FORMAT " age=%" G_GINT64_FORMAT,
                       seed, age);
        g_assert_cmpint(age, <=, CALLED_AGE_MAX_US);
    }
}

/* Guards against more calls in an outage for what is read rarely anyway. */
static void
test_without_limit(void)
{
    int waiting = 0;

    for (int i = 0; i < 100; i++) {
        g_autofree char *host = g_strdup_printf("host-%d", i);
        Fixture f;

        create(&f, host, 400);
        LogAccess_OnRelayLost(f.access);
        Clock_Advance(f.clock, 1600 * MICROS_PER_MS);
        LogAccess_OnRelayLost(f.access);
        g_assert_cmpint(LogAccess_CallDelay(f.access, ROUTES), ==, 0);
        waiting += LogAccess_CallDelay(f.access, NO_LIMIT) > 0;
        destroy(&f);
    }
    /* 1.6 s of 6 s have passed. */
    g_assert_cmpint(waiting, >, 50);
}

/* Guards against waits for relays that do not end in time. */
static void
test_relay_wait(void)
{
    const Micros longest = 400 * MICROS_PER_MS;
    Fixture f;

    create(&f, "a", 20);
    g_assert_cmpint(LogAccess_RelayWait(f.access, ROUTES, longest), ==,
                    longest);
    LogAccess_OnKnown(f.access, ROUTES, 1200 * MICROS_PER_MS);
    g_assert_cmpint(LogAccess_RelayWait(f.access, ROUTES, longest), ==,
                    300 * MICROS_PER_MS);
    g_assert_false(LogAccess_IsOverdue(f.access, ROUTES));
    Clock_Advance(f.clock, 301 * MICROS_PER_MS);
    g_assert_cmpint(LogAccess_RelayWait(f.access, ROUTES, longest), ==,
                    50 * MICROS_PER_MS);
    g_assert_true(LogAccess_IsOverdue(f.access, ROUTES));
    g_assert_false(LogAccess_IsOverdue(f.access, UPSTREAMS));
    destroy(&f);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/log-access/no-reason-to-wait", test_no_reason_to_wait);
    g_test_add_func("/log-access/probe", test_probe);
    g_test_add_func("/log-access/lost-after-access", test_lost_after_access);
    g_test_add_func("/log-access/many-hosts", test_many_hosts);
    g_test_add_func("/log-access/failed-calls", test_failed_calls);
    g_test_add_func("/log-access/random-orders", test_random_orders);
    g_test_add_func("/log-access/without-limit", test_without_limit);
    g_test_add_func("/log-access/relay-wait", test_relay_wait);
    return g_test_run();
}
