#ifndef AGATECRANK_CORE_UPSTREAMLIMITS_H
#define AGATECRANK_CORE_UPSTREAMLIMITS_H

#include <stdbool.h>
#include <stdint.h>

#include "Clock.h"

/**
 * typedef UpstreamLimits - request rates that upstreams accept from all hosts
 *     together, as named in their responses
 */
typedef struct UpstreamLimits_ UpstreamLimits;

/** Highest limit that is believed, in requests per second */
#define UPSTREAM_LIMIT_MAX_PER_S 1e6

/** enum LimitNoticeKind_ - what a response says about a limit */
typedef enum LimitNoticeKind_ {
    LIMIT_UNKNOWN, /* nothing: the response is invalid or not the upstream's */
    LIMIT_ABSENT,
    LIMIT_NAMED,
} LimitNoticeKind;

/**
 * struct LimitNotice_ - the limit that a response names
 * @per_s: requests per second from all hosts together, if LIMIT_NAMED
 */
typedef struct LimitNotice_ {
    LimitNoticeKind kind;
    double per_s;
} LimitNotice;

/** enum LimitSource_ - kind of the response that names a limit or none */
typedef enum LimitSource_ {
    LIMIT_SOURCE_REQUEST, /* response to a request of a caller */
    LIMIT_SOURCE_PROBE,   /* response to a load probe */
} LimitSource;

/** enum LimitChange_ - what a response changed */
typedef enum LimitChange_ {
    LIMIT_CHANGE_NONE,
    LIMIT_CHANGE_NAMED,   /* there was no limit before */
    LIMIT_CHANGE_UPDATED, /* by more than a quarter since the last change */
    LIMIT_CHANGE_ENDED,
} LimitChange;

/** UpstreamLimits_Create() - no limits; @clock is borrowed */
UpstreamLimits *UpstreamLimits_Create(const Clock *clock);

/** UpstreamLimits_Destroy() - NULL is allowed */
void UpstreamLimits_Destroy(UpstreamLimits *this);

/**
 * UpstreamLimits_OnResponse() - an upstream has responded
 *
 * Limits that are negative, not finite or above UPSTREAM_LIMIT_MAX_PER_S are
 * ignored. Some upstreams may name their limit in responses to requests only,
 * so a probe ends a limit only if probes have named it.
 */
LimitChange UpstreamLimits_OnResponse(UpstreamLimits *this, uint32_t upstream,
                                      LimitNotice notice, LimitSource source);

/** UpstreamLimits_Forget() - the index is used by another upstream from now */
void UpstreamLimits_Forget(UpstreamLimits *this, uint32_t upstream);

/** UpstreamLimits_PerS() - the limit of an upstream, -1 if it has none */
double UpstreamLimits_PerS(const UpstreamLimits *this, uint32_t upstream);

/** UpstreamLimits_Count() - number of upstreams that have a limit */
uint32_t UpstreamLimits_Count(const UpstreamLimits *this);

#endif
