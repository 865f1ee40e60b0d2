#ifndef AGATECRANK_STANDINS_UPSTREAMFAULT_H
#define AGATECRANK_STANDINS_UPSTREAMFAULT_H

#include "Clock.h"
#include "Random.h"
#include "UpstreamSettings.h"

/** enum UpstreamFault - fault that is injected into an execution */
typedef enum UpstreamFault_ {
    FAULT_NONE,
    FAULT_ERROR_500, /* responds with 500 at once */
    FAULT_BARE_503, /* executes, then responds with 503 and no outcome header */
    FAULT_SHORT_BODY,    /* the body ends before its announced length */
    FAULT_LONG_BODY,     /* the body exceeds its announced length */
    FAULT_LATE_RESPONSE, /* the response is delayed */
} UpstreamFault;

/**
 * UpstreamFault_Draw() - draw the fault of the next execution at random
 * @uptime: time since the upstream started; error bursts recur by it
 */
UpstreamFault UpstreamFault_Draw(const UpstreamSettings *settings,
                                 Random *random, Micros uptime);

/**
 * UpstreamFault_ServiceTime() - service time of the next execution
 * @requested_ms: service time that the request asks for; negative if none
 * @cold_elapsed: time since the cold phase began
 */
Micros UpstreamFault_ServiceTime(const UpstreamSettings *settings,
                                 Random *random, double requested_ms,
                                 Micros cold_elapsed);

#endif
