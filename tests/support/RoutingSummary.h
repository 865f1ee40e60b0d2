#ifndef AGATECRANK_TESTS_ROUTINGSUMMARY_H
#define AGATECRANK_TESTS_ROUTINGSUMMARY_H

#include "RoutingDriver.h"

/**
 * struct ServiceFigures_ - means over the seeds of the figures of a service
 * @p50: median latency, in microseconds
 * @p99: 99th percentile of the latency, in microseconds
 * @wait_p99: the same without the service time, in microseconds
 * @sent: attempts sent, as a ratio to the requests offered
 * @failed: failed requests, as a ratio to the requests offered
 * @sheds: refusals by upstreams, as a ratio to the requests offered
 * @affected_share: share of attempts at faulty upstreams during the fault
 * @affected_late: the same from 50 ms after the start of the fault
 * @affected_after: the same over the last second of the run
 * @probe_peak: largest used share of a probe limit, maximum over the seeds
 * @messages: messages about slots, per second and host
 * @connections: most connections to one upstream, maximum over the seeds
 */
typedef struct ServiceFigures_ {
    double p50;
    double p99;
    double wait_p99;
    double sent;
    double failed;
    double sheds;
    double affected_share;
    double affected_late;
    double affected_after;
    double probe_peak;
    double messages;
    double connections;
} ServiceFigures;

/** struct RoutingSummary_ - figures of each service of a deployment */
typedef struct RoutingSummary_ {
    ServiceFigures services[DRIVER_SERVICES];
} RoutingSummary;

/** RoutingSummary_Run() - simulate with each of the seeds 1, 2 and 3 */
RoutingSummary RoutingSummary_Run(DriverOptions options);

#endif
