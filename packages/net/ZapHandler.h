#ifndef AGATECRANK_NET_ZAPHANDLER_H
#define AGATECRANK_NET_ZAPHANDLER_H

#include "EventLog.h"
#include "PeerKeys.h"

/** PEER_ZAP_DOMAIN - ZAP domain of the sockets that use this handler */
#define PEER_ZAP_DOMAIN "agatecrank"

/**
 * typedef ZapHandler - authenticates the connections of a ZeroMQ context
 *
 * It implements the handler of the ZeroMQ Authentication Protocol (ZAP,
 * ZeroMQ RFC 27) and accepts the public keys of an allow-list.
 */
typedef struct ZapHandler_ ZapHandler;

/**
 * ZapHandler_Create() - register the ZAP handler of a ZeroMQ context
 * @context: its sockets that were bound before are not authenticated
 * @keys, @log: borrowed
 *
 * Return: NULL with @error filled if the handler cannot be bound.
 */
ZapHandler *ZapHandler_Create(void *context, const PeerKeys *keys,
                              EventLog *log, Error *error);

/** ZapHandler_Destroy() - close the socket and release; NULL is allowed */
void ZapHandler_Destroy(ZapHandler *this);

/** ZapHandler_Socket() - ZeroMQ socket whose descriptor the owner watches */
void *ZapHandler_Socket(const ZapHandler *this);

/** ZapHandler_ProcessRequests() - reply to all pending ZAP requests */
void ZapHandler_ProcessRequests(ZapHandler *this);

/** ZapHandler_Accepted() - connections accepted since creation */
uint64_t ZapHandler_Accepted(const ZapHandler *this);
/** ZapHandler_Denied() - connections denied since creation */
uint64_t ZapHandler_Denied(const ZapHandler *this);

#endif
