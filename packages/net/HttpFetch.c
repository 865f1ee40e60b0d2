#include "HttpFetch.h"

#include <glib.h>
#include <string.h>

#define CONNECTIONS_MAX 16
#define IDLE_TIMEOUT_S 30
/* Limit on all open responses of a client together, relative to that on
 * one. */
#define TOTAL_BYTES_FACTOR 2

struct HttpFetch_ {
    Loop *loop;
    HttpClient *client;
    char *address;
    uint16_t port;
    char *prefix;
    char *authority; /* ADDRESS:PORT, for error messages */
    size_t max_bytes;
    size_t total_bytes; /* of the bodies of all open responses */
};

typedef struct Fetch_ {
    HttpFetch *owner;
    HttpCall *call;
    LoopTimer *timer;
    HttpFetchHandler *handler;
    void *user;
    HeaderList *headers;
    GByteArray *body;
    int status;
    bool too_long;
} Fetch;

static int
parse_url(HttpFetch *this, Str url, Error *error)
{
    Str rest = url, authority, host;
    uint64_t port;

    if (Str_StartsWith(url, STR("http://"))) {
        rest = (Str){url.data + 7, url.length - 7};
    }
    else if (Str_StartsWith(url, STR("https://"))) {
        rest = (Str){url.data + 8, url.length - 8};
    }
    else {
        return Error_Set(error, ERR_INVALID, "parse-url", url,
                         "a URL must begin with http:// or https://");
    }
    if (!Str_Split(&rest, '/', &authority)) {
        return Error_Set(error, ERR_INVALID, "parse-url", url,
                         "the URL has no address: expected http://IP:PORT");
    }
    this->authority = g_strndup(authority.data, authority.length);
    this->prefix = g_strdup_printf("%s" STR_FORMAT, rest.length > 0 ? "/" : "",
                                   STR_ARGS(rest));
    Str_Split(&authority, ':', &host);
    if (Str_ParseU64(authority, &port) < 0 || port == 0 || port > 65535) {
        return Error_Set(error, ERR_INVALID, "parse-url", url,
                         "the URL needs a port number from 1 to 65535");
    }
    this->address = g_strndup(host.data, host.length);
    this->port = (uint16_t)port;
    return 0;
}

HttpFetch *
HttpFetch_Create(Loop *loop, Str url, size_t max_bytes,
                 const HttpClientOptions *client, Error *error)
{
    HttpClientOptions options = {0};
    HttpFetch *this = g_new0(HttpFetch, 1);

    this->loop = loop;
    this->max_bytes = max_bytes;
    if (parse_url(this, url, error) < 0) {
        HttpFetch_Destroy(this);
        return NULL;
    }
    if (client != NULL) {
        options = *client;
    }
    if (!Str_StartsWith(url, STR("https://"))) {
        options.ca_file = NULL;
    }
    options.max_connections = CONNECTIONS_MAX;
    options.idle_timeout_s = IDLE_TIMEOUT_S;
    this->client = HttpClient_Create(loop, &options);
    return this;
}

void
HttpFetch_Destroy(HttpFetch *this)
{
    if (this == NULL) {
        return;
    }
    HttpClient_Destroy(this->client);
    g_free(this->address);
    g_free(this->prefix);
    g_free(this->authority);
    g_free(this);
}

static void
finish_fetch(Fetch *fetch, int code, bool maybe_sent, const Error *error)
{
    HttpFetchResponse response = {
        .code = code,
        .status = fetch->status,
        .maybe_sent = maybe_sent,
        .too_long = fetch->too_long,
        .headers = fetch->headers,
        .body = Str_FromBytes(fetch->body),
        .error = error,
    };

    LoopTimer_Stop(fetch->timer);
    fetch->owner->total_bytes -= fetch->body->len;
    fetch->handler(fetch->user, &response);
    LoopTimer_Destroy(fetch->timer);
    HeaderList_Destroy(fetch->headers);
    g_byte_array_free(fetch->body, TRUE);
    g_free(fetch);
}

static void
abort_fetch(Fetch *fetch, int code, const char *text)
{
    bool maybe_sent = fetch->call != NULL && HttpCall_MaybeSent(fetch->call);
    Error error;

    if (fetch->call != NULL) {
        HttpCall_Cancel(fetch->call);
    }
    Error_Set(&error, code, "fetch", Str_FromC(fetch->owner->authority), "%s",
              text);
    finish_fetch(fetch, code, maybe_sent, &error);
}

static void
on_timeout(void *user)
{
    Fetch *fetch = user;

    if (fetch->call == NULL) {
        abort_fetch(fetch, ERR_LIMIT, "all connections to this peer are busy");
        return;
    }
    abort_fetch(fetch, ERR_TIMEOUT, "no complete response within the timeout");
}

static void
on_headers(void *user, HttpCall *call, int status, const HeaderList *headers)
{
    Fetch *fetch = user;

    fetch->status = status;
    HeaderList_CopyAll(headers, fetch->headers);
}

static void
on_data(void *user, HttpCall *call, Str data)
{
    Fetch *fetch = user;
    HttpFetch *this = fetch->owner;

    if (fetch->body->len + data.length > this->max_bytes) {
        fetch->too_long = true;
        abort_fetch(fetch, ERR_PROTOCOL,
                    "the response body exceeds the size limit");
        return;
    }
    if (this->total_bytes + data.length >
        TOTAL_BYTES_FACTOR * this->max_bytes) {
        abort_fetch(fetch, ERR_LIMIT,
                    "the open responses together exceed the size limit");
        return;
    }
    this->total_bytes += data.length;
    g_byte_array_append(fetch->body, (const guint8 *)data.data,
                        (guint)data.length);
}

static void
on_drained(void *user, HttpCall *call)
{
    (void)user;
}

static void
on_complete(void *user, HttpCall *call)
{
    finish_fetch(user, 0, true, NULL);
}

static void
on_failed(void *user, HttpCall *call, HttpCallFailure failure, bool maybe_sent,
          const Error *error)
{
    finish_fetch(user, error->code, maybe_sent, error);
}

static const HttpCallHandlers fetch_handlers = {
    on_headers, on_data, on_drained, on_complete, on_failed,
};

void
HttpFetch_Send(HttpFetch *this, Str method, Str path,
               const HeaderList *headers, Str body, Micros timeout,
               HttpFetchHandler *handler, void *user)
{
    Fetch *fetch = g_new0(Fetch, 1);
    GString *full_path = g_string_new(this->prefix);
    HttpCallSpec spec = {
        .address = this->address,
        .port = this->port,
        .method = method,
        .headers = headers,
        .content_length = (int64_t)body.length,
    };

    Str_AppendTo(path, full_path);
    spec.path = Str_FromString(full_path);
    fetch->owner = this;
    fetch->handler = handler;
    fetch->user = user;
    fetch->headers = HeaderList_Create();
    fetch->body = g_byte_array_new();
    fetch->timer = LoopTimer_Create(this->loop, on_timeout, fetch);
    fetch->call =
        HttpClient_Start(this->client, &spec, &fetch_handlers, fetch, NULL);
    if (Loop_IsClosing(this->loop)) {
        g_string_free(full_path, TRUE);
        abort_fetch(fetch, ERR_UNAVAILABLE, "the process is shutting down");
        return;
    }
    if (fetch->call != NULL && body.length > 0) {
        HttpCall_WriteBody(fetch->call, body);
    }
    LoopTimer_Start(fetch->timer, fetch->call != NULL ? timeout : 1);
    g_string_free(full_path, TRUE);
}
