#ifndef AGATECRANK_AGATECRANKD_BALANCERDAEMON_H
#define AGATECRANK_AGATECRANKD_BALANCERDAEMON_H

#include "Error.h"
#include "Settings.h"

/* Exit codes of agatecrankd, as documented in its manual page */
#define EXIT_DRAINED 0      /* all open requests ended before the exit */
#define EXIT_USAGE 1        /* invalid command line or settings */
#define EXIT_START_FAILED 2 /* an address or key file is unusable */
#define EXIT_INTERRUPTED 3  /* open requests were interrupted */

/** typedef BalancerDaemon - the process of a balancer host */
typedef struct BalancerDaemon_ BalancerDaemon;

/**
 * BalancerDaemon_Create() - create all parts and open all sockets
 * @settings: borrowed
 *
 * Return: NULL with @error filled if a socket or file cannot be opened.
 */
BalancerDaemon *BalancerDaemon_Create(const Settings *settings, Error *error);

/** BalancerDaemon_Destroy() - close all sockets and free the daemon */
void BalancerDaemon_Destroy(BalancerDaemon *this);

/** BalancerDaemon_Run() - serve until the host stops; returns the exit code */
int BalancerDaemon_Run(BalancerDaemon *this);

#endif
