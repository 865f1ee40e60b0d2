#include <glib.h>
#include <string.h>

#include "ConfigFixture.h"
#include "ConfigFuzz.h"
#include "Snapshot.h"
#include "SnapshotSchedule.h"

#define FUZZ_SEED 20261203
#define FUZZ_ROUNDS 2000

/* Creates a state with a rotated key, deletions and a rejected record, which
 * a snapshot has to contain. */
static ConfigState *
create_state_with_history(const ConfigOptions *options)
{
    ConfigState *state = Fixture_Create(options);
    char *key = Fixture_PublicKey(KEY_OTHER);
    char *rotate =
        g_strdup_printf("[operator.op-a]\npublic_key='%s'\nlines=['a']", key);

    g_assert_cmpint(Fixture_Apply(state, "1", "op-a", KEY_A, 1,
                                  "[selector.s]\nline='a'\nservice='svc'",
                                  NULL),
                    ==, CONFIG_ACCEPTED);
    g_assert_cmpint(
        Fixture_Apply(state, "2", "root", KEY_ROOT, 2, rotate, NULL), ==,
        CONFIG_ACCEPTED);
    g_assert_cmpint(Fixture_Apply(state, "3", "op-a", KEY_OTHER, 3,
                                  "delete=['selector.a-0']", NULL),
                    ==, CONFIG_ACCEPTED);
    g_assert_cmpint(Fixture_Apply(state, "4", "op-a", KEY_A, 3,
                                  "delete=['selector.a-1']", NULL),
                    ==, CONFIG_FORGED);
    g_free(rotate);
    g_free(key);
    return state;
}

/* Guards against a host whose state differs after it has loaded a snapshot,
 * and against the rejection of objects signed with a key that was rotated. */
static void
test_round_trip(void)
{
    ConfigOptions options = Fixture_Options();
    ConfigState *state = create_state_with_history(&options);
    ConfigState *other = ConfigState_Create(&options);
    GString *text = Fixture_Snapshot(state);
    GString *again;

    g_assert_cmpint(
        ConfigState_LoadSnapshot(other, Str_FromString(text), NULL), ==, 0);
    again = Fixture_Snapshot(other);
    g_assert_cmpstr(text->str, ==, again->str);
    g_assert_cmpint(
        ConfigState_LoadSnapshot(other, Str_FromString(text), NULL), ==,
        ERR_EXPIRED);
    /* Both must give the same outcomes for a replay, a stale base and a
     * missing permission. */
    for (int i = 0; i < 2; i++) {
        ConfigState *host = i == 0 ? state : other;

        g_assert_cmpint(Fixture_Apply(host, "3", "op-a", KEY_OTHER, 3,
                                      "delete=['selector.a-0']", NULL),
                        ==, CONFIG_DUPLICATE);
        g_assert_cmpint(
            Fixture_Apply(host, "5", "op-a", KEY_OTHER, 3,
                          "[selector.a-0]\nline='a'\nservice='svc'", NULL),
            ==, CONFIG_STALE);
        g_assert_cmpint(
            Fixture_Apply(host, "6", "op-b", KEY_B, 5,
                          "[selector.a-0]\nline='b'\nservice='svc'", NULL),
            ==, CONFIG_DENIED);
    }
    g_string_free(again, TRUE);
    again = Fixture_Snapshot(other);
    g_string_truncate(text, 0);
    ConfigState_WriteSnapshot(state, text);
    g_assert_cmpstr(text->str, ==, again->str);
    g_string_free(again, TRUE);
    g_string_free(text, TRUE);
    ConfigState_Destroy(other);
    ConfigState_Destroy(state);
}

/* Replaces @from by @to in the text of a valid snapshot, and corrects the
 * digest if @fix_digest. */
typedef struct DamageCase_ {
    const char *prevents;
    const char *from;
    const char *to;
    bool fix_digest;
    int code;
} DamageCase;

static const DamageCase damage_cases[] = {
    {"bytes are corrupted in transit", "pool", "pooh", false, ERR_PARSE},
    {"a peer changes a signed document", "weight = 30", "weight = 99", true,
     ERR_DENIED},
    {"a peer renames the author", "\\\"author\\\":\\\"root",
     "\\\"author\\\":\\\"op-b", true, ERR_DENIED},
    {"a record claims an offset beyond the snapshot", "record 3", "record 9",
     true, ERR_PARSE},
    {"an item names no object", " o1", " o99", true, ERR_PARSE},
    {"the last line is missing", "end\n", "", true, ERR_PARSE},
    {"the offset is below that of a record", "offset 5", "offset 0", true,
     ERR_PARSE},
    {"an unknown version is loaded", "snapshot 1", "snapshot 2", true,
     ERR_PARSE},
};

static void
test_damaged_snapshots(void)
{
    ConfigOptions options = Fixture_Options();
    ConfigState *state = create_state_with_history(&options);

    for (size_t i = 0; i < G_N_ELEMENTS(damage_cases); i++) {
        const DamageCase *row = &damage_cases[i];
        ConfigState *other = ConfigState_Create(&options);
        GString *text = Fixture_Snapshot(state);
        char *from = g_strcompress(row->from);
        char *to = g_strcompress(row->to);

        g_assert_cmpuint(g_string_replace(text, from, to, 1), ==, 1);
        if (row->fix_digest) {
            Fixture_FixDigest(text);
        }
        if (ConfigState_LoadSnapshot(other, Str_FromString(text), NULL) !=
            row->code) {
            g_error("%s: not rejected with the expected error", row->prevents);
        }
        g_assert_cmpuint(ConfigState_Offset(other), ==, 0);
        g_free(from);
        g_free(to);
        g_string_free(text, TRUE);
        ConfigState_Destroy(other);
    }
    ConfigState_Destroy(state);
}

/* Guards against loading a snapshot signed by a bootstrap key that this host
 * does not have, and one that reverts objects but states a newer offset. */
static void
test_trust(void)
{
    ConfigOptions options = Fixture_Options();
    ConfigOptions untrusted = {0};
    ConfigState *state = create_state_with_history(&options);
    ConfigState *other = ConfigState_Create(&untrusted);
    GString *text = Fixture_Snapshot(state);
    ConfigState *newer = ConfigState_Create(&options);

    g_assert_cmpint(
        ConfigState_LoadSnapshot(other, Str_FromString(text), NULL), ==,
        ERR_DENIED);
    ConfigState_LoadSnapshot(newer, Str_FromString(text), NULL);
    Fixture_Apply(newer, "7", "op-b", KEY_B, 5, "delete=['selector.b-0']",
                  NULL);
    g_assert_cmpuint(g_string_replace(text, "offset 5", "offset 99", 1), ==,
                     1);
    Fixture_FixDigest(text);
    g_assert_cmpint(
        ConfigState_LoadSnapshot(newer, Str_FromString(text), NULL), ==,
        ERR_CONFLICT);
    g_assert_cmpuint(ConfigState_Offset(newer), ==, 6);
    g_assert_cmpint(
        ConfigState_CheckSnapshot(newer, Str_FromString(text), NULL), ==,
        ERR_CONFLICT);
    g_string_truncate(text, 0);
    ConfigState_WriteSnapshot(state, text);
    g_assert_cmpint(
        ConfigState_CheckSnapshot(newer, Str_FromString(text), NULL), ==, 0);
    g_string_free(text, TRUE);
    ConfigState_Destroy(newer);
    ConfigState_Destroy(other);
    ConfigState_Destroy(state);
}

/* Guards against an unlimited number of tombstones, and against accepting a
 * stale base after the tombstone of the object was dropped. */
static void
test_tombstones(void)
{
    ConfigOptions options = Fixture_Options();
    ConfigState *state;
    ConfigState *other;
    GString *text;
    char id[16];
    char document[128];

    options.tombstones_max = 2;
    state = Fixture_Create(&options);
    for (int i = 0; i < 4; i++) {
        g_snprintf(id, sizeof(id), "c%d", i);
        g_snprintf(document, sizeof(document),
                   "[selector.t%d]\nline='a'\nservice='svc'", i);
        Fixture_Apply(state, id, "op-a", KEY_A, ConfigState_Offset(state),
                      document, NULL);
        g_snprintf(id, sizeof(id), "d%d", i);
        g_snprintf(document, sizeof(document), "delete=['selector.t%d']", i);
        g_assert_cmpint(Fixture_Apply(state, id, "op-a", KEY_A,
                                      ConfigState_Offset(state), document,
                                      NULL),
                        ==, CONFIG_ACCEPTED);
    }
    text = Fixture_Snapshot(state);
    other = ConfigState_Create(&options);
    g_assert_cmpint(
        ConfigState_LoadSnapshot(other, Str_FromString(text), NULL), ==, 0);
    g_assert_cmpint(Fixture_Apply(other, "x", "op-a", KEY_A, 3,
                                  "[selector.t0]\nline='a'\nservice='svc'",
                                  NULL),
                    ==, CONFIG_STALE);
    g_assert_cmpint(Fixture_Apply(other, "y", "op-a", KEY_A, 9,
                                  "[selector.t0]\nline='a'\nservice='svc'",
                                  NULL),
                    ==, CONFIG_ACCEPTED);
    g_string_free(text, TRUE);
    ConfigState_Destroy(other);
    ConfigState_Destroy(state);
}

/* Guards against mixing the chunks of two snapshots, against rejecting chunks
 * that arrive in any order or twice, and against accepting invalid chunks. */
static void
test_chunks(void)
{
    SnapshotBuffer *buffer = SnapshotBuffer_Create();
    SnapshotChunk chunk = {.offset = 7, .count = 2};
    SnapshotChunk wrong;
    uint64_t offset = 0;
    uint64_t time_ms = 0;
    GString *text;

    Snapshot_Digest(STR("abcd"), chunk.digest);
    chunk.index = 1;
    chunk.data = STR("cd");
    g_assert_cmpint(SnapshotBuffer_Add(buffer, &chunk, 5), ==, 0);
    g_assert_cmpint(SnapshotBuffer_Add(buffer, &chunk, 9), ==, 0);
    wrong = chunk;
    wrong.digest[0] ^= 1;
    wrong.index = 0;
    wrong.data = STR("ab");
    g_assert_cmpint(SnapshotBuffer_Add(buffer, &wrong, 6), ==, 0);
    wrong.index = 2;
    g_assert_cmpint(SnapshotBuffer_Add(buffer, &wrong, 6), ==, ERR_PROTOCOL);
    chunk.index = 0;
    chunk.data = STR("ab");
    g_assert_cmpint(SnapshotBuffer_Add(buffer, &chunk, 8), ==, 1);
    text = SnapshotBuffer_Take(buffer, &offset, &time_ms);
    g_assert_cmpstr(text->str, ==, "abcd");
    g_assert_cmpuint(offset, ==, 7);
    g_assert_cmpuint(time_ms, ==, 8);
    g_assert_null(SnapshotBuffer_Take(buffer, &offset, &time_ms));
    g_string_free(text, TRUE);
    SnapshotBuffer_Destroy(buffer);
}

/* Guards against all hosts writing a snapshot that is due, and against no host
 * writing one. */
static void
test_schedule(void)
{
    const SnapshotScheduleOptions options = {100 * MICROS_PER_S,
                                             10 * MICROS_PER_S, 50};
    Clock *clock = Clock_CreateManual(0, 1000 * MICROS_PER_S);
    Random *random = Random_Create(7);
    SnapshotSchedule *schedule =
        SnapshotSchedule_Create(&options, clock, random);

    SnapshotSchedule_OnRecord(schedule, 0, 1000000);
    g_assert_false(SnapshotSchedule_IsDue(schedule));
    Clock_Advance(clock, 100 * MICROS_PER_S);
    g_assert_true(SnapshotSchedule_IsDue(schedule));
    g_assert_cmpint(SnapshotSchedule_Step(schedule), ==, SNAPSHOT_WAIT);
    Clock_Advance(clock, 10 * MICROS_PER_S);
    g_assert_cmpint(SnapshotSchedule_Step(schedule), ==, SNAPSHOT_CHECK);
    g_assert_cmpint(SnapshotSchedule_Step(schedule), ==, SNAPSHOT_WAIT);
    /* Another host writes the snapshot first. */
    SnapshotSchedule_OnSnapshot(schedule, 1, 1105000);
    SnapshotSchedule_OnChecked(schedule);
    g_assert_cmpint(SnapshotSchedule_Step(schedule), ==, SNAPSHOT_WAIT);
    g_assert_false(SnapshotSchedule_IsDue(schedule));
    /* Many records make a snapshot due before the interval has passed. */
    SnapshotSchedule_OnRecord(schedule, 50, 1106000);
    g_assert_true(SnapshotSchedule_IsDue(schedule));
    SnapshotSchedule_Step(schedule);
    Clock_Advance(clock, 10 * MICROS_PER_S);
    g_assert_cmpint(SnapshotSchedule_Step(schedule), ==, SNAPSHOT_CHECK);
    SnapshotSchedule_OnChecked(schedule);
    g_assert_cmpint(SnapshotSchedule_Step(schedule), ==, SNAPSHOT_WRITE);
    SnapshotSchedule_Destroy(schedule);
    Random_Destroy(random);
    Clock_Destroy(clock);
}

/* Guards against crashes, reads beyond the end of the input, and damaged input
 * that changes the state. */
static void
test_fuzz(void)
{
    g_test_message("seed %d", FUZZ_SEED);
    g_assert_cmpuint(ConfigFuzz_Run(FUZZ_SEED, FUZZ_ROUNDS), ==,
                     FUZZ_ROUNDS * 4);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/snapshot/round-trip", test_round_trip);
    g_test_add_func("/snapshot/damage", test_damaged_snapshots);
    g_test_add_func("/snapshot/trust", test_trust);
    g_test_add_func("/snapshot/tombstones", test_tombstones);
    g_test_add_func("/snapshot/pieces", test_chunks);
    g_test_add_func("/snapshot/schedule", test_schedule);
    g_test_add_func("/snapshot/fuzz", test_fuzz);
    return g_test_run();
}
