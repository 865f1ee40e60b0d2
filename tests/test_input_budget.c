#include <glib.h>

#include "InputBudget.h"

#define TOTAL 1000
#define MOST 1500
#define RESERVE 200
#define SMALL 50
#define LARGE_MAX (TOTAL - RESERVE)

typedef struct Fixture_ {
    Clock *clock;
    InputBudget *budget;
} Fixture;

static Fixture
create(void)
{
    static const InputBudgetOptions options = {
        .total_bytes = TOTAL,
        .most_bytes = MOST,
        .reserve_bytes = RESERVE,
        .small_bytes = SMALL,
    };
    Fixture f;

    f.clock = Clock_CreateManual(0, 0);
    f.budget = InputBudget_Create(&options, f.clock);
    return f;
}

static void
destroy(Fixture *f)
{
    g_assert_cmpuint(InputBudget_UsedBytes(f->budget), ==, 0);
    InputBudget_Destroy(f->budget);
    Clock_Destroy(f->clock);
}

static InputShare *
open_share(Fixture *f, InputState state, size_t bytes)
{
    InputShare *share = InputBudget_Open(f->budget, NULL);

    InputShare_SetState(share, state);
    g_assert_true(InputShare_Hold(share, bytes));
    return share;
}

/* Guards against a caller that is ended while there is room, and against one that
 * is charged for what it has only announced. */
static void
test_calm(void)
{
    Fixture f = create();
    InputShare *body = open_share(&f, INPUT_BODY, 1);

    for (size_t bytes = 1; bytes <= LARGE_MAX; bytes++) {
        Clock_Advance(f.clock, MICROS_PER_S);
        g_assert_true(InputShare_Hold(body, bytes));
    }
    g_assert_true(InputBudget_Fits(f.budget, LARGE_MAX));
    g_assert_false(InputBudget_Fits(f.budget, LARGE_MAX + 1));
    g_assert_true(InputBudget_Fits(f.budget, -1));
    InputShare_Close(body);
    destroy(&f);
}

/* Guards against a host with little memory that takes none of the largest bodies
 * that are allowed, and against one that takes more than it has. */
static void
test_largest(void)
{
    Fixture f = create();

    InputBudget_SetLargest(f.budget, 1100);
    g_assert_true(InputBudget_Fits(f.budget, 1100));
    g_assert_false(InputBudget_Fits(f.budget, 1100 + SMALL + 1));
    InputBudget_SetLargest(f.budget, MOST);
    g_assert_true(InputBudget_Fits(f.budget, MOST - RESERVE));
    g_assert_false(InputBudget_Fits(f.budget, MOST - RESERVE + 1));
    InputBudget_SetLargest(f.budget, 10);
    g_assert_true(InputBudget_Fits(f.budget, LARGE_MAX));
    g_assert_false(InputBudget_Fits(f.budget, LARGE_MAX + 1));
    destroy(&f);
}

/* Guards against two large bodies that wait for each other's memory, and against
 * new ones that end each one before it is complete. */
static void
test_bodies_at_once(void)
{
    Fixture f = create();
    InputShare *first = open_share(&f, INPUT_BODY, 400);
    InputShare *second;

    Clock_Advance(f.clock, 1);
    second = open_share(&f, INPUT_BODY, 400);
    g_assert_false(InputShare_Hold(first, 401));
    g_assert_true(InputShare_Victim(first, 401) == second);
    g_assert_false(InputShare_Hold(second, 401));
    g_assert_true(InputShare_Victim(second, 401) == second);
    InputShare_Close(second);
    g_assert_true(InputShare_Hold(first, LARGE_MAX));
    InputShare_Close(first);
    destroy(&f);
}

/* Guards against a caller that holds memory by sending a byte now and then. */
static void
test_trickling_body(void)
{
    Fixture f = create();
    InputShare *trickling = open_share(&f, INPUT_HEAD, 10);
    InputShare *other, *small;

    InputShare_SetState(trickling, INPUT_BODY);
    Clock_Advance(f.clock, MICROS_PER_S);
    small = open_share(&f, INPUT_BODY, SMALL);
    g_assert_true(InputShare_Hold(trickling, 700));
    for (int i = 0; i < 40; i++) {
        Clock_Advance(f.clock, 100 * MICROS_PER_MS);
        InputShare_SetState(trickling, INPUT_BODY);
        g_assert_true(InputShare_Hold(trickling, 701 + (size_t)i));
    }
    other = open_share(&f, INPUT_BODY, 1);
    g_assert_false(InputShare_Hold(other, 300));
    g_assert_true(InputShare_Victim(other, 300) == trickling);
    InputShare_Close(trickling);
    g_assert_true(InputShare_Hold(other, 300));
    InputShare_Close(other);
    InputShare_Close(small);
    destroy(&f);
}

/* Guards against ordinary requests that are refused because large bodies take
 * all memory. */
static void
test_reserve(void)
{
    Fixture f = create();
    InputShare *large = open_share(&f, INPUT_COMPLETE, LARGE_MAX);
    InputShare *small[RESERVE / SMALL];
    InputShare *other = InputBudget_Open(f.budget, NULL);

    for (size_t i = 0; i < G_N_ELEMENTS(small); i++) {
        small[i] = open_share(&f, INPUT_COMPLETE, SMALL);
    }
    InputShare_SetState(other, INPUT_HEAD);
    g_assert_false(InputShare_Hold(other, 1));
    g_assert_true(InputShare_Victim(other, 1) == other);
    InputShare_SetState(other, INPUT_COMPLETE);
    g_assert_null(InputShare_Victim(other, 1));
    InputShare_Force(other, 1);
    g_assert_cmpuint(InputBudget_UsedBytes(f.budget), ==, TOTAL + 1);
    g_assert_true(InputShare_Hold(large, SMALL + 1));
    g_assert_true(InputShare_Hold(other, SMALL));
    for (size_t i = 0; i < G_N_ELEMENTS(small); i++) {
        InputShare_Close(small[i]);
    }
    InputShare_Close(large);
    InputShare_Close(other);
    destroy(&f);
}

/* Guards against small requests that are ended while a large one could be, and
 * against many small ones that keep out all others. */
static void
test_small_requests(void)
{
    Fixture f = create();
    InputShare *small[TOTAL / SMALL];
    InputShare *other = InputBudget_Open(f.budget, NULL);

    for (size_t i = 0; i < G_N_ELEMENTS(small); i++) {
        small[i] = open_share(&f, INPUT_BODY, SMALL);
        Clock_Advance(f.clock, MICROS_PER_S);
    }
    InputShare_SetState(other, INPUT_HEAD);
    g_assert_true(InputShare_Victim(other, SMALL) == small[0]);
    g_assert_true(InputShare_Victim(other, SMALL + 1) == small[0]);
    InputShare_Force(small[7], SMALL + 1);
    g_assert_true(InputShare_Victim(other, SMALL) == small[7]);
    for (size_t i = 0; i < G_N_ELEMENTS(small); i++) {
        InputShare_Close(small[i]);
    }
    InputShare_Close(other);
    destroy(&f);
}

/* Guards against small requests that stand still and keep larger ones out, and
 * against one that is ended for a larger one while it moves or is in the
 * reserve. */
static void
test_standing_requests(void)
{
    Fixture f = create();
    InputShare *small[TOTAL / SMALL];
    InputShare *large = InputBudget_Open(f.budget, NULL);
    size_t n = G_N_ELEMENTS(small);

    for (size_t i = 0; i < n; i++) {
        small[i] = open_share(&f, INPUT_BODY, SMALL);
    }
    InputShare_SetState(large, INPUT_BODY);
    g_assert_true(InputShare_Victim(large, SMALL + 1) == large);
    Clock_Advance(f.clock, 2 * MICROS_PER_S);
    InputShare_SetState(small[0], INPUT_COMPLETE);
    g_assert_true(InputShare_Victim(large, SMALL + 1) == small[1]);
    for (size_t i = RESERVE / SMALL; i < n; i++) {
        InputShare_Close(small[i]);
    }
    g_assert_true(InputShare_Victim(large, SMALL + 1) == large);
    for (size_t i = 0; i < RESERVE / SMALL; i++) {
        InputShare_Close(small[i]);
    }
    InputShare_Close(large);
    destroy(&f);
}

/* Guards against callers that take no response and keep all memory, and against
 * one that is cut off from a response that it has just begun to read. */
static void
test_unread_responses(void)
{
    Fixture f = create();
    InputShare *unread = open_share(&f, INPUT_UNREAD, 700);
    InputShare *body = open_share(&f, INPUT_BODY, 100);

    g_assert_true(InputShare_Victim(body, 101) == body);
    g_assert_true(InputShare_Victim(unread, 900) == body);
    InputShare_SetState(body, INPUT_COMPLETE);
    g_assert_null(InputShare_Victim(unread, 900));
    InputShare_SetState(body, INPUT_BODY);
    Clock_Advance(f.clock, 2 * MICROS_PER_S);
    g_assert_true(InputShare_Victim(body, 101) == unread);
    InputShare_Close(unread);
    InputShare_Close(body);
    destroy(&f);
}

/* Guards against a connection with a request at an upstream that is closed for a
 * new one, and against new ones that are closed before their request arrives. */
static void
test_least_useful(void)
{
    Fixture f = create();
    InputShare *complete = open_share(&f, INPUT_COMPLETE, 1);
    InputShare *body = open_share(&f, INPUT_BODY, 1);
    InputShare *head, *idle, *young;

    Clock_Advance(f.clock, MICROS_PER_S);
    head = open_share(&f, INPUT_HEAD, 1);
    Clock_Advance(f.clock, MICROS_PER_S);
    idle = open_share(&f, INPUT_IDLE, 0);
    young = open_share(&f, INPUT_IDLE, 0);
    g_assert_true(InputBudget_LeastUseful(f.budget) == head);
    Clock_Advance(f.clock, MICROS_PER_S);
    InputShare_SetState(young, INPUT_HEAD);
    g_assert_true(InputBudget_LeastUseful(f.budget) == idle);
    InputShare_Close(idle);
    g_assert_true(InputBudget_LeastUseful(f.budget) == head);
    InputShare_Close(head);
    g_assert_true(InputBudget_LeastUseful(f.budget) == body);
    InputShare_Close(body);
    g_assert_true(InputBudget_LeastUseful(f.budget) == young);
    InputShare_Close(young);
    g_assert_null(InputBudget_LeastUseful(f.budget));
    InputShare_Close(complete);
    destroy(&f);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/input-budget/calm", test_calm);
    g_test_add_func("/input-budget/largest", test_largest);
    g_test_add_func("/input-budget/bodies-at-once", test_bodies_at_once);
    g_test_add_func("/input-budget/trickling-body", test_trickling_body);
    g_test_add_func("/input-budget/reserve", test_reserve);
    g_test_add_func("/input-budget/small-requests", test_small_requests);
    g_test_add_func("/input-budget/standing-requests", test_standing_requests);
    g_test_add_func("/input-budget/unread-responses", test_unread_responses);
    g_test_add_func("/input-budget/least-useful", test_least_useful);
    return g_test_run();
}
