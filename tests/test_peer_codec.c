#include <glib.h>
#include <string.h>

#include "PeerCodec.h"
#include "Random.h"

#define FUZZ_SEED 20240611
#define FUZZ_CASE_COUNT 60000

static const PeerEnvelope envelope = {
    {"tunis", 5}, {"balancer-07", 11}, 0x1122334455667788};

static PeerMessage *
decode(const GString *bytes)
{
    PeerMessageCounters counters = {0};
    PeerMessage *message = NULL;

    g_assert_cmpint(PeerMessage_Decode(Str_FromString(bytes), STR("tunis"),
                                       &message, &counters),
                    ==, 0);
    g_assert_cmpuint(counters.accepted, ==, 1);
    g_assert_true(Str_Equal(PeerMessage_Host(message), envelope.host));
    g_assert_cmpuint(PeerMessage_Incarnation(message), ==,
                     envelope.incarnation);
    return message;
}

static Gossip
sample_gossip(void)
{
    Gossip gossip = {.member_count = 2, .heartbeat_count = 3, .item_count = 6};
    SharedItem origin = {
        .host = STR("balancer-03"), .incarnation = 9, .age = 7000};

    gossip.members[0] = (GossipMember){.id = STR("balancer-07"),
                                       .address = STR("10.1.2.3:7400"),
                                       .domain = STR("lac-a"),
                                       .incarnation = 77,
                                       .heartbeat = 1234567};
    gossip.members[1] =
        (GossipMember){.id = STR("balancer-08"),
                       .address = STR("10.1.2.4:7400"),
                       .key = STR("0123456789abcdef0123456789abcdef"),
                       .incarnation = 78,
                       .heartbeat = 2,
                       .age = 4000 * MICROS_PER_MS,
                       .leaving = true};
    for (uint32_t i = 0; i < 3; i++) {
        gossip.heartbeats[i] = (GossipHeartbeat){
            i * 1000003, i, i * GOSSIP_HEARTBEAT_AGE_UNIT_US - i};
    }
    for (uint32_t i = 0; i < 6; i++) {
        gossip.items[i] = (GossipItem){origin, 50, 2};
    }
    gossip.items[0].item.kind = SHARED_DRAIN;
    gossip.items[0].item.drain.upstream = STR("claims-desk-4");
    gossip.items[0].item.drain.ended = true;
    gossip.items[1].item.kind = SHARED_FINGERPRINT;
    gossip.items[1].item.fingerprint.line = STR("member-a");
    gossip.items[1].item.fingerprint.high = UINT64_MAX;
    gossip.items[1].item.fingerprint.low = 5;
    gossip.items[1].item.fingerprint.losses = 2;
    gossip.items[1].item.fingerprint.upstreams[0] = STR("claims-desk-4");
    gossip.items[1].item.fingerprint.upstreams[1] = STR("claims-desk-5");
    gossip.items[2].item.kind = SHARED_CONFIG_OFFSET;
    gossip.items[2].item.config.offset = UINT64_MAX;
    for (uint32_t i = 3; i < 5; i++) {
        gossip.items[i].item.kind = SHARED_USAGE;
        gossip.items[i].item.usage.service = STR("claims-desk");
        gossip.items[i].item.usage.usage = 1.5F * (float)i;
        gossip.items[i].item.usage.effective = 2.25F;
        gossip.items[i].item.usage.caller_level = 0.125F;
    }
    gossip.items[4].item.usage.line = STR("member-a");
    gossip.items[5].item.kind = SHARED_SUSPECT;
    gossip.items[5].item.suspect.upstream = STR("claims-desk-9");
    return gossip;
}

static void
assert_item(const GossipItem *a, const GossipItem *b)
{
    g_assert_cmpint(a->item.kind, ==, b->item.kind);
    g_assert_cmpint(a->item.age, ==, b->item.age);
    g_assert_cmpuint(a->item.incarnation, ==, b->item.incarnation);
    g_assert_true(Str_Equal(a->item.host, b->item.host));
    g_assert_cmpuint(a->stamp_ms, ==, b->stamp_ms);
    g_assert_cmpuint(a->hops, ==, b->hops);
    if (a->item.kind == SHARED_USAGE) {
        g_assert_true(Str_Equal(a->item.usage.line, b->item.usage.line));
        g_assert_true(a->item.usage.usage == b->item.usage.usage);
        g_assert_true(a->item.usage.effective == b->item.usage.effective);
    }
    if (a->item.kind == SHARED_FINGERPRINT) {
        g_assert_cmpuint(a->item.fingerprint.high, ==,
                         b->item.fingerprint.high);
        g_assert_true(Str_Equal(a->item.fingerprint.upstreams[1],
                                b->item.fingerprint.upstreams[1]));
    }
}

/* Guards against gossip fields that are lost or swapped by the codec. */
static void
test_gossip(void)
{
    Gossip in = sample_gossip();
    Gossip out;
    uint64_t skipped = 0;
    GString *bytes = g_string_new(NULL);
    PeerMessage *message;

    g_assert_cmpint(PeerCodec_WriteGossip(&envelope, &in, bytes), ==, 0);
    message = decode(bytes);
    g_assert_cmpint(PeerCodec_ReadGossip(message, &out, &skipped), ==, 0);
    g_assert_cmpuint(skipped, ==, 0);
    g_assert_cmpuint(out.member_count, ==, 2);
    g_assert_cmpuint(out.heartbeat_count, ==, 3);
    g_assert_cmpuint(out.item_count, ==, 6);
    g_assert_true(Str_Equal(out.members[1].key, in.members[1].key));
    g_assert_true(Str_Equal(out.members[0].domain, STR("lac-a")));
    g_assert_cmpuint(out.members[0].heartbeat, ==, 1234567);
    g_assert_cmpint(out.members[1].age, ==, in.members[1].age);
    g_assert_true(out.members[1].leaving);
    g_assert_cmpuint(out.heartbeats[2].tag, ==, 2000006);
    g_assert_cmpint(out.heartbeats[2].age, ==,
                    2 * GOSSIP_HEARTBEAT_AGE_UNIT_US);
    g_assert_true(out.items[0].item.drain.ended);
    g_assert_cmpuint(out.items[2].item.config.offset, ==, UINT64_MAX);
    for (size_t i = 0; i < 6; i++) {
        assert_item(&out.items[i], &in.items[i]);
    }
    PeerMessage_Destroy(message);
    g_string_free(bytes, TRUE);
}

static Str
name_of_index(void *user, PeerNameKind kind, uint32_t index)
{
    static const char *names[4][2] = {{"claims-desk", "court-calendar"},
                                      {"claims-desk-4", "claims-desk-5"},
                                      {"member-a", "member-b"},
                                      {"balancer-03", "balancer-07"}};

    return index < 2 ? Str_FromC(names[kind][index]) : STR("");
}

static uint32_t
index_of_name(void *user, PeerNameKind kind, Str name)
{
    for (uint32_t i = 0; i < 2; i++) {
        if (Str_Equal(name_of_index(user, kind, i), name)) {
            return i;
        }
    }
    return NAME_INDEX_NONE;
}

static const PeerNames names = {name_of_index, index_of_name, NULL};

static void
encode_all(GString **out)
{
    uint8_t digest[SNAPSHOT_DIGEST_BYTES] = {1, 2, 3};
    ConfigFetch fetch = {.from = 12, .snapshot = true, .index = 3};
    ConfigRecord records[2] = {{5, 6, STR("first")}, {6, 7, STR("second")}};
    ConfigChunk chunk = {.next = 7, .records = records, .count = 2};
    ConfigChunk piece = {
        .next = 8,
        .snapshot = true,
        .piece = {.offset = 4, .index = 1, .count = 2, .data = STR("piece")}};
    Claim claim = {.key = {{1, 2}},
                   .digest = 3,
                   .host = STR("balancer-07"),
                   .incarnation = 4,
                   .number = 5,
                   .key_time_ms = 6};
    ClaimSubmit submit = {0, &claim, 1};
    ClaimOutcomeQuery query = {.number = 1,
                               .key = {{8, 9}},
                               .digest = 2,
                               .holder_incarnation = 3,
                               .issued = true};
    ClaimOutcomeReply reply = {.number = 1,
                               .key = {{8, 9}},
                               .state = CLAIM_REPLY_REDIRECT,
                               .holder = STR("balancer-03"),
                               .holder_incarnation = 7,
                               .answer = STR("a\0b"),
                               .has_answer = true};
    SlotMessage slot = {SLOT_GRANT, 0, 1, 0, 99};
    Gossip gossip = sample_gossip();

    memcpy(fetch.digest, digest, sizeof(digest));
    memcpy(piece.piece.digest, digest, sizeof(digest));
    for (int i = 0; i < 8; i++) {
        out[i] = g_string_new(NULL);
    }
    PeerCodec_WriteFetch(&envelope, &fetch, out[0]);
    PeerCodec_WriteChunk(&envelope, &chunk, out[1]);
    PeerCodec_WriteChunk(&envelope, &piece, out[2]);
    PeerCodec_WriteSubmit(&envelope, &submit, out[3]);
    PeerCodec_WriteQuery(&envelope, &query, out[4]);
    PeerCodec_WriteReply(&envelope, &reply, out[5]);
    PeerCodec_WriteSlot(&envelope, &slot, &names, out[6]);
    PeerCodec_WriteGossip(&envelope, &gossip, out[7]);
}

static void
free_all(GString **messages)
{
    for (int i = 0; i < 8; i++) {
        g_string_free(messages[i], TRUE);
    }
}

static void
check_config(GString **bytes)
{
    GArray *records = g_array_new(FALSE, FALSE, sizeof(ConfigRecord));
    PeerMessage *message = decode(bytes[0]);
    ConfigFetch fetch;
    ConfigChunk chunk;

    g_assert_cmpint(PeerCodec_ReadFetch(message, &fetch), ==, 0);
    g_assert_cmpuint(fetch.from, ==, 12);
    g_assert_true(fetch.snapshot);
    g_assert_cmpuint(fetch.digest[2], ==, 3);
    g_assert_cmpint(PeerCodec_ReadChunk(message, &chunk, records), ==,
                    ERR_PROTOCOL);
    PeerMessage_Destroy(message);
    message = decode(bytes[1]);
    g_assert_cmpint(PeerCodec_ReadChunk(message, &chunk, records), ==, 0);
    g_assert_cmpuint(chunk.count, ==, 2);
    g_assert_false(chunk.snapshot);
    g_assert_true(Str_Equal(chunk.records[1].data, STR("second")));
    g_assert_cmpuint(chunk.records[0].time_ms, ==, 6);
    PeerMessage_Destroy(message);
    message = decode(bytes[2]);
    g_assert_cmpint(PeerCodec_ReadChunk(message, &chunk, records), ==, 0);
    g_assert_true(chunk.snapshot);
    g_assert_cmpuint(chunk.piece.count, ==, 2);
    g_assert_true(Str_Equal(chunk.piece.data, STR("piece")));
    PeerMessage_Destroy(message);
    g_array_free(records, TRUE);
}

static void
check_claims(GString **bytes)
{
    GArray *claims = g_array_new(FALSE, FALSE, sizeof(Claim));
    PeerMessage *message = decode(bytes[3]);
    ClaimSubmit submit;
    ClaimOutcomeQuery query;
    ClaimOutcomeReply reply;

    g_assert_cmpint(PeerCodec_ReadSubmit(message, &submit, claims), ==, 0);
    g_assert_cmpuint(submit.n, ==, 1);
    g_assert_cmpuint(submit.claims[0].key.word[1], ==, 2);
    g_assert_cmpuint(submit.claims[0].key_time_ms, ==, 6);
    g_assert_true(Str_Equal(submit.claims[0].host, STR("balancer-07")));
    PeerMessage_Destroy(message);
    message = decode(bytes[4]);
    g_assert_cmpint(PeerCodec_ReadQuery(message, &query), ==, 0);
    g_assert_true(Str_Equal(query.from, envelope.host));
    g_assert_cmpuint(query.from_incarnation, ==, envelope.incarnation);
    g_assert_cmpuint(query.key.word[0], ==, 8);
    g_assert_true(query.issued);
    PeerMessage_Destroy(message);
    message = decode(bytes[5]);
    g_assert_cmpint(PeerCodec_ReadReply(message, &reply), ==, 0);
    g_assert_cmpint(reply.state, ==, CLAIM_REPLY_REDIRECT);
    g_assert_true(Str_Equal(reply.answer, STR("a\0b")));
    g_assert_true(Str_Equal(reply.holder, STR("balancer-03")));
    PeerMessage_Destroy(message);
    g_array_free(claims, TRUE);
}

/* Guards against lost fields in every other message body. */
static void
test_bodies(void)
{
    GString *bytes[8];
    PeerMessage *message;
    SlotMessage slot;

    encode_all(bytes);
    check_config(bytes);
    check_claims(bytes);
    message = decode(bytes[6]);
    g_assert_cmpint(PeerCodec_ReadSlot(message, &names, &slot), ==, 0);
    g_assert_cmpint(slot.kind, ==, SLOT_GRANT);
    g_assert_cmpuint(slot.service, ==, 1);
    g_assert_cmpuint(slot.peer, ==, Str_Hash(envelope.host));
    g_assert_cmpuint(slot.id, ==, 99);
    PeerMessage_Destroy(message);
    free_all(bytes);
}

/* Guards against host-local indexes in items for other hosts, and against
 * accepting names that are unknown to this host. */
static void
test_items(void)
{
    UsageItem usage = {.service = 1, .line = 0, .host = 1, .usage = 2.5F};
    QuarantineItem quarantine_item = {.fingerprint = {1, 10, 11},
                                      .losses = 2,
                                      .upstreams = {0, 1},
                                      .age = 5};
    SharedItem item;
    UsageItem usage_out;
    QuarantineItem quarantine_item_out;

    g_assert_cmpint(PeerCodec_UsageToItem(&usage, &names, &item), ==, 0);
    item.host = STR("balancer-03");
    g_assert_cmpint(PeerCodec_ItemToUsage(&item, &names, &usage_out), ==, 0);
    g_assert_cmpuint(usage_out.service, ==, 1);
    g_assert_cmpuint(usage_out.host, ==, 0);
    usage.line = ADMISSION_LEVEL_LINE;
    g_assert_cmpint(PeerCodec_UsageToItem(&usage, &names, &item), ==, 0);
    item.host = STR("balancer-03");
    g_assert_cmpint(PeerCodec_ItemToUsage(&item, &names, &usage_out), ==, 0);
    g_assert_cmpuint(usage_out.line, ==, ADMISSION_LEVEL_LINE);
    item.usage.service = STR("unheard-of");
    g_assert_cmpint(PeerCodec_ItemToUsage(&item, &names, &usage_out), ==,
                    ERR_NOT_FOUND);
    g_assert_cmpint(
        PeerCodec_FingerprintToItem(&quarantine_item, &names, &item), ==, 0);
    g_assert_cmpint(
        PeerCodec_ItemToFingerprint(&item, &names, &quarantine_item_out), ==,
        0);
    g_assert_cmpuint(quarantine_item_out.fingerprint.line, ==, 1);
    g_assert_cmpuint(quarantine_item_out.upstreams[1], ==, 1);
    g_assert_cmpint(quarantine_item_out.age, ==, 5);
}

/* Guards against accepting malformed messages or those of another deployment,
 * and against drops that are not counted. */
static void
test_dropped(void)
{
    static const struct {
        const char *deployment;
        const char *bytes;
        size_t length;
        int code;
    } cases[] = {
        /* Version 1, deployment "tunis", host "a"; then an empty body. */
        {"tunis",
         "\x08\x01\x12\x05tunis\x1a\x01"
         "a\x52\x00",
         14, 0},
        {"other",
         "\x08\x01\x12\x05tunis\x1a\x01"
         "a\x52\x00",
         14, ERR_DENIED},
        /* No body; an unknown body. */
        {"tunis",
         "\x08\x01\x12\x05tunis\x1a\x01"
         "a",
         12, ERR_NOT_FOUND},
        {"tunis",
         "\x08\x01\x12\x05tunis\x1a\x01"
         "a\xc2\x05\x00",
         15, ERR_NOT_FOUND},
        /* One version newer with an unknown field; two versions newer; no
         * version. */
        {"tunis",
         "\x08\x02\x12\x05tunis\x1a\x01"
         "a\xa0\x06\x07\x52\x00",
         17, 0},
        {"tunis",
         "\x08\x03\x12\x05tunis\x1a\x01"
         "a\x52\x00",
         14, ERR_PROTOCOL},
        {"tunis",
         "\x12\x05tunis\x1a\x01"
         "a\x52\x00",
         12, ERR_PROTOCOL},
        /* No sender; a blank as the sender; truncated; empty. */
        {"tunis", "\x08\x01\x12\x05tunis\x52\x00", 11, ERR_PARSE},
        {"tunis", "\x08\x01\x12\x05tunis\x1a\x01 \x52\x00", 14, ERR_PARSE},
        {"tunis",
         "\x08\x01\x12\x05tunis\x1a\x01"
         "a\x52",
         13, ERR_PARSE},
        {"tunis", "", 0, ERR_PROTOCOL},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        PeerMessageCounters counters = {0};
        PeerMessage *message = NULL;
        int code = PeerMessage_Decode((Str){cases[i].bytes, cases[i].length},
                                      Str_FromC(cases[i].deployment), &message,
                                      &counters);

        g_assert_cmpint(code, ==, cases[i].code);
        g_assert_cmpuint(counters.accepted + counters.malformed +
                             counters.oversized + counters.other_version +
                             counters.other_deployment + counters.unknown_body,
                         ==, 1);
        PeerMessage_Destroy(message);
    }
}

/* Guards against rejecting hosts one version apart, as during an upgrade. */
static void
test_versions(void)
{
    static const struct {
        uint32_t own, other;
        bool works;
    } cases[] = {{1, 1, true},  {1, 2, true},  {1, 3, false},
                 {2, 1, true},  {3, 1, false}, {3, 2, true},
                 {1, 0, false}, {0, 0, false}, {5, 4, true},
                 {5, 6, true},  {5, 7, false}, {1, UINT32_MAX, false}};

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        g_assert_cmpint(
            PeerMessage_VersionsCompatible(cases[i].own, cases[i].other), ==,
            cases[i].works);
    }
}

/* Guards against small messages that decode to a large allocation, and against
 * messages beyond the size limit. */
static void
test_memory(void)
{
    GString *bytes = g_string_new("");
    PeerMessageCounters counters = {0};
    PeerMessage *message = NULL;
    size_t body = 300000;

    g_string_append_len(bytes,
                        "\x08\x01\x12\x05tunis\x1a\x01"
                        "a\x52",
                        13);
    for (size_t left = body; left > 0; left >>= 7) {
        g_string_append_c(bytes, (char)((left & 127) | (left > 127) << 7));
    }
    for (size_t i = 0; i < body; i += 2) {
        g_string_append_len(bytes, "\x32\x00", 2); /* empty item */
    }
    g_assert_cmpint(PeerMessage_Decode(Str_FromString(bytes), STR("tunis"),
                                       &message, &counters),
                    ==, ERR_LIMIT);
    g_string_set_size(bytes, PEER_MESSAGE_MAX_BYTES + 1);
    g_assert_cmpint(PeerMessage_Decode(Str_FromString(bytes), STR("tunis"),
                                       &message, &counters),
                    ==, ERR_LIMIT);
    g_assert_cmpuint(counters.oversized, ==, 2);
    g_string_free(bytes, TRUE);
}

static void
mutate(GString *bytes, Random *random)
{
    size_t edits = 1 + Random_Below(random, 6);

    while (edits-- > 0 && bytes->len > 0) {
        size_t at = Random_Below(random, bytes->len);

        switch (Random_Below(random, 5)) {
        case 0:
            bytes->str[at] = (char)Random_Next(random);
            break;
        case 1:
            bytes->str[at] ^= (char)(1 << Random_Below(random, 8));
            break;
        case 2:
            g_string_truncate(bytes, at);
            break;
        case 3:
            g_string_insert_c(bytes, (gssize)at, (char)Random_Next(random));
            break;
        default:
            g_string_erase(bytes, (gssize)at, 1);
            break;
        }
    }
}

static void
decode_all(const PeerMessage *message, GArray *records, GArray *claims)
{
    Gossip gossip;
    ConfigFetch fetch;
    ConfigChunk chunk;
    ClaimSubmit submit;
    ClaimOutcomeQuery query;
    ClaimOutcomeReply reply;
    SlotMessage slot;

    if (PeerCodec_ReadGossip(message, &gossip, NULL) == 0) {
        g_assert_cmpuint(gossip.item_count, <=, GOSSIP_ITEMS_MAX);
        for (size_t i = 0; i < gossip.item_count; i++) {
            g_assert_cmpuint(gossip.items[i].item.host.length, >, 0);
        }
    }
    PeerCodec_ReadFetch(message, &fetch);
    PeerCodec_ReadChunk(message, &chunk, records);
    PeerCodec_ReadSubmit(message, &submit, claims);
    PeerCodec_ReadQuery(message, &query);
    PeerCodec_ReadReply(message, &reply);
    PeerCodec_ReadSlot(message, &names, &slot);
}

/* Guards against out-of-bounds accesses on hostile input: decodes mutations of
 * valid messages of every body, under the sanitizers in CI. */
static void
test_fuzz(void)
{
    Random *random = Random_Create(FUZZ_SEED);
    GArray *records = g_array_new(FALSE, FALSE, sizeof(ConfigRecord));
    GArray *claims = g_array_new(FALSE, FALSE, sizeof(Claim));
    GString *bytes[8];
    GString *copy = g_string_new(NULL);
    PeerMessageCounters counters = {0};

    encode_all(bytes);
    g_test_message("seed %d, %d cases", FUZZ_SEED, FUZZ_CASE_COUNT);
    for (int i = 0; i < FUZZ_CASE_COUNT; i++) {
        const GString *from = bytes[i % 8];
        PeerMessage *message = NULL;
        char *exact;

        g_string_truncate(copy, 0);
        Str_AppendTo(Str_FromString(from), copy);
        mutate(copy, random);
        /* An allocation of the exact length exposes reads past the end. */
        exact = g_memdup2(copy->str, copy->len);
        if (PeerMessage_Decode((Str){exact, copy->len}, STR("tunis"), &message,
                               &counters) == 0) {
            decode_all(message, records, claims);
            PeerMessage_Destroy(message);
        }
        g_free(exact);
    }
    g_assert_cmpuint(counters.accepted, >, FUZZ_CASE_COUNT / 20);
    g_assert_cmpuint(counters.malformed, >, FUZZ_CASE_COUNT / 20);
    free_all(bytes);
    g_string_free(copy, TRUE);
    g_array_free(records, TRUE);
    g_array_free(claims, TRUE);
    Random_Destroy(random);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/peer-codec/gossip", test_gossip);
    g_test_add_func("/peer-codec/bodies", test_bodies);
    g_test_add_func("/peer-codec/items", test_items);
    g_test_add_func("/peer-codec/dropped", test_dropped);
    g_test_add_func("/peer-codec/versions", test_versions);
    g_test_add_func("/peer-codec/memory", test_memory);
    g_test_add_func("/peer-codec/fuzz", test_fuzz);
    return g_test_run();
}
