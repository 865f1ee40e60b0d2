#include "AttemptLedger.h"

#define STATUS_BAD_GATEWAY 502

uint32_t
AttemptLedger_Begin(AttemptLedger *this)
{
    this->open = ++this->begun;
    return this->open;
}

static bool
is_proof(RunEvidence evidence)
{
    switch (evidence) {
    case RUN_EVIDENCE_UNSENT:
    case RUN_EVIDENCE_STATEMENT:
        return true;
    case RUN_EVIDENCE_NONE:
    case RUN_EVIDENCE_STATUS:
        break;
    }
    return false;
}

bool
AttemptLedger_End(AttemptLedger *this, uint32_t number, RunEvidence evidence)
{
    bool proven;

    if (number == 0 || number != this->open) {
        return false;
    }
    proven = is_proof(evidence);
    this->open = 0;
    this->not_run += proven;
    return proven;
}

void
AttemptLedger_Cancel(AttemptLedger *this)
{
    this->open = 0;
}

bool
AttemptLedger_MayHaveRun(const AttemptLedger *this)
{
    return this->not_run < this->begun;
}

bool
AttemptLedger_ImpliesNotRun(int status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

int
AttemptLedger_Status(const AttemptLedger *this, int status)
{
    return AttemptLedger_ImpliesNotRun(status) &&
                   AttemptLedger_MayHaveRun(this)
               ? STATUS_BAD_GATEWAY
               : status;
}
