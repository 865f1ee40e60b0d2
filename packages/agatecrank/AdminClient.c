#include "AdminClient.h"

#include <openssl/crypto.h>
#include <stdio.h>
#include <string.h>

#include "Command.h"
#include "HttpFetch.h"
#include "OperatorAuth.h"

#define RESPONSE_MAX_BYTES (64 * 1024 * 1024)
#define PAGE_ITEMS_MAX 500
/* Bounds the loop if a host returns the same page repeatedly. */
#define PAGES_MAX 10000

struct AdminClient_ {
    const CliSettings *settings;
    Clock *clock;
    Loop *loop;
    HttpFetch **fetches;
    size_t count;
    size_t pending;
    uint8_t secret[32];
};

typedef struct PendingCall_ {
    AdminClient *client;
    AdminResponse *response;
} PendingCall;

const char *
AdminResponse_Reason(const AdminResponse *this)
{
    const char *text = json_string_value(json_object_get(this->body, "text"));

    if (this->status == 0) {
        return this->error.text;
    }
    return text != NULL ? text
                        : "the response is not from the administration API";
}

void
AdminResponses_Free(AdminResponse *responses, size_t count)
{
    for (size_t i = 0; i < count; i++) {
        g_string_free(responses[i].text, TRUE);
        json_decref(responses[i].body);
    }
    g_free(responses);
}

static int
create_fetches(AdminClient *this, Error *error)
{
    const CliSettings *settings = this->settings;
    bool secure = settings->admin_ca_file.length > 0;
    HttpClientOptions tls = {.ca_file = settings->admin_ca_file.data};

    this->fetches = g_new0(HttpFetch *, settings->admin_urls.count + 1);
    for (size_t i = 0; i < settings->admin_urls.count; i++) {
        char *url =
            g_strdup_printf("%s://" STR_FORMAT, secure ? "https" : "http",
                            STR_ARGS(settings->admin_urls.items[i]));

        this->fetches[i] =
            HttpFetch_Create(this->loop, Str_FromC(url), RESPONSE_MAX_BYTES,
                             secure ? &tls : NULL, error);
        g_free(url);
        if (this->fetches[i] == NULL) {
            return error->code;
        }
        this->count++;
    }
    return 0;
}

AdminClient *
AdminClient_Create(const CliSettings *settings)
{
    AdminClient *this;
    Error error;

    if (settings->admin_urls.count == 0 ||
        settings->operator_name.length == 0 ||
        settings->key_file.length == 0) {
        fprintf(stderr, "agatecrank: the settings must contain admin_urls, "
                        "operator and key_file\n");
        return NULL;
    }
    this = g_new0(AdminClient, 1);
    this->settings = settings;
    this->clock = Clock_CreateSystem();
    this->loop = Loop_Create(this->clock, NULL, &error);
    if (this->loop == NULL ||
        CliSettings_ReadKey(settings->key_file.data, this->secret, &error) <
            0 ||
        create_fetches(this, &error) < 0) {
        Command_PrintError(&error);
        AdminClient_Destroy(this);
        return NULL;
    }
    return this;
}

void
AdminClient_Destroy(AdminClient *this)
{
    if (this == NULL) {
        return;
    }
    Loop_Destroy(this->loop);
    for (size_t i = 0; i < this->count; i++) {
        HttpFetch_Destroy(this->fetches[i]);
    }
    g_free(this->fetches);
    Clock_Destroy(this->clock);
    OPENSSL_cleanse(this->secret, sizeof(this->secret));
    g_free(this);
}

size_t
AdminClient_HostCount(const AdminClient *this)
{
    return this->count;
}

static void
on_response(void *user, const HttpFetchResponse *response)
{
    PendingCall *call = user;
    AdminResponse *result = call->response;

    result->maybe_sent = response->maybe_sent;
    if (response->code < 0) {
        result->error = *response->error;
    }
    else {
        result->status = response->status;
        Str_AppendTo(response->body, result->text);
        result->body =
            json_loadb(result->text->str, result->text->len, 0, NULL);
    }
    call->client->pending--;
    if (call->client->pending == 0) {
        Loop_Stop(call->client->loop);
    }
}

static void
send_call(AdminClient *this, size_t host, const char *method,
          const char *target, const char *body, PendingCall *call)
{
    AdminRequest signed_call = {
        .method = Str_FromC(method),
        .target = Str_FromC(target),
        .body = Str_FromC(body),
        .signed_at = Clock_Wall(this->clock),
    };
    HeaderList *headers = HeaderList_Create();
    GString *value = g_string_new(NULL);

    OperatorAuth_Sign(&signed_call, this->settings->operator_name,
                      this->secret, value);
    HeaderList_Add(headers, STR("authorization"), Str_FromString(value));
    call->response->host = this->settings->admin_urls.items[host];
    call->response->text = g_string_new(NULL);
    HttpFetch_Send(this->fetches[host], signed_call.method, signed_call.target,
                   headers, signed_call.body,
                   (Micros)this->settings->timeout_ms * MICROS_PER_MS,
                   on_response, call);
    HeaderList_Destroy(headers);
    g_string_free(value, TRUE);
}

static AdminResponse *
send_calls(AdminClient *this, size_t first, size_t count, const char *method,
           const char *target, const char *body)
{
    AdminResponse *responses = g_new0(AdminResponse, count);
    PendingCall *calls = g_new0(PendingCall, count);

    this->pending = count;
    for (size_t i = 0; i < count; i++) {
        calls[i] = (PendingCall){this, &responses[i]};
        send_call(this, first + i, method, target, body, &calls[i]);
    }
    Loop_Run(this->loop);
    g_free(calls);
    return responses;
}

AdminResponse *
AdminClient_CallAll(AdminClient *this, const char *method, const char *target,
                    const char *body)
{
    return send_calls(this, 0, this->count, method, target, body);
}

AdminResponse *
AdminClient_Call(AdminClient *this, size_t host, const char *method,
                 const char *target, const char *body)
{
    return send_calls(this, host, 1, method, target, body);
}

static int
exit_code(int status)
{
    switch (status) {
    case 200:
        return COMMAND_OK;
    case 400:
        return COMMAND_USAGE;
    case 401:
    case 404:
    case 405:
        return COMMAND_REFUSED;
    default:
        return COMMAND_UNAVAILABLE;
    }
}

static char *
page_target(const char *target, const char *after)
{
    const char *separator = strchr(target, '?') != NULL ? "&" : "?";

    if (after == NULL) {
        return g_strdup_printf("%s%slimit=%d", target, separator,
                               PAGE_ITEMS_MAX);
    }
    return g_strdup_printf("%s%slimit=%d&after=%s", target, separator,
                           PAGE_ITEMS_MAX, after);
}

/* Appends the items of @page to @root and sets @after to the cursor of the
 * next page. Returns false after the last page. */
static bool
append_page(json_t *root, json_t *page, char **after)
{
    const char *next = json_string_value(json_object_get(page, "next"));
    json_t *items = json_object_get(page, "items");

    json_object_update_missing(root, page);
    json_object_del(root, "next");
    if (json_object_get(root, "items") != items) {
        json_array_extend(json_object_get(root, "items"), items);
    }
    g_free(*after);
    *after = g_strdup(next);
    return next != NULL;
}

static int
read_pages(AdminClient *this, size_t host, const char *target, json_t *root)
{
    char *after = NULL;
    int code = COMMAND_OK;
    bool more = true;

    for (int pages = 0; more && pages < PAGES_MAX; pages++) {
        char *page = page_target(target, after);
        AdminResponse *response =
            AdminClient_Call(this, host, "GET", page, "");

        code = exit_code(response->status);
        if (code == COMMAND_OK && !json_is_object(response->body)) {
            code = COMMAND_UNAVAILABLE;
        }
        more = code == COMMAND_OK && append_page(root, response->body, &after);
        if (code != COMMAND_OK) {
            fprintf(stderr, "agatecrank: " STR_FORMAT ": %s\n",
                    STR_ARGS(response->host), AdminResponse_Reason(response));
        }
        AdminResponses_Free(response, 1);
        g_free(page);
    }
    g_free(after);
    return code;
}

int
AdminClient_Read(AdminClient *this, const char *target, json_t **root)
{
    int code = COMMAND_UNAVAILABLE;

    for (size_t i = 0; i < this->count && code == COMMAND_UNAVAILABLE; i++) {
        *root = json_object();
        code = read_pages(this, i, target, *root);
        if (code != COMMAND_OK) {
            json_decref(*root);
            *root = NULL;
        }
    }
    return code;
}
