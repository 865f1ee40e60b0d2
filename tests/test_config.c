#include <glib.h>
#include <string.h>

#include "ConfigDiff.h"
#include "ConfigFixture.h"

/* One publication applied to the fixture state, whose offset is 1. */
typedef struct RuleCase_ {
    const char *prevents; /* the failure that the case guards against */
    const char *author;
    uint32_t key;
    uint64_t base;
    const char *document;
    ConfigOutcome outcome;
} RuleCase;

static const RuleCase rule_cases[] = {
    {"own selector cannot be changed", "op-a", KEY_A, 1,
     "[selector.a-0]\nline='a'\nservice='svc'\ndeadline_ms=5",
     CONFIG_ACCEPTED},
    {"own line cannot be changed", "op-a", KEY_A, 1, "[line.a]\nweight = 29",
     CONFIG_ACCEPTED},
    {"an operator raises the weight of its own line", "op-a", KEY_A, 1,
     "[line.a]\nweight = 31", CONFIG_DENIED},
    {"a global operator is restricted to one line", "root", KEY_ROOT, 1,
     "[line.a]\nweight = 31\n[line.c]\nweight = 1", CONFIG_ACCEPTED},
    {"a stale base overwrites a change", "op-a", KEY_A, 0,
     "[selector.a-0]\nline='a'\nservice='svc'", CONFIG_EXPIRED},
    {"a stale base overwrites a change", "root", KEY_ROOT, 0,
     "[service.svc]\nslots = 2", CONFIG_EXPIRED},
    {"a base from the future is accepted", "op-a", KEY_A, 2,
     "[selector.a-0]\nline='a'\nservice='svc'", CONFIG_INVALID},
    {"another key signs for an operator", "op-a", KEY_B, 1,
     "[selector.a-0]\nline='a'\nservice='svc'", CONFIG_FORGED},
    {"an unknown operator publishes", "nobody", KEY_A, 1,
     "[selector.a-0]\nline='a'\nservice='svc'", CONFIG_FORGED},
    {"a selector names a missing service", "op-a", KEY_A, 1,
     "[selector.x]\nline='a'\nservice='none'", CONFIG_REFERENCE},
    {"a caller names a missing line", "root", KEY_ROOT, 1,
     "[caller.x]\nline='none'\ntoken_sha256='"
     "1111111111111111111111111111111111111111111111111111111111111111'",
     CONFIG_REFERENCE},
    {"a used service is deleted", "root", KEY_ROOT, 1,
     "delete = ['service.svc']", CONFIG_REFERENCE},
    {"a used line is deleted", "root", KEY_ROOT, 1, "delete = ['line.a']",
     CONFIG_REFERENCE},
    {"a missing object is deleted", "op-a", KEY_A, 1,
     "delete = ['selector.none']", CONFIG_REFERENCE},
    {"a missing object is deleted", "root", KEY_ROOT, 1,
     "delete = ['selector.none']", CONFIG_REFERENCE},
    {"a line cannot be deleted together with its users", "root", KEY_ROOT, 1,
     "delete = ['line.a', 'caller.a-0', 'caller.a-1', 'selector.a-0', "
     "'selector.a-1']",
     CONFIG_ACCEPTED},
    {"the last global operator is deleted", "root", KEY_ROOT, 1,
     "delete = ['operator.root']", CONFIG_REFERENCE},
    {"two callers have one token", "op-a", KEY_A, 1,
     "[caller.x]\nline='a'\ntoken_sha256='"
     "a000000000000000000000000000000000000000000000000000000000000000'",
     CONFIG_REFERENCE},
    {"two callers cannot exchange tokens", "op-a", KEY_A, 1,
     "[caller.a-0]\nline='a'\ntoken_sha256='"
     "a100000000000000000000000000000000000000000000000000000000000000'\n"
     "[caller.a-1]\nline='a'\ntoken_sha256='"
     "a000000000000000000000000000000000000000000000000000000000000000'",
     CONFIG_ACCEPTED},
    {"an unknown key is ignored", "op-a", KEY_A, 1,
     "[selector.a-0]\nline='a'\nservice='svc'\nshares=5", CONFIG_INVALID},
    {"text that is not TOML is accepted", "op-a", KEY_A, 1, "[selector",
     CONFIG_INVALID},
    {"an empty document is accepted", "op-a", KEY_A, 1, "", CONFIG_INVALID},
    {"a document is applied in part", "op-a", KEY_A, 1,
     "[selector.a-0]\nline='a'\nservice='svc'\ndeadline_ms=5\n"
     "[selector.x]\nline='a'\nservice='none'",
     CONFIG_REFERENCE},
};

/* Writes all objects as text; an unchanged text means that none changed. */
static char *
format_objects(const ConfigState *state)
{
    GString *text = g_string_new(NULL);

    for (ConfigKind kind = 0; kind < CONFIG_KIND_COUNT; kind++) {
        ConfigCursor cursor = {0};
        const ConfigObject *object;

        while ((object = ConfigState_Next(state, kind, &cursor)) != NULL) {
            ConfigObject_Write(object, text);
        }
    }
    return g_string_free(text, FALSE);
}

static void
test_rule(void)
{
    ConfigOptions options = Fixture_Options();

    for (size_t i = 0; i < G_N_ELEMENTS(rule_cases); i++) {
        const RuleCase *row = &rule_cases[i];
        ConfigState *state = Fixture_Create(&options);
        char *before = format_objects(state);
        char *after;
        ConfigOutcome outcome = Fixture_Apply(
            state, "x", row->author, row->key, row->base, row->document, NULL);

        if (outcome != row->outcome) {
            g_error("%s (%zu): %s, expected %s", row->prevents, i,
                    ConfigVerdict_Name(outcome),
                    ConfigVerdict_Name(row->outcome));
        }
        after = format_objects(state);
        g_assert_true((strcmp(before, after) == 0) ==
                      (outcome != CONFIG_ACCEPTED));
        g_assert_cmpuint(ConfigState_Offset(state), ==, 2);
        g_free(before);
        g_free(after);
        ConfigState_Destroy(state);
    }
}

/* Guards against an operator of one line changing objects of another line. */
static void
test_other_line(void)
{
    static const char *const attempts[] = {
        "[line.b]\nweight = 1",
        "[line.b]\nweight = 30",
        "delete = ['line.b']",
        "[caller.b-0]\nline='b'\ntoken_sha256='"
        "2222222222222222222222222222222222222222222222222222222222222222'",
        "[caller.b-0]\nline='a'\ntoken_sha256='"
        "2222222222222222222222222222222222222222222222222222222222222222'",
        "[caller.new]\nline='b'\ntoken_sha256='"
        "2222222222222222222222222222222222222222222222222222222222222222'",
        "[caller.a-0]\nline='b'\ntoken_sha256='"
        "a000000000000000000000000000000000000000000000000000000000000000'",
        "[caller.new]\nline='a'\ntoken_sha256='"
        "b000000000000000000000000000000000000000000000000000000000000000'",
        "delete = ['caller.b-0']",
        "[selector.b-0]\nline='b'\nservice='svc'",
        "[selector.b-0]\nline='a'\nservice='svc'",
        "[selector.new]\nline='b'\nservice='svc'",
        "[selector.a-0]\nline='b'\nservice='svc'",
        "delete = ['selector.b-0']",
        "delete = ['selector.a-0', 'selector.b-0']",
        "[selector.a-0]\nline='a'\nservice='svc'\n"
        "[selector.b-0]\nline='b'\nservice='svc'",
        "[service.svc]\nslots = 1",
        "[service.new]\nslots = 1",
        "delete = ['service.svc']",
        "[line.c]\nweight = 1",
        "delete = ['operator.op-b']",
        "delete = ['operator.root']",
        "[operator.op-a]\npublic_key='%s'\nlines=['a','b']",
        "[operator.op-a]\npublic_key='%s'\nlines=['*']",
        "[operator.op-b]\npublic_key='%s'\nlines=['b']",
        "[operator.root]\npublic_key='%s'\nlines=['*']",
        "[operator.new]\npublic_key='%s'\nlines=['a']",
        "[selector.gone]\nline='a'\nservice='svc'",
        "[caller.gone]\nline='a'\ntoken_sha256='"
        "2222222222222222222222222222222222222222222222222222222222222222'",
    };
    ConfigOptions options = Fixture_Options();
    ConfigState *state = Fixture_Create(&options);
    char *key = Fixture_PublicKey(KEY_A);
    char *before;
    char *after;

    /* Names of deleted objects stay reserved for line b. */
    g_assert_cmpint(
        Fixture_Apply(state, "1", "op-b", KEY_B, 1,
                      "[selector.gone]\nline='b'\nservice='svc'\n"
                      "[caller.gone]\nline='b'\ntoken_sha256='"
                      "333333333333333333333333333333333333333333333333333333"
                      "3333333333'",
                      NULL),
        ==, CONFIG_ACCEPTED);
    g_assert_cmpint(Fixture_Apply(state, "2", "op-b", KEY_B, 2,
                                  "delete=['selector.gone','caller.gone']",
                                  NULL),
                    ==, CONFIG_ACCEPTED);
    before = format_objects(state);
    for (size_t i = 0; i < G_N_ELEMENTS(attempts); i++) {
        char *document = g_strdup_printf("%s", attempts[i]);
        char **parts = g_strsplit(document, "%s", 2);
        char *full = parts[1] ? g_strconcat(parts[0], key, parts[1], NULL)
                              : g_strdup(document);
        char *id = g_strdup_printf("try-%zu", i);
        uint64_t base = ConfigState_Offset(state);

        g_assert_cmpint(
            Fixture_Apply(state, id, "op-a", KEY_A, base, full, NULL), !=,
            CONFIG_ACCEPTED);
        /* Signed with the key of op-a in the name of another operator. */
        g_assert_cmpint(
            Fixture_Apply(state, id, "op-b", KEY_A, base, full, NULL), ==,
            CONFIG_FORGED);
        g_assert_cmpint(
            Fixture_Apply(state, id, "root", KEY_A, base, full, NULL), ==,
            CONFIG_FORGED);
        g_free(id);
        g_free(full);
        g_strfreev(parts);
        g_free(document);
    }
    after = format_objects(state);
    g_assert_cmpstr(before, ==, after);
    g_free(before);
    g_free(after);
    g_free(key);
    ConfigState_Destroy(state);
}

/* Guards against a repeated or replayed record taking effect twice, and
 * against one operator using up an id of another. */
static void
test_duplicate_records(void)
{
    ConfigOptions options = Fixture_Options();
    ConfigState *state;
    const char *change = "[selector.a-0]\nline='a'\nservice='svc'";
    ConfigVerdict verdict;
    char id[16];

    options.history_max = 4;
    state = Fixture_Create(&options);
    ConfigVerdict_Init(&verdict);
    g_assert_cmpint(Fixture_Apply(state, "x", "op-b", KEY_B, 1, change, NULL),
                    ==, CONFIG_DENIED);
    g_assert_cmpint(Fixture_Apply(state, "x", "op-a", KEY_A, 1, change, NULL),
                    ==, CONFIG_ACCEPTED);
    g_assert_cmpint(Fixture_Apply(state, "x", "op-a", KEY_A, 1, change, NULL),
                    ==, CONFIG_DUPLICATE);
    g_assert_cmpint(
        Fixture_Apply(state, "y", "op-a", KEY_A, 1, change, &verdict), ==,
        CONFIG_STALE);
    g_assert_nonnull(strstr(verdict.text->str, "selector.a-0"));
    for (int i = 0; i < 4; i++) {
        g_snprintf(id, sizeof(id), "z%d", i);
        Fixture_Apply(state, id, "op-a", KEY_A, ConfigState_Offset(state),
                      "delete=['selector.none']", NULL);
    }
    /* The history has evicted x and the first y by now. */
    g_assert_cmpint(Fixture_Apply(state, "y", "op-a", KEY_A, 1, change, NULL),
                    ==, CONFIG_EXPIRED);
    g_assert_cmpint(
        ConfigState_Verdict(state, STR("op-a"), STR("x"), &verdict), ==,
        ERR_NOT_FOUND);
    g_assert_cmpint(
        ConfigState_Verdict(state, STR("op-a"), STR("y"), &verdict), ==, 0);
    ConfigVerdict_Clear(&verdict);
    ConfigState_Destroy(state);
}

/* Guards against a first publication without a bootstrap key, and against
 * records applied twice or out of order. */
static void
test_bootstrap(void)
{
    ConfigOptions options = Fixture_Options();
    ConfigState *state = ConfigState_Create(&options);
    char *first = Fixture_FirstDocument();
    char *other = Fixture_PublicKey(KEY_OTHER);
    char *own =
        g_strdup_printf("[operator.x]\npublic_key='%s'\nlines=['*']", other);

    g_assert_cmpint(Fixture_Apply(state, "1", "x", KEY_OTHER, 0, own, NULL),
                    ==, CONFIG_FORGED);
    g_assert_cmpint(
        Fixture_Apply(state, "1", "root", KEY_OTHER, 0, first, NULL), ==,
        CONFIG_FORGED);
    g_assert_cmpint(
        Fixture_Apply(state, "1", "root", KEY_ROOT, 0, first, NULL), ==,
        CONFIG_ACCEPTED);
    g_assert_cmpint(Fixture_Apply(state, "2", "x", KEY_OTHER, 3, own, NULL),
                    ==, CONFIG_FORGED);
    g_assert_cmpint(ConfigState_Apply(state, 1, STR("{}"), NULL, NULL), ==,
                    ERR_EXPIRED);
    g_assert_cmpint(ConfigState_Apply(state, 9, STR("{}"), NULL, NULL), ==,
                    ERR_NOT_FOUND);
    g_assert_cmpuint(ConfigState_Offset(state), ==, 4);
    g_free(own);
    g_free(other);
    g_free(first);
    ConfigState_Destroy(state);
}

/* Guards against a wrong order of precedence between selectors, and against
 * selectors of other lines admitting a caller. */
static void
test_admit(void)
{
    static const char token[32] = {(char)0xa0};
    ConfigOptions options = Fixture_Options();
    ConfigState *state = Fixture_Create(&options);
    Str sha256 = {token, sizeof(token)};
    CallerGrant grant;

    g_assert_cmpint(ConfigState_Admit(state, sha256, STR("svc"), &grant), ==,
                    0);
    g_assert_true(Str_Equal(grant.selector->name, STR("a-0")));
    g_assert_true(Str_Equal(grant.line->name, STR("a")));
    g_assert_cmpint(ConfigState_Admit(state, sha256, STR("none"), &grant), ==,
                    ERR_NOT_FOUND);
    g_assert_cmpint(ConfigState_Admit(state, STR("short"), STR("svc"), &grant),
                    ==, ERR_DENIED);
    /* The selector with more labels has precedence; of equals, the first
     * name. */
    Fixture_Apply(state, "1", "op-a", KEY_A, 1,
                  "[selector.0]\nline='a'\nservice='svc'\n"
                  "[selector.A]\nline='a'\nservice='svc'\n"
                  "callers={role='r0'}\ndeadline_ms=7",
                  NULL);
    g_assert_cmpint(ConfigState_Admit(state, sha256, STR("svc"), &grant), ==,
                    0);
    g_assert_true(Str_Equal(grant.selector->name, STR("A")));
    g_assert_cmpint(grant.deadline, ==, 7000);
    Fixture_Apply(state, "2", "op-a", KEY_A, 2,
                  "delete=['selector.A','selector.a-0']", NULL);
    g_assert_cmpint(ConfigState_Admit(state, sha256, STR("svc"), &grant), ==,
                    0);
    g_assert_true(Str_Equal(grant.selector->name, STR("0")));
    ConfigState_Destroy(state);
}

/* Guards against a preview that changes the state, or does not report that a
 * caller loses an upstream. */
static void
test_preview(void)
{
    static const Label pools[] = {{{"pool", 4}, {"p0", 2}},
                                  {{"pool", 4}, {"p1", 2}}};
    const DiffUpstream upstreams[] = {
        {STR("up-0"), STR("svc"), {&pools[0], 1}},
        {STR("up-1"), STR("svc"), {&pools[1], 1}},
        {STR("up-2"), STR("other"), {&pools[1], 1}}};
    ConfigOptions options = Fixture_Options();
    ConfigState *state = Fixture_Create(&options);
    GString *before = Fixture_Snapshot(state);
    GString *text = g_string_new(NULL);
    Publication *publication =
        Publication_Create(STR("p"), STR("op-a"), 1,
                           STR("[selector.a-0]\nline='a'\nservice='svc'\n"
                               "callers={role='r0'}\nupstreams={pool='p1'}"));
    ConfigVerdict verdict;
    ConfigState *next;
    GString *after;

    ConfigVerdict_Init(&verdict);
    next = ConfigState_Preview(state, publication, &verdict, NULL);
    g_assert_nonnull(next);
    g_assert_cmpuint(ConfigDiff_States(state, next, text), ==, 1);
    g_assert_cmpstr(text->str, ==,
                    "~ selector.a-0\n"
                    "  - upstreams = { \"pool\" = \"p0\" }\n"
                    "  + upstreams = { \"pool\" = \"p1\" }\n");
    g_string_truncate(text, 0);
    g_assert_cmpuint(ConfigDiff_Access(state, next, upstreams, 3, text), ==,
                     2);
    g_assert_cmpstr(text->str, ==,
                    "a-0 svc gains 1: up-1\na-0 svc loses 1: up-0\n");
    after = Fixture_Snapshot(state);
    g_assert_true(g_string_equal(before, after));
    ConfigState_Destroy(next);
    ConfigVerdict_Clear(&verdict);
    Publication_Destroy(publication);
    g_string_free(after, TRUE);
    g_string_free(before, TRUE);
    g_string_free(text, TRUE);
    ConfigState_Destroy(state);
}

/* Guards against an operator of one line exhausting the hosts' memory. */
static void
test_bounds(void)
{
    ConfigOptions options = Fixture_Options();
    GString *text = g_string_new(NULL);
    static const char *const ids[] = {"p0", "p1", "p2", "p3"};
    ConfigState *state;

    options.line_objects_max = 5;
    options.author_bytes_max = 12000;
    state = Fixture_Create(&options);
    for (int i = 0; i < 4; i++) {
        g_string_printf(text, "[selector.a-%d]\nline='a'\nservice='svc'\n#",
                        i % 2);
        /* Records 2 and 3 replace the objects of records 0 and 1. */
        while (text->len < 5000) {
            g_string_append(text, "padding");
        }
        g_assert_cmpint(Fixture_Apply(state, ids[i], "op-a", KEY_A,
                                      ConfigState_Offset(state), text->str,
                                      NULL),
                        ==, CONFIG_ACCEPTED);
    }
    g_string_append(text, "\n[selector.x]\nline='a'\nservice='svc'\n"
                          "[selector.y]\nline='a'\nservice='svc'\n");
    g_assert_cmpint(Fixture_Apply(state, "q", "op-a", KEY_A,
                                  ConfigState_Offset(state), text->str, NULL),
                    ==, CONFIG_FULL);
    g_string_replace(text, "selector.a-1", "selector.x", 1);
    g_string_truncate(text, 5000);
    g_assert_cmpint(Fixture_Apply(state, "r", "op-a", KEY_A,
                                  ConfigState_Offset(state), text->str, NULL),
                    ==, CONFIG_FULL);
    g_assert_cmpint(
        Fixture_Apply(state, "s", "op-b", KEY_B, ConfigState_Offset(state),
                      "[selector.x]\nline='b'\nservice='svc'", NULL),
        ==, CONFIG_ACCEPTED);
    g_string_free(text, TRUE);
    ConfigState_Destroy(state);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/config/rule", test_rule);
    g_test_add_func("/config/other-line", test_other_line);
    g_test_add_func("/config/repeats", test_duplicate_records);
    g_test_add_func("/config/bootstrap", test_bootstrap);
    g_test_add_func("/config/admit", test_admit);
    g_test_add_func("/config/preview", test_preview);
    g_test_add_func("/config/bounds", test_bounds);
    return g_test_run();
}
