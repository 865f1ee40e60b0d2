#ifndef AGATECRANK_TESTS_LIMITSMODEL_H
#define AGATECRANK_TESTS_LIMITSMODEL_H

#include "Admission.h"
#include "EventQueue.h"
#include "Histogram.h"

/**
 * typedef LimitsModel - simulation of several Admissions and one service
 *
 * Upstreams have slots and a bounded queue. Hosts choose the less loaded of
 * two random upstreams by their true load, so that the results show the effect
 * of admission control and not of routing. All randomness is derived from the
 * seed.
 */
typedef struct LimitsModel_ LimitsModel;

#define MODEL_MAX_LINES 8

/** Goodput is also counted in bins of this duration */
#define MODEL_BIN_US (10 * MICROS_PER_MS)

/**
 * struct ModelLine_ - the load of one line
 * @weight: share relative to the other lines
 * @rate: requests per second through all its hosts together
 * @hosts: the line enters through hosts 0 to @hosts - 1; 0 for all hosts
 * @callers: number of callers of equal rate
 * @sticky: each caller enters through a single host instead of all
 * @flood_factor: rate of caller 0 relative to each other caller; 0 and 1 mean
 *   equal rates
 * @cost: slot time relative to the mean service time; 0 for 1
 */
typedef struct ModelLine_ {
    double weight;
    double rate;
    uint32_t hosts;
    uint32_t callers;
    bool sticky;
    double flood_factor;
    double cost;
} ModelLine;

/**
 * struct ModelOptions_ - the deployment
 * @queue: requests that can wait at one upstream before it sheds load
 * @one_way_delay: network delay in one direction, in microseconds
 * @service_time: mean of the exponential distribution, in microseconds
 * @deadline: time from arrival to the deadline, in microseconds
 * @no_load_reports: upstreams don't report their load
 * @message_loss_ratio: fraction of the messages between hosts that is lost
 * @items: usage items per message; 0 for 4
 */
typedef struct ModelOptions_ {
    AdmissionMode mode;
    uint32_t hosts;
    uint32_t upstreams;
    uint32_t slots;
    uint32_t queue;
    Micros one_way_delay;
    Micros service_time;
    Micros deadline;
    bool no_load_reports;
    double message_loss_ratio;
    uint32_t items;
    uint64_t seed;
} ModelOptions;

/**
 * struct ModelStats_ - results of one line since LimitsModel_ResetStats()
 * @good: responses within the deadline
 * @late_refusals: refusals decided more than 5 ms after the arrival
 * @slot_time: time that upstreams spent on good responses
 * @wasted_slot_time: time that upstreams spent on late responses
 * @caller_offered, @caller_good: requests offered and good responses, for
 *   caller 0 and for the other callers together
 * @latency: of good responses, measured at the host
 * @decision: time from arrival to refusal
 * @other_latency: like @latency, without caller 0
 */
typedef struct ModelStats_ {
    uint64_t offered;
    uint64_t good;
    uint64_t refused;
    uint64_t late_refusals;
    uint64_t slot_time;
    uint64_t wasted_slot_time;
    uint64_t caller_offered[2];
    uint64_t caller_good[2];
    Histogram *latency;
    Histogram *decision;
    Histogram *other_latency;
} ModelStats;

/** LimitsModel_Create() - create a simulation without lines */
LimitsModel *LimitsModel_Create(const ModelOptions *options);

/** LimitsModel_Destroy() - free the simulation */
void LimitsModel_Destroy(LimitsModel *this);

/** LimitsModel_SetLine() - add a line or change its load from now on */
void LimitsModel_SetLine(LimitsModel *this, uint32_t line,
                         const ModelLine *load);

/** LimitsModel_Run() - advance the simulated time by @duration */
void LimitsModel_Run(LimitsModel *this, Micros duration);

/** LimitsModel_ResetStats() - clear the results of all lines */
void LimitsModel_ResetStats(LimitsModel *this);

/** LimitsModel_Stats() - results of one line */
const ModelStats *LimitsModel_Stats(const LimitsModel *this, uint32_t line);

/**
 * LimitsModel_GoodputBin() - good responses in bin @i
 *
 * Bin 0 starts at the last LimitsModel_ResetStats().
 */
uint32_t LimitsModel_GoodputBin(const LimitsModel *this, uint32_t line,
                                uint32_t i);

/** LimitsModel_ItemsSent() - usage items sent by all hosts */
uint64_t LimitsModel_ItemsSent(const LimitsModel *this);

/** LimitsModel_Capacity() - capacity in requests of cost 1 per second */
double LimitsModel_Capacity(const LimitsModel *this);

#endif
