#ifndef AGATECRANK_GATEWAY_UPSTREAMNOTICE_H
#define AGATECRANK_GATEWAY_UPSTREAMNOTICE_H

#include <stdbool.h>

#include "Clock.h"

/**
 * struct UpstreamNotice_ - what a response of an upstream says of further
 *                          requests to it
 * @leaving: it will end and wants no more requests
 */
typedef struct UpstreamNotice_ {
    bool leaving;
} UpstreamNotice;

#endif
