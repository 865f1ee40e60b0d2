#ifndef AGATECRANK_TESTS_ROUTINGSUMMARY_H
#define AGATECRANK_TESTS_ROUTINGSUMMARY_H

#include "RoutingDriver.h"

/** struct ServiceFigures_ - means over the seeds; latencies in microseconds */
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

/** struct RoutingSummary_ - figures of each service */
typedef struct RoutingSummary_ {
    ServiceFigures services[DRIVER_SERVICES];
} RoutingSummary;

/** RoutingSummary_Run() - one run for each of the seeds 1, 2 and 3 */
RoutingSummary RoutingSummary_Run(DriverOptions options);

#endif
