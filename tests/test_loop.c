#include <glib.h>
#include <glib/gstdio.h>
#include <sys/socket.h>
#include <unistd.h>

#include "Loop.h"

typedef struct Fixture_ {
    Clock *clock;
    Loop *loop;
    LoopTimer *timer;
    LoopTask *task;
    LoopIo *io;
    int pair[2];
    unsigned timer_runs; /* calls of on_timer() */
    unsigned task_runs;  /* calls of on_task() */
} Fixture;

static void
on_timer(void *user)
{
    Fixture *f = user;

    f->timer_runs++;
}

static void
on_task(void *user)
{
    Fixture *f = user;

    f->task_runs++;
    if (f->task_runs < 3) {
        LoopTask_Schedule(f->task);
    }
}

static void
on_io(void *user, unsigned events)
{
    Fixture *f = user;

    if ((events & LOOP_IO_CLOSING) != 0) {
        LoopTimer_Destroy(f->timer);
        f->timer = NULL;
        LoopIo_Destroy(f->io);
        f->io = NULL;
    }
}

static void
set_up(Fixture *f, gconstpointer data)
{
    f->clock = Clock_CreateSystem();
    f->loop = Loop_Create(f->clock, NULL, NULL);
    g_assert_nonnull(f->loop);
    f->timer = LoopTimer_Create(f->loop, on_timer, f);
    f->task = LoopTask_Create(f->loop, on_task, f);
    g_assert_cmpint(socketpair(AF_UNIX, SOCK_STREAM, 0, f->pair), ==, 0);
    f->io = LoopIo_Create(f->loop, f->pair[0], on_io, f);
    LoopIo_SetEvents(f->io, LOOP_IO_READ);
}

static void
tear_down(Fixture *f, gconstpointer data)
{
    Loop_Close(f->loop);
    LoopTask_Destroy(f->task);
    LoopTimer_Destroy(f->timer);
    Loop_Destroy(f->loop);
    close(f->pair[0]);
    close(f->pair[1]);
    Clock_Destroy(f->clock);
}

/* Guards against a timer that is released while the loop closes but is still
 * active in libev: hosts ended with SIGABRT or SIGSEGV after their drain. */
static void
test_destroy_while_closing(Fixture *f, gconstpointer data)
{
    LoopTimer_Start(f->timer, 1);
    Loop_Close(f->loop);
    g_assert_null(f->timer);
    g_assert_cmpuint(f->timer_runs, ==, 0);
}

/* Guards against tasks that wait for the next socket or timer event. */
static void
test_tasks(Fixture *f, gconstpointer data)
{
    LoopTask_Schedule(f->task);
    LoopTimer_Start(f->timer, 1000);
    Loop_RunOnce(f->loop);
    g_assert_cmpuint(f->task_runs, ==, 3);
}

static void
set_skew(const char *path, const char *micros)
{
    g_assert_true(g_file_set_contents(path, micros, -1, NULL));
}

/* Guards against timers that use the wall clock: a timer that was started
 * right after the clock stepped forward by an hour fired an hour late, so a
 * host did not end its drain. The test runs with the library of skewed-clock.c
 * preloaded. */
static void
test_clock_step(Fixture *f, gconstpointer data)
{
    g_autofree char *path =
        g_strdup_printf("%s/test_loop-%d", g_get_tmp_dir(), (int)getpid());
    Micros end = Clock_Now(f->clock) + 10 * MICROS_PER_S;
    Micros before;

    set_skew(path, "0");
    g_setenv("SKEW_FILE", path, TRUE);
    before = Clock_Wall(f->clock);
    LoopTask_Schedule(f->task);
    Loop_RunOnce(f->loop);
    set_skew(path, "3600000000");
    g_assert_cmpint(Clock_Wall(f->clock) - before, >, 3500 * MICROS_PER_S);
    LoopTimer_Start(f->timer, 10 * MICROS_PER_MS);
    while (f->timer_runs == 0 && Clock_Now(f->clock) < end) {
        LoopTask_Schedule(f->task); /* keeps the iteration from waiting */
        Loop_RunOnce(f->loop);
    }
    g_unsetenv("SKEW_FILE");
    g_unlink(path);
    g_assert_cmpuint(f->timer_runs, ==, 1);
}

#define ADD(path, test)                                                       \
    g_test_add(path, Fixture, NULL, set_up, test, tear_down)

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    ADD("/loop/destroy-while-closing", test_destroy_while_closing);
    ADD("/loop/tasks", test_tasks);
    ADD("/loop/clock-step", test_clock_step);
    return g_test_run();
}
