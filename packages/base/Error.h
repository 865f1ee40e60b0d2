#ifndef AGATECRANK_BASE_ERROR_H
#define AGATECRANK_BASE_ERROR_H

#include "Str.h"

/** enum ErrorCode - negative numbers returned by functions that can fail */
enum ErrorCode {
    ERR_INVALID = -1,     /* a value is out of its range or of a wrong type */
    ERR_PARSE = -2,       /* the input is not well formed */
    ERR_LIMIT = -3,       /* a bound on size, rate or number was reached */
    ERR_CONFLICT = -4,    /* the change clashes with a newer one */
    ERR_UNAVAILABLE = -5, /* the peer or resource can not be used now */
    ERR_TIMEOUT = -6,     /* the deadline passed */
    ERR_EXPIRED = -7,     /* older than what is remembered */
    ERR_DENIED = -8,      /* not permitted or not authenticated */
    ERR_NOT_FOUND = -9,   /* no such object */
    ERR_PROTOCOL = -10,   /* the peer broke the protocol */
    ERR_IO = -11,         /* the operating system reported an error */
};

/**
 * struct Error_ - what went wrong, at which step and with which peer
 * @code: negative ErrorCode
 * @step: static name of the step, such as "log-append"
 * @peer: address or name of the peer, may be empty
 * @text: message for people, one line
 */
typedef struct Error_ {
    int code;
    const char *step;
    char peer[64];
    char text[192];
} Error;

/**
 * Error_Set() - fill @error (which may be NULL)
 *
 * Return: @code, so that a caller can return the call itself.
 */
int Error_Set(Error *error, int code, const char *step, Str peer,
              const char *format, ...) __attribute__((format(printf, 5, 6)));

/** Error_Name() - stable lower-case word for a code, for logs */
const char *Error_Name(int code);

#endif
