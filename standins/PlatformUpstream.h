#ifndef AGATECRANK_STANDINS_PLATFORMUPSTREAM_H
#define AGATECRANK_STANDINS_PLATFORMUPSTREAM_H

#include "LinkFaults.h"
#include "PlatformChecker.h"
#include "PlatformStore.h"
#include "Random.h"

/** typedef PlatformUpstream - an upstream as the users' platform has them */
typedef struct PlatformUpstream_ PlatformUpstream;

/** struct PlatformContext_ - what the upstreams of a process share */
typedef struct PlatformContext_ {
    HttpLoop *loop;
    const Clock *clock;
    Random *random;
    PlatformStore *store;
    PlatformChecker *truth;
    LinkFaults *links;
    Micros work;       /* mean time of a request */
    double lost_share; /* requests whose answer is lost after they ran */
    double cut_share;  /* answers that end early */
    Micros drain_time; /* bound for requests after a drain was told */
} PlatformContext;

/** PlatformUpstream_Create() - listen and register under a link's address;
 *                              NULL on failure */
PlatformUpstream *PlatformUpstream_Create(const PlatformContext *world,
                                          const char *service,
                                          const char *domain, unsigned number);

/** PlatformUpstream_Destroy() - only after HttpLoop_Close() */
void PlatformUpstream_Destroy(PlatformUpstream *this);

/** PlatformUpstream_Drain() - report that it leaves */
void PlatformUpstream_Drain(PlatformUpstream *this);

/** PlatformUpstream_Crash() - end without a word */
void PlatformUpstream_Crash(PlatformUpstream *this);

/** PlatformUpstream_Restart() - start again with the same id, after a crash
 *                               or a drain */
void PlatformUpstream_Restart(PlatformUpstream *this);

/** PlatformUpstream_WriteStaleRecord() - an older write of its record reaches the
 *                                 store after the newest one */
void PlatformUpstream_WriteStaleRecord(PlatformUpstream *this);

/** PlatformUpstream_MuteConnections() - open connections are never answered again */
void PlatformUpstream_MuteConnections(PlatformUpstream *this);

/** PlatformUpstream_IsUp() - neither crashed nor leaving */
bool PlatformUpstream_IsUp(const PlatformUpstream *this);

/** PlatformUpstream_ExtendDrainLimit() - the store is disturbed: the bound on drains
 *                               starts anew */
void PlatformUpstream_ExtendDrainLimit(PlatformUpstream *this);

#endif
