#ifndef AGATECRANK_NET_ZAPHANDLER_H
#define AGATECRANK_NET_ZAPHANDLER_H

#include "EventLog.h"
#include "PeerKeys.h"

/** PEER_ZAP_DOMAIN - ZAP domain of sockets that ask this gate */
#define PEER_ZAP_DOMAIN "agatecrank"

/** typedef ZapHandler - decides which public keys may connect (ZAP, RFC 27) */
typedef struct ZapHandler_ ZapHandler;

/**
 * ZapHandler_Create() - answer the requests of a ZeroMQ context
 * @context: sockets bound before have no gate
 * @keys, @log: borrowed
 */
ZapHandler *ZapHandler_Create(void *context, const PeerKeys *keys,
                              EventLog *log, Error *error);

/** ZapHandler_Destroy() - close its socket; NULL is allowed */
void ZapHandler_Destroy(ZapHandler *this);

/** ZapHandler_Socket() - ZeroMQ socket whose descriptor is to be watched */
void *ZapHandler_Socket(const ZapHandler *this);

/** ZapHandler_ProcessRequests() - answer all requests that wait */
void ZapHandler_ProcessRequests(ZapHandler *this);

/** ZapHandler_Accepted() and _Denied() - connections since creation */
uint64_t ZapHandler_Accepted(const ZapHandler *this);
uint64_t ZapHandler_Denied(const ZapHandler *this);

#endif
