#ifndef AGATECRANK_GATEWAY_PLACEMENT_H
#define AGATECRANK_GATEWAY_PLACEMENT_H

#include "Eligibility.h"
#include "Router.h"

/**
 * typedef Placement - chooses upstreams by current load reports
 *
 * Upstreams share their machines with other work, so that a quarter of them is
 * several times slower than usual for a few hundred milliseconds. A host
 * receives less than one report a second from each of them, so the last report
 * is out of date. A few upstreams are therefore probed for their load when a
 * request arrives, first those in the host's failure domain because traffic
 * between domains has a cost.
 */
typedef struct Placement_ Placement;

/** Most upstreams that are probed in one round */
#define PLACEMENT_PROBES_MAX 3

/**
 * struct PlacementInfo_ - properties that an upstream announces
 * @service, @domain: indexes of the names
 * @slots: number of requests that it processes concurrently
 * @warmup: time after its addition during which it is slower
 * @instance: identifies its incarnation on all hosts
 */
typedef struct PlacementInfo_ {
    uint32_t service;
    uint32_t domain;
    uint32_t slots;
    Micros warmup;
    uint32_t instance;
} PlacementInfo;

/**
 * struct PlacementQuery_ - the request to be placed
 * @avoid: upstreams that the request was already sent to
 */
typedef struct PlacementQuery_ {
    uint32_t service;
    const uint32_t *avoid;
    size_t avoid_count;
} PlacementQuery;

/** enum PlacementScope - failure domains in which to look for upstreams */
typedef enum PlacementScope_ {
    PLACEMENT_OWN_DOMAIN,
    PLACEMENT_OTHER_DOMAINS,
} PlacementScope;

/**
 * struct PlacementChoice_ - a decision and the inputs that are logged
 * @cost: expected response time, as a multiple of that of an idle upstream
 * @utilization: requests in progress, queued and in transit per slot
 * @slowdown_percent: processing time on its machine; 100 is the usual speed
 * @age: age of its last report, -1 if there is none
 * @reason: static lower-case word
 * @near_idle: its report is fresh, and an idle upstream would hardly be faster
 * @has_capacity: the request does not push it past the utilization at which it
 *                slows down
 * @has_free_slot: the request can start at once, though the upstream may slow
 *                 down
 * @fresh_ratio: fraction of the usable upstreams that have a fresh report
 */
typedef struct PlacementChoice_ {
    uint32_t upstream;
    float cost;
    float utilization;
    uint32_t slowdown_percent;
    Micros age;
    const char *reason;
    bool near_idle;
    bool has_capacity;
    bool has_free_slot;
    float fresh_ratio;
} PlacementChoice;

/**
 * Placement_Create() - all pointers are borrowed
 * @limits: limits of the upstreams, by the same indexes
 * @probes_per_s: mean rate of probes that an upstream may receive from all
 *                hosts together; 0 for no limit
 */
Placement *Placement_Create(uint32_t own_domain, double probes_per_s,
                            UpstreamLimits *limits, const Clock *clock,
                            Random *random);

/** Placement_Destroy() - NULL is allowed */
void Placement_Destroy(Placement *this);

/** Placement_Eligibility() - decides which upstreams may be used; borrowed */
Eligibility *Placement_Eligibility(const Placement *this);

/** Placement_Add() - add an upstream whose load is unknown */
void Placement_Add(Placement *this, uint32_t upstream,
                   const PlacementInfo *info);

/** Placement_Remove() - remove an upstream */
void Placement_Remove(Placement *this, uint32_t upstream);

/**
 * Placement_SetDraining() - set whether the upstream accepts no new requests
 */
void Placement_SetDraining(Placement *this, uint32_t upstream, bool draining);

/** Placement_SetWarmup() - the upstream is slower for a time from now on */
void Placement_SetWarmup(Placement *this, uint32_t upstream, Micros time);

/** Placement_OnSent() - a request was sent to the upstream */
void Placement_OnSent(Placement *this, uint32_t upstream);

/** Placement_OnReport() - a load report arrived */
void Placement_OnReport(Placement *this, uint32_t upstream,
                        const LoadReport *report);

/** Placement_OnFinished() - a request that was sent to the upstream ended */
void Placement_OnFinished(Placement *this, uint32_t upstream,
                          AttemptOutcome outcome);

/** Placement_OnProbeSent() - a probe was sent to the upstream */
void Placement_OnProbeSent(Placement *this, uint32_t upstream);

/**
 * Placement_OnProbeResult() - a probe ended
 * @reported: a report was passed to Placement_OnReport() before
 */
void Placement_OnProbeResult(Placement *this, uint32_t upstream,
                             bool reported);

/** Placement_OnProbeTimeout() - a probe got no response in time */
void Placement_OnProbeTimeout(Placement *this, uint32_t upstream);

/**
 * Placement_IsUnreachable() - whether so many probes in a row timed out that
 *     the upstream counts as unreachable; it is ejected then, like one that
 *     fails
 */
bool Placement_IsUnreachable(const Placement *this, uint32_t upstream);

/**
 * Placement_ProbeTimeouts() - number of probes in a row that timed out since
 *     the last response
 */
uint32_t Placement_ProbeTimeouts(const Placement *this, uint32_t upstream);

/** Placement_ReportAge() - age of the last report, -1 if there is none */
Micros Placement_ReportAge(const Placement *this, uint32_t upstream);

/**
 * Placement_TakeSpareProbe() - take a probe that placement does not need from
 *     the budget; false if there is none
 */
bool Placement_TakeSpareProbe(Placement *this);

/** Placement_SpendProbes() - count probes towards the budget, even beyond it */
void Placement_SpendProbes(Placement *this, size_t count);

/**
 * Placement_SaveFailures() - remember the failures and ejections of upstreams
 */
void Placement_SaveFailures(Placement *this);

/**
 * Placement_RestoreFailures() - forget what was learnt since
 *     Placement_SaveFailures()
 */
void Placement_RestoreFailures(Placement *this);

/** Placement_IsProbePending() - whether a probe has not ended yet */
bool Placement_IsProbePending(const Placement *this, uint32_t upstream);

/**
 * Placement_SelectProbes() - choose upstreams to probe for a request
 * @upstreams: output, with capacity for PLACEMENT_PROBES_MAX
 *
 * Return: their number. Upstreams with a fresh report are left out; 0 once the
 * probe budget is spent.
 */
size_t Placement_SelectProbes(Placement *this, const PlacementQuery *query,
                              PlacementScope scope, uint32_t *upstreams);

/**
 * Placement_Choose() - choose the upstream with the lowest expected response
 *     time
 *
 * Return: 0, or ERR_UNAVAILABLE if no upstream can be used.
 */
int Placement_Choose(Placement *this, const PlacementQuery *query,
                     PlacementChoice *choice);

/**
 * Placement_CountReasons() - count the upstreams of a service by the reason
 *     against a request to them
 * @counts: output, with ELIGIBILITY_COUNT elements
 */
void Placement_CountReasons(Placement *this, uint32_t service,
                            uint32_t *counts);

/**
 * Placement_Blocked() - why no upstream can be chosen
 * @wait: output: time until one of them can; -1 if it is unknown
 *
 * Return: the reason of the upstream that can be used first, ELIGIBILITY_OK if
 * there is no upstream.
 */
EligibilityReason Placement_Blocked(Placement *this,
                                    const PlacementQuery *query, Micros *wait);

#endif
