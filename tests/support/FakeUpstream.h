#ifndef AGATECRANK_TESTS_FAKEUPSTREAM_H
#define AGATECRANK_TESTS_FAKEUPSTREAM_H

#include <glib.h>

#include "EventQueue.h"
#include "Router.h"

/** enum ReportMode_ - what the fakes' in-band load reports contain */
typedef enum ReportMode_ {
    REPORTS_FRESH,
    REPORTS_NONE,
    REPORTS_LATE, /* the state of 500 ms ago, which the router is not told */
    REPORTS_ZERO,
} ReportMode;

/** enum ServiceTimes_ - distribution of service times, same mean */
typedef enum ServiceTimes_ {
    TIMES_EXPONENTIAL,
    TIMES_ERLANG4, /* variance a quarter of the exponential one */
    TIMES_CONSTANT,
} ServiceTimes;

/**
 * struct FakeRules_ - behaviour shared by all fakes of a run
 * @mean_service_time: mean service time
 * @shed: refuses with proof of not run when @queue_max requests are queued
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

/** typedef FakeDone - the response leaves the fake */
typedef void FakeDone(FakeJob *job);

/** struct FakeJob_ - one request at a fake; filled in before @done is called
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
 * struct FakeUpstream_ - slots with a FIFO queue behind them
 * @slowdown_factor: factor on service times of requests that start now
 * @cold_requests_left: requests that still run at a cold process's speed
 * @failing: answers at once with an error
 * @misreporting: reports that it is idle and has many slots
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

/** FakeUpstream_Init() - an idle fake */
void FakeUpstream_Init(FakeUpstream *this, const FakeRules *rules,
                       uint32_t slots);

/** FakeUpstream_Receive() - a request arrives; @job stays the caller's */
void FakeUpstream_Receive(FakeUpstream *this, FakeJob *job);

/** FakeUpstream_Report() - load report as the run's mode gives it */
LoadReport FakeUpstream_Report(const FakeUpstream *this);

/** FakeUpstream_RecordState() - keep the state; called every 5 ms */
void FakeUpstream_RecordState(FakeUpstream *this);

#endif
