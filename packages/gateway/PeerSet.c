#include "PeerSet.h"

/* Open forwards to one peer, and to all: each takes a connection. */
#define OPEN_PER_PEER_MAX 32
#define OPEN_MAX 256
/* Times for which a peer that has refused is left out. One that is full may
 * have room again soon, one that does not know this host's key reads it when it
 * refuses. */
#define REFUSED_US (1 * MICROS_PER_S)
#define FULL_US (200 * MICROS_PER_MS)
#define DENIED_US (200 * MICROS_PER_MS)
/* A new configuration reaches hosts at different times. */
#define OUTDATED_US (200 * MICROS_PER_MS)
/* Time for which the own domain is avoided after a peer in it was cut off. */
#define DOMAIN_CUT_US (1 * MICROS_PER_S)
/* Open forwards by which a peer in another domain must be less used, because
 * traffic between domains has a cost. */
#define OTHER_DOMAIN_OPEN_MIN 2
/* One in this number of choices is of a peer that has refused, to learn whether
 * it still does. */
#define TRIAL_ONE_IN 16

struct Peer_ {
    GString *id;
    GString *domain;
    uint64_t number;
    Micros refused_until;
    uint32_t open;
    bool own_domain;
    bool refused; /* its last forward */
    bool listed;
};

struct PeerSet_ {
    GString *own_domain;
    const Clock *clock;
    Random *random;
    GHashTable *by_id; /* Peer by GString; listed ones only */
    GPtrArray *list;   /* the same */
    uint64_t number;   /* of the last peer */
    Micros own_cut_until;
    uint32_t open;
};

static void
destroy_peer(Peer *peer)
{
    g_string_free(peer->id, TRUE);
    g_string_free(peer->domain, TRUE);
    g_free(peer);
}

PeerSet *
PeerSet_Create(Str own_domain, const Clock *clock, Random *random)
{
    PeerSet *this = g_new0(PeerSet, 1);

    this->own_domain = Str_ToString(own_domain);
    this->clock = clock;
    this->random = random;
    this->by_id =
        g_hash_table_new((GHashFunc)g_string_hash, (GEqualFunc)g_string_equal);
    this->list = g_ptr_array_new();
    return this;
}

void
PeerSet_Destroy(PeerSet *this)
{
    if (this == NULL) {
        return;
    }
    PeerSet_Replace(this, NULL, 0);
    g_hash_table_destroy(this->by_id);
    g_ptr_array_free(this->list, TRUE);
    g_string_free(this->own_domain, TRUE);
    g_free(this);
}

/* ---- list ------------------------------------------------------------ */

static void
add_peer(PeerSet *this, const PeerInfo *info)
{
    Peer *peer = g_new0(Peer, 1);

    peer->id = Str_ToString(info->id);
    peer->domain = Str_ToString(info->domain);
    peer->number = ++this->number;
    peer->own_domain =
        Str_Equal(info->domain, Str_FromString(this->own_domain));
    peer->listed = true;
    g_hash_table_insert(this->by_id, peer->id, peer);
    g_ptr_array_add(this->list, peer);
}

/* Puts a peer back into the list. Returns false if it is not known. */
static bool
keep_peer(PeerSet *this, const PeerInfo *info)
{
    GString *id = Str_ToString(info->id);
    Peer *peer = g_hash_table_lookup(this->by_id, id);

    g_string_free(id, TRUE);
    if (peer == NULL ||
        !Str_Equal(info->domain, Str_FromString(peer->domain))) {
        return false;
    }
    if (!peer->listed) {
        peer->listed = true;
        g_ptr_array_add(this->list, peer);
    }
    return true;
}

static void
unlist_all(PeerSet *this)
{
    for (guint i = 0; i < this->list->len; i++) {
        ((Peer *)g_ptr_array_index(this->list, i))->listed = false;
    }
    g_ptr_array_set_size(this->list, 0);
}

static gboolean
is_unlisted(gpointer key, gpointer value, gpointer user)
{
    Peer *peer = value;

    if (peer->listed) {
        return FALSE;
    }
    if (peer->open == 0) {
        destroy_peer(peer);
    }
    return TRUE;
}

void
PeerSet_Replace(PeerSet *this, const PeerInfo *peers, size_t count)
{
    unlist_all(this);
    for (size_t i = 0; i < count; i++) {
        keep_peer(this, &peers[i]);
    }
    g_hash_table_foreach_remove(this->by_id, is_unlisted, NULL);
    for (size_t i = 0; i < count; i++) {
        if (!keep_peer(this, &peers[i])) {
            add_peer(this, &peers[i]);
        }
    }
}

size_t
PeerSet_Count(const PeerSet *this)
{
    return this->list->len;
}

/* ---- choice ---------------------------------------------------------- */

static bool
is_usable(const PeerSet *this, const Peer *peer, const uint64_t *avoid,
          size_t avoid_count)
{
    for (size_t i = 0; i < avoid_count; i++) {
        if (avoid[i] == peer->number) {
            return false;
        }
    }
    return peer->open < OPEN_PER_PEER_MAX &&
           peer->refused_until <= Clock_Now(this->clock);
}

/* Two random peers of a domain that can be used, or fewer. */
typedef struct Pair_ {
    Peer *peers[2];
    uint64_t seen;
} Pair;

static void
sample(PeerSet *this, Pair *pair, Peer *peer)
{
    uint64_t i = pair->seen++;

    if (i >= 2) {
        i = Random_Below(this->random, pair->seen);
    }
    if (i < 2) {
        pair->peers[i] = peer;
    }
}

static Peer *
better_of(PeerSet *this, const Pair *pair)
{
    Peer *a = pair->peers[0], *b = pair->peers[1];

    if (a == NULL || b == NULL) {
        return a;
    }
    if (a->open != b->open) {
        return a->open < b->open ? a : b;
    }
    return Random_Below(this->random, 2) == 0 ? a : b;
}

static Peer *
choose_domain(const PeerSet *this, Peer *own, Peer *other)
{
    if (own == NULL || other == NULL) {
        return own != NULL ? own : other;
    }
    if (this->own_cut_until > Clock_Now(this->clock)) {
        return other;
    }
    return own->open < other->open + OTHER_DOMAIN_OPEN_MIN ? own : other;
}

/* Chooses among the peers whose last forward was refused, or was not. */
static Peer *
choose(PeerSet *this, bool refused, const uint64_t *avoid, size_t avoid_count)
{
    Pair own = {{NULL, NULL}, 0}, other = {{NULL, NULL}, 0};

    for (guint i = 0; i < this->list->len; i++) {
        Peer *peer = g_ptr_array_index(this->list, i);

        if (peer->refused == refused &&
            is_usable(this, peer, avoid, avoid_count)) {
            sample(this, peer->own_domain ? &own : &other, peer);
        }
    }
    return choose_domain(this, better_of(this, &own), better_of(this, &other));
}

Peer *
PeerSet_Take(PeerSet *this, const uint64_t *avoid, size_t avoid_count)
{
    bool refused_first = Random_Below(this->random, TRIAL_ONE_IN) == 0;
    Peer *chosen;

    if (this->open >= OPEN_MAX) {
        return NULL;
    }
    chosen = choose(this, refused_first, avoid, avoid_count);
    if (chosen == NULL) {
        chosen = choose(this, !refused_first, avoid, avoid_count);
    }
    if (chosen != NULL) {
        chosen->open++;
        this->open++;
    }
    return chosen;
}

static void
note_refusal(PeerSet *this, Peer *peer, Micros duration)
{
    peer->refused = true;
    peer->refused_until =
        Clock_Now(this->clock) + Random_Jitter(this->random, duration);
}

static void
note_outcome(PeerSet *this, Peer *peer, PeerOutcome outcome)
{
    switch (outcome) {
    case PEER_SERVED:
        peer->refused = false;
        if (peer->own_domain) {
            this->own_cut_until = 0;
        }
        break;
    case PEER_CUT_OFF:
        note_refusal(this, peer, REFUSED_US);
        if (peer->own_domain) {
            this->own_cut_until = Clock_Now(this->clock) + DOMAIN_CUT_US;
        }
        break;
    case PEER_FULL:
        note_refusal(this, peer, FULL_US);
        break;
    case PEER_DENIED:
        note_refusal(this, peer, DENIED_US);
        break;
    case PEER_OUTDATED:
        note_refusal(this, peer, OUTDATED_US);
        break;
    case PEER_UNREACHABLE:
        note_refusal(this, peer, REFUSED_US);
        break;
    case PEER_SILENT:
        peer->refused = true;
        break;
    case PEER_UNKNOWN:
        break;
    }
}

void
PeerSet_Release(PeerSet *this, Peer *peer, PeerOutcome outcome)
{
    peer->open--;
    this->open--;
    note_outcome(this, peer, outcome);
    if (!peer->listed && peer->open == 0) {
        destroy_peer(peer);
    }
}

uint32_t
PeerSet_Open(const PeerSet *this)
{
    return this->open;
}

Str
Peer_Id(const Peer *this)
{
    return Str_FromString(this->id);
}

uint64_t
Peer_Number(const Peer *this)
{
    return this->number;
}
