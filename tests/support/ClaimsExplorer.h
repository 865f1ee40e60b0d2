#ifndef AGATECRANK_TESTS_CLAIMSEXPLORER_H
#define AGATECRANK_TESTS_CLAIMSEXPLORER_H

#include "Claims.h"
#include "OutcomeHistory.h"

/**
 * struct ExplorationBounds_ - bounds of one exhaustive walk
 * @hosts: cores, up to 3
 * @keys: keys, up to 2
 * @issued: keys are issued by host 0 instead of made by callers
 * @sends: requests of all callers together, through any host at any moment
 * @bodies: different bodies that one key may be sent with
 * @records: records that the log takes
 * @crashes: hosts that die and are replaced by a new incarnation
 * @duplicates: appends and messages that take effect and stay on their way
 * @expiries: records that the log drops, oldest first
 * @timeouts: times that a host's clock passes all deadlines
 * @remembered: keys that a host remembers
 * @states: limit; the walk is complete if it ends below
 * @fault: planted in every host
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
 * struct ExplorationResult_ - outcome of a walk
 * @states: distinct states reached
 * @steps: steps taken between them
 * @depth: steps of the longest path
 * @complete: all states within the bounds were reached
 * @violations: of the first state with a violation; the walk ends there
 */
typedef struct ExplorationResult_ {
    uint64_t states;
    uint64_t steps;
    uint32_t depth;
    bool complete;
    OutcomeViolations violations;
} ExplorationResult;

/**
 * ClaimsExplorer_Run() - visit every state of real cores within the bounds
 *
 * One step is one delivery, write, read, send, finish, death or timeout.
 * A lost message, a lost append and a pause of any length are paths on
 * which a step that could be taken is not taken, or is taken late.
 */
ExplorationResult ClaimsExplorer_Run(const ExplorationBounds *bounds);

#endif
