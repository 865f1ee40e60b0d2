#include "HostRoster.h"

#include <string.h>

/* A host renews its entry at the first reading of the list after this time. */
#define RENEWAL_US (100 * MICROS_PER_S)
/* Two renewals and a reading of the list may be missed. */
#define EXPIRY_US (300 * MICROS_PER_S)
/* A host whose entry has disappeared reads the list and writes it again. */
#define VANISHED_US (2 * HOST_LIST_INTERVAL_US)
/* Readings of the list may be late. */
#define KNOWN_DELAY_US (HOST_LIST_INTERVAL_US + HOST_LIST_INTERVAL_US / 10)
/* Hosts of a deployment that starts are all listed after this time. */
#define FIRST_START_US (5 * MICROS_PER_S)

typedef struct Entry_ {
    GString *id;
    uint64_t offset;
    Micros changed_at; /* since then the list was read with this offset */
    Micros listed_at;  /* last time that it was listed */
    bool listed;       /* in the last list */
} Entry;

struct HostRoster_ {
    GString *own;
    bool first_start;
    const Clock *clock;
    Micros started;
    Micros known_from;
    bool was_read;       /* at least once */
    GHashTable *entries; /* Entry by its id */
};

static void
destroy_entry(gpointer data)
{
    Entry *entry = data;

    g_string_free(entry->id, TRUE);
    g_free(entry);
}

HostRoster *
HostRoster_Create(Str own, bool first_start, const Clock *clock)
{
    HostRoster *this = g_new0(HostRoster, 1);

    this->own = Str_ToString(own);
    this->first_start = first_start;
    this->clock = clock;
    this->started = Clock_Now(clock);
    this->known_from = INT64_MAX;
    this->entries =
        g_hash_table_new_full((GHashFunc)g_string_hash,
                              (GEqualFunc)g_string_equal, NULL, destroy_entry);
    return this;
}

void
HostRoster_Destroy(HostRoster *this)
{
    if (this == NULL) {
        return;
    }
    g_hash_table_destroy(this->entries);
    g_string_free(this->own, TRUE);
    g_free(this);
}

static Entry *
find_entry(const HostRoster *this, Str id)
{
    GString *key = Str_ToString(id);
    Entry *entry = g_hash_table_lookup(this->entries, key);

    g_string_free(key, TRUE);
    return entry;
}

void
HostRoster_BeginList(HostRoster *this)
{
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, this->entries);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        ((Entry *)value)->listed = false;
    }
}

void
HostRoster_PutEntry(HostRoster *this, Str id, uint64_t offset)
{
    Micros now = Clock_Now(this->clock);
    Entry *entry = find_entry(this, id);

    if (entry == NULL) {
        entry = g_new0(Entry, 1);
        entry->id = Str_ToString(id);
        entry->offset = offset;
        entry->changed_at = now;
        g_hash_table_insert(this->entries, entry->id, entry);
    }
    else if (entry->offset != offset) {
        entry->offset = offset;
        entry->changed_at = now;
    }
    entry->listed = true;
    entry->listed_at = now;
}

/* Returns the time from which others know this host, whose entry has just been
 * seen for the first time. */
static Micros
known_from(const HostRoster *this)
{
    Micros now = Clock_Now(this->clock);

    /* It was written by an earlier process of this host. */
    if (!this->was_read) {
        return now;
    }
    if (this->first_start && now - this->started <= FIRST_START_US) {
        return now;
    }
    return now + KNOWN_DELAY_US;
}

static gboolean
is_forgotten(gpointer key, gpointer value, gpointer user)
{
    const HostRoster *this = user;
    const Entry *entry = value;

    return !entry->listed &&
           Clock_Now(this->clock) - entry->listed_at > VANISHED_US;
}

void
HostRoster_EndList(HostRoster *this)
{
    const Entry *own = g_hash_table_lookup(this->entries, this->own);

    g_hash_table_foreach_remove(this->entries, is_forgotten, this);
    if (own != NULL && this->known_from == INT64_MAX) {
        this->known_from = known_from(this);
    }
    this->was_read = true;
}

/* Other hosts may have renewed their entries, or may have been unable to. */
void
HostRoster_OnReadFailure(HostRoster *this)
{
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, this->entries);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        Entry *entry = value;

        entry->listed_at = Clock_Now(this->clock);
        if (!g_string_equal(entry->id, this->own)) {
            entry->changed_at = Clock_Now(this->clock);
        }
    }
}

static bool
is_live(const HostRoster *this, const Entry *entry)
{
    return g_string_equal(entry->id, this->own) ||
           Clock_Now(this->clock) - entry->changed_at <= EXPIRY_US;
}

bool
HostRoster_IsLive(const HostRoster *this, Str id)
{
    const Entry *entry = find_entry(this, id);

    return entry != NULL && is_live(this, entry);
}

void
HostRoster_Live(const HostRoster *this, GArray *ids)
{
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, this->entries);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const Entry *entry = value;
        Str id = Str_FromString(entry->id);

        if (is_live(this, entry)) {
            g_array_append_val(ids, id);
        }
    }
}

size_t
HostRoster_Count(const HostRoster *this)
{
    return g_hash_table_size(this->entries);
}

Micros
HostRoster_KnownFrom(const HostRoster *this)
{
    return this->known_from;
}

bool
HostRoster_NeedsRenewal(const HostRoster *this)
{
    const Entry *own = g_hash_table_lookup(this->entries, this->own);

    return own != NULL && own->listed &&
           Clock_Now(this->clock) - own->changed_at >= RENEWAL_US;
}

static bool
is_first(const HostRoster *this)
{
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, this->entries);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const Entry *entry = value;

        if (is_live(this, entry) &&
            strcmp(entry->id->str, this->own->str) < 0) {
            return false;
        }
    }
    return true;
}

void
HostRoster_Removable(const HostRoster *this, GArray *ids)
{
    GHashTableIter iter;
    gpointer value;

    if (!is_first(this)) {
        return;
    }
    g_hash_table_iter_init(&iter, this->entries);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const Entry *entry = value;
        Str id = Str_FromString(entry->id);

        if (entry->listed && !is_live(this, entry)) {
            g_array_append_val(ids, id);
        }
    }
}
