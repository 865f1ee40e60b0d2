#ifndef AGATECRANK_CORE_BALANCERREQUEST_H
#define AGATECRANK_CORE_BALANCERREQUEST_H

#include <glib.h>

#include "Balancer.h"
#include "RetryBudget.h"

/** Most upstreams that routing avoids for one request */
#define AVOIDED_UPSTREAMS_MAX 8

/**
 * struct BalancerRequest_ - one open request, owned by its Balancer
 * @text: buffer of the strings below
 * @deadline: monotonic time at which the request ends
 * @keyed: it has an idempotency key and is not idempotent, so it needs a claim
 * @layer_above_retries: the caller retries itself, so this host doesn't
 * @body_kept: the body can be sent again
 * @admitted: it holds an admission charge that is not yet returned
 * @claim_open: Claims_OnFinished() must still be called
 * @claim_won: its claim was read back as the first for the key
 * @waiting: it is in the wait queue of its service
 * @charge: slot time charged by Admission
 * @tried: upstreams of earlier attempts
 * @upstream: of the open attempt, NAME_INDEX_NONE without one
 * @sent: time of the last dispatch
 * @status: status of the response to the open attempt, 0 before it
 * @new_connection: the next attempt must not reuse a connection
 */
typedef struct BalancerRequest_ {
    uint64_t id;
    Exchange *exchange;
    GString *text;
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
    bool claim_open;
    bool claim_won;
    bool waiting;
    Micros charge;
    Fingerprint fingerprint;
    bool fingerprinted;
    uint32_t tried[AVOIDED_UPSTREAMS_MAX];
    uint32_t tried_count;
    uint32_t upstream;
    Micros sent;
    int status;
    bool new_connection;
} BalancerRequest;

#endif
