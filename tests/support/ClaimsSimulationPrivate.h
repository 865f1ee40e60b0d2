#ifndef AGATECRANK_TESTS_CLAIMSSIMULATIONPRIVATE_H
#define AGATECRANK_TESTS_CLAIMSSIMULATIONPRIVATE_H

#include "ClaimsSimulation.h"
#include "EventQueue.h"
#include "FakeLog.h"
#include "Random.h"

#define HOST_NAME_BYTES 20

typedef enum EventKind_ {
    EVENT_BEGIN,
    EVENT_TICK,
    EVENT_ACTIONS,
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
    EVENT_CRASH,
    EVENT_PAUSE,
    EVENT_RESTART,
} EventKind;

/* An event with the data of all kinds; @text owns its strings. */
typedef struct Event_ {
    ClaimsSimulation *simulation;
    EventKind kind;
    uint32_t host;
    uint64_t epoch; /* epoch of the host, or UINT64_MAX for any */
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
    char name[HOST_NAME_BYTES];
    Claims *claims; /* NULL while down */
    uint64_t epoch; /* number of crashes; earlier events are dropped */
    Micros paused_until;
    Micros next_tick;
    bool actions_due;
    bool first_read_sent[SIMULATION_PARTITIONS_MAX]; /* not used */
    bool read_waiting[SIMULATION_PARTITIONS_MAX]; /* a read waits at the log */
    uint64_t read_id[SIMULATION_PARTITIONS_MAX];
} Host;

typedef struct OpenRequest_ {
    SimulatedRequest request;
    Micros arrived;
} OpenRequest;

struct ClaimsSimulation_ {
    ClaimsSimulationOptions options;
    Clock *clock;
    EventQueue *queue;
    Random *random;
    OutcomeHistory *history;
    Histogram *dispatch_delays;
    FakeLog *logs[SIMULATION_PARTITIONS_MAX];
    bool outage;
    Host hosts[SIMULATION_HOSTS_MAX];
    GHashTable *events;        /* set of scheduled Event */
    GHashTable *open_requests; /* request id -> OpenRequest */
    uint64_t next_id;
    ClaimsSimulationCounters counters;
};

/* ClaimsSimulation.c */
void ClaimsSimulation_HandleEvent(void *user, uint64_t argument);

/* ClaimsSimulationLog.c */
bool ClaimsSimulation_Chance(ClaimsSimulation *this, double p);
Micros ClaimsSimulation_RandomBetween(ClaimsSimulation *this, Micros low,
                                      Micros high);
Event *ClaimsSimulation_NewEvent(ClaimsSimulation *this, EventKind kind,
                                 uint32_t host);
void ClaimsSimulation_Schedule(Event *event, Micros delay);
Str Event_CopyText(Event *event, Str text);
void Event_Free(gpointer data);
void ClaimsSimulation_SendAppend(ClaimsSimulation *this, uint32_t host,
                                 const ClaimAction *action);
void ClaimsSimulation_OnAppendAtLog(ClaimsSimulation *this,
                                    const Event *event);
void ClaimsSimulation_StartRead(ClaimsSimulation *this, uint32_t host,
                                uint32_t partition, Micros delay);
void ClaimsSimulation_OnReadAtLog(ClaimsSimulation *this, const Event *event);
void ClaimsSimulation_OnReadResult(ClaimsSimulation *this, const Event *event);
void ClaimsSimulation_SendReadResult(ClaimsSimulation *this, uint32_t host,
                                     uint32_t partition);
void ClaimsSimulation_WakeReaders(ClaimsSimulation *this, uint32_t partition);

#endif
