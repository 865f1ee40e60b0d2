#ifndef AGATECRANK_STANDINS_LOSSYLINK_H
#define AGATECRANK_STANDINS_LOSSYLINK_H

#include "HttpLoop.h"

/**
 * typedef LossyLink - TCP proxy on a loopback port that can inject faults
 *
 * Once bytes of a connection are dropped, nothing is forwarded in that
 * direction any more, not even its end, because a byte stream cannot
 * continue after a gap. The connection stays open until a side closes it.
 */
typedef struct LossyLink_ LossyLink;

/** enum LinkFault - fault that applies to all connections of a link */
typedef enum LinkFault_ {
    LINK_CLEAR,
    LINK_DELAYED,         /* bytes are delayed by up to LINK_DELAY_US */
    LINK_CUT_TO_TARGET,   /* bytes from the client are dropped */
    LINK_CUT_FROM_TARGET, /* bytes from the target are dropped */
    LINK_SILENT,          /* bytes of both directions are dropped */
} LinkFault;

/** LINK_DELAY_US - longest delay of a byte by LINK_DELAYED */
#define LINK_DELAY_US (150 * MICROS_PER_MS)

/**
 * LossyLink_Create() - listen on a free port of 127.0.0.1
 * @target: "ADDRESS:PORT" with an IPv4 address
 *
 * Return: NULL if @target is malformed or no port is available.
 */
LossyLink *LossyLink_Create(HttpLoop *loop, const char *target);

/** LossyLink_Destroy() - release; only after HttpLoop_Close(); accepts NULL */
void LossyLink_Destroy(LossyLink *this);

/** LossyLink_Port() - port that the link listens on */
int LossyLink_Port(const LossyLink *this);

/** LossyLink_SetFault() - set the fault of open and future connections */
void LossyLink_SetFault(LossyLink *this, LinkFault fault);

/** LossyLink_Reset() - reset every open connection on both sides */
void LossyLink_Reset(LossyLink *this);

/**
 * LossyLink_SilenceSources() - drop the bytes of some clients, beside the fault
 * @sources: array of in_addr_t, the addresses of the clients; borrowed; NULL for
 *           none
 */
void LossyLink_SilenceSources(LossyLink *this, const GArray *sources);

/** LossyLink_ResetSources() - reset the open connections of some clients */
void LossyLink_ResetSources(LossyLink *this, const GArray *sources);

/**
 * LossyLink_Delivers() - whether bytes from the target get through to the client
 *     of a connection now
 * @port: of the client, as the target sees it
 */
bool LossyLink_Delivers(const LossyLink *this, uint16_t port);

/** LossyLink_ConnectionCount() - number of connections with at least one side
 *                               open */
unsigned LossyLink_ConnectionCount(const LossyLink *this);

#endif
