#include <glib.h>
#include <string.h>

#include "Error.h"
#include "LogLine.h"
#include "RequestTrace.h"

#define LINE_AT(s) "time=2026-12-04T10:00:" s "Z level=info host=h-1 "
#define ROUTE_LINE(s, attempt, upstream, held)                                \
    LINE_AT(s)                                                                \
    "event=route request=a1 service=desk attempt=" attempt                    \
    " choice=" upstream " busy=0.8 held_ms=" held "\n"
#define ATTEMPT_LINE(s, upstream, result, took, held)                         \
    LINE_AT(s)                                                                \
    "event=attempt request=a1 upstream=" upstream " result=" result           \
    " took_ms=" took " held_ms=" held "\n"
#define REFUSE_LINE(s, reason)                                                \
    LINE_AT(s)                                                                \
    "event=refuse request=a1 status=503 reason=" reason " held_ms=0\n"
#define FORWARD_LINE(s) LINE_AT(s) "event=forward request=a1 peer=h-2\n"
#define END_LINE(s, result)                                                   \
    LINE_AT(s) "event=forward-end request=a1 peer=h-2 result=" result "\n"
#define PEER_LINE(s)                                                          \
    "time=2026-12-04T10:00:" s                                                \
    "Z host=h-2 event=forwarded request=a1 from=h-1\n"
#define UPSTREAM_LINE(s, upstream, change)                                    \
    LINE_AT(s) "event=upstream upstream=" upstream " change=" change "\n"
#define STORE_LOST_LINE(s) LINE_AT(s) "event=store-lost topic=keyed.servers\n"
#define OTHER_HOST_LINE(s)                                                    \
    "time=2026-12-04T10:00:" s "Z host=h-2 event=started\n"

/* Guards against a value that ends at an escaped quote, and against a key that
 * is found inside of a quoted value. */
static void
test_fields(void)
{
    Str line = STR("time=2026-12-04T10:00:00.000005Z "
                   "path=\"a b\\x0aevent=no \\\"x\\\"\" event=route n=-7 z=");
    GString *out = g_string_new(NULL);

    g_assert_true(LogLine_Field(line, STR("path"), out));
    g_assert_cmpstr(out->str, ==, "a b\nevent=no \"x\"");
    g_assert_true(LogLine_FieldEquals(line, STR("event"), STR("route")));
    g_assert_cmpint(LogLine_Int(line, STR("n"), 1), ==, -7);
    g_assert_cmpint(LogLine_Int(line, STR("event"), 1), ==, 1);
    g_assert_true(LogLine_Field(line, STR("z"), out));
    g_assert_cmpstr(out->str, ==, "");
    g_assert_false(LogLine_Field(line, STR("b"), out));
    g_assert_cmpint(LogLine_Time(line) % MICROS_PER_S, ==, 5);
    g_assert_cmpint(LogLine_Time(STR("no time")), ==, -1);
    g_assert_cmpint(LogLine_Time(STR("time=\"unclosed")), ==, -1);
    g_string_free(out, TRUE);
}

/* Guards against a wrong cause, which misleads the search for the fault. */
static void
test_causes(void)
{
    static const struct {
        const char *lines;
        const char *cause;
    } cases[] = {
        {REFUSE_LINE("01.0", "overloaded"),
         "cause: no upstream of the service had spare capacity"},
        {REFUSE_LINE("01.0", "no-route"), "cause: no route"},
        {REFUSE_LINE("01.0", "new-word"), "cause: new-word"},
        {ROUTE_LINE("01.0", "1", "i-1", "0")
             ATTEMPT_LINE("01.5", "i-1", "broken", "500", "500")
                 REFUSE_LINE("01.6", "upstream-broken"),
         "cause: the connection to the upstream ended"},
        /* Lines of a host may come in any order. */
        {REFUSE_LINE("01.6", "deadline") ROUTE_LINE("01.0", "1", "i-1", "0"),
         "cause: no complete response came"},
        {ROUTE_LINE("01.0", "1", "i-1", "0")
             ATTEMPT_LINE("01.5", "i-1", "answer", "500", "500"),
         "cause: the upstream took most"},
        {ROUTE_LINE("01.0", "1", "i-1", "300")
             ATTEMPT_LINE("01.5", "i-1", "answer", "100", "400"),
         "cause: it waited for spare capacity"},
        {ROUTE_LINE("01.0", "1", "i-1", "0")
             ATTEMPT_LINE("01.5", "i-1", "not-run", "400", "400")
                 ROUTE_LINE("01.5", "2", "i-2", "400")
                     ATTEMPT_LINE("01.6", "i-2", "answer", "100", "500"),
         "cause: an earlier attempt failed"},
        {LINE_AT(
             "01.0") "event=caller-gone request=a1 upstream=i-1 held_ms=90\n",
         "cause: the caller closed"},
        {ROUTE_LINE("01.0", "1", "i-1", "0"),
         "cause: it was sent, and nothing"},
        /* The line of the response was dropped by the rate limit. */
        {ROUTE_LINE("01.0", "1", "i-1", "0")
             ATTEMPT_LINE("01.5", "i-1", "broken", "500", "500"),
         "cause: the connection to the upstream ended"},
        {ATTEMPT_LINE("01.5", "i-1", "not-run", "5", "5"),
         "cause: every upstream that was tried rejected"},
        {ATTEMPT_LINE("01.5", "i-1", "overdue", "500", "500"),
         "cause: the upstream did not respond within the objective"},
        {ATTEMPT_LINE("01.5", "i-1", "broken", "5", "5")
             ROUTE_LINE("01.6", "2", "i-2", "100"),
         "cause: it was sent, and nothing"},
        {FORWARD_LINE("01.0") PEER_LINE("01.1") END_LINE("01.5", "answer"),
         "cause: the host reached no upstream and had another host"},
        {FORWARD_LINE("01.0") END_LINE("01.5", "broken"),
         "cause: the host reached no upstream, and the host that it"},
        {FORWARD_LINE("01.0") END_LINE("01.5", "not-run")
             REFUSE_LINE("01.5", "no-peer"),
         "cause: the host reached no upstream, and no host"},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        GString *out = g_string_new(NULL);

        g_assert_cmpint(
            RequestTrace_Write(Str_FromC(cases[i].lines), STR("a1"), out), ==,
            0);
        g_test_message("%s", out->str);
        g_assert_nonnull(strstr(out->str, cases[i].cause));
        g_assert_nonnull(strstr(out->str, "next: "));
        g_string_free(out, TRUE);
    }
}

/* Guards against missing changes of the request's upstreams, and against
 * changes of other upstreams, hosts and times in the output. */
static void
test_nearby(void)
{
    static const char lines[] = UPSTREAM_LINE("00.5", "i-1", "draining")
        UPSTREAM_LINE("00.6", "i-2", "added")
            ROUTE_LINE("01.0", "1", "i-1", "0") REFUSE_LINE("02.0", "deadline")
                STORE_LOST_LINE("02.5") UPSTREAM_LINE("09.0", "i-1", "removed")
                    OTHER_HOST_LINE("01.0") "bytes that are no line \x01 \"\n";
    GString *out = g_string_new(NULL);

    g_assert_cmpint(RequestTrace_Write(STR(lines), STR("a1"), out), ==, 0);
    g_assert_nonnull(strstr(out->str, "change=draining"));
    g_assert_nonnull(strstr(out->str, "event=store-lost"));
    g_assert_nonnull(strstr(out->str, "-0.500 s"));
    g_assert_null(strstr(out->str, "i-2"));
    g_assert_null(strstr(out->str, "change=removed"));
    g_assert_null(strstr(out->str, "h-2"));
    g_string_free(out, TRUE);
}

/* Guards against a cause without a line of the request, if lines were
 * dropped. */
static void
test_dropped_lines(void)
{
    static const char lines[] =
        LINE_AT("01.0") "event=route dropped=7 request=b2\n";
    GString *out = g_string_new(NULL);

    g_assert_cmpint(RequestTrace_Write(STR(lines), STR("a1"), out), ==,
                    ERR_NOT_FOUND);
    g_assert_nonnull(strstr(out->str, "7 lines were dropped"));
    g_assert_null(strstr(out->str, "cause"));
    g_string_free(out, TRUE);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/trace/fields", test_fields);
    g_test_add_func("/trace/causes", test_causes);
    g_test_add_func("/trace/nearby", test_nearby);
    g_test_add_func("/trace/left-out", test_dropped_lines);
    return g_test_run();
}
