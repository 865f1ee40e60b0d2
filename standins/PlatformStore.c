#include "PlatformStore.h"

#include <string.h>

#include "Control.h"

#define UNRESPONSIVE_TIME_US (60 * MICROS_PER_S)
#define SLOW_RESPONSE_DELAY_US (600 * MICROS_PER_MS)
#define LONG_POLL_MAX_US (30 * MICROS_PER_S)

typedef struct Record_ {
    char *key;
    GBytes *value; /* size 0: deletes the key */
    uint64_t offset;
} Record;

typedef struct Topic_ {
    GPtrArray *records;   /* Record by offset, starting at first_offset */
    GHashTable *newest;   /* key to Record, borrowed */
    GPtrArray *compacted; /* former records, owned for newest */
    uint64_t first_offset;
    uint64_t copied_end; /* end of the topic in the copy */
} Topic;

struct PlatformStore_ {
    HttpServer *server;
    GHashTable *topics;
    GHashTable *waiting_reads; /* set of HttpRequest */
    StoreMode mode;
    unsigned era; /* how often it has come back from its copy */
    unsigned request_count;
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
    g_ptr_array_free(topic->compacted, TRUE);
    g_free(topic);
}

static Topic *
get_topic(PlatformStore *this, const char *name)
{
    Topic *topic = g_hash_table_lookup(this->topics, name);

    if (topic == NULL) {
        topic = g_new0(Topic, 1);
        topic->records = g_ptr_array_new_with_free_func(free_record);
        topic->compacted = g_ptr_array_new_with_free_func(free_record);
        topic->newest = g_hash_table_new(g_str_hash, g_str_equal);
        g_hash_table_insert(this->topics, g_strdup(name), topic);
    }
    return topic;
}

static uint64_t
end_offset(const Topic *topic)
{
    return topic->first_offset + topic->records->len;
}

static void
respond(const PlatformStore *this, HttpRequest *request, int status, Str body)
{
    g_autofree char *headers = g_strdup_printf("store-era: %u\r\n", this->era);

    HttpRequest_Respond(request, status, headers, body);
}

/* Appends the low @bytes bytes of @number. */
static void
append_big_endian(GString *out, uint64_t number, int bytes)
{
    for (int i = bytes - 1; i >= 0; i--) {
        g_string_append_c(out, (gchar)(number >> (8 * i)));
    }
}

/* Body: end offset and first offset (8 bytes each), then for each record the
 * length of what follows (4 bytes), the length of the key (1 byte), the key and
 * the value. */
static void
respond_with_records(const PlatformStore *this, HttpRequest *request,
                     const Topic *topic, uint64_t from)
{
    GString *body = g_string_new(NULL);

    append_big_endian(body, end_offset(topic), 8);
    append_big_endian(body, topic->first_offset, 8);
    for (uint64_t i = from; i < end_offset(topic); i++) {
        const Record *record =
            g_ptr_array_index(topic->records, i - topic->first_offset);
        gsize size, key = strlen(record->key);
        const char *value = g_bytes_get_data(record->value, &size);

        append_big_endian(body, 1 + key + size, 4);
        g_string_append_c(body, (gchar)key);
        g_string_append_len(body, record->key, (gssize)key);
        g_string_append_len(body, value, (gssize)size);
    }
    respond(this, request, 200, Str_FromString(body));
    g_string_free(body, TRUE);
}

static void
on_wait_timeout(void *user, HttpRequest *request)
{
    PlatformStore *this = user;
    g_autofree char *name = HttpRequest_QueryString(request, "topic");
    const Topic *topic = get_topic(this, name);

    g_hash_table_remove(this->waiting_reads, request);
    respond_with_records(this, request, topic, end_offset(topic));
}

/* Responds to a read, or lets it wait for a record if @may_wait. Returns false
 * if no response was sent. */
static bool
serve_read(PlatformStore *this, HttpRequest *request, bool may_wait)
{
    g_autofree char *name = HttpRequest_QueryString(request, "topic");
    const Topic *topic = get_topic(this, name);
    uint64_t from = HttpRequest_QueryNumber(request, "from", 0);
    uint64_t wait_ms = HttpRequest_QueryNumber(request, "waitMs", 0);

    if (from < topic->first_offset || from > end_offset(topic)) {
        respond(this, request, 410, STR("{}"));
        return true;
    }
    if (from >= end_offset(topic) && wait_ms > 0 && may_wait) {
        HttpRequest_StartTimer(
            request, MIN((Micros)wait_ms * MICROS_PER_MS, LONG_POLL_MAX_US),
            on_wait_timeout);
        g_hash_table_add(this->waiting_reads, request);
        return false;
    }
    if (from < end_offset(topic) || wait_ms == 0) {
        respond_with_records(this, request, topic, from);
        return true;
    }
    return false;
}

static void
serve_newest(PlatformStore *this, HttpRequest *request)
{
    g_autofree char *name = HttpRequest_QueryString(request, "topic");
    const Topic *topic = get_topic(this, name);
    json_t *items = json_array(), *page;
    GHashTableIter iterator;
    gpointer value;
    char *text;

    g_hash_table_iter_init(&iterator, topic->newest);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const Record *record = value;
        gsize size;
        const guchar *data = g_bytes_get_data(record->value, &size);
        g_autofree char *encoded = g_base64_encode(data, size);

        json_array_append_new(
            items, json_pack("{s:s,s:s,s:I}", "key", record->key, "value",
                             encoded, "offset", (json_int_t)record->offset));
    }
    page = json_pack("{s:o,s:b,s:I}", "items", items, "more", 0, "end",
                     (json_int_t)end_offset(topic));
    text = json_dumps(page, JSON_COMPACT);
    respond(this, request, 200, Str_FromC(text));
    free(text);
    json_decref(page);
}

static void
wake_readers(PlatformStore *this)
{
    g_autoptr(GList) requests = g_hash_table_get_keys(this->waiting_reads);

    for (GList *link = requests; link != NULL; link = link->next) {
        if (serve_read(this, link->data, false)) {
            g_hash_table_remove(this->waiting_reads, link->data);
        }
    }
}

static void
append_record(PlatformStore *this, const char *name, const char *key,
              gconstpointer data, gsize size)
{
    Topic *topic = get_topic(this, name);
    Record *record = g_new0(Record, 1);

    record->key = g_strdup(key);
    record->value = g_bytes_new(data, size);
    record->offset = end_offset(topic);
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
    append_record(this, topic, key, value, strlen(value));
}

/* Splits the next record off a body in the format of respond_with_records().
 * Returns false if it is malformed. */
static bool
split_record(Str *body, Str *record)
{
    uint32_t length = 0;

    if (body->length < 6) {
        return false;
    }
    for (int i = 0; i < 4; i++) {
        length = length << 8 | (unsigned char)body->data[i];
    }
    *record = (Str){body->data + 4, length};
    if (length < 2 || length > body->length - 4 ||
        (unsigned char)record->data[0] >= length) {
        return false;
    }
    body->data += 4 + length;
    body->length -= 4 + length;
    return true;
}

static bool
are_records(Str body)
{
    Str record;

    while (body.length > 0) {
        if (!split_record(&body, &record)) {
            return false;
        }
    }
    return true;
}

static void
serve_append(PlatformStore *this, HttpRequest *request)
{
    g_autofree char *name = HttpRequest_QueryString(request, "topic");
    Str body = Control_Body(request), record;

    if (body.length == 0 || name == NULL || !are_records(body)) {
        respond(this, request, 400, STR("{}"));
        return;
    }
    while (body.length > 0 && split_record(&body, &record)) {
        size_t key = (unsigned char)record.data[0];
        g_autofree char *text = g_strndup(record.data + 1, key);

        append_record(this, name, text, record.data + 1 + key,
                      record.length - 1 - key);
    }
    respond(this, request, 200, STR("{\"offset\":0,\"end\":1}"));
}

static void
ignore_request(void *user, HttpRequest *request)
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

/* Returns false if the request is to be served normally. */
static bool
respond_by_mode(PlatformStore *this, HttpRequest *request)
{
    switch (this->mode) {
    case STORE_UP:
        return false;
    case STORE_UNAVAILABLE:
        respond(this, request, 503, STR("{}"));
        return true;
    case STORE_RATE_LIMITED:
        respond(this, request, 429, STR("{}"));
        return true;
    case STORE_UNRESPONSIVE:
        HttpRequest_StartTimer(request, UNRESPONSIVE_TIME_US, ignore_request);
        return true;
    case STORE_DISCONNECTING:
        HttpRequest_Abort(request);
        return true;
    case STORE_SLOW:
        HttpRequest_StartTimer(request, SLOW_RESPONSE_DELAY_US, serve);
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

    this->request_count++;
    if (!respond_by_mode(this, request)) {
        serve(this, request);
    }
}

static void
on_released(void *user, HttpRequest *request, bool response_sent)
{
    PlatformStore *this = user;

    g_hash_table_remove(this->waiting_reads, request);
    Control_FreeBody(request);
}

PlatformStore *
PlatformStore_Create(HttpLoop *loop)
{
    static const HttpHandlers handlers = {on_begin, on_data, on_complete,
                                          on_released};
    PlatformStore *this = g_new0(PlatformStore, 1);

    this->topics =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_topic);
    this->waiting_reads = g_hash_table_new(NULL, NULL);
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
    g_hash_table_destroy(this->waiting_reads);
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
        uint64_t end = end_offset(topic);

        g_ptr_array_extend_and_steal(topic->compacted,
                                     g_steal_pointer(&topic->records));
        topic->records = g_ptr_array_new_with_free_func(free_record);
        topic->first_offset = end;
    }
}

void
PlatformStore_Copy(PlatformStore *this)
{
    GHashTableIter iterator;
    gpointer value;

    g_hash_table_iter_init(&iterator, this->topics);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        Topic *topic = value;

        topic->copied_end = end_offset(topic);
    }
}

static void
put_newest(Topic *topic, Record *record)
{
    g_hash_table_remove(topic->newest, record->key);
    if (g_bytes_get_size(record->value) > 0) {
        g_hash_table_insert(topic->newest, record->key, record);
    }
}

/* Drops the records that the copy lacks. */
static void
restore_topic(Topic *topic)
{
    uint64_t end = MAX(topic->copied_end, topic->first_offset);

    g_hash_table_remove_all(topic->newest);
    if (end < end_offset(topic)) {
        g_ptr_array_set_size(topic->records,
                             (gint)(end - topic->first_offset));
    }
    for (guint i = 0; i < topic->compacted->len; i++) {
        put_newest(topic, g_ptr_array_index(topic->compacted, i));
    }
    for (guint i = 0; i < topic->records->len; i++) {
        put_newest(topic, g_ptr_array_index(topic->records, i));
    }
}

void
PlatformStore_Restore(PlatformStore *this)
{
    GHashTableIter iterator;
    gpointer value;

    this->era++;
    g_hash_table_iter_init(&iterator, this->topics);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        restore_topic(value);
    }
    wake_readers(this);
}

unsigned
PlatformStore_RequestCount(const PlatformStore *this)
{
    return this->request_count;
}
