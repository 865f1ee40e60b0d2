#ifndef AGATECRANK_NET_HTTPWIRE_H
#define AGATECRANK_NET_HTTPWIRE_H

#include "Error.h"
#include "HeaderList.h"

struct lws;

/** HTTP_LENGTH_UNKNOWN - a body without a content-length */
#define HTTP_LENGTH_UNKNOWN ((int64_t)-1)

/**
 * HttpWire_ReadHeaders() - copy the header fields of a connection
 * @headers: receives every field that the library knows by itself, and of
 *           the others those named in @extra
 * @extra: names of further fields to keep, NULL-terminated
 */
void HttpWire_ReadHeaders(struct lws *wsi, HeaderList *headers,
                          const char *const *extra);

/**
 * HttpWire_HasMisspelled() - a name that matters has a space before its colon
 *
 * The library takes such a field for an unknown one; another parser may not.
 */
bool HttpWire_HasMisspelled(struct lws *wsi);

/**
 * HttpWire_CheckFraming() - refuse a request whose extent is ambiguous
 *
 * Return: 0 or ERR_PROTOCOL with the reason in @error.
 */
int HttpWire_CheckFraming(const HeaderList *headers, Error *error);

/** HttpWire_ContentLength() - value or HTTP_LENGTH_UNKNOWN */
int64_t HttpWire_ContentLength(const HeaderList *headers);

/**
 * HttpWire_WriteHeader() - append one field to a header block
 * @cursor: next free byte, moved on
 * @end: end of the block
 *
 * Return: 0 or ERR_LIMIT.
 */
int HttpWire_WriteHeader(struct lws *wsi, Str name, Str value,
                         unsigned char **cursor, unsigned char *end);

#endif
