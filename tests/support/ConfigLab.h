#ifndef AGATECRANK_TESTS_CONFIGLAB_H
#define AGATECRANK_TESTS_CONFIGLAB_H

#include "ConfigFixture.h"
#include "ConfigSync.h"
#include "EventQueue.h"
#include "Histogram.h"

#define LAB_HOSTS_MAX 20

/** struct LabOptions_ - one run of hosts, a fake log and operators */
typedef struct LabOptions_ {
    uint64_t seed;
    uint32_t hosts;
    uint32_t publications;
    Micros publish_every; /* mean time between publications */
    Micros faults_until;  /* outages, pauses and restarts end here */
    Micros end;           /* end of the run, all healthy again */
    double lost_answer;   /* appends whose answer is lost */
    double lagging_read;  /* reads that miss the newest records */
    double lost_peer;     /* messages between hosts that are lost */
    double forged;        /* records of an attacker with log access */
    Micros outage_every;  /* mean time between log outages; 0: none */
    Micros outage_mean;
    Micros pause_every;   /* mean time between pauses; 0: none */
    Micros restart_every; /* mean time between restarts; 0: none */
    bool replace_all;     /* all one by one, then five at once */
    Micros retention;     /* records expire; 0: never */
    SnapshotScheduleOptions snapshots;
    uint32_t test_faults; /* ConfigTestFault bits of host 0 */
    uint32_t cut_hosts;   /* the first hosts never reach the log */
} LabOptions;

/** struct LabReport_ - what the checker and the counters say */
typedef struct LabReport_ {
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
    uint64_t lagging;
    uint64_t peer_bytes;
    Histogram *in_force; /* append to in force on the last host, in us */
    Histogram *ready;    /* start to ready, in us */
} LabReport;

/** Lab_Defaults() - a run with every kind of fault */
LabOptions Lab_Defaults(uint64_t seed);

/** Lab_Run() - perform one run; clear the report with LabReport_Clear() */
void Lab_Run(const LabOptions *options, LabReport *report);

/** LabReport_Clear() - release the histograms */
void LabReport_Clear(LabReport *report);

#endif
