#include <glib.h>
#include <string.h>

#include "HostList.h"
#include "KeyedCodec.h"
#include "KeyedFollower.h"
#include "KeyedRelay.h"
#include "KeyedSource.h"

/* Hosts of one failure domain follow two topics through each other, with the
 * times of a gateway host, while some of them are cut from the log. */

#define ROUTES "keyed.routes"
#define UPSTREAMS "keyed.upstreams"
#define HOSTS_COUNT 5
#define TOPICS_COUNT 3
#define RECORDS_MAX 512
#define OTHERS_COUNT 400
#define RESPONSE_US (4 * MICROS_PER_MS)
#define AGE_MAX_US (1300 * MICROS_PER_MS)
/* Time within which a change has to be in force on a host that reaches the
 * log. */
#define IN_FORCE_US (2 * MICROS_PER_S)
#define CUT_US (2200 * MICROS_PER_MS)
/* A host that has read the log itself goes on to do so for some seconds. */
#define CALM_US (5500 * MICROS_PER_MS)

typedef struct Fixture_ Fixture;

typedef enum Cut_ {
    CUT_NONE,
    CUT_ROUTES_SILENT, /* reads of the routes stay without a response */
    CUT_ALL_REFUSED,   /* each call is refused at once */
} Cut;

typedef struct Host_ {
    Fixture *f;
    char id[16];
    char entry[96];
    uint16_t port;
    KeyedLog interface;
    KeyedSource *source;
    KeyedRelay *relay;
    KeyedFollower *followers[2];
    char route[16]; /* key of the newest record of the routes */
    Micros route_at;
    Cut cut; /* from the log */
} Host;

typedef struct Topic_ {
    const char *name;
    KeyedRecord records[RECORDS_MAX];
    size_t count;
} Topic;

/* A read or an append that has no response yet. */
typedef struct Call_ {
    Host *host;
    Topic *topic; /* NULL for an append */
    uint64_t from;
    bool newest;
    bool lost;      /* stays without a response */
    Micros ends_at; /* of its time-out */
    LoopTimer *timer;
    KeyedPageHandler *on_page;
    KeyedAppendHandler *on_append;
    void *user;
} Call;

struct Fixture_ {
    Clock *clock;
    Random *random;
    Loop *loop;
    Topic topics[TOPICS_COUNT];
    char others[OTHERS_COUNT][16];
    char routes[RECORDS_MAX][16];
    Host hosts[HOSTS_COUNT];
    GList *calls; /* Call */
    /* Pages that the relays of the test have sent, and the time of the last. */
    bool page_sent[2];
    Micros page_at;
    const char *next_wait[2]; /* of the next read: "some" or "none" */
};

/* ---- the log -------------------------------------------------------- */

static void
end_call(Call *call, int code)
{
    Fixture *f = call->host->f;
    KeyedPage page = {.code = code};

    f->calls = g_list_remove(f->calls, call);
    if (call->topic == NULL) {
        call->on_append(call->user, code);
    }
    else {
        size_t from = MIN(call->newest ? 0 : call->from, call->topic->count);

        if (code == 0) {
            page.records = call->topic->records + from;
            page.count = call->topic->count - from;
            page.end = call->topic->count;
        }
        call->on_page(call->user, &page);
    }
    LoopTimer_Destroy(call->timer);
    g_free(call);
}

static void
apply_cut(Call *call)
{
    call->lost = call->lost || (call->host->cut == CUT_ROUTES_SILENT &&
                                call->topic == &call->host->f->topics[0]);
}

static void
on_call_time(void *user)
{
    Call *call = user;
    Micros left = call->ends_at - Clock_Now(call->host->f->clock);

    apply_cut(call);
    if (call->lost && left > 0) {
        LoopTimer_Start(call->timer, left);
        return;
    }
    if (call->host->cut == CUT_ALL_REFUSED) {
        end_call(call, ERR_UNAVAILABLE);
        return;
    }
    end_call(call, call->lost ? ERR_TIMEOUT : 0);
}

static Call *
begin_call(Host *host, Str topic, Micros delay, Micros timeout)
{
    Fixture *f = host->f;
    Call *call = g_new0(Call, 1);

    call->host = host;
    call->ends_at = Clock_Now(f->clock) + timeout;
    call->timer = LoopTimer_Create(f->loop, on_call_time, call);
    for (size_t i = 0; i < TOPICS_COUNT; i++) {
        if (Str_Equal(topic, Str_FromC(f->topics[i].name))) {
            call->topic = &f->topics[i];
        }
    }
    LoopTimer_Start(call->timer, delay);
    f->calls = g_list_prepend(f->calls, call);
    return call;
}

static void
read_newest(void *self, Str topic, Str after, Micros timeout,
            KeyedPageHandler *handler, void *user)
{
    Call *call = begin_call(self, topic, RESPONSE_US, timeout);

    call->newest = true;
    call->on_page = handler;
    call->user = user;
}

static void
read_tail(void *self, Str topic, uint64_t from, Micros wait, Micros timeout,
          KeyedPageHandler *handler, void *user)
{
    Call *call = begin_call(self, topic, RESPONSE_US, timeout);

    call->from = from;
    call->on_page = handler;
    call->user = user;
    if (from >= call->topic->count && call->host->cut != CUT_ALL_REFUSED) {
        LoopTimer_Start(call->timer, wait + RESPONSE_US);
    }
}

static void
append(void *self, Str topic, const KeyedRecord *records, size_t count,
       Micros timeout, KeyedAppendHandler *handler, void *user)
{
    Call *call = begin_call(self, STR(""), RESPONSE_US, timeout);

    call->on_append = handler;
    call->user = user;
}

static void
write_record(Fixture *f, Topic *topic, Str key, Str value)
{
    topic->records[topic->count] =
        (KeyedRecord){key, value, false, topic->count};
    topic->count++;
    for (GList *item = f->calls; item != NULL; item = item->next) {
        Call *call = item->data;

        if (call->topic == topic && !call->newest && !call->lost) {
            LoopTimer_Start(call->timer, RESPONSE_US);
        }
    }
}

/* Cuts the first hosts, with what they have open. */
static void
set_cut(Fixture *f, size_t count, Cut cut)
{
    for (size_t i = 0; i < count; i++) {
        f->hosts[i].cut = cut;
    }
    for (GList *item = f->calls; item != NULL; item = item->next) {
        Call *call = item->data;

        apply_cut(call);
        if (call->host->cut == CUT_ALL_REFUSED) {
            LoopTimer_Start(call->timer, RESPONSE_US);
        }
    }
}

/* ---- hosts ---------------------------------------------------------- */

static void
on_route(void *user, const KeyedRecord *record)
{
    Host *host = user;

    g_snprintf(host->route, sizeof(host->route), STR_FORMAT,
               STR_ARGS(record->key));
    host->route_at = Clock_Now(host->f->clock);
}

static void
on_upstream(void *user, const KeyedRecord *record)
{
}

static void
on_snapshot(void *user, GHashTable *keys)
{
}

static void
on_state(void *user, bool reachable, Micros since)
{
}

static void
on_page(void *user)
{
    Host *host = user;

    KeyedRelay_Notify(host->relay);
}

static void
on_hosts(void *user, const Str *ids, size_t count, Micros known_from)
{
}

static void
serve_hosts(void *user, Micros age_max, KeyedPageHandler *handler,
            void *handler_user)
{
    Host *host = user;

    KeyedSource_ServeHosts(host->source, age_max, handler, handler_user);
}

static void
register_for(void *user, Str id, Str value, KeyedAppendHandler *handler,
             void *handler_user)
{
    Host *host = user;

    KeyedSource_RegisterFor(host->source, id, value, handler, handler_user);
}

static KeyedFollower *
follow(Host *host, const char *topic, const KeyedFollowerHandlers *handlers)
{
    /* As in PlatformFeed. */
    KeyedFollowerOptions options = {
        .topic = Str_FromC(topic),
        .read_interval = 300 * MICROS_PER_MS,
        .wait = 900 * MICROS_PER_MS,
        .recovery_wait = 700 * MICROS_PER_MS,
        .recovery_time = 4 * MICROS_PER_S,
        .timeout = 800 * MICROS_PER_MS,
        .retry_delay = 400 * MICROS_PER_MS,
    };
    KeyedFollower *follower =
        KeyedFollower_Create(host->f->loop, KeyedSource_Log(host->source),
                             &options, handlers, host, host->f->random, NULL);

    KeyedRelay_Add(host->relay, Str_FromC(topic), follower, AGE_MAX_US);
    return follower;
}

static void
start_host(Host *host)
{
    static const KeyedFollowerHandlers routes = {on_route, on_snapshot,
                                                 on_state, on_page, NULL};
    static const KeyedFollowerHandlers upstreams = {on_upstream, on_snapshot,
                                                    on_state, on_page, NULL};
    KeyedRelayOptions relay = {.address = "127.0.0.1",
                               .port = host->port,
                               .host = Str_FromC(host->id),
                               .serve_hosts = serve_hosts,
                               .register_for = register_for,
                               .user = host};
    KeyedSourceOptions source = {
        .host = Str_FromC(host->id), .on_hosts = on_hosts, .user = host};

    RosterEntry_Parse(Str_FromC(host->entry), &source.entry);
    host->interface = (KeyedLog){host, read_newest, read_tail, append};
    host->relay = KeyedRelay_Create(host->f->loop, &relay, NULL);
    g_assert_nonnull(host->relay);
    host->source =
        KeyedSource_Create(host->f->loop, &host->interface, &source, NULL);
    host->followers[0] = follow(host, ROUTES, &routes);
    host->followers[1] = follow(host, UPSTREAMS, &upstreams);
}

static void
list_host(Fixture *f, size_t i)
{
    static const HttpServerHandlers none = {NULL, NULL, NULL, NULL, NULL};
    HttpServerOptions options = {.address = "127.0.0.1"};
    HttpServer *server = HttpServer_Create(f->loop, &options, &none, f, NULL);
    Host *host = &f->hosts[i];
    RosterEntry entry = {.domain = STR("d"),
                         .relay = {"127.0.0.1", HttpServer_Port(server)},
                         .forward_port = 7734,
                         .key = {1}};
    g_autofree char *text = RosterEntry_Format(&entry);

    HttpServer_Destroy(server);
    host->f = f;
    host->port = entry.relay.port;
    g_snprintf(host->id, sizeof(host->id), "host-%zu", i);
    g_strlcpy(host->entry, text, sizeof(host->entry));
    write_record(f, &f->topics[2], Str_FromC(host->id),
                 Str_FromC(host->entry));
}

static void
set_flag(void *user)
{
    *(bool *)user = true;
}

static void
run_for(Fixture *f, Micros time)
{
    bool over = false;
    LoopTimer *timer = LoopTimer_Create(f->loop, set_flag, &over);

    LoopTimer_Start(timer, time);
    while (!over) {
        Loop_RunOnce(f->loop);
    }
    LoopTimer_Destroy(timer);
}

static Micros
write_route(Fixture *f)
{
    size_t i = f->topics[0].count;

    g_snprintf(f->routes[i], sizeof(f->routes[i]), "route-%zu", i);
    write_record(f, &f->topics[0], Str_FromC(f->routes[i]), STR("1"));
    return Clock_Now(f->clock);
}

static void
set_up(Fixture *f, gconstpointer data)
{
    memset(f, 0, sizeof(*f));
    f->clock = Clock_CreateSystem();
    f->random = Random_Create(1);
    f->loop = Loop_Create(f->clock, NULL, NULL);
    f->topics[0].name = ROUTES;
    f->topics[1].name = UPSTREAMS;
    f->topics[2].name = HOSTS_TOPIC;
    write_route(f);
    for (size_t i = 0; i < HOSTS_COUNT; i++) {
        list_host(f, i);
    }
}

static void
tear_down(Fixture *f, gconstpointer data)
{
    Loop_Close(f->loop);
    while (f->calls != NULL) {
        end_call(f->calls->data, ERR_UNAVAILABLE);
    }
    for (size_t i = 0; i < HOSTS_COUNT; i++) {
        Host *host = &f->hosts[i];

        KeyedRelay_Destroy(host->relay);
        KeyedFollower_Destroy(host->followers[0]);
        KeyedFollower_Destroy(host->followers[1]);
        KeyedSource_Destroy(host->source);
    }
    Loop_Destroy(f->loop);
    Random_Destroy(f->random);
    Clock_Destroy(f->clock);
}

static void
start_hosts(Fixture *f)
{
    for (size_t i = 0; i < HOSTS_COUNT; i++) {
        start_host(&f->hosts[i]);
    }
    run_for(f, CALM_US);
}

/* ---- tests ---------------------------------------------------------- */

/* Cuts the first hosts, which the others read through, and returns the longest
 * time that a change took to reach one of the others. */
static Micros
longest_delay(Fixture *f, size_t cut_count, Cut cut)
{
    Micros longest = 0, written_at;

    set_cut(f, cut_count, cut);
    run_for(f, 20 * MICROS_PER_MS);
    written_at = write_route(f);
    run_for(f, CUT_US);
    set_cut(f, cut_count, CUT_NONE);
    run_for(f, CALM_US);
    for (size_t i = cut_count; i < HOSTS_COUNT; i++) {
        const Host *host = &f->hosts[i];

        g_assert_cmpstr(host->route, ==, f->routes[f->topics[0].count - 1]);
        g_test_message("%s: %" G_GINT64_FORMAT " ms", host->id,
                       (host->route_at - written_at) / MICROS_PER_MS);
        longest = MAX(longest, host->route_at - written_at);
    }
    return longest;
}

/* Guards against a host that keeps an old configuration because the hosts that
 * it reads through have lost the log for a moment. */
static void
test_cut_relays(Fixture *f, gconstpointer data)
{
    start_hosts(f);
    for (size_t i = 0; i < 4; i++) {
        run_for(f, (Micros)i * 70 * MICROS_PER_MS);
        g_assert_cmpint(longest_delay(f, 2, CUT_ROUTES_SILENT), <,
                        IN_FORCE_US);
    }
}

/* Guards against the same in a large deployment, whose hosts share a rate of
 * calls to a log that is out of reach. */
static void
test_cut_relays_of_many(Fixture *f, gconstpointer data)
{
    static const char entry[] = "z 127.0.0.1:80";

    for (size_t i = 0; i < OTHERS_COUNT; i++) {
        g_snprintf(f->others[i], sizeof(f->others[i]), "other-%zu", i);
        write_record(f, &f->topics[2], Str_FromC(f->others[i]), STR(entry));
    }
    start_hosts(f);
    for (size_t i = 0; i < 2; i++) {
        g_assert_cmpint(longest_delay(f, 3, CUT_ALL_REFUSED), <, IN_FORCE_US);
    }
}

/* ---- relays that fall silent ---------------------------------------- */

#define PAGE_AGE_MS 1250

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

static void
respond(HttpRequest *request, int status, const Topic *topic)
{
    HeaderList *headers = HeaderList_Create();
    GArray *records = g_array_new(FALSE, FALSE, sizeof(KeyedRecord));
    GString *body = g_string_new(NULL);

    KeyedCodec_Write(topic->count, records, body);
    HeaderList_Add(headers, STR(KEYED_AGE_FIELD),
                   STR(G_STRINGIFY(PAGE_AGE_MS)));
    HttpRequest_Respond(request, status, headers,
                        status == 200 ? Str_FromString(body) : STR(""));
    g_string_free(body, TRUE);
    g_array_free(records, TRUE);
    HeaderList_Destroy(headers);
}

/* Refuses snapshots, sends one page of each topic that is old but not too old,
 * without records, and nothing after it. */
static void
on_relay_request(void *user, HttpRequest *request)
{
    Fixture *f = user;
    Str path = HttpRequest_Path(request);

    for (size_t i = 0; i < 2; i++) {
        g_autofree char *tail =
            g_strconcat("/tail?topic=", f->topics[i].name, "&", NULL);

        if (!Str_StartsWith(path, Str_FromC(tail))) {
            continue;
        }
        if (f->page_sent[i] && f->next_wait[i] == NULL) {
            f->next_wait[i] = g_strstr_len(path.data, (gssize)path.length,
                                           "&wait_ms=0&") != NULL
                                  ? "none"
                                  : "some";
        }
        if (!f->page_sent[i]) {
            respond(request, 200, &f->topics[i]);
            f->page_sent[i] = true;
            f->page_at = Clock_Now(f->clock);
        }
        return;
    }
    respond(request, 503, &f->topics[0]);
}

/* Guards against a host that waits for silent relays as long as if what it
 * knows were new, and against one that reads old pages without pause. */
static void
test_silent_relays(Fixture *f, gconstpointer data)
{
    static const HttpServerHandlers handlers = {ignore_request, ignore_body,
                                                on_relay_request,
                                                ignore_request, ignore_end};
    Host *leaf = &f->hosts[HOSTS_COUNT - 1];
    HttpServer *relays[2];

    for (size_t i = 0; i < 2; i++) {
        HttpServerOptions options = {.address = "127.0.0.1",
                                     .port = f->hosts[i].port,
                                     .keep_alive_s = 5};

        relays[i] = HttpServer_Create(f->loop, &options, &handlers, f, NULL);
    }
    start_host(leaf);
    while (!f->page_sent[0] || !f->page_sent[1]) {
        Loop_RunOnce(f->loop);
    }
    write_route(f);
    run_for(f, IN_FORCE_US);
    g_assert_cmpstr(leaf->route, ==, f->routes[1]);
    g_assert_cmpstr(f->next_wait[0], ==, "some");
    g_assert_cmpstr(f->next_wait[1], ==, "some");
    g_test_message("%" G_GINT64_FORMAT " ms",
                   (leaf->route_at - f->page_at) / MICROS_PER_MS +
                       PAGE_AGE_MS);
    g_assert_cmpint(leaf->route_at - f->page_at +
                        (Micros)PAGE_AGE_MS * MICROS_PER_MS,
                    <, IN_FORCE_US);
    HttpServer_Destroy(relays[0]);
    HttpServer_Destroy(relays[1]);
}

#define ADD(path, test)                                                       \
    g_test_add(path, Fixture, NULL, set_up, test, tear_down)

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    ADD("/configuration-age/cut-relays", test_cut_relays);
    ADD("/configuration-age/cut-relays-of-many", test_cut_relays_of_many);
    ADD("/configuration-age/silent-relays", test_silent_relays);
    return g_test_run();
}
