#include "Quarantine.h"

#include <glib.h>
#include <string.h>

#include "Error.h"

#define DEFAULT_ENTRIES 4096
#define DEFAULT_SUSPECT_TIME (60 * MICROS_PER_S)
#define DEFAULT_REFUSE_TIME (600 * MICROS_PER_S)

/* Upstreams that one suspect is remembered to run on at the same time. */
#define MAX_RUNNING 4

/* Losses this close together are one incident, such as a rack that fails. */
#define INCIDENT_TIME (100 * MICROS_PER_MS)

/* A host learns from its own connections and by gossip that an upstream was
 * lost, at most this far apart. */
#define SAME_LOSS_TIME (2 * MICROS_PER_S)

/* Fingerprints seen to complete within this time are unlikely to crash. */
#define PROVEN_TIME (10 * MICROS_PER_S)
#define PROVEN_SLOTS 1024

typedef struct Entry_ {
    Fingerprint fingerprint;
    uint32_t losses;
    uint32_t upstreams[QUARANTINE_LOSS_THRESHOLD];
    Micros lost_at;
    Micros released_at; /* 0 if never released */
    uint32_t running[MAX_RUNNING];
    uint32_t running_count;
    bool to_send;
    GList by_age; /* link in Quarantine.entries */
} Entry;

typedef struct Proven_ {
    uint64_t low;
    Micros time;
} Proven;

struct Quarantine_ {
    const Clock *clock;
    QuarantineOptions options;
    GHashTable *table; /* Fingerprint -> Entry, owned */
    GQueue entries;    /* oldest loss first */
    uint32_t to_send;  /* entries that the peers don't have yet */
    Proven proven[PROVEN_SLOTS];
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
        this->options.max_entries = DEFAULT_ENTRIES;
    }
    if (this->options.suspect_time == 0) {
        this->options.suspect_time = DEFAULT_SUSPECT_TIME;
    }
    if (this->options.refuse_time == 0) {
        this->options.refuse_time = DEFAULT_REFUSE_TIME;
    }
    this->table = g_hash_table_new_full(hash_fingerprint, equal_fingerprints,
                                        NULL, g_free);
    g_queue_init(&this->entries);
    return this;
}

void
Quarantine_Destroy(Quarantine *this)
{
    g_hash_table_destroy(this->table);
    g_free(this);
}

/* Each field is hashed with its length, so that fields can't shift. */
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
mark_to_send(Quarantine *this, Entry *entry)
{
    this->to_send += !entry->to_send;
    entry->to_send = true;
}

static void
drop_entry(Quarantine *this, Entry *entry)
{
    this->to_send -= entry->to_send;
    g_queue_unlink(&this->entries, &entry->by_age);
    g_hash_table_remove(this->table, &entry->fingerprint);
}

static bool
is_refused(const Entry *entry)
{
    return entry->losses >= QUARANTINE_LOSS_THRESHOLD;
}

static bool
is_expired(const Quarantine *this, const Entry *entry)
{
    Micros since = MAX(entry->lost_at, entry->released_at);
    Micros kept = this->options.suspect_time;

    if (entry->losses >= QUARANTINE_LOSS_THRESHOLD || entry->released_at > 0) {
        kept = this->options.refuse_time;
    }
    return Clock_Now(this->clock) - since >= kept;
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
touch(Quarantine *this, Entry *entry, Micros lost_at)
{
    entry->lost_at = lost_at;
    mark_to_send(this, entry);
    g_queue_unlink(&this->entries, &entry->by_age);
    g_queue_push_tail_link(&this->entries, &entry->by_age);
}

/* Suspects make room before refused ones do: a flood of broken requests must
 * not push a known crasher out. Only the oldest few are looked at. */
static void
make_room(Quarantine *this)
{
    GList *link = this->entries.head;
    GList *victim = link;

    if (this->entries.length < this->options.max_entries) {
        return;
    }
    for (int i = 0; i < 64 && link != NULL; i++, link = link->next) {
        if (!is_refused(link->data)) {
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

    make_room(this);
    entry->fingerprint = *fingerprint;
    entry->by_age.data = entry;
    entry->lost_at = Clock_Now(this->clock);
    g_queue_push_tail_link(&this->entries, &entry->by_age);
    g_hash_table_insert(this->table, &entry->fingerprint, entry);
    return entry;
}

QuarantineVerdict
Quarantine_Check(Quarantine *this, const Fingerprint *fingerprint)
{
    const Entry *entry = find_entry(this, fingerprint);

    if (entry == NULL || entry->losses == 0) {
        return QUARANTINE_PASS;
    }
    return is_refused(entry) ? QUARANTINE_REFUSE : QUARANTINE_ISOLATE;
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

    if (entry != NULL && entry->running_count < MAX_RUNNING) {
        entry->running[entry->running_count++] = upstream;
    }
}

static void
stop_running(Entry *entry, uint32_t upstream)
{
    for (uint32_t i = 0; i < entry->running_count; i++) {
        if (entry->running[i] == upstream) {
            entry->running[i] = entry->running[--entry->running_count];
            return;
        }
    }
}

static Proven *
proven_slot(Quarantine *this, const Fingerprint *fingerprint)
{
    return &this->proven[fingerprint->low % PROVEN_SLOTS];
}

static bool
is_proven(Quarantine *this, const Fingerprint *fingerprint)
{
    const Proven *slot = proven_slot(this, fingerprint);

    return slot->low == fingerprint->low && slot->time > 0 &&
           Clock_Now(this->clock) - slot->time < PROVEN_TIME;
}

/* A refused entry stays: an attempt that began before the loss may still
 * complete on an upstream of another version. */
void
Quarantine_OnResponse(Quarantine *this, const Fingerprint *fingerprint,
                      uint32_t upstream)
{
    Entry *entry = find_entry(this, fingerprint);
    Proven *slot = proven_slot(this, fingerprint);

    slot->low = fingerprint->low;
    slot->time = Clock_Now(this->clock);
    if (entry == NULL) {
        return;
    }
    stop_running(entry, upstream);
    if (is_refused(entry)) {
        return;
    }
    if (entry->released_at > 0) {
        /* Kept, so that older items of peers can't undo the release. */
        entry->losses = 0;
        return;
    }
    drop_entry(this, entry);
}

/* A fingerprint that completes elsewhere and is lost twice within one
 * incident counts as lost once; a popular request runs on every upstream of a
 * rack that fails. */
static bool
counts_as_new_loss(Quarantine *this, const Entry *entry, uint32_t upstream)
{
    Micros since = Clock_Now(this->clock) - entry->lost_at;

    if (contains(entry->upstreams, entry->losses, upstream)) {
        return false;
    }
    if (entry->losses == 0) {
        return true;
    }
    return since >= INCIDENT_TIME || !is_proven(this, &entry->fingerprint);
}

static void
charge(Quarantine *this, const Fingerprint *fingerprint, uint32_t upstream)
{
    Entry *entry = find_entry(this, fingerprint);

    if (entry == NULL) {
        entry = add_entry(this, fingerprint);
    }
    stop_running(entry, upstream);
    if (counts_as_new_loss(this, entry, upstream)) {
        if (entry->losses < QUARANTINE_LOSS_THRESHOLD) {
            entry->upstreams[entry->losses++] = upstream;
        }
        touch(this, entry, Clock_Now(this->clock));
    }
}

/* Takes back the suspicion that rests on a loss which a refused fingerprint
 * explains. */
static void
clear_explained(Quarantine *this, const Entry *guilty)
{
    Micros now = Clock_Now(this->clock);
    GList *link = this->entries.tail;

    while (link != NULL) {
        Entry *entry = link->data;

        link = link->prev;
        if (now - entry->lost_at > this->options.suspect_time) {
            return;
        }
        if (entry != guilty && entry->losses == 1 &&
            ABS(guilty->lost_at - entry->lost_at) <= SAME_LOSS_TIME &&
            contains(guilty->upstreams, guilty->losses, entry->upstreams[0])) {
            drop_entry(this, entry);
        }
    }
}

void
Quarantine_OnUpstreamUnreachable(Quarantine *this, uint32_t upstream,
                                 const Fingerprint *running, size_t n)
{
    for (size_t i = 0; i < n; i++) {
        charge(this, &running[i], upstream);
    }
    for (size_t i = 0; i < n; i++) {
        const Entry *entry = find_entry(this, &running[i]);

        if (entry != NULL && is_refused(entry)) {
            clear_explained(this, entry);
        }
    }
}

/* A released fingerprint starts again without losses. */
static void
release_entry(Quarantine *this, Entry *entry, Micros when)
{
    entry->losses = 0;
    entry->released_at = when;
    mark_to_send(this, entry);
    g_queue_unlink(&this->entries, &entry->by_age);
    g_queue_push_tail_link(&this->entries, &entry->by_age);
}

static bool
merge_losses(Entry *entry, const QuarantineItem *item)
{
    uint32_t before = entry->losses;

    for (uint32_t i = 0; i < MIN(item->losses, QUARANTINE_LOSS_THRESHOLD);
         i++) {
        if (entry->losses < QUARANTINE_LOSS_THRESHOLD &&
            !contains(entry->upstreams, entry->losses, item->upstreams[i])) {
            entry->upstreams[entry->losses++] = item->upstreams[i];
        }
    }
    return entry->losses > before;
}

/* Ages are rounded on the way, so a release counts as the newer one within
 * INCIDENT_TIME, and hosts don't send each other the same release forever. */
static void
merge_release(Quarantine *this, Entry *entry, Micros when)
{
    if (entry->released_at < when - INCIDENT_TIME &&
        entry->lost_at <= when + INCIDENT_TIME) {
        release_entry(this, entry, when);
    }
}

void
Quarantine_OnPeerItem(Quarantine *this, const QuarantineItem *item)
{
    Micros when = Clock_Now(this->clock) - MAX(item->age, 0);
    Entry *entry = find_entry(this, &item->fingerprint);

    if (item->age >= this->options.refuse_time) {
        return;
    }
    if (entry == NULL) {
        entry = add_entry(this, &item->fingerprint);
        entry->lost_at = when;
    }
    if (item->released) {
        merge_release(this, entry, when);
        return;
    }
    if (entry->released_at > 0 && when <= entry->released_at + INCIDENT_TIME) {
        return;
    }
    if (merge_losses(entry, item)) {
        touch(this, entry, MAX(entry->lost_at, when));
    }
    if (is_refused(entry)) {
        clear_explained(this, entry);
    }
}

static QuarantineItem
item_of(const Quarantine *this, const Entry *entry)
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

bool
Quarantine_NextItem(Quarantine *this, QuarantineItem *item)
{
    if (this->to_send == 0) {
        return false;
    }
    for (GList *link = this->entries.tail; link != NULL; link = link->prev) {
        Entry *entry = link->data;

        if (entry->to_send) {
            entry->to_send = false;
            this->to_send--;
            *item = item_of(this, entry);
            return true;
        }
    }
    return false;
}

static size_t
list_some(Quarantine *this, bool refused, QuarantineItem *items, size_t max)
{
    size_t n = 0;

    for (GList *link = this->entries.tail; link != NULL && n < max;
         link = link->prev) {
        const Entry *entry = link->data;

        if (is_refused(entry) == refused && !is_expired(this, entry)) {
            items[n++] = item_of(this, entry);
        }
    }
    return n;
}

size_t
Quarantine_List(Quarantine *this, QuarantineItem *items, size_t max)
{
    size_t n = list_some(this, true, items, max);

    return n + list_some(this, false, items + n, max - n);
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
