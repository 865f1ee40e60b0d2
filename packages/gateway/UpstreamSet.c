#include "UpstreamSet.h"

#include <string.h>

#include "DueSet.h"

typedef struct Listed_ {
    UpstreamRecord record;
    GString *id;
    int64_t started;
    uint64_t sequence;
    DueEntry grace_end; /* listed in the set of those that lapsed */
    uint32_t index;
} Listed;

struct UpstreamSet_ {
    Placement *placement;
    NameTable *services;
    NameTable *domains;
    const Clock *clock;
    EventLog *log;
    GHashTable *by_id;   /* GString to Listed */
    GPtrArray *by_index; /* Listed or NULL */
    DueSet *lapsed;      /* grace_end of Listed */
    GArray *uses;        /* uint32_t for each index: open attempts */
    Micros grace;
    Micros returned_at; /* earliest end of the last outage, -1 without one */
    bool reachable;
};

static void
destroy_listed(gpointer data)
{
    Listed *listed = data;

    g_string_free(listed->id, TRUE);
    g_free(listed);
}

UpstreamSet *
UpstreamSet_Create(Placement *placement, NameTable *services,
                   NameTable *domains, Micros grace, const Clock *clock,
                   EventLog *log)
{
    UpstreamSet *this = g_new0(UpstreamSet, 1);

    this->placement = placement;
    this->services = services;
    this->domains = domains;
    this->grace = grace;
    this->clock = clock;
    this->log = log;
    this->by_id = g_hash_table_new_full((GHashFunc)g_string_hash,
                                        (GEqualFunc)g_string_equal, NULL,
                                        destroy_listed);
    this->by_index = g_ptr_array_new();
    this->lapsed = DueSet_Create();
    this->uses = g_array_new(FALSE, TRUE, sizeof(uint32_t));
    this->returned_at = -1;
    this->reachable = true;
    return this;
}

void
UpstreamSet_Destroy(UpstreamSet *this)
{
    if (this == NULL) {
        return;
    }
    g_hash_table_destroy(this->by_id);
    g_ptr_array_free(this->by_index, TRUE);
    DueSet_Destroy(this->lapsed);
    g_array_free(this->uses, TRUE);
    g_free(this);
}

static Listed *
find(const UpstreamSet *this, Str id)
{
    GString *key = Str_ToString(id);
    Listed *found = g_hash_table_lookup(this->by_id, key);

    g_string_free(key, TRUE);
    return found;
}

static void
log_change(UpstreamSet *this, const Listed *listed, const char *change)
{
    if (EventLog_Begin(this->log, LOG_LEVEL_INFO, "upstream")) {
        EventLog_Str(this->log, "upstream", listed->record.id);
        EventLog_CStr(this->log, "change", change);
        EventLog_CStr(this->log, "address", listed->record.address);
        EventLog_Str(this->log, "service",
                     NameTable_Name(this->services, listed->record.service));
        EventLog_Int(this->log, "sequence", (int64_t)listed->sequence);
        EventLog_End(this->log);
    }
}

/* An index is used again once no attempt refers to its former upstream. */
static uint32_t
free_index(UpstreamSet *this)
{
    for (guint i = 0; i < this->by_index->len; i++) {
        if (g_ptr_array_index(this->by_index, i) == NULL &&
            g_array_index(this->uses, uint32_t, i) == 0) {
            return i;
        }
    }
    g_ptr_array_add(this->by_index, NULL);
    g_array_set_size(this->uses, this->by_index->len);
    return this->by_index->len - 1;
}

static void
forget(UpstreamSet *this, Listed *listed, const char *change)
{
    log_change(this, listed, change);
    Placement_Remove(this->placement, listed->index);
    g_ptr_array_index(this->by_index, listed->index) = NULL;
    DueSet_Set(this->lapsed, &listed->grace_end, -1);
    g_hash_table_remove(this->by_id, listed->id);
}

static Listed *
add(UpstreamSet *this, const UpstreamEntry *entry)
{
    Listed *listed = g_new0(Listed, 1);
    PlacementInfo info = {
        .service = NameTable_Intern(this->services, entry->service),
        .domain = NameTable_Intern(this->domains, entry->domain),
        .slots = entry->slots,
        .warmup = entry->warmup,
    };

    listed->id = Str_ToString(entry->id);
    listed->index = free_index(this);
    listed->record.id = Str_FromString(listed->id);
    listed->record.service = info.service;
    g_hash_table_insert(this->by_id, listed->id, listed);
    g_ptr_array_index(this->by_index, listed->index) = listed;
    Placement_Add(this->placement, listed->index, &info);
    return listed;
}

static bool
is_newer(const Listed *listed, const UpstreamEntry *entry)
{
    if (entry->started != listed->started) {
        return entry->started > listed->started;
    }
    /* The same description may be listed again after an outage. */
    return entry->sequence > listed->sequence || listed->grace_end.listed;
}

static bool
is_same_place(const UpstreamSet *this, const Listed *listed,
              const UpstreamEntry *entry)
{
    return entry->started == listed->started &&
           Str_Equal(entry->service,
                     NameTable_Name(this->services, listed->record.service)) &&
           Str_Equal(entry->address, Str_FromC(listed->record.address)) &&
           entry->port == listed->record.port;
}

static void
describe(UpstreamSet *this, Listed *listed, const UpstreamEntry *entry)
{
    size_t length = MIN(entry->address.length, UPSTREAM_ADDRESS_MAX - 1);

    memcpy(listed->record.address, entry->address.data, length);
    listed->record.address[length] = '\0';
    listed->record.port = entry->port;
    listed->record.draining = entry->draining;
    listed->started = entry->started;
    listed->sequence = entry->sequence;
    DueSet_Set(this->lapsed, &listed->grace_end, -1);
    Placement_SetDraining(this->placement, listed->index, entry->draining);
}

bool
UpstreamSet_Put(UpstreamSet *this, const UpstreamEntry *entry)
{
    Listed *listed = find(this, entry->id);
    bool was_draining = listed != NULL && listed->record.draining;

    if (listed != NULL && !is_newer(listed, entry)) {
        return false;
    }
    /* Nothing that was learned of the former start counts for the new one. */
    if (listed != NULL && !is_same_place(this, listed, entry)) {
        forget(this, listed, "restarted");
        listed = NULL;
        was_draining = false;
    }
    if (listed == NULL) {
        listed = add(this, entry);
        describe(this, listed, entry);
        log_change(this, listed, entry->draining ? "draining" : "added");
        return true;
    }
    describe(this, listed, entry);
    if (entry->draining != was_draining) {
        log_change(this, listed, entry->draining ? "draining" : "ready");
    }
    return true;
}

static bool
may_be_lapsed(const UpstreamSet *this)
{
    return !this->reachable ||
           (this->returned_at >= 0 &&
            Clock_Now(this->clock) - this->returned_at < this->grace);
}

static void
remove_listed(UpstreamSet *this, Listed *listed)
{
    if (!may_be_lapsed(this) || listed->record.draining) {
        forget(this, listed, "removed");
        return;
    }
    if (!listed->grace_end.listed) {
        DueSet_Set(
            this->lapsed, &listed->grace_end,
            (this->reachable ? this->returned_at : Clock_Now(this->clock)) +
                this->grace);
        log_change(this, listed, "lapsed");
    }
}

void
UpstreamSet_Remove(UpstreamSet *this, Str id)
{
    Listed *listed = find(this, id);

    if (listed != NULL) {
        remove_listed(this, listed);
    }
}

void
UpstreamSet_KeepOnly(UpstreamSet *this, GHashTable *ids)
{
    for (guint i = 0; i < this->by_index->len; i++) {
        Listed *listed = g_ptr_array_index(this->by_index, i);

        if (listed != NULL && !g_hash_table_contains(ids, listed->id)) {
            remove_listed(this, listed);
        }
    }
}

void
UpstreamSet_SetSource(UpstreamSet *this, bool reachable, Micros since)
{
    if (reachable && !this->reachable) {
        this->returned_at = since;
    }
    this->reachable = reachable;
}

void
UpstreamSet_OnTime(UpstreamSet *this)
{
    Micros now = Clock_Now(this->clock);
    DueEntry *entry;

    while ((entry = DueSet_First(this->lapsed)) != NULL && entry->due <= now) {
        forget(this, DUE_OWNER(entry, Listed, grace_end), "removed");
    }
}

Micros
UpstreamSet_NextTime(const UpstreamSet *this)
{
    return DueSet_NextTime(this->lapsed);
}

const UpstreamRecord *
UpstreamSet_Record(const UpstreamSet *this, uint32_t index)
{
    const Listed *listed = index < this->by_index->len
                               ? g_ptr_array_index(this->by_index, index)
                               : NULL;

    return listed != NULL ? &listed->record : NULL;
}

size_t
UpstreamSet_Count(const UpstreamSet *this)
{
    return g_hash_table_size(this->by_id);
}

void
UpstreamSet_Acquire(UpstreamSet *this, uint32_t index)
{
    g_array_index(this->uses, uint32_t, index)++;
}

void
UpstreamSet_Release(UpstreamSet *this, uint32_t index)
{
    g_array_index(this->uses, uint32_t, index)--;
}
