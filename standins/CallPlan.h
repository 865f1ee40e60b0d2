#ifndef AGATECRANK_STANDINS_CALLPLAN_H
#define AGATECRANK_STANDINS_CALLPLAN_H

#include "BodyDigest.h"
#include "CallerSettings.h"
#include "Clock.h"
#include "Random.h"

#define CALL_ID_BYTES 96
#define CALL_KEY_BYTES 40

/**
 * struct CallPlan_ - content of one call; the same for all its attempts
 * @id: request id without the suffix for the attempt
 * @key: idempotency key, empty for none
 * @sha256: digest of the request body in hex
 * @method: string literal
 * @marker: text at the start of the request body, empty for none; borrowed
 * @seed: seed of the request body, see Pattern_Fill()
 * @body_bytes: length of the request body
 * @response_bytes: requested length of the response body
 * @idempotent: the method may be retried without a key
 * @cancels: the caller closes the connection before the response
 */
typedef struct CallPlan_ {
    char id[CALL_ID_BYTES];
    char key[CALL_KEY_BYTES];
    char sha256[BODY_DIGEST_HEX_BYTES];
    const char *method;
    const char *marker;
    uint64_t seed;
    uint64_t body_bytes;
    uint64_t response_bytes;
    bool idempotent;
    bool cancels;
} CallPlan;

/** typedef CallPlanner - random sequence of calls, reproducible by its seed */
typedef struct CallPlanner_ CallPlanner;

/** CallPlanner_Create() - NULL if the setting "methods" is malformed */
CallPlanner *CallPlanner_Create(const CallerSettings *settings,
                                const Clock *clock);

/** CallPlanner_Destroy() - free the planner */
void CallPlanner_Destroy(CallPlanner *this);

/** CallPlanner_NextInterval() - random time to the next arrival (Poisson) */
Micros CallPlanner_NextInterval(CallPlanner *this);

/** CallPlanner_Next() - draw the next call */
CallPlan CallPlanner_Next(CallPlanner *this);

/** CallPlan_WriteBody() - write request body bytes from @offset to @out */
void CallPlan_WriteBody(const CallPlan *this, uint64_t offset, char *out,
                        size_t length);

#endif
