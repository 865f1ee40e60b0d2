#ifndef AGATECRANK_STANDINS_UPSTREAMFAULT_H
#define AGATECRANK_STANDINS_UPSTREAMFAULT_H

#include "Clock.h"
#include "Random.h"
#include "UpstreamSettings.h"

typedef enum UpstreamFault_ {
    FAULT_NONE,
    FAULT_ERROR_500,   /* 500 at once */
    FAULT_BARE_503,    /* runs, then 503 without an outcome */
    FAULT_SHORT_BODY,  /* the answer ends early */
    FAULT_LONG_BODY,   /* the answer has more bytes than announced */
    FAULT_LATE_ANSWER, /* the answer is sent late */
} UpstreamFault;

/**
 * UpstreamFault_Draw() - the fault of the next execution
 * @up: time since the upstream started, for the error bursts
 */
UpstreamFault UpstreamFault_Draw(const UpstreamSettings *settings,
                                 Random *random, Micros up);

/**
 * UpstreamFault_ServiceTime() - time of the next execution
 * @wanted_ms: asked for by the request, negative if not
 * @since_cold: time since the cold phase began
 */
Micros UpstreamFault_ServiceTime(const UpstreamSettings *settings,
                                 Random *random, double wanted_ms,
                                 Micros since_cold);

#endif
