#ifndef AGATECRANK_STANDINS_HTTPCLIENT_H
#define AGATECRANK_STANDINS_HTTPCLIENT_H

#include "HttpMessage.h"
#include "HttpServer.h"

/**
 * typedef HttpClient - sends calls over kept connections
 *
 * A connection carries one call at a time; if none is idle, a new one is
 * opened, so a call never waits for an earlier one.
 */
typedef struct HttpClient_ HttpClient;

typedef enum ClientResult_ {
    CLIENT_DONE,           /* the whole answer came */
    CLIENT_CONNECT_FAILED, /* nothing was sent */
    CLIENT_CLOSED,         /* closed before a byte of the answer */
    CLIENT_CLOSED_REUSED,  /* the same on a connection used before */
    CLIENT_SHORT,          /* closed within the answer */
    CLIENT_MALFORMED,      /* the answer's head breaks the protocol */
} ClientResult;

/**
 * struct ClientCall_ - a request and what becomes of it
 * @head: request line and headers with the empty line; borrowed
 * @body_length: bytes that @fill writes
 * @no_body: the answer has no body, as for HEAD
 * @on_head: the answer's head; its texts are valid in the call only
 * @on_body: next piece of the answer's body
 * @on_done: the last event of the call
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
    uint64_t reused; /* calls on a connection used before */
    uint64_t excess; /* connections with bytes after an answer's end */
} ClientCounters;

/**
 * HttpClient_Create() - a client for a list of "address:port,..."
 * @tls: 0 for plain connections, else lws ssl_connection flags
 * @reuse: false opens a connection for each call
 *
 * Return: NULL if a target is malformed.
 */
HttpClient *HttpClient_Create(HttpLoop *loop, const char *targets, int tls,
                              bool reuse);

/** HttpClient_Destroy() - release; only after HttpLoop_Close() */
void HttpClient_Destroy(HttpClient *this);

/** HttpClient_TargetCount() and HttpClient_Target() - the parsed list */
size_t HttpClient_TargetCount(const HttpClient *this);
const char *HttpClient_Target(const HttpClient *this, size_t target);

/** HttpClient_Send() - start a call; @call stays borrowed until on_done */
void HttpClient_Send(HttpClient *this, size_t target, ClientCall *call);

/** HttpClient_Cancel() - close the call's connection; no on_done follows */
void HttpClient_Cancel(ClientCall *call);

/** HttpClient_Counters() - totals so far */
ClientCounters HttpClient_Counters(const HttpClient *this);

/** ClientResult_Name() - stable word for a result */
const char *ClientResult_Name(ClientResult result);

#endif
