#include <glib.h>

#include "Clock.h"
#include "EventLog.h"
#include "Histogram.h"
#include "Random.h"
#include "Str.h"

/* Guards against overflow that wraps around and against accepted signs or
 * trailing bytes. */
static void
test_parse_u64(void)
{
    static const struct {
        const char *text;
        int code;
        uint64_t value;
    } cases[] = {
        {"0", 0, 0},
        {"18446744073709551615", 0, UINT64_MAX},
        {"18446744073709551616", ERR_PARSE, 0},
        {"", ERR_PARSE, 0},
        {"12x", ERR_PARSE, 0},
        {"-1", ERR_PARSE, 0},
        {"+1", ERR_PARSE, 0},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        uint64_t value = 0;

        g_assert_cmpint(Str_ParseU64(Str_FromC(cases[i].text), &value), ==,
                        cases[i].code);
        g_assert_cmpuint(value, ==, cases[i].value);
    }
}

/* Guards against copies that stop at a zero byte, and against an empty Str,
 * whose data may be NULL, that is not copied as an empty string. */
static void
test_strings(void)
{
    Str text = {"a\0b", 3}, empty = {NULL, 0};
    GString *string = Str_ToString(text), *empty_copy = Str_ToString(empty);
    GByteArray *bytes = g_byte_array_new();

    g_assert_true(Str_Equal(Str_FromString(string), text));
    g_assert_cmpstr(empty_copy->str, ==, "");
    Str_AppendTo(empty, string);
    Str_AppendTo(text, string);
    g_assert_cmpmem(string->str, string->len, "a\0ba\0b", 6);
    g_assert_cmpuint(Str_FromBytes(bytes).length, ==, 0);
    g_byte_array_append(bytes, (const guint8 *)text.data, 3);
    g_assert_true(Str_Equal(Str_FromBytes(bytes), text));
    g_byte_array_free(bytes, TRUE);
    g_string_free(empty_copy, TRUE);
    g_string_free(string, TRUE);
}

/* Guards against quantiles that are off by more than the documented 3.2%. */
static void
test_histogram_error(void)
{
    Histogram *histogram = Histogram_Create();

    for (Micros value = 1; value <= 100000; value++) {
        Histogram_Add(histogram, value);
    }
    for (int percent = 1; percent <= 100; percent++) {
        double exact = 1000.0 * percent;
        double quantile =
            (double)Histogram_Quantile(histogram, percent / 100.0);

        g_assert_cmpfloat(quantile, >=, exact * 0.968);
        g_assert_cmpfloat(quantile, <=, exact * 1.032);
    }
    Histogram_Destroy(histogram);
}

static void
append_line(void *user, LogLevel level, Str line)
{
    Str_AppendTo(line, user);
    g_string_append_c(user, '\n');
}

/* Guards against a value that forges another field or line, and against
 * dropped lines that are not reported in the next line. */
static void
test_event_log_quotes(void)
{
    Clock *clock = Clock_CreateManual(0, 0);
    GString *out = g_string_new(NULL);
    EventLog *log =
        EventLog_Create(clock, LOG_LEVEL_INFO, 1, append_line, out);

    EventLog_Begin(log, LOG_LEVEL_INFO, "route");
    EventLog_CStr(log, "path", "a b\nevent=forged \"x\"");
    EventLog_Int(log, "age_ms", 5);
    EventLog_End(log);
    g_assert_false(EventLog_Begin(log, LOG_LEVEL_INFO, "route"));
    EventLog_End(log);
    Clock_Advance(clock, MICROS_PER_S);
    EventLog_Begin(log, LOG_LEVEL_INFO, "route");
    EventLog_End(log);
    g_assert_cmpstr(out->str, ==,
                    "event=route path=\"a b\\x0aevent=forged \\\"x\\\"\" "
                    "age_ms=5\nevent=route dropped=1\n");
    EventLog_Destroy(log);
    g_string_free(out, TRUE);
    Clock_Destroy(clock);
}

/* Guards against routine lines that use up the rate limit, so that lines of
 * refused requests are dropped, and against a log volume that grows with the
 * load. */
static void
test_event_log_routine(void)
{
    Clock *clock = Clock_CreateManual(0, 0);
    GString *out = g_string_new(NULL);
    EventLog *log =
        EventLog_Create(clock, LOG_LEVEL_INFO, 20, append_line, out);
    unsigned routine = 0, refusals = 0;

    for (int ms = 0; ms < 10000; ms++) {
        Clock_Advance(clock, MICROS_PER_MS);
        if (EventLog_BeginRoutine(log, "route")) {
            EventLog_End(log);
            routine++;
        }
        if (ms % 100 == 0 && EventLog_Begin(log, LOG_LEVEL_INFO, "refuse")) {
            EventLog_End(log);
            refusals++;
        }
    }
    g_assert_cmpuint(refusals, ==, 100);
    g_assert_cmpuint(routine, >=, 90);
    g_assert_cmpuint(routine + refusals, <=, 20 * 10 + 20);
    EventLog_Destroy(log);
    g_string_free(out, TRUE);
    Clock_Destroy(clock);
}

/* Guards against numbers out of range and against a wrong mean. */
static void
test_random_ranges(void)
{
    Random *random = Random_Create(7);
    double sum = 0;

    for (int i = 0; i < 100000; i++) {
        g_assert_cmpuint(Random_Below(random, 3), <, 3);
        sum += Random_Exponential(random, 10.0);
    }
    g_assert_cmpfloat(sum / 100000, >, 9.8);
    g_assert_cmpfloat(sum / 100000, <, 10.2);
    Random_Destroy(random);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/base/str/parse-u64", test_parse_u64);
    g_test_add_func("/base/str/strings", test_strings);
    g_test_add_func("/base/histogram/error", test_histogram_error);
    g_test_add_func("/base/event-log/quotes", test_event_log_quotes);
    g_test_add_func("/base/event-log/routine", test_event_log_routine);
    g_test_add_func("/base/random/ranges", test_random_ranges);
    return g_test_run();
}
