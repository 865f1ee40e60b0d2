#ifndef AGATECRANK_NET_PROXYHEADERS_H
#define AGATECRANK_NET_PROXYHEADERS_H

#include "Balancer.h"
#include "HeaderList.h"

/**
 * struct ForwardInfo_ - fields that the proxy adds for an upstream
 * @host: Host field of the caller's request
 * @line: product line
 * @time_left: time until the deadline
 * @hops: value of agatecrank-hops
 * @retrying: add agatecrank-retrying
 */
typedef struct ForwardInfo_ {
    Str request_id;
    Str host;
    Str caller;
    Str line;
    Micros time_left;
    uint32_t hops;
    bool retrying;
} ForwardInfo;

/**
 * ProxyHeaders_ForUpstream() - header fields of a request to an upstream
 *
 * Hop-by-hop fields, the credential of the caller and internal fields
 * (agatecrank-*) of the received request are left out.
 */
HeaderList *ProxyHeaders_ForUpstream(const HeaderList *from,
                                     const ForwardInfo *info);

/** ProxyHeaders_ForCaller() - header fields of a response from an upstream */
HeaderList *ProxyHeaders_ForCaller(const HeaderList *from, Str request_id,
                                   Outcome outcome);

/**
 * ProxyHeaders_ForLocalResponse() - header fields and body of a response that
 *     the proxy generates itself
 * @outcome: outcome of the idempotency key, or of the request without a key
 * @request_outcome: outcome of this request alone
 * @retry_after: value of retry-after; 0 to leave it out
 * @body: receives the JSON text
 */
HeaderList *ProxyHeaders_ForLocalResponse(Str request_id, Outcome outcome,
                                          Outcome request_outcome,
                                          const char *reason,
                                          Micros retry_after, GString *body);

/** ProxyHeaders_Service() - service name: the first label of a Host field */
Str ProxyHeaders_Service(Str host);

/**
 * ProxyHeaders_Deadline() - time until the deadline of a request
 *
 * Return: agatecrank-deadline-ms in microseconds, at most 24 hours; 0 without
 * a valid field.
 */
Micros ProxyHeaders_Deadline(const HeaderList *headers);

#endif
