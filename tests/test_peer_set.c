#include <glib.h>
#include <stdlib.h>

#include "PeerSet.h"

/* Guards against forwards to peers that refuse them, and against many forwards
 * to few peers. */

#define SEED 43
#define PEER_COUNT 18
#define OWN_COUNT 6

typedef struct Fixture_ {
    Clock *clock;
    Random *random;
    PeerSet *set;
    PeerInfo infos[PEER_COUNT];
    char ids[PEER_COUNT][8];
} Fixture;

static void
set_up(Fixture *f, gconstpointer data)
{
    f->clock = Clock_CreateManual(MICROS_PER_S, 0);
    f->random = Random_Create(SEED);
    f->set = PeerSet_Create(STR("a"), f->clock, f->random);
    for (int i = 0; i < PEER_COUNT; i++) {
        g_snprintf(f->ids[i], sizeof(f->ids[i]), "p%d", i);
        f->infos[i] = (PeerInfo){Str_FromC(f->ids[i]),
                                 i < OWN_COUNT ? STR("a") : STR("b")};
    }
    PeerSet_Replace(f->set, f->infos, PEER_COUNT);
}

static void
tear_down(Fixture *f, gconstpointer data)
{
    PeerSet_Destroy(f->set);
    Random_Destroy(f->random);
    Clock_Destroy(f->clock);
}

static int
index_of(const Peer *peer)
{
    return atoi(Peer_Id(peer).data + 1);
}

static void
test_prefers_own_domain(Fixture *f, gconstpointer data)
{
    Peer *peers[2 * PEER_COUNT];
    unsigned own = 0, counts[PEER_COUNT] = {0};

    for (int i = 0; i < 2 * PEER_COUNT; i++) {
        peers[i] = PeerSet_Take(f->set, NULL, 0);
        own += index_of(peers[i]) < OWN_COUNT;
        counts[index_of(peers[i])]++;
    }
    g_assert_cmpuint(own, >, 2 * OWN_COUNT);
    for (int i = 0; i < PEER_COUNT; i++) {
        g_assert_cmpuint(counts[i], <=, 6);
    }
    for (int i = 0; i < 2 * PEER_COUNT; i++) {
        PeerSet_Release(f->set, peers[i], PEER_SERVED);
    }
    g_assert_cmpuint(PeerSet_Open(f->set), ==, 0);
}

/* Returns how many of @count forwards go to a peer that is cut off: the first
 * @cut_count ones are. */
static unsigned
forward(Fixture *f, int cut_count, unsigned count, Micros interval)
{
    unsigned refused = 0;

    for (unsigned i = 0; i < count; i++) {
        Peer *peer = PeerSet_Take(f->set, NULL, 0);
        bool cut = peer != NULL && index_of(peer) < cut_count;

        refused += cut;
        if (peer != NULL) {
            PeerSet_Release(f->set, peer, cut ? PEER_CUT_OFF : PEER_SERVED);
        }
        Clock_Advance(f->clock, interval);
    }
    return refused;
}

static void
test_own_domain_cut(Fixture *f, gconstpointer data)
{
    unsigned refused = forward(f, OWN_COUNT, 1000, 10 * MICROS_PER_MS);

    g_test_message("seed=%d refused=%u of 1000", SEED, refused);
    g_assert_cmpuint(refused, <=, 50);
}

static void
test_most_cut(Fixture *f, gconstpointer data)
{
    unsigned refused = forward(f, PEER_COUNT - 2, 200, 200 * MICROS_PER_MS);

    g_test_message("seed=%d refused=%u of 200", SEED, refused);
    g_assert_cmpuint(refused, <=, 40);
}

static void
test_all_cut(Fixture *f, gconstpointer data)
{
    unsigned refused = forward(f, PEER_COUNT, 5000, 2 * MICROS_PER_MS);

    g_test_message("seed=%d refused=%u of 5000", SEED, refused);
    g_assert_cmpuint(refused, <=, PEER_COUNT * 20); /* 10 s, 0.5 s or more */
}

static void
test_bounds(Fixture *f, gconstpointer data)
{
    GPtrArray *open = g_ptr_array_new();
    Peer *peer;

    PeerSet_Replace(f->set, f->infos, 1);
    while ((peer = PeerSet_Take(f->set, NULL, 0)) != NULL) {
        g_ptr_array_add(open, peer);
    }
    g_assert_cmpuint(open->len, ==, 32);
    PeerSet_Replace(f->set, f->infos, PEER_COUNT);
    while ((peer = PeerSet_Take(f->set, NULL, 0)) != NULL) {
        g_ptr_array_add(open, peer);
    }
    g_assert_cmpuint(open->len, ==, 256);
    PeerSet_Replace(f->set, f->infos + 1, 2);
    for (guint i = 0; i < open->len; i++) {
        PeerSet_Release(f->set, g_ptr_array_index(open, i), PEER_UNKNOWN);
    }
    g_assert_cmpuint(PeerSet_Open(f->set), ==, 0);
    g_assert_cmpuint(PeerSet_Count(f->set), ==, 2);
    g_ptr_array_free(open, TRUE);
}

static void
test_not_the_same_again(Fixture *f, gconstpointer data)
{
    Peer *first, *second;
    uint64_t number;

    PeerSet_Replace(f->set, f->infos, 2);
    first = PeerSet_Take(f->set, NULL, 0);
    number = Peer_Number(first);
    second = PeerSet_Take(f->set, &number, 1);
    g_assert_true(second != NULL && second != first);
    PeerSet_Release(f->set, first, PEER_UNKNOWN);
    PeerSet_Release(f->set, second, PEER_DENIED);
    g_assert_null(PeerSet_Take(f->set, &number, 1));
}

/* Guards against a host without peers for long when a configuration reaches it
 * before them. */
static void
test_outdated(Fixture *f, gconstpointer data)
{
    Peer *peer;

    while ((peer = PeerSet_Take(f->set, NULL, 0)) != NULL) {
        PeerSet_Release(f->set, peer, PEER_OUTDATED);
    }
    Clock_Advance(f->clock, 300 * MICROS_PER_MS);
    peer = PeerSet_Take(f->set, NULL, 0);
    g_assert_nonnull(peer);
    PeerSet_Release(f->set, peer, PEER_SERVED);
}

/* Guards against a host without peers while they know its key again: each reads
 * it right after the first refusal. */
static void
test_denied(Fixture *f, gconstpointer data)
{
    unsigned denied = 0;
    Peer *peer;

    while ((peer = PeerSet_Take(f->set, NULL, 0)) != NULL) {
        PeerSet_Release(f->set, peer, PEER_DENIED);
    }
    Clock_Advance(f->clock, 300 * MICROS_PER_MS);
    peer = PeerSet_Take(f->set, NULL, 0);
    g_assert_nonnull(peer);
    PeerSet_Release(f->set, peer, PEER_DENIED);
    for (int i = 0; i < 1000; i++) {
        peer = PeerSet_Take(f->set, NULL, 0);
        if (peer != NULL) {
            PeerSet_Release(f->set, peer, PEER_DENIED);
            denied++;
        }
        Clock_Advance(f->clock, 2 * MICROS_PER_MS);
    }
    g_assert_cmpuint(denied, <=, PEER_COUNT * 20);
}

#define ADD(path, test)                                                       \
    g_test_add("/peer-set/" path, Fixture, NULL, set_up, test, tear_down)

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    ADD("prefers-own-domain", test_prefers_own_domain);
    ADD("own-domain-cut", test_own_domain_cut);
    ADD("most-cut", test_most_cut);
    ADD("all-cut", test_all_cut);
    ADD("bounds", test_bounds);
    ADD("denied", test_denied);
    ADD("outdated", test_outdated);
    ADD("not-the-same-again", test_not_the_same_again);
    return g_test_run();
}
