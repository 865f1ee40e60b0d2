#include "KeyedRelay.h"

#include <string.h>

#include "HostList.h"
#include "KeyedCodec.h"

#define KEEP_ALIVE_S 30
#define TOPICS_MAX 4
#define TOPIC_BYTES_MAX 64
#define WAIT_MAX_US (10 * MICROS_PER_S)
#define ENTRY_BYTES_MAX 1024
/* As of names in settings; the log has one byte for the length of a key. */
#define HOST_ID_BYTES_MAX 64
#define BODIES_MAX 3

/* A body that several hosts get one after the other. */
typedef struct Body_ {
    GString *text;
    bool deflated;
    bool newest;
    uint64_t from, end, era;
} Body;

typedef struct Topic_ {
    char name[TOPIC_BYTES_MAX];
    KeyedFollower *follower;
    Micros age_max;
    Body bodies[BODIES_MAX]; /* the last ones that are compressed */
    unsigned next_body;
} Topic;

/* A read that waits for a new record (long poll), or for the first snapshot. */
typedef struct WaitingRead_ {
    Topic *topic;
    LoopTimer *timer;
    uint64_t from;
    bool newest;
} WaitingRead;

/* What a request waits for. @request is NULL once it is closed. */
typedef struct Pending_ {
    KeyedRelay *relay;
    HttpRequest *request;
    WaitingRead *read;  /* NULL for none */
    GString *body;      /* of a registration, or NULL */
    bool is_called_for; /* a handler will be called with it */
} Pending;

struct KeyedRelay_ {
    Loop *loop;
    KeyedRelayOptions options;
    HttpServer *server;
    Topic topics[TOPICS_MAX];
    size_t topic_count;
    GList *waiting; /* Pending with a read */
};

/* ---- requests ------------------------------------------------------- */

static Str
query_parameter(Str query, const char *name)
{
    Str field, key;

    while (Str_Split(&query, '&', &field)) {
        if (Str_Split(&field, '=', &key) && Str_Equal(key, Str_FromC(name))) {
            return field;
        }
    }
    return STR("");
}

static Str
request_parameter(const HttpRequest *request, const char *name)
{
    Str query = HttpRequest_Path(request), path;

    Str_Split(&query, '?', &path);
    return query_parameter(query, name);
}

/* ---- pending requests ----------------------------------------------- */

static Pending *
pending_of(KeyedRelay *this, HttpRequest *request)
{
    Pending *pending = HttpRequest_Data(request);

    if (pending == NULL) {
        pending = g_new0(Pending, 1);
        pending->relay = this;
        pending->request = request;
        HttpRequest_SetData(request, pending);
    }
    return pending;
}

static void
stop_waiting(Pending *pending)
{
    if (pending->read != NULL) {
        pending->relay->waiting =
            g_list_remove(pending->relay->waiting, pending);
        LoopTimer_Destroy(pending->read->timer);
        g_clear_pointer(&pending->read, g_free);
    }
}

static void
release_pending(Pending *pending)
{
    if (pending->request == NULL && !pending->is_called_for) {
        if (pending->body != NULL) {
            g_string_free(pending->body, TRUE);
        }
        g_free(pending);
    }
}

/* ---- responses ------------------------------------------------------ */

/* Readers check the id, as addresses of hosts that are gone are used again, and
 * the number, as a response may be repeated on a connection. */
static HeaderList *
create_headers(const KeyedRelay *this, const HttpRequest *request)
{
    HeaderList *headers = HeaderList_Create();
    Str number = request_parameter(request, "read");
    uint64_t read;

    if (Str_ParseU64(number, &read) == 0) {
        HeaderList_Add(headers, STR(KEYED_READ_FIELD), number);
    }

    HeaderList_Add(headers, STR(KEYED_RELAY_FIELD), this->options.host);
    return headers;
}

static void
respond(const KeyedRelay *this, HttpRequest *request, int status,
        const char *state)
{
    HeaderList *headers = create_headers(this, request);

    if (state != NULL) {
        HeaderList_Add(headers, STR(KEYED_STATE_FIELD), Str_FromC(state));
    }
    HttpRequest_Respond(request, status, headers, STR(""));
    HeaderList_Destroy(headers);
}

static void
add_number(HeaderList *headers, const char *name, uint64_t number)
{
    char text[24];

    g_snprintf(text, sizeof(text), "%" G_GUINT64_FORMAT, number);
    HeaderList_Add(headers, Str_FromC(name), Str_FromC(text));
}

/* Responds with a statement on a topic, which holds for its era only. */
static void
respond_with_era(const KeyedRelay *this, HttpRequest *request, int status,
                 uint64_t era, Micros age, const Body *body)
{
    HeaderList *headers = create_headers(this, request);

    if (era != KEYED_ERA_UNKNOWN) {
        add_number(headers, KEYED_ERA_FIELD, era);
    }
    if (age >= 0) {
        add_number(headers, KEYED_AGE_FIELD,
                   (uint64_t)((age + MICROS_PER_MS - 1) / MICROS_PER_MS));
    }
    if (body != NULL && body->deflated) {
        HeaderList_Add(headers, STR(KEYED_ENCODING_FIELD), STR(KEYED_DEFLATE));
    }
    HttpRequest_Respond(request, status, headers,
                        body != NULL ? Str_FromString(body->text) : STR(""));
    HeaderList_Destroy(headers);
}

static void
clear_body(Body *body)
{
    if (body->text != NULL) {
        g_string_free(body->text, TRUE);
    }
    *body = (Body){NULL};
}

/* Earlier versions do not ask for compression. */
static bool
wants_deflate(const HttpRequest *request)
{
    return Str_Equal(request_parameter(request, "encoding"),
                     STR(KEYED_DEFLATE));
}

/* Fills in the text of the body, and compresses it where that is worth it. */
static void
write_body(Body *body, const GArray *records, bool deflate)
{
    GString *deflated = NULL;

    body->text = g_string_new(NULL);
    KeyedCodec_Write(body->end, records, body->text);
    if (deflate) {
        deflated = KeyedCodec_Deflate(body->text);
    }
    if (deflated != NULL) {
        g_string_free(body->text, TRUE);
        body->text = deflated;
        body->deflated = true;
    }
}

static const Body *
find_body(const Topic *topic, const Body *wanted)
{
    for (int i = 0; i < BODIES_MAX; i++) {
        const Body *body = &topic->bodies[i];

        if (body->text != NULL && body->newest == wanted->newest &&
            body->from == wanted->from && body->end == wanted->end &&
            body->era == wanted->era) {
            return body;
        }
    }
    return NULL;
}

static void
keep_body(Topic *topic, const Body *body)
{
    Body *kept = &topic->bodies[topic->next_body++ % BODIES_MAX];

    clear_body(kept);
    *kept = *body;
}

static void
respond_records(const KeyedRelay *this, HttpRequest *request,
                const WaitingRead *read)
{
    Topic *topic = read->topic;
    const KeyedMirror *mirror = KeyedFollower_Mirror(topic->follower);
    Body body = {.newest = read->newest,
                 .from = read->from,
                 .end = KeyedMirror_End(mirror),
                 .era = KeyedFollower_Era(topic->follower)};
    Micros age = KeyedFollower_Age(topic->follower);
    bool deflate = wants_deflate(request);
    const Body *kept = deflate ? find_body(topic, &body) : NULL;
    GArray *records;

    if (kept != NULL) {
        respond_with_era(this, request, 200, body.era, age, kept);
        return;
    }
    records = g_array_new(FALSE, FALSE, sizeof(KeyedRecord));
    if (read->newest) {
        KeyedMirror_Newest(mirror, records);
    }
    else {
        KeyedMirror_Tail(mirror, read->from, records);
    }
    write_body(&body, records, deflate);
    respond_with_era(this, request, 200, body.era, age, &body);
    if (body.deflated) {
        keep_body(topic, &body);
    }
    else {
        clear_body(&body);
    }
    g_array_free(records, TRUE);
}

static bool
is_current(const Topic *topic)
{
    Micros age = KeyedFollower_Age(topic->follower);

    return age >= 0 && age <= topic->age_max;
}

static bool
is_starting(const Topic *topic)
{
    return !KeyedFollower_IsComplete(topic->follower) &&
           KeyedFollower_IsReachable(topic->follower);
}

static void
respond_unserved(const KeyedRelay *this, HttpRequest *request,
                 const Topic *topic)
{
    const char *state = NULL;

    if (is_starting(topic)) {
        state = KEYED_STATE_STARTING;
    }
    else if (!KeyedFollower_IsReachable(topic->follower)) {
        state = KEYED_STATE_LOST;
    }
    respond(this, request, 503, state);
}

/* Returns false, without a response, if the read has to wait for a record. */
static bool
respond_tail(const KeyedRelay *this, HttpRequest *request,
             const WaitingRead *read, bool may_wait)
{
    const KeyedMirror *mirror = KeyedFollower_Mirror(read->topic->follower);

    if (!is_current(read->topic)) {
        respond_unserved(this, request, read->topic);
    }
    else if (!KeyedMirror_Has(mirror, read->from)) {
        respond_with_era(this, request, 410,
                         KeyedFollower_Era(read->topic->follower), -1, NULL);
    }
    else if (may_wait && read->from == KeyedMirror_End(mirror)) {
        return false;
    }
    else {
        respond_records(this, request, read);
    }
    return true;
}

/* Returns false, without a response, if the read has to wait for the first
 * snapshot. */
static bool
respond_newest(const KeyedRelay *this, HttpRequest *request,
               const WaitingRead *read, bool may_wait)
{
    if (may_wait && is_starting(read->topic)) {
        return false;
    }
    if (is_current(read->topic)) {
        respond_records(this, request, read);
    }
    else {
        respond_unserved(this, request, read->topic);
    }
    return true;
}

static bool
respond_read(const KeyedRelay *this, HttpRequest *request,
             const WaitingRead *read, bool may_wait)
{
    return read->newest ? respond_newest(this, request, read, may_wait)
                        : respond_tail(this, request, read, may_wait);
}

static void
on_wait_timeout(void *user)
{
    Pending *pending = user;

    respond_read(pending->relay, pending->request, pending->read, false);
    stop_waiting(pending);
}

static void
wait_for_record(KeyedRelay *this, HttpRequest *request,
                const WaitingRead *read, Micros time)
{
    Pending *pending = pending_of(this, request);

    pending->read = g_new0(WaitingRead, 1);
    *pending->read = *read;
    pending->read->timer =
        LoopTimer_Create(this->loop, on_wait_timeout, pending);
    LoopTimer_Start(pending->read->timer, MIN(time, WAIT_MAX_US));
    this->waiting = g_list_prepend(this->waiting, pending);
}

/* ---- list of hosts -------------------------------------------------- */

static void
on_hosts(void *user, const KeyedPage *page)
{
    Pending *pending = user;
    Body body = {.end = page->end};
    GArray *records;

    pending->is_called_for = false;
    if (pending->request == NULL) {
        release_pending(pending);
        return;
    }
    if (page->code < 0) {
        respond(pending->relay, pending->request, 503, NULL);
        return;
    }
    records = g_array_new(FALSE, FALSE, sizeof(KeyedRecord));
    if (page->count > 0) {
        g_array_append_vals(records, page->records, (guint)page->count);
    }
    write_body(&body, records, wants_deflate(pending->request));
    respond_with_era(pending->relay, pending->request, 200, page->era,
                     page->age, &body);
    clear_body(&body);
    g_array_free(records, TRUE);
}

static void
on_registered(void *user, int code)
{
    Pending *pending = user;

    pending->is_called_for = false;
    if (pending->request == NULL) {
        release_pending(pending);
        return;
    }
    respond(pending->relay, pending->request, code == 0 ? 200 : 503, NULL);
}

/* A host writes only an entry with its own address. */
static bool
is_own_entry(const HttpRequest *request, Str value)
{
    RosterEntry entry;

    return RosterEntry_Parse(value, &entry) == 0 &&
           HttpRequest_IsFrom(request, entry.relay.address);
}

static void
register_for(KeyedRelay *this, Pending *pending, Str host)
{
    Str value =
        pending->body != NULL ? Str_FromString(pending->body) : STR("");

    if (host.length == 0 || host.length > HOST_ID_BYTES_MAX ||
        value.length > ENTRY_BYTES_MAX ||
        !is_own_entry(pending->request, value)) {
        respond(pending->relay, pending->request, 400, NULL);
        return;
    }
    pending->is_called_for = true;
    this->options.register_for(this->options.user, host, value, on_registered,
                               pending);
}

/* ---- paths ---------------------------------------------------------- */

static Topic *
find_topic(KeyedRelay *this, Str name)
{
    for (size_t i = 0; i < this->topic_count; i++) {
        if (Str_Equal(name, Str_FromC(this->topics[i].name))) {
            return &this->topics[i];
        }
    }
    return NULL;
}

static void
read_topic(KeyedRelay *this, HttpRequest *request, Str path, Str query)
{
    WaitingRead read = {
        .topic = find_topic(this, query_parameter(query, "topic")),
        .newest = Str_Equal(path, STR("/newest")),
    };
    uint64_t wait_ms = 0;
    Str wait = query_parameter(query, "wait_ms");

    if (read.topic == NULL) {
        respond(this, request, 404, NULL);
        return;
    }
    if ((wait.length > 0 && Str_ParseU64(wait, &wait_ms) < 0) ||
        (!read.newest &&
         (wait.length == 0 ||
          Str_ParseU64(query_parameter(query, "from"), &read.from) < 0))) {
        respond(this, request, 400, NULL);
        return;
    }
    if (!respond_read(this, request, &read, wait_ms > 0)) {
        wait_for_record(this, request, &read, (Micros)wait_ms * MICROS_PER_MS);
    }
}

static void
on_body_end(void *user, HttpRequest *request)
{
    KeyedRelay *this = user;
    Str query = HttpRequest_Path(request), path, topic;
    uint64_t age_ms = 0;

    Str_Split(&query, '?', &path);
    topic = query_parameter(query, "topic");
    if (Str_Equal(path, STR("/register")) &&
        Str_Equal(HttpRequest_Method(request), STR("POST"))) {
        register_for(this, pending_of(this, request),
                     query_parameter(query, "host"));
    }
    else if (Str_Equal(topic, STR(HOSTS_TOPIC))) {
        Pending *pending = pending_of(this, request);

        Str_ParseU64(query_parameter(query, "age_ms"), &age_ms);
        pending->is_called_for = true;
        this->options.serve_hosts(this->options.user,
                                  (Micros)MIN(age_ms, KEYED_AGE_MAX_MS) *
                                      MICROS_PER_MS,
                                  on_hosts, pending);
    }
    else {
        read_topic(this, request, path, query);
    }
}

static void
on_request(void *user, HttpRequest *request)
{
}

static void
on_body(void *user, HttpRequest *request, Str data)
{
    Pending *pending = pending_of(user, request);

    if (pending->body == NULL) {
        pending->body = g_string_new(NULL);
    }
    if (pending->body->len <= ENTRY_BYTES_MAX) {
        Str_AppendTo(data, pending->body);
    }
}

static void
on_closed(void *user, HttpRequest *request, bool complete)
{
    Pending *pending = HttpRequest_Data(request);

    if (pending != NULL) {
        stop_waiting(pending);
        pending->request = NULL;
        release_pending(pending);
    }
}

static const HttpServerHandlers handlers = {
    on_request, on_body, on_body_end, on_request, on_closed,
};

KeyedRelay *
KeyedRelay_Create(Loop *loop, const KeyedRelayOptions *options, Error *error)
{
    KeyedRelay *this = g_new0(KeyedRelay, 1);
    HttpServerOptions server = {
        .address = options->address,
        .port = options->port,
        .keep_alive_s = KEEP_ALIVE_S,
        .limits = {.body_bytes = ENTRY_BYTES_MAX},
    };

    this->loop = loop;
    this->options = *options;
    this->server = HttpServer_Create(loop, &server, &handlers, this, error);
    if (this->server == NULL) {
        g_free(this);
        return NULL;
    }
    return this;
}

void
KeyedRelay_Destroy(KeyedRelay *this)
{
    if (this == NULL) {
        return;
    }
    HttpServer_Destroy(this->server);
    for (size_t i = 0; i < this->topic_count * BODIES_MAX; i++) {
        clear_body(&this->topics[i / BODIES_MAX].bodies[i % BODIES_MAX]);
    }
    g_free(this);
}

void
KeyedRelay_Add(KeyedRelay *this, Str topic, KeyedFollower *follower,
               Micros age_max)
{
    Topic *added = &this->topics[this->topic_count++];

    memcpy(added->name, topic.data, MIN(topic.length, TOPIC_BYTES_MAX - 1));
    added->follower = follower;
    added->age_max = age_max;
}

void
KeyedRelay_Notify(KeyedRelay *this)
{
    GList *next;

    for (GList *item = this->waiting; item != NULL; item = next) {
        Pending *pending = item->data;

        next = item->next;
        if (respond_read(this, pending->request, pending->read, true)) {
            stop_waiting(pending);
        }
    }
}
