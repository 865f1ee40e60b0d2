#ifndef AGATECRANK_CORE_BALANCERREQUEST_H
#define AGATECRANK_CORE_BALANCERREQUEST_H

#include <glib.h>

#include "Balancer.h"
#include "RetryBudget.h"

#define ATTEMPTS_LIMIT 8

/**
 * struct BalancerRequest_ - one open request, owned by its Balancer
 * @admitted: it holds an admission charge
 * @claimed: Claims_OnFinished() is owed
 * @claim_won: its claim was read back as the first for the key
 * @sent: time of the last dispatch
 * @tried: upstreams of earlier attempts
 */
typedef struct BalancerRequest_ {
    uint64_t id;
    Exchange *exchange;
    GString *text; /* all names below point into it */
    Str request_id;
    Str method;
    Str path;
    Str key;
    Str caller;
    Str line_name;
    Str selector;
    uint32_t service;
    uint32_t line;
    uint64_t caller_hash;
    uint64_t digest;
    Micros received;
    Micros deadline;
    bool idempotent;
    bool keyed;
    bool layer_above_retries;
    bool body_kept;
    bool admitted;
    bool claimed;
    bool claim_won;
    bool waiting; /* in the wait list of its service */
    Micros charge;
    Fingerprint fingerprint;
    bool fingerprinted;
    uint32_t tried[ATTEMPTS_LIMIT];
    uint32_t tried_count;
    uint32_t upstream; /* of the open attempt, NAME_INDEX_NONE without one */
    Micros sent;
    int status;
    bool new_connection;
} BalancerRequest;

#endif
