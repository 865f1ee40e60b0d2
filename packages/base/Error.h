#ifndef AGATECRANK_BASE_ERROR_H
#define AGATECRANK_BASE_ERROR_H

#include "Str.h"

/** enum ErrorCode - negative return values of functions that can fail */
enum ErrorCode {
    ERR_INVALID = -1,     /* a value is out of range or has the wrong type */
    ERR_PARSE = -2,       /* the input is malformed */
    ERR_LIMIT = -3,       /* a limit on size, rate or number was reached */
    ERR_CONFLICT = -4,    /* the change conflicts with a newer one */
    ERR_UNAVAILABLE = -5, /* the peer or resource cannot be used now */
    ERR_TIMEOUT = -6,     /* the deadline passed */
    ERR_EXPIRED = -7,     /* older than the retained history */
    ERR_DENIED = -8,      /* not permitted or not authenticated */
    ERR_NOT_FOUND = -9,   /* no such object */
    ERR_PROTOCOL = -10,   /* the peer violated the protocol */
    ERR_IO = -11,         /* the operating system reported an error */
};

/**
 * struct Error_ - error with the operation that failed and the peer involved
 * @code: negative ErrorCode
 * @step: name of the operation, such as "log-append"; a static string
 * @peer: address or name of the peer; may be empty
 * @text: one-line message for the operator
 */
typedef struct Error_ {
    int code;
    const char *step;
    char peer[64];
    char text[192];
} Error;

/**
 * Error_Set() - fill in @error
 * @error: may be NULL; then nothing is stored
 * @format: printf format of the message
 *
 * A peer name or message that is too long for its field is truncated.
 *
 * Return: @code, for use as `return Error_Set(...)`.
 */
int Error_Set(Error *error, int code, const char *step, Str peer,
              const char *format, ...) __attribute__((format(printf, 5, 6)));

/**
 * Error_Name() - name of an error code in logs
 *
 * The names do not change between versions.
 *
 * Return: the name; "ok" if @code is not negative, "unknown" for other codes.
 */
const char *Error_Name(int code);

#endif
