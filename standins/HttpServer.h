#ifndef AGATECRANK_STANDINS_HTTPSERVER_H
#define AGATECRANK_STANDINS_HTTPSERVER_H

#include <glib.h>
#include <jansson.h>

#include "Clock.h"
#include "Error.h"
#include "HttpLoop.h"
#include "Str.h"

/**
 * typedef HttpServer - one listening loopback port with its handlers
 *
 * Connections are raw sockets of libwebsockets: its HTTP server role
 * (4.1.6) does not read while an answer is pending, so it would notice a
 * cancelled request only at the end and use a whole core until then.
 */
typedef struct HttpServer_ HttpServer;

/** typedef HttpRequest - one request, from its headers to its answer's end */
typedef struct HttpRequest_ HttpRequest;

/**
 * struct HttpHandlers_ - what a program does with requests
 * @begin: the headers are there
 * @data: a piece of the body; may be NULL
 * @complete: the whole body is there; answer now or later
 * @gone: the answer was sent or the connection closed; the request is freed
 *        after this. @answered tells which. May be NULL.
 */
typedef struct HttpHandlers_ {
    void (*begin)(void *user, HttpRequest *request);
    void (*data)(void *user, HttpRequest *request, Str piece);
    void (*complete)(void *user, HttpRequest *request);
    void (*gone)(void *user, HttpRequest *request, bool answered);
} HttpHandlers;

/** typedef HttpBodyWriter - write body bytes from @offset on; borrowed user data */
typedef void HttpBodyWriter(void *user, uint64_t offset, char *out,
                            size_t length);

/**
 * HttpServer_Create() - listen on 127.0.0.1
 * @port: 0 for a free one, see HttpServer_Port()
 *
 * Return: NULL if the port can not be had.
 */
HttpServer *HttpServer_Create(HttpLoop *loop, int port,
                              const HttpHandlers *handlers, void *user);

/** HttpServer_Destroy() - release; only after HttpLoop_Close() */
void HttpServer_Destroy(HttpServer *this);

/** HttpServer_Port() - port in use */
int HttpServer_Port(const HttpServer *this);

/**
 * HttpServer_Pause() - close the listener and all connections at once, as
 * when a process dies; not to be called from a handler
 */
void HttpServer_Pause(HttpServer *this);

/** HttpServer_Resume() - listen again on the same port after a pause */
int HttpServer_Resume(HttpServer *this);

/**
 * HttpServer_StallOpenConnections() - the connections that are open now are read from
 * but never answered again; new ones work, and those that hold a request for
 * /control
 */
void HttpServer_StallOpenConnections(HttpServer *this);

/** HttpServer_OpenConnections() - number of open connections */
uint32_t HttpServer_OpenConnections(const HttpServer *this);

/** HttpServer_SetIdleTimeout() - close connections idle for so long; 0: never */
void HttpServer_SetIdleTimeout(HttpServer *this, Micros idle);

/** HttpServer_PeakConnections() - most connections open at once */
uint32_t HttpServer_PeakConnections(const HttpServer *this);

/** HttpServer_AcceptedConnections() - number of connections ever accepted */
uint64_t HttpServer_AcceptedConnections(const HttpServer *this);

/** HttpServer_MalformedRequests() - malformed or ambiguous requests, refused */
uint64_t HttpServer_MalformedRequests(const HttpServer *this);

/** HttpRequest_Method() - upper-case name */
const char *HttpRequest_Method(const HttpRequest *this);

/** HttpRequest_Path() - decoded path without its query */
Str HttpRequest_Path(const HttpRequest *this);

/** HttpRequest_QueryNumber() - value of a number in the query, or @otherwise */
uint64_t HttpRequest_QueryNumber(const HttpRequest *this, const char *name,
                                 uint64_t otherwise);

/** HttpRequest_QueryString() - a text in the query, a new string, or NULL */
char *HttpRequest_QueryString(const HttpRequest *this, const char *name);

/** HttpRequest_Header() - a new string, or NULL; @name in lower case */
char *HttpRequest_Header(const HttpRequest *this, const char *name);

/** HttpRequest_Length() - announced length of the body */
uint64_t HttpRequest_Length(const HttpRequest *this);

/** HttpRequest_SetData() and HttpRequest_Data() - the program's own state */
void HttpRequest_SetData(HttpRequest *this, void *data);
void *HttpRequest_Data(const HttpRequest *this);

/**
 * HttpRequest_StartTimer() - call @callback after @delay; one timer a request, a
 * second call replaces the first, and it ends with the request
 */
void HttpRequest_StartTimer(HttpRequest *this, Micros delay,
                            void (*callback)(void *user,
                                             HttpRequest *request));

/**
 * HttpRequest_Respond() - send status, headers and body
 * @headers: complete lines, each ended by CRLF; may be empty
 * @body: copied
 */
void HttpRequest_Respond(HttpRequest *this, int status, const char *headers,
                         Str body);

/** HttpRequest_RespondJson() - as above; takes over the reference @json */
void HttpRequest_RespondJson(HttpRequest *this, int status, json_t *json);

/**
 * HttpRequest_RespondStream() - send a long body
 * @length: announced length
 * @send: bytes that are really sent; if it differs from @length, the
 *        connection is closed after them
 * @fill: writes the bytes; called until the request is gone
 */
void HttpRequest_RespondStream(HttpRequest *this, int status,
                               const char *headers, uint64_t length,
                               uint64_t send, HttpBodyWriter *fill,
                               void *user);

/** HttpRequest_Abort() - close the connection without (more of) an answer */
void HttpRequest_Abort(HttpRequest *this);

#endif
