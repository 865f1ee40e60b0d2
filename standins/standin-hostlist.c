#include <stdio.h>
#include <string.h>

#include "Control.h"

#define LIST_MAX_BYTES (64 * 1024 * 1024)

typedef struct Options_ {
    int64_t port;
    int64_t lag_ms;
    int64_t delay_ms;
    char *file;
    char *down;
} Options;

#define FIELD(name) offsetof(Options, name)

static const Setting OPTIONS[] = {
    {"port", SETTING_INT, FIELD(port), false, "port, 0 for a free one"},
    {"file", SETTING_TEXT, FIELD(file), false,
     "JSON file with {\"hosts\":[...]}, read at the start"},
    {"lag-ms", SETTING_INT, FIELD(lag_ms), true,
     "time until a change becomes visible"},
    {"delay-ms", SETTING_INT, FIELD(delay_ms), true,
     "time before an answer is sent"},
    {"down", SETTING_TEXT, FIELD(down), true,
     "no, 503, silent (no answer) or close"},
};

/* One version of the list, served from @visible_at on. */
typedef struct Version_ {
    Micros visible_at;
    char *text;
} Version;

typedef struct HostList_ {
    Options options;
    Clock *clock;
    json_t *hosts;   /* array of the newest version */
    GQueue versions; /* of Version, oldest first; the first one is served */
    int64_t version;
    int64_t reads;
    int64_t changes;
} HostList;

static void
free_version(void *pointer)
{
    Version *version = pointer;

    free(version->text);
    g_free(version);
}

/* Older versions become visible with the new one at the latest, also if the
 * lag was reduced in between. */
static void
publish(HostList *list, Micros lag)
{
    Version *version = g_new0(Version, 1);
    json_t *text;

    list->version++;
    text = json_pack("{s:I, s:O}", "version", (json_int_t)list->version,
                     "hosts", list->hosts);
    version->visible_at = Clock_Now(list->clock) + lag;
    version->text = json_dumps(text, JSON_COMPACT);
    for (GList *link = list->versions.head; link != NULL; link = link->next) {
        Version *older = link->data;

        older->visible_at = MIN(older->visible_at, version->visible_at);
    }
    json_decref(text);
    g_queue_push_tail(&list->versions, version);
}

static const char *
current_text(HostList *list)
{
    Micros now = Clock_Now(list->clock);
    GList *second;

    while ((second = list->versions.head->next) != NULL &&
           ((Version *)second->data)->visible_at <= now) {
        free_version(g_queue_pop_head(&list->versions));
    }
    return ((Version *)list->versions.head->data)->text;
}

static size_t
find_host(const HostList *list, const char *id)
{
    size_t index;
    json_t *host;

    json_array_foreach(list->hosts, index, host)
    {
        const char *other = json_string_value(json_object_get(host, "id"));

        if (other != NULL && strcmp(other, id) == 0) {
            return index;
        }
    }
    return json_array_size(list->hosts);
}

/* Updates hosts by id and adds unknown ones. Fields that a change does not
 * contain keep their values. */
static int
merge_hosts(HostList *list, json_t *changes, Error *error)
{
    size_t index;
    json_t *change;

    json_array_foreach(changes, index, change)
    {
        const char *id = json_string_value(json_object_get(change, "id"));
        size_t position;

        if (id == NULL) {
            return Error_Set(error, ERR_INVALID, "control", STR(""),
                             "a host in \"set\" has no id");
        }
        position = find_host(list, id);
        if (position < json_array_size(list->hosts)) {
            json_object_update(json_array_get(list->hosts, position), change);
        }
        else {
            json_array_append_new(list->hosts, json_deep_copy(change));
        }
    }
    return 0;
}

static void
remove_hosts(HostList *list, json_t *ids)
{
    size_t index;
    json_t *id;

    json_array_foreach(ids, index, id)
    {
        const char *text = json_string_value(id);

        if (text != NULL) {
            json_array_remove(list->hosts, find_host(list, text));
        }
    }
}

/*
 * "hosts" replaces the list, "set" adds or changes hosts by id, "remove"
 * removes ids. All changes of one object become visible together.
 */
static int
apply_change(HostList *list, json_t *object, Error *error)
{
    json_t *hosts = json_object_get(object, "hosts");
    json_t *set = json_object_get(object, "set");
    json_t *ids = json_object_get(object, "remove");
    int code = 0;

    if (hosts == NULL && set == NULL && ids == NULL) {
        return 0;
    }
    if ((hosts && !json_is_array(hosts)) || (set && !json_is_array(set)) ||
        (ids && !json_is_array(ids))) {
        return Error_Set(error, ERR_INVALID, "control", STR(""),
                         "hosts, set and remove must be arrays");
    }
    if (hosts != NULL) {
        json_decref(list->hosts);
        list->hosts = json_deep_copy(hosts);
    }
    code = merge_hosts(list, set, error);
    remove_hosts(list, ids);
    list->changes++;
    publish(list, list->options.lag_ms * MICROS_PER_MS);
    return code;
}

static json_t *
show_state(HostList *list)
{
    return json_pack(
        "{s:I, s:I, s:I, s:i, s:o}", "version", (json_int_t)list->version,
        "reads", (json_int_t)list->reads, "changes", (json_int_t)list->changes,
        "hosts", (int)json_array_size(list->hosts), "settings",
        Settings_Show(OPTIONS, G_N_ELEMENTS(OPTIONS), &list->options));
}

static void
serve_control(HostList *list, HttpRequest *request)
{
    Error error;
    int code = 0;

    if (strcmp(HttpRequest_Method(request), "POST") == 0) {
        json_t *object = Control_ParseBody(request);

        if (object == NULL) {
            return;
        }
        code = Settings_Apply(OPTIONS, G_N_ELEMENTS(OPTIONS), &list->options,
                              object, &error);
        if (code == 0) {
            code = apply_change(list, object, &error);
        }
        json_decref(object);
    }
    if (code < 0) {
        Control_RespondError(request, &error);
        return;
    }
    HttpRequest_RespondJson(request, 200, show_state(list));
}

static void
serve_list(void *user, HttpRequest *request)
{
    HostList *list = user;

    list->reads++;
    HttpRequest_Respond(request, 200, "content-type: application/json\r\n",
                        Str_FromC(current_text(list)));
}

static void
on_begin(void *user, HttpRequest *request)
{
    (void)user;
    (void)request;
}

static void
on_data(void *user, HttpRequest *request, Str piece)
{
    (void)user;
    if (Control_Body(request).length <= LIST_MAX_BYTES) {
        Control_AppendBody(request, piece);
    }
}

static void
on_complete(void *user, HttpRequest *request)
{
    HostList *list = user;
    const char *down = list->options.down;

    if (Str_Equal(HttpRequest_Path(request), STR("/control"))) {
        serve_control(list, request);
        return;
    }
    if (!Str_Equal(HttpRequest_Path(request), STR("/hosts"))) {
        HttpRequest_Respond(request, 404, "", STR(""));
        return;
    }
    if (strcmp(down, "503") == 0) {
        HttpRequest_Respond(request, 503, "", STR(""));
        return;
    }
    if (strcmp(down, "close") == 0) {
        HttpRequest_Abort(request);
        return;
    }
    if (strcmp(down, "silent") == 0) {
        return;
    }
    HttpRequest_StartTimer(request, list->options.delay_ms * MICROS_PER_MS,
                           serve_list);
}

static void
on_released(void *user, HttpRequest *request, bool response_sent)
{
    (void)user;
    (void)response_sent;
    Control_FreeBody(request);
}

static int
load_file(HostList *list)
{
    json_error_t error;
    json_t *object;

    list->hosts = json_array();
    if (*list->options.file == '\0') {
        return 0;
    }
    object = json_load_file(list->options.file, 0, &error);
    if (object == NULL || !json_is_array(json_object_get(object, "hosts"))) {
        fprintf(stderr, "%s: line %d: %s\n", list->options.file, error.line,
                object ? "array \"hosts\" is missing" : error.text);
        json_decref(object);
        return ERR_PARSE;
    }
    json_decref(list->hosts);
    list->hosts = json_incref(json_object_get(object, "hosts"));
    json_decref(object);
    return 0;
}

int
main(int argc, char **argv)
{
    static const HttpHandlers handlers = {on_begin, on_data, on_complete,
                                          on_released};
    HostList list = {.options = {.down = "no"}};
    HttpLoop *loop;
    HttpServer *server;
    int code = Settings_Parse(OPTIONS, G_N_ELEMENTS(OPTIONS), &list.options,
                              argc, argv);

    if (code != 0 || load_file(&list) < 0) {
        json_decref(list.hosts);
        Settings_Clear(OPTIONS, G_N_ELEMENTS(OPTIONS), &list.options);
        return code > 0 ? 0 : 2;
    }
    list.clock = Clock_CreateSystem();
    g_queue_init(&list.versions);
    publish(&list, 0);
    loop = HttpLoop_Create();
    server = HttpServer_Create(loop, (int)list.options.port, &handlers, &list);
    if (server == NULL) {
        fprintf(stderr, "can not listen on port %d\n", (int)list.options.port);
        return 1;
    }
    printf("port=%d\n", HttpServer_Port(server));
    fflush(stdout);
    HttpLoop_Run(loop, false);
    HttpLoop_Close(loop);
    HttpServer_Destroy(server);
    HttpLoop_Destroy(loop);
    g_queue_clear_full(&list.versions, free_version);
    json_decref(list.hosts);
    Clock_Destroy(list.clock);
    Settings_Clear(OPTIONS, G_N_ELEMENTS(OPTIONS), &list.options);
    return 0;
}
