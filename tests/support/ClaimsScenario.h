#ifndef AGATECRANK_TESTS_CLAIMSSCENARIO_H
#define AGATECRANK_TESTS_CLAIMSSCENARIO_H

#include "ClaimsSimulation.h"

/** struct ScenarioResult_ - counts and violations of one seeded run */
typedef struct ScenarioResult_ {
    OutcomeViolations violations;
    ClaimsSimulationCounters counters;
    uint64_t runs;
    uint64_t answers[3]; /* by HistoryOutcome */
} ScenarioResult;

/**
 * ClaimsScenario_Run() - simulate random requests and faults
 * @seed: determines the run
 * @fault: injected into every host
 */
ScenarioResult ClaimsScenario_Run(uint64_t seed, ClaimsFault fault);

/** ClaimsScenario_Add() - add the result of one run to a total */
void ClaimsScenario_Add(ScenarioResult *total, const ScenarioResult *one);

#endif
