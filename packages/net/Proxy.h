#ifndef AGATECRANK_NET_PROXY_H
#define AGATECRANK_NET_PROXY_H

#include "Balancer.h"
#include "HttpClient.h"
#include "HttpServer.h"

/**
 * typedef Proxy - carries bytes between callers and upstreams
 *
 * It does what a Balancer decides and reports back what happened.
 */
typedef struct Proxy_ Proxy;

/**
 * struct ProxyOptions_ - settings
 * @server: listening address for callers; its handlers are the proxy's own
 * @client: connections to upstreams
 * @request_buffer_bytes, @response_buffer_bytes: bytes held for each open request
 * @answer_limit: largest answer that is kept for resends of its key
 */
typedef struct ProxyOptions_ {
    HttpServerOptions server;
    HttpClientOptions client;
    size_t request_buffer_bytes;
    size_t response_buffer_bytes;
    size_t answer_limit;
} ProxyOptions;

/** typedef ProxyClaimHandler - a claim action that needs the log or a peer */
typedef void ProxyClaimHandler(void *user, const ClaimAction *action);

/** Proxy_Create() - listen for callers; NULL with @error on failure */
Proxy *Proxy_Create(Loop *loop, Balancer *balancer, Random *random,
                    Counters *counters, const ProxyOptions *options,
                    ProxyClaimHandler *on_claim, void *user, Error *error);

/** Proxy_Destroy() - release; the loop must not run any more */
void Proxy_Destroy(Proxy *this);

/** Proxy_RunActions() - do what the balancer decided since the last call */
void Proxy_RunActions(Proxy *this);

/** Proxy_DisableKeepAlive() - end each connection after its next answer */
void Proxy_DisableKeepAlive(Proxy *this);

/** Proxy_StopListening() - take no new connections */
void Proxy_StopListening(Proxy *this);

/** Proxy_Port() - port on which callers connect */
uint16_t Proxy_Port(const Proxy *this);

/** Proxy_OpenRequests() - requests that are not answered in full */
size_t Proxy_OpenRequests(const Proxy *this);

#endif
