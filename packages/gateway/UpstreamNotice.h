#ifndef AGATECRANK_GATEWAY_UPSTREAMNOTICE_H
#define AGATECRANK_GATEWAY_UPSTREAMNOTICE_H

#include <stdbool.h>

#include "Clock.h"

/**
 * struct UpstreamNotice_ - what a response of an upstream says of further
 *                          requests to it
 * @leaving: it will end and wants no more requests
 * @pause: time for which it wants nothing from this host; 0 for none
 * @warmup: time for which it stays cold; told in responses to load probes only
 */
typedef struct UpstreamNotice_ {
    bool leaving;
    Micros pause;
    Micros warmup;
} UpstreamNotice;

#endif
