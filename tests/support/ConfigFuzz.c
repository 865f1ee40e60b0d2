#include "ConfigFuzz.h"

#include <string.h>

#include "ConfigFixture.h"
#include "Random.h"
#include "Settings.h"
#include "Snapshot.h"

static const char settings_text[] =
    "[host]\nid='h'\ndeployment='t'\ndomain='d'\n[log]\nurl='http://l:1'\n"
    "[host_list]\nurl='http://h'\n[listen]\ncaller_port=1\nadmin_port=2\n"
    "peer_port=3\n[peers]\nseeds=['10.0.0.1:7','[::1]:8']\n"
    "[routing]\npolicy='probed'\n[drain]\ntimeout_s=1_0\n"
    "[logging]\nlevel=\"in\\u0066o\"\n";

/* Tokens with a meaning to at least one of the decoders. */
static const char *const syntax_tokens[] = {
    "[",          "]",       "{",      "}",          "\"",
    "'''",        "=",       ".",      ",",          "\n",
    "\\u0000",    "\\uD800", "1e999",  "nan",        "inf",
    "-1",         "true",    "delete", "0x7fffffff", "[[",
    "a.b.c.d",    "line",    "\xff",   "\0x",        "99999999999999999999",
    "1979-05-27", "base",    "record", "end",        "o0",
    "d0:-",       "history"};

static void
mutate_once(GString *text, Random *random)
{
    size_t at = (size_t)Random_Below(random, text->len + 1);
    size_t length = (size_t)Random_Below(random, 16);
    const char *inserted;
    GString *copy;

    switch (Random_Below(random, 6)) {
    case 0:
        if (at < text->len) {
            text->str[at] = (char)Random_Next(random);
        }
        return;
    case 1:
        g_string_erase(text, (gssize)at, (gssize)MIN(length, text->len - at));
        return;
    case 2:
        g_string_truncate(text, at);
        return;
    case 3:
        copy = g_string_new_len(text->str + at,
                                (gssize)MIN(length * 8, text->len - at));
        g_string_insert_len(text, (gssize)at, copy->str, (gssize)copy->len);
        g_string_free(copy, TRUE);
        return;
    case 4:
        if (at < text->len) {
            text->str[at] ^= (char)(1 << Random_Below(random, 8));
        }
        return;
    default:
        inserted =
            syntax_tokens[Random_Below(random, G_N_ELEMENTS(syntax_tokens))];
        g_string_insert(text, (gssize)at, inserted);
        return;
    }
}

static GString *
mutate(const char *text, size_t length, Random *random)
{
    GString *copy = g_string_new_len(text, (gssize)length);
    uint64_t mutations = 1 + Random_Below(random, 4);

    while (mutations-- > 0) {
        mutate_once(copy, random);
    }
    return copy;
}

/* A heap copy of exactly these bytes, so that the address sanitizer detects
 * reads beyond the end. */
static Str
exact_copy(const GString *text)
{
    return (Str){g_memdup2(text->str, text->len), text->len};
}

static void
feed_text(Str text)
{
    Diagnostics *diagnostics = Diagnostics_Create(STR("fuzz"));
    GString *out = g_string_new(NULL);
    Settings *settings = Settings_Parse(text, diagnostics);
    ConfigDocument *document = ConfigDocument_Parse(text, diagnostics);
    SnapshotChunk chunk;

    Diagnostics_Write(diagnostics, out);
    Settings_Destroy(settings);
    ConfigDocument_Destroy(document);
    Snapshot_ParseChunk(text, &chunk, NULL);
    g_string_free(out, TRUE);
    Diagnostics_Destroy(diagnostics);
}

/* A state with an accepted record must yield a snapshot that loads. */
static void
feed_record(const ConfigState *state, Str record)
{
    ConfigState *copy = ConfigState_Clone(state);
    GString *before = g_string_new(NULL);
    GString *after = g_string_new(NULL);
    ConfigVerdict verdict;

    ConfigVerdict_Init(&verdict);
    ConfigState_WriteSnapshot(copy, before);
    ConfigState_Apply(copy, ConfigState_Offset(copy), record, &verdict, NULL);
    g_assert_true(verdict.outcome == CONFIG_FORGED ||
                  verdict.outcome == CONFIG_MALFORMED ||
                  verdict.outcome == CONFIG_ACCEPTED);
    ConfigState_WriteSnapshot(copy, after);
    if (verdict.outcome == CONFIG_ACCEPTED) {
        g_assert_cmpint(
            ConfigState_CheckSnapshot(state, Str_FromString(after), NULL), ==,
            0);
    }
    ConfigVerdict_Clear(&verdict);
    g_string_free(after, TRUE);
    g_string_free(before, TRUE);
    ConfigState_Destroy(copy);
}

/* Corrects the digest, so that the checks behind it are reached. */
static void
feed_snapshot(const ConfigState *state, const ConfigOptions *options,
              GString *text)
{
    ConfigState *fresh = ConfigState_Create(options);
    Str exact;

    Fixture_FixDigest(text);
    exact = exact_copy(text);
    ConfigState_LoadSnapshot(fresh, exact, NULL);
    ConfigState_CheckSnapshot(state, exact, NULL);
    g_free((gpointer)exact.data);
    ConfigState_Destroy(fresh);
}

uint64_t
ConfigFuzz_Run(uint64_t seed, uint32_t rounds)
{
    ConfigOptions options = Fixture_Options();
    ConfigState *state = Fixture_Create(&options);
    Random *random = Random_Create(seed);
    char *document = Fixture_FirstDocument();
    GString *record = g_string_new(NULL);
    GString *snapshot = g_string_new(NULL);

    Fixture_Apply(state, "1", "op-a", KEY_A, 1, "delete=['selector.a-0']",
                  NULL);
    Fixture_Sign(record, "2", "op-a", KEY_A, 2,
                 "[selector.a-1]\nline='a'\nservice='svc'\n");
    ConfigState_WriteSnapshot(state, snapshot);
    for (uint32_t i = 0; i < rounds; i++) {
        GString *inputs[] = {
            mutate(settings_text, strlen(settings_text), random),
            mutate(document, strlen(document), random),
            mutate(record->str, record->len, random),
            mutate(snapshot->str, snapshot->len, random),
        };

        for (size_t j = 0; j < G_N_ELEMENTS(inputs); j++) {
            Str exact = exact_copy(inputs[j]);

            feed_text(exact);
            if (j == 2) {
                feed_record(state, exact);
            }
            if (j == 3) {
                feed_snapshot(state, &options, inputs[j]);
            }
            g_free((gpointer)exact.data);
            g_string_free(inputs[j], TRUE);
        }
    }
    g_string_free(snapshot, TRUE);
    g_string_free(record, TRUE);
    g_free(document);
    Random_Destroy(random);
    ConfigState_Destroy(state);
    return (uint64_t)rounds * 4;
}
