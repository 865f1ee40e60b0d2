#include "KeyedRelay.h"

#include <string.h>

#include "KeyedCodec.h"

#define KEEP_ALIVE_S 30
#define TOPICS_MAX 4
#define TOPIC_BYTES_MAX 64
#define WAIT_MAX_US (10 * MICROS_PER_S)

typedef struct Topic_ {
    char name[TOPIC_BYTES_MAX];
    KeyedFollower *follower;
    Micros age_max;
} Topic;

/* A tail read that waits for a new record (long poll). */
typedef struct WaitingRead_ {
    KeyedRelay *relay;
    HttpRequest *request;
    const Topic *topic;
    LoopTimer *timer;
    uint64_t from;
} WaitingRead;

struct KeyedRelay_ {
    Loop *loop;
    KeyedRelayOptions options;
    HttpServer *server;
    Topic topics[TOPICS_MAX];
    size_t topic_count;
    GList *waiting; /* WaitingRead */
    bool direct;
};

static void
destroy_waiting_read(WaitingRead *waiting)
{
    waiting->relay->waiting = g_list_remove(waiting->relay->waiting, waiting);
    HttpRequest_SetData(waiting->request, NULL);
    LoopTimer_Destroy(waiting->timer);
    g_free(waiting);
}

static void
respond(HttpRequest *request, int status, Str body)
{
    HeaderList *headers = HeaderList_Create();

    HttpRequest_Respond(request, status, headers, body);
    HeaderList_Destroy(headers);
}

/* Responds with a statement on the topic, which holds for its era only. */
static void
respond_with_era(HttpRequest *request, const Topic *topic, int status,
                 Str body)
{
    HeaderList *headers = HeaderList_Create();
    uint64_t era = KeyedFollower_Era(topic->follower);
    char text[24];

    if (era != KEYED_ERA_UNKNOWN) {
        g_snprintf(text, sizeof(text), "%" G_GUINT64_FORMAT, era);
        HeaderList_Add(headers, STR(KEYED_ERA_FIELD), Str_FromC(text));
    }
    HttpRequest_Respond(request, status, headers, body);
    HeaderList_Destroy(headers);
}

static void
respond_records(HttpRequest *request, const Topic *topic, GArray *records)
{
    const KeyedMirror *mirror = KeyedFollower_Mirror(topic->follower);
    GString *body = g_string_new(NULL);

    KeyedCodec_Write(KeyedMirror_End(mirror), records, body);
    respond_with_era(request, topic, 200, Str_FromString(body));
    g_string_free(body, TRUE);
}

static bool
is_current(const KeyedRelay *this, const Topic *topic)
{
    Micros age = KeyedFollower_Age(topic->follower);

    return this->direct && age >= 0 && age <= topic->age_max;
}

/* Returns false, without a response, if the read has to wait for a record. */
static bool
respond_tail(const KeyedRelay *this, HttpRequest *request, const Topic *topic,
             uint64_t from, bool may_wait)
{
    GArray *records = g_array_new(FALSE, FALSE, sizeof(KeyedRecord));
    int code =
        KeyedMirror_Tail(KeyedFollower_Mirror(topic->follower), from, records);
    bool wait = may_wait && code == 0 && records->len == 0;

    if (!is_current(this, topic)) {
        respond(request, 503, STR(""));
        wait = false;
    }
    else if (code < 0) {
        respond_with_era(request, topic, 410, STR(""));
    }
    else if (!wait) {
        respond_records(request, topic, records);
    }
    g_array_free(records, TRUE);
    return !wait;
}

static void
on_wait_timeout(void *user)
{
    WaitingRead *waiting = user;

    respond_tail(waiting->relay, waiting->request, waiting->topic,
                 waiting->from, false);
    destroy_waiting_read(waiting);
}

static void
wait_for_record(KeyedRelay *this, HttpRequest *request, const Topic *topic,
                uint64_t from, Micros time)
{
    WaitingRead *waiting = g_new0(WaitingRead, 1);

    waiting->relay = this;
    waiting->request = request;
    waiting->topic = topic;
    waiting->from = from;
    waiting->timer = LoopTimer_Create(this->loop, on_wait_timeout, waiting);
    LoopTimer_Start(waiting->timer, MIN(time, WAIT_MAX_US));
    this->waiting = g_list_prepend(this->waiting, waiting);
    HttpRequest_SetData(request, waiting);
}

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

static const Topic *
find_topic(const KeyedRelay *this, Str name)
{
    for (size_t i = 0; i < this->topic_count; i++) {
        if (Str_Equal(name, Str_FromC(this->topics[i].name))) {
            return &this->topics[i];
        }
    }
    return NULL;
}

static void
respond_newest(const KeyedRelay *this, HttpRequest *request,
               const Topic *topic)
{
    GArray *records = g_array_new(FALSE, FALSE, sizeof(KeyedRecord));

    if (is_current(this, topic)) {
        KeyedMirror_Newest(KeyedFollower_Mirror(topic->follower), records);
        respond_records(request, topic, records);
    }
    else {
        respond(request, 503, STR(""));
    }
    g_array_free(records, TRUE);
}

static void
on_body_end(void *user, HttpRequest *request)
{
    KeyedRelay *this = user;
    Str query = HttpRequest_Path(request), path;
    uint64_t from = 0, wait_ms = 0;
    const Topic *topic;

    Str_Split(&query, '?', &path);
    topic = find_topic(this, query_parameter(query, "topic"));
    if (topic == NULL) {
        respond(request, 404, STR(""));
        return;
    }
    this->options.on_relay_request(this->options.user);
    if (Str_Equal(path, STR("/newest"))) {
        respond_newest(this, request, topic);
        return;
    }
    if (Str_ParseU64(query_parameter(query, "from"), &from) < 0 ||
        Str_ParseU64(query_parameter(query, "wait_ms"), &wait_ms) < 0) {
        respond(request, 400, STR(""));
        return;
    }
    if (!respond_tail(this, request, topic, from, wait_ms > 0)) {
        wait_for_record(this, request, topic, from,
                        (Micros)wait_ms * MICROS_PER_MS);
    }
}

static void
on_request(void *user, HttpRequest *request)
{
}

static void
on_body(void *user, HttpRequest *request, Str data)
{
}

static void
on_closed(void *user, HttpRequest *request, bool complete)
{
    WaitingRead *waiting = HttpRequest_Data(request);

    if (waiting != NULL) {
        destroy_waiting_read(waiting);
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
KeyedRelay_SetDirect(KeyedRelay *this, bool direct)
{
    this->direct = direct;
}

void
KeyedRelay_Notify(KeyedRelay *this)
{
    GList *next;

    for (GList *item = this->waiting; item != NULL; item = next) {
        WaitingRead *waiting = item->data;

        next = item->next;
        if (respond_tail(this, waiting->request, waiting->topic, waiting->from,
                         true)) {
            destroy_waiting_read(waiting);
        }
    }
}
