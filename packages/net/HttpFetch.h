#ifndef AGATECRANK_NET_HTTPFETCH_H
#define AGATECRANK_NET_HTTPFETCH_H

#include "HttpClient.h"

/** typedef HttpFetch - short requests to one peer, answers held in memory */
typedef struct HttpFetch_ HttpFetch;

/**
 * struct HttpFetchResponse_ - what came back
 * @code: 0, or a negative error number if there is no whole answer
 * @status: HTTP status, 0 without an answer
 * @maybe_sent: false if the peer certainly got nothing of the request
 */
typedef struct HttpFetchResponse_ {
    int code;
    int status;
    bool maybe_sent;
    const HeaderList *headers;
    Str body;
    const Error *error;
} HttpFetchResponse;

typedef void HttpFetchHandler(void *user, const HttpFetchResponse *response);

/**
 * HttpFetch_Create() - requests to the peer of a URL
 * @url: http://IP:PORT[/prefix], or https:// if @tls has a CA file
 * @max_bytes: bound on an answer's body
 *
 * Return: NULL with @error filled if the URL can not be used.
 */
HttpFetch *HttpFetch_Create(Loop *loop, Str url, size_t max_bytes,
                            const HttpClientOptions *client, Error *error);

/** HttpFetch_Destroy() - release; no request may be running */
void HttpFetch_Destroy(HttpFetch *this);

/**
 * HttpFetch_Send() - one request; @handler runs once, never before return
 * @path: below the URL's prefix
 * @timeout: microseconds until the request is given up
 */
void HttpFetch_Send(HttpFetch *this, Str method, Str path,
                    const HeaderList *headers, Str body, Micros timeout,
                    HttpFetchHandler *handler, void *user);

#endif
