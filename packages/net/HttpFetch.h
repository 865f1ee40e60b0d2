#ifndef AGATECRANK_NET_HTTPFETCH_H
#define AGATECRANK_NET_HTTPFETCH_H

#include "HttpClient.h"

/**
 * typedef HttpFetch - client for short requests to one peer
 *
 * Each response is held in memory until it is complete.
 */
typedef struct HttpFetch_ HttpFetch;

/**
 * struct HttpFetchResponse_ - result of a request, borrowed
 * @code: 0, or a negative ErrorCode if there is no complete response
 * @status: HTTP status; 0 if no header block was received
 * @maybe_sent: false only if no byte of the request can have reached the peer
 * @too_long: @code is ERR_PROTOCOL because the body exceeds the size limit
 * @headers, @body: of the response, as far as received
 * @error: NULL if @code is 0
 */
typedef struct HttpFetchResponse_ {
    int code;
    int status;
    bool maybe_sent;
    bool too_long;
    const HeaderList *headers;
    Str body;
    const Error *error;
} HttpFetchResponse;

/** typedef HttpFetchHandler - receives the result of a request */
typedef void HttpFetchHandler(void *user, const HttpFetchResponse *response);

/**
 * HttpFetch_Create() - create a client for the peer of a URL
 * @url: http://IP:PORT[/prefix], or https:// if @client has a CA file
 * @max_bytes: limit on the size of a response body, beyond which a request
 *             fails with ERR_PROTOCOL; all open responses together may have
 *             twice as much, beyond which one fails with ERR_LIMIT
 * @client: settings of the connections, may be NULL; max_connections and
 *          idle_timeout_s are ignored
 *
 * Return: NULL with @error filled if the URL is invalid.
 */
HttpFetch *HttpFetch_Create(Loop *loop, Str url, size_t max_bytes,
                            const HttpClientOptions *client, Error *error);

/** HttpFetch_Destroy() - release; no request may be open */
void HttpFetch_Destroy(HttpFetch *this);

/**
 * HttpFetch_Send() - send a request
 * @path: appended to the prefix of the URL
 * @headers: borrowed during the call, may be NULL
 * @timeout: microseconds until the request is abandoned with ERR_TIMEOUT
 *
 * @handler runs once. It runs before this function returns only if the loop
 * is closing.
 */
void HttpFetch_Send(HttpFetch *this, Str method, Str path,
                    const HeaderList *headers, Str body, Micros timeout,
                    HttpFetchHandler *handler, void *user);

#endif
