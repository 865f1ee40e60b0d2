#include <glib.h>

#include "DueSet.h"
#include "Endpoint.h"
#include "QuarantineRecord.h"
#include "Random.h"
#include "RetryWindow.h"
#include "RouteTable.h"
#include "UpstreamSet.h"

#define SEED 5
#define OWN_DOMAIN 0
#define GRACE_US (1800 * MICROS_PER_MS)

/* ---- routes --------------------------------------------------------- */

static const RoutePart one_part[] = {{{"desk", 4}, 1}};

static Route
route(const char *host, const char *prefix)
{
    return (Route){
        .name = Str_FromC(prefix),
        .host = Str_FromC(host),
        .prefix = Str_FromC(prefix),
        .timeout = MICROS_PER_S,
        .attempts_max = 1,
        .parts = one_part,
        .part_count = 1,
    };
}

static RouteTable *
table_of(const char *const (*routes)[2], size_t count)
{
    CallerLimits limits = {0};
    RouteTable *table = RouteTable_Create(1, &limits);

    for (size_t i = 0; i < count; i++) {
        Route one = route(routes[i][0], routes[i][1]);

        g_assert_cmpint(RouteTable_Add(table, &one, NULL), ==, 0);
    }
    return table;
}

/* Guards against choosing a route of another host, or one whose prefix is not
 * the longest. */
static void
test_find_route(void)
{
    static const char *const routes[][2] = {
        {"a.example", "/x/"}, {"a.example", "/x/y/"}, {"b.example", "/"}};
    static const struct {
        const char *host;
        const char *path;
        const char *found;
    } cases[] = {
        {"a.example", "/x/1", "/x/"},   {"a.example", "/x/y/1?q=/z/", "/x/y/"},
        {"A.Example:80", "/x/", "/x/"}, {"a.example", "/x", NULL},
        {"a.example", "/xy/", NULL},    {"b.example", "/anything", "/"},
        {"c.example", "/x/", NULL},     {"", "", NULL},
    };
    RouteTable *table = table_of(routes, G_N_ELEMENTS(routes));

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        const Route *found = RouteTable_Find(table, Str_FromC(cases[i].host),
                                             Str_FromC(cases[i].path));

        g_test_message("%s%s", cases[i].host, cases[i].path);
        g_assert_true((found != NULL) == (cases[i].found != NULL));
        if (found != NULL) {
            g_assert_true(Str_Equal(found->prefix, Str_FromC(cases[i].found)));
        }
    }
    RouteTable_Unref(table);
}

/* Guards against accepting routes that cannot be served. */
static void
test_reject_route(void)
{
    static const char *const routes[][2] = {{"a", "/x/"}};
    RouteTable *table = table_of(routes, 1);
    Route invalid[] = {route("", "/y/"), route("a", "y/"), route("a", "/y"),
                       route("a", "/z/"), route("a", "/w/")};
    Route duplicate = route("A", "/x/");

    invalid[3].timeout = 0;
    invalid[4].attempts_max = 0;
    for (size_t i = 0; i < G_N_ELEMENTS(invalid); i++) {
        g_assert_cmpint(RouteTable_Add(table, &invalid[i], NULL), ==,
                        ERR_INVALID);
    }
    g_assert_cmpint(RouteTable_Add(table, &duplicate, NULL), ==, ERR_CONFLICT);
    g_assert_cmpuint(RouteTable_Count(table), ==, 1);
    RouteTable_Unref(table);
}

/* Guards against a traffic split that does not follow its weights. */
static void
test_split(void)
{
    static const RoutePart parts[] = {
        {{"a", 1}, 90}, {{"b", 1}, 0}, {{"c", 1}, 10}};
    Route split = {.parts = parts, .part_count = 3};
    int counts[3] = {0};

    for (int i = 0; i < 1000; i++) {
        counts[Route_Pick(&split, i / 1000.0) - parts]++;
    }
    g_assert_cmpint(counts[0], ==, 900);
    g_assert_cmpint(counts[1], ==, 0);
    g_assert_cmpint(counts[2], ==, 100);
}

/* ---- retries -------------------------------------------------------- */

#define WINDOW_US (10 * MICROS_PER_S)

/* Guards against more retries in any window than the share of its requests
 * allows, while requests come in bursts. */
static void
test_retry_window(void)
{
    RetryWindowOptions options = {
        .window = WINDOW_US, .share = 0.2, .extra = 3};
    Clock *clock = Clock_CreateManual(7 * MICROS_PER_S, 0);
    RetryWindow *window =
        RetryWindow_Create(&options, Clock_Now(clock), clock);
    Random *random = Random_Create(5);
    GArray *requests = g_array_new(FALSE, FALSE, sizeof(Micros));
    GArray *retries = g_array_new(FALSE, FALSE, sizeof(Micros));

    for (int i = 0; i < 6000; i++) {
        Micros now = Clock_Now(clock);
        bool busy = now / (4 * MICROS_PER_S) % 2 == 0;

        if (busy) {
            RetryWindow_OnRequest(window);
            g_array_append_val(requests, now);
        }
        if (RetryWindow_Take(window)) {
            g_array_append_val(retries, now);
        }
        Clock_Advance(clock, (Micros)Random_Below(random, 20000));
    }
    for (guint i = 0; i < retries->len; i++) {
        Micros start = g_array_index(retries, Micros, i);
        double requested = 0, retried = 0;

        /* Requests in the window or in the half window before it. */
        for (guint k = 0; k < requests->len; k++) {
            Micros at = g_array_index(requests, Micros, k);

            requested += at >= start - WINDOW_US / 2 && at < start + WINDOW_US;
        }
        for (guint k = i; k < retries->len; k++) {
            retried += g_array_index(retries, Micros, k) < start + WINDOW_US;
        }
        g_assert_cmpfloat(retried, <=, 0.2 * requested + 3);
    }
    g_assert_cmpuint(retries->len, >, requests->len / 10);
    g_array_free(requests, TRUE);
    g_array_free(retries, TRUE);
    Random_Destroy(random);
    RetryWindow_Destroy(window);
    Clock_Destroy(clock);
}

static unsigned
take_all(RetryWindow *window)
{
    unsigned n = 0;

    while (RetryWindow_Take(window)) {
        n++;
    }
    return n;
}

/* Guards against retries that requests of seconds ago allow, and against hosts
 * with few requests that never retry. */
static void
test_retry_of_old_requests(void)
{
    RetryWindowOptions options = {
        .window = WINDOW_US, .share = 0.2, .extra = 0.3};
    Clock *clock = Clock_CreateManual(7 * MICROS_PER_S, 0);
    RetryWindow *window =
        RetryWindow_Create(&options, Clock_Now(clock), clock);

    for (int i = 0; i < 100; i++) {
        RetryWindow_OnRequest(window);
    }
    Clock_Advance(clock, WINDOW_US / 5);
    g_assert_cmpuint(take_all(window), ==, 1);
    Clock_Advance(clock, 3 * WINDOW_US);
    for (int i = 0; i < 5; i++) {
        RetryWindow_OnRequest(window);
        Clock_Advance(clock, WINDOW_US / 10);
    }
    g_assert_cmpuint(take_all(window), ==, 1);
    RetryWindow_Destroy(window);
    Clock_Destroy(clock);
}

/* Guards against a reserved retry that another one uses, and against one that
 * is sent after what allowed it has left the window. */
static void
test_reserved_retry(void)
{
    RetryWindowOptions options = {
        .window = WINDOW_US, .share = 0.2, .extra = 0.3};
    Clock *clock = Clock_CreateManual(7 * MICROS_PER_S, 0);
    RetryWindow *window =
        RetryWindow_Create(&options, Clock_Now(clock), clock);

    for (int i = 0; i < 15; i++) {
        RetryWindow_OnRequest(window);
    }
    g_assert_true(RetryWindow_Reserve(window));
    g_assert_true(RetryWindow_Reserve(window));
    g_assert_cmpuint(take_all(window), ==, 1);
    RetryWindow_Release(window);
    g_assert_cmpuint(take_all(window), ==, 1);
    Clock_Advance(clock, 2 * WINDOW_US);
    g_assert_false(RetryWindow_UseReserved(window));
    for (int i = 0; i < 15; i++) {
        RetryWindow_OnRequest(window);
    }
    g_assert_cmpuint(take_all(window), ==, 3);
    RetryWindow_Destroy(window);
    Clock_Destroy(clock);
}

/* ---- upstreams ------------------------------------------------------ */

typedef struct Fixture_ {
    Clock *clock;
    Random *random;
    NameTable *services;
    NameTable *domains;
    UpstreamLimits *limits;
    Placement *placement;
    UpstreamSet *set;
} Fixture;

static void
set_up(Fixture *f, gconstpointer data)
{
    f->clock = Clock_CreateManual(MICROS_PER_S, 0);
    f->random = Random_Create(1);
    f->services = NameTable_Create();
    f->domains = NameTable_Create();
    f->limits = UpstreamLimits_Create(STR("host-0"), f->clock, f->random);
    f->placement =
        Placement_Create(OWN_DOMAIN, 0, f->limits, f->clock, f->random);
    f->set = UpstreamSet_Create(f->placement, f->services, f->domains,
                                GRACE_US, f->clock, NULL);
}

static void
tear_down(Fixture *f, gconstpointer data)
{
    UpstreamSet_Destroy(f->set);
    Placement_Destroy(f->placement);
    UpstreamLimits_Destroy(f->limits);
    NameTable_Destroy(f->services);
    NameTable_Destroy(f->domains);
    Random_Destroy(f->random);
    Clock_Destroy(f->clock);
}

static UpstreamEntry
entry(const char *id, int64_t started, uint64_t sequence, bool draining)
{
    return (UpstreamEntry){
        .id = Str_FromC(id),
        .started = started,
        .sequence = sequence,
        .service = STR("desk"),
        .address = STR("10.0.0.1"),
        .port = 80,
        .domain = STR("a"),
        .slots = 6,
        .draining = draining,
    };
}

/* Returns the record of the upstream that a request would be sent to, or
 * NULL. */
static const UpstreamRecord *
choose(Fixture *f)
{
    PlacementQuery query = {0};
    PlacementChoice choice;

    return Placement_Choose(f->placement, &query, &choice) == 0
               ? UpstreamSet_Record(f->set, choice.upstream)
               : NULL;
}

/* Guards against an old description that arrives late and undoes a drain. */
static void
test_newest_description(Fixture *f, gconstpointer data)
{
    UpstreamEntry ready = entry("u", 100, 1, false);
    UpstreamEntry draining = entry("u", 100, 2, true);
    UpstreamEntry restarted = entry("u", 200, 1, false);

    g_assert_true(UpstreamSet_Put(f->set, &ready));
    g_assert_nonnull(choose(f));
    g_assert_true(UpstreamSet_Put(f->set, &draining));
    g_assert_null(choose(f));
    g_assert_false(UpstreamSet_Put(f->set, &ready));
    g_assert_null(choose(f));
    g_assert_true(UpstreamSet_Put(f->set, &restarted));
    g_assert_nonnull(choose(f));
    g_assert_false(UpstreamSet_Put(f->set, &draining));
    g_assert_nonnull(choose(f));
    g_assert_cmpuint(UpstreamSet_Count(f->set), ==, 1);
}

/* Guards against reusing the index of an upstream while an attempt still
 * refers to it. */
static void
test_index_reuse(Fixture *f, gconstpointer data)
{
    UpstreamEntry first = entry("u", 100, 1, false);
    UpstreamEntry second = entry("v", 100, 1, false);

    UpstreamSet_Put(f->set, &first);
    UpstreamSet_Acquire(f->set, 0);
    UpstreamSet_Remove(f->set, STR("u"));
    UpstreamSet_Put(f->set, &second);
    g_assert_null(UpstreamSet_Record(f->set, 0));
    UpstreamSet_Release(f->set, 0);
    UpstreamSet_Remove(f->set, STR("v"));
    UpstreamSet_Put(f->set, &first);
    g_assert_nonnull(UpstreamSet_Record(f->set, 0));
}

/* Guards against using an upstream that has left for longer than the grace
 * period, and against removing all upstreams because their entries expired
 * during an outage of the source. */
static void
test_outage_grace(Fixture *f, gconstpointer data)
{
    UpstreamEntry upstream = entry("u", 100, 1, false);

    UpstreamSet_Put(f->set, &upstream);
    UpstreamSet_SetSourceReachable(f->set, false, 0);
    Clock_Advance(f->clock, 10 * MICROS_PER_S);
    UpstreamSet_SetSourceReachable(f->set, true, Clock_Now(f->clock));
    Clock_Advance(f->clock, MICROS_PER_S);
    UpstreamSet_Remove(f->set, STR("u"));
    g_assert_nonnull(choose(f));
    g_assert_cmpint(UpstreamSet_NextTime(f->set), ==,
                    12 * MICROS_PER_S - MICROS_PER_S + GRACE_US);
    /* The source lists it again with an unchanged description. */
    g_assert_true(UpstreamSet_Put(f->set, &upstream));
    Clock_Advance(f->clock, GRACE_US);
    UpstreamSet_OnTime(f->set);
    g_assert_nonnull(choose(f));
    /* After the grace period a removal takes effect at once. */
    UpstreamSet_Remove(f->set, STR("u"));
    g_assert_null(choose(f));
}

/* Guards against using an upstream that left during an outage for too long
 * when the host detects the end of the outage late: the grace period counts
 * from the end itself. */
static void
test_outage_end_detected_late(Fixture *f, gconstpointer data)
{
    UpstreamEntry upstream = entry("u", 100, 1, false);
    Micros since = Clock_Now(f->clock);

    UpstreamSet_Put(f->set, &upstream);
    UpstreamSet_SetSourceReachable(f->set, false, 0);
    Clock_Advance(f->clock, GRACE_US / 2);
    UpstreamSet_SetSourceReachable(f->set, true, since);
    UpstreamSet_Remove(f->set, STR("u"));
    g_assert_nonnull(choose(f));
    g_assert_cmpint(UpstreamSet_NextTime(f->set), ==, since + GRACE_US);
    Clock_Advance(f->clock, GRACE_US / 2);
    UpstreamSet_OnTime(f->set);
    g_assert_null(choose(f));
}

/* Guards against using an upstream again that was removed, because the source
 * has come back from a copy that still lists it. */
static void
test_removed_before_copy(Fixture *f, gconstpointer data)
{
    UpstreamEntry upstream = entry("u", 100, 5, false);

    UpstreamSet_Put(f->set, &upstream);
    UpstreamSet_Remove(f->set, STR("u"));
    upstream.restored = true;
    upstream.sequence = 4;
    g_assert_false(UpstreamSet_Put(f->set, &upstream));
    g_assert_null(choose(f));
    upstream.sequence = 6;
    g_assert_true(UpstreamSet_Put(f->set, &upstream));
    g_assert_nonnull(choose(f));
}

/* Guards against using a removed upstream beyond the grace period. */
static void
test_outage_grace_ends(Fixture *f, gconstpointer data)
{
    UpstreamEntry upstream = entry("u", 100, 1, false);

    UpstreamSet_Put(f->set, &upstream);
    UpstreamSet_SetSourceReachable(f->set, false, 0);
    UpstreamSet_SetSourceReachable(f->set, true, Clock_Now(f->clock));
    Clock_Advance(f->clock, GRACE_US / 2);
    UpstreamSet_Remove(f->set, STR("u"));
    Clock_Advance(f->clock, GRACE_US / 2);
    UpstreamSet_OnTime(f->set);
    g_assert_null(choose(f));
}

/* ---- addresses ------------------------------------------------------ */

static void
test_endpoint(void)
{
    static const struct {
        const char *text;
        int code;
    } cases[] = {
        {"10.0.0.1:80", 0},          {"10.0.0.1", ERR_PARSE},
        {"10.0.0.1:", ERR_PARSE},    {"10.0.0.1:65536", ERR_PARSE},
        {"localhost:1", ERR_PARSE},  {":80", ERR_PARSE},
        {"10.0.0.1:80 ", ERR_PARSE}, {"", ERR_PARSE},
    };
    Endpoint endpoint;

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        g_test_message("%s", cases[i].text);
        g_assert_cmpint(Endpoint_Parse(Str_FromC(cases[i].text), &endpoint),
                        ==, cases[i].code);
    }
}

#define ADD(path, test)                                                       \
    g_test_add(path, Fixture, NULL, set_up, test, tear_down)

/* Guards against losing an entry, or returning it twice, when its time
 * changes. */
static void
test_due_set(void)
{
    DueSet *set = DueSet_Create();
    DueEntry a = {0}, b = {0}, c = {0};

    g_assert_null(DueSet_First(set));
    g_assert_cmpint(DueSet_NextTime(set), ==, -1);
    DueSet_Set(set, &a, 7);
    DueSet_Set(set, &b, 5);
    DueSet_Set(set, &c, 5);
    g_assert_true(DueSet_First(set) == &b);
    DueSet_Set(set, &b, 9);
    g_assert_true(DueSet_First(set) == &c);
    DueSet_Set(set, &c, -1);
    DueSet_Set(set, &c, -1);
    g_assert_true(DueSet_First(set) == &a);
    g_assert_cmpint(DueSet_NextTime(set), ==, 7);
    DueSet_Set(set, &a, -1);
    DueSet_Set(set, &b, -1);
    g_assert_null(DueSet_First(set));
    DueSet_Destroy(set);
}

static int
read_quarantine_record(const char *key, const char *value, Micros wall,
                       QuarantineItem *item)
{
    KeyedRecord record = {.key = Str_FromC(key),
                          .value = Str_FromC(value),
                          .removed = value[0] == '\0'};

    return QuarantineRecord_Read(&record, wall, item);
}

/* Guards against a host that cannot read what another one has written, and
 * against an age that the clock of another host decides. */
static void
test_quarantine_record(void)
{
    QuarantineItem item = {
        .fingerprint = {.high = 0x12, .low = 0xfedcba9876543210},
        .losses = QUARANTINE_LOSSES_MAX,
        .upstreams = {1, 2, 3, 4, 5, UINT32_MAX},
        .age = 7 * MICROS_PER_S,
    };
    QuarantineItem read;
    char key[QUARANTINE_KEY_BYTES], value[QUARANTINE_VALUE_BYTES];
    Micros wall = (Micros)1800000000 * MICROS_PER_S;

    QuarantineRecord_Write(&item, wall, key, value);
    g_assert_cmpint(read_quarantine_record(key, value, -1, &read), ==, 0);
    g_assert_cmpmem(&read, sizeof(read), &item, sizeof(item));
    read_quarantine_record(key, value, wall + 2 * MICROS_PER_S, &read);
    g_assert_cmpint(read.age, ==, 9 * MICROS_PER_S);
    read_quarantine_record(key, value, wall - 3600 * MICROS_PER_S, &read);
    g_assert_cmpint(read.age, ==, 7 * MICROS_PER_S);
    item.losses = 0;
    item.released = true;
    QuarantineRecord_Write(&item, wall, key, value);
    g_assert_cmpint(read_quarantine_record(key, value, -1, &read), ==, 0);
    g_assert_true(read.released && read.losses == 0);
    item.released = false;
    QuarantineRecord_Write(&item, wall, key, value);
    g_assert_cmpstr(value, ==, "");
    g_assert_cmpint(read_quarantine_record(key, value, -1, &read), ==, 0);
}

#define VALID_KEY "0123456789abcdef0123456789abcdef"

/* Guards against a record of another writer that is believed or read beyond
 * its end. */
static void
test_malformed_quarantine_record(void)
{
    static const struct {
        const char *key, *value;
        int code;
    } rows[] = {
        {VALID_KEY, "q1 0 0 00000001", 0},
        {VALID_KEY "0", "q1 0 0 00000001", ERR_PARSE},
        {"0123456789abcdeg0123456789abcdef", "q1 0 0 00000001", ERR_PARSE},
        {"", "q1 0 0 00000001", ERR_PARSE},
        {VALID_KEY, "q2 0 0 00000001", ERR_PARSE},
        {VALID_KEY, "q1", ERR_PARSE},
        {VALID_KEY, "q1 0 0", ERR_PARSE},
        {VALID_KEY, "q1 0 -1 00000001", ERR_PARSE},
        {VALID_KEY, "q1 99999999999999999999 0 00000001", ERR_PARSE},
        {VALID_KEY, "q1 0 18446744073709551615 00000001", ERR_PARSE},
        {VALID_KEY, "q1 0 9223372036854775 00000001", ERR_PARSE},
        {VALID_KEY, "q1 0 0 1", ERR_PARSE},
        {VALID_KEY, "q1 0 0 0000000x", ERR_PARSE},
        {VALID_KEY, "q1 0 0 00000001 released", ERR_PARSE},
        {VALID_KEY,
         "q1 0 0 00000001 00000002 00000003 00000004 00000005 00000006 "
         "00000007",
         ERR_PARSE},
    };
    QuarantineItem item;
    Random *random = Random_Create(SEED);

    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        g_assert_cmpint(
            read_quarantine_record(rows[i].key, rows[i].value, 0, &item), ==,
            rows[i].code);
    }
    for (int i = 0; i < 20000; i++) {
        char value[] = "q1 1800000000000 12 00000001 00000002";

        for (int k = 0; k < 3; k++) {
            value[Random_Below(random, sizeof(value) - 1)] =
                (char)Random_Below(random, 256);
        }
        if (read_quarantine_record(VALID_KEY, value, 0, &item) == 0) {
            g_assert_cmpuint(item.losses, <=, QUARANTINE_LOSSES_MAX);
            g_assert_cmpint(item.age, >=, 0);
        }
    }
    Random_Destroy(random);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/gateway/find-route", test_find_route);
    g_test_add_func("/gateway/refuse-route", test_reject_route);
    g_test_add_func("/gateway/split", test_split);
    g_test_add_func("/gateway/retry-window", test_retry_window);
    g_test_add_func("/gateway/reserved-retry", test_reserved_retry);
    g_test_add_func("/gateway/retry-of-old-requests",
                    test_retry_of_old_requests);
    ADD("/gateway/newest-counts", test_newest_description);
    ADD("/gateway/index-reuse", test_index_reuse);
    ADD("/gateway/removed-before-copy", test_removed_before_copy);
    ADD("/gateway/lapse", test_outage_grace);
    ADD("/gateway/lapse-ends", test_outage_grace_ends);
    ADD("/gateway/lapse-noticed-late", test_outage_end_detected_late);
    g_test_add_func("/gateway/due-set", test_due_set);
    g_test_add_func("/gateway/quarantine-record", test_quarantine_record);
    g_test_add_func("/gateway/malformed-quarantine-record",
                    test_malformed_quarantine_record);
    g_test_add_func("/gateway/endpoint", test_endpoint);
    return g_test_run();
}
