#ifndef AGATECRANK_STANDINS_HTTPSERVER_H
#define AGATECRANK_STANDINS_HTTPSERVER_H

#include <glib.h>
#include <jansson.h>
#include <netinet/in.h>

#include "Clock.h"
#include "Error.h"
#include "HttpLoop.h"
#include "Str.h"

/**
 * typedef HttpServer - HTTP/1.1 server on one loopback port
 *
 * Connections are raw sockets of libwebsockets. Its HTTP server role (4.1.6)
 * does not read while a response is pending: it would notice that a caller
 * closed the connection only after the response, and use a whole core until
 * then.
 */
typedef struct HttpServer_ HttpServer;

/** typedef HttpRequest - one request, until its response has been sent */
typedef struct HttpRequest_ HttpRequest;

/**
 * struct HttpHandlers_ - callbacks for the requests of a server
 * @begin: the headers were received
 * @data: a piece of the body was received; may be NULL
 * @complete: the whole body was received; may respond at once or later
 * @released: the response was sent (@response_sent) or the connection closed
 *            before that; the request is freed after this call. May be NULL.
 */
typedef struct HttpHandlers_ {
    void (*begin)(void *user, HttpRequest *request);
    void (*data)(void *user, HttpRequest *request, Str piece);
    void (*complete)(void *user, HttpRequest *request);
    void (*released)(void *user, HttpRequest *request, bool response_sent);
} HttpHandlers;

/** typedef HttpBodyWriter - write @length body bytes from @offset to @out */
typedef void HttpBodyWriter(void *user, uint64_t offset, char *out,
                            size_t length);

/**
 * HttpServer_Create() - listen on 127.0.0.1
 * @port: 0 for a free one, see HttpServer_Port()
 * @handlers: borrowed
 * @user: first argument of the handlers
 *
 * Return: NULL if the port cannot be bound.
 */
HttpServer *HttpServer_Create(HttpLoop *loop, int port,
                              const HttpHandlers *handlers, void *user);

/** HttpServer_Destroy() - free the server; only after HttpLoop_Close() */
void HttpServer_Destroy(HttpServer *this);

/** HttpServer_Port() - port in use */
int HttpServer_Port(const HttpServer *this);

/**
 * HttpServer_Pause() - close the listener and all connections at once
 *
 * This is what peers see when a process dies. Must not be called from a
 * handler.
 */
void HttpServer_Pause(HttpServer *this);

/**
 * HttpServer_Resume() - listen again on the same port after a pause
 *
 * Return: 0, or ERR_UNAVAILABLE.
 */
int HttpServer_Resume(HttpServer *this);

/**
 * HttpServer_StallOpenConnections() - stop responding on open connections
 *
 * They are still read from. Connections opened later work, and so does one
 * with a pending request for /control.
 */
void HttpServer_StallOpenConnections(HttpServer *this);

/** HttpServer_OpenConnections() - number of open connections */
uint32_t HttpServer_OpenConnections(const HttpServer *this);

/** HttpServer_SetIdleTimeout() - close idle connections; 0: never */
void HttpServer_SetIdleTimeout(HttpServer *this, Micros timeout);

/** HttpServer_PeakConnections() - maximum of HttpServer_OpenConnections() */
uint32_t HttpServer_PeakConnections(const HttpServer *this);

/** HttpServer_AcceptedConnections() - number of connections accepted so far */
uint64_t HttpServer_AcceptedConnections(const HttpServer *this);

/** HttpServer_MalformedRequests() - number of malformed requests rejected */
uint64_t HttpServer_MalformedRequests(const HttpServer *this);

/** HttpRequest_Peer() - address and port of the client */
struct sockaddr_in HttpRequest_Peer(const HttpRequest *this);

/** HttpRequest_Method() - name as in the request line */
const char *HttpRequest_Method(const HttpRequest *this);

/** HttpRequest_Path() - percent-decoded path without the query */
Str HttpRequest_Path(const HttpRequest *this);

/** HttpRequest_QueryNumber() - decimal query parameter, or @default_value */
uint64_t HttpRequest_QueryNumber(const HttpRequest *this, const char *name,
                                 uint64_t default_value);

/** HttpRequest_QueryString() - query parameter as a new string, or NULL */
char *HttpRequest_QueryString(const HttpRequest *this, const char *name);

/** HttpRequest_Header() - value of header @name as a new string, or NULL */
char *HttpRequest_Header(const HttpRequest *this, const char *name);

/** HttpRequest_Length() - content-length of the request, 0 without one */
uint64_t HttpRequest_Length(const HttpRequest *this);

/** HttpRequest_SetData() and HttpRequest_Data() - state of the handlers */
void HttpRequest_SetData(HttpRequest *this, void *data);
void *HttpRequest_Data(const HttpRequest *this);

/**
 * HttpRequest_StartTimer() - call @callback after @delay
 *
 * A request has one timer: a second call replaces the first. The timer is
 * stopped when the request is freed.
 */
void HttpRequest_StartTimer(HttpRequest *this, Micros delay,
                            void (*callback)(void *user,
                                             HttpRequest *request));

/**
 * HttpRequest_Respond() - send status, headers and body
 * @headers: complete lines, each ended by CRLF; may be empty
 * @body: copied
 *
 * No effect if a response was started before.
 */
void HttpRequest_Respond(HttpRequest *this, int status, const char *headers,
                         Str body);

/** HttpRequest_RespondJson() - respond with @json; takes the reference */
void HttpRequest_RespondJson(HttpRequest *this, int status, json_t *json);

/**
 * HttpRequest_RespondStream() - send a body that is generated in pieces
 * @length: content-length of the response
 * @send_length: bytes that are sent; if it differs from @length, the
 *               connection is closed after them
 * @fill: writes the bytes; may be called until the request is freed
 * @user: first argument of @fill; borrowed
 */
void HttpRequest_RespondStream(HttpRequest *this, int status,
                               const char *headers, uint64_t length,
                               uint64_t send_length, HttpBodyWriter *fill,
                               void *user);

/**
 * HttpRequest_RepeatResponse() - send the response, which has no body, once
 *     more before the next one on the connection
 *
 * To be called before the response.
 */
void HttpRequest_RepeatResponse(HttpRequest *this);

/** HttpRequest_Abort() - close the connection without further output */
void HttpRequest_Abort(HttpRequest *this);

#endif
