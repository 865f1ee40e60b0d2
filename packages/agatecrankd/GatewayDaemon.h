#ifndef AGATECRANK_AGATECRANKD_GATEWAYDAEMON_H
#define AGATECRANK_AGATECRANKD_GATEWAYDAEMON_H

#include "Error.h"
#include "GatewaySettings.h"

/** typedef GatewayDaemon - the process of a gateway host */
typedef struct GatewayDaemon_ GatewayDaemon;

/**
 * GatewayDaemon_Create() - create all parts and open all sockets
 * @settings: borrowed
 *
 * Return: NULL with @error filled if a socket cannot be opened.
 */
GatewayDaemon *GatewayDaemon_Create(const GatewaySettings *settings,
                                    Error *error);

/** GatewayDaemon_Destroy() - close all sockets and free the daemon */
void GatewayDaemon_Destroy(GatewayDaemon *this);

/** GatewayDaemon_Run() - serve until a signal; returns the exit code */
int GatewayDaemon_Run(GatewayDaemon *this);

#endif
