#ifndef AGATECRANK_CORE_UPSTREAMTABLE_H
#define AGATECRANK_CORE_UPSTREAMTABLE_H

#include "Router.h"

#define SUBSET_MAX 32
#define UPSTREAM_NONE UINT32_MAX

/**
 * enum UpstreamFlag_ - flags of an upstream; one for each source of draining
 */
typedef enum UpstreamFlag_ {
    UPSTREAM_PRESENT = 1 << 0,
    UPSTREAM_LISTED_DRAINING = 1 << 1,   /* from the host list or a peer */
    UPSTREAM_REPORTED_DRAINING = 1 << 2, /* from its own load report */
    UPSTREAM_SLOW = 1 << 3,  /* mean latency is far above the median */
    UPSTREAM_TRIAL = 1 << 4, /* a trial request is in flight */
} UpstreamFlag;

/**
 * struct Upstream_ - state of one upstream on this host
 * @report_time: time when the last load report was written, -1 if there is
 *               none
 * @start_time_sum: sum of the start times of the requests in flight
 * @ramp_start: start of the ramp after a cold start
 * @ejected_until: end of the ejection if @ejections is not 0
 * @probe_time: start of the last probe, -1 if there is none
 * @report_load: requests in flight and queued according to the last report
 * @mean_latency: weighted mean of recent latencies, microseconds, 0 if unknown
 * @penalty: requests counted as in flight although they failed early
 * @failure_ratio: weighted ratio of recent failures, 0 to 1
 * @slots: usable slots; reports may lower it, up to @configured_slots
 * @sent_since_report: requests that this host sent since it got the report
 * @slots_owned: slots that are assigned to this host, for `slot-shares`
 * @slots_lent: those of them that peers use
 * @slots_borrowed: slots of peers that this host uses
 * @ejections: consecutive ejections, 0 if healthy; each one doubles the next
 */
typedef struct Upstream_ {
    uint64_t key;
    Micros report_time;
    Micros start_time_sum;
    Micros ramp_start;
    Micros ejected_until;
    Micros penalty_time;
    Micros drain_report_time;
    Micros probe_time;
    float report_load;
    float mean_latency;
    float penalty;
    float failure_ratio;
    uint32_t service;
    uint32_t domain;
    uint16_t slots;
    uint16_t configured_slots;
    uint16_t inflight;
    uint16_t sent_since_report;
    uint16_t slots_owned;
    uint16_t slots_lent;
    uint16_t slots_borrowed;
    uint8_t flags;
    uint8_t ejections;
} Upstream;

/**
 * struct ServiceState_ - state of one service on this host
 * @connection_limit: connections that this host may open to each upstream
 * @pending_borrows: borrow requests without a reply
 * @borrow_deadline: time when the pending borrows stop counting
 * @median_latency: running median of the latency of successful responses,
 *                  microseconds
 * @utilization: mean ratio of requests to slots in the load reports, -1 if
 *               unknown
 * @same_domain_utilization: the same for upstreams in this host's domain
 * @other_domain_utilization: the same for upstreams in other domains
 * @same_domain_credit: microseconds by which upstreams in this host's domain
 *                      are preferred
 * @report_trust: 0 to 1, how well reports agree with this host's own counts;
 *                computed from the running means, variance and covariance
 * @subset_stale: the subset must be recomputed before its next use
 */
typedef struct ServiceState_ {
    uint32_t *upstreams;
    uint32_t count;
    uint32_t subset[SUBSET_MAX];
    uint32_t subset_count;
    uint32_t connection_limit;
    uint32_t inflight;
    uint32_t round_robin_next;
    uint32_t slots;
    uint32_t pending_borrows;
    Micros borrow_deadline;
    ServiceInfo info;
    ProbeBudget *budget;
    float median_latency;
    float utilization;
    float same_domain_utilization;
    float other_domain_utilization;
    float same_domain_credit;
    float report_trust;
    float own_count_mean;
    float reported_mean;
    float covariance;
    float variance;
    bool present;
    bool subset_stale;
} ServiceState;

/** struct UpstreamTable_ - upstreams and services, indexed by their ids */
typedef struct UpstreamTable_ {
    const Clock *clock;
    const RouterOptions *options;
    Upstream *upstreams;
    uint32_t upstream_count;
    ServiceState *services;
    uint32_t service_count;
    uint64_t *host_keys;
    uint32_t host_count;
    uint32_t own_host;
} UpstreamTable;

/** UpstreamTable_Create() - @options and @clock are borrowed */
UpstreamTable *UpstreamTable_Create(const RouterOptions *options,
                                    const Clock *clock);

/** UpstreamTable_Destroy() - free the table */
void UpstreamTable_Destroy(UpstreamTable *this);

/**
 * UpstreamTable_SetHosts() - set the live hosts
 *
 * Subsets are recomputed when they are next used.
 */
void UpstreamTable_SetHosts(UpstreamTable *this, const uint64_t *keys,
                            uint32_t count, uint32_t own);

/** UpstreamTable_SetService() - set the limits of a service */
void UpstreamTable_SetService(UpstreamTable *this, uint32_t service,
                              const ServiceInfo *info);

/** UpstreamTable_Add() - add an upstream or update its information */
void UpstreamTable_Add(UpstreamTable *this, uint32_t service,
                       uint32_t upstream, const UpstreamInfo *info);

/** UpstreamTable_Remove() - remove an upstream */
void UpstreamTable_Remove(UpstreamTable *this, uint32_t upstream);

/** UpstreamTable_Find() - get an upstream, or NULL if it does not exist */
Upstream *UpstreamTable_Find(const UpstreamTable *this, uint32_t upstream);

/**
 * UpstreamTable_Service() - get a service with an up-to-date subset, or NULL
 */
ServiceState *UpstreamTable_Service(UpstreamTable *this, uint32_t service);

#endif
