#ifndef AGATECRANK_NET_HTTPSERVER_H
#define AGATECRANK_NET_HTTPSERVER_H

#include "HttpParser.h"
#include "Loop.h"

/** typedef HttpServer - one listening address */
typedef struct HttpServer_ HttpServer;

/**
 * typedef HttpRequest - one request of a caller and the answer to it
 *
 * It lives until on_closed() returns. After HttpRequest_Finish() or
 * HttpRequest_Abort() no handler but on_closed() runs.
 */
typedef struct HttpRequest_ HttpRequest;

/**
 * struct HttpServerHandlers_ - what the owner of the server does
 * @on_request: the header block is complete
 * @on_body: next piece of the body
 * @on_body_end: the whole body was received
 * @on_drained: the answer's buffer is empty and more may be written
 * @on_closed: the last call for this request; @complete is false if the
 *             caller went away or the connection was aborted
 */
typedef struct HttpServerHandlers_ {
    void (*on_request)(void *user, HttpRequest *request);
    void (*on_body)(void *user, HttpRequest *request, Str data);
    void (*on_body_end)(void *user, HttpRequest *request);
    void (*on_drained)(void *user, HttpRequest *request);
    void (*on_closed)(void *user, HttpRequest *request, bool complete);
} HttpServerHandlers;

/**
 * struct HttpLimits_ - bounds on what a caller may send and how slowly
 * @head_bytes: longest header block, answered 431; 0 for the default
 * @body_bytes: longest body, answered 413; 0 for none
 * @head_timeout: time for a header block, answered 408; 0 for none
 */
typedef struct HttpLimits_ {
    size_t head_bytes;
    int64_t body_bytes;
    Micros head_timeout;
} HttpLimits;

/**
 * struct HttpServerOptions_ - settings of one listening address
 * @address: IP number to listen on
 * @port: TCP port
 * @keep_alive_s: seconds that an idle connection of a caller stays open
 * @certificate_file, @key_file: PEM files, NULL for plain HTTP
 * @client_ca_file: PEM file; callers must then show a certificate
 * @limits: bounds on what a caller may send
 * @accept_chunked: bodies may be framed by chunks; else they get 411
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
} HttpServerOptions;

/** HttpServer_Create() - listen; NULL with @error filled on failure */
HttpServer *HttpServer_Create(Loop *loop, const HttpServerOptions *options,
                              const HttpServerHandlers *handlers, void *user,
                              Error *error);

/** HttpServer_Port() - TCP port, also if the options gave 0 */
uint16_t HttpServer_Port(const HttpServer *this);

/** HttpServer_SetLimits() - for the next request of each connection */
void HttpServer_SetLimits(HttpServer *this, const HttpLimits *limits,
                          int keep_alive_s);

/** HttpServer_AcceptedCount() - connections accepted so far */
uint64_t HttpServer_AcceptedCount(const HttpServer *this);

/** HttpServer_DisableKeepAlive() - end each connection after its next answer */
void HttpServer_DisableKeepAlive(HttpServer *this);

/** HttpServer_CloseIdle() - close connections without a request */
void HttpServer_CloseIdle(HttpServer *this);

/** HttpServer_StopListening() - the same, and accept no more connections */
void HttpServer_StopListening(HttpServer *this);

/** HttpServer_Destroy() - release; the loop closes the connections */
void HttpServer_Destroy(HttpServer *this);

/** HttpServer_OpenRequests() - requests without a finished answer */
size_t HttpServer_OpenRequests(const HttpServer *this);

/** HttpRequest_Method() - upper-case method */
Str HttpRequest_Method(const HttpRequest *this);

/** HttpRequest_Path() - path with query, as received */
Str HttpRequest_Path(const HttpRequest *this);

/** HttpRequest_Headers() - header fields as received */
const HeaderList *HttpRequest_Headers(const HttpRequest *this);

/** HttpRequest_CertificateName() - common name of a verified certificate */
Str HttpRequest_CertificateName(const HttpRequest *this);

/** HttpRequest_ContentLength() - bytes of the body, 0 without a body, or
 *                               HTTP_LENGTH_UNKNOWN for a chunked one */
int64_t HttpRequest_ContentLength(const HttpRequest *this);

/** HttpRequest_SetData() and HttpRequest_Data() - the owner's pointer */
void HttpRequest_SetData(HttpRequest *this, void *data);
void *HttpRequest_Data(const HttpRequest *this);

/** HttpRequest_PauseBody() - stop or resume reading from the caller */
void HttpRequest_PauseBody(HttpRequest *this, bool paused);

/**
 * HttpRequest_StartResponse() - give the status and the header fields
 * @length: bytes of the body, or HTTP_LENGTH_UNKNOWN for chunked framing
 */
void HttpRequest_StartResponse(HttpRequest *this, int status,
                               const HeaderList *headers, int64_t length);

/** HttpRequest_Write() - append to the answer's body */
void HttpRequest_Write(HttpRequest *this, Str data);

/** HttpRequest_Buffered() - bytes of the answer that wait to be sent */
size_t HttpRequest_Buffered(const HttpRequest *this);

/** HttpRequest_Finish() - the answer is whole */
void HttpRequest_Finish(HttpRequest *this);

/** HttpRequest_Abort() - close so that the caller sees a broken answer */
void HttpRequest_Abort(HttpRequest *this);

/** HttpRequest_Respond() - a whole short answer in one call */
void HttpRequest_Respond(HttpRequest *this, int status,
                         const HeaderList *headers, Str body);

#endif
