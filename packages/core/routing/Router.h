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

/** enum RouterFault_ - faults that tests inject to verify their checks */
typedef enum RouterFault_ {
    ROUTER_FAULT_NONE,
    ROUTER_FAULT_IGNORE_DRAINING,
    ROUTER_FAULT_OVERSPEND_PROBES,
    ROUTER_FAULT_IGNORE_CONNECTION_LIMIT,
} RouterFault;

/**
 * struct RouterOptions_ - settings of a router, see RouterOptions_Default()
 * @policy: load balancing policy
 * @subset_size: upstreams of a service that a host uses, at most 32
 * @choices: candidates that the policy `reports` compares, 0 for the whole
 *           subset
 * @lend_slots: the policy `slot-shares` borrows slots from peers when all own
 *              slots are busy
 * @verify_reports: the policy `reports` weights load reports by how well they
 *                  agree with this host's own counts
 * @eject_outliers: failing and slow upstreams are ejected; false only to
 *                  measure a policy by itself
 * @own_domain: failure domain of this host
 * @same_domain_bonus: extra latency to upstreams in other domains; limits the
 *                     preference for upstreams in this host's domain
 * @ramp_time: time in which a cold upstream reaches its full share (slow
 *             start)
 * @fault: injected fault, for tests only
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

/** struct ServiceInfo_ - limits of a service for all hosts together */
typedef struct ServiceInfo_ {
    uint32_t connections; /* to each upstream */
    ProbeLimits probes;
} ServiceInfo;

/**
 * struct UpstreamInfo_ - upstream as configuration and host list describe it
 */
typedef struct UpstreamInfo_ {
    uint64_t key; /* stable hash of the upstream's id, equal on every host */
    uint32_t domain;
    uint32_t slots; /* reports may lower it, never raise it */
    bool cold;      /* just started: its share is ramped up */
} UpstreamInfo;

/**
 * struct LoadReport_ - load that an upstream reports
 * @inflight: requests that hold a slot
 * @queue: requests that wait for a slot
 * @slowdown_percent: current duration of work on its machine in percent of the
 *                    usual one; 0 if not reported
 */
typedef struct LoadReport_ {
    uint32_t inflight;
    uint32_t slots;
    uint32_t queue;
    uint32_t slowdown_percent;
    bool draining;
} LoadReport;

/** enum AttemptOutcome_ - result of one request to an upstream */
typedef enum AttemptOutcome_ {
    ATTEMPT_OK,
    ATTEMPT_SHED,  /* rejected with proof that it was not executed */
    ATTEMPT_ERROR, /* 5xx, or a response that violates the protocol */
    ATTEMPT_CONNECTION_FAILED, /* the connection failed or closed early */
    ATTEMPT_TIMEOUT,           /* no response within the deadline */
    ATTEMPT_CANCELLED, /* cancelled by the caller; no evidence of load */
} AttemptOutcome;

#define ROUTE_CANDIDATES_MAX 4

/** struct RouteCandidate_ - an upstream that was compared */
typedef struct RouteCandidate_ {
    uint32_t upstream;
    float load; /* estimated requests in flight per slot */
    Micros age; /* age of the last load report, -1 if there is none */
} RouteCandidate;

/** typedef RouteFilter - true if the request may use @upstream */
typedef bool RouteFilter(const void *user, uint32_t upstream);

/**
 * struct RouteQuery_ - request that an upstream is chosen for
 * @filter: NULL if the request may use every upstream of the service
 * @user: argument of @filter
 * @avoid: upstreams that this request has already tried
 */
typedef struct RouteQuery_ {
    uint32_t service;
    RouteFilter *filter;
    const void *user;
    const uint32_t *avoid;
    size_t avoid_count;
} RouteQuery;

/**
 * struct RouteChoice_ - chosen upstream, with the details for the decision log
 * @reason: static lower-case word
 * @candidates: some of the compared upstreams, the chosen one first
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
 * struct HealthEvent_ - change of an upstream's health, to be shared with
 * peers
 * @draining: it reported that it drains; peers call Router_SetDraining()
 * @ejection_time: otherwise, time that it is ejected for; peers call
 *                 Router_Eject()
 */
typedef struct HealthEvent_ {
    uint32_t upstream;
    bool draining;
    Micros ejection_time;
} HealthEvent;

/**
 * struct ProbeRequest_ - load probe to be sent as GET /load
 *
 * Its result goes to Router_OnProbe().
 */
typedef struct ProbeRequest_ {
    uint32_t service;
    uint32_t upstream;
} ProbeRequest;

/** RoutingPolicy_Name() - name of a policy in settings and logs */
const char *RoutingPolicy_Name(RoutingPolicy policy);

/** RoutingPolicy_Parse() - get the policy of a name, or ERR_INVALID */
int RoutingPolicy_Parse(Str word, RoutingPolicy *policy);

/** RouterOptions_Default() - default settings */
RouterOptions RouterOptions_Default(void);

/** Router_Create() - @clock and @random are borrowed */
Router *Router_Create(const RouterOptions *options, const Clock *clock,
                      Random *random);

/** Router_Destroy() - free the router */
void Router_Destroy(Router *this);

/**
 * Router_SetHosts() - set the live balancer hosts, including this one
 * @keys: stable hashes of the host ids; copied
 * @own: index of this host
 */
void Router_SetHosts(Router *this, const uint64_t *keys, uint32_t count,
                     uint32_t own);

/**
 * Router_SetService() - set the limits of a service, before its first upstream
 */
void Router_SetService(Router *this, uint32_t service,
                       const ServiceInfo *info);

/** Router_AddUpstream() - add an upstream or update its information */
void Router_AddUpstream(Router *this, uint32_t service, uint32_t upstream,
                        const UpstreamInfo *info);

/** Router_RemoveUpstream() - remove an upstream; its requests may finish */
void Router_RemoveUpstream(Router *this, uint32_t upstream);

/**
 * Router_SetDraining() - set the draining state given by the host list or a
 * peer
 *
 * False only clears the state set by this function: a drain seen in a load
 * report lasts until a report or probe ends it.
 */
void Router_SetDraining(Router *this, uint32_t upstream, bool draining);

/**
 * Router_Eject() - eject an upstream that a peer found faulty
 *
 * It gets no traffic until @duration has passed; then a trial follows.
 */
void Router_Eject(Router *this, uint32_t upstream, Micros duration);

/**
 * Router_Choose() - choose the upstream of a request
 *
 * Takes time proportional to the subset size, independent of the number of
 * upstreams and services.
 *
 * Return: 0, ERR_NOT_FOUND (no such service), ERR_UNAVAILABLE (none usable)
 * or ERR_LIMIT (all usable ones are full: keep the request queued and try
 * again when a request of the service finishes or a slot message arrives).
 */
int Router_Choose(Router *this, const RouteQuery *query, RouteChoice *choice);

/** Router_OnSent() - account for a request that is sent to @upstream */
void Router_OnSent(Router *this, uint32_t upstream);

/**
 * Router_OnReport() - process the load report of a response
 * @age: time since the upstream wrote it, as far as known
 *
 * Call it before Router_OnFinished() of the same response. The report counts
 * the requests in flight without the one that it came with.
 */
void Router_OnReport(Router *this, uint32_t upstream, const LoadReport *report,
                     Micros age);

/**
 * Router_OnFinished() - account for the end of a request
 * @latency: time since Router_OnSent()
 */
void Router_OnFinished(Router *this, uint32_t upstream, AttemptOutcome outcome,
                       Micros latency);

/**
 * Router_NextHealthEvent() - get the next health event to share with peers
 *
 * Return: false if there is none.
 */
bool Router_NextHealthEvent(Router *this, HealthEvent *event);

/**
 * Router_NextProbe() - get the next probe to send, if the budget allows one
 */
bool Router_NextProbe(Router *this, ProbeRequest *probe);

/**
 * Router_OnProbe() - process the result of a probe
 * @report: NULL if the probe failed
 * @bytes: size of the request and the response
 * @time: duration, at most PROBE_TIMEOUT_US
 */
void Router_OnProbe(Router *this, const ProbeRequest *probe,
                    const LoadReport *report, uint32_t bytes, Micros time);

/** Router_NextSlotMessage() - get the next message to a peer host, if any */
bool Router_NextSlotMessage(Router *this, SlotMessage *message);

/**
 * Router_OnSlotMessage() - handle the message of a peer
 *
 * Return: true if a slot became usable.
 */
bool Router_OnSlotMessage(Router *this, const SlotMessage *message);

/** Router_Inflight() - requests of this host in flight to @upstream */
uint32_t Router_Inflight(const Router *this, uint32_t upstream);

/** Router_ConnectionLimit() - connections this host may open to @upstream */
uint32_t Router_ConnectionLimit(Router *this, uint32_t upstream);

/**
 * Router_Subset() - get the upstreams of @service that this host uses
 *
 * Return: number of upstreams written, at most @max.
 */
size_t Router_Subset(Router *this, uint32_t service, uint32_t *upstreams,
                     size_t max);

/** Router_ProbeUsage() - probe counters of a service on this host */
ProbeUsage Router_ProbeUsage(const Router *this, uint32_t service);

#endif
