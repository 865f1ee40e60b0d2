#ifndef AGATECRANK_GATEWAY_GATEWAY_H
#define AGATECRANK_GATEWAY_GATEWAY_H

#include "Dialect.h"
#include "Dispatcher.h"
#include "HostKeys.h"
#include "HttpClient.h"
#include "HttpServer.h"

/**
 * typedef Gateway - transfers requests and responses as a Dispatcher decides
 */
typedef struct Gateway_ Gateway;

/**
 * struct GatewayOptions_ - settings
 * @address, @port: where callers connect
 * @dialect: borrowed
 * @connections_max: limit on the connections to each upstream
 * @reuse_idle: longest idle time of a connection that is reused for a request
 *              that must not run twice: the peer may be about to close it
 * @forward: where other hosts send requests to be executed here; without an
 *           address there is no such listener
 * @keys: of the hosts that may do so, or NULL for no forwarding
 * @memory_bytes: resident memory of the process, 0 for no bound on requests
 * @descriptors_max: descriptors of the process; used with @memory_bytes
 * @log: events of the state of the host
 * @decisions: events of requests
 * @on_stale_keys: another host, as it claims, has another key than was listed
 * @on_update: called after events of the dispatcher were handled; may be NULL
 */
typedef struct GatewayOptions_ {
    const char *address;
    uint16_t port;
    const Dialect *dialect;
    unsigned connections_max;
    size_t memory_bytes;
    unsigned descriptors_max;
    Micros reuse_idle;
    Endpoint forward;
    HostKeys *keys;
    EventLog *log;
    EventLog *decisions;
    void (*on_stale_keys)(void *user, Str host);
    void (*on_update)(void *user);
    void *user;
} GatewayOptions;

/** Gateway_Create() - all pointers are borrowed */
Gateway *Gateway_Create(Loop *loop, Dispatcher *dispatcher, Counters *counters,
                        const GatewayOptions *options, Error *error);

/** Gateway_Destroy() - release it, after Loop_Close(); NULL is allowed */
void Gateway_Destroy(Gateway *this);

/**
 * Gateway_RunActions() - execute the pending actions of the dispatcher
 *
 * To be called after each change of its routes or upstreams.
 */
void Gateway_RunActions(Gateway *this);

/** Gateway_SetLimits() - apply the limits on callers of the routes in force */
void Gateway_SetLimits(Gateway *this, const CallerLimits *limits);

/**
 * Gateway_Stop() - prepare for the stop of the host
 *
 * Each connection is closed after its next response. Requests end with the
 * response of their upstream, however slowly it comes, or at their deadline.
 */
void Gateway_Stop(Gateway *this);

/** Gateway_StopListening() - stop accepting connections and close idle ones */
void Gateway_StopListening(Gateway *this);

/** Gateway_OpenRequests() - number of requests without a complete response */
size_t Gateway_OpenRequests(const Gateway *this);

/** Gateway_IdleCounts() - see HttpServer_IdleCounts() */
const HttpServerIdleCounts *Gateway_IdleCounts(const Gateway *this);

/** Gateway_InputBytes() - memory that open requests take */
size_t Gateway_InputBytes(const Gateway *this);

/** Gateway_Pressure() - callers ended for lack of memory or descriptors */
HttpServerPressure Gateway_Pressure(const Gateway *this);

/** Gateway_SkippedResponses() - HttpClient_SkippedCount() of upstreams */
uint64_t Gateway_SkippedResponses(const Gateway *this);

/**
 * Gateway_ForwardPort() - port for requests of other hosts, 0 if there is none
 */
uint16_t Gateway_ForwardPort(const Gateway *this);

/** Gateway_Port() - TCP port, also if the options had port 0 */
uint16_t Gateway_Port(const Gateway *this);

#endif
