#include "Eligibility.h"

#include <glib.h>

/* Duration of the first ejection, and how often it doubles at most: with each
 * further ejection in a row. */
#define EJECTION_BASE_US (1 * MICROS_PER_S)
#define EJECTION_DOUBLINGS_MAX 3

/* Time for which the notices of an incarnation that is not listed are kept,
 * and their number. */
#define KEPT_US (600 * MICROS_PER_S)
#define KEPT_MAX 4096

/* What an upstream has announced in its responses. */
typedef struct Notices_ {
    Micros paused_until;
    bool leaving;
} Notices;

/* Notices of an incarnation that is not listed. */
typedef struct Kept_ {
    GList link; /* element of Eligibility.by_age */
    uint32_t instance;
    Micros at;
    Notices notices;
} Kept;

typedef struct Ejection_ {
    uint32_t count; /* in a row */
    Micros until;
} Ejection;

typedef struct Entry_ {
    uint32_t instance;
    Ejection ejection;
    Ejection saved; /* see Eligibility_SaveEjections() */
    Notices notices;
    bool listed;
    bool draining;
} Entry;

struct Eligibility_ {
    UpstreamLimits *limits;
    const Clock *clock;
    GArray *entries;  /* Entry by upstream */
    GHashTable *kept; /* Kept by instance */
    GQueue by_age;    /* the same, oldest first */
};

Eligibility *
Eligibility_Create(UpstreamLimits *limits, const Clock *clock)
{
    Eligibility *this = g_new0(Eligibility, 1);

    this->limits = limits;
    this->clock = clock;
    this->entries = g_array_new(FALSE, TRUE, sizeof(Entry));
    this->kept = g_hash_table_new_full(NULL, NULL, NULL, g_free);
    g_queue_init(&this->by_age);
    return this;
}

void
Eligibility_Destroy(Eligibility *this)
{
    if (this == NULL) {
        return;
    }
    g_array_free(this->entries, TRUE);
    g_hash_table_destroy(this->kept);
    g_free(this);
}

const char *
Eligibility_ReasonName(EligibilityReason reason)
{
    switch (reason) {
    case ELIGIBILITY_OK:
        return "ok";
    case ELIGIBILITY_EJECTED:
        return "ejected";
    case ELIGIBILITY_LIMIT:
        return "limit";
    case ELIGIBILITY_PAUSED:
        return "paused";
    case ELIGIBILITY_DRAINING:
        return "draining";
    case ELIGIBILITY_LEAVING:
        return "leaving";
    case ELIGIBILITY_COUNT:
        break;
    }
    return "unknown";
}

static Entry *
find_entry(const Eligibility *this, uint32_t upstream)
{
    return upstream < this->entries->len
               ? &g_array_index(this->entries, Entry, upstream)
               : NULL;
}

static bool
is_paused(const Eligibility *this, const Entry *entry)
{
    return entry->notices.paused_until > 0 &&
           entry->notices.paused_until > Clock_Now(this->clock);
}

/* ---- notices of incarnations that are not listed --------------------- */

static bool
is_outdated(const Eligibility *this, const Kept *kept)
{
    return Clock_Now(this->clock) - kept->at > KEPT_US;
}

static void
forget(Eligibility *this, Kept *kept)
{
    g_queue_unlink(&this->by_age, &kept->link);
    g_hash_table_remove(this->kept, GUINT_TO_POINTER(kept->instance));
}

static void
make_room(Eligibility *this)
{
    const GList *first;

    while ((first = g_queue_peek_head_link(&this->by_age)) != NULL &&
           (is_outdated(this, first->data) ||
            g_queue_get_length(&this->by_age) >= KEPT_MAX)) {
        forget(this, first->data);
    }
}

static void
keep(Eligibility *this, const Entry *entry)
{
    gpointer key = GUINT_TO_POINTER(entry->instance);
    Kept *kept = g_hash_table_lookup(this->kept, key);

    if (entry->instance == 0 ||
        (!entry->notices.leaving && !is_paused(this, entry))) {
        return;
    }
    if (kept != NULL) {
        forget(this, kept);
    }
    make_room(this);
    kept = g_new0(Kept, 1);
    kept->link.data = kept;
    kept->instance = entry->instance;
    kept->at = Clock_Now(this->clock);
    kept->notices = entry->notices;
    g_hash_table_insert(this->kept, key, kept);
    g_queue_push_tail_link(&this->by_age, &kept->link);
}

static Notices
take_kept(Eligibility *this, uint32_t instance)
{
    Kept *kept = g_hash_table_lookup(this->kept, GUINT_TO_POINTER(instance));
    Notices notices = {0};

    if (kept != NULL) {
        notices = is_outdated(this, kept) ? notices : kept->notices;
        forget(this, kept);
    }
    return notices;
}

/* ---- listing --------------------------------------------------------- */

void
Eligibility_OnListed(Eligibility *this, uint32_t upstream, uint32_t instance)
{
    if (this->entries->len <= upstream) {
        g_array_set_size(this->entries, upstream + 1);
    }
    *find_entry(this, upstream) =
        (Entry){.instance = instance,
                .listed = true,
                .notices = take_kept(this, instance)};
    UpstreamLimits_OnListed(this->limits, upstream, instance);
}

void
Eligibility_OnRemoved(Eligibility *this, uint32_t upstream)
{
    Entry *entry = find_entry(this, upstream);

    if (entry != NULL) {
        keep(this, entry);
        entry->listed = false;
        UpstreamLimits_OnRemoved(this->limits, upstream);
    }
}

void
Eligibility_SetDraining(Eligibility *this, uint32_t upstream, bool draining)
{
    Entry *entry = find_entry(this, upstream);

    if (entry != NULL) {
        entry->draining = draining;
    }
}

bool
Eligibility_SetLeaving(Eligibility *this, uint32_t upstream)
{
    Entry *entry = find_entry(this, upstream);

    if (entry == NULL || entry->notices.leaving) {
        return false;
    }
    entry->notices.leaving = true;
    if (!entry->listed) {
        keep(this, entry);
    }
    return true;
}

bool
Eligibility_Pause(Eligibility *this, uint32_t upstream, Micros time)
{
    Entry *entry = find_entry(this, upstream);
    bool was_paused;

    if (entry == NULL || time <= 0) {
        return false;
    }
    was_paused = is_paused(this, entry);
    entry->notices.paused_until =
        MAX(entry->notices.paused_until,
            Clock_Now(this->clock) + MIN(time, UPSTREAM_PAUSE_MAX));
    if (!entry->listed) {
        keep(this, entry);
    }
    return !was_paused;
}

bool
Eligibility_IsPaused(const Eligibility *this, uint32_t upstream)
{
    const Entry *entry = find_entry(this, upstream);

    return entry != NULL && is_paused(this, entry);
}

bool
Eligibility_IsEnding(const Eligibility *this, uint32_t upstream)
{
    const Entry *entry = find_entry(this, upstream);

    return entry != NULL && (entry->draining || entry->notices.leaving);
}

/* ---- ejection -------------------------------------------------------- */

static Micros
ejection_end(const Eligibility *this, const Entry *entry)
{
    return Clock_Now(this->clock) +
           (EJECTION_BASE_US
            << MIN(entry->ejection.count, EJECTION_DOUBLINGS_MAX));
}

static bool
is_ejected(const Eligibility *this, const Entry *entry)
{
    return entry->ejection.until > 0 &&
           entry->ejection.until > Clock_Now(this->clock);
}

void
Eligibility_Eject(Eligibility *this, uint32_t upstream)
{
    Entry *entry = find_entry(this, upstream);

    if (entry != NULL && !is_ejected(this, entry)) {
        entry->ejection.until = ejection_end(this, entry);
        entry->ejection.count++;
    }
}

void
Eligibility_OnSuccess(Eligibility *this, uint32_t upstream)
{
    Entry *entry = find_entry(this, upstream);

    if (entry != NULL) {
        entry->ejection.count = 0;
        entry->ejection.until = 0;
    }
}

void
Eligibility_OnSent(Eligibility *this, uint32_t upstream)
{
    Entry *entry = find_entry(this, upstream);

    UpstreamLimits_OnSent(this->limits, upstream);
    /* The next trial of an ejected upstream starts after this one. */
    if (entry != NULL && entry->ejection.count > 0) {
        entry->ejection.until = ejection_end(this, entry);
    }
}

void
Eligibility_SaveEjections(Eligibility *this)
{
    for (guint i = 0; i < this->entries->len; i++) {
        Entry *entry = &g_array_index(this->entries, Entry, i);

        entry->saved = entry->ejection;
    }
}

void
Eligibility_RestoreEjections(Eligibility *this)
{
    for (guint i = 0; i < this->entries->len; i++) {
        Entry *entry = &g_array_index(this->entries, Entry, i);

        entry->ejection = entry->saved;
    }
}

/* ---- decisions ------------------------------------------------------- */

EligibilityReason
Eligibility_Reason(const Eligibility *this, uint32_t upstream)
{
    const Entry *entry = find_entry(this, upstream);

    if (entry == NULL) {
        return ELIGIBILITY_OK;
    }
    if (entry->notices.leaving) {
        return ELIGIBILITY_LEAVING;
    }
    if (entry->draining) {
        return ELIGIBILITY_DRAINING;
    }
    if (is_paused(this, entry)) {
        return ELIGIBILITY_PAUSED;
    }
    if (!UpstreamLimits_MaySend(this->limits, upstream)) {
        return ELIGIBILITY_LIMIT;
    }
    return is_ejected(this, entry) ? ELIGIBILITY_EJECTED : ELIGIBILITY_OK;
}

Micros
Eligibility_Wait(const Eligibility *this, uint32_t upstream)
{
    switch (Eligibility_Reason(this, upstream)) {
    case ELIGIBILITY_LIMIT:
        return UpstreamLimits_Wait(this->limits, upstream);
    case ELIGIBILITY_PAUSED:
        return find_entry(this, upstream)->notices.paused_until -
               Clock_Now(this->clock);
    case ELIGIBILITY_OK:
    case ELIGIBILITY_EJECTED:
        return 0;
    case ELIGIBILITY_DRAINING:
    case ELIGIBILITY_LEAVING:
    case ELIGIBILITY_COUNT:
        break;
    }
    return -1;
}

/* One that may get no request is probed now and then only, to learn whether it
 * still has its limit. */
bool
Eligibility_MayProbe(const Eligibility *this, uint32_t upstream)
{
    switch (Eligibility_Reason(this, upstream)) {
    case ELIGIBILITY_OK:
        return true;
    case ELIGIBILITY_LIMIT:
        return !is_ejected(this, find_entry(this, upstream)) &&
               UpstreamLimits_IsProbeDue(this->limits, upstream);
    case ELIGIBILITY_EJECTED:
    case ELIGIBILITY_PAUSED:
    case ELIGIBILITY_DRAINING:
    case ELIGIBILITY_LEAVING:
    case ELIGIBILITY_COUNT:
        break;
    }
    return false;
}

uint32_t
Eligibility_Count(const Eligibility *this, EligibilityReason reason)
{
    uint32_t count = 0;

    for (guint i = 0; i < this->entries->len; i++) {
        count += find_entry(this, i)->listed &&
                 Eligibility_Reason(this, i) == reason;
    }
    return count;
}
