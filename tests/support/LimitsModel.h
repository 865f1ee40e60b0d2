#ifndef AGATECRANK_TESTS_LIMITSMODEL_H
#define AGATECRANK_TESTS_LIMITSMODEL_H

#include "Admission.h"
#include "EventQueue.h"
#include "Histogram.h"

/**
 * typedef LimitsModel - several Admissions in front of one fake service
 *
 * Upstreams are slots with a bounded queue; hosts choose the better of two
 * upstreams by their true load, so that the figures show the limits and not
 * the routing. All randomness comes from the seed.
 */
typedef struct LimitsModel_ LimitsModel;

#define MODEL_MAX_LINES 8

/** Goodput is also counted in bins of this time */
#define MODEL_BIN_US (10 * MICROS_PER_MS)

/**
 * struct ModelLine_ - the load of one line
 * @weight: its share, relative to the others
 * @rate: requests per second through all its hosts together
 * @hosts: enters through hosts 0 to @hosts - 1; 0 for all
 * @callers: callers of equal rate
 * @sticky: each caller enters through one host only, not through all
 * @flood_factor: rate of caller 0 in relation to the others; 0 and 1 for equal
 * @cost: slot time in relation to the mean service time; 0 for 1
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
 * @service_time: mean, exponential, in microseconds
 * @queue: requests that wait at one upstream before it sheds
 * @no_load_reports: upstreams don't report their load
 * @message_loss_ratio: this part of the messages between hosts is lost
 * @items: usage items in one message; 0 for 4
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
 * struct ModelStats_ - one line since LimitsModel_ResetStats()
 * @good: responses within the deadline
 * @slot_time: time that upstreams spent on good responses
 * @wasted_slot_time: time that they spent on others
 * @caller_good, @caller_offered: as good and offered, for caller 0 and for
 *     the others together
 * @late_refusals: refusals decided more than 5 ms after the arrival
 * @latency: of good responses, at the host
 * @decision: time from arrival to refusal
 * @other_latency: as latency, without caller 0
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

/** LimitsModel_Create() - a model without lines */
LimitsModel *LimitsModel_Create(const ModelOptions *options);

/** LimitsModel_Destroy() - release it */
void LimitsModel_Destroy(LimitsModel *this);

/** LimitsModel_SetLine() - add a line or change its load from now on */
void LimitsModel_SetLine(LimitsModel *this, uint32_t line,
                         const ModelLine *load);

/** LimitsModel_Run() - let time pass */
void LimitsModel_Run(LimitsModel *this, Micros duration);

/** LimitsModel_ResetStats() - clear the figures of all lines */
void LimitsModel_ResetStats(LimitsModel *this);

/** LimitsModel_Stats() - figures of one line */
const ModelStats *LimitsModel_Stats(const LimitsModel *this, uint32_t line);

/** LimitsModel_GoodputBin() - good responses in bin @i since the measurement began */
uint32_t LimitsModel_GoodputBin(const LimitsModel *this, uint32_t line,
                                uint32_t i);

/** LimitsModel_ItemsSent() - usage items sent by all hosts */
uint64_t LimitsModel_ItemsSent(const LimitsModel *this);

/** LimitsModel_Capacity() - requests of cost 1 per second */
double LimitsModel_Capacity(const LimitsModel *this);

#endif
