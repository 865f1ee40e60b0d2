#ifndef AGATECRANK_CORE_ADMISSION_H
#define AGATECRANK_CORE_ADMISSION_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "Clock.h"
#include "Random.h"

/**
 * typedef Admission - admission control with weighted fair shares per service
 *
 * Capacity is counted in slot time: the time that requests spend in flight.
 * While a service is saturated, each product line (line) may use slots up to
 * its weight times the level. The level is one number per service; it falls
 * while the upstreams report queues and rises while they don't. A line whose
 * demand is below its share is never limited, so unused shares are lent to
 * other lines without coordination. The exchange between hosts only determines
 * how a line's share is divided over the hosts through which it enters, and
 * keeps the level equal on all hosts.
 */
typedef struct Admission_ Admission;

/** UsageItem.line of the item that holds the level of a service */
#define ADMISSION_LEVEL_LINE UINT32_MAX

/** Usage items of other hosts expire after this time */
#define ADMISSION_ITEM_MAX_AGE_US (3 * MICROS_PER_S)

/** enum AdmissionMode - policy; the first two are baselines for comparison */
typedef enum AdmissionMode_ {
    ADMISSION_OFF,          /* admit everything */
    ADMISSION_STATIC_SPLIT, /* fixed limit per host and line, no lending */
    ADMISSION_LOCAL,        /* adaptive shares, no exchange between hosts */
    ADMISSION_SHARED,       /* adaptive shares, exchange between hosts */
} AdmissionMode;

/**
 * struct AdmissionOptions_ - settings of one host
 * @mode: ADMISSION_SHARED in production
 * @host: dense index of this host, written into its usage items
 * @hosts: number of live hosts, at least 1
 * @static_slots: total slots of the service; only for ADMISSION_STATIC_SPLIT
 */
typedef struct AdmissionOptions_ {
    AdmissionMode mode;
    uint32_t host;
    uint32_t hosts;
    double static_slots;
} AdmissionOptions;

/** enum AdmissionDecision - decision on an offered request */
typedef enum AdmissionDecision_ {
    ADMISSION_ADMIT,
    ADMISSION_QUEUE,
    ADMISSION_REFUSE,
} AdmissionDecision;

/**
 * struct AdmissionRequest_ - one request of a caller
 * @caller: hash of the authenticated caller
 * @request_id: identifies the request in Admission_Next() and
 *   Admission_Cancel()
 * @deadline: absolute time in microseconds
 * @cost: expected work relative to an ordinary request of the line, 1.0 if
 *   unknown; the actual cost is learned from Admission_OnFinished()
 */
typedef struct AdmissionRequest_ {
    uint32_t service;
    uint32_t line;
    uint64_t caller;
    uint64_t request_id;
    Micros deadline;
    double cost;
} AdmissionRequest;

/**
 * struct AdmissionVerdict_ - the decision on one request
 * @request_id: as in the request
 * @charge: slot time charged so far, in microseconds; to be passed to
 *   Admission_OnFinished()
 * @wait: expected time in the queue, for ADMISSION_QUEUE
 * @retry_after: time after which a refused caller may retry, in microseconds
 * @reason: stable reason code: "share", "caller-share", "deadline",
 *   "queue-full", "expired" or "unknown-line"; empty if admitted or queued
 */
typedef struct AdmissionVerdict_ {
    AdmissionDecision decision;
    uint64_t request_id;
    Micros charge;
    Micros wait;
    Micros retry_after;
    const char *reason;
} AdmissionVerdict;

/** enum AdmissionOutcome - result of an admitted request */
typedef enum AdmissionOutcome_ {
    ADMISSION_SERVED,   /* a complete response was received */
    ADMISSION_SHED,     /* the upstream refused it and proved that it did
                         * not run */
    ADMISSION_FAILED,   /* error, broken connection or deadline exceeded */
    ADMISSION_NOT_SENT, /* never sent to an upstream; the charge is refunded */
} AdmissionOutcome;

/**
 * struct AdmissionResult_ - end of an admitted request
 * @cost: as in the request
 * @charge: as in the verdict
 * @in_flight_time: time in flight to the upstream, in microseconds; if the
 *   network round-trip time is known, it is subtracted for a more accurate
 *   estimate
 */
typedef struct AdmissionResult_ {
    uint32_t service;
    uint32_t line;
    uint64_t caller;
    double cost;
    Micros charge;
    Micros in_flight_time;
    AdmissionOutcome outcome;
} AdmissionResult;

/**
 * struct UsageItem_ - demand of one line on one host, sent to the peers
 * @line: line, or ADMISSION_LEVEL_LINE for the level of the service
 * @usage: demand in slots (slot time per unit of time), or the level
 * @effective: capped demand: the demand with each caller capped at the level
 *   that the hosts have in common
 * @caller_level: most slots that one caller of the line may hold on the host
 * @age: time since the measurement, in microseconds
 */
typedef struct UsageItem_ {
    uint32_t service;
    uint32_t line;
    uint32_t host;
    float usage;
    float effective;
    float caller_level;
    Micros age;
} UsageItem;

/**
 * struct AdmissionView_ - state of one line, for operators
 * @saturated: the service is saturated and shares are enforced
 * @limited: the demand of this line exceeds its share
 * @level: slots per unit of weight; the weights of a service sum up to 1
 * @demand: slots demanded by the line on all known hosts
 * @local_demand: slots demanded by the line on this host
 * @allowance: slots that the line may hold through this host
 * @queued: requests waiting on this host
 */
typedef struct AdmissionView_ {
    bool saturated;
    bool limited;
    double level;
    double demand;
    double local_demand;
    double allowance;
    uint32_t queued;
    uint64_t admitted;
    uint64_t refused;
} AdmissionView;

/**
 * Admission_Create() - create an instance without lines
 * @clock, @random: borrowed
 */
Admission *Admission_Create(const AdmissionOptions *options,
                            const Clock *clock, Random *random);

/** Admission_Destroy() - free the instance and drop its queued requests */
void Admission_Destroy(Admission *this);

/** Admission_SetHosts() - set the number of live hosts, at least 1 */
void Admission_SetHosts(Admission *this, uint32_t hosts);

/**
 * Admission_SetLine() - give @line a share of @service
 * @weight: positive; relative to the other lines of the service
 *
 * Return: 0, or ERR_INVALID if the weight is not a positive finite number or
 * the service or line number is out of range.
 */
int Admission_SetLine(Admission *this, uint32_t service, uint32_t line,
                      double weight);

/** Admission_RemoveLine() - remove @line; its requests must have ended */
void Admission_RemoveLine(Admission *this, uint32_t service, uint32_t line);

/**
 * Admission_Offer() - decide immediately on a request
 *
 * A request of an unknown service or line is refused with the reason
 * "unknown-line". No state is kept for a refused request.
 */
AdmissionVerdict Admission_Offer(Admission *this,
                                 const AdmissionRequest *request);

/**
 * Admission_Next() - next queued request to admit or to expire
 * @verdict: ADMISSION_ADMIT, or ADMISSION_REFUSE if the request expired
 *
 * Return: false if no request is due.
 */
bool Admission_Next(Admission *this, uint32_t service,
                    AdmissionVerdict *verdict);

/**
 * Admission_NextTime() - time of the next call of Admission_Next()
 *
 * Return: absolute time in microseconds, or -1 if no request is queued.
 */
Micros Admission_NextTime(Admission *this, uint32_t service);

/**
 * Admission_Cancel() - drop a queued request whose caller disconnected
 *
 * Return: false if the request is not queued.
 */
bool Admission_Cancel(Admission *this, uint32_t service, uint32_t line,
                      uint64_t caller, uint64_t request_id);

/**
 * Admission_OnFinished() - an admitted request ended
 *
 * To be called once for each admitted request, with the charge of its verdict;
 * the difference from the slot time actually used is settled. An attempt that
 * the upstream shed and that is retried is reported before, with a charge of
 * 0.
 */
void Admission_OnFinished(Admission *this, const AdmissionResult *result);

/**
 * Admission_OnLoad() - an upstream reported its load in a response
 * @outstanding: requests that it runs or queues, without the one that it
 *   answers
 * @slots: requests that it can run at once
 *
 * Without load reports the load is estimated from the increase of the latency
 * over its baseline.
 */
void Admission_OnLoad(Admission *this, uint32_t service, uint32_t outstanding,
                      uint32_t slots);

/**
 * Admission_OnPeerUsage() - item of another host; expired items are ignored
 */
void Admission_OnPeerUsage(Admission *this, const UsageItem *item);

/**
 * Admission_LocalUsage() - usage items for the peers, of loaded services only
 *
 * If there are more than @max items, successive calls rotate over the
 * services.
 *
 * Return: number of items written.
 */
size_t Admission_LocalUsage(Admission *this, UsageItem *items, size_t max);

/**
 * Admission_View() - copy the state of one line
 *
 * Return: false for an unknown line.
 */
bool Admission_View(Admission *this, uint32_t service, uint32_t line,
                    AdmissionView *view);

/** Admission_Bytes() - memory used, in bytes */
size_t Admission_Bytes(const Admission *this);

#endif
