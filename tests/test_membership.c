#include <glib.h>
#include <string.h>

#include "Cluster.h"
#include "GossipDraft.h"
#include "PeerCodec.h"

/* One Membership object, which receives messages written by the test. */
typedef struct Fixture_ {
    Clock *clock;
    Random *random;
    Membership *membership;
    Gossip *gossip;
    GString *bytes;
    MembershipCounters counters;
} Fixture;

static Fixture *
create_fixture(MembershipFault fault)
{
    Fixture *this = g_new0(Fixture, 1);
    MembershipOptions options = MembershipOptions_Default();
    Str seeds[2] = {STR("10.0.0.9:7400"), STR("10.0.0.8:7400")};

    this->clock = Clock_CreateManual(MICROS_PER_S, 5000 * MICROS_PER_S);
    this->random = Random_Create(7);
    options.deployment = STR("tunis");
    options.host = STR("self");
    options.address = STR("10.0.0.1:7400");
    options.domain = STR("lac-a");
    options.incarnation = 1000;
    options.seeds = seeds;
    options.seed_count = 2;
    options.fault = fault;
    this->membership = Membership_Create(&options, this->clock, this->random);
    this->gossip = g_new0(Gossip, 1);
    this->bytes = g_string_new(NULL);
    return this;
}

static void
destroy_fixture(Fixture *this)
{
    Membership_Destroy(this->membership);
    Clock_Destroy(this->clock);
    Random_Destroy(this->random);
    g_free(this->gossip);
    g_string_free(this->bytes, TRUE);
    g_free(this);
}

/* Takes all pending messages; returns their number. */
static int
drain_messages(Fixture *this)
{
    PeerTarget to;
    int n = 0;

    while (Membership_NextMessage(this->membership, &to, this->bytes)) {
        n++;
    }
    return n;
}

static void
advance(Fixture *this, Micros time)
{
    for (Micros passed = 0; passed < time; passed += 50 * MICROS_PER_MS) {
        Clock_Advance(this->clock, 50 * MICROS_PER_MS);
        Membership_OnTick(this->membership);
        drain_messages(this);
    }
}

/* Passes in a message of host "peer" with its own record. */
static int
receive_record(Fixture *this, uint64_t incarnation, uint32_t heartbeat,
               bool leaving)
{
    Gossip *gossip = this->gossip;

    memset(gossip, 0, sizeof(*gossip));
    gossip->from = STR("peer");
    gossip->incarnation = incarnation;
    gossip->member_count = 1;
    gossip->members[0] = (GossipMember){
        .id = STR("peer"),
        .address = STR("10.0.0.2:7400"),
        .incarnation = incarnation,
        .heartbeat = heartbeat,
        .leaving = leaving,
    };
    return Membership_OnGossip(this->membership, gossip);
}

static HostState
state_of(Fixture *this, const char *host)
{
    HostView view;

    g_assert_true(Membership_Find(this->membership, Str_FromC(host), &view));
    return view.state;
}

/* Guards against removing an unresponsive host too early or never, and against
 * a removed host that cannot come back. */
static void
test_suspicion(void)
{
    Fixture *fixture = create_fixture(MEMBERSHIP_FAULT_NONE);
    HostView views[4];

    receive_record(fixture, 50, 1, false);
    g_assert_cmpuint(Membership_Live(fixture->membership, views, 4), ==, 2);
    g_assert_true(Str_Equal(views[0].id, STR("peer")));
    g_assert_true(views[1].self);
    advance(fixture, 3 * MICROS_PER_S);
    g_assert_cmpint(state_of(fixture, "peer"), ==, HOST_LIVE);
    advance(fixture, 2 * MICROS_PER_S);
    g_assert_cmpint(state_of(fixture, "peer"), ==, HOST_SUSPECT);
    g_assert_cmpuint(Membership_Live(fixture->membership, views, 4), ==, 2);
    receive_record(fixture, 50, 2, false);
    g_assert_cmpint(state_of(fixture, "peer"), ==, HOST_LIVE);
    advance(fixture, 13 * MICROS_PER_S);
    g_assert_cmpint(state_of(fixture, "peer"), ==, HOST_REMOVED);
    g_assert_cmpuint(Membership_Live(fixture->membership, views, 4), ==, 1);
    /* Only a newer heartbeat brings it back. */
    receive_record(fixture, 50, 2, false);
    g_assert_cmpint(state_of(fixture, "peer"), ==, HOST_REMOVED);
    receive_record(fixture, 50, 3, false);
    g_assert_cmpint(state_of(fixture, "peer"), ==, HOST_LIVE);
    destroy_fixture(fixture);
}

/* Guards against applying state of an earlier incarnation of a host. */
static void
test_incarnations(void)
{
    Fixture *fixture = create_fixture(MEMBERSHIP_FAULT_NONE);
    SharedItem item;
    HostView view;

    receive_record(fixture, 50, 9, false);
    receive_record(fixture, 60, 1, false);
    g_assert_true(Membership_Find(fixture->membership, STR("peer"), &view));
    g_assert_cmpuint(view.incarnation, ==, 60);
    g_assert_cmpint(receive_record(fixture, 50, 99, true), ==, ERR_EXPIRED);
    g_assert_true(Membership_Find(fixture->membership, STR("peer"), &view));
    g_assert_cmpuint(view.incarnation, ==, 60);
    g_assert_cmpint(view.state, ==, HOST_LIVE);
    /* Items of the earlier incarnation, relayed by another host. */
    memset(fixture->gossip, 0, sizeof(*fixture->gossip));
    fixture->gossip->from = STR("third");
    fixture->gossip->item_count = 1;
    fixture->gossip->items[0].item.kind = SHARED_CONFIG_OFFSET;
    fixture->gossip->items[0].item.host = STR("peer");
    fixture->gossip->items[0].item.incarnation = 50;
    fixture->gossip->items[0].item.config.offset = 5;
    Membership_OnGossip(fixture->membership, fixture->gossip);
    g_assert_false(Membership_NextItem(fixture->membership, &item));
    fixture->gossip->items[0].item.incarnation = 60;
    Membership_OnGossip(fixture->membership, fixture->gossip);
    g_assert_true(Membership_NextItem(fixture->membership, &item));
    g_assert_cmpuint(item.config.offset, ==, 5);
    destroy_fixture(fixture);
}

/* Guards against a host that is excluded because its clock went back, and
 * against two processes with one host id that raise their incarnations
 * endlessly. */
static void
test_incarnation_refutation(void)
{
    Fixture *fixture = create_fixture(MEMBERSHIP_FAULT_NONE);
    Gossip *gossip = fixture->gossip;

    receive_record(fixture, 50, 1, false);
    gossip->member_count = 1;
    gossip->members[0].id = STR("self");
    gossip->members[0].incarnation = 5000;
    gossip->members[0].heartbeat = 1;
    Membership_OnGossip(fixture->membership, gossip);
    g_assert_cmpuint(Membership_Incarnation(fixture->membership), >, 5000);
    advance(fixture, 40 * MICROS_PER_S);
    gossip->members[0].incarnation = UINT64_MAX;
    Membership_OnGossip(fixture->membership, gossip);
    g_assert_true(Membership_Superseded(fixture->membership));
    advance(fixture, MICROS_PER_S);
    g_assert_cmpint(drain_messages(fixture), ==, 0);
    destroy_fixture(fixture);
}

/* Guards against removing all other hosts after a pause of this host. */
static void
test_own_pause(void)
{
    Fixture *fixture = create_fixture(MEMBERSHIP_FAULT_NONE);

    receive_record(fixture, 50, 1, false);
    Clock_Advance(fixture->clock, 60 * MICROS_PER_S);
    drain_messages(fixture);
    g_assert_cmpint(state_of(fixture, "peer"), ==, HOST_LIVE);
    destroy_fixture(fixture);
}

/* Guards against a leaving host that is still listed as live. */
static void
test_leaving(void)
{
    Fixture *fixture = create_fixture(MEMBERSHIP_FAULT_NONE);
    HostView views[4];
    uint64_t version;

    receive_record(fixture, 50, 1, false);
    version = Membership_Version(fixture->membership);
    receive_record(fixture, 50, 2, true);
    g_assert_cmpuint(Membership_Version(fixture->membership), >, version);
    g_assert_cmpint(state_of(fixture, "peer"), ==, HOST_LEAVING);
    g_assert_cmpuint(Membership_Live(fixture->membership, views, 4), ==, 1);
    receive_record(fixture, 50, 3, false);
    g_assert_cmpint(state_of(fixture, "peer"), ==, HOST_LEAVING);
    Membership_Leave(fixture->membership);
    g_assert_cmpuint(Membership_Live(fixture->membership, views, 4), ==, 0);
    destroy_fixture(fixture);
}

/* Guards against a host list that adds or removes members. */
static void
test_host_list(void)
{
    Fixture *fixture = create_fixture(MEMBERSHIP_FAULT_NONE);
    HostEntry entries[3] = {
        {.id = STR("self"),
         .role = HOST_BALANCER,
         .address = STR("10.0.0.1"),
         .peer_port = 7400},
        {.id = STR("new"),
         .role = HOST_BALANCER,
         .address = STR("10.0.0.5"),
         .peer_port = 7400,
         .leaving = true},
        {.id = STR("claims-1"),
         .role = HOST_UPSTREAM,
         .address = STR("10.0.0.6"),
         .peer_port = 7400},
    };
    /* Test vector of the Z85 specification, four times. */
    static const Label label = {
        {"peer_key", 8}, {"HelloWorldHelloWorldHelloWorldHelloWorld", 40}};
    static const uint8_t start[] = {0x86, 0x4f, 0xd2, 0x6f,
                                    0xb5, 0x59, 0xf7, 0x5b};
    HostView views[4];
    PeerTarget to;
    bool contacted = false;

    entries[1].labels.items = &label;
    entries[1].labels.count = 1;
    receive_record(fixture, 50, 1, false);
    Membership_OnHostList(fixture->membership, entries, 3);
    g_assert_cmpuint(Membership_Live(fixture->membership, views, 4), ==, 2);
    for (int i = 0; i < 400; i++) {
        Clock_Advance(fixture->clock, 100 * MICROS_PER_MS);
        while (
            Membership_NextMessage(fixture->membership, &to, fixture->bytes)) {
            if (Str_Equal(to.address, STR("10.0.0.5:7400"))) {
                contacted = true;
                g_assert_cmpmem(to.key.data, MIN(to.key.length, 8), start, 8);
            }
            g_assert_false(Str_Equal(to.address, STR("10.0.0.6:7400")));
            g_assert_false(Str_Equal(to.address, STR("10.0.0.1:7400")));
        }
    }
    g_assert_true(contacted);
    destroy_fixture(fixture);
}

/* Guards against items that are applied after they have expired, are applied
 * twice, or replace newer ones. */
static void
test_item_ages(void)
{
    static const struct {
        SharedKind kind;
        Micros age;
        bool accepted;
    } cases[] = {
        {SHARED_DRAIN, 29 * MICROS_PER_S, true},
        {SHARED_DRAIN, 30 * MICROS_PER_S, false},
        {SHARED_SUSPECT, 9 * MICROS_PER_S, true},
        {SHARED_SUSPECT, 10 * MICROS_PER_S, false},
        {SHARED_CONFIG_OFFSET, 59 * MICROS_PER_S, true},
        {SHARED_CONFIG_OFFSET, 60 * MICROS_PER_S, false},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        Fixture *fixture = create_fixture(MEMBERSHIP_FAULT_NONE);
        SharedItem item;
        GossipItem *sent = &fixture->gossip->items[0];

        receive_record(fixture, 50, 1, false);
        fixture->gossip->item_count = 1;
        sent->item.kind = cases[i].kind;
        sent->item.host = STR("peer");
        sent->item.incarnation = 50;
        sent->item.age = cases[i].age;
        if (cases[i].kind != SHARED_CONFIG_OFFSET) {
            sent->item.drain.upstream = STR("claims-1");
        }
        sent->stamp_ms = 10;
        Membership_OnGossip(fixture->membership, fixture->gossip);
        g_assert_cmpint(Membership_NextItem(fixture->membership, &item), ==,
                        cases[i].accepted);
        /* The same version again, from a host that lags behind. */
        advance(fixture, 2 * MICROS_PER_S);
        sent->item.age = 0;
        Membership_OnGossip(fixture->membership, fixture->gossip);
        g_assert_cmpint(Membership_NextItem(fixture->membership, &item), ==,
                        !cases[i].accepted);
        sent->stamp_ms = 9;
        Membership_OnGossip(fixture->membership, fixture->gossip);
        g_assert_false(Membership_NextItem(fixture->membership, &item));
        destroy_fixture(fixture);
    }
}

static void
count_item(void *user, uint32_t host, const SharedItem *item)
{
    *(uint32_t *)user += item->kind == SHARED_DRAIN;
}

/* Guards against views that exceed their limit, and against items that do not
 * reach hosts outside the view of their origin. */
static void
test_partial_view(void)
{
    ClusterOptions options = ClusterOptions_Default(5);
    SharedItem item = {.kind = SHARED_DRAIN};
    uint64_t incarnations[CLUSTER_HOSTS_MAX];
    uint32_t reached = 0;
    Cluster *cluster;

    options.hosts = 100;
    options.member.members_max = 40;
    cluster = Cluster_Create(&options);
    Cluster_SetItemHandler(cluster, count_item, &reached);
    Cluster_Run(cluster, 20 * MICROS_PER_S);
    for (uint32_t i = 0; i < options.hosts; i++) {
        size_t n = Cluster_GetView(cluster, i, incarnations);

        g_assert_cmpuint(n, <=, 41);
        g_assert_cmpuint(n, >=, 30);
    }
    item.drain.upstream = STR("claims-1");
    Cluster_Share(cluster, 0, &item);
    Cluster_Run(cluster, SharedKind_MaxAge(SHARED_DRAIN) / 3);
    g_assert_cmpuint(reached, ==, options.hosts - 1);
    Cluster_Destroy(cluster);
}

/* Guards against accepting items whose names cannot be encoded. */
static void
test_bad_items(void)
{
    Fixture *fixture = create_fixture(MEMBERSHIP_FAULT_NONE);
    SharedItem item = {.kind = SHARED_DRAIN};
    char name[PEER_NAME_MAX + 2];

    g_assert_cmpint(Membership_Share(fixture->membership, &item), ==,
                    ERR_INVALID);
    memset(name, 'x', sizeof(name));
    item.drain.upstream = (Str){name, sizeof(name) - 1};
    g_assert_cmpint(Membership_Share(fixture->membership, &item), ==,
                    ERR_INVALID);
    item.drain.upstream.length = PEER_NAME_MAX;
    g_assert_cmpint(Membership_Share(fixture->membership, &item), ==, 0);
    item.drain.upstream = STR("two words");
    g_assert_cmpint(Membership_Share(fixture->membership, &item), ==,
                    ERR_INVALID);
    destroy_fixture(fixture);
}

/* Guards against messages longer than the limit because an encoded length is
 * estimated too low. Uses the largest names, numbers and lists. */
static void
test_draft_limit(void)
{
    Random *random = Random_Create(11);
    GossipDraft *draft = g_new0(GossipDraft, 1);
    GString *bytes = g_string_new(NULL);
    PeerEnvelope envelope = {STR("tunis"), STR("balancer-01"), UINT64_MAX};
    char text[PEER_NAME_MAX];

    memset(text, 'n', sizeof(text));
    for (int run = 0; run < 3000; run++) {
        size_t limit = 250 + Random_Below(random, GOSSIP_MAX_BYTES - 249);

        GossipDraft_Begin(draft, &envelope, limit);
        for (int i = 0; i < 200; i++) {
            Str name = {text, 1 + Random_Below(random, sizeof(text))};
            GossipMember member = {name,
                                   name,
                                   name,
                                   {NULL, 0},
                                   UINT64_MAX,
                                   UINT32_MAX,
                                   3600 * MICROS_PER_S,
                                   true};
            GossipHeartbeat heartbeat = {UINT32_MAX, UINT32_MAX >> (run % 32),
                                         16 * MICROS_PER_S};
            GossipItem item = {.stamp_ms = UINT32_MAX, .hops = 16};

            item.item.kind =
                (SharedKind)Random_Below(random, SHARED_KIND_COUNT);
            item.item.host = name;
            item.item.incarnation = Random_Below(random, 3);
            item.item.age = 60 * MICROS_PER_S;
            if (item.item.kind == SHARED_FINGERPRINT) {
                item.item.fingerprint.line = name;
                item.item.fingerprint.upstreams[0] = name;
                item.item.fingerprint.upstreams[1].data = text;
                item.item.fingerprint.upstreams[1].length = 3;
                item.item.fingerprint.losses = 2;
                item.item.fingerprint.high = UINT64_MAX;
                item.item.fingerprint.low = UINT64_MAX;
            }
            else if (item.item.kind == SHARED_CONFIG_OFFSET) {
                item.item.config.offset = UINT64_MAX;
            }
            else if (item.item.kind != SHARED_USAGE) {
                item.item.drain.upstream = name;
            }
            else {
                item.item.usage.service = name;
                item.item.usage.line.data = text;
                item.item.usage.line.length = Random_Below(random, 20);
                item.item.usage.usage = 1.5F;
            }
            switch (Random_Below(random, 4)) {
            case 0:
                GossipDraft_AddMember(draft, &member);
                break;
            case 1:
                GossipDraft_AddHeartbeat(draft, &heartbeat);
                break;
            default:
                GossipDraft_AddItem(draft, &item);
                break;
            }
        }
        GossipDraft_Finish(draft);
        g_assert_cmpint(
            PeerCodec_WriteGossip(&envelope, &draft->gossip, bytes), ==, 0);
        g_assert_cmpuint(bytes->len, <=, limit);
    }
    g_string_free(bytes, TRUE);
    g_free(draft);
    Random_Destroy(random);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/membership/suspicion", test_suspicion);
    g_test_add_func("/membership/incarnations", test_incarnations);
    g_test_add_func("/membership/outbid", test_incarnation_refutation);
    g_test_add_func("/membership/own-pause", test_own_pause);
    g_test_add_func("/membership/leaving", test_leaving);
    g_test_add_func("/membership/host-list", test_host_list);
    g_test_add_func("/membership/item-ages", test_item_ages);
    g_test_add_func("/membership/partial-view", test_partial_view);
    g_test_add_func("/membership/bad-items", test_bad_items);
    g_test_add_func("/membership/draft-bound", test_draft_limit);
    return g_test_run();
}
