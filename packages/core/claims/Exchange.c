#include "Exchange.h"

#include <glib.h>

#define STATUS_UNAVAILABLE 503

struct Exchange_ {
    ExchangePhase phase;
    uint32_t attempts;
    int relayed_status;
    bool may_have_run;
    bool attempt_open;
};

const char *
Outcome_Name(Outcome outcome)
{
    switch (outcome) {
    case OUTCOME_NOT_RUN:
        return "not-run";
    case OUTCOME_RAN:
        return "ran";
    case OUTCOME_UNKNOWN:
        return "unknown";
    }
    return "unknown";
}

Exchange *
Exchange_Create(void)
{
    return g_new0(Exchange, 1);
}

void
Exchange_Destroy(Exchange *this)
{
    g_free(this);
}

ExchangePhase
Exchange_Phase(const Exchange *this)
{
    return this->phase;
}

void
Exchange_SetPhase(Exchange *this, ExchangePhase phase)
{
    if (phase > this->phase && phase < EXCHANGE_DISPATCHED) {
        this->phase = phase;
    }
}

void
Exchange_OnDispatched(Exchange *this)
{
    this->phase = EXCHANGE_DISPATCHED;
    this->attempts++;
    this->attempt_open = true;
}

void
Exchange_OnRelayed(Exchange *this, int status)
{
    this->phase = EXCHANGE_RELAYING;
    this->relayed_status = status;
}

/* Unless the attempt proves otherwise, the request may have run. */
static void
close_attempt(Exchange *this, AttemptEnd end)
{
    this->attempt_open = false;
    if (end != ATTEMPT_END_UNSENT && end != ATTEMPT_END_REFUSED) {
        this->may_have_run = true;
    }
}

void
Exchange_OnRetried(Exchange *this, AttemptEnd end)
{
    close_attempt(this, end);
}

ExchangeStep
Exchange_OnAttemptEnd(Exchange *this, AttemptEnd end)
{
    bool relayed = this->phase == EXCHANGE_RELAYING;

    close_attempt(this, end);
    if (end == ATTEMPT_END_CANCELLED) {
        this->phase = EXCHANGE_DONE;
        return EXCHANGE_STEP_DROP;
    }
    if (!relayed) {
        return EXCHANGE_STEP_ANSWER;
    }
    this->phase = EXCHANGE_DONE;
    return end == ATTEMPT_END_COMPLETE ? EXCHANGE_STEP_FINISH
                                       : EXCHANGE_STEP_ABORT;
}

void
Exchange_OnAnswered(Exchange *this)
{
    this->phase = EXCHANGE_DONE;
}

uint32_t
Exchange_Attempts(const Exchange *this)
{
    return this->attempts;
}

bool
Exchange_MayHaveRun(const Exchange *this)
{
    return this->may_have_run || this->attempt_open;
}

Outcome
Exchange_Outcome(const Exchange *this)
{
    if (this->relayed_status != 0) {
        return this->relayed_status == STATUS_UNAVAILABLE ? OUTCOME_UNKNOWN
                                                          : OUTCOME_RAN;
    }
    return Exchange_MayHaveRun(this) ? OUTCOME_UNKNOWN : OUTCOME_NOT_RUN;
}
