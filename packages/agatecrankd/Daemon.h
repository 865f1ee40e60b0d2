#ifndef AGATECRANK_AGATECRANKD_DAEMON_H
#define AGATECRANK_AGATECRANKD_DAEMON_H

#include "Error.h"
#include "Settings.h"

/** Exit codes of agatecrankd, as documented in its manual page */
#define EXIT_DRAINED 0     /* ended after SIGTERM, nothing was cut */
#define EXIT_USAGE 1       /* wrong command line or settings */
#define EXIT_START 2       /* an address or a key file can not be used */
#define EXIT_INTERRUPTED 3 /* open requests were cut */

/** typedef Daemon - one balancer host: the core and everything around it */
typedef struct Daemon_ Daemon;

/** Daemon_Create() - NULL with @error filled if something can't be opened */
Daemon *Daemon_Create(const Settings *settings, Error *error);

/** Daemon_Destroy() - release everything */
void Daemon_Destroy(Daemon *this);

/** Daemon_Run() - serve until a signal; returns the exit code */
int Daemon_Run(Daemon *this);

#endif
