#ifndef AGATECRANK_TESTS_DRIVERSTATE_H
#define AGATECRANK_TESTS_DRIVERSTATE_H

#include "RoutingDriver.h"

#define ATTEMPTS_MAX 4

/** typedef Driver - state of one simulation, private to the driver */
typedef struct Driver_ Driver;

/* @job must be the first member: a FakeJob pointer is cast to its Request. */
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

typedef struct SimUpstream_ {
    FakeUpstream fake;
    uint32_t service;
    uint32_t domain;
    uint32_t connections;
    bool affected;
} SimUpstream;

typedef struct Host_ {
    Driver *driver;
    Router *router;
    GQueue waiting[DRIVER_SERVICES];
    double retry_tokens[DRIVER_SERVICES];
} Host;

typedef struct SlotDelivery_ {
    Driver *driver;
    uint32_t host;
    SlotMessage message;
} SlotDelivery;

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
