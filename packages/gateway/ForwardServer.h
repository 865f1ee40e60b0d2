#ifndef AGATECRANK_GATEWAY_FORWARDSERVER_H
#define AGATECRANK_GATEWAY_FORWARDSERVER_H

#include "BodyBuffer.h"
#include "Counters.h"
#include "HostKeys.h"
#include "HttpServer.h"

/** Largest body of a request that hosts forward */
#define FORWARD_BODY_MAX_BYTES ((int64_t)1024 * 1024)

/**
 * typedef ForwardServer - takes requests that other hosts forward to this one
 *
 * Only requests that are sealed by a host of the list, for this host and for
 * the first time, reach the owner. All others get 403.
 */
typedef struct ForwardServer_ ForwardServer;

/** typedef ForwardedRequest - authentic request; released after on_closed */
typedef struct ForwardedRequest_ ForwardedRequest;

/**
 * struct ForwardServerHandlers_ - callbacks of the owner
 * @on_request: a complete request; the returned pointer is passed to the other
 *              handlers as @data
 * @on_drained, @on_closed: as in struct HttpServerHandlers_
 * @on_unlisted: a process that knows this one's key sent a request, but is not
 *               in the list of hosts; @id as it claims
 */
typedef struct ForwardServerHandlers_ {
    void *(*on_request)(void *user, ForwardedRequest *request);
    void (*on_drained)(void *user, void *data);
    void (*on_closed)(void *user, void *data, bool complete);
    void (*on_unlisted)(void *user, Str id);
} ForwardServerHandlers;

/**
 * struct ForwardServerOptions_ - settings
 * @address: where to listen; port 0 lets the system choose one
 * @keys, @counters, @log: borrowed
 * @budget: bounds what requests make the process keep; borrowed, NULL for no
 *          bound
 */
typedef struct ForwardServerOptions_ {
    Endpoint address;
    HostKeys *keys;
    InputBudget *budget;
    Counters *counters;
    EventLog *log;
} ForwardServerOptions;

/**
 * ForwardServer_Create() - start to listen
 *
 * Return: NULL with @error filled on failure.
 */
ForwardServer *ForwardServer_Create(Loop *loop,
                                    const ForwardServerOptions *options,
                                    const ForwardServerHandlers *handlers,
                                    void *user, Error *error);

/** ForwardServer_Destroy() - close connections; NULL is allowed */
void ForwardServer_Destroy(ForwardServer *this);

/** ForwardServer_Port() - TCP port in use */
uint16_t ForwardServer_Port(const ForwardServer *this);

/**
 * ForwardServer_SetHeadBytes() - set the limit on the header block of a caller's
 *     request; what hosts add to it is allowed for
 */
void ForwardServer_SetHeadBytes(ForwardServer *this, size_t head_bytes);

/** ForwardServer_Pressure() - see HttpServer_Pressure(); borrowed */
const HttpServerPressure *ForwardServer_Pressure(const ForwardServer *this);

/** ForwardServer_CloseKeptAlive() - see HttpServer_DisableKeepAlive() */
void ForwardServer_CloseKeptAlive(ForwardServer *this);

/** ForwardServer_StopListening() - and close idle connections */
void ForwardServer_StopListening(ForwardServer *this);

/** ForwardServer_OpenRequests() - requests without a complete response */
size_t ForwardServer_OpenRequests(const ForwardServer *this);

/** ForwardedRequest_Http() - the request, without the field of the seal */
HttpRequest *ForwardedRequest_Http(ForwardedRequest *this);

/** ForwardedRequest_Sender() - id of the host that sent it */
Str ForwardedRequest_Sender(const ForwardedRequest *this);

/** ForwardedRequest_AttemptsMax() - upstreams that it may be sent to */
uint32_t ForwardedRequest_AttemptsMax(const ForwardedRequest *this);

/** ForwardedRequest_TakeBody() - the body, to be freed by the owner; once */
BodyBuffer *ForwardedRequest_TakeBody(ForwardedRequest *this);

/**
 * ForwardedRequest_Seal() - count the response and add its seal
 * @reason: word for an outcome of the host itself
 * @headers: of the response, complete but for the seal
 */
void ForwardedRequest_Seal(ForwardedRequest *this, ForwardOutcome outcome,
                           Str reason, int status, HeaderList *headers);

#endif
