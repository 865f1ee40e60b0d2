#ifndef AGATECRANK_TESTS_CUTSIMULATION_H
#define AGATECRANK_TESTS_CUTSIMULATION_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "Clock.h"

#define CUT_DOMAINS 3
#define CUT_SERVICES 2

/** enum CutKind - what happens on the path from a host to upstreams */
typedef enum CutKind_ {
    CUT_SILENT,  /* messages arrive after the end */
    CUT_REFUSED, /* new connections are refused, open ones live on */
    CUT_CLOSED,  /* new ones are accepted and closed, open ones live on */
    CUT_RESET,   /* as before, and open connections are reset */
} CutKind;

/**
 * struct Cut_ - hosts lose their path to all upstreams
 * @hosts: bit by host
 */
typedef struct Cut_ {
    CutKind kind;
    uint64_t hosts;
    Micros begin, end;
} Cut;

/**
 * struct CutOptions_ - a deployment, its load and its faults
 * @host_count, @upstream_count: spread over domains; upstreams over services
 * @requests_per_s: of all callers
 * @lost_ratio: part of the messages between hosts and upstreams that arrive
 *              200 ms late
 * @dead_from, @dead_until: time in which all upstreams of a service are down
 * @stall_interval: mean time between stalls of a host, 0 for none
 * @crash_interval: mean time between crashes of an upstream, 0 for none
 * @no_forwarding: plants a fault: hosts do not know their peers
 * @second_hop: plants a fault: peers do not tell forwarded requests apart
 * @unsummed_attempts: plants a fault: peers are not told the attempts left
 */
typedef struct CutOptions_ {
    uint64_t seed;
    unsigned host_count, upstream_count;
    double requests_per_s;
    uint32_t attempts_max;
    Micros duration;
    const Cut *cuts;
    size_t cut_count;
    double lost_ratio;
    Micros dead_from, dead_until;
    Micros stall_interval;
    Micros crash_interval;
    bool no_forwarding;
    bool second_hop;
    bool unsummed_attempts;
} CutOptions;

/** struct CutShare_ - first tries of callers */
typedef struct CutShare_ {
    unsigned offered, served;
} CutShare;

/**
 * struct CutResult_ - what callers and upstreams observed
 * @cut: at hosts that have been cut off for 3 s or longer
 * @others: at hosts that are not cut off
 * @restored: at hosts whose cut ended 1 to 3 s ago
 * @refused: answered 503
 * @run_twice: requests that are not idempotent and ran more than once
 * @refused_and_run: requests that were answered 503 and ran
 * @excess_attempts: requests that ran on more upstreams than allowed
 * @second_hops: forwards of forwarded requests
 * @unanswered: requests without an answer at their deadline
 * @budget_excess: most arrivals beyond the retry limit in a window
 * @losses: of upstreams that hosts counted
 * @lost_limits: hosts that know fewer limits after a cut
 * @declared: cuts that hosts noticed; @false_cuts: without one
 * @detection: longest time from the beginning of a cut, or from the first
 *             refused connection in it, until the host notices
 * @restoration: longest time from the end until the host notices
 * @forwards: in all, by hosts
 */
typedef struct CutResult_ {
    CutShare cut, others, restored;
    unsigned requests, refused;
    unsigned run_twice, refused_and_run, excess_attempts, second_hops;
    unsigned unanswered;
    double budget_excess;
    unsigned losses, lost_limits;
    unsigned declared, false_cuts;
    Micros detection, restoration;
    unsigned forwards;
} CutResult;

/** CutSimulation_Run() - run hosts, upstreams and callers by a seed */
CutResult CutSimulation_Run(const CutOptions *options);

#endif
