#ifndef AGATECRANK_CORE_ROUTER_H
#define AGATECRANK_CORE_ROUTER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "Clock.h"
#include "Error.h"
#include "ProbeBudget.h"
#include "Random.h"
#include "RoutingPolicy.h"
#include "SlotMessage.h"
#include "Str.h"

/** typedef Router - chooses the upstream of each request on one host */
typedef struct Router_ Router;

/** enum RouterFault_ - planted faults that the checks must catch */
typedef enum RouterFault_ {
    ROUTER_FAULT_NONE,
    ROUTER_FAULT_IGNORE_DRAINING,
    ROUTER_FAULT_OVERSPEND_PROBES,
    ROUTER_FAULT_IGNORE_CONNECTIONS,
} RouterFault;

/**
 * struct RouterOptions_ - settings of a router, see RouterOptions_Default()
 * @policy: how an upstream is chosen
 * @subset_size: upstreams of a service that a host talks to, at most 32
 * @choices: candidates compared by `reports`, 0 for the whole subset
 * @lend_slots: `slot-shares` borrows from peers when all own slots are busy
 * @verify_reports: `reports` weighs load reports by how well they agree with
 *                  this host's own counts
 * @eject_outliers: failing and slow upstreams are held back; false only to measure
 *            a policy by itself
 * @own_domain: failure domain of this host
 * @same_domain_bonus: time by which an upstream in another domain is farther away
 * @ramp_time: time in which a cold upstream gets up to its full share
 * @fault: planted fault, for tests only
 */
typedef struct RouterOptions_ {
    RoutingPolicy policy;
    uint32_t subset_size;
    uint32_t choices;
    bool lend_slots;
    bool verify_reports;
    bool eject_outliers;
    uint32_t own_domain;
    Micros same_domain_bonus;
    Micros ramp_time;
    RouterFault fault;
} RouterOptions;

/** struct ServiceInfo_ - limits of a service over all hosts together */
typedef struct ServiceInfo_ {
    uint32_t connections; /* to each upstream */
    ProbeLimits probes;
} ServiceInfo;

/** struct UpstreamInfo_ - an upstream as configuration and host list give it
 */
typedef struct UpstreamInfo_ {
    uint64_t key; /* stable hash of the upstream's id, equal on every host */
    uint32_t domain;
    uint32_t slots; /* reports may lower it, never raise it */
    bool cold;      /* just started: ramp it up */
} UpstreamInfo;

/**
 * struct LoadReport_ - load that an upstream states
 * @inflight: requests that hold a slot
 * @slowdown_percent: how long work takes on its machine now, 100 as usual; 0 if
 *                it does not tell
 */
typedef struct LoadReport_ {
    uint32_t inflight;
    uint32_t slots;
    uint32_t queue;
    uint32_t slowdown_percent;
    bool draining;
} LoadReport;

/** enum AttemptOutcome_ - how one request to an upstream ended */
typedef enum AttemptOutcome_ {
    ATTEMPT_OK,
    ATTEMPT_SHED,  /* refused with the documented proof of not run */
    ATTEMPT_ERROR, /* 5xx or a response that breaks the protocol */
    ATTEMPT_CONNECTION_FAILED, /* the connection failed or closed early */
    ATTEMPT_TIMEOUT,           /* no response within the deadline */
    ATTEMPT_CANCELLED, /* the caller went away; says nothing about load */
} AttemptOutcome;

#define ROUTE_CANDIDATES_MAX 4

/** struct RouteCandidate_ - one upstream that was compared */
typedef struct RouteCandidate_ {
    uint32_t upstream;
    float load; /* estimated requests in flight for each slot */
    Micros age; /* age of the last report, -1 if there was none */
} RouteCandidate;

/** typedef RouteFilter - true if the request may use @upstream */
typedef bool RouteFilter(const void *user, uint32_t upstream);

/**
 * struct RouteQuery_ - what a decision is about
 * @admitted: NULL if the request may use every upstream of the service
 * @avoid: upstreams that this request has already tried
 */
typedef struct RouteQuery_ {
    uint32_t service;
    RouteFilter *admitted;
    const void *user;
    const uint32_t *avoid;
    size_t avoid_count;
} RouteQuery;

/**
 * struct RouteChoice_ - the decision and what its log line needs
 * @reason: static lower-case word
 * @candidates: the best of the compared upstreams, the chosen one first
 * @compared: number of upstreams compared
 */
typedef struct RouteChoice_ {
    uint32_t upstream;
    const char *reason;
    RouteCandidate candidates[ROUTE_CANDIDATES_MAX];
    uint32_t candidate_count;
    uint32_t compared;
} RouteChoice;

/**
 * struct HealthEvent_ - to be shared with peers
 * @draining: it reported that it is leaving: Router_SetDraining() there
 * @hold: else it is suspect for this long: Router_Eject() there
 */
typedef struct HealthEvent_ {
    uint32_t upstream;
    bool draining;
    Micros hold;
} HealthEvent;

/** struct ProbeRequest_ - send GET /load, report to Router_OnProbe() */
typedef struct ProbeRequest_ {
    uint32_t service;
    uint32_t upstream;
} ProbeRequest;

/** RoutingPolicy_Name() - the word used in settings and logs */
const char *RoutingPolicy_Name(RoutingPolicy policy);

/** RoutingPolicy_Parse() - the policy of a word, or ERR_INVALID */
int RoutingPolicy_Parse(Str word, RoutingPolicy *policy);

/** RouterOptions_Default() - the defaults chosen by measurement */
RouterOptions RouterOptions_Default(void);

/** Router_Create() - @clock and @random are borrowed */
Router *Router_Create(const RouterOptions *options, const Clock *clock,
                      Random *random);

/** Router_Destroy() - release the router */
void Router_Destroy(Router *this);

/**
 * Router_SetHosts() - the live balancer hosts, this one among them
 * @keys: stable hashes of the host ids; copied
 * @own: index of this host
 */
void Router_SetHosts(Router *this, const uint64_t *keys, uint32_t count,
                     uint32_t own);

/** Router_SetService() - limits of a service; before its first upstream */
void Router_SetService(Router *this, uint32_t service,
                       const ServiceInfo *info);

/** Router_AddUpstream() - add an upstream or change its information */
void Router_AddUpstream(Router *this, uint32_t service, uint32_t upstream,
                        const UpstreamInfo *info);

/** Router_RemoveUpstream() - forget an upstream; its requests may go on */
void Router_RemoveUpstream(Router *this, uint32_t upstream);

/**
 * Router_SetDraining() - the host list or a peer says that it is leaving
 *
 * False only withdraws that statement: a drain seen in a report stays until
 * a report or probe says otherwise.
 */
void Router_SetDraining(Router *this, uint32_t upstream, bool draining);

/** Router_Eject() - a peer found it faulty; only trials for @duration */
void Router_Eject(Router *this, uint32_t upstream, Micros duration);

/**
 * Router_Choose() - choose the upstream of a request
 *
 * Bounded by the subset size, not by the number of upstreams or services.
 *
 * Return: 0, ERR_NOT_FOUND (no such service), ERR_UNAVAILABLE (none usable)
 * or ERR_LIMIT (all usable ones are full: keep the request queued and try
 * again when a request of the service finishes or a slot message arrives).
 */
int Router_Choose(Router *this, const RouteQuery *query, RouteChoice *choice);

/** Router_OnSent() - a request is being sent to @upstream */
void Router_OnSent(Router *this, uint32_t upstream);

/**
 * Router_OnReport() - an in-band load report came with a response
 * @age: time since the upstream wrote it, as far as known
 *
 * To be called before Router_OnFinished() of the same response. The report
 * counts the requests in flight without the one that it came with.
 */
void Router_OnReport(Router *this, uint32_t upstream, const LoadReport *report,
                     Micros age);

/**
 * Router_OnFinished() - a request ended
 * @latency: time since Router_OnSent()
 */
void Router_OnFinished(Router *this, uint32_t upstream, AttemptOutcome outcome,
                       Micros latency);

/**
 * Router_NextHealthEvent() - what this host found out and its peers should know
 *
 * Return: false when there is nothing new since the last call.
 */
bool Router_NextHealthEvent(Router *this, HealthEvent *finding);

/** Router_NextProbe() - the next probe that the budget allows, if any */
bool Router_NextProbe(Router *this, ProbeRequest *probe);

/**
 * Router_OnProbe() - a probe ended
 * @report: NULL if it failed
 * @bytes: request and response
 * @time: time that it took, at most PROBE_TIME_MAX
 */
void Router_OnProbe(Router *this, const ProbeRequest *probe,
                    const LoadReport *report, uint32_t bytes, Micros time);

/** Router_NextSlotMessage() - next message to a peer host, if any */
bool Router_NextSlotMessage(Router *this, SlotMessage *message);

/** Router_OnSlotMessage() - a peer's message; true if a slot became usable */
bool Router_OnSlotMessage(Router *this, const SlotMessage *message);

/** Router_Inflight() - requests of this host that run on @upstream */
uint32_t Router_Inflight(const Router *this, uint32_t upstream);

/** Router_ConnectionLimit() - connections this host may open to @upstream */
uint32_t Router_ConnectionLimit(Router *this, uint32_t upstream);

/** Router_Subset() - upstreams of @service that this host talks to */
size_t Router_Subset(Router *this, uint32_t service, uint32_t *upstreams,
                     size_t max);

/** Router_ProbeSpent() - probe counters of a service on this host */
ProbeSpent Router_ProbeSpent(const Router *this, uint32_t service);

#endif
