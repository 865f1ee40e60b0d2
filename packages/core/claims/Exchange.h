#ifndef AGATECRANK_CORE_EXCHANGE_H
#define AGATECRANK_CORE_EXCHANGE_H

#include <stdbool.h>
#include <stdint.h>

#include "Clock.h"

/**
 * struct Exchange_ - what is known about the run of one request
 *
 * It alone decides the outcome word. A request counts as possibly run from
 * the first byte given to an upstream until the upstream proves otherwise.
 */
typedef struct Exchange_ Exchange;

/** enum Outcome_ - values of the agatecrank-outcome header */
typedef enum Outcome_ {
    OUTCOME_NOT_RUN, /* no upstream ran it and none will */
    OUTCOME_RAN,     /* the answer is an upstream's own */
    OUTCOME_UNKNOWN, /* an upstream may have run it */
} Outcome;

/** enum ExchangePhase_ - progress of a request, in this order */
typedef enum ExchangePhase_ {
    EXCHANGE_RECEIVED,
    EXCHANGE_QUEUED,
    EXCHANGE_CLAIMING,
    EXCHANGE_DISPATCHED,
    EXCHANGE_RELAYING, /* header fields of the answer went to the caller */
    EXCHANGE_DONE,
} ExchangePhase;

/** enum AttemptEnd_ - how a request to one upstream ended */
typedef enum AttemptEnd_ {
    ATTEMPT_END_COMPLETE,          /* the whole answer came */
    ATTEMPT_END_UNSENT,            /* no byte was given to the upstream */
    ATTEMPT_END_REFUSED,           /* 503 with the proof that it did not run */
    ATTEMPT_END_CONNECTION_CLOSED, /* the connection ended early */
    ATTEMPT_END_FRAMING,           /* the answer has a wrong length */
    ATTEMPT_END_DEADLINE,          /* no whole answer in time */
    ATTEMPT_END_CANCELLED,         /* the caller went away */
} AttemptEnd;

/** enum ExchangeStep_ - what to do after an attempt ended */
typedef enum ExchangeStep_ {
    EXCHANGE_STEP_FINISH, /* the caller has its whole answer */
    EXCHANGE_STEP_ANSWER, /* answer for the upstream, outcome as decided */
    EXCHANGE_STEP_ABORT,  /* part of an answer is out: break the connection */
    EXCHANGE_STEP_DROP,   /* nobody waits */
} ExchangeStep;

/** Outcome_Name() - not-run, ran or unknown */
const char *Outcome_Name(Outcome outcome);

/** Exchange_Create() - a request that was received and nothing else */
Exchange *Exchange_Create(void);

/** Exchange_Destroy() - release it */
void Exchange_Destroy(Exchange *this);

/** Exchange_Phase() - current phase */
ExchangePhase Exchange_Phase(const Exchange *this);

/** Exchange_SetPhase() - QUEUED or CLAIMING, before the first dispatch */
void Exchange_SetPhase(Exchange *this, ExchangePhase phase);

/** Exchange_OnDispatched() - the request is handed to an upstream */
void Exchange_OnDispatched(Exchange *this);

/** Exchange_OnRelayed() - header fields of an answer went to the caller */
void Exchange_OnRelayed(Exchange *this, int status);

/**
 * Exchange_OnAttemptEnd() - an attempt ended and no further one will be made
 *
 * Return: what the caller gets.
 */
ExchangeStep Exchange_OnAttemptEnd(Exchange *this, AttemptEnd end);

/**
 * Exchange_OnRetried() - an attempt ended and a further one will be made
 */
void Exchange_OnRetried(Exchange *this, AttemptEnd end);

/** Exchange_OnAnswered() - the balancer itself answered */
void Exchange_OnAnswered(Exchange *this);

/** Exchange_Attempts() - number of attempts so far */
uint32_t Exchange_Attempts(const Exchange *this);

/** Exchange_MayHaveRun() - some upstream may have run the request */
bool Exchange_MayHaveRun(const Exchange *this);

/**
 * Exchange_Outcome() - outcome word for an answer given now
 *
 * A 503 of an upstream without the proof says nothing, so it is unknown.
 */
Outcome Exchange_Outcome(const Exchange *this);

#endif
