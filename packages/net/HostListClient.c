#include "HostListClient.h"

#include <glib.h>
#include <jansson.h>
#include <string.h>

#define LIST_BYTES_MAX (16 * 1024 * 1024)
#define FETCH_TIMEOUT_US (2 * MICROS_PER_S)

struct HostListClient_ {
    Loop *loop;
    HttpFetch *fetch;
    LoopTimer *timer;
    EventLog *log;
    Micros interval;
    Micros received_at; /* -1 before the first list */
    uint64_t digest;    /* hash of the last valid list */
    HostListHandler *handler;
    void *user;
    bool failing;
};

static Str
copy_member(const json_t *object, const char *key, Arena *arena)
{
    const char *text = json_string_value(json_object_get(object, key));

    return Arena_CopyStr(arena, Str_FromC(text));
}

static uint16_t
port_member(const json_t *object, const char *key)
{
    json_int_t port = json_integer_value(json_object_get(object, key));

    return port > 0 && port <= 65535 ? (uint16_t)port : 0;
}

static int
compare_labels(const void *a, const void *b)
{
    const Label *x = a, *y = b;

    return strcmp(x->key.data, y->key.data);
}

static Labels
copy_labels(json_t *object, Arena *arena)
{
    size_t count = json_object_size(object), n = 0;
    Label *items = Arena_Alloc(arena, (count + 1) * sizeof(Label));
    const char *key;
    json_t *value;

    json_object_foreach(object, key, value)
    {
        if (json_is_string(value)) {
            items[n].key = Arena_CopyStr(arena, Str_FromC(key));
            items[n].value =
                Arena_CopyStr(arena, Str_FromC(json_string_value(value)));
            n++;
        }
    }
    qsort(items, n, sizeof(Label), compare_labels);
    return (Labels){items, n};
}

static bool
parse_entry(json_t *object, Arena *arena, HostEntry *entry)
{
    const char *role = json_string_value(json_object_get(object, "role"));
    const char *state = json_string_value(json_object_get(object, "state"));

    entry->id = copy_member(object, "id", arena);
    entry->address = copy_member(object, "address", arena);
    entry->service = copy_member(object, "service", arena);
    entry->domain = copy_member(object, "domain", arena);
    entry->port = port_member(object, "port");
    entry->peer_port = port_member(object, "peer_port");
    entry->role =
        g_strcmp0(role, "balancer") == 0 ? HOST_BALANCER : HOST_UPSTREAM;
    entry->leaving = g_strcmp0(state, "leaving") == 0;
    entry->labels = copy_labels(json_object_get(object, "labels"), arena);
    return entry->id.length > 0 && entry->address.length > 0 &&
           entry->port > 0;
}

int
HostList_Parse(Str text, Arena *arena, GArray *entries, Error *error)
{
    json_error_t parse_error;
    json_t *root = json_loadb(text.data, text.length, 0, &parse_error);
    json_t *hosts = json_object_get(root, "hosts");
    json_t *object;
    size_t i;

    if (!json_is_array(hosts)) {
        Error_Set(error, ERR_PARSE, "host-list", STR(""), "%s",
                  root == NULL ? parse_error.text
                               : "the host list has no array 'hosts'");
        json_decref(root);
        return ERR_PARSE;
    }
    json_array_foreach(hosts, i, object)
    {
        HostEntry entry = {0};

        if (parse_entry(object, arena, &entry)) {
            g_array_append_val(entries, entry);
        }
    }
    json_decref(root);
    return 0;
}

static void
report_failure(HostListClient *this, const Error *error)
{
    if (!this->failing &&
        EventLog_Begin(this->log, LOG_LEVEL_WARN, "host-list-unavailable")) {
        EventLog_Error(this->log, error);
        EventLog_End(this->log);
    }
    this->failing = true;
}

static void
apply_list(HostListClient *this, Str body)
{
    Arena *arena;
    GArray *entries;
    Error error;

    this->received_at = Clock_Now(Loop_Clock(this->loop));
    if (Str_Hash(body) == this->digest) {
        this->failing = false;
        return;
    }
    arena = Arena_Create();
    entries = g_array_new(FALSE, FALSE, sizeof(HostEntry));
    if (HostList_Parse(body, arena, entries, &error) < 0) {
        report_failure(this, &error);
    }
    else {
        this->failing = false;
        this->digest = Str_Hash(body);
        this->handler(this->user, (const HostEntry *)(void *)entries->data,
                      entries->len);
    }
    g_array_free(entries, TRUE);
    Arena_Destroy(arena);
}

static void
on_fetched(void *user, const HttpFetchResponse *response)
{
    HostListClient *this = user;
    Error error;

    LoopTimer_Start(this->timer, this->interval);
    if (response->code == 0 && response->status == 200) {
        apply_list(this, response->body);
        return;
    }
    if (response->error == NULL) {
        Error_Set(&error, ERR_UNAVAILABLE, "host-list", STR(""),
                  "GET /hosts returned HTTP status %d", response->status);
        report_failure(this, &error);
        return;
    }
    report_failure(this, response->error);
}

static void
poll_list(void *user)
{
    HostListClient *this = user;

    HttpFetch_Send(this->fetch, STR("GET"), STR("/hosts"), NULL, STR(""),
                   FETCH_TIMEOUT_US, on_fetched, this);
}

HostListClient *
HostListClient_Create(Loop *loop, Str url, Micros interval,
                      const HttpClientOptions *client_options, EventLog *log,
                      HostListHandler *handler, void *user, Error *error)
{
    HostListClient *this = g_new0(HostListClient, 1);

    this->loop = loop;
    this->log = log;
    this->interval = interval;
    this->received_at = -1;
    this->handler = handler;
    this->user = user;
    this->fetch =
        HttpFetch_Create(loop, url, LIST_BYTES_MAX, client_options, error);
    if (this->fetch == NULL) {
        g_free(this);
        return NULL;
    }
    this->timer = LoopTimer_Create(loop, poll_list, this);
    LoopTimer_Start(this->timer, 1);
    return this;
}

void
HostListClient_Destroy(HostListClient *this)
{
    if (this == NULL) {
        return;
    }
    LoopTimer_Destroy(this->timer);
    HttpFetch_Destroy(this->fetch);
    g_free(this);
}

Micros
HostListClient_Age(const HostListClient *this)
{
    if (this->received_at < 0) {
        return -1;
    }
    return Clock_Now(Loop_Clock(this->loop)) - this->received_at;
}
