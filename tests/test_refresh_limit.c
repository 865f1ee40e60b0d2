#include <glib.h>

#include "RefreshLimit.h"

#define MINUTE_US (60 * MICROS_PER_S)
#define STEP_US (50 * MICROS_PER_MS)
#define MINUTES 10
#define ALL_MAX_PER_MINUTE 18
#define HOST_MAX_PER_MINUTE 9

typedef struct Fixture_ {
    Clock *clock;
    RefreshLimit *limit;
    unsigned claims;
} Fixture;

static void
set_up(Fixture *f, gconstpointer data)
{
    f->clock = Clock_CreateManual(MICROS_PER_S, 0);
    f->limit = RefreshLimit_Create(f->clock);
}

static void
tear_down(Fixture *f, gconstpointer data)
{
    RefreshLimit_Destroy(f->limit);
    Clock_Destroy(f->clock);
}

/* Takes as many tokens as there are, for one id or for another one each time.
 * Returns their number. */
static unsigned
take_all(Fixture *f, bool one_id)
{
    unsigned taken = 0;

    for (int i = 0; i < 40; i++) {
        g_autofree char *id = g_strdup_printf("x%u", f->claims++);

        taken +=
            RefreshLimit_Take(f->limit, one_id ? STR("x") : Str_FromC(id));
    }
    return taken;
}

/* Takes tokens all the time. Returns the most in a minute, and the number in all
 * of them. */
static unsigned
take_for_minutes(Fixture *f, bool one_id, unsigned *sum)
{
    unsigned counts[MINUTE_US / STEP_US] = {0};
    unsigned in_window = 0, most = 0;

    *sum = 0;
    for (unsigned i = 0; i < MINUTES * G_N_ELEMENTS(counts); i++) {
        unsigned *count = &counts[i % G_N_ELEMENTS(counts)];

        in_window -= *count;
        *count = take_all(f, one_id);
        in_window += *count;
        *sum += *count;
        most = MAX(most, in_window);
        Clock_Advance(f->clock, STEP_US);
    }
    return most;
}

/* Guards against readings of the list without bound while forged keys or ids
 * come in. */
static void
test_many_ids(Fixture *f, gconstpointer data)
{
    unsigned sum, most = take_for_minutes(f, false, &sum);

    g_assert_cmpuint(most, <=, ALL_MAX_PER_MINUTE);
    g_assert_cmpuint(sum, <=, MINUTES * 12 + 6);
    g_assert_cmpuint(sum, >=, MINUTES * 12);
}

static void
test_one_id(Fixture *f, gconstpointer data)
{
    unsigned sum, most = take_for_minutes(f, true, &sum);

    g_assert_cmpuint(most, <=, HOST_MAX_PER_MINUTE);
    g_assert_cmpuint(sum, <=, MINUTES * 6 + 3);
}

/* Guards against a restarted host that is not read because another one is denied
 * all the time. */
static void
test_other_id(Fixture *f, gconstpointer data)
{
    for (int i = 0; i < 1000; i++) {
        take_all(f, true);
        Clock_Advance(f->clock, STEP_US);
    }
    take_all(f, true);
    for (int i = 0; i < 3; i++) {
        g_assert_true(RefreshLimit_Take(f->limit, STR("y")));
    }
    g_assert_false(RefreshLimit_Take(f->limit, STR("y")));
    g_assert_false(RefreshLimit_Take(f->limit, STR("x")));
}

/* Guards against a host that restarts several times in a row and is not read
 * after the last time, and against a limit on all hosts that this evades. */
static void
test_confirmed(Fixture *f, gconstpointer data)
{
    for (int i = 0; i < 6; i++) {
        g_assert_true(RefreshLimit_Take(f->limit, STR("x")));
        RefreshLimit_Confirm(f->limit, STR("x"));
    }
    g_assert_false(RefreshLimit_Take(f->limit, STR("x")));
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
#define ADD(name, test)                                                       \
    g_test_add("/refresh-limit/" name, Fixture, NULL, set_up, test, tear_down)
    ADD("many-ids", test_many_ids);
    ADD("one-id", test_one_id);
    ADD("other-id", test_other_id);
    ADD("confirmed", test_confirmed);
    return g_test_run();
}
