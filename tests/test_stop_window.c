#include <glib.h>

#include "StopWindow.h"

#define STOP_US (5700 * MICROS_PER_MS)
#define LONG_US (8 * MICROS_PER_S)

typedef struct Fixture_ {
    Clock *clock;
    StopWindow *window;
} Fixture;

static void
set_up(Fixture *f, gconstpointer data)
{
    f->clock = Clock_CreateManual(MICROS_PER_S, 0);
    f->window = StopWindow_Create(f->clock);
}

static void
tear_down(Fixture *f, gconstpointer data)
{
    StopWindow_Destroy(f->window);
    Clock_Destroy(f->clock);
}

static void
stop(Fixture *f)
{
    StopWindow_Begin(f->window, Clock_Now(f->clock) + STOP_US);
}

static bool
fits(const Fixture *f, Micros left, Micros expected, bool idempotent)
{
    StopRequest request = {Clock_Now(f->clock) + left, expected, idempotent};

    return StopWindow_Fits(f->window, &request);
}

/* Guards against refusals by a host that runs on. */
static void
test_running(Fixture *f, gconstpointer data)
{
    g_assert_true(fits(f, 100 * MICROS_PER_S, 0, false));
    g_assert_true(fits(f, 100 * MICROS_PER_S, 0, true));
}

/* Guards against taking a request that the end of the process may cut. */
static void
test_deadline_after_end(Fixture *f, gconstpointer data)
{
    stop(f);
    g_assert_false(fits(f, STOP_US, MICROS_PER_MS, false));
    g_assert_false(fits(f, STOP_US, 0, true));
    g_assert_true(fits(f, STOP_US - 100 * MICROS_PER_MS, 0, false));
    Clock_Advance(f->clock, MICROS_PER_S);
    g_assert_false(
        fits(f, STOP_US - 1000 * MICROS_PER_MS, MICROS_PER_MS, false));
    g_assert_true(fits(f, STOP_US - 1100 * MICROS_PER_MS, 0, false));
    Clock_Advance(f->clock, STOP_US);
    g_assert_false(fits(f, MICROS_PER_MS, MICROS_PER_MS, true));
}

/* Guards against refusing requests that end in time, while callers still come. */
static void
test_short_timeouts(Fixture *f, gconstpointer data)
{
    stop(f);
    Clock_Advance(f->clock, 2500 * MICROS_PER_MS);
    g_assert_true(fits(f, 2500 * MICROS_PER_MS, 0, false));
    g_assert_true(fits(f, 2500 * MICROS_PER_MS, 0, true));
}

/* Guards against refusing short idempotent requests for their long timeout, and
 * against taking them late or when little is known of them. */
static void
test_expected_work(Fixture *f, gconstpointer data)
{
    stop(f);
    g_assert_true(fits(f, LONG_US, 500 * MICROS_PER_MS, true));
    g_assert_false(fits(f, LONG_US, 600 * MICROS_PER_MS, true));
    g_assert_false(fits(f, LONG_US, 0, true));
    Clock_Advance(f->clock, STOP_US / 2 - 1);
    g_assert_true(fits(f, LONG_US, 200 * MICROS_PER_MS, true));
    g_assert_false(fits(f, LONG_US, 300 * MICROS_PER_MS, true));
    Clock_Advance(f->clock, 1);
    g_assert_false(fits(f, LONG_US, MICROS_PER_MS, true));
}

#define ADD(path, test)                                                       \
    g_test_add("/stop-window/" path, Fixture, NULL, set_up, test, tear_down)

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    ADD("running", test_running);
    ADD("deadline-after-end", test_deadline_after_end);
    ADD("short-timeouts", test_short_timeouts);
    ADD("expected-work", test_expected_work);
    return g_test_run();
}
