#include "HttpMessage.h"

#include <string.h>

/* Removes the first line from @rest. It must end with CR LF and contain no
 * control characters other than tabs. */
static int
read_line(Str *rest, Str *line)
{
    const char *end = memchr(rest->data, '\n', rest->length);

    if (end == NULL || end == rest->data || end[-1] != '\r') {
        return ERR_PROTOCOL;
    }
    line->data = rest->data;
    line->length = (size_t)(end - rest->data) - 1;
    rest->length -= line->length + 2;
    rest->data = end + 1;
    for (size_t i = 0; i < line->length; i++) {
        unsigned char c = (unsigned char)line->data[i];

        if ((c < ' ' && c != '\t') || c == 0x7f) {
            return ERR_PROTOCOL;
        }
    }
    return 0;
}

static int
parse_start_line(HttpMessage *this, Str line)
{
    for (int i = 0; i < 2; i++) {
        if (!Str_Split(&line, ' ', &this->start[i]) ||
            this->start[i].length == 0) {
            return ERR_PROTOCOL;
        }
    }
    this->start[2] = line;
    return Str_StartsWith(this->start[0], STR("HTTP/1.")) ||
                   Str_StartsWith(this->start[2], STR("HTTP/1."))
               ? 0
               : ERR_PROTOCOL;
}

static bool
is_header_name(Str name)
{
    for (size_t i = 0; i < name.length; i++) {
        unsigned char c = (unsigned char)name.data[i];

        if (c <= ' ' || c >= 0x7f || strchr("()<>@,;:\\\"/[]?={}", c)) {
            return false;
        }
    }
    return name.length > 0;
}

static int
parse_header(HttpMessage *this, Str line)
{
    const char *colon = memchr(line.data, ':', line.length);
    HttpHeader *header = &this->headers[this->count];

    if (colon == NULL || this->count == HTTP_HEADERS_MAX) {
        return ERR_PROTOCOL;
    }
    header->name = (Str){line.data, (size_t)(colon - line.data)};
    header->value =
        Str_Trim((Str){colon + 1, line.length - header->name.length - 1});
    this->count++;
    return is_header_name(header->name) ? 0 : ERR_PROTOCOL;
}

static size_t
count_headers(const HttpMessage *this, Str name)
{
    size_t count = 0;

    for (size_t i = 0; i < this->count; i++) {
        count += Str_EqualIgnoreCase(this->headers[i].name, name);
    }
    return count;
}

static int
check_framing(HttpMessage *this)
{
    Str length = HttpMessage_Header(this, STR("content-length"));

    this->has_length = HttpMessage_Has(this, STR("content-length"));
    this->chunked = HttpMessage_Has(this, STR("transfer-encoding"));
    if (count_headers(this, STR("content-length")) > 1 ||
        count_headers(this, STR("host")) > 1 ||
        count_headers(this, STR("authorization")) > 1 ||
        count_headers(this, STR("idempotency-key")) > 1 ||
        (this->has_length && this->chunked)) {
        return ERR_PROTOCOL;
    }
    if (this->has_length && Str_ParseU64(length, &this->length) < 0) {
        return ERR_PROTOCOL;
    }
    return 0;
}

int
HttpMessage_Parse(HttpMessage *this, Str bytes)
{
    const char *end = memmem(bytes.data, bytes.length, "\r\n\r\n", 4);
    Str rest;
    Str line;

    if (end == NULL) {
        return bytes.length > HTTP_HEAD_MAX_BYTES ||
                       memmem(bytes.data, bytes.length, "\n\n", 2) != NULL
                   ? ERR_PROTOCOL
                   : 0;
    }
    this->count = 0;
    this->length = 0;
    this->bytes = (size_t)(end - bytes.data) + 4;
    rest = (Str){bytes.data, this->bytes - 2};
    if (read_line(&rest, &line) < 0 || parse_start_line(this, line) < 0) {
        return ERR_PROTOCOL;
    }
    while (rest.length > 0) {
        if (read_line(&rest, &line) < 0 || parse_header(this, line) < 0) {
            return ERR_PROTOCOL;
        }
    }
    return check_framing(this) < 0 ? ERR_PROTOCOL : 1;
}

Str
HttpMessage_Header(const HttpMessage *this, Str name)
{
    for (size_t i = 0; i < this->count; i++) {
        if (Str_EqualIgnoreCase(this->headers[i].name, name)) {
            return this->headers[i].value;
        }
    }
    return STR("");
}

bool
HttpMessage_Has(const HttpMessage *this, Str name)
{
    return count_headers(this, name) > 0;
}
