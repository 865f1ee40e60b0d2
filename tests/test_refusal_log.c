#include <glib.h>
#include <string.h>

#include "Dispatcher.h"
#include "GatewayFixture.h"

#define VERSION 7
#define AGE_US (1500 * MICROS_PER_MS)

typedef struct Fixture_ {
    Clock *clock;
    Random *random;
    Counters *counters;
    EventLog *log;
    GString *lines;
    Dispatcher *dispatcher;
} Fixture;

static void
on_line(void *user, LogLevel level, Str line)
{
    Fixture *f = user;

    Str_AppendTo(line, f->lines);
    g_string_append_c(f->lines, '\n');
}

static void
set_up(Fixture *f, gconstpointer data)
{
    DispatcherOptions options = {.host = STR("h"), .domain = STR("d")};

    f->clock = Clock_CreateManual(10 * MICROS_PER_S, 0);
    f->random = Random_Create(1);
    f->counters = Counters_Create(100);
    f->lines = g_string_new(NULL);
    f->log = EventLog_Create(f->clock, LOG_LEVEL_INFO, 0, on_line, f);
    f->dispatcher = Dispatcher_Create(&options, f->clock, f->random, f->log,
                                      f->log, f->counters);
}

static void
tear_down(Fixture *f, gconstpointer data)
{
    Dispatcher_Destroy(f->dispatcher);
    EventLog_Destroy(f->log);
    g_string_free(f->lines, TRUE);
    Counters_Destroy(f->counters);
    Random_Destroy(f->random);
    Clock_Destroy(f->clock);
}

static void
set_routes(Fixture *f)
{
    CallerLimits limits = {0};
    RouteTable *table = RouteTable_Create(VERSION, &limits);

    RouteTable_AddService(table, GATEWAY_FIXTURE_SERVICE, STR("/load"));
    GatewayFixture_AddRoute(table, "/known/", ROUTE_IDEMPOTENT, 1,
                            MICROS_PER_S, MICROS_PER_S);
    g_assert_cmpint(Dispatcher_SetRoutes(f->dispatcher, table), ==, 0);
    RouteTable_Unref(table);
}

static void
submit_unknown(Fixture *f)
{
    JobInfo info = {.id = STR("r"),
                    .method = STR("GET"),
                    .host = GATEWAY_FIXTURE_HOST,
                    .path = STR("/added/later")};

    g_string_truncate(f->lines, 0);
    g_assert_null(Dispatcher_Submit(f->dispatcher, &info, NULL));
    g_assert_nonnull(strstr(f->lines->str, "event=refuse request=r "));
}

/* Guards against a refusal whose line does not tell by which routes it was
 * decided, and how old they were. */
static void
test_version_without_route(Fixture *f, gconstpointer data)
{
    set_routes(f);
    Dispatcher_SetRoutesKnownAt(f->dispatcher, Clock_Boot(f->clock) - AGE_US);
    submit_unknown(f);
    g_assert_nonnull(strstr(f->lines->str, "reason=no-route"));
    g_assert_nonnull(strstr(f->lines->str, " version=7 "));
    g_assert_nonnull(strstr(f->lines->str, " routes_age_ms=1500"));
}

static void
test_age_never_known(Fixture *f, gconstpointer data)
{
    set_routes(f);
    submit_unknown(f);
    g_assert_nonnull(strstr(f->lines->str, " routes_age_ms=-1"));
}

static void
test_without_routes(Fixture *f, gconstpointer data)
{
    submit_unknown(f);
    g_assert_nonnull(strstr(f->lines->str, "reason=no-configuration"));
    g_assert_null(strstr(f->lines->str, "routes_age_ms"));
}

#define ADD(path, test)                                                       \
    g_test_add(path, Fixture, NULL, set_up, test, tear_down)

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    ADD("/refusal-log/version-without-route", test_version_without_route);
    ADD("/refusal-log/age-never-known", test_age_never_known);
    ADD("/refusal-log/without-routes", test_without_routes);
    return g_test_run();
}
