#ifndef AGATECRANK_STANDINS_HTTPMESSAGE_H
#define AGATECRANK_STANDINS_HTTPMESSAGE_H

#include "Error.h"
#include "Str.h"

#define HTTP_HEADERS_MAX 128
#define HTTP_HEAD_BYTES_MAX (64 * 1024)

/** struct HttpHeader_ - one header line; both parts are borrowed */
typedef struct HttpHeader_ {
    Str name;
    Str value;
} HttpHeader;

/**
 * struct HttpMessage_ - head of an HTTP/1.1 request or response
 * @start: method, target and version, or version, status and reason
 * @count: number of headers
 * @length: content-length; 0 if there is none
 * @has_length: a content-length was there
 * @chunked: transfer-encoding was there, whatever its value
 * @bytes: length of the head with its empty line
 *
 * The stand-ins have a strict reader of their own, so that a balancer that
 * is lenient in the same way as its library does not pass unseen.
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
 * HttpMessage_Parse() - read a head; the texts point into @bytes
 *
 * Return: 1, 0 if more bytes are needed, or ERR_PROTOCOL for a head that is
 * malformed or ambiguous (bare line ends, repeated content-length or host,
 * both content-length and transfer-encoding, folded lines).
 */
int HttpMessage_Parse(HttpMessage *this, Str bytes);

/** HttpMessage_Header() - value of the first header @name, or empty */
Str HttpMessage_Header(const HttpMessage *this, Str name);

/** HttpMessage_Has() - true if there is a header @name */
bool HttpMessage_Has(const HttpMessage *this, Str name);

#endif
