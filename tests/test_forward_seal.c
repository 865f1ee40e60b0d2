#include <glib.h>
#include <string.h>

#include "Hex.h"
#include "HostKeys.h"

#define KEY "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff"

/* ---- entries of hosts ----------------------------------------------- */

/* Guards against hosts of the version before that take a new entry for none,
 * and against entries of theirs that are not understood any more. */
static void
test_entry(void)
{
    static const struct {
        const char *text;
        int code;
        const char *domain;
        uint16_t relay_port;
        uint16_t forward_port;
    } cases[] = {
        {"d 10.0.0.1:7735", 0, "d", 7735, 0},
        {"d;7734;" KEY " 10.0.0.1:7735", 0, "d", 7735, 7734},
        {"d;7734;" KEY ";more 10.0.0.1:7735", 0, "d", 7735, 7734},
        {"d;7734;" KEY ";20;r 10.0.0.1:7735", 0, "d", 7735, 7734},
        {"d;7734;" KEY ";20;r;more 10.0.0.1:7735", 0, "d", 7735, 7734},
        {"d;7734;" KEY ";; 10.0.0.1:7735", 0, "d", 7735, 7734},
        {"d;0;" KEY " 10.0.0.1:7735", ERR_INVALID, "d", 7735, 0},
        {"d;65536;" KEY " 10.0.0.1:7735", ERR_INVALID, "d", 7735, 0},
        {"d;x;" KEY " 10.0.0.1:7735", ERR_INVALID, "d", 7735, 0},
        {"d;7734;" KEY "0 10.0.0.1:7735", ERR_INVALID, "d", 7735, 0},
        {"d;7734;0011 10.0.0.1:7735", ERR_INVALID, "d", 7735, 0},
        {"d;7734 10.0.0.1:7735", ERR_INVALID, "d", 7735, 0},
        {"d;7734;" KEY, ERR_PARSE, "", 0, 0},
        {"d;7734;" KEY " 10.0.0.1", ERR_PARSE, "", 0, 0},
        {"", ERR_PARSE, "", 0, 0},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        RosterEntry entry;

        g_assert_cmpint(RosterEntry_Parse(Str_FromC(cases[i].text), &entry),
                        ==, cases[i].code);
        if (cases[i].code != ERR_PARSE) {
            g_assert_true(Str_Equal(entry.domain, Str_FromC(cases[i].domain)));
            g_assert_cmpuint(entry.relay.port, ==, cases[i].relay_port);
            g_assert_cmpuint(entry.forward_port, ==, cases[i].forward_port);
        }
    }
}

/* The parser of the version before forwarding. */
static bool
parse_as_before(Str text, Str *domain, Endpoint *endpoint)
{
    return Str_Split(&text, ' ', domain) &&
           Endpoint_Parse(text, endpoint) == 0;
}

/* Guards against hosts of the version before that no longer count hosts of this
 * one as live. */
static void
test_entry_of_next_version(void)
{
    RosterEntry entry = {
        .domain = STR("d"), .relay = {"10.0.0.1", 7735}, .forward_port = 7734};
    RosterEntry parsed;
    Endpoint endpoint;
    g_autofree char *text = NULL;
    Str domain;

    g_assert_cmpint(Hex_Parse(STR(KEY), entry.key, HOST_KEY_BYTES), ==, 0);
    text = RosterEntry_Format(&entry);
    g_assert_cmpstr(text, ==, "d;7734;" KEY " 10.0.0.1:7735");
    g_assert_true(parse_as_before(Str_FromC(text), &domain, &endpoint));
    g_assert_cmpuint(endpoint.port, ==, 7735);
    g_assert_cmpint(RosterEntry_Parse(Str_FromC(text), &parsed), ==, 0);
    g_assert_cmpmem(parsed.key, HOST_KEY_BYTES, entry.key, HOST_KEY_BYTES);
}

/* The parser of the version before relay trees, which ignores what follows the
 * key. */
static bool
parse_with_key(Str text, Str *domain, uint64_t *port, uint8_t *key)
{
    Str first, field;

    return Str_Split(&text, ' ', &first) && Str_Split(&first, ';', domain) &&
           Str_Split(&first, ';', &field) && Str_ParseU64(field, port) == 0 &&
           Str_Split(&first, ';', &field) &&
           Hex_Parse(field, key, HOST_KEY_BYTES) == 0;
}

/* Guards against fields in another order, by which hosts of the version before
 * forward no requests to those of this one. */
static void
test_entry_with_capacity(void)
{
    RosterEntry entry = {.domain = STR("d"),
                         .relay = {"10.0.0.1", 7735},
                         .forward_port = 7734,
                         .link_mbps = 200,
                         .region = STR("r")};
    uint8_t key[HOST_KEY_BYTES];
    RosterEntry parsed;
    g_autofree char *text = NULL;
    uint64_t port;
    Str domain;

    g_assert_cmpint(Hex_Parse(STR(KEY), entry.key, HOST_KEY_BYTES), ==, 0);
    text = RosterEntry_Format(&entry);
    g_assert_cmpstr(text, ==, "d;7734;" KEY ";200;r 10.0.0.1:7735");
    g_assert_true(parse_with_key(Str_FromC(text), &domain, &port, key));
    g_assert_true(Str_Equal(domain, STR("d")));
    g_assert_cmpuint(port, ==, 7734);
    g_assert_cmpmem(key, HOST_KEY_BYTES, entry.key, HOST_KEY_BYTES);
    g_assert_cmpint(RosterEntry_Parse(Str_FromC(text), &parsed), ==, 0);
    g_assert_cmpuint(parsed.link_mbps, ==, 200);
    g_assert_true(Str_Equal(parsed.region, STR("r")));
}

/* ---- keys ----------------------------------------------------------- */

static Clock *test_clock;

static HostKeys *
create_keys(const char *id)
{
    HostKeys *keys = HostKeys_Create(Str_FromC(id), test_clock, NULL);

    g_assert_nonnull(keys);
    return keys;
}

static ListedHost
listed(const HostKeys *keys)
{
    ListedHost host = {.id = HostKeys_Host(keys),
                       .entry = {.domain = STR("d"),
                                 .relay = {"10.0.0.1", 7735},
                                 .forward_port = 7734}};

    memcpy(host.entry.key, HostKeys_PublicKey(keys), HOST_KEY_BYTES);
    return host;
}

static void
introduce(HostKeys *to, const HostKeys *other)
{
    ListedHost hosts[2] = {listed(to), listed(other)};

    HostKeys_SetPeers(to, hosts, 2);
}

/* Guards against hosts that derive different keys, and against one key for both
 * directions or for requests and responses, by which a message could be sent
 * back as another one. */
static void
test_keys_of_pair(void)
{
    HostKeys *a = create_keys("a");
    HostKeys *b = create_keys("b");
    const PairKeys *at_a, *at_b;

    introduce(a, b);
    introduce(b, a);
    g_assert_cmpuint(HostKeys_Peers(a)->len, ==, 1);
    g_assert_null(HostKeys_Find(a, STR("a")));
    at_a = &HostKeys_Find(a, STR("b"))->keys;
    at_b = &HostKeys_Find(b, STR("a"))->keys;
    g_assert_cmpmem(at_a->sent_request, 32, at_b->received_request, 32);
    g_assert_cmpmem(at_a->received_response, 32, at_b->sent_response, 32);
    g_assert_cmpmem(at_a->received_request, 32, at_b->sent_request, 32);
    g_assert_cmpint(memcmp(at_a->sent_request, at_a->received_request, 32), !=,
                    0);
    g_assert_cmpint(memcmp(at_a->sent_request, at_a->received_response, 32),
                    !=, 0);
    HostKeys_Destroy(a);
    HostKeys_Destroy(b);
}

/* Guards against sequence numbers of an ended process that void those of its
 * successor, against keys of hosts that are gone, and against a key that makes
 * the secret known to all. */
static void
test_change_of_keys(void)
{
    HostKeys *a = create_keys("a");
    HostKeys *b = create_keys("b");
    HostKeys *successor = create_keys("b");
    ListedHost zero = listed(b);
    HostPeer *peer;

    introduce(a, b);
    peer = HostKeys_Find(a, STR("b"));
    g_assert_true(ReplayWindow_Use(&peer->received, 9));
    introduce(a, b);
    peer = HostKeys_Find(a, STR("b"));
    g_assert_false(ReplayWindow_Use(&peer->received, 9));
    introduce(a, successor);
    peer = HostKeys_Find(a, STR("b"));
    g_assert_true(ReplayWindow_Use(&peer->received, 9));
    introduce(a, b);
    peer = HostKeys_Find(a, STR("b"));
    g_assert_false(ReplayWindow_Use(&peer->received, 9));
    memset(zero.entry.key, 0, HOST_KEY_BYTES);
    HostKeys_SetPeers(a, &zero, 1);
    g_assert_null(HostKeys_Find(a, STR("b")));
    HostKeys_SetPeers(a, NULL, 0);
    g_assert_null(HostKeys_Find(a, STR("b")));
    g_assert_cmpuint(HostKeys_Peers(a)->len, ==, 0);
    HostKeys_Destroy(a);
    HostKeys_Destroy(b);
    HostKeys_Destroy(successor);
}

/* Guards against a request that runs twice because it was sent again, early or
 * after thousands of others. */
static void
test_replay_window(void)
{
    ReplayWindow window = {0};

    g_assert_false(ReplayWindow_Use(&window, 0));
    g_assert_true(ReplayWindow_Use(&window, 3));
    g_assert_true(ReplayWindow_Use(&window, 1));
    g_assert_false(ReplayWindow_Use(&window, 1));
    g_assert_false(ReplayWindow_Use(&window, 3));
    g_assert_true(ReplayWindow_Use(&window, REPLAY_WINDOW_SIZE + 2));
    g_assert_true(ReplayWindow_Use(&window, 4));
    g_assert_false(ReplayWindow_Use(&window, 4));
    g_assert_false(ReplayWindow_Use(&window, 3));
    g_assert_false(ReplayWindow_Use(&window, 2));
    g_assert_true(ReplayWindow_Use(&window, UINT64_MAX - 3));
    g_assert_true(ReplayWindow_Use(&window, UINT64_MAX));
    g_assert_false(ReplayWindow_Use(&window, REPLAY_WINDOW_SIZE + 3));
    g_assert_true(ReplayWindow_Use(&window, UINT64_MAX - 1));
    g_assert_false(ReplayWindow_Use(&window, UINT64_MAX));
}

/* ---- seals ---------------------------------------------------------- */

static HeaderList *
sample_headers(void)
{
    HeaderList *headers = HeaderList_Create();

    HeaderList_Add(headers, STR("host"), STR("gateway.example"));
    HeaderList_Add(headers, STR("agatecrank-attempt-id"), STR("17"));
    HeaderList_Add(headers, STR("agatecrank-timeout-ms"), STR("900"));
    return headers;
}

typedef struct Sample_ {
    ForwardRequestSeal seal;
    ForwardRequestHead head;
    HeaderList *headers;
    uint8_t key[FORWARD_MAC_KEY_BYTES];
    uint8_t mac[FORWARD_MAC_BYTES];
} Sample;

static void
init_sample(Sample *sample)
{
    BodyBuffer *body = BodyBuffer_Create();

    memset(sample, 0, sizeof(*sample));
    sample->headers = sample_headers();
    sample->seal = (ForwardRequestSeal){
        .sender = STR("a"), .sequence = 5, .attempts_max = 2};
    BodyBuffer_Append(body, STR("body"));
    ForwardSeal_Digest(body, sample->seal.digest);
    BodyBuffer_Destroy(body);
    sample->head = (ForwardRequestHead){STR("b"), STR("POST"), STR("/once/1"),
                                        sample->headers};
    ForwardRequestSeal_Mac(&sample->seal, &sample->head, sample->key,
                           sample->mac);
}

static bool
keeps_mac(const Sample *sample)
{
    uint8_t mac[FORWARD_MAC_BYTES];

    ForwardRequestSeal_Mac(&sample->seal, &sample->head, sample->key, mac);
    return ForwardSeal_Equal(mac, sample->mac, FORWARD_MAC_BYTES);
}

#define ASSERT_COVERED(change)                                                \
    do {                                                                      \
        Sample sample;                                                        \
        init_sample(&sample);                                                 \
        g_assert_true(keeps_mac(&sample));                                    \
        change;                                                               \
        g_assert_false(keeps_mac(&sample));                                   \
        HeaderList_Destroy(sample.headers);                                   \
    } while (0)

/* Guards against a request that can be altered on its way without that its seal
 * breaks. */
static void
test_request_covers(void)
{
    ASSERT_COVERED(sample.seal.sender = STR("c"));
    ASSERT_COVERED(sample.seal.sender_key[0] ^= 1);
    ASSERT_COVERED(sample.seal.sequence++);
    ASSERT_COVERED(sample.seal.attempts_max++);
    ASSERT_COVERED(sample.seal.digest[31] ^= 1);
    ASSERT_COVERED(sample.head.receiver = STR("c"));
    ASSERT_COVERED(sample.head.method = STR("PUT"));
    ASSERT_COVERED(sample.head.path = STR("/once/2"));
    ASSERT_COVERED(sample.key[0] ^= 1);
    ASSERT_COVERED(HeaderList_Set(sample.headers, STR("host"), STR("other")));
    ASSERT_COVERED(HeaderList_Set(sample.headers, STR("agatecrank-timeout-ms"),
                                  STR("901")));
    ASSERT_COVERED(
        HeaderList_Remove(sample.headers, STR("agatecrank-attempt-id")));
    ASSERT_COVERED(HeaderList_Add(sample.headers, STR("cookie"), STR("x")));
}

/* Guards against a seal that breaks by what each connection has of its own. */
static void
test_request_ignores_hop(void)
{
    Sample sample;

    init_sample(&sample);
    HeaderList_Add(sample.headers, STR("connection"), STR("keep-alive"));
    HeaderList_Add(sample.headers, STR("content-length"), STR("4"));
    HeaderList_Add(sample.headers, STR(FORWARD_FIELD), STR("any"));
    g_assert_true(keeps_mac(&sample));
    HeaderList_Destroy(sample.headers);
}

/* Guards against a response that can be taken for that to another request, or
 * altered. */
static void
test_response_covers(void)
{
    HeaderList *headers = sample_headers();
    ForwardResponseSeal seal = {.outcome = FORWARD_OUTCOME_NOT_RUN,
                                .reason = STR("cut-off")};
    ForwardResponseHead head = {5, 503, headers};
    uint8_t key[FORWARD_MAC_KEY_BYTES] = {1};
    uint8_t macs[6][FORWARD_MAC_BYTES];

    ForwardResponseSeal_Mac(&seal, &head, key, macs[0]);
    head.sequence++;
    ForwardResponseSeal_Mac(&seal, &head, key, macs[1]);
    head.sequence--;
    head.status = 500;
    ForwardResponseSeal_Mac(&seal, &head, key, macs[2]);
    head.status = 503;
    seal.outcome = FORWARD_OUTCOME_RELAYED;
    ForwardResponseSeal_Mac(&seal, &head, key, macs[3]);
    seal.outcome = FORWARD_OUTCOME_NOT_RUN;
    seal.reason = STR("other");
    ForwardResponseSeal_Mac(&seal, &head, key, macs[4]);
    seal.reason = STR("cut-off");
    HeaderList_Add(headers, STR("retry-after"), STR("1"));
    ForwardResponseSeal_Mac(&seal, &head, key, macs[5]);
    for (int i = 1; i < 6; i++) {
        g_assert_false(ForwardSeal_Equal(macs[0], macs[i], FORWARD_MAC_BYTES));
    }
    HeaderList_Destroy(headers);
}

/* Guards against a text that is read as another seal than was written. */
static void
test_texts(void)
{
    static const char *const bad[] = {
        "",
        "1",
        "1 a",
        "2 a " KEY " 5 2 " KEY " " KEY,
        "1  " KEY " 5 2 " KEY " " KEY,
        "1 a " KEY " 0 2 " KEY " " KEY,
        "1 a " KEY " 5 0 " KEY " " KEY,
        "1 a " KEY " 5 4294967296 " KEY " " KEY,
        "1 a " KEY " -5 2 " KEY " " KEY,
        "1 a " KEY " 5 2 " KEY " " KEY " ",
        "1 a " KEY " 5 2 " KEY " " KEY "00",
        "1 a 00 5 2 " KEY " " KEY,
    };
    static const char good[] = "1 a " KEY " 5 2 " KEY " " KEY;
    GString *text = g_string_new(NULL);
    ForwardRequestSeal seal;
    ForwardResponseSeal response;

    for (size_t i = 0; i < G_N_ELEMENTS(bad); i++) {
        g_assert_cmpint(ForwardRequestSeal_Parse(Str_FromC(bad[i]), &seal), ==,
                        ERR_PARSE);
    }
    g_assert_cmpint(ForwardRequestSeal_Parse(STR(good), &seal), ==, 0);
    ForwardRequestSeal_Format(&seal, text);
    g_assert_cmpstr(text->str, ==, good);
    g_assert_cmpint(
        ForwardResponseSeal_Parse(STR("1 relayed - " KEY), &response), ==, 0);
    g_assert_cmpuint(response.reason.length, ==, 0);
    g_string_truncate(text, 0);
    ForwardResponseSeal_Format(&response, text);
    g_assert_cmpstr(text->str, ==, "1 relayed - " KEY);
    g_assert_cmpint(ForwardResponseSeal_Parse(STR("1 done - " KEY), &response),
                    ==, ERR_PARSE);
    g_assert_cmpint(
        ForwardResponseSeal_Parse(STR("1 relayed " KEY), &response), ==,
        ERR_PARSE);
    g_assert_cmpint(ForwardResponseSeal_Parse(STR(""), &response), ==,
                    ERR_PARSE);
    g_string_free(text, TRUE);
}

int
main(int argc, char **argv)
{
    int code;

    g_test_init(&argc, &argv, NULL);
    test_clock = Clock_CreateManual(1, 1);
    g_test_add_func("/forward/entry", test_entry);
    g_test_add_func("/forward/entry-of-next-version",
                    test_entry_of_next_version);
    g_test_add_func("/forward/entry-with-capacity", test_entry_with_capacity);
    g_test_add_func("/forward/keys-of-pair", test_keys_of_pair);
    g_test_add_func("/forward/change-of-keys", test_change_of_keys);
    g_test_add_func("/forward/replay-window", test_replay_window);
    g_test_add_func("/forward/request-covers", test_request_covers);
    g_test_add_func("/forward/request-ignores-hop", test_request_ignores_hop);
    g_test_add_func("/forward/response-covers", test_response_covers);
    g_test_add_func("/forward/texts", test_texts);
    code = g_test_run();
    Clock_Destroy(test_clock);
    return code;
}
