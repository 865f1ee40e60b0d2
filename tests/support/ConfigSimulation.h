#ifndef AGATECRANK_TESTS_CONFIGSIMULATION_H
#define AGATECRANK_TESTS_CONFIGSIMULATION_H

#include "ConfigFixture.h"
#include "ConfigSync.h"
#include "EventQueue.h"
#include "Histogram.h"

#define SIMULATED_HOSTS_MAX 20

/**
 * struct ConfigSimulationOptions_ - a simulation of hosts, a log and operators
 * @seed: seed of all random decisions
 * @hosts: number of hosts, at most SIMULATED_HOSTS_MAX
 * @publications: number of publications that operators create
 * @publish_interval: mean time between publications
 * @faults_end: end of all outages; no pause or restart begins after it
 * @end: time of the final check
 * @lost_reply_ratio: appends whose reply is lost
 * @lagging_read_ratio: reads that miss the newest records
 * @lost_peer_ratio: messages between hosts that are lost
 * @forged_ratio: publications before which an attacker who can append to the
 *                log adds a forged record and a forged snapshot
 * @outage_interval: mean time between outages of the log; 0: none
 * @outage_mean: mean duration of an outage
 * @pause_interval: mean time between pauses of a random host; 0: none
 * @restart_interval: mean time between restarts of a random host; 0: none
 * @rolling_restart: restart all hosts one by one, then five at once
 * @retention: age at which records expire; 0: never
 * @snapshots: when the hosts write snapshots
 * @test_faults: ConfigTestFault bits of host 0
 * @cut_off_hosts: number of hosts, from host 0 on, that never reach the log
 */
typedef struct ConfigSimulationOptions_ {
    uint64_t seed;
    uint32_t hosts;
    uint32_t publications;
    Micros publish_interval;
    Micros faults_end;
    Micros end;
    double lost_reply_ratio;
    double lagging_read_ratio;
    double lost_peer_ratio;
    double forged_ratio;
    Micros outage_interval;
    Micros outage_mean;
    Micros pause_interval;
    Micros restart_interval;
    bool rolling_restart;
    Micros retention;
    SnapshotScheduleOptions snapshots;
    uint32_t test_faults;
    uint32_t cut_off_hosts;
} ConfigSimulationOptions;

/**
 * struct ConfigSimulationReport_ - violations and counters of one or more runs
 * @violations: number of violations that the checker detected
 * @first_violation: description of the first one
 * @reverts: violations in which a host reverted to an older state, or got
 *           ready after a restart with one older than in force
 * @disagreements: violations in which a host differs from the model
 * @in_force: time from the first append attempt of a publication until all
 *            hosts have applied it, in us
 * @ready: time from the start of a host until it is ready, in us
 */
typedef struct ConfigSimulationReport_ {
    uint64_t violations;
    char first_violation[160];
    uint64_t reverts;
    uint64_t disagreements;
    uint64_t accepted;
    uint64_t refused;
    uint64_t duplicates;
    uint64_t appends;
    uint64_t snapshot_appends;
    uint64_t snapshots_written;
    uint64_t restarts;
    uint64_t records_from_peers;
    uint64_t lagging_reads;
    uint64_t peer_bytes;
    Histogram *in_force;
    Histogram *ready;
} ConfigSimulationReport;

/** ConfigSimulation_DefaultOptions() - options with every kind of fault */
ConfigSimulationOptions ConfigSimulation_DefaultOptions(uint64_t seed);

/**
 * ConfigSimulation_Run() - perform one run
 * @report: all zero before the first run; the results are added to it; to be
 *          freed with ConfigSimulationReport_Clear()
 */
void ConfigSimulation_Run(const ConfigSimulationOptions *options,
                          ConfigSimulationReport *report);

/** ConfigSimulationReport_Clear() - free the histograms */
void ConfigSimulationReport_Clear(ConfigSimulationReport *report);

#endif
