#ifndef AGATECRANK_STANDINS_HTTPCLIENT_H
#define AGATECRANK_STANDINS_HTTPCLIENT_H

#include "HttpMessage.h"
#include "HttpServer.h"

/**
 * typedef HttpClient - HTTP/1.1 client with a pool of persistent connections
 *
 * A connection carries one call at a time. If none is idle, a new one is
 * opened, so that a call never waits for an earlier one.
 */
typedef struct HttpClient_ HttpClient;

typedef enum ClientResult_ {
    CLIENT_DONE,           /* the whole response was received */
    CLIENT_CONNECT_FAILED, /* no connection, nothing was sent */
    CLIENT_CLOSED,         /* closed before any byte of the response */
    CLIENT_CLOSED_REUSED,  /* the same on a reused connection */
    CLIENT_TRUNCATED,      /* closed within the response */
    CLIENT_MALFORMED,      /* malformed or chunked response */
} ClientResult;

/**
 * struct ClientCall_ - a request and the callbacks for its response
 * @head: request line and headers with the empty line; borrowed
 * @body_length: length of the request body
 * @no_body: the response has no body, as for HEAD
 * @fill: writes the request body
 * @user: first argument of the callbacks
 * @on_head: response head received; its strings are valid in the callback only
 * @on_body: next piece of the response body received
 * @on_done: last callback of the call
 * @connection: set by the client
 */
typedef struct ClientCall_ {
    Str head;
    uint64_t body_length;
    bool no_body;
    HttpBodyWriter *fill;
    void *user;
    void (*on_head)(void *user, int status, const HttpMessage *message);
    void (*on_body)(void *user, uint64_t offset, Str piece);
    void (*on_done)(void *user, ClientResult result);
    struct ClientConnection_ *connection;
} ClientCall;

/** struct ClientCounters_ - totals of a client */
typedef struct ClientCounters_ {
    uint64_t opened; /* connections */
    uint64_t reused; /* calls sent on a reused connection */
    uint64_t excess; /* connections with bytes after the response's end */
} ClientCounters;

/**
 * HttpClient_Create() - new client
 * @targets: list "address:port,..."
 * @tls: 0 for plain connections, else lws ssl_connection flags
 * @reuse: false opens a connection for each call
 *
 * Return: NULL if a target is malformed.
 */
HttpClient *HttpClient_Create(HttpLoop *loop, const char *targets, int tls,
                              bool reuse);

/** HttpClient_Destroy() - free the client; only after HttpLoop_Close() */
void HttpClient_Destroy(HttpClient *this);

/** HttpClient_TargetCount() and HttpClient_Target() - entries of @targets */
size_t HttpClient_TargetCount(const HttpClient *this);
const char *HttpClient_Target(const HttpClient *this, size_t target);

/** HttpClient_Send() - start a call; @call stays borrowed until on_done */
void HttpClient_Send(HttpClient *this, size_t target, ClientCall *call);

/** HttpClient_Cancel() - close the call's connection; no on_done follows */
void HttpClient_Cancel(ClientCall *call);

/** HttpClient_Counters() - totals so far */
ClientCounters HttpClient_Counters(const HttpClient *this);

/** ClientResult_Name() - name of a result in journals and summaries */
const char *ClientResult_Name(ClientResult result);

#endif
