#ifndef AGATECRANK_CORE_ADMISSION_H
#define AGATECRANK_CORE_ADMISSION_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "Clock.h"
#include "Random.h"

/**
 * typedef Admission - weighted shares of each service's capacity
 *
 * Capacity is counted in slot time: the time that requests spend in flight.
 * While a service is short, every line may hold slot time at the rate
 * weight x level, where the level is one number per service that falls while
 * the upstreams report queues and rises while they don't. Lines that need
 * less are never limited, so unused shares are lent without any exchange; the
 * exchange between hosts only tells how a line's share divides over the hosts
 * that it enters through, and keeps the level equal on all hosts.
 */
typedef struct Admission_ Admission;

/** UsageItem line of the item that carries a service's level */
#define ADMISSION_LEVEL_LINE UINT32_MAX

/** Items from other hosts count for no longer than this */
#define ADMISSION_ITEM_MAX_AGE_US (3 * MICROS_PER_S)

/** enum AdmissionMode - what is enforced; the first two are baselines */
typedef enum AdmissionMode_ {
    ADMISSION_OFF,          /* everything is admitted */
    ADMISSION_STATIC_SPLIT, /* fixed limit per host and line, no lending */
    ADMISSION_LOCAL,        /* adaptive, without exchange between hosts */
    ADMISSION_SHARED,       /* adaptive, with exchange between hosts */
} AdmissionMode;

/**
 * struct AdmissionOptions_ - settings of one host
 * @mode: ADMISSION_SHARED in production
 * @host: dense index of this host, stamped on its usage items
 * @hosts: number of live hosts, at least 1
 * @static_slots: slots of the service, read by ADMISSION_STATIC_SPLIT only
 */
typedef struct AdmissionOptions_ {
    AdmissionMode mode;
    uint32_t host;
    uint32_t hosts;
    double static_slots;
} AdmissionOptions;

/** enum AdmissionDecision - what becomes of an offered request */
typedef enum AdmissionDecision_ {
    ADMISSION_ADMIT,
    ADMISSION_QUEUE,
    ADMISSION_REFUSE,
} AdmissionDecision;

/**
 * struct AdmissionRequest_ - one request of a caller
 * @caller: hash of the authenticated caller
 * @request_id: names the request in Admission_Next() and _Cancel()
 * @deadline: absolute time in microseconds
 * @cost: expected work in relation to the line's ordinary request, 1.0 if
 *        unknown; the real cost is learnt from Admission_OnFinish()
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
 * @request_id: as given in the request
 * @charge: slot time charged so far; handed back to Admission_OnFinish()
 * @wait: expected time in the queue, for ADMISSION_QUEUE
 * @retry_after: when a refused caller may come back, in microseconds
 * @reason: stable short word: "share", "caller-share", "deadline",
 *          "queue-full", "expired"; empty if admitted
 */
typedef struct AdmissionVerdict_ {
    AdmissionDecision decision;
    uint64_t request_id;
    Micros charge;
    Micros wait;
    Micros retry_after;
    const char *reason;
} AdmissionVerdict;

/** enum AdmissionOutcome - how an admitted request ended */
typedef enum AdmissionOutcome_ {
    ADMISSION_SERVED,   /* a complete response came */
    ADMISSION_SHED,     /* the upstream refused it with the not-run proof */
    ADMISSION_FAILED,   /* error, broken connection or deadline */
    ADMISSION_NOT_SENT, /* never sent upstream; the charge is returned */
} AdmissionOutcome;

/**
 * struct AdmissionResult_ - end of an admitted request
 * @cost: as in the request
 * @charge: from the verdict
 * @busy: time in flight upstream, in microseconds; without the network's
 *        round trip if that is known, which makes costs more exact
 */
typedef struct AdmissionResult_ {
    uint32_t service;
    uint32_t line;
    uint64_t caller;
    double cost;
    Micros charge;
    Micros busy;
    AdmissionOutcome outcome;
} AdmissionResult;

/**
 * struct UsageItem_ - one line's demand on one host, for the peers
 * @line: line, or ADMISSION_LEVEL_LINE for the level of the service
 * @usage: demand in slots (slot time per time), or the level
 * @effective: demand with each caller counted up to @caller_level
 * @caller_level: most slots that one caller of the line may hold on a host
 * @age: time since it was measured, in microseconds
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
 * struct AdmissionView_ - what is known about one line, for operators
 * @saturated: the service is short and shares are enforced
 * @limited: this line demands more than its share now
 * @level: slots per unit of weight, weights of a service sum up to 1
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

/** Admission_Create() - @clock and @random are borrowed */
Admission *Admission_Create(const AdmissionOptions *options,
                            const Clock *clock, Random *random);

/** Admission_Destroy() - release everything; queued requests are dropped */
void Admission_Destroy(Admission *this);

/** Admission_SetHosts() - number of live hosts, at least 1 */
void Admission_SetHosts(Admission *this, uint32_t hosts);

/**
 * Admission_SetLine() - give @line a share of @service
 * @weight: positive; relative to the other lines of the service
 *
 * Return: 0, or ERR_INVALID for a weight that is not a positive number.
 */
int Admission_SetLine(Admission *this, uint32_t service, uint32_t line,
                      double weight);

/** Admission_RemoveLine() - forget @line; its requests must have ended */
void Admission_RemoveLine(Admission *this, uint32_t service, uint32_t line);

/**
 * Admission_Offer() - decide on a request at once
 *
 * An unknown service or line is refused with the reason "unknown-line".
 * Nothing is kept for a refused request.
 */
AdmissionVerdict Admission_Offer(Admission *this,
                                 const AdmissionRequest *request);

/**
 * Admission_Next() - next queued request that may go or has expired
 * @verdict: ADMISSION_ADMIT, or ADMISSION_REFUSE for one that expired
 *
 * Return: false if none is due.
 */
bool Admission_Next(Admission *this, uint32_t service,
                    AdmissionVerdict *verdict);

/** Admission_NextTime() - when to call Admission_Next(); -1 if none waits */
Micros Admission_NextTime(Admission *this, uint32_t service);

/**
 * Admission_Cancel() - drop a queued request whose caller has gone
 *
 * Return: false if it is not queued.
 */
bool Admission_Cancel(Admission *this, uint32_t service, uint32_t line,
                      uint64_t caller, uint64_t request_id);

/**
 * Admission_OnFinish() - an admitted request ended
 *
 * Call it once for each admitted request with the charge of its verdict; the
 * difference to what the request took is settled. An attempt that was shed
 * and is sent again is reported with a charge of 0 before.
 */
void Admission_OnFinish(Admission *this, const AdmissionResult *result);

/**
 * Admission_OnLoad() - in-band load report of an upstream
 * @held: requests that it runs or queues, without the one it answers
 * @slots: its slots
 *
 * Without reports the latency above the lowest seen stands in.
 */
void Admission_OnLoad(Admission *this, uint32_t service, uint32_t held,
                      uint32_t slots);

/** Admission_OnPeerUsage() - an item of another host; old ones are ignored */
void Admission_OnPeerUsage(Admission *this, const UsageItem *item);

/**
 * Admission_LocalUsage() - items for the peers, of short services only
 *
 * When there are more than @max, the calls take turns over the services.
 *
 * Return: number of items written.
 */
size_t Admission_LocalUsage(Admission *this, UsageItem *items, size_t max);

/** Admission_View() - copy what is known; false for an unknown line */
bool Admission_View(Admission *this, uint32_t service, uint32_t line,
                    AdmissionView *view);

/** Admission_Bytes() - memory held, in bytes */
size_t Admission_Bytes(const Admission *this);

#endif
