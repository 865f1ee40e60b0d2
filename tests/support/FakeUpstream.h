#ifndef AGATECRANK_TESTS_FAKEUPSTREAM_H
#define AGATECRANK_TESTS_FAKEUPSTREAM_H

#include <glib.h>

#include "EventQueue.h"
#include "Router.h"

/** enum ReportMode_ - content of the load reports that come with responses */
typedef enum ReportMode_ {
    REPORTS_FRESH,
    REPORTS_NONE,
    REPORTS_LATE, /* state of 500 ms ago, passed as current */
    REPORTS_ZERO,
} ReportMode;

/** enum ServiceTimes_ - distribution of service times with the same mean */
typedef enum ServiceTimes_ {
    TIMES_EXPONENTIAL,
    TIMES_ERLANG4, /* a quarter of the exponential variance */
    TIMES_CONSTANT,
} ServiceTimes;

/**
 * struct FakeRules_ - behaviour of all fake upstreams of a simulation
 * @shed: sheds requests with proof that they did not run when @queue_max
 *        requests are queued
 */
typedef struct FakeRules_ {
    Clock *clock;
    EventQueue *queue;
    Random *random;
    Micros mean_service_time;
    ServiceTimes service_times;
    ReportMode reports;
    bool shed;
    uint32_t queue_max;
} FakeRules;

typedef struct FakeJob_ FakeJob;

/** typedef FakeDone - called when the response leaves the fake upstream */
typedef void FakeDone(FakeJob *job);

/**
 * struct FakeJob_ - one request at a fake upstream; complete when @done is
 * called
 */
struct FakeJob_ {
    FakeDone *done;
    AttemptOutcome outcome;
    LoadReport report;
    Micros service_time;
    struct FakeUpstream_ *fake;
};

#define FAKE_HISTORY_COUNT 100

/**
 * struct FakeUpstream_ - fake upstream: slots with a FIFO queue
 * @busy: slots in use
 * @slowdown_factor: factor on the service times of requests that start now
 * @cold_requests_left: requests that still run at the speed of a cold process
 * @failing: responds immediately with an error
 * @misreporting: reports to be idle with many slots
 * @history: states at intervals of 5 ms, a ring buffer
 */
typedef struct FakeUpstream_ {
    const FakeRules *rules;
    uint32_t slots;
    uint32_t busy;
    uint32_t cold_requests_left;
    double slowdown_factor;
    bool failing;
    bool misreporting;
    bool draining;
    GQueue waiting;
    LoadReport history[FAKE_HISTORY_COUNT];
    uint32_t history_next;
} FakeUpstream;

/** FakeUpstream_Init() - initialize an idle fake upstream */
void FakeUpstream_Init(FakeUpstream *this, const FakeRules *rules,
                       uint32_t slots);

/** FakeUpstream_Receive() - accept a request; @job is borrowed */
void FakeUpstream_Receive(FakeUpstream *this, FakeJob *job);

/**
 * FakeUpstream_Report() - get the load report in the mode of the simulation
 */
LoadReport FakeUpstream_Report(const FakeUpstream *this);

/** FakeUpstream_RecordState() - append the state to the history, every 5 ms */
void FakeUpstream_RecordState(FakeUpstream *this);

#endif
