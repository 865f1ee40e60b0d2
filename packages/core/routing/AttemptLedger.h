#ifndef AGATECRANK_CORE_ATTEMPTLEDGER_H
#define AGATECRANK_CORE_ATTEMPTLEDGER_H

#include <stdbool.h>
#include <stdint.h>

/** enum RunEvidence - what shows that an attempt was not executed */
typedef enum RunEvidence_ {
    RUN_EVIDENCE_NONE,      /* it may have been executed */
    RUN_EVIDENCE_UNSENT,    /* nothing reached the receiver */
    RUN_EVIDENCE_STATEMENT, /* the receiver states it */
    RUN_EVIDENCE_STATUS,    /* only the status implies it: no proof */
} RunEvidence;

/**
 * struct AttemptLedger_ - what is proven of the attempts at one request
 * @begun: number of attempts so far
 * @open: number of the open attempt; 0 for none
 * @not_run: number of attempts that are proven not to have been executed
 *
 * An attempt, at an upstream or at another host, may have been executed from
 * AttemptLedger_Begin() on, until there is proof for this very attempt. All
 * zero: no attempts.
 */
typedef struct AttemptLedger_ {
    uint32_t begun;
    uint32_t open;
    uint32_t not_run;
} AttemptLedger;

/**
 * AttemptLedger_Begin() - the request is being sent; one that is still open
 *     stays without proof
 *
 * Return: the number of the attempt, from 1.
 */
uint32_t AttemptLedger_Begin(AttemptLedger *this);

/**
 * AttemptLedger_End() - an attempt has ended
 * @number: nothing is proven for another one than the open one
 *
 * Return: whether the attempt is proven not to have been executed.
 */
bool AttemptLedger_End(AttemptLedger *this, uint32_t number,
                       RunEvidence evidence);

/** AttemptLedger_Cancel() - the open attempt, if any, ends without proof */
void AttemptLedger_Cancel(AttemptLedger *this);

/** AttemptLedger_MayHaveRun() - whether any attempt lacks the proof */
bool AttemptLedger_MayHaveRun(const AttemptLedger *this);

/**
 * AttemptLedger_ImpliesNotRun() - whether a status implies that the request was
 *     not executed and never will be: 408, 421, 429 and 503
 */
bool AttemptLedger_ImpliesNotRun(int status);

/**
 * AttemptLedger_Status() - the status that may be sent
 *
 * Return: @status, or 502 if it implies what is not proven.
 */
int AttemptLedger_Status(const AttemptLedger *this, int status);

#endif
