#include <glib.h>
#include <string.h>

#include "ConfigDecoder.h"
#include "RouteCheck.h"

/* Guards against configurations whose faults show only once they are in force. */

#define ROUTE(name, host, prefix, times, rest)                                \
    "{\"host\":\"" host "\",\"paths\":[{\"name\":\"" name                     \
    "\",\"pathPrefix\":\"" prefix "\",\"kind\":\"safe\"," times               \
    ",\"priority\":1,\"maxAttempts\":2," rest "}]}"
#define TIMES "\"timeoutS\":2,\"targetLatencyS\":1"
#define DESK "\"service\":\"desk\""
#define CONFIG(version, customers, hosts)                                     \
    "{\"version\":\"" version                                                 \
    "\",\"services\":[{\"name\":\"desk\",\"healthPath\":\"/h\"}]," customers  \
    "\"hosts\":[" hosts "]}"
#define GOOD ROUTE("r", "a.example", "/x/", TIMES, DESK)

static void
add_finding(void *user, RouteFindingKind kind, const char *object,
            const char *text)
{
    g_string_append_printf(user, "%s: %s: %s\n", RouteFinding_Name(kind),
                           object, text);
}

/* Returns all findings as lines. */
static GString *
check(const char *text, const char *in_force, unsigned *errors)
{
    RouteTable *routes = ConfigDecoder_Read(Str_FromC(text), NULL);
    RouteTable *before = in_force != NULL
                             ? ConfigDecoder_Read(Str_FromC(in_force), NULL)
                             : NULL;
    GString *findings = g_string_new(NULL);

    g_assert_nonnull(routes);
    *errors = RouteCheck_Run(routes, before, add_finding, findings);
    RouteTable_Unref(routes);
    RouteTable_Unref(before);
    return findings;
}

static void
test_good(void)
{
    unsigned errors;
    GString *findings = check(CONFIG("00000002", "", GOOD),
                              CONFIG("00000001", "", GOOD), &errors);

    g_assert_cmpstr(findings->str, ==, "");
    g_assert_cmpuint(errors, ==, 0);
    g_string_free(findings, TRUE);
}

typedef struct Case_ {
    const char *name;
    const char *text;
    const char *finding;
} Case;

static const Case cases[] = {
    {"host-with-port",
     CONFIG("00000001", "", ROUTE("r", "a.example:80", "/x/", TIMES, DESK)),
     "error: route r: never matches: the host"},
    {"prefix-with-query",
     CONFIG("00000001", "", ROUTE("r", "a.example", "/x?y/", TIMES, DESK)),
     "error: route r: never matches: the prefix"},
    {"unknown-service",
     CONFIG("00000001", "",
            ROUTE("r", "a.example", "/x/", TIMES, "\"service\":\"none\"")),
     "error: route r: goes to service none, which is not defined"},
    {"weight-of-zero",
     CONFIG("00000001", "",
            ROUTE("r", "a.example", "/x/", TIMES,
                  "\"trafficSplit\":[{\"service\":\"desk\",\"weight\":1},"
                  "{\"service\":\"desk\",\"weight\":0}]")),
     "warning: route r: sends nothing to desk"},
    {"timeout-below-objective",
     CONFIG("00000001", "",
            ROUTE("r", "a.example", "/x/",
                  "\"timeoutS\":1,\"targetLatencyS\":2", DESK)),
     "warning: route r: times out after 1.000 s"},
    {"customer-without-key",
     CONFIG("00000001", "\"tenants\":[{\"name\":\"a\",\"apiKeys\":[]}],",
            GOOD),
     "warning: customer a: has no key"},
    {"burst-without-rate",
     CONFIG("00000001",
            "\"tenants\":[{\"name\":\"a\",\"apiKeys\":[\"k\"],\"burst\":5}],",
            GOOD),
     "warning: customer a: has a burst but no rate"},
};

static void
test_finding(gconstpointer data)
{
    const Case *tested = data;
    unsigned errors;
    GString *findings = check(tested->text, NULL, &errors);

    g_assert_nonnull(strstr(findings->str, tested->finding));
    g_assert_cmpint(errors > 0, ==,
                    g_str_has_prefix(tested->finding, "error"));
    g_string_free(findings, TRUE);
}

/* Keys are not printed, nor anything that tells them. */
static void
test_differences(void)
{
    static const char before[] = CONFIG(
        "00000005",
        "\"tenants\":[{\"name\":\"a\",\"apiKeys\":[\"secret1\"],"
        "\"ratePerS\":3,\"burst\":3},{\"name\":\"b\",\"apiKeys\":[\"k\"]}],",
        GOOD "," ROUTE("old", "a.example", "/old/", TIMES, DESK));
    static const char after[] = CONFIG(
        "00000004",
        "\"tenants\":[{\"name\":\"a\",\"apiKeys\":[\"secret2\"],"
        "\"ratePerS\":2,\"burst\":3},{\"name\":\"c\",\"apiKeys\":[\"k\"]}],",
        ROUTE("r", "a.example", "/x/", "\"timeoutS\":3,\"targetLatencyS\":1",
              DESK) "," ROUTE("new", "a.example", "/new/", TIMES, DESK));
    static const char *const expected[] = {
        "error: version: 4 is not above the version in force, 5",
        "difference: route r: has another timeout",
        "difference: route new: is new",
        "difference: route old: is removed",
        "difference: customer a: may send 2 requests per second",
        "difference: customer a: has other keys",
        "difference: customer b: is removed",
        "difference: customer c: is new",
    };
    unsigned errors;
    GString *findings = check(after, before, &errors);

    for (size_t i = 0; i < G_N_ELEMENTS(expected); i++) {
        g_assert_nonnull(strstr(findings->str, expected[i]));
    }
    g_assert_null(strstr(findings->str, "secret"));
    g_assert_cmpuint(errors, ==, 1);
    g_string_free(findings, TRUE);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/route-check/good", test_good);
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        g_autofree char *path =
            g_strdup_printf("/route-check/%s", cases[i].name);

        g_test_add_data_func(path, &cases[i], test_finding);
    }
    g_test_add_func("/route-check/differences", test_differences);
    return g_test_run();
}
