#include "Error.h"

#include <stdarg.h>
#include <stdio.h>

int
Error_Set(Error *error, int code, const char *step, Str peer,
          const char *format, ...)
{
    va_list args;

    if (error == NULL) {
        return code;
    }
    error->code = code;
    error->step = step;
    snprintf(error->peer, sizeof(error->peer), STR_FORMAT, STR_ARGS(peer));
    va_start(args, format);
    vsnprintf(error->text, sizeof(error->text), format, args);
    va_end(args);
    return code;
}

const char *
Error_Name(int code)
{
    switch (code) {
    case ERR_INVALID:
        return "invalid";
    case ERR_PARSE:
        return "parse";
    case ERR_LIMIT:
        return "limit";
    case ERR_CONFLICT:
        return "conflict";
    case ERR_UNAVAILABLE:
        return "unavailable";
    case ERR_TIMEOUT:
        return "timeout";
    case ERR_EXPIRED:
        return "expired";
    case ERR_DENIED:
        return "denied";
    case ERR_NOT_FOUND:
        return "not-found";
    case ERR_PROTOCOL:
        return "protocol";
    case ERR_IO:
        return "io";
    default:
        return code >= 0 ? "ok" : "unknown";
    }
}
