#include "HttpConnection.h"

#include <string.h>

#define PIECE_BYTES (64 * 1024)
#define HEAD_MAX_BYTES 4096
#define PIPELINED_MAX_BYTES (1024 * 1024)

static void
on_idle_timeout(Timer *timer)
{
    HttpConnection *this = TIMER_OWNER(timer, HttpConnection, idle_timer);

    this->aborted = true;
    lws_set_timeout(this->wsi, PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_ASYNC);
}

static void
start_idle_timer(HttpConnection *this)
{
    if (this->server->idle_timeout > 0 && this->request == NULL &&
        this->input->len == 0 && !this->stalled) {
        Timer_Start(&this->idle_timer, this->server->loop->timers,
                    this->server->idle_timeout, on_idle_timeout);
    }
}

HttpConnection *
HttpConnection_Create(HttpServer *server, struct lws *wsi)
{
    HttpConnection *this = g_new0(HttpConnection, 1);

    this->server = server;
    this->wsi = wsi;
    this->input = g_string_new(NULL);
    server->accepted_connections++;
    g_hash_table_add(server->connections, this);
    server->peak_connections =
        MAX(server->peak_connections, HttpServer_OpenConnections(server));
    /* The idle timer starts after the first request, so that the
     * connection of a slow peer is not closed before that request. */
    return this;
}

void
HttpConnection_Destroy(HttpConnection *this)
{
    if (this == NULL) {
        return;
    }
    if (this->request != NULL) {
        HttpRequest_Destroy(this->request, false);
    }
    Timer_Stop(&this->idle_timer);
    g_hash_table_remove(this->server->connections, this);
    g_string_free(this->input, TRUE);
    if (this->copy != NULL) {
        g_string_free(this->copy, TRUE);
    }
    g_free(this);
}

static int
send_text(HttpConnection *this, const char *text)
{
    unsigned char buffer[LWS_PRE + 128];
    size_t length = strlen(text);

    memcpy(buffer + LWS_PRE, text, length);
    return lws_write(this->wsi, buffer + LWS_PRE, length, LWS_WRITE_RAW);
}

static int
reject_malformed(HttpConnection *this)
{
    this->server->malformed_requests++;
    this->closing = true;
    lws_callback_on_writable(this->wsi);
    return send_text(this, "HTTP/1.1 400 Bad Request\r\n"
                           "content-length: 0\r\nconnection: close\r\n\r\n");
}

static void
complete_request(HttpRequest *request)
{
    HttpServer *server = request->connection->server;

    request->completed = true;
    server->handlers->complete(server->user, request);
}

/* Removes the bytes of the request body from the start of @bytes. */
static void
consume_body(HttpRequest *request, Str *bytes)
{
    HttpServer *server = request->connection->server;
    size_t piece =
        MIN(bytes->length, request->message.length - request->received);

    request->received += piece;
    if (piece > 0 && server->handlers->data != NULL) {
        server->handlers->data(server->user, request,
                               (Str){bytes->data, piece});
    }
    bytes->data += piece;
    bytes->length -= piece;
    if (request->received == request->message.length) {
        complete_request(request);
    }
}

/* Return: 1 if a head was parsed, 0 if more bytes are needed, -1 to close. */
static int
begin_request(HttpConnection *this)
{
    static HttpMessage message;
    Str bytes = Str_FromString(this->input);
    HttpRequest *request;
    int code = HttpMessage_Parse(&message, bytes);

    if (code < 0 || (code == 1 && message.chunked)) {
        return reject_malformed(this) < 0 ? -1 : 0;
    }
    if (code == 0) {
        return 0;
    }
    request = HttpRequest_Create(this, (Str){bytes.data, message.bytes});
    this->request = request;
    g_string_erase(this->input, 0, (gssize)message.bytes);
    if (HttpMessage_Has(&request->message, STR("expect")) &&
        send_text(this, "HTTP/1.1 100 Continue\r\n\r\n") < 0) {
        return -1;
    }
    this->server->handlers->begin(this->server->user, request);
    return 1;
}

/* Handles buffered requests up to the first that waits for its response. */
static int
process_input(HttpConnection *this)
{
    while (!this->aborted && !this->closing) {
        Str bytes;

        if (this->request == NULL) {
            int code = this->input->len > 0 ? begin_request(this) : 0;

            if (code <= 0) {
                return code;
            }
        }
        if (this->request->completed) {
            return 0;
        }
        bytes = Str_FromString(this->input);
        consume_body(this->request, &bytes);
        g_string_erase(this->input, 0,
                       (gssize)(this->input->len - bytes.length));
        if (this->request != NULL && !this->request->completed) {
            return 0;
        }
    }
    return this->aborted ? -1 : 0;
}

int
HttpConnection_OnBytes(HttpConnection *this, Str bytes)
{
    Timer_Stop(&this->idle_timer);
    if (this->stalled || this->closing) {
        return 0;
    }
    if (this->aborted) {
        return -1;
    }
    /* Bytes of a request body are passed on without a copy. */
    if (this->request != NULL && !this->request->completed &&
        this->input->len == 0) {
        consume_body(this->request, &bytes);
    }
    if (this->input->len + bytes.length > PIPELINED_MAX_BYTES) {
        return -1;
    }
    Str_AppendTo(bytes, this->input);
    return process_input(this);
}

/* Sends the headers and the first bytes of the body in one write. */
static int
send_piece(HttpRequest *request)
{
    static unsigned char buffer[LWS_PRE + HEAD_MAX_BYTES + PIECE_BYTES];
    size_t length = 0;
    size_t piece;

    if (!request->head_sent) {
        length = request->response_head->len;
        if (length > HEAD_MAX_BYTES) {
            return -1;
        }
        memcpy(buffer + LWS_PRE, request->response_head->str, length);
        request->head_sent = true;
    }
    piece = MIN(sizeof(buffer) - LWS_PRE - length,
                request->send_length - request->sent);
    if (piece > 0) {
        request->fill(request->fill_user, request->sent,
                      (char *)buffer + LWS_PRE + length, piece);
    }
    request->sent += piece;
    length += piece;
    return lws_write(request->connection->wsi, buffer + LWS_PRE, length,
                     LWS_WRITE_RAW);
}

static int
finish_response(HttpConnection *this)
{
    HttpRequest *request = this->request;
    bool close = request->close ||
                 request->send_length != request->declared_length ||
                 !request->completed;

    this->request = NULL;
    HttpRequest_Destroy(request, true);
    if (close) {
        this->closing = true;
        lws_callback_on_writable(this->wsi);
        return 0;
    }
    start_idle_timer(this);
    return process_input(this);
}

int
HttpConnection_OnWriteable(HttpConnection *this)
{
    HttpRequest *request = this->request;

    if (this->closing || this->aborted) {
        return -1;
    }
    if (request == NULL || !request->responding || this->stalled) {
        return 0;
    }
    do {
        if (send_piece(request) < 0) {
            return -1;
        }
    } while (request->sent < request->send_length &&
             !lws_send_pipe_choked(this->wsi));
    if (request->sent < request->send_length) {
        lws_callback_on_writable(this->wsi);
        return 0;
    }
    return finish_response(this);
}
