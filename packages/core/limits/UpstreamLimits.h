#ifndef AGATECRANK_CORE_UPSTREAMLIMITS_H
#define AGATECRANK_CORE_UPSTREAMLIMITS_H

#include <stdbool.h>
#include <stdint.h>

#include "Clock.h"
#include "Random.h"
#include "Str.h"

/**
 * typedef UpstreamLimits - request rates that upstreams accept from all hosts
 *     together, as named in their responses
 *
 * Answers the load of an upstream in need behind many hosts, none of which
 * knows what the others send. A few hosts have equal parts of the limit; their
 * number grows with it, because each host can have one request in hand at any
 * time. Which ones follows by rendezvous hashing from the list of hosts and the
 * incarnation of the upstream, so that hosts with the same list agree without a
 * message. The other hosts send it nothing.
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

/**
 * UpstreamLimits_Create() - no limits and no hosts
 * @host: id of this host
 *
 * @clock and @random are borrowed.
 */
UpstreamLimits *UpstreamLimits_Create(Str host, const Clock *clock,
                                      Random *random);

/** UpstreamLimits_Destroy() - NULL is allowed */
void UpstreamLimits_Destroy(UpstreamLimits *this);

/**
 * UpstreamLimits_SetHosts() - set the hosts that share the limits
 * @hosts: ids of the live hosts, in any order
 * @known_from: time from which all of them have this host in their list
 *
 * A host that is not in its own list, or not yet in that of the others, has no
 * part of any limit.
 */
void UpstreamLimits_SetHosts(UpstreamLimits *this, const Str *hosts,
                             size_t count, Micros known_from);

/**
 * UpstreamLimits_OnResponse() - an upstream has responded
 * @instance: identifies its incarnation on all hosts
 *
 * Limits that are negative, not finite or above UPSTREAM_LIMIT_MAX_PER_S are
 * ignored. Some upstreams may name their limit in responses to requests only,
 * so a probe ends a limit only if probes have named it.
 */
LimitChange UpstreamLimits_OnResponse(UpstreamLimits *this, uint32_t upstream,
                                      uint32_t instance, LimitNotice notice,
                                      LimitSource source);

/**
 * UpstreamLimits_SetWarmup() - an upstream is cold until a time
 * @instance: as in UpstreamLimits_OnResponse()
 * @per_s: requests per second that it takes from all hosts together until then
 * @until: the past if it is not cold
 *
 * Divided like a limit that the upstream names; the lower one is in force.
 */
LimitChange UpstreamLimits_SetWarmup(UpstreamLimits *this, uint32_t upstream,
                                     uint32_t instance, double per_s,
                                     Micros until);

/**
 * UpstreamLimits_OnRemoved() - the upstream is not listed any more
 *
 * Its limit is kept for a while, as it may be listed again.
 */
void UpstreamLimits_OnRemoved(UpstreamLimits *this, uint32_t upstream);

/** UpstreamLimits_OnListed() - the index is used by an incarnation from now on */
void UpstreamLimits_OnListed(UpstreamLimits *this, uint32_t upstream,
                             uint32_t instance);

/** UpstreamLimits_MaySend() - whether the upstream may get a request now */
bool UpstreamLimits_MaySend(UpstreamLimits *this, uint32_t upstream);

/** UpstreamLimits_OnSent() - the upstream is sent a request */
void UpstreamLimits_OnSent(UpstreamLimits *this, uint32_t upstream);

/**
 * UpstreamLimits_Wait() - time until the upstream may get a request
 *
 * Return: 0 if it may now, -1 if this host has no part of its limit.
 */
Micros UpstreamLimits_Wait(UpstreamLimits *this, uint32_t upstream);

/**
 * UpstreamLimits_IsProbeDue() - whether to ask an upstream if it still has its
 *     limit, because it may not get a request
 */
bool UpstreamLimits_IsProbeDue(UpstreamLimits *this, uint32_t upstream);

/** UpstreamLimits_PartPerS() - part of this host, -1 without a limit */
double UpstreamLimits_PartPerS(UpstreamLimits *this, uint32_t upstream);

/** UpstreamLimits_PerS() - the limit of an upstream, -1 if it has none */
double UpstreamLimits_PerS(const UpstreamLimits *this, uint32_t upstream);

/**
 * UpstreamLimits_NamedAt() - time of the last response that named the limit, -1
 *     without a limit
 */
Micros UpstreamLimits_NamedAt(const UpstreamLimits *this, uint32_t upstream);

/** UpstreamLimits_Count() - number of upstreams that have a limit */
uint32_t UpstreamLimits_Count(const UpstreamLimits *this);

#endif
