#ifndef AGATECRANK_TESTS_OUTCOME_H
#define AGATECRANK_TESTS_OUTCOME_H

#include "RoutingDriver.h"

/** struct Figures_ - means over the seeds; latencies in microseconds */
typedef struct Figures_ {
    double p50;
    double p99;
    double wait_p99;
    double sent;
    double failed;
    double sheds;
    double share;
    double late;
    double after;
    double probe_peak;
    double messages;
    double connections;
} Figures;

/** struct Outcome_ - figures of each service */
typedef struct Outcome_ {
    Figures services[DRIVER_SERVICES];
} Outcome;

/** Outcome_Run() - one run for each of the seeds 1, 2 and 3 */
Outcome Outcome_Run(DriverOptions options);

#endif
