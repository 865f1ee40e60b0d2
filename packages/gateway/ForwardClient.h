#ifndef AGATECRANK_GATEWAY_FORWARDCLIENT_H
#define AGATECRANK_GATEWAY_FORWARDCLIENT_H

#include "BodyBuffer.h"
#include "HostKeys.h"
#include "HttpClient.h"

/** typedef ForwardClient - sends requests to other hosts, to be executed there */
typedef struct ForwardClient_ ForwardClient;

/**
 * struct ForwardCallSpec_ - a request to forward
 * @peer: id of the host
 * @headers: without hop-by-hop fields; the seal is added
 * @body: borrowed until the end of the call; NULL for none
 * @attempts_max: upstreams that the peer may send it to
 * @idle_max, @match_name, @match_value: as in struct HttpCallSpec_
 */
typedef struct ForwardCallSpec_ {
    Str peer;
    Str method;
    Str path;
    HeaderList *headers;
    const BodyBuffer *body;
    uint32_t attempts_max;
    Micros idle_max;
    Str match_name;
    Str match_value;
} ForwardCallSpec;

/** struct ForwardTicket_ - what the seal of the response is checked with */
typedef struct ForwardTicket_ {
    uint64_t sequence;
    uint8_t response_key[FORWARD_MAC_KEY_BYTES];
} ForwardTicket;

/** ForwardClient_Create() - @keys is borrowed */
ForwardClient *ForwardClient_Create(Loop *loop, HostKeys *keys);

/** ForwardClient_Destroy() - after all calls ended; NULL is allowed */
void ForwardClient_Destroy(ForwardClient *this);

/**
 * ForwardClient_Start() - seal and send a request
 * @ticket: filled in
 *
 * Return: as HttpClient_Start(); NULL also with ERR_NOT_FOUND if the peer is not
 * known any more, or ERR_INVALID if the body is larger than
 * FORWARD_BODY_MAX_BYTES.
 */
HttpCall *ForwardClient_Start(ForwardClient *this, const ForwardCallSpec *spec,
                              const HttpCallHandlers *handlers, void *user,
                              ForwardTicket *ticket, Error *error);

/**
 * ForwardTicket_Check() - check the seal of a response
 * @seal: filled in, with strings of @headers
 *
 * Return: 0, or ERR_DENIED if the response is not the peer's to this request.
 */
int ForwardTicket_Check(const ForwardTicket *this, int status,
                        const HeaderList *headers, ForwardResponseSeal *seal);

#endif
