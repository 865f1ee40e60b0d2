#ifndef AGATECRANK_TESTS_CLAIMSSIMULATION_H
#define AGATECRANK_TESTS_CLAIMSSIMULATION_H

#include "Claims.h"
#include "Histogram.h"
#include "OutcomeHistory.h"

/**
 * typedef ClaimsSimulation - several Claims cores with a fake log, a network,
 * upstreams and callers, driven by one event queue and one seed
 */
typedef struct ClaimsSimulation_ ClaimsSimulation;

#define SIMULATION_HOSTS_MAX 32
#define SIMULATION_PARTITIONS_MAX 2

/**
 * struct ClaimsSimulationOptions_ - sizes, delays and fault rates
 * @claims: settings of each host; host and incarnation are filled in
 * @net_min, @net_max: delay of a message between hosts
 * @log_min, @log_max: one-way delay to the log service
 * @poll: longest wait of a read at the log service
 * @retention: age at which records expire; 0 for never
 * @service_min, @service_max: time that an upstream takes
 * @message_loss_ratio: share of messages lost; @message_duplicate_ratio: sent twice
 * @append_loss_ratio: share of appends that never reach the log
 * @result_loss_ratio: share of append results lost after the write
 * @read_loss_ratio: share of read results lost
 * @late_append_ratio: share of lost appends and of second copies of messages that
 *        arrive up to @append_delay_max later
 * @incomplete_hosts_ratio: share of hosts whose list of live hosts is incomplete
 * @cancel: share of callers that go away before their deadline
 * @upstream_refuse_ratio: share of requests that an upstream proves not run
 * @upstream_break_ratio: share of responses lost after the request ran
 * @pause: chance of a pause of up to @pause_max before each action
 * @crash_ratio: chance that the host dies before an action; replaced later
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
 * @identity: of the scoped key, for the journal
 * @caller: 0 or 1; the same key text of two callers is two keys
 * @key: text of the key, zero-terminated
 * @digest: of the request, may be the same for both callers
 */
typedef struct SimulatedRequest_ {
    uint64_t identity;
    uint32_t caller;
    char key[IDEMPOTENCY_KEY_MAX + 1];
    uint64_t digest;
    Micros deadline; /* from the time of sending */
} SimulatedRequest;

/** struct ClaimsSimulationCounters_ - totals of all hosts, living and dead */
typedef struct ClaimsSimulationCounters_ {
    uint64_t appends, reads, messages, crashes, pauses, log_appends_failed;
    uint64_t sent, dispatched, gaps, grants, markers, direct_appends;
    uint64_t collector_appends, abandoned, answered;
} ClaimsSimulationCounters;

ClaimsSimulation *
ClaimsSimulation_Create(const ClaimsSimulationOptions *options);
void ClaimsSimulation_Destroy(ClaimsSimulation *this);

/** ClaimsSimulation_Send() - a caller sends a request to a host after @delay */
void ClaimsSimulation_Send(ClaimsSimulation *this, Micros delay, uint32_t host,
                           const SimulatedRequest *request);

/** ClaimsSimulation_IssueKey() - key from a host; false if the host is dead */
bool ClaimsSimulation_IssueKey(ClaimsSimulation *this, uint32_t host,
                               SimulatedRequest *request);

/** ClaimsSimulation_MakeKey() - caller's key whose time is @age in the past */
void ClaimsSimulation_MakeKey(ClaimsSimulation *this, Micros age,
                              SimulatedRequest *request);

/** ClaimsSimulation_SetOutage() - the log refuses everything after @delay */
void ClaimsSimulation_SetOutage(ClaimsSimulation *this, Micros delay,
                                bool outage);

/** ClaimsSimulation_Kill() - a host dies after @delay, replaced as set */
void ClaimsSimulation_Kill(ClaimsSimulation *this, Micros delay,
                           uint32_t host);

/** ClaimsSimulation_Pause() - a host stands still from @delay for @duration */
void ClaimsSimulation_Pause(ClaimsSimulation *this, Micros delay,
                            uint32_t host, Micros duration);

/** ClaimsSimulation_Run() - let @duration pass */
void ClaimsSimulation_Run(ClaimsSimulation *this, Micros duration);

const OutcomeHistory *ClaimsSimulation_History(const ClaimsSimulation *this);
ClaimsSimulationCounters
ClaimsSimulation_Counters(const ClaimsSimulation *this);

/** ClaimsSimulation_DispatchDelays() - time from arrival at a host to its dispatch */
const Histogram *ClaimsSimulation_DispatchDelays(const ClaimsSimulation *this);

/** ClaimsSimulation_ClearDispatchDelays() - start the measurement anew */
void ClaimsSimulation_ClearDispatchDelays(ClaimsSimulation *this);

/** ClaimsSimulation_Host() - NULL while the host is dead */
const Claims *ClaimsSimulation_Host(const ClaimsSimulation *this,
                                    uint32_t host);

#endif
