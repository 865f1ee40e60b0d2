#ifndef AGATECRANK_CORE_WORKESTIMATE_H
#define AGATECRANK_CORE_WORKESTIMATE_H

#include "Clock.h"
#include "Str.h"

/**
 * typedef WorkEstimate - processing times of requests by kind, as learnt from
 *     responses
 *
 * A host may see a request of a kind every few seconds, and one request in
 * thirty may take many times as long, so single samples have little weight.
 */
typedef struct WorkEstimate_ WorkEstimate;

/** WorkEstimate_Create() - nothing is known */
WorkEstimate *WorkEstimate_Create(void);

/** WorkEstimate_Destroy() - NULL is allowed */
void WorkEstimate_Destroy(WorkEstimate *this);

/**
 * WorkEstimate_Learn() - a request was processed
 * @kind: for example the name of its route
 * @time: from sending it to its response
 */
void WorkEstimate_Learn(WorkEstimate *this, Str kind, Micros time);

/** WorkEstimate_Expected() - expected time; 0 with fewer than 8 samples */
Micros WorkEstimate_Expected(const WorkEstimate *this, Str kind);

#endif
