#ifndef AGATECRANK_NET_HTTPCLIENT_H
#define AGATECRANK_NET_HTTPCLIENT_H

#include "HttpParser.h"
#include "Loop.h"

/**
 * typedef HttpClient - reusable HTTP/1.1 connections to many peers
 *
 * Each connection carries one request at a time, so that no caller waits
 * behind another's answer.
 */
typedef struct HttpClient_ HttpClient;

/** typedef HttpCall - one request to a peer; lives until its last handler */
typedef struct HttpCall_ HttpCall;

/** enum HttpCallFailure - why a call ended without a whole answer */
typedef enum HttpCallFailure_ {
    CALL_FAILED_CONNECT, /* no byte of the request was given to the peer */
    CALL_FAILED_CONNECTION_CLOSED, /* the connection ended after bytes were given */
    CALL_FAILED_FRAMING,           /* the answer's body has the wrong length */
    CALL_FAILED_CANCELLED          /* HttpCall_Cancel() */
} HttpCallFailure;

/**
 * struct HttpCallHandlers_ - what the owner of a call does
 * @on_headers: status and header fields of the answer are there
 * @on_data: next piece of the answer's body
 * @on_drained: the request's buffer is empty, more body may be written
 * @on_complete: the whole answer was received; last handler
 * @on_failed: the call failed; @maybe_sent tells whether any byte of the
 *             request may have reached the peer; last handler
 */
typedef struct HttpCallHandlers_ {
    void (*on_headers)(void *user, HttpCall *call, int status,
                       const HeaderList *headers);
    void (*on_data)(void *user, HttpCall *call, Str data);
    void (*on_drained)(void *user, HttpCall *call);
    void (*on_complete)(void *user, HttpCall *call);
    void (*on_failed)(void *user, HttpCall *call, HttpCallFailure failure,
                      bool maybe_sent, const Error *error);
} HttpCallHandlers;

/**
 * struct HttpClientOptions_ - settings of all connections of a client
 * @max_connections: bound for each peer
 * @idle_timeout_s: seconds that an idle connection is kept
 * @ca_file: PEM file to verify peers with; NULL for plain HTTP
 * @certificate_file, @key_file: shown to peers, may be NULL
 * @user_timeout_ms, @keep_alive_s, @connect_timeout: as in struct SocketOptions_
 */
typedef struct HttpClientOptions_ {
    unsigned max_connections;
    int idle_timeout_s;
    const char *ca_file;
    const char *certificate_file;
    const char *key_file;
    int user_timeout_ms;
    int keep_alive_s;
    Micros connect_timeout;
} HttpClientOptions;

/**
 * struct HttpCallSpec_ - the request
 * @address: IP number of the peer
 * @port: TCP port
 * @method, @path: as sent
 * @headers: borrowed during HttpClient_Start(); without a Host field the
 *           address is sent as one
 * @content_length: bytes of the body; 0 for none
 * @body: first bytes of the body, sent together with the header block
 * @new_connection: do not use an idle connection
 * @idle_max: use no connection that was idle for longer; 0 for no bound
 * @match_name, @match_value: an answer that has this field with another
 *     value belongs to an earlier request and is skipped; may be empty
 */
typedef struct HttpCallSpec_ {
    const char *address;
    uint16_t port;
    Str method;
    Str path;
    const HeaderList *headers;
    int64_t content_length;
    Str body;
    bool new_connection;
    Micros idle_max;
    Str match_name;
    Str match_value;
} HttpCallSpec;

/** HttpClient_Create() - a client without connections */
HttpClient *HttpClient_Create(Loop *loop, const HttpClientOptions *options);

/** HttpClient_Destroy() - release; to be called after all calls ended */
void HttpClient_Destroy(HttpClient *this);

/**
 * HttpClient_Start() - send a request
 *
 * Handlers never run before this returns.
 *
 * Return: the call, or NULL with ERR_LIMIT in @error if all connections to
 * the peer are busy.
 */
HttpCall *HttpClient_Start(HttpClient *this, const HttpCallSpec *spec,
                           const HttpCallHandlers *handlers, void *user,
                           Error *error);

/** HttpClient_CloseIdle() - close idle connections to a peer that are as
 *                           old as a connection that went silent */
void HttpClient_CloseIdle(HttpClient *this, const char *address,
                          uint16_t port);

/** HttpClient_OpenedCount() - connections opened so far */
uint64_t HttpClient_OpenedCount(const HttpClient *this);

/** HttpCall_WriteBody() - append to the request's body */
void HttpCall_WriteBody(HttpCall *this, Str data);

/** HttpCall_Buffered() - bytes of the request's body not yet sent */
size_t HttpCall_Buffered(const HttpCall *this);

/** HttpCall_PauseResponse() - stop or resume reading the answer */
void HttpCall_PauseResponse(HttpCall *this, bool paused);

/** HttpCall_MaybeSent() - true once a byte may have reached the peer */
bool HttpCall_MaybeSent(const HttpCall *this);

/** HttpCall_Cancel() - close the connection; no handler runs any more */
void HttpCall_Cancel(HttpCall *this);

#endif
