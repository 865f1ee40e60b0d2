#ifndef AGATECRANK_TESTS_ROUTINGDRIVER_H
#define AGATECRANK_TESTS_ROUTINGDRIVER_H

#include "Router.h"

#define DRIVER_SERVICES 2
#define DRIVER_UPSTREAMS 64

/** enum ReportMode_ - what the fakes' in-band load reports contain */
typedef enum ReportMode_ {
    REPORTS_FRESH,
    REPORTS_NONE,
    REPORTS_LATE, /* the state of 500 ms ago, which the router is not told */
    REPORTS_ZERO,
} ReportMode;

/** enum ServiceTimes_ - distribution of service times, same mean */
typedef enum ServiceTimes_ {
    TIMES_EXPONENTIAL,
    TIMES_ERLANG4, /* variance a quarter of the exponential one */
    TIMES_CONSTANT,
} ServiceTimes;

/** struct DriverService_ - one service of a deployment */
typedef struct DriverService_ {
    const char *name;
    uint32_t upstreams;
    uint32_t slots;
} DriverService;

/** struct Deployment_ - see section 1 of docs/design.md */
typedef struct Deployment_ {
    const char *name;
    DriverService services[DRIVER_SERVICES];
    uint32_t domains;
    Micros one_way;
} Deployment;

extern const Deployment deployment_tunis;
extern const Deployment deployment_puntarenas;

/**
 * struct DriverOptions_ - one run: hosts with a Router each, fake upstreams
 * @load: offered load as a share of all slots
 * @near: one-way latency within a domain; 0 for the deployment's latency
 * @one_domain: all hosts are in the first domain
 * @queue_max: requests that a full upstream queues before it refuses
 * @shed: a full upstream refuses with proof, else it queues all
 * @slow_share: share of upstreams that become @slow_factor times slower
 * @failing: upstreams of each service that fail at once
 * @from, @until: period of slowness, failing, down and drain
 * @drain: first upstream of each service leaves at @from; @listed: the host
 *         list says so (else only its reports do)
 * @cold: first upstream of each service restarts cold at @from
 * @retry_share: retries allowed as a share of successes
 * @warmup: start of the measured period, which ends with @duration
 */
typedef struct DriverOptions_ {
    const Deployment *deployment;
    RouterOptions router;
    uint32_t hosts;
    double load;
    Micros mean;
    Micros near;
    ServiceTimes times;
    ReportMode reports;
    bool shed;
    bool one_domain;
    uint32_t queue_max;
    double slow_share;
    double slow_factor;
    uint32_t failing;
    bool down;
    bool drain;
    bool listed;
    bool cold;
    Micros from;
    Micros until;
    double retry_share;
    ProbeLimits probes;
    uint32_t connections;
    Micros warmup;
    Micros duration;
    uint64_t seed;
} DriverOptions;

/** struct ServiceResult_ - what was seen of one service while measuring */
typedef struct ServiceResult_ {
    uint64_t offered;
    uint64_t answered;
    uint64_t failed;
    uint64_t sent;
    uint64_t sheds;
    uint64_t retries;
    Micros p50;
    Micros p99;
    Micros wait_p99;       /* latency without the service time itself */
    double affected_share; /* of attempts, at failing or slow upstreams */
    double affected_late;  /* same, from 50 ms after @from to @until */
    double affected_after; /* same, over the last second of the run */
    double probe_peak;     /* largest use of a probe limit, 1 is all of it */
} ServiceResult;

/** struct DriverResult_ - outcome of one run */
typedef struct DriverResult_ {
    ServiceResult services[DRIVER_SERVICES];
    uint64_t slot_messages;
    uint32_t connections_peak;    /* at one upstream, all hosts together */
    uint64_t sent_while_draining; /* later than 2 s after the drain began */
} DriverResult;

/** DriverOptions_Default() - 20 hosts, 80% load, 10 ms, fresh reports */
DriverOptions DriverOptions_Default(const Deployment *deployment);

/** RoutingDriver_Run() - run to the end; the seed decides everything */
DriverResult RoutingDriver_Run(const DriverOptions *options);

#endif
