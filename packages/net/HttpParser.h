#ifndef AGATECRANK_NET_HTTPPARSER_H
#define AGATECRANK_NET_HTTPPARSER_H

#include "Error.h"
#include "HeaderList.h"

/** HTTP_LENGTH_UNKNOWN - a body without a content-length */
#define HTTP_LENGTH_UNKNOWN ((int64_t)-1)

/**
 * typedef HttpParser - strict reader of HTTP/1.1 messages of one connection
 *
 * It refuses whatever two parsers could read in two ways: bare CR or LF, a
 * folded line, a space before a colon, a repeated length, host or credential,
 * both framings. Source: RFC 9112, sections 2.2, 5 and 6.
 */
typedef struct HttpParser_ HttpParser;

typedef enum HttpParserKind_ {
    HTTP_PARSER_REQUESTS,
    HTTP_PARSER_RESPONSES,
} HttpParserKind;

/** enum HttpFraming - how the end of a body is found */
typedef enum HttpFraming_ {
    HTTP_FRAMING_LENGTH,
    HTTP_FRAMING_CHUNKED,
    HTTP_FRAMING_CLOSE, /* answers only: it ends with the connection */
} HttpFraming;

/**
 * struct HttpHead_ - header block of a message, borrowed
 * @method, @target: of a request; the target is as received
 * @status: of an answer
 * @keep_alive: the sender keeps the connection open afterwards
 * @length: bytes of the body; HTTP_LENGTH_UNKNOWN unless framed by length
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

/** enum HttpBodyRule - answer of on_head() */
typedef enum HttpBodyRule_ {
    HTTP_BODY_FRAMED, /* as the header block says */
    HTTP_BODY_NONE,   /* the answer to a HEAD request */
} HttpBodyRule;

/** struct HttpParserHandlers_ - what is found, in order */
typedef struct HttpParserHandlers_ {
    HttpBodyRule (*on_head)(void *user, const HttpHead *head);
    void (*on_body)(void *user, Str data);
    void (*on_end)(void *user);
} HttpParserHandlers;

/** HttpParser_Create() - @head_bytes_max bounds a header block */
HttpParser *HttpParser_Create(HttpParserKind kind, size_t head_bytes_max,
                              const HttpParserHandlers *handlers, void *user);

/** HttpParser_Destroy() - release; NULL is allowed */
void HttpParser_Destroy(HttpParser *this);

/**
 * HttpParser_Feed() - read bytes up to the end of the current message
 * @used: bytes taken; the rest belongs to the next message
 *
 * Return: 0, ERR_LIMIT for a header block that is too long, or ERR_PROTOCOL;
 * after an error the parser can not be used any more.
 */
int HttpParser_Feed(HttpParser *this, Str data, size_t *used, Error *error);

/**
 * HttpParser_Finish() - the peer closed in an orderly way
 *
 * Return: 0 if this ends a message or no message was begun, else
 * ERR_PROTOCOL.
 */
int HttpParser_Finish(HttpParser *this, Error *error);

/** HttpParser_IsIdle() - no byte of the next message was seen */
bool HttpParser_IsIdle(const HttpParser *this);

/** HttpParser_TakeHeaders() - the fields of the current message become the
 *                             caller's */
HeaderList *HttpParser_TakeHeaders(HttpParser *this);

#endif
