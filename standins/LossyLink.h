#ifndef AGATECRANK_STANDINS_LOSSYLINK_H
#define AGATECRANK_STANDINS_LOSSYLINK_H

#include "HttpLoop.h"

/**
 * typedef LossyLink - a loopback port whose connections are forwarded to a
 *                     target, and disturbed on the way
 *
 * A connection that loses bytes never carries any again in that direction,
 * not even its end, as a stream with a gap can not go on. It stays open until
 * one of its sides closes.
 */
typedef struct LossyLink_ LossyLink;

/** enum LinkFault - what happens to the bytes of all connections */
typedef enum LinkFault_ {
    LINK_CLEAR,
    LINK_DELAYED,         /* by up to LINK_DELAY_US */
    LINK_CUT_TO_TARGET,   /* what the client sends is lost */
    LINK_CUT_FROM_TARGET, /* what the target sends is lost */
    LINK_SILENT,          /* both are lost */
} LinkFault;

/** LINK_DELAY_US - time that a delayed byte is held, at most */
#define LINK_DELAY_US (150 * MICROS_PER_MS)

/**
 * LossyLink_Create() - listen on a free port of 127.0.0.1
 * @target: "ADDRESS:PORT" with an IPv4 address
 *
 * Return: NULL if @target is malformed or no port can be had.
 */
LossyLink *LossyLink_Create(HttpLoop *loop, const char *target);

/** LossyLink_Destroy() - only after HttpLoop_Close(); NULL is allowed */
void LossyLink_Destroy(LossyLink *this);

/** LossyLink_Port() - port in use */
int LossyLink_Port(const LossyLink *this);

/** LossyLink_SetFault() - for open and new connections from now on */
void LossyLink_SetFault(LossyLink *this, LinkFault fault);

/** LossyLink_Reset() - reset every open connection on both sides */
void LossyLink_Reset(LossyLink *this);

/** LossyLink_ConnectionCount() - number of connections with an open side */
unsigned LossyLink_ConnectionCount(const LossyLink *this);

#endif
