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
#define PEER_BAD_TIME (3 * MICROS_PER_S)
/* A host that was asked reads the log itself for so long. */
#define ASKED_TIME (5 * MICROS_PER_S)
/* Hosts that start together are all listed when the list is read. */
#define LIST_FIRST (300 * MICROS_PER_MS)
#define LIST_DELAY (600 * MICROS_PER_MS)
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
    Random *random;
    EventLog *log;
    KeyedSourceOptions options;
    KeyedLog interface;
    GPtrArray *peers; /* Peer of the own domain, by id */
    GPtrArray *old;   /* Peer that is no longer listed */
    LoopTimer *list_timer;
    Micros asked_at; /* -1 before the first time */
    uint64_t store_calls;
    bool listed; /* this host is in the list */
    bool direct;
};

/* A read that goes to a peer first. */
typedef struct Read_ {
    KeyedSource *source;
    Peer *peer;
    GString *topic;
    GString *after;
    uint64_t from;
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

/* Returns the host to read through; NULL to read the log. */
static Peer *
choose_peer(const KeyedSource *this)
{
    char *own = g_strndup(this->options.host.data, this->options.host.length);
    Peer *chosen = NULL;

    for (guint i = 0; i < MIN(this->peers->len, RELAYS_MAX) && chosen == NULL;
         i++) {
        Peer *peer = g_ptr_array_index(this->peers, i);

        if (peer->bad_until <= now(this)) {
            chosen = peer;
        }
    }
    if ((chosen != NULL && g_strcmp0(own, chosen->id) < 0) ||
        (this->asked_at >= 0 && now(this) - this->asked_at < ASKED_TIME)) {
        chosen = NULL;
    }
    g_free(own);
    return chosen;
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
destroy_read(Read *read)
{
    g_string_free(read->topic, TRUE);
    g_string_free(read->after, TRUE);
    g_free(read);
}

static Str
text_of(const GString *text)
{
    return (Str){text->str, text->len};
}

static void
log_peer_failure(const Read *read, const HttpFetchAnswer *answer)
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

/* The log is asked without waiting: it may be ahead of the peer. */
static void
read_store_instead(Read *read)
{
    KeyedSource *this = read->source;
    const KeyedLog *store = this->store;

    this->store_calls++;
    if (read->newest) {
        store->read_newest(store->self, text_of(read->topic),
                           text_of(read->after), CALL_TIMEOUT, read->handler,
                           read->user);
    }
    else {
        store->read_tail(store->self, text_of(read->topic), read->from, 0,
                         CALL_TIMEOUT, read->handler, read->user);
    }
    destroy_read(read);
}

static void
deliver(Read *read, const KeyedPage *page)
{
    KeyedPageHandler *handler = read->handler;
    void *user = read->user;

    destroy_read(read);
    handler(user, page);
}

static void
on_peer_answer(void *user, const HttpFetchAnswer *answer)
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
            read_store_instead(read);
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
read_peer(KeyedSource *this, Peer *peer, const char *path, Str topic,
          Str after, uint64_t from, Micros timeout, KeyedPageHandler *handler,
          void *user)
{
    Read *read = g_new0(Read, 1);

    read->source = this;
    read->peer = peer;
    read->topic = g_string_new_len(topic.data, (gssize)topic.length);
    read->after =
        g_string_new_len(after.length ? after.data : "", (gssize)after.length);
    read->from = from;
    read->newest = g_str_has_prefix(path, "/newest");
    read->handler = handler;
    read->user = user;
    HttpFetch_Send(peer->fetch, STR("GET"), Str_FromC(path), NULL, STR(""),
                   timeout, on_peer_answer, read);
}

static void
read_newest(void *self, Str topic, Str after, Micros timeout,
            KeyedPageHandler *handler, void *user)
{
    KeyedSource *this = self;
    Peer *peer = after.length == 0 ? choose_peer(this) : NULL;
    char *path;

    set_direct(this, peer);
    if (peer == NULL) {
        this->store_calls++;
        this->store->read_newest(this->store->self, topic, after, timeout,
                                 handler, user);
        return;
    }
    path = g_strdup_printf("/newest?topic=" STR_FORMAT, STR_ARGS(topic));
    read_peer(this, peer, path, topic, after, 0, PEER_TIMEOUT, handler, user);
    g_free(path);
}

static void
read_tail(void *self, Str topic, uint64_t from, Micros wait, Micros timeout,
          KeyedPageHandler *handler, void *user)
{
    KeyedSource *this = self;
    Peer *peer = choose_peer(this);
    char *path;

    set_direct(this, peer);
    if (peer == NULL) {
        Micros held = MIN(wait, DIRECT_WAIT);

        this->store_calls++;
        this->store->read_tail(this->store->self, topic, from, held,
                               timeout - wait + held, handler, user);
        return;
    }
    wait = MIN(wait, PEER_WAIT);
    path = g_strdup_printf("/tail?topic=" STR_FORMAT "&from=%" G_GUINT64_FORMAT
                           "&wait_ms=%" G_GINT64_FORMAT,
                           STR_ARGS(topic), from, wait / MICROS_PER_MS);
    read_peer(this, peer, path, topic, STR(""), from, wait + PEER_TIMEOUT,
              handler, user);
    g_free(path);
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

static void
on_list(void *user, const KeyedPage *page)
{
    KeyedSource *this = user;
    GPtrArray *peers;

    if (page->code < 0) {
        LoopTimer_Start(this->list_timer, LIST_RETRY);
        return;
    }
    peers = g_ptr_array_new_with_free_func(destroy_peer);
    for (size_t i = 0; i < page->count; i++) {
        add_peer(this, &page->records[i], peers);
    }
    g_ptr_array_sort(peers, compare_peers);
    /* Reads may still be under way to those of before. */
    g_ptr_array_extend_and_steal(this->old, this->peers);
    this->peers = peers;
    LoopTimer_Start(this->list_timer, LIST_PERIOD);
}

static void
on_listed(void *user, int code)
{
    KeyedSource *this = user;

    this->listed = code == 0;
    LoopTimer_Start(this->list_timer, code == 0 ? LIST_DELAY : LIST_RETRY);
}

static void
update_list(void *user)
{
    KeyedSource *this = user;
    const KeyedLog *store = this->store;
    char *value;

    this->store_calls++;
    if (this->listed) {
        store->read_newest(store->self, STR(HOSTS_TOPIC), STR(""),
                           CALL_TIMEOUT, on_list, this);
        return;
    }
    value =
        g_strdup_printf(STR_FORMAT " %s:%u", STR_ARGS(this->options.domain),
                        this->options.relay.address, this->options.relay.port);
    store->append(store->self, STR(HOSTS_TOPIC), this->options.host,
                  Str_FromC(value), CALL_TIMEOUT, on_listed, this);
    g_free(value);
}

/* ---- creation ------------------------------------------------------- */

KeyedSource *
KeyedSource_Create(Loop *loop, const KeyedLog *store,
                   const KeyedSourceOptions *options, Random *random,
                   EventLog *log)
{
    KeyedSource *this = g_new0(KeyedSource, 1);

    this->loop = loop;
    this->store = store;
    this->clock = Loop_Clock(loop);
    this->random = random;
    this->log = log;
    this->options = *options;
    this->interface = (KeyedLog){this, read_newest, read_tail, NULL};
    this->peers = g_ptr_array_new_with_free_func(destroy_peer);
    this->old = g_ptr_array_new_with_free_func(destroy_peer);
    this->asked_at = -1;
    this->direct = true;
    this->list_timer = LoopTimer_Create(loop, update_list, this);
    LoopTimer_Start(this->list_timer,
                    (Micros)((1 + Random_Unit(random) / 2) * LIST_FIRST));
    return this;
}

void
KeyedSource_Destroy(KeyedSource *this)
{
    if (this == NULL) {
        return;
    }
    LoopTimer_Destroy(this->list_timer);
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
