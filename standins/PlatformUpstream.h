#ifndef AGATECRANK_STANDINS_PLATFORMUPSTREAM_H
#define AGATECRANK_STANDINS_PLATFORMUPSTREAM_H

#include "LinkFaults.h"
#include "PlatformChecker.h"
#include "PlatformStore.h"
#include "Random.h"

/**
 * typedef PlatformUpstream - upstream that registers itself in the platform's
 *                            store
 *
 * A request with PLATFORM_CRASH_PATH in its path ends it shortly after its
 * start. It is back after some seconds.
 */
typedef struct PlatformUpstream_ PlatformUpstream;

/**
 * struct PlatformContext_ - objects and settings that all upstreams share
 * @hosts: array of in_addr_t, addresses from which the hosts connect, unless
 *         they do so from 127.0.0.1
 * @links: each upstream adds a link to itself, which hosts connect to
 * @mean_service_time: mean time of an execution
 * @lost_response_ratio: fraction of executions whose connection is closed
 *                       instead of a response
 * @truncated_response_ratio: fraction of executions whose response ends early
 * @endless_response_ratio: fraction of executions whose response does not end;
 *                          half of them bear no signature
 * @repeated_refusal_ratio: fraction of refusals that are sent once more, before
 *                          the next response on their connection
 * @store_sound_since: end of the last fault of the store or of the links to it
 * @drain_limit: time after a drain report within which hosts may still send
 *               requests
 */
typedef struct PlatformContext_ {
    HttpLoop *loop;
    const Clock *clock;
    Random *random;
    PlatformStore *store;
    PlatformChecker *checker;
    LinkFaults *links;
    const GArray *hosts;
    Micros mean_service_time;
    const double *lost_response_ratio;
    double truncated_response_ratio;
    double endless_response_ratio;
    double repeated_refusal_ratio;
    const Micros *store_sound_since;
    Micros drain_limit;
} PlatformContext;

/**
 * PlatformUpstream_Create() - listen and register the address of a new link
 * @number: the id is "i-" and this number
 *
 * Return: NULL if no port is available.
 */
PlatformUpstream *PlatformUpstream_Create(const PlatformContext *context,
                                          const char *service,
                                          const char *domain, unsigned number);

/** PlatformUpstream_Destroy() - release; only after HttpLoop_Close() */
void PlatformUpstream_Destroy(PlatformUpstream *this);

/** PlatformUpstream_Describe() - write its record again, if it has not crashed */
void PlatformUpstream_Describe(PlatformUpstream *this);

/**
 * PlatformUpstream_ListOutdated() - list its address under the id of an upstream
 *     that has ended, too, as one that has just started
 *
 * It answers requests for that one with 421.
 */
void PlatformUpstream_ListOutdated(PlatformUpstream *this);

/** PlatformUpstream_Drain() - report to the store that it is draining */
void PlatformUpstream_Drain(PlatformUpstream *this);

/** PlatformUpstream_Crash() - close the port and all connections without a
 *                             drain */
void PlatformUpstream_Crash(PlatformUpstream *this);

/** PlatformUpstream_Restart() - start a new incarnation with the same id, after
 *                               a crash or a drain */
void PlatformUpstream_Restart(PlatformUpstream *this);

/**
 * PlatformUpstream_WriteStaleRecord() - write the previous record again
 *
 * Simulates a write that reaches the store late. The current record follows
 * 0.5 s later.
 */
void PlatformUpstream_WriteStaleRecord(PlatformUpstream *this);

/**
 * PlatformUpstream_StallConnections() - stop responding on open connections
 *
 * Connections that are opened later work.
 */
void PlatformUpstream_StallConnections(PlatformUpstream *this);

/**
 * PlatformUpstream_SetLimit() - name a limit in all responses from now on
 * @per_s: requests per second from all hosts together; negative for none
 *
 * From 3 s after the limit was named or lowered, it is a violation if in 4 s
 * more requests arrive than one and a half times what it allows, and 5.
 */
void PlatformUpstream_SetLimit(PlatformUpstream *this, double per_s);

/** PlatformUpstream_Limit() - the limit that it names, negative for none */
double PlatformUpstream_Limit(const PlatformUpstream *this);

/**
 * PlatformUpstream_Leave() - say in all responses that it leaves
 *
 * It serves on, its record says ready. Some seconds later a new incarnation with
 * the same id follows. It is a violation if a request arrives that a caller sent
 * 2 s or more after the host had passed such a response on.
 */
void PlatformUpstream_Leave(PlatformUpstream *this);

/**
 * PlatformUpstream_Press() - turn all requests away for a time, each with a
 *     Retry-After
 *
 * It is a violation if more than two requests of a host arrive between 0.5 s
 * after such a response to it and the end of the time that it tells.
 */
void PlatformUpstream_Press(PlatformUpstream *this, Micros time);

/**
 * PlatformUpstream_SetMalformed() - announce in malformed ways, which must
 *     change nothing
 */
void PlatformUpstream_SetMalformed(PlatformUpstream *this, bool malformed);

/**
 * PlatformUpstream_IsUp() - true if neither crashed nor draining nor leaving
 */
bool PlatformUpstream_IsUp(const PlatformUpstream *this);

/**
 * PlatformUpstream_ExtendDrainLimit() - restart the drain limit, if draining
 *
 * For the end of a fault that kept hosts from learning of the drain.
 */
void PlatformUpstream_ExtendDrainLimit(PlatformUpstream *this);

#endif
