#ifndef AGATECRANK_STANDINS_CUTEXCUSE_H
#define AGATECRANK_STANDINS_CUTEXCUSE_H

#include "HostStates.h"
#include "LinkFaults.h"

/**
 * typedef CutExcuse - calls that do not count when hosts that are cut off from
 *     the upstreams are judged
 *
 * A host is new if it does not run, or was started less than 3 s ago, or less
 * than 3 s before a cut from the store which lasts or has ended less than 3 s
 * ago. Excused are calls at new hosts and at those frozen within 3 s; calls that
 * do not reach the host because its link from the callers is cut; and calls at a
 * cut host that knows no host with a path, or is not known to it, because one of
 * the two is new to the other.
 */
typedef struct CutExcuse_ CutExcuse;

/**
 * CutExcuse_Create() - with a store in reach of all hosts
 * @states, @links, @clock: borrowed; links from callers are in the order of the
 *                          hosts
 * @hosts: number of hosts
 * @cut_hosts: number of those cut off, the first ones
 */
CutExcuse *CutExcuse_Create(const HostStates *states, const LinkFaults *links,
                            unsigned hosts, unsigned cut_hosts,
                            const Clock *clock);

/** CutExcuse_Destroy() - release it; NULL is allowed */
void CutExcuse_Destroy(CutExcuse *this);

/** CutExcuse_OnStore() - the store is in reach of a host, or not; to be called
 *                        for each host before CutExcuse_Applies() */
void CutExcuse_OnStore(CutExcuse *this, unsigned host, bool in_reach);

/** CutExcuse_Applies() - true if a call at @host now does not count */
bool CutExcuse_Applies(const CutExcuse *this, unsigned host);

#endif
