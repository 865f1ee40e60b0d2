#ifndef AGATECRANK_NET_HTTPSERVER_H
#define AGATECRANK_NET_HTTPSERVER_H

#include "HttpParser.h"
#include "InputBudget.h"
#include "Loop.h"

/** typedef HttpServer - HTTP/1.1 server on one listening address */
typedef struct HttpServer_ HttpServer;

/**
 * typedef HttpRequest - request of a caller and the response to it
 *
 * Released after on_closed() returns. After HttpRequest_Finish() or
 * HttpRequest_Abort() only on_closed() runs.
 */
typedef struct HttpRequest_ HttpRequest;

/**
 * struct HttpServerHandlers_ - callbacks of the owner of a server
 * @on_request: the header block was received
 * @on_body: next part of the body, borrowed during the callback
 * @on_body_end: the body is complete
 * @on_drained: the output buffer is empty; more of the response may be written
 * @on_closed: last callback for a request; @complete is false if the caller
 *             disconnected or the connection was aborted
 */
typedef struct HttpServerHandlers_ {
    void (*on_request)(void *user, HttpRequest *request);
    void (*on_body)(void *user, HttpRequest *request, Str data);
    void (*on_body_end)(void *user, HttpRequest *request);
    void (*on_drained)(void *user, HttpRequest *request);
    void (*on_closed)(void *user, HttpRequest *request, bool complete);
} HttpServerHandlers;

/**
 * struct HttpLimits_ - limits on the size and duration of requests
 * @head_bytes: maximum size of a header block, else 431; 0 for the default
 * @body_bytes: maximum size of a body, else 413; 0 for no limit
 * @head_timeout: maximum time to receive a header block, else 408; 0 for no
 *                limit
 */
typedef struct HttpLimits_ {
    size_t head_bytes;
    int64_t body_bytes;
    Micros head_timeout;
} HttpLimits;

/**
 * struct HttpServerOptions_ - settings of a server
 * @address: IPv4 address to listen on
 * @port: TCP port; 0 to let the system choose one
 * @keep_alive_s: seconds after which an idle connection is closed
 * @certificate_file, @key_file: PEM files; NULL for plain HTTP
 * @client_ca_file: PEM file of the CA that signs client certificates, which
 *                  callers must then present; NULL to require none
 * @limits: limits on requests
 * @accept_chunked: accept chunked bodies; else they are rejected with 411
 * @budget: bounds what requests make the process keep; borrowed, NULL for no
 *          bound
 * @connections_max: open connections beyond which one is closed for each new
 *                   one, or new ones wait; 0 for no limit. Needs @budget.
 * @log: receives the counts of connections that are ended; may be NULL
 */
typedef struct HttpServerOptions_ {
    const char *address;
    uint16_t port;
    int keep_alive_s;
    const char *certificate_file;
    const char *key_file;
    const char *client_ca_file;
    HttpLimits limits;
    bool accept_chunked;
    InputBudget *budget;
    unsigned connections_max;
    EventLog *log;
} HttpServerOptions;

/**
 * HttpServer_Create() - start to listen
 *
 * Return: NULL with @error filled on failure.
 */
HttpServer *HttpServer_Create(Loop *loop, const HttpServerOptions *options,
                              const HttpServerHandlers *handlers, void *user,
                              Error *error);

/**
 * struct HttpServerIdleCounts_ - idle connections whose time has run out
 * @closed: connections that were closed by their limit
 * @with_input: times that input was waiting to be read then, or at a stop
 */
typedef struct HttpServerIdleCounts_ {
    uint64_t closed;
    uint64_t with_input;
} HttpServerIdleCounts;

/** HttpServer_IdleCounts() - counts since the start; borrowed */
const HttpServerIdleCounts *HttpServer_IdleCounts(const HttpServer *this);

/**
 * struct HttpServerPressure_ - connections ended for lack of memory or
 *     descriptors
 * @refused: with status 503, nothing of the request was passed on
 * @closed: without a response
 */
typedef struct HttpServerPressure_ {
    uint64_t refused;
    uint64_t closed;
} HttpServerPressure;

/** HttpServer_Pressure() - counts since the start; borrowed */
const HttpServerPressure *HttpServer_Pressure(const HttpServer *this);

/** HttpServer_Port() - TCP port; the one in use if the options gave 0 */
uint16_t HttpServer_Port(const HttpServer *this);

/**
 * HttpServer_SetLimits() - change the limits and the idle timeout
 * @idle_timeout: time for which callers may leave a connection idle; 0 for no
 *                limit. It is closed a quarter later, at most 5 s, as responses
 *                and requests take time on their way.
 *
 * Limits apply from the next request of each open connection on. A raised idle
 * timeout also applies to connections that are idle; the one before a lowered
 * timeout holds for 9 s more, as callers may still go by it.
 */
void HttpServer_SetLimits(HttpServer *this, const HttpLimits *limits,
                          Micros idle_timeout);

/** HttpServer_AcceptedCount() - number of connections accepted so far */
uint64_t HttpServer_AcceptedCount(const HttpServer *this);

/** HttpServer_DisableKeepAlive() - close each connection after its response */
void HttpServer_DisableKeepAlive(HttpServer *this);

/** HttpServer_CloseIdle() - close connections without an open request */
void HttpServer_CloseIdle(HttpServer *this);

/**
 * HttpServer_StopListening() - disable keep-alive and close the listener
 *
 * Connections in the accept queue are accepted first.
 */
void HttpServer_StopListening(HttpServer *this);

/** HttpServer_Destroy() - close connections and release; NULL is allowed */
void HttpServer_Destroy(HttpServer *this);

/** HttpServer_OpenRequests() - number of unfinished requests */
size_t HttpServer_OpenRequests(const HttpServer *this);

/** HttpRequest_Method() - method of the request line */
Str HttpRequest_Method(const HttpRequest *this);

/** HttpRequest_Path() - path and query, not decoded */
Str HttpRequest_Path(const HttpRequest *this);

/** HttpRequest_Headers() - header fields of the request */
const HeaderList *HttpRequest_Headers(const HttpRequest *this);

/**
 * HttpRequest_CertificateName() - common name in the caller's verified
 *     certificate, or an empty Str
 */
Str HttpRequest_CertificateName(const HttpRequest *this);

/** HttpRequest_IsFrom() - whether the caller has this IPv4 address */
bool HttpRequest_IsFrom(const HttpRequest *this, const char *address);

/**
 * HttpRequest_ContentLength() - length of the body in bytes
 *
 * Return: 0 without a body, HTTP_LENGTH_UNKNOWN if it is chunked.
 */
int64_t HttpRequest_ContentLength(const HttpRequest *this);

/** HttpRequest_SetData() - attach a pointer of the owner */
void HttpRequest_SetData(HttpRequest *this, void *data);

/** HttpRequest_Data() - pointer set by HttpRequest_SetData() */
void *HttpRequest_Data(const HttpRequest *this);

/** HttpRequest_CloseAfter() - close the connection after the response */
void HttpRequest_CloseAfter(HttpRequest *this);

/** HttpRequest_PauseBody() - stop or resume reading the request body */
void HttpRequest_PauseBody(HttpRequest *this, bool paused);

/**
 * HttpRequest_StartResponse() - write the status line and the header fields
 * @length: length of the body in bytes; HTTP_LENGTH_UNKNOWN for a chunked body
 */
void HttpRequest_StartResponse(HttpRequest *this, int status,
                               const HeaderList *headers, int64_t length);

/** HttpRequest_Write() - append to the response body */
void HttpRequest_Write(HttpRequest *this, Str data);

/** HttpRequest_Buffered() - bytes of the response in the output buffers */
size_t HttpRequest_Buffered(const HttpRequest *this);

/** HttpRequest_Finish() - mark the response as complete */
void HttpRequest_Finish(HttpRequest *this);

/**
 * HttpRequest_Abort() - close the connection, so that the caller sees a
 *     truncated response
 */
void HttpRequest_Abort(HttpRequest *this);

/** HttpRequest_Respond() - send a complete response */
void HttpRequest_Respond(HttpRequest *this, int status,
                         const HeaderList *headers, Str body);

#endif
