#ifndef AGATECRANK_AGATECRANKD_GATEWAYDAEMON_H
#define AGATECRANK_AGATECRANKD_GATEWAYDAEMON_H

#include "Error.h"
#include "GatewaySettings.h"

/** typedef GatewayDaemon - one gateway host on the users' platform */
typedef struct GatewayDaemon_ GatewayDaemon;

/** GatewayDaemon_Create() - NULL with @error filled if something can't be
 *                           opened; @settings are borrowed */
GatewayDaemon *GatewayDaemon_Create(const GatewaySettings *settings,
                                    Error *error);

/** GatewayDaemon_Destroy() - release everything */
void GatewayDaemon_Destroy(GatewayDaemon *this);

/** GatewayDaemon_Run() - serve until a signal; returns the exit code */
int GatewayDaemon_Run(GatewayDaemon *this);

#endif
