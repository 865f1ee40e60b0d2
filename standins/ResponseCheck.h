#ifndef AGATECRANK_STANDINS_RESPONSECHECK_H
#define AGATECRANK_STANDINS_RESPONSECHECK_H

#include <glib.h>

#include "CallPlan.h"
#include "HttpClient.h"

#define WORD_BYTES 64

/**
 * struct ResponseCheck_ - reads one answer and judges whose it is
 * @status: HTTP status, 0 before the head
 * @outcome: agatecrank-outcome, "none" without the header
 * @reason: agatecrank-reason, may be empty
 * @whole: the answer came up to its announced end
 * @own: the answer belongs to the call: its request id, and for an upstream's
 *       200 also the digest of the request body, the length asked for and
 *       every byte of the answer's body
 */
typedef struct ResponseCheck_ {
    int status;
    char outcome[WORD_BYTES];
    char reason[WORD_BYTES];
    bool whole;
    bool own;
    /* internal */
    const CallPlan *plan;
    int attempts;
    uint64_t seed;
    uint64_t received;
    bool from_upstream;
    GString *text;
} ResponseCheck;

/** ResponseCheck_Begin() - @attempts of the plan have been sent so far */
void ResponseCheck_Begin(ResponseCheck *this, const CallPlan *plan,
                         int attempts);

/** ResponseCheck_OnHead(), ResponseCheck_OnBody() - parts of the answer */
void ResponseCheck_OnHead(ResponseCheck *this, int status,
                          const HttpMessage *message);
void ResponseCheck_OnBody(ResponseCheck *this, uint64_t offset, Str piece);

/** ResponseCheck_End() - the last event; sets @whole and @own */
void ResponseCheck_End(ResponseCheck *this, ClientResult result);

/** ResponseCheck_Clear() - release what is held */
void ResponseCheck_Clear(ResponseCheck *this);

/** ResponseCheck_IsPlanId() - @id is one of the plan's first @attempts ids */
bool ResponseCheck_IsPlanId(const CallPlan *plan, int attempts, Str id);

#endif
