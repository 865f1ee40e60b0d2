#ifndef AGATECRANK_AGATECRANK_REQUESTTRACE_H
#define AGATECRANK_AGATECRANK_REQUESTTRACE_H

#include <glib.h>

#include "Str.h"

/**
 * RequestTrace_Write() - what became of a request, from the lines of gateway
 *                        hosts
 * @lines: lines of one or more hosts, in any order of hosts
 * @id: the request's id, as in its answer
 * @out: receives the request's lines in order with their distance in time,
 *       what the hosts reported on its upstreams shortly before and after,
 *       the cause, and where to look next
 *
 * Return: 0, or ERR_NOT_FOUND if no line has the id; @out then says what the
 * hosts left out.
 */
int RequestTrace_Write(Str lines, Str id, GString *out);

#endif
