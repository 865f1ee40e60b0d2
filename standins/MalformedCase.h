#ifndef AGATECRANK_STANDINS_MALFORMEDCASE_H
#define AGATECRANK_STANDINS_MALFORMEDCASE_H

#include <stdbool.h>

#include <glib.h>

typedef enum CaseExpectation_ {
    EXPECT_OK,      /* a correct request: one 2xx */
    EXPECT_REFUSED, /* no 2xx */
    EXPECT_ANY,     /* reported only */
} CaseExpectation;

/**
 * struct MalformedCase_ - one connection's worth of bytes
 * @headers: after "METHOD /malformed/NAME HTTP/1.1" with host and token;
 *           NULL if @raw is the whole text
 * @raw: used in place of the usual start; may be NULL
 * @body: after the empty line
 * @repeat: @headers are sent this often, 0 as 1
 * @gap_ms: sends byte by byte with this gap, 0 in one piece
 * @close_early: half-closes after the bytes
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
