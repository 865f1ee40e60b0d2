#ifndef AGATECRANK_STANDINS_CUTEXCUSE_H
#define AGATECRANK_STANDINS_CUTEXCUSE_H

#include "HostStates.h"
#include "LinkFaults.h"

/**
 * typedef CutExcuse - calls that do not count when hosts that are cut off from
 *     the upstreams are judged
 *
 * Calls at a host that does not run, or was started or continued less than 3 s
 * ago; and calls that do not reach it because its link from the callers is cut.
 */
typedef struct CutExcuse_ CutExcuse;

/**
 * CutExcuse_Create() - create it
 * @states, @links: borrowed; links from callers are in the order of the hosts
 */
CutExcuse *CutExcuse_Create(const HostStates *states, const LinkFaults *links);

/** CutExcuse_Destroy() - release it; NULL is allowed */
void CutExcuse_Destroy(CutExcuse *this);

/** CutExcuse_Applies() - true if a call at @host now does not count */
bool CutExcuse_Applies(const CutExcuse *this, unsigned host);

#endif
