#ifndef AGATECRANK_TESTS_CLAIMSWORLD_H
#define AGATECRANK_TESTS_CLAIMSWORLD_H

#include "Claims.h"
#include "Histogram.h"
#include "Journal.h"

/**
 * typedef ClaimsWorld - several Claims cores with a fake log, a network,
 * upstreams and callers, driven by one event queue and one seed
 */
typedef struct ClaimsWorld_ ClaimsWorld;

#define WORLD_HOSTS_MAX 32
#define WORLD_PARTITIONS_MAX 2

/**
 * struct WorldOptions_ - sizes, delays and fault rates
 * @claims: settings of each host; host and incarnation are filled in
 * @net_min, @net_max: delay of a message between hosts
 * @log_min, @log_max: one-way delay to the log service
 * @poll: longest wait of a read at the log service
 * @retention: age at which records expire; 0 for never
 * @service_min, @service_max: time that an upstream takes
 * @lose_message: share of messages lost; @repeat_message: sent twice
 * @lose_append: share of appends that never reach the log
 * @lose_result: share of append results lost after the write
 * @lose_read: share of read results lost
 * @late: share of lost appends and of second copies of messages that
 *        arrive up to @late_max later
 * @wrong_hosts: share of hosts whose list of live hosts is incomplete
 * @cancel: share of callers that go away before their deadline
 * @upstream_refuses: share of requests that an upstream proves not run
 * @upstream_breaks: share of responses lost after the request ran
 * @pause: chance of a pause of up to @pause_max before each action
 * @die: chance that the host dies before an action; replaced later
 */
typedef struct WorldOptions_ {
    uint64_t seed;
    uint32_t hosts;
    ClaimsOptions claims;
    Micros net_min, net_max;
    Micros log_min, log_max;
    Micros poll;
    Micros retention;
    Micros service_min, service_max;
    double lose_message, repeat_message;
    double lose_append, lose_result, lose_read;
    double late, wrong_hosts;
    double cancel;
    double upstream_refuses, upstream_breaks;
    double pause, die;
    Micros pause_max;
    Micros replace_after;
    Micros late_max;
} WorldOptions;

/**
 * struct WorldRequest_ - a request of a caller
 * @identity: of the scoped key, for the journal
 * @caller: 0 or 1; the same key text of two callers is two keys
 * @key: text of the key, zero-terminated
 * @digest: of the request, may be the same for both callers
 */
typedef struct WorldRequest_ {
    uint64_t identity;
    uint32_t caller;
    char key[IDEMPOTENCY_KEY_MAX + 1];
    uint64_t digest;
    Micros deadline; /* from the time of sending */
} WorldRequest;

/** struct WorldCounters_ - totals of all hosts, living and dead */
typedef struct WorldCounters_ {
    uint64_t appends, reads, messages, deaths, pauses, log_appends_failed;
    uint64_t sent, dispatched, gaps, grants, markers, direct_appends;
    uint64_t collector_appends, abandoned, answered;
} WorldCounters;

ClaimsWorld *ClaimsWorld_Create(const WorldOptions *options);
void ClaimsWorld_Destroy(ClaimsWorld *this);

/** ClaimsWorld_Send() - a caller sends a request to a host after @delay */
void ClaimsWorld_Send(ClaimsWorld *this, Micros delay, uint32_t host,
                      const WorldRequest *request);

/** ClaimsWorld_IssueKey() - key from a host; false if the host is dead */
bool ClaimsWorld_IssueKey(ClaimsWorld *this, uint32_t host,
                          WorldRequest *request);

/** ClaimsWorld_MakeKey() - caller's key whose time is @age in the past */
void ClaimsWorld_MakeKey(ClaimsWorld *this, Micros age, WorldRequest *request);

/** ClaimsWorld_SetOutage() - the log refuses everything after @delay */
void ClaimsWorld_SetOutage(ClaimsWorld *this, Micros delay, bool outage);

/** ClaimsWorld_Kill() - a host dies after @delay, replaced as set */
void ClaimsWorld_Kill(ClaimsWorld *this, Micros delay, uint32_t host);

/** ClaimsWorld_Pause() - a host stands still from @delay for @duration */
void ClaimsWorld_Pause(ClaimsWorld *this, Micros delay, uint32_t host,
                       Micros duration);

/** ClaimsWorld_Run() - let @duration pass */
void ClaimsWorld_Run(ClaimsWorld *this, Micros duration);

const Journal *ClaimsWorld_Journal(const ClaimsWorld *this);
WorldCounters ClaimsWorld_Counters(const ClaimsWorld *this);

/** ClaimsWorld_Added() - time from arrival at a host to its dispatch */
const Histogram *ClaimsWorld_Added(const ClaimsWorld *this);

/** ClaimsWorld_ClearAdded() - start the measurement anew */
void ClaimsWorld_ClearAdded(ClaimsWorld *this);

/** ClaimsWorld_Host() - NULL while the host is dead */
const Claims *ClaimsWorld_Host(const ClaimsWorld *this, uint32_t host);

#endif
