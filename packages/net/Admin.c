#include "Admin.h"

#include <glib.h>
#include <string.h>

#include "AdminReads.h"
#include "AdminRoutes.h"

#define BODY_BYTES_MAX 4096

struct Admin_ {
    Loop *loop;
    AdminOptions options;
    HttpServer *server;
    bool leaving;
};

static void
respond_text(HttpRequest *request, int status, const char *type, Str text)
{
    HeaderList *headers = HeaderList_Create();

    HeaderList_Add(headers, STR("content-type"), Str_FromC(type));
    HttpRequest_Respond(request, status, headers, text);
    HeaderList_Destroy(headers);
}

/* Takes ownership of @root. */
static void
respond_json(HttpRequest *request, int status, json_t *root)
{
    char *text = json_dumps(root, JSON_INDENT(2) | JSON_PRESERVE_ORDER);
    GString *line = g_string_new(text);

    g_string_append_c(line, '\n');
    respond_text(request, status, "application/json", Str_FromString(line));
    g_string_free(line, TRUE);
    free(text);
    json_decref(root);
}

static void
respond_error(HttpRequest *request, int status, const char *code,
              const char *text)
{
    json_t *root = json_object();

    json_object_set_new(root, "error", json_string(code));
    json_object_set_new(root, "text", json_string(text));
    respond_json(request, status, root);
}

static void
respond_readiness(Admin *this, HttpRequest *request)
{
    ConfigSyncStatus sync;
    const char *reason;

    ConfigSync_Status(this->options.sync, &sync);
    reason = this->leaving ? "leaving" : sync.reason;
    if (!this->leaving && sync.ready && !*this->options.ready) {
        reason = "waiting for the host list or the claims stream";
    }
    if (this->leaving || !*this->options.ready) {
        respond_error(request, 503, "not-ready", reason);
        return;
    }
    respond_text(request, 200, "text/plain", STR("ready\n"));
}

static void
update_gauges(const Admin *this)
{
    const AdminOptions *options = &this->options;
    const ClaimsCounters *claims =
        Claims_Counters(Balancer_Claims(options->balancer));
    ConfigSyncStatus sync;

    ConfigSync_Status(options->sync, &sync);
    Counters_Set(options->counters, "agatecrank_open_requests", NULL, 0,
                 (double)Balancer_OpenRequests(options->balancer));
    Counters_Set(options->counters, "agatecrank_config_offset", NULL, 0,
                 (double)sync.offset);
    Counters_Set(options->counters, "agatecrank_log_up", NULL, 0,
                 sync.log_up ? 1 : 0);
    Counters_Set(options->counters, "agatecrank_log_read_age_seconds", NULL, 0,
                 (double)sync.read_age / 1e6);
    Counters_Set(options->counters, "agatecrank_log_appends", NULL, 0,
                 (double)LogClient_Appends(options->log_client));
    Counters_Set(options->counters, "agatecrank_log_bytes", NULL, 0,
                 (double)LogClient_BytesTransferred(options->log_client));
    Counters_Set(options->counters, "agatecrank_host_list_age_seconds", NULL,
                 0, (double)HostListClient_Age(options->host_list) / 1e6);
    Counters_Set(options->counters, "agatecrank_claims_dispatched", NULL, 0,
                 (double)claims->dispatched);
    Counters_Set(options->counters, "agatecrank_claims_abandoned", NULL, 0,
                 (double)claims->abandoned);
    Counters_Set(
        options->counters, "agatecrank_quarantine_entries", NULL, 0,
        (double)Quarantine_EntryCount(Balancer_Quarantine(options->balancer)));
}

static void
update_probe_gauges(const Admin *this)
{
    NameTable *services = Balancer_Services(this->options.balancer);
    ConfigCursor cursor = {0};
    const ConfigObject *object;

    while ((object = ConfigState_Next(this->options.config, CONFIG_SERVICE,
                                      &cursor)) != NULL) {
        CounterLabel label = {"service", object->name};

        if (NameTable_Find(services, object->name) == NAME_INDEX_NONE) {
            continue;
        }
        Counters_Set(this->options.counters,
                     "agatecrank_probe_budget_requests_per_s", &label, 1,
                     object->service.probe_requests_per_s);
    }
}

static void
respond_metrics(Admin *this, HttpRequest *request)
{
    GString *text = g_string_sized_new(65536);

    update_gauges(this);
    update_probe_gauges(this);
    Counters_Write(this->options.counters, text);
    respond_text(request, 200, "text/plain; version=0.0.4",
                 Str_FromString(text));
    g_string_free(text, TRUE);
}

static int
hex_digit(char c)
{
    return g_ascii_xdigit_value(c);
}

static bool
parse_hex64(const char *text, uint64_t *value)
{
    uint64_t n = 0;

    for (int i = 0; i < 16; i++) {
        int digit = hex_digit(text[i]);

        if (digit < 0) {
            return false;
        }
        n = n << 4 | (uint64_t)digit;
    }
    *value = n;
    return true;
}

static void
release_quarantine(Admin *this, HttpRequest *request, Str body,
                   const ConfigObject *operator_)
{
    json_t *root = json_loadb(body.data, body.length, 0, NULL);
    const char *line = json_string_value(json_object_get(root, "line"));
    const char *text = json_string_value(json_object_get(root, "fingerprint"));
    Fingerprint fingerprint = {0};

    if (line == NULL || text == NULL || strlen(text) != 32 ||
        !parse_hex64(text, &fingerprint.high) ||
        !parse_hex64(text + 16, &fingerprint.low)) {
        respond_error(request, 400, "invalid",
                      "the body must be {\"line\":NAME,"
                      "\"fingerprint\":32 hexadecimal digits}");
        json_decref(root);
        return;
    }
    fingerprint.line = NameTable_Find(Balancer_Lines(this->options.balancer),
                                      Str_FromC(line));
    if (!OperatorAuth_MayUseLine(operator_, Str_FromC(line)) ||
        Quarantine_Release(Balancer_Quarantine(this->options.balancer),
                           &fingerprint) < 0) {
        respond_error(request, 404, "not-found",
                      "no such fingerprint in your lines");
    }
    else {
        respond_text(request, 200, "application/json",
                     STR("{\"released\":true}\n"));
    }
    json_decref(root);
}

/* ---- signed requests ------------------------------------------------- */

static json_t *
read_resource(Admin *this, const AdminRoute *route, Str rest,
              const AdminQuery *query, const ConfigObject *operator_,
              Error *error)
{
    const AdminOptions *options = &this->options;

    switch (route->action) {
    case ADMIN_OBJECTS:
        return AdminReads_Objects(options, route->kind, query, operator_);
    case ADMIN_STATUS:
        return AdminReads_Status(options);
    case ADMIN_HOSTS:
        return AdminReads_Hosts(options, query);
    case ADMIN_UPSTREAMS:
        return AdminReads_Upstreams(options, query, error);
    case ADMIN_SHARES:
        return AdminReads_Shares(options, query, operator_, error);
    case ADMIN_QUARANTINE:
        return AdminReads_Quarantine(options, query, operator_, error);
    case ADMIN_EXPLAIN:
        return AdminReads_Explain(options, query, operator_, error);
    case ADMIN_PUBLICATION:
        return AdminReads_Publication(options, rest, operator_);
    default:
        return NULL;
    }
}

static void
handle_read(Admin *this, HttpRequest *request, const AdminRoute *route,
            Str rest, Str query_string, const ConfigObject *operator_)
{
    Error error = {.code = ERR_NOT_FOUND, .text = "no such resource"};
    AdminQuery query;
    json_t *root;

    if (AdminQuery_Parse(&query, query_string, &error) < 0) {
        respond_error(request, 400, Error_Name(error.code), error.text);
        return;
    }
    root = read_resource(this, route, rest, &query, operator_, &error);
    if (root == NULL) {
        respond_error(request, error.code == ERR_INVALID ? 400 : 404,
                      Error_Name(error.code), error.text);
        return;
    }
    respond_json(request, 200, root);
}

static void
handle_signed_request(Admin *this, HttpRequest *request, Str body)
{
    AdminRequest admin_request = {
        .method = HttpRequest_Method(request),
        .target = HttpRequest_Path(request),
        .body = body,
    };
    Error error;
    const ConfigObject *operator_;
    const AdminRoute *route;
    Str query_string = admin_request.target, path, rest;
    bool path_exists;

    if (OperatorAuth_Check(
            &admin_request,
            HeaderList_Get(HttpRequest_Headers(request), STR("authorization")),
            Clock_Wall(Loop_Clock(this->loop)), this->options.config,
            &this->options.settings->bootstrap_keys, &operator_, &error) < 0) {
        respond_error(request, 401, Error_Name(error.code), error.text);
        return;
    }
    Str_Split(&query_string, '?', &path);
    route = AdminRoute_Find(admin_request.method, path, &rest, &path_exists);
    if (route == NULL && path_exists) {
        respond_error(request, 405, "method-not-allowed",
                      "changes are published through the log");
    }
    else if (route == NULL) {
        respond_error(request, 404, Error_Name(ERR_NOT_FOUND),
                      "no such resource");
    }
    else if (route->action == ADMIN_RELEASE) {
        release_quarantine(this, request, body, operator_);
    }
    else {
        handle_read(this, request, route, rest, query_string, operator_);
    }
}

static bool
handle_unsigned_request(Admin *this, HttpRequest *request)
{
    Str rest;
    bool path_exists;
    const AdminRoute *route =
        AdminRoute_Find(HttpRequest_Method(request), HttpRequest_Path(request),
                        &rest, &path_exists);

    if (route == NULL) {
        return false;
    }
    switch (route->action) {
    case ADMIN_HEALTH:
        respond_text(request, 200, "text/plain", STR("ok\n"));
        return true;
    case ADMIN_READY:
        respond_readiness(this, request);
        return true;
    case ADMIN_METRICS:
        respond_metrics(this, request);
        return true;
    default:
        return false;
    }
}

/* ---- server ---------------------------------------------------------- */

static void
on_request(void *user, HttpRequest *request)
{
    Admin *this = user;

    HttpRequest_SetData(request, NULL);
    if (handle_unsigned_request(this, request)) {
        return;
    }
    if (HttpRequest_ContentLength(request) > BODY_BYTES_MAX) {
        respond_error(request, 413, "limit", "the body is too large");
        return;
    }
    HttpRequest_SetData(request, g_string_new(NULL));
}

static void
on_body(void *user, HttpRequest *request, Str data)
{
    GString *body = HttpRequest_Data(request);

    if (body != NULL) {
        Str_AppendTo(data, body);
    }
}

static void
on_body_end(void *user, HttpRequest *request)
{
    const GString *body = HttpRequest_Data(request);

    if (body != NULL) {
        handle_signed_request(user, request, Str_FromString(body));
    }
}

static void
on_drained(void *user, HttpRequest *request)
{
}

static void
on_closed(void *user, HttpRequest *request, bool complete)
{
    GString *body = HttpRequest_Data(request);

    if (body != NULL) {
        g_string_free(body, TRUE);
    }
}

static const HttpServerHandlers handlers = {
    on_request, on_body, on_body_end, on_drained, on_closed,
};

Admin *
Admin_Create(Loop *loop, const AdminOptions *options, Error *error)
{
    Admin *this = g_new0(Admin, 1);

    this->loop = loop;
    this->options = *options;
    this->server =
        HttpServer_Create(loop, &options->server, &handlers, this, error);
    if (this->server == NULL) {
        g_free(this);
        return NULL;
    }
    return this;
}

void
Admin_Destroy(Admin *this)
{
    HttpServer_Destroy(this->server);
    g_free(this);
}

uint16_t
Admin_Port(const Admin *this)
{
    return HttpServer_Port(this->server);
}

void
Admin_SetLeaving(Admin *this)
{
    this->leaving = true;
}
