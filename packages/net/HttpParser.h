#ifndef AGATECRANK_NET_HTTPPARSER_H
#define AGATECRANK_NET_HTTPPARSER_H

#include "Error.h"
#include "HeaderList.h"

/** HTTP_LENGTH_UNKNOWN - the length of the body is not announced */
#define HTTP_LENGTH_UNKNOWN ((int64_t)-1)

/**
 * typedef HttpParser - strict incremental parser of HTTP/1.1 messages
 *
 * It rejects messages that different parsers may interpret differently, which
 * allows request smuggling: bare CR or LF, folded lines, a space before a
 * colon, repeated length, host or credential fields, content-length together
 * with transfer-encoding, and chunks whose framing or trailers are malformed.
 * Source: RFC 9112, sections 2.2, 5, 6 and 7.1. Of
 * responses it rejects those whose status is not from 100 to 599 or whose start
 * line is malformed or holds another one (sections 2.3 and 4; RFC 9110, section
 * 15).
 */
typedef struct HttpParser_ HttpParser;

typedef enum HttpParserKind_ {
    HTTP_PARSER_REQUESTS,
    HTTP_PARSER_RESPONSES,
} HttpParserKind;

/** enum HttpFraming - how the end of a body is determined */
typedef enum HttpFraming_ {
    HTTP_FRAMING_LENGTH,
    HTTP_FRAMING_CHUNKED,
    HTTP_FRAMING_CLOSE, /* responses only: the body ends at EOF */
} HttpFraming;

/**
 * struct HttpHead_ - header block of a message, borrowed during on_head()
 * @method, @target: of a request; the target is not decoded
 * @status: of a response
 * @keep_alive: the sender keeps the connection open after the message
 * @framing: how the body is delimited
 * @length: length of the body in bytes; HTTP_LENGTH_UNKNOWN unless @framing is
 *          HTTP_FRAMING_LENGTH
 * @headers: header fields, without trailers
 */
typedef struct HttpHead_ {
    Str method;
    Str target;
    int status;
    bool keep_alive;
    HttpFraming framing;
    int64_t length;
    const HeaderList *headers;
} HttpHead;

/** enum HttpBodyRule - return value of on_head() */
typedef enum HttpBodyRule_ {
    HTTP_BODY_FRAMED, /* a body as status and header block announce */
    HTTP_BODY_NONE,   /* none, as in the response to HEAD */
} HttpBodyRule;

/**
 * struct HttpParserHandlers_ - callbacks, in the order of a message
 * @on_head: the header block is complete
 * @on_body: next part of the body, without chunk framing
 * @on_end: the message is complete
 */
typedef struct HttpParserHandlers_ {
    HttpBodyRule (*on_head)(void *user, const HttpHead *head);
    void (*on_body)(void *user, Str data);
    void (*on_end)(void *user);
} HttpParserHandlers;

/**
 * HttpParser_Create() - create a parser for one connection
 * @head_bytes_max: limit on the size of a header block, and on that of the
 *     trailers and chunk extensions of a message together
 *
 * Trailers are not kept.
 */
HttpParser *HttpParser_Create(HttpParserKind kind, size_t head_bytes_max,
                              const HttpParserHandlers *handlers, void *user);

/** HttpParser_Destroy() - release; NULL is allowed */
void HttpParser_Destroy(HttpParser *this);

/**
 * HttpParser_Feed() - parse bytes up to the end of the current message
 * @used: number of bytes consumed; the rest belongs to the next message
 *
 * Return: 0, ERR_LIMIT for a header block, trailers or chunk extensions that
 * are too long, or ERR_PROTOCOL; after an error the parser rejects all further
 * data.
 */
int HttpParser_Feed(HttpParser *this, Str data, size_t *used, Error *error);

/**
 * HttpParser_Finish() - handle the end of the connection (EOF)
 *
 * Return: 0 if EOF completes a message or no message was begun, else
 * ERR_PROTOCOL.
 */
int HttpParser_Finish(HttpParser *this, Error *error);

/** HttpParser_IsIdle() - true if no byte of the next message was received */
bool HttpParser_IsIdle(const HttpParser *this);

/** HttpParser_HeldBytes() - memory that the parsed part of a message takes */
size_t HttpParser_HeldBytes(const HttpParser *this);

/** HttpParser_SetHeadBytes() - change the limit, between two messages */
void HttpParser_SetHeadBytes(HttpParser *this, size_t head_bytes_max);

/**
 * HttpParser_TakeHeaders() - take over the fields of the current message
 *
 * Return: a list that the calling function owns.
 */
HeaderList *HttpParser_TakeHeaders(HttpParser *this);

#endif
