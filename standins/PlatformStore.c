#include "PlatformStore.h"

#include <string.h>

#include "Control.h"

#define SILENCE (60 * MICROS_PER_S)
#define SLOW_TIME (600 * MICROS_PER_MS)
#define WAIT_MAX (30 * MICROS_PER_S)

typedef struct Record_ {
    char *key;
    GBytes *value; /* size 0: the key is dropped */
    uint64_t offset;
} Record;

typedef struct Topic_ {
    GPtrArray *records; /* Record, from @first on */
    GHashTable *newest; /* key to Record; owns none */
    GPtrArray *kept;    /* Record that only @newest refers to */
    uint64_t first;
} Topic;

struct PlatformStore_ {
    HttpServer *server;
    GHashTable *topics;
    GHashTable *waiting; /* set of HttpRequest */
    StoreMode mode;
    unsigned calls;
};

static void
free_record(gpointer data)
{
    Record *record = data;

    g_free(record->key);
    g_bytes_unref(record->value);
    g_free(record);
}

static void
free_topic(gpointer data)
{
    Topic *topic = data;

    g_hash_table_destroy(topic->newest);
    g_ptr_array_free(topic->records, TRUE);
    g_ptr_array_free(topic->kept, TRUE);
    g_free(topic);
}

static Topic *
get_topic(PlatformStore *this, const char *name)
{
    Topic *topic = g_hash_table_lookup(this->topics, name);

    if (topic == NULL) {
        topic = g_new0(Topic, 1);
        topic->records = g_ptr_array_new_with_free_func(free_record);
        topic->kept = g_ptr_array_new_with_free_func(free_record);
        topic->newest = g_hash_table_new(g_str_hash, g_str_equal);
        g_hash_table_insert(this->topics, g_strdup(name), topic);
    }
    return topic;
}

static uint64_t
topic_end(const Topic *topic)
{
    return topic->first + topic->records->len;
}

static void
append_number(GString *out, uint64_t number, int bytes)
{
    for (int i = bytes - 1; i >= 0; i--) {
        g_string_append_c(out, (gchar)(number >> (8 * i)));
    }
}

static void
answer_tail(HttpRequest *request, const Topic *topic, uint64_t from)
{
    GString *body = g_string_new(NULL);

    append_number(body, topic_end(topic), 8);
    append_number(body, topic->first, 8);
    for (uint64_t i = from; i < topic_end(topic); i++) {
        const Record *record =
            g_ptr_array_index(topic->records, i - topic->first);
        gsize size, key = strlen(record->key);
        const char *value = g_bytes_get_data(record->value, &size);

        append_number(body, 1 + key + size, 4);
        g_string_append_c(body, (gchar)key);
        g_string_append_len(body, record->key, (gssize)key);
        g_string_append_len(body, value, (gssize)size);
    }
    HttpRequest_Respond(request, 200, "", Str_FromString(body));
    g_string_free(body, TRUE);
}

static void
wait_over(void *user, HttpRequest *request)
{
    PlatformStore *this = user;
    g_autofree char *name = HttpRequest_QueryString(request, "topic");
    const Topic *topic = get_topic(this, name);

    g_hash_table_remove(this->waiting, request);
    answer_tail(request, topic, topic_end(topic));
}

/* Returns false if the read waits for a record. */
static bool
serve_read(PlatformStore *this, HttpRequest *request, bool may_wait)
{
    g_autofree char *name = HttpRequest_QueryString(request, "topic");
    const Topic *topic = get_topic(this, name);
    uint64_t from = HttpRequest_QueryNumber(request, "from", 0);
    uint64_t wait_ms = HttpRequest_QueryNumber(request, "waitMs", 0);

    if (from < topic->first) {
        HttpRequest_Respond(request, 410, "", STR("{}"));
        return true;
    }
    if (from >= topic_end(topic) && wait_ms > 0 && may_wait) {
        HttpRequest_StartTimer(request,
                               MIN((Micros)wait_ms * MICROS_PER_MS, WAIT_MAX),
                               wait_over);
        g_hash_table_add(this->waiting, request);
        return false;
    }
    if (from < topic_end(topic) || wait_ms == 0) {
        answer_tail(request, topic, from);
        return true;
    }
    return false;
}

static void
serve_newest(PlatformStore *this, HttpRequest *request)
{
    g_autofree char *name = HttpRequest_QueryString(request, "topic");
    const Topic *topic = get_topic(this, name);
    json_t *items = json_array();
    GHashTableIter iterator;
    gpointer value;

    g_hash_table_iter_init(&iterator, topic->newest);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const Record *record = value;
        gsize size;
        const guchar *data = g_bytes_get_data(record->value, &size);
        g_autofree char *text = g_base64_encode(data, size);

        json_array_append_new(
            items, json_pack("{s:s,s:s,s:I}", "key", record->key, "value",
                             text, "offset", (json_int_t)record->offset));
    }
    HttpRequest_RespondJson(request, 200,
                            json_pack("{s:o,s:b,s:I}", "items", items, "more",
                                      0, "end", (json_int_t)topic_end(topic)));
}

static void
wake_readers(PlatformStore *this)
{
    g_autoptr(GList) requests = g_hash_table_get_keys(this->waiting);

    for (GList *link = requests; link != NULL; link = link->next) {
        if (serve_read(this, link->data, false)) {
            g_hash_table_remove(this->waiting, link->data);
        }
    }
}

static void
put(PlatformStore *this, const char *name, const char *key, gconstpointer data,
    gsize size)
{
    Topic *topic = get_topic(this, name);
    Record *record = g_new0(Record, 1);

    record->key = g_strdup(key);
    record->value = g_bytes_new(data, size);
    record->offset = topic_end(topic);
    g_ptr_array_add(topic->records, record);
    g_hash_table_remove(topic->newest, key);
    if (size > 0) {
        g_hash_table_insert(topic->newest, record->key, record);
    }
    wake_readers(this);
}

void
PlatformStore_Put(PlatformStore *this, const char *topic, const char *key,
                  const char *value)
{
    put(this, topic, key, value, strlen(value));
}

/* One record: its length, the length of the key, key and value. */
static void
serve_append(PlatformStore *this, HttpRequest *request)
{
    g_autofree char *name = HttpRequest_QueryString(request, "topic");
    Str body = Control_Body(request);
    size_t key;

    if (body.length < 6 || name == NULL) {
        HttpRequest_Respond(request, 400, "", STR("{}"));
        return;
    }
    key = (unsigned char)body.data[4];
    if (body.length < 5 + key) {
        HttpRequest_Respond(request, 400, "", STR("{}"));
    }
    else {
        g_autofree char *text = g_strndup(body.data + 5, key);

        put(this, name, text, body.data + 5 + key, body.length - 5 - key);
        HttpRequest_Respond(request, 200, "", STR("{\"offset\":0,\"end\":1}"));
    }
}

static void
stay_silent(void *user, HttpRequest *request)
{
}

static void
serve(void *user, HttpRequest *request)
{
    PlatformStore *this = user;
    Str path = HttpRequest_Path(request);

    if (Str_Equal(path, STR("/agatecrank/log-read"))) {
        serve_read(this, request, true);
    }
    else if (Str_Equal(path, STR("/agatecrank/log-newest"))) {
        serve_newest(this, request);
    }
    else if (Str_Equal(path, STR("/agatecrank/log-append"))) {
        serve_append(this, request);
    }
    else {
        HttpRequest_Respond(request, 404, "", STR("{}"));
    }
}

static bool
refuses(PlatformStore *this, HttpRequest *request)
{
    switch (this->mode) {
    case STORE_UP:
        return false;
    case STORE_UNAVAILABLE:
        HttpRequest_Respond(request, 503, "", STR("{}"));
        return true;
    case STORE_RATE_LIMITED:
        HttpRequest_Respond(request, 429, "", STR("{}"));
        return true;
    case STORE_UNRESPONSIVE:
        HttpRequest_StartTimer(request, SILENCE, stay_silent);
        return true;
    case STORE_DISCONNECTING:
        HttpRequest_Abort(request);
        return true;
    case STORE_SLOW:
        HttpRequest_StartTimer(request, SLOW_TIME, serve);
        return true;
    case STORE_GARBLED:
        HttpRequest_Respond(request, 200, "", STR("\0\0{]\377 garbled"));
        return true;
    }
    return false;
}

static void
on_begin(void *user, HttpRequest *request)
{
}

static void
on_data(void *user, HttpRequest *request, Str piece)
{
    Control_AppendBody(request, piece);
}

static void
on_complete(void *user, HttpRequest *request)
{
    PlatformStore *this = user;

    this->calls++;
    if (!refuses(this, request)) {
        serve(this, request);
    }
}

static void
on_gone(void *user, HttpRequest *request, bool answered)
{
    PlatformStore *this = user;

    g_hash_table_remove(this->waiting, request);
    Control_FreeBody(request);
}

PlatformStore *
PlatformStore_Create(HttpLoop *loop)
{
    static const HttpHandlers handlers = {on_begin, on_data, on_complete,
                                          on_gone};
    PlatformStore *this = g_new0(PlatformStore, 1);

    this->topics =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_topic);
    this->waiting = g_hash_table_new(NULL, NULL);
    this->server = HttpServer_Create(loop, 0, &handlers, this);
    if (this->server == NULL) {
        PlatformStore_Destroy(this);
        return NULL;
    }
    return this;
}

void
PlatformStore_Destroy(PlatformStore *this)
{
    if (this->server != NULL) {
        HttpServer_Destroy(this->server);
    }
    g_hash_table_destroy(this->topics);
    g_hash_table_destroy(this->waiting);
    g_free(this);
}

int
PlatformStore_Port(const PlatformStore *this)
{
    return HttpServer_Port(this->server);
}

void
PlatformStore_SetMode(PlatformStore *this, StoreMode mode)
{
    this->mode = mode;
    if (mode == STORE_UNRESPONSIVE) {
        HttpServer_StallOpenConnections(this->server);
    }
}

bool
PlatformStore_IsUp(const PlatformStore *this)
{
    return this->mode == STORE_UP;
}

void
PlatformStore_Compact(PlatformStore *this)
{
    GHashTableIter iterator;
    gpointer value;

    g_hash_table_iter_init(&iterator, this->topics);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        Topic *topic = value;
        uint64_t end = topic_end(topic);

        g_ptr_array_extend_and_steal(topic->kept,
                                     g_steal_pointer(&topic->records));
        topic->records = g_ptr_array_new_with_free_func(free_record);
        topic->first = end;
    }
}

unsigned
PlatformStore_RequestCount(const PlatformStore *this)
{
    return this->calls;
}
