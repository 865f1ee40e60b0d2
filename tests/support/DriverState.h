#ifndef AGATECRANK_TESTS_DRIVERSTATE_H
#define AGATECRANK_TESTS_DRIVERSTATE_H

#include "RoutingDriver.h"

#define ATTEMPTS_MAX 4

/** typedef Driver - state of one simulation, private to the driver */
typedef struct Driver_ Driver;

/**
 * struct Request_ - request of a caller, with its current attempt
 * @job: must be the first member: a FakeJob pointer is cast to its Request
 * @sent: start of the current attempt
 * @tried: upstreams of all attempts so far
 */
typedef struct Request_ {
    FakeJob job;
    Driver *driver;
    Micros arrived;
    Micros sent;
    uint32_t service;
    uint32_t host;
    uint32_t upstream;
    uint32_t tried[ATTEMPTS_MAX];
    uint32_t attempts;
} Request;

/**
 * struct SimUpstream_ - fake upstream with its place in the deployment
 * @connections: attempts in progress, from all hosts
 * @affected: the faults of the simulation apply to it
 */
typedef struct SimUpstream_ {
    FakeUpstream fake;
    uint32_t service;
    uint32_t domain;
    uint32_t connections;
    bool affected;
} SimUpstream;

/**
 * struct Host_ - balancer host
 * @waiting: queued requests of each service
 * @retry_tokens: retries that the retry budget of each service allows
 */
typedef struct Host_ {
    Driver *driver;
    Router *router;
    GQueue waiting[DRIVER_SERVICES];
    double retry_tokens[DRIVER_SERVICES];
} Host;

/** struct SlotDelivery_ - slot message on its way to @host */
typedef struct SlotDelivery_ {
    Driver *driver;
    uint32_t host;
    SlotMessage message;
} SlotDelivery;

/** struct ProbeRun_ - probe in progress from @host */
typedef struct ProbeRun_ {
    Driver *driver;
    uint32_t host;
    ProbeRequest probe;
} ProbeRun;

struct Driver_ {
    DriverOptions options;
    FakeRules rules;
    Clock *clock;
    EventQueue *queue;
    Random *random;
    Host *hosts;
    uint64_t *host_keys;
    SimUpstream upstreams[DRIVER_UPSTREAMS];
    uint32_t upstream_count;
    FlowStats flows[DRIVER_SERVICES];
    DriverResult result;
};

/** Driver_Create() - create the fake upstreams and the routers */
Driver *Driver_Create(const DriverOptions *options);

/** Driver_Destroy() - free the simulation and the requests still queued */
void Driver_Destroy(Driver *this);

/** Driver_DomainOf() - failure domain of a host */
uint32_t Driver_DomainOf(const Driver *this, uint32_t host);

#endif
