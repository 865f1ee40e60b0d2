#include "ConfigFixture.h"

#include <stdio.h>
#include <string.h>

#include "Snapshot.h"

static void
make_secret(uint32_t number, uint8_t secret[32])
{
    memset(secret, 0x5a, 32);
    memcpy(secret, &number, sizeof(number));
}

ConfigOptions
Fixture_Options(void)
{
    static Key32 root;
    static gsize ready = 0;
    uint8_t secret[32];

    /* Tests call this from several threads. */
    if (g_once_init_enter(&ready)) {
        make_secret(KEY_ROOT, secret);
        Publication_DerivePublicKey(secret, &root);
        g_once_init_leave(&ready, 1);
    }
    return (ConfigOptions){.bootstrap_keys = {&root, 1}};
}

char *
Fixture_PublicKey(uint32_t number)
{
    uint8_t secret[32];
    Key32 key;

    make_secret(number, secret);
    Publication_DerivePublicKey(secret, &key);
    return g_base64_encode(key.bytes, sizeof(key.bytes));
}

static void
add_line(GString *text, const char *line, uint32_t key)
{
    char *public_key = Fixture_PublicKey(key);

    g_string_append_printf(text,
                           "[line.%s]\nweight = 30\n"
                           "[operator.op-%s]\npublic_key = \"%s\"\n"
                           "lines = [\"%s\"]\n",
                           line, line, public_key, line);
    for (int i = 0; i < 2; i++) {
        g_string_append_printf(
            text,
            "[caller.%s-%d]\nline = \"%s\"\ntoken_sha256 = \"%s%d%062d\"\n"
            "labels = { role = \"r%d\" }\n"
            "[selector.%s-%d]\nline = \"%s\"\nservice = \"svc\"\n"
            "callers = { role = \"r%d\" }\nupstreams = { pool = \"p%d\" }\n",
            line, i, line, line, i, 0, i, line, i, line, i, i);
    }
    g_free(public_key);
}

char *
Fixture_FirstDocument(void)
{
    char *root = Fixture_PublicKey(KEY_ROOT);
    GString *text = g_string_new(NULL);

    g_string_append_printf(text,
                           "[operator.root]\npublic_key = \"%s\"\n"
                           "lines = [\"*\"]\n[service.svc]\nslots = 6\n",
                           root);
    add_line(text, "a", KEY_A);
    add_line(text, "b", KEY_B);
    g_free(root);
    return g_string_free(text, FALSE);
}

void
Fixture_Sign(GString *record, const char *id, const char *author, uint32_t key,
             uint64_t base, const char *document)
{
    Publication *publication = Publication_Create(
        Str_FromC(id), Str_FromC(author), base, Str_FromC(document));
    uint8_t secret[32];

    g_assert_nonnull(publication);
    make_secret(key, secret);
    g_assert_cmpint(Publication_Sign(publication, secret), ==, 0);
    g_string_truncate(record, 0);
    Publication_Write(publication, record);
    Publication_Destroy(publication);
}

ConfigOutcome
Fixture_Apply(ConfigState *state, const char *id, const char *author,
              uint32_t key, uint64_t base, const char *document,
              ConfigVerdict *verdict)
{
    GString *record = g_string_new(NULL);
    ConfigVerdict local;
    ConfigOutcome outcome;

    ConfigVerdict_Init(&local);
    Fixture_Sign(record, id, author, key, base, document);
    ConfigState_Apply(state, ConfigState_Offset(state), Str_FromString(record),
                      verdict != NULL ? verdict : &local, NULL);
    outcome = verdict != NULL ? verdict->outcome : local.outcome;
    ConfigVerdict_Clear(&local);
    g_string_free(record, TRUE);
    return outcome;
}

ConfigState *
Fixture_Create(const ConfigOptions *options)
{
    ConfigState *state = ConfigState_Create(options);
    char *document = Fixture_FirstDocument();

    g_assert_cmpint(
        Fixture_Apply(state, "first", "root", KEY_ROOT, 0, document, NULL), ==,
        CONFIG_ACCEPTED);
    g_free(document);
    return state;
}

GString *
Fixture_Snapshot(const ConfigState *state)
{
    GString *text = g_string_new(NULL);

    ConfigState_WriteSnapshot(state, text);
    return text;
}

void
Fixture_FixDigest(GString *snapshot)
{
    const size_t tail = 7 + 2 * SNAPSHOT_DIGEST_BYTES + 1;
    uint8_t digest[SNAPSHOT_DIGEST_BYTES];

    if (snapshot->len <= tail) {
        return;
    }
    g_string_truncate(snapshot, snapshot->len - tail);
    Snapshot_Digest(Str_FromString(snapshot), digest);
    g_string_append(snapshot, "sha256 ");
    for (size_t i = 0; i < sizeof(digest); i++) {
        g_string_append_printf(snapshot, "%02x", digest[i]);
    }
    g_string_append_c(snapshot, '\n');
}
