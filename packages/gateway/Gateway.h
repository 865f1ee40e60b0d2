#ifndef AGATECRANK_GATEWAY_GATEWAY_H
#define AGATECRANK_GATEWAY_GATEWAY_H

#include "Dialect.h"
#include "Dispatcher.h"
#include "HttpClient.h"
#include "HttpServer.h"

/**
 * typedef Gateway - carries requests and answers as a Dispatcher decides
 */
typedef struct Gateway_ Gateway;

/**
 * struct GatewayOptions_ - settings
 * @address, @port: where callers connect
 * @dialect: borrowed
 * @connections_max: to each upstream
 * @reuse_idle: longest idle time of a connection that a request may use which
 *              must not run twice: the peer may be about to close it
 */
typedef struct GatewayOptions_ {
    const char *address;
    uint16_t port;
    const Dialect *dialect;
    unsigned connections_max;
    Micros reuse_idle;
} GatewayOptions;

/** Gateway_Create() - everything passed in is borrowed */
Gateway *Gateway_Create(Loop *loop, Dispatcher *dispatcher, Counters *counters,
                        const GatewayOptions *options, Error *error);

/** Gateway_Destroy() - after Loop_Close(); NULL is allowed */
void Gateway_Destroy(Gateway *this);

/** Gateway_RunActions() - do what the dispatcher decided; to be called after each
 *                    change of its routes or upstreams */
void Gateway_RunActions(Gateway *this);

/** Gateway_SetLimits() - bounds on callers, from the routes in force */
void Gateway_SetLimits(Gateway *this, const CallerLimits *limits);

/** Gateway_CloseKeptAlive() - end each connection after its next answer */
void Gateway_CloseKeptAlive(Gateway *this);

/** Gateway_StopListening() - accept no more, close idle connections */
void Gateway_StopListening(Gateway *this);

/** Gateway_OpenRequests() - requests without a finished answer */
size_t Gateway_OpenRequests(const Gateway *this);

/** Gateway_Port() - TCP port, also if the options gave 0 */
uint16_t Gateway_Port(const Gateway *this);

#endif
