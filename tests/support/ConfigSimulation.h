#ifndef AGATECRANK_TESTS_CONFIGSIMULATION_H
#define AGATECRANK_TESTS_CONFIGSIMULATION_H

#include "ConfigFixture.h"
#include "ConfigSync.h"
#include "EventQueue.h"
#include "Histogram.h"

#define LAB_HOSTS_MAX 20

/** struct ConfigSimulationOptions_ - one run of hosts, a fake log and operators */
typedef struct ConfigSimulationOptions_ {
    uint64_t seed;
    uint32_t hosts;
    uint32_t publications;
    Micros publish_interval;   /* mean time between publications */
    Micros faults_end;         /* outages, pauses and restarts end here */
    Micros end;                /* end of the run, all healthy again */
    double lost_reply_ratio;   /* appends whose answer is lost */
    double lagging_read_ratio; /* reads that miss the newest records */
    double lost_peer_ratio;    /* messages between hosts that are lost */
    double forged_ratio;       /* records of an attacker with log access */
    Micros outage_interval;    /* mean time between log outages; 0: none */
    Micros outage_mean;
    Micros pause_interval;   /* mean time between pauses; 0: none */
    Micros restart_interval; /* mean time between restarts; 0: none */
    bool rolling_restart;    /* all one by one, then five at once */
    Micros retention;        /* records expire; 0: never */
    SnapshotScheduleOptions snapshots;
    uint32_t test_faults;   /* ConfigTestFault bits of host 0 */
    uint32_t cut_off_hosts; /* the first hosts never reach the log */
} ConfigSimulationOptions;

/** struct ConfigSimulationReport_ - what the checker and the counters say */
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
    uint64_t from_peers;
    uint64_t lagging_reads;
    uint64_t peer_bytes;
    Histogram *in_force; /* append to in force on the last host, in us */
    Histogram *ready;    /* start to ready, in us */
} ConfigSimulationReport;

/** ConfigSimulation_DefaultOptions() - a run with every kind of fault */
ConfigSimulationOptions ConfigSimulation_DefaultOptions(uint64_t seed);

/** ConfigSimulation_Run() - perform one run; clear the report with ConfigSimulationReport_Clear() */
void ConfigSimulation_Run(const ConfigSimulationOptions *options,
                          ConfigSimulationReport *report);

/** ConfigSimulationReport_Clear() - release the histograms */
void ConfigSimulationReport_Clear(ConfigSimulationReport *report);

#endif
