#ifndef AGATECRANK_GATEWAY_PLACEMENT_H
#define AGATECRANK_GATEWAY_PLACEMENT_H

#include "Router.h"

/**
 * typedef Placement - chooses upstreams by load reports of this moment
 *
 * The load it answers: upstreams share their machines with others, so that a
 * quarter of them work several times slower than usual for a few hundred
 * milliseconds, and one host sees each of them less than once a second. Its
 * own last report is then out of date, so a few upstreams are asked for their
 * load when a request comes, those of the own failure domain first, as bytes
 * between domains cost.
 */
typedef struct Placement_ Placement;

/** Most upstreams that are asked in one round */
#define PLACEMENT_PROBES_MAX 3

/** struct PlacementInfo_ - what an upstream says of itself */
typedef struct PlacementInfo_ {
    uint32_t service;
    uint32_t domain;
    uint32_t slots;
    Micros warmup;
} PlacementInfo;

/**
 * struct PlacementQuery_ - what a decision is about
 * @avoid: upstreams that the request was sent to before
 */
typedef struct PlacementQuery_ {
    uint32_t service;
    const uint32_t *avoid;
    size_t avoid_count;
} PlacementQuery;

/** enum PlacementScope - where to look for upstreams to ask */
typedef enum PlacementScope_ {
    PLACEMENT_OWN_DOMAIN,
    PLACEMENT_OTHER_DOMAINS,
} PlacementScope;

/**
 * struct PlacementChoice_ - the decision and what its log line needs
 * @cost: expected time of the request there, in times of an idle upstream
 * @utilization: requests running, waiting and on their way there for each slot
 * @age: age of its last report, -1 without one
 * @reason: static lower-case word
 * @near_idle: an idle upstream could hardly serve it faster
 * @has_capacity: it does not make the upstream so full that it slows down
 * @has_free_slot: it can start there at once, though the upstream may slow down
 * @fresh_ratio: part of the usable upstreams with a fresh report
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
 * Placement_Create() - @clock and @random are borrowed
 * @probes_per_s: bound on how often all hosts together ask an upstream for
 *                   its load, on average; 0 for no bound
 */
Placement *Placement_Create(uint32_t own_domain, double probes_per_s,
                            const Clock *clock, Random *random);

/** Placement_Destroy() - NULL is allowed */
void Placement_Destroy(Placement *this);

/** Placement_Add() - an upstream of which nothing is known yet */
void Placement_Add(Placement *this, uint32_t upstream,
                   const PlacementInfo *info);

/** Placement_Remove() - forget it */
void Placement_Remove(Placement *this, uint32_t upstream);

/** Placement_SetDraining() - it takes nothing new, or does again */
void Placement_SetDraining(Placement *this, uint32_t upstream, bool draining);

/** Placement_OnSent() - a request is on its way to it */
void Placement_OnSent(Placement *this, uint32_t upstream);

/** Placement_OnReport() - a load report that was made just now */
void Placement_OnReport(Placement *this, uint32_t upstream,
                        const LoadReport *report);

/** Placement_OnFinished() - a request that was sent there ended */
void Placement_OnFinished(Placement *this, uint32_t upstream,
                          AttemptOutcome outcome);

/** Placement_OnProbeSent() - it was asked for its load */
void Placement_OnProbeSent(Placement *this, uint32_t upstream);

/** Placement_OnProbeResult() - the question is over, with a report before or none */
void Placement_OnProbeResult(Placement *this, uint32_t upstream,
                             bool reported);

/** Placement_OnProbeTimeout() - a question had no answer in time */
void Placement_OnProbeTimeout(Placement *this, uint32_t upstream);

/** Placement_IsUnreachable() - it was silent to so many questions in a row that it is
 *                       taken as gone; it is held then, like one that fails */
bool Placement_IsUnreachable(const Placement *this, uint32_t upstream);

/** Placement_ProbeTimeouts() - questions in a row that had no answer, since it was
 *                         last heard of */
uint32_t Placement_ProbeTimeouts(const Placement *this, uint32_t upstream);

/** Placement_ReportAge() - age of its last report, -1 without one */
Micros Placement_ReportAge(const Placement *this, uint32_t upstream);

/** Placement_TakeSpareProbe() - take one question that placing can spare from the
 *                       budget; false if there is none */
bool Placement_TakeSpareProbe(Placement *this);

/** Placement_IsProbePending() - an answer to Placement_OnProbeSent() is outstanding */
bool Placement_IsProbePending(const Placement *this, uint32_t upstream);

/**
 * Placement_SelectProbes() - upstreams whose load should be known for a request
 * @upstreams: room for PLACEMENT_PROBES_MAX
 *
 * Return: their number; those whose report is fresh are left out, and all
 * once the budget for questions is spent.
 */
size_t Placement_SelectProbes(Placement *this, const PlacementQuery *query,
                              PlacementScope scope, uint32_t *upstreams);

/**
 * Placement_Choose() - the upstream with the shortest expected time
 *
 * Return: 0, or ERR_UNAVAILABLE if none may be used.
 */
int Placement_Choose(Placement *this, const PlacementQuery *query,
                     PlacementChoice *choice);

#endif
