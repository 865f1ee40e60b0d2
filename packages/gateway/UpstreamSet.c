#include "UpstreamSet.h"

#include <string.h>

#include "DueSet.h"

/* Copies of the source are seconds old; upstreams that were removed longer ago
 * are not listed in any. */
#define REMOVED_KEPT_US (60 * MICROS_PER_S)

/* An upstream that the source has removed, or the incarnation before one that
 * is listed. */
typedef struct RemovedUpstream_ {
    GString *id;
    uint32_t instance;
    char address[UPSTREAM_ADDRESS_BYTES];
    uint16_t port;
    int64_t started;
    uint64_t sequence;
    Micros at;
} RemovedUpstream;

typedef struct ListedUpstream_ {
    UpstreamRecord record;
    GString *id;
    int64_t started;
    uint64_t sequence;
    DueEntry grace_end; /* element of UpstreamSet.expired */
    uint32_t index;
} ListedUpstream;

struct UpstreamSet_ {
    Placement *placement;
    NameTable *services;
    NameTable *domains;
    const Clock *clock;
    EventLog *log;
    GHashTable *by_id;     /* ListedUpstream by GString */
    GHashTable *removed;   /* RemovedUpstream by GString */
    GPtrArray *by_index;   /* ListedUpstream or NULL */
    GHashTable *evacuated; /* set of domain indexes */
    DueSet *expired;    /* entries of ListedUpstream in their grace period */
    GArray *references; /* uint32_t by index: attempts and probes */
    Micros grace;
    Micros reachable_since; /* earliest end of the last outage, or -1 */
    bool reachable;
};

static void
destroy_listed(gpointer data)
{
    ListedUpstream *listed = data;

    g_string_free(listed->id, TRUE);
    g_free(listed);
}

static void
destroy_removed(gpointer data)
{
    RemovedUpstream *removed = data;

    g_string_free(removed->id, TRUE);
    g_free(removed);
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
    this->removed = g_hash_table_new_full((GHashFunc)g_string_hash,
                                          (GEqualFunc)g_string_equal, NULL,
                                          destroy_removed);
    this->by_index = g_ptr_array_new();
    this->evacuated = g_hash_table_new(NULL, NULL);
    this->expired = DueSet_Create();
    this->references = g_array_new(FALSE, TRUE, sizeof(uint32_t));
    this->reachable_since = -1;
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
    g_hash_table_destroy(this->removed);
    g_ptr_array_free(this->by_index, TRUE);
    g_hash_table_destroy(this->evacuated);
    DueSet_Destroy(this->expired);
    g_array_free(this->references, TRUE);
    g_free(this);
}

static ListedUpstream *
find_upstream(const UpstreamSet *this, Str id)
{
    GString *key = Str_ToString(id);
    ListedUpstream *found = g_hash_table_lookup(this->by_id, key);

    g_string_free(key, TRUE);
    return found;
}

static void
log_change(UpstreamSet *this, const ListedUpstream *listed, const char *change)
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

/* Returns an unused index. One that had an upstream is reused only when no
 * attempt or probe refers to it any more. */
static uint32_t
allocate_index(UpstreamSet *this)
{
    for (guint i = 0; i < this->by_index->len; i++) {
        if (g_ptr_array_index(this->by_index, i) == NULL &&
            g_array_index(this->references, uint32_t, i) == 0) {
            return i;
        }
    }
    g_ptr_array_add(this->by_index, NULL);
    g_array_set_size(this->references, this->by_index->len);
    return this->by_index->len - 1;
}

static void
drop(UpstreamSet *this, ListedUpstream *listed, const char *change)
{
    log_change(this, listed, change);
    Placement_Remove(this->placement, listed->index);
    g_ptr_array_index(this->by_index, listed->index) = NULL;
    DueSet_Set(this->expired, &listed->grace_end, -1);
    g_hash_table_remove(this->by_id, listed->id);
}

static gboolean
is_outdated(gpointer key, gpointer value, gpointer user)
{
    const UpstreamSet *this = user;
    const RemovedUpstream *removed = value;

    return Clock_Now(this->clock) - removed->at > REMOVED_KEPT_US;
}

static void
remember_removed(UpstreamSet *this, const ListedUpstream *listed)
{
    RemovedUpstream *removed = g_new0(RemovedUpstream, 1);

    g_hash_table_foreach_remove(this->removed, is_outdated, this);
    removed->id = Str_ToString(listed->record.id);
    removed->instance = listed->record.instance;
    memcpy(removed->address, listed->record.address, UPSTREAM_ADDRESS_BYTES);
    removed->port = listed->record.port;
    removed->started = listed->started;
    removed->sequence = listed->sequence;
    removed->at = Clock_Now(this->clock);
    g_hash_table_replace(this->removed, removed->id, removed);
}

static const RemovedUpstream *
find_removed(const UpstreamSet *this, Str id)
{
    GString *key = Str_ToString(id);
    const RemovedUpstream *removed = g_hash_table_lookup(this->removed, key);

    g_string_free(key, TRUE);
    return removed;
}

/* Returns whether an older copy of the source lists an upstream that was
 * removed since. One that is alive has described itself again by now or will,
 * with a higher sequence. */
static bool
was_removed(const UpstreamSet *this, const UpstreamEntry *entry)
{
    const RemovedUpstream *removed = find_removed(this, entry->id);

    return entry->restored && removed != NULL &&
           (entry->started < removed->started ||
            (entry->started == removed->started &&
             entry->sequence <= removed->sequence));
}

/* Hash of id and start; never 0. */
static uint32_t
instance_of(const UpstreamEntry *entry)
{
    return (uint32_t)Str_HashSeeded(entry->id, (uint64_t)entry->started) | 1;
}

static bool
is_evacuated(const UpstreamSet *this, uint32_t domain)
{
    return g_hash_table_contains(this->evacuated, GUINT_TO_POINTER(domain));
}

static ListedUpstream *
add_upstream(UpstreamSet *this, const UpstreamEntry *entry)
{
    ListedUpstream *listed = g_new0(ListedUpstream, 1);
    PlacementInfo info = {
        .service = NameTable_Intern(this->services, entry->service),
        .domain = NameTable_Intern(this->domains, entry->domain),
        .slots = entry->slots,
        .warmup = entry->warmup,
        .instance = instance_of(entry),
    };

    listed->id = Str_ToString(entry->id);
    listed->index = allocate_index(this);
    listed->record.id = Str_FromString(listed->id);
    listed->record.service = info.service;
    listed->record.domain = info.domain;
    g_hash_table_insert(this->by_id, listed->id, listed);
    g_ptr_array_index(this->by_index, listed->index) = listed;
    Placement_Add(this->placement, listed->index, &info);
    Eligibility_SetEvacuated(Placement_Eligibility(this->placement),
                             listed->index, is_evacuated(this, info.domain));
    return listed;
}

static bool
is_newer(const ListedUpstream *listed, const UpstreamEntry *entry)
{
    if (entry->started != listed->started) {
        return entry->started > listed->started;
    }
    /* After an outage, the source may list an unchanged description again. */
    return entry->sequence > listed->sequence || listed->grace_end.in_set;
}

static bool
is_same_instance(const UpstreamSet *this, const ListedUpstream *listed,
                 const UpstreamEntry *entry)
{
    return entry->started == listed->started &&
           Str_Equal(entry->service,
                     NameTable_Name(this->services, listed->record.service)) &&
           Str_Equal(entry->address, Str_FromC(listed->record.address)) &&
           entry->port == listed->record.port;
}

static void
update_record(UpstreamSet *this, ListedUpstream *listed,
              const UpstreamEntry *entry)
{
    size_t length = MIN(entry->address.length, UPSTREAM_ADDRESS_BYTES - 1);

    memcpy(listed->record.address, entry->address.data, length);
    listed->record.address[length] = '\0';
    listed->record.port = entry->port;
    listed->record.draining = entry->draining;
    listed->record.instance = instance_of(entry);
    listed->started = entry->started;
    listed->sequence = entry->sequence;
    DueSet_Set(this->expired, &listed->grace_end, -1);
    Placement_SetDraining(this->placement, listed->index, entry->draining);
}

/* Responses that arrived before this entry were taken for those of the
 * incarnation before. */
static void
inherit_notices(const UpstreamSet *this, const ListedUpstream *listed)
{
    const RemovedUpstream *before = find_removed(this, listed->record.id);
    Micros age =
        Clock_Wall(this->clock) - (Micros)listed->started * MICROS_PER_MS;

    if (before != NULL && before->started < listed->started &&
        before->port == listed->record.port &&
        strcmp(before->address, listed->record.address) == 0) {
        Eligibility_Inherit(Placement_Eligibility(this->placement),
                            listed->index, before->instance,
                            Clock_Now(this->clock) - age);
    }
}

bool
UpstreamSet_Put(UpstreamSet *this, const UpstreamEntry *entry)
{
    ListedUpstream *listed = find_upstream(this, entry->id);
    bool was_draining = listed != NULL && listed->record.draining;

    if ((listed != NULL && !is_newer(listed, entry)) ||
        was_removed(this, entry)) {
        return false;
    }
    /* Load and failures of an earlier incarnation do not apply to the new
     * one. */
    if (listed != NULL && !is_same_instance(this, listed, entry)) {
        remember_removed(this, listed);
        drop(this, listed, "restarted");
        listed = NULL;
        was_draining = false;
    }
    if (listed == NULL) {
        listed = add_upstream(this, entry);
        update_record(this, listed, entry);
        inherit_notices(this, listed);
        log_change(this, listed, entry->draining ? "draining" : "added");
        return true;
    }
    update_record(this, listed, entry);
    if (entry->draining != was_draining) {
        log_change(this, listed, entry->draining ? "draining" : "ready");
    }
    return true;
}

static bool
in_grace_period(const UpstreamSet *this)
{
    return !this->reachable ||
           (this->reachable_since >= 0 &&
            Clock_Now(this->clock) - this->reachable_since < this->grace);
}

static void
remove_or_expire(UpstreamSet *this, ListedUpstream *listed)
{
    if (!in_grace_period(this) || listed->record.draining) {
        remember_removed(this, listed);
        drop(this, listed, "removed");
        return;
    }
    if (!listed->grace_end.in_set) {
        DueSet_Set(this->expired, &listed->grace_end,
                   (this->reachable ? this->reachable_since
                                    : Clock_Now(this->clock)) +
                       this->grace);
        log_change(this, listed, "lapsed");
    }
}

void
UpstreamSet_Remove(UpstreamSet *this, Str id)
{
    ListedUpstream *listed = find_upstream(this, id);

    if (listed != NULL) {
        remove_or_expire(this, listed);
    }
}

void
UpstreamSet_RetainOnly(UpstreamSet *this, GHashTable *ids)
{
    for (guint i = 0; i < this->by_index->len; i++) {
        ListedUpstream *listed = g_ptr_array_index(this->by_index, i);

        if (listed != NULL && !g_hash_table_contains(ids, listed->id)) {
            remove_or_expire(this, listed);
        }
    }
}

void
UpstreamSet_SetSourceReachable(UpstreamSet *this, bool reachable, Micros since)
{
    if (reachable && !this->reachable) {
        this->reachable_since = since;
    }
    this->reachable = reachable;
}

static void
log_evacuation(const UpstreamSet *this, Str domain, bool evacuated,
               size_t upstreams)
{
    if (EventLog_Begin(this->log, LOG_LEVEL_WARN, "evacuation")) {
        EventLog_Str(this->log, "domain", domain);
        EventLog_CStr(this->log, "change", evacuated ? "begun" : "ended");
        EventLog_Int(this->log, "upstreams", (int64_t)upstreams);
        EventLog_End(this->log);
    }
}

bool
UpstreamSet_SetEvacuated(UpstreamSet *this, Str domain, bool evacuated)
{
    uint32_t index = NameTable_Intern(this->domains, domain);
    size_t count = 0;

    if (is_evacuated(this, index) == evacuated) {
        return false;
    }
    if (evacuated) {
        g_hash_table_add(this->evacuated, GUINT_TO_POINTER(index));
    }
    else {
        g_hash_table_remove(this->evacuated, GUINT_TO_POINTER(index));
    }
    for (guint i = 0; i < this->by_index->len; i++) {
        const UpstreamRecord *record = UpstreamSet_Record(this, i);

        if (record != NULL && record->domain == index) {
            Eligibility_SetEvacuated(Placement_Eligibility(this->placement), i,
                                     evacuated);
            count++;
        }
    }
    log_evacuation(this, domain, evacuated, count);
    return true;
}

void
UpstreamSet_RetainEvacuated(UpstreamSet *this, GHashTable *domains)
{
    GList *known = g_hash_table_get_keys(this->evacuated);

    for (GList *item = known; item != NULL; item = item->next) {
        Str name = NameTable_Name(this->domains, GPOINTER_TO_UINT(item->data));
        GString *key = Str_ToString(name);

        if (!g_hash_table_contains(domains, key)) {
            UpstreamSet_SetEvacuated(this, name, false);
        }
        g_string_free(key, TRUE);
    }
    g_list_free(known);
}

size_t
UpstreamSet_EvacuatedCount(const UpstreamSet *this)
{
    return g_hash_table_size(this->evacuated);
}

void
UpstreamSet_OnTime(UpstreamSet *this)
{
    Micros now = Clock_Now(this->clock);
    DueEntry *entry;

    while ((entry = DueSet_First(this->expired)) != NULL &&
           entry->due <= now) {
        ListedUpstream *listed = DUE_OWNER(entry, ListedUpstream, grace_end);

        remember_removed(this, listed);
        drop(this, listed, "removed");
    }
}

Micros
UpstreamSet_NextTime(const UpstreamSet *this)
{
    return DueSet_NextTime(this->expired);
}

const UpstreamRecord *
UpstreamSet_Record(const UpstreamSet *this, uint32_t index)
{
    const ListedUpstream *listed =
        index < this->by_index->len ? g_ptr_array_index(this->by_index, index)
                                    : NULL;

    return listed != NULL ? &listed->record : NULL;
}

uint32_t
UpstreamSet_Find(const UpstreamSet *this, Str id)
{
    const ListedUpstream *listed = find_upstream(this, id);

    return listed != NULL ? listed->index : UINT32_MAX;
}

uint32_t
UpstreamSet_IndexOf(const UpstreamSet *this, uint32_t instance)
{
    for (guint i = 0; i < this->by_index->len; i++) {
        const UpstreamRecord *record = UpstreamSet_Record(this, i);

        if (record != NULL && record->instance == instance) {
            return i;
        }
    }
    return UINT32_MAX;
}

uint32_t
UpstreamSet_IndexEnd(const UpstreamSet *this)
{
    return this->by_index->len;
}

size_t
UpstreamSet_Count(const UpstreamSet *this)
{
    return g_hash_table_size(this->by_id);
}

void
UpstreamSet_Acquire(UpstreamSet *this, uint32_t index)
{
    g_array_index(this->references, uint32_t, index)++;
}

void
UpstreamSet_Release(UpstreamSet *this, uint32_t index)
{
    g_array_index(this->references, uint32_t, index)--;
}
