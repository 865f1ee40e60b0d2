#ifndef AGATECRANK_STANDINS_PLATFORMCALLER_H
#define AGATECRANK_STANDINS_PLATFORMCALLER_H

#include "Clock.h"
#include "HttpClient.h"
#include "PlatformChecker.h"
#include "Random.h"

/** typedef PlatformCaller - callers of gateway hosts, at a steady rate */
typedef struct PlatformCaller_ PlatformCaller;

/**
 * PlatformCaller_Create() - calls begin with PlatformCaller_Start()
 * @targets: "ADDRESS:PORT,..." of the hosts
 * @rate: calls a second over all hosts
 */
PlatformCaller *PlatformCaller_Create(HttpLoop *loop, const Clock *clock,
                                      Random *random, PlatformChecker *truth,
                                      const char *targets, double rate);

/** PlatformCaller_Destroy() - only after HttpLoop_Close() */
void PlatformCaller_Destroy(PlatformCaller *this);

/** PlatformCaller_PrintSlowCalls() - print the ids of calls that are not served, or
 *                              after more than @late; 0 for none */
void PlatformCaller_PrintSlowCalls(PlatformCaller *this, Micros late);

/** PlatformCaller_Start() and PlatformCaller_Stop() - begin, or no more */
void PlatformCaller_Start(PlatformCaller *this);
void PlatformCaller_Stop(PlatformCaller *this);

#endif
