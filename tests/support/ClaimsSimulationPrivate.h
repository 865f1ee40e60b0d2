#ifndef AGATECRANK_TESTS_CLAIMSSIMULATIONPRIVATE_H
#define AGATECRANK_TESTS_CLAIMSSIMULATIONPRIVATE_H

#include "ClaimsSimulation.h"
#include "EventQueue.h"
#include "FakeLog.h"
#include "Random.h"

#define NAME_MAX_LENGTH 20

typedef enum EventKind_ {
    EVENT_BEGIN,
    EVENT_TICK,
    EVENT_DRAIN,
    EVENT_SUBMIT,
    EVENT_QUERY,
    EVENT_REPLY,
    EVENT_APPEND_AT_LOG,
    EVENT_APPEND_RESULT,
    EVENT_READ_AT_LOG,
    EVENT_READ_TIMEOUT,
    EVENT_READ_RESULT,
    EVENT_AT_UPSTREAM,
    EVENT_FINISHED,
    EVENT_CANCEL,
    EVENT_OUTAGE,
    EVENT_KILL,
    EVENT_PAUSE,
    EVENT_REPLACE,
} EventKind;

/* Whatever an event needs; strings are kept in text. */
typedef struct Event_ {
    ClaimsSimulation *simulation;
    EventKind kind;
    uint32_t host;
    uint64_t epoch; /* events of an earlier life of the host are dropped */
    GStringChunk *text;
    Claim claim;
    uint32_t partition;
    ClaimOutcomeQuery query;
    ClaimOutcomeReply reply;
    Str from;
    Str bytes;
    uint64_t id;
    int code;
    ClaimOutcome outcome;
    SimulatedRequest request;
    ClaimLogRead *read;
    Micros duration;
} Event;

typedef struct Host_ {
    char name[NAME_MAX_LENGTH];
    Claims *claims; /* NULL while dead */
    uint64_t epoch;
    Micros paused_until;
    Micros next_tick;
    bool drain_due;
    bool asked[SIMULATION_PARTITIONS_MAX];   /* the first read was made */
    bool waiting[SIMULATION_PARTITIONS_MAX]; /* a read waits at the log */
    uint64_t wait_id[SIMULATION_PARTITIONS_MAX];
} Host;

typedef struct Open_ {
    SimulatedRequest request;
    Micros arrived;
} Open;

struct ClaimsSimulation_ {
    ClaimsSimulationOptions options;
    Clock *clock;
    EventQueue *queue;
    Random *random;
    OutcomeHistory *history;
    Histogram *added;
    FakeLog *logs[SIMULATION_PARTITIONS_MAX];
    bool outage;
    Host hosts[SIMULATION_HOSTS_MAX];
    GHashTable *events; /* Event, those that have not run */
    GHashTable *open;   /* request id -> Open */
    uint64_t next_id;
    ClaimsSimulationCounters counters;
};

/* ClaimsSimulation.c */
void World_HandleEvent(void *user, uint64_t argument);

/* ClaimsSimulationLog.c */
bool World_Chance(ClaimsSimulation *this, double p);
Micros World_Between(ClaimsSimulation *this, Micros low, Micros high);
Event *World_NewEvent(ClaimsSimulation *this, EventKind kind, uint32_t host);
void World_Schedule(Event *event, Micros delay);
Str World_Keep(Event *event, Str text);
void World_FreeEvent(gpointer data);
void World_SendAppend(ClaimsSimulation *this, uint32_t host,
                      const ClaimAction *action);
void World_OnAppendAtLog(ClaimsSimulation *this, const Event *event);
void World_StartRead(ClaimsSimulation *this, uint32_t host, uint32_t partition,
                     Micros delay);
void World_OnReadAtLog(ClaimsSimulation *this, const Event *event);
void World_OnReadResult(ClaimsSimulation *this, const Event *event);
void World_SendReadResult(ClaimsSimulation *this, uint32_t host,
                          uint32_t partition);
void World_WakeReaders(ClaimsSimulation *this, uint32_t partition);

#endif
