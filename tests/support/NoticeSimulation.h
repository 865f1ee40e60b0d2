#ifndef AGATECRANK_TESTS_NOTICESIMULATION_H
#define AGATECRANK_TESTS_NOTICESIMULATION_H

#include "Dialect.h"

/**
 * struct NoticeOptions_ - a deployment, its load and its upstreams
 * @dialect: how the upstreams' headers are read
 * @leaving_count: upstreams that say at a random time that they leave, and
 *                 serve on; the store lists them as ready
 * @leaving_at_once: all of them say so at the same time
 * @malformed_count: upstreams that say so in a malformed way, and stay
 * @pausing_count: upstreams that turn requests away at times, each with a pause
 *                 that they ask for
 * @pausing_at_once: all of them do so at the same times
 * @malformed_pauses: the pauses are malformed; they change nothing
 * @requests_per_s: of all callers
 * @entry_interval: mean time between new descriptions of a random upstream, 0
 *                  for none; every other one lapses and returns
 * @host_restart_interval: mean time between restarts of a host, 0 for none
 * @life_time: time after which one that leaves is back under its id, 0 for
 *             never
 * @return_time: if not 0, those that leave restart without a word first, and
 *               say so this time after each restart
 * @entry_lag: longest time until a host reads the entry of a new incarnation;
 *             each host reads it at another time
 * @silent_probes: responses to probes do not have the headers
 * @unread: plants a fault: hosts do not read the headers
 */
typedef struct NoticeOptions_ {
    const Dialect *dialect;
    uint64_t seed;
    unsigned host_count, upstream_count;
    unsigned leaving_count, malformed_count, pausing_count;
    bool leaving_at_once, pausing_at_once, malformed_pauses;
    Micros duration;
    double requests_per_s;
    Micros entry_interval;
    Micros host_restart_interval;
    Micros life_time;
    Micros return_time;
    Micros entry_lag;
    bool silent_probes;
    bool unread;
} NoticeOptions;

/**
 * struct NoticeResult_ - what upstreams and callers observed
 * @late_arrivals: requests that a caller sent 2 s or more after the host had
 *                 passed on that the upstream leaves, and that reached it
 * @told: pairs of host and upstream that the rule applies to
 * @reborn_arrivals: requests that reached new incarnations
 * @malformed_arrivals: requests that reached upstreams with malformed headers
 * @early_sends: requests and probes that reached an upstream between 0.5 s after
 *               it had asked the host for a pause and its end, without the
 *               first two
 * @pauses: pauses that upstreams asked hosts for
 * @pausing_arrivals: requests that upstreams which pause have processed
 * @early_returns: refused callers that were told to return before a pause ends
 * @pause_refusals: refusals because all upstreams are paused
 * @held_longest: longest time until such a refusal
 * @requests, @served, @refused: of callers, by their first attempt
 * @resent: requests that a host sent once more
 * @cut_short: attempts cancelled by a host
 */
typedef struct NoticeResult_ {
    unsigned late_arrivals, told;
    unsigned reborn_arrivals, malformed_arrivals;
    unsigned early_sends, pauses, pausing_arrivals;
    unsigned early_returns, pause_refusals;
    Micros held_longest;
    unsigned requests, served, refused;
    unsigned resent, cut_short;
} NoticeResult;

/** NoticeSimulation_Run() - run hosts, upstreams and callers by a seed */
NoticeResult NoticeSimulation_Run(const NoticeOptions *options);

#endif
