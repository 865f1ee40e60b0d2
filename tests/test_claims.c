#include <glib.h>
#include <string.h>

#include "AnswerCache.h"
#include "ClaimBatcher.h"
#include "ClaimTable.h"
#include "Claims.h"
#include "Random.h"

#define WALL_START_US ((Micros)1700000000 * MICROS_PER_S)
#define NOW_MS ((uint64_t)(WALL_START_US / 1000))
#define FUZZ_SEED 4711
#define FUZZ_RECORD_COUNT 20000
#define UUID "018bcfe5-6800-7abc-8def-0123456789ab"

/* Malformed keys must be rejected, and the fields of valid ones parsed. */
static void
test_parse(void)
{
    static const struct {
        const char *text;
        int code;
        const char *host;
        uint64_t incarnation;
    } cases[] = {
        {UUID, 0, "", 0},
        {"018BCFE5-6800-7ABC-8DEF-0123456789AB", 0, "", 0},
        {"agk1-entry-3-42-" UUID, 0, "entry-3", 42},
        {"agk1-e-18446744073709551615-" UUID, 0, "e", UINT64_MAX},
        {"agk1-e-18446744073709551616-" UUID, ERR_PARSE, "", 0},
        {"agk1-e-042-" UUID, ERR_PARSE, "", 0},
        {"agk1-e--" UUID, ERR_PARSE, "", 0},
        {"agk1--42-" UUID, ERR_PARSE, "", 0},
        {"agk1-42-" UUID, ERR_PARSE, "", 0},
        {"agk1-e f-42-" UUID, ERR_PARSE, "", 0},
        {"agk1-" UUID, ERR_PARSE, "", 0},
        {"agk1-", ERR_PARSE, "", 0},
        {"", ERR_PARSE, "", 0},
        {"018bcfe5-6800-4abc-8def-0123456789ab", ERR_PARSE, "", 0},
        {"018bcfe5-6800-7abc-0def-0123456789ab", ERR_PARSE, "", 0},
        {"018bcfe5-6800-7abc-8def-0123456789a", ERR_PARSE, "", 0},
        {"018bcfe5-6800-7abc-8def-0123456789abc", ERR_PARSE, "", 0},
        {"018bcfe5x6800-7abc-8def-0123456789ab", ERR_PARSE, "", 0},
        {"018bcfe5-6800-7abc-8def-0123456789ag", ERR_PARSE, "", 0},
    };
    char longest[IDEMPOTENCY_KEY_MAX_BYTES + 2];
    IdempotencyKey key;

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        int code = IdempotencyKey_Parse(&key, Str_FromC(cases[i].text));

        g_assert_cmpint(code, ==, cases[i].code);
        if (code == 0) {
            g_assert_true(Str_Equal(key.host, Str_FromC(cases[i].host)));
            g_assert_cmpuint(key.incarnation, ==, cases[i].incarnation);
            g_assert_cmpuint(key.time_ms, ==, NOW_MS);
        }
    }
    memset(longest, 'a', sizeof(longest));
    g_assert_cmpint(
        IdempotencyKey_Parse(&key, (Str){longest, sizeof(longest) - 1}), ==,
        ERR_LIMIT);
}

/* Keys of different lines or callers must not have the same hash. */
static void
test_scope(void)
{
    static const struct {
        const char *line, *caller, *key;
        bool same;
    } cases[] = {
        {"line", "caller", UUID, true},
        {"line", "caller", "018BCFE5-6800-7ABC-8DEF-0123456789AB", true},
        {"lin", "ecaller", UUID, false},
        {"line2", "caller", UUID, false},
        {"line", "caller2", UUID, false},
        {"line", "caller", "018bcfe5-6800-7abc-8def-0123456789ac", false},
        {"line", "caller", "agk1-e-1-" UUID, false},
    };
    IdempotencyKey key;
    KeyHash first = {{0, 0}};

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        KeyHash hash;

        g_assert_cmpint(IdempotencyKey_Parse(&key, Str_FromC(cases[i].key)),
                        ==, 0);
        hash = IdempotencyKey_Hash(&key, Str_FromC(cases[i].line),
                                   Str_FromC(cases[i].caller));
        first = i == 0 ? hash : first;
        g_assert_cmpint(KeyHash_Equal(hash, first), ==, cases[i].same);
    }
}

/* Every key that was added must be remembered or have a time below the
 * floor; otherwise it could be claimed again. */
static void
test_table(void)
{
    ClaimHolders *holders = ClaimHolders_Create();
    ClaimTable *table = ClaimTable_Create(100, holders, false);

    for (uint64_t i = 0; i < 1000; i++) {
        ClaimEntry entry = {
            .key = {{i * 0x9e3779b97f4a7c15u, i}},
            .time_s = (uint32_t)(1000 + i),
            .holder = ClaimHolders_Ref(holders, STR("h"), i / 100),
        };

        ClaimTable_Add(table, &entry);
        for (uint64_t k = 0; k <= i; k++) {
            KeyHash key = {{k * 0x9e3779b97f4a7c15u, k}};
            const ClaimEntry *found = ClaimTable_Find(table, key);

            g_assert_cmpint(found != NULL, ==, k + 100 > i);
            g_assert_true(found != NULL ||
                          ClaimTable_Floor(table) > (1000 + k) * 1000);
        }
    }
    ClaimTable_ForgetBefore(table, 1950 * 1000);
    g_assert_cmpuint(ClaimTable_Count(table), ==, 50);
    ClaimTable_Destroy(table);
    ClaimHolders_Destroy(holders);
}

/* The cache must stay within its memory bound and return only the answer of
 * the given key. */
static void
test_answers(void)
{
    AnswerCache *cache = AnswerCache_Create(4096, 1000);
    char text[1001];
    Str answer;

    memset(text, 'x', sizeof(text));
    g_assert_false(
        AnswerCache_Put(cache, (KeyHash){{1, 1}}, (Str){text, 1001}));
    for (uint64_t i = 0; i < 100; i++) {
        KeyHash key = {{i, 7}};

        memset(text, (int)('a' + i % 26), sizeof(text));
        g_assert_true(AnswerCache_Put(cache, key, (Str){text, 1000 - i}));
        g_assert_cmpuint(AnswerCache_Bytes(cache), <=, 4096);
        g_assert_true(AnswerCache_Get(cache, key, &answer));
        g_assert_true(Str_Equal(answer, (Str){text, 1000 - i}));
        g_assert_false(AnswerCache_Get(cache, (KeyHash){{i, 8}}, &answer));
    }
    g_assert_false(AnswerCache_Get(cache, (KeyHash){{1, 7}}, &answer));
    AnswerCache_Destroy(cache);
}

/* Appends must not exceed the configured rate, a full queue its limit, and a
 * record its size. */
static void
test_append_rate(void)
{
    ClaimBatcher *batcher = ClaimBatcher_Create(60, 2, 0);
    Claim claim = {.host = STR("h")};
    GString *record = g_string_new(NULL);
    int appends = 0;

    for (Micros now = 0; now < 10 * MICROS_PER_S; now += 100) {
        ClaimBatcher_Add(batcher, &claim);
        if (ClaimBatcher_TakeToken(batcher, now)) {
            g_string_truncate(record, 0);
            ClaimBatcher_TakeBatch(batcher, 1, record);
            appends++;
        }
    }
    g_assert_cmpint(appends, >=, 600);
    g_assert_cmpint(appends, <=, 602);
    while (ClaimBatcher_Add(batcher, &claim)) {
    }
    g_assert_cmpuint(ClaimBatcher_Count(batcher), ==, CLAIM_BATCHER_ITEMS_MAX);
    g_string_truncate(record, 0);
    ClaimBatcher_TakeBatch(batcher, 1, record);
    g_assert_cmpuint(record->len, <=, 256 * 1024);
    g_string_free(record, TRUE);
    ClaimBatcher_Destroy(batcher);
}

typedef struct Fixture_ {
    Clock *clock;
    Claims *claims;
    uint64_t offset;
    uint64_t next_id;
} Fixture;

static void
set_up(Fixture *f, bool started)
{
    ClaimsOptions options = ClaimsOptions_Default(STR("a"), 7);
    Str hosts[] = {STR("a"), STR("b")};
    ClaimLogRead read = {0};

    *f = (Fixture){.clock = Clock_CreateManual(MICROS_PER_S, WALL_START_US),
                   .next_id = 1};
    options.use_collector = false;
    options.remembered_keys = 1000;
    f->claims = Claims_Create(&options, f->clock);
    Claims_SetHosts(f->claims, hosts, 2);
    if (started) {
        Claims_OnRecords(f->claims, &read);
    }
}

static void
tear_down(Fixture *f)
{
    Claims_Destroy(f->claims);
    Clock_Destroy(f->clock);
}

static ClaimState
begin(Fixture *f, const char *key, uint64_t digest)
{
    ClaimRequest request = {
        .line = STR("line"),
        .caller = STR("caller"),
        .key = Str_FromC(key),
        .digest = digest,
        .deadline = Clock_Now(f->clock) + MICROS_PER_S,
    };

    return Claims_Begin(f->claims, &request, f->next_id++);
}

/* Feeds one record and returns the kind of the next action, or -1. */
static int
feed(Fixture *f, uint64_t offset, uint64_t time_ms, Str record,
     ClaimAction *action)
{
    ClaimLogRecord one = {offset, time_ms, record};
    ClaimLogRead read = {.log_next = offset + 1, .records = &one, .n = 1};

    Claims_OnRecords(f->claims, &read);
    return Claims_NextAction(f->claims, action) ? (int)action->kind : -1;
}

/* Returns the record to append for the request that was just begun. */
static GString *
take_append(Fixture *f)
{
    ClaimAction action;

    g_assert_true(Claims_NextAction(f->claims, &action));
    g_assert_cmpint(action.kind, ==, CLAIM_APPEND);
    return Str_ToString(action.append.record);
}

static void
assert_answer(const ClaimAnswer *answer, ClaimOutcome outcome, int status,
              const char *reason)
{
    g_assert_cmpint(answer->outcome, ==, outcome);
    g_assert_cmpint(answer->status, ==, status);
    g_assert_cmpstr(answer->reason, ==, reason);
}

typedef enum Setup_ {
    SETUP_NONE,
    SETUP_STARTED,
    SETUP_READ_FAILED,
    SETUP_GAP_WITHOUT_RECORD,
    SETUP_GAP_AND_RECORD,
    SETUP_APPEND_FAILED,
    SETUP_OTHER_PARTITION_COUNT,
    SETUP_NEWER_READER_NEEDED,
} Setup;

static void
apply_setup(Fixture *f, Setup setup)
{
    GString *record = g_string_new(NULL);
    ClaimLogRead empty = {.log_first = 5, .log_next = 5};
    ClaimAction action;

    switch (setup) {
    case SETUP_NONE:
    case SETUP_STARTED:
        break;
    case SETUP_READ_FAILED:
        Claims_OnReadFailed(f->claims, 0);
        Clock_Advance(f->clock, MICROS_PER_S);
        Claims_OnReadFailed(f->claims, 0);
        break;
    case SETUP_GAP_WITHOUT_RECORD:
        Claims_OnRecords(f->claims, &empty);
        break;
    case SETUP_GAP_AND_RECORD:
        ClaimRecord_Write(1, NULL, 0, record);
        feed(f, 5, NOW_MS, Str_FromString(record), &action);
        break;
    case SETUP_APPEND_FAILED:
        begin(f, "018bcfe5-6800-7abc-8def-0123456789ff", 1);
        Claims_NextAction(f->claims, &action);
        Claims_OnAppendResult(f->claims, action.append.id, ERR_UNAVAILABLE);
        break;
    case SETUP_OTHER_PARTITION_COUNT:
        ClaimRecord_Write(2, NULL, 0, record);
        feed(f, 0, NOW_MS, Str_FromString(record), &action);
        break;
    case SETUP_NEWER_READER_NEEDED:
        /* version 2, minimum_reader 2, partitions 1 */
        feed(f, 0, NOW_MS, STR("\x08\x02\x10\x02\x18\x01"), &action);
        break;
    }
    g_string_free(record, TRUE);
}

/* A refusal must answer not-run only if the host can be certain of it. */
static void
test_refusals(void)
{
    static const struct {
        Setup setup;
        const char *key;
        ClaimOutcome outcome;
        int status;
        const char *reason;
    } cases[] = {
        {SETUP_STARTED, "x", CLAIM_NOT_RUN, 400, "key-malformed"},
        {SETUP_NONE, UUID, CLAIM_UNKNOWN, 503, "catching-up"},
        {SETUP_READ_FAILED, UUID, CLAIM_UNKNOWN, 503, "log-unavailable"},
        {SETUP_APPEND_FAILED, UUID, CLAIM_UNKNOWN, 503, "log-unavailable"},
        {SETUP_GAP_WITHOUT_RECORD, UUID, CLAIM_UNKNOWN, 503, "catching-up"},
        {SETUP_GAP_AND_RECORD, UUID, CLAIM_UNKNOWN, 409, "key-expired"},
        {SETUP_NEWER_READER_NEEDED, UUID, CLAIM_UNKNOWN, 409, "key-expired"},
        {SETUP_OTHER_PARTITION_COUNT, UUID, CLAIM_UNKNOWN, 503,
         "claims-disabled"},
        /* 2 minutes and 1 ms ahead of the clock */
        {SETUP_STARTED, "018bcfe7-3cc1-7abc-8def-0123456789ab", CLAIM_UNKNOWN,
         409, "key-from-future"},
        {SETUP_STARTED, "agk1-a-6-" UUID, CLAIM_UNKNOWN, 409, "issuer-gone"},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        Fixture f;
        ClaimState state;

        set_up(&f, cases[i].setup != SETUP_NONE);
        apply_setup(&f, cases[i].setup);
        state = begin(&f, cases[i].key, 1);
        g_assert_cmpint(state.kind, ==, CLAIM_STATE_ANSWER);
        assert_answer(&state.answer, cases[i].outcome, cases[i].status,
                      cases[i].reason);
        tear_down(&f);
    }
}

/* Checks the answer to a retry for each outcome of the first request. */
static void
test_retry_outcomes(void)
{
    static const struct {
        ClaimOutcome finished;
        size_t answer_length;
        uint64_t retry_digest;
        ClaimOutcome outcome;
        int status;
        const char *reason;
    } cases[] = {
        {CLAIM_RAN, 10, 1, CLAIM_RAN, 0, "repeated"},
        {CLAIM_RAN, 100000, 1, CLAIM_RAN, 409, "answer-not-held"},
        {CLAIM_NOT_RUN, 0, 1, CLAIM_NOT_RUN, 409, "key-abandoned"},
        {CLAIM_UNKNOWN, 0, 1, CLAIM_UNKNOWN, 409, "outcome-unknown"},
        {CLAIM_RAN, 10, 2, CLAIM_UNKNOWN, 422, "key-reused"},
    };
    char *text = g_malloc0(100000);

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        Fixture f;
        ClaimAction action;
        ClaimState state;
        GString *record;

        set_up(&f, true);
        state = begin(&f, UUID, 1);
        g_assert_cmpint(state.kind, ==, CLAIM_STATE_WAIT);
        record = take_append(&f);
        g_assert_cmpint(feed(&f, 0, NOW_MS, Str_FromString(record), &action),
                        ==, CLAIM_DISPATCH);
        /* A second copy of the record must not run the request again. */
        g_assert_cmpint(feed(&f, 1, NOW_MS, Str_FromString(record), &action),
                        ==, -1);
        Claims_OnFinished(f.claims, 1, cases[i].finished,
                          (Str){text, cases[i].answer_length});
        state = begin(&f, UUID, cases[i].retry_digest);
        g_assert_cmpint(state.kind, ==, CLAIM_STATE_ANSWER);
        assert_answer(&state.answer, cases[i].outcome, cases[i].status,
                      cases[i].reason);
        g_string_free(record, TRUE);
        tear_down(&f);
    }
    g_free(text);
}

/* A request must not be dispatched after its deadline, and must not be
 * answered not-run before its claim was read back as the first. */
static void
test_deadlines(void)
{
    Fixture f;
    ClaimAction action;
    GString *record;
    ClaimState state;
    ClaimLogRecord one;
    ClaimLogRead read = {.log_next = 1, .records = &one, .n = 1};

    set_up(&f, true);
    begin(&f, UUID, 1);
    record = take_append(&f);
    one = (ClaimLogRecord){0, NOW_MS, {record->str, record->len}};
    Claims_OnRecords(f.claims, &read);
    Clock_Advance(f.clock, 2 * MICROS_PER_S);
    g_assert_true(Claims_NextAction(f.claims, &action));
    assert_answer(&action.answer, CLAIM_NOT_RUN, 504, "deadline");
    tear_down(&f);

    set_up(&f, true);
    begin(&f, UUID, 1);
    g_string_free(take_append(&f), TRUE);
    Clock_Advance(f.clock, 2 * MICROS_PER_S);
    Claims_OnTick(f.claims);
    g_assert_true(Claims_NextAction(f.claims, &action));
    assert_answer(&action.answer, CLAIM_UNKNOWN, 504, "claim-pending");
    /* The abandoned claim is read back later; no host may run the key. */
    g_assert_cmpint(feed(&f, 0, NOW_MS, Str_FromString(record), &action), ==,
                    -1);
    state = begin(&f, UUID, 1);
    g_assert_cmpint(state.kind, ==, CLAIM_STATE_ANSWER);
    assert_answer(&state.answer, CLAIM_NOT_RUN, 409, "key-abandoned");
    g_string_free(record, TRUE);
    tear_down(&f);
}

/* A claim whose key time is too far ahead of the append time must be void.
 * Another host may have missed it in a gap and have a floor below that time,
 * so it would accept the key. */
static void
test_void_claims(void)
{
    Fixture f;
    ClaimAction action;
    GString *record;

    set_up(&f, true);
    begin(&f, UUID, 1);
    record = take_append(&f);
    g_assert_cmpint(feed(&f, 0, NOW_MS - CLAIM_FUTURE_MAX_MS - 1,
                         Str_FromString(record), &action),
                    ==, CLAIM_ANSWER);
    assert_answer(&action.answer, CLAIM_UNKNOWN, 409, "key-expired");
    g_string_free(record, TRUE);
    tear_down(&f);
}

static void
count_claim(void *user, const Claim *claim)
{
    (*(int *)user)++;
}

/* Malformed and newer records must be classified in the same way by all
 * hosts, and unknown fields must be skipped. */
static void
test_records(void)
{
    static const struct {
        Str record;
        int code;
        int claims;
    } cases[] = {
        {{"", 0}, ERR_PARSE, 0},
        {{"\xff\xff", 2}, ERR_PARSE, 0},
        /* decodes, but version and number of partitions are missing */
        {{"\x78\x05", 2}, ERR_PARSE, 0},
        {{"\x08\x01\x10\x01", 4}, ERR_PARSE, 0},
        {{"\x08\x01\x10\x01\x18\x01", 6}, 0, 0},
        /* the unknown field 15 is skipped */
        {{"\x08\x09\x10\x01\x18\x01\x78\x05", 8}, 0, 0},
        {{"\x08\x02\x10\x02\x18\x01", 6}, ERR_PROTOCOL, 0},
        /* an empty claim is skipped and counted */
        {{"\x08\x01\x10\x01\x18\x01\x22\x00", 8}, 1, 0},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        uint32_t partitions;
        int claims = 0;

        g_assert_cmpint(ClaimRecord_Read(cases[i].record, &partitions,
                                         count_claim, &claims),
                        ==, cases[i].code);
        g_assert_cmpint(claims, ==, cases[i].claims);
    }
}

/* Corrupted records must neither crash a host nor cause an action. */
static void
test_record_fuzz(void)
{
    Random *random = Random_Create(FUZZ_SEED);
    Claim claim = {.key = {{1, 2}}, .host = STR("b"), .key_time_ms = NOW_MS};
    GString *valid = g_string_new(NULL);
    Fixture f;
    ClaimAction action;

    set_up(&f, true);
    ClaimRecord_Write(1, &claim, 1, valid);
    for (uint64_t i = 0; i < FUZZ_RECORD_COUNT; i++) {
        GString *record = g_string_new_len(valid->str, (gssize)valid->len);

        for (uint64_t n = 1 + Random_Below(random, 4); n > 0; n--) {
            record->str[Random_Below(random, record->len)] =
                (char)Random_Next(random);
        }
        g_string_truncate(record, 1 + Random_Below(random, record->len));
        g_assert_cmpint(feed(&f, i, NOW_MS, Str_FromString(record), &action),
                        ==, -1);
        g_string_free(record, TRUE);
    }
    g_assert_cmpuint(Claims_ReadFrom(f.claims, 0), ==, FUZZ_RECORD_COUNT);
    g_string_free(valid, TRUE);
    tear_down(&f);
    Random_Destroy(random);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/claims/key/parse", test_parse);
    g_test_add_func("/claims/key/scope", test_scope);
    g_test_add_func("/claims/table", test_table);
    g_test_add_func("/claims/answers", test_answers);
    g_test_add_func("/claims/append-rate", test_append_rate);
    g_test_add_func("/claims/refusals", test_refusals);
    g_test_add_func("/claims/resend-words", test_retry_outcomes);
    g_test_add_func("/claims/deadlines", test_deadlines);
    g_test_add_func("/claims/void", test_void_claims);
    g_test_add_func("/claims/records", test_records);
    g_test_add_func("/claims/record-fuzz", test_record_fuzz);
    return g_test_run();
}
