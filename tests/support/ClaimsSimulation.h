#ifndef AGATECRANK_TESTS_CLAIMSSIMULATION_H
#define AGATECRANK_TESTS_CLAIMSSIMULATION_H

#include "Claims.h"
#include "Histogram.h"
#include "OutcomeHistory.h"

/**
 * typedef ClaimsSimulation - simulation of several hosts with claims
 *
 * It consists of one Claims object per host, a fake log, a network, upstreams
 * and callers. One event queue and one seed determine a run.
 */
typedef struct ClaimsSimulation_ ClaimsSimulation;

#define SIMULATION_HOSTS_MAX 32
#define SIMULATION_PARTITIONS_MAX 2

/**
 * struct ClaimsSimulationOptions_ - sizes, delays and fault rates
 * @hosts: number of hosts, at most SIMULATION_HOSTS_MAX
 * @claims: settings of each host; host and incarnation are filled in
 * @net_min: shortest delay of a message between hosts
 * @net_max: longest delay of a message between hosts
 * @log_min: shortest one-way delay to the log service
 * @log_max: longest one-way delay to the log service
 * @poll: longest wait of a read at the log service
 * @retention: age at which records expire; 0 for never
 * @service_min: shortest service time of an upstream
 * @service_max: longest service time of an upstream
 * @message_loss_ratio: share of messages that are lost
 * @message_duplicate_ratio: share of messages that are sent twice
 * @append_loss_ratio: share of appends that do not reach the log in time
 * @result_loss_ratio: share of append results that are lost after the write
 * @read_loss_ratio: share of read results that are lost
 * @late_append_ratio: share of the lost appends that take effect later
 * @incomplete_hosts_ratio: share of hosts whose list of live hosts is
 *                          incomplete
 * @cancel_ratio: share of callers that disconnect before their deadline
 * @upstream_refuse_ratio: share of requests that an upstream refuses with
 *                         proof that they did not run
 * @upstream_break_ratio: share of responses lost after the request ran
 * @pause_ratio: probability of a pause of the host before an action
 * @crash_ratio: probability of a crash of the host before an action
 * @pause_max: longest such pause
 * @replace_after: time from a crash to the restart as a new incarnation
 * @append_delay_max: longest delay of a late append
 */
typedef struct ClaimsSimulationOptions_ {
    uint64_t seed;
    uint32_t hosts;
    ClaimsOptions claims;
    Micros net_min, net_max;
    Micros log_min, log_max;
    Micros poll;
    Micros retention;
    Micros service_min, service_max;
    double message_loss_ratio, message_duplicate_ratio;
    double append_loss_ratio, result_loss_ratio, read_loss_ratio;
    double late_append_ratio, incomplete_hosts_ratio;
    double cancel_ratio;
    double upstream_refuse_ratio, upstream_break_ratio;
    double pause_ratio, crash_ratio;
    Micros pause_max;
    Micros replace_after;
    Micros append_delay_max;
} ClaimsSimulationOptions;

/**
 * struct SimulatedRequest_ - a request of a caller
 * @identity: number of the scoped key in the history
 * @caller: 0 or 1; the same key text of two callers is two keys
 * @key: text of the key, zero-terminated
 * @digest: of the request; may be the same for both callers
 * @deadline: relative to the time of sending
 */
typedef struct SimulatedRequest_ {
    uint64_t identity;
    uint32_t caller;
    char key[IDEMPOTENCY_KEY_MAX_BYTES + 1];
    uint64_t digest;
    Micros deadline;
} SimulatedRequest;

/** struct ClaimsSimulationCounters_ - totals of all hosts and incarnations */
typedef struct ClaimsSimulationCounters_ {
    uint64_t appends, reads, messages, crashes, pauses, log_appends_failed;
    uint64_t sent, dispatched, gaps, grants, markers, direct_appends;
    uint64_t collector_appends, abandoned, answered;
} ClaimsSimulationCounters;

ClaimsSimulation *
ClaimsSimulation_Create(const ClaimsSimulationOptions *options);
void ClaimsSimulation_Destroy(ClaimsSimulation *this);

/** ClaimsSimulation_Send() - send a request to a host after @delay */
void ClaimsSimulation_Send(ClaimsSimulation *this, Micros delay, uint32_t host,
                           const SimulatedRequest *request);

/** ClaimsSimulation_IssueKey() - make a host issue a key; false if down */
bool ClaimsSimulation_IssueKey(ClaimsSimulation *this, uint32_t host,
                               SimulatedRequest *request);

/** ClaimsSimulation_MakeKey() - make a caller's key whose time is @age ago */
void ClaimsSimulation_MakeKey(ClaimsSimulation *this, Micros age,
                              SimulatedRequest *request);

/** ClaimsSimulation_SetOutage() - start or end a log outage after @delay */
void ClaimsSimulation_SetOutage(ClaimsSimulation *this, Micros delay,
                                bool outage);

/** ClaimsSimulation_Kill() - crash a host after @delay; it restarts later */
void ClaimsSimulation_Kill(ClaimsSimulation *this, Micros delay,
                           uint32_t host);

/** ClaimsSimulation_Pause() - stop a host after @delay for @duration */
void ClaimsSimulation_Pause(ClaimsSimulation *this, Micros delay,
                            uint32_t host, Micros duration);

/** ClaimsSimulation_Run() - advance the simulated time by @duration */
void ClaimsSimulation_Run(ClaimsSimulation *this, Micros duration);

const OutcomeHistory *ClaimsSimulation_History(const ClaimsSimulation *this);
ClaimsSimulationCounters
ClaimsSimulation_Counters(const ClaimsSimulation *this);

/** ClaimsSimulation_DispatchDelays() - times from arrival to dispatch */
const Histogram *ClaimsSimulation_DispatchDelays(const ClaimsSimulation *this);

/** ClaimsSimulation_ClearDispatchDelays() - discard the measured times */
void ClaimsSimulation_ClearDispatchDelays(ClaimsSimulation *this);

/** ClaimsSimulation_Host() - NULL while the host is down */
const Claims *ClaimsSimulation_Host(const ClaimsSimulation *this,
                                    uint32_t host);

#endif
