#ifndef AGATECRANK_NET_HTTPCLIENT_H
#define AGATECRANK_NET_HTTPCLIENT_H

#include "BodyBuffer.h"
#include "HttpParser.h"
#include "Loop.h"

/**
 * typedef HttpClient - pool of persistent HTTP/1.1 connections to peers
 *
 * Each connection carries one request at a time, without pipelining, so that
 * no request waits behind the response to another. A response that is malformed
 * or breaks off ends its call with on_failed; the log of the loop tells the peer
 * and the reason.
 */
typedef struct HttpClient_ HttpClient;

/** typedef HttpCall - request to a peer; released after its last callback */
typedef struct HttpCall_ HttpCall;

/** enum HttpCallFailure - why a call ended without a complete response */
typedef enum HttpCallFailure_ {
    CALL_FAILED_CONNECT,           /* no byte of the request was sent */
    CALL_FAILED_CONNECTION_CLOSED, /* closed after bytes were sent */
    CALL_FAILED_FRAMING,           /* the response is malformed */
    CALL_FAILED_CANCELLED          /* HttpCall_Cancel() */
} HttpCallFailure;

/**
 * struct HttpCallHandlers_ - callbacks of the owner of a call
 * @on_headers: the status and the header fields were received; @headers is
 *              borrowed during the callback
 * @on_data: next part of the response body, borrowed during the callback
 * @on_drained: the output buffer is empty; more of the body may be written
 * @on_complete: the complete response was received; last callback
 * @on_failed: the call failed; @maybe_sent is true if any byte of the request
 *             may have reached the peer; last callback
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
 * @max_connections: upper bound for each peer, idle ones included
 * @idle_timeout_s: seconds after which an idle connection is not reused; 0 for
 *                  no limit
 * @ca_file: PEM file of the CA that signs the peers' certificates; NULL for
 *           plain HTTP
 * @certificate_file, @key_file: PEM files of the client certificate; may be
 *                                NULL
 * @user_timeout_ms, @keep_alive_s, @connect_timeout: as in
 *     struct SocketOptions_
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
 * struct HttpCallSpec_ - parameters of a request
 * @address: IPv4 address of the peer
 * @port: TCP port
 * @method, @path: of the request line, sent unchanged
 * @headers: borrowed during HttpClient_Start(); without a Host field,
 *           @address is sent as Host; may be NULL
 * @content_length: length of the body in bytes; 0 for no body
 * @body: first part of the body, sent together with the header block
 * @content: the whole body, in place of @body; borrowed until the end of the
 *     call, and sent in parts as the connection takes them
 * @new_connection: open a new connection instead of reusing an idle one
 * @idle_max: reuse no connection that was idle for longer; 0 for no limit
 * @match_name, @match_value: a response that has this header field with
 *     another value, or lacks it on a connection that was used with a name and
 *     an empty value, belongs to an earlier request and is skipped, unless its
 *     end is that of the connection; both may be empty, and an empty value is
 *     that of a response without the field. A connection carries a value that
 *     is not empty once, so that a second copy of the response to an earlier
 *     call with the same value can't be taken for the response to this one.
 * @head_timeout: a response whose header block is not complete this long after
 *     its first byte fails as malformed; 0 for no limit
 * @response_bytes_max: a response with a longer body fails as malformed; 0 for
 *     no limit
 */
typedef struct HttpCallSpec_ {
    const char *address;
    uint16_t port;
    Str method;
    Str path;
    const HeaderList *headers;
    int64_t content_length;
    Str body;
    const BodyBuffer *content;
    bool new_connection;
    Micros idle_max;
    Str match_name;
    Str match_value;
    Micros head_timeout;
    size_t response_bytes_max;
} HttpCallSpec;

/** HttpClient_Create() - create a client without connections */
HttpClient *HttpClient_Create(Loop *loop, const HttpClientOptions *options);

/**
 * HttpClient_Destroy() - close all connections and release the client
 *
 * To be called after all calls ended.
 */
void HttpClient_Destroy(HttpClient *this);

/**
 * HttpClient_Start() - send a request
 *
 * No handler runs before this function returns; a connection attempt that
 * fails immediately is reported through on_failed.
 *
 * Return: the call, or NULL with ERR_LIMIT in @error if all connections to
 * the peer are busy or the loop is closing.
 */
HttpCall *HttpClient_Start(HttpClient *this, const HttpCallSpec *spec,
                           const HttpCallHandlers *handlers, void *user,
                           Error *error);

/**
 * HttpClient_CloseIdle() - close all idle connections to a peer
 *
 * To be called when a connection to the peer became unresponsive: idle ones
 * of the same age may have failed too.
 */
void HttpClient_CloseIdle(HttpClient *this, const char *address,
                          uint16_t port);

/** HttpClient_OpenedCount() - number of connections opened so far */
uint64_t HttpClient_OpenedCount(const HttpClient *this);

/**
 * HttpClient_DisableHeadTimeouts() - ignore @head_timeout of all calls from now on
 */
void HttpClient_DisableHeadTimeouts(HttpClient *this);

/**
 * HttpClient_SkippedCount() - number of responses skipped so far because they
 *     belong to another request
 */
uint64_t HttpClient_SkippedCount(const HttpClient *this);

/**
 * HttpCall_ConnectionNumber() - number of the call's connection, in the order
 *     in which the client opened them; 0 if none could be opened
 */
uint64_t HttpCall_ConnectionNumber(const HttpCall *this);

/** HttpCall_WriteBody() - append to the request body */
void HttpCall_WriteBody(HttpCall *this, Str data);

/** HttpCall_Buffered() - bytes of the request in the output buffer */
size_t HttpCall_Buffered(const HttpCall *this);

/** HttpCall_PauseResponse() - stop or resume reading the response */
void HttpCall_PauseResponse(HttpCall *this, bool paused);

/** HttpCall_MaybeSent() - true if a byte may have reached the peer */
bool HttpCall_MaybeSent(const HttpCall *this);

/**
 * HttpCall_Cancel() - close the connection and release the call
 *
 * No handler runs afterwards.
 */
void HttpCall_Cancel(HttpCall *this);

#endif
