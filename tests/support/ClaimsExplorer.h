#ifndef AGATECRANK_TESTS_CLAIMSEXPLORER_H
#define AGATECRANK_TESTS_CLAIMSEXPLORER_H

#include "Claims.h"
#include "OutcomeHistory.h"

/**
 * struct ExplorationBounds_ - bounds of one exhaustive exploration
 * @hosts: number of hosts, up to 3
 * @keys: number of keys, up to 2
 * @issued: keys are issued by host 0 instead of made by callers
 * @sends: requests of all callers together, through any host at any time
 * @bodies: number of different bodies that one key may be sent with
 * @records: records that the log accepts
 * @crashes: crashes of hosts, which restart as a new incarnation
 * @duplicates: appends and messages that take effect and stay in flight
 * @expiries: records that the log drops, oldest first
 * @timeouts: number of times that a host's clock passes all deadlines
 * @remembered: keys that a host remembers
 * @states: limit of distinct states; a complete exploration ends below it
 * @fault: injected into every host
 */
typedef struct ExplorationBounds_ {
    uint32_t hosts, keys;
    bool issued;
    uint32_t sends, bodies, records, crashes, duplicates, expiries, timeouts;
    size_t remembered;
    uint64_t states;
    ClaimsFault fault;
} ExplorationBounds;

/**
 * struct ExplorationResult_ - result of an exploration
 * @states: distinct states reached
 * @steps: steps taken between them
 * @depth: number of steps of the longest path
 * @complete: all states within the bounds were reached
 * @violations: of the first state with a violation, which ends the exploration
 */
typedef struct ExplorationResult_ {
    uint64_t states;
    uint64_t steps;
    uint32_t depth;
    bool complete;
    OutcomeViolations violations;
} ExplorationResult;

/**
 * ClaimsExplorer_Run() - visit every state within the bounds, breadth first
 *
 * The hosts are real Claims objects. One step is one delivery, write, read,
 * send, end of a request, crash or timeout. Lost messages, lost appends and
 * pauses of any length are covered by paths that omit or delay a step.
 */
ExplorationResult ClaimsExplorer_Run(const ExplorationBounds *bounds);

#endif
