#include "KeyedSource.h"

#include <glib.h>

#include "HttpFetch.h"
#include "KeyedCodec.h"

/* Hosts of a domain that the others try; each reads the log while asked. */
#define RELAYS_MAX 2
#define HOSTS_TOPIC "keyed.agatecrank-hosts"
/* Two reads and the pauses between them stay below the time in which a change
 * must be in force, also if a read misses a record that is written just
 * then. */
#define DIRECT_WAIT (900 * MICROS_PER_MS)
#define PEER_WAIT (400 * MICROS_PER_MS)
#define PEER_TIMEOUT (250 * MICROS_PER_MS)
#define PEER_CONNECT_TIMEOUT (150 * MICROS_PER_MS)
/* A host that did not answer is left out for so long. */
#define PEER_BAD_TIME (1 * MICROS_PER_S)
/* While the log does not answer, a host that is no relay asks it again after
 * this time only: all of them at the pace of the relays would be a load that
 * nobody needs. */
#define STORE_PAUSE (900 * MICROS_PER_MS)
/* A host that was asked reads the log itself for so long. */
#define ASKED_TIME (5 * MICROS_PER_S)
/* Hosts that start together are all listed when the list is read again. */
#define LIST_DELAY (900 * MICROS_PER_MS)
#define LIST_RETRY (3 * MICROS_PER_S)
/* Replaced hosts appear in the list by then. */
#define LIST_PERIOD (60 * MICROS_PER_S)
#define CALL_TIMEOUT (1 * MICROS_PER_S)
#define ANSWER_BYTES_MAX (64 * 1024 * 1024)

typedef struct Peer_ {
    char *id;
    HttpFetch *fetch;
    Micros bad_until;
} Peer;

struct KeyedSource_ {
    Loop *loop;
    const KeyedLog *store;
    const Clock *clock;
    EventLog *log;
    KeyedSourceOptions options;
    char *own_id;
    KeyedLog interface;
    GPtrArray *peers; /* Peer of the own domain, by id */
    GPtrArray *old;   /* Peer that is no longer listed */
    LoopTimer *list_timer;
    GQueue *held;           /* Read that waits for the list */
    GQueue *refused;        /* Read whose refusal is due */
    Micros asked_at;        /* -1 before the first time */
    Micros store_failed_at; /* -1 while it answers */
    uint64_t store_calls;
    bool list_known; /* it was read, or can not be read now */
    bool listed;     /* this host is in the list */
    bool direct;
};

/* A read that goes to a peer first. */
typedef struct Read_ {
    KeyedSource *source;
    Peer *peer;
    GString *topic;
    GString *after;
    uint64_t from;
    Micros wait;
    Micros timeout;
    LoopTimer *refusal;
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

static Micros
now(const KeyedSource *this)
{
    return Clock_Now(this->clock);
}

/* This host would be the relay if all answered. */
static bool
is_first(const KeyedSource *this)
{
    const Peer *first =
        this->peers->len > 0 ? g_ptr_array_index(this->peers, 0) : NULL;

    return first != NULL && g_strcmp0(this->own_id, first->id) < 0;
}

/* Returns the host to read through; NULL to read the log. */
static Peer *
choose_peer(const KeyedSource *this)
{
    if (is_first(this) ||
        (this->asked_at >= 0 && now(this) - this->asked_at < ASKED_TIME)) {
        return NULL;
    }
    for (guint i = 0; i < MIN(this->peers->len, RELAYS_MAX); i++) {
        Peer *peer = g_ptr_array_index(this->peers, i);

        if (peer->bad_until <= now(this)) {
            return g_strcmp0(this->own_id, peer->id) < 0 ? NULL : peer;
        }
    }
    return NULL;
}

static void
set_direct(KeyedSource *this, const Peer *peer)
{
    bool direct = peer == NULL;

    if (direct == this->direct) {
        return;
    }
    this->direct = direct;
    if (EventLog_Begin(this->log, LOG_LEVEL_INFO, "store-path")) {
        EventLog_C(this->log, "through", direct ? "none" : peer->id);
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

    LoopTimer_Destroy(read->refusal);
    g_string_free(read->topic, TRUE);
    g_string_free(read->after, TRUE);
    g_free(read);
}

static void
log_peer_failure(const Read *read, const HttpFetchResponse *answer)
{
    EventLog *log = read->source->log;

    if (EventLog_Begin(log, LOG_LEVEL_INFO, "peer-lost")) {
        EventLog_C(log, "peer", read->peer->id);
        EventLog_C(log, "reason",
                   answer->code < 0 ? Error_Name(answer->code) : "refused");
        EventLog_Int(log, "status", answer->status);
        EventLog_End(log);
    }
}

static void read_store(Read *read);

static void
deliver(Read *read, const KeyedPage *page)
{
    KeyedPageHandler *handler = read->handler;
    void *user = read->user;

    destroy_read(read);
    handler(user, page);
}

static void
on_peer_answer(void *user, const HttpFetchResponse *answer)
{
    Read *read = user;
    KeyedPage page = {0};
    GArray *records;

    if (answer->code == 0 && answer->status == 410) {
        page.code = ERR_EXPIRED;
        deliver(read, &page);
        return;
    }
    records = g_array_new(FALSE, FALSE, sizeof(KeyedRecord));
    if (answer->code < 0 || answer->status != 200 ||
        KeyedCodec_Read(answer->body, &page.end, records) < 0) {
        read->peer->bad_until = now(read->source) + PEER_BAD_TIME;
        log_peer_failure(read, answer);
        if (Loop_IsClosing(read->source->loop)) {
            page.code = ERR_UNAVAILABLE;
            deliver(read, &page);
        }
        else {
            /* Without waiting: the log may be ahead of the peer. */
            read->timeout -= read->wait;
            read->wait = 0;
            read_store(read);
        }
    }
    else {
        page.records = (const KeyedRecord *)records->data;
        page.count = records->len;
        deliver(read, &page);
    }
    g_array_free(records, TRUE);
}

static void
on_store_page(void *user, const KeyedPage *page)
{
    Read *read = user;
    bool failed = page->code < 0 && page->code != ERR_EXPIRED;

    read->source->store_failed_at = failed ? now(read->source) : -1;
    deliver(read, page);
}

static void
refuse_read(void *user)
{
    KeyedPage page = {.code = ERR_LIMIT};
    Read *read = user;

    g_queue_remove(read->source->refused, read);
    deliver(read, &page);
}

static bool
may_read_store(const KeyedSource *this)
{
    return this->peers->len == 0 || is_first(this) ||
           this->store_failed_at < 0 ||
           now(this) - this->store_failed_at >= STORE_PAUSE;
}

static void
read_store(Read *read)
{
    KeyedSource *this = read->source;
    const KeyedLog *store = this->store;
    Micros held = MIN(read->wait, DIRECT_WAIT);

    if (!may_read_store(this)) {
        read->refusal = LoopTimer_Create(this->loop, refuse_read, read);
        LoopTimer_Start(read->refusal, 1);
        g_queue_push_tail(this->refused, read);
        return;
    }
    this->store_calls++;
    if (read->newest) {
        store->read_newest(store->self, Str_FromString(read->topic),
                           Str_FromString(read->after), read->timeout,
                           on_store_page, read);
    }
    else {
        store->read_tail(store->self, Str_FromString(read->topic), read->from,
                         held, read->timeout - read->wait + held,
                         on_store_page, read);
    }
}

static void
read_peer(Read *read)
{
    Micros wait = MIN(read->wait, PEER_WAIT);
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
    HttpFetch_Send(read->peer->fetch, STR("GET"), Str_FromString(path), NULL,
                   STR(""), wait + PEER_TIMEOUT, on_peer_answer, read);
    g_string_free(path, TRUE);
}

/* A snapshot that was begun at the store is finished there. */
static void
start_read(Read *read)
{
    KeyedSource *this = read->source;

    read->peer = read->after->len == 0 ? choose_peer(this) : NULL;
    set_direct(this, read->peer);
    if (read->peer == NULL) {
        read_store(read);
    }
    else {
        read_peer(read);
    }
}

static void
add_read(KeyedSource *this, Read *read)
{
    if (this->list_known) {
        start_read(read);
    }
    else {
        g_queue_push_tail(this->held, read);
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
    add_read(self, read);
}

static void
read_tail(void *self, Str topic, uint64_t from, Micros wait, Micros timeout,
          KeyedPageHandler *handler, void *user)
{
    Read *read = create_read(self, topic, STR(""), timeout, handler, user);

    read->from = from;
    read->wait = wait;
    add_read(self, read);
}

/* ---- list of hosts -------------------------------------------------- */

static gint
compare_peers(gconstpointer a, gconstpointer b)
{
    return g_strcmp0((*(Peer *const *)a)->id, (*(Peer *const *)b)->id);
}

/* A value is "DOMAIN ADDRESS:PORT". */
static void
add_peer(KeyedSource *this, const KeyedRecord *record, GPtrArray *peers)
{
    HttpClientOptions options = {.connect_timeout = PEER_CONNECT_TIMEOUT};
    Str text = record->value, domain;
    Endpoint endpoint;
    Peer *peer;
    char *url;

    if (record->removed || !Str_Split(&text, ' ', &domain) ||
        !Str_Equal(domain, this->options.domain) ||
        Str_Equal(record->key, this->options.host) ||
        Endpoint_Parse(text, &endpoint) < 0) {
        return;
    }
    peer = g_new0(Peer, 1);
    peer->id = g_strndup(record->key.data, record->key.length);
    url = g_strdup_printf("http://%s:%u", endpoint.address, endpoint.port);
    peer->fetch = HttpFetch_Create(this->loop, Str_FromC(url),
                                   ANSWER_BYTES_MAX, &options, NULL);
    g_free(url);
    g_ptr_array_add(peers, peer);
}

static char *
own_value(const KeyedSource *this)
{
    return g_strdup_printf(STR_FORMAT " %s:%u", STR_ARGS(this->options.domain),
                           this->options.relay.address,
                           this->options.relay.port);
}

static bool
is_own(const KeyedSource *this, const KeyedRecord *record)
{
    char *value = own_value(this);
    bool same = Str_Equal(record->key, this->options.host) &&
                Str_Equal(record->value, Str_FromC(value));

    g_free(value);
    return same;
}

static void
take_list(KeyedSource *this, const KeyedPage *page)
{
    GPtrArray *peers = g_ptr_array_new_with_free_func(destroy_peer);

    this->listed = false;
    for (size_t i = 0; i < page->count; i++) {
        this->listed = this->listed || is_own(this, &page->records[i]);
        add_peer(this, &page->records[i], peers);
    }
    g_ptr_array_sort(peers, compare_peers);
    /* Reads may still be under way to those of before, but none to those
     * before them. */
    g_ptr_array_set_size(this->old, 0);
    g_ptr_array_extend_and_steal(this->old, this->peers);
    this->peers = peers;
}

static void
release_held(KeyedSource *this)
{
    Read *read;

    this->list_known = true;
    while ((read = g_queue_pop_head(this->held)) != NULL) {
        start_read(read);
    }
}

static void
on_listed(void *user, int code)
{
    KeyedSource *this = user;

    LoopTimer_Start(this->list_timer, code == 0 ? LIST_DELAY : LIST_RETRY);
}

static void
add_to_list(KeyedSource *this)
{
    const KeyedLog *store = this->store;
    char *value = own_value(this);

    this->store_calls++;
    store->append(store->self, STR(HOSTS_TOPIC), this->options.host,
                  Str_FromC(value), CALL_TIMEOUT, on_listed, this);
    g_free(value);
}

static void
on_list(void *user, const KeyedPage *page)
{
    KeyedSource *this = user;

    if (Loop_IsClosing(this->loop)) {
        return;
    }
    if (page->code == 0) {
        take_list(this, page);
    }
    release_held(this);
    if (page->code == 0 && !this->listed) {
        add_to_list(this);
        return;
    }
    LoopTimer_Start(this->list_timer,
                    page->code == 0 ? LIST_PERIOD : LIST_RETRY);
}

static void
read_list(void *user)
{
    KeyedSource *this = user;
    const KeyedLog *store = this->store;

    this->store_calls++;
    store->read_newest(store->self, STR(HOSTS_TOPIC), STR(""), CALL_TIMEOUT,
                       on_list, this);
}

/* ---- creation ------------------------------------------------------- */

KeyedSource *
KeyedSource_Create(Loop *loop, const KeyedLog *store,
                   const KeyedSourceOptions *options, EventLog *log)
{
    KeyedSource *this = g_new0(KeyedSource, 1);

    this->loop = loop;
    this->store = store;
    this->clock = Loop_Clock(loop);
    this->log = log;
    this->options = *options;
    this->own_id = g_strndup(options->host.data, options->host.length);
    this->interface = (KeyedLog){this, read_newest, read_tail, NULL};
    this->peers = g_ptr_array_new_with_free_func(destroy_peer);
    this->old = g_ptr_array_new_with_free_func(destroy_peer);
    this->asked_at = -1;
    this->store_failed_at = -1;
    this->direct = true;
    this->list_timer = LoopTimer_Create(loop, read_list, this);
    this->held = g_queue_new();
    this->refused = g_queue_new();
    LoopTimer_Start(this->list_timer, 1);
    return this;
}

void
KeyedSource_Destroy(KeyedSource *this)
{
    if (this == NULL) {
        return;
    }
    LoopTimer_Destroy(this->list_timer);
    g_free(this->own_id);
    g_queue_free_full(this->held, destroy_read);
    g_queue_free_full(this->refused, destroy_read);
    g_ptr_array_free(this->peers, TRUE);
    g_ptr_array_free(this->old, TRUE);
    g_free(this);
}

const KeyedLog *
KeyedSource_Log(KeyedSource *this)
{
    return &this->interface;
}

void
KeyedSource_OnAsked(KeyedSource *this)
{
    this->asked_at = now(this);
}

uint64_t
KeyedSource_StoreCalls(const KeyedSource *this)
{
    return this->store_calls;
}
