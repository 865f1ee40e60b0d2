#include "HostList.h"

#include <string.h>

#include "HostRoster.h"
#include "KeyedMirror.h"
#include "RefreshLimit.h"

/* Delay between the registration of this host and the next reading of the list,
 * which then contains all hosts that started at the same time. */
#define REREAD_DELAY_US (900 * MICROS_PER_MS)
/* A host that was listed before it started reads the list later, spread over
 * this time, as it needs only the new keys of others. */
#define REREAD_SPREAD_PER_HOST_US (10 * MICROS_PER_MS)
/* The same when the whole deployment starts; until then a host knows no other
 * one. */
#define FIRST_READ_DELAY_US (250 * MICROS_PER_MS)
/* Slow hosts of a deployment that starts are listed after this time. */
#define SECOND_READ_DELAY_US (5 * MICROS_PER_S)
/* Least time between a reading of the list and one that is brought forward. */
#define REFRESH_DELAY_US (1 * MICROS_PER_S)
#define RETRY_DELAY_US (3 * MICROS_PER_S)
/* Oldest list that a relay may hand on; HostRoster allows for it. */
#define AGE_MAX_US (2 * MICROS_PER_S)
/* Least time between readings for other hosts. */
#define SERVE_INTERVAL_US (300 * MICROS_PER_MS)
#define SERVE_QUEUE_MAX 256
/* Time over which hosts write their entries again that the log has lost. */
#define REREGISTER_SPREAD_MIN_US (2 * MICROS_PER_S)
#define REREGISTER_SPREAD_PER_HOST_US (20 * MICROS_PER_MS)
/* Entries of hosts that are gone are removed in batches of this size. */
#define REMOVALS_MAX 32

/* The newest entry of a host. */
typedef struct Listed_ {
    GString *id;
    GString *domain;
    GString *region;
    RosterEntry entry;
} Listed;

/* Another host waits for a list. */
typedef struct Waiting_ {
    Micros needed_from; /* the list must not be older */
    KeyedPageHandler *handler;
    void *user;
} Waiting;

struct HostList_ {
    Loop *loop;
    const Clock *clock;
    EventLog *log;
    HostListOptions options;
    HostRoster *roster;
    GHashTable *entries; /* Listed by its id */
    KeyedMirror *mirror; /* the last complete list */
    KeyedMirror *next;   /* the list that is being read */
    LoopTimer *timer;
    Micros due;          /* when the timer runs out */
    Micros started_at;   /* begin of the last reading */
    Micros mirror_from;  /* the mirror is not older; -1 for none */
    Micros next_from;    /* the list that is being read is not older */
    Micros confirmed_at; /* the own entry was written, or -1 */
    uint64_t mirror_era;
    uint64_t next_end;
    RefreshLimit *refreshes;
    GQueue *waiting;  /* Waiting for the next reading */
    guint in_reading; /* the first of them, for the present one */
    size_t listed_count;
    bool reading;
    bool was_read;
    bool registered; /* the list contains this host */
    bool first;      /* the deployment starts; not read yet */
    bool second;     /* the same, for the second reading */
    bool serving;    /* another host has asked for the list */
};

static void
destroy_listed(gpointer data)
{
    Listed *listed = data;

    g_string_free(listed->id, TRUE);
    g_string_free(listed->domain, TRUE);
    g_string_free(listed->region, TRUE);
    g_free(listed);
}

static Micros
now(const HostList *this)
{
    return Clock_Now(this->clock);
}

static void
schedule_at(HostList *this, Micros due)
{
    this->due = due;
    LoopTimer_Start(this->timer, MAX(due - now(this), 1));
}

static void
schedule(HostList *this, Micros delay)
{
    schedule_at(this, now(this) + delay);
}

/* Returns when the list can be read, -1 if that is no sooner than planned, or
 * this host registers itself first. */
static Micros
earlier_reading(const HostList *this, Micros interval)
{
    Micros due = MAX(this->started_at + interval, now(this));

    return !this->reading && !this->first && due < this->due ? due : -1;
}

/* ---- entries -------------------------------------------------------- */

static void
log_bad_entry(const HostList *this, Str id, int code)
{
    if (EventLog_Begin(this->log, LOG_LEVEL_INFO, "bad-host-entry")) {
        EventLog_Str(this->log, "host", id);
        EventLog_CStr(this->log, "reason", Error_Name(code));
        EventLog_End(this->log);
    }
}

static bool
is_own_registration(const HostList *this, const KeyedRecord *record)
{
    char *value;
    bool same;

    if (!Str_Equal(record->key, this->options.host)) {
        return false;
    }
    value = RosterEntry_Format(&this->options.entry);
    same = Str_Equal(record->value, Str_FromC(value));
    g_free(value);
    return same;
}

/* Copies an entry of the list. */
static void
put_entry(HostList *this, Str id, const RosterEntry *entry)
{
    Listed *listed = g_new0(Listed, 1);
    const Listed *before;

    listed->id = Str_ToString(id);
    before = g_hash_table_lookup(this->entries, listed->id);
    if (before != NULL && entry->forward_port > 0 &&
        memcmp(before->entry.key, entry->key, HOST_KEY_BYTES) != 0) {
        RefreshLimit_Confirm(this->refreshes, id);
    }
    listed->domain = Str_ToString(entry->domain);
    listed->region = Str_ToString(entry->region);
    listed->entry = *entry;
    listed->entry.domain = Str_FromString(listed->domain);
    listed->entry.region = Str_FromString(listed->region);
    g_hash_table_replace(this->entries, listed->id, listed);
}

static void
apply_record(HostList *this, const KeyedRecord *record)
{
    RosterEntry entry;
    int code;

    if (record->removed || record->key.length == 0) {
        return;
    }
    if (this->serving) {
        KeyedMirror_PutSnapshotRecord(this->next, record);
    }
    code = RosterEntry_Parse(record->value, &entry);
    if (code < 0) {
        log_bad_entry(this, record->key, code);
    }
    if (code != ERR_PARSE) {
        HostRoster_PutEntry(this->roster, record->key, record->offset);
        put_entry(this, record->key, &entry);
    }
    this->registered = this->registered || is_own_registration(this, record);
}

static gboolean
is_gone(gpointer id, gpointer value, gpointer user)
{
    const HostList *this = user;
    const Listed *listed = value;

    return !HostRoster_IsLive(this->roster, Str_FromString(listed->id));
}

/* ---- other hosts ---------------------------------------------------- */

static void
serve(const HostList *this, int code, KeyedPageHandler *handler, void *user)
{
    GArray *records = g_array_new(FALSE, FALSE, sizeof(KeyedRecord));
    KeyedPage page = {.code = code, .era = this->mirror_era};

    if (code == 0) {
        KeyedMirror_Newest(this->mirror, records);
        page.records = (const KeyedRecord *)records->data;
        page.count = records->len;
        page.end = KeyedMirror_End(this->mirror);
        page.age = now(this) - this->mirror_from;
    }
    handler(user, &page);
    g_array_free(records, TRUE);
}

/* Responds to the hosts that waited when the reading began. */
static void
serve_waiting(HostList *this, int code)
{
    for (; this->in_reading > 0; this->in_reading--) {
        Waiting *waiting = g_queue_pop_head(this->waiting);

        serve(this, code, waiting->handler, waiting->user);
        g_free(waiting);
    }
}

static void
schedule_for_waiting(HostList *this)
{
    Micros due = earlier_reading(this, SERVE_INTERVAL_US);

    if (!g_queue_is_empty(this->waiting) && due >= 0) {
        schedule_at(this, due);
    }
}

/* Returns the oldest list that serves this host and those that wait. */
static Micros
wanted_age(const HostList *this)
{
    Micros age = AGE_MAX_US;

    if (this->confirmed_at >= 0) {
        age = MIN(age, now(this) - this->confirmed_at);
    }
    for (const GList *link = this->waiting->head; link != NULL;
         link = link->next) {
        const Waiting *waiting = link->data;

        age = MIN(age, now(this) - waiting->needed_from);
    }
    return MAX(age, 0);
}

void
HostList_Serve(HostList *this, Micros age_max, KeyedPageHandler *handler,
               void *user)
{
    Micros needed_from = now(this) - age_max;
    Waiting *waiting;

    this->serving = true;
    if (this->mirror_from >= needed_from && this->mirror_from >= 0) {
        serve(this, 0, handler, user);
        return;
    }
    if (this->waiting->length >= SERVE_QUEUE_MAX) {
        serve(this, ERR_LIMIT, handler, user);
        return;
    }
    waiting = g_new0(Waiting, 1);
    *waiting = (Waiting){needed_from, handler, user};
    g_queue_push_tail(this->waiting, waiting);
    schedule_for_waiting(this);
}

/* ---- registration --------------------------------------------------- */

/* Returns a delay by which the hosts of a deployment that restarts differ. */
static Micros
reread_spread(const HostList *this)
{
    Micros spread =
        (Micros)HostRoster_Count(this->roster) * REREAD_SPREAD_PER_HOST_US;

    return HostRoster_KnownFrom(this->roster) != INT64_MAX && spread > 0
               ? (Micros)(Str_Hash(this->options.host) % (uint64_t)spread)
               : 0;
}

static void
on_registered(void *user, int code)
{
    HostList *this = user;

    if (code < 0) {
        schedule(this, this->first ? 1 : RETRY_DELAY_US);
        this->first = false;
        return;
    }
    this->confirmed_at = now(this);
    if (this->first) {
        schedule(this, FIRST_READ_DELAY_US);
    }
    else {
        schedule(this, REREAD_DELAY_US + reread_spread(this));
    }
}

static void
register_host(HostList *this)
{
    char *value = RosterEntry_Format(&this->options.entry);
    KeyedRecord record = {.key = this->options.host,
                          .value = Str_FromC(value)};

    this->options.register_host(this->options.user, &record, on_registered,
                                this);
    g_free(value);
}

static void
on_removed(void *user, int code)
{
    HostList *this = user;

    if (code < 0 && !Loop_IsClosing(this->loop) &&
        EventLog_Begin(this->log, LOG_LEVEL_INFO, "hosts-unremoved")) {
        EventLog_CStr(this->log, "reason", Error_Name(code));
        EventLog_End(this->log);
    }
}

/* Removes the entries of hosts that are gone, at most a batch. */
static void
remove_gone_hosts(HostList *this)
{
    GArray *ids = g_array_new(FALSE, FALSE, sizeof(Str));
    KeyedRecord records[REMOVALS_MAX];
    size_t n;

    HostRoster_Removable(this->roster, ids);
    n = MIN(ids->len, REMOVALS_MAX);
    for (size_t i = 0; i < n; i++) {
        records[i] = (KeyedRecord){.key = g_array_index(ids, Str, i),
                                   .value = STR(""),
                                   .removed = true};
    }
    if (n > 0) {
        this->options.append(this->options.user, records, n, on_removed, this);
    }
    g_array_free(ids, TRUE);
}

/* ---- readings ------------------------------------------------------- */

static void
log_hosts(const HostList *this, size_t live)
{
    Micros known_from = HostRoster_KnownFrom(this->roster);

    if (EventLog_Begin(this->log, LOG_LEVEL_INFO, "hosts")) {
        EventLog_Int(this->log, "live", (int64_t)live);
        EventLog_Int(this->log, "listed", (int64_t)this->listed_count);
        EventLog_Int(this->log, "known_in_ms",
                     known_from == INT64_MAX
                         ? -1
                         : MAX(known_from - now(this), 0) / MICROS_PER_MS);
        EventLog_End(this->log);
    }
}

static void
end_list(HostList *this, uint64_t era)
{
    GArray *ids = g_array_new(FALSE, FALSE, sizeof(Str));
    KeyedMirror *unused = this->mirror;

    this->was_read = true;
    this->first = false;
    KeyedMirror_EndSnapshot(this->next, this->next_end);
    this->mirror = this->next;
    this->next = unused;
    this->mirror_from = this->serving ? this->next_from : -1;
    this->mirror_era = era;
    HostRoster_EndList(this->roster);
    g_hash_table_foreach_remove(this->entries, is_gone, this);
    HostRoster_Live(this->roster, ids);
    log_hosts(this, ids->len);
    g_array_free(ids, TRUE);
}

static void
schedule_next(HostList *this, bool failed)
{
    if (failed) {
        schedule(this, RETRY_DELAY_US);
    }
    else if (this->second) {
        this->second = false;
        schedule(this, SECOND_READ_DELAY_US);
    }
    else {
        schedule(this, HOST_LIST_INTERVAL_US);
    }
    schedule_for_waiting(this);
}

static void read_page(HostList *this, Str after, Micros age_max);

static void
apply_page(HostList *this, const KeyedPage *page)
{
    for (size_t i = 0; i < page->count; i++) {
        apply_record(this, &page->records[i]);
    }
    this->listed_count += page->count;
    this->next_end = page->end;
    this->next_from = MIN(this->next_from, now(this) - page->age);
}

static void
on_page(void *user, const KeyedPage *page)
{
    HostList *this = user;

    if (Loop_IsClosing(this->loop)) {
        return;
    }
    if (page->code == 0) {
        apply_page(this, page);
        if (page->more && page->count > 0) {
            read_page(this, page->records[page->count - 1].key, 0);
            return;
        }
        end_list(this, page->era);
    }
    else {
        HostRoster_OnReadFailure(this->roster);
    }
    this->reading = false;
    this->options.on_read(this->options.user, page->code == 0);
    serve_waiting(this, page->code);
    if (page->code == 0 &&
        (!this->registered || HostRoster_NeedsRenewal(this->roster))) {
        this->due = INT64_MAX;
        register_host(this);
        schedule_for_waiting(this);
        return;
    }
    if (page->code == 0) {
        this->confirmed_at = -1;
        remove_gone_hosts(this);
    }
    schedule_next(this, page->code < 0);
}

static void
read_page(HostList *this, Str after, Micros age_max)
{
    this->options.read(this->options.user, after, age_max, on_page, this);
}

static void
begin_reading(HostList *this)
{
    this->reading = true;
    this->due = INT64_MAX;
    this->started_at = now(this);
    this->next_from = INT64_MAX;
    this->in_reading = this->waiting->length;
    this->listed_count = 0;
    this->registered = false;
    HostRoster_BeginList(this->roster);
    KeyedMirror_BeginSnapshot(this->next);
    read_page(this, STR(""), wanted_age(this));
}

/* A host of a deployment that starts knows that nobody is listed yet. */
static void
on_timer(void *user)
{
    HostList *this = user;

    if (this->reading) {
        schedule(this, REREAD_DELAY_US);
        return;
    }
    if (this->first && this->confirmed_at < 0) {
        this->due = INT64_MAX;
        register_host(this);
        return;
    }
    begin_reading(this);
}

bool
HostList_WasRead(const HostList *this)
{
    return this->was_read;
}

size_t
HostList_Count(const HostList *this)
{
    return HostRoster_Count(this->roster);
}

void
HostList_Hosts(const HostList *this, GArray *hosts)
{
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, this->entries);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const Listed *listed = value;
        ListedHost host = {Str_FromString(listed->id), listed->entry};

        g_array_append_val(hosts, host);
    }
}

void
HostList_Live(const HostList *this, GArray *ids)
{
    HostRoster_Live(this->roster, ids);
}

Micros
HostList_KnownFrom(const HostList *this)
{
    return HostRoster_KnownFrom(this->roster);
}

void
HostList_ReadNow(HostList *this)
{
    Micros due = earlier_reading(this, REFRESH_DELAY_US);

    if (!this->was_read && due >= 0) {
        schedule_at(this, due);
    }
}

void
HostList_Refresh(HostList *this, Str host)
{
    Micros due = earlier_reading(this, REFRESH_DELAY_US);

    if (due >= 0 && RefreshLimit_Take(this->refreshes, host)) {
        this->confirmed_at = now(this);
        schedule_at(this, due);
    }
}

/* The hosts write their entries again, spread over time so that the rate of
 * calls does not grow with their number. */
void
HostList_OnRestored(HostList *this)
{
    Micros spread =
        MAX(REREGISTER_SPREAD_MIN_US, (Micros)(HostRoster_Count(this->roster) *
                                               REREGISTER_SPREAD_PER_HOST_US));

    schedule(this,
             1 + (Micros)(Str_Hash(this->options.host) % (uint64_t)spread));
}

/* ---- creation ------------------------------------------------------- */

HostList *
HostList_Create(Loop *loop, const HostListOptions *options, EventLog *log)
{
    HostList *this = g_new0(HostList, 1);

    this->loop = loop;
    this->clock = Loop_Clock(loop);
    this->log = log;
    this->options = *options;
    this->roster =
        HostRoster_Create(options->host, options->first_start, this->clock);
    this->entries = g_hash_table_new_full((GHashFunc)g_string_hash,
                                          (GEqualFunc)g_string_equal, NULL,
                                          destroy_listed);
    this->mirror = KeyedMirror_Create(0);
    this->next = KeyedMirror_Create(0);
    this->timer = LoopTimer_Create(loop, on_timer, this);
    this->refreshes = RefreshLimit_Create(this->clock);
    this->waiting = g_queue_new();
    this->started_at = now(this) - REFRESH_DELAY_US;
    this->mirror_from = -1;
    this->confirmed_at = -1;
    this->mirror_era = KEYED_ERA_UNKNOWN;
    this->first = this->second = options->first_start;
    schedule(this, 1);
    return this;
}

void
HostList_Destroy(HostList *this)
{
    if (this == NULL) {
        return;
    }
    this->in_reading = this->waiting->length;
    serve_waiting(this, ERR_UNAVAILABLE);
    LoopTimer_Destroy(this->timer);
    HostRoster_Destroy(this->roster);
    RefreshLimit_Destroy(this->refreshes);
    KeyedMirror_Destroy(this->mirror);
    KeyedMirror_Destroy(this->next);
    g_hash_table_destroy(this->entries);
    g_queue_free(this->waiting);
    g_free(this);
}
