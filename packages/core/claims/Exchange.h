#ifndef AGATECRANK_CORE_EXCHANGE_H
#define AGATECRANK_CORE_EXCHANGE_H

#include <stdbool.h>
#include <stdint.h>

#include "Clock.h"

/**
 * typedef Exchange - progress and outcome of one request
 *
 * Only this object derives the outcome that is sent to the caller. A request
 * may have run from the first byte sent to an upstream until the upstream
 * proves that it did not.
 */
typedef struct Exchange_ Exchange;

/** enum Outcome_ - values of the agatecrank-outcome header */
typedef enum Outcome_ {
    OUTCOME_NOT_RUN, /* no upstream ran it and none will */
    OUTCOME_RAN,     /* the response is an upstream's own */
    OUTCOME_UNKNOWN, /* an upstream may have run it */
} Outcome;

/** enum ExchangePhase_ - progress of a request, in this order */
typedef enum ExchangePhase_ {
    EXCHANGE_RECEIVED,
    EXCHANGE_QUEUED,
    EXCHANGE_CLAIMING,
    EXCHANGE_DISPATCHED,
    EXCHANGE_RELAYING, /* response header fields were sent to the caller */
    EXCHANGE_DONE,
} ExchangePhase;

/** enum AttemptEnd_ - how a request to one upstream ended */
typedef enum AttemptEnd_ {
    ATTEMPT_END_COMPLETE,          /* the complete response was received */
    ATTEMPT_END_UNSENT,            /* no byte was sent to the upstream */
    ATTEMPT_END_REFUSED,           /* 503 with proof that it did not run */
    ATTEMPT_END_CONNECTION_CLOSED, /* closed before the response ended */
    ATTEMPT_END_FRAMING,           /* the response is malformed */
    ATTEMPT_END_DEADLINE,          /* no complete response in time */
    ATTEMPT_END_CANCELLED,         /* the caller disconnected */
} AttemptEnd;

/** enum ExchangeStep_ - next step after the last attempt has ended */
typedef enum ExchangeStep_ {
    EXCHANGE_STEP_FINISH, /* the caller has the complete response */
    EXCHANGE_STEP_ANSWER, /* the host responds itself, with the outcome */
    EXCHANGE_STEP_ABORT,  /* close: part of a response was sent */
    EXCHANGE_STEP_DROP,   /* the caller has disconnected */
} ExchangeStep;

/** Outcome_Name() - header value: not-run, ran or unknown */
const char *Outcome_Name(Outcome outcome);

/** Exchange_Create() - a received request without attempts */
Exchange *Exchange_Create(void);

void Exchange_Destroy(Exchange *this);

/** Exchange_Phase() - current phase */
ExchangePhase Exchange_Phase(const Exchange *this);

/** Exchange_SetPhase() - set QUEUED or CLAIMING before the first dispatch */
void Exchange_SetPhase(Exchange *this, ExchangePhase phase);

/** Exchange_OnDispatched() - an attempt to send it to an upstream starts */
void Exchange_OnDispatched(Exchange *this);

/** Exchange_OnRelayed() - response header fields were sent to the caller */
void Exchange_OnRelayed(Exchange *this, int status);

/**
 * Exchange_OnAttemptEnd() - the last attempt has ended
 *
 * Return: next step toward the caller.
 */
ExchangeStep Exchange_OnAttemptEnd(Exchange *this, AttemptEnd end);

/** Exchange_OnRetried() - an attempt has ended and a retry follows */
void Exchange_OnRetried(Exchange *this, AttemptEnd end);

/** Exchange_OnAnswered() - this host itself has responded */
void Exchange_OnAnswered(Exchange *this);

/** Exchange_Attempts() - number of attempts so far */
uint32_t Exchange_Attempts(const Exchange *this);

/** Exchange_MayHaveRun() - true if an upstream may have run the request */
bool Exchange_MayHaveRun(const Exchange *this);

/**
 * Exchange_Outcome() - outcome of a response that is sent now
 *
 * After a relayed 503 of an upstream the outcome is unknown, because it does
 * not prove that the request did not run.
 */
Outcome Exchange_Outcome(const Exchange *this);

#endif
