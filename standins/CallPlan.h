#ifndef AGATECRANK_STANDINS_CALLPLAN_H
#define AGATECRANK_STANDINS_CALLPLAN_H

#include "BodyDigest.h"
#include "CallerSettings.h"
#include "Clock.h"
#include "Random.h"

#define CALL_ID_BYTES 96
#define CALL_KEY_BYTES 40

/**
 * struct CallPlan_ - what one call sends; the same for all its attempts
 * @id: request id without the attempt
 * @key: idempotency key, empty for none
 * @sha256: of the request body
 * @idempotent: may be repeated without a key
 */
typedef struct CallPlan_ {
    char id[CALL_ID_BYTES];
    char key[CALL_KEY_BYTES];
    char sha256[BODY_DIGEST_HEX];
    const char *method;
    const char *marker;
    uint64_t seed;
    uint64_t body_bytes;
    uint64_t answer_bytes;
    bool idempotent;
    bool cancels;
} CallPlan;

/** typedef CallPlanner - draws plans from a seed */
typedef struct CallPlanner_ CallPlanner;

/** CallPlanner_Create() - NULL if the method mix is malformed */
CallPlanner *CallPlanner_Create(const CallerSettings *settings,
                                const Clock *clock);

/** CallPlanner_Destroy() - release the planner */
void CallPlanner_Destroy(CallPlanner *this);

/** CallPlanner_Gap() - time to the next arrival */
Micros CallPlanner_Gap(CallPlanner *this);

/** CallPlanner_Next() - plan of the next call */
CallPlan CallPlanner_Next(CallPlanner *this);

/** CallPlan_Fill() - bytes of the request body from @offset on */
void CallPlan_Fill(const CallPlan *this, uint64_t offset, char *out,
                   size_t length);

#endif
