#ifndef AGATECRANK_STANDINS_HTTPMESSAGE_H
#define AGATECRANK_STANDINS_HTTPMESSAGE_H

#include "Error.h"
#include "Str.h"

#define HTTP_HEADERS_MAX 128
#define HTTP_HEAD_MAX_BYTES (64 * 1024)

/** struct HttpHeader_ - one header field; both strings are borrowed */
typedef struct HttpHeader_ {
    Str name;
    Str value;
} HttpHeader;

/**
 * struct HttpMessage_ - head of an HTTP/1.1 request or response
 * @start: parts of the start line: method, target and version of a request;
 *         version, status and reason of a response
 * @count: number of headers
 * @length: content-length; 0 if there is none
 * @has_length: there is a content-length
 * @chunked: there is a transfer-encoding, whatever its value
 * @bytes: length of the head with its empty line
 *
 * The stand-ins have a strict parser of their own: with the balancer's
 * library they would not notice where it is too lenient.
 */
typedef struct HttpMessage_ {
    Str start[3];
    HttpHeader headers[HTTP_HEADERS_MAX];
    size_t count;
    uint64_t length;
    bool has_length;
    bool chunked;
    size_t bytes;
} HttpMessage;

/**
 * HttpMessage_Parse() - parse a head; the strings point into @bytes
 *
 * Return: 1, 0 if more bytes are needed, or ERR_PROTOCOL for a head that is
 * malformed or ambiguous (bare CR or LF, repeated content-length, host,
 * authorization or idempotency-key, both content-length and
 * transfer-encoding, folded lines).
 */
int HttpMessage_Parse(HttpMessage *this, Str bytes);

/** HttpMessage_Header() - value of the first header @name, or empty */
Str HttpMessage_Header(const HttpMessage *this, Str name);

/** HttpMessage_Has() - true if there is a header @name */
bool HttpMessage_Has(const HttpMessage *this, Str name);

#endif
