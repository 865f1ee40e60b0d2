#include <glib.h>

#include "UpstreamLimits.h"

/* Guards against hosts that together send a cold upstream more than it takes.
 * Every host has a request for it at all times, and arrivals are counted at the
 * upstream. */

#define INSTANCE 77
#define RATE_PER_S 2.0
/* Most arrivals in any second: one and a half times the rate, and 8. */
#define ARRIVALS_MAX 11
#define WARMUP_US (3 * MICROS_PER_S)
#define STEP_US (10 * MICROS_PER_MS)
#define HOSTS_MAX 1000
#define ARRIVAL_COUNT_MAX 100000

typedef struct Deployment_ {
    Clock *clock;
    Random *random;
    UpstreamLimits *limits[HOSTS_MAX];
    char names[HOSTS_MAX][16];
    Str ids[HOSTS_MAX];
    size_t count;
    Micros arrivals[ARRIVAL_COUNT_MAX];
    size_t arrival_count;
} Deployment;

static void
set_hosts(Deployment *d, size_t host, size_t listed)
{
    UpstreamLimits_SetHosts(d->limits[host], d->ids, listed,
                            Clock_Now(d->clock));
}

static Deployment *
create(size_t count)
{
    Deployment *d = g_new0(Deployment, 1);

    d->clock = Clock_CreateManual(MICROS_PER_S, 0);
    d->random = Random_Create(count);
    d->count = count;
    for (size_t i = 0; i < count; i++) {
        g_snprintf(d->names[i], sizeof(d->names[i]), "host-%zu", i);
        d->ids[i] = Str_FromC(d->names[i]);
    }
    for (size_t i = 0; i < count; i++) {
        d->limits[i] = UpstreamLimits_Create(d->ids[i], d->clock, d->random);
        set_hosts(d, i, count);
    }
    return d;
}

static void
destroy(Deployment *d)
{
    for (size_t i = 0; i < d->count; i++) {
        UpstreamLimits_Destroy(d->limits[i]);
    }
    Random_Destroy(d->random);
    Clock_Destroy(d->clock);
    g_free(d);
}

static void
learn(Deployment *d, size_t host, Micros until)
{
    UpstreamLimits_SetWarmup(d->limits[host], 0, INSTANCE, RATE_PER_S, until);
}

static void
send(Deployment *d, Micros end)
{
    while (Clock_Now(d->clock) < end) {
        for (size_t i = 0; i < d->count; i++) {
            if (UpstreamLimits_MaySend(d->limits[i], 0)) {
                UpstreamLimits_OnSent(d->limits[i], 0);
                g_assert_cmpuint(d->arrival_count, <, ARRIVAL_COUNT_MAX);
                d->arrivals[d->arrival_count++] = Clock_Now(d->clock);
            }
        }
        Clock_Advance(d->clock, STEP_US);
    }
}

static void
restart(Deployment *d, size_t host, Micros until)
{
    UpstreamLimits_Destroy(d->limits[host]);
    d->limits[host] = UpstreamLimits_Create(d->ids[host], d->clock, d->random);
    set_hosts(d, host, d->count);
    learn(d, host, until);
}

static size_t
most_in_a_second(const Deployment *d)
{
    size_t most = 0;

    for (size_t first = 0, i = 0; i < d->arrival_count; i++) {
        while (d->arrivals[i] - d->arrivals[first] >= MICROS_PER_S) {
            first++;
        }
        most = MAX(most, i - first + 1);
    }
    return most;
}

static Micros
begin(Deployment *d)
{
    Micros until = Clock_Now(d->clock) + WARMUP_US;

    for (size_t i = 0; i < d->count; i++) {
        learn(d, i, until);
    }
    return until;
}

/* A cold upstream gets its part, too, up to the last moment. */
static void
test_hosts(gconstpointer data)
{
    Deployment *d = create(GPOINTER_TO_SIZE(data));
    Micros until = begin(d);

    send(d, until);
    g_assert_cmpuint(most_in_a_second(d), <=, ARRIVALS_MAX);
    g_assert_cmpuint(d->arrival_count, >=,
                     (size_t)(RATE_PER_S * WARMUP_US / MICROS_PER_S / 2));
    for (size_t i = 0; i < d->count; i++) {
        g_assert_true(UpstreamLimits_MaySend(d->limits[i], 0));
        g_assert_cmpuint(UpstreamLimits_Count(d->limits[i]), ==, 0);
    }
    destroy(d);
}

/* Half of the hosts forget what they have sent. */
static void
test_restarts(gconstpointer data)
{
    Deployment *d = create(GPOINTER_TO_SIZE(data));
    Micros until = begin(d);

    send(d, Clock_Now(d->clock) + MICROS_PER_S);
    for (size_t i = 0; i < d->count; i += 2) {
        restart(d, i, until);
    }
    send(d, until);
    g_assert_cmpuint(most_in_a_second(d), <=, ARRIVALS_MAX);
    destroy(d);
}

/* Half of the hosts have not heard of the newest tenth. */
static void
test_different_lists(gconstpointer data)
{
    Deployment *d = create(GPOINTER_TO_SIZE(data));
    Micros until = begin(d);

    for (size_t i = 0; i < d->count; i += 2) {
        set_hosts(d, i, d->count - d->count / 10);
    }
    send(d, until);
    g_assert_cmpuint(most_in_a_second(d), <=, ARRIVALS_MAX);
    destroy(d);
}

/* The upstream says in time that it stays cold for longer. */
static void
test_extended(gconstpointer data)
{
    Deployment *d = create(GPOINTER_TO_SIZE(data));
    Micros until = begin(d);

    send(d, until - MICROS_PER_S);
    until = begin(d);
    send(d, until);
    g_assert_cmpuint(most_in_a_second(d), <=, ARRIVALS_MAX);
    destroy(d);
}

/* A limit that the upstream names outlasts its warm-up; the lower one is in
 * force. */
static void
test_named_limit(void)
{
    Deployment *d = create(1);
    UpstreamLimits *limits = d->limits[0];
    LimitNotice named = {LIMIT_NAMED, 1};
    LimitNotice absent = {.kind = LIMIT_ABSENT};

    learn(d, 0, Clock_Now(d->clock) + WARMUP_US);
    UpstreamLimits_OnResponse(limits, 0, INSTANCE, named, LIMIT_SOURCE_PROBE);
    g_assert_cmpfloat(UpstreamLimits_PerS(limits, 0), ==, 1);
    named.per_s = 5;
    UpstreamLimits_OnResponse(limits, 0, INSTANCE, named, LIMIT_SOURCE_PROBE);
    g_assert_cmpfloat(UpstreamLimits_PerS(limits, 0), ==, RATE_PER_S);
    Clock_Advance(d->clock, WARMUP_US);
    g_assert_cmpfloat(UpstreamLimits_PartPerS(limits, 0), ==, 5);
    UpstreamLimits_OnResponse(limits, 0, INSTANCE, absent, LIMIT_SOURCE_PROBE);
    g_assert_cmpuint(UpstreamLimits_Count(limits), ==, 0);
    destroy(d);
}

/* A response without a limit does not end a warm-up. */
static void
test_absent_limit(void)
{
    Deployment *d = create(1);
    LimitNotice absent = {.kind = LIMIT_ABSENT};

    learn(d, 0, Clock_Now(d->clock) + WARMUP_US);
    UpstreamLimits_OnResponse(d->limits[0], 0, INSTANCE, absent,
                              LIMIT_SOURCE_REQUEST);
    g_assert_cmpfloat(UpstreamLimits_PerS(d->limits[0], 0), ==, RATE_PER_S);
    learn(d, 0, Clock_Now(d->clock));
    g_assert_cmpuint(UpstreamLimits_Count(d->limits[0]), ==, 0);
    destroy(d);
}

int
main(int argc, char **argv)
{
    static const size_t counts[] = {3, 20, 110, 472, 1000};

    g_test_init(&argc, &argv, NULL);
    for (size_t i = 0; i < G_N_ELEMENTS(counts); i++) {
        gconstpointer count = GSIZE_TO_POINTER(counts[i]);
        const struct {
            const char *name;
            GTestDataFunc test;
        } cases[] = {
            {"hosts", test_hosts},
            {"restarts", test_restarts},
            {"different-lists", test_different_lists},
            {"extended", test_extended},
        };

        for (size_t k = 0; k < G_N_ELEMENTS(cases); k++) {
            g_autofree char *path =
                g_strdup_printf("/warmup/%s/%zu", cases[k].name, counts[i]);

            g_test_add_data_func(path, count, cases[k].test);
        }
    }
    g_test_add_func("/warmup/named-limit", test_named_limit);
    g_test_add_func("/warmup/absent-limit", test_absent_limit);
    return g_test_run();
}
