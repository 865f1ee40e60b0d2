#include "HttpParser.h"

#include <glib.h>
#include <http_parser.h>
#include <string.h>

/* Framing of a chunk without an extension: 16 digits and two line ends. */
#define CHUNK_FRAMING_BYTES 20
/* Larger buffers are not kept from one message to the next. */
#define KEPT_BUFFER_BYTES 512
/* Version and status of a response; "d" stands for a digit. */
#define STATUS_LINE_BEGIN "HTTP/1.d ddd"
#define STATUS_INDEX 9
/* Of a message, in an error text. */
#define QUOTED_BYTES_MAX 32
#define HEADER_BLOCK "the header block"

typedef enum ParserState_ {
    STATE_HEAD,
    STATE_BODY,
    STATE_FAILED,
} ParserState;

/* The next line that frames a chunked body. */
typedef enum FramingLine_ {
    FRAMING_LINE_SIZE,
    FRAMING_LINE_DATA_END, /* empty, after the data of a chunk */
    FRAMING_LINE_TRAILER,  /* or the empty line after the last one */
} FramingLine;

struct HttpParser_ {
    HttpParserKind kind;
    HttpParserHandlers handlers;
    void *user;
    size_t head_bytes_max;
    http_parser library;
    ParserState state;
    GString *head;   /* in a chunked body, the begin of a framing line */
    size_t searched; /* the end of the block is not before this index */
    GString *target;
    GString *name;
    GString *value;
    bool value_seen;
    HeaderList *headers;
    uint64_t body_bytes;    /* delivered, of the current message */
    uint64_t framing_bytes; /* received after its header block */
    uint64_t chunk_count;
    FramingLine next_line;
    const char *unchecked; /* framing from here on, in the current input */
    Error *error;          /* of the current call */
    bool head_complete;
    bool message_complete;
};

static void
finish_field(HttpParser *this)
{
    if (this->value_seen) {
        HeaderList_Add(this->headers, Str_FromString(this->name),
                       Str_FromString(this->value));
        g_string_truncate(this->name, 0);
        g_string_truncate(this->value, 0);
        this->value_seen = false;
    }
}

static int
on_url(http_parser *library, const char *data, size_t length)
{
    HttpParser *this = library->data;

    g_string_append_len(this->target, data, (gssize)length);
    return 0;
}

static int
on_field(http_parser *library, const char *data, size_t length)
{
    HttpParser *this = library->data;

    if (this->head_complete) {
        return 0; /* a trailer */
    }
    finish_field(this);
    g_string_append_len(this->name, data, (gssize)length);
    return 0;
}

static int
on_value(http_parser *library, const char *data, size_t length)
{
    HttpParser *this = library->data;

    if (this->head_complete) {
        return 0;
    }
    this->value_seen = true;
    g_string_append_len(this->value, data, (gssize)length);
    return 0;
}

static bool
is_chunked(const HttpParser *this)
{
    return (this->library.flags & F_CHUNKED) != 0;
}

static HttpFraming
message_framing(const HttpParser *this)
{
    const http_parser *library = &this->library;

    if (is_chunked(this)) {
        return HTTP_FRAMING_CHUNKED;
    }
    if (library->content_length != G_MAXUINT64 ||
        this->kind == HTTP_PARSER_REQUESTS) {
        return HTTP_FRAMING_LENGTH;
    }
    return HTTP_FRAMING_CLOSE;
}

/* Length and encoding of such a response are those of another one (RFC 9112,
 * section 6.3). */
static bool
is_bodyless(const HttpParser *this, int status)
{
    return this->kind == HTTP_PARSER_RESPONSES &&
           (status / 100 == 1 || status == 204 || status == 304);
}

static int
on_headers_complete(http_parser *library)
{
    HttpParser *this = library->data;
    HttpHead head = {.status = library->status_code};
    HttpBodyRule rule;

    finish_field(this);
    this->head_complete = true;
    if (this->kind == HTTP_PARSER_REQUESTS) {
        head.method = Str_FromC(http_method_str(library->method));
        head.target = Str_FromString(this->target);
    }
    head.keep_alive = http_should_keep_alive(library);
    head.framing = message_framing(this);
    head.length = HTTP_LENGTH_UNKNOWN;
    if (head.framing == HTTP_FRAMING_LENGTH) {
        head.length = library->content_length == G_MAXUINT64
                          ? 0
                          : (int64_t)library->content_length;
    }
    head.headers = this->headers;
    rule = this->handlers.on_head(this->user, &head);
    return rule == HTTP_BODY_NONE || is_bodyless(this, head.status) ? 1 : 0;
}

static int check_framing_lines(HttpParser *this, const char *end, bool ended);

static int
on_body(http_parser *library, const char *data, size_t length)
{
    HttpParser *this = library->data;

    if (check_framing_lines(this, data, true) < 0) {
        return ERR_PROTOCOL;
    }
    this->unchecked = data + length;
    this->body_bytes += length;
    this->handlers.on_body(this->user, (Str){data, length});
    return 0;
}

static int
on_chunk_header(http_parser *library)
{
    HttpParser *this = library->data;

    this->chunk_count++;
    return 0;
}

/* Pauses after each message: the owner decides when to parse the next one. */
static int
on_message_complete(http_parser *library)
{
    HttpParser *this = library->data;

    this->message_complete = true;
    http_parser_pause(library, 1);
    return 0;
}

static const http_parser_settings library_settings = {
    .on_url = on_url,
    .on_header_field = on_field,
    .on_header_value = on_value,
    .on_headers_complete = on_headers_complete,
    .on_body = on_body,
    .on_message_complete = on_message_complete,
    .on_chunk_header = on_chunk_header,
};

static void
clear_buffer(GString **buffer)
{
    if ((*buffer)->allocated_len > KEPT_BUFFER_BYTES) {
        g_string_free(*buffer, TRUE);
        *buffer = g_string_new(NULL);
    }
    g_string_truncate(*buffer, 0);
}

static void
begin_message(HttpParser *this)
{
    http_parser_init(&this->library, this->kind == HTTP_PARSER_REQUESTS
                                         ? HTTP_REQUEST
                                         : HTTP_RESPONSE);
    this->library.data = this;
    this->state = STATE_HEAD;
    this->searched = 0;
    this->head_complete = false;
    this->message_complete = false;
    this->value_seen = false;
    this->body_bytes = 0;
    this->framing_bytes = 0;
    this->chunk_count = 0;
    this->next_line = FRAMING_LINE_SIZE;
    clear_buffer(&this->head);
    clear_buffer(&this->target);
    clear_buffer(&this->name);
    clear_buffer(&this->value);
    HeaderList_Destroy(this->headers);
    this->headers = HeaderList_Create();
}

HttpParser *
HttpParser_Create(HttpParserKind kind, size_t head_bytes_max,
                  const HttpParserHandlers *handlers, void *user)
{
    HttpParser *this = g_new0(HttpParser, 1);

    this->kind = kind;
    this->head_bytes_max = head_bytes_max;
    this->handlers = *handlers;
    this->user = user;
    this->head = g_string_new(NULL);
    this->target = g_string_new(NULL);
    this->name = g_string_new(NULL);
    this->value = g_string_new(NULL);
    /* The limit of the library is one for all parsers. */
    http_parser_set_max_header_size(UINT32_MAX);
    begin_message(this);
    return this;
}

void
HttpParser_Destroy(HttpParser *this)
{
    if (this == NULL) {
        return;
    }
    HeaderList_Destroy(this->headers);
    g_string_free(this->head, TRUE);
    g_string_free(this->target, TRUE);
    g_string_free(this->name, TRUE);
    g_string_free(this->value, TRUE);
    g_free(this);
}

static bool
is_token(char c)
{
    return g_ascii_isalnum(c) ||
           (c != '\0' && strchr("!#$%&'*+-.^_`|~", c) != NULL);
}

static bool
is_field_line(Str line)
{
    size_t n = 0;

    while (n < line.length && is_token(line.data[n])) {
        n++;
    }
    return n > 0 && n < line.length && line.data[n] == ':';
}

/* Fields that may occur only once: they decide on the credential, the target,
 * the idempotency key and the end of the message, so that two values would be
 * ambiguous. */
static bool
is_singleton_field(Str name)
{
    static const char *const names[] = {
        "content-length", "transfer-encoding", "host",
        "authorization",  "idempotency-key",
    };

    for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
        if (Str_EqualIgnoreCase(name, Str_FromC(names[i]))) {
            return true;
        }
    }
    return false;
}

static Str
field_name(Str line)
{
    const char *colon = memchr(line.data, ':', line.length);

    return (Str){line.data, (size_t)(colon - line.data)};
}

static Str
field_value(Str line)
{
    size_t skip = field_name(line).length + 1;

    return Str_Trim((Str){line.data + skip, line.length - skip});
}

static int
set_protocol_error(Error *error, const char *text)
{
    return Error_Set(error, ERR_PROTOCOL, "read-head", STR(""), "%s", text);
}

static int
set_byte_error(Error *error, const char *text, const char *where)
{
    return Error_Set(error, ERR_PROTOCOL, "read-head", STR(""), "%s in %s",
                     text, where);
}

static Str
without_cr(Str line)
{
    if (line.length > 0 && line.data[line.length - 1] == '\r') {
        line.length--;
    }
    return line;
}

/* Checks the bytes from index @from on; those before it were checked.
 * @where: for the error text */
static int
check_bytes(Str block, size_t from, const char *where, Error *error)
{
    for (size_t i = from; i < block.length; i++) {
        unsigned char c = (unsigned char)block.data[i];

        if (c == '\r' && i + 1 < block.length && block.data[i + 1] != '\n') {
            return set_byte_error(error, "bare CR", where);
        }
        if (c == '\n' && (i == 0 || block.data[i - 1] != '\r')) {
            return set_byte_error(error, "bare LF", where);
        }
        if ((c < ' ' && c != '\t' && c != '\r' && c != '\n') || c == 0x7f) {
            return set_byte_error(error, "control byte", where);
        }
    }
    return 0;
}

/* The value is left out of the text: it may be confidential. */
static int
set_field_error(Error *error, const char *kind, Str line)
{
    Str name;

    Str_Split(&line, ':', &name);
    name.length = MIN(name.length, QUOTED_BYTES_MAX);
    return Error_Set(error, ERR_PROTOCOL, "read-head", STR(""),
                     "malformed %s \"" STR_FORMAT "\": expected NAME: VALUE",
                     kind, STR_ARGS(name));
}

typedef struct FramingFields_ {
    bool length;
    bool encoding;
} FramingFields;

static int
check_field(Str line, GPtrArray *seen, FramingFields *framing, Error *error)
{
    Str name, value, other;
    uint64_t number;

    if (!is_field_line(line)) {
        return set_field_error(error, "header field", line);
    }
    name = field_name(line);
    value = field_value(line);
    if (!is_singleton_field(name)) {
        return 0;
    }
    for (guint i = 0; i < seen->len; i++) {
        other = field_name(*(Str *)g_ptr_array_index(seen, i));
        if (Str_EqualIgnoreCase(name, other)) {
            return set_protocol_error(
                error, "repeated header field that may occur only once");
        }
    }
    g_ptr_array_add(seen, g_memdup2(&line, sizeof(line)));
    if (Str_EqualIgnoreCase(name, STR("content-length"))) {
        framing->length = true;
        if (Str_ParseU64(value, &number) < 0 || number > G_MAXINT64) {
            return set_protocol_error(
                error, "content-length is not a whole number below 2^63");
        }
    }
    if (Str_EqualIgnoreCase(name, STR("transfer-encoding"))) {
        framing->encoding = true;
        if (!Str_EqualIgnoreCase(value, STR("chunked"))) {
            return set_protocol_error(
                error, "unsupported transfer-encoding: expected chunked");
        }
    }
    return 0;
}

/* Some servers omit the blank before an empty reason. */
static bool
is_status_line(Str line)
{
    static const char pattern[] = STATUS_LINE_BEGIN;
    size_t length = sizeof(pattern) - 1;

    if (line.length < length) {
        return false;
    }
    for (size_t i = 0; i < length; i++) {
        if (pattern[i] == 'd' ? !g_ascii_isdigit(line.data[i])
                              : line.data[i] != pattern[i]) {
            return false;
        }
    }
    return line.length == length || line.data[length] == ' ';
}

/* A start line that broke off runs into that of the next response, whose header
 * fields and body would follow the wrong status. */
static bool
holds_second_start_line(Str line)
{
    size_t first = MIN(line.length, 1);

    return g_strstr_len(line.data + first, (gssize)(line.length - first),
                        "HTTP/") != NULL;
}

static int
check_status_line(Str line, Error *error)
{
    Str begin = {line.data, MIN(line.length, QUOTED_BYTES_MAX)};

    if (!is_status_line(line)) {
        return Error_Set(
            error, ERR_PROTOCOL, "read-head", STR(""),
            "malformed status line \"" STR_FORMAT
            "\": expected HTTP/1.N, a blank and a status of three digits",
            STR_ARGS(begin));
    }
    if (line.data[STATUS_INDEX] < '1' || line.data[STATUS_INDEX] > '5') {
        return Error_Set(error, ERR_PROTOCOL, "read-head", STR(""),
                         "status %.3s is not from 100 to 599",
                         line.data + STATUS_INDEX);
    }
    if (holds_second_start_line(line)) {
        return set_protocol_error(error, "two start lines in one");
    }
    return 0;
}

static int
check_fields(Str block, GPtrArray *seen, Error *error)
{
    FramingFields framing = {false, false};
    Str line;
    bool first = true;

    /* The first line is the start line. The block ends in CR LF CR LF, so that
     * the last two lines are empty. */
    while (Str_Split(&block, '\n', &line)) {
        line = without_cr(line);
        if (!first && line.length > 0 &&
            check_field(line, seen, &framing, error) < 0) {
            return ERR_PROTOCOL;
        }
        first = false;
    }
    if (framing.length && framing.encoding) {
        return set_protocol_error(
            error, "message has both content-length and transfer-encoding");
    }
    return 0;
}

static int
check_head(Str block, HttpParserKind kind, Error *error)
{
    GPtrArray *seen;
    Str rest = block, line;
    int code = check_bytes(block, 0, HEADER_BLOCK, error);

    if (code < 0) {
        return code;
    }
    if (kind == HTTP_PARSER_RESPONSES && Str_Split(&rest, '\n', &line)) {
        code = check_status_line(without_cr(line), error);
        if (code < 0) {
            return code;
        }
    }
    seen = g_ptr_array_new_with_free_func(g_free);
    code = check_fields(block, seen, error);
    g_ptr_array_free(seen, TRUE);
    return code;
}

/* Blanks may follow the size, and an extension after a semicolon (RFC 9112,
 * section 7.1). */
static int
check_size_line(HttpParser *this, Str line, Error *error)
{
    size_t digits = 0, zeros = 0, n;

    while (digits < line.length && g_ascii_isxdigit(line.data[digits])) {
        zeros += line.data[digits] == '0';
        digits++;
    }
    n = digits;
    while (n < line.length && (line.data[n] == ' ' || line.data[n] == '\t')) {
        n++;
    }
    if (digits == 0 || (n < line.length && line.data[n] != ';')) {
        return set_protocol_error(error, "malformed size of a chunk");
    }
    this->next_line =
        zeros == digits ? FRAMING_LINE_TRAILER : FRAMING_LINE_DATA_END;
    return 0;
}

/* @line: with its line end */
static int
check_framing_line(HttpParser *this, Str line, Error *error)
{
    int code = check_bytes(line, 0, "the framing of the body", error);

    if (code < 0) {
        return code;
    }
    line.length -= 2;
    switch (this->next_line) {
    case FRAMING_LINE_SIZE:
        return check_size_line(this, line, error);
    case FRAMING_LINE_DATA_END:
        this->next_line = FRAMING_LINE_SIZE;
        return line.length == 0
                   ? 0
                   : set_protocol_error(error,
                                        "a chunk is longer than its size");
    case FRAMING_LINE_TRAILER:
        break;
    }
    return line.length == 0 || is_field_line(line)
               ? 0
               : set_field_error(error, "trailer", line);
}

/* Checks the framing of a chunked body up to @end, which the library takes less
 * strictly than a header block: line ends after sizes and data may be any two
 * bytes, and names of trailers may hold blanks.
 * @ended: no line may go on after @end; else its begin is kept */
static int
check_framing_lines(HttpParser *this, const char *end, bool ended)
{
    const char *rest = this->unchecked;

    while (is_chunked(this) && rest < end) {
        const char *line_end = memchr(rest, '\n', (size_t)(end - rest));
        const char *next = line_end != NULL ? line_end + 1 : end;
        int code = 0;

        g_string_append_len(this->head, rest, next - rest);
        rest = next;
        if (line_end != NULL) {
            code = check_framing_line(this, Str_FromString(this->head),
                                      this->error);
            g_string_truncate(this->head, 0);
        }
        if (code < 0) {
            return code;
        }
    }
    return ended && this->head->len > 0
               ? set_protocol_error(this->error,
                                    "a line of the framing has no end")
               : 0;
}

static int
execute_library(HttpParser *this, Str data, size_t *used, Error *error)
{
    *used = http_parser_execute(&this->library, &library_settings, data.data,
                                data.length);
    if (HTTP_PARSER_ERRNO(&this->library) == HPE_PAUSED) {
        http_parser_pause(&this->library, 0);
    }
    if (HTTP_PARSER_ERRNO(&this->library) == HPE_CB_body) {
        return ERR_PROTOCOL; /* on_body() has set the error */
    }
    if (HTTP_PARSER_ERRNO(&this->library) != HPE_OK) {
        return set_protocol_error(
            error, http_errno_description(HTTP_PARSER_ERRNO(&this->library)));
    }
    return 0;
}

/* Collects bytes until the header block ends; sets @complete then. */
static int
collect_head(HttpParser *this, Str data, size_t *used, bool *complete,
             Error *error)
{
    size_t before = this->head->len, end;
    const char *found;

    *used = 0;
    *complete = false;
    while (before == 0 && this->kind == HTTP_PARSER_REQUESTS &&
           data.length >= 2 && memcmp(data.data, "\r\n", 2) == 0) {
        data.data += 2;
        data.length -= 2;
        *used += 2;
    }
    Str_AppendTo(data, this->head);
    found =
        g_strstr_len(this->head->str + this->searched,
                     (gssize)(this->head->len - this->searched), "\r\n\r\n");
    end = found != NULL ? (size_t)(found - this->head->str) + 4
                        : this->head->len;
    if (end > this->head_bytes_max) {
        return Error_Set(error, ERR_LIMIT, "read-head", STR(""),
                         "the header block is longer than %zu bytes",
                         this->head_bytes_max);
    }
    if (found == NULL) {
        *used += data.length;
        this->searched = this->head->len > 3 ? this->head->len - 3 : 0;
        /* Checked early: after a bare LF the end may never be recognized. A CR
         * was not checked without the byte after it. */
        return check_bytes(Str_FromString(this->head),
                           before > 0 ? before - 1 : 0, HEADER_BLOCK, error);
    }
    *used += end - before;
    g_string_truncate(this->head, end);
    *complete = true;
    return check_head(Str_FromString(this->head), this->kind, error);
}

/* Limits trailers and chunk extensions: whatever exceeds the framing of chunks
 * without one. */
static int
check_framing_length(const HttpParser *this, Error *error)
{
    if (this->framing_bytes <=
        this->head_bytes_max + CHUNK_FRAMING_BYTES * (this->chunk_count + 1)) {
        return 0;
    }
    return Error_Set(error, ERR_LIMIT, "read-body", STR(""),
                     "trailers and chunk extensions are longer than %zu bytes",
                     this->head_bytes_max);
}

static int
execute_body(HttpParser *this, Str data, size_t *used, Error *error)
{
    uint64_t before = this->body_bytes;
    int code;

    this->unchecked = data.data;
    this->error = error;
    code = execute_library(this, data, used, error);
    this->framing_bytes += *used - (this->body_bytes - before);
    if (code == 0) {
        code = check_framing_lines(this, data.data + *used,
                                   this->message_complete);
    }
    return code < 0 ? code : check_framing_length(this, error);
}

static int
mark_failed(HttpParser *this, int code)
{
    this->state = STATE_FAILED;
    return code;
}

static int
feed_bytes(HttpParser *this, Str data, size_t *used, Error *error)
{
    size_t n = 0;
    bool complete;
    int code;

    *used = 0;
    if (this->state == STATE_HEAD) {
        code = collect_head(this, data, used, &complete, error);
        if (code < 0 || !complete) {
            return code;
        }
        this->state = STATE_BODY;
        code = execute_library(this, Str_FromString(this->head), &n, error);
        clear_buffer(&this->head);
        if (code < 0 || this->message_complete) {
            return code;
        }
        data.data += *used;
        data.length -= *used;
    }
    if (data.length > 0) {
        code = execute_body(this, data, &n, error);
        *used += n;
        return code;
    }
    return 0;
}

int
HttpParser_Feed(HttpParser *this, Str data, size_t *used, Error *error)
{
    int code;

    *used = 0;
    if (this->state == STATE_FAILED) {
        return set_protocol_error(
            error, "an earlier message on this connection was malformed");
    }
    code = feed_bytes(this, data, used, error);
    if (code < 0) {
        return mark_failed(this, code);
    }
    if (this->message_complete) {
        this->handlers.on_end(this->user);
        begin_message(this);
    }
    return 0;
}

int
HttpParser_Finish(HttpParser *this, Error *error)
{
    if (HttpParser_IsIdle(this)) {
        return 0;
    }
    if (this->state != STATE_BODY) {
        return set_protocol_error(
            error, "the connection was closed inside a header block");
    }
    http_parser_execute(&this->library, &library_settings, NULL, 0);
    if (!this->message_complete) {
        mark_failed(this, ERR_PROTOCOL);
        return set_protocol_error(
            error, "the connection was closed inside a message body");
    }
    this->handlers.on_end(this->user);
    begin_message(this);
    return 0;
}

bool
HttpParser_IsIdle(const HttpParser *this)
{
    return this->state == STATE_HEAD && this->head->len == 0;
}

HeaderList *
HttpParser_TakeHeaders(HttpParser *this)
{
    HeaderList *headers = this->headers;

    this->headers = HeaderList_Create();
    return headers;
}

size_t
HttpParser_HeldBytes(const HttpParser *this)
{
    return this->head->allocated_len + this->target->allocated_len +
           this->name->allocated_len + this->value->allocated_len +
           HeaderList_Bytes(this->headers);
}

void
HttpParser_SetHeadBytes(HttpParser *this, size_t head_bytes_max)
{
    this->head_bytes_max = head_bytes_max;
}
