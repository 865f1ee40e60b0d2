#include <glib.h>
#include <string.h>

#include "HttpFetch.h"
#include "KeyedCodec.h"
#include "KeyedRelay.h"
#include "KeyedSource.h"

/* The tests run against a fake KeyedLog, which responds from an array of
 * records through timers of the loop. */

#define TOPIC "keyed.test"
#define RECORDS_MAX 64

typedef struct FakeLog_ {
    Loop *loop;
    KeyedLog interface;
    KeyedRecord records[RECORDS_MAX];
    char keys[RECORDS_MAX][16];
    size_t count;
    uint64_t first; /* offset of the oldest retained record */
    uint64_t era;
    size_t page_max; /* records in a page of a snapshot, 0 for no limit */
    bool unavailable;
    unsigned reads;
    unsigned snapshots;
    Micros snapshot_at; /* begin of the last one */
    char appended[128]; /* value of the last record that was appended */
    unsigned appends;
    size_t appended_records; /* in the last append */
    bool silent;             /* reads stay without a response */
    char (*others)[16];      /* more keys of each snapshot */
    size_t other_count;
    GList *pending; /* Reply */
} FakeLog;

typedef struct Reply_ {
    FakeLog *log;
    LoopTimer *timer;
    KeyedPageHandler *handler;
    void *user;
    KeyedPage page;
    GArray *records;
} Reply;

static void
destroy_reply(gpointer data)
{
    Reply *reply = data;

    g_array_free(reply->records, TRUE);
    LoopTimer_Destroy(reply->timer);
    g_free(reply);
}

static void
deliver(void *user)
{
    Reply *reply = user;

    reply->log->pending = g_list_remove(reply->log->pending, reply);

    reply->page.records = (const KeyedRecord *)reply->records->data;
    reply->page.count = reply->records->len;
    reply->handler(reply->user, &reply->page);
    destroy_reply(reply);
}

/* Fails all pending reads, as a client of the log does when the loop
 * closes. */
static void
fail_pending(FakeLog *log)
{
    while (log->pending != NULL) {
        Reply *reply = log->pending->data;

        reply->page.code = ERR_UNAVAILABLE;
        g_array_set_size(reply->records, 0);
        deliver(reply);
    }
}

static Reply *
create_reply(FakeLog *log, Micros delay, KeyedPageHandler *handler, void *user)
{
    Reply *reply = g_new0(Reply, 1);

    reply->log = log;
    reply->handler = handler;
    reply->user = user;
    reply->records = g_array_new(FALSE, FALSE, sizeof(KeyedRecord));
    reply->page.code = log->unavailable ? ERR_UNAVAILABLE : 0;
    reply->page.end = log->count;
    reply->page.era = log->era;
    reply->timer = LoopTimer_Create(log->loop, deliver, reply);
    if (!log->silent) {
        LoopTimer_Start(reply->timer, delay);
    }
    log->pending = g_list_prepend(log->pending, reply);
    return reply;
}

static bool
is_newest(const FakeLog *log, size_t index)
{
    for (size_t i = index + 1; i < log->count; i++) {
        if (Str_Equal(log->records[i].key, log->records[index].key)) {
            return false;
        }
    }
    return !log->records[index].removed;
}

static void
read_newest(void *self, Str topic, Str after, Micros timeout,
            KeyedPageHandler *handler, void *user)
{
    FakeLog *log = self;
    Reply *reply = create_reply(log, 100, handler, user);

    bool skip = after.length > 0;

    log->snapshots++;
    log->snapshot_at = Clock_Now(Loop_Clock(log->loop));
    for (size_t i = 0; i < log->count && !log->unavailable; i++) {
        if (!skip && is_newest(log, i)) {
            reply->page.more =
                log->page_max > 0 && reply->records->len == log->page_max;
            if (reply->page.more) {
                break;
            }
            g_array_append_val(reply->records, log->records[i]);
        }
        skip = skip && !Str_Equal(log->records[i].key, after);
    }
    for (size_t i = 0; i < log->other_count && !log->unavailable; i++) {
        KeyedRecord record = {.key = Str_FromC(log->others[i]),
                              .value = STR("z 127.0.0.1:80"),
                              .offset = 1000 + i};

        g_array_append_val(reply->records, record);
    }
}

static void
read_tail(void *self, Str topic, uint64_t from, Micros wait, Micros timeout,
          KeyedPageHandler *handler, void *user)
{
    FakeLog *log = self;
    bool empty = from >= log->count;
    Reply *reply =
        create_reply(log, empty ? MIN(wait, 2000) + 100 : 100, handler, user);

    log->reads++;
    if (from < log->first && !log->unavailable) {
        reply->page.code = ERR_EXPIRED;
    }
    for (uint64_t i = from; i < log->count && reply->page.code == 0; i++) {
        g_array_append_val(reply->records, log->records[i]);
    }
}

static void
append(void *self, Str topic, const KeyedRecord *records, size_t count,
       Micros timeout, KeyedAppendHandler *handler, void *user)
{
    FakeLog *log = self;

    log->appends++;
    log->appended_records = count;
    g_snprintf(log->appended, sizeof(log->appended), STR_FORMAT,
               STR_ARGS(records[0].value));
    handler(user, 0);
}

static void
write_record(FakeLog *log, const char *key, Str value)
{
    size_t i = log->count++;

    g_strlcpy(log->keys[i], key, sizeof(log->keys[i]));
    log->records[i] = (KeyedRecord){
        .key = Str_FromC(log->keys[i]),
        .value = value,
        .removed = value.length == 0,
        .offset = i,
    };
}

/* Plays the return of the log from a copy that has the first @count records. */
static void
restore(FakeLog *log, size_t count)
{
    log->count = count;
    log->era++;
}

typedef struct Fixture_ {
    Clock *clock;
    Loop *loop;
    Random *random;
    FakeLog log;
    KeyedFollower *follower;
    GString *seen;
    unsigned snapshots;
    unsigned outages;
    unsigned eras;
    Micros returned_at;
    size_t keys;
} Fixture;

static void
append_text(GString *seen, const KeyedRecord *record)
{
    g_string_append_printf(seen, STR_FORMAT "=" STR_FORMAT " ",
                           STR_ARGS(record->key), STR_ARGS(record->value));
}

static void
on_record(void *user, const KeyedRecord *record)
{
    Fixture *f = user;

    append_text(f->seen, record);
}

static void
on_snapshot(void *user, GHashTable *keys)
{
    Fixture *f = user;

    f->snapshots++;
    f->keys = g_hash_table_size(keys);
    /* The callback may already rely on a complete snapshot. */
    g_assert_true(KeyedFollower_IsComplete(f->follower));
}

static void
on_state(void *user, bool reachable, Micros since)
{
    Fixture *f = user;

    f->outages += reachable ? 0 : 1;
    f->returned_at = reachable ? since : f->returned_at;
}

static void
on_page(void *user)
{
}

static void
on_era(void *user, Micros since)
{
    Fixture *f = user;

    f->eras++;
    g_assert_cmpint(since, <=, Clock_Now(f->clock));
}

static void
set_up(Fixture *f, gconstpointer data)
{
    static const KeyedFollowerHandlers handlers = {on_record, on_snapshot,
                                                   on_state, on_page, on_era};
    KeyedFollowerOptions options = {
        .topic = STR(TOPIC),
        .read_interval = 100,
        .wait = 5000,
        .recovery_wait = 1000,
        .recovery_time = 1000,
        .timeout = MICROS_PER_S,
        .retry_delay = 1000,
    };

    memset(f, 0, sizeof(*f));
    f->clock = Clock_CreateSystem();
    f->random = Random_Create(1);
    f->loop = Loop_Create(f->clock, NULL, NULL);
    f->seen = g_string_new(NULL);
    f->log.loop = f->loop;
    f->log.interface = (KeyedLog){&f->log, read_newest, read_tail, append};
    write_record(&f->log, "a", STR("1"));
    write_record(&f->log, "b", STR("2"));
    f->follower = KeyedFollower_Create(f->loop, &f->log.interface, &options,
                                       &handlers, f, f->random, NULL);
}

static void
tear_down(Fixture *f, gconstpointer data)
{
    Loop_Close(f->loop);
    fail_pending(&f->log);
    KeyedFollower_Destroy(f->follower);
    Loop_Destroy(f->loop);
    g_string_free(f->seen, TRUE);
    Random_Destroy(f->random);
    Clock_Destroy(f->clock);
}

static void
run_until_seen(Fixture *f, const char *text)
{
    while (strstr(f->seen->str, text) == NULL) {
        Loop_RunOnce(f->loop);
    }
}

/* Guards against records lost between a snapshot and the tail after it. */
static void
test_snapshot_and_tail(Fixture *f, gconstpointer data)
{
    run_until_seen(f, "b=2 ");
    write_record(&f->log, "a", STR("3"));
    write_record(&f->log, "b", STR(""));
    run_until_seen(f, "a=3 b= ");
    g_assert_cmpuint(f->snapshots, ==, 1);
    g_assert_cmpuint(KeyedMirror_End(KeyedFollower_Mirror(f->follower)), ==,
                     4);
}

/* Guards against a follower that skips records which the log has dropped
 * instead of reading a snapshot again. */
static void
test_expired(Fixture *f, gconstpointer data)
{
    run_until_seen(f, "b=2 ");
    write_record(&f->log, "b", STR(""));
    write_record(&f->log, "c", STR("4"));
    f->log.first = 4;
    g_string_truncate(f->seen, 0);
    run_until_seen(f, "c=4 ");
    while (f->snapshots < 2) {
        Loop_RunOnce(f->loop);
    }
    g_assert_cmpuint(f->keys, ==, 2);
}

/* Guards against an outage whose end is not detected, or is reported with a
 * time outside of the outage. */
static void
test_outage(Fixture *f, gconstpointer data)
{
    Micros started_at = Clock_Now(f->clock), restored_at;

    run_until_seen(f, "b=2 ");
    f->log.unavailable = true;
    while (f->outages == 0) {
        Loop_RunOnce(f->loop);
    }
    g_assert_cmpint(KeyedFollower_Age(f->follower), ==, -1);
    write_record(&f->log, "a", STR("5"));
    f->log.unavailable = false;
    restored_at = Clock_Now(f->clock);
    run_until_seen(f, "a=5 ");
    /* The log may have been reachable since the start of the last failed
     * read. */
    g_assert_cmpint(f->returned_at, >, started_at);
    g_assert_cmpint(f->returned_at, <=, restored_at);
    g_assert_cmpint(KeyedFollower_Age(f->follower), >=, 0);
}

/* Guards against a follower that misses the records before its offset after the
 * log has come back from an older copy, and keeps those that the copy lacks. */
static void
test_restored_log(Fixture *f, gconstpointer data)
{
    run_until_seen(f, "b=2 ");
    g_string_truncate(f->seen, 0);
    restore(&f->log, 1);
    write_record(&f->log, "c", STR("3"));
    write_record(&f->log, "d", STR("4"));
    write_record(&f->log, "e", STR("5"));
    run_until_seen(f, "c=3 d=4 e=5 ");
    while (f->snapshots < 2) {
        Loop_RunOnce(f->loop);
    }
    g_assert_cmpuint(f->eras, ==, 1);
    g_assert_cmpuint(f->keys, ==, 4);
    g_assert_cmpuint(KeyedFollower_Era(f->follower), ==, 1);
    g_assert_false(KeyedFollower_IsRestored(f->follower));
    restore(&f->log, 0);
    restore(&f->log, 0);
    write_record(&f->log, "x", STR("6"));
    run_until_seen(f, "x=6 ");
    while (f->snapshots < 3) {
        Loop_RunOnce(f->loop);
    }
    g_assert_cmpuint(f->keys, ==, 1);
}

/* Guards against pages of an earlier era that arrive late, and against a
 * snapshot for each response of a log that tells eras at random. */
static void
test_lower_era(Fixture *f, gconstpointer data)
{
    Micros until;

    run_until_seen(f, "b=2 ");
    restore(&f->log, 2);
    while (f->snapshots < 2) {
        Loop_RunOnce(f->loop);
    }
    g_string_truncate(f->seen, 0);
    f->log.era = 0;
    write_record(&f->log, "c", STR("3"));
    until = Clock_Now(f->clock) + 50 * MICROS_PER_MS;
    while (Clock_Now(f->clock) < until) {
        Loop_RunOnce(f->loop);
    }
    g_assert_cmpstr(f->seen->str, ==, "");
    g_assert_cmpuint(f->log.snapshots, ==, 2);
    f->log.era = 1;
    run_until_seen(f, "c=3 ");
    g_assert_cmpuint(f->log.snapshots, ==, 2);
}

/* ---- relays --------------------------------------------------------- */

#define KEY "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff"

static void
set_flag(void *user)
{
    *(bool *)user = true;
}

typedef struct Host_ {
    Fixture *f;
    KeyedSource *source;
    KeyedRelay *relay;
    KeyedFollower *follower;
    FakeLog *log;
    GString *seen;
    GString *entries; /* of the last list */
    KeyedLog interface;
    bool cut;      /* from the log */
    size_t listed; /* live hosts */
    unsigned lists;
    unsigned calls; /* to the log */
} Host;

/* ---- the log as a host reaches it ----------------------------------- */

static bool
begin_call(Host *host)
{
    bool unavailable = host->f->log.unavailable;

    host->calls++;
    host->f->log.unavailable = unavailable || host->cut;
    return unavailable;
}

static void
host_read_newest(void *self, Str topic, Str after, Micros timeout,
                 KeyedPageHandler *handler, void *user)
{
    Host *host = self;
    bool unavailable = begin_call(host);

    read_newest(&host->f->log, topic, after, timeout, handler, user);
    host->f->log.unavailable = unavailable;
}

static void
host_read_tail(void *self, Str topic, uint64_t from, Micros wait,
               Micros timeout, KeyedPageHandler *handler, void *user)
{
    Host *host = self;
    bool unavailable = begin_call(host);

    read_tail(&host->f->log, topic, from, wait, timeout, handler, user);
    host->f->log.unavailable = unavailable;
}

static void
host_append(void *self, Str topic, const KeyedRecord *records, size_t count,
            Micros timeout, KeyedAppendHandler *handler, void *user)
{
    Host *host = self;

    host->calls++;
    append(&host->f->log, topic, records, count, timeout, handler, user);
}

static void
host_record(void *user, const KeyedRecord *record)
{
    Host *host = user;

    append_text(host->seen, record);
}

static void
host_snapshot(void *user, GHashTable *keys)
{
}

static void
host_state(void *user, bool reachable, Micros since)
{
}

static void
host_page(void *user)
{
    Host *host = user;

    KeyedRelay_Notify(host->relay);
}

static void
host_list(void *user, const Str *ids, size_t count, Micros known_from)
{
    Host *host = user;

    host->listed = count;
    host->lists++;
}

static void
host_entries(void *user, const ListedHost *hosts, size_t count)
{
    Host *host = user;

    g_string_truncate(host->entries, 0);
    for (size_t i = 0; i < count; i++) {
        g_autofree char *text = RosterEntry_Format(&hosts[i].entry);

        g_string_append_printf(host->entries, "[" STR_FORMAT " %s]",
                               STR_ARGS(hosts[i].id), text);
    }
}

static void
host_serve_hosts(void *user, Micros age_max, KeyedPageHandler *handler,
                 void *handler_user)
{
    Host *host = user;

    KeyedSource_ServeHosts(host->source, age_max, handler, handler_user);
}

static void
host_register_for(void *user, Str id, Str value, KeyedAppendHandler *handler,
                  void *handler_user)
{
    Host *host = user;

    KeyedSource_RegisterFor(host->source, id, value, handler, handler_user);
}

static void
start_host_in(Host *host, Fixture *f, const char *id, uint16_t port,
              const char *domain, uint32_t link_mbps)
{
    static const KeyedFollowerHandlers handlers = {
        host_record, host_snapshot, host_state, host_page, NULL};
    KeyedRelayOptions relay = {.address = "127.0.0.1",
                               .port = port,
                               .host = Str_FromC(id),
                               .serve_hosts = host_serve_hosts,
                               .register_for = host_register_for,
                               .user = host};
    KeyedSourceOptions source = {.host = Str_FromC(id),
                                 .entry = {.domain = Str_FromC(domain),
                                           .relay = {"127.0.0.1", port},
                                           .forward_port = 7734,
                                           .link_mbps = link_mbps,
                                           .key = {1}},
                                 .on_hosts = host_list,
                                 .on_entries = host_entries,
                                 .user = host};
    KeyedFollowerOptions options = {
        .topic = STR(TOPIC),
        .read_interval = 1000,
        .wait = 100000,
        .timeout = MICROS_PER_S,
        .retry_delay = 10000,
    };

    memset(host, 0, sizeof(*host));
    host->f = f;
    host->seen = g_string_new(NULL);
    host->entries = g_string_new(NULL);
    host->interface =
        (KeyedLog){host, host_read_newest, host_read_tail, host_append};
    host->relay = KeyedRelay_Create(f->loop, &relay, NULL);
    g_assert_nonnull(host->relay);
    host->source =
        KeyedSource_Create(f->loop, &host->interface, &source, NULL);
    host->follower =
        KeyedFollower_Create(f->loop, KeyedSource_Log(host->source), &options,
                             &handlers, host, f->random, NULL);
    KeyedRelay_Add(host->relay, STR(TOPIC), host->follower, 5 * MICROS_PER_S);
}

static void
start_host(Host *host, Fixture *f, const char *id, uint16_t port)
{
    start_host_in(host, f, id, port, "d", 0);
}

static void
stop_host(Host *host)
{
    KeyedRelay_Destroy(host->relay);
    KeyedFollower_Destroy(host->follower);
    KeyedSource_Destroy(host->source);
    g_string_free(host->seen, TRUE);
    g_string_free(host->entries, TRUE);
}

static uint16_t
free_port(Fixture *f)
{
    static const HttpServerHandlers none = {NULL, NULL, NULL, NULL, NULL};
    HttpServerOptions options = {.address = "127.0.0.1"};
    HttpServer *server = HttpServer_Create(f->loop, &options, &none, f, NULL);
    uint16_t port = HttpServer_Port(server);

    HttpServer_Destroy(server);
    return port;
}

/* Guards against hosts that all read the log directly, and against a host that
 * falls behind when its relay rejects reads. */
static void
test_relay(Fixture *f, gconstpointer data)
{
    uint16_t ports[2] = {free_port(f), free_port(f)};
    char value[2][32];
    Host first, second;

    for (int i = 0; i < 2; i++) {
        g_snprintf(value[i], sizeof(value[i]), "d 127.0.0.1:%u", ports[i]);
    }
    write_record(&f->log, "host-1", Str_FromC(value[0]));
    write_record(&f->log, "host-2", Str_FromC(value[1]));
    start_host(&first, f, "host-1", ports[0]);
    start_host(&second, f, "host-2", ports[1]);
    while (KeyedSource_IsDirect(second.source)) {
        Loop_RunOnce(f->loop);
    }
    g_assert_true(KeyedSource_IsDirect(first.source));
    g_assert_cmpuint(first.listed, ==, 2);
    write_record(&f->log, "x", STR("1"));
    while (strstr(second.seen->str, "x=1 ") == NULL) {
        Loop_RunOnce(f->loop);
    }
    g_assert_nonnull(strstr(first.seen->str, "x=1 "));
    /* The offset of the second host exists in the new era, too. */
    restore(&f->log, f->log.count - 1);
    write_record(&f->log, "y", STR("3"));
    while (strstr(second.seen->str, "y=3 ") == NULL) {
        Loop_RunOnce(f->loop);
    }
    /* The first host responds with 503 from now on. */
    first.cut = true;
    write_record(&f->log, "x", STR("2"));
    while (strstr(second.seen->str, "x=2 ") == NULL) {
        Loop_RunOnce(f->loop);
    }
    Loop_Close(f->loop);
    fail_pending(&f->log);
    stop_host(&first);
    stop_host(&second);
}

/* Runs the loop for some time. */
static void
run_for(Fixture *f, Micros time)
{
    Micros until = Clock_Now(f->clock) + time;
    bool over = false;
    LoopTimer *timer = LoopTimer_Create(f->loop, set_flag, &over);

    LoopTimer_Start(timer, time);
    while (Clock_Now(f->clock) < until) {
        Loop_RunOnce(f->loop);
    }
    LoopTimer_Destroy(timer);
}

static void
run_until_host_seen(Fixture *f, const Host *host, const char *text)
{
    while (strstr(host->seen->str, text) == NULL) {
        Loop_RunOnce(f->loop);
    }
}

#define CHAIN_HOSTS 6
/* A busy machine may take longer than the hosts wait for each other. */
#define START_MAX_US (10 * MICROS_PER_S)

/* A root, two more hosts that may be roots, and a domain with two relays and a
 * leaf, the last host. */
typedef struct Chain_ {
    Host hosts[CHAIN_HOSTS];
    char values[CHAIN_HOSTS][96];
    uint16_t ports[CHAIN_HOSTS];
} Chain;

static const struct {
    const char *domain;
    uint32_t link_mbps;
} chain_places[CHAIN_HOSTS] = {{"c", 200}, {"c", 150}, {"c", 140},
                               {"d", 100}, {"d", 50},  {"d", 20}};

static void
list_chain(Fixture *f, Chain *chain)
{
    for (int i = 0; i < CHAIN_HOSTS; i++) {
        g_autofree char *id = g_strdup_printf("host-%d", i);
        RosterEntry entry = {.domain = Str_FromC(chain_places[i].domain),
                             .relay = {"127.0.0.1", free_port(f)},
                             .forward_port = 7734,
                             .key = {1},
                             .link_mbps = chain_places[i].link_mbps};
        g_autofree char *value = RosterEntry_Format(&entry);

        chain->ports[i] = entry.relay.port;
        g_strlcpy(chain->values[i], value, sizeof(chain->values[i]));
        write_record(&f->log, id, Str_FromC(chain->values[i]));
    }
}

static Host *
start_chain_host(Fixture *f, Chain *chain, int i)
{
    /* The records before have the keys of the topic. */
    start_host_in(&chain->hosts[i], f, f->log.keys[2 + i], chain->ports[i],
                  chain_places[i].domain, chain_places[i].link_mbps);
    return &chain->hosts[i];
}

static void
start_chain(Fixture *f, Chain *chain)
{
    Micros until = Clock_Now(f->clock) + START_MAX_US;

    list_chain(f, chain);
    for (int i = 0; i < CHAIN_HOSTS; i++) {
        start_chain_host(f, chain, i);
    }
    run_for(f, 500 * MICROS_PER_MS);
    for (int i = 1; i < CHAIN_HOSTS; i++) {
        while (KeyedSource_IsDirect(chain->hosts[i].source)) {
            g_assert_cmpint(Clock_Now(f->clock), <, until);
            run_for(f, 10 * MICROS_PER_MS);
        }
    }
}

static void
stop_chain(Fixture *f, Chain *chain)
{
    Loop_Close(f->loop);
    fail_pending(&f->log);
    for (int i = 0; i < CHAIN_HOSTS; i++) {
        if (chain->hosts[i].source != NULL) {
            stop_host(&chain->hosts[i]);
        }
    }
}

/* Guards against each failure domain reading the log, and against a host that
 * falls behind when the host at the root of the relays loses the log. */
static void
test_relay_chain(Fixture *f, gconstpointer data)
{
    Chain chain = {.ports = {0}};
    Host *hosts = chain.hosts;
    unsigned calls[CHAIN_HOSTS];
    Micros began;

    start_chain(f, &chain);
    run_for(f, 200 * MICROS_PER_MS);
    for (int i = 0; i < CHAIN_HOSTS; i++) {
        calls[i] = hosts[i].calls;
    }
    write_record(&f->log, "x", STR("1"));
    run_until_host_seen(f, &hosts[5], "x=1 ");
    run_for(f, 300 * MICROS_PER_MS);
    for (int i = 1; i < CHAIN_HOSTS; i++) {
        g_assert_cmpuint(hosts[i].calls, ==, calls[i]);
    }
    g_assert_cmpuint(hosts[0].calls, >, calls[0]);
    hosts[0].cut = true;
    write_record(&f->log, "x", STR("2"));
    began = Clock_Now(f->clock);
    for (int i = 1; i < CHAIN_HOSTS; i++) {
        run_until_host_seen(f, &hosts[i], "x=2 ");
    }
    g_assert_cmpint(Clock_Now(f->clock) - began, <, 2 * MICROS_PER_S);
    g_assert_true(KeyedSource_IsDirect(hosts[1].source));
    g_assert_false(KeyedSource_IsDirect(hosts[5].source));
    stop_chain(f, &chain);
}

/* Guards against a host whose copy passes for new because each host on the way
 * counts its age from its own read. */
static void
test_age_over_relays(Fixture *f, gconstpointer data)
{
    Chain chain = {.ports = {0}};
    Host *hosts = chain.hosts;

    start_chain(f, &chain);
    run_for(f, 300 * MICROS_PER_MS);
    for (int i = 0; i < 20; i++) {
        run_for(f, 20 * MICROS_PER_MS);
        /* The log responds within 2.1 ms. */
        g_assert_cmpint(KeyedFollower_Age(hosts[5].follower), >=,
                        KeyedFollower_Age(hosts[0].follower) -
                            50 * MICROS_PER_MS);
    }
    /* Reads of the root stay without a response from here on. */
    f->log.silent = true;
    run_for(f, 600 * MICROS_PER_MS);
    for (int i = 0; i < CHAIN_HOSTS; i++) {
        Micros age = KeyedFollower_Age(hosts[i].follower);

        g_assert_true(age < 0 || age >= 500 * MICROS_PER_MS);
    }
    stop_chain(f, &chain);
}

/* Adds hosts of another domain to the list. */
static void
list_others(Fixture *f)
{
    static char ids[400][16];

    for (size_t i = 0; i < G_N_ELEMENTS(ids); i++) {
        g_snprintf(ids[i], sizeof(ids[i]), "other-%zu", i);
    }
    f->log.others = ids;
    f->log.other_count = G_N_ELEMENTS(ids);
}

/* Guards against calls to an unreachable log that grow with the hosts. */
static void
test_lost_relays(Fixture *f, gconstpointer data)
{
    Chain chain = {.ports = {0}};
    Host *hosts = chain.hosts;
    unsigned calls;

    list_others(f);
    start_chain(f, &chain);
    f->log.unavailable = true;
    run_for(f, 1 * MICROS_PER_S);
    calls = hosts[5].calls;
    /* 400 hosts that each call once in 6 s. */
    run_for(f, 3 * MICROS_PER_S);
    g_assert_cmpuint(hosts[5].calls - calls, <=, 1);
    g_assert_cmpuint(hosts[0].calls, >, 6);
    f->log.unavailable = false;
    write_record(&f->log, "x", STR("1"));
    for (int i = 0; i < CHAIN_HOSTS; i++) {
        run_until_host_seen(f, &hosts[i], "x=1 ");
    }
    g_assert_cmpuint(hosts[5].calls - calls, <=, 1);
    stop_chain(f, &chain);
}

/* Guards against a host that falls behind though the log serves it, because it
 * serves none of its relays. */
static void
test_access_without_relays(Fixture *f, gconstpointer data)
{
    Chain chain = {.ports = {0}};
    Host *leaf = &chain.hosts[5];
    Micros began;

    list_others(f);
    start_chain(f, &chain);
    for (int i = 0; i < 5; i++) {
        chain.hosts[i].cut = true;
    }
    write_record(&f->log, "x", STR("1"));
    began = Clock_Now(f->clock);
    run_until_host_seen(f, leaf, "x=1 ");
    g_assert_cmpint(Clock_Now(f->clock) - began, <, 2 * MICROS_PER_S);
    for (int i = 2; i < 5; i++) {
        static char values[5][2];
        g_autofree char *text = g_strdup_printf("x=%d ", i);

        g_snprintf(values[i], sizeof(values[i]), "%d", i);
        write_record(&f->log, "x", Str_FromC(values[i]));
        began = Clock_Now(f->clock);
        run_until_host_seen(f, leaf, text);
        g_assert_cmpint(Clock_Now(f->clock) - began, <, 2 * MICROS_PER_S);
        run_for(f, 700 * MICROS_PER_MS);
    }
    stop_chain(f, &chain);
}

typedef struct Result_ {
    int status;
    bool ended;
} Result;

static void
on_result(void *user, const HttpFetchResponse *response)
{
    Result *result = user;

    result->status = response->status;
    result->ended = true;
}

static int
post(Fixture *f, HttpFetch *fetch, const char *path, Str body)
{
    Result result = {0, false};

    HttpFetch_Send(fetch, STR("POST"), Str_FromC(path), NULL, body,
                   2 * MICROS_PER_S, on_result, &result);
    while (!result.ended) {
        Loop_RunOnce(f->loop);
    }
    return result.status;
}

/* Guards against an append for each host that starts, and against a host that
 * writes the entry of another address. */
static void
test_registration(Fixture *f, gconstpointer data)
{
    uint16_t port = free_port(f);
    g_autofree char *url = g_strdup_printf("http://127.0.0.1:%u", port);
    g_autofree char *long_path = g_strdup_printf("/register?host=%0300d", 1);
    Result results[40] = {{0, false}};
    HttpFetch *fetch;
    unsigned appends;
    Host host;

    start_host(&host, f, "host-1", port);
    while (host.lists == 0) {
        Loop_RunOnce(f->loop);
    }
    run_for(f, 200 * MICROS_PER_MS);
    fetch = HttpFetch_Create(f->loop, Str_FromC(url), 1000, NULL, NULL);
    appends = f->log.appends;
    for (size_t i = 0; i < 15; i++) {
        g_autofree char *path = g_strdup_printf("/register?host=h-%zu", i);

        HttpFetch_Send(fetch, STR("POST"), Str_FromC(path), NULL,
                       STR("d;81;" KEY ";20; 127.0.0.1:80"), 2 * MICROS_PER_S,
                       on_result, &results[i]);
    }
    for (size_t i = 0; i < 15; i++) {
        while (!results[i].ended) {
            Loop_RunOnce(f->loop);
        }
        g_assert_cmpint(results[i].status, ==, 200);
    }
    g_assert_cmpuint(f->log.appends - appends, ==, 1);
    g_assert_cmpuint(f->log.appended_records, ==, 15);
    g_assert_cmpint(post(f, fetch, "/register?host=x",
                         STR("d;81;" KEY ";20; 10.1.2.3:80")),
                    ==, 400);
    g_assert_cmpint(
        post(f, fetch, long_path, STR("d;81;" KEY ";20; 127.0.0.1:80")), ==,
        400);
    g_assert_cmpint(post(f, fetch, "/register?host=x", STR("")), ==, 400);
    g_assert_cmpint(
        post(f, fetch, "/register", STR("d;81;" KEY ";20; 127.0.0.1:80")), ==,
        400);
    g_assert_cmpuint(f->log.appends - appends, ==, 1);
    Loop_Close(f->loop);
    fail_pending(&f->log);
    HttpFetch_Destroy(fetch);
    stop_host(&host);
}

/* Guards against a host that reads the log because its relay has started just
 * before it. */
static void
test_starting_relay(Fixture *f, gconstpointer data)
{
    Chain chain = {.ports = {0}};
    Host *leaf;

    list_chain(f, &chain);
    list_others(f);
    leaf = start_chain_host(f, &chain, 5);
    run_for(f, 60 * MICROS_PER_MS);
    g_assert_cmpuint(leaf->calls, ==, 1); /* the list of hosts */
    start_chain_host(f, &chain, 3);
    start_chain_host(f, &chain, 4);
    run_for(f, 60 * MICROS_PER_MS);
    start_chain_host(f, &chain, 0);
    run_until_host_seen(f, leaf, "b=2 ");
    g_assert_cmpuint(leaf->calls, ==, 1);
    g_assert_cmpuint(chain.hosts[3].calls, ==, 1);
    stop_chain(f, &chain);
}

/* Guards against a host of a small deployment that waits for relays, though the
 * log serves all hosts at once. */
static void
test_start_of_few(Fixture *f, gconstpointer data)
{
    Micros began = Clock_Now(f->clock);
    Chain chain = {.ports = {0}};
    Host *leaf;

    list_chain(f, &chain);
    leaf = start_chain_host(f, &chain, 5);
    run_until_host_seen(f, leaf, "b=2 ");
    /* The patience of a host among hundreds. */
    g_assert_cmpint(Clock_Now(f->clock) - began, <, 400 * MICROS_PER_MS);
    stop_chain(f, &chain);
}

/* Guards against pages of another host, which has got the address of one that
 * is gone. */
static void
test_reused_address(Fixture *f, gconstpointer data)
{
    uint16_t port = free_port(f);
    g_autofree char *value = g_strdup_printf("e 127.0.0.1:%u", port);
    Host other, host;
    FakeLog foreign = {.loop = f->loop};
    Fixture elsewhere = *f;

    elsewhere.log = foreign;
    elsewhere.log.interface =
        (KeyedLog){&elsewhere.log, read_newest, read_tail, append};
    write_record(&elsewhere.log, "a", STR("foreign"));
    start_host(&other, &elsewhere, "other-1", port);
    run_until_host_seen(f, &other, "a=foreign ");
    write_record(&f->log, "host-1", Str_FromC(value));
    start_host(&host, f, "host-2", free_port(f));
    run_for(f, 800 * MICROS_PER_MS);
    write_record(&f->log, "x", STR("1"));
    run_until_host_seen(f, &host, "x=1 ");
    g_assert_null(strstr(host.seen->str, "foreign"));
    Loop_Close(f->loop);
    fail_pending(&f->log);
    fail_pending(&elsewhere.log);
    stop_host(&host);
    stop_host(&other);
}

/* A relay whose responses are those to an earlier read. */
static void
respond_late(void *user, HttpRequest *request)
{
    HeaderList *headers = HeaderList_Create();
    GArray *records = g_array_new(FALSE, FALSE, sizeof(KeyedRecord));
    KeyedRecord record = {STR("a"), STR("late"), false, 0};
    GString *body = g_string_new(NULL);

    g_array_append_val(records, record);
    KeyedCodec_Write(1, records, body);
    HeaderList_Add(headers, STR(KEYED_RELAY_FIELD), STR("host-1"));
    HeaderList_Add(headers, STR(KEYED_READ_FIELD), STR("0"));
    HttpRequest_Respond(request, 200, headers, Str_FromString(body));
    g_string_free(body, TRUE);
    g_array_free(records, TRUE);
    HeaderList_Destroy(headers);
}

static void
ignore_request(void *user, HttpRequest *request)
{
}

static void
ignore_body(void *user, HttpRequest *request, Str data)
{
}

static void
ignore_end(void *user, HttpRequest *request, bool complete)
{
}

/* Guards against a second copy of a page, on a connection that is in use
 * again. */
static void
test_repeated_page(Fixture *f, gconstpointer data)
{
    static const HttpServerHandlers handlers = {
        ignore_request, ignore_body, respond_late, ignore_request, ignore_end};
    HttpServerOptions options = {.address = "127.0.0.1", .keep_alive_s = 5};
    HttpServer *relay =
        HttpServer_Create(f->loop, &options, &handlers, f, NULL);
    g_autofree char *value =
        g_strdup_printf("e 127.0.0.1:%u", HttpServer_Port(relay));
    Host host;

    write_record(&f->log, "host-1", Str_FromC(value));
    start_host(&host, f, "host-2", free_port(f));
    run_for(f, 300 * MICROS_PER_MS);
    write_record(&f->log, "x", STR("1"));
    run_until_host_seen(f, &host, "x=1 ");
    g_assert_null(strstr(host.seen->str, "late"));
    Loop_Close(f->loop);
    fail_pending(&f->log);
    stop_host(&host);
    HttpServer_Destroy(relay);
}

/* Guards against a host that starts and waits for relays that don't. */
static void
test_absent_relay(Fixture *f, gconstpointer data)
{
    Micros began = Clock_Now(f->clock);
    Host host;

    write_record(&f->log, "host-1", STR("d 127.0.0.1:80"));
    start_host(&host, f, "host-2", free_port(f));
    run_until_host_seen(f, &host, "b=2 ");
    g_assert_cmpint(Clock_Now(f->clock) - began, <, 600 * MICROS_PER_MS);
    Loop_Close(f->loop);
    fail_pending(&f->log);
    stop_host(&host);
}

/* Guards against a host that shares with the hosts of the first page of the
 * list only. */
static void
test_list_in_pages(Fixture *f, gconstpointer data)
{
    char value[32];
    uint16_t port = free_port(f);
    Host host;

    g_snprintf(value, sizeof(value), "d 127.0.0.1:%u", port);
    for (int i = 0; i < 7; i++) {
        g_autofree char *id = g_strdup_printf("host-%d", i);

        write_record(&f->log, id, Str_FromC(value));
    }
    f->log.page_max = 3;
    start_host(&host, f, "host-6", port);
    while (host.listed == 0) {
        Loop_RunOnce(f->loop);
    }
    g_assert_cmpuint(host.listed, ==, 7);
    Loop_Close(f->loop);
    fail_pending(&f->log);
    stop_host(&host);
}

#define OTHER_KEY                                                             \
    "ff112233445566778899aabbccddeeff00112233445566778899aabbccddeeff"

/* Guards against hosts whose keys are not known, and against a malformed key
 * that makes a host count as gone. */
static void
test_entries(Fixture *f, gconstpointer data)
{
    Host host;

    write_record(&f->log, "host-1", STR("d;81;" KEY " 127.0.0.1:80"));
    write_record(&f->log, "host-2", STR("d;81;00 127.0.0.1:80"));
    write_record(&f->log, "host-3", STR("e 127.0.0.1:80"));
    write_record(&f->log, "host-4", STR("e 127.0.0.1"));
    start_host(&host, f, "host-5", free_port(f));
    while (f->log.appended[0] == '\0') {
        Loop_RunOnce(f->loop);
    }
    g_assert_true(g_str_has_prefix(f->log.appended, "d;7734;0100"));
    g_assert_cmpuint(host.listed, ==, 3);
    g_assert_nonnull(
        strstr(host.entries->str, "[host-1 d;81;" KEY " 127.0.0.1:80]"));
    g_assert_nonnull(strstr(host.entries->str, "[host-2 d 127.0.0.1:80]"));
    g_assert_nonnull(strstr(host.entries->str, "[host-3 e 127.0.0.1:80]"));
    g_assert_null(strstr(host.entries->str, "host-4"));
    Loop_Close(f->loop);
    fail_pending(&f->log);
    stop_host(&host);
}

/* Starts a host that has read a list with its own entry. */
static void
start_listed_host(Host *host, Fixture *f)
{
    unsigned lists;

    write_record(&f->log, "host-1", STR("d 127.0.0.1:80"));
    start_host(host, f, "host-5", free_port(f));
    while (f->log.appended[0] == '\0') {
        Loop_RunOnce(f->loop);
    }
    write_record(&f->log, "host-5", Str_FromC(f->log.appended));
    lists = host->lists;
    while (host->lists == lists) {
        Loop_RunOnce(f->loop);
    }
}

/* Guards against a host that knows the key of a restarted one seconds later,
 * because the list has just been read or the restart is not the first one. */
static void
test_refresh(Fixture *f, gconstpointer data)
{
    static const char *const values[] = {"d;81;" KEY " 127.0.0.1:80",
                                         "d;82;" OTHER_KEY " 127.0.0.1:80"};
    bool late = false;
    LoopTimer *timer = LoopTimer_Create(f->loop, set_flag, &late);
    Host host;

    start_listed_host(&host, f);
    for (int i = 0; i < 5; i++) {
        const char *value = values[i % 2];
        g_autofree char *entry = g_strdup_printf("[host-1 %s]", value);
        unsigned lists = host.lists;

        write_record(&f->log, "host-1", Str_FromC(value));
        LoopTimer_Start(timer, 2 * MICROS_PER_S);
        while (host.lists == lists) {
            for (int j = 0; j < 100; j++) {
                KeyedSource_RefreshHosts(host.source, STR("host-1"));
            }
            Loop_RunOnce(f->loop);
        }
        g_assert_false(late);
        g_assert_nonnull(strstr(host.entries->str, entry));
    }
    LoopTimer_Destroy(timer);
    Loop_Close(f->loop);
    fail_pending(&f->log);
    stop_host(&host);
}

/* Guards against a host that starts while the log is unreachable and knows no
 * other host for seconds after it could read the list. */
static void
test_list_after_outage(Fixture *f, gconstpointer data)
{
    bool late = false;
    LoopTimer *timer = LoopTimer_Create(f->loop, set_flag, &late);
    unsigned snapshots;
    Host host;

    write_record(&f->log, "host-1", STR("d 127.0.0.1:80"));
    f->log.unavailable = true;
    start_host(&host, f, "host-5", free_port(f));
    snapshots = f->log.snapshots;
    while (f->log.snapshots < snapshots + 4) {
        Loop_RunOnce(f->loop);
    }
    g_assert_cmpuint(host.lists, ==, 0);
    f->log.unavailable = false;
    LoopTimer_Start(timer, 2 * MICROS_PER_S);
    while (host.lists == 0) {
        Loop_RunOnce(f->loop);
    }
    g_assert_false(late);
    LoopTimer_Destroy(timer);
    Loop_Close(f->loop);
    fail_pending(&f->log);
    stop_host(&host);
}

/* Guards against readings of the list without bound while a host is denied, and
 * against several within a second. */
static void
test_refresh_bound(Fixture *f, gconstpointer data)
{
    bool over = false;
    LoopTimer *timer = LoopTimer_Create(f->loop, set_flag, &over);
    Micros began, last;
    unsigned first, lists;
    Host host;

    start_listed_host(&host, f);
    began = Clock_Now(f->clock);
    last = f->log.snapshot_at;
    first = lists = f->log.snapshots;
    LoopTimer_Start(timer, 5 * MICROS_PER_S);
    while (!over) {
        KeyedSource_RefreshHosts(host.source, STR("host-1"));
        Loop_RunOnce(f->loop);
        if (f->log.snapshots > lists) {
            g_assert_cmpuint(f->log.snapshots, ==, lists + 1);
            g_assert_cmpint(f->log.snapshot_at - last, >=,
                            900 * MICROS_PER_MS);
            last = f->log.snapshot_at;
            lists = f->log.snapshots;
        }
    }
    g_assert_cmpint(lists - first, <=,
                    3 + (Clock_Now(f->clock) - began) / (10 * MICROS_PER_S));
    LoopTimer_Destroy(timer);
    Loop_Close(f->loop);
    fail_pending(&f->log);
    stop_host(&host);
}

/* Guards against reads beyond the end of a truncated message of a peer. */
static void
test_codec(void)
{
    KeyedRecord record = {STR("key"), STR("value"), false, 7};
    KeyedRecord removed = {STR("gone"), STR(""), true, 8};
    GArray *records = g_array_new(FALSE, FALSE, sizeof(KeyedRecord));
    GArray *read = g_array_new(FALSE, FALSE, sizeof(KeyedRecord));
    GString *text = g_string_new(NULL);
    uint64_t end;

    g_array_append_val(records, record);
    g_array_append_val(records, removed);
    KeyedCodec_Write(9, records, text);
    g_assert_cmpint(KeyedCodec_Read(Str_FromString(text), &end, read), ==, 0);
    g_assert_cmpuint(end, ==, 9);
    g_assert_cmpuint(read->len, ==, 2);
    g_assert_true(
        Str_Equal(g_array_index(read, KeyedRecord, 0).value, STR("value")));
    g_assert_true(g_array_index(read, KeyedRecord, 1).removed);
    for (gsize n = 0; n < text->len; n++) {
        int code;

        g_array_set_size(read, 0);
        code = KeyedCodec_Read((Str){text->str, n}, &end, read);
        g_assert_true(code == ERR_PARSE || n == 8 || n == 8 + 16 + 8);
    }
    g_array_free(records, TRUE);
    g_array_free(read, TRUE);
    g_string_free(text, TRUE);
}

#define PAGE_RECORDS 60
#define DAMAGED_PAGES 3000
#define PAGE_BYTES_MAX 100000

static GString *
create_page(void)
{
    GArray *records = g_array_new(FALSE, FALSE, sizeof(KeyedRecord));
    GString *text = g_string_new(NULL);

    for (unsigned i = 0; i < PAGE_RECORDS; i++) {
        KeyedRecord record = {
            STR("host-1"),
            STR("d;81;" KEY " 127.0.0.1:80 0123456789abcdef 0123456789abcdef"),
            false, i};

        g_array_append_val(records, record);
    }
    KeyedCodec_Write(PAGE_RECORDS, records, text);
    g_array_free(records, TRUE);
    return text;
}

/* Guards against a page that ends early and passes for whole, and against a
 * host that crashes or fills its memory because of a damaged one. */
static void
test_damaged_pages(void)
{
    GString *page = create_page();
    GString *deflated = KeyedCodec_Deflate(page);
    GArray *records = g_array_new(FALSE, FALSE, sizeof(KeyedRecord));
    Random *random = Random_Create(36);
    GString *text;
    uint64_t end;

    g_assert_nonnull(deflated);
    g_assert_cmpuint(deflated->len, <, page->len / 2);
    text = KeyedCodec_Inflate(Str_FromString(deflated), PAGE_BYTES_MAX);
    g_assert_cmpmem(text->str, text->len, page->str, page->len);
    g_string_free(text, TRUE);
    for (size_t n = 0; n < deflated->len; n++) {
        g_assert_null(
            KeyedCodec_Inflate((Str){deflated->str, n}, PAGE_BYTES_MAX));
    }
    g_assert_null(KeyedCodec_Inflate(Str_FromString(deflated), page->len - 1));
    for (unsigned i = 0; i < DAMAGED_PAGES; i++) {
        GString *damaged =
            g_string_new_len(deflated->str, (gssize)deflated->len);

        for (unsigned k = 0; k <= i % 4; k++) {
            damaged->str[Random_Below(random, damaged->len)] =
                (char)Random_Below(random, 256);
        }
        text = KeyedCodec_Inflate(Str_FromString(damaged), PAGE_BYTES_MAX);
        if (text != NULL) {
            g_array_set_size(records, 0);
            KeyedCodec_Read(Str_FromString(text), &end, records);
            g_string_free(text, TRUE);
        }
        g_string_free(damaged, TRUE);
    }
    g_array_free(records, TRUE);
    Random_Destroy(random);
    g_string_free(deflated, TRUE);
    g_string_free(page, TRUE);
}

/* Guards against a relay that one malformed request ends. */
static void
test_malformed_requests(Fixture *f, gconstpointer data)
{
    static const char *const pieces[] = {"/newest",
                                         "/tail",
                                         "/register",
                                         "?",
                                         "&",
                                         "topic=",
                                         TOPIC,
                                         "keyed.agatecrank-hosts",
                                         "from=",
                                         "wait_ms=",
                                         "age_ms=",
                                         "host=",
                                         "-1",
                                         "0",
                                         "18446744073709551615",
                                         "99999999999999999999",
                                         "encoding=deflate",
                                         "x",
                                         "%00",
                                         "=",
                                         "wait_ms=1"};
    uint16_t port = free_port(f);
    g_autofree char *url = g_strdup_printf("http://127.0.0.1:%u", port);
    HttpFetch *fetch;
    Host host;

    start_host(&host, f, "host-1", port);
    run_until_host_seen(f, &host, "b=2 ");
    fetch = HttpFetch_Create(f->loop, Str_FromC(url), 100000, NULL, NULL);
    for (unsigned i = 0; i < 400; i++) {
        GString *path = g_string_new("/");
        Result result = {0, false};
        size_t length = Random_Below(f->random, 9);

        for (size_t k = 0; k < length; k++) {
            g_string_append(
                path, pieces[Random_Below(f->random, G_N_ELEMENTS(pieces))]);
        }
        /* Long polls of any length are not waited for. */
        HttpFetch_Send(fetch, i % 2 == 0 ? STR("GET") : STR("POST"),
                       Str_FromString(path), NULL,
                       i % 3 == 0 ? STR("d;81;" KEY " 127.0.0.1:80") : STR(""),
                       20 * MICROS_PER_MS, on_result, &result);
        while (!result.ended) {
            Loop_RunOnce(f->loop);
        }
        g_string_free(path, TRUE);
    }
    g_assert_cmpint(
        post(f, fetch, "/tail?topic=" TOPIC "&from=0&wait_ms=0", STR("")), >,
        0);
    Loop_Close(f->loop);
    fail_pending(&f->log);
    HttpFetch_Destroy(fetch);
    stop_host(&host);
}

#define ADD(path, test)                                                       \
    g_test_add(path, Fixture, NULL, set_up, test, tear_down)

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    ADD("/keyed/snapshot-and-tail", test_snapshot_and_tail);
    ADD("/keyed/expired", test_expired);
    ADD("/keyed/restored-log", test_restored_log);
    ADD("/keyed/lower-era", test_lower_era);
    ADD("/keyed/outage", test_outage);
    ADD("/keyed/relay", test_relay);
    ADD("/keyed/relay-chain", test_relay_chain);
    ADD("/keyed/age-over-relays", test_age_over_relays);
    ADD("/keyed/lost-relays", test_lost_relays);
    ADD("/keyed/access-without-relays", test_access_without_relays);
    ADD("/keyed/registration", test_registration);
    ADD("/keyed/starting-relay", test_starting_relay);
    ADD("/keyed/absent-relay", test_absent_relay);
    ADD("/keyed/start-of-few", test_start_of_few);
    ADD("/keyed/reused-address", test_reused_address);
    ADD("/keyed/repeated-page", test_repeated_page);
    ADD("/keyed/list-in-pages", test_list_in_pages);
    ADD("/keyed/entries", test_entries);
    ADD("/keyed/list-after-outage", test_list_after_outage);
    ADD("/keyed/refresh", test_refresh);
    ADD("/keyed/refresh-bound", test_refresh_bound);
    ADD("/keyed/malformed-requests", test_malformed_requests);
    g_test_add_func("/keyed/codec", test_codec);
    g_test_add_func("/keyed/damaged-pages", test_damaged_pages);
    return g_test_run();
}
