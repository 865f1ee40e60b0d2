#ifndef AGATECRANK_TESTS_ROUTINGDRIVER_H
#define AGATECRANK_TESTS_ROUTINGDRIVER_H

#include "FakeUpstream.h"
#include "FlowStats.h"
#include "Router.h"

#define DRIVER_SERVICES 2
#define DRIVER_UPSTREAMS 64

/** struct DriverService_ - one service of a deployment */
typedef struct DriverService_ {
    const char *name;
    uint32_t upstreams;
    uint32_t slots;
} DriverService;

/**
 * struct Deployment_ - one of the deployments in section 1 of docs/design.md
 * @one_way: one-way network latency
 */
typedef struct Deployment_ {
    const char *name;
    DriverService services[DRIVER_SERVICES];
    uint32_t domains;
    Micros one_way;
} Deployment;

extern const Deployment deployment_tunis;
extern const Deployment deployment_puntarenas;

/**
 * struct DriverOptions_ - one simulation: hosts with a Router each, fake
 * upstreams
 * @unknown_hosts: live hosts that each host does not know of
 * @load: offered load as a fraction of the capacity of all slots
 * @same_domain_latency: one-way latency within a domain, 0 for the latency of
 *                       the deployment
 * @shed: a full upstream rejects requests with proof that they did not run;
 *        otherwise it queues all
 * @one_domain: all hosts are in the first domain
 * @queue_max: requests that a full upstream queues before it sheds
 * @slow_share: fraction of the upstreams, rounded up, that become @slow_factor
 *              times slower
 * @misreporting: upstreams of each service that falsely report to be idle
 * @failing: upstreams of each service that fail every request immediately
 * @down: all upstreams fail every request and probe
 * @drain: the first upstream of each service starts to drain at @fault_start
 * @drain_listed: the host list shows the drain too, not only its load reports
 * @cold: the first upstream of each service restarts cold at @fault_start
 * @fault_start: start of the period in which the faults above are active
 * @fault_end: end of that period; drains and false reports do not end
 * @retry_share: retries allowed per successful request
 * @connections: limit on the connections of all hosts to one upstream
 * @warmup: time before the measurement, which ends with @duration
 */
typedef struct DriverOptions_ {
    const Deployment *deployment;
    RouterOptions router;
    uint32_t hosts;
    uint32_t unknown_hosts;
    double load;
    Micros mean_service_time;
    Micros same_domain_latency;
    ServiceTimes service_times;
    ReportMode reports;
    bool shed;
    bool one_domain;
    uint32_t queue_max;
    double slow_share;
    double slow_factor;
    uint32_t misreporting;
    uint32_t failing;
    bool down;
    bool drain;
    bool drain_listed;
    bool cold;
    Micros fault_start;
    Micros fault_end;
    double retry_share;
    ProbeLimits probes;
    uint32_t connections;
    Micros warmup;
    Micros duration;
    uint64_t seed;
} DriverOptions;

/** struct DriverResult_ - result of one simulation */
typedef struct DriverResult_ {
    ServiceResult services[DRIVER_SERVICES];
    uint64_t slot_messages;
    uint32_t connections_peak;    /* to one upstream, all hosts together */
    uint64_t sent_while_draining; /* more than 2 s after the drain began */
} DriverResult;

/** DriverOptions_Default() - 20 hosts, 80% load, 10 ms, fresh reports */
DriverOptions DriverOptions_Default(const Deployment *deployment);

/** RoutingDriver_Run() - run a simulation; deterministic for a given seed */
DriverResult RoutingDriver_Run(const DriverOptions *options);

#endif
