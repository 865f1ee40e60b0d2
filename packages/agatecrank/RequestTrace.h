#ifndef AGATECRANK_AGATECRANK_REQUESTTRACE_H
#define AGATECRANK_AGATECRANK_REQUESTTRACE_H

#include <glib.h>

#include "Str.h"

/**
 * RequestTrace_Write() - explain the outcome of a request from log lines
 * @lines: log lines of one or more gateway hosts, in any order of hosts
 * @id: request id, as in the response
 * @out: receives the lines of the request in order of time with their offsets
 *       from the first, the changes that its hosts logged about themselves
 *       and its upstreams within 5 s, the cause, and where to look next
 *
 * Return: 0, or ERR_NOT_FOUND if no line has the id; @out then has the number
 * of lines that the hosts dropped.
 */
int RequestTrace_Write(Str lines, Str id, GString *out);

#endif
