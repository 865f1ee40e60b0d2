#ifndef AGATECRANK_TESTS_CRASHSIMULATION_H
#define AGATECRANK_TESTS_CRASHSIMULATION_H

#include <stdbool.h>
#include <stdint.h>

#include "Clock.h"

/** enum CrashKind - what happens to an upstream that runs a crashing request */
typedef enum CrashKind_ {
    CRASH_RESETS, /* its connections are reset, new ones are refused */
    CRASH_SILENT, /* it stops responding */
    CRASH_MIXED,  /* either, at random */
    CRASH_CLOSED, /* a proxy before it accepts connections and closes them */
} CrashKind;

/** enum ChannelFaults - faults of what the hosts share */
typedef enum ChannelFaults_ {
    CHANNEL_SOUND,
    CHANNEL_SLOW,  /* calls take up to a second */
    CHANNEL_FAULTY /* also outages, lost responses and late writes */
} ChannelFaults;

/**
 * struct CrashOptions_ - a deployment and its load
 * @crashing_count: requests that end each upstream that runs them
 * @resend_interval: mean time after which a crashing request comes again, at a
 *                   random host
 * @at_most_once: the crashing requests are not idempotent
 * @normal_per_s: requests that are all different
 * @repeated_per_s: requests of one of a hundred kinds, each of which comes
 *                  again
 * @restart_interval: mean time between restarts of a host, 0 for none
 * @failure_interval: mean time between failures of several upstreams at once
 *                    that no request causes, 0 for none
 * @replacement_delay: mean time after which another upstream takes the place
 *                     of one that has ended; 0: it starts again later
 * @lost_ratio: fraction of the responses to other requests that are lost though
 *              the upstream goes on
 * @failure_ratio: fraction of the upstreams that fail then
 * @knows_peers: hosts forward requests while they take themselves for cut off;
 *               the peers refuse them
 * @isolated_hosts: plants a fault: the hosts exchange nothing
 */
typedef struct CrashOptions_ {
    uint64_t seed;
    unsigned host_count, upstream_count, crashing_count;
    Micros duration;
    Micros resend_interval;
    double normal_per_s, repeated_per_s;
    Micros restart_interval;
    Micros failure_interval;
    Micros replacement_delay;
    double lost_ratio;
    double failure_ratio;
    CrashKind crash;
    ChannelFaults channel;
    bool at_most_once;
    bool knows_peers;
    bool isolated_hosts;
} CrashOptions;

/**
 * struct CrashResult_ - what upstreams and callers observed
 * @sends, @ends: of crashing requests
 * @late_sends: sends of one crashing request by hosts in touch later than 3 s
 *              after it has ended the third upstream; the most of all
 * @refused_ok: refusals of other requests as quarantined
 * @refused_ok_longest: longest time in which each request of one kind of the
 *                      repeated ones was refused as quarantined
 * @refused_ok_hosts: most hosts that refused one of these kinds at a time
 * @channel_calls, @channel_bytes: appends of all hosts to the shared log, and
 *                                 bytes of their records
 */
typedef struct CrashResult_ {
    unsigned sends, ends, late_sends;
    unsigned other, served, refused_ok, refused_ok_hosts;
    Micros refused_ok_longest;
    unsigned channel_calls, channel_bytes;
} CrashResult;

/** CrashSimulation_Run() - run hosts, upstreams and callers by a seed */
CrashResult CrashSimulation_Run(const CrashOptions *options);

#endif
