#ifndef AGATECRANK_NET_PROXYHEADERS_H
#define AGATECRANK_NET_PROXYHEADERS_H

#include "Balancer.h"
#include "HeaderList.h"

/**
 * struct ForwardInfo_ - fields that a balancer adds for the upstream
 * @time_left: time left of the deadline
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
 * Hop-by-hop fields, the caller's credential and the internal fields that
 * came from outside are left out.
 */
HeaderList *ProxyHeaders_ForUpstream(const HeaderList *from,
                                     const ForwardInfo *info);

/** ProxyHeaders_ForCaller() - header fields of an upstream's answer */
HeaderList *ProxyHeaders_ForCaller(const HeaderList *from, Str request_id,
                                   Outcome outcome);

/**
 * ProxyHeaders_ForLocalResponse() - answer that the balancer makes itself
 * @outcome: of the key, or of the request if it has none
 * @request_outcome: of this request alone
 * @body: receives the JSON text
 */
HeaderList *ProxyHeaders_ForLocalResponse(Str request_id, Outcome outcome,
                                          Outcome request_outcome,
                                          const char *reason,
                                          Micros retry_after, GString *body);

/** ProxyHeaders_Service() - service named by a Host header */
Str ProxyHeaders_Service(Str host);

/** ProxyHeaders_Deadline() - agatecrank-deadline-ms; 0 if there is none */
Micros ProxyHeaders_Deadline(const HeaderList *headers);

#endif
