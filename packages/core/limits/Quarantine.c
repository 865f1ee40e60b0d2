#include "Quarantine.h"

#include <glib.h>
#include <string.h>

#include "Error.h"

#define DEFAULT_ENTRIES_MAX 4096
#define DEFAULT_SUSPECT_TTL_US (60 * MICROS_PER_S)
#define DEFAULT_REFUSE_TTL_US (600 * MICROS_PER_S)

/* Refusal after three, four and more losses. Each end of a refusal may cost
 * another upstream, so there are few of them in a day. */
#define THREE_LOSSES_TTL_US (300 * MICROS_PER_S)
#define FOUR_LOSSES_TTL_US (3000 * MICROS_PER_S)
#define REFUSE_TTL_MAX_US (24 * 3600 * MICROS_PER_S)

/* Losses up to which a response of this host outweighs them. */
#define DOUBTFUL_LOSSES_MAX 3
/* Items with more losses are not replaced by ones with other losses: the
 * refusal lasts as long. */
#define REPAIRED_LOSSES_MAX 4
/* Another host may replace an incomplete item in this time, which spares the
 * call. */
#define REPAIR_DELAY_US (1 * MICROS_PER_S)
#define REPAIR_SPREAD_US (3 * MICROS_PER_S)

/* Upstreams that are tracked as running the same suspect at one time. */
#define RUNNING_MAX 4

/* Losses within this time are one incident, such as a rack failure. */
#define INCIDENT_WINDOW_US (100 * MICROS_PER_MS)

/* A host detects the same loss on its own connections and learns of it by
 * gossip, at most this far apart. */
#define SAME_LOSS_WINDOW_US (2 * MICROS_PER_S)

/* Fingerprints that got a response within this time are unlikely to be the
 * cause of a crash. */
#define RECENT_RESPONSE_TIME_US (10 * MICROS_PER_S)
#define RECENT_RESPONSE_COUNT 1024

typedef struct Entry_ {
    Fingerprint fingerprint;
    uint32_t losses;
    uint32_t upstreams[QUARANTINE_LOSSES_MAX];
    bool own[QUARANTINE_LOSSES_MAX]; /* observed by this host */
    Micros lost_at;
    Micros released_at; /* 0 if never released */
    uint32_t running[RUNNING_MAX];
    uint32_t running_count;
    Micros send_at; /* when to send it to the peers */
    bool unsent;
    bool published; /* this host has sent it to the peers */
    GList age_link; /* link in Quarantine.entries */
} Entry;

/* Upstreams of which the last losses are kept, and the time between two losses
 * that may have one reason. */
#define RECENT_LOSS_COUNT 32
#define COMMON_REASON_TIME_US (5 * MICROS_PER_S)

typedef struct RecentLoss_ {
    uint32_t upstream;
    Micros time;
} RecentLoss;

typedef struct RecentResponse_ {
    uint64_t low;
    Micros time;
} RecentResponse;

struct Quarantine_ {
    const Clock *clock;
    QuarantineOptions options;
    GHashTable *table;     /* Fingerprint -> Entry, owned */
    GQueue entries;        /* oldest loss first */
    uint32_t unsent_count; /* entries to be sent to the peers */
    Micros peers_reachable_since;
    bool peers_reachable;
    RecentResponse recent_responses[RECENT_RESPONSE_COUNT];
    RecentLoss recent_losses[RECENT_LOSS_COUNT];
    uint32_t recent_loss_count; /* so far */
};

static guint
hash_fingerprint(gconstpointer key)
{
    const Fingerprint *f = key;

    return (guint)(f->low ^ f->line);
}

static gboolean
equal_fingerprints(gconstpointer a, gconstpointer b)
{
    const Fingerprint *x = a;
    const Fingerprint *y = b;

    return x->line == y->line && x->high == y->high && x->low == y->low;
}

Quarantine *
Quarantine_Create(const QuarantineOptions *options, const Clock *clock)
{
    Quarantine *this = g_new0(Quarantine, 1);

    this->clock = clock;
    this->options = *options;
    if (this->options.max_entries == 0) {
        this->options.max_entries = DEFAULT_ENTRIES_MAX;
    }
    if (this->options.suspect_ttl == 0) {
        this->options.suspect_ttl = DEFAULT_SUSPECT_TTL_US;
    }
    if (this->options.refuse_ttl == 0) {
        this->options.refuse_ttl = DEFAULT_REFUSE_TTL_US;
    }
    this->table = g_hash_table_new_full(hash_fingerprint, equal_fingerprints,
                                        NULL, g_free);
    g_queue_init(&this->entries);
    this->peers_reachable = true;
    return this;
}

void
Quarantine_Destroy(Quarantine *this)
{
    g_hash_table_destroy(this->table);
    g_free(this);
}

/* The length of each field is hashed too, so that moving bytes between
 * adjacent fields changes the hash. */
static uint64_t
hash_fields(const Str *fields, size_t n, uint64_t seed)
{
    uint64_t hash = seed;

    for (size_t i = 0; i < n; i++) {
        hash = Str_HashSeeded(fields[i], hash ^ fields[i].length);
    }
    return hash;
}

Fingerprint
Quarantine_Fingerprint(uint32_t line, Str method, Str path, Str body_digest)
{
    const Str fields[] = {method, path, body_digest};

    return (Fingerprint){
        .line = line,
        .high = hash_fields(fields, G_N_ELEMENTS(fields), 0x6c696e65),
        .low = hash_fields(fields, G_N_ELEMENTS(fields), 0x71756172),
    };
}

static void
send_after(Quarantine *this, Entry *entry, Micros delay)
{
    Micros at = Clock_Now(this->clock) + delay;

    entry->send_at = entry->unsent ? MIN(entry->send_at, at) : at;
    this->unsent_count += !entry->unsent;
    entry->unsent = true;
}

static void
mark_unsent(Quarantine *this, Entry *entry)
{
    send_after(this, entry, 0);
}

static void
mark_sent(Quarantine *this, Entry *entry)
{
    this->unsent_count -= entry->unsent;
    entry->unsent = false;
}

static void
drop_entry(Quarantine *this, Entry *entry)
{
    mark_sent(this, entry);
    g_queue_unlink(&this->entries, &entry->age_link);
    g_hash_table_remove(this->table, &entry->fingerprint);
}

/* Returns a number from 0 to below 1 that differs between hosts. */
static double
host_spread(const Quarantine *this, const Fingerprint *fingerprint)
{
    uint64_t hash = fingerprint->low ^ this->options.host_salt;

    if (this->options.host_salt == 0) {
        return 0;
    }
    hash = Str_HashSeeded((Str){(const char *)&hash, sizeof(hash)},
                          fingerprint->high);
    return (double)(hash >> 11) / (double)(1ULL << 53);
}

static Micros
refusal_time(const Quarantine *this, const Entry *entry)
{
    Micros ttl = this->options.refuse_ttl;

    if (entry->losses == 3) {
        ttl = MAX(ttl, THREE_LOSSES_TTL_US);
    }
    else if (entry->losses == 4) {
        ttl = MAX(ttl, FOUR_LOSSES_TTL_US);
    }
    else if (entry->losses > 4) {
        ttl = REFUSE_TTL_MAX_US;
    }
    return ttl +
           (Micros)((double)ttl * host_spread(this, &entry->fingerprint));
}

static bool
contains(const uint32_t *upstreams, size_t n, uint32_t upstream)
{
    for (size_t i = 0; i < n; i++) {
        if (upstreams[i] == upstream) {
            return true;
        }
    }
    return false;
}

static void
note_loss(Quarantine *this, uint32_t upstream, Micros when)
{
    for (uint32_t i = 0; i < RECENT_LOSS_COUNT; i++) {
        if (this->recent_losses[i].upstream == upstream &&
            this->recent_losses[i].time > 0) {
            return;
        }
    }
    this->recent_losses[this->recent_loss_count++ % RECENT_LOSS_COUNT] =
        (RecentLoss){upstream, when};
}

/* Returns whether several upstreams that the request did not run on were lost
 * at about the same time as those that it ran on. */
static bool
is_mass_failure(const Quarantine *this, const Entry *entry)
{
    uint32_t others = 0;

    if (this->options.other_losses == 0) {
        return false;
    }
    for (uint32_t i = 0; i < RECENT_LOSS_COUNT; i++) {
        const RecentLoss *loss = &this->recent_losses[i];

        others += loss->time > 0 &&
                  ABS(loss->time - entry->lost_at) < COMMON_REASON_TIME_US &&
                  !contains(entry->upstreams, entry->losses, loss->upstream);
    }
    return others >= this->options.other_losses;
}

/* Returns the end of the refusal, 0 for a suspect. Time without the peers does
 * not count: after it, all hosts would admit the request at once. */
static Micros
refused_until(const Quarantine *this, const Entry *entry)
{
    Micros since = entry->lost_at;

    if (entry->losses < QUARANTINE_LOSS_THRESHOLD ||
        (entry->losses == QUARANTINE_LOSS_THRESHOLD &&
         is_mass_failure(this, entry))) {
        return 0;
    }
    if (entry->losses > QUARANTINE_LOSS_THRESHOLD) {
        since = this->peers_reachable ? MAX(since, this->peers_reachable_since)
                                      : Clock_Now(this->clock);
    }
    return since + refusal_time(this, entry);
}

/* At least as long as a suspicion, which the release may have to outlast. */
static Micros
release_ttl(const Quarantine *this)
{
    return MAX(this->options.refuse_ttl, this->options.suspect_ttl);
}

static bool
is_refused(const Quarantine *this, const Entry *entry)
{
    return Clock_Now(this->clock) < refused_until(this, entry);
}

/* The losses are kept after the refusal, so that the next one does not count
 * as the first. */
static bool
is_expired(const Quarantine *this, const Entry *entry)
{
    Micros since = MAX(entry->lost_at, entry->released_at);
    Micros ttl = this->options.suspect_ttl;

    if (entry->losses >= QUARANTINE_LOSS_THRESHOLD) {
        ttl = MAX(refused_until(this, entry) - since, REFUSE_TTL_MAX_US);
    }
    else if (entry->released_at > 0) {
        ttl = release_ttl(this);
    }
    return Clock_Now(this->clock) - since >= ttl;
}

static Entry *
find_entry(Quarantine *this, const Fingerprint *fingerprint)
{
    Entry *entry = g_hash_table_lookup(this->table, fingerprint);

    if (entry != NULL && is_expired(this, entry)) {
        drop_entry(this, entry);
        return NULL;
    }
    return entry;
}

static void
set_lost_at(Quarantine *this, Entry *entry, Micros lost_at)
{
    entry->lost_at = lost_at;
    g_queue_unlink(&this->entries, &entry->age_link);
    g_queue_push_tail_link(&this->entries, &entry->age_link);
}

/* Suspects are evicted before refused entries: a flood of broken requests must
 * not evict a request known to crash upstreams. Only the oldest 64 entries are
 * searched. */
static void
evict_if_full(Quarantine *this)
{
    GList *link = this->entries.head;
    GList *victim = link;

    if (this->entries.length < this->options.max_entries) {
        return;
    }
    for (int i = 0; i < 64 && link != NULL; i++, link = link->next) {
        if (!is_refused(this, link->data)) {
            victim = link;
            break;
        }
    }
    drop_entry(this, victim->data);
}

static Entry *
add_entry(Quarantine *this, const Fingerprint *fingerprint)
{
    Entry *entry = g_new0(Entry, 1);

    evict_if_full(this);
    entry->fingerprint = *fingerprint;
    entry->age_link.data = entry;
    entry->lost_at = Clock_Now(this->clock);
    g_queue_push_tail_link(&this->entries, &entry->age_link);
    g_hash_table_insert(this->table, &entry->fingerprint, entry);
    return entry;
}

static RecentResponse *
recent_response_of(Quarantine *this, const Fingerprint *fingerprint)
{
    return &this->recent_responses[fingerprint->low % RECENT_RESPONSE_COUNT];
}

/* Returns the time of the last response to the request, -1 if there was none
 * recently. */
static Micros
last_response(Quarantine *this, const Fingerprint *fingerprint)
{
    const RecentResponse *recent = recent_response_of(this, fingerprint);

    return recent->low == fingerprint->low && recent->time > 0 &&
                   Clock_Now(this->clock) - recent->time <
                       RECENT_RESPONSE_TIME_US
               ? recent->time
               : -1;
}

QuarantineVerdict
Quarantine_Check(Quarantine *this, const Fingerprint *fingerprint)
{
    const Entry *entry = find_entry(this, fingerprint);

    if (entry == NULL || entry->losses == 0) {
        return QUARANTINE_PASS;
    }
    if (entry->losses < QUARANTINE_LOSS_THRESHOLD) {
        return QUARANTINE_ISOLATE;
    }
    if (!is_refused(this, entry)) {
        return QUARANTINE_PASS;
    }
    return entry->losses <= DOUBTFUL_LOSSES_MAX &&
                   last_response(this, fingerprint) > entry->lost_at
               ? QUARANTINE_ISOLATE
               : QUARANTINE_REFUSE;
}

Micros
Quarantine_RefusedUntil(Quarantine *this, const Fingerprint *fingerprint)
{
    const Entry *entry = find_entry(this, fingerprint);

    return entry != NULL ? refused_until(this, entry) : 0;
}

uint32_t
Quarantine_LossCount(Quarantine *this, const Fingerprint *fingerprint)
{
    const Entry *entry = find_entry(this, fingerprint);

    return entry != NULL ? entry->losses : 0;
}

size_t
Quarantine_SuspectUpstreams(Quarantine *this, uint32_t *upstreams, size_t max)
{
    size_t n = 0;

    for (GList *link = this->entries.tail; link != NULL; link = link->prev) {
        const Entry *entry = link->data;

        for (uint32_t i = 0; i < entry->running_count; i++) {
            if (n == max) {
                return n;
            }
            if (!contains(upstreams, n, entry->running[i])) {
                upstreams[n++] = entry->running[i];
            }
        }
    }
    return n;
}

void
Quarantine_OnSent(Quarantine *this, const Fingerprint *fingerprint,
                  uint32_t upstream)
{
    Entry *entry = find_entry(this, fingerprint);

    if (entry != NULL && entry->running_count < RUNNING_MAX) {
        entry->running[entry->running_count++] = upstream;
    }
}

static void
remove_running(Entry *entry, uint32_t upstream)
{
    for (uint32_t i = 0; i < entry->running_count; i++) {
        if (entry->running[i] == upstream) {
            entry->running[i] = entry->running[--entry->running_count];
            return;
        }
    }
}

void
Quarantine_OnAttemptEnd(Quarantine *this, const Fingerprint *fingerprint,
                        uint32_t upstream)
{
    Entry *entry = find_entry(this, fingerprint);

    if (entry != NULL) {
        remove_running(entry, upstream);
    }
}

/* A released fingerprint starts again without losses. The entry is kept, so
 * that older items of peers can't revert the release. */
static void
release_entry(Quarantine *this, Entry *entry, Micros when)
{
    entry->losses = 0;
    entry->released_at = when;
    mark_unsent(this, entry);
    g_queue_unlink(&this->entries, &entry->age_link);
    g_queue_push_tail_link(&this->entries, &entry->age_link);
}

/* A refused entry is kept: an attempt sent before the loss may still complete
 * on an upstream that runs another version. */
void
Quarantine_OnResponse(Quarantine *this, const Fingerprint *fingerprint,
                      uint32_t upstream)
{
    Entry *entry = find_entry(this, fingerprint);
    RecentResponse *recent = recent_response_of(this, fingerprint);

    recent->low = fingerprint->low;
    recent->time = Clock_Now(this->clock);
    if (entry == NULL) {
        return;
    }
    remove_running(entry, upstream);
    if (is_refused(this, entry)) {
        return;
    }
    if (entry->losses >= QUARANTINE_LOSS_THRESHOLD) {
        release_entry(this, entry, MAX(Clock_Now(this->clock), 1));
    }
    else if (entry->released_at > 0) {
        entry->losses = 0;
    }
    else {
        drop_entry(this, entry);
    }
}

/* Further losses of a fingerprint within one incident are not counted if it
 * also completed recently: a popular request runs on every upstream of a rack
 * that fails. */
static bool
counts_as_new_loss(Quarantine *this, const Entry *entry, uint32_t upstream,
                   Micros when)
{
    if (contains(entry->upstreams, entry->losses, upstream)) {
        return false;
    }
    if (entry->losses == 0) {
        return true;
    }
    return when - entry->lost_at >= INCIDENT_WINDOW_US ||
           last_response(this, &entry->fingerprint) < 0;
}

/* The first loss of a request that completed recently is not sent to the
 * peers: most such requests run on an upstream that fails by itself. */
static void
add_own_loss(Quarantine *this, Entry *entry, uint32_t upstream, Micros when)
{
    note_loss(this, upstream, when);
    if (entry->losses < QUARANTINE_LOSSES_MAX) {
        entry->own[entry->losses] = true;
        entry->upstreams[entry->losses++] = upstream;
    }
    set_lost_at(this, entry, MAX(entry->lost_at, when));
    if (entry->losses >= QUARANTINE_LOSS_THRESHOLD ||
        last_response(this, &entry->fingerprint) < 0) {
        mark_unsent(this, entry);
    }
}

bool
Quarantine_OnLoss(Quarantine *this, const Fingerprint *fingerprint,
                  uint32_t upstream, Micros when)
{
    Entry *entry = find_entry(this, fingerprint);

    if (last_response(this, fingerprint) > when) {
        return false;
    }
    if (entry == NULL) {
        entry = add_entry(this, fingerprint);
    }
    remove_running(entry, upstream);
    if (!counts_as_new_loss(this, entry, upstream, when)) {
        return false;
    }
    add_own_loss(this, entry, upstream, when);
    return true;
}

/* Drops suspects whose only loss is explained by a refused fingerprint that
 * ran on the same upstream. */
static void
clear_explained_suspects(Quarantine *this, const Entry *refused_entry)
{
    Micros now = Clock_Now(this->clock);
    GList *link = this->entries.tail;

    while (link != NULL) {
        Entry *entry = link->data;

        link = link->prev;
        if (now - entry->lost_at > this->options.suspect_ttl) {
            return;
        }
        if (entry != refused_entry && entry->losses == 1 &&
            ABS(refused_entry->lost_at - entry->lost_at) <=
                SAME_LOSS_WINDOW_US &&
            contains(refused_entry->upstreams, refused_entry->losses,
                     entry->upstreams[0])) {
            drop_entry(this, entry);
        }
    }
}

void
Quarantine_OnUpstreamUnreachable(Quarantine *this, uint32_t upstream,
                                 const Fingerprint *running, size_t n)
{
    for (size_t i = 0; i < n; i++) {
        Quarantine_OnLoss(this, &running[i], upstream, Clock_Now(this->clock));
    }
    for (size_t i = 0; i < n; i++) {
        const Entry *entry = find_entry(this, &running[i]);

        if (entry != NULL && is_refused(this, entry)) {
            clear_explained_suspects(this, entry);
        }
    }
}

/* Adds the losses that were unknown; returns whether there are any. */
static bool
merge_losses(Quarantine *this, Entry *entry, const QuarantineItem *item,
             Micros when)
{
    uint32_t before = entry->losses;

    for (uint32_t i = 0; i < item->losses; i++) {
        note_loss(this, item->upstreams[i], when);
        if (entry->losses < QUARANTINE_LOSSES_MAX &&
            !contains(entry->upstreams, entry->losses, item->upstreams[i])) {
            entry->own[entry->losses] = false;
            entry->upstreams[entry->losses++] = item->upstreams[i];
        }
    }
    return entry->losses > before;
}

/* Replaces an item that lacks a loss or a release. The host that observed the
 * loss does it at once, the others only if it does not. */
static void
repair_item(Quarantine *this, Entry *entry, const QuarantineItem *item)
{
    bool complete =
        entry->released_at == 0 || item->released || entry->losses > 0;
    Micros delay =
        REPAIR_DELAY_US +
        (Micros)(host_spread(this, &entry->fingerprint) * REPAIR_SPREAD_US);

    for (uint32_t i = 0; i < entry->losses; i++) {
        if (!contains(item->upstreams, item->losses, entry->upstreams[i])) {
            complete = false;
            delay = entry->own[i] ? 0 : delay;
        }
    }
    if (complete) {
        mark_sent(this, entry);
    }
    else if (item->losses <= REPAIRED_LOSSES_MAX) {
        send_after(this, entry, delay);
    }
}

/* Ages are rounded in messages. A release and a loss within INCIDENT_WINDOW_US
 * of each other are therefore merged as the release being newer, and a release
 * this close to a known one is ignored, so that hosts don't resend the same
 * release to each other indefinitely. */
static void
merge_release(Quarantine *this, Entry *entry, Micros when)
{
    if (entry->released_at < when - INCIDENT_WINDOW_US &&
        entry->lost_at <= when + INCIDENT_WINDOW_US) {
        release_entry(this, entry, when);
    }
}

static int
check_item(const QuarantineItem *item)
{
    if (item->losses > QUARANTINE_LOSSES_MAX || item->age < 0 ||
        item->released != (item->losses == 0)) {
        return ERR_INVALID;
    }
    for (uint32_t i = 1; i < item->losses; i++) {
        if (contains(item->upstreams, i, item->upstreams[i])) {
            return ERR_INVALID;
        }
    }
    return 0;
}

static Micros
max_age(const Quarantine *this, const QuarantineItem *item)
{
    if (item->released) {
        return release_ttl(this);
    }
    return item->losses < QUARANTINE_LOSS_THRESHOLD ? this->options.suspect_ttl
                                                    : REFUSE_TTL_MAX_US;
}

static void
merge_item(Quarantine *this, Entry *entry, const QuarantineItem *item,
           Micros when)
{
    if (item->released) {
        merge_release(this, entry, when);
        return;
    }
    if (entry->released_at > 0 &&
        when <= entry->released_at + INCIDENT_WINDOW_US) {
        return;
    }
    if (merge_losses(this, entry, item, when)) {
        set_lost_at(this, entry, MAX(entry->lost_at, when));
        if (!this->options.newest_only) {
            mark_unsent(this, entry);
        }
    }
    if (is_refused(this, entry)) {
        clear_explained_suspects(this, entry);
    }
}

int
Quarantine_OnPeerItem(Quarantine *this, const QuarantineItem *item)
{
    Micros when = Clock_Now(this->clock) - item->age;
    Entry *entry = find_entry(this, &item->fingerprint);
    int code = check_item(item);

    if (code < 0) {
        return code;
    }
    if (item->age >= max_age(this, item)) {
        return ERR_EXPIRED;
    }
    if (entry == NULL) {
        entry = add_entry(this, &item->fingerprint);
        entry->lost_at = when;
    }
    merge_item(this, entry, item, when);
    if (this->options.newest_only) {
        repair_item(this, entry, item);
    }
    return 0;
}

void
Quarantine_OnPeerForgot(Quarantine *this, const Fingerprint *fingerprint)
{
    QuarantineItem nothing = {.fingerprint = *fingerprint};
    Entry *entry = find_entry(this, fingerprint);

    if (entry != NULL && this->options.newest_only &&
        entry->losses >= QUARANTINE_LOSS_THRESHOLD) {
        repair_item(this, entry, &nothing);
    }
}

void
Quarantine_SetPeersReachable(Quarantine *this, bool reachable)
{
    if (reachable && !this->peers_reachable) {
        this->peers_reachable_since = Clock_Now(this->clock);
    }
    this->peers_reachable = reachable;
}

static QuarantineItem
make_item(const Quarantine *this, const Entry *entry)
{
    bool released = entry->losses == 0 && entry->released_at > 0;
    QuarantineItem item = {
        .fingerprint = entry->fingerprint,
        .losses = entry->losses,
        .age = Clock_Now(this->clock) -
               (released ? entry->released_at : entry->lost_at),
        .released = released,
    };

    memcpy(item.upstreams, entry->upstreams, sizeof(item.upstreams));
    return item;
}

static Entry *
find_unsent(Quarantine *this, uint32_t losses_min)
{
    Micros now = Clock_Now(this->clock);

    for (GList *link = this->entries.tail; link != NULL; link = link->prev) {
        Entry *entry = link->data;

        if (entry->unsent && entry->send_at <= now &&
            entry->losses >= losses_min) {
            return entry;
        }
    }
    return NULL;
}

bool
Quarantine_NextItem(Quarantine *this, QuarantineItem *item)
{
    Entry *entry;

    if (this->unsent_count == 0) {
        return false;
    }
    entry = find_unsent(this, QUARANTINE_LOSS_THRESHOLD);
    if (entry == NULL) {
        entry = find_unsent(this, 0);
    }
    if (entry == NULL) {
        return false;
    }
    mark_sent(this, entry);
    entry->published = true;
    *item = make_item(this, entry);
    return true;
}

Micros
Quarantine_NextSendTime(const Quarantine *this)
{
    Micros next = -1;

    if (this->unsent_count == 0) {
        return -1;
    }
    for (GList *link = this->entries.tail; link != NULL; link = link->prev) {
        const Entry *entry = link->data;

        if (entry->unsent) {
            next = next < 0 ? entry->send_at : MIN(next, entry->send_at);
        }
    }
    return next;
}

void
Quarantine_Resend(Quarantine *this, const Fingerprint *fingerprint)
{
    Entry *entry = find_entry(this, fingerprint);

    if (entry != NULL) {
        mark_unsent(this, entry);
    }
}

bool
Quarantine_NextForgotten(Quarantine *this, Fingerprint *fingerprint)
{
    GList *link = this->entries.head;

    while (link != NULL) {
        Entry *entry = link->data;
        bool published = entry->published;

        link = link->next;
        if (is_expired(this, entry)) {
            *fingerprint = entry->fingerprint;
            drop_entry(this, entry);
            if (published) {
                return true;
            }
        }
    }
    return false;
}

static size_t
list_entries(Quarantine *this, bool refused, QuarantineItem *items, size_t max)
{
    size_t n = 0;

    for (GList *link = this->entries.tail; link != NULL && n < max;
         link = link->prev) {
        const Entry *entry = link->data;

        if (is_refused(this, entry) == refused && !is_expired(this, entry)) {
            items[n++] = make_item(this, entry);
        }
    }
    return n;
}

size_t
Quarantine_List(Quarantine *this, QuarantineItem *items, size_t max)
{
    size_t n = list_entries(this, true, items, max);

    return n + list_entries(this, false, items + n, max - n);
}

int
Quarantine_Release(Quarantine *this, const Fingerprint *fingerprint)
{
    Entry *entry = find_entry(this, fingerprint);

    if (entry == NULL) {
        return ERR_NOT_FOUND;
    }
    release_entry(this, entry, MAX(Clock_Now(this->clock), 1));
    return 0;
}

size_t
Quarantine_EntryCount(const Quarantine *this)
{
    return this->entries.length;
}

size_t
Quarantine_Bytes(const Quarantine *this)
{
    return sizeof(*this) + this->entries.length * (sizeof(Entry) + 32);
}
