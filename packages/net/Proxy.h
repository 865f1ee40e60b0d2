#ifndef AGATECRANK_NET_PROXY_H
#define AGATECRANK_NET_PROXY_H

#include "Balancer.h"
#include "HttpClient.h"
#include "HttpServer.h"

/**
 * typedef Proxy - HTTP proxy between callers and upstreams
 *
 * It executes the decisions of a Balancer and reports the events to it.
 */
typedef struct Proxy_ Proxy;

/**
 * struct ProxyOptions_ - settings of a proxy
 * @server: settings of the server for callers
 * @client: connections to upstreams
 * @request_buffer_bytes, @response_buffer_bytes: buffer sizes of each open
 *     request, in bytes
 * @answer_limit: maximum size of a response, in bytes, that is recorded to be
 *                replayed for its idempotency key
 */
typedef struct ProxyOptions_ {
    HttpServerOptions server;
    HttpClientOptions client;
    size_t request_buffer_bytes;
    size_t response_buffer_bytes;
    size_t answer_limit;
} ProxyOptions;

/**
 * typedef ProxyClaimHandler - executes a claim action that needs the log or
 *     a peer
 */
typedef void ProxyClaimHandler(void *user, const ClaimAction *action);

/**
 * Proxy_Create() - start to listen for callers
 * @on_claim: executes the claim actions that the proxy cannot execute itself
 *
 * Return: NULL with @error filled on failure.
 */
Proxy *Proxy_Create(Loop *loop, Balancer *balancer, Random *random,
                    Counters *counters, const ProxyOptions *options,
                    ProxyClaimHandler *on_claim, void *user, Error *error);

/** Proxy_Destroy() - release; the loop must not run afterwards */
void Proxy_Destroy(Proxy *this);

/** Proxy_RunActions() - execute the pending actions of the balancer */
void Proxy_RunActions(Proxy *this);

/** Proxy_DisableKeepAlive() - close each connection after its response */
void Proxy_DisableKeepAlive(Proxy *this);

/**
 * Proxy_StopListening() - disable keep-alive, close the listener and idle
 *     connections
 */
void Proxy_StopListening(Proxy *this);

/** Proxy_Port() - TCP port of the server for callers */
uint16_t Proxy_Port(const Proxy *this);

/** Proxy_OpenRequests() - number of unfinished requests */
size_t Proxy_OpenRequests(const Proxy *this);

#endif
