#ifndef AGATECRANK_CORE_UPSTREAMTABLE_H
#define AGATECRANK_CORE_UPSTREAMTABLE_H

#include "Router.h"

#define SUBSET_MAX 32
#define UPSTREAM_NONE UINT32_MAX

/** enum UpstreamFlag_ - statements about an upstream, kept apart by source */
typedef enum UpstreamFlag_ {
    UPSTREAM_PRESENT = 1 << 0,
    UPSTREAM_LISTED_DRAINING = 1 << 1,   /* host list or peer */
    UPSTREAM_REPORTED_DRAINING = 1 << 2, /* its own report */
    UPSTREAM_SLOW = 1 << 3,              /* responses far above typical */
    UPSTREAM_TRIAL = 1 << 4,             /* a trial request is running */
} UpstreamFlag;

/**
 * struct Upstream_ - what this host knows of one upstream
 * @started: sum of the start times of the requests in flight
 * @slots_max: configured slots; reports may lower @slots, not raise it above
 * @penalty: requests counted as in flight although they failed early
 */
typedef struct Upstream_ {
    uint64_t key;
    Micros report_time;
    Micros started;
    Micros ramp_start;
    Micros held_until;
    Micros penalty_time;
    Micros drain_time;
    Micros probe_time;
    float report_load;
    float latency;
    float penalty;
    float failures;
    uint32_t service;
    uint32_t domain;
    uint16_t slots;
    uint16_t slots_max;
    uint16_t inflight;
    uint16_t sent_since_report;
    uint16_t owned;
    uint16_t lent;
    uint16_t borrowed;
    uint8_t flags;
    uint8_t holds; /* holds in a row, doubles the next one */
} Upstream;

/**
 * struct ServiceState_ - one service on this host
 * @typical: running median of the latency of good responses, microseconds
 * @busy: mean share of slots that reports show as taken, -1 if unknown
 * @busy_near, @busy_far: the same within and outside this host's domain
 * @near_credit: microseconds by which a near upstream is preferred
 * @trust: 0 to 1, how far reports agree with own counts; computed from the
 *         running means, variance and covariance of the two
 */
typedef struct ServiceState_ {
    uint32_t *upstreams;
    uint32_t count;
    uint32_t subset[SUBSET_MAX];
    uint32_t subset_count;
    uint32_t connections_each;
    uint32_t inflight;
    uint32_t turn;
    uint32_t slots;
    uint32_t borrows; /* asked for and not yet answered */
    Micros borrow_due;
    ServiceInfo info;
    ProbeBudget *budget;
    float typical;
    float busy;
    float busy_near;
    float busy_far;
    float near_credit;
    float trust;
    float own_mean;
    float report_mean;
    float covariance;
    float variance;
    bool present;
    bool stale; /* subset to be computed again */
} ServiceState;

/** struct UpstreamTable_ - dense tables of upstreams and services */
typedef struct UpstreamTable_ {
    const Clock *clock;
    const RouterOptions *options;
    Upstream *upstreams;
    uint32_t upstream_count;
    ServiceState *services;
    uint32_t service_count;
    uint64_t *host_keys;
    uint32_t host_count;
    uint32_t host_own;
} UpstreamTable;

/** UpstreamTable_Create() - @options and @clock are borrowed */
UpstreamTable *UpstreamTable_Create(const RouterOptions *options,
                                    const Clock *clock);

/** UpstreamTable_Destroy() - release the table */
void UpstreamTable_Destroy(UpstreamTable *this);

/** UpstreamTable_SetHosts() - new live hosts; subsets are computed at use */
void UpstreamTable_SetHosts(UpstreamTable *this, const uint64_t *keys,
                            uint32_t count, uint32_t own);

/** UpstreamTable_SetService() - set the limits of a service */
void UpstreamTable_SetService(UpstreamTable *this, uint32_t service,
                              const ServiceInfo *info);

/** UpstreamTable_Add() - add an upstream or change its information */
void UpstreamTable_Add(UpstreamTable *this, uint32_t service,
                       uint32_t upstream, const UpstreamInfo *info);

/** UpstreamTable_Remove() - forget an upstream */
void UpstreamTable_Remove(UpstreamTable *this, uint32_t upstream);

/** UpstreamTable_Find() - an upstream, or NULL if it is not present */
Upstream *UpstreamTable_Find(const UpstreamTable *this, uint32_t upstream);

/** UpstreamTable_Service() - a service with its subset up to date, or NULL */
ServiceState *UpstreamTable_Service(UpstreamTable *this, uint32_t service);

#endif
