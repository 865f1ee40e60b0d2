#ifndef AGATECRANK_STANDINS_STOPCHECK_H
#define AGATECRANK_STANDINS_STOPCHECK_H

#include <glib.h>

#include "HostEvents.h"

/**
 * typedef StopCheck - checks that hosts which are told to stop end no request
 *                     that they have passed on
 *
 * A request counts if its host was told to stop before the end, up to 1 s more
 * than the grace time ago. It is lost if its connection ends without a complete
 * response, or if a response of a host takes the place of that of an upstream
 * at which the request was broken off while it was processed. The end of the
 * route's time, an end by the upstream and, for requests sent up to 3 s after the
 * stop, the last sixth of the grace time are excused. Whether a host has read a
 * request that no upstream got can't be seen, so that such a one is not judged.
 */
typedef struct StopCheck_ StopCheck;

/**
 * struct StopCheckOptions_ - what the hosts are told
 * @stops: times at which hosts are told to stop; borrowed
 * @grace: time from then on after which a host is killed
 * @route_time: longest time of a request
 * @cut_hosts: number of hosts, the first ones, whose path to the upstreams is
 *             cut; what they sent there may end with the path
 */
typedef struct StopCheckOptions_ {
    const HostEvents *stops;
    Micros grace;
    Micros route_time;
    unsigned cut_hosts;
} StopCheckOptions;

/** StopCheck_Create() - create a check without requests */
StopCheck *StopCheck_Create(const StopCheckOptions *options);

/** StopCheck_Destroy() - NULL is allowed */
void StopCheck_Destroy(StopCheck *this);

/** StopCheck_OnSent() - a caller sends a request to a host */
void StopCheck_OnSent(StopCheck *this, const char *id, unsigned host,
                      Micros now);

/** StopCheck_OnExecution() - an upstream begins to process a request */
void StopCheck_OnExecution(StopCheck *this, const char *id);

/** StopCheck_OnUpstreamEnd() - an upstream ends its connection itself */
void StopCheck_OnUpstreamEnd(StopCheck *this, const char *id);

/**
 * StopCheck_OnBrokenOff() - a host closes the connection while the upstream
 *     processes the request
 * @sender: the host, negative if it is not known
 */
void StopCheck_OnBrokenOff(StopCheck *this, const char *id, int sender,
                           Micros now);

/** StopCheck_OnHostResponse() - the caller gets a response of a host */
void StopCheck_OnHostResponse(StopCheck *this, const char *id, int status,
                              Micros now);

/** StopCheck_OnCut() - the connection ends without a complete response */
void StopCheck_OnCut(StopCheck *this, const char *id, Micros now);

/**
 * StopCheck_ExcuseOpen() - do not judge the requests that are open, as their
 *     connections are about to be closed between caller, host and upstream
 */
void StopCheck_ExcuseOpen(StopCheck *this);

/** typedef StopReport - called with a description of each lost request */
typedef void StopReport(void *user, const char *text);

/**
 * StopCheck_Judge() - find the lost requests; to be called when all have ended
 *
 * Return: the number of requests that ended after a stop and were judged.
 */
unsigned StopCheck_Judge(const StopCheck *this, StopReport *report,
                         void *user);

#endif
