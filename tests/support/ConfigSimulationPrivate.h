#ifndef AGATECRANK_TESTS_CONFIGSIMULATIONPRIVATE_H
#define AGATECRANK_TESTS_CONFIGSIMULATIONPRIVATE_H

#include "ConfigSimulation.h"
#include "ConfigSimulationLog.h"

#define TARGET_COUNT 6
#define READ_TIMEOUT_US (1 * MICROS_PER_S)

/* A change of one target by an operator, with its signed record. */
typedef struct SimulatedPublication_ {
    char id[32];
    const char *author;
    uint32_t target; /* index of the object that it changes */
    uint32_t value;  /* new value of the object; 0: deletion */
    uint64_t base;
    GString *record;
    Micros first_sent;
    uint32_t retries; /* number of appends after the first */
} SimulatedPublication;

/* The model's prediction for one record of the config stream. */
typedef struct ExpectedRecord_ {
    ConfigOutcome outcome;
    uint8_t digest[SNAPSHOT_DIGEST_BYTES];  /* ConfigState_Digest() */
    uint8_t content[SNAPSHOT_DIGEST_BYTES]; /* SHA-256 of the snapshot */
    Micros first_sent;
    uint32_t applied_hosts; /* number of hosts that applied it */
} ExpectedRecord;

typedef struct SimulatedHost_ {
    struct ConfigSimulation_ *simulation;
    uint32_t index;
    uint32_t generation; /* number of starts */
    bool alive;
    ConfigState *state;
    ConfigSync *sync;
    Random *random;
    Micros paused_until;
    Micros started;
    bool ready;
    uint64_t min_offset; /* in force on all ready hosts at its start */
    uint64_t last_offset;
    Micros next_gossip;
} SimulatedHost;

typedef struct ConfigSimulation_ {
    const ConfigSimulationOptions *options;
    ConfigSimulationReport *report;
    Clock *clock;
    Random *random;
    EventQueue *queue;
    SimulatedStream streams[2];
    Micros outage_end;
    SimulatedHost hosts[SIMULATED_HOSTS_MAX];
    GPtrArray *waiting_reads; /* SimulatedMessage of pending long polls */
    GPtrArray *publications;
    GArray *expected;       /* ExpectedRecord */
    ConfigState *reference; /* applies all records without faults */
    uint64_t change_offsets[TARGET_COUNT]; /* last change + 1 */
    uint32_t values[TARGET_COUNT];         /* 0: does not exist */
    GHashTable *published_ids;
    bool stopped;
} ConfigSimulation;

/** SimulationModel_Init() - append the bootstrap operator's publication */
void SimulationModel_Init(ConfigSimulation *simulation);

/** SimulationModel_Clear() - free the model's data */
void SimulationModel_Clear(ConfigSimulation *simulation);

/** SimulationModel_CreatePublication() - create a random one with @base */
SimulatedPublication *
SimulationModel_CreatePublication(ConfigSimulation *simulation, uint64_t base);

/**
 * SimulationModel_OnAppend() - predict the outcome of an appended record
 * @publication: NULL if an attacker forged the record
 * @first_sent: time of the first append attempt; 0: forged
 */
void SimulationModel_OnAppend(ConfigSimulation *simulation,
                              const SimulatedPublication *publication,
                              Str record, Micros first_sent);

/** SimulationModel_OnApplied() - compare a host's verdict with the model */
void SimulationModel_OnApplied(SimulatedHost *host,
                               const ConfigVerdict *verdict);

/**
 * SimulationModel_CheckHost() - compare a host's offset and digest with the
 * model
 * @contents: also compare the whole state
 */
void SimulationModel_CheckHost(SimulatedHost *host, bool contents);

/** SimulationModel_CheckEnd() - check that all changes are on all hosts */
void SimulationModel_CheckEnd(ConfigSimulation *simulation);

/**
 * SimulationModel_ReportViolation() - count a violation
 * @number: written after the description; only the first violation is kept
 */
void SimulationModel_ReportViolation(SimulatedHost *host,
                                     const char *description, uint64_t number);

/** SimulationNetwork_Chance() - true with the given probability */
bool SimulationNetwork_Chance(ConfigSimulation *simulation,
                              double probability);

/** SimulationNetwork_IsDown() - true if @host cannot reach the log now */
bool SimulationNetwork_IsDown(const ConfigSimulation *simulation,
                              uint32_t host);

/** SimulationNetwork_RunActions() - start all actions of the host's sync */
void SimulationNetwork_RunActions(SimulatedHost *host);

/** SimulationNetwork_AfterEvent() - check the host and start its actions */
void SimulationNetwork_AfterEvent(SimulatedHost *host);

/** SimulationNetwork_Gossip() - send the offset to two random hosts */
void SimulationNetwork_Gossip(SimulatedHost *host);

/** SimulationNetwork_WakeReaders() - end the long polls that are due */
void SimulationNetwork_WakeReaders(ConfigSimulation *simulation);

#endif
