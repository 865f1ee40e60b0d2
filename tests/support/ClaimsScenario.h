#ifndef AGATECRANK_TESTS_CLAIMSSCENARIO_H
#define AGATECRANK_TESTS_CLAIMSSCENARIO_H

#include "ClaimsSimulation.h"

/** struct ScenarioResult_ - what one seeded run did and broke */
typedef struct ScenarioResult_ {
    OutcomeViolations violations;
    ClaimsSimulationCounters counters;
    uint64_t runs;
    uint64_t answers[3]; /* by HistoryOutcome */
} ScenarioResult;

/**
 * ClaimsScenario_Run() - one random history of callers and faults
 * @seed: everything in the run depends on it
 * @fault: planted in every host
 */
ScenarioResult ClaimsScenario_Run(uint64_t seed, ClaimsFault fault);

/** ClaimsScenario_Add() - add the result of one run to a total */
void ClaimsScenario_Add(ScenarioResult *total, const ScenarioResult *one);

#endif
