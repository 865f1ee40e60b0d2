#include <glib.h>
#include <string.h>

#include "HostRoster.h"

typedef struct Fixture_ {
    Clock *clock;
    HostRoster *roster;
} Fixture;

static void
set_up(Fixture *f, gconstpointer first_start)
{
    f->clock = Clock_CreateManual(MICROS_PER_S, 0);
    f->roster = HostRoster_Create(STR("b"), first_start != NULL, f->clock);
}

static void
tear_down(Fixture *f, gconstpointer data)
{
    HostRoster_Destroy(f->roster);
    Clock_Destroy(f->clock);
}

/* Reads a list of single-letter ids, all at the same offset. */
static void
read_list(Fixture *f, const char *ids, uint64_t offset)
{
    HostRoster_BeginList(f->roster);
    for (const char *id = ids; *id != '\0'; id++) {
        HostRoster_PutEntry(f->roster, (Str){id, 1}, offset);
    }
    HostRoster_EndList(f->roster);
}

static void
assert_live(const Fixture *f, const char *ids)
{
    for (char id = 'a'; id <= 'z'; id++) {
        char text[] = {id, '\0'};

        g_assert_cmpint(HostRoster_IsLive(f->roster, Str_FromC(text)), ==,
                        strchr(ids, id) != NULL);
    }
}

static size_t
removable_count(const Fixture *f)
{
    GArray *ids = g_array_new(FALSE, FALSE, sizeof(Str));
    size_t n;

    HostRoster_Removable(f->roster, ids);
    n = ids->len;
    g_array_free(ids, TRUE);
    return n;
}

static void
pass(Fixture *f, Micros time)
{
    Clock_Advance(f->clock, time);
}

/* Reads the same list every minute for that long. */
static void
reread(Fixture *f, const char *ids, Micros time)
{
    for (Micros passed = 0; passed < time; passed += HOST_LIST_INTERVAL_US) {
        pass(f, HOST_LIST_INTERVAL_US);
        read_list(f, ids, 1);
    }
}

/* Guards against parts of limits that are left to hosts that are gone. */
static void
test_gone_host(Fixture *f, gconstpointer data)
{
    read_list(f, "bc", 1);
    assert_live(f, "bc");
    reread(f, "bc", 6 * HOST_LIST_INTERVAL_US);
    assert_live(f, "b");
    g_assert_cmpuint(removable_count(f), ==, 1);
}

/* Guards against taking a host for gone that renews its entry. */
static void
test_renewed_host(Fixture *f, gconstpointer data)
{
    read_list(f, "bc", 1);
    reread(f, "bc", 4 * HOST_LIST_INTERVAL_US);
    read_list(f, "bc", 2);
    pass(f, HOST_LIST_INTERVAL_US);
    read_list(f, "bc", 2);
    pass(f, HOST_LIST_INTERVAL_US);
    assert_live(f, "bc");
    g_assert_cmpuint(removable_count(f), ==, 0);
}

/* Guards against hosts that all take themselves for the only one after an
 * outage of the store, in which nobody could renew an entry. */
static void
test_outage(Fixture *f, gconstpointer data)
{
    read_list(f, "abc", 1);
    for (int i = 0; i < 20; i++) {
        pass(f, HOST_LIST_INTERVAL_US);
        HostRoster_OnReadFailure(f->roster);
    }
    assert_live(f, "abc");
    read_list(f, "abc", 1);
    assert_live(f, "abc");
    pass(f, HOST_LIST_INTERVAL_US);
    read_list(f, "b", 1);
    assert_live(f, "abc");
    reread(f, "b", 3 * HOST_LIST_INTERVAL_US);
    assert_live(f, "b");
}

/* Guards against two hosts that remove entries at the same time. */
static void
test_one_removes(Fixture *f, gconstpointer data)
{
    read_list(f, "abc", 1);
    for (int i = 0; i < 6; i++) {
        pass(f, HOST_LIST_INTERVAL_US);
        HostRoster_BeginList(f->roster);
        HostRoster_PutEntry(f->roster, STR("a"), (uint64_t)i + 2);
        HostRoster_PutEntry(f->roster, STR("b"), (uint64_t)i + 2);
        HostRoster_PutEntry(f->roster, STR("c"), 1);
        HostRoster_EndList(f->roster);
    }
    assert_live(f, "ab");
    g_assert_cmpuint(removable_count(f), ==, 0);
}

/* Guards against a new host that takes a part before the others know of it. */
static void
test_known_from(Fixture *f, gconstpointer first_start)
{
    read_list(f, "a", 1);
    g_assert_cmpint(HostRoster_KnownFrom(f->roster), ==, INT64_MAX);
    pass(f, MICROS_PER_S);
    read_list(f, "ab", 2);
    if (first_start != NULL) {
        g_assert_cmpint(HostRoster_KnownFrom(f->roster), <=,
                        Clock_Now(f->clock));
    }
    else {
        g_assert_cmpint(HostRoster_KnownFrom(f->roster), >=,
                        Clock_Now(f->clock) + HOST_LIST_INTERVAL_US);
    }
}

/* Guards against a restarted host that waits although all know of it. */
static void
test_restart(Fixture *f, gconstpointer data)
{
    read_list(f, "ab", 1);
    g_assert_cmpint(HostRoster_KnownFrom(f->roster), <=, Clock_Now(f->clock));
}

/* Guards against entries that expire because nobody renews them. */
static void
test_renewal(Fixture *f, gconstpointer data)
{
    read_list(f, "b", 1);
    g_assert_false(HostRoster_NeedsRenewal(f->roster));
    reread(f, "b", 2 * HOST_LIST_INTERVAL_US);
    g_assert_true(HostRoster_NeedsRenewal(f->roster));
    read_list(f, "b", 2);
    g_assert_false(HostRoster_NeedsRenewal(f->roster));
}

/* Guards against a host that never renews its entry because it sometimes cannot
 * read the list, and counts as gone at the others. */
static void
test_renewal_with_failures(Fixture *f, gconstpointer data)
{
    read_list(f, "b", 1);
    for (int i = 0; i < 2; i++) {
        reread(f, "b", HOST_LIST_INTERVAL_US);
        HostRoster_OnReadFailure(f->roster);
    }
    g_assert_true(HostRoster_NeedsRenewal(f->roster));
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add("/host-roster/gone-host", Fixture, NULL, set_up, test_gone_host,
               tear_down);
    g_test_add("/host-roster/renewed-host", Fixture, NULL, set_up,
               test_renewed_host, tear_down);
    g_test_add("/host-roster/outage", Fixture, NULL, set_up, test_outage,
               tear_down);
    g_test_add("/host-roster/one-removes", Fixture, NULL, set_up,
               test_one_removes, tear_down);
    g_test_add("/host-roster/known-from", Fixture, NULL, set_up,
               test_known_from, tear_down);
    g_test_add("/host-roster/known-from-first-start", Fixture,
               GINT_TO_POINTER(1), set_up, test_known_from, tear_down);
    g_test_add("/host-roster/restart", Fixture, NULL, set_up, test_restart,
               tear_down);
    g_test_add("/host-roster/renewal", Fixture, NULL, set_up, test_renewal,
               tear_down);
    g_test_add("/host-roster/renewal-with-failures", Fixture, NULL, set_up,
               test_renewal_with_failures, tear_down);
    return g_test_run();
}
