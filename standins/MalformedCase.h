#ifndef AGATECRANK_STANDINS_MALFORMEDCASE_H
#define AGATECRANK_STANDINS_MALFORMEDCASE_H

#include <stdbool.h>

#include <glib.h>

/** enum CaseExpectation_ - responses that a case passes with */
typedef enum CaseExpectation_ {
    EXPECT_OK,       /* exactly one response, a 2xx */
    EXPECT_REJECTED, /* no 2xx, one response at most */
    EXPECT_ANY,      /* any; the responses are only printed */
} CaseExpectation;

/**
 * struct MalformedCase_ - test case: the bytes sent on one connection
 * @name: name in the output and in the path of the request
 * @expectation: responses that are allowed
 * @method: method of the request; NULL with @raw
 * @headers: sent after "METHOD /malformed/NAME HTTP/1.1", host and token; NULL
 *           with @raw
 * @raw: complete text that is sent instead of all others; may be NULL
 * @body: sent after the empty line
 * @repeat: number of times that @headers are sent; 0 is 1
 * @gap_ms: delay between single bytes; 0 sends all at once
 * @close_early: shuts the sending side down after the bytes
 */
typedef struct MalformedCase_ {
    const char *name;
    CaseExpectation expectation;
    const char *method;
    const char *headers;
    const char *raw;
    const char *body;
    int repeat;
    int gap_ms;
    bool close_early;
} MalformedCase;

extern const MalformedCase MALFORMED_CASES[];
extern const size_t MALFORMED_CASES_COUNT;

/** MalformedCase_Write() - append the bytes of the case to @out */
void MalformedCase_Write(const MalformedCase *this, const char *service,
                         const char *token, GString *out);

#endif
