#include <glib.h>
#include <string.h>

#include "ConfigDecoder.h"
#include "PlatformBounds.h"
#include "PlatformDialect.h"
#include "Random.h"
#include "UpstreamDecoder.h"

#define MUTATION_SEED 11
#define MUTATION_COUNT 20000

static const char config[] =
    "{\"version\":\"0000000c\",\"services\":[{\"name\":\"desk\","
    "\"healthPath\":\"/health\"}],\"limits\":{\"maxHeaderBytes\":16384,"
    "\"maxBodyBytes\":1000,\"headerTimeoutS\":3,\"idleTimeoutS\":15},"
    "\"hosts\":[{\"host\":\"a.example\",\"paths\":[{\"name\":\"r1\","
    "\"pathPrefix\":\"/x/\",\"kind\":\"unsafe\",\"timeoutS\":0.8,"
    "\"targetLatencyS\":0.3,\"priority\":1,\"service\":\"desk\","
    "\"maxAttempts\":2},{\"name\":\"r2\",\"pathPrefix\":\"/y/\","
    "\"kind\":\"safe\",\"timeoutS\":1.2,\"targetLatencyS\":0.25,"
    "\"priority\":2,\"trafficSplit\":[{\"service\":\"desk\",\"weight\":90},"
    "{\"service\":\"other\",\"weight\":10}],\"maxAttempts\":3}]}]}";

static const char upstream[] =
    "{\"address\":\"10.0.0.9:8080\",\"born\":1700000000123,"
    "\"info\":{\"service\":\"desk\",\"version\":\"v1\",\"zone\":\"lac-a\","
    "\"slots\":6},\"status\":{\"state\":\"ready\",\"seqNo\":4,"
    "\"warmupLeftS\":1.5}}";

/* Guards against times, kinds and weights that are decoded wrongly. */
static void
test_config(void)
{
    Error error;
    RouteTable *table = ConfigDecoder_Read(STR(config), &error);
    const Route *once, *split;

    g_assert_nonnull(table);
    g_assert_cmpuint(RouteTable_Version(table), ==, 12);
    g_assert_cmpuint(RouteTable_Limits(table)->body_bytes, ==, 1000);
    g_assert_cmpint(RouteTable_Limits(table)->idle_time, ==,
                    15 * MICROS_PER_S);
    g_assert_true(
        Str_Equal(RouteTable_LoadPath(table, STR("desk")), STR("/health")));
    once = RouteTable_Find(table, STR("a.example"), STR("/x/1"));
    g_assert_cmpint(once->kind, ==, ROUTE_AT_MOST_ONCE);
    g_assert_cmpint(once->timeout, ==, 800 * MICROS_PER_MS);
    g_assert_cmpint(once->objective, ==, 300 * MICROS_PER_MS);
    g_assert_cmpuint(once->attempts_max, ==, 2);
    split = RouteTable_Find(table, STR("a.example"), STR("/y/1"));
    g_assert_cmpint(split->kind, ==, ROUTE_IDEMPOTENT);
    g_assert_cmpuint(split->part_count, ==, 2);
    g_assert_cmpuint(split->parts[1].weight, ==, 10);
    RouteTable_Unref(table);
}

static char *
replace(const char *text, const char *from, const char *to)
{
    char **parts = g_strsplit(text, from, 2);
    char *joined = g_strjoinv(to, parts);

    g_assert_cmpuint(g_strv_length(parts), ==, 2);
    g_strfreev(parts);
    return joined;
}

/* Guards against an invalid configuration that is applied in part, and against
 * retries of requests of an unknown kind. */
static void
test_invalid_config(void)
{
    static const struct {
        const char *from;
        const char *to;
        bool valid;
    } cases[] = {
        {"0000000c", "c", false},
        {"\"version\":\"0000000c\"", "\"version\":12", false},
        {"\"timeoutS\":0.8", "\"timeoutS\":0", false},
        {"\"maxAttempts\":2", "\"maxAttempts\":0", false},
        {"\"pathPrefix\":\"/x/\"", "\"pathPrefix\":\"/x\"", false},
        {"\"service\":\"desk\",\"maxAttempts\"", "\"maxAttempts\"", false},
        {"\"pathPrefix\":\"/y/\"", "\"pathPrefix\":\"/x/\"", false},
        {"\"kind\":\"unsafe\"", "\"kind\":\"new\"", true},
        {"\"maxBodyBytes\":1000,", "\"unknown\":[1],", true},
    };
    Error error;

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        char *text = replace(config, cases[i].from, cases[i].to);
        RouteTable *table = ConfigDecoder_Read(Str_FromC(text), &error);

        g_test_message("%s", cases[i].to);
        g_assert_true((table != NULL) == cases[i].valid);
        if (table != NULL) {
            g_assert_cmpint(
                RouteTable_Find(table, STR("a.example"), STR("/x/"))->kind, ==,
                ROUTE_AT_MOST_ONCE);
        }
        RouteTable_Unref(table);
        g_free(text);
    }
}

/* Guards against records of other writers that are taken for upstreams. */
static void
test_upstream(void)
{
    static const struct {
        const char *from;
        const char *to;
        bool valid;
    } cases[] = {
        {"ready", "ready", true},
        {"ready", "draining", true},
        {"ready", "resting", false},
        {"\"seqNo\":4", "\"seqNo\":\"4\"", false},
        {"\"seqNo\":4,", "", false},
        {"\"slots\":6", "\"slots\":0", false},
        {"\"service\":\"desk\",", "", false},
        {"10.0.0.9:8080", "desk:8080", false},
        {"1700000000123", "\"now\"", false},
        {"1700000000123", "1.5", false},
        {"\"warmupLeftS\":1.5", "\"warmupLeftS\":-1", false},
        {"\"version\":\"v1\",", "", true},
    };
    UpstreamEntry entry;
    Error error;

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        char *text = replace(upstream, cases[i].from, cases[i].to);
        DecodedUpstream *decoded =
            UpstreamDecoder_Read(STR("i-1"), Str_FromC(text), &entry, &error);

        g_test_message("%s", cases[i].to);
        g_assert_true((decoded != NULL) == cases[i].valid);
        if (decoded != NULL) {
            g_assert_cmpint(entry.started, ==, 1700000000123);
            g_assert_cmpuint(entry.port, ==, 8080);
            g_assert_cmpuint(entry.slots, ==, 6);
            g_assert_cmpint(entry.warmup, ==, 1500 * MICROS_PER_MS);
            g_assert_true(entry.draining == (i == 1));
        }
        UpstreamDecoder_Free(decoded);
        g_free(text);
    }
}

/* Guards against crashes on malformed records, which any writer of the store
 * can cause. */
static void
test_mutations(void)
{
    Random *random = Random_Create(MUTATION_SEED);
    UpstreamEntry entry;
    Error error;

    g_test_message("seed %d", MUTATION_SEED);
    for (int i = 0; i < MUTATION_COUNT; i++) {
        GString *text = g_string_new(i % 2 == 0 ? config : upstream);

        for (int k = 0; k < 3; k++) {
            text->str[Random_Below(random, text->len)] =
                (char)Random_Next(random);
        }
        if (i % 2 == 0) {
            RouteTable_Unref(ConfigDecoder_Read(Str_FromString(text), &error));
        }
        else {
            UpstreamDecoder_Free(UpstreamDecoder_Read(
                STR("i-1"), Str_FromString(text), &entry, &error));
        }
        g_string_free(text, TRUE);
    }
    Random_Destroy(random);
}

/* Guards against a malformed load report that is decoded in part. */
static void
test_load(void)
{
    static const struct {
        const char *text;
        int code;
        LoadReport report;
    } cases[] = {
        {"3,0,8", 0, {.inflight = 3, .slots = 8, .slowdown_percent = 100}},
        {"3,2,8,400",
         0,
         {.inflight = 3, .queue = 2, .slots = 8, .slowdown_percent = 400}},
        {"3,0", ERR_PARSE, {0}},
        {"", ERR_PARSE, {0}},
        {"3,x,8", ERR_PARSE, {0}},
        {"-1,0,8", ERR_PARSE, {0}},
    };
    LoadReport report;

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        g_test_message("%s", cases[i].text);
        g_assert_cmpint(
            PLATFORM_DIALECT.parse_load(Str_FromC(cases[i].text), &report), ==,
            cases[i].code);
        if (cases[i].code == 0) {
            g_assert_cmpuint(report.inflight, ==, cases[i].report.inflight);
            g_assert_cmpuint(report.queue, ==, cases[i].report.queue);
            g_assert_cmpuint(report.slots, ==, cases[i].report.slots);
            g_assert_cmpuint(report.slowdown_percent, ==,
                             cases[i].report.slowdown_percent);
        }
    }
}

/* Guards against limits that are read from texts that name none. */
static void
test_limits(void)
{
    static const struct {
        const char *text;
        int code;
        double per_s;
    } cases[] = {
        {"2.3", 0, 2.3},
        {" 17 ", 0, 17},
        {"0", 0, 0},
        {"1000000", 0, 1e6},
        {"", ERR_PARSE, 0},
        {".", ERR_PARSE, 0},
        {"-1", ERR_PARSE, 0},
        {"1e3", ERR_PARSE, 0},
        {"inf", ERR_PARSE, 0},
        {"nan", ERR_PARSE, 0},
        {"0x10", ERR_PARSE, 0},
        {"2.3.4", ERR_PARSE, 0},
        {"2,3", ERR_PARSE, 0},
        {"1000001", ERR_PARSE, 0},
        {"00000000000000000000000000000002", ERR_PARSE, 0},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        double per_s = 0;

        g_test_message("%s", cases[i].text);
        g_assert_cmpint(
            PLATFORM_DIALECT.parse_limit(Str_FromC(cases[i].text), &per_s), ==,
            cases[i].code);
        if (cases[i].code == 0) {
            g_assert_cmpfloat(per_s, ==, cases[i].per_s);
        }
    }
}

#define SETTINGS                                                              \
    "[host]\nid = \"h\"\ndomain = \"a\"\n[gateway]\n"                         \
    "callers = \"10.0.0.1:1\"\nreadiness = \"10.0.0.1:2\"\n"                  \
    "metrics = \"10.0.0.1:3\"\nrelay = \"10.0.0.1:4\"\n"

/* Guards against invalid settings that are accepted and valid ones that are
 * misread. */
static void
test_settings(void)
{
    static const struct {
        const char *text;
        bool valid;
    } cases[] = {
        {SETTINGS "store = \"10.0.0.2:5\"\n", true},
        {SETTINGS "store = \"10.0.0.2:5\"\n[bounds]\ndrainS = 2.5\n"
                  "later = true\n",
         true},
        {SETTINGS, false},
        {SETTINGS "store = \"store:5\"\n", false},
        {SETTINGS "store = \"10.0.0.2:5\"\nspeed = 1\n", false},
        {SETTINGS "store = \"10.0.0.2:5\"\n[bounds]\ndrainS = \"2\"\n", false},
        {SETTINGS "store = \"10.0.0.2:5\"\nfirst_start = true\n", true},
        {SETTINGS "store = \"10.0.0.2:5\"\nfirst_start = 1\n", false},
        {SETTINGS "store = \"10.0.0.2:5\"\nlink_mbps = 20.0\nseeds = "
                  "[\"10.0.0.3:6\", \"10.0.0.4:6\"]\n",
         true},
        {SETTINGS "store = \"10.0.0.2:5\"\nseeds = []\n", true},
        {SETTINGS "store = \"10.0.0.2:5\"\nseeds = [\"10.0.0.3\"]\n", false},
        {SETTINGS "store = \"10.0.0.2:5\"\nseeds = [\"localhost:6\"]\n",
         false},
        {SETTINGS "store = \"10.0.0.2:5\"\nlink_mbps = -1\n", false},
        {SETTINGS "store = \"10.0.0.2:5\"\nlink_mbps = \"20\"\n", false},
        {SETTINGS "store = \"10.0.0.2:5\"\n[other]\n", false},
        {SETTINGS "store = \"10.0.0.2:5\"\nforward = \"10.0.0.1:5\"\n", true},
        {SETTINGS "store = \"10.0.0.2:5\"\nforward = \"10.0.0.1:3\"\n", false},
        {SETTINGS "store = \"10.0.0.2:5\"\nforward = \"10.0.0.1:0\"\n", false},
        {SETTINGS "store = \"10.0.0.2:5\"\nforward = \"10.0.0.2:5\"\n", false},
        {SETTINGS "store = \"10.0.0.2:5\"\nforward = \"here\"\n", false},
        {SETTINGS "store = \"10.0.0.2:5\"\nmemory_mb = 260\n"
                  "descriptors_max = 4100\n",
         true},
        {SETTINGS "store = \"10.0.0.2:5\"\nmemory_mb = 31\n", false},
        {SETTINGS "store = \"10.0.0.2:5\"\nmemory_mb = \"260\"\n", false},
        {SETTINGS "store = \"10.0.0.2:5\"\ndescriptors_max = 511\n", false},
        {SETTINGS "store = \"10.0.0.2:5\"\ndescriptors_max = 600.5\n", false},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        Diagnostics *diagnostics = Diagnostics_Create(STR("f"));
        GatewaySettings *settings = GatewaySettings_Parse(
            Str_FromC(cases[i].text), PlatformBounds_Read, diagnostics);

        g_test_message("case %zu", i);
        g_assert_true((settings != NULL) == cases[i].valid);
        g_assert_true((Diagnostics_Count(diagnostics) == 0) == cases[i].valid);
        if (i == 1) {
            g_assert_cmpint(settings->bounds.drain_time, ==,
                            2500 * MICROS_PER_MS);
            g_assert_cmpuint(settings->memory_mb, ==, 260);
            g_assert_cmpuint(settings->descriptors_max, ==, 4100);
        }
        GatewaySettings_Destroy(settings);
        Diagnostics_Destroy(diagnostics);
    }
}

/* Guards against a host that does not start because the port that it would use
 * by default is taken, and against ports that nobody chose. */
static void
test_forward_port(void)
{
    static const struct {
        const char *relay;
        uint16_t port;
    } cases[] = {{"10.0.0.1:7735", 7734},
                 {"10.0.0.1:4", 0},
                 {"10.0.0.2:4", 3},
                 {"10.0.0.1:0", 0},
                 {"10.0.0.1:1", 0}};

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        Diagnostics *diagnostics = Diagnostics_Create(STR("f"));
        g_autofree char *text = g_strdup_printf(
            "[host]\nid = \"h\"\ndomain = \"a\"\n[gateway]\n"
            "callers = \"10.0.0.1:1\"\nreadiness = \"10.0.0.1:2\"\n"
            "metrics = \"10.0.0.1:3\"\nrelay = \"%s\"\n"
            "store = \"10.0.0.2:5\"\n",
            cases[i].relay);
        GatewaySettings *settings = GatewaySettings_Parse(
            Str_FromC(text), PlatformBounds_Read, diagnostics);

        g_assert_nonnull(settings);
        g_assert_cmpuint(settings->forward.port, ==, cases[i].port);
        GatewaySettings_Destroy(settings);
        Diagnostics_Destroy(diagnostics);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/platform/config", test_config);
    g_test_add_func("/platform/odd-config", test_invalid_config);
    g_test_add_func("/platform/upstream", test_upstream);
    g_test_add_func("/platform/mutations", test_mutations);
    g_test_add_func("/platform/load", test_load);
    g_test_add_func("/platform/limits", test_limits);
    g_test_add_func("/platform/settings", test_settings);
    g_test_add_func("/platform/forward-port", test_forward_port);
    return g_test_run();
}
