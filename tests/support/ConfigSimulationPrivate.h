#ifndef AGATECRANK_TESTS_CONFIGSIMULATIONPRIVATE_H
#define AGATECRANK_TESTS_CONFIGSIMULATIONPRIVATE_H

#include "ConfigSimulation.h"
#include "ConfigSimulationLog.h"

#define LAB_TARGETS 6
#define READ_TIMEOUT (1 * MICROS_PER_S)

/* One change that an operator publishes, and how often it was appended. */
typedef struct LabPublication_ {
    char id[32];
    const char *author;
    uint32_t target;
    uint32_t value; /* 0: deletion */
    uint64_t base;
    GString *record;
    Micros sent;
    uint32_t repeats;
} LabPublication;

/* What the model says of one record of the config stream. */
typedef struct LabExpected_ {
    ConfigOutcome outcome;
    uint8_t digest[SNAPSHOT_DIGEST_BYTES];  /* of the records */
    uint8_t content[SNAPSHOT_DIGEST_BYTES]; /* of the whole state */
    Micros sent;
    uint32_t applied; /* hosts */
} LabExpected;

typedef struct LabHost_ {
    struct Lab_ *lab;
    uint32_t index;
    uint32_t generation;
    bool alive;
    ConfigState *state;
    ConfigSync *sync;
    Random *random;
    Micros paused_until;
    Micros started;
    bool ready;
    uint64_t must_reach; /* offset that was in force when it started */
    uint64_t last_offset;
    Micros next_gossip;
} LabHost;

typedef struct Lab_ {
    const ConfigSimulationOptions *options;
    ConfigSimulationReport *report;
    Clock *clock;
    Random *random;
    EventQueue *queue;
    LabStream streams[2];
    Micros down_until;
    LabHost hosts[LAB_HOSTS_MAX];
    GPtrArray *waiting; /* LabMessage of long polls */
    GPtrArray *publications;
    GArray *expected; /* LabExpected */
    ConfigState *reference;
    uint64_t changed[LAB_TARGETS]; /* offset + 1 of the last change */
    uint32_t values[LAB_TARGETS];  /* in force; 0: does not exist */
    GHashTable *seen;
    bool stopped;
} Lab;

/** LabModel_Init() - the first publication, by the bootstrap operator */
void LabModel_Init(Lab *lab);

/** LabModel_Clear() - release the model */
void LabModel_Clear(Lab *lab);

/** LabModel_Create() - a new publication from the state of @base */
LabPublication *LabModel_Create(Lab *lab, uint64_t base);

/** LabModel_OnAppend() - judge a record; NULL: forged by an attacker */
void LabModel_OnAppend(Lab *lab, const LabPublication *publication, Str record,
                       Micros sent);

/** LabModel_OnApplied() - compare a host's verdict with the model's */
void LabModel_OnApplied(LabHost *host, const ConfigVerdict *verdict);

/** LabModel_CheckHost() - compare offset, records and contents */
void LabModel_CheckHost(LabHost *host, bool contents);

/** LabModel_CheckEnd() - every accepted publication is in force */
void LabModel_CheckEnd(Lab *lab);

/** LabModel_Violate() - count a violation and keep the first one */
void LabModel_Violate(LabHost *host, const char *what, uint64_t number);

/** LabNet_Chance() - true with this probability */
bool LabNet_Chance(Lab *lab, double probability);

/** LabNet_IsDown() - the log does not answer this host now */
bool LabNet_IsDown(const Lab *lab, uint32_t host);

/** LabNet_Drain() - carry out what the follower asks for */
void LabNet_Drain(LabHost *host);

/** LabNet_AfterEvent() - check the host, then LabNet_Drain() */
void LabNet_AfterEvent(LabHost *host);

/** LabNet_Gossip() - tell two random hosts the offset */
void LabNet_Gossip(LabHost *host);

/** LabNet_WakeReaders() - answer long polls that are due */
void LabNet_WakeReaders(Lab *lab);

#endif
