#ifndef AGATECRANK_STANDINS_RESPONSECHECK_H
#define AGATECRANK_STANDINS_RESPONSECHECK_H

#include <glib.h>

#include "CallPlan.h"
#include "HttpClient.h"

#define HEADER_VALUE_MAX_BYTES 64

/**
 * struct ResponseCheck_ - checks that one response belongs to its call
 * @status: HTTP status, 0 until the head was received
 * @outcome: agatecrank-outcome, "none" without the header
 * @reason: agatecrank-reason, may be empty
 * @complete: the whole response was received
 * @matches_call: false if the request id is not one of the call's. A response
 *                of an upstream must also have the digest of the request
 *                body and the expected body bytes, and with status 200 the
 *                requested length. Only an upstream may respond with 200.
 * @plan: call that the response should belong to
 * @attempts: attempts of the call that were sent so far
 * @body_seed: seed of the expected body, see Pattern_Seed()
 * @received: body bytes so far
 * @from_upstream: an upstream responded, not the balancer
 * @local_body: start of the body of a response of the balancer
 */
typedef struct ResponseCheck_ {
    int status;
    char outcome[HEADER_VALUE_MAX_BYTES];
    char reason[HEADER_VALUE_MAX_BYTES];
    bool complete;
    bool matches_call;
    const CallPlan *plan;
    int attempts;
    uint64_t body_seed;
    uint64_t received;
    bool from_upstream;
    GString *local_body;
} ResponseCheck;

/** ResponseCheck_Begin() - start with attempt number @attempts of @plan */
void ResponseCheck_Begin(ResponseCheck *this, const CallPlan *plan,
                         int attempts);

/** ResponseCheck_OnHead(), ResponseCheck_OnBody() - check a received part */
void ResponseCheck_OnHead(ResponseCheck *this, int status,
                          const HttpMessage *message);
void ResponseCheck_OnBody(ResponseCheck *this, uint64_t offset, Str piece);

/** ResponseCheck_End() - finish; @complete and @matches_call are final */
void ResponseCheck_End(ResponseCheck *this, ClientResult result);

/** ResponseCheck_Clear() - free the allocated fields */
void ResponseCheck_Clear(ResponseCheck *this);

/** ResponseCheck_IsPlanId() - @id is that of one of the first @attempts */
bool ResponseCheck_IsPlanId(const CallPlan *plan, int attempts, Str id);

#endif
