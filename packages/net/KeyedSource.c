#include "KeyedSource.h"

#include <glib.h>
#include <string.h>

#include "HostRoster.h"
#include "HttpFetch.h"
#include "KeyedCodec.h"
#include "RefreshLimit.h"

/* Number of hosts of a domain, the first by id, that the others try as relays.
 * A relay reads the log directly while other hosts read through it. */
#define RELAYS_MAX 2
#define HOSTS_TOPIC "keyed.agatecrank-hosts"
/* Longest duration of a long poll, whatever the follower asks for. A read may
 * miss a record that is written at the same time, and a connection may have
 * become silent. */
#define DIRECT_WAIT_MAX_US (2 * MICROS_PER_S)
#define RELAY_WAIT_US (400 * MICROS_PER_MS)
#define RELAY_TIMEOUT_US (250 * MICROS_PER_MS)
#define RELAY_CONNECT_TIMEOUT_US (150 * MICROS_PER_MS)
/* Time for which a relay without a valid response is ejected. */
#define RELAY_EJECTION_TIME_US (1 * MICROS_PER_S)
/* While the log is unreachable, hosts other than the preferred relay call it
 * only at this interval, because calls of all hosts at the rate of the relays
 * would be needless load. */
#define LOG_RETRY_INTERVAL_US (900 * MICROS_PER_MS)
/* A host reads the log directly for this long after another host has read
 * through it. */
#define RELAY_ACTIVE_TIME_US (5 * MICROS_PER_S)
/* Delay between the registration of this host and the next read of the list,
 * which then contains all hosts that started at the same time. */
#define LIST_REREAD_DELAY_US (900 * MICROS_PER_MS)
/* Least time between a reading of the list and one that is brought forward. */
#define LIST_REFRESH_DELAY_US (1 * MICROS_PER_S)
#define LIST_RETRY_DELAY_US (3 * MICROS_PER_S)
/* Time over which hosts write their entries again that the log has lost. */
#define REREGISTER_SPREAD_MIN_US (2 * MICROS_PER_S)
#define REREGISTER_SPREAD_PER_HOST_US (20 * MICROS_PER_MS)
/* Entries of hosts that are gone are removed in batches of this size. */
#define REMOVALS_MAX 32
#define LOG_CALL_TIMEOUT_US (1 * MICROS_PER_S)
/* A relay sends a whole topic at once. */
#define RESPONSE_BYTES_MAX (8 * 1024 * 1024)

/* Another host of the same domain. */
typedef struct Peer_ {
    char *id;
    HttpFetch *fetch;
    Micros ejected_until;
} Peer;

struct KeyedSource_ {
    Loop *loop;
    const KeyedLog *keyed_log;
    const Clock *clock;
    EventLog *log;
    KeyedSourceOptions options;
    char *own_id;
    KeyedLog interface;
    HostRoster *roster;
    GHashTable *entries;       /* Listed by its id */
    GPtrArray *peers;          /* Peer, ordered by id */
    GPtrArray *unlisted_peers; /* Peer of the previous list */
    GPtrArray *listed_peers;   /* Peer of the list being read, or NULL */
    size_t listed_count;       /* entries of that list so far */
    LoopTimer *list_timer;
    Micros list_due;         /* when list_timer runs out */
    Micros list_read_at;     /* begin of the last reading */
    RefreshLimit *refreshes; /* readings that are brought forward */
    GQueue *queued_reads;    /* Read that waits for the list */
    GQueue *rejected_reads;  /* Read to fail with ERR_LIMIT */
    Micros relay_request_at; /* last relay request, -1 for none */
    Micros log_failed_at;    /* time of the last read, -1 if it succeeded */
    uint64_t log_calls;
    uint64_t era;        /* of the last page that was delivered */
    bool list_reading;   /* a read of the list is in flight */
    bool list_attempted; /* a read of the list has ended */
    bool list_read;      /* a read of the list has succeeded */
    bool registered;     /* the list contains this host */
    bool direct;         /* reads go to the log, not to a relay */
};

/* The newest entry of a host. */
typedef struct Listed_ {
    GString *id;
    GString *domain;
    RosterEntry entry;
} Listed;

/* A pending read. @relay is NULL for a direct read. */
typedef struct Read_ {
    KeyedSource *source;
    Peer *relay;
    GString *topic;
    GString *after;
    uint64_t from;
    Micros wait;
    Micros timeout;
    LoopTimer *rejection;
    bool newest;
    KeyedPageHandler *handler;
    void *user;
} Read;

static void
destroy_peer(gpointer data)
{
    Peer *peer = data;

    HttpFetch_Destroy(peer->fetch);
    g_free(peer->id);
    g_free(peer);
}

static void
destroy_listed(gpointer data)
{
    Listed *listed = data;

    g_string_free(listed->id, TRUE);
    g_string_free(listed->domain, TRUE);
    g_free(listed);
}

static Micros
now(const KeyedSource *this)
{
    return Clock_Now(this->clock);
}

static void
schedule_list_at(KeyedSource *this, Micros due)
{
    this->list_due = due;
    LoopTimer_Start(this->list_timer, MAX(due - now(this), 1));
}

static void
schedule_list(KeyedSource *this, Micros delay)
{
    schedule_list_at(this, now(this) + delay);
}

/* Returns when the list can be read, -1 if that is no sooner than planned. */
static Micros
earlier_reading(const KeyedSource *this)
{
    Micros due = MAX(this->list_read_at + LIST_REFRESH_DELAY_US, now(this));

    return !this->list_reading && due < this->list_due ? due : -1;
}

/* Returns whether this host is the relay if all hosts are reachable. */
static bool
is_preferred_relay(const KeyedSource *this)
{
    const Peer *first =
        this->peers->len > 0 ? g_ptr_array_index(this->peers, 0) : NULL;

    return first != NULL && g_strcmp0(this->own_id, first->id) < 0;
}

/* Returns the relay to read through, NULL to read the log directly. */
static Peer *
choose_relay(const KeyedSource *this)
{
    if (is_preferred_relay(this) ||
        (this->relay_request_at >= 0 &&
         now(this) - this->relay_request_at < RELAY_ACTIVE_TIME_US)) {
        return NULL;
    }
    for (guint i = 0; i < MIN(this->peers->len, RELAYS_MAX); i++) {
        Peer *peer = g_ptr_array_index(this->peers, i);

        if (peer->ejected_until <= now(this)) {
            return g_strcmp0(this->own_id, peer->id) < 0 ? NULL : peer;
        }
    }
    return NULL;
}

static void
update_direct(KeyedSource *this, const Peer *peer)
{
    bool direct = peer == NULL;

    if (direct == this->direct) {
        return;
    }
    this->direct = direct;
    if (EventLog_Begin(this->log, LOG_LEVEL_INFO, "store-path")) {
        EventLog_CStr(this->log, "through", direct ? "none" : peer->id);
        EventLog_Int(this->log, "peers", this->peers->len);
        EventLog_End(this->log);
    }
    this->options.on_direct(this->options.user, direct);
}

/* ---- reads ---------------------------------------------------------- */

static void
destroy_read(gpointer data)
{
    Read *read = data;

    LoopTimer_Destroy(read->rejection);
    g_string_free(read->topic, TRUE);
    g_string_free(read->after, TRUE);
    g_free(read);
}

/* Relays of earlier versions do not tell the era. */
static uint64_t
era_of_relay(const HttpFetchResponse *response)
{
    uint64_t era;

    return response->headers != NULL &&
                   Str_ParseU64(
                       HeaderList_Get(response->headers, STR(KEYED_ERA_FIELD)),
                       &era) == 0
               ? era
               : KEYED_ERA_UNKNOWN;
}

static void
log_relay_failure(const Read *read, const HttpFetchResponse *response)
{
    EventLog *log = read->source->log;

    if (EventLog_Begin(log, LOG_LEVEL_INFO, "peer-lost")) {
        EventLog_CStr(log, "peer", read->relay->id);
        EventLog_CStr(log, "reason",
                      response->code < 0 ? Error_Name(response->code)
                      : response->status == 200 || response->status == 410
                          ? "invalid"
                          : "refused");
        EventLog_Int(log, "era", (int64_t)era_of_relay(response));
        EventLog_Int(log, "status", response->status);
        EventLog_End(log);
    }
}

static void read_log(Read *read);

static void
deliver(Read *read, const KeyedPage *page)
{
    KeyedPageHandler *handler = read->handler;
    void *user = read->user;

    destroy_read(read);
    handler(user, page);
}

/* The hosts write their entries again, spread over time so that the rate of
 * calls does not grow with their number. */
static void
on_era(KeyedSource *this, uint64_t era)
{
    Micros spread =
        MAX(REREGISTER_SPREAD_MIN_US, (Micros)(HostRoster_Count(this->roster) *
                                               REREGISTER_SPREAD_PER_HOST_US));

    if (era == KEYED_ERA_UNKNOWN || era == this->era) {
        return;
    }
    if (this->era != KEYED_ERA_UNKNOWN) {
        schedule_list(this, 1 + (Micros)(Str_Hash(this->options.host) %
                                         (uint64_t)spread));
    }
    this->era = era;
}

static bool
is_older_era(const KeyedSource *this, uint64_t era)
{
    return era != KEYED_ERA_UNKNOWN && this->era != KEYED_ERA_UNKNOWN &&
           era < this->era;
}

static void
on_relay_response(void *user, const HttpFetchResponse *response)
{
    Read *read = user;
    KeyedPage page = {.era = era_of_relay(response)};
    bool older = is_older_era(read->source, page.era);
    GArray *records;

    if (response->code == 0 && response->status == 410 && !older) {
        page.code = ERR_EXPIRED;
        on_era(read->source, page.era);
        deliver(read, &page);
        return;
    }
    records = g_array_new(FALSE, FALSE, sizeof(KeyedRecord));
    if (response->code < 0 || response->status != 200 || older ||
        KeyedCodec_Read(response->body, &page.end, records) < 0) {
        read->relay->ejected_until =
            now(read->source) + RELAY_EJECTION_TIME_US;
        log_relay_failure(read, response);
        if (Loop_IsClosing(read->source->loop)) {
            page.code = ERR_UNAVAILABLE;
            deliver(read, &page);
        }
        else {
            /* No wait: the log may have records that the relay lacks. */
            read->timeout -= read->wait;
            read->wait = 0;
            read_log(read);
        }
    }
    else {
        page.records = (const KeyedRecord *)records->data;
        page.count = records->len;
        on_era(read->source, page.era);
        deliver(read, &page);
    }
    g_array_free(records, TRUE);
}

/* Without the list a host has no peers. */
static void
read_first_list(KeyedSource *this)
{
    Micros due = earlier_reading(this);

    if (!this->list_read && due >= 0) {
        schedule_list_at(this, due);
    }
}

static void
on_log_page(void *user, const KeyedPage *page)
{
    Read *read = user;
    bool failed = page->code < 0 && page->code != ERR_EXPIRED;

    read->source->log_failed_at = failed ? now(read->source) : -1;
    if (!failed) {
        on_era(read->source, page->era);
        read_first_list(read->source);
    }
    deliver(read, page);
}

static void
reject_read(void *user)
{
    KeyedPage page = {.code = ERR_LIMIT};
    Read *read = user;

    g_queue_remove(read->source->rejected_reads, read);
    deliver(read, &page);
}

static bool
may_read_log(const KeyedSource *this)
{
    return this->peers->len == 0 || is_preferred_relay(this) ||
           this->log_failed_at < 0 ||
           now(this) - this->log_failed_at >= LOG_RETRY_INTERVAL_US;
}

static void
read_log(Read *read)
{
    KeyedSource *this = read->source;
    const KeyedLog *keyed_log = this->keyed_log;
    Micros wait = MIN(read->wait, DIRECT_WAIT_MAX_US);

    if (!may_read_log(this)) {
        read->rejection = LoopTimer_Create(this->loop, reject_read, read);
        LoopTimer_Start(read->rejection, 1);
        g_queue_push_tail(this->rejected_reads, read);
        return;
    }
    this->log_calls++;
    if (read->newest) {
        keyed_log->read_newest(keyed_log->self, Str_FromString(read->topic),
                               Str_FromString(read->after), read->timeout,
                               on_log_page, read);
    }
    else {
        keyed_log->read_tail(
            keyed_log->self, Str_FromString(read->topic), read->from, wait,
            read->timeout - read->wait + wait, on_log_page, read);
    }
}

static void
read_relay(Read *read)
{
    Micros wait = MIN(read->wait, RELAY_WAIT_US);
    GString *path = g_string_new(NULL);

    if (read->newest) {
        g_string_printf(path, "/newest?topic=%s", read->topic->str);
    }
    else {
        g_string_printf(path,
                        "/tail?topic=%s&from=%" G_GUINT64_FORMAT
                        "&wait_ms=%" G_GINT64_FORMAT,
                        read->topic->str, read->from, wait / MICROS_PER_MS);
    }
    HttpFetch_Send(read->relay->fetch, STR("GET"), Str_FromString(path), NULL,
                   STR(""), wait + RELAY_TIMEOUT_US, on_relay_response, read);
    g_string_free(path, TRUE);
}

/* A snapshot whose first page came from the log is read from the log to its
 * end, because relays do not serve snapshots in pages. */
static void
start_read(Read *read)
{
    KeyedSource *this = read->source;

    read->relay = read->after->len == 0 ? choose_relay(this) : NULL;
    update_direct(this, read->relay);
    if (read->relay == NULL) {
        read_log(read);
    }
    else {
        read_relay(read);
    }
}

static void
submit_read(KeyedSource *this, Read *read)
{
    if (this->list_attempted) {
        start_read(read);
    }
    else {
        g_queue_push_tail(this->queued_reads, read);
    }
}

static Read *
create_read(KeyedSource *this, Str topic, Str after, Micros timeout,
            KeyedPageHandler *handler, void *user)
{
    Read *read = g_new0(Read, 1);

    read->source = this;
    read->topic = Str_ToString(topic);
    read->after = Str_ToString(after);
    read->timeout = timeout;
    read->handler = handler;
    read->user = user;
    return read;
}

static void
read_newest(void *self, Str topic, Str after, Micros timeout,
            KeyedPageHandler *handler, void *user)
{
    Read *read = create_read(self, topic, after, timeout, handler, user);

    read->newest = true;
    submit_read(self, read);
}

static void
read_tail(void *self, Str topic, uint64_t from, Micros wait, Micros timeout,
          KeyedPageHandler *handler, void *user)
{
    Read *read = create_read(self, topic, STR(""), timeout, handler, user);

    read->from = from;
    read->wait = wait;
    submit_read(self, read);
}

/* ---- list of hosts -------------------------------------------------- */

static gint
compare_peers(gconstpointer a, gconstpointer b)
{
    return g_strcmp0((*(Peer *const *)a)->id, (*(Peer *const *)b)->id);
}

static void
log_bad_entry(const KeyedSource *this, Str id, int code)
{
    if (EventLog_Begin(this->log, LOG_LEVEL_INFO, "bad-host-entry")) {
        EventLog_Str(this->log, "host", id);
        EventLog_CStr(this->log, "reason", Error_Name(code));
        EventLog_End(this->log);
    }
}

static bool
parse_registration(const KeyedRecord *record, RosterEntry *entry)
{
    return !record->removed && record->key.length > 0 &&
           RosterEntry_Parse(record->value, entry) != ERR_PARSE;
}

/* Adds the host of a registration if it can be a relay for this one. */
static void
add_peer(KeyedSource *this, const KeyedRecord *record, GPtrArray *peers)
{
    HttpClientOptions options = {.connect_timeout = RELAY_CONNECT_TIMEOUT_US};
    RosterEntry entry;
    Peer *peer;
    char *url;

    if (!parse_registration(record, &entry) ||
        !Str_Equal(entry.domain, this->options.domain) ||
        Str_Equal(record->key, this->options.host) ||
        !HostRoster_IsLive(this->roster, record->key)) {
        return;
    }
    peer = g_new0(Peer, 1);
    peer->id = g_strndup(record->key.data, record->key.length);
    url =
        g_strdup_printf("http://%s:%u", entry.relay.address, entry.relay.port);
    peer->fetch = HttpFetch_Create(this->loop, Str_FromC(url),
                                   RESPONSE_BYTES_MAX, &options, NULL);
    g_free(url);
    g_ptr_array_add(peers, peer);
}

static char *
registration_value(const KeyedSource *this)
{
    RosterEntry entry = {.domain = this->options.domain,
                         .relay = this->options.relay,
                         .forward_port = this->options.forward_port};

    memcpy(entry.key, this->options.key, HOST_KEY_BYTES);
    return RosterEntry_Format(&entry);
}

static bool
is_own_registration(const KeyedSource *this, const KeyedRecord *record)
{
    char *value = registration_value(this);
    bool same = Str_Equal(record->key, this->options.host) &&
                Str_Equal(record->value, Str_FromC(value));

    g_free(value);
    return same;
}

static void
log_hosts(const KeyedSource *this, size_t listed, size_t live)
{
    Micros known_from = HostRoster_KnownFrom(this->roster);

    if (EventLog_Begin(this->log, LOG_LEVEL_INFO, "hosts")) {
        EventLog_Int(this->log, "live", (int64_t)live);
        EventLog_Int(this->log, "listed", (int64_t)listed);
        EventLog_Int(this->log, "known_in_ms",
                     known_from == INT64_MAX
                         ? -1
                         : MAX(known_from - now(this), 0) / MICROS_PER_MS);
        EventLog_End(this->log);
    }
}

static void
begin_list(KeyedSource *this)
{
    HostRoster_BeginList(this->roster);
    g_clear_pointer(&this->listed_peers, g_ptr_array_unref);
    this->listed_peers = g_ptr_array_new_with_free_func(destroy_peer);
    this->listed_count = 0;
    this->registered = false;
}

/* Copies an entry of the list. */
static void
put_entry(KeyedSource *this, Str id, const RosterEntry *entry)
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
    listed->entry = *entry;
    listed->entry.domain = Str_FromString(listed->domain);
    g_hash_table_replace(this->entries, listed->id, listed);
}

static void
apply_entry(KeyedSource *this, const KeyedRecord *record)
{
    RosterEntry entry;
    int code;

    if (record->removed || record->key.length == 0) {
        return;
    }
    code = RosterEntry_Parse(record->value, &entry);
    if (code < 0) {
        log_bad_entry(this, record->key, code);
    }
    if (code != ERR_PARSE) {
        HostRoster_PutEntry(this->roster, record->key, record->offset);
        put_entry(this, record->key, &entry);
    }
}

static void
apply_list_page(KeyedSource *this, const KeyedPage *page)
{
    for (size_t i = 0; i < page->count; i++) {
        const KeyedRecord *record = &page->records[i];

        apply_entry(this, record);
        this->registered =
            this->registered || is_own_registration(this, record);
        add_peer(this, record, this->listed_peers);
    }
    this->listed_count += page->count;
}

static gboolean
is_gone(gpointer id, gpointer value, gpointer user)
{
    const KeyedSource *this = user;
    const Listed *listed = value;

    return !HostRoster_IsLive(this->roster, Str_FromString(listed->id));
}

/* A live host whose entry has disappeared keeps its last one. */
static void
report_entries(KeyedSource *this)
{
    GArray *hosts = g_array_new(FALSE, FALSE, sizeof(ListedHost));
    GHashTableIter iter;
    gpointer value;

    g_hash_table_foreach_remove(this->entries, is_gone, this);
    g_hash_table_iter_init(&iter, this->entries);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const Listed *listed = value;
        ListedHost host = {Str_FromString(listed->id), listed->entry};

        g_array_append_val(hosts, host);
    }
    if (this->options.on_entries != NULL) {
        this->options.on_entries(this->options.user,
                                 (const ListedHost *)hosts->data, hosts->len);
    }
    g_array_free(hosts, TRUE);
}

static void
end_list(KeyedSource *this)
{
    GArray *ids = g_array_new(FALSE, FALSE, sizeof(Str));

    this->list_read = true;
    HostRoster_EndList(this->roster);
    HostRoster_Live(this->roster, ids);
    log_hosts(this, this->listed_count, ids->len);
    this->options.on_hosts(this->options.user, (const Str *)ids->data,
                           ids->len, HostRoster_KnownFrom(this->roster));
    g_array_free(ids, TRUE);
    report_entries(this);
    g_ptr_array_sort(this->listed_peers, compare_peers);
    /* Reads may still be in flight to peers of the previous list, but not to
     * peers of older lists. */
    g_ptr_array_set_size(this->unlisted_peers, 0);
    g_ptr_array_extend_and_steal(this->unlisted_peers, this->peers);
    this->peers = g_steal_pointer(&this->listed_peers);
}

static void
start_queued_reads(KeyedSource *this)
{
    Read *read;

    this->list_attempted = true;
    while ((read = g_queue_pop_head(this->queued_reads)) != NULL) {
        start_read(read);
    }
}

static void
on_registered(void *user, int code)
{
    KeyedSource *this = user;

    schedule_list(this,
                  code == 0 ? LIST_REREAD_DELAY_US : LIST_RETRY_DELAY_US);
}

static void
on_removed(void *user, int code)
{
    KeyedSource *this = user;

    if (code < 0 && !Loop_IsClosing(this->loop) &&
        EventLog_Begin(this->log, LOG_LEVEL_INFO, "hosts-unremoved")) {
        EventLog_CStr(this->log, "reason", Error_Name(code));
        EventLog_End(this->log);
    }
}

/* Removes the entries of hosts that are gone, at most a batch. */
static void
remove_gone_hosts(KeyedSource *this)
{
    const KeyedLog *keyed_log = this->keyed_log;
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
        this->log_calls++;
        keyed_log->append(keyed_log->self, STR(HOSTS_TOPIC), records, n,
                          LOG_CALL_TIMEOUT_US, on_removed, this);
    }
    g_array_free(ids, TRUE);
}

static void
register_host(KeyedSource *this)
{
    const KeyedLog *keyed_log = this->keyed_log;
    char *value = registration_value(this);
    KeyedRecord record = {.key = this->options.host,
                          .value = Str_FromC(value)};

    this->log_calls++;
    keyed_log->append(keyed_log->self, STR(HOSTS_TOPIC), &record, 1,
                      LOG_CALL_TIMEOUT_US, on_registered, this);
    g_free(value);
}

static void read_list_page(KeyedSource *this, Str after);

static void
on_list(void *user, const KeyedPage *page)
{
    KeyedSource *this = user;

    if (Loop_IsClosing(this->loop)) {
        return;
    }
    if (page->code == 0) {
        apply_list_page(this, page);
        if (page->more && page->count > 0) {
            read_list_page(this, page->records[page->count - 1].key);
            return;
        }
        end_list(this);
    }
    else {
        HostRoster_OnReadFailure(this->roster);
    }
    this->list_reading = false;
    start_queued_reads(this);
    if (page->code == 0 &&
        (!this->registered || HostRoster_NeedsRenewal(this->roster))) {
        register_host(this);
        return;
    }
    if (page->code == 0) {
        remove_gone_hosts(this);
    }
    schedule_list(this, page->code == 0 ? HOST_LIST_INTERVAL_US
                                        : LIST_RETRY_DELAY_US);
}

static void
read_list_page(KeyedSource *this, Str after)
{
    const KeyedLog *keyed_log = this->keyed_log;

    this->log_calls++;
    keyed_log->read_newest(keyed_log->self, STR(HOSTS_TOPIC), after,
                           LOG_CALL_TIMEOUT_US, on_list, this);
}

static void
read_list(void *user)
{
    KeyedSource *this = user;

    if (this->list_reading) {
        schedule_list(this, LIST_REREAD_DELAY_US);
        return;
    }
    this->list_reading = true;
    this->list_due = INT64_MAX;
    this->list_read_at = now(this);
    begin_list(this);
    read_list_page(this, STR(""));
}

/* ---- creation ------------------------------------------------------- */

KeyedSource *
KeyedSource_Create(Loop *loop, const KeyedLog *keyed_log,
                   const KeyedSourceOptions *options, EventLog *log)
{
    KeyedSource *this = g_new0(KeyedSource, 1);

    this->loop = loop;
    this->keyed_log = keyed_log;
    this->clock = Loop_Clock(loop);
    this->log = log;
    this->options = *options;
    this->own_id = g_strndup(options->host.data, options->host.length);
    this->roster =
        HostRoster_Create(options->host, options->first_start, this->clock);
    this->refreshes = RefreshLimit_Create(this->clock);
    this->interface = (KeyedLog){this, read_newest, read_tail, NULL};
    this->entries = g_hash_table_new_full((GHashFunc)g_string_hash,
                                          (GEqualFunc)g_string_equal, NULL,
                                          destroy_listed);
    this->peers = g_ptr_array_new_with_free_func(destroy_peer);
    this->unlisted_peers = g_ptr_array_new_with_free_func(destroy_peer);
    this->relay_request_at = -1;
    this->log_failed_at = -1;
    this->era = KEYED_ERA_UNKNOWN;
    this->direct = true;
    this->list_timer = LoopTimer_Create(loop, read_list, this);
    this->queued_reads = g_queue_new();
    this->rejected_reads = g_queue_new();
    schedule_list(this, 1);
    return this;
}

void
KeyedSource_Destroy(KeyedSource *this)
{
    if (this == NULL) {
        return;
    }
    LoopTimer_Destroy(this->list_timer);
    HostRoster_Destroy(this->roster);
    RefreshLimit_Destroy(this->refreshes);
    g_hash_table_destroy(this->entries);
    g_free(this->own_id);
    g_queue_free_full(this->queued_reads, destroy_read);
    g_queue_free_full(this->rejected_reads, destroy_read);
    g_ptr_array_free(this->peers, TRUE);
    g_ptr_array_free(this->unlisted_peers, TRUE);
    g_clear_pointer(&this->listed_peers, g_ptr_array_unref);
    g_free(this);
}

const KeyedLog *
KeyedSource_Log(KeyedSource *this)
{
    return &this->interface;
}

void
KeyedSource_OnRelayRequest(KeyedSource *this)
{
    this->relay_request_at = now(this);
}

void
KeyedSource_RefreshHosts(KeyedSource *this, Str host)
{
    Micros due = earlier_reading(this);

    if (due >= 0 && RefreshLimit_Take(this->refreshes, host)) {
        schedule_list_at(this, due);
    }
}

uint64_t
KeyedSource_LogCalls(const KeyedSource *this)
{
    return this->log_calls;
}
