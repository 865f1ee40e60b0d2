#include "Eligibility.h"

#include <glib.h>
#include <string.h>

/* Duration of the first ejection, and how often it doubles at most: with each
 * further ejection in a row. */
#define EJECTION_BASE_US (1 * MICROS_PER_S)
#define EJECTION_DOUBLINGS_MAX 3

/* Time for which the notices of an incarnation that is not listed are kept,
 * and their number. */
#define KEPT_US (600 * MICROS_PER_S)
#define KEPT_MAX 4096

/* Time for which an upstream counts as leaving because of responses that may be
 * of the incarnation before it, unless it confirms or refutes them. */
#define UNCONFIRMED_US (60 * MICROS_PER_S)

/* Pauses of an upstream that are kept apart. */
#define PAUSES_MAX 4

typedef struct Pause_ {
    Micros sent; /* time of the request */
    Micros until;
} Pause;

/* What an upstream has announced in its responses. */
typedef struct Notices_ {
    Pause pauses[PAUSES_MAX]; /* those sent later end earlier */
    uint32_t pause_count;
    bool leaving;
    Micros leaving_sent;      /* time of the last request */
    Micros unconfirmed_until; /* 0 if the incarnation itself has said it */
    Micros told_at;           /* by another host, 0 for never */
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
    uint32_t successor; /* upstream at the same address, if @has_successor */
    uint32_t successor_instance;
    Micros succeeded_at;
    bool has_successor;
    bool listed;
    bool draining;
    bool evacuated;
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
    case ELIGIBILITY_EVACUATED:
        return "evacuated";
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

/* ---- notices --------------------------------------------------------- */

/* Returns the latest end of all pauses. */
static Micros
paused_until(const Notices *notices)
{
    return notices->pause_count > 0 ? notices->pauses[0].until : 0;
}

static bool
is_paused(const Eligibility *this, const Entry *entry)
{
    return entry->notices.pause_count > 0 &&
           paused_until(&entry->notices) > Clock_Now(this->clock);
}

static bool
is_leaving(const Eligibility *this, const Entry *entry)
{
    return entry->notices.leaving &&
           (entry->notices.unconfirmed_until == 0 ||
            entry->notices.unconfirmed_until > Clock_Now(this->clock));
}

/* Of the pauses that were sent since some time, the first one ends last. One
 * that another makes needless at all times is dropped. */
static void
add_pause(Notices *notices, Pause pause)
{
    Pause kept[PAUSES_MAX + 1];
    uint32_t count = 0;
    bool added = false;

    for (uint32_t i = 0; i < notices->pause_count; i++) {
        const Pause *other = &notices->pauses[i];

        if (other->sent >= pause.sent && other->until >= pause.until) {
            return;
        }
        if (other->sent > pause.sent && !added) {
            kept[count++] = pause;
            added = true;
        }
        if (other->sent > pause.sent || other->until > pause.until) {
            kept[count++] = *other;
        }
    }
    if (!added) {
        kept[count++] = pause;
    }
    if (count > PAUSES_MAX) {
        count--;
        memmove(&kept[1], &kept[2], (count - 1) * sizeof(Pause));
    }
    memcpy(notices->pauses, kept, count * sizeof(Pause));
    notices->pause_count = count;
}

/* Adds what responses to requests since some time have said. */
static void
add_notices(Notices *notices, const Notices *other, Micros since,
            Micros unconfirmed_until)
{
    if (other->leaving && other->leaving_sent >= since) {
        notices->leaving = true;
        notices->leaving_sent = other->leaving_sent;
        notices->unconfirmed_until = unconfirmed_until;
    }
    for (uint32_t i = 0; i < other->pause_count; i++) {
        if (other->pauses[i].sent >= since) {
            add_pause(notices, other->pauses[i]);
        }
    }
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
        (!is_leaving(this, entry) && !is_paused(this, entry))) {
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

static Micros
unconfirmed_until(const Eligibility *this)
{
    return Clock_Now(this->clock) + UNCONFIRMED_US;
}

void
Eligibility_Inherit(Eligibility *this, uint32_t upstream, uint32_t predecessor,
                    Micros since)
{
    const Kept *kept =
        g_hash_table_lookup(this->kept, GUINT_TO_POINTER(predecessor));
    Entry *entry = find_entry(this, upstream);

    if (kept != NULL && !is_outdated(this, kept)) {
        add_notices(&entry->notices, &kept->notices, since,
                    unconfirmed_until(this));
    }
    /* Responses may still arrive for an upstream that is not listed. */
    for (guint i = 0; i < this->entries->len; i++) {
        Entry *ended = find_entry(this, i);

        if (!ended->listed && ended->instance == predecessor) {
            ended->successor = upstream;
            ended->successor_instance = entry->instance;
            ended->succeeded_at = since;
            ended->has_successor = true;
        }
    }
}

/* Returns the incarnation that has responded to a request for an upstream, or
 * NULL if it is not known any more. */
static Entry *
find_responder(Eligibility *this, uint32_t upstream, Micros sent)
{
    Entry *entry = find_entry(this, upstream);

    while (entry != NULL && !entry->listed && entry->has_successor &&
           sent >= entry->succeeded_at) {
        uint32_t instance = entry->successor_instance;

        entry = find_entry(this, entry->successor);
        if (entry == NULL || entry->instance != instance) {
            return NULL;
        }
    }
    return entry;
}

void
Eligibility_SetDraining(Eligibility *this, uint32_t upstream, bool draining)
{
    Entry *entry = find_entry(this, upstream);

    if (entry != NULL) {
        entry->draining = draining;
    }
}

void
Eligibility_SetEvacuated(Eligibility *this, uint32_t upstream, bool evacuated)
{
    Entry *entry = find_entry(this, upstream);

    if (entry != NULL) {
        entry->evacuated = evacuated;
    }
}

bool
Eligibility_SetLeaving(Eligibility *this, uint32_t upstream, Micros sent)
{
    Entry *entry = find_responder(this, upstream, sent);
    bool was_leaving, is_own;

    if (entry == NULL) {
        return false;
    }
    was_leaving = is_leaving(this, entry);
    is_own = entry == find_entry(this, upstream);
    if (!was_leaving || is_own) {
        entry->notices.unconfirmed_until =
            is_own ? 0 : unconfirmed_until(this);
    }
    entry->notices.leaving = true;
    entry->notices.leaving_sent = MAX(entry->notices.leaving_sent, sent);
    if (!entry->listed) {
        keep(this, entry);
    }
    return !was_leaving;
}

/* Returns whether this was unknown. What the upstream itself has said is not
 * made uncertain. */
static bool
set_told(const Eligibility *this, Entry *entry, Micros sent)
{
    Notices *notices = &entry->notices;
    bool was_leaving = is_leaving(this, entry);

    if (!was_leaving || notices->unconfirmed_until > 0) {
        notices->unconfirmed_until = unconfirmed_until(this);
        notices->told_at = Clock_Now(this->clock);
    }
    notices->leaving = true;
    notices->leaving_sent = MAX(notices->leaving_sent, sent);
    return !was_leaving;
}

bool
Eligibility_OnPeerNotice(Eligibility *this, uint32_t instance, Micros sent)
{
    Entry unlisted = {.instance = instance};
    bool unknown;

    for (guint i = 0; i < this->entries->len; i++) {
        Entry *entry = find_entry(this, i);

        if (entry->listed && entry->instance == instance) {
            return set_told(this, entry, sent);
        }
    }
    unlisted.notices = take_kept(this, instance);
    unknown = set_told(this, &unlisted, sent);
    keep(this, &unlisted);
    return unknown;
}

void
Eligibility_OnNotLeaving(Eligibility *this, uint32_t upstream, Micros sent)
{
    Entry *entry = find_entry(this, upstream);

    if (entry != NULL && entry->listed &&
        entry->notices.unconfirmed_until > 0 &&
        sent >= entry->notices.told_at) {
        entry->notices.leaving = false;
        entry->notices.unconfirmed_until = 0;
    }
}

bool
Eligibility_Pause(Eligibility *this, uint32_t upstream, Micros time,
                  Micros sent)
{
    Entry *entry = find_responder(this, upstream, sent);
    bool was_paused;

    if (entry == NULL || time <= 0) {
        return false;
    }
    was_paused = is_paused(this, entry);
    add_pause(
        &entry->notices,
        (Pause){sent, Clock_Now(this->clock) + MIN(time, UPSTREAM_PAUSE_MAX)});
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

    return entry != NULL && (entry->draining || is_leaving(this, entry));
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
    if (is_leaving(this, entry)) {
        return ELIGIBILITY_LEAVING;
    }
    if (entry->draining) {
        return ELIGIBILITY_DRAINING;
    }
    if (entry->evacuated) {
        return ELIGIBILITY_EVACUATED;
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
        return paused_until(&find_entry(this, upstream)->notices) -
               Clock_Now(this->clock);
    case ELIGIBILITY_OK:
    case ELIGIBILITY_EJECTED:
        return 0;
    case ELIGIBILITY_EVACUATED:
    case ELIGIBILITY_DRAINING:
    case ELIGIBILITY_LEAVING:
    case ELIGIBILITY_COUNT:
        break;
    }
    return -1;
}

/* One that may get no request is probed now and then only, to learn whether it
 * still has its limit, or if it may not have announced itself that it leaves. */
bool
Eligibility_MayProbe(const Eligibility *this, uint32_t upstream)
{
    const Entry *entry = find_entry(this, upstream);

    switch (Eligibility_Reason(this, upstream)) {
    case ELIGIBILITY_OK:
        return true;
    case ELIGIBILITY_LIMIT:
        return !is_ejected(this, entry) &&
               UpstreamLimits_IsProbeDue(this->limits, upstream);
    case ELIGIBILITY_LEAVING:
        return entry->notices.unconfirmed_until > 0 && !is_paused(this, entry);
    case ELIGIBILITY_EJECTED:
    case ELIGIBILITY_PAUSED:
    case ELIGIBILITY_EVACUATED:
    case ELIGIBILITY_DRAINING:
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
