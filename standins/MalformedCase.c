#include "MalformedCase.h"

#include <string.h>

#define SMUGGLED "GET /smuggled HTTP/1.1\r\nhost: smuggled\r\n\r\n"
#define PIPELINED "GET /pipelined HTTP/1.1\r\nhost: pipelined\r\n\r\n"
#define MANY_HEADERS_COUNT 2000
#define LARGE_HEADERS_COUNT 4096

const MalformedCase MALFORMED_CASES[] = {
    {"plain", EXPECT_OK, "GET", "", NULL, "", 0, 0, false},
    {"plain-body", EXPECT_OK, "PUT", "content-length: 5\r\n", NULL, "hello", 0,
     0, false},
    {"slow-bytes", EXPECT_OK, "GET", "", NULL, "", 0, 2, false},
    {"request-in-body", EXPECT_OK, "PUT", "content-length: 42\r\n", NULL,
     SMUGGLED, 0, 0, false},
    {"both-lengths", EXPECT_REJECTED, "PUT",
     "content-length: 5\r\ntransfer-encoding: chunked\r\n", NULL,
     "0\r\n\r\n" SMUGGLED, 0, 0, false},
    {"both-lengths-swapped", EXPECT_REJECTED, "PUT",
     "transfer-encoding: chunked\r\ncontent-length: 5\r\n", NULL,
     "0\r\n\r\n" SMUGGLED, 0, 0, false},
    {"duplicate-length", EXPECT_REJECTED, "PUT",
     "content-length: 5\r\ncontent-length: 5\r\n", NULL, "hello", 0, 0, false},
    {"differing-lengths", EXPECT_REJECTED, "PUT",
     "content-length: 5\r\nContent-Length: 0\r\n", NULL, "hello", 0, 0, false},
    {"length-list", EXPECT_REJECTED, "PUT", "content-length: 5, 5\r\n", NULL,
     "hello", 0, 0, false},
    {"length-negative", EXPECT_REJECTED, "PUT", "content-length: -5\r\n", NULL,
     "hello", 0, 0, false},
    {"length-plus", EXPECT_REJECTED, "PUT", "content-length: +5\r\n", NULL,
     "hello", 0, 0, false},
    {"length-hex", EXPECT_REJECTED, "PUT", "content-length: 0x5\r\n", NULL,
     "hello", 0, 0, false},
    {"length-empty", EXPECT_REJECTED, "PUT", "content-length: \r\n", NULL,
     "hello", 0, 0, false},
    {"length-overflow", EXPECT_REJECTED, "PUT",
     "content-length: 18446744073709551621\r\n", NULL, "hello", 0, 0, false},
    {"duplicate-host", EXPECT_REJECTED, "GET", "host: other\r\n", NULL, "", 0,
     0, false},
    {"duplicate-authorization", EXPECT_REJECTED, "GET",
     "authorization: Bearer a\r\nAuthorization: Bearer b\r\n", NULL, "", 0, 0,
     false},
    {"duplicate-key", EXPECT_REJECTED, "POST",
     "content-length: 0\r\n"
     "idempotency-key: 0190a6c4-0000-7000-8000-000000000001\r\n"
     "Idempotency-Key: 0190a6c4-0000-7000-8000-000000000002\r\n",
     NULL, "", 0, 0, false},
    {"chunked", EXPECT_REJECTED, "PUT", "transfer-encoding: chunked\r\n", NULL,
     "5\r\nhello\r\n0\r\n\r\n", 0, 0, false},
    {"chunked-odd-name", EXPECT_REJECTED, "PUT",
     "transfer-encoding: xchunked\r\n", NULL, "5\r\nhello\r\n0\r\n\r\n", 0, 0,
     false},
    {"chunked-space-before-colon", EXPECT_REJECTED, "PUT",
     "transfer-encoding : chunked\r\ncontent-length: 5\r\n", NULL,
     "0\r\n\r\n" SMUGGLED, 0, 0, false},
    {"chunked-folded", EXPECT_REJECTED, "PUT",
     "transfer-encoding:\r\n chunked\r\ncontent-length: 5\r\n", NULL,
     "0\r\n\r\n" SMUGGLED, 0, 0, false},
    {"space-before-colon", EXPECT_REJECTED, "PUT", "content-length : 5\r\n",
     NULL, "hello", 0, 0, false},
    {"folded-header", EXPECT_REJECTED, "GET", "x-a: b\r\n c\r\n", NULL, "", 0,
     0, false},
    {"bare-lf", EXPECT_REJECTED, NULL, NULL,
     "GET /malformed/bare-lf HTTP/1.1\nhost: a\n\n", "", 0, 0, false},
    {"bare-lf-in-headers", EXPECT_REJECTED, "PUT",
     "x-a: b\ncontent-length: 5\r\n", NULL, "hello", 0, 0, false},
    {"bare-cr-in-headers", EXPECT_REJECTED, "PUT",
     "x-a: b\rcontent-length: 5\r\n", NULL, "hello", 0, 0, false},
    {"control-byte", EXPECT_REJECTED, "GET", "x-a: \001b\r\n", NULL, "", 0, 0,
     false},
    {"no-colon", EXPECT_REJECTED, "GET", "x-a b\r\n", NULL, "", 0, 0, false},
    {"no-version", EXPECT_REJECTED, NULL, NULL,
     "GET /malformed/no-version\r\nhost: a\r\n\r\n", "", 0, 0, false},
    {"no-target", EXPECT_REJECTED, NULL, NULL,
     "GET HTTP/1.1\r\nhost: a\r\n\r\n", "", 0, 0, false},
    {"odd-version", EXPECT_REJECTED, NULL, NULL,
     "GET /malformed/odd-version HTTQ/1.1\r\nhost: a\r\n\r\n", "", 0, 0,
     false},
    {"not-http", EXPECT_REJECTED, NULL, NULL,
     "\026\003\001\002\001\001\r\n\r\n\r\n\r\n", "", 0, 0, false},
    {"many-headers", EXPECT_REJECTED, "GET", "x-a: b\r\n", NULL, "",
     MANY_HEADERS_COUNT, 0, false},
    {"large-headers", EXPECT_REJECTED, "GET",
     "x-a: 0123456789012345678901234567890123456789012345678901234567890\r\n",
     NULL, "", LARGE_HEADERS_COUNT, 0, false},
    {"pipelined", EXPECT_ANY, "PUT", "content-length: 5\r\n", NULL,
     "hello" PIPELINED, 0, 0, false},
    {"close-in-head", EXPECT_REJECTED, NULL, NULL,
     "GET /malformed/close-in-head HTTP/1.1\r\nhost: a", "", 0, 0, true},
    {"close-in-body", EXPECT_REJECTED, "PUT", "content-length: 50\r\n", NULL,
     "hello", 0, 0, true},
    {"half-closed", EXPECT_ANY, "GET", "", NULL, "", 0, 0, true},
    {"body-never-ends", EXPECT_REJECTED, "PUT", "content-length: 50\r\n", NULL,
     "hello", 0, 0, false},
};

const size_t MALFORMED_CASES_COUNT = G_N_ELEMENTS(MALFORMED_CASES);

void
MalformedCase_Write(const MalformedCase *this, const char *service,
                    const char *token, GString *out)
{
    int repeat = this->repeat > 0 ? this->repeat : 1;

    if (this->raw != NULL) {
        g_string_append(out, this->raw);
        return;
    }
    g_string_append_printf(out, "%s /malformed/%s HTTP/1.1\r\nhost: %s\r\n",
                           this->method, this->name, service);
    /* The case with two tokens has them in its headers. */
    if (*token != '\0' && strstr(this->headers, "uthorization") == NULL) {
        g_string_append_printf(out, "authorization: Bearer %s\r\n", token);
    }
    for (int i = 0; i < repeat; i++) {
        g_string_append(out, this->headers);
    }
    g_string_append(out, "\r\n");
    g_string_append(out, this->body);
}
