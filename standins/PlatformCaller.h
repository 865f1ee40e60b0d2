#ifndef AGATECRANK_STANDINS_PLATFORMCALLER_H
#define AGATECRANK_STANDINS_PLATFORMCALLER_H

#include "Clock.h"
#include "HttpClient.h"
#include "PlatformChecker.h"
#include "Random.h"

/**
 * typedef PlatformCaller - load generator that calls gateway hosts
 *
 * Each call goes to a random host. The times between calls are distributed
 * exponentially. The checker records each call and its response.
 */
typedef struct PlatformCaller_ PlatformCaller;

/**
 * PlatformCaller_Create() - create a generator that is not started yet
 * @targets: "ADDRESS:PORT,..." of the hosts
 * @rate: mean number of calls per second, over all hosts
 *
 * Return: NULL if a target is malformed.
 */
PlatformCaller *PlatformCaller_Create(HttpLoop *loop, const Clock *clock,
                                      Random *random, PlatformChecker *checker,
                                      const char *targets, double rate);

/** PlatformCaller_Destroy() - release; only after HttpLoop_Close() */
void PlatformCaller_Destroy(PlatformCaller *this);

/** PlatformCaller_SetTimeout() - time that callers wait; 1.5 s by default */
void PlatformCaller_SetTimeout(PlatformCaller *this, Micros timeout);

/**
 * PlatformCaller_PrintSlowCalls() - print failed and slow responses
 * @min_latency: prints responses that take longer, and those with a status of
 *               300 or more; 0 prints none
 */
void PlatformCaller_PrintSlowCalls(PlatformCaller *this, Micros min_latency);

/**
 * PlatformCaller_SendCrashing() - send a request that ends upstreams
 * @at_most_once: the request that is not idempotent; there is one of each kind
 *
 * It goes to a random host, on a kept or a new connection.
 */
void PlatformCaller_SendCrashing(PlatformCaller *this, bool at_most_once);

/** PlatformCaller_Start() and PlatformCaller_Stop() - start or stop sending */
void PlatformCaller_Start(PlatformCaller *this);
void PlatformCaller_Stop(PlatformCaller *this);

#endif
