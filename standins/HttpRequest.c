#include "HttpConnection.h"

#include <string.h>

static int
hex_digit(char c)
{
    return g_ascii_xdigit_value(c);
}

static char *
decode_path(Str path)
{
    GString *out = g_string_new(NULL);

    for (size_t i = 0; i < path.length; i++) {
        if (path.data[i] == '%' && i + 2 < path.length &&
            hex_digit(path.data[i + 1]) >= 0 &&
            hex_digit(path.data[i + 2]) >= 0) {
            int byte =
                hex_digit(path.data[i + 1]) * 16 + hex_digit(path.data[i + 2]);

            g_string_append_c(out, (gchar)byte);
            i += 2;
            continue;
        }
        g_string_append_c(out, path.data[i]);
    }
    return g_string_free(out, FALSE);
}

static bool
wants_close(const HttpMessage *message)
{
    Str connection = HttpMessage_Header(message, STR("connection"));

    return Str_EqualIgnoreCase(connection, STR("close")) ||
           Str_Equal(message->start[2], STR("HTTP/1.0"));
}

HttpRequest *
HttpRequest_Create(HttpConnection *connection, Str bytes)
{
    HttpRequest *this = g_new0(HttpRequest, 1);
    Str target;
    Str path;

    this->connection = connection;
    this->head = Str_ToString(bytes);
    HttpMessage_Parse(&this->message, Str_FromString(this->head));
    target = this->message.start[1];
    Str_Split(&target, '?', &path);
    this->method =
        g_strndup(this->message.start[0].data, this->message.start[0].length);
    this->path = decode_path(path);
    this->query = g_strdup_printf("&" STR_FORMAT, STR_ARGS(target));
    this->close = wants_close(&this->message);
    return this;
}

void
HttpRequest_Destroy(HttpRequest *this, bool response_sent)
{
    HttpServer *server = this->connection->server;

    Timer_Stop(&this->timer);
    if (server->handlers->released != NULL) {
        server->handlers->released(server->user, this, response_sent);
    }
    if (this->response_head != NULL) {
        g_string_free(this->response_head, TRUE);
    }
    if (this->body != NULL) {
        g_bytes_unref(this->body);
    }
    g_string_free(this->head, TRUE);
    g_free(this->method);
    g_free(this->path);
    g_free(this->query);
    g_free(this);
}

struct sockaddr_in
HttpRequest_Peer(const HttpRequest *this)
{
    struct sockaddr_in address = {0};
    socklen_t length = sizeof(address);

    getpeername(lws_get_socket_fd(this->connection->wsi),
                (struct sockaddr *)&address, &length);
    return address;
}

const char *
HttpRequest_Method(const HttpRequest *this)
{
    return this->method;
}

Str
HttpRequest_Path(const HttpRequest *this)
{
    return Str_FromC(this->path);
}

uint64_t
HttpRequest_QueryNumber(const HttpRequest *this, const char *name,
                        uint64_t default_value)
{
    g_autofree char *key = g_strdup_printf("&%s=", name);
    const char *found = strstr(this->query, key);

    if (found == NULL) {
        return default_value;
    }
    return g_ascii_strtoull(found + strlen(key), NULL, 10);
}

char *
HttpRequest_QueryString(const HttpRequest *this, const char *name)
{
    g_autofree char *key = g_strdup_printf("&%s=", name);
    const char *found = strstr(this->query, key);
    g_autofree char *raw = NULL;

    if (found == NULL) {
        return NULL;
    }
    found += strlen(key);
    raw = g_strndup(found, strcspn(found, "&"));
    return g_uri_unescape_string(raw, NULL);
}

char *
HttpRequest_Header(const HttpRequest *this, const char *name)
{
    Str value = HttpMessage_Header(&this->message, Str_FromC(name));

    if (!HttpMessage_Has(&this->message, Str_FromC(name))) {
        return NULL;
    }
    return g_strndup(value.data, value.length);
}

uint64_t
HttpRequest_Length(const HttpRequest *this)
{
    return this->message.length;
}

void
HttpRequest_SetData(HttpRequest *this, void *data)
{
    this->data = data;
}

void *
HttpRequest_Data(const HttpRequest *this)
{
    return this->data;
}

static void
on_request_timer(Timer *timer)
{
    HttpRequest *this = TIMER_OWNER(timer, HttpRequest, timer);

    this->on_timer_expired(this->connection->server->user, this);
}

void
HttpRequest_StartTimer(HttpRequest *this, Micros delay,
                       void (*on_timer_expired)(void *user,
                                                HttpRequest *request))
{
    this->on_timer_expired = on_timer_expired;
    Timer_Start(&this->timer, this->connection->server->loop->timers, delay,
                on_request_timer);
}

static const char *
status_text(int status)
{
    switch (status) {
    case 200:
        return "OK";
    case 400:
        return "Bad Request";
    case 404:
        return "Not Found";
    case 413:
        return "Payload Too Large";
    case 500:
        return "Internal Server Error";
    case 503:
        return "Service Unavailable";
    case 504:
        return "Gateway Timeout";
    default:
        return "Status";
    }
}

/* Puts the copy of an earlier response before this one. */
static void
add_copy(HttpRequest *this)
{
    HttpConnection *connection = this->connection;
    GString *copy = connection->copy;

    connection->copy =
        this->repeats ? g_string_new(this->response_head->str) : NULL;
    if (copy != NULL) {
        g_string_prepend(this->response_head, copy->str);
        g_string_free(copy, TRUE);
    }
}

void
HttpRequest_RespondStream(HttpRequest *this, int status, const char *headers,
                          uint64_t length, uint64_t send_length,
                          HttpBodyWriter *fill, void *user)
{
    bool head = strcmp(this->method, "HEAD") == 0;

    if (this->responding) {
        return;
    }
    this->responding = true;
    this->response_head = g_string_new(NULL);
    g_string_printf(this->response_head,
                    "HTTP/1.1 %d %s\r\n"
                    "content-length: %" G_GUINT64_FORMAT "\r\n"
                    "%s%s\r\n",
                    status, status_text(status), length,
                    this->close ? "connection: close\r\n" : "", headers);
    add_copy(this);
    this->declared_length = head ? 0 : length;
    this->send_length = head ? 0 : send_length;
    this->fill = fill;
    this->fill_user = user;
    lws_callback_on_writable(this->connection->wsi);
}

static void
fill_from_body(void *user, uint64_t offset, char *out, size_t length)
{
    const char *data = g_bytes_get_data(((HttpRequest *)user)->body, NULL);

    memcpy(out, data + offset, length);
}

void
HttpRequest_Respond(HttpRequest *this, int status, const char *headers,
                    Str body)
{
    if (this->responding) {
        return;
    }
    this->body = g_bytes_new(body.data, body.length);
    HttpRequest_RespondStream(this, status, headers, body.length, body.length,
                              fill_from_body, this);
}

void
HttpRequest_RespondJson(HttpRequest *this, int status, json_t *json)
{
    char *text = json_dumps(json, JSON_COMPACT);

    HttpRequest_Respond(this, status, "content-type: application/json\r\n",
                        Str_FromC(text));
    free(text);
    json_decref(json);
}

void
HttpRequest_RepeatResponse(HttpRequest *this)
{
    this->repeats = true;
}

void
HttpRequest_Abort(HttpRequest *this)
{
    this->connection->aborted = true;
    lws_set_timeout(this->connection->wsi, PENDING_TIMEOUT_USER_OK,
                    LWS_TO_KILL_ASYNC);
}
