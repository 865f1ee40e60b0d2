#include "KeyedSource.h"

#include <glib.h>
#include <string.h>

#include "AppendBatch.h"
#include "HttpFetch.h"
#include "KeyedCodec.h"
#include "LogAccess.h"
#include "RelayTree.h"

/* Longest duration of a long poll, whatever the follower asks for. A read may
 * miss a record that is written at the same time, and a connection may have
 * become silent. */
#define DIRECT_WAIT_MAX_US (2 * MICROS_PER_S)
/* Part of it for a host that others read through. With the waits and pauses
 * below it, what they get is young enough to be served. */
#define RELAY_DIRECT_WAIT_RATIO 0.4
/* Waits of a relay that reads through a root, and of a host that reads through
 * a relay. */
#define ROOT_WAIT_US (200 * MICROS_PER_MS)
#define RELAY_WAIT_US (400 * MICROS_PER_MS)
#define RELAY_TIMEOUT_US (250 * MICROS_PER_MS)
#define RELAY_CONNECT_TIMEOUT_US (150 * MICROS_PER_MS)
/* Time for which a relay without a valid response is ejected, doubled with each
 * timeout in a row. */
#define RELAY_EJECTION_TIME_US (1 * MICROS_PER_S)
#define RELAY_EJECTION_DOUBLINGS_MAX 3
/* A host that starts waits this long for relays that start, too. With few hosts
 * the log serves all of them at once. */
#define START_PATIENCE_MAX_US (400 * MICROS_PER_MS)
#define START_PATIENCE_PER_HOST_US (1 * MICROS_PER_MS)
#define START_TIME_US (1 * MICROS_PER_S)
#define START_TIMEOUT_MIN_US (50 * MICROS_PER_MS)
#define START_RETRY_US (50 * MICROS_PER_MS)
/* Reads wait up to this time for a call that may be made then. */
#define LOG_PATIENCE_US (400 * MICROS_PER_MS)
#define LOG_CALL_TIMEOUT_US (1 * MICROS_PER_S)
/* A relay sends a whole topic at once. */
#define RESPONSE_BYTES_MAX (8 * 1024 * 1024)

/* Another host that this one reads through. */
typedef struct Peer_ {
    char *id;
    Endpoint address;
    HttpFetch *fetch;
    Micros ejected_until;
    Micros refused_at; /* last refusal that came at once, -1 for none */
    unsigned timeouts; /* in a row */
    unsigned references;
} Peer;

typedef struct Registration_ Registration;

struct KeyedSource_ {
    Loop *loop;
    const KeyedLog *keyed_log;
    const Clock *clock;
    EventLog *log;
    KeyedSourceOptions options;
    KeyedLog interface;
    HostList *list;
    AppendBatch *batch;                 /* entries of other hosts */
    Registration *waiting_registration; /* for its timer, or NULL */
    RelayLevel level;
    GPtrArray *parents; /* Peer, the preferred one first */
    GPtrArray *seeds;   /* Peer */
    Micros started;
    Micros relays_known_at;  /* first reading of the list, or the start */
    GQueue *queued_reads;    /* Read that waits for the list */
    GQueue *postponed_reads; /* Read that waits for its timer */
    LogAccess *access;
    uint64_t log_calls;
    uint64_t read_count; /* reads over relays */
    uint64_t era;        /* of the last page that was delivered */
    bool list_attempted; /* a reading of the list has ended */
    bool direct;         /* reads go to the log, not to a relay */
};

/* A pending read. @relay is NULL for a direct read. */
typedef struct Read_ {
    KeyedSource *source;
    Peer *relay;
    GString *topic;
    GString *after;
    uint64_t from;
    Micros wait;
    Micros timeout;
    Micros age_max; /* of the list of hosts, -1 for other topics */
    Micros sent_at;
    uint64_t number; /* of the last read over a relay */
    LoopTimer *timer;
    bool newest;
    bool probe;     /* see LogAccess_Begin() */
    bool timed_out; /* at a relay */
    KeyedPageHandler *handler;
    void *user;
} Read;

/* The pending registration of this host. */
struct Registration_ {
    KeyedSource *source;
    Peer *relay;
    GString *host;
    GString *value;
    LoopTimer *timer;
    KeyedAppendHandler *handler;
    void *user;
};

static Micros
now(const KeyedSource *this)
{
    return Clock_Now(this->clock);
}

/* ---- peers ---------------------------------------------------------- */

static Peer *
create_peer(Loop *loop, Str id, const Endpoint *address)
{
    HttpClientOptions options = {.connect_timeout = RELAY_CONNECT_TIMEOUT_US};
    Peer *peer = g_new0(Peer, 1);
    char *url =
        g_strdup_printf("http://%s:%u", address->address, address->port);

    peer->id = g_strndup(id.data, id.length);
    peer->address = *address;
    peer->fetch = HttpFetch_Create(loop, Str_FromC(url), RESPONSE_BYTES_MAX,
                                   &options, NULL);
    peer->refused_at = -1;
    peer->references = 1;
    g_free(url);
    return peer;
}

static void
unref_peer(gpointer data)
{
    Peer *peer = data;

    if (peer == NULL || --peer->references > 0) {
        return;
    }
    HttpFetch_Destroy(peer->fetch);
    g_free(peer->id);
    g_free(peer);
}

static Peer *
ref_peer(Peer *peer)
{
    if (peer != NULL) {
        peer->references++;
    }
    return peer;
}

static bool
is_same_address(const Endpoint *a, const Endpoint *b)
{
    return a->port == b->port && strcmp(a->address, b->address) == 0;
}

/* Returns a reference to the peer of a host, the one in use if there is one. */
static Peer *
peer_of(const KeyedSource *this, const ListedHost *host)
{
    for (guint i = 0; i < this->parents->len; i++) {
        Peer *peer = g_ptr_array_index(this->parents, i);

        if (Str_Equal(Str_FromC(peer->id), host->id) &&
            is_same_address(&peer->address, &host->entry.relay)) {
            return ref_peer(peer);
        }
    }
    return create_peer(this->loop, host->id, &host->entry.relay);
}

/* Returns the first relay that can be used, NULL if there is none. */
static Peer *
choose_relay(const KeyedSource *this)
{
    for (guint i = 0; i < this->parents->len; i++) {
        Peer *peer = g_ptr_array_index(this->parents, i);

        if (peer->ejected_until <= now(this)) {
            return peer;
        }
    }
    return NULL;
}

/* Returns for how long this host goes on to wait for relays that start. */
static Micros
start_patience(const KeyedSource *this)
{
    Micros patience =
        (Micros)HostList_Count(this->list) * START_PATIENCE_PER_HOST_US;

    return MAX(this->relays_known_at + MIN(patience, START_PATIENCE_MAX_US) -
                   now(this),
               0);
}

static bool
is_starting(const KeyedSource *this)
{
    return start_patience(this) > 0;
}

/* Returns whether this host has just started and waits no longer. */
static bool
is_impatient(const KeyedSource *this)
{
    return !is_starting(this) &&
           now(this) - this->relays_known_at < START_TIME_US;
}

/* Returns whether a relay seems to start, too. */
static bool
expects_relay(const KeyedSource *this)
{
    if (!is_starting(this) || this->level == RELAY_LEVEL_ROOT) {
        return false;
    }
    for (guint i = 0; i < this->parents->len; i++) {
        if (((Peer *)g_ptr_array_index(this->parents, i))->refused_at >= 0) {
            return true;
        }
    }
    return false;
}

/* Hosts wait for the roots, so these do not wait for each other. */
static bool
is_starting_root(const KeyedSource *this)
{
    return is_starting(this) && this->level == RELAY_LEVEL_ROOT;
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
        EventLog_Int(this->log, "peers", this->parents->len);
        EventLog_End(this->log);
    }
}

/* ---- reads ---------------------------------------------------------- */

static void
destroy_read(gpointer data)
{
    Read *read = data;

    LoopTimer_Destroy(read->timer);
    unref_peer(read->relay);
    g_string_free(read->topic, TRUE);
    g_string_free(read->after, TRUE);
    g_free(read);
}

/* Returns @missing if the response does not have the number. */
static uint64_t
number_field(const HttpFetchResponse *response, const char *name,
             uint64_t missing)
{
    uint64_t number;

    return response->headers != NULL &&
                   Str_ParseU64(
                       HeaderList_Get(response->headers, Str_FromC(name)),
                       &number) == 0
               ? number
               : missing;
}

/* Relays of earlier versions do not tell the era. */
static uint64_t
era_of_relay(const HttpFetchResponse *response)
{
    return number_field(response, KEYED_ERA_FIELD, KEYED_ERA_UNKNOWN);
}

static bool
has_state(const HttpFetchResponse *response, const char *state)
{
    return response->code == 0 && response->status == 503 &&
           Str_Equal(HeaderList_Get(response->headers, STR(KEYED_STATE_FIELD)),
                     Str_FromC(state));
}

/* Returns false if another host has the address now, or the response is one to
 * an earlier read. Relays of earlier versions tell neither. */
static bool
is_own_response(const Read *read, const HttpFetchResponse *response)
{
    Str id = response->headers != NULL
                 ? HeaderList_Get(response->headers, STR(KEYED_RELAY_FIELD))
                 : STR("");

    return (id.length == 0 || Str_Equal(id, Str_FromC(read->relay->id))) &&
           number_field(response, KEYED_READ_FIELD, read->number) ==
               read->number;
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
        EventLog_Str(
            log, "state",
            response->code == 0
                ? HeaderList_Get(response->headers, STR(KEYED_STATE_FIELD))
                : STR(""));
        EventLog_End(log);
    }
}

static void start_read(Read *read);
static void read_log(Read *read);

static void
deliver(Read *read, const KeyedPage *page)
{
    KeyedPageHandler *handler = read->handler;
    void *user = read->user;

    if (page->code == 0 && !page->more) {
        LogAccess_OnKnown(read->source->access, Str_FromString(read->topic),
                          page->age);
    }
    destroy_read(read);
    handler(user, page);
}

static void
on_era(KeyedSource *this, uint64_t era)
{
    if (era == KEYED_ERA_UNKNOWN || era == this->era) {
        return;
    }
    if (this->era != KEYED_ERA_UNKNOWN) {
        HostList_OnRestored(this->list);
    }
    this->era = era;
}

static bool
is_older_era(const KeyedSource *this, uint64_t era)
{
    return era != KEYED_ERA_UNKNOWN && this->era != KEYED_ERA_UNKNOWN &&
           era < this->era;
}

/* Returns whether the relay did not respond, rather than refuse. */
static bool
is_timeout(const Read *read, const HttpFetchResponse *response)
{
    return response->code < 0 &&
           now(read->source) - read->sent_at >= RELAY_CONNECT_TIMEOUT_US / 2;
}

static void
eject(Read *read, const HttpFetchResponse *response)
{
    KeyedSource *this = read->source;
    Peer *relay = read->relay;
    bool late = is_timeout(read, response);
    bool refused = has_state(response, KEYED_STATE_STARTING) ||
                   (response->code < 0 && !late);
    Micros time = RELAY_EJECTION_TIME_US
                  << MIN(relay->timeouts, RELAY_EJECTION_DOUBLINGS_MAX);

    /* Several reads of a relay may be under way. */
    if (late && relay->ejected_until <= now(this)) {
        relay->timeouts++;
    }
    else if (!late) {
        relay->timeouts = 0;
        time = RELAY_EJECTION_TIME_US;
    }
    relay->refused_at = refused ? now(this) : -1;
    relay->ejected_until = MAX(
        relay->ejected_until,
        now(this) + (refused && is_starting(this) ? START_RETRY_US : time));
    if (has_state(response, KEYED_STATE_LOST) &&
        is_own_response(read, response)) {
        LogAccess_OnRelayLost(this->access);
    }
}

/* The list of hosts has no time limit. */
static bool
is_overdue(const Read *read)
{
    return read->age_max < 0 &&
           LogAccess_IsOverdue(read->source->access,
                               Str_FromString(read->topic));
}

static void
on_relay_failure(Read *read, const HttpFetchResponse *response)
{
    KeyedSource *this = read->source;
    KeyedPage page = {.code = ERR_UNAVAILABLE};
    bool late;

    if (Loop_IsClosing(this->loop)) {
        deliver(read, &page);
        return;
    }
    /* Relays of earlier versions do not serve the list of hosts. */
    if (read->age_max < 0 || response->code < 0 || response->status != 404) {
        eject(read, response);
        log_relay_failure(read, response);
    }
    else {
        read_log(read);
        return;
    }
    late = is_timeout(read, response);
    if (!(late && (read->timed_out || is_overdue(read))) &&
        !is_impatient(this) &&
        (choose_relay(this) != NULL || expects_relay(this))) {
        if (late) {
            read->timed_out = true;
            read->timeout -= read->wait;
            read->wait = 0;
        }
        start_read(read);
        return;
    }
    /* No wait: the log may have records that the relay lacks. */
    read->timeout -= read->wait;
    read->wait = 0;
    update_direct(this, NULL);
    read_log(read);
}

/* Returns NULL if the body is not compressed; an empty text, which is no page,
 * if it is damaged. */
static GString *
inflate_body(const HttpFetchResponse *response)
{
    GString *body;

    if (response->code < 0 ||
        !Str_Equal(
            HeaderList_Get(response->headers, STR(KEYED_ENCODING_FIELD)),
            STR(KEYED_DEFLATE))) {
        return NULL;
    }
    body = KeyedCodec_Inflate(response->body, RESPONSE_BYTES_MAX);
    return body != NULL ? body : g_string_new(NULL);
}

static void
on_relay_response(void *user, const HttpFetchResponse *response)
{
    Read *read = user;
    KeyedSource *this = read->source;
    KeyedPage page = {
        .era = era_of_relay(response),
        .age = (Micros)MIN(number_field(response, KEYED_AGE_FIELD, 0),
                           KEYED_AGE_MAX_MS) *
               MICROS_PER_MS};
    bool older = is_older_era(this, page.era);
    GString *inflated;
    GArray *records;

    if (response->code == 0 && response->status == 410 && !older &&
        is_own_response(read, response)) {
        page.code = ERR_EXPIRED;
        on_era(this, page.era);
        deliver(read, &page);
        return;
    }
    records = g_array_new(FALSE, FALSE, sizeof(KeyedRecord));
    inflated = inflate_body(response);
    if (!is_own_response(read, response) || response->code < 0 ||
        response->status != 200 || older ||
        KeyedCodec_Read(inflated != NULL ? Str_FromString(inflated)
                                         : response->body,
                        &page.end, records) < 0) {
        on_relay_failure(read, response);
    }
    else {
        read->relay->refused_at = -1;
        read->relay->timeouts = 0;
        page.records = (const KeyedRecord *)records->data;
        page.count = records->len;
        on_era(this, page.era);
        deliver(read, &page);
    }
    g_array_free(records, TRUE);
    if (inflated != NULL) {
        g_string_free(inflated, TRUE);
    }
}

static void
on_log_page(void *user, const KeyedPage *page)
{
    Read *read = user;
    KeyedSource *this = read->source;
    bool failed = page->code < 0 && page->code != ERR_EXPIRED;

    LogAccess_End(this->access, read->probe, failed);
    if (!failed) {
        on_era(this, page->era);
        HostList_ReadNow(this->list);
    }
    deliver(read, page);
}

static void
on_postponed(void *user)
{
    Read *read = user;

    g_queue_remove(read->source->postponed_reads, read);
    start_read(read);
}

static void
reject_read(void *user)
{
    KeyedPage page = {.code = ERR_LIMIT};
    Read *read = user;

    g_queue_remove(read->source->postponed_reads, read);
    deliver(read, &page);
}

static void
postpone(Read *read, Micros delay, LoopHandler *handler)
{
    LoopTimer_Destroy(read->timer);
    read->timer = LoopTimer_Create(read->source->loop, handler, read);
    LoopTimer_Start(read->timer, delay);
    g_queue_push_tail(read->source->postponed_reads, read);
}

static void
log_withheld(const Read *read)
{
    const KeyedSource *this = read->source;

    if (EventLog_Begin(this->log, LOG_LEVEL_INFO, "store-withheld")) {
        EventLog_Str(this->log, "topic", Str_FromString(read->topic));
        EventLog_CStr(this->log, "reason",
                      LogAccess_HasFailed(this->access) ? "failed" : "lost");
        EventLog_Int(this->log, "known_ms",
                     LogAccess_Age(this->access, Str_FromString(read->topic)) /
                         MICROS_PER_MS);
        EventLog_End(this->log);
    }
}

/* A call that may soon be made is waited for. */
static void
withhold(Read *read, Micros delay)
{
    if (delay <= LOG_PATIENCE_US) {
        postpone(read, delay, on_postponed);
        return;
    }
    log_withheld(read);
    postpone(read, 1, reject_read);
}

static void
read_log(Read *read)
{
    KeyedSource *this = read->source;
    const KeyedLog *keyed_log = this->keyed_log;
    Micros delay = LogAccess_CallDelay(
        this->access,
        read->age_max < 0 ? Str_FromString(read->topic) : STR(""));
    Micros wait;

    if (delay > 0) {
        withhold(read, delay);
        return;
    }
    read->probe = LogAccess_Begin(this->access);
    if (read->probe) {
        read->timeout -= read->wait;
        read->wait = 0;
    }
    wait = MIN(read->wait, DIRECT_WAIT_MAX_US);
    if (this->level != RELAY_LEVEL_LEAF) {
        wait = (Micros)(RELAY_DIRECT_WAIT_RATIO * (double)wait);
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

/* Returns for how long a host waits for a relay that may be down, besides its
 * patience: not for long where the log serves all hosts at once. */
static Micros
snapshot_timeout(const KeyedSource *this)
{
    Micros timeout =
        (Micros)HostList_Count(this->list) * START_PATIENCE_PER_HOST_US;

    return now(this) - this->relays_known_at < START_TIME_US
               ? CLAMP(timeout, START_TIMEOUT_MIN_US, RELAY_TIMEOUT_US)
               : RELAY_TIMEOUT_US;
}

/* Returns how long the relay may take to respond, and appends the query. */
static Micros
relay_query(const Read *read, GString *path)
{
    const KeyedSource *this = read->source;
    Micros longest =
        this->level == RELAY_LEVEL_LEAF ? RELAY_WAIT_US : ROOT_WAIT_US;
    Micros wait = MIN(
        read->wait, LogAccess_RelayWait(this->access,
                                        Str_FromString(read->topic), longest));

    if (read->age_max >= 0) {
        g_string_printf(path, "/newest?topic=%s&age_ms=%" G_GINT64_FORMAT,
                        read->topic->str, read->age_max / MICROS_PER_MS);
        return LOG_CALL_TIMEOUT_US;
    }
    if (read->newest) {
        wait = start_patience(read->source);
        g_string_printf(path, "/newest?topic=%s&wait_ms=%" G_GINT64_FORMAT,
                        read->topic->str, wait / MICROS_PER_MS);
        return wait + snapshot_timeout(read->source);
    }
    g_string_printf(path,
                    "/tail?topic=%s&from=%" G_GUINT64_FORMAT
                    "&wait_ms=%" G_GINT64_FORMAT,
                    read->topic->str, read->from, wait / MICROS_PER_MS);
    return wait + RELAY_TIMEOUT_US;
}

static void
read_relay(Read *read)
{
    GString *path = g_string_new(NULL);
    Micros timeout = relay_query(read, path);

    read->sent_at = now(read->source);
    read->number = ++read->source->read_count;
    g_string_append_printf(path, "&read=%" G_GUINT64_FORMAT, read->number);
    g_string_append(path, "&encoding=" KEYED_DEFLATE);
    HttpFetch_Send(read->relay->fetch, STR("GET"), Str_FromString(path), NULL,
                   STR(""), timeout, on_relay_response, read);
    g_string_free(path, TRUE);
}

/* A snapshot whose first page came from the log is read from the log to its
 * end, because relays do not serve snapshots in pages. */
static void
start_read(Read *read)
{
    KeyedSource *this = read->source;

    unref_peer(read->relay);
    read->relay = NULL;
    if (read->after->len == 0 && !is_starting_root(this)) {
        read->relay = ref_peer(choose_relay(this));
    }
    if (read->relay == NULL && read->after->len == 0 && expects_relay(this)) {
        postpone(read, START_RETRY_US, on_postponed);
        return;
    }
    if (read->after->len == 0) {
        update_direct(this, read->relay);
    }
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
    read->age_max = -1;
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

static void
read_list(void *user, Str after, Micros age_max, KeyedPageHandler *handler,
          void *handler_user)
{
    KeyedSource *this = user;
    Read *read = create_read(this, STR(HOSTS_TOPIC), after,
                             LOG_CALL_TIMEOUT_US, handler, handler_user);

    read->newest = true;
    read->age_max = age_max;
    start_read(read);
}

static void
append_to_list(void *user, const KeyedRecord *records, size_t count,
               KeyedAppendHandler *handler, void *handler_user)
{
    KeyedSource *this = user;

    this->log_calls++;
    this->keyed_log->append(this->keyed_log->self, STR(HOSTS_TOPIC), records,
                            count, LOG_CALL_TIMEOUT_US, handler, handler_user);
}

static RelayMember
to_member(Str id, const RosterEntry *entry)
{
    return (RelayMember){id, entry->domain, entry->region, entry->link_mbps};
}

/* Determines the parents of this host by the list of hosts. */
static void
update_parents(KeyedSource *this, const GArray *hosts)
{
    RelayMember *members = g_new(RelayMember, hosts->len + 1);
    RelayMember own = to_member(this->options.host, &this->options.entry);
    GPtrArray *parents = g_ptr_array_new_with_free_func(unref_peer);
    RelayPlan plan;

    for (guint i = 0; i < hosts->len; i++) {
        const ListedHost *host = &g_array_index(hosts, ListedHost, i);

        members[i] = to_member(host->id, &host->entry);
    }
    plan = RelayTree_Plan(members, hosts->len, &own);
    for (size_t i = 0; i < plan.parent_count; i++) {
        g_ptr_array_add(
            parents,
            peer_of(this, &g_array_index(hosts, ListedHost, plan.parents[i])));
    }
    this->level = plan.level;
    g_ptr_array_free(this->parents, TRUE);
    this->parents = parents;
    g_free(members);
}

static void
report_hosts(KeyedSource *this, const GArray *hosts)
{
    GArray *ids = g_array_new(FALSE, FALSE, sizeof(Str));

    HostList_Live(this->list, ids);
    this->options.on_hosts(this->options.user, (const Str *)ids->data,
                           ids->len, HostList_KnownFrom(this->list));
    g_array_free(ids, TRUE);
    if (this->options.on_entries != NULL) {
        this->options.on_entries(this->options.user,
                                 (const ListedHost *)hosts->data, hosts->len);
    }
}

static void
on_list_read(void *user, bool changed)
{
    KeyedSource *this = user;
    Read *read;

    if (!this->list_attempted) {
        this->relays_known_at = now(this);
    }
    if (changed) {
        GArray *hosts = g_array_new(FALSE, FALSE, sizeof(ListedHost));

        HostList_Hosts(this->list, hosts);
        update_parents(this, hosts);
        report_hosts(this, hosts);
        g_array_free(hosts, TRUE);
    }
    this->list_attempted = true;
    LogAccess_SetPlace(this->access, HostList_Count(this->list),
                       this->parents->len > 0,
                       this->level == RELAY_LEVEL_LEAF);
    while ((read = g_queue_pop_head(this->queued_reads)) != NULL) {
        start_read(read);
    }
}

/* ---- registration --------------------------------------------------- */

static void
destroy_registration(Registration *registration)
{
    LoopTimer_Destroy(registration->timer);
    unref_peer(registration->relay);
    g_string_free(registration->host, TRUE);
    g_string_free(registration->value, TRUE);
    g_free(registration);
}

static void
end_registration(Registration *registration, int code)
{
    KeyedAppendHandler *handler = registration->handler;
    void *user = registration->user;

    destroy_registration(registration);
    handler(user, code);
}

static void
on_own_append(void *user, int code)
{
    end_registration(user, code);
}

static void
register_at_log(Registration *registration)
{
    KeyedRecord record = {.key = Str_FromString(registration->host),
                          .value = Str_FromString(registration->value)};

    append_to_list(registration->source, &record, 1, on_own_append,
                   registration);
}

static void send_registration(void *user);

static void
on_registration_response(void *user, const HttpFetchResponse *response)
{
    Registration *registration = user;
    KeyedSource *this = registration->source;

    if (response->code == 0 && response->status == 200) {
        end_registration(registration, 0);
    }
    else if (Loop_IsClosing(this->loop)) {
        end_registration(registration, ERR_UNAVAILABLE);
    }
    else if (response->code < 0 &&
             now(this) - this->started < START_PATIENCE_MAX_US) {
        this->waiting_registration = registration;
        LoopTimer_Start(registration->timer, START_RETRY_US);
    }
    else {
        register_at_log(registration);
    }
}

/* Returns the host that writes the entry of this one; while the deployment
 * starts, one that the platform names. */
static Peer *
choose_registrar(const KeyedSource *this)
{
    Peer *relay = choose_relay(this);

    if (relay != NULL || this->list_attempted || this->seeds->len == 0) {
        return relay;
    }
    return g_ptr_array_index(
        this->seeds, (guint)(Str_Hash(this->options.host) % this->seeds->len));
}

static void
send_registration(void *user)
{
    Registration *registration = user;
    KeyedSource *this = registration->source;
    Peer *relay = choose_registrar(this);
    GString *path;

    this->waiting_registration = NULL;
    unref_peer(registration->relay);
    registration->relay = ref_peer(relay);
    if (relay == NULL) {
        register_at_log(registration);
        return;
    }
    if (is_same_address(&relay->address, &this->options.entry.relay)) {
        AppendBatch_Add(this->batch, Str_FromString(registration->host),
                        Str_FromString(registration->value), on_own_append,
                        registration);
        return;
    }
    path = g_string_new("/register?host=");
    g_string_append(path, registration->host->str);
    HttpFetch_Send(relay->fetch, STR("POST"), Str_FromString(path), NULL,
                   Str_FromString(registration->value), LOG_CALL_TIMEOUT_US,
                   on_registration_response, registration);
    g_string_free(path, TRUE);
}

static void
register_host(void *user, const KeyedRecord *record,
              KeyedAppendHandler *handler, void *handler_user)
{
    KeyedSource *this = user;
    Registration *registration = g_new0(Registration, 1);

    registration->source = this;
    registration->host = Str_ToString(record->key);
    registration->value = Str_ToString(record->value);
    registration->handler = handler;
    registration->user = handler_user;
    registration->timer =
        LoopTimer_Create(this->loop, send_registration, registration);
    send_registration(registration);
}

void
KeyedSource_RegisterFor(KeyedSource *this, Str host, Str value,
                        KeyedAppendHandler *handler, void *user)
{
    AppendBatch_Add(this->batch, host, value, handler, user);
}

/* ---- creation ------------------------------------------------------- */

static void
add_seeds(KeyedSource *this)
{
    for (size_t i = 0; i < this->options.seed_count; i++) {
        g_ptr_array_add(this->seeds, create_peer(this->loop, STR("seed"),
                                                 &this->options.seeds[i]));
    }
}

KeyedSource *
KeyedSource_Create(Loop *loop, const KeyedLog *keyed_log,
                   const KeyedSourceOptions *options, EventLog *log)
{
    KeyedSource *this = g_new0(KeyedSource, 1);
    HostListOptions list = {
        .host = options->host,
        .entry = options->entry,
        .first_start = options->first_start,
        .read = read_list,
        .append = append_to_list,
        .register_host = register_host,
        .on_read = on_list_read,
        .user = this,
    };

    this->loop = loop;
    this->keyed_log = keyed_log;
    this->clock = Loop_Clock(loop);
    this->log = log;
    this->options = *options;
    this->interface = (KeyedLog){this, read_newest, read_tail, NULL};
    this->level = RELAY_LEVEL_LEAF;
    this->parents = g_ptr_array_new_with_free_func(unref_peer);
    this->seeds = g_ptr_array_new_with_free_func(unref_peer);
    this->started = this->relays_known_at = now(this);
    this->access = LogAccess_Create(options->host, this->clock);
    this->era = KEYED_ERA_UNKNOWN;
    this->direct = true;
    this->queued_reads = g_queue_new();
    this->postponed_reads = g_queue_new();
    this->batch = AppendBatch_Create(loop, keyed_log, STR(HOSTS_TOPIC));
    add_seeds(this);
    this->list = HostList_Create(loop, &list, log);
    return this;
}

void
KeyedSource_Destroy(KeyedSource *this)
{
    if (this == NULL) {
        return;
    }
    AppendBatch_Destroy(this->batch);
    g_clear_pointer(&this->waiting_registration, destroy_registration);
    HostList_Destroy(this->list);
    g_queue_free_full(this->queued_reads, destroy_read);
    g_queue_free_full(this->postponed_reads, destroy_read);
    LogAccess_Destroy(this->access);
    g_ptr_array_free(this->parents, TRUE);
    g_ptr_array_free(this->seeds, TRUE);
    g_free(this);
}

const KeyedLog *
KeyedSource_Log(KeyedSource *this)
{
    return &this->interface;
}

bool
KeyedSource_IsDirect(const KeyedSource *this)
{
    return this->direct;
}

void
KeyedSource_ServeHosts(KeyedSource *this, Micros age_max,
                       KeyedPageHandler *handler, void *user)
{
    HostList_Serve(this->list, age_max, handler, user);
}

void
KeyedSource_RefreshHosts(KeyedSource *this, Str host)
{
    HostList_Refresh(this->list, host);
}

uint64_t
KeyedSource_LogCalls(const KeyedSource *this)
{
    return this->log_calls + AppendBatch_Calls(this->batch);
}
