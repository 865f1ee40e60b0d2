#include <glib.h>
#include <glib/gstdio.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "BodyDigest.h"
#include "HttpMessage.h"
#include "JournalCheck.h"
#include "LoadHistory.h"
#include "Pattern.h"
#include "ResponseCheck.h"

/* Guards against a parser that accepts messages with ambiguous framing. */
static void
test_message(void)
{
    static const struct {
        const char *text;
        int code;
        uint64_t length;
    } cases[] = {
        {"GET / HTTP/1.1\r\nhost: a\r\n\r\n", 1, 0},
        {"POST / HTTP/1.1\r\nContent-Length: 12\r\n\r\nrest", 1, 12},
        {"HTTP/1.1 200 OK\r\ncontent-length:3\r\n\r\n", 1, 3},
        {"HTTP/1.1 200 \r\n\r\n", 1, 0},
        {"GET / HTTP/1.1\r\nhost: a\r\n", 0, 0},
        {"GET / HTTP/1.1\nhost: a\n\n", ERR_PROTOCOL, 0},
        {"GET / HTTP/1.1\r\nhost: a\nx: y\r\n\r\n", ERR_PROTOCOL, 0},
        {"GET / HTTP/1.1\r\nhost: a\rx: y\r\n\r\n", ERR_PROTOCOL, 0},
        {"GET / HTTP/1.1\r\nhost: a\r\nhost: a\r\n\r\n", ERR_PROTOCOL, 0},
        {"POST / HTTP/1.1\r\ncontent-length: 1\r\nContent-length: 1\r\n\r\n",
         ERR_PROTOCOL, 0},
        {"POST / HTTP/1.1\r\ncontent-length: 1\r\n"
         "transfer-encoding: chunked\r\n\r\n",
         ERR_PROTOCOL, 0},
        {"POST / HTTP/1.1\r\ncontent-length: 1, 1\r\n\r\n", ERR_PROTOCOL, 0},
        {"POST / HTTP/1.1\r\ncontent-length: -1\r\n\r\n", ERR_PROTOCOL, 0},
        {"GET / HTTP/1.1\r\nhost : a\r\n\r\n", ERR_PROTOCOL, 0},
        {"GET / HTTP/1.1\r\nx: y\r\n folded\r\n\r\n", ERR_PROTOCOL, 0},
        {"GET / HTTP/1.1\r\nidempotency-key: a\r\nIdempotency-Key: b\r\n\r\n",
         ERR_PROTOCOL, 0},
        {"GET /\r\n\r\n", ERR_PROTOCOL, 0},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        HttpMessage message;

        g_assert_cmpint(HttpMessage_Parse(&message, Str_FromC(cases[i].text)),
                        ==, cases[i].code);
        if (cases[i].code == 1) {
            g_assert_cmpuint(message.length, ==, cases[i].length);
        }
    }
}

/* Guards against body bytes that depend on how the body is split. */
static void
test_pattern(void)
{
    uint64_t seed = Pattern_Seed(STR("c1-7.1"));
    char whole[100];
    char piece[100];

    Pattern_Fill(seed, 0, whole, sizeof(whole));
    for (size_t cut = 0; cut <= sizeof(whole); cut++) {
        Pattern_Fill(seed, cut, piece, sizeof(whole) - cut);
        g_assert_cmpmem(piece, sizeof(whole) - cut, whole + cut,
                        sizeof(whole) - cut);
    }
    g_assert_true(Pattern_Matches(seed, 3, (Str){whole + 3, 20}));
    g_assert_false(Pattern_Matches(seed, 4, (Str){whole + 3, 20}));
    g_assert_false(Pattern_Matches(Pattern_Seed(STR("c1-7.2")), 0,
                                   (Str){whole, sizeof(whole)}));
}

/* Guards against missing a marker that is split over two pieces of a body. */
static void
test_marker(void)
{
    static const char text[] = "abcBOOMdef";
    char hex[BODY_DIGEST_HEX_BYTES];

    for (size_t cut = 0; cut < sizeof(text); cut++) {
        BodyDigest *digest = BodyDigest_Create("BOOM");

        BodyDigest_Add(digest, (Str){text, cut});
        BodyDigest_Add(digest, (Str){text + cut, sizeof(text) - 1 - cut});
        g_assert_true(BodyDigest_HasMarker(digest));
        BodyDigest_Finish(digest, hex);
        BodyDigest_Destroy(digest);
        /* printf abcBOOMdef | sha256sum */
        g_assert_cmpstr(hex, ==,
                        "e72be739fb00768e6c4a1c51138b230e"
                        "5af15d2379e5d867b3631ae2b1ed9c04");
    }
}

/* Guards against delayed reports that contain the current load. */
static void
test_load_history(void)
{
    LoadHistory *history = LoadHistory_Create();

    LoadHistory_Add(history, (LoadSample){100, 1, 0});
    LoadHistory_Add(history, (LoadSample){200, 2, 5});
    g_assert_cmpuint(LoadHistory_At(history, 99).inflight, ==, 0);
    g_assert_cmpuint(LoadHistory_At(history, 199).inflight, ==, 1);
    g_assert_cmpuint(LoadHistory_At(history, 200).queue, ==, 5);
    LoadHistory_Destroy(history);
}

/* Guards against accepting a response that belongs to another request. */
static void
test_own_id(void)
{
    static const struct {
        const char *id;
        bool own;
    } cases[] = {
        {"c1-7.1", true},   {"c1-7.2", true},   {"c1-7.3", false},
        {"c1-7.0", false},  {"c1-71.1", false}, {"c1-7", false},
        {"c1-7.1x", false}, {"", false},        {"xc1-7.1", false},
    };
    CallPlan plan = {.id = "c1-7"};

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        g_assert_cmpint(
            ResponseCheck_IsPlanId(&plan, 2, Str_FromC(cases[i].id)), ==,
            cases[i].own);
    }
}

/* Journal lines: an upstream starts an execution; a caller ends a call. */
#define START_LINE(id, key, method, sha)                                      \
    "event=start upstream=u request_id=" id " key=" key " method=" method     \
    " path=/ sha256=" sha "\n"
#define CALL_LINE(id, key, outcome, own)                                      \
    "event=call request_id=" id " key=" key " status=200 outcome=" outcome    \
    " own=" own " sha256=aa\n"

/* Guards against a checker that misses a kind of violation, or reports one
 * that did not occur. */
static void
test_check(void)
{
    static const struct {
        const char *upstream;
        const char *caller;
        int violation; /* -1 for none */
    } cases[] = {
        {START_LINE("a.1", "k", "POST", "aa"),
         CALL_LINE("a.1", "k", "ran", "yes"), -1},
        {"", CALL_LINE("a.1", "k", "not-run", "yes"), -1},
        {START_LINE("a.1", "\"\"", "GET", "aa")
             START_LINE("a.1", "\"\"", "GET", "aa"),
         CALL_LINE("a.1", "\"\"", "ran", "yes"), -1},
        {START_LINE("a.1", "k", "POST", "aa")
             START_LINE("a.2", "k", "POST", "aa"),
         CALL_LINE("a.1", "k", "unknown", "yes"), VIOLATION_KEY_RAN_TWICE},
        {START_LINE("a.1", "\"\"", "POST", "aa")
             START_LINE("a.1", "\"\"", "POST", "aa"),
         CALL_LINE("a.1", "\"\"", "unknown", "yes"),
         VIOLATION_REQUEST_RAN_TWICE},
        {START_LINE("a.1", "k", "POST", "aa"),
         CALL_LINE("a.2", "k", "not-run", "yes"), VIOLATION_NOT_RUN_BUT_RAN},
        {START_LINE("a.1", "\"\"", "GET", "aa"),
         CALL_LINE("a.1", "\"\"", "not-run", "yes"),
         VIOLATION_NOT_RUN_BUT_RAN},
        {"", CALL_LINE("a.1", "k", "ran", "yes"), VIOLATION_RAN_BUT_NOT},
        {START_LINE("a.1", "k", "POST", "bb"),
         CALL_LINE("a.1", "k", "ran", "yes"), VIOLATION_BODY_CHANGED},
        {START_LINE("a.1", "k", "POST", "aa"),
         CALL_LINE("a.1", "k", "ran", "no"), VIOLATION_WRONG_RESPONSE},
    };
    g_autofree char *path =
        g_strdup_printf("%s/standin-parts-%d", g_get_tmp_dir(), getpid());
    Error error;

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        JournalCheck *check = JournalCheck_Create(NULL);
        JournalTotals totals;

        g_assert_true(g_file_set_contents(path, cases[i].upstream, -1, NULL));
        g_assert_cmpint(JournalFile_Read(path, JournalCheck_AddUpstreamLine,
                                         check, &error),
                        ==, 0);
        g_assert_true(g_file_set_contents(path, cases[i].caller, -1, NULL));
        g_assert_cmpint(
            JournalFile_Read(path, JournalCheck_AddCallerLine, check, &error),
            ==, 0);
        totals = JournalCheck_Evaluate(check);
        for (int v = 0; v < VIOLATION_COUNT; v++) {
            g_assert_cmpuint(totals.violations[v], ==,
                             v == cases[i].violation ? 1 : 0);
        }
        JournalCheck_Destroy(check);
    }
    g_remove(path);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/standins/message", test_message);
    g_test_add_func("/standins/pattern", test_pattern);
    g_test_add_func("/standins/marker", test_marker);
    g_test_add_func("/standins/load-history", test_load_history);
    g_test_add_func("/standins/own-id", test_own_id);
    g_test_add_func("/standins/check", test_check);
    return g_test_run();
}
